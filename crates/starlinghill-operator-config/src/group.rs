//! The section `[group]`: the failover group, its members, and its map of regions and zones.

use crate::check::Validator;
use crate::problem::{Problem, Source};
use serde::Deserialize;
use starlinghill_failover::bounds::{Timing, TimingProblem, MAX_DRIFT_PPM};
use starlinghill_failover::topology::{is_name, Topology, TopologyProblem, Zone, MAX_CAPACITY};
use starlinghill_failover::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use toml::Spanned;

/// The settings of the failover group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// The group's name. Members refuse messages of a group of another name.
    pub name: String,
    /// The folder for the database files of members on this machine.
    pub folder: PathBuf,
    /// The lowest generation of the group that members and gateways accept. It is raised after a restore, so that
    /// nobody follows what is left of the earlier generation.
    pub generation: u64,
    /// Whether members may listen on addresses other than loopback. Their messages are not protected, so the operators
    /// state by this that the network is.
    pub private_network: bool,
    /// The members: 1, 3, 5 or 7.
    pub members: Vec<GroupMember>,
    /// The regions and zones, with the capacity that must stay in service.
    pub map: Topology,
    /// Intervals and timeouts of the group.
    pub timing: Timing,
    /// The most gateways that may follow the group through one member at once.
    pub subscribers: usize,
}

/// The number and address of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupMember {
    /// The member's number, unique in the group.
    pub id: u64,
    /// The address on which it listens and the other members reach it.
    pub listen: SocketAddr,
}

