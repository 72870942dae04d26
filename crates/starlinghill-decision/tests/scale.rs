//! Behaviour where hundreds of gateways see one or two requests a second each.
mod common;
use common::*;
use starlinghill_decision::api::*;
use std::collections::BTreeMap;

fn one_of(gateways: u32, me: u32, servers: u32) -> Rig {
    Rig::seeded(u64::from(me), Settings { gateways, me, ..settings() }, servers)
}

/// Starts a request of a customer whose requests come through 200 gateways.
fn wide_request(rig: &mut Rig, resent: bool) -> (RequestId, Vec<Action>) {
    let id = RequestId(rig.next_id);
    rig.next_id += 1;
    let deadline = Micros(rig.now + 3 * S);
    let (class, plan, customer) = (ClassId(0), PlanId(0), CustomerId(rig.next_id));
    let arrival = Arrival {
        id,
        class,
        plan,
        customer,
        spread: 200,
        first: 0,
        deadline,
        units: 2.0,
        resent,
        once: false,
        ..Arrival::default()
    };
    (id, rig.handle(Event::Request(arrival)))
}

#[test]
fn each_gateway_keeps_to_its_subset_and_the_subsets_cover_the_fleet_evenly() {
    let mut gateways_at = BTreeMap::new();
    for me in 0..100 {
        let mut rig = one_of(100, me, 50);
        let mut used = BTreeMap::new();
        for _ in 0..100 {
            rig.advance(500 * MS);
            let (id, server) = rig.sent(0);
            rig.attempt_ended(id, 0, server, Outcome::Ok);
            *used.entry(server).or_insert(0) += 1;
        }
        assert!(used.len() <= 12, "gateway {me} used {} of 50", used.len());
        used.into_keys().for_each(|server| *gateways_at.entry(server).or_insert(0) += 1);
    }
    assert_eq!(gateways_at.len(), 50, "no server is left out");
    let (least, most) = (gateways_at.values().min(), gateways_at.values().max());
    assert!(most <= least.map(|l| l * 4).as_ref(), "{gateways_at:?}");
}

#[test]
fn one_busy_gateway_of_many_connects_to_few_servers() {
    let mut at = BTreeMap::new();
    let mut all = 0;
    for me in 0..100 {
        let mut rig = one_of(100, me, 60);
        let mut used = BTreeMap::new();
        // Twelve requests a second.
        for _ in 0..240 {
            rig.advance(S / 12);
            let (id, server) = rig.sent(0);
            rig.attempt_ended(id, 0, server, Outcome::Ok);
            *used.entry(server).or_insert(0) += 1;
        }
        all += used.len();
        used.into_keys().for_each(|server| *at.entry(server).or_insert(0) += 1);
    }
    assert!(all <= 1_300, "{all} connections where a part of 20 servers each made 1,900");
    assert_eq!(at.len(), 60, "no server is left out");
    let most = at.values().max().copied().unwrap_or(0);
    assert!(most <= 40, "{most} gateways at one server");
}

#[test]
fn late_answers_make_a_gateway_with_sparse_traffic_refuse_requests_and_quick_ones_do_not() {
    let refusals = |took: u64| {
        let mut rig = one_of(200, 3, 50);
        let mut refusals = 0;
        for _ in 0..200 {
            rig.advance(700 * MS);
            let (id, out) = rig.request(0, 3, 1, 1.0);
            refusals += u32::from(refused(&out, id));
            for (_, server) in sends(&out) {
                rig.advance(took);
                let (outcome, report, took) = (Outcome::Ok, Report::default(), Micros(took));
                let end = AttemptEnd {
                    id,
                    attempt: 0,
                    server,
                    outcome,
                    took,
                    ended: true,
                    actual_units: None,
                    report,
                };
                rig.handle(Event::AttemptEnded(end));
            }
        }
        refusals
    };
    assert_eq!(refusals(50 * MS), 0);
    assert_eq!(refusals(700 * MS), 0, "slow, but within the target");
    assert!(refusals(900 * MS) > 100, "it refuses requests though it never has two in flight");
}

#[test]
fn while_calls_fail_first_tries_may_pass_without_a_total_but_repeats_may_not() {
    let mut rig = one_of(200, 3, 50);
    let (mut sent, mut total) = ([0, 0], 0.0);
    for i in 0..300 {
        rig.advance(300 * MS);
        let resent = i % 2 == 1;
        let (id, mut out) = wide_request(&mut rig, resent);
        // Every fifth call is rejected, so the breaker stays closed.
        for (name, amount) in counts(&out) {
            let outcome = if i % 5 == 0 { Outcome::Rejected } else { Outcome::Ok };
            total += if outcome == Outcome::Ok { amount } else { 0.0 };
            out.extend(rig.handle(Event::Counted(name, 0, outcome, total)));
        }
        let without_total = i % 5 == 0 && !sends(&out).is_empty();
        sent[usize::from(resent)] += u32::from(without_total);
        sends(&out).iter().for_each(|(_, s)| drop(rig.attempt_ended(id, 0, *s, Outcome::Ok)));
    }
    assert!(sent[0] > 10, "first tries: {sent:?}");
    assert_eq!(sent[1], 0, "repeats");
}

#[test]
fn a_share_of_less_than_one_request_still_admits_one() {
    // One gateway and customer each: some requests call the counter, which rejects the call, others make no
    // call.
    let mut asked = [0, 0];
    for gateway in 0..60 {
        let mut rig = one_of(200, gateway, 50);
        rig.advance(300 * MS);
        let (id, mut out) = wide_request(&mut rig, false);
        let called = counts(&out);
        asked[called.len()] += 1;
        for (name, _) in called {
            out = rig.handle(Event::Counted(name, 0, Outcome::Rejected, 0.0));
        }
        assert_eq!(sends(&out).first().map(|s| s.0), Some(id), "gateway {gateway}");
    }
    assert!(asked[0] > 0 && asked[1] > 0, "{asked:?}");
}

#[test]
fn with_the_counter_down_hundreds_of_gateways_together_keep_the_ceiling() {
    // A ceiling of 20 units a second and bursts of 40, over 200 gateways that each have a request every
    // second.
    let mut rigs: Vec<Rig> = (0..200).map(|me| one_of(200, me, 50)).collect();
    let (mut level, mut lowest) = (40.0f64, 40.0f64);
    for _ in 0..20 {
        level = (level + 20.0).min(40.0);
        for rig in &mut rigs {
            rig.advance(S);
            let id = RequestId(rig.next_id);
            rig.next_id += 1;
            let deadline = Micros(rig.now + 3 * S);
            let (plan, customer) = (PlanId(1), CustomerId(9));
            let a = Arrival { id, plan, customer, spread: 200, deadline, units: 1.0, ..Arrival::default() };
            let mut out = rig.handle(Event::Request(a));
            for (name, _) in counts(&out) {
                out.extend(rig.handle(Event::Counted(name, 0, Outcome::Rejected, 0.0)));
            }
            level -= sends(&out).len() as f64;
            lowest = lowest.min(level);
            sends(&out).iter().for_each(|(_, s)| drop(rig.attempt_ended(id, 0, *s, Outcome::Ok)));
        }
    }
    assert!(lowest >= -4.0, "{lowest}");
}
