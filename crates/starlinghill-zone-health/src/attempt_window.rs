//! One gateway's counts of each zone over the last seconds. Memory is bounded by the zones of the map, whatever comes.

use crate::attempt_counts::{AttemptCounts, AttemptResult, ObservedHealth, FLOOR};
use crate::report::{Report, SPAN_MS};
use starlinghill_failover::Micros;
use std::collections::BTreeMap;

/// Slots that make the span of a report; one that is full goes as a whole.
const USUAL_SLOTS: usize = 8;
const SLOT: Micros = Micros(SPAN_MS * 1_000 / USUAL_SLOTS as u64);
/// The most slots that are looked back at for as many attempts as it takes to tell. Guards against forgetting that a zone is
/// dark because its servers, left alone for that, are tried once in a while: eight times longer than usual, which is
/// as long as one of them may be left alone.
const SLOTS: usize = 64;
/// The longest row of attempts without a word that is told.
const MOST_MUTE: u32 = 1_000;
/// Time over which the usual rate of answers is averaged, in seconds: far beyond a trouble that is to be seen.
const USUAL: f64 = 60.0;

#[derive(Debug, Clone)]
struct Zone {
    slots: [AttemptCounts; SLOTS],
    /// The slot of the first attempt, and of the last of which something came back.
    begun: Option<u64>,
    word: u64,
    /// Attempts since, of which nothing came back.
    mute: u32,
    /// Answers a second while it was well.
    usual: Option<f64>,
}

impl Default for Zone {
    fn default() -> Zone {
        Zone { slots: [AttemptCounts::default(); SLOTS], begun: None, word: 0, mute: 0, usual: None }
    }
}

impl Zone {
    /// The last slots up to this one: those of the usual span, and as many before as it takes to tell anything.
    fn sums(&self, slot: u64) -> AttemptCounts {
        let (sums, span) = self.spanned(slot);
        let usual = self.usual.map_or(0, |rate| (rate * span).round().min(1e6) as u32);
        let quiet = slot >= self.word + USUAL_SLOTS as u64 && sums.attempts() > 0;
        AttemptCounts { usual_answers: usual, unanswered_run: if quiet { self.mute } else { 0 }, ..sums }
    }

    /// The same, and how many seconds they took.
    fn spanned(&self, slot: u64) -> (AttemptCounts, f64) {
        let mut all = AttemptCounts::default();
        let mut taken = 0;
        while taken < USUAL_SLOTS || taken < SLOTS && all.attempts() < u64::from(FLOOR) {
            all += self.slots[slot.wrapping_sub(taken as u64) as usize % SLOTS];
            taken += 1;
        }
        (all, SLOT.0 as f64 / 1e6 * taken as f64)
    }
}

/// The counts.
#[derive(Debug, Clone)]
pub struct AttemptWindow {
    zones: BTreeMap<String, Zone>,
    /// The slot that is being filled.
    slot: u64,
}

impl AttemptWindow {
    /// Counts for the zones of the map.
    pub fn new(zones: impl IntoIterator<Item = String>) -> AttemptWindow {
        AttemptWindow { zones: zones.into_iter().map(|name| (name, Zone::default())).collect(), slot: 0 }
    }

    /// Another map holds: zones that stay keep their counts.
    pub fn set_zones(&mut self, zones: impl IntoIterator<Item = String>) {
        let mut old = std::mem::take(&mut self.zones);
        let kept = |name: String| (name.clone(), old.remove(&name).unwrap_or_default());
        self.zones = zones.into_iter().map(kept).collect();
    }

    /// An attempt at a zone ended. Zones that are not on the map are not counted.
    pub fn record(&mut self, now: Micros, zone: &str, became: AttemptResult) {
        self.roll(now);
        let slot = self.slot;
        if let Some(zone) = self.zones.get_mut(zone) {
            zone.begun.get_or_insert(slot);
            match became {
                AttemptResult::Unanswered | AttemptResult::ConnectFailed => {
                    zone.mute = zone.mute.saturating_add(1).min(MOST_MUTE)
                }
                _ => (zone.word, zone.mute) = (slot, 0),
            }
            zone.slots[slot as usize % SLOTS].record(became);
        }
    }

    /// What is told now.
    pub fn report(&mut self, now: Micros) -> Report {
        self.roll(now);
        let zones = self.zones.iter().map(|(name, zone)| (name.clone(), zone.sums(self.slot)));
        Report { zones: zones.filter(|(_, sums)| sums.attempts() > 0).collect() }
    }

    fn roll(&mut self, now: Micros) {
        let slot = now.0 / SLOT.0;
        if slot <= self.slot {
            return;
        }
        let passed = (slot - self.slot).min(SLOTS as u64);
        for zone in self.zones.values_mut() {
            // A span that is not full yet says less than is usual.
            if zone.begun.is_some_and(|begun| slot >= begun + USUAL_SLOTS as u64) {
                zone.learn(self.slot, SLOT.0 as f64 / 1e6 * passed as f64);
            }
            for next in 1..=passed {
                zone.slots[(self.slot + next) as usize % SLOTS] = AttemptCounts::default();
            }
        }
        self.slot = slot;
    }
}

impl Zone {
    /// What is usual, from what it does while it is well. Guards against taking a trouble for usual; a zone that gets
    /// less and less by order loses its usual rate at the same pace.
    fn learn(&mut self, slot: u64, passed: f64) {
        let (sums, span) = self.spanned(slot);
        if sums.observed_health() != ObservedHealth::Healthy {
            return;
        }
        let rate = f64::from(sums.answered) / span;
        let usual = self.usual.unwrap_or(rate);
        self.usual = Some(usual + (rate - usual) * (1.0 - (-passed / USUAL).exp()));
    }
}
