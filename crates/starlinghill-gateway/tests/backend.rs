//! Attempts at a backend and the pool of connections, over loopback sockets.

use starlinghill_decision::api::Outcome;
use starlinghill_gateway::backend::{Backend, Pool};
use starlinghill_gateway::backend_protocol::Platform;
use starlinghill_gateway::forward::{AttemptResult, ForwardedRequest, Payload, ServedBody};
use starlinghill_gateway::idle::Reuse;
use starlinghill_testkit::stubs::{http, on_runtime, Reply, Stub};
use std::cell::Cell;
use std::io::{Read, Write};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::time::Instant;

const LONG_TIMEOUT: Duration = Duration::from_secs(5);
/// After this time a connection that was given back may be reused.
const REUSE_PAUSE: Duration = Duration::from_millis(10);

fn backend(pool: &Rc<Pool>, stub: &Stub) -> Rc<Backend> {
    Rc::new(pool.backend(stub.address, 0, None))
}

fn post() -> ForwardedRequest {
    let (method, uri) = (hyper::Method::POST, "/api?customer=1".parse().expect("a path"));
    let (headers, body, reuse) = (hyper::HeaderMap::new(), Payload::Buffered("hello".into()), Reuse::Any);
    ForwardedRequest { method, uri, headers, body, reuse }
}

/// Makes an attempt with this time limit that is never cancelled.
async fn attempt(pool: &Rc<Pool>, backend: &Rc<Backend>, limit: Duration) -> AttemptResult {
    attempt_on(pool, backend, limit, Reuse::Any).await
}

async fn attempt_on(pool: &Rc<Pool>, backend: &Rc<Backend>, limit: Duration, reuse: Reuse) -> AttemptResult {
    let (_cancel, cancelled) = oneshot::channel();
    let forward = ForwardedRequest { reuse, ..post() };
    pool.attempt(backend, &forward, Instant::now() + limit, cancelled).await
}

#[test]
fn a_drain_stops_an_attempt_whose_connection_was_just_opened() {
    let stub = Stub::start(|_| http("200 OK", "ok"));
    let pool = Rc::new(Pool::new(8, LONG_TIMEOUT, LONG_TIMEOUT, Rc::new(Platform)));
    let backend = backend(&pool, &stub);
    backend.open.set(false);
    let ended = on_runtime(attempt(&pool, &backend, LONG_TIMEOUT));
    assert_eq!(ended.outcome, Outcome::NotSent);
    stub.wait_for("the connection to close", |log| log.opened == 1 && log.closed == 1);
    assert_eq!(stub.requests().len(), 0, "nothing was written");
}

#[test]
fn a_request_is_not_repeated_when_a_pooled_connection_breaks_after_it_was_written() {
    let seen = std::sync::atomic::AtomicUsize::new(0);
    let stub = Stub::start(move |_| match seen.fetch_add(1, std::sync::atomic::Ordering::SeqCst) {
        0 => http("200 OK", "ok"),
        _ => Reply::RawThenClose(String::new()),
    });
    let pool = Rc::new(Pool::new(8, LONG_TIMEOUT, LONG_TIMEOUT, Rc::new(Platform)));
    let backend = backend(&pool, &stub);
    on_runtime(async {
        assert_eq!(attempt(&pool, &backend, LONG_TIMEOUT).await.outcome, Outcome::Ok);
        tokio::time::sleep(REUSE_PAUSE).await;
        assert_eq!(attempt(&pool, &backend, LONG_TIMEOUT).await.outcome, Outcome::Reset);
    });
    let seen = stub.requests();
    assert_eq!(seen.len(), 2, "the request is not sent again");
    assert_eq!(seen[1].connection, seen[0].connection, "the pooled connection was used");
}

#[test]
fn an_attempt_that_timed_out_or_was_cancelled_leaves_no_connection_open() {
    let stub = Stub::start(|_| Reply::Silence);
    let pool = Rc::new(Pool::new(8, LONG_TIMEOUT, LONG_TIMEOUT, Rc::new(Platform)));
    let backend = backend(&pool, &stub);
    on_runtime(async {
        let ended = attempt(&pool, &backend, Duration::from_millis(50)).await;
        assert_eq!(ended.outcome, Outcome::Timeout);
        let (cancel, cancelled) = oneshot::channel();
        let forward = post();
        let in_flight = pool.attempt(&backend, &forward, Instant::now() + LONG_TIMEOUT, cancelled);
        let (ended, ()) = tokio::join!(in_flight, async {
            while stub.requests().len() < 2 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            cancel.send(()).expect("it is out");
        });
        assert_eq!(ended.outcome, Outcome::Cancelled);
    });
    stub.wait_for("both connections to close", |log| log.opened == 2 && log.closed == 2);
}

