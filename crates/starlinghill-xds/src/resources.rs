//! Builds xDS resources from the fleet snapshot and the routes. The encoding must be the same, byte for byte, in
//! every process: versions are hashes of it, and a proxy that reconnects to another replica would otherwise get
//! everything again.

use envoy_types::pb::envoy::config::cluster::v3 as cluster;
use envoy_types::pb::envoy::config::core::v3 as core;
use envoy_types::pb::envoy::config::endpoint::v3 as endpoint;
use envoy_types::pb::envoy::config::listener::v3 as listener;
use envoy_types::pb::envoy::config::route::v3 as route;
use envoy_types::pb::envoy::extensions::filters::http::rate_limit_quota::v3 as quota;
use envoy_types::pb::envoy::extensions::filters::http::router::v3::Router;
use envoy_types::pb::envoy::extensions::filters::network::http_connection_manager::v3 as hcm;
use envoy_types::pb::envoy::r#type::matcher::v3 as matcher;
use envoy_types::pb::envoy::r#type::v3 as envoy_type;
use envoy_types::pb::google::protobuf::{value, Any, Duration, Struct, UInt32Value, Value};
use envoy_types::pb::xds;
use prost::{Message, Name};
use starlinghill_control_state::fleet::{Endpoint, EndpointUse, FleetSnapshot};
use starlinghill_control_state::routes::{ClassRoute, RetryOn};
use starlinghill_decision::api::Micros;
use starlinghill_decision::POLICY_CONSTANTS;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// The name of the cluster of upstream servers and of its endpoints.
pub const SAVE_NODES: &str = "save-nodes";
/// The route table of HTTP proxies, which matches the request class and the HTTP method.
pub const HTTP_ROUTES: &str = "starlinghill-http";
/// The route table of gRPC clients. It matches the request class alone, because gRPC always uses POST.
pub const GRPC_ROUTES: &str = "starlinghill-grpc";
/// The listener that gRPC clients subscribe to by name: `xds:///starlinghill`.
pub const GRPC_LISTENER: &str = "starlinghill";
/// The listener of a proxy whose listen address this service configures.
pub const HTTP_LISTENER: &str = "starlinghill-http";
/// The value of `RateLimitQuotaUsageReports.domain` that the quota service requires.
pub const QUOTA_DOMAIN: &str = "starlinghill";
/// The gRPC metadata key by which a quota stream gives its node id; quota messages have no field for it.
pub const QUOTA_NODE_HEADER: &str = "x-starlinghill-node";
/// The request header that gives the class.
const CLASS_HEADER: &str = "x-call-class";
/// Earlier cluster sets that are kept.
const MAX_PAST_CLUSTER_SETS: usize = 8;
/// Prefix of the sub-zone of an endpoint with reduced weight, which gets a locality of its own.
const REDUCED_WEIGHT_PREFIX: &str = "lesser-";

/// The resource types that are served, in the order in which additions are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ResourceKind {
    /// `envoy.config.cluster.v3.Cluster` (CDS).
    Cluster,
    /// `envoy.config.endpoint.v3.ClusterLoadAssignment` (EDS).
    Endpoints,
    /// `envoy.config.listener.v3.Listener` (LDS).
    Listener,
    /// `envoy.config.route.v3.RouteConfiguration` (RDS).
    Routes,
}

/// All kinds, in the order in which additions are sent.
pub const RESOURCE_KINDS: [ResourceKind; 4] =
    [ResourceKind::Cluster, ResourceKind::Endpoints, ResourceKind::Listener, ResourceKind::Routes];

impl ResourceKind {
    /// The protobuf type URL of the v3 resource message.
    pub fn type_url(self) -> String {
        match self {
            ResourceKind::Cluster => cluster::Cluster::type_url(),
            ResourceKind::Endpoints => endpoint::ClusterLoadAssignment::type_url(),
            ResourceKind::Listener => listener::Listener::type_url(),
            ResourceKind::Routes => route::RouteConfiguration::type_url(),
        }
    }
    /// `None` for a type that is not served.
    pub fn from_type_url(url: &str) -> Option<ResourceKind> {
        RESOURCE_KINDS.into_iter().find(|kind| kind.type_url() == url)
    }
    /// Whether a state-of-the-world response holds all resources of this type, so that a missing one is deleted.
    /// Only these types allow a wildcard subscription without names.
    pub fn is_sent_whole(self) -> bool {
        matches!(self, ResourceKind::Cluster | ResourceKind::Listener)
    }
}

