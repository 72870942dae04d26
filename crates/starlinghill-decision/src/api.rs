//! The interface of the decision module: what a gateway is told and what it may do.
//!
//! Nothing here decides. Ids carry no meaning beyond equality and order.

pub use starlinghill_rate_limit::{Allowance, Micros};

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}
id!(/// One try of a client.
    RequestId, u64);
id!(/// A customer, whose quota all gateways share.
    CustomerId, u64);
id!(/// A server of the back end; every gateway knows it by the same number.
    ServerId, u64);
id!(/// A place in `Settings::classes`.
    ClassId, usize);
id!(/// A place in `Settings::plans`.
    PlanId, usize);
id!(/// A zone, numbered as the gateway was told.
    ZoneId, u32);
id!(/// A group of servers that share which keys they have seen.
    CellId, u64);
id!(/// A service: its servers stand in for each other. Where nothing is said of services, all are of one.
    ServiceId, u32);
id!(/// A number kept by the counter service.
    CountName, u64);
id!(/// A timer, chosen by the module.
    TimerId, u64);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat.
    Safe,
    /// Carries a key; the servers of one group drop a repeat within the window.
    Keyed,
    /// Must not run twice.
    Unsafe,
}

/// Which servers drop the repeats of a keyed request.
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
    /// An answer within this time earns the full worth.
    pub target: Micros,
    /// How long a client waits, all tries together.
    pub deadline: Micros,
    /// What a request is worth.
    pub worth: f64,
    /// The part of the worth that an answer after the aim earns.
    pub late_worth: f64,
    /// Whether it may run again.
    pub effect: Effect,
    /// Who drops repeats, where keyed.
    pub group: Group,
    /// How long they drop them, where keyed.
    pub window: Micros,
    /// The answer comes as a stream.
    pub stream: bool,
}

/// A plan. Its quota holds for each customer over all gateways together.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Units a second; 0: no quota on the rate.
    pub rate: f64,
    /// The most units the quota's store holds.
    pub burst: f64,
    /// Attempts out at once; 0: no such cap.
    pub open: f64,
    /// Multiplies the worth.
    pub price: f64,
    /// Part of the worth earned beyond the quota.
    pub over_worth: f64,
    /// Part of the worth lost by sending on beyond the quota.
    pub over_cost: f64,
    /// Units a second of the hard ceiling; 0: none.
    pub ceiling_rate: f64,
    /// The most units the ceiling's store holds.
    pub ceiling_burst: f64,
    /// How far that store may fall below nothing.
    pub ceiling_slack: f64,
}

/// What a gateway is told at its start.
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
    /// Two attempts of one request may be out together.
    pub second_copies: bool,
    /// Attempts may be called off.
    pub may_cancel: bool,
    /// Servers may be probed.
    pub probes: bool,
    /// Clients receive a retry-after.
    pub retry_after: bool,
    /// The longest retry-after that a client follows.
    pub max_retry_after: Micros,
    /// The counter service may be called.
    pub counter: bool,
    /// A count call ends unanswered after this.
    pub count_timeout: Micros,
    /// Messages a second that a gateway takes in from the others; 0: none may be sent.
    pub peers_per_s: f64,
    /// The largest request in units.
    pub most_units: f64,
    /// List changes must be asked for.
    pub must_subscribe: bool,
    /// How long past its deadline a final answer still counts.
    pub answer_slack: Micros,
    /// A server starts at no less than this part of its capacity.
    pub cold_from: f64,
    /// A server is warm after this.
    pub cold: Micros,
    /// A cold server falls over when sent this many times its present capacity,
    pub fall_multiple: f64,
    /// for this long.
    pub tip_after: Micros,
    /// The shortest gap between two calls of the module.
    pub tick: Micros,
    /// The budget of further attempts, by service; `None`: the module's own.
    pub retries: Option<RetryBudget>,
    /// The counter keeps the quotas' stores itself: a request is drawn, and what its store has left is heard.
    pub counter_buckets: bool,
    /// The same: what the rules let tenants have beyond their quotas.
    pub allowance: Allowance,
    /// How long the breaker over the counter stays open before one request probes; `None`: the module's own.
    pub cooldown: Option<Micros>,
    /// An attempt is given up no sooner than its request.
    pub wait_to_deadline: bool,
    /// What is added to the module's time for the windows of counts, so that all gateways have the same.
    pub clock_offset: Micros,
}

