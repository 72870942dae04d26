//! Tenants' requests over gateways that reach the counter or do not, while that moves: histories checked against the bound.

use starlinghill_quota_counter::{
    fill_part, max_granted_in_window, most_after_losses, own_share, Debts, Disruptions, Draw, LevelReading,
    QuotaCounter, Readings, RECALL, SILENT,
};
use starlinghill_rate_limit::{Allowance, Quota};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use test_case::test_case;

const NAME: u64 = 7;
const RATE: f64 = 100.0;
const BURST: f64 = 100.0;
const QUOTA: Quota = Quota { rate: RATE, burst: BURST };
const WINDOW: Duration = Duration::from_secs(5);
const ALLOWANCE: Allowance = Allowance { window_s: 5.0, excess: 0.1, extra: 20.0 };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn draw(owed: f64, units: f64) -> Draw {
    Draw { name: NAME, owed, units, rate: RATE, burst: BURST, service: 0, within_ms: 0 }
}

/// What a gateway does: it asks where it can, and goes by its share where it can't.
struct Gateway {
    life: u64,
    readings: Readings,
    debts: Debts,
    /// What the store had left as this gateway last heard it, and when.
    left: Option<(f64, Duration)>,
    last_said: Duration,
    share: f64,
    /// Its bucket while it decides by itself, and when it was last filled.
    alone: Option<(f64, Duration)>,
    cut_until: Duration,
}

impl Gateway {
    /// It says something to the counter: what it owes goes with that.
    fn tell(&mut self, now: Duration) -> f64 {
        self.debts.unheard_for((now - self.last_said).saturating_sub(SILENT));
        self.last_said = now;
        self.debts.take(NAME)
    }
}

struct World {
    rng: fastrand::Rng,
    now: Duration,
    gauge: Option<QuotaCounter>,
    term: u64,
    gateways: Vec<Gateway>,
    granted: Vec<Duration>,
    /// Of counters that are gone.
    violations: u64,
}

impl World {
    fn new(seed: u64, gateways: u64) -> World {
        let share = 1.0 / gateways as f64;
        let gateway = |life| Gateway {
            life,
            readings: Readings::default(),
            debts: Debts::default(),
            left: None,
            last_said: Duration::ZERO,
            share,
            alone: None,
            cut_until: Duration::ZERO,
        };
        let all: Vec<Gateway> = (1..=gateways).map(gateway).collect();
        let mut gauge = QuotaCounter::begin(Duration::ZERO, 1, true, ALLOWANCE, all.iter().map(|g| g.life));
        all.iter().for_each(|g| gauge.recall(Duration::ZERO, g.life, &[]));
        let (rng, gauge) = (fastrand::Rng::with_seed(seed), Some(gauge));
        World { rng, now: Duration::ZERO, gauge, term: 1, gateways: all, granted: Vec::new(), violations: 0 }
    }

    /// The counter is gone, or another one begins.
    fn lose_counter(&mut self) {
        self.violations += self.gauge.take().map_or(0, |gauge| gauge.violations());
    }

    /// All machines lose power: no gateway's process of now is one of before.
    fn lose_all(&mut self) {
        self.lose_counter();
        let share = 1.0 / self.gateways.len() as f64;
        for gateway in &mut self.gateways {
            gateway.life += 1_000;
            (gateway.readings, gateway.share, gateway.alone) = (Readings::default(), share, None);
            (gateway.debts, gateway.left, gateway.last_said) = (Debts::default(), None, self.now);
        }
    }

    fn new_counter(&mut self, waits_for_all: bool) {
        self.term += 1;
        let lives = self.gateways.iter().map(|g| g.life);
        let mut gauge = QuotaCounter::begin(self.now, self.term, false, ALLOWANCE, lives);
        for gateway in &mut self.gateways {
            if gateway.cut_until <= self.now || !waits_for_all {
                let readings = gateway.readings.all(self.now.as_micros() as u64);
                gauge.recall(self.now, gateway.life, &readings);
                gateway.debts.unheard_for(self.now - gateway.last_said);
                gateway.last_said = self.now;
            }
        }
        self.gauge = Some(gauge);
    }

