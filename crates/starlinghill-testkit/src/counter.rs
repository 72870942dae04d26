//! A shared quota counter for tests: an HTTP service of limited capacity whose faults a test controls. It can refuse
//! connections, stall, slow down, reject calls, corrupt answers, lose its totals or go back to older ones, or be two
//! counters that diverge and are merged again. Every counted call is kept in a record, so that a test can compare what
//! was counted with what the counter says.

use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{watch, Mutex as AsyncMutex};
use tokio::task::JoinHandle;

/// The longest time for which a total is kept, whatever the call asks for.
const MAX_TTL: Duration = Duration::from_secs(60);

/// How the counter answers calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mode {
    /// Counts each call and answers with the new total.
    Normal,
    /// Refuses new connections and drops the open ones.
    Refuse,
    /// Counts calls, but answers them only when this mode ends.
    Stall,
    /// Takes this many times the normal time for each call.
    Slow(f64),
    /// Answers 503 and counts nothing.
    Unavailable,
    /// Counts each call, but every n-th answer of a partition holds no number.
    CorruptAnswers(u64),
}

/// The totals of a counter by name, each with the time at which it expires.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Totals {
    names: BTreeMap<String, (f64, Instant)>,
}

impl Totals {
    fn add(&mut self, now: Instant, name: &str, amount: f64, ttl: Duration) -> f64 {
        self.names.retain(|_, (_, expires)| *expires > now);
        let entry = self.names.entry(name.to_string()).or_insert((0.0, now + ttl.min(MAX_TTL)));
        entry.0 += amount;
        entry.0
    }

    /// The total of a name; 0 if it is unknown.
    pub fn total(&self, name: &str) -> f64 {
        self.names.get(name).map_or(0.0, |(total, _)| *total)
    }

    /// Merges the totals of two counters that diverged from `before`: what either added since then counts once.
    pub fn merged(&self, other: &Totals, before: &Totals) -> Totals {
        let mut merged = self.clone();
        for (name, (total, expires)) in &other.names {
            let entry = merged.names.entry(name.clone()).or_insert((0.0, *expires));
            entry.0 += total - before.total(name);
        }
        merged
    }
}

/// One call that was counted.
#[derive(Debug, Clone, PartialEq)]
pub struct Counted {
    /// The name under which it was counted.
    pub name: String,
    /// The amount that it added.
    pub amount: f64,
    /// When it was counted.
    pub at: Instant,
}

struct Shared {
    mode: watch::Sender<Mode>,
    /// Shared by two counters of one cluster; the outer lock guards which totals this counter uses.
    totals: Mutex<Arc<Mutex<Totals>>>,
    counted: Mutex<Vec<Counted>>,
    /// Calls counted by each partition. A partition's lock is held while it works on a call.
    partitions: Vec<AsyncMutex<u64>>,
    time_per_call: Duration,
}

/// A running counter. Dropping it stops the service.
pub struct Counter {
    /// The address that it listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Shared {
    fn totals(&self) -> Arc<Mutex<Totals>> {
        locked(&self.totals).clone()
    }
}

fn locked<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().expect("no thread panicked under the lock")
}

impl Counter {
    /// Starts a counter without totals. Each of its partitions works on one call at a time and takes `time_per_call`
    /// for it; a name always belongs to the same partition.
    pub async fn start(partitions: usize, time_per_call: Duration) -> Counter {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let (mode, _) = watch::channel(Mode::Normal);
        let partitions = (0..partitions.max(1)).map(|_| AsyncMutex::new(0)).collect();
        let shared = Arc::new(Shared {
            mode,
            totals: Mutex::default(),
            counted: Mutex::default(),
            partitions,
            time_per_call,
        });
        let task = tokio::spawn(run(listener, address, shared.clone()));
        Counter { address, shared, task }
    }

