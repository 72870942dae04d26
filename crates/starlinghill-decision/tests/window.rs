//! Counting by windows: their edges, refusals, late answers, lost counts, and the local bucket.
mod common;
use common::*;
use starlinghill_decision::api::*;

/// Starts a request and answers its call with this total.
fn with_total(rig: &mut Rig, units: f64, total: f64) -> (RequestId, Vec<Action>) {
    let (id, out) = rig.request(0, 0, 1, units);
    let add = adds(&out);
    assert_eq!(add.len(), 1, "one call before the request is sent");
    assert!(sends(&out).is_empty(), "nothing is sent before the answer");
    (id, rig.handle(Event::Counted(add[0].0, 0, Outcome::Ok, total)))
}

#[test]
fn the_units_are_added_before_the_request_is_sent() {
    let mut rig = Rig::new(settings(), 4);
    let (id, out) = rig.request(0, 0, 1, 3.0);
    assert_eq!(adds(&out).iter().map(|a| a.1).collect::<Vec<_>>(), [3.0]);
    let out = rig.handle(Event::Counted(adds(&out)[0].0, 0, Outcome::Ok, 3.0));
    assert_eq!(sends(&out)[0].0, id);
}

#[test]
fn a_total_equal_to_the_quota_still_allows_the_request() {
    let mut rig = Rig::new(settings(), 4);
    let (_, out) = with_total(&mut rig, 2.0, 20.0);
    assert_eq!(sends(&out).len(), 1);
}

#[test]
fn a_request_over_the_quota_is_refused_with_a_retry_after_and_its_units_are_returned() {
    let mut rig = Rig::new(settings(), 4);
    // Far beyond what the bucket can have held since the window began.
    let (id, out) = with_total(&mut rig, 4.0, 400.0);
    let Some(Action::Refuse(_, Some(wait))) =
        out.iter().find(|a| matches!(a, Action::Refuse(r, _) if *r == id))
    else {
        panic!("refused with a retry-after: {out:?}");
    };
    assert!(wait.0 > 0 && wait.0 <= 2 * S);
    assert!(sends(&out).is_empty());
    // Other gateways see the units as taken until they are returned.
    assert_eq!(adds(&out).iter().map(|a| a.1).collect::<Vec<_>>(), [-4.0]);
}

#[test]
fn a_request_is_refused_without_a_call_when_its_window_is_known_to_be_full() {
    let mut rig = Rig::new(settings(), 4);
    with_total(&mut rig, 2.0, 400.0);
    let (id, out) = rig.request(0, 0, 1, 2.0);
    assert!(refused(&out, id) && adds(&out).is_empty());
}

#[test]
fn a_new_window_is_counted_under_a_new_name() {
    let mut rig = Rig::new(settings(), 4);
    let first = adds(&rig.request(0, 0, 1, 2.0).1)[0].0;
    rig.handle(Event::Counted(first, 0, Outcome::Ok, 400.0));
    rig.advance(25 * S);
    let (_, out) = rig.request(0, 0, 1, 2.0);
    assert_eq!(adds(&out).len(), 1);
    assert_ne!(adds(&out)[0].0, first);
}

#[test]
fn all_gateways_use_the_same_name_for_a_window() {
    let mut other = settings();
    other.me = 1;
    let (mut a, mut b) = (Rig::new(settings(), 4), Rig::new(other, 2));
    assert_eq!(adds(&a.request(0, 0, 1, 2.0).1)[0].0, adds(&b.request(0, 0, 1, 2.0).1)[0].0);
}

#[test]
fn a_counter_that_lost_its_counts_does_not_grant_the_quota_again() {
    // The next total contains only this call, or lacks the last eight units.
    for total in [4.0, 12.0] {
        let mut rig = Rig::new(settings(), 4);
        for total in [4.0, 8.0, 12.0, 16.0] {
            assert_eq!(sends(&with_total(&mut rig, 4.0, total).1).len(), 1);
        }
        // Four units are left, not twenty.
        assert_eq!(sends(&with_total(&mut rig, 4.0, total).1).len(), 1, "{total}");
        let (id, out) = rig.request(0, 0, 1, 4.0);
        assert!(refused(&out, id), "{total}: {out:?}");
    }
}

