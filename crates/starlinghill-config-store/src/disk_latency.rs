//! What a disk usually takes, and when it is slow.

use std::time::Duration;

/// Slow is what takes so many times as long as usual: a disk that merely has other work to do takes a few times as long.
const SLOW: u32 = 10;
/// And no less than that, a tenth of what others wait for a voter: nobody notices it.
const NOTICED: Duration = Duration::from_millis(35);
/// The usual follows what was taken in steps of this part.
const STEP: u32 = 16;

/// What a disk usually takes for a write with its sync.
#[derive(Debug, Default)]
pub struct LatencyBaseline {
    usual: Option<Duration>,
}

impl LatencyBaseline {
    /// A write took so long: what it usually takes, where this one was slow. Slow ones count for no more than the bound,
    /// so that a disk that is slow for good is usual after some time.
    pub fn is_slow(&mut self, took: Duration) -> Option<Duration> {
        let usual = *self.usual.get_or_insert(took.min(NOTICED));
        let bound = (usual * SLOW).max(NOTICED);
        self.usual = Some((usual * (STEP - 1) + took.min(bound)) / STEP);
        (took > bound).then_some(usual)
    }
}
