//! An ordered failover, again and again, each time among other faults: five members, three zones in two regions, six
//! gateways, nine save nodes, all real processes but the nodes, with load through every gateway. Zone `b` is drained in
//! four steps and returned in four. Prints a table, and writes a plot of one run into a folder.
//!
//! `failover [--runs N] [--seed N] [--at-once N] [--plot FOLDER] [--scenario FILE]`. The processes that it starts are this
//! example again, which runs the operators' program when it is called like that.

use clap::Parser;
use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde::{Deserialize, Serialize};
use starlinghill_testkit::audit::{accepted, told_since, wrongs, Ordered};
use starlinghill_testkit::failover::{Fault, Fleet, Step, Wrongs, ZONES};
use starlinghill_testkit::group::LIMIT;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Requests a second through each gateway.
const RATE: u64 = 40;
/// When zone `b` is drained, and when it is returned, in milliseconds; how long a run takes.
const DRAIN_AT: u64 = 1_000;
const RETURN_AT: u64 = 4_500;
const END_AT: u64 = 8_000;
/// The steps of both.
const RAMP: [&str; 4] = ["--step", "25", "--every-ms", "500"];
/// As in the files of the rig's groups.
const FRESH: Duration = Duration::from_millis(1_000);
/// What the audit allows for writing and reading a line of a log.
const SLACK: Duration = Duration::from_millis(1_000);
/// Nothing new may reach a server later than this after its gateway was told.
const GRACE: Duration = Duration::from_secs(1);

#[derive(Parser)]
struct Cli {
    /// Fault lists to play.
    #[arg(long, default_value_t = 40)]
    runs: u64,
    /// The first list's seed; the others follow.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Runs at once.
    #[arg(long, default_value_t = 2)]
    at_once: usize,
    /// Where the plot goes.
    #[arg(long, default_value = "docs/measured")]
    plot: PathBuf,
    /// Instead: so many seconds with the whole group away and gateways restarting, beside a fleet without a group.
    #[arg(long)]
    away: Option<u64>,
    /// Play this list alone: a file that an earlier run printed.
    #[arg(long)]
    scenario: Option<PathBuf>,
}

/// A list of faults, as data.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Scenario {
    name: String,
    seed: u64,
    steps: Vec<Step>,
}

impl Scenario {
    fn quiet() -> Scenario {
        Scenario { name: "no fault".into(), seed: 0, steps: Vec::new() }
    }

