//! The way to the shared counter: calls under way, and what their answers say of a customer and of the
//! counter itself. Nothing here decides.

use crate::admission::Admission;
use crate::api::*;
use crate::bucket::mix;
use crate::calls::{fate, Call, Purpose};
use crate::context::Context;
use crate::customer::{bucket_name, demand_span, quota_of, span, split, window, EPOCH, WINDOW};
use starlinghill_rate_limit::account::Total;

/// A gateway that heard nothing of a customer for this long is one of those that let it through unasked.
const STRANGER: Micros = Micros(5_000_000);

impl Admission {
    /// The units of a request turned out to be others.
    pub(crate) fn settled(&mut self, cx: &mut Context, customer: CustomerId, more: f64) {
        if cx.set.counter_buckets {
            return self.charge(cx, customer, more);
        }
        let Some(c) = self.customers.get_mut(&customer) else { return };
        c.account.settle(quota_of(cx, c.plan), cx.now, more);
    }

    /// A request goes on without a word of the counter's.
    pub(crate) fn used_unheard(&mut self, cx: &mut Context, customer: CustomerId, units: f64) {
        if cx.set.counter_buckets {
            return self.charge(cx, customer, units);
        }
        let Some(c) = self.customers.get_mut(&customer) else { return };
        c.account.spend_unheard(quota_of(cx, c.plan), cx.now, units);
    }

    /// Units of a store that the counter keeps were used without its word, or drawn ones were not.
    fn charge(&mut self, cx: &mut Context, customer: CustomerId, units: f64) {
        let Some(c) = self.customers.get_mut(&customer) else { return };
        c.account.store.take(quota_of(cx, c.plan), cx.now, units);
        cx.out.push(Action::Charge(bucket_name(customer), units));
    }

    /// Brings a customer's counts to the present window and epoch.
    pub(crate) fn roll(&mut self, cx: &Context, id: CustomerId) {
        let ((window, rest), epoch) = (window(cx, id), span(cx, id, EPOCH).0);
        let silent = self.silent(cx, id);
        self.roll_shares(cx, id, window, rest);
        let Some(c) = self.customers.get_mut(&id) else { return };
        let share = c.share.unwrap_or(1.0 / c.spread.max(1.0));
        let rate = if silent { cx.set.plans[c.plan].rate * share } else { 0.0 };
        c.account.roll(cx.now, window, epoch, rate, c.out);
    }

    pub(crate) fn call(
        &mut self,
        cx: &mut Context,
        purpose: Purpose,
        id: CustomerId,
        asked: Option<(RequestId, ServiceId, Micros)>,
        units: f64,
    ) {
        let Some(c) = self.customers.get_mut(&id) else { return };
        let (request, within) = (asked.map(|a| a.0), asked.map(|a| (a.1, a.2)).unwrap_or_default());
        let places = purpose == Purpose::Open;
        let tally = if places { &mut c.account.places } else { &mut c.account.window };
        if units + tally.owed() == 0.0 && request.is_none() {
            return;
        }
        let post = tally.post(units);
        let probe = request.is_some() && (self.breaker.probing || c.breaker.probing);
        let length = if places { EPOCH } else { WINDOW };
        let tag = post.span << 1 | u64::from(places);
        let name = match cx.set.counter_buckets {
            true => bucket_name(id),
            false => CountName(mix(mix(id.0) ^ mix(tag)) >> 1),
        };
        let call = Call { at: cx.now, purpose, customer: id, request, units, post, probe };
        self.made(cx, name, (length + length).min(Micros(60_000_000)), within, call);
    }

    /// A call for a customer that comes through many gateways.
    pub(crate) fn call_for(&mut self, cx: &mut Context, name: CountName, life: Micros, call: Call) {
        let own = self.customers.get(&call.customer);
        let probe = self.breaker.probing || own.is_some_and(|c| c.breaker.probing);
        self.made(cx, name, life, Default::default(), Call { probe, ..call });
    }

    fn made(
        &mut self,
        cx: &mut Context,
        name: CountName,
        life: Micros,
        within: (ServiceId, Micros),
        call: Call,
    ) {
        cx.out.push(match cx.set.counter_buckets {
            true => Action::Draw(name, call.post.amount, within),
            false => Action::Count(name, call.post.amount, life),
        });
        self.calls.entry(name).or_default().push_back(call);
    }

