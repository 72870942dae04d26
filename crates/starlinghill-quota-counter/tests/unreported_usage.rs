//! What a gateway used without the counter's word is charged once, and what the store gave for nothing goes back.

use starlinghill_quota_counter::{Allowance, Draw, DrawOutcome, QuotaCounter, UnreportedUsage};
use std::time::Duration;
use test_case::test_case;

const NAME: u64 = 4;
const RATE: f64 = 10.0;

#[test_case(DrawOutcome::Granted, true, 0.0; "granted in time: the request went on by that")]
#[test_case(DrawOutcome::Granted, false, -1.0; "granted too late: it goes back")]
#[test_case(DrawOutcome::Refused, true, 0.0; "refused in time")]
#[test_case(DrawOutcome::Refused, false, 0.0; "refused too late: nothing was taken")]
#[test_case(DrawOutcome::Unknown, false, 3.0; "nobody knows: what it carried is told again")]
fn a_draw_that_carried_three_units_and_wanted_one_leaves_a_debt_of(
    end: DrawOutcome,
    waited: bool,
    left: f64,
) {
    let mut debts = UnreportedUsage::default();
    debts.add(NAME, 3.0, RATE);
    let owed = debts.take(NAME);
    assert_eq!(owed, 3.0);
    debts.settle_draw(NAME, (owed, 1.0), end, waited);
    assert_eq!(debts.take(NAME), left);
    assert!(debts.is_empty());
}

#[test]
fn what_a_gateway_used_while_it_told_nobody_is_paid_by_its_share_and_what_goes_back_is_not() {
    let mut debts = UnreportedUsage::default();
    debts.add(NAME, 25.0, RATE);
    debts.add(NAME + 1, -2.0, RATE);
    debts.deduct_own_share(Duration::from_secs(2));
    assert_eq!(debts.take(NAME), 5.0);
    assert_eq!(debts.take(NAME + 1), -2.0);
    debts.add(NAME, 25.0, RATE);
    debts.deduct_own_share(Duration::from_secs(3));
    assert!(debts.is_empty());
}

#[test]
fn debts_of_many_stores_are_told_in_parts_each_once() {
    let mut debts = UnreportedUsage::default();
    (0..10).for_each(|name| debts.add(name, 1.0, RATE));
    let mut told: Vec<(u64, f64)> = debts.take_up_to(6);
    assert_eq!(told.len(), 6);
    told.extend(debts.take_up_to(6));
    told.sort_by_key(|(name, _)| *name);
    assert_eq!(told, (0..10).map(|name| (name, 1.0)).collect::<Vec<_>>());
    assert!(debts.is_empty());
}

fn counter() -> QuotaCounter {
    let allowance = Allowance { window_s: 5.0, excess: 0.1, extra: 20.0 };
    let mut gauge = QuotaCounter::start(Duration::ZERO, 1, true, allowance, [1]);
    gauge.apply_readings(Duration::ZERO, 1, &[]);
    gauge
}

fn tell(gauge: &mut QuotaCounter, at: Duration, owed: f64) {
    let draw = Draw {
        bucket: NAME,
        unreported: owed,
        units: 0.0,
        rate: RATE,
        burst: RATE,
        service: 0,
        max_response_ms: 0,
    };
    assert!(gauge.draw(at, 1, &[draw]).is_some());
}

/// Ten units a second and ten at once: 86 in five seconds, and 97 in five and a half, by which it is counted.
#[test]
fn a_count_that_more_went_on_than_the_rules_allow_in_a_window_is_a_violation_and_one_alone() {
    let mut gauge = counter();
    tell(&mut gauge, Duration::from_millis(100), 60.0);
    tell(&mut gauge, Duration::from_millis(5_050), 31.0);
    assert_eq!(gauge.violations(), 0);
    tell(&mut gauge, Duration::from_millis(5_060), 1.0);
    assert_eq!(gauge.violations(), 1);
    tell(&mut gauge, Duration::from_millis(5_070), 1.0);
    assert_eq!(gauge.violations(), 1);
    // What was not used after all does not count, and what lies longer ago than a window does not either.
    tell(&mut gauge, Duration::from_millis(5_080), -30.0);
    tell(&mut gauge, Duration::from_millis(11_000), 80.0);
    assert_eq!(gauge.violations(), 1);
}
