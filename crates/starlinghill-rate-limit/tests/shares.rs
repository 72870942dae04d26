//! Parts of a quota that gateways transfer to each other. Whatever happens to messages and gateways,
//! together they never hold more than all parts, nor use more than the quota's rate and burst.

use starlinghill_rate_limit::shares::*;
use starlinghill_rate_limit::Micros;

const RATE: f64 = 10.0;
const BURST: f64 = 20.0;
/// The length of an epoch, in steps.
const EPOCH_STEPS: u64 = 120;
/// The length of a step, in seconds.
const STEP_S: f64 = 0.05;

/// A gateway's local token bucket.
#[derive(Clone, Default)]
struct Bucket {
    level: f64,
}

struct Gateway {
    shares: Shares,
    bucket: Bucket,
    /// The step at which the gateway started; identifies its incarnation.
    started: u64,
    /// Smoothed demand, in units a second.
    demand: f64,
}

/// A message in transit.
struct InTransit {
    at: u64,
    from: usize,
    to: usize,
    incarnation: u32,
    bytes: Vec<u8>,
}

struct Simulation {
    rng: fastrand::Rng,
    now: u64,
    gateways: Vec<Option<Gateway>>,
    in_transit: Vec<InTransit>,
    exchanges: Vec<Exchange>,
    /// The latest incarnation of each gateway that each gateway knows.
    incarnations: Vec<Vec<u32>>,
    /// Messages lost, in percent.
    loss_percent: u32,
    /// Units admitted, and units asked for.
    admitted: f64,
    asked: f64,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        let n = rng.usize(2..=4);
        let loss_percent = [0, 10, 50, 100][rng.usize(0..4)];
        let gateway = || {
            let bucket = Bucket { level: BURST / n as f64 };
            Some(Gateway { shares: Shares::default(), bucket, started: 0, demand: 0.0 })
        };
        let gateways = (0..n).map(|_| gateway()).collect();
        let (exchanges, incarnations) = (vec![Exchange::default(); n], vec![vec![0; n]; n]);
        Simulation {
            rng,
            now: EPOCH_STEPS,
            gateways,
            in_transit: Vec::new(),
            exchanges,
            incarnations,
            loss_percent,
            admitted: 0.0,
            asked: 0.0,
        }
    }
    fn epoch(&self) -> u64 {
        self.now / EPOCH_STEPS
    }
    fn held(&self) -> u32 {
        self.gateways.iter().flatten().map(|g| g.shares.held()).sum()
    }
    fn send(&mut self, from: usize, to: usize, wanted_rate: f32, given: Transfer) {
        let entry = MessageEntry {
            customer: 7,
            epoch: self.epoch(),
            plan: 0,
            spread: 0,
            first: 0,
            wanted_rate,
            given,
        };
        let incarnation = self.gateways[from].as_ref().map_or(0, |g| g.started as u32);
        let bytes = encode(incarnation, self.incarnations[from][to], 0, &[entry]);
        for _ in 0..self.rng.u32(1..=2) {
            if self.rng.u32(0..100) >= self.loss_percent {
                // One in ten messages takes five seconds.
                let delay = if self.rng.u32(0..10) == 0 { 100 } else { self.rng.u64(1..3) };
                let bytes = bytes.clone();
                self.in_transit.push(InTransit { at: self.now + delay, from, to, incarnation, bytes });
            }
        }
    }
    fn receive(&mut self, message: InTransit) {
        let epoch = self.epoch();
        let (incarnation, _, entries) = decode(
            &message.bytes,
            self.gateways[message.to].as_ref().map_or(0, |g| g.started as u32),
            |_| epoch,
        )
        .expect("a valid message");
        assert_eq!(incarnation, message.incarnation);
        self.incarnations[message.to][message.from] =
            self.incarnations[message.to][message.from].max(incarnation);
        let restarted = self.exchanges[message.to].update_incarnation(message.from as u32, incarnation);
        let Some(gateway) = self.gateways[message.to].as_mut() else { return };
        match restarted {
            None => return,
            Some(true) => gateway.shares.peer_restarted(message.from as u32),
            Some(false) => {}
        }
        let n = self.exchanges.len() as u32;
        let mut reply = None;
        for entry in entries {
            gateway.bucket.level += gateway.shares.receive(entry.epoch, message.from as u32, entry.given);
            let share = f64::from(gateway.shares.held()) / f64::from(ALL_PARTS);
            gateway.bucket.level = gateway.bucket.level.min(BURST * share);
            if entry.wanted_rate > 0.0 {
                let part = spare_share(RATE, share, gateway.demand, f64::from(entry.wanted_rate), n);
                let units = if part > 0.0 { gateway.bucket.level * (part / share).min(1.0) } else { 0.0 };
                gateway.bucket.level -= units;
                let parts = (part * f64::from(ALL_PARTS)) as u32;
                reply = Some(gateway.shares.give(message.from as u32, parts, units));
            }
        }
        if let Some(given) = reply {
            self.send(message.to, message.from, 0.0, given);
        }
    }
    /// One step: messages arrive, buckets fill, and the busiest gateway gets a request.
    fn step(&mut self, busiest: usize, units: f64) {
        self.now += 1;
        let (epoch, n) = (self.epoch(), self.exchanges.len() as u32);
        let epoch_start = epoch * EPOCH_STEPS;
        for gateway in self.gateways.iter_mut().flatten() {
            gateway.shares.begin_epoch(epoch, n, gateway.started <= epoch_start);
            let share = f64::from(gateway.shares.held()) / f64::from(ALL_PARTS);
            gateway.bucket.level = (gateway.bucket.level + RATE * share * STEP_S).min(BURST * share);
            gateway.demand *= 0.95;
        }
        let due: Vec<InTransit> = {
            let (due, rest) =
                std::mem::take(&mut self.in_transit).into_iter().partition(|l| l.at <= self.now);
            self.in_transit = rest;
            due
        };
        due.into_iter().for_each(|message| self.receive(message));
        let Some(gateway) = self.gateways[busiest].as_mut() else { return };
        self.asked += units;
        gateway.demand += units / STEP_S * 0.05;
        if gateway.bucket.level >= units {
            gateway.bucket.level -= units;
            self.admitted += units;
            return;
        }
        let (wanted_rate, shares) = (gateway.demand.max(0.01) as f32, gateway.shares.clone());
        for to in (0..n as usize).filter(|to| *to != busiest) {
            self.send(busiest, to, wanted_rate, shares.given_to(to as u32).unwrap_or_default());
        }
    }
    fn stop_or_start(&mut self, which: usize) {
        match self.gateways[which].take() {
            Some(_) => {}
            None => {
                let (shares, bucket) = (Shares::default(), Bucket::default());
                self.gateways[which] = Some(Gateway { shares, bucket, started: self.now, demand: 0.0 });
                self.exchanges[which] = Exchange::default();
                self.incarnations[which].fill(0);
            }
        }
    }
}

