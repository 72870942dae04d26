//! The owner of the registry's tables: one task, which works through a queue of commands. Nothing here waits.

use crate::members::VoterSets;
use crate::wire::{
    CounterStatus, KnownState, PeerReport, RegistryRequest, RegistryResponse, RegistryStatus, RegistryUpdate,
};
use starlinghill_catalog::{number, service_number, BackendState, Catalog, Instance, Liveness, Observation};
use starlinghill_config_model::items::digest;
use starlinghill_config_model::{Item, ItemKind};
use starlinghill_config_store::wire::Value;
use starlinghill_consensus::Members;
use starlinghill_failure_detector::GatewayLiveness;
use starlinghill_lease::contact::{LastQuorumContact, QuorumContact, StalenessBudget};
use starlinghill_lease::{self as lease, LeaseParticipant};
use starlinghill_quota_counter::{ListedBackend, QuotaCounter};
use starlinghill_rate_limit::Allowance;
use starlinghill_runtime::essential_tasks::EssentialTasks;
use starlinghill_runtime::queue::QueueGauge;
use starlinghill_runtime::settings::NodeSettings;
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// How many commands may wait; whoever has one more waits with it.
const QUEUE: usize = 1024;
/// The most questions that wait at once; one more is answered at once.
const MOST_WAITING: usize = 4_096;
/// The system's time begins here, in microseconds: windows of quotas must not begin at nothing.
const EPOCH: u64 = 1_000_000_000;

/// What the owner is told.
pub enum Command {
    /// A question over the wire.
    Request(RegistryRequest, oneshot::Sender<RegistryResponse>),
    /// A backend's beat, with what it says of warmth in microseconds.
    Beat(Instance, u64, oneshot::Sender<Instance>),
    /// A backend leaves.
    Leave(String, oneshot::Sender<()>),
    /// The store beside it says what was agreed on, with a majority's word on that, asked at that moment.
    StoreUpdate(Option<Value>, Option<QuorumContact>, Instant),
    /// It says, asked at that moment if it votes, who the members are, and whom it accepted beyond those.
    Members(Option<Duration>, Members, Option<Members>),
    /// Another registry says who the members are.
    NewerMembers(Members),
    /// How long this registry runs, by its owner's clock.
    Clock(oneshot::Sender<Duration>),
    /// Time passes: answered with what to ask other registries.
    Tick(oneshot::Sender<TickWork>),
    /// Another registry has answered on the duty.
    LeaseReply(IpAddr, Duration, lease::LeaseRequest<IpAddr>, lease::LeaseReply),
    /// The process ends: answered with whom to tell what.
    End(oneshot::Sender<Option<(IpAddr, lease::LeaseRequest<IpAddr>)>>),
}

/// What other registries are to be asked now.
pub struct TickWork {
    /// On the duty, asked at that moment.
    pub duty: Option<(Duration, lease::LeaseRequest<IpAddr>)>,
    /// The epoch that goes with it.
    pub epoch: u64,
    /// What was heard since the last word.
    pub heard: Option<PeerReport>,
}

/// The way to the owner.
pub type StateHandle = mpsc::Sender<Command>;

struct Tables {
    incarnation: u64,
    /// The whole system starts for the first time.
    first: bool,
    /// What the rules let tenants have beyond their quotas.
    allowance: Allowance,
    /// Violations of quotas that the log was told of.
    violations: u64,
    start: Instant,
    /// The system's time at that moment. Only ever moves forward: the highest that anybody tells counts.
    base: u64,
    catalog: Catalog,
    /// The items with the number of their last change.
    items: BTreeMap<(ItemKind, String), (Item, u64)>,
    chain: StalenessBudget,
    /// A majority's word that the items are all.
    contact: Option<LastQuorumContact>,
    sets: VoterSets,
    me: IpAddr,
    /// Until when the store's word on the members counts.
    vouched: Duration,
    /// The number of the news of the last change of the members.
    members_changed: u64,
    /// What stands for the items in force at each gateway.
    in_force: BTreeMap<IpAddr, u64>,
    /// What gateways say of each other.
    sight: GatewayLiveness,
    duty: LeaseParticipant<IpAddr>,
    gauge: Option<QuotaCounter>,
    /// Up to which number of the catalog's the count has the list.
    listed: u64,
    told_holder: Option<(u64, IpAddr)>,
    /// The number of the news of the last change of the holder.
    holder_changed: u64,
    /// Questions, and when they came.
    waiting: Vec<(KnownState, Duration, oneshot::Sender<RegistryResponse>)>,
    relayed: Duration,
    rounds: u32,
}

