//! Runs a small fleet on loopback to try out: save nodes, a quota counter, discovery, three gateway processes, and the control
//! service with two proxies. Prints the addresses, a `curl` command that works, and the requests of each studio, until
//! Ctrl-C. With `--zones`, runs six gateways in three zones that follow a group instead, and prints orders to try.
//!
//! `cargo run --profile demo -p starlinghill-testkit --example fleet [-- --zones]`

mod common;

use common::{nodes, service};
use starlinghill_testkit::failover::{Fleet, ZONES};
use starlinghill_testkit::group::free_address;
use starlinghill_testkit::processes::Process;
use starlinghill_testkit::proxy::{Proxy, Settings, XdsVariant};
use starlinghill_testkit::stubs::{self, config, counter, Stub};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::{Command, ExitCode};
use std::time::Duration;

const GATEWAYS: usize = 3;
/// Studios whose requests this program sends: customer number, name and requests per second.
const STUDIOS: [(u64, &str, u64); 3] =
    [(0xa1, "Nyota Games", 12), (0xb2, "Twiga Studio", 5), (0xc3, "Simba Labs", 1)];

/// Starts a gateway process: this program again, which runs the operators' program if its first argument is one of its
/// commands.
fn start_gateway(number: usize, discovery: SocketAddr, counter: SocketAddr) -> (Process, SocketAddr) {
    let address = free_address();
    let text = config(discovery, counter)
        .replace("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{address}\""))
        .replace(
            "\"balancers\":2,\"my_number\":0",
            &format!("\"balancers\":{GATEWAYS},\"my_number\":{number}"),
        );
    let (configuration, operators) = (stubs::file(&text), stubs::file(""));
    let program = std::env::current_exe().expect("the path of this program");
    let mut process = Process::new(&format!("gateway {number}"), move || {
        let mut command = Command::new(&program);
        command.arg("gateway").arg(&operators).env("NODE_CONFIG", &configuration);
        command.env_remove("NODE_LISTEN").env_remove("NODE_DISCOVERY").env_remove("NODE_OPS");
        command
    });
    process.start();
    (process, address)
}

/// Runs a fleet with a group: a member and two gateways in each of three zones.
async fn zones_demo() {
    let program = std::env::current_exe().expect("the path of this program");
    let mut fleet = Fleet::start(&program, &["a", "b", "c"], 6, 1, true).await;
    let file = fleet.group.operators_file();
    let (program, file) = (program.display(), file.display());
    println!("gateways     {}", fleet.listen.iter().map(SocketAddr::to_string).collect::<Vec<_>>().join(" "));
    println!(
        "members      {}",
        fleet.group.listen.iter().map(SocketAddr::to_string).collect::<Vec<_>>().join(" ")
    );
    println!("\nOrders to try in another terminal (Ctrl-C ends all):\n");
    println!("{program} zones {file}");
    println!("{program} zone drain {file} b --reason 'a drill' --step 25 --every-ms 2000 --wait");
    println!("{program} zone return {file} b --reason 'over' --step 25 --every-ms 2000 --wait");
    println!("{program} group show {file}\n");
    fleet.load(40);
    let mut before = ZONES.map(|zone| fleet.arrivals_in(zone).len());
    let mut ticks = tokio::time::interval(Duration::from_secs(2));
    ticks.tick().await;
    loop {
        tokio::select! {
            _ = tokio::signal::ctrl_c() => return,
            _ = ticks.tick() => {
                let now = ZONES.map(|zone| fleet.arrivals_in(zone).len());
                let rates: Vec<String> =
                    (0..ZONES.len()).map(|i| format!("{} {}", ZONES[i], (now[i] - before[i]) / 2)).collect();
                println!("requests a second by zone: {}", rates.join(", "));
                before = now;
            }
        }
    }
}

/// The units that the counter has counted for all studios together.
fn counted_units(counter: &Stub) -> f64 {
    let calls = counter.requests();
    calls.iter().filter_map(|r| r.line.split(['=', '&']).nth(1)?.parse::<f64>().ok()).sum()
}

fn request(customer: u64, call_id: u64) -> String {
    format!(
        "GET /api?customer={customer:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {call_id:016x}\r\nX-Call-Class: look\r\n\
        X-Plan: team\r\nX-Budget-Ms: 2000\r\nX-Quota: units=1,spread={GATEWAYS},first=0\r\n\r\n"
    )
}

