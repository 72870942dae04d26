//! Request and response bodies that are too large to buffer, in every framing.

use starlinghill_testkit::stubs::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// The gateway program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_starlinghill");

/// Starts a gateway with one backend at this address. Returns it with the other services, which must live as
/// long.
fn gateway_with(address: SocketAddr) -> (Node, Vec<Stub>) {
    let discovery = Discovery::start(&member("s-1", address, "ready"));
    let counter = counter();
    let node = Node::start(PROGRAM, &discovery, &counter);
    (node, vec![discovery.stub, counter])
}

fn request_with_id(class: &str, id: usize) -> String {
    request(class, 3000).replace("9b1f", &format!("{id:04x}"))
}

/// The head of a POST request with these framing headers.
fn post(id: usize, budget_ms: u32, framing: &str) -> String {
    format!(
        "POST /api?customer=00000000b4d65521 HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {id:016x}\r\n\
        X-Call-Class: once\r\nX-Plan: team\r\nX-Budget-Ms: {budget_ms}\r\nX-Quota: units=2,spread=2,first=0\r\n{framing}\r\n\r\n"
    )
}

fn test_body(length: usize) -> String {
    (0..length).map(|i| char::from(b'a' + (i % 23) as u8)).collect()
}

/// A backend whose responses a test writes byte by byte: `serve` is called for each connection after the head
/// of the first request was read.
fn raw_backend(serve: impl Fn(usize, TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let serve = std::sync::Arc::new(serve);
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let serve = serve.clone();
            thread::spawn(move || {
                let mut stream = stream;
                let mut head = Vec::new();
                let mut byte = [0];
                while !head.ends_with(b"\r\n\r\n") {
                    match stream.read(&mut byte) {
                        Ok(1) => head.push(byte[0]),
                        _ => return,
                    }
                }
                serve(number, stream);
            });
        }
    });
    address
}

#[test]
fn long_responses_are_forwarded_complete_in_every_framing() {
    let body = test_body(3_000_000);
    let chunks: String = body.as_bytes().chunks(70_001).fold(String::new(), |all, chunk| {
        all + &format!("{:x}\r\n{}\r\n", chunk.len(), std::str::from_utf8(chunk).expect("letters"))
    });
    for raw in [
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()),
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"),
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\nX-Trailer: 1\r\n\r\n"),
    ] {
        let backend = Stub::start(move |_| Reply::Raw(raw.clone()));
        let (node, _services) = gateway_with(backend.address);
        let mut client = node.client();
        for name in 0..3 {
            let answer = client.ask(&request_with_id("look", name));
            assert_eq!(answer.status(), 200);
            assert!(answer.body == body, "{} bytes", answer.body.len());
            // A connection is reused only some milliseconds after its response.
            thread::sleep(Duration::from_millis(20));
        }
        let seen = backend.requests();
        assert_eq!(seen.len(), 3, "one attempt for each request");
        assert_eq!(seen[2].connection, seen[0].connection, "connections are reused after long responses");
    }
}

#[test]
fn a_response_that_ends_with_its_connection_needs_connection_close() {
    for (head, status) in [("Connection: close\r\n", 200), ("", 502)] {
        let raw = format!("HTTP/1.1 200 OK\r\n{head}\r\n{}", test_body(200_000));
        let backend = Stub::start(move |_| Reply::RawThenClose(raw.clone()));
        let (node, _services) = gateway_with(backend.address);
        let answer = node.client().ask(&request_with_id("once", 1));
        assert_eq!(answer.status(), status, "{head}");
        assert!(status != 200 || answer.body.len() == 200_000);
    }
}

