//! Attempts at backends: a pool of connections, and the outcome of each attempt by what was written.

use crate::backend_protocol::{BackendProtocol, ResponseVerdict};
use crate::download::{Download, GiveBack};
use crate::forward::{Ended, Forward, Head, Payload, Served};
use crate::http::{CallError, Connection};
use crate::idle::{Memory, Reuse};
use crate::upload::{MAX_BODY, MAX_PASSING};
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

/// How often connections at rest are looked at, besides when one stirs.
const RETIRE_EVERY: Duration = Duration::from_secs(1);
/// Connections at rest that end together, as when their backend does, are looked at together.
const TOGETHER: Duration = Duration::from_millis(5);

/// How long the beginning of an answer of unknown length is held back, so that a short one is whole and one that breaks off
/// early can be tried elsewhere.
const HELD_BACK: Duration = Duration::from_millis(300);

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
    /// What it calls itself, where it is to be told whom a request is for.
    pub name: Option<HeaderValue>,
    /// Cleared when the list says that it drains or is gone.
    pub open: Cell<bool>,
    /// How soon it forgets connections at rest.
    memory: Rc<Memory>,
}

/// A connection at rest.
struct Resting {
    connection: Connection,
    /// What its end would tell of its backend.
    memory: Rc<Memory>,
}

/// How many connections there were, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// New ones.
    pub opened: u64,
    /// Of these, made although one was at rest, which had rested too long for what may run once.
    pub passed_over: u64,
    /// Sends on one that was kept.
    pub reused: u64,
    /// Kept ones that ended under a request.
    pub broke: u64,
    /// Kept ones that ended at rest.
    pub died: u64,
}

/// Wakes who watches the connections at rest.
#[derive(Default)]
struct Stir(Notify);

impl Wake for Stir {
    fn wake(self: Arc<Self>) {
        self.0.notify_one();
    }
}

/// The connections to all backends.
pub struct Pool {
    idle: RefCell<HashMap<u64, Vec<Resting>>>,
    backends: Cell<u64>,
    places: Arc<Semaphore>,
    dial_timeout: Duration,
    longest_idle: Duration,
    dialect: Rc<dyn BackendProtocol>,
    stir: Arc<Stir>,
    counts: Cell<ConnectionCounts>,
}

impl Pool {
    /// A pool that holds at most so many connections, those in use included.
    pub fn new(
        connections: usize,
        dial_timeout: Duration,
        conn_idle: Duration,
        dialect: Rc<dyn BackendProtocol>,
    ) -> Pool {
        Pool {
            idle: RefCell::default(),
            backends: Cell::new(0),
            places: Arc::new(Semaphore::new(connections)),
            dial_timeout,
            // Guards against writing to a connection that its backend is about to close: half the time is left.
            longest_idle: conn_idle / 2,
            dialect,
            stir: Arc::default(),
            counts: Cell::default(),
        }
    }

    /// A backend that takes work.
    pub fn backend(&self, address: SocketAddr, up_since_ms: u64, name: Option<HeaderValue>) -> Backend {
        let serial = self.backends.replace(self.backends.get() + 1);
        Backend { serial, address, up_since_ms, name, open: Cell::new(true), memory: Rc::default() }
    }

    /// How many connections there were.
    pub fn counts(&self) -> ConnectionCounts {
        self.counts.get()
    }

    fn count(&self, note: impl FnOnce(&mut ConnectionCounts)) {
        let mut counts = self.counts.get();
        note(&mut counts);
        self.counts.set(counts);
    }

