//! The picture of the fleet that proxies get: consistent at every moment, changed by news alone and by time
//! where servers warm up or come back from an ejection.

use starlinghill_decision::api::*;
use starlinghill_decision::{FleetView, Health};
use starlinghill_settings::members::{Member, MemberList, Phase};
use starlinghill_settings::NamedSettings;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

/// The most members that a list may have. Guards memory against a list gone wild; the old one stays.
pub const MAX_MEMBERS: usize = 10_000;
/// A cold server's weight grows in so many steps, each a message to every proxy. Weights are those of a step's
/// beginning, so a proxy that hears late sends too little, never too much.
const WARM_STEPS: u64 = 16;
/// The weight of a server on trial, as part of its own.
const TRIAL_PART: f64 = 0.05;
/// The weight of a warm server of size one.
const WEIGHT_OF_ONE: f64 = 1000.0;
/// Sizes beyond this count as this; the sum of all weights must fit 32 bits.
const LARGEST: f64 = 400.0;
/// The most attempts of one report that are judged one by one. A share of failures is as clear from so many.
const MOST_JUDGED: u64 = 32;

/// What a proxy may do with a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointUse {
    /// Send it work by its weight.
    Healthy,
    /// Send nothing for now; it failed at the proxies.
    Ejected,
    /// Send nothing new; it finishes what it has.
    Draining,
}

/// A server as proxies are told of it.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Its id in the list.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// What may be done with it.
    pub usage: EndpointUse,
    /// Its part of the work against the others; 1 at the least.
    pub weight: u32,
    /// Its zone's region, where operators say one.
    pub region: String,
    /// 0, and more for what stands in after others: proxies go to it where nothing before it can serve. Without gaps.
    pub priority: u32,
}

/// Where operators see a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointLocation {
    /// Its region.
    pub region: String,
    /// How many regions are preferred to it.
    pub rank: u32,
}

/// All that proxies are told of the fleet.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FleetSnapshot {
    /// The servers, by zone and id; each address once.
    pub endpoints: Vec<Endpoint>,
    /// Parts in 10,000 of all requests that a proxy is to turn away: where most of the fleet is cold, weights
    /// alone would share all traffic out among servers that can't bear it.
    pub drop_per_10000: u32,
}

/// A list that can't be used. The old one stays.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListError {
    /// Changes came before any whole list.
    NoBase,
    /// It would have more members than [`MAX_MEMBERS`].
    TooLong(usize),
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListError::NoBase => f.write_str("changes to a list that was never told whole; nothing changes"),
            ListError::TooLong(n) => {
                write!(f, "a list of {n} members, {MAX_MEMBERS} at most; the old one stays")
            }
        }
    }
}
impl std::error::Error for ListError {}

/// What one proxy saw of one server since its last report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointReport {
    /// Where the server listens.
    pub address: SocketAddr,
    /// Requests that it answered.
    pub succeeded: u64,
    /// Requests that failed there.
    pub failed: u64,
}

/// The fleet, from the list and from what proxies report.
pub struct Fleet {
    site: NamedSettings,
    judged: FleetView,
    /// The members by id, as the list has them; `None` until one came whole.
    members: Option<BTreeMap<String, Member>>,
    /// Whose a report is, by address.
    at: BTreeMap<SocketAddr, ServerId>,
    /// The parts of their work that zones get by order; those not named have their whole part.
    zones: BTreeMap<String, ZoneShare>,
    /// The regions of zones.
    places: BTreeMap<String, EndpointLocation>,
}

impl Fleet {
    /// A fleet of which nothing is known.
    pub fn new(seed: u64, site: NamedSettings) -> Result<Fleet, SettingsError> {
        let judged = FleetView::new(seed, site.settings.clone())?;
        Ok(Fleet {
            site,
            judged,
            members: None,
            at: BTreeMap::new(),
            zones: BTreeMap::new(),
            places: BTreeMap::new(),
        })
    }

    /// Whether a whole list has come.
    pub fn is_known(&self) -> bool {
        self.members.is_some()
    }

