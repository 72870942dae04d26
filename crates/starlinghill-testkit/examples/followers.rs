//! Measures what many followers cost a group and how soon they follow an order. Three members are real processes; the
//! followers run in this process with the code of gateways. Prints the commit latency with every entry on disk, the time
//! from an order to each follower, also after the leader was killed and its followers changed to other members, and memory
//! and CPU time of the members.
//!
//! `followers [--followers N] [--zones N] [--orders N]`

use clap::Parser;
use hdrhistogram::Histogram;
use starlinghill_control::group_follower;
use starlinghill_failover::follower::{Mode, View};
use starlinghill_failover::order::{Change, Order, OrderKind, Ramp, ZoneOrder};
use starlinghill_failover::state::Outcome;
use starlinghill_failover::{Position, FULL_WEIGHT};
use starlinghill_failover_client::client::submit_order;
use starlinghill_failover_client::subscription::{follow, ReportSource};
use starlinghill_testkit::group::Group;
use starlinghill_testkit::processes::resource_usage;
use starlinghill_zone_health::attempt_counts::AttemptCounts;
use starlinghill_zone_health::report::Report;
use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

#[derive(Parser)]
struct Cli {
    /// The number of followers.
    #[arg(long, default_value_t = 1_000)]
    followers: usize,
    /// Zones that each follower reports on once a second; 0: no reports.
    #[arg(long, default_value_t = 0)]
    zones: usize,
    /// Orders of the commit measurement, one after the other.
    #[arg(long, default_value_t = 50)]
    orders: u64,
}

/// Takes zone `b` out if the number is even, and returns it if it is odd.
fn order(number: u64) -> Order {
    let ramp = Ramp { step: FULL_WEIGHT, every_ms: 1_000 };
    let change = if number.is_multiple_of(2) { Change::Out } else { Change::Return { ramp } };
    let zone =
        ZoneOrder { zone: "b".into(), change, expected_epoch: None, takeover_region: None, force: false };
    Order {
        id: format!("o{number}"),
        author: "followers".into(),
        reason: "a measurement".into(),
        at_ms: 0,
        kind: OrderKind::Zone(zone),
    }
}

fn print_latency(name: &str, h: &Histogram<u64>) {
    let ms = |q: f64| h.value_at_quantile(q) as f64 / 1_000.0;
    println!(
        "{name}: p50 {:.2} ms, p99 {:.2} ms, worst {:.2} ms ({})",
        ms(0.5),
        ms(0.99),
        h.max() as f64 / 1e3,
        h.len()
    );
}

/// Waits until every follower follows this position, and records the time that each took since `since`, in microseconds.
async fn all_follow(
    views: &mut [watch::Receiver<View>],
    position: Position,
    since: Instant,
    histogram: &mut Histogram<u64>,
) -> Result<(), Box<dyn Error>> {
    let waits = views.iter_mut().map(|view| {
        let mut view = view.clone();
        tokio::spawn(async move {
            let reached = view.wait_for(|v| v.mode == Mode::Following && v.position >= position).await;
            reached.map(|_| since.elapsed()).ok()
        })
    });
    let waits: Vec<_> = waits.collect();
    for wait in waits {
        let took = tokio::time::timeout(Duration::from_secs(30), wait).await??.ok_or("a follower ended")?;
        histogram.record(took.as_micros().max(1) as u64)?;
    }
    Ok(())
}

/// Calls [`measure_group`], with an error that can be sent between threads.
async fn measure(cli: Cli) -> Result<(), Box<dyn Error + Send + Sync>> {
    measure_group(cli).await.map_err(|e| e.to_string().into())
}

