//! A tenant that asks for far more than its quota, at real processes over real sockets, which are killed, stopped and started
//! again by seed, up to three troubles at a time, while backends lose answers. What went on is checked after the fact against
//! the rules, and the processes' own invariant must not have been violated.
//!
//! Processes on one machine share its links, so that a cut is played as a process that is stopped: its peers hear nothing of
//! it. Cuts of single links are played in simulated time (`mockup/src/fleet.rs`, `mockup/tests/control.rs`).
//!
//! `tests/soak.rs` says how to play more seeds than CI does.

use crate::processes::Process;
use crate::system::{first_items, program, Backend, Client, Does, System};
use starlinghill_gauge::{Allowance, Quota};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const EDGES: usize = 5;
const BACKENDS: usize = 4;
const CLIENTS: usize = 6;
const RATE: u64 = 40;
const QUOTA: Quota = Quota { rate: RATE as f64, burst: RATE as f64 };
/// As the settings of the system under test say.
const ALLOWANCE: Allowance = Allowance { window_s: 5.0, excess: 0.1, extra: 20.0 };
/// How long troubles go on.
const SPAN: Duration = Duration::from_secs(12);
/// The most troubles at a time.
const MOST: usize = 3;
/// How long clients ask on after that.
const AFTER: Duration = Duration::from_secs(2);

/// What is ended later, and when.
struct Trouble {
    ends: Instant,
    what: What,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum What {
    EdgeKilled(usize),
    EdgeStopped(usize),
    CoreKilled(usize),
    RegistryStopped(usize),
    AnswersLost(usize),
}

struct Soak {
    system: System,
    backends: Vec<Backend>,
    rng: fastrand::Rng,
    troubles: Vec<Trouble>,
}

impl Soak {
    async fn new(seed: u64) -> Soak {
        let system = System::start(&program(), EDGES);
        let mut backends = Vec::new();
        for i in 0..BACKENDS {
            let id = format!("i-{i}");
            backends.push(Backend::start(&id, "ledger", system.backend(i), system.controls()).await);
        }
        for core in &system.cores {
            core.processes[1].wait_for_log("event=start program=patternbook", Duration::from_secs(10));
        }
        assert_eq!(system.change(&first_items(RATE)).await.status, 200);
        system.ready().await;
        Soak { system, backends, rng: fastrand::Rng::with_seed(seed), troubles: Vec::new() }
    }

    /// The registry that was the last to hold the count.
    fn holder(&self) -> Option<usize> {
        let held = |core: usize| {
            let lines = self.system.cores[core].processes[0].log();
            let term = |line: &String| {
                line.split("event=count_held term=").nth(1)?.split(' ').next()?.parse::<u64>().ok()
            };
            lines.iter().filter_map(term).max()
        };
        (0..self.system.cores.len()).filter_map(|core| Some((held(core)?, core))).max().map(|(_, core)| core)
    }

    fn begin(&mut self) {
        let (edge, backend) = (self.rng.usize(0..EDGES), self.rng.usize(0..BACKENDS));
        let holder = self.holder().filter(|_| self.rng.bool());
        let core = holder.unwrap_or_else(|| self.rng.usize(0..self.system.cores.len()));
        let what = match self.rng.u32(0..5) {
            0 => What::EdgeKilled(edge),
            1 => What::EdgeStopped(edge),
            2 => What::CoreKilled(core),
            3 => What::RegistryStopped(core),
            _ => What::AnswersLost(backend),
        };
        if self.troubles.iter().any(|other| meets(other.what, what)) {
            return;
        }
        self.befall(what, true);
        let span = Duration::from_millis(self.rng.u64(50..2_500));
        self.troubles.push(Trouble { ends: Instant::now() + span, what });
    }

    /// A trouble begins, or ends.
    fn befall(&mut self, what: What, begins: bool) {
        let System { cores, edges, .. } = &mut self.system;
        match what {
            What::EdgeKilled(at) if begins => edges[at].kill(),
            What::EdgeKilled(at) => edges[at].start(),
            What::CoreKilled(at) if begins => cores[at].kill(),
            What::CoreKilled(at) => cores[at].start(),
            What::EdgeStopped(at) => hold(&mut edges[at].processes[0], begins),
            What::RegistryStopped(at) => hold(&mut cores[at].processes[0], begins),
            What::AnswersLost(at) => {
                self.backends[at].does(if begins { Does::LoseAnswer } else { Does::Serve })
            }
        }
    }

