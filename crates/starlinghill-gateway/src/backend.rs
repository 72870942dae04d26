//! Attempts at backends: a pool of connections, and the outcome of each attempt by what was written.

use crate::http::{CallError, Connection};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use starlinghill_decision::api::Outcome;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{oneshot, Semaphore};
use tokio::time::{sleep_until, timeout, Instant};

/// How long the client waits; to a backend: how long this gateway does.
pub const BUDGET: HeaderName = HeaderName::from_static("x-budget-ms");
const REJECTED: HeaderName = HeaderName::from_static("x-rejected");

/// A client's request as it goes on to backends.
#[derive(Debug)]
pub struct Forward {
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Its headers, without those that hold for the client's connection alone.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl Forward {
    fn request(&self, until: Instant) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let left = until.saturating_duration_since(Instant::now()).as_millis() as u64;
        request.headers_mut().insert(BUDGET, HeaderValue::from(left));
        request
    }
}

/// Removes what holds for one connection alone; framing is the next connection's own.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    const NAMES: [HeaderName; 7] = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::TRANSFER_ENCODING,
        header::TE,
        header::TRAILER,
        header::UPGRADE,
        header::EXPECT,
    ];
    NAMES.iter().for_each(|name| drop(headers.remove(name)));
    headers.remove("keep-alive");
}

/// The pause after an answer before its connection is used again. Guards against bytes right behind an answer
/// that come after the look at the socket and would pass for the answer to the next request.
const SETTLE: Duration = Duration::from_millis(5);

/// One backend as the list has it now. Guards against giving a connection to who stands at the same address
/// later: connections are this backend's alone, by its number.
#[derive(Debug)]
pub struct Backend {
    /// The pool's number for it.
    serial: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// When it last started, as told; a change means that old connections are dead.
    pub up_since_ms: u64,
    /// Cleared when the list says that it drains or is gone.
    pub open: Cell<bool>,
}

/// How an attempt ended, with the body where it was served.
#[derive(Debug)]
pub struct Ended {
    /// The outcome.
    pub outcome: Outcome,
    /// A 200's body.
    pub body: Option<Bytes>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Ended {
        Ended { outcome, body: None }
    }
}

/// The connections to all backends.
pub struct Pool {
    idle: RefCell<HashMap<u64, Vec<Connection>>>,
    backends: Cell<u64>,
    places: Semaphore,
    dial_timeout: Duration,
    longest_idle: Duration,
}

impl Pool {
    /// A pool that holds at most so many connections, those in use included.
    pub fn new(connections: usize, dial_timeout: Duration, conn_idle: Duration) -> Pool {
        // Guards against writing to a connection that its backend is about to close: half the time is left.
        let longest_idle = conn_idle / 2;
        let (idle, backends, places) = (RefCell::default(), Cell::new(0), Semaphore::new(connections));
        Pool { idle, backends, places, dial_timeout, longest_idle }
    }

    /// A backend that takes work.
    pub fn backend(&self, address: SocketAddr, up_since_ms: u64) -> Backend {
        let serial = self.backends.replace(self.backends.get() + 1);
        Backend { serial, address, up_since_ms, open: Cell::new(true) }
    }

    /// The connection used last is taken first, so that those not needed age and are retired.
    fn take(&self, backend: &Backend) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let stack = idle.get_mut(&backend.serial)?;
        while let Some(settled) = stack.iter().rposition(|c| c.idle_since.elapsed() >= SETTLE) {
            let mut connection = stack.remove(settled);
            if connection.idle_since.elapsed() < self.longest_idle && connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    fn give_back(&self, backend: &Backend, mut connection: Connection) {
        if backend.open.get() && connection.is_usable() {
            connection.idle_since = Instant::now();
            self.idle.borrow_mut().entry(backend.serial).or_default().push(connection);
        }
    }

    /// Closes idle connections that are old or were closed by the other side.
    pub fn retire(&self) {
        self.idle.borrow_mut().retain(|_, stack| {
            stack.retain_mut(|c| c.idle_since.elapsed() < self.longest_idle && c.is_usable());
            !stack.is_empty()
        });
    }

    /// Ends a backend that moved, restarted, drains or is gone: it gets nothing new, also of what still waits
    /// for a connection, and its idle connections are closed.
    pub fn close(&self, backend: &Backend) {
        backend.open.set(false);
        self.idle.borrow_mut().remove(&backend.serial);
    }

    /// Closes one idle connection to make room for another.
    fn evict(&self) {
        let mut idle = self.idle.borrow_mut();
        if let Some(stack) = idle.values_mut().filter(|s| !s.is_empty()).max_by_key(|s| s.len()) {
            stack.remove(0);
        }
    }

    fn held(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Makes one attempt and returns how it ended, its connection closed or back in the pool. It ends by
    /// `until`, or when called off.
    pub async fn attempt(
        &self,
        backend: &Backend,
        request: &Forward,
        until: Instant,
        called_off: oneshot::Receiver<()>,
    ) -> Ended {
        // Guards the limit on descriptors: an attempt without a place was never sent.
        let Ok(_place) = self.places.try_acquire() else { return Outcome::Moot.into() };
        while self.held() > self.places.available_permits() {
            self.evict();
        }
        let wrote = Cell::new(false);
        tokio::select! {
            biased;
            _ = called_off => Outcome::Cancelled.into(),
            () = sleep_until(until) => match wrote.get() {
                true => Outcome::Timeout.into(),
                false => Outcome::ConnectFailed.into(),
            },
            ended = self.exchange(backend, request, until, &wrote) => ended,
        }
    }

    async fn exchange(
        &self,
        backend: &Backend,
        request: &Forward,
        until: Instant,
        wrote: &Cell<bool>,
    ) -> Ended {
        loop {
            let (mut connection, reused) = match self.take(backend) {
                Some(connection) => (connection, true),
                None => match timeout(self.dial_timeout, Connection::open(backend.address)).await {
                    Ok(Ok(connection)) => (connection, false),
                    _ => return Outcome::ConnectFailed.into(),
                },
            };
            // Guards against sending to a backend that began to drain while the connection came up.
            if !backend.open.get() {
                return Outcome::Moot.into();
            }
            // From here on the attempt may have run, for all that a caller who stops waiting can know.
            wrote.set(true);
            match connection.call(request.request(until)).await {
                Ok(response) => {
                    self.give_back(backend, connection);
                    return outcome_of(response);
                }
                // Guards against a pooled connection that was closed just before it was written to.
                Err(CallError::NotSent) if reused => wrote.set(false),
                Err(CallError::NotSent) => return Outcome::ConnectFailed.into(),
                Err(CallError::Broken) => return Outcome::Reset.into(),
            }
        }
    }
}

/// What an answer says. Guards against taking a bare 503 or 504 for a turn-away: only the header proves that
/// the request never ran.
fn outcome_of(response: Response<Bytes>) -> Ended {
    let rejected = response.headers().get(REJECTED).is_some_and(|v| v.as_bytes() == b"1");
    match response.status() {
        StatusCode::OK => Ended { outcome: Outcome::Ok, body: Some(response.into_body()) },
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if rejected => Outcome::Full.into(),
        _ => Outcome::Error.into(),
    }
}
