//! Measures the cost of the control side at several sizes. Gateways and backends are simulated; registries, stores and some
//! proxies are real processes. Prints for each size the resources by role, the time until a change of the configuration
//! or a drain has reached all gateways, and the recovery after all core machines were killed; then the exponent by which
//! each figure grows with size, and draws a plot. `scale pieces` prints the cost of single messages and operations.
//!
//! `cargo run --release -p starlinghill-testkit --example scale -- [--sizes 100,300,1000] [--plot FOLDER]`. Run it on an
//! otherwise idle machine. The processes that it starts are this program again, with the part's name as argument.

mod machines;
mod measured;
mod pieces;
mod report;
mod simulated;

use clap::Parser;
use machines::{Addresses, Machines, Role, CORES};
use measured::Sample;
use report::{Row, Size};
use simulated::{SimulatedFleet, SimulatedGateway, TRACKED_ROUTE};
use starlinghill_runtime::program;
use starlinghill_testkit::system::call;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Gateways at the target size. Smaller sizes have the same proportions.
const TARGET_GATEWAYS: f64 = 2_800.0;
/// Services, routes and tenants per gateway.
const SERVICES: f64 = 950.0 / TARGET_GATEWAYS;
const ROUTES: f64 = 9_800.0 / TARGET_GATEWAYS;
const TENANTS: f64 = 75_000.0 / TARGET_GATEWAYS;
/// The time between two beats of a backend, as in production.
const BEAT: Duration = Duration::from_millis(1_500);
/// Real proxies beside the simulated gateways.
const PROXIES: usize = 3;
/// Items of the first configuration in one call.
const ITEMS_PER_CALL: usize = 500;
/// How long all gateways may take after a start.
const START_LIMIT: Duration = Duration::from_secs(25);
/// How long a change may take to be acknowledged, and then to reach all gateways.
const CHANGE_LIMIT: Duration = Duration::from_secs(10);
/// The length of the calm part.
const CALM_TIME: Duration = Duration::from_secs(6);
/// The length of the part in which backends are replaced.
const CHURN_TIME: Duration = Duration::from_secs(4);
/// Changes of the configuration measured at each size, and drains.
const CHANGES: u64 = 3;

#[derive(Parser)]
struct Cli {
    /// Numbers of simulated gateways.
    #[arg(long, value_delimiter = ',', default_value = "100,300,1000")]
    sizes: Vec<usize>,
    /// Backends for each gateway.
    #[arg(long, default_value_t = 10)]
    backends: usize,
    /// Draws per second of each gateway.
    #[arg(long, default_value_t = 4.0)]
    draws: f64,
    /// The most items of the configuration; registries accept 20,000.
    #[arg(long, default_value_t = 19_000)]
    items: usize,
    /// Backends replaced per second in the part with replacements.
    #[arg(long, default_value_t = 5)]
    churn: usize,
    /// No further size is run once all processes together use more than half of this memory, in MB.
    #[arg(long, default_value_t = 15_000.0)]
    memory: f64,
    /// The folder for the plot.
    #[arg(long, default_value = "docs/measured")]
    plot: PathBuf,
}

/// A size while it is measured.
struct Run {
    addresses: Addresses,
    machines: Machines,
    simulated: Arc<SimulatedFleet>,
    gateways: Vec<Arc<SimulatedGateway>>,
    folder: tempfile::TempDir,
    /// The present version of [`TRACKED_ROUTE`].
    version: u64,
}

impl Run {
    fn pids(&self) -> Vec<u32> {
        self.machines.processes.iter().filter_map(|(.., process)| process.pid()).collect()
    }

    async fn sample(&self) -> Sample {
        let pids = self.pids();
        tokio::task::spawn_blocking(move || Sample::now(&pids)).await.expect("sampling doesn't panic")
    }

