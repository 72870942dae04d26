//! Calls to the shared counter, over loopback sockets.

use starlinghill_decision::api::{CountName, Micros, Outcome};
use starlinghill_gateway::counter::{Counter, PendingCalls};
use starlinghill_gateway::inbox::CounterResult;
use starlinghill_testkit::stubs::{http, on_runtime, Reply, Stub};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_millis(80);

async fn add(counter: &Counter, name: u64) -> CounterResult {
    counter.add(CountName(name), -2.5, Micros(4_000_000)).await
}

#[test]
fn a_call_has_the_path_and_query_that_the_counter_expects() {
    let stub = Stub::start(|_| http("200 OK", "38.5\n"));
    let counter = Counter::new(stub.address, Duration::from_secs(5), 2);
    let result = on_runtime(add(&counter, 9041552));
    assert_eq!(result, CounterResult { total: 38.5, ..Outcome::Ok.into() });
    assert_eq!(stub.requests()[0].line, "POST /v1/count/9041552?add=-2.5&ttl_ms=4000 HTTP/1.1");
}

#[test]
fn each_failure_has_its_own_outcome_and_no_call_is_repeated() {
    let unused_address =
        std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let refused = Counter::new(unused_address, Duration::from_secs(5), 2);
    assert_eq!(on_runtime(add(&refused, 1)).outcome, Outcome::ConnectFailed);
    let cases: [(fn() -> Reply, Outcome); 5] = [
        (|| http("503 Full", ""), Outcome::Rejected),
        (|| http("404 Nothing", ""), Outcome::NotSent),
        (|| http("200 OK", "NaN"), Outcome::Error),
        (|| Reply::RawThenClose(String::new()), Outcome::Reset),
        (|| Reply::Silence, Outcome::Timeout),
    ];
    for (reply, outcome) in cases {
        let stub = Stub::start(move |_| reply());
        let timeout = if outcome == Outcome::Timeout { TIMEOUT } else { Duration::from_secs(5) };
        let counter = Counter::new(stub.address, timeout, 2);
        assert_eq!(on_runtime(add(&counter, 1)).outcome, outcome);
        assert_eq!(stub.requests().len(), 1, "{outcome:?}");
    }
}

#[test]
fn a_late_response_neither_reaches_nor_delays_a_later_call() {
    let asked = AtomicUsize::new(0);
    let stub = Stub::start(move |_| match asked.fetch_add(1, Ordering::SeqCst) {
        0 => {
            std::thread::sleep(TIMEOUT * 3);
            http("200 OK", "1000")
        }
        _ => http("200 OK", "2"),
    });
    let counter = Counter::new(stub.address, TIMEOUT, 2);
    on_runtime(async {
        assert_eq!(add(&counter, 1).await.outcome, Outcome::Timeout);
        for _ in 0..4 {
            assert_eq!(add(&counter, 1).await, CounterResult { total: 2.0, ..Outcome::Ok.into() });
        }
    });
}

#[test]
fn a_call_that_got_no_connection_was_never_sent() {
    let stub = Stub::start(|_| Reply::Silence);
    let counter = Counter::new(stub.address, TIMEOUT, 1);
    on_runtime(async {
        let (first, second) = tokio::join!(add(&counter, 1), add(&counter, 2));
        assert_eq!((first.outcome, second.outcome), (Outcome::Timeout, Outcome::ConnectFailed));
    });
}

#[test]
fn a_slow_call_does_not_delay_other_calls_for_the_same_count() {
    let mut calls = PendingCalls::default();
    let (a, b) = (CountName(1), CountName(2));
    let (first, second, other) = (calls.start(a), calls.start(a), calls.start(b));
    assert_eq!(calls.finish(a, second), Some(1));
    assert_eq!(calls.finish(b, other), Some(0), "other counts are independent");
    assert_eq!(calls.finish(a, first), Some(0));
    assert_eq!(calls.finish(a, first), None, "each call ends once");
}

#[test]
fn a_connection_whose_response_has_no_number_is_not_reused() {
    let stub = Stub::start(|request| match request.connection {
        0 => http("200 OK", "plenty"),
        _ => http("200 OK", "7"),
    });
    let counter = Counter::new(stub.address, Duration::from_secs(5), 2);
    on_runtime(async {
        assert_eq!(add(&counter, 1).await.outcome, Outcome::Error);
        assert_eq!(add(&counter, 1).await, CounterResult { total: 7.0, ..Outcome::Ok.into() });
    });
    stub.wait_for("the first connection to close", |log| log.closed >= 1);
}
