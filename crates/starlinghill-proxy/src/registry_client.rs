//! What the registries tell, and the owner of what this gateway makes of it: one task, which works through a queue.

use crate::decision_settings::{Fleet, Places, COLD};
use crate::heartbeat::Ring;
use crate::quota_client::{Counter, Holder};
use hyper::header::HeaderValue;
use starlinghill_catalog::{number, service_number, BackendState, Change, Gateway, Liveness, MergedView};
use starlinghill_config_model::items::digest;
use starlinghill_config_model::routing::Tenant;
use starlinghill_config_model::{ItemSet, RoutingTable};
use starlinghill_consensus::Members;
use starlinghill_decision::api::*;
use starlinghill_decision::store_name;
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

const PAUSE: Duration = Duration::from_millis(80);
/// News that wait to be taken in.
const QUEUE: usize = 64;
/// The most gateways of the last so many seconds count: guards against a side of a cut that sees half of them, and takes
/// twice its share.
const REMEMBERED: Duration = Duration::from_secs(30);
/// Where a service has no backend, a new process is not kept from being ready for longer than this.
const LONGEST_WAIT: Duration = Duration::from_secs(4);
/// A difference of the system's time that is not worth a word to the module.
const SKEW_STEP: u64 = 2_000;

/// What a request is decided by.
pub struct View {
    /// Routes, keys, tenants.
    pub table: RoutingTable,
    /// Their places in the module.
    pub places: Places,
    /// Through how many gateways a tenant's traffic can come.
    pub gateways: u32,
}

/// What this gateway goes by.
pub struct Shared {
    /// It changes as a whole, between two requests.
    pub view: RefCell<View>,
    /// It can serve.
    pub ready: watch::Sender<bool>,
    /// It is to end.
    pub stopping: watch::Receiver<bool>,
}

/// The number of a service.
pub fn service(name: &str) -> ServiceId {
    ServiceId(service_number(name))
}

/// The number of a zone.
pub fn zone(name: &str) -> ZoneId {
    ZoneId(number(name) as u32)
}

/// Where news come from, and go.
pub struct Ways {
    /// Where registries are reached.
    pub net: NetworkHandle,
    /// To the driver.
    pub driver: DriverSender,
    /// The module's clock.
    pub clock: Clock,
    /// The count, which hears of time and quotas.
    pub counter: Rc<Counter>,
    /// Who keeps it.
    pub holder: watch::Sender<Holder>,
    /// The ring of gateways.
    pub ring: Rc<Ring>,
}

/// Asks all registries, again and again, and takes in what they tell.
pub fn start(node: &NodeSettings, shared: Rc<Shared>, ways: Ways, life: u64, essentials: &EssentialTasks) {
    let Ways { net, driver, clock, counter, holder, ring } = ways;
    let (tell, told) = mpsc::channel(QUEUE);
    let me = Gateway { ip: node.ip, life, zone: node.zone.clone(), node: node.name.clone() };
    let term = Rc::new(std::cell::Cell::new(0));
    let in_force = Rc::new(std::cell::Cell::new(0));
    let chain = StalenessBudget::of(node.bounds.apply);
    let asking = Asking {
        rack: 0,
        caller: Rc::new(RpcClient::new(&net, node.port(node.ip, REGISTRY_PORT_OFFSET))),
        me,
        term: term.clone(),
        digest: in_force.clone(),
        ring: ring.clone(),
        clock: counter.clone(),
        tell,
        stopping: shared.stopping.clone(),
        patience: chain.given_up,
    };
    // Seeds are a beginning only: registries tell who the members are.
    let mut racks = Racks {
        net,
        port: node.port(node.ip, REGISTRY_PORT_OFFSET).port(),
        epoch: None,
        asking,
        all: BTreeMap::new(),
        last: 0,
    };
    racks.ask(node.seeds.iter().map(|seed| seed.ip()).collect());
    let owner = Owner {
        racks,
        node: node.clone(),
        shared,
        driver,
        clock,
        counter,
        holder,
        term,
        in_force,
        ring,
        alone: false,
        start: Instant::now(),
        book: ItemSet::default(),
        merged: MergedView::default(),
        changed_services: BTreeSet::new(),
        lists: BTreeMap::new(),
        counts: VecDeque::new(),
        fleet: Fleet::default(),
        first_news: None,
        chain,
        contact: None,
    };
    essentials.spawn("tables", owner.run(told));
}

