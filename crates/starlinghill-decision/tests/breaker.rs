//! The breaker over the counter: each transition, and the breaks foreseen for it.
mod common;
use common::*;
use starlinghill_decision::api::*;

/// Makes one window call for a customer and lets it fail; says whether a call was made.
fn failing(rig: &mut Rig, customer: u64) -> bool {
    let (_, out) = rig.request(0, 0, customer, 1.0);
    let made = counts(&out);
    for (name, _) in &made {
        rig.tell(Event::Counted(*name, 0, Outcome::Rejected, 0.0));
    }
    !made.is_empty()
}

/// Lets a call fail, of whichever of these customers asks; with calls failing only a part of them does.
fn fail_one(rig: &mut Rig, from: u64) {
    assert!((from..from + 100).any(|c| failing(rig, c)), "closed: somebody asks");
}

/// Lets three calls fail over some time.
fn open(rig: &mut Rig) {
    fail_one(rig, 1_000);
    fail_one(rig, 1_100);
    rig.pass(400 * MS);
    fail_one(rig, 1_200);
}

#[test]
fn three_failures_in_a_row_that_go_on_for_a_while_open_it() {
    let mut rig = Rig::new(settings(), 4);
    open(&mut rig);
    assert!((0..200).all(|c| !failing(&mut rig, c)), "open: nobody asks");
}

#[test]
fn two_failures_do_not() {
    let mut rig = Rig::new(settings(), 4);
    fail_one(&mut rig, 1_000);
    rig.pass(400 * MS);
    fail_one(&mut rig, 1_100);
    // With calls failing only a part of the requests asks; among twenty customers some do.
    let asked = (10..30).filter(|c| !counts(&rig.request(0, 0, *c, 1.0).1).is_empty()).count();
    assert!(asked > 0);
}

#[test]
fn calls_that_a_moments_jam_made_late_cut_the_asking_once_and_do_not_open_it() {
    let mut rig = Rig::new(settings(), 4);
    let calls: Vec<_> = (1..=20).flat_map(|c| counts(&rig.request(0, 0, c, 1.0).1)).collect();
    assert_eq!(calls.len(), 20, "all ask");
    rig.pass(80 * MS);
    calls.iter().for_each(|(name, _)| drop(rig.tell(Event::Counted(*name, 0, Outcome::Timeout, 0.0))));
    let asked = (100..200).filter(|c| !counts(&rig.request(0, 0, *c, 1.0).1).is_empty()).count();
    assert!((60..100).contains(&asked), "{asked} of 100 ask");
}

#[test]
fn answers_that_are_spoilt_say_nothing_of_the_counters_load() {
    let mut rig = Rig::new(settings(), 4);
    for c in 1..=40 {
        let (_, out) = rig.request(0, 0, c, 1.0);
        let outcome = if c % 2 == 0 { Outcome::Error } else { Outcome::Ok };
        counts(&out).iter().for_each(|(name, x)| drop(rig.tell(Event::Counted(*name, 0, outcome, *x))));
    }
    let asked = (100..200).filter(|c| !counts(&rig.request(0, 0, *c, 1.0).1).is_empty()).count();
    assert_eq!(asked, 100, "all ask");
}

#[test]
fn under_a_ceiling_what_the_counter_confirms_may_go_on_unheard_again() {
    // Plan 1: ten units a second, twenty at once, a ceiling twice as high, over two gateways. So ten units at
    // once and five a second may go on unheard here; this customer asks for 6.7, and 2.2 that are heard.
    let (mut rig, mut total, mut window) = (Rig::new(settings(), 40), 0.0, CountName(0));
    for i in 0..90 {
        rig.pass(if i == 1 { 2 * S } else { 225 * MS });
        let unheard = i % 2 == 1;
        let (id, mut out) = rig.request(0, 1, 9, if unheard { 3.0 } else { 1.0 });
        while let Some((name, amount)) = counts(&out).first().copied() {
            total = if name == window { total } else { 0.0 };
            window = name;
            total += if unheard { 0.0 } else { amount };
            let outcome = if unheard { Outcome::ConnectFailed } else { Outcome::Ok };
            out = rig.tell(Event::Counted(name, 0, outcome, total));
        }
        assert!(i == 0 || !refused(&rig.done, id), "request {i}");
        let sent = sends(&rig.done).into_iter().find(|(sent, _)| *sent == id);
        sent.into_iter().for_each(|(id, server)| drop(rig.ended(id, 0, server, Outcome::Ok)));
    }
}

