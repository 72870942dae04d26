//! A test proxy that follows the control service as third-party proxies do. It gets its routing over xDS, state-of-the-world
//! or incremental, keeps its state while the service is away, opens its streams again by itself, reports load and quota
//! use, and forwards requests to save nodes.

use crate::quota::{BucketKey, Buckets};
use envoy_types::pb::envoy::config::cluster::v3::Cluster;
use envoy_types::pb::envoy::config::core::v3::address::Address;
use envoy_types::pb::envoy::config::core::v3::socket_address::PortSpecifier;
use envoy_types::pb::envoy::config::core::v3::{self as core, HealthStatus, Node};
use envoy_types::pb::envoy::config::endpoint::v3::lb_endpoint::HostIdentifier;
use envoy_types::pb::envoy::config::endpoint::v3::{
    ClusterLoadAssignment, ClusterStats, LbEndpoint, UpstreamEndpointStats, UpstreamLocalityStats,
};
use envoy_types::pb::envoy::config::listener::v3::Listener;
use envoy_types::pb::envoy::config::route::v3::RouteConfiguration;
use envoy_types::pb::envoy::service::discovery::v3::aggregated_discovery_service_client::AggregatedDiscoveryServiceClient;
use envoy_types::pb::envoy::service::discovery::v3::{DeltaDiscoveryRequest, DiscoveryRequest};
use envoy_types::pb::envoy::service::load_stats::v3::load_reporting_service_client::LoadReportingServiceClient;
use envoy_types::pb::envoy::service::load_stats::v3::LoadStatsRequest;
use envoy_types::pb::envoy::service::rate_limit_quota::v3::rate_limit_quota_service_client::RateLimitQuotaServiceClient;
use envoy_types::pb::google::protobuf::value::Kind as ValueKind;
use envoy_types::pb::google::protobuf::Any;
use envoy_types::pb::google::rpc;
use prost::{Message, Name};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::JoinHandle;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Channel, Endpoint};
use tonic::Status;

/// The pause before a stream that ended is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// The cluster of save nodes.
const SAVE_NODES: &str = "save-nodes";
/// The route configuration that it subscribes to.
const ROUTES: &str = "starlinghill-http";

/// The variant of xDS that a proxy uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum XdsVariant {
    /// State-of-the-world.
    StateOfTheWorld,
    /// Incremental.
    Incremental,
}

/// An endpoint of the save-nodes cluster.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// The server's id, from the endpoint's metadata; empty if there is none.
    pub id: String,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Whether it may get new requests.
    pub healthy: bool,
    /// Its relative share of requests.
    pub weight: u32,
    /// It gets requests only if no healthy endpoint has a lower number.
    pub priority: u32,
}

/// The state that a proxy has received, and counts of how.
#[derive(Debug, Default, Clone)]
pub struct ProxyState {
    /// Version and resource by type URL and name. The version is empty for state-of-the-world.
    pub resources: BTreeMap<String, BTreeMap<String, (String, Any)>>,
    /// The version accepted last, by type URL; state-of-the-world only.
    pub versions: BTreeMap<String, String>,
    /// The endpoints; none unless the cluster is known, too.
    pub targets: Vec<Target>,
    /// When a response was accepted last.
    pub updated_at: Option<Instant>,
    /// Responses received, also rejected ones.
    pub responses: u64,
    /// Their encoded size in bytes.
    pub bytes: u64,
    /// The errors with which streams ended; the first 100.
    pub stream_errors: Vec<Status>,
    /// Responses with an endpoint of this id are rejected (NACK), as a faulty proxy might do.
    pub rejected_id: Option<String>,
    /// The number of responses rejected.
    pub rejected: u64,
}

impl ProxyState {
    fn set(&mut self, url: &str, name: String, version: String, body: Any) {
        self.resources.entry(url.into()).or_default().insert(name, (version, body));
    }

    fn rejects(&self, bodies: &[&Any]) -> bool {
        if bodies.iter().any(|body| has_priority_gap(body)) {
            return true;
        }
        let Some(id) = &self.rejected_id else { return false };
        let has = |body: &&Any| targets(body).iter().any(|t| t.id == *id);
        bodies.iter().filter(|b| b.type_url == ClusterLoadAssignment::type_url()).any(has)
    }

