//! Measures the rule on drains at proxies: three of them, of both flavours, forward to save nodes; one node drains
//! under load, with a fault at random; for each proxy, the time of its last new request at that node, from when
//! the service was told. `cargo run --release -p starlinghill-testkit --example drain [runs] [seed]`.

mod common;

use common::{argument, cores, ms, nodes, service};
use hdrhistogram::Histogram;
use starlinghill_testkit::proxy::{Flavour, Proxy, Settings};
use starlinghill_testkit::stubs;
use std::time::{Duration, Instant};

const NAMES: [&str; 3] = ["whole", "delta", "late"];
const FAULTS: [&str; 5] = ["none", "reconnect", "slow reader", "service restart", "all of them"];

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    let (runs, seed) = (argument(1, 200), argument(2, 1));
    let mut rng = fastrand::Rng::with_seed(seed as u64);
    let mut all: Vec<Histogram<u64>> = FAULTS.iter().map(|_| Histogram::new(3).expect("bounds")).collect();
    let (mut over, mut never) = (0, 0);
    for run in 0..runs {
        let fault = run % FAULTS.len();
        let (nodes, discovery) = nodes(4).await;
        let mut running = service(&discovery, &NAMES, "", "").await;
        let proxies: Vec<Proxy> = NAMES
            .iter()
            .enumerate()
            .map(|(i, name)| {
                let flavour = if i == 0 { Flavour::Whole } else { Flavour::Delta };
                // A slow reader takes its time over each response.
                let slow = if i == 2 && [2, 4].contains(&fault) { 120 } else { 0 };
                let settings = Settings {
                    slow: Duration::from_millis(slow),
                    ..Settings::new(running.address, name, flavour)
                };
                Proxy::start(settings).forwarding(500.0, rng.u64(..))
            })
            .collect();
        for p in &proxies {
            p.wait_for("all nodes", |m| m.targets.len() == 4).await;
        }
        while nodes[3].seen().len() < NAMES.len() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        if [3, 4].contains(&fault) {
            // It is killed, comes back empty, and is told of the drain as soon as it asks.
            running.kill();
            running = service(&discovery, &NAMES, "", "").await;
            while running.hub.published.borrow().is_none() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        let told = Instant::now();
        discovery.say(42, &stubs::list(42, false, &stubs::member("s-3", nodes[3].address, "draining")));
        proxies.iter().for_each(|p| p.move_to(running.address));
        if [1, 4].contains(&fault) {
            tokio::time::sleep(Duration::from_micros(rng.u64(0..3_000))).await;
            proxies.iter().for_each(Proxy::cut);
        }
        tokio::time::sleep(Duration::from_millis(1_300)).await;
        let seen = nodes[3].seen();
        for name in NAMES {
            let last = seen.get(name).map_or(Duration::ZERO, |s| s.last.saturating_duration_since(told));
            all[fault].record(last.as_micros() as u64 + 1).expect("in range");
            over += u32::from(last >= Duration::from_secs(1));
        }
        never +=
            u32::from(proxies.iter().any(|p| p.mirror().targets.iter().any(|t| t.id == "s-3" && t.healthy)));
        running.kill();
    }
    println!(
        "last new request at a draining node after the service was told; {runs} runs, 3 proxies, seed {seed}"
    );
    println!("500 requests a second at each proxy; {} cores, ms", cores());
    println!("| fault | median | p99 | worst |\n| --- | --- | --- | --- |");
    let row = |name: &str, h: &Histogram<u64>| {
        let at = |q: f64| ms(Duration::from_micros(h.value_at_quantile(q)));
        println!("| {name} | {} | {} | {} |", at(0.5), at(0.99), ms(Duration::from_micros(h.max())));
    };
    let mut sum: Histogram<u64> = Histogram::new(3).expect("bounds");
    for (name, h) in FAULTS.iter().zip(&all) {
        row(name, h);
        sum.add(h).expect("the same bounds");
    }
    row("together", &sum);
    println!("over 1 s: {over}; proxies that still offered it at the end: {never}");
}
