//! The servers as the module judges them, without requests, for a service that passes the result on to
//! proxies. Lists, health and cold starts are handled by the code that every gateway uses.

use crate::api::*;
use crate::attempts::RETRY_RESERVE;
use crate::context::Context;
use crate::fleet::INITIAL_FLEET_LIMIT;
use crate::health::{EJECT_DOUBLINGS, EJECT_FIRST, EJECT_SHARE};
use crate::roster::Fleet;
use crate::server::warm_part;
use crate::services::RETRY_SHARE;

/// The module's constants that must be written into another program's configuration.
#[derive(Debug, Clone, Copy)]
pub struct PolicyConstants {
    /// Retries earned by each request.
    pub retry_share: f64,
    /// A first attempt is given up early with this fraction of the class's target left for a retry.
    pub retry_reserve: f64,
    /// Attempts in flight at one server over all gateways when learning starts.
    pub initial_fleet_limit: f64,
    /// Share of failed attempts that ejects a server.
    pub eject_share: f64,
    /// Duration of the first ejection.
    pub eject_first: Micros,
    /// How often that duration doubles.
    pub eject_doublings: u32,
}

/// The constants that the module uses.
pub const POLICY_CONSTANTS: PolicyConstants = PolicyConstants {
    retry_share: RETRY_SHARE,
    retry_reserve: RETRY_RESERVE,
    initial_fleet_limit: INITIAL_FLEET_LIMIT,
    eject_share: EJECT_SHARE,
    eject_first: EJECT_FIRST,
    eject_doublings: EJECT_DOUBLINGS,
};

/// A server's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It gets its full part.
    Healthy,
    /// Its ejection has ended; it is to be tried with little work.
    OnTrial,
    /// It gets nothing until this time.
    Ejected(Micros),
}

/// The state of a listed server.
#[derive(Debug, Clone, Copy)]
pub struct ServerStatus {
    /// The server.
    pub server: ServerId,
    /// Its capacity relative to the other servers.
    pub weight: f64,
    /// Its health.
    pub health: Health,
    /// When it started, while it is cold.
    pub cold_since: Option<Micros>,
}

/// The servers, and the module's judgement of them.
pub struct FleetView {
    cx: Context,
    fleet: Fleet,
}

impl FleetView {
    /// A view without any servers.
    pub fn new(seed: u64, set: Settings) -> Result<FleetView, SettingsError> {
        set.check()?;
        Ok(FleetView { cx: Context::new(seed, set), fleet: Fleet::default() })
    }

    /// Applies news of the server list; [`ListScope::Failed`] changes nothing.
    pub fn update_list(&mut self, now: Micros, scope: ListScope, entries: Vec<ServerEntry>) {
        self.set_time(now);
        if scope != ListScope::Failed {
            self.fleet.update(&mut self.cx, scope, entries);
        }
    }

    /// Judges an attempt that ended somewhere as if a gateway had made it. `target` is its class's target.
    pub fn attempt_ended(
        &mut self,
        now: Micros,
        server: ServerId,
        outcome: Outcome,
        took: Micros,
        target: Micros,
    ) {
        self.set_time(now);
        self.fleet.record_outcome(&mut self.cx, server, outcome, took, target);
    }

    /// The listed servers in the order of their ids.
    pub fn statuses(&mut self, now: Micros) -> Vec<ServerStatus> {
        self.set_time(now);
        self.fleet.warm_up(&self.cx);
        let listed = self.fleet.servers.iter().filter(|(_, s)| s.listed);
        let statuses = listed.map(|(&server, s)| {
            let health = match s.ejected_until {
                until if until > self.cx.now => Health::Ejected(until),
                _ if s.trial => Health::OnTrial,
                _ => Health::Healthy,
            };
            ServerStatus { server, weight: s.weight, health, cold_since: s.cold_since }
        });
        statuses.collect()
    }

    /// The fraction of a warm server's work that a server gets at this time after its start.
    pub fn warm_part(&self, age: Micros) -> f64 {
        warm_part(&self.cx.settings, age)
    }

    fn set_time(&mut self, now: Micros) {
        self.cx.now = self.cx.now.max(now);
    }
}
