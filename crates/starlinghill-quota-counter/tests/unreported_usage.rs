//! Units that a gateway used without a grant are reported once, and units that were granted for nothing go back.

use starlinghill_quota_counter::{Allowance, Draw, DrawOutcome, QuotaCounter, UnreportedUsage};
use std::time::Duration;
use test_case::test_case;

const BUCKET: u64 = 4;
const RATE: f64 = 10.0;

#[test_case(DrawOutcome::Granted, true, 0.0; "granted in time")]
#[test_case(DrawOutcome::Granted, false, -1.0; "granted too late, so the unit goes back")]
#[test_case(DrawOutcome::Refused, true, 0.0; "refused in time")]
#[test_case(DrawOutcome::Refused, false, 0.0; "refused too late, so nothing was taken")]
#[test_case(DrawOutcome::Unknown, false, 3.0; "unknown, so the three units are reported again")]
fn a_draw_that_reported_three_units_and_asked_for_one_leaves_the_right_units_to_report(
    outcome: DrawOutcome,
    was_awaited: bool,
    expected: f64,
) {
    let mut usage = UnreportedUsage::default();
    usage.add(BUCKET, 3.0, RATE);
    let reported = usage.take(BUCKET);
    assert_eq!(reported, 3.0);
    usage.settle_draw(BUCKET, (reported, 1.0), outcome, was_awaited);
    assert_eq!(usage.take(BUCKET), expected);
    assert!(usage.is_empty());
}

#[test]
fn a_gateways_own_share_is_deducted_from_its_usage_but_not_from_units_that_go_back() {
    let mut usage = UnreportedUsage::default();
    usage.add(BUCKET, 25.0, RATE);
    usage.add(BUCKET + 1, -2.0, RATE);
    usage.deduct_own_share(Duration::from_secs(2));
    assert_eq!(usage.take(BUCKET), 5.0);
    assert_eq!(usage.take(BUCKET + 1), -2.0);
    usage.add(BUCKET, 25.0, RATE);
    usage.deduct_own_share(Duration::from_secs(3));
    assert!(usage.is_empty());
}

#[test]
fn the_usage_of_many_buckets_is_taken_out_in_batches_and_each_bucket_once() {
    let mut usage = UnreportedUsage::default();
    (0..10).for_each(|bucket| usage.add(bucket, 1.0, RATE));
    let mut taken: Vec<(u64, f64)> = usage.take_up_to(6);
    assert_eq!(taken.len(), 6);
    taken.extend(usage.take_up_to(6));
    taken.sort_by_key(|(bucket, _)| *bucket);
    assert_eq!(taken, (0..10).map(|bucket| (bucket, 1.0)).collect::<Vec<_>>());
    assert!(usage.is_empty());
}

fn counter() -> QuotaCounter {
    let allowance = Allowance { window_s: 5.0, excess: 0.1, extra: 20.0 };
    let mut counter = QuotaCounter::start(Duration::ZERO, 1, true, allowance, [1]);
    counter.apply_readings(Duration::ZERO, 1, &[]);
    counter
}

fn report_usage(counter: &mut QuotaCounter, now: Duration, unreported: f64) {
    let draw = Draw {
        bucket: BUCKET,
        unreported,
        units: 0.0,
        rate: RATE,
        burst: RATE,
        service: 0,
        max_response_ms: 0,
    };
    assert!(counter.draw(now, 1, &[draw]).is_some());
}

/// With a rate and a burst of ten units, the rules allow 86 units in the window of five seconds, and 91.5 in the five
/// and a half seconds that the audit sums up.
#[test]
fn a_window_with_more_usage_than_the_rules_allow_is_counted_as_one_violation() {
    let mut counter = counter();
    report_usage(&mut counter, Duration::from_millis(100), 60.0);
    report_usage(&mut counter, Duration::from_millis(5_050), 31.0);
    assert_eq!(counter.violations(), 0);
    report_usage(&mut counter, Duration::from_millis(5_060), 1.0);
    assert_eq!(counter.violations(), 1);
    report_usage(&mut counter, Duration::from_millis(5_070), 1.0);
    assert_eq!(counter.violations(), 1);
    // Units that go back do not count, and neither do units used more than a window ago.
    report_usage(&mut counter, Duration::from_millis(5_080), -30.0);
    report_usage(&mut counter, Duration::from_millis(11_000), 80.0);
    assert_eq!(counter.violations(), 1);
}
