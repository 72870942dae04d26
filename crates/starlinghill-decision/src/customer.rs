//! One customer as a gateway knows it. Nothing here decides.

use crate::admission::Admission;
use crate::api::*;
use crate::breaker::Breaker;
use crate::bucket::{mix, TokenBucket};
use crate::context::Context;
use crate::repeated_requests::Refusal;
use starlinghill_estimate::counter_sampling::CounterSampling;
use starlinghill_rate_limit::account::Account;
use starlinghill_rate_limit::allowance::UNTOLD_SHARE;
use starlinghill_rate_limit::ceiling::{Split, Turns};
use starlinghill_rate_limit::demand::{Demand, SPAN};
use starlinghill_rate_limit::rate::Flow;
use starlinghill_rate_limit::shares::Shares;
use starlinghill_rate_limit::Quota;

/// Life of one count of attempts out, so that what a killed gateway held is forgotten.
pub(crate) const EPOCH: Micros = Micros(5_000_000);
/// Life of idle customers, of whom many come once.
pub(crate) const FORGET: Micros = Micros(30_000_000);
/// Apart from all other names.
const STORE_NAME: u64 = 0x0073_746f_7265;
/// The length of a window. Long ones are followed over their edges seldom; a name lives for 60 s at most.
pub(crate) const WINDOW: Micros = Micros(25_000_000);

/// One customer as this gateway knows it.
#[derive(Debug, Default)]
pub(crate) struct Customer {
    pub(crate) refused: Option<Refusal>,
    pub(crate) plan: usize,
    pub(crate) spread: f64,
    pub(crate) account: Account,
    pub(crate) bucket: Option<TokenBucket>,
    pub(crate) first: u32,
    /// What other gateways gave of theirs, and what was asked for here while the counter said nothing.
    pub(crate) shares: Shares,
    pub(crate) asked: Flow,
    /// What may go on unheard or beyond the quota under a ceiling.
    pub(crate) beyond: TokenBucket,
    /// Until when it fills as if no gateway went by totals.
    pub(crate) quiet: Micros,
    pub(crate) breaker: Breaker,
    /// Own attempts out (of a plan that caps them).
    pub(crate) out: f64,
    pub(crate) used: Micros,
    /// Its share of the quota while the counter is silent, where the counter has told that.
    pub(crate) share: Option<f64>,
    /// What is kept of one that comes through many gateways.
    pub(crate) scattered: Scattered,
}

impl Customer {
    /// Its share of the quota while a counter that keeps the stores is silent. `heard`: one was heard in this life, which
    /// told the others the larger part of a quota of which it told nothing here.
    pub(crate) fn own_share(&self, cx: &Context, heard: bool) -> f64 {
        let untold = if heard { UNTOLD_SHARE } else { 1.0 };
        match cx.alone {
            true => 0.0,
            false => self.share.unwrap_or(untold / self.spread.max(1.0)),
        }
    }
}

/// What a gateway keeps of a customer that comes through many.
#[derive(Debug, Default)]
pub(crate) struct Scattered {
    /// What was heard of its demand, and when.
    pub(crate) demand: Demand,
    pub(crate) heard: Micros,
    /// Nothing was heard of it for long before that.
    pub(crate) stranger: bool,
    /// What goes with the next call of that span.
    pub(crate) uncounted: (u64, f64),
    /// This gateway's own part of its ceiling.
    pub(crate) own_part: Option<TokenBucket>,
    pub(crate) turns: Turns,
}

impl Scattered {
    /// What is asked for here and at the other gateways, in units a second, by what was last heard of its demand.
    pub(crate) fn flows(&self, own: f64) -> Option<(f64, f64)> {
        self.demand.usual().map(|all| (own.max(0.0), (all - own).max(0.0)))
    }
}

pub(crate) fn quota_of(cx: &Context, plan: usize) -> Quota {
    Quota { rate: cx.set.plans[plan].rate, burst: cx.set.plans[plan].burst }
}

/// The current window (or epoch) of a customer; the customer's hash shifts its edges, so that not all
/// windows end at once.
pub(crate) fn span(cx: &Context, customer: CustomerId, length: Micros) -> (u64, Micros) {
    let shifted = cx.now.0 + cx.set.clock_offset.0 + mix(customer.0) % length.0;
    (shifted / length.0, Micros(length.0 - shifted % length.0))
}

