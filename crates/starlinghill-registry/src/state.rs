//! The state of a registry. One task owns it and handles a queue of commands one by one; no command waits for I/O, so
//! no lock is needed.

use crate::members::VoterSets;
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

/// Commands in the queue; a sender of one more waits until there is room.
const MAX_QUEUED_COMMANDS: usize = 1024;
/// Polls of gateways that may be held open at once. One more is answered immediately, which costs the gateway only an
/// extra round trip.
const MAX_WAITING_POLLS: usize = 4_096;
/// First value of the system's time, in microseconds. It is well above zero so that a quota window that begins before
/// the first draw still has a valid start.
const SYSTEM_TIME_START_US: u64 = 1_000_000_000;

/// A command to the task that owns the state.
pub enum Command {
    /// A request that came over the network.
    Request(RegistryRequest, oneshot::Sender<RegistryResponse>),
    /// A heartbeat of a backend, and the remaining time of its warm-up in microseconds. The reply is the instance as
    /// it is known now.
    Heartbeat(Instance, u64, oneshot::Sender<Instance>),
    /// A backend deregisters itself.
    Leave(String, oneshot::Sender<()>),
    /// The configuration store on this machine returned items and the latest contact with a majority of stores. The
    /// instant is when it was asked; ages are counted from there.
    StoreUpdate(Option<Value>, Option<QuorumContact>, Instant),
    /// The store on this machine returned the agreed members and a newer set that it accepted but that may not be
    /// agreed on. The duration is when it was asked, by the clock of this state; absent where that store does not
    /// vote.
    Members(Option<Duration>, Members, Option<Members>),
    /// Another process returned a newer set of members.
    NewerMembers(Members),
    /// Returns the time since this state was created.
    Clock(oneshot::Sender<Duration>),
    /// Periodic work. The reply holds what to send to other registries.
    Tick(oneshot::Sender<TickWork>),
    /// Another registry replied to a lease request: its address, when it was asked, the request and the reply.
    LeaseReply(IpAddr, Duration, lease::LeaseRequest<IpAddr>, lease::LeaseReply),
    /// The process shuts down. The reply is the registry that should take over the counter's lease and the request to
    /// send to it, if this one holds the lease.
    End(oneshot::Sender<Option<(IpAddr, lease::LeaseRequest<IpAddr>)>>),
}

/// What a tick produces for the other registries.
pub struct TickWork {
    /// A request for the counter's lease, and when it was made.
    pub lease_request: Option<(Duration, lease::LeaseRequest<IpAddr>)>,
    /// The epoch of the members that the request goes by.
    pub epoch: u64,
    /// Backends and gateways that were heard of since the last report; present only in every `REPORT_EVERY_TICKS`-th
    /// tick.
    pub report: Option<PeerReport>,
}

/// Sends commands to the task that owns the state.
pub type StateHandle = mpsc::Sender<Command>;

struct RegistryState {
    incarnation: u64,
    /// The settings say that the whole system starts for the first time, so that no draws were made before.
    first_start: bool,
    /// How much tenants may draw beyond their quotas.
    allowance: Allowance,
    /// Quota violations that were already logged.
    violations: u64,
    start: Instant,
    /// The system's time at `start`, in microseconds. It only grows: the highest time that any process reports wins.
    system_time_base_us: u64,
    catalog: Catalog,
    /// Configuration items, each with the catalog's sequence number of its last change.
    items: BTreeMap<(ItemKind, String), (Item, u64)>,
    staleness: StalenessBudget,
    /// The latest contact with a majority of stores, which proves that no newer items were agreed on before it.
    contact: Option<LastQuorumContact>,
    voter_sets: VoterSets,
    own_ip: IpAddr,
    /// Until when this registry may vote on the lease by the members that its store returned.
    members_valid_until: Duration,
    /// Sequence number of the last change of the members.
    members_changed: u64,
    /// Digest of the items that each gateway applies.
    digests_in_force: BTreeMap<IpAddr, u64>,
    /// What gateways report about each other's heartbeats.
    gateway_liveness: GatewayLiveness,
    lease: LeaseParticipant<IpAddr>,
    counter: Option<QuotaCounter>,
    /// Sequence number up to which the counter knows the list of backends.
    listed_up_to: u64,
    last_holder: Option<(u64, IpAddr)>,
    /// Sequence number of the last change of the counter's holder.
    holder_changed: u64,
    /// Polls that are held open because nothing is new, and when each came.
    waiting_polls: Vec<(KnownState, Duration, oneshot::Sender<RegistryResponse>)>,
    last_report: Duration,
    ticks: u32,
}

