//! The servers as proxies are told of them. The snapshot changes with the list and with reports, and with
//! time alone while servers warm up or until an ejection ends.

use starlinghill_decision::api::*;
use starlinghill_decision::{FleetView, Health};
use starlinghill_settings::members::{Member, MemberList, Phase};
use starlinghill_settings::NamedSettings;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

/// The most members that a list may have. A longer one is rejected to limit memory, and the old one is kept.
pub const MAX_MEMBERS: usize = 10_000;
/// The number of steps in which a cold server's weight grows. Each step is a message to every proxy. The
/// weight is that of the step's beginning, so a proxy that is updated late sends too little, never too
/// much.
const WARM_STEPS: u64 = 16;
/// The fraction of its weight that a server gets while it is on trial after an ejection.
const TRIAL_FRACTION: f64 = 0.05;
/// The weight of a warm server of size 1.
const WEIGHT_PER_SIZE: f64 = 1000.0;
/// Larger sizes count as this one: the sum of all weights must fit into 32 bits.
const MAX_SIZE: f64 = 400.0;
/// The most attempts of one report that are judged one by one. They show the ratio of failures as clearly
/// as more would.
const MAX_JUDGED: u64 = 32;

/// What a proxy may do with a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointUse {
    /// Send it requests according to its weight.
    Healthy,
    /// Send it nothing for now, because requests failed there.
    Ejected,
    /// Send it no new requests; it finishes those it has.
    Draining,
}

/// A server as proxies are told of it.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Its id in the list of servers.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// What a proxy may do with it.
    pub usage: EndpointUse,
    /// Its share of requests relative to the other weights; at least 1.
    pub weight: u32,
    /// Its zone's region; empty if operators set none.
    pub region: String,
    /// Proxies use a server only if none of a lower priority number can serve. Numbers start at 0 and have
    /// no gaps.
    pub priority: u32,
}

/// Where a zone is, as set by operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointLocation {
    /// Its region.
    pub region: String,
    /// How many regions are preferred to this one when other zones take over.
    pub rank: u32,
}

/// Everything that proxies are told of the servers.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FleetSnapshot {
    /// The servers, sorted by zone and id. No two have the same address.
    pub endpoints: Vec<Endpoint>,
    /// How many of 10,000 requests a proxy should refuse. If most servers are cold, weights alone would
    /// distribute all requests among servers that don't have the capacity yet.
    pub drop_per_10000: u32,
}

/// Why a list was rejected. The old one is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListError {
    /// Changes arrived before any complete list.
    NoBase,
    /// The list would have this many members, more than [`MAX_MEMBERS`].
    TooLong(usize),
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListError::NoBase => f.write_str("changes arrived before a complete list; ignored"),
            ListError::TooLong(n) => {
                write!(f, "a list of {n} members, expected at most {MAX_MEMBERS}; keeping the old one")
            }
        }
    }
}
impl std::error::Error for ListError {}

/// One proxy's report on one server since its last one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointReport {
    /// Where the server listens.
    pub address: SocketAddr,
    /// Requests that the server answered.
    pub succeeded: u64,
    /// Requests that failed there.
    pub failed: u64,
}

/// The servers, as known from the list and from the proxies' reports.
pub struct Fleet {
    site: NamedSettings,
    /// The decision module's judgement of the servers' health.
    view: FleetView,
    /// The members by id, as in the list; `None` before the first complete list.
    members: Option<BTreeMap<String, Member>>,
    /// The server at each address, to assign reports.
    servers_by_address: BTreeMap<SocketAddr, ServerId>,
    /// Reduced shares of zones, set by operators or by failover. Other zones have their whole share.
    zone_shares: BTreeMap<String, ZoneShare>,
    /// The regions of zones.
    locations: BTreeMap<String, EndpointLocation>,
}

impl Fleet {
    /// A fleet without a list.
    pub fn new(seed: u64, site: NamedSettings) -> Result<Fleet, SettingsError> {
        let view = FleetView::new(seed, site.settings.clone())?;
        Ok(Fleet {
            site,
            view,
            members: None,
            servers_by_address: BTreeMap::new(),
            zone_shares: BTreeMap::new(),
            locations: BTreeMap::new(),
        })
    }

    /// Whether a complete list has arrived.
    pub fn is_known(&self) -> bool {
        self.members.is_some()
    }

    /// Replaces the locations of all zones.
    pub fn set_locations(&mut self, locations: BTreeMap<String, EndpointLocation>) {
        self.locations = locations;
    }

    /// Replaces the shares of all zones. Shares of 1 or more, or that are not finite, count as the whole
    /// share.
    pub fn set_zone_shares(&mut self, shares: Vec<(String, ZoneShare)>) {
        let reduced = |(_, share): &(String, ZoneShare)| share.weight.is_finite() && share.weight < 1.0;
        self.zone_shares = shares.into_iter().filter(reduced).collect();
    }