#[test]
fn after_the_cooldown_one_request_probes_and_success_closes() {
    let mut rig = Rig::new(settings(), 4);
    open(&mut rig);
    rig.pass(S - 1);
    assert!(!failing(&mut rig, 4), "still cooling down");
    rig.pass(1);
    let (_, out) = rig.request(0, 0, 5, 1.0);
    let probe = adds(&out);
    assert_eq!(probe.len(), 1, "half-open: one probe");
    assert!(counts(&rig.request(0, 0, 6, 1.0).1).is_empty(), "while the probe is out nobody else asks");
    rig.tell(Event::Counted(probe[0].0, 0, Outcome::Ok, 1.0));
    let asked = (10..30).filter(|c| !adds(&rig.request(0, 0, *c, 1.0).1).is_empty()).count();
    assert!(asked > 0, "closed again");
}

#[test]
fn a_failed_probe_opens_it_for_another_cooldown() {
    let mut rig = Rig::new(settings(), 4);
    open(&mut rig);
    rig.pass(S);
    assert!(failing(&mut rig, 5), "the probe");
    rig.pass(S - 1);
    assert!(!failing(&mut rig, 6));
    rig.pass(1);
    assert!(failing(&mut rig, 7), "the next probe");
}

#[test]
fn a_silent_counter_opens_it_by_time_outs() {
    let mut rig = Rig::new(settings(), 4);
    for i in 0..200 {
        let calls = counts(&rig.request(0, 0, i, 1.0).1);
        rig.pass(80 * MS);
        calls.iter().for_each(|(name, _)| drop(rig.tell(Event::Counted(*name, 0, Outcome::Timeout, 0.0))));
    }
    // 16 s: a call every second or so at the most once it is open.
    let made = counts(&rig.done).len();
    assert!((3..=30).contains(&made), "{made} calls");
}

#[test]
fn one_hot_name_does_not_open_it_for_every_customer() {
    let mut rig = Rig::new(settings(), 4);
    for _ in 0..40 {
        failing(&mut rig, 1);
        rig.pass(40 * MS);
    }
    let asked = (10..60).filter(|c| !adds(&rig.request(0, 0, *c, 1.0).1).is_empty()).count();
    assert!(asked > 0, "others still ask");
    assert!(!failing(&mut rig, 1), "the hot customer's own breaker is open");
}

#[test]
fn a_slow_counter_that_answers_now_and_then_is_asked_seldom() {
    let mut rig = Rig::new(settings(), 4);
    let mut calls = 0;
    for customer in 100..2_100 {
        rig.pass(10 * MS);
        let (_, out) = rig.request(0, 0, customer, 1.0);
        for (name, amount) in counts(&out) {
            // Two failures, one answer, and again: three in a row never come.
            calls += u32::from(amount != 0.0);
            let outcome = if amount == 0.0 || calls % 3 == 0 { Outcome::Ok } else { Outcome::Rejected };
            rig.tell(Event::Counted(name, 0, outcome, amount));
        }
    }
    assert!(calls < 200, "{calls} of 2000 requests waited for it");
}

#[test]
fn a_half_open_customer_does_not_swallow_the_common_probe() {
    let mut rig = Rig::new(settings(), 4);
    open(&mut rig);
    for _ in 0..3 {
        failing(&mut rig, 1); // Decided locally.
    }
    rig.pass(S);
    let (_, out) = rig.request(0, 0, 1, 1.0);
    let probe = adds(&out);
    assert_eq!(probe.len(), 1);
    rig.tell(Event::Counted(probe[0].0, 0, Outcome::Rejected, 0.0));
    rig.pass(S);
    assert!(failing(&mut rig, 9), "the probe was given back");
}
