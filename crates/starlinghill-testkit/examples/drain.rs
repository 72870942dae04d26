//! Measures how soon proxies stop sending new requests to a draining node. Three proxies, one of them state-of-the-world,
//! forward to four save nodes; one node drains under load, with a different fault from run to run. The figure is the
//! time of each proxy's last new request at that node, counted from the announcement by discovery.
//!
//! `cargo run --release -p starlinghill-testkit --example drain [RUNS [SEED]]`

mod common;

use common::{argument, cores, ms, nodes, service};
use hdrhistogram::Histogram;
use starlinghill_testkit::proxy::{Proxy, Settings, XdsVariant};
use starlinghill_testkit::stubs;
use std::time::{Duration, Instant};

const NAMES: [&str; 3] = ["whole", "delta", "late"];
const FAULTS: [&str; 5] = ["none", "reconnect", "slow reader", "service restart", "all of them"];

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    let (runs, seed) = (argument(1, 200), argument(2, 1));
    let mut rng = fastrand::Rng::with_seed(seed as u64);
    let mut by_fault: Vec<Histogram<u64>> =
        FAULTS.iter().map(|_| Histogram::new(3).expect("valid precision")).collect();
    let (mut late, mut still_offered) = (0, 0);
    for run in 0..runs {
        let fault = run % FAULTS.len();
        let (nodes, discovery) = nodes(4).await;
        let mut running = service(&discovery, &NAMES, "", "").await;
        let proxies: Vec<Proxy> = NAMES
            .iter()
            .enumerate()
            .map(|(i, name)| {
                let variant = if i == 0 { XdsVariant::StateOfTheWorld } else { XdsVariant::Incremental };
                // The slow reader waits 120 ms before it handles each response.
                let delay_ms = if i == 2 && [2, 4].contains(&fault) { 120 } else { 0 };
                let settings = Settings {
                    read_delay: Duration::from_millis(delay_ms),
                    ..Settings::new(running.address, name, variant)
                };
                Proxy::start(settings).with_traffic(500.0, rng.u64(..))
            })
            .collect();
        for p in &proxies {
            p.wait_for("all nodes", |m| m.targets.len() == 4).await;
        }
        while nodes[3].by_sender().len() < NAMES.len() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        if [3, 4].contains(&fault) {
            // The service is killed and starts again without state; it hears of the drain from discovery.
            running.kill();
            running = service(&discovery, &NAMES, "", "").await;
            while running.hub.published.borrow().is_none() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        let announced = Instant::now();
        discovery
            .set_answer(42, &stubs::list(42, false, &stubs::member("s-3", nodes[3].address, "draining")));
        proxies.iter().for_each(|p| p.move_to(running.address));
        if [1, 4].contains(&fault) {
            tokio::time::sleep(Duration::from_micros(rng.u64(0..3_000))).await;
            proxies.iter().for_each(Proxy::reset_streams);
        }
        tokio::time::sleep(Duration::from_millis(1_300)).await;
        let senders = nodes[3].by_sender();
        for name in NAMES {
            let last =
                senders.get(name).map_or(Duration::ZERO, |s| s.last_at.saturating_duration_since(announced));
            by_fault[fault].record(last.as_micros() as u64 + 1).expect("in range");
            late += u32::from(last >= Duration::from_secs(1));
        }
        still_offered +=
            u32::from(proxies.iter().any(|p| p.state().targets.iter().any(|t| t.id == "s-3" && t.healthy)));
        running.kill();
    }
    println!(
        "last new request at a draining node after the service was told; {runs} runs, 3 proxies, seed {seed}"
    );
    println!("500 requests a second at each proxy; {} cores, ms", cores());
    println!("| fault | median | p99 | worst |\n| --- | --- | --- | --- |");
    let row = |name: &str, h: &Histogram<u64>| {
        let quantile = |q: f64| ms(Duration::from_micros(h.value_at_quantile(q)));
        println!(
            "| {name} | {} | {} | {} |",
            quantile(0.5),
            quantile(0.99),
            ms(Duration::from_micros(h.max()))
        );
    };
    let mut total: Histogram<u64> = Histogram::new(3).expect("valid precision");
    for (name, h) in FAULTS.iter().zip(&by_fault) {
        row(name, h);
        total.add(h).expect("the same precision");
    }
    row("together", &total);
    println!("over 1 s: {late}; proxies that still offered it at the end: {still_offered}");
}