    /// Applies a complete list or changes to it. A complete list may be empty.
    pub fn apply_list(&mut self, now: Micros, list: MemberList) -> Result<(), ListError> {
        let known = self.members.as_ref();
        if known.is_none() && !list.complete {
            return Err(ListError::NoBase);
        }
        let base = known.filter(|_| !list.complete);
        let new = list.members.iter().filter(|m| base.is_none_or(|base| !base.contains_key(&m.id))).count();
        let n = new + base.map_or(0, BTreeMap::len);
        if n > MAX_MEMBERS {
            return Err(ListError::TooLong(n));
        }
        let mut members =
            if list.complete { BTreeMap::new() } else { self.members.take().unwrap_or_default() };
        let entries = list.members;
        let servers = entries
            .iter()
            .map(|m| ServerEntry {
                server: self.site.server(&m.id),
                service: ServiceId::default(),
                zone: self.site.zone(&m.locality),
                cell: CellId(m.cell),
                listed: match m.phase {
                    Phase::Ready => Listed::InService,
                    Phase::Draining => Listed::Draining,
                    Phase::Gone => Listed::Gone,
                },
                weight: m.size,
                started: Some(Micros(m.up_since_ms.saturating_mul(1000))).filter(|at| at.0 > 0),
            })
            .collect();
        let scope = if list.complete { ListScope::Complete } else { ListScope::Changes };
        self.view.update_list(now, scope, servers);
        for member in entries {
            match member.phase {
                Phase::Gone => drop(members.remove(&member.id)),
                _ => drop(members.insert(member.id.clone(), member)),
            }
        }
        // Forget servers that left the list, so that memory does not grow with every server there ever was.
        self.site.servers.retain(|_, id| members.contains_key(id));
        self.servers_by_address =
            by_address(&members).into_iter().map(|(at, m)| (at, self.site.server(&m.id))).collect();
        self.members = Some(members);
        Ok(())
    }

    /// Applies a proxy's report on a server; returns whether it contained any attempts. Reports on
    /// addresses that are not in the list are about servers that have left, and are ignored: they say
    /// nothing about later servers there.
    pub fn apply_report(&mut self, now: Micros, report: EndpointReport) -> bool {
        let Some(&server) = self.servers_by_address.get(&report.address) else { return false };
        let all = report.succeeded.saturating_add(report.failed);
        let judged = all.min(MAX_JUDGED);
        // Spread failures evenly among successes, starting with a failure. Then a report with nothing but
        // failures ejects the server by the decision module's rule, and one with a few failures among many
        // requests does not.
        let mut failed = 0;
        for i in 1..=judged {
            let due = (u128::from(report.failed) * u128::from(i)).div_ceil(u128::from(all.max(1))) as u64;
            let outcome = if due > failed { Outcome::Error } else { Outcome::Ok };
            failed = due;
            // Reports contain no response times: a long target counts no answer as late.
            self.view.attempt_ended(now, server, outcome, Micros(0), Micros(u64::MAX / 4));
        }
        judged > 0
    }