    fn request(&mut self, at: usize) {
        let (now, gateway) = (self.now, &mut self.gateways[at]);
        let reached = gateway.cut_until <= now;
        let told = self.gauge.as_mut().filter(|_| reached);
        let owed = if told.is_some() { gateway.tell(now) } else { 0.0 };
        let level = told.and_then(|gauge| gauge.draw(now, gateway.life, &[draw(owed, 1.0)]));
        if level.is_none() {
            gateway.debts.charge(NAME, owed, RATE * gateway.share);
        }
        let granted = match level {
            Some(levels) => {
                let level = &levels[0];
                let unused = if level.level < 0.0 { 1.0 } else { 0.0 };
                gateway.readings.heard(NAME, level.level + unused, level.share, now.as_micros() as u64);
                (gateway.share, gateway.alone) = (level.share, None);
                gateway.left = Some((level.level.max(0.0), now));
                level.level >= 0.0
            }
            None => {
                // As the module does it: a bucket that starts with the gateway's part of what was left, as far as the
                // rules bear that, by chance where it is less than one request, and fills at the gateway's share.
                let left = gateway.left.map_or(0.0, |(left, at)| left + RATE * (now - at).as_secs_f64());
                let begins = left.min(ALLOWANCE.offline(QUOTA)) * gateway.share;
                let (level, filled) = gateway.alone.unwrap_or((begins + self.rng.f64(), now));
                let level = level + RATE * gateway.share * (now - filled).as_secs_f64();
                let level = level.min((BURST * gateway.share).max(1.0));
                let granted = level >= 1.0;
                if granted {
                    gateway.debts.charge(NAME, 1.0, RATE * gateway.share);
                }
                gateway.alone = Some((if granted { level - 1.0 } else { level }, now));
                granted
            }
        };
        if granted {
            self.granted.push(now);
        }
    }

    /// So many requests a second come, unevenly.
    fn run(&mut self, span: Duration, per_s: f64) {
        let until = self.now + span;
        while self.now < until {
            self.now += ms(10);
            let lives: BTreeSet<u64> = self.gateways.iter().map(|g| g.life).collect();
            let (now, gateways) = (self.now, &mut self.gateways);
            if let Some(gauge) = &mut self.gauge {
                // Who is in touch says something now and then.
                for gateway in gateways.iter_mut().filter(|g| g.cut_until <= now) {
                    if !gateway.life.is_multiple_of(2) || now.as_millis() % 100 == 0 {
                        let owed = gateway.tell(now);
                        let debts = if owed == 0.0 { vec![] } else { vec![draw(owed, 0.0)] };
                        if gauge.draw(now, gateway.life, &debts).is_none() {
                            gateway.debts.charge(NAME, owed, RATE * gateway.share);
                        }
                    }
                }
                gauge.tick(now, &lives);
            }
            for _ in 0..(per_s / 100.0) as usize {
                let (a, b) = (self.rng.usize(0..self.gateways.len()), self.rng.usize(0..self.gateways.len()));
                self.request(a.min(b));
            }
        }
    }

    /// The most that was granted in any span of that length. The counter itself saw no window with too much.
    fn busiest(&self, window: Duration) -> usize {
        assert_eq!(self.violations + self.gauge.as_ref().map_or(0, QuotaCounter::violations), 0);
        let mut from = 0;
        let mut most = 0;
        for (i, at) in self.granted.iter().enumerate() {
            while *at > self.granted[from] + window {
                from += 1;
            }
            most = most.max(i + 1 - from);
        }
        most
    }
}

fn bound(moves: u32, cut: f64) -> f64 {
    max_granted_in_window(
        QUOTA,
        ALLOWANCE,
        Disruptions { moves, late_s: (SILENT + ms(100)).as_secs_f64(), cut },
    )
    .min(allowed())
}

/// What the rules allow where the settings say a tenth and twenty.
fn allowed() -> f64 {
    let allowed = (RATE * 5.0 + BURST) * 1.1 + 20.0;
    assert!((ALLOWANCE.max_units(QUOTA) - allowed).abs() < 1e-9);
    allowed
}

#[test]
fn a_busy_tenant_gets_its_quota_and_no_more() {
    let mut world = World::new(1, 11);
    world.run(ms(20_000), 800.0);
    let most = world.busiest(ms(5_000)) as f64;
    assert!(most <= bound(0, 0.0) + 1.0, "{most}");
    assert!(world.granted.len() as f64 >= RATE * 19.0 + BURST, "{}", world.granted.len());
}

#[test_case(2; "two of eleven")]
#[test_case(4; "four of eleven")]
#[test_case(11; "all of them")]
fn gateways_that_are_cut_off_have_their_share_and_the_rest_leave_it_to_them(cut: usize) {
    for seed in 0..50 {
        let mut world = World::new(seed, 11);
        world.run(ms(8_000), 800.0);
        for i in 0..cut {
            world.gateways[i].cut_until = world.now + ms(10_000);
        }
        let part: f64 = world.gateways[..cut].iter().map(|g| g.share).sum();
        world.run(ms(20_000), 800.0);
        let most = world.busiest(ms(5_000)) as f64;
        assert!(most <= bound(0, part) + 2.0, "seed {seed}: {most} of {}", bound(0, part));
        assert!(most <= allowed(), "seed {seed}: {most} of {}", allowed());
    }
}

