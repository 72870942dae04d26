//! The shared counter: calls over a few connections, each made once, their answers told as they come.

use crate::http::{CallError, Connection};
use crate::inbox::CounterResult;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{header, Method, Request, StatusCode};
use starlinghill_decision::api::{CountName, Micros, Outcome, ServerId, ServiceId};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::{timeout, Instant};
use tracing::warn;

/// An idle connection is closed after this; the counter closes it after 10 s or less.
const LONGEST_IDLE: Duration = Duration::from_secs(4);

/// A call that is under way.
pub type CounterCall = Pin<Box<dyn Future<Output = CounterResult>>>;

/// A way to the counter, wherever that is.
pub trait CounterTransport {
    /// Makes one call; it ends by itself.
    fn count(self: Rc<Self>, name: CountName, amount: f64, life: Micros) -> CounterCall;
    /// Draws from a store that the counter keeps; it ends by itself. The platform's counter keeps none.
    fn draw(self: Rc<Self>, _: CountName, _units: f64, _: (ServiceId, Micros)) -> CounterCall {
        Box::pin(async { Outcome::Moot.into() })
    }
    /// Units of such a store were used without a word of the counter's; fewer than none where drawn ones were not used.
    fn charge(&self, _: CountName, _units: f64) {}
    /// An attempt went out to a server.
    fn attempt_sent(&self, _: ServerId) {}
    /// It came back, after that time.
    fn attempt_ended(&self, _: ServerId, _: Outcome, _took: Micros) {}
    /// Where the counter is, where it is at an address.
    fn address(&self) -> Option<SocketAddr> {
        None
    }
}

impl CounterTransport for Counter {
    fn count(self: Rc<Self>, name: CountName, amount: f64, life: Micros) -> CounterCall {
        Box::pin(async move { self.add(name, amount, life).await })
    }
    fn address(&self) -> Option<SocketAddr> {
        Some(self.address)
    }
}

/// The way to the platform's counter.
pub struct Counter {
    address: SocketAddr,
    timeout: Duration,
    idle: RefCell<Vec<Connection>>,
    lines: Semaphore,
}

impl Counter {
    /// Calls go over at most so many connections and are given up after `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration, connections: usize) -> Counter {
        Counter { address, timeout, idle: RefCell::default(), lines: Semaphore::new(connections) }
    }

    /// Makes one call. An unanswered one closes its connection, so that a late answer meets no later call.
    pub async fn add(&self, name: CountName, amount: f64, life: Micros) -> CounterResult {
        let wrote = Cell::new(false);
        match timeout(self.timeout, self.exchange(name, amount, life, &wrote)).await {
            Ok(counted) => counted,
            Err(_) if wrote.get() => Outcome::Timeout.into(),
            Err(_) => Outcome::ConnectFailed.into(),
        }
    }

    async fn exchange(
        &self,
        name: CountName,
        amount: f64,
        life: Micros,
        wrote: &Cell<bool>,
    ) -> CounterResult {
        // The semaphore is never closed.
        let Ok(_line) = self.lines.acquire().await else { return Outcome::Moot.into() };
        loop {
            let (mut connection, reused) = match self.take() {
                Some(connection) => (connection, true),
                None => match Connection::open(self.address).await {
                    Ok(connection) => (connection, false),
                    Err(_) => return Outcome::ConnectFailed.into(),
                },
            };
            wrote.set(true);
            match connection.call(self.request(name, amount, life)).await {
                Ok(response) => {
                    let counted = reading(response.status(), response.body());
                    // Guards against waiting on a connection whose answers can't be read any more.
                    if counted.outcome != Outcome::Error && connection.is_usable() {
                        connection.idle_since = Instant::now();
                        self.idle.borrow_mut().push(connection);
                    }
                    return counted;
                }
                Err(CallError::NotSent) if reused => wrote.set(false),
                Err(CallError::NotSent) => return Outcome::ConnectFailed.into(),
                Err(CallError::Broken) => return Outcome::Reset.into(),
            }
        }
    }

    fn take(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(mut connection) = idle.pop() {
            if connection.idle_since.elapsed() < LONGEST_IDLE && connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    fn request(&self, name: CountName, amount: f64, life: Micros) -> Request<Full<Bytes>> {
        let life_ms = (life.0 / 1000).max(1);
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.method_mut() = Method::POST;
        // Digits and signs alone: always a valid URI.
        if let Ok(uri) = format!("/v1/count/{}?add={amount}&ttl_ms={life_ms}", name.0).parse() {
            *request.uri_mut() = uri;
        }
        if let Ok(host) = self.address.to_string().parse() {
            request.headers_mut().insert(header::HOST, host);
        }
        request
    }
}

fn reading(status: StatusCode, body: &Bytes) -> CounterResult {
    match status {
        StatusCode::OK => {
            let text = std::str::from_utf8(body).unwrap_or("").trim();
            match text.parse::<f64>() {
                Ok(total) if total.is_finite() => CounterResult { total, ..Outcome::Ok.into() },
                _ => {
                    warn!("the counter answered 200 without a number");
                    Outcome::Error.into()
                }
            }
        }
        StatusCode::SERVICE_UNAVAILABLE => Outcome::Full.into(),
        // No such call: nothing was added.
        StatusCode::BAD_REQUEST | StatusCode::NOT_FOUND => Outcome::Moot.into(),
        status => {
            warn!(%status, "the counter answered what it should not");
            Outcome::Error.into()
        }
    }
}

/// The calls that are out, by name, in the order in which they were made. Their answers come over several connections, so
/// in any order, and each is told at once: a slow one holds back none. What their totals say of one another is for the
/// module to judge.
#[derive(Default)]
pub struct Calls {
    serial: u64,
    out: HashMap<CountName, VecDeque<u64>>,
}

impl Calls {
    /// Notes a call and gives the number by which its answer is told.
    pub fn made(&mut self, name: CountName) -> u64 {
        self.serial += 1;
        self.out.entry(name).or_default().push_back(self.serial);
        self.serial
    }

    /// Takes an answer; returns the call's place among those out for its name, once.
    pub fn answered(&mut self, name: CountName, serial: u64) -> Option<usize> {
        let queue = self.out.get_mut(&name)?;
        let nth = queue.iter().position(|call| *call == serial)?;
        queue.remove(nth);
        if queue.is_empty() {
            self.out.remove(&name);
        }
        Some(nth)
    }
}
