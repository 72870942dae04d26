//! The simulated machines: core machines, each with a configuration store, a registry and a disk, and gateways with
//! their registry clients. The programs' own code runs here, in one thread.

use crate::checker::{self, Items, QUOTA_TENANT};
use crate::network::SimulatedNetwork;
use crate::processes::{start_writer, Disk, Process};
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

/// The port on which registries serve operators and backends.
const CONTROL_PORT: u16 = 7000;
/// How long a new or returned machine counts as lost while it catches up.
const SYNC_TIME: Duration = Duration::from_secs(4);
/// The first of the ports that the machines use among themselves.
const FIRST_INTERNAL_PORT: u16 = 7100;
/// How many machines a settings file lists as seeds.
const SEED_COUNT: usize = 3;
/// The longest pause between two draws of a gateway, in milliseconds. All gateways together ask for far more than the
/// quota.
const MAX_DRAW_PAUSE_MS: u64 = 60;

/// A core machine.
pub struct Core {
    /// Its address.
    pub ip: IpAddr,
    /// The store's disk.
    pub disk: Rc<RefCell<Disk>>,
    /// The process of its configuration store.
    pub store: RefCell<Process>,
    /// The process of its registry.
    pub registry: RefCell<Process>,
    /// Whether the machine exists at present. It may be powered off and still exist.
    pub is_present: Cell<bool>,
    /// Whether its store was started before. True from the beginning for spare machines, which join a running
    /// cluster.
    was_started: Cell<bool>,
    /// Ask the store and the registry, in this order, to shut down in order.
    stop_senders: RefCell<[Option<oneshot::Sender<()>>; 2]>,
}

/// A gateway machine, with the parts of the proxy that follow the registries.
pub struct Gateway {
    /// Its address.
    pub ip: IpAddr,
    /// The process of its proxy.
    pub process: RefCell<Process>,
    /// A random number that identifies the current process.
    pub incarnation: Cell<u64>,
    shared: Rc<RefCell<Option<Rc<ProxyState>>>>,
    /// The ids of the backends that it may route requests to.
    routable_backends: Rc<RefCell<BTreeSet<String>>>,
}

/// All simulated machines and the network between them.
pub struct Cluster {
    /// The network between all machines.
    pub network: Rc<SimulatedNetwork>,
    /// The core machines, spare ones included.
    pub cores: Vec<Core>,
    /// The gateways.
    pub gateways: Vec<Gateway>,
    /// Processes that ended without having been stopped, with their errors.
    pub unexpected_exits: Rc<RefCell<Vec<String>>>,
    /// When the counter granted a draw, counted from the start of the run.
    pub quota_grants: Rc<RefCell<Vec<Duration>>>,
    started: Instant,
}

/// The address of a machine. Kinds: 0 core, 1 gateway, 2 operator, 3 backend.
pub fn machine_ip(kind: u8, i: usize) -> IpAddr {
    IpAddr::from([10, 0, kind, i as u8 + 1])
}

impl Cluster {
    /// Creates machines without starting them. Spare core machines are addresses for machines that join later.
    pub fn new(seed: u64, initial_cores: usize, spare_cores: usize, gateways: usize) -> Cluster {
        let core = |i| Core {
            ip: machine_ip(0, i),
            disk: Rc::default(),
            store: RefCell::default(),
            registry: RefCell::default(),
            is_present: Cell::new(i < initial_cores),
            was_started: Cell::new(i >= initial_cores),
            stop_senders: RefCell::default(),
        };
        let gateway = |i| Gateway {
            ip: machine_ip(1, i),
            process: RefCell::default(),
            incarnation: Cell::new(0),
            shared: Rc::default(),
            routable_backends: Rc::default(),
        };
        Cluster {
            network: SimulatedNetwork::new(seed),
            cores: (0..initial_cores + spare_cores).map(core).collect(),
            gateways: (0..gateways).map(gateway).collect(),
            unexpected_exits: Rc::default(),
            quota_grants: Rc::default(),
            started: Instant::now(),
        }
    }

