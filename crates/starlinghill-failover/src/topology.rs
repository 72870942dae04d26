//! Regions and zones. They come from the operators' settings file, and the group adopts them by an order. A member or
//! gateway whose file differs is then told so, instead of acting on zones that the others don't have.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The most zones of a topology. Bounds the size of the messages to gateways.
pub const MAX_ZONES: usize = 256;
/// The most bytes of a name of a zone, region, gateway or member.
pub const MAX_NAME_BYTES: usize = 64;
/// The largest capacity of a zone. The weighted sum over [`MAX_ZONES`] zones stays far below 64 bits.
pub const MAX_CAPACITY: u32 = 1_000_000;

/// A zone of the topology.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// The name of its region.
    pub region: String,
    /// The load that it can take, relative to the other zones.
    pub capacity: u32,
}

/// The regions and zones that the group serves.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    /// The names of the regions, the most preferred first.
    pub regions: Vec<String>,
    /// The zones by name.
    pub zones: BTreeMap<String, Zone>,
    /// The least part of all capacity that must stay in service, in thousandths. Orders that would go below it are
    /// refused.
    pub floor: u16,
}

/// Cuts a name from outside to [`MAX_NAME_BYTES`] characters, so that it can be stored and displayed.
pub(crate) fn clipped(name: &str) -> String {
    name.chars().take(MAX_NAME_BYTES).collect()
}

/// A reason why a topology is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TopologyProblem {
    /// There is no zone.
    #[serde(rename = "Empty")]
    NoZones,
    /// There are more than [`MAX_ZONES`] zones; holds their number.
    #[serde(rename = "TooMany")]
    TooManyZones(usize),
    /// A name that [`is_name`] does not accept.
    #[serde(rename = "Name")]
    BadName(String),
    /// A region is listed twice.
    #[serde(rename = "Twice")]
    DuplicateRegion(String),
    /// A zone names a region that is not listed.
    #[serde(rename = "NoRegion")]
    UnknownRegion {
        /// The name of the zone.
        zone: String,
        /// The region that it names.
        region: String,
    },
    /// A region without a zone.
    EmptyRegion(String),
    /// A zone's capacity is 0 or above [`MAX_CAPACITY`].
    #[serde(rename = "Capacity")]
    BadCapacity {
        /// The name of the zone.
        zone: String,
        /// Its capacity.
        #[serde(rename = "found")]
        capacity: u32,
    },
    /// The floor is above 1000 thousandths.
    #[serde(rename = "Floor")]
    FloorTooHigh(u16),
}

impl fmt::Display for TopologyProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TopologyProblem::NoZones => f.write_str("expected at least one zone, found none"),
            TopologyProblem::TooManyZones(n) => write!(f, "expected at most {MAX_ZONES} zones, found {n}"),
            TopologyProblem::BadName(name) => write!(
                f,
                "expected a name of 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.', found '{}'",
                name.escape_debug()
            ),
            TopologyProblem::DuplicateRegion(name) => {
                write!(f, "expected each region once, found '{name}' again")
            }
            TopologyProblem::UnknownRegion { zone, region } => {
                write!(f, "zone '{zone}': expected one of the regions, found '{region}'")
            }
            TopologyProblem::EmptyRegion(name) => {
                write!(f, "region '{name}': expected at least one zone, found none")
            }
            TopologyProblem::BadCapacity { zone, capacity } => {
                write!(f, "zone '{zone}': expected a capacity from 1 to {MAX_CAPACITY}, found {capacity}")
            }
            TopologyProblem::FloorTooHigh(found) => {
                write!(f, "expected a floor of at most 1000 thousandths, found {found}")
            }
        }
    }
}
impl std::error::Error for TopologyProblem {}

/// Whether a zone, region, gateway or member may have this name: 1 to [`MAX_NAME_BYTES`] ASCII letters, digits, `-`,
/// `_` or `.`.
pub fn is_name(name: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(is_allowed)
}

impl Topology {
    /// Every reason why this topology is invalid; empty if it is valid.
    pub fn problems(&self) -> Vec<TopologyProblem> {
        let mut problems = Vec::new();
        if self.zones.is_empty() {
            problems.push(TopologyProblem::NoZones);
        }
        if self.zones.len() > MAX_ZONES {
            problems.push(TopologyProblem::TooManyZones(self.zones.len()));
        }
        let mut regions = BTreeSet::new();
        for region in &self.regions {
            if !is_name(region) {
                problems.push(TopologyProblem::BadName(clipped(region)));
            }
            if !regions.insert(region) {
                problems.push(TopologyProblem::DuplicateRegion(clipped(region)));
            }
            if !self.zones.values().any(|z| z.region == *region) {
                problems.push(TopologyProblem::EmptyRegion(clipped(region)));
            }
        }
        for (name, zone) in &self.zones {
            if !is_name(name) {
                problems.push(TopologyProblem::BadName(clipped(name)));
            }
            if !regions.contains(&zone.region) {
                problems.push(TopologyProblem::UnknownRegion {
                    zone: clipped(name),
                    region: clipped(&zone.region),
                });
            }
            if zone.capacity == 0 || zone.capacity > MAX_CAPACITY {
                problems.push(TopologyProblem::BadCapacity { zone: clipped(name), capacity: zone.capacity });
            }
        }
        if self.floor > crate::FULL_WEIGHT {
            problems.push(TopologyProblem::FloorTooHigh(self.floor));
        }
        problems
    }

    /// The sum of the capacities of all zones.
    pub fn capacity(&self) -> u64 {
        self.zones.values().map(|z| u64::from(z.capacity)).sum()
    }
}
