//! The machines of a control side and its gateways, played in one thread: the programs' own code over links, disks and
//! lives that somebody else decides.

use crate::checker::{self, Items, RATIONED};
use crate::network::Fabric;
use crate::processes::{mount, Platter, Process};
use starlinghill_consensus::Members;
use starlinghill_decision::api::{CustomerId, Listed, Micros, Outcome, ServiceId};
use starlinghill_decision::bucket_name;
use starlinghill_gateway::counter::CounterTransport;
use starlinghill_gateway::inbox::{BackendListing, Clock, Input};
use starlinghill_runtime::essential_tasks::EssentialTasks;
use starlinghill_runtime::net::NetworkHandle;
use starlinghill_runtime::settings::{Bounds, NodeSettings};
use starlinghill_runtime::{CONFIG_STORE_PORT_OFFSET, PROXY_PORT_OFFSET, REGISTRY_PORT_OFFSET};

use starlinghill_config_model::RoutingTable;
use starlinghill_config_store::program::run_store;
use starlinghill_proxy::decision_settings::DecisionIndex;
use starlinghill_proxy::heartbeat::HeartbeatRing;
use starlinghill_proxy::quota_client::CounterClient;
use starlinghill_proxy::registry_client::{self, ProxyState, RegistryClientContext, RoutingView};
use starlinghill_registry::program::run_registry;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Where operators and backends call.
const CONTROL: u16 = 7000;
/// A machine that is new, or back, counts as lost for so long.
const SYNC_TIME: Duration = Duration::from_secs(4);
/// The first of the system's own ports.
const OWN: u16 = 7100;
/// So many machines a settings file names.
const SEEDS: usize = 3;
/// How often a gateway draws, in milliseconds at most: all of them together far more than the quota gives.
const DRAWS_MS: u64 = 60;

/// A machine of the core: a store, a registry, a disk.
pub struct Core {
    /// Its address.
    pub ip: IpAddr,
    /// Its disk.
    pub disk: Rc<RefCell<Platter>>,
    /// Its store.
    pub store: RefCell<Process>,
    /// Its registry.
    pub registry: RefCell<Process>,
    /// The machine is there: it runs, or will run again.
    pub is_there: Cell<bool>,
    /// It was started before.
    started: Cell<bool>,
    /// Tells the store, and the registry, to end.
    ends: RefCell<[Option<oneshot::Sender<()>>; 2]>,
}

/// A gateway: its news.
pub struct Gateway {
    /// Its address.
    pub ip: IpAddr,
    /// Its process.
    pub process: RefCell<Process>,
    /// In which life.
    pub life: Cell<u64>,
    shared: Rc<RefCell<Option<Rc<ProxyState>>>>,
    /// The backends that it may send work to, by their ids.
    listed: Rc<RefCell<BTreeSet<String>>>,
}

/// All of it.
pub struct World {
    /// The links.
    pub fabric: Rc<Fabric>,
    /// The core.
    pub cores: Vec<Core>,
    /// The gateways.
    pub gateways: Vec<Gateway>,
    /// What ended though nobody ended it.
    pub ended: Rc<RefCell<Vec<String>>>,
    /// When whoever keeps the count granted something.
    pub granted: Rc<RefCell<Vec<Duration>>>,
    begun: Instant,
}

/// An address of a machine.
pub fn ip(kind: u8, i: usize) -> IpAddr {
    IpAddr::from([10, 0, kind, i as u8 + 1])
}

impl World {
    /// Machines that were never started: founders, addresses for core machines that come later, and gateways.
    pub fn new(seed: u64, founders: usize, spares: usize, gateways: usize) -> World {
        let core = |i| Core {
            ip: ip(0, i),
            disk: Rc::default(),
            store: RefCell::default(),
            registry: RefCell::default(),
            is_there: Cell::new(i < founders),
            started: Cell::new(i >= founders),
            ends: RefCell::default(),
        };
        let gateway = |i| Gateway {
            ip: ip(1, i),
            process: RefCell::default(),
            life: Cell::new(0),
            shared: Rc::default(),
            listed: Rc::default(),
        };
        World {
            fabric: Fabric::new(seed),
            cores: (0..founders + spares).map(core).collect(),
            gateways: (0..gateways).map(gateway).collect(),
            ended: Rc::default(),
            granted: Rc::default(),
            begun: Instant::now(),
        }
    }

