//! A proxy that others might build: it takes routing over xDS, state-of-the-world or incremental, keeps what it
//! has while the service is away, comes back by itself, reports load and use, and forwards to save nodes.

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
const BACK_OFF: Duration = Duration::from_millis(20);
/// The clusters and endpoints that it asks for.
const SAVE_NODES: &str = "save-nodes";
const ROUTES: &str = "starlinghill-http";

/// Which discovery a proxy speaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flavour {
    /// State-of-the-world.
    Whole,
    /// Incremental.
    Delta,
}

/// One server as the proxy was told.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it may get new work.
    pub healthy: bool,
    /// Its part of the work.
    pub weight: u32,
    /// It gets work only where nothing of a lower number may.
    pub priority: u32,
}

/// What the proxy has.
#[derive(Debug, Default, Clone)]
pub struct Mirror {
    /// By type URL and name: version (incremental) and resource.
    pub resources: BTreeMap<String, BTreeMap<String, (String, Any)>>,
    /// By type URL: the version last accepted (state-of-the-world).
    pub versions: BTreeMap<String, String>,
    /// The servers.
    pub targets: Vec<Target>,
    /// When the servers were last told.
    pub told: Option<Instant>,
    /// Responses taken, and bytes in them.
    pub responses: u64,
    /// Bytes of all responses.
    pub bytes: u64,
    /// How streams ended.
    pub ends: Vec<Status>,
    /// Endpoints with this id are refused, as a proxy with a fault might.
    pub refuses: Option<String>,
    /// Responses refused.
    pub refused: u64,
}

impl Mirror {
    fn set(&mut self, url: &str, name: String, version: String, body: Any) {
        self.resources.entry(url.into()).or_default().insert(name, (version, body));
    }

    fn refuses(&self, bodies: &[&Any]) -> bool {
        if bodies.iter().any(|body| has_gaps(body)) {
            return true;
        }
        let Some(id) = &self.refuses else { return false };
        let has = |body: &&Any| targets(body).iter().any(|t| t.id == *id);
        bodies.iter().filter(|b| b.type_url == ClusterLoadAssignment::type_url()).any(has)
    }

    fn derive(&mut self) {
        let endpoints = self.resources.get(&ClusterLoadAssignment::type_url());
        let told = endpoints.and_then(|all| all.get(SAVE_NODES)).map(|(_, body)| targets(body));
        // Without a cluster there is nothing to send to.
        let cluster =
            self.resources.get(&Cluster::type_url()).is_some_and(|all| all.contains_key(SAVE_NODES));
        self.targets = told.filter(|_| cluster).unwrap_or_default();
        self.told = Some(Instant::now());
    }

    /// A server by weight among those that may get work.
    pub fn pick(&self, chance: f64) -> Option<&Target> {
        let first = self.targets.iter().filter(|t| t.healthy).map(|t| t.priority).min()?;
        let healthy = || self.targets.iter().filter(|t| t.healthy && t.priority == first);
        let mut at = chance * healthy().map(|t| f64::from(t.weight)).sum::<f64>();
        healthy().find(|t| {
            at -= f64::from(t.weight);
            at < 0.0
        })
    }
}

fn name_of(body: &Any) -> Option<String> {
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

fn address(e: &LbEndpoint) -> Option<SocketAddr> {
    let HostIdentifier::Endpoint(endpoint) = e.host_identifier.as_ref()? else { return None };
    let Address::SocketAddress(socket) = endpoint.address.as_ref()?.address.as_ref()? else { return None };
    let Some(PortSpecifier::PortValue(port)) = socket.port_specifier else { return None };
    Some(SocketAddr::new(socket.address.parse().ok()?, port as u16))
}

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
        Some(Target { id, address: address(&e)?, healthy, weight, priority })
    };
    endpoints.filter_map(target).collect()
}

/// Whether priorities of localities that have a weight leave one out, for which gRPC's clients refuse the message.
fn has_gaps(body: &Any) -> bool {
    if body.type_url != ClusterLoadAssignment::type_url() {
        return false;
    }
    let Ok(all) = ClusterLoadAssignment::decode(body.value.as_slice()) else { return true };
    let weighed = all.endpoints.iter().filter(|l| l.load_balancing_weight.is_some());
    let found: BTreeSet<u32> = weighed.map(|l| l.priority).collect();
    found.into_iter().zip(0..).any(|(found, wanted)| found != wanted)
}

/// Where and how a proxy connects.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The control service.
    pub control: SocketAddr,
    /// Its node id.
    pub node: String,
    /// Its discovery.
    pub flavour: Flavour,
    /// It waits this long before it reads each response.
    pub slow: Duration,
    /// How often it reports use of quotas.
    pub interval: Duration,
}

