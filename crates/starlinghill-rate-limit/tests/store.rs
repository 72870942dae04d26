//! Several gateways that estimate the same token bucket: interleaved requests, span changes, restarts and
//! returned units.

use starlinghill_rate_limit::{Micros, Quota, Store, StoreReading};

/// A total whose call was made after all earlier totals were received.
fn reading(span: (u64, Micros), now: Micros, total: f64, amount: f64, unrecorded: f64) -> StoreReading {
    StoreReading {
        span: span.0,
        elapsed: span.1,
        made: now + Micros(1),
        known_from: Micros(0),
        counted: 0.0,
        total,
        amount,
        unrecorded,
    }
}

const QUOTA: Quota = Quota { rate: 4.0, burst: 10.0 };
const SPAN_US: u64 = 20_000_000;
const LARGEST_REQUEST: f64 = 3.0;

/// An exact token bucket, and the lowest level that it reached.
struct ExactBucket {
    level: f64,
    lowest: f64,
    at: u64,
}

impl ExactBucket {
    fn new(at: u64) -> ExactBucket {
        ExactBucket { level: QUOTA.burst, lowest: QUOTA.burst, at }
    }
    fn level_at(&mut self, now: u64) -> f64 {
        let filled = self.level + QUOTA.rate * (now - self.at) as f64 / 1e6;
        (self.level, self.at) = (filled.min(QUOTA.burst), now);
        self.level
    }
    fn take(&mut self, now: u64, units: f64) {
        self.level = self.level_at(now) - units;
        self.lowest = self.lowest.min(self.level);
    }
}

/// Gateways that share a counter which answers at once. Each admits by `floor` or by `level`.
struct Simulation {
    rng: fastrand::Rng,
    start: u64,
    now: u64,
    total: f64,
    span: u64,
    stores: Vec<Store>,
    truth: ExactBucket,
    asked: f64,
    admitted: f64,
    /// A bucket that admits the same requests with exact knowledge.
    ideal: ExactBucket,
    ideal_admitted: f64,
}

impl Simulation {
    fn new(seed: u64, gateways: usize) -> Simulation {
        let rng = fastrand::Rng::with_seed(seed);
        let now = 50 * SPAN_US + rng.clone().u64(0..SPAN_US);
        Simulation {
            rng,
            start: now,
            now,
            total: 0.0,
            span: now / SPAN_US,
            stores: vec![Store::default(); gateways],
            truth: ExactBucket::new(now),
            asked: 0.0,
            admitted: 0.0,
            ideal: ExactBucket::new(now),
            ideal_admitted: 0.0,
        }
    }
    fn advance(&mut self, duration_us: u64) {
        self.now += duration_us;
        if self.now / SPAN_US != self.span {
            (self.span, self.total) = (self.now / SPAN_US, 0.0);
        }
    }
    fn call(&mut self, gateway: usize, amount: f64, unrecorded: f64) {
        self.total += amount;
        let span = (self.span, Micros(self.now % SPAN_US));
        let now = Micros(self.now);
        self.stores[gateway].apply_total(QUOTA, now, reading(span, now, self.total, amount, unrecorded));
    }
    fn request(&mut self, gateway: usize, units: f64, by_floor: bool) {
        self.asked += units;
        if self.ideal.level_at(self.now) >= units {
            self.ideal.take(self.now, units);
            self.ideal_admitted += units;
        }
        self.call(gateway, units, units);
        let store = &self.stores[gateway];
        let left = if by_floor {
            store.floor()
        } else {
            store.level(QUOTA, Micros(self.now)).expect("known after a total")
        };
        if left >= 0.0 {
            self.admitted += units;
            self.truth.take(self.now, units);
        } else {
            self.stores[gateway].take(QUOTA, Micros(self.now), -units);
            self.call(gateway, -units, 0.0);
        }
    }
    /// The most units that the quota allows from the start until now.
    fn max_units(&self) -> f64 {
        QUOTA.burst + QUOTA.rate * (self.now - self.start) as f64 / 1e6
    }
    fn random_units(&mut self) -> f64 {
        f64::from(self.rng.u32(1..=LARGEST_REQUEST as u32))
    }
}

