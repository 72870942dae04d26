//! A small fleet on loopback, to be looked at: save nodes, a counter, discovery, three gateway processes, and the control
//! service with two proxies. Prints the addresses, a `curl` line that works, and what each studio used, until
//! Ctrl-C. `cargo run --profile demo -p starlinghill-testkit --example fleet`; with `-- --zones` six gateways in three zones
//! that follow a group, and the orders to try on them.

mod common;

use common::{nodes, service};
use starlinghill_testkit::failover::{Fleet, ZONES};
use starlinghill_testkit::group::free_address;
use starlinghill_testkit::processes::Process;
use starlinghill_testkit::proxy::{Flavour, Proxy, Settings};
use starlinghill_testkit::stubs::{self, config, counter, Stub};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::{Command, ExitCode};
use std::time::Duration;

const GATEWAYS: usize = 3;
/// Studios whose requests the fleet makes itself, by customer number: name and requests a second.
const STUDIOS: [(u64, &str, u64); 3] =
    [(0xa1, "Nyota Games", 12), (0xb2, "Twiga Studio", 5), (0xc3, "Simba Labs", 1)];

/// A gateway as a process: this example again, which runs the operators' program when it is called like that.
fn gateway(number: usize, discovery: SocketAddr, counter: SocketAddr) -> (Process, SocketAddr) {
    let address = free_address();
    let text = config(discovery, counter)
        .replace("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{address}\""))
        .replace(
            "\"balancers\":2,\"my_number\":0",
            &format!("\"balancers\":{GATEWAYS},\"my_number\":{number}"),
        );
    let (configuration, operators) = (stubs::file(&text), stubs::file(""));
    let program = std::env::current_exe().expect("a program");
    let mut process = Process::new(&format!("gateway {number}"), move || {
        let mut command = Command::new(&program);
        command.arg("gateway").arg(&operators).env("NODE_CONFIG", &configuration);
        command.env_remove("NODE_LISTEN").env_remove("NODE_DISCOVERY").env_remove("NODE_OPS");
        command
    });
    process.start();
    (process, address)
}

/// The same with a group of three members and two gateways in each of three zones, to try orders on.
async fn zones() {
    let program = std::env::current_exe().expect("a program");
    let mut fleet = Fleet::start(&program, &["a", "b", "c"], 6, 1, true).await;
    let file = fleet.group.operators();
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
    let mut before = ZONES.map(|zone| fleet.came_to(zone).len());
    let mut every = tokio::time::interval(Duration::from_secs(2));
    every.tick().await;
    loop {
        tokio::select! {
            _ = tokio::signal::ctrl_c() => return,
            _ = every.tick() => {
                let now = ZONES.map(|zone| fleet.came_to(zone).len());
                let rates: Vec<String> =
                    (0..ZONES.len()).map(|i| format!("{} {}", ZONES[i], (now[i] - before[i]) / 2)).collect();
                println!("requests a second by zone: {}", rates.join(", "));
                before = now;
            }
        }
    }
}

/// What each studio used, by the counter: window totals, added up by what was added.
fn resource_usage(counter: &Stub) -> f64 {
    let adds = counter.requests();
    adds.iter().filter_map(|r| r.line.split(['=', '&']).nth(1)?.parse::<f64>().ok()).sum()
}

fn request(customer: u64, call: u64) -> String {
    format!(
        "GET /api?customer={customer:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {call:016x}\r\nX-Call-Class: look\r\n\
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
        // On a thread of the runtime, where blocking work may be announced.
        let demo = if word == "--zones" { tokio::spawn(zones()) } else { tokio::spawn(demo()) };
        demo.await.expect("it runs");
    });
    ExitCode::SUCCESS
}

async fn demo() {
    let (nodes, discovery) = nodes(4).await;
    let counter = counter();
    let (_processes, gateways): (Vec<Process>, Vec<SocketAddr>) =
        (0..GATEWAYS).map(|i| gateway(i, discovery.stub.address, counter.address)).unzip();
    let running = service(&discovery, &["edge-0", "edge-1"], "", "").await;
    let proxies: Vec<Proxy> = [("edge-0", Flavour::Whole), ("edge-1", Flavour::Delta)]
        .into_iter()
        .map(|(name, flavour)| Proxy::start(Settings::new(running.address, name, flavour)).forwarding(5.0, 1))
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
            // A client of the rig waits in its own thread, as a studio's app would.
            std::thread::spawn(move || {
                let gap = Duration::from_millis(1000 * GATEWAYS as u64 / rate);
                let mut call = customer << 40 | (i as u64) << 32;
                std::thread::sleep(Duration::from_millis(1_500 + 100 * i as u64));
                let mut client = None;
                loop {
                    std::thread::sleep(gap);
                    call += 1;
                    let open = client.get_or_insert_with(|| stubs::Client::connect(at));
                    let answer = open.answer_to(&request(customer, call));
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
    let mut used_by: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let mut every = tokio::time::interval(Duration::from_secs(5));
    every.tick().await;
    loop {
        tokio::select! {
            _ = tokio::signal::ctrl_c() => return,
            Some((name, ok)) = served.recv() => {
                let sums = used_by.entry(name).or_default();
                (sums.0, sums.1) = (sums.0 + u64::from(ok), sums.1 + u64::from(!ok));
            }
            _ = every.tick() => {
                let rows = used_by.iter().map(|(name, (ok, not))| format!("{name}: {ok} served, {not} not"));
                let by_proxies: u64 = nodes.iter().flat_map(|n| n.seen()).filter(|s| s.0.starts_with("edge")).map(|s| s.1.requests).sum();
                println!("{}; counted {:.0} units; proxies forwarded {by_proxies}", rows.collect::<Vec<_>>().join("; "), resource_usage(&counter));
                let _ = &proxies;
            }
        }
    }
}
