//! Runs the decision module of one gateway. The driver turns what tasks send it into events for the module,
//! and carries out the actions that the module returns: attempts, answers, counter calls, timers. It makes no
//! decisions itself. Its request table ensures that each request gets exactly one final answer.

use crate::attempt_events::{AttemptObserver, AttemptReporter};
use crate::backend::{Backend, Pool};
use crate::backend_protocol::Platform;
use crate::config::{Config, ConfigError, Upstreams};
use crate::counter::{Counter, CounterCall, CounterTransport, PendingCalls};
use crate::forward::{AttemptResult, ForwardedRequest, ResponseHead, ServedBody};
use crate::handover::Handover;
use crate::inbox::{
    Answer, BackendListing, Clock, DriverSender, Input, MaintenanceResult, NewRequest, PeerSender,
};
use crate::maintenance_file::MaintenanceFile;
use starlinghill_decision::api::*;
use starlinghill_decision::Gateway;
use starlinghill_maintenance::{DiscoveredList, MaintenanceOrders};
use starlinghill_settings::members::{MemberList, Phase};
use starlinghill_settings::NamedSettings;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{interval, sleep_until, Instant, MissedTickBehavior};
use tracing::{debug, info, warn};

/// Capacity of the driver's input channel, in messages. Senders wait while it is full.
const INPUT_CAPACITY: usize = 1024;

/// Interval between reads of the maintenance file, which other processes of this gateway may have changed. An
/// order must hold in every process 1 s after one process confirmed it.
const MAINTENANCE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between writes of the handover file for the process that may replace this one.
const HANDOVER_INTERVAL: Duration = Duration::from_secs(1);

/// A request in the table. It stays there until it was answered and none of its attempts is in flight.
struct OpenRequest {
    class: ClassId,
    reply: Option<oneshot::Sender<Answer>>,
    forward: Rc<ForwardedRequest>,
    attempts: Vec<Attempt>,
    /// A complete response that is no success. The client gets it if no attempt succeeds.
    fallback_response: Option<(ServedBody, Option<Box<ResponseHead>>)>,
}

struct Attempt {
    in_flight: bool,
    /// Cancels the attempt when sent to.
    cancel: Option<oneshot::Sender<()>>,
}

impl OpenRequest {
    fn is_finished(&self) -> bool {
        self.reply.is_none() && !self.attempts.iter().any(|a| a.in_flight)
    }
}

/// Tells the driver when the counter moves to another address.
pub async fn follow_upstreams(mut upstreams: watch::Receiver<Upstreams>, input_sender: DriverSender) {
    while upstreams.changed().await.is_ok() {
        let counter = upstreams.borrow_and_update().counter;
        if input_sender.send(Input::CounterMoved(counter)).await.is_err() {
            return;
        }
    }
}

/// Owns the decision module, the request table and the timers of one gateway.
pub struct Driver {
    gateway: Gateway,
    site: NamedSettings,
    clock: Clock,
    tick: Duration,
    input_sender: DriverSender,
    inputs: mpsc::Receiver<Input>,
    pool: Rc<Pool>,
    counter: Option<Rc<dyn CounterTransport>>,
    /// Makes the transport to a counter at a new address.
    connect_counter: Box<dyn Fn(SocketAddr) -> Rc<dyn CounterTransport>>,
    pending_calls: PendingCalls,
    /// Sends messages to the other gateways, once the socket is open.
    peer_sender: Option<Rc<dyn PeerSender>>,
    backends: HashMap<ServerId, Rc<Backend>>,
    /// The list of backends as discovery sent it, and the maintenance orders that apply to it.
    roster: DiscoveredList,
    book: MaintenanceOrders,
    maintenance_file: Option<MaintenanceFile>,
    /// The file for the process that replaces this one, where several processes share the client socket.
    handover: Option<Handover>,
    requests: HashMap<RequestId, OpenRequest>,
    timers: BinaryHeap<Reverse<(Micros, TimerId)>>,
    pending_events: Vec<Event>,
    actions: Vec<Action>,
    /// Set to true once there is a list of backends.
    ready: watch::Sender<bool>,
    /// When the list from the configuration is accepted in place of one from discovery.
    known_list_deadline: Option<Instant>,
    /// The gateway is shutting down.
    shutting_down: bool,
    attempt_reporter: Option<AttemptReporter>,
}

