//! Rules that must never be broken: one answer by the deadline, no unsafe retry, no request to a removed
//! server, no overload of cold servers, and no use above a ceiling.
mod common;
use common::*;
use starlinghill_decision::api::*;

fn final_answers(done: &[Action], id: RequestId) -> usize {
    done.iter().filter(|a| matches!(a, Action::Refuse(r, _) | Action::Fail(r) if *r == id)).count()
}

#[test]
fn every_request_is_answered_once_by_its_deadline() {
    let mut rig = Rig::new(settings(), 4);
    let (id, _) = rig.sent(0);
    rig.advance(3 * S);
    assert_eq!(final_answers(&rig.actions, id), 1, "no outcome ever arrived");
    rig.advance(10 * S);
    assert_eq!(final_answers(&rig.actions, id), 1);
}

#[test]
fn with_no_server_the_request_is_refused_in_time() {
    let mut rig = Rig::new(settings(), 0);
    let (id, _) = rig.request(0, 3, 1, 1.0);
    rig.advance(3 * S);
    assert_eq!(final_answers(&rig.actions, id), 1);
}

#[test]
fn nothing_is_sent_after_the_client_is_gone() {
    let mut rig = Rig::new(settings(), 4);
    let (id, server) = rig.sent(0);
    rig.handle(Event::ClientGone(id));
    let out = rig.attempt_ended(id, 0, server, Outcome::Error);
    assert!(sends(&out).is_empty() && final_answers(&out, id) == 0);
    assert!(sends(&rig.attempt_ended(id, 0, server, Outcome::Error)).is_empty(), "a repeated outcome");
}

#[test]
fn an_unsafe_request_that_may_have_run_fails() {
    let mut rig = Rig::new(settings(), 4);
    let (id, server) = rig.sent(2);
    let out = rig.attempt_ended(id, 0, server, Outcome::Error);
    assert!(failed(&out, id) && sends(&out).is_empty());
}

#[test]
fn an_unsafe_request_that_never_ran_is_retried_at_another_server() {
    let mut rig = Rig::new(settings(), 4);
    let (id, server) = rig.sent(2);
    let out = rig.attempt_ended(id, 0, server, Outcome::ConnectFailed);
    assert_eq!(sends(&out).len(), 1);
    assert_ne!(sends(&out)[0].1, server);
}

#[test]
fn a_keyed_request_is_retried_in_its_cell_only() {
    for _ in 0..20 {
        let mut rig = Rig::new(settings(), 8);
        let (id, server) = rig.sent(1);
        let out = rig.attempt_ended(id, 0, server, Outcome::Error);
        assert_eq!(sends(&out)[0].1 .0 / 2, server.0 / 2);
    }
}

#[test]
fn a_keyed_request_that_may_have_run_fails_after_its_window() {
    let mut set = settings();
    set.classes[1].window = Micros(100 * MS);
    let mut rig = Rig::new(set, 8);
    let (id, server) = rig.sent(1);
    rig.advance(100 * MS);
    let out = rig.attempt_ended(id, 0, server, Outcome::Error);
    assert!(failed(&out, id) && sends(&out).is_empty());
}

#[test]
fn a_safe_request_may_be_refused_with_an_attempt_in_flight() {
    let mut rig = Rig::new(settings(), 1);
    let (id, _) = rig.sent(0);
    let out = rig.advance(3 * S);
    assert!(refused(&out, id) && out.contains(&Action::Cancel(id, 0)));
}

#[test]
fn nothing_is_sent_to_a_draining_or_removed_server() {
    for listed in [Listed::Draining, Listed::Gone] {
        let mut rig = Rig::new(settings(), 2);
        rig.handle(Event::Servers(ListScope::Changes, vec![entry(0, listed, None)]));
        for _ in 0..50 {
            let (_, server) = rig.sent(0);
            assert_eq!(server, ServerId(1));
            rig.attempt_ended(RequestId(rig.next_id - 1), 0, server, Outcome::Ok);
        }
        rig.handle(Event::Servers(ListScope::Complete, vec![entry(0, Listed::InService, None)]));
        for _ in 0..2 {
            assert_eq!(rig.sent(0).1, ServerId(0), "a server missing from a whole list is gone");
        }
    }
}

