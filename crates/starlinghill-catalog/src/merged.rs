//! What a gateway makes of several registries' lists.

use crate::{BackendState, Instance, Liveness, Observation};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// A backend that no registry knows in its present life is forgotten after this; registries may only have begun anew.
const UNKNOWN: Duration = Duration::from_secs(20);
/// It gets no new work after this, where others of its service are known: time for a beat, for the second that a backend waits
/// for its answer, and for the pauses until it has found a registry that is back. Guards against sending to one whose drain
/// all registries have forgotten.
const YIELDS: Duration = Duration::from_secs(5);
/// A gateway that did not look at its list for so long stood still: it looks twice a second.
const STOOD: Duration = Duration::from_secs(1);
/// How long a gateway remembers a backend that is gone, or that all who tell of it have lost.
const TOMB: Duration = Duration::from_secs(180);

#[derive(Debug)]
struct Seen {
    instance: Instance,
    /// Who tells of it, in which life, and how lately it was heard of there.
    by: BTreeMap<usize, (u64, Liveness)>,
    /// When somebody last told of it. Only what changes is told: that may be long ago.
    at: Duration,
    /// Since when nobody has known it.
    unknown: Option<Duration>,
    /// It is no better than that while nobody knows it: silent where it yields to others of its service, lost where it is
    /// dropped.
    doubt: Liveness,
    /// What was said of it last to whoever sends requests.
    announced: Option<Announced>,
}

/// What whoever sends requests goes by.
#[derive(Debug)]
struct Announced {
    state: BackendState,
    address: SocketAddr,
    service: String,
    liveness: Liveness,
}

impl Announced {
    fn still_holds(&self, instance: &Instance, liveness: Liveness) -> bool {
        (self.state, self.address, &self.service, self.liveness)
            == (instance.state, instance.address, &instance.service, liveness)
    }
}

/// All backends, as this gateway knows them.
#[derive(Debug, Default)]
pub struct MergedView {
    backends: BTreeMap<String, Seen>,
    lives: BTreeMap<usize, u64>,
    /// When each registry last answered.
    heard: BTreeMap<usize, Duration>,
    /// Those that have not for long, while others have: what they said last counts no more.
    absent: BTreeSet<usize>,
    /// When it was last looked at.
    looked: Duration,
    /// From when to when it was not looked at for long: this gateway stood still.
    stood: Option<(Duration, Duration)>,
}

/// A backend that changed.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendChange {
    /// The backend.
    pub instance: Instance,
    /// How lately any of those who tell of it heard of it.
    pub liveness: Liveness,
}

/// Backends of a service that take work and that one registry does not know.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct UnknownBackends {
    /// The part of the service's capacity that is theirs.
    pub capacity_fraction: f64,
    /// Their numbers.
    pub backends: Vec<u64>,
}

impl MergedView {
    /// A registry, in that life, tells of backends. Returns those that are other than they were.
    pub fn apply_observations(
        &mut self,
        now: Duration,
        by: usize,
        life: u64,
        told: Vec<Observation>,
    ) -> Vec<BackendChange> {
        self.lives.insert(by, life);
        self.heard.insert(by, now);
        let was_absent = self.absent.remove(&by);
        let mut changes = Vec::new();
        for Observation { instance, liveness } in told {
            let id = instance.id.clone();
            let seen = self.backends.entry(id.clone()).or_insert_with(|| Seen {
                instance: instance.clone(),
                by: BTreeMap::new(),
                at: now,
                unknown: None,
                doubt: Liveness::Alive,
                announced: None,
            });
            // What once drained never serves again, whoever says so.
            let state = seen.instance.state.max(instance.state);
            if instance.beat_count > seen.instance.beat_count {
                seen.instance = instance;
            }
            seen.instance.state = state;
            seen.by.insert(by, (life, liveness));
            (seen.at, seen.unknown, seen.doubt) = (now, None, Liveness::Alive);
            changes.extend(self.announce(&id));
        }
        if was_absent {
            // What it said before counts again, and it has no need to say it again.
            let ids =
                self.backends.iter().filter(|(_, seen)| seen.by.contains_key(&by)).map(|(id, _)| id.clone());
            for id in ids.collect::<Vec<_>>() {
                changes.extend(self.announce(&id));
            }
        }
        changes
    }