#[test]
fn units_counted_in_a_window_that_has_just_ended_still_count() {
    let mut rig = Rig::new(settings(), 4);
    // A new name shows that a new window has begun.
    let (mut first, mut total) = (None, 0.0);
    loop {
        let (id, out) = rig.request(0, 0, 1, 1.0);
        let name = adds(&out)[0].0;
        let new = first.is_some_and(|first| first != name);
        total = if new { 1.0 } else { total + 1.0 };
        let out = rig.handle(Event::Counted(name, 0, Outcome::Ok, total));
        rig.attempt_ended(id, 0, sends(&out)[0].1, Outcome::Ok);
        if new {
            break;
        }
        first = Some(name);
        rig.advance(500 * MS);
    }
    rig.advance(24 * S);
    // The bucket is full. Five requests take all of it, and the window ends before their answers arrive.
    let asked: Vec<_> = (0..5).map(|_| adds(&rig.request(0, 0, 1, 4.0).1)[0]).collect();
    rig.advance(1_200 * MS);
    for (n, (name, amount)) in asked.iter().enumerate() {
        let total = 1.0 + amount * (n + 1) as f64;
        assert_eq!(sends(&rig.handle(Event::Counted(*name, 0, Outcome::Ok, total))).len(), 1);
    }
    let (id, out) = rig.request(0, 0, 1, 4.0);
    assert!(refused(&out, id), "nothing is left: {out:?}");
}

#[test]
fn units_are_returned_when_the_limit_on_requests_in_flight_refuses() {
    let mut set = settings();
    set.plans[0].open = 2.0;
    let mut rig = Rig::new(set, 4);
    let (id, out) = rig.request(0, 0, 1, 3.0);
    let (window, _) = adds(&out)[0];
    let out = rig.handle(Event::Counted(window, 0, Outcome::Ok, 3.0));
    let (open, one) = adds(&out)[0];
    assert_eq!(one, 1.0);
    // Two requests are in flight at other gateways.
    let out = rig.handle(Event::Counted(open, 0, Outcome::Ok, 3.0));
    assert!(refused(&out, id));
    assert!(adds(&out).contains(&(window, -3.0)), "{out:?}");
}

#[test]
fn a_late_call_is_assumed_to_be_counted_and_its_units_are_returned_after_a_refusal() {
    let mut set = settings();
    set.plans[0].burst = 4.0;
    let mut rig = Rig::new(set, 4);
    let (_, out) = rig.request(0, 0, 1, 4.0);
    let (name, _) = adds(&out)[0];
    rig.handle(Event::Counted(name, 0, Outcome::Ok, 4.0));
    rig.advance(400 * MS);
    // Two calls time out: the local bucket admits the first request and refuses the second.
    let (_, out) = rig.request(0, 0, 1, 4.0);
    assert_eq!(adds(&out)[0].1, 4.0);
    assert_eq!(sends(&rig.handle(Event::Counted(name, 0, Outcome::Timeout, 0.0))).len(), 1);
    let (id, out) = rig.request(0, 0, 1, 4.0);
    assert_eq!(adds(&out).iter().map(|a| a.1).collect::<Vec<_>>(), [4.0], "the first stays counted");
    assert!(refused(&rig.handle(Event::Counted(name, 0, Outcome::Timeout, 0.0)), id));
    // The next call takes the second request's units off again.
    rig.advance(300 * MS);
    let next = (0..50).find_map(|_| adds(&rig.request(0, 0, 1, 1.0).1).first().map(|a| a.1));
    assert_eq!(next, Some(-3.0));
}

