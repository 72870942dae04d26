//! The gateway on loopback sockets, with failures of real networks that the simulator does not produce.

use starlinghill_testkit::stubs::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The gateway program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_starlinghill");

/// Starts one backend, `s-1`, and a gateway in front of it.
fn gateway_with(answer: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> (Stub, Discovery, Stub, Node) {
    let backend = Stub::start(answer);
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let counter = counter();
    let node = Node::start(PROGRAM, &discovery, &counter);
    (backend, discovery, counter, node)
}

#[test]
fn requests_are_forwarded_unchanged_and_the_response_body_is_returned() {
    let (backend, _discovery, counter, node) = gateway_with(|_| http("200 OK", "the answer"));
    let mut client = node.client();
    for class in ["look", "buy", "once"] {
        let answer = client.ask(&request(class, 3000));
        assert_eq!((answer.status(), answer.body.as_str()), (200, "the answer"));
    }
    let seen = backend.requests();
    assert_eq!(seen.len(), 3, "one attempt for each request");
    assert_eq!(seen[0].line, "GET /api?customer=00000000b4d65521&x=1 HTTP/1.1");
    assert_eq!(seen[1].line, "POST /api?customer=00000000b4d65521&x=1 HTTP/1.1");
    assert_eq!(seen[1].header("x-call-id"), Some("9b1f03aa5c7e2d41"));
    assert_eq!(seen[1].header("idempotency-key"), Some("k-17"));
    assert_eq!(seen[1].body, "hello");
    let budget: u64 = seen[1].header("x-budget-ms").expect("set").parse().expect("whole");
    assert!((1..=3000).contains(&budget), "{budget}");
    assert_eq!(seen[2].connection, seen[0].connection, "connections are reused");
    assert_eq!(counter.requests().len(), 3, "each request is counted once");
}

#[test]
fn an_error_counts_as_a_rejection_only_with_the_header() {
    // An unsafe request may be refused only if it certainly never ran.
    for (reply, wanted, attempts) in [
        ("HTTP/1.1 503 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", 429, 3),
        ("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", 502, 1),
        ("HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n", 502, 1),
        ("HTTP/1.1 429 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", 502, 1),
        ("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", 502, 1),
        ("HTTP/1.1 204 No\r\n\r\n", 502, 1),
    ] {
        let (backend, _discovery, _counter, node) = gateway_with(move |_| Reply::Raw(reply.into()));
        let answer = node.client().ask(&request("once", 1500));
        assert_eq!(answer.status(), wanted, "{reply}");
        assert_eq!(backend.requests().len(), attempts, "{reply}");
    }
}

#[test]
fn a_refusal_comes_at_once_and_has_retry_after() {
    let (_backend, _discovery, _counter, node) = gateway_with(|_| http("200 OK", ""));
    let start = Instant::now();
    let statuses: Vec<Message> = (0..6)
        .map(|_| node.client().ask(&request("look", 4000).replace("X-Plan: team", "X-Plan: small")))
        .collect();
    let refused = statuses.iter().find(|m| m.status() == 429).expect("a request beyond the quota");
    let wait: f64 = refused.header("retry-after").expect("a Retry-After header").parse().expect("seconds");
    assert!(wait > 0.0 && wait <= 1.0, "{wait}");
    assert!(start.elapsed() < Duration::from_secs(3), "refused at once");
}

#[test]
fn a_response_that_breaks_off_is_not_served_and_its_request_is_not_retried() {
    for broken in ["", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", "no HTTP at all\r\n\r\n"] {
        let (backend, _discovery, _counter, node) =
            gateway_with(move |_| Reply::RawThenClose(broken.to_string()));
        let answer = node.client().ask(&request("once", 1500));
        assert_eq!(answer.status(), 502, "{broken}");
        assert_eq!(backend.requests().len(), 1, "an unsafe request goes out once");
    }
}

#[test]
fn a_pooled_connection_closed_by_the_backend_does_not_use_up_an_attempt() {
    let (backend, _discovery, _counter, node) =
        gateway_with(|_| Reply::RawThenClose("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".into()));
    let mut client = node.client();
    for _ in 0..5 {
        assert_eq!(client.ask(&request("once", 2000)).status(), 200);
    }
    assert_eq!(backend.requests().len(), 5);
}

#[test]
fn a_safe_request_whose_connection_broke_is_retried_at_another_backend() {
    let broken = Stub::start(|_| Reply::RawThenClose(String::new()));
    let sound = Stub::start(|_| http("200 OK", "ok"));
    let members = [member("s-1", broken.address, "ready"), member("s-2", sound.address, "ready")].join(",");
    let (discovery, counter) = (Discovery::start(&members), counter());
    let node = Node::start(PROGRAM, &discovery, &counter);
    for _ in 0..8 {
        assert_eq!(node.client().ask(&request("look", 3000)).status(), 200);
    }
    assert!(!broken.requests().is_empty(), "the broken backend was tried");
    assert_eq!(counter.requests().len(), 8, "a further attempt is not counted");
}

#[test]
fn malformed_requests_get_a_4xx_status_and_reach_no_backend() {
    let (backend, _discovery, counter, node) = gateway_with(|_| http("200 OK", "ok"));
    let good = request("buy", 2000);
    let bad = [
        good.replace("/api", "/elsewhere"),
        good.replace("X-Call-Class: buy", "X-Call-Class: nothing"),
        good.replace("X-Plan: team\r\n", ""),
        good.replace("X-Plan: team", "X-Plan: none"),
        good.replace("X-Budget-Ms: 2000", "X-Budget-Ms: -5"),
        good.replace("X-Budget-Ms: 2000", "X-Budget-Ms: 99999999999999999999999"),
        good.replace("units=2", "units=nan"),
        good.replace("units=2", "units=-1"),
        good.replace("units=2", "units=0"),
        good.replace("units=2", "units=4.5"),
        good.replace("units=2", "units=2,units=1"),
        good.replace("spread=2", "spread=0"),
        good.replace("spread=2", "spread=3"),
        good.replace("first=0", "first=2"),
        good.replace("00000000b4d65521", "0000000200000000"),
        good.replace("customer=00000000b4d65521", "customer=00000000b4d65521&customer=00000000b4d65522"),
        good.replace("X-Plan: team", "X-Plan: team\r\nX-Plan: small"),
        good.replace("X-Call-Id", "X-Call-Id: 9b1f03aa5c7e2d42\r\nX-Call-Id"),
        good.replace("Content-Length: 5", "Transfer-Encoding: chunked\r\nContent-Length: 5"),
        good.replace("Content-Length: 5", "Content-Length: 5\r\nTransfer-Encoding: chunked"),
        good.replace("Content-Length: 5", "Content-Length: 62914560"),
        good.replace("Content-Length: 5", "Content-Length: -5"),
        good.replace("Content-Length: 5", "Content-Length: 5\r\nContent-Length: 6"),
        good.replace("Host", &format!("X-Long: {}\r\nHost", "x".repeat(20_000))),
        good.replace("X-Quota: units=2,spread=2,first=0", "X-Quota: ?"),
        good.replace("00000000b4d65521", "zz"),
        good.replace("customer=00000000b4d65521&", ""),
        good.replace("Idempotency-Key: k-17\r\n", ""),
        good.replace("X-Call-Id: 9b1f03aa5c7e2d41\r\n", ""),
        good.replace("POST", "GET"),
        "no HTTP at all\r\n\r\n".to_string(),
    ];
    for text in bad {
        let mut client = node.client();
        let status = client.ask(&text).status();
        assert!((400..500).contains(&status) && status != 429, "{status} for {:.300}", text);
        assert!(client.answer().is_none(), "nothing after the request is read: {:.300}", text);
    }
    assert_eq!((backend.requests().len(), counter.requests().len()), (0, 0));
    assert_eq!(node.client().ask(&good).status(), 200, "later requests are served");
}

#[test]
fn the_attempt_is_cancelled_when_its_client_disconnects() {
    let (backend, _discovery, _counter, node) = gateway_with(|_| Reply::Silence);
    let mut client = node.client();
    client.send(&request("look", 4000));
    backend.wait_for("the attempt", |log| log.requests.len() == 1);
    let start = Instant::now();
    drop(client);
    backend.wait_for("the attempt's connection to close", |log| log.closed == log.opened);
    assert!(start.elapsed() < Duration::from_secs(2), "at once");
    assert_eq!(backend.requests().len(), 1, "no further attempt is sent");
}

#[test]
fn a_silent_backend_is_reported_before_the_clients_time_limit() {
    let (backend, _discovery, _counter, node) = gateway_with(|_| Reply::Silence);
    let start = Instant::now();
    assert_eq!(node.client().ask(&request("once", 600)).status(), 502);
    assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
    backend.wait_for("the attempt's connection to close", |log| log.closed == log.opened);
}

#[test]
fn the_connection_of_a_timed_out_attempt_is_closed_before_the_next_attempt() {
    // With one backend, the next attempt goes to it as well.
    let (backend, _discovery, _counter, node) = gateway_with(|_| Reply::Silence);
    let answer = node.client().ask(&request("look", 2500));
    assert_eq!(answer.status(), 429, "safe to repeat, so it may be refused");
    let seen = backend.requests();
    assert!(seen.len() <= 3, "three attempts at most");
    let mut connections: Vec<usize> = seen.iter().map(|r| r.connection).collect();
    connections.dedup();
    assert_eq!(connections.len(), seen.len(), "no connection was reused");
}

#[test]
fn a_draining_backend_gets_no_new_requests() {
    let (old, new) = (Stub::start(|_| http("200 OK", "old")), Stub::start(|_| http("200 OK", "new")));
    let both = [member("s-1", old.address, "ready"), member("s-2", new.address, "ready")].join(",");
    let (discovery, counter) = (Discovery::start(&both), counter());
    let node = Node::start(PROGRAM, &discovery, &counter);
    let mut client = node.client();
    (0..20).for_each(|_| drop(client.ask(&request("look", 3000))));
    assert!(!old.requests().is_empty() && !new.requests().is_empty(), "both are used");
    discovery.announce(42, false, &member("s-1", old.address, "draining"));
    let before = old.requests().len();
    for _ in 0..20 {
        assert_eq!(client.ask(&request("look", 3000)).body, "new");
    }
    assert_eq!(old.requests().len(), before);
    old.wait_for("the idle connections to the old backend to close", |log| log.closed == log.opened);
    // A whole list also removes the backends that it leaves out.
    discovery.announce(43, true, &member("s-1", old.address, "ready"));
    assert_eq!(client.ask(&request("look", 3000)).body, "old");
}

#[test]
fn a_backend_that_moved_is_used_at_its_new_address() {
    let (backend, discovery, _counter, node) = gateway_with(|_| http("200 OK", "here"));
    assert_eq!(node.client().ask(&request("once", 3000)).body, "here");
    let moved = Stub::start(|_| http("200 OK", "there"));
    discovery.announce(42, false, &member("s-1", moved.address, "ready"));
    assert_eq!(node.client().ask(&request("once", 3000)).body, "there");
    assert_eq!(backend.requests().len(), 1);
}

#[test]
fn invalid_or_outdated_lists_from_discovery_change_nothing() {
    let (backend, discovery, _counter, node) = gateway_with(|_| http("200 OK", "ok"));
    discovery.set_answer(42, "{\"revision\":42,\"members\":7}");
    discovery.stub.wait_for("discovery to be called again", |log| log.requests.len() >= 4);
    assert_eq!(node.client().ask(&request("look", 3000)).status(), 200);
    // An older list that lacks the backend: the gateway requests the whole list and applies that.
    discovery.announce(43, false, "");
    let asked = |log: &Log| log.requests.iter().filter(|r| !r.line.contains("from=")).count();
    discovery.set_answer(40, &list(40, false, &member("s-1", backend.address, "gone")));
    discovery.stub.wait_for("a call for the whole list", |log| asked(log) >= 2);
    assert_eq!(node.client().ask(&request("look", 3000)).status(), 200);
    discovery.announce(44, true, &member("s-1", backend.address, "ready"));
    assert_eq!(node.client().ask(&request("look", 3000)).status(), 200);
}

#[test]
fn the_gateway_is_ready_only_when_it_has_a_list_of_backends() {
    let silent = Stub::start(|_| Reply::Silence);
    let counter = counter();
    let empty = Node::spawn(program(PROGRAM, &config(silent.address, counter.address)));
    silent.wait_for("a call for the list", |log| !log.requests.is_empty());
    let health = "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n";
    assert_eq!(empty.client().ask(health).status(), 503);
    // While discovery is silent, the list from the configuration is used after a while.
    let backend = Stub::start(|_| http("200 OK", "known"));
    let known = list(7, true, &member("s-1", backend.address, "ready"));
    let config = config(silent.address, counter.address);
    let config = config.replacen('{', &format!("{{\"known\":{known},"), 1);
    let node = Node::spawn(program(PROGRAM, &config));
    node.wait_ready();
    assert_eq!(node.client().ask(&request("look", 3000)).body, "known");
}

#[test]
fn at_sigterm_all_requests_received_are_answered() {
    let (backend, _discovery, _counter, mut node) = gateway_with(|_| {
        std::thread::sleep(Duration::from_millis(300));
        http("200 OK", "ok")
    });
    let (mut early, mut idle) = (node.client(), node.client());
    assert_eq!(idle.ask("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n").status(), 200);
    early.send(&request("once", 3000));
    backend.wait_for("the attempt", |log| log.requests.len() == 1);
    node.signal("TERM");
    assert!(idle.answer().is_none(), "idle connections are closed");
    let mut late = node.client();
    assert_eq!(late.ask("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n").status(), 503);
    let answer = node.client().ask(&request("once", 3000).replace("9b1f", "9b20"));
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    let answer = early.answer().expect("the answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert_eq!(node.ended(), Some(0));
}

#[test]
fn a_request_lost_to_a_connection_closed_at_sigterm_is_answered_on_a_new_connection() {
    use std::sync::atomic::{AtomicUsize, Ordering};
    let (_backend, _discovery, _counter, mut node) = gateway_with(|_| http("200 OK", "ok"));
    let (answered, named) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let stopped = std::sync::OnceLock::<Instant>::new();
    std::thread::scope(|scope| {
        for _ in 0..16 {
            scope.spawn(|| {
                // New connections are accepted for a moment after SIGTERM; existing ones are used while they
                // are open.
                let late = || stopped.get().is_some_and(|at| at.elapsed() > Duration::from_millis(100));
                let named = named.fetch_add(1, Ordering::Relaxed);
                let request = request("look", 3000).replace("9b1f", &format!("9c{named:02}"));
                while !late() {
                    let mut client = node.client();
                    let mut answer = client.answer_to(&request);
                    assert!(answer.is_some(), "a new connection is answered");
                    while answer.is_some_and(|a| a.header("connection") != Some("close")) {
                        answered.fetch_add(1, Ordering::Relaxed);
                        answer = client.answer_to(&request);
                    }
                }
            });
        }
        while answered.load(Ordering::Relaxed) < 200 {
            std::thread::sleep(Duration::from_millis(1));
        }
        node.signal("TERM");
        stopped.set(Instant::now()).expect("once");
    });
    assert_eq!(node.ended(), Some(0));
}

#[test]
fn an_invalid_configuration_is_reported_in_one_line() {
    let good = config("127.0.0.1:1".parse().unwrap(), "127.0.0.1:1".parse().unwrap());
    for (bad, expected) in [
        (String::new(), "config"),
        (good.replace("\"seed\":\"8c1f30d27a5be964\"", "\"seed\":\"xyz\""), "seed"),
        (good.replace("\"balancers\":2", "\"balancers\":0"), "gateways"),
        (good.replace("\"deadline\":8000000", "\"deadline\":-1"), "classes.1.deadline"),
        (good.replace("\"counter\":\"127.0.0.1:1\",", ""), "counter"),
        (good.replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"nowhere\""), "socket address"),
    ] {
        let done = program(PROGRAM, &bad).output().expect("it runs");
        let stderr = String::from_utf8(done.stderr).expect("text");
        assert_eq!(done.status.code(), Some(1), "{stderr}");
        assert!(stderr.lines().count() == 1 && stderr.contains(expected), "{expected}: {stderr}");
    }
}

#[test]
fn the_gateway_keeps_serving_when_file_descriptors_run_out() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let counter = counter();
    let inner = program(PROGRAM, &config(discovery.stub.address, counter.address));
    let mut command = std::process::Command::new("/bin/sh");
    command.args(["-c", &format!("ulimit -n 24; exec {}", env!("CARGO_BIN_EXE_starlinghill"))]);
    command.envs(inner.get_envs().filter_map(|(k, v)| Some((k, v?)))).stderr(std::process::Stdio::piped());
    let node = Node::spawn(command);
    node.wait_ready();
    let mut first = node.client();
    assert_eq!(first.ask(&request("look", 3000)).status(), 200);
    let crowd: Vec<Client> = (0..40).map(|_| node.client()).collect();
    assert_eq!(first.ask(&request("look", 3000)).status(), 200, "open connections are served");
    drop(crowd);
    assert_eq!(node.client().ask(&request("look", 3000)).status(), 200, "new connections are accepted again");
}

