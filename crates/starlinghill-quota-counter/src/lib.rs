//! Workshop: a gauge says how much there is. Here it is the shared count of what the tenants use: one store for each
//! tenant, which fills at its rate and holds its burst, and from which every gateway draws before it sends a request on.
//!
//! The sum over all machines is what counts, also while machines are cut off, the counter moves, or all of it is killed:
//!
//! * A draw that the store does not hold takes nothing.
//! * A gateway that can't reach the counter decides by its own share of the rate. While the counter hears nothing of a
//!   gateway, it leaves that share to it, from the moment on at which it heard it last, but for a part of what the rules
//!   allow in excess.
//! * What a gateway uses without a word of the counter's it tells at once where it can, and what the store gave for a
//!   request that had been decided already goes back ([`Debts`]).
//! * A counter that begins takes each store to hold what was last heard of it, in the system's time, and nothing for the
//!   time since: that was the gateways' own. Of a store that nobody heard of it takes the worst, for a while; where all
//!   gateways were lost with the counter, that is a part of what the rules allow on top of the quota.
//!
//! No I/O and no clock.

mod audit;
mod backend_load;
mod bounds;
mod client;
mod level_readings;
mod recalled_shares;
mod store;
mod unreported_usage;

pub use backend_load::{BackendLoad, BackendOffer, ListedBackend, LoadReport, LoadTable};
use bounds::even_share;
pub use bounds::{
    fill_fraction, max_granted_after_losses, max_granted_in_window, own_share, unassigned_share, Disruptions,
};
pub use client::QuotaClient;
pub use level_readings::LevelReadings;
pub use starlinghill_rate_limit::{Allowance, Quota};
pub use unreported_usage::{DrawOutcome, UnreportedUsage};

use bitcode::{Decode, Encode};
use recalled_shares::RecalledShares;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use store::{Gateways, Silence, Store};

/// The most stores that are kept. Guards memory.
pub const MAX_BUCKETS: usize = 100_000;
/// A counter that begins waits so long for the gateways that it knows of. Until then they decide by themselves.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_millis(800);
/// A gateway that has drawn nothing, and said nothing, for so long may be deciding by itself.
pub const GATEWAY_SILENT_AFTER: Duration = Duration::from_millis(600);
/// How often a gateway that draws nothing says something.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(200);
/// Of a store that nobody told of the worst is taken for so long after the counter has begun.
const DOUBT: Duration = Duration::from_secs(5);
/// A store that nobody drew from for so long is full, whatever its tenant, and is forgotten.
const IDLE: Duration = Duration::from_secs(120);

/// What a gateway draws.
#[derive(Debug, Clone, Copy, PartialEq, Encode, Decode)]
pub struct Draw {
    /// The store.
    pub bucket: u64,
    /// What was used before and not told, or given back where negative: taken in any case.
    pub unreported: f64,
    /// What is wanted now: taken if the store holds it.
    pub units: f64,
    /// The tenant's rate a second.
    pub rate: f64,
    /// The most that its store holds.
    pub burst: f64,
    /// The service that the request is for, by its number; 0: none.
    pub service: u32,
    /// It goes on only if a backend answers within so many ms.
    pub max_response_ms: u16,
}

/// What a gateway last heard of a store.
#[derive(Debug, Clone, Copy, PartialEq, Encode, Decode)]
pub struct LevelReading {
    /// The store.
    pub bucket: u64,
    /// What it held.
    pub level: f64,
    /// When, in microseconds of the system's time.
    pub at_us: u64,
    /// The share of the tenant's rate by which the gateway goes since then while it can't reach a counter.
    pub share: f64,
}

/// What a gateway hears of a store.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct QuotaLevel {
    /// What it holds; below nothing where that was not enough for what was wanted, which was then not taken.
    pub level: f64,
    /// The gateway's share of the tenant's rate, for when it can't reach the counter.
    pub share: f64,
    /// The backends of the service that answer soonest, where the request may go on.
    pub offers: Vec<BackendOffer>,
}

