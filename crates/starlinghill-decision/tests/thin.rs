//! A fleet of many gateways with sparse traffic and one counter, in virtual time: what they achieve together
//! though none of them sees much.
mod common;
use common::*;
use starlinghill_decision::api::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const GATEWAYS: u32 = 100;

/// The gateways, the counter's totals, and the number of calls to it.
struct Fleet {
    rigs: Vec<Rig>,
    totals: BTreeMap<CountName, f64>,
    calls: u32,
    /// The counter does not answer.
    silent: bool,
    now: u64,
    rng: fastrand::Rng,
}

impl Fleet {
    fn new(seed: u64, servers: u32) -> Fleet {
        Fleet::of(seed, GATEWAYS, servers)
    }

    fn of(seed: u64, gateways: u32, servers: u32) -> Fleet {
        println!("seed {seed}");
        let settings = |me| Settings { gateways, me, most_units: 1.0, ..settings() };
        let rigs = (0..gateways).map(|me| Rig::seeded(seed << 16 | u64::from(me), settings(me), servers));
        let (totals, calls, silent, now) = (BTreeMap::new(), 0, false, 1_000 * S);
        Fleet { rigs: rigs.collect(), totals, calls, silent, now, rng: fastrand::Rng::with_seed(seed) }
    }

    /// Starts a request at one gateway, of a customer whose requests come through `spread` gateways from the
    /// first on. Returns the server that it was sent to, if any, which serves it at once.
    fn request(&mut self, gateway: u32, plan: usize, customer: u64, spread: u32) -> Option<ServerId> {
        self.request_marked(gateway, plan, customer, spread, false)
    }

    fn request_marked(
        &mut self,
        gateway: u32,
        plan: usize,
        customer: u64,
        spread: u32,
        resent: bool,
    ) -> Option<ServerId> {
        let rig = &mut self.rigs[gateway as usize];
        rig.advance(self.now - rig.now);
        let id = RequestId(rig.next_id);
        rig.next_id += 1;
        let (plan, customer, deadline) = (PlanId(plan), CustomerId(customer), Micros(self.now + 3 * S));
        let a = Arrival { id, plan, customer, spread, deadline, units: 1.0, resent, ..Arrival::default() };
        let mut waiting = rig.handle(Event::Request(a));
        let mut out = waiting.clone();
        while !waiting.is_empty() {
            let called = counts(&waiting);
            waiting.clear();
            for (name, amount) in called {
                let total = self.totals.entry(name).or_default();
                *total += amount;
                self.calls += 1;
                let outcome = if self.silent { Outcome::Timeout } else { Outcome::Ok };
                waiting.extend(rig.handle(Event::Counted(name, 0, outcome, *total)));
            }
            out.extend(waiting.iter().cloned());
        }
        let server = sends(&out).first().map(|s| s.1)?;
        rig.attempt_ended(id, 0, server, Outcome::Ok);
        Some(server)
    }

    /// Sends each gateway one marked repeat, of a customer without a quota.
    fn send_marked_repeats(&mut self) {
        (0..GATEWAYS).for_each(|gateway| assert!(self.request_marked(gateway, 3, 1, 1, true).is_some()));
    }

    /// Plays `rate` requests a second for this time, at gateways drawn by `pick`; returns how many were sent
    /// in each tenth of a second.
    fn play(
        &mut self,
        rate: u64,
        seconds: u64,
        plan: usize,
        spread: u32,
        pick: impl Fn(&mut fastrand::Rng) -> u32,
    ) -> Vec<u32> {
        let mut sent = vec![0; (seconds * 10) as usize];
        let start = self.now;
        for n in 0..rate * seconds {
            self.now = start + n * S / rate;
            let gateway = pick(&mut self.rng);
            let sent_now = self.request(gateway, plan, 9, spread).is_some();
            sent[((self.now - start) / (100 * MS)) as usize] += u32::from(sent_now);
        }
        self.now = start + seconds * S;
        sent
    }
}