#[test]
fn without_a_counter_the_local_quota_decides() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    for counter in [
        Stub::start(|_| Reply::RawThenClose(String::new())),
        Stub::start(|_| Reply::Silence),
        Stub::start(|_| http("503 Full", "")),
        Stub::start(|_| http("200 OK", "plenty")),
    ] {
        let config =
            config(discovery.stub.address, counter.address).replace("2000000,\"units", "80000,\"units");
        let node = Node::spawn(program(PROGRAM, &config));
        node.wait_ready();
        for _ in 0..6 {
            assert_eq!(node.client().ask(&request("look", 3000)).status(), 200);
        }
        assert!((1..=6).contains(&counter.requests().len()), "no counter call is repeated");
    }
}

#[test]
fn idle_client_connections_are_closed_to_admit_new_ones() {
    let (backend, discovery, counter, _) = gateway_with(|_| http("200 OK", "ok"));
    let config =
        config(discovery.stub.address, counter.address).replace("\"sockets\":1024", "\"sockets\":64");
    let node = Node::spawn(program(PROGRAM, &config));
    node.wait_ready();
    // Four times as many clients as allowed connections, each of which sends one request and stays connected.
    let stayed: Vec<Client> = (0..128)
        .map(|_| {
            let mut client = node.client();
            assert_eq!(client.ask(&request("look", 3000)).status(), 200);
            client
        })
        .collect();
    assert_eq!(backend.requests().len(), stayed.len());
    // As many silent clients do not keep out one that sends a request.
    let _silent: Vec<Client> = (0..128).map(|_| node.client()).collect();
    assert_eq!(node.client().ask(&request("look", 3000)).status(), 200);
}

