//! The shared counter of the tenants' quotas: one token bucket for each tenant, which fills at the tenant's rate up to its
//! burst, and from which every gateway draws before it sends a request on.
//!
//! A quota holds for all gateways together, also while gateways are cut off, while the counter moves to another process,
//! and after all processes were killed:
//!
//! * A draw that the bucket cannot cover takes nothing.
//! * A gateway that cannot reach the counter decides by its own share of the rate. While the counter does not hear a
//!   gateway, it reserves that share from the moment on at which it last heard the gateway, except for a part of the
//!   excess that the rules allow.
//! * A gateway reports the units that it used on its own decision as soon as it can, and units that were granted to a
//!   request that had been decided already go back ([`UnreportedUsage`]).
//! * A new counter sets each bucket to the latest level that any gateway reports, by the system clock, and to nothing more
//!   for the time since, in which the gateways used their shares. A bucket that no gateway reports starts empty while it
//!   may be in doubt. If all gateways were lost with the counter, it starts with a part of the excess that the rules
//!   allow.
//!
//! The crate does no I/O and reads no clock.

mod audit;
mod backend_load;
mod bounds;
mod client;
mod level_readings;
mod recalled_shares;
mod token_bucket;
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
use token_bucket::{Gateways, Silence, TokenBucket};

/// The most buckets that are kept. Bounds memory.
pub const MAX_BUCKETS: usize = 100_000;
/// How long a new counter waits for the readings of the gateways that it knows of. Until it opens, gateways decide by
/// themselves.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_millis(800);
/// A gateway that has sent nothing for this long may be deciding by itself.
pub const GATEWAY_SILENT_AFTER: Duration = Duration::from_millis(600);
/// How often a gateway that draws nothing sends a keep-alive.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(200);
/// For this long after a counter has opened, a bucket that no gateway reported is assumed to be empty.
const DOUBT_PERIOD: Duration = Duration::from_secs(5);
/// A bucket without draws for this long is full, whatever its quota, and is dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// A gateway's draw from a bucket.
#[derive(Debug, Clone, Copy, PartialEq, Encode, Decode)]
pub struct Draw {
    /// The bucket, by a hash that names its tenant.
    pub bucket: u64,
    /// Units that were used before without a grant, or that go back if negative. Taken in any case.
    pub unreported: f64,
    /// The units that are wanted now. Taken if the bucket holds them.
    pub units: f64,
    /// The tenant's rate in units a second.
    pub rate: f64,
    /// The capacity of the bucket in units.
    pub burst: f64,
    /// The hash of the name of the service that the request is for, or 0 for none.
    pub service: u32,
    /// The request goes on only if a backend should respond within this many ms.
    pub max_response_ms: u16,
}

/// The last that a gateway knows of a bucket.
#[derive(Debug, Clone, Copy, PartialEq, Encode, Decode)]
pub struct LevelReading {
    /// The bucket.
    pub bucket: u64,
    /// The units that it held.
    pub level: f64,
    /// When this was received, in microseconds of the system clock.
    pub at_us: u64,
    /// The share of the tenant's rate by which the gateway decides since then, while it cannot reach a counter.
    pub share: f64,
}

/// The counter's answer to a draw.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct QuotaLevel {
    /// The units left in the bucket. Below zero by the missing units if it held too little; then nothing was taken.
    pub level: f64,
    /// The gateway's share of the tenant's rate, for when it cannot reach the counter.
    pub share: f64,
    /// The backends of the service that should respond soonest. Empty if the draw was refused.
    pub offers: Vec<BackendOffer>,
}

/// The counter in one term.
#[derive(Debug)]
pub struct QuotaCounter {
    /// The term of the lease under which it counts.
    pub term: u64,
    started_at: Duration,
    /// The whole system is new, so that nothing was drawn before this counter.
    is_first: bool,
    /// When it began to answer draws.
    opened_at: Option<Duration>,
    buckets: HashMap<u64, TokenBucket>,
    /// The latest reading of each bucket that any gateway reported.
    readings: HashMap<u64, LevelReading>,
    shares: RecalledShares,
    /// The gateways that may have drawn from an earlier counter.
    awaited: BTreeSet<u64>,
    /// The gateways that have reported their readings.
    reported: BTreeSet<u64>,
    /// The gateways that were answered for any bucket. For buckets that they have no share of, they use
    /// [`unassigned_share`], and all others use an even share.
    answered: BTreeSet<u64>,
    /// When each gateway last sent something.
    heard_at: BTreeMap<u64, Duration>,
    gateways: Gateways,
    /// Since when this counter has known each gateway.
    known_since: BTreeMap<u64, Duration>,
    /// The gateways that may be deciding by themselves.
    silent: BTreeMap<u64, Silence>,
    allowance: Allowance,
    violations: u64,
    /// The load of the backends.
    pub loads: LoadTable,
}