/// Runs the owner of a registry. Without it the process is of no use.
pub fn start(node: &NodeSettings, essentials: &EssentialTasks) -> StateHandle {
    let me = node.ip;
    let (queue, mut commands) = mpsc::channel(QUEUE);
    let chain = StalenessBudget::of(node.bounds.apply);
    let mut tables = Tables {
        incarnation: fastrand::u64(1..),
        first: node.first_start,
        allowance: node.bounds.allowance(),
        violations: 0,
        start: Instant::now(),
        base: EPOCH,
        catalog: Catalog::new(node.beat),
        items: BTreeMap::new(),
        chain,
        contact: None,
        duty: LeaseParticipant::new(me, Duration::ZERO),
        sets: VoterSets::new(chain.contact),
        me,
        vouched: Duration::ZERO,
        members_changed: 0,
        in_force: BTreeMap::new(),
        sight: GatewayLiveness::default(),
        gauge: None,
        listed: 0,
        told_holder: None,
        holder_changed: 0,
        waiting: Vec::new(),
        relayed: Duration::ZERO,
        rounds: 0,
    };
    essentials.spawn("tables", async move {
        let mut gauge = QueueGauge::new("tables", QUEUE);
        while let Some(command) = commands.recv().await {
            gauge.observe_and_log(commands.len() + 1);
            tables.take(command);
        }
    });
    queue
}

impl Tables {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn time(&self) -> u64 {
        self.base + self.now().as_micros() as u64
    }

    fn hear_time(&mut self, time: u64) {
        self.base = self.base.max(time.saturating_sub(self.now().as_micros() as u64));
    }

    fn may_vouch(&self, now: Duration) -> bool {
        self.chain.may_vouch(self.contact.map(|contact| contact.age(now)))
    }

    fn take(&mut self, command: Command) {
        let now = self.now();
        let before = self.catalog.urgent();
        match command {
            Command::Request(question, reply) => return self.asked(now, question, reply),
            Command::Beat(instance, warmup, reply) => {
                let instance = Instance { warm_at: self.time() + warmup, ..instance };
                let id = instance.id.clone();
                if self.catalog.heard(now, instance.clone(), Duration::ZERO) {
                    let state = self.catalog.get(&id).map_or(instance.state, |known| known.state);
                    log::info!(
                        "event=backend id={id} service={} address={} state={state:?}",
                        instance.service,
                        instance.address
                    );
                }
                let _ = reply.send(self.catalog.get(&id).cloned().unwrap_or(instance));
            }
            Command::Leave(id, reply) => {
                let known = self.catalog.left(now, &id);
                log::info!("event=backend_left id={id} known={known}");
                let _ = reply.send(());
            }
            Command::StoreUpdate(items, contact, asked) => {
                let had = self.may_vouch(now);
                let asked = asked.saturating_duration_since(self.start);
                let heard = contact.map(|contact| LastQuorumContact::passed_on(contact, asked, now));
                self.contact = LastQuorumContact::newer(self.contact, heard, now);
                if !had && self.may_vouch(now) {
                    // Gateways that have just started wait for this word.
                    self.catalog.number();
                }
                self.store(items.unwrap_or_default());
            }
            Command::Members(asked, members, proposed) => {
                self.vouched =
                    asked.map_or(self.vouched, |asked| self.vouched.max(asked + self.chain.contact));
                self.sets.propose(now, proposed.as_ref());
                self.follow(now, &members);
            }
            Command::NewerMembers(members) => self.follow(now, &members),
            Command::Clock(reply) => drop(reply.send(now)),
            Command::Tick(reply) => {
                let due = self.tick(now);
                let _ = reply.send(due);
            }
            Command::LeaseReply(from, asked, ask, tell) => self.duty.told(now, from, asked, ask, tell),
            Command::End(reply) => {
                let next = self.sets.members().voters.iter().map(|m| m.ip).find(|ip| *ip != self.me);
                self.gauge = None;
                let _ = reply.send(next.and_then(|next| self.duty.leave(now, next)));
            }
        }
        self.look_at_duty(now);
        self.list_backends(now);
        if self.catalog.urgent() != before {
            self.answer_waiting(true);
        }
    }

