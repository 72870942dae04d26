//! Admission: each request is checked against its customer's quota, by the shared count where the counter
//! answers, by a local bucket where it does not.

use crate::api::*;
use crate::breaker::Breaker;
use crate::calls::{Asked, Call, Purpose};
use crate::context::{Context, SMOOTH};
use crate::customer::{quota_of, span, Customer};
use crate::repeated_requests::{Refusal, Repeats};
use starlinghill_estimate::counter_sampling::CounterSampling;
use starlinghill_rate_limit::shares::Exchange;
use starlinghill_rate_limit::unknown_customers::Usual;
use std::collections::{BTreeMap, VecDeque};

/// The share of repeats that ask is the share of first tries to this power.
pub(crate) const REPEAT_POWER: f64 = 3.0;
/// The customers' quotas as this gateway knows them.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    pub(crate) breaker: Breaker,
    pub(crate) asking: CounterSampling,
    pub(crate) last_failed: Option<CustomerId>,
    pub(crate) calls: BTreeMap<CountName, VecDeque<Call>>,
    pub(crate) customers: BTreeMap<CustomerId, Customer>,
    pub(crate) exchange: Exchange,
    /// A total was heard in this life.
    pub(crate) heard: bool,
    /// When the counter was last seen to have lost what it held.
    pub(crate) lost_at: Micros,
    /// Until when this gateway promised to go by no total.
    pub(crate) quiet_until: Micros,
    pub(crate) repeats: Repeats,
    /// What part of the requests the quotas bear, by plan.
    pub(crate) usual: Vec<Usual>,
    /// The usual worth of a request.
    pub(crate) usual_worth: f64,
}

impl Admission {
    /// Notes a request's worth; returns the power of its chance to pass: above one for little worth.
    pub(crate) fn weigh(&mut self, worth: f64) -> f64 {
        self.usual_worth += SMOOTH / 3.0 * (worth - self.usual_worth);
        if worth > 0.0 {
            (self.usual_worth / worth).powi(2)
        } else {
            f64::MAX
        }
    }

    /// Notes a refusal or failure; returns when to come back, where that is told.
    pub(crate) fn refused(&mut self, cx: &Context, a: &Arrival) -> Option<Micros> {
        if let Some(c) = self.customers.get_mut(&a.customer) {
            c.refused = Some(Refusal::of(a, cx.now));
        }
        (cx.set.retry_after && cx.set.plans[a.plan.0].rate > 0.0).then(|| {
            let p = &cx.set.plans[a.plan.0];
            let window = Micros(((p.burst / p.rate) * 1e6).max(1.0) as u64);
            span(cx, a.customer, window).1.min(cx.set.max_retry_after)
        })
    }

    /// What a customer's quota has room for, as far as is known here.
    pub(crate) fn room(&self, cx: &Context, customer: CustomerId) -> Option<f64> {
        let c = self.customers.get(&customer)?;
        c.account.store.level(quota_of(cx, c.plan), cx.now)
    }

    /// The counter says nothing of this customer for a while: then the local bucket alone decides.
    pub(crate) fn silent(&self, cx: &Context, customer: CustomerId) -> bool {
        let own_open = self.customers.get(&customer).is_some_and(|c| c.breaker.opened.is_some());
        !cx.set.counter || self.breaker.opened.is_some() || own_open
    }

    /// A customer so spread that a gateway's share of its store holds less than one request.
    pub(crate) fn slight(&self, cx: &Context, customer: CustomerId) -> bool {
        let burst = |c: &Customer| cx.set.plans[c.plan].burst;
        self.customers.get(&customer).is_some_and(|c| c.spread * cx.set.most_units > burst(c))
    }

    /// Whether a request is to ask. Guards against a counter that our own calls drown, slow or near its
    /// capacity: while calls fail only a part asks, what is worth much first, repeats last, as they were
    /// refused a moment ago.
    fn asks(&self, cx: &mut Context, power: f64) -> bool {
        self.breaker.opened.is_some() || self.asking.should_call(cx.rng.f64(), power)
    }

    pub(crate) fn may_call(&mut self, cx: &Context, customer: CustomerId) -> bool {
        let Some(c) = self.customers.get_mut(&customer) else { return false };
        let ready = cx.set.counter && self.breaker.ready(cx.now) && c.breaker.ready(cx.now);
        if ready {
            self.breaker.ask();
            c.breaker.ask();
        }
        ready
    }