impl fmt::Display for ResourceKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ResourceKind::Cluster => "clusters",
            ResourceKind::Endpoints => "endpoints",
            ResourceKind::Listener => "listeners",
            ResourceKind::Routes => "routes",
        })
    }
}

/// An encoded xDS resource.
#[derive(Debug, Clone, PartialEq)]
pub struct Resource {
    /// Unique within its kind.
    pub name: Arc<str>,
    /// The hash of the encoded resource.
    pub version: String,
    /// The encoded resource with its type URL.
    pub body: Any,
    /// Whether wildcard subscriptions leave it out, so that only clients that name it get it.
    pub by_name_only: bool,
}

impl Resource {
    /// `value` is the encoded resource without its type URL.
    pub fn new(kind: ResourceKind, name: &str, value: Vec<u8>) -> Resource {
        let version = hash([value.as_slice()]);
        Resource {
            name: name.into(),
            version,
            body: Any { type_url: kind.type_url(), value },
            by_name_only: false,
        }
    }
}

/// Hashes a list of byte strings with 128-bit XXH3 and returns 32 hex digits. Each length is hashed too, so that
/// moving bytes between neighbours changes the hash.
pub fn hash<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> String {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    format!("{:032x}", hasher.digest128())
}

/// All resources of one type.
#[derive(Debug, Default, PartialEq)]
pub struct TypeSet {
    version: String,
    by_name: BTreeMap<Arc<str>, Arc<Resource>>,
}

impl TypeSet {
    /// The last of several resources with the same name is kept.
    pub fn new(resources: impl IntoIterator<Item = Resource>) -> TypeSet {
        let by_name: BTreeMap<_, _> = resources.into_iter().map(|r| (r.name.clone(), Arc::new(r))).collect();
        let version = hash(by_name.values().flat_map(|r| [r.name.as_bytes(), r.version.as_bytes()]));
        TypeSet { version, by_name }
    }
}

/// One consistent state of all resources of a proxy.
#[derive(Debug, Default, PartialEq)]
pub struct ResourceSet {
    types: [Arc<TypeSet>; RESOURCE_KINDS.len()],
    /// The cluster sets of earlier states, oldest first.
    past: Vec<Arc<TypeSet>>,
}

impl ResourceSet {
    /// `types` is in the order of [`RESOURCE_KINDS`].
    pub fn new(types: [Arc<TypeSet>; RESOURCE_KINDS.len()]) -> ResourceSet {
        ResourceSet { types, past: Vec::new() }
    }
    /// Marks this state as the successor of `old`. A reconnected state-of-the-world proxy names only the version of
    /// its clusters. The earlier sets tell which clusters it may hold, so that deletions can be sent last.
    pub fn after(mut self, old: &ResourceSet) -> ResourceSet {
        self.past = old.past.clone();
        if old.version(ResourceKind::Cluster) != self.version(ResourceKind::Cluster) {
            self.past.push(old.type_set(ResourceKind::Cluster));
        }
        let over = self.past.len().saturating_sub(MAX_PAST_CLUSTER_SETS);
        self.past.drain(..over);
        self
    }
    /// The clusters of earlier states, oldest first.
    pub fn past_clusters(&self) -> impl Iterator<Item = &Arc<Resource>> {
        self.past.iter().flat_map(|set| set.by_name.values())
    }
    /// `None` if no resource of this kind has the name.
    pub fn get(&self, kind: ResourceKind, name: &str) -> Option<&Arc<Resource>> {
        self.types[kind as usize].by_name.get(name)
    }
    /// All resources of a kind, sorted by name.
    pub fn all(&self, kind: ResourceKind) -> impl Iterator<Item = &Arc<Resource>> {
        self.types[kind as usize].by_name.values()
    }
    /// A hash over the names and versions of all resources of a kind.
    pub fn version(&self, kind: ResourceKind) -> &str {
        &self.types[kind as usize].version
    }
    /// All resources of a kind, to be shared with another set.
    pub fn type_set(&self, kind: ResourceKind) -> Arc<TypeSet> {
        self.types[kind as usize].clone()
    }
}

