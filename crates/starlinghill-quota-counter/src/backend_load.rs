//! How much room there is at backends: what all gateways together have out there, how long answers take and which attempts
//! came to nothing, kept where all gateways ask anyway.
//!
//! A gateway that sends some twenty requests a second to hundreds of backends learns nothing of any of them; all gateways
//! together see each several times a second. So each tells with its draws what it has out, as absolute numbers, and how
//! attempts ended since its last word; with the answer to a draw it hears which backends of the request's service answer
//! soonest, as seen from here. The gateway chooses among those, by its own sight. A backend that was named counts as loaded
//! for a moment, so that gateways that ask at the same time are not all sent to the same one.

use bitcode::{Decode, Encode};
use slotmap::{new_key_type, SlotMap};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// The most backends that are kept, and gateways. Guards memory.
const MOST: usize = 20_000;
const MOST_GATEWAYS: usize = 4_096;
/// How many backends are named to a request, and the most that are looked at for it.
const NAMED: usize = 3;
const LOOKED_AT: usize = 512;
/// A backend that was named counts as loaded for so long, or until more is told to be out there. Gateways tell within some
/// 60 ms, and thin links hold a word up behind bodies.
const EXPECTED: Duration = Duration::from_millis(300);
/// The time in which half of what is held against a backend is forgotten: one that gets nothing must be tried again.
const FORGIVEN: f64 = 2.0;
/// The same for how much faster or slower it is than the others.
const RELEARNT: f64 = 6.0;
/// So many changes of a backend's load are remembered.
const REMEMBERED: usize = 24;
/// What one answer, and one attempt that came to nothing, count for.
const SMOOTH: f64 = 0.15;
const SMOOTH_ALL: f64 = 0.01;
/// One answer says no more than that a backend is so many times slower, or faster, than the others.
const SLOWEST: f64 = 6.0;
const FASTEST: f64 = 0.3;
/// What is held against a backend on which all attempts came to nothing.
const ILL: f64 = 12.0;
/// A gateway that sent something there within this time mostly has a connection; another one must open it first, which
/// costs time at both ends: as much as that part of a round of work.
const CONNECTED: Duration = Duration::from_millis(4_000);
const UNCONNECTED: f64 = 0.4;
/// The same for another zone: it is further, and traffic between zones costs.
const FAR: f64 = 0.08;
/// The same for one of which nothing is heard here. Little: of those that are gone gateways tell soon, and half of them may
/// only be cut off.
const SILENT: f64 = 0.25;
/// Backends that are nearly alike are taken by chance.
const NUDGE: f64 = 0.05;

/// What a gateway tells of a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct LoadReport {
    /// Which one.
    pub backend: u64,
    /// What the gateway has out there now.
    pub outstanding: u16,
    /// How many answers came since its last word.
    pub succeeded: u16,
    /// The time that they took, in ms, all together.
    pub total_latency_ms: u32,
    /// How many attempts came to nothing since.
    pub failed: u16,
}

/// A backend as the list has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedBackend {
    /// Which one.
    pub backend: u64,
    /// Its service, by its number.
    pub service: u32,
    /// Its zone, by its number.
    pub zone: u64,
    /// Requests that it works on at once.
    pub capacity: u32,
    /// It takes new work.
    pub accepts_work: bool,
    /// Nothing was heard of it here for several beats: it may be gone, or call another registry that is cut off from here.
    pub is_silent: bool,
    /// How much longer it is slow after its start.
    pub warm_up_left: Duration,
}

/// A backend that is named to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct BackendOffer {
    /// Which one.
    pub backend: u64,
    /// When it would answer, in ms; 0 where it begins at once.
    pub expected_response_ms: u16,
}

/// A backend as the counter sees it.
#[derive(Debug, Clone, Copy, PartialEq, Encode, Decode)]
pub struct BackendLoad {
    /// Which one.
    pub backend: u64,
    /// What all gateways have out there.
    pub outstanding: u32,
    /// Requests that it works on at once.
    pub capacity: u32,
    /// How many times slower it is than its service.
    pub slowdown: f32,
    /// The part of attempts that came to nothing of late.
    pub failure_rate: f32,
}

#[derive(Debug)]
struct Backend {
    listed: ListedBackend,
    warm_at: Duration,
    /// What each gateway has out, and the sum.
    out: HashMap<u64, u16>,
    all: u32,
    /// When it was named to gateways that have not sent anything since, as far as is known.
    named: VecDeque<Duration>,
    /// What it had to do, each time that changed: an answer tells of the load that it met.
    before: VecDeque<(Duration, u32)>,
    /// How much slower it is than its service.
    slow: f64,
    /// The part of attempts that came to nothing.
    ill: f64,
    /// When each gateway last sent something.
    used: HashMap<u64, Duration>,
}

#[derive(Debug, Default)]
struct Service {
    backends: Vec<Key>,
    /// How long a round of work takes, in ms, and by how many answers.
    pace: f64,
    answers: u32,
}

