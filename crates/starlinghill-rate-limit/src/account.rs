//! One customer's quota as a gateway tracks it: its contributions to the shared counts, and the level of
//! the quota's token bucket that follows from their totals.

use crate::tally::{CallAmount, CallOutcome, Tally};
use crate::{Micros, Quota, Store, StoreReading};

/// The total of a window that a call returned, and when it was received.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowTotal {
    /// The total, in units.
    pub units: f64,
    /// When it was received.
    pub now: Micros,
    /// When the call was made.
    pub made: Micros,
    /// The number of the current window.
    pub span: u64,
    /// How long ago the current window began.
    pub elapsed: Micros,
    /// Before this time, others may have used units that no total includes.
    pub known_from: Micros,
}

/// What follows from the total of a window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowUpdate {
    /// The estimated level of the quota, in units.
    pub level: Option<f64>,
    /// Whether the counter lost its state.
    pub counter_reset: bool,
    /// Units admitted without an answer that the total now includes and the quota certainly held. `None` if
    /// it is not certain that the quota held them, or if the window has ended.
    pub confirmed: Option<f64>,
}

/// One customer's quota at this gateway.
#[derive(Debug, Default)]
pub struct Account {
    /// Units used in the current window.
    pub window: Tally,
    /// Attempts in flight in the current epoch.
    pub in_flight: Tally,
    /// The token bucket that all gateways share, estimated from the totals.
    pub store: Store,
}

impl Account {
    /// Advances both counts to the current window and epoch. Unsent units are repaid at `rate` units a
    /// second; `in_flight` is this gateway's current number of attempts.
    pub fn advance(&mut self, now: Micros, window: u64, epoch: u64, rate: f64, in_flight: f64) {
        self.window.begin(window);
        self.window.repay(now, rate);
        self.in_flight.begin_with(epoch, in_flight);
    }

    /// Records units that were admitted without an answer of the counter.
    pub fn spend_unconfirmed(&mut self, quota: Quota, now: Micros, units: f64) {
        self.store.take(quota, now, units);
        self.window.spend_unconfirmed(units);
    }

    /// Records that a request used `more` units than were counted for it.
    pub fn charge_more(&mut self, quota: Quota, now: Micros, more: f64) {
        self.window.spend(more);
        self.store.take(quota, now, more);
    }

    /// Returns units that were counted in window `span` but not used; returns whether the counter can still
    /// be told.
    pub fn refund(&mut self, quota: Quota, now: Micros, span: u64, units: f64) -> bool {
        self.store.take(quota, now, -units);
        // No calls are made for earlier windows, so their totals can't be corrected.
        let current = self.window.is_of(span);
        self.window.spend(if current { -units } else { 0.0 });
        current
    }

    /// Processes the answer to a call for the window's count.
    pub fn window_answered(&mut self, quota: Quota, call: &CallAmount, total: WindowTotal) -> WindowUpdate {
        let (mut counter_reset, mut confirmed) = (false, None);
        if self.window.call_ended(call, CallOutcome::Counted) {
            let reading = StoreReading {
                span: total.span,
                elapsed: total.elapsed,
                made: total.made,
                known_from: total.known_from,
                counted: self.window.counted(),
                total: total.units,
                amount: call.amount,
                unrecorded: call.request_units(),
            };
            counter_reset = self.store.apply_total(quota, total.now, reading);
            if counter_reset {
                self.window.reset_counted(call.amount);
            }
            confirmed = (self.store.floor() >= 0.0).then_some(call.unconfirmed);
        } else {
            // The window ended in the meantime. Its total says nothing about the current window, and no
            // later total includes the request.
            self.store.take(quota, total.now, call.request_units());
        }
        WindowUpdate { level: self.store.level(quota, total.now), counter_reset, confirmed }
    }

    /// Processes the answer of a counter that keeps the level itself.
    pub fn draw_answered(&mut self, call: &CallAmount, now: Micros, level: f64) {
        self.window.call_ended(call, CallOutcome::Counted);
        self.store.set_level(now, level);
    }

    /// Processes the answer to a call for the count of attempts in flight. Returns how many are in flight
    /// at all gateways, including those of this gateway that the total does not include yet.
    pub fn in_flight_answered(&mut self, call: &CallAmount, total: f64) -> f64 {
        let current = self.in_flight.call_ended(call, CallOutcome::Counted);
        total + if current { self.in_flight.uncounted() } else { 0.0 }
    }
}