fn main() -> ExitCode {
    let word = std::env::args().nth(1).unwrap_or_default();
    if ["gateway", "group", "why", "zone", "zones"].contains(&word.as_str()) {
        return starlinghill_control::program::main();
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build();
    runtime.expect("a runtime").block_on(async {
        // Spawned, as `block_in_place` works only on a worker thread of the runtime.
        let demo = if word == "--zones" { tokio::spawn(zones_demo()) } else { tokio::spawn(demo()) };
        demo.await.expect("the demo doesn't panic");
    });
    ExitCode::SUCCESS
}

async fn demo() {
    let (nodes, discovery) = nodes(4).await;
    let counter = counter();
    let (_processes, gateways): (Vec<Process>, Vec<SocketAddr>) =
        (0..GATEWAYS).map(|i| start_gateway(i, discovery.stub.address, counter.address)).unzip();
    let running = service(&discovery, &["edge-0", "edge-1"], "", "").await;
    let proxies: Vec<Proxy> = [("edge-0", XdsVariant::StateOfTheWorld), ("edge-1", XdsVariant::Incremental)]
        .into_iter()
        .map(|(name, flavour)| {
            Proxy::start(Settings::new(running.address, name, flavour)).with_traffic(5.0, 1)
        })
        .collect();
    println!("save nodes   {}", nodes.iter().map(|n| n.address.to_string()).collect::<Vec<_>>().join(" "));
    println!("discovery    http://{}/catalog/members", discovery.stub.address);
    println!("counter      {}", counter.address);
    println!("gateways     {}", gateways.iter().map(SocketAddr::to_string).collect::<Vec<_>>().join(" "));
    println!("control      {} (xDS; proxies edge-0 and edge-1 forward by it)", running.address);
    println!("\nA request that works (Ctrl-C ends all):\n");
    println!(
        "curl -i 'http://{}/api?customer=00000000000000a1' -H 'X-Call-Id: mine-1' -H 'X-Call-Class: look' \\\n  \
        -H 'X-Plan: team' -H 'X-Budget-Ms: 2000' -H 'X-Quota: units=1,spread={GATEWAYS},first=0'\n",
        gateways[0]
    );
    let (tx, mut served) = tokio::sync::mpsc::unbounded_channel::<(&'static str, bool)>();
    for (customer, name, rate) in STUDIOS {
        for (i, &at) in gateways.iter().enumerate() {
            let tx = tx.clone();
            // The client blocks, so it has its own thread.
            std::thread::spawn(move || {
                let pause = Duration::from_millis(1000 * GATEWAYS as u64 / rate);
                let mut call_id = customer << 40 | (i as u64) << 32;
                std::thread::sleep(Duration::from_millis(1_500 + 100 * i as u64));
                let mut client = None;
                loop {
                    std::thread::sleep(pause);
                    call_id += 1;
                    let open = client.get_or_insert_with(|| stubs::Client::connect(at));
                    let answer = open.answer_to(&request(customer, call_id));
                    if answer.is_none() {
                        client = None;
                    }
                    if tx.send((name, answer.is_some_and(|a| a.status() == 200))).is_err() {
                        return;
                    }
                }
            });
        }
    }
    let mut by_studio: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let mut ticks = tokio::time::interval(Duration::from_secs(5));
    ticks.tick().await;
    loop {
        tokio::select! {
            _ = tokio::signal::ctrl_c() => return,
            Some((name, ok)) = served.recv() => {
                let counts = by_studio.entry(name).or_default();
                (counts.0, counts.1) = (counts.0 + u64::from(ok), counts.1 + u64::from(!ok));
            }
            _ = ticks.tick() => {
                let rows = by_studio.iter().map(|(name, (served, failed))| format!("{name}: {served} served, {failed} not"));
                let by_proxies: u64 = nodes.iter().flat_map(|n| n.by_sender()).filter(|s| s.0.starts_with("edge")).map(|s| s.1.requests).sum();
                println!("{}; counted {:.0} units; proxies forwarded {by_proxies}", rows.collect::<Vec<_>>().join("; "), counted_units(&counter));
                // Keeps the proxies running.
                let _ = &proxies;
            }
        }
    }
}
