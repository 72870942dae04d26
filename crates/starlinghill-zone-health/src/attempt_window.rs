//! One gateway's counts for each zone over the last seconds. Memory is bounded by the number of zones in the topology.

use crate::attempt_counts::{AttemptCounts, AttemptResult, ObservedHealth, MIN_ATTEMPTS};
use crate::report::{Report, SPAN_MS};
use starlinghill_failover::Micros;
use std::collections::BTreeMap;

/// Number of slots in the span of a report. Counts expire by whole slots.
const REPORT_SLOTS: usize = 8;
/// The time that one slot covers.
const SLOT_TIME: Micros = Micros(SPAN_MS * 1_000 / REPORT_SLOTS as u64);
/// Number of slots kept for each zone. A report looks back this far if the report span has too few attempts. Servers of an
/// unreachable zone are tried only once in a while, so a shorter memory would forget that the zone is unreachable. The time
/// is eight report spans, as long as one server may go without an attempt.
const SLOTS: usize = 64;
/// The largest reported run of attempts without a reply.
const MAX_UNANSWERED_RUN: u32 = 1_000;
/// Time constant of the average for the usual rate of answers, in seconds. Much longer than the troubles to be noticed, so
/// that they barely change the average.
const USUAL_RATE_SECONDS: f64 = 60.0;

#[derive(Debug, Clone)]
struct ZoneWindow {
    /// A ring: the counts of slot `n` are at index `n % SLOTS`.
    slots: [AttemptCounts; SLOTS],
    /// The slot of the first attempt.
    first_slot: Option<u64>,
    /// The slot of the last attempt that got any reply.
    last_reply_slot: u64,
    /// The number of attempts since then, all without a reply.
    unanswered_run: u32,
    /// The average answers per second while the zone was healthy.
    usual_rate: Option<f64>,
}

impl Default for ZoneWindow {
    fn default() -> ZoneWindow {
        ZoneWindow {
            slots: [AttemptCounts::default(); SLOTS],
            first_slot: None,
            last_reply_slot: 0,
            unanswered_run: 0,
            usual_rate: None,
        }
    }
}

impl ZoneWindow {
    /// The counts to report at `slot`.
    fn reported_counts(&self, slot: u64) -> AttemptCounts {
        let (counts, seconds) = self.sum_recent_slots(slot);
        let usual_answers = self.usual_rate.map_or(0, |rate| (rate * seconds).round().min(1e6) as u32);
        let no_recent_reply = slot >= self.last_reply_slot + REPORT_SLOTS as u64 && counts.attempts() > 0;
        AttemptCounts {
            usual_answers,
            unanswered_run: if no_recent_reply { self.unanswered_run } else { 0 },
            ..counts
        }
    }

    /// The sum of the slots up to `slot`, and the seconds that they cover: the report span, or longer until there are enough
    /// attempts to tell a health from.
    fn sum_recent_slots(&self, slot: u64) -> (AttemptCounts, f64) {
        let mut counts = AttemptCounts::default();
        let mut slots_used = 0;
        while slots_used < REPORT_SLOTS || slots_used < SLOTS && counts.attempts() < u64::from(MIN_ATTEMPTS) {
            counts += self.slots[slot.wrapping_sub(slots_used as u64) as usize % SLOTS];
            slots_used += 1;
        }
        (counts, SLOT_TIME.0 as f64 / 1e6 * slots_used as f64)
    }
}

/// One gateway's counts for all zones.
#[derive(Debug, Clone)]
pub struct AttemptWindow {
    zones: BTreeMap<String, ZoneWindow>,
    /// The number of the current slot, counted from time 0.
    slot: u64,
}

impl AttemptWindow {
    /// Empty counts for these zones.
    pub fn new(zones: impl IntoIterator<Item = String>) -> AttemptWindow {
        AttemptWindow {
            zones: zones.into_iter().map(|name| (name, ZoneWindow::default())).collect(),
            slot: 0,
        }
    }

    /// Sets the zones of a new topology. Zones that stay keep their counts.
    pub fn set_zones(&mut self, zones: impl IntoIterator<Item = String>) {
        let mut old = std::mem::take(&mut self.zones);
        let kept = |name: String| (name.clone(), old.remove(&name).unwrap_or_default());
        self.zones = zones.into_iter().map(kept).collect();
    }

    /// Counts an attempt that ended at `now`. Attempts at unknown zones are ignored.
    pub fn record(&mut self, now: Micros, zone: &str, result: AttemptResult) {
        self.advance_to(now);
        let slot = self.slot;
        if let Some(zone) = self.zones.get_mut(zone) {
            zone.first_slot.get_or_insert(slot);
            match result {
                AttemptResult::Unanswered | AttemptResult::ConnectFailed => {
                    zone.unanswered_run = zone.unanswered_run.saturating_add(1).min(MAX_UNANSWERED_RUN)
                }
                _ => (zone.last_reply_slot, zone.unanswered_run) = (slot, 0),
            }
            zone.slots[slot as usize % SLOTS].record(result);
        }
    }

    /// The report to send at `now`.
    pub fn report(&mut self, now: Micros) -> Report {
        self.advance_to(now);
        let zones = self.zones.iter().map(|(name, zone)| (name.clone(), zone.reported_counts(self.slot)));
        Report { zones: zones.filter(|(_, counts)| counts.attempts() > 0).collect() }
    }

    /// Clears the slots that expired since the last call, and updates the usual rates first.
    fn advance_to(&mut self, now: Micros) {
        let slot = now.0 / SLOT_TIME.0;
        if slot <= self.slot {
            return;
        }
        let passed_slots = (slot - self.slot).min(SLOTS as u64);
        for zone in self.zones.values_mut() {
            // Before a full report span has passed_slots, the rate would come out too low.
            if zone.first_slot.is_some_and(|first| slot >= first + REPORT_SLOTS as u64) {
                zone.update_usual_rate(self.slot, SLOT_TIME.0 as f64 / 1e6 * passed_slots as f64);
            }
            for next in 1..=passed_slots {
                zone.slots[(self.slot + next) as usize % SLOTS] = AttemptCounts::default();
            }
        }
        self.slot = slot;
    }
}

impl ZoneWindow {
    /// Averages the rate of answers, only while the zone is healthy: otherwise a long trouble would become the usual rate.
    /// When a zone is drained by order, its usual rate goes down with its traffic.
    fn update_usual_rate(&mut self, slot: u64, passed_seconds: f64) {
        let (counts, seconds) = self.sum_recent_slots(slot);
        if counts.observed_health() != ObservedHealth::Healthy {
            return;
        }
        let rate = f64::from(counts.answered) / seconds;
        let usual_rate = self.usual_rate.unwrap_or(rate);
        self.usual_rate =
            Some(usual_rate + (rate - usual_rate) * (1.0 - (-passed_seconds / USUAL_RATE_SECONDS).exp()));
    }
}
