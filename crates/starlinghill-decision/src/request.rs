//! A request with its attempts. Nothing here decides.

use crate::api::*;
use crate::context::Context;

/// One attempt of a request.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) sent: Micros,
    pub(crate) in_flight: bool,
    /// Its outcome does not prove that it never ran.
    pub(crate) may_have_run: bool,
}

/// A request, kept until it is answered and none of its attempts or calls is pending.
#[derive(Debug, Default)]
pub(crate) struct Request {
    pub(crate) arrival: Arrival,
    pub(crate) arrived: Micros,
    /// The most attempts, by the rules under which it arrived.
    pub(crate) max_attempts: usize,
    pub(crate) attempts: Vec<Attempt>,
    /// The servers that the counter suggested, with the time that each takes to answer, and when it did so.
    pub(crate) fastest: Vec<(ServerId, Micros)>,
    pub(crate) fastest_at: Micros,
    /// The window whose count holds this request's units; `None` once an attempt was sent.
    pub(crate) counted_span: Option<u64>,
    /// It counts as one of the customer's requests in flight.
    pub(crate) holds_slot: bool,
    /// Calls to the counter that are not answered yet.
    pub(crate) calls_pending: u32,
    /// Since when it waits for a free server.
    pub(crate) held_since: Option<Micros>,
    pub(crate) streaming: bool,
    /// Its body is still being uploaded, so its attempt does not count as in flight at the server yet.
    pub(crate) uploading: bool,
    /// It has its final answer.
    pub(crate) done: bool,
}

impl Request {
    /// The least time in which a suggested server answers, if the suggestion has just arrived.
    pub(crate) fn soonest(&self, cx: &Context) -> Option<Micros> {
        self.fastest.iter().filter(|_| cx.now == self.fastest_at).map(|(_, takes)| *takes).min()
    }

    /// Whether an attempt is in flight.
    pub(crate) fn any_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.in_flight)
    }
}
