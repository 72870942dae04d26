//! What a gateway goes by where the counter does not decide: its share of a quota, and of what a ceiling
//! holds beyond the quota. Shares move between gateways by messages (`messages`).

use crate::admission::Admission;
use crate::api::*;
use crate::bucket::TokenBucket;
use crate::context::Context;
use crate::customer::{others, quota_of, set_beyond, settle};
use starlinghill_rate_limit::shares::by_flows;

/// Part of its quota that a customer is taken to use elsewhere before anything was heard of it, while the
/// counter does not say nothing altogether, and how many times what other gateways were seen to need is
/// left to them.
const USE_UNKNOWN: f64 = 0.3;
const NEED_SPARE: f64 = 2.0;
/// While so much of a burst is left each gateway may let one request through that is answered late.
const PLENTY: f64 = 0.5;
/// What a new life waits before it goes by totals under a ceiling: the one before may have promised as much.
const NEW_LIFE: Micros = Micros(1_200_000);

impl Admission {
    /// A customer's local bucket, and the part of the quota that is this gateway's. What the other gateways
    /// were not seen to need can be had here. Guards against refusing customers who use little and come
    /// through one gateway for a while, where the counter is silent or can't bear all calls. May hurt in a
    /// silence in which several gateways see one ask more than it did before.
    pub(crate) fn local(&mut self, cx: &Context, customer: CustomerId) -> Option<(f64, &mut TokenBucket)> {
        let (now, most_units) = (cx.now, cx.set.most_units);
        let (left, silent, heard) = (self.room(cx, customer), self.silent(cx, customer), self.heard);
        let c = self.customers.get_mut(&customer)?;
        let p = &cx.set.plans[c.plan];
        let left = left.unwrap_or(if cx.set.counter_buckets { 0.0 } else { p.burst }).max(0.0);
        // Of one that comes through many gateways no store is followed, but its demand was heard of.
        let flows = c.account.store.flows().or_else(|| c.scattered.flows(c.asked.now(now)));
        let base = by_flows(flows, p.rate, c.spread, if silent { 1.0 } else { USE_UNKNOWN }, NEED_SPARE);
        let base = if cx.set.counter_buckets { c.own_share(cx, heard) } else { base };
        let share = (base + c.shares.moved(c.spread as u32)).clamp(0.0, 1.0);
        // Guards against shares of less than one request, which would refuse everything: at least that much,
        // as far as it is left; where the counter keeps the stores, while half a burst is, else by chance.
        let begins = left.min(cx.set.allowance.unheard(quota_of(cx, c.plan))) * share + cx.chance(customer);
        let level = match cx.set.counter_buckets {
            true => begins.max(if left < p.burst * PLENTY { 0.0 } else { most_units }),
            false => (left * share).max(most_units.min(left)),
        };
        let (rate, depth) = (p.rate * share, (p.burst * share).max(most_units));
        let bucket = c.bucket.get_or_insert(TokenBucket { level, depth, rate, at: now });
        bucket.fill(now);
        (bucket.depth, bucket.rate) = (depth, rate);
        Some((share, bucket))
    }

    /// Guards the hard ceiling wherever the floor does not speak for what is sent on: unheard, by what a
    /// gateway believes was left over, or beyond the quota. Each gateway may send so only its part of what
    /// the ceiling holds above the quota; what goes by the floor stays within the quota, so the sum keeps
    /// the ceiling whatever single gateways believe. Where all gateways of the customer promised to go by
    /// no total for a while, nobody uses the quota's own rate, and their parts are of the whole ceiling.
    /// May hurt one that has all the traffic.
    pub(crate) fn beyond_take(&mut self, cx: &Context, id: CustomerId, plan: usize, units: f64) -> bool {
        let (now, p) = (cx.now, &cx.set.plans[plan]);
        let own = self.quiet_until;
        let Some(c) = self.customers.get_mut(&id).filter(|_| p.ceiling_rate > 0.0) else { return true };
        settle(c, p, now);
        let others = others(cx, c.first, c.spread as u32).map(|gateway| self.exchange.quiet(gateway)).min();
        let quiet = others.map_or(Micros(0), |others| others.min(own));
        c.quiet = if quiet > now { quiet } else { Micros(0) };
        set_beyond(c, p);
        c.beyond.take(now, units)
    }

    /// Until when this gateway, or an earlier life of it, may have promised to go by no total. Ceilings
    /// lean on it.
    pub(crate) fn bound_until(&self, cx: &Context) -> Micros {
        let young = cx.started.map_or(Micros(0), |at| at + NEW_LIFE);
        if cx.set.peers_per_s > 0.0 {
            self.quiet_until.max(young)
        } else {
            Micros(0)
        }
    }

    /// Before this moment others may have used what no total tells of.
    pub(crate) fn known_from(&self, cx: &Context) -> Micros {
        self.bound_until(cx).max(self.lost_at).max(cx.started.unwrap_or_default())
    }
}
