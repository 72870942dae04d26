//! What follows from totals of demand, heard once or one after another.

use starlinghill_rate_limit::demand::{Demand, SPAN};
use starlinghill_rate_limit::{Micros, Quota};

const MS: u64 = 1_000;
const QUOTA: Quota = Quota { rate: 10.0, burst: 20.0 };

/// A gateway that hears a total each half second of a customer that asks for `rate(t)` units a second, t in milliseconds; the
/// chances that it goes by, each just before it hears again.
fn chances(for_ms: u64, rate: impl Fn(u64) -> f64) -> Vec<f64> {
    let (mut demand, mut total, mut chances) = (Demand::default(), 0.0, Vec::new());
    for ms in 0..for_ms {
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
fn a_spike_late_in_a_span_is_seen_within_two_totals_and_forgotten_as_fast() {
    // Five of six seconds calm: a mean over the span would take what follows for 18 a second, and the store for full.
    let chances = chances(10_000, |ms| if (5_000..7_000).contains(&ms) { 60.0 } else { 2.0 });
    assert!(chances[..9].iter().all(|&c| c == 1.0), "calm: {chances:?}");
    assert!(chances[11] < 0.5 && chances[12] < 0.3, "a second later: {chances:?}");
    assert!(chances[17..].iter().all(|&c| c == 1.0), "over again: {chances:?}");
}

#[test]
fn what_passes_over_many_spans_is_what_an_exact_store_would_let_through() {
    for (asked, allowed) in [(5.0, 5.0), (10.0, 10.0), (30.0, 10.0), (100.0, 10.0)] {
        let chances = chances(60_000, |_| asked);
        let steady = &chances[20..];
        let passed = asked * steady.iter().sum::<f64>() / steady.len() as f64;
        assert!((passed / allowed - 1.0).abs() < 0.05, "asked {asked}: {passed} a second go on");
    }
}

#[test]
fn one_heard_of_for_the_first_time_is_taken_to_have_had_half_of_its_burst() {
    let at = Micros(SPAN.0 * 50);
    let hears = |elapsed: u64, total: f64| {
        let (mut demand, elapsed) = (Demand::default(), Micros(elapsed * MS));
        demand.add_total(QUOTA, at + elapsed, 50, elapsed, total);
        demand.chance(QUOTA, at + elapsed)
    };
    assert_eq!(hears(2_000, 29.0), Some(1.0), "10 held, 20 given since");
    assert_eq!(hears(2_000, 40.0), Some(0.5), "20 a second");
    assert_eq!(Demand::default().chance(QUOTA, at), None);
}

#[test]
fn totals_that_make_no_sense_are_not_taken_for_demand() {
    let at = Micros(SPAN.0 * 50 + 1_000 * MS);
    for spoilt in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -5.0] {
        let mut demand = Demand::default();
        demand.add_total(QUOTA, at, 50, Micros(1_000 * MS), spoilt);
        assert!(demand.chance(QUOTA, at).is_none_or(|chance| chance == 1.0), "{spoilt}");
    }
}

#[test]
fn a_counter_that_lost_its_numbers_grants_no_fresh_burst() {
    let at = Micros(SPAN.0 * 50 + 1_000 * MS);
    let mut demand = Demand::default();
    demand.add_total(QUOTA, at, 50, Micros(1_000 * MS), 50.0);
    assert_eq!(demand.chance(QUOTA, at), Some(0.2), "fifty a second");
    // Emptied, and told of three since.
    let later = at + Micros(500 * MS);
    demand.add_total(QUOTA, later, 50, Micros(1_500 * MS), 3.0);
    let chance = demand.chance(QUOTA, later).expect("heard");
    assert!((chance - 0.2).abs() < 1e-9, "it is taken to go on as it was: {chance}");
}