    /// Computes the endpoints from the resources.
    fn update_targets(&mut self) {
        let endpoints = self.resources.get(&ClusterLoadAssignment::type_url());
        let received = endpoints.and_then(|all| all.get(SAVE_NODES)).map(|(_, body)| targets(body));
        // Endpoints are unused until their cluster is known.
        let has_cluster =
            self.resources.get(&Cluster::type_url()).is_some_and(|all| all.contains_key(SAVE_NODES));
        self.targets = received.filter(|_| has_cluster).unwrap_or_default();
        self.updated_at = Some(Instant::now());
    }

    /// Picks an endpoint by weight among the healthy ones of the first priority; `random` is uniform in 0..1.
    pub fn pick(&self, random: f64) -> Option<&Target> {
        let first = self.targets.iter().filter(|t| t.healthy).map(|t| t.priority).min()?;
        let healthy = || self.targets.iter().filter(|t| t.healthy && t.priority == first);
        let mut rest = random * healthy().map(|t| f64::from(t.weight)).sum::<f64>();
        healthy().find(|t| {
            rest -= f64::from(t.weight);
            rest < 0.0
        })
    }
}

fn resource_name(body: &Any) -> Option<String> {
    let bytes = body.value.as_slice();
    match &body.type_url {
        url if *url == Cluster::type_url() => Cluster::decode(bytes).ok().map(|m| m.name),
        url if *url == Listener::type_url() => Listener::decode(bytes).ok().map(|m| m.name),
        url if *url == RouteConfiguration::type_url() => {
            RouteConfiguration::decode(bytes).ok().map(|m| m.name)
        }
        _ => ClusterLoadAssignment::decode(bytes).ok().map(|m| m.cluster_name),
    }
}

fn endpoint_address(e: &LbEndpoint) -> Option<SocketAddr> {
    let HostIdentifier::Endpoint(endpoint) = e.host_identifier.as_ref()? else { return None };
    let Address::SocketAddress(socket) = endpoint.address.as_ref()?.address.as_ref()? else { return None };
    let Some(PortSpecifier::PortValue(port)) = socket.port_specifier else { return None };
    Some(SocketAddr::new(socket.address.parse().ok()?, port as u16))
}

/// The endpoints in a resource; none if it can't be decoded.
fn targets(body: &Any) -> Vec<Target> {
    let Ok(all) = ClusterLoadAssignment::decode(body.value.as_slice()) else { return Vec::new() };
    let endpoints = all.endpoints.into_iter();
    let endpoints = endpoints.flat_map(|l| l.lb_endpoints.into_iter().map(move |e| (l.priority, e)));
    let target = |(priority, e): (u32, LbEndpoint)| {
        let metadata = e.metadata.as_ref().and_then(|m| m.filter_metadata.get("starlinghill"));
        let id = match metadata.and_then(|m| m.fields.get("id")).and_then(|v| v.kind.clone()) {
            Some(ValueKind::StringValue(id)) => id,
            _ => String::new(),
        };
        let healthy = [HealthStatus::Healthy as i32, HealthStatus::Unknown as i32].contains(&e.health_status);
        let weight = e.load_balancing_weight.map_or(1, |w| w.value);
        Some(Target { id, address: endpoint_address(&e)?, healthy, weight, priority })
    };
    endpoints.filter_map(target).collect()
}

/// Whether the priorities of localities with a weight are not 0, 1, 2 and so on. gRPC clients reject such a resource.
fn has_priority_gap(body: &Any) -> bool {
    if body.type_url != ClusterLoadAssignment::type_url() {
        return false;
    }
    let Ok(all) = ClusterLoadAssignment::decode(body.value.as_slice()) else { return true };
    let weighted = all.endpoints.iter().filter(|l| l.load_balancing_weight.is_some());
    let found: BTreeSet<u32> = weighted.map(|l| l.priority).collect();
    found.into_iter().zip(0..).any(|(found, wanted)| found != wanted)
}

