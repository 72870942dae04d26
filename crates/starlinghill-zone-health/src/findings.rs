//! What the reports of all gateways together say of each zone. Each zone of the map has one voice on every other one,
//! whatever the number of its gateways: the majority of those that see enough. So a finding needs most gateways of
//! most zones, and no single gateway, broken or lying, makes one.
//!
//! What looks alike from one place differs from several: a zone that is dark to some and well to others is not cut
//! off, a link is; a gateway to which everything is dark is cut off itself; trouble everywhere is no zone's trouble.

use crate::attempt_counts::ObservedHealth;
use crate::report::Report;
use starlinghill_failover::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Reports that are older say nothing of now. Three of those that come each second may get lost.
pub const OLDEST: Micros = Micros(3_500_000);
/// The most gateways that a reason names.
const MOST_NAMED: usize = 8;

/// A gateway's report as the group has it.
#[derive(Debug, Clone)]
pub struct GatewayReport {
    /// The gateway's zone.
    pub zone: String,
    /// How long ago it was made, at the most.
    pub age: Micros,
    /// The report.
    pub report: Report,
}

/// What is found of a zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Finding {
    /// Too few see it, or they don't agree.
    Inconclusive,
    /// It is well.
    Healthy,
    /// It is silent to all others.
    Isolated,
    /// Some can't reach it and others can: links are cut, not the zone.
    UnreachableFrom {
        /// The zones that can't reach it.
        from: BTreeSet<String>,
    },
    /// The list names servers that are not there.
    ServerListWrong,
    /// It fails or is slow for all others.
    Degraded,
    /// It does its work and is asked for more. To send its work elsewhere would overload the rest.
    Overloaded,
    /// It is in trouble, and so is every zone that is seen at all: what is wrong is not this zone.
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

/// What one zone's gateways say of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneVote {
    /// What most of them see.
    pub health: ObservedHealth,
    /// How many see that.
    pub agree: usize,
    /// How many see enough to tell.
    pub voters: usize,
}

/// A finding with its reasons.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneFinding {
    /// The finding.
    pub finding: Finding,
    /// The voices of the other zones.
    pub votes: BTreeMap<String, ZoneVote>,
    /// That of its own gateways.
    pub own_vote: Option<ZoneVote>,
    /// How many zones must say the same.
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

/// All findings.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Findings {
    /// By zone.
    pub zones: BTreeMap<String, ZoneFinding>,
    /// Gateways to which all zones that they see are dark: cut off themselves.
    pub isolated_gateways: Vec<String>,
    /// Gateways whose report is too old, of a zone that is not on the map, or beyond its bounds.
    pub ignored_gateways: Vec<String>,
}

/// A gateway to which everything is dark has lost its own link. One that sees a single zone can't tell.
fn is_blind(sights: &BTreeMap<&str, ObservedHealth>) -> bool {
    let known = || sights.values().filter(|s| **s != ObservedHealth::Unknown);
    known().next().is_some() && known().all(|s| matches!(s, ObservedHealth::Unreachable))
}

/// What all reports say of the zones of the map. Observers are named, so that each counts once.
pub fn evaluate_reports(zones: &BTreeSet<String>, observers: &BTreeMap<String, GatewayReport>) -> Findings {
    let mut all = Findings::default();
    // By the observers' zone, then by the zone that they see: how many see what.
    let mut seen: BTreeMap<&str, BTreeMap<&str, BTreeMap<ObservedHealth, usize>>> = BTreeMap::new();
    for (name, observer) in observers {
        let sound =
            observer.age <= OLDEST && zones.contains(&observer.zone) && observer.report.check().is_ok();
        if !sound {
            all.ignored_gateways.push(name.clone());
            continue;
        }
        let told = observer.report.zones.iter().filter(|(zone, _)| zones.contains(*zone));
        let sights: BTreeMap<&str, ObservedHealth> =
            told.map(|(zone, sums)| (zone.as_str(), sums.observed_health())).collect();
        if is_blind(&sights) {
            all.isolated_gateways.push(name.clone());
            continue;
        }
        let voices = seen.entry(&observer.zone).or_default();
        for (zone, sight) in sights.into_iter().filter(|(_, sight)| *sight != ObservedHealth::Unknown) {
            *voices.entry(zone).or_default().entry(sight).or_default() += 1;
        }
    }
    all.isolated_gateways.truncate(MOST_NAMED);
    all.ignored_gateways.truncate(MOST_NAMED);
    for zone in zones {
        let voice = |of: &str| voice(seen.get(of)?.get(zone.as_str())?);
        let others = zones.iter().filter(|other| *other != zone);
        let voices = others.filter_map(|other| Some((other.clone(), voice(other)?))).collect();
        let needs = (zones.len() - 1) / 2 + 1;
        let mut found = ZoneFinding {
            finding: Finding::Inconclusive,
            votes: voices,
            own_vote: voice(zone),
            required_votes: needs,
        };
        found.finding = weigh(&found);
        all.zones.insert(zone.clone(), found);
    }
    not_everywhere(&mut all);
    all
}