/// Settings of the proxies' quota filter: how it reaches this service and how it finds a request's bucket.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaFilterSettings {
    /// The cluster, in the proxies' bootstrap, by which they reach this service.
    pub cluster: String,
    /// The request header that holds the customer's number as 16 hex digits.
    pub customer_header: String,
    /// The request header that holds the plan's name.
    pub plan_header: String,
    /// The request header that holds the units that the request takes from the quota.
    pub units_header: String,
    /// The interval at which proxies report usage.
    pub interval: Micros,
}

/// Operator settings that go into the resources.
#[derive(Debug, Clone, PartialEq)]
pub struct ResourceSettings {
    /// Time limit for connecting to an upstream server.
    pub connect_timeout: Micros,
    /// Concurrent attempts that one proxy may have at each upstream server; its circuit breaker counts them over the
    /// whole cluster. `None` gives each proxy an equal part of the gateways' initial limit for the whole fleet.
    pub attempts_per_endpoint: Option<u32>,
    /// The quota filter, if proxies enforce quotas.
    pub quotas: Option<QuotaFilterSettings>,
}

fn proto_duration(micros: Micros) -> Option<Duration> {
    let (seconds, rest) = (micros.0 / 1_000_000, micros.0 % 1_000_000);
    Some(Duration { seconds: seconds as i64, nanos: (rest * 1000) as i32 })
}

fn proto_u32(value: u32) -> Option<UInt32Value> {
    Some(UInt32Value { value })
}

fn to_any<M: Message + Name>(message: &M) -> Any {
    Any { type_url: M::type_url(), value: message.encode_to_vec() }
}

fn ads_config_source() -> Option<core::ConfigSource> {
    let specifier = core::config_source::ConfigSourceSpecifier::Ads(core::AggregatedConfigSource {});
    Some(core::ConfigSource {
        resource_api_version: core::ApiVersion::V3 as i32,
        config_source_specifier: Some(specifier),
        // No time limit: a proxy keeps its configuration while this service is unavailable.
        initial_fetch_timeout: proto_duration(Micros(0)),
        ..Default::default()
    })
}

fn proto_address(at: SocketAddr) -> Option<core::Address> {
    let socket = core::SocketAddress {
        address: at.ip().to_string(),
        port_specifier: Some(core::socket_address::PortSpecifier::PortValue(at.port().into())),
        ..Default::default()
    };
    Some(core::Address { address: Some(core::address::Address::SocketAddress(socket)) })
}

/// Builds the cluster of upstream servers, with endpoints from the same stream and with the gateway's own retry
/// budget, concurrency bounds and ejection rules. `endpoints` and `proxies` are counts.
pub fn clusters(settings: &ResourceSettings, endpoints: usize, proxies: usize) -> TypeSet {
    // Rounded up to a power of two, as each change of the bound is a message to every proxy.
    let endpoints = (endpoints as u32).max(1).next_power_of_two();
    let max_attempts =
        match settings.attempts_per_endpoint {
            Some(each) => each.saturating_mul(endpoints),
            None => (POLICY_CONSTANTS.initial_fleet_limit * f64::from(endpoints) / (proxies.max(1) as f64))
                .ceil() as u32,
        };
    let budget = cluster::circuit_breakers::thresholds::RetryBudget {
        budget_percent: Some(envoy_type::Percent { value: 100.0 * POLICY_CONSTANTS.retry_share }),
        min_retry_concurrency: proto_u32(3),
        ..Default::default()
    };
    let thresholds = cluster::circuit_breakers::Thresholds {
        max_requests: proto_u32(max_attempts),
        // Requests must not queue at a proxy; one that exceeds the bound fails at once.
        max_pending_requests: proto_u32(max_attempts),
        max_connections: proto_u32(max_attempts),
        retry_budget: Some(budget),
        ..Default::default()
    };
    let max_ejection = Micros(POLICY_CONSTANTS.eject_first.0 << POLICY_CONSTANTS.eject_doublings);
    let outliers = cluster::OutlierDetection {
        // This many failures in a row take the gateway's smoothed failure rate over its ejection bound.
        consecutive_5xx: proto_u32(4),
        consecutive_gateway_failure: proto_u32(4),
        enforcing_consecutive_gateway_failure: proto_u32(100),
        interval: proto_duration(Micros(500_000)),
        base_ejection_time: proto_duration(POLICY_CONSTANTS.eject_first),
        max_ejection_time: proto_duration(max_ejection),
        max_ejection_percent: proto_u32(50),
        // This service judges success rates itself, from the reports of all proxies.
        enforcing_success_rate: proto_u32(0),
        ..Default::default()
    };
    let eds = cluster::cluster::EdsClusterConfig {
        eds_config: ads_config_source(),
        service_name: SAVE_NODES.into(),
    };
    let same_server = core::config_source::ConfigSourceSpecifier::Self_(core::SelfConfigSource {
        transport_api_version: core::ApiVersion::V3 as i32,
    });
    let message = cluster::Cluster {
        name: SAVE_NODES.into(),
        cluster_discovery_type: Some(cluster::cluster::ClusterDiscoveryType::Type(
            cluster::cluster::DiscoveryType::Eds as i32,
        )),
        eds_cluster_config: Some(eds),
        connect_timeout: proto_duration(settings.connect_timeout),
        // Weighted round robin: not every gRPC client supports least request.
        lb_policy: cluster::cluster::LbPolicy::RoundRobin as i32,
        circuit_breakers: Some(cluster::CircuitBreakers {
            thresholds: vec![thresholds],
            ..Default::default()
        }),
        outlier_detection: Some(outliers),
        common_lb_config: Some(cluster::cluster::CommonLbConfig {
            // No panic mode: in it a proxy would also send requests to draining servers.
            healthy_panic_threshold: Some(envoy_type::Percent { value: 0.0 }),
            ..Default::default()
        }),
        lrs_server: Some(core::ConfigSource {
            resource_api_version: core::ApiVersion::V3 as i32,
            config_source_specifier: Some(same_server),
            ..Default::default()
        }),
        ..Default::default()
    };
    TypeSet::new([Resource::new(ResourceKind::Cluster, SAVE_NODES, message.encode_to_vec())])
}

