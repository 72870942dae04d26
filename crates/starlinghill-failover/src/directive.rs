//! The part of the state that gateways get: first all of it, then changes. A change names the positions before and
//! after it, so that a gateway notices when one is lost.

use crate::state::{Phase, State};
use crate::topology::{is_name, MAX_ZONES};
use crate::{Permille, Position, FULL_WEIGHT};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The traffic share of one zone, as gateways get it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneDirective {
    /// The name of the zone's region.
    pub region: String,
    /// The zone's service phase.
    pub phase: Phase,
    /// The part of its full share that the zone takes.
    pub weight: Permille,
    /// The group's epoch at the zone's last change.
    pub epoch: u64,
}

/// Everything that gateways get of a state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Directives {
    /// The position of the state.
    pub position: Position,
    /// The names of the regions, the most preferred first.
    pub regions: Vec<String>,
    /// The zones by name.
    pub zones: BTreeMap<String, ZoneDirective>,
    /// For each region without a zone in service, the region that takes over its traffic.
    #[serde(rename = "next")]
    pub takeover_regions: BTreeMap<String, String>,
}

/// A message with directives to a gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum DirectiveUpdate {
    /// All directives.
    Whole {
        /// The directives of the present state.
        directives: Directives,
    },
    /// The difference between two states.
    Change {
        /// The position that the receiver must hold.
        from: Position,
        /// The position that the change leads to.
        to: Position,
        /// The changed zones by name.
        zones: BTreeMap<String, ZoneDirective>,
        /// The takeover regions after the change: all of them, not only the changed ones.
        #[serde(rename = "next")]
        takeover_regions: BTreeMap<String, String>,
    },
}

/// Why an update is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InvalidUpdate {
    /// More than [`MAX_ZONES`] zones or takeover regions; holds the larger number.
    TooManyZones(usize),
    /// A zone with an invalid name, region name or weight; holds its name.
    BadZone(String),
}

impl fmt::Display for InvalidUpdate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidUpdate::TooManyZones(n) => write!(f, "{n} zones, at most {MAX_ZONES} are allowed"),
            InvalidUpdate::BadZone(name) => {
                let name: String = name.chars().take(80).collect();
                write!(f, "zone '{}': invalid name, region or weight", name.escape_debug())
            }
        }
    }
}

impl DirectiveUpdate {
    /// The position of the receiver after this update.
    pub fn position(&self) -> Position {
        match self {
            DirectiveUpdate::Whole { directives } => directives.position,
            DirectiveUpdate::Change { to, .. } => *to,
        }
    }

    /// Checks that names, weights and the number of zones are within bounds.
    pub fn check(&self) -> Result<(), InvalidUpdate> {
        let (zones, takeover_regions) = match self {
            DirectiveUpdate::Whole { directives } => (&directives.zones, &directives.takeover_regions),
            DirectiveUpdate::Change { zones, takeover_regions, .. } => (zones, takeover_regions),
        };
        if zones.len() > MAX_ZONES || takeover_regions.len() > MAX_ZONES {
            return Err(InvalidUpdate::TooManyZones(zones.len().max(takeover_regions.len())));
        }
        let is_invalid = |(name, z): &(&String, &ZoneDirective)| {
            !is_name(name) || !is_name(&z.region) || z.weight > FULL_WEIGHT
        };
        match zones.iter().find(is_invalid) {
            Some((name, _)) => Err(InvalidUpdate::BadZone(name.clone())),
            None => Ok(()),
        }
    }
}

impl Directives {
    /// The directives for a state; without zones until a topology is adopted.
    pub fn from_state(state: &State) -> Directives {
        let Some(topology) = &state.topology else {
            return Directives { position: state.position, ..Directives::default() };
        };
        let zones = state.zones.iter().filter_map(|(name, z)| {
            let region = topology.zones.get(name)?.region.clone();
            Some((name.clone(), ZoneDirective { region, phase: z.phase, weight: z.weight, epoch: z.epoch }))
        });
        Directives {
            position: state.position,
            regions: topology.regions.clone(),
            zones: zones.collect(),
            takeover_regions: state.takeover_regions.clone(),
        }
    }

    /// The update for a gateway that holds `old`. All directives if zones were added, removed or moved to another region, or
    /// if the group was restored.
    pub fn update_from(&self, old: &Directives) -> DirectiveUpdate {
        let same_zones = old.position.generation == self.position.generation
            && old.regions == self.regions
            && old.zones.len() == self.zones.len()
            && self.zones.iter().all(|(n, z)| old.zones.get(n).is_some_and(|o| o.region == z.region));
        if !same_zones {
            return DirectiveUpdate::Whole { directives: self.clone() };
        }
        let changed = self.zones.iter().filter(|(n, z)| old.zones.get(*n) != Some(z));
        DirectiveUpdate::Change {
            from: old.position,
            to: self.position,
            zones: changed.map(|(n, z)| (n.clone(), z.clone())).collect(),
            takeover_regions: self.takeover_regions.clone(),
        }
    }

    /// These directives with an update applied. `None` if the update does not start from their position or names an
    /// unknown zone.
    pub fn updated_by(&self, update: &DirectiveUpdate) -> Option<Directives> {
        match update {
            DirectiveUpdate::Whole { directives } => Some(directives.clone()),
            DirectiveUpdate::Change { from, to, zones, takeover_regions } => {
                let all_known = zones.keys().all(|name| self.zones.contains_key(name));
                if *from != self.position || to < from || !all_known {
                    return None;
                }
                let mut new = self.clone();
                new.position = *to;
                new.zones.extend(zones.iter().map(|(n, z)| (n.clone(), z.clone())));
                new.takeover_regions.clone_from(takeover_regions);
                Some(new)
            }
        }
    }
}