/// An answer on its way: its time, gateway, name and total; no total where the call has timed out.
type PendingAnswer = (u64, u32, CountName, Option<u64>);

/// A counter that handles one call after the other, at a limited rate, also calls that have timed out.
struct SlowCounter {
    per_s: u64,
    free_at: u64,
    due: BinaryHeap<Reverse<PendingAnswer>>,
    answered: Vec<u32>,
    failed: Vec<u32>,
}

impl SlowCounter {
    fn new(per_s: u64) -> SlowCounter {
        SlowCounter { per_s, free_at: 0, due: BinaryHeap::new(), answered: Vec::new(), failed: Vec::new() }
    }

    fn call(&mut self, now: u64, gateway: u32, name: CountName, units: u64) {
        self.free_at = self.free_at.max(now) + S / self.per_s;
        let (at, gives_up) = (self.free_at + MS, now + 80 * MS);
        let answer = if at <= gives_up { (at, Some(units)) } else { (gives_up, None) };
        self.due.push(Reverse((answer.0, gateway, name, answer.1)));
    }
}

impl Fleet {
    /// Plays `rate` requests a second, each of another customer whose requests come through all gateways,
    /// with a counter that takes its time. Each total is `demand` times the units of the call. Returns how
    /// many were sent in each second.
    fn play_with_slow_counter(
        &mut self,
        counter: &mut SlowCounter,
        rate: u64,
        seconds: u64,
        demand: u64,
    ) -> Vec<u32> {
        let (start, all) = (self.now, self.rigs.len() as u32);
        let mut sent = vec![0; seconds as usize];
        for n in 0..rate * seconds {
            self.now = start + n * S / rate;
            let second = ((self.now - start) / S) as usize;
            counter.answered.resize(counter.answered.len().max(second + 1), 0);
            counter.failed.resize(counter.failed.len().max(second + 1), 0);
            while counter.due.peek().is_some_and(|Reverse(first)| first.0 <= self.now) {
                let Some(Reverse((at, gateway, name, total))) = counter.due.pop() else { break };
                let ended = if total.is_some() { &mut counter.answered } else { &mut counter.failed };
                ended[second] += 1;
                let outcome = if total.is_some() { Outcome::Ok } else { Outcome::Timeout };
                let event = Event::Counted(name, 0, outcome, total.unwrap_or(0) as f64);
                sent[second] += self.handle_at(counter, gateway, at, event);
            }
            let gateway = self.rng.u32(0..all);
            let rig = &mut self.rigs[gateway as usize];
            let (id, customer) = (RequestId(rig.next_id), CustomerId(self.rng.u64(..1 << 33)));
            rig.next_id += 1;
            let deadline = Micros(self.now + 3 * S);
            let a = Arrival {
                id,
                customer,
                spread: all,
                deadline,
                units: 1.0,
                class: ClassId(0),
                ..Arrival::default()
            };
            sent[second] += self.handle_with_demand(counter, gateway, self.now, Event::Request(a), demand);
        }
        self.now = start + seconds * S;
        sent
    }

    fn handle_at(&mut self, counter: &mut SlowCounter, gateway: u32, at: u64, event: Event) -> u32 {
        self.handle_with_demand(counter, gateway, at, event, 1)
    }

    /// Passes an event to one gateway, serves what it sends, and queues its calls at the counter.
    fn handle_with_demand(
        &mut self,
        counter: &mut SlowCounter,
        gateway: u32,
        at: u64,
        event: Event,
        demand: u64,
    ) -> u32 {
        let rig = &mut self.rigs[gateway as usize];
        rig.advance(at.saturating_sub(rig.now));
        let out = rig.handle(event);
        for (id, server) in sends(&out) {
            rig.attempt_ended(id, 0, server, Outcome::Ok);
        }
        for (name, amount) in counts(&out) {
            counter.call(at, gateway, name, amount.ceil() as u64 * demand);
        }
        sends(&out).len() as u32
    }
}

