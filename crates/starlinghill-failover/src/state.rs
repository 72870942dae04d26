//! The state machine: the map, a state for each zone, and what became of recent orders. Every check is made here,
//! on the whole state, where the order is applied, not where it is given: two orders that were each right alone
//! may not be so one after the other.

use crate::order::{
    Change, Order, OrderKind, Ramp, ZoneOrder, MAX_ID_BYTES, MAX_STEP_INTERVAL_MS, MAX_TEXT_BYTES,
    MIN_STEP_INTERVAL_MS,
};
use crate::rejection::Cause;
use crate::topology::{clipped, Topology, Zone};
use crate::{Permille, Position, FULL_WEIGHT};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

/// Orders whose outcomes are kept, so that one sent again counts once. An order sent again after so many others
/// is taken for a new one; the epoch that its author saw then refuses it.
pub const MAX_RECORDED_OUTCOMES: usize = 512;
/// The most problems of a map, or names of zones, that a refusal keeps.
const MOST_NAMED: usize = 16;

/// What a zone is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It takes its whole part.
    Serving,
    /// It takes less, and may go on doing so in steps.
    Draining,
    /// It takes nothing.
    Out,
    /// It takes more with each step.
    Returning,
    /// It stays at its weight until somebody orders otherwise.
    Held,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Phase::Serving => "serving",
            Phase::Draining => "draining",
            Phase::Out => "out",
            Phase::Returning => "returning",
            Phase::Held => "held",
        })
    }
}

/// One zone's state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneState {
    /// What it is.
    pub phase: Phase,
    /// The part of its work that it takes now.
    pub weight: Permille,
    /// The part that it takes when all steps are made.
    #[serde(rename = "to")]
    pub target_weight: Permille,
    /// The steps, where it is on its way.
    pub ramp: Option<Ramp>,
    /// The group's epoch at its last change.
    pub epoch: u64,
    /// Who changed it last.
    #[serde(rename = "by")]
    pub changed_by: String,
    /// Why.
    pub reason: String,
    /// When, by the author's clock, in Unix milliseconds. For people.
    #[serde(rename = "at_ms")]
    pub changed_at_ms: u64,
}

impl ZoneState {
    /// Whether a step is still to be made.
    pub fn has_pending_step(&self) -> bool {
        self.ramp.is_some() && self.weight != self.target_weight
    }

    /// What it takes at the least while what was ordered so far is carried out.
    fn guaranteed_weight(&self) -> Permille {
        self.weight.min(self.target_weight)
    }

