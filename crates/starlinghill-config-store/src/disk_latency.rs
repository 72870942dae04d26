//! Tracks the usual latency of a disk's writes, and detects slow ones.

use std::time::Duration;

/// A write is slow if it takes this many times the usual latency. Merely having other work to do slows a disk down by a
/// smaller factor.
const SLOW_FACTOR: u32 = 10;
/// A write below this is never slow: it is a tenth of what other stores wait for an acceptor, so nobody notices it.
const MIN_SLOW: Duration = Duration::from_millis(35);
/// The usual latency is a moving average in which a new write has the weight of one part in this many.
const AVERAGE_WEIGHT: u32 = 16;

/// The moving average of the time that a write takes, its sync included.
#[derive(Debug, Default)]
pub struct LatencyBaseline {
    usual: Option<Duration>,
}

impl LatencyBaseline {
    /// Records how long a write took. Returns the usual latency if the write was slow. A slow write counts in the average
    /// only up to the bound, so a disk that stays slow becomes the usual case after some time.
    pub fn record(&mut self, took: Duration) -> Option<Duration> {
        let usual = *self.usual.get_or_insert(took.min(MIN_SLOW));
        let bound = (usual * SLOW_FACTOR).max(MIN_SLOW);
        self.usual = Some((usual * (AVERAGE_WEIGHT - 1) + took.min(bound)) / AVERAGE_WEIGHT);
        (took > bound).then_some(usual)
    }
}
