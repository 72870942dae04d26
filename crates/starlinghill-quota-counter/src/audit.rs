//! The invariant of a quota, checked where the count is kept: in no window do the units that were granted, and those that
//! gateways tell of as used without a word of the counter's, exceed what the rules allow.
//!
//! Units are counted in slots of a tenth of a window. The sum over the last eleven slots is held against what the rules
//! allow in eleven tenths of a window, so that a violation that is counted is one. What gateways that are cut off use by
//! their shares is not seen here, but kept free for them (`Store::reserve`).

use starlinghill_rate_limit::{Allowance, Quota};
use std::collections::VecDeque;
use std::time::Duration;

/// A window has so many slots.
const SLOTS: u64 = 10;

#[derive(Debug)]
pub(crate) struct Audit {
    slot: Duration,
    /// The most units within a window and one slot.
    most: f64,
    /// Units by the number of their slot, the oldest first.
    used: VecDeque<(u64, f64)>,
    sum: f64,
    exceeded: bool,
    /// That was not told yet.
    is_new: bool,
}

impl Audit {
    pub(crate) fn new(quota: Quota, allowance: Allowance) -> Audit {
        let slot = Duration::from_secs_f64(allowance.window_s / SLOTS as f64);
        let longer = Allowance { window_s: allowance.window_s + slot.as_secs_f64(), ..allowance };
        let most = longer.max_units(quota);
        Audit { slot, most, used: VecDeque::new(), sum: 0.0, exceeded: false, is_new: false }
    }

    /// So many units were used; fewer than none where some that were counted had not been used after all.
    pub(crate) fn used(&mut self, now: Duration, units: f64) {
        if units == 0.0 || self.slot.is_zero() {
            return;
        }
        let slot = (now.as_micros() / self.slot.as_micros().max(1)) as u64;
        while let Some((oldest, gone)) = self.used.front().copied() {
            if oldest + SLOTS >= slot {
                break;
            }
            self.sum -= gone;
            self.used.pop_front();
        }
        match self.used.back_mut() {
            Some((last, sum)) if *last >= slot => *sum += units,
            _ => self.used.push_back((slot, units)),
        }
        self.sum += units;
        let exceeded = self.sum > self.most;
        // A window that goes on exceeding is one violation.
        self.is_new |= exceeded && !self.exceeded;
        self.exceeded = exceeded;
    }

    /// There was a violation since this was asked last.
    pub(crate) fn take_violation(&mut self) -> bool {
        std::mem::take(&mut self.is_new)
    }
}
