//! State of the servers that one process of a gateway passes to the process that replaces it, with its age.

use crate::api::*;
use crate::attempts::Gateway;
use starlinghill_estimate::server_capacity::ServerCapacity;

/// State of this age is ignored; the weight of younger state falls linearly with age.
const MAX_AGE: Micros = Micros(10_000_000);
/// Highest values that are believed: attempts in flight at one server, and bursts of the largest request a
/// second for each unit of weight. Wrong values must not let a process overload servers that have just
/// started.
const MAX_LIMIT: f64 = 16.0;
const MAX_BURSTS_PER_S: f64 = 100.0;

impl Gateway {
    /// What is known of the servers now, for the next process.
    pub fn learned_state(&self) -> LearnedState {
        let fleet = self.fleets.get(ServiceId::default());
        let known = fleet.servers.iter().filter(|(_, s)| s.listed && s.latency > 0.0);
        let servers = known.map(|(&id, s)| (id, s.limit, s.latency)).collect();
        LearnedState { at: self.cx.now, per_weight: fleet.capacity.rate(), servers }
    }

    /// Takes over what an earlier process knew, weighted by its age. Servers that are cold now, or that this
    /// process has already used, are left as they are.
    pub(crate) fn on_learned(&mut self, learned: LearnedState) {
        let age = self.cx.now - learned.at;
        if age >= MAX_AGE || learned.at > self.cx.now + MAX_AGE {
            return;
        }
        let trust = 1.0 - age.secs() / MAX_AGE.secs();
        let valid = |v: f64, most: f64| v.is_finite() && v > 0.0 && v <= most;
        if valid(learned.per_weight, MAX_BURSTS_PER_S * self.cx.settings.most_units.max(1.0)) {
            self.fleets
                .all()
                .take(1)
                .for_each(|fleet| fleet.capacity = ServerCapacity::from_previous(learned.per_weight * trust));
        }
        for (id, limit, latency) in learned.servers {
            let server = self.fleets.of_server(id).servers.get_mut(&id);
            let server = server.filter(|s| s.cold_since.is_none() && s.latency == 0.0 && s.in_flight == 0.0);
            if let Some(s) = server.filter(|_| valid(limit, MAX_LIMIT) && valid(latency, 60e6)) {
                s.limit += (limit - s.limit) * trust;
                s.latency = latency;
            }
        }
    }
}
