//! What many followers cost a group, and how fast they hear: three real members, followers as gateways have them inside
//! this process. Prints the time from an order to each follower, what happens when the leader dies and all that followed
//! it come to the others, commit latency with every entry on the disk, and memory and CPU of the members.
//!
//! `followers [--followers N] [--zones N] [--orders N]`.

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
    /// Followers.
    #[arg(long, default_value_t = 1_000)]
    followers: usize,
    /// Each tells what it sees of so many zones once a second; none: nothing.
    #[arg(long, default_value_t = 0)]
    zones: usize,
    /// Orders, one after the other.
    #[arg(long, default_value_t = 50)]
    orders: u64,
}

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

fn shown(name: &str, h: &Histogram<u64>) {
    let ms = |q: f64| h.value_at_quantile(q) as f64 / 1_000.0;
    println!(
        "{name}: p50 {:.2} ms, p99 {:.2} ms, worst {:.2} ms ({})",
        ms(0.5),
        ms(0.99),
        h.max() as f64 / 1e3,
        h.len()
    );
}

/// Waits until every follower follows this position, and tells how long each took.
async fn all_follow(
    views: &mut [watch::Receiver<View>],
    position: Position,
    since: Instant,
    into: &mut Histogram<u64>,
) -> Result<(), Box<dyn Error>> {
    let waits = views.iter_mut().map(|view| {
        let mut view = view.clone();
        tokio::spawn(async move {
            let there = view.wait_for(|v| v.mode == Mode::Following && v.position >= position).await;
            there.map(|_| since.elapsed()).ok()
        })
    });
    let waits: Vec<_> = waits.collect();
    for wait in waits {
        let took = tokio::time::timeout(Duration::from_secs(30), wait).await??.ok_or("a follower ended")?;
        into.record(took.as_micros().max(1) as u64)?;
    }
    Ok(())
}

async fn measure(cli: Cli) -> Result<(), Box<dyn Error + Send + Sync>> {
    measured(cli).await.map_err(|e| e.to_string().into())
}

async fn measured(cli: Cli) -> Result<(), Box<dyn Error>> {
    let program: PathBuf = std::env::current_exe()?;
    let mut group = Group::new(&program, &["a", "b", "c"], 1).await;
    tokio::task::block_in_place(|| group.begin());
    let file = starlinghill_operator_config::read(&group.operators()).map_err(|p| format!("{p:?}"))?;
    let settings = file.group.ok_or("no group")?;
    let members = group.listen.clone();
    let pids: Vec<u32> = group.members.iter().filter_map(|m| m.pid()).collect();
    let before: Vec<_> = pids.iter().filter_map(|pid| resource_usage(*pid)).collect();

    let mut commits = Histogram::<u64>::new(3)?;
    for number in 0..cli.orders {
        let given = Instant::now();
        let outcome = submit_order(&members, &order(number), Duration::from_secs(10)).await?;
        commits.record(given.elapsed().as_micros().max(1) as u64)?;
        if let Outcome::Refused { causes, .. } = outcome {
            return Err(format!("{causes:?}").into());
        }
    }
    shown("order to its outcome, on a majority's disks", &commits);

    // Zones that are not on the group's map are read and left out: what they cost on the way is measured all the same.
    let sums = AttemptCounts {
        answered: 812,
        late: 17,
        failed: 3,
        unanswered: 2,
        usual_answers: 790,
        ..AttemptCounts::default()
    };
    let seen = Report { zones: (0..cli.zones).map(|i| (format!("zone-{i}"), sums)).collect() };
    let evidence = (cli.zones > 0).then(|| -> ReportSource { Arc::new(move || seen.clone()) });
    let mut views = Vec::new();
    for i in 0..cli.followers {
        let (tx, rx) = watch::channel(View::without_group());
        let (_fixed, changes) =
            watch::channel(group_follower::settings(&settings, &format!("f{i}"), "", i as u64)?);
        tokio::spawn(follow(changes, tx, evidence.clone()));
        views.push(rx);
    }
    let begun = Instant::now();
    let mut first = Histogram::<u64>::new(3)?;
    all_follow(&mut views, Position { generation: 1, epoch: 1 }, begun, &mut first).await?;
    shown("all come at once, to following", &first);

    let mut changes = Histogram::<u64>::new(3)?;
    let cpu_before: f64 = pids.iter().filter_map(|pid| resource_usage(*pid)).map(|u| u.cpu_s).sum();
    let span = Instant::now();
    for number in cli.orders..cli.orders + 20 {
        let given = Instant::now();
        let Outcome::Accepted { position } =
            submit_order(&members, &order(number), Duration::from_secs(10)).await?
        else {
            return Err("refused".into());
        };
        all_follow(&mut views, position, given, &mut changes).await?;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let cpu: f64 =
        pids.iter().filter_map(|pid| resource_usage(*pid)).map(|u| u.cpu_s).sum::<f64>() - cpu_before;
    shown("order to each follower", &changes);
    let after: Vec<_> = pids.iter().filter_map(|pid| resource_usage(*pid)).collect();
    let grown: u64 =
        after.iter().zip(&before).map(|(a, b)| a.memory_bytes.saturating_sub(b.memory_bytes)).sum();
    println!(
        "members together: {:.1} kB of memory and {:.3} ms of CPU a second for each follower ({} of them, 5 questions \
         a second each)",
        grown as f64 / 1e3 / cli.followers as f64,
        cpu * 1e3 / span.elapsed().as_secs_f64() / cli.followers as f64,
        cli.followers
    );

    let leader = tokio::task::block_in_place(|| group.wait_for_leader());
    group.members[leader].kill();
    let died = Instant::now();
    let mut changes = Histogram::<u64>::new(3)?;
    let number = cli.orders + 20;
    let Outcome::Accepted { position } =
        submit_order(&members, &order(number), Duration::from_secs(10)).await?
    else {
        return Err("refused".into());
    };
    println!(
        "leader killed; the next order has its outcome after {:.0} ms",
        died.elapsed().as_secs_f64() * 1e3
    );
    all_follow(&mut views, position, died, &mut changes).await?;
    shown("from the leader's death to each follower's next position", &changes);
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