/// The counter in one term.
#[derive(Debug)]
pub struct QuotaCounter {
    /// Its term.
    pub term: u64,
    began: Duration,
    /// The whole system is new: nothing was drawn before.
    first: bool,
    open: Option<Duration>,
    stores: HashMap<u64, Store>,
    readings: HashMap<u64, LevelReading>,
    shares: RecalledShares,
    awaited: BTreeSet<u64>,
    recalled: BTreeSet<u64>,
    /// Gateways that were told of any store: they know that others are told of those of which they are not.
    told: BTreeSet<u64>,
    /// When each gateway last said something.
    heard: BTreeMap<u64, Duration>,
    /// How many gateways carry traffic, and those of them that may be deciding by themselves, each since that moment.
    gateways: Gateways,
    /// Each since this counter knows it.
    known: BTreeMap<u64, Duration>,
    silent: BTreeMap<u64, Silence>,
    allowance: Allowance,
    violations: u64,
    /// How much room there is at backends.
    pub loads: LoadTable,
}

impl QuotaCounter {
    /// A counter that knows nothing but the gateways that may have drawn before, under those rules.
    pub fn start(
        now: Duration,
        term: u64,
        first: bool,
        allowance: Allowance,
        gateways: impl IntoIterator<Item = u64>,
    ) -> QuotaCounter {
        QuotaCounter {
            term,
            began: now,
            first,
            open: None,
            stores: HashMap::new(),
            readings: HashMap::new(),
            shares: RecalledShares::default(),
            awaited: gateways.into_iter().collect(),
            recalled: BTreeSet::new(),
            told: BTreeSet::new(),
            heard: BTreeMap::new(),
            gateways: Gateways { all: 1, strangers: 0 },
            known: BTreeMap::new(),
            silent: BTreeMap::new(),
            allowance,
            violations: 0,
            loads: LoadTable::default(),
        }
    }

    /// All gateways that are known have said what they heard, and it is nothing: their processes were lost with the
    /// counter.
    fn all_lost(&self) -> bool {
        self.readings.is_empty() && self.awaited.is_subset(&self.recalled)
    }

    /// What a store begins with of which nobody told.
    fn untold(&self, quota: Quota) -> f64 {
        match self.all_lost() {
            true => self.allowance.after_loss(quota),
            false => 0.0,
        }
    }

    /// How often more of a store was granted, or told of as used, within one window than the rules allow: never, if the
    /// count is right.
    pub fn violations(&self) -> u64 {
        self.violations
    }

    /// It answers.
    pub fn is_open(&self) -> bool {
        self.open.is_some()
    }

    /// How many stores it keeps, and how many gateways it does not hear.
    pub fn counts(&self) -> (usize, usize) {
        (self.stores.len(), self.silent.len())
    }

    /// The stores by their names: what they hold, the tenant's rate, and what was asked for of late a second.
    pub fn bucket_levels(&self, now: Duration) -> Vec<(u64, f64, f64, f64)> {
        self.stores.iter().map(|(name, store)| store.told(now, *name)).collect()
    }

    /// A gateway says what it last heard of stores.
    pub fn apply_readings(&mut self, now: Duration, from: u64, readings: &[LevelReading]) {
        for reading in readings {
            if self.readings.len() >= MAX_BUCKETS && !self.readings.contains_key(&reading.bucket) {
                continue;
            }
            match self.stores.get_mut(&reading.bucket) {
                Some(store) => store.goes_by(now, from, reading.share),
                None => self.shares.goes_by(reading.bucket, from, reading.share),
            }
            // The latest was told after all that the others had drawn by then.
            let known = self.readings.entry(reading.bucket).or_insert(*reading);
            if reading.at_us > known.at_us {
                *known = *reading;
            }
        }
        self.recalled.insert(from);
        self.heard.insert(from, now);
        self.look(now);
    }

    fn look(&mut self, now: Duration) {
        if self.open.is_none()
            && (now >= self.began + RECOVERY_TIMEOUT || self.awaited.is_subset(&self.recalled))
        {
            self.open = Some(now);
        }
    }

