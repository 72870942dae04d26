//! Orders, as they stand in the group's log. An order says who gives it and why, and carries an id: the same order
//! sent again, after an answer that got lost, counts once.

use crate::topology::Topology;
use crate::Permille;
use serde::{Deserialize, Serialize};

/// The most bytes of an id.
pub const LONGEST_ID: usize = 64;
/// The most bytes of an author's name or a reason.
pub const LONGEST_WORDS: usize = 256;
/// The shortest time between steps of a ramp, in milliseconds. A gateway hears of a step in less.
pub const SHORTEST_PACE: u32 = 500;
/// The longest time between steps of a ramp, in milliseconds.
pub const LONGEST_PACE: u32 = 3_600_000;

/// How a weight changes in steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ramp {
    /// The most that one step changes the weight by.
    pub step: Permille,
    /// The least time between two steps, in milliseconds.
    pub every_ms: u32,
}

/// What is to become of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Change {
    /// Give it less, in steps, down to a weight; at 0 it is out.
    Drain {
        /// The weight at the end.
        to: Permille,
        /// The steps.
        ramp: Ramp,
    },
    /// Give it nothing new, at once.
    Out,
    /// Give it more, in steps, until it has its whole part.
    Return {
        /// The steps.
        ramp: Ramp,
    },
    /// Leave its weight as it is; nothing automatic moves it.
    Hold,
}

/// An order about one zone.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneOrder {
    /// The zone.
    pub zone: String,
    /// What is to become of it.
    pub change: Change,
    /// The zone's epoch that the author saw. Where the zone has changed since, the order is refused: two who order
    /// opposite things at once can't both have meant what comes of it.
    pub expect: Option<u64>,
    /// The region that takes over, where the last zone of a region goes.
    pub next: Option<String>,
    /// Go on though another zone is not in full service.
    pub force: bool,
}

/// What is ordered.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum OrderKind {
    /// Adopt this map. Zones that stay keep their states; new ones begin in service.
    Adopt {
        /// The map.
        map: Topology,
        /// The group's epoch that the author saw; none for the first map.
        expect: Option<u64>,
    },
    /// Change a zone.
    Zone(ZoneOrder),
    /// The next step of a ramp: the leader's own, when the time between steps is over.
    Step {
        /// The zone.
        zone: String,
        /// The zone's epoch that the step follows. A step proposed twice, or by a leader whose term ended, finds
        /// another epoch and does nothing.
        of: u64,
    },
}

/// An order with what is said of it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Its id. Empty for steps, which their epoch tells apart.
    pub id: String,
    /// Who gives it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// When, in Unix milliseconds by the author's clock. For people to read; nothing is decided by it.
    pub at_ms: u64,
    /// What is ordered.
    pub what: OrderKind,
}
