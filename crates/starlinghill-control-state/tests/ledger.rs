//! The quota ledger with holders that use everything they may, connections that are delayed and cut, and a
//! service that restarts. No customer may get more requests admitted than one token bucket with its quota
//! admits.

use starlinghill_control_state::ledger::*;
use starlinghill_decision::api::*;
use std::collections::BTreeMap;

/// Microseconds in a millisecond and in a second.
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

/// A token bucket with the customer's quota: what all proxies together may admit.
struct Reference {
    rate: f64,
    burst: f64,
    level: f64,
    at: u64,
    lowest: f64,
    taken: f64,
}

impl Reference {
    fn new(rate: f64, burst: f64) -> Reference {
        Reference { rate, burst, level: burst, at: 0, lowest: burst, taken: 0.0 }
    }
    fn take(&mut self, now: u64, units: f64) {
        self.level = (self.level + self.rate * (now - self.at) as f64 / 1e6).min(self.burst) - units;
        (self.at, self.lowest, self.taken) = (now, self.lowest.min(self.level), self.taken + units);
    }
}

/// A proxy's token bucket, set up by the last assignment that it received.
#[derive(Default, Clone)]
struct ProxyBucket {
    capacity: f64,
    interval: Option<u64>,
    level: f64,
    at: u64,
    until: u64,
    allowed: u64,
    denied: u64,
    reported: u64,
}

impl ProxyBucket {
    fn receive(&mut self, now: u64, assignment: Assignment) {
        self.fill(now);
        match assignment {
            Assignment::Tokens { capacity, interval, lifetime } => {
                let interval = interval.map(|i| i.0);
                let same =
                    now < self.until && self.capacity == f64::from(capacity) && self.interval == interval;
                if !same {
                    (self.capacity, self.interval, self.level, self.at) =
                        (f64::from(capacity), interval, f64::from(capacity), now);
                }
                self.until = now + lifetime.0;
            }
            Assignment::Deny { lifetime } => {
                (self.capacity, self.level, self.until) = (0.0, 0.0, now + lifetime.0)
            }
            Assignment::Abandon => *self = ProxyBucket::default(),
            Assignment::Keep => {}
        }
    }
    fn fill(&mut self, now: u64) {
        let more = self.interval.map_or(0.0, |interval| (now - self.at) as f64 / interval as f64);
        (self.level, self.at) = ((self.level + more).min(self.capacity), now);
    }
    fn admit(&mut self, now: u64) -> bool {
        self.fill(now);
        let ok = now < self.until && self.level >= 1.0;
        self.level -= if ok { 1.0 } else { 0.0 };
        (self.allowed, self.denied) = (self.allowed + u64::from(ok), self.denied + u64::from(!ok));
        ok
    }
}

struct Simulation {
    now: u64,
    ledger: QuotaLedger,
    platform: Settings,
    /// The holder id of each proxy's stream; each connection has a new one.
    streams: Vec<Option<HolderId>>,
    next_holder: u64,
    buckets: Vec<ProxyBucket>,
    /// Messages in transit, in order for each stream: reports to the service and assignments to proxies.
    in_transit: Vec<(u64, usize, HolderId, Result<Usage, Assignment>)>,
    units: u32,
    quota: Reference,
    /// How fast the proxies' clocks run, by the times in their reports; 1 is correct.
    clock_rate: f64,
}