#[test]
fn an_unreachable_backend_never_ran_the_request() {
    let unused_address =
        std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let pool = Rc::new(Pool::new(8, LONG_TIMEOUT, LONG_TIMEOUT, Rc::new(Platform)));
    let backend = Rc::new(pool.backend(unused_address, 0, None));
    assert_eq!(on_runtime(attempt(&pool, &backend, LONG_TIMEOUT)).outcome, Outcome::ConnectFailed);
}

#[test]
fn idle_connections_are_retired_before_the_backend_closes_them() {
    let stub = Stub::start(|_| http("200 OK", "ok"));
    let pool = Rc::new(Pool::new(8, LONG_TIMEOUT, Duration::from_millis(40), Rc::new(Platform)));
    let backend = backend(&pool, &stub);
    on_runtime(async {
        assert_eq!(attempt(&pool, &backend, LONG_TIMEOUT).await.outcome, Outcome::Ok);
        tokio::time::sleep(Duration::from_millis(25)).await;
        pool.retire();
    });
    stub.wait_for("the idle connection to close", |log| log.closed == 1);
}

#[test]
fn the_number_of_connections_is_bounded() {
    let (busy, other) = (Stub::start(|_| Reply::Silence), Stub::start(|_| http("200 OK", "ok")));
    let pool = Rc::new(Pool::new(1, LONG_TIMEOUT, LONG_TIMEOUT, Rc::new(Platform)));
    let (to_busy, to_other) = (backend(&pool, &busy), backend(&pool, &other));
    on_runtime(async {
        // An idle connection is closed to make room for a needed one.
        assert_eq!(attempt(&pool, &to_other, LONG_TIMEOUT).await.outcome, Outcome::Ok);
        let (first, second) = tokio::join!(
            attempt(&pool, &to_busy, Duration::from_millis(50)),
            attempt(&pool, &to_other, LONG_TIMEOUT)
        );
        assert_eq!((first.outcome, second.outcome), (Outcome::Timeout, Outcome::NotSent));
    });
    other.wait_for("the idle connection to close", |log| log.closed == 1);
    assert_eq!(other.requests().len(), 1);
}

#[test]
fn a_backend_at_a_reused_address_gets_none_of_the_earlier_backends_connections() {
    let release = Arc::new(AtomicBool::new(false));
    let may_answer = release.clone();
    let stub = Stub::start(move |_| {
        while !may_answer.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(1));
        }
        http("200 OK", "ok")
    });
    let pool = Rc::new(Pool::new(8, LONG_TIMEOUT, LONG_TIMEOUT, Rc::new(Platform)));
    let (old, new) = (backend(&pool, &stub), backend(&pool, &stub));
    on_runtime(async {
        let (ended, ()) = tokio::join!(attempt(&pool, &old, LONG_TIMEOUT), async {
            while stub.requests().is_empty() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            pool.close(&old);
            release.store(true, Ordering::SeqCst);
        });
        assert_eq!(ended.outcome, Outcome::Ok, "an attempt in flight may finish");
        tokio::time::sleep(REUSE_PAUSE).await;
        assert_eq!(attempt(&pool, &new, LONG_TIMEOUT).await.outcome, Outcome::Ok);
    });
    let seen = stub.requests();
    assert_ne!(seen[1].connection, seen[0].connection);
    stub.wait_for("the old one's connection to close", |log| log.closed >= 1);
}

#[test]
fn an_invalid_response_closes_its_connection_and_the_request_may_have_run() {
    for response in [
        "no HTTP at all\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok",
        "HTTP/1.1 200 OK\r\n\r\nwithout a length",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok",
    ] {
        let stub = Stub::start(move |_| Reply::Raw(response.into()));
        let pool = Rc::new(Pool::new(8, LONG_TIMEOUT, LONG_TIMEOUT, Rc::new(Platform)));
        let ended = on_runtime(attempt(&pool, &backend(&pool, &stub), LONG_TIMEOUT));
        assert_eq!((ended.outcome, ended.body.is_none()), (Outcome::Reset, true), "{response}");
        stub.wait_for("the connection to close", |log| log.closed == 1);
    }
}

