//! The one owner of the decision module: events in, actions out, timers. It translates and never chooses;
//! its request table sees to it that every request gets exactly one final answer.

use crate::attempt_events::{Watched, Watcher};
use crate::backend::{Backend, Pool};
use crate::backend_protocol::Platform;
use crate::config::{Config, ConfigError, Upstreams};
use crate::counter::{Calls, Counter, CounterCall, CounterTransport};
use crate::forward::{Ended, Forward, Head, Served};
use crate::handover::Handover;
use crate::inbox::{Answer, Clock, Inbox, Input, Listing, Ordered, PeerSender, Taken};
use crate::maintenance_file::Orders;
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

/// How many inputs may wait for the driver; whoever has one more waits with it.
const INBOX: usize = 1024;

/// How often orders that another process wrote are looked for. With the grace of 1 s after a yes there, this is soon.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// How often what was learned is left to the process that may take over.
const LEAVE_EVERY: Duration = Duration::from_secs(1);

/// A request in the table: until it has its answer and nothing of it is out.
struct Open {
    class: ClassId,
    reply: Option<oneshot::Sender<Answer>>,
    forward: Rc<Forward>,
    attempts: Vec<Attempt>,
    /// A backend's whole answer that is no success: the client's, if nothing better comes.
    spare: Option<(Served, Option<Box<Head>>)>,
}

struct Attempt {
    out: bool,
    /// Calls it off.
    call_off: Option<oneshot::Sender<()>>,
}

impl Open {
    fn over(&self) -> bool {
        self.reply.is_none() && !self.attempts.iter().any(|a| a.out)
    }
}

/// Tells the driver of services that move.
pub async fn follow(mut upstreams: watch::Receiver<Upstreams>, inbox: Inbox) {
    while upstreams.changed().await.is_ok() {
        let counter = upstreams.borrow_and_update().counter;
        if inbox.send(Input::Counter(counter)).await.is_err() {
            return;
        }
    }
}

/// The driver.
pub struct Driver {
    gateway: Gateway,
    site: NamedSettings,
    clock: Clock,
    tick: Duration,
    inbox: Inbox,
    inputs: mpsc::Receiver<Input>,
    pool: Rc<Pool>,
    counter: Option<Rc<dyn CounterTransport>>,
    /// The way to the counter at another address.
    counter_at: Box<dyn Fn(SocketAddr) -> Rc<dyn CounterTransport>>,
    calls: Calls,
    /// The way to the other gateways.
    post: Option<Rc<dyn PeerSender>>,
    backends: HashMap<ServerId, Rc<Backend>>,
    /// The list as discovery told it, and the orders under which it stands.
    roster: DiscoveredList,
    book: MaintenanceOrders,
    orders: Option<Orders>,
    /// What is left to the next process, where processes take over from each other.
    handover: Option<Handover>,
    requests: HashMap<RequestId, Open>,
    timers: BinaryHeap<Reverse<(Micros, TimerId)>>,
    batch: Vec<Event>,
    actions: Vec<Action>,
    /// Set once the list of backends is in hand.
    ready: watch::Sender<bool>,
    /// When the list known from before is taken for it.
    ready_at: Option<Instant>,
    /// It is to end.
    closing: bool,
    watched: Option<Watched>,
}

impl Driver {
    /// A driver that knows nothing yet but the configuration, and for how long it waits for news of the list that it
    /// knows. The watcher hears of each attempt that ends.
    pub fn new(
        config: Config,
        clock: Clock,
        ready: watch::Sender<bool>,
        wait: Duration,
        watcher: Option<Watcher>,
    ) -> Result<Driver, ConfigError> {
        let Config { site, counter, sockets, seed, known, dial_timeout, conn_idle, .. } = config;
        // Without a door there are no orders, and nothing to keep.
        let ordered = config.ops.and(config.folder.as_deref());
        let mut orders = ordered.map(|folder| Orders::at(folder, &config.name));
        let shared = config.inherited.and(config.folder.as_deref());
        let handover = shared.map(|folder| Handover::at(folder, &config.name));
        let book = orders.as_mut().and_then(Orders::news).unwrap_or_default();
        let gateway = Gateway::new(seed, site.settings.clone()).map_err(ConfigError::from)?;
        let (inbox, inputs) = mpsc::channel(INBOX);
        let (timeout, lines) = (duration(site.settings.count_timeout), sockets.counter);
        let counter_at: Box<dyn Fn(SocketAddr) -> Rc<dyn CounterTransport>> =
            Box::new(move |address| Rc::new(Counter::new(address, timeout, lines)));
        let mut driver = Driver {
            gateway,
            clock,
            // A gateway that calls its module without pause would only burn its core.
            tick: duration(site.settings.tick).max(Duration::from_millis(1)),
            site,
            inbox,
            inputs,
            pool: Rc::new(Pool::new(sockets.backends, dial_timeout, conn_idle, Rc::new(Platform))),
            counter: counter.map(&counter_at),
            counter_at,
            calls: Calls::default(),
            post: None,
            backends: HashMap::new(),
            roster: DiscoveredList::default(),
            book,
            orders,
            handover,
            requests: HashMap::new(),
            timers: BinaryHeap::new(),
            batch: Vec::new(),
            actions: Vec::new(),
            ready,
            ready_at: None,
            closing: false,
            watched: watcher.map(Watched::new),
        };
        // It may be old, but it is what there is until discovery speaks, which is waited for a little.
        if !known.members.is_empty() {
            driver.told(MemberList { complete: true, ..known });
            driver.ready_at = Some(Instant::now() + wait);
        }
        let learned = driver.handover.as_ref().and_then(Handover::read);
        driver.batch.extend(learned.map(Event::Learned));
        Ok(driver)
    }