impl QuotaCounter {
    /// Starts a counter. `gateways` are those that may have drawn from an earlier one. `is_first` says that the whole
    /// system is new, so that there was no earlier one.
    pub fn start(
        now: Duration,
        term: u64,
        is_first: bool,
        allowance: Allowance,
        gateways: impl IntoIterator<Item = u64>,
    ) -> QuotaCounter {
        QuotaCounter {
            term,
            started_at: now,
            is_first,
            opened_at: None,
            buckets: HashMap::new(),
            readings: HashMap::new(),
            shares: RecalledShares::default(),
            awaited: gateways.into_iter().collect(),
            reported: BTreeSet::new(),
            answered: BTreeSet::new(),
            heard_at: BTreeMap::new(),
            // Until the first tick it is not known whether there are gateways beside those that report.
            gateways: Gateways { all: 1, unanswered: 0, unreported: usize::from(!is_first) },
            known_since: BTreeMap::new(),
            silent: BTreeMap::new(),
            allowance,
            violations: 0,
            loads: LoadTable::default(),
        }
    }

    /// Whether all awaited gateways have reported and none has a reading, because every gateway process was lost along
    /// with the earlier counter.
    fn all_readings_lost(&self) -> bool {
        self.readings.is_empty() && self.awaited.is_subset(&self.reported)
    }

    /// The units that a bucket starts with that no gateway reported, while it is in doubt.
    fn doubtful_level(&self, quota: Quota) -> f64 {
        match self.all_readings_lost() {
            true => self.allowance.after_loss(quota),
            false => 0.0,
        }
    }

    /// How often more units of a bucket were granted or reported as used within a window than the rules allow. Always 0
    /// unless the count is wrong.
    pub fn violations(&self) -> u64 {
        self.violations
    }

    /// Whether the counter answers draws.
    pub fn is_open(&self) -> bool {
        self.opened_at.is_some()
    }

    /// The number of buckets and the number of silent gateways.
    pub fn counts(&self) -> (usize, usize) {
        (self.buckets.len(), self.silent.len())
    }

    /// Of each bucket: its id, its level, the tenant's rate, and the recent demand, both in units a second.
    pub fn bucket_levels(&self, now: Duration) -> Vec<(u64, f64, f64, f64)> {
        self.buckets.iter().map(|(id, bucket)| bucket.status(now, *id)).collect()
    }

    /// Takes in a gateway's readings.
    pub fn apply_readings(&mut self, now: Duration, from: u64, readings: &[LevelReading]) {
        for reading in readings {
            if self.readings.len() >= MAX_BUCKETS && !self.readings.contains_key(&reading.bucket) {
                continue;
            }
            match self.buckets.get_mut(&reading.bucket) {
                Some(bucket) => bucket.recall_share(now, from, reading.share),
                None => self.shares.insert(reading.bucket, from, reading.share),
            }
            // The latest reading includes everything that other gateways had drawn by then.
            let known = self.readings.entry(reading.bucket).or_insert(*reading);
            if reading.at_us > known.at_us {
                *known = *reading;
            }
        }
        self.reported.insert(from);
        self.heard_at.insert(from, now);
        self.open_if_recovered(now);
    }

    fn open_if_recovered(&mut self, now: Duration) {
        let is_recovered =
            now >= self.started_at + RECOVERY_TIMEOUT || self.awaited.is_subset(&self.reported);
        if self.opened_at.is_none() && is_recovered {
            self.opened_at = Some(now);
        }
    }

