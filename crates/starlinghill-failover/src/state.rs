//! The replicated state machine: the adopted topology, the state of each zone, and the outcomes of recent orders.
//! Every check runs here, when an order is applied, not when it is submitted: two orders that are each valid alone
//! may be invalid one after the other.

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

/// Number of order outcomes that the state keeps, so that an order sent again counts once. An order sent again after
/// this many others is treated as new. It is then refused if it names the epoch that its author saw.
pub const MAX_RECORDED_OUTCOMES: usize = 512;
/// The most topology problems or zone names that one refusal lists. Bounds the size of a recorded outcome.
const MAX_LISTED: usize = 16;

/// The service phase of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The zone takes its full share of traffic.
    Serving,
    /// The weight was lowered and may go down further in steps.
    Draining,
    /// The zone takes no traffic.
    Out,
    /// The weight goes up in steps to [`FULL_WEIGHT`].
    Returning,
    /// The weight stays as it is until the next order.
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

/// The state of one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneState {
    /// The service phase.
    pub phase: Phase,
    /// The part of its full share that the zone takes now.
    pub weight: Permille,
    /// The weight once all steps of the ramp are made.
    #[serde(rename = "to")]
    pub target_weight: Permille,
    /// The steps toward `target_weight`. It stays set after the last step.
    pub ramp: Option<Ramp>,
    /// The group's epoch at the last change of this zone.
    pub epoch: u64,
    /// The author of the last order about this zone.
    #[serde(rename = "by")]
    pub changed_by: String,
    /// The reason that this author gave.
    pub reason: String,
    /// When the last change was ordered, in Unix milliseconds by the author's clock. Only displayed.
    #[serde(rename = "at_ms")]
    pub changed_at_ms: u64,
}

impl ZoneState {
    /// Whether a ramp still has steps to make.
    pub fn has_pending_step(&self) -> bool {
        self.ramp.is_some() && self.weight != self.target_weight
    }

    /// The least weight that the zone has while the current ramp runs. Capacity checks count only this.
    fn guaranteed_weight(&self) -> Permille {
        self.weight.min(self.target_weight)
    }

    fn is_in_full_service(&self) -> bool {
        self.weight == FULL_WEIGHT && matches!(self.phase, Phase::Serving | Phase::Held)
    }
}

/// The result of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Outcome {
    /// The order was carried out.
    Accepted {
        /// The position of the state that includes the order.
        position: Position,
    },
    /// The order changed nothing.
    Refused {
        /// The position of the state that the order was checked against.
        position: Position,
        /// Every cause, not only the first one found.
        causes: Vec<Cause>,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct RecordedOutcome {
    id: String,
    /// [`content_digest`] of the order. It tells a repeated order from another one with the same id.
    digest: u64,
    outcome: Outcome,
}

/// The state that all members replicate.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// The generation and epoch of this state.
    pub position: Position,
    /// `None` until the first topology is adopted.
    #[serde(rename = "map")]
    pub topology: Option<Topology>,
    /// The zones of the topology, by name.
    pub zones: BTreeMap<String, ZoneState>,
    /// For each region without a zone in service, the region that takes over its traffic.
    #[serde(rename = "next")]
    pub takeover_regions: BTreeMap<String, String>,
    /// Oldest first, at most [`MAX_RECORDED_OUTCOMES`].
    #[serde(rename = "done")]
    recorded_outcomes: VecDeque<RecordedOutcome>,
}

impl State {
    /// The state of a new group.
    pub fn new(generation: u64) -> State {
        State { position: Position { generation, epoch: 0 }, ..State::default() }
    }

    /// The state that a restored group begins with: the next generation, everything else unchanged. Pending ramp steps
    /// wait for the new group's leader.
    pub fn restored(mut self) -> State {
        self.position.generation += 1;
        self
    }

    /// A copy for display. Without the recorded outcomes it is much smaller, but must not be used to apply orders.
    pub fn without_recorded_outcomes(&self) -> State {
        State { recorded_outcomes: VecDeque::new(), ..self.clone() }
    }

