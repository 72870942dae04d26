//! Save nodes, the servers behind gateways in tests: they answer every request with 200 or, if a test wants it, with 500
//! or after a delay, and record what arrived.

use crate::stubs::{self, Discovery};
use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// The requests of one sender (`X-From` header) to a node.
#[derive(Debug, Clone, Copy)]
pub struct SenderActivity {
    /// The number of requests.
    pub requests: u64,
    /// When the last one arrived.
    pub last_at: Instant,
}

/// One attempt of a request that arrived at a node with an `X-Call-Id`.
#[derive(Debug, Clone, PartialEq)]
pub struct ReceivedAttempt {
    /// The request's path and query.
    pub target: String,
    /// Its `X-Call-Id`.
    pub call_id: String,
    /// When it arrived.
    pub at: Instant,
}

/// A running save node. Dropping it stops it and closes its connections.
pub struct SaveNode {
    /// The address that it listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

#[derive(Default)]
struct Shared {
    senders: Mutex<BTreeMap<String, SenderActivity>>,
    attempts: Mutex<Vec<ReceivedAttempt>>,
    failing: AtomicBool,
    delay_ms: AtomicU64,
}

fn locked<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().expect("no thread panicked under the lock")
}

impl SaveNode {
    /// Starts a node on a free port.
    pub async fn start() -> SaveNode {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let shared = Arc::<Shared>::default();
        let state = shared.clone();
        let task = tokio::spawn(async move {
            // Dropped with this task, which closes the connections.
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let state = state.clone();
                let service = service_fn(move |request: Request<hyper::body::Incoming>| {
                    let header = |name| request.headers().get(name).and_then(|v| v.to_str().ok());
                    let sender = header("x-from").unwrap_or("nobody").to_string();
                    let now = Instant::now();
                    if let Some(call_id) = header("x-call-id") {
                        let (target, call_id) = (request.uri().to_string(), call_id.to_string());
                        locked(&state.attempts).push(ReceivedAttempt { target, call_id, at: now });
                    }
                    let mut senders = locked(&state.senders);
                    let activity =
                        senders.entry(sender).or_insert(SenderActivity { requests: 0, last_at: now });
                    (activity.requests, activity.last_at) = (activity.requests + 1, now);
                    drop(senders);
                    let mut response = Response::new(Full::new(Bytes::from_static(b"ok")));
                    if state.failing.load(Ordering::Relaxed) {
                        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                    }
                    let delay = Duration::from_millis(state.delay_ms.load(Ordering::Relaxed));
                    async move {
                        if !delay.is_zero() {
                            tokio::time::sleep(delay).await;
                        }
                        Ok::<_, Infallible>(response)
                    }
                });
                connections.spawn(async move {
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        SaveNode { address, shared, task }
    }

    /// The requests so far, by sender; `nobody` stands for requests without `X-From`.
    pub fn by_sender(&self) -> BTreeMap<String, SenderActivity> {
        locked(&self.shared.senders).clone()
    }

    /// All attempts so far that had an `X-Call-Id`, in order of arrival.
    pub fn attempts(&self) -> Vec<ReceivedAttempt> {
        locked(&self.shared.attempts).clone()
    }

    /// The number of requests so far.
    pub fn requests(&self) -> u64 {
        locked(&self.shared.senders).values().map(|s| s.requests).sum()
    }

    /// Delays each answer from now on by this many milliseconds.
    pub fn set_delay_ms(&self, ms: u64) {
        self.shared.delay_ms.store(ms, Ordering::Relaxed);
    }

    /// Sets whether requests are answered with 500 from now on.
    pub fn set_failing(&self, failing: bool) {
        self.shared.failing.store(failing, Ordering::Relaxed);
    }
}

impl Drop for SaveNode {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts `count` save nodes and a discovery service that lists them as `s-0`, `s-1` and so on, all ready.
pub async fn start_nodes(count: usize) -> (Vec<SaveNode>, Discovery) {
    let mut nodes = Vec::new();
    for _ in 0..count {
        nodes.push(SaveNode::start().await);
    }
    let members: Vec<String> = nodes
        .iter()
        .enumerate()
        .map(|(i, node)| stubs::member(&format!("s-{i}"), node.address, "ready"))
        .collect();
    let discovery = Discovery::start(&members.join(","));
    (nodes, discovery)
}
