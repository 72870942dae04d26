//! The picture of the fleet and the routes as xDS resources. Encoding is the same, byte for byte, in every
//! process: versions are hashes of it, so a proxy may go from one replica of the service to another.

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

/// The cluster of the save nodes, and its endpoints.
pub const SAVE_NODES: &str = "save-nodes";
/// Routes for HTTP proxies: by class and method.
pub const HTTP_ROUTES: &str = "starlinghill-http";
/// Routes for gRPC clients: by class alone, as they have no other method.
pub const GRPC_ROUTES: &str = "starlinghill-grpc";
/// The listener that gRPC clients name: `xds:///starlinghill`.
pub const GRPC_LISTENER: &str = "starlinghill";
/// The listener of a proxy that has an address of its own.
pub const HTTP_LISTENER: &str = "starlinghill-http";
/// `RateLimitQuotaUsageReports.domain`.
pub const DOMAIN: &str = "starlinghill";
/// Initial metadata by which a quota stream names its node.
pub const NODE_KEY: &str = "x-starlinghill-node";
/// The header by which a class is told.
const CLASS_HEADER: &str = "x-call-class";
/// How many states of before are kept in mind.
const MOST_PAST: usize = 8;
/// Endpoints with less than their usual weight stand in a locality of their own, of this sub-zone.
const LESSER: &str = "lesser-";

/// The types that are served, in the order in which additions go out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// `envoy.config.cluster.v3.Cluster` (CDS).
    Cluster,
    /// `envoy.config.endpoint.v3.ClusterLoadAssignment` (EDS).
    Endpoints,
    /// `envoy.config.listener.v3.Listener` (LDS).
    Listener,
    /// `envoy.config.route.v3.RouteConfiguration` (RDS).
    Routes,
}

/// All kinds, in the order in which additions go out.
pub const KINDS: [Kind; 4] = [Kind::Cluster, Kind::Endpoints, Kind::Listener, Kind::Routes];

impl Kind {
    /// Its type URL.
    pub fn url(self) -> String {
        match self {
            Kind::Cluster => cluster::Cluster::type_url(),
            Kind::Endpoints => endpoint::ClusterLoadAssignment::type_url(),
            Kind::Listener => listener::Listener::type_url(),
            Kind::Routes => route::RouteConfiguration::type_url(),
        }
    }
    /// The kind of a type URL.
    pub fn of_url(url: &str) -> Option<Kind> {
        KINDS.into_iter().find(|kind| kind.url() == url)
    }
    /// State-of-the-world responses hold all resources of this type, and a wildcard may be subscribed to.
    pub fn sent_whole(self) -> bool {
        matches!(self, Kind::Cluster | Kind::Listener)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kind::Cluster => "clusters",
            Kind::Endpoints => "endpoints",
            Kind::Listener => "listeners",
            Kind::Routes => "routes",
        })
    }
}

/// One resource.
#[derive(Debug, Clone, PartialEq)]
pub struct Resource {
    /// Its name.
    pub name: Arc<str>,
    /// The hash of what is in it.
    pub version: String,
    /// It, with its type URL.
    pub body: Any,
    /// A wildcard does not bring it: it is for clients that name it.
    pub by_name_only: bool,
}

impl Resource {
    /// A resource of these bytes.
    pub fn new(kind: Kind, name: &str, value: Vec<u8>) -> Resource {
        let version = hash([value.as_slice()]);
        Resource {
            name: name.into(),
            version,
            body: Any { type_url: kind.url(), value },
            by_name_only: false,
        }
    }
}

/// A hash of a list of byte strings, 32 hex digits (XXH3, 128 bits).
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
    /// These.
    pub fn new(resources: impl IntoIterator<Item = Resource>) -> TypeSet {
        let by_name: BTreeMap<_, _> = resources.into_iter().map(|r| (r.name.clone(), Arc::new(r))).collect();
        let version = hash(by_name.values().flat_map(|r| [r.name.as_bytes(), r.version.as_bytes()]));
        TypeSet { version, by_name }
    }
}

/// One consistent state of everything that a proxy is told.
#[derive(Debug, Default, PartialEq)]
pub struct ResourceSet {
    types: [Arc<TypeSet>; KINDS.len()],
    /// The clusters of states before, oldest first.
    past: Vec<Arc<TypeSet>>,
}

