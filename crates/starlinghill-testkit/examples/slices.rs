//! Measures quotas that the control service divides among three proxies. Customers in plan `publisher` surge and change
//! proxies; after a third of the time one proxy is killed, after two thirds another one is cut off. Prints what all
//! proxies let through, compared with the quota and the ceiling, and what they refused wrongly, beside a fixed even split
//! of the quota under the same traffic.
//!
//! `cargo run --release -p starlinghill-testkit --example slices [CUSTOMERS [SECONDS [SEED]]]`

mod common;

use common::{argument, cores, nodes, service};
use starlinghill_testkit::proxy::{Proxy, Settings, XdsVariant};
use starlinghill_testkit::quota::BucketKey;
use std::time::{Duration, Instant};

const NAMES: [&str; 3] = ["p-0", "p-1", "p-2"];
/// The quota: units per second, and the burst in units.
const RATE: f64 = 18.0;
const BURST: f64 = 36.0;
/// The hard ceiling: units per second, and the burst in units.
const CEILING: (f64, f64) = (39.6, 79.2);
/// How far the ceiling's bucket may go below zero, in units: a tenth of its burst, or the largest request if that is more.
const SLACK: f64 = 7.92;
const PLAN: &str = r#"{"name":"publisher","per_second":18.0,"peak_units":36.0,"ceiling_rate":39.6,"cap_depth":79.2,"tolerance":7.92},"#;
const QUOTAS: &str = "[control.quotas]\nlease_ms = 1500\nallowance_ms = 250\ninterval_ms = 200\n";

/// A token bucket whose level may go below zero; `lowest` is the lowest level so far.
#[derive(Clone)]
struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Instant,
    lowest: f64,
}

impl Bucket {
    fn new(rate: f64, burst: f64, now: Instant) -> Bucket {
        Bucket { rate, burst, level: burst, at: now, lowest: burst }
    }
    fn refill(&mut self, now: Instant) {
        self.level = (self.level + self.rate * (now - self.at).as_secs_f64()).min(self.burst);
        self.at = now;
    }
    fn take(&mut self, units: f64) {
        self.level -= units;
        self.lowest = self.lowest.min(self.level);
    }
}

