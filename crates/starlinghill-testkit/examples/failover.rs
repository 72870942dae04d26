//! Runs an ordered failover many times, each time with other faults. A fleet has five members, three zones in two regions,
//! six gateways and nine save nodes; all but the nodes are real processes. Zone `b` is drained in four steps and returned
//! in four, under load through every gateway. Prints a table of all runs, and writes plots of two of them to a folder.
//!
//! `failover [--runs N] [--seed N] [--at-once N] [--plot FOLDER] [--scenario FILE]`. The processes that it starts are
//! this program again, which runs the operators' program if its first argument is one of its commands.

use clap::Parser;
use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde::{Deserialize, Serialize};
use starlinghill_testkit::audit::{accepted_position, following_since, violations, OrderRecord};
use starlinghill_testkit::failover::{Fault, Fleet, RequestOutcomes, Step, ZONES};
use starlinghill_testkit::group::LIMIT;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Requests per second through each gateway.
const RATE: u64 = 40;
/// When zone `b` is drained, in milliseconds from the start.
const DRAIN_AT_MS: u64 = 1_000;
/// When its save nodes restart cold, and the earliest time of its return, in milliseconds.
const RETURN_AT_MS: u64 = 4_500;
/// The length of a run in milliseconds.
const END_AT_MS: u64 = 8_000;
/// Both change the zone's weight by 25% every 500 ms.
const RAMP: [&str; 4] = ["--step", "25", "--every-ms", "500"];
/// `fresh_ms` in [`starlinghill_testkit::group::MAP`].
const FRESH: Duration = Duration::from_millis(1_000);
/// The delay that the audit allows for writing and reading a log line.
const SLACK: Duration = Duration::from_millis(1_000);
/// The longest time for which a gateway may send new requests to a zone after it has learnt that the zone is out.
const GRACE: Duration = Duration::from_secs(1);

#[derive(Parser)]
struct Cli {
    /// Scenarios to run.
    #[arg(long, default_value_t = 40)]
    runs: u64,
    /// The seed of the first scenario; the others have the next numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Runs at the same time.
    #[arg(long, default_value_t = 2)]
    at_once: usize,
    /// The folder for the plots.
    #[arg(long, default_value = "docs/measured")]
    plot: PathBuf,
    /// Instead of scenarios: this many seconds without any member while gateways restart, compared with a fleet that has no
    /// group.
    #[arg(long)]
    away: Option<u64>,
    /// Run only the scenario in this file, as an earlier run printed it.
    #[arg(long)]
    scenario: Option<PathBuf>,
}

/// The faults of a run.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Scenario {
    name: String,
    seed: u64,
    steps: Vec<Step>,
}

impl Scenario {
    /// A run without faults, to compare others with. Its seed is 0.
    fn quiet() -> Scenario {
        Scenario { name: "no fault".into(), seed: 0, steps: Vec::new() }
    }