#[test]
fn a_slow_response_is_streamed_as_it_arrives() {
    let address = raw_backend(|_, mut stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for _ in 0..20 {
            let _ = stream.write_all(b"5\r\nhello\r\n");
            thread::sleep(Duration::from_millis(100));
        }
        let _ = stream.write_all(b"0\r\n\r\n");
        thread::sleep(LIMIT);
    });
    let (node, _services) = gateway_with(address);
    let mut stream = TcpStream::connect(node.address).expect("it listens");
    stream.set_read_timeout(Some(LIMIT)).expect("a socket");
    let start = Instant::now();
    // The response takes 2 s, twice the client's time limit, which applies only until it starts.
    stream.write_all(request("look", 1000).as_bytes()).expect("written");
    let (mut all, mut first) = (Vec::new(), None);
    let mut buffer = [0; 4096];
    while !all.ends_with(b"0\r\n\r\n") {
        let read = stream.read(&mut buffer).expect("more of the response");
        assert!(read > 0, "cut off: {}", String::from_utf8_lossy(&all));
        all.extend_from_slice(&buffer[..read]);
        if all.windows(5).any(|five| five == b"hello") {
            first.get_or_insert(start.elapsed());
        }
    }
    assert!(first.expect("a first part") < Duration::from_millis(1000), "{first:?}");
    assert_eq!(all.windows(5).filter(|five| five == b"hello").count(), 20);
}

#[test]
fn a_long_response_that_breaks_off_is_not_retried_and_the_client_can_tell() {
    let connections = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let seen = connections.clone();
    let address = raw_backend(move |number, mut stream| {
        seen.fetch_max(number + 1, std::sync::atomic::Ordering::SeqCst);
        let head = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n";
        let _ = stream.write_all(format!("{head}{}", test_body(300_000)).as_bytes());
    });
    let (node, _services) = gateway_with(address);
    let mut client = node.client();
    assert!(
        client.answer_to(&request_with_id("look", 1)).is_none(),
        "the connection ends before the body does"
    );
    thread::sleep(Duration::from_millis(100));
    assert_eq!(connections.load(std::sync::atomic::Ordering::SeqCst), 1, "one attempt");
    assert_eq!(node.client().ask("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n").status(), 200);
}

#[test]
fn a_safe_request_is_retried_if_its_response_breaks_off_early() {
    let address = raw_backend(|number, mut stream| {
        // The first response breaks off in its first bytes, before any were passed on.
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let end = if number == 0 { "" } else { "0\r\n\r\n" };
        let _ = stream.write_all(format!("{head}5\r\nhello\r\n{end}").as_bytes());
    });
    let (node, _services) = gateway_with(address);
    let answer = node.client().ask(&request_with_id("look", 1));
    assert_eq!((answer.status(), answer.body.as_str()), (200, "hello"));
}

#[test]
fn an_endless_response_is_cut_off() {
    let address = raw_backend(|_, mut stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let chunk = format!("{:x}\r\n{}\r\n", 100_000, test_body(100_000));
        // Far more than 32 MiB; the gateway closes the connection before the end.
        for _ in 0..1000 {
            if stream.write_all(chunk.as_bytes()).is_err() {
                return;
            }
        }
        panic!("the response was read to its end");
    });
    let (node, _services) = gateway_with(address);
    let mut stream = TcpStream::connect(node.address).expect("it listens");
    stream.set_read_timeout(Some(LIMIT)).expect("a socket");
    stream.write_all(request_with_id("look", 1).as_bytes()).expect("written");
    let mut all = Vec::new();
    let _ = stream.read_to_end(&mut all);
    assert!(all.len() < 40_000_000 && all.len() > 32_000_000, "{}", all.len());
    assert!(!all.ends_with(b"0\r\n\r\n"), "the client can tell");
}

