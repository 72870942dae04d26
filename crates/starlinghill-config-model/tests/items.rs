//! Orders of operators: which are accepted, which are refused, and the routes that result.

use starlinghill_config_model::{ChangeError, ConfigChange, Item, ItemSet, RoutingTable};
use test_case::test_case;

fn route(name: &str, version: u64, host: &str, prefix: &str, service: &str) -> String {
    format!(
        r#"{{"hostname":"{host}","policy":[{{"name":"{name}","kind":"safe","target_time":"400ms","priority":2,
        "public":false,"version":"r{version}","when":{{"path_prefix":"{prefix}"}},
        "then":{{"service":"{service}","timeout":"2500ms","tries":2}}}}]}}"#
    )
}

fn service(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","health_path":"/h","max_conns":130,"protocol":"h1","tls":false,"version":"r1"}}"#
    )
}

fn customer(name: &str, version: u64, key: &str) -> String {
    format!(
        r#"{{"name":"{name}","api_keys":["{key}"],"priority":0,"rate_per_s":94,"burst":94,"version":"r{version}"}}"#
    )
}

fn order(ports: &[String], customers: &[String], groups: &[String], remove: &str) -> String {
    format!(
        r#"{{"upsert":{{"ports":[{}],"customers":[{}],"groups":[{}]}},"remove":{{{remove}}}}}"#,
        ports.join(","),
        customers.join(","),
        groups.join(",")
    )
}

fn apply(items: &ItemSet, body: &str) -> Result<ItemSet, ChangeError> {
    items.with_change(&ConfigChange::parse(body.as_bytes())?)
}

fn base() -> ItemSet {
    let body = order(
        &[route("r-1", 7, "a.example", "/x/", "lobby"), route("r-2", 7, "a.example", "/x/y/", "ledger")],
        &[customer("t-1", 7, "k-1"), customer("t-2", 7, "k-2")],
        &[service("lobby"), service("ledger")],
        "",
    );
    apply(&ItemSet::default(), &body).unwrap_or_else(|error| panic!("{error}"))
}

#[test_case(&order(&[route("r-3", 9, "a.example", "/z/", "nowhere")], &[], &[], ""); "unknown service")]
#[test_case(&order(&[route("r-3", 9, "a.example", "/x/", "lobby")], &[], &[], ""); "same host and prefix")]
#[test_case(&order(&[route("r-3", 9, "A.Example", "/x/", "lobby")], &[], &[], ""); "same host in capitals")]
#[test_case(&order(&[route("r-3", 9, "", "/z/", "lobby")], &[], &[], ""); "no host")]
#[test_case(&order(&[route("r-3", 9, "a.example", "z/", "lobby")], &[], &[], ""); "prefix without a slash")]
#[test_case(&order(&[], &[customer("t-3", 9, "k-1")], &[], ""); "a key of another customer")]
#[test_case(&order(&[], &[], &[], r#""services":[{"name":"lobby","version":"r9"}]"#); "removal of a service in use")]
#[test_case(r#"{"upsert":{"ports":[{"hostname":"a.example","policy":[{"na"#; "JSON that is cut short")]
#[test_case(&order(&[route("r-3", 9, "a.example", "/z/", "lobby")], &[], &[], "").replace("\"tries\":2", "\"tries\":0");
    "0 tries")]
#[test_case(&order(&[route("r-3", 9, "a.example", "/z/", "lobby")], &[], &[], "").replace("\"service\":\"lobby\"",
    "\"split\":[{\"service\":\"lobby\",\"weight\":0}]"); "weights that sum to 0")]
#[test_case(&order(&[route("r-3", 9, "a.example", "/z/", "lobby")], &[], &[], "").replace("\"r9\"", "\"9\""); "no version")]
#[test_case(&order(&[route("r-3", 9, "a.example", "/z/", "lobby")], &[], &[], "").replace("\"2500ms\"", "\"soon\"");
    "a timeout that is no duration")]
fn an_invalid_order_is_refused_as_a_whole(body: &str) {
    let error = apply(&base(), body).err();
    assert!(matches!(error, Some(ChangeError::Invalid { .. })), "{error:?}");
}