#[test]
fn three_hundred_gateways_adapt_to_the_counters_capacity_within_seconds_and_again_after_overload() {
    for seed in 0..2 {
        let (mut fleet, mut counter) = (Fleet::of(seed, 300, 60), SlowCounter::new(1_500));
        let mut busy = |fleet: &mut Fleet, rate: u64, seconds: u64| {
            (counter.answered, counter.failed) = (Vec::new(), Vec::new());
            fleet.play_with_slow_counter(&mut counter, rate, seconds, 1);
            (std::mem::take(&mut counter.answered), std::mem::take(&mut counter.failed))
        };
        // Twice as many requests as the counter can answer calls.
        let (answered, failed) = busy(&mut fleet, 3_000, 8);
        let (calls, lost): (u32, u32) = (answered[3..].iter().sum(), failed[3..].iter().sum());
        assert!(
            answered[3..].iter().all(|n| *n >= 1_150),
            "seed {seed}: the counter idles, answered {answered:?}"
        );
        assert!(lost <= calls / 12, "seed {seed}: {lost} calls failed beside {calls}, by second {failed:?}");
        // Three times as many for two seconds, then as before.
        busy(&mut fleet, 9_000, 2);
        let (answered, failed) = busy(&mut fleet, 3_000, 6);
        assert!(
            answered[3..].iter().all(|n| *n >= 1_150),
            "seed {seed}: after overload, answered {answered:?}"
        );
        assert!(failed[3..].iter().sum::<u32>() <= 400, "seed {seed}: after overload, failed {failed:?}");
    }
}

#[test]
fn requests_of_unknown_customers_are_sent_only_while_most_customers_keep_to_their_quota() {
    for seed in 0..2 {
        // The counter can answer calls for about a third of them.
        let (mut fleet, mut counter) = (Fleet::of(seed, 100, 60), SlowCounter::new(330));
        let keeping: u32 = fleet.play_with_slow_counter(&mut counter, 1_000, 8, 1)[4..].iter().sum();
        assert!(
            keeping >= 3_900,
            "seed {seed}: {keeping} of 4,000 requests sent of customers that keep to their quota"
        );
        // From now on every total shows a hundred times that demand and more.
        let burst = fleet.play_with_slow_counter(&mut counter, 1_000, 12, 400);
        let late: u32 = burst[8..].iter().sum();
        assert!(late <= 1_200, "seed {seed}: {late} of 4,000 requests sent of a plan far beyond its quotas");
        let after = fleet.play_with_slow_counter(&mut counter, 1_000, 16, 1);
        let late: u32 = after[12..].iter().sum();
        assert!(late >= 3_700, "seed {seed}: {late} of 4,000 requests sent after the demand fell again");
    }
}

#[test]
fn requests_refused_by_a_quota_do_not_prolong_throttling() {
    for seed in 0..4 {
        println!("seed {seed}");
        // The plan that asks for too much has a quarter of the other's price.
        let plans = vec![Plan { price: 0.5, ..plan(1.0, 1.0) }, Plan { price: 2.0, ..plan(0.0, 0.0) }];
        let set = Settings { gateways: GATEWAYS, plans, most_units: 1.0, ..settings() };
        let mut rig = Rig::seeded(seed, set, 10);
        let second = |rig: &mut Rig, late: &dyn Fn(u64) -> bool| {
            let mut shed = 0;
            for n in 0..10 {
                let outcome = if late(n) { Outcome::Timeout } else { Outcome::Ok };
                rig.advance(100 * MS);
                let (id, mut out) = rig.request(0, usize::from(n % 2 == 0), 7, 1.0);
                for (name, _) in counts(&out) {
                    // Nine in ten requests of that plan are beyond its quota.
                    out.extend(rig.handle(Event::Counted(name, 0, Outcome::Ok, 60.0)));
                }
                let throttled = |a: &Action| matches!(a, Action::Refuse(r, None) if *r == id);
                shed += u32::from(out.iter().any(throttled));
                let (mut attempt, mut going) = (0, sends(&out));
                while let Some((id, server)) = going.pop() {
                    going.extend(sends(&rig.attempt_ended(id, attempt, server, outcome)));
                    attempt += 1;
                }
            }
            shed
        };
        (0..5).for_each(|_| assert_eq!(second(&mut rig, &|_| false), 0, "seed {seed}"));
        // Overload: half of the requests are answered too late.
        let during: u32 = (0..5).map(|_| second(&mut rig, &|n| n % 4 < 2)).sum();
        assert!(during > 0, "seed {seed}: nothing was throttled while half came too late");
        let _: u32 = (0..30).map(|_| second(&mut rig, &|_| false)).sum();
        let after: u32 = (0..10).map(|_| second(&mut rig, &|_| false)).sum();
        // A few late answers may still count.
        assert!(after <= 5, "seed {seed}: {after} of 100 throttled though all came back in time for 30 s");
    }
}

