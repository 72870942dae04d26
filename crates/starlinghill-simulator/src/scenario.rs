//! Runs one scenario: operators change and read the configuration, backends come and go and faults are injected, all
//! as the seed decides. Afterwards the system gets time to recover, and everything must work again.

use crate::checker::{
    Attempt, ConfigChange, GatewaySample, History, HolderSample, Items, Read, APPLY_LIMIT, QUOTA_RATE,
    QUOTA_TENANT,
};
use crate::cluster::{machine_ip, Cluster};
use crate::{backends, faults};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use starlinghill_config_model::nested_json;
use starlinghill_registry::wire::{RegistryRequest, RegistryResponse};
use starlinghill_runtime::net::NetworkHandle;
use starlinghill_runtime::rpc::RpcClient;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout, Instant};

/// The parameters of a run.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Decides all random choices of the run.
    pub seed: u64,
    /// How long faults are injected.
    pub fault_period: Duration,
    /// Disks acknowledge writes before they are synced, which the checker must detect.
    pub disks_ack_early: bool,
    /// A disk may be lost before the previous loss is repaired. The system does not tolerate this, so the checker
    /// must detect it.
    pub allow_overlapping_losses: bool,
    /// Packets from operators wait for seconds, so that changes arrive long after their callers have gone elsewhere.
    pub slow_operator_links: bool,
    /// Multiplies the longest cut and the longest lifetime of a backend.
    pub duration_factor: u64,
}

impl Scenario {
    /// The default scenario: 16 seconds of faults.
    pub fn new(seed: u64) -> Scenario {
        Scenario {
            seed,
            fault_period: Duration::from_secs(16),
            disks_ack_early: false,
            allow_overlapping_losses: false,
            slow_operator_links: false,
            duration_factor: 1,
        }
    }

    /// The default scenario with [`Scenario::slow_operator_links`].
    pub fn with_slow_operator_links(seed: u64) -> Scenario {
        Scenario { slow_operator_links: true, ..Scenario::new(seed) }
    }

    /// A longer run, with cuts that outlast all timeouts of registries and gateways.
    pub fn long(seed: u64) -> Scenario {
        Scenario { fault_period: Duration::from_secs(90), duration_factor: 8, ..Scenario::new(seed) }
    }
}

/// Core machines at the start, spare addresses for machines that join later, and gateways.
const INITIAL_CORES: usize = 3;
const SPARE_CORES: usize = 3;
const GATEWAYS: usize = 2;
/// Backends that run at the same time.
const BACKENDS: usize = 3;
/// The machines of operators that submit changes.
const OPERATORS: usize = 2;
/// Changes that are submitted at the same time.
const CONCURRENT_CHANGES: usize = 6;
/// Items that the operators change.
const ITEM_COUNT: usize = 3;
const CONFIG_PATH: &str = "/api/config";
/// How long an operator waits for a reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How often a change is submitted while no final answer comes.
const MAX_ATTEMPTS: usize = 8;
/// The time before the first fault.
const START_UP_TIME: Duration = Duration::from_millis(2_000);
/// The time after the last fault within which a wiped store, the quota counter and the gateways must have recovered.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// How often the state of gateways and counter holders is recorded.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// A run in progress.
pub struct Run {
    /// The machines and their network.
    pub cluster: Cluster,
    /// What has been recorded so far.
    pub history: RefCell<History>,
    /// Random choices of clients and fault injection. The network has a generator of its own.
    pub rng: RefCell<fastrand::Rng>,
    start: Instant,
    /// For each core machine, the number of injected faults that affected its programs or its links to operators.
    pub disturbances: RefCell<Vec<u64>>,
    /// A machine is about to be removed for good. Until that is done, no other disk may be lost.
    pub loss_in_progress: Cell<bool>,
    /// See [`Scenario::allow_overlapping_losses`].
    pub allow_overlapping_losses: bool,
    /// See [`Scenario::slow_operator_links`]. More of the changes then contradict others.
    pub slow_operator_links: bool,
    /// See [`Scenario::duration_factor`].
    pub duration_factor: u64,
    /// The highest version requested so far for each item.
    highest_versions: RefCell<BTreeMap<String, u64>>,
    /// Tells the client tasks to end.
    pub is_over: Cell<bool>,
    /// The backends that send heartbeats at present, each with the start of the first acknowledged one.
    pub heartbeating: RefCell<BTreeMap<String, Duration>>,
}

/// Runs a scenario to its end in virtual time and returns its history.
pub fn run_scenario(scenario: &Scenario) -> History {
    fastrand::seed(scenario.seed);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.expect("build the runtime");
    let tasks = LocalSet::new();
    let history = tasks.block_on(&runtime, run(scenario));
    drop(tasks);
    history
}

