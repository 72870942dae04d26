//! The ledger against holders that use all they can, over a network that loses, delays and cuts, and a service
//! that is killed: whatever happens, no customer gets more through than its quota's own bucket lets pass.

use starlinghill_control_state::ledger::*;
use starlinghill_decision::api::*;
use std::collections::BTreeMap;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const SET: LedgerSettings =
    LedgerSettings { lease: Micros(2 * S), allowance: Micros(250 * MS), max_customers: 100, max_buckets: 50 };

fn settings(rate: f64, burst: f64) -> Settings {
    let plan = Plan {
        rate,
        burst,
        open: 0.0,
        price: 1.0,
        over_worth: 0.0,
        over_cost: 1.0,
        ceiling_rate: rate * 1.8,
        ceiling_burst: burst * 1.8,
        ceiling_slack: 4.0,
    };
    Settings { gateways: 1, max_attempts: 3, most_units: 4.0, plans: vec![plan], ..Settings::default() }
}

fn key(customer: u64, units: u32) -> BucketKey {
    BucketKey { customer: CustomerId(customer), plan: PlanId(0), units }
}

fn usage(allowed: u64, denied: u64, elapsed: u64) -> Usage {
    Usage { allowed, denied, elapsed: Micros(elapsed) }
}

/// A quota's own bucket: what the customer may have in all.
struct Reference {
    rate: f64,
    burst: f64,
    level: f64,
    at: u64,
    lowest: f64,
    passed: f64,
}

impl Reference {
    fn new(rate: f64, burst: f64) -> Reference {
        Reference { rate, burst, level: burst, at: 0, lowest: burst, passed: 0.0 }
    }
    fn pass(&mut self, now: u64, units: f64) {
        self.level = (self.level + self.rate * (now - self.at) as f64 / 1e6).min(self.burst) - units;
        (self.at, self.lowest, self.passed) = (now, self.lowest.min(self.level), self.passed + units);
    }
}

/// A proxy's bucket, as a token bucket of the assignment last received.
#[derive(Default, Clone)]
struct ProxyBucket {
    most: f64,
    every: Option<u64>,
    level: f64,
    at: u64,
    until: u64,
    allowed: u64,
    denied: u64,
    reported: u64,
}

impl ProxyBucket {
    fn receive(&mut self, now: u64, told: Assignment) {
        self.fill(now);
        match told {
            Assignment::Tokens { capacity, interval, lifetime } => {
                let every = interval.map(|e| e.0);
                let same = now < self.until && self.most == f64::from(capacity) && self.every == every;
                if !same {
                    (self.most, self.every, self.level, self.at) =
                        (f64::from(capacity), every, f64::from(capacity), now);
                }
                self.until = now + lifetime.0;
            }
            Assignment::Deny { lifetime } => {
                (self.most, self.level, self.until) = (0.0, 0.0, now + lifetime.0)
            }
            Assignment::Abandon => *self = ProxyBucket::default(),
            Assignment::Keep => {}
        }
    }
    fn fill(&mut self, now: u64) {
        let more = self.every.map_or(0.0, |every| (now - self.at) as f64 / every as f64);
        (self.level, self.at) = ((self.level + more).min(self.most), now);
    }
    fn ask(&mut self, now: u64) -> bool {
        self.fill(now);
        let ok = now < self.until && self.level >= 1.0;
        self.level -= if ok { 1.0 } else { 0.0 };
        (self.allowed, self.denied) = (self.allowed + u64::from(ok), self.denied + u64::from(!ok));
        ok
    }
}

struct World {
    now: u64,
    ledger: QuotaLedger,
    platform: Settings,
    /// What each proxy's stream is called; a new one at each connection.
    streams: Vec<Option<HolderId>>,
    next: u64,
    buckets: Vec<ProxyBucket>,
    /// Messages under way, in order for each stream: reports to the service, assignments back.
    wire: Vec<(u64, usize, HolderId, Result<Usage, Assignment>)>,
    units: u32,
    quota: Reference,
    /// How fast proxies' clocks run, by what they say; they are wrong by any factor.
    clock: f64,
}

