//! What a gateway keeps for a counter that begins.

use crate::{Reading, MOST};
use std::collections::HashMap;

/// A reading that is older, in microseconds, tells nothing: its store is full.
const OLD: u64 = 120_000_000;

/// What was last heard of each store.
#[derive(Debug, Default)]
pub struct Readings {
    stores: HashMap<u64, Reading>,
}

impl Readings {
    /// A level was heard, at that moment of the system's time. Of a draw that was refused it is below nothing by what was
    /// not taken.
    pub fn heard(&mut self, name: u64, level: f64, at: u64) {
        if self.stores.len() >= MOST {
            self.stores.retain(|_, reading| reading.at + OLD > at);
        }
        if self.stores.len() < MOST || self.stores.contains_key(&name) {
            self.stores.insert(name, Reading { name, level, at });
        }
    }

    /// All that still tells something.
    pub fn all(&mut self, at: u64) -> Vec<Reading> {
        self.stores.retain(|_, reading| reading.at + OLD > at);
        self.stores.values().copied().collect()
    }
}