impl ResourceSet {
    /// A set of these, in the order of [`KINDS`].
    pub fn new(types: [Arc<TypeSet>; KINDS.len()]) -> ResourceSet {
        ResourceSet { types, past: Vec::new() }
    }
    /// The state that follows `old`. A state-of-the-world proxy that comes back says of its clusters only a
    /// version: by those of before it is known what it may have, so that what is gone is taken away last.
    pub fn after(mut self, old: &ResourceSet) -> ResourceSet {
        self.past = old.past.clone();
        if old.version(Kind::Cluster) != self.version(Kind::Cluster) {
            self.past.push(old.of(Kind::Cluster));
        }
        let over = self.past.len().saturating_sub(MOST_PAST);
        self.past.drain(..over);
        self
    }
    /// The clusters of states before, oldest first.
    pub fn past_clusters(&self) -> impl Iterator<Item = &Arc<Resource>> {
        self.past.iter().flat_map(|set| set.by_name.values())
    }
    /// The resource of a name.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Arc<Resource>> {
        self.types[kind as usize].by_name.get(name)
    }
    /// All of a type, by name.
    pub fn all(&self, kind: Kind) -> impl Iterator<Item = &Arc<Resource>> {
        self.types[kind as usize].by_name.values()
    }
    /// The version of all of a type.
    pub fn version(&self, kind: Kind) -> &str {
        &self.types[kind as usize].version
    }
    /// All of a type, to be shared with another set.
    pub fn of(&self, kind: Kind) -> Arc<TypeSet> {
        self.types[kind as usize].clone()
    }
}

/// How proxies reach this service's quotas, and how they know whose a request is.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaWiring {
    /// The cluster, in the proxies' bootstrap, by which they reach this service.
    pub cluster: String,
    /// The header that holds the customer's number, 16 hex digits.
    pub customer_header: String,
    /// The header that holds the plan's name.
    pub plan_header: String,
    /// The header that holds a request's units.
    pub units_header: String,
    /// How often use is reported.
    pub interval: Micros,
}

/// What the resources hold beside the picture and the routes.
#[derive(Debug, Clone, PartialEq)]
pub struct Wiring {
    /// A connection to a save node must be made within this.
    pub connect_timeout: Micros,
    /// Attempts that one proxy may have out at each save node, as its circuit breaker counts them; `None`: its
    /// part of what the module lets all gateways together have out where learning starts.
    pub attempts_out: Option<u32>,
    /// The quotas, if proxies are to keep them.
    pub quotas: Option<QuotaWiring>,
}

fn span(micros: Micros) -> Option<Duration> {
    let (seconds, rest) = (micros.0 / 1_000_000, micros.0 % 1_000_000);
    Some(Duration { seconds: seconds as i64, nanos: (rest * 1000) as i32 })
}

fn number(value: u32) -> Option<UInt32Value> {
    Some(UInt32Value { value })
}

fn any<M: Message + Name>(message: &M) -> Any {
    Any { type_url: M::type_url(), value: message.encode_to_vec() }
}

fn ads() -> Option<core::ConfigSource> {
    let specifier = core::config_source::ConfigSourceSpecifier::Ads(core::AggregatedConfigSource {});
    Some(core::ConfigSource {
        resource_api_version: core::ApiVersion::V3 as i32,
        config_source_specifier: Some(specifier),
        // No time limit: what a proxy has stays good while this service is away.
        initial_fetch_timeout: span(Micros(0)),
        ..Default::default()
    })
}

fn address(at: SocketAddr) -> Option<core::Address> {
    let socket = core::SocketAddress {
        address: at.ip().to_string(),
        port_specifier: Some(core::socket_address::PortSpecifier::PortValue(at.port().into())),
        ..Default::default()
    };
    Some(core::Address { address: Some(core::address::Address::SocketAddress(socket)) })
}

