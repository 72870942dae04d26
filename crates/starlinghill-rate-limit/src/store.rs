//! A quota's store of units, followed from outside.
//!
//! The store fills at a rate, holds a burst at most, and every gateway takes from it. What a gateway hears is a
//! running total `T` of all that was taken, now and then, together with its own adds. Between two totals the others
//! took `X`, and nothing tells when:
//!
//! ```text
//! taken at first:  high = min(burst, level + rate * dt - X)     the store had all the time to fill up again
//! taken at last:   low  = min(burst, level + rate * dt) - X     what ran over before is lost
//! ```
//!
//! The truth lies between. Two figures are kept: `level`, a guess in between, and `floor`, which always takes the
//! low one. Whoever goes by `floor` alone keeps the quota whatever the order was: with `p` its last total before
//! some moment `x` and `u` the first one after it, `floor(u) <= burst - X(p, u)`, so that what all gateways take from `x`
//! until `t` never passes `burst + rate * (t - x)`. The property tests hold this over all interleavings.
//!
//! Totals belong to a name that lives for a span. When the next span begins its total starts at 0, and what others took
//! between this gateway's last total and the edge stays unknown: `level` reckons with what they took of late, `floor`
//! begins anew with what the store must have been filled with since the edge.

use crate::rate::Flow;
use crate::time::Micros;

/// Where between `high` and `low` the level is taken to be.
const LATE: f64 = 0.4;
/// What others took may be given back for about so many seconds.
const RECENT: f64 = 2.0;

/// How far below nothing the store may be taken to be, in bursts: others' adds that are refused come back soon. For the
/// level, after a pause (in seconds) they have.
const BELOW: f64 = 0.4;
const PAUSE: f64 = 0.5;
/// Units by which a total may fall beyond what others can give back and the counter still be the same.
const ROUNDING: f64 = 0.5;

/// A quota: units a second, and the most at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Units a second.
    pub rate: f64,
    /// The most units that its store holds.
    pub burst: f64,
}

/// A total, and the call that it answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreReading {
    /// The span of the call's name.
    pub span: u64,
    /// How long ago the span began.
    pub elapsed: Micros,
    /// When the call was made. A total is certainly later than another if its call was made when that was heard or after.
    pub made: Micros,
    /// Before this moment others may have used what no total tells of: an earlier life of this gateway was there, or
    /// the counter lost what it held, or the quota's own rate was given to others for a while. The floor leans on
    /// nothing older.
    pub known_from: Micros,
    /// What this gateway put on the name all together, as far as it was answered, this call's amount in it.
    pub posted: f64,
    /// The total, with this call's amount in it.
    pub total: f64,
    /// The call's amount, in units.
    pub own: f64,
    /// The part of it that was not told by `take` before.
    pub fresh: f64,
}

/// One quota's store, as this gateway knows it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Store {
    /// Its level, in units; unknown before the first total.
    level: Option<f64>,
    floor: f64,
    /// When that was, and how long after the last total.
    at: Micros,
    lag: Micros,
    /// When the last total was heard.
    heard: Micros,
    /// The span whose totals are followed, and the last of them.
    span: u64,
    total: f64,
    /// What others were seen to take of late, and may give back.
    recent: f64,
    /// What this gateway takes, and the others.
    own: Flow,
    others: Flow,
    /// Both, as of the last total.
    flows: (f64, f64),
}

impl Store {
    /// The level, as far as it was ever told, without what others took since the last total.
    pub fn level(&self, quota: Quota, now: Micros) -> Option<f64> {
        let level = self.level?;
        Some((level + quota.rate * (now - self.at).secs()).min(quota.burst))
    }

    /// What this gateway took and what the others did, in units a second, as of the last total; `None` before the first.
    pub fn flows(&self) -> Option<(f64, f64)> {
        self.level.map(|_| self.flows)
    }

    /// The level that is certain, as of the last total.
    pub fn floor(&self) -> f64 {
        self.floor
    }

    /// When the last total was heard.
    pub fn total_at(&self) -> Micros {
        self.heard
    }

