//! Calls to the counter, and what their answers say about a customer and about the counter itself. Nothing
//! here decides.

use crate::admission::Admission;
use crate::api::*;
use crate::bucket::mix;
use crate::calls::{fate, Call, Purpose};
use crate::context::Context;
use crate::customer::{bucket_name, demand_span, quota_of, span, split, window, EPOCH, WINDOW};
use starlinghill_rate_limit::account::WindowTotal;

/// A gateway without a total of a customer for this long sent the customer's requests as those of an unknown
/// one.
const UNKNOWN_AFTER: Micros = Micros(5_000_000);

impl Admission {
    /// Corrects the quota by the units that a request took beyond those counted for it; negative if it took
    /// fewer.
    pub(crate) fn adjust_units(&mut self, cx: &mut Context, customer: CustomerId, more: f64) {
        if cx.settings.counter_buckets {
            return self.charge(cx, customer, more);
        }
        let Some(c) = self.customers.get_mut(&customer) else { return };
        c.account.charge_more(quota_of(cx, c.plan), cx.now, more);
    }

    /// Records the units of a request that is sent without an answer of the counter.
    pub(crate) fn charge_uncounted(&mut self, cx: &mut Context, customer: CustomerId, units: f64) {
        if cx.settings.counter_buckets {
            return self.charge(cx, customer, units);
        }
        let Some(c) = self.customers.get_mut(&customer) else { return };
        c.account.spend_unconfirmed(quota_of(cx, c.plan), cx.now, units);
    }

    /// Tells a counter that keeps the buckets that units were used without a draw, or that drawn ones were
    /// not used.
    fn charge(&mut self, cx: &mut Context, customer: CustomerId, units: f64) {
        let Some(c) = self.customers.get_mut(&customer) else { return };
        c.account.store.take(quota_of(cx, c.plan), cx.now, units);
        cx.actions.push(Action::Charge(bucket_name(customer), units));
    }

    /// Advances a customer's counts to the present window and epoch.
    pub(crate) fn advance_window(&mut self, cx: &Context, id: CustomerId) {
        let ((window, rest), epoch) = (window(cx, id), span(cx, id, EPOCH).0);
        let silent = self.counter_silent(cx, id);
        self.advance_shares(cx, id, window, rest);
        let Some(c) = self.customers.get_mut(&id) else { return };
        let share = c.counter_share.unwrap_or(1.0 / c.spread.max(1.0));
        let rate = if silent { cx.settings.plans[c.plan].rate * share } else { 0.0 };
        c.account.advance(cx.now, window, epoch, rate, c.in_flight);
    }

