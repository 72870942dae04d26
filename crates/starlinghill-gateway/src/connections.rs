//! The open connections of clients: their state, the time limits that close them, and the limit on their
//! number.

use crate::request_head::RequestHead;
use crate::upload::UploadObserver;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

/// How long a client may take to send a request's head and the first byte of its body, counted from the
/// opening of the connection, or from the previous answer on a connection that is being closed. Clients may
/// need 2 s, and a client that sends nothing must be closed within 3 s.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Longest pause between two parts of a request body.
pub(crate) const BODY_STALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Lowest average rate of a request body, in bytes per second. Clients may send as slowly as 64 kB/s.
pub(crate) const MIN_BODY_BYTES_PER_S: u64 = 40_000;
/// How long a client may read nothing of its response before its connection is aborted.
pub(crate) const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection may be without an open request.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// A connection that has been quiet for this long may be closed to make room for a newer one. Normal clients
/// send at once.
pub(crate) const QUIET_TIME: Duration = Duration::from_millis(250);
/// Pause after a failed accept, which fails at once while file descriptors are short, and between two
/// searches for a connection that can be closed.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The state of a client's connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The connection is new, or a request is incomplete.
    Receiving,
    /// A complete request waits for its answer.
    Busy,
    /// A response is being streamed to the client.
    Streaming,
    /// No request is open.
    Idle,
}

/// The state of a client's connection, shared between the task that serves it and the code that may close it.
pub struct ConnectionHandle {
    pub(crate) phase: Cell<Phase>,
    /// When the phase began, the client last read a part of its response, or the close was requested.
    pub(crate) since: Cell<Instant>,
    /// Bytes received of the current request body.
    pub(crate) body_bytes: Cell<u64>,
    /// Since when the gateway has been waiting for the client to send more of the body.
    pub(crate) waiting_since: Cell<Option<Instant>>,
    /// The bytes of the current request's head.
    pub head: Rc<RequestHead>,
    /// The connection closes after the current answer.
    pub(crate) closing: Cell<bool>,
    /// The connection closes at once.
    pub(crate) aborted: Cell<bool>,
    /// Wakes the task that serves the connection when it must close.
    pub(crate) notify: Notify,
}

impl ConnectionHandle {
    pub(crate) fn new() -> ConnectionHandle {
        let (phase, since) = (Cell::new(Phase::Receiving), Cell::new(Instant::now()));
        let (body_bytes, waiting_since, head) =
            (Cell::new(0), Cell::new(None), Rc::new(RequestHead::default()));
        let (closing, aborted, notify) = (Cell::new(false), Cell::new(false), Notify::new());
        ConnectionHandle { phase, since, body_bytes, waiting_since, head, closing, aborted, notify }
    }
    /// Notes that the client took a part of a streamed response.
    pub(crate) fn mark_streaming(&self) {
        self.phase.set(Phase::Streaming);
        self.since.set(Instant::now());
    }
    pub(crate) fn mark_idle(&self) {
        self.set_phase(Phase::Idle);
    }
    /// Whether the request that is being received exceeds a time limit.
    pub(crate) fn is_too_slow(&self) -> bool {
        if self.phase.get() != Phase::Receiving {
            return false;
        }
        let allowed =
            Duration::from_millis(self.body_bytes.get().saturating_mul(1000) / MIN_BODY_BYTES_PER_S);
        // Time in which the backend does not take the body is not counted against the client.
        let too_slow = |waiting: Instant| {
            waiting.elapsed() > BODY_STALL_TIMEOUT || self.since.get().elapsed() > REQUEST_TIMEOUT + allowed
        };
        match self.waiting_since.get() {
            Some(since) => too_slow(since),
            None => self.body_bytes.get() == 0 && self.since.get().elapsed() > REQUEST_TIMEOUT,
        }
    }
    /// Enters a state. Entering the current state again does not restart its time, so the time of a first
    /// request counts from the opening of the connection.
    pub(crate) fn set_phase(&self, phase: Phase) {
        if self.phase.replace(phase) != phase {
            self.since.set(Instant::now());
        }
    }
    pub(crate) fn close(&self) {
        if !self.closing.replace(true) {
            self.since.set(Instant::now());
            self.notify.notify_one();
        }
    }
    pub(crate) fn abort(&self) {
        self.aborted.set(true);
        self.notify.notify_one();
    }
    pub(crate) fn in_phase_longer_than(&self, phase: Phase, limit: Duration) -> bool {
        self.phase.get() == phase && self.since.get().elapsed() > limit
    }
}

