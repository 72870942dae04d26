//! The bucket levels that a gateway keeps, so that a new counter can recover from them.

use crate::{LevelReading, MAX_BUCKETS};
use std::collections::HashMap;

/// After this a reading is useless, since its bucket is full again. In microseconds.
const MAX_AGE_US: u64 = 120_000_000;

/// The last reading of each bucket.
#[derive(Debug, Default)]
pub struct LevelReadings {
    buckets: HashMap<u64, LevelReading>,
}

impl LevelReadings {
    /// Stores the level of a bucket and this gateway's share of its rate, as the counter reported them at `at_us`, in
    /// microseconds of the system clock.
    pub fn record(&mut self, bucket: u64, level: f64, share: f64, at_us: u64) {
        if self.buckets.len() >= MAX_BUCKETS {
            self.buckets.retain(|_, reading| reading.at_us + MAX_AGE_US > at_us);
        }
        if self.buckets.len() < MAX_BUCKETS || self.buckets.contains_key(&bucket) {
            self.buckets.insert(bucket, LevelReading { bucket, level, at_us, share });
        }
    }

    /// The last share that the counter assigned to this gateway.
    pub fn share(&self, bucket: u64) -> Option<f64> {
        self.buckets.get(&bucket).map(|reading| reading.share)
    }

    /// All readings that are not too old at `now_us`, in microseconds of the system clock. Drops the others.
    pub fn current(&mut self, now_us: u64) -> Vec<LevelReading> {
        self.buckets.retain(|_, reading| reading.at_us + MAX_AGE_US > now_us);
        self.buckets.values().copied().collect()
    }
}