/// Overprovisioning factor in percent. With one healthy server in ten thousand, a priority still counts as fully
/// healthy and keeps all its requests.
const FAILOVER_ONLY_OVERPROVISIONING_PERCENT: u32 = 1_000_000;

/// Builds the endpoints, grouped by priority and locality.
pub fn endpoints(snapshot: &FleetSnapshot) -> TypeSet {
    let full = snapshot.endpoints.iter().map(|e| e.weight).max().unwrap_or(1);
    let mut localities: BTreeMap<(u32, &str, &str, String), Vec<&Endpoint>> = BTreeMap::new();
    for e in &snapshot.endpoints {
        // gRPC clients apply weights to localities only, so a server that warms up or is on trial after an ejection
        // needs a locality of its own.
        let reduced = e.usage == EndpointUse::Healthy && e.weight < full / 2;
        let sub = if reduced { format!("{REDUCED_WEIGHT_PREFIX}{}", e.id) } else { String::new() };
        localities.entry((e.priority, &e.region, &e.zone, sub)).or_default().push(e);
    }
    let groups = localities.into_iter().map(|((priority, region, zone, sub_zone), members)| {
        let usable = members.iter().filter(|e| e.usage == EndpointUse::Healthy);
        let weight: u32 = usable.map(|e| e.weight).fold(0, u32::saturating_add);
        endpoint::LocalityLbEndpoints {
            locality: Some(core::Locality { region: region.into(), zone: zone.into(), sub_zone }),
            priority,
            // gRPC skips a locality without a weight, which is right if none of its servers is usable.
            load_balancing_weight: (weight > 0).then_some(UInt32Value { value: weight }),
            lb_endpoints: members.into_iter().map(lb_endpoint).collect(),
            ..Default::default()
        }
    });
    let drop = endpoint::cluster_load_assignment::policy::DropOverload {
        category: "warming".into(),
        drop_percentage: Some(envoy_type::FractionalPercent {
            numerator: snapshot.drop_per_10000,
            denominator: envoy_type::fractional_percent::DenominatorType::TenThousand as i32,
        }),
    };
    let has_lower_priority = snapshot.endpoints.iter().any(|e| e.priority > 0);
    let policy = endpoint::cluster_load_assignment::Policy {
        drop_overloads: if snapshot.drop_per_10000 > 0 { vec![drop] } else { Vec::new() },
        // By default a proxy moves requests to the next priority as soon as about three in ten servers are
        // unhealthy. Servers of lower priorities must serve only when no other server can.
        overprovisioning_factor: if has_lower_priority {
            proto_u32(FAILOVER_ONLY_OVERPROVISIONING_PERCENT)
        } else {
            None
        },
        ..Default::default()
    };
    let message = endpoint::ClusterLoadAssignment {
        cluster_name: SAVE_NODES.into(),
        endpoints: groups.collect(),
        policy: (snapshot.drop_per_10000 > 0 || has_lower_priority).then_some(policy),
        ..Default::default()
    };
    TypeSet::new([Resource::new(ResourceKind::Endpoints, SAVE_NODES, message.encode_to_vec())])
}

