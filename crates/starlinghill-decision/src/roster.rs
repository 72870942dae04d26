//! The servers as one gateway knows them, by the list, and how much it sends on to them. Bookkeeping: what is chosen
//! among them stands in `choice`, what is held against them in `health`.

use crate::api::*;
use crate::bucket::TokenBucket;
use crate::context::{Context, Timer};
use crate::fleet::LIMIT_START;
use crate::server::Server;
use crate::zones::Zones;
use starlinghill_estimate::server_capacity::ServerCapacity;
use starlinghill_estimate::throttle::Throttle;
use std::collections::BTreeMap;

/// Time over which flow is averaged.
const FLOW_SPAN: f64 = 2.0;

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
    pub(crate) borne: ServerCapacity,
    pub(crate) zones: Zones,
    /// What is left of the budget of further attempts; `None` before the first request.
    pub(crate) retries: Option<f64>,
}

impl Fleet {
    pub(crate) fn update(&mut self, cx: &mut Context, scope: ListScope, entries: Vec<ServerEntry>) {
        if scope == ListScope::Failed {
            let wait = Micros(500_000 + cx.rng.u64(0..500_000));
            return cx.timer(Timer::Resubscribe, wait);
        }
        if scope == ListScope::Complete {
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
