//! The owner of the registry's tables: one task, which works through a queue of commands. Nothing here waits.

use crate::members::Sets;
use crate::wire::{
    CounterStatus, KnownState, PeerReport, RegistryRequest, RegistryResponse, RegistryStatus, RegistryUpdate,
};
use starlinghill_catalog::{name_hash, service_hash, BackendState, Catalog, Instance, Liveness, Observation};
use starlinghill_config_model::items::versions_digest;
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
    Ask(RegistryRequest, oneshot::Sender<RegistryResponse>),
    /// A backend's beat, with what it says of warmth in microseconds.
    Beat(Instance, u64, oneshot::Sender<Instance>),
    /// A backend leaves.
    Leave(String, oneshot::Sender<()>),
    /// The store beside it says what was agreed on, with a majority's word on that, asked at that moment.
    Store(Option<Value>, Option<QuorumContact>, Instant),
    /// It says, asked at that moment if it votes, who the members are, and whom it accepted beyond those.
    Members(Option<Duration>, Members, Option<Members>),
    /// Another registry says who the members are.
    Newer(Members),
    /// How long this registry runs, by its owner's clock.
    Now(oneshot::Sender<Duration>),
    /// Time passes: answered with what to ask other registries.
    Tick(oneshot::Sender<Due>),
    /// Another registry has answered on the duty.
    Duty(IpAddr, Duration, lease::LeaseRequest<IpAddr>, lease::LeaseReply),
    /// The process ends: answered with whom to tell what.
    End(oneshot::Sender<Option<(IpAddr, lease::LeaseRequest<IpAddr>)>>),
}

/// What other registries are to be asked now.
pub struct Due {
    /// On the duty, asked at that moment.
    pub duty: Option<(Duration, lease::LeaseRequest<IpAddr>)>,
    /// The epoch that goes with it.
    pub epoch: u64,
    /// What was heard since the last word.
    pub heard: Option<PeerReport>,
}

/// The way to the owner.
pub type Owner = mpsc::Sender<Command>;

