//! The load of the backends, as all gateways together see it: what is outstanding at each backend, how fast it answers, and
//! how often attempts fail. It is kept at the quota counter because every gateway talks to the counter anyway.
//!
//! A gateway that sends some twenty requests a second to hundreds of backends learns little about each of them, while all
//! gateways together see each backend several times a second. So every gateway reports, along with its draws, how many
//! requests it has outstanding (absolute numbers) and how attempts ended since its last report. The answer to a draw
//! offers the backends of the service that should respond soonest, and the gateway picks one of them by what it knows
//! itself. The best offer counts as load for a moment, so that gateways that ask at the same time are not all sent to the
//! same backend.

use bitcode::{Decode, Encode};
use slotmap::{new_key_type, SlotMap};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// The most backends in the table. Bounds memory.
const MAX_BACKENDS: usize = 20_000;
/// The most gateways whose reports are kept. Bounds memory.
const MAX_GATEWAYS: usize = 4_096;
/// The most backends offered to one request.
const MAX_OFFERS: usize = 3;
/// The most backends of a service that are scored for one request.
const MAX_CANDIDATES: usize = 512;
/// How long an offered backend counts as loaded, unless a gateway reports sooner that it sent something there. Gateways
/// report within about 60 ms, and on thin links a report may be delayed behind request bodies.
const OFFER_LIFETIME: Duration = Duration::from_millis(300);
/// The half-life of a backend's failure rate, in seconds. It has to decay by itself, since a backend that gets no
/// requests cannot prove that it has recovered.
const FAILURE_HALF_LIFE_S: f64 = 2.0;
/// The half-life of a backend's slowdown, in seconds, for the same reason.
const SLOWDOWN_HALF_LIFE_S: f64 = 6.0;
/// The number of load changes that are remembered for each backend.
const MAX_LOAD_HISTORY: usize = 24;
/// The weight of one attempt in a backend's slowdown and failure rate.
const SAMPLE_WEIGHT: f64 = 0.15;
/// The weight of one answer in a service's mean response time.
const SERVICE_SAMPLE_WEIGHT: f64 = 0.01;
/// The greatest slowdown that one answer can indicate.
const MAX_SLOWDOWN: f64 = 6.0;
/// The smallest slowdown that one answer can indicate.
const MIN_SLOWDOWN: f64 = 0.3;
/// The factor that is added to the score of a backend at which all attempts fail.
const FAILURE_PENALTY: f64 = 12.0;
/// A gateway that sent something to a backend within this time most likely still has a connection to it.
const CONNECTION_LIFETIME: Duration = Duration::from_millis(4_000);

// The penalties below are added to a backend's score, which is in rounds of work: 1 is the time in which the backend
// answers as many requests as it works on at once.

/// For a gateway without a connection, since opening one costs time at both ends.
const NEW_CONNECTION_PENALTY: f64 = 0.4;
/// For a backend in another zone, which is farther away and whose traffic costs money.
const OTHER_ZONE_PENALTY: f64 = 0.08;
/// For a backend whose heartbeats do not arrive here. Small, since gateways soon report backends that are gone, and half
/// of the silent ones may only be cut off from here.
const SILENCE_PENALTY: f64 = 0.25;
/// A random addition up to this decides between backends with nearly equal scores.
const TIE_BREAK_RANGE: f64 = 0.05;
/// How long, in seconds, a backend gains speed after its start.
const WARM_UP_S: f64 = 3.0;
/// The fraction of its full speed that a backend starts with. Backends report how long their warm-up still takes, but not
/// their speed.
const COLD_SPEED: f64 = 0.5;

/// A gateway's report on one backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct LoadReport {
    /// The hash of the backend's id.
    pub backend: u64,
    /// The requests that the gateway has outstanding at the backend now.
    pub outstanding: u16,
    /// The answers since the gateway's last report.
    pub succeeded: u16,
    /// The sum of the response times of these answers, in ms.
    pub total_latency_ms: u32,
    /// The failed attempts since the last report.
    pub failed: u16,
}

/// A backend as the catalog lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedBackend {
    /// The hash of the backend's id.
    pub backend: u64,
    /// The hash of its service's name.
    pub service: u32,
    /// The hash of its zone's name.
    pub zone: u64,
    /// The requests that it works on at once.
    pub capacity: u32,
    /// Whether it takes new requests.
    pub accepts_work: bool,
    /// Several of its heartbeats have not arrived here: it may be gone, or send them to a registry that is cut off from
    /// here.
    pub is_silent: bool,
    /// How much longer it is slow after its start.
    pub warm_up_left: Duration,
}

