//! Changes while a gateway runs: its rules, its end, uploads, and state taken over from an earlier process.
mod common;
use common::*;
use starlinghill_decision::api::*;

fn final_answers(done: &[Action], id: RequestId) -> usize {
    done.iter().filter(|a| matches!(a, Action::Refuse(r, _) | Action::Fail(r) if *r == id)).count()
}

fn rules(classes: Vec<Class>, max_attempts: usize) -> Event {
    Event::Rules(Rules { classes, max_attempts, common: None })
}

#[test]
fn an_open_request_keeps_the_rules_under_which_it_arrived() {
    let mut rig = Rig::new(settings(), 6);
    let (old, server) = rig.sent(0);
    // Fewer attempts are allowed, and an unsafe class is added at an index of its own.
    let mut classes = settings().classes;
    classes.push(class(Effect::Unsafe, Group::All));
    rig.handle(rules(classes, 1));
    let out = rig.attempt_ended(old, 0, server, Outcome::Error);
    assert_eq!(sends(&out).len(), 1, "it arrived when four attempts were allowed");
    let (new, server) = rig.sent(0);
    let out = rig.attempt_ended(new, 0, server, Outcome::Error);
    assert!(sends(&out).is_empty() && final_answers(&out, new) == 1, "one attempt from now on");
    let (unsafe_one, server) = rig.sent(4);
    assert!(
        failed(&rig.attempt_ended(unsafe_one, 0, server, Outcome::Reset), unsafe_one),
        "the new class is in use"
    );
}

#[test]
fn a_class_that_an_open_request_uses_cannot_be_changed_or_removed() {
    for classes in [vec![class(Effect::Safe, Group::All); 5], vec![class(Effect::Safe, Group::All)]] {
        let mut rig = Rig::new(settings(), 6);
        let (open, server) = rig.sent(2);
        rig.handle(rules(classes, 4));
        let out = rig.attempt_ended(open, 0, server, Outcome::Reset);
        assert!(
            failed(&out, open) && sends(&out).is_empty(),
            "it may have run, and its class is still unsafe"
        );
    }
}

#[test]
fn invalid_rules_change_nothing() {
    let mut rig = Rig::new(settings(), 6);
    let broken = Class { deadline: Micros(0), ..class(Effect::Safe, Group::All) };
    rig.handle(rules(vec![broken; 4], 4));
    rig.handle(rules(settings().classes, 0));
    let (id, server) = rig.sent(0);
    assert_eq!(sends(&rig.attempt_ended(id, 0, server, Outcome::Error)).len(), 1);
}

#[test]
fn every_open_request_is_answered_before_the_gateway_ends() {
    let mut rig = Rig::new(settings(), 4);
    let (before, _) = rig.sent(0);
    rig.advance(100 * MS);
    rig.handle(Event::ShutDown(Micros(rig.now + S)));
    // A second shutdown event changes nothing.
    rig.handle(Event::ShutDown(Micros(rig.now + 60 * S)));
    rig.advance(500 * MS);
    let (after, _) = rig.sent(2);
    assert_eq!(
        final_answers(&rig.actions, before) + final_answers(&rig.actions, after),
        0,
        "neither is answered early"
    );
    let out = rig.advance(501 * MS);
    assert_eq!((final_answers(&rig.actions, before), final_answers(&rig.actions, after)), (1, 1));
    assert!(failed(&rig.actions, after), "the unsafe one is in flight, so it can't be refused");
    assert!(
        out.iter().any(|a| matches!(a, Action::Cancel(id, 0) if *id == before)),
        "and its attempt is cancelled"
    );
    assert!(sends(&rig.advance(10 * S)).is_empty(), "nothing is sent afterwards");
    assert_eq!((final_answers(&rig.actions, before), final_answers(&rig.actions, after)), (1, 1));
}

/// Starts a request every 10 ms for this time, each answered at once; returns how many went to servers that
/// `cold` selects and to the others.
fn steady(rig: &mut Rig, for_ms: u64, cold: impl Fn(ServerId) -> bool) -> (usize, usize) {
    let (mut to_cold, mut to_warm) = (0, 0);
    for _ in 0..for_ms / 10 {
        let (id, out) = rig.request(0, 3, 1, 1.0);
        let mut out = out;
        out.extend(rig.advance(10 * MS));
        for (id, server) in sends(&out) {
            *(if cold(server) { &mut to_cold } else { &mut to_warm }) += 1;
            rig.attempt_ended(id, 0, server, Outcome::Ok);
        }
        let _ = id;
    }
    (to_cold, to_warm)
}

/// Restarts all servers but the first `but`.
fn restart(rig: &mut Rig, servers: u32, but: u32) {
    let started = Some(rig.now);
    let entries = (0..servers).map(|i| entry(i, Listed::InService, started.filter(|_| i >= but))).collect();
    rig.handle(Event::Servers(ListScope::Complete, entries));
}

#[test]
fn with_every_server_cold_the_load_does_not_spiral_down() {
    let mut rig = Rig::new(Settings { fall_multiple: 4.0, ..settings() }, 12);
    steady(&mut rig, 20_000, |_| false);
    restart(&mut rig, 12, 0);
    let is_cold = |_| true;
    // Cold servers start with one or two units of debt.
    steady(&mut rig, 3_000, is_cold);
    let early = steady(&mut rig, 2_000, is_cold).0;
    let later = steady(&mut rig, 2_000, is_cold).0;
    // 100 units a second over 12 servers, which have 0.4 of their capacity by then: 40 units a second, plus
    // half for the margin.
    assert!(early >= 80, "{early}");
    assert!(later >= early, "load must not spiral down: {early}, then {later}");
    // Never the load that overloads one: 4 times what a warm server gets, for its capacity.
    assert!(later < 4 * 80, "{later}");
}

