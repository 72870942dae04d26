//! Random histories of one tenant's requests through several gateways, some of them cut off, while the counter moves or is
//! lost. The requests granted in any window are checked against the bound.

use starlinghill_quota_counter::{
    fill_fraction, max_granted_after_losses, max_granted_in_window, own_share, Disruptions, Draw,
    LevelReading, LevelReadings, QuotaCounter, UnreportedUsage, GATEWAY_SILENT_AFTER, RECOVERY_TIMEOUT,
};
use starlinghill_rate_limit::{Allowance, Quota};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use test_case::test_case;

const BUCKET: u64 = 7;
const RATE: f64 = 100.0;
const BURST: f64 = 100.0;
const QUOTA: Quota = Quota { rate: RATE, burst: BURST };
const WINDOW: Duration = Duration::from_secs(5);
const ALLOWANCE: Allowance = Allowance { window_s: 5.0, excess: 0.1, extra: 20.0 };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn draw(unreported: f64, units: f64) -> Draw {
    Draw { bucket: BUCKET, unreported, units, rate: RATE, burst: BURST, service: 0, max_response_ms: 0 }
}

/// A gateway that draws from the counter when it can, and otherwise decides by its share.
struct Gateway {
    incarnation: u64,
    readings: LevelReadings,
    unreported: UnreportedUsage,
    /// The last level that the gateway received, and when.
    last_level: Option<(f64, Duration)>,
    sent_at: Duration,
    share: f64,
    /// The level of its own bucket while it decides by itself, and when that was last filled.
    own_bucket: Option<(f64, Duration)>,
    cut_off_until: Duration,
}

impl Gateway {
    /// Prepares a message to the counter, and returns the unreported units that go with it.
    fn report(&mut self, now: Duration) -> f64 {
        self.unreported.deduct_own_share((now - self.sent_at).saturating_sub(GATEWAY_SILENT_AFTER));
        self.sent_at = now;
        self.unreported.take(BUCKET)
    }
}

struct World {
    rng: fastrand::Rng,
    now: Duration,
    counter: Option<QuotaCounter>,
    term: u64,
    gateways: Vec<Gateway>,
    /// When each granted request came.
    granted: Vec<Duration>,
    /// The violations that earlier counters saw.
    violations: u64,
}

impl World {
    fn new(seed: u64, gateways: u64) -> World {
        let share = 1.0 / gateways as f64;
        let gateway = |incarnation| Gateway {
            incarnation,
            readings: LevelReadings::default(),
            unreported: UnreportedUsage::default(),
            last_level: None,
            sent_at: Duration::ZERO,
            share,
            own_bucket: None,
            cut_off_until: Duration::ZERO,
        };
        let all: Vec<Gateway> = (1..=gateways).map(gateway).collect();
        let mut counter =
            QuotaCounter::start(Duration::ZERO, 1, true, ALLOWANCE, all.iter().map(|g| g.incarnation));
        all.iter().for_each(|g| counter.apply_readings(Duration::ZERO, g.incarnation, &[]));
        let (rng, counter) = (fastrand::Rng::with_seed(seed), Some(counter));
        World {
            rng,
            now: Duration::ZERO,
            counter,
            term: 1,
            gateways: all,
            granted: Vec::new(),
            violations: 0,
        }
    }

    /// The process of the counter dies.
    fn lose_counter(&mut self) {
        self.violations += self.counter.take().map_or(0, |counter| counter.violations());
    }

    /// All machines lose power: the counter is lost, and every gateway starts again as a new incarnation.
    fn lose_all(&mut self) {
        self.lose_counter();
        let share = 1.0 / self.gateways.len() as f64;
        for gateway in &mut self.gateways {
            gateway.incarnation += 1_000;
            (gateway.readings, gateway.share, gateway.own_bucket) = (LevelReadings::default(), share, None);
            (gateway.unreported, gateway.last_level, gateway.sent_at) =
                (UnreportedUsage::default(), None, self.now);
        }
    }

    /// Another process starts a counter and receives the gateways' readings, with or without those that are cut off.
    fn new_counter(&mut self, skips_cut_off: bool) {
        self.term += 1;
        let incarnations = self.gateways.iter().map(|g| g.incarnation);
        let mut counter = QuotaCounter::start(self.now, self.term, false, ALLOWANCE, incarnations);
        for gateway in &mut self.gateways {
            if gateway.cut_off_until <= self.now || !skips_cut_off {
                let readings = gateway.readings.current(self.now.as_micros() as u64);
                counter.apply_readings(self.now, gateway.incarnation, &readings);
                gateway.unreported.deduct_own_share(self.now - gateway.sent_at);
                gateway.sent_at = self.now;
            }
        }
        self.counter = Some(counter);
    }

