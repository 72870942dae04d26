//! Simulation, in virtual time, of gateways that send requests to the backends of one service. It compares several ways
//! to choose a backend by the queueing, the latency and the messages that they cause. Load reports reach the quota
//! counter late, backends differ in speed, and a backend is slower while all of its slots are taken.

use starlinghill_quota_counter::{Draw, ListedBackend, LoadReport, LoadTable, QuotaLevel};
use starlinghill_registry::wire::{RegistryRequest, RegistryResponse};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// The mean time that a backend of speed 1.0 works on a request, in ms.
const WORK_MS: f64 = 210.0;
/// How many times longer a request takes that fills its backend's last slot.
const FULL_SLOWDOWN: f64 = 1.6;
/// The speeds of backends, in turn.
const SPEEDS: [f64; 3] = [0.8, 1.0, 1.25];
/// Requests that a backend works on at once.
const SLOTS: usize = 2;
/// Requests that may wait at a backend for a slot; further ones are rejected.
const QUEUE_LIMIT: usize = 4;
/// The delay of a load report on its way to the counter, in ms.
const REPORT_DELAY_MS: u64 = 50;
/// How long an unused connection is kept open, in ms.
const KEEP_ALIVE_MS: u64 = 4_000;
/// Nothing is measured in this first part of a run, in ms, while connections are opened and the counter gets its first
/// reports.
const WARM_UP_MS: u64 = 4_000;

/// How a gateway chooses the backend for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Selection {
    /// The first backend that the counter offers.
    CounterOffer,
    /// Any backend, at random.
    Random,
    /// A random one of a fixed subset of this size, which each gateway draws at the start.
    RandomSubset(usize),
}

/// The simulated fleet and its load.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    /// The number of gateways.
    pub gateways: u64,
    /// The number of backends.
    pub backends: u64,
    /// The arrival rate, as a share of what all backends could do at speed 1.0 without any slowdown.
    pub load: f64,
    /// The length of the run, in seconds of virtual time.
    pub seconds: u64,
}

/// What a run measured after the warm-up.
#[derive(Debug, Clone, Copy, Default)]
pub struct Measurements {
    /// The share of requests that found all slots of their backend taken; includes rejected ones.
    pub queued_share: f64,
    /// The share of requests that found the queue full and were rejected.
    pub rejected_share: f64,
    /// The median time from arrival to answer, in ms.
    pub median_ms: u64,
    /// The 99th percentile of that time, in ms.
    pub p99_ms: u64,
    /// The requests that the busiest backend accepted, over the mean number of requests per backend.
    pub busiest_ratio: f64,
    /// Connections opened per request.
    pub connections_per_request: f64,
    /// Connections open at a backend at the end of the run, in the mean.
    pub open_connections: f64,
    /// Bytes per second and gateway of draws, answers and load reports between a gateway and the counter.
    pub bytes_per_s: f64,
    /// Draws per second that reach the counter from all gateways together.
    pub messages_per_s: f64,
}

#[derive(Default)]
struct Backend {
    running: usize,
    /// Gateway and arrival time (ms) of each waiting request.
    queue: VecDeque<(u64, u64)>,
    accepted: u32,
}

/// The state of a run. All times are in ms of virtual time; pairs of keys are gateway and backend.
struct Simulation {
    fleet: Fleet,
    rng: fastrand::Rng,
    loads: LoadTable,
    backends: Vec<Backend>,
    /// Requests without an answer yet.
    outstanding: HashMap<(u64, u64), u16>,
    /// The last use of each connection.
    last_use: HashMap<(u64, u64), u64>,
    /// Completions by time: gateway, backend, arrival time of the request.
    completions: BTreeMap<u64, Vec<(u64, usize, u64)>>,
    /// Load reports by the time at which they reach the counter, with their gateway.
    reports: BTreeMap<u64, Vec<(u64, LoadReport)>>,
    latencies_ms: Vec<u64>,
}

