//! A gateway's view of the backends, merged from the catalogs of several registries.

use crate::{BackendState, Instance, Liveness, Observation};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// A backend that no registry knows in its present incarnation is dropped after this. Long, since all registries may just
/// have restarted.
const UNKNOWN_TIMEOUT: Duration = Duration::from_secs(20);
/// After this such a backend gets no new requests if its service has others that are known. The time covers a heartbeat
/// interval, the second for which a backend waits for an answer, and the pauses until it has found a registry that is
/// back. Without this rule a gateway could send requests to a backend whose drain all registries have forgotten.
///
/// A registry that has not answered for this long, while others have, counts as absent.
const UNKNOWN_GRACE: Duration = Duration::from_secs(5);
/// A gateway calls `tick` twice a second. If it did not for this long, its process was frozen.
const FREEZE_THRESHOLD: Duration = Duration::from_secs(1);
/// How long a backend is remembered after it has left, or after every registry that reports it has lost it.
const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(180);

#[derive(Debug)]
struct Entry {
    instance: Instance,
    /// For each registry that reported the backend: the registry's incarnation and the liveness that it reported.
    reports: BTreeMap<usize, (u64, Liveness)>,
    /// When the last report arrived. Registries report only changes, so this may be long ago.
    reported_at: Duration,
    /// Since when no registry has known the backend.
    unknown_since: Option<Duration>,
    /// The best liveness that the backend can have while no registry knows it: silent once it yields to other backends
    /// of its service, lost once it is dropped.
    liveness_limit: Liveness,
    /// The last announced change.
    announced: Option<Announced>,
}

/// The properties of a backend whose changes are announced to the part of the gateway that sends requests.
#[derive(Debug)]
struct Announced {
    state: BackendState,
    address: SocketAddr,
    service: String,
    liveness: Liveness,
}

impl Announced {
    fn matches(&self, instance: &Instance, liveness: Liveness) -> bool {
        (self.state, self.address, &self.service, self.liveness)
            == (instance.state, instance.address, &instance.service, liveness)
    }
}

/// All backends, as a gateway knows them from the registries. Registries are numbered by the caller.
#[derive(Debug, Default)]
pub struct MergedView {
    backends: BTreeMap<String, Entry>,
    /// The present incarnation of each registry.
    incarnations: BTreeMap<usize, u64>,
    /// When each registry last answered.
    answered_at: BTreeMap<usize, Duration>,
    /// Registries that have not answered for long while others have. Their reports do not count.
    absent: BTreeSet<usize>,
    last_tick: Duration,
    /// The last freeze of this gateway: the last tick before it and the first one after it.
    last_freeze: Option<(Duration, Duration)>,
}

/// A change of a backend.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendChange {
    /// The backend.
    pub instance: Instance,
    /// The best liveness that any registry reports.
    pub liveness: Liveness,
}

/// Backends of one service that take requests and that one registry does not know.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct UnknownBackends {
    /// Their fraction of the service's capacity.
    pub capacity_fraction: f64,
    /// The hashes of their ids.
    pub backends: Vec<u64>,
}

impl MergedView {
    /// Takes in the reports of a registry in this incarnation. Returns the resulting changes.
    pub fn apply_observations(
        &mut self,
        now: Duration,
        registry: usize,
        incarnation: u64,
        observations: Vec<Observation>,
    ) -> Vec<BackendChange> {
        self.incarnations.insert(registry, incarnation);
        self.answered_at.insert(registry, now);
        let was_absent = self.absent.remove(&registry);
        let mut changes = Vec::new();
        for Observation { instance, liveness } in observations {
            let id = instance.id.clone();
            let entry = self.backends.entry(id.clone()).or_insert_with(|| Entry {
                instance: instance.clone(),
                reports: BTreeMap::new(),
                reported_at: now,
                unknown_since: None,
                liveness_limit: Liveness::Alive,
                announced: None,
            });
            // A backend that once drained never serves again, whatever is reported later.
            let state = entry.instance.state.max(instance.state);
            if instance.beat_count > entry.instance.beat_count {
                entry.instance = instance;
            }
            entry.instance.state = state;
            entry.reports.insert(registry, (incarnation, liveness));
            (entry.reported_at, entry.unknown_since, entry.liveness_limit) = (now, None, Liveness::Alive);
            changes.extend(self.announce(&id));
        }
        if was_absent {
            // Its earlier reports count again, and it will not repeat them.
            let reported = self.backends.iter().filter(|(_, entry)| entry.reports.contains_key(&registry));
            let ids: Vec<String> = reported.map(|(id, _)| id.clone()).collect();
            for id in ids {
                changes.extend(self.announce(&id));
            }
        }
        changes
    }