    /// Sends one request through the gateway with this index.
    fn request(&mut self, index: usize) {
        let (now, gateway) = (self.now, &mut self.gateways[index]);
        let is_connected = gateway.cut_off_until <= now;
        let reachable = self.counter.as_mut().filter(|_| is_connected);
        let reported = if reachable.is_some() { gateway.report(now) } else { 0.0 };
        let level =
            reachable.and_then(|counter| counter.draw(now, gateway.incarnation, &[draw(reported, 1.0)]));
        if level.is_none() {
            gateway.unreported.add(BUCKET, reported, RATE * gateway.share);
        }
        let granted = match level {
            Some(levels) => {
                let level = &levels[0];
                let unused = if level.level < 0.0 { 1.0 } else { 0.0 };
                gateway.readings.record(BUCKET, level.level + unused, level.share, now.as_micros() as u64);
                (gateway.share, gateway.own_bucket) = (level.share, None);
                gateway.last_level = Some((level.level.max(0.0), now));
                level.level >= 0.0
            }
            None => {
                // As in the gateway: its own bucket starts with its share of the last known level, up to a limit of the
                // rules, and fills at its share of the rate. A random fraction decides when the start is below one unit.
                let last_level = gateway
                    .last_level
                    .map_or(0.0, |(last_level, at)| last_level + RATE * (now - at).as_secs_f64());
                let start = last_level.min(ALLOWANCE.offline(QUOTA)) * gateway.share;
                let (level, filled_at) = gateway.own_bucket.unwrap_or((start + self.rng.f64(), now));
                let level = level + RATE * gateway.share * (now - filled_at).as_secs_f64();
                let level = level.min((BURST * gateway.share).max(1.0));
                let granted = level >= 1.0;
                if granted {
                    gateway.unreported.add(BUCKET, 1.0, RATE * gateway.share);
                }
                gateway.own_bucket = Some((if granted { level - 1.0 } else { level }, now));
                granted
            }
        };
        if granted {
            self.granted.push(now);
        }
    }

    /// Runs for `span` with `per_s` requests a second, unevenly spread over the gateways.
    fn run(&mut self, span: Duration, per_s: f64) {
        let until = self.now + span;
        while self.now < until {
            self.now += ms(10);
            let incarnations: BTreeSet<u64> = self.gateways.iter().map(|g| g.incarnation).collect();
            let (now, gateways) = (self.now, &mut self.gateways);
            if let Some(counter) = &mut self.counter {
                // Gateways that reach the counter keep in touch, some of them at every step and some every 100 ms.
                for gateway in gateways.iter_mut().filter(|g| g.cut_off_until <= now) {
                    if !gateway.incarnation.is_multiple_of(2) || now.as_millis() % 100 == 0 {
                        let reported = gateway.report(now);
                        let unreported = if reported == 0.0 { vec![] } else { vec![draw(reported, 0.0)] };
                        if counter.draw(now, gateway.incarnation, &unreported).is_none() {
                            gateway.unreported.add(BUCKET, reported, RATE * gateway.share);
                        }
                    }
                }
                counter.tick(now, &incarnations);
            }
            for _ in 0..(per_s / 100.0) as usize {
                let (a, b) = (self.rng.usize(0..self.gateways.len()), self.rng.usize(0..self.gateways.len()));
                self.request(a.min(b));
            }
        }
    }

    /// The most requests that were granted in any window of this length. Also checks that no counter saw a violation.
    fn max_granted(&self, window: Duration) -> usize {
        assert_eq!(self.violations + self.counter.as_ref().map_or(0, QuotaCounter::violations), 0);
        let mut from = 0;
        let mut max = 0;
        for (i, at) in self.granted.iter().enumerate() {
            while *at > self.granted[from] + window {
                from += 1;
            }
            max = max.max(i + 1 - from);
        }
        max
    }
}

/// The most that may be granted in a window with these disruptions, but never more than the rules allow.
fn bound(counter_moves: u32, cut_off_fraction: f64) -> f64 {
    max_granted_in_window(
        QUOTA,
        ALLOWANCE,
        Disruptions {
            counter_moves,
            detection_delay_s: (GATEWAY_SILENT_AFTER + ms(100)).as_secs_f64(),
            cut_off_fraction,
        },
    )
    .min(allowed())
}

