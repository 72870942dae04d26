//! The servers as one gateway knows them, and how it shares them with the other gateways.

use crate::api::*;
use crate::borne::Borne;
use crate::bucket::TokenBucket;
use crate::context::{Context, Timer};
use crate::throttle::Throttle;
use std::collections::BTreeMap;

/// Deterministic subsetting: servers in a gateway's own part of the fleet, at least, and for each unit a
/// second that it sends on. More spreads its load better, fewer lets it learn of each in a second or two.
const REACH_LEAST: f64 = 8.0;
const REACH_FLOW: f64 = 1.0;
/// The same where gateways outnumber the servers, and each has some. Wider parts cost connections.
const REACH_FLOW_MANY: f64 = 0.25;
/// Attempts that all gateways together may have out at one server when learning starts; no gateway starts
/// with more than `LIMIT_START` of them. Low: a bound that must first be cut costs late answers.
pub(crate) const FLEET_START: f64 = 6.0;
/// Where learning of the bound on attempts out at one server starts, scaled to the gateway's part (`scale`).
const LIMIT_START: f64 = 2.0;
/// Time over which flow is averaged.
const FLOW_SPAN: f64 = 2.0;

/// One server, with all that is held for and against it.
#[derive(Debug, Default)]
pub(crate) struct Server {
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) weight: f64,
    pub(crate) listed: bool,
    pub(crate) out: f64,
    pub(crate) latency: f64,
    pub(crate) limit: f64,
    pub(crate) fail_share: f64,
    pub(crate) ejected_until: Micros,
    pub(crate) ejections: u32,
    pub(crate) trial: bool,
    pub(crate) unreached_since: Option<Micros>,
    pub(crate) cold_since: Option<Micros>,
    pub(crate) cold_room: TokenBucket,
}

/// All servers.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// The listed servers, in an order that all gateways share.
    pub(crate) ring: Vec<ServerId>,
    /// Attempts out at all servers.
    pub(crate) out_now: f64,
    flow: TokenBucket,
    /// Smoothed over all servers: time to answer, share of attempts that failed or came too late.
    pub(crate) latency: f64,
    pub(crate) fail_share: f64,
    pub(crate) throttle: Throttle,
    pub(crate) borne: Borne,
}

impl Fleet {
    pub(crate) fn update(&mut self, cx: &mut Context, scope: ListScope, entries: Vec<ServerEntry>) {
        if scope == ListScope::Lost {
            let wait = Micros(500_000 + cx.rng.u64(0..500_000));
            return cx.timer(Timer::Resubscribe, wait);
        }
        if scope == ListScope::Whole {
            self.servers.values_mut().for_each(|s| s.listed = false);
        }
        let (now, cold, units) = (cx.now, cx.set.cold, cx.set.most_units);
        for e in entries {
            let new = || Server { limit: LIMIT_START, ..Server::default() };
            let s = self.servers.entry(e.server).or_insert_with(new);
            let started = e.started.filter(|&at| now < at + cold);
            if started.is_some_and(|started| s.cold_since.is_none_or(|at| at < started)) {
                // A new life: nothing held against the old one counts, and it starts slowly.
                *s = Server { out: s.out, ..new() };
                let level = -units * (1.0 + cx.rng.f64()); // Seeded: gateways do not all send at once.
                s.cold_room = TokenBucket { level, depth: 1.0, rate: 0.0, at: now };
            }
            s.cold_since = started.or(s.cold_since);
            (s.zone, s.cell, s.weight) = (e.zone, e.cell, if e.weight > 0.0 { e.weight } else { 1.0 });
            s.listed = e.listed == Listed::InService;
        }
        // Guards against growing with every server there ever was.
        self.servers.retain(|_, s| s.listed || s.out > 0.0);
        self.ring = self.servers.iter().filter(|(_, s)| s.listed).map(|(&id, _)| id).collect();
    }

    /// How many servers are in this gateway's own part of the fleet.
    pub(crate) fn reach(&self, cx: &Context) -> usize {
        let many = cx.set.gateways as usize >= self.ring.len();
        let flow = self.flow_rate(cx) * if many { REACH_FLOW_MANY } else { REACH_FLOW };
        (REACH_LEAST + flow).min(self.ring.len() as f64) as usize
    }

    /// This gateway's part in the bound at one server: one where few gateways share it, else by how many do.
    pub(crate) fn scale(&self, cx: &Context) -> f64 {
        let sharing = f64::from(cx.set.gateways) * self.reach(cx) as f64 / self.ring.len().max(1) as f64;
        (FLEET_START / LIMIT_START / sharing.max(1e-9)).min(1.0)
    }

    /// So many gateways share the servers that bounds start below one attempt and say little.
    pub(crate) fn sparse(&self, cx: &Context) -> bool {
        LIMIT_START * self.scale(cx) < 1.0
    }

    /// The listed servers, this gateway's own part of the fleet first. Guards against learning nothing of any
    /// server where each gateway sees few requests. The golden ratio spreads the parts evenly, also those of
    /// gateways in a row, through which one customer comes.
    pub(crate) fn own_part_first(&self, cx: &Context) -> impl Iterator<Item = ServerId> + '_ {
        let start = (f64::from(cx.set.me) * 0.618_033_988_749_895).fract() * self.ring.len() as f64;
        self.ring.iter().cycle().skip(start as usize).take(self.ring.len()).copied()
    }

    pub(crate) fn healthy(&self, cx: &Context, s: &Server) -> bool {
        cx.now >= s.ejected_until && (!s.trial || s.out < 1.0)
    }

    /// Units a second that this gateway sends on, over the last moments.
    pub(crate) fn flow_rate(&self, cx: &Context) -> f64 {
        self.flow.level / FLOW_SPAN * (-(cx.now - self.flow.at).secs() / FLOW_SPAN).exp()
    }

    /// Notes that an attempt goes out.
    pub(crate) fn sent(&mut self, cx: &Context, server: ServerId, units: f64) {
        self.flow.level = self.flow_rate(cx) * FLOW_SPAN + units;
        self.flow.at = cx.now;
        if let Some(s) = self.servers.get_mut(&server) {
            s.out += 1.0;
            self.out_now += 1.0;
            s.cold_room.level -= units;
        }
    }
}
