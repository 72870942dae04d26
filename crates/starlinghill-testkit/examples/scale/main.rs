//! What the control side costs as it grows: hollow gateways and backends beside real registries, stores and some proxies,
//! at several sizes. Prints for each size and role what it uses, how long a change of the configuration and a drain take to
//! all gateways, and how long it takes after all of the core was killed; then the power by which each figure grows, and
//! writes a plot. `scale pieces` prints what single messages and acts cost.
//!
//! `cargo run --release -p starlinghill-testkit --example scale -- [--sizes 100,300,1000] [--plot FOLDER]`. Nothing else should
//! run beside it. Called with the name of a part, it is that part.

mod hollow;
mod machines;
mod measured;
mod pieces;
mod report;

use clap::Parser;
use hollow::{Hollow, HollowGateway, MARKED};
use machines::{Links, Machines, Role, CORES};
use measured::Sample;
use report::{Row, Size};
use starlinghill_runtime::program;
use starlinghill_testkit::system::call;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// What stands at the target size, by which smaller ones are made: 2,800 gateways.
const TARGET: f64 = 2_800.0;
const SERVICES: f64 = 950.0 / TARGET;
const ROUTES: f64 = 9_800.0 / TARGET;
const TENANTS: f64 = 75_000.0 / TARGET;
/// Backends beat so often on all sites.
const BEAT: Duration = Duration::from_millis(1_500);
/// Real proxies beside the hollow ones.
const PROXIES: usize = 3;
/// Items in one call.
const A_CALL: usize = 500;
/// How long a size may take to come up, and any change to reach all.
const UP: Duration = Duration::from_secs(25);
const REACH: Duration = Duration::from_secs(10);
const STEADY: Duration = Duration::from_secs(6);
const CHURN: Duration = Duration::from_secs(4);
/// Changes that are followed, of each kind.
const CHANGES: u64 = 3;

#[derive(Parser)]
struct Cli {
    /// Hollow gateways.
    #[arg(long, value_delimiter = ',', default_value = "100,300,1000")]
    sizes: Vec<usize>,
    /// Backends for each gateway.
    #[arg(long, default_value_t = 10)]
    backends: usize,
    /// Draws a second of each gateway.
    #[arg(long, default_value_t = 4.0)]
    draws: f64,
    /// The most items: registries take 20,000.
    #[arg(long, default_value_t = 19_000)]
    items: usize,
    /// Backends replaced a second while changes are measured.
    #[arg(long, default_value_t = 5)]
    churn: usize,
    /// The most memory of all processes together, in MB: no further size is begun beyond it.
    #[arg(long, default_value_t = 15_000.0)]
    memory: f64,
    /// Where the plot goes.
    #[arg(long, default_value = "docs/measured")]
    plot: PathBuf,
}

/// One size as it runs.
struct Run {
    net: Links,
    machines: Machines,
    hollow: Arc<Hollow>,
    gateways: Vec<Arc<HollowGateway>>,
    folder: tempfile::TempDir,
    version: u64,
}

impl Run {
    fn pids(&self) -> Vec<u32> {
        self.machines.processes.iter().filter_map(|(.., process)| process.pid()).collect()
    }

    async fn sample(&self) -> Sample {
        let pids = self.pids();
        tokio::task::spawn_blocking(move || Sample::now(&pids)).await.expect("sampled")
    }

    /// Sends a change until it is acknowledged; tells how long the last call took. `None`: it never was.
    async fn change(&self, body: &str) -> Option<Duration> {
        let by = Instant::now() + REACH;
        while Instant::now() < by {
            for control in self.net.controls() {
                let asked = Instant::now();
                let answer = call(control, "PATCH", "/api/config", &[], body).await;
                match answer.map(|answer| answer.status) {
                    Some(200) => return Some(asked.elapsed()),
                    Some(status) if status < 500 => panic!("refused: {status}"),
                    _ => sleep(Duration::from_millis(100)).await,
                }
            }
        }
        None
    }