/// A proxy's settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The address of the control service.
    pub control: SocketAddr,
    /// Its node id.
    pub node: String,
    /// The variant of xDS that it uses.
    pub variant: XdsVariant,
    /// How long it waits before it handles each xDS response.
    pub read_delay: Duration,
    /// The time between two reports of quota use.
    pub report_interval: Duration,
}

impl Settings {
    /// Settings of a proxy that reads without delay and reports quota use every 250 ms.
    pub fn new(control: SocketAddr, node: &str, variant: XdsVariant) -> Settings {
        let (read_delay, report_interval) = (Duration::ZERO, Duration::from_millis(250));
        Settings { control, node: node.into(), variant, read_delay, report_interval }
    }
}

/// The state shared by a proxy's tasks.
struct Shared {
    settings: Settings,
    state: Mutex<ProxyState>,
    buckets: Mutex<Buckets>,
    /// Requests succeeded and failed since the last load report, by endpoint.
    load: Mutex<BTreeMap<SocketAddr, (u64, u64)>>,
    /// Signals that a bucket is new, so that quota use is reported at once.
    report_now: Notify,
    /// A change of this number closes all streams; they are opened again.
    resets: watch::Sender<u64>,
    /// While true, all streams are closed and none is opened.
    isolated: watch::Sender<bool>,
    /// The present address of the control service.
    control: Mutex<SocketAddr>,
}

/// A running proxy. Dropping it stops its tasks.
pub struct Proxy {
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// A channel whose messages are the requests of a stream.
fn request_channel<T: Send + 'static>() -> (mpsc::Sender<T>, ReceiverStream<T>) {
    let (tx, rx) = mpsc::channel(64);
    (tx, ReceiverStream::new(rx))
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, ProxyState> {
        self.state.lock().expect("no thread panicked under the lock")
    }

    fn node(&self) -> Option<Node> {
        Some(Node { id: self.settings.node.clone(), ..Default::default() })
    }

    async fn channel(&self) -> Result<Channel, Status> {
        let address = *self.control.lock().expect("no thread panicked under the lock");
        let endpoint =
            Endpoint::from_shared(format!("http://{address}")).map_err(|e| Status::unknown(e.to_string()))?;
        let endpoint = endpoint.connect_timeout(Duration::from_secs(1));
        endpoint.connect().await.map_err(|e| Status::unavailable(e.to_string()))
    }

    /// Runs a stream and opens it again whenever it ends, until the proxy is dropped.
    async fn keep_open<F, W>(self: Arc<Self>, stream: F)
    where
        F: Fn(Arc<Shared>) -> W,
        W: std::future::Future<Output = Result<(), Status>>,
    {
        loop {
            let (mut resets, mut isolated) = (self.resets.subscribe(), self.isolated.subscribe());
            // Can't fail: `self` owns the sender.
            let _ = isolated.wait_for(|isolated| !isolated).await;
            let ended = tokio::select! {
                ended = stream(self.clone()) => ended,
                _ = resets.changed() => Ok(()),
                _ = isolated.wait_for(|isolated| *isolated) => Ok(()),
            };
            if let Err(status) = ended {
                let mut state = self.state();
                if state.stream_errors.len() < 100 {
                    state.stream_errors.push(status);
                }
            }
            tokio::time::sleep(RECONNECT_DELAY).await;
        }
    }

    /// The resources to subscribe to: type URL and names; no names means all.
    fn subscriptions(&self) -> Vec<(String, Vec<String>)> {
        let names = |name: &str| vec![name.to_string()];
        vec![
            (Cluster::type_url(), Vec::new()),
            (ClusterLoadAssignment::type_url(), names(SAVE_NODES)),
            (Listener::type_url(), Vec::new()),
            (RouteConfiguration::type_url(), names(ROUTES)),
        ]
    }

