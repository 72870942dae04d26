//! The one owner of the fleet's snapshot: takes update in, publishes each change once, to all streams at the same
//! moment. Streams take the newest state when they have room, so no slow one keeps others from it.

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

/// Update that may wait for the hub; whoever has more waits with it.
const INBOX: usize = 256;
/// How often customers that need no keeping are forgotten.
const SWEEP: Duration = Duration::from_secs(30);

/// Unix time, which all machines share, but never going back.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    base: Duration,
    start: Instant,
}

impl Clock {
    /// Reads the system's clock once; from then on the monotonic one counts.
    #[expect(clippy::disallowed_methods, reason = "servers' starts are told in Unix time")]
    pub fn start() -> Clock {
        let base = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { base, start: Instant::now() }
    }
    /// Now.
    pub fn now(&self) -> Micros {
        Micros((self.base + self.start.elapsed()).as_micros() as u64)
    }
}

/// One proxy on the operators' list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proxy {
    /// Its node id.
    pub id: String,
    /// Where it is to listen for clients, if this service tells it.
    pub listen: Option<SocketAddr>,
}

/// What the operators say.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorConfig {
    /// The proxies that may connect.
    pub proxies: Vec<Proxy>,
    /// What else resources hold.
    pub resource_settings: ResourceSettings,
    /// The regions of zones, where there is a map of them.
    pub locations: BTreeMap<String, EndpointLocation>,
}

/// What the hub hears.
#[derive(Debug)]
pub enum Update {
    /// The list of servers, whole or as changes.
    Members(MemberList),
    /// What proxies saw of servers.
    EndpointReports(Vec<EndpointReport>),
    /// The parts of their work that zones get from now on, by order of the group.
    ZoneShares(Vec<(String, ZoneShare)>),
    /// The operators changed their minds.
    OperatorConfig(OperatorConfig),
}

impl From<MemberList> for Update {
    fn from(list: MemberList) -> Update {
        Update::Members(list)
    }
}

/// One consistent state of everything, for all proxies.
#[derive(Debug)]
pub struct PublishedState {
    /// The fleet.
    pub snapshot: FleetSnapshot,
    /// What each proxy gets, by node id.
    pub sets: BTreeMap<String, Arc<ResourceSet>>,
}

/// The way to the hub, shared by all streams.
#[derive(Clone)]
pub struct Hub {
    /// The way in.
    pub updates: mpsc::Sender<Update>,
    /// The newest state; `None` until a whole list has come.
    pub published: watch::Receiver<Option<Arc<PublishedState>>>,
    /// The node ids that may connect.
    pub allowed: watch::Receiver<Arc<BTreeMap<String, Option<SocketAddr>>>>,
    /// The clock.
    pub clock: Clock,
    /// Names of plans and classes.
    pub settings: Arc<NamedSettings>,
    /// The life and the way of assignments.
    pub ledger_settings: LedgerSettings,
    /// The plans of which proxies get slices; of others they let nothing through.
    pub quota_plans: Arc<BTreeSet<PlanId>>,
    ledger: Arc<Mutex<QuotaLedger>>,
}

impl Hub {
    /// The ledger. It is held for one report at a time and never across a wait.
    pub fn ledger(&self) -> MutexGuard<'_, QuotaLedger> {
        // A panic elsewhere leaves sums that were paid and not told, which errs to the safe side.
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a node may connect.
    pub fn is_allowed(&self, node: &str) -> bool {
        self.allowed.borrow().contains_key(node)
    }
}

/// The hub itself, to be run.
pub struct Runner {
    fleet: Fleet,
    config: OperatorConfig,
    /// The plan changed since the last publication.
    stale: bool,
    routes: Arc<TypeSet>,
    hub: Hub,
    inbox: mpsc::Receiver<Update>,
    publish: watch::Sender<Option<Arc<PublishedState>>>,
    allow: watch::Sender<Arc<BTreeMap<String, Option<SocketAddr>>>>,
}

fn allowed(config: &OperatorConfig) -> Arc<BTreeMap<String, Option<SocketAddr>>> {
    Arc::new(config.proxies.iter().map(|p| (p.id.clone(), p.listen)).collect())
}

/// A hub that knows nothing yet of the fleet.
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
    let (updates, inbox) = mpsc::channel(INBOX);
    let (publish, published) = watch::channel(None);
    let (allow, allowed) = watch::channel(allowed(&config));
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
    let runner = Runner { fleet, config, stale: false, routes, hub: hub.clone(), inbox, publish, allow };
    Ok((runner, hub))
}

/// What each proxy gets of a snapshot. The parts that all share are made once; listeners depend on the plan alone,
/// and those of `old` serve again unless the plan changed (`stale`).
pub fn build_published_state(
    snapshot: FleetSnapshot,
    config: &OperatorConfig,
    routes: &Arc<TypeSet>,
    old: Option<&PublishedState>,
    stale: bool,
) -> PublishedState {
    let clusters = Arc::new(resources::clusters(
        &config.resource_settings,
        snapshot.endpoints.len(),
        config.proxies.len(),
    ));
    let endpoints = Arc::new(resources::endpoints(&snapshot));
    let of = |proxy: &Proxy| {
        let before = old.and_then(|old| old.sets.get(&proxy.id));
        let listeners = match before.filter(|_| !stale) {
            Some(before) => before.of(ResourceKind::Listener),
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
    let sets = config.proxies.iter().map(of).collect();
    PublishedState { snapshot, sets }
}

impl Runner {
    /// Runs for ever; ends when nobody can send update any more.
    pub async fn run(mut self) {
        let mut sweep = tokio::time::interval(SWEEP);
        // The runner's own copy of the way in keeps it alive as long as it runs.
        loop {
            let now = self.hub.clock.now();
            let next = self.fleet.next_change(now).filter(|_| self.fleet.is_known());
            let wait = next.map_or(Duration::from_secs(3600), |at| Duration::from_micros((at - now).0 + 1));
            tokio::select! {
                biased;
                update = self.inbox.recv() => match update {
                    Some(update) => {
                        self.take(update);
                        // What has come meanwhile goes out as one change.
                        while let Ok(update) = self.inbox.try_recv() {
                            self.take(update);
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

    fn take(&mut self, update: Update) {
        let now = self.hub.clock.now();
        match update {
            Update::Members(list) => {
                let (revision, complete, members) = (list.revision, list.complete, list.members.len());
                match self.fleet.apply_list(now, list) {
                    Ok(()) => info!(revision, complete, members, "the list of servers"),
                    Err(problem) => warn!(revision, %problem, "the list of servers can't be used"),
                }
            }
            Update::EndpointReports(seen) => seen.into_iter().for_each(|seen| {
                self.fleet.apply_report(now, seen);
            }),
            Update::ZoneShares(parts) => self.fleet.set_zone_shares(parts),
            Update::OperatorConfig(config) => {
                self.allow.send_replace(allowed(&config));
                self.fleet.set_locations(config.locations.clone());
                (self.config, self.stale) = (config, true);
            }
        }
    }

    fn publish(&mut self) {
        let Some(snapshot) = self.fleet.snapshot(self.hub.clock.now()) else { return };
        let old = self.publish.borrow().clone();
        let same = old.as_ref().is_some_and(|old| old.snapshot == snapshot);
        let stale = std::mem::take(&mut self.stale);
        if !same || stale {
            let new = build_published_state(snapshot, &self.config, &self.routes, old.as_deref(), stale);
            self.publish.send_replace(Some(Arc::new(new)));
        }
    }
}