#[test]
fn with_all_servers_draining_the_request_is_refused_in_time() {
    let mut rig = Rig::new(settings(), 1);
    rig.handle(Event::Servers(ListScope::Changes, vec![entry(0, Listed::Draining, None)]));
    let (id, out) = rig.request(0, 3, 1, 1.0);
    assert!(sends(&out).is_empty());
    rig.advance(3 * S);
    assert_eq!(final_answers(&rig.actions, id), 1);
}

/// Sends 100 requests a second for five seconds and counts how many each server got.
fn steady_load(rig: &mut Rig) -> Vec<u32> {
    let mut got = vec![0; 8];
    for _ in 0..500 {
        rig.advance(10 * MS);
        let (id, out) = rig.request(0, 3, 1, 1.0);
        for (_, server) in sends(&out) {
            got[server.0 as usize] += 1;
            rig.attempt_ended(id, 0, server, Outcome::Ok);
        }
    }
    got
}

#[test]
fn a_cold_server_gets_no_more_than_its_part() {
    let mut rig = Rig::new(settings(), 4);
    steady_load(&mut rig);
    let (now, cold) = (rig.now, 3);
    rig.handle(Event::Servers(ListScope::Changes, vec![entry(cold, Listed::InService, Some(now))]));
    let got = steady_load(&mut rig);
    let warm = got[..3].iter().sum::<u32>() / 3;
    // It has from a fifth to three fifths of its capacity in these seconds.
    assert!(got[3] > 0 && got[3] * 2 < warm, "{got:?}");
}

#[test]
fn a_restart_that_is_not_listed_yet_counts_as_cold() {
    let mut rig = Rig::new(settings(), 2);
    steady_load(&mut rig);
    for _ in 0..2_000 {
        rig.advance(10 * MS);
        let (id, server) = rig.sent(0);
        let up = rig.now > 1_010 * S;
        let outcome = if server == ServerId(0) && !up { Outcome::ConnectFailed } else { Outcome::Ok };
        let out = rig.attempt_ended(id, 0, server, outcome);
        for (id, server) in sends(&out) {
            rig.attempt_ended(id, 1, server, Outcome::Ok);
        }
        if up && server == ServerId(0) {
            break;
        }
    }
    let got = steady_load(&mut rig);
    assert!(got[0] > 0 && got[0] * 3 < got[1] * 2, "{got:?}");
}

/// Lowest level of the ceiling's bucket, with two gateways that get all the requests of one customer that
/// they can for thirty seconds. `answer` gets the number of a call; it lets it fail or returns the fraction
/// of its totals that the counter still has.
fn ceiling_minimum(answer: impl Fn(u64) -> Option<f64>) -> f64 {
    ceiling_minimum_with(|n, _| answer(n), |_, _| true)
}

/// The same, where `answer` also gets the amount of the call, and `busy` says at which steps a gateway has
/// traffic.
fn ceiling_minimum_with(answer: impl Fn(u64, f64) -> Option<f64>, busy: impl Fn(usize, u64) -> bool) -> f64 {
    let mut totals = std::collections::BTreeMap::new();
    let mut set = settings();
    set.plans[1].over_worth = 0.5;
    (set.plans[1].ceiling_rate, set.plans[1].ceiling_burst) = (18.0, 36.0);
    set.plans[1].over_cost = 0.0;
    let mut rigs = [Rig::new(set.clone(), 8), Rig::new(set, 8)];
    let (mut level, mut lowest, mut call) = (36.0f64, 36.0f64, 0);
    for step in 0..3_000 {
        level = (level + 18.0 * 0.01).min(36.0);
        for (i, rig) in rigs.iter_mut().enumerate() {
            rig.advance(10 * MS);
            if !busy(i, step) {
                continue;
            }
            let (id, out) = rig.request(0, 1, 1, 1.0);
            let mut pending = out;
            while !pending.is_empty() {
                let mut next = Vec::new();
                for (name, amount) in counts(&pending) {
                    call += 1;
                    let (mut outcome, mut heard) = (Outcome::Rejected, 0.0);
                    if let Some(kept) = answer(call, amount) {
                        totals.values_mut().for_each(|t| *t *= kept);
                        let total = totals.entry(name).or_insert(0.0);
                        *total += amount;
                        (outcome, heard) = (Outcome::Ok, *total);
                    }
                    next.extend(rig.handle(Event::Counted(name, 0, outcome, heard)));
                }
                for (_, server) in sends(&pending) {
                    level -= 1.0;
                    lowest = lowest.min(level);
                    next.extend(rig.attempt_ended(id, 0, server, Outcome::Ok));
                }
                pending = next;
            }
        }
    }
    lowest
}