    /// One to three random faults, each of which ends after 0.5 to 2 s if it can end.
    fn random(seed: u64) -> Scenario {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut steps = Vec::new();
        let mut names = Vec::new();
        for _ in 0..rng.usize(1..=3) {
            let at_ms = rng.u64(600..5_500);
            let end_ms = at_ms + rng.u64(500..2_000);
            let pair = |rng: &mut fastrand::Rng| {
                let from = rng.usize(..3);
                (ZONES[from].to_string(), ZONES[(from + rng.usize(1..3)) % 3].to_string())
            };
            let (name, faults, end) = match rng.usize(..11) {
                0 => ("leader killed", vec![Fault::KillLeader], Some(Fault::ResumeMembers)),
                1 => ("member killed", vec![Fault::KillMember(rng.usize(..5))], Some(Fault::ResumeMembers)),
                2 => ("member stopped", vec![Fault::StopMember(rng.usize(..5))], Some(Fault::ResumeMembers)),
                3 => ("group away", vec![Fault::KillGroup], Some(Fault::ResumeMembers)),
                4 => ("gateway killed", vec![Fault::KillGateway(rng.usize(..6))], None),
                5 => ("gateway restarted", vec![Fault::RestartGateway(rng.usize(..6))], None),
                6 => {
                    let gateway = rng.usize(..6);
                    (
                        "gateway stopped",
                        vec![Fault::StopGateway(gateway)],
                        Some(Fault::ContinueGateway(gateway)),
                    )
                }
                7 => {
                    let (a, b) = pair(&mut rng);
                    let both = vec![Fault::Cut(a.clone(), b.clone()), Fault::Cut(b, a)];
                    ("zones cut", both, Some(Fault::Heal))
                }
                8 => {
                    let (a, b) = pair(&mut rng);
                    ("cut one way", vec![Fault::Cut(a, b)], Some(Fault::Heal))
                }
                9 => {
                    let (a, b) = pair(&mut rng);
                    ("slow link", vec![Fault::Delay(a, b, rng.u64(20..150))], Some(Fault::Heal))
                }
                _ => {
                    let (a, b) = pair(&mut rng);
                    ("resets", vec![Fault::Reset(a, b)], None)
                }
            };
            names.push(name);
            steps.extend(faults.into_iter().map(|fault| Step { at_ms, fault }));
            steps.extend(end.map(|fault| Step { at_ms: end_ms, fault }));
        }
        steps.sort_by_key(|step| step.at_ms);
        names.sort_unstable();
        names.dedup();
        Scenario { name: names.join(", "), seed, steps }
    }
}

/// The result of a run.
struct RunResult {
    scenario: Scenario,
    outcomes: RequestOutcomes,
    /// What the audit found.
    violations: Vec<String>,
    /// The time from each order until each gateway followed it, in milliseconds.
    to_gateways: Vec<u64>,
    /// The longest time from when all gateways followed that `b` is out until a request arrived there, in milliseconds;
    /// at most 1,000 are allowed.
    last_send_ms: Option<u64>,
    /// The heaviest load on a cold server as a ratio to what is allowed; more than 1 is a violation.
    cold_load: f64,
    /// Requests that arrived in each zone, by quarter of a second.
    load: Vec<[u64; 3]>,
}

/// Gives an order again and again until it is accepted. It always has the same id, so it takes effect only once.
fn order(program: &Path, file: &Path, id: &str, words: &[&str], arguments: &[&str]) -> Option<OrderRecord> {
    let sent_at = Instant::now();
    while sent_at.elapsed() < LIMIT {
        let output =
            Command::new(program).args(words).arg(file).args(arguments).args(["--id", id]).output().ok()?;
        let answered_at = Instant::now();
        if let Some(position) = accepted_position(&output.stdout) {
            return Some(OrderRecord { sent_at, answered_at, position: Some(position) });
        }
    }
    None
}