    fn node_settings(&self, ip: IpAddr, first_start: bool) -> NodeSettings {
        let present = self.cores.iter().filter(|core| core.is_present.get());
        let seeds = present.map(|core| SocketAddr::new(core.ip, CONTROL_PORT)).take(SEED_COUNT).collect();
        NodeSettings {
            name: ip.to_string(),
            ip,
            zone: "a".into(),
            first_start,
            data_dir: None,
            memory_mb: 256,
            open_files: 2048,
            local_ports: (FIRST_INTERNAL_PORT, FIRST_INTERNAL_PORT + 9),
            seeds,
            front: None,
            ready: None,
            control: Some(SocketAddr::new(ip, CONTROL_PORT)),
            beat: checker::HEARTBEAT_INTERVAL,
            bounds: Bounds {
                drain: checker::DRAIN_LIMIT,
                apply: checker::APPLY_LIMIT,
                sync_time: SYNC_TIME,
                grace: Duration::from_secs(6),
                retry_ratio: 0.2,
                retry_extra: 62.0,
                quota_window: checker::QUOTA_WINDOW,
                quota_excess: checker::QUOTA_EXCESS_RATIO,
                quota_extra: checker::QUOTA_EXTRA_REQUESTS,
            },
        }
    }

    fn net(&self, ip: IpAddr) -> NetworkHandle {
        self.network.handle_for(ip)
    }

    /// The address on which a registry serves operators and backends.
    pub fn control_address(&self, core: usize) -> SocketAddr {
        SocketAddr::new(self.cores[core].ip, CONTROL_PORT)
    }

    /// The address on which a registry serves other machines of the system.
    pub fn registry_address(&self, core: usize) -> SocketAddr {
        SocketAddr::new(self.cores[core].ip, FIRST_INTERNAL_PORT + REGISTRY_PORT_OFFSET)
    }

    /// The address on which a store serves other machines of the system.
    pub fn store_address(&self, core: usize) -> SocketAddr {
        SocketAddr::new(self.cores[core].ip, FIRST_INTERNAL_PORT + CONFIG_STORE_PORT_OFFSET)
    }

    /// The indexes of the core machines that exist at present.
    pub fn present_cores(&self) -> Vec<usize> {
        (0..self.cores.len()).filter(|i| self.cores[*i].is_present.get()).collect()
    }

    /// Runs a program and records its error if it ends on its own.
    fn spawn_watched<E: std::fmt::Display>(
        &self,
        name: String,
        program: impl std::future::Future<Output = Result<(), E>> + 'static,
    ) -> Process {
        let exits = self.unexpected_exits.clone();
        Process::spawn(async move {
            if let Err(error) = program.await {
                exits.borrow_mut().push(format!("{name} ended: {error}"));
            }
        })
    }

    /// Starts the store if the machine exists and the store is not running.
    pub fn start_store(&self, i: usize) {
        let core = &self.cores[i];
        if core.store.borrow().is_alive() || !core.is_present.get() {
            return;
        }
        let (node, net) = (self.node_settings(core.ip, !core.was_started.replace(true)), self.net(core.ip));
        let disk = core.disk.clone();
        let stored = disk.borrow().stored_state();
        let (stop, stopped) = oneshot::channel();
        core.stop_senders.borrow_mut()[0] = Some(stop);
        let program = async move {
            // No SIGHUP is simulated, so the settings are never read again.
            let (_sender, settings_changes) = watch::channel(None);
            run_store(&node, &net, settings_changes, stored, start_writer(disk), async move {
                drop(stopped.await)
            })
            .await
        };
        *core.store.borrow_mut() = self.spawn_watched(format!("store {i}"), program);
    }

    /// Starts the registry if the machine exists and the registry is not running. `first_start` is set when the whole
    /// system starts.
    pub fn start_registry(&self, i: usize, first_start: bool) {
        let core = &self.cores[i];
        if core.registry.borrow().is_alive() || !core.is_present.get() {
            return;
        }
        let (node, net) = (self.node_settings(core.ip, first_start), self.net(core.ip));
        let (stop, stopped) = oneshot::channel();
        core.stop_senders.borrow_mut()[1] = Some(stop);
        let program = async move {
            let stopped = async move { drop(stopped.await) };
            run_registry(&node, &net, stopped).await
        };
        *core.registry.borrow_mut() = self.spawn_watched(format!("registry {i}"), program);
    }

