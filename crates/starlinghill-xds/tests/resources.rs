//! Decodes the built resources as a proxy does and checks their content.

use envoy_types::pb::envoy::config::cluster::v3::Cluster;
use envoy_types::pb::envoy::config::core::v3::HealthStatus;
use envoy_types::pb::envoy::config::endpoint::v3::ClusterLoadAssignment;
use envoy_types::pb::envoy::config::listener::v3::{filter::ConfigType, Listener};
use envoy_types::pb::envoy::config::route::v3::{route::Action, RouteConfiguration};
use envoy_types::pb::envoy::extensions::filters::http::rate_limit_quota::v3::{
    RateLimitQuotaBucketSettings, RateLimitQuotaFilterConfig,
};
use envoy_types::pb::envoy::extensions::filters::network::http_connection_manager::v3::{
    http_filter, HttpConnectionManager,
};
use envoy_types::pb::google::protobuf::{value::Kind, ListValue, Value};
use envoy_types::pb::xds::r#type::matcher::v3::matcher::on_match::OnMatch;
use prost::Message;
use starlinghill_control_state::fleet::{Endpoint, EndpointUse, FleetSnapshot};
use starlinghill_control_state::routes::{ClassRoute, RetryOn};
use starlinghill_decision::api::Micros;
use starlinghill_xds::resources::*;

fn settings(quotas: bool) -> ResourceSettings {
    let quotas = quotas.then(|| QuotaFilterSettings {
        cluster: "control".into(),
        customer_header: "x-customer".into(),
        plan_header: "x-plan".into(),
        units_header: "x-units".into(),
        interval: Micros(250_000),
    });
    ResourceSettings { connect_timeout: Micros(250_000), attempts_per_endpoint: Some(10), quotas }
}

fn endpoint(id: &str, port: u16, usage: EndpointUse, weight: u32) -> Endpoint {
    Endpoint {
        id: id.into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "a".into(),
        usage,
        weight,
        region: String::new(),
        priority: 0,
    }
}

fn decode_resource<M: Message + Default>(set: TypeSet, kind: ResourceKind, name: &str) -> M {
    let empty = || std::sync::Arc::new(TypeSet::default());
    let mut types = [empty(), empty(), empty(), empty()];
    types[kind as usize] = std::sync::Arc::new(set);
    let set = ResourceSet::new(types);
    let resource = set.get(kind, name).expect("present");
    assert_eq!(resource.body.type_url, kind.type_url());
    M::decode(resource.body.value.as_slice()).expect("a valid message")
}

#[test]
fn endpoints_hold_health_weight_and_the_share_of_requests_to_drop() {
    let snapshot = FleetSnapshot {
        endpoints: vec![
            endpoint("s-0", 1, EndpointUse::Healthy, 1000),
            endpoint("s-1", 2, EndpointUse::Draining, 1000),
            endpoint("s-2", 3, EndpointUse::Ejected, 1000),
            endpoint("s-3", 4, EndpointUse::Healthy, 170),
        ],
        drop_per_10000: 2_500,
    };
    let all: ClusterLoadAssignment =
        decode_resource(endpoints(&snapshot), ResourceKind::Endpoints, SAVE_NODES);
    let localities: Vec<(String, Option<u32>, usize)> = all
        .endpoints
        .iter()
        .map(|l| {
            let locality = l.locality.clone().expect("a locality");
            (locality.sub_zone, l.load_balancing_weight.map(|w| w.value), l.lb_endpoints.len())
        })
        .collect();
    // Draining and ejected servers add no weight to their locality; a server that warms up has its own locality.
    assert_eq!(localities, [(String::new(), Some(1000), 3), ("lesser-s-3".into(), Some(170), 1)]);
    let health: Vec<i32> = all.endpoints[0].lb_endpoints.iter().map(|e| e.health_status).collect();
    let wanted = [HealthStatus::Healthy, HealthStatus::Draining, HealthStatus::Unhealthy];
    assert_eq!(health, wanted.map(|h| h as i32));
    let drop = &all.policy.expect("a policy").drop_overloads[0];
    assert_eq!(drop.drop_percentage.expect("a part").numerator, 2_500);
    let empty: ClusterLoadAssignment =
        decode_resource(endpoints(&FleetSnapshot::default()), ResourceKind::Endpoints, SAVE_NODES);
    assert!(empty.endpoints.is_empty() && empty.policy.is_none());
}