    /// The power of a request's chance to ask: lower for what is worth much.
    pub(crate) fn rank(&self, cx: &Context, a: &Arrival) -> f64 {
        (self.usual_worth / cx.worth(a).max(1e-9)).clamp(0.5, 2.0)
    }

    /// The ordinary path: one add on the customer's window before anything is sent on.
    pub(crate) fn ask_window(&mut self, cx: &mut Context, a: &Arrival) -> Asked {
        let (customer, units, resent) = (a.customer, a.units, a.resent);
        if self.breaker.opened.is_none() && self.room(cx, customer).is_some_and(|room| room < units) {
            return Asked::Full; // Known full: a call could only tell the same.
        }
        let power = if resent { REPEAT_POWER } else { self.rank(cx, a) };
        if self.asks(cx, power) && self.may_call(cx, customer) {
            self.call(cx, Purpose::Window, customer, Some((a.id, a.service, cx.within(a))), units);
            Asked::Called
        } else {
            Asked::Silent
        }
    }

    /// One add on the customer's attempts out, where its plan caps them.
    pub(crate) fn ask_place(&mut self, cx: &mut Context, a: &Arrival) -> Asked {
        if cx.set.plans[a.plan.0].open <= 0.0 {
            Asked::Free
        } else if self.asks(cx, REPEAT_POWER) && self.may_call(cx, a.customer) {
            self.call(cx, Purpose::Open, a.customer, Some((a.id, a.service, cx.within(a))), 1.0);
            Asked::Called
        } else {
            Asked::Silent
        }
    }

    /// Decides a request by the total heard, or without one by the local bucket.
    pub(crate) fn window_holds(&mut self, cx: &Context, a: &Arrival, left: Option<f64>) -> bool {
        let (customer, units, plan) = (a.customer, a.units, a.plan.0);
        match left {
            Some(room) if room < 0.0 => false,
            Some(_) if self.sure(cx, customer) => self.beyond_take(cx, customer, plan, 0.0),
            Some(_) => self.beyond_take(cx, customer, plan, units),
            // A repeat was refused a moment ago, here or elsewhere: where a share holds less than one request
            // it must be heard. Elsewhere nine of ten had room, as most were refused for want of an answer.
            None if a.resent && self.slight(cx, customer) && !self.silent(cx, customer) => false,
            None => {
                let paid = self.beyond_take(cx, customer, plan, units);
                let ok = paid && self.local_take(cx, customer, units);
                let ceiling = cx.set.plans[plan].ceiling_rate > 0.0;
                let c = self.customers.get_mut(&customer).filter(|_| ceiling && paid && !ok);
                c.into_iter().for_each(|c| c.beyond.level += units);
                self.asked_here(cx, a, ok);
                ok
            }
        }
    }

    /// By a total heard just now, the store held what was taken here, whenever the others took theirs.
    fn sure(&self, cx: &Context, customer: CustomerId) -> bool {
        let holds = |c: &Customer| c.account.store.heard_at() == cx.now && c.account.store.floor() >= 0.0;
        cx.now >= self.bound_until(cx) && self.customers.get(&customer).is_some_and(holds)
    }

    /// The local bucket decides where the counter does not: the customer's rate over its gateways. It starts
    /// with this gateway's part of what the customer's store was last known to hold; under a ceiling,
    /// `beyond_take` stands before it and does start empty. Guards against refusing customers with few units,
    /// for whom a share that starts empty admits nothing for seconds.
    pub(crate) fn local_take(&mut self, cx: &Context, customer: CustomerId, units: f64) -> bool {
        let now = cx.now;
        self.local(cx, customer).is_some_and(|(_, bucket)| bucket.take(now, units))
    }

    /// Decides by the attempts out as they were heard, or without that by this gateway's share.
    pub(crate) fn place_holds(&self, cx: &Context, a: &Arrival, heard: Option<f64>) -> bool {
        let (customer, plan) = (a.customer, &cx.set.plans[a.plan.0]);
        match heard {
            Some(total) => total <= plan.open,
            None if a.resent && !self.silent(cx, customer) => false,
            None => {
                self.customers.get(&customer).is_some_and(|c| c.out < (plan.open / c.spread).floor().max(1.0))
            }
        }
    }
}