#[test]
fn the_ceiling_holds_while_the_counter_answers() {
    assert!(ceiling_minimum(|_| Some(1.0)) >= -4.0);
}

#[test]
fn the_ceiling_holds_while_the_counter_is_down() {
    assert!(ceiling_minimum(|_| None) >= -4.0);
}

#[test]
fn the_ceiling_holds_while_the_counter_comes_and_goes() {
    for share in 2..12 {
        let low = ceiling_minimum(|n| (n % share == 0).then_some(1.0));
        assert!(low >= -4.0, "one answer in {share}: {low}");
        let low = ceiling_minimum(|n| (n % share != 0).then_some(1.0));
        assert!(low >= -4.0, "one failure in {share}: {low}");
    }
}

#[test]
fn the_ceiling_holds_when_the_counter_is_emptied() {
    for every in [61, 75, 90, 97, 130, 311, 701] {
        let low = ceiling_minimum(|n| Some(if n % every == 0 { 0.0 } else { 1.0 }));
        assert!(low >= -4.0, "emptied every {every} calls: {low}");
    }
}

#[test]
fn the_ceiling_holds_when_gateways_alternate_and_each_assumes_a_full_bucket() {
    // Calls that only read fail. Traffic alternates between the gateways, one second each.
    for offset in (0..100).step_by(10) {
        let low = ceiling_minimum_with(
            |_, amount| (amount != 0.0).then_some(1.0),
            |rig, step| ((step + offset) / 100) % 2 == rig as u64,
        );
        assert!(low >= -4.0, "offset {offset}: {low}");
    }
}

/// Many gateways with the same steady load on one fleet are all told of a cold server at once.
#[test]
fn hundreds_of_gateways_together_do_not_overload_a_cold_server() {
    let (gateways, servers) = (200, 20);
    let step = |rig: &mut Rig| {
        rig.advance(200 * MS);
        let (id, out) = rig.request(0, 3, 1, 1.0);
        let sent = sends(&out);
        sent.iter().for_each(|(_, server)| drop(rig.attempt_ended(id, 0, *server, Outcome::Ok)));
        sent.iter().any(|(_, server)| *server == ServerId(3))
    };
    let mut rigs: Vec<Rig> = (0..gateways)
        .map(|me| {
            let set = Settings { gateways, me, most_units: 1.0, ..settings() };
            let mut rig = Rig::seeded(u64::from(me), set, servers);
            for _ in 0..20 {
                step(&mut rig);
            }
            let now = rig.now;
            rig.handle(Event::Servers(ListScope::Changes, vec![entry(3, Listed::InService, Some(now))]));
            rig
        })
        .collect();
    // A warm server gets 50 of these a second; a cold one is overloaded at twice its part of that.
    let (mut second, mut total) = (std::collections::VecDeque::new(), 0);
    for tick in 0..50 {
        let got = rigs.iter_mut().filter_map(|rig| step(rig).then_some(())).count();
        second.push_back(got);
        if second.len() > 5 {
            second.pop_front();
        }
        total += got;
        let (most, part) = (second.iter().sum::<usize>() as f64, 0.2 + 0.8 * f64::from(tick) / 50.0);
        assert!(most <= 2.0 * 50.0 * part + 4.0, "{most} in the second before {}", tick);
    }
    assert!(total > 20, "the cold server gets some work: {total}");
}