#[test]
fn units_admitted_without_the_counter_are_added_with_the_next_call() {
    let mut rig = Rig::new(settings(), 4);
    let (_, out) = rig.request(0, 0, 1, 2.0);
    // Rejected: nothing was added, and the local bucket admits the request.
    let out = rig.handle(Event::Counted(adds(&out)[0].0, 0, Outcome::Rejected, 0.0));
    assert_eq!(sends(&out).len(), 1);
    let next = (0..50).find_map(|_| adds(&rig.request(0, 0, 1, 1.0).1).first().map(|a| a.1));
    assert!(next.expect("some request calls") >= 3.0, "its own unit and those sent without the counter");
}

#[test]
fn without_a_counter_the_gateways_share_decides() {
    let mut set = settings();
    set.counter = false;
    let mut rig = Rig::new(set, 8);
    let mut through = 0;
    for _ in 0..400 {
        rig.advance(100 * MS);
        let (id, out) = rig.request(0, 0, 1, 1.0);
        assert!(counts(&out).is_empty());
        if let Some((_, server)) = sends(&out).first() {
            through += 1;
            rig.attempt_ended(id, 0, *server, Outcome::Ok);
        }
    }
    // 40 s at a share of 5 units a second, plus at most the share of one burst.
    assert!((190..=212).contains(&through), "{through}");
}

#[test]
fn a_request_takes_and_releases_a_slot_of_the_limit_on_requests_in_flight() {
    let mut rig = Rig::new(settings(), 4);
    let (id, out) = rig.request(0, 2, 1, 1.0);
    let (name, one) = adds(&out)[0];
    assert_eq!(one, 1.0);
    let out = rig.handle(Event::Counted(name, 0, Outcome::Ok, 1.0));
    let server = sends(&out)[0].1;
    let out = rig.attempt_ended(id, 0, server, Outcome::Ok);
    assert_eq!(adds(&out), [(name, -1.0)]);
    rig.handle(Event::Counted(name, 0, Outcome::Ok, 0.0));
    let (id, out) = rig.request(0, 2, 1, 1.0);
    assert_eq!(adds(&out), [(name, 1.0)]);
    let out = rig.handle(Event::Counted(name, 0, Outcome::Ok, 3.0));
    assert!(refused(&out, id), "two are in flight elsewhere");
    assert_eq!(adds(&out), [(name, -1.0)], "and its slot is released");
}

#[test]
fn an_answer_without_a_call_changes_nothing() {
    let mut rig = Rig::new(settings(), 4);
    assert!(rig.handle(Event::Counted(CountName(5), 0, Outcome::Ok, 1.0)).is_empty());
}

#[test]
fn without_totals_a_gateway_with_nearly_all_traffic_gets_the_larger_share() {
    let admitted = |others: f64| {
        let mut rig = Rig::new(settings(), 8);
        // This gateway adds four units at a time, and the others `others` units each time.
        let mut total = 0.0;
        for _ in 0..4 {
            rig.advance(2 * S);
            let (id, out) = rig.request(0, 0, 1, 4.0);
            for (name, amount) in counts(&out) {
                total += if amount > 0.0 { amount + others } else { amount };
                let out = rig.handle(Event::Counted(name, 0, Outcome::Ok, total));
                sends(&out).iter().for_each(|(_, s)| drop(rig.attempt_ended(id, 0, *s, Outcome::Ok)));
            }
        }
        let mut sent = 0;
        for _ in 0..300 {
            rig.advance(100 * MS);
            let (id, mut out) = rig.request(0, 0, 1, 1.0);
            for (name, _) in counts(&out.clone()) {
                out.extend(rig.handle(Event::Counted(name, 0, Outcome::Rejected, 0.0)));
            }
            sent += sends(&out).len();
            sends(&out).iter().for_each(|(_, s)| drop(rig.attempt_ended(id, 0, *s, Outcome::Ok)));
        }
        sent
    };
    let (alone, beside) = (admitted(0.0), admitted(12.0));
    assert!(alone * 4 > beside * 5, "{alone} against {beside}");
}