#[test]
fn a_customer_at_three_times_its_quota_over_sixty_gateways_gets_a_third_of_its_requests() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(seed, 60);
        // 30 requests a second where 10 are allowed, with bursts of 20.
        let sent = fleet.play(30, 30, 0, 60, |rng| rng.u32(0..60));
        let (all, late): (u32, u32) = (sent.iter().sum(), sent[100..].iter().sum());
        assert!((150..=290).contains(&late), "seed {seed}: {late} in 20 s, where 200 are allowed");
        assert!(all <= 440, "seed {seed}: {all} in 30 s, where 320 are allowed");
        // A call for each request would be 900 calls.
        assert!(fleet.calls < 450, "seed {seed}: {} calls for 900 requests", fleet.calls);
    }
}

#[test]
fn a_customer_within_its_quota_is_hardly_ever_refused_by_any_of_sixty_gateways() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(seed, 60);
        let sent: u32 = fleet.play(8, 30, 0, 60, |rng| rng.u32(0..60)).iter().sum();
        assert!(sent >= 225, "seed {seed}: {sent} of 240 sent");
    }
}

#[test]
fn with_the_counter_down_light_customers_are_served_and_heavy_ones_held_to_their_quota() {
    for seed in 0..4 {
        let mut sent = [0, 0];
        for (n, rate) in [3, 60].into_iter().enumerate() {
            let mut fleet = Fleet::new(seed, 60);
            // Twenty gateways, each with a share of less than one request.
            fleet.play(rate, 30, 0, 20, |rng| rng.u32(0..20));
            fleet.silent = true;
            // Other customers' requests open the breakers.
            for n in 0..200 {
                fleet.now += 10 * MS;
                fleet.request(n % 20, 0, 1_000 + u64::from(n), 20);
            }
            sent[n] = fleet.play(rate, 20, 0, 20, |rng| rng.u32(0..20)).iter().sum();
        }
        assert!(
            sent[0] >= 57,
            "seed {seed}: {} of 60 sent of a customer that uses a third of its quota",
            sent[0]
        );
        assert!(sent[1] <= 280, "seed {seed}: {} in 20 s, where 200 are allowed", sent[1]);
    }
}

#[test]
fn a_busy_customer_of_six_gateways_needs_few_calls_and_is_held_to_its_quota() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(seed, 60);
        fleet.send_marked_repeats();
        // A third of its quota; one call a second at each gateway would be 180.
        let sent: u32 = fleet.play(3, 30, 0, 6, |rng| rng.u32(0..6)).iter().sum();
        assert_eq!(sent, 90, "seed {seed}: all are within the quota");
        assert!(fleet.calls <= 75, "seed {seed}: {} calls for a customer with few requests", fleet.calls);
        // Six times its quota; totals are at most a second old.
        let before = fleet.calls;
        let sent: u32 = fleet.play(60, 18, 0, 6, |rng| rng.u32(0..6))[60..].iter().sum();
        assert!((100..=160).contains(&sent), "seed {seed}: {sent} in 12 s, where 120 are allowed");
        assert!(fleet.calls - before <= 140, "seed {seed}: {} calls in 18 s", fleet.calls - before);
    }
}