    /// The level itself was told.
    pub fn set_level(&mut self, now: Micros, level: f64) {
        (self.level, self.floor, self.at, self.lag, self.heard) = (Some(level), level, now, Micros(0), now);
    }

    /// This gateway took so much (or gave it back, where negative) that no total holds yet.
    pub fn take(&mut self, quota: Quota, now: Micros, units: f64) {
        let filled = |level: f64| (level + quota.rate * (now - self.at).secs()).min(quota.burst);
        let (level, floor) = (filled(self.level.unwrap_or(quota.burst)), filled(self.floor));
        (self.level, self.floor) = (self.level.map(|_| level - units), floor - units);
        (self.lag, self.at) = (self.lag + (now - self.at), now);
        self.own.add(now, units);
    }

    /// A total was heard. Returns whether it shows that the counter lost what it held.
    pub fn apply_total(&mut self, quota: Quota, now: Micros, told: StoreReading) -> bool {
        let StoreReading { span: index, elapsed, made, known_from, posted, total, own, fresh } = told;
        let Quota { rate, burst } = quota;
        let others = total - own;
        if index == self.span && made < self.heard && total < self.total {
            self.heard_late(quota, now, own, fresh);
            return false;
        }
        let dt = (now - self.at).secs();
        // What filled since then is certain whatever was before.
        let since = |at: Micros| (rate * (now - at).secs()).min(burst);
        let since_edge = since(known_from.max(now - elapsed));
        self.recent *= (-dt / RECENT).exp();
        let mut lost = false;
        let (level, dt, filled, taken, unknown) = match self.level {
            Some(level) if index == self.span => {
                let taken = others - self.total;
                // Less is there than this gateway put there, or more is gone than others can have given back: the counter
                // was counter_reset or set back. What others took is unknown, and what they take by habit the best guess.
                let given_back = self.recent.min(BELOW * burst);
                lost = total < posted - ROUNDING || taken < -given_back - ROUNDING;
                let taken = if lost { others.max(0.0).min(self.flows.1 * dt) } else { taken };
                let filled = (self.floor + rate * dt).min(burst);
                let filled = if self.heard < known_from { filled.min(since(known_from)) } else { filled };
                let filled = if lost { filled.min(0.0) } else { filled };
                (level, dt, filled, taken, 0.0)
            }
            Some(level) => {
                let before_edge = (dt + self.lag.secs() - elapsed.secs()).max(0.0);
                let unknown = self.flows.1 * before_edge;
                (level, dt, since_edge, others, unknown)
            }
            None => (burst, elapsed.secs(), since_edge, others, 0.0),
        };
        self.others.add(now, taken);
        self.recent = (self.recent + taken).max(0.0);
        let lowest = if dt > PAUSE { 0.0 } else { -BELOW * burst };
        let level = between(quota, level, dt, taken + unknown).max(lowest);
        // Not to nothing: adds that others take back lie in it, and what was raised for them would rise once more when
        // they do. What lies lower was taken long ago, when the store had time to fill.
        let floor = (filled - taken).max(-BELOW * burst);
        (self.level, self.floor) = (Some(level - fresh), floor - fresh);
        (self.at, self.lag, self.heard, self.span, self.total) = (now, Micros(0), now, index, total);
        self.own.add(now, fresh);
        self.flows = (self.own.now(now).max(0.0), self.others.now(now).max(0.0));
        lost
    }

    /// An answer that another overtook: the later total was heard before, holds this call's amount too, and let it pass for
    /// taken by others. Guards against taking a line of answers out of order for an counter_reset counter.
    fn heard_late(&mut self, quota: Quota, now: Micros, own: f64, fresh: f64) {
        self.others.add(now, -own);
        self.recent = (self.recent - own).max(0.0);
        // What was taken before and posted with this call was taken twice.
        self.take(quota, now, fresh - own);
        self.own.add(now, own);
    }
}

/// The level after others took `taken` at some time within the last `dt` seconds.
fn between(quota: Quota, level: f64, dt: f64, taken: f64) -> f64 {
    let filled = level + quota.rate * dt;
    let (high, low) = ((filled - taken).min(quota.burst), filled.min(quota.burst) - taken);
    high - LATE * (high - low.max(high.min(0.0))).max(0.0)
}
