//! Owns the fleet state. It takes updates in and publishes each change once, to all streams at the same moment.
//! Streams take the newest state when they can send, so a slow one delays no other.

use crate::resources::{self, ResourceKind, ResourceSet, ResourceSettings, TypeSet, RESOURCE_KINDS};
use starlinghill_control_state::fleet::{EndpointLocation, EndpointReport, Fleet, FleetSnapshot};
use starlinghill_control_state::ledger::{LedgerSettings, QuotaLedger};
use starlinghill_control_state::routes::routes;
use starlinghill_decision::api::{Micros, PlanId, SettingsError, ZoneShare};
use starlinghill_settings::members::MemberList;
use starlinghill_settings::NamedSettings;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, watch};
use tracing::{info, warn};

/// Updates that the queue holds; senders wait while it is full.
const UPDATE_QUEUE_CAPACITY: usize = 256;
/// How often the ledger drops customers whose state is no longer needed; without it they fill the ledger.
const SWEEP_INTERVAL: Duration = Duration::from_secs(30);

/// Unix time that never goes back, so that times of different machines compare.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    base: Duration,
    start: Instant,
}

impl Clock {
    /// Reads the system clock once; later readings add the monotonic time since.
    #[expect(clippy::disallowed_methods, reason = "servers' start times are given in Unix time")]
    pub fn start() -> Clock {
        let base = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { base, start: Instant::now() }
    }
    /// Microseconds since the Unix epoch.
    pub fn now(&self) -> Micros {
        Micros((self.base + self.start.elapsed()).as_micros() as u64)
    }
}

/// A proxy on the operators' list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proxy {
    /// The node id that the proxy gives on each stream.
    pub id: String,
    /// The address at which it listens for HTTP clients, if this service configures it.
    pub listen: Option<SocketAddr>,
}

/// The operators' settings that can change while the service runs.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorConfig {
    /// The proxies that may connect.
    pub proxies: Vec<Proxy>,
    /// Settings that go into the resources of every proxy.
    pub resource_settings: ResourceSettings,
    /// The location of each zone by zone name; empty without a topology.
    pub locations: BTreeMap<String, EndpointLocation>,
}

/// An update of the state that the hub owns.
#[derive(Debug)]
pub enum Update {
    /// The list of servers, complete or as changes.
    Members(MemberList),
    /// Request counts per server, from proxies' load reports.
    EndpointReports(Vec<EndpointReport>),
    /// The share of requests that each zone gets from now on; gateways get the same shares.
    ZoneShares(Vec<(String, ZoneShare)>),
    /// Changed operator settings.
    OperatorConfig(OperatorConfig),
}

impl From<MemberList> for Update {
    fn from(list: MemberList) -> Update {
        Update::Members(list)
    }
}

/// One consistent state for all proxies.
#[derive(Debug)]
pub struct PublishedState {
    /// The state of the servers.
    pub snapshot: FleetSnapshot,
    /// The resources of each proxy, by node id.
    pub sets: BTreeMap<String, Arc<ResourceSet>>,
}

/// A handle to the hub's state, shared by all streams.
#[derive(Clone)]
pub struct Hub {
    /// The queue of updates to the hub.
    pub updates: mpsc::Sender<Update>,
    /// The newest state; `None` until a complete list of servers has arrived.
    pub published: watch::Receiver<Option<Arc<PublishedState>>>,
    /// The node ids that may connect, with their listen addresses.
    pub allowed: watch::Receiver<Arc<BTreeMap<String, Option<SocketAddr>>>>,
    /// The clock of the fleet and the ledger.
    pub clock: Clock,
    /// Names of plans and classes.
    pub settings: Arc<NamedSettings>,
    /// The lifetime of quota assignments and the time allowed for their delivery, among others.
    pub ledger_settings: LedgerSettings,
    /// The plans that proxies get quota assignments for; requests of other plans are denied.
    pub quota_plans: Arc<BTreeSet<PlanId>>,
    ledger: Arc<Mutex<QuotaLedger>>,
}

impl Hub {
    /// Locks the ledger. Hold the lock for one report at most and never across an await.
    pub fn ledger(&self) -> MutexGuard<'_, QuotaLedger> {
        // A panic under the lock can leave quota that was taken but never assigned, so proxies allow too little
        // rather than too much.
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a node is on the operators' list of proxies.
    pub fn is_allowed(&self, node: &str) -> bool {
        self.allowed.borrow().contains_key(node)
    }
}

/// The task that applies updates and publishes the state.
pub struct Runner {
    fleet: Fleet,
    config: OperatorConfig,
    /// The settings changed since the last publication.
    config_changed: bool,
    routes: Arc<TypeSet>,
    hub: Hub,
    queue: mpsc::Receiver<Update>,
    publish: watch::Sender<Option<Arc<PublishedState>>>,
    allow: watch::Sender<Arc<BTreeMap<String, Option<SocketAddr>>>>,
}

fn allowed_nodes(config: &OperatorConfig) -> Arc<BTreeMap<String, Option<SocketAddr>>> {
    Arc::new(config.proxies.iter().map(|p| (p.id.clone(), p.listen)).collect())
}