/// Where an endpoint's metadata holds the server's id: the filter name and the key in it.
pub const ID_METADATA: (&str, &str) = ("starlinghill", "id");

fn lb_endpoint(e: &Endpoint) -> endpoint::LbEndpoint {
    let status = match e.usage {
        EndpointUse::Healthy => core::HealthStatus::Healthy,
        EndpointUse::Ejected => core::HealthStatus::Unhealthy,
        EndpointUse::Draining => core::HealthStatus::Draining,
    };
    // Each map has one entry: the order of more would differ between processes and change the version.
    let id = Value { kind: Some(value::Kind::StringValue(e.id.clone())) };
    let fields = Struct { fields: HashMap::from([(ID_METADATA.1.to_string(), id)]) };
    let metadata = core::Metadata {
        filter_metadata: HashMap::from([(ID_METADATA.0.to_string(), fields)]),
        ..Default::default()
    };
    let host = endpoint::Endpoint { address: proto_address(e.address), ..Default::default() };
    endpoint::LbEndpoint {
        health_status: status as i32,
        load_balancing_weight: proto_u32(e.weight),
        metadata: Some(metadata),
        host_identifier: Some(endpoint::lb_endpoint::HostIdentifier::Endpoint(host)),
    }
}

/// Builds the route tables of HTTP proxies and of gRPC clients.
pub fn route_tables(routes: &[ClassRoute]) -> TypeSet {
    let table = |name: &str, grpc: bool| {
        let mut list: Vec<route::Route> = routes.iter().map(|r| class_route(r, grpc)).collect();
        if !grpc {
            // The proxy itself answers a request without a known class, so it never reaches a server.
            let action = route::DirectResponseAction { status: 400, ..Default::default() };
            list.push(route::Route {
                name: "no-class".into(),
                r#match: Some(route::RouteMatch { path_specifier: match_all_paths(), ..Default::default() }),
                action: Some(route::route::Action::DirectResponse(action)),
                ..Default::default()
            });
        }
        let host = route::VirtualHost {
            name: name.into(),
            domains: vec!["*".into()],
            routes: list,
            ..Default::default()
        };
        let message =
            route::RouteConfiguration { name: name.into(), virtual_hosts: vec![host], ..Default::default() };
        Resource::new(ResourceKind::Routes, name, message.encode_to_vec())
    };
    TypeSet::new([table(HTTP_ROUTES, false), table(GRPC_ROUTES, true)])
}

fn match_all_paths() -> Option<route::route_match::PathSpecifier> {
    Some(route::route_match::PathSpecifier::Prefix("/".into()))
}

fn exact_header(name: &str, text: &str) -> route::HeaderMatcher {
    let pattern = matcher::string_matcher::MatchPattern::Exact(text.into());
    let text = matcher::StringMatcher { match_pattern: Some(pattern), ..Default::default() };
    route::HeaderMatcher {
        name: name.into(),
        header_match_specifier: Some(route::header_matcher::HeaderMatchSpecifier::StringMatch(text)),
        ..Default::default()
    }
}

