//! Polls all registries and applies their updates. One task owns the resulting state and handles the updates from a
//! queue.

use crate::decision_settings::{DecisionIndex, FleetPosition, WARMUP};
use crate::delisted_gateways::DelistedGateways;
use crate::heartbeat::HeartbeatRing;
use crate::quota_client::{CounterClient, CounterHolder};
use hyper::header::HeaderValue;
use starlinghill_catalog::{
    name_hash, service_hash, BackendChange, BackendState, Gateway, Liveness, MergedView,
};
use starlinghill_config_model::items::versions_digest;
use starlinghill_config_model::routing::Tenant;
use starlinghill_config_model::{ItemSet, RoutingTable};
use starlinghill_consensus::Members;
use starlinghill_decision::api::*;
use starlinghill_decision::bucket_name;
use starlinghill_gateway::inbox::{BackendListing, Clock, DriverSender, Input};
use starlinghill_lease::contact::{LastQuorumContact, StalenessBudget};
use starlinghill_registry::wire::{KnownState, RegistryRequest, RegistryResponse, RegistryUpdate};
use starlinghill_runtime::essential_tasks::EssentialTasks;
use starlinghill_runtime::net::NetworkHandle;
use starlinghill_runtime::rpc::RpcClient;
use starlinghill_runtime::settings::NodeSettings;
use starlinghill_runtime::REGISTRY_PORT_OFFSET;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{interval, sleep, Instant, MissedTickBehavior};

const RETRY_DELAY: Duration = Duration::from_millis(80);
/// Interval of the periodic work, such as looking for lost backends.
const TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Updates in the queue; a poller with one more waits.
const MAX_QUEUED_UPDATES: usize = 64;
/// The highest number of gateways within this time counts. During a network partition, a side that sees only half of
/// the gateways would otherwise use twice its share of quotas and retries.
const GATEWAY_COUNT_WINDOW: Duration = Duration::from_secs(30);
/// If a service has no backend or some registries stay silent, a new process becomes ready after this time
/// nevertheless.
const MAX_READY_DELAY: Duration = Duration::from_secs(4);
/// A change of the time difference below this, in microseconds, is not passed to the decision module.
const MIN_SKEW_CHANGE_US: u64 = 2_000;

/// The configuration that requests are routed by.
pub struct RoutingView {
    /// Routes, tenants and their keys.
    pub table: RoutingTable,
    /// Indexes of the classes and plans in the decision module.
    pub index: DecisionIndex,
    /// Number of gateways that a tenant's requests may arrive at.
    pub gateways: u32,
}

/// State that the tasks of a proxy share.
pub struct ProxyState {
    /// Replaced as a whole between two requests.
    pub view: RefCell<RoutingView>,
    /// Becomes true once the proxy can serve requests.
    pub ready: watch::Sender<bool>,
    /// Becomes true when the process shuts down.
    pub stopping: watch::Receiver<bool>,
}

/// The decision module's id of a service.
pub fn service_id(name: &str) -> ServiceId {
    ServiceId(service_hash(name))
}

/// The decision module's id of a zone.
pub fn zone_id(name: &str) -> ZoneId {
    ZoneId(name_hash(name) as u32)
}

/// What the registry client is connected to.
pub struct RegistryClientContext {
    /// The network on which the registries are called.
    pub net: NetworkHandle,
    /// Input of the driver that runs the decision module.
    pub driver: DriverSender,
    /// The decision module's clock.
    pub clock: Clock,
    /// The quota counter's client, which needs the system's time and the quotas.
    pub counter: Rc<CounterClient>,
    /// Where the counter's current holder is published.
    pub holder: watch::Sender<CounterHolder>,
    /// Heartbeats between gateways.
    pub ring: Rc<HeartbeatRing>,
}

