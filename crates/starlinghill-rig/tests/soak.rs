//! A tenant that asks for far more than its quota, at real processes over real sockets, which are killed, stopped and started
//! again by seed, up to three troubles at a time, while backends lose answers. What went on is checked after the fact against
//! the rules, and the processes' own invariant must not have been violated.
//!
//! Processes on one machine share its links, so that a cut is played as a process that is stopped: its peers hear nothing of
//! it. Cuts of single links are played in simulated time (`workbench/tests/quota.rs`, `mockup`).
//!
//! `SOAK_SEEDS=20` plays more seeds than CI does, `SOAK_FROM=100` others.

use starlinghill_gauge::{Allowance, Quota};
use starlinghill_rig::processes::Process;
use starlinghill_rig::system::{first_items, program, Backend, Client, Does, System};
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
const SEEDS: u64 = 2;

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
        match what {
            What::EdgeKilled(at) => self.system.edges[at].kill(),
            What::EdgeStopped(at) => self.system.edges[at].processes[0].stop(),
            What::CoreKilled(at) => self.system.cores[at].kill(),
            What::RegistryStopped(at) => self.system.cores[at].processes[0].stop(),
            What::AnswersLost(at) => self.backends[at].does(Does::LoseAnswer),
        }
        let span = Duration::from_millis(self.rng.u64(50..2_500));
        self.troubles.push(Trouble { ends: Instant::now() + span, what });
    }

    fn end(&mut self, what: What) {
        match what {
            What::EdgeKilled(at) => self.system.edges[at].start(),
            What::EdgeStopped(at) => self.system.edges[at].processes[0].go_on(),
            What::CoreKilled(at) => self.system.cores[at].start(),
            What::RegistryStopped(at) => self.system.cores[at].processes[0].go_on(),
            What::AnswersLost(at) => self.backends[at].does(Does::Serve),
        }
    }

    async fn trouble(&mut self) {
        let until = Instant::now() + SPAN;
        while Instant::now() < until {
            let over =
                self.troubles.extract_if(.., |trouble| trouble.ends < Instant::now()).collect::<Vec<_>>();
            over.into_iter().for_each(|trouble| self.end(trouble.what));
            if self.troubles.len() < MOST && self.rng.u32(0..4) == 0 {
                self.begin();
            }
            sleep(Duration::from_millis(50)).await;
        }
        let over = std::mem::take(&mut self.troubles);
        over.into_iter().for_each(|trouble| self.end(trouble.what));
    }

    /// When each run began, in order.
    fn arrivals(&self) -> Vec<Instant> {
        let of = |backend: &Backend| backend.arrivals.lock().expect("whole").clone();
        let mut all: Vec<Instant> = self.backends.iter().flat_map(of).collect();
        all.sort();
        all
    }

    fn processes(&mut self) -> impl Iterator<Item = &mut Process> {
        self.system.cores.iter_mut().chain(&mut self.system.edges).flat_map(|machine| &mut machine.processes)
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

async fn soak(seed: u64) {
    let mut soak = Soak::new(seed).await;
    let fronts: Vec<_> = soak.system.edges.iter().map(|edge| edge.front()).collect();
    let (over, client) = (Arc::new(AtomicBool::new(false)), Arc::new(Client::new("key-1")));
    let ask = |_| tokio::spawn(ask(fronts.clone(), client.clone(), over.clone()));
    let asking: Vec<_> = (0..CLIENTS).map(ask).collect();
    soak.trouble().await;
    sleep(Duration::from_secs(2)).await;
    over.store(true, Ordering::Relaxed);
    for one in asking {
        one.await.expect("it ends");
    }
    let arrivals = soak.arrivals();
    let window = Duration::from_secs_f64(ALLOWANCE.window_s);
    let within = |from: &Instant| arrivals.iter().filter(|at| *at >= from && **at <= *from + window).count();
    let most = arrivals.iter().map(within).max().unwrap_or_default();
    let allowed = ALLOWANCE.most(QUOTA);
    println!("soak seed={seed} runs={} busiest={most} allowed={allowed}", arrivals.len());
    assert!(most as f64 <= allowed, "seed {seed}: {most} of {allowed}");
    // Half of what the quota gives, in spite of all.
    assert!(
        arrivals.len() as f64 > QUOTA.rate * SPAN.as_secs_f64() / 2.0,
        "seed {seed}: {} runs",
        arrivals.len()
    );
    for process in soak.processes() {
        let violated = process.log().into_iter().find(|line| line.contains("event=quota_exceeded"));
        assert_eq!(violated, None, "seed {seed}");
        assert!(process.runs(), "seed {seed}: a process ended by itself: {:?}", process.log().last());
    }
}

#[tokio::test]
async fn a_tenant_keeps_its_quota_while_real_processes_are_killed_and_stopped() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let from = number("SOAK_FROM").unwrap_or_default();
    for seed in from..from + number("SOAK_SEEDS").unwrap_or(SEEDS) {
        soak(seed).await;
    }
}