/// The registries that are asked.
struct Racks {
    net: NetworkHandle,
    port: u16,
    /// The epoch of the members that they are of, once one has told.
    epoch: Option<u64>,
    /// How each is asked.
    asking: Asking,
    all: BTreeMap<IpAddr, (usize, JoinHandle<()>)>,
    last: usize,
}

impl Racks {
    /// Asks those and no others; returns the numbers of whom it asks no more.
    fn ask(&mut self, ips: BTreeSet<IpAddr>) -> Vec<usize> {
        let gone: Vec<IpAddr> = self.all.keys().copied().filter(|ip| !ips.contains(ip)).collect();
        let mut numbers = Vec::new();
        for (number, task) in gone.iter().filter_map(|ip| self.all.remove(ip)) {
            task.abort();
            numbers.push(number);
        }
        for ip in ips {
            if !self.all.contains_key(&ip) {
                let caller = Rc::new(RpcClient::new(&self.net, SocketAddr::new(ip, self.port)));
                let asking = Asking { rack: self.last, caller, ..self.asking.clone() };
                self.all.insert(ip, (self.last, spawn_local(asking.run())));
                self.last += 1;
            }
        }
        numbers
    }

    /// One that is to be asked for ever is asked no more: its task has panicked.
    fn has_stopped_asking(&self) -> bool {
        self.all.values().any(|(_, task)| task.is_finished())
    }

    /// Those are the members. An older set is no news: whoever tells it lags.
    fn follow(&mut self, members: &Members) -> Vec<usize> {
        if members.voters.is_empty() || self.epoch.is_some_and(|epoch| members.epoch <= epoch) {
            return Vec::new();
        }
        self.epoch = Some(members.epoch);
        log::info!("event=members epoch={} voters={:?}", members.epoch, members.voters);
        self.ask(members.voters.iter().map(|member| member.ip).collect())
    }
}

#[derive(Clone)]
struct Asking {
    rack: usize,
    caller: Rc<RpcClient>,
    me: Gateway,
    term: Rc<std::cell::Cell<u64>>,
    digest: Rc<std::cell::Cell<u64>>,
    ring: Rc<Ring>,
    clock: Rc<Counter>,
    tell: mpsc::Sender<(usize, Instant, RegistryUpdate)>,
    stopping: watch::Receiver<bool>,
    /// A registry that takes longer is asked anew.
    patience: Duration,
}

impl Asking {
    async fn run(self) {
        let (mut rack, mut seq, mut silent) = (0, 0, false);
        loop {
            let have = KnownState {
                gateway: self.me.clone(),
                rack,
                seq,
                time: *self.clock.time.borrow(),
                term: self.term.get(),
                leaving: *self.stopping.borrow(),
                digest: self.digest.get(),
                seen: self.ring.seen(),
            };
            let asked = Instant::now();
            match self.caller.call(&RegistryRequest::News(have), self.patience).await {
                Ok(RegistryResponse::News(news)) => {
                    (rack, seq, silent) = (news.rack, news.seq, false);
                    if self.tell.send((self.rack, asked, *news)).await.is_err() {
                        return;
                    }
                }
                Ok(_) => sleep(PAUSE).await,
                Err(error) => {
                    if !std::mem::replace(&mut silent, true) {
                        log::warn!("event=rack_silent at={} error=\"{error}\"", self.caller.address());
                    }
                    sleep(PAUSE).await;
                }
            }
        }
    }
}

struct Owner {
    racks: Racks,
    node: NodeSettings,
    shared: Rc<Shared>,
    driver: DriverSender,
    clock: Clock,
    counter: Rc<Counter>,
    holder: watch::Sender<Holder>,
    term: Rc<std::cell::Cell<u64>>,
    /// What stands for the items in force here.
    in_force: Rc<std::cell::Cell<u64>>,
    ring: Rc<Ring>,
    /// It hears neither the counter nor another gateway, as the module was told last.
    alone: bool,
    start: Instant,
    book: ItemSet,
    merged: MergedView,
    /// Services with a backend that changed since the last tick.
    changed_services: BTreeSet<String>,
    /// The gateways as each registry last told them.
    lists: BTreeMap<usize, BTreeMap<IpAddr, Gateway>>,
    /// How many there were, and when that was last so.
    counts: VecDeque<(Instant, u32)>,
    fleet: Fleet,
    /// When a registry that hears a majority first told of a configuration.
    first_news: Option<Instant>,
    chain: StalenessBudget,
    /// The newest word of a majority that what is in force here is all that was agreed on when it spoke.
    contact: Option<LastQuorumContact>,
}

