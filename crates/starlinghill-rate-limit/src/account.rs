//! One customer's quota as a gateway keeps it: its own side of the shared counts, and the store that their totals tell of.

use crate::tally::{CallAmount, CallOutcome, Tally};
use crate::{Micros, Quota, Store, StoreReading};

/// When and of what a total is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowTotal {
    /// The total.
    pub units: f64,
    /// Now.
    pub now: Micros,
    /// When the call was made that brought it.
    pub made: Micros,
    /// The present window, and how much of it has passed.
    pub span: u64,
    /// The same.
    pub elapsed: Micros,
    /// Before this moment others may have used what no total tells of.
    pub known_from: Micros,
}

/// What a total of the window tells.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowUpdate {
    /// What the quota has room for.
    pub level: Option<f64>,
    /// The counter has lost what it held.
    pub counter_reset: bool,
    /// What went on unheard and is heard of now; none where the floor does not hold it, or the window has ended.
    pub confirmed: Option<f64>,
}

/// The account.
#[derive(Debug, Default)]
pub struct Account {
    /// What was spent in the present window.
    pub window: Tally,
    /// Attempts out in the present epoch.
    pub in_flight: Tally,
    /// What all gateways share, as the totals tell it.
    pub store: Store,
}

impl Account {
    /// Brings both counts to the present spans. What was spent unheard is made good at the rate.
    pub fn advance(&mut self, now: Micros, window: u64, epoch: u64, rate: f64, places: f64) {
        self.window.begin(window);
        self.window.repay(now, rate);
        self.in_flight.begin_with(epoch, places);
    }

    /// Units were spent without a word of the counter's.
    pub fn spend_unconfirmed(&mut self, quota: Quota, now: Micros, units: f64) {
        self.store.take(quota, now, units);
        self.window.spend_unconfirmed(units);
    }

    /// Units turned out to be so many more.
    pub fn charge_more(&mut self, quota: Quota, now: Micros, more: f64) {
        self.window.spend(more);
        self.store.take(quota, now, more);
    }

    /// Units that were counted in a window were not used; returns whether the counter can still be told.
    pub fn refund(&mut self, quota: Quota, now: Micros, span: u64, units: f64) -> bool {
        self.store.take(quota, now, -units);
        // The name of an earlier window is not asked for any more.
        let current = self.window.is_of(span);
        self.window.spend(if current { -units } else { 0.0 });
        current
    }

    /// A call on the window brought a total.
    pub fn window_answered(&mut self, quota: Quota, post: &CallAmount, total: WindowTotal) -> WindowUpdate {
        let (mut counter_reset, mut confirmed) = (false, None);
        if self.window.call_ended(post, CallOutcome::Counted) {
            let told = StoreReading {
                span: total.span,
                elapsed: total.elapsed,
                made: total.made,
                known_from: total.known_from,
                posted: self.window.counted(),
                total: total.units,
                own: post.amount,
                fresh: post.fresh(),
            };
            counter_reset = self.store.apply_total(quota, total.now, told);
            if counter_reset {
                self.window.reset_counted(post.amount);
            }
            confirmed = (self.store.floor() >= 0.0).then_some(post.unconfirmed);
        } else {
            // The window ended meanwhile: its total says nothing of this one, and no later one tells of the amount.
            self.store.take(quota, total.now, post.fresh());
        }
        WindowUpdate { level: self.store.level(quota, total.now), counter_reset, confirmed }
    }

    /// A call on a store that the counter keeps brought what that holds.
    pub fn draw_answered(&mut self, post: &CallAmount, now: Micros, level: f64) {
        self.window.call_ended(post, CallOutcome::Counted);
        self.store.set_level(now, level);
    }

    /// A call on the places brought a total; returns how many are out by that, with those that it does not hold yet.
    pub fn in_flight_answered(&mut self, post: &CallAmount, total: f64) -> f64 {
        let current = self.in_flight.call_ended(post, CallOutcome::Counted);
        total + if current { self.in_flight.uncounted() } else { 0.0 }
    }
}
