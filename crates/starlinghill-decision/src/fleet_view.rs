//! The servers alone, as the module judges them, for a service that passes its decisions on to proxies. It
//! decides nothing of its own: lists, health and cold starts are those of every gateway.

use crate::api::*;
use crate::attempts::SPARE_PART;
use crate::context::Context;
use crate::fleet::FLEET_START;
use crate::health::{EJECT_DOUBLINGS, EJECT_FIRST, EJECT_SHARE};
use crate::roster::Fleet;
use crate::server::warm_part;
use crate::services::RETRY_SHARE;

/// The module's own bounds, for who must write them into another program's configuration.
#[derive(Debug, Clone, Copy)]
pub struct PolicyConstants {
    /// Further attempts earned by each request.
    pub retry_share: f64,
    /// Part of a class's aim left for a further attempt when the first is given up early.
    pub retry_reserve: f64,
    /// Attempts out at one server, over all gateways, where learning starts.
    pub initial_fleet_limit: f64,
    /// Share of failures that ejects a server.
    pub eject_share: f64,
    /// The first ejection's time.
    pub eject_first: Micros,
    /// How often that time doubles.
    pub eject_doublings: u32,
}

/// The module's bounds.
pub const POLICY_CONSTANTS: PolicyConstants = PolicyConstants {
    retry_share: RETRY_SHARE,
    retry_reserve: SPARE_PART,
    initial_fleet_limit: FLEET_START,
    eject_share: EJECT_SHARE,
    eject_first: EJECT_FIRST,
    eject_doublings: EJECT_DOUBLINGS,
};

/// What the module holds of a server's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Nothing is held against it.
    Healthy,
    /// It was ejected, that time is over, and it is to be tried with a little.
    OnTrial,
    /// It gets nothing until then.
    Ejected(Micros),
}

/// One listed server.
#[derive(Debug, Clone, Copy)]
pub struct ServerStatus {
    /// The server.
    pub server: ServerId,
    /// Its size against the others.
    pub weight: f64,
    /// Its health.
    pub health: Health,
    /// Since when it is cold, if it is.
    pub cold_since: Option<Micros>,
}

/// The servers and the module's judgement of them.
pub struct FleetView {
    cx: Context,
    fleet: Fleet,
}

impl FleetView {
    /// A view that knows nothing but its settings.
    pub fn new(seed: u64, set: Settings) -> Result<FleetView, SettingsError> {
        set.check()?;
        Ok(FleetView { cx: Context::new(seed, set), fleet: Fleet::default() })
    }

    /// News of the list; [`ListScope::Failed`] changes nothing.
    pub fn update_list(&mut self, now: Micros, scope: ListScope, entries: Vec<ServerEntry>) {
        self.at(now);
        if scope != ListScope::Failed {
            self.fleet.update(&mut self.cx, scope, entries);
        }
    }

    /// An attempt ended somewhere; it is judged as if a gateway had made it.
    pub fn attempt_ended(
        &mut self,
        now: Micros,
        server: ServerId,
        outcome: Outcome,
        took: Micros,
        target: Micros,
    ) {
        self.at(now);
        self.fleet.judge(&mut self.cx, server, outcome, took, target);
    }

    /// The listed servers, in the order of their numbers.
    pub fn statuses(&mut self, now: Micros) -> Vec<ServerStatus> {
        self.at(now);
        self.fleet.warm_up(&self.cx);
        let listed = self.fleet.servers.iter().filter(|(_, s)| s.listed);
        let facts = listed.map(|(&server, s)| {
            let health = match s.ejected_until {
                until if until > self.cx.now => Health::Ejected(until),
                _ if s.trial => Health::OnTrial,
                _ => Health::Healthy,
            };
            ServerStatus { server, weight: s.weight, health, cold_since: s.cold_since }
        });
        facts.collect()
    }

    /// The part of a warm server's work that one gets which started so long ago.
    pub fn warm_part(&self, age: Micros) -> f64 {
        warm_part(&self.cx.set, age)
    }

    fn at(&mut self, now: Micros) {
        self.cx.now = self.cx.now.max(now);
    }
}