/// Starts polling all registries and the task that applies their updates.
pub fn start(
    node: &NodeSettings,
    shared: Rc<ProxyState>,
    context: RegistryClientContext,
    incarnation: u64,
    essentials: &EssentialTasks,
) {
    let RegistryClientContext { net, driver, clock, counter, holder, ring } = context;
    let (updates_out, updates) = mpsc::channel(MAX_QUEUED_UPDATES);
    let own_gateway = Gateway { ip: node.ip, incarnation, zone: node.zone.clone(), node: node.name.clone() };
    let term = Rc::new(std::cell::Cell::new(0));
    let items_digest = Rc::new(std::cell::Cell::new(0));
    let staleness = StalenessBudget::from_apply_bound(node.bounds.apply);
    let delisted = Rc::new(DelistedGateways::default());
    let poller = Poller {
        registry: 0,
        client: Rc::new(RpcClient::new(&net, node.internal_address(node.ip, REGISTRY_PORT_OFFSET))),
        own_gateway,
        term: term.clone(),
        items_digest: items_digest.clone(),
        ring: ring.clone(),
        delisted: delisted.clone(),
        counter: counter.clone(),
        updates: updates_out,
        stopping: shared.stopping.clone(),
        poll_timeout: staleness.request_timeout,
    };
    // The seeds are only used until a registry has sent the members.
    let mut registries = PolledRegistries {
        net,
        port: node.internal_address(node.ip, REGISTRY_PORT_OFFSET).port(),
        epoch: None,
        poller,
        pollers: BTreeMap::new(),
        last_number: 0,
    };
    registries.poll_only(node.seeds.iter().map(|seed| seed.ip()).collect());
    let state = ClientState {
        registries,
        node: node.clone(),
        shared,
        driver,
        clock,
        counter,
        holder,
        term,
        items_digest,
        ring,
        delisted,
        isolated: false,
        start: Instant::now(),
        items: ItemSet::default(),
        backends: MergedView::default(),
        changed_services: BTreeSet::new(),
        gateway_lists: BTreeMap::new(),
        updated_at: BTreeMap::new(),
        gateway_counts: VecDeque::new(),
        position: FleetPosition::default(),
        first_update: None,
        staleness,
        contact: None,
    };
    essentials.spawn("tables", state.run(updates));
}

/// The registries that are polled, one task for each.
struct PolledRegistries {
    net: NetworkHandle,
    port: u16,
    /// The epoch of the members that the registries belong to; `None` while only seeds are known.
    epoch: Option<u64>,
    /// The template for the poller of each registry.
    poller: Poller,
    pollers: BTreeMap<IpAddr, (usize, JoinHandle<()>)>,
    last_number: usize,
}

impl PolledRegistries {
    /// Polls exactly these addresses; returns the numbers of registries that are no longer polled.
    fn poll_only(&mut self, ips: BTreeSet<IpAddr>) -> Vec<usize> {
        let gone: Vec<IpAddr> = self.pollers.keys().copied().filter(|ip| !ips.contains(ip)).collect();
        let mut numbers = Vec::new();
        for (number, task) in gone.iter().filter_map(|ip| self.pollers.remove(ip)) {
            task.abort();
            numbers.push(number);
        }
        for ip in ips {
            if !self.pollers.contains_key(&ip) {
                let client = Rc::new(RpcClient::new(&self.net, SocketAddr::new(ip, self.port)));
                let poller = Poller { registry: self.last_number, client, ..self.poller.clone() };
                self.pollers.insert(ip, (self.last_number, spawn_local(poller.run())));
                self.last_number += 1;
            }
        }
        numbers
    }

    /// Pollers run until they are aborted, so a finished one has panicked.
    fn has_failed_poller(&self) -> bool {
        self.pollers.values().any(|(_, task)| task.is_finished())
    }

    /// Polls the registries of these members. A set that isn't newer is ignored, because its sender lags behind.
    fn follow(&mut self, members: &Members) -> Vec<usize> {
        if members.voters.is_empty() || self.epoch.is_some_and(|epoch| members.epoch <= epoch) {
            return Vec::new();
        }
        self.epoch = Some(members.epoch);
        log::info!("event=members epoch={} voters={:?}", members.epoch, members.voters);
        self.poll_only(members.voters.iter().map(|member| member.ip).collect())
    }
}

#[derive(Clone)]
struct Poller {
    registry: usize,
    client: Rc<RpcClient>,
    own_gateway: Gateway,
    term: Rc<std::cell::Cell<u64>>,
    items_digest: Rc<std::cell::Cell<u64>>,
    ring: Rc<HeartbeatRing>,
    delisted: Rc<DelistedGateways>,
    counter: Rc<CounterClient>,
    updates: mpsc::Sender<(usize, Instant, RegistryUpdate)>,
    stopping: watch::Receiver<bool>,
    /// A poll that takes longer is repeated.
    poll_timeout: Duration,
}

