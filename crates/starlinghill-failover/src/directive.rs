//! What gateways are told of the state: a whole picture first, then changes, each with the positions that it leads
//! from and to, so that one that got lost is noticed.

use crate::state::{Phase, State};
use crate::topology::{is_name, MOST_ZONES};
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
    pub next: BTreeMap<String, String>,
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
        next: BTreeMap<String, String>,
    },
}

/// What is wrong with what was told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Unusable {
    /// Too many zones.
    TooMany(usize),
    /// A name or a weight is out of bounds.
    Zone(String),
}

impl fmt::Display for Unusable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unusable::TooMany(n) => write!(f, "{n} zones, {MOST_ZONES} at most"),
            Unusable::Zone(name) => {
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
    pub fn check(&self) -> Result<(), Unusable> {
        let (zones, next) = match self {
            DirectiveUpdate::Whole { directives } => (&directives.zones, &directives.next),
            DirectiveUpdate::Change { zones, next, .. } => (zones, next),
        };
        if zones.len() > MOST_ZONES || next.len() > MOST_ZONES {
            return Err(Unusable::TooMany(zones.len().max(next.len())));
        }
        let bad = |(name, z): &(&String, &ZoneDirective)| {
            !is_name(name) || !is_name(&z.region) || z.weight > FULL_WEIGHT
        };
        match zones.iter().find(bad) {
            Some((name, _)) => Err(Unusable::Zone(name.clone())),
            None => Ok(()),
        }
    }
}

impl Directives {
    /// What gateways are told of a state.
    pub fn of(state: &State) -> Directives {
        let Some(map) = &state.map else {
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
            next: state.next.clone(),
        }
    }

    /// What to tell one who holds `old`. The whole where zones came or went, or the group was restored.
    pub fn since(&self, old: &Directives) -> DirectiveUpdate {
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
            next: self.next.clone(),
        }
    }

    /// The picture with a change taken in; `None` where it doesn't follow on this one.
    pub fn with(&self, told: &DirectiveUpdate) -> Option<Directives> {
        match told {
            DirectiveUpdate::Whole { directives } => Some(directives.clone()),
            DirectiveUpdate::Change { from, to, zones, next } => {
                let known = zones.keys().all(|name| self.zones.contains_key(name));
                if *from != self.position || to < from || !known {
                    return None;
                }
                let mut new = self.clone();
                new.position = *to;
                new.zones.extend(zones.iter().map(|(n, z)| (n.clone(), z.clone())));
                new.next.clone_from(next);
                Some(new)
            }
        }
    }
}