    /// Regions of zones, from now on.
    pub fn set_locations(&mut self, places: BTreeMap<String, EndpointLocation>) {
        self.places = places;
    }

    /// New parts of zones hold from now on.
    pub fn set_zone_shares(&mut self, parts: Vec<(String, ZoneShare)>) {
        let sound = |(_, part): &(String, ZoneShare)| part.weight.is_finite() && part.weight < 1.0;
        self.zones = parts.into_iter().filter(sound).collect();
    }

    /// Takes news of the list in. An empty whole list is news too; an empty list of changes is none.
    pub fn apply_list(&mut self, now: Micros, list: MemberList) -> Result<(), ListError> {
        let held = self.members.as_ref();
        if held.is_none() && !list.complete {
            return Err(ListError::NoBase);
        }
        let base = held.filter(|_| !list.complete);
        let fresh = list.members.iter().filter(|m| base.is_none_or(|held| !held.contains_key(&m.id))).count();
        let n = fresh + base.map_or(0, BTreeMap::len);
        if n > MAX_MEMBERS {
            return Err(ListError::TooLong(n));
        }
        let mut members =
            if list.complete { BTreeMap::new() } else { self.members.take().unwrap_or_default() };
        let entries = list.members;
        let told = entries
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
        self.judged.update_list(now, scope, told);
        for member in entries {
            match member.phase {
                Phase::Gone => drop(members.remove(&member.id)),
                _ => drop(members.insert(member.id.clone(), member)),
            }
        }
        // Guards against growing with every server there ever was.
        self.site.servers.retain(|_, id| members.contains_key(id));
        self.at = by_address(&members).into_iter().map(|(at, m)| (at, self.site.server(&m.id))).collect();
        self.members = Some(members);
        Ok(())
    }

    /// Takes in what a proxy saw of a server. Reports on addresses that the list does not have are of servers
    /// that are gone, and say nothing of those to come. Returns whether anything was judged.
    pub fn apply_report(&mut self, now: Micros, seen: EndpointReport) -> bool {
        let Some(&server) = self.at.get(&seen.address) else { return false };
        let all = seen.succeeded.saturating_add(seen.failed);
        let judged = all.min(MOST_JUDGED);
        // Failures and successes in turn as they are spread over the whole, failures first: a report of
        // failures alone ejects by the module's own rule, one of a few among many does not.
        let mut failed = 0;
        for i in 1..=judged {
            let due = (u128::from(seen.failed) * u128::from(i)).div_ceil(u128::from(all.max(1))) as u64;
            let outcome = if due > failed { Outcome::Error } else { Outcome::Ok };
            failed = due;
            // Times are not reported: an answer counts as neither early nor late.
            self.judged.attempt_ended(now, server, outcome, Micros(0), Micros(u64::MAX / 4));
        }
        judged > 0
    }

