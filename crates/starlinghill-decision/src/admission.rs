//! Admission: checks each request against its customer's quota, by the counter while that answers and by a
//! local token bucket while it does not. Terms such as total and silent are explained in `lib.rs`.

use crate::api::*;
use crate::breaker::Breaker;
use crate::calls::{Call, CallDecision, Purpose};
use crate::context::{Context, SMOOTHING};
use crate::customer::{quota_of, span, Customer};
use crate::repeated_requests::{Refusal, Repeats};
use starlinghill_estimate::counter_sampling::CounterSampling;
use starlinghill_rate_limit::shares::Exchange;
use starlinghill_rate_limit::unknown_customers::QuotaCoverage;
use std::collections::{BTreeMap, VecDeque};

/// A repeat calls the counter with the probability for first tries to this power.
pub(crate) const REPEAT_POWER: f64 = 3.0;
/// Customers' quotas as this gateway knows them, and its calls to the counter.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    pub(crate) breaker: Breaker,
    pub(crate) sampling: CounterSampling,
    pub(crate) last_failed: Option<CustomerId>,
    pub(crate) calls: BTreeMap<CountName, VecDeque<Call>>,
    pub(crate) customers: BTreeMap<CustomerId, Customer>,
    pub(crate) exchange: Exchange,
    /// The counter has answered since this process started.
    pub(crate) counter_answered: bool,
    /// When the counter was last seen to have lost its counts.
    pub(crate) counter_reset_at: Micros,
    /// Until when this gateway promised the others not to decide by totals.
    pub(crate) no_totals_until: Micros,
    pub(crate) repeats: Repeats,
    /// By plan: what fraction of the requests of unknown customers their quotas allow.
    pub(crate) plan_history: Vec<QuotaCoverage>,
    /// Moving average of the worth of a request.
    pub(crate) mean_worth: f64,
}

impl Admission {
    /// Records a request's worth. Returns the exponent for its chance to pass `shed`: above 1 for low worth.
    pub(crate) fn shed_power(&mut self, worth: f64) -> f64 {
        self.mean_worth += SMOOTHING / 3.0 * (worth - self.mean_worth);
        if worth > 0.0 {
            (self.mean_worth / worth).powi(2)
        } else {
            f64::MAX
        }
    }

    /// Records a refusal or failure. Returns the retry-after, where clients receive one.
    pub(crate) fn record_refusal(&mut self, cx: &Context, a: &Arrival) -> Option<Micros> {
        if let Some(c) = self.customers.get_mut(&a.customer) {
            c.last_refusal = Some(Refusal::of(a, cx.now));
        }
        (cx.settings.retry_after && cx.settings.plans[a.plan.0].rate > 0.0).then(|| {
            let p = &cx.settings.plans[a.plan.0];
            let window = Micros(((p.burst / p.rate) * 1e6).max(1.0) as u64);
            span(cx, a.customer, window).1.min(cx.settings.max_retry_after)
        })
    }

    /// Units in the customer's quota bucket, as far as known.
    pub(crate) fn known_level(&self, cx: &Context, customer: CustomerId) -> Option<f64> {
        let c = self.customers.get(&customer)?;
        c.account.store.level(quota_of(cx, c.plan), cx.now)
    }

    /// No call may be made for this customer, so its local bucket alone decides.
    pub(crate) fn counter_silent(&self, cx: &Context, customer: CustomerId) -> bool {
        let own_open = self.customers.get(&customer).is_some_and(|c| c.breaker.opened.is_some());
        !cx.settings.counter || self.breaker.opened.is_some() || own_open
    }

    /// The customer's spread is so wide that a gateway's share of its bucket holds less than one request.
    pub(crate) fn share_below_one(&self, cx: &Context, customer: CustomerId) -> bool {
        let burst = |c: &Customer| cx.settings.plans[c.plan].burst;
        self.customers.get(&customer).is_some_and(|c| c.spread * cx.settings.most_units > burst(c))
    }

    /// Whether a request may call the counter. Guards against a counter that our own calls overload, slow or
    /// near its capacity: while calls fail only a fraction of requests call, those of high worth first,
    /// repeats last, as they were refused a moment ago.
    fn samples_call(&self, cx: &mut Context, power: f64) -> bool {
        self.breaker.opened.is_some() || self.sampling.should_call(cx.rng.f64(), power)
    }

    pub(crate) fn may_call(&mut self, cx: &Context, customer: CustomerId) -> bool {
        let Some(c) = self.customers.get_mut(&customer) else { return false };
        let ready = cx.settings.counter && self.breaker.ready(cx.now) && c.breaker.ready(cx.now);
        if ready {
            self.breaker.record_call();
            c.breaker.record_call();
        }
        ready
    }

