//! One tenant's store at the counter.

use crate::audit::Audit;
use crate::bounds::{even_share, fill_part_of, own_share, unassigned_share};
use crate::Draw;
use starlinghill_rate_limit::{Allowance, Quota};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// What is owed may empty a store so far below nothing, in bursts: a tenant must not be shut out for long by what is told
/// late.
const BELOW: f64 = 1.0;
/// Gateways' parts are counted over about so many seconds.
const RECENT: f64 = 5.0;
/// The most gateways whose parts are followed.
const MOST: usize = 1_024;

/// A gateway that is not heard.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Silence {
    /// It was heard last then.
    pub(crate) since: Duration,
    /// The share by which it goes of a tenant of which this counter told it nothing.
    pub(crate) untold_share: f64,
}

/// All gateways that carry traffic.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Gateways {
    /// How many there are.
    pub(crate) all: usize,
    /// How many of them this counter never told anything: each may go by what an earlier one told it.
    pub(crate) strangers: usize,
}

/// Units that were asked for, which fade.
#[derive(Debug, Default, Clone, Copy)]
struct Recent {
    units: f64,
    at: Duration,
}

impl Recent {
    fn now(&self, now: Duration) -> f64 {
        self.units * (-now.saturating_sub(self.at).as_secs_f64() / RECENT).exp()
    }

    fn add(&mut self, now: Duration, units: f64) {
        *self = Recent { units: self.now(now) + units, at: now };
    }
}

/// What the store knows of one gateway.
#[derive(Debug, Default, Clone, Copy)]
struct Client {
    /// What it asked for of late.
    drew: Recent,
    /// The share that it was told last: by that it decides where it can't ask.
    told_share: f64,
}

#[derive(Debug)]
pub(crate) struct Store {
    level: f64,
    at: Duration,
    quota: Quota,
    allowance: Allowance,
    pub(crate) drawn: Duration,
    clients: HashMap<u64, Client>,
    /// What they all asked for of late, and the sum of what they were told.
    all_drew: Recent,
    told_sum: f64,
    /// What they all are taken to have drawn evenly before this store was kept.
    drew_before: Recent,
    /// The shares of gateways that may be deciding by themselves.
    reserved: HashMap<u64, f64>,
    /// The part of the rate that the rest leave to this store.
    part: f64,
    audit: Audit,
}

impl Store {
    /// One that holds so much, at that moment.
    pub(crate) fn new(level: f64, at: Duration, quota: Quota, allowance: Allowance) -> Store {
        Store {
            level,
            at,
            quota,
            allowance,
            drawn: at,
            clients: HashMap::new(),
            all_drew: Recent::default(),
            told_sum: 0.0,
            drew_before: Recent { units: quota.rate, at },
            reserved: HashMap::new(),
            part: 1.0,
            audit: Audit::new(quota, allowance),
        }
    }

    fn fill(&mut self, now: Duration) {
        self.level += self.quota.rate * self.part * now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
    }

    /// What it holds, the rate, and what was asked for of late a second.
    pub(crate) fn told(&self, now: Duration, name: u64) -> (u64, f64, f64, f64) {
        (name, self.level, self.quota.rate, self.all_drew.now(now) / RECENT)
    }

    /// The share of a gateway, out of so many: no more than what the others were not told. Guards against shares that were
    /// told at different moments, of which each was right when it was told, and which together are more than the whole.
    fn share(&self, now: Duration, gateway: u64, Gateways { all, strangers }: Gateways) -> f64 {
        let known = self.clients.get(&gateway).copied();
        let Client { drew, told_share } = known.unwrap_or_default();
        let others = self.clients.len() - usize::from(known.is_some());
        let unknown = all.saturating_sub(1 + others);
        let strangers = strangers.min(unknown);
        let untold =
            strangers as f64 * even_share(all) + (unknown - strangers) as f64 * unassigned_share(all);
        let before = self.drew_before.now(now);
        let own = own_share(drew.now(now) + before * even_share(all), self.all_drew.now(now) + before, all);
        own.min(1.0 - (self.told_sum - told_share) - untold).max(0.0)
    }

