//! RejectionCounts the requests that were not answered by a backend, by cause, for the log.

use crate::quota_client::{CounterClient, DrawCounts};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval of the log line. It is omitted where nothing was rejected.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Why a request was not answered by a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectionCause {
    /// The process has no configuration yet, or none that a majority of stores has confirmed: 503.
    NotReady,
    /// The decision module has no class for the route: 503.
    NoClass,
    /// The tenant's quota is used up, or no backend has capacity for this tenant with a quota; the response has a
    /// `Retry-After`: 429.
    Limited,
    /// No backend has capacity, for a request without a quota: 503.
    NoCapacity,
    /// The request may have run, or no response came: 502.
    Failed,
}

/// Number of requests for each cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RejectionCounts {
    not_ready: u64,
    no_class: u64,
    limited: u64,
    no_room: u64,
    failed: u64,
}

impl RejectionCounts {
    fn since(&self, earlier: &RejectionCounts) -> RejectionCounts {
        RejectionCounts {
            not_ready: self.not_ready - earlier.not_ready,
            no_class: self.no_class - earlier.no_class,
            limited: self.limited - earlier.limited,
            no_room: self.no_room - earlier.no_room,
            failed: self.failed - earlier.failed,
        }
    }
}

/// Counts rejected requests.
#[derive(Debug, Default)]
pub struct RejectionCounters {
    counts: Cell<RejectionCounts>,
}

impl RejectionCounters {
    /// Counts one request.
    pub fn record(&self, cause: RejectionCause) {
        let mut counts = self.counts.get();
        let count = match cause {
            RejectionCause::NotReady => &mut counts.not_ready,
            RejectionCause::NoClass => &mut counts.no_class,
            RejectionCause::Limited => &mut counts.limited,
            RejectionCause::NoCapacity => &mut counts.no_room,
            RejectionCause::Failed => &mut counts.failed,
        };
        *count += 1;
        self.counts.set(counts);
    }

    /// Logs the counts at intervals, together with the draws of the same time. More granted draws than attempts mean
    /// that no backend was found for the rest.
    pub async fn log(self: Rc<Self>, counter: Rc<CounterClient>) {
        let (mut logged, mut logged_draws) = (RejectionCounts::default(), DrawCounts::default());
        loop {
            sleep(LOG_INTERVAL).await;
            let (counts, draw_counts) = (self.counts.get(), counter.draw_counts());
            let RejectionCounts { not_ready, no_class, limited, no_room, failed } =
                counts.since(&std::mem::replace(&mut logged, counts));
            let draws = draw_counts.since(&std::mem::replace(&mut logged_draws, draw_counts));
            if not_ready + no_class + limited + no_room + failed > 0 {
                let DrawCounts { granted, refused, attempts, .. } = draws;
                log::info!(
                    "event=refusals not_ready={not_ready} no_class={no_class} limited={limited} no_room={no_room} \
                     failed={failed} draws_granted={granted} draws_refused={refused} attempts={attempts}"
                );
            }
        }
    }
}