    fn call_succeeded(&mut self, cx: &Context, call: &Call) {
        self.customers.get_mut(&call.customer).into_iter().for_each(|c| c.breaker.success(call.probe));
        self.asking.call_answered(cx.now - call.at, cx.set.count_timeout, call.probe);
        (self.heard, self.last_failed) = (true, None);
        self.breaker.success(call.probe);
    }

    /// Guards against one hot name that fills its part of the counter: failures of the same customer in a row
    /// count once for the common breaker, while that customer's own breaker opens.
    ///
    /// One cut of the share that asks answers for all calls that were out when it was made (`asking`).
    pub(crate) fn call_failed(
        &mut self,
        cx: &Context,
        customer: CustomerId,
        probe: bool,
        made: Micros,
        outcome: Outcome,
    ) {
        let now = cx.now;
        // What comes back spoilt or broken says nothing of the counter's load.
        if matches!(outcome, Outcome::Timeout | Outcome::Rejected) {
            self.asking.call_overloaded(made, now);
        }
        if self.last_failed != Some(customer) || probe {
            self.breaker.failure(now, probe, cx.set.cooldown);
        }
        self.last_failed = Some(customer);
        self.customers
            .get_mut(&customer)
            .into_iter()
            .for_each(|c| c.breaker.failure(now, probe, cx.set.cooldown));
    }

    /// The counter tells this gateway's share with an answer that is still to be taken in.
    pub(crate) fn told_share(&mut self, name: CountName, share: f64) {
        let customer = self.calls.get(&name).and_then(|queue| queue.front()).map(|call| call.customer);
        let c = customer.and_then(|id| self.customers.get_mut(&id));
        c.into_iter().for_each(|c| c.share = Some(share.clamp(0.0, 1.0)));
    }

    /// The request for which that call was made.
    pub(crate) fn asked_for(&self, name: CountName, nth: usize) -> Option<RequestId> {
        self.calls.get(&name)?.get(nth)?.request
    }

    /// The call whose answer has come: the so many-th of those still out for its name.
    pub(crate) fn answered(&mut self, name: CountName, nth: usize) -> Option<Call> {
        let call = self.calls.get_mut(&name).and_then(|queue| queue.remove(nth))?;
        if self.calls.get(&name).is_some_and(|queue| queue.is_empty()) {
            self.calls.remove(&name);
        }
        Some(call)
    }

    /// Takes an answer in; returns what decides the request, if a total was heard, and whether the counter
    /// must be taken to hold the request's units. `None`: the customer was forgotten meanwhile.
    pub(crate) fn counted(
        &mut self,
        cx: &mut Context,
        call: &Call,
        outcome: Outcome,
        total: f64,
    ) -> Option<(Option<f64>, bool)> {
        self.roll(cx, call.customer);
        let (slight, known_from) = (self.slight(cx, call.customer), self.known_from(cx));
        let (span, rest) = window(cx, call.customer);
        let c = self.customers.get_mut(&call.customer)?;
        let quota = quota_of(cx, c.plan);
        if cx.set.counter_buckets && outcome == Outcome::Ok {
            c.account.drawn(&call.post, cx.now, total);
            c.bucket = None;
            self.call_succeeded(cx, call);
            // What the store did not hold was not taken.
            return Some((Some(total), total >= 0.0));
        }
        let mut heard = None;
        if outcome == Outcome::Ok {
            if call.purpose == Purpose::Window {
                let (now, made, elapsed) = (cx.now, call.at, WINDOW - rest);
                let total = Total { units: total, now, made, span, elapsed, known_from };
                let told = c.account.window_counted(quota, &call.post, total);
                self.lost_at = if told.emptied { cx.now } else { self.lost_at };
                // What went on unheard is heard of now, and as far as the floor holds it, others reckon with it
                // from here on. Guards against refusing under a ceiling, call after call, what the quota has
                // room for.
                if let Some(unheard) = told.to_floor {
                    c.beyond.level = (c.beyond.level + unheard).min(c.beyond.depth);
                }
                heard = told.level;
            } else {
                heard = Some(c.account.places_counted(&call.post, total));
            }
            if !slight {
                c.bucket = None;
            }
            self.call_succeeded(cx, call);
        } else {
            let places = call.purpose == Purpose::Open;
            let tally = if places { &mut c.account.places } else { &mut c.account.window };
            tally.came_back(&call.post, fate(outcome));
            self.call_failed(cx, call.customer, call.probe, call.at, outcome);
        }
        // Guards against counting a request twice, or for good though it was refused: a counter that is late
        // still adds. May hurt where it fell silent, for the calls made until the breaker opens. One that keeps the
        // stores adds only what these hold: what became of a late call is settled where its answer comes in.
        let may_hold = !cx.set.counter_buckets && !outcome.never_ran();
        let held = may_hold && (heard.is_some() || !self.silent(cx, call.customer));
        Some((heard, held))
    }