    /// The change of a backend since it was last announced, if there is one.
    fn announce(&mut self, id: &str) -> Option<BackendChange> {
        let entry = self.backends.get(id)?;
        let liveness = self.liveness(entry);
        if entry.announced.as_ref().is_some_and(|announced| announced.matches(&entry.instance, liveness)) {
            return None;
        }
        let instance = entry.instance.clone();
        let Instance { state, address, service, .. } = &instance;
        let announced = Announced { state: *state, address: *address, service: service.clone(), liveness };
        self.backends.get_mut(id)?.announced = Some(announced);
        Some(BackendChange { instance, liveness })
    }

    /// Removes a registry that is no longer asked. Its reports count like those of an earlier incarnation.
    pub fn remove_registry(&mut self, registry: usize) {
        self.incarnations.remove(&registry);
        self.answered_at.remove(&registry);
        self.absent.remove(&registry);
    }

    /// The best liveness that any present registry reports. A backend that no registry knows keeps its announced
    /// liveness up to the limit, since the missing reports say nothing about it.
    fn liveness(&self, entry: &Entry) -> Liveness {
        let announced = || entry.announced.as_ref().map_or(Liveness::Alive, |announced| announced.liveness);
        self.current_reports(entry).min().unwrap_or_else(announced).max(entry.liveness_limit)
    }

    /// Whether a backend takes new requests.
    fn is_available(&self, entry: &Entry) -> bool {
        entry.instance.state == BackendState::Ready && self.liveness(entry) == Liveness::Alive
    }

    /// The liveness that each registry reports that is present and has not restarted since.
    fn current_reports<'a>(&'a self, entry: &'a Entry) -> impl Iterator<Item = Liveness> + 'a {
        let is_current = |registry: &usize, incarnation| {
            self.incarnations.get(registry) == Some(incarnation) && !self.absent.contains(registry)
        };
        let current = entry
            .reports
            .iter()
            .filter(move |(registry, (incarnation, _))| is_current(registry, incarnation));
        current.map(|(_, (_, liveness))| *liveness)
    }

    /// Lets time pass. A backend that no registry knows any more first gets no new requests and is dropped in the end.
    /// Returns the resulting changes.
    pub fn tick(&mut self, now: Duration) -> Vec<BackendChange> {
        // Measured from the last answer of any registry: if none answers, this gateway may be the one that is cut off,
        // and keeps what it knows.
        let newest = self.answered_at.values().max().copied().unwrap_or_default();
        let is_late = |at: Duration| newest.saturating_sub(at) > UNKNOWN_GRACE;
        self.absent =
            self.answered_at.iter().filter(|(_, at)| is_late(**at)).map(|(registry, _)| *registry).collect();
        let is_known = |entry: &Entry| self.current_reports(entry).next().is_some();
        let unknown: BTreeSet<String> =
            self.backends.iter().filter(|(_, entry)| !is_known(entry)).map(|(id, _)| id.clone()).collect();
        let is_known_available = |entry: &&Entry| is_known(entry) && self.is_available(entry);
        let services_with_known_backends: BTreeSet<String> = self
            .backends
            .values()
            .filter(is_known_available)
            .map(|entry| entry.instance.service.clone())
            .collect();
        let before = std::mem::replace(&mut self.last_tick, now);
        if now.saturating_sub(before) > FREEZE_THRESHOLD {
            self.last_freeze = Some((before, now));
        }
        // All registries may have forgotten what was reported during a freeze of this gateway. The grace period then
        // counts from the start of the freeze.
        let recent_freeze =
            self.last_freeze.filter(|(_, thawed_at)| now.saturating_sub(*thawed_at) < UNKNOWN_GRACE);
        let unknown_from = recent_freeze.map_or(now, |(frozen_at, _)| frozen_at);
        let mut changes = Vec::new();
        // A registry that knows these backends answers again. It does not report them, since nothing changed there.
        let known_again = |id: &String, entry: &Entry| entry.unknown_since.is_some() && !unknown.contains(id);
        let known_again: Vec<String> = self
            .backends
            .iter()
            .filter(|(id, entry)| known_again(id, entry))
            .map(|(id, _)| id.clone())
            .collect();
        for id in known_again {
            let Some(entry) = self.backends.get_mut(&id) else { continue };
            (entry.unknown_since, entry.liveness_limit) = (None, Liveness::Alive);
            changes.extend(self.announce(&id));
        }
        for id in unknown {
            let Some(entry) = self.backends.get_mut(&id) else { continue };
            let unknown_for = now.saturating_sub(*entry.unknown_since.get_or_insert(unknown_from));
            if entry.instance.state == BackendState::Gone {
                continue;
            }
            if unknown_for > UNKNOWN_TIMEOUT {
                entry.liveness_limit = Liveness::Lost;
            } else if unknown_for > UNKNOWN_GRACE
                && services_with_known_backends.contains(&entry.instance.service)
            {
                entry.liveness_limit = Liveness::Silent;
            }
            changes.extend(self.announce(&id));
            let is_dropped = unknown_for > UNKNOWN_TIMEOUT
                && self.backends.get(&id).is_some_and(|entry| !self.is_held_by_any(entry));
            if is_dropped {
                self.backends.remove(&id);
            }
        }
        self.forget_old(now);
        changes
    }

