//! Calls to the counter whose answers are still to come. Nothing here decides.

use crate::api::*;

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
    pub(crate) span: u64,
    pub(crate) request: Option<RequestId>,
    pub(crate) amount: f64,
    /// The request's own units.
    pub(crate) units: f64,
    /// The part of the amount that is not this request's own.
    pub(crate) extra: f64,
    /// The part of that which went on unheard.
    pub(crate) unheard: f64,
    pub(crate) probe: bool,
}

impl Call {
    /// A call for a request, of which nothing else is known.
    pub(crate) fn new(at: Micros, purpose: Purpose, a: &Arrival, span: u64, amount: f64) -> Call {
        let (customer, request, units) = (a.customer, Some(a.id), a.units);
        Call { at, purpose, customer, span, request, amount, units, extra: 0.0, unheard: 0.0, probe: false }
    }
}
