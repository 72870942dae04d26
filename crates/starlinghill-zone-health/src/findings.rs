//! Evaluates the reports of all gateways. Each zone has one vote on every other zone, whatever the number of its gateways:
//! the view of the majority of those that made enough attempts. So a finding needs most gateways of most zones, and a
//! single broken or lying gateway can't cause one.
//!
//! Several views tell cases apart that look the same from one place. If a zone is unreachable from some zones and
//! healthy from others, a link is broken, not the zone. A gateway that reaches no zone at all is isolated itself.
//! Trouble in all zones has a common cause.

use crate::attempt_counts::ObservedHealth;
use crate::report::Report;
use starlinghill_failover::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The highest age of a report that counts. Reports come every second, so up to three in a row may be lost.
pub const MAX_REPORT_AGE: Micros = Micros(3_500_000);
/// The most gateways that each list in [`Findings`] names.
const MAX_LISTED: usize = 8;

/// The latest report of a gateway.
#[derive(Debug, Clone)]
pub struct GatewayReport {
    /// The zone that the gateway is in.
    pub zone: String,
    /// An upper bound on the time since the report was made.
    pub age: Micros,
    /// The counts that the gateway sent.
    pub report: Report,
}

/// The health of a zone as all reports show it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Finding {
    /// Too few zones have a view of it, or they disagree.
    Inconclusive,
    /// It is healthy from most zones and in trouble from none.
    Healthy,
    /// Most zones get no reply from it and none finds it healthy.
    Isolated,
    /// Some zones can't reach it or see it degraded, and it works elsewhere: links are in trouble, not the zone.
    UnreachableFrom {
        /// The zones that see it unreachable or degraded.
        from: BTreeSet<String>,
    },
    /// The server list names addresses at which nothing listens.
    ServerListWrong,
    /// It fails or is slow for most zones.
    Degraded,
    /// It does its usual work and gets more requests than that. Moving its traffic elsewhere would overload the other zones.
    Overloaded,
    /// It is in trouble, and so is every other zone with a finding. The cause is not this zone.
    TroubleEverywhere,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Finding::Inconclusive => f.write_str("unsure"),
            Finding::Healthy => f.write_str("well"),
            Finding::Isolated => f.write_str("cut off"),
            Finding::UnreachableFrom { from } => write!(f, "cut from {}", join(from)),
            Finding::ServerListWrong => f.write_str("the list is wrong"),
            Finding::Degraded => f.write_str("sick"),
            Finding::Overloaded => f.write_str("overloaded"),
            Finding::TroubleEverywhere => f.write_str("trouble everywhere"),
        }
    }
}

fn join<'a>(names: impl IntoIterator<Item = &'a String>) -> String {
    names.into_iter().map(String::as_str).collect::<Vec<_>>().join(", ")
}

/// The vote of one zone's gateways on a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneVote {
    /// The health that the majority of them sees.
    pub health: ObservedHealth,
    /// The number of gateways that see this health.
    pub agree: usize,
    /// The number of gateways with enough attempts to tell.
    pub voters: usize,
}

/// The finding for one zone, with its reasons.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneFinding {
    /// The result of the votes.
    pub finding: Finding,
    /// The votes of the other zones, by zone name.
    pub votes: BTreeMap<String, ZoneVote>,
    /// The vote of the zone's own gateways.
    pub own_vote: Option<ZoneVote>,
    /// The number of equal votes that a finding needs.
    pub required_votes: usize,
}

impl fmt::Display for ZoneFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.finding)?;
        for (zone, v) in &self.votes {
            write!(f, " {zone} sees it {} ({} of {});", v.health, v.agree, v.voters)?;
        }
        if let Some(v) = &self.own_vote {
            write!(f, " inside it is {} ({} of {});", v.health, v.agree, v.voters)?;
        }
        write!(f, " {} zones must agree", self.required_votes)
    }
}

/// The findings for all zones.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Findings {
    /// The findings by zone name.
    pub zones: BTreeMap<String, ZoneFinding>,
    /// The first gateways that reach none of the zones that they tried. Their reports don't count.
    pub isolated_gateways: Vec<String>,
    /// The first gateways with a report that is too old or invalid, or in an unknown zone. Their reports don't count.
    pub ignored_gateways: Vec<String>,
}

/// Whether a gateway reaches no zone that it tried, so that its own connection is probably broken. With a single tried zone
/// it can't tell the two apart, so it counts as isolated too.
fn is_isolated(health_by_zone: &BTreeMap<&str, ObservedHealth>) -> bool {
    let known = || health_by_zone.values().filter(|s| **s != ObservedHealth::Unknown);
    known().next().is_some() && known().all(|s| matches!(s, ObservedHealth::Unreachable))
}

