//! The HTTP headers between gateway and backends, and how a backend's response is judged.

use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_ENCODING};
use hyper::http::response::Parts;
use hyper::StatusCode;
use starlinghill_decision::api::Outcome;
use starlinghill_gateway::backend::Backend;
use starlinghill_gateway::backend_protocol::{BackendProtocol, ResponseVerdict};

/// Id of an attempt. A response repeats it, so that it can't be taken for that of another attempt.
pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("attempt-id");
/// Milliseconds for which the sender will still wait for the response.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("time-left");
/// The backend that a request is meant for. A process that took over its address rejects the request.
pub const TARGET_BACKEND: HeaderName = HeaderName::from_static("target-backend");
/// The tenant that a request belongs to.
pub const TENANT: HeaderName = HeaderName::from_static("customer");
const SEAL: HeaderName = HeaderName::from_static("backend-seal");
const NOT_RUN: HeaderName = HeaderName::from_static("not-run");

/// The protocol that all backends of the system follow.
pub struct NativeProtocol;

impl BackendProtocol for NativeProtocol {
    fn set_headers(&self, headers: &mut HeaderMap, backend: &Backend, left_ms: u64) {
        headers.insert(TIME_LEFT, HeaderValue::from(left_ms));
        if let Some(name) = &backend.name {
            headers.insert(TARGET_BACKEND, name.clone());
        }
    }

    fn classify(&self, request: &HeaderMap, head: &Parts) -> ResponseVerdict {
        let (attempt_id, refused) = (head.headers.get(ATTEMPT_ID), head.headers.contains_key(NOT_RUN));
        let refused = refused || head.status == StatusCode::MISDIRECTED_REQUEST;
        // On a reused connection an extra response can arrive in place of the expected one; only the id tells them
        // apart. A rejection may come without an id.
        let own = attempt_id.map_or(refused, |id| request.get(ATTEMPT_ID) == Some(id));
        // A 1xx response such as 101 was not asked for and is no final response.
        let own = own && !head.status.is_informational();
        if refused {
            // Another process has the address, so this backend is gone.
            let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
            let outcome = if misdirected { Outcome::ConnectFailed } else { Outcome::Rejected };
            return ResponseVerdict { outcome, keep_body: false, keep_head: false, matches_request: own };
        }
        // A success without the seal, or with an encoding, was made or changed by something else than the backend.
        let authentic = head.headers.contains_key(SEAL) && !head.headers.contains_key(CONTENT_ENCODING);
        let success = head.status.is_success();
        let outcome = if head.status.is_server_error() { Outcome::Error } else { Outcome::Ok };
        ResponseVerdict {
            outcome,
            keep_body: true,
            keep_head: true,
            matches_request: own && (authentic || !success),
        }
    }
}
