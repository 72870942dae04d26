//! Orders, as they stand in the group's log. An order says who gives it and why, and carries an id: the same order
//! sent again, after an answer that got lost, counts once.

use crate::topology::Topology;
use crate::Permille;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The most bytes of an id.
pub const MAX_ID_BYTES: usize = 64;
/// The most bytes of an author's name or a reason.
pub const MAX_TEXT_BYTES: usize = 256;
/// The shortest time between steps of a ramp, in milliseconds. A gateway hears of a step in less.
pub const MIN_STEP_INTERVAL_MS: u32 = 500;
/// The longest time between steps of a ramp, in milliseconds.
pub const MAX_STEP_INTERVAL_MS: u32 = 3_600_000;

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
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Change {
    /// Give it less, in steps, down to a weight; at 0 it is out.
    Drain {
        /// The weight at the end.
        #[serde(rename = "to")]
        target_weight: Permille,
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
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneOrder {
    /// The zone.
    pub zone: String,
    /// What is to become of it.
    pub change: Change,
    /// The zone's epoch that the author saw. Where the zone has changed since, the order is refused: two who order
    /// opposite things at once can't both have meant what comes of it.
    #[serde(rename = "expect")]
    pub expected_epoch: Option<u64>,
    /// The region that takes over, where the last zone of a region goes.
    #[serde(rename = "next")]
    pub takeover_region: Option<String>,
    /// Go on though another zone is not in full service.
    pub force: bool,
}

/// What is ordered.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum OrderKind {
    /// Adopt this map. Zones that stay keep their states; new ones begin in service.
    Adopt {
        /// The map.
        #[serde(rename = "map")]
        topology: Topology,
        /// The group's epoch that the author saw; none for the first map.
        #[serde(rename = "expect")]
        expected_epoch: Option<u64>,
    },
    /// Change a zone.
    Zone(ZoneOrder),
    /// The next step of a ramp: the leader's own, when the time between steps is over.
    Step {
        /// The zone.
        zone: String,
        /// The zone's epoch that the step follows. A step proposed twice, or by a leader whose term ended, finds
        /// another epoch and does nothing.
        #[serde(rename = "of")]
        zone_epoch: u64,
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
    #[serde(rename = "what")]
    pub kind: OrderKind,
}

// The leader logs each applied order with `{:?}`. The names in that line are those of the stored form.
impl fmt::Debug for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Change::Drain { target_weight, ramp } => {
                f.debug_struct("Drain").field("to", target_weight).field("ramp", ramp).finish()
            }
            Change::Out => f.write_str("Out"),
            Change::Return { ramp } => f.debug_struct("Return").field("ramp", ramp).finish(),
            Change::Hold => f.write_str("Hold"),
        }
    }
}

impl fmt::Debug for ZoneOrder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ZoneOrder")
            .field("zone", &self.zone)
            .field("change", &self.change)
            .field("expect", &self.expected_epoch)
            .field("next", &self.takeover_region)
            .field("force", &self.force)
            .finish()
    }
}

impl fmt::Debug for OrderKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OrderKind::Adopt { topology, expected_epoch } => {
                f.debug_struct("Adopt").field("map", topology).field("expect", expected_epoch).finish()
            }
            OrderKind::Zone(order) => f.debug_tuple("Zone").field(order).finish(),
            OrderKind::Step { zone, zone_epoch } => {
                f.debug_struct("Step").field("zone", zone).field("of", zone_epoch).finish()
            }
        }
    }
}