fn class_route(class: &ClassRoute, grpc: bool) -> route::Route {
    let mut headers = vec![exact_header(CLASS_HEADER, &class.name)];
    if !grpc {
        headers.push(exact_header(":method", class.method));
    }
    let retry_on = match (class.retry_on, grpc) {
        // The server rejected the request before it ran, or never got it: a retry is always safe.
        (RetryOn::NeverRan, false) => "connect-failure,refused-stream,retriable-headers",
        (RetryOn::Failed, false) => "5xx,reset,connect-failure,refused-stream,retriable-headers",
        // A gRPC status does not tell whether the call ran.
        (RetryOn::NeverRan, true) => "",
        (RetryOn::Failed, true) => "unavailable",
    };
    let previous_hosts = route::retry_policy::RetryHostPredicate {
        name: "envoy.retry_host_predicates.previous_hosts".into(),
        config_type: Some(route::retry_policy::retry_host_predicate::ConfigType::TypedConfig(Any {
            type_url:
                "type.googleapis.com/envoy.extensions.retry.host.previous_hosts.v3.PreviousHostsPredicate"
                    .into(),
            value: Vec::new(),
        })),
    };
    let back_off = route::retry_policy::RetryBackOff {
        base_interval: proto_duration(Micros(25_000)),
        max_interval: proto_duration(Micros(250_000)),
    };
    let retry = route::RetryPolicy {
        retry_on: retry_on.into(),
        // `num_retries` leaves out the first attempt. Attempts never overlap, because hedging stays off.
        num_retries: proto_u32(class.retries),
        per_try_timeout: class.per_try.and_then(proto_duration),
        retry_host_predicate: if grpc { Vec::new() } else { vec![previous_hosts] },
        host_selection_retry_max_attempts: if grpc { 0 } else { 3 },
        retriable_headers: if grpc { Vec::new() } else { vec![exact_header("x-rejected", "1")] },
        retry_back_off: Some(back_off),
        ..Default::default()
    };
    let action = route::RouteAction {
        cluster_specifier: Some(route::route_action::ClusterSpecifier::Cluster(SAVE_NODES.into())),
        timeout: proto_duration(class.timeout),
        max_stream_duration: grpc.then(|| route::route_action::MaxStreamDuration {
            max_stream_duration: proto_duration(class.timeout),
            ..Default::default()
        }),
        retry_policy: (class.retries > 0 && !retry_on.is_empty()).then_some(retry),
        ..Default::default()
    };
    route::Route {
        name: class.name.clone(),
        r#match: Some(route::RouteMatch { path_specifier: match_all_paths(), headers, ..Default::default() }),
        action: Some(route::route::Action::Route(action)),
        ..Default::default()
    }
}

/// Builds the listeners of one node: one for gRPC clients and, if `listen` is given, one for HTTP.
pub fn listeners(node: &str, listen: Option<SocketAddr>, settings: &ResourceSettings) -> TypeSet {
    let manager = |routes: &str, filters: Vec<hcm::HttpFilter>| hcm::HttpConnectionManager {
        stat_prefix: "starlinghill".into(),
        route_specifier: Some(hcm::http_connection_manager::RouteSpecifier::Rds(hcm::Rds {
            config_source: ads_config_source(),
            route_config_name: routes.into(),
        })),
        http_filters: filters,
        ..Default::default()
    };
    let router = || hcm::HttpFilter {
        name: "envoy.filters.http.router".into(),
        config_type: Some(hcm::http_filter::ConfigType::TypedConfig(to_any(&Router::default()))),
        ..Default::default()
    };
    let grpc = listener::Listener {
        name: GRPC_LISTENER.into(),
        api_listener: Some(listener::ApiListener {
            api_listener: Some(to_any(&manager(GRPC_ROUTES, vec![router()]))),
        }),
        ..Default::default()
    };
    let mut list = vec![Resource {
        by_name_only: true,
        ..Resource::new(ResourceKind::Listener, GRPC_LISTENER, grpc.encode_to_vec())
    }];
    if let Some(at) = listen {
        let mut filters: Vec<hcm::HttpFilter> =
            settings.quotas.iter().map(|quotas| quota_filter(node, quotas)).collect();
        filters.push(router());
        let chain = listener::FilterChain {
            filters: vec![listener::Filter {
                name: "envoy.filters.network.http_connection_manager".into(),
                config_type: Some(listener::filter::ConfigType::TypedConfig(to_any(&manager(
                    HTTP_ROUTES,
                    filters,
                )))),
            }],
            ..Default::default()
        };
        let http = listener::Listener {
            name: HTTP_LISTENER.into(),
            address: proto_address(at),
            filter_chains: vec![chain],
            ..Default::default()
        };
        list.push(Resource::new(ResourceKind::Listener, HTTP_LISTENER, http.encode_to_vec()));
    }
    TypeSet::new(list)
}