    /// Lets time pass. `gateways` are the incarnations of the gateways that carry traffic now.
    pub fn tick(&mut self, now: Duration, gateways: &BTreeSet<u64>) {
        self.open_if_recovered(now);
        if self.opened_at.is_some_and(|opened_at| now.saturating_sub(opened_at) > DOUBT_PERIOD) {
            self.shares = RecalledShares::default();
        }
        self.heard_at.retain(|gateway, _| gateways.contains(gateway));
        self.reported.retain(|gateway| gateways.contains(gateway));
        if !gateways.iter().eq(self.known_since.keys()) {
            self.known_since.retain(|gateway, _| gateways.contains(gateway));
            for gateway in gateways {
                self.known_since.entry(*gateway).or_insert(now);
            }
            self.buckets.values_mut().for_each(|bucket| bucket.keep_clients(now, gateways));
        }
        let heard_at = |gateway: &u64| self.heard_at.get(gateway).copied();
        self.answered.retain(|gateway| gateways.contains(gateway));
        let is_unanswered = |gateway: &&u64| !self.answered.contains(gateway);
        let unanswered = gateways.iter().filter(is_unanswered).count();
        let is_unreported = |gateway: &&u64| !self.is_first && !self.reported.contains(gateway);
        let unreported = gateways.iter().filter(is_unreported).count();
        self.gateways = Gateways { all: gateways.len().max(1), unanswered, unreported };
        let all = self.gateways.all;
        let silence = |gateway: &u64| Silence {
            since: heard_at(gateway).or(self.known_since.get(gateway).copied()).unwrap_or(now),
            default_share: if is_unanswered(&gateway) { even_share(all) } else { unassigned_share(all) },
            may_hold_share: is_unreported(&gateway),
        };
        // A gateway that was never heard may decide by itself from its start on.
        let is_silent =
            |gateway: &&u64| heard_at(gateway).is_none_or(|at| now.saturating_sub(at) > GATEWAY_SILENT_AFTER);
        let silent: BTreeMap<u64, Silence> =
            gateways.iter().filter(is_silent).map(|gateway| (*gateway, silence(gateway))).collect();
        let is_heard = |gateway: &u64| !silent.contains_key(gateway);
        self.loads.tick(now, &gateways.iter().copied().filter(is_heard).collect());
        if silent != self.silent {
            self.buckets.values_mut().for_each(|bucket| bucket.reserve(now, &silent));
            self.silent = silent;
        }
        self.buckets.retain(|_, bucket| now.saturating_sub(bucket.last_draw_at) < IDLE_TIMEOUT);
    }

    /// Carries out a gateway's draws and returns the answers in the same order. `None` if the counter is not open yet, or
    /// if the gateway has not reported its readings to this counter, which it has to do first.
    pub fn draw(&mut self, now: Duration, from: u64, draws: &[Draw]) -> Option<Vec<QuotaLevel>> {
        let opened_at = self.opened_at?;
        if !self.reported.contains(&from) {
            return None;
        }
        self.heard_at.insert(from, now);
        if !draws.is_empty() {
            self.answered.insert(from);
        }
        let is_in_doubt = !self.is_first && now.saturating_sub(opened_at) < DOUBT_PERIOD;
        draws.iter().map(|draw| self.draw_one(now, from, (opened_at, is_in_doubt), draw)).collect()
    }

    fn draw_one(
        &mut self,
        now: Duration,
        from: u64,
        (opened_at, is_in_doubt): (Duration, bool),
        draw: &Draw,
    ) -> Option<QuotaLevel> {
        let Draw { bucket: id, rate, burst, .. } = *draw;
        let quota = Quota { rate, burst };
        if self.buckets.len() >= MAX_BUCKETS && !self.buckets.contains_key(&id) {
            return None;
        }
        let unreported_level = if is_in_doubt { self.doubtful_level(quota) } else { burst };
        let readings = &self.readings;
        let bucket = self.buckets.entry(id).or_insert_with(|| {
            let reported = readings.get(&id).map(|reading| reading.level.min(burst));
            let level = reported.unwrap_or(unreported_level);
            // A reported level holds from the moment on at which the counter opened.
            let at = if reported.is_some() { opened_at } else { now };
            let mut bucket = TokenBucket::new(level, at, quota, self.allowance);
            let shares = self.shares.take(id);
            shares.into_iter().for_each(|(gateway, share)| bucket.recall_share(now, gateway, share));
            if is_in_doubt {
                bucket.expect_unreported_shares();
            }
            // The bucket did not fill before `at`, so that there is nothing to take back for the time before.
            let since = |silence: &Silence| Silence { since: silence.since.max(at), ..*silence };
            let silent = self.silent.iter().map(|(gateway, silence)| (*gateway, since(silence))).collect();
            bucket.reserve(now, &silent);
            bucket
        });
        let (level, share) = bucket.draw(now, from, draw, self.gateways);
        self.violations += u64::from(bucket.take_violation());
        let goes_on = draw.units > 0.0 && level >= 0.0 && draw.service != 0;
        let max_response = Duration::from_millis(u64::from(draw.max_response_ms));
        let offers = if goes_on {
            self.loads.offer_backends(now, from, draw.service, max_response)
        } else {
            Vec::new()
        };
        Some(QuotaLevel { level, share, offers })
    }
}
