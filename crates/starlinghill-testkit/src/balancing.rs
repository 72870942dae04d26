//! A fleet of gateways before the backends of one service, in virtual time: which backend a request goes to by several ways
//! of choosing, and what that costs. Words to the counter are late, backends differ in speed, and are slower when all of their
//! places are taken.

use starlinghill_quota_counter::{Draw, ListedBackend, LoadReport, LoadTable, QuotaLevel};
use starlinghill_registry::wire::{RegistryRequest, RegistryResponse};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// The work of a request, in ms, and how much longer it takes where all places are taken.
const WORK: f64 = 210.0;
const CROWDED: f64 = 1.6;
/// Speeds of backends.
const SPEEDS: [f64; 3] = [0.8, 1.0, 1.25];
/// Requests that a backend works on at once, and that wait there besides; beyond that it turns away.
const PLACES: usize = 2;
const WAITING: usize = 4;
/// How late words are, and how long a connection is kept that nobody uses, in ms.
const LATE: u64 = 50;
const KEPT: u64 = 4_000;
/// What is before counts for nothing: connections come up, and the counter learns.
const WARM_UP: u64 = 4_000;

/// How a backend is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// The first that the counter names.
    Named,
    /// Any, by chance.
    Chance,
    /// By chance among so many that a gateway was given by chance.
    Part(usize),
}

/// The fleet.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    /// Its gateways.
    pub gateways: u64,
    /// The backends.
    pub backends: u64,
    /// What comes, as part of what the backends could do with all places taken and no slower for it.
    pub load: f64,
    /// How long it runs, in seconds.
    pub seconds: u64,
}

/// What came of it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Figures {
    /// Parts of the requests that had to wait at their backend, and that were turned away.
    pub waited: f64,
    /// The same.
    pub turned_away: f64,
    /// From arrival to answer, in ms: the median, and what one in a hundred takes longer than.
    pub median_ms: u64,
    /// The same.
    pub slowest_ms: u64,
    /// Requests at the busiest backend, over the mean.
    pub busiest: f64,
    /// Connections opened for each request, and open at a backend in the mean.
    pub opened: f64,
    /// The same.
    pub open: f64,
    /// Bytes a second that a gateway and the counter send each other for it, and messages a second at the counter.
    pub bytes: f64,
    /// The same.
    pub messages: f64,
}

#[derive(Default)]
struct Backend {
    running: usize,
    waiting: VecDeque<(u64, u64)>,
    went: u32,
}

struct Play {
    fleet: Fleet,
    rng: fastrand::Rng,
    loads: LoadTable,
    backends: Vec<Backend>,
    out: HashMap<(u64, u64), u16>,
    used: HashMap<(u64, u64), u64>,
    /// Ends of runs: gateway, backend, when the request arrived.
    ends: BTreeMap<u64, Vec<(u64, usize, u64)>>,
    words: BTreeMap<u64, Vec<(u64, LoadReport)>>,
    took: Vec<u64>,
}

impl Fleet {
    /// Plays it.
    pub fn play(self, way: Way) -> Figures {
        let mut rng = fastrand::Rng::with_seed(self.gateways << 32 | self.backends);
        let mut loads = LoadTable::default();
        for backend in 0..self.backends {
            let (zone, cold_for, capacity) = (backend % 3, Duration::ZERO, PLACES as u32);
            let listed = ListedBackend {
                backend,
                service: 1,
                zone,
                capacity,
                accepts_work: true,
                is_silent: false,
                warm_up_left: cold_for,
            };
            loads.update_listing(Duration::ZERO, listed);
        }
        (0..self.gateways).for_each(|gateway| loads.set_gateway_zone(gateway, gateway % 3));
        let parts: Vec<Vec<u64>> = match way {
            Way::Part(size) => {
                let all: Vec<u64> = (0..self.backends).collect();
                (0..self.gateways).map(|_| rng.choose_multiple(all.iter().copied(), size)).collect()
            }
            _ => Vec::new(),
        };
        let backends = (0..self.backends).map(|_| Backend::default()).collect();
        let (out, used, ends, words) = Default::default();
        let mut play = Play { fleet: self, rng, loads, backends, out, used, ends, words, took: Vec::new() };
        play.run(way, &parts)
    }
}