/// A budget of further attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// What each request earns.
    pub share: f64,
    /// The most that is saved up.
    pub saved: f64,
}

/// Whether a server takes new work, as the list tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// It takes work.
    InService,
    /// It finishes what it has.
    Draining,
    /// It was taken away.
    Gone,
}

/// One line of the server list.
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
    /// Its size against the others.
    pub weight: f64,
    /// When it last started; `None`: long ago.
    pub started: Option<Micros>,
}

/// What a list event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only entries that changed.
    Changes,
    /// The complete list.
    Complete,
    /// A call for the list or the subscription failed; the earlier list stays.
    Failed,
}

/// How an attempt, a probe or a count call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error; may have run.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; may have run.
    Timeout,
    /// No connection was made.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Called off; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// The outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// What a server said of its load, where it did.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests being handled.
    pub inflight: Option<f64>,
    /// Requests waiting.
    pub queue: Option<f64>,
    /// Part of its cores in use.
    pub busy: Option<f64>,
}

/// A request that came in.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its service.
    pub service: ServiceId,
    /// The most attempts, where it has a bound of its own below that of the settings; 0: it has none.
    pub max_attempts: usize,
    /// Its customer's plan.
    pub plan: PlanId,
    /// Its customer.
    pub customer: CustomerId,
    /// Through how many gateways this customer's requests come.
    pub spread: u32,
    /// The client gives up then.
    pub deadline: Micros,
    /// Its units.
    pub units: f64,
    /// The first of those gateways, by number; the others follow, counted round.
    pub first: u32,
    /// The client repeats a try that was refused, failed or given up (where clients say so).
    pub resent: bool,
    /// Its body is passed on as it comes, so it can be sent once.
    pub once: bool,
}

/// An attempt that ended.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// Which of its attempts.
    pub attempt: usize,
    /// The server.
    pub server: ServerId,
    /// How.
    pub outcome: Outcome,
    /// How long it was out.
    pub took: Micros,
    /// The request has had its final answer.
    pub ended: bool,
    /// The true units, where they are settled afterwards.
    pub actual_units: Option<f64>,
    /// The server's load report.
    pub report: Report,
}

/// The part of its work that a zone gets, by an order that holds for all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneShare {
    /// From 0 (nothing new) to 1 (its whole part).
    pub weight: f64,
    /// It gets more all the same where no other zone can serve: the order can't be called off for this gateway.
    pub yields: bool,
}

/// What a gateway is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the server list.
    Servers(ListScope, Vec<ServerEntry>),
    /// A request came in.
    Request(Arrival),
    /// A timer came due.
    Timer(TimerId),
    /// A streamed answer has started; the request is the client's now.
    StreamStarted(RequestId),
    /// The client is gone.
    ClientGone(RequestId),
    /// A probe ended.
    Probed(ServerId, Outcome, Report),
    /// A count call ended, with the total where it was answered: the so many-th (from 0) of the calls still out for that
    /// name, in the order in which they were made.
    Counted(CountName, usize, Outcome, f64),
    /// The counter has told this gateway's share of what that name counts, for when it can't be reached.
    Share(CountName, f64),
    /// With an answer that is told next, the same call's: the servers of the request's service that answer soonest, and in
    /// what time, as is known where all gateways ask.
    FastestServers(CountName, usize, Vec<(ServerId, Micros)>),
    /// Whether this gateway hears nobody: others may use its shares meanwhile.
    Isolated(bool),
    /// A message from another gateway, by its number.
    Peer(u32, Vec<u8>),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The last byte came of a request whose body is passed on.
    BodyComplete(RequestId),
    /// An answer that was being passed on, whose attempt had ended well, broke off at this server.
    ResponseBroken(ServerId),
    /// New rules for what comes from now on.
    Rules(Rules),
    /// The parts that zones get from now on, by order; those not named have their whole part.
    ZoneShares(Vec<(ZoneId, ZoneShare)>),
    /// What an earlier process of this gateway knew.
    Learned(LearnedState),
    /// This gateway is to end: all that is open must have its answer by then.
    ShutDown(Micros),
}