/// The cluster of the save nodes: endpoints over this stream, the module's retry budget, bounds and ejection.
pub fn clusters(wiring: &Wiring, endpoints: usize, proxies: usize) -> TypeSet {
    // By powers of two: each change is a message to every proxy.
    let endpoints = (endpoints as u32).max(1).next_power_of_two();
    let out =
        match wiring.attempts_out {
            Some(each) => each.saturating_mul(endpoints),
            None => (POLICY_CONSTANTS.initial_fleet_limit * f64::from(endpoints) / (proxies.max(1) as f64))
                .ceil() as u32,
        };
    let budget = cluster::circuit_breakers::thresholds::RetryBudget {
        budget_percent: Some(envoy_type::Percent { value: 100.0 * POLICY_CONSTANTS.retry_share }),
        min_retry_concurrency: number(3),
        ..Default::default()
    };
    let thresholds = cluster::circuit_breakers::Thresholds {
        max_requests: number(out),
        // Nothing waits for long at a proxy: what finds no place is answered at once.
        max_pending_requests: number(out),
        max_connections: number(out),
        retry_budget: Some(budget),
        ..Default::default()
    };
    let doubled = Micros(POLICY_CONSTANTS.eject_first.0 << POLICY_CONSTANTS.eject_doublings);
    let outliers = cluster::OutlierDetection {
        // As many failures in a row as push the module's smoothed share over its bound.
        consecutive_5xx: number(4),
        consecutive_gateway_failure: number(4),
        enforcing_consecutive_gateway_failure: number(100),
        interval: span(Micros(500_000)),
        base_ejection_time: span(POLICY_CONSTANTS.eject_first),
        max_ejection_time: span(doubled),
        max_ejection_percent: number(50),
        // Shares over the whole fleet are judged here, from all proxies' reports.
        enforcing_success_rate: number(0),
        ..Default::default()
    };
    let eds = cluster::cluster::EdsClusterConfig { eds_config: ads(), service_name: SAVE_NODES.into() };
    let own = core::config_source::ConfigSourceSpecifier::Self_(core::SelfConfigSource {
        transport_api_version: core::ApiVersion::V3 as i32,
    });
    let message = cluster::Cluster {
        name: SAVE_NODES.into(),
        cluster_discovery_type: Some(cluster::cluster::ClusterDiscoveryType::Type(
            cluster::cluster::DiscoveryType::Eds as i32,
        )),
        eds_cluster_config: Some(eds),
        connect_timeout: span(wiring.connect_timeout),
        // Weighted; least requests is not to be had with every gRPC client.
        lb_policy: cluster::cluster::LbPolicy::RoundRobin as i32,
        circuit_breakers: Some(cluster::CircuitBreakers {
            thresholds: vec![thresholds],
            ..Default::default()
        }),
        outlier_detection: Some(outliers),
        common_lb_config: Some(cluster::cluster::CommonLbConfig {
            // Guards the rule on drains: in a panic a proxy would send to what drains as well.
            healthy_panic_threshold: Some(envoy_type::Percent { value: 0.0 }),
            ..Default::default()
        }),
        lrs_server: Some(core::ConfigSource {
            resource_api_version: core::ApiVersion::V3 as i32,
            config_source_specifier: Some(own),
            ..Default::default()
        }),
        ..Default::default()
    };
    TypeSet::new([Resource::new(Kind::Cluster, SAVE_NODES, message.encode_to_vec())])
}

/// In percent of a priority's healthy servers: one in ten thousand bears all of its work.
const NOTHING_ELSE: u32 = 1_000_000;

