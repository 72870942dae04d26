//! Quotas over a whole fleet, with the real decisions of its gateways and the real counter.

mod fleet;

use fleet::{allowed, busiest_of, Fleet, Play, BURST, RATE};
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..12;
/// The part of its quota that a tenant gets at least while it asks for more.
const MOSTLY: f64 = 0.9;
/// Seeds of random troubles in CI; more by `QUOTA_SEEDS`.
const TROUBLED_SEEDS: u64 = 60;

fn assert_within(busiest: &std::collections::BTreeMap<u64, usize>) {
    let over: Vec<_> = busiest.iter().filter(|(_, most)| **most as f64 > allowed()).collect();
    assert!(over.is_empty(), "allowed {}, seeds with more: {over:?}", allowed());
}

/// A surge of a tenant, at gateways that now and then stand still so long that the counter's answers come too late for the
/// requests that they are for.
#[test]
fn a_surge_keeps_its_quota_where_answers_of_the_counter_come_late() {
    assert_within(&busiest_of(SEEDS, |seed| {
        let mut fleet = Fleet::new(Play { seed, gateways: 40, one_late_in: 40 });
        fleet.run(Duration::from_secs(4), 60.0);
        fleet.run(Duration::from_secs(8), 800.0);
        assert!(fleet.late > 100, "seed {seed}: {}", fleet.late);
        assert!(
            fleet.granted.len() as f64 > MOSTLY * (BURST + RATE * 8.0),
            "seed {seed}: {}",
            fleet.granted.len()
        );
        fleet
    }));
}

/// The incident on kamau-games-gw: some gateways are cut off from the counter soon after a surge began.
#[test]
fn a_surge_keeps_its_quota_where_gateways_are_cut_off_in_its_first_second() {
    assert_within(&busiest_of(SEEDS, |seed| {
        let mut fleet = Fleet::new(Play { seed, gateways: 11, one_late_in: 2_000 });
        fleet.run(Duration::from_secs(4), 60.0);
        fleet.run(Duration::from_millis(100 * (seed % 8)), 800.0);
        fleet.cut(3, Duration::from_secs(6));
        fleet.run(Duration::from_secs(8), 800.0);
        fleet
    }));
}

/// Up to three troubles at a time befall the fleet while a tenant asks for far more than its quota now and then.
fn troubled(seed: u64) -> Fleet {
    let mut rng = fastrand::Rng::with_seed(seed);
    let gateways = rng.usize(3..30);
    let mut fleet = Fleet::new(Play { seed, gateways, one_late_in: rng.u64(20..2_000) });
    for _ in 0..12 {
        for _ in 0..rng.usize(0..=3) {
            let (at, span) = (rng.usize(0..fleet.gateways()), Duration::from_millis(rng.u64(50..4_000)));
            match rng.u32(0..5) {
                0 => (0..fleet.gateways() / 4).for_each(|at| fleet.cut_one(at, span, false)),
                1 => fleet.cut_one(at, span, true),
                2 => fleet.restart(at, span),
                3 => fleet.move_counter(span / 3),
                _ => fleet.cut_one(at, span, false),
            }
        }
        let (span, per_s) = (rng.u64(100..2_500), rng.choice([30.0, 90.0, 400.0, 900.0]).unwrap_or(90.0));
        fleet.run(Duration::from_millis(span), per_s);
    }
    fleet
}

#[test]
fn a_tenant_keeps_its_quota_while_gateways_and_the_counter_are_lost_cut_off_and_late() {
    let more = std::env::var("QUOTA_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    assert_within(&busiest_of(0..more.unwrap_or(TROUBLED_SEEDS), troubled));
}
