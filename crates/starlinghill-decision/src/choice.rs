//! Choice of a server for an attempt where limits on attempts in flight are meaningful.

use crate::api::*;
use crate::bucket::mix;
use crate::context::Context;
use crate::request::Request;
use crate::roster::Fleet;

impl Fleet {
    /// The allowed server with the least expected wait, from outside the own subset only if that has none.
    pub(crate) fn pick(&mut self, cx: &mut Context, r: &Request) -> Option<ServerId> {
        self.draw_zones(cx, r);
        if let Some(suggested) = self.pick_suggested(cx, r) {
            return Some(suggested);
        }
        if self.is_sparse(cx) {
            return self.pick_sparse(cx, r);
        }
        self.warm_up(cx);
        let salt = cx.rng.u64(..);
        let (subset, scale) = (self.subset_size(cx), self.limit_scale(cx));
        // Limits may be below 1 where many gateways share a server; attempts in flight stay within their sum.
        let usable =
            self.own_subset(cx).take(subset).map(|sid| &self.servers[&sid]).filter(|s| self.accepts(cx, s));
        let most: f64 = usable.map(|s| s.limit * scale).sum();
        let any_healthy = most > 0.0 || self.servers.values().any(|s| s.listed && self.accepts(cx, s));
        if most > 0.0 && self.in_flight >= most.max(1.0) {
            return None;
        }
        let mut best: Option<(f64, ServerId)> = None;
        for (i, sid) in self.own_subset(cx).enumerate() {
            if i >= subset && best.is_some() {
                break;
            }
            let s = &self.servers[&sid];
            // With no healthy server left, each listed one gets one attempt at a time.
            let most = if any_healthy { (s.limit * scale).floor().max(1.0) } else { 1.0 };
            if s.in_flight >= most
                || any_healthy && !self.healthy(cx, s)
                || s.cold_empty()
                || self.zones.is_excluded(s.zone)
                || !r.may_use(cx, &self.servers, s)
            {
                continue;
            }
            let slow = if self.latency > 0.0 { (s.latency / self.latency).clamp(0.7, 2.0) } else { 1.0 };
            let tried = r.attempts.iter().filter(|a| a.server == sid).count() as f64;
            let distance = if s.zone == cx.settings.zone { 0.0 } else { 0.05 * scale };
            let mut score = (s.in_flight + 1.0) * slow / s.weight * (1.0 + 3.0 * s.fail_share) + 4.0 * tried;
            score *= 1.0 + 0.1 * (mix(salt ^ sid.0) as f64 / u64::MAX as f64) + distance;
            // A server on trial goes first, or one that failed would never be tried again.
            score *= if s.trial && r.attempts.is_empty() { 0.3 } else { 1.0 };
            if best.is_none_or(|(b, _)| score < b) {
                best = Some((score, sid));
            }
        }
        best.map(|(_, sid)| sid)
    }

    /// Whether a retry may be of use: some server may take it now.
    pub(crate) fn may_retry(&self, cx: &Context, r: &Request) -> bool {
        let sparse = self.is_sparse(cx); // Then cold servers are drawn without a budget.
        self.servers.values().any(|s| {
            (sparse || !s.cold_empty()) && !self.is_drained(s.zone) && r.may_use(cx, &self.servers, s)
        })
    }
}