impl World {
    fn new(rate: f64, burst: f64, proxies: usize, units: u32) -> World {
        let platform = settings(rate, burst);
        World {
            now: 0,
            ledger: QuotaLedger::new(Micros(0), SET, &platform),
            platform,
            streams: vec![None; proxies],
            next: 1,
            buckets: vec![ProxyBucket::default(); proxies],
            wire: Vec::new(),
            units,
            quota: Reference::new(rate, burst),
            clock: 1.0,
        }
    }
    fn connect(&mut self, proxy: usize) {
        self.cut(proxy);
        // Whoever opens a new stream hears the old one no more.
        self.wire.retain(|m| m.1 != proxy || m.3.is_ok());
        self.streams[proxy] = Some(HolderId(self.next));
        self.next += 1;
    }
    fn cut(&mut self, proxy: usize) {
        if let Some(holder) = self.streams[proxy].take() {
            self.ledger.holder_gone(Micros(self.now), holder);
        }
    }
    fn report(&mut self, proxy: usize, delay: u64) {
        let Some(holder) = self.streams[proxy] else { return };
        let b = &mut self.buckets[proxy];
        let told = usage(
            std::mem::take(&mut b.allowed),
            std::mem::take(&mut b.denied),
            ((self.now - b.reported) as f64 * self.clock) as u64,
        );
        b.reported = self.now;
        let last = self.wire.iter().filter(|m| m.2 == holder && m.3.is_ok()).map(|m| m.0).max();
        self.wire.push(((self.now + delay).max(last.unwrap_or(0)), proxy, holder, Ok(told)));
    }
    fn pass_to(&mut self, to: u64, back: &mut dyn FnMut() -> u64) {
        loop {
            self.wire.sort_by_key(|m| m.0);
            if self.wire.first().is_none_or(|m| m.0 > to) {
                break;
            }
            let (at, proxy, holder, message) = self.wire.remove(0);
            self.now = self.now.max(at);
            match message {
                // A stream that ended carries nothing more.
                Ok(told) if self.streams[proxy] == Some(holder) => {
                    let answer = self.ledger.report(Micros(self.now), holder, key(1, self.units), told);
                    let last = self.wire.iter().filter(|m| m.2 == holder && m.3.is_err()).map(|m| m.0).max();
                    let at = (self.now + back()).max(last.unwrap_or(0));
                    self.wire.push((at, proxy, holder, Err(answer.expect("within bounds"))));
                }
                Ok(_) => {}
                // It may have been written before the stream was cut, so it arrives all the same.
                Err(assignment) => self.buckets[proxy].receive(self.now, assignment),
            }
        }
        self.now = to;
    }
    fn ask(&mut self, proxy: usize) -> bool {
        let ok = self.buckets[proxy].ask(self.now);
        if ok {
            self.quota.pass(self.now, f64::from(self.units));
        }
        ok
    }
}

#[test]
fn no_order_of_faults_lets_more_through_than_the_quota() {
    let mut most = 0.0_f64;
    for seed in 0..1_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (rate, burst) = (1.0 + 20.0 * rng.f64(), 4.0 + 60.0 * rng.f64());
        let proxies = rng.usize(1..=4);
        let mut w = World::new(rate, burst, proxies, rng.u32(1..=4));
        let mut stuck: Vec<u64> = vec![0; proxies];
        let demand = rate * (0.2 + 4.0 * rng.f64());
        w.clock = [1.0, 1.0, 0.0, 1e-6, 0.1, 10.0, 1e6][rng.usize(0..7)];
        for step in 0..1_500_u64 {
            w.pass_to((step + 1) * 20 * MS, &mut || rng.u64(0..200 * MS));
            for (p, stuck) in stuck.iter_mut().enumerate() {
                // Connects, is cut and comes back under another number; now and then the service dies.
                match rng.u32(0..400) {
                    0 => w.cut(p),
                    1 => *stuck = w.now + rng.u64(0..6 * S),
                    2..=8 if w.streams[p].is_none() => w.connect(p),
                    _ => {}
                }
                // What a proxy asks for moves about.
                let part = if (step / 200 + p as u64).is_multiple_of(3) { 2.0 } else { 0.5 };
                if rng.f64() < demand / f64::from(w.units) * part / proxies as f64 * 0.02 {
                    w.ask(p);
                }
                if step % 12 == p as u64 && w.now >= *stuck {
                    w.report(p, rng.u64(0..200 * MS));
                }
            }
            if rng.u32(0..1500) == 0 {
                for p in 0..proxies {
                    w.streams[p] = None;
                }
                w.ledger = QuotaLedger::new(Micros(w.now), SET, &w.platform);
            }
        }
        most = most.max(w.quota.passed / (burst + rate * 30.0));
        assert!(w.quota.lowest > -1e-3, "seed {seed}: {} units beyond the quota", -w.quota.lowest);
    }
    assert!(most > 0.5, "the ledger gives enough out for the bound to mean something: {most}");
}

/// Runs a calm while: all connected, reports every second, so many units a second asked at each proxy.
fn calm(w: &mut World, seconds: u64, asked: &[f64]) -> (u64, u64) {
    let (mut ok, mut not, mut due) = (0, 0, vec![0.0; asked.len()]);
    for _ in 0..seconds * 100 {
        let now = w.now;
        w.pass_to(now + 10 * MS, &mut || 2 * MS);
        for (p, rate) in asked.iter().enumerate() {
            due[p] += rate * 0.01 / f64::from(w.units);
            while due[p] >= 1.0 {
                due[p] -= 1.0;
                if w.ask(p) {
                    ok += 1
                } else {
                    not += 1
                }
            }
            if now / (10 * MS) % 25 == p as u64 {
                w.report(p, 2 * MS);
            }
        }
    }
    (ok, not)
}