#[test_case(true; "all gateways tell it what they heard")]
#[test_case(false; "those that can do")]
fn a_counter_that_begins_grants_nothing_twice(all: bool) {
    for seed in 0..50 {
        let mut world = World::new(seed, 11);
        world.run(ms(6_000), 800.0);
        for _ in 0..3 {
            world.lose_counter();
            let gap = world.rng.u64(100..2_000);
            world.run(ms(gap), 800.0);
            world.new_counter(all);
            world.run(ms(2_500), 800.0);
        }
        let most = world.busiest(ms(5_000)) as f64;
        assert!(most <= bound(2, 0.0) + 11.0, "seed {seed}: {most}");
    }
}

#[test]
fn three_counters_in_a_row_that_begin_after_the_loss_of_all_keep_the_quota() {
    let all = most_after_losses(QUOTA, ALLOWANCE, 3);
    assert!(all <= allowed() + 1e-9, "{all} of {}", allowed());
    let mut busiest = 0;
    for seed in 0..60 {
        let mut world = World::new(seed, 11);
        // Some tenants have used all that they have by then, some nothing of late.
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
        let most = world.busiest(WINDOW);
        assert!(most as f64 <= all, "seed {seed}: {most} of {all}");
        busiest = busiest.max(most);
    }
    // What it begins with is given out.
    assert!(busiest as f64 > RATE * 5.0 + BURST, "{busiest}");
}

#[test]
fn after_the_loss_of_all_a_store_begins_with_a_part_of_what_the_rules_allow() {
    let part = ALLOWANCE.after_loss(QUOTA);
    assert!((part - 80.0 / 3.0).abs() < 1e-9, "{part}");
    let level = |recalled: &[LevelReading], all: bool| {
        let gauge = QuotaCounter::begin(ms(0), 3, false, ALLOWANCE, if all { vec![1] } else { vec![1, 2] });
        let mut gauge = gauge;
        gauge.recall(ms(1), 1, recalled);
        gauge.tick(RECALL, &BTreeSet::from([1]));
        gauge.draw(RECALL, 1, &[draw(0.0, 1.0)]).map(|levels| levels[0].level)
    };
    assert!(level(&[], true).is_some_and(|level| (level - part + 1.0).abs() < 1e-9));
    // One that did not answer may know; and one that knows of another store was not lost.
    assert_eq!(level(&[], false), Some(-1.0));
    assert_eq!(level(&[LevelReading { name: 8, level: 3.0, at: 1, share: 1.0 }], true), Some(-1.0));
}

#[test]
fn of_a_store_that_nobody_tells_of_the_worst_is_taken_but_at_the_first_start() {
    for (first, granted) in [(true, true), (false, false)] {
        let mut gauge = QuotaCounter::begin(ms(0), 3, first, ALLOWANCE, [1]);
        gauge.recall(ms(1), 1, &[]);
        let level = gauge.draw(ms(2), 1, &[draw(0.0, 50.0)]).map(|levels| levels[0].level >= 0.0);
        assert_eq!(level, Some(granted));
    }
}

/// What a store that was empty holds after so long, beside a gateway that spoke until then, or comes then and never speaks.
fn left_beside_a_silent_one(comes_late: bool, silent_ms: u64) -> f64 {
    let mut gauge = QuotaCounter::begin(ms(0), 1, true, ALLOWANCE, [1]);
    gauge.recall(ms(0), 1, &[]);
    gauge.draw(ms(0), 1, &[draw(0.0, BURST)]);
    if !comes_late {
        gauge.recall(ms(0), 2, &[]);
        gauge.tick(ms(0), &BTreeSet::from([1, 2]));
    }
    gauge.draw(ms(20_000), 1, &[]);
    gauge.tick(ms(20_000), &BTreeSet::from([1]));
    // Empty again: what it had is used.
    gauge.draw(ms(20_000), 1, &[draw(BURST, 0.0)]);
    if !comes_late {
        gauge.recall(ms(20_000), 2, &[]);
    }
    let both = BTreeSet::from([1, 2]);
    gauge.tick(ms(20_000), &both);
    gauge.draw(ms(20_000), 1, &[draw(0.0, 0.0)]);
    gauge.draw(ms(20_000 + silent_ms), 1, &[]);
    gauge.tick(ms(20_000 + silent_ms), &both);
    gauge.draw(ms(20_000 + silent_ms), 1, &[draw(0.0, 0.0)]).map_or(0.0, |levels| levels[0].level)
}