    /// Those are the members, if they are newer than the ones that are known.
    fn follow(&mut self, now: Duration, members: &Members) {
        if self.sets.follow(now, members) {
            log::info!("event=members epoch={} voters={:?}", members.epoch, members.voters);
            self.members_changed = self.catalog.number();
        }
        let sets = self.sets.count(now);
        self.duty.vouch(sets, self.vouched);
    }

    /// What counts toward a majority must be told among the members as they are.
    fn noted(&self, epoch: u64) -> RegistryResponse {
        match epoch < self.sets.members().epoch {
            true => RegistryResponse::NewerMembers(self.sets.members().clone()),
            false => RegistryResponse::Acknowledged,
        }
    }

    /// The count goes by the same list as the gateways.
    fn list_backends(&mut self, now: Duration) {
        let (seq, time) = (self.catalog.seq(), self.time());
        let Some(gauge) = self.gauge.as_mut().filter(|_| self.listed != seq) else { return };
        for Observation { instance, liveness } in self.catalog.since(self.listed).backends {
            gauge.loads.listed(
                now,
                ListedBackend {
                    backend: instance.number(),
                    service: service_number(&instance.service),
                    zone: number(&instance.zone),
                    capacity: instance.capacity,
                    serves: instance.state == BackendState::Ready && liveness < Liveness::Lost,
                    silent: liveness == Liveness::Silent,
                    cold_for: Duration::from_micros(instance.warm_at.saturating_sub(time)),
                },
            );
        }
        self.listed = seq;
    }

    fn store(&mut self, items: Vec<Item>) {
        for item in items {
            let key = (item.kind, item.name.clone());
            let stands = self.items.get(&key).map(|(known, _)| known.version);
            if stands.is_none_or(|version| version < item.version) {
                let seq = self.catalog.number();
                log::info!("event=item kind={:?} name={} version=r{}", item.kind, item.name, item.version);
                self.items.insert(key, (item, seq));
            }
        }
    }

    fn asked(&mut self, now: Duration, question: RegistryRequest, reply: oneshot::Sender<RegistryResponse>) {
        let before = self.catalog.urgent();
        // Whoever asked may have gone.
        let answer = |reply: oneshot::Sender<RegistryResponse>, answer| drop(reply.send(answer));
        match question {
            RegistryRequest::Poll(have) => {
                self.hear_time(have.time);
                self.duty.seen(have.counter_term);
                self.in_force.insert(have.gateway.ip, have.items_digest);
                self.sight.told(now, have.gateway.ip, have.gateway.life, &have.sightings);
                if have.leaving {
                    self.catalog.leaves(now, &have.gateway);
                } else {
                    self.catalog.asks(now, have.gateway.clone(), Duration::ZERO);
                }
                let nothing_new =
                    have.registry_incarnation == self.incarnation && have.seq >= self.catalog.urgent();
                if nothing_new && self.waiting.len() < MOST_WAITING {
                    self.waiting.push((have, now, reply));
                } else {
                    let news = self.news(&have, now);
                    answer(reply, RegistryResponse::Update(Box::new(news)));
                }
            }
            RegistryRequest::Draw { term, from, draws, load_reports } => {
                let levels = match &mut self.gauge {
                    Some(gauge) if gauge.term == term && self.duty.may_draw(now, term) => {
                        gauge.loads.tell(now, from, &load_reports);
                        gauge.draw(now, from, &draws)
                    }
                    _ => None,
                };
                let time = self.time();
                let term = self.duty.holder().map_or(0, |(term, _)| term);
                answer(
                    reply,
                    levels.map_or(RegistryResponse::NotHolder(term), |levels| {
                        RegistryResponse::Levels(levels, time)
                    }),
                );
            }
            RegistryRequest::Recall { term, from, readings } => match &mut self.gauge {
                Some(gauge) if gauge.term == term && self.duty.may_draw(now, term) => {
                    gauge.recall(now, from, &readings);
                    answer(reply, RegistryResponse::Acknowledged);
                }
                _ => {
                    answer(reply, RegistryResponse::NotHolder(self.duty.holder().map_or(0, |(term, _)| term)))
                }
            },
            RegistryRequest::Lease(epoch, _) if epoch < self.sets.members().epoch => {
                answer(reply, self.noted(epoch))
            }
            RegistryRequest::Lease(_, ask) => {
                let tell = self.duty.asked(now, ask);
                answer(reply, RegistryResponse::Lease(tell));
            }
            RegistryRequest::Report(heard) => {
                let noted = self.noted(heard.epoch);
                self.heard(now, heard);
                answer(reply, noted);
            }
            RegistryRequest::BackendLeft(epoch, id) => {
                self.catalog.left(now, &id);
                answer(reply, self.noted(epoch));
            }
            RegistryRequest::Status => {
                let status = self.status(now);
                answer(reply, RegistryResponse::Status(Box::new(status)));
            }
            RegistryRequest::DrainBackend(id) => match self.catalog.get(&id).cloned() {
                Some(instance) => {
                    log::info!("event=drain_ordered id={id}");
                    let state = instance.state.max(BackendState::Draining);
                    self.catalog.heard(now, Instance { state, ..instance }, Duration::ZERO);
                    answer(reply, RegistryResponse::Acknowledged);
                }
                None => answer(reply, RegistryResponse::UnknownBackend),
            },
            RegistryRequest::FullReport => answer(
                reply,
                RegistryResponse::FullReport(PeerReport {
                    epoch: self.sets.members().epoch,
                    backends: self.catalog.heard_within(now, Duration::MAX),
                    gateways: self.catalog.asked_within(now, Duration::MAX),
                    time: self.time(),
                }),
            ),
        }
        self.look_at_duty(now);
        self.list_backends(now);
        if self.catalog.urgent() != before {
            self.answer_waiting(true);
        }
    }

