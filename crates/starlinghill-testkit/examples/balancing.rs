//! Ways of choosing a backend side by side, in virtual time: who waits, how even it is, connections, bytes.
//! `cargo run --release -p starlinghill-testkit --example balancing`

use starlinghill_testkit::balancing::{Fleet, Way};

/// Requests a second at one gateway.
const EACH: f64 = 15.0;

fn main() {
    println!("235 backends, 87 gateways, 20 s\n");
    println!(
        "| load | way | waited | turned away | median ms | 99 in 100 | busiest | opened | open | bytes/s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for load in [0.3, 0.45, 0.6] {
        let fleet = Fleet { gateways: 87, backends: 235, load, seconds: 20 };
        for way in [Way::Named, Way::Chance, Way::Part(20)] {
            let f = fleet.play(way);
            println!(
                "| {load} | {way:?} | {:.3} | {:.3} | {} | {} | {:.2} | {:.2} | {:.1} | {:.0} |",
                f.waited, f.turned_away, f.median_ms, f.slowest_ms, f.busiest, f.opened, f.open, f.bytes
            );
        }
    }
    println!("\nnamed, load 0.45, {EACH} requests a second at each gateway\n");
    println!(
        "| gateways | backends | waited | 99 in 100 ms | opened | bytes/s a gateway | draws/s | real s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for gateways in [10, 30, 100, 300, 1_000] {
        let backends = (gateways as f64 * EACH * 0.21 / 2.0 / 0.45).ceil() as u64;
        let begun = std::time::Instant::now();
        let f = Fleet { gateways, backends, load: 0.45, seconds: 14 }.play(Way::Named);
        println!(
            "| {gateways} | {backends} | {:.3} | {} | {:.2} | {:.0} | {:.0} | {:.1} |",
            f.waited,
            f.slowest_ms,
            f.opened,
            f.bytes,
            f.messages,
            begun.elapsed().as_secs_f64()
        );
    }
}
