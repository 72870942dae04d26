//! The units that a gateway used on its own decision, kept until the counter has been told.
//!
//! If the counter does not answer a draw in time, the gateway decides the request itself. What became of the draw is
//! known later: the answer arrives late, or never. Each unit that was used must be taken from the bucket once, and each
//! unit that the bucket granted for nothing must go back:
//!
//! | the draw | the gateway let the request through | it did not |
//! | --- | --- | --- |
//! | answered late, granted | add a unit, then give one back | give one back |
//! | answered late, refused | add a unit | nothing |
//! | not received, or never answered | add a unit | nothing |
//!
//! If it is not known whether the counter received a report, the usage is reported again: a tenant may get too little for
//! a moment, but never too much.
//!
//! While a gateway reports to no counter, its share of the rate is reserved for it. What it used within that share needs
//! no report.

use crate::MAX_BUCKETS;
use std::collections::HashMap;
use std::time::Duration;

/// How a draw ended at the counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrawOutcome {
    /// The counter received the draw, and the bucket held the requested units.
    Granted,
    /// The counter received the draw, and the bucket held too little.
    Refused,
    /// The counter did not receive the draw, or it is not known whether it did.
    Unknown,
}

#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Usage {
    /// Units to report. Negative if more units have to go back than were used.
    units: f64,
    /// The rate, in units a second, that this gateway may use by its share while it reports to no counter.
    own_rate: f64,
}

/// The usage to report, by bucket.
#[derive(Debug, Default)]
pub struct UnreportedUsage {
    buckets: HashMap<u64, Usage>,
}

impl UnreportedUsage {
    /// Adds units that were used without the counter's grant. A negative number gives back units that were granted and
    /// not used. `own_rate` is this gateway's share of the bucket's rate, in units a second.
    pub fn add(&mut self, bucket: u64, units: f64, own_rate: f64) {
        if self.buckets.len() >= MAX_BUCKETS && !self.buckets.contains_key(&bucket) {
            return;
        }
        let usage = self.buckets.entry(bucket).or_default();
        usage.units += units;
        usage.own_rate = own_rate;
        if usage.units == 0.0 {
            self.buckets.remove(&bucket);
        }
    }

    /// Settles a draw that reported `unreported` units and asked for `units`. `was_awaited` says that its request was
    /// decided by the answer, and not by the gateway itself.
    pub fn settle_draw(
        &mut self,
        bucket: u64,
        (unreported, units): (f64, f64),
        outcome: DrawOutcome,
        was_awaited: bool,
    ) {
        let own_rate = self.buckets.get(&bucket).map(|usage| usage.own_rate).unwrap_or_default();
        match outcome {
            DrawOutcome::Granted if !was_awaited => self.add(bucket, -units, own_rate),
            DrawOutcome::Unknown => self.add(bucket, unreported, own_rate),
            DrawOutcome::Granted | DrawOutcome::Refused => {}
        }
    }

    /// Deducts from all usage what this gateway's shares amounted to in `span`, in which it reported to no counter.
    pub fn deduct_own_share(&mut self, span: Duration) {
        self.buckets.retain(|_, usage| {
            if usage.units > 0.0 {
                usage.units = (usage.units - usage.own_rate * span.as_secs_f64()).max(0.0);
            }
            usage.units != 0.0
        });
    }

    /// Takes out the units of a bucket, to be sent along with a draw from it.
    pub fn take(&mut self, bucket: u64) -> f64 {
        self.buckets.remove(&bucket).map(|usage| usage.units).unwrap_or_default()
    }

    /// Takes out the units of up to `max_buckets` buckets.
    pub fn take_up_to(&mut self, max_buckets: usize) -> Vec<(u64, f64)> {
        let buckets: Vec<u64> = self.buckets.keys().copied().take(max_buckets).collect();
        buckets.into_iter().map(|bucket| (bucket, self.take(bucket))).collect()
    }

    /// Whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }
}