/// A backend that a request may be sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct BackendOffer {
    /// The hash of the backend's id.
    pub backend: u64,
    /// The expected response time in ms, or 0 if the backend can start on the request at once.
    pub expected_response_ms: u16,
}

/// The load of a backend, for the status page.
#[derive(Debug, Clone, Copy, PartialEq, Encode, Decode)]
pub struct BackendLoad {
    /// The hash of the backend's id.
    pub backend: u64,
    /// The requests that all gateways have outstanding at the backend.
    pub outstanding: u32,
    /// The requests that it works on at once.
    pub capacity: u32,
    /// Its response time as a multiple of the mean of its service.
    pub slowdown: f32,
    /// The fraction of recent attempts that failed.
    pub failure_rate: f32,
}

#[derive(Debug)]
struct Backend {
    listed: ListedBackend,
    warm_at: Duration,
    /// The outstanding requests of each gateway.
    outstanding: HashMap<u64, u16>,
    /// The sum over all gateways.
    total_outstanding: u32,
    /// When the backend was offered, for offers after which no request has been reported yet.
    pending_offers: VecDeque<Duration>,
    /// The load after each change. A response time is judged by the load at the time when the request arrived.
    load_history: VecDeque<(Duration, u32)>,
    /// The response time as a multiple of the mean of the service.
    slowdown: f64,
    /// The fraction of recent attempts that failed.
    failure_rate: f64,
    /// When each gateway last started an attempt.
    last_attempt: HashMap<u64, Duration>,
}

#[derive(Debug, Default)]
struct Service {
    backends: Vec<Key>,
    /// The mean time of a round of work, in ms.
    mean_round_ms: f64,
    /// The number of answers that the mean is made of.
    answers: u32,
}

new_key_type! { struct Key; }

/// The load of all backends.
#[derive(Debug, Default)]
pub struct LoadTable {
    backends: SlotMap<Key, Backend>,
    keys: HashMap<u64, Key>,
    services: HashMap<u32, Service>,
    /// The gateways that have sent a report.
    reporters: BTreeSet<u64>,
    /// The zone of each gateway.
    zones: HashMap<u64, u64>,
    last_tick: Duration,
    /// Varies which backends are scored first and how ties are broken.
    random_state: usize,
}

impl Backend {
    /// The requests that are outstanding or are expected to arrive after an offer.
    fn load(&self) -> u32 {
        self.total_outstanding + self.pending_offers.len() as u32
    }

    /// The rounds of work that this many requests take.
    fn rounds(&self, load: u32) -> f64 {
        f64::from(load) / f64::from(self.listed.capacity.max(1))
    }

    fn record_load(&mut self, now: Duration) {
        if self.load_history.len() >= MAX_LOAD_HISTORY {
            self.load_history.pop_front();
        }
        self.load_history.push_back((now, self.load()));
    }

    /// The load at an earlier moment, or the oldest one known.
    fn load_at(&self, at: Duration) -> u32 {
        let known =
            self.load_history.iter().rev().find(|(since, _)| *since <= at).or(self.load_history.front());
        known.map_or(0, |(_, load)| *load)
    }

    /// The expected response time as a multiple of that of a warm backend of average speed.
    fn expected_slowdown(&self, now: Duration) -> f64 {
        let warm_up_left_s = self.warm_at.saturating_sub(now).as_secs_f64();
        let speed = 1.0 - (1.0 - COLD_SPEED) * (warm_up_left_s / WARM_UP_S).min(1.0);
        self.slowdown / speed
    }
}

impl LoadTable {
    /// Takes in a changed entry of the catalog. A backend that takes no new requests is dropped.
    pub fn update_listing(&mut self, now: Duration, listed: ListedBackend) {
        let (key, is_new) = match self.keys.get(&listed.backend) {
            Some(key) => (*key, false),
            None if !listed.accepts_work || self.keys.len() >= MAX_BACKENDS => return,
            None => {
                let backend = Backend {
                    listed,
                    warm_at: now,
                    outstanding: HashMap::new(),
                    total_outstanding: 0,
                    pending_offers: VecDeque::new(),
                    load_history: VecDeque::new(),
                    slowdown: 1.0,
                    failure_rate: 0.0,
                    last_attempt: HashMap::new(),
                };
                let key = self.backends.insert(backend);
                self.keys.insert(listed.backend, key);
                (key, true)
            }
        };
        let Some(backend) = self.backends.get_mut(key) else { return };
        let before = std::mem::replace(&mut backend.listed, listed);
        backend.warm_at = now + listed.warm_up_left;
        let stays = listed.accepts_work && before.service == listed.service;
        if !stays {
            if let Some(service) = self.services.get_mut(&before.service) {
                service.backends.retain(|other| *other != key);
                if service.backends.is_empty() {
                    self.services.remove(&before.service);
                }
            }
        }
        if !listed.accepts_work {
            self.backends.remove(key);
            self.keys.remove(&listed.backend);
        } else if is_new || !stays {
            self.services.entry(listed.service).or_default().backends.push(key);
        }
    }

