//! What operators send: what is taken, what is refused, and what it comes to.

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

fn call(ports: &[String], customers: &[String], groups: &[String], remove: &str) -> String {
    format!(
        r#"{{"upsert":{{"ports":[{}],"customers":[{}],"groups":[{}]}},"remove":{{{remove}}}}}"#,
        ports.join(","),
        customers.join(","),
        groups.join(",")
    )
}

fn take(book: &ItemSet, body: &str) -> Result<ItemSet, ChangeError> {
    book.with_change(&ConfigChange::parse(body.as_bytes())?)
}

fn base() -> ItemSet {
    let body = call(
        &[route("r-1", 7, "a.example", "/x/", "lobby"), route("r-2", 7, "a.example", "/x/y/", "ledger")],
        &[customer("t-1", 7, "k-1"), customer("t-2", 7, "k-2")],
        &[service("lobby"), service("ledger")],
        "",
    );
    take(&ItemSet::default(), &body).unwrap_or_else(|refusal| panic!("{refusal}"))
}

#[test_case(&call(&[route("r-3", 9, "a.example", "/z/", "nowhere")], &[], &[], ""); "unknown service")]
#[test_case(&call(&[route("r-3", 9, "a.example", "/x/", "lobby")], &[], &[], ""); "same host and prefix")]
#[test_case(&call(&[route("r-3", 9, "A.Example", "/x/", "lobby")], &[], &[], ""); "same host in capitals")]
#[test_case(&call(&[route("r-3", 9, "", "/z/", "lobby")], &[], &[], ""); "no host")]
#[test_case(&call(&[route("r-3", 9, "a.example", "z/", "lobby")], &[], &[], ""); "prefix without a slash")]
#[test_case(&call(&[], &[customer("t-3", 9, "k-1")], &[], ""); "a key of another customer")]
#[test_case(&call(&[], &[], &[], r#""services":[{"name":"lobby","version":"r9"}]"#); "a service in use dropped")]
#[test_case(r#"{"upsert":{"ports":[{"hostname":"a.example","policy":[{"na"#; "cut short")]
#[test_case(&call(&[route("r-3", 9, "a.example", "/z/", "lobby")], &[], &[], "").replace("\"tries\":2", "\"tries\":0");
    "no tries")]
#[test_case(&call(&[route("r-3", 9, "a.example", "/z/", "lobby")], &[], &[], "").replace("\"service\":\"lobby\"",
    "\"split\":[{\"service\":\"lobby\",\"weight\":0}]"); "weights that sum to nothing")]
#[test_case(&call(&[route("r-3", 9, "a.example", "/z/", "lobby")], &[], &[], "").replace("\"r9\"", "\"9\""); "no version")]
#[test_case(&call(&[route("r-3", 9, "a.example", "/z/", "lobby")], &[], &[], "").replace("\"2500ms\"", "\"soon\"");
    "no time")]
fn what_makes_no_sense_is_refused_whole(body: &str) {
    let refusal = take(&base(), body).err();
    assert!(matches!(refusal, Some(ChangeError::Invalid { .. })), "{refusal:?}");
}

#[test]
fn one_version_has_one_content() {
    let book = base();
    // Sent again unchanged, by whomever: taken, and nothing changes.
    let again = call(&[route("r-1", 7, "a.example", "/x/", "lobby")], &[], &[], "");
    let same = take(&book, &again).unwrap_or_else(|refusal| panic!("{refusal}"));
    assert!(same.differing_items(&book).is_empty());
    let other = call(&[route("r-1", 7, "a.example", "/x/", "ledger")], &[], &[], "");
    assert!(matches!(take(&book, &other), Err(ChangeError::VersionConflict { version: 7, .. })));
    let dropped = call(&[], &[], &[], r#""routes":[{"name":"r-1","version":"r7"}]"#);
    assert!(matches!(take(&book, &dropped), Err(ChangeError::VersionConflict { version: 7, .. })));
}

#[test]
fn an_older_version_has_no_effect_also_on_what_was_dropped() {
    let book = base();
    let drop = call(&[], &[], &[], r#""routes":[{"name":"r-1","version":"r9"}]"#);
    let book = take(&book, &drop).unwrap_or_else(|refusal| panic!("{refusal}"));
    let old = call(&[route("r-1", 8, "a.example", "/x/", "ledger")], &[], &[], "");
    let same = take(&book, &old).unwrap_or_else(|refusal| panic!("{refusal}"));
    let stands =
        |book: &ItemSet| -> Vec<Item> { book.items().map(|held| held.item.without_history()).collect() };
    assert_eq!(stands(&same), stands(&book));
    // All that is new is that its number is known from here on.
    assert!(take(&same, &old).is_ok_and(|again| again.differing_items(&same).is_empty()));
    assert!(RoutingTable::from_items(&same).route("a.example", "/x/1").is_none());
}

#[test]
fn copies_merge_to_the_same_in_any_order() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut items: Vec<Item> = base().items().map(|held| held.item.clone()).collect();
        for version in 8..12 {
            let change = call(&[route("r-1", version, "a.example", "/x/", "ledger")], &[], &[], "");
            let change = ConfigChange::parse(change.as_bytes()).unwrap_or_else(|refusal| panic!("{refusal}"));
            items.extend(change.items.iter().map(|held| held.item.clone()));
        }
        let whole = ItemSet::from_items(items.clone());
        rng.shuffle(&mut items);
        let mut book = ItemSet::default();
        items.chunks(3).for_each(|some| drop(book.merge(some.to_vec())));
        assert!(
            book.differing_items(&whole).is_empty() && whole.differing_items(&book).is_empty(),
            "seed {seed}"
        );
    }
}

#[test]
fn of_a_name_that_stands_twice_in_a_call_the_higher_version_prevails() {
    let moved = [route("r-1", 9, "b.example", "/x/", "lobby"), route("r-1", 8, "a.example", "/x/", "lobby")];
    let book = take(&base(), &call(&moved, &[], &[], "")).unwrap_or_else(|refusal| panic!("{refusal}"));
    let table = RoutingTable::from_items(&book);
    assert!(table.route("b.example", "/x/1").is_some() && table.route("a.example", "/x/1").is_none());
}

#[test_case("a.example", "/x/1", Some("r-1"); "a prefix")]
#[test_case("A.EXAMPLE:8080", "/x/1", Some("r-1"); "a host in capitals, with a port")]
#[test_case("a.example", "/x/y/1", Some("r-2"); "the longest of two")]
#[test_case("a.example", "/x", None; "a path that the prefix does not begin")]
#[test_case("b.example", "/x/1", None; "another host")]
fn a_request_has_the_route_of_its_host_with_the_longest_prefix(host: &str, path: &str, name: Option<&str>) {
    let table = RoutingTable::from_items(&base());
    assert_eq!(table.route(host, path).map(|route| route.name.as_str()), name);
}

#[test]
fn what_is_read_back_is_what_was_sent() {
    let layout = base().to_upsert();
    let text = simd_json::to_string(&layout).unwrap_or_default();
    // It can be sent as it is.
    let again = ConfigChange::parse(format!("{{\"upsert\":{text}}}").as_bytes());
    let again = again.unwrap_or_else(|refusal| panic!("{refusal}"));
    let book = base().with_change(&again).unwrap_or_else(|refusal| panic!("{refusal}"));
    assert!(book.differing_items(&base()).is_empty() && again.items.len() == 6);
}
