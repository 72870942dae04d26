//! A soak test: real processes over real sockets with random faults by seed, at most three at a time. Faults
//! are kills, stops, signals, clean shutdowns, cut links and answers that backends drop, while an operator
//! changes the configuration. One tenant sends far more than its quota; clients of another tenant keep their
//! connections open. Afterwards the run is checked against the quota's rules, and no process may have reported
//! a violated invariant.
//!
//! Some seeds have a cut that outlasts the time after which registries take a backend as lost, and some run 100
//! proxies.
//!
//! `tests/soak.rs` tells how to run more seeds than CI does.

mod faults;
mod keep_alive;
mod operator;

use crate::partitions::Direction;
use crate::processes::{state_and_handled_signals, Process};
use crate::system::{call, initial_config, program, Backend, BackendBehavior, Client, System};
use faults::{conflicts, ActiveFault, Fault, RunParameters};
use keep_alive::{KeepAliveClients, Unanswered};
use operator::Operator;
use starlinghill_quota_counter::{Allowance, Quota};
use std::collections::{BTreeSet, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Backends of the first service, whose runs count against the quota.
const BACKENDS: usize = 4;
/// Backends of the second service, which never drop an answer.
const LOBBY_BACKENDS: usize = 2;
/// Clients of the tenant with a quota.
const CLIENTS: usize = 6;
/// Quota in requests per second.
const RATE: u64 = 40;
const QUOTA: Quota = Quota { rate: RATE as f64, burst: RATE as f64 };
/// The same values as in the settings of the system under test.
const ALLOWANCE: Allowance = Allowance { window_s: 5.0, excess: 0.1, extra: 20.0 };
/// Most faults in effect at the same time.
const MAX_ACTIVE_FAULTS: usize = 3;
/// How long clients send on after the last fault has ended, before recovery is checked.
const TRAFFIC_AFTER_FAULTS: Duration = Duration::from_secs(2);
/// Every proxy must serve again within this time.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// Pause between two requests of a keep-alive client with five proxies. With more proxies it is longer, so that
/// the total load stays the same.
const KEEP_ALIVE_PAUSE: Duration = Duration::from_millis(20);
/// A request counts as disturbed by a fault of its proxy up to this long before or after.
const DISTURBANCE_MARGIN: Duration = Duration::from_secs(1);
/// Time in which all registries have heard of all backends.
const BACKENDS_KNOWN_AFTER: Duration = Duration::from_secs(2);
/// Longer than registries wait before they take a backend as lost.
const LONG_CUT: Duration = Duration::from_secs(29);

#[derive(Debug, Clone, Copy)]
struct Window {
    from: Instant,
    to: Instant,
}

impl Window {
    fn overlaps(&self, other: &Window) -> bool {
        self.from <= other.to + DISTURBANCE_MARGIN && other.from <= self.to + DISTURBANCE_MARGIN
    }
}

struct Soak {
    parameters: RunParameters,
    system: System,
    backends: Vec<Backend>,
    lobby: Vec<Backend>,
    rng: fastrand::Rng,
    active_faults: Vec<ActiveFault>,
    /// Proxies that were killed or stopped, and when.
    disturbed: Vec<(usize, Window)>,
    violations: Vec<String>,
    began: Instant,
    /// Injected faults with their times.
    events: Vec<String>,
}

impl Soak {
    async fn new(seed: u64) -> Soak {
        let parameters = RunParameters::for_seed(seed);
        let system = System::start(&program(), parameters.edges);
        let (mut backends, mut lobby) = (Vec::new(), Vec::new());
        for i in 0..BACKENDS {
            let id = format!("i-{i}");
            backends.push(
                Backend::start(&id, "ledger", system.backend_address(i), registry_order(&system, i)).await,
            );
        }
        for i in 0..LOBBY_BACKENDS {
            let (id, at) = (format!("l-{i}"), system.backend_address(BACKENDS + i));
            lobby.push(Backend::start(&id, "lobby", at, registry_order(&system, i)).await);
        }
        for core in &system.cores {
            core.processes[1].wait_for_log("event=start program=patternbook", Duration::from_secs(10));
        }
        assert_eq!(system.send_change(&initial_config(RATE)).await.status, 200);
        assert_eq!(system.send_change(&operator::second_tenant()).await.status, 200);
        system.wait_until_ready().await;
        let (rng, active_faults) = (fastrand::Rng::with_seed(seed), Vec::new());
        let (disturbed, violations, events) = Default::default();
        let began = Instant::now();
        Soak { parameters, system, backends, lobby, rng, active_faults, disturbed, violations, began, events }
    }

    /// Returns the core machine whose registry was the last to hold the count, by the term in its log.
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

    fn inject_random_fault(&mut self) {
        let (edge, backend) = (self.rng.usize(0..self.parameters.edges), self.rng.usize(0..BACKENDS));
        let holder = self.holder().filter(|_| self.rng.bool());
        let core = holder.unwrap_or_else(|| self.rng.usize(0..self.system.cores.len()));
        let fault = match self.rng.u32(0..13) {
            0 => Fault::EdgeKilled(edge),
            1 => Fault::EdgeStopped(edge),
            2 | 3 => Fault::EdgeEnds(edge),
            4 => Fault::EdgeReloads(edge),
            5 => Fault::CoreKilled(core),
            6 => Fault::CoreEnds(core),
            7 => Fault::CoreReloads(core),
            8 => Fault::RegistryStopped(core),
            9 => Fault::AnswersLost(backend),
            _ => Fault::Cut(self.draw_cut(core, edge)),
        };
        if !self.active_faults.iter().any(|other| conflicts(&other.fault, &fault)) && self.can_inject(&fault)
        {
            let span = Duration::from_millis(self.rng.u64(50..2_500));
            self.inject(fault, span);
        }
    }

    /// Whether the fault can be injected now. A process handles signals from its first moments on, but one that
    /// the kernel is still loading is ended by any signal.
    fn can_inject(&self, fault: &Fault) -> bool {
        let System { cores, edges, .. } = &self.system;
        match fault {
            Fault::EdgeEnds(at) | Fault::EdgeReloads(at) => edges[*at].processes.iter().all(handles_signals),
            Fault::CoreReloads(at) => cores[*at].processes.iter().all(handles_signals),
            // With a long cut, registries must run long enough to take backends as lost, and backends must
            // stay with their registries.
            Fault::CoreEnds(_) | Fault::CoreKilled(_) | Fault::RegistryStopped(_)
                if self.parameters.long_cut =>
            {
                false
            }
            Fault::CoreEnds(at) => cores[*at].processes.iter().all(handles_signals),
            _ => true,
        }
    }

    /// Draws a cut: one core machine from a proxy, from both other core machines or from one of them, in both
    /// directions or in one.
    fn draw_cut(&mut self, core: usize, edge: usize) -> BTreeSet<Direction> {
        let others = match self.rng.u32(0..3) {
            0 => vec![self.system.edges[edge].address()],
            1 => self.other_cores(core),
            _ => self.other_cores(core).into_iter().take(1).collect(),
        };
        let ways = self.rng.u32(0..4);
        let here = self.system.cores[core].address();
        let mut directions = BTreeSet::new();
        for there in others {
            if ways != 0 {
                directions.insert((here, there));
            }
            if ways != 1 {
                directions.insert((there, here));
            }
        }
        directions
    }

    fn other_cores(&self, core: usize) -> Vec<IpAddr> {
        let others = self.system.cores.iter().enumerate().filter(|(other, _)| *other != core);
        others.map(|(_, machine)| machine.address()).collect()
    }

    fn long_cut(&mut self) {
        let core = self.rng.usize(0..self.system.cores.len());
        let here = self.system.cores[core].address();
        let others = self.other_cores(core);
        let directions = others.into_iter().flat_map(|there| [(here, there), (there, here)]).collect();
        self.inject(Fault::Cut(directions), LONG_CUT);
    }

    /// Starts a fault that lasts for `span`.
    fn inject(&mut self, fault: Fault, span: Duration) {
        // Sometimes three signals are sent at once, before the process has dealt with the first.
        let times = if self.rng.u32(0..3) == 0 { 3 } else { 1 };
        let System { cores, edges, .. } = &mut self.system;
        match &fault {
            Fault::EdgeKilled(at) => edges[*at].kill(),
            Fault::EdgeStopped(at) => edges[*at].processes[0].stop(),
            Fault::EdgeEnds(at) => (0..times).for_each(|_| edges[*at].processes[0].terminate()),
            Fault::EdgeReloads(at) => (0..times).for_each(|_| edges[*at].processes[0].hang_up()),
            Fault::CoreKilled(at) => cores[*at].kill(),
            Fault::CoreEnds(at) => cores[*at].processes.iter_mut().for_each(Process::terminate),
            Fault::CoreReloads(at) => {
                (0..times).for_each(|_| cores[*at].processes.iter_mut().for_each(Process::hang_up));
            }
            Fault::RegistryStopped(at) => cores[*at].processes[0].stop(),
            Fault::AnswersLost(at) => self.backends[*at].set_behavior(BackendBehavior::DropResponse),
            Fault::Cut(_) => {}
        }
        let now = Instant::now();
        self.events.push(format!("{:?} {fault:?} for {span:?}", now - self.began));
        if let Fault::EdgeKilled(at) | Fault::EdgeStopped(at) = &fault {
            self.disturbed.push((*at, Window { from: now, to: now + span }));
        }
        self.active_faults.push(ActiveFault { ends_at: now + span, fault });
        self.cut_links();
    }

    /// Cuts the links of all cuts in effect, and no others.
    fn cut_links(&self) {
        let cuts = self.active_faults.iter().filter_map(|active| match &active.fault {
            Fault::Cut(directions) => Some(directions),
            _ => None,
        });
        self.system.cut(&cuts.flatten().copied().collect());
    }

    /// Ends a fault: restarts or resumes what it ended or stopped.
    fn end_fault(&mut self, fault: &Fault) {
        let System { cores, edges, .. } = &mut self.system;
        match fault {
            Fault::EdgeKilled(at) => edges[*at].start(),
            Fault::EdgeStopped(at) => edges[*at].processes[0].resume(),
            Fault::EdgeEnds(at) => check_clean_exit(&mut edges[*at].processes, &mut self.violations),
            Fault::CoreKilled(at) => cores[*at].start(),
            Fault::CoreEnds(at) => check_clean_exit(&mut cores[*at].processes, &mut self.violations),
            Fault::RegistryStopped(at) => cores[*at].processes[0].resume(),
            Fault::AnswersLost(at) => self.backends[*at].set_behavior(BackendBehavior::Serve),
            Fault::EdgeReloads(_) | Fault::CoreReloads(_) | Fault::Cut(_) => {}
        }
        match fault {
            Fault::EdgeEnds(at) => edges[*at].start(),
            Fault::CoreEnds(at) => cores[*at].start(),
            _ => {}
        }
    }

    /// Removes and returns the faults whose time is over. After a SIGTERM the processes must have exited as well.
    fn take_finished_faults(&mut self) -> Vec<ActiveFault> {
        let System { cores, edges, .. } = &mut self.system;
        let mut is_over = |active: &mut ActiveFault| {
            let running = match &active.fault {
                Fault::EdgeEnds(at) => &mut edges[*at].processes,
                Fault::CoreEnds(at) => &mut cores[*at].processes,
                _ => return active.ends_at < Instant::now(),
            };
            active.ends_at < Instant::now() && !running.iter_mut().any(Process::is_running)
        };
        self.active_faults.extract_if(.., |active| is_over(active)).collect()
    }

    fn end_faults(&mut self, finished: Vec<ActiveFault>) {
        if !finished.is_empty() {
            finished.iter().for_each(|active| self.end_fault(&active.fault));
            self.cut_links();
        }
    }

    async fn inject_faults(&mut self) {
        if self.parameters.long_cut {
            sleep(BACKENDS_KNOWN_AFTER).await;
            self.long_cut();
        }
        let until = Instant::now() + self.parameters.fault_duration;
        while Instant::now() < until {
            let finished = self.take_finished_faults();
            self.end_faults(finished);
            if self.active_faults.len() < MAX_ACTIVE_FAULTS && self.rng.u32(0..4) == 0 {
                self.inject_random_fault();
            }
            sleep(Duration::from_millis(50)).await;
        }
        while !self.active_faults.is_empty() {
            let finished = self.take_finished_faults();
            self.end_faults(finished);
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Checks that each proxy serves again within [`RECOVERY_LIMIT`].
    async fn check_recovery(&mut self) {
        let until = Instant::now() + RECOVERY_LIMIT;
        for (edge, machine) in self.system.edges.iter().enumerate() {
            let serves = || async {
                let headers = [("attempt-id", "recovery"), ("authorization", "Bearer key-2")];
                let answer = call(machine.front_address(), "GET", "/kept/1", &headers, "").await;
                answer.is_some_and(|answer| answer.status == 200)
            };
            while !serves().await {
                if Instant::now() > until {
                    self.violations.push(format!(
                        "proxy {edge} does not serve within {RECOVERY_LIMIT:?} after all faults"
                    ));
                    break;
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Start times of all runs of the tenant with the quota, in order.
    fn run_starts(&self) -> Vec<Instant> {
        let of = |backend: &Backend| backend.run_starts.lock().expect("the lock is not poisoned").clone();
        let mut all: Vec<Instant> = self.backends.iter().flat_map(of).collect();
        all.sort();
        all
    }

    /// Ids of the attempts that the second service ran.
    fn lobby_attempts(&self) -> HashSet<String> {
        let of = |backend: &Backend| {
            backend
                .runs_by_attempt
                .lock()
                .expect("the lock is not poisoned")
                .keys()
                .cloned()
                .collect::<Vec<_>>()
        };
        self.lobby.iter().flat_map(of).collect()
    }

    /// Log lines of the registries about the holder of the count and about lost backends, with their times.
    fn count_lines(&self) -> Vec<String> {
        let wanted = ["event=count_held", "event=count_handed_over", "event=backend_lost"];
        let mut lines = Vec::new();
        for (core, machine) in self.system.cores.iter().enumerate() {
            for line in machine.processes[0].lines() {
                if let Some(event) = wanted.iter().find_map(|event| line.text.find(event)) {
                    let at = line.at.saturating_duration_since(self.began);
                    lines.push(format!("{at:?} registry {core}: {}", &line.text[event..]));
                }
            }
        }
        lines
    }

    /// Collects violations that processes logged, and processes that ended on their own.
    fn check_processes(&mut self) {
        let machines = self.system.cores.iter_mut().chain(&mut self.system.edges);
        for process in machines.flat_map(|machine| &mut machine.processes) {
            let log = process.log();
            if !process.is_running() {
                self.violations.push(format!("{} ended on its own after {:?}", process.name, log.last()));
            }
            let violations = ["event=quota_exceeded", "event=task_ended", "panicked at"];
            let is_fault = |line: &String| violations.iter().any(|event| line.contains(event));
            self.violations.extend(log.into_iter().filter(is_fault));
        }
    }
}

/// The registries in the order in which a backend calls them. Each backend starts with another one, so that a
/// cut has backends on both sides.
fn registry_order(system: &System, number: usize) -> Vec<SocketAddr> {
    let mut controls = system.control_addresses();
    let first = number % controls.len();
    controls.rotate_left(first);
    controls
}

/// The bits of SIGHUP and SIGTERM in the mask of handled signals.
const HANG_UP: u64 = 1;
const TERMINATE: u64 = 1 << 14;

fn handles_signals(process: &Process) -> bool {
    let handled = process.pid().and_then(state_and_handled_signals).map_or(0, |(_, handled)| handled);
    handled & HANG_UP != 0 && handled & TERMINATE != 0
}

/// Checks that processes which got SIGTERM have exited with code 0.
fn check_clean_exit(processes: &mut [Process], violations: &mut Vec<String>) {
    for process in processes {
        let code = process.wait_for_exit_code(Duration::ZERO);
        if code != Some(0) {
            violations.push(format!("{} exited after SIGTERM with {code:?}", process.name));
        }
    }
}

/// Sends requests to random proxies, for more than the quota in total.
async fn send_requests(fronts: Vec<SocketAddr>, client: Arc<Client>, stop: Arc<AtomicBool>) {
    while !stop.load(Ordering::Relaxed) {
        let front = fronts[fastrand::usize(..fronts.len())];
        // A stopped proxy answers late; these clients do not wait for it.
        let _ =
            tokio::time::timeout(Duration::from_millis(400), client.send_attempt(front, "GET", "/read/1"))
                .await;
        sleep(Duration::from_millis(5)).await;
    }
}

/// The result of one seed.
#[derive(Debug)]
pub struct SoakResult {
    /// Number of requests of the tenant with the quota that backends ran.
    pub runs: usize,
    /// Most runs in any window of 5 s.
    pub max_in_window: usize,
    /// Most runs that the rules allow in any window, with the excess that faults may cause.
    pub allowed_in_window: f64,
    /// Fewest runs to be expected: half of what the quota grants while faults are injected.
    pub min_runs: f64,
    /// Number of requests of keep-alive clients that were answered with 200.
    pub keep_alive_served: u64,
    /// Number of configuration changes that were confirmed.
    pub confirmed_changes: u64,
    /// Violations that the system logged itself, processes that ended on their own, lost requests, and proxies
    /// that do not serve again or do not apply the last change.
    pub violations: Vec<String>,
    /// Injected faults, the start of the busiest window and the registries' log lines about the count, with their
    /// times, for debugging a seed.
    pub events: Vec<String>,
}

/// Runs the soak test with one seed.
pub async fn soak(seed: u64) -> SoakResult {
    let mut soak = Soak::new(seed).await;
    let fronts: Vec<_> = soak.system.edges.iter().map(|edge| edge.front_address()).collect();
    let (stop, client) = (Arc::new(AtomicBool::new(false)), Arc::new(Client::new("key-1")));
    let (kept, operator) = (Arc::new(KeepAliveClients::default()), Arc::new(Operator::default()));
    let mut running: Vec<_> = (0..CLIENTS)
        .map(|_| tokio::spawn(send_requests(fronts.clone(), client.clone(), stop.clone())))
        .collect();
    let pause = KEEP_ALIVE_PAUSE * (1 + fronts.len() as u32 / 5);
    for (edge, front) in fronts.iter().enumerate() {
        running.push(tokio::spawn(kept.clone().send_requests(edge, *front, pause, stop.clone())));
    }
    let stop_changes = Arc::new(AtomicBool::new(false));
    let changing = operator.clone().send_changes(soak.system.control_addresses(), stop_changes.clone());
    let changing = tokio::spawn(changing);
    soak.inject_faults().await;
    stop_changes.store(true, Ordering::Relaxed);
    changing.await.expect("the task does not panic");
    sleep(TRAFFIC_AFTER_FAULTS).await;
    soak.check_recovery().await;
    let last_change_violations = operator.check_last_change(&soak.system).await;
    soak.violations.extend(last_change_violations);
    stop.store(true, Ordering::Relaxed);
    for one in running {
        one.await.expect("the task does not panic");
    }
    let is_disturbed = |one: &Unanswered| {
        soak.disturbed.iter().any(|(edge, window)| *edge == one.edge && window.overlaps(&one.during))
    };
    let lost = kept.lost(&soak.lobby_attempts(), is_disturbed);
    soak.violations.extend(lost);
    soak.check_processes();
    let run_starts = soak.run_starts();
    let window = Duration::from_secs_f64(ALLOWANCE.window_s);
    let within =
        |from: &Instant| run_starts.iter().filter(|at| *at >= from && **at <= *from + window).count();
    let (busiest, from) =
        run_starts.iter().map(|from| (within(from), *from)).max().unwrap_or((0, soak.began));
    soak.events.push(format!("{:?} busiest window begins: {busiest}", from - soak.began));
    let count_lines = soak.count_lines();
    soak.events.extend(count_lines);
    SoakResult {
        runs: run_starts.len(),
        max_in_window: busiest,
        allowed_in_window: ALLOWANCE.max_units(QUOTA),
        min_runs: QUOTA.rate * soak.parameters.fault_duration.as_secs_f64() / 2.0,
        keep_alive_served: kept.served(),
        confirmed_changes: operator.confirmed(),
        violations: soak.violations,
        events: soak.events,
    }
}