#[test]
fn slices_follow_demand_and_a_lone_proxy_gets_nearly_all() {
    let mut w = World::new(15.0, 30.0, 3, 1);
    (0..3).for_each(|p| w.connect(p));
    calm(&mut w, 12, &[4.0, 4.0, 4.0]);
    let (_, not) = calm(&mut w, 30, &[4.0, 4.0, 4.0]);
    assert_eq!(not, 0, "an even load within the quota is let through whole");
    calm(&mut w, 10, &[13.0, 0.5, 0.5]);
    let (ok, not) = calm(&mut w, 30, &[13.0, 0.5, 0.5]);
    let part = not as f64 / (ok + not) as f64;
    // An even split would let 5 of 13 a second through at the first proxy.
    assert!(part < 0.05, "{not} of {} were refused within the quota", ok + not);
    assert!(w.quota.lowest > -1e-3);
}

#[test]
fn what_a_silent_proxy_holds_is_not_given_again_before_it_lapses() {
    let mut w = World::new(10.0, 20.0, 2, 1);
    (0..2).for_each(|p| w.connect(p));
    calm(&mut w, 20, &[20.0, 20.0]);
    // The first is cut off and goes on with what it has; the second wants all.
    w.cut(0);
    let before = w.now;
    let mut late = 0;
    while w.now < before + 2 * S {
        let now = w.now;
        w.pass_to(now + 10 * MS, &mut || 2 * MS);
        late += u32::from(w.ask(0));
        w.ask(1);
        if (now / (10 * MS)).is_multiple_of(25) {
            w.report(1, 2 * MS);
        }
    }
    assert!(late > 0, "the lost one still lets requests through");
    assert!(w.quota.lowest > -1e-3, "{}", w.quota.lowest);
    calm(&mut w, 8, &[0.0, 20.0]);
    let (ok, _) = calm(&mut w, 10, &[0.0, 20.0]);
    assert!(ok > 85, "after the lapse the other has it: {ok} of 100");
}

#[test]
fn a_service_that_comes_back_empty_gives_nothing_out_before_the_old_slices_lapsed() {
    let mut ledger = QuotaLedger::new(Micros(100 * S), SET, &settings(10.0, 20.0));
    for at in [100_000, 101_000, 102_240] {
        let told = ledger.report(Micros(at * MS), HolderId(1), key(1, 1), usage(0, 1, 0)).expect("taken");
        assert_eq!(told, Assignment::Keep, "at {at}");
    }
    let told = ledger.report(Micros(102_260 * MS), HolderId(1), key(1, 1), usage(0, 1, 0)).expect("taken");
    assert!(matches!(told, Assignment::Deny { .. }), "the store may have been emptied: {told:?}");
    let told = ledger.report(Micros(105 * S), HolderId(1), key(1, 1), usage(0, 1, S)).expect("taken");
    assert!(matches!(told, Assignment::Tokens { .. }), "{told:?}");
}

#[test]
fn two_streams_of_one_proxy_share_a_quota_and_do_not_double_it() {
    let mut ledger = QuotaLedger::new(Micros(0), SET, &settings(10.0, 20.0));
    let mut sums: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
    for round in 0..20_u64 {
        for holder in [1, 2] {
            let at = Micros(100 * S + round * 250 * MS + holder * MS);
            let told = ledger.report(at, HolderId(holder), key(1, 1), usage(1, 1, 250 * MS)).expect("taken");
            if let Assignment::Tokens { capacity, interval, .. } = told {
                let rate = interval.map_or(0.0, |e| 1e6 / e.0 as f64);
                sums.insert(holder, (f64::from(capacity), rate));
            }
        }
        let (tokens, rate): (f64, f64) = sums.values().fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1));
        assert!(rate <= 10.0 + 1e-6 && tokens <= 20.0, "round {round}: {tokens} at once, {rate} a second");
    }
    assert_eq!(sums.len(), 2);
}

