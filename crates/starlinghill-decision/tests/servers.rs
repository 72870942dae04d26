//! Choice of a server, health, further attempts and what waits.
mod common;
use common::*;
use starlinghill_decision::api::*;

#[test]
fn work_spreads_by_what_is_out() {
    let mut rig = Rig::new(settings(), 4);
    let mut seen: Vec<_> = (0..4).map(|_| rig.sent(0).1).collect();
    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), 4, "each of four gets one before any gets two");
}

#[test]
fn an_unreachable_server_is_ejected_and_tried_again_later() {
    let mut rig = Rig::new(settings(), 2);
    let mut hits = 0;
    for _ in 0..100 {
        rig.pass(10 * MS);
        let (id, server) = rig.sent(0);
        let bad = server == ServerId(0);
        hits += u32::from(bad);
        let out = rig.ended(id, 0, server, if bad { Outcome::ConnectFailed } else { Outcome::Ok });
        assert!(!bad || sends(&out).iter().all(|s| s.1 == ServerId(1)));
        sends(&out).iter().for_each(|(id, s)| drop(rig.ended(*id, 1, *s, Outcome::Ok)));
    }
    assert!((1..=3).contains(&hits), "{hits}");
    rig.pass(9 * S);
    let tried = (0..10).any(|_| {
        let (id, server) = rig.sent(0);
        rig.ended(id, 0, server, Outcome::Ok);
        server == ServerId(0)
    });
    assert!(tried);
}

#[test]
fn time_outs_everywhere_eject_nobody() {
    let mut rig = Rig::new(settings(), 4);
    let mut last = Vec::new();
    for i in 0..200 {
        let (id, out) = rig.request(0, 3, 1, 1.0);
        for (_, server) in sends(&out) {
            rig.pass(20 * MS);
            // Every server alike: one answer in three.
            let outcome = if i % 3 == 0 { Outcome::Ok } else { Outcome::Timeout };
            let out = rig.ended(id, 0, server, outcome);
            sends(&out).iter().for_each(|(id, s)| drop(rig.ended(*id, 1, *s, Outcome::Ok)));
            if i >= 150 {
                last.push(server);
            }
        }
    }
    last.sort();
    last.dedup();
    assert!(last.len() >= 3, "still in use: {last:?}");
}

#[test]
fn further_attempts_stay_within_the_retry_budget() {
    let mut rig = Rig::new(settings(), 4);
    let (mut tries, mut first) = (0, 0);
    for _ in 0..500 {
        rig.pass(50 * MS);
        let (id, out) = rig.request(0, 3, 1, 1.0);
        let (mut out, mut attempt) = (sends(&out), 0);
        first += out.len();
        while let Some((_, server)) = out.first().copied() {
            tries += 1;
            out = sends(&rig.ended(id, attempt, server, Outcome::Error));
            attempt += 1;
        }
    }
    let further = tries - first;
    assert!(further > 0 && further as f64 <= 20.0 + 0.2 * 500.0, "{further} of {first}");
}

#[test]
fn with_every_server_full_the_request_waits_and_then_is_refused() {
    let mut rig = Rig::new(settings(), 1);
    rig.sent(0);
    rig.sent(0);
    let (id, out) = rig.request(0, 3, 1, 1.0);
    assert!(sends(&out).is_empty() && !refused(&out, id), "it waits");
    assert!(refused(&rig.pass(400 * MS), id), "not past what the target allows");
}

#[test]
fn a_held_request_goes_when_a_server_is_free_and_the_dearest_first() {
    let mut set = settings();
    set.classes[3].worth = 5.0;
    let mut rig = Rig::new(set, 1);
    let (first, server) = rig.sent(0);
    rig.sent(0);
    let (cheap, _) = rig.request(0, 3, 1, 1.0);
    let (dear, _) = rig.request(3, 3, 1, 1.0);
    let out = rig.ended(first, 0, server, Outcome::Ok);
    assert_eq!(sends(&out), [(dear, server)]);
    assert_ne!(cheap, dear);
}

#[test]
fn a_lost_subscription_is_renewed() {
    let mut set = settings();
    set.must_subscribe = true;
    let mut rig = Rig::new(set, 1);
    assert!(rig.done.contains(&Action::Subscribe));
    rig.tell(Event::Servers(ListScope::Failed, Vec::new()));
    assert!(rig.pass(S).contains(&Action::Subscribe));
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut rig = Rig::new(settings(), 6);
        for i in 0..200 {
            rig.pass(7 * MS);
            let (id, out) = rig.request((i % 4) as usize, (i % 3) as usize, i % 5, 1.0);
            for (name, _) in counts(&out) {
                let out = rig.tell(Event::Counted(name, 0, Outcome::Ok, (i % 17) as f64));
                sends(&out).iter().for_each(|(_, s)| drop(rig.ended(id, 0, *s, Outcome::Ok)));
            }
        }
        rig.done
    };
    assert_eq!(run(), run());
}

#[test]
fn senseless_settings_are_refused() {
    let bad = |change: fn(&mut Settings)| {
        let mut set = settings();
        change(&mut set);
        starlinghill_decision::Gateway::new(1, set).is_err()
    };
    assert!(bad(|s| s.gateways = 0));
    assert!(bad(|s| s.me = 2));
    assert!(bad(|s| s.plans[0].rate = -1.0));
    assert!(bad(|s| s.plans[0].price = f64::NAN));
    assert!(bad(|s| s.plans[0].burst = 0.0));
    assert!(!bad(|_| ()));
}

#[test]
fn late_answers_lower_what_may_be_out_even_below_one_a_server() {
    let mut rig = Rig::new(settings(), 4);
    for _ in 0..60 {
        let (id, out) = rig.request(0, 3, 1, 1.0);
        for (_, server) in sends(&out) {
            let took = Micros(600 * MS);
            let (outcome, report) = (Outcome::Ok, Report::default());
            let end =
                AttemptEnd { id, attempt: 0, server, outcome, took, ended: true, actual_units: None, report };
            rig.tell(Event::AttemptEnded(end));
        }
        rig.pass(300 * MS);
    }
    let at_once = (0..8).map(|_| sends(&rig.request(0, 3, 1, 1.0).1).len()).sum::<usize>();
    assert_eq!(at_once, 1, "one attempt out over all four");
}

#[test]
fn what_came_once_is_forgotten() {
    let mut rig = Rig::new(settings(), 2);
    let start = rig.gateway.tracked_items();
    for i in 0..3_000u64 {
        let (old, new) = (1_000 + i as u32, 1_001 + i as u32);
        let news = vec![entry(old, Listed::Gone, None), entry(new, Listed::InService, None)];
        rig.tell(Event::Servers(ListScope::Changes, news));
        let (id, mut out) = rig.request(0, 0, i, 1.0);
        for (name, x) in counts(&out) {
            out.extend(rig.tell(Event::Counted(name, 0, Outcome::Ok, x)));
        }
        let (_, server) = sends(&out)[0];
        rig.ended(id, 0, server, Outcome::Ok);
        rig.pass(10 * MS);
    }
    assert!(rig.gateway.tracked_items() > start + 3_000, "the last ones are known");
    rig.pass(70 * S);
    let end = rig.gateway.tracked_items();
    assert!(end <= start + 1, "{start} at the start, {end} at the end");
}
