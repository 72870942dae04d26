//! How backends of the system are spoken to, and what their answers say.

use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_ENCODING};
use hyper::http::response::Parts;
use hyper::StatusCode;
use starlinghill_decision::api::Outcome;
use starlinghill_gateway::backend::Backend;
use starlinghill_gateway::backend_protocol::{BackendProtocol, ResponseVerdict};

/// A try's own id.
pub const ATTEMPT: HeaderName = HeaderName::from_static("attempt-id");
/// How many milliseconds the one who asks will wait.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("time-left");
/// The backend that a request is for.
pub const TARGET: HeaderName = HeaderName::from_static("target-backend");
/// The tenant that a request is of.
pub const CUSTOMER: HeaderName = HeaderName::from_static("customer");
const SEAL: HeaderName = HeaderName::from_static("backend-seal");
const NOT_RUN: HeaderName = HeaderName::from_static("not-run");

/// The system's own protocol.
pub struct System;

impl BackendProtocol for System {
    fn set_headers(&self, headers: &mut HeaderMap, backend: &Backend, left_ms: u64) {
        headers.insert(TIME_LEFT, HeaderValue::from(left_ms));
        if let Some(name) = &backend.name {
            headers.insert(TARGET, name.clone());
        }
    }

    fn classify(&self, asked: &HeaderMap, head: &Parts) -> ResponseVerdict {
        let (told, refused) = (head.headers.get(ATTEMPT), head.headers.contains_key(NOT_RUN));
        let refused = refused || head.status == StatusCode::MISDIRECTED_REQUEST;
        // A surplus answer stands where the next one is due: only the id tells. A turn-away may come without.
        let own = told.map_or(refused, |told| asked.get(ATTEMPT) == Some(told));
        // What changes the protocol was asked for by nobody, and is no answer.
        let own = own && !head.status.is_informational();
        if refused {
            // Another one has the address: this backend is not there any more.
            let elsewhere = head.status == StatusCode::MISDIRECTED_REQUEST;
            let outcome = if elsewhere { Outcome::ConnectFailed } else { Outcome::Full };
            return ResponseVerdict { outcome, keep_body: false, keep_head: false, matches_request: own };
        }
        // A success without its stamp, or encoded, is not what the backend made.
        let sound = head.headers.contains_key(SEAL) && !head.headers.contains_key(CONTENT_ENCODING);
        let success = head.status.is_success();
        let outcome = if head.status.is_server_error() { Outcome::Error } else { Outcome::Ok };
        ResponseVerdict {
            outcome,
            keep_body: true,
            keep_head: true,
            matches_request: own && (sound || !success),
        }
    }
}
