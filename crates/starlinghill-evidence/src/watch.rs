//! One gateway's counts of each zone over the last seconds. Memory is bounded by the zones of the map, whatever comes.

use crate::report::{Report, SPAN_MS};
use crate::sums::{Became, Sight, Sums};
use starlinghill_accord::Micros;
use std::collections::BTreeMap;

/// Slots that make the span of a report; one that is full goes as a whole.
const SLOTS: usize = 8;
const SLOT: Micros = Micros(SPAN_MS * 1_000 / SLOTS as u64);
/// Time over which the usual rate of answers is averaged, in seconds: far beyond a trouble that is to be seen.
const USUAL: f64 = 60.0;

#[derive(Debug, Clone, Default)]
struct Zone {
    slots: [Sums; SLOTS],
    /// The slot of the first attempt.
    begun: Option<u64>,
    /// Answers a second while it was well.
    usual: Option<f64>,
}

impl Zone {
    fn sums(&self) -> Sums {
        let mut all = Sums::default();
        self.slots.iter().for_each(|slot| all += *slot);
        all.usual = self.usual.map_or(0, |rate| (rate * SPAN_MS as f64 / 1e3).round().min(1e9) as u32);
        all
    }
}

/// The counts.
#[derive(Debug, Clone)]
pub struct Watch {
    zones: BTreeMap<String, Zone>,
    /// The slot that is being filled.
    slot: u64,
}

impl Watch {
    /// Counts for the zones of the map.
    pub fn new(zones: impl IntoIterator<Item = String>) -> Watch {
        Watch { zones: zones.into_iter().map(|name| (name, Zone::default())).collect(), slot: 0 }
    }

    /// An attempt at a zone ended. Zones that are not on the map are not counted.
    pub fn ended(&mut self, now: Micros, zone: &str, became: Became) {
        self.roll(now);
        let slot = self.slot;
        if let Some(zone) = self.zones.get_mut(zone) {
            zone.begun.get_or_insert(slot);
            zone.slots[slot as usize % SLOTS].note(became);
        }
    }

    /// What is told now.
    pub fn report(&mut self, now: Micros) -> Report {
        self.roll(now);
        let zones = self.zones.iter().map(|(name, zone)| (name.clone(), zone.sums()));
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
            if zone.begun.is_some_and(|begun| slot >= begun + SLOTS as u64) {
                zone.learn(SLOT.0 as f64 / 1e6 * passed as f64);
            }
            for next in 1..=passed {
                zone.slots[(self.slot + next) as usize % SLOTS] = Sums::default();
            }
        }
        self.slot = slot;
    }
}

impl Zone {
    /// What is usual, from what it does while it is well. Guards against taking a trouble for usual; a zone that gets
    /// less and less by order loses its usual rate at the same pace.
    fn learn(&mut self, passed: f64) {
        let sums = self.sums();
        if sums.sight() != Sight::Well {
            return;
        }
        let rate = f64::from(sums.answered) / (SPAN_MS as f64 / 1e3);
        let usual = self.usual.unwrap_or(rate);
        self.usual = Some(usual + (rate - usual) * (1.0 - (-passed / USUAL).exp()));
    }
}
