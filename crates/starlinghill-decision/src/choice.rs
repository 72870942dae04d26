//! Choice of a server for an attempt.

use crate::api::*;
use crate::bucket::mix;
use crate::context::Context;
use crate::request::Request;
use crate::roster::Fleet;

impl Fleet {
    /// The allowed server with the least expected wait, beyond the own part only if that has none.
    pub(crate) fn pick(&mut self, cx: &mut Context, r: &Request) -> Option<ServerId> {
        self.draw_zones(cx, r);
        if let Some(named) = self.pick_named(cx, r) {
            return Some(named);
        }
        if self.sparse(cx) {
            return self.pick_thin(cx, r);
        }
        self.warm_up(cx);
        let salt = cx.rng.u64(..);
        let (reach, scale) = (self.reach(cx), self.scale(cx));
        // PolicyConstants may fall below one (many gateways): what is out in all stays within their sum.
        let fit =
            self.own_part_first(cx).take(reach).map(|sid| &self.servers[&sid]).filter(|s| self.takes(cx, s));
        let most: f64 = fit.map(|s| s.limit * scale).sum();
        let any_healthy = most > 0.0 || self.servers.values().any(|s| s.listed && self.takes(cx, s));
        if most > 0.0 && self.out_now >= most.max(1.0) {
            return None;
        }
        let mut best: Option<(f64, ServerId)> = None;
        for (i, sid) in self.own_part_first(cx).enumerate() {
            if i >= reach && best.is_some() {
                break;
            }
            let s = &self.servers[&sid];
            // With nothing healthy left, one at a time to whatever is listed.
            let most = if any_healthy { (s.limit * scale).floor().max(1.0) } else { 1.0 };
            if s.out >= most
                || any_healthy && !self.healthy(cx, s)
                || s.pushed()
                || self.zones.is_shut(s.zone)
                || !r.may_go(cx, &self.servers, s)
            {
                continue;
            }
            let slow = if self.latency > 0.0 { (s.latency / self.latency).clamp(0.7, 2.0) } else { 1.0 };
            let tried = r.attempts.iter().filter(|a| a.server == sid).count() as f64;
            let far = if s.zone == cx.set.zone { 0.0 } else { 0.05 * scale };
            let mut score = (s.out + 1.0) * slow / s.weight * (1.0 + 3.0 * s.fail_share) + 4.0 * tried;
            score *= 1.0 + 0.1 * (mix(salt ^ sid.0) as f64 / u64::MAX as f64) + far;
            // A server on trial is asked first, or one that failed would never be tried again.
            score *= if s.trial && r.attempts.is_empty() { 0.3 } else { 1.0 };
            if best.is_none_or(|(b, _)| score < b) {
                best = Some((score, sid));
            }
        }
        best.map(|(_, sid)| sid)
    }

    /// Whether trying this request again is worth a thought: some server may have it now.
    pub(crate) fn may_repeat(&self, cx: &Context, r: &Request) -> bool {
        let chance = self.sparse(cx); // Of a cold server, too.
        self.servers
            .values()
            .any(|s| (chance || !s.pushed()) && !self.is_out(s.zone) && r.may_go(cx, &self.servers, s))
    }
}