    /// One to three troubles, each over after a while.
    fn drawn(seed: u64) -> Scenario {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut steps = Vec::new();
        let mut names = Vec::new();
        for _ in 0..rng.usize(1..=3) {
            let at_ms = rng.u64(600..5_500);
            let until = at_ms + rng.u64(500..2_000);
            let pair = |rng: &mut fastrand::Rng| {
                let from = rng.usize(..3);
                (ZONES[from].to_string(), ZONES[(from + rng.usize(1..3)) % 3].to_string())
            };
            let (name, faults, over) = match rng.usize(..11) {
                0 => ("leader killed", vec![Fault::KillLeader], Some(Fault::MembersAgain)),
                1 => ("member killed", vec![Fault::KillMember(rng.usize(..5))], Some(Fault::MembersAgain)),
                2 => ("member stopped", vec![Fault::StopMember(rng.usize(..5))], Some(Fault::MembersAgain)),
                3 => ("group away", vec![Fault::KillGroup], Some(Fault::MembersAgain)),
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
            steps.extend(over.map(|fault| Step { at_ms: until, fault }));
        }
        steps.sort_by_key(|step| step.at_ms);
        names.sort_unstable();
        names.dedup();
        Scenario { name: names.join(", "), seed, steps }
    }
}

/// What came of a run.
struct Played {
    scenario: Scenario,
    wrongs: Wrongs,
    audit: Vec<String>,
    /// From each order to each gateway that followed it, in milliseconds.
    to_gateways: Vec<u64>,
    /// The longest from when the last gateway was told that `b` is out to a new request there; the rule allows 1,000.
    last_send: Option<u64>,
    /// The most that a cold server got, against what the rule on cold servers allows; 1 is the bound.
    cold: f64,
    /// Requests that came to each zone, by quarter of a second.
    load: Vec<[u64; 3]>,
}

/// Gives an order until it has an outcome: with one id it counts once.
fn order(program: &Path, file: &Path, id: &str, words: &[&str], more: &[&str]) -> Option<Ordered> {
    let given = Instant::now();
    while given.elapsed() < LIMIT {
        let output =
            Command::new(program).args(words).arg(file).args(more).args(["--id", id]).output().ok()?;
        let answered = Instant::now();
        if let Some(at) = accepted(&output.stdout) {
            return Some(Ordered { given, answered, at: Some(at) });
        }
    }
    None
}

async fn play(program: PathBuf, scenario: Scenario) -> Result<Played, String> {
    let mut fleet = Fleet::start(&program, &["a", "a", "b", "b", "c"], 6, scenario.seed, true).await;
    fleet.load(RATE);
    let begun = fleet.begun;
    let (file, seed) = (fleet.group.operators(), scenario.seed);
    let wait = |ms: u64| (begun + Duration::from_millis(ms)).saturating_duration_since(Instant::now());
    let orders = tokio::task::block_in_place(|| {
        std::thread::scope(|scope| {
            let ordering = scope.spawn(|| {
                std::thread::sleep(wait(DRAIN_AT));
                let b = |word: &'static str| [word, "b", "--reason", "a drill"];
                let drain: Vec<&str> = b("")[1..].iter().copied().chain(RAMP).collect();
                let drained = order(&program, &file, &format!("d{seed}"), &["zone", "drain"], &drain);
                std::thread::sleep(wait(RETURN_AT));
                // Only what has been taken out whole is returned; faults may have held its steps up.
                let out = Instant::now();
                while out.elapsed() < LIMIT {
                    let shown = Command::new(&program).arg("zones").arg(&file).output();
                    if shown.is_ok_and(|o| String::from_utf8_lossy(&o.stdout).contains(" out ")) {
                        break;
                    }
                    std::thread::sleep(Duration::from_millis(100));
                }
                std::thread::sleep(GRACE + Duration::from_millis(200));
                let returned = order(&program, &file, &format!("r{seed}"), &["zone", "return"], &drain);
                [drained, returned]
            });
            // Its servers come back cold, whatever else happens.
            let cold = Step { at_ms: RETURN_AT, fault: Fault::Cold("b".into()) };
            let before = scenario.steps.iter().take_while(|step| step.at_ms <= RETURN_AT);
            let after = scenario.steps.iter().skip_while(|step| step.at_ms <= RETURN_AT);
            for step in before.chain([&cold]).chain(after) {
                std::thread::sleep(wait(step.at_ms));
                fleet.suffer(&step.fault);
            }
            ordering.join().unwrap_or([None, None])
        })
    });
    let [Some(drained), Some(returned)] = orders else {
        return Err(format!("{scenario:?}: an order has no outcome"));
    };
    tokio::time::sleep(wait(END_AT)).await;
    let sent = fleet.rest().await;
    let zones = tokio::task::block_in_place(|| {
        fleet.group.wait_until("b serves again", |z| z["zones"]["b"]["phase"] == "serving");
        fleet.wait_until_all_follow()
    });
    let number = |key: &str| zones["position"][key].as_u64().unwrap_or(0);
    let followed = fleet.followed();
    let orders = [drained, returned];
    let audit = wrongs(&orders, &followed, (number("generation"), number("epoch")), FRESH, SLACK);
    let mut to_gateways = Vec::new();
    for order in &orders {
        for f in &followed {
            let first =
                f.iter().find(|f| f.since >= order.given && Some(f.at) >= order.at && f.mode == "following");
            to_gateways
                .extend(first.map(|f| u64::try_from((f.since - order.given).as_millis()).unwrap_or(0)));
        }
    }
    // Out is the last position before the return's.
    let out = orders[1].at.map(|(generation, epoch)| (generation, epoch - 1));
    let came = fleet.came_to("b");
    // A gateway that was started again, or has not been told yet, may send there; the rule counts from when it is told.
    let late = |at: Instant| {
        let told = followed.iter().map(|f| out.and_then(|out| told_since(f, out, at)));
        told.collect::<Option<Vec<_>>>().and_then(|told| told.into_iter().max()).map(|told| at - told)
    };
    let before = came.iter().filter(|at| **at < orders[1].given);
    let last_send =
        before.filter_map(|at| late(*at)).max().map(|d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX));
    let mut load = vec![[0; 3]; (END_AT / 250) as usize];
    for (i, zone) in ZONES.iter().enumerate() {
        for at in fleet.came_to(zone) {
            let place = at.saturating_duration_since(begun).as_millis() / 250;
            if let Some(slot) = load.get_mut(place as usize) {
                slot[i] += 1;
            }
        }
    }
    let cold = fleet.cold_loads().into_iter().map(|(_, share, _)| share).fold(0.0, f64::max);
    Ok(Played { cold, wrongs: fleet.wrongs(&sent), audit, to_gateways, last_send, load, scenario })
}

