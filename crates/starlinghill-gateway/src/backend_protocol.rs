//! What differs between the protocols that backends speak: the platform's, and that of the whole system. Everything else
//! about an attempt is the same.

use crate::backend::Backend;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::http::response::Parts;
use hyper::StatusCode;
use starlinghill_decision::api::Outcome;

/// A protocol that backends speak.
pub trait BackendProtocol {
    /// Puts into a head what this backend is to be told: how many milliseconds are left, and whatever else is its own.
    fn set_headers(&self, headers: &mut HeaderMap, backend: &Backend, left_ms: u64);
    /// Reads the head of an answer to a request with these headers.
    fn classify(&self, asked: &HeaderMap, head: &Parts) -> ResponseVerdict;
}

/// What an answer's head says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseVerdict {
    /// How the attempt ends, if its body comes whole.
    pub outcome: Outcome,
    /// The body may be the client's: it is held, or passed on.
    pub keep_body: bool,
    /// So is its head, which is kept for that.
    pub keep_head: bool,
    /// The answer belongs to this request. Guards against what a backend sends late, or twice: the connection is of no
    /// further use.
    pub matches_request: bool,
}

/// How long the client waits; to a backend: how long this gateway does.
pub const BUDGET: HeaderName = HeaderName::from_static("x-budget-ms");
const REJECTED: HeaderName = HeaderName::from_static("x-rejected");

/// The platform's.
pub struct Platform;

impl BackendProtocol for Platform {
    fn set_headers(&self, headers: &mut HeaderMap, _: &Backend, left_ms: u64) {
        headers.insert(BUDGET, HeaderValue::from(left_ms));
    }

    /// Guards against taking a bare 503 or 504 for a turn-away: only the header proves that the request never ran.
    fn classify(&self, _: &HeaderMap, head: &Parts) -> ResponseVerdict {
        let rejected = head.headers.get(REJECTED).is_some_and(|v| v.as_bytes() == b"1");
        let outcome = match head.status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => Outcome::Full,
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