    /// How a backend is, if that is other than what was said of it last.
    fn announce(&mut self, id: &str) -> Option<BackendChange> {
        let seen = self.backends.get(id)?;
        let liveness = self.liveness(seen);
        if seen.announced.as_ref().is_some_and(|said| said.still_holds(&seen.instance, liveness)) {
            return None;
        }
        let instance = seen.instance.clone();
        let Instance { state, address, service, .. } = &instance;
        let news = Announced { state: *state, address: *address, service: service.clone(), liveness };
        self.backends.get_mut(id)?.announced = Some(news);
        Some(BackendChange { instance, liveness })
    }

    /// A registry is asked no more: what it told counts as that of a life which has ended.
    pub fn remove_registry(&mut self, by: usize) {
        self.lives.remove(&by);
        self.heard.remove(&by);
        self.absent.remove(&by);
    }

    /// By whoever heard of it last. What nobody knows stands as it was announced, until it yields: that nobody knows it says
    /// nothing of it, neither well nor ill.
    fn liveness(&self, seen: &Seen) -> Liveness {
        let before = || seen.announced.as_ref().map_or(Liveness::Alive, |said| said.liveness);
        self.known(seen).min().unwrap_or_else(before).max(seen.doubt)
    }

    /// It takes new work.
    fn serves(&self, seen: &Seen) -> bool {
        seen.instance.state == BackendState::Ready && self.liveness(seen) == Liveness::Alive
    }

    /// How lately it was heard of, by each registry that knows it in its present life.
    fn known<'a>(&'a self, seen: &'a Seen) -> impl Iterator<Item = Liveness> + 'a {
        let is_present = |by: &usize, life| self.lives.get(by) == Some(life) && !self.absent.contains(by);
        let present = seen.by.iter().filter(move |(by, (life, _))| is_present(by, life));
        present.map(|(_, (_, liveness))| *liveness)
    }

    /// What nobody tells of any more gets no new work, and is forgotten in the end. Returns what is other than it was.
    pub fn tick(&mut self, now: Duration) -> Vec<BackendChange> {
        // Where none answers this gateway may be the one that is cut off, and goes by what it has.
        let newest = self.heard.values().max().copied().unwrap_or_default();
        let late = |at: Duration| newest.saturating_sub(at) > YIELDS;
        self.absent = self.heard.iter().filter(|(_, at)| late(**at)).map(|(by, _)| *by).collect();
        let known = |seen: &Seen| self.known(seen).next().is_some();
        let unknown: BTreeSet<String> =
            self.backends.iter().filter(|(_, seen)| !known(seen)).map(|(id, _)| id.clone()).collect();
        let serves = |seen: &&Seen| known(seen) && self.serves(seen);
        let served: BTreeSet<String> =
            self.backends.values().filter(serves).map(|seen| seen.instance.service.clone()).collect();
        let before = std::mem::replace(&mut self.looked, now);
        if now.saturating_sub(before) > STOOD {
            self.stood = Some((before, now));
        }
        // What was said while this gateway stood still may be forgotten by all since: it has no time to wait for that.
        let woken = self.stood.filter(|(_, woke)| now.saturating_sub(*woke) < YIELDS);
        let from = woken.map_or(now, |(fell, _)| fell);
        let mut changes = Vec::new();
        // Who spoke for them answers again, and has no need to tell of them: nothing changed there.
        let back = |id: &String, seen: &Seen| seen.unknown.is_some() && !unknown.contains(id);
        let back = self.backends.iter().filter(|(id, seen)| back(id, seen)).map(|(id, _)| id.clone());
        for id in back.collect::<Vec<_>>() {
            let Some(seen) = self.backends.get_mut(&id) else { continue };
            (seen.unknown, seen.doubt) = (None, Liveness::Alive);
            changes.extend(self.announce(&id));
        }
        for id in unknown {
            let Some(seen) = self.backends.get_mut(&id) else { continue };
            let since = now.saturating_sub(*seen.unknown.get_or_insert(from));
            if seen.instance.state == BackendState::Gone {
                continue;
            }
            if since > UNKNOWN {
                seen.doubt = Liveness::Lost;
            } else if since > YIELDS && served.contains(&seen.instance.service) {
                seen.doubt = Liveness::Silent;
            }
            changes.extend(self.announce(&id));
            if since > UNKNOWN && self.backends.get(&id).is_some_and(|seen| !self.is_spoken_for(seen)) {
                self.backends.remove(&id);
            }
        }
        self.forget(now);
        changes
    }

