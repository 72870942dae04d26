//! How full the queue of an owner gets, for people: whoever finds it full waits, and nobody else would know why.

use std::time::Duration;
use tokio::time::Instant;

/// From that part on it is said.
const PART: usize = 2;
/// How often it is said at most.
const AGAIN: Duration = Duration::from_secs(5);

/// What a queue held at most of late.
#[derive(Debug)]
pub struct QueueGauge {
    name: &'static str,
    of: usize,
    most: usize,
    told: Option<Instant>,
}

impl QueueGauge {
    /// Of a queue that holds so many.
    pub fn new(name: &'static str, of: usize) -> QueueGauge {
        QueueGauge { name, of, most: 0, told: None }
    }

    /// So many wait in it now: the most since it was last said, where it is to be said again.
    pub fn observe(&mut self, now: Instant, waiting: usize) -> Option<usize> {
        self.most = self.most.max(waiting);
        let due = self.told.is_none_or(|at| now.saturating_duration_since(at) >= AGAIN);
        let say = due && self.most * PART >= self.of;
        if say {
            self.told = Some(now);
        }
        if due {
            return Some(std::mem::take(&mut self.most)).filter(|_| say);
        }
        None
    }

    /// The same, and says it in the logs.
    pub fn observe_and_log(&mut self, waiting: usize) {
        if let Some(most) = self.observe(Instant::now(), waiting) {
            log::warn!("event=queue name={} filled={most} of={}", self.name, self.of);
        }
    }
}
