//! One gateway's contribution to a count that it shares with other gateways: which of its units the counter
//! includes, which are carried by calls in transit, and which must still be sent. Each unit is sent once,
//! even if answers are late or lost or calls never arrive.

use crate::Micros;

/// The units that one call adds to the counter.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CallAmount {
    /// The span of the count to which they are added.
    pub span: u64,
    /// All of them.
    pub amount: f64,
    /// Units of earlier requests that this call also carries; part of `amount`.
    pub carried: f64,
    /// Units that were admitted without an answer of the counter; part of `carried`.
    pub unconfirmed: f64,
}

impl CallAmount {
    /// An amount that carries no units of earlier requests.
    pub fn of(span: u64, amount: f64) -> CallAmount {
        CallAmount { span, amount, ..CallAmount::default() }
    }

    /// The units of the request for which the call is made.
    pub fn request_units(&self) -> f64 {
        self.amount - self.carried
    }
}

/// The outcome of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The counter answered with a total.
    Counted,
    /// The call certainly did not reach the counter.
    NeverRan,
    /// The counter may or may not have added the amount.
    Unknown,
}

/// This gateway's contribution to a shared count in one span.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tally {
    span: u64,
    /// Units known to be included in the count.
    counted: f64,
    /// Units used that no call carries yet.
    unsent: f64,
    /// The part of `unsent` that was admitted without an answer of the counter.
    unconfirmed: f64,
    /// Units of earlier requests that calls in transit carry.
    in_transit: f64,
    /// When `repay` was called last.
    repaid_at: Micros,
}

impl Tally {
    /// Starts a span unless it is already the current one. Units that were not sent yet are carried over.
    pub fn begin(&mut self, span: u64) {
        if self.span != span {
            let (unsent, unconfirmed, repaid_at) = (self.unsent, self.unconfirmed, self.repaid_at);
            *self = Tally { span, unsent, unconfirmed, repaid_at, ..Tally::default() };
        }
    }

    /// Starts a span of a count of what is currently held: all of that must be sent again.
    pub fn begin_with(&mut self, span: u64, held: f64) {
        if self.span != span {
            *self = Tally { span, unsent: held, ..Tally::default() };
        }
    }

    /// Reduces the unsent units by what the quota released since the last call of this method, `rate` units
    /// a second. Without this, other gateways would see units used seconds ago as if they were used now.
    pub fn repay(&mut self, now: Micros, rate: f64) {
        let repaid = rate * (now - self.repaid_at).secs();
        self.unsent -= repaid.min(self.unsent).max(0.0);
        self.unconfirmed = self.unconfirmed.min(self.unsent).max(0.0);
        self.repaid_at = now;
    }

    /// Adds units that no call carries. Negative units were returned.
    pub fn spend(&mut self, units: f64) {
        self.unsent += units;
    }

    /// Adds units that were admitted without an answer of the counter.
    pub fn spend_unconfirmed(&mut self, units: f64) {
        self.unsent += units;
        self.unconfirmed += units;
    }

    /// Units used that the counter does not include and no call carries.
    pub fn unsent(&self) -> f64 {
        self.unsent
    }

    /// Units known to be included in the count.
    pub fn counted(&self) -> f64 {
        self.counted
    }

    /// This gateway's units that the last total does not include, except those of requests with a call in
    /// transit.
    pub fn uncounted(&self) -> f64 {
        self.unsent + self.in_transit
    }

    /// By how much the units that were or will be counted exceed what is actually held.
    pub fn surplus(&self, held: f64) -> f64 {
        self.counted + self.in_transit + self.unsent - held
    }

    /// Whether this is the current span.
    pub fn is_of(&self, span: u64) -> bool {
        self.span == span
    }

    /// Starts a call for a request of `units`, which also carries all unsent units.
    pub fn start_call(&mut self, units: f64) -> CallAmount {
        let carried = std::mem::take(&mut self.unsent);
        self.in_transit += carried;
        let unconfirmed = std::mem::take(&mut self.unconfirmed);
        CallAmount { span: self.span, amount: units + carried, carried, unconfirmed }
    }

    /// Records a call's outcome; returns whether the call belongs to the current span. Carried units that
    /// did not arrive will be sent again. Units that may have arrived will not: if they were counted twice,
    /// other gateways would lose them for good.
    pub fn call_ended(&mut self, call: &CallAmount, outcome: CallOutcome) -> bool {
        if !self.is_of(call.span) {
            return false;
        }
        self.in_transit -= call.carried;
        match outcome {
            CallOutcome::Counted => self.counted += call.amount,
            CallOutcome::NeverRan => {
                self.unsent += call.carried;
                self.unconfirmed += call.unconfirmed;
            }
            CallOutcome::Unknown => {}
        }
        true
    }

    /// The counter lost its state and now includes only this many of this gateway's units.
    pub fn reset_counted(&mut self, units: f64) {
        self.counted = units;
    }
}