    /// An xDS stream, state-of-the-world.
    async fn state_of_the_world(self: Arc<Self>) -> Result<(), Status> {
        let mut client = AggregatedDiscoveryServiceClient::new(self.channel().await?);
        let (tx, requests) = request_channel();
        let names: HashMap<String, Vec<String>> = self.subscriptions().into_iter().collect();
        for (url, resource_names) in self.subscriptions() {
            let version_info = self.state().versions.get(&url).cloned().unwrap_or_default();
            let first = DiscoveryRequest {
                node: self.node(),
                type_url: url,
                resource_names,
                version_info,
                ..Default::default()
            };
            let _ = tx.send(first).await;
        }
        let mut responses = client.stream_aggregated_resources(requests).await?.into_inner();
        while let Some(response) = responses.message().await? {
            tokio::time::sleep(self.settings.read_delay).await;
            let url = response.type_url.clone();
            let bodies: Vec<&Any> = response.resources.iter().collect();
            let (version, rejected) = {
                let mut state = self.state();
                state.responses += 1;
                state.bytes += response.encoded_len() as u64;
                let rejected = state.rejects(&bodies);
                if !rejected {
                    if url == Cluster::type_url() || url == Listener::type_url() {
                        state.resources.remove(&url);
                    }
                    for body in response.resources {
                        let Some(name) = resource_name(&body) else { continue };
                        state.set(&url, name, String::new(), body);
                    }
                    state.versions.insert(url.clone(), response.version_info);
                    state.update_targets();
                }
                state.rejected += u64::from(rejected);
                (state.versions.get(&url).cloned().unwrap_or_default(), rejected)
            };
            let answer = DiscoveryRequest {
                resource_names: names.get(&url).cloned().unwrap_or_default(),
                type_url: url,
                version_info: version,
                response_nonce: response.nonce,
                error_detail: rejected.then(rejection),
                ..Default::default()
            };
            let _ = tx.send(answer).await;
        }
        Ok(())
    }

    /// An xDS stream, incremental.
    async fn incremental(self: Arc<Self>) -> Result<(), Status> {
        let mut client = AggregatedDiscoveryServiceClient::new(self.channel().await?);
        let (tx, requests) = request_channel();
        for (url, names) in self.subscriptions() {
            let state = self.state().clone();
            let known = state.resources.get(&url).into_iter().flatten();
            let first = DeltaDiscoveryRequest {
                node: self.node(),
                type_url: url.clone(),
                resource_names_subscribe: names,
                initial_resource_versions: known.map(|(name, (v, _))| (name.clone(), v.clone())).collect(),
                ..Default::default()
            };
            let _ = tx.send(first).await;
        }
        let mut responses = client.delta_aggregated_resources(requests).await?.into_inner();
        while let Some(response) = responses.message().await? {
            tokio::time::sleep(self.settings.read_delay).await;
            let url = response.type_url.clone();
            let bodies: Vec<&Any> = response.resources.iter().filter_map(|r| r.resource.as_ref()).collect();
            let rejected = {
                let mut state = self.state();
                state.responses += 1;
                state.bytes += response.encoded_len() as u64;
                let rejected = state.rejects(&bodies);
                if !rejected {
                    for resource in response.resources {
                        let Some(body) = resource.resource else { continue };
                        state.set(&url, resource.name, resource.version, body);
                    }
                    for name in response.removed_resources {
                        state.resources.get_mut(&url).into_iter().for_each(|all| drop(all.remove(&name)));
                    }
                    state.update_targets();
                }
                state.rejected += u64::from(rejected);
                rejected
            };
            let answer = DeltaDiscoveryRequest {
                type_url: url,
                response_nonce: response.nonce,
                error_detail: rejected.then(rejection),
                ..Default::default()
            };
            let _ = tx.send(answer).await;
        }
        Ok(())
    }

