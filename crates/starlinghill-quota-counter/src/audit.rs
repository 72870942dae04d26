//! Checks the invariant of a quota at the counter: in no window may the granted units, plus the units that gateways report
//! as used on their own decision, exceed what the rules allow.
//!
//! Units are counted in slots of a tenth of a window. The sum over the last eleven slots is compared with what the rules
//! allow in eleven tenths of a window, so that a counted violation is always a real one. Units that cut-off gateways use
//! by their shares do not appear here; they are reserved instead (`TokenBucket::reserve`).

use starlinghill_rate_limit::{Allowance, Quota};
use std::collections::VecDeque;
use std::time::Duration;

const SLOTS_PER_WINDOW: u64 = 10;

#[derive(Debug)]
pub(crate) struct Audit {
    slot_length: Duration,
    /// The units allowed within one window and one slot.
    max_units: f64,
    /// The units used in each slot, by the number of the slot, oldest first.
    slots: VecDeque<(u64, f64)>,
    /// The sum over `slots`.
    sum: f64,
    is_exceeded: bool,
    /// A violation began that `take_violation` has not reported yet.
    has_new_violation: bool,
}

impl Audit {
    pub(crate) fn new(quota: Quota, allowance: Allowance) -> Audit {
        let slot_length = Duration::from_secs_f64(allowance.window_s / SLOTS_PER_WINDOW as f64);
        let longer = Allowance { window_s: allowance.window_s + slot_length.as_secs_f64(), ..allowance };
        Audit {
            slot_length,
            max_units: longer.max_units(quota),
            slots: VecDeque::new(),
            sum: 0.0,
            is_exceeded: false,
            has_new_violation: false,
        }
    }

    /// Counts used units. A negative number takes back units that were counted and then not used.
    pub(crate) fn record(&mut self, now: Duration, units: f64) {
        if units == 0.0 || self.slot_length.is_zero() {
            return;
        }
        let slot = (now.as_micros() / self.slot_length.as_micros().max(1)) as u64;
        while let Some((oldest, expired_units)) = self.slots.front().copied() {
            if oldest + SLOTS_PER_WINDOW >= slot {
                break;
            }
            self.sum -= expired_units;
            self.slots.pop_front();
        }
        match self.slots.back_mut() {
            Some((last, sum)) if *last >= slot => *sum += units,
            _ => self.slots.push_back((slot, units)),
        }
        self.sum += units;
        let is_exceeded = self.sum > self.max_units;
        // A window that stays over the limit is one violation, however many units are added.
        self.has_new_violation |= is_exceeded && !self.is_exceeded;
        self.is_exceeded = is_exceeded;
    }

    /// Whether a violation began since the last call.
    pub(crate) fn take_violation(&mut self) -> bool {
        std::mem::take(&mut self.has_new_violation)
    }
}