    fn node(&self, ip: IpAddr, first_start: bool) -> NodeSettings {
        let there = self.cores.iter().filter(|core| core.is_there.get());
        let seeds = there.map(|core| SocketAddr::new(core.ip, CONTROL)).take(SEEDS).collect();
        NodeSettings {
            name: ip.to_string(),
            ip,
            zone: "a".into(),
            first_start,
            data_dir: None,
            memory_mb: 256,
            open_files: 2048,
            local_ports: (OWN, OWN + 9),
            seeds,
            front: None,
            ready: None,
            control: Some(SocketAddr::new(ip, CONTROL)),
            beat: checker::BEAT,
            bounds: Bounds {
                drain: checker::DRAIN,
                apply: checker::APPLY,
                sync_time: SYNC_TIME,
                grace: Duration::from_secs(6),
                retry_ratio: 0.2,
                retry_extra: 62.0,
                quota_window: checker::QUOTA_WINDOW,
                quota_excess: checker::QUOTA_EXCESS,
                quota_extra: checker::QUOTA_EXTRA,
            },
        }
    }

    fn net(&self, ip: IpAddr) -> NetworkHandle {
        self.fabric.at(ip)
    }

    /// Where a registry takes calls from outside.
    pub fn control(&self, core: usize) -> SocketAddr {
        SocketAddr::new(self.cores[core].ip, CONTROL)
    }

    /// Where a registry takes calls of the system itself.
    pub fn own(&self, core: usize) -> SocketAddr {
        SocketAddr::new(self.cores[core].ip, OWN + REGISTRY_PORT_OFFSET)
    }

    /// Where a store takes calls of the system itself.
    pub fn store(&self, core: usize) -> SocketAddr {
        SocketAddr::new(self.cores[core].ip, OWN + CONFIG_STORE_PORT_OFFSET)
    }

    /// The core machines that are there.
    pub fn there(&self) -> Vec<usize> {
        (0..self.cores.len()).filter(|i| self.cores[*i].is_there.get()).collect()
    }

    /// Has a process note where it ends by itself.
    fn watched<E: std::fmt::Display>(
        &self,
        what: String,
        run: impl std::future::Future<Output = Result<(), E>> + 'static,
    ) -> Process {
        let ended = self.ended.clone();
        Process::begin(async move {
            if let Err(error) = run.await {
                ended.borrow_mut().push(format!("{what} ended: {error}"));
            }
        })
    }

    /// Starts a store that does not run.
    pub fn start_store(&self, i: usize) {
        let core = &self.cores[i];
        if core.store.borrow().is_alive() || !core.is_there.get() {
            return;
        }
        let (node, net) = (self.node(core.ip, !core.started.replace(true)), self.net(core.ip));
        let disk = core.disk.clone();
        let found = disk.borrow().found();
        let (end, ends) = oneshot::channel();
        core.ends.borrow_mut()[0] = Some(end);
        let run = async move {
            // Nobody sends it SIGHUP.
            let (_told, reread) = watch::channel(None);
            run_store(&node, &net, reread, found, mount(disk), async move { drop(ends.await) }).await
        };
        *core.store.borrow_mut() = self.watched(format!("store {i}"), run);
    }

    /// Starts a registry that does not run; `first`: the whole system starts.
    pub fn start_registry(&self, i: usize, first: bool) {
        let core = &self.cores[i];
        if core.registry.borrow().is_alive() || !core.is_there.get() {
            return;
        }
        let (node, net) = (self.node(core.ip, first), self.net(core.ip));
        let (end, ends) = oneshot::channel();
        core.ends.borrow_mut()[1] = Some(end);
        let run = async move {
            let ended = async move { drop(ends.await) };
            run_registry(&node, &net, ended).await
        };
        *core.registry.borrow_mut() = self.watched(format!("registry {i}"), run);
    }

