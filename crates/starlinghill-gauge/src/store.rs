//! One tenant's store at the counter.

use crate::audit::Audit;
use crate::bound::{even_share, fill_part_of, own_share, untold_share};
use crate::Draw;
use starlinghill_ledger::{Allowance, Quota};
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

/// What the store knows of one gateway.
#[derive(Debug, Default, Clone, Copy)]
struct Client {
    /// What it asked for of late.
    drew: f64,
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
    /// What they all are taken to have drawn evenly before this store was kept.
    drew_before: f64,
    drew_at: Duration,
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
            drew_before: quota.rate,
            drew_at: at,
            reserved: HashMap::new(),
            part: 1.0,
            audit: Audit::new(quota, allowance),
        }
    }

    fn fill(&mut self, now: Duration) {
        self.level += self.quota.rate * self.part * now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
    }

    fn faded(&self, now: Duration) -> f64 {
        (-now.saturating_sub(self.drew_at).as_secs_f64() / RECENT).exp()
    }

    fn all_drew(&self) -> f64 {
        self.clients.values().map(|client| client.drew).sum()
    }

    /// What it holds, the rate, and what was asked for of late a second.
    pub(crate) fn told(&self, now: Duration, name: u64) -> (u64, f64, f64, f64) {
        (name, self.level, self.quota.rate, self.all_drew() * self.faded(now) / RECENT)
    }

    /// The share of a gateway, out of so many: no more than what the others were not told. Guards against shares that were
    /// told at different moments, of which each was right when it was told, and which together are more than the whole.
    fn share(&self, gateway: u64, Gateways { all, strangers }: Gateways) -> f64 {
        let drew = self.clients.get(&gateway).map(|client| client.drew).unwrap_or_default();
        let others = self.clients.iter().filter(|(other, _)| **other != gateway);
        let (told, told_sum) =
            others.fold((0, 0.0), |(n, sum), (_, client)| (n + 1, sum + client.told_share));
        let unknown = all.saturating_sub(1 + told);
        let strangers = strangers.min(unknown);
        let untold = strangers as f64 * even_share(all) + (unknown - strangers) as f64 * untold_share(all);
        let even = self.drew_before * even_share(all);
        own_share(drew + even, self.all_drew() + self.drew_before, all).min(1.0 - told_sum - untold).max(0.0)
    }

    /// A gateway goes by that share, which an earlier counter told it.
    pub(crate) fn goes_by(&mut self, gateway: u64, share: f64) {
        if self.clients.len() < MOST || self.clients.contains_key(&gateway) {
            // As though it had drawn its part of the rate of late.
            let drew = share * self.quota.rate * RECENT;
            self.clients.entry(gateway).or_insert(Client { drew, told_share: share }).told_share = share;
        }
    }

    /// These are all gateways: what others were told is free again.
    pub(crate) fn keep_clients(&mut self, gateways: &BTreeSet<u64>) {
        self.clients.retain(|gateway, _| gateways.contains(gateway));
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
        let Draw { owed, units, rate, burst, .. } = *draw;
        self.fill(now);
        self.drawn = now;
        if self.quota != (Quota { rate, burst }) {
            self.quota = Quota { rate, burst };
            self.audit = Audit::new(self.quota, self.allowance);
        }
        self.level = (self.level.min(burst) - owed).clamp(-BELOW * burst, burst);
        self.audit.used(now, owed);
        let faded = self.faded(now);
        self.drew_at = now;
        self.drew_before *= faded;
        self.clients.values_mut().for_each(|client| client.drew *= faded);
        if self.clients.len() >= MOST {
            self.clients.retain(|_, client| client.drew > 1.0);
        }
        // What is asked for counts, granted or not: a share is for what comes through a gateway.
        self.clients.entry(from).or_default().drew += units;
        let share = self.share(from, gateways);
        self.clients.entry(from).or_default().told_share = share;
        if units > 0.0 && self.level < units {
            return (self.level - units, share);
        }
        self.level -= units;
        self.audit.used(now, units);
        (self.level, share)
    }

    /// How often more than the rules allow was granted, or told of, within a window.
    pub(crate) fn violations(&self) -> u64 {
        self.audit.violations()
    }
}