/// What a gateway has learned of the servers, for the process that takes over from it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// When this was so, Unix time.
    pub at: Micros,
    /// Units a second that a warm server gets from this gateway, for its weight.
    pub per_weight: f64,
    /// Of each server: the bound on attempts out, and the usual time to answer, in microseconds.
    pub servers: Vec<(ServerId, f64, f64)>,
}

/// Rules that may change while a gateway runs. What is open keeps those under which it came.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The classes. One that a request may still have keeps its place and is as it was; changed ones are new.
    pub classes: Vec<Class>,
    /// The most attempts for one request.
    pub max_attempts: usize,
    /// What all gateways have in common, where that may change.
    pub common: Option<SharedSettings>,
}

/// What all gateways have in common.
#[derive(Clone, Debug)]
pub struct SharedSettings {
    /// The plans; each keeps its place.
    pub plans: Vec<Plan>,
    /// Number of gateways.
    pub gateways: u32,
    /// This gateway's number among them.
    pub me: u32,
    /// The budget of further attempts.
    pub retries: Option<RetryBudget>,
    /// See [`Settings::clock_offset`].
    pub clock_offset: Micros,
}

/// What a gateway does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt, to be given up at that time.
    Send(RequestId, ServerId, Micros),
    /// Final answer: refused, with advice when to come back.
    Refuse(RequestId, Option<Micros>),
    /// Final answer: failed.
    Fail(RequestId),
    /// Call off an attempt.
    Cancel(RequestId, usize),
    /// Ask a server for its load.
    Probe(ServerId),
    /// Add to a count that lives that long, and hear the total.
    Count(CountName, f64, Micros),
    /// Where the counter keeps the stores: take so many units from one if it holds them. What it holds then is heard, below
    /// nothing where it did not hold them. What is wanted is for a request of that service, which goes on only to a server
    /// that answers within that time; or for none.
    Draw(CountName, f64, (ServiceId, Micros)),
    /// The same: so many units were used without a word of the counter's; fewer than none where units that were drawn
    /// were not used.
    Charge(CountName, f64),
    /// Send a message of up to 256 bytes to another gateway.
    Tell(u32, Vec<u8>),
    /// Wake the module after this time.
    SetTimer(TimerId, Micros),
    /// Ask for changes of the server list.
    Subscribe,
    /// Ask for the whole server list.
    FetchList,
}

/// Settings that make no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}
impl std::error::Error for SettingsError {}

impl Settings {
    /// Whether these settings make sense.
    pub fn check(&self) -> Result<(), SettingsError> {
        let fail = |what: &str| Err(SettingsError(what.to_string()));
        let sound = |v: f64| v.is_finite() && v >= 0.0;
        if self.gateways == 0 || self.me >= self.gateways {
            return fail("gateways: expected at least one, and this one's number below it");
        }
        if self.max_attempts == 0 {
            return fail("max_attempts: expected at least 1");
        }
        if ![self.cold_from, self.fall_multiple, self.most_units, self.peers_per_s].into_iter().all(sound) {
            return fail("cold_from, fall_multiple, most_units, peers_per_s: expected numbers of 0 or more");
        }
        if !self.classes.iter().all(|c| sound(c.worth) && sound(c.late_worth) && c.deadline.0 > 0) {
            return fail("class: expected a worth of 0 or more and a deadline above 0");
        }
        if self.peers_per_s > 0.0 && self.gateways.max(self.plans.len() as u32) > u32::from(u16::MAX) {
            return fail("gateways, plans: expected at most 65535 of each where messages are allowed");
        }
        for p in &self.plans {
            let quota = [p.rate, p.burst, p.open, p.ceiling_rate, p.ceiling_burst, p.ceiling_slack];
            let worth = [p.price, p.over_worth, p.over_cost];
            if !quota.into_iter().chain(worth).all(sound) {
                return fail("plan: expected numbers of 0 or more");
            }
            if p.rate > 0.0 && p.burst <= 0.0 || p.ceiling_rate > 0.0 && p.ceiling_burst <= 0.0 {
                return fail("plan: expected a burst above 0 where there is a rate");
            }
        }
        Ok(())
    }
}
