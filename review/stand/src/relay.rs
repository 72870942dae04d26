//! A link of which packets wait: what comes in on it, bytes and ends of streams alike, goes on in the same order after a
//! fixed time.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// Starts a link from `at` to `to`, for as long as this process lives.
pub fn start(at: SocketAddr, to: SocketAddr, delay: Duration) {
    let listener = TcpListener::bind(at).expect("a free port");
    std::thread::spawn(move || {
        for from in listener.incoming().flatten() {
            let Ok(on) = TcpStream::connect(to) else { continue };
            let (from2, on2) = (from.try_clone().expect("a socket"), on.try_clone().expect("a socket"));
            carry(from, on, delay);
            carry(on2, from2, delay);
        }
    });
}

fn carry(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, queue) = mpsc::channel::<(Instant, Vec<u8>)>();
    std::thread::spawn(move || {
        let mut part = [0; 16_384];
        loop {
            let n = from.read(&mut part).unwrap_or(0);
            // No bytes: the end of the stream.
            if sender.send((Instant::now() + delay, part[..n].to_vec())).is_err() || n == 0 {
                return;
            }
        }
    });
    std::thread::spawn(move || {
        for (at, bytes) in queue {
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            if bytes.is_empty() {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            if to.write_all(&bytes).is_err() {
                return;
            }
        }
    });
}