/// What more than half of those that can tell see. Where they agree on trouble and not on its kind, it is the kind that
/// moves nothing: to send the work of an overloaded zone elsewhere does more harm than to leave that of a sick one.
fn voice(counts: &BTreeMap<ObservedHealth, usize>) -> Option<ZoneVote> {
    let of = counts.values().sum();
    let count = |sight: ObservedHealth| counts.get(&sight).copied().unwrap_or(0);
    let (sight, agree) = counts.iter().max_by_key(|(_, n)| **n)?;
    if 2 * agree > of {
        return Some(ZoneVote { health: *sight, agree: *agree, voters: of });
    }
    let agree = count(ObservedHealth::Overloaded) + count(ObservedHealth::Degraded);
    (2 * agree > of).then_some(ZoneVote { health: ObservedHealth::Overloaded, agree, voters: of })
}

fn weigh(found: &ZoneFinding) -> Finding {
    let count = |sight: ObservedHealth| found.votes.values().filter(|v| v.health == sight).count();
    let most = |sight: ObservedHealth| count(sight) >= found.required_votes;
    let inside = found.own_vote.map(|v| v.health);
    // Not to be reached from there, or badly alone: somebody who is well served shows that the zone can serve.
    let badly = |v: &ZoneVote| matches!(v.health, ObservedHealth::Unreachable | ObservedHealth::Degraded);
    let served = count(ObservedHealth::Healthy) > 0;
    let from: BTreeSet<String> =
        found.votes.iter().filter(|(_, v)| badly(v)).map(|(zone, _)| zone.clone()).collect();
    // One zone of many that sees it well shows that it is not cut off. Of one that all others, and its own gateways, see sick
    // it shows no more than chance would.
    let few =
        4 * count(ObservedHealth::Healthy) <= found.votes.len() && inside != Some(ObservedHealth::Healthy);
    match () {
        () if most(ObservedHealth::Healthy) && from.is_empty() => Finding::Healthy,
        () if few && most(ObservedHealth::Degraded) => Finding::Degraded,
        () if served && !from.is_empty() => Finding::UnreachableFrom { from },
        () if most(ObservedHealth::Unreachable) => Finding::Isolated,
        () if most(ObservedHealth::NotListening) => Finding::ServerListWrong,
        () if !most(ObservedHealth::Degraded)
            && count(ObservedHealth::Overloaded) + count(ObservedHealth::Degraded)
                >= found.required_votes =>
        {
            Finding::Overloaded
        }
        // Its own gateways are well served: what is slow or lossy is the way to it.
        () if most(ObservedHealth::Degraded) && inside == Some(ObservedHealth::Healthy) => {
            Finding::UnreachableFrom { from }
        }
        () if most(ObservedHealth::Degraded) || from.len() >= found.required_votes => Finding::Degraded,
        () => Finding::Inconclusive,
    }
}

/// Trouble in every zone that anything is found of is not a zone's trouble: overload, a bad release, a plan whose
/// requests fail. Guards against taking zones out one after the other for what they share.
fn not_everywhere(all: &mut Findings) {
    let troubled = |f: &Finding| matches!(f, Finding::Degraded | Finding::Overloaded | Finding::Isolated);
    let known = || all.zones.values().filter(|found| found.finding != Finding::Inconclusive);
    if known().count() < 2 || !known().all(|found| troubled(&found.finding)) {
        return;
    }
    for found in all.zones.values_mut().filter(|found| troubled(&found.finding)) {
        found.finding = Finding::TroubleEverywhere;
    }
}
