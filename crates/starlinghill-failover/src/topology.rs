//! Regions and zones. The operators' file holds them; the group adopts them by an order, so that a member or a
//! gateway whose file differs is told so instead of acting on zones that others don't have.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The most zones of a map. Guards the size of what gateways are told.
pub const MAX_ZONES: usize = 256;
/// The most bytes of a name.
pub const MAX_NAME_BYTES: usize = 64;
/// The largest capacity of a zone; sums of [`MAX_ZONES`] of them stay far below 64 bits.
pub const MAX_CAPACITY: u32 = 1_000_000;

/// One zone.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// The region it belongs to.
    pub region: String,
    /// What it can bear against the other zones.
    pub capacity: u32,
}

/// The map.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    /// The regions, the most preferred first.
    pub regions: Vec<String>,
    /// The zones by name.
    pub zones: BTreeMap<String, Zone>,
    /// The least part of all capacity that has to stay in service, in thousandths.
    pub floor: u16,
}

/// What somebody wrote, short enough to be kept and shown.
pub(crate) fn clipped(name: &str) -> String {
    name.chars().take(MAX_NAME_BYTES).collect()
}

/// What is wrong with a map.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TopologyProblem {
    /// It has no zone.
    Empty,
    /// It has too many zones.
    TooMany(usize),
    /// A name can't be used.
    Name(String),
    /// A region is named twice.
    Twice(String),
    /// A zone's region is not among the regions.
    NoRegion {
        /// The zone.
        zone: String,
        /// What it names.
        region: String,
    },
    /// A region has no zone.
    EmptyRegion(String),
    /// A zone's capacity is out of bounds.
    Capacity {
        /// The zone.
        zone: String,
        /// What was found.
        found: u32,
    },
    /// The floor is above the whole.
    Floor(u16),
}

impl fmt::Display for TopologyProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TopologyProblem::Empty => f.write_str("expected a zone at least, found none"),
            TopologyProblem::TooMany(n) => write!(f, "expected {MAX_ZONES} zones at most, found {n}"),
            TopologyProblem::Name(name) => write!(
                f,
                "expected a name of 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.', found '{}'",
                name.escape_debug()
            ),
            TopologyProblem::Twice(name) => write!(f, "expected each region once, found '{name}' again"),
            TopologyProblem::NoRegion { zone, region } => {
                write!(f, "zone '{zone}': expected one of the regions, found '{region}'")
            }
            TopologyProblem::EmptyRegion(name) => {
                write!(f, "region '{name}': expected a zone at least, found none")
            }
            TopologyProblem::Capacity { zone, found } => {
                write!(f, "zone '{zone}': expected a capacity from 1 to {MAX_CAPACITY}, found {found}")
            }
            TopologyProblem::Floor(found) => {
                write!(f, "expected a floor of 1000 thousandths at most, found {found}")
            }
        }
    }
}
impl std::error::Error for TopologyProblem {}

/// Whether a name can be used: for zones, regions, gateways and members.
pub fn is_name(name: &str) -> bool {
    let fits = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(fits)
}

impl Topology {
    /// All that is wrong with it.
    pub fn problems(&self) -> Vec<TopologyProblem> {
        let mut found = Vec::new();
        if self.zones.is_empty() {
            found.push(TopologyProblem::Empty);
        }
        if self.zones.len() > MAX_ZONES {
            found.push(TopologyProblem::TooMany(self.zones.len()));
        }
        let mut regions = BTreeSet::new();
        for region in &self.regions {
            if !is_name(region) {
                found.push(TopologyProblem::Name(clipped(region)));
            }
            if !regions.insert(region) {
                found.push(TopologyProblem::Twice(clipped(region)));
            }
            if !self.zones.values().any(|z| z.region == *region) {
                found.push(TopologyProblem::EmptyRegion(clipped(region)));
            }
        }
        for (name, zone) in &self.zones {
            if !is_name(name) {
                found.push(TopologyProblem::Name(clipped(name)));
            }
            if !regions.contains(&zone.region) {
                found.push(TopologyProblem::NoRegion { zone: clipped(name), region: clipped(&zone.region) });
            }
            if zone.capacity == 0 || zone.capacity > MAX_CAPACITY {
                found.push(TopologyProblem::Capacity { zone: clipped(name), found: zone.capacity });
            }
        }
        if self.floor > crate::FULL_WEIGHT {
            found.push(TopologyProblem::Floor(self.floor));
        }
        found
    }

    /// The sum of all capacities.
    pub fn capacity(&self) -> u64 {
        self.zones.values().map(|z| u64::from(z.capacity)).sum()
    }
}