    /// A gateway was told that share.
    fn tell(&mut self, gateway: u64, share: f64) {
        let client = self.clients.entry(gateway).or_default();
        self.told_sum += share - std::mem::replace(&mut client.told_share, share);
    }

    /// A gateway goes by that share, which an earlier counter told it.
    pub(crate) fn goes_by(&mut self, now: Duration, gateway: u64, share: f64) {
        if self.clients.contains_key(&gateway) {
            return self.tell(gateway, share);
        }
        if self.clients.len() < MOST {
            // As though it had drawn its part of the rate of late.
            self.asked(now, gateway, share * self.quota.rate * RECENT);
            self.tell(gateway, share);
        }
    }

    /// A gateway asked for so much.
    fn asked(&mut self, now: Duration, gateway: u64, units: f64) {
        self.clients.entry(gateway).or_default().drew.add(now, units);
        self.all_drew.add(now, units);
    }

    /// These are all gateways: what others were told is free again.
    pub(crate) fn keep_clients(&mut self, now: Duration, gateways: &BTreeSet<u64>) {
        self.retain_clients(now, |gateway, _| gateways.contains(gateway));
    }

    fn retain_clients(&mut self, now: Duration, stays: impl Fn(&u64, &Client) -> bool) {
        self.clients.retain(|gateway, client| stays(gateway, client));
        let drew = self.clients.values().map(|client| client.drew.now(now)).sum();
        self.all_drew = Recent { units: drew, at: now };
        self.told_sum = self.clients.values().map(|client| client.told_share).sum();
    }

    /// These gateways are not heard, each since that moment: each may be using its share by itself from then on.
    pub(crate) fn reserve(&mut self, now: Duration, silent: &BTreeMap<u64, Silence>) {
        self.fill(now);
        self.reserved.retain(|gateway, _| silent.contains_key(gateway));
        self.part = self.part_left();
        for (gateway, silence) in silent {
            if self.reserved.contains_key(gateway) {
                continue;
            }
            let told = self.clients.get(gateway).map(|client| client.told_share);
            self.reserved.insert(*gateway, told.unwrap_or(silence.untold_share));
            let before = self.part;
            self.part = self.part_left();
            // What its share filled here since it was heard last was its own.
            let unnoticed = now.saturating_sub(silence.since).as_secs_f64();
            self.level -= self.quota.rate * (before - self.part) * unnoticed;
        }
        self.level = self.level.max(-BELOW * self.quota.burst);
    }

    fn part_left(&self) -> f64 {
        fill_part_of(self.reserved.values().sum(), self.allowance)
    }

    /// Draws; returns what is left, below nothing where that was not enough, and the gateway's share.
    pub(crate) fn draw(&mut self, now: Duration, from: u64, draw: &Draw, gateways: Gateways) -> (f64, f64) {
        let Draw { unreported: owed, units, rate, burst, .. } = *draw;
        self.fill(now);
        self.drawn = now;
        if self.quota != (Quota { rate, burst }) {
            self.quota = Quota { rate, burst };
            self.audit = Audit::new(self.quota, self.allowance);
        }
        self.level = (self.level.min(burst) - owed).clamp(-BELOW * burst, burst);
        self.audit.used(now, owed);
        if self.clients.len() >= MOST {
            self.retain_clients(now, |_, client| client.drew.now(now) > 1.0);
        }
        // What is asked for counts, granted or not: a share is for what comes through a gateway.
        self.asked(now, from, units);
        let share = self.share(now, from, gateways);
        self.tell(from, share);
        if units > 0.0 && self.level < units {
            return (self.level - units, share);
        }
        self.level -= units;
        self.audit.used(now, units);
        (self.level, share)
    }

    /// More than the rules allow was granted, or told of, within a window, since this was asked last.
    pub(crate) fn is_exceeded(&mut self) -> bool {
        self.audit.take_violation()
    }
}
