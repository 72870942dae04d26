//! When the leader makes the next step of a ramp. Only the leader's own monotonic clock counts, from when it first
//! saw the zone's epoch: a new leader begins anew, so that a step may come late, and never early.

use crate::state::State;
use crate::Micros;
use std::collections::BTreeMap;

/// A step that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Due {
    /// The zone.
    pub zone: String,
    /// The zone's epoch that the step follows.
    pub zone_epoch: u64,
}

/// The leader's watch over ramps.
#[derive(Debug, Default)]
pub struct Pacer {
    seen: BTreeMap<String, (u64, Micros)>,
}

impl Pacer {
    /// The steps that are due now. One that is proposed and not carried out is due again after the same time.
    pub fn due_steps(&mut self, now: Micros, state: &State, leading: bool) -> Vec<Due> {
        if !leading {
            self.seen.clear();
            return Vec::new();
        }
        self.seen.retain(|zone, (epoch, _)| {
            state.zones.get(zone).is_some_and(|z| z.epoch == *epoch && z.has_pending_step())
        });
        let mut due = Vec::new();
        for (zone, z) in state.zones.iter().filter(|(_, z)| z.has_pending_step()) {
            let (_, since) = self.seen.entry(zone.clone()).or_insert((z.epoch, now));
            let pace = z.ramp.map_or(0, |r| u64::from(r.every_ms) * 1_000);
            if now.0.saturating_sub(since.0) >= pace {
                *since = now;
                due.push(Due { zone: zone.clone(), zone_epoch: z.epoch });
            }
        }
        due
    }
}