impl Driver {
    /// Creates the driver of a stand-alone gateway. `known_list_wait` is how long it waits for discovery
    /// before it is ready with the list from the configuration. `observer` is called for each attempt that
    /// ends.
    pub fn new(
        config: Config,
        clock: Clock,
        ready: watch::Sender<bool>,
        known_list_wait: Duration,
        observer: Option<AttemptObserver>,
    ) -> Result<Driver, ConfigError> {
        let Config { site, counter, sockets, seed, known, dial_timeout, conn_idle, .. } = config;
        // Orders come over the operators' port only; without one there is no file to read or write.
        let maintenance_folder = config.ops.and(config.folder.as_deref());
        let mut maintenance_file = maintenance_folder.map(|folder| MaintenanceFile::at(folder, &config.name));
        let shared = config.inherited.and(config.folder.as_deref());
        let handover = shared.map(|folder| Handover::at(folder, &config.name));
        let book = maintenance_file.as_mut().and_then(MaintenanceFile::read_if_changed).unwrap_or_default();
        let gateway = Gateway::new(seed, site.settings.clone()).map_err(ConfigError::from)?;
        let (input_sender, inputs) = mpsc::channel(INPUT_CAPACITY);
        let (timeout, connections) = (duration(site.settings.count_timeout), sockets.counter);
        let connect_counter: Box<dyn Fn(SocketAddr) -> Rc<dyn CounterTransport>> =
            Box::new(move |address| Rc::new(Counter::new(address, timeout, connections)));
        let mut driver = Driver {
            gateway,
            clock,
            // A shorter tick would only waste CPU time on calls of the module.
            tick: duration(site.settings.tick).max(Duration::from_millis(1)),
            site,
            input_sender,
            inputs,
            pool: Rc::new(Pool::new(sockets.backends, dial_timeout, conn_idle, Rc::new(Platform))),
            counter: counter.map(&connect_counter),
            connect_counter,
            pending_calls: PendingCalls::default(),
            peer_sender: None,
            backends: HashMap::new(),
            roster: DiscoveredList::default(),
            book,
            maintenance_file,
            handover,
            requests: HashMap::new(),
            timers: BinaryHeap::new(),
            pending_events: Vec::new(),
            actions: Vec::new(),
            ready,
            known_list_deadline: None,
            shutting_down: false,
            attempt_reporter: observer.map(AttemptReporter::new),
        };
        // The list may be out of date, but it is used if discovery stays silent.
        if !known.members.is_empty() {
            driver.apply_member_list(MemberList { complete: true, ..known });
            driver.known_list_deadline = Some(Instant::now() + known_list_wait);
        }
        let learned = driver.handover.as_ref().and_then(Handover::read);
        driver.pending_events.extend(learned.map(Event::Learned));
        Ok(driver)
    }

    /// Creates a driver inside another program, which sends backends, plans and classes as input and
    /// determines readiness itself.
    pub fn embedded(
        settings: Settings,
        seed: u64,
        clock: Clock,
        pool: Pool,
        counter: Rc<dyn CounterTransport>,
    ) -> Result<Driver, ConfigError> {
        let gateway = Gateway::new(seed, settings.clone()).map_err(ConfigError::from)?;
        let (input_sender, inputs) = mpsc::channel(INPUT_CAPACITY);
        let same_counter = counter.clone();
        Ok(Driver {
            gateway,
            clock,
            tick: duration(settings.tick).max(Duration::from_millis(1)),
            site: NamedSettings::unnamed(settings),
            input_sender,
            inputs,
            pool: Rc::new(pool),
            counter: Some(counter),
            connect_counter: Box::new(move |_| same_counter.clone()),
            pending_calls: PendingCalls::default(),
            peer_sender: None,
            backends: HashMap::new(),
            roster: DiscoveredList::default(),
            book: MaintenanceOrders::default(),
            maintenance_file: None,
            handover: None,
            requests: HashMap::new(),
            timers: BinaryHeap::new(),
            pending_events: Vec::new(),
            actions: Vec::new(),
            ready: watch::channel(false).0,
            known_list_deadline: None,
            shutting_down: false,
            attempt_reporter: None,
        })
    }

    /// The pool of connections to backends.
    pub fn pool(&self) -> Rc<Pool> {
        self.pool.clone()
    }

    /// A sender of input to this driver.
    pub fn sender(&self) -> DriverSender {
        self.input_sender.clone()
    }

