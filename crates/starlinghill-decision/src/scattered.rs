//! Customers whose requests come through many gateways. No gateway sees enough of them to follow a customer's
//! bucket, and together they would call more often than a counter can answer. Their demand is counted by
//! sampling, and each gateway sends the fraction that the quota allows (`starlinghill_rate_limit::demand`).
//!
//! A ceiling can't rely on samples. One part of it is split evenly over the customer's gateways. Gateways
//! that need more take it from the rest, which is released in short periods called turns, each with a count
//! of its own. Both together stay within the ceiling in whatever order calls and gateways come.

use crate::admission::{Admission, REPEAT_POWER};
use crate::api::*;
use crate::bucket::TokenBucket;
use crate::calls::{Call, CallDecision, Purpose};
use crate::context::Context;
use crate::customer::{demand_span, name_of, quota_of, split};
use starlinghill_estimate::MIN_SHARE;
use starlinghill_rate_limit::ceiling::CeilingSplit;
use starlinghill_rate_limit::demand::SPAN;
use starlinghill_rate_limit::unknown_customers::QuotaCoverage;

/// Fleets of this many gateways count so, whatever a customer's spread, as all share one counter.
const MANY_GATEWAYS: u32 = 16;
/// A total this recent is good enough. One up to `TOTAL_STALE` is, while little is uncounted: less than a
/// gateway's part of what the quota gives in `REPORT_SECONDS`. Guards against a few busy customers, seen by a
/// few gateways each, that take half of a counter's calls while gateways that know nothing of a customer
/// can't call. A longer time would notice a spike too late.
const TOTAL_FRESH: Micros = Micros(700_000);
const TOTAL_STALE: Micros = Micros(2_000_000);
const REPORT_SECONDS: f64 = 1.0;
/// Exponent that lowers the chance of requests that call, as gateways without a total exceed the quota.
const COMPENSATION_POWER: i32 = 4;
/// Keep these names apart from those of windows and of requests in flight.
const DEMAND_NAME: u64 = 0x6465_6d61_6e64;
const TURN_NAME: u64 = 0x7475_726e;

impl Admission {
    /// The purpose of a request's first call.
    pub(crate) fn first_call(&self, cx: &Context, a: &Arrival) -> Purpose {
        match cx.settings.gateways {
            _ if cx.settings.plans[a.plan.0].rate <= 0.0 => Purpose::Open,
            // A counter that keeps the buckets answers many draws in one message.
            MANY_GATEWAYS.. if !cx.settings.counter_buckets => Purpose::Demand,
            _ => Purpose::Window,
        }
    }

    /// Counts a request: with the next call after a recent total, else by chance, weighted by its inverse.
    pub(crate) fn ask_demand(&mut self, cx: &mut Context, a: &Arrival) -> CallDecision {
        let (span, elapsed) = demand_span(cx, a.customer);
        // The first try of a repeat was counted.
        let units = if a.resent { 0.0 } else { a.units };
        let Some(c) = self.customers.get_mut(&a.customer) else { return CallDecision::NotCalled };
        if c.scattered.uncounted.0 != span {
            c.scattered.uncounted = (span, 0.0);
        }
        let age = cx.now - c.scattered.heard_at;
        let reportable = cx.settings.plans[c.plan].rate / c.spread * REPORT_SECONDS;
        if age < TOTAL_FRESH || age < TOTAL_STALE && c.scattered.uncounted.1 + units < reportable {
            c.scattered.uncounted.1 += units;
            return CallDecision::NotCalled;
        }
        // Independent of worth, or customers of low-worth requests would nearly always be unknown here.
        let power = if a.resent { REPEAT_POWER } else { 1.0 };
        let chance = if self.breaker.opened.is_some() {
            1.0
        } else {
            self.sampling.call_probability(power).max(MIN_SHARE)
        };
        if cx.rng.f64() >= chance || !self.may_call(cx, a.customer) {
            return CallDecision::NotCalled;
        }
        let uncounted =
            self.customers.get_mut(&a.customer).map(|c| std::mem::take(&mut c.scattered.uncounted.1));
        let amount = units / chance + uncounted.unwrap_or_default();
        let name = name_of(a.customer, DEMAND_NAME, span);
        let life = SPAN - elapsed + SPAN;
        self.call_named(cx, name, life, Call::new(cx.now, Purpose::Demand, a, span, amount));
        CallDecision::Called
    }