#[test]
fn where_clients_mark_repeats_unmarked_requests_count_as_demand() {
    let counted = |marks: bool| {
        let mut fleet = Fleet::new(5, 60);
        if marks {
            fleet.send_marked_repeats();
        }
        // 600 requests in 10 s, all alike and most of them refused.
        fleet.play(60, 10, 0, 6, |rng| rng.u32(0..6));
        fleet.totals.values().sum::<f64>()
    };
    let (marked, unmarked) = (counted(true), counted(false));
    assert!(marked >= 400.0, "counted {marked} of 600");
    assert!(unmarked <= 300.0, "without marks, requests like a refused one count as repeats: {unmarked}");
}

#[test]
fn a_ceiling_whose_burst_is_one_second_still_leaves_each_gateway_a_part() {
    // Fifteen gateways and a burst no larger than a second's rate: six tenths of it, split evenly, would be
    // less than one request each.
    let ceiling = Plan { ceiling_rate: 30.0, ceiling_burst: 30.0, ceiling_slack: 3.0, ..plan(12.0, 13.0) };
    let set = Settings {
        gateways: GATEWAYS,
        me: 0,
        most_units: 1.0,
        plans: vec![plan(1.0, 1.0), ceiling],
        ..settings()
    };
    let mut rig = Rig::seeded(1, set, 10);
    rig.advance(5 * S);
    let deadline = Micros(rig.now + 3 * S);
    let (plan, customer) = (PlanId(1), CustomerId(4));
    let a =
        Arrival { id: RequestId(1), plan, customer, spread: 15, deadline, units: 1.0, ..Arrival::default() };
    let mut out = rig.handle(Event::Request(a));
    for (name, amount) in counts(&out) {
        out.extend(rig.handle(Event::Counted(name, 0, Outcome::Ok, amount)));
    }
    assert_eq!(sends(&out).len(), 1, "sent by the gateway's own part");
    assert!(counts(&out).len() <= 1, "no call for a turn: {out:?}");
}

#[test]
fn requests_of_low_worth_are_counted_as_often_as_those_of_high_worth() {
    let calls = |high: bool| {
        let low_plan = Plan { price: 0.2, ..plan(10.0, 20.0) };
        let plans = vec![low_plan, Plan { price: 5.0, ..plan(10.0, 20.0) }];
        let mut rig = Rig::seeded(4, Settings { gateways: GATEWAYS, plans, ..settings() }, 10);
        let mut calls = 0;
        for n in 0..400 {
            rig.advance(50 * MS);
            // One request of the other plan follows each of this one, so the average worth is in the middle.
            for (plan, counted) in [(usize::from(high), true), (usize::from(!high), false)] {
                let (_, out) = rig.request(0, plan, 1_000 + 2 * n + plan as u64, 1.0);
                for (name, amount) in counts(&out) {
                    calls += usize::from(counted);
                    rig.handle(Event::Counted(
                        name,
                        0,
                        if n % 9 == 0 { Outcome::Timeout } else { Outcome::Ok },
                        amount,
                    ));
                }
            }
        }
        calls as f64
    };
    let (low, high) = (calls(false), calls(true));
    assert!(
        low > 30.0 && (low / high - 1.0).abs() < 0.25,
        "{low} calls for 400 requests of low worth, {high} for 400 of high worth"
    );
}

