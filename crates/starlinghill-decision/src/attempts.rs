//! The life of a request: arrival, attempts one after another, waiting for a server, final answer.

use crate::admission::Admission;
use crate::api::*;
use crate::calls::{CallDecision, Purpose};
use crate::context::{Context, Timer};
use crate::customer::FORGET;
use crate::request::{Attempt, Request};
use crate::services::Fleets;
use std::collections::BTreeMap;

/// Fraction of failed or late attempts over all servers below which the trouble is with single servers.
const NORMAL_FAIL_SHARE: f64 = 0.15;
/// A first attempt is given up early with this fraction of the target left, and gets at least as much.
pub(crate) const RETRY_RESERVE: f64 = 0.3;
/// Longest wait for a server, as a fraction of the target, and the interval of retrying held requests.
const HOLD_PART: f64 = 0.3;
const HOLD_INTERVAL: Micros = Micros(10_000);

/// One gateway. It shares nothing with other gateways but what the counter and messages tell it.
#[derive(Default)]
pub struct Gateway {
    pub(crate) cx: Context,
    pub(crate) admission: Admission,
    pub(crate) fleets: Fleets,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) held: Vec<RequestId>,
    pub(crate) hold_timer: bool,
}

impl Gateway {
    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.cx.now = self.cx.now.max(now);
        self.cx.started.get_or_insert(now);
        match event {
            Event::Servers(scope, entries) => {
                self.fleets.update(&mut self.cx, scope, entries);
                self.retry_held();
            }
            Event::Request(arrival) => self.on_request(arrival),
            Event::Timer(timer) => self.on_timer(timer),
            Event::StreamStarted(id) => {
                self.requests.get_mut(&id).into_iter().for_each(|r| r.streaming = true);
            }
            Event::ClientGone(id) => self.finish(id, None),
            Event::Probed(..) => {}
            Event::Counted(name, nth, outcome, total) => self.on_counted(name, nth, outcome, total),
            Event::FastestServers(name, nth, fastest) => {
                let id = self.admission.request_of(name, nth);
                let r = id.and_then(|id| self.requests.get_mut(&id));
                r.into_iter().for_each(|r| (r.fastest, r.fastest_at) = (fastest.clone(), self.cx.now));
            }
            Event::Isolated(isolated) => self.cx.isolated = isolated,
            Event::Share(name, share) => self.admission.set_share(name, share),
            Event::Peer(from, message) => self.admission.on_peer(&mut self.cx, from, &message),
            Event::AttemptEnded(end) => self.on_attempt(end),
            Event::BodyComplete(id) => self.upload_complete(id),
            Event::ResponseBroken(server) => self.fleets.of_server(server).response_broke(&self.cx, server),
            Event::Rules(rules) => self.on_rules(rules),
            Event::ZoneShares(parts) => {
                self.fleets.all().for_each(|fleet| fleet.zones.update(parts.clone()));
                self.retry_held();
            }
            Event::Learned(learned) => self.on_learned(learned),
            Event::ShutDown(by) => self.on_shut_down(by),
        }
        self.admission.send_messages(&mut self.cx);
        out.append(&mut self.cx.actions);
    }

    fn on_timer(&mut self, id: TimerId) {
        match self.cx.timers.remove(&id) {
            // Guarantees an answer by the deadline.
            Some(Timer::Deadline(id)) if self.requests.get(&id).is_none_or(|r| r.done || r.streaming) => {}
            Some(Timer::Deadline(id)) => self.refuse(id),
            Some(Timer::Held) => {
                self.hold_timer = false;
                self.retry_held();
            }
            Some(Timer::Resubscribe) => {
                self.cx.actions.extend(self.cx.settings.must_subscribe.then_some(Action::Subscribe))
            }
            Some(Timer::Closing) => self.refuse_open(),
            Some(Timer::Sweep) => {
                self.admission.sweep(&self.cx);
                self.cx.timer(Timer::Sweep, FORGET);
            }
            None => {}
        }
    }

    fn on_request(&mut self, a: Arrival) {
        let (id, now, customer, plan) = (a.id, self.cx.now, a.customer, a.plan.0);
        if a.class.0 >= self.cx.settings.classes.len() || plan >= self.cx.settings.plans.len() {
            return self.cx.actions.push(Action::Refuse(id, None));
        }
        self.fleets.earn(&self.cx, a.service);
        let a = self.cx.cap_deadline(a);
        // Two ticks before the deadline: the timer may come one tick late, and the answer takes one.
        self.cx.timer(Timer::Deadline(id), a.deadline - now - self.cx.settings.tick - self.cx.settings.tick);
        let resent = self.admission.record_arrival(&self.cx, &a);
        let own_max = if a.max_attempts > 0 { a.max_attempts } else { usize::MAX };
        let max_attempts = if a.once { 1 } else { self.cx.settings.max_attempts.min(own_max) };
        let arrival = Arrival { resent, ..a };
        self.requests.insert(id, Request { arrival, arrived: now, max_attempts, ..Request::default() });
        self.admission.advance_window(&self.cx, customer);
        let first = self.requests.get(&id).map(|r| self.admission.first_call(&self.cx, &r.arrival));
        first.into_iter().for_each(|first| self.ask(id, first));
    }

    /// Adaptive throttling before the servers: refuses at random the fraction that lately came back late, low
    /// worth first. Guards against overload where a gateway's limits are too small to bound it. Only requests
    /// within their quota count: what a quota refuses is no load that servers failed to handle.
    fn shed(&mut self, id: RequestId) -> bool {
        let Some(r) = self.requests.get(&id) else { return false };
        if let Some(soonest) = r.soonest(&self.cx) {
            return soonest > self.cx.within(&r.arrival);
        }
        let power = self.admission.shed_power(self.cx.worth(&r.arrival));
        let fleet = self.fleets.get(r.arrival.service);
        let pass = if fleet.is_sparse(&self.cx) { fleet.throttle.pass_share() } else { 1.0 };
        pass < 1.0 && self.cx.rng.f64() > pass.powf(power)
    }

    fn ask(&mut self, id: RequestId, purpose: Purpose) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let asked = match purpose {
            Purpose::Window => self.admission.ask_window(&mut self.cx, &r.arrival),
            Purpose::Open => self.admission.ask_slot(&mut self.cx, &r.arrival),
            Purpose::Demand => self.admission.ask_demand(&mut self.cx, &r.arrival),
            Purpose::Turn => self.admission.ask_turn(&mut self.cx, &r.arrival),
        };
        match asked {
            CallDecision::Called => r.calls_pending += 1,
            CallDecision::NotCalled => self.decide(id, purpose, None),
            CallDecision::KnownFull => self.refuse(id),
            CallDecision::NothingToAsk if purpose == Purpose::Turn => self.ask(id, Purpose::Open),
            CallDecision::NothingToAsk => self.admit(id),
        }
    }

    /// Continues a request by the answer of the counter, or without one.
    fn decide(&mut self, id: RequestId, purpose: Purpose, heard: Option<f64>) {
        let Some(r) = self.requests.get(&id) else { return };
        let customer = r.arrival.customer;
        match purpose {
            Purpose::Window | Purpose::Demand | Purpose::Turn if r.done => {}
            Purpose::Demand if !self.admission.demand_allows(&mut self.cx, &r.arrival) => self.refuse(id),
            Purpose::Demand if !self.admission.own_ceiling_allows(&self.cx, &r.arrival) => {
                self.ask(id, Purpose::Turn)
            }
            Purpose::Demand => self.ask(id, Purpose::Open),
            Purpose::Turn if heard.is_some_and(|got| got >= r.arrival.units) => self.ask(id, Purpose::Open),
            Purpose::Turn => self.refuse(id),
            Purpose::Window if self.admission.window_allows(&self.cx, &r.arrival, heard) => {
                if heard.is_none() && r.counted_span.is_none() {
                    self.admission.charge_uncounted(&mut self.cx, customer, r.arrival.units);
                }
                self.ask(id, Purpose::Open)
            }
            Purpose::Window => self.refuse(id),
            Purpose::Open => {
                match self.admission.slot_allows(&self.cx, &r.arrival, heard) && !r.done {
                    true => self.admit(id),
                    false => self.refuse(id),
                }
                self.admission.sync_slots(&mut self.cx, customer);
            }
        }
    }

    fn on_counted(&mut self, name: CountName, nth: usize, outcome: Outcome, total: f64) {
        let Some(call) = self.admission.take_call(name, nth) else { return };
        call.request.and_then(|id| self.requests.get_mut(&id)).into_iter().for_each(|r| r.calls_pending -= 1);
        let counted = match call.purpose {
            Purpose::Window | Purpose::Open => self.admission.counted(&mut self.cx, &call, outcome, total),
            Purpose::Demand | Purpose::Turn => {
                Some((self.admission.counted_scattered(&self.cx, &call, outcome, total), false))
            }
        };
        let Some((heard, held)) = counted else { return };
        let held = held && call.purpose == Purpose::Window;
        if let Some(r) = call.request.and_then(|id| self.requests.get_mut(&id)).filter(|_| held) {
            r.counted_span = Some(call.post.span);
        }
        if let Some(id) = call.request {
            self.decide(id, call.purpose, heard);
        }
        if heard.is_some() {
            self.admission.send_owed(&mut self.cx, &call);
        }
        if let Some(id) = call.request {
            self.forget_if_done(id);
        }
    }

    fn admit(&mut self, id: RequestId) {
        if self.shed(id) {
            return self.finish(id, Some(Action::Refuse(id, None))); // Not due to the quota: no retry-after.
        }
        let Some(r) = self.requests.get_mut(&id) else { return };
        if self.cx.settings.plans[r.arrival.plan.0].open > 0.0 {
            r.holds_slot = true;
            self.admission.take_slot(r.arrival.customer);
        }
        self.dispatch(id);
    }

    /// Sends the next attempt, or holds the request until a server is free.
    fn dispatch(&mut self, id: RequestId) {
        if let Some(server) = self.pick(id) {
            return self.send(id, server);
        }
        if let Some(r) = self.requests.get_mut(&id).filter(|r| r.held_since.is_none()) {
            r.held_since = Some(self.cx.now);
            self.held.push(id);
        }
        self.arm_hold_timer();
    }

    fn pick(&mut self, id: RequestId) -> Option<ServerId> {
        self.fleets.pick(&mut self.cx, self.requests.get(&id)?)
    }

    fn arm_hold_timer(&mut self) {
        if !self.held.is_empty() && !self.hold_timer {
            self.hold_timer = true;
            self.cx.timer(Timer::Held, HOLD_INTERVAL);
        }
    }

    fn send(&mut self, id: RequestId, server: ServerId) {
        let now = self.cx.now;
        let Some(r) = self.requests.get_mut(&id) else { return };
        let class = &self.cx.settings.classes[r.arrival.class.0];
        // Gives up an attempt while another one could still meet the target. Guards against servers that stop
        // answering. Not while attempts fail or are late everywhere: giving up wastes work in overload.
        let again = !self.cx.settings.wait_to_deadline
            && class.effect != Effect::Unsafe
            && !class.stream
            && r.attempts.len() + 1 < r.max_attempts
            && (class.effect == Effect::Safe || class.group == Group::All)
            && self.fleets.get(r.arrival.service).fail_share < NORMAL_FAIL_SHARE;
        let early = r.arrived + class.target.times(1.0 - RETRY_RESERVE);
        let until =
            if again && early > now + class.target.times(RETRY_RESERVE) { early } else { r.arrival.deadline };
        r.attempts.push(Attempt { server, sent: now, in_flight: true, may_have_run: false });
        r.held_since = None;
        r.counted_span = None;
        let (units, until) = (r.arrival.units, until.min(r.arrival.deadline));
        self.fleets.of_server(server).record_send(&self.cx, server, units);
        self.cx.actions.push(Action::Send(id, server, until));
        self.upload_started(id, server);
    }

    fn retry_held(&mut self) {
        let now = self.cx.now;
        let mut waiting = std::mem::take(&mut self.held);
        waiting.retain(|id| self.requests.get(id).is_some_and(|r| !r.done && r.held_since.is_some()));
        // In overload the requests of least worth wait longest and are refused first.
        waiting.sort_by_key(|id| {
            (std::cmp::Reverse((self.cx.worth(&self.requests[id].arrival) * 1e6) as u64), *id)
        });
        for id in waiting {
            let r = &self.requests[&id];
            let longest = self.cx.settings.classes[r.arrival.class.0].target.times(HOLD_PART);
            let overdue = r.held_since.is_some_and(|at| now >= at + longest);
            if let Some(server) = self.pick(id) {
                self.send(id, server);
            } else if overdue {
                self.refuse(id);
            } else {
                self.held.push(id);
            }
        }
        self.arm_hold_timer();
    }

    /// Answers with a refusal where a client may safely ask again, else with a failure.
    pub(crate) fn refuse(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id) else { return };
        let wait = self.admission.record_refusal(&self.cx, &r.arrival);
        let answer = if r.may_refuse(&self.cx) { Action::Refuse(id, wait) } else { Action::Fail(id) };
        self.finish(id, Some(answer));
    }

    /// Gives the final answer and cancels the attempts still in flight.
    fn finish(&mut self, id: RequestId, answer: Option<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if !r.done {
            r.done = true;
            self.cx.actions.extend(answer);
            let recall = self.cx.settings.may_cancel && !r.streaming;
            let still_out = r.attempts.iter().enumerate().filter(|(_, a)| a.in_flight && recall);
            self.cx.actions.extend(still_out.map(|(i, _)| Action::Cancel(id, i)));
        }
        self.forget_if_done(id);
    }

    /// Forgets an answered request once nothing of it is in flight, and releases its slot.
    fn forget_if_done(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.done && !r.any_in_flight()) else { return };
        let (customer, units) = (r.arrival.customer, r.arrival.units);
        let (held, counted) = (std::mem::take(&mut r.holds_slot), r.counted_span.take());
        // A pending call still needs to know whether the request was sent.
        if r.calls_pending == 0 {
            self.requests.remove(&id);
        }
        counted.into_iter().for_each(|span| self.admission.take_back(&mut self.cx, customer, span, units));
        if held {
            self.admission.release_slot(&mut self.cx, customer);
        }
    }

    fn on_attempt(&mut self, end: AttemptEnd) {
        let (id, outcome) = (end.id, end.outcome);
        self.upload_complete(id);
        let Some(r) = self.requests.get_mut(&id) else { return };
        let attempt = r.attempts.get_mut(end.attempt);
        let Some(a) = attempt.filter(|a| a.in_flight && a.server == end.server) else { return };
        a.in_flight = false;
        a.may_have_run = !outcome.never_ran();
        let (target, was_done) = (self.cx.settings.classes[r.arrival.class.0].target, r.done);
        r.done |= end.ended || outcome == Outcome::Ok;
        let (answered, in_time) = (r.done, self.cx.now < r.arrived + target);
        if let (Some(true_units), Outcome::Ok, false) = (end.actual_units, outcome, was_done) {
            self.admission.adjust_units(&mut self.cx, r.arrival.customer, true_units - r.arrival.units);
        }
        let service = r.arrival.service;
        self.fleets.of_server(end.server).record_outcome(&mut self.cx, end.server, outcome, end.took, target);
        if answered {
            self.forget_if_done(id);
        } else if in_time && self.may_retry(id) && self.fleets.spend(&self.cx, service, outcome) {
            self.dispatch(id);
        } else if self.requests.get(&id).is_some_and(|r| !r.any_in_flight()) {
            self.refuse(id);
        }
        if !self.held.is_empty() {
            self.retry_held();
        }
    }

    fn may_retry(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|r| self.fleets.get(r.arrival.service).may_retry(&self.cx, r))
    }
}