    /// Starts the programs of a core machine that are not running.
    pub fn start_core(&self, i: usize) {
        self.start_store(i);
        self.start_registry(i, false);
    }

    /// Kills the store. `write_survives` decides whether an unsynced write is on the disk afterwards.
    pub fn kill_store(&self, i: usize, write_survives: bool) {
        self.cores[i].store.borrow().kill();
        self.cores[i].disk.borrow_mut().settle_pending(write_survives);
    }

    /// Asks a registry to shut down in order.
    pub fn stop_registry(&self, i: usize) {
        self.stop(i, 1);
    }

    /// Asks a store to shut down in order.
    pub fn stop_store(&self, i: usize) {
        self.stop(i, 0);
    }

    fn stop(&self, i: usize, program: usize) {
        if let Some(stop) = self.cores[i].stop_senders.borrow_mut()[program].take() {
            // The program may have been killed already.
            let _ = stop.send(());
        }
    }

    /// Removes a core machine for good, with its disk.
    pub fn remove_machine(&self, i: usize) {
        self.power_off(i, false);
        self.cores[i].disk.borrow_mut().wipe();
        self.cores[i].is_present.set(false);
    }

    /// Adds a machine with an empty disk at an address that is not in use.
    pub fn add_machine(&self, i: usize) {
        self.cores[i].is_present.set(true);
        self.power_on(i);
    }

    /// Cuts the power of a core machine. `write_survives` decides whether an unsynced write is on the disk
    /// afterwards.
    pub fn power_off(&self, i: usize, write_survives: bool) {
        self.network.power_off(self.cores[i].ip);
        self.cores[i].registry.borrow().kill();
        self.kill_store(i, write_survives);
    }

    /// Restores the power and starts the programs.
    pub fn power_on(&self, i: usize) {
        self.network.power_on(self.cores[i].ip);
        self.start_core(i);
    }

    /// Whether both programs run, the disk accepts writes, and the stored state lists the machine itself as a member.
    pub fn is_healthy(&self, i: usize) -> bool {
        let core = &self.cores[i];
        let disk = core.disk.borrow();
        core.store.borrow().is_responsive()
            && core.registry.borrow().is_responsive()
            && !disk.is_stalled()
            && !disk.rejects_writes
            && disk.acceptor_state().is_some_and(|acceptor| acceptor.members.contains(acceptor.me))
    }

    /// The members of the highest epoch that is stored on any disk.
    pub fn latest_members(&self) -> Members {
        let mut newest = Members::default();
        for core in &self.cores {
            let disk = core.disk.borrow();
            let Some(acceptor) = disk.acceptor_state() else { continue };
            if newest.voters.is_empty() || acceptor.members.epoch > newest.epoch {
                newest = acceptor.members.clone();
            }
        }
        newest
    }

    /// Whether the disk belongs to one of these members.
    fn holds_member_disk(&self, members: &Members, i: usize) -> bool {
        self.cores[i].disk.borrow().acceptor_state().is_some_and(|acceptor| members.contains(acceptor.me))
    }

    /// Whether every voter still has its disk and a majority has stored the current epoch. Only then can one more
    /// disk be lost safely.
    pub fn is_fully_replicated(&self) -> bool {
        let members = self.latest_members();
        let holders = || (0..self.cores.len()).filter(|i| self.holds_member_disk(&members, *i));
        let is_current = |i: &usize| {
            self.cores[*i]
                .disk
                .borrow()
                .acceptor_state()
                .is_some_and(|acceptor| acceptor.members.epoch == members.epoch)
        };
        let (voters, disks) = (members.voters.len(), holders().count());
        disks == voters && holders().filter(is_current).count() > voters / 2
    }

    /// Whether messages pass in both directions.
    pub fn is_linked(&self, a: IpAddr, b: IpAddr) -> bool {
        self.network.can_reach(a, b) && self.network.can_reach(b, a)
    }

    /// Whether a member is healthy and reaches, with itself, a majority of healthy voters.
    pub fn reaches_majority(&self, i: usize) -> bool {
        let members = self.latest_members();
        let is_voting = |j: usize| self.holds_member_disk(&members, j) && self.is_healthy(j);
        let reached = (0..self.cores.len())
            .filter(|j| is_voting(*j) && (*j == i || self.is_linked(self.cores[i].ip, self.cores[*j].ip)));
        is_voting(i) && reached.count() > members.voters.len() / 2
    }

