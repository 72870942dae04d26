//! Load through gateways: clients that keep a connection each, at a steady pace, and note what became of each request.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::Request;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// How long a client waits for an answer before it counts as lost: the longest deadline of a class, and some.
pub const WAITS: Duration = Duration::from_secs(9);
/// One request of a client's.
#[derive(Debug, Clone)]
pub struct Sent {
    /// Its id.
    pub call: String,
    /// Its class.
    pub class: &'static str,
    /// The gateway.
    pub gateway: usize,
    /// When it was sent.
    pub at: Instant,
    /// The answer's status, and when it came; `None`: the connection ended without one, or none came.
    pub answer: Option<(u16, Instant)>,
}

/// Clients under way; they end when this is dropped.
pub struct Load {
    seen: Arc<Mutex<Vec<Sent>>>,
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    /// So many requests a second through each gateway, of all classes.
    pub fn start(gateways: &[SocketAddr], per_s: u64) -> Load {
        let mut load = Load { seen: Arc::default(), stop: Arc::default(), clients: Vec::new() };
        let calls = Arc::new(AtomicU64::new(0));
        // So many clients that one slow answer does not hold the rate down.
        let clients = (per_s / 4).max(1);
        for (gateway, &at) in gateways.iter().enumerate() {
            for client in 0..clients {
                let (seen, stop, calls) = (load.seen.clone(), load.stop.clone(), calls.clone());
                let every = Duration::from_micros(clients * 1_000_000 / per_s.max(1));
                let first = every.mul_f64(client as f64 / clients as f64);
                load.clients.push(tokio::spawn(async move {
                    tokio::time::sleep(first).await;
                    ask_always(at, gateway, every, &seen, &stop, &calls).await;
                }));
            }
        }
        load
    }

    /// Ends it, waits for what is open, and tells all that was sent.
    pub async fn rest(&mut self) -> Vec<Sent> {
        self.stop.store(true, Ordering::Relaxed);
        for client in self.clients.drain(..) {
            let _ = client.await;
        }
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        for client in self.clients.drain(..) {
            client.abort();
        }
    }
}

async fn ask_always(
    at: SocketAddr,
    gateway: usize,
    every: Duration,
    seen: &Mutex<Vec<Sent>>,
    stop: &AtomicBool,
    calls: &AtomicU64,
) {
    let mut sender: Option<http1::SendRequest<Full<Bytes>>> = None;
    let mut next = tokio::time::Instant::now();
    while !stop.load(Ordering::Relaxed) {
        tokio::time::sleep_until(next).await;
        next = (next + every).max(tokio::time::Instant::now());
        if sender.as_ref().is_none_or(http1::SendRequest::is_closed) {
            // A gateway that is being started again refuses; nothing was sent then.
            let Ok(stream) = TcpStream::connect(at).await else { continue };
            let _ = stream.set_nodelay(true);
            let Ok((new, connection)) = http1::handshake(TokioIo::new(stream)).await else { continue };
            tokio::spawn(connection);
            sender = Some(new);
        }
        let Some(open) = &mut sender else { continue };
        if open.ready().await.is_err() {
            sender = None;
            continue;
        }
        let number = calls.fetch_add(1, Ordering::Relaxed);
        let class = ["look", "look", "buy", "once"][(number % 4) as usize];
        let call = format!("{number:016x}");
        let sent_at = Instant::now();
        let asked = async {
            let response = open.send_request(request(class, &call, number)).await.ok()?;
            let status = response.status().as_u16();
            response.into_body().collect().await.ok()?;
            Some((status, Instant::now()))
        };
        let answer = tokio::time::timeout(WAITS, asked).await.ok().flatten();
        if answer.is_none() {
            sender = None;
        }
        let sent = Sent { call, class, gateway, at: sent_at, answer };
        seen.lock().unwrap_or_else(PoisonError::into_inner).push(sent);
    }
}

fn request(class: &str, call: &str, number: u64) -> Request<Full<Bytes>> {
    let method = if class == "look" { "GET" } else { "POST" };
    let body = if class == "look" { Bytes::new() } else { Bytes::from_static(b"hello") };
    let customer = number % 97;
    let request = Request::builder()
        .method(method)
        .uri(format!("/api?customer={customer:016x}&x=1"))
        .header("host", "origin.svc")
        .header("x-call-id", call)
        .header("x-call-class", class)
        .header("x-plan", "team")
        .header("x-budget-ms", "4000")
        .header("x-quota", "units=1,spread=2,first=0");
    let request =
        if class == "buy" { request.header("idempotency-key", format!("k-{number}")) } else { request };
    request.body(Full::new(body)).expect("a sound request")
}