    /// A driver of a process that is told of backends, plans and classes as they come, and by itself says when it is
    /// ready.
    pub fn hosted(
        settings: Settings,
        seed: u64,
        clock: Clock,
        pool: Pool,
        counter: Rc<dyn CounterTransport>,
    ) -> Result<Driver, ConfigError> {
        let gateway = Gateway::new(seed, settings.clone()).map_err(ConfigError::from)?;
        let (inbox, inputs) = mpsc::channel(INBOX);
        let fixed = counter.clone();
        Ok(Driver {
            gateway,
            clock,
            tick: duration(settings.tick).max(Duration::from_millis(1)),
            site: NamedSettings::unnamed(settings),
            inbox,
            inputs,
            pool: Rc::new(pool),
            counter: Some(counter),
            counter_at: Box::new(move |_| fixed.clone()),
            calls: Calls::default(),
            post: None,
            backends: HashMap::new(),
            roster: DiscoveredList::default(),
            book: MaintenanceOrders::default(),
            orders: None,
            handover: None,
            requests: HashMap::new(),
            timers: BinaryHeap::new(),
            batch: Vec::new(),
            actions: Vec::new(),
            ready: watch::channel(false).0,
            ready_at: None,
            closing: false,
            watched: None,
        })
    }

    /// The connections to backends.
    pub fn pool(&self) -> Rc<Pool> {
        self.pool.clone()
    }

    /// The way in.
    pub fn inbox(&self) -> Inbox {
        self.inbox.clone()
    }

