//! `[group]`: the group that decides in common, its members, and the map of regions and zones.

use crate::check::Check;
use crate::problem::{Problem, Source};
use serde::Deserialize;
use starlinghill_failover::bounds::{Timing, TimingProblem, MAX_DRIFT_PPM};
use starlinghill_failover::topology::{is_name, Topology, TopologyProblem, Zone, MAX_CAPACITY};
use starlinghill_failover::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use toml::Spanned;

/// The group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// Its name.
    pub name: String,
    /// Where members on this machine keep their files.
    pub folder: PathBuf,
    /// The least generation that is believed: raised after a restore, so that nobody goes with what is left of
    /// the group before.
    pub generation: u64,
    /// Members may listen beyond this machine: the operators say that what passes between them is protected below.
    pub private: bool,
    /// The members.
    pub members: Vec<GroupMember>,
    /// Regions and zones.
    pub map: Topology,
    /// Times.
    pub timing: Timing,
    /// The most gateways that may follow by one member.
    pub subscribers: usize,
}

/// A member of the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupMember {
    /// Its number.
    pub id: u64,
    /// Where it listens.
    pub listen: SocketAddr,
}

impl Group {
    /// The file of a member.
    pub fn file(&self, id: u64) -> PathBuf {
        self.folder.join(format!("member-{id}.redb"))
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Raw {
    name: Option<Spanned<String>>,
    folder: Option<PathBuf>,
    generation: Option<Spanned<i64>>,
    floor_percent: Option<Spanned<i64>>,
    subscribers: Option<Spanned<i64>>,
    network: Option<Spanned<String>>,
    #[serde(default)]
    members: Vec<Spanned<RawMember>>,
    #[serde(default)]
    regions: Vec<Spanned<String>>,
    #[serde(default)]
    zones: Vec<Spanned<RawZone>>,
    timing: Option<Spanned<RawTiming>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawMember {
    id: Option<Spanned<i64>>,
    listen: Option<Spanned<String>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawZone {
    name: Option<Spanned<String>>,
    region: Option<Spanned<String>>,
    capacity: Option<Spanned<i64>>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawTiming {
    heartbeat_ms: Option<Spanned<i64>>,
    election_ms: Option<Spanned<i64>>,
    confirm_ms: Option<Spanned<i64>>,
    ask_ms: Option<Spanned<i64>>,
    patience_ms: Option<Spanned<i64>>,
    fresh_ms: Option<Spanned<i64>>,
    stale_ms: Option<Spanned<i64>>,
    link_ms: Option<Spanned<i64>>,
    drift_ppm: Option<Spanned<i64>>,
}

/// Checks the section; `None` where something it can't do without is wrong.
pub(crate) fn check(
    raw: Spanned<Raw>,
    source: &Source,
    folder: &Path,
    problems: &mut Vec<Problem>,
) -> Option<Group> {
    let before = problems.len();
    let mut c = Check { source, problems };
    let section = raw.span();
    let raw = raw.into_inner();
    let name = match raw.name {
        Some(name) if is_name(name.get_ref()) => name.into_inner(),
        Some(name) => {
            let what = TopologyProblem::BadName(name.get_ref().chars().take(64).collect()).to_string();
            c.fail(name.span(), "group.name", what);
            String::new()
        }
        None => {
            c.missing(&section, "group.name", "the group's name");
            String::new()
        }
    };
    let private = raw.network.as_ref().is_some_and(|network| network.get_ref() == "private");
    if let Some(other) = raw.network.filter(|n| !["loopback", "private"].contains(&n.get_ref().as_str())) {
        let found: String = other.get_ref().chars().take(40).collect();
        let what = format!("expected \"loopback\" or \"private\", found '{}'", found.escape_debug());
        c.fail(other.span(), "group.network", what);
    }
    let members = members(&mut c, &section, raw.members, private);
    let floor = c.number("group.floor_percent", raw.floor_percent, 50, 1..=100) as u16 * 10;
    let map = map(&mut c, &section, raw.regions, raw.zones, floor);
    let generation = c.number("group.generation", raw.generation, 1, 1..=1_000_000) as u64;
    let subscribers = c.number("group.subscribers", raw.subscribers, 10_000, 1..=100_000) as usize;
    let timing = timing(&mut c, &section, raw.timing);
    let folder = crate::below(folder, &raw.folder.unwrap_or_else(|| "group".into()));
    let good = c.problems.len() == before;
    good.then_some(Group { name, folder, generation, private, members, map, timing, subscribers })
}

fn members(
    c: &mut Check,
    section: &std::ops::Range<usize>,
    raw: Vec<Spanned<RawMember>>,
    private: bool,
) -> Vec<GroupMember> {
    let mut members: Vec<GroupMember> = Vec::new();
    let count = raw.len();
    if count > 7 || count.is_multiple_of(2) {
        let what =
            format!("expected 1, 3, 5 or 7 members, found {count}: an even number bears no more losses");
        c.fail(section.clone(), "group.members", what);
    }
    for member in raw {
        let span = member.span();
        let member = member.into_inner();
        let (Some(id), Some(listen)) = (&member.id, &member.listen) else {
            c.missing(&span, "group.members", "id and listen");
            continue;
        };
        let found = *id.get_ref();
        if !(1..=1_000_000).contains(&found) || members.iter().any(|m| m.id == found as u64) {
            let what = format!("expected a number from 1 to 1000000, each once, found {found}");
            c.fail(id.span(), "group.members.id", what);
        }
        let Some(address) = c.address("group.members.listen", listen) else { continue };
        let ip = address.ip();
        // What members say is neither encrypted nor signed: whoever reaches one can order zones out.
        if !private && !ip.is_loopback() {
            let what = format!("expected a loopback address unless group.network is \"private\", found {ip}");
            c.fail(listen.span(), "group.members.listen", what);
        } else if ip.is_unspecified() {
            let what = format!("expected an address at which the others reach it, found {ip}");
            c.fail(listen.span(), "group.members.listen", what);
        }
        if members.iter().any(|m| m.listen == address) {
            let what = format!("expected each address once, found {address} again");
            c.fail(listen.span(), "group.members.listen", what);
        }
        members.push(GroupMember { id: found as u64, listen: address });
    }
    members
}

fn map(
    c: &mut Check,
    section: &std::ops::Range<usize>,
    regions: Vec<Spanned<String>>,
    raw: Vec<Spanned<RawZone>>,
    floor: u16,
) -> Topology {
    let mut zones: BTreeMap<String, Zone> = BTreeMap::new();
    for zone in raw {
        let span = zone.span();
        let zone = zone.into_inner();
        let (Some(name), Some(region)) = (zone.name, zone.region) else {
            c.missing(&span, "group.zones", "name and region");
            continue;
        };
        let capacity =
            c.number("group.zones.capacity", zone.capacity, 100, 1..=i64::from(MAX_CAPACITY)) as u32;
        if zones.contains_key(name.get_ref()) {
            let what = format!("expected each zone once, found '{}' again", name.get_ref());
            c.fail(name.span(), "group.zones.name", what);
        }
        zones.insert(name.into_inner(), Zone { region: region.into_inner(), capacity });
    }
    let map = Topology { regions: regions.into_iter().map(Spanned::into_inner).collect(), zones, floor };
    for problem in map.problems() {
        c.fail(section.clone(), "group.zones", problem.to_string());
    }
    map
}

fn timing(c: &mut Check, section: &std::ops::Range<usize>, raw: Option<Spanned<RawTiming>>) -> Timing {
    let span = raw.as_ref().map_or(section.clone(), Spanned::span);
    let raw = raw.map(Spanned::into_inner).unwrap_or_default();
    let d = Timing::default();
    let mut ms = |key: &str, raw: Option<Spanned<i64>>, default: Micros, least: i64| {
        let key = format!("group.timing.{key}");
        Micros(c.number(&key, raw, (default.0 / 1_000) as i64, least..=3_600_000) as u64 * 1_000)
    };
    let timing = Timing {
        heartbeat_interval: ms("heartbeat_ms", raw.heartbeat_ms, d.heartbeat_interval, 10),
        election_timeout: ms("election_ms", raw.election_ms, d.election_timeout, 100),
        confirm_interval: ms("confirm_ms", raw.confirm_ms, d.confirm_interval, 10),
        ask_interval: ms("ask_ms", raw.ask_ms, d.ask_interval, 10),
        answer_timeout: ms("patience_ms", raw.patience_ms, d.answer_timeout, 50),
        fresh_limit: ms("fresh_ms", raw.fresh_ms, d.fresh_limit, 100),
        stale_limit: ms("stale_ms", raw.stale_ms, d.stale_limit, 200),
        tick_interval: d.tick_interval,
        max_link_delay: ms("link_ms", raw.link_ms, d.max_link_delay, 1),
        drift_ppm: c.number(
            "group.timing.drift_ppm",
            raw.drift_ppm,
            i64::from(d.drift_ppm),
            0..=i64::from(MAX_DRIFT_PPM),
        ) as u32,
    };
    for misfit in timing.problems() {
        let key = match misfit {
            TimingProblem::ElectionTimeoutTooShort => "group.timing.election_ms",
            TimingProblem::FreshLimitTooShort { .. } => "group.timing.fresh_ms",
            TimingProblem::StaleLimitTooShort => "group.timing.stale_ms",
        };
        c.fail(span.clone(), key, misfit.to_string());
    }
    timing
}