/// The endpoints, by locality.
pub fn endpoints(picture: &FleetSnapshot) -> TypeSet {
    let full = picture.endpoints.iter().map(|e| e.weight).max().unwrap_or(1);
    let mut localities: BTreeMap<(u32, &str, &str, String), Vec<&Endpoint>> = BTreeMap::new();
    for e in &picture.endpoints {
        // gRPC clients weigh localities, not endpoints: what warms up or is on trial has one of its own.
        let lesser = e.usage == EndpointUse::Healthy && e.weight < full / 2;
        let sub = if lesser { format!("{LESSER}{}", e.id) } else { String::new() };
        localities.entry((e.priority, &e.region, &e.zone, sub)).or_default().push(e);
    }
    let groups = localities.into_iter().map(|((priority, region, zone, sub_zone), members)| {
        let usable = members.iter().filter(|e| e.usage == EndpointUse::Healthy);
        let weight: u32 = usable.map(|e| e.weight).fold(0, u32::saturating_add);
        endpoint::LocalityLbEndpoints {
            locality: Some(core::Locality { region: region.into(), zone: zone.into(), sub_zone }),
            priority,
            // gRPC leaves out a locality without a weight, as it should one of which nothing can be used.
            load_balancing_weight: (weight > 0).then_some(UInt32Value { value: weight }),
            lb_endpoints: members.into_iter().map(lb_endpoint).collect(),
            ..Default::default()
        }
    });
    let drop = endpoint::cluster_load_assignment::policy::DropOverload {
        category: "warming".into(),
        drop_percentage: Some(envoy_type::FractionalPercent {
            numerator: picture.drop_per_10000,
            denominator: envoy_type::fractional_percent::DenominatorType::TenThousand as i32,
        }),
    };
    let stands_in = picture.endpoints.iter().any(|e| e.priority > 0);
    let policy = endpoint::cluster_load_assignment::Policy {
        drop_overloads: if picture.drop_per_10000 > 0 { vec![drop] } else { Vec::new() },
        // By itself a proxy moves work on as soon as three in ten of a priority's servers can't serve. What stands in
        // is out by an order: it serves only where nothing else can.
        overprovisioning_factor: if stands_in { number(NOTHING_ELSE) } else { None },
        ..Default::default()
    };
    let message = endpoint::ClusterLoadAssignment {
        cluster_name: SAVE_NODES.into(),
        endpoints: groups.collect(),
        policy: (picture.drop_per_10000 > 0 || stands_in).then_some(policy),
        ..Default::default()
    };
    TypeSet::new([Resource::new(Kind::Endpoints, SAVE_NODES, message.encode_to_vec())])
}

/// Where an endpoint's metadata holds the server's id: filter and key.
pub const ID_METADATA: (&str, &str) = ("starlinghill", "id");

fn lb_endpoint(e: &Endpoint) -> endpoint::LbEndpoint {
    let status = match e.usage {
        EndpointUse::Healthy => core::HealthStatus::Healthy,
        EndpointUse::Ejected => core::HealthStatus::Unhealthy,
        EndpointUse::Draining => core::HealthStatus::Draining,
    };
    // Maps of one entry: their order can't differ from one process to the next.
    let id = Value { kind: Some(value::Kind::StringValue(e.id.clone())) };
    let fields = Struct { fields: HashMap::from([(ID_METADATA.1.to_string(), id)]) };
    let metadata = core::Metadata {
        filter_metadata: HashMap::from([(ID_METADATA.0.to_string(), fields)]),
        ..Default::default()
    };
    let host = endpoint::Endpoint { address: address(e.address), ..Default::default() };
    endpoint::LbEndpoint {
        health_status: status as i32,
        load_balancing_weight: number(e.weight),
        metadata: Some(metadata),
        host_identifier: Some(endpoint::lb_endpoint::HostIdentifier::Endpoint(host)),
    }
}

