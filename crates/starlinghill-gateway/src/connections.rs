//! Clients' connections as those see them who may close them, a bounded number.

use crate::request_head::Head;
use crate::upload::Follower;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

/// A request's head, and a first byte of its body, must have come so long after its connection was opened, or after the
/// answer before it on a connection that is being closed. Clients may need 2 s; 3 s are owed to who sends none.
pub(crate) const RECEIVE_TIME: Duration = Duration::from_millis(2500);
/// A body that comes must bring something more in this time,
pub(crate) const BODY_STALL: Duration = Duration::from_millis(1500);
/// and so many bytes a second on the whole; clients may send 64 kB.
pub(crate) const BODY_RATE: u64 = 40_000;
/// A client that reads nothing of its answer for so long is not waited for.
pub(crate) const READ_STALL: Duration = Duration::from_secs(10);
/// A connection is closed when no request was open on it for so long.
pub(crate) const LONGEST_IDLE: Duration = Duration::from_secs(15);
/// A new connection on which nothing came for so long gives way to newer ones; usual clients send at once.
pub(crate) const SILENT: Duration = Duration::from_millis(250);
/// The pause after an accept that failed, which it does at once while descriptors are short, and between two
/// looks for a connection that could give way.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What a client's connection is at.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It is new, or a request's head has come, but no request whole.
    Receiving,
    /// A request was taken and is not answered.
    Busy,
    /// Its answer is on its way.
    Passing,
    /// Between requests.
    Idle,
}

/// A client's connection as those see it who may close it.
pub struct ConnectionHandle {
    pub(crate) phase: Cell<Phase>,
    pub(crate) since: Cell<Instant>,
    /// Of the body that is being received: how many bytes came, and since when its client is waited for.
    pub(crate) came: Cell<u64>,
    pub(crate) waits_since: Cell<Option<Instant>>,
    /// What the present head said of its body's length.
    pub head: Rc<Head>,
    /// It is to end with the answer to what it is at.
    pub(crate) closing: Cell<bool>,
    /// It is to end at once.
    pub(crate) cut: Cell<bool>,
    pub(crate) told: Notify,
}

impl ConnectionHandle {
    pub(crate) fn new() -> ConnectionHandle {
        let (phase, since) = (Cell::new(Phase::Receiving), Cell::new(Instant::now()));
        let (came, waits_since, head) = (Cell::new(0), Cell::new(None), Rc::new(Head::default()));
        let (closing, cut, told) = (Cell::new(false), Cell::new(false), Notify::new());
        ConnectionHandle { phase, since, came, waits_since, head, closing, cut, told }
    }
    /// Its answer moves.
    pub(crate) fn passes(&self) {
        self.phase.set(Phase::Passing);
        self.since.set(Instant::now());
    }
    /// It is between requests.
    pub(crate) fn is_between(&self) {
        self.turn(Phase::Idle);
    }
    /// What is being received takes too long, or comes to a halt.
    pub(crate) fn dawdles(&self) -> bool {
        if self.phase.get() != Phase::Receiving {
            return false;
        }
        let allowed = Duration::from_millis(self.came.get().saturating_mul(1000) / BODY_RATE);
        // What waits for a backend to take it in is not the client's fault.
        let waits = |since: Instant| {
            since.elapsed() > BODY_STALL || self.since.get().elapsed() > RECEIVE_TIME + allowed
        };
        match self.waits_since.get() {
            Some(since) => waits(since),
            None => self.came.get() == 0 && self.since.get().elapsed() > RECEIVE_TIME,
        }
    }
    /// A first request's time runs from the opening.
    pub(crate) fn turn(&self, phase: Phase) {
        if self.phase.replace(phase) != phase {
            self.since.set(Instant::now());
        }
    }
    pub(crate) fn close(&self) {
        if !self.closing.replace(true) {
            self.since.set(Instant::now());
            self.told.notify_one();
        }
    }
    pub(crate) fn cut(&self) {
        self.cut.set(true);
        self.told.notify_one();
    }
    pub(crate) fn is(&self, phase: Phase, longer_than: Duration) -> bool {
        self.phase.get() == phase && self.since.get().elapsed() > longer_than
    }
}

/// The open connections of clients, a bounded number.
pub(crate) struct Lines {
    pub(crate) open: RefCell<HashMap<u64, Rc<ConnectionHandle>>>,
    pub(crate) most: usize,
    /// One has ended.
    pub(crate) ended: Notify,
}

impl Lines {
    pub(crate) fn all(&self) -> Vec<Rc<ConnectionHandle>> {
        self.open.borrow().values().cloned().collect()
    }

    /// Closes what takes too long. Guards against clients that keep a connection and say nothing, send half a
    /// request, or do not read their answer.
    pub(crate) fn sweep(&self) {
        for line in self.open.borrow().values() {
            let unread = line.closing.get() && line.is(Phase::Idle, RECEIVE_TIME)
                || line.is(Phase::Passing, READ_STALL);
            if line.dawdles() || unread {
                line.cut();
            } else if line.is(Phase::Idle, LONGEST_IDLE) {
                line.close();
            }
        }
        self.thin_out();
    }

    /// Closes those idle longest while more than half of the places are taken. Guards against clients that are
    /// held to a number of connections of their own, which those kept for good fill, so that nothing new comes
    /// in; covers floods and crowds that ask once as well. May hurt where more clients than places come back
    /// after a pause: each then pays for a new connection.
    pub(crate) fn thin_out(&self) {
        let mut idle = self.all();
        idle.retain(|line| !line.closing.get() && line.is(Phase::Idle, SILENT));
        idle.sort_by_key(|line| line.since.get());
        let excess = self.open.borrow().len().saturating_sub(self.most / 2);
        idle.iter().take(excess).for_each(|line| line.close());
    }

    /// Waits for a place for one more connection. Guards against clients that keep theirs for good and so
    /// shut others out: the one silent longest gives way, else the one idle longest.
    pub(crate) async fn place(&self) {
        while self.open.borrow().len() >= self.most {
            let mut lines = self.all();
            lines.retain(|line| !line.closing.get());
            let longest =
                |phase, over| lines.iter().filter(|l| l.is(phase, over)).min_by_key(|l| l.since.get());
            let gives = longest(Phase::Receiving, SILENT).or_else(|| longest(Phase::Idle, Duration::ZERO));
            gives.into_iter().for_each(|line| line.close());
            // It may have been one that has a request after all: look again then.
            let _ = timeout(ACCEPT_PAUSE, self.ended.notified()).await;
        }
    }
}

impl Follower for ConnectionHandle {
    fn came(&self, bytes: usize) {
        self.came.set(self.came.get() + bytes as u64);
    }
    fn waits(&self, for_client: bool) {
        let since = self.waits_since.get().unwrap_or_else(Instant::now);
        self.waits_since.set(for_client.then_some(since));
    }
    fn whole(&self) {
        self.turn(Phase::Busy);
    }
}
