//! What passes to and from the driver: inputs, answers, the clock they are told by. It knows none of those who speak
//! through it, so that each of them can stand beside the others.

use crate::download::Download;
use crate::forward::{Ended, Forward, Head, Served};
use hyper::header::HeaderValue;
use starlinghill_decision::api::*;
use starlinghill_settings::members::MemberList;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// The way to the driver.
pub type DriverSender = mpsc::Sender<Input>;

/// The final answer to a client.
pub enum Answer {
    /// A backend's answer, with its head where that is the client's as well.
    Served(Served, Option<Box<Head>>),
    /// Refused: trying again is harmless, best after this time.
    Refused(Option<Micros>),
    /// Failed, with no promise.
    Failed,
}

/// A request that a client has sent whole.
pub struct Taken {
    /// What the module is told of it. Its id is new, whatever the client called it.
    pub arrival: Arrival,
    /// What goes on to backends.
    pub forward: Forward,
    /// Where the answer goes.
    pub reply: oneshot::Sender<Answer>,
}

/// What the driver hears.
pub enum Input {
    /// A request.
    Taken(Box<Taken>),
    /// The client of a request closed its connection.
    Gone(RequestId),
    /// News of the backends.
    Members(MemberList),
    /// News of the backends, where no list but entries come.
    Backends(ListScope, Vec<BackendListing>),
    /// The counter is somewhere else.
    Counter(Option<SocketAddr>),
    /// A message from another gateway, by its number.
    Peer(u32, Vec<u8>),
    /// Other gateways can be reached from now on.
    Post(Rc<dyn PeerSender>),
    /// New rules for what comes from now on.
    Rules(Rules),
    /// Whether this gateway hears nobody, so that others may use its shares.
    Isolated(bool),
    /// The parts that zones get from now on, by name.
    Zones(Vec<(String, ZonePart)>),
    /// All that is open must have its answer by then.
    Shutdown(Micros),
    /// Staff take a backend out, or call it back.
    Order {
        /// Its id.
        id: String,
        /// Out, or back.
        out: bool,
        /// What came of it.
        reply: oneshot::Sender<Ordered>,
    },
    /// A call to the counter ended.
    Counted(CountName, u64, CounterResult),
    /// An attempt's answer has begun and goes on: its request, number and backend, and how long it took to begin.
    Began(RequestId, usize, ServerId, Box<Download>, Option<Box<Head>>, Micros),
    /// The last byte came of a request whose body is passed on.
    Whole(RequestId),
    /// An answer that had begun broke off at this backend.
    Broke(ServerId),
    /// An attempt ended: its request, number and backend, how, and how long it was out.
    Ended(RequestId, usize, ServerId, Ended, Micros),
}

/// A backend as it is listed.
pub struct BackendListing {
    /// What the module is told.
    pub entry: ServerEntry,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it calls itself.
    pub name: HeaderValue,
}

impl From<MemberList> for Input {
    fn from(list: MemberList) -> Input {
        Input::Members(list)
    }
}

/// The clock of the module: Unix time, which all gateways share, but never going back.
#[derive(Clone, Copy)]
pub struct Clock {
    base: Micros,
    start: Instant,
}

impl Clock {
    /// Reads the system's clock once; from then on the monotonic one counts.
    #[expect(
        clippy::disallowed_methods,
        reason = "servers' starts and windows of counts are told in Unix time"
    )]
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { base: Micros(unix.as_micros() as u64), start: Instant::now() }
    }
    /// One that shows that time now, for a process that is told elsewhere what others have in common.
    pub fn starting_at(base: Micros) -> Clock {
        Clock { base, start: Instant::now() }
    }
    /// Now.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }
    /// The time on this clock.
    pub fn at(&self, instant: Instant) -> Micros {
        self.base + Micros(instant.saturating_duration_since(self.start).as_micros() as u64)
    }
    pub(crate) fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros((at - self.base).0)
    }
}

/// A way to the other gateways.
pub trait PeerSender {
    /// Sends a message, if it can go now: it may be lost anyway.
    fn send(&self, to: u32, message: &[u8]);
}

/// What came of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ordered {
    /// It is in force, and kept where processes share a folder.
    Done,
    /// Nobody has a backend of that id.
    Unknown,
    /// There is no list yet by which to tell.
    NotReady,
    /// It could not be kept, and is not in force.
    NotKept(String),
}

/// How one call ended, and the total where it was answered.
#[derive(Debug, Clone, PartialEq)]
pub struct CounterResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The total after this call.
    pub total: f64,
    /// This gateway's share of what it counts, for when the counter is silent, where it tells that.
    pub share: Option<f64>,
    /// The servers that answer soonest, and in what time, where the counter names any.
    pub fastest_servers: Vec<(ServerId, Micros)>,
}

impl From<Outcome> for CounterResult {
    fn from(outcome: Outcome) -> CounterResult {
        CounterResult { outcome, total: 0.0, share: None, fastest_servers: Vec::new() }
    }
}