#[test]
fn idle_client_connections_are_closed_before_they_reach_the_limit() {
    let (_backend, discovery, counter, _) = gateway_with(|_| http("200 OK", "ok"));
    // Half of the descriptors are for clients: 32 connections.
    let config =
        config(discovery.stub.address, counter.address).replace("\"sockets\":1024", "\"sockets\":64");
    let node = Node::spawn(program(PROGRAM, &config));
    node.wait_ready();
    let mut stayed: Vec<Client> = (0..24)
        .map(|_| {
            let mut client = node.client();
            assert_eq!(client.ask(&request("look", 3000)).status(), 200);
            client
        })
        .collect();
    let start = Instant::now();
    for client in &mut stayed[..8] {
        assert!(client.answer().is_none());
    }
    assert!(start.elapsed() < LIMIT / 2, "the oldest are closed soon: {:?}", start.elapsed());
    assert_eq!(stayed[23].ask(&request("look", 3000)).status(), 200, "half of the connections may stay idle");
}

#[test]
fn a_client_that_sends_nothing_or_half_a_request_is_disconnected() {
    let (backend, _discovery, counter, node) = gateway_with(|_| http("200 OK", "ok"));
    let whole = request("buy", 3000);
    let start = Instant::now();
    let mut clients: Vec<Client> = [0, 20, whole.len() - 2]
        .map(|sent| {
            let mut client = node.client();
            client.send(&whole[..sent]);
            client
        })
        .into();
    for client in &mut clients {
        assert!(client.answer().is_none());
    }
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
    assert_eq!((backend.requests().len(), counter.requests().len()), (0, 0));
}

