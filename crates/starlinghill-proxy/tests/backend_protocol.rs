//! What a backend's answer says, by its head: whether it belongs to the request, may be the client's, and may have run.

use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use starlinghill_decision::api::Outcome::{self, *};
use starlinghill_gateway::backend_protocol::BackendProtocol;
use starlinghill_proxy::backend_protocol::System;
use test_case::test_case;

/// Status, headers as `name: value`, and how it reads: the outcome, whether it is the client's, whether it is its own.
#[test_case(200, &["attempt-id: a", "backend-seal: s"], Ok, true, true; "its own success")]
#[test_case(200, &["attempt-id: b", "backend-seal: s"], Ok, true, false; "another one's success")]
#[test_case(200, &["backend-seal: s"], Ok, true, false; "a success of nobody")]
#[test_case(200, &["attempt-id: a"], Ok, true, false; "a success without its seal")]
#[test_case(200, &["attempt-id: a", "backend-seal: s", "content-encoding: br"], Ok, true, false; "an encoded one")]
#[test_case(404, &["attempt-id: a", "backend-seal: s"], Ok, true, true; "its own 404")]
#[test_case(500, &["attempt-id: a", "backend-seal: s"], Error, true, true; "its own 500")]
#[test_case(503, &["attempt-id: a"], Error, true, true; "a 503 that may have run")]
#[test_case(503, &["attempt-id: a", "not-run: 1"], Full, false, true; "turned away")]
#[test_case(503, &["not-run: 1"], Full, false, true; "turned away without an id")]
#[test_case(503, &["attempt-id: b", "not-run: 1"], Full, false, false; "another one turned away")]
#[test_case(421, &[], ConnectFailed, false, true; "another backend has the address")]
#[test_case(421, &["attempt-id: b"], ConnectFailed, false, false; "another one was misdirected")]
#[test_case(101, &["attempt-id: a", "backend-seal: s"], Ok, true, false; "another protocol, unasked")]
fn an_answer_says(status: u16, headers: &[&str], outcome: Outcome, pass: bool, own: bool) {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::from_u16(status).expect("a status");
    for (name, value) in headers.iter().filter_map(|line| line.split_once(": ")) {
        let name = hyper::header::HeaderName::from_bytes(name.as_bytes()).expect("a name");
        response.headers_mut().insert(name, value.parse().expect("a value"));
    }
    let mut asked = HeaderMap::new();
    asked.insert("attempt-id", "a".parse().expect("an id"));
    let reading = System.classify(&asked, &response.into_parts().0);
    assert_eq!((reading.outcome, reading.keep_body, reading.matches_request), (outcome, pass, own));
}