struct Tables {
    life: u64,
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
    sets: Sets,
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
pub fn start(node: &NodeSettings, essentials: &EssentialTasks) -> Owner {
    let me = node.ip;
    let (queue, mut commands) = mpsc::channel(QUEUE);
    let chain = StalenessBudget::from_apply_bound(node.bounds.apply);
    let mut tables = Tables {
        life: fastrand::u64(1..),
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
        sets: Sets::new(chain.max_contact_age),
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
        let mut fill = QueueGauge::new("tables", QUEUE);
        while let Some(command) = commands.recv().await {
            fill.log(commands.len() + 1);
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
        self.chain.is_fresh(self.contact.map(|contact| contact.age(now)))
    }

    fn take(&mut self, command: Command) {
        let now = self.now();
        let before = self.catalog.urgent_seq();
        match command {
            Command::Ask(question, reply) => return self.asked(now, question, reply),
            Command::Beat(instance, warmup, reply) => {
                let instance = Instance { warm_at_us: self.time() + warmup, ..instance };
                let id = instance.id.clone();
                if self.catalog.record_backend(now, instance.clone(), Duration::ZERO) {
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
                let known = self.catalog.mark_gone(now, &id);
                log::info!("event=backend_left id={id} known={known}");
                let _ = reply.send(());
            }
            Command::Store(items, contact, asked) => {
                let had = self.may_vouch(now);
                let asked = asked.saturating_duration_since(self.start);
                let heard = contact.map(|contact| LastQuorumContact::from_peer(contact, asked, now));
                self.contact = LastQuorumContact::newest(self.contact, heard, now);
                if !had && self.may_vouch(now) {
                    // Gateways that have just started wait for this word.
                    self.catalog.next_urgent_seq();
                }
                self.store(items.unwrap_or_default());
            }
            Command::Members(asked, members, proposed) => {
                self.vouched =
                    asked.map_or(self.vouched, |asked| self.vouched.max(asked + self.chain.max_contact_age));
                self.sets.propose(now, proposed.as_ref());
                self.follow(now, &members);
            }
            Command::Newer(members) => self.follow(now, &members),
            Command::Now(reply) => drop(reply.send(now)),
            Command::Tick(reply) => {
                let due = self.tick(now);
                let _ = reply.send(due);
            }
            Command::Duty(from, asked, ask, tell) => self.duty.handle_reply(now, from, asked, ask, tell),
            Command::End(reply) => {
                let next = self.sets.members().voters.iter().map(|m| m.ip).find(|ip| *ip != self.me);
                self.gauge = None;
                let _ = reply.send(next.and_then(|next| self.duty.resign(now, next)));
            }
        }
        self.look_at_duty(now);
        self.list_backends(now);
        if self.catalog.urgent_seq() != before {
            self.answer_waiting(true);
        }
    }

    /// Those are the members, if they are newer than the ones that are known.
    fn follow(&mut self, now: Duration, members: &Members) {
        if self.sets.follow(now, members) {
            log::info!("event=members epoch={} voters={:?}", members.epoch, members.voters);
            self.members_changed = self.catalog.next_urgent_seq();
        }
        let sets = self.sets.count(now);
        self.duty.set_voters(sets, self.vouched);
    }

    /// What counts toward a majority must be told among the members as they are.
    fn noted(&self, epoch: u64) -> RegistryResponse {
        match epoch < self.sets.members().epoch {
            true => RegistryResponse::Newer(self.sets.members().clone()),
            false => RegistryResponse::Noted,
        }
    }

    /// The count goes by the same list as the gateways.
    fn list_backends(&mut self, now: Duration) {
        let (seq, time) = (self.catalog.seq(), self.time());
        let Some(gauge) = self.gauge.as_mut().filter(|_| self.listed != seq) else { return };
        for Observation { instance, liveness } in self.catalog.changes_since(self.listed).backends {
            gauge.loads.update_listing(
                now,
                ListedBackend {
                    backend: instance.id_hash(),
                    service: service_hash(&instance.service),
                    zone: name_hash(&instance.zone),
                    capacity: instance.capacity,
                    accepts_work: instance.state == BackendState::Ready && liveness < Liveness::Lost,
                    is_silent: liveness == Liveness::Silent,
                    warm_up_left: Duration::from_micros(instance.warm_at_us.saturating_sub(time)),
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
                let seq = self.catalog.next_urgent_seq();
                log::info!("event=item kind={:?} name={} version=r{}", item.kind, item.name, item.version);
                self.items.insert(key, (item, seq));
            }
        }
    }

    fn asked(&mut self, now: Duration, question: RegistryRequest, reply: oneshot::Sender<RegistryResponse>) {
        let before = self.catalog.urgent_seq();
        // Whoever asked may have gone.
        let answer = |reply: oneshot::Sender<RegistryResponse>, answer| drop(reply.send(answer));
        match question {
            RegistryRequest::News(have) => {
                self.hear_time(have.time);
                self.duty.observe_term(have.term);
                self.in_force.insert(have.gateway.ip, have.digest);
                self.sight.record_report(now, have.gateway.ip, have.gateway.incarnation, &have.seen);
                if have.leaving {
                    self.catalog.mark_gateway_leaving(now, &have.gateway);
                } else {
                    self.catalog.record_gateway(now, have.gateway.clone(), Duration::ZERO);
                }
                let nothing_new = have.rack == self.life && have.seq >= self.catalog.urgent_seq();
                if nothing_new && self.waiting.len() < MOST_WAITING {
                    self.waiting.push((have, now, reply));
                } else {
                    let news = self.news(&have, now);
                    answer(reply, RegistryResponse::News(Box::new(news)));
                }
            }
            RegistryRequest::Count { term, from, draws, words } => {
                let levels = match &mut self.gauge {
                    Some(gauge) if gauge.term == term && self.duty.may_act_in(now, term) => {
                        gauge.loads.apply_reports(now, from, &words);
                        gauge.draw(now, from, &draws)
                    }
                    _ => None,
                };
                let time = self.time();
                let term = self.duty.holder().map_or(0, |(term, _)| term);
                answer(
                    reply,
                    levels.map_or(RegistryResponse::NotMine(term), |levels| {
                        RegistryResponse::Levels(levels, time)
                    }),
                );
            }
            RegistryRequest::Recall { term, from, readings } => match &mut self.gauge {
                Some(gauge) if gauge.term == term && self.duty.may_act_in(now, term) => {
                    gauge.apply_readings(now, from, &readings);
                    answer(reply, RegistryResponse::Noted);
                }
                _ => answer(reply, RegistryResponse::NotMine(self.duty.holder().map_or(0, |(term, _)| term))),
            },
            RegistryRequest::Duty(epoch, _) if epoch < self.sets.members().epoch => {
                answer(reply, self.noted(epoch))
            }
            RegistryRequest::Duty(_, ask) => {
                let tell = self.duty.handle_request(now, ask);
                answer(reply, RegistryResponse::Duty(tell));
            }
            RegistryRequest::Heard(heard) => {
                let noted = self.noted(heard.epoch);
                self.heard(now, heard);
                answer(reply, noted);
            }
            RegistryRequest::Left(epoch, id) => {
                self.catalog.mark_gone(now, &id);
                answer(reply, self.noted(epoch));
            }
            RegistryRequest::Status => {
                let status = self.status(now);
                answer(reply, RegistryResponse::Status(Box::new(status)));
            }
            RegistryRequest::Drain(id) => match self.catalog.get(&id).cloned() {
                Some(instance) => {
                    log::info!("event=drain_ordered id={id}");
                    let state = instance.state.max(BackendState::Draining);
                    self.catalog.record_backend(now, Instance { state, ..instance }, Duration::ZERO);
                    answer(reply, RegistryResponse::Noted);
                }
                None => answer(reply, RegistryResponse::Unknown),
            },
            RegistryRequest::All => answer(
                reply,
                RegistryResponse::All(PeerReport {
                    epoch: self.sets.members().epoch,
                    backends: self.catalog.backends_heard_within(now, Duration::MAX),
                    gateways: self.catalog.gateways_heard_within(now, Duration::MAX),
                    time: self.time(),
                }),
            ),
        }
        self.look_at_duty(now);
        self.list_backends(now);
        if self.catalog.urgent_seq() != before {
            self.answer_waiting(true);
        }
    }

    fn status(&self, now: Duration) -> RegistryStatus {
        let holder = self.duty.holder();
        let item =
            |(item, _): &(Item, u64)| (item.kind, item.name.clone(), item.version, item.body.is_some());
        let in_force = |ip: &IpAddr| self.in_force.get(ip).copied().unwrap_or_default();
        let gateways = self.catalog.gateways_heard_within(now, Duration::MAX);
        let told = |count: &QuotaCounter| CounterStatus {
            silent: count.counts().1 as u64,
            stores: count.bucket_levels(now),
            rooms: count.loads.snapshot(),
        };
        RegistryStatus {
            ip: self.me,
            life: self.life,
            time: self.time(),
            fresh: self.may_vouch(now),
            members: self.sets.members().clone(),
            items: self.items.values().map(item).collect(),
            digest: versions_digest(self.items.values().map(|(item, _)| item)),
            backends: self.catalog.present_backends(now),
            gateways: gateways
                .into_iter()
                .map(|(gateway, ago)| {
                    let digest = in_force(&gateway.ip);
                    (gateway, ago, digest)
                })
                .collect(),
            holder,
            count: self.gauge.as_ref().filter(|_| self.duty.held_term(now).is_some()).map(told),
        }
    }

    fn heard(&mut self, now: Duration, heard: PeerReport) {
        self.hear_time(heard.time);
        for (instance, ago) in heard.backends {
            self.catalog.record_backend(now, instance, Duration::from_millis(ago));
        }
        for (gateway, ago) in heard.gateways {
            self.catalog.record_gateway(now, gateway, Duration::from_millis(ago));
        }
    }

    /// What is new to one that asked at that moment.
    fn news(&self, have: &KnownState, asked: Duration) -> RegistryUpdate {
        let now = self.now();
        let since = if have.rack == self.life { have.seq } else { 0 };
        let new = self.catalog.changes_since(since);
        // The same as with backends: nothing to look through where nothing is new.
        let to_look_at = if since < self.catalog.seq() { self.items.len() } else { 0 };
        let items = self.items.values().take(to_look_at).filter(|(_, seq)| *seq > since);
        let holder = self.duty.holder();
        RegistryUpdate {
            rack: self.life,
            seq: self.catalog.seq(),
            contact: self.contact.filter(|_| self.may_vouch(now)).map(|contact| contact.to_peer(now, asked)),
            items: items.map(|(item, _)| item.clone()).collect(),
            backends: new.backends,
            whole: since == 0,
            gateways: new.gateways,
            holder: holder.filter(|_| self.holder_changed > since),
            members: (self.members_changed > since).then(|| self.sets.members().clone()),
            time: self.time(),
        }
    }

    /// Answers the questions that have waited long enough, or all.
    fn answer_waiting(&mut self, all: bool) {
        let (now, holds) = (self.now(), self.chain.registry_long_poll);
        let (due, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|(_, asked, _)| all || now.saturating_sub(*asked) >= holds);
        self.waiting = waiting;
        let due: Vec<(KnownState, Duration, oneshot::Sender<RegistryResponse>)> = due;
        for (have, asked, reply) in due {
            let _ = reply.send(RegistryResponse::News(Box::new(self.news(&have, asked))));
        }
    }

    fn tick(&mut self, now: Duration) -> Due {
        for id in self.catalog.tick(now) {
            log::warn!("event=backend_lost id={id}");
        }
        let catalog = &self.catalog;
        self.in_force.retain(|ip, _| catalog.gateways().any(|gateway| gateway.ip == *ip));
        if let Some(gauge) = &mut self.gauge {
            let all = self.catalog.gateways().map(|gateway| gateway.ip).collect();
            // What the dead had as their share is for the others.
            let dead = self.sight.dead_gateways(now, &all);
            let living = self.catalog.gateways().filter(|gateway| !dead.contains(&gateway.ip));
            let mut lives = BTreeSet::new();
            for gateway in living {
                lives.insert(gateway.incarnation);
                gauge.loads.set_gateway_zone(gateway.incarnation, name_hash(&gateway.zone));
            }
            let before = gauge.counts().1;
            gauge.tick(now, &lives);
            if gauge.counts().1 != before {
                log::info!("event=gateways_silent count={} of={}", gauge.counts().1, lives.len());
            }
            let violations = gauge.violations();
            if std::mem::replace(&mut self.violations, violations) < violations {
                log::error!("event=quota_exceeded term={} windows={violations}", gauge.term);
            }
        }
        self.answer_waiting(false);
        self.rounds += 1;
        let sets = self.sets.count(now);
        self.duty.set_voters(sets, self.vouched);
        let epoch = self.sets.members().epoch;
        let duty = self.duty.tick(now, self.time() / TERM).map(|ask| (now, ask));
        // What others may know a little later: beats that say nothing new.
        let heard = self.rounds.is_multiple_of(RELAY_ROUNDS).then(|| {
            let since = now.saturating_sub(std::mem::replace(&mut self.relayed, now));
            PeerReport {
                epoch,
                backends: self.catalog.backends_heard_within(now, since),
                gateways: self.catalog.gateways_heard_within(now, since),
                time: self.time(),
            }
        });
        Due { duty, epoch, heard }
    }

    fn look_at_duty(&mut self, now: Duration) {
        let holds = self.duty.held_term(now);
        if let Some(term) = holds.filter(|term| self.gauge.as_ref().is_none_or(|g| g.term != *term)) {
            let asked = self.catalog.gateways_heard_within(now, RECALLED_WITHIN);
            let gateways: Vec<u64> = asked.iter().map(|(gateway, _)| gateway.incarnation).collect();
            log::info!("event=count_held term={term} gateways={}", gateways.len());
            self.gauge = Some(QuotaCounter::start(now, term, self.first, self.allowance, gateways));
            self.violations = 0;
            self.listed = 0;
        }
        if self.duty.holder() != self.told_holder {
            self.told_holder = self.duty.holder();
            self.holder_changed = self.catalog.next_urgent_seq();
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
pub fn is_last_word(instance: &Instance) -> bool {
    instance.state != BackendState::Ready
}