#[test]
fn a_ceiling_holds_over_all_gateways_however_unevenly_a_customer_uses_them() {
    for (seed, spread) in [(1, 6), (2, 6), (3, 40), (4, 40), (5, 1)] {
        let mut fleet = Fleet::new(seed, 60);
        // Half of the requests come through one gateway. The rate jumps to a hundred a second, under a
        // ceiling of 20 a second with bursts of 40.
        let pick = move |rng: &mut fastrand::Rng| if rng.bool() { 0 } else { rng.u32(0..spread) };
        let mut sent = fleet.play(5, 5, 1, spread, pick);
        sent.extend(fleet.play(100, 10, 1, spread, pick));
        let (mut level, mut lowest) = (40.0f64, 40.0f64);
        for n in &sent {
            level = (level + 2.0).min(40.0) - f64::from(*n);
            lowest = lowest.min(level);
        }
        // The ceiling's slack.
        assert!(lowest >= -4.0, "seed {seed}, spread {spread}: {lowest}");
        assert!(spread > 1 || fleet.calls < 200, "{} calls for a customer with one gateway", fleet.calls);
        let served: u32 = sent[50..].iter().sum();
        assert!(
            served >= 80,
            "seed {seed}, spread {spread}: {served} in 10 s, where the quota alone allows 120"
        );
    }
}

#[test]
fn a_ceiling_holds_over_three_hundred_gateways_while_the_counter_is_down_and_when_it_is_back_empty() {
    for (seed, spread) in [(1, 6), (2, 20), (3, 20)] {
        let mut fleet = Fleet::of(seed, 300, 60);
        // Always far more than the ceiling of 20 a second and bursts of 40, a third of it through one
        // gateway.
        let pick = move |rng: &mut fastrand::Rng| if rng.u32(0..3) == 0 { 0 } else { rng.u32(0..spread) };
        let mut sent = fleet.play(100, 5, 1, spread, pick);
        for empty in [false, true] {
            fleet.silent = true;
            sent.extend(fleet.play(100, 6, 1, spread, pick));
            fleet.silent = false;
            if empty {
                fleet.totals.clear();
            }
            sent.extend(fleet.play(100, 6, 1, spread, pick));
        }
        // Some gateways restart in the middle of turns that they have used.
        for me in 0..spread / 2 {
            let set = Settings { gateways: 300, me, most_units: 1.0, ..settings() };
            let mut rig = Rig::seeded(seed << 32 | u64::from(me), set, 60);
            rig.advance(fleet.now - rig.now);
            fleet.rigs[me as usize] = rig;
        }
        sent.extend(fleet.play(100, 6, 1, spread, pick));
        let (mut level, mut lowest) = (40.0f64, 40.0f64);
        for n in &sent {
            level = (level + 2.0).min(40.0) - f64::from(*n);
            lowest = lowest.min(level);
        }
        assert!(lowest >= -4.0, "seed {seed}, spread {spread}: {lowest}, by tenths {sent:?}");
        let back: u32 = sent[sent.len() - 40..].iter().sum();
        assert!(back >= 25, "seed {seed}, spread {spread}: {back} in the last 4 s");
    }
}

#[test]
fn a_cold_server_gets_its_part_at_once_and_no_more() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(seed, 10);
        let requests_of_all = |fleet: &mut Fleet, n: u64| {
            let mut at: BTreeMap<ServerId, u32> = BTreeMap::new();
            for _ in 0..n {
                fleet.now += S / 400;
                let gateway = fleet.rng.u32(0..GATEWAYS);
                let server = fleet.request(gateway, 3, 1, 1).expect("a server is free");
                *at.entry(server).or_default() += 1;
            }
            at
        };
        requests_of_all(&mut fleet, 2_000);
        let (now, cold) = (fleet.now, entry(3, Listed::InService, Some(fleet.now)));
        for rig in &mut fleet.rigs {
            rig.advance(now - rig.now);
            rig.handle(Event::Servers(ListScope::Changes, vec![cold.clone()]));
        }
        // In two seconds a warm server gets 80 or a little more; a cold one has a fifth of its capacity,
        // slowly rising.
        let at = requests_of_all(&mut fleet, 800);
        let got = at.get(&ServerId(3)).copied().unwrap_or_default();
        assert!((8..=40).contains(&got), "seed {seed}: the cold server got {got}, of {at:?}");
    }
}