    /// Sends a change of the configuration until it is acknowledged. Returns the time of the last call, or `None` if it was
    /// never acknowledged.
    async fn change(&self, body: &str) -> Option<Duration> {
        let deadline = Instant::now() + CHANGE_LIMIT;
        while Instant::now() < deadline {
            for control in self.addresses.controls() {
                let sent = Instant::now();
                let answer = call(control, "PATCH", "/api/config", &[], body).await;
                match answer.map(|answer| answer.status) {
                    Some(200) => return Some(sent.elapsed()),
                    Some(status) if status < 500 => panic!("refused: {status}"),
                    _ => sleep(Duration::from_millis(100)).await,
                }
            }
        }
        None
    }

    /// Waits until `when` has a time for all gateways, and returns how long after `since` they reached it.
    async fn wait_for_gateways(
        &self,
        since: Instant,
        limit: Duration,
        when: impl Fn(&mut simulated::Known) -> Option<Instant>,
    ) -> Reached {
        let deadline = Instant::now() + limit;
        loop {
            let mut took: Vec<f64> = Vec::with_capacity(self.gateways.len());
            took.extend(self.gateways.iter().filter_map(|gateway| {
                let at = gateway.with_known(&when)?;
                Some(at.saturating_duration_since(since).as_secs_f64())
            }));
            let all = took.len() == self.gateways.len();
            if all || Instant::now() > deadline {
                took.sort_by(f64::total_cmp);
                let median = took.get(took.len() / 2).copied();
                let last = took.last().copied();
                return Reached { reached: took.len(), total: self.gateways.len(), median, last };
            }
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Changes [`TRACKED_ROUTE`] and measures how long the change takes to all gateways.
    async fn measure_change(&mut self) -> Reached {
        self.version += 1;
        let body = format!(r#"{{"upsert":{{"ports":[{}]}},"remove":{{}}}}"#, route(0, 1, self.version));
        let Some(took) = self.change(&body).await else { return Reached::default() };
        let (acknowledged, version) = (Instant::now(), self.version);
        let reached = self
            .wait_for_gateways(acknowledged, CHANGE_LIMIT, |known| {
                known.version_at.filter(|_| known.version >= version)
            })
            .await;
        println!("  change: acknowledged after {:.0} ms, then {reached}", took.as_secs_f64() * 1e3);
        reached
    }

    /// Drains a backend and measures how long that takes to all gateways.
    async fn measure_drain(&self, number: usize) -> Reached {
        self.simulated.drain(number);
        let (asked, path) = (Instant::now(), format!("/api/backends/b-{number}"));
        let deadline = asked + CHANGE_LIMIT;
        let mut turn = number;
        loop {
            let control = self.addresses.controls()[turn % CORES];
            let body = self.simulated.beat_body(number, true);
            if call(control, "PUT", &path, &[], &body).await.is_some_and(|answer| answer.status == 200) {
                break;
            }
            if Instant::now() > deadline {
                return Reached::default();
            }
            turn += 1;
        }
        let took = asked.elapsed();
        let acknowledged = Instant::now();
        let reached = self
            .wait_for_gateways(acknowledged, CHANGE_LIMIT, |known| known.drains.get(&number).copied())
            .await;
        println!("  drain: acknowledged after {:.0} ms, then {reached}", took.as_secs_f64() * 1e3);
        reached
    }

    /// The mean loads of each role between two samples.
    fn rows(&self, before: &Sample, after: &Sample) -> Vec<Row> {
        let loads = after.since(before);
        let holder = self.gateways.iter().find_map(|gateway| gateway.with_known(|known| known.holder));
        let loads_of = |keep: &dyn Fn(Role, bool) -> bool| {
            let kept = self
                .machines
                .processes
                .iter()
                .filter(|(role, ip, _)| keep(*role, holder.is_some_and(|(_, holder)| holder == *ip)));
            kept.filter_map(|(.., p)| loads.get(&p.pid()?).copied()).collect::<Vec<_>>()
        };
        vec![
            Row::mean(
                "registry that keeps the count",
                &loads_of(&|role, holds| role == Role::Registry && holds),
            ),
            Row::mean("registry, others", &loads_of(&|role, holds| role == Role::Registry && !holds)),
            Row::mean("store", &loads_of(&|role, _| role == Role::Store)),
            Row::mean("proxy (real, no clients)", &loads_of(&|role, _| role == Role::Proxy)),
        ]
    }
}

/// How many gateways something has reached, and the time until the median one and the last one, in seconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct Reached {
    reached: usize,
    total: usize,
    median: Option<f64>,
    last: Option<f64>,
}

impl Reached {
    /// The time until the last gateway; `None` if not all were reached.
    pub fn time_to_all(&self) -> Option<f64> {
        self.last.filter(|_| self.reached == self.total && self.total > 0)
    }
}

impl std::fmt::Display for Reached {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let ms = |at: Option<f64>| at.map_or("-".to_string(), |at| format!("{:.0}", at * 1e3));
        write!(
            f,
            "{} of {} gateways, middle {} ms, last {} ms",
            self.reached,
            self.total,
            ms(self.median),
            ms(self.last)
        )
    }
}

/// A route in the configuration's form.
fn route(number: usize, services: usize, version: u64) -> String {
    let service = number % services;
    format!(
        r#"{{"hostname":"h-{}.example","policy":[{{"name":"r-{number}","kind":"safe","target_time":"400ms",
        "priority":1,"public":false,"version":"r{version}","when":{{"path_prefix":"/p{number}/"}},
        "then":{{"service":"s-{service}","timeout":"2000ms","tries":3}}}}]}}"#,
        number % 97,
    )
}