impl Fleet {
    /// Runs the simulation. The seed follows from the fleet's size, so equal fleets have equal runs.
    pub fn simulate(self, selection: Selection) -> Measurements {
        let mut rng = fastrand::Rng::with_seed(self.gateways << 32 | self.backends);
        let mut loads = LoadTable::default();
        for backend in 0..self.backends {
            let (zone, capacity) = (backend % 3, SLOTS as u32);
            let listed = ListedBackend {
                backend,
                service: 1,
                zone,
                capacity,
                accepts_work: true,
                is_silent: false,
                warm_up_left: Duration::ZERO,
            };
            loads.update_listing(Duration::ZERO, listed);
        }
        (0..self.gateways).for_each(|gateway| loads.set_gateway_zone(gateway, gateway % 3));
        let subsets: Vec<Vec<u64>> = match selection {
            Selection::RandomSubset(size) => {
                let all: Vec<u64> = (0..self.backends).collect();
                (0..self.gateways).map(|_| rng.choose_multiple(all.iter().copied(), size)).collect()
            }
            _ => Vec::new(),
        };
        let backends = (0..self.backends).map(|_| Backend::default()).collect();
        let (outstanding, last_use, completions, reports) = Default::default();
        let mut simulation = Simulation {
            fleet: self,
            rng,
            loads,
            backends,
            outstanding,
            last_use,
            completions,
            reports,
            latencies_ms: Vec::new(),
        };
        simulation.run(selection, &subsets)
    }
}

impl Simulation {
    fn run(&mut self, selection: Selection, subsets: &[Vec<u64>]) -> Measurements {
        let Fleet { gateways, backends, load, seconds } = self.fleet;
        let all: BTreeSet<u64> = (0..gateways).collect();
        let (mut requests, mut queued, mut rejected, mut opened, mut due) = (0u32, 0u32, 0u32, 0u32, 0.0);
        let (mut bytes, mut draws) = (0usize, 0u32);
        for now in 0..seconds * 1_000 {
            for (gateway, backend, arrived) in self.completions.remove(&now).unwrap_or_default() {
                self.complete(now, gateway, backend, arrived);
            }
            for (gateway, report) in self.reports.remove(&now).unwrap_or_default() {
                self.loads.apply_reports(Duration::from_millis(now), gateway, &[report]);
                if now >= WARM_UP_MS {
                    bytes += report_size(&report);
                }
            }
            if now % 60 == 0 {
                self.loads.tick(Duration::from_millis(now), &all);
            }
            due += backends as f64 * SLOTS as f64 / WORK_MS * load;
            while due >= 1.0 {
                due -= 1.0;
                let gateway = self.rng.u64(0..gateways);
                let backend = match selection {
                    Selection::Random => self.rng.u64(0..backends),
                    Selection::RandomSubset(size) => subsets[gateway as usize][self.rng.usize(0..size)],
                    Selection::CounterOffer => {
                        let max_response = Duration::from_secs(60);
                        let offers =
                            self.loads.offer_backends(Duration::from_millis(now), gateway, 1, max_response);
                        let first = offers[0].backend;
                        if now >= WARM_UP_MS {
                            bytes += draw_size(offers);
                            draws += 1;
                        }
                        first
                    }
                };
                if now >= WARM_UP_MS {
                    requests += 1;
                    let target = &self.backends[backend as usize];
                    queued += u32::from(target.running >= SLOTS);
                    rejected += u32::from(target.queue.len() >= QUEUE_LIMIT);
                    let last_use = self.last_use.get(&(gateway, backend));
                    opened += u32::from(last_use.is_none_or(|at| now >= at + KEEP_ALIVE_MS));
                }
                self.send(now, gateway, backend);
            }
        }
        let end = seconds * 1_000;
        let open = self.last_use.values().filter(|at| end < *at + KEEP_ALIVE_MS).count();
        let mean = f64::from(requests) / backends as f64;
        let busiest = self.backends.iter().map(|backend| backend.accepted).max().unwrap_or(0);
        self.latencies_ms.sort_unstable();
        let quantile = |share: f64| {
            let index = (self.latencies_ms.len() as f64 * share) as usize;
            self.latencies_ms.get(index).copied().unwrap_or(0)
        };
        let (requests, measured_s) = (f64::from(requests.max(1)), (seconds - WARM_UP_MS / 1_000) as f64);
        Measurements {
            queued_share: f64::from(queued) / requests,
            rejected_share: f64::from(rejected) / requests,
            median_ms: quantile(0.5),
            p99_ms: quantile(0.99),
            busiest_ratio: f64::from(busiest) / mean,
            connections_per_request: f64::from(opened) / requests,
            open_connections: open as f64 / backends as f64,
            bytes_per_s: bytes as f64 / measured_s / gateways as f64,
            messages_per_s: f64::from(draws) / measured_s,
        }
    }

