//! Calls to the counter that are not answered yet. Nothing here decides.

use crate::api::*;
use starlinghill_rate_limit::tally::{CallAmount, CallOutcome};

/// What a call counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Units in the customer's window.
    Window,
    /// The customer's requests in flight.
    Open,
    /// For customers whose requests come through many gateways: the units asked for, and units of a ceiling's
    /// turn.
    Demand,
    Turn,
}

/// A call to the counter that is not answered yet.
#[derive(Debug)]
pub(crate) struct Call {
    /// When it was made.
    pub(crate) at: Micros,
    pub(crate) purpose: Purpose,
    pub(crate) customer: CustomerId,
    pub(crate) request: Option<RequestId>,
    /// Units of the request that made it; 0 without a request.
    pub(crate) units: f64,
    /// The units that it reports, of the request and of earlier ones.
    pub(crate) post: CallAmount,
    /// It is the probe of a half-open breaker.
    pub(crate) probe: bool,
}

impl Call {
    /// A call for a request that is not a probe.
    pub(crate) fn new(at: Micros, purpose: Purpose, a: &Arrival, span: u64, amount: f64) -> Call {
        let (customer, request, units) = (a.customer, Some(a.id), a.units);
        Call { at, purpose, customer, request, units, post: CallAmount::of(span, amount), probe: false }
    }
}

/// Whether the counter has added the units of a call, by the call's outcome.
pub(crate) fn fate(outcome: Outcome) -> CallOutcome {
    match outcome {
        Outcome::Ok => CallOutcome::Counted,
        _ if outcome.never_ran() => CallOutcome::NeverRan,
        _ => CallOutcome::Unknown,
    }
}

/// The result of trying to call the counter for a request.
pub(crate) enum CallDecision {
    /// A call was made; its answer decides.
    Called,
    /// No call was made; what this gateway knows decides.
    NotCalled,
    /// The limit is known to be reached, so no call was made.
    KnownFull,
    /// There is no limit to check.
    NothingToAsk,
}