#[test]
fn surplus_responses_on_a_connection_are_not_served() {
    let stub = Stub::start(|request| {
        let own = format!("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{}", request.connection);
        Reply::Raw(format!("HTTP/1.1 103 Early\r\n\r\n{own}HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"))
    });
    let pool = Rc::new(Pool::new(8, LONG_TIMEOUT, LONG_TIMEOUT, Rc::new(Platform)));
    let backend = backend(&pool, &stub);
    on_runtime(async {
        for own in ["0", "1", "2"] {
            let ended = attempt(&pool, &backend, LONG_TIMEOUT).await;
            let Some(ServedBody::Buffered(body)) = ended.body else { panic!("it is short") };
            assert_eq!(body, own.as_bytes(), "each request gets a connection of its own");
            tokio::time::sleep(REUSE_PAUSE).await;
        }
    });
}

/// A backend that closes connections after this idle time: at once if `closes_when_idle`, otherwise when the
/// next request arrives. It sends no `Keep-Alive` header. Returns its address and the number of requests it
/// has run.
async fn backend_that_closes_idle_connections(
    idle_time: Duration,
    closes_when_idle: bool,
) -> (std::net::SocketAddr, Rc<Cell<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let (address, requests_run) = (listener.local_addr().expect("bound"), Rc::new(Cell::new(0)));
    let run_counter = requests_run.clone();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let run_counter = run_counter.clone();
            tokio::task::spawn_local(async move {
                let mut buffer = [0; 4096];
                let mut since = Instant::now();
                loop {
                    let until = if closes_when_idle { since + idle_time } else { since + LONG_TIMEOUT };
                    match tokio::time::timeout_at(until, stream.read(&mut buffer)).await {
                        Ok(Ok(count)) if count > 0 && since.elapsed() < idle_time => {}
                        _ => return,
                    }
                    run_counter.set(run_counter.get() + 1);
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await;
                    since = Instant::now();
                }
            });
        }
    });
    (address, requests_run)
}

#[test]
fn a_close_during_a_pause_of_the_gateway_is_noticed_before_the_next_request_is_sent() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            std::thread::sleep(REUSE_PAUSE);
        }
    });
    let pool = Rc::new(Pool::new(8, LONG_TIMEOUT, LONG_TIMEOUT, Rc::new(Platform)));
    let backend = Rc::new(pool.backend(address, 0, None));
    on_runtime(async {
        assert_eq!(attempt_on(&pool, &backend, LONG_TIMEOUT, Reuse::Once).await.outcome, Outcome::Ok);
        // Blocks the whole thread, so the runtime sees no events meanwhile.
        std::thread::sleep(3 * REUSE_PAUSE);
        assert_eq!(attempt_on(&pool, &backend, LONG_TIMEOUT, Reuse::Once).await.outcome, Outcome::Ok);
    });
    assert_eq!(pool.counts().opened, 2);
}

#[test]
fn requests_that_must_run_once_are_not_lost_on_connections_that_a_backend_closes_when_idle() {
    for closes_when_idle in [true, false] {
        let idle_time = Duration::from_millis(60);
        let pool = Rc::new(Pool::new(8, LONG_TIMEOUT, LONG_TIMEOUT, Rc::new(Platform)));
        let outcomes = tokio::task::LocalSet::new();
        let outcomes = on_runtime(outcomes.run_until(async {
            let (address, requests_run) =
                backend_that_closes_idle_connections(idle_time, closes_when_idle).await;
            let backend = Rc::new(pool.backend(address, 0, None));
            let watching = pool.clone();
            tokio::task::spawn_local(async move { watching.watch().await });
            // Requests that may be repeated discover the idle time where the backend does not close at once.
            for _ in 0..2 {
                attempt_on(&pool, &backend, LONG_TIMEOUT, Reuse::Repeatable).await;
                tokio::time::sleep(idle_time + REUSE_PAUSE).await;
            }
            let before = requests_run.get();
            let mut lost = 0;
            for pause in [10, 30, 70, 90, 10, 70, 120, 30] {
                let ended = attempt_on(&pool, &backend, LONG_TIMEOUT, Reuse::Once).await;
                lost += u32::from(ended.outcome != Outcome::Ok);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
            (lost, requests_run.get() - before, pool.counts().reused > 0)
        }));
        assert_eq!(outcomes, (0, 8, true), "closes_when_idle: {closes_when_idle}");
    }
}
