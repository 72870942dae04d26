//! What is let through of customers of whom nothing is heard.

use starlinghill_rate_limit::unknown_customers::QuotaCoverage;

fn after(parts: &[f64]) -> QuotaCoverage {
    let mut usual = QuotaCoverage::default();
    parts.iter().for_each(|part| usual.add_sample(*part));
    usual
}

#[test]
fn it_pays_until_something_else_is_heard_and_again_once_quotas_bear_most() {
    assert!(QuotaCoverage::default().admits(10.0));
    assert!(after(&[1.0, 0.3, 1.0, 1.0, 0.5, 1.0]).admits(1.2), "a few busy customers change nothing");
    assert!(!after(&[0.2; 12]).admits(1.2), "a plan that asks for five times its quotas");
    let mut both = [0.2; 40];
    both[20..].fill(1.0);
    assert!(after(&both).admits(1.2));
}

#[test]
fn it_always_pays_where_what_is_beyond_costs_nothing() {
    assert!(after(&[0.0; 100]).admits(0.0));
    assert!(after(&[0.0; 100]).admits(-1.0), "or earns something");
}

#[test]
fn what_is_no_part_is_left_out() {
    assert_eq!(after(&[f64::NAN, f64::INFINITY]), QuotaCoverage::default());
    assert_eq!(after(&[7.0, -3.0]), after(&[1.0, 0.0]));
}
