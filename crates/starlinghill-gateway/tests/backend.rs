//! Attempts at a backend and the pool of connections, on loopback sockets.

use starlinghill_decision::api::Outcome;
use starlinghill_gateway::backend::{Backend, Pool};
use starlinghill_gateway::backend_protocol::Platform;
use starlinghill_gateway::forward::{Ended, Forward, Payload, Served};
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

const LONG: Duration = Duration::from_secs(5);
/// After this a connection that was given back may be used again.
const SETTLED: Duration = Duration::from_millis(10);

fn backend(pool: &Rc<Pool>, stub: &Stub) -> Rc<Backend> {
    Rc::new(pool.backend(stub.address, 0, None))
}

fn post() -> Forward {
    let (method, uri) = (hyper::Method::POST, "/api?customer=1".parse().expect("a path"));
    let (headers, body, reuse) = (hyper::HeaderMap::new(), Payload::Whole("hello".into()), Reuse::Any);
    Forward { method, uri, headers, body, reuse }
}

/// An attempt that may take so long and is never called off.
async fn attempt(pool: &Rc<Pool>, backend: &Rc<Backend>, limit: Duration) -> Ended {
    attempt_on(pool, backend, limit, Reuse::Any).await
}

async fn attempt_on(pool: &Rc<Pool>, backend: &Rc<Backend>, limit: Duration, reuse: Reuse) -> Ended {
    let (_call_off, called_off) = oneshot::channel();
    let forward = Forward { reuse, ..post() };
    pool.attempt(backend, &forward, Instant::now() + limit, called_off).await
}

#[test]
fn a_drain_stops_an_attempt_whose_connection_has_just_come_up() {
    let stub = Stub::start(|_| http("200 OK", "ok"));
    let pool = Rc::new(Pool::new(8, LONG, LONG, Rc::new(Platform)));
    let backend = backend(&pool, &stub);
    backend.open.set(false);
    let ended = on_runtime(attempt(&pool, &backend, LONG));
    assert_eq!(ended.outcome, Outcome::NotSent);
    stub.wait_for("the connection's end", |log| log.opened == 1 && log.closed == 1);
    assert_eq!(stub.requests().len(), 0, "nothing was written");
}

#[test]
fn a_kept_connection_that_breaks_after_the_request_may_have_carried_it() {
    let seen = std::sync::atomic::AtomicUsize::new(0);
    let stub = Stub::start(move |_| match seen.fetch_add(1, std::sync::atomic::Ordering::SeqCst) {
        0 => http("200 OK", "ok"),
        _ => Reply::RawThenClose(String::new()),
    });
    let pool = Rc::new(Pool::new(8, LONG, LONG, Rc::new(Platform)));
    let backend = backend(&pool, &stub);
    on_runtime(async {
        assert_eq!(attempt(&pool, &backend, LONG).await.outcome, Outcome::Ok);
        tokio::time::sleep(SETTLED).await;
        assert_eq!(attempt(&pool, &backend, LONG).await.outcome, Outcome::Reset);
    });
    let seen = stub.requests();
    assert_eq!(seen.len(), 2, "it is not sent again");
    assert_eq!(seen[1].connection, seen[0].connection, "it went out on the kept connection");
}

#[test]
fn an_attempt_given_up_or_called_off_leaves_no_connection_open() {
    let stub = Stub::start(|_| Reply::Silence);
    let pool = Rc::new(Pool::new(8, LONG, LONG, Rc::new(Platform)));
    let backend = backend(&pool, &stub);
    on_runtime(async {
        let ended = attempt(&pool, &backend, Duration::from_millis(50)).await;
        assert_eq!(ended.outcome, Outcome::Timeout);
        let (call_off, called_off) = oneshot::channel();
        let forward = post();
        let out = pool.attempt(&backend, &forward, Instant::now() + LONG, called_off);
        let (ended, ()) = tokio::join!(out, async {
            while stub.requests().len() < 2 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            call_off.send(()).expect("it is out");
        });
        assert_eq!(ended.outcome, Outcome::Cancelled);
    });
    stub.wait_for("both connections' end", |log| log.opened == 2 && log.closed == 2);
}

