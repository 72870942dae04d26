//! Every decision of a gateway. What it is told and what it may do stands in `src/api.rs`.
//!
//! Order: constants, admission, the life of a request, choice of a server, health, guards of the rules.

use crate::api::*;
use crate::state::*;
use std::collections::{BTreeMap, VecDeque};

/// The source's breaker: failures in a row that open it, how long they must go on, and its cooldown.
const FAILURES_TO_OPEN: f64 = 3.0;
const OPEN_AFTER: Micros = Micros(400_000);
const COOLDOWN: Micros = Micros(1_000_000);
/// Share of requests that ask: cut by each failed call and a little by an answer that took more than half of
/// the time there is, raised by each other answer, and never below. Raised by as much whatever it is, so that
/// gateways come to equal shares of a counter that can't bear all.
const ASK_CUT: f64 = 0.8;
const ASK_SLOW: f64 = 0.97;
const ASK_GROW: f64 = 0.005;
const LEAST_PART: f64 = 0.05;
/// The share with which asking begins again when a probe was answered.
const ASK_AGAIN: f64 = 0.5;
/// The share of repeats that ask is the share of first tries to this power.
const REPEAT_POWER: f64 = 3.0;
/// How long after a refusal the like of it counts as its repeat.
const REPEAT_SPAN: Micros = Micros(1_000_000);
/// Life of one count of attempts out, so that what a killed gateway held is forgotten; of idle customers, of
/// whom many come once.
const EPOCH: Micros = Micros(5_000_000);
const FORGET: Micros = Micros(30_000_000);
/// Part of its quota that a customer is taken to use before anything was heard of it, and how many times what
/// the other gateways were seen to need is left to them.
const USE_UNKNOWN: f64 = 0.3;
const NEED_SPARE: f64 = 1.0;
/// Weights of the newest sample, and window, in smoothed figures; time over which flow is averaged.
const SMOOTH: f64 = 0.1;
const CARRY: f64 = 0.3;
const FLOW_SPAN: f64 = 2.0;
/// Deterministic subsetting: servers in a gateway's own part of the fleet, at least, and for each unit a
/// second that it sends on. More spreads its load better, fewer lets it learn of each in a second or two.
const REACH_LEAST: f64 = 8.0;
const REACH_FLOW: f64 = 1.0;
/// Attempts that all gateways together may have out at one server when learning starts; no gateway starts
/// with more than `LIMIT_START` of them. Low: a bound that must first be cut costs late answers.
const FLEET_START: f64 = 6.0;
/// Bounds on attempts out at one server: where learning starts, the least, what a late answer leaves of it,
/// what an early one adds. All but the cut are scaled to the gateway's part (`scale`).
const LIMIT_START: f64 = 2.0;
const LIMIT_LEAST: f64 = 0.1;
const LIMIT_CUT: f64 = 0.7;
const LIMIT_GROW: f64 = 0.03;
/// An answer that takes, with twice the server's usual time, more than this part of the aim says that it
/// holds too much; one earlier than the second, while the bound was in use, that it could hold more.
const LATE_PART: f64 = 0.85;
const GROW_PART: f64 = 0.25;
/// What a late answer leaves of the part that passes, what others add.
const PASS_CUT: f64 = 0.85;
const PASS_GROW: f64 = 0.01;
/// Attempts that a gateway with a small part may have out, whatever the bounds: fewer hold what comes by
/// chance at the same moment.
const FEW_OUT: f64 = 2.0;
/// Share of failed or late attempts over all servers below which trouble lies with single servers.
const CALM_SHARE: f64 = 0.15;
/// Outlier ejection: smoothed share of failures (four in a row pass it), first time out, its doublings.
const EJECT_SHARE: f64 = 0.3;
const EJECT_FIRST: Micros = Micros(1_000_000);
const EJECT_DOUBLINGS: u32 = 3;
/// A server that turned a request away is left alone for this long.
const REST: Micros = Micros(100_000);
/// How long leave to send to a cold server holds where many gateways share it.
const COLD_LEAVE: Micros = Micros(250_000);
/// Retry budget: further attempts earned by each request, and the most saved up.
const RETRY_SHARE: f64 = 0.2;
const RETRY_SAVED: f64 = 20.0;
/// Part of the aim left for a further attempt when the first is given up early, and tried at the least.
const SPARE_PART: f64 = 0.3;
/// Longest wait for a free server, as part of the aim, and how often held requests are looked at.
const HOLD_PART: f64 = 0.3;
const HOLD_STEP: Micros = Micros(10_000);

/// A breaker over one way to the counter.
#[derive(Debug, Default)]
pub(crate) struct Breaker {
    streak: f64,
    since: Micros,
    opened: Option<Micros>,
    probing: bool,
}

impl Breaker {
    fn ready(&self, now: Micros) -> bool {
        self.opened.is_none_or(|at| !self.probing && now >= at + COOLDOWN)
    }
    /// A call is made; after the cooldown it is the half-open probe.
    fn ask(&mut self) {
        self.probing |= self.opened.is_some();
    }
    /// Guards against opening for calls that our own made late: they fail together, and asking less (`ask`)
    /// mends that within a moment, while an open breaker leaves every quota to local buckets.
    fn failure(&mut self, now: Micros, probe: bool) {
        if self.streak < 1.0 {
            self.since = now;
        }
        self.streak = (self.streak + 1.0).min(FAILURES_TO_OPEN + 1.0);
        let lasts = self.streak >= FAILURES_TO_OPEN && now >= self.since + OPEN_AFTER;
        if (self.opened.is_none() && lasts) || (probe && self.probing) {
            (self.opened, self.probing) = (Some(now), false);
        }
    }
    /// Guards against a slow counter that answers now and then: while closed, a success halves the streak
    /// instead of clearing it, so that mostly failing calls still open the breaker.
    fn success(&mut self, probe: bool) {
        if probe && self.probing {
            *self = Breaker::default();
        } else if self.opened.is_none() {
            self.streak /= 2.0;
        }
    }
}