impl Simulation {
    fn new(rate: f64, burst: f64, proxies: usize, units: u32) -> Simulation {
        let platform = settings(rate, burst);
        Simulation {
            now: 0,
            ledger: QuotaLedger::new(Micros(0), SET, &platform),
            platform,
            streams: vec![None; proxies],
            next_holder: 1,
            buckets: vec![ProxyBucket::default(); proxies],
            in_transit: Vec::new(),
            units,
            quota: Reference::new(rate, burst),
            clock_rate: 1.0,
        }
    }
    fn connect(&mut self, proxy: usize) {
        self.cut(proxy);
        // A proxy that opens a new stream receives nothing from the old one.
        self.in_transit.retain(|m| m.1 != proxy || m.3.is_ok());
        self.streams[proxy] = Some(HolderId(self.next_holder));
        self.next_holder += 1;
    }
    fn cut(&mut self, proxy: usize) {
        if let Some(holder) = self.streams[proxy].take() {
            self.ledger.holder_gone(Micros(self.now), holder);
        }
    }
    fn report(&mut self, proxy: usize, delay: u64) {
        let Some(holder) = self.streams[proxy] else { return };
        let b = &mut self.buckets[proxy];
        let report = usage(
            std::mem::take(&mut b.allowed),
            std::mem::take(&mut b.denied),
            ((self.now - b.reported) as f64 * self.clock_rate) as u64,
        );
        b.reported = self.now;
        let last = self.in_transit.iter().filter(|m| m.2 == holder && m.3.is_ok()).map(|m| m.0).max();
        self.in_transit.push(((self.now + delay).max(last.unwrap_or(0)), proxy, holder, Ok(report)));
    }
    fn advance_to(&mut self, to: u64, answer_delay: &mut dyn FnMut() -> u64) {
        loop {
            self.in_transit.sort_by_key(|m| m.0);
            if self.in_transit.first().is_none_or(|m| m.0 > to) {
                break;
            }
            let (at, proxy, holder, message) = self.in_transit.remove(0);
            self.now = self.now.max(at);
            match message {
                // A stream that ended delivers no more reports.
                Ok(report) if self.streams[proxy] == Some(holder) => {
                    let answer = self.ledger.report(Micros(self.now), holder, key(1, self.units), report);
                    let last =
                        self.in_transit.iter().filter(|m| m.2 == holder && m.3.is_err()).map(|m| m.0).max();
                    let at = (self.now + answer_delay()).max(last.unwrap_or(0));
                    self.in_transit.push((at, proxy, holder, Err(answer.expect("accepted"))));
                }
                Ok(_) => {}
                // It may have been sent before the stream was cut, so it may still arrive.
                Err(assignment) => self.buckets[proxy].receive(self.now, assignment),
            }
        }
        self.now = to;
    }
    fn request(&mut self, proxy: usize) -> bool {
        let ok = self.buckets[proxy].admit(self.now);
        if ok {
            self.quota.take(self.now, f64::from(self.units));
        }
        ok
    }
}

