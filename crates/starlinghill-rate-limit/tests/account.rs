//! One customer's account: calls that come back in time, after their window, or to a counter that has lost what it held.

use starlinghill_rate_limit::account::{Account, WindowTotal, WindowUpdate};
use starlinghill_rate_limit::tally::CallOutcome;
use starlinghill_rate_limit::{Micros, Quota};

const QUOTA: Quota = Quota { rate: 10.0, burst: 50.0 };

fn secs(s: f64) -> Micros {
    Micros((s * 1e6) as u64)
}

/// An account in window 1, and what it heard of a first call, made and answered so long after the window began.
fn heard(units: f64, total: f64, at: f64) -> (Account, WindowUpdate) {
    let mut account = Account::default();
    account.advance(secs(0.0), 1, 1, 0.0, 0.0);
    let post = account.window.start_call(units);
    let heard = account.window_answered(QUOTA, &post, told(total, at));
    (account, heard)
}

fn told(units: f64, at: f64) -> WindowTotal {
    let now = secs(at);
    WindowTotal { units, now, made: now, span: 1, elapsed: now, known_from: Micros(0) }
}

#[test]
fn a_total_tells_what_there_is_room_for_and_that_of_others_counts_as_well() {
    let (_, alone) = heard(4.0, 4.0, 1.0);
    let (_, shared) = heard(4.0, 30.0, 1.0);
    let level = |heard: WindowUpdate| heard.level.expect("heard");
    assert!(!alone.counter_reset && alone.confirmed == Some(0.0));
    assert!(level(alone) > level(shared) && level(shared) >= 0.0, "{alone:?} {shared:?}");
    assert!(level(alone) <= QUOTA.burst - 4.0 + 1e-6);
    // What was spent unheard is told to the floor by the call that carries it.
    let mut account = Account::default();
    account.advance(secs(0.0), 1, 1, 0.0, 0.0);
    account.spend_unconfirmed(QUOTA, secs(0.5), 3.0);
    let post = account.window.start_call(1.0);
    assert_eq!(account.window_answered(QUOTA, &post, told(4.0, 1.0)).confirmed, Some(3.0));
}

#[test]
fn a_counter_that_tells_less_than_was_posted_has_lost_it_and_reset_counted() {
    let (mut account, first) = heard(20.0, 20.0, 1.0);
    assert!(!first.counter_reset);
    let post = account.window.start_call(2.0);
    let second = account.window_answered(QUOTA, &post, told(2.0, 2.0));
    assert!(second.counter_reset, "{second:?}");
    assert_eq!(account.window.counted(), 2.0);
}

#[test]
fn an_answer_after_its_window_takes_its_own_units_alone_and_tells_no_floor() {
    let (mut account, _) = heard(4.0, 4.0, 1.0);
    let late = account.window.start_call(5.0);
    account.advance(secs(26.0), 2, 2, 0.0, 0.0);
    let before = account.store.level(QUOTA, secs(26.0)).expect("known");
    let heard = account.window_answered(QUOTA, &late, told(40.0, 26.0));
    assert_eq!((heard.counter_reset, heard.confirmed), (false, None));
    assert!((before - heard.level.expect("known") - 5.0).abs() < 1e-6, "{before} {heard:?}");
    assert_eq!(account.window.counted(), 0.0);
    assert!(!account.refund(QUOTA, secs(26.0), 1, 5.0), "that name is not asked for any more");
    assert!(account.refund(QUOTA, secs(26.0), 2, 1.0));
    assert_eq!(account.window.unsent(), -1.0);
}

#[test]
fn places_are_told_with_those_that_the_total_does_not_hold_yet() {
    let mut account = Account::default();
    account.advance(secs(0.0), 1, 1, 0.0, 2.0);
    // Two are held from before this epoch; the third asks.
    let post = account.in_flight.start_call(1.0);
    assert_eq!(post.amount, 3.0);
    account.in_flight.spend(1.0);
    assert_eq!(account.in_flight_answered(&post, 7.0), 8.0);
    assert!(!account
        .in_flight
        .call_ended(&starlinghill_rate_limit::tally::CallAmount::of(9, 1.0), CallOutcome::Counted));
}