impl Settings {
    /// A proxy of usual ways.
    pub fn new(control: SocketAddr, node: &str, flavour: Flavour) -> Settings {
        let (slow, interval) = (Duration::ZERO, Duration::from_millis(250));
        Settings { control, node: node.into(), flavour, slow, interval }
    }
}

/// What the tasks of one proxy share.
struct Shared {
    settings: Settings,
    mirror: Mutex<Mirror>,
    buckets: Mutex<Buckets>,
    load: Mutex<BTreeMap<SocketAddr, (u64, u64)>>,
    /// A bucket is new: report at once.
    ask: Notify,
    /// Streams are to be cut and opened again.
    cut: watch::Sender<u64>,
    /// It is cut off: no stream is opened.
    apart: watch::Sender<bool>,
    control: Mutex<SocketAddr>,
}

/// A running proxy. It ends when dropped.
pub struct Proxy {
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// The client's end of a stream: what is sent by `tx` goes out.
fn outbound<T: Send + 'static>() -> (mpsc::Sender<T>, ReceiverStream<T>) {
    let (tx, rx) = mpsc::channel(64);
    (tx, ReceiverStream::new(rx))
}

impl Shared {
    fn mirror(&self) -> MutexGuard<'_, Mirror> {
        self.mirror.lock().expect("whole")
    }

    fn node(&self) -> Option<Node> {
        Some(Node { id: self.settings.node.clone(), ..Default::default() })
    }

    async fn channel(&self) -> Result<Channel, Status> {
        let at = *self.control.lock().expect("whole");
        let endpoint =
            Endpoint::from_shared(format!("http://{at}")).map_err(|e| Status::unknown(e.to_string()))?;
        let endpoint = endpoint.connect_timeout(Duration::from_secs(1));
        endpoint.connect().await.map_err(|e| Status::unavailable(e.to_string()))
    }

    /// Keeps a stream open, again and again, until the proxy ends.
    async fn keep<F, W>(self: Arc<Self>, stream: F)
    where
        F: Fn(Arc<Shared>) -> W,
        W: std::future::Future<Output = Result<(), Status>>,
    {
        loop {
            let (mut cut, mut apart) = (self.cut.subscribe(), self.apart.subscribe());
            // The sender lives as long as this.
            let _ = apart.wait_for(|apart| !apart).await;
            let ended = tokio::select! {
                ended = stream(self.clone()) => ended,
                _ = cut.changed() => Ok(()),
                _ = apart.wait_for(|apart| *apart) => Ok(()),
            };
            if let Err(status) = ended {
                let mut mirror = self.mirror();
                if mirror.ends.len() < 100 {
                    mirror.ends.push(status);
                }
            }
            tokio::time::sleep(BACK_OFF).await;
        }
    }

    fn wanted(&self) -> Vec<(String, Vec<String>)> {
        let names = |name: &str| vec![name.to_string()];
        vec![
            (Cluster::type_url(), Vec::new()),
            (ClusterLoadAssignment::type_url(), names(SAVE_NODES)),
            (Listener::type_url(), Vec::new()),
            (RouteConfiguration::type_url(), names(ROUTES)),
        ]
    }

    async fn whole(self: Arc<Self>) -> Result<(), Status> {
        let mut client = AggregatedDiscoveryServiceClient::new(self.channel().await?);
        let (tx, requests) = outbound();
        let names: HashMap<String, Vec<String>> = self.wanted().into_iter().collect();
        for (url, resource_names) in self.wanted() {
            let version_info = self.mirror().versions.get(&url).cloned().unwrap_or_default();
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
            tokio::time::sleep(self.settings.slow).await;
            let url = response.type_url.clone();
            let bodies: Vec<&Any> = response.resources.iter().collect();
            let (version, refused) = {
                let mut mirror = self.mirror();
                mirror.responses += 1;
                mirror.bytes += response.encoded_len() as u64;
                let refused = mirror.refuses(&bodies);
                if !refused {
                    if url == Cluster::type_url() || url == Listener::type_url() {
                        mirror.resources.remove(&url);
                    }
                    for body in response.resources {
                        let Some(name) = name_of(&body) else { continue };
                        mirror.set(&url, name, String::new(), body);
                    }
                    mirror.versions.insert(url.clone(), response.version_info);
                    mirror.derive();
                }
                mirror.refused += u64::from(refused);
                (mirror.versions.get(&url).cloned().unwrap_or_default(), refused)
            };
            let answer = DiscoveryRequest {
                resource_names: names.get(&url).cloned().unwrap_or_default(),
                type_url: url,
                version_info: version,
                response_nonce: response.nonce,
                error_detail: refused.then(no),
                ..Default::default()
            };
            let _ = tx.send(answer).await;
        }
        Ok(())
    }

    async fn delta(self: Arc<Self>) -> Result<(), Status> {
        let mut client = AggregatedDiscoveryServiceClient::new(self.channel().await?);
        let (tx, requests) = outbound();
        for (url, names) in self.wanted() {
            let mirror = self.mirror().clone();
            let has = mirror.resources.get(&url).into_iter().flatten();
            let first = DeltaDiscoveryRequest {
                node: self.node(),
                type_url: url.clone(),
                resource_names_subscribe: names,
                initial_resource_versions: has.map(|(name, (v, _))| (name.clone(), v.clone())).collect(),
                ..Default::default()
            };
            let _ = tx.send(first).await;
        }
        let mut responses = client.delta_aggregated_resources(requests).await?.into_inner();
        while let Some(response) = responses.message().await? {
            tokio::time::sleep(self.settings.slow).await;
            let url = response.type_url.clone();
            let bodies: Vec<&Any> = response.resources.iter().filter_map(|r| r.resource.as_ref()).collect();
            let refused = {
                let mut mirror = self.mirror();
                mirror.responses += 1;
                mirror.bytes += response.encoded_len() as u64;
                let refused = mirror.refuses(&bodies);
                if !refused {
                    for resource in response.resources {
                        let Some(body) = resource.resource else { continue };
                        mirror.set(&url, resource.name, resource.version, body);
                    }
                    for name in response.removed_resources {
                        mirror.resources.get_mut(&url).into_iter().for_each(|all| drop(all.remove(&name)));
                    }
                    mirror.derive();
                }
                mirror.refused += u64::from(refused);
                refused
            };
            let answer = DeltaDiscoveryRequest {
                type_url: url,
                response_nonce: response.nonce,
                error_detail: refused.then(no),
                ..Default::default()
            };
            let _ = tx.send(answer).await;
        }
        Ok(())
    }

    async fn load(self: Arc<Self>) -> Result<(), Status> {
        let mut client = LoadReportingServiceClient::new(self.channel().await?);
        let (tx, requests) = outbound();
        let _ = tx.send(LoadStatsRequest { node: self.node(), ..Default::default() }).await;
        let mut responses = client.stream_load_stats(requests).await?.into_inner();
        let Some(wanted) = responses.message().await? else { return Ok(()) };
        let span = wanted.load_reporting_interval.unwrap_or_default();
        let interval = Duration::new(span.seconds as u64, span.nanos as u32).max(Duration::from_millis(10));
        loop {
            tokio::select! {
                () = tokio::time::sleep(interval) => {}
                ended = responses.message() => return ended.map(|_| ()),
            }
            let load = std::mem::take(&mut *self.load.lock().expect("whole"));
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

    async fn quotas(self: Arc<Self>) -> Result<(), Status> {
        let mut client = RateLimitQuotaServiceClient::new(self.channel().await?);
        let (tx, requests) = outbound();
        let mut request = tonic::Request::new(requests);
        let node = self.settings.node.parse().map_err(|_| Status::invalid_argument("node"))?;
        request.metadata_mut().insert("x-starlinghill-node", node);
        let mut first = self.buckets.lock().expect("whole").report(Instant::now());
        if first.bucket_quota_usages.is_empty() {
            self.ask.notified().await;
            first = self.buckets.lock().expect("whole").report(Instant::now());
        }
        let _ = tx.send(first).await;
        let mut responses = client.stream_rate_limit_quotas(request).await?.into_inner();
        let mut tick = tokio::time::interval(self.settings.interval);
        loop {
            tokio::select! {
                _ = tick.tick() => {}
                () = self.ask.notified() => {}
                response = responses.message() => match response? {
                    Some(response) => {
                        self.buckets.lock().expect("whole").apply_assignments(Instant::now(), response);
                        continue;
                    }
                    None => return Ok(()),
                },
            }
            let report = self.buckets.lock().expect("whole").report(Instant::now());
            if tx.send(report).await.is_err() {
                return Ok(());
            }
        }
    }
}

fn no() -> rpc::Status {
    rpc::Status { code: 3, message: "this proxy refuses it".into(), details: Vec::new() }
}

impl Proxy {
    /// Starts one with discovery alone.
    pub fn start(settings: Settings) -> Proxy {
        let (cut, _) = watch::channel(0);
        let (apart, _) = watch::channel(false);
        let shared = Arc::new(Shared {
            control: Mutex::new(settings.control),
            settings,
            mirror: Mutex::default(),
            buckets: Mutex::default(),
            load: Mutex::default(),
            ask: Notify::new(),
            cut,
            apart,
        });
        let discovery = match shared.settings.flavour {
            Flavour::Whole => tokio::spawn(shared.clone().keep(Shared::whole)),
            Flavour::Delta => tokio::spawn(shared.clone().keep(Shared::delta)),
        };
        Proxy { shared, tasks: vec![discovery] }
    }

    /// Reports load as well.
    pub fn reporting(mut self) -> Proxy {
        self.tasks.push(tokio::spawn(self.shared.clone().keep(Shared::load)));
        self
    }

    /// Keeps quotas as well.
    pub fn counting(mut self) -> Proxy {
        self.tasks.push(tokio::spawn(self.shared.clone().keep(Shared::quotas)));
        self
    }

    /// Forwards so many requests a second to save nodes, as it was told, for as long as it lives.
    pub fn forwarding(mut self, rate: f64, seed: u64) -> Proxy {
        let shared = self.shared.clone();
        self.tasks.push(tokio::spawn(async move {
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut lines: HashMap<String, TcpStream> = HashMap::new();
            let mut tick = tokio::time::interval(Duration::from_secs_f64(1.0 / rate));
            tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
            loop {
                tick.tick().await;
                // Chosen and written without a wait between them.
                let target = shared.mirror().pick(rng.f64()).cloned();
                let Some(target) = target else { continue };
                let ok = forward(&mut lines, &target, &shared.settings.node).await;
                let mut load = shared.load.lock().expect("whole");
                let seen = load.entry(target.address).or_default();
                (seen.0, seen.1) = (seen.0 + u64::from(ok), seen.1 + u64::from(!ok));
            }
        }));
        self
    }

    /// What it has.
    pub fn mirror(&self) -> Mirror {
        self.shared.mirror().clone()
    }

    /// From now on it refuses endpoints with this id; `None`: nothing.
    pub fn refuse(&self, id: Option<&str>) {
        self.shared.mirror().refuses = id.map(str::to_string);
    }

    /// Cuts all its streams; it comes back by itself.
    pub fn cut(&self) {
        self.shared.cut.send_modify(|n| *n += 1);
    }

    /// Cuts it off, or lets it come back.
    pub fn apart(&self, apart: bool) {
        self.shared.apart.send_replace(apart);
    }

    /// The service is somewhere else.
    pub fn move_to(&self, control: SocketAddr) {
        *self.shared.control.lock().expect("whole") = control;
    }

    /// Whether its buckets let a request through.
    pub fn admit(&self, key: &BucketKey) -> bool {
        let (ok, new) = self.shared.buckets.lock().expect("whole").admit(Instant::now(), key);
        if new {
            self.shared.ask.notify_one();
        }
        ok
    }

    /// Waits until what it has is as wanted.
    pub async fn wait_for(&self, what: &str, wanted: impl Fn(&Mirror) -> bool) {
        let until = Instant::now() + crate::stubs::LIMIT;
        while !wanted(&self.shared.mirror()) {
            assert!(Instant::now() < until, "waited in vain for {what}; it has {:?}", self.mirror().targets);
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

/// Sends one request and reads its answer.
async fn forward(lines: &mut HashMap<String, TcpStream>, target: &Target, from: &str) -> bool {
    let mut line = match lines.remove(&target.id) {
        Some(line) => line,
        None => match TcpStream::connect(target.address).await {
            Ok(line) => line,
            Err(_) => return false,
        },
    };
    let request = format!("GET /api HTTP/1.1\r\nHost: save\r\nX-From: {from}\r\n\r\n");
    if line.write_all(request.as_bytes()).await.is_err() {
        return false;
    }
    let (mut answer, mut part) = (Vec::new(), [0; 512]);
    while !answer.ends_with(b"\r\n\r\nok") {
        match line.read(&mut part).await {
            Ok(n) if n > 0 => answer.extend_from_slice(&part[..n]),
            _ => return false,
        }
    }
    lines.insert(target.id.clone(), line);
    answer.starts_with(b"HTTP/1.1 200")
}

/// Asks for the clusters over a channel of the caller's making; returns how many there are.
pub async fn ask_clusters(channel: Channel, node: &str) -> Result<usize, Status> {
    let mut client = AggregatedDiscoveryServiceClient::new(channel);
    let (tx, requests) = outbound();
    let node = Some(Node { id: node.into(), ..Default::default() });
    let _ = tx.send(DiscoveryRequest { node, type_url: Cluster::type_url(), ..Default::default() }).await;
    let mut responses = client.stream_aggregated_resources(requests).await?.into_inner();
    let first = responses.message().await?;
    Ok(first.map_or(0, |first| first.resources.len()))
}
