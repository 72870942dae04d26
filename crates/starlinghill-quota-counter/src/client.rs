//! A gateway's side of the quota counter: the last known bucket levels, the usage to report, and the times of contact.
//! The owner of the connection reports what was sent and received. The module does no I/O and reads no clock; times are
//! counted from any fixed moment of the process.

use crate::bounds::unassigned_share;
use crate::{Draw, DrawOutcome, LevelReading, LevelReadings, QuotaLevel, UnreportedUsage};
use std::time::Duration;

/// A gateway as a client of the counter.
#[derive(Debug)]
pub struct QuotaClient {
    readings: LevelReadings,
    unreported: UnreportedUsage,
    /// When a message was last sent to any counter, or the gateway started.
    sent_at: Duration,
    /// When a counter last replied, or the gateway started.
    received_at: Duration,
    /// The term of the counter that last replied.
    term: u64,
    /// The usage before this moment has been reduced by this gateway's own shares.
    deducted_until: Duration,
}

impl QuotaClient {
    /// The client of a gateway that starts now.
    pub fn new(now: Duration) -> QuotaClient {
        let (readings, unreported) = Default::default();
        QuotaClient { readings, unreported, sent_at: now, received_at: now, term: 0, deducted_until: now }
    }

    /// Adds units that were used without the counter's grant, from a bucket that fills at `rate` units a second. A
    /// negative number gives back units that were granted and not used. `gateways` is the number of gateways.
    pub fn add_unreported(&mut self, bucket: u64, units: f64, rate: f64, gateways: usize) {
        let share = self.readings.share(bucket).unwrap_or_else(|| unassigned_share(gateways));
        self.unreported.add(bucket, units, rate * share);
    }

    /// Whether there is usage to report.
    pub fn has_unreported(&self) -> bool {
        !self.unreported.is_empty()
    }

    /// Call this when connecting to the counter of `term`. It deducts from the unreported usage what this gateway's
    /// shares amounted to while they were reserved for it. The counter that last replied reserved them from the last
    /// message on that it may have received; another counter starts from the last reply of its predecessor. No span of
    /// time is deducted twice, however often a connection fails.
    pub fn on_connect(&mut self, now: Duration, term: u64) {
        let last = if self.term == term { self.sent_at } else { self.received_at };
        self.unreported.deduct_own_share(now.saturating_sub(last.max(self.deducted_until)));
        (self.deducted_until, self.sent_at) = (now, now);
    }

    /// The readings to send to a counter that has just started or has forgotten this gateway. `time_us` is the system
    /// clock in microseconds.
    pub fn readings_for_recovery(&mut self, now: Duration, time_us: u64) -> Vec<LevelReading> {
        self.sent_at = now;
        self.readings.current(time_us)
    }

    /// Call this before a message with `draws` is sent. It adds the unreported usage of their buckets to the draws, and
    /// returns that of up to `max_others` other buckets.
    pub fn on_send<'a>(
        &mut self,
        now: Duration,
        draws: impl Iterator<Item = &'a mut Draw>,
        max_others: usize,
    ) -> Vec<(u64, f64)> {
        self.sent_at = now;
        draws.for_each(|draw| draw.unreported += self.unreported.take(draw.bucket));
        self.unreported.take_up_to(max_others)
    }

    /// Call this when the counter of `term` has replied to any message, keep-alives included.
    pub fn on_reply(&mut self, now: Duration, term: u64) {
        (self.received_at, self.term) = (now, term);
    }

    /// Takes in the answer to a draw, received at `time_us` of the system clock. `was_awaited` says that the request was
    /// decided by this answer, and not by the gateway itself.
    pub fn on_draw_answered(&mut self, time_us: u64, draw: &Draw, level: &QuotaLevel, was_awaited: bool) {
        let is_granted = level.level >= 0.0;
        // The level of a refused draw lies below zero by what was missing, and nothing was taken.
        let not_taken = if is_granted { 0.0 } else { draw.units };
        self.readings.record(draw.bucket, level.level + not_taken, level.share, time_us);
        let outcome = if is_granted { DrawOutcome::Granted } else { DrawOutcome::Refused };
        self.unreported.settle_draw(draw.bucket, (draw.unreported, draw.units), outcome, was_awaited);
    }

    /// Takes note that a draw was not received by the counter, or that this is not known.
    pub fn on_draw_failed(&mut self, draw: &Draw) {
        let carried = (draw.unreported, draw.units);
        self.unreported.settle_draw(draw.bucket, carried, DrawOutcome::Unknown, false);
    }
}
