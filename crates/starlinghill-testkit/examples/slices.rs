//! Measures quota slices at three proxies: `publisher` customers surge and move about, one proxy is killed, one is
//! cut off; what all sent on against quota and ceiling, and refusals that had room, beside an even split of the
//! same traffic. `cargo run --release -p starlinghill-testkit --example slices [customers] [seconds] [seed]`.

mod common;

use common::{argument, cores, nodes, service};
use starlinghill_testkit::proxy::{Flavour, Proxy, Settings};
use starlinghill_testkit::quota::BucketKey;
use std::time::{Duration, Instant};

const NAMES: [&str; 3] = ["p-0", "p-1", "p-2"];
const RATE: f64 = 18.0;
const BURST: f64 = 36.0;
const CEILING: (f64, f64) = (39.6, 79.2);
/// 10%, or one of the largest requests.
const SLACK: f64 = 7.92;
const PLAN: &str = r#"{"name":"publisher","per_second":18.0,"peak_units":36.0,"ceiling_rate":39.6,"cap_depth":79.2,"tolerance":7.92},"#;
const QUOTAS: &str = "[control.quotas]\nlease_ms = 1500\nallowance_ms = 250\ninterval_ms = 200\n";

/// A token bucket that may go below nothing.
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
    fn fill(&mut self, now: Instant) {
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
    /// What it asks for a second, against its quota.
    demand: f64,
    /// Real traffic against the quota and the ceiling, and an even split of the same traffic.
    quota: Bucket,
    ceiling: Bucket,
    split: [Bucket; 3],
    /// One bucket that sees everything at once: the most that the quota lets through.
    ideal: Bucket,
    asked: u64,
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
        interval: Duration::from_millis(200),
        ..Settings::new(running.address, name, Flavour::Delta)
    };
    let mut proxies: Vec<Option<Proxy>> =
        NAMES.iter().map(|name| Some(Proxy::start(settings(name)).counting())).collect();
    // The first moments after a start, in which nothing is given out, are not part of this.
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    let mut rng = fastrand::Rng::with_seed(seed as u64);
    let start = Instant::now();
    let mut all: Vec<Customer> = (0..customers)
        .map(|i| Customer {
            key: (1_000 + i as u64, "publisher".into(), 1),
            // Half stay inside their quota, half surge to four times of it.
            demand: if i % 2 == 0 { 0.8 } else { 1.0 + 3.0 * rng.f64() },
            quota: Bucket::new(RATE, BURST, start),
            ceiling: Bucket::new(CEILING.0, CEILING.1, start),
            split: [0, 1, 2].map(|_| Bucket::new(RATE / 3.0, BURST / 3.0, start)),
            ideal: Bucket::new(RATE, BURST, start),
            asked: 0,
            passed: 0,
            split_passed: 0,
            ideal_passed: 0,
        })
        .collect();
    let step = Duration::from_millis(5);
    let third = seconds as f64 / 3.0;
    let mut events = [(third, true), (2.0 * third, false)].into_iter().peekable();
    let mut tick = tokio::time::interval(step);
    // By phase (all there, one killed, one cut off as well) and by whether a customer keeps to its quota.
    let mut phases = [[[0_u64; 3]; 2]; 3];
    let mut now_s = 0.0;
    while now_s < seconds as f64 {
        tick.tick().await;
        let now = Instant::now();
        let before = now_s;
        now_s = (now - start).as_secs_f64();
        if events.peek().is_some_and(|e| now_s >= e.0) {
            match events.next() {
                Some((_, true)) => proxies[2] = None,                 // Killed.
                _ => proxies[1].as_ref().expect("there").apart(true), // Cut off.
            }
        }
        let phase = ((now_s / third) as usize).min(2);
        for (i, c) in all.iter_mut().enumerate() {
            let counts = [c.ideal_passed, c.passed, c.split_passed];
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
                let ok = proxies[p].as_ref().expect("there").admit(&c.key);
                c.asked += 1;
                [&mut c.quota, &mut c.ceiling].into_iter().for_each(|b| b.fill(now));
                if ok {
                    c.passed += 1;
                    c.quota.take(1.0);
                    c.ceiling.take(1.0);
                }
                for (bucket, passed) in
                    [(&mut c.split[p], &mut c.split_passed), (&mut c.ideal, &mut c.ideal_passed)]
                {
                    bucket.fill(now);
                    if bucket.level >= 1.0 {
                        bucket.take(1.0);
                        *passed += 1;
                    }
                }
            }
            let after = [c.ideal_passed, c.passed, c.split_passed];
            let sums = &mut phases[phase][usize::from(i % 2 == 1)];
            sums.iter_mut().zip(after.iter().zip(counts)).for_each(|(sum, (a, b))| *sum += a - b);
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
    let short = |passed: u64, ideal: u64| 100.0 * ideal.saturating_sub(passed) as f64 / ideal.max(1) as f64;
    let mut sums = [0; 4];
    for c in &all {
        let beyond = |b: &Bucket| (-b.lowest).max(0.0);
        println!(
            "| {} | {:.1} | {} | {} | {} | {:.1} | {} | {:.1} | {:.1} | {:.1} |",
            c.key.0,
            c.demand,
            c.asked,
            c.ideal_passed,
            c.passed,
            short(c.passed, c.ideal_passed),
            c.split_passed,
            short(c.split_passed, c.ideal_passed),
            beyond(&c.quota),
            beyond(&c.ceiling)
        );
        let row = [c.asked, c.ideal_passed, c.passed, c.split_passed];
        sums.iter_mut().zip(row).for_each(|(sum, n)| *sum += n);
    }
    println!(
        "together: {} asked, one bucket passes {}; slices {} ({:.1}% wrongly refused), even split {} ({:.1}%)",
        sums[0],
        sums[1],
        sums[2],
        short(sums[2], sums[1]),
        sums[3],
        short(sums[3], sums[1])
    );
    println!("| phase | customers | one bucket passes | slices pass | wrongly refused % | even split passes | wrongly refused % |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (name, rows) in ["all three", "one killed", "one killed, one cut off"].iter().zip(&phases) {
        for (who, [ideal, slices, split]) in ["within", "surging"].iter().zip(rows) {
            println!(
                "| {name} | {who} | {ideal} | {slices} | {:.1} | {split} | {:.1} |",
                short(*slices, *ideal),
                short(*split, *ideal)
            );
        }
    }
    let over = all.iter().filter(|c| -c.ceiling.lowest > SLACK).count();
    println!("customers beyond the ceiling and its slack: {over}");
}
