//! The interface of the decision module: events that a gateway reports and actions that it must carry out.
//!
//! Nothing here decides. Ids can only be compared; their numbers mean nothing. Times are [`Micros`]:
//! microseconds of the caller's clock, or a length of time in microseconds.

pub use starlinghill_rate_limit::{Allowance, Micros};

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}
id!(/// One request of a client; a repeat has another id.
    RequestId, u64);
id!(/// A customer, whose quota all gateways share.
    CustomerId, u64);
id!(/// A backend server; it has the same number at every gateway.
    ServerId, u64);
id!(/// An index in `Settings::classes`.
    ClassId, usize);
id!(/// An index in `Settings::plans`.
    PlanId, usize);
id!(/// A zone; numbers are assigned by the caller.
    ZoneId, u32);
id!(/// A group of servers that share which keys they have seen.
    CellId, u64);
id!(/// A service, whose servers can replace each other. Callers without services use the default for all.
    ServiceId, u32);
id!(/// The name of a count or token bucket at the counter.
    CountName, u64);
id!(/// A timer, chosen by the module.
    TimerId, u64);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat.
    Safe,
    /// Carries an idempotency key; the servers of one group drop a repeat within the window.
    Keyed,
    /// Must not run twice.
    Unsafe,
}

/// Which servers know the keys of earlier keyed requests, and so drop their repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time of the arrival earns the full worth.
    pub target: Micros,
    /// How long a client waits for an answer, with all attempts.
    pub deadline: Micros,
    /// Value of an answer in time, in any unit that all classes share. Requests of higher worth go first.
    pub worth: f64,
    /// The fraction of the worth that an answer after the target earns.
    pub late_worth: f64,
    /// Whether a request may run again.
    pub effect: Effect,
    /// The servers that drop repeats of keyed requests.
    pub group: Group,
    /// How long those servers remember a key.
    pub window: Micros,
    /// The answer is a stream.
    pub stream: bool,
}

/// A plan. Its quota limits each customer over all gateways together.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Rate of the quota in units a second; 0: no quota.
    pub rate: f64,
    /// The most units that the quota's token bucket holds.
    pub burst: f64,
    /// Most requests of a customer in flight at once; 0: no limit.
    pub open: f64,
    /// Multiplies the class's worth.
    pub price: f64,
    /// Fraction of the worth that requests beyond the quota earn.
    pub over_worth: f64,
    /// Fraction of the worth that is lost by sending a request beyond the quota.
    pub over_cost: f64,
    /// Rate of the hard ceiling in units a second; 0: no ceiling.
    pub ceiling_rate: f64,
    /// The most units that the ceiling's token bucket holds.
    pub ceiling_burst: f64,
    /// How many units that bucket may fall below zero.
    pub ceiling_slack: f64,
}

/// What a gateway knows from its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of gateways.
    pub gateways: u32,
    /// This gateway's number among them.
    pub me: u32,
    /// This gateway's zone.
    pub zone: ZoneId,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// The most attempts for one request.
    pub max_attempts: usize,
    /// Two attempts of one request may be in flight together.
    pub second_copies: bool,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Servers may be probed.
    pub probes: bool,
    /// Refusals may carry a retry-after.
    pub retry_after: bool,
    /// The longest retry-after that a client follows.
    pub max_retry_after: Micros,
    /// The counter service may be called.
    pub counter: bool,
    /// A call to the counter counts as unanswered after this time.
    pub count_timeout: Micros,
    /// Messages a second that a gateway accepts from other gateways; 0: gateways send none.
    pub peers_per_s: f64,
    /// Units of the largest request.
    pub most_units: f64,
    /// Changes of the server list come only after [`Action::Subscribe`].
    pub must_subscribe: bool,
    /// How long after its deadline a final answer still counts.
    pub answer_slack: Micros,
    /// The fraction of its capacity that a server has when it starts.
    pub cold_from: f64,
    /// Time from a server's start until it has its full capacity.
    pub cold: Micros,
    /// A cold server is overloaded by this multiple of its present capacity
    pub fall_multiple: f64,
    /// if that lasts this long.
    pub tip_after: Micros,
    /// The shortest gap between two calls of the module.
    pub tick: Micros,
    /// Budget of retries for each service; `None`: the module's own budget.
    pub retries: Option<RetryBudget>,
    /// The counter keeps each quota's token bucket itself: a request draws from it and hears what is left. If
    /// false, the counter adds up counts.
    pub counter_buckets: bool,
    /// With `counter_buckets`: what may be admitted beyond quotas while the counter does not answer.
    pub allowance: Allowance,
    /// How long a circuit breaker over the counter stays open before one request probes it; `None`: the
    /// module's own time.
    pub cooldown: Option<Micros>,
    /// Attempts are never given up before their request's deadline.
    pub wait_to_deadline: bool,
    /// Added to the module's clock to place the windows of counts, so that all gateways use the same windows.
    pub clock_offset: Micros,
}

