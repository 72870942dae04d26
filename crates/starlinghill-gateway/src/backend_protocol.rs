//! The differences between the protocols of backends: the platform's and that of the whole system. All other
//! handling of an attempt is the same.

use crate::backend::Backend;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::StatusCode;
use starlinghill_decision::api::Outcome;

/// The parts of HTTP that backends of a kind use in their own way.
pub trait BackendProtocol {
    /// Adds the headers for this backend: how many milliseconds are left, and whatever else the protocol
    /// requires.
    fn set_headers(&self, headers: &mut HeaderMap, backend: &Backend, left_ms: u64);
    /// Classifies a response by its head and the headers of the request.
    fn classify(&self, asked: &HeaderMap, head: &Parts) -> ResponseVerdict;
}

/// What the head of a response determines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseVerdict {
    /// The outcome of the attempt if the body arrives complete.
    pub outcome: Outcome,
    /// The client may get the body, so it is buffered or streamed.
    pub keep_body: bool,
    /// The client gets the head too, so it is kept.
    pub keep_head: bool,
    /// The response belongs to this request. If it is false, the backend sent a response late or twice, and
    /// the connection can't be used any more.
    pub matches_request: bool,
}

/// The header with the remaining time in milliseconds: from a client, how long it waits; to a backend, how
/// long this gateway waits.
pub const BUDGET: HeaderName = HeaderName::from_static("x-budget-ms");
const REJECTED: HeaderName = HeaderName::from_static("x-rejected");

/// The platform's protocol.
pub struct Platform;

impl BackendProtocol for Platform {
    fn set_headers(&self, headers: &mut HeaderMap, _: &Backend, left_ms: u64) {
        headers.insert(BUDGET, HeaderValue::from(left_ms));
    }

    /// A 503 or 504 counts as a rejection only with the header: without it the request may have run.
    fn classify(&self, _: &HeaderMap, head: &Parts) -> ResponseVerdict {
        let rejected = head.headers.get(REJECTED).is_some_and(|v| v.as_bytes() == b"1");
        let outcome = match head.status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => Outcome::Rejected,
            _ => Outcome::Error,
        };
        ResponseVerdict {
            outcome,
            keep_body: outcome == Outcome::Ok,
            keep_head: false,
            matches_request: true,
        }
    }
}
