//! The breaker over the counter: each transition, and the breaks foreseen for it.
mod common;
use common::*;
use starlinghill::api::*;

/// Makes one window call for a customer and lets it fail; says whether a call was made.
fn failing(rig: &mut Rig, customer: u64) -> bool {
    let (_, out) = rig.request(0, 0, customer, 1.0);
    let made = counts(&out);
    for (name, _) in &made {
        rig.tell(Event::Counted(*name, Outcome::Full, 0.0));
    }
    !made.is_empty()
}

/// Lets three calls fail; with calls failing only a part of the requests asks.
fn open(rig: &mut Rig) {
    assert_eq!(
        (1..100).filter(|c| failing(rig, *c)).count(),
        3,
        "closed until three calls failed, then open"
    );
}

#[test]
fn three_failures_in_a_row_open_it() {
    let mut rig = Rig::new(settings(), 4);
    open(&mut rig);
    assert!(!failing(&mut rig, 4), "open: nobody asks");
}

#[test]
fn two_failures_do_not() {
    let mut rig = Rig::new(settings(), 4);
    failing(&mut rig, 1);
    failing(&mut rig, 2);
    // With calls failing only a part of the requests asks; among twenty customers some do.
    let asked = (10..30).filter(|c| !counts(&rig.request(0, 0, *c, 1.0).1).is_empty()).count();
    assert!(asked > 0);
}

#[test]
fn after_the_cooldown_one_request_probes_and_success_closes() {
    let mut rig = Rig::new(settings(), 4);
    open(&mut rig);
    rig.pass(5 * S - 1);
    assert!(!failing(&mut rig, 4), "still cooling down");
    rig.pass(1);
    let (_, out) = rig.request(0, 0, 5, 1.0);
    let probe = adds(&out);
    assert_eq!(probe.len(), 1, "half-open: one probe");
    assert!(counts(&rig.request(0, 0, 6, 1.0).1).is_empty(), "while the probe is out nobody else asks");
    rig.tell(Event::Counted(probe[0].0, Outcome::Ok, 1.0));
    let asked = (10..30).filter(|c| !adds(&rig.request(0, 0, *c, 1.0).1).is_empty()).count();
    assert!(asked > 0, "closed again");
}

#[test]
fn a_failed_probe_opens_it_for_another_cooldown() {
    let mut rig = Rig::new(settings(), 4);
    open(&mut rig);
    rig.pass(5 * S);
    assert!(failing(&mut rig, 5), "the probe");
    rig.pass(5 * S - 1);
    assert!(!failing(&mut rig, 6));
    rig.pass(1);
    assert!(failing(&mut rig, 7), "the next probe");
}

#[test]
fn a_silent_counter_opens_it_by_time_outs() {
    let mut rig = Rig::new(settings(), 4);
    let calls: Vec<_> = (1..=3).flat_map(|c| counts(&rig.request(0, 0, c, 1.0).1)).collect();
    rig.pass(80 * MS);
    calls.iter().for_each(|(name, _)| drop(rig.tell(Event::Counted(*name, Outcome::Timeout, 0.0))));
    assert!(counts(&rig.request(0, 0, 4, 1.0).1).is_empty());
}

#[test]
fn one_hot_name_does_not_open_it_for_every_customer() {
    let mut rig = Rig::new(settings(), 4);
    for _ in 0..10 {
        failing(&mut rig, 1);
    }
    let asked = (10..60).filter(|c| !adds(&rig.request(0, 0, *c, 1.0).1).is_empty()).count();
    assert!(asked > 0, "others still ask");
    assert!(!failing(&mut rig, 1), "the hot customer's own breaker is open");
}

#[test]
fn a_slow_counter_that_answers_now_and_then_still_opens_it() {
    let mut rig = Rig::new(settings(), 4);
    let (mut customer, mut calls) = (100, 0);
    for _ in 0..2_000 {
        customer += 1;
        let (_, out) = rig.request(0, 0, customer, 1.0);
        for (name, amount) in counts(&out) {
            // Two failures, one answer, and again: three in a row never come.
            calls += u32::from(amount != 0.0);
            let outcome = if amount == 0.0 || calls % 3 == 0 { Outcome::Ok } else { Outcome::Full };
            rig.tell(Event::Counted(name, outcome, amount));
        }
    }
    let asked = (0..200).filter(|c| !adds(&rig.request(0, 0, 1_000 + c, 1.0).1).is_empty()).count();
    assert_eq!(asked, 0, "open");
}

#[test]
fn a_half_open_customer_does_not_swallow_the_common_probe() {
    let mut rig = Rig::new(settings(), 4);
    open(&mut rig);
    for _ in 0..3 {
        failing(&mut rig, 1); // Decided locally.
    }
    rig.pass(5 * S);
    let (_, out) = rig.request(0, 0, 1, 1.0);
    let probe = adds(&out);
    assert_eq!(probe.len(), 1);
    rig.tell(Event::Counted(probe[0].0, Outcome::Full, 0.0));
    rig.pass(5 * S);
    assert!(failing(&mut rig, 9), "the probe was given back");
}