async fn run(scenario: &Scenario) -> History {
    let run = Rc::new(Run {
        cluster: Cluster::new(scenario.seed, INITIAL_CORES, SPARE_CORES, GATEWAYS),
        history: RefCell::default(),
        rng: RefCell::new(fastrand::Rng::with_seed(!scenario.seed)),
        start: Instant::now(),
        disturbances: RefCell::new(vec![0; INITIAL_CORES + SPARE_CORES]),
        loss_in_progress: Cell::new(false),
        allow_overlapping_losses: scenario.allow_overlapping_losses,
        slow_operator_links: scenario.slow_operator_links,
        duration_factor: scenario.duration_factor,
        highest_versions: RefCell::default(),
        is_over: Cell::new(false),
        heartbeating: RefCell::default(),
    });
    run.cluster
        .cores
        .iter()
        .for_each(|core| core.disk.borrow_mut().acks_before_sync = scenario.disks_ack_early);
    for i in 0..INITIAL_CORES {
        run.cluster.start_store(i);
        run.cluster.start_registry(i, true);
    }
    (0..GATEWAYS).for_each(|i| run.cluster.start_gateway(i));
    faults::kill_in_first_start(&run).await;
    let mut clients = Vec::new();
    for slot in 0..CONCURRENT_CHANGES {
        clients.push(spawn_local(submit_changes(run.clone(), machine_ip(2, slot % OPERATORS))));
    }
    clients.push(spawn_local(read_configs(run.clone(), machine_ip(2, 2))));
    (0..BACKENDS).for_each(|slot| clients.push(spawn_local(backends::run_lifetimes(run.clone(), slot))));
    spawn_local(sample_gateways(run.clone()));
    (0..INITIAL_CORES + SPARE_CORES).for_each(|i| drop(spawn_local(sample_holder(run.clone(), i))));
    sleep(START_UP_TIME).await;
    run.set_quota().await;
    if scenario.slow_operator_links {
        (0..OPERATORS).for_each(|i| clients.push(spawn_local(faults::slow_down_operator(run.clone(), i))));
    }
    faults::inject_all(run.clone(), scenario.fault_period).await;
    sleep(RECOVERY_TIME).await;
    for i in 0..GATEWAYS {
        let listed = run.cluster.routable_backends(i);
        for (id, since) in run.heartbeating.borrow().iter() {
            if run.now() - *since > APPLY_LIMIT && !listed.contains(id) {
                let violation =
                    format!("gateway {i} does not list {id}, which sends heartbeats since {since:?}");
                run.history.borrow_mut().run_violations.push(violation);
            }
        }
    }
    run.is_over.set(true);
    for client in clients {
        client.await.expect("client tasks end without a panic");
    }
    check_recovery(&run).await;
    let exits = run.cluster.unexpected_exits.take();
    run.history.borrow_mut().run_violations.extend(exits);
    run.history.borrow_mut().quota_grants = run.cluster.quota_grants.take();
    run.history.borrow_mut().membership_epoch = run.cluster.latest_members().epoch;
    // The tasks that still run share ownership of the run, so they must end for it to be freed.
    (0..INITIAL_CORES + SPARE_CORES).for_each(|i| run.cluster.power_off(i, true));
    run.cluster.gateways.iter().for_each(|gateway| gateway.process.borrow().kill());
    run.history.take()
}

/// After recovery each member must accept a change and answer a read, and each gateway must be ready.
async fn check_recovery(run: &Rc<Run>) {
    if !run.cluster.is_fully_replicated() {
        let violation = format!(
            "not every voter has its disk and a majority the epoch: {:?}",
            run.cluster.latest_members()
        );
        run.history.borrow_mut().run_violations.push(violation);
    }
    for core in run.cluster.present_cores() {
        let change = run.new_change(true);
        if run.submit_change(machine_ip(2, 0), change, core).await != Some(200) {
            let violation = format!("member {core} accepts no change after recovery");
            run.history.borrow_mut().run_violations.push(violation);
        }
        if !run.read_config(machine_ip(2, 2), core).await {
            let violation = format!("member {core} answers no read after recovery");
            run.history.borrow_mut().run_violations.push(violation);
        }
    }
    sleep(APPLY_LIMIT + SAMPLE_INTERVAL + SAMPLE_INTERVAL).await;
    for i in 0..GATEWAYS {
        if run.cluster.gateway_state(i).is_none_or(|(ready, _)| !ready) {
            run.history.borrow_mut().run_violations.push(format!("gateway {i} is not ready after recovery"));
        }
    }
}

impl Run {
    /// The virtual time since the start of the run.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// A random core machine that exists at present.
    pub fn random_core(&self) -> usize {
        let present = self.cluster.present_cores();
        present[self.random_below(present.len())]
    }

