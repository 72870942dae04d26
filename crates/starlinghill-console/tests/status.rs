//! The overview, the explanations and the differences that the console shows.

use starlinghill_catalog::{BackendState, Gateway, Instance, Liveness, Observation};
use starlinghill_config_model::items::versions_digest;
use starlinghill_config_model::{ConfigChange, Item, ItemKind, VersionHistory};
use starlinghill_console::explain::{differences, explain, item_set, RequestQuery};
use starlinghill_console::status::Overview;
use starlinghill_decision::api::CustomerId;
use starlinghill_decision::bucket_name;
use starlinghill_quota_counter::BackendLoad;
use starlinghill_registry::wire::{CounterStatus, RegistryStatus};
use std::net::{IpAddr, SocketAddr};
use test_case::test_case;
use xxhash_rust::xxh3::xxh3_64;

const ITEMS: &str = r#"{"customers":[{"name":"studio","api_keys":["k-1"],"priority":0,"rate_per_s":10,"burst":10,
    "version":"r7"}],"ports":[{"hostname":"a.example","policy":[{"name":"r-1","kind":"mutating","target_time":"400ms",
    "priority":1,"public":false,"version":"r7","when":{"path_prefix":"/x/"},"then":{"split":[
    {"service":"ledger","weight":9},{"service":"lobby","weight":1}],"timeout":"2s","tries":2}}]}],"groups":[
    {"name":"ledger","health_path":"/h","max_conns":1,"protocol":"h1","tls":false,"version":"r7"},
    {"name":"lobby","health_path":"/h","max_conns":1,"protocol":"h1","tls":false,"version":"r7"}]}"#;

fn items() -> simd_json::OwnedValue {
    simd_json::to_owned_value(&mut ITEMS.as_bytes().to_vec()).unwrap_or_default()
}

fn ip(last: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, last])
}

fn seen(id: &str, state: BackendState, liveness: Liveness) -> (Observation, u64) {
    let (version, zone, service) = ("v1".into(), "a".into(), "ledger".into());
    let address = SocketAddr::new(ip(9), 80);
    let instance = Instance {
        id: id.into(),
        service,
        address,
        zone,
        version,
        capacity: 2,
        state,
        beat_count: 1,
        warm_at_us: 0,
    };
    (Observation { instance, liveness }, 5)
}

fn item(name: &str, version: u64) -> Item {
    let (host, body) = ("a".into(), Some("{}".into()));
    Item { kind: ItemKind::Route, name: name.into(), version, host, body, history: VersionHistory::default() }
}

fn status(registry: u8, items: &[Item]) -> RegistryStatus {
    let gateway = Gateway { ip: ip(20), incarnation: 1, zone: "a".into(), node: "edge-1".into() };
    let list = items.iter().map(|item| (item.kind, item.name.clone(), item.version, true)).collect();
    RegistryStatus {
        members: Default::default(),
        ip: ip(registry),
        incarnation: 1,
        time: 0,
        has_quorum_contact: true,
        items: list,
        items_digest: versions_digest(items.iter()),
        backends: vec![seen("i-1", BackendState::Ready, Liveness::Alive)],
        gateways: vec![(gateway, 100, versions_digest([item("r-1", 8)].iter()))],
        counter_holder: Some((3, ip(1))),
        counter: None,
    }
}

fn at(registry: u8) -> SocketAddr {
    SocketAddr::new(ip(registry), 7560)
}

#[test_case("b.example", "/x/1", None, "404"; "no route")]
#[test_case("a.example", "/x/1", Some("k-9"), "401"; "unknown key")]
#[test_case("a.example", "/x/1", Some("k-1"), "429 for most"; "over its quota")]
#[test_case("a.example", "/x/1", Some("k-1"), "service ledger: 90 percent, 1 backends ready"; "a service with a backend")]
#[test_case("a.example", "/x/1", Some("k-1"), "service lobby: 10 percent, 0 backends ready, 0 draining - 503";
    "a service without backends")]
fn the_explanation_of_a_request_names_the_cause(host: &str, path: &str, key: Option<&str>, wanted: &str) {
    let mut status = status(1, &[]);
    let store = bucket_name(CustomerId(xxh3_64(b"studio"))).0;
    status.counter = Some(CounterStatus {
        silent_gateways: 0,
        token_buckets: vec![(store, 0.2, 10.0, 55.0)],
        backend_loads: Vec::new(),
    });
    let lines = explain(&items(), &[status], RequestQuery { host, path, key }).unwrap_or_default();
    assert!(lines.iter().any(|line| line.contains(wanted)), "{lines:#?}");
}

