//! Why an order is refused. A refusal lists every cause, so that its author can correct all of them at once.

use crate::order::{MAX_ID_BYTES, MAX_STEP_INTERVAL_MS, MAX_TEXT_BYTES, MIN_STEP_INTERVAL_MS};
use crate::state::Phase;
use crate::topology::TopologyProblem;
use crate::Permille;
use serde::{Deserialize, Serialize};
use std::fmt;

/// One cause of a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Cause {
    /// The id is empty or too long, or a ramp step has one.
    BadId,
    /// An earlier order with this id had another content.
    IdReused,
    /// The author is empty or too long.
    BadAuthor,
    /// The reason is empty or too long.
    BadReason,
    /// The topology is invalid.
    #[serde(rename = "bad_map")]
    BadTopology {
        /// The first problems found.
        #[serde(rename = "problems")]
        topology_problems: Vec<TopologyProblem>,
    },
    /// The group has not adopted a topology yet.
    #[serde(rename = "no_map")]
    NoTopology,
    /// The group's state has changed since the author saw it.
    GroupChanged {
        /// The group's epoch that the author saw.
        seen: Option<u64>,
        /// The group's epoch now.
        now: u64,
    },
    /// The new topology leaves out a zone that still takes traffic.
    ZoneInService {
        /// The name of the zone.
        zone: String,
    },
    /// The topology has no zone of this name.
    #[serde(rename = "no_zone")]
    UnknownZone {
        /// The name in the order.
        zone: String,
        /// The first zones of the topology.
        known: Vec<String>,
    },
    /// The zone has changed since the author saw it.
    ZoneChanged {
        /// The zone's epoch that the author saw.
        seen: u64,
        /// The zone's epoch now.
        now: u64,
        /// The author of the last order about it.
        by: String,
        /// Its phase now.
        phase: Phase,
    },
    /// The order would change nothing.
    #[serde(rename = "already_so")]
    AlreadyInPhase {
        /// The zone's phase now.
        phase: Phase,
    },
    /// A drain's target weight is not below the present weight.
    #[serde(rename = "not_less")]
    TargetNotLower {
        /// The target weight in the order.
        #[serde(rename = "to")]
        target_weight: Permille,
        /// The zone's weight now.
        now: Permille,
    },
    /// The size of the ramp's steps, or the time between them, is out of bounds.
    BadRamp,
    /// The order lowers a zone while others are not in full service, or returns one while others return. Two such
    /// changes at once can overload the remaining zones; `force` allows them.
    #[serde(rename = "not_alone")]
    OtherZonesNotInFullService {
        /// The first of these other zones.
        zones: Vec<String>,
    },
    /// The zone is the last one of its region in service, and the order names no region that takes over.
    #[serde(rename = "last_of_region")]
    LastZoneOfRegion {
        /// The name of the region.
        region: String,
    },
    /// Under the new topology a region has no zone in service, and no region in service takes over for it.
    #[serde(rename = "region_without")]
    RegionUnserved {
        /// The name of the region.
        region: String,
    },
    /// The region named to take over is unknown, is the zone's own, or has no zone in service.
    #[serde(rename = "bad_next")]
    BadTakeoverRegion {
        /// The region in the order.
        #[serde(rename = "next")]
        region: String,
    },
    /// No zone at all would stay in service.
    #[serde(rename = "last_of_all")]
    NoZoneLeft,
    /// Less capacity than the topology's floor would stay in service.
    BelowFloor {
        /// The part that would stay, in thousandths of all capacity.
        left: Permille,
        /// The part that has to stay, in thousandths.
        floor: Permille,
    },
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::BadId => write!(f, "the order's id must have 1 to {MAX_ID_BYTES} bytes"),
            Cause::IdReused => f.write_str("another order had this id"),
            Cause::BadAuthor => write!(f, "the author must have 1 to {MAX_TEXT_BYTES} bytes"),
            Cause::BadReason => write!(f, "the reason must have 1 to {MAX_TEXT_BYTES} bytes"),
            Cause::BadTopology { topology_problems } => {
                let lines: Vec<String> = topology_problems.iter().map(TopologyProblem::to_string).collect();
                write!(f, "invalid map of zones: {}", lines.join("; "))
            }
            Cause::NoTopology => f.write_str("the group has no map of zones yet"),
            Cause::GroupChanged { seen, now } => {
                let seen = seen.map_or("none".into(), |e| e.to_string());
                write!(f, "the group has changed since you looked: epoch {now} now, {seen} then")
            }
            Cause::ZoneInService { zone } => {
                write!(f, "zone '{zone}' would leave the map while it is in service; take it out first")
            }
            Cause::UnknownZone { zone, known } => {
                write!(f, "expected one of the zones {}, found '{}'", known.join(", "), zone.escape_debug())
            }
            Cause::ZoneChanged { seen, now, by, phase } => write!(
                f,
                "the zone has changed since you looked: {phase} by {by} at epoch {now}, you saw epoch {seen}"
            ),
            Cause::AlreadyInPhase { phase } => write!(f, "the zone is {phase} already"),
            Cause::TargetNotLower { target_weight: to, now } => {
                write!(f, "expected a weight below the present {now} thousandths to drain to, found {to}")
            }
            Cause::BadRamp => write!(
                f,
                "expected steps of 1 to 1000 thousandths, {MIN_STEP_INTERVAL_MS} to {MAX_STEP_INTERVAL_MS} ms apart"
            ),
            Cause::OtherZonesNotInFullService { zones } => {
                write!(f, "not in full service already: {}; --force goes on all the same", zones.join(", "))
            }
            Cause::LastZoneOfRegion { region } => {
                write!(
                    f,
                    "it is the last zone of region '{region}'; name the region that takes over (--next)"
                )
            }
            Cause::RegionUnserved { region } => write!(
                f,
                "region '{}' would have nothing in service, and no region in service takes over for it",
                region.escape_debug()
            ),
            Cause::BadTakeoverRegion { region: next } => {
                write!(
                    f,
                    "region '{}' can't take over: expected another region in service",
                    next.escape_debug()
                )
            }
            Cause::NoZoneLeft => f.write_str("no zone at all would be left in service"),
            Cause::BelowFloor { left, floor } => {
                write!(f, "{left} thousandths of all capacity would stay in service, {floor} have to")
            }
        }
    }
}