    /// Exponent of a request's chance to call the counter: lower for a higher worth.
    pub(crate) fn sampling_power(&self, cx: &Context, a: &Arrival) -> f64 {
        (self.mean_worth / cx.worth(a).max(1e-9)).clamp(0.5, 2.0)
    }

    /// The usual path: adds the units to the customer's window before anything is sent.
    pub(crate) fn ask_window(&mut self, cx: &mut Context, a: &Arrival) -> CallDecision {
        let (customer, units, resent) = (a.customer, a.units, a.resent);
        if self.breaker.opened.is_none() && self.known_level(cx, customer).is_some_and(|left| left < units) {
            return CallDecision::KnownFull; // A call could only confirm it.
        }
        let power = if resent { REPEAT_POWER } else { self.sampling_power(cx, a) };
        if self.samples_call(cx, power) && self.may_call(cx, customer) {
            self.call(cx, Purpose::Window, customer, Some((a.id, a.service, cx.within(a))), units);
            CallDecision::Called
        } else {
            CallDecision::NotCalled
        }
    }

    /// Adds one to the customer's count of requests in flight, where its plan caps them.
    pub(crate) fn ask_slot(&mut self, cx: &mut Context, a: &Arrival) -> CallDecision {
        if cx.settings.plans[a.plan.0].open <= 0.0 {
            CallDecision::NothingToAsk
        } else if self.samples_call(cx, REPEAT_POWER) && self.may_call(cx, a.customer) {
            self.call(cx, Purpose::Open, a.customer, Some((a.id, a.service, cx.within(a))), 1.0);
            CallDecision::Called
        } else {
            CallDecision::NotCalled
        }
    }

    /// Decides by the total (`left`: units left in the bucket), or without one by the local bucket.
    pub(crate) fn window_allows(&mut self, cx: &Context, a: &Arrival, left: Option<f64>) -> bool {
        let (customer, units, plan) = (a.customer, a.units, a.plan.0);
        match left {
            Some(left) if left < 0.0 => false,
            Some(_) if self.total_is_current(cx, customer) => self.take_beyond(cx, customer, plan, 0.0),
            Some(_) => self.take_beyond(cx, customer, plan, units),
            // A repeat was refused a moment ago, here or elsewhere. Where a share holds less than one
            // request, a total must decide it. Elsewhere nine of ten had room: most were refused for want of
            // an answer.
            None if a.resent && self.share_below_one(cx, customer) && !self.counter_silent(cx, customer) => {
                false
            }
            None => {
                let paid = self.take_beyond(cx, customer, plan, units);
                let ok = paid && self.take_local(cx, customer, units);
                let ceiling = cx.settings.plans[plan].ceiling_rate > 0.0;
                let c = self.customers.get_mut(&customer).filter(|_| ceiling && paid && !ok);
                c.into_iter().for_each(|c| c.beyond_quota.level += units);
                self.report_demand(cx, a, ok);
                ok
            }
        }
    }

    /// The total was heard just now, and held what was taken here even if other gateways took theirs first.
    fn total_is_current(&self, cx: &Context, customer: CustomerId) -> bool {
        let holds = |c: &Customer| c.account.store.total_at() == cx.now && c.account.store.floor() >= 0.0;
        cx.now >= self.promised_until(cx) && self.customers.get(&customer).is_some_and(holds)
    }

    /// Decides by the local bucket: the gateway's share of the quota. It starts with that share of what the
    /// customer's bucket was last known to hold. Starting empty would admit nothing for seconds from
    /// customers with few units. Under a ceiling `take_beyond` is checked first, and that does start empty.
    pub(crate) fn take_local(&mut self, cx: &Context, customer: CustomerId, units: f64) -> bool {
        let now = cx.now;
        self.local_bucket(cx, customer).is_some_and(|(_, bucket)| bucket.take(now, units))
    }

    /// Decides by the heard number of requests in flight, or without it by this gateway's share of the cap.
    pub(crate) fn slot_allows(&self, cx: &Context, a: &Arrival, heard: Option<f64>) -> bool {
        let (customer, plan) = (a.customer, &cx.settings.plans[a.plan.0]);
        let own_cap = |c: &Customer| (plan.open / c.spread).floor().max(1.0);
        match heard {
            Some(total) => total <= plan.open,
            None if a.resent && !self.counter_silent(cx, customer) => false,
            None => self.customers.get(&customer).is_some_and(|c| c.in_flight < own_cap(c)),
        }
    }
}
