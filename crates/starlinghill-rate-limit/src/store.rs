//! Estimates the level of a quota's token bucket (the store) from the outside.
//!
//! The bucket fills at a rate, holds at most a burst, and all gateways take from it. From time to time a
//! gateway receives a running total of everything that was taken, and it knows its own contributions.
//! Between two totals, `dt` seconds apart, the other gateways took `X` units at times that are unknown:
//!
//! ```text
//! all taken at first:  high = min(burst, level + rate * dt - X)     the bucket had all the time to fill up again
//! all taken at last:   low  = min(burst, level + rate * dt) - X     what overflowed before is lost
//! ```
//!
//! The true level lies between them. Two figures are kept: `level` is an estimate in between, and `floor`
//! always uses the lower bound. A gateway that admits by `floor` alone keeps the quota whatever the order
//! was. Let `p` be its last total before a time `x` and `u` its first one after it: `floor(u) <= burst -
//! X(p, u)`. So what all gateways take from `x` until `t` never exceeds `burst + rate * (t - x)`. The
//! property tests check this over many interleavings.
//!
//! Each total belongs to a counter name that is used for one span. The next span's total starts at 0, and
//! what others took between this gateway's last total and the start of the span stays unknown. `level`
//! assumes that they continued at their recent rate; `floor` restarts from what the bucket must have been
//! filled with since the start of the span.

use crate::rate::Flow;
use crate::time::Micros;

/// Where between `high` (0) and `low` (1) the level is assumed to be.
const LOW_WEIGHT: f64 = 0.4;
/// Time constant in seconds for which units taken by others count as recent, so that others may still
/// return them.
const RETURN_S: f64 = 2.0;

/// How far below zero the level and the floor may go, in bursts. Units that others added for refused
/// requests are returned shortly after.
const MAX_BELOW_ZERO: f64 = 0.4;
/// If totals are further apart than this, in seconds, those units have been returned: the level may not go
/// below zero.
const RETURNED_AFTER_S: f64 = 0.5;
/// Tolerance in units before a falling total is taken as a sign that the counter lost its state.
const ROUNDING: f64 = 0.5;

/// A quota, as a token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Units a second.
    pub rate: f64,
    /// The most units that the bucket holds.
    pub burst: f64,
}

/// A total, and the call that it answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreReading {
    /// The span to whose count the call added.
    pub span: u64,
    /// How long ago the current span began.
    pub elapsed: Micros,
    /// When the call was made. A total is certainly newer than another one if its call was made no earlier
    /// than that one was received.
    pub made: Micros,
    /// Before this time, others may have used units that no total includes: this gateway's process had not
    /// started, or the counter had lost its state, or others had been granted the quota's rate for some
    /// time. The floor ignores everything older.
    pub known_from: Micros,
    /// The sum of this gateway's units in this span for which an answer was received, including this call's.
    pub counted: f64,
    /// The total in units, including this call's amount.
    pub total: f64,
    /// The call's amount, in units.
    pub amount: f64,
    /// The part of the amount that was not recorded by `take` before.
    pub unrecorded: f64,
}

/// One quota's token bucket, as this gateway estimates it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Store {
    /// The estimated level, in units; unknown before the first total.
    level: Option<f64>,
    floor: f64,
    /// The time of `level` and `floor`, and how much later than the last total it is.
    at: Micros,
    lag: Micros,
    /// When the last total was received.
    total_at: Micros,
    /// The span of the last total, and that total.
    span: u64,
    total: f64,
    /// Units that others took recently and may still return.
    returnable: f64,
    /// The rates at which this gateway and the others take units.
    own: Flow,
    others: Flow,
    /// Both rates as of the last total.
    flows: (f64, f64),
}

impl Store {
    /// The estimated level, without what others took since the last total; `None` before the first one.
    pub fn level(&self, quota: Quota, now: Micros) -> Option<f64> {
        let level = self.level?;
        Some((level + quota.rate * (now - self.at).secs()).min(quota.burst))
    }

    /// The rates at which this gateway and the others take, in units a second, as of the last total; `None`
    /// before the first one.
    pub fn flows(&self) -> Option<(f64, f64)> {
        self.level.map(|_| self.flows)
    }

    /// The level that the bucket certainly had at the last total, less what this gateway took since.
    pub fn floor(&self) -> f64 {
        self.floor
    }

    /// When the last total was received.
    pub fn total_at(&self) -> Micros {
        self.total_at
    }

