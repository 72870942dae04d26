//! Real processes over real sockets under troubles by seed, up to three at a time: kills, stops, signals, ends in order, cut
//! links, answers that backends lose, and changes of the configuration meanwhile. A tenant asks for far more than its quota;
//! clients of another one hold on to their connections until these are gone. Fault went on is checked after the fact against
//! the rules, and the processes' own invariant must not have been violated.
//!
//! Some seeds play a cut that outlasts all that registries wait for, some as many processes as a machine bears.
//!
//! `tests/soak.rs` says how to play more seeds than CI does.

mod faults;
mod keep_alive;
mod operator;

use crate::partitions::Direction;
use crate::processes::{state_and_handled_signals, Process};
use crate::system::{call, initial_config, program, Backend, BackendBehavior, Client, System};
use faults::{meets, ActiveFault, Fault, Play};
use keep_alive::{Kept, Unanswered};
use operator::Operator;
use starlinghill_quota_counter::{Allowance, Quota};
use std::collections::{BTreeSet, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const BACKENDS: usize = 4;
/// The second service's backends, which never lose an answer.
const LOBBY: usize = 2;
const CLIENTS: usize = 6;
const RATE: u64 = 40;
const QUOTA: Quota = Quota { rate: RATE as f64, burst: RATE as f64 };
/// As the settings of the system under test say.
const ALLOWANCE: Allowance = Allowance { window_s: 5.0, excess: 0.1, extra: 20.0 };
/// The most troubles at a time.
const MOST: usize = 3;
/// How long clients ask on after the troubles.
const AFTER: Duration = Duration::from_secs(2);
/// Service is back so long after the troubles.
const RECOVERY: Duration = Duration::from_secs(15);
/// A client that keeps its connection asks so often at each of five proxies, and as often in all where there are more.
const KEPT_PAUSE: Duration = Duration::from_millis(20);
/// A request is disturbed by what befell its proxy so long before or after.
const AROUND: Duration = Duration::from_secs(1);
/// In this time all registries have heard of all backends.
const ACQUAINTED: Duration = Duration::from_secs(2);
/// A long cut lasts longer than registries wait before they take a backend for lost.
const LONG_CUT: Duration = Duration::from_secs(29);

/// A span of time.
#[derive(Debug, Clone, Copy)]
struct Window {
    from: Instant,
    to: Instant,
}

impl Window {
    fn meets(&self, other: &Window) -> bool {
        self.from <= other.to + AROUND && other.from <= self.to + AROUND
    }
}

struct Soak {
    play: Play,
    system: System,
    backends: Vec<Backend>,
    lobby: Vec<Backend>,
    rng: fastrand::Rng,
    troubles: Vec<ActiveFault>,
    /// When which proxies were killed or stopped, until they ran again.
    disturbed: Vec<(usize, Window)>,
    faults: Vec<String>,
    began: Instant,
    /// Fault befell, and when.
    story: Vec<String>,
}

impl Soak {
    async fn new(seed: u64) -> Soak {
        let play = Play::of(seed);
        let system = System::start(&program(), play.edges);
        let (mut backends, mut lobby) = (Vec::new(), Vec::new());
        for i in 0..BACKENDS {
            let id = format!("i-{i}");
            backends.push(Backend::start(&id, "ledger", system.backend_address(i), spread(&system, i)).await);
        }
        for i in 0..LOBBY {
            let (id, at) = (format!("l-{i}"), system.backend_address(BACKENDS + i));
            lobby.push(Backend::start(&id, "lobby", at, spread(&system, i)).await);
        }
        for core in &system.cores {
            core.processes[1].wait_for_log("event=start program=patternbook", Duration::from_secs(10));
        }
        assert_eq!(system.send_change(&initial_config(RATE)).await.status, 200);
        assert_eq!(system.send_change(&operator::second_tenant()).await.status, 200);
        system.wait_until_ready().await;
        let (rng, troubles) = (fastrand::Rng::with_seed(seed), Vec::new());
        let (disturbed, faults, story) = Default::default();
        let began = Instant::now();
        Soak { play, system, backends, lobby, rng, troubles, disturbed, faults, began, story }
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
        let (edge, backend) = (self.rng.usize(0..self.play.edges), self.rng.usize(0..BACKENDS));
        let holder = self.holder().filter(|_| self.rng.bool());
        let core = holder.unwrap_or_else(|| self.rng.usize(0..self.system.cores.len()));
        let what = match self.rng.u32(0..13) {
            0 => Fault::EdgeKilled(edge),
            1 => Fault::EdgeStopped(edge),
            2 | 3 => Fault::EdgeEnds(edge),
            4 => Fault::EdgeReloads(edge),
            5 => Fault::CoreKilled(core),
            6 => Fault::CoreEnds(core),
            7 => Fault::CoreReloads(core),
            8 => Fault::RegistryStopped(core),
            9 => Fault::AnswersLost(backend),
            _ => Fault::Cut(self.some_cut(core, edge)),
        };
        if !self.troubles.iter().any(|other| meets(&other.what, &what)) && self.can_befall(&what) {
            let span = Duration::from_millis(self.rng.u64(50..2_500));
            self.befall(what, span);
        }
    }

    /// Whether it may. A process hears signals from its first moments on; one that the system has only just begun to load is ended by any of
    /// them, as every program is.
    fn can_befall(&self, what: &Fault) -> bool {
        let System { cores, edges, .. } = &self.system;
        match what {
            Fault::EdgeEnds(at) | Fault::EdgeReloads(at) => edges[*at].processes.iter().all(hears_signals),
            Fault::CoreReloads(at) => cores[*at].processes.iter().all(hears_signals),
            // Registries that are to lose sight of backends for long must live as long, and backends stay with them.
            Fault::CoreEnds(_) | Fault::CoreKilled(_) | Fault::RegistryStopped(_) if self.play.long_cut => {
                false
            }
            Fault::CoreEnds(at) => cores[*at].processes.iter().all(hears_signals),
            _ => true,
        }
    }

    /// A core machine is cut off from another one, from all of them or from a proxy; both ways, or one.
    fn some_cut(&mut self, core: usize, edge: usize) -> BTreeSet<Direction> {
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
        self.befall(Fault::Cut(directions), LONG_CUT);
    }

    /// A trouble begins, and lasts so long.
    fn befall(&mut self, what: Fault, span: Duration) {
        // At times signals come in a series, before the first has been worked through.
        let times = if self.rng.u32(0..3) == 0 { 3 } else { 1 };
        let System { cores, edges, .. } = &mut self.system;
        match &what {
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
        self.story.push(format!("{:?} {what:?} for {span:?}", now - self.began));
        if let Fault::EdgeKilled(at) | Fault::EdgeStopped(at) = &what {
            self.disturbed.push((*at, Window { from: now, to: now + span }));
        }
        self.troubles.push(ActiveFault { ends: now + span, what });
        self.cut_links();
    }

    /// The links are cut as the troubles say that are there now.
    fn cut_links(&self) {
        let cuts = self.troubles.iter().filter_map(|trouble| match &trouble.what {
            Fault::Cut(directions) => Some(directions),
            _ => None,
        });
        self.system.cut(&cuts.flatten().copied().collect());
    }

    /// A trouble is over: what was ended runs again.
    fn relieve(&mut self, what: &Fault) {
        let System { cores, edges, .. } = &mut self.system;
        match what {
            Fault::EdgeKilled(at) => edges[*at].start(),
            Fault::EdgeStopped(at) => edges[*at].processes[0].resume(),
            Fault::EdgeEnds(at) => end_in_order(&mut edges[*at].processes, &mut self.faults),
            Fault::CoreKilled(at) => cores[*at].start(),
            Fault::CoreEnds(at) => end_in_order(&mut cores[*at].processes, &mut self.faults),
            Fault::RegistryStopped(at) => cores[*at].processes[0].resume(),
            Fault::AnswersLost(at) => self.backends[*at].set_behavior(BackendBehavior::Serve),
            Fault::EdgeReloads(_) | Fault::CoreReloads(_) | Fault::Cut(_) => {}
        }
        match what {
            Fault::EdgeEnds(at) => edges[*at].start(),
            Fault::CoreEnds(at) => cores[*at].start(),
            _ => {}
        }
    }

    /// Fault has lasted its time, and has ended where it was told to end.
    fn take_over(&mut self) -> Vec<ActiveFault> {
        let System { cores, edges, .. } = &mut self.system;
        let mut is_over = |trouble: &mut ActiveFault| {
            let running = match &trouble.what {
                Fault::EdgeEnds(at) => &mut edges[*at].processes,
                Fault::CoreEnds(at) => &mut cores[*at].processes,
                _ => return trouble.ends < Instant::now(),
            };
            trouble.ends < Instant::now() && !running.iter_mut().any(Process::is_running)
        };
        self.troubles.extract_if(.., |trouble| is_over(trouble)).collect()
    }

    fn relieve_all(&mut self, over: Vec<ActiveFault>) {
        if !over.is_empty() {
            over.iter().for_each(|trouble| self.relieve(&trouble.what));
            self.cut_links();
        }
    }

    async fn trouble(&mut self) {
        if self.play.long_cut {
            sleep(ACQUAINTED).await;
            self.long_cut();
        }
        let until = Instant::now() + self.play.span;
        while Instant::now() < until {
            let over = self.take_over();
            self.relieve_all(over);
            if self.troubles.len() < MOST && self.rng.u32(0..4) == 0 {
                self.begin();
            }
            sleep(Duration::from_millis(50)).await;
        }
        while !self.troubles.is_empty() {
            let over = self.take_over();
            self.relieve_all(over);
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Each proxy serves again in time.
    async fn recover(&mut self) {
        let until = Instant::now() + RECOVERY;
        for (edge, machine) in self.system.edges.iter().enumerate() {
            let serves = || async {
                let headers = [("attempt-id", "recovery"), ("authorization", "Bearer key-2")];
                let answer = call(machine.front_address(), "GET", "/kept/1", &headers, "").await;
                answer.is_some_and(|answer| answer.status == 200)
            };
            while !serves().await {
                if Instant::now() > until {
                    self.faults.push(format!("proxy {edge} does not serve {RECOVERY:?} after all troubles"));
                    break;
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// When each run of the tenant with the quota began, in order.
    fn arrivals(&self) -> Vec<Instant> {
        let of = |backend: &Backend| backend.run_starts.lock().expect("whole").clone();
        let mut all: Vec<Instant> = self.backends.iter().flat_map(of).collect();
        all.sort();
        all
    }

    /// The tries that the second service ran.
    fn ran(&self) -> HashSet<String> {
        let of = |backend: &Backend| {
            backend.runs_by_attempt.lock().expect("whole").keys().cloned().collect::<Vec<_>>()
        };
        self.lobby.iter().flat_map(of).collect()
    }

    /// Fault registries said of the count, and when.
    fn count_lines(&self) -> Vec<String> {
        let told = ["event=count_held", "event=count_handed_over", "event=backend_lost"];
        let mut lines = Vec::new();
        for (core, machine) in self.system.cores.iter().enumerate() {
            for line in machine.processes[0].lines() {
                if let Some(event) = told.iter().find_map(|told| line.text.find(told)) {
                    let at = line.at.saturating_duration_since(self.began);
                    lines.push(format!("{at:?} registry {core}: {}", &line.text[event..]));
                }
            }
        }
        lines
    }

    /// Fault went wrong by the processes' own account, or with them.
    fn look_at_processes(&mut self) {
        let machines = self.system.cores.iter_mut().chain(&mut self.system.edges);
        for process in machines.flat_map(|machine| &mut machine.processes) {
            let log = process.log();
            if !process.is_running() {
                self.faults.push(format!("{} ended by itself after {:?}", process.name, log.last()));
            }
            let told = ["event=quota_exceeded", "event=task_ended", "panicked at"];
            let is_fault = |line: &String| told.iter().any(|told| line.contains(told));
            self.faults.extend(log.into_iter().filter(is_fault));
        }
    }
}

/// The registries in the order in which a backend calls them: each begins at another one, so that a cut has some on both sides.
fn spread(system: &System, number: usize) -> Vec<SocketAddr> {
    let mut controls = system.control_addresses();
    let first = number % controls.len();
    controls.rotate_left(first);
    controls
}

/// The signals by which a process is told to read its settings again, and to end, as `/proc` has them.
const HANG_UP: u64 = 1;
const TERMINATE: u64 = 1 << 14;

fn hears_signals(process: &Process) -> bool {
    let handled = process.pid().and_then(state_and_handled_signals).map_or(0, |(_, handled)| handled);
    handled & HANG_UP != 0 && handled & TERMINATE != 0
}

/// Fault was told to end must have ended with success.
fn end_in_order(processes: &mut [Process], faults: &mut Vec<String>) {
    for process in processes {
        let code = process.wait_for_exit_code(Duration::ZERO);
        if code != Some(0) {
            faults.push(format!("{} was told to end and ended with {code:?}", process.name));
        }
    }
}

/// Asks at any proxy, again and again, for more than the quota.
async fn ask(fronts: Vec<SocketAddr>, client: Arc<Client>, over: Arc<AtomicBool>) {
    while !over.load(Ordering::Relaxed) {
        let front = fronts[fastrand::usize(..fronts.len())];
        // A proxy that is stopped answers late; a client of this kind does not wait for it.
        let _ =
            tokio::time::timeout(Duration::from_millis(400), client.send_attempt(front, "GET", "/read/1"))
                .await;
        sleep(Duration::from_millis(5)).await;
    }
}

/// Fault came of one seed.
#[derive(Debug)]
pub struct SoakResult {
    /// How many requests of the tenant with the quota backends ran.
    pub runs: usize,
    /// The most in any window, and what the rules allow there.
    pub busiest: usize,
    /// The same.
    pub allowed: f64,
    /// The least that is to be expected: half of what the quota gives, in spite of all.
    pub least: f64,
    /// How many requests on kept connections were served, and how many changes confirmed.
    pub kept: u64,
    /// The same.
    pub confirmed: u64,
    /// Log lines by which the system itself saw a violation, processes that ended by themselves, requests that were lost, proxies
    /// that do not serve again or do not follow the last change.
    pub faults: Vec<String>,
    /// Fault befell, when the busiest window began, and what registries said of the count, for who looks into a seed.
    pub story: Vec<String>,
}

/// Plays one seed.
pub async fn soak(seed: u64) -> SoakResult {
    let mut soak = Soak::new(seed).await;
    let fronts: Vec<_> = soak.system.edges.iter().map(|edge| edge.front_address()).collect();
    let (over, client) = (Arc::new(AtomicBool::new(false)), Arc::new(Client::new("key-1")));
    let (kept, operator) = (Arc::new(Kept::default()), Arc::new(Operator::default()));
    let mut running: Vec<_> =
        (0..CLIENTS).map(|_| tokio::spawn(ask(fronts.clone(), client.clone(), over.clone()))).collect();
    let pause = KEPT_PAUSE * (1 + fronts.len() as u32 / 5);
    for (edge, front) in fronts.iter().enumerate() {
        running.push(tokio::spawn(kept.clone().ask(edge, *front, pause, over.clone())));
    }
    let changes_over = Arc::new(AtomicBool::new(false));
    let changing = operator.clone().change(soak.system.control_addresses(), changes_over.clone());
    let changing = tokio::spawn(changing);
    soak.trouble().await;
    changes_over.store(true, Ordering::Relaxed);
    changing.await.expect("it ends");
    sleep(AFTER).await;
    soak.recover().await;
    let late = operator.last_change(&soak.system).await;
    soak.faults.extend(late);
    over.store(true, Ordering::Relaxed);
    for one in running {
        one.await.expect("it ends");
    }
    let is_disturbed = |one: &Unanswered| {
        soak.disturbed.iter().any(|(edge, window)| *edge == one.edge && window.meets(&one.during))
    };
    let lost = kept.lost(&soak.ran(), is_disturbed);
    soak.faults.extend(lost);
    soak.look_at_processes();
    let arrivals = soak.arrivals();
    let window = Duration::from_secs_f64(ALLOWANCE.window_s);
    let within = |from: &Instant| arrivals.iter().filter(|at| *at >= from && **at <= *from + window).count();
    let (busiest, from) = arrivals.iter().map(|from| (within(from), *from)).max().unwrap_or((0, soak.began));
    soak.story.push(format!("{:?} busiest window begins: {busiest}", from - soak.began));
    let told = soak.count_lines();
    soak.story.extend(told);
    SoakResult {
        runs: arrivals.len(),
        busiest,
        allowed: ALLOWANCE.most(QUOTA),
        least: QUOTA.rate * soak.play.span.as_secs_f64() / 2.0,
        kept: kept.served(),
        confirmed: operator.confirmed(),
        faults: soak.faults,
        story: soak.story,
    }
}