/// One gateway. It shares nothing with others but what the counter tells.
#[derive(Default)]
pub struct Gateway {
    set: Settings,
    rng: fastrand::Rng,
    now: Micros,
    out: Vec<Action>,
    breaker: Breaker,
    /// Share of requests that ask the counter.
    ask: f64,
    last_cut: Micros,
    last_failed: Option<CustomerId>,
    calls: BTreeMap<CountName, VecDeque<Call>>,
    customers: BTreeMap<CustomerId, Customer>,
    requests: BTreeMap<RequestId, Request>,
    servers: BTreeMap<ServerId, Server>,
    /// The listed servers, in an order that all gateways share.
    ring: Vec<ServerId>,
    timers: BTreeMap<TimerId, Timer>,
    /// Attempts out at all servers.
    out_now: f64,
    held: Vec<RequestId>,
    hold_timer: bool,
    retries: f64,
    flow: TokenBucket,
    /// Smoothed over all servers: time to answer, share of attempts that failed or came too late.
    latency: f64,
    fail_share: f64,
    /// Part of the requests of usual worth that the servers can take, and the usual worth.
    pass: f64,
    usual_worth: f64,
    serial: u64,
}

impl Gateway {
    /// A gateway as it starts, knowing nothing but its settings.
    pub fn new(seed: u64, set: Settings) -> Result<Gateway, SettingsError> {
        set.check()?;
        let rng = fastrand::Rng::with_seed(seed);
        let must_subscribe = set.must_subscribe;
        let mut new = Gateway { set, rng, retries: RETRY_SAVED, ask: 1.0, pass: 1.0, ..Gateway::default() };
        // Goes out with the first event, whichever that is.
        new.timer(Timer::Sweep, FORGET);
        new.out.extend(must_subscribe.then_some(Action::Subscribe));
        Ok(new)
    }

