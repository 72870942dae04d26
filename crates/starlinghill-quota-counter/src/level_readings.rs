//! What a gateway keeps for a counter that begins.

use crate::{LevelReading, MAX_BUCKETS};
use std::collections::HashMap;

/// A reading that is older, in microseconds, tells nothing: its store is full.
const OLD: u64 = 120_000_000;

/// What was last heard of each store.
#[derive(Debug, Default)]
pub struct LevelReadings {
    stores: HashMap<u64, LevelReading>,
}

impl LevelReadings {
    /// A level was heard, at that moment of the system's time, and this gateway's share of the rate.
    pub fn record(&mut self, name: u64, level: f64, share: f64, at: u64) {
        if self.stores.len() >= MAX_BUCKETS {
            self.stores.retain(|_, reading| reading.at_us + OLD > at);
        }
        if self.stores.len() < MAX_BUCKETS || self.stores.contains_key(&name) {
            self.stores.insert(name, LevelReading { bucket: name, level, at_us: at, share });
        }
    }

    /// The share that this gateway was told last.
    pub fn share(&self, name: u64) -> Option<f64> {
        self.stores.get(&name).map(|reading| reading.share)
    }

    /// All that still tells something.
    pub fn current(&mut self, at: u64) -> Vec<LevelReading> {
        self.stores.retain(|_, reading| reading.at_us + OLD > at);
        self.stores.values().copied().collect()
    }
}