#[test]
fn a_request_id_is_rejected_while_a_request_with_it_is_open() {
    let (backend, _discovery, counter, node) = gateway_with(|_| Reply::Silence);
    let mut first = node.client();
    first.send(&request("once", 800));
    backend.wait_for("the attempt", |log| log.requests.len() == 1);
    assert_eq!(node.client().ask(&request("once", 800)).status(), 409);
    assert_eq!(first.answer().expect("an answer").status(), 502);
    assert_eq!(
        (backend.requests().len(), counter.requests().len()),
        (1, 1),
        "the second request was neither sent nor counted"
    );
    assert_eq!(node.client().ask(&request("once", 300)).status(), 502, "the id can be used again");
}

#[test]
fn at_sighup_the_gateway_uses_the_new_addresses_in_its_file() {
    let (old, new) = (Stub::start(|_| http("200 OK", "old")), Stub::start(|_| http("200 OK", "new")));
    let discovery = Discovery::start(&member("s-1", old.address, "ready"));
    let first = counter();
    let path = file(&config(discovery.stub.address, first.address));
    let mut command = program_with_file(PROGRAM, &path);
    command.env("NODE_DISCOVERY", discovery.stub.address.to_string());
    let node = Node::spawn(command);
    node.wait_ready();
    let mut client = node.client();
    assert_eq!(client.ask(&request("look", 3000)).body, "old");
    discovery.wait_for_watch(41);
    // A file that can't be used changes nothing.
    std::fs::write(&path, "{\"half\":").expect("written");
    node.signal("HUP");
    assert_eq!(client.ask(&request("look", 3000)).body, "old");
    // The new discovery numbers its revisions differently, and starts lower than the old one.
    let (moved, second) = (Discovery::start(""), counter());
    moved.set_answer(3, &list(3, true, &member("s-2", new.address, "ready")));
    std::fs::write(&path, config(moved.stub.address, second.address)).expect("written");
    let start = Instant::now();
    node.signal("HUP");
    moved.wait_for_watch(3);
    assert!(
        start.elapsed() < Duration::from_secs(2),
        "at once, not when the held call to the old discovery ends"
    );
    assert_eq!(client.ask(&request("look", 3000)).body, "new");
    assert_eq!(first.requests().len(), 2, "the old counter gets no more calls");
    assert!(!second.requests().is_empty(), "the new counter is called");
    first.wait_for("the connections to the old counter to close", |log| log.closed == log.opened);
    node.signal("TERM");
    let mut node = node;
    assert_eq!(node.ended(), Some(0));
}

