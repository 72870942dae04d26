//! The window count: its edges, refusals, late answers, lost adds, and the local bucket.
mod common;
use common::*;
use starlinghill_decision::api::*;

/// One request whose call is answered with this total.
fn with_total(rig: &mut Rig, units: f64, total: f64) -> (RequestId, Vec<Action>) {
    let (id, out) = rig.request(0, 0, 1, units);
    let add = adds(&out);
    assert_eq!(add.len(), 1, "one add before sending on");
    assert!(sends(&out).is_empty(), "nothing is sent on before the answer");
    (id, rig.tell(Event::Counted(add[0].0, 0, Outcome::Ok, total)))
}

#[test]
fn one_add_of_the_units_then_the_send() {
    let mut rig = Rig::new(settings(), 4);
    let (id, out) = rig.request(0, 0, 1, 3.0);
    assert_eq!(adds(&out).iter().map(|a| a.1).collect::<Vec<_>>(), [3.0]);
    let out = rig.tell(Event::Counted(adds(&out)[0].0, 0, Outcome::Ok, 3.0));
    assert_eq!(sends(&out)[0].0, id);
}

#[test]
fn the_allowance_itself_still_goes_on() {
    let mut rig = Rig::new(settings(), 4);
    let (_, out) = with_total(&mut rig, 2.0, 20.0);
    assert_eq!(sends(&out).len(), 1);
}

#[test]
fn over_the_allowance_is_refused_added_back_and_told_when_to_come() {
    let mut rig = Rig::new(settings(), 4);
    // Far beyond what the store can have held since the window began.
    let (id, out) = with_total(&mut rig, 4.0, 400.0);
    let Some(Action::Refuse(_, Some(wait))) =
        out.iter().find(|a| matches!(a, Action::Refuse(r, _) if *r == id))
    else {
        panic!("refused with advice: {out:?}");
    };
    assert!(wait.0 > 0 && wait.0 <= 2 * S);
    assert!(sends(&out).is_empty());
    // Others see it as taken until it is back.
    assert_eq!(adds(&out).iter().map(|a| a.1).collect::<Vec<_>>(), [-4.0]);
}

#[test]
fn a_known_full_window_is_refused_without_a_call() {
    let mut rig = Rig::new(settings(), 4);
    with_total(&mut rig, 2.0, 400.0);
    let (id, out) = rig.request(0, 0, 1, 2.0);
    assert!(refused(&out, id) && adds(&out).is_empty());
}

#[test]
fn a_new_window_asks_again_under_a_new_name() {
    let mut rig = Rig::new(settings(), 4);
    let first = adds(&rig.request(0, 0, 1, 2.0).1)[0].0;
    rig.tell(Event::Counted(first, 0, Outcome::Ok, 400.0));
    rig.pass(25 * S);
    let (_, out) = rig.request(0, 0, 1, 2.0);
    assert_eq!(adds(&out).len(), 1);
    assert_ne!(adds(&out)[0].0, first);
}

#[test]
fn gateways_agree_on_the_name() {
    let mut other = settings();
    other.me = 1;
    let (mut a, mut b) = (Rig::new(settings(), 4), Rig::new(other, 2));
    assert_eq!(adds(&a.request(0, 0, 1, 2.0).1)[0].0, adds(&b.request(0, 0, 1, 2.0).1)[0].0);
}

#[test]
fn an_emptied_counter_or_one_set_back_grants_nothing_anew() {
    // The next total holds this add alone, or what the counter had before the last eight units.
    for total in [4.0, 12.0] {
        let mut rig = Rig::new(settings(), 4);
        for total in [4.0, 8.0, 12.0, 16.0] {
            assert_eq!(sends(&with_total(&mut rig, 4.0, total).1).len(), 1);
        }
        // Four units are left, and no twenty.
        assert_eq!(sends(&with_total(&mut rig, 4.0, total).1).len(), 1, "{total}");
        let (id, out) = rig.request(0, 0, 1, 4.0);
        assert!(refused(&out, id), "{total}: {out:?}");
    }
}

#[test]
fn what_was_counted_in_a_window_that_ended_meanwhile_is_reckoned_with() {
    let mut rig = Rig::new(settings(), 4);
    // The edge shows in the name.
    let (mut first, mut total) = (None, 0.0);
    loop {
        let (id, out) = rig.request(0, 0, 1, 1.0);
        let name = adds(&out)[0].0;
        let new = first.is_some_and(|first| first != name);
        total = if new { 1.0 } else { total + 1.0 };
        let out = rig.tell(Event::Counted(name, 0, Outcome::Ok, total));
        rig.ended(id, 0, sends(&out)[0].1, Outcome::Ok);
        if new {
            break;
        }
        first = Some(name);
        rig.pass(500 * MS);
    }
    rig.pass(24 * S);
    // The store is full; five requests take all of it, and the window ends before their answers come.
    let asked: Vec<_> = (0..5).map(|_| adds(&rig.request(0, 0, 1, 4.0).1)[0]).collect();
    rig.pass(1_200 * MS);
    for (n, (name, amount)) in asked.iter().enumerate() {
        let total = 1.0 + amount * (n + 1) as f64;
        assert_eq!(sends(&rig.tell(Event::Counted(*name, 0, Outcome::Ok, total))).len(), 1);
    }
    let (id, out) = rig.request(0, 0, 1, 4.0);
    assert!(refused(&out, id), "nothing is left: {out:?}");
}