/// A gateway that has just been started, or was taken for dead, used nothing while nobody knew of it: charging its share for
/// all the time since the counter began emptied every store (formeli-gw, a surge beside two restarts).
#[test]
fn a_gateway_that_comes_late_is_charged_for_nothing_before() {
    let spoke = left_beside_a_silent_one(false, 500);
    assert!((spoke - RATE * 0.5).abs() < 1.0, "{spoke}");
    // From its first moment on it may decide by itself.
    let comes = left_beside_a_silent_one(true, 500);
    assert!((comes - RATE * 0.5 * (0.5 + 0.1 / 3.0)).abs() < 1.0, "{comes}");
}

#[test]
fn what_a_silent_gateway_may_have_used_before_that_was_noticed_is_kept_free() {
    // Of the half that it goes by as a stranger, a thirtieth is granted on top.
    let left = left_beside_a_silent_one(false, 700);
    assert!((left - RATE * 0.7 * (0.5 + 0.1 / 3.0)).abs() < 1.0, "{left}");
}

#[test]
fn a_counter_answers_nobody_before_it_has_asked_all_or_waited() {
    let mut gauge = QuotaCounter::begin(ms(0), 2, false, ALLOWANCE, [1, 2]);
    gauge.recall(ms(1), 1, &[]);
    assert_eq!(gauge.draw(ms(2), 1, &[draw(0.0, 1.0)]), None);
    gauge.tick(RECALL + ms(1), &BTreeSet::from([1, 2]));
    assert!(gauge.draw(RECALL + ms(2), 1, &[draw(0.0, 1.0)]).is_some());
    // One that has not said what it heard is not answered, whenever it comes.
    assert_eq!(gauge.draw(RECALL + ms(2), 9, &[draw(0.0, 1.0)]), None);
}

#[test]
fn what_is_owed_is_taken_in_any_case_and_shuts_nobody_out_for_long() {
    let mut gauge = QuotaCounter::begin(ms(0), 1, true, ALLOWANCE, [1]);
    gauge.recall(ms(0), 1, &[]);
    let level = gauge.draw(ms(1), 1, &[draw(1_000.0, 1.0)]).map(|levels| levels[0].level);
    assert_eq!(level, Some(-BURST - 1.0));
    let later = gauge.draw(ms(1_200), 1, &[draw(0.0, 1.0)]).map(|levels| levels[0].level >= 0.0);
    assert_eq!(later, Some(true));
}

#[test]
fn shares_sum_to_one_and_the_excess_is_for_the_silent() {
    let drew = [10.0, 5.0, 0.0, 1.0];
    let sum: f64 = drew.iter().map(|d| own_share(*d, drew.iter().sum(), drew.len())).sum();
    assert!((sum - 1.0).abs() < 1e-9, "{sum}");
    assert_eq!(fill_part(0, 11, ALLOWANCE), 1.0);
    assert!((fill_part(11, 11, ALLOWANCE) - 0.1 / 3.0).abs() < 1e-9);
}

/// Gateways through which a tenant comes one after the other: each is its main one when it is told its share.
#[test]
fn shares_that_were_told_at_different_moments_never_sum_past_one_also_beside_a_counter_that_begins() {
    let gateways: BTreeSet<u64> = (1..=10).collect();
    let mut told: BTreeMap<u64, f64> = BTreeMap::new();
    for term in 1..=2 {
        let mut gauge = QuotaCounter::begin(ms(0), term, term == 1, ALLOWANCE, gateways.iter().copied());
        for gateway in &gateways {
            let reading = |share: &f64| LevelReading { name: NAME, level: BURST, at: 1, share: *share };
            gauge.recall(ms(0), *gateway, &Vec::from_iter(told.get(gateway).map(reading)));
        }
        for (turn, gateway) in (0..).zip(&gateways) {
            let now = ms(1 + turn * 3_000);
            gauge.tick(now, &gateways);
            let drawn = (0..50).filter_map(|_| gauge.draw(now, *gateway, &[draw(0.0, 1.0)])).last();
            told.insert(*gateway, drawn.expect("answered")[0].share);
            let sum: f64 = told.values().sum();
            assert!(sum <= 1.0 + 1e-9, "term {term}, gateway {gateway}: {sum}, {told:?}");
        }
        assert!(told.values().sum::<f64>() > 0.5, "{told:?}");
    }
}