    /// Makes a call that adds `units`, and what earlier calls still owe, to the customer's window or to its
    /// count of requests in flight. `asked` is the request, its service, and the time within which a server
    /// must answer.
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
        let open = purpose == Purpose::Open;
        let tally = if open { &mut c.account.in_flight } else { &mut c.account.window };
        if units + tally.unsent() == 0.0 && request.is_none() {
            return;
        }
        let post = tally.start_call(units);
        let probe = request.is_some() && (self.breaker.probing || c.breaker.probing);
        let length = if open { EPOCH } else { WINDOW };
        let tag = post.span << 1 | u64::from(open);
        let name = match cx.settings.counter_buckets {
            true => bucket_name(id),
            false => CountName(mix(mix(id.0) ^ mix(tag)) >> 1),
        };
        let call = Call { at: cx.now, purpose, customer: id, request, units, post, probe };
        self.record_call(cx, name, (length + length).min(Micros(60_000_000)), within, call);
    }

    /// Makes a call for a customer whose requests come through many gateways.
    pub(crate) fn call_named(&mut self, cx: &mut Context, name: CountName, life: Micros, call: Call) {
        let own = self.customers.get(&call.customer);
        let probe = self.breaker.probing || own.is_some_and(|c| c.breaker.probing);
        self.record_call(cx, name, life, Default::default(), Call { probe, ..call });
    }

    fn record_call(
        &mut self,
        cx: &mut Context,
        name: CountName,
        life: Micros,
        within: (ServiceId, Micros),
        call: Call,
    ) {
        cx.actions.push(match cx.settings.counter_buckets {
            true => Action::Draw(name, call.post.amount, within),
            false => Action::Count(name, call.post.amount, life),
        });
        self.calls.entry(name).or_default().push_back(call);
    }

    /// Closes the breakers or lowers their failure counts, and adapts the sampling to the time of the answer.
    fn call_succeeded(&mut self, cx: &Context, call: &Call) {
        self.customers.get_mut(&call.customer).into_iter().for_each(|c| c.breaker.success(call.probe));
        self.sampling.call_answered(cx.now - call.at, cx.settings.count_timeout, call.probe);
        (self.counter_answered, self.last_failed) = (true, None);
        self.breaker.success(call.probe);
    }

    /// Guards against one busy name that its part of the counter can't answer: failures of the same customer
    /// in a row count once for the common breaker, while that customer's own breaker opens.
    ///
    /// `CounterSampling` cuts its share only once for all calls that were pending at the cut.
    pub(crate) fn call_failed(
        &mut self,
        cx: &Context,
        customer: CustomerId,
        probe: bool,
        made: Micros,
        outcome: Outcome,
    ) {
        let now = cx.now;
        // Broken or invalid answers say nothing of the counter's load.
        if matches!(outcome, Outcome::Timeout | Outcome::Rejected) {
            self.sampling.call_overloaded(made, now);
        }
        if self.last_failed != Some(customer) || probe {
            self.breaker.failure(now, probe, cx.settings.cooldown);
        }
        self.last_failed = Some(customer);
        self.customers
            .get_mut(&customer)
            .into_iter()
            .for_each(|c| c.breaker.failure(now, probe, cx.settings.cooldown));
    }

    /// Stores this gateway's share of a customer's quota, as the counter assigned it.
    pub(crate) fn set_share(&mut self, name: CountName, share: f64) {
        let customer = self.calls.get(&name).and_then(|queue| queue.front()).map(|call| call.customer);
        let c = customer.and_then(|id| self.customers.get_mut(&id));
        c.into_iter().for_each(|c| c.counter_share = Some(share.clamp(0.0, 1.0)));
    }

    /// The request for which a call was made; calls are identified as in [`Event::Counted`].
    pub(crate) fn request_of(&self, name: CountName, nth: usize) -> Option<RequestId> {
        self.calls.get(&name)?.get(nth)?.request
    }

    /// Removes and returns the pending call that was answered.
    pub(crate) fn take_call(&mut self, name: CountName, nth: usize) -> Option<Call> {
        let call = self.calls.get_mut(&name).and_then(|queue| queue.remove(nth))?;
        if self.calls.get(&name).is_some_and(|queue| queue.is_empty()) {
            self.calls.remove(&name);
        }
        Some(call)
    }

    /// Processes an answer. Returns the total to decide the request by, if one was heard, and whether the
    /// counter may hold the request's units. `None`: the customer was forgotten meanwhile.
    pub(crate) fn counted(
        &mut self,
        cx: &mut Context,
        call: &Call,
        outcome: Outcome,
        total: f64,
    ) -> Option<(Option<f64>, bool)> {
        self.advance_window(cx, call.customer);
        let (below_one, known_from) = (self.share_below_one(cx, call.customer), self.known_from(cx));
        let (span, rest) = window(cx, call.customer);
        let c = self.customers.get_mut(&call.customer)?;
        let quota = quota_of(cx, c.plan);
        if cx.settings.counter_buckets && outcome == Outcome::Ok {
            c.account.draw_answered(&call.post, cx.now, total);
            c.bucket = None;
            self.call_succeeded(cx, call);
            // What the bucket did not hold was not taken.
            return Some((Some(total), total >= 0.0));
        }
        let mut heard = None;
        if outcome == Outcome::Ok {
            if call.purpose == Purpose::Window {
                let (now, made, elapsed) = (cx.now, call.at, WINDOW - rest);
                let total = WindowTotal { units: total, now, made, span, elapsed, known_from };
                let counted = c.account.window_answered(quota, &call.post, total);
                self.counter_reset_at = if counted.counter_reset { cx.now } else { self.counter_reset_at };
                // Units sent without a total are now included in it. As far as the bucket certainly held
                // them, the other gateways take them into account, so this gateway may send as many beyond
                // the quota again. Otherwise a ceiling would refuse, call after call, what the quota has room
                // for.
                if let Some(unheard) = counted.confirmed {
                    c.beyond_quota.level = (c.beyond_quota.level + unheard).min(c.beyond_quota.depth);
                }
                heard = counted.level;
            } else {
                heard = Some(c.account.in_flight_answered(&call.post, total));
            }
            if !below_one {
                c.bucket = None;
            }
            self.call_succeeded(cx, call);
        } else {
            let open = call.purpose == Purpose::Open;
            let tally = if open { &mut c.account.in_flight } else { &mut c.account.window };
            tally.call_ended(&call.post, fate(outcome));
            self.call_failed(cx, call.customer, call.probe, call.at, outcome);
        }
        // Guards against counting a request twice, or forever though it was refused: a counter that answers
        // late still adds. May count too much for calls made to a counter that has stopped, until the breaker
        // opens. A counter that keeps buckets adds only what these hold, and late calls are settled when
        // their answers arrive.
        let may_hold = !cx.settings.counter_buckets && !outcome.never_ran();
        let held = may_hold && (heard.is_some() || !self.counter_silent(cx, call.customer));
        Some((heard, held))
    }

    /// Makes another call for units that the last one could not carry, once a total was heard.
    pub(crate) fn send_owed(&mut self, cx: &mut Context, call: &Call) {
        let owed = self.customers.get(&call.customer).is_some_and(|c| c.account.window.unsent() > 0.5);
        if owed && call.purpose == Purpose::Window {
            self.call(cx, Purpose::Window, call.customer, None, 0.0);
        }
    }

    /// Returns units that a refused request had added in this window.
    pub(crate) fn take_back(&mut self, cx: &mut Context, customer: CustomerId, span: u64, units: f64) {
        self.advance_window(cx, customer);
        if cx.settings.counter_buckets {
            return self.charge(cx, customer, -units);
        }
        let Some(c) = self.customers.get_mut(&customer) else { return };
        if !c.account.refund(quota_of(cx, c.plan), cx.now, span, units) {
            return;
        }
        // Others see the units as taken until they are back, but an overloaded counter must not get more
        // calls.
        if self.breaker.opened.is_none() && self.sampling.has_spare_capacity() {
            self.call(cx, Purpose::Window, customer, None, 0.0);
        }
    }

    /// Processes the answer to a call for demand or a turn. Returns the total, or the units got from the
    /// turn; `None` if there was no answer.
    pub(crate) fn counted_scattered(
        &mut self,
        cx: &Context,
        call: &Call,
        outcome: Outcome,
        total: f64,
    ) -> Option<f64> {
        if outcome != Outcome::Ok {
            // Guards against more calls for the same turn, which would prolong an overload. Requests wait for
            // the next turn.
            let c = self.customers.get_mut(&call.customer).filter(|_| call.purpose == Purpose::Turn);
            c.into_iter().for_each(|c| c.scattered.turns.mark_spent(call.post.span));
            self.call_failed(cx, call.customer, call.probe, call.at, outcome);
            return None;
        }
        let (span, elapsed) = demand_span(cx, call.customer);
        let c = self.customers.get_mut(&call.customer)?;
        if call.purpose == Purpose::Demand && call.post.span == span {
            c.scattered.was_unknown = c.scattered.heard_at + UNKNOWN_AFTER < cx.now;
            c.scattered.demand.add_total(quota_of(cx, c.plan), cx.now, span, elapsed, total);
            c.scattered.heard_at = cx.now;
        }
        let total = match call.purpose {
            Purpose::Turn => {
                let split = split(&cx.settings, c.plan, c.spread);
                c.scattered.turns.call_answered(
                    &split,
                    cx.now,
                    call.post.span,
                    (call.post.amount, call.units),
                    total,
                )
            }
            _ => total,
        };
        self.call_succeeded(cx, call);
        Some(total)
    }

    /// Adds a request to the customer's requests in flight.
    pub(crate) fn take_slot(&mut self, customer: CustomerId) {
        self.customers.get_mut(&customer).into_iter().for_each(|c| c.in_flight += 1.0);
    }

    /// Removes a request from the customer's requests in flight.
    pub(crate) fn release_slot(&mut self, cx: &mut Context, customer: CustomerId) {
        self.customers.get_mut(&customer).into_iter().for_each(|c| c.in_flight -= 1.0);
        self.sync_slots(cx, customer);
    }

    /// Lowers the shared count of requests in flight where it is higher than what this gateway has.
    pub(crate) fn sync_slots(&mut self, cx: &mut Context, customer: CustomerId) {
        self.advance_window(cx, customer);
        let Some(c) = self.customers.get_mut(&customer) else { return };
        let surplus = c.account.in_flight.surplus(c.in_flight);
        if surplus > 0.5 && self.breaker.opened.is_none() {
            c.account.in_flight.spend(-surplus);
            self.call(cx, Purpose::Open, customer, None, 0.0);
        }
    }
}