/// The current window of a customer. Where the counter keeps the stores there is but one.
pub(crate) fn window(cx: &Context, customer: CustomerId) -> (u64, Micros) {
    match cx.set.counter_buckets {
        true => (0, WINDOW),
        false => span(cx, customer, WINDOW),
    }
}

/// The name of a customer's store, where the counter keeps it.
pub fn bucket_name(customer: CustomerId) -> CountName {
    name_of(customer, STORE_NAME, 0)
}

/// The current span of a customer's demand, and how much of it has passed.
pub(crate) fn demand_span(cx: &Context, customer: CustomerId) -> (u64, Micros) {
    let shifted = cx.now.0 + cx.set.clock_offset.0 + mix(customer.0) % SPAN.0;
    (shifted / SPAN.0, Micros(shifted % SPAN.0))
}

/// The name of a count of a customer's that is neither of its window nor of its places.
pub(crate) fn name_of(customer: CustomerId, what: u64, span: u64) -> CountName {
    CountName(mix(mix(customer.0 ^ mix(what)) ^ mix(span)) >> 1)
}

/// How a plan's ceiling is kept over the gateways of a customer; the same at each of them.
pub(crate) fn split(set: &Settings, plan: usize, spread: f64) -> Split {
    let plan = &set.plans[plan];
    let ceiling = Quota { rate: plan.ceiling_rate, burst: plan.ceiling_burst };
    Split::of(ceiling, set.most_units, set.count_timeout, spread)
}

/// The gateways of a customer's set, without this one; none where this one is not of it.
pub(crate) fn others(cx: &Context, first: u32, spread: u32) -> impl Iterator<Item = u32> {
    let (all, me) = (cx.set.gateways.max(1), cx.set.me);
    let set = move || (0..spread.min(all)).map(move |i| (first % all + i) % all);
    let mine = set().any(|gateway| gateway == me);
    set().filter(move |gateway| mine && *gateway != me)
}

/// Sets what the bucket beyond the quota holds: a part of what the ceiling holds above the quota or, while
/// all gateways are bound by promises, of the whole ceiling.
pub(crate) fn set_beyond(c: &mut Customer, p: &Plan) {
    let part = (1.0 / c.spread + c.shares.moved(c.spread as u32)).max(0.0);
    let quota = if c.quiet > Micros(0) { (0.0, 0.0) } else { (p.rate, p.burst) };
    c.beyond.rate = (p.ceiling_rate - quota.0).max(0.0) * part;
    c.beyond.depth = (p.ceiling_burst - quota.1).max(0.0) * part;
}

/// Fills both buckets up to a moment at the rates that held until then. Guards against filling the time
/// before a share came, or after it went, at the rate of another. May hurt customers seldom asked for, if
/// left out.
pub(crate) fn settle(c: &mut Customer, p: &Plan, at: Micros) {
    c.bucket.iter_mut().for_each(|bucket| bucket.fill(at));
    if c.quiet > Micros(0) && c.quiet <= at {
        c.beyond.fill(c.quiet);
        c.quiet = Micros(0);
        set_beyond(c, p);
    }
    c.beyond.fill(at);
}

impl Admission {
    pub(crate) fn new(gateways: u32) -> Admission {
        Admission { asking: CounterSampling::of(gateways), ..Admission::default() }
    }

    /// How many things are kept in mind.
    pub(crate) fn tracked_items(&self) -> usize {
        self.customers.len() + self.calls.len()
    }

    /// Forgets customers that were idle for long.
    pub(crate) fn sweep(&mut self, cx: &Context) {
        self.customers.retain(|_, c| c.used + FORGET >= cx.now || c.out > 0.0);
    }

    /// Notes a request; returns whether it repeats one that was refused.
    pub(crate) fn note(&mut self, cx: &Context, a: &Arrival) -> bool {
        let c = self.customers.entry(a.customer).or_default();
        if c.used == Micros(0) {
            c.beyond.at = cx.now; // Starts empty: an earlier life of this gateway may have spent it.
        }
        (c.plan, c.spread, c.first, c.used) = (a.plan.0, f64::from(a.spread.max(1)), a.first, cx.now);
        self.repeats.is_one(a, c.refused.as_ref(), cx.now)
    }
}