fn run(seed: u64, restarts: bool) -> Simulation {
    let mut sim = Simulation::new(seed);
    let n = sim.gateways.len();
    let mut busiest = 0;
    for step in 0..100 {
        if sim.rng.u32(0..30) == 0 {
            busiest = sim.rng.usize(0..n);
        }
        if restarts && sim.rng.u32(0..40) == 0 {
            let which = sim.rng.usize(0..n);
            sim.stop_or_start(which);
        }
        let units = f64::from(sim.rng.u32(0..=2));
        sim.step(busiest, units);
        assert!(sim.held() <= ALL_PARTS, "seed {seed}, step {step}: {} parts of {ALL_PARTS}", sim.held());
        let most = BURST + RATE * STEP_S * (step + 1) as f64;
        assert!(sim.admitted <= most + 1e-6, "seed {seed}, step {step}: {} of {most}", sim.admitted);
    }
    sim
}

/// How many random histories are simulated. For a longer run: `HISTORIES=1000000 cargo test --release -p
/// starlinghill-rate-limit`.
fn histories() -> u64 {
    std::env::var("HISTORIES").ok().and_then(|n| n.parse().ok()).unwrap_or(100_000)
}

#[test]
fn no_order_of_transfers_losses_and_restarts_exceeds_all_parts_or_the_quota() {
    let threads = 4;
    std::thread::scope(|scope| {
        for part in 0..threads {
            scope.spawn(move || (0..histories() / threads).for_each(|i| drop(run(i * threads + part, true))));
        }
    });
}

#[test]
fn transferred_shares_admit_more_than_even_shares() {
    let (mut moved, mut even) = (0.0, 0.0);
    for seed in 0..4_000 {
        let sim = run(seed, false);
        let part = sim.admitted / sim.asked;
        // If all messages are lost, the gateways keep their even shares.
        *(if sim.loss_percent == 100 { &mut even } else { &mut moved }) += part;
    }
    let (moved, even) = (moved / 3.0, even);
    assert!(moved > 1.15 * even, "{moved} against {even}");
}

#[test]
fn a_duplicate_late_or_reordered_message_changes_nothing() {
    let (mut giver, mut receiver) = (Shares::default(), Shares::default());
    giver.begin_epoch(3, 2, true);
    receiver.begin_epoch(3, 2, true);
    let first = giver.give(1, 500, 2.0);
    let second = giver.give(1, 500, 1.0);
    assert_eq!(receiver.receive(3, 0, second), 3.0);
    assert_eq!(receiver.receive(3, 0, first), 0.0);
    assert_eq!(receiver.receive(3, 0, second), 0.0);
    assert_eq!((giver.held(), receiver.held()), (ALL_PARTS / 2 - 1_000, ALL_PARTS / 2 + 1_000));
    // Claims for another epoch and invalid ones are ignored.
    assert_eq!(receiver.receive(2, 0, Transfer { parts: 4_000, units: 50.0 }), 0.0);
    for units in [f64::NAN, f64::INFINITY, -1.0, 1e9] {
        assert_eq!(receiver.receive(3, 0, Transfer { parts: 4_000, units }), 0.0);
    }
    assert_eq!(receiver.held(), ALL_PARTS / 2 + 1_000);
}