    /// The snapshot for now; `None` before the first complete list, so that proxies are not told of an
    /// empty fleet only because the list is unknown.
    pub fn snapshot(&mut self, now: Micros) -> Option<FleetSnapshot> {
        let cold = self.site.settings.cold;
        let members = self.members.as_ref()?;
        let statuses: BTreeMap<ServerId, _> =
            self.view.statuses(now).into_iter().map(|s| (s.server, s)).collect();
        // Capacities in sizes: of warm servers, the usable part of cold ones, and of all servers if they
        // were warm.
        let (mut warm, mut cold_usable, mut all) = (0.0, 0.0, 0.0);
        let mut endpoints = Vec::with_capacity(members.len());
        // Servers in zones with a share of zero, and whether they serve if no other server can.
        let mut excluded: Vec<(usize, bool)> = Vec::new();
        for (address, member) in by_address(members) {
            let server = self.servers_by_address.get(&address);
            let status = server.and_then(|id| statuses.get(id)).filter(|_| member.phase == Phase::Ready);
            let size = if member.size > 0.0 { member.size.min(MAX_SIZE) } else { 1.0 };
            let (mut fraction, mut usage) = (1.0, EndpointUse::Healthy);
            match status {
                None => usage = EndpointUse::Draining,
                Some(status) => {
                    match status.health {
                        Health::Healthy => {}
                        Health::OnTrial => fraction = TRIAL_FRACTION,
                        Health::Ejected(_) => usage = EndpointUse::Ejected,
                    }
                    let warm_fraction =
                        status.cold_since.map(|since| self.view.warm_part(step_age(now, since, cold)));
                    let share = self.zone_shares.get(&member.locality);
                    let zone_fraction = share.map_or(1.0, |share| share.weight.max(0.0));
                    fraction *= warm_fraction.unwrap_or(1.0) * zone_fraction;
                    // A zone that is out of service counts as no missing capacity.
                    let capacity = size * zone_fraction;
                    all += capacity;
                    match (usage, warm_fraction) {
                        (EndpointUse::Healthy, None) => warm += capacity,
                        (EndpointUse::Healthy, Some(warm)) => cold_usable += capacity * warm,
                        _ => {}
                    }
                    if let Some(share) =
                        share.filter(|_| usage == EndpointUse::Healthy && zone_fraction <= 0.0)
                    {
                        excluded.push((endpoints.len(), share.yields));
                        usage = EndpointUse::Draining;
                    }
                }
            }
            let weight = ((size * fraction * WEIGHT_PER_SIZE) as u32).max(1);
            let (id, zone) = (member.id.clone(), member.locality.clone());
            let location = self.locations.get(&zone);
            let region = location.map_or_else(String::new, |location| location.region.clone());
            // Zones that serve only as a substitute get different priorities by region; with the same one,
            // requests would be distributed evenly over all their regions instead of going to the preferred
            // one.
            let substitute =
                self.zone_shares.get(&zone).is_some_and(|share| share.weight <= 0.0 && share.yields);
            let priority = if substitute { 1 + location.map_or(0, |location| location.rank) } else { 0 };
            endpoints.push(Endpoint { id, address, zone, usage, weight, region, priority });
        }
        if !endpoints.iter().any(|e: &Endpoint| e.usage == EndpointUse::Healthy) {
            for (i, _) in excluded.into_iter().filter(|(_, yields)| *yields) {
                endpoints[i].usage = EndpointUse::Healthy;
            }
        }
        close_gaps(&mut endpoints);
        endpoints.sort_by(|a, b| (&a.zone, &a.id).cmp(&(&b.zone, &b.id)));
        // The same rule as in the decision module: if warm servers are less than a third of the capacity,
        // each cold server gets the usable fraction of what it would get if all were warm, and the rest is
        // refused.
        let short = cold_usable > 0.0 && warm * 3.0 < all;
        let drop = if short { ((1.0 - (warm + cold_usable) / all) * 10_000.0) as u32 } else { 0 };
        Some(FleetSnapshot { endpoints, drop_per_10000: drop.min(9_999) })
    }

    /// When the snapshot next changes with time alone.
    pub fn next_change(&mut self, now: Micros) -> Option<Micros> {
        let cold = self.site.settings.cold;
        let width = (cold.0 / WARM_STEPS).max(1);
        let mut next: Option<u64> = None;
        for status in self.view.statuses(now) {
            let step = status.cold_since.map(|since| match now.0.checked_sub(since.0) {
                Some(age) => since.0 + (age / width + 1) * width,
                None => since.0 + width, // By its own clock, which is ahead, it starts in the future.
            });
            let ejection_ends = if let Health::Ejected(until) = status.health { Some(until.0) } else { None };
            next = [next, step, ejection_ends].into_iter().flatten().min();
        }
        next.map(Micros)
    }
}

/// Renumbers priorities without gaps, which proxies would reject. gRPC clients ignore priorities at which
/// no server is healthy, so only those with healthy servers are numbered, and other servers join one of
/// them.
fn close_gaps(endpoints: &mut [Endpoint]) {
    let healthy = endpoints.iter().filter(|e| e.usage == EndpointUse::Healthy);
    let found: BTreeSet<u32> = healthy.map(|e| e.priority).collect();
    let last = found.len().saturating_sub(1);
    for e in endpoints {
        e.priority = found.range(..e.priority).count().min(last) as u32;
    }
}

/// A cold server's age at the beginning of its current warm-up step.
fn step_age(now: Micros, since: Micros, cold: Micros) -> Micros {
    let width = (cold.0 / WARM_STEPS).max(1);
    Micros((now - since).0 / width * width)
}

/// The member at each address. If two have the same address, the one that started last has it; if they have
/// the same start time, the one that is ready. Otherwise requests might go to a draining server's address
/// because of the other id, or a server that took over an address might get none.
fn by_address(members: &BTreeMap<String, Member>) -> BTreeMap<SocketAddr, &Member> {
    let mut owners: BTreeMap<SocketAddr, &Member> = BTreeMap::new();
    let rank = |m: &Member| (m.up_since_ms, m.phase == Phase::Ready);
    for member in members.values() {
        let owner = owners.entry(member.host_port).or_insert(member);
        if rank(member) > rank(owner) {
            *owner = member;
        }
    }
    owners
}