    fn is_in_full_service(&self) -> bool {
        self.weight == FULL_WEIGHT && matches!(self.phase, Phase::Serving | Phase::Held)
    }
}

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Outcome {
    /// It counts, from this position on.
    Accepted {
        /// Where the state stands with it.
        position: Position,
    },
    /// It changed nothing.
    Refused {
        /// Where the state stood.
        position: Position,
        /// Every cause.
        causes: Vec<Cause>,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RecordedOutcome {
    id: String,
    digest: u64,
    outcome: Outcome,
}

/// The state of the group.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// Where it stands.
    pub position: Position,
    /// The map, once one was adopted.
    #[serde(rename = "map")]
    pub topology: Option<Topology>,
    /// The states of the map's zones.
    pub zones: BTreeMap<String, ZoneState>,
    /// The region that takes over, for each that has nothing in service.
    #[serde(rename = "next")]
    pub takeover_regions: BTreeMap<String, String>,
    #[serde(rename = "done")]
    recorded_outcomes: VecDeque<RecordedOutcome>,
}

impl State {
    /// The state of a new group.
    pub fn new(generation: u64) -> State {
        State { position: Position { generation, epoch: 0 }, ..State::default() }
    }

    /// The state as a restored group takes it on: the next generation, all else as it was. Steps wait for the new
    /// group's leader.
    pub fn restored(mut self) -> State {
        self.position.generation += 1;
        self
    }

    /// The state without the outcomes that it keeps: for those who look at it and decide nothing by it.
    pub fn without_recorded_outcomes(&self) -> State {
        State { recorded_outcomes: VecDeque::new(), ..self.clone() }
    }

    /// Takes an order in. The same order again gets the same outcome and changes nothing.
    pub fn apply(&mut self, order: &Order) -> Outcome {
        let digest = meant(order);
        if let Some(done) = self.recorded_outcomes.iter().find(|d| !order.id.is_empty() && d.id == order.id) {
            if done.digest == digest {
                return done.outcome.clone();
            }
            return Outcome::Refused { position: self.position, causes: vec![Cause::IdReused] };
        }
        let outcome = match self.judge(order) {
            Ok(()) => Outcome::Accepted { position: self.position },
            Err(causes) => Outcome::Refused { position: self.position, causes },
        };
        // Steps are told apart by their epoch, and would push operators' orders out. An id too long is not kept.
        if !order.id.is_empty() && order.id.len() <= MAX_ID_BYTES {
            if self.recorded_outcomes.len() >= MAX_RECORDED_OUTCOMES {
                self.recorded_outcomes.pop_front();
            }
            self.recorded_outcomes.push_back(RecordedOutcome {
                id: order.id.clone(),
                digest,
                outcome: outcome.clone(),
            });
        }
        outcome
    }

    fn judge(&mut self, order: &Order) -> Result<(), Vec<Cause>> {
        let mut causes = Vec::new();
        let step = matches!(order.kind, OrderKind::Step { .. });
        if order.id.len() > MAX_ID_BYTES || order.id.is_empty() != step {
            causes.push(Cause::BadId);
        }
        let words = |s: &str| !s.trim().is_empty() && s.len() <= MAX_TEXT_BYTES;
        if !words(&order.author) {
            causes.push(Cause::BadAuthor);
        }
        if !words(&order.reason) {
            causes.push(Cause::BadReason);
        }
        match &order.kind {
            OrderKind::Adopt { topology: map, expected_epoch: expect } => {
                self.adopt(order, map, *expect, causes)
            }
            OrderKind::Zone(zone) => self.change(order, zone, causes),
            OrderKind::Step { zone, zone_epoch: of } => self.step(order, zone, *of, causes),
        }
    }

    fn adopt(
        &mut self,
        order: &Order,
        map: &Topology,
        expect: Option<u64>,
        mut causes: Vec<Cause>,
    ) -> Result<(), Vec<Cause>> {
        let mut problems = map.problems();
        problems.truncate(MOST_NAMED);
        if !problems.is_empty() {
            causes.push(Cause::BadTopology { topology_problems: problems });
        }
        let now = self.position.epoch;
        if self.topology.is_some() && expect != Some(now) {
            causes.push(Cause::GroupChanged { seen: expect, now });
        }
        let leaving = self.zones.iter().filter(|(name, _)| !map.zones.contains_key(*name));
        for (zone, _) in leaving.filter(|(_, z)| z.weight > 0) {
            causes.push(Cause::ZoneInService { zone: zone.clone() });
        }
        // Zones that were out stay out: under the new map they may have to be in service first.
        if causes.is_empty() {
            let sure = |name: &String| self.zones.get(name).map_or(FULL_WEIGHT, ZoneState::guaranteed_weight);
            let left = left(map, |name| sure(name));
            if left == 0 {
                causes.push(Cause::NoZoneLeft);
            } else if left < map.floor {
                causes.push(Cause::BelowFloor { left, floor: map.floor });
            }
            // A zone that moves to another region, or leaves, may have been the last one there.
            let served = |region: &String| map.zones.iter().any(|(n, z)| z.region == *region && sure(n) > 0);
            let taken_over = |region: &String| {
                self.takeover_regions.get(region).is_some_and(|n| map.regions.contains(n) && served(n))
            };
            let without = map.regions.iter().filter(|region| !served(region) && !taken_over(region));
            causes.extend(without.map(|region| Cause::RegionUnserved { region: region.clone() }));
        }
        if !causes.is_empty() {
            return Err(causes);
        }
        self.position.epoch += 1;
        self.zones.retain(|name, _| map.zones.contains_key(name));
        for name in map.zones.keys() {
            self.zones.entry(name.clone()).or_insert_with(|| ZoneState {
                phase: Phase::Serving,
                weight: FULL_WEIGHT,
                target_weight: FULL_WEIGHT,
                ramp: None,
                epoch: now + 1,
                changed_by: order.author.clone(),
                reason: order.reason.clone(),
                changed_at_ms: order.at_ms,
            });
        }
        self.topology = Some(map.clone());
        self.forget_next();
        Ok(())
    }

    fn change(
        &mut self,
        order: &Order,
        wanted: &ZoneOrder,
        mut causes: Vec<Cause>,
    ) -> Result<(), Vec<Cause>> {
        let Some(map) = &self.topology else {
            causes.push(Cause::NoTopology);
            return Err(causes);
        };
        let (Some(place), Some(old)) = (map.zones.get(&wanted.zone), self.zones.get(&wanted.zone)) else {
            causes.push(self.no_zone(&wanted.zone));
            return Err(causes);
        };
        if let Some(seen) = wanted.expected_epoch.filter(|seen| *seen != old.epoch) {
            let (by, phase) = (old.changed_by.clone(), old.phase);
            causes.push(Cause::ZoneChanged { seen, now: old.epoch, by, phase });
        }
        let (phase, weight, to, ramp) = target(old, wanted.change, &mut causes);
        let takes_away = to < old.guaranteed_weight();
        if takes_away {
            self.check_rest(map, place, wanted, to, &mut causes);
        }
        let beside = self.zones.iter().filter(|(name, _)| **name != wanted.zone);
        let others: Vec<String> = match wanted.change {
            Change::Drain { .. } | Change::Out => {
                beside.filter(|(_, z)| !z.is_in_full_service()).map(|(name, _)| name.clone()).collect()
            }
            Change::Return { .. } => {
                beside.filter(|(_, z)| z.phase == Phase::Returning).map(|(name, _)| name.clone()).collect()
            }
            Change::Hold => Vec::new(),
        };
        if !others.is_empty() && !wanted.force {
            causes.push(Cause::OtherZonesNotInFullService {
                zones: others.into_iter().take(MOST_NAMED).collect(),
            });
        }
        if !causes.is_empty() {
            return Err(causes);
        }
        // Named without need, it was not checked either.
        if let (Some(next), true) = (&wanted.takeover_region, takes_away) {
            self.takeover_regions.insert(place.region.clone(), next.clone());
        }
        self.position.epoch += 1;
        let state = ZoneState {
            phase,
            weight,
            target_weight: to,
            ramp,
            epoch: self.position.epoch,
            changed_by: order.author.clone(),
            reason: order.reason.clone(),
            changed_at_ms: order.at_ms,
        };
        self.zones.insert(wanted.zone.clone(), state);
        self.forget_next();
        Ok(())
    }

    /// What has to stay in service beside a zone that goes down to a weight.
    fn check_rest(
        &self,
        map: &Topology,
        place: &Zone,
        wanted: &ZoneOrder,
        to: Permille,
        causes: &mut Vec<Cause>,
    ) {
        let sure = |name: &String| match *name == wanted.zone {
            true => to,
            false => self.zones.get(name).map_or(0, ZoneState::guaranteed_weight),
        };
        let in_service = |region: &str| map.zones.iter().any(|(n, z)| z.region == region && sure(n) > 0);
        if let Some(next) = &wanted.takeover_region {
            if *next == place.region || !map.regions.contains(next) || !in_service(next) {
                causes.push(Cause::BadTakeoverRegion { region: clipped(next) });
            }
        } else if !in_service(&place.region) {
            causes.push(Cause::LastZoneOfRegion { region: place.region.clone() });
        }
        let left = left(map, sure);
        if left == 0 {
            causes.push(Cause::NoZoneLeft);
        } else if left < map.floor {
            causes.push(Cause::BelowFloor { left, floor: map.floor });
        }
    }

    fn step(&mut self, order: &Order, zone: &str, of: u64, mut causes: Vec<Cause>) -> Result<(), Vec<Cause>> {
        let Some(old) = self.zones.get(zone) else {
            causes.push(self.no_zone(zone));
            return Err(causes);
        };
        if old.epoch != of {
            let (by, phase) = (old.changed_by.clone(), old.phase);
            causes.push(Cause::ZoneChanged { seen: of, now: old.epoch, by, phase });
        }
        let Some(ramp) = old.ramp.filter(|_| old.has_pending_step()) else {
            causes.push(Cause::AlreadyInPhase { phase: old.phase });
            return Err(causes);
        };
        if !causes.is_empty() {
            return Err(causes);
        }
        self.position.epoch += 1;
        let mut new = old.clone();
        new.weight = stepped(old.weight, old.target_weight, ramp.step);
        new.phase = arrived(old.phase, new.weight);
        new.epoch = self.position.epoch;
        new.changed_at_ms = order.at_ms;
        self.zones.insert(zone.into(), new);
        self.forget_next();
        Ok(())
    }

    fn no_zone(&self, zone: &str) -> Cause {
        let known = self.zones.keys().take(MOST_NAMED).cloned().collect();
        Cause::UnknownZone { zone: clipped(zone), known }
    }

    /// A region that has something in service again needs nobody to take over.
    fn forget_next(&mut self) {
        let Some(map) = &self.topology else { return };
        let zones = &self.zones;
        let served = |region: &String| {
            map.zones
                .iter()
                .any(|(n, z)| z.region == *region && zones.get(n).is_some_and(|s| s.guaranteed_weight() > 0))
        };
        self.takeover_regions.retain(|region, _| map.regions.contains(region) && !served(region));
    }
}

/// What tells one order of an id from another: not when it was sent, nor what its author saw then, which differ where
/// somebody sends it again by hand.
fn meant(order: &Order) -> u64 {
    let mut order = Order { at_ms: 0, ..order.clone() };
    match &mut order.kind {
        OrderKind::Adopt { expected_epoch: expect, .. }
        | OrderKind::Zone(ZoneOrder { expected_epoch: expect, .. }) => *expect = None,
        OrderKind::Step { .. } => {}
    }
    crate::wire::digest(&order)
}

/// The thousandths of all capacity that stay in service, rounded down.
fn left(map: &Topology, sure: impl Fn(&String) -> Permille) -> Permille {
    let sum: u64 = map.zones.iter().map(|(n, z)| u64::from(z.capacity) * u64::from(sure(n))).sum();
    (sum / map.capacity().max(1)) as Permille
}

fn stepped(weight: Permille, to: Permille, step: Permille) -> Permille {
    match weight > to {
        true => weight.saturating_sub(step).max(to),
        false => weight.saturating_add(step).min(to),
    }
}

fn arrived(phase: Phase, weight: Permille) -> Phase {
    match (phase, weight) {
        (Phase::Draining, 0) => Phase::Out,
        (Phase::Returning, FULL_WEIGHT) => Phase::Serving,
        _ => phase,
    }
}

/// What a change makes of a zone: phase, weight, the weight at the end, steps. The first step is made at once.
fn target(
    old: &ZoneState,
    change: Change,
    causes: &mut Vec<Cause>,
) -> (Phase, Permille, Permille, Option<Ramp>) {
    let mut check = |ramp: Ramp| {
        let paced = (MIN_STEP_INTERVAL_MS..=MAX_STEP_INTERVAL_MS).contains(&ramp.every_ms);
        if !paced || ramp.step == 0 || ramp.step > FULL_WEIGHT {
            causes.push(Cause::BadRamp);
        }
    };
    match change {
        Change::Drain { target_weight: to, ramp } => {
            check(ramp);
            if to >= old.weight {
                causes.push(Cause::TargetNotLower { target_weight: to, now: old.weight });
            }
            let weight = stepped(old.weight, to.min(old.weight), ramp.step);
            (arrived(Phase::Draining, weight), weight, to, Some(ramp))
        }
        Change::Out => {
            if old.phase == Phase::Out {
                causes.push(Cause::AlreadyInPhase { phase: old.phase });
            }
            (Phase::Out, 0, 0, None)
        }
        Change::Return { ramp } => {
            check(ramp);
            if old.weight == FULL_WEIGHT && old.phase == Phase::Serving
                || old.phase == Phase::Returning && old.ramp == Some(ramp)
            {
                causes.push(Cause::AlreadyInPhase { phase: old.phase });
            }
            let weight = stepped(old.weight, FULL_WEIGHT, ramp.step);
            (arrived(Phase::Returning, weight), weight, FULL_WEIGHT, Some(ramp))
        }
        Change::Hold => {
            if old.phase == Phase::Held {
                causes.push(Cause::AlreadyInPhase { phase: old.phase });
            }
            (Phase::Held, old.weight, old.weight, None)
        }
    }
}