    /// Sets the level that a counter keeps itself.
    pub fn set_level(&mut self, now: Micros, level: f64) {
        (self.level, self.floor, self.at, self.lag, self.total_at) =
            (Some(level), level, now, Micros(0), now);
    }

    /// Records units that this gateway took (or returned, if negative) and that no total includes yet.
    pub fn take(&mut self, quota: Quota, now: Micros, units: f64) {
        let filled = |level: f64| (level + quota.rate * (now - self.at).secs()).min(quota.burst);
        let (level, floor) = (filled(self.level.unwrap_or(quota.burst)), filled(self.floor));
        (self.level, self.floor) = (self.level.map(|_| level - units), floor - units);
        (self.lag, self.at) = (self.lag + (now - self.at), now);
        self.own.add(now, units);
    }

    /// Processes a total. Returns whether it shows that the counter lost its state.
    pub fn apply_total(&mut self, quota: Quota, now: Micros, reading: StoreReading) -> bool {
        let StoreReading { span, elapsed, made, known_from, counted, total, amount, unrecorded } = reading;
        let Quota { rate, burst } = quota;
        let others = total - amount;
        if span == self.span && made < self.total_at && total < self.total {
            self.apply_late_total(quota, now, amount, unrecorded);
            return false;
        }
        let dt = (now - self.at).secs();
        // What has filled the bucket since a time is certain, whatever the level was at that time.
        let filled_since = |at: Micros| (rate * (now - at).secs()).min(burst);
        let filled_in_span = filled_since(known_from.max(now - elapsed));
        self.returnable *= (-dt / RETURN_S).exp();
        let mut lost = false;
        let (level, dt, filled, taken, unknown) = match self.level {
            Some(level) if span == self.span => {
                let taken = others - self.total;
                // The total is less than this gateway's own units, or fell by more than others can have
                // returned: the counter was emptied or reset to an older state. What others took is then
                // unknown, and their recent rate is the best guess.
                let returned = self.returnable.min(MAX_BELOW_ZERO * burst);
                lost = total < counted - ROUNDING || taken < -returned - ROUNDING;
                let taken = if lost { others.max(0.0).min(self.flows.1 * dt) } else { taken };
                let filled = (self.floor + rate * dt).min(burst);
                let filled =
                    if self.total_at < known_from { filled.min(filled_since(known_from)) } else { filled };
                let filled = if lost { filled.min(0.0) } else { filled };
                (level, dt, filled, taken, 0.0)
            }
            Some(level) => {
                let before_span = (dt + self.lag.secs() - elapsed.secs()).max(0.0);
                let unknown = self.flows.1 * before_span;
                (level, dt, filled_in_span, others, unknown)
            }
            None => (burst, elapsed.secs(), filled_in_span, others, 0.0),
        };
        self.others.add(now, taken);
        self.returnable = (self.returnable + taken).max(0.0);
        let lowest = if dt > RETURNED_AFTER_S { 0.0 } else { -MAX_BELOW_ZERO * burst };
        let level = estimate(quota, level, dt, taken + unknown).max(lowest);
        // The floor may go below zero: the total includes units that others will return. If the floor were
        // raised to zero now, it would rise again for the same units when they are returned. Anything below
        // the bound was taken so long ago that the bucket had time to fill.
        let floor = (filled - taken).max(-MAX_BELOW_ZERO * burst);
        (self.level, self.floor) = (Some(level - unrecorded), floor - unrecorded);
        (self.at, self.lag, self.total_at, self.span, self.total) = (now, Micros(0), now, span, total);
        self.own.add(now, unrecorded);
        self.flows = (self.own.now(now).max(0.0), self.others.now(now).max(0.0));
        lost
    }

    /// Processes an answer that a newer one overtook. The newer total included this call's amount and
    /// attributed it to other gateways. Guards against mistaking answers that arrive out of order for a
    /// counter that lost its state.
    fn apply_late_total(&mut self, quota: Quota, now: Micros, amount: f64, unrecorded: f64) {
        self.others.add(now, -amount);
        self.returnable = (self.returnable - amount).max(0.0);
        // Units that `take` had recorded were subtracted twice.
        self.take(quota, now, unrecorded - amount);
        self.own.add(now, amount);
    }
}

/// The estimated level after others took `taken` units at unknown times within the last `dt` seconds.
fn estimate(quota: Quota, level: f64, dt: f64, taken: f64) -> f64 {
    let filled = level + quota.rate * dt;
    let (high, low) = ((filled - taken).min(quota.burst), filled.min(quota.burst) - taken);
    high - LOW_WEIGHT * (high - low.max(high.min(0.0))).max(0.0)
}
