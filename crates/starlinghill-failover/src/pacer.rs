//! Decides when the leader submits the next step of a ramp. The time is measured on the leader's own monotonic clock,
//! from when it first saw the zone's epoch. A new leader starts measuring again, so a step can be late but never early.

use crate::state::State;
use crate::Micros;
use std::collections::BTreeMap;

/// A ramp step that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DueStep {
    /// The name of the zone.
    pub zone: String,
    /// The zone's epoch before the step.
    pub zone_epoch: u64,
}

/// The leader's timers, one for each zone with a pending step.
#[derive(Debug, Default)]
pub struct Pacer {
    /// The epoch of each zone, and when the leader first saw it or last submitted its step.
    timers: BTreeMap<String, (u64, Micros)>,
}

impl Pacer {
    /// The steps that are due now. A submitted step that is not carried out becomes due again after the ramp's interval.
    pub fn due_steps(&mut self, now: Micros, state: &State, leading: bool) -> Vec<DueStep> {
        if !leading {
            self.timers.clear();
            return Vec::new();
        }
        self.timers.retain(|zone, (epoch, _)| {
            state.zones.get(zone).is_some_and(|z| z.epoch == *epoch && z.has_pending_step())
        });
        let mut due = Vec::new();
        for (zone, zone_state) in state.zones.iter().filter(|(_, z)| z.has_pending_step()) {
            let (_, since) = self.timers.entry(zone.clone()).or_insert((zone_state.epoch, now));
            let interval_us = zone_state.ramp.map_or(0, |r| u64::from(r.every_ms) * 1_000);
            if now.0.saturating_sub(since.0) >= interval_us {
                *since = now;
                due.push(DueStep { zone: zone.clone(), zone_epoch: zone_state.epoch });
            }
        }
        due
    }
}
