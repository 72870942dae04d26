//! Whether requests of unknown customers are admitted.

use starlinghill_rate_limit::unknown_customers::QuotaCoverage;

fn after(samples: &[f64]) -> QuotaCoverage {
    let mut coverage = QuotaCoverage::default();
    samples.iter().for_each(|sample| coverage.add_sample(*sample));
    coverage
}

#[test]
fn unknown_customers_are_admitted_unless_recent_samples_show_that_quotas_cover_little() {
    assert!(QuotaCoverage::default().admits(10.0));
    assert!(after(&[1.0, 0.3, 1.0, 1.0, 0.5, 1.0]).admits(1.2), "a few busy customers change nothing");
    assert!(!after(&[0.2; 12]).admits(1.2), "the plan's customers ask for five times their quotas");
    let mut low_then_full = [0.2; 40];
    low_then_full[20..].fill(1.0);
    assert!(after(&low_then_full).admits(1.2));
}

#[test]
fn unknown_customers_are_always_admitted_if_requests_beyond_the_quota_cost_nothing() {
    assert!(after(&[0.0; 100]).admits(0.0));
    assert!(after(&[0.0; 100]).admits(-1.0), "a negative cost is a gain");
}

#[test]
fn samples_that_are_not_finite_are_ignored_and_others_are_clamped_to_fractions() {
    assert_eq!(after(&[f64::NAN, f64::INFINITY]), QuotaCoverage::default());
    assert_eq!(after(&[7.0, -3.0]), after(&[1.0, 0.0]));
}
