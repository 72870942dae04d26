//! Addresses, HTTP calls, and links that can be cut. Standard library only.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub fn at(ip: &str, port: u16) -> SocketAddr {
    SocketAddr::new(ip.parse().expect("an address"), port)
}

/// The first three bytes of addresses of a machine that nobody uses now.
pub fn free_net() -> String {
    let mut number = std::process::id();
    loop {
        let net = format!("127.{}.{}", 60 + number % 150, (number / 150) % 250);
        let probe = |i: u32| TcpListener::bind(at(&format!("{net}.{i}"), 8381)).is_ok();
        if (1..=6).all(probe) {
            return net;
        }
        number += 7;
    }
}

/// An HTTP message: the first line, the headers by lower-case name, and the body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message; `None` at the end of the stream. `buffer` keeps what was read beyond it.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut chunk = [0; 16384];
    let head_end = loop {
        if let Some(end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            break end;
        }
        match stream.read(&mut chunk)? {
            0 if buffer.is_empty() => return Ok(None),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => buffer.extend_from_slice(&chunk[..count]),
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    buffer.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let mut message = Message { first_line: lines.next().unwrap_or_default().into(), ..Message::default() };
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        message.headers.insert(name.trim().to_ascii_lowercase(), value.trim().into());
    }
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let line_end = loop {
                if let Some(end) = buffer.windows(2).position(|two| two == b"\r\n") {
                    break end;
                }
                match stream.read(&mut chunk)? {
                    0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                    count => buffer.extend_from_slice(&chunk[..count]),
                }
            };
            let size = String::from_utf8_lossy(&buffer[..line_end]).into_owned();
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            while buffer.len() < line_end + 2 + size + 2 {
                match stream.read(&mut chunk)? {
                    0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                    count => buffer.extend_from_slice(&chunk[..count]),
                }
            }
            message.body.extend_from_slice(&buffer[line_end + 2..line_end + 2 + size]);
            buffer.drain(..line_end + 2 + size + 2);
            if size == 0 {
                return Ok(Some(message));
            }
        }
    }
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    while buffer.len() < length {
        match stream.read(&mut chunk)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => buffer.extend_from_slice(&chunk[..count]),
        }
    }
    message.body = buffer.drain(..length).collect();
    Ok(Some(message))
}

/// Makes one call on a new connection. `None` without a complete answer within `within`.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    within: Duration,
) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, within.min(Duration::from_secs(1))).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(within)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        text.push_str("Host: control\r\n");
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes()).ok()?;
    read_message(&mut stream, &mut Vec::new()).ok()?
}

/// The links of one proxy to the core, all cut or all whole. A cut holds up bytes and says nothing, as the pages say of
/// a cut; what is held up goes on when it heals, unless its sender has closed the connection.
#[derive(Clone, Default)]
pub struct Links {
    pub cut: Arc<AtomicBool>,
}

impl Links {
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }

    fn wait_until_whole(&self) {
        while self.cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Passes connections on from one address to another.
    pub fn relay(&self, from: SocketAddr, to: SocketAddr) {
        let listener = TcpListener::bind(from).expect("a free port for a link");
        let links = self.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let links = links.clone();
                thread::spawn(move || {
                    links.wait_until_whole();
                    let Ok(far) = TcpStream::connect_timeout(&to, Duration::from_millis(300)) else { return };
                    let _ = (near.set_nodelay(true), far.set_nodelay(true));
                    let (Ok(near_2), Ok(far_2)) = (near.try_clone(), far.try_clone()) else { return };
                    let other = links.clone();
                    thread::spawn(move || other.pass(near_2, far_2));
                    links.pass(far, near);
                });
            }
        });
    }

    fn pass(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut bytes = [0; 65536];
        loop {
            let count = from.read(&mut bytes).unwrap_or(0);
            self.wait_until_whole();
            if count == 0 || to.write_all(&bytes[..count]).is_err() {
                break;
            }
        }
        let _ = (from.shutdown(std::net::Shutdown::Both), to.shutdown(std::net::Shutdown::Both));
    }
}

/// Passes datagrams on that arrive at `from`. They keep the machine of their sender. Never cut: these are the heartbeats
/// between proxies, and only the links to the core are cut.
pub fn relay_datagrams(from: SocketAddr, to: SocketAddr) {
    let near = UdpSocket::bind(from).expect("a free port");
    thread::spawn(move || {
        let (mut bytes, mut senders) = ([0; 2048], BTreeMap::new());
        while let Ok((count, origin)) = near.recv_from(&mut bytes) {
            let sender = senders.entry(origin.ip()).or_insert_with(|| UdpSocket::bind((origin.ip(), 0)));
            let _ = sender.as_ref().map(|sender| sender.send_to(&bytes[..count], to));
        }
    });
}

/// Waits until `look` is true, at most for `limit`. Returns whether it was.
pub fn wait_for(limit: Duration, mut look: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if look() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}