/// Starts the task that owns the state of a registry. The process can do nothing without it, so it is an essential
/// task.
pub fn start(node: &NodeSettings, essentials: &EssentialTasks) -> StateHandle {
    let own_ip = node.ip;
    let (queue, mut commands) = mpsc::channel(MAX_QUEUED_COMMANDS);
    let staleness = StalenessBudget::from_apply_bound(node.bounds.apply);
    let mut state = RegistryState {
        incarnation: fastrand::u64(1..),
        first_start: node.first_start,
        allowance: node.bounds.allowance(),
        violations: 0,
        start: Instant::now(),
        system_time_base_us: SYSTEM_TIME_START_US,
        catalog: Catalog::new(node.beat),
        items: BTreeMap::new(),
        staleness,
        contact: None,
        lease: LeaseParticipant::new(own_ip, Duration::ZERO),
        voter_sets: VoterSets::new(staleness.max_contact_age),
        own_ip,
        members_valid_until: Duration::ZERO,
        members_changed: 0,
        digests_in_force: BTreeMap::new(),
        gateway_liveness: GatewayLiveness::default(),
        counter: None,
        listed_up_to: 0,
        last_holder: None,
        holder_changed: 0,
        waiting_polls: Vec::new(),
        last_report: Duration::ZERO,
        ticks: 0,
    };
    essentials.spawn("tables", async move {
        let mut gauge = QueueGauge::new("tables", MAX_QUEUED_COMMANDS);
        while let Some(command) = commands.recv().await {
            gauge.observe_and_log(commands.len() + 1);
            state.handle(command);
        }
    });
    queue
}

impl RegistryState {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn system_time_us(&self) -> u64 {
        self.system_time_base_us + self.now().as_micros() as u64
    }

    fn observe_system_time(&mut self, time: u64) {
        self.system_time_base_us =
            self.system_time_base_us.max(time.saturating_sub(self.now().as_micros() as u64));
    }

    fn may_vouch(&self, now: Duration) -> bool {
        self.staleness.is_fresh(self.contact.map(|contact| contact.age(now)))
    }