#[test]
fn clients_that_leave_as_their_requests_are_sent_hold_no_capacity_of_the_backend() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let (discovery, counter) = (Discovery::start(&member("s-1", backend.address, "ready")), counter());
    // With a long tick the module gets the counter's answers and the clients' ends together.
    let config = config(discovery.stub.address, counter.address).replace("\"tick\":4000", "\"tick\":250000");
    let node = Node::spawn(program(PROGRAM, &config));
    node.wait_ready();
    let clients: Vec<Client> = (0..8)
        .map(|i| {
            let mut client = node.client();
            client.send(&request("look", 4000).replace("9b1f", &format!("9c0{i}")));
            client
        })
        .collect();
    counter.wait_for("the counter calls of all clients", |log| log.requests.len() == clients.len());
    drop(clients);
    for _ in 0..2 {
        assert_eq!(node.client().ask(&request("look", 4000)).status(), 200);
    }
}

/// Starts one of several gateways, with one backend. The small plan has this rate in units per second, and a
/// burst of as many units.
fn one_of_several(gateways: u32, rate: u32, counter: &Stub) -> (Discovery, Node) {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let config = config(discovery.stub.address, counter.address)
        .replace(r#""balancers":2"#, &format!(r#""balancers":{gateways}"#))
        .replace(
            r#""per_second":1.0,"peak_units":4.0"#,
            &format!(r#""per_second":{rate}.0,"peak_units":{rate}.0"#),
        );
    let node = Node::spawn(program(PROGRAM, &config));
    node.wait_ready();
    (discovery, node)
}

/// Whether a request is served for a customer of the small plan whose requests go to this many gateways.
fn is_served(client: &mut Client, customer: u32, spread: u32, units: u32) -> bool {
    let request = request("look", 4000)
        .replace("00000000b4d65521", &format!("{customer:016x}"))
        .replace("X-Plan: team", "X-Plan: small")
        .replace("units=2,spread=2", &format!("units={units},spread={spread}"));
    client.ask(&request).status() == 200
}

/// Waits 20 ms between two checks, and fails after the time limit.
fn wait_briefly(since: Instant) {
    assert!(since.elapsed() < LIMIT, "the time limit of the test has passed");
    std::thread::sleep(Duration::from_millis(20));
}

#[test]
fn without_a_counter_a_customer_gets_the_quota_that_other_gateways_did_not_use() {
    let (totals, down) = (counting_answers(), Arc::new(AtomicBool::new(false)));
    let refuses = down.clone();
    let counter = Stub::start(move |request| match refuses.load(Relaxed) {
        true => http("503 Service Unavailable", ""),
        false => totals(request),
    });
    // A quarter of the burst is ten.
    let (_discovery, node) = one_of_several(4, 40, &counter);
    let (mut client, start) = (node.client(), Instant::now());
    // All requests of the customer come through this gateway.
    while counter.requests().len() < 20 {
        assert!(is_served(&mut client, 1, 4, 1));
        (0..3).for_each(|_| wait_briefly(start));
    }
    // The circuit breaker is open when requests cause no more calls. Failed calls for other customers open it
    // for all.
    down.store(true, Relaxed);
    let (mut calls, mut without_call) = (counter.requests().len(), 0);
    for customer in [1, 2, 3].into_iter().cycle() {
        is_served(&mut client, customer, 4, 1);
        let now = counter.requests().len();
        (calls, without_call) = (now, if now == calls { without_call + 1 } else { 0 });
        if without_call == 12 {
            break;
        }
        wait_briefly(start);
    }
    let served = (0..8).filter(|_| is_served(&mut client, 1, 4, 4)).count();
    assert_eq!(served, 8, "the quota holds forty units");
}

#[test]
fn a_customer_gets_its_quota_and_no_more() {
    let counter = counter();
    let (_discovery, node) = one_of_several(2, 10, &counter);
    let (mut client, start) = (node.client(), Instant::now());
    // Uses about the customer's rate.
    while counter.requests().len() < 15 {
        is_served(&mut client, 1, 2, 1);
        (0..5).for_each(|_| wait_briefly(start));
    }
    // Then uses as much as possible until requests have been refused for a while.
    let (burst_start, mut served, mut refused) = (Instant::now(), 0, 0);
    while refused < 40 {
        let ok = is_served(&mut client, 1, 2, 1);
        (served, refused) = (served + u32::from(ok), refused + u32::from(!ok));
        wait_briefly(start);
    }
    let quota = 10.0 + 10.0 * burst_start.elapsed().as_secs_f64();
    let served = f64::from(served);
    assert!(served <= quota + 1.5 && served >= 0.8 * quota - 2.0, "{served} of {quota}");
}

/// Starts two gateways that share a customer's quota and may send each other messages, or not.
fn two_gateways(counter: &Stub, discovery: &Discovery, peers: bool) -> Vec<Node> {
    // The ports of two sockets that are closed again, so that the gateways can use them.
    let ports: Vec<SocketAddr> = {
        let held: Vec<_> =
            (0..2).map(|_| std::net::UdpSocket::bind("127.0.0.1:0").expect("a port")).collect();
        held.iter().map(|socket| socket.local_addr().expect("bound")).collect()
    };
    let start = |own_number: usize| {
        let own = ports[own_number];
        let peer_settings =
            format!(r#""peer_listen":"{own}","peers":["{}","{}"],"settings":"#, ports[0], ports[1]);
        let mut config = config(discovery.stub.address, counter.address)
            .replace(r#""per_second":1.0,"peak_units":4.0"#, r#""per_second":0.1,"peak_units":40.0"#)
            .replace(r#""my_number":0"#, &format!(r#""my_number":{own_number}"#));
        if peers {
            config = config
                .replace(r#""settings":"#, &peer_settings)
                .replace(r#""max_attempts":3"#, r#""max_attempts":3,"peer_messages":true"#)
                .replace(r#""units_top":4"#, r#""units_top":4,"peer_in_per_s":60"#);
        }
        let node = Node::spawn(program(PROGRAM, &config));
        node.wait_ready();
        node
    };
    vec![start(0), start(1)]
}

/// How many requests of a customer the first of two gateways serves while the counter rejects all calls.
fn served_without_counter(peers: bool) -> usize {
    let (totals, down) = (counting_answers(), Arc::new(AtomicBool::new(false)));
    let refuses = down.clone();
    let counter = Stub::start(move |request| match refuses.load(Relaxed) {
        true => http("503 Service Unavailable", ""),
        false => totals(request),
    });
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let discovery = Discovery::start(&member("s-1", backend.address, "ready"));
    let nodes = two_gateways(&counter, &discovery, peers);
    let start = Instant::now();
    let mut clients: Vec<Client> = nodes.iter().map(Node::client).collect();
    // Both gateways get totals from the counter, for other customers.
    for (client, customer) in clients.iter_mut().zip([11, 12]) {
        assert!(is_served(client, customer, 2, 1));
    }
    down.store(true, Relaxed);
    for client in &mut clients {
        // The gateway's circuit breaker is open when requests cause no more calls.
        let (mut calls, mut without_call) = (counter.requests().len(), 0);
        for customer in (20..60).cycle() {
            is_served(client, customer, 2, 1);
            let now = counter.requests().len();
            (calls, without_call) = (now, if now == calls { without_call + 1 } else { 0 });
            if without_call == 8 {
                break;
            }
            wait_briefly(start);
        }
    }
    let mut served = 0;
    for _ in 0..60 {
        served += usize::from(is_served(&mut clients[0], 1, 2, 1));
        wait_briefly(start);
    }
    served
}

#[test]
fn without_a_counter_a_gateway_gives_its_unused_share_to_one_that_needs_it() {
    let (alone, together) = (served_without_counter(false), served_without_counter(true));
    assert!(alone <= 22, "without messages, an even share: {alone}");
    assert!(together >= 28, "{together} of forty with messages, {alone} without");
    assert!(together <= 41, "never more than the quota: {together}");
}
