//! The shared counter as a service with a capacity, and everything that may happen to it: it can refuse, stall,
//! crawl, turn calls away, spoil answers, be replaced by an empty one or by an older copy of itself, or be two that
//! disagree and are merged again. What it counted is never lost to the test.

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
use tokio::sync::{watch, Mutex as Turn};
use tokio::task::JoinHandle;

/// The longest life of a name.
const LONGEST_LIFE: Duration = Duration::from_secs(60);

/// How the counter behaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mode {
    /// As it should.
    Sound,
    /// Connections are refused, and those that stand are reset.
    Refuse,
    /// Calls are taken and counted, and answered only when this is over.
    Stall,
    /// Each call takes so many times its time.
    Crawl(f64),
    /// Calls are turned away with 503; nothing is added.
    TurnAway,
    /// Every so many-th answer holds no number; its amount is added.
    Spoil(u64),
}

/// What it has counted, by name: totals, and when each is forgotten.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Totals {
    names: BTreeMap<String, (f64, Instant)>,
}

impl Totals {
    fn add(&mut self, now: Instant, name: &str, amount: f64, life: Duration) -> f64 {
        self.names.retain(|_, (_, until)| *until > now);
        let entry = self.names.entry(name.to_string()).or_insert((0.0, now + life.min(LONGEST_LIFE)));
        entry.0 += amount;
        entry.0
    }

    /// The total of a name; 0 where it is not known.
    pub fn of(&self, name: &str) -> f64 {
        self.names.get(name).map_or(0.0, |(total, _)| *total)
    }

    /// What two halves of a split counter hold together: what each added since `before` on top of that.
    pub fn merged(&self, other: &Totals, before: &Totals) -> Totals {
        let mut merged = self.clone();
        for (name, (total, until)) in &other.names {
            let entry = merged.names.entry(name.clone()).or_insert((0.0, *until));
            entry.0 += total - before.of(name);
        }
        merged
    }
}

/// One call that was counted.
#[derive(Debug, Clone, PartialEq)]
pub struct Counted {
    /// Its name.
    pub name: String,
    /// What it added.
    pub amount: f64,
    /// When.
    pub at: Instant,
}

struct Shared {
    mode: watch::Sender<Mode>,
    /// Two counters of one cluster hold the same; parted they do not.
    totals: Mutex<Arc<Mutex<Totals>>>,
    counted: Mutex<Vec<Counted>>,
    /// Calls wait for their part's turn.
    parts: Vec<Turn<u64>>,
    per_call: Duration,
}

/// A running counter. It ends when dropped.
pub struct Counter {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Shared {
    fn held(&self) -> Arc<Mutex<Totals>> {
        whole(&self.totals).clone()
    }
}

fn whole<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().expect("whole")
}

impl Counter {
    /// Starts an empty one of so many parts, of which each takes one call at a time and so long for it.
    pub async fn start(parts: usize, per_call: Duration) -> Counter {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let (mode, _) = watch::channel(Mode::Sound);
        let parts = (0..parts.max(1)).map(|_| Turn::new(0)).collect();
        let shared =
            Arc::new(Shared { mode, totals: Mutex::default(), counted: Mutex::default(), parts, per_call });
        let task = tokio::spawn(run(listener, address, shared.clone()));
        Counter { address, shared, task }
    }

    /// From now on it behaves so.
    pub fn set(&self, mode: Mode) {
        self.shared.mode.send_replace(mode);
    }

    /// A copy of what it holds now.
    pub fn copy(&self) -> Totals {
        whole(&self.shared.held()).clone()
    }

    /// From now on it holds this: nothing, an older copy, or two halves merged.
    pub fn replace(&self, totals: Totals) {
        *whole(&self.shared.held()) = totals;
    }

    /// From now on it holds what the other one holds, and each call to either counts at both.
    pub fn join(&self, other: &Counter) {
        let held = other.shared.held();
        *whole(&self.shared.totals) = held;
    }

    /// From now on it counts by itself, beginning with what it holds.
    pub fn part(&self) {
        let own = Arc::new(Mutex::new(self.copy()));
        *whole(&self.shared.totals) = own;
    }

    /// All that was ever counted here, whatever became of it.
    pub fn counted(&self) -> Vec<Counted> {
        whole(&self.shared.counted).clone()
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
    let mut served = tokio::task::JoinSet::new();
    loop {
        if *mode.borrow_and_update() == Mode::Refuse {
            // Neither the port nor what stands is there until it is back.
            listener = None;
            served.shutdown().await;
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
                served.spawn(async move {
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

fn plain(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

/// Name, amount and life of a call.
fn call<B>(request: &Request<B>) -> Option<(String, f64, Duration)> {
    let name = request.uri().path().strip_prefix("/v1/count/")?;
    let (mut amount, mut life) = (None, None);
    for pair in request.uri().query()?.split('&') {
        match pair.split_once('=')? {
            ("add", v) => amount = v.parse::<f64>().ok().filter(|a| a.abs() <= 1e9),
            ("ttl_ms", v) => life = v.parse().ok().filter(|ms| *ms >= 1).map(Duration::from_millis),
            _ => {}
        }
    }
    let fits = (1..=64).contains(&name.len());
    fits.then_some(())?;
    Some((name.to_string(), amount?, life?))
}

async fn answer<B>(shared: &Shared, request: &Request<B>) -> Response<Full<Bytes>> {
    let Some((name, amount, life)) = call(request) else {
        return plain(StatusCode::NOT_FOUND, "no such call".into());
    };
    let mode = *shared.mode.borrow();
    if mode == Mode::TurnAway {
        return plain(StatusCode::SERVICE_UNAVAILABLE, String::new());
    }
    let hash = name.bytes().fold(0_usize, |h, b| h.wrapping_mul(31).wrapping_add(b.into()));
    let mut turn = shared.parts[hash % shared.parts.len()].lock().await;
    *turn += 1;
    let nth = *turn;
    let slow = if let Mode::Crawl(times) = mode { times } else { 1.0 };
    tokio::time::sleep(shared.per_call.mul_f64(slow)).await;
    let now = Instant::now();
    let total = whole(&shared.held()).add(now, &name, amount, life);
    whole(&shared.counted).push(Counted { name, amount, at: now });
    drop(turn);
    if mode == Mode::Stall {
        // The sender lives as long as the counter.
        let _ = shared.mode.subscribe().wait_for(|mode| *mode != Mode::Stall).await;
    }
    match mode {
        Mode::Spoil(every) if nth % every.max(1) == 0 => plain(StatusCode::OK, "\u{1}?".into()),
        _ => plain(StatusCode::OK, total.to_string()),
    }
}
