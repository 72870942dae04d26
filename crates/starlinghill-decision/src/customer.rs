//! One customer as a gateway knows it. Nothing here decides.

use crate::admission::Admission;
use crate::api::*;
use crate::breaker::Breaker;
use crate::bucket::{mix, TokenBucket};
use crate::context::Context;
use crate::repeated_requests::Refusal;
use starlinghill_estimate::counter_sampling::CounterSampling;
use starlinghill_rate_limit::account::Account;
use starlinghill_rate_limit::allowance::UNASSIGNED_SHARE;
use starlinghill_rate_limit::ceiling::{CeilingSplit, TurnUnits};
use starlinghill_rate_limit::demand::{Demand, SPAN};
use starlinghill_rate_limit::rate::Flow;
use starlinghill_rate_limit::shares::Shares;
use starlinghill_rate_limit::Quota;

/// Period of one shared count of requests in flight. A new period forgets what a killed gateway had in
/// flight.
pub(crate) const EPOCH: Micros = Micros(5_000_000);
/// Idle customers are forgotten after this time, as many come only once.
pub(crate) const FORGET: Micros = Micros(30_000_000);
/// Keeps the names of buckets apart from all others.
const STORE_NAME: u64 = 0x0073_746f_7265;
/// The length of a window. Long windows cross their edges seldom, but a name lives for at most 60 s at the
/// counter.
pub(crate) const WINDOW: Micros = Micros(25_000_000);

/// One customer as this gateway knows it.
#[derive(Debug, Default)]
pub(crate) struct Customer {
    pub(crate) last_refusal: Option<Refusal>,
    pub(crate) plan: usize,
    pub(crate) spread: f64,
    pub(crate) account: Account,
    pub(crate) bucket: Option<TokenBucket>,
    /// Number of the first gateway that its requests come through.
    pub(crate) first: u32,
    /// Parts of the quota that gateways have given each other, and the units a second asked for here, counted
    /// while the counter is silent or the customer comes through many gateways.
    pub(crate) shares: Shares,
    pub(crate) local_demand: Flow,
    /// Under a ceiling: units that may be sent without a total or beyond the quota.
    pub(crate) beyond_quota: TokenBucket,
    /// Until when all gateways of the customer have promised not to decide by totals; 0: no such promise.
    pub(crate) no_totals_until: Micros,
    pub(crate) breaker: Breaker,
    /// Requests in flight here, of a plan that limits them.
    pub(crate) in_flight: f64,
    pub(crate) last_used: Micros,
    /// This gateway's share of the quota (0 to 1) while the counter is silent, if the counter assigned one.
    pub(crate) counter_share: Option<f64>,
    /// State for a customer whose requests come through many gateways.
    pub(crate) scattered: Scattered,
}

impl Customer {
    /// This gateway's share of the quota while a counter that keeps the buckets is silent.
    /// `counter_answered`: the counter answered this process, so it assigned the larger part of each quota
    /// and left little for gateways without a share.
    pub(crate) fn own_share(&self, cx: &Context, counter_answered: bool) -> f64 {
        let unassigned = if counter_answered { UNASSIGNED_SHARE } else { 1.0 };
        match cx.isolated {
            true => 0.0,
            false => self.counter_share.unwrap_or(unassigned / self.spread.max(1.0)),
        }
    }
}

/// State for a customer whose requests come through many gateways.
#[derive(Debug, Default)]
pub(crate) struct Scattered {
    /// Totals of its demand, and when the last one was heard.
    pub(crate) demand: Demand,
    pub(crate) heard_at: Micros,
    /// No total was heard for `UNKNOWN_AFTER` before the last one.
    pub(crate) was_unknown: bool,
    /// A span, and units asked for in it that the next call will report.
    pub(crate) uncounted: (u64, f64),
    /// This gateway's own part of the ceiling.
    pub(crate) own_ceiling: Option<TokenBucket>,
    pub(crate) turns: TurnUnits,
}

impl Scattered {
    /// Units a second asked for here and at the other gateways, by the last total of the demand.
    pub(crate) fn flows(&self, own: f64) -> Option<(f64, f64)> {
        self.demand.usual_rate().map(|all| (own.max(0.0), (all - own).max(0.0)))
    }
}

pub(crate) fn quota_of(cx: &Context, plan: usize) -> Quota {
    Quota { rate: cx.settings.plans[plan].rate, burst: cx.settings.plans[plan].burst }
}

