//! One gateway's side of a count that it shares with others: what of its own spend the counter holds, what calls under way
//! carry to it, and what is still to be told. Whatever comes back, late, lost or never carried out, each unit is told
//! once.

use crate::Micros;

/// What one call carries.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CallAmount {
    /// The span of the count that it goes to.
    pub span: u64,
    /// All of it.
    pub amount: f64,
    /// The part that is earlier spend, and not the units that the call is made for.
    pub extra: f64,
    /// The part of that which went on unconfirmed.
    pub unconfirmed: f64,
}

impl CallAmount {
    /// One that carries nothing of an earlier spend.
    pub fn of(span: u64, amount: f64) -> CallAmount {
        CallAmount { span, amount, ..CallAmount::default() }
    }

    /// The units that the call was made for.
    pub fn fresh(&self) -> f64 {
        self.amount - self.extra
    }
}

/// What became of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The counter told a total with it.
    Counted,
    /// It certainly did not arrive.
    NeverRan,
    /// It may have been counted or not.
    Unknown,
}

/// This gateway's side of a shared count in one span.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Tally {
    span: u64,
    /// Own adds known to have been counted.
    posted: f64,
    /// Own spend not yet on the counter.
    owed: f64,
    /// The part of it that went on unconfirmed.
    unconfirmed: f64,
    /// Own earlier spend that calls under way carry.
    posting: f64,
    /// Up to when what was spent unheard is made good.
    at: Micros,
}

impl Tally {
    /// The next span begins, unless it is the present one. What is on no counter yet goes on in it.
    pub fn begin(&mut self, span: u64) {
        if self.span != span {
            let (owed, unconfirmed, at) = (self.owed, self.unconfirmed, self.at);
            *self = Tally { span, owed, unconfirmed, at, ..Tally::default() };
        }
    }

    /// The same for a count of what is held: all of that is to be told anew.
    pub fn begin_with(&mut self, span: u64, held: f64) {
        if self.span != span {
            *self = Tally { span, owed: held, ..Tally::default() };
        }
    }

    /// What was spent unheard is made good at a rate. Guards against a spend of seconds ago that others would take for one
    /// of now.
    pub fn repay(&mut self, now: Micros, rate: f64) {
        let made_good = rate * (now - self.at).secs();
        self.owed -= made_good.min(self.owed).max(0.0);
        self.unconfirmed = self.unconfirmed.min(self.owed).max(0.0);
        self.at = now;
    }

    /// Units were spent, or came back, that no call carries.
    pub fn spend(&mut self, units: f64) {
        self.owed += units;
    }

    /// Units were spent that no total was heard for.
    pub fn spend_unconfirmed(&mut self, units: f64) {
        self.owed += units;
        self.unconfirmed += units;
    }

    /// Own spend not yet on the counter, and not on its way.
    pub fn unsent(&self) -> f64 {
        self.owed
    }

    /// Own adds known to have been counted.
    pub fn counted(&self) -> f64 {
        self.posted
    }

    /// What of ours the last total does not hold yet.
    pub fn uncounted(&self) -> f64 {
        self.owed + self.posting
    }

    /// So much more is counted, or on its way, than is held.
    pub fn surplus(&self, held: f64) -> f64 {
        self.posted + self.posting + self.owed - held
    }

    /// Whether a call belongs to the present span.
    pub fn is_of(&self, span: u64) -> bool {
        self.span == span
    }

    /// A call is made for these units, and carries what is owed.
    pub fn start_call(&mut self, units: f64) -> CallAmount {
        let extra = std::mem::take(&mut self.owed);
        self.posting += extra;
        let unconfirmed = std::mem::take(&mut self.unconfirmed);
        CallAmount { span: self.span, amount: units + extra, extra, unconfirmed }
    }

    /// A call came back; returns whether it belongs to the present span. What did not arrive is owed again; what may have is
    /// not: told twice, it would be taken from others for good.
    pub fn call_ended(&mut self, post: &CallAmount, fate: CallOutcome) -> bool {
        if !self.is_of(post.span) {
            return false;
        }
        self.posting -= post.extra;
        match fate {
            CallOutcome::Counted => self.posted += post.amount,
            CallOutcome::NeverRan => {
                (self.owed, self.unconfirmed) = (self.owed + post.extra, self.unconfirmed + post.unconfirmed)
            }
            CallOutcome::Unknown => {}
        }
        true
    }

    /// The counter has lost all but this much of ours.
    pub fn reset_counted(&mut self, own: f64) {
        self.posted = own;
    }
}
