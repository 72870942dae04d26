//! The messages that other tasks send to the driver, the answers they get, and the clock that timestamps
//! them. This module depends on none of the tasks that send.

use crate::download::Download;
use crate::forward::{AttemptResult, ForwardedRequest, ResponseHead, ServedBody};
use hyper::header::HeaderValue;
use starlinghill_decision::api::*;
use starlinghill_settings::members::MemberList;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// Sends input to the driver.
pub type DriverSender = mpsc::Sender<Input>;

/// The final answer to a request.
pub enum Answer {
    /// A backend's response. The head is `None` where the client gets a head of the gateway's own.
    Served(ServedBody, Option<Box<ResponseHead>>),
    /// Refused. The request never ran or may run twice, so a retry is harmless; the time is how long to wait
    /// before it.
    Refused(Option<Micros>),
    /// Failed. The request may have run.
    Failed,
}

/// A client's request, as it enters the driver.
pub struct NewRequest {
    /// The request as the decision module sees it. Its id is unique within this process and independent of
    /// the client's own id.
    pub arrival: Arrival,
    /// The request to send to backends.
    pub forward: ForwardedRequest,
    /// Receives the final answer.
    pub reply: oneshot::Sender<Answer>,
}

/// A message to the driver.
pub enum Input {
    /// A new request.
    Request(Box<NewRequest>),
    /// The client closed its connection before its request was answered.
    ClientGone(RequestId),
    /// A list of backends, complete or of changes only, from discovery.
    Members(MemberList),
    /// Single entries of backends, from a source that sends no lists.
    Backends(ListScope, Vec<BackendListing>),
    /// The counter moved to this address.
    CounterMoved(Option<SocketAddr>),
    /// A message from the gateway with this number.
    PeerMessage(u32, Vec<u8>),
    /// The socket to the other gateways is open.
    PeersReachable(Rc<dyn PeerSender>),
    /// New rules for requests and attempts that start from now on.
    Rules(Rules),
    /// Whether this gateway hears no other gateway. The others may then use its shares of quotas.
    Isolated(bool),
    /// How much work each zone gets from now on, by zone name.
    Zones(Vec<(String, ZoneShare)>),
    /// The gateway shuts down: every open request must be answered by this time.
    Shutdown(Micros),
    /// An operator takes a backend out of service or puts it back.
    Maintenance {
        /// The id of the backend.
        id: String,
        /// True to take the backend out of service, false to put it back.
        out: bool,
        /// Receives the result.
        reply: oneshot::Sender<MaintenanceResult>,
    },
    /// A counter call ended: the name of the count, the number of the call, and the result.
    CounterAnswered(CountName, u64, CounterResult),
    /// An attempt's response has started and is streamed to the client: request, index of the attempt,
    /// backend, response body and head, and the time until the response started.
    ResponseStarted(RequestId, usize, ServerId, Box<Download>, Option<Box<ResponseHead>>, Micros),
    /// The last byte of a streamed request body arrived.
    UploadComplete(RequestId),
    /// A streamed response from this backend broke off.
    ResponseBroken(ServerId),
    /// An attempt ended: request, index of the attempt, backend, result, and how long the attempt was in
    /// flight.
    AttemptEnded(RequestId, usize, ServerId, AttemptResult, Micros),
}

/// One entry of a source that sends single backends instead of lists.
pub struct BackendListing {
    /// The entry for the decision module.
    pub entry: ServerEntry,
    /// The address on which it accepts connections.
    pub address: SocketAddr,
    /// The backend's own name, which requests to it carry.
    pub name: HeaderValue,
}

impl From<MemberList> for Input {
    fn from(list: MemberList) -> Input {
        Input::Members(list)
    }
}

/// The clock of the decision module, in Unix time, which all gateways share. It never goes back.
#[derive(Clone, Copy)]
pub struct Clock {
    base: Micros,
    start: Instant,
}

impl Clock {
    /// Reads the system clock once and advances with the monotonic clock from then on.
    #[expect(
        clippy::disallowed_methods,
        reason = "servers' starts and windows of counts are told in Unix time"
    )]
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { base: Micros(unix.as_micros() as u64), start: Instant::now() }
    }
    /// A clock that shows `base` now, for a process that gets the common time from elsewhere.
    pub fn starting_at(base: Micros) -> Clock {
        Clock { base, start: Instant::now() }
    }
    /// The current time.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }
    /// The time that this clock shows at an instant.
    pub fn at(&self, instant: Instant) -> Micros {
        self.base + Micros(instant.saturating_duration_since(self.start).as_micros() as u64)
    }
    pub(crate) fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros((at - self.base).0)
    }
}

/// Sends messages to other gateways.
pub trait PeerSender {
    /// Sends a message to the gateway with this number if the socket can take it now. Messages may be lost.
    fn send(&self, to: u32, message: &[u8]);
}

/// The result of a maintenance order. Log lines print the variants' names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MaintenanceResult {
    /// The order is in force, and saved where processes share a folder.
    Done,
    /// No backend has this id.
    Unknown,
    /// There is no list of backends yet to check the id against.
    NotReady,
    /// The order could not be saved and is not in force; the text is the reason.
    NotKept(String),
}

/// The result of one counter call.
#[derive(Debug, Clone, PartialEq)]
pub struct CounterResult {
    /// How the call ended.
    pub outcome: Outcome,
    /// The count after this call; 0 unless the outcome is `Ok`.
    pub total: f64,
    /// The share of the quota that this gateway may use while the counter is silent, where the counter sends
    /// one.
    pub share: Option<f64>,
    /// The servers with the shortest expected response times, where the counter names any.
    pub fastest_servers: Vec<(ServerId, Micros)>,
}

impl From<Outcome> for CounterResult {
    fn from(outcome: Outcome) -> CounterResult {
        CounterResult { outcome, total: 0.0, share: None, fastest_servers: Vec::new() }
    }
}