async fn measure_group(cli: Cli) -> Result<(), Box<dyn Error>> {
    let program: PathBuf = std::env::current_exe()?;
    let mut group = Group::new(&program, &["a", "b", "c"], 1).await;
    tokio::task::block_in_place(|| group.start());
    let file = starlinghill_operator_config::read(&group.operators_file()).map_err(|p| format!("{p:?}"))?;
    let settings = file.group.ok_or("no group")?;
    let members = group.listen.clone();
    let pids: Vec<u32> = group.members.iter().filter_map(|m| m.pid()).collect();
    let before: Vec<_> = pids.iter().filter_map(|pid| resource_usage(*pid)).collect();

    let mut commits = Histogram::<u64>::new(3)?;
    for number in 0..cli.orders {
        let sent = Instant::now();
        let outcome = submit_order(&members, &order(number), Duration::from_secs(10)).await?;
        commits.record(sent.elapsed().as_micros().max(1) as u64)?;
        if let Outcome::Refused { causes, .. } = outcome {
            return Err(format!("{causes:?}").into());
        }
    }
    print_latency("order to its outcome, on a majority's disks", &commits);

    // The members ignore zones that are not in their settings, but only after they have read the reports, so the cost of
    // transport is measured.
    let sums = AttemptCounts {
        answered: 812,
        late: 17,
        failed: 3,
        unanswered: 2,
        usual_answers: 790,
        ..AttemptCounts::default()
    };
    let report = Report { zones: (0..cli.zones).map(|i| (format!("zone-{i}"), sums)).collect() };
    let evidence = (cli.zones > 0).then(|| -> ReportSource { Arc::new(move || report.clone()) });
    let mut views = Vec::new();
    for i in 0..cli.followers {
        let (tx, rx) = watch::channel(View::without_group());
        let (_settings_sender, changes) =
            watch::channel(group_follower::settings(&settings, &format!("f{i}"), "", i as u64)?);
        tokio::spawn(follow(changes, tx, evidence.clone()));
        views.push(rx);
    }
    let started = Instant::now();
    let mut first = Histogram::<u64>::new(3)?;
    all_follow(&mut views, Position { generation: 1, epoch: 1 }, started, &mut first).await?;
    print_latency("all come at once, to following", &first);

    let mut changes = Histogram::<u64>::new(3)?;
    let cpu_before: f64 = pids.iter().filter_map(|pid| resource_usage(*pid)).map(|u| u.cpu_s).sum();
    let measured_from = Instant::now();
    for number in cli.orders..cli.orders + 20 {
        let sent = Instant::now();
        let Outcome::Accepted { position } =
            submit_order(&members, &order(number), Duration::from_secs(10)).await?
        else {
            return Err("refused".into());
        };
        all_follow(&mut views, position, sent, &mut changes).await?;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let cpu: f64 =
        pids.iter().filter_map(|pid| resource_usage(*pid)).map(|u| u.cpu_s).sum::<f64>() - cpu_before;
    print_latency("order to each follower", &changes);
    let after: Vec<_> = pids.iter().filter_map(|pid| resource_usage(*pid)).collect();
    let memory_growth: u64 =
        after.iter().zip(&before).map(|(a, b)| a.memory_bytes.saturating_sub(b.memory_bytes)).sum();
    println!(
        "members together: {:.1} kB of memory and {:.3} ms of CPU a second for each follower ({} of them, 5 questions \
         a second each)",
        memory_growth as f64 / 1e3 / cli.followers as f64,
        cpu * 1e3 / measured_from.elapsed().as_secs_f64() / cli.followers as f64,
        cli.followers
    );

    let leader = tokio::task::block_in_place(|| group.wait_for_leader());
    group.members[leader].kill();
    let killed = Instant::now();
    let mut changes = Histogram::<u64>::new(3)?;
    let number = cli.orders + 20;
    let Outcome::Accepted { position } =
        submit_order(&members, &order(number), Duration::from_secs(10)).await?
    else {
        return Err("refused".into());
    };
    println!(
        "leader killed; the next order has its outcome after {:.0} ms",
        killed.elapsed().as_secs_f64() * 1e3
    );
    all_follow(&mut views, position, killed, &mut changes).await?;
    print_latency("from the leader's death to each follower's next position", &changes);
    let timing = settings.timing;
    println!(
        "bounds by the settings: {:.0} ms, after a death {:.0} ms",
        timing.delivery_bound().0 as f64 / 1e3,
        timing.delivery_bound_after_failure().0 as f64 / 1e3
    );
    let streams: Vec<usize> =
        group.members.iter().map(|m| m.log().iter().filter(|l| l.contains(" follows ")).count()).collect();
    println!("streams opened at each member over all: {streams:?}");
    Ok(())
}

fn main() -> ExitCode {
    let word = std::env::args().nth(1).unwrap_or_default();
    if ["gateway", "group", "why", "zone", "zones"].contains(&word.as_str()) {
        return starlinghill_control::program::main();
    }
    let cli = Cli::parse();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let done = runtime.map_err(|e| e.to_string()).and_then(|runtime| {
        runtime
            .block_on(async { tokio::spawn(measure(cli)).await })
            .map_err(|e| e.to_string())?
            .map_err(|e| e.to_string())
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}
