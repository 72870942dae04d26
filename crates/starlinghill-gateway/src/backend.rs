//! Sends requests to backends over pooled connections. The outcome of an attempt depends on whether any of
//! the request was written.

use crate::backend_protocol::{BackendProtocol, ResponseVerdict};
use crate::download::{Download, GiveBack};
use crate::forward::{AttemptResult, ForwardedRequest, Payload, ResponseHead, ServedBody};
use crate::http::{CallError, Connection};
use crate::idle::{IdleHistory, Reuse};
use crate::upload::{MAX_BUFFERED_BYTES, MAX_STREAMED_BYTES};
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use starlinghill_decision::api::Outcome;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Wake};
use std::time::Duration;
use tokio::sync::{oneshot, Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{interval, sleep, timeout, Instant, MissedTickBehavior};

/// Removes the headers that apply to one connection only. The framing headers are set anew for the next
/// connection.
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

/// How long a connection rests after a response before it is used again. Bytes that a backend sends right
/// after a response could otherwise pass for the response to the next request.
const REUSE_DELAY: Duration = Duration::from_millis(5);

/// Interval between checks of idle connections; they are also checked when one of them receives something.
const RETIRE_INTERVAL: Duration = Duration::from_secs(1);
/// Idle connections that end together, as when their backend ends, are checked together after this pause.
const WATCH_PAUSE: Duration = Duration::from_millis(5);

/// How long the start of a response of unknown length is held back. A short response is complete by then, and
/// one that breaks off early can be retried at another backend.
const BUFFER_TIME: Duration = Duration::from_millis(300);

/// One backend as the list has it now. Its connections are pooled under its serial number, so that another
/// backend that later uses the same address gets none of them.
#[derive(Debug)]
pub struct Backend {
    /// A number that the pool gives to each backend.
    serial: u64,
    /// The address on which it accepts connections.
    pub address: SocketAddr,
    /// When it last started, in Unix milliseconds, as discovery reports it. A change means that its old
    /// connections are dead.
    pub up_since_ms: u64,
    /// The backend's own name, sent along where the protocol names the backend that a request is for.
    pub name: Option<HeaderValue>,
    /// False once the list says that the backend drains or is gone.
    pub open: Cell<bool>,
    /// How long this backend keeps idle connections, as far as it is known.
    history: Rc<IdleHistory>,
}

/// An idle connection in the pool.
struct IdleConnection {
    connection: Connection,
    /// The history of its backend, which is updated when the connection ends.
    history: Rc<IdleHistory>,
}

/// Counts of connections and their uses since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Connections opened.
    pub opened: u64,
    /// Connections opened although one was idle, because it had been idle too long for a request that must
    /// run at most once.
    pub passed_over: u64,
    /// Requests sent on a pooled connection.
    pub reused: u64,
    /// Pooled connections that ended while they carried a request.
    pub broke: u64,
    /// Pooled connections that ended while idle.
    pub died: u64,
}

/// Wakes the task that watches idle connections.
#[derive(Default)]
struct IdleWaker(Notify);

impl Wake for IdleWaker {
    fn wake(self: Arc<Self>) {
        self.0.notify_one();
    }
}

/// The connections to all backends, limited in number.
pub struct Pool {
    idle: RefCell<HashMap<u64, Vec<IdleConnection>>>,
    next_serial: Cell<u64>,
    permits: Arc<Semaphore>,
    dial_timeout: Duration,
    max_idle: Duration,
    protocol: Rc<dyn BackendProtocol>,
    idle_waker: Arc<IdleWaker>,
    counts: Cell<ConnectionCounts>,
}

impl Pool {
    /// Creates a pool of at most `max_connections`, including those in use. `dial_timeout` limits the opening
    /// of one; `conn_idle` is how long backends keep idle ones.
    pub fn new(
        max_connections: usize,
        dial_timeout: Duration,
        conn_idle: Duration,
        protocol: Rc<dyn BackendProtocol>,
    ) -> Pool {
        Pool {
            idle: RefCell::default(),
            next_serial: Cell::new(0),
            permits: Arc::new(Semaphore::new(max_connections)),
            dial_timeout,
            // Half the time is left unused, so that no request goes out on a connection that its backend is
            // about to close.
            max_idle: conn_idle / 2,
            protocol,
            idle_waker: Arc::default(),
            counts: Cell::default(),
        }
    }

    /// Registers a backend that accepts requests.
    pub fn backend(&self, address: SocketAddr, up_since_ms: u64, name: Option<HeaderValue>) -> Backend {
        let serial = self.next_serial.replace(self.next_serial.get() + 1);
        Backend { serial, address, up_since_ms, name, open: Cell::new(true), history: Rc::default() }
    }

    /// The counts since the start.
    pub fn counts(&self) -> ConnectionCounts {
        self.counts.get()
    }