    /// Changes how calls are answered from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.shared.mode.send_replace(mode);
    }

    /// A copy of the present totals.
    pub fn snapshot(&self) -> Totals {
        locked(&self.shared.totals()).clone()
    }

    /// Replaces the totals, by empty, older or merged ones.
    pub fn replace(&self, totals: Totals) {
        *locked(&self.shared.totals()) = totals;
    }

    /// Gives up its own totals and shares those of another counter, so that a call to either counts at both.
    pub fn share_totals_of(&self, other: &Counter) {
        let totals = other.shared.totals();
        *locked(&self.shared.totals) = totals;
    }

    /// Stops sharing totals: it counts on its own from now on, starting from a copy of the shared ones.
    pub fn separate_totals(&self) {
        let own = Arc::new(Mutex::new(self.snapshot()));
        *locked(&self.shared.totals) = own;
    }

    /// All calls ever counted here, also those whose totals were replaced or whose answers were lost.
    pub fn counted_calls(&self) -> Vec<Counted> {
        locked(&self.shared.counted).clone()
    }
}

impl Drop for Counter {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(listener: TcpListener, address: SocketAddr, shared: Arc<Shared>) {
    let mut listener = Some(listener);
    let mut mode = shared.mode.subscribe();
    let mut connections = tokio::task::JoinSet::new();
    loop {
        if *mode.borrow_and_update() == Mode::Refuse {
            // Closes the port and all connections until the mode changes.
            listener = None;
            connections.shutdown().await;
            if mode.wait_for(|mode| *mode != Mode::Refuse).await.is_err() {
                return;
            }
        }
        let open = match listener.take() {
            Some(open) => open,
            None => match TcpListener::bind(address).await {
                Ok(open) => open,
                Err(_) => {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                    continue;
                }
            },
        };
        tokio::select! {
            accepted = open.accept() => if let Ok((stream, _)) = accepted {
                let shared = shared.clone();
                connections.spawn(async move {
                    let service = service_fn(|request| {
                        let shared = shared.clone();
                        async move { Ok::<_, Infallible>(answer(&shared, &request).await) }
                    });
                    let _ = http1::Builder::new().pipeline_flush(true).serve_connection(TokioIo::new(stream), service).await;
                });
            },
            _ = mode.changed() => {}
        }
        listener = Some(open);
    }
}

fn text_response(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

/// Reads the name, amount and time to live from `/v1/count/NAME?add=AMOUNT&ttl_ms=MS`; `None` if the call is invalid.
fn parse_call<B>(request: &Request<B>) -> Option<(String, f64, Duration)> {
    let name = request.uri().path().strip_prefix("/v1/count/")?;
    let (mut amount, mut ttl) = (None, None);
    for pair in request.uri().query()?.split('&') {
        match pair.split_once('=')? {
            ("add", v) => amount = v.parse::<f64>().ok().filter(|a| a.abs() <= 1e9),
            ("ttl_ms", v) => ttl = v.parse().ok().filter(|ms| *ms >= 1).map(Duration::from_millis),
            _ => {}
        }
    }
    if !(1..=64).contains(&name.len()) {
        return None;
    }
    Some((name.to_string(), amount?, ttl?))
}

async fn answer<B>(shared: &Shared, request: &Request<B>) -> Response<Full<Bytes>> {
    let Some((name, amount, ttl)) = parse_call(request) else {
        return text_response(StatusCode::NOT_FOUND, "no such call".into());
    };
    let mode = *shared.mode.borrow();
    if mode == Mode::Unavailable {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, String::new());
    }
    let hash = name.bytes().fold(0_usize, |h, b| h.wrapping_mul(31).wrapping_add(b.into()));
    let mut calls = shared.partitions[hash % shared.partitions.len()].lock().await;
    *calls += 1;
    let call_number = *calls;
    let slowdown = if let Mode::Slow(factor) = mode { factor } else { 1.0 };
    tokio::time::sleep(shared.time_per_call.mul_f64(slowdown)).await;
    let now = Instant::now();
    let total = locked(&shared.totals()).add(now, &name, amount, ttl);
    locked(&shared.counted).push(Counted { name, amount, at: now });
    drop(calls);
    if mode == Mode::Stall {
        // Fails only when the counter is dropped; the answer doesn't matter then.
        let _ = shared.mode.subscribe().wait_for(|mode| *mode != Mode::Stall).await;
    }
    match mode {
        Mode::CorruptAnswers(every) if call_number % every.max(1) == 0 => {
            text_response(StatusCode::OK, "\u{1}?".into())
        }
        _ => text_response(StatusCode::OK, total.to_string()),
    }
}