#[test]
fn failover_servers_have_a_lower_priority_and_get_no_requests_while_another_server_is_healthy() {
    let failover = |id: &str, port, zone: &str, region: &str, priority| Endpoint {
        zone: zone.into(),
        region: region.into(),
        priority,
        ..endpoint(id, port, EndpointUse::Healthy, 1000)
    };
    let local = Endpoint { region: "east".into(), ..endpoint("s-0", 1, EndpointUse::Ejected, 1000) };
    let snapshot = FleetSnapshot {
        endpoints: vec![
            local.clone(),
            failover("s-1", 2, "b", "east", 1),
            failover("s-2", 3, "c", "west", 2),
        ],
        drop_per_10000: 0,
    };
    let all: ClusterLoadAssignment =
        decode_resource(endpoints(&snapshot), ResourceKind::Endpoints, SAVE_NODES);
    let priorities: Vec<(u32, String, String)> = all
        .endpoints
        .iter()
        .map(|l| {
            let locality = l.locality.clone().expect("a locality");
            (l.priority, locality.region, locality.zone)
        })
        .collect();
    let priorities: Vec<(u32, &str, &str)> =
        priorities.iter().map(|(p, r, z)| (*p, r.as_str(), z.as_str())).collect();
    assert_eq!(priorities, [(0, "east", "a"), (1, "east", "b"), (2, "west", "c")]);
    let policy = all.policy.expect("a policy");
    assert!(policy.drop_overloads.is_empty());
    // A proxy multiplies a priority's healthy share by this percentage: one healthy server in a hundred is enough.
    assert!(policy.overprovisioning_factor.is_some_and(|f| f.value >= 10_000));
    let alone: ClusterLoadAssignment = decode_resource(
        endpoints(&FleetSnapshot { endpoints: vec![local], drop_per_10000: 0 }),
        ResourceKind::Endpoints,
        SAVE_NODES,
    );
    assert!(alone.policy.is_none());
}

#[test]
fn a_locality_without_usable_servers_has_no_weight() {
    let snapshot =
        FleetSnapshot { endpoints: vec![endpoint("s-1", 2, EndpointUse::Draining, 1000)], drop_per_10000: 0 };
    let all: ClusterLoadAssignment =
        decode_resource(endpoints(&snapshot), ResourceKind::Endpoints, SAVE_NODES);
    assert_eq!(all.endpoints[0].load_balancing_weight, None);
}

#[test]
fn a_proxy_never_uses_draining_servers_in_panic_mode_and_keeps_the_gateways_bounds() {
    let cluster: Cluster =
        decode_resource(clusters(&settings(false), 12, 3), ResourceKind::Cluster, SAVE_NODES);
    let lb = cluster.common_lb_config.expect("present");
    assert_eq!(lb.healthy_panic_threshold.map(|p| p.value), Some(0.0));
    let thresholds = &cluster.circuit_breakers.expect("present").thresholds[0];
    assert_eq!(
        thresholds.max_requests.map(|n| n.value),
        Some(160),
        "ten attempts at each of sixteen servers"
    );
    let own = ResourceSettings { attempts_per_endpoint: None, ..settings(false) };
    let cluster_by_bounds: Cluster =
        decode_resource(clusters(&own, 12, 3), ResourceKind::Cluster, SAVE_NODES);
    let by_bounds = &cluster_by_bounds.circuit_breakers.expect("present").thresholds[0];
    assert_eq!(
        by_bounds.max_requests.map(|n| n.value),
        Some(32),
        "six attempts at each of sixteen servers, divided by three proxies"
    );
    let budget = thresholds.retry_budget.as_ref().expect("present");
    assert_eq!(budget.budget_percent.map(|p| p.value), Some(20.0));
    let outliers = cluster.outlier_detection.expect("present");
    assert_eq!(outliers.base_ejection_time.map(|t| t.seconds), Some(1));
    assert_eq!(outliers.max_ejection_time.map(|t| t.seconds), Some(8));
    assert_eq!(
        clusters(&settings(false), 9, 3),
        clusters(&settings(false), 16, 3),
        "adding a server does not change the cluster"
    );
}

#[test]
fn routes_allow_three_attempts_at_most_and_never_two_at_once() {
    let class = |name: &str, method, retry_on| ClassRoute {
        name: name.into(),
        method,
        timeout: Micros(4_000_000),
        per_try: (retry_on == RetryOn::Failed).then_some(Micros(700_000)),
        retries: 2,
        retry_on,
    };
    let list = [class("look", "GET", RetryOn::Failed), class("once", "POST", RetryOn::NeverRan)];
    for (name, grpc) in [(HTTP_ROUTES, false), (GRPC_ROUTES, true)] {
        let table: RouteConfiguration = decode_resource(route_tables(&list), ResourceKind::Routes, name);
        let host = &table.virtual_hosts[0];
        assert!(host.retry_policy.is_none() && host.hedge_policy.is_none());
        assert_eq!(host.routes.len(), if grpc { 2 } else { 3 });
        for (route, class) in host.routes.iter().zip(&list) {
            let headers = &route.r#match.as_ref().expect("a match").headers;
            assert_eq!(headers.len(), if grpc { 1 } else { 2 }, "class, and for HTTP the method");
            let Some(Action::Route(action)) = &route.action else { panic!("a route action") };
            assert!(action.hedge_policy.is_none(), "no overlapping attempts");
            assert_eq!(action.timeout.map(|t| t.seconds), Some(4));
            let Some(retry) = &action.retry_policy else {
                assert!(
                    grpc && class.retry_on == RetryOn::NeverRan,
                    "a gRPC status does not tell whether the call ran"
                );
                continue;
            };
            assert_eq!(retry.num_retries.map(|n| n.value), Some(2));
            if class.retry_on == RetryOn::NeverRan {
                assert_eq!(retry.retry_on, "connect-failure,refused-stream,retriable-headers");
                assert_eq!(retry.retriable_headers[0].name, "x-rejected");
                assert!(retry.per_try_timeout.is_none());
            }
        }
        if let Some(last) = host.routes.get(2) {
            assert!(
                matches!(&last.action, Some(Action::DirectResponse(r)) if r.status == 400),
                "a request without a class is rejected"
            );
        }
    }
}

