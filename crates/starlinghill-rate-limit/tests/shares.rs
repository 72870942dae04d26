//! Parts of a quota that move between gateways: whatever happens to messages and gateways, all of them together never hold
//! more than the whole, nor spend more than its rate and burst.

use starlinghill_rate_limit::shares::*;
use starlinghill_rate_limit::Micros;

const RATE: f64 = 10.0;
const BURST: f64 = 20.0;
/// Length of an epoch in steps of 50 ms.
const EPOCH: u64 = 120;
const STEP: f64 = 0.05;

/// A local bucket.
#[derive(Clone, Default)]
struct Bucket {
    level: f64,
}

struct Gateway {
    shares: Shares,
    bucket: Bucket,
    /// The step at which this life began.
    born: u64,
    asked: f64,
}

/// A message on its way.
struct Letter {
    at: u64,
    from: usize,
    to: usize,
    life: u32,
    bytes: Vec<u8>,
}

struct World {
    rng: fastrand::Rng,
    now: u64,
    gateways: Vec<Option<Gateway>>,
    letters: Vec<Letter>,
    exchanges: Vec<Exchange>,
    /// The last life of each that each heard of.
    lives: Vec<Vec<u32>>,
    lost: u32,
    granted: f64,
    asked: f64,
}

impl World {
    fn new(seed: u64) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let n = rng.usize(2..=4);
        let lost = [0, 10, 50, 100][rng.usize(0..4)];
        let gateway = || {
            let bucket = Bucket { level: BURST / n as f64 };
            Some(Gateway { shares: Shares::default(), bucket, born: 0, asked: 0.0 })
        };
        let gateways = (0..n).map(|_| gateway()).collect();
        let (exchanges, lives) = (vec![Exchange::default(); n], vec![vec![0; n]; n]);
        World {
            rng,
            now: EPOCH,
            gateways,
            letters: Vec::new(),
            exchanges,
            lives,
            lost,
            granted: 0.0,
            asked: 0.0,
        }
    }
    fn epoch(&self) -> u64 {
        self.now / EPOCH
    }
    fn held(&self) -> u32 {
        self.gateways.iter().flatten().map(|g| g.shares.held()).sum()
    }
    fn send(&mut self, from: usize, to: usize, wanted_rate: f32, given: Transfer) {
        let said = MessageEntry {
            customer: 7,
            epoch: self.epoch(),
            plan: 0,
            spread: 0,
            first: 0,
            wanted_rate,
            given,
        };
        let life = self.gateways[from].as_ref().map_or(0, |g| g.born as u32);
        let bytes = encode(life, self.lives[from][to], 0, &[said]);
        for _ in 0..self.rng.u32(1..=2) {
            if self.rng.u32(0..100) >= self.lost {
                // Now and then one takes five seconds.
                let late = if self.rng.u32(0..10) == 0 { 100 } else { self.rng.u64(1..3) };
                let bytes = bytes.clone();
                self.letters.push(Letter { at: self.now + late, from, to, life, bytes });
            }
        }
    }
    fn receive(&mut self, letter: Letter) {
        let epoch = self.epoch();
        let (life, _, entries) =
            decode(&letter.bytes, self.gateways[letter.to].as_ref().map_or(0, |g| g.born as u32), |_| epoch)
                .expect("ours");
        assert_eq!(life, letter.life);
        self.lives[letter.to][letter.from] = self.lives[letter.to][letter.from].max(life);
        let renewed = self.exchanges[letter.to].update_incarnation(letter.from as u32, life);
        let Some(gateway) = self.gateways[letter.to].as_mut() else { return };
        match renewed {
            None => return,
            Some(true) => gateway.shares.peer_restarted(letter.from as u32),
            Some(false) => {}
        }
        let n = self.exchanges.len() as u32;
        let mut reply = None;
        for said in entries {
            gateway.bucket.level += gateway.shares.receive(said.epoch, letter.from as u32, said.given);
            let share = f64::from(gateway.shares.held()) / f64::from(ALL_PARTS);
            gateway.bucket.level = gateway.bucket.level.min(BURST * share);
            if said.wanted_rate > 0.0 {
                let part = spare_share(RATE, share, gateway.asked, f64::from(said.wanted_rate), n);
                let units = if part > 0.0 { gateway.bucket.level * (part / share).min(1.0) } else { 0.0 };
                gateway.bucket.level -= units;
                let parts = (part * f64::from(ALL_PARTS)) as u32;
                reply = Some(gateway.shares.give(letter.from as u32, parts, units));
            }
        }
        if let Some(given) = reply {
            self.send(letter.to, letter.from, 0.0, given);
        }
    }
    /// One step: letters arrive, buckets fill, one gateway is asked for what is wanted.
    fn step(&mut self, favourite: usize, units: f64) {
        self.now += 1;
        let (epoch, n) = (self.epoch(), self.exchanges.len() as u32);
        let edge = epoch * EPOCH;
        for gateway in self.gateways.iter_mut().flatten() {
            gateway.shares.begin_epoch(epoch, n, gateway.born <= edge);
            let share = f64::from(gateway.shares.held()) / f64::from(ALL_PARTS);
            gateway.bucket.level = (gateway.bucket.level + RATE * share * STEP).min(BURST * share);
            gateway.asked *= 0.95;
        }
        let due: Vec<Letter> = {
            let (due, rest) = std::mem::take(&mut self.letters).into_iter().partition(|l| l.at <= self.now);
            self.letters = rest;
            due
        };
        due.into_iter().for_each(|letter| self.receive(letter));
        let Some(gateway) = self.gateways[favourite].as_mut() else { return };
        self.asked += units;
        gateway.asked += units / STEP * 0.05;
        if gateway.bucket.level >= units {
            gateway.bucket.level -= units;
            self.granted += units;
            return;
        }
        let (wanted_rate, said) = (gateway.asked.max(0.01) as f32, gateway.shares.clone());
        for to in (0..n as usize).filter(|to| *to != favourite) {
            self.send(favourite, to, wanted_rate, said.given_to(to as u32).unwrap_or_default());
        }
    }
    fn kill_or_start(&mut self, which: usize) {
        match self.gateways[which].take() {
            Some(_) => {}
            None => {
                let (shares, bucket) = (Shares::default(), Bucket::default());
                self.gateways[which] = Some(Gateway { shares, bucket, born: self.now, asked: 0.0 });
                self.exchanges[which] = Exchange::default();
                self.lives[which].fill(0);
            }
        }
    }
}