impl Poller {
    async fn run(self) {
        let (mut registry_incarnation, mut seq, mut silent) = (0, 0, false);
        loop {
            let known = KnownState {
                gateway: self.own_gateway.clone(),
                registry_incarnation,
                seq,
                time: *self.counter.time.borrow(),
                counter_term: self.term.get(),
                leaving: *self.stopping.borrow(),
                items_digest: self.items_digest.get(),
                sightings: self.delisted.add_to(self.ring.sightings()),
            };
            let asked = Instant::now();
            match self.client.call(&RegistryRequest::Poll(known), self.poll_timeout).await {
                Ok(RegistryResponse::Update(update)) => {
                    (registry_incarnation, seq, silent) = (update.registry_incarnation, update.seq, false);
                    if self.updates.send((self.registry, asked, *update)).await.is_err() {
                        return;
                    }
                    // The receiver records whom a registry that has restarted does not list any more.
                    tokio::task::yield_now().await;
                }
                Ok(_) => sleep(RETRY_DELAY).await,
                Err(error) => {
                    if !std::mem::replace(&mut silent, true) {
                        log::warn!("event=rack_silent at={} error=\"{error}\"", self.client.address());
                    }
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}

struct ClientState {
    registries: PolledRegistries,
    node: NodeSettings,
    shared: Rc<ProxyState>,
    driver: DriverSender,
    clock: Clock,
    counter: Rc<CounterClient>,
    holder: watch::Sender<CounterHolder>,
    term: Rc<std::cell::Cell<u64>>,
    /// Digest of the items that this gateway applies.
    items_digest: Rc<std::cell::Cell<u64>>,
    ring: Rc<HeartbeatRing>,
    delisted: Rc<DelistedGateways>,
    /// Whether the decision module was last told that this gateway is isolated: it reaches neither the counter nor
    /// another gateway.
    isolated: bool,
    start: Instant,
    items: ItemSet,
    backends: MergedView,
    /// Services with a backend that changed since the last tick.
    changed_services: BTreeSet<String>,
    /// The gateways that each registry reports.
    gateway_lists: BTreeMap<usize, BTreeMap<IpAddr, Gateway>>,
    /// When each registry last answered a poll.
    updated_at: BTreeMap<usize, Instant>,
    /// Numbers of gateways, each with the time when it last applied.
    gateway_counts: VecDeque<(Instant, u32)>,
    position: FleetPosition,
    /// When configuration first came from a registry whose store has contact with a majority.
    first_update: Option<Instant>,
    staleness: StalenessBudget,
    /// The latest contact with a majority of stores: no newer items than those applied here had been agreed on by
    /// then.
    contact: Option<LastQuorumContact>,
}

impl ClientState {
    async fn run(mut self, mut updates: mpsc::Receiver<(usize, Instant, RegistryUpdate)>) {
        let mut tick = interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            // The fixed order keeps simulated runs reproducible, and updates can't starve the tick.
            tokio::select! {
                biased;
                _ = tick.tick() => {
                    let lost = self.backends.tick(self.start.elapsed());
                    self.apply_backend_changes(lost).await;
                    self.log_serving();
                    if self.registries.has_failed_poller() {
                        return;
                    }
                    self.count_gateways();
                    self.send_rules(false).await;
                    self.check_isolation().await;
                    self.find_unknown_backends();
                }
                update = updates.recv() => match update {
                    Some((registry, asked, update)) => self.apply(registry, asked, update).await,
                    None => return,
                },
            }
            self.check_readiness();
        }
    }

    async fn apply(&mut self, registry: usize, asked: Instant, update: RegistryUpdate) {
        if !self.registries.pollers.values().any(|(number, _)| *number == registry) {
            // The registry is no longer polled.
            return;
        }
        self.counter.observe_system_time(update.time);
        if update.complete {
            // Before anything is waited for: the next poll of this registry reports them.
            let list = self.gateway_lists.get(&registry).into_iter().flat_map(BTreeMap::values);
            let confirmed_at = self.updated_at.get(&registry).copied().unwrap_or_else(Instant::now);
            self.delisted.record(list, confirmed_at);
        }
        self.updated_at.insert(registry, Instant::now());
        for gone in update.members.as_ref().map(|members| self.registries.follow(members)).unwrap_or_default()
        {
            self.backends.remove_registry(gone);
            self.gateway_lists.remove(&gone);
            self.updated_at.remove(&gone);
        }
        let changed = !self.items.merge(update.items).is_empty();
        if changed {
            self.apply_items().await;
        }
        let (now, asked) = (self.start.elapsed(), asked.saturating_duration_since(self.start));
        let heard = update.contact.map(|contact| LastQuorumContact::from_peer(contact, asked, now));
        self.contact = LastQuorumContact::newest(self.contact, heard, now);
        if self.staleness.is_fresh(self.contact.map(|contact| contact.age(now))) && !self.items.is_empty() {
            self.first_update.get_or_insert_with(Instant::now);
        }
        let changes = self.backends.apply_observations(
            self.start.elapsed(),
            registry,
            update.registry_incarnation,
            update.backends,
        );
        self.apply_backend_changes(changes).await;
        if update.complete || !update.gateways.is_empty() {
            let list = self.gateway_lists.entry(registry).or_default();
            if update.complete {
                list.clear();
            }
            for (gateway, here) in update.gateways {
                match here {
                    true => drop(list.insert(gateway.ip, gateway)),
                    false => {
                        list.remove(&gateway.ip);
                        self.delisted.forget(gateway.ip);
                    }
                }
            }
            self.count_gateways();
        }
        if let Some((term, ip)) = update.counter_holder.filter(|(term, _)| *term >= self.term.get()) {
            self.term.set(term);
            let at = Some((term, self.node.internal_address(ip, REGISTRY_PORT_OFFSET)));
            self.holder.send_if_modified(|known| std::mem::replace(known, at) != at);
        }
        self.send_rules(false).await;
    }

    /// The decision module gets the new rules before any request is routed by the new items.
    async fn apply_items(&mut self) {
        let table = RoutingTable::from_items(&self.items);
        self.shared.view.borrow_mut().index.follow(&table);
        let quota = |tenant: &Rc<Tenant>| {
            let name = bucket_name(CustomerId(name_hash(&tenant.name)));
            (name.0, (tenant.rate, tenant.burst.max(1.0)))
        };
        *self.counter.quotas.borrow_mut() = table.tenants.iter().map(quota).collect();
        self.send_rules(true).await;
        let routes = table.routes().count();
        log::info!("event=configuration routes={routes} tenants={}", table.tenants.len());
        self.shared.view.borrow_mut().table = table;
        self.items_digest.set(versions_digest(self.items.items().map(|held| &held.item)));
    }

    async fn send_rules(&mut self, changed: bool) {
        let now = self.clock.now();
        let ahead = Micros(self.counter.time.borrow().saturating_sub(now.0));
        let skew = self.position.skew.max(ahead);
        let gateways = self.gateway_counts.iter().map(|(_, count)| *count).max().unwrap_or(1).max(1);
        let mut all: BTreeSet<IpAddr> =
            self.gateway_lists.values().flat_map(|list| list.keys().copied()).collect();
        all.insert(self.node.ip);
        let index = all.iter().position(|ip| *ip == self.node.ip).unwrap_or_default() as u32;
        let position = FleetPosition { gateways, index, skew };
        let same = position.gateways == self.position.gateways
            && position.index == self.position.index
            && skew.0 < self.position.skew.0 + MIN_SKEW_CHANGE_US;
        if same && !changed {
            return;
        }
        self.position = position;
        let rules = {
            let mut view = self.shared.view.borrow_mut();
            view.gateways = gateways;
            self.counter.gateways.set(gateways);
            view.index.rules(&position, &self.node.bounds)
        };
        // The driver is gone only while the process ends.
        let _ = self.driver.send(Input::Rules(rules)).await;
    }

    async fn apply_backend_changes(&mut self, changes: Vec<BackendChange>) {
        if changes.is_empty() {
            return;
        }
        self.changed_services.extend(changes.iter().map(|change| change.instance.service.clone()));
        let (now, time) = (self.clock.now(), *self.counter.time.borrow());
        let listing = |change: BackendChange| {
            let BackendChange { instance, liveness } = change;
            let listed = match (instance.state, liveness) {
                (BackendState::Gone, _) | (_, Liveness::Lost) => Listed::Gone,
                (BackendState::Ready, Liveness::Alive) => Listed::InService,
                (BackendState::Ready, Liveness::Silent) | (BackendState::Draining, _) => Listed::Draining,
            };
            let warm_in = instance.warm_at_us.saturating_sub(time);
            let started = (warm_in > 0).then(|| now + Micros(warm_in.min(WARMUP.0)) - WARMUP);
            let entry = ServerEntry {
                server: ServerId(instance.id_hash()),
                service: service_id(&instance.service),
                zone: zone_id(&instance.zone),
                cell: CellId(0),
                listed,
                weight: f64::from(instance.capacity),
                started,
            };
            Some(BackendListing {
                entry,
                address: instance.address,
                name: HeaderValue::from_str(&instance.id).ok()?,
            })
        };
        let listings = changes.into_iter().filter_map(listing).collect();
        let _ = self.driver.send(Input::Backends(ListScope::Changes, listings)).await;
    }

    /// Logs how many backends of each changed service accept new work. This goes through all backends, so it runs
    /// once per tick.
    fn log_serving(&mut self) {
        let services = std::mem::take(&mut self.changed_services);
        if services.is_empty() {
            return;
        }
        for (service, count) in self.backends.ready_counts(services.iter().map(String::as_str)) {
            match count {
                0 => log::warn!("event=no_backend service={service}"),
                _ => log::info!("event=backends service={service} serving={count}"),
            }
        }
    }

    /// Tells the decision module when this gateway becomes isolated: the others may take it for dead and use its
    /// share of the quotas.
    async fn check_isolation(&mut self) {
        let isolated = self.ring.is_isolated() && !self.counter.is_available();
        if std::mem::replace(&mut self.isolated, isolated) != isolated {
            log::warn!("event=alone alone={isolated}");
            let _ = self.driver.send(Input::Isolated(isolated)).await;
        }
    }

    /// Finds the backends that the counter's registry doesn't know.
    fn find_unknown_backends(&self) {
        let holder = self.holder.borrow().and_then(|(_, at)| Some(self.registries.pollers.get(&at.ip())?.0));
        let unknown = holder.map(|registry| self.backends.unknown_to_registry(registry)).unwrap_or_default();
        let unknown = unknown.into_iter().map(|(of, unknown)| (service_hash(of), unknown)).collect();
        let before = self.counter.unknown.replace(unknown);
        let now = self.counter.unknown.borrow();
        if before.is_empty() != now.is_empty() {
            let backends: usize = now.values().map(|unknown| unknown.backends.len()).sum();
            log::info!("event=unknown_to_count backends={backends}");
        }
    }

    fn count_gateways(&mut self) {
        let mut all: BTreeSet<IpAddr> =
            self.gateway_lists.values().flat_map(|list| list.keys().copied()).collect();
        all.insert(self.node.ip);
        self.delisted.retain_missing(GATEWAY_COUNT_WINDOW, self.gateway_lists.values());
        all.extend(self.delisted.addresses());
        self.ring.follow(all.iter().copied());
        let (now, count) = (Instant::now(), all.len() as u32);
        self.gateway_counts.retain(|(at, _)| now.duration_since(*at) < GATEWAY_COUNT_WINDOW);
        match self.gateway_counts.back_mut() {
            Some((at, known)) if *known == count => *at = now,
            _ => self.gateway_counts.push_back((now, count)),
        }
    }

    fn check_readiness(&mut self) {
        if *self.shared.ready.borrow() {
            return;
        }
        let Some(since) = self.first_update else { return };
        let age = self.contact.map(|contact| contact.age(self.start.elapsed()));
        let confirmed =
            self.staleness.may_start_serving(age, self.gateway_lists.len(), self.registries.pollers.len());
        // Serves with what it has if most registries stay silent although a majority of stores has been heard of, but
        // never on outdated configuration.
        let waited = since.elapsed() > MAX_READY_DELAY && self.staleness.is_fresh(age);
        if !(confirmed || waited) {
            return;
        }
        let served = self.backends.available_services();
        let view = self.shared.view.borrow();
        let all_served =
            view.table.routes().flat_map(|route| &route.targets).all(|(to, _)| served.contains(to.as_str()));
        if all_served || since.elapsed() > MAX_READY_DELAY {
            log::info!("event=ready served={} all={all_served} gateways={}", served.len(), view.gateways);
            self.shared.ready.send_replace(true);
        }
    }
}

/// A channel for the counter's holder; no holder is known at first.
pub fn no_holder() -> (watch::Sender<CounterHolder>, watch::Receiver<CounterHolder>) {
    watch::channel::<Option<(u64, SocketAddr)>>(None)
}
