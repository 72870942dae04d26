//! A gateway under test, driven through the interface, with a clock and timers.
#![allow(dead_code)]

use starlinghill_decision::api::*;
use starlinghill_decision::Gateway;

pub const MS: u64 = 1_000;
pub const S: u64 = 1_000_000;

pub fn class(effect: Effect, group: Group) -> Class {
    Class {
        target: Micros(800 * MS),
        deadline: Micros(3 * S),
        worth: 1.0,
        late_worth: 0.0,
        effect,
        group,
        window: Micros(S),
        stream: false,
    }
}

pub fn plan(rate: f64, burst: f64) -> Plan {
    Plan {
        rate,
        burst,
        open: 0.0,
        price: 1.0,
        over_worth: 0.0,
        over_cost: 1.0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
    }
}

/// Classes: 0 safe, 1 keyed by cell, 2 unsafe, 3 keyed by all servers. Plans: 0 ten units a second and bursts
/// of twenty, 1 the same under a ceiling twice as high, 2 two requests in flight, 3 no quota.
pub fn settings() -> Settings {
    let ceiling = Plan { ceiling_rate: 20.0, ceiling_burst: 40.0, ceiling_slack: 4.0, ..plan(10.0, 20.0) };
    Settings {
        gateways: 2,
        classes: vec![
            class(Effect::Safe, Group::All),
            class(Effect::Keyed, Group::Cell),
            class(Effect::Unsafe, Group::All),
            class(Effect::Keyed, Group::All),
        ],
        plans: vec![plan(10.0, 20.0), ceiling, Plan { open: 2.0, ..plan(0.0, 0.0) }, plan(0.0, 0.0)],
        max_attempts: 4,
        may_cancel: true,
        retry_after: true,
        max_retry_after: Micros(2 * S),
        counter: true,
        count_timeout: Micros(80 * MS),
        most_units: 4.0,
        answer_slack: Micros(8 * MS),
        cold_from: 0.2,
        cold: Micros(10 * S),
        fall_multiple: 2.0,
        tip_after: Micros(S),
        tick: Micros(2 * MS),
        ..Settings::default()
    }
}

/// A gateway with a clock in microseconds, all actions so far, and the next request id.
pub struct Rig {
    pub gateway: Gateway,
    pub now: u64,
    pub actions: Vec<Action>,
    pub next_id: u64,
    timers: Vec<(u64, TimerId)>,
}

impl Rig {
    pub fn new(settings: Settings, servers: u32) -> Rig {
        Rig::seeded(7, settings, servers)
    }
    pub fn seeded(seed: u64, settings: Settings, servers: u32) -> Rig {
        let gateway = Gateway::new(seed, settings).expect("valid settings");
        let mut rig = Rig { gateway, now: 1_000 * S, actions: Vec::new(), next_id: 1, timers: Vec::new() };
        let entries = (0..servers).map(|i| entry(i, Listed::InService, None)).collect();
        rig.handle(Event::Servers(ListScope::Complete, entries));
        rig
    }
    /// Handles one event and returns the resulting actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.gateway.handle(Micros(self.now), event, &mut out);
        for action in &out {
            if let Action::SetTimer(id, after) = action {
                self.timers.push((self.now + after.0, *id));
            }
        }
        self.actions.extend(out.iter().cloned());
        out
    }
    /// Advances the clock by this many microseconds, fires timers as they come due, and returns the resulting
    /// actions.
    pub fn advance(&mut self, span: u64) -> Vec<Action> {
        let (end, mut actions) = (self.now + span, Vec::new());
        while let Some(&(at, id)) = self.timers.iter().filter(|t| t.0 <= end).min_by_key(|t| t.0) {
            self.timers.retain(|t| t.1 != id);
            self.now = self.now.max(at);
            actions.extend(self.handle(Event::Timer(id)));
        }
        self.now = end;
        actions
    }
    /// Starts a request of a customer with a spread of two; returns its id and the actions.
    pub fn request(
        &mut self,
        class: usize,
        plan: usize,
        customer: u64,
        units: f64,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let deadline = Micros(self.now + 3 * S);
        let (class, plan, customer) = (ClassId(class), PlanId(plan), CustomerId(customer));
        let arrival = Arrival {
            id,
            class,
            plan,
            customer,
            spread: 2,
            first: 0,
            deadline,
            units,
            resent: false,
            once: false,
            ..Arrival::default()
        };
        (id, self.handle(Event::Request(arrival)))
    }
    /// Starts a request without a quota, which is sent at once; returns the server that it went to.
    pub fn sent(&mut self, class: usize) -> (RequestId, ServerId) {
        let (id, out) = self.request(class, 3, 1, 1.0);
        (id, sends(&out).first().expect("the request is sent").1)
    }
    /// Ends an attempt after 50 ms; success answers the request.
    pub fn attempt_ended(
        &mut self,
        id: RequestId,
        attempt: usize,
        server: ServerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        let (took, ended) = (Micros(50 * MS), outcome == Outcome::Ok);
        let report = Report::default();
        let end = AttemptEnd { id, attempt, server, outcome, took, ended, actual_units: None, report };
        self.handle(Event::AttemptEnded(end))
    }
}

pub fn entry(i: u32, listed: Listed, started: Option<u64>) -> ServerEntry {
    ServerEntry {
        server: ServerId(u64::from(i)),
        service: ServiceId::default(),
        zone: ZoneId(0),
        cell: CellId(u64::from(i) / 2),
        listed,
        weight: 1.0,
        started: started.map(Micros),
    }
}

/// The count calls among these actions.
pub fn counts(out: &[Action]) -> Vec<(CountName, f64)> {
    out.iter().filter_map(|a| if let Action::Count(n, x, _) = a { Some((*n, *x)) } else { None }).collect()
}
/// The count calls that change a count.
pub fn adds(out: &[Action]) -> Vec<(CountName, f64)> {
    counts(out).into_iter().filter(|(_, x)| *x != 0.0).collect()
}
pub fn sends(out: &[Action]) -> Vec<(RequestId, ServerId)> {
    out.iter().filter_map(|a| if let Action::Send(r, s, _) = a { Some((*r, *s)) } else { None }).collect()
}
pub fn refused(out: &[Action], id: RequestId) -> bool {
    out.iter().any(|a| matches!(a, Action::Refuse(r, _) if *r == id))
}
pub fn failed(out: &[Action], id: RequestId) -> bool {
    out.contains(&Action::Fail(id))
}