fn plot(played: &Played, folder: &Path, name: &str) -> Result<(), Box<dyn Error>> {
    std::fs::create_dir_all(folder)?;
    let path = folder.join(format!("{name}.svg"));
    let root = SVGBackend::new(&path, (900, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let most = played.load.iter().flatten().max().copied().unwrap_or(1) * 4;
    let title =
        format!("Requests a second by zone; b drained at 1 s, returned when out ({})", played.scenario.name);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(34)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..(END_AT as f64 / 1_000.0), 0.0..(most as f64 * 1.1))?;
    chart.configure_mesh().x_desc("seconds").y_desc("requests a second").draw()?;
    for (i, color) in [BLUE, RED, GREEN].iter().enumerate() {
        let line = played.load.iter().enumerate().map(|(at, n)| (at as f64 / 4.0, n[i] as f64 * 4.0));
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
        return away(&program, seconds);
    }
    let mut waiting: Vec<Scenario> = match &cli.scenario {
        Some(file) => vec![serde_json::from_str(&std::fs::read_to_string(file)?)?],
        None => (cli.seed..cli.seed + cli.runs).map(Scenario::drawn).collect(),
    };
    waiting.push(Scenario::quiet());
    let waiting = Arc::new(Mutex::new(waiting));
    let done: Arc<Mutex<Vec<Result<Played, String>>>> = Arc::default();
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
                    // On a thread of the runtime, where blocking work may be announced.
                    let played = runtime.block_on(async { tokio::spawn(play(program, scenario)).await });
                    let played = played.unwrap_or_else(|e| Err(e.to_string()));
                    done.lock().unwrap_or_else(PoisonError::into_inner).push(played);
                }
            });
        }
    });
    let done = std::mem::take(&mut *done.lock().unwrap_or_else(PoisonError::into_inner));
    report(done, &cli)
}

/// The whole group is away while gateways restart one after the other; the same fleet, load and restarts without a group
/// beside it.
fn away(program: &Path, seconds: u64) -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let one = |follows: bool| {
        let program = program.to_path_buf();
        async move {
            let mut fleet = Fleet::start(&program, &["a", "b", "c"], 6, 1, follows).await;
            fleet.load(RATE);
            tokio::task::block_in_place(|| {
                fleet.suffer(&Fault::KillGroup);
                let begun = Instant::now();
                let mut next = 0;
                while begun.elapsed() < Duration::from_secs(seconds) {
                    std::thread::sleep(Duration::from_secs(4));
                    fleet.suffer(&Fault::RestartGateway(next % 6));
                    next += 1;
                }
            });
            let sent = fleet.rest().await;
            let said = fleet.followed().iter().flatten().filter(|f| f.mode == "own").count();
            (fleet.wrongs(&sent), said)
        }
    };
    let both = runtime.block_on(async { tokio::join!(tokio::spawn(one(true)), tokio::spawn(one(false))) });
    let ((with, said), (without, _)) = (both.0?, both.1?);
    let share = |w: &Wrongs| w.served as f64 / (w.sent.max(1)) as f64;
    println!("with a group, away for {seconds} s: {with:?}; {said} times a gateway said that it goes by its own sight");
    println!("without a group: {without:?}");
    println!("worth served: {:.4} of that without a group", share(&with) / share(&without));
    Ok(())
}

fn report(done: Vec<Result<Played, String>>, cli: &Cli) -> Result<(), Box<dyn Error>> {
    let (mut good, mut broken) = (Vec::new(), Vec::new());
    for played in done {
        match played {
            Ok(played) => good.push(played),
            Err(why) => broken.push(why),
        }
    }
    good.sort_by_key(|p| p.scenario.seed);
    let share = |w: &Wrongs| w.served as f64 / (w.sent.max(1)) as f64;
    let quiet = good.iter().find(|p| p.scenario.seed == 0).map_or(1.0, |p| share(&p.wrongs));
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
    for p in &good {
        let w = &p.wrongs;
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
            w.ended_with_their_gateway,
            w.lost,
            w.doubled,
            p.to_gateways.iter().max().copied().unwrap_or(0),
            p.last_send.map_or("-".into(), |ms| ms.to_string()),
            p.cold,
            share(w) / quiet
        );
    }
    let sum = |of: fn(&Wrongs) -> usize| good.iter().map(|p| of(&p.wrongs)).sum::<usize>();
    let audit: usize = good.iter().map(|p| p.audit.len()).sum();
    let late_sends = good.iter().filter(|p| p.last_send.is_some_and(|ms| ms > 1_000)).count();
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
    let overrun = good.iter().filter(|p| p.cold > 1.0).count();
    println!(
        "{} runs: lost {}, doubled {}, sends later than 1 s after all were told {late_sends}, out of order {audit}, \
         cold servers overrun in {overrun}, orders without outcome {}",
        good.len(),
        sum(|w| w.lost),
        sum(|w| w.doubled),
        broken.len()
    );
    for p in good.iter().filter(|p| p.wrongs.lost + p.wrongs.doubled + p.audit.len() > 0) {
        println!("WRONG {:#?}\n{}", p.audit, serde_json::to_string(&p.scenario)?);
    }
    broken.iter().for_each(|why| println!("BROKEN {why}"));
    // The quiet run, and the one with the most faults.
    if let Some(p) = good.iter().find(|p| p.scenario.seed == 0) {
        plot(p, &cli.plot, "failover-quiet")?;
    }
    if let Some(p) = good.iter().filter(|p| p.scenario.seed > 0).max_by_key(|p| p.scenario.steps.len()) {
        plot(p, &cli.plot, "failover-faults")?;
    }
    match broken.is_empty() && audit + late_sends + overrun + sum(|w| w.lost) + sum(|w| w.doubled) == 0 {
        true => Ok(()),
        false => Err("something went wrong; see above".into()),
    }
}