    /// A stream of load reports, at the interval that the service asks for.
    async fn load_reports(self: Arc<Self>) -> Result<(), Status> {
        let mut client = LoadReportingServiceClient::new(self.channel().await?);
        let (tx, requests) = request_channel();
        let _ = tx.send(LoadStatsRequest { node: self.node(), ..Default::default() }).await;
        let mut responses = client.stream_load_stats(requests).await?.into_inner();
        let Some(request) = responses.message().await? else { return Ok(()) };
        let span = request.load_reporting_interval.unwrap_or_default();
        let interval = Duration::new(span.seconds as u64, span.nanos as u32).max(Duration::from_millis(10));
        loop {
            tokio::select! {
                () = tokio::time::sleep(interval) => {}
                ended = responses.message() => return ended.map(|_| ()),
            }
            let load = std::mem::take(&mut *self.load.lock().expect("no thread panicked under the lock"));
            let stats = load.into_iter().map(|(at, (succeeded, failed))| UpstreamEndpointStats {
                address: Some(core::Address {
                    address: Some(Address::SocketAddress(core::SocketAddress {
                        address: at.ip().to_string(),
                        port_specifier: Some(PortSpecifier::PortValue(at.port().into())),
                        ..Default::default()
                    })),
                }),
                total_successful_requests: succeeded,
                total_error_requests: failed,
                ..Default::default()
            });
            let locality =
                UpstreamLocalityStats { upstream_endpoint_stats: stats.collect(), ..Default::default() };
            let cluster_stats = vec![ClusterStats {
                cluster_name: SAVE_NODES.into(),
                upstream_locality_stats: vec![locality],
                ..Default::default()
            }];
            let _ = tx.send(LoadStatsRequest { node: None, cluster_stats }).await;
        }
    }

    /// A stream of quota reports and assignments.
    async fn quotas(self: Arc<Self>) -> Result<(), Status> {
        let mut client = RateLimitQuotaServiceClient::new(self.channel().await?);
        let (tx, requests) = request_channel();
        let mut request = tonic::Request::new(requests);
        let node = self.settings.node.parse().map_err(|_| Status::invalid_argument("node"))?;
        request.metadata_mut().insert("x-starlinghill-node", node);
        let mut first =
            self.buckets.lock().expect("no thread panicked under the lock").report(Instant::now());
        if first.bucket_quota_usages.is_empty() {
            self.report_now.notified().await;
            first = self.buckets.lock().expect("no thread panicked under the lock").report(Instant::now());
        }
        let _ = tx.send(first).await;
        let mut responses = client.stream_rate_limit_quotas(request).await?.into_inner();
        let mut tick = tokio::time::interval(self.settings.report_interval);
        loop {
            tokio::select! {
                _ = tick.tick() => {}
                () = self.report_now.notified() => {}
                response = responses.message() => match response? {
                    Some(response) => {
                        self.buckets.lock().expect("no thread panicked under the lock").apply_assignments(Instant::now(), response);
                        continue;
                    }
                    None => return Ok(()),
                },
            }
            let report =
                self.buckets.lock().expect("no thread panicked under the lock").report(Instant::now());
            if tx.send(report).await.is_err() {
                return Ok(());
            }
        }
    }
}

/// The error detail of a rejected response.
fn rejection() -> rpc::Status {
    rpc::Status { code: 3, message: "this proxy refuses it".into(), details: Vec::new() }
}

impl Proxy {
    /// Starts a proxy with xDS alone.
    pub fn start(settings: Settings) -> Proxy {
        let (resets, _) = watch::channel(0);
        let (isolated, _) = watch::channel(false);
        let shared = Arc::new(Shared {
            control: Mutex::new(settings.control),
            settings,
            state: Mutex::default(),
            buckets: Mutex::default(),
            load: Mutex::default(),
            report_now: Notify::new(),
            resets,
            isolated,
        });
        let discovery = match shared.settings.variant {
            XdsVariant::StateOfTheWorld => tokio::spawn(shared.clone().keep_open(Shared::state_of_the_world)),
            XdsVariant::Incremental => tokio::spawn(shared.clone().keep_open(Shared::incremental)),
        };
        Proxy { shared, tasks: vec![discovery] }
    }

    /// Adds load reports.
    pub fn with_load_reports(mut self) -> Proxy {
        self.tasks.push(tokio::spawn(self.shared.clone().keep_open(Shared::load_reports)));
        self
    }

    /// Adds quota assignments and reports of quota use.
    pub fn with_quotas(mut self) -> Proxy {
        self.tasks.push(tokio::spawn(self.shared.clone().keep_open(Shared::quotas)));
        self
    }