/// A budget of retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries earned by each request.
    pub share: f64,
    /// The most retries saved up.
    pub saved: f64,
}

/// Whether a server takes new requests, by the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// It takes new requests.
    InService,
    /// It finishes the requests that it has.
    Draining,
    /// It was removed.
    Gone,
}

/// One entry of the server list.
#[derive(Clone, Debug)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Its service.
    pub service: ServiceId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub listed: Listed,
    /// Its capacity relative to the other servers.
    pub weight: f64,
    /// When it last started; `None`: long ago.
    pub started: Option<Micros>,
}

/// What a server list event contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only entries that changed.
    Changes,
    /// The complete list.
    Complete,
    /// Fetching the list or subscribing failed; the earlier list stays valid.
    Failed,
}

/// How an attempt, a probe or a call to the counter ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// An error was answered; the request may have run.
    Error,
    /// The server refused it before running it.
    Rejected,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection was made.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A server's load, as far as it reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests being handled.
    pub inflight: Option<f64>,
    /// Requests waiting.
    pub queue: Option<f64>,
    /// Fraction of its cores in use.
    pub busy: Option<f64>,
}

/// A request that arrived.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its service.
    pub service: ServiceId,
    /// The request's own limit on attempts, if below that of the settings; 0: none.
    pub max_attempts: usize,
    /// Its customer's plan.
    pub plan: PlanId,
    /// Its customer.
    pub customer: CustomerId,
    /// How many gateways this customer's requests come through.
    pub spread: u32,
    /// When the client gives up.
    pub deadline: Micros,
    /// Units that it takes from the quota.
    pub units: f64,
    /// Number of the first of the customer's gateways; the others have the numbers after it, wrapping around.
    pub first: u32,
    /// The client marked it as the repeat of a request that was refused, failed or given up.
    pub resent: bool,
    /// Its body is streamed to the server as it arrives, so only one attempt is possible.
    pub once: bool,
}

/// An attempt that ended.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// Index of the attempt in its request.
    pub attempt: usize,
    /// The server.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it was in flight.
    pub took: Micros,
    /// The request has had its final answer.
    pub ended: bool,
    /// Units that the request really took, where that is known only afterwards.
    pub actual_units: Option<f64>,
    /// The server's load report.
    pub report: Report,
}

/// The fraction of its usual work that a zone gets; the same for all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneShare {
    /// From 0 (no new requests) to 1 (all of its usual work).
    pub weight: f64,
    /// The zone gets more than its share where no other zone can serve. Set where this gateway can't hear
    /// that the share was lifted.
    pub yields: bool,
}

/// What happened, as the gateway reports it.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the server list.
    Servers(ListScope, Vec<ServerEntry>),
    /// A request arrived.
    Request(Arrival),
    /// A timer that the module set has expired.
    Timer(TimerId),
    /// A streamed answer has started, so the request can't be retried any more.
    StreamStarted(RequestId),
    /// The client has disconnected.
    ClientGone(RequestId),
    /// A probe ended.
    Probed(ServerId, Outcome, Report),
    /// A call to the counter ended, with the total if it was answered. The index counts the pending calls for
    /// that name from 0 in the order in which they were made.
    Counted(CountName, usize, Outcome, f64),
    /// The counter assigned this gateway a share (0 to 1) of that name's quota, for when the counter can't be
    /// reached.
    Share(CountName, f64),
    /// Comes before the [`Event::Counted`] of the same call: the servers of the request's service that answer
    /// soonest by what all gateways report, each with the time that it takes.
    FastestServers(CountName, usize, Vec<(ServerId, Micros)>),
    /// Whether this gateway has lost contact with all others. They may use its shares of quotas meanwhile.
    Isolated(bool),
    /// A message from the gateway of that number.
    Peer(u32, Vec<u8>),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The last byte of a request body that is streamed to a server has arrived.
    BodyComplete(RequestId),
    /// The attempt had ended well, but the server broke off while the response was being passed on.
    ResponseBroken(ServerId),
    /// New rules for requests that arrive from now on.
    Rules(Rules),
    /// The shares of zones from now on. Zones that are not named have their whole share.
    ZoneShares(Vec<(ZoneId, ZoneShare)>),
    /// What an earlier process of this gateway had learned.
    Learned(LearnedState),
    /// This gateway ends at that time; every open request must be answered by then.
    ShutDown(Micros),
}

