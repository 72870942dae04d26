//! The circuit breaker over the counter: each transition, and failures that must not open it.
mod common;
use common::*;
use starlinghill_decision::api::*;

/// Makes one window call for a customer and lets it fail; returns whether a call was made.
fn call_fails(rig: &mut Rig, customer: u64) -> bool {
    let (_, out) = rig.request(0, 0, customer, 1.0);
    let made = counts(&out);
    for (name, _) in &made {
        rig.handle(Event::Counted(*name, 0, Outcome::Rejected, 0.0));
    }
    !made.is_empty()
}

/// Lets one call fail, of the first of a hundred customers that makes one; while calls fail, not every
/// request does.
fn fail_one(rig: &mut Rig, from: u64) {
    assert!((from..from + 100).any(|c| call_fails(rig, c)), "closed: some request calls");
}

/// Lets three calls fail over 400 ms, which opens the breaker.
fn open(rig: &mut Rig) {
    fail_one(rig, 1_000);
    fail_one(rig, 1_100);
    rig.advance(400 * MS);
    fail_one(rig, 1_200);
}

#[test]
fn three_failures_in_a_row_that_last_long_enough_open_the_breaker() {
    let mut rig = Rig::new(settings(), 4);
    open(&mut rig);
    assert!((0..200).all(|c| !call_fails(&mut rig, c)), "open: no request calls");
}

#[test]
fn two_failures_do_not_open_the_breaker() {
    let mut rig = Rig::new(settings(), 4);
    fail_one(&mut rig, 1_000);
    rig.advance(400 * MS);
    fail_one(&mut rig, 1_100);
    // While calls fail only a part of the requests calls; among twenty customers some do.
    let called = (10..30).filter(|c| !counts(&rig.request(0, 0, *c, 1.0).1).is_empty()).count();
    assert!(called > 0);
}

#[test]
fn calls_late_in_one_short_overload_cut_the_share_of_calls_once_and_do_not_open_the_breaker() {
    let mut rig = Rig::new(settings(), 4);
    let calls: Vec<_> = (1..=20).flat_map(|c| counts(&rig.request(0, 0, c, 1.0).1)).collect();
    assert_eq!(calls.len(), 20, "all call");
    rig.advance(80 * MS);
    calls.iter().for_each(|(name, _)| drop(rig.handle(Event::Counted(*name, 0, Outcome::Timeout, 0.0))));
    let called = (100..200).filter(|c| !counts(&rig.request(0, 0, *c, 1.0).1).is_empty()).count();
    assert!((60..100).contains(&called), "{called} of 100 call");
}

#[test]
fn invalid_answers_do_not_count_as_counter_overload() {
    let mut rig = Rig::new(settings(), 4);
    for c in 1..=40 {
        let (_, out) = rig.request(0, 0, c, 1.0);
        let outcome = if c % 2 == 0 { Outcome::Error } else { Outcome::Ok };
        counts(&out).iter().for_each(|(name, x)| drop(rig.handle(Event::Counted(*name, 0, outcome, *x))));
    }
    let called = (100..200).filter(|c| !counts(&rig.request(0, 0, *c, 1.0).1).is_empty()).count();
    assert_eq!(called, 100, "all call");
}

#[test]
fn under_a_ceiling_units_confirmed_by_a_total_may_be_sent_without_a_total_again() {
    // Plan 1 has ten units a second, bursts of twenty, and a ceiling twice as high, over two gateways. So
    // bursts of ten and five units a second may be sent here without a total. This customer asks for 6.7
    // units a second in calls that fail and 2.2 in calls that are answered.
    let (mut rig, mut total, mut window) = (Rig::new(settings(), 40), 0.0, CountName(0));
    for i in 0..90 {
        rig.advance(if i == 1 { 2 * S } else { 225 * MS });
        let fails = i % 2 == 1;
        let (id, mut out) = rig.request(0, 1, 9, if fails { 3.0 } else { 1.0 });
        while let Some((name, amount)) = counts(&out).first().copied() {
            total = if name == window { total } else { 0.0 };
            window = name;
            total += if fails { 0.0 } else { amount };
            let outcome = if fails { Outcome::ConnectFailed } else { Outcome::Ok };
            out = rig.handle(Event::Counted(name, 0, outcome, total));
        }
        assert!(i == 0 || !refused(&rig.actions, id), "request {i}");
        let sent = sends(&rig.actions).into_iter().find(|(sent, _)| *sent == id);
        sent.into_iter().for_each(|(id, server)| drop(rig.attempt_ended(id, 0, server, Outcome::Ok)));
    }
}