#[test]
fn a_version_is_never_confirmed_with_a_second_content() {
    let items = base();
    // The same content under the same version again: accepted, and nothing changes.
    let repeat = order(&[route("r-1", 7, "a.example", "/x/", "lobby")], &[], &[], "");
    let same = apply(&items, &repeat).unwrap_or_else(|error| panic!("{error}"));
    assert!(same.differing_items(&items).is_empty());
    let other = order(&[route("r-1", 7, "a.example", "/x/", "ledger")], &[], &[], "");
    assert!(matches!(apply(&items, &other), Err(ChangeError::VersionConflict { version: 7, .. })));
    let removal = order(&[], &[], &[], r#""routes":[{"name":"r-1","version":"r7"}]"#);
    assert!(matches!(apply(&items, &removal), Err(ChangeError::VersionConflict { version: 7, .. })));
}

#[test]
fn an_older_version_has_no_effect_not_even_on_a_removed_item() {
    let items = base();
    let removal_order = order(&[], &[], &[], r#""routes":[{"name":"r-1","version":"r9"}]"#);
    let items = apply(&items, &removal_order).unwrap_or_else(|error| panic!("{error}"));
    let old = order(&[route("r-1", 8, "a.example", "/x/", "ledger")], &[], &[], "");
    let same = apply(&items, &old).unwrap_or_else(|error| panic!("{error}"));
    let current_items = |items: &ItemSet| -> Vec<Item> {
        items.items().map(|parsed| parsed.item.without_history()).collect()
    };
    assert_eq!(current_items(&same), current_items(&items));
    // Only the history has changed: the older version is confirmed from now on.
    assert!(apply(&same, &old).is_ok_and(|repeat| repeat.differing_items(&same).is_empty()));
    assert!(RoutingTable::from_items(&same).route("a.example", "/x/1").is_none());
}

#[test]
fn copies_of_items_merge_to_the_same_set_in_any_order() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut items: Vec<Item> = base().items().map(|parsed| parsed.item.clone()).collect();
        for version in 8..12 {
            let change = order(&[route("r-1", version, "a.example", "/x/", "ledger")], &[], &[], "");
            let change = ConfigChange::parse(change.as_bytes()).unwrap_or_else(|error| panic!("{error}"));
            items.extend(change.items.iter().map(|parsed| parsed.item.clone()));
        }
        let expected = ItemSet::from_items(items.clone());
        rng.shuffle(&mut items);
        let mut merged = ItemSet::default();
        items.chunks(3).for_each(|chunk| drop(merged.merge(chunk.to_vec())));
        assert!(
            merged.differing_items(&expected).is_empty() && expected.differing_items(&merged).is_empty(),
            "seed {seed}"
        );
    }
}

#[test]
fn of_two_versions_of_one_item_in_an_order_the_higher_one_takes_effect() {
    let routes = [route("r-1", 9, "b.example", "/x/", "lobby"), route("r-1", 8, "a.example", "/x/", "lobby")];
    let items = apply(&base(), &order(&routes, &[], &[], "")).unwrap_or_else(|error| panic!("{error}"));
    let table = RoutingTable::from_items(&items);
    assert!(table.route("b.example", "/x/1").is_some() && table.route("a.example", "/x/1").is_none());
}

#[test_case("a.example", "/x/1", Some("r-1"); "a path with the prefix")]
#[test_case("A.EXAMPLE:8080", "/x/1", Some("r-1"); "a host in capitals, with a port")]
#[test_case("a.example", "/x/y/1", Some("r-2"); "the longest of two prefixes")]
#[test_case("a.example", "/x", None; "a path without the prefix")]
#[test_case("b.example", "/x/1", None; "another host")]
fn a_request_takes_the_route_of_its_host_with_the_longest_matching_prefix(
    host: &str,
    path: &str,
    name: Option<&str>,
) {
    let table = RoutingTable::from_items(&base());
    assert_eq!(table.route(host, path).map(|route| route.name.as_str()), name);
}

#[test]
fn the_items_are_returned_in_a_form_that_can_be_sent_again() {
    let text = base().upsert_json();
    // Sending it again is a repeat of all six items, which changes nothing.
    let repeat = ConfigChange::parse(format!("{{\"upsert\":{text}}}").as_bytes());
    let repeat = repeat.unwrap_or_else(|error| panic!("{error}"));
    let items = base().with_change(&repeat).unwrap_or_else(|error| panic!("{error}"));
    assert!(items.differing_items(&base()).is_empty() && repeat.items.len() == 6);
}
