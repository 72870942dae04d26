//! Choice of a server, health, retries, and requests that wait for a server.
mod common;
use common::*;
use starlinghill_decision::api::*;

#[test]
fn requests_go_to_the_server_with_the_fewest_in_flight() {
    let mut rig = Rig::new(settings(), 4);
    let mut seen: Vec<_> = (0..4).map(|_| rig.sent(0).1).collect();
    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), 4, "each of four servers gets one request before any gets two");
}

#[test]
fn an_unreachable_server_is_ejected_and_tried_again_later() {
    let mut rig = Rig::new(settings(), 2);
    let mut hits = 0;
    for _ in 0..100 {
        rig.advance(10 * MS);
        let (id, server) = rig.sent(0);
        let bad = server == ServerId(0);
        hits += u32::from(bad);
        let out = rig.attempt_ended(id, 0, server, if bad { Outcome::ConnectFailed } else { Outcome::Ok });
        assert!(!bad || sends(&out).iter().all(|s| s.1 == ServerId(1)));
        sends(&out).iter().for_each(|(id, s)| drop(rig.attempt_ended(*id, 1, *s, Outcome::Ok)));
    }
    assert!((1..=3).contains(&hits), "{hits}");
    rig.advance(9 * S);
    let tried = (0..10).any(|_| {
        let (id, server) = rig.sent(0);
        rig.attempt_ended(id, 0, server, Outcome::Ok);
        server == ServerId(0)
    });
    assert!(tried);
}

#[test]
fn timeouts_at_all_servers_eject_none_of_them() {
    let mut rig = Rig::new(settings(), 4);
    let mut last = Vec::new();
    for i in 0..200 {
        let (id, out) = rig.request(0, 3, 1, 1.0);
        for (_, server) in sends(&out) {
            rig.advance(20 * MS);
            // Every server is alike: one answer in three.
            let outcome = if i % 3 == 0 { Outcome::Ok } else { Outcome::Timeout };
            let out = rig.attempt_ended(id, 0, server, outcome);
            sends(&out).iter().for_each(|(id, s)| drop(rig.attempt_ended(*id, 1, *s, Outcome::Ok)));
            if i >= 150 {
                last.push(server);
            }
        }
    }
    last.sort();
    last.dedup();
    assert!(last.len() >= 3, "servers still in use: {last:?}");
}

#[test]
fn retries_stay_within_the_retry_budget() {
    let mut rig = Rig::new(settings(), 4);
    let (mut tries, mut first) = (0, 0);
    for _ in 0..500 {
        rig.advance(50 * MS);
        let (id, out) = rig.request(0, 3, 1, 1.0);
        let (mut out, mut attempt) = (sends(&out), 0);
        first += out.len();
        while let Some((_, server)) = out.first().copied() {
            tries += 1;
            out = sends(&rig.attempt_ended(id, attempt, server, Outcome::Error));
            attempt += 1;
        }
    }
    let retries = tries - first;
    assert!(retries > 0 && retries as f64 <= 20.0 + 0.2 * 500.0, "{retries} for {first}");
}

#[test]
fn with_every_server_at_its_limit_the_request_waits_and_is_then_refused() {
    let mut rig = Rig::new(settings(), 1);
    rig.sent(0);
    rig.sent(0);
    let (id, out) = rig.request(0, 3, 1, 1.0);
    assert!(sends(&out).is_empty() && !refused(&out, id), "it waits");
    assert!(refused(&rig.advance(400 * MS), id), "it waits no longer than the target allows");
}

#[test]
fn held_requests_are_sent_when_a_server_is_free_highest_worth_first() {
    let mut set = settings();
    set.classes[3].worth = 5.0;
    let mut rig = Rig::new(set, 1);
    let (first, server) = rig.sent(0);
    rig.sent(0);
    let (low_worth, _) = rig.request(0, 3, 1, 1.0);
    let (high_worth, _) = rig.request(3, 3, 1, 1.0);
    let out = rig.attempt_ended(first, 0, server, Outcome::Ok);
    assert_eq!(sends(&out), [(high_worth, server)]);
    assert_ne!(low_worth, high_worth);
}

#[test]
fn a_failed_subscription_is_renewed() {
    let mut set = settings();
    set.must_subscribe = true;
    let mut rig = Rig::new(set, 1);
    assert!(rig.actions.contains(&Action::Subscribe));
    rig.handle(Event::Servers(ListScope::Failed, Vec::new()));
    assert!(rig.advance(S).contains(&Action::Subscribe));
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut rig = Rig::new(settings(), 6);
        for i in 0..200 {
            rig.advance(7 * MS);
            let (id, out) = rig.request((i % 4) as usize, (i % 3) as usize, i % 5, 1.0);
            for (name, _) in counts(&out) {
                let out = rig.handle(Event::Counted(name, 0, Outcome::Ok, (i % 17) as f64));
                sends(&out).iter().for_each(|(_, s)| drop(rig.attempt_ended(id, 0, *s, Outcome::Ok)));
            }
        }
        rig.actions
    };
    assert_eq!(run(), run());
}

#[test]
fn invalid_settings_are_rejected() {
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
fn late_answers_lower_the_limits_to_less_than_one_attempt_per_server() {
    let mut rig = Rig::new(settings(), 4);
    for _ in 0..60 {
        let (id, out) = rig.request(0, 3, 1, 1.0);
        for (_, server) in sends(&out) {
            let took = Micros(600 * MS);
            let (outcome, report) = (Outcome::Ok, Report::default());
            let end =
                AttemptEnd { id, attempt: 0, server, outcome, took, ended: true, actual_units: None, report };
            rig.handle(Event::AttemptEnded(end));
        }
        rig.advance(300 * MS);
    }
    let at_once = (0..8).map(|_| sends(&rig.request(0, 3, 1, 1.0).1).len()).sum::<usize>();
    assert_eq!(at_once, 1, "one attempt in flight over all four servers");
}

#[test]
fn customers_and_servers_that_are_gone_are_forgotten() {
    let mut rig = Rig::new(settings(), 2);
    let start = rig.gateway.tracked_items();
    for i in 0..3_000u64 {
        let (old, new) = (1_000 + i as u32, 1_001 + i as u32);
        let news = vec![entry(old, Listed::Gone, None), entry(new, Listed::InService, None)];
        rig.handle(Event::Servers(ListScope::Changes, news));
        let (id, mut out) = rig.request(0, 0, i, 1.0);
        for (name, x) in counts(&out) {
            out.extend(rig.handle(Event::Counted(name, 0, Outcome::Ok, x)));
        }
        let (_, server) = sends(&out)[0];
        rig.attempt_ended(id, 0, server, Outcome::Ok);
        rig.advance(10 * MS);
    }
    assert!(rig.gateway.tracked_items() > start + 3_000, "recent customers are still kept");
    rig.advance(70 * S);
    let end = rig.gateway.tracked_items();
    assert!(end <= start + 1, "{start} at the start, {end} at the end");
}
