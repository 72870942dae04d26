//! Logs how full a task's command queue gets. Senders wait while it is full, and without the log line nobody could
//! tell why they are slow.

use std::time::Duration;
use tokio::time::Instant;

/// The fill level is logged from 1/`REPORTED_FRACTION` of the capacity on.
const REPORTED_FRACTION: usize = 2;
/// Minimum time between two log lines for one queue.
const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// The highest recent fill level of a queue.
#[derive(Debug)]
pub struct QueueGauge {
    name: &'static str,
    capacity: usize,
    highest: usize,
    last_report: Option<Instant>,
}

impl QueueGauge {
    /// `name` appears in the log; `capacity` is the queue's number of entries.
    pub fn new(name: &'static str, capacity: usize) -> QueueGauge {
        QueueGauge { name, capacity, highest: 0, last_report: None }
    }

    /// Records that `waiting` entries are in the queue. Returns the highest number since the last report, if a report
    /// is due and that number is high enough.
    pub fn observe(&mut self, now: Instant, waiting: usize) -> Option<usize> {
        self.highest = self.highest.max(waiting);
        let due = self.last_report.is_none_or(|at| now.saturating_duration_since(at) >= MIN_REPORT_INTERVAL);
        let report = due && self.highest * REPORTED_FRACTION >= self.capacity;
        if report {
            self.last_report = Some(now);
        }
        if due {
            return Some(std::mem::take(&mut self.highest)).filter(|_| report);
        }
        None
    }

    /// Like `observe` at the current time; logs what is to be reported.
    pub fn observe_and_log(&mut self, waiting: usize) {
        if let Some(highest) = self.observe(Instant::now(), waiting) {
            log::warn!("event=queue name={} filled={highest} of={}", self.name, self.capacity);
        }
    }
}