#[test]
fn no_order_of_faults_admits_more_than_the_quota() {
    let mut most_used = 0.0_f64;
    for seed in 0..1_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (rate, burst) = (1.0 + 20.0 * rng.f64(), 4.0 + 60.0 * rng.f64());
        let proxies = rng.usize(1..=4);
        let mut w = Simulation::new(rate, burst, proxies, rng.u32(1..=4));
        let mut stalled_until: Vec<u64> = vec![0; proxies];
        let demand = rate * (0.2 + 4.0 * rng.f64());
        w.clock_rate = [1.0, 1.0, 0.0, 1e-6, 0.1, 10.0, 1e6][rng.usize(0..7)];
        for step in 0..1_500_u64 {
            w.advance_to((step + 1) * 20 * MS, &mut || rng.u64(0..200 * MS));
            for (p, stalled_until) in stalled_until.iter_mut().enumerate() {
                // Proxies are cut, stall and reconnect as other holders; sometimes the service restarts
                // (below).
                match rng.u32(0..400) {
                    0 => w.cut(p),
                    1 => *stalled_until = w.now + rng.u64(0..6 * S),
                    2..=8 if w.streams[p].is_none() => w.connect(p),
                    _ => {}
                }
                // The load moves between proxies.
                let part = if (step / 200 + p as u64).is_multiple_of(3) { 2.0 } else { 0.5 };
                if rng.f64() < demand / f64::from(w.units) * part / proxies as f64 * 0.02 {
                    w.request(p);
                }
                if step % 12 == p as u64 && w.now >= *stalled_until {
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
        most_used = most_used.max(w.quota.taken / (burst + rate * 30.0));
        assert!(w.quota.lowest > -1e-3, "seed {seed}: {} units beyond the quota", -w.quota.lowest);
    }
    assert!(most_used > 0.5, "the check means little if the ledger assigns hardly anything: {most_used}");
}

/// Runs without faults: each proxy reports four times a second and is asked for `asked` units a second.
/// Returns the number of admitted and refused requests.
fn run_without_faults(w: &mut Simulation, seconds: u64, asked: &[f64]) -> (u64, u64) {
    let (mut admitted, mut refused, mut due) = (0, 0, vec![0.0; asked.len()]);
    for _ in 0..seconds * 100 {
        let now = w.now;
        w.advance_to(now + 10 * MS, &mut || 2 * MS);
        for (p, rate) in asked.iter().enumerate() {
            due[p] += rate * 0.01 / f64::from(w.units);
            while due[p] >= 1.0 {
                due[p] -= 1.0;
                if w.request(p) {
                    admitted += 1
                } else {
                    refused += 1
                }
            }
            if now / (10 * MS) % 25 == p as u64 {
                w.report(p, 2 * MS);
            }
        }
    }
    (admitted, refused)
}

#[test]
fn slices_follow_demand_and_the_busiest_proxy_gets_nearly_everything() {
    let mut w = Simulation::new(15.0, 30.0, 3, 1);
    (0..3).for_each(|p| w.connect(p));
    run_without_faults(&mut w, 12, &[4.0, 4.0, 4.0]);
    let (_, refused) = run_without_faults(&mut w, 30, &[4.0, 4.0, 4.0]);
    assert_eq!(refused, 0, "an even load within the quota is admitted completely");
    run_without_faults(&mut w, 10, &[13.0, 0.5, 0.5]);
    let (admitted, refused) = run_without_faults(&mut w, 30, &[13.0, 0.5, 0.5]);
    let part = refused as f64 / (admitted + refused) as f64;
    // An even split would admit only 5 of 13 units a second at the first proxy.
    assert!(part < 0.05, "{refused} of {} were refused within the quota", admitted + refused);
    assert!(w.quota.lowest > -1e-3);
}

#[test]
fn the_slice_of_a_disconnected_proxy_is_not_assigned_again_before_it_expires() {
    let mut w = Simulation::new(10.0, 20.0, 2, 1);
    (0..2).for_each(|p| w.connect(p));
    run_without_faults(&mut w, 20, &[20.0, 20.0]);
    // The first proxy is disconnected and continues with its slice. The second asks for everything.
    w.cut(0);
    let before = w.now;
    let mut by_disconnected = 0;
    while w.now < before + 2 * S {
        let now = w.now;
        w.advance_to(now + 10 * MS, &mut || 2 * MS);
        by_disconnected += u32::from(w.request(0));
        w.request(1);
        if (now / (10 * MS)).is_multiple_of(25) {
            w.report(1, 2 * MS);
        }
    }
    assert!(by_disconnected > 0, "the disconnected proxy still admits requests");
    assert!(w.quota.lowest > -1e-3, "{}", w.quota.lowest);
    run_without_faults(&mut w, 8, &[0.0, 20.0]);
    let (admitted, _) = run_without_faults(&mut w, 10, &[0.0, 20.0]);
    assert!(admitted > 85, "the other proxy has it after it expired: {admitted} of 100");
}

#[test]
fn a_restarted_service_assigns_nothing_before_the_old_slices_have_expired() {
    let mut ledger = QuotaLedger::new(Micros(100 * S), SET, &settings(10.0, 20.0));
    for at in [100_000, 101_000, 102_240] {
        let answer =
            ledger.report(Micros(at * MS), HolderId(1), key(1, 1), usage(0, 1, 0)).expect("accepted");
        assert_eq!(answer, Assignment::Keep, "at {at}");
    }
    let answer =
        ledger.report(Micros(102_260 * MS), HolderId(1), key(1, 1), usage(0, 1, 0)).expect("accepted");
    assert!(matches!(answer, Assignment::Deny { .. }), "the store may have been used up: {answer:?}");
    let answer = ledger.report(Micros(105 * S), HolderId(1), key(1, 1), usage(0, 1, S)).expect("accepted");
    assert!(matches!(answer, Assignment::Tokens { .. }), "{answer:?}");
}

#[test]
fn two_streams_of_one_proxy_share_one_quota() {
    let mut ledger = QuotaLedger::new(Micros(0), SET, &settings(10.0, 20.0));
    let mut assigned: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
    for round in 0..20_u64 {
        for holder in [1, 2] {
            let at = Micros(100 * S + round * 250 * MS + holder * MS);
            let answer =
                ledger.report(at, HolderId(holder), key(1, 1), usage(1, 1, 250 * MS)).expect("accepted");
            if let Assignment::Tokens { capacity, interval, .. } = answer {
                let rate = interval.map_or(0.0, |e| 1e6 / e.0 as f64);
                assigned.insert(holder, (f64::from(capacity), rate));
            }
        }
        let (tokens, rate): (f64, f64) = assigned.values().fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1));
        assert!(rate <= 10.0 + 1e-6 && tokens <= 20.0, "round {round}: {tokens} at once, {rate} a second");
    }
    assert_eq!(assigned.len(), 2);
}

#[test]
fn hostile_reports_use_bounded_memory_and_are_rejected_with_a_reason() {
    let mut ledger = QuotaLedger::new(Micros(0), SET, &settings(10.0, 20.0));
    let now = Micros(100 * S);
    let ask =
        |l: &mut QuotaLedger, holder, key| l.report(now, HolderId(holder), key, usage(u64::MAX, u64::MAX, 1));
    assert_eq!(ask(&mut ledger, 1, key(1, 0)), Err(LedgerError::InvalidUnits(0)));
    assert_eq!(ask(&mut ledger, 1, key(1, 5)), Err(LedgerError::InvalidUnits(5)));
    let plan = BucketKey { plan: PlanId(9), ..key(1, 1) };
    assert_eq!(ask(&mut ledger, 1, plan), Err(LedgerError::UnknownPlan(PlanId(9))));
    let refused = (0..1000).filter(|&c| ask(&mut ledger, 1, key(c, 1)).is_err()).count();
    assert_eq!(refused, 950, "a holder may have fifty buckets");
    for holder in 2..10 {
        let _ = (0..1000).filter(|c| ask(&mut ledger, holder, key(c + holder * 1000, 1)).is_ok()).count();
    }
    assert!(ledger.customers() <= 100);
    (1..10).for_each(|holder| ledger.holder_gone(now, HolderId(holder)));
    ledger.sweep(Micros(10_000 * S));
    assert!(ledger.customers() <= 100);
}