/// The findings for these zones. The reports are keyed by gateway name, so that each gateway counts once.
pub fn evaluate_reports(zones: &BTreeSet<String>, reports: &BTreeMap<String, GatewayReport>) -> Findings {
    let mut findings = Findings::default();
    // By the zone of the gateways, then by the zone that they report on: the number of gateways for each health.
    let mut counts: BTreeMap<&str, BTreeMap<&str, BTreeMap<ObservedHealth, usize>>> = BTreeMap::new();
    for (name, report) in reports {
        let is_usable =
            report.age <= MAX_REPORT_AGE && zones.contains(&report.zone) && report.report.check().is_ok();
        if !is_usable {
            findings.ignored_gateways.push(name.clone());
            continue;
        }
        let known_zones = report.report.zones.iter().filter(|(zone, _)| zones.contains(*zone));
        let health_by_zone: BTreeMap<&str, ObservedHealth> =
            known_zones.map(|(zone, counts)| (zone.as_str(), counts.observed_health())).collect();
        if is_isolated(&health_by_zone) {
            findings.isolated_gateways.push(name.clone());
            continue;
        }
        let votes = counts.entry(&report.zone).or_default();
        for (zone, health) in
            health_by_zone.into_iter().filter(|(_, health)| *health != ObservedHealth::Unknown)
        {
            *votes.entry(zone).or_default().entry(health).or_default() += 1;
        }
    }
    findings.isolated_gateways.truncate(MAX_LISTED);
    findings.ignored_gateways.truncate(MAX_LISTED);
    for zone in zones {
        let vote_of = |voter: &str| majority_vote(counts.get(voter)?.get(zone.as_str())?);
        let others = zones.iter().filter(|other| *other != zone);
        let votes = others.filter_map(|other| Some((other.clone(), vote_of(other)?))).collect();
        let required_votes = (zones.len() - 1) / 2 + 1;
        let mut found =
            ZoneFinding { finding: Finding::Inconclusive, votes, own_vote: vote_of(zone), required_votes };
        found.finding = combine_votes(&found);
        findings.zones.insert(zone.clone(), found);
    }
    mark_common_trouble(&mut findings);
    findings
}

/// The health that more than half of the gateways see. If more than half see trouble but disagree on its kind, the vote is
/// overloaded, because that keeps traffic in place: moving the traffic of an overloaded zone does more harm than leaving
/// that of a degraded one.
fn majority_vote(counts: &BTreeMap<ObservedHealth, usize>) -> Option<ZoneVote> {
    let voters = counts.values().sum();
    let count = |health: ObservedHealth| counts.get(&health).copied().unwrap_or(0);
    let (health, agree) = counts.iter().max_by_key(|(_, n)| **n)?;
    if 2 * agree > voters {
        return Some(ZoneVote { health: *health, agree: *agree, voters });
    }
    let agree = count(ObservedHealth::Overloaded) + count(ObservedHealth::Degraded);
    (2 * agree > voters).then_some(ZoneVote { health: ObservedHealth::Overloaded, agree, voters })
}

fn combine_votes(found: &ZoneFinding) -> Finding {
    let count = |health: ObservedHealth| found.votes.values().filter(|v| v.health == health).count();
    let enough = |health: ObservedHealth| count(health) >= found.required_votes;
    let own_health = found.own_vote.map(|v| v.health);
    // A zone that sees it unreachable or degraded may only have a bad link to it. A zone that sees it healthy shows that it
    // can serve.
    let sees_trouble =
        |v: &ZoneVote| matches!(v.health, ObservedHealth::Unreachable | ObservedHealth::Degraded);
    let healthy_somewhere = count(ObservedHealth::Healthy) > 0;
    let from: BTreeSet<String> =
        found.votes.iter().filter(|(_, v)| sees_trouble(v)).map(|(zone, _)| zone.clone()).collect();
    // A single healthy vote proves that a zone is not isolated. It does not prove that a zone is not degraded if all others
    // and its own gateways see that: one healthy view can be chance.
    let few_healthy = 4 * count(ObservedHealth::Healthy) <= found.votes.len()
        && own_health != Some(ObservedHealth::Healthy);
    match () {
        () if enough(ObservedHealth::Healthy) && from.is_empty() => Finding::Healthy,
        () if few_healthy && enough(ObservedHealth::Degraded) => Finding::Degraded,
        () if healthy_somewhere && !from.is_empty() => Finding::UnreachableFrom { from },
        () if enough(ObservedHealth::Unreachable) => Finding::Isolated,
        () if enough(ObservedHealth::NotListening) => Finding::ServerListWrong,
        () if !enough(ObservedHealth::Degraded)
            && count(ObservedHealth::Overloaded) + count(ObservedHealth::Degraded)
                >= found.required_votes =>
        {
            Finding::Overloaded
        }
        // Its own gateways see it healthy, so the links to it are slow or lossy.
        () if enough(ObservedHealth::Degraded) && own_health == Some(ObservedHealth::Healthy) => {
            Finding::UnreachableFrom { from }
        }
        () if enough(ObservedHealth::Degraded) || from.len() >= found.required_votes => Finding::Degraded,
        () => Finding::Inconclusive,
    }
}

/// Replaces the findings if every zone with a finding is in trouble. The cause is then common: overload, a bad release, or
/// failing requests of one customer plan. Otherwise operators might take out one zone after the other.
fn mark_common_trouble(findings: &mut Findings) {
    let in_trouble = |f: &Finding| matches!(f, Finding::Degraded | Finding::Overloaded | Finding::Isolated);
    let known = || findings.zones.values().filter(|found| found.finding != Finding::Inconclusive);
    if known().count() < 2 || !known().all(|found| in_trouble(&found.finding)) {
        return;
    }
    for found in findings.zones.values_mut().filter(|found| in_trouble(&found.finding)) {
        found.finding = Finding::TroubleEverywhere;
    }
}