#[test]
fn a_gateway_is_current_only_if_it_applies_the_newest_items_of_any_registry() {
    let newest = [item("r-1", 8)];
    let old = status(2, &[item("r-1", 7)]);
    let all = [(at(1), Some(status(1, &newest))), (at(2), Some(old.clone())), (at(3), None)];
    let overview = Overview::of(&all);
    assert!(overview.gateways[&ip(20)].current && overview.registries[2].1.is_none());
    let mut behind = status(1, &newest);
    behind.gateways[0].2 = old.items_digest;
    assert!(!Overview::of(&[(at(1), Some(behind))]).gateways[&ip(20)].current);
}

#[test]
fn a_backend_drains_if_any_registry_says_so_and_is_silent_only_if_all_do() {
    let (mut one, mut two) = (status(1, &[]), status(2, &[]));
    one.backends = vec![
        seen("i-1", BackendState::Draining, Liveness::Alive),
        seen("i-2", BackendState::Ready, Liveness::Silent),
    ];
    two.backends = vec![
        seen("i-1", BackendState::Ready, Liveness::Alive),
        seen("i-2", BackendState::Ready, Liveness::Alive),
    ];
    let overview = Overview::of(&[(at(1), Some(one)), (at(2), Some(two))]);
    let ledger = &overview.services["ledger"];
    assert!(ledger.draining.contains("i-1") && !ledger.ready.contains("i-1"));
    assert!(ledger.ready.contains("i-2") && ledger.silent.is_empty());
}

#[test]
fn slow_and_failing_backends_are_listed_as_the_quota_counter_reports_them() {
    let mut status = status(1, &[]);
    status.backends =
        (1..=3).map(|i| seen(&format!("i-{i}"), BackendState::Ready, Liveness::Alive)).collect();
    let before = Overview::of(&[(at(1), Some(status.clone()))]);
    let load = |i: usize, slow: f32, ill: f32| {
        let backend = status.backends[i].0.instance.id_hash();
        BackendLoad { backend, outstanding: 2, capacity: 3, slowdown: slow, failure_rate: ill }
    };
    let unknown = BackendLoad { backend: 7, outstanding: 9, capacity: 9, slowdown: 9.0, failure_rate: 1.0 };
    let rooms = vec![load(0, 1.0, 0.0), load(1, 2.5, 0.1), load(2, 0.8, 0.4), unknown];
    status.counter =
        Some(CounterStatus { silent_gateways: 0, token_buckets: Vec::new(), backend_loads: rooms });
    let after = Overview::of(&[(at(1), Some(status))]);
    let ledger = &after.services["ledger"];
    assert_eq!((ledger.outstanding, ledger.capacity), (6, 9));
    assert!(ledger.slow.iter().eq(["i-2"]) && ledger.failing.iter().eq(["i-3"]), "{ledger:?}");
    let lines = after.changes(&before);
    for wanted in ["i-2 is slow", "attempts at i-3 fail"] {
        assert!(lines.iter().any(|line| line.contains(wanted)), "{wanted}: {lines:#?}");
    }
}

#[test]
fn each_change_between_two_overviews_gets_a_line_and_no_change_gets_none() {
    let before = Overview::of(&[(at(1), Some(status(1, &[item("r-1", 7)])))]);
    let mut next = status(1, &[item("r-1", 8)]);
    next.backends = vec![seen("i-1", BackendState::Draining, Liveness::Alive)];
    next.counter_holder = Some((4, ip(2)));
    next.gateways[0].0.incarnation = 2;
    let after = Overview::of(&[(at(1), Some(next))]);
    let lines = after.changes(&before);
    for wanted in ["edge-1 has restarted", "i-1 drains", "r-1 set in r8", "runs at 10.0.0.2, term 4"] {
        assert!(lines.iter().any(|line| line.contains(wanted)), "{wanted}: {lines:#?}");
    }
    assert!(after.changes(&after).is_empty());
}

#[test]
fn the_difference_to_a_file_shows_the_old_and_the_new_version() {
    let current = item_set(&items()).unwrap_or_default();
    let change = r#"{"upsert":{},"remove":{"routes":[{"name":"r-1","version":"r9"}]}}"#;
    let next = ConfigChange::parse(change.as_bytes())
        .and_then(|change| current.with_change(&change))
        .unwrap_or_default();
    assert_eq!(differences(&current, &next), ["- Route r-1 r7", "+ Route r-1 r9 dropped"]);
}