async fn run_scenario(program: PathBuf, scenario: Scenario) -> Result<RunResult, String> {
    let mut fleet = Fleet::start(&program, &["a", "a", "b", "b", "c"], 6, scenario.seed, true).await;
    fleet.load(RATE);
    let started = fleet.load_started;
    let (file, seed) = (fleet.group.operators_file(), scenario.seed);
    let wait = |ms: u64| (started + Duration::from_millis(ms)).saturating_duration_since(Instant::now());
    let orders = tokio::task::block_in_place(|| {
        std::thread::scope(|scope| {
            let ordering = scope.spawn(|| {
                std::thread::sleep(wait(DRAIN_AT_MS));
                let arguments: Vec<&str> = ["b", "--reason", "a drill"].into_iter().chain(RAMP).collect();
                let drained = order(&program, &file, &format!("d{seed}"), &["zone", "drain"], &arguments);
                std::thread::sleep(wait(RETURN_AT_MS));
                // Waits until the zone is out; faults may have delayed the drain's steps.
                let waiting = Instant::now();
                while waiting.elapsed() < LIMIT {
                    let shown = Command::new(&program).arg("zones").arg(&file).output();
                    if shown.is_ok_and(|o| String::from_utf8_lossy(&o.stdout).contains(" out ")) {
                        break;
                    }
                    std::thread::sleep(Duration::from_millis(100));
                }
                std::thread::sleep(GRACE + Duration::from_millis(200));
                let returned = order(&program, &file, &format!("r{seed}"), &["zone", "return"], &arguments);
                [drained, returned]
            });
            // The zone's save nodes restart cold in every scenario.
            let cold = Step { at_ms: RETURN_AT_MS, fault: Fault::RestartNodes("b".into()) };
            let before = scenario.steps.iter().take_while(|step| step.at_ms <= RETURN_AT_MS);
            let after = scenario.steps.iter().skip_while(|step| step.at_ms <= RETURN_AT_MS);
            for step in before.chain([&cold]).chain(after) {
                std::thread::sleep(wait(step.at_ms));
                fleet.inject(&step.fault);
            }
            ordering.join().unwrap_or([None, None])
        })
    });
    let [Some(drained), Some(returned)] = orders else {
        return Err(format!("{scenario:?}: an order has no outcome"));
    };
    tokio::time::sleep(wait(END_AT_MS)).await;
    let sent = fleet.finish().await;
    let zones = tokio::task::block_in_place(|| {
        fleet.group.wait_until("b serves again", |z| z["zones"]["b"]["phase"] == "serving");
        fleet.wait_until_all_follow()
    });
    let number = |key: &str| zones["position"][key].as_u64().unwrap_or(0);
    let followed = fleet.followed();
    let orders = [drained, returned];
    let violations = violations(&orders, &followed, (number("generation"), number("epoch")), FRESH, SLACK);
    let mut to_gateways = Vec::new();
    for order in &orders {
        for f in &followed {
            let first = f.iter().find(|f| {
                f.since >= order.sent_at && Some(f.position) >= order.position && f.mode == "following"
            });
            to_gateways
                .extend(first.map(|f| u64::try_from((f.since - order.sent_at).as_millis()).unwrap_or(0)));
        }
    }
    // The zone is out at the last position before the return.
    let out_position = orders[1].position.map(|(generation, epoch)| (generation, epoch - 1));
    let arrivals = fleet.arrivals_in("b");
    // How long all gateways have followed at this time that the zone is out; `None` if one doesn't. A gateway that was
    // restarted may send there again until it follows.
    let late = |at: Instant| {
        let since = followed.iter().map(|f| out_position.and_then(|out| following_since(f, out, at)));
        since.collect::<Option<Vec<_>>>().and_then(|all| all.into_iter().max()).map(|since| at - since)
    };
    let before = arrivals.iter().filter(|at| **at < orders[1].sent_at);
    let last_send_ms =
        before.filter_map(|at| late(*at)).max().map(|d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX));
    let mut load = vec![[0; 3]; (END_AT_MS / 250) as usize];
    for (i, zone) in ZONES.iter().enumerate() {
        for at in fleet.arrivals_in(zone) {
            let quarter = at.saturating_duration_since(started).as_millis() / 250;
            if let Some(slot) = load.get_mut(quarter as usize) {
                slot[i] += 1;
            }
        }
    }
    let cold_load = fleet.cold_node_loads().into_iter().map(|(_, ratio, _)| ratio).fold(0.0, f64::max);
    Ok(RunResult {
        cold_load,
        outcomes: fleet.request_outcomes(&sent),
        violations,
        to_gateways,
        last_send_ms,
        load,
        scenario,
    })
}

