//! Orders, as they stand in the group's log. Each order names its author and reason and carries an id, so that an
//! order sent again after a lost answer counts once.

use crate::topology::Topology;
use crate::Permille;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The most bytes of an order's id.
pub const MAX_ID_BYTES: usize = 64;
/// The most bytes of an author's name and of a reason.
pub const MAX_TEXT_BYTES: usize = 256;
/// The shortest time between two steps of a ramp, in milliseconds. Gateways learn of a step in less, so each step takes
/// effect before the next one.
pub const MIN_STEP_INTERVAL_MS: u32 = 500;
/// The longest time between two steps of a ramp, in milliseconds.
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

/// A change of one zone's weight.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Change {
    /// Lower the weight in steps. A zone that reaches 0 is out of service.
    Drain {
        /// The weight after the last step.
        #[serde(rename = "to")]
        target_weight: Permille,
        /// The steps.
        ramp: Ramp,
    },
    /// Set the weight to 0 at once: the zone gets no new requests.
    Out,
    /// Raise the weight in steps to the full weight.
    Return {
        /// The steps.
        ramp: Ramp,
    },
    /// Keep the present weight. No ramp moves it until the next order.
    Hold,
}

/// An order about one zone.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneOrder {
    /// The name of the zone.
    pub zone: String,
    /// How its weight changes.
    pub change: Change,
    /// The zone's epoch that the author saw. If the zone has changed since, the order is refused. Without this, of two
    /// authors who order opposite things at once the later one would silently undo the other's order.
    #[serde(rename = "expect")]
    pub expected_epoch: Option<u64>,
    /// The region that takes over when the last zone of a region goes out of service.
    #[serde(rename = "next")]
    pub takeover_region: Option<String>,
    /// Accept the order although other zones are not in full service. Capacity limits still apply.
    pub force: bool,
}

/// The content of an order.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum OrderKind {
    /// Adopt a topology. Zones that stay keep their states; new zones begin in full service.
    Adopt {
        /// The new topology.
        #[serde(rename = "map")]
        topology: Topology,
        /// The group's epoch that the author saw. Ignored for the first topology.
        #[serde(rename = "expect")]
        expected_epoch: Option<u64>,
    },
    /// Change the weight of a zone.
    Zone(ZoneOrder),
    /// Make the next step of a ramp. The leader submits this itself when the time between steps is over.
    Step {
        /// The name of the zone.
        zone: String,
        /// The zone's epoch before the step. If a step is submitted twice, or by a leader whose term has ended, the zone
        /// has another epoch and the step is refused.
        #[serde(rename = "of")]
        zone_epoch: u64,
    },
}

/// An order with its id, author and reason.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Empty for steps, which the zone's epoch identifies.
    pub id: String,
    /// The person or program that gives the order.
    pub author: String,
    /// Why it is given, for the log.
    pub reason: String,
    /// When the order was given, in Unix milliseconds by the author's clock. Only displayed; no decision depends on it.
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
