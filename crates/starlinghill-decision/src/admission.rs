//! Admission: each request is checked against its customer's quota, by the shared count where the counter
//! answers, by a local bucket where it does not.

use crate::api::*;
use crate::breaker::Breaker;
use crate::bucket::{mix, TokenBucket};
use crate::calls::{Call, Purpose};
use crate::context::{Context, SMOOTH};
use crate::repeats::{Refusal, Repeats};
use crate::scattered::Scattered;
use crate::tally::Tally;
use starlinghill_estimate::asking::Asking;
use starlinghill_ledger::flow::Flow;
use starlinghill_ledger::shares::{Exchange, Shares};
use starlinghill_ledger::usual::Usual;
use starlinghill_ledger::{Quota, Store, Told};
use std::collections::{BTreeMap, VecDeque};

/// The share of repeats that ask is the share of first tries to this power.
pub(crate) const REPEAT_POWER: f64 = 3.0;
/// Life of one count of attempts out, so that what a killed gateway held is forgotten.
const EPOCH: Micros = Micros(5_000_000);
/// Life of idle customers, of whom many come once.
pub(crate) const FORGET: Micros = Micros(30_000_000);
/// The length of a window. Long ones are followed over their edges seldom; a name lives for 60 s at most.
pub(crate) const WINDOW: Micros = Micros(25_000_000);

/// One customer as this gateway knows it.
#[derive(Debug, Default)]
pub(crate) struct Customer {
    pub(crate) refused: Option<Refusal>,
    pub(crate) plan: usize,
    pub(crate) spread: f64,
    pub(crate) window: Tally,
    pub(crate) epoch: Tally,
    /// What all gateways share, as the totals tell it.
    pub(crate) store: Store,
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
    /// What is kept of one that comes through many gateways.
    pub(crate) scattered: Scattered,
}

/// What came of asking for a request.
pub(crate) enum Asked {
    /// The counter is asked; its answer decides.
    Called,
    /// It is not asked: what is known here decides.
    Silent,
    /// Known full: a call could only tell the same.
    Full,
    /// There is nothing to ask for.
    Free,
}

pub(crate) fn quota_of(cx: &Context, plan: usize) -> Quota {
    Quota { rate: cx.set.plans[plan].rate, burst: cx.set.plans[plan].burst }
}

/// The current window (or epoch) of a customer; the customer's hash shifts its edges, so that not all
/// windows end at once.
pub(crate) fn span(cx: &Context, customer: CustomerId, length: Micros) -> (u64, Micros) {
    let shifted = cx.now.0 + mix(customer.0) % length.0;
    (shifted / length.0, Micros(length.0 - shifted % length.0))
}

/// The customers' quotas as this gateway knows them.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    pub(crate) breaker: Breaker,
    pub(crate) asking: Asking,
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
    repeats: Repeats,
    /// What part of the requests the quotas bear, by plan.
    pub(crate) usual: Vec<Usual>,
    /// The usual worth of a request.
    usual_worth: f64,
}

impl Admission {
    pub(crate) fn new(gateways: u32) -> Admission {
        Admission { asking: Asking::of(gateways), ..Admission::default() }
    }

