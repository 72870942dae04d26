//! What a gateway keeps for a counter that begins.

use crate::{LevelReading, MOST};
use std::collections::HashMap;

/// A reading that is older, in microseconds, tells nothing: its store is full.
const OLD: u64 = 120_000_000;

/// What was last heard of each store.
#[derive(Debug, Default)]
pub struct Readings {
    stores: HashMap<u64, LevelReading>,
}

impl Readings {
    /// A level was heard, at that moment of the system's time, and this gateway's share of the rate.
    pub fn heard(&mut self, name: u64, level: f64, share: f64, at: u64) {
        if self.stores.len() >= MOST {
            self.stores.retain(|_, reading| reading.at + OLD > at);
        }
        if self.stores.len() < MOST || self.stores.contains_key(&name) {
            self.stores.insert(name, LevelReading { name, level, at, share });
        }
    }

    /// The share that this gateway was told last.
    pub fn share(&self, name: u64) -> Option<f64> {
        self.stores.get(&name).map(|reading| reading.share)
    }

    /// All that still tells something.
    pub fn all(&mut self, at: u64) -> Vec<LevelReading> {
        self.stores.retain(|_, reading| reading.at + OLD > at);
        self.stores.values().copied().collect()
    }
}