    async fn trouble(&mut self) {
        let until = Instant::now() + SPAN;
        while Instant::now() < until {
            let over =
                self.troubles.extract_if(.., |trouble| trouble.ends < Instant::now()).collect::<Vec<_>>();
            over.into_iter().for_each(|trouble| self.befall(trouble.what, false));
            if self.troubles.len() < MOST && self.rng.u32(0..4) == 0 {
                self.begin();
            }
            sleep(Duration::from_millis(50)).await;
        }
        let over = std::mem::take(&mut self.troubles);
        over.into_iter().for_each(|trouble| self.befall(trouble.what, false));
    }

    /// When each run began, in order.
    fn arrivals(&self) -> Vec<Instant> {
        let of = |backend: &Backend| backend.arrivals.lock().expect("whole").clone();
        let mut all: Vec<Instant> = self.backends.iter().flat_map(of).collect();
        all.sort();
        all
    }

    /// What went wrong by the processes' own account, or with them.
    fn faults(&mut self) -> Vec<String> {
        let machines = self.system.cores.iter_mut().chain(&mut self.system.edges);
        let mut faults = Vec::new();
        for process in machines.flat_map(|machine| &mut machine.processes) {
            let log = process.log();
            if !process.runs() {
                faults.push(format!("ended by itself after {:?}", log.last()));
            }
            faults.extend(log.into_iter().filter(|line| line.contains("event=quota_exceeded")));
        }
        faults
    }
}

fn hold(process: &mut Process, stopped: bool) {
    if stopped {
        process.stop();
    } else {
        process.go_on();
    }
}

/// Two troubles that can't be told apart, or that would leave no majority of disks.
fn meets(one: What, other: What) -> bool {
    match (one, other) {
        (What::EdgeKilled(a) | What::EdgeStopped(a), What::EdgeKilled(b) | What::EdgeStopped(b)) => a == b,
        (What::AnswersLost(a), What::AnswersLost(b)) => a == b,
        (What::CoreKilled(_), What::CoreKilled(_)) => true,
        (What::CoreKilled(a) | What::RegistryStopped(a), What::CoreKilled(b) | What::RegistryStopped(b)) => {
            a == b
        }
        _ => false,
    }
}

/// Asks at any proxy, again and again.
async fn ask(fronts: Vec<std::net::SocketAddr>, client: Arc<Client>, over: Arc<AtomicBool>) {
    while !over.load(Ordering::Relaxed) {
        let front = fronts[fastrand::usize(..fronts.len())];
        // A proxy that is stopped answers late; a client of this kind does not wait for it.
        let _ =
            tokio::time::timeout(Duration::from_millis(400), client.try_once(front, "GET", "/read/1")).await;
        sleep(Duration::from_millis(5)).await;
    }
}

/// What came of one seed.
#[derive(Debug)]
pub struct Soaked {
    /// How many requests backends ran.
    pub runs: usize,
    /// The most in any window, and what the rules allow there.
    pub busiest: usize,
    /// The same.
    pub allowed: f64,
    /// The least that is to be expected: half of what the quota gives, in spite of all.
    pub least: f64,
    /// Log lines by which the system itself saw a violation, and the names of processes that ended by themselves.
    pub faults: Vec<String>,
}

/// Plays one seed.
pub async fn soak(seed: u64) -> Soaked {
    let mut soak = Soak::new(seed).await;
    let fronts: Vec<_> = soak.system.edges.iter().map(|edge| edge.front()).collect();
    let (over, client) = (Arc::new(AtomicBool::new(false)), Arc::new(Client::new("key-1")));
    let ask = |_| tokio::spawn(ask(fronts.clone(), client.clone(), over.clone()));
    let asking: Vec<_> = (0..CLIENTS).map(ask).collect();
    soak.trouble().await;
    sleep(AFTER).await;
    over.store(true, Ordering::Relaxed);
    for one in asking {
        one.await.expect("it ends");
    }
    let arrivals = soak.arrivals();
    let window = Duration::from_secs_f64(ALLOWANCE.window_s);
    let within = |from: &Instant| arrivals.iter().filter(|at| *at >= from && **at <= *from + window).count();
    let busiest = arrivals.iter().map(within).max().unwrap_or_default();
    let least = QUOTA.rate * SPAN.as_secs_f64() / 2.0;
    Soaked { runs: arrivals.len(), busiest, allowed: ALLOWANCE.most(QUOTA), least, faults: soak.faults() }
}