/// Simulates bursts of requests and pauses. The busiest gateway changes, and some gateways restart.
fn run(seed: u64, by_floor: bool) -> Simulation {
    let mut sim = Simulation::new(seed, 2 + (seed % 3) as usize);
    let gateways = sim.stores.len();
    let mut busiest = 0;
    for _ in 0..60 {
        match sim.rng.u32(0..10) {
            0 => sim.advance(1_000_000 + sim.rng.clone().u64(0..9_000_000)),
            1 => busiest = sim.rng.usize(0..gateways),
            2 if sim.rng.u32(0..8) == 0 => sim.stores[busiest] = Store::default(),
            _ => sim.advance(sim.rng.clone().u64(0..250_000)),
        }
        let gateway = if sim.rng.u32(0..4) == 0 { sim.rng.usize(0..gateways) } else { busiest };
        let units = sim.random_units();
        sim.request(gateway, units, by_floor);
    }
    sim
}

#[test]
fn gateways_that_admit_by_the_floor_never_exceed_the_quota_whatever_the_order() {
    for seed in 0..20_000 {
        let sim = run(seed, true);
        assert!(sim.truth.lowest >= -1e-6, "seed {seed}: {}", sim.truth.lowest);
        assert!(sim.admitted <= sim.ideal_admitted + QUOTA.burst, "seed {seed}");
    }
}

#[test]
fn gateways_that_admit_by_the_level_use_nearly_the_whole_quota_and_little_more() {
    let (mut ideal_admitted, mut admitted, mut by_floor, mut worst) = (0.0, 0.0, 0.0, 0.0f64);
    for seed in 0..2_000 {
        let sim = run(seed, false);
        ideal_admitted += sim.ideal_admitted;
        admitted += sim.admitted;
        worst = worst.max(sim.admitted / sim.max_units());
        by_floor += run(seed, true).admitted;
    }
    let part = |units: f64| units / ideal_admitted;
    println!(
        "level {:.3}, floor {:.3} of an exact bucket; worst {worst:.3} of the quota",
        part(admitted),
        part(by_floor)
    );
    assert!(part(admitted) > 0.95 && part(admitted) < 1.08, "{}", part(admitted));
    assert!(by_floor < admitted, "the floor refuses more: {by_floor} against {admitted}");
}

#[test]
fn a_single_gateway_knows_the_exact_level() {
    for seed in 0..500 {
        let mut sim = Simulation::new(seed, 1);
        // The first total shows that nobody else took units since the span began. Before that, the level is
        // unknown.
        sim.advance(SPAN_US - sim.now % SPAN_US + 3_000_000);
        sim.truth = ExactBucket::new(sim.now);
        for _ in 0..100 {
            sim.advance(sim.rng.clone().u64(0..2_000_000));
            let units = sim.random_units();
            if sim.stores[0].level(QUOTA, Micros(sim.now)).is_none_or(|level| level >= units) {
                sim.request(0, units, false);
            }
            let (known, truth) = (sim.stores[0].level(QUOTA, Micros(sim.now)), sim.truth.level_at(sim.now));
            assert!(
                (known.expect("known after a total") - truth).abs() < 1e-6,
                "seed {seed}: {known:?} of {truth}"
            );
        }
    }
}

#[test]
fn a_total_that_falls_because_others_returned_units_raises_the_level() {
    let mut store = Store::default();
    let level_after = |store: &mut Store, now, total, amount| {
        let now = Micros(now);
        store.apply_total(QUOTA, now, reading((7, Micros(9_000_000)), now, total, amount, amount));
        store.level(QUOTA, now).expect("known after a total")
    };
    assert_eq!(level_after(&mut store, 0, 1.0, 1.0), 9.0);
    let low = level_after(&mut store, 1_000, 8.0, 1.0);
    let returned = level_after(&mut store, 2_000, 5.0, 0.0);
    assert!((returned - low - 3.0).abs() < 0.01, "{low} to {returned}");
}