    /// Starts all that does not run on a machine of the core.
    pub fn start_core(&self, i: usize) {
        self.start_store(i);
        self.start_registry(i, false);
    }

    /// Kills a store; what it was writing is there afterwards, or not.
    pub fn kill_store(&self, i: usize, there: bool) {
        self.cores[i].store.borrow().kill();
        self.cores[i].disk.borrow_mut().settle(there);
    }

    /// Tells a registry to end in order.
    pub fn end_registry(&self, i: usize) {
        self.end(i, 1);
    }

    /// Tells a store to end in order.
    pub fn end_store(&self, i: usize) {
        self.end(i, 0);
    }

    fn end(&self, i: usize, which: usize) {
        if let Some(end) = self.cores[i].ends.borrow_mut()[which].take() {
            // It may be dead.
            let _ = end.send(());
        }
    }

    /// A machine of the core goes for good, and its disk with it.
    pub fn remove(&self, i: usize) {
        self.power_off(i, false);
        self.cores[i].disk.borrow_mut().wipe();
        self.cores[i].is_there.set(false);
    }

    /// One comes with an empty disk, at an address that no other one has now.
    pub fn come(&self, i: usize) {
        self.cores[i].is_there.set(true);
        self.power_on(i);
    }

    /// Takes the power from a machine of the core.
    pub fn power_off(&self, i: usize, there: bool) {
        self.fabric.power_off(self.cores[i].ip);
        self.cores[i].registry.borrow().kill();
        self.kill_store(i, there);
    }

    /// Gives it back.
    pub fn power_on(&self, i: usize) {
        self.fabric.power_on(self.cores[i].ip);
        self.start_core(i);
    }

    /// A machine of the core runs, both programs, with a disk that writes, and takes itself for a member.
    pub fn is_well(&self, i: usize) -> bool {
        let core = &self.cores[i];
        let disk = core.disk.borrow();
        core.store.borrow().is_awake()
            && core.registry.borrow().is_awake()
            && !disk.is_stalled()
            && !disk.refuses
            && disk.kept().is_some_and(|kept| kept.members.contains(kept.me))
    }

    /// The newest members of which a disk says that they were agreed on.
    pub fn members(&self) -> Members {
        let mut newest = Members::default();
        for core in &self.cores {
            let disk = core.disk.borrow();
            let Some(kept) = disk.kept() else { continue };
            if newest.voters.is_empty() || kept.members.epoch > newest.epoch {
                newest = kept.members.clone();
            }
        }
        newest
    }

    /// Of these members a disk is there.
    fn has_disk(&self, members: &Members, i: usize) -> bool {
        self.cores[i].disk.borrow().kept().is_some_and(|kept| members.contains(kept.me))
    }

    /// All disks hold what their members promised, and a majority knows that they are members: one more may be lost.
    pub fn is_whole(&self) -> bool {
        let members = self.members();
        let all = || (0..self.cores.len()).filter(|i| self.has_disk(&members, *i));
        let knows = |i: &usize| {
            self.cores[*i].disk.borrow().kept().is_some_and(|kept| kept.members.epoch == members.epoch)
        };
        let (voters, disks, know) = (members.voters.len(), all().count(), all().filter(knows).count());
        disks == voters && know > voters / 2
    }

    /// Messages pass both context.
    pub fn linked(&self, a: IpAddr, b: IpAddr) -> bool {
        self.fabric.is_up(a, b) && self.fabric.is_up(b, a)
    }

    /// A well member of the core that reaches so many others that they are a majority.
    pub fn has_majority(&self, i: usize) -> bool {
        let members = self.members();
        let well = |j: usize| self.has_disk(&members, j) && self.is_well(j);
        let reached = (0..self.cores.len())
            .filter(|j| well(*j) && (*j == i || self.linked(self.cores[i].ip, self.cores[*j].ip)));
        well(i) && reached.count() > members.voters.len() / 2
    }

