//! Calls to the counter whose answers are still to come. Nothing here decides.

use crate::api::*;
use starlinghill_rate_limit::tally::{Fate, Post};

/// What a count is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    Window,
    Open,
    /// Of a customer that comes through many gateways: what it asks for, and what its ceiling has for all to take.
    Demand,
    Turn,
}

/// One call to the counter whose answer is still to come.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) at: Micros,
    pub(crate) purpose: Purpose,
    pub(crate) customer: CustomerId,
    pub(crate) request: Option<RequestId>,
    /// The request's own units.
    pub(crate) units: f64,
    /// What it carries.
    pub(crate) post: Post,
    pub(crate) probe: bool,
}

impl Call {
    /// A call for a request, of which nothing else is known.
    pub(crate) fn new(at: Micros, purpose: Purpose, a: &Arrival, span: u64, amount: f64) -> Call {
        let (customer, request, units) = (a.customer, Some(a.id), a.units);
        Call { at, purpose, customer, request, units, post: Post::of(span, amount), probe: false }
    }
}

/// What an answer says of what its call carried.
pub(crate) fn fate(outcome: Outcome) -> Fate {
    match outcome {
        Outcome::Ok => Fate::Counted,
        _ if outcome.never_ran() => Fate::NeverRan,
        _ => Fate::Unknown,
    }
}

/// What came of asking for a request.
pub(crate) enum Asked {
    /// The counter is asked; its answer decides.
    Called,
    /// It is not asked: what is known here decides.
    Silent,
    /// Known full: a call could only tell the same.
    Full,
    /// There is nothing to ask for.
    Free,
}