/// The open connections of clients, limited in number.
pub(crate) struct ClientConnections {
    pub(crate) open: RefCell<HashMap<u64, Rc<ConnectionHandle>>>,
    pub(crate) limit: usize,
    /// Notified when a connection has ended.
    pub(crate) ended: Notify,
}

impl ClientConnections {
    pub(crate) fn all(&self) -> Vec<Rc<ConnectionHandle>> {
        self.open.borrow().values().cloned().collect()
    }

    /// Closes connections over their time limits: clients that send nothing or half a request, or do not read
    /// their answer.
    pub(crate) fn sweep(&self) {
        for connection in self.open.borrow().values() {
            let stalled = connection.closing.get()
                && connection.in_phase_longer_than(Phase::Idle, REQUEST_TIMEOUT)
                || connection.in_phase_longer_than(Phase::Streaming, RESPONSE_STALL_TIMEOUT);
            if connection.is_too_slow() || stalled {
                connection.abort();
            } else if connection.in_phase_longer_than(Phase::Idle, IDLE_TIMEOUT) {
                connection.close();
            }
        }
        self.close_excess_idle();
    }

    /// Closes the connections idle longest while more than half of the limit is in use. Otherwise clients
    /// that keep connections for good could fill the limit, and new ones could not get in. Where more clients
    /// than the limit allows return after a pause, each pays for a new connection.
    /// The same limits floods and many clients that send a single request each.
    pub(crate) fn close_excess_idle(&self) {
        let mut idle = self.all();
        idle.retain(|connection| {
            !connection.closing.get() && connection.in_phase_longer_than(Phase::Idle, QUIET_TIME)
        });
        idle.sort_by_key(|connection| connection.since.get());
        let excess = self.open.borrow().len().saturating_sub(self.limit / 2);
        idle.iter().take(excess).for_each(|connection| connection.close());
    }

    /// Waits until one more connection is allowed. Closes the new connection silent longest, or else the one
    /// idle longest, so that clients that keep connections for good do not shut out others.
    pub(crate) async fn wait_for_place(&self) {
        while self.open.borrow().len() >= self.limit {
            let mut connections = self.all();
            connections.retain(|connection| !connection.closing.get());
            let longest = |phase, over| {
                connections
                    .iter()
                    .filter(|connection| connection.in_phase_longer_than(phase, over))
                    .min_by_key(|connection| connection.since.get())
            };
            let victim =
                longest(Phase::Receiving, QUIET_TIME).or_else(|| longest(Phase::Idle, Duration::ZERO));
            victim.into_iter().for_each(|connection| connection.close());
            // The chosen connection may have received a request in the meantime, so search again after a
            // pause.
            let _ = timeout(ACCEPT_PAUSE, self.ended.notified()).await;
        }
    }
}

impl UploadObserver for ConnectionHandle {
    fn received(&self, bytes: usize) {
        self.body_bytes.set(self.body_bytes.get() + bytes as u64);
    }
    fn waiting_for_client(&self, waiting: bool) {
        let since = self.waiting_since.get().unwrap_or_else(Instant::now);
        self.waiting_since.set(waiting.then_some(since));
    }
    fn complete(&self) {
        self.set_phase(Phase::Busy);
    }
}