    fn count(&self, change: impl FnOnce(&mut ConnectionCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// Takes an idle connection for a request. The one used last comes first, so that surplus ones grow old
    /// and are closed. A request that may be repeated takes an old one instead, and leaves the young ones to
    /// requests that may not.
    fn take(&self, backend: &Backend, reuse: Reuse) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let stack = idle.get_mut(&backend.serial)?;
        let settled = |c: &Connection| c.idle_since.elapsed() >= REUSE_DELAY;
        let is_safe = |c: &Connection| c.idle_since.elapsed() < backend.history.safe_idle_time(c.keep_alive);
        loop {
            let last = stack.iter().rposition(|r| settled(&r.connection))?;
            let index = match reuse {
                Reuse::Any => last,
                Reuse::Repeatable => stack.iter().rposition(|r| !is_safe(&r.connection)).unwrap_or(last),
                Reuse::Once if is_safe(&stack[last].connection) => last,
                Reuse::Once => {
                    self.count(|counts| counts.passed_over += 1);
                    return None;
                }
            };
            let mut connection = stack.remove(index).connection;
            if !self.is_young(&connection) {
                continue;
            }
            if connection.is_usable_now() {
                self.count(|counts| counts.reused += 1);
                return Some(connection);
            }
            self.record_idle_end(&backend.history, &connection);
        }
    }

    fn record_idle_end(&self, history: &IdleHistory, connection: &Connection) {
        history.closed_after(connection.idle_since.elapsed());
        self.count(|counts| counts.died += 1);
    }

    /// Whether the connection has been idle for less than half of the time that the backend keeps it, by its
    /// own word or by the configuration.
    fn is_young(&self, connection: &Connection) -> bool {
        let limit =
            connection.keep_alive.map_or(self.max_idle, |keep_alive| self.max_idle.min(keep_alive / 2));
        connection.idle_since.elapsed() < limit
    }

    pub(crate) fn give_back(&self, backend: &Backend, mut connection: Connection) {
        let waker = self.idle_waker.clone().into();
        if backend.open.get() && connection.is_idle(&mut Context::from_waker(&waker)) {
            connection.idle_since = Instant::now();
            let idle = IdleConnection { connection, history: backend.history.clone() };
            self.idle.borrow_mut().entry(backend.serial).or_default().push(idle);
        }
    }

    /// Closes idle connections that are too old or that the backend has closed.
    pub fn retire(&self) {
        let waker = self.idle_waker.clone().into();
        let mut cx = Context::from_waker(&waker);
        self.idle.borrow_mut().retain(|_, stack| {
            stack.retain_mut(|idle| {
                let connection = &mut idle.connection;
                if !self.is_young(connection) {
                    return false;
                }
                let is_idle = connection.is_idle(&mut cx);
                if !is_idle {
                    self.record_idle_end(&idle.history, connection);
                }
                is_idle
            });
            !stack.is_empty()
        });
    }

    /// Watches the idle connections forever, so that the end of one is noticed at once and its idle time is
    /// recorded.
    pub async fn watch(&self) {
        let mut timer = interval(RETIRE_INTERVAL);
        timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = timer.tick() => {}
                () = self.idle_waker.0.notified() => {}
            }
            self.retire();
            sleep(WATCH_PAUSE).await;
        }
    }

    /// Stops using a backend that moved, restarted, drains or is gone: requests that still wait for a
    /// connection to it are not sent, and its idle connections are closed.
    pub fn close(&self, backend: &Backend) {
        backend.open.set(false);
        self.idle.borrow_mut().remove(&backend.serial);
    }

    /// Closes one idle connection, of the backend that has the most, to make room for another.
    fn evict(&self) {
        let mut idle = self.idle.borrow_mut();
        if let Some(stack) = idle.values_mut().filter(|s| !s.is_empty()).max_by_key(|s| s.len()) {
            stack.remove(0);
        }
    }

    fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Makes one attempt and returns its result, with its connection closed or back in the pool. It ends by
    /// `until`, or when cancelled.
    pub async fn attempt(
        self: &Rc<Self>,
        backend: &Rc<Backend>,
        request: &ForwardedRequest,
        until: Instant,
        cancelled: oneshot::Receiver<()>,
    ) -> AttemptResult {
        // An attempt for which no connection is free is not sent.
        let Ok(permit) = self.permits.clone().try_acquire_owned() else { return Outcome::NotSent.into() };
        while self.idle_count() > self.permits.available_permits() {
            self.evict();
        }
        let wrote = Cell::new(false);
        tokio::select! {
            biased;
            _ = cancelled => Outcome::Cancelled.into(),
            () = request.wait_deadline(until) => match wrote.get() {
                true => Outcome::Timeout.into(),
                false => Outcome::ConnectFailed.into(),
            },
            ended = self.exchange(backend, request, until, &wrote, permit) => ended,
        }
    }

    async fn exchange(
        self: &Rc<Self>,
        backend: &Rc<Backend>,
        request: &ForwardedRequest,
        until: Instant,
        wrote: &Cell<bool>,
        permit: OwnedSemaphorePermit,
    ) -> AttemptResult {
        // A body that can be sent only once must not meet a pooled connection that has just been closed.
        let single_use = matches!(request.body, Payload::Streaming { .. });
        loop {
            let pooled = if single_use { None } else { self.take(backend, request.reuse) };
            // How long the connection was idle, and how long its backend says it keeps idle ones.
            let reused = pooled.as_ref().map(|pooled| (pooled.idle_since.elapsed(), pooled.keep_alive));
            let mut connection = match pooled {
                Some(connection) => connection,
                None => match timeout(self.dial_timeout, Connection::open(backend.address)).await {
                    Ok(Ok(connection)) => {
                        self.count(|counts| counts.opened += 1);
                        connection
                    }
                    Ok(Err(e)) => {
                        let refused = e.kind() == std::io::ErrorKind::ConnectionRefused;
                        return AttemptResult { refused, ..Outcome::ConnectFailed.into() };
                    }
                    Err(_) => return Outcome::ConnectFailed.into(),
                },
            };
            // The backend may have begun to drain while the connection was opened.
            if !backend.open.get() {
                return Outcome::NotSent.into();
            }
            let Some(message) = request.request(until, &*self.protocol, backend) else {
                return Outcome::NotSent.into();
            };
            // From here on the backend may have run the request, as far as a caller that stops waiting can
            // know.
            wrote.set(true);
            match connection.begin(message, MAX_STREAMED_BYTES).await {
                Ok(response) => {
                    reused.into_iter().for_each(|(idle_time, keep_alive)| {
                        backend.history.served_after(idle_time, keep_alive)
                    });
                    let (head, body) = response.into_parts();
                    let verdict = self.protocol.classify(&request.headers, &head);
                    if !verdict.matches_request {
                        return Outcome::Reset.into();
                    }
                    let head = ResponseHead { status: head.status, headers: head.headers };
                    return self.read_body(backend, verdict, head, body, connection, permit).await;
                }
                Err(error) => {
                    if let Some((idle_time, _)) = reused {
                        backend.history.closed_after(idle_time);
                        self.count(|counts| counts.broke += 1);
                    }
                    match error {
                        // The backend closed the pooled connection just before the request was written, so it
                        // is safe to use another one.
                        CallError::NotSent if reused.is_some() => wrote.set(false),
                        CallError::NotSent => return Outcome::ConnectFailed.into(),
                        CallError::Broken => return Outcome::Reset.into(),
                    }
                }
            }
        }
    }

    /// Reads the body of a response: all of it if it is short and comes soon, otherwise only the first part.
    async fn read_body(
        self: &Rc<Self>,
        backend: &Rc<Backend>,
        ResponseVerdict { outcome, keep_body, keep_head, .. }: ResponseVerdict,
        mut head: ResponseHead,
        mut body: Incoming,
        mut connection: Connection,
        permit: OwnedSemaphorePermit,
    ) -> AttemptResult {
        let length = body.size_hint().exact();
        let head = keep_head.then(|| {
            strip_hop_by_hop(&mut head.headers);
            Box::new(head)
        });
        let (mut parts, mut size) = (VecDeque::new(), 0);
        let buffer_time = sleep(BUFFER_TIME);
        tokio::pin!(buffer_time);
        loop {
            let too_long = size > MAX_BUFFERED_BYTES
                || size > 0 && length.is_some_and(|length| length > MAX_BUFFERED_BYTES as u64);
            if outcome == Outcome::Ok && (too_long || buffer_time.is_elapsed() && size > 0) {
                let (pool, backend) = (self.clone(), backend.clone());
                let give_back: GiveBack = Box::new(move |connection| pool.give_back(&backend, connection));
                let download = Download::new(parts, body, connection, length, give_back, permit);
                let body = Some(ServedBody::Streaming(Box::new(download)));
                return AttemptResult { outcome, body, head, refused: false };
            }
            let frame = tokio::select! {
                biased;
                frame = connection.frame(&mut body) => frame,
                () = &mut buffer_time, if !buffer_time.is_elapsed() => continue,
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    size += bytes.len();
                    // The body of an error that the client does not get is discarded, so a long one may end
                    // the read.
                    if keep_body && (outcome == Outcome::Ok || size <= MAX_BUFFERED_BYTES) {
                        parts.push_back(bytes);
                    } else if size > MAX_BUFFERED_BYTES {
                        return outcome.into();
                    }
                }
                Some(Err(_)) => return Outcome::Reset.into(),
                None => break,
            }
        }
        self.give_back(backend, connection);
        match keep_body {
            true => AttemptResult {
                body: Some(ServedBody::Buffered(joined(parts, size))),
                head,
                ..outcome.into()
            },
            false => outcome.into(),
        }
    }
}

/// Joins the parts of a body.
pub(crate) fn joined(mut parts: VecDeque<Bytes>, size: usize) -> Bytes {
    if parts.len() == 1 {
        return parts.pop_front().unwrap_or_default();
    }
    let mut body = BytesMut::with_capacity(size);
    parts.iter().for_each(|part| body.extend_from_slice(part));
    body.freeze()
}
