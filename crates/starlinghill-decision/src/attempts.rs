//! The life of a request: its arrival, its attempts one after another, what waits for a server, its answer.

use crate::admission::Admission;
use crate::api::*;
use crate::calls::{Asked, Purpose};
use crate::context::{Context, Timer};
use crate::customer::FORGET;
use crate::request::{Attempt, Request};
use crate::services::Fleets;
use std::collections::BTreeMap;

/// Share of failed or late attempts over all servers below which trouble lies with single servers.
const CALM_SHARE: f64 = 0.15;
/// Part of the aim left for a further attempt when the first is given up early, and tried at the least.
pub(crate) const SPARE_PART: f64 = 0.3;
/// Longest wait for a free server, as part of the aim, and how often held requests are looked at.
const HOLD_PART: f64 = 0.3;
const HOLD_STEP: Micros = Micros(10_000);

/// One gateway. It shares nothing with others but what the counter tells.
#[derive(Default)]
pub struct Gateway {
    pub(crate) cx: Context,
    pub(crate) admission: Admission,
    pub(crate) fleet: Fleets,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) held: Vec<RequestId>,
    pub(crate) hold_timer: bool,
}

impl Gateway {
    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.cx.now = self.cx.now.max(now);
        self.cx.started.get_or_insert(now);
        match event {
            Event::Servers(scope, entries) => {
                self.fleet.update(&mut self.cx, scope, entries);
                self.serve_held();
            }
            Event::Request(arrival) => self.on_request(arrival),
            Event::Timer(timer) => self.on_timer(timer),
            Event::StreamStarted(id) => {
                self.requests.get_mut(&id).into_iter().for_each(|r| r.streaming = true);
            }
            Event::ClientGone(id) => self.finish(id, None),
            Event::Probed(..) => {}
            Event::Counted(name, nth, outcome, total) => self.on_counted(name, nth, outcome, total),
            Event::FastestServers(name, nth, rooms) => {
                let id = self.admission.asked_for(name, nth);
                let r = id.and_then(|id| self.requests.get_mut(&id));
                r.into_iter().for_each(|r| (r.rooms, r.rooms_at) = (rooms.clone(), self.cx.now));
            }
            Event::Isolated(alone) => self.cx.alone = alone,
            Event::Share(name, share) => self.admission.told_share(name, share),
            Event::Peer(from, message) => self.admission.on_peer(&mut self.cx, from, &message),
            Event::AttemptEnded(end) => self.on_attempt(end),
            Event::BodyComplete(id) => self.came_whole(id),
            Event::ResponseBroken(server) => self.fleet.with(server).broke(&self.cx, server),
            Event::Rules(rules) => self.on_rules(rules),
            Event::ZoneShares(parts) => {
                self.fleet.all().for_each(|fleet| fleet.zones.follow(parts.clone()));
                self.serve_held();
            }
            Event::Learned(learned) => self.on_learned(learned),
            Event::ShutDown(by) => self.on_closing(by),
        }
        self.admission.tell(&mut self.cx);
        out.append(&mut self.cx.out);
    }

    fn on_timer(&mut self, id: TimerId) {
        match self.cx.timers.remove(&id) {
            // Every request has its answer by its deadline.
            Some(Timer::Deadline(id)) if self.requests.get(&id).is_none_or(|r| r.done || r.streaming) => {}
            Some(Timer::Deadline(id)) => self.refuse(id),
            Some(Timer::Held) => {
                self.hold_timer = false;
                self.serve_held();
            }
            Some(Timer::Resubscribe) => {
                self.cx.out.extend(self.cx.set.must_subscribe.then_some(Action::Subscribe))
            }
            Some(Timer::Closing) => self.close(),
            Some(Timer::Sweep) => {
                self.admission.sweep(&self.cx);
                self.cx.timer(Timer::Sweep, FORGET);
            }
            None => {}
        }
    }

    fn on_request(&mut self, a: Arrival) {
        let (id, now, customer, plan) = (a.id, self.cx.now, a.customer, a.plan.0);
        if a.class.0 >= self.cx.set.classes.len() || plan >= self.cx.set.plans.len() {
            return self.cx.out.push(Action::Refuse(id, None));
        }
        self.fleet.earn(&self.cx, a.service);
        let a = self.cx.under_rules(a);
        // Before the deadline by two ticks: a timer may come one late, and the answer takes one.
        self.cx.timer(Timer::Deadline(id), a.deadline - now - self.cx.set.tick - self.cx.set.tick);
        let resent = self.admission.note(&self.cx, &a);
        let own = if a.max_attempts > 0 { a.max_attempts } else { usize::MAX };
        let most = if a.once { 1 } else { self.cx.set.max_attempts.min(own) };
        let a = Arrival { resent, ..a };
        self.requests.insert(id, Request { a, arrived: now, most, ..Request::default() });
        self.admission.roll(&self.cx, customer);
        let first = self.requests.get(&id).map(|r| self.admission.first_question(&self.cx, &r.a));
        first.into_iter().for_each(|first| self.ask(id, first));
    }

    /// Adaptive throttling before the servers: refuses by chance as many as came back late of late, those
    /// worth little first. Guards against overload where a gateway has too few attempts out to bound them.
    /// Asked of what its quota lets in alone: what a quota refuses is no load that servers failed to bear.
    fn shed(&mut self, id: RequestId) -> bool {
        let Some(r) = self.requests.get(&id) else { return false };
        if let Some(soonest) = r.soonest(&self.cx) {
            return soonest > self.cx.within(&r.a);
        }
        let power = self.admission.weigh(self.cx.worth(&r.a));
        let fleet = self.fleet.of(r.a.service);
        let pass = if fleet.sparse(&self.cx) { fleet.throttle.pass_share() } else { 1.0 };
        pass < 1.0 && self.cx.rng.f64() > pass.powf(power)
    }

    fn ask(&mut self, id: RequestId, purpose: Purpose) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let asked = match purpose {
            Purpose::Window => self.admission.ask_window(&mut self.cx, &r.a),
            Purpose::Open => self.admission.ask_place(&mut self.cx, &r.a),
            Purpose::Demand => self.admission.ask_demand(&mut self.cx, &r.a),
            Purpose::Turn => self.admission.ask_turn(&mut self.cx, &r.a),
        };
        match asked {
            Asked::Called => r.asking += 1,
            Asked::Silent => self.decide(id, purpose, None),
            Asked::Full => self.refuse(id),
            Asked::Free if purpose == Purpose::Turn => self.ask(id, Purpose::Open),
            Asked::Free => self.admit(id),
        }
    }

    /// Decides a request by the total heard, or without one.
    fn decide(&mut self, id: RequestId, purpose: Purpose, heard: Option<f64>) {
        let Some(r) = self.requests.get(&id) else { return };
        let customer = r.a.customer;
        match purpose {
            Purpose::Window | Purpose::Demand | Purpose::Turn if r.done => {}
            Purpose::Demand if !self.admission.demand_holds(&mut self.cx, &r.a) => self.refuse(id),
            Purpose::Demand if !self.admission.own_part_holds(&self.cx, &r.a) => self.ask(id, Purpose::Turn),
            Purpose::Demand => self.ask(id, Purpose::Open),
            Purpose::Turn if heard.is_some_and(|got| got >= r.a.units) => self.ask(id, Purpose::Open),
            Purpose::Turn => self.refuse(id),
            Purpose::Window if self.admission.window_holds(&self.cx, &r.a, heard) => {
                if heard.is_none() && r.counted.is_none() {
                    self.admission.used_unheard(&mut self.cx, customer, r.a.units);
                }
                self.ask(id, Purpose::Open)
            }
            Purpose::Window => self.refuse(id),
            Purpose::Open => {
                match self.admission.place_holds(&self.cx, &r.a, heard) && !r.done {
                    true => self.admit(id),
                    false => self.refuse(id),
                }
                self.admission.sync_places(&mut self.cx, customer);
            }
        }
    }

    fn on_counted(&mut self, name: CountName, nth: usize, outcome: Outcome, total: f64) {
        let Some(call) = self.admission.answered(name, nth) else { return };
        call.request.and_then(|id| self.requests.get_mut(&id)).into_iter().for_each(|r| r.asking -= 1);
        let counted = match call.purpose {
            Purpose::Window | Purpose::Open => self.admission.counted(&mut self.cx, &call, outcome, total),
            Purpose::Demand | Purpose::Turn => {
                Some((self.admission.counted_scattered(&self.cx, &call, outcome, total), false))
            }
        };
        let Some((heard, held)) = counted else { return };
        let held = held && call.purpose == Purpose::Window;
        if let Some(r) = call.request.and_then(|id| self.requests.get_mut(&id)).filter(|_| held) {
            r.counted = Some(call.post.span);
        }
        if let Some(id) = call.request {
            self.decide(id, call.purpose, heard);
        }
        if heard.is_some() {
            self.admission.post_owed(&mut self.cx, &call);
        }
        if let Some(id) = call.request {
            self.let_go(id);
        }
    }

    fn admit(&mut self, id: RequestId) {
        if self.shed(id) {
            return self.finish(id, Some(Action::Refuse(id, None))); // Not for its quota: no retry-after.
        }
        let Some(r) = self.requests.get_mut(&id) else { return };
        if self.cx.set.plans[r.a.plan.0].open > 0.0 {
            r.holds_place = true;
            self.admission.take_place(r.a.customer);
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
        self.watch_held();
    }

    fn pick(&mut self, id: RequestId) -> Option<ServerId> {
        self.fleet.pick(&mut self.cx, self.requests.get(&id)?)
    }

    fn watch_held(&mut self) {
        if !self.held.is_empty() && !self.hold_timer {
            self.hold_timer = true;
            self.cx.timer(Timer::Held, HOLD_STEP);
        }
    }

    fn send(&mut self, id: RequestId, server: ServerId) {
        let now = self.cx.now;
        let Some(r) = self.requests.get_mut(&id) else { return };
        let class = &self.cx.set.classes[r.a.class.0];
        // An attempt is given up while another could still meet the aim. Guards against servers that fall
        // silent. Not while attempts fail or are late everywhere: giving up wastes work in overload.
        let again = !self.cx.set.wait_to_deadline
            && class.effect != Effect::Unsafe
            && !class.stream
            && r.attempts.len() + 1 < r.most
            && (class.effect == Effect::Safe || class.group == Group::All)
            && self.fleet.of(r.a.service).fail_share < CALM_SHARE;
        let early = r.arrived + class.target.times(1.0 - SPARE_PART);
        let until = if again && early > now + class.target.times(SPARE_PART) { early } else { r.a.deadline };
        r.attempts.push(Attempt { server, sent: now, out: true, may_have_run: false });
        r.held_since = None;
        r.counted = None;
        let (units, until) = (r.a.units, until.min(r.a.deadline));
        self.fleet.with(server).sent(&self.cx, server, units);
        self.cx.out.push(Action::Send(id, server, until));
        self.still_comes(id, server);
    }

    fn serve_held(&mut self) {
        let now = self.cx.now;
        let mut waiting = std::mem::take(&mut self.held);
        waiting.retain(|id| self.requests.get(id).is_some_and(|r| !r.done && r.held_since.is_some()));
        // In overload the least worth for its work waits longest and is refused first.
        waiting
            .sort_by_key(|id| (std::cmp::Reverse((self.cx.worth(&self.requests[id].a) * 1e6) as u64), *id));
        for id in waiting {
            let r = &self.requests[&id];
            let longest = self.cx.set.classes[r.a.class.0].target.times(HOLD_PART);
            let overdue = r.held_since.is_some_and(|at| now >= at + longest);
            if let Some(server) = self.pick(id) {
                self.send(id, server);
            } else if overdue {
                self.refuse(id);
            } else {
                self.held.push(id);
            }
        }
        self.watch_held();
    }

    /// Refuses with a retry-after where that is allowed, or fails.
    pub(crate) fn refuse(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id) else { return };
        let wait = self.admission.refused(&self.cx, &r.a);
        let answer = if r.may_refuse(&self.cx) { Action::Refuse(id, wait) } else { Action::Fail(id) };
        self.finish(id, Some(answer));
    }

    /// The request has its final answer; what is still out is called off.
    fn finish(&mut self, id: RequestId, answer: Option<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if !r.done {
            r.done = true;
            self.cx.out.extend(answer);
            let recall = self.cx.set.may_cancel && !r.streaming;
            let still_out = r.attempts.iter().enumerate().filter(|(_, a)| a.out && recall);
            self.cx.out.extend(still_out.map(|(i, _)| Action::Cancel(id, i)));
        }
        self.let_go(id);
    }

    /// Forgets a finished request once nothing of it is out, and frees its place.
    fn let_go(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.done && !r.is_out()) else { return };
        let (customer, units) = (r.a.customer, r.a.units);
        let (held, counted) = (std::mem::take(&mut r.holds_place), r.counted.take());
        // A call still out needs to know whether the request went on.
        if r.asking == 0 {
            self.requests.remove(&id);
        }
        counted.into_iter().for_each(|span| self.admission.take_back(&mut self.cx, customer, span, units));
        if held {
            self.admission.leave_place(&mut self.cx, customer);
        }
    }

    fn on_attempt(&mut self, end: AttemptEnd) {
        let (id, outcome) = (end.id, end.outcome);
        self.came_whole(id);
        let Some(r) = self.requests.get_mut(&id) else { return };
        let named = r.attempts.get_mut(end.attempt);
        let Some(a) = named.filter(|a| a.out && a.server == end.server) else { return };
        a.out = false;
        a.may_have_run = !outcome.never_ran();
        let (target, was_done) = (self.cx.set.classes[r.a.class.0].target, r.done);
        r.done |= end.ended || outcome == Outcome::Ok;
        let (answered, in_time) = (r.done, self.cx.now < r.arrived + target);
        if let (Some(true_units), Outcome::Ok, false) = (end.actual_units, outcome, was_done) {
            self.admission.settled(&mut self.cx, r.a.customer, true_units - r.a.units);
        }
        let service = r.a.service;
        self.fleet.with(end.server).judge(&mut self.cx, end.server, outcome, end.took, target);
        if answered {
            self.let_go(id);
        } else if in_time && self.may_repeat(id) && self.fleet.spend(&self.cx, service, outcome) {
            self.dispatch(id);
        } else if self.requests.get(&id).is_some_and(|r| !r.is_out()) {
            self.refuse(id);
        }
        if !self.held.is_empty() {
            self.serve_held();
        }
    }

    fn may_repeat(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|r| self.fleet.of(r.a.service).may_repeat(&self.cx, r))
    }
}
