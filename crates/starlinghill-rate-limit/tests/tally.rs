//! A gateway's contribution to a shared count, with calls that are lost, delayed or counted without an
//! answer.

use starlinghill_rate_limit::tally::{CallAmount, CallOutcome, Tally};
use starlinghill_rate_limit::Micros;

#[test]
fn each_unit_is_sent_once_whatever_the_outcome_of_the_calls() {
    for seed in 0..2_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut tally = Tally::default();
        tally.begin(1);
        let (mut spent, mut counted, mut unknown) = (0.0, 0.0, 0.0);
        let mut in_transit: Vec<CallAmount> = Vec::new();
        for _ in 0..rng.usize(1..200) {
            match rng.u32(..10) {
                0..=2 => {
                    let units = f64::from(rng.u32(1..5));
                    spent += units;
                    if rng.bool() {
                        tally.spend(units)
                    } else {
                        tally.spend_unconfirmed(units)
                    }
                }
                3..=5 => {
                    let units = f64::from(rng.u32(0..5));
                    spent += units;
                    let call = tally.start_call(units);
                    assert_eq!(call.request_units(), units, "seed {seed}");
                    in_transit.push(call);
                }
                _ if in_transit.is_empty() => {}
                kind => {
                    let call = in_transit.swap_remove(rng.usize(..in_transit.len()));
                    let outcome = [
                        CallOutcome::Counted,
                        CallOutcome::Counted,
                        CallOutcome::NeverRan,
                        CallOutcome::Unknown,
                    ][kind as usize - 6];
                    assert!(tally.call_ended(&call, outcome));
                    match outcome {
                        CallOutcome::Counted => counted += call.amount,
                        // The caller handles the units of the request itself.
                        CallOutcome::NeverRan => spent -= call.request_units(),
                        CallOutcome::Unknown => unknown += call.amount,
                    }
                }
            }
            let carried_now: f64 = in_transit.iter().map(|call| call.amount).sum();
            let all = counted + unknown + carried_now + tally.unsent();
            assert!((all - spent).abs() < 1e-6, "seed {seed}: {all} of {spent}");
            assert!((tally.counted() - counted).abs() < 1e-6, "seed {seed}");
            let carried: f64 = in_transit.iter().map(|call| call.carried).sum();
            assert!((tally.uncounted() - tally.unsent() - carried).abs() < 1e-6, "seed {seed}");
        }
    }
}

#[test]
fn unsent_units_carry_over_to_the_next_span_and_late_answers_for_the_last_span_are_ignored() {
    let mut tally = Tally::default();
    tally.begin(1);
    tally.spend_unconfirmed(3.0);
    let call = tally.start_call(1.0);
    assert_eq!((call.amount, call.carried, call.unconfirmed), (4.0, 3.0, 3.0));
    tally.spend(2.0);
    tally.begin(2);
    assert_eq!((tally.unsent(), tally.uncounted(), tally.counted()), (2.0, 2.0, 0.0));
    assert!(
        !tally.call_ended(&call, CallOutcome::Counted) && !tally.call_ended(&call, CallOutcome::NeverRan)
    );
    assert_eq!((tally.unsent(), tally.counted()), (2.0, 0.0));
    // Starting the same span again changes nothing.
    tally.begin(2);
    assert_eq!(tally.unsent(), 2.0);
}

#[test]
fn unsent_units_are_repaid_at_the_rate_but_never_below_zero() {
    let mut tally = Tally::default();
    tally.repay(Micros(1_000_000), 5.0);
    tally.spend_unconfirmed(10.0);
    tally.repay(Micros(2_000_000), 4.0);
    assert_eq!(tally.unsent(), 6.0);
    assert_eq!(tally.start_call(0.0).unconfirmed, 6.0, "repaid units are no longer unconfirmed");
    tally.spend(1.0);
    tally.repay(Micros(9_000_000), 4.0);
    assert_eq!(tally.unsent(), 0.0);
    // Returned units (below zero) are not repaid.
    tally.spend(-2.0);
    tally.repay(Micros(10_000_000), 4.0);
    assert_eq!(tally.unsent(), -2.0);
}

#[test]
fn ended_attempts_are_sent_and_each_epoch_begins_with_the_attempts_in_flight() {
    let mut in_flight = Tally::default();
    in_flight.begin_with(1, 0.0);
    let call = in_flight.start_call(1.0);
    in_flight.call_ended(&call, CallOutcome::Counted);
    assert_eq!(in_flight.surplus(1.0), 0.0);
    assert_eq!(in_flight.surplus(0.0), 1.0);
    in_flight.spend(-1.0);
    assert_eq!((in_flight.surplus(0.0), in_flight.start_call(0.0).amount), (0.0, -1.0));
    in_flight.begin_with(2, 3.0);
    assert_eq!((in_flight.unsent(), in_flight.counted(), in_flight.surplus(3.0)), (3.0, 0.0, 0.0));
    in_flight.begin_with(2, 9.0);
    assert_eq!(in_flight.unsent(), 3.0);
}