/// The most that the rules allow in a window of 5 s, with an excess of a tenth and 20 extra requests.
fn allowed() -> f64 {
    let allowed = (RATE * 5.0 + BURST) * 1.1 + 20.0;
    assert!((ALLOWANCE.max_units(QUOTA) - allowed).abs() < 1e-9);
    allowed
}

#[test]
fn a_tenant_over_its_quota_gets_the_quota_and_no_more() {
    let mut world = World::new(1, 11);
    world.run(ms(20_000), 800.0);
    let max = world.max_granted(ms(5_000)) as f64;
    assert!(max <= bound(0, 0.0) + 1.0, "{max}");
    assert!(world.granted.len() as f64 >= RATE * 19.0 + BURST, "{}", world.granted.len());
}

#[test_case(2; "two of eleven gateways")]
#[test_case(4; "four of eleven gateways")]
#[test_case(11; "all gateways")]
fn gateways_that_are_cut_off_use_their_shares_and_the_counter_does_not_grant_these_again(cut_off: usize) {
    for seed in 0..50 {
        let mut world = World::new(seed, 11);
        world.run(ms(8_000), 800.0);
        for i in 0..cut_off {
            world.gateways[i].cut_off_until = world.now + ms(10_000);
        }
        let part: f64 = world.gateways[..cut_off].iter().map(|g| g.share).sum();
        world.run(ms(20_000), 800.0);
        let max = world.max_granted(ms(5_000)) as f64;
        assert!(max <= bound(0, part) + 2.0, "seed {seed}: {max} of {}", bound(0, part));
        assert!(max <= allowed(), "seed {seed}: {max} of {}", allowed());
    }
}

#[test_case(true; "that skips gateways that are cut off")]
#[test_case(false; "that takes the readings of every gateway")]
fn a_new_counter_grants_no_unit_a_second_time(skips_cut_off: bool) {
    for seed in 0..50 {
        let mut world = World::new(seed, 11);
        world.run(ms(6_000), 800.0);
        for _ in 0..3 {
            world.lose_counter();
            let gap = world.rng.u64(100..2_000);
            world.run(ms(gap), 800.0);
            world.new_counter(skips_cut_off);
            world.run(ms(2_500), 800.0);
        }
        let max = world.max_granted(ms(5_000)) as f64;
        assert!(max <= bound(2, 0.0) + 11.0, "seed {seed}: {max}");
    }
}

#[test]
fn the_quota_holds_over_three_losses_of_the_counter_and_all_gateways() {
    let all = max_granted_after_losses(QUOTA, ALLOWANCE, 3);
    assert!(all <= allowed() + 1e-9, "{all} of {}", allowed());
    let mut max_granted = 0;
    for seed in 0..60 {
        let mut world = World::new(seed, 11);
        // The bucket may be empty by then, or full.
        let before = world.rng.u64(0..6_000);
        world.run(ms(before), 800.0);
        for _ in 0..3 {
            world.lose_all();
            let gap = world.rng.u64(0..1_000);
            world.run(ms(gap), 800.0);
            world.new_counter(true);
            let held = world.rng.u64(10..1_500);
            world.run(ms(held), 800.0);
        }
        world.run(ms(3_000), 800.0);
        let max = world.max_granted(WINDOW);
        assert!(max as f64 <= all, "seed {seed}: {max} of {all}");
        max_granted = max_granted.max(max);
    }
    // Guards against histories in which a new bucket starts empty: the units that it starts with are granted.
    assert!(max_granted as f64 > RATE * 5.0 + BURST, "{max_granted}");
}

#[test]
fn after_the_loss_of_all_processes_a_bucket_starts_with_a_part_of_the_allowed_excess() {
    let part = ALLOWANCE.after_loss(QUOTA);
    assert!((part - 80.0 / 3.0).abs() < 1e-9, "{part}");
    let level = |recalled: &[LevelReading], all: bool| {
        let awaited = if all { vec![1] } else { vec![1, 2] };
        let mut counter = QuotaCounter::start(ms(0), 3, false, ALLOWANCE, awaited);
        counter.apply_readings(ms(1), 1, recalled);
        counter.tick(RECOVERY_TIMEOUT, &BTreeSet::from([1]));
        counter.draw(RECOVERY_TIMEOUT, 1, &[draw(0.0, 1.0)]).map(|levels| levels[0].level)
    };
    assert!(level(&[], true).is_some_and(|level| (level - part + 1.0).abs() < 1e-9));
    // A gateway that did not report may know the level, and one with a reading of another bucket was not lost.
    assert_eq!(level(&[], false), Some(-1.0));
    assert_eq!(level(&[LevelReading { bucket: 8, level: 3.0, at_us: 1, share: 1.0 }], true), Some(-1.0));
}

