//! Why an order is refused. A refusal names every cause, so that an order is not mended one cause at a time.

use crate::order::{MAX_ID_BYTES, MAX_STEP_INTERVAL_MS, MAX_TEXT_BYTES, MIN_STEP_INTERVAL_MS};
use crate::state::Phase;
use crate::topology::TopologyProblem;
use crate::Permille;
use serde::{Deserialize, Serialize};
use std::fmt;

/// One cause.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Cause {
    /// The id is empty or too long.
    BadId,
    /// An order of that id was another one.
    IdReused,
    /// The author is empty or too long.
    BadAuthor,
    /// The reason is empty or too long.
    BadReason,
    /// The map can't be used.
    #[serde(rename = "bad_map")]
    BadTopology {
        /// What is wrong.
        #[serde(rename = "problems")]
        topology_problems: Vec<TopologyProblem>,
    },
    /// No map was adopted yet.
    #[serde(rename = "no_map")]
    NoTopology,
    /// The group's state has changed since the author saw it.
    GroupChanged {
        /// The epoch that the author saw.
        seen: Option<u64>,
        /// The epoch now.
        now: u64,
    },
    /// A zone that is still in service would be dropped from the map.
    ZoneInService {
        /// The zone.
        zone: String,
    },
    /// The zone is not on the map.
    #[serde(rename = "no_zone")]
    UnknownZone {
        /// What was named.
        zone: String,
        /// The zones that there are.
        known: Vec<String>,
    },
    /// The zone has changed since the author saw it.
    ZoneChanged {
        /// The epoch that the author saw.
        seen: u64,
        /// The zone's epoch now.
        now: u64,
        /// Who changed it.
        by: String,
        /// What it is now.
        phase: Phase,
    },
    /// It is so already.
    #[serde(rename = "already_so")]
    AlreadyInPhase {
        /// What the zone is.
        phase: Phase,
    },
    /// The weight to drain to is not below the present one.
    #[serde(rename = "not_less")]
    TargetNotLower {
        /// The weight wanted.
        #[serde(rename = "to")]
        target_weight: Permille,
        /// The weight now.
        now: Permille,
    },
    /// The ramp's step or pace is out of bounds.
    BadRamp,
    /// Other zones are not in full service.
    #[serde(rename = "not_alone")]
    OtherZonesNotInFullService {
        /// These.
        zones: Vec<String>,
    },
    /// It would be the last zone of its region, and no region is named that takes over.
    #[serde(rename = "last_of_region")]
    LastZoneOfRegion {
        /// The region.
        region: String,
    },
    /// Under the new map a region would have nothing in service, and no region in service takes over.
    #[serde(rename = "region_without")]
    RegionUnserved {
        /// The region.
        region: String,
    },
    /// The region named to take over is not there, is the same, or has nothing in service.
    #[serde(rename = "bad_next")]
    BadTakeoverRegion {
        /// What was named.
        #[serde(rename = "next")]
        region: String,
    },
    /// No zone at all would be left.
    #[serde(rename = "last_of_all")]
    NoZoneLeft,
    /// Too little would stay in service.
    BelowFloor {
        /// What would stay, in thousandths of all capacity.
        left: Permille,
        /// What has to.
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
                write!(f, "the map can't be used: {}", lines.join("; "))
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
