//! The fraction of requests that is admitted after one total of demand or a series of them.

use starlinghill_rate_limit::demand::{Demand, SPAN};
use starlinghill_rate_limit::{Micros, Quota};

const MS: u64 = 1_000;
const QUOTA: Quota = Quota { rate: 10.0, burst: 20.0 };

/// Simulates a gateway that receives a total every half second for a customer that asks for `rate(t)` units
/// a second (t in milliseconds). Returns the gateway's chances to admit, each taken just before the next
/// total.
fn chances(duration_ms: u64, rate: impl Fn(u64) -> f64) -> Vec<f64> {
    let (mut demand, mut total, mut chances) = (Demand::default(), 0.0, Vec::new());
    for ms in 0..duration_ms {
        let now = Micros(SPAN.0 * 50 + ms * MS);
        let (span, elapsed) = (now.0 / SPAN.0, Micros(now.0 % SPAN.0));
        total = if elapsed.0 == 0 { 0.0 } else { total + rate(ms) / 1_000.0 };
        if ms % 500 == 499 {
            chances.extend(demand.chance(QUOTA, now));
            demand.add_total(QUOTA, now, span, elapsed, total);
        }
    }
    chances
}

#[test]
fn a_spike_late_in_a_span_changes_the_chance_within_two_totals_and_so_does_its_end() {
    // Demand is low for five of six seconds. A mean over the span would make the spike look like 18 units a
    // second, and the bucket look full.
    let chances = chances(10_000, |ms| if (5_000..7_000).contains(&ms) { 60.0 } else { 2.0 });
    assert!(chances[..9].iter().all(|&c| c == 1.0), "before the spike: {chances:?}");
    assert!(chances[11] < 0.5 && chances[12] < 0.3, "a second into the spike: {chances:?}");
    assert!(chances[17..].iter().all(|&c| c == 1.0), "after the spike: {chances:?}");
}

#[test]
fn over_many_spans_as_much_is_admitted_as_an_exact_token_bucket_would_admit() {
    for (asked, allowed) in [(5.0, 5.0), (10.0, 10.0), (30.0, 10.0), (100.0, 10.0)] {
        let chances = chances(60_000, |_| asked);
        let steady = &chances[20..];
        let admitted = asked * steady.iter().sum::<f64>() / steady.len() as f64;
        assert!(
            (admitted / allowed - 1.0).abs() < 0.05,
            "of {asked} units a second, {admitted} were admitted"
        );
    }
}

#[test]
fn an_unknown_customer_is_assumed_to_have_had_half_of_its_burst_when_the_span_began() {
    let at = Micros(SPAN.0 * 50);
    let chance_after = |elapsed: u64, total: f64| {
        let (mut demand, elapsed) = (Demand::default(), Micros(elapsed * MS));
        demand.add_total(QUOTA, at + elapsed, 50, elapsed, total);
        demand.chance(QUOTA, at + elapsed)
    };
    assert_eq!(chance_after(2_000, 29.0), Some(1.0), "10 at first, and 20 since");
    assert_eq!(chance_after(2_000, 40.0), Some(0.5), "a demand of 20 units a second");
    assert_eq!(Demand::default().chance(QUOTA, at), None);
}

#[test]
fn invalid_totals_are_not_taken_for_demand() {
    let at = Micros(SPAN.0 * 50 + 1_000 * MS);
    for invalid in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -5.0] {
        let mut demand = Demand::default();
        demand.add_total(QUOTA, at, 50, Micros(1_000 * MS), invalid);
        assert!(demand.chance(QUOTA, at).is_none_or(|chance| chance == 1.0), "{invalid}");
    }
}

#[test]
fn a_counter_that_lost_its_state_grants_no_fresh_burst() {
    let at = Micros(SPAN.0 * 50 + 1_000 * MS);
    let mut demand = Demand::default();
    demand.add_total(QUOTA, at, 50, Micros(1_000 * MS), 50.0);
    assert_eq!(demand.chance(QUOTA, at), Some(0.2), "a demand of fifty units a second");
    // The counter was emptied and has counted three units since.
    let later = at + Micros(500 * MS);
    demand.add_total(QUOTA, later, 50, Micros(1_500 * MS), 3.0);
    let chance = demand.chance(QUOTA, later).expect("known after a total");
    assert!((chance - 0.2).abs() < 1e-9, "the demand is assumed to be unchanged: {chance}");
}