fn manager(listener: &Listener) -> HttpConnectionManager {
    let filter = &listener.filter_chains[0].filters[0];
    let Some(ConfigType::TypedConfig(config)) = &filter.config_type else { panic!("a configuration") };
    HttpConnectionManager::decode(config.value.as_slice()).expect("a valid message")
}

#[test]
fn the_quota_filter_builds_ids_from_customer_plan_and_units_and_denies_requests_without_an_assignment() {
    let at = ([127, 0, 0, 1], 8080).into();
    let listener: Listener = decode_resource(
        listeners("edge-1", Some(at), &settings(true)),
        ResourceKind::Listener,
        HTTP_LISTENER,
    );
    let filters = manager(&listener).http_filters;
    assert_eq!(filters.len(), 2, "the quota filter, then the router");
    let Some(http_filter::ConfigType::TypedConfig(config)) = &filters[0].config_type else { panic!("typed") };
    let config = RateLimitQuotaFilterConfig::decode(config.value.as_slice()).expect("a valid message");
    assert_eq!(config.domain, QUOTA_DOMAIN);
    assert_eq!(config.rlqs_server.expect("present").initial_metadata[0].value, "edge-1");
    let matcher = config.bucket_matchers.expect("present").on_no_match.expect("present");
    let Some(OnMatch::Action(action)) = matcher.on_match else { panic!("an action") };
    let bytes = action.typed_config.expect("present").value;
    let bucket_settings = RateLimitQuotaBucketSettings::decode(bytes.as_slice()).expect("a valid message");
    let mut keys: Vec<String> =
        bucket_settings.bucket_id_builder.expect("present").bucket_id_builder.into_keys().collect();
    keys.sort();
    assert_eq!(keys, ["customer", "plan", "units"], "separately written entries are read as one map");
    assert!(
        bucket_settings.no_assignment_behavior.is_some()
            && bucket_settings.expired_assignment_behavior.is_some()
    );
    assert_eq!(
        bucket_settings.deny_response_settings.expect("present").http_status.map(|s| s.code),
        Some(429)
    );
    let plain: Listener = decode_resource(
        listeners("edge-1", Some(at), &settings(false)),
        ResourceKind::Listener,
        HTTP_LISTENER,
    );
    assert_eq!(manager(&plain).http_filters.len(), 1);
}

#[test]
fn equal_input_gives_equal_encoding() {
    let at = Some(([127, 0, 0, 1], 8080).into());
    assert_eq!(listeners("edge-1", at, &settings(true)), listeners("edge-1", at, &settings(true)));
    assert_ne!(listeners("edge-1", at, &settings(true)), listeners("edge-2", at, &settings(true)));
}

/// Guards against a request whose metadata ends the control service by an overflow of the stack.
#[test]
fn metadata_that_is_nested_very_deeply_is_refused() {
    // A list that holds one value, as its bytes: the tag of the field and the length of what is inside.
    let list_in = |inner: &[u8]| {
        let mut values = vec![0x0a];
        prost::encoding::encode_varint(inner.len() as u64, &mut values);
        values.extend(inner);
        let mut value = vec![0x32];
        prost::encoding::encode_varint(values.len() as u64, &mut value);
        value.extend(values);
        value
    };
    let mut bytes = Value { kind: Some(Kind::ListValue(ListValue::default())) }.encode_to_vec();
    (0..20).for_each(|_| bytes = list_in(&bytes));
    assert!(Value::decode(bytes.as_slice()).is_ok(), "the bytes are those of lists in each other");
    (0..5_000).for_each(|_| bytes = list_in(&bytes));
    let refused = Value::decode(bytes.as_slice()).map(drop);
    assert!(refused.as_ref().is_err_and(|error| error.to_string().contains("recursion")), "{refused:?}");
}