    /// Sends a request to a backend, which queues or rejects it.
    fn send(&mut self, now: u64, gateway: u64, to: u64) {
        self.last_use.insert((gateway, to), now);
        let backend = &mut self.backends[to as usize];
        if backend.queue.len() >= QUEUE_LIMIT {
            let outstanding = self.outstanding.get(&(gateway, to)).copied().unwrap_or(0);
            let report =
                LoadReport { backend: to, outstanding, succeeded: 0, total_latency_ms: 0, failed: 1 };
            self.reports.entry(now + REPORT_DELAY_MS).or_default().push((gateway, report));
            return;
        }
        backend.accepted += u32::from(now >= WARM_UP_MS);
        backend.queue.push_back((gateway, now));
        self.start_queued(now, to as usize);
        self.report(now, gateway, to, 1, 0, 0);
    }

    /// Starts queued requests while the backend has free slots.
    fn start_queued(&mut self, now: u64, number: usize) {
        let backend = &mut self.backends[number];
        while backend.running < SLOTS {
            let Some((gateway, arrived)) = backend.queue.pop_front() else { return };
            backend.running += 1;
            let slowdown = if backend.running == SLOTS { FULL_SLOWDOWN } else { 1.0 };
            let work_ms = WORK_MS * (0.7 + 0.6 * self.rng.f64()) * slowdown / SPEEDS[number % SPEEDS.len()];
            let end = now + work_ms.max(1.0) as u64;
            self.completions.entry(end).or_default().push((gateway, number, arrived));
        }
    }

    fn complete(&mut self, now: u64, gateway: u64, number: usize, arrived: u64) {
        self.backends[number].running -= 1;
        if arrived >= WARM_UP_MS {
            self.latencies_ms.push(now - arrived);
        }
        self.report(now, gateway, number as u64, -1, 1, now - arrived);
        self.start_queued(now, number);
    }

    /// Sends the counter a load report, after a change of the outstanding requests by `change`.
    fn report(&mut self, now: u64, gateway: u64, backend: u64, change: i16, succeeded: u16, latency_ms: u64) {
        let outstanding = self.outstanding.entry((gateway, backend)).or_default();
        *outstanding = outstanding.saturating_add_signed(change);
        let report = LoadReport {
            backend,
            outstanding: *outstanding,
            succeeded,
            total_latency_ms: latency_ms as u32,
            failed: 0,
        };
        self.reports.entry(now + REPORT_DELAY_MS).or_default().push((gateway, report));
    }
}

/// The encoded size of a load report, in bytes.
fn report_size(report: &LoadReport) -> usize {
    bitcode::encode(report).len()
}

/// The encoded size of one draw and its answer, in bytes, without load reports.
fn draw_size(offers: Vec<starlinghill_quota_counter::BackendOffer>) -> usize {
    let draw = Draw {
        bucket: 1,
        unreported: 0.0,
        units: 1.0,
        rate: 90.0,
        burst: 90.0,
        service: 1,
        max_response_ms: 500,
    };
    let request =
        RegistryRequest::Draw { term: 1 << 20, from: u64::MAX, draws: vec![draw], load_reports: Vec::new() };
    let level = QuotaLevel { level: 10.0, share: 0.1, offers };
    let response = RegistryResponse::Levels(vec![level], 1 << 30);
    // Each of the two messages has 5 more bytes for its length and protocol version.
    bitcode::encode(&request).len() + bitcode::encode(&response).len() + 10
}