    /// How many things it keeps in mind. Comes back down when traffic does.
    pub fn kept(&self) -> usize {
        let told = self.servers.len() + self.customers.len() + self.requests.len();
        told + self.calls.len() + self.timers.len() + self.held.len()
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Servers(scope, entries) => self.on_servers(scope, entries),
            Event::Request(arrival) => self.on_request(arrival),
            Event::Timer(timer) => self.on_timer(timer),
            Event::StreamStarted(id) => {
                self.requests.get_mut(&id).into_iter().for_each(|r| r.streaming = true);
            }
            Event::ClientGone(id) => self.finish(id, None),
            Event::Probed(..) => {}
            Event::Counted(name, outcome, total) => self.on_counted(name, outcome, total),
            Event::AttemptEnded(end) => self.on_attempt(end),
        }
        out.append(&mut self.out);
    }

    fn timer(&mut self, timer: Timer, after: Micros) {
        self.serial += 1;
        let id = TimerId(self.serial);
        self.timers.insert(id, timer);
        self.out.push(Action::SetTimer(id, after));
    }

    fn on_timer(&mut self, id: TimerId) {
        match self.timers.remove(&id) {
            // Every request has its answer by its deadline.
            Some(Timer::Deadline(id)) if self.requests.get(&id).is_none_or(|r| r.done || r.streaming) => {}
            Some(Timer::Deadline(id)) => self.refuse(id),
            Some(Timer::Held) => {
                self.hold_timer = false;
                self.serve_held();
            }
            Some(Timer::Resubscribe) => self.out.extend(self.set.must_subscribe.then_some(Action::Subscribe)),
            Some(Timer::Sweep) => {
                self.customers.retain(|_, c| c.used + FORGET >= self.now || c.out > 0.0);
                self.timer(Timer::Sweep, FORGET);
            }
            None => {}
        }
    }

    // ---- admission ----

    /// Window length and what it admits: one burst in the burst's time; under a ceiling halves of both.
    fn window_of(&self, plan: usize) -> (Micros, f64) {
        let p = &self.set.plans[plan];
        let part = if p.ceiling_rate > 0.0 { 0.5 } else { 1.0 };
        (Micros(((p.burst / p.rate) * part * 1e6).max(1.0) as u64), p.burst * part)
    }

    /// The current window (or epoch) of a customer; the customer's hash shifts its edges, so that not all
    /// windows end at once.
    fn span(&self, customer: CustomerId, length: Micros) -> (u64, Micros) {
        let shifted = self.now.0 + mix(customer.0) % length.0;
        (shifted / length.0, Micros(length.0 - shifted % length.0))
    }

    /// Brings a customer's counts to the present window and epoch.
    fn roll(&mut self, id: CustomerId) {
        let Some(c) = self.customers.get(&id) else { return };
        let (rated, burst) = (self.set.plans[c.plan].rate > 0.0, self.set.plans[c.plan].burst);
        let (length, quota) = if rated { self.window_of(c.plan) } else { (EPOCH, 0.0) };
        let (span, epoch) = (self.span(id, length).0, self.span(id, EPOCH).0);
        let Some(c) = self.customers.get_mut(&id) else { return };
        if c.window.span != span {
            if c.window.seen > 0.0 {
                let (newest, w) = (&c.window, if c.heard.1 > 0.0 { CARRY } else { 1.0 });
                c.heard.0 += w * (newest.posted - c.heard.0);
                c.heard.1 += w * (newest.seen - c.heard.1);
            }
            // What the windows left, as far as they were followed here, else a share of the store: gateways
            // that see a customer seldom must not each believe it full.
            let follows = c.window.span + 1 == span;
            let left = c.window.left + quota - c.window.known();
            let left = if follows { left.clamp(0.0, burst) } else { burst / c.spread };
            c.window = Tally { span, left, followed: follows, ..Tally::default() };
        }
        if let Some(c) = self.customers.get_mut(&id).filter(|c| c.epoch.span != epoch) {
            c.epoch = Tally { span: epoch, owed: c.out, ..Tally::default() };
        }
    }

    fn on_request(&mut self, a: Arrival) {
        let (id, now, customer, plan) = (a.id, self.now, a.customer, a.plan.0);
        if a.class.0 >= self.set.classes.len() || plan >= self.set.plans.len() {
            return self.out.push(Action::Refuse(id, None));
        }
        self.retries = (self.retries + RETRY_SHARE).min(RETRY_SAVED);
        // Before the deadline by two ticks: a timer may come one late, and the answer takes one.
        self.timer(Timer::Deadline(id), a.deadline - now - self.set.tick - self.set.tick);
        let c = self.customers.entry(customer).or_default();
        if c.used == Micros(0) {
            c.beyond.at = now; // Starts empty: an earlier life of this gateway may have spent it.
        }
        (c.plan, c.spread, c.used) = (plan, f64::from(a.spread.max(1)), now);
        // Where clients do not mark repeats: the like of what was refused here a moment ago.
        let alike = |r: &Refusal| r.class == a.class && r.units == a.units && now < r.at + REPEAT_SPAN;
        let resent = a.resent || c.refused.as_ref().is_some_and(alike);
        self.requests.insert(id, Request { a: Arrival { resent, ..a }, arrived: now, ..Request::default() });
        self.roll(customer);
        if self.shed(id) {
            return self.finish(id, Some(Action::Refuse(id, None))); // Not for its quota: no retry-after.
        }
        match self.set.plans[plan].rate > 0.0 {
            true => self.ask_window(id),
            false => self.ask_place(id),
        }
    }

    fn worth(&self, r: &Request) -> f64 {
        self.set.classes[r.a.class.0].worth * self.set.plans[r.a.plan.0].price
    }

    /// Adaptive throttling before the servers: refuses by chance as many as came back late of late, those
    /// worth little first. Guards against overload where a gateway has too few attempts out to bound them.
    fn shed(&mut self, id: RequestId) -> bool {
        let Some(r) = self.requests.get(&id) else { return false };
        let worth = self.worth(r);
        self.usual_worth += SMOOTH / 3.0 * (worth - self.usual_worth);
        let power = if worth > 0.0 { (self.usual_worth / worth).powi(2) } else { f64::MAX };
        self.sparse() && self.rng.f64() > self.pass.powf(power)
    }

    /// What a customer's quota has room for in this window by a total of the shared count: the store as it is
    /// with what the last window left, where that was followed here, else at least the plain window. Guards
    /// against refusing inside the quota, as the plain window forgets what the last one left, and against
    /// sending on beyond it, as that grants all anew. May hurt where totals hold what the store did not give.
    fn room(&self, customer: CustomerId, total: f64) -> f64 {
        let Some(c) = self.customers.get(&customer) else { return 0.0 };
        let (length, quota) = self.window_of(c.plan);
        let refill = quota * (1.0 - self.span(customer, length).1.secs() / length.secs());
        (c.window.left + refill).max(if c.window.followed { 0.0 } else { quota }) - total
    }

    /// The part of its quota that a customer was seen to use.
    fn used(&self, customer: CustomerId) -> f64 {
        let heard = self.customers.get(&customer).filter(|c| c.heard.1 > 0.0);
        heard.map_or(USE_UNKNOWN, |c| c.heard.1 / self.window_of(c.plan).1)
    }

    /// The counter says nothing of this customer for a while: then the local bucket alone decides.
    fn silent(&self, customer: CustomerId) -> bool {
        let own_open = self.customers.get(&customer).is_some_and(|c| c.breaker.opened.is_some());
        !self.set.counter || self.breaker.opened.is_some() || own_open
    }

    /// A customer so spread that a gateway's share of its store holds less than one request.
    fn slight(&self, customer: CustomerId) -> bool {
        let burst = |c: &Customer| self.set.plans[c.plan].burst;
        self.customers.get(&customer).is_some_and(|c| c.spread * self.set.most_units > burst(c))
    }

    /// Whether a request is to ask. Guards against a counter that our own calls drown, slow or near its
    /// capacity: while calls fail only a part asks, what is worth much first, repeats last, as they were
    /// refused a moment ago.
    fn asks(&mut self, power: f64) -> bool {
        self.breaker.opened.is_some() || self.rng.f64() < self.ask.powf(power)
    }

    fn may_call(&mut self, customer: CustomerId) -> bool {
        let Some(c) = self.customers.get_mut(&customer) else { return false };
        let ready = self.set.counter && self.breaker.ready(self.now) && c.breaker.ready(self.now);
        if ready {
            self.breaker.ask();
            c.breaker.ask();
        }
        ready
    }

    /// The ordinary path: one add on the customer's window before anything is sent on.
    fn ask_window(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id) else { return };
        let (customer, units, resent) = (r.a.customer, r.a.units, r.a.resent);
        let worth = self.worth(r).max(1e-9);
        let c = &self.customers[&customer];
        let total = c.window.known();
        if self.room(customer, total) < units && self.breaker.opened.is_none() && total > 0.0 {
            return self.refuse(id); // Known full: a call could only tell the same.
        }
        let power = if resent { REPEAT_POWER } else { (self.usual_worth / worth).clamp(0.5, 2.0) };
        if self.asks(power) && self.may_call(customer) {
            self.call(Purpose::Window, customer, Some(id), units);
        } else {
            self.decide(id, Purpose::Window, None);
        }
    }

    fn ask_place(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id) else { return };
        let customer = r.a.customer;
        if self.set.plans[r.a.plan.0].open <= 0.0 {
            self.admit(id);
        } else if self.asks(REPEAT_POWER) && self.may_call(customer) {
            self.call(Purpose::Open, customer, Some(id), 1.0);
        } else {
            self.decide_place(id, None);
        }
    }

    fn call(&mut self, purpose: Purpose, id: CustomerId, request: Option<RequestId>, units: f64) {
        let Some(c) = self.customers.get_mut(&id) else { return };
        let plan = c.plan;
        let (span, extra) = match purpose {
            Purpose::Window => (c.window.span, c.window.owed),
            Purpose::Open => (c.epoch.span, c.epoch.owed),
        };
        if units + extra == 0.0 && request.is_none() {
            return;
        }
        let tally = if purpose == Purpose::Open { &mut c.epoch } else { &mut c.window };
        (tally.owed, tally.posting) = (tally.owed - extra, tally.posting + extra);
        let unheard = std::mem::take(&mut tally.unheard);
        let length = if purpose == Purpose::Open { EPOCH } else { self.window_of(plan).0 };
        let name = CountName(mix(mix(id.0) ^ mix(span << 1 | u64::from(purpose == Purpose::Open))) >> 1);
        let probe = request.is_some() && (self.breaker.probing || self.customers[&id].breaker.probing);
        let (amount, customer) = (units + extra, id);
        let call = Call { at: self.now, purpose, customer, span, request, amount, extra, unheard, probe };
        self.calls.entry(name).or_default().push_back(call);
        request.and_then(|id| self.requests.get_mut(&id)).into_iter().for_each(|r| r.asking += 1);
        self.out.push(Action::Count(name, amount, (length + length).min(Micros(60_000_000))));
    }

    /// Guards against one hot name that fills its part of the counter: failures of the same customer in a row
    /// count once for the common breaker, while that customer's own breaker opens.
    ///
    /// One cut answers for all calls that were out when it was made. Guards against asking next to nothing
    /// for a moment's jam; what comes back spoilt or broken says nothing of the counter's load.
    fn call_failed(&mut self, customer: CustomerId, probe: bool, made: Micros, outcome: Outcome) {
        let now = self.now;
        if made >= self.last_cut && matches!(outcome, Outcome::Timeout | Outcome::Full) {
            (self.ask, self.last_cut) = ((self.ask * ASK_CUT).max(LEAST_PART), now);
        }
        if self.last_failed != Some(customer) || probe {
            self.breaker.failure(now, probe);
        }
        self.last_failed = Some(customer);
        self.customers.get_mut(&customer).into_iter().for_each(|c| c.breaker.failure(now, probe));
    }

    fn on_counted(&mut self, name: CountName, outcome: Outcome, total: f64) {
        let Some(call) = self.calls.get_mut(&name).and_then(|queue| queue.pop_front()) else { return };
        if self.calls.get(&name).is_some_and(|queue| queue.is_empty()) {
            self.calls.remove(&name);
        }
        call.request.and_then(|id| self.requests.get_mut(&id)).into_iter().for_each(|r| r.asking -= 1);
        self.roll(call.customer);
        let Some(plan) = self.customers.get(&call.customer).map(|c| c.plan) else { return };
        let (quota, slight) = (self.window_of(plan).1, self.slight(call.customer));
        let Some(c) = self.customers.get_mut(&call.customer) else { return };
        let tally = if call.purpose == Purpose::Window { &mut c.window } else { &mut c.epoch };
        let current = tally.span == call.span;
        if current {
            tally.posting -= call.extra;
        }
        let mut heard = None;
        if outcome == Outcome::Ok {
            if current {
                tally.posted += call.amount;
                // Guards against an emptied counter: a total below our own adds proves lost memory; our spend
                // goes back on and is reckoned with here until it has.
                let lost = tally.posted - total;
                if lost > 0.5 && call.purpose == Purpose::Window {
                    (tally.owed, tally.posted) = (tally.owed + lost, total);
                    c.beyond.level -= lost; // Others may spend it again: under a ceiling that is paid for.
                }
                tally.seen = total;
                // What went on unheard is heard of now: the plain window holds it, as far as it has room, and
                // from here on others reckon with it. Guards against refusing under a ceiling, call after
                // call, what the quota has room for.
                if call.purpose == Purpose::Window && total <= quota {
                    c.beyond.level = (c.beyond.level + call.unheard).min(c.beyond.depth);
                }
            }
            heard = Some(total + if current { tally.owed + tally.posting } else { 0.0 });
            c.breaker.success(call.probe);
            if !slight {
                c.bucket = None;
            }
            let slow = self.now - call.at > self.set.count_timeout.times(0.5);
            self.ask = if slow { self.ask * ASK_SLOW } else { self.ask + ASK_GROW };
            self.ask = self.ask.min(1.0).max(if call.probe { ASK_AGAIN } else { LEAST_PART });
            self.last_failed = None;
            self.breaker.success(call.probe);
            if let Some(r) = call.request.and_then(|id| self.requests.get_mut(&id)) {
                r.counted = (call.purpose == Purpose::Window).then_some(call.span);
            }
        } else {
            if current && outcome.never_ran() {
                (tally.owed, tally.unheard) = (tally.owed + call.extra, tally.unheard + call.unheard);
            }
            self.call_failed(call.customer, call.probe, call.at, outcome);
        }
        if let Some(id) = call.request {
            self.decide(id, call.purpose, heard);
        }
        let owed = self.customers.get(&call.customer).is_some_and(|c| c.window.owed > 0.5);
        if owed && call.purpose == Purpose::Window && heard.is_some() {
            self.call(Purpose::Window, call.customer, None, 0.0);
        }
        if let Some(id) = call.request {
            self.let_go(id);
        }
    }

    fn take_back(&mut self, customer: CustomerId, span: u64, units: f64) {
        self.roll(customer);
        let Some(c) = self.customers.get_mut(&customer) else { return };
        if c.window.span != span {
            return;
        }
        c.window.seen -= units;
        let total = c.window.seen;
        // Nobody could use a scrap of room: then it goes back with the next call.
        if self.breaker.opened.is_none() && self.room(customer, total) >= 1.0 {
            self.call(Purpose::Window, customer, None, -units);
        } else if let Some(c) = self.customers.get_mut(&customer) {
            c.window.owed -= units;
        }
    }

    /// Decides a request by the total heard, or without one by the local bucket or share.
    fn decide(&mut self, id: RequestId, purpose: Purpose, heard: Option<f64>) {
        if purpose == Purpose::Open {
            return self.decide_place(id, heard);
        }
        let Some(r) = self.requests.get(&id) else { return };
        let (customer, units, plan) = (r.a.customer, r.a.units, r.a.plan.0);
        let ok = match heard {
            _ if r.done => return,
            // Under a ceiling what a counter forgot is paid off first.
            Some(total) if self.room(customer, total) < 0.0 => false,
            Some(total) if total <= self.window_of(plan).1 => self.beyond_take(customer, plan, 0.0),
            Some(_) => self.beyond_take(customer, plan, units),
            // A repeat was refused a moment ago, here or elsewhere: where a share holds less than one request
            // it must be heard. Elsewhere nine of ten had room, as most were refused for want of an answer.
            None if r.a.resent && self.slight(customer) && !self.silent(customer) => false,
            None => self.beyond_take(customer, plan, units) && self.local_take(customer, plan, units),
        };
        match ok {
            true => self.ask_place(id),
            false => self.refuse(id),
        }
    }

    /// Guards the hard ceiling wherever the plain window does not speak for what is sent on: unheard, by what
    /// a gateway believes was left over, or beyond the quota. Each gateway may send so only its part of what
    /// the ceiling holds above the quota; plain windows stay within the quota, so the sum keeps the ceiling
    /// whatever single gateways believe. May hurt one that has all the traffic.
    fn beyond_take(&mut self, customer: CustomerId, plan: usize, units: f64) -> bool {
        let (now, p) = (self.now, &self.set.plans[plan]);
        let Some(c) = self.customers.get_mut(&customer).filter(|_| p.ceiling_rate > 0.0) else { return true };
        (c.beyond.rate, c.beyond.depth) =
            ((p.ceiling_rate - p.rate).max(0.0) / c.spread, (p.ceiling_burst - p.burst).max(0.0) / c.spread);
        c.beyond.take(now, units)
    }

    /// The local bucket decides where the counter does not: the customer's rate over its gateways. It starts
    /// with this gateway's part of what the customer's store was last known to hold; under a ceiling,
    /// `beyond_take` stands before it and does start empty. Guards against refusing customers with few units,
    /// for whom a share that starts empty admits nothing for seconds.
    fn local_take(&mut self, customer: CustomerId, plan: usize, units: f64) -> bool {
        let (now, most_units, p) = (self.now, self.set.most_units, &self.set.plans[plan]);
        let Some(c) = self.customers.get(&customer) else { return false };
        let left = self.room(customer, c.window.known()).max(0.0);
        let (used, silent) = (self.used(customer), self.silent(customer));
        let Some(c) = self.customers.get_mut(&customer) else { return false };
        // Half by the gateways it can come through, half by what this one was seen to carry: sums to one.
        let carried = if c.heard.1 > 0.0 { (c.heard.0 / c.heard.1).clamp(0.0, 1.0) } else { 1.0 / c.spread };
        let mut share = (carried + 1.0 / c.spread) / 2.0;
        // What the other gateways were not seen to need can be had here. Guards against refusing customers
        // who use little and come through one gateway for a while, where the counter is silent or can't bear
        // all calls. May hurt in a silence in which several gateways see one ask more than it did before.
        if c.heard.1 > 0.0 || !silent {
            share = share.max(1.0 - NEED_SPARE * (1.0 - carried) * used);
        }
        // Guards against shares of less than one request, which would refuse everything: at least that much,
        // as far as it is left.
        let (level, depth) = ((left * share).max(most_units.min(left)), (p.burst * share).max(most_units));
        let rate = p.rate * share;
        let bucket = c.bucket.get_or_insert(TokenBucket { level, depth, rate, at: now });
        (bucket.depth, bucket.rate) = (depth, rate);
        let ok = bucket.take(now, units);
        if ok {
            c.window.owed += units;
            c.window.unheard += units;
        }
        ok
    }

    fn decide_place(&mut self, id: RequestId, heard: Option<f64>) {
        let Some(r) = self.requests.get(&id) else { return };
        let (customer, plan, done) = (r.a.customer, &self.set.plans[r.a.plan.0], r.done);
        let Some(c) = self.customers.get(&customer) else { return };
        let ok = match heard {
            Some(total) => total <= plan.open,
            None if r.a.resent && !self.silent(customer) => false,
            None => c.out < (plan.open / c.spread).floor().max(1.0),
        };
        match ok && !done {
            true => self.admit(id),
            false => self.refuse(id),
        }
        self.sync_places(customer);
    }

    /// Puts the shared count of attempts out right where it says more than is out: a place let go.
    fn sync_places(&mut self, customer: CustomerId) {
        self.roll(customer);
        let Some(c) = self.customers.get_mut(&customer) else { return };
        let surplus = c.epoch.posted + c.epoch.posting + c.epoch.owed - c.out;
        if surplus > 0.5 && self.breaker.opened.is_none() {
            c.epoch.owed -= surplus;
            self.call(Purpose::Open, customer, None, 0.0);
        }
    }

    // ---- the life of a request ----

    fn admit(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if self.set.plans[r.a.plan.0].open > 0.0 {
            r.holds_place = true;
            self.customers.get_mut(&r.a.customer).into_iter().for_each(|c| c.out += 1.0);
        }
        self.dispatch(id);
    }

    /// Sends the next attempt, or holds the request until a server is free.
    fn dispatch(&mut self, id: RequestId) {
        if let Some(server) = self.pick(id) {
            return self.send(id, server);
        }
        if let Some(r) = self.requests.get_mut(&id).filter(|r| r.held_since.is_none()) {
            r.held_since = Some(self.now);
            self.held.push(id);
        }
        self.watch_held();
    }

    fn watch_held(&mut self) {
        if !self.held.is_empty() && !self.hold_timer {
            self.hold_timer = true;
            self.timer(Timer::Held, HOLD_STEP);
        }
    }

    fn send(&mut self, id: RequestId, server: ServerId) {
        let now = self.now;
        let Some(r) = self.requests.get_mut(&id) else { return };
        let class = &self.set.classes[r.a.class.0];
        // An attempt is given up while another could still meet the aim. Guards against servers that fall
        // silent. Not while attempts fail or are late everywhere: giving up wastes work in overload.
        let again = class.effect != Effect::Unsafe
            && !class.stream
            && r.attempts.len() + 1 < self.set.max_attempts
            && (class.effect == Effect::Safe || class.group == Group::All)
            && self.fail_share < CALM_SHARE;
        let early = r.arrived + class.aim.times(1.0 - SPARE_PART);
        let until = if again && early > now + class.aim.times(SPARE_PART) { early } else { r.a.deadline };
        r.attempts.push(Attempt { server, sent: now, out: true, may_have_run: false });
        r.held_since = None;
        r.counted = None;
        let (units, until) = (r.a.units, until.min(r.a.deadline));
        self.flow.level = self.flow_rate() * FLOW_SPAN + units;
        self.flow.at = now;
        if let Some(s) = self.servers.get_mut(&server) {
            s.out += 1.0;
            self.out_now += 1.0;
            s.cold_room.level -= units;
        }
        self.out.push(Action::Send(id, server, until));
    }

    fn serve_held(&mut self) {
        let now = self.now;
        let mut waiting = std::mem::take(&mut self.held);
        waiting.retain(|id| self.requests.get(id).is_some_and(|r| !r.done && r.held_since.is_some()));
        // In overload the least worth for its work waits longest and is refused first.
        waiting.sort_by_key(|id| (std::cmp::Reverse((self.worth(&self.requests[id]) * 1e6) as u64), *id));
        for id in waiting {
            let r = &self.requests[&id];
            let longest = self.set.classes[r.a.class.0].aim.times(HOLD_PART);
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
    fn refuse(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id) else { return };
        let wait = (self.set.retry_after && self.set.plans[r.a.plan.0].rate > 0.0)
            .then(|| self.span(r.a.customer, self.window_of(r.a.plan.0).0).1.min(self.set.max_retry_after));
        let answer = if self.may_refuse(r) { Action::Refuse(id, wait) } else { Action::Fail(id) };
        if let Some(c) = self.customers.get_mut(&r.a.customer) {
            c.refused = Some(Refusal { class: r.a.class, units: r.a.units, at: self.now });
        }
        self.finish(id, Some(answer));
    }

    /// The request has its final answer; what is still out is called off.
    fn finish(&mut self, id: RequestId, answer: Option<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        if !r.done {
            r.done = true;
            self.out.extend(answer);
            let recall = self.set.may_cancel && !r.streaming;
            let still_out = r.attempts.iter().enumerate().filter(|(_, a)| a.out && recall);
            self.out.extend(still_out.map(|(i, _)| Action::Cancel(id, i)));
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
        counted.into_iter().for_each(|span| self.take_back(customer, span, units));
        if held {
            self.customers.get_mut(&customer).into_iter().for_each(|c| c.out -= 1.0);
            self.sync_places(customer);
        }
    }

    fn on_attempt(&mut self, end: AttemptEnd) {
        let (id, outcome) = (end.id, end.outcome);
        let Some(r) = self.requests.get_mut(&id) else { return };
        let named = r.attempts.get_mut(end.attempt);
        let Some(a) = named.filter(|a| a.out && a.server == end.server) else { return };
        a.out = false;
        a.may_have_run = !outcome.never_ran();
        let (aim, was_done) = (self.set.classes[r.a.class.0].aim, r.done);
        r.done |= end.ended || outcome == Outcome::Ok;
        let (answered, in_time) = (r.done, self.now < r.arrived + aim);
        if let (Some(true_units), Outcome::Ok, false) = (end.settled, outcome, was_done) {
            if let Some(c) = self.customers.get_mut(&r.a.customer) {
                c.window.owed += true_units - r.a.units;
            }
        }
        self.judge(end.server, outcome, end.took, aim);
        if answered {
            self.let_go(id);
        } else if in_time && self.may_repeat(id) && self.retries >= 1.0 {
            self.retries -= 1.0;
            self.dispatch(id);
        } else if self.requests.get(&id).is_some_and(|r| !r.is_out()) {
            self.refuse(id);
        }
        if !self.held.is_empty() {
            self.serve_held();
        }
    }

    // ---- choice of a server ----

    /// How many servers are in this gateway's own part of the fleet.
    fn reach(&self) -> usize {
        (REACH_LEAST + REACH_FLOW * self.flow_rate()).min(self.ring.len() as f64) as usize
    }

    /// This gateway's part in the bound at one server: one where few gateways share it, else by how many do.
    fn scale(&self) -> f64 {
        let sharing = f64::from(self.set.gateways) * self.reach() as f64 / self.ring.len().max(1) as f64;
        (FLEET_START / LIMIT_START / sharing.max(1e-9)).min(1.0)
    }

    /// So many gateways share the servers that bounds start below one attempt and say little.
    fn sparse(&self) -> bool {
        LIMIT_START * self.scale() < 1.0
    }

    /// The listed servers, this gateway's own part of the fleet first. Guards against learning nothing of any
    /// server where each gateway sees few requests. The golden ratio spreads the parts evenly, also those of
    /// gateways in a row, through which one customer comes.
    fn own_part_first(&self) -> impl Iterator<Item = ServerId> + '_ {
        let start = (f64::from(self.set.me) * 0.618_033_988_749_895).fract() * self.ring.len() as f64;
        self.ring.iter().cycle().skip(start as usize).take(self.ring.len()).copied()
    }

    /// The allowed server with the least expected wait, beyond the own part only if that has none.
    fn pick(&mut self, id: RequestId) -> Option<ServerId> {
        self.warm_up();
        let salt = self.rng.u64(..);
        let (reach, scale) = (self.reach(), self.scale());
        let r = self.requests.get(&id)?;
        // Bounds may fall below one (many gateways): what is out in all stays within their sum.
        let fit =
            self.own_part_first().take(reach).map(|sid| &self.servers[&sid]).filter(|s| self.healthy(s));
        let most: f64 = fit.map(|s| s.limit * scale).sum();
        let any_healthy = most > 0.0 || self.servers.values().any(|s| s.listed && self.healthy(s));
        if most > 0.0 && self.out_now >= most.max(if self.sparse() { FEW_OUT } else { 1.0 }) {
            return None;
        }
        let mut best: Option<(f64, ServerId)> = None;
        for (i, sid) in self.own_part_first().enumerate() {
            if i >= reach && best.is_some() {
                break;
            }
            let s = &self.servers[&sid];
            // With nothing healthy left, one at a time to whatever is listed.
            let most = if any_healthy { (s.limit * scale).floor().max(1.0) } else { 1.0 };
            if s.out >= most || any_healthy && !self.healthy(s) || !self.may_send(r, s) {
                continue;
            }
            let slow = if self.latency > 0.0 { (s.latency / self.latency).clamp(0.7, 2.0) } else { 1.0 };
            let tried = r.attempts.iter().filter(|a| a.server == sid).count() as f64;
            let far = if s.zone == self.set.zone { 0.0 } else { 0.05 * scale };
            let mut score = (s.out + 1.0) * slow / s.weight * (1.0 + 3.0 * s.fail_share) + 4.0 * tried;
            score *= 1.0 + 0.1 * (mix(salt ^ sid.0) as f64 / u64::MAX as f64) + far;
            // A server on trial is asked first, or one that failed would never be tried again.
            score *= if s.trial && r.attempts.is_empty() { 0.3 } else { 1.0 };
            if best.is_none_or(|(b, _)| score < b) {
                best = Some((score, sid));
            }
        }
        best.map(|(_, sid)| sid)
    }

    fn healthy(&self, s: &Server) -> bool {
        self.now >= s.ejected_until && (!s.trial || s.out < 1.0)
    }

    // ---- health and cold starts ----

    fn judge(&mut self, server: ServerId, outcome: Outcome, took: Micros, aim: Micros) {
        let now = self.now;
        let (jitter, scale) = (0.75 + 0.5 * self.rng.f64(), self.scale());
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.out = (s.out - 1.0).max(0.0);
        self.out_now = (self.out_now - 1.0).max(0.0);
        // Guards against servers that hold too much and work worse for it, by overload or by a trouble of
        // their own: the bound gives way fast and comes back slowly. May hurt just after short stalls.
        let held = took + Micros(2 * s.latency as u64);
        let late = matches!(outcome, Outcome::Ok | Outcome::Cancelled) && held > aim.times(LATE_PART);
        let jammed = late || matches!(outcome, Outcome::Full | Outcome::Timeout);
        self.pass = if jammed { self.pass * PASS_CUT } else { self.pass + PASS_GROW }.clamp(LEAST_PART, 1.0);
        if jammed {
            s.limit = (s.limit * LIMIT_CUT).max(LIMIT_LEAST);
        } else if outcome == Outcome::Ok
            && s.out + 1.0 >= (s.limit * scale).floor()
            && took < aim.times(GROW_PART)
        {
            s.limit += LIMIT_GROW;
        }
        let bad = !matches!(outcome, Outcome::Ok | Outcome::Cancelled | Outcome::Moot) || took > aim;
        self.fail_share += SMOOTH / 3.0 * (f64::from(u8::from(bad)) - self.fail_share);
        if outcome == Outcome::Ok {
            let sample = took.0 as f64;
            for smooth in [&mut s.latency, &mut self.latency] {
                *smooth = if *smooth == 0.0 { sample } else { *smooth + SMOOTH * (sample - *smooth) };
            }
            s.fail_share *= 1.0 - SMOOTH;
            if std::mem::take(&mut s.trial) {
                s.fail_share = 0.0; // The trial is passed.
            } else {
                s.ejections = 0;
            }
            // Guards against a restart that the list has not told yet: connects failed for a while and now it
            // answers, so it is taken to be cold.
            let unreached = s.unreached_since.take().is_some_and(|at| now - at > EJECT_FIRST);
            if unreached && s.cold_since.is_none() {
                s.cold_since = Some(now);
                s.cold_room = TokenBucket { level: 0.0, depth: 1.0, rate: 0.0, at: now };
            }
        }
        if matches!(outcome, Outcome::Ok | Outcome::Cancelled | Outcome::Moot) {
            return;
        }
        if outcome == Outcome::Full {
            s.ejected_until = s.ejected_until.max(now + REST);
            return;
        }
        s.fail_share += SMOOTH * (1.0 - s.fail_share);
        if outcome == Outcome::ConnectFailed {
            s.unreached_since.get_or_insert(now);
        }
        // Outlier ejection. Guards against servers that fail fast, hang or are unreachable; a server is out
        // of line only against the others, or overload would eject them one by one.
        let out_of_line =
            outcome == Outcome::ConnectFailed || s.fail_share > EJECT_SHARE.max(2.0 * self.fail_share);
        if now >= s.ejected_until && (out_of_line || s.trial) {
            s.ejected_until = now + EJECT_FIRST.times(f64::from(1 << s.ejections) * jitter);
            s.ejections = (s.ejections + 1).min(EJECT_DOUBLINGS);
            s.trial = true;
        }
    }

    /// Units a second that this gateway sends on, over the last moments.
    fn flow_rate(&self) -> f64 {
        self.flow.level / FLOW_SPAN * (-(self.now - self.flow.at).secs() / FLOW_SPAN).exp()
    }

    /// Guards against pushing over a cold server: it is given the work that a warm one of its size gets from
    /// this gateway, times the part of its capacity that it must have by now. Warm servers bear that load,
    /// and each gateway scales its own, so the sum stays in proportion.
    fn warm_up(&mut self) {
        let (now, set) = (self.now, &self.set);
        if self.servers.values().all(|s| s.cold_since.is_none()) {
            return;
        }
        let many = self.sparse();
        let usable = |s: &&Server| s.listed && now >= s.ejected_until;
        let warm: f64 =
            self.servers.values().filter(usable).filter(|s| s.cold_since.is_none()).map(|s| s.weight).sum();
        let all: f64 = self.servers.values().filter(|s| s.listed).map(|s| s.weight).sum();
        let per_weight = self.flow_rate() / if warm * 3.0 >= all { warm } else { all.max(1e-9) };
        for s in self.servers.values_mut() {
            let Some(since) = s.cold_since else { continue };
            if now >= since + set.cold {
                s.cold_since = None;
                continue;
            }
            let part = set.cold_from + (1.0 - set.cold_from) * ((now - since).secs() / set.cold.secs());
            s.cold_room.rate = per_weight * s.weight * part * (set.fall_multiple / 2.0).min(1.0);
            s.cold_room.fill(now);
            // Guards against hundreds of gateways that each saved up one request: unused, leave soon lapses.
            if many && s.cold_room.level > s.cold_room.rate * COLD_LEAVE.secs() {
                s.cold_room.level = -set.most_units;
            }
        }
    }

    fn on_servers(&mut self, scope: ListScope, entries: Vec<ServerEntry>) {
        if scope == ListScope::Lost {
            let wait = Micros(500_000 + self.rng.u64(0..500_000));
            return self.timer(Timer::Resubscribe, wait);
        }
        if scope == ListScope::Whole {
            self.servers.values_mut().for_each(|s| s.listed = false);
        }
        let (now, cold, units) = (self.now, self.set.cold, self.set.most_units);
        for e in entries {
            let new = || Server { limit: LIMIT_START, ..Server::default() };
            let s = self.servers.entry(e.server).or_insert_with(new);
            let started = e.started.filter(|&at| now < at + cold);
            if started.is_some_and(|started| s.cold_since.is_none_or(|at| at < started)) {
                // A new life: nothing held against the old one counts, and it starts slowly.
                *s = Server { out: s.out, ..new() };
                let level = -units * (1.0 + self.rng.f64()); // Seeded: gateways do not all send at once.
                s.cold_room = TokenBucket { level, depth: 1.0, rate: 0.0, at: now };
            }
            s.cold_since = started.or(s.cold_since);
            (s.zone, s.cell, s.weight) = (e.zone, e.cell, if e.weight > 0.0 { e.weight } else { 1.0 });
            s.listed = e.listed == Listed::InService;
        }
        // Guards against growing with every server there ever was.
        self.servers.retain(|_, s| s.listed || s.out > 0.0);
        self.ring = self.servers.iter().filter(|(_, s)| s.listed).map(|(&id, _)| id).collect();
        self.serve_held();
    }

    // ---- guards of the rules: every send and every refusal passes here ----

    fn may_repeat(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|r| self.servers.values().any(|s| self.may_send(r, s)))
    }

    /// Whether this request may go to this server now: lists and drains, effect, copies, cold servers.
    fn may_send(&self, r: &Request, s: &Server) -> bool {
        let class = &self.set.classes[r.a.class.0];
        let over =
            r.done || r.streaming || self.now >= r.a.deadline || r.attempts.len() >= self.set.max_attempts;
        let pushed = s.cold_since.is_some() && s.cold_room.level <= 0.0;
        let second = r.is_out() && !self.set.second_copies;
        if over || pushed || second || !s.listed {
            return false;
        }
        let mut ran = r.attempts.iter().filter(|a| a.out || a.may_have_run);
        match class.effect {
            Effect::Safe => true,
            Effect::Unsafe => ran.next().is_none(),
            // The window counts from the first send that may have run, less a tick on the way.
            Effect::Keyed => ran.all(|a| {
                self.now + self.set.tick + self.set.tick < a.sent + class.window
                    && match (class.group, self.servers.get(&a.server)) {
                        (Group::All, _) => true,
                        (Group::Zone, first) => first.is_some_and(|first| first.zone == s.zone),
                        (Group::Cell, first) => first.is_some_and(|first| first.cell == s.cell),
                    }
            }),
        }
    }

    /// Whether trying again is harmless for the client.
    fn may_refuse(&self, r: &Request) -> bool {
        let class = &self.set.classes[r.a.class.0];
        let ran = r.attempts.iter().any(|a| a.out || a.may_have_run);
        !r.streaming
            && match class.effect {
                Effect::Safe => true,
                Effect::Keyed => !ran || class.group == Group::All,
                Effect::Unsafe => !ran,
            }
    }
}