    /// Checks an order and carries it out. A repeated order gets its recorded outcome and changes nothing.
    pub fn apply(&mut self, order: &Order) -> Outcome {
        let digest = content_digest(order);
        if let Some(recorded) =
            self.recorded_outcomes.iter().find(|r| !order.id.is_empty() && r.id == order.id)
        {
            if recorded.digest == digest {
                return recorded.outcome.clone();
            }
            return Outcome::Refused { position: self.position, causes: vec![Cause::IdReused] };
        }
        let outcome = match self.check_and_apply(order) {
            Ok(()) => Outcome::Accepted { position: self.position },
            Err(causes) => Outcome::Refused { position: self.position, causes },
        };
        // Ramp steps have no id: their epoch identifies them, and recording them would evict operators' orders.
        // An id that is too long is not recorded either, to bound the size of the state.
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

    fn check_and_apply(&mut self, order: &Order) -> Result<(), Vec<Cause>> {
        let mut causes = Vec::new();
        let is_step = matches!(order.kind, OrderKind::Step { .. });
        if order.id.len() > MAX_ID_BYTES || order.id.is_empty() != is_step {
            causes.push(Cause::BadId);
        }
        let is_valid_text = |s: &str| !s.trim().is_empty() && s.len() <= MAX_TEXT_BYTES;
        if !is_valid_text(&order.author) {
            causes.push(Cause::BadAuthor);
        }
        if !is_valid_text(&order.reason) {
            causes.push(Cause::BadReason);
        }
        match &order.kind {
            OrderKind::Adopt { topology, expected_epoch } => {
                self.adopt_topology(order, topology, *expected_epoch, causes)
            }
            OrderKind::Zone(zone_order) => self.change_zone(order, zone_order, causes),
            OrderKind::Step { zone, zone_epoch } => self.make_step(order, zone, *zone_epoch, causes),
        }
    }

    fn adopt_topology(
        &mut self,
        order: &Order,
        topology: &Topology,
        expected_epoch: Option<u64>,
        mut causes: Vec<Cause>,
    ) -> Result<(), Vec<Cause>> {
        let mut topology_problems = topology.problems();
        topology_problems.truncate(MAX_LISTED);
        if !topology_problems.is_empty() {
            causes.push(Cause::BadTopology { topology_problems });
        }
        let now = self.position.epoch;
        if self.topology.is_some() && expected_epoch != Some(now) {
            causes.push(Cause::GroupChanged { seen: expected_epoch, now });
        }
        let removed = self.zones.iter().filter(|(name, _)| !topology.zones.contains_key(*name));
        for (zone, _) in removed.filter(|(_, z)| z.weight > 0) {
            causes.push(Cause::ZoneInService { zone: zone.clone() });
        }
        // Existing zones keep their weight, so the new topology must be servable with the zones that are out now.
        if causes.is_empty() {
            let weight_of =
                |name: &String| self.zones.get(name).map_or(FULL_WEIGHT, ZoneState::guaranteed_weight);
            let left = capacity_in_service(topology, |name| weight_of(name));
            if left == 0 {
                causes.push(Cause::NoZoneLeft);
            } else if left < topology.floor {
                causes.push(Cause::BelowFloor { left, floor: topology.floor });
            }
            // A zone that is removed or moves to another region may have been the last one in its region.
            let is_served =
                |region: &String| topology.zones.iter().any(|(n, z)| z.region == *region && weight_of(n) > 0);
            let is_taken_over = |region: &String| {
                self.takeover_regions
                    .get(region)
                    .is_some_and(|takeover| topology.regions.contains(takeover) && is_served(takeover))
            };
            let unserved =
                topology.regions.iter().filter(|region| !is_served(region) && !is_taken_over(region));
            causes.extend(unserved.map(|region| Cause::RegionUnserved { region: region.clone() }));
        }
        if !causes.is_empty() {
            return Err(causes);
        }
        self.position.epoch += 1;
        self.zones.retain(|name, _| topology.zones.contains_key(name));
        for name in topology.zones.keys() {
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
        self.topology = Some(topology.clone());
        self.drop_unneeded_takeovers();
        Ok(())
    }

    fn change_zone(
        &mut self,
        order: &Order,
        zone_order: &ZoneOrder,
        mut causes: Vec<Cause>,
    ) -> Result<(), Vec<Cause>> {
        let Some(topology) = &self.topology else {
            causes.push(Cause::NoTopology);
            return Err(causes);
        };
        let (Some(zone), Some(old)) =
            (topology.zones.get(&zone_order.zone), self.zones.get(&zone_order.zone))
        else {
            causes.push(self.unknown_zone(&zone_order.zone));
            return Err(causes);
        };
        if let Some(seen) = zone_order.expected_epoch.filter(|seen| *seen != old.epoch) {
            let (by, phase) = (old.changed_by.clone(), old.phase);
            causes.push(Cause::ZoneChanged { seen, now: old.epoch, by, phase });
        }
        let (phase, weight, target_weight, ramp) = apply_change(old, zone_order.change, &mut causes);
        let lowers_weight = target_weight < old.guaranteed_weight();
        if lowers_weight {
            self.check_remaining_service(topology, zone, zone_order, target_weight, &mut causes);
        }
        let other_zones = self.zones.iter().filter(|(name, _)| **name != zone_order.zone);
        let conflicting: Vec<String> = match zone_order.change {
            Change::Drain { .. } | Change::Out => {
                other_zones.filter(|(_, z)| !z.is_in_full_service()).map(|(name, _)| name.clone()).collect()
            }
            Change::Return { .. } => other_zones
                .filter(|(_, z)| z.phase == Phase::Returning)
                .map(|(name, _)| name.clone())
                .collect(),
            Change::Hold => Vec::new(),
        };
        if !conflicting.is_empty() && !zone_order.force {
            causes.push(Cause::OtherZonesNotInFullService {
                zones: conflicting.into_iter().take(MAX_LISTED).collect(),
            });
        }
        if !causes.is_empty() {
            return Err(causes);
        }
        // The takeover region was only checked if the weight goes down, so it must not be stored otherwise.
        if let (Some(takeover), true) = (&zone_order.takeover_region, lowers_weight) {
            self.takeover_regions.insert(zone.region.clone(), takeover.clone());
        }
        self.position.epoch += 1;
        let state = ZoneState {
            phase,
            weight,
            target_weight,
            ramp,
            epoch: self.position.epoch,
            changed_by: order.author.clone(),
            reason: order.reason.clone(),
            changed_at_ms: order.at_ms,
        };
        self.zones.insert(zone_order.zone.clone(), state);
        self.drop_unneeded_takeovers();
        Ok(())
    }

    /// Checks what stays in service when one zone goes down to `target_weight`.
    fn check_remaining_service(
        &self,
        topology: &Topology,
        zone: &Zone,
        zone_order: &ZoneOrder,
        target_weight: Permille,
        causes: &mut Vec<Cause>,
    ) {
        let weight_of = |name: &String| match *name == zone_order.zone {
            true => target_weight,
            false => self.zones.get(name).map_or(0, ZoneState::guaranteed_weight),
        };
        let is_served =
            |region: &str| topology.zones.iter().any(|(n, z)| z.region == region && weight_of(n) > 0);
        if let Some(takeover) = &zone_order.takeover_region {
            if *takeover == zone.region || !topology.regions.contains(takeover) || !is_served(takeover) {
                causes.push(Cause::BadTakeoverRegion { region: clipped(takeover) });
            }
        } else if !is_served(&zone.region) {
            causes.push(Cause::LastZoneOfRegion { region: zone.region.clone() });
        }
        let left = capacity_in_service(topology, weight_of);
        if left == 0 {
            causes.push(Cause::NoZoneLeft);
        } else if left < topology.floor {
            causes.push(Cause::BelowFloor { left, floor: topology.floor });
        }
    }

    fn make_step(
        &mut self,
        order: &Order,
        zone: &str,
        zone_epoch: u64,
        mut causes: Vec<Cause>,
    ) -> Result<(), Vec<Cause>> {
        let Some(old) = self.zones.get(zone) else {
            causes.push(self.unknown_zone(zone));
            return Err(causes);
        };
        if old.epoch != zone_epoch {
            let (by, phase) = (old.changed_by.clone(), old.phase);
            causes.push(Cause::ZoneChanged { seen: zone_epoch, now: old.epoch, by, phase });
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
        new.weight = weight_after_step(old.weight, old.target_weight, ramp.step);
        new.phase = phase_at_weight(old.phase, new.weight);
        new.epoch = self.position.epoch;
        new.changed_at_ms = order.at_ms;
        self.zones.insert(zone.into(), new);
        self.drop_unneeded_takeovers();
        Ok(())
    }

    fn unknown_zone(&self, zone: &str) -> Cause {
        let known = self.zones.keys().take(MAX_LISTED).cloned().collect();
        Cause::UnknownZone { zone: clipped(zone), known }
    }

    /// A region that has a zone in service again, or left the topology, needs no takeover region.
    fn drop_unneeded_takeovers(&mut self) {
        let Some(topology) = &self.topology else { return };
        let zones = &self.zones;
        let is_served = |region: &String| {
            topology.zones.iter().any(|(n, z)| {
                z.region == *region && zones.get(n).is_some_and(|state| state.guaranteed_weight() > 0)
            })
        };
        self.takeover_regions.retain(|region, _| topology.regions.contains(region) && !is_served(region));
    }
}

/// Digest of what an order asks for. The time and the expected epoch are left out: they differ when an operator sends
/// the same order again by hand.
fn content_digest(order: &Order) -> u64 {
    let mut order = Order { at_ms: 0, ..order.clone() };
    match &mut order.kind {
        OrderKind::Adopt { expected_epoch, .. } | OrderKind::Zone(ZoneOrder { expected_epoch, .. }) => {
            *expected_epoch = None
        }
        OrderKind::Step { .. } => {}
    }
    crate::wire::digest(&order)
}

/// The part of the topology's capacity that is in service, in thousandths, rounded down.
fn capacity_in_service(topology: &Topology, weight_of: impl Fn(&String) -> Permille) -> Permille {
    let sum: u64 = topology.zones.iter().map(|(n, z)| u64::from(z.capacity) * u64::from(weight_of(n))).sum();
    (sum / topology.capacity().max(1)) as Permille
}

fn weight_after_step(weight: Permille, target_weight: Permille, step: Permille) -> Permille {
    match weight > target_weight {
        true => weight.saturating_sub(step).max(target_weight),
        false => weight.saturating_add(step).min(target_weight),
    }
}

/// A draining zone that reaches 0 is out; a returning zone that reaches the full weight is serving.
fn phase_at_weight(phase: Phase, weight: Permille) -> Phase {
    match (phase, weight) {
        (Phase::Draining, 0) => Phase::Out,
        (Phase::Returning, FULL_WEIGHT) => Phase::Serving,
        _ => phase,
    }
}

/// The zone's new phase, weight, target weight and ramp. The first step of a ramp is made at once.
fn apply_change(
    old: &ZoneState,
    change: Change,
    causes: &mut Vec<Cause>,
) -> (Phase, Permille, Permille, Option<Ramp>) {
    let mut check_ramp = |ramp: Ramp| {
        let interval_allowed = (MIN_STEP_INTERVAL_MS..=MAX_STEP_INTERVAL_MS).contains(&ramp.every_ms);
        if !interval_allowed || ramp.step == 0 || ramp.step > FULL_WEIGHT {
            causes.push(Cause::BadRamp);
        }
    };
    match change {
        Change::Drain { target_weight, ramp } => {
            check_ramp(ramp);
            if target_weight >= old.weight {
                causes.push(Cause::TargetNotLower { target_weight, now: old.weight });
            }
            let weight = weight_after_step(old.weight, target_weight.min(old.weight), ramp.step);
            (phase_at_weight(Phase::Draining, weight), weight, target_weight, Some(ramp))
        }
        Change::Out => {
            if old.phase == Phase::Out {
                causes.push(Cause::AlreadyInPhase { phase: old.phase });
            }
            (Phase::Out, 0, 0, None)
        }
        Change::Return { ramp } => {
            check_ramp(ramp);
            if old.weight == FULL_WEIGHT && old.phase == Phase::Serving
                || old.phase == Phase::Returning && old.ramp == Some(ramp)
            {
                causes.push(Cause::AlreadyInPhase { phase: old.phase });
            }
            let weight = weight_after_step(old.weight, FULL_WEIGHT, ramp.step);
            (phase_at_weight(Phase::Returning, weight), weight, FULL_WEIGHT, Some(ramp))
        }
        Change::Hold => {
            if old.phase == Phase::Held {
                causes.push(Cause::AlreadyInPhase { phase: old.phase });
            }
            (Phase::Held, old.weight, old.weight, None)
        }
    }
}
