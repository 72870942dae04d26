//! What changes while a gateway runs: its rules, its end, and what it takes over from an earlier process.
mod common;
use common::*;
use starlinghill_decision::api::*;

fn finals(done: &[Action], id: RequestId) -> usize {
    done.iter().filter(|a| matches!(a, Action::Refuse(r, _) | Action::Fail(r) if *r == id)).count()
}

fn rules(classes: Vec<Class>, max_attempts: usize) -> Event {
    Event::Rules(Rules { classes, max_attempts, common: None })
}

#[test]
fn an_open_request_keeps_the_rules_under_which_it_came() {
    let mut rig = Rig::new(settings(), 6);
    let (old, server) = rig.sent(0);
    // Fewer attempts, and the first class is dropped for an unsafe one in a place of its own.
    let mut classes = settings().classes;
    classes.push(class(Effect::Unsafe, Group::All));
    rig.tell(rules(classes, 1));
    let out = rig.ended(old, 0, server, Outcome::Error);
    assert_eq!(sends(&out).len(), 1, "it came when four attempts were allowed");
    let (new, server) = rig.sent(0);
    let out = rig.ended(new, 0, server, Outcome::Error);
    assert!(sends(&out).is_empty() && finals(&out, new) == 1, "one attempt from now on");
    let (unsafe_one, server) = rig.sent(4);
    assert!(failed(&rig.ended(unsafe_one, 0, server, Outcome::Reset), unsafe_one), "the new class is there");
}

#[test]
fn a_place_that_an_open_request_has_can_not_be_changed_or_taken_away() {
    for classes in [vec![class(Effect::Safe, Group::All); 5], vec![class(Effect::Safe, Group::All)]] {
        let mut rig = Rig::new(settings(), 6);
        let (open, server) = rig.sent(2);
        rig.tell(rules(classes, 4));
        let out = rig.ended(open, 0, server, Outcome::Reset);
        assert!(failed(&out, open) && sends(&out).is_empty(), "it may have run, and is unsafe as it was");
    }
}

#[test]
fn rules_that_make_no_sense_change_nothing() {
    let mut rig = Rig::new(settings(), 6);
    let broken = Class { deadline: Micros(0), ..class(Effect::Safe, Group::All) };
    rig.tell(rules(vec![broken; 4], 4));
    rig.tell(rules(settings().classes, 0));
    let (id, server) = rig.sent(0);
    assert_eq!(sends(&rig.ended(id, 0, server, Outcome::Error)).len(), 1);
}

#[test]
fn all_that_is_open_is_answered_before_the_end() {
    let mut rig = Rig::new(settings(), 4);
    let (before, _) = rig.sent(0);
    rig.pass(100 * MS);
    rig.tell(Event::ShutDown(Micros(rig.now + S)));
    // A second word of it changes nothing.
    rig.tell(Event::ShutDown(Micros(rig.now + 60 * S)));
    rig.pass(500 * MS);
    let (after, _) = rig.sent(2);
    assert_eq!(finals(&rig.done, before) + finals(&rig.done, after), 0, "neither is given up early");
    let out = rig.pass(501 * MS);
    assert_eq!((finals(&rig.done, before), finals(&rig.done, after)), (1, 1));
    assert!(failed(&rig.done, after), "the unsafe one is out: no promise");
    assert!(out.iter().any(|a| matches!(a, Action::Cancel(id, 0) if *id == before)), "and is called off");
    assert!(sends(&rig.pass(10 * S)).is_empty(), "nothing goes out afterwards");
    assert_eq!((finals(&rig.done, before), finals(&rig.done, after)), (1, 1));
}

/// Requests at a steady pace for so many milliseconds, each answered at once; returns how many went to each of two kinds of
/// server.
fn steady(rig: &mut Rig, for_ms: u64, cold: impl Fn(ServerId) -> bool) -> (usize, usize) {
    let (mut to_cold, mut to_warm) = (0, 0);
    for _ in 0..for_ms / 10 {
        let (id, out) = rig.request(0, 3, 1, 1.0);
        let mut out = out;
        out.extend(rig.pass(10 * MS));
        for (id, server) in sends(&out) {
            *(if cold(server) { &mut to_cold } else { &mut to_warm }) += 1;
            rig.ended(id, 0, server, Outcome::Ok);
        }
        let _ = id;
    }
    (to_cold, to_warm)
}

/// All servers but the first few start anew now.
fn restart(rig: &mut Rig, servers: u32, but: u32) {
    let started = Some(rig.now);
    let entries = (0..servers).map(|i| entry(i, Listed::InService, started.filter(|_| i >= but))).collect();
    rig.tell(Event::Servers(ListScope::Complete, entries));
}

#[test]
fn with_every_server_cold_they_go_on_getting_their_part() {
    let mut rig = Rig::new(Settings { fall_multiple: 4.0, ..settings() }, 12);
    steady(&mut rig, 20_000, |_| false);
    restart(&mut rig, 12, 0);
    let is_cold = |_| true;
    // They start a unit or two in debt.
    steady(&mut rig, 3_000, is_cold);
    let early = steady(&mut rig, 2_000, is_cold).0;
    let later = steady(&mut rig, 2_000, is_cold).0;
    // 100 a second over 12 servers, which are at 0.4 of their capacity by then: 40 a second, and half as much again.
    assert!(early >= 80, "{early}");
    assert!(later >= early, "no spiral: {early}, then {later}");
    // And never what would make one fall over: 4 times what a warm one bears, for its capacity.
    assert!(later < 4 * 80, "{later}");
}