fn play(seed: u64, kills: bool) -> World {
    let mut world = World::new(seed);
    let n = world.gateways.len();
    let mut favourite = 0;
    for step in 0..100 {
        if world.rng.u32(0..30) == 0 {
            favourite = world.rng.usize(0..n);
        }
        if kills && world.rng.u32(0..40) == 0 {
            let which = world.rng.usize(0..n);
            world.kill_or_start(which);
        }
        let units = f64::from(world.rng.u32(0..=2));
        world.step(favourite, units);
        assert!(world.held() <= ALL_PARTS, "seed {seed}, step {step}: {} parts of {ALL_PARTS}", world.held());
        let most = BURST + RATE * STEP * (step + 1) as f64;
        assert!(world.granted <= most + 1e-6, "seed {seed}, step {step}: {} of {most}", world.granted);
    }
    world
}

/// How many histories are played; a longer run by `HISTORIES=1000000 cargo test --release -p starlinghill-rate-limit`.
fn histories() -> u64 {
    std::env::var("HISTORIES").ok().and_then(|n| n.parse().ok()).unwrap_or(100_000)
}

#[test]
fn no_order_of_grants_losses_kills_and_returns_gives_out_more_than_the_whole() {
    let threads = 4;
    std::thread::scope(|scope| {
        for part in 0..threads {
            scope
                .spawn(move || (0..histories() / threads).for_each(|i| drop(play(i * threads + part, true))));
        }
    });
}

#[test]
fn what_moves_lets_through_more_than_even_shares() {
    let (mut moved, mut even) = (0.0, 0.0);
    for seed in 0..4_000 {
        let world = play(seed, false);
        let part = world.granted / world.asked;
        // Nothing arrives where all is lost: those are the even shares.
        *(if world.lost == 100 { &mut even } else { &mut moved }) += part;
    }
    let (moved, even) = (moved / 3.0, even);
    assert!(moved > 1.15 * even, "{moved} against {even}");
}

