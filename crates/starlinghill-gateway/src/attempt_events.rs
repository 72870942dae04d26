//! Reports the ends of attempts, with their servers' zones, to an observer. It has no effect on requests.

use starlinghill_decision::api::{Outcome, ServerId};
use std::collections::HashMap;

#[derive(Debug, Clone, Copy)]
/// An attempt that ended.
pub struct EndedAttempt<'a> {
    /// The zone of its server.
    pub zone: &'a str,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The connection was refused: no process listens at the address.
    pub refused: bool,
    /// The attempt took longer than the target time of its class.
    pub late: bool,
}

/// Called for each attempt that ends. It runs on the driver's task and must not block.
pub type AttemptObserver = Box<dyn Fn(&EndedAttempt)>;

/// An observer, and the zones of the listed servers.
pub(crate) struct AttemptReporter {
    observer: AttemptObserver,
    zones: HashMap<ServerId, String>,
}

impl AttemptReporter {
    pub(crate) fn new(observer: AttemptObserver) -> AttemptReporter {
        AttemptReporter { observer, zones: HashMap::new() }
    }

    /// Records the zone of a listed server.
    pub(crate) fn set_zone(&mut self, server: ServerId, zone: &str) {
        self.zones.insert(server, zone.into());
    }

    /// Forgets servers that are no longer listed, which would otherwise accumulate.
    pub(crate) fn retain(&mut self, mut listed: impl FnMut(&ServerId) -> bool) {
        self.zones.retain(|server, _| listed(server));
    }

    /// Reports the end of an attempt.
    pub(crate) fn attempt_ended(&self, server: ServerId, outcome: Outcome, refused: bool, late: bool) {
        if let Some(zone) = self.zones.get(&server) {
            (self.observer)(&EndedAttempt { zone, outcome, refused, late });
        }
    }
}