#[test]
fn no_gateway_holds_more_than_all_parts_whatever_others_claim() {
    let mut shares = Shares::default();
    shares.begin_epoch(1, 4, true);
    for from in 0..200 {
        shares.receive(1, from, Transfer { parts: u32::MAX, units: 1.0 });
    }
    assert_eq!(shares.held(), ALL_PARTS);
}

#[test]
fn a_gateway_that_starts_during_an_epoch_holds_nothing_until_the_next_one() {
    let mut shares = Shares::default();
    shares.begin_epoch(1, 4, false);
    assert_eq!((shares.held(), shares.moved(4)), (0, -0.25));
    shares.begin_epoch(2, 4, true);
    assert_eq!((shares.held(), shares.moved(4)), (ALL_PARTS / 4, 0.0));
}

#[test]
fn messages_decode_as_they_were_encoded_and_invalid_ones_are_rejected() {
    let mut rng = fastrand::Rng::with_seed(5);
    for _ in 0..500 {
        let entries: Vec<MessageEntry> = (0..rng.usize(0..=MAX_ENTRIES))
            .map(|_| MessageEntry {
                customer: rng.u64(..),
                epoch: 5_000_000_000 + rng.u64(0..1_000),
                plan: rng.u16(..),
                spread: rng.u16(..),
                first: rng.u16(..),
                wanted_rate: rng.f32(),
                given: Transfer { parts: rng.u32(..), units: f64::from(rng.f32()) },
            })
            .collect();
        let bytes = encode(77, 5, 9, &entries);
        assert!(bytes.len() <= MAX_MESSAGE_BYTES);
        assert_eq!(decode(&bytes, 5, |_| 5_000_000_500), Ok((77, 9, entries)));
        // Arbitrary bytes are decoded or rejected, without a panic.
        let noise: Vec<u8> = (0..rng.usize(0..=300)).map(|_| rng.u8(..)).collect();
        assert!(decode(&noise, 5, |_| 9).is_err());
        let mut corrupt = bytes.clone();
        let at = rng.usize(0..corrupt.len());
        corrupt[at] ^= 1 << rng.u32(0..8);
        let _ = decode(&corrupt, 5, |_| 5_000_000_500);
        assert!(decode(&bytes[..bytes.len() - 1], 5, |_| 9).is_err());
    }
    let entry = MessageEntry {
        customer: 1,
        epoch: 1,
        plan: 0,
        spread: 2,
        first: 0,
        wanted_rate: f32::NAN,
        given: Transfer::default(),
    };
    assert_eq!(decode(&encode(1, 5, 0, &[entry]), 5, |_| 1), Err(MessageError::InvalidNumber));
}

#[test]
fn queued_entries_are_bounded_and_sent_at_a_limited_rate() {
    let mut exchange = Exchange::default();
    for customer in 0..1_000 {
        let given = Transfer::default();
        exchange.enqueue(
            2,
            MessageEntry { customer, epoch: 1, plan: 0, spread: 2, first: 0, wanted_rate: 1.0, given },
        );
    }
    let pause = Micros(50_000);
    let mut sent = 0;
    for tick in 0..1_000 {
        for (to, message) in exchange.take_due(Micros(1_000_000 + tick * 5_000), pause, 1, Micros(0)) {
            assert_eq!(to, 2);
            assert!(tick % 10 == 0, "one message every 50 ms");
            sent += decode(&message, 0, |_| 1).expect("a valid message").2.len();
        }
    }
    assert_eq!(sent, 4 * MAX_ENTRIES);
    assert!(exchange.is_idle());
}

#[test]
fn a_gateway_that_promises_nothing_is_never_understood_to_have_promised() {
    // Times over a full cycle of 32 bits of milliseconds, which takes 50 days.
    for days in 0..50 {
        let now = Micros((1_790_000_000_000 + days * 86_400_000) * 1_000);
        let mut exchange = Exchange::default();
        let given = Transfer::default();
        exchange.enqueue(
            1,
            MessageEntry { customer: 1, epoch: 1, plan: 0, spread: 2, first: 0, wanted_rate: 1.0, given },
        );
        let (_, message) = exchange.take_due(now, Micros(1), 1, Micros(0)).pop().expect("an entry is queued");
        let (_, quiet, _) = decode(&message, 0, |_| 1).expect("a valid message");
        exchange.set_quiet(0, now, quiet);
        assert!(exchange.quiet_until(0) <= now, "day {days}");
        // Neither a promise of an hour nor an arbitrary number is accepted.
        for quiet in [0, 1, u32::MAX, u32::MAX / 2, (now.0 / 1_000) as u32 + 3_600_000] {
            exchange.set_quiet(0, now, quiet);
            assert!(exchange.quiet_until(0) <= now + Micros(5_000_000), "day {days}, {quiet}");
            let near = quiet.wrapping_sub((now.0 / 1_000) as u32) <= 5_000;
            assert!(near || exchange.quiet_until(0) <= now, "day {days}, {quiet}");
        }
        exchange.set_quiet(0, now, (now.0 / 1_000) as u32 + 900);
        assert_eq!(exchange.quiet_until(0), now + Micros(900_000));
    }
}