/// Creates the task and its handle. Nothing is published before the first complete list of servers.
pub fn new(
    seed: u64,
    settings: NamedSettings,
    config: OperatorConfig,
    ledger_settings: LedgerSettings,
    quota_plans: BTreeSet<PlanId>,
) -> Result<(Runner, Hub), SettingsError> {
    let clock = Clock::start();
    let mut fleet = Fleet::new(seed, settings.clone())?;
    fleet.set_locations(config.locations.clone());
    let ledger = Arc::new(Mutex::new(QuotaLedger::new(clock.now(), ledger_settings, &settings.settings)));
    let (updates, queue) = mpsc::channel(UPDATE_QUEUE_CAPACITY);
    let (publish, published) = watch::channel(None);
    let (allow, allowed) = watch::channel(allowed_nodes(&config));
    let routes = Arc::new(resources::route_tables(&routes(&settings)));
    let hub = Hub {
        updates,
        published,
        allowed,
        clock,
        settings: Arc::new(settings),
        ledger_settings,
        quota_plans: Arc::new(quota_plans),
        ledger,
    };
    let runner =
        Runner { fleet, config, config_changed: false, routes, hub: hub.clone(), queue, publish, allow };
    Ok((runner, hub))
}

/// Builds the resources of each proxy. Shared parts are built once. Listeners depend on the operators' settings
/// alone and are taken over from `old` unless the settings changed (`config_changed`).
pub fn build_published_state(
    snapshot: FleetSnapshot,
    config: &OperatorConfig,
    routes: &Arc<TypeSet>,
    old: Option<&PublishedState>,
    config_changed: bool,
) -> PublishedState {
    let clusters = Arc::new(resources::clusters(
        &config.resource_settings,
        snapshot.endpoints.len(),
        config.proxies.len(),
    ));
    let endpoints = Arc::new(resources::endpoints(&snapshot));
    let resources_of = |proxy: &Proxy| {
        let before = old.and_then(|old| old.sets.get(&proxy.id));
        let listeners = match before.filter(|_| !config_changed) {
            Some(before) => before.type_set(ResourceKind::Listener),
            None => Arc::new(resources::listeners(&proxy.id, proxy.listen, &config.resource_settings)),
        };
        let types = RESOURCE_KINDS.map(|kind| match kind {
            ResourceKind::Cluster => clusters.clone(),
            ResourceKind::Endpoints => endpoints.clone(),
            ResourceKind::Listener => listeners.clone(),
            ResourceKind::Routes => routes.clone(),
        });
        let new = ResourceSet::new(types);
        let new = match before {
            Some(before) => new.after(before),
            None => new,
        };
        (proxy.id.clone(), Arc::new(new))
    };
    let sets = config.proxies.iter().map(resources_of).collect();
    PublishedState { snapshot, sets }
}

impl Runner {
    /// Runs until the task is dropped: it holds a sender of its own, so its queue never closes.
    pub async fn run(mut self) {
        let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
        loop {
            let now = self.hub.clock.now();
            let next = self.fleet.next_change(now).filter(|_| self.fleet.is_known());
            let wait = next.map_or(Duration::from_secs(3600), |at| Duration::from_micros((at - now).0 + 1));
            tokio::select! {
                biased;
                update = self.queue.recv() => match update {
                    Some(update) => {
                        self.apply(update);
                        // Updates that are already queued are published as one change.
                        while let Ok(update) = self.queue.try_recv() {
                            self.apply(update);
                        }
                        self.publish();
                    }
                    None => return,
                },
                () = tokio::time::sleep(wait) => self.publish(),
                _ = sweep.tick() => self.hub.ledger().sweep(self.hub.clock.now()),
            }
        }
    }

    fn apply(&mut self, update: Update) {
        let now = self.hub.clock.now();
        match update {
            Update::Members(list) => {
                let (revision, complete, members) = (list.revision, list.complete, list.members.len());
                match self.fleet.apply_list(now, list) {
                    Ok(()) => info!(revision, complete, members, "applied the list of servers"),
                    Err(problem) => warn!(revision, %problem, "rejected the list of servers"),
                }
            }
            Update::EndpointReports(reports) => reports.into_iter().for_each(|report| {
                self.fleet.apply_report(now, report);
            }),
            Update::ZoneShares(shares) => self.fleet.set_zone_shares(shares),
            Update::OperatorConfig(config) => {
                self.allow.send_replace(allowed_nodes(&config));
                self.fleet.set_locations(config.locations.clone());
                (self.config, self.config_changed) = (config, true);
            }
        }
    }

    fn publish(&mut self) {
        let Some(snapshot) = self.fleet.snapshot(self.hub.clock.now()) else { return };
        let old = self.publish.borrow().clone();
        let unchanged = old.as_ref().is_some_and(|old| old.snapshot == snapshot);
        let config_changed = std::mem::take(&mut self.config_changed);
        if !unchanged || config_changed {
            let new =
                build_published_state(snapshot, &self.config, &self.routes, old.as_deref(), config_changed);
            self.publish.send_replace(Some(Arc::new(new)));
        }
    }
}