impl Group {
    /// The path of a member's database file.
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

/// Validates the section. Returns `None` if anything in it is wrong.
pub(crate) fn check(
    raw: Spanned<Raw>,
    source: &Source,
    folder: &Path,
    problems: &mut Vec<Problem>,
) -> Option<Group> {
    let problems_before = problems.len();
    let mut validator = Validator { source, problems };
    let section = raw.span();
    let raw = raw.into_inner();
    let name = match raw.name {
        Some(name) if is_name(name.get_ref()) => name.into_inner(),
        Some(name) => {
            let message = TopologyProblem::BadName(name.get_ref().chars().take(64).collect()).to_string();
            validator.report(name.span(), "group.name", message);
            String::new()
        }
        None => {
            validator.report_missing(&section, "group.name", "the group's name");
            String::new()
        }
    };
    let private_network = raw.network.as_ref().is_some_and(|network| network.get_ref() == "private");
    if let Some(other) = raw.network.filter(|n| !["loopback", "private"].contains(&n.get_ref().as_str())) {
        let found: String = other.get_ref().chars().take(40).collect();
        let message = format!("expected \"loopback\" or \"private\", found '{}'", found.escape_debug());
        validator.report(other.span(), "group.network", message);
    }
    let members = members(&mut validator, &section, raw.members, private_network);
    let floor_permille = validator.number("group.floor_percent", raw.floor_percent, 50, 1..=100) as u16 * 10;
    let map = map(&mut validator, &section, raw.regions, raw.zones, floor_permille);
    let generation = validator.number("group.generation", raw.generation, 1, 1..=1_000_000) as u64;
    let subscribers = validator.number("group.subscribers", raw.subscribers, 10_000, 1..=100_000) as usize;
    let timing = timing(&mut validator, &section, raw.timing);
    let folder = crate::resolve_path(folder, &raw.folder.unwrap_or_else(|| "group".into()));
    let valid = validator.problems.len() == problems_before;
    valid.then_some(Group { name, folder, generation, private_network, members, map, timing, subscribers })
}

fn members(
    validator: &mut Validator,
    section: &std::ops::Range<usize>,
    raw: Vec<Spanned<RawMember>>,
    private_network: bool,
) -> Vec<GroupMember> {
    let mut members: Vec<GroupMember> = Vec::new();
    let count = raw.len();
    if count > 7 || count.is_multiple_of(2) {
        let message =
            format!("expected 1, 3, 5 or 7 members, found {count}: an even number bears no more losses");
        validator.report(section.clone(), "group.members", message);
    }
    for member in raw {
        let span = member.span();
        let member = member.into_inner();
        let (Some(id), Some(listen)) = (&member.id, &member.listen) else {
            validator.report_missing(&span, "group.members", "id and listen");
            continue;
        };
        let found = *id.get_ref();
        if !(1..=1_000_000).contains(&found) || members.iter().any(|m| m.id == found as u64) {
            let message = format!("expected a number from 1 to 1000000, each once, found {found}");
            validator.report(id.span(), "group.members.id", message);
        }
        let Some(address) = validator.address("group.members.listen", listen) else { continue };
        let ip = address.ip();
        // Messages between members are neither encrypted nor signed: anyone who reaches a member can order zones out
        // of service.
        if !private_network && !ip.is_loopback() {
            let message =
                format!("expected a loopback address unless group.network is \"private\", found {ip}");
            validator.report(listen.span(), "group.members.listen", message);
        } else if ip.is_unspecified() {
            let message = format!("expected an address at which the others reach it, found {ip}");
            validator.report(listen.span(), "group.members.listen", message);
        }
        if members.iter().any(|m| m.listen == address) {
            let message = format!("expected each address once, found {address} again");
            validator.report(listen.span(), "group.members.listen", message);
        }
        members.push(GroupMember { id: found as u64, listen: address });
    }
    members
}

fn map(
    validator: &mut Validator,
    section: &std::ops::Range<usize>,
    regions: Vec<Spanned<String>>,
    raw: Vec<Spanned<RawZone>>,
    floor_permille: u16,
) -> Topology {
    let mut zones: BTreeMap<String, Zone> = BTreeMap::new();
    for zone in raw {
        let span = zone.span();
        let zone = zone.into_inner();
        let (Some(name), Some(region)) = (zone.name, zone.region) else {
            validator.report_missing(&span, "group.zones", "name and region");
            continue;
        };
        let capacity =
            validator.number("group.zones.capacity", zone.capacity, 100, 1..=i64::from(MAX_CAPACITY)) as u32;
        if zones.contains_key(name.get_ref()) {
            let message = format!("expected each zone once, found '{}' again", name.get_ref());
            validator.report(name.span(), "group.zones.name", message);
        }
        zones.insert(name.into_inner(), Zone { region: region.into_inner(), capacity });
    }
    let map = Topology {
        regions: regions.into_iter().map(Spanned::into_inner).collect(),
        zones,
        floor: floor_permille,
    };
    for problem in map.problems() {
        validator.report(section.clone(), "group.zones", problem.to_string());
    }
    map
}

fn timing(
    validator: &mut Validator,
    section: &std::ops::Range<usize>,
    raw: Option<Spanned<RawTiming>>,
) -> Timing {
    let span = raw.as_ref().map_or(section.clone(), Spanned::span);
    let raw = raw.map(Spanned::into_inner).unwrap_or_default();
    let defaults = Timing::default();
    let mut micros = |key: &str, raw: Option<Spanned<i64>>, default: Micros, least: i64| {
        let key = format!("group.timing.{key}");
        Micros(validator.number(&key, raw, (default.0 / 1_000) as i64, least..=3_600_000) as u64 * 1_000)
    };
    let timing = Timing {
        heartbeat_interval: micros("heartbeat_ms", raw.heartbeat_ms, defaults.heartbeat_interval, 10),
        election_timeout: micros("election_ms", raw.election_ms, defaults.election_timeout, 100),
        confirm_interval: micros("confirm_ms", raw.confirm_ms, defaults.confirm_interval, 10),
        ask_interval: micros("ask_ms", raw.ask_ms, defaults.ask_interval, 10),
        answer_timeout: micros("patience_ms", raw.patience_ms, defaults.answer_timeout, 50),
        fresh_limit: micros("fresh_ms", raw.fresh_ms, defaults.fresh_limit, 100),
        stale_limit: micros("stale_ms", raw.stale_ms, defaults.stale_limit, 200),
        tick_interval: defaults.tick_interval,
        max_link_delay: micros("link_ms", raw.link_ms, defaults.max_link_delay, 1),
        drift_ppm: validator.number(
            "group.timing.drift_ppm",
            raw.drift_ppm,
            i64::from(defaults.drift_ppm),
            0..=i64::from(MAX_DRIFT_PPM),
        ) as u32,
    };
    for problem in timing.problems() {
        let key = match problem {
            TimingProblem::ElectionTimeoutTooShort => "group.timing.election_ms",
            TimingProblem::FreshLimitTooShort { .. } => "group.timing.fresh_ms",
            TimingProblem::StaleLimitTooShort => "group.timing.stale_ms",
        };
        validator.report(span.clone(), key, problem.to_string());
    }
    timing
}