    /// Time passes: these are the gateways that carry traffic now, by their lives.
    pub fn tick(&mut self, now: Duration, gateways: &BTreeSet<u64>) {
        self.look(now);
        if self.open.is_some_and(|opened| now.saturating_sub(opened) > DOUBT) {
            self.shares = RecalledShares::default();
        }
        self.heard.retain(|gateway, _| gateways.contains(gateway));
        self.recalled.retain(|gateway| gateways.contains(gateway));
        if !gateways.iter().eq(self.known.keys()) {
            self.known.retain(|gateway, _| gateways.contains(gateway));
            for gateway in gateways {
                self.known.entry(*gateway).or_insert(now);
            }
            self.stores.values_mut().for_each(|store| store.keep_clients(now, gateways));
        }
        let heard = |gateway: &u64| self.heard.get(gateway).copied();
        self.told.retain(|gateway| gateways.contains(gateway));
        let is_stranger = |gateway: &&u64| !self.told.contains(gateway);
        let strangers = gateways.iter().filter(is_stranger).count();
        self.gateways = Gateways { all: gateways.len().max(1), strangers };
        let all = self.gateways.all;
        let silence = |gateway: &u64| Silence {
            since: heard(gateway).or(self.known.get(gateway).copied()).unwrap_or(now),
            untold_share: if is_stranger(&gateway) { even_share(all) } else { unassigned_share(all) },
        };
        // One that never spoke may decide by itself from its first moment on.
        let is_silent =
            |gateway: &&u64| heard(gateway).is_none_or(|at| now.saturating_sub(at) > GATEWAY_SILENT_AFTER);
        let silent: BTreeMap<u64, Silence> =
            gateways.iter().filter(is_silent).map(|gateway| (*gateway, silence(gateway))).collect();
        let speaks = |gateway: &u64| !silent.contains_key(gateway);
        self.loads.tick(now, &gateways.iter().copied().filter(speaks).collect());
        if silent != self.silent {
            self.stores.values_mut().for_each(|store| store.reserve(now, &silent));
            self.silent = silent;
        }
        self.stores.retain(|_, store| now.saturating_sub(store.drawn) < IDLE);
    }

    /// A gateway draws; it hears what each store holds then, in the same order: below nothing where that did not hold what
    /// was wanted, which was then not taken. `None`: the counter does not answer yet, or does not know this gateway, which
    /// has to say first what it heard before.
    pub fn draw(&mut self, now: Duration, from: u64, draws: &[Draw]) -> Option<Vec<QuotaLevel>> {
        let opened = self.open?;
        if !self.recalled.contains(&from) {
            return None;
        }
        self.heard.insert(from, now);
        if !draws.is_empty() {
            self.told.insert(from);
        }
        let doubted = !self.first && now.saturating_sub(opened) < DOUBT;
        draws.iter().map(|draw| self.draw_one(now, from, (opened, doubted), draw)).collect()
    }

    fn draw_one(
        &mut self,
        now: Duration,
        from: u64,
        (opened, doubted): (Duration, bool),
        draw: &Draw,
    ) -> Option<QuotaLevel> {
        let Draw { bucket: name, rate, burst, .. } = *draw;
        let quota = Quota { rate, burst };
        if self.stores.len() >= MAX_BUCKETS && !self.stores.contains_key(&name) {
            return None;
        }
        let worst = if doubted { self.untold(quota) } else { burst };
        let readings = &self.readings;
        let store = self.stores.entry(name).or_insert_with(|| {
            let told = readings.get(&name).map(|reading| reading.level.min(burst));
            let level = told.unwrap_or(worst);
            // What was last heard holds from when the counter opened.
            let at = if told.is_some() { opened } else { now };
            let mut store = Store::new(level, at, quota, self.allowance);
            let shares = self.shares.take(name);
            shares.into_iter().for_each(|(gateway, share)| store.goes_by(now, gateway, share));
            // Nothing filled this store before it was kept.
            let since = |silence: &Silence| Silence { since: silence.since.max(at), ..*silence };
            let silent = self.silent.iter().map(|(gateway, silence)| (*gateway, since(silence))).collect();
            store.reserve(now, &silent);
            store
        });
        let (level, share) = store.draw(now, from, draw, self.gateways);
        self.violations += u64::from(store.is_exceeded());
        let goes_on = draw.units > 0.0 && level >= 0.0 && draw.service != 0;
        let within = Duration::from_millis(u64::from(draw.max_response_ms));
        let rooms =
            if goes_on { self.loads.offer_backends(now, from, draw.service, within) } else { Vec::new() };
        Some(QuotaLevel { level, share, offers: rooms })
    }
}
