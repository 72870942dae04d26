//! The token bucket of one tenant at the counter, and the gateways' shares of its rate.

use crate::audit::Audit;
use crate::bounds::{even_share, fill_fraction_beside, own_share, unassigned_share};
use crate::Draw;
use starlinghill_rate_limit::{Allowance, Quota};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// How far below zero late reports may push the level, in bursts. More would block a tenant for long because of usage
/// that was reported late.
const MAX_DEFICIT_BURSTS: f64 = 1.0;
/// The time constant, in seconds, with which a gateway's recent demand decays.
const DEMAND_DECAY_S: f64 = 5.0;
/// The most gateways whose demand is tracked for one bucket. Bounds memory.
const MAX_CLIENTS: usize = 1_024;

/// A gateway that the counter does not hear.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Silence {
    /// When the gateway was last heard.
    pub(crate) since: Duration,
    /// The share by which the gateway decides if this counter assigned it none for the tenant.
    pub(crate) default_share: f64,
    /// An earlier counter may have assigned it a share, which it has not reported to this one.
    pub(crate) may_hold_share: bool,
}

/// The numbers of gateways that carry traffic.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Gateways {
    pub(crate) all: usize,
    /// The gateways that this counter has never answered. Each may decide by a share that an earlier counter assigned.
    pub(crate) unanswered: usize,
    /// The gateways that have not reported their shares to this counter.
    pub(crate) unreported: usize,
}

/// The units that were recently asked for, with exponential decay.
#[derive(Debug, Default, Clone, Copy)]
struct Demand {
    units: f64,
    at: Duration,
}

impl Demand {
    fn at(&self, now: Duration) -> f64 {
        self.units * (-now.saturating_sub(self.at).as_secs_f64() / DEMAND_DECAY_S).exp()
    }

    fn add(&mut self, now: Duration, units: f64) {
        *self = Demand { units: self.at(now) + units, at: now };
    }
}

/// One gateway as a client of the bucket.
#[derive(Debug, Default, Clone, Copy)]
struct Client {
    demand: Demand,
    /// The share that the gateway was last assigned. It decides by this share while it cannot reach the counter.
    share: f64,
}

#[derive(Debug)]
pub(crate) struct TokenBucket {
    level: f64,
    /// The moment up to which the bucket has been filled.
    filled_at: Duration,
    quota: Quota,
    allowance: Allowance,
    pub(crate) last_draw_at: Duration,
    clients: HashMap<u64, Client>,
    /// The demand of all clients.
    total_demand: Demand,
    /// The sum of all clients' shares.
    share_sum: f64,
    /// The demand that the gateways are assumed to have had before the bucket was created, split evenly among them.
    assumed_demand: Demand,
    /// The sum of the shares that an earlier counter may have assigned to gateways that have not reported them.
    unreported_shares: f64,
    /// The shares of silent gateways, which may be deciding by themselves.
    reserved: HashMap<u64, f64>,
    /// The fraction of the rate that is left beside the reserved shares.
    fill_fraction: f64,
    audit: Audit,
}

impl TokenBucket {
    /// A bucket with this level at the moment `at`.
    pub(crate) fn new(level: f64, at: Duration, quota: Quota, allowance: Allowance) -> TokenBucket {
        TokenBucket {
            level,
            filled_at: at,
            quota,
            allowance,
            last_draw_at: at,
            clients: HashMap::new(),
            total_demand: Demand::default(),
            share_sum: 0.0,
            assumed_demand: Demand { units: quota.rate, at },
            unreported_shares: 0.0,
            reserved: HashMap::new(),
            fill_fraction: 1.0,
            audit: Audit::new(quota, allowance),
        }
    }

    fn fill(&mut self, now: Duration) {
        let seconds = now.saturating_sub(self.filled_at).as_secs_f64();
        self.level += self.quota.rate * self.fill_fraction * seconds;
        self.filled_at = self.filled_at.max(now);
    }

    /// The bucket's id, its level, its rate, and the recent demand, both in units a second.
    pub(crate) fn status(&self, now: Duration, id: u64) -> (u64, f64, f64, f64) {
        (id, self.level, self.quota.rate, self.total_demand.at(now) / DEMAND_DECAY_S)
    }

    /// The share of a gateway: its part of the recent demand, but no more than is left beside the shares that the other
    /// gateways decide by. Shares assigned at different moments are each right for their moment, and without this limit
    /// could sum to more than the whole.
    fn share(&self, now: Duration, gateway: u64, gateways: Gateways) -> f64 {
        let Gateways { all, unanswered, unreported } = gateways;
        let known = self.clients.get(&gateway).copied();
        let Client { demand, share } = known.unwrap_or_default();
        let other_clients = self.clients.len() - usize::from(known.is_some());
        let without_share = all.saturating_sub(1 + other_clients);
        let unanswered = unanswered.min(without_share);
        let default_shares =
            unanswered as f64 * even_share(all) + (without_share - unanswered) as f64 * unassigned_share(all);
        let assumed = self.assumed_demand.at(now);
        let own_demand = demand.at(now) + assumed * even_share(all);
        let by_demand = own_share(own_demand, self.total_demand.at(now) + assumed, all);
        let unreported_shares = if unreported > 0 { self.unreported_shares } else { 0.0 };
        by_demand.min(1.0 - (self.share_sum - share) - default_shares.max(unreported_shares)).max(0.0)
    }