impl Owner {
    async fn run(mut self, mut told: mpsc::Receiver<(usize, Instant, RegistryUpdate)>) {
        let mut tick = interval(Duration::from_millis(500));
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            // In this order: what is due at one time must not hang on luck, and news never keep the tick from its turn.
            tokio::select! {
                biased;
                _ = tick.tick() => {
                    let gone = self.merged.tick(self.start.elapsed());
                    self.backends(gone).await;
                    self.log_serving();
                    if self.racks.has_stopped_asking() {
                        return;
                    }
                    self.count_gateways();
                    self.tell_rules(false).await;
                    self.look_around().await;
                    self.look_beside();
                }
                news = told.recv() => match news {
                    Some((rack, asked, news)) => self.take(rack, asked, news).await,
                    None => return,
                },
            }
            self.look_ready();
        }
    }

    async fn take(&mut self, rack: usize, asked: Instant, news: RegistryUpdate) {
        if !self.racks.all.values().any(|(number, _)| *number == rack) {
            // Of one that is asked no more.
            return;
        }
        self.counter.hear_time(news.time);
        for gone in news.members.as_ref().map(|members| self.racks.follow(members)).unwrap_or_default() {
            self.merged.left(gone);
            self.lists.remove(&gone);
        }
        let changed = !self.book.merge(news.items).is_empty();
        if changed {
            self.follow_items().await;
        }
        let (now, asked) = (self.start.elapsed(), asked.saturating_duration_since(self.start));
        let heard = news.contact.map(|contact| LastQuorumContact::passed_on(contact, asked, now));
        self.contact = LastQuorumContact::newer(self.contact, heard, now);
        if self.chain.may_vouch(self.contact.map(|contact| contact.age(now))) && !self.book.is_empty() {
            self.first_news.get_or_insert_with(Instant::now);
        }
        let changes = self.merged.told(self.start.elapsed(), rack, news.rack, news.backends);
        self.backends(changes).await;
        if news.whole || !news.gateways.is_empty() {
            let list = self.lists.entry(rack).or_default();
            if news.whole {
                list.clear();
            }
            for (gateway, here) in news.gateways {
                match here {
                    true => drop(list.insert(gateway.ip, gateway)),
                    false => drop(list.remove(&gateway.ip)),
                }
            }
            self.count_gateways();
        }
        if let Some((term, ip)) = news.holder.filter(|(term, _)| *term >= self.term.get()) {
            self.term.set(term);
            let at = Some((term, self.node.port(ip, REGISTRY_PORT_OFFSET)));
            self.holder.send_if_modified(|known| std::mem::replace(known, at) != at);
        }
        self.tell_rules(false).await;
    }

    /// The module is told before a request can come under the new items.
    async fn follow_items(&mut self) {
        let table = RoutingTable::of(&self.book);
        self.shared.view.borrow_mut().places.follow(&table);
        let quota = |tenant: &Rc<Tenant>| {
            let name = store_name(CustomerId(number(&tenant.name)));
            (name.0, (tenant.rate, tenant.burst.max(1.0)))
        };
        *self.counter.quotas.borrow_mut() = table.tenants.iter().map(quota).collect();
        self.tell_rules(true).await;
        let routes = table.routes().count();
        log::info!("event=configuration routes={routes} tenants={}", table.tenants.len());
        self.shared.view.borrow_mut().table = table;
        self.in_force.set(digest(self.book.items().map(|held| &held.item)));
    }

    async fn tell_rules(&mut self, changed: bool) {
        let now = self.clock.now();
        let ahead = Micros(self.counter.time.borrow().saturating_sub(now.0));
        let skew = self.fleet.skew.max(ahead);
        let gateways = self.counts.iter().map(|(_, count)| *count).max().unwrap_or(1).max(1);
        let mut all: BTreeSet<IpAddr> = self.lists.values().flat_map(|list| list.keys().copied()).collect();
        all.insert(self.node.ip);
        let me = all.iter().position(|ip| *ip == self.node.ip).unwrap_or_default() as u32;
        let fleet = Fleet { gateways, me, skew };
        let same = fleet.gateways == self.fleet.gateways
            && fleet.me == self.fleet.me
            && skew.0 < self.fleet.skew.0 + SKEW_STEP;
        if same && !changed {
            return;
        }
        self.fleet = fleet;
        let rules = {
            let mut view = self.shared.view.borrow_mut();
            view.gateways = gateways;
            self.counter.gateways.set(gateways);
            view.places.rules(&fleet, &self.node.bounds)
        };
        // Without a driver nothing is decided any more.
        let _ = self.driver.send(Input::Rules(rules)).await;
    }

    async fn backends(&mut self, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        self.changed_services.extend(changes.iter().map(|change| change.instance.service.clone()));
        let (now, time) = (self.clock.now(), *self.counter.time.borrow());
        let listing = |change: Change| {
            let Change { instance, liveness } = change;
            let listed = match (instance.state, liveness) {
                (BackendState::Gone, _) | (_, Liveness::Lost) => Listed::Gone,
                (BackendState::Ready, Liveness::Alive) => Listed::InService,
                (BackendState::Ready, Liveness::Silent) | (BackendState::Draining, _) => Listed::Draining,
            };
            let warm_in = instance.warm_at.saturating_sub(time);
            let started = (warm_in > 0).then(|| now + Micros(warm_in.min(COLD.0)) - COLD);
            let entry = ServerEntry {
                server: ServerId(instance.number()),
                service: service(&instance.service),
                zone: zone(&instance.zone),
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

    /// How many backends of the services that changed since the last tick take new work from here. Once a tick: it goes through
    /// all backends.
    fn log_serving(&mut self) {
        let services = std::mem::take(&mut self.changed_services);
        if services.is_empty() {
            return;
        }
        for (service, count) in self.merged.serving(services.iter().map(String::as_str)) {
            match count {
                0 => log::warn!("event=no_backend service={service}"),
                _ => log::info!("event=backends service={service} serving={count}"),
            }
        }
    }

    /// Others may take it for dead, and use its shares.
    async fn look_around(&mut self) {
        let alone = self.ring.is_alone() && !self.counter.is_reached();
        if std::mem::replace(&mut self.alone, alone) != alone {
            log::warn!("event=alone alone={alone}");
            let _ = self.driver.send(Input::Isolated(alone)).await;
        }
    }

    /// What the registry with the count does not know.
    fn look_beside(&self) {
        let holder = self.holder.borrow().and_then(|(_, at)| Some(self.racks.all.get(&at.ip())?.0));
        let unknown = holder.map(|rack| self.merged.unknown_to(rack)).unwrap_or_default();
        let unknown = unknown.into_iter().map(|(of, unknown)| (service_number(of), unknown)).collect();
        let before = self.counter.unknown.replace(unknown);
        let now = self.counter.unknown.borrow();
        if before.is_empty() != now.is_empty() {
            let backends: usize = now.values().map(|unknown| unknown.backends.len()).sum();
            log::info!("event=unknown_to_count backends={backends}");
        }
    }

    fn count_gateways(&mut self) {
        let mut all: BTreeSet<IpAddr> = self.lists.values().flat_map(|list| list.keys().copied()).collect();
        all.insert(self.node.ip);
        self.ring.follow(all.iter().copied());
        let (now, count) = (Instant::now(), all.len() as u32);
        self.counts.retain(|(at, _)| now.duration_since(*at) < REMEMBERED);
        match self.counts.back_mut() {
            Some((at, known)) if *known == count => *at = now,
            _ => self.counts.push_back((now, count)),
        }
    }

    fn look_ready(&mut self) {
        if *self.shared.ready.borrow() {
            return;
        }
        let Some(since) = self.first_news else { return };
        let age = self.contact.map(|contact| contact.age(self.start.elapsed()));
        let told = self.chain.may_begin_to_serve(age, self.lists.len(), self.racks.all.len());
        // Where most registries stay silent though a majority of stores answers, it goes by what it has; never by an old word.
        let waited = since.elapsed() > LONGEST_WAIT && self.chain.may_vouch(age);
        if !(told || waited) {
            return;
        }
        let served = self.merged.served();
        let view = self.shared.view.borrow();
        let all = view.table.routes().flat_map(|route| &route.to).all(|(to, _)| served.contains(to.as_str()));
        if all || since.elapsed() > LONGEST_WAIT {
            log::info!("event=ready served={} all={all} gateways={}", served.len(), view.gateways);
            self.shared.ready.send_replace(true);
        }
    }
}

/// Where the count is said to be, before anybody has said so.
pub fn nowhere() -> (watch::Sender<Holder>, watch::Receiver<Holder>) {
    watch::channel::<Option<(u64, SocketAddr)>>(None)
}