    /// How many things are kept in mind.
    pub(crate) fn kept(&self) -> usize {
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

    /// The units of a request turned out to be others.
    pub(crate) fn settled(&mut self, cx: &Context, customer: CustomerId, more: f64) {
        let Some(c) = self.customers.get_mut(&customer) else { return };
        c.window.owed += more;
        c.store.take(quota_of(cx, c.plan), cx.now, more);
    }

    /// Brings a customer's counts to the present window and epoch.
    pub(crate) fn roll(&mut self, cx: &Context, id: CustomerId) {
        let ((window, rest), epoch) = (span(cx, id, WINDOW), span(cx, id, EPOCH).0);
        let silent = self.silent(cx, id);
        self.roll_shares(cx, id, window, rest);
        let Some(c) = self.customers.get_mut(&id) else { return };
        if c.window.span != window {
            // What is on no counter yet goes on in the new window.
            let (owed, unheard, at) = (c.window.owed, c.window.unheard, c.window.at);
            c.window = Tally { span: window, owed, unheard, at, ..Tally::default() };
        }
        // What was spent unheard is made good by this gateway's part of the rate. Guards against a spend of
        // seconds ago that others would take for one of now.
        let made_good = cx.set.plans[c.plan].rate / c.spread.max(1.0) * (cx.now - c.window.at).secs();
        c.window.owed -= if silent { made_good.min(c.window.owed).max(0.0) } else { 0.0 };
        c.window.unheard = c.window.unheard.min(c.window.owed).max(0.0);
        c.window.at = cx.now;
        if let Some(c) = self.customers.get_mut(&id).filter(|c| c.epoch.span != epoch) {
            c.epoch = Tally { span: epoch, owed: c.out, ..Tally::default() };
        }
    }

    /// What a customer's quota has room for, as far as is known here.
    pub(crate) fn room(&self, cx: &Context, customer: CustomerId) -> Option<f64> {
        let c = self.customers.get(&customer)?;
        c.store.level(quota_of(cx, c.plan), cx.now)
    }

    /// The counter says nothing of this customer for a while: then the local bucket alone decides.
    pub(crate) fn silent(&self, cx: &Context, customer: CustomerId) -> bool {
        let own_open = self.customers.get(&customer).is_some_and(|c| c.breaker.opened.is_some());
        !cx.set.counter || self.breaker.opened.is_some() || own_open
    }

    /// A customer so spread that a gateway's share of its store holds less than one request.
    fn slight(&self, cx: &Context, customer: CustomerId) -> bool {
        let burst = |c: &Customer| cx.set.plans[c.plan].burst;
        self.customers.get(&customer).is_some_and(|c| c.spread * cx.set.most_units > burst(c))
    }

    /// Whether a request is to ask. Guards against a counter that our own calls drown, slow or near its
    /// capacity: while calls fail only a part asks, what is worth much first, repeats last, as they were
    /// refused a moment ago.
    fn asks(&self, cx: &mut Context, power: f64) -> bool {
        self.breaker.opened.is_some() || self.asking.asks(cx.rng.f64(), power)
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
            self.call(cx, Purpose::Window, customer, Some(a.id), units);
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
            self.call(cx, Purpose::Open, a.customer, Some(a.id), 1.0);
            Asked::Called
        } else {
            Asked::Silent
        }
    }

    fn call(
        &mut self,
        cx: &mut Context,
        purpose: Purpose,
        id: CustomerId,
        request: Option<RequestId>,
        units: f64,
    ) {
        let Some(c) = self.customers.get_mut(&id) else { return };
        let (span, extra) = match purpose {
            Purpose::Window => (c.window.span, c.window.owed),
            _ => (c.epoch.span, c.epoch.owed),
        };
        if units + extra == 0.0 && request.is_none() {
            return;
        }
        let tally = if purpose == Purpose::Open { &mut c.epoch } else { &mut c.window };
        (tally.owed, tally.posting) = (tally.owed - extra, tally.posting + extra);
        let unheard = std::mem::take(&mut tally.unheard);
        let length = if purpose == Purpose::Open { EPOCH } else { WINDOW };
        let name = CountName(mix(mix(id.0) ^ mix(span << 1 | u64::from(purpose == Purpose::Open))) >> 1);
        let probe = request.is_some() && (self.breaker.probing || self.customers[&id].breaker.probing);
        let (amount, customer) = (units + extra, id);
        let call =
            Call { at: cx.now, purpose, customer, span, request, amount, units, extra, unheard, probe };
        self.calls.entry(name).or_default().push_back(call);
        cx.out.push(Action::Count(name, amount, (length + length).min(Micros(60_000_000))));
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
        if matches!(outcome, Outcome::Timeout | Outcome::Full) {
            self.asking.jammed(made, now);
        }
        if self.last_failed != Some(customer) || probe {
            self.breaker.failure(now, probe);
        }
        self.last_failed = Some(customer);
        self.customers.get_mut(&customer).into_iter().for_each(|c| c.breaker.failure(now, probe));
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
        if matches!(call.purpose, Purpose::Demand | Purpose::Turn) {
            return Some((self.counted_scattered(cx, call, outcome, total), false));
        }
        self.roll(cx, call.customer);
        let plan = self.customers.get(&call.customer).map(|c| c.plan)?;
        let (slight, known_from) = (self.slight(cx, call.customer), self.known_from(cx));
        let (index, rest) = span(cx, call.customer, WINDOW);
        let c = self.customers.get_mut(&call.customer)?;
        let tally = if call.purpose == Purpose::Window { &mut c.window } else { &mut c.epoch };
        let current = tally.span == call.span;
        if current {
            tally.posting -= call.extra;
        }
        let mut heard = None;
        if outcome == Outcome::Ok {
            self.heard = true;
            if current {
                tally.posted += call.amount;
            }
            if call.purpose == Purpose::Window {
                let (quota, own, fresh) = (quota_of(cx, plan), call.amount, call.amount - call.extra);
                if current {
                    let (elapsed, made) = (WINDOW - rest, call.at);
                    let (span, posted) = (index, tally.posted);
                    let told = Told { span, elapsed, made, known_from, posted, total, own, fresh };
                    if c.store.heard(quota, cx.now, told) {
                        (self.lost_at, c.window.posted) = (cx.now, own);
                    }
                    // What went on unheard is heard of now, and as far as the floor holds it, others reckon
                    // with it from here on. Guards against refusing under a ceiling, call after call, what
                    // the quota has room for.
                    if c.store.floor() >= 0.0 {
                        c.beyond.level = (c.beyond.level + call.unheard).min(c.beyond.depth);
                    }
                } else {
                    // The window ended meanwhile: its total says nothing of this one, and no later one
                    // tells of the amount.
                    c.store.take(quota, cx.now, fresh);
                }
                heard = c.store.level(quota, cx.now);
            } else {
                heard = Some(total + if current { tally.unposted() } else { 0.0 });
            }
            c.breaker.success(call.probe);
            if !slight {
                c.bucket = None;
            }
            self.asking.answered(cx.now - call.at, cx.set.count_timeout, call.probe);
            self.last_failed = None;
            self.breaker.success(call.probe);
        } else {
            if current && outcome.never_ran() {
                (tally.owed, tally.unheard) = (tally.owed + call.extra, tally.unheard + call.unheard);
            }
            self.call_failed(cx, call.customer, call.probe, call.at, outcome);
        }
        // Guards against counting a request twice, or for good though it was refused: a counter that is late
        // still adds. May hurt where it fell silent, for the calls made until the breaker opens.
        let held = !outcome.never_ran() && (heard.is_some() || !self.silent(cx, call.customer));
        Some((heard, held))
    }

