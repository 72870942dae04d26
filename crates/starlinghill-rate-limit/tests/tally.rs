//! A gateway's side of a shared count, against a counter that loses, delays and forgets calls.

use starlinghill_rate_limit::tally::{CallAmount, CallOutcome, Tally};
use starlinghill_rate_limit::Micros;

#[test]
fn each_unit_is_told_once_whatever_becomes_of_the_calls() {
    for seed in 0..2_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut tally = Tally::default();
        tally.begin(1);
        let (mut spent, mut counted, mut doubtful) = (0.0, 0.0, 0.0);
        let mut out: Vec<CallAmount> = Vec::new();
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
                    let post = tally.start_call(units);
                    assert_eq!(post.fresh(), units, "seed {seed}");
                    out.push(post);
                }
                _ if out.is_empty() => {}
                kind => {
                    let post = out.swap_remove(rng.usize(..out.len()));
                    let fate = [
                        CallOutcome::Counted,
                        CallOutcome::Counted,
                        CallOutcome::NeverRan,
                        CallOutcome::Unknown,
                    ][kind as usize - 6];
                    assert!(tally.call_ended(&post, fate));
                    match fate {
                        CallOutcome::Counted => counted += post.amount,
                        // The request that it was made for is told by whoever made it.
                        CallOutcome::NeverRan => spent -= post.fresh(),
                        CallOutcome::Unknown => doubtful += post.amount,
                    }
                }
            }
            let under_way: f64 = out.iter().map(|post| post.amount).sum();
            let told = counted + doubtful + under_way + tally.unsent();
            assert!((told - spent).abs() < 1e-6, "seed {seed}: {told} of {spent}");
            assert!((tally.counted() - counted).abs() < 1e-6, "seed {seed}");
            let carried: f64 = out.iter().map(|post| post.extra).sum();
            assert!((tally.uncounted() - tally.unsent() - carried).abs() < 1e-6, "seed {seed}");
        }
    }
}

#[test]
fn what_is_on_no_counter_goes_on_in_the_next_span_and_late_answers_of_the_last_say_nothing_of_it() {
    let mut tally = Tally::default();
    tally.begin(1);
    tally.spend_unconfirmed(3.0);
    let post = tally.start_call(1.0);
    assert_eq!((post.amount, post.extra, post.unconfirmed), (4.0, 3.0, 3.0));
    tally.spend(2.0);
    tally.begin(2);
    assert_eq!((tally.unsent(), tally.uncounted(), tally.counted()), (2.0, 2.0, 0.0));
    assert!(
        !tally.call_ended(&post, CallOutcome::Counted) && !tally.call_ended(&post, CallOutcome::NeverRan)
    );
    assert_eq!((tally.unsent(), tally.counted()), (2.0, 0.0));
    // The same span again changes nothing.
    tally.begin(2);
    assert_eq!(tally.unsent(), 2.0);
}

#[test]
fn what_was_spent_unheard_is_made_good_at_the_rate_and_no_further() {
    let mut tally = Tally::default();
    tally.repay(Micros(1_000_000), 5.0);
    tally.spend_unconfirmed(10.0);
    tally.repay(Micros(2_000_000), 4.0);
    assert_eq!(tally.unsent(), 6.0);
    assert_eq!(tally.start_call(0.0).unconfirmed, 6.0, "what was made good is not unconfirmed either");
    tally.spend(1.0);
    tally.repay(Micros(9_000_000), 4.0);
    assert_eq!(tally.unsent(), 0.0);
    // Units that came back are not made good: they are room.
    tally.spend(-2.0);
    tally.repay(Micros(10_000_000), 4.0);
    assert_eq!(tally.unsent(), -2.0);
}

#[test]
fn places_that_were_let_go_are_told_and_each_epoch_begins_with_what_is_held() {
    let mut places = Tally::default();
    places.begin_with(1, 0.0);
    let post = places.start_call(1.0);
    places.call_ended(&post, CallOutcome::Counted);
    assert_eq!(places.surplus(1.0), 0.0);
    assert_eq!(places.surplus(0.0), 1.0);
    places.spend(-1.0);
    assert_eq!((places.surplus(0.0), places.start_call(0.0).amount), (0.0, -1.0));
    places.begin_with(2, 3.0);
    assert_eq!((places.unsent(), places.counted(), places.surplus(3.0)), (3.0, 0.0, 0.0));
    places.begin_with(2, 9.0);
    assert_eq!(places.unsent(), 3.0);
}
