//! One customer's quota: answers that arrive in time or after their window, and a counter that lost its
//! state.

use starlinghill_rate_limit::account::{Account, WindowTotal, WindowUpdate};
use starlinghill_rate_limit::tally::CallOutcome;
use starlinghill_rate_limit::{Micros, Quota};

const QUOTA: Quota = Quota { rate: 10.0, burst: 50.0 };

fn secs(seconds: f64) -> Micros {
    Micros((seconds * 1e6) as u64)
}

/// An account in window 1 and the result of its first call, made and answered `at` seconds after the window
/// began.
fn first_call(units: f64, total: f64, at: f64) -> (Account, WindowUpdate) {
    let mut account = Account::default();
    account.advance(secs(0.0), 1, 1, 0.0, 0.0);
    let call = account.window.start_call(units);
    let update = account.window_answered(QUOTA, &call, total_at(total, at));
    (account, update)
}

fn total_at(units: f64, at: f64) -> WindowTotal {
    let now = secs(at);
    WindowTotal { units, now, made: now, span: 1, elapsed: now, known_from: Micros(0) }
}

#[test]
fn the_level_follows_from_the_total_and_includes_units_of_other_gateways() {
    let (_, alone) = first_call(4.0, 4.0, 1.0);
    let (_, shared) = first_call(4.0, 30.0, 1.0);
    let level = |update: WindowUpdate| update.level.expect("known after a total");
    assert!(!alone.counter_reset && alone.confirmed == Some(0.0));
    assert!(level(alone) > level(shared) && level(shared) >= 0.0, "{alone:?} {shared:?}");
    assert!(level(alone) <= QUOTA.burst - 4.0 + 1e-6);
    // Units admitted without an answer are confirmed by the call that carries them.
    let mut account = Account::default();
    account.advance(secs(0.0), 1, 1, 0.0, 0.0);
    account.spend_unconfirmed(QUOTA, secs(0.5), 3.0);
    let call = account.window.start_call(1.0);
    assert_eq!(account.window_answered(QUOTA, &call, total_at(4.0, 1.0)).confirmed, Some(3.0));
}

#[test]
fn a_total_below_the_gateways_own_units_shows_that_the_counter_lost_its_state() {
    let (mut account, first) = first_call(20.0, 20.0, 1.0);
    assert!(!first.counter_reset);
    let call = account.window.start_call(2.0);
    let second = account.window_answered(QUOTA, &call, total_at(2.0, 2.0));
    assert!(second.counter_reset, "{second:?}");
    assert_eq!(account.window.counted(), 2.0);
}

#[test]
fn an_answer_after_its_window_only_takes_the_requests_units_and_confirms_nothing() {
    let (mut account, _) = first_call(4.0, 4.0, 1.0);
    let late = account.window.start_call(5.0);
    account.advance(secs(26.0), 2, 2, 0.0, 0.0);
    let before = account.store.level(QUOTA, secs(26.0)).expect("known");
    let update = account.window_answered(QUOTA, &late, total_at(40.0, 26.0));
    assert_eq!((update.counter_reset, update.confirmed), (false, None));
    assert!((before - update.level.expect("known") - 5.0).abs() < 1e-6, "{before} {update:?}");
    assert_eq!(account.window.counted(), 0.0);
    assert!(!account.refund(QUOTA, secs(26.0), 1, 5.0), "no calls are made for an earlier window");
    assert!(account.refund(QUOTA, secs(26.0), 2, 1.0));
    assert_eq!(account.window.unsent(), -1.0);
}

#[test]
fn attempts_in_flight_include_those_that_the_total_does_not_include_yet() {
    let mut account = Account::default();
    account.advance(secs(0.0), 1, 1, 0.0, 2.0);
    // Two attempts were in flight before this epoch; the call is for a third.
    let call = account.in_flight.start_call(1.0);
    assert_eq!(call.amount, 3.0);
    account.in_flight.spend(1.0);
    assert_eq!(account.in_flight_answered(&call, 7.0), 8.0);
    assert!(!account
        .in_flight
        .call_ended(&starlinghill_rate_limit::tally::CallAmount::of(9, 1.0), CallOutcome::Counted));
}
