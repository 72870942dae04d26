//! A request with its attempts. Nothing here decides.

use crate::api::*;

/// One attempt of a request.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) sent: Micros,
    pub(crate) out: bool,
    pub(crate) may_have_run: bool,
}

/// A request from its arrival until it has its answer and nothing of it is out.
#[derive(Debug, Default)]
pub(crate) struct Request {
    pub(crate) a: Arrival,
    pub(crate) arrived: Micros,
    /// The most attempts, by the rules under which it came.
    pub(crate) most: usize,
    pub(crate) attempts: Vec<Attempt>,
    /// Window whose count holds this request's units, until the first send.
    pub(crate) counted: Option<u64>,
    /// It holds a place in the customer's attempts out.
    pub(crate) holds_place: bool,
    /// Count calls made for it whose answers are still to come.
    pub(crate) asking: u32,
    pub(crate) held_since: Option<Micros>,
    pub(crate) streaming: bool,
    /// Its body still comes, and its attempt is no load to its server yet.
    pub(crate) coming: bool,
    pub(crate) done: bool,
}

impl Request {
    /// An attempt of it is out.
    pub(crate) fn is_out(&self) -> bool {
        self.attempts.iter().any(|a| a.out)
    }
}
