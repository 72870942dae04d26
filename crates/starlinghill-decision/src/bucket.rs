//! A token bucket, and a hash of numbers.

use crate::api::Micros;

/// A token bucket in units; the rate is per second. Callers may let the level fall below zero.
#[derive(Debug, Clone, Default)]
pub(crate) struct TokenBucket {
    pub(crate) level: f64,
    pub(crate) depth: f64,
    pub(crate) rate: f64,
    /// When the level was last updated.
    pub(crate) at: Micros,
}

impl TokenBucket {
    pub(crate) fn fill(&mut self, now: Micros) {
        self.level = (self.level + self.rate * (now - self.at).secs()).min(self.depth);
        self.at = now.max(self.at);
    }
    /// Takes the units if the bucket holds them; returns whether it did.
    pub(crate) fn take(&mut self, now: Micros, units: f64) -> bool {
        self.fill(now);
        let enough = self.level >= units;
        if enough {
            self.level -= units;
        }
        enough
    }
}

/// Spreads the bits of a number (the finaliser of SplitMix64).
pub(crate) fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
