//! A store followed by several gateways at once, over all interleavings, edges, kills and give-backs.

use starlinghill_rate_limit::{Micros, Quota, Store, StoreReading};

/// A total whose call was made after all that was heard.
fn told(span: (u64, Micros), now: Micros, total: f64, own: f64, fresh: f64) -> StoreReading {
    StoreReading {
        span: span.0,
        elapsed: span.1,
        made: now + Micros(1),
        known_from: Micros(0),
        posted: 0.0,
        total,
        own,
        fresh,
    }
}

const QUOTA: Quota = Quota { rate: 4.0, burst: 10.0 };
const SPAN: u64 = 20_000_000;
const LARGEST: f64 = 3.0;

/// The true store: what all gateways took from it, and how low it got.
struct Truth {
    level: f64,
    lowest: f64,
    at: u64,
}

impl Truth {
    fn new(at: u64) -> Truth {
        Truth { level: QUOTA.burst, lowest: QUOTA.burst, at }
    }
    fn now(&mut self, now: u64) -> f64 {
        let filled = self.level + QUOTA.rate * (now - self.at) as f64 / 1e6;
        (self.level, self.at) = (filled.min(QUOTA.burst), now);
        self.level
    }
    fn take(&mut self, now: u64, units: f64) {
        self.level = self.now(now) - units;
        self.lowest = self.lowest.min(self.level);
    }
}

/// Gateways before a counter that answers at once. Each admits by `floor` or by `level`.
struct World {
    rng: fastrand::Rng,
    start: u64,
    now: u64,
    total: f64,
    span: u64,
    stores: Vec<Store>,
    truth: Truth,
    asked: f64,
    admitted: f64,
    /// What an oracle lets through of the same requests.
    ideal: Truth,
    ideally: f64,
}

impl World {
    fn new(seed: u64, gateways: usize) -> World {
        let rng = fastrand::Rng::with_seed(seed);
        let now = 50 * SPAN + rng.clone().u64(0..SPAN);
        World {
            rng,
            start: now,
            now,
            total: 0.0,
            span: now / SPAN,
            stores: vec![Store::default(); gateways],
            truth: Truth::new(now),
            asked: 0.0,
            admitted: 0.0,
            ideal: Truth::new(now),
            ideally: 0.0,
        }
    }
    fn pass(&mut self, span: u64) {
        self.now += span;
        if self.now / SPAN != self.span {
            (self.span, self.total) = (self.now / SPAN, 0.0);
        }
    }
    fn add(&mut self, gateway: usize, amount: f64, fresh: f64) {
        self.total += amount;
        let span = (self.span, Micros(self.now % SPAN));
        let now = Micros(self.now);
        self.stores[gateway].apply_total(QUOTA, now, told(span, now, self.total, amount, fresh));
    }
    fn request(&mut self, gateway: usize, units: f64, by_floor: bool) {
        self.asked += units;
        if self.ideal.now(self.now) >= units {
            self.ideal.take(self.now, units);
            self.ideally += units;
        }
        self.add(gateway, units, units);
        let store = &self.stores[gateway];
        let left =
            if by_floor { store.floor() } else { store.level(QUOTA, Micros(self.now)).expect("heard") };
        if left >= 0.0 {
            self.admitted += units;
            self.truth.take(self.now, units);
        } else {
            self.stores[gateway].take(QUOTA, Micros(self.now), -units);
            self.add(gateway, -units, 0.0);
        }
    }
    /// The most that the quota lets through from the start until now.
    fn allowance(&self) -> f64 {
        QUOTA.burst + QUOTA.rate * (self.now - self.start) as f64 / 1e6
    }
    fn units(&mut self) -> f64 {
        f64::from(self.rng.u32(1..=LARGEST as u32))
    }
}

/// Requests come in swarms and pauses, through gateways that change, some of which are killed and start anew.
fn history(seed: u64, by_floor: bool) -> World {
    let mut world = World::new(seed, 2 + (seed % 3) as usize);
    let gateways = world.stores.len();
    let mut favourite = 0;
    for _ in 0..60 {
        match world.rng.u32(0..10) {
            0 => world.pass(1_000_000 + world.rng.clone().u64(0..9_000_000)),
            1 => favourite = world.rng.usize(0..gateways),
            2 if world.rng.u32(0..8) == 0 => world.stores[favourite] = Store::default(),
            _ => world.pass(world.rng.clone().u64(0..250_000)),
        }
        let gateway = if world.rng.u32(0..4) == 0 { world.rng.usize(0..gateways) } else { favourite };
        let units = world.units();
        world.request(gateway, units, by_floor);
    }
    world
}

#[test]
fn by_the_floor_all_gateways_together_keep_the_store_whatever_the_order() {
    for seed in 0..20_000 {
        let world = history(seed, true);
        assert!(world.truth.lowest >= -1e-6, "seed {seed}: {}", world.truth.lowest);
        assert!(world.admitted <= world.ideally + QUOTA.burst, "seed {seed}");
    }
}

#[test]
fn by_the_level_nearly_all_that_the_quota_holds_goes_through_and_little_more() {
    let (mut ideally, mut admitted, mut by_floor, mut worst) = (0.0, 0.0, 0.0, 0.0f64);
    for seed in 0..2_000 {
        let world = history(seed, false);
        ideally += world.ideally;
        admitted += world.admitted;
        worst = worst.max(world.admitted / world.allowance());
        by_floor += history(seed, true).admitted;
    }
    let part = |units: f64| units / ideally;
    println!(
        "level {:.3}, floor {:.3} of an oracle; worst {worst:.3} of its allowance",
        part(admitted),
        part(by_floor)
    );
    assert!(part(admitted) > 0.95 && part(admitted) < 1.08, "{}", part(admitted));
    assert!(by_floor < admitted, "the floor refuses more: {by_floor} against {admitted}");
}