/// The routes, once for HTTP proxies and once for gRPC clients.
pub fn route_tables(routes: &[ClassRoute]) -> TypeSet {
    let table = |name: &str, grpc: bool| {
        let mut list: Vec<route::Route> = routes.iter().map(|r| class_route(r, grpc)).collect();
        if !grpc {
            // What names no class is answered here; nothing runs for it.
            let action = route::DirectResponseAction { status: 400, ..Default::default() };
            list.push(route::Route {
                name: "no-class".into(),
                r#match: Some(route::RouteMatch { path_specifier: prefix(), ..Default::default() }),
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
        Resource::new(Kind::Routes, name, message.encode_to_vec())
    };
    TypeSet::new([table(HTTP_ROUTES, false), table(GRPC_ROUTES, true)])
}

fn prefix() -> Option<route::route_match::PathSpecifier> {
    Some(route::route_match::PathSpecifier::Prefix("/".into()))
}

fn exact(name: &str, text: &str) -> route::HeaderMatcher {
    let pattern = matcher::string_matcher::MatchPattern::Exact(text.into());
    let text = matcher::StringMatcher { match_pattern: Some(pattern), ..Default::default() };
    route::HeaderMatcher {
        name: name.into(),
        header_match_specifier: Some(route::header_matcher::HeaderMatchSpecifier::StringMatch(text)),
        ..Default::default()
    }
}

fn class_route(class: &ClassRoute, grpc: bool) -> route::Route {
    let mut headers = vec![exact(CLASS_HEADER, &class.name)];
    if !grpc {
        headers.push(exact(":method", class.method));
    }
    let on = match (class.retry_on, grpc) {
        // Turned away unseen, or never there: safe whatever the class.
        (RetryOn::NeverRan, false) => "connect-failure,refused-stream,retriable-headers",
        (RetryOn::Failed, false) => "5xx,reset,connect-failure,refused-stream,retriable-headers",
        // A gRPC status does not tell whether the call ran.
        (RetryOn::NeverRan, true) => "",
        (RetryOn::Failed, true) => "unavailable",
    };
    let elsewhere = route::retry_policy::RetryHostPredicate {
        name: "envoy.retry_host_predicates.previous_hosts".into(),
        config_type: Some(route::retry_policy::retry_host_predicate::ConfigType::TypedConfig(Any {
            type_url:
                "type.googleapis.com/envoy.extensions.retry.host.previous_hosts.v3.PreviousHostsPredicate"
                    .into(),
            value: Vec::new(),
        })),
    };
    let back_off = route::retry_policy::RetryBackOff {
        base_interval: span(Micros(25_000)),
        max_interval: span(Micros(250_000)),
    };
    let retry = route::RetryPolicy {
        retry_on: on.into(),
        // `num_retries` counts further attempts; none goes out while one is, as hedging stays off.
        num_retries: number(class.retries),
        per_try_timeout: class.per_try.and_then(span),
        retry_host_predicate: if grpc { Vec::new() } else { vec![elsewhere] },
        host_selection_retry_max_attempts: if grpc { 0 } else { 3 },
        retriable_headers: if grpc { Vec::new() } else { vec![exact("x-rejected", "1")] },
        retry_back_off: Some(back_off),
        ..Default::default()
    };
    let action = route::RouteAction {
        cluster_specifier: Some(route::route_action::ClusterSpecifier::Cluster(SAVE_NODES.into())),
        timeout: span(class.timeout),
        max_stream_duration: grpc.then(|| route::route_action::MaxStreamDuration {
            max_stream_duration: span(class.timeout),
            ..Default::default()
        }),
        retry_policy: (class.retries > 0 && !on.is_empty()).then_some(retry),
        ..Default::default()
    };
    route::Route {
        name: class.name.clone(),
        r#match: Some(route::RouteMatch { path_specifier: prefix(), headers, ..Default::default() }),
        action: Some(route::route::Action::Route(action)),
        ..Default::default()
    }
}

/// The listeners of one node: the one that gRPC clients name, and, if it has an address, an HTTP one.
pub fn listeners(node: &str, listen: Option<SocketAddr>, wiring: &Wiring) -> TypeSet {
    let manager = |routes: &str, filters: Vec<hcm::HttpFilter>| hcm::HttpConnectionManager {
        stat_prefix: "starlinghill".into(),
        route_specifier: Some(hcm::http_connection_manager::RouteSpecifier::Rds(hcm::Rds {
            config_source: ads(),
            route_config_name: routes.into(),
        })),
        http_filters: filters,
        ..Default::default()
    };
    let router = || hcm::HttpFilter {
        name: "envoy.filters.http.router".into(),
        config_type: Some(hcm::http_filter::ConfigType::TypedConfig(any(&Router::default()))),
        ..Default::default()
    };
    let grpc = listener::Listener {
        name: GRPC_LISTENER.into(),
        api_listener: Some(listener::ApiListener {
            api_listener: Some(any(&manager(GRPC_ROUTES, vec![router()]))),
        }),
        ..Default::default()
    };
    let mut list = vec![Resource {
        by_name_only: true,
        ..Resource::new(Kind::Listener, GRPC_LISTENER, grpc.encode_to_vec())
    }];
    if let Some(at) = listen {
        let mut filters: Vec<hcm::HttpFilter> =
            wiring.quotas.iter().map(|quotas| quota_filter(node, quotas)).collect();
        filters.push(router());
        let chain = listener::FilterChain {
            filters: vec![listener::Filter {
                name: "envoy.filters.network.http_connection_manager".into(),
                config_type: Some(listener::filter::ConfigType::TypedConfig(any(&manager(
                    HTTP_ROUTES,
                    filters,
                )))),
            }],
            ..Default::default()
        };
        let http = listener::Listener {
            name: HTTP_LISTENER.into(),
            address: address(at),
            filter_chains: vec![chain],
            ..Default::default()
        };
        list.push(Resource::new(Kind::Listener, HTTP_LISTENER, http.encode_to_vec()));
    }
    TypeSet::new(list)
}

/// The filter that keeps slices of quotas (`envoy.filters.http.rate_limit_quota`).
fn quota_filter(node: &str, wiring: &QuotaWiring) -> hcm::HttpFilter {
    let deny = envoy_type::RateLimitStrategy {
        strategy: Some(envoy_type::rate_limit_strategy::Strategy::BlanketRule(
            envoy_type::rate_limit_strategy::BlanketRule::DenyAll as i32,
        )),
    };
    use quota::rate_limit_quota_bucket_settings as settings;
    let value_of = |key: &str, header: &str| {
        let input = matcher::HttpRequestHeaderMatchInput { header_name: header.into() };
        let custom = core::TypedExtensionConfig { name: key.into(), typed_config: Some(any(&input)) };
        let builder = settings::bucket_id_builder::ValueBuilder {
            value_specifier: Some(settings::bucket_id_builder::value_builder::ValueSpecifier::CustomValue(
                custom,
            )),
        };
        settings::BucketIdBuilder { bucket_id_builder: HashMap::from([(key.to_string(), builder)]) }
    };
    let advice = core::HeaderValueOption {
        header: Some(core::HeaderValue {
            key: "retry-after".into(),
            value: "1".into(),
            ..Default::default()
        }),
        ..Default::default()
    };
    let denied = settings::DenyResponseSettings {
        http_status: Some(envoy_type::HttpStatus { code: envoy_type::StatusCode::TooManyRequests as i32 }),
        response_headers_to_add: vec![advice],
        ..Default::default()
    };
    let bucket = quota::RateLimitQuotaBucketSettings {
        bucket_id_builder: Some(value_of("customer", &wiring.customer_header)),
        reporting_interval: span(wiring.interval),
        deny_response_settings: Some(denied),
        // Without a slice nothing goes on: whoever let it through would let it through beside all slices.
        no_assignment_behavior: Some(settings::NoAssignmentBehavior {
            no_assignment_behavior: Some(
                settings::no_assignment_behavior::NoAssignmentBehavior::FallbackRateLimit(deny),
            ),
        }),
        expired_assignment_behavior: Some(settings::ExpiredAssignmentBehavior {
            expired_assignment_behavior_timeout: None,
            expired_assignment_behavior: Some(
                settings::expired_assignment_behavior::ExpiredAssignmentBehavior::FallbackRateLimit(deny),
            ),
        }),
    };
    // A map of several entries has no order of its own in memory. Messages that stand one behind another are
    // merged by whoever reads them, so each entry is written as a message of its own, in this order.
    let mut bytes = bucket.encode_to_vec();
    for (key, header) in [("plan", &wiring.plan_header), ("units", &wiring.units_header)] {
        let more = quota::RateLimitQuotaBucketSettings {
            bucket_id_builder: Some(value_of(key, header)),
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
            core::grpc_service::EnvoyGrpc { cluster_name: wiring.cluster.clone(), ..Default::default() },
        )),
        initial_metadata: vec![core::HeaderValue {
            key: NODE_KEY.into(),
            value: node.into(),
            ..Default::default()
        }],
        ..Default::default()
    };
    let config = quota::RateLimitQuotaFilterConfig {
        rlqs_server: Some(service),
        domain: DOMAIN.into(),
        bucket_matchers: Some(tree::Matcher { on_no_match: Some(Box::new(on_match)), matcher_type: None }),
        ..Default::default()
    };
    hcm::HttpFilter {
        name: "envoy.filters.http.rate_limit_quota".into(),
        config_type: Some(hcm::http_filter::ConfigType::TypedConfig(any(&config))),
        ..Default::default()
    }
}