#[test]
fn an_emptied_counter_does_not_raise_the_level_and_the_floor_restarts() {
    let mut store = Store::default();
    let span = (7, Micros(9_000_000));
    // Long after the clock's start, so that the bucket had time to fill.
    let at = |n: u64| Micros(60_000_000 + n);
    for n in 1..=9 {
        store.apply_total(QUOTA, at(n), reading(span, at(n), n as f64, 1.0, 1.0));
    }
    let before = store.level(QUOTA, at(10)).expect("known after a total");
    store.apply_total(QUOTA, at(10), reading(span, at(10), 1.0, 1.0, 1.0));
    let after = store.level(QUOTA, at(10)).expect("known after a total");
    assert!((before - after - 1.0).abs() < 0.01, "{before} to {after}");
    assert!((store.floor() + 1.0).abs() < 1e-3, "{}", store.floor());
}

#[test]
fn units_recorded_before_are_not_taken_again_when_a_total_includes_them() {
    let mut store = Store::default();
    let span = (7, Micros(9_000_000));
    store.apply_total(QUOTA, Micros(0), reading(span, Micros(0), 1.0, 1.0, 1.0));
    store.take(QUOTA, Micros(0), 4.0);
    assert_eq!(store.level(QUOTA, Micros(0)), Some(5.0));
    store.apply_total(QUOTA, Micros(0), reading(span, Micros(0), 6.0, 5.0, 1.0));
    assert_eq!(store.level(QUOTA, Micros(0)), Some(4.0));
}

#[test]
fn others_are_assumed_to_continue_at_their_recent_rate_until_a_span_ends() {
    let mut store = Store::default();
    let step = 100_000;
    // Other gateways take two units ten times a second.
    for n in 0..20 {
        let now = Micros(n * step);
        store.apply_total(
            QUOTA,
            now,
            reading((7, Micros(17_500_000 + n * step)), now, 2.0 * n as f64, 0.0, 0.0),
        );
    }
    let next_total = Micros(19 * step + 2_000_000);
    // The previous total was received 0.6 s before the span ended.
    store.apply_total(QUOTA, next_total, reading((8, Micros(1_400_000)), next_total, 0.0, 0.0, 0.0));
    let level = store.level(QUOTA, next_total).expect("known after a total");
    assert!(level < QUOTA.burst - 1.0, "{level}");
}

#[test]
fn answers_out_of_order_take_no_units_twice_and_lose_none() {
    // Three calls in transit at once. The counter processed them in order, and the last answer arrives first.
    let mut store = Store::default();
    let at = |now: u64, made: u64, total: f64, amount: f64, unrecorded: f64| {
        let elapsed = Micros(9_000_000);
        (
            Micros(now),
            StoreReading {
                span: 7,
                elapsed,
                made: Micros(made),
                known_from: Micros(0),
                counted: 0.0,
                total,
                amount,
                unrecorded,
            },
        )
    };
    let mut level_after = |(now, reading): (Micros, StoreReading)| {
        store.apply_total(QUOTA, now, reading);
        store.level(QUOTA, now).expect("known after a total")
    };
    level_after(at(10, 0, 1.0, 1.0, 1.0));
    let low = level_after(at(30, 20, 7.0, 1.0, 1.0));
    assert!((low - 3.0).abs() < 0.01, "the total includes all three: {low}");
    assert!((level_after(at(40, 20, 6.0, 2.0, 2.0)) - 3.0).abs() < 0.01);
    assert!((level_after(at(50, 20, 4.0, 3.0, 3.0)) - 3.0).abs() < 0.01);
    // A call made after them changes nothing.
    assert!((level_after(at(70, 60, 7.0, 0.0, 0.0)) - 3.0).abs() < 0.01);
}