fn plot(run: &RunResult, folder: &Path, name: &str) -> Result<(), Box<dyn Error>> {
    std::fs::create_dir_all(folder)?;
    let path = folder.join(format!("{name}.svg"));
    let root = SVGBackend::new(&path, (900, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let highest = run.load.iter().flatten().max().copied().unwrap_or(1) * 4;
    let title =
        format!("Requests a second by zone; b drained at 1 s, returned when out ({})", run.scenario.name);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(34)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..(END_AT_MS as f64 / 1_000.0), 0.0..(highest as f64 * 1.1))?;
    chart.configure_mesh().x_desc("seconds").y_desc("requests a second").draw()?;
    for (i, color) in [BLUE, RED, GREEN].iter().enumerate() {
        let line = run.load.iter().enumerate().map(|(at, n)| (at as f64 / 4.0, n[i] as f64 * 4.0));
        let color = *color;
        chart
            .draw_series(LineSeries::new(line, &color))?
            .label(format!("zone {}", ZONES[i]))
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    root.present()?;
    println!("plot: {}", path.display());
    Ok(())
}

fn main() -> ExitCode {
    let word = std::env::args().nth(1).unwrap_or_default();
    if ["gateway", "group", "why", "zone", "zones"].contains(&word.as_str()) {
        return starlinghill_control::program::main();
    }
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    let cli = Cli::parse();
    let program = std::env::current_exe()?;
    if let Some(seconds) = cli.away {
        return compare_without_group(&program, seconds);
    }
    let mut waiting: Vec<Scenario> = match &cli.scenario {
        Some(file) => vec![serde_json::from_str(&std::fs::read_to_string(file)?)?],
        None => (cli.seed..cli.seed + cli.runs).map(Scenario::random).collect(),
    };
    waiting.push(Scenario::quiet());
    let waiting = Arc::new(Mutex::new(waiting));
    let done: Arc<Mutex<Vec<Result<RunResult, String>>>> = Arc::default();
    std::thread::scope(|scope| {
        for _ in 0..cli.at_once.max(1) {
            scope.spawn(|| {
                let runtime =
                    tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build();
                let Ok(runtime) = runtime else { return };
                loop {
                    let next = waiting.lock().unwrap_or_else(PoisonError::into_inner).pop();
                    let Some(scenario) = next else { return };
                    let program = program.clone();
                    // Spawned, as `block_in_place` works only on a worker thread of the runtime.
                    let result =
                        runtime.block_on(async { tokio::spawn(run_scenario(program, scenario)).await });
                    let result = result.unwrap_or_else(|e| Err(e.to_string()));
                    done.lock().unwrap_or_else(PoisonError::into_inner).push(result);
                }
            });
        }
    });
    let done = std::mem::take(&mut *done.lock().unwrap_or_else(PoisonError::into_inner));
    report(done, &cli)
}

/// Compares a fleet whose members are all killed with a fleet that has no group. Both have the same load, and their gateways
/// restart in turn, one every 4 s.
fn compare_without_group(program: &Path, seconds: u64) -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let run = |follows: bool| {
        let program = program.to_path_buf();
        async move {
            let mut fleet = Fleet::start(&program, &["a", "b", "c"], 6, 1, follows).await;
            fleet.load(RATE);
            tokio::task::block_in_place(|| {
                fleet.inject(&Fault::KillGroup);
                let started = Instant::now();
                let mut next = 0;
                while started.elapsed() < Duration::from_secs(seconds) {
                    std::thread::sleep(Duration::from_secs(4));
                    fleet.inject(&Fault::RestartGateway(next % 6));
                    next += 1;
                }
            });
            let sent = fleet.finish().await;
            let own_records = fleet.followed().iter().flatten().filter(|f| f.mode == "own").count();
            (fleet.request_outcomes(&sent), own_records)
        }
    };
    let both = runtime.block_on(async { tokio::join!(tokio::spawn(run(true)), tokio::spawn(run(false))) });
    let ((with, own_records), (without, _)) = (both.0?, both.1?);
    let share = |w: &RequestOutcomes| w.served as f64 / (w.sent.max(1)) as f64;
    println!("with a group, away for {seconds} s: {with:?}; {own_records} times a gateway said that it goes by its own sight");
    println!("without a group: {without:?}");
    println!("worth served: {:.4} of that without a group", share(&with) / share(&without));
    Ok(())
}

fn report(done: Vec<Result<RunResult, String>>, cli: &Cli) -> Result<(), Box<dyn Error>> {
    let (mut completed, mut failed) = (Vec::new(), Vec::new());
    for result in done {
        match result {
            Ok(run) => completed.push(run),
            Err(error) => failed.push(error),
        }
    }
    completed.sort_by_key(|p| p.scenario.seed);
    let share = |w: &RequestOutcomes| w.served as f64 / (w.sent.max(1)) as f64;
    let quiet = completed.iter().find(|p| p.scenario.seed == 0).map_or(1.0, |p| share(&p.outcomes));
    println!(
        "{:>4} {:<46} {:>6} {:>7} {:>5} {:>7} {:>6} {:>5} {:>7} {:>8} {:>9} {:>5} {:>6}",
        "seed",
        "faults",
        "sent",
        "served",
        "late",
        "refused",
        "ended",
        "lost",
        "doubled",
        "last gw",
        "last send",
        "cold",
        "worth"
    );
    let mut all = Histogram::<u64>::new(3)?;
    for p in &completed {
        let w = &p.outcomes;
        for ms in &p.to_gateways {
            all.record((*ms).max(1))?;
        }
        println!(
            "{:>4} {:<46} {:>6} {:>7} {:>5} {:>7} {:>6} {:>5} {:>7} {:>8} {:>9} {:>5.2} {:>6.3}",
            p.scenario.seed,
            p.scenario.name.chars().take(46).collect::<String>(),
            w.sent,
            w.served,
            w.late,
            w.refused,
            w.gateway_ended,
            w.lost,
            w.duplicated,
            p.to_gateways.iter().max().copied().unwrap_or(0),
            p.last_send_ms.map_or("-".into(), |ms| ms.to_string()),
            p.cold_load,
            share(w) / quiet
        );
    }
    let sum = |of: fn(&RequestOutcomes) -> usize| completed.iter().map(|p| of(&p.outcomes)).sum::<usize>();
    let audit: usize = completed.iter().map(|p| p.violations.len()).sum();
    let late_sends = completed.iter().filter(|p| p.last_send_ms.is_some_and(|ms| ms > 1_000)).count();
    println!(
        "order to a gateway, ms: p50 {}, p90 {}, p99 {}, worst {} ({} in all); bars of 100 ms:",
        all.value_at_quantile(0.5),
        all.value_at_quantile(0.9),
        all.value_at_quantile(0.99),
        all.max(),
        all.len()
    );
    for bar in all.iter_linear(100).filter(|bar| bar.count_since_last_iteration() > 0) {
        let count = bar.count_since_last_iteration();
        println!("{:>6} {:>5} {}", bar.value_iterated_to() + 1, count, "#".repeat((count as usize).min(100)));
    }
    let overrun = completed.iter().filter(|p| p.cold_load > 1.0).count();
    println!(
        "{} runs: lost {}, doubled {}, sends later than 1 s after all were told {late_sends}, out of order {audit}, \
         cold servers overrun in {overrun}, orders without outcome {}",
        completed.len(),
        sum(|w| w.lost),
        sum(|w| w.duplicated),
        failed.len()
    );
    for p in completed.iter().filter(|p| p.outcomes.lost + p.outcomes.duplicated + p.violations.len() > 0) {
        println!("WRONG {:#?}\n{}", p.violations, serde_json::to_string(&p.scenario)?);
    }
    failed.iter().for_each(|error| println!("BROKEN {error}"));
    // Plots the run without faults and the one with the most steps.
    if let Some(p) = completed.iter().find(|p| p.scenario.seed == 0) {
        plot(p, &cli.plot, "failover-quiet")?;
    }
    if let Some(p) = completed.iter().filter(|p| p.scenario.seed > 0).max_by_key(|p| p.scenario.steps.len()) {
        plot(p, &cli.plot, "failover-faults")?;
    }
    match failed.is_empty() && audit + late_sends + overrun + sum(|w| w.lost) + sum(|w| w.duplicated) == 0 {
        true => Ok(()),
        false => Err("something went wrong; see above".into()),
    }
}