#[test]
fn after_the_cooldown_one_request_probes_and_its_success_closes_the_breaker() {
    let mut rig = Rig::new(settings(), 4);
    open(&mut rig);
    rig.advance(S - 1);
    assert!(!call_fails(&mut rig, 4), "still cooling down");
    rig.advance(1);
    let (_, out) = rig.request(0, 0, 5, 1.0);
    let probe = adds(&out);
    assert_eq!(probe.len(), 1, "half-open: one probe");
    assert!(
        counts(&rig.request(0, 0, 6, 1.0).1).is_empty(),
        "no other call is made while the probe is pending"
    );
    rig.handle(Event::Counted(probe[0].0, 0, Outcome::Ok, 1.0));
    let called = (10..30).filter(|c| !adds(&rig.request(0, 0, *c, 1.0).1).is_empty()).count();
    assert!(called > 0, "closed again");
}

#[test]
fn a_failed_probe_opens_the_breaker_for_another_cooldown() {
    let mut rig = Rig::new(settings(), 4);
    open(&mut rig);
    rig.advance(S);
    assert!(call_fails(&mut rig, 5), "the probe");
    rig.advance(S - 1);
    assert!(!call_fails(&mut rig, 6));
    rig.advance(1);
    assert!(call_fails(&mut rig, 7), "the next probe");
}

#[test]
fn a_counter_that_never_answers_opens_the_breaker() {
    let mut rig = Rig::new(settings(), 4);
    for i in 0..200 {
        let calls = counts(&rig.request(0, 0, i, 1.0).1);
        rig.advance(80 * MS);
        calls.iter().for_each(|(name, _)| drop(rig.handle(Event::Counted(*name, 0, Outcome::Timeout, 0.0))));
    }
    // In 16 s an open breaker allows about one call a second.
    let made = counts(&rig.actions).len();
    assert!((3..=30).contains(&made), "{made} calls");
}

#[test]
fn failures_of_one_busy_name_do_not_open_the_breaker_for_other_customers() {
    let mut rig = Rig::new(settings(), 4);
    for _ in 0..40 {
        call_fails(&mut rig, 1);
        rig.advance(40 * MS);
    }
    let called = (10..60).filter(|c| !adds(&rig.request(0, 0, *c, 1.0).1).is_empty()).count();
    assert!(called > 0, "other customers still call");
    assert!(!call_fails(&mut rig, 1), "the busy customer's own breaker is open");
}

#[test]
fn a_counter_that_answers_one_call_in_three_gets_few_calls() {
    let mut rig = Rig::new(settings(), 4);
    let mut calls = 0;
    for customer in 100..2_100 {
        rig.advance(10 * MS);
        let (_, out) = rig.request(0, 0, customer, 1.0);
        for (name, amount) in counts(&out) {
            // Two failures and one answer in turn: three failures in a row never occur.
            calls += u32::from(amount != 0.0);
            let outcome = if amount == 0.0 || calls % 3 == 0 { Outcome::Ok } else { Outcome::Rejected };
            rig.handle(Event::Counted(name, 0, outcome, amount));
        }
    }
    assert!(calls < 200, "{calls} of 2000 requests called it");
}

#[test]
fn a_customer_with_an_open_breaker_does_not_use_up_the_common_probe() {
    let mut rig = Rig::new(settings(), 4);
    open(&mut rig);
    for _ in 0..3 {
        call_fails(&mut rig, 1); // Decided by the local bucket.
    }
    rig.advance(S);
    let (_, out) = rig.request(0, 0, 1, 1.0);
    let probe = adds(&out);
    assert_eq!(probe.len(), 1);
    rig.handle(Event::Counted(probe[0].0, 0, Outcome::Rejected, 0.0));
    rig.advance(S);
    assert!(call_fails(&mut rig, 9), "another probe is made");
}