struct Customer {
    key: BucketKey,
    /// Its request rate as a multiple of the quota's rate.
    demand: f64,
    /// Gets what the proxies let through, at the quota's rate.
    quota: Bucket,
    /// The same at the ceiling's rate.
    ceiling: Bucket,
    /// A third of the quota for each proxy.
    split: [Bucket; 3],
    /// One bucket for all requests: the most that the quota can let through.
    ideal: Bucket,
    requested: u64,
    passed: u64,
    split_passed: u64,
    ideal_passed: u64,
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() {
    let (customers, seconds, seed) = (argument(1, 8), argument(2, 45), argument(3, 1));
    let (_nodes, discovery) = nodes(1).await;
    let running = service(&discovery, &NAMES, PLAN, QUOTAS).await;
    let settings = |name: &str| Settings {
        report_interval: Duration::from_millis(200),
        ..Settings::new(running.address, name, XdsVariant::Incremental)
    };
    let mut proxies: Vec<Option<Proxy>> =
        NAMES.iter().map(|name| Some(Proxy::start(settings(name)).with_quotas())).collect();
    // The service gives out no quota right after its start; that time is not measured.
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    let mut rng = fastrand::Rng::with_seed(seed as u64);
    let start = Instant::now();
    let mut all: Vec<Customer> = (0..customers)
        .map(|i| Customer {
            key: (1_000 + i as u64, "publisher".into(), 1),
            // Every second customer surges to 1 to 4 times its quota; the others stay below it.
            demand: if i % 2 == 0 { 0.8 } else { 1.0 + 3.0 * rng.f64() },
            quota: Bucket::new(RATE, BURST, start),
            ceiling: Bucket::new(CEILING.0, CEILING.1, start),
            split: [0, 1, 2].map(|_| Bucket::new(RATE / 3.0, BURST / 3.0, start)),
            ideal: Bucket::new(RATE, BURST, start),
            requested: 0,
            passed: 0,
            split_passed: 0,
            ideal_passed: 0,
        })
        .collect();
    let step = Duration::from_millis(5);
    let third = seconds as f64 / 3.0;
    // Time in seconds; true kills a proxy, false cuts one off.
    let mut events = [(third, true), (2.0 * third, false)].into_iter().peekable();
    let mut tick = tokio::time::interval(step);
    // Units by phase (all proxies, one killed, another one cut off) and by whether the customer surges: ideal, passed, split.
    let mut phases = [[[0_u64; 3]; 2]; 3];
    let mut now_s = 0.0;
    while now_s < seconds as f64 {
        tick.tick().await;
        let now = Instant::now();
        let before = now_s;
        now_s = (now - start).as_secs_f64();
        if events.peek().is_some_and(|e| now_s >= e.0) {
            match events.next() {
                Some((_, true)) => proxies[2] = None, // Killed.
                _ => proxies[1].as_ref().expect("the proxy runs").set_isolated(true), // Cut off.
            }
        }
        let phase = ((now_s / third) as usize).min(2);
        for (i, c) in all.iter_mut().enumerate() {
            let before_step = [c.ideal_passed, c.passed, c.split_passed];
            let expected = c.demand * RATE * (now_s - before);
            let mut n = expected.floor() as u32 + u32::from(rng.f64() < expected.fract());
            while n > 0 {
                n -= 1;
                // The busiest proxy changes every 8 s.
                let busiest = ((now_s / 8.0) as usize + i) % 3;
                let mut p = if rng.f64() < 0.7 { busiest } else { rng.usize(0..3) };
                while proxies[p].is_none() {
                    p = (p + 1) % 3;
                }
                let ok = proxies[p].as_ref().expect("the proxy runs").admit(&c.key);
                c.requested += 1;
                [&mut c.quota, &mut c.ceiling].into_iter().for_each(|b| b.refill(now));
                if ok {
                    c.passed += 1;
                    c.quota.take(1.0);
                    c.ceiling.take(1.0);
                }
                for (bucket, passed) in
                    [(&mut c.split[p], &mut c.split_passed), (&mut c.ideal, &mut c.ideal_passed)]
                {
                    bucket.refill(now);
                    if bucket.level >= 1.0 {
                        bucket.take(1.0);
                        *passed += 1;
                    }
                }
            }
            let after = [c.ideal_passed, c.passed, c.split_passed];
            let sums = &mut phases[phase][usize::from(i % 2 == 1)];
            sums.iter_mut().zip(after.iter().zip(before_step)).for_each(|(sum, (a, b))| *sum += a - b);
        }
    }
    println!(
        "quota slices: 3 proxies, {seconds} s; one killed after {third:.0} s, one cut off after {:.0} s",
        2.0 * third
    );
    println!(
        "quota {RATE} a second and {BURST} at once; ceiling {} and {}, slack {SLACK}; {} cores",
        CEILING.0,
        CEILING.1,
        cores()
    );
    println!("| customer | asked x quota | asked | one bucket passes | slices pass | wrongly refused % | even split passes | wrongly refused % | beyond quota | beyond ceiling |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let refused_percent =
        |passed: u64, ideal: u64| 100.0 * ideal.saturating_sub(passed) as f64 / ideal.max(1) as f64;
    let mut sums = [0; 4];
    for c in &all {
        let beyond = |b: &Bucket| (-b.lowest).max(0.0);
        println!(
            "| {} | {:.1} | {} | {} | {} | {:.1} | {} | {:.1} | {:.1} | {:.1} |",
            c.key.0,
            c.demand,
            c.requested,
            c.ideal_passed,
            c.passed,
            refused_percent(c.passed, c.ideal_passed),
            c.split_passed,
            refused_percent(c.split_passed, c.ideal_passed),
            beyond(&c.quota),
            beyond(&c.ceiling)
        );
        let row = [c.requested, c.ideal_passed, c.passed, c.split_passed];
        sums.iter_mut().zip(row).for_each(|(sum, n)| *sum += n);
    }
    println!(
        "together: {} asked, one bucket passes {}; slices {} ({:.1}% wrongly refused), even split {} ({:.1}%)",
        sums[0],
        sums[1],
        sums[2],
        refused_percent(sums[2], sums[1]),
        sums[3],
        refused_percent(sums[3], sums[1])
    );
    println!("| phase | customers | one bucket passes | slices pass | wrongly refused % | even split passes | wrongly refused % |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (name, rows) in ["all three", "one killed", "one killed, one cut off"].iter().zip(&phases) {
        for (customers, [ideal, slices, split]) in ["within", "surging"].iter().zip(rows) {
            println!(
                "| {name} | {customers} | {ideal} | {slices} | {:.1} | {split} | {:.1} |",
                refused_percent(*slices, *ideal),
                refused_percent(*split, *ideal)
            );
        }
    }
    let over = all.iter().filter(|c| -c.ceiling.lowest > SLACK).count();
    println!("customers beyond the ceiling and its slack: {over}");
}