#[test]
fn long_requests_are_forwarded_complete_and_sent_once() {
    let backend = Stub::start(|request| http("200 OK", &request.body.len().to_string()));
    let (node, _services) = gateway_with(backend.address);
    let body = test_body(3_000_000);
    let mut client = node.client();
    let answer = client.ask(&format!("{}{body}", post(1, 3000, &format!("Content-Length: {}", body.len()))));
    assert_eq!((answer.status(), answer.body.as_str()), (200, "3000000"));
    let chunks: String = body.as_bytes().chunks(100_000).fold(String::new(), |all, chunk| {
        all + &format!("{:x}\r\n{}\r\n", chunk.len(), std::str::from_utf8(chunk).expect("letters"))
    });
    let answer = client.ask(&format!("{}{chunks}0\r\n\r\n", post(2, 3000, "Transfer-Encoding: chunked")));
    assert_eq!((answer.status(), answer.body.as_str()), (200, "3000000"));
    let seen = backend.requests();
    assert!(seen.len() == 2 && seen.iter().all(|request| request.body == body), "unchanged");
    // A short chunked body is buffered and forwarded with a length.
    let answer =
        node.client().ask(&format!("{}5\r\nhello\r\n0\r\n\r\n", post(3, 3000, "Transfer-Encoding: chunked")));
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert_eq!(backend.requests()[2].header("content-length"), Some("5"));
}

#[test]
fn a_request_with_a_streamed_body_is_not_retried() {
    let backend = Stub::start(|_| Reply::RawThenClose(String::new()));
    let (node, _services) = gateway_with(backend.address);
    let head = post(1, 3000, "Content-Length: 200000")
        .replace("once", "buy")
        .replace("X-Plan", "Idempotency-Key: k\r\nX-Plan");
    let answer = node.client().ask(&format!("{head}{}", test_body(200_000)));
    assert_eq!((answer.status(), backend.requests().len()), (429, 1), "keyed: a refusal is harmless");
    let answer =
        node.client().ask(&format!("{}{}", post(2, 3000, "Content-Length: 200000"), test_body(200_000)));
    assert_eq!((answer.status(), backend.requests().len()), (502, 2), "unsafe: the request may have run");
}

#[test]
fn the_time_limit_of_a_slow_upload_starts_at_its_last_byte() {
    let backend = Stub::start(|request| {
        thread::sleep(Duration::from_millis(300));
        http("200 OK", &request.body.len().to_string())
    });
    let (node, _services) = gateway_with(backend.address);
    let body = test_body(160_000);
    let mut client = node.client();
    client.send(&post(1, 800, "Content-Length: 160000"));
    // The upload takes 2 s, at 80 kB/s, with a time limit of 0.8 s.
    for part in body.as_bytes().chunks(8_000) {
        client.send(std::str::from_utf8(part).expect("letters"));
        thread::sleep(Duration::from_millis(100));
    }
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status(), answer.body.as_str()), (200, "160000"));
}

#[test]
fn an_upload_without_a_response_ends_within_its_time_limit() {
    let backend = Stub::start(|_| Reply::Silence);
    let (node, _services) = gateway_with(backend.address);
    let mut client = node.client();
    client.send(&format!("{}{}", post(1, 500, "Content-Length: 200000"), test_body(200_000)));
    let sent = Instant::now();
    assert_eq!(client.answer().expect("an answer").status(), 502);
    assert!(sent.elapsed() < Duration::from_millis(1500), "{:?}", sent.elapsed());
    backend.wait_for("the connection to close", |log| log.closed == 1);
}

#[test]
fn slow_uploads_do_not_block_other_requests_to_the_backend() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let (node, _services) = gateway_with(backend.address);
    // More uploads, all half sent, than attempts may be in flight at one backend.
    let mut slow: Vec<Client> = (0..12).map(|_| node.client()).collect();
    for (name, client) in slow.iter_mut().enumerate() {
        client.send(&format!("{}{}", post(name, 3000, "Content-Length: 200000"), test_body(100_000)));
    }
    backend.wait_for("the uploads to begin", |log| log.opened >= 12);
    let start = Instant::now();
    for name in 100..120 {
        assert_eq!(node.client().ask(&request_with_id("look", name)).status(), 200);
    }
    assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
    for client in &mut slow {
        client.send(&test_body(200_000)[100_000..]);
    }
    for client in &mut slow {
        assert!([200, 429].contains(&client.answer().expect("an answer").status()));
    }
}