#[test]
fn units_go_back_where_the_cap_on_attempts_out_refuses() {
    let mut set = settings();
    set.plans[0].open = 2.0;
    let mut rig = Rig::new(set, 4);
    let (id, out) = rig.request(0, 0, 1, 3.0);
    let (window, _) = adds(&out)[0];
    let out = rig.tell(Event::Counted(window, 0, Outcome::Ok, 3.0));
    let (place, one) = adds(&out)[0];
    assert_eq!(one, 1.0);
    // Two are out elsewhere.
    let out = rig.tell(Event::Counted(place, 0, Outcome::Ok, 3.0));
    assert!(refused(&out, id));
    assert!(adds(&out).contains(&(window, -3.0)), "{out:?}");
}

#[test]
fn a_call_that_came_late_is_held_to_have_been_counted_and_goes_back_when_refused() {
    let mut set = settings();
    set.plans[0].burst = 4.0;
    let mut rig = Rig::new(set, 4);
    let (_, out) = rig.request(0, 0, 1, 4.0);
    let (name, _) = adds(&out)[0];
    rig.tell(Event::Counted(name, 0, Outcome::Ok, 4.0));
    rig.pass(400 * MS);
    // Two late answers: the local bucket lets the first go on and not the second.
    let (_, out) = rig.request(0, 0, 1, 4.0);
    assert_eq!(adds(&out)[0].1, 4.0);
    assert_eq!(sends(&rig.tell(Event::Counted(name, 0, Outcome::Timeout, 0.0))).len(), 1);
    let (id, out) = rig.request(0, 0, 1, 4.0);
    assert_eq!(adds(&out).iter().map(|a| a.1).collect::<Vec<_>>(), [4.0], "the first is on the counter");
    assert!(refused(&rig.tell(Event::Counted(name, 0, Outcome::Timeout, 0.0)), id));
    // With the next call the second comes off again.
    rig.pass(300 * MS);
    let next = (0..50).find_map(|_| adds(&rig.request(0, 0, 1, 1.0).1).first().map(|a| a.1));
    assert_eq!(next, Some(-3.0));
}

#[test]
fn local_spend_goes_out_with_the_next_call() {
    let mut rig = Rig::new(settings(), 4);
    let (_, out) = rig.request(0, 0, 1, 2.0);
    // Turned away: nothing was added, the local bucket lets it go on.
    let out = rig.tell(Event::Counted(adds(&out)[0].0, 0, Outcome::Rejected, 0.0));
    assert_eq!(sends(&out).len(), 1);
    let next = (0..50).find_map(|_| adds(&rig.request(0, 0, 1, 1.0).1).first().map(|a| a.1));
    assert!(next.expect("somebody asks") >= 3.0, "its own unit and what went on unheard");
}

#[test]
fn without_a_counter_the_share_decides() {
    let mut set = settings();
    set.counter = false;
    let mut rig = Rig::new(set, 8);
    let mut through = 0;
    for _ in 0..400 {
        rig.pass(100 * MS);
        let (id, out) = rig.request(0, 0, 1, 1.0);
        assert!(counts(&out).is_empty());
        if let Some((_, server)) = sends(&out).first() {
            through += 1;
            rig.ended(id, 0, *server, Outcome::Ok);
        }
    }
    // 40 s at a share of 5 units a second, and at most one burst's share on top.
    assert!((190..=212).contains(&through), "{through}");
}

#[test]
fn the_cap_on_attempts_out_is_asked_and_let_go() {
    let mut rig = Rig::new(settings(), 4);
    let (id, out) = rig.request(0, 2, 1, 1.0);
    let (name, one) = adds(&out)[0];
    assert_eq!(one, 1.0);
    let out = rig.tell(Event::Counted(name, 0, Outcome::Ok, 1.0));
    let server = sends(&out)[0].1;
    let out = rig.ended(id, 0, server, Outcome::Ok);
    assert_eq!(adds(&out), [(name, -1.0)]);
    rig.tell(Event::Counted(name, 0, Outcome::Ok, 0.0));
    let (id, out) = rig.request(0, 2, 1, 1.0);
    assert_eq!(adds(&out), [(name, 1.0)]);
    let out = rig.tell(Event::Counted(name, 0, Outcome::Ok, 3.0));
    assert!(refused(&out, id), "two are out elsewhere");
    assert_eq!(adds(&out), [(name, -1.0)], "and the place goes back");
}

#[test]
fn an_answer_to_a_call_never_made_changes_nothing() {
    let mut rig = Rig::new(settings(), 4);
    assert!(rig.tell(Event::Counted(CountName(5), 0, Outcome::Ok, 1.0)).is_empty());
}

#[test]
fn unheard_a_gateway_that_carries_nearly_all_gets_the_larger_share() {
    let passed = |others: f64| {
        let mut rig = Rig::new(settings(), 8);
        // This gateway adds four units at a time, and others theirs.
        let mut total = 0.0;
        for _ in 0..4 {
            rig.pass(2 * S);
            let (id, out) = rig.request(0, 0, 1, 4.0);
            for (name, amount) in counts(&out) {
                total += if amount > 0.0 { amount + others } else { amount };
                let out = rig.tell(Event::Counted(name, 0, Outcome::Ok, total));
                sends(&out).iter().for_each(|(_, s)| drop(rig.ended(id, 0, *s, Outcome::Ok)));
            }
        }
        let mut passed = 0;
        for _ in 0..300 {
            rig.pass(100 * MS);
            let (id, mut out) = rig.request(0, 0, 1, 1.0);
            for (name, _) in counts(&out.clone()) {
                out.extend(rig.tell(Event::Counted(name, 0, Outcome::Rejected, 0.0)));
            }
            passed += sends(&out).len();
            sends(&out).iter().for_each(|(_, s)| drop(rig.ended(id, 0, *s, Outcome::Ok)));
        }
        passed
    };
    let (alone, beside) = (passed(0.0), passed(12.0));
    assert!(alone * 4 > beside * 5, "{alone} against {beside}");
}