    /// The picture now; `None` while no whole list has come: for want of news nobody is told that the fleet is
    /// empty.
    pub fn snapshot(&mut self, now: Micros) -> Option<FleetSnapshot> {
        let cold = self.site.settings.cold;
        let members = self.members.as_ref()?;
        let facts: BTreeMap<ServerId, _> =
            self.judged.statuses(now).into_iter().map(|f| (f.server, f)).collect();
        let (mut warm, mut part_of_cold, mut all) = (0.0, 0.0, 0.0);
        let mut endpoints = Vec::with_capacity(members.len());
        // Those whose zone is out by order, and whether that yields where no other one can serve.
        let mut held: Vec<(usize, bool)> = Vec::new();
        for (address, member) in by_address(members) {
            let server = self.at.get(&address);
            let fact = server.and_then(|id| facts.get(id)).filter(|_| member.phase == Phase::Ready);
            let size = if member.size > 0.0 { member.size.min(LARGEST) } else { 1.0 };
            let (mut part, mut usage) = (1.0, EndpointUse::Healthy);
            match fact {
                None => usage = EndpointUse::Draining,
                Some(fact) => {
                    match fact.health {
                        Health::Healthy => {}
                        Health::OnTrial => part = TRIAL_PART,
                        Health::Ejected(_) => usage = EndpointUse::Ejected,
                    }
                    let warm_part =
                        fact.cold_since.map(|since| self.judged.warm_part(step(now, since, cold)));
                    let ordered = self.zones.get(&member.locality);
                    let zone_part = ordered.map_or(1.0, |part| part.weight.max(0.0));
                    part *= warm_part.unwrap_or(1.0) * zone_part;
                    // What is not to bear anything by order is not missed either.
                    let bears = size * zone_part;
                    all += bears;
                    match (usage, warm_part) {
                        (EndpointUse::Healthy, None) => warm += bears,
                        (EndpointUse::Healthy, Some(part)) => part_of_cold += bears * part,
                        _ => {}
                    }
                    if let Some(ordered) =
                        ordered.filter(|_| usage == EndpointUse::Healthy && zone_part <= 0.0)
                    {
                        held.push((endpoints.len(), ordered.yields));
                        usage = EndpointUse::Draining;
                    }
                }
            }
            let weight = ((size * part * WEIGHT_OF_ONE) as u32).max(1);
            let (id, zone) = (member.id.clone(), member.locality.clone());
            let place = self.places.get(&zone);
            let region = place.map_or_else(String::new, |place| place.region.clone());
            // One by one, by the order of preference: what yields to nobody in particular would be spread over the
            // regions evenly.
            let stands_in = self.zones.get(&zone).is_some_and(|part| part.weight <= 0.0 && part.yields);
            let priority = if stands_in { 1 + place.map_or(0, |place| place.rank) } else { 0 };
            endpoints.push(Endpoint { id, address, zone, usage, weight, region, priority });
        }
        if !endpoints.iter().any(|e: &Endpoint| e.usage == EndpointUse::Healthy) {
            for (i, _) in held.into_iter().filter(|(_, yields)| *yields) {
                endpoints[i].usage = EndpointUse::Healthy;
            }
        }
        close_gaps(&mut endpoints);
        endpoints.sort_by(|a, b| (&a.zone, &a.id).cmp(&(&b.zone, &b.id)));
        // As the module does: where warm servers are fewer than a third of the fleet, cold ones get their part
        // of what each server would get if all were warm, and what is left over is turned away.
        let short = part_of_cold > 0.0 && warm * 3.0 < all;
        let drop = if short { ((1.0 - (warm + part_of_cold) / all) * 10_000.0) as u32 } else { 0 };
        Some(FleetSnapshot { endpoints, drop_per_10000: drop.min(9_999) })
    }

    /// When the picture changes next by time alone.
    pub fn next_change(&mut self, now: Micros) -> Option<Micros> {
        let cold = self.site.settings.cold;
        let width = (cold.0 / WARM_STEPS).max(1);
        let mut next: Option<u64> = None;
        for fact in self.judged.statuses(now) {
            let step = fact.cold_since.map(|since| match now.0.checked_sub(since.0) {
                Some(age) => since.0 + (age / width + 1) * width,
                None => since.0 + width, // It started, by its clock, in what is the future here.
            });
            let back = if let Health::Ejected(until) = fact.health { Some(until.0) } else { None };
            next = [next, step, back].into_iter().flatten().min();
        }
        next.map(Micros)
    }
}

/// Proxies refuse priorities with gaps, and gRPC clients count only those with something that serves: what does not is
/// put beside what does.
fn close_gaps(endpoints: &mut [Endpoint]) {
    let serve = endpoints.iter().filter(|e| e.usage == EndpointUse::Healthy);
    let found: BTreeSet<u32> = serve.map(|e| e.priority).collect();
    let last = found.len().saturating_sub(1);
    for e in endpoints {
        e.priority = found.range(..e.priority).count().min(last) as u32;
    }
}

/// The age that counts: the beginning of the present step.
fn step(now: Micros, since: Micros, cold: Micros) -> Micros {
    let width = (cold.0 / WARM_STEPS).max(1);
    Micros((now - since).0 / width * width)
}

/// Whose each address is. Where two ids stand at one address, the one that started last has it; if that is not
/// told, the one that takes work. Guards against sending on to what drains because another id has its address,
/// and against keeping from work what came in its place.
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