    /// The connection used last is taken first, so that those not needed age and are retired; but what may be repeated
    /// leaves the young ones to what may not.
    fn take(&self, backend: &Backend, reuse: Reuse) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let stack = idle.get_mut(&backend.serial)?;
        let settled = |c: &Connection| c.idle_since.elapsed() >= SETTLE;
        let surely = |c: &Connection| c.idle_since.elapsed() < backend.memory.surely(c.kept_for);
        loop {
            let last = stack.iter().rposition(|r| settled(&r.connection))?;
            let place = match reuse {
                Reuse::Any => last,
                Reuse::Repeatable => stack.iter().rposition(|r| !surely(&r.connection)).unwrap_or(last),
                Reuse::Once if surely(&stack[last].connection) => last,
                Reuse::Once => {
                    self.count(|counts| counts.passed_over += 1);
                    return None;
                }
            };
            let mut connection = stack.remove(place).connection;
            if !self.is_young(&connection) {
                continue;
            }
            if connection.is_usable_now() {
                self.count(|counts| counts.reused += 1);
                return Some(connection);
            }
            self.died(&backend.memory, &connection);
        }
    }

    fn died(&self, memory: &Memory, connection: &Connection) {
        memory.died(connection.idle_since.elapsed());
        self.count(|counts| counts.died += 1);
    }

    /// Half of the time that the backend keeps it, as it said itself, is left.
    fn is_young(&self, connection: &Connection) -> bool {
        let longest = connection.kept_for.map_or(self.longest_idle, |kept| self.longest_idle.min(kept / 2));
        connection.idle_since.elapsed() < longest
    }

    pub(crate) fn give_back(&self, backend: &Backend, mut connection: Connection) {
        let waker = self.stir.clone().into();
        if backend.open.get() && connection.rests(&mut Context::from_waker(&waker)) {
            connection.idle_since = Instant::now();
            let resting = Resting { connection, memory: backend.memory.clone() };
            self.idle.borrow_mut().entry(backend.serial).or_default().push(resting);
        }
    }

    /// Closes idle connections that are old or were closed by the other side.
    pub fn retire(&self) {
        let waker = self.stir.clone().into();
        let mut cx = Context::from_waker(&waker);
        self.idle.borrow_mut().retain(|_, stack| {
            stack.retain_mut(|resting| {
                let connection = &mut resting.connection;
                if !self.is_young(connection) {
                    return false;
                }
                let rests = connection.rests(&mut cx);
                if !rests {
                    self.died(&resting.memory, connection);
                }
                rests
            });
            !stack.is_empty()
        });
    }

    /// Watches connections at rest for ever, so that the end of one is known at once, and how long it had rested.
    pub async fn watch(&self) {
        let mut pace = interval(RETIRE_EVERY);
        pace.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = pace.tick() => {}
                () = self.stir.0.notified() => {}
            }
            self.retire();
            sleep(TOGETHER).await;
        }
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
        self: &Rc<Self>,
        backend: &Rc<Backend>,
        request: &Forward,
        until: Instant,
        called_off: oneshot::Receiver<()>,
    ) -> Ended {
        // Guards the limit on descriptors: an attempt without a place was never sent.
        let Ok(place) = self.places.clone().try_acquire_owned() else { return Outcome::Moot.into() };
        while self.held() > self.places.available_permits() {
            self.evict();
        }
        let wrote = Cell::new(false);
        tokio::select! {
            biased;
            _ = called_off => Outcome::Cancelled.into(),
            () = request.over(until) => match wrote.get() {
                true => Outcome::Timeout.into(),
                false => Outcome::ConnectFailed.into(),
            },
            ended = self.exchange(backend, request, until, &wrote, place) => ended,
        }
    }

    async fn exchange(
        self: &Rc<Self>,
        backend: &Rc<Backend>,
        request: &Forward,
        until: Instant,
        wrote: &Cell<bool>,
        place: OwnedSemaphorePermit,
    ) -> Ended {
        // What can go out once must not meet a kept connection that has just been closed.
        let once = matches!(request.body, Payload::Passing { .. });
        loop {
            let kept = if once { None } else { self.take(backend, request.reuse) };
            // How long it had rested, and how long its backend said that it keeps it.
            let rested = kept.as_ref().map(|kept| (kept.idle_since.elapsed(), kept.kept_for));
            let mut connection = match kept {
                Some(connection) => connection,
                None => match timeout(self.dial_timeout, Connection::open(backend.address)).await {
                    Ok(Ok(connection)) => {
                        self.count(|counts| counts.opened += 1);
                        connection
                    }
                    Ok(Err(e)) => {
                        let refused = e.kind() == std::io::ErrorKind::ConnectionRefused;
                        return Ended { refused, ..Outcome::ConnectFailed.into() };
                    }
                    Err(_) => return Outcome::ConnectFailed.into(),
                },
            };
            // Guards against sending to a backend that began to drain while the connection came up.
            if !backend.open.get() {
                return Outcome::Moot.into();
            }
            let Some(message) = request.request(until, &*self.dialect, backend) else {
                return Outcome::Moot.into();
            };
            // From here on the attempt may have run, for all that a caller who stops waiting can know.
            wrote.set(true);
            match connection.begin(message, MAX_PASSING).await {
                Ok(response) => {
                    rested.into_iter().for_each(|(rested, told)| backend.memory.served(rested, told));
                    let (head, body) = response.into_parts();
                    let reading = self.dialect.classify(&request.headers, &head);
                    if !reading.matches_request {
                        return Outcome::Reset.into();
                    }
                    let head = Head { status: head.status, headers: head.headers };
                    return self.answer(backend, reading, head, body, connection, place).await;
                }
                Err(error) => {
                    if let Some((rested, _)) = rested {
                        backend.memory.died(rested);
                        self.count(|counts| counts.broke += 1);
                    }
                    match error {
                        // Guards against a pooled connection that was closed just before it was written to.
                        CallError::NotSent if rested.is_some() => wrote.set(false),
                        CallError::NotSent => return Outcome::ConnectFailed.into(),
                        CallError::Broken => return Outcome::Reset.into(),
                    }
                }
            }
        }
    }

    /// Reads an answer's body: whole where it is short and comes soon, else its first part.
    async fn answer(
        self: &Rc<Self>,
        backend: &Rc<Backend>,
        ResponseVerdict { outcome, keep_body, keep_head, .. }: ResponseVerdict,
        mut head: Head,
        mut body: Incoming,
        mut connection: Connection,
        place: OwnedSemaphorePermit,
    ) -> Ended {
        let length = body.size_hint().exact();
        let head = keep_head.then(|| {
            strip_hop_by_hop(&mut head.headers);
            Box::new(head)
        });
        let (mut held, mut size) = (VecDeque::new(), 0);
        let soon = sleep(HELD_BACK);
        tokio::pin!(soon);
        loop {
            let passing =
                size > MAX_BODY || size > 0 && length.is_some_and(|length| length > MAX_BODY as u64);
            if outcome == Outcome::Ok && (passing || soon.is_elapsed() && size > 0) {
                let (pool, own) = (self.clone(), backend.clone());
                let give_back: GiveBack = Box::new(move |connection| pool.give_back(&own, connection));
                let download = Download::new(held, body, connection, length, give_back, place);
                let body = Some(Served::Passing(Box::new(download)));
                return Ended { outcome, body, head, refused: false };
            }
            let frame = tokio::select! {
                biased;
                frame = connection.frame(&mut body) => frame,
                () = &mut soon, if !soon.is_elapsed() => continue,
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    size += bytes.len();
                    // Nobody reads an error's body, which may be as long as it likes.
                    if keep_body && (outcome == Outcome::Ok || size <= MAX_BODY) {
                        held.push_back(bytes);
                    } else if size > MAX_BODY {
                        return outcome.into();
                    }
                }
                Some(Err(_)) => return Outcome::Reset.into(),
                None => break,
            }
        }
        self.give_back(backend, connection);
        match keep_body {
            true => Ended { body: Some(Served::Whole(joined(held, size))), head, ..outcome.into() },
            false => outcome.into(),
        }
    }
}

/// The parts of a body as one.
pub(crate) fn joined(mut parts: VecDeque<Bytes>, size: usize) -> Bytes {
    if parts.len() == 1 {
        return parts.pop_front().unwrap_or_default();
    }
    let mut whole = BytesMut::with_capacity(size);
    parts.iter().for_each(|part| whole.extend_from_slice(part));
    whole.freeze()
}