/// Number of the customer's current period of this length, and the time left in it. The customer's hash
/// shifts the edges, so that periods of different customers do not end together.
pub(crate) fn span(cx: &Context, customer: CustomerId, length: Micros) -> (u64, Micros) {
    let shifted = cx.now.0 + cx.settings.clock_offset.0 + mix(customer.0) % length.0;
    (shifted / length.0, Micros(length.0 - shifted % length.0))
}

/// The current window of a customer. With buckets at the counter there is only one.
pub(crate) fn window(cx: &Context, customer: CustomerId) -> (u64, Micros) {
    match cx.settings.counter_buckets {
        true => (0, WINDOW),
        false => span(cx, customer, WINDOW),
    }
}

/// The name of a customer's token bucket at the counter.
pub fn bucket_name(customer: CustomerId) -> CountName {
    name_of(customer, STORE_NAME, 0)
}

/// The current span in which a customer's demand is counted, and how much of it has passed.
pub(crate) fn demand_span(cx: &Context, customer: CustomerId) -> (u64, Micros) {
    let shifted = cx.now.0 + cx.settings.clock_offset.0 + mix(customer.0) % SPAN.0;
    (shifted / SPAN.0, Micros(shifted % SPAN.0))
}

/// A counter name for a customer's `kind` of count in one span.
pub(crate) fn name_of(customer: CustomerId, kind: u64, span: u64) -> CountName {
    CountName(mix(mix(customer.0 ^ mix(kind)) ^ mix(span)) >> 1)
}

/// How a plan's ceiling is divided over the gateways of a customer; the same at each of them.
pub(crate) fn split(set: &Settings, plan: usize, spread: f64) -> CeilingSplit {
    let plan = &set.plans[plan];
    let ceiling = Quota { rate: plan.ceiling_rate, burst: plan.ceiling_burst };
    CeilingSplit::of(ceiling, set.most_units, set.count_timeout, spread)
}

/// The other gateways that the customer's requests come through; none if they don't come through this one.
pub(crate) fn others(cx: &Context, first: u32, spread: u32) -> impl Iterator<Item = u32> {
    let (all, me) = (cx.settings.gateways.max(1), cx.settings.me);
    let set = move || (0..spread.min(all)).map(move |i| (first % all + i) % all);
    let member = set().any(|gateway| gateway == me);
    set().filter(move |gateway| member && *gateway != me)
}

/// Sets the size of the bucket for requests beyond the quota: a part of what the ceiling allows above the
/// quota or, while no gateway decides by totals, of the whole ceiling.
pub(crate) fn set_beyond(c: &mut Customer, p: &Plan) {
    let part = (1.0 / c.spread + c.shares.moved(c.spread as u32)).max(0.0);
    let quota = if c.no_totals_until > Micros(0) { (0.0, 0.0) } else { (p.rate, p.burst) };
    c.beyond_quota.rate = (p.ceiling_rate - quota.0).max(0.0) * part;
    c.beyond_quota.depth = (p.ceiling_burst - quota.1).max(0.0) * part;
}

/// Fills both buckets up to a moment at the rates that held until then. Guards against filling the time
/// before a share came, or after it went, at another share's rate. Customers with few requests would notice.
pub(crate) fn settle(c: &mut Customer, p: &Plan, at: Micros) {
    c.bucket.iter_mut().for_each(|bucket| bucket.fill(at));
    if c.no_totals_until > Micros(0) && c.no_totals_until <= at {
        c.beyond_quota.fill(c.no_totals_until);
        c.no_totals_until = Micros(0);
        set_beyond(c, p);
    }
    c.beyond_quota.fill(at);
}

impl Admission {
    pub(crate) fn new(gateways: u32) -> Admission {
        Admission { sampling: CounterSampling::new(gateways), ..Admission::default() }
    }

    /// Number of entries kept, for tests of memory use.
    pub(crate) fn tracked_items(&self) -> usize {
        self.customers.len() + self.calls.len()
    }

    /// Forgets customers that were idle for `FORGET`.
    pub(crate) fn sweep(&mut self, cx: &Context) {
        self.customers.retain(|_, c| c.last_used + FORGET >= cx.now || c.in_flight > 0.0);
    }

    /// Records a request; returns whether it repeats one that was refused.
    pub(crate) fn record_arrival(&mut self, cx: &Context, a: &Arrival) -> bool {
        let c = self.customers.entry(a.customer).or_default();
        if c.last_used == Micros(0) {
            c.beyond_quota.at = cx.now; // Starts empty: an earlier process of this gateway may have spent it.
        }
        (c.plan, c.spread, c.first, c.last_used) = (a.plan.0, f64::from(a.spread.max(1)), a.first, cx.now);
        self.repeats.is_one(a, c.last_refusal.as_ref(), cx.now)
    }
}