/// What a gateway has learned of the servers, for the process that replaces it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// When this was measured, in Unix time.
    pub at: Micros,
    /// Units a second that a warm server gets from this gateway for each unit of weight.
    pub per_weight: f64,
    /// For each server: the limit on attempts in flight, and the usual time to answer in microseconds.
    pub servers: Vec<(ServerId, f64, f64)>,
}

/// Rules that may change while a gateway runs. Open requests keep the rules under which they arrived.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The classes. Those that open requests may have keep their index and content; changed classes are
    /// added.
    pub classes: Vec<Class>,
    /// The most attempts for one request.
    pub max_attempts: usize,
    /// Settings shared by all gateways, where they may change.
    pub common: Option<SharedSettings>,
}

/// Settings shared by all gateways.
#[derive(Clone, Debug)]
pub struct SharedSettings {
    /// The plans; each keeps its index.
    pub plans: Vec<Plan>,
    /// Number of gateways.
    pub gateways: u32,
    /// This gateway's number among them.
    pub me: u32,
    /// Budget of retries for each service.
    pub retries: Option<RetryBudget>,
    /// See [`Settings::clock_offset`].
    pub clock_offset: Micros,
}

/// What the gateway must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt to a server and give it up at that time.
    Send(RequestId, ServerId, Micros),
    /// Final answer: refused, with a retry-after where there is one.
    Refuse(RequestId, Option<Micros>),
    /// Final answer: failed; it may have run.
    Fail(RequestId),
    /// Cancel the attempt of that index.
    Cancel(RequestId, usize),
    /// Ask a server for its load.
    Probe(ServerId),
    /// Add units to a count that the counter keeps for that time, and report the total.
    Count(CountName, f64, Micros),
    /// With `counter_buckets`: take units from a token bucket if it holds them. The answer is what the bucket
    /// holds then, or a negative number if it held too little. The draw is for a request of that service,
    /// which is sent only to a server that answers within that time. Both are zero if it is for no request.
    Draw(CountName, f64, (ServiceId, Micros)),
    /// With `counter_buckets`: units were used without a draw; negative if drawn units were not used.
    Charge(CountName, f64),
    /// Send a message of up to 256 bytes to the gateway of that number.
    Tell(u32, Vec<u8>),
    /// Report [`Event::Timer`] after this time.
    SetTimer(TimerId, Micros),
    /// Subscribe to changes of the server list.
    Subscribe,
    /// Fetch the whole server list.
    FetchList,
}

/// Invalid settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}
impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks that these settings are valid.
    pub fn check(&self) -> Result<(), SettingsError> {
        let fail = |reason: &str| Err(SettingsError(reason.to_string()));
        let valid = |v: f64| v.is_finite() && v >= 0.0;
        if self.gateways == 0 || self.me >= self.gateways {
            return fail("gateways: expected at least one, and this one's number below it");
        }
        if self.max_attempts == 0 {
            return fail("max_attempts: expected at least 1");
        }
        if ![self.cold_from, self.fall_multiple, self.most_units, self.peers_per_s].into_iter().all(valid) {
            return fail("cold_from, fall_multiple, most_units, peers_per_s: expected numbers of 0 or more");
        }
        if !self.classes.iter().all(|c| valid(c.worth) && valid(c.late_worth) && c.deadline.0 > 0) {
            return fail("class: expected a worth of 0 or more and a deadline above 0");
        }
        if self.peers_per_s > 0.0 && self.gateways.max(self.plans.len() as u32) > u32::from(u16::MAX) {
            return fail("gateways, plans: expected at most 65535 of each where messages are allowed");
        }
        for p in &self.plans {
            let quota = [p.rate, p.burst, p.open, p.ceiling_rate, p.ceiling_burst, p.ceiling_slack];
            let worth = [p.price, p.over_worth, p.over_cost];
            if !quota.into_iter().chain(worth).all(valid) {
                return fail("plan: expected numbers of 0 or more");
            }
            if p.rate > 0.0 && p.burst <= 0.0 || p.ceiling_rate > 0.0 && p.ceiling_burst <= 0.0 {
                return fail("plan: expected a burst above 0 where there is a rate");
            }
        }
        Ok(())
    }
}
