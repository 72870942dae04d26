//! Compares ways to choose a backend, in virtual time: queueing, evenness, connections and bytes.
//!
//! `cargo run --release -p starlinghill-testkit --example balancing`

use starlinghill_testkit::balancing::{Fleet, Selection};

/// Requests per second at each gateway in the second table.
const RATE_PER_GATEWAY: f64 = 15.0;

fn main() {
    println!("235 backends, 87 gateways, 20 s\n");
    println!(
        "| load | way | waited | turned away | median ms | 99 in 100 | busiest | opened | open | bytes/s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for load in [0.3, 0.45, 0.6] {
        let fleet = Fleet { gateways: 87, backends: 235, load, seconds: 20 };
        for selection in [Selection::CounterOffer, Selection::Random, Selection::RandomSubset(20)] {
            // The names that earlier tables have.
            let name = match selection {
                Selection::CounterOffer => "Named".to_string(),
                Selection::Random => "Chance".to_string(),
                Selection::RandomSubset(size) => format!("Part({size})"),
            };
            let f = fleet.simulate(selection);
            println!(
                "| {load} | {name} | {:.3} | {:.3} | {} | {} | {:.2} | {:.2} | {:.1} | {:.0} |",
                f.queued_share,
                f.rejected_share,
                f.median_ms,
                f.p99_ms,
                f.busiest_ratio,
                f.connections_per_request,
                f.open_connections,
                f.bytes_per_s
            );
        }
    }
    println!("\nnamed, load 0.45, {RATE_PER_GATEWAY} requests a second at each gateway\n");
    println!(
        "| gateways | backends | waited | 99 in 100 ms | opened | bytes/s a gateway | draws/s | real s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for gateways in [10, 30, 100, 300, 1_000] {
        // As many backends as give a load of 0.45: 2 slots each, 0.21 s per request.
        let backends = (gateways as f64 * RATE_PER_GATEWAY * 0.21 / 2.0 / 0.45).ceil() as u64;
        let started = std::time::Instant::now();
        let f = Fleet { gateways, backends, load: 0.45, seconds: 14 }.simulate(Selection::CounterOffer);
        println!(
            "| {gateways} | {backends} | {:.3} | {} | {:.2} | {:.0} | {:.0} | {:.1} |",
            f.queued_share,
            f.p99_ms,
            f.connections_per_request,
            f.bytes_per_s,
            f.messages_per_s,
            started.elapsed().as_secs_f64()
        );
    }
}
