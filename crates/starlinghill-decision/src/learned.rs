//! What the processes of one gateway pass on to each other: what is known of the servers, with an age.

use crate::api::*;
use crate::attempts::Gateway;
use starlinghill_estimate::server_capacity::ServerCapacity;

/// What is older counts for nothing; what is younger loses weight evenly.
const OLDEST: Micros = Micros(10_000_000);
/// The most that is believed of a bound, and of the rate for each unit of weight in bursts of the largest request: a wrong figure
/// must not let a process push servers over that came up just now.
const MOST_BOUND: f64 = 16.0;
const MOST_RATE: f64 = 100.0;

impl Gateway {
    /// What is known of the servers now.
    pub fn learned_state(&self) -> LearnedState {
        let fleet = self.fleet.of(ServiceId::default());
        let known = fleet.servers.iter().filter(|(_, s)| s.listed && s.latency > 0.0);
        let servers = known.map(|(&id, s)| (id, s.limit, s.latency)).collect();
        LearnedState { at: self.cx.now, per_weight: fleet.borne.rate(), servers }
    }

    /// Takes over what an earlier process knew, by its age. Servers that are cold now, or that this process knows better, are left
    /// as they are.
    pub(crate) fn on_learned(&mut self, learned: LearnedState) {
        let age = self.cx.now - learned.at;
        if age >= OLDEST || learned.at > self.cx.now + OLDEST {
            return;
        }
        let trust = 1.0 - age.secs() / OLDEST.secs();
        let sound = |v: f64, most: f64| v.is_finite() && v > 0.0 && v <= most;
        if sound(learned.per_weight, MOST_RATE * self.cx.set.most_units.max(1.0)) {
            self.fleet
                .all()
                .take(1)
                .for_each(|fleet| fleet.borne = ServerCapacity::from_previous(learned.per_weight * trust));
        }
        for (id, limit, latency) in learned.servers {
            let server = self.fleet.with(id).servers.get_mut(&id);
            let server = server.filter(|s| s.cold_since.is_none() && s.latency == 0.0 && s.out == 0.0);
            if let Some(s) = server.filter(|_| sound(limit, MOST_BOUND) && sound(latency, 60e6)) {
                s.limit += (limit - s.limit) * trust;
                s.latency = latency;
            }
        }
    }
}