    /// Whether any registry, absent or not, still has the backend and has not lost it. Such an entry must be kept: when
    /// the registry answers again, it does not repeat its report.
    fn is_held_by_any(&self, entry: &Entry) -> bool {
        let is_held = |(registry, (incarnation, liveness)): (&usize, &(u64, Liveness))| {
            self.incarnations.get(registry) == Some(incarnation) && *liveness < Liveness::Lost
        };
        entry.reports.iter().any(is_held)
    }

    /// Forgets backends that were dropped long ago. The registries have forgotten them by then: they remember a backend
    /// for the same time, counted from its last heartbeat, which came before their last report.
    fn forget_old(&mut self, now: Duration) {
        let is_lost = |entry: &Entry| {
            entry.announced.as_ref().is_some_and(|announced| announced.liveness == Liveness::Lost)
        };
        let is_dropped = |entry: &Entry| {
            entry.instance.state == BackendState::Gone || is_lost(entry) && !self.is_held_by_any(entry)
        };
        let is_old = |entry: &Entry| now.saturating_sub(entry.reported_at) >= TOMBSTONE_LIFETIME;
        let old = self.backends.iter().filter(|(_, entry)| is_old(entry) && is_dropped(entry));
        let old: Vec<String> = old.map(|(id, _)| id.clone()).collect();
        for id in old {
            self.backends.remove(&id);
        }
    }

    /// The available backends that a registry in its present incarnation has never reported or has lost, by service. Such
    /// a registry started while it was cut off from the registries that these backends call, or has long been cut off.
    /// Empty for a registry that has not answered yet.
    pub fn unknown_to_registry(&self, registry: usize) -> BTreeMap<&str, UnknownBackends> {
        let Some(present) = self.incarnations.get(&registry) else { return BTreeMap::new() };
        let is_held =
            |(incarnation, liveness): &(u64, Liveness)| incarnation == present && *liveness < Liveness::Lost;
        let is_known = |entry: &Entry| entry.reports.get(&registry).is_some_and(is_held);
        // By service: the whole capacity, the unknown capacity, and the unknown backends.
        let mut services: BTreeMap<&str, (u32, u32, Vec<u64>)> = BTreeMap::new();
        for entry in self.backends.values().filter(|entry| self.is_available(entry)) {
            let (capacity, unknown, backends) = services.entry(&entry.instance.service).or_default();
            *capacity += entry.instance.capacity;
            if !is_known(entry) {
                *unknown += entry.instance.capacity;
                backends.push(entry.instance.id_hash());
            }
        }
        let fraction = |part: u32, whole: u32| f64::from(part) / f64::from(whole.max(1));
        let incomplete = services.into_iter().filter(|(_, (_, _, backends))| !backends.is_empty());
        incomplete
            .map(|(service, (capacity, unknown, backends))| {
                (service, UnknownBackends { capacity_fraction: fraction(unknown, capacity), backends })
            })
            .collect()
    }

    /// The number of available backends of each of these services.
    pub fn ready_counts<'a>(&self, services: impl IntoIterator<Item = &'a str>) -> BTreeMap<&'a str, usize> {
        let mut counts: BTreeMap<&str, usize> = services.into_iter().map(|service| (service, 0)).collect();
        for entry in self.backends.values() {
            if let Some(count) = counts.get_mut(entry.instance.service.as_str()) {
                *count += usize::from(self.is_available(entry));
            }
        }
        counts
    }

    /// The services with a backend that takes new requests, or that is only silent and may do so again at any moment.
    pub fn available_services(&self) -> BTreeSet<&str> {
        let is_present = |entry: &&Entry| {
            entry.instance.state == BackendState::Ready && self.liveness(entry) < Liveness::Lost
        };
        let present = self.backends.values().filter(is_present);
        present.map(|entry| entry.instance.service.as_str()).collect()
    }
}