    /// Starts a gateway that does not run.
    pub fn start_gateway(&self, i: usize) {
        let gateway = &self.gateways[i];
        if gateway.process.borrow().is_alive() {
            return;
        }
        let life = fastrand::u64(1..);
        gateway.life.set(life);
        *gateway.shared.borrow_mut() = None;
        gateway.listed.borrow_mut().clear();
        let listed = gateway.listed.clone();
        let (node, net, slot) = (self.node(gateway.ip, false), self.net(gateway.ip), gateway.shared.clone());
        let (granted, begun, ended) = (self.granted.clone(), self.begun, self.ended.clone());
        *gateway.process.borrow_mut() = Process::begin(async move {
            let (_stop, stopping) = watch::channel(false);
            let view =
                RoutingView { table: RoutingTable::default(), index: DecisionIndex::default(), gateways: 1 };
            let shared =
                Rc::new(ProxyState { view: RefCell::new(view), ready: watch::channel(false).0, stopping });
            *slot.borrow_mut() = Some(shared.clone());
            let (holder, held) = registry_client::no_holder();
            let essentials = EssentialTasks::default();
            let counter = CounterClient::start(net.clone(), life, held, &essentials);
            // What the module would hear of it.
            let (driver, mut inputs) = mpsc::channel(64);
            let clock = Clock::starting_at(Micros(100_000_000));
            let ring = Rc::new(HeartbeatRing::new(node.internal_address(node.ip, PROXY_PORT_OFFSET), life));
            spawn_local(draw(counter.clone(), granted, begun));
            let context = RegistryClientContext { net, driver, clock, counter, holder, ring };
            registry_client::start(&node, shared, context, life, &essentials);
            while let Some(input) = inputs.recv().await {
                let Input::Backends(_, listings) = input else { continue };
                for BackendListing { entry, name, .. } in listings {
                    let id = name.to_str().unwrap_or_default().to_string();
                    match entry.listed {
                        Listed::InService => listed.borrow_mut().insert(id),
                        _ => listed.borrow_mut().remove(&id),
                    };
                }
            }
            ended.borrow_mut().push(format!("gateway {i} ended: nobody follows the registries any more"));
        });
    }

    /// Whether a gateway serves, and what is in force there; nothing where it does not run.
    pub fn in_force(&self, i: usize) -> Option<(bool, Items)> {
        let gateway = &self.gateways[i];
        if !gateway.process.borrow().is_awake() {
            return None;
        }
        let shared = gateway.shared.borrow();
        let shared = shared.as_ref()?;
        let view = shared.view.borrow();
        let item = |tenant: &Rc<starlinghill_config_model::routing::Tenant>| {
            (tenant.name.clone(), (tenant.burst as u64, tenant.rate as u64))
        };
        let ready = *shared.ready.borrow();
        Some((ready, view.table.tenants.iter().map(item).collect()))
    }

    /// No two tenants hold one key at a gateway.
    pub fn has_keys_apart(&self, i: usize) -> bool {
        let shared = self.gateways[i].shared.borrow();
        shared.as_ref().is_none_or(|shared| {
            let view = shared.view.borrow();
            let keys: Vec<&String> = view.table.tenants.iter().flat_map(|tenant| &tenant.keys).collect();
            keys.iter().collect::<BTreeSet<_>>().len() == keys.len()
        })
    }

    /// The backends that a gateway may send work to.
    pub fn listed(&self, i: usize) -> BTreeSet<String> {
        self.gateways[i].listed.borrow().clone()
    }
}

/// Draws from the tenant with a quota as often as clients who want far more, one draw after the other.
async fn draw(counter: Rc<CounterClient>, granted: Rc<RefCell<Vec<Duration>>>, begun: Instant) {
    let name = bucket_name(CustomerId(xxh3_64(RATIONED.as_bytes())));
    loop {
        sleep(Duration::from_millis(fastrand::u64(1..=DRAWS_MS))).await;
        let counted = counter.clone().draw(name, 1.0, (ServiceId(0), Micros(1_000_000))).await;
        if counted.outcome == Outcome::Ok && counted.total >= 0.0 {
            granted.borrow_mut().push(begun.elapsed());
        }
    }
}