    /// Adds traffic: sends `rate` requests per second to endpoints picked by [`ProxyState::pick`].
    pub fn with_traffic(mut self, rate: f64, seed: u64) -> Proxy {
        let shared = self.shared.clone();
        self.tasks.push(tokio::spawn(async move {
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut connections: HashMap<String, TcpStream> = HashMap::new();
            let mut tick = tokio::time::interval(Duration::from_secs_f64(1.0 / rate));
            tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
            loop {
                tick.tick().await;
                // No wait between the choice and the request, which would let the state change.
                let target = shared.state().pick(rng.f64()).cloned();
                let Some(target) = target else { continue };
                let ok = forward(&mut connections, &target, &shared.settings.node).await;
                let mut load = shared.load.lock().expect("no thread panicked under the lock");
                let counts = load.entry(target.address).or_default();
                (counts.0, counts.1) = (counts.0 + u64::from(ok), counts.1 + u64::from(!ok));
            }
        }));
        self
    }

    /// A copy of its present state.
    pub fn state(&self) -> ProxyState {
        self.shared.state().clone()
    }

    /// Rejects responses with an endpoint of this id from now on; `None` ends that.
    pub fn reject_endpoint(&self, id: Option<&str>) {
        self.shared.state().rejected_id = id.map(str::to_string);
    }

    /// Closes all streams; the proxy opens them again after a short pause.
    pub fn reset_streams(&self) {
        self.shared.resets.send_modify(|n| *n += 1);
    }

    /// Cuts it off from the control service, or connects it again.
    pub fn set_isolated(&self, isolated: bool) {
        self.shared.isolated.send_replace(isolated);
    }

    /// Sets the address of the control service for streams opened from now on.
    pub fn move_to(&self, control: SocketAddr) {
        *self.shared.control.lock().expect("no thread panicked under the lock") = control;
    }

    /// Whether its quota buckets let a request through.
    pub fn admit(&self, key: &BucketKey) -> bool {
        let (ok, new) =
            self.shared.buckets.lock().expect("no thread panicked under the lock").admit(Instant::now(), key);
        if new {
            self.shared.report_now.notify_one();
        }
        ok
    }

    /// Waits until its state fulfils a condition; `description` names it in the panic message.
    pub async fn wait_for(&self, description: &str, wanted: impl Fn(&ProxyState) -> bool) {
        let deadline = Instant::now() + crate::stubs::LIMIT;
        while !wanted(&self.shared.state()) {
            assert!(
                Instant::now() < deadline,
                "timed out waiting for {description}; endpoints: {:?}",
                self.state().targets
            );
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

/// Sends a request on a kept-alive connection and returns whether the answer is 200.
async fn forward(connections: &mut HashMap<String, TcpStream>, target: &Target, from: &str) -> bool {
    let mut connection = match connections.remove(&target.id) {
        Some(connection) => connection,
        None => match TcpStream::connect(target.address).await {
            Ok(connection) => connection,
            Err(_) => return false,
        },
    };
    let request = format!("GET /api HTTP/1.1\r\nHost: save\r\nX-From: {from}\r\n\r\n");
    if connection.write_all(request.as_bytes()).await.is_err() {
        return false;
    }
    let (mut answer, mut part) = (Vec::new(), [0; 512]);
    while !answer.ends_with(b"\r\n\r\nok") {
        match connection.read(&mut part).await {
            Ok(n) if n > 0 => answer.extend_from_slice(&part[..n]),
            _ => return false,
        }
    }
    connections.insert(target.id.clone(), connection);
    answer.starts_with(b"HTTP/1.1 200")
}

/// Requests the clusters over this channel as proxy `node` and returns their number.
pub async fn request_clusters(channel: Channel, node: &str) -> Result<usize, Status> {
    let mut client = AggregatedDiscoveryServiceClient::new(channel);
    let (tx, requests) = request_channel();
    let node = Some(Node { id: node.into(), ..Default::default() });
    let _ = tx.send(DiscoveryRequest { node, type_url: Cluster::type_url(), ..Default::default() }).await;
    let mut responses = client.stream_aggregated_resources(requests).await?.into_inner();
    let first = responses.message().await?;
    Ok(first.map_or(0, |first| first.resources.len()))
}
