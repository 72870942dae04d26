//! A backend: sends heartbeats, and answers each request that it reads whole. It notes what it ran.

use crate::system::call;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A request that a backend ran: its `Attempt-Id` and its `Customer`.
pub type Runs = Arc<Mutex<Vec<(String, Option<String>)>>>;

/// The value of a header in a head.
pub fn header(head: &str, name: &str) -> Option<String> {
    let is = |line: &&str| line.split_once(':').is_some_and(|(key, _)| key.eq_ignore_ascii_case(name));
    head.lines().find(is).and_then(|line| line.split_once(':')).map(|(_, value)| value.trim().to_string())
}

/// Reads a head; what follows it stays in `buffer`.
pub fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    let mut part = [0; 16_384];
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).to_string();
            buffer.drain(..end + 4);
            return Some(head);
        }
        match stream.read(&mut part) {
            Ok(n) if n > 0 => buffer.extend_from_slice(&part[..n]),
            _ => return None,
        }
    }
}

/// Reads a body of this length.
pub fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> Option<Vec<u8>> {
    let mut part = [0; 16_384];
    while buffer.len() < length {
        match stream.read(&mut part) {
            Ok(n) if n > 0 => buffer.extend_from_slice(&part[..n]),
            _ => return None,
        }
    }
    Some(buffer.drain(..length).collect())
}

/// Starts a backend of a service, which lives as long as this process.
pub fn start(ip: String, id: &'static str, service: &'static str, core: Vec<String>) -> Runs {
    let runs = Runs::default();
    let listener = TcpListener::bind((ip.as_str(), 0)).expect("a free port");
    let address = listener.local_addr().expect("its address");
    let noted = runs.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let noted = noted.clone();
            std::thread::spawn(move || serve(stream, id, &noted));
        }
    });
    std::thread::spawn(move || {
        for count in 1_u64.. {
            let beat = format!(
                r#"{{"address":"{address}","details":{{"service":"{service}","version":"v1","zone":"zone-0","capacity":3}},"observed":{{"state":"ready","call_count":{count},"warmup_left":"0ms"}}}}"#
            );
            for ip in &core {
                let path = format!("/api/backends/{id}");
                if call(ip, "PUT", &path, beat.as_bytes(), Duration::from_secs(1))
                    .is_ok_and(|(status, _)| status == 200)
                {
                    break;
                }
            }
            std::thread::sleep(Duration::from_millis(1_000));
        }
    });
    runs
}

fn serve(mut stream: TcpStream, id: &str, runs: &Runs) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer) {
        let length = header(&head, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        if read_body(&mut stream, &mut buffer, length).is_none() {
            return;
        }
        let attempt = header(&head, "attempt-id").unwrap_or_default();
        if header(&head, "target-backend").is_some_and(|target| target != id) {
            let answer = format!("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        runs.lock().unwrap().push((attempt.clone(), header(&head, "customer")));
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nBackend-Seal: {id}.{attempt}\r\nContent-Length: 5\r\n\r\npaid\n"
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// A client's request on a new connection: the status of its answer, or why there was none.
pub fn request(
    front: &str,
    method: &str,
    host: &str,
    path: &str,
    attempt: &str,
    key: Option<&str>,
) -> Result<u16, String> {
    let error = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect((front, 8388)).map_err(error)?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
    let key = key.map(|key| format!("Authorization: Bearer {key}\r\n")).unwrap_or_default();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {attempt}\r\nTime-Left: 3000\r\n{key}Content-Length: 4\r\n\r\npay\n"
    );
    stream.write_all(head.as_bytes()).map_err(error)?;
    let head = read_head(&mut stream, &mut Vec::new()).ok_or("no answer")?;
    head.split(' ').nth(1).and_then(|status| status.parse().ok()).ok_or("no status".into())
}

/// Whether the platform would let clients in at a gateway.
pub fn is_ready(gateway: &str) -> bool {
    let Ok(mut stream) = TcpStream::connect((gateway, 8384)) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let _ = stream.write_all(format!("GET /api/ready HTTP/1.1\r\nHost: {gateway}\r\n\r\n").as_bytes());
    read_head(&mut stream, &mut Vec::new()).is_some_and(|head| head.contains(" 200 "))
}