/// The bodies of the calls that set up the configuration.
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
        all.chunks(ITEMS_PER_CALL).map(|part| format!(r#""{key}":[{}]"#, part.join(","))).collect()
    };
    let mut parts = list((0..services).map(group).collect(), "groups");
    parts[0] = format!("{limits},{}", parts[0]);
    parts.extend(list((0..routes).map(|i| route(i, services, 1)).collect(), "ports"));
    parts.extend(list((0..tenants).map(tenant).collect(), "customers"));
    parts.into_iter().map(|part| format!(r#"{{"upsert":{{{part}}},"remove":{{}}}}"#)).collect()
}

async fn measure_size(gateways: usize, cli: &Cli) -> Size {
    let scaled = |per_gateway: f64| ((gateways as f64 * per_gateway) as usize).max(1);
    let (services, routes) = (scaled(SERVICES), scaled(ROUTES));
    let tenants = scaled(TENANTS).min(cli.items.saturating_sub(services + routes + 1));
    let backends = gateways * cli.backends;
    let items = services + routes + tenants + 1;
    println!(
        "\n## {gateways} gateways, {backends} backends, {services} services, {routes} routes, {tenants} tenants"
    );
    let folder = tempfile::tempdir().expect("a temporary folder");
    let addresses = Addresses::own();
    let machines = Machines::start(addresses, PROXIES, folder.path(), BEAT.as_millis() as u64);
    let simulated = SimulatedFleet::new(addresses, BEAT, services, tenants, cli.draws);
    let mut run = Run { addresses, machines, simulated, gateways: Vec::new(), folder, version: 1 };
    let mut size = Size { gateways, backends, items, ..Size::default() };

    let started = Instant::now();
    let calls = first_calls(services, routes, tenants);
    for body in &calls {
        if run.change(body).await.is_none() {
            println!("  the configuration was not acknowledged within {} s", CHANGE_LIMIT.as_secs());
            return size;
        }
    }
    size.times.push(("first configuration", Some(started.elapsed().as_secs_f64())));
    println!("  first configuration: {} calls in {:.2} s", calls.len(), started.elapsed().as_secs_f64());

    let mut tasks = JoinSet::new();
    run.simulated.wanted.store(backends * 95 / 100, Ordering::Relaxed);
    let started = Instant::now();
    for i in 0..gateways {
        run.gateways.push(run.simulated.gateway(i, gateways, &mut tasks));
    }
    run.simulated.start_backends(0..backends, &mut tasks);
    let complete = run.wait_for_gateways(started, START_LIMIT, |known| known.all_at).await;
    let counted = run.wait_for_gateways(started, CHANGE_LIMIT, |known| known.counted_at).await;
    println!("  start: backends known at {complete}; count answers {counted}");
    size.times.push(("start: all know 95 in 100 backends", complete.time_to_all()));
    // Lets the work that the start caused come to an end.
    sleep(Duration::from_secs(2)).await;

    let before = run.sample().await;
    let counts = |fleet: &SimulatedFleet| {
        [&fleet.answers, &fleet.updates, &fleet.failed, &fleet.refused_beats, &fleet.refused_draws]
            .map(|count| count.load(Ordering::Relaxed))
    };
    let counts_before = counts(&run.simulated);
    sleep(CALM_TIME).await;
    let (after, counts_after) = (run.sample().await, counts(&run.simulated));
    let rate = |i: usize| (counts_after[i] - counts_before[i]) as f64 / CALM_TIME.as_secs_f64();
    println!(
        "  calm: {:.0} answers a second to simulated ones ({:.0} of them updates), {:.1} failed, {:.1} beats and {:.1} draws \
         not taken, {:.1} new connections on the machine",
        rate(0),
        rate(1),
        rate(2),
        rate(3),
        rate(4),
        after.accepted_since(&before)
    );
    size.calm = run.rows(&before, &after);
    size.failed = rate(2);

    let mut reached = Vec::new();
    for _ in 0..CHANGES {
        reached.push(run.measure_change().await.time_to_all());
    }
    size.times.push(("change to all gateways", worst(&reached)));
    reached.clear();
    for i in 0..CHANGES {
        reached.push(run.measure_drain(i as usize * 7 + 1).await.time_to_all());
    }
    size.times.push(("drain to all gateways", worst(&reached)));

    let before = run.sample().await;
    let started = Instant::now();
    let mut next = backends;
    while started.elapsed() < CHURN_TIME {
        for _ in 0..cli.churn {
            run.simulated.drain(next - backends + 100);
            run.simulated.start_backends(next..next + 1, &mut tasks);
            next += 1;
        }
        sleep(Duration::from_secs(1)).await;
    }
    size.churn = run.rows(&before, &run.sample().await);

    for gateway in &run.gateways {
        gateway.forget();
    }
    tokio::task::block_in_place(|| run.machines.kill_core(run.folder.path(), addresses));
    for gateway in &run.gateways {
        gateway.forget();
    }
    let killed = Instant::now();
    tokio::task::block_in_place(|| run.machines.start_core());
    let fresh = run.wait_for_gateways(killed, START_LIMIT, |known| known.fresh_at).await;
    let counted = run.wait_for_gateways(killed, START_LIMIT, |known| known.counted_at).await;
    let complete = run.wait_for_gateways(killed, START_LIMIT, |known| known.all_at).await;
    println!(
        "  all of the core killed: fresh word to {fresh}; count answers {counted}; backends known to {complete}"
    );
    size.times.push(("after the core's death: a fresh word to all", fresh.time_to_all()));
    size.times.push(("the count answers all", counted.time_to_all()));
    size.times.push(("all know 95 in 100 backends", complete.time_to_all()));
    let sample = run.sample().await;
    let rows = run.rows(&sample, &sample);
    size.memory_after = rows.iter().map(|row| (row.role, row.load.memory)).collect();
    for ended in run.machines.ended() {
        println!("  ended by itself: {ended}");
    }
    run.simulated.stop();
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
        "{TRACKED_ROUTE} is the route that changes; {} cores",
        std::thread::available_parallelism().map_or(1, usize::from)
    );
    let mut sizes = Vec::new();
    for gateways in &cli.sizes {
        let size = measure_size(*gateways, &cli).await;
        size.print();
        let memory: f64 = size.calm.iter().map(|row| row.load.memory * row.processes as f64).sum();
        sizes.push(size);
        if memory > cli.memory / 2.0 {
            println!("\n{memory:.0} MB in use: no larger size is begun");
            break;
        }
    }
    report::print_growth(&sizes);
    match report::plot(&sizes, &cli.plot) {
        Ok(()) => println!("\nplot: {}", cli.plot.join("scale.svg").display()),
        Err(error) => println!("\nno plot: {error}"),
    }
}

fn main() -> ExitCode {
    // A part parses the arguments after its name itself.
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
            runtime
                .block_on(async { tokio::spawn(measure(cli)).await })
                .expect("the measurement doesn't panic");
            ExitCode::SUCCESS
        }
    }
}
