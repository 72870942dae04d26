//! Save nodes: they answer at once, or fail, and note when whose request came.

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
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// What a node saw of one sender.
#[derive(Debug, Clone, Copy)]
pub struct Seen {
    /// Requests.
    pub requests: u64,
    /// When the last one came.
    pub last: Instant,
}

/// One attempt that came in.
#[derive(Debug, Clone, PartialEq)]
pub struct Came {
    /// The request's path and query.
    pub target: String,
    /// Its `X-Call-Id`.
    pub call: String,
    /// When.
    pub at: Instant,
}

/// A save node. It ends when dropped.
pub struct SaveNode {
    /// Where it listens.
    pub address: SocketAddr,
    seen: Arc<Mutex<BTreeMap<String, Seen>>>,
    came: Arc<Mutex<Vec<Came>>>,
    fails: Arc<AtomicBool>,
    takes_ms: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl SaveNode {
    /// Starts one on a free port.
    pub async fn start() -> SaveNode {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let (seen, fails) = (Arc::<Mutex<BTreeMap<String, Seen>>>::default(), Arc::<AtomicBool>::default());
        let (came, takes_ms) = (Arc::<Mutex<Vec<Came>>>::default(), Arc::<AtomicU64>::default());
        let (log, bad, list, time) = (seen.clone(), fails.clone(), came.clone(), takes_ms.clone());
        let task = tokio::spawn(async move {
            // What it serves ends with it.
            let mut served = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let (log, bad, list, time) = (log.clone(), bad.clone(), list.clone(), time.clone());
                let service = service_fn(move |request: Request<hyper::body::Incoming>| {
                    let from = request.headers().get("x-from").and_then(|v| v.to_str().ok());
                    let from = from.unwrap_or("nobody").to_string();
                    let now = Instant::now();
                    if let Some(call) = request.headers().get("x-call-id").and_then(|v| v.to_str().ok()) {
                        let (target, call) = (request.uri().to_string(), call.to_string());
                        list.lock().expect("whole").push(Came { target, call, at: now });
                    }
                    let mut log = log.lock().expect("whole");
                    let seen = log.entry(from).or_insert(Seen { requests: 0, last: now });
                    (seen.requests, seen.last) = (seen.requests + 1, now);
                    let mut response = Response::new(Full::new(Bytes::from_static(b"ok")));
                    if bad.load(Ordering::Relaxed) {
                        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                    }
                    let takes = Duration::from_millis(time.load(Ordering::Relaxed));
                    async move {
                        if !takes.is_zero() {
                            tokio::time::sleep(takes).await;
                        }
                        Ok::<_, Infallible>(response)
                    }
                });
                served.spawn(async move {
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        SaveNode { address, seen, came, fails, takes_ms, task }
    }

    /// What it saw, by sender.
    pub fn seen(&self) -> BTreeMap<String, Seen> {
        self.seen.lock().expect("whole").clone()
    }

    /// All attempts that came in so far, in order.
    pub fn came(&self) -> Vec<Came> {
        self.came.lock().expect("whole").clone()
    }

    /// All requests so far.
    pub fn requests(&self) -> u64 {
        self.seen.lock().expect("whole").values().map(|s| s.requests).sum()
    }

    /// From now on it takes so long over each answer.
    pub fn takes(&self, ms: u64) {
        self.takes_ms.store(ms, Ordering::Relaxed);
    }

    /// From now on it answers 500, or no longer.
    pub fn fail(&self, fails: bool) {
        self.fails.store(fails, Ordering::Relaxed);
    }
}

impl Drop for SaveNode {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Save nodes `s-0`, `s-1`..., and discovery that lists them.
pub async fn listed(n: usize) -> (Vec<SaveNode>, Discovery) {
    let mut nodes = Vec::new();
    for _ in 0..n {
        nodes.push(SaveNode::start().await);
    }
    let named = nodes.iter().enumerate();
    let members: Vec<String> =
        named.map(|(i, node)| stubs::member(&format!("s-{i}"), node.address, "ready")).collect();
    let discovery = Discovery::start(&members.join(","));
    (nodes, discovery)
}
