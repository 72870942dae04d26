//! Load generator: clients that send requests through gateways at a steady rate, each on its own kept-alive connection,
//! and record the outcome of each request.

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

/// A request without an answer after this time counts as lost. It is longer than the longest deadline of a class (8 s).
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(9);

/// A request and its outcome.
#[derive(Debug, Clone)]
pub struct SentRequest {
    /// Its `X-Call-Id`, unique within a run.
    pub call_id: String,
    /// Its `X-Call-Class`: `look`, `buy` or `once`.
    pub class: &'static str,
    /// The index of the gateway that it was sent to.
    pub gateway: usize,
    /// When it was sent.
    pub sent_at: Instant,
    /// The status of the complete answer and when it arrived; `None` if the connection ended without one or
    /// [`ANSWER_TIMEOUT`] passed.
    pub answer: Option<(u16, Instant)>,
}

/// Running clients. Dropping it aborts them.
pub struct Load {
    results: Arc<Mutex<Vec<SentRequest>>>,
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts clients that send `per_s` requests per second through each gateway: half of them `look`, a quarter each
    /// `buy` and `once`.
    pub fn start(gateways: &[SocketAddr], per_s: u64) -> Load {
        let mut load = Load { results: Arc::default(), stop: Arc::default(), clients: Vec::new() };
        let next_id = Arc::new(AtomicU64::new(0));
        // Each client sends 4 requests per second, so one slow answer hardly lowers the total rate.
        let clients = (per_s / 4).max(1);
        for (gateway, &at) in gateways.iter().enumerate() {
            for client in 0..clients {
                let (results, stop, next_id) = (load.results.clone(), load.stop.clone(), next_id.clone());
                let interval = Duration::from_micros(clients * 1_000_000 / per_s.max(1));
                let offset = interval.mul_f64(client as f64 / clients as f64);
                load.clients.push(tokio::spawn(async move {
                    tokio::time::sleep(offset).await;
                    run_client(at, gateway, interval, &results, &stop, &next_id).await;
                }));
            }
        }
        load
    }

    /// Stops the clients, waits for open requests and returns all requests that were sent.
    pub async fn finish(&mut self) -> Vec<SentRequest> {
        self.stop.store(true, Ordering::Relaxed);
        for client in self.clients.drain(..) {
            let _ = client.await;
        }
        self.results.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        for client in self.clients.drain(..) {
            client.abort();
        }
    }
}

async fn run_client(
    at: SocketAddr,
    gateway: usize,
    interval: Duration,
    results: &Mutex<Vec<SentRequest>>,
    stop: &AtomicBool,
    next_id: &AtomicU64,
) {
    let mut sender: Option<http1::SendRequest<Full<Bytes>>> = None;
    let mut next = tokio::time::Instant::now();
    while !stop.load(Ordering::Relaxed) {
        tokio::time::sleep_until(next).await;
        next = (next + interval).max(tokio::time::Instant::now());
        if sender.as_ref().is_none_or(http1::SendRequest::is_closed) {
            // A gateway that restarts refuses connections. No request was sent then, so none is recorded.
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
        let number = next_id.fetch_add(1, Ordering::Relaxed);
        let class = ["look", "look", "buy", "once"][(number % 4) as usize];
        let call_id = format!("{number:016x}");
        let sent_at = Instant::now();
        let exchange = async {
            let response = open.send_request(request(class, &call_id, number)).await.ok()?;
            let status = response.status().as_u16();
            response.into_body().collect().await.ok()?;
            Some((status, Instant::now()))
        };
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, exchange).await.ok().flatten();
        if answer.is_none() {
            sender = None;
        }
        let sent = SentRequest { call_id, class, gateway, sent_at, answer };
        results.lock().unwrap_or_else(PoisonError::into_inner).push(sent);
    }
}

fn request(class: &str, call_id: &str, number: u64) -> Request<Full<Bytes>> {
    let method = if class == "look" { "GET" } else { "POST" };
    let body = if class == "look" { Bytes::new() } else { Bytes::from_static(b"hello") };
    let customer = number % 97;
    let request = Request::builder()
        .method(method)
        .uri(format!("/api?customer={customer:016x}&x=1"))
        .header("host", "origin.svc")
        .header("x-call-id", call_id)
        .header("x-call-class", class)
        .header("x-plan", "team")
        .header("x-budget-ms", "4000")
        .header("x-quota", "units=1,spread=2,first=0");
    let request =
        if class == "buy" { request.header("idempotency-key", format!("k-{number}")) } else { request };
    request.body(Full::new(body)).expect("a valid request")
}