    /// Runs for ever. Like the simulator it tells the module what has come in at most once a tick.
    pub async fn run(mut self) {
        let pool = self.pool.clone();
        tokio::task::spawn_local(async move { pool.watch().await });
        let mut look = interval(LOOK_EVERY);
        look.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut leave = interval(LEAVE_EVERY);
        leave.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last = Instant::now();
        loop {
            let due = match self.timers.peek() {
                _ if !self.batch.is_empty() => Some(last + self.tick),
                Some(Reverse((at, _))) => Some(self.clock.instant(*at).max(last + self.tick)),
                None => None,
            };
            tokio::select! {
                biased;
                () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                    last = Instant::now();
                    self.turn();
                }
                () = sleep_until(self.ready_at.unwrap_or_else(Instant::now)), if self.ready_at.is_some() => {
                    self.become_ready();
                }
                _ = look.tick(), if self.orders.is_some() => self.look_for_orders(),
                _ = leave.tick(), if self.handover.is_some() => self.leave(),
                input = self.inputs.recv() => {
                    let mut next = input;
                    while let Some(input) = next {
                        self.take(input);
                        next = self.inputs.try_recv().ok();
                    }
                }
            }
        }
    }

    /// Tells the module all that has come in and carries out what it decides.
    fn turn(&mut self) {
        let now = self.clock.now();
        while self.timers.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            self.batch.extend(self.timers.pop().map(|Reverse((_, id))| Event::Timer(id)));
        }
        let mut actions = std::mem::take(&mut self.actions);
        for event in std::mem::take(&mut self.batch) {
            let ended = match &event {
                Event::ClientGone(id) => Some(*id),
                Event::AttemptEnded(end) => Some(end.id),
                _ => None,
            };
            self.gateway.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action);
            }
            // Only now the module sends nothing more for it. Guards against attempts whose end it never hears,
            // and holds against their servers for good.
            ended.into_iter().for_each(|id| self.tidy(id));
        }
        self.actions = actions;
    }

    /// Translates what came in to an event of the module's.
    fn take(&mut self, input: Input) {
        match input {
            Input::Taken(taken) => {
                let Taken { arrival, forward, reply } = *taken;
                let (class, forward) = (arrival.class, Rc::new(forward));
                let open = Open { class, reply: Some(reply), forward, attempts: Vec::new(), spare: None };
                self.requests.insert(arrival.id, open);
                self.batch.push(Event::Request(arrival));
            }
            Input::Gone(id) => {
                if let Some(open) = self.requests.get_mut(&id).filter(|open| open.reply.is_some()) {
                    open.reply = None;
                    self.batch.push(Event::ClientGone(id));
                }
            }
            Input::Members(list) => {
                self.told(list);
                self.become_ready();
            }
            Input::Backends(scope, listings) => self.backends(scope, listings),
            Input::Counter(address) => {
                let held = self.counter.as_ref().and_then(|counter| counter.at());
                if address.is_some() && address != held {
                    // Calls under way keep the old one until they end; its idle connections end with it.
                    self.counter = address.map(&self.counter_at);
                }
            }
            Input::Post(post) => self.post = Some(post),
            Input::Rules(rules) => self.batch.push(Event::Rules(rules)),
            Input::Alone(alone) => self.batch.push(Event::Isolated(alone)),
            Input::Zones(parts) => {
                let parts = parts.into_iter().map(|(zone, part)| (self.site.zone(&zone), part)).collect();
                self.batch.push(Event::ZoneShares(parts));
            }
            Input::Closing(by) => {
                self.closing = true;
                self.batch.push(Event::ShutDown(by));
            }
            Input::Order { id, out, reply } => drop(reply.send(self.order(&id, out))),
            Input::Peer(from, message) => self.batch.push(Event::Peer(from, message)),
            Input::Counted(name, serial, counted) => {
                let nth = self.calls.answered(name, serial);
                self.batch.extend(counted.share.map(|share| Event::Share(name, share)));
                if let Some(nth) = nth.filter(|_| !counted.rooms.is_empty()) {
                    self.batch.push(Event::FastestServers(name, nth, counted.rooms));
                }
                self.batch.extend(nth.map(|nth| Event::Counted(name, nth, counted.outcome, counted.total)));
            }
            Input::Began(id, attempt, server, mut download, head, took) => {
                let inbox = self.inbox.clone();
                download.when_ended(move |outcome| {
                    if !matches!(outcome, Outcome::Ok | Outcome::Cancelled) {
                        // It is told from where nobody can wait.
                        tokio::task::spawn_local(async move { inbox.send(Input::Broke(server)).await });
                    }
                });
                // From here on it is the client's, and its server has done its work.
                let ended = Ended { body: Some(Served::Passing(download)), head, ..Outcome::Ok.into() };
                self.take(Input::Ended(id, attempt, server, ended, took));
            }
            Input::Whole(id) => self.batch.push(Event::BodyComplete(id)),
            Input::Broke(server) => self.batch.push(Event::ResponseBroken(server)),
            Input::Ended(id, attempt, server, ended, took) => {
                let Some(open) = self.requests.get_mut(&id) else { return };
                let was_out =
                    open.attempts.get_mut(attempt).is_some_and(|a| std::mem::replace(&mut a.out, false));
                if let Some(counter) = self.counter.as_ref().filter(|_| was_out) {
                    counter.came_back(server, ended.outcome, took);
                }
                if let Some(watched) = &self.watched {
                    let class = self.site.settings.classes.get(open.class.0);
                    watched.ended(
                        server,
                        ended.outcome,
                        ended.refused,
                        class.is_some_and(|c| took > c.target),
                    );
                }
                // The first success is the client's at once and ends the request; the module hears of it. Another whole
                // answer is kept in case that nothing better comes.
                match (ended.outcome, ended.body) {
                    (Outcome::Ok, Some(body)) => {
                        if let Some(reply) = open.reply.take() {
                            let _ = reply.send(Answer::Served(body, ended.head));
                        }
                    }
                    (_, Some(body)) => open.spare = Some((body, ended.head)),
                    (_, None) => {}
                }
                self.ended(id, attempt, server, ended.outcome, took);
            }
        }
    }

    /// Tells the module of an attempt's end with the next batch.
    fn ended(&mut self, id: RequestId, attempt: usize, server: ServerId, outcome: Outcome, took: Micros) {
        let ended = self.requests.get(&id).is_none_or(|open| open.reply.is_none());
        let (actual_units, report) = (None, Report::default());
        let end = AttemptEnd { id, attempt, server, outcome, took, ended, actual_units, report };
        self.batch.push(Event::AttemptEnded(end));
    }

    fn told(&mut self, list: MemberList) {
        let list = self.roster.apply(list, &self.book);
        self.members(list);
    }

    /// Puts an order in force, once it is kept: a yes holds also after a kill.
    fn order(&mut self, id: &str, out: bool) -> Ordered {
        if !*self.ready.borrow() {
            return Ordered::NotReady;
        }
        if !self.roster.contains(id) && !self.book.is_out(id) {
            return Ordered::Unknown;
        }
        let now = self.clock.now();
        let mut next = self.book.clone();
        let (mut changed, mut ordered) = (Vec::new(), Ok(false));
        let mut change = |held: MaintenanceOrders| {
            changed = next.merge(&held);
            ordered = next.set_order(id, out, now);
            next.clone()
        };
        let kept = match &mut self.orders {
            Some(orders) => orders.replace(change).map_err(|problem| problem.to_string()),
            None => {
                change(MaintenanceOrders::default());
                Ok(())
            }
        };
        if let Err(problem) = kept.and_then(|()| ordered.map_err(|problem| problem.to_string())) {
            warn!(id, out, problem, "an order was not kept");
            return Ordered::NotKept(problem);
        }
        self.book = next;
        changed.push(id.to_string());
        self.members(self.roster.changes_for(&changed, &self.book));
        Ordered::Done
    }

    /// Leaves what was learned to the process that takes over.
    fn leave(&mut self) {
        let (Some(handover), learned) = (&self.handover, self.gateway.learned_state()) else { return };
        // One that has learned nothing yet must not put that in the place of what is there.
        if learned.per_weight > 0.0 && !self.closing {
            if let Err(problem) = handover.write(&learned) {
                debug!(%problem, "what was learned is not left to the next process");
            }
        }
    }

    /// Puts in force what another process of this gateway was ordered.
    fn look_for_orders(&mut self) {
        let Some(news) = self.orders.as_mut().and_then(Orders::news) else { return };
        let changed = self.book.merge(&news);
        if !changed.is_empty() {
            info!(?changed, "orders came in at another process");
            self.members(self.roster.changes_for(&changed, &self.book));
        }
    }

    fn members(&mut self, list: MemberList) {
        let scope = if list.complete { ListScope::Complete } else { ListScope::Changes };
        debug!(revision = list.revision, complete = list.complete, entries = list.members.len(), "members");
        let mut entries = Vec::with_capacity(list.members.len());
        for member in list.members {
            let server = self.site.server(&member.id);
            self.watched.iter_mut().for_each(|watched| watched.listed(server, &member.locality));
            let listed = match member.phase {
                Phase::Ready => Listed::InService,
                Phase::Draining => Listed::Draining,
                Phase::Gone => Listed::Gone,
            };
            let (address, up_since_ms) = (member.host_port, member.up_since_ms);
            let stays = |b: &Rc<Backend>| b.address == address && b.up_since_ms == up_since_ms;
            if listed != Listed::InService {
                self.backends.remove(&server).into_iter().for_each(|b| self.pool.close(&b));
            } else if !self.backends.get(&server).is_some_and(stays) {
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
            let told: HashSet<ServerId> = entries.iter().map(|e| e.server).collect();
            self.backends.retain(|server, backend| {
                let stays = told.contains(server);
                if !stays {
                    self.pool.close(backend);
                }
                stays
            });
        }
        // Guards against growing with every backend there ever was.
        self.site.servers.retain(|server, _| self.backends.contains_key(server));
        self.watched.iter_mut().for_each(|watched| watched.keep(|server| self.backends.contains_key(server)));
        self.batch.push(Event::Servers(scope, entries));
    }

    /// Backends by entries of their own: who stands at an address is told apart by name.
    fn backends(&mut self, scope: ListScope, listings: Vec<Listing>) {
        let mut entries = Vec::with_capacity(listings.len());
        for Listing { entry, address, name } in listings {
            let stays = |b: &Rc<Backend>| b.address == address && b.name.as_ref() == Some(&name);
            if entry.listed != Listed::InService {
                self.backends.remove(&entry.server).into_iter().for_each(|b| self.pool.close(&b));
            } else if !self.backends.get(&entry.server).is_some_and(stays) {
                let new = Rc::new(self.pool.backend(address, 0, Some(name)));
                self.backends.insert(entry.server, new).into_iter().for_each(|b| self.pool.close(&b));
            }
            entries.push(entry);
        }
        self.batch.push(Event::Servers(scope, entries));
    }

    fn become_ready(&mut self) {
        self.ready_at = None;
        if !self.ready.send_replace(true) {
            info!(backends = self.backends.len(), "ready");
        }
    }

    fn act(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send(id, server, until) => self.send(now, id, server, until),
            Action::Refuse(id, wait) => self.answer(id, Answer::Refused(wait)),
            Action::Fail(id) => self.answer(id, Answer::Failed),
            Action::Cancel(id, attempt) => {
                let attempt = self.requests.get_mut(&id).and_then(|open| open.attempts.get_mut(attempt));
                if let Some(call_off) = attempt.and_then(|a| a.call_off.take()) {
                    // The attempt tells its end itself, once its connection is closed; it may have ended.
                    let _ = call_off.send(());
                }
            }
            Action::Count(name, amount, life) => {
                self.count(name, |counter| counter.count(name, amount, life));
            }
            Action::Draw(name, units, within) => {
                self.count(name, |counter| counter.draw(name, units, within));
            }
            Action::Charge(name, units) => {
                self.counter.iter().for_each(|counter| counter.charge(name, units));
            }
            Action::Tell(to, message) => self.post.iter().for_each(|post| post.send(to, &message)),
            Action::SetTimer(id, after) => self.timers.push(Reverse((now + after, id))),
            // Probing is not allowed here, and the watch on the list never stops.
            Action::Probe(_) | Action::Subscribe | Action::FetchList => {}
        }
    }

    fn answer(&mut self, id: RequestId, answer: Answer) {
        let open = self.requests.get_mut(&id);
        if let Some((reply, spare)) = open.and_then(|open| Some((open.reply.take()?, open.spare.take()))) {
            let answer = spare.map_or(answer, |(body, head)| Answer::Served(body, head));
            // A client that has just gone needs no answer.
            let _ = reply.send(answer);
            self.tidy(id);
        }
    }

    fn tidy(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(Open::over) {
            self.requests.remove(&id);
        }
    }

    fn send(&mut self, now: Micros, id: RequestId, server: ServerId, until: Micros) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let attempt = open.attempts.len();
        let backend = self.backends.get(&server).filter(|_| open.reply.is_some()).cloned();
        let Some(backend) = backend else {
            // The client went, or the list changed, after the module was told last.
            open.attempts.push(Attempt { out: false, call_off: None });
            return self.ended(id, attempt, server, Outcome::NotSent, Micros(0));
        };
        let (call_off, called_off) = oneshot::channel();
        open.attempts.push(Attempt { out: true, call_off: Some(call_off) });
        self.counter.iter().for_each(|counter| counter.sent(server));
        let (pool, forward, inbox) = (self.pool.clone(), open.forward.clone(), self.inbox.clone());
        let (until, clock) = (self.clock.instant(until), self.clock);
        tokio::task::spawn_local(async move {
            let attempt_ended = pool.attempt(&backend, &forward, until, called_off);
            let ended = match forward.whole() {
                None => attempt_ended.await,
                Some(whole) => {
                    tokio::pin!(attempt_ended);
                    tokio::select! {
                        ended = &mut attempt_ended => ended,
                        _ = whole.wait() => {
                            let _ = inbox.send(Input::Whole(id)).await;
                            attempt_ended.await
                        }
                    }
                }
            };
            // The time of a body that is passed on runs from its last byte.
            let from = forward.whole_at().map_or(now, |at| clock.at(at));
            let took = clock.now() - from;
            let input = match ended.body {
                Some(Served::Passing(download)) => {
                    Input::Began(id, attempt, server, download, ended.head, took)
                }
                _ => Input::Ended(id, attempt, server, ended, took),
            };
            // The driver outlives every attempt but for the exit of the process.
            let _ = inbox.send(input).await;
        });
    }

    fn count(&mut self, name: CountName, call: impl FnOnce(Rc<dyn CounterTransport>) -> CounterCall) {
        let serial = self.calls.made(name);
        let (counting, inbox) = (self.counter.clone().map(call), self.inbox.clone());
        tokio::task::spawn_local(async move {
            let counted = match counting {
                Some(counting) => counting.await,
                None => Outcome::ConnectFailed.into(),
            };
            let _ = inbox.send(Input::Counted(name, serial, counted)).await;
        });
    }
}

fn duration(span: Micros) -> Duration {
    Duration::from_micros(span.0)
}