    /// Waits until all gateways have something; how long after that moment the last one, and the one in the middle, had it.
    async fn all(
        &self,
        since: Instant,
        patience: Duration,
        when: impl Fn(&mut hollow::Known) -> Option<Instant>,
    ) -> Reached {
        let by = Instant::now() + patience;
        loop {
            let mut took: Vec<f64> = Vec::with_capacity(self.gateways.len());
            took.extend(self.gateways.iter().filter_map(|gateway| {
                let at = gateway.look(&when)?;
                Some(at.saturating_duration_since(since).as_secs_f64())
            }));
            let whole = took.len() == self.gateways.len();
            if whole || Instant::now() > by {
                took.sort_by(f64::total_cmp);
                let middle = took.get(took.len() / 2).copied();
                let last = took.last().copied();
                return Reached { have: took.len(), of: self.gateways.len(), middle, last };
            }
            sleep(Duration::from_millis(10)).await;
        }
    }

    async fn follow_change(&mut self) -> Reached {
        self.version += 1;
        let body = format!(r#"{{"upsert":{{"ports":[{}]}},"remove":{{}}}}"#, route(0, 1, self.version));
        let Some(took) = self.change(&body).await else { return Reached::default() };
        let (acknowledged, version) = (Instant::now(), self.version);
        let reached = self
            .all(acknowledged, REACH, |known| known.version_at.filter(|_| known.version >= version))
            .await;
        println!("  change: acknowledged after {:.0} ms, then {reached}", took.as_secs_f64() * 1e3);
        reached
    }

    async fn follow_drain(&self, number: usize) -> Reached {
        self.hollow.drain(number);
        let (asked, path) = (Instant::now(), format!("/api/backends/b-{number}"));
        let by = asked + REACH;
        let mut turn = number;
        loop {
            let control = self.net.controls()[turn % CORES];
            let body = self.hollow.beat_body(number, true);
            if call(control, "PUT", &path, &[], &body).await.is_some_and(|answer| answer.status == 200) {
                break;
            }
            if Instant::now() > by {
                return Reached::default();
            }
            turn += 1;
        }
        let took = asked.elapsed();
        let acknowledged = Instant::now();
        let reached = self.all(acknowledged, REACH, |known| known.drains.get(&number).copied()).await;
        println!("  drain: acknowledged after {:.0} ms, then {reached}", took.as_secs_f64() * 1e3);
        reached
    }

    /// What each role used between two samples.
    fn rows(&self, before: &Sample, after: &Sample) -> Vec<Row> {
        let loads = after.since(before);
        let holder = self.gateways.iter().find_map(|gateway| gateway.look(|known| known.holder));
        let of = |keep: &dyn Fn(Role, bool) -> bool| {
            let kept = self
                .machines
                .processes
                .iter()
                .filter(|(role, ip, _)| keep(*role, holder.is_some_and(|(_, holder)| holder == *ip)));
            kept.filter_map(|(.., p)| loads.get(&p.pid()?).copied()).collect::<Vec<_>>()
        };
        vec![
            Row::of("registry that keeps the count", &of(&|role, holds| role == Role::Registry && holds)),
            Row::of("registry, others", &of(&|role, holds| role == Role::Registry && !holds)),
            Row::of("store", &of(&|role, _| role == Role::Store)),
            Row::of("proxy (real, no clients)", &of(&|role, _| role == Role::Proxy)),
        ]
    }
}

/// How far something has come, in seconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct Reached {
    have: usize,
    of: usize,
    middle: Option<f64>,
    last: Option<f64>,
}

impl Reached {
    /// When the last one had it, if all had.
    pub fn whole(&self) -> Option<f64> {
        self.last.filter(|_| self.have == self.of && self.of > 0)
    }
}

impl std::fmt::Display for Reached {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let ms = |at: Option<f64>| at.map_or("-".to_string(), |at| format!("{:.0}", at * 1e3));
        write!(
            f,
            "{} of {} gateways, middle {} ms, last {} ms",
            self.have,
            self.of,
            ms(self.middle),
            ms(self.last)
        )
    }
}

fn route(number: usize, services: usize, version: u64) -> String {
    let service = number % services;
    format!(
        r#"{{"hostname":"h-{}.example","policy":[{{"name":"r-{number}","kind":"safe","target_time":"400ms",
        "priority":1,"public":false,"version":"r{version}","when":{{"path_prefix":"/p{number}/"}},
        "then":{{"service":"s-{service}","timeout":"2000ms","tries":3}}}}]}}"#,
        number % 97,
    )
}