#[test]
fn one_gateway_alone_knows_the_store_to_the_last_digit() {
    for seed in 0..500 {
        let mut world = World::new(seed, 1);
        // Its first total tells that nobody else took any since the span began; before that it can't know.
        world.pass(SPAN - world.now % SPAN + 3_000_000);
        world.truth = Truth::new(world.now);
        for _ in 0..100 {
            world.pass(world.rng.clone().u64(0..2_000_000));
            let units = world.units();
            if world.stores[0].level(QUOTA, Micros(world.now)).is_none_or(|level| level >= units) {
                world.request(0, units, false);
            }
            let (known, truth) =
                (world.stores[0].level(QUOTA, Micros(world.now)), world.truth.now(world.now));
            assert!((known.expect("heard") - truth).abs() < 1e-6, "seed {seed}: {known:?} of {truth}");
        }
    }
}

#[test]
fn a_total_that_falls_by_what_others_gave_back_raises_the_level() {
    let mut store = Store::default();
    let heard = |store: &mut Store, now, total, own| {
        let now = Micros(now);
        store.apply_total(QUOTA, now, told((7, Micros(9_000_000)), now, total, own, own));
        store.level(QUOTA, now).expect("heard")
    };
    assert_eq!(heard(&mut store, 0, 1.0, 1.0), 9.0);
    let low = heard(&mut store, 1_000, 8.0, 1.0);
    let back = heard(&mut store, 2_000, 5.0, 0.0);
    assert!((back - low - 3.0).abs() < 0.01, "{low} to {back}");
}

#[test]
fn an_emptied_counter_fills_nothing_up_and_the_floor_begins_anew() {
    let mut store = Store::default();
    let span = (7, Micros(9_000_000));
    // A moment far from the clock's beginning, as the store had time to fill.
    let at = |n: u64| Micros(60_000_000 + n);
    for n in 1..=9 {
        store.apply_total(QUOTA, at(n), told(span, at(n), n as f64, 1.0, 1.0));
    }
    let before = store.level(QUOTA, at(10)).expect("heard");
    store.apply_total(QUOTA, at(10), told(span, at(10), 1.0, 1.0, 1.0));
    let after = store.level(QUOTA, at(10)).expect("heard");
    assert!((before - after - 1.0).abs() < 0.01, "{before} to {after}");
    assert!((store.floor() + 1.0).abs() < 1e-3, "{}", store.floor());
}

#[test]
fn what_was_taken_unheard_is_not_taken_again_when_a_total_holds_it() {
    let mut store = Store::default();
    let span = (7, Micros(9_000_000));
    store.apply_total(QUOTA, Micros(0), told(span, Micros(0), 1.0, 1.0, 1.0));
    store.take(QUOTA, Micros(0), 4.0);
    assert_eq!(store.level(QUOTA, Micros(0)), Some(5.0));
    store.apply_total(QUOTA, Micros(0), told(span, Micros(0), 6.0, 5.0, 1.0));
    assert_eq!(store.level(QUOTA, Micros(0)), Some(4.0));
}

#[test]
fn what_others_took_before_an_edge_is_reckoned_by_habit() {
    let mut store = Store::default();
    let step = 100_000;
    // Others take two units ten times a second.
    for n in 0..20 {
        let now = Micros(n * step);
        store.apply_total(
            QUOTA,
            now,
            told((7, Micros(17_500_000 + n * step)), now, 2.0 * n as f64, 0.0, 0.0),
        );
    }
    let silent = Micros(19 * step + 2_000_000);
    // The last total was heard 0.6 s before the edge.
    store.apply_total(QUOTA, silent, told((8, Micros(1_400_000)), silent, 0.0, 0.0, 0.0));
    let level = store.level(QUOTA, silent).expect("heard");
    assert!(level < QUOTA.burst - 1.0, "{level}");
}

#[test]
fn answers_that_overtake_each_other_lose_and_take_nothing_twice() {
    // Three calls out at once; the counter took them in the order made, and the last answer comes first.
    let mut store = Store::default();
    let at = |now: u64, made: u64, total: f64, own: f64, fresh: f64| {
        let elapsed = Micros(9_000_000);
        (
            Micros(now),
            StoreReading {
                span: 7,
                elapsed,
                made: Micros(made),
                known_from: Micros(0),
                posted: 0.0,
                total,
                own,
                fresh,
            },
        )
    };
    let mut tell = |(now, told): (Micros, StoreReading)| {
        store.apply_total(QUOTA, now, told);
        store.level(QUOTA, now).expect("heard")
    };
    tell(at(10, 0, 1.0, 1.0, 1.0));
    let low = tell(at(30, 20, 7.0, 1.0, 1.0));
    assert!((low - 3.0).abs() < 0.01, "the total holds all three: {low}");
    assert!((tell(at(40, 20, 6.0, 2.0, 2.0)) - 3.0).abs() < 0.01);
    assert!((tell(at(50, 20, 4.0, 3.0, 3.0)) - 3.0).abs() < 0.01);
    // A call made after them tells nothing new.
    assert!((tell(at(70, 60, 7.0, 0.0, 0.0)) - 3.0).abs() < 0.01);
}