    /// What the last call could not carry goes with a call of its own, once one was heard.
    pub(crate) fn post_owed(&mut self, cx: &mut Context, call: &Call) {
        let owed = self.customers.get(&call.customer).is_some_and(|c| c.account.window.owed() > 0.5);
        if owed && call.purpose == Purpose::Window {
            self.call(cx, Purpose::Window, call.customer, None, 0.0);
        }
    }

    pub(crate) fn take_back(&mut self, cx: &mut Context, customer: CustomerId, span: u64, units: f64) {
        self.roll(cx, customer);
        if cx.set.counter_buckets {
            return self.charge(cx, customer, -units);
        }
        let Some(c) = self.customers.get_mut(&customer) else { return };
        if !c.account.take_back(quota_of(cx, c.plan), cx.now, span, units) {
            return;
        }
        // Others see it as taken until it is back, but a counter that can't bear all must not bear more.
        if self.breaker.opened.is_none() && self.asking.has_spare_capacity() {
            self.call(cx, Purpose::Window, customer, None, 0.0);
        }
    }

    /// Takes in what a call for such a customer came to; returns the total if one was heard, or what was
    /// got of a turn.
    pub(crate) fn counted_scattered(
        &mut self,
        cx: &Context,
        call: &Call,
        outcome: Outcome,
        total: f64,
    ) -> Option<f64> {
        if outcome != Outcome::Ok {
            // Guards against a jam that calls for the same turn would only make longer. What they lack
            // comes with the next.
            let c = self.customers.get_mut(&call.customer).filter(|_| call.purpose == Purpose::Turn);
            c.into_iter().for_each(|c| c.scattered.turns.give_up(call.post.span));
            self.call_failed(cx, call.customer, call.probe, call.at, outcome);
            return None;
        }
        let (span, elapsed) = demand_span(cx, call.customer);
        let c = self.customers.get_mut(&call.customer)?;
        if call.purpose == Purpose::Demand && call.post.span == span {
            c.scattered.stranger = c.scattered.heard + STRANGER < cx.now;
            c.scattered.demand.heard(quota_of(cx, c.plan), cx.now, span, elapsed, total);
            c.scattered.heard = cx.now;
        }
        let total = match call.purpose {
            Purpose::Turn => {
                let split = split(&cx.set, c.plan, c.spread);
                c.scattered.turns.got(&split, cx.now, call.post.span, (call.post.amount, call.units), total)
            }
            _ => total,
        };
        self.call_succeeded(cx, call);
        Some(total)
    }

    /// A request takes its place among the customer's attempts out.
    pub(crate) fn take_place(&mut self, customer: CustomerId) {
        self.customers.get_mut(&customer).into_iter().for_each(|c| c.out += 1.0);
    }

    /// A request gives its place back.
    pub(crate) fn leave_place(&mut self, cx: &mut Context, customer: CustomerId) {
        self.customers.get_mut(&customer).into_iter().for_each(|c| c.out -= 1.0);
        self.sync_places(cx, customer);
    }

    /// Puts the shared count of attempts out right where it says more than is out: a place let go.
    pub(crate) fn sync_places(&mut self, cx: &mut Context, customer: CustomerId) {
        self.roll(cx, customer);
        let Some(c) = self.customers.get_mut(&customer) else { return };
        let surplus = c.account.places.surplus(c.out);
        if surplus > 0.5 && self.breaker.opened.is_none() {
            c.account.places.spend(-surplus);
            self.call(cx, Purpose::Open, customer, None, 0.0);
        }
    }
}
