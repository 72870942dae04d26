//! The servers as one gateway knows them from the list, and how much it sends to them. Nothing here decides:
//! see `choice` and `health`.

use crate::api::*;
use crate::bucket::TokenBucket;
use crate::context::{Context, Timer};
use crate::fleet::INITIAL_LIMIT;
use crate::server::Server;
use crate::zones::Zones;
use starlinghill_estimate::server_capacity::ServerCapacity;
use starlinghill_estimate::throttle::Throttle;
use std::collections::BTreeMap;

/// Time over which the sent units a second are averaged, in seconds.
const FLOW_SPAN: f64 = 2.0;

/// All servers of one service.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// The listed servers, in the order of their ids, which all gateways share.
    pub(crate) ring: Vec<ServerId>,
    /// Attempts in flight at all servers.
    pub(crate) in_flight: f64,
    flow: TokenBucket,
    /// Smoothed over all servers: time to answer in microseconds, and share of attempts that failed or came
    /// late.
    pub(crate) latency: f64,
    pub(crate) fail_share: f64,
    pub(crate) throttle: Throttle,
    pub(crate) capacity: ServerCapacity,
    pub(crate) zones: Zones,
    /// Retries left in the budget; `None` before the first request.
    pub(crate) retries: Option<f64>,
}

impl Fleet {
    /// Applies news of the server list. After a failed fetch it subscribes again within 0.5 to 1 s.
    pub(crate) fn update(&mut self, cx: &mut Context, scope: ListScope, entries: Vec<ServerEntry>) {
        if scope == ListScope::Failed {
            let wait = Micros(500_000 + cx.rng.u64(0..500_000));
            return cx.timer(Timer::Resubscribe, wait);
        }
        if scope == ListScope::Complete {
            self.servers.values_mut().for_each(|s| s.listed = false);
        }
        let (now, cold, units) = (cx.now, cx.settings.cold, cx.settings.most_units);
        for e in entries {
            let new = || Server { limit: INITIAL_LIMIT, ..Server::default() };
            let s = self.servers.entry(e.server).or_insert_with(new);
            let started = e.started.filter(|&at| now < at + cold);
            if started.is_some_and(|started| s.cold_since.is_none_or(|at| at < started)) {
                // After a restart its past no longer counts, and it starts slowly.
                *s = Server { in_flight: s.in_flight, ..new() };
                let level = -units * (1.0 + cx.rng.f64()); // Random, so that not all gateways send at once.
                s.cold_bucket = TokenBucket { level, depth: 1.0, rate: 0.0, at: now };
            }
            s.cold_since = started.or(s.cold_since);
            (s.zone, s.cell, s.weight) = (e.zone, e.cell, if e.weight > 0.0 { e.weight } else { 1.0 });
            s.listed = e.listed == Listed::InService;
        }
        // Guards against keeping every server that was ever listed.
        self.servers.retain(|_, s| s.listed || s.in_flight > 0.0);
        self.ring = self.servers.iter().filter(|(_, s)| s.listed).map(|(&id, _)| id).collect();
    }

    /// Units a second that this gateway sends, averaged over `FLOW_SPAN`.
    pub(crate) fn flow_rate(&self, cx: &Context) -> f64 {
        self.flow.level / FLOW_SPAN * (-(cx.now - self.flow.at).secs() / FLOW_SPAN).exp()
    }

    /// Records that an attempt is sent.
    pub(crate) fn record_send(&mut self, cx: &Context, server: ServerId, units: f64) {
        self.flow.level = self.flow_rate(cx) * FLOW_SPAN + units;
        self.flow.at = cx.now;
        if let Some(s) = self.servers.get_mut(&server) {
            s.in_flight += 1.0;
            self.in_flight += 1.0;
            s.cold_bucket.level -= units;
        }
    }
}