#[test]
fn idle_buckets_are_abandoned_and_idle_customers_removed() {
    let mut ledger = QuotaLedger::new(Micros(0), SET, &settings(10.0, 20.0));
    for second in 0..60 {
        let answer = ledger.report(Micros((100 + second) * S), HolderId(1), key(1, 1), usage(0, 0, S));
        assert_ne!(answer, Ok(Assignment::Abandon));
    }
    let answer = ledger.report(Micros(161 * S), HolderId(1), key(1, 1), usage(0, 0, S));
    assert_eq!(answer, Ok(Assignment::Abandon));
    ledger.sweep(Micros(200 * S));
    assert_eq!(ledger.customers(), 0);
}

#[test]
fn an_abandoned_bucket_that_is_requested_again_is_paid_for_again_and_ends_with_its_stream() {
    let mut ledger = QuotaLedger::new(Micros(0), SET, &settings(10.0, 20.0));
    let tokens =
        |answer| if let Assignment::Tokens { capacity, .. } = answer { f64::from(capacity) } else { 0.0 };
    let (mut at, mut held) = (100 * S, 0.0);
    loop {
        let answer =
            ledger.report(Micros(at), HolderId(1), key(1, 1), usage(0, 0, 250 * MS)).expect("accepted");
        if answer == Assignment::Abandon {
            break;
        }
        held = tokens(answer);
        at += 250 * MS;
        assert!(at < 200 * S, "the bucket is never abandoned");
    }
    assert!(held > 10.0, "a single holder has most of the burst: {held}");
    // The holder may have used all of that by now. When it asks again, its new bucket starts full.
    at += 10 * MS;
    let answer = ledger.report(Micros(at), HolderId(1), key(1, 1), usage(0, 1, 10 * MS)).expect("accepted");
    assert!(held + tokens(answer) <= 20.0, "{held}, then {answer:?}, at once, with a burst of 20");
    // When its stream ends, nothing of the holder remains.
    ledger.holder_gone(Micros(at), HolderId(1));
    ledger.sweep(Micros(at + 100 * S));
    assert_eq!(ledger.customers(), 0);
}

#[test]
fn slices_follow_a_load_that_moves_between_proxies() {
    let (rate, burst) = (18.0, 36.0);
    // Admitted by the ledger's slices, by one exact bucket, and by an even split.
    let mut admitted = [0_u64; 3];
    for (seed, demand) in [(1, 0.8), (2, 0.8), (3, 3.0)] {
        println!("seed {seed}");
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut w = Simulation::new(rate, burst, 3, 1);
        (0..3).for_each(|p| w.connect(p));
        run_without_faults(&mut w, 10, &[1.0, 1.0, 1.0]);
        let mut ideal = Reference::new(rate, burst);
        let mut split = [0, 1, 2].map(|_| Reference::new(rate / 3.0, burst / 3.0));
        for reference in split.iter_mut().chain([&mut ideal]) {
            reference.at = w.now;
        }
        for step in 0..6_400_u64 {
            let now = w.now;
            w.advance_to(now + 10 * MS, &mut || 2 * MS);
            if rng.f64() < demand * rate * 0.01 {
                // The busiest proxy changes every 8 s.
                let p = if rng.f64() < 0.7 { (step / 800 % 3) as usize } else { rng.usize(0..3) };
                admitted[0] += u64::from(w.request(p));
                for (i, reference) in [(1, &mut ideal), (2, &mut split[p])] {
                    reference.take(w.now, 0.0);
                    if reference.level >= 1.0 {
                        reference.take(w.now, 1.0);
                        admitted[i] += 1;
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
    let part = |n: u64| 1.0 - n as f64 / admitted[1] as f64;
    println!("wrongly refused: slices {:.3}, even split {:.3}", part(admitted[0]), part(admitted[2]));
    assert!(part(admitted[0]) < 0.1 && part(admitted[0]) < part(admitted[2]) / 2.0, "{admitted:?}");
}
