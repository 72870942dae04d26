//! A small fleet on loopback, to be looked at: save nodes, a counter, discovery, three gateways, and the control
//! service with two proxies. Prints the addresses, a `curl` line that works, and what each studio used, until
//! Ctrl-C. `cargo run --release -p starlinghill-rig --example fleet`.

mod common;

use common::{nodes, service};
use starlinghill_gateway::config::Config;
use starlinghill_rig::proxy::{Flavour, Proxy, Settings};
use starlinghill_rig::world::{self, config, counter, Stub};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;

const GATEWAYS: usize = 3;
/// Studios whose requests the fleet makes itself, by customer number: name and requests a second.
const STUDIOS: [(u64, &str, u64); 3] =
    [(0xa1, "Nyota Games", 12), (0xb2, "Twiga Studio", 5), (0xc3, "Simba Labs", 1)];

/// Runs a gateway on a thread of its own, as it runs in a process of its own; returns where it listens.
fn gateway(number: usize, discovery: SocketAddr, counter: SocketAddr) -> SocketAddr {
    let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = free.local_addr().expect("bound");
    drop(free);
    let text = config(discovery, counter)
        .replace("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{address}\""))
        .replace(
            "\"balancers\":2,\"my_number\":0",
            &format!("\"balancers\":{GATEWAYS},\"my_number\":{number}"),
        );
    std::thread::spawn(move || {
        let config = Config::parse(&text, None, None).expect("a sound configuration");
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime, async {
            let (_stop, stopping) = watch::channel(false);
            let (_reload, upstreams) = watch::channel(config.upstreams());
            let (_settings, site) = watch::channel(None);
            let control = starlinghill_gateway::Control { upstreams, site, zones: None, stopping };
            starlinghill_gateway::run(config, control).await.expect("it runs");
        });
    });
    address
}

/// What each studio used, by the counter: window totals, added up by what was added.
fn used(counter: &Stub) -> f64 {
    let adds = counter.requests();
    adds.iter().filter_map(|r| r.line.split(['=', '&']).nth(1)?.parse::<f64>().ok()).sum()
}

fn request(customer: u64, call: u64) -> String {
    format!(
        "GET /api?customer={customer:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {call:016x}\r\nX-Call-Class: look\r\n\
        X-Plan: team\r\nX-Budget-Ms: 2000\r\nX-Quota: units=1,spread={GATEWAYS},first=0\r\n\r\n"
    )
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    let (nodes, discovery) = nodes(4).await;
    let counter = counter();
    let gateways: Vec<SocketAddr> =
        (0..GATEWAYS).map(|i| gateway(i, discovery.stub.address, counter.address)).collect();
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
                    let open = client.get_or_insert_with(|| world::Client::connect(at));
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
                println!("{}; counted {:.0} units; proxies forwarded {by_proxies}", rows.collect::<Vec<_>>().join("; "), used(&counter));
                let _ = &proxies;
            }
        }
    }
}