#[test]
fn gateways_with_few_requests_spread_them_over_all_servers() {
    let mut fleet = Fleet::new(3, 60);
    let mut at: BTreeMap<ServerId, u32> = BTreeMap::new();
    for n in 0..6_000 {
        fleet.now += S / 600;
        let server = fleet.request(n % GATEWAYS, 3, 1, 1).expect("a server is free");
        *at.entry(server).or_default() += 1;
    }
    let (least, most) = (at.values().min().copied().unwrap_or(0), at.values().max().copied().unwrap_or(0));
    assert_eq!(at.len(), 60);
    assert!(most <= 3 * least, "from {least} to {most} a server");
}

#[test]
fn replacing_six_in_ten_servers_in_seven_seconds_overloads_no_cold_server() {
    for seed in 0..3 {
        let mut fleet = Fleet::new(seed, 60);
        let mut pairs = std::collections::BTreeSet::new();
        let mut first_two: BTreeMap<ServerId, (u64, u32)> = BTreeMap::new();
        let (mut warm, mut replaced) = (0, 0);
        let steps = 36 * 80;
        for n in 0..2_000 + steps + 2_000u64 {
            fleet.now += S / 400;
            let step = n.checked_sub(2_000).filter(|s| s % 80 == 0 && *s < steps).map(|s| (s / 80) as u32);
            if let Some(i) = step {
                // A cold server with a new id replaces one that drains. Five are replaced each second.
                let news =
                    [entry(i, Listed::Draining, None), entry(100 + i, Listed::InService, Some(fleet.now))];
                first_two.insert(ServerId(u64::from(100 + i)), (fleet.now, 0));
                replaced = u64::from(i + 1);
                let now = fleet.now;
                for rig in &mut fleet.rigs {
                    rig.advance(now - rig.now);
                    rig.handle(Event::Servers(ListScope::Changes, news.to_vec()));
                }
            }
            let gateway = fleet.rng.u32(0..GATEWAYS);
            let server = fleet.request(gateway, 3, 1, 1).expect("a server is free");
            assert!(server.0 >= replaced, "seed {seed}: {server:?} is draining, {replaced} are replaced");
            pairs.insert((gateway, server));
            match first_two.get_mut(&server) {
                Some((since, got)) if fleet.now < *since + 2 * S => *got += 1,
                Some(_) => {}
                None => warm += u32::from(n >= 2_000 + steps),
            }
        }
        // What a warm server gets in two seconds at the end, with 24 of them left; a cold one has a third of
        // that capacity then.
        let warm_gets = f64::from(warm) / 24.0 / 5.0 * 2.0;
        let cold: Vec<u32> = first_two.values().map(|(_, got)| *got).collect();
        let mean = f64::from(cold.iter().sum::<u32>()) / cold.len() as f64;
        let most = cold.iter().copied().max().unwrap_or(0);
        println!(
            "seed {seed}: cold servers got {mean}, at most {most}; warm ones {warm_gets}; {} pairs",
            pairs.len()
        );
        assert!(mean < warm_gets * 0.5, "seed {seed}: {mean} to a cold server, {warm_gets} to a warm one");
        // Four standard deviations: no cold server is the choice of all gateways.
        assert!(
            f64::from(most) < mean + 4.0 * mean.sqrt(),
            "seed {seed}: {most} to one cold server, {mean} on average"
        );
        // Of the 9,600 pairs of all gateways and all 96 servers that were listed at some time.
        assert!(pairs.len() <= 4_000, "seed {seed}: {} pairs of a gateway and a server", pairs.len());
        let used = pairs.iter().filter(|(_, server)| server.0 >= 100).map(|(_, server)| *server);
        let used: std::collections::BTreeSet<_> = used.collect();
        assert_eq!(used.len(), 36, "seed {seed}: every new server is used");
    }
}