/// The first configuration, in calls.
fn first_calls(services: usize, routes: usize, tenants: usize) -> Vec<String> {
    let group = |i: usize| {
        format!(
            r#"{{"name":"s-{i}","health_path":"/health","max_conns":130,"protocol":"h1","tls":false,"version":"r1"}}"#
        )
    };
    let tenant = |i: usize| {
        format!(
            r#"{{"name":"t-{i}","api_keys":["key-{i}-a","key-{i}-b"],"priority":1,"rate_per_s":500,"burst":500,
            "version":"r1"}}"#
        )
    };
    let limits = r#""limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_wait":"3000ms",
        "idle":"15000ms","version":"r1"}"#;
    let list = |all: Vec<String>, key: &str| -> Vec<String> {
        all.chunks(A_CALL).map(|part| format!(r#""{key}":[{}]"#, part.join(","))).collect()
    };
    let mut parts = list((0..services).map(group).collect(), "groups");
    parts[0] = format!("{limits},{}", parts[0]);
    parts.extend(list((0..routes).map(|i| route(i, services, 1)).collect(), "ports"));
    parts.extend(list((0..tenants).map(tenant).collect(), "customers"));
    parts.into_iter().map(|part| format!(r#"{{"upsert":{{{part}}},"remove":{{}}}}"#)).collect()
}

async fn play(gateways: usize, cli: &Cli) -> Size {
    let part = |each: f64| ((gateways as f64 * each) as usize).max(1);
    let (services, routes) = (part(SERVICES), part(ROUTES));
    let tenants = part(TENANTS).min(cli.items.saturating_sub(services + routes + 1));
    let backends = gateways * cli.backends;
    let items = services + routes + tenants + 1;
    println!(
        "\n## {gateways} gateways, {backends} backends, {services} services, {routes} routes, {tenants} tenants"
    );
    let folder = tempfile::tempdir().expect("a folder");
    let net = Links::own();
    let machines = Machines::start(net, PROXIES, folder.path(), BEAT.as_millis() as u64);
    let hollow = Hollow::new(net, BEAT, services, tenants, cli.draws);
    let mut run = Run { net, machines, hollow, gateways: Vec::new(), folder, version: 1 };
    let mut size = Size { gateways, backends, items, ..Size::default() };

    let begun = Instant::now();
    let calls = first_calls(services, routes, tenants);
    for body in &calls {
        if run.change(body).await.is_none() {
            println!("  the configuration was not acknowledged within {} s", REACH.as_secs());
            return size;
        }
    }
    size.times.push(("first configuration", Some(begun.elapsed().as_secs_f64())));
    println!("  first configuration: {} calls in {:.2} s", calls.len(), begun.elapsed().as_secs_f64());

    let mut tasks = JoinSet::new();
    run.hollow.wanted.store(backends * 95 / 100, Ordering::Relaxed);
    let begun = Instant::now();
    for i in 0..gateways {
        run.gateways.push(run.hollow.gateway(i, gateways, &mut tasks));
    }
    run.hollow.backends(0..backends, &mut tasks);
    let whole = run.all(begun, UP, |known| known.all_at).await;
    let counted = run.all(begun, REACH, |known| known.counted_at).await;
    println!("  start: backends known at {whole}; count answers {counted}");
    size.times.push(("start: all know 95 in 100 backends", whole.whole()));
    // The last beats of the start, and what they wake.
    sleep(Duration::from_secs(2)).await;

    let before = run.sample().await;
    let counts = |hollow: &Hollow| {
        [&hollow.answers, &hollow.news, &hollow.failed, &hollow.refused_beats, &hollow.refused_draws]
            .map(|count| count.load(Ordering::Relaxed))
    };
    let had = counts(&run.hollow);
    sleep(STEADY).await;
    let (after, have) = (run.sample().await, counts(&run.hollow));
    let rate = |i: usize| (have[i] - had[i]) as f64 / STEADY.as_secs_f64();
    println!(
        "  calm: {:.0} answers a second to hollow ones ({:.0} of them news), {:.1} failed, {:.1} beats and {:.1} draws \
         not taken, {:.1} new connections on the machine",
        rate(0),
        rate(1),
        rate(2),
        rate(3),
        rate(4),
        after.taken_since(&before)
    );
    size.calm = run.rows(&before, &after);
    size.failed = rate(2);

    let mut reached = Vec::new();
    for _ in 0..CHANGES {
        reached.push(run.follow_change().await.whole());
    }
    size.times.push(("change to all gateways", worst(&reached)));
    reached.clear();
    for i in 0..CHANGES {
        reached.push(run.follow_drain(i as usize * 7 + 1).await.whole());
    }
    size.times.push(("drain to all gateways", worst(&reached)));

    let before = run.sample().await;
    let begun = Instant::now();
    let mut next = backends;
    while begun.elapsed() < CHURN {
        for _ in 0..cli.churn {
            run.hollow.drain(next - backends + 100);
            run.hollow.backends(next..next + 1, &mut tasks);
            next += 1;
        }
        sleep(Duration::from_secs(1)).await;
    }
    size.churn = run.rows(&before, &run.sample().await);

    for gateway in &run.gateways {
        gateway.forget();
    }
    tokio::task::block_in_place(|| run.machines.kill_core(run.folder.path(), net));
    for gateway in &run.gateways {
        gateway.forget();
    }
    let killed = Instant::now();
    tokio::task::block_in_place(|| run.machines.start_core());
    let fresh = run.all(killed, UP, |known| known.fresh_at).await;
    let counted = run.all(killed, UP, |known| known.counted_at).await;
    let whole = run.all(killed, UP, |known| known.all_at).await;
    println!(
        "  all of the core killed: fresh word to {fresh}; count answers {counted}; backends known to {whole}"
    );
    size.times.push(("after the core's death: a fresh word to all", fresh.whole()));
    size.times.push(("the count answers all", counted.whole()));
    size.times.push(("all know 95 in 100 backends", whole.whole()));
    let sample = run.sample().await;
    let again = run.rows(&sample, &sample);
    size.memory_after = again.iter().map(|row| (row.role, row.load.memory)).collect();
    for ended in run.machines.ended() {
        println!("  ended by itself: {ended}");
    }
    run.hollow.end();
    let ended = timeout(Duration::from_secs(3), async { while tasks.join_next().await.is_some() {} }).await;
    if ended.is_err() {
        tasks.shutdown().await;
    }
    tokio::task::block_in_place(|| drop(run.machines));
    size
}

fn worst(reached: &[Option<f64>]) -> Option<f64> {
    reached.iter().copied().collect::<Option<Vec<f64>>>()?.into_iter().reduce(f64::max)
}

async fn measure(cli: Cli) {
    println!(
        "{MARKED} is the route that changes; {} cores",
        std::thread::available_parallelism().map_or(1, usize::from)
    );
    let mut sizes = Vec::new();
    for gateways in &cli.sizes {
        let size = play(*gateways, &cli).await;
        size.print();
        let memory: f64 = size.calm.iter().map(|row| row.load.memory * row.of as f64).sum();
        sizes.push(size);
        if memory > cli.memory / 2.0 {
            println!("\n{memory:.0} MB in use: no larger size is begun");
            break;
        }
    }
    report::slopes(&sizes);
    match report::plot(&sizes, &cli.plot) {
        Ok(()) => println!("\nplot: {}", cli.plot.join("scale.svg").display()),
        Err(error) => println!("\nno plot: {error}"),
    }
}

fn main() -> ExitCode {
    // Each part reads its own command line behind its name.
    match std::env::args().nth(1).as_deref() {
        Some("workbench") => program::start(false, starlinghill_proxy::program::run),
        Some("toolrack") => program::start(false, starlinghill_registry::program::run),
        Some("patternbook") => program::start(false, starlinghill_config_store::program::run),
        Some("pieces") => {
            pieces::print();
            ExitCode::SUCCESS
        }
        _ => {
            let cli = Cli::parse();
            let runtime =
                tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
            runtime.block_on(async { tokio::spawn(measure(cli)).await }).expect("it ends");
            ExitCode::SUCCESS
        }
    }
}