/// Builds the HTTP filter that enforces the node's quota assignments (`envoy.filters.http.rate_limit_quota`).
fn quota_filter(node: &str, settings: &QuotaFilterSettings) -> hcm::HttpFilter {
    let deny = envoy_type::RateLimitStrategy {
        strategy: Some(envoy_type::rate_limit_strategy::Strategy::BlanketRule(
            envoy_type::rate_limit_strategy::BlanketRule::DenyAll as i32,
        )),
    };
    use quota::rate_limit_quota_bucket_settings as bucket_settings;
    let header_value = |key: &str, header: &str| {
        let input = matcher::HttpRequestHeaderMatchInput { header_name: header.into() };
        let custom = core::TypedExtensionConfig { name: key.into(), typed_config: Some(to_any(&input)) };
        let builder = bucket_settings::bucket_id_builder::ValueBuilder {
            value_specifier: Some(
                bucket_settings::bucket_id_builder::value_builder::ValueSpecifier::CustomValue(custom),
            ),
        };
        bucket_settings::BucketIdBuilder { bucket_id_builder: HashMap::from([(key.to_string(), builder)]) }
    };
    let retry_after = core::HeaderValueOption {
        header: Some(core::HeaderValue {
            key: "retry-after".into(),
            value: "1".into(),
            ..Default::default()
        }),
        ..Default::default()
    };
    let denied = bucket_settings::DenyResponseSettings {
        http_status: Some(envoy_type::HttpStatus { code: envoy_type::StatusCode::TooManyRequests as i32 }),
        response_headers_to_add: vec![retry_after],
        ..Default::default()
    };
    let bucket = quota::RateLimitQuotaBucketSettings {
        bucket_id_builder: Some(header_value("customer", &settings.customer_header)),
        reporting_interval: proto_duration(settings.interval),
        deny_response_settings: Some(denied),
        // Requests without an assignment are denied: allowing them would exceed the quota, which other proxies may
        // already hold in full.
        no_assignment_behavior: Some(bucket_settings::NoAssignmentBehavior {
            no_assignment_behavior: Some(
                bucket_settings::no_assignment_behavior::NoAssignmentBehavior::FallbackRateLimit(deny),
            ),
        }),
        expired_assignment_behavior: Some(bucket_settings::ExpiredAssignmentBehavior {
            expired_assignment_behavior_timeout: None,
            expired_assignment_behavior: Some(
                bucket_settings::expired_assignment_behavior::ExpiredAssignmentBehavior::FallbackRateLimit(
                    deny,
                ),
            ),
        }),
    };
    // The order of a map with several entries differs between processes, which would change the version. Protobuf
    // readers merge concatenated messages, so each entry is written as a message of its own in a fixed order.
    let mut bytes = bucket.encode_to_vec();
    for (key, header) in [("plan", &settings.plan_header), ("units", &settings.units_header)] {
        let more = quota::RateLimitQuotaBucketSettings {
            bucket_id_builder: Some(header_value(key, header)),
            ..Default::default()
        };
        bytes.extend(more.encode_to_vec());
    }
    let action = xds::core::v3::TypedExtensionConfig {
        name: "starlinghill".into(),
        typed_config: Some(Any { type_url: quota::RateLimitQuotaBucketSettings::type_url(), value: bytes }),
    };
    use xds::r#type::matcher::v3 as tree;
    let on_match = tree::matcher::OnMatch {
        on_match: Some(tree::matcher::on_match::OnMatch::Action(action)),
        ..Default::default()
    };
    let service = core::GrpcService {
        target_specifier: Some(core::grpc_service::TargetSpecifier::EnvoyGrpc(
            core::grpc_service::EnvoyGrpc { cluster_name: settings.cluster.clone(), ..Default::default() },
        )),
        initial_metadata: vec![core::HeaderValue {
            key: QUOTA_NODE_HEADER.into(),
            value: node.into(),
            ..Default::default()
        }],
        ..Default::default()
    };
    let config = quota::RateLimitQuotaFilterConfig {
        rlqs_server: Some(service),
        domain: QUOTA_DOMAIN.into(),
        bucket_matchers: Some(tree::Matcher { on_no_match: Some(Box::new(on_match)), matcher_type: None }),
        ..Default::default()
    };
    hcm::HttpFilter {
        name: "envoy.filters.http.rate_limit_quota".into(),
        config_type: Some(hcm::http_filter::ConfigType::TypedConfig(to_any(&config))),
        ..Default::default()
    }
}