    /// Sets the zone of a gateway.
    pub fn set_gateway_zone(&mut self, gateway: u64, zone: u64) {
        if self.zones.len() < MAX_GATEWAYS {
            self.zones.insert(gateway, zone);
        }
    }

    /// Takes in a gateway's reports. Reports may be lost or arrive twice, as their numbers of outstanding requests are
    /// absolute.
    pub fn apply_reports(&mut self, now: Duration, from: u64, reports: &[LoadReport]) {
        if !self.reporters.contains(&from) && self.reporters.len() >= MAX_GATEWAYS {
            return;
        }
        self.reporters.insert(from);
        for report in reports {
            let Some(backend) = self.keys.get(&report.backend).and_then(|key| self.backends.get_mut(*key))
            else {
                continue;
            };
            let service = self.services.entry(backend.listed.service).or_default();
            if report.succeeded > 0 {
                let latency_ms = f64::from(report.total_latency_ms) / f64::from(report.succeeded);
                let arrived_at = now.saturating_sub(Duration::from_millis(latency_ms as u64));
                let round_ms = latency_ms / backend.rounds(backend.load_at(arrived_at)).max(1.0);
                if service.answers == 0 {
                    service.mean_round_ms = round_ms;
                }
                let slowdown = (round_ms / service.mean_round_ms.max(0.1)).clamp(MIN_SLOWDOWN, MAX_SLOWDOWN);
                for _ in 0..report.succeeded.min(8) {
                    backend.slowdown += SAMPLE_WEIGHT * (slowdown - backend.slowdown);
                    backend.failure_rate -= SAMPLE_WEIGHT * backend.failure_rate;
                    // The first answers weigh more, so that a new counter learns the mean quickly.
                    service.answers = service.answers.saturating_add(1);
                    let weight = SERVICE_SAMPLE_WEIGHT.max(1.0 / f64::from(service.answers));
                    service.mean_round_ms += weight * (slowdown - 1.0) * service.mean_round_ms;
                }
            }
            for _ in 0..report.failed.min(8) {
                backend.failure_rate += SAMPLE_WEIGHT * (1.0 - backend.failure_rate);
            }
            let before = match report.outstanding {
                0 => backend.outstanding.remove(&from).unwrap_or(0),
                outstanding => backend.outstanding.insert(from, outstanding).unwrap_or(0),
            };
            backend.total_outstanding =
                backend.total_outstanding + u32::from(report.outstanding) - u32::from(before);
            // An attempt that started and ended between two reports has used up an offer, too.
            let attempts =
                usize::from(report.outstanding) + usize::from(report.succeeded) + usize::from(report.failed);
            let started = attempts.saturating_sub(usize::from(before));
            if started > 0 {
                backend.last_attempt.insert(from, now);
                backend.pending_offers.drain(..started.min(backend.pending_offers.len()));
            }
            backend.record_load(now);
        }
    }