    /// Takes what this gateway's part of the ceiling lacks from the present turn, also for expected requests.
    pub(crate) fn ask_turn(&mut self, cx: &mut Context, a: &Arrival) -> CallDecision {
        let split = self.split(cx, a);
        let (turn, left) = split.turn_at(cx.now);
        let Some(c) = self.customers.get_mut(&a.customer) else { return CallDecision::KnownFull };
        if c.scattered.turns.take(turn, a.units) {
            return CallDecision::NothingToAsk;
        }
        let amount = split.call_amount(a.units, c.local_demand.now(cx.now), left);
        // The turn is known to be spent, so a call could only confirm that.
        if c.scattered.turns.is_spent(turn) || a.units > split.units || !self.may_call(cx, a.customer) {
            return CallDecision::KnownFull;
        }
        let name = name_of(a.customer, TURN_NAME, turn);
        self.call_named(cx, name, split.turn + split.turn, Call::new(cx.now, Purpose::Turn, a, turn, amount));
        CallDecision::Called
    }

    /// Whether the quota allows a request, by the last totals or, with a silent counter, the local bucket.
    pub(crate) fn demand_allows(&mut self, cx: &mut Context, a: &Arrival) -> bool {
        let pays_off = self.unknown_pays(cx, a.plan.0);
        let Some(c) = self.customers.get_mut(&a.customer) else { return false };
        // The counted demand leaves out repeats too.
        c.local_demand.add(cx.now, if a.resent { 0.0 } else { a.units });
        if self.counter_silent(cx, a.customer) {
            return pays_off && self.take_local(cx, a.customer, a.units);
        }
        let Some(c) = self.customers.get_mut(&a.customer) else { return false };
        // Most customers keep to their quota, but a repeat was refused by a gateway that knew more.
        let unknown = f64::from(u8::from(pays_off && !a.resent));
        let chance = c.scattered.demand.chance(quota_of(cx, c.plan), cx.now).unwrap_or(unknown);
        let just_heard = c.scattered.heard_at == cx.now;
        let compensates = pays_off && just_heard && c.scattered.was_unknown;
        if just_heard && !a.resent {
            self.plan_history.resize(cx.settings.plans.len(), QuotaCoverage::default());
            self.plan_history[a.plan.0].add_sample(chance);
        }
        let chance = if compensates { chance.powi(COMPENSATION_POWER) } else { chance };
        // A customer must not get around a refusal by asking again.
        cx.rng.f64() < if a.resent && chance < 1.0 { chance * chance } else { chance }
    }

    /// Whether sending a request of an unknown customer of this plan earns more than it costs.
    fn unknown_pays(&self, cx: &Context, plan: usize) -> bool {
        let p = &cx.settings.plans[plan];
        self.plan_history.get(plan).is_none_or(|coverage| coverage.admits(p.over_cost - p.over_worth))
    }

    /// Takes a request from this gateway's own part of the ceiling; returns whether that held enough.
    pub(crate) fn own_ceiling_allows(&mut self, cx: &Context, a: &Arrival) -> bool {
        if cx.settings.plans[a.plan.0].ceiling_rate <= 0.0 {
            return true;
        }
        let split = self.split(cx, a);
        let (all, me) = (cx.settings.gateways.max(1), cx.settings.me);
        // Only gateways of the customer's set have a part, or the sum would exceed the ceiling.
        let mine = (me + all - a.first % all) % all < a.spread;
        let started = cx.started.unwrap_or(cx.now);
        let Some(c) = self.customers.get_mut(&a.customer).filter(|_| mine) else { return false };
        let own = c.scattered.own_ceiling.get_or_insert_with(|| {
            // An earlier process of this gateway may have spent the part, so it starts empty.
            let level = (split.rate * (cx.now - started).secs()).min(split.depth);
            TokenBucket { level, depth: split.depth, rate: split.rate, at: cx.now }
        });
        (own.depth, own.rate) = (split.depth, split.rate);
        own.take(cx.now, a.units)
    }

    fn split(&self, cx: &Context, a: &Arrival) -> CeilingSplit {
        split(&cx.settings, a.plan.0, f64::from(a.spread.max(1)))
    }
}