impl Play {
    fn run(&mut self, way: Way, parts: &[Vec<u64>]) -> Figures {
        let Fleet { gateways, backends, load, seconds } = self.fleet;
        let all: BTreeSet<u64> = (0..gateways).collect();
        let (mut asked, mut waited, mut away, mut opened, mut due) = (0u32, 0u32, 0u32, 0u32, 0.0);
        let (mut bytes, mut messages) = (0usize, 0u32);
        for now in 0..seconds * 1_000 {
            for (gateway, backend, arrived) in self.ends.remove(&now).unwrap_or_default() {
                self.end(now, gateway, backend, arrived);
            }
            for (gateway, word) in self.words.remove(&now).unwrap_or_default() {
                self.loads.apply_reports(Duration::from_millis(now), gateway, &[word]);
                if now >= WARM_UP {
                    bytes += size(&word);
                }
            }
            if now % 60 == 0 {
                self.loads.tick(Duration::from_millis(now), &all);
            }
            due += backends as f64 * PLACES as f64 / WORK * load;
            while due >= 1.0 {
                due -= 1.0;
                let gateway = self.rng.u64(0..gateways);
                let backend = match way {
                    Way::Chance => self.rng.u64(0..backends),
                    Way::Part(size) => parts[gateway as usize][self.rng.usize(0..size)],
                    Way::Named => {
                        let patient = Duration::from_secs(60);
                        let rooms =
                            self.loads.offer_backends(Duration::from_millis(now), gateway, 1, patient);
                        let first = rooms[0].backend;
                        if now >= WARM_UP {
                            bytes += asking(rooms);
                            messages += 1;
                        }
                        first
                    }
                };
                if now >= WARM_UP {
                    asked += 1;
                    let held = &self.backends[backend as usize];
                    waited += u32::from(held.running >= PLACES);
                    away += u32::from(held.waiting.len() >= WAITING);
                    let used = self.used.get(&(gateway, backend));
                    opened += u32::from(used.is_none_or(|at| now >= at + KEPT));
                }
                self.send(now, gateway, backend);
            }
        }
        let end = seconds * 1_000;
        let open = self.used.values().filter(|at| end < *at + KEPT).count();
        let mean = f64::from(asked) / backends as f64;
        let busiest = self.backends.iter().map(|backend| backend.went).max().unwrap_or(0);
        self.took.sort_unstable();
        let at = |part: f64| self.took.get((self.took.len() as f64 * part) as usize).copied().unwrap_or(0);
        let (counted, span) = (f64::from(asked.max(1)), (seconds - WARM_UP / 1_000) as f64);
        Figures {
            waited: f64::from(waited) / counted,
            turned_away: f64::from(away) / counted,
            median_ms: at(0.5),
            slowest_ms: at(0.99),
            busiest: f64::from(busiest) / mean,
            opened: f64::from(opened) / counted,
            open: open as f64 / backends as f64,
            bytes: bytes as f64 / span / gateways as f64,
            messages: f64::from(messages) / span,
        }
    }

    fn send(&mut self, now: u64, gateway: u64, to: u64) {
        self.used.insert((gateway, to), now);
        let backend = &mut self.backends[to as usize];
        if backend.waiting.len() >= WAITING {
            let word =
                LoadReport { backend: to, outstanding: 0, succeeded: 0, total_latency_ms: 0, failed: 1 };
            let out = self.out.get(&(gateway, to)).copied().unwrap_or(0);
            self.words
                .entry(now + LATE)
                .or_default()
                .push((gateway, LoadReport { outstanding: out, ..word }));
            return;
        }
        backend.went += u32::from(now >= WARM_UP);
        backend.waiting.push_back((gateway, now));
        self.begin(now, to as usize);
        self.tell(now, gateway, to, 1, 0, 0);
    }

    fn begin(&mut self, now: u64, number: usize) {
        let backend = &mut self.backends[number];
        while backend.running < PLACES {
            let Some((gateway, arrived)) = backend.waiting.pop_front() else { return };
            backend.running += 1;
            let slower = if backend.running == PLACES { CROWDED } else { 1.0 };
            let work = WORK * (0.7 + 0.6 * self.rng.f64()) * slower / SPEEDS[number % SPEEDS.len()];
            self.ends.entry(now + work.max(1.0) as u64).or_default().push((gateway, number, arrived));
        }
    }

    fn end(&mut self, now: u64, gateway: u64, number: usize, arrived: u64) {
        self.backends[number].running -= 1;
        if arrived >= WARM_UP {
            self.took.push(now - arrived);
        }
        self.tell(now, gateway, number as u64, -1, 1, now - arrived);
        self.begin(now, number);
    }

    fn tell(&mut self, now: u64, gateway: u64, backend: u64, more: i16, well: u16, took: u64) {
        let out = self.out.entry((gateway, backend)).or_default();
        *out = out.saturating_add_signed(more);
        let word = LoadReport {
            backend,
            outstanding: *out,
            succeeded: well,
            total_latency_ms: took as u32,
            failed: 0,
        };
        self.words.entry(now + LATE).or_default().push((gateway, word));
    }
}

fn size(word: &LoadReport) -> usize {
    bitcode::encode(word).len()
}

/// The bytes of one draw with its answer, but for the words.
fn asking(rooms: Vec<starlinghill_quota_counter::BackendOffer>) -> usize {
    let draw = Draw {
        bucket: 1,
        unreported: 0.0,
        units: 1.0,
        rate: 90.0,
        burst: 90.0,
        service: 1,
        max_response_ms: 500,
    };
    let question =
        RegistryRequest::Draw { term: 1 << 20, from: u64::MAX, draws: vec![draw], load_reports: Vec::new() };
    let level = QuotaLevel { level: 10.0, share: 0.1, offers: rooms };
    let answer = RegistryResponse::Levels(vec![level], 1 << 30);
    // Each has a length and a version.
    bitcode::encode(&question).len() + bitcode::encode(&answer).len() + 10
}