#[test]
fn an_unreachable_backend_never_ran_anything() {
    let gone = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let pool = Rc::new(Pool::new(8, LONG, LONG, Rc::new(Platform)));
    let backend = Rc::new(pool.backend(gone, 0, None));
    assert_eq!(on_runtime(attempt(&pool, &backend, LONG)).outcome, Outcome::ConnectFailed);
}

#[test]
fn idle_connections_are_retired_before_the_backend_closes_them() {
    let stub = Stub::start(|_| http("200 OK", "ok"));
    let pool = Rc::new(Pool::new(8, LONG, Duration::from_millis(40), Rc::new(Platform)));
    let backend = backend(&pool, &stub);
    on_runtime(async {
        assert_eq!(attempt(&pool, &backend, LONG).await.outcome, Outcome::Ok);
        tokio::time::sleep(Duration::from_millis(25)).await;
        pool.retire();
    });
    stub.wait_for("the idle connection's end", |log| log.closed == 1);
}

#[test]
fn the_number_of_connections_is_bounded() {
    let (busy, other) = (Stub::start(|_| Reply::Silence), Stub::start(|_| http("200 OK", "ok")));
    let pool = Rc::new(Pool::new(1, LONG, LONG, Rc::new(Platform)));
    let (to_busy, to_other) = (backend(&pool, &busy), backend(&pool, &other));
    on_runtime(async {
        // An idle connection gives way to one that is needed.
        assert_eq!(attempt(&pool, &to_other, LONG).await.outcome, Outcome::Ok);
        let (first, second) = tokio::join!(
            attempt(&pool, &to_busy, Duration::from_millis(50)),
            attempt(&pool, &to_other, LONG)
        );
        assert_eq!((first.outcome, second.outcome), (Outcome::Timeout, Outcome::NotSent));
    });
    other.wait_for("the idle connection's end", |log| log.closed == 1);
    assert_eq!(other.requests().len(), 1);
}

#[test]
fn a_backend_that_took_over_an_address_gets_none_of_the_connections_there() {
    let let_go = Arc::new(AtomicBool::new(false));
    let told = let_go.clone();
    let stub = Stub::start(move |_| {
        while !told.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(1));
        }
        http("200 OK", "ok")
    });
    let pool = Rc::new(Pool::new(8, LONG, LONG, Rc::new(Platform)));
    let (old, new) = (backend(&pool, &stub), backend(&pool, &stub));
    on_runtime(async {
        let (ended, ()) = tokio::join!(attempt(&pool, &old, LONG), async {
            while stub.requests().is_empty() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            pool.close(&old);
            let_go.store(true, Ordering::SeqCst);
        });
        assert_eq!(ended.outcome, Outcome::Ok, "what is under way may finish");
        tokio::time::sleep(SETTLED).await;
        assert_eq!(attempt(&pool, &new, LONG).await.outcome, Outcome::Ok);
    });
    let seen = stub.requests();
    assert_ne!(seen[1].connection, seen[0].connection);
    stub.wait_for("the old one's connection to close", |log| log.closed >= 1);
}

#[test]
fn a_spoilt_answer_may_have_run_and_ends_its_connection_at_once() {
    for spoilt in [
        "no HTTP at all\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok",
        "HTTP/1.1 200 OK\r\n\r\nwithout a length",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok",
    ] {
        let stub = Stub::start(move |_| Reply::Raw(spoilt.into()));
        let pool = Rc::new(Pool::new(8, LONG, LONG, Rc::new(Platform)));
        let ended = on_runtime(attempt(&pool, &backend(&pool, &stub), LONG));
        assert_eq!((ended.outcome, ended.body.is_none()), (Outcome::Reset, true), "{spoilt}");
        stub.wait_for("the connection's end", |log| log.closed == 1);
    }
}