#[test]
fn a_new_process_uses_the_capacity_that_the_old_one_measured() {
    let mut old = Rig::new(Settings { fall_multiple: 4.0, ..settings() }, 12);
    steady(&mut old, 20_000, |_| false);
    let learned = old.gateway.learned_state();
    assert!(learned.per_weight > 5.0 && learned.servers.len() == 12, "{learned:?}");
    let is_cold = |_| true;
    let fresh = |learned: Option<LearnedState>| {
        let mut new = Rig::new(Settings { fall_multiple: 4.0, ..settings() }, 12);
        new.now = old.now;
        restart(&mut new, 12, 0);
        learned.into_iter().for_each(|learned| drop(new.handle(Event::Learned(learned))));
        steady(&mut new, 4_000, is_cold).0
    };
    let (with, without) = (fresh(Some(learned.clone())), fresh(None));
    assert!(with > 2 * without, "{with} against {without}");
    assert!(without > 0, "a process without state sends little, but something");
    // Old or impossible state is ignored.
    let outdated = LearnedState { at: learned.at - Micros(10 * S), ..learned.clone() };
    let from_the_future = LearnedState { at: learned.at + Micros(100 * S), ..learned.clone() };
    let too_high = LearnedState { per_weight: 1e9, ..learned.clone() };
    let not_a_number = LearnedState { per_weight: f64::NAN, ..learned.clone() };
    for bad in [outdated, from_the_future, too_high, not_a_number] {
        assert_eq!(fresh(Some(bad.clone())), without, "{bad:?}");
    }
}

/// Starts a request whose body is streamed; returns its id and the actions.
fn upload(rig: &mut Rig, class: usize) -> (RequestId, Vec<Action>) {
    let id = RequestId(rig.next_id);
    rig.next_id += 1;
    let deadline = Micros(rig.now + 60 * S);
    let (class, plan, customer) = (ClassId(class), PlanId(3), CustomerId(1));
    let a = Arrival {
        id,
        class,
        plan,
        customer,
        spread: 2,
        deadline,
        units: 1.0,
        once: true,
        ..Arrival::default()
    };
    (id, rig.handle(Event::Request(a)))
}

#[test]
fn a_streamed_upload_is_not_retried() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::ConnectFailed] {
        let mut rig = Rig::new(settings(), 4);
        let (id, out) = upload(&mut rig, 0);
        let server = sends(&out)[0].1;
        let out = rig.attempt_ended(id, 0, server, outcome);
        assert!(sends(&out).is_empty() && refused(&out, id), "{outcome:?}: {out:?}");
    }
}

#[test]
fn an_upload_counts_as_in_flight_only_from_its_last_byte_on() {
    let mut rig = Rig::new(settings(), 1);
    // Far more than the limit of one server.
    let uploads: Vec<RequestId> = (0..30)
        .map(|_| upload(&mut rig, 0))
        .map(|(id, out)| {
            assert_eq!(sends(&out).len(), 1);
            id
        })
        .collect();
    let (id, server) = rig.sent(0);
    rig.attempt_ended(id, 0, server, Outcome::Ok);
    // With complete bodies all count as in flight, so the next request waits.
    uploads.iter().for_each(|id| drop(rig.handle(Event::BodyComplete(*id))));
    // A repeated event changes nothing.
    uploads.iter().for_each(|id| drop(rig.handle(Event::BodyComplete(*id))));
    assert!(sends(&rig.request(0, 3, 1, 1.0).1).is_empty());
    // Each slot is released once, also by an upload that ends before its body is complete.
    uploads.iter().for_each(|id| drop(rig.attempt_ended(*id, 0, server, Outcome::Ok)));
    rig.advance(S);
    let (id, out) = upload(&mut rig, 0);
    rig.attempt_ended(id, 0, sends(&out)[0].1, Outcome::Ok);
    let out: usize = (0..2).map(|_| sends(&rig.request(0, 3, 1, 1.0).1).len()).sum();
    assert!(out >= 1, "no slot stays taken");
}

#[test]
fn a_server_whose_responses_break_off_is_ejected() {
    let mut rig = Rig::new(settings(), 4);
    for _ in 0..8 {
        rig.handle(Event::ResponseBroken(ServerId(2)));
    }
    for _ in 0..40 {
        let (id, server) = rig.sent(0);
        assert_ne!(server, ServerId(2));
        rig.attempt_ended(id, 0, server, Outcome::Ok);
        rig.advance(5 * MS);
    }
    // An unknown server is ignored.
    rig.handle(Event::ResponseBroken(ServerId(99)));
}

/// How many of the last 100 of 1,000 requests call the counter, which takes `took` milliseconds for each
/// answer.
fn last_calls(took: impl Fn(usize) -> u64) -> usize {
    let mut rig = Rig::new(settings(), 8);
    let mut calls = 0;
    for n in 0..1_000 {
        // Each request is of another customer, so that no quota is used up.
        let (id, mut out) = rig.request(0, 0, 1_000 + n as u64, 1.0);
        if let Some((name, _)) = adds(&out).first().copied() {
            calls += usize::from(n >= 900);
            rig.advance(took(n) * MS);
            out.extend(rig.handle(Event::Counted(name, 0, Outcome::Ok, 1.0)));
        }
        sends(&out).iter().for_each(|(_, server)| drop(rig.attempt_ended(id, 0, *server, Outcome::Ok)));
    }
    calls
}

#[test]
fn an_always_slow_counter_gets_all_calls_and_one_whose_calls_queue_gets_fewer() {
    // The time limit of a call is 80 ms.
    assert!(last_calls(|_| 60) > 95, "always equally slow");
    assert!(last_calls(|n| if n % 10 == 0 { 10 } else { 60 }) < 60, "10 ms without queueing");
}