    fn status(&self, now: Duration) -> RegistryStatus {
        let holder = self.duty.holder();
        let item =
            |(item, _): &(Item, u64)| (item.kind, item.name.clone(), item.version, item.body.is_some());
        let in_force = |ip: &IpAddr| self.in_force.get(ip).copied().unwrap_or_default();
        let gateways = self.catalog.asked_within(now, Duration::MAX);
        let told = |count: &QuotaCounter| CounterStatus {
            silent_gateways: count.state().1 as u64,
            quota_stores: count.stores(now),
            backend_loads: count.loads.seen(),
        };
        RegistryStatus {
            ip: self.me,
            incarnation: self.incarnation,
            time: self.time(),
            has_quorum_contact: self.may_vouch(now),
            members: self.sets.members().clone(),
            items: self.items.values().map(item).collect(),
            items_digest: digest(self.items.values().map(|(item, _)| item)),
            backends: self.catalog.all(now),
            gateways: gateways
                .into_iter()
                .map(|(gateway, ago)| {
                    let digest = in_force(&gateway.ip);
                    (gateway, ago, digest)
                })
                .collect(),
            counter_holder: holder,
            counter: self.gauge.as_ref().filter(|_| self.duty.holds(now).is_some()).map(told),
        }
    }

    fn heard(&mut self, now: Duration, heard: PeerReport) {
        self.hear_time(heard.time);
        for (instance, ago) in heard.backends {
            self.catalog.heard(now, instance, Duration::from_millis(ago));
        }
        for (gateway, ago) in heard.gateways {
            self.catalog.asks(now, gateway, Duration::from_millis(ago));
        }
    }

    /// What is new to one that asked at that moment.
    fn news(&self, have: &KnownState, asked: Duration) -> RegistryUpdate {
        let now = self.now();
        let since = if have.registry_incarnation == self.incarnation { have.seq } else { 0 };
        let new = self.catalog.since(since);
        // The same as with backends: nothing to look through where nothing is new.
        let to_look_at = if since < self.catalog.seq() { self.items.len() } else { 0 };
        let items = self.items.values().take(to_look_at).filter(|(_, seq)| *seq > since);
        let holder = self.duty.holder();
        RegistryUpdate {
            registry_incarnation: self.incarnation,
            seq: self.catalog.seq(),
            contact: self.contact.filter(|_| self.may_vouch(now)).map(|contact| contact.pass_on(now, asked)),
            items: items.map(|(item, _)| item.clone()).collect(),
            backends: new.backends,
            complete: since == 0,
            gateways: new.gateways,
            counter_holder: holder.filter(|_| self.holder_changed > since),
            members: (self.members_changed > since).then(|| self.sets.members().clone()),
            time: self.time(),
        }
    }