#[test]
fn a_process_that_takes_over_knows_what_servers_bear() {
    let mut old = Rig::new(Settings { fall_multiple: 4.0, ..settings() }, 12);
    steady(&mut old, 20_000, |_| false);
    let learned = old.gateway.learned_state();
    assert!(learned.per_weight > 5.0 && learned.servers.len() == 12, "{learned:?}");
    let is_cold = |_| true;
    let fresh = |learned: Option<LearnedState>| {
        let mut new = Rig::new(Settings { fall_multiple: 4.0, ..settings() }, 12);
        new.now = old.now;
        restart(&mut new, 12, 0);
        learned.into_iter().for_each(|learned| drop(new.tell(Event::Learned(learned))));
        steady(&mut new, 4_000, is_cold).0
    };
    let (with, without) = (fresh(Some(learned.clone())), fresh(None));
    assert!(with > 2 * without, "{with} against {without}");
    assert!(without > 0, "with nothing known, little goes out, but something");
    // What is old, or false, counts for nothing.
    let old_news = LearnedState { at: learned.at - Micros(10 * S), ..learned.clone() };
    let from_tomorrow = LearnedState { at: learned.at + Micros(100 * S), ..learned.clone() };
    let absurd = LearnedState { per_weight: 1e9, ..learned.clone() };
    let no_number = LearnedState { per_weight: f64::NAN, ..learned.clone() };
    for bad in [old_news, from_tomorrow, absurd, no_number] {
        assert_eq!(fresh(Some(bad.clone())), without, "{bad:?}");
    }
}

/// A request whose body is passed on, sent at once; returns where it went.
fn upload(rig: &mut Rig, class: usize) -> (RequestId, Vec<Action>) {
    let id = RequestId(rig.next);
    rig.next += 1;
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
    (id, rig.tell(Event::Request(a)))
}

#[test]
fn what_can_be_sent_once_is_not_sent_again() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::ConnectFailed] {
        let mut rig = Rig::new(settings(), 4);
        let (id, out) = upload(&mut rig, 0);
        let server = sends(&out)[0].1;
        let out = rig.ended(id, 0, server, outcome);
        assert!(sends(&out).is_empty() && refused(&out, id), "{outcome:?}: {out:?}");
    }
}

#[test]
fn an_upload_takes_a_place_at_its_server_from_its_last_byte_on() {
    let mut rig = Rig::new(settings(), 1);
    // Far more than may be out at one server.
    let coming: Vec<RequestId> = (0..30)
        .map(|_| upload(&mut rig, 0))
        .map(|(id, out)| {
            assert_eq!(sends(&out).len(), 1);
            id
        })
        .collect();
    let (id, server) = rig.sent(0);
    rig.ended(id, 0, server, Outcome::Ok);
    // All are whole: now they are work, and the next one waits.
    coming.iter().for_each(|id| drop(rig.tell(Event::BodyComplete(*id))));
    // Told twice is told once.
    coming.iter().for_each(|id| drop(rig.tell(Event::BodyComplete(*id))));
    assert!(sends(&rig.request(0, 3, 1, 1.0).1).is_empty());
    // Places come back, each once, also of one that ends before it is whole.
    coming.iter().for_each(|id| drop(rig.ended(*id, 0, server, Outcome::Ok)));
    rig.pass(S);
    let (id, out) = upload(&mut rig, 0);
    rig.ended(id, 0, sends(&out)[0].1, Outcome::Ok);
    let out: usize = (0..2).map(|_| sends(&rig.request(0, 3, 1, 1.0).1).len()).sum();
    assert!(out >= 1, "none is held for good");
}

#[test]
fn a_server_whose_answers_break_off_later_is_left_alone_for_a_while() {
    let mut rig = Rig::new(settings(), 4);
    for _ in 0..8 {
        rig.tell(Event::ResponseBroken(ServerId(2)));
    }
    for _ in 0..40 {
        let (id, server) = rig.sent(0);
        assert_ne!(server, ServerId(2));
        rig.ended(id, 0, server, Outcome::Ok);
        rig.pass(5 * MS);
    }
    // Of a server that nobody knows it says nothing.
    rig.tell(Event::ResponseBroken(ServerId(99)));
}

/// How many of the last hundred of requests ask the counter, where it takes so long for its answers.
fn asking(took: impl Fn(usize) -> u64) -> usize {
    let mut rig = Rig::new(settings(), 8);
    let mut asked = 0;
    for n in 0..1_000 {
        // Each of a customer of its own, so that none is full.
        let (id, mut out) = rig.request(0, 0, 1_000 + n as u64, 1.0);
        if let Some((name, _)) = adds(&out).first().copied() {
            asked += usize::from(n >= 900);
            rig.pass(took(n) * MS);
            out.extend(rig.tell(Event::Counted(name, 0, Outcome::Ok, 1.0)));
        }
        sends(&out).iter().for_each(|(_, server)| drop(rig.ended(id, 0, *server, Outcome::Ok)));
    }
    asked
}

#[test]
fn a_counter_that_is_slow_by_itself_is_asked_and_one_whose_calls_queue_is_asked_less() {
    // The time there is is 80 ms.
    assert!(asking(|_| 60) > 95, "slow, but no slower than ever");
    assert!(asking(|n| if n % 10 == 0 { 10 } else { 60 }) < 60, "10 ms at its best: the rest is waiting");
}