#[test]
fn a_message_that_comes_twice_or_late_or_out_of_order_says_nothing_new() {
    let (mut giver, mut receiver) = (Shares::default(), Shares::default());
    giver.begin_epoch(3, 2, true);
    receiver.begin_epoch(3, 2, true);
    let first = giver.give(1, 500, 2.0);
    let second = giver.give(1, 500, 1.0);
    assert_eq!(receiver.receive(3, 0, second), 3.0);
    assert_eq!(receiver.receive(3, 0, first), 0.0);
    assert_eq!(receiver.receive(3, 0, second), 0.0);
    assert_eq!((giver.held(), receiver.held()), (ALL_PARTS / 2 - 1_000, ALL_PARTS / 2 + 1_000));
    // Of another epoch, or out of range, it is void.
    assert_eq!(receiver.receive(2, 0, Transfer { parts: 4_000, units: 50.0 }), 0.0);
    for units in [f64::NAN, f64::INFINITY, -1.0, 1e9] {
        assert_eq!(receiver.receive(3, 0, Transfer { parts: 4_000, units }), 0.0);
    }
    assert_eq!(receiver.held(), ALL_PARTS / 2 + 1_000);
}

#[test]
fn nobody_holds_more_than_the_whole_whatever_is_claimed() {
    let mut shares = Shares::default();
    shares.begin_epoch(1, 4, true);
    for from in 0..200 {
        shares.receive(1, from, Transfer { parts: u32::MAX, units: 1.0 });
    }
    assert_eq!(shares.held(), ALL_PARTS);
}

#[test]
fn one_that_starts_in_the_middle_of_an_epoch_holds_nothing_until_the_next() {
    let mut shares = Shares::default();
    shares.begin_epoch(1, 4, false);
    assert_eq!((shares.held(), shares.moved(4)), (0, -0.25));
    shares.begin_epoch(2, 4, true);
    assert_eq!((shares.held(), shares.moved(4)), (ALL_PARTS / 4, 0.0));
}

#[test]
fn messages_read_back_as_written_and_nonsense_is_told() {
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
        // Any bytes at all give entries or an error.
        let noise: Vec<u8> = (0..rng.usize(0..=300)).map(|_| rng.u8(..)).collect();
        assert!(decode(&noise, 5, |_| 9).is_err());
        let mut bent = bytes.clone();
        let at = rng.usize(0..bent.len());
        bent[at] ^= 1 << rng.u32(0..8);
        let _ = decode(&bent, 5, |_| 5_000_000_500);
        assert!(decode(&bytes[..bytes.len() - 1], 5, |_| 9).is_err());
    }
    let said = MessageEntry {
        customer: 1,
        epoch: 1,
        plan: 0,
        spread: 2,
        first: 0,
        wanted_rate: f32::NAN,
        given: Transfer::default(),
    };
    assert_eq!(decode(&encode(1, 5, 0, &[said]), 5, |_| 1), Err(MessageError::InvalidNumber));
}

#[test]
fn what_waits_is_bounded_and_goes_out_no_faster_than_others_take_it_in() {
    let mut exchange = Exchange::default();
    for customer in 0..1_000 {
        let given = Transfer::default();
        exchange.enqueue(
            2,
            MessageEntry { customer, epoch: 1, plan: 0, spread: 2, first: 0, wanted_rate: 1.0, given },
        );
    }
    let pause = Micros(50_000);
    let mut told = 0;
    for tick in 0..1_000 {
        for (to, message) in exchange.take_due(Micros(1_000_000 + tick * 5_000), pause, 1, Micros(0)) {
            assert_eq!(to, 2);
            assert!(tick % 10 == 0, "one every 50 ms");
            told += decode(&message, 0, |_| 1).expect("ours").2.len();
        }
    }
    assert_eq!(told, 4 * MAX_ENTRIES);
    assert!(exchange.is_idle());
}

#[test]
fn one_that_promises_nothing_is_not_read_as_if_it_did_whatever_the_time() {
    // Moments all over the round of 32 bits of milliseconds, which takes 50 days.
    for days in 0..50 {
        let now = Micros((1_790_000_000_000 + days * 86_400_000) * 1_000);
        let mut exchange = Exchange::default();
        let given = Transfer::default();
        exchange.enqueue(
            1,
            MessageEntry { customer: 1, epoch: 1, plan: 0, spread: 2, first: 0, wanted_rate: 1.0, given },
        );
        let (_, message) = exchange.take_due(now, Micros(1), 1, Micros(0)).pop().expect("it waits");
        let (_, quiet, _) = decode(&message, 0, |_| 1).expect("ours");
        exchange.set_quiet(0, now, quiet);
        assert!(exchange.quiet_until(0) <= now, "day {days}");
        // Neither is one of an hour, nor any other number.
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