    /// Runs forever. Input is collected and passed to the module at most once per tick, as in the simulator.
    pub async fn run(mut self) {
        let pool = self.pool.clone();
        tokio::task::spawn_local(async move { pool.watch().await });
        let mut maintenance_poll = interval(MAINTENANCE_POLL_INTERVAL);
        maintenance_poll.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut handover_timer = interval(HANDOVER_INTERVAL);
        handover_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_batch = Instant::now();
        loop {
            let due = match self.timers.peek() {
                _ if !self.pending_events.is_empty() => Some(last_batch + self.tick),
                Some(Reverse((at, _))) => Some(self.clock.instant(*at).max(last_batch + self.tick)),
                None => None,
            };
            tokio::select! {
                biased;
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                    last_batch = Instant::now();
                    self.process_batch();
                }
                () = sleep_until(self.known_list_deadline.unwrap_or_else(Instant::now)), if self.known_list_deadline.is_some() => {
                    self.mark_ready();
                }
                _ = maintenance_poll.tick(), if self.maintenance_file.is_some() => self.read_maintenance_file(),
                _ = handover_timer.tick(), if self.handover.is_some() => self.write_handover(),
                input = self.inputs.recv() => {
                    let mut pending = input;
                    while let Some(input) = pending {
                        self.handle_input(input);
                        pending = self.inputs.try_recv().ok();
                    }
                }
            }
        }
    }

    /// Passes the collected events and the timers that are due to the module, and carries out its actions.
    fn process_batch(&mut self) {
        let now = self.clock.now();
        while self.timers.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            self.pending_events.extend(self.timers.pop().map(|Reverse((_, id))| Event::Timer(id)));
        }
        let mut actions = std::mem::take(&mut self.actions);
        for event in std::mem::take(&mut self.pending_events) {
            let ended_request = match &event {
                Event::ClientGone(id) => Some(*id),
                Event::AttemptEnded(end) => Some(end.id),
                _ => None,
            };
            self.gateway.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(now, action);
            }
            // The module sends nothing more for this request. An entry removed earlier could lose the end of
            // an attempt, and the module would count that attempt against its server for good.
            ended_request.into_iter().for_each(|id| self.remove_if_finished(id));
        }
        self.actions = actions;
    }

    /// Turns one input into events for the module.
    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Request(new_request) => {
                let NewRequest { arrival, forward, reply } = *new_request;
                let (class, forward) = (arrival.class, Rc::new(forward));
                let open = OpenRequest {
                    class,
                    reply: Some(reply),
                    forward,
                    attempts: Vec::new(),
                    fallback_response: None,
                };
                self.requests.insert(arrival.id, open);
                self.pending_events.push(Event::Request(arrival));
            }
            Input::ClientGone(id) => {
                if let Some(open) = self.requests.get_mut(&id).filter(|open| open.reply.is_some()) {
                    open.reply = None;
                    self.pending_events.push(Event::ClientGone(id));
                }
            }
            Input::Members(list) => {
                self.apply_member_list(list);
                self.mark_ready();
            }
            Input::Backends(scope, listings) => self.queue_backends(scope, listings),
            Input::CounterMoved(address) => {
                let current = self.counter.as_ref().and_then(|counter| counter.address());
                if address.is_some() && address != current {
                    // Calls in flight keep the old transport until they end. Its idle connections are closed
                    // with it.
                    self.counter = address.map(&self.connect_counter);
                }
            }
            Input::PeersReachable(sender) => self.peer_sender = Some(sender),
            Input::Rules(rules) => self.pending_events.push(Event::Rules(rules)),
            Input::Isolated(alone) => self.pending_events.push(Event::Isolated(alone)),
            Input::Zones(parts) => {
                let parts = parts.into_iter().map(|(zone, part)| (self.site.zone(&zone), part)).collect();
                self.pending_events.push(Event::ZoneShares(parts));
            }
            Input::Shutdown(by) => {
                self.shutting_down = true;
                self.pending_events.push(Event::ShutDown(by));
            }
            Input::Maintenance { id, out, reply } => drop(reply.send(self.apply_maintenance(&id, out))),
            Input::PeerMessage(from, message) => self.pending_events.push(Event::Peer(from, message)),
            Input::CounterAnswered(name, serial, counted) => {
                let position = self.pending_calls.finish(name, serial);
                self.pending_events.extend(counted.share.map(|share| Event::Share(name, share)));
                if let Some(position) = position.filter(|_| !counted.fastest_servers.is_empty()) {
                    self.pending_events.push(Event::FastestServers(name, position, counted.fastest_servers));
                }
                self.pending_events.extend(
                    position.map(|position| Event::Counted(name, position, counted.outcome, counted.total)),
                );
            }
            Input::ResponseStarted(id, attempt, server, mut download, head, took) => {
                let input_sender = self.input_sender.clone();
                download.when_ended(move |outcome| {
                    if !matches!(outcome, Outcome::Ok | Outcome::Cancelled) {
                        // The callback is not async, so a task waits for room in the channel.
                        tokio::task::spawn_local(async move {
                            input_sender.send(Input::ResponseBroken(server)).await
                        });
                    }
                });
                // The response now belongs to the client, and the server has done its work.
                let ended =
                    AttemptResult { body: Some(ServedBody::Streaming(download)), head, ..Outcome::Ok.into() };
                self.handle_input(Input::AttemptEnded(id, attempt, server, ended, took));
            }
            Input::UploadComplete(id) => self.pending_events.push(Event::BodyComplete(id)),
            Input::ResponseBroken(server) => self.pending_events.push(Event::ResponseBroken(server)),
            Input::AttemptEnded(id, attempt, server, ended, took) => {
                let Some(open) = self.requests.get_mut(&id) else { return };
                let was_in_flight = open
                    .attempts
                    .get_mut(attempt)
                    .is_some_and(|a| std::mem::replace(&mut a.in_flight, false));
                if let Some(counter) = self.counter.as_ref().filter(|_| was_in_flight) {
                    counter.attempt_ended(server, ended.outcome, took);
                }
                if let Some(reporter) = &self.attempt_reporter {
                    let class = self.site.settings.classes.get(open.class.0);
                    reporter.attempt_ended(
                        server,
                        ended.outcome,
                        ended.refused,
                        class.is_some_and(|c| took > c.target),
                    );
                }
                // The first success goes to the client at once and ends the request; the module is told
                // afterwards. Another complete response is kept in case no attempt succeeds.
                match (ended.outcome, ended.body) {
                    (Outcome::Ok, Some(body)) => {
                        if let Some(reply) = open.reply.take() {
                            let _ = reply.send(Answer::Served(body, ended.head));
                        }
                    }
                    (_, Some(body)) => open.fallback_response = Some((body, ended.head)),
                    (_, None) => {}
                }
                self.queue_attempt_end(id, attempt, server, ended.outcome, took);
            }
        }
    }

    /// Queues the end of an attempt for the module.
    fn queue_attempt_end(
        &mut self,
        id: RequestId,
        attempt: usize,
        server: ServerId,
        outcome: Outcome,
        took: Micros,
    ) {
        let ended = self.requests.get(&id).is_none_or(|open| open.reply.is_none());
        let (actual_units, report) = (None, Report::default());
        let end = AttemptEnd { id, attempt, server, outcome, took, ended, actual_units, report };
        self.pending_events.push(Event::AttemptEnded(end));
    }

    fn apply_member_list(&mut self, list: MemberList) {
        let list = self.roster.apply(list, &self.book);
        self.queue_members(list);
    }

    /// Applies a maintenance order after it was written to disk, so that a confirmed order survives a kill of
    /// the process.
    fn apply_maintenance(&mut self, id: &str, out: bool) -> MaintenanceResult {
        if !*self.ready.borrow() {
            return MaintenanceResult::NotReady;
        }
        if !self.roster.contains(id) && !self.book.is_out(id) {
            return MaintenanceResult::Unknown;
        }
        let now = self.clock.now();
        let mut new_book = self.book.clone();
        let (mut changed, mut ordered) = (Vec::new(), Ok(false));
        let mut change = |file_book: MaintenanceOrders| {
            changed = new_book.merge(&file_book);
            ordered = new_book.set_order(id, out, now);
            new_book.clone()
        };
        let saved = match &mut self.maintenance_file {
            Some(file) => file.replace(change).map_err(|problem| problem.to_string()),
            None => {
                change(MaintenanceOrders::default());
                Ok(())
            }
        };
        if let Err(problem) = saved.and_then(|()| ordered.map_err(|problem| problem.to_string())) {
            warn!(id, out, problem, "could not save a maintenance order");
            return MaintenanceResult::NotKept(problem);
        }
        self.book = new_book;
        changed.push(id.to_string());
        self.queue_members(self.roster.changes_for(&changed, &self.book));
        MaintenanceResult::Done
    }

    /// Writes what the module learned about servers for the process that takes over.
    fn write_handover(&mut self) {
        let (Some(handover), learned) = (&self.handover, self.gateway.learned_state()) else { return };
        // A process that has learned nothing yet must not overwrite the file.
        if learned.per_weight > 0.0 && !self.shutting_down {
            if let Err(problem) = handover.write(&learned) {
                debug!(%problem, "could not write the handover file");
            }
        }
    }

    /// Applies orders that another process of this gateway wrote.
    fn read_maintenance_file(&mut self) {
        let Some(file_book) = self.maintenance_file.as_mut().and_then(MaintenanceFile::read_if_changed)
        else {
            return;
        };
        let changed = self.book.merge(&file_book);
        if !changed.is_empty() {
            info!(?changed, "orders came in at another process");
            self.queue_members(self.roster.changes_for(&changed, &self.book));
        }
    }

    fn queue_members(&mut self, list: MemberList) {
        let scope = if list.complete { ListScope::Complete } else { ListScope::Changes };
        debug!(
            revision = list.revision,
            complete = list.complete,
            entries = list.members.len(),
            "received a list of backends"
        );
        let mut entries = Vec::with_capacity(list.members.len());
        for member in list.members {
            let server = self.site.server(&member.id);
            self.attempt_reporter.iter_mut().for_each(|reporter| reporter.set_zone(server, &member.locality));
            let listed = match member.phase {
                Phase::Ready => Listed::InService,
                Phase::Draining => Listed::Draining,
                Phase::Gone => Listed::Gone,
            };
            let (address, up_since_ms) = (member.host_port, member.up_since_ms);
            let unchanged = |b: &Rc<Backend>| b.address == address && b.up_since_ms == up_since_ms;
            if listed != Listed::InService {
                self.backends.remove(&server).into_iter().for_each(|b| self.pool.close(&b));
            } else if !self.backends.get(&server).is_some_and(unchanged) {
                let new = Rc::new(self.pool.backend(address, up_since_ms, None));
                self.backends.insert(server, new).into_iter().for_each(|b| self.pool.close(&b));
            }
            entries.push(ServerEntry {
                server,
                service: ServiceId::default(),
                zone: self.site.zone(&member.locality),
                cell: CellId(member.cell),
                listed,
                weight: member.size,
                started: Some(Micros(member.up_since_ms.saturating_mul(1000))).filter(|at| at.0 > 0),
            });
        }
        if list.complete {
            let listed: HashSet<ServerId> = entries.iter().map(|e| e.server).collect();
            self.backends.retain(|server, backend| {
                let stays = listed.contains(server);
                if !stays {
                    self.pool.close(backend);
                }
                stays
            });
        }
        // Keeps the table of server names from growing with every backend ever listed.
        self.site.servers.retain(|server, _| self.backends.contains_key(server));
        self.attempt_reporter
            .iter_mut()
            .for_each(|reporter| reporter.retain(|server| self.backends.contains_key(server)));
        self.pending_events.push(Event::Servers(scope, entries));
    }

    /// Applies single entries instead of a list. Backends that use the same address one after the other are
    /// told apart by name.
    fn queue_backends(&mut self, scope: ListScope, listings: Vec<BackendListing>) {
        let mut entries = Vec::with_capacity(listings.len());
        for BackendListing { entry, address, name } in listings {
            let unchanged = |b: &Rc<Backend>| b.address == address && b.name.as_ref() == Some(&name);
            if entry.listed != Listed::InService {
                self.backends.remove(&entry.server).into_iter().for_each(|b| self.pool.close(&b));
            } else if !self.backends.get(&entry.server).is_some_and(unchanged) {
                let new = Rc::new(self.pool.backend(address, 0, Some(name)));
                self.backends.insert(entry.server, new).into_iter().for_each(|b| self.pool.close(&b));
            }
            entries.push(entry);
        }
        self.pending_events.push(Event::Servers(scope, entries));
    }

    fn mark_ready(&mut self) {
        self.known_list_deadline = None;
        if !self.ready.send_replace(true) {
            info!(backends = self.backends.len(), "ready");
        }
    }

    fn execute(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send(id, server, until) => self.start_attempt(now, id, server, until),
            Action::Refuse(id, wait) => self.answer_request(id, Answer::Refused(wait)),
            Action::Fail(id) => self.answer_request(id, Answer::Failed),
            Action::Cancel(id, attempt) => {
                let attempt = self.requests.get_mut(&id).and_then(|open| open.attempts.get_mut(attempt));
                if let Some(cancel) = attempt.and_then(|a| a.cancel.take()) {
                    // The attempt reports its own end, after its connection is closed. It may have ended
                    // already.
                    let _ = cancel.send(());
                }
            }
            Action::Count(name, amount, life) => {
                self.start_counter_call(name, |counter| counter.count(name, amount, life));
            }
            Action::Draw(name, units, within) => {
                self.start_counter_call(name, |counter| counter.draw(name, units, within));
            }
            Action::Charge(name, units) => {
                self.counter.iter().for_each(|counter| counter.charge(name, units));
            }
            Action::Tell(to, message) => self.peer_sender.iter().for_each(|peers| peers.send(to, &message)),
            Action::SetTimer(id, after) => self.timers.push(Reverse((now + after, id))),
            // Probing is disabled here, and the discovery task watches the list all the time.
            Action::Probe(_) | Action::Subscribe | Action::FetchList => {}
        }
    }

    fn answer_request(&mut self, id: RequestId, answer: Answer) {
        let open = self.requests.get_mut(&id);
        if let Some((reply, fallback_response)) =
            open.and_then(|open| Some((open.reply.take()?, open.fallback_response.take())))
        {
            let answer = fallback_response.map_or(answer, |(body, head)| Answer::Served(body, head));
            // The client may have closed its connection.
            let _ = reply.send(answer);
            self.remove_if_finished(id);
        }
    }

    fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(OpenRequest::is_finished) {
            self.requests.remove(&id);
        }
    }

    fn start_attempt(&mut self, now: Micros, id: RequestId, server: ServerId, until: Micros) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let attempt = open.attempts.len();
        let backend = self.backends.get(&server).filter(|_| open.reply.is_some()).cloned();
        let Some(backend) = backend else {
            // The client left or the list changed after the module was last told.
            open.attempts.push(Attempt { in_flight: false, cancel: None });
            return self.queue_attempt_end(id, attempt, server, Outcome::NotSent, Micros(0));
        };
        let (cancel, cancelled) = oneshot::channel();
        open.attempts.push(Attempt { in_flight: true, cancel: Some(cancel) });
        self.counter.iter().for_each(|counter| counter.attempt_sent(server));
        let (pool, forward, input_sender) =
            (self.pool.clone(), open.forward.clone(), self.input_sender.clone());
        let (until, clock) = (self.clock.instant(until), self.clock);
        tokio::task::spawn_local(async move {
            let attempt_ended = pool.attempt(&backend, &forward, until, cancelled);
            let ended = match forward.upload_completion() {
                None => attempt_ended.await,
                Some(completion) => {
                    tokio::pin!(attempt_ended);
                    tokio::select! {
                        ended = &mut attempt_ended => ended,
                        _ = completion.wait() => {
                            let _ = input_sender.send(Input::UploadComplete(id)).await;
                            attempt_ended.await
                        }
                    }
                }
            };
            // For a streamed request body the time counts from its last byte.
            let from = forward.upload_completed_at().map_or(now, |at| clock.at(at));
            let took = clock.now() - from;
            let input = match ended.body {
                Some(ServedBody::Streaming(download)) => {
                    Input::ResponseStarted(id, attempt, server, download, ended.head, took)
                }
                _ => Input::AttemptEnded(id, attempt, server, ended, took),
            };
            // The driver is gone only when the process exits.
            let _ = input_sender.send(input).await;
        });
    }

    fn start_counter_call(
        &mut self,
        name: CountName,
        call: impl FnOnce(Rc<dyn CounterTransport>) -> CounterCall,
    ) {
        let serial = self.pending_calls.start(name);
        let (counter_call, input_sender) = (self.counter.clone().map(call), self.input_sender.clone());
        tokio::task::spawn_local(async move {
            let counted = match counter_call {
                Some(call) => call.await,
                None => Outcome::ConnectFailed.into(),
            };
            let _ = input_sender.send(Input::CounterAnswered(name, serial, counted)).await;
        });
    }
}

fn duration(span: Micros) -> Duration {
    Duration::from_micros(span.0)
}