new_key_type! { struct Key; }

/// The table.
#[derive(Debug, Default)]
pub struct LoadTable {
    backends: SlotMap<Key, Backend>,
    by: HashMap<u64, Key>,
    services: HashMap<u32, Service>,
    /// The gateways that told something, and the zones of all.
    told: BTreeSet<u64>,
    zones: HashMap<u64, u64>,
    at: Duration,
    turn: usize,
}

/// How long a backend is slow after its start, and what part of its work it does at first. Backends say for how long, not
/// how slow.
const COLD: f64 = 3.0;
const COLD_PART: f64 = 0.5;

impl Backend {
    /// What is out there, and on its way.
    fn load(&self) -> u32 {
        self.all + self.named.len() as u32
    }

    /// How many times over it is full with that load.
    fn rounds(&self, load: u32) -> f64 {
        f64::from(load) / f64::from(self.listed.capacity.max(1))
    }

    /// Its load is another one.
    fn changed(&mut self, now: Duration) {
        if self.before.len() >= REMEMBERED {
            self.before.pop_front();
        }
        self.before.push_back((now, self.load()));
    }

    /// The load that it had then.
    fn load_at(&self, at: Duration) -> u32 {
        let known = self.before.iter().rev().find(|(since, _)| *since <= at).or(self.before.front());
        known.map_or(0, |(_, load)| *load)
    }

    /// How many times longer it takes than a warm one of usual speed.
    fn pace(&self, now: Duration) -> f64 {
        let left = self.warm_at.saturating_sub(now).as_secs_f64();
        let part = 1.0 - (1.0 - COLD_PART) * (left / COLD).min(1.0);
        self.slow / part
    }
}

impl LoadTable {
    /// The list has something new.
    pub fn update_listing(&mut self, now: Duration, listed: ListedBackend) {
        let (key, new) = match self.by.get(&listed.backend) {
            Some(key) => (*key, false),
            None if !listed.accepts_work || self.by.len() >= MOST => return,
            None => {
                let backend = Backend {
                    listed,
                    warm_at: now,
                    out: HashMap::new(),
                    all: 0,
                    named: VecDeque::new(),
                    before: VecDeque::new(),
                    slow: 1.0,
                    ill: 0.0,
                    used: HashMap::new(),
                };
                let key = self.backends.insert(backend);
                self.by.insert(listed.backend, key);
                (key, true)
            }
        };
        let Some(backend) = self.backends.get_mut(key) else { return };
        let before = std::mem::replace(&mut backend.listed, listed);
        backend.warm_at = now + listed.warm_up_left;
        let stays = listed.accepts_work && before.service == listed.service;
        if !stays {
            if let Some(service) = self.services.get_mut(&before.service) {
                service.backends.retain(|held| *held != key);
                if service.backends.is_empty() {
                    self.services.remove(&before.service);
                }
            }
        }
        if !listed.accepts_work {
            self.backends.remove(key);
            self.by.remove(&listed.backend);
        } else if new || !stays {
            self.services.entry(listed.service).or_default().backends.push(key);
        }
    }

    /// A gateway is in that zone.
    pub fn set_gateway_zone(&mut self, gateway: u64, zone: u64) {
        if self.zones.len() < MOST_GATEWAYS {
            self.zones.insert(gateway, zone);
        }
    }

    /// A gateway tells how things stand between it and some backends.
    pub fn apply_reports(&mut self, now: Duration, from: u64, words: &[LoadReport]) {
        if !self.told.contains(&from) && self.told.len() >= MOST_GATEWAYS {
            return;
        }
        self.told.insert(from);
        for word in words {
            let Some(backend) = self.by.get(&word.backend).and_then(|key| self.backends.get_mut(*key)) else {
                continue;
            };
            let service = self.services.entry(backend.listed.service).or_default();
            if word.succeeded > 0 {
                let took = f64::from(word.total_latency_ms) / f64::from(word.succeeded);
                let met = backend.load_at(now.saturating_sub(Duration::from_millis(took as u64)));
                let took = took / backend.rounds(met).max(1.0);
                if service.answers == 0 {
                    service.pace = took;
                }
                let slow = (took / service.pace.max(0.1)).clamp(FASTEST, SLOWEST);
                for _ in 0..word.succeeded.min(8) {
                    backend.slow += SMOOTH * (slow - backend.slow);
                    backend.ill -= SMOOTH * backend.ill;
                    // A counter that has just begun learns sooner.
                    service.answers = service.answers.saturating_add(1);
                    let weight = SMOOTH_ALL.max(1.0 / f64::from(service.answers));
                    service.pace += weight * (slow - 1.0) * service.pace;
                }
            }
            for _ in 0..word.failed.min(8) {
                backend.ill += SMOOTH * (1.0 - backend.ill);
            }
            let before = match word.outstanding {
                0 => backend.out.remove(&from).unwrap_or(0),
                out => backend.out.insert(from, out).unwrap_or(0),
            };
            backend.all = backend.all + u32::from(word.outstanding) - u32::from(before);
            // An attempt that began and ended between two words was expected as well.
            let told = usize::from(word.outstanding) + usize::from(word.succeeded) + usize::from(word.failed);
            let began = told.saturating_sub(usize::from(before));
            if began > 0 {
                backend.used.insert(from, now);
                backend.named.drain(..began.min(backend.named.len()));
            }
            backend.changed(now);
        }
    }