#[test]
fn a_bucket_that_no_gateway_reports_starts_empty_except_at_the_first_start_of_the_system() {
    for (first, granted) in [(true, true), (false, false)] {
        let mut counter = QuotaCounter::start(ms(0), 3, first, ALLOWANCE, [1]);
        counter.apply_readings(ms(1), 1, &[]);
        let level = counter.draw(ms(2), 1, &[draw(0.0, 50.0)]).map(|levels| levels[0].level >= 0.0);
        assert_eq!(level, Some(granted));
    }
}

/// The level of a bucket `silent_ms` after it was empty, beside a silent gateway. That gateway was heard until then, or, if
/// `joins_late`, starts then and is never heard.
fn level_beside_a_silent_gateway(joins_late: bool, silent_ms: u64) -> f64 {
    let mut counter = QuotaCounter::start(ms(0), 1, true, ALLOWANCE, [1]);
    counter.apply_readings(ms(0), 1, &[]);
    counter.draw(ms(0), 1, &[draw(0.0, BURST)]);
    if !joins_late {
        counter.apply_readings(ms(0), 2, &[]);
        counter.tick(ms(0), &BTreeSet::from([1, 2]));
    }
    counter.draw(ms(20_000), 1, &[]);
    counter.tick(ms(20_000), &BTreeSet::from([1]));
    // Empties the bucket.
    counter.draw(ms(20_000), 1, &[draw(BURST, 0.0)]);
    if !joins_late {
        counter.apply_readings(ms(20_000), 2, &[]);
    }
    let both = BTreeSet::from([1, 2]);
    counter.tick(ms(20_000), &both);
    counter.draw(ms(20_000), 1, &[draw(0.0, 0.0)]);
    counter.draw(ms(20_000 + silent_ms), 1, &[]);
    counter.tick(ms(20_000 + silent_ms), &both);
    counter.draw(ms(20_000 + silent_ms), 1, &[draw(0.0, 0.0)]).map_or(0.0, |levels| levels[0].level)
}

/// A gateway that has just started, or was taken for dead, used nothing before the counter knew of it. Reserving its share
/// for the whole time since the counter started emptied every bucket in a surge of requests beside two restarts.
#[test]
fn no_share_is_reserved_for_the_time_before_a_gateway_started() {
    let heard_until_then = level_beside_a_silent_gateway(false, 500);
    assert!((heard_until_then - RATE * 0.5).abs() < 1.0, "{heard_until_then}");
    // From its start on it may decide by itself.
    let started_then = level_beside_a_silent_gateway(true, 500);
    assert!((started_then - RATE * 0.5 * (0.5 + 0.1 / 3.0)).abs() < 1.0, "{started_then}");
}

#[test]
fn a_silent_gateways_share_is_reserved_from_the_moment_it_was_last_heard() {
    // It was never answered, so its share is one half. Of that, the rules let a thirtieth be granted on top.
    let level = level_beside_a_silent_gateway(false, 700);
    assert!((level - RATE * 0.7 * (0.5 + 0.1 / 3.0)).abs() < 1.0, "{level}");
}

#[test]
fn a_new_counter_answers_no_draw_before_all_gateways_have_reported_or_the_timeout() {
    let mut counter = QuotaCounter::start(ms(0), 2, false, ALLOWANCE, [1, 2]);
    counter.apply_readings(ms(1), 1, &[]);
    assert_eq!(counter.draw(ms(2), 1, &[draw(0.0, 1.0)]), None);
    counter.tick(RECOVERY_TIMEOUT + ms(1), &BTreeSet::from([1, 2]));
    assert!(counter.draw(RECOVERY_TIMEOUT + ms(2), 1, &[draw(0.0, 1.0)]).is_some());
    // A gateway that has not reported its readings is not answered, however late it is.
    assert_eq!(counter.draw(RECOVERY_TIMEOUT + ms(2), 9, &[draw(0.0, 1.0)]), None);
}

