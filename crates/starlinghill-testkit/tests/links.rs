//! Tests that links between processes apply faults in one direction only, and heal.

use starlinghill_testkit::links::Links;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::timeout;

const LIMIT: Duration = Duration::from_secs(10);
/// How long nothing may arrive over a cut link.
const SILENCE: Duration = Duration::from_millis(200);

/// Starts a server that sends back the bytes that it receives.
async fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buffer = [0; 1024];
                while let Ok(n) = stream.read(&mut buffer).await {
                    if n == 0 || stream.write_all(&buffer[..n]).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    at
}

async fn echoed(stream: &mut TcpStream, text: &[u8], patience: Duration) -> Option<Vec<u8>> {
    stream.write_all(text).await.ok()?;
    let mut back = vec![0; text.len()];
    timeout(patience, stream.read_exact(&mut back)).await.ok()?.ok()?;
    Some(back)
}

#[tokio::test]
async fn a_cut_in_either_direction_delays_bytes_until_it_heals() {
    let net = Links::new(1);
    let at = net.tcp("a", "b", echo().await).await;
    let mut stream = TcpStream::connect(at).await.expect("connected");
    assert_eq!(echoed(&mut stream, b"one", LIMIT).await.as_deref(), Some(&b"one"[..]));
    for (from, to) in [("a", "b"), ("b", "a")] {
        net.cut(from, to);
        assert_eq!(echoed(&mut stream, b"two", SILENCE).await, None, "{from} to {to}");
        net.heal();
        let mut back = [0; 3];
        timeout(LIMIT, stream.read_exact(&mut back)).await.expect("in time").expect("3 bytes");
        assert_eq!(&back, b"two");
    }
    // A cut between other zones has no effect on this link.
    net.cut("a", "c");
    assert_eq!(echoed(&mut stream, b"six", LIMIT).await.as_deref(), Some(&b"six"[..]));
}

#[tokio::test]
async fn a_link_delays_bytes_limits_their_rate_and_resets_connections() {
    let net = Links::new(1);
    let at = net.tcp("a", "b", echo().await).await;
    let mut stream = TcpStream::connect(at).await.expect("connected");
    net.change("a", "b", |c| c.delay_ms = 120);
    let started = Instant::now();
    echoed(&mut stream, b"late", LIMIT).await.expect("an answer");
    assert!(started.elapsed() >= Duration::from_millis(120));
    net.heal();
    net.change("b", "a", |c| c.bytes_per_s = Some(1_000));
    let started = Instant::now();
    echoed(&mut stream, &[7; 300], LIMIT).await.expect("an answer");
    assert!(started.elapsed() >= Duration::from_millis(250), "{:?}", started.elapsed());
    net.heal();
    net.reset("b", "a");
    let mut buffer = [0; 8];
    let ended = timeout(LIMIT, stream.read(&mut buffer)).await.expect("in time");
    assert_eq!(ended.map_err(|e| e.kind()), Err(std::io::ErrorKind::ConnectionReset));
    let mut new = TcpStream::connect(at).await.expect("connected");
    assert_eq!(echoed(&mut new, b"new", LIMIT).await.as_deref(), Some(&b"new"[..]));
}

#[tokio::test]
async fn the_seed_decides_which_datagrams_are_lost_or_duplicated() {
    let count = |seed| async move {
        let net = Links::new(seed);
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let at = net.udp("a", "b", socket.local_addr().expect("bound")).await;
        let sender = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        net.change("a", "b", |c| (c.loss, c.doubled) = (0.3, 0.5));
        for n in 0..100u8 {
            sender.send_to(&[n], at).await.expect("sent");
        }
        let (mut received, mut buffer) = (Vec::new(), [0; 8]);
        // Received datagrams wait in the socket; the timeout marks the end.
        while let Ok(Ok((1, _))) = timeout(2 * SILENCE, socket.recv_from(&mut buffer)).await {
            received.push(buffer[0]);
        }
        received.sort_unstable();
        net.cut("a", "b");
        sender.send_to(&[200], at).await.expect("sent");
        assert!(timeout(SILENCE, socket.recv_from(&mut buffer)).await.is_err(), "a datagram passed the cut");
        received
    };
    let received = count(7).await;
    let mut distinct = received.clone();
    distinct.dedup();
    assert!((55..=85).contains(&distinct.len()), "{} of 100", distinct.len());
    let duplicates = received.len() - distinct.len();
    assert!((20..=50).contains(&duplicates), "{duplicates} duplicates");
    assert_eq!(count(7).await, received, "the same seed");
}