    fn assign_share(&mut self, gateway: u64, share: f64) {
        let client = self.clients.entry(gateway).or_default();
        self.share_sum += share - std::mem::replace(&mut client.share, share);
    }

    /// Takes note that an earlier counter assigned the shares. All shares of one counter sum to one at most: those that no
    /// gateway has reported so far may be in use.
    pub(crate) fn expect_unreported_shares(&mut self) {
        self.unreported_shares = (1.0 - self.share_sum).max(0.0);
    }

    /// Takes note that a gateway decides by a share that an earlier counter assigned.
    pub(crate) fn recall_share(&mut self, now: Duration, gateway: u64, share: f64) {
        self.unreported_shares = (self.unreported_shares - share).max(0.0);
        if self.clients.contains_key(&gateway) {
            return self.assign_share(gateway, share);
        }
        if self.clients.len() < MAX_CLIENTS {
            // Its recent demand is not known, and is assumed to be its share of the rate.
            self.add_demand(now, gateway, share * self.quota.rate * DEMAND_DECAY_S);
            self.assign_share(gateway, share);
        }
    }

    fn add_demand(&mut self, now: Duration, gateway: u64, units: f64) {
        self.clients.entry(gateway).or_default().demand.add(now, units);
        self.total_demand.add(now, units);
    }

    /// Drops all clients that are not among these gateways, which frees their shares.
    pub(crate) fn keep_clients(&mut self, now: Duration, gateways: &BTreeSet<u64>) {
        self.retain_clients(now, |gateway, _| gateways.contains(gateway));
    }

    fn retain_clients(&mut self, now: Duration, keep: impl Fn(&u64, &Client) -> bool) {
        self.clients.retain(|gateway, client| keep(gateway, client));
        let demand = self.clients.values().map(|client| client.demand.at(now)).sum();
        self.total_demand = Demand { units: demand, at: now };
        self.share_sum = self.clients.values().map(|client| client.share).sum();
    }

    /// Reserves the shares of the silent gateways, each from the moment on at which it was last heard. From then on it
    /// may be using its share by itself.
    pub(crate) fn reserve(&mut self, now: Duration, silent: &BTreeMap<u64, Silence>) {
        self.fill(now);
        self.reserved.retain(|gateway, _| silent.contains_key(gateway));
        self.fill_fraction = self.unreserved_fraction();
        let unreported_share = self.mean_unreported_share(silent);
        for (gateway, silence) in silent {
            if self.reserved.contains_key(gateway) {
                continue;
            }
            let assigned = self.clients.get(gateway).map(|client| client.share);
            let default_share = match silence.may_hold_share {
                true => silence.default_share.max(unreported_share),
                false => silence.default_share,
            };
            self.reserved.insert(*gateway, assigned.unwrap_or(default_share));
            let before = self.fill_fraction;
            self.fill_fraction = self.unreserved_fraction();
            // The bucket has been filling with this share since the gateway was last heard: take that back.
            let silent_s = now.saturating_sub(silence.since).as_secs_f64();
            self.level -= self.quota.rate * (before - self.fill_fraction) * silent_s;
        }
        self.level = self.level.max(-MAX_DEFICIT_BURSTS * self.quota.burst);
    }

    /// The share that each silent gateway that has not reported one may hold, on average.
    fn mean_unreported_share(&self, silent: &BTreeMap<u64, Silence>) -> f64 {
        let unreported = silent.values().filter(|silence| silence.may_hold_share).count();
        self.unreported_shares / unreported.max(1) as f64
    }

    fn unreserved_fraction(&self) -> f64 {
        fill_fraction_beside(self.reserved.values().sum(), self.allowance)
    }

    /// Draws, and returns the level after it and the gateway's share. A level below zero means that the bucket held too
    /// little and that nothing was taken.
    pub(crate) fn draw(&mut self, now: Duration, from: u64, draw: &Draw, gateways: Gateways) -> (f64, f64) {
        let Draw { unreported, units, rate, burst, .. } = *draw;
        self.fill(now);
        self.last_draw_at = now;
        if self.quota != (Quota { rate, burst }) {
            self.quota = Quota { rate, burst };
            self.audit = Audit::new(self.quota, self.allowance);
        }
        self.level = (self.level.min(burst) - unreported).clamp(-MAX_DEFICIT_BURSTS * burst, burst);
        self.audit.record(now, unreported);
        if self.clients.len() >= MAX_CLIENTS {
            self.retain_clients(now, |_, client| client.demand.at(now) > 1.0);
        }
        // Refused units count too, since a share is for the traffic that arrives at a gateway.
        self.add_demand(now, from, units);
        let share = self.share(now, from, gateways);
        self.assign_share(from, share);
        if units > 0.0 && self.level < units {
            return (self.level - units, share);
        }
        self.level -= units;
        self.audit.record(now, units);
        (self.level, share)
    }

    /// Whether a window began, since the last call, in which more was used than the rules allow.
    pub(crate) fn take_violation(&mut self) -> bool {
        self.audit.take_violation()
    }
}