    /// The backends of a service that answer soonest, to a request of that gateway, best first. The first counts as loaded, if
    /// it answers within that time: else the request does not go on.
    pub fn offer_backends(
        &mut self,
        now: Duration,
        from: u64,
        service: u32,
        within: Duration,
    ) -> Vec<BackendOffer> {
        let Some(service) = self.services.get(&service) else { return Vec::new() };
        let zone = self.zones.get(&from).copied();
        let count = service.backends.len();
        self.turn = self.turn.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let begin = self.turn % count.max(1);
        let mut best: Vec<(f64, Key, f64)> = Vec::with_capacity(NAMED + 1);
        for i in 0..count.min(LOOKED_AT) {
            let key = service.backends[(begin + i) % count];
            let Some(backend) = self.backends.get(key) else { continue };
            let rounds = backend.rounds(backend.load() + 1);
            let pace = backend.pace(now);
            let connected = backend.used.get(&from).is_some_and(|at| now < *at + CONNECTED);
            let mut score = rounds * pace * (1.0 + ILL * backend.ill) + NUDGE * chance(self.turn, i);
            score += if connected { 0.0 } else { UNCONNECTED };
            score += if backend.listed.is_silent { SILENT } else { 0.0 };
            score += if zone == Some(backend.listed.zone) { 0.0 } else { FAR };
            if best.len() == NAMED && best.last().is_some_and(|(worst, ..)| *worst <= score) {
                continue;
            }
            let at = best.partition_point(|(other, ..)| *other <= score);
            // Where it works at once, waiting elsewhere would be no sooner. Guards against refusing all by a time that was
            // learned wrong: nothing that went on would tell the right one.
            let takes = if rounds <= 1.0 { 0.0 } else { service.pace * pace * rounds };
            best.insert(at, (score, key, takes));
            best.truncate(NAMED);
        }
        let first = best.first().filter(|(.., takes)| *takes <= within.as_secs_f64() * 1e3);
        if let Some(first) = first.and_then(|(_, key, _)| self.backends.get_mut(*key)) {
            first.named.push_back(now);
            first.changed(now);
        }
        let room = |(_, key, takes): &(f64, Key, f64)| {
            let backend = self.backends.get(*key)?.listed.backend;
            Some(BackendOffer { backend, expected_response_ms: takes.clamp(0.0, f64::from(u16::MAX)) as u16 })
        };
        best.iter().filter_map(room).collect()
    }

    /// Time passes, and only these gateways are heard: what others had out is unknown, and counts no more.
    pub fn tick(&mut self, now: Duration, gateways: &BTreeSet<u64>) {
        let passed = now.saturating_sub(std::mem::replace(&mut self.at, now)).as_secs_f64();
        let (kept, unlearnt) = ((-passed / FORGIVEN).exp2(), (-passed / RELEARNT).exp2());
        for backend in self.backends.values_mut() {
            backend.ill *= kept;
            backend.slow = 1.0 + (backend.slow - 1.0) * unlearnt;
            while backend.named.front().is_some_and(|at| now >= *at + EXPECTED) {
                backend.named.pop_front();
            }
        }
        let gone: Vec<u64> = self.told.difference(gateways).copied().collect();
        for gateway in gone {
            self.told.remove(&gateway);
            self.zones.remove(&gateway);
            for backend in self.backends.values_mut() {
                backend.all -= u32::from(backend.out.remove(&gateway).unwrap_or(0));
                backend.used.remove(&gateway);
            }
        }
    }

    /// All backends as they are seen from here.
    pub fn snapshot(&self) -> Vec<BackendLoad> {
        let seen = |backend: &Backend| BackendLoad {
            backend: backend.listed.backend,
            outstanding: backend.all,
            capacity: backend.listed.capacity,
            slowdown: backend.slow as f32,
            failure_rate: backend.ill as f32,
        };
        self.backends.values().map(seen).collect()
    }

    /// What all gateways have out at a backend, as far as they told.
    pub fn outstanding(&self, backend: u64) -> u32 {
        self.by.get(&backend).and_then(|key| self.backends.get(*key)).map_or(0, |backend| backend.all)
    }
}

/// A number from 0 to 1 that is another one for each backend and each time.
fn chance(turn: usize, i: usize) -> f64 {
    let mut x = (turn as u64) ^ (i as u64).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x ^= x >> 31;
    x = x.wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^= x >> 29;
    (x >> 11) as f64 / (1u64 << 53) as f64
}
