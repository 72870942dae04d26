//! The one owner of the fleet's picture: takes news in, publishes each change once, to all streams at the same
//! moment. Streams take the newest state when they have room, so no slow one keeps others from it.

use crate::resources::{self, Kind, ResourceSet, TypeSet, Wiring, KINDS};
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

/// News that may wait for the hub; whoever has more waits with it.
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
pub struct Plan {
    /// The proxies that may connect.
    pub proxies: Vec<Proxy>,
    /// What else resources hold.
    pub wiring: Wiring,
    /// The regions of zones, where there is a map of them.
    pub places: BTreeMap<String, EndpointLocation>,
}

/// What the hub hears.
#[derive(Debug)]
pub enum News {
    /// The list of servers, whole or as changes.
    Members(MemberList),
    /// What proxies saw of servers.
    Observed(Vec<EndpointReport>),
    /// The parts of their work that zones get from now on, by order of the group.
    Zones(Vec<(String, ZoneShare)>),
    /// The operators changed their minds.
    Plan(Plan),
}

impl From<MemberList> for News {
    fn from(list: MemberList) -> News {
        News::Members(list)
    }
}

/// One consistent state of everything, for all proxies.
#[derive(Debug)]
pub struct Published {
    /// The fleet.
    pub picture: FleetSnapshot,
    /// What each proxy gets, by node id.
    pub sets: BTreeMap<String, Arc<ResourceSet>>,
}

/// The way to the hub, shared by all streams.
#[derive(Clone)]
pub struct Hub {
    /// The way in.
    pub news: mpsc::Sender<News>,
    /// The newest state; `None` until a whole list has come.
    pub published: watch::Receiver<Option<Arc<Published>>>,
    /// The node ids that may connect.
    pub allowed: watch::Receiver<Arc<BTreeMap<String, Option<SocketAddr>>>>,
    /// The clock.
    pub clock: Clock,
    /// Names of plans and classes.
    pub site: Arc<NamedSettings>,
    /// The life and the way of assignments.
    pub lease: LedgerSettings,
    /// The plans of which proxies get slices; of others they let nothing through.
    pub plans: Arc<BTreeSet<PlanId>>,
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
    plan: Plan,
    /// The plan changed since the last publication.
    stale: bool,
    routes: Arc<TypeSet>,
    hub: Hub,
    inbox: mpsc::Receiver<News>,
    publish: watch::Sender<Option<Arc<Published>>>,
    allow: watch::Sender<Arc<BTreeMap<String, Option<SocketAddr>>>>,
}

fn allowed(plan: &Plan) -> Arc<BTreeMap<String, Option<SocketAddr>>> {
    Arc::new(plan.proxies.iter().map(|p| (p.id.clone(), p.listen)).collect())
}

/// A hub that knows nothing yet of the fleet.
pub fn new(
    seed: u64,
    site: NamedSettings,
    plan: Plan,
    lease: LedgerSettings,
    plans: BTreeSet<PlanId>,
) -> Result<(Runner, Hub), SettingsError> {
    let clock = Clock::start();
    let mut fleet = Fleet::new(seed, site.clone())?;
    fleet.set_locations(plan.places.clone());
    let ledger = Arc::new(Mutex::new(QuotaLedger::new(clock.now(), lease, &site.settings)));
    let (news, inbox) = mpsc::channel(INBOX);
    let (publish, published) = watch::channel(None);
    let (allow, allowed) = watch::channel(allowed(&plan));
    let routes = Arc::new(resources::route_tables(&routes(&site)));
    let hub =
        Hub { news, published, allowed, clock, site: Arc::new(site), lease, plans: Arc::new(plans), ledger };
    let runner = Runner { fleet, plan, stale: false, routes, hub: hub.clone(), inbox, publish, allow };
    Ok((runner, hub))
}

/// What each proxy gets of a picture. The parts that all share are made once; listeners depend on the plan alone,
/// and those of `old` serve again unless the plan changed (`stale`).
pub fn publish(
    picture: FleetSnapshot,
    plan: &Plan,
    routes: &Arc<TypeSet>,
    old: Option<&Published>,
    stale: bool,
) -> Published {
    let clusters = Arc::new(resources::clusters(&plan.wiring, picture.endpoints.len(), plan.proxies.len()));
    let endpoints = Arc::new(resources::endpoints(&picture));
    let of = |proxy: &Proxy| {
        let before = old.and_then(|old| old.sets.get(&proxy.id));
        let listeners = match before.filter(|_| !stale) {
            Some(before) => before.of(Kind::Listener),
            None => Arc::new(resources::listeners(&proxy.id, proxy.listen, &plan.wiring)),
        };
        let types = KINDS.map(|kind| match kind {
            Kind::Cluster => clusters.clone(),
            Kind::Endpoints => endpoints.clone(),
            Kind::Listener => listeners.clone(),
            Kind::Routes => routes.clone(),
        });
        let new = ResourceSet::new(types);
        let new = match before {
            Some(before) => new.after(before),
            None => new,
        };
        (proxy.id.clone(), Arc::new(new))
    };
    let sets = plan.proxies.iter().map(of).collect();
    Published { picture, sets }
}

impl Runner {
    /// Runs for ever; ends when nobody can send news any more.
    pub async fn run(mut self) {
        let mut sweep = tokio::time::interval(SWEEP);
        // The runner's own copy of the way in keeps it alive as long as it runs.
        loop {
            let now = self.hub.clock.now();
            let next = self.fleet.next_change(now).filter(|_| self.fleet.is_known());
            let wait = next.map_or(Duration::from_secs(3600), |at| Duration::from_micros((at - now).0 + 1));
            tokio::select! {
                biased;
                news = self.inbox.recv() => match news {
                    Some(news) => {
                        self.take(news);
                        // What has come meanwhile goes out as one change.
                        while let Ok(news) = self.inbox.try_recv() {
                            self.take(news);
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

    fn take(&mut self, news: News) {
        let now = self.hub.clock.now();
        match news {
            News::Members(list) => {
                let (revision, complete, members) = (list.revision, list.complete, list.members.len());
                match self.fleet.apply_list(now, list) {
                    Ok(()) => info!(revision, complete, members, "the list of servers"),
                    Err(problem) => warn!(revision, %problem, "the list of servers can't be used"),
                }
            }
            News::Observed(seen) => seen.into_iter().for_each(|seen| {
                self.fleet.apply_report(now, seen);
            }),
            News::Zones(parts) => self.fleet.set_zone_shares(parts),
            News::Plan(plan) => {
                self.allow.send_replace(allowed(&plan));
                self.fleet.set_locations(plan.places.clone());
                (self.plan, self.stale) = (plan, true);
            }
        }
    }

    fn publish(&mut self) {
        let Some(picture) = self.fleet.snapshot(self.hub.clock.now()) else { return };
        let old = self.publish.borrow().clone();
        let same = old.as_ref().is_some_and(|old| old.picture == picture);
        let stale = std::mem::take(&mut self.stale);
        if !same || stale {
            let new = publish(picture, &self.plan, &self.routes, old.as_deref(), stale);
            self.publish.send_replace(Some(Arc::new(new)));
        }
    }
}
