//! How a backend's response is judged by its headers: whether it belongs to the attempt, may be passed to the client,
//! and whether the request may have run. A wrong judgement gives a client somebody else's response or runs a request
//! twice.

use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use starlinghill_decision::api::Outcome::{self, *};
use starlinghill_gateway::backend_protocol::BackendProtocol;
use starlinghill_proxy::backend_protocol::NativeProtocol;
use test_case::test_case;

/// Status, headers as `name: value`, and the expected outcome, whether it is passed to the client, and whether it
/// belongs to the attempt.
#[test_case(200, &["attempt-id: a", "backend-seal: s"], Ok, true, true; "success of this attempt")]
#[test_case(200, &["attempt-id: b", "backend-seal: s"], Ok, true, false; "success of another attempt")]
#[test_case(200, &["backend-seal: s"], Ok, true, false; "success without an attempt id")]
#[test_case(200, &["attempt-id: a"], Ok, true, false; "success without its seal")]
#[test_case(200, &["attempt-id: a", "backend-seal: s", "content-encoding: br"], Ok, true, false; "success with an encoding")]
#[test_case(404, &["attempt-id: a", "backend-seal: s"], Ok, true, true; "404 of this attempt")]
#[test_case(500, &["attempt-id: a", "backend-seal: s"], Error, true, true; "500 of this attempt")]
#[test_case(503, &["attempt-id: a"], Error, true, true; "a 503 that may have run")]
#[test_case(503, &["attempt-id: a", "not-run: 1"], Rejected, false, true; "rejected before it ran")]
#[test_case(503, &["not-run: 1"], Rejected, false, true; "rejected without an id")]
#[test_case(503, &["attempt-id: b", "not-run: 1"], Rejected, false, false; "rejection of another attempt")]
#[test_case(421, &[], ConnectFailed, false, true; "another backend has the address")]
#[test_case(421, &["attempt-id: b"], ConnectFailed, false, false; "misdirection of another attempt")]
#[test_case(101, &["attempt-id: a", "backend-seal: s"], Ok, true, false; "protocol switch that was not asked for")]
fn a_response_is_judged_by_its_headers(
    status: u16,
    headers: &[&str],
    outcome: Outcome,
    pass: bool,
    own: bool,
) {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::from_u16(status).expect("a status");
    for (name, value) in headers.iter().filter_map(|line| line.split_once(": ")) {
        let name = hyper::header::HeaderName::from_bytes(name.as_bytes()).expect("a name");
        response.headers_mut().insert(name, value.parse().expect("a value"));
    }
    let mut request = HeaderMap::new();
    request.insert("attempt-id", "a".parse().expect("an id"));
    let reading = NativeProtocol.classify(&request, &response.into_parts().0);
    assert_eq!((reading.outcome, reading.keep_body, reading.matches_request), (outcome, pass, own));
}
