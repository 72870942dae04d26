//! Choice of a server with sparse traffic, at random in proportion to capacity (explained in `lib.rs`).

use crate::api::*;
use crate::context::Context;
use crate::request::Request;
use crate::roster::Fleet;
use crate::server::{present_part, Server};

/// Attempts that a gateway may have in flight in all, and at one server. Further requests are held.
const MAX_IN_FLIGHT: f64 = 16.0;
const MAX_PER_SERVER: f64 = 2.0;
/// The counter's suggestion of servers is used for this long, until others have sent work there.
const FASTEST_TTL: Micros = Micros(400_000);
/// Factor above its part by capacity for a cold server, well within what overloads it.
const COLD_MARGIN: f64 = 1.2;

impl Fleet {
    /// The first of the servers suggested for this request that this gateway has nothing against. The counter
    /// that suggests them sees what all gateways have in flight.
    pub(crate) fn pick_suggested(&self, cx: &Context, r: &Request) -> Option<ServerId> {
        let suggested = r.fastest.iter().filter(|_| cx.now < r.fastest_at + FASTEST_TTL).map(|(id, _)| *id);
        let tried = |id| r.attempts.iter().any(|a| a.server == id);
        let able = |s: &Server| self.accepts(cx, s) && r.may_use(cx, &self.servers, s);
        suggested.filter(|id| !tried(*id)).find(|id| self.servers.get(id).is_some_and(able))
    }

    /// Draws a server from this gateway's subset, else from the other servers.
    pub(crate) fn pick_sparse(&mut self, cx: &mut Context, r: &Request) -> Option<ServerId> {
        if self.in_flight >= MAX_IN_FLIGHT {
            return None;
        }
        let (cold, usual) = self.cold_share(cx);
        let any_healthy = self.servers.values().any(|s| s.listed && self.accepts(cx, s));
        // The subset is measured by present capacity. Guards against one in which most servers are cold, as
        // neighbours in the ring often are, and which would be all that some gateways have.
        let (subset, mut able) = (self.subset_size(cx) as f64 * usual, 0.0);
        let mut best: Option<(f64, ServerId)> = None;
        for id in self.own_subset(cx) {
            if able >= subset && best.is_some() {
                break;
            }
            let s = &self.servers[&id];
            if self.zones.is_excluded(s.zone) {
                continue;
            }
            able += s.weight * present_part(cx, s);
            let most = if any_healthy { MAX_PER_SERVER } else { 1.0 };
            if s.in_flight >= most || any_healthy && !self.healthy(cx, s) || !r.may_use(cx, &self.servers, s)
            {
                continue;
            }
            let part = present_part(cx, s) * if s.cold_since.is_some() { cold } else { 1.0 };
            let slow = if self.latency > 0.0 { (s.latency / self.latency).clamp(0.7, 2.0) } else { 1.0 };
            let tried = r.attempts.iter().filter(|a| a.server == id).count() as f64;
            let penalty = (1.0 + s.in_flight) * slow * (1.0 + 3.0 * s.fail_share) * (1.0 + 20.0 * tried);
            let distance = if s.zone == cx.settings.zone { 1.0 } else { 1.05 };
            // Weighted random choice (Efraimidis and Spirakis): the least of exponential draws, by weight.
            let chance = cx.rng.f64();
            let draw = -(1.0 - chance).max(1e-300).ln();
            let score = draw * penalty * distance / (s.weight * part).max(1e-9);
            if best.is_none_or(|(b, _)| score < b) {
                best = Some((score, id));
            }
        }
        best.map(|(_, id)| id)
    }

    /// Fraction of their part by capacity that cold servers may have, and the mean weight of listed servers.
    /// Below 1 where nearly all are cold: the load would exceed their capacity however evenly it is spread.
    fn cold_share(&mut self, cx: &Context) -> (f64, f64) {
        let (now, set) = (cx.now, &cx.settings);
        let (mut able, mut all) = (0.0, 0.0);
        for s in self.servers.values_mut().filter(|s| s.listed) {
            s.end_cold_start(now, set.cold);
            all += s.weight;
            if now >= s.ejected_until {
                able += s.weight * present_part(cx, s);
            }
        }
        let (flow, least) = (self.flow_rate(cx), set.most_units / f64::from(set.gateways));
        let usual = self.capacity.per_weight(now, flow, (able, all), least);
        let even = flow / f64::max(able, 1e-9);
        ((COLD_MARGIN * usual / even.max(1e-9)).min(1.0), all / self.ring.len().max(1) as f64)
    }
}