    /// What the last call could not carry goes with a call of its own, once one was heard.
    pub(crate) fn post_owed(&mut self, cx: &mut Context, call: &Call) {
        let owed = self.customers.get(&call.customer).is_some_and(|c| c.window.owed > 0.5);
        if owed && call.purpose == Purpose::Window {
            self.call(cx, Purpose::Window, call.customer, None, 0.0);
        }
    }

    pub(crate) fn take_back(&mut self, cx: &mut Context, customer: CustomerId, span: u64, units: f64) {
        self.roll(cx, customer);
        let Some(c) = self.customers.get_mut(&customer) else { return };
        c.store.take(quota_of(cx, c.plan), cx.now, -units);
        if c.window.span != span {
            return; // The name that holds them is not asked for any more.
        }
        c.window.owed -= units;
        // Others see it as taken until it is back, but a counter that can't bear all must not bear more.
        if self.breaker.opened.is_none() && self.asking.spare() {
            self.call(cx, Purpose::Window, customer, None, 0.0);
        }
    }

    /// Decides a request by the total heard, or without one by the local bucket.
    pub(crate) fn window_holds(&mut self, cx: &Context, a: &Arrival, heard: Option<f64>, held: bool) -> bool {
        let (customer, units, plan) = (a.customer, a.units, a.plan.0);
        match heard {
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
                let c = self.customers.get_mut(&customer).filter(|_| ok && !held);
                c.into_iter().for_each(|c| {
                    c.store.take(quota_of(cx, plan), cx.now, units);
                    c.window.owed += units;
                    c.window.unheard += units;
                });
                ok
            }
        }
    }

    /// By a total heard just now, the store held what was taken here, whenever the others took theirs.
    fn sure(&self, cx: &Context, customer: CustomerId) -> bool {
        let holds = |c: &Customer| c.store.heard_at() == cx.now && c.store.floor() >= 0.0;
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
        let surplus = c.epoch.posted + c.epoch.posting + c.epoch.owed - c.out;
        if surplus > 0.5 && self.breaker.opened.is_none() {
            c.epoch.owed -= surplus;
            self.call(cx, Purpose::Open, customer, None, 0.0);
        }
    }
}
