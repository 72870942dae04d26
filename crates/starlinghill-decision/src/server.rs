//! One server as a gateway knows it.

use crate::api::*;
use crate::bucket::TokenBucket;
use crate::context::Context;

/// One server, with this gateway's estimates of it.
#[derive(Debug, Default)]
pub(crate) struct Server {
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    /// Capacity relative to the other servers.
    pub(crate) weight: f64,
    pub(crate) listed: bool,
    /// Attempts in flight here, without those whose body is still being uploaded.
    pub(crate) in_flight: f64,
    /// Smoothed time of good answers in microseconds; 0 before the first.
    pub(crate) latency: f64,
    /// Attempts that may be in flight here, before `Fleet::limit_scale`.
    pub(crate) limit: f64,
    /// Smoothed share of attempts that failed, from 0 to 1.
    pub(crate) fail_share: f64,
    pub(crate) ejected_until: Micros,
    /// How often the next ejection's time is doubled.
    pub(crate) ejections: u32,
    /// It was ejected and has not answered well since; it gets one attempt at a time.
    pub(crate) trial: bool,
    /// Since when connects have failed.
    pub(crate) unreached_since: Option<Micros>,
    pub(crate) cold_since: Option<Micros>,
    /// Units that it may get while cold.
    pub(crate) cold_bucket: TokenBucket,
}

impl Server {
    /// The server is cold, and its budget of units is used up.
    pub(crate) fn cold_empty(&self) -> bool {
        self.cold_since.is_some() && self.cold_bucket.level <= 0.0
    }

    /// Ends the cold start once `cold` has passed.
    pub(crate) fn end_cold_start(&mut self, now: Micros, cold: Micros) {
        self.cold_since = self.cold_since.filter(|&since| now < since + cold);
    }
}

/// The fraction of its capacity that a server has at this time after its start.
fn capacity_part(set: &Settings, age: Micros) -> f64 {
    set.cold_from + (1.0 - set.cold_from) * (age.secs() / set.cold.secs().max(1e-6)).min(1.0)
}

/// The fraction of its capacity that a server has now.
pub(crate) fn present_part(cx: &Context, s: &Server) -> f64 {
    s.cold_since.map_or(1.0, |since| capacity_part(&cx.settings, cx.now - since))
}

/// The fraction of a warm server's work that a server gets at this time after its start.
pub(crate) fn warm_part(set: &Settings, age: Micros) -> f64 {
    capacity_part(set, age) * if age < set.cold { (set.fall_multiple / 2.0).min(1.0) } else { 1.0 }
}