    /// Submits the quota of [`QUOTA_TENANT`], which the gateways draw from.
    async fn set_quota(&self) {
        let api_key = format!("k-{QUOTA_TENANT}");
        let change =
            ConfigChange { item: QUOTA_TENANT.into(), version: QUOTA_RATE, content: QUOTA_RATE, api_key };
        let index = {
            let mut history = self.history.borrow_mut();
            history.changes.push(change);
            history.changes.len() - 1
        };
        for _ in 0..MAX_ATTEMPTS {
            if self.submit_change(machine_ip(2, 0), index, self.random_core()).await == Some(200) {
                return;
            }
        }
        self.history
            .borrow_mut()
            .run_violations
            .push("the first change, which sets the quota, is not accepted".into());
    }

    /// A random number below `limit`.
    pub fn random_below(&self, limit: usize) -> usize {
        self.rng.borrow_mut().usize(0..limit)
    }

    /// A random duration between two limits in milliseconds, both included.
    pub fn random_ms(&self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.rng.borrow_mut().u64(from..=to))
    }

    /// Creates a change and returns its index. Most changes have the next version of their item; some reuse an older
    /// version unless `must_succeed` is set.
    fn new_change(&self, must_succeed: bool) -> usize {
        // The clients never change this item, so nothing can conflict with it.
        let item =
            if must_succeed { "last".to_string() } else { format!("t-{}", self.random_below(ITEM_COUNT)) };
        let mut highest_versions = self.highest_versions.borrow_mut();
        let highest = highest_versions.entry(item.clone()).or_default();
        let version = match self.random_below(8) {
            _ if must_succeed => *highest + 1,
            0 => (*highest).max(1),
            1 => highest.saturating_sub(1).max(1),
            _ => *highest + 1,
        };
        *highest = version.max(*highest);
        let mut history = self.history.borrow_mut();
        let index = history.changes.len();
        let content = if self.random_below(12) == 0 { 0 } else { index as u64 + 1 };
        // Some changes use a key that another tenant has or requests.
        let one_in = if self.slow_operator_links { 2 } else { 6 };
        let owner = if !must_succeed && self.random_below(one_in) == 0 {
            format!("t-{}", self.random_below(ITEM_COUNT))
        } else {
            item.clone()
        };
        history.changes.push(ConfigChange { item, version, content, api_key: format!("k-{owner}") });
        index
    }

    async fn submit_change(&self, from: IpAddr, change: usize, core: usize) -> Option<u16> {
        let ConfigChange { item, version, content, api_key } = self.history.borrow().changes[change].clone();
        let body = match content {
            0 => format!(r#"{{"remove":{{"customers":[{{"name":"{item}","version":"r{version}"}}]}}}}"#),
            _ => format!(
                r#"{{"upsert":{{"customers":[{{"name":"{item}","api_keys":["{api_key}"],"priority":0,"rate_per_s":{content},"burst":{version},"version":"r{version}"}}]}}}}"#
            ),
        };
        let (started, disturbances) = (self.now(), self.disturbances.borrow()[core]);
        let net = self.cluster.network.handle_for(from);
        let reply =
            call(&net, self.cluster.control_address(core), Method::PATCH, CONFIG_PATH, body.into_bytes())
                .await;
        let was_reachable = disturbances == self.disturbances.borrow()[core]
            && self.cluster.network.has_default_quality()
            && self.cluster.is_healthy(core)
            && self.cluster.is_linked(from, self.cluster.cores[core].ip)
            && !self.cluster.network.has_extra_delay(from, self.cluster.cores[core].ip);
        let status = reply.map(|(status, _)| status);
        let (member, finished) = (self.cluster.cores[core].ip, self.now());
        let attempt = Attempt { change, member, started, finished, status, was_reachable };
        self.history.borrow_mut().attempts.push(attempt);
        status
    }

    async fn read_config(&self, from: IpAddr, core: usize) -> bool {
        let started = self.now();
        let net = self.cluster.network.handle_for(from);
        let reply =
            call(&net, self.cluster.control_address(core), Method::GET, CONFIG_PATH, Vec::new()).await;
        let Some((200, body)) = reply else { return false };
        let (member, finished) = (self.cluster.cores[core].ip, self.now());
        match parse_items(&body) {
            Some(items) => self.history.borrow_mut().reads.push(Read { member, started, finished, items }),
            None => self
                .history
                .borrow_mut()
                .run_violations
                .push(format!("malformed reply to a read at {member}: {body:?}")),
        }
        true
    }
}

async fn submit_changes(run: Rc<Run>, from: IpAddr) {
    while !run.is_over.get() {
        sleep(run.random_ms(20, 900)).await;
        let change = run.new_change(false);
        for _ in 0..MAX_ATTEMPTS {
            let core = run.random_core();
            match run.submit_change(from, change, core).await {
                Some(status) if status < 500 => break,
                _ => sleep(run.random_ms(1, 250)).await,
            }
        }
    }
}