    /// Starts the gateway if it is not running.
    pub fn start_gateway(&self, i: usize) {
        let gateway = &self.gateways[i];
        if gateway.process.borrow().is_alive() {
            return;
        }
        let incarnation = fastrand::u64(1..);
        gateway.incarnation.set(incarnation);
        *gateway.shared.borrow_mut() = None;
        gateway.routable_backends.borrow_mut().clear();
        let routable_backends = gateway.routable_backends.clone();
        let (node, net, shared_slot) =
            (self.node_settings(gateway.ip, false), self.net(gateway.ip), gateway.shared.clone());
        let (quota_grants, started, exits) =
            (self.quota_grants.clone(), self.started, self.unexpected_exits.clone());
        *gateway.process.borrow_mut() = Process::spawn(async move {
            let (_sender, stopping) = watch::channel(false);
            let view =
                RoutingView { table: RoutingTable::default(), index: DecisionIndex::default(), gateways: 1 };
            let shared =
                Rc::new(ProxyState { view: RefCell::new(view), ready: watch::channel(false).0, stopping });
            *shared_slot.borrow_mut() = Some(shared.clone());
            let (holder, holder_updates) = registry_client::no_holder();
            let essentials = EssentialTasks::default();
            let counter = CounterClient::start(net.clone(), incarnation, holder_updates, &essentials);
            // The messages that the decision module would receive.
            let (driver, mut inputs) = mpsc::channel(64);
            let clock = Clock::starting_at(Micros(100_000_000));
            let ring =
                Rc::new(HeartbeatRing::new(node.internal_address(node.ip, PROXY_PORT_OFFSET), incarnation));
            spawn_local(draw_from_quota(counter.clone(), quota_grants, started));
            let context = RegistryClientContext { net, driver, clock, counter, holder, ring };
            registry_client::start(&node, shared, context, incarnation, &essentials);
            while let Some(input) = inputs.recv().await {
                let Input::Backends(_, listings) = input else { continue };
                for BackendListing { entry, name, .. } in listings {
                    let id = name.to_str().unwrap_or_default().to_string();
                    match entry.listed {
                        Listed::InService => routable_backends.borrow_mut().insert(id),
                        _ => routable_backends.borrow_mut().remove(&id),
                    };
                }
            }
            exits.borrow_mut().push(format!("gateway {i} ended: its registry client stopped"));
        });
    }

    /// Whether a gateway is ready, and its configuration; `None` if it does not run.
    pub fn gateway_state(&self, i: usize) -> Option<(bool, Items)> {
        let gateway = &self.gateways[i];
        if !gateway.process.borrow().is_responsive() {
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

    /// Whether the tenants at a gateway all have different keys.
    pub fn has_distinct_keys(&self, i: usize) -> bool {
        let shared = self.gateways[i].shared.borrow();
        shared.as_ref().is_none_or(|shared| {
            let view = shared.view.borrow();
            let keys: Vec<&String> = view.table.tenants.iter().flat_map(|tenant| &tenant.keys).collect();
            keys.iter().collect::<BTreeSet<_>>().len() == keys.len()
        })
    }

    /// The ids of the backends that a gateway may route requests to.
    pub fn routable_backends(&self, i: usize) -> BTreeSet<String> {
        self.gateways[i].routable_backends.borrow().clone()
    }
}

/// Draws from the quota of the limited tenant, one draw after the other, and records the grants.
async fn draw_from_quota(
    counter: Rc<CounterClient>,
    quota_grants: Rc<RefCell<Vec<Duration>>>,
    started: Instant,
) {
    let name = bucket_name(CustomerId(xxh3_64(QUOTA_TENANT.as_bytes())));
    loop {
        sleep(Duration::from_millis(fastrand::u64(1..=MAX_DRAW_PAUSE_MS))).await;
        let result = counter.clone().draw(name, 1.0, (ServiceId(0), Micros(1_000_000))).await;
        if result.outcome == Outcome::Ok && result.total >= 0.0 {
            quota_grants.borrow_mut().push(started.elapsed());
        }
    }
}
