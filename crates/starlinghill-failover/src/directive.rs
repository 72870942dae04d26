//! What gateways are told of the state: a whole picture first, then changes, each with the positions that it leads
//! from and to, so that one that got lost is noticed.

use crate::state::{Phase, State};
use crate::topology::{is_name, MAX_ZONES};
use crate::{Permille, Position, FULL_WEIGHT};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// What a gateway is to do with a zone.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneDirective {
    /// Its region.
    pub region: String,
    /// What it is.
    pub phase: Phase,
    /// The part of its work that it takes.
    pub weight: Permille,
    /// The epoch of its last change.
    pub epoch: u64,
}

/// All that gateways are told.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Directives {
    /// Where the state stands.
    pub position: Position,
    /// The regions, the most preferred first.
    pub regions: Vec<String>,
    /// The zones.
    pub zones: BTreeMap<String, ZoneDirective>,
    /// The region that takes over, for each that has nothing in service.
    #[serde(rename = "next")]
    pub takeover_regions: BTreeMap<String, String>,
}

/// A message to gateways.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum DirectiveUpdate {
    /// The whole picture.
    Whole {
        /// It.
        directives: Directives,
    },
    /// What changed.
    Change {
        /// Where the picture has to stand.
        from: Position,
        /// Where it stands then.
        to: Position,
        /// The zones that changed.
        zones: BTreeMap<String, ZoneDirective>,
        /// All regions that have nothing in service, with those that take over.
        #[serde(rename = "next")]
        takeover_regions: BTreeMap<String, String>,
    },
}

/// What is wrong with what was told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InvalidUpdate {
    /// Too many zones.
    TooManyZones(usize),
    /// A name or a weight is out of bounds.
    BadZone(String),
}

impl fmt::Display for InvalidUpdate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidUpdate::TooManyZones(n) => write!(f, "{n} zones, {MAX_ZONES} at most"),
            InvalidUpdate::BadZone(name) => {
                let name: String = name.chars().take(80).collect();
                write!(f, "zone '{}': a name or weight out of bounds", name.escape_debug())
            }
        }
    }
}

impl DirectiveUpdate {
    /// Where whoever takes it in stands afterwards.
    pub fn position(&self) -> Position {
        match self {
            DirectiveUpdate::Whole { directives } => directives.position,
            DirectiveUpdate::Change { to, .. } => *to,
        }
    }

    /// Whether it keeps to the bounds of names, numbers and weights.
    pub fn check(&self) -> Result<(), InvalidUpdate> {
        let (zones, next) = match self {
            DirectiveUpdate::Whole { directives } => (&directives.zones, &directives.takeover_regions),
            DirectiveUpdate::Change { zones, takeover_regions: next, .. } => (zones, next),
        };
        if zones.len() > MAX_ZONES || next.len() > MAX_ZONES {
            return Err(InvalidUpdate::TooManyZones(zones.len().max(next.len())));
        }
        let bad = |(name, z): &(&String, &ZoneDirective)| {
            !is_name(name) || !is_name(&z.region) || z.weight > FULL_WEIGHT
        };
        match zones.iter().find(bad) {
            Some((name, _)) => Err(InvalidUpdate::BadZone(name.clone())),
            None => Ok(()),
        }
    }
}

impl Directives {
    /// What gateways are told of a state.
    pub fn from_state(state: &State) -> Directives {
        let Some(map) = &state.topology else {
            return Directives { position: state.position, ..Directives::default() };
        };
        let zones = state.zones.iter().filter_map(|(name, z)| {
            let region = map.zones.get(name)?.region.clone();
            Some((name.clone(), ZoneDirective { region, phase: z.phase, weight: z.weight, epoch: z.epoch }))
        });
        Directives {
            position: state.position,
            regions: map.regions.clone(),
            zones: zones.collect(),
            takeover_regions: state.takeover_regions.clone(),
        }
    }

    /// What to tell one who holds `old`. The whole where zones came or went, or the group was restored.
    pub fn update_from(&self, old: &Directives) -> DirectiveUpdate {
        let same = old.position.generation == self.position.generation
            && old.regions == self.regions
            && old.zones.len() == self.zones.len()
            && self.zones.iter().all(|(n, z)| old.zones.get(n).is_some_and(|o| o.region == z.region));
        if !same {
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

    /// The picture with a change taken in; `None` where it doesn't follow on this one.
    pub fn updated_by(&self, told: &DirectiveUpdate) -> Option<Directives> {
        match told {
            DirectiveUpdate::Whole { directives } => Some(directives.clone()),
            DirectiveUpdate::Change { from, to, zones, takeover_regions: next } => {
                let known = zones.keys().all(|name| self.zones.contains_key(name));
                if *from != self.position || to < from || !known {
                    return None;
                }
                let mut new = self.clone();
                new.position = *to;
                new.zones.extend(zones.iter().map(|(n, z)| (n.clone(), z.clone())));
                new.takeover_regions.clone_from(next);
                Some(new)
            }
        }
    }
}
