//! What becomes of attempts, by the servers' zones, for whoever wants to know. It changes nothing.

use starlinghill_decision::api::{Outcome, ServerId};
use std::collections::HashMap;

/// An attempt that ended.
#[derive(Debug, Clone, Copy)]
pub struct EndedAttempt<'a> {
    /// Its server's zone.
    pub zone: &'a str,
    /// How.
    pub outcome: Outcome,
    /// The connection was refused: nothing listens there.
    pub refused: bool,
    /// It took longer than its class aims at.
    pub late: bool,
}

/// Hears of each attempt that ended. It is called between two events, and must not wait.
pub type Watcher = Box<dyn Fn(&EndedAttempt)>;

/// A watcher, and the zones of the listed servers.
pub(crate) struct Watched {
    tell: Watcher,
    zones: HashMap<ServerId, String>,
}

impl Watched {
    pub(crate) fn new(tell: Watcher) -> Watched {
        Watched { tell, zones: HashMap::new() }
    }

    /// A server is listed.
    pub(crate) fn listed(&mut self, server: ServerId, zone: &str) {
        self.zones.insert(server, zone.into());
    }

    /// Only these are listed still. Guards against growing with every server there ever was.
    pub(crate) fn keep(&mut self, mut listed: impl FnMut(&ServerId) -> bool) {
        self.zones.retain(|server, _| listed(server));
    }

    /// An attempt ended.
    pub(crate) fn ended(&self, server: ServerId, outcome: Outcome, refused: bool, late: bool) {
        if let Some(zone) = self.zones.get(&server) {
            (self.tell)(&EndedAttempt { zone, outcome, refused, late });
        }
    }
}
