//! What a gateway may send where no total decides: its share of a quota, and of what a ceiling allows above
//! it. Shares move between gateways by messages (`messages`).

use crate::admission::Admission;
use crate::api::*;
use crate::bucket::TokenBucket;
use crate::context::Context;
use crate::customer::{others, quota_of, set_beyond, settle};
use starlinghill_rate_limit::shares::by_flows;

/// Fraction of its quota that a customer is assumed to use elsewhere before any total, unless the counter is
/// silent; and the multiple of the other gateways' seen demand that is left to them.
const ASSUMED_USE: f64 = 0.3;
const OTHERS_HEADROOM: f64 = 2.0;
/// While this fraction of a burst is left, each gateway may send one request whose draw is answered late.
const AMPLE_LEVEL: f64 = 0.5;
/// Time until promises of an earlier process of this gateway have ended.
const RESTART_WAIT: Micros = Micros(1_200_000);

impl Admission {
    /// A customer's local bucket, and this gateway's share of the quota, which includes what the others were
    /// not seen to need. Guards against refusing customers who use little and come through one gateway for a
    /// while, where the counter is silent or can't answer all calls. The quota may be exceeded while the
    /// counter is silent and several gateways see more demand than before.
    pub(crate) fn local_bucket(&mut self, cx: &Context, id: CustomerId) -> Option<(f64, &mut TokenBucket)> {
        let (now, most_units) = (cx.now, cx.settings.most_units);
        let (left, silent) = (self.known_level(cx, id), self.counter_silent(cx, id));
        let c = self.customers.get_mut(&id)?;
        let p = &cx.settings.plans[c.plan];
        let left = left.unwrap_or(if cx.settings.counter_buckets { 0.0 } else { p.burst }).max(0.0);
        // With many gateways no bucket is followed, but totals of the demand are known.
        let flows = c.account.store.flows().or_else(|| c.scattered.flows(c.local_demand.now(now)));
        let base = by_flows(flows, p.rate, c.spread, if silent { 1.0 } else { ASSUMED_USE }, OTHERS_HEADROOM);
        let base = if cx.settings.counter_buckets { c.own_share(cx, self.counter_answered) } else { base };
        let share = (base + c.shares.moved(c.spread as u32)).clamp(0.0, 1.0);
        // Shares of less than one request would refuse everything: at least one is allowed as far as units
        // are left; where the counter keeps the buckets, while half a burst is left, else by chance.
        let initial = left.min(cx.settings.allowance.offline(quota_of(cx, c.plan))) * share + cx.chance(id);
        let level = match cx.settings.counter_buckets {
            true => initial.max(if left < p.burst * AMPLE_LEVEL { 0.0 } else { most_units }),
            false => (left * share).max(most_units.min(left)),
        };
        let (rate, depth) = (p.rate * share, (p.burst * share).max(most_units));
        let bucket = c.bucket.get_or_insert(TokenBucket { level, depth, rate, at: now });
        bucket.fill(now);
        (bucket.depth, bucket.rate) = (depth, rate);
        Some((share, bucket))
    }

    /// Guards the ceiling for requests that no total allows, or beyond the quota. Each gateway may send its
    /// part of what the ceiling allows above the quota, or of the whole ceiling after the promises that
    /// `lib.rs` explains. May refuse too much where one gateway has all the traffic.
    pub(crate) fn take_beyond(&mut self, cx: &Context, id: CustomerId, plan: usize, units: f64) -> bool {
        let (now, p) = (cx.now, &cx.settings.plans[plan]);
        let own = self.no_totals_until;
        let Some(c) = self.customers.get_mut(&id).filter(|_| p.ceiling_rate > 0.0) else { return true };
        settle(c, p, now);
        let others = others(cx, c.first, c.spread as u32).map(|g| self.exchange.quiet_until(g)).min();
        let quiet = others.map_or(Micros(0), |others| others.min(own));
        c.no_totals_until = if quiet > now { quiet } else { Micros(0) };
        set_beyond(c, p);
        c.beyond_quota.take(now, units)
    }

    /// Until when this gateway or an earlier process may have promised not to decide by totals.
    pub(crate) fn promised_until(&self, cx: &Context) -> Micros {
        let restarted = cx.started.map_or(Micros(0), |at| at + RESTART_WAIT);
        if cx.settings.peers_per_s > 0.0 {
            self.no_totals_until.max(restarted)
        } else {
            Micros(0)
        }
    }

    /// Other gateways may have sent requests before this time that no total includes.
    pub(crate) fn known_from(&self, cx: &Context) -> Micros {
        self.promised_until(cx).max(self.counter_reset_at).max(cx.started.unwrap_or_default())
    }
}
