//! Calls to the shared counter over a few connections. Each call is made once.

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

/// Idle connections are closed after this; the counter closes its side after 10 s or less.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// A counter call in flight.
pub type CounterCall = Pin<Box<dyn Future<Output = CounterResult>>>;

/// A connection to a counter of some kind.
pub trait CounterTransport {
    /// Adds `amount` to a count that is kept for `life`. The call has its own time limit.
    fn count(self: Rc<Self>, name: CountName, amount: f64, life: Micros) -> CounterCall;
    /// Draws units from a quota that the counter keeps, for a service and within a time. The call has its own
    /// time limit. The platform's counter keeps no such quotas.
    fn draw(self: Rc<Self>, _: CountName, _units: f64, _: (ServiceId, Micros)) -> CounterCall {
        Box::pin(async { Outcome::NotSent.into() })
    }
    /// Reports units that were used without asking the counter; negative for units drawn but not used.
    fn charge(&self, _: CountName, _units: f64) {}
    /// An attempt was sent to a server.
    fn attempt_sent(&self, _: ServerId) {}
    /// An attempt at a server ended after that time.
    fn attempt_ended(&self, _: ServerId, _: Outcome, _took: Micros) {}
    /// The counter's address, where it has one.
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

/// A client of the platform's counter.
pub struct Counter {
    address: SocketAddr,
    timeout: Duration,
    idle: RefCell<Vec<Connection>>,
    permits: Semaphore,
}

impl Counter {
    /// Calls use at most `connections` connections and are given up after `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration, connections: usize) -> Counter {
        Counter { address, timeout, idle: RefCell::default(), permits: Semaphore::new(connections) }
    }

    /// Makes one call. A call without a response closes its connection, so that a late response can't pass
    /// for that to a later call.
    pub async fn add(&self, name: CountName, amount: f64, life: Micros) -> CounterResult {
        let wrote = Cell::new(false);
        match timeout(self.timeout, self.exchange(name, amount, life, &wrote)).await {
            Ok(result) => result,
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
        // The semaphore is never closed, so this does not fail.
        let Ok(_permit) = self.permits.acquire().await else { return Outcome::NotSent.into() };
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
                    let result = parse_response(response.status(), response.body());
                    // A connection whose response could not be parsed is closed.
                    if result.outcome != Outcome::Error && connection.is_usable() {
                        connection.idle_since = Instant::now();
                        self.idle.borrow_mut().push(connection);
                    }
                    return result;
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
            if connection.idle_since.elapsed() < IDLE_TIMEOUT && connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    fn request(&self, name: CountName, amount: f64, life: Micros) -> Request<Full<Bytes>> {
        let life_ms = (life.0 / 1000).max(1);
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.method_mut() = Method::POST;
        // Digits and signs only, so this is always a valid URI.
        if let Ok(uri) = format!("/v1/count/{}?add={amount}&ttl_ms={life_ms}", name.0).parse() {
            *request.uri_mut() = uri;
        }
        if let Ok(host) = self.address.to_string().parse() {
            request.headers_mut().insert(header::HOST, host);
        }
        request
    }
}

fn parse_response(status: StatusCode, body: &Bytes) -> CounterResult {
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
        StatusCode::SERVICE_UNAVAILABLE => Outcome::Rejected.into(),
        // The counter rejected the call, so nothing was added.
        StatusCode::BAD_REQUEST | StatusCode::NOT_FOUND => Outcome::NotSent.into(),
        status => {
            warn!(%status, "the counter answered with an unexpected status");
            Outcome::Error.into()
        }
    }
}

/// The counter calls in flight, by count, in the order in which they were made. Their answers come over
/// several connections in any order and are passed on at once, so that a slow call delays no other. The
/// decision module compares their totals.
#[derive(Default)]
pub struct PendingCalls {
    serial: u64,
    in_flight: HashMap<CountName, VecDeque<u64>>,
}

impl PendingCalls {
    /// Records a new call and returns its number.
    pub fn start(&mut self, name: CountName) -> u64 {
        self.serial += 1;
        self.in_flight.entry(name).or_default().push_back(self.serial);
        self.serial
    }

    /// Removes a call that ended. Returns its position among the calls in flight for its count, or `None` if
    /// it had ended before.
    pub fn finish(&mut self, name: CountName, serial: u64) -> Option<usize> {
        let queue = self.in_flight.get_mut(&name)?;
        let position = queue.iter().position(|call| *call == serial)?;
        queue.remove(position);
        if queue.is_empty() {
            self.in_flight.remove(&name);
        }
        Some(position)
    }
}