    /// A registry, absent or not, has it in its present life and has not lost it. One that is absent has no need to tell of it
    /// again once it answers, so that it must not be forgotten here.
    fn is_spoken_for(&self, seen: &Seen) -> bool {
        let speaks = |(by, (life, liveness)): (&usize, &(u64, Liveness))| {
            self.lives.get(by) == Some(life) && *liveness < Liveness::Lost
        };
        seen.by.iter().any(speaks)
    }

    /// Forgets what was dropped long ago. Registries have forgotten it by then: they remember no longer from the last beat on
    /// than this does from their last word.
    fn forget(&mut self, now: Duration) {
        let is_lost =
            |seen: &Seen| seen.announced.as_ref().is_some_and(|said| said.liveness == Liveness::Lost);
        let is_dropped = |seen: &Seen| {
            seen.instance.state == BackendState::Gone || is_lost(seen) && !self.is_spoken_for(seen)
        };
        let is_old = |seen: &Seen| now.saturating_sub(seen.at) >= TOMB;
        let old = self.backends.iter().filter(|(_, seen)| is_old(seen) && is_dropped(seen));
        let old: Vec<String> = old.map(|(id, _)| id.clone()).collect();
        for id in old {
            self.backends.remove(&id);
        }
    }

    /// What takes work and what that registry, in its present life, has never told of or has lost, by service: it began while it
    /// was cut off from whom these backends call, or has been for long. Nothing where it has not told of anything yet.
    pub fn unknown_to_registry(&self, rack: usize) -> BTreeMap<&str, UnknownBackends> {
        let Some(life) = self.lives.get(&rack) else { return BTreeMap::new() };
        let holds = |(of, liveness): &(u64, Liveness)| of == life && *liveness < Liveness::Lost;
        let knows = |seen: &Seen| seen.by.get(&rack).is_some_and(holds);
        let serves = |seen: &&Seen| self.serves(seen);
        let mut all: BTreeMap<&str, (u32, u32, Vec<u64>)> = BTreeMap::new();
        for seen in self.backends.values().filter(serves) {
            let (capacity, unknown, backends) = all.entry(&seen.instance.service).or_default();
            *capacity += seen.instance.capacity;
            if !knows(seen) {
                *unknown += seen.instance.capacity;
                backends.push(seen.instance.id_hash());
            }
        }
        let part = |unknown: u32, capacity: u32| f64::from(unknown) / f64::from(capacity.max(1));
        let some = all.into_iter().filter(|(_, (_, _, backends))| !backends.is_empty());
        some.map(|(of, (all, unknown, backends))| {
            (of, UnknownBackends { capacity_fraction: part(unknown, all), backends })
        })
        .collect()
    }

    /// How many backends of each of these services take new work.
    pub fn ready_counts<'a>(&self, services: impl IntoIterator<Item = &'a str>) -> BTreeMap<&'a str, usize> {
        let mut counts: BTreeMap<&str, usize> = services.into_iter().map(|service| (service, 0)).collect();
        for seen in self.backends.values() {
            if let Some(count) = counts.get_mut(seen.instance.service.as_str()) {
                *count += usize::from(self.serves(seen));
            }
        }
        counts
    }

    /// The services that have a backend which takes work, or may again at any moment.
    pub fn available_services(&self) -> BTreeSet<&str> {
        let is_here =
            |seen: &&Seen| seen.instance.state == BackendState::Ready && self.liveness(seen) < Liveness::Lost;
        let ready = self.backends.values().filter(is_here);
        ready.map(|seen| seen.instance.service.as_str()).collect()
    }
}