#[test]
fn hostile_reports_cost_bounded_memory_and_get_a_clear_no() {
    let mut ledger = QuotaLedger::new(Micros(0), SET, &settings(10.0, 20.0));
    let now = Micros(100 * S);
    let ask =
        |l: &mut QuotaLedger, holder, key| l.report(now, HolderId(holder), key, usage(u64::MAX, u64::MAX, 1));
    assert_eq!(ask(&mut ledger, 1, key(1, 0)), Err(LedgerError::InvalidUnits(0)));
    assert_eq!(ask(&mut ledger, 1, key(1, 5)), Err(LedgerError::InvalidUnits(5)));
    let plan = BucketKey { plan: PlanId(9), ..key(1, 1) };
    assert_eq!(ask(&mut ledger, 1, plan), Err(LedgerError::UnknownPlan(PlanId(9))));
    let refused = (0..1000).filter(|&c| ask(&mut ledger, 1, key(c, 1)).is_err()).count();
    assert_eq!(refused, 950, "fifty buckets for one holder");
    for holder in 2..10 {
        let _ = (0..1000).filter(|c| ask(&mut ledger, holder, key(c + holder * 1000, 1)).is_ok()).count();
    }
    assert!(ledger.customers() <= 100);
    (1..10).for_each(|holder| ledger.holder_gone(now, HolderId(holder)));
    ledger.sweep(Micros(10_000 * S));
    assert!(ledger.customers() <= 100);
}

#[test]
fn idle_buckets_are_given_up_and_idle_customers_forgotten() {
    let mut ledger = QuotaLedger::new(Micros(0), SET, &settings(10.0, 20.0));
    for second in 0..60 {
        let told = ledger.report(Micros((100 + second) * S), HolderId(1), key(1, 1), usage(0, 0, S));
        assert_ne!(told, Ok(Assignment::Abandon));
    }
    let told = ledger.report(Micros(161 * S), HolderId(1), key(1, 1), usage(0, 0, S));
    assert_eq!(told, Ok(Assignment::Abandon));
    ledger.sweep(Micros(200 * S));
    assert_eq!(ledger.customers(), 0);
}

#[test]
fn a_bucket_given_up_and_asked_for_again_is_paid_for_anew_and_ends_with_its_stream() {
    let mut ledger = QuotaLedger::new(Micros(0), SET, &settings(10.0, 20.0));
    let tokens =
        |told| if let Assignment::Tokens { capacity, .. } = told { f64::from(capacity) } else { 0.0 };
    let (mut at, mut held) = (100 * S, 0.0);
    loop {
        let told = ledger.report(Micros(at), HolderId(1), key(1, 1), usage(0, 0, 250 * MS)).expect("taken");
        if told == Assignment::Abandon {
            break;
        }
        held = tokens(told);
        at += 250 * MS;
        assert!(at < 200 * S, "it is never given up");
    }
    assert!(held > 10.0, "a lone holder has most of the burst: {held}");
    // It may have used all of that by now. The bucket that it makes when it asks again begins full.
    at += 10 * MS;
    let told = ledger.report(Micros(at), HolderId(1), key(1, 1), usage(0, 1, 10 * MS)).expect("taken");
    assert!(held + tokens(told) <= 20.0, "{held}, then {told:?}, at once of a burst of 20");
    // Its stream ends: nothing of it stays.
    ledger.holder_gone(Micros(at), HolderId(1));
    ledger.sweep(Micros(at + 100 * S));
    assert_eq!(ledger.customers(), 0);
}

#[test]
fn a_load_that_moves_from_proxy_to_proxy_is_followed() {
    let (rate, burst) = (18.0, 36.0);
    let mut passed = [0_u64; 3];
    for (seed, demand) in [(1, 0.8), (2, 0.8), (3, 3.0)] {
        println!("seed {seed}");
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut w = World::new(rate, burst, 3, 1);
        (0..3).for_each(|p| w.connect(p));
        calm(&mut w, 10, &[1.0, 1.0, 1.0]);
        let mut ideal = Reference::new(rate, burst);
        let mut split = [0, 1, 2].map(|_| Reference::new(rate / 3.0, burst / 3.0));
        for reference in split.iter_mut().chain([&mut ideal]) {
            reference.at = w.now;
        }
        for step in 0..6_400_u64 {
            let now = w.now;
            w.pass_to(now + 10 * MS, &mut || 2 * MS);
            if rng.f64() < demand * rate * 0.01 {
                // The busiest proxy changes every 8 s.
                let p = if rng.f64() < 0.7 { (step / 800 % 3) as usize } else { rng.usize(0..3) };
                passed[0] += u64::from(w.ask(p));
                for (i, reference) in [(1, &mut ideal), (2, &mut split[p])] {
                    reference.pass(w.now, 0.0);
                    if reference.level >= 1.0 {
                        reference.pass(w.now, 1.0);
                        passed[i] += 1;
                    }
                }
            }
            for p in 0..3 {
                if step % 25 == p as u64 {
                    w.report(p, 2 * MS);
                }
            }
        }
        assert!(w.quota.lowest > -1e-3);
    }
    let part = |n: u64| 1.0 - n as f64 / passed[1] as f64;
    println!("wrongly refused: slices {:.3}, even split {:.3}", part(passed[0]), part(passed[2]));
    assert!(part(passed[0]) < 0.1 && part(passed[0]) < part(passed[2]) / 2.0, "{passed:?}");
}