    /// Offers a request of a gateway the backends of the service that should respond soonest, best first. The first one
    /// counts as loaded if it should respond within `max_response`; otherwise the request does not go on.
    pub fn offer_backends(
        &mut self,
        now: Duration,
        from: u64,
        service: u32,
        max_response: Duration,
    ) -> Vec<BackendOffer> {
        let Some(service) = self.services.get(&service) else { return Vec::new() };
        let zone = self.zones.get(&from).copied();
        let count = service.backends.len();
        self.random_state = self.random_state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let first = self.random_state % count.max(1);
        // The score, the key, and the expected response time in ms.
        let mut best: Vec<(f64, Key, f64)> = Vec::with_capacity(MAX_OFFERS + 1);
        for i in 0..count.min(MAX_CANDIDATES) {
            let key = service.backends[(first + i) % count];
            let Some(backend) = self.backends.get(key) else { continue };
            let rounds = backend.rounds(backend.load() + 1);
            let slowdown = backend.expected_slowdown(now);
            let is_connected =
                backend.last_attempt.get(&from).is_some_and(|at| now < *at + CONNECTION_LIFETIME);
            let mut score = rounds * slowdown * (1.0 + FAILURE_PENALTY * backend.failure_rate)
                + TIE_BREAK_RANGE * random_fraction(self.random_state, i);
            score += if is_connected { 0.0 } else { NEW_CONNECTION_PENALTY };
            score += if backend.listed.is_silent { SILENCE_PENALTY } else { 0.0 };
            score += if zone == Some(backend.listed.zone) { 0.0 } else { OTHER_ZONE_PENALTY };
            if best.len() == MAX_OFFERS && best.last().is_some_and(|(worst, ..)| *worst <= score) {
                continue;
            }
            let at = best.partition_point(|(other, ..)| *other <= score);
            // A backend with free capacity starts at once, so that no other one would be sooner. It must not be ruled out
            // by the expected time: if a wrong mean ruled out every backend, no answer would ever correct the mean.
            let response_ms = if rounds <= 1.0 { 0.0 } else { service.mean_round_ms * slowdown * rounds };
            best.insert(at, (score, key, response_ms));
            best.truncate(MAX_OFFERS);
        }
        let max_response_ms = max_response.as_secs_f64() * 1e3;
        let first = best.first().filter(|(.., response_ms)| *response_ms <= max_response_ms);
        if let Some(first) = first.and_then(|(_, key, _)| self.backends.get_mut(*key)) {
            first.pending_offers.push_back(now);
            first.record_load(now);
        }
        let offer = |(_, key, response_ms): &(f64, Key, f64)| {
            let backend = self.backends.get(*key)?.listed.backend;
            let expected_response_ms = response_ms.clamp(0.0, f64::from(u16::MAX)) as u16;
            Some(BackendOffer { backend, expected_response_ms })
        };
        best.iter().filter_map(offer).collect()
    }

    /// Lets old observations decay, and drops the outstanding requests of all reporters that are not among `gateways`,
    /// the gateways that are heard now: what became of those requests is unknown.
    pub fn tick(&mut self, now: Duration, gateways: &BTreeSet<u64>) {
        let passed_s = now.saturating_sub(std::mem::replace(&mut self.last_tick, now)).as_secs_f64();
        let failure_decay = (-passed_s / FAILURE_HALF_LIFE_S).exp2();
        let slowdown_decay = (-passed_s / SLOWDOWN_HALF_LIFE_S).exp2();
        for backend in self.backends.values_mut() {
            backend.failure_rate *= failure_decay;
            backend.slowdown = 1.0 + (backend.slowdown - 1.0) * slowdown_decay;
            while backend.pending_offers.front().is_some_and(|at| now >= *at + OFFER_LIFETIME) {
                backend.pending_offers.pop_front();
            }
        }
        let gone: Vec<u64> = self.reporters.difference(gateways).copied().collect();
        for gateway in gone {
            self.reporters.remove(&gateway);
            self.zones.remove(&gateway);
            for backend in self.backends.values_mut() {
                backend.total_outstanding -= u32::from(backend.outstanding.remove(&gateway).unwrap_or(0));
                backend.last_attempt.remove(&gateway);
            }
        }
    }

    /// The load of every backend.
    pub fn snapshot(&self) -> Vec<BackendLoad> {
        let load = |backend: &Backend| BackendLoad {
            backend: backend.listed.backend,
            outstanding: backend.total_outstanding,
            capacity: backend.listed.capacity,
            slowdown: backend.slowdown as f32,
            failure_rate: backend.failure_rate as f32,
        };
        self.backends.values().map(load).collect()
    }

    /// The requests that all gateways have reported as outstanding at a backend.
    pub fn outstanding(&self, backend: u64) -> u32 {
        let backend = self.keys.get(&backend).and_then(|key| self.backends.get(*key));
        backend.map_or(0, |backend| backend.total_outstanding)
    }
}

/// A number from 0 to 1 that differs for each backend and each call.
fn random_fraction(state: usize, i: usize) -> f64 {
    let mut x = (state as u64) ^ (i as u64).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x ^= x >> 31;
    x = x.wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^= x >> 29;
    (x >> 11) as f64 / (1u64 << 53) as f64
}