    /// Answers the questions that have waited long enough, or all.
    fn answer_waiting(&mut self, all: bool) {
        let (now, holds) = (self.now(), self.chain.registry_holds);
        let (due, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|(_, asked, _)| all || now.saturating_sub(*asked) >= holds);
        self.waiting = waiting;
        let due: Vec<(KnownState, Duration, oneshot::Sender<RegistryResponse>)> = due;
        for (have, asked, reply) in due {
            let _ = reply.send(RegistryResponse::Update(Box::new(self.news(&have, asked))));
        }
    }

    fn tick(&mut self, now: Duration) -> TickWork {
        for id in self.catalog.tick(now) {
            log::warn!("event=backend_lost id={id}");
        }
        let catalog = &self.catalog;
        self.in_force.retain(|ip, _| catalog.gateways().any(|gateway| gateway.ip == *ip));
        if let Some(gauge) = &mut self.gauge {
            let all = self.catalog.gateways().map(|gateway| gateway.ip).collect();
            // What the dead had as their share is for the others.
            let dead = self.sight.dead(now, &all);
            let living = self.catalog.gateways().filter(|gateway| !dead.contains(&gateway.ip));
            let mut lives = BTreeSet::new();
            for gateway in living {
                lives.insert(gateway.life);
                gauge.loads.gateway(gateway.life, number(&gateway.zone));
            }
            let before = gauge.state().1;
            gauge.tick(now, &lives);
            if gauge.state().1 != before {
                log::info!("event=gateways_silent count={} of={}", gauge.state().1, lives.len());
            }
            let violations = gauge.violations();
            if std::mem::replace(&mut self.violations, violations) < violations {
                log::error!("event=quota_exceeded term={} windows={violations}", gauge.term);
            }
        }
        self.answer_waiting(false);
        self.rounds += 1;
        let sets = self.sets.count(now);
        self.duty.vouch(sets, self.vouched);
        let epoch = self.sets.members().epoch;
        let duty = self.duty.tick(now, self.time() / TERM).map(|ask| (now, ask));
        // What others may know a little later: beats that say nothing new.
        let heard = self.rounds.is_multiple_of(RELAY_ROUNDS).then(|| {
            let since = now.saturating_sub(std::mem::replace(&mut self.relayed, now));
            PeerReport {
                epoch,
                backends: self.catalog.heard_within(now, since),
                gateways: self.catalog.asked_within(now, since),
                time: self.time(),
            }
        });
        TickWork { duty, epoch, heard }
    }

    fn look_at_duty(&mut self, now: Duration) {
        let holds = self.duty.holds(now);
        if let Some(term) = holds.filter(|term| self.gauge.as_ref().is_none_or(|g| g.term != *term)) {
            let asked = self.catalog.asked_within(now, RECALLED_WITHIN);
            let gateways: Vec<u64> = asked.iter().map(|(gateway, _)| gateway.life).collect();
            log::info!("event=count_held term={term} gateways={}", gateways.len());
            self.gauge = Some(QuotaCounter::begin(now, term, self.first, self.allowance, gateways));
            self.violations = 0;
            self.listed = 0;
        }
        if self.duty.holder() != self.told_holder {
            self.told_holder = self.duty.holder();
            self.holder_changed = self.catalog.number();
        }
    }
}

/// A counter that begins waits for the gateways that asked anything within this time; others may be dead.
const RECALLED_WITHIN: Duration = Duration::from_millis(1_500);
/// Terms count the system's time, in microseconds, in steps of this, unless more are needed.
const TERM: u64 = 1_000;
/// Every so many ticks what was heard goes to the other registries.
const RELAY_ROUNDS: u32 = 8;

/// A backend says that it takes no new work.
pub fn refuses_new_work(instance: &Instance) -> bool {
    instance.state != BackendState::Ready
}