async fn read_configs(run: Rc<Run>, from: IpAddr) {
    while !run.is_over.get() {
        sleep(run.random_ms(20, 400)).await;
        run.read_config(from, run.random_core()).await;
    }
}

/// Sends one HTTP request over a new connection. `None` means that no reply came in time.
pub async fn call(
    net: &NetworkHandle,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Option<(u16, Bytes)> {
    let exchange = async {
        let stream = net.connect(address).await.ok()?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let connection = spawn_local(connection);
        let request = Request::builder().method(method).uri(path).header("host", "core");
        let request = request.body(Full::new(Bytes::from(body))).ok()?;
        let reply = sender.send_request(request).await.ok();
        let reply = match reply {
            Some(reply) => {
                Some((reply.status().as_u16(), reply.into_body().collect().await.ok()?.to_bytes()))
            }
            None => None,
        };
        connection.abort();
        reply
    };
    timeout(REPLY_TIMEOUT, exchange).await.ok()?
}

/// Parses the reply to a read. `None` if it is malformed or two tenants have the same key.
fn parse_items(body: &[u8]) -> Option<Items> {
    let value = nested_json::parse(body).ok()?;
    let item = |customer: &OwnedValue| {
        let name = customer.get_str("name")?.to_string();
        Some((name, (customer.get_u64("burst")?, customer.get_u64("rate_per_s")?)))
    };
    let customers = value.get_array("customers")?;
    let key = |customer: &OwnedValue| Some(customer.get_array("api_keys")?.first()?.as_str()?.to_string());
    let keys: BTreeSet<String> = customers.iter().map(key).collect::<Option<_>>()?;
    customers.iter().map(item).collect::<Option<Items>>().filter(|_| keys.len() == customers.len())
}

/// Records regularly what each gateway has in effect, and how long it has been linked to which members.
async fn sample_gateways(run: Rc<Run>) {
    let cluster = &run.cluster;
    let mut linked_since = vec![vec![None; INITIAL_CORES + SPARE_CORES]; GATEWAYS];
    let mut incarnations = [0; GATEWAYS];
    loop {
        sleep(SAMPLE_INTERVAL).await;
        for (i, gateway) in cluster.gateways.iter().enumerate() {
            let now = run.now();
            let incarnation = gateway.incarnation.get();
            if std::mem::replace(&mut incarnations[i], incarnation) != incarnation {
                linked_since[i].fill(None);
            }
            let Some((ready, items)) = cluster.gateway_state(i) else {
                linked_since[i].fill(None);
                continue;
            };
            if !cluster.has_distinct_keys(i) {
                let violation = format!("two tenants have the same key at gateway {i} at {now:?}");
                run.history.borrow_mut().run_violations.push(violation);
            }
            let (mut linked_to_one_for, mut shortest) = (Duration::ZERO, None::<Duration>);
            for (j, since) in linked_since[i].iter_mut().enumerate() {
                let is_linked = cluster.network.has_default_quality()
                    && cluster.reaches_majority(j)
                    && cluster.is_linked(gateway.ip, cluster.cores[j].ip);
                let linked_start = *since.get_or_insert(now);
                match is_linked {
                    true => linked_to_one_for = linked_to_one_for.max(now - linked_start),
                    false => *since = None,
                }
                if cluster.reaches_majority(j) {
                    let linked_for = if is_linked { now - linked_start } else { Duration::ZERO };
                    shortest = Some(shortest.map_or(linked_for, |shortest| shortest.min(linked_for)));
                }
            }
            let linked_to_all_for = shortest.unwrap_or_default();
            let backends = cluster.routable_backends(i);
            let sample = GatewaySample {
                gateway: i,
                incarnation,
                time: now,
                ready,
                linked_to_one_for,
                linked_to_all_for,
                items,
                backends,
            };
            run.history.borrow_mut().gateway_samples.push(sample);
        }
    }
}

/// Asks a registry regularly, from its own machine, whether it holds the quota counter.
async fn sample_holder(run: Rc<Run>, core: usize) {
    let member = run.cluster.cores[core].ip;
    let client = RpcClient::new(&run.cluster.network.handle_for(member), run.cluster.registry_address(core));
    loop {
        sleep(SAMPLE_INTERVAL).await;
        let started = run.now();
        if let Ok(RegistryResponse::Status(status)) =
            client.call(&RegistryRequest::Status, Duration::from_secs(30)).await
        {
            let finished = run.now();
            if let Some((term, _)) = status.counter_holder.filter(|_| status.counter.is_some()) {
                run.history.borrow_mut().holder_samples.push(HolderSample {
                    member,
                    term,
                    started,
                    finished,
                });
            }
        }
    }
}