    fn handle(&mut self, command: Command) {
        let now = self.now();
        let before = self.catalog.urgent_seq();
        match command {
            Command::Request(request, reply) => return self.handle_request(now, request, reply),
            Command::Heartbeat(instance, warmup, reply) => {
                let instance = Instance { warm_at_us: self.system_time_us() + warmup, ..instance };
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
            Command::StoreUpdate(items, contact, asked) => {
                let could_vouch = self.may_vouch(now);
                let asked = asked.saturating_duration_since(self.start);
                let heard = contact.map(|contact| LastQuorumContact::from_peer(contact, asked, now));
                self.contact = LastQuorumContact::newest(self.contact, heard, now);
                if !could_vouch && self.may_vouch(now) {
                    // Advances the sequence number, so that polls of gateways that have just started and wait for
                    // this contact are answered.
                    self.catalog.next_urgent_seq();
                }
                self.merge_items(items.unwrap_or_default());
            }
            Command::Members(asked, members, proposed) => {
                self.members_valid_until = asked.map_or(self.members_valid_until, |asked| {
                    self.members_valid_until.max(asked + self.staleness.max_contact_age)
                });
                self.voter_sets.propose(now, proposed.as_ref());
                self.follow(now, &members);
            }
            Command::NewerMembers(members) => self.follow(now, &members),
            Command::Clock(reply) => drop(reply.send(now)),
            Command::Tick(reply) => {
                let due = self.tick(now);
                let _ = reply.send(due);
            }
            Command::LeaseReply(from, asked, request, vote) => {
                self.lease.handle_reply(now, from, asked, request, vote)
            }
            Command::End(reply) => {
                let next =
                    self.voter_sets.members().voters.iter().map(|m| m.ip).find(|ip| *ip != self.own_ip);
                self.counter = None;
                let _ = reply.send(next.and_then(|next| self.lease.resign(now, next)));
            }
        }
        self.update_counter(now);
        self.list_backends(now);
        if self.catalog.urgent_seq() != before {
            self.answer_waiting_polls(true);
        }
    }

    /// Adopts the members if they are newer than the known ones.
    fn follow(&mut self, now: Duration, members: &Members) {
        if self.voter_sets.follow(now, members) {
            log::info!("event=members epoch={} voters={:?}", members.epoch, members.voters);
            self.members_changed = self.catalog.next_urgent_seq();
        }
        let sets = self.voter_sets.required_majorities(now);
        self.lease.set_voters(sets, self.members_valid_until);
    }

    /// Acknowledges a report only to a sender that knows the current members. Otherwise the sender could count
    /// acknowledgements toward a majority of a set of members that was replaced.
    fn acknowledge(&self, epoch: u64) -> RegistryResponse {
        match epoch < self.voter_sets.members().epoch {
            true => RegistryResponse::NewerMembers(self.voter_sets.members().clone()),
            false => RegistryResponse::Acknowledged,
        }
    }

    /// Passes changes of backends to the counter, so that it works with the same list as the gateways.
    fn list_backends(&mut self, now: Duration) {
        let (seq, time) = (self.catalog.seq(), self.system_time_us());
        let Some(counter) = self.counter.as_mut().filter(|_| self.listed_up_to != seq) else { return };
        for Observation { instance, liveness } in self.catalog.changes_since(self.listed_up_to).backends {
            counter.loads.update_listing(
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
        self.listed_up_to = seq;
    }

    fn merge_items(&mut self, items: Vec<Item>) {
        for item in items {
            let key = (item.kind, item.name.clone());
            let known_version = self.items.get(&key).map(|(known, _)| known.version);
            if known_version.is_none_or(|version| version < item.version) {
                let seq = self.catalog.next_urgent_seq();
                log::info!("event=item kind={:?} name={} version=r{}", item.kind, item.name, item.version);
                self.items.insert(key, (item, seq));
            }
        }
    }

    fn handle_request(
        &mut self,
        now: Duration,
        request: RegistryRequest,
        reply: oneshot::Sender<RegistryResponse>,
    ) {
        let before = self.catalog.urgent_seq();
        // The requester may have disconnected.
        let answer = |reply: oneshot::Sender<RegistryResponse>, answer| drop(reply.send(answer));
        match request {
            RegistryRequest::Poll(known) => {
                self.observe_system_time(known.time);
                self.lease.observe_term(known.counter_term);
                self.digests_in_force.insert(known.gateway.ip, known.items_digest);
                self.gateway_liveness.record_report(
                    now,
                    known.gateway.ip,
                    known.gateway.incarnation,
                    &known.sightings,
                );
                for seen in &known.sightings {
                    let ago = Duration::from_millis(seen.ago_ms);
                    self.catalog.record_reported_gateway(now, seen.ip, seen.incarnation, ago);
                }
                if known.leaving {
                    self.catalog.mark_gateway_leaving(now, &known.gateway);
                } else {
                    self.catalog.record_gateway(now, known.gateway.clone(), Duration::ZERO);
                }
                let is_current =
                    known.registry_incarnation == self.incarnation && known.seq >= self.catalog.urgent_seq();
                if is_current && self.waiting_polls.len() < MAX_WAITING_POLLS {
                    self.waiting_polls.push((known, now, reply));
                } else {
                    let update = self.update_for(&known, now);
                    answer(reply, RegistryResponse::Update(Box::new(update)));
                }
            }
            RegistryRequest::Draw { term, from, draws, load_reports } => {
                let levels = match &mut self.counter {
                    Some(counter) if counter.term == term && self.lease.may_act_in(now, term) => {
                        counter.loads.apply_reports(now, from, &load_reports);
                        counter.draw(now, from, &draws)
                    }
                    _ => None,
                };
                let time = self.system_time_us();
                let term = self.lease.holder().map_or(0, |(term, _)| term);
                answer(
                    reply,
                    levels.map_or(RegistryResponse::NotHolder(term), |levels| {
                        RegistryResponse::Levels(levels, time)
                    }),
                );
            }
            RegistryRequest::Recall { term, from, readings } => match &mut self.counter {
                Some(counter) if counter.term == term && self.lease.may_act_in(now, term) => {
                    counter.apply_readings(now, from, &readings);
                    answer(reply, RegistryResponse::Acknowledged);
                }
                _ => answer(
                    reply,
                    RegistryResponse::NotHolder(self.lease.holder().map_or(0, |(term, _)| term)),
                ),
            },
            RegistryRequest::Lease(epoch, _) if epoch < self.voter_sets.members().epoch => {
                answer(reply, self.acknowledge(epoch))
            }
            RegistryRequest::Lease(_, request) => {
                let vote = self.lease.handle_request(now, request);
                answer(reply, RegistryResponse::Lease(vote));
            }
            RegistryRequest::Report(report) => {
                let reply_body = self.acknowledge(report.epoch);
                self.merge_report(now, report);
                answer(reply, reply_body);
            }
            RegistryRequest::BackendLeft(epoch, id) => {
                self.catalog.mark_gone(now, &id);
                answer(reply, self.acknowledge(epoch));
            }
            RegistryRequest::Status => {
                let status = self.status(now);
                answer(reply, RegistryResponse::Status(Box::new(status)));
            }
            RegistryRequest::DrainBackend(id) => match self.catalog.get(&id).cloned() {
                Some(instance) => {
                    log::info!("event=drain_ordered id={id}");
                    let state = instance.state.max(BackendState::Draining);
                    self.catalog.record_backend(now, Instance { state, ..instance }, Duration::ZERO);
                    answer(reply, RegistryResponse::Acknowledged);
                }
                None => answer(reply, RegistryResponse::UnknownBackend),
            },
            RegistryRequest::FullReport => answer(
                reply,
                RegistryResponse::FullReport(PeerReport {
                    epoch: self.voter_sets.members().epoch,
                    backends: self.catalog.backends_heard_within(now, Duration::MAX),
                    gateways: self.catalog.gateways_heard_within(now, Duration::MAX),
                    time: self.system_time_us(),
                }),
            ),
        }
        self.update_counter(now);
        self.list_backends(now);
        if self.catalog.urgent_seq() != before {
            self.answer_waiting_polls(true);
        }
    }

    fn status(&self, now: Duration) -> RegistryStatus {
        let holder = self.lease.holder();
        let item =
            |(item, _): &(Item, u64)| (item.kind, item.name.clone(), item.version, item.body.is_some());
        let in_force = |ip: &IpAddr| self.digests_in_force.get(ip).copied().unwrap_or_default();
        let gateways = self.catalog.gateways_heard_within(now, Duration::MAX);
        let counter_status = |counter: &QuotaCounter| CounterStatus {
            silent_gateways: counter.counts().1 as u64,
            token_buckets: counter.bucket_levels(now),
            backend_loads: counter.loads.snapshot(),
        };
        RegistryStatus {
            ip: self.own_ip,
            incarnation: self.incarnation,
            time: self.system_time_us(),
            has_quorum_contact: self.may_vouch(now),
            members: self.voter_sets.members().clone(),
            items: self.items.values().map(item).collect(),
            items_digest: versions_digest(self.items.values().map(|(item, _)| item)),
            backends: self.catalog.present_backends(now),
            gateways: gateways
                .into_iter()
                .map(|(gateway, ago)| {
                    let digest = in_force(&gateway.ip);
                    (gateway, ago, digest)
                })
                .collect(),
            counter_holder: holder,
            counter: self
                .counter
                .as_ref()
                .filter(|_| self.lease.held_term(now).is_some())
                .map(counter_status),
        }
    }

    fn merge_report(&mut self, now: Duration, report: PeerReport) {
        self.observe_system_time(report.time);
        for (instance, ago) in report.backends {
            self.catalog.record_backend(now, instance, Duration::from_millis(ago));
        }
        for (gateway, ago) in report.gateways {
            self.catalog.record_gateway(now, gateway, Duration::from_millis(ago));
        }
    }

    /// What changed since the state that a gateway has. `asked` is when it asked: the age of the contact is counted
    /// from there.
    fn update_for(&self, known: &KnownState, asked: Duration) -> RegistryUpdate {
        let now = self.now();
        let since = if known.registry_incarnation == self.incarnation { known.seq } else { 0 };
        let changes = self.catalog.changes_since(since);
        // Skips the search through all items where nothing changed.
        let items_to_check = if since < self.catalog.seq() { self.items.len() } else { 0 };
        let items = self.items.values().take(items_to_check).filter(|(_, seq)| *seq > since);
        let holder = self.lease.holder();
        RegistryUpdate {
            registry_incarnation: self.incarnation,
            seq: self.catalog.seq(),
            contact: self.contact.filter(|_| self.may_vouch(now)).map(|contact| contact.to_peer(now, asked)),
            items: items.map(|(item, _)| item.clone()).collect(),
            backends: changes.backends,
            complete: since == 0,
            gateways: changes.gateways,
            counter_holder: holder.filter(|_| self.holder_changed > since),
            members: (self.members_changed > since).then(|| self.voter_sets.members().clone()),
            time: self.system_time_us(),
        }
    }

    /// Answers the polls that were held open for the longest permitted time, or all of them.
    fn answer_waiting_polls(&mut self, all: bool) {
        let (now, holds) = (self.now(), self.staleness.registry_long_poll);
        let (due, waiting) = std::mem::take(&mut self.waiting_polls)
            .into_iter()
            .partition(|(_, asked, _)| all || now.saturating_sub(*asked) >= holds);
        self.waiting_polls = waiting;
        let due: Vec<(KnownState, Duration, oneshot::Sender<RegistryResponse>)> = due;
        for (known, asked, reply) in due {
            let _ = reply.send(RegistryResponse::Update(Box::new(self.update_for(&known, asked))));
        }
    }

    fn tick(&mut self, now: Duration) -> TickWork {
        for id in self.catalog.tick(now) {
            log::warn!("event=backend_lost id={id}");
        }
        let catalog = &self.catalog;
        self.digests_in_force.retain(|ip, _| catalog.gateways().any(|gateway| gateway.ip == *ip));
        if let Some(counter) = &mut self.counter {
            let all = self.catalog.gateways().map(|gateway| gateway.ip).collect();
            // Gateways that died get no share of the quotas, so that the others can use it.
            let dead = self.gateway_liveness.dead_gateways(now, &all);
            let living = self.catalog.gateways().filter(|gateway| !dead.contains(&gateway.ip));
            let mut incarnations = BTreeSet::new();
            for gateway in living {
                incarnations.insert(gateway.incarnation);
                counter.loads.set_gateway_zone(gateway.incarnation, name_hash(&gateway.zone));
            }
            let before = counter.counts().1;
            counter.tick(now, &incarnations);
            if counter.counts().1 != before {
                log::info!("event=gateways_silent count={} of={}", counter.counts().1, incarnations.len());
            }
            let violations = counter.violations();
            if std::mem::replace(&mut self.violations, violations) < violations {
                log::error!("event=quota_exceeded term={} windows={violations}", counter.term);
            }
        }
        self.answer_waiting_polls(false);
        self.ticks += 1;
        let sets = self.voter_sets.required_majorities(now);
        self.lease.set_voters(sets, self.members_valid_until);
        let epoch = self.voter_sets.members().epoch;
        let lease_request =
            self.lease.tick(now, self.system_time_us() / TERM_STEP_US).map(|request| (now, request));
        // Heartbeats that change nothing are reported to the other registries only from time to time.
        let report = self.ticks.is_multiple_of(REPORT_EVERY_TICKS).then(|| {
            let since = now.saturating_sub(std::mem::replace(&mut self.last_report, now));
            PeerReport {
                epoch,
                backends: self.catalog.backends_heard_within(now, since),
                gateways: self.catalog.gateways_heard_within(now, since),
                time: self.system_time_us(),
            }
        });
        TickWork { lease_request, epoch, report }
    }

    fn update_counter(&mut self, now: Duration) {
        let holds = self.lease.held_term(now);
        if let Some(term) =
            holds.filter(|term| self.counter.as_ref().is_none_or(|counter| counter.term != *term))
        {
            let recent = self.catalog.gateways_heard_within(now, RECALL_WINDOW);
            let gateways: Vec<u64> = recent.iter().map(|(gateway, _)| gateway.incarnation).collect();
            log::info!("event=count_held term={term} gateways={}", gateways.len());
            self.counter = Some(QuotaCounter::start(now, term, self.first_start, self.allowance, gateways));
            self.violations = 0;
            self.listed_up_to = 0;
        }
        if self.lease.holder() != self.last_holder {
            self.last_holder = self.lease.holder();
            self.holder_changed = self.catalog.next_urgent_seq();
        }
    }
}

/// A new counter waits for the recalls of gateways that polled a registry within this time. Gateways that were silent
/// for longer may be dead.
const RECALL_WINDOW: Duration = Duration::from_millis(1_500);
/// Unit of the counter's terms, in microseconds of the system's time. A term is at least the system's time in this
/// unit, so terms grow across restarts.
const TERM_STEP_US: u64 = 1_000;
/// Number of ticks between two reports to the other registries.
const REPORT_EVERY_TICKS: u32 = 8;

/// The backend accepts no new work: it drains or is gone. Such a state is replicated to a majority before the
/// backend's heartbeat is acknowledged.
pub fn refuses_new_work(instance: &Instance) -> bool {
    instance.state != BackendState::Ready
}