#[test]
fn only_its_own_whole_answer_is_served() {
    let stub = Stub::start(|request| {
        let own = format!("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{}", request.connection);
        Reply::Raw(format!("HTTP/1.1 103 Early\r\n\r\n{own}HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"))
    });
    let pool = Rc::new(Pool::new(8, LONG, LONG, Rc::new(Platform)));
    let backend = backend(&pool, &stub);
    on_runtime(async {
        for own in ["0", "1", "2"] {
            let ended = attempt(&pool, &backend, LONG).await;
            let Some(Served::Whole(body)) = ended.body else { panic!("it is short") };
            assert_eq!(body, own.as_bytes(), "each on a connection of its own");
            tokio::time::sleep(SETTLED).await;
        }
    });
}

/// A backend that ends a connection which has rested so long, `told` or when the next request comes on it, and never says
/// how long it keeps one. How many requests it ran.
async fn forgetful(rest: Duration, told: bool) -> (std::net::SocketAddr, Rc<Cell<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let (address, ran) = (listener.local_addr().expect("bound"), Rc::new(Cell::new(0)));
    let runs = ran.clone();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let runs = runs.clone();
            tokio::task::spawn_local(async move {
                let mut came = [0; 4096];
                let mut since = Instant::now();
                loop {
                    let until = if told { since + rest } else { since + LONG };
                    match tokio::time::timeout_at(until, stream.read(&mut came)).await {
                        Ok(Ok(count)) if count > 0 && since.elapsed() < rest => {}
                        _ => return,
                    }
                    runs.set(runs.get() + 1);
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await;
                    since = Instant::now();
                }
            });
        }
    });
    (address, ran)
}

#[test]
fn an_end_that_came_while_the_gateway_stood_still_is_seen_before_the_next_request_goes_out() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            std::thread::sleep(SETTLED);
        }
    });
    let pool = Rc::new(Pool::new(8, LONG, LONG, Rc::new(Platform)));
    let backend = Rc::new(pool.backend(address, 0, None));
    on_runtime(async {
        assert_eq!(attempt_on(&pool, &backend, LONG, Reuse::Once).await.outcome, Outcome::Ok);
        // The whole thread, and so the runtime, which hears of nothing meanwhile.
        std::thread::sleep(3 * SETTLED);
        assert_eq!(attempt_on(&pool, &backend, LONG, Reuse::Once).await.outcome, Outcome::Ok);
    });
    assert_eq!(pool.counts().opened, 2);
}

#[test]
fn what_runs_once_is_not_lost_on_connections_that_a_backend_forgets_at_rest() {
    for told in [true, false] {
        let rest = Duration::from_millis(60);
        let pool = Rc::new(Pool::new(8, LONG, LONG, Rc::new(Platform)));
        let outcomes = tokio::task::LocalSet::new();
        let outcomes = on_runtime(outcomes.run_until(async {
            let (address, ran) = forgetful(rest, told).await;
            let backend = Rc::new(pool.backend(address, 0, None));
            let watching = pool.clone();
            tokio::task::spawn_local(async move { watching.watch().await });
            // What may be repeated finds out how soon, where no end is told.
            for _ in 0..2 {
                attempt_on(&pool, &backend, LONG, Reuse::Repeatable).await;
                tokio::time::sleep(rest + SETTLED).await;
            }
            let before = ran.get();
            let mut lost = 0;
            for pause in [10, 30, 70, 90, 10, 70, 120, 30] {
                let ended = attempt_on(&pool, &backend, LONG, Reuse::Once).await;
                lost += u32::from(ended.outcome != Outcome::Ok);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
            (lost, ran.get() - before, pool.counts().reused > 0)
        }));
        assert_eq!(outcomes, (0, 8, true), "told: {told}");
    }
}