#[test]
fn unreported_units_are_always_taken_but_block_a_tenant_only_for_a_short_time() {
    let mut counter = QuotaCounter::start(ms(0), 1, true, ALLOWANCE, [1]);
    counter.apply_readings(ms(0), 1, &[]);
    let level = counter.draw(ms(1), 1, &[draw(1_000.0, 1.0)]).map(|levels| levels[0].level);
    assert_eq!(level, Some(-BURST - 1.0));
    let later = counter.draw(ms(1_200), 1, &[draw(0.0, 1.0)]).map(|levels| levels[0].level >= 0.0);
    assert_eq!(later, Some(true));
}

#[test]
fn shares_sum_to_one_and_the_excess_is_granted_beside_silent_gateways() {
    let demand = [10.0, 5.0, 0.0, 1.0];
    let sum: f64 = demand.iter().map(|d| own_share(*d, demand.iter().sum(), demand.len())).sum();
    assert!((sum - 1.0).abs() < 1e-9, "{sum}");
    assert_eq!(fill_fraction(0, 11, ALLOWANCE), 1.0);
    assert!((fill_fraction(11, 11, ALLOWANCE) - 0.1 / 3.0).abs() < 1e-9);
}

/// The tenant's requests come through one gateway after the other, so that each has the main part of the demand when its
/// share is assigned. A second counter then recovers these shares.
#[test]
fn shares_assigned_at_different_moments_never_sum_to_more_than_one_not_even_after_recovery() {
    let gateways: BTreeSet<u64> = (1..=10).collect();
    let mut assigned: BTreeMap<u64, f64> = BTreeMap::new();
    for term in 1..=2 {
        let mut counter = QuotaCounter::start(ms(0), term, term == 1, ALLOWANCE, gateways.iter().copied());
        for gateway in &gateways {
            let reading =
                |share: &f64| LevelReading { bucket: BUCKET, level: BURST, at_us: 1, share: *share };
            counter.apply_readings(ms(0), *gateway, &Vec::from_iter(assigned.get(gateway).map(reading)));
        }
        for (turn, gateway) in (0..).zip(&gateways) {
            let now = ms(1 + turn * 3_000);
            counter.tick(now, &gateways);
            let drawn = (0..50).filter_map(|_| counter.draw(now, *gateway, &[draw(0.0, 1.0)])).last();
            assigned.insert(*gateway, drawn.expect("answered")[0].share);
            let sum: f64 = assigned.values().sum();
            assert!(sum <= 1.0 + 1e-9, "term {term}, gateway {gateway}: {sum}, {assigned:?}");
        }
        assert!(assigned.values().sum::<f64>() > 0.5, "{assigned:?}");
    }
}

/// The level that a bucket fills up to within a second at a new counter, with four gateways that have reported shares of
/// `reported` each, and seven that were never heard. They hold the rest of the shares and decide by it.
fn level_beside_unheard_gateways(reported: f64) -> f64 {
    let (heard, all) = (1..=4, BTreeSet::from_iter(1..=11));
    let mut counter = QuotaCounter::start(ms(0), 2, false, ALLOWANCE, heard.clone());
    for gateway in heard.clone() {
        let reading = LevelReading { bucket: BUCKET, level: 0.0, at_us: 1, share: reported };
        counter.apply_readings(ms(0), gateway, &[reading]);
    }
    let mut level = 0.0;
    for step in 0..=20 {
        let now = ms(50 * step);
        for gateway in heard.clone() {
            let levels = counter.draw(now, gateway, &[draw(0.0, 0.0)]);
            level = levels.expect("open")[0].level;
        }
        counter.tick(now, &all);
    }
    level
}

// Guards against a counter that starts while most gateways are cut off, and grants their shares once more (QUOTA, issue 58).
#[test_case(0.05, 0.2; "the gateways that are heard hold little")]
#[test_case(0.09, 4.0 / 11.0; "the shares are even")]
#[test_case(0.25, 4.0 / 11.0; "the gateways that are heard hold all")]
fn a_new_counter_reserves_the_shares_that_were_not_reported_for_the_gateways_that_it_does_not_hear(
    reported: f64,
    free: f64,
) {
    let level = level_beside_unheard_gateways(reported);
    let expected = RATE * (free + 0.1 / 3.0);
    assert!((level - expected).abs() < 2.0, "{level}, expected {expected}");
}