#[test]
fn a_refused_upload_gets_its_answer_while_it_still_sends() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let (node, _services) = gateway_with(backend.address);
    let head = post(1, 3000, "Content-Length: 2000000").replace("X-Plan: team", "X-Plan: small");
    // The quota is four units; the first two requests use them.
    for name in 10..12 {
        let small = request_with_id("once", name).replace("X-Plan: team", "X-Plan: small");
        assert_eq!(node.client().ask(&small).status(), 200);
    }
    let mut client = node.client();
    client.send(&head);
    for part in test_body(2_000_000).as_bytes().chunks(100_000) {
        client.send(std::str::from_utf8(part).expect("letters"));
        thread::sleep(Duration::from_millis(10));
    }
    let answer = client.answer().expect("the answer arrives before the connection ends");
    assert_eq!((answer.status(), answer.header("connection")), (429, Some("close")));
    assert!(answer.header("retry-after").is_some());
    assert_eq!(backend.requests().len(), 2);
}

#[test]
fn a_request_hidden_in_a_body_with_two_framings_is_not_forwarded() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let (node, _services) = gateway_with(backend.address);
    let hidden = request_with_id("look", 77);
    for framing in [
        format!("Content-Length: {}\r\nTransfer-Encoding: chunked", hidden.len() + 5),
        format!("Transfer-Encoding: chunked\r\ncontent-length: {}", hidden.len() + 5),
        format!("Transfer-Encoding: chunked\r\nCONTENT-LENGTH : {}", hidden.len() + 5),
    ] {
        let mut client = node.client();
        let answer = client.ask(&format!("{}0\r\n\r\n{hidden}", post(1, 3000, &framing)));
        assert_eq!(answer.status(), 400, "{framing}");
        assert!(client.answer().is_none(), "the connection ends");
    }
    // After a chunked body alone nothing more is read either.
    let mut client = node.client();
    let answer = client.ask(&format!("{}0\r\n\r\n{hidden}", post(2, 3000, "Transfer-Encoding: chunked")));
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(client.answer().is_none());
    assert_eq!(backend.requests().len(), 1);
}

#[test]
fn a_body_above_the_size_limit_is_refused_unread() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let (node, _services) = gateway_with(backend.address);
    for (framing, status) in [("Content-Length: 60000000", 413), ("Content-Length: -1", 400)] {
        assert_eq!(node.client().ask(&post(1, 3000, framing)).status(), status);
    }
    assert!(backend.requests().is_empty());
}

#[test]
fn a_head_may_take_two_seconds_and_a_stalled_body_ends_its_connection() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let (node, _services) = gateway_with(backend.address);
    let text = request_with_id("once", 1);
    let mut slow = node.client();
    let step = Duration::from_millis(2000) / text.len() as u32;
    let start = Instant::now();
    for (i, byte) in text.char_indices() {
        slow.send(&byte.to_string());
        thread::sleep((start + step * (i as u32 + 1)).saturating_duration_since(Instant::now()));
    }
    assert_eq!(slow.answer().expect("the gateway waits for the request").status(), 200);
    let mut half = node.client();
    let start = Instant::now();
    half.send(&format!("{}{}", post(2, 3000, "Content-Length: 5000000"), test_body(1_000_000)));
    let answer = half.answer();
    assert!(answer.is_none_or(|answer| answer.status() >= 400));
    assert!(start.elapsed() < Duration::from_millis(3000), "{:?}", start.elapsed());
}

#[test]
fn a_uri_in_absolute_form_is_forwarded_as_path_and_query() {
    let backend = Stub::start(|_| http("200 OK", "ok"));
    let (node, _services) = gateway_with(backend.address);
    let absolute = request_with_id("look", 1).replace("GET /api", "GET http://origin.svc/api");
    assert_eq!(node.client().ask(&absolute).status(), 200);
    assert_eq!(backend.requests()[0].line, "GET /api?customer=00000000b4d65521&x=1 HTTP/1.1");
}
