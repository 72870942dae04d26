//! A change that contradicted other items when it was judged stays refused, though the items may fit it later.

use starlinghill_config_model::refused_changes::{is_record, MAX_REFUSED_CHANGES};
use starlinghill_config_model::version_history::MAX_VERSIONS_TOTAL;
use starlinghill_config_model::{ChangeError, ConfigChange, ItemSet, RoutingTable};
use test_case::test_case;

fn customer(name: &str, version: u64, keys: &str) -> String {
    format!(r#"{{"name":"{name}","version":"r{version}","api_keys":[{keys}],"rate_per_s":94}}"#)
}

fn order(customers: &[String]) -> String {
    format!(r#"{{"upsert":{{"customers":[{}]}}}}"#, customers.join(","))
}

fn route(name: &str, version: u64, prefix: &str, service: &str) -> String {
    format!(
        r#"{{"upsert":{{"ports":[{{"hostname":"a.example","policy":[{{"name":"{name}","kind":"safe","target_time":"400ms",
        "priority":2,"version":"r{version}","when":{{"path_prefix":"{prefix}"}},
        "then":{{"service":"{service}","timeout":"2500ms","tries":2}}}}]}}]}}}}"#
    )
}

fn service(name: &str, version: u64) -> String {
    format!(r#"{{"upsert":{{"groups":[{{"name":"{name}","version":"r{version}"}}]}}}}"#)
}

fn parse(body: &str) -> ConfigChange {
    ConfigChange::parse(body.as_bytes()).unwrap_or_else(|error| panic!("{body}: {error}"))
}

fn accept(items: &ItemSet, body: &str) -> ItemSet {
    items.with_change(&parse(body)).unwrap_or_else(|error| panic!("{body}: {error}"))
}

/// Records a change as refused, after checking that it contradicts the items.
fn refuse(items: &ItemSet, body: &str) -> ItemSet {
    let refused = items.with_change(&parse(body)).map(drop);
    assert!(matches!(refused, Err(ChangeError::Invalid { .. })), "{body}: {refused:?}");
    items.with_refusal(&parse(body))
}

/// The items as another process gets them.
fn copy(items: &ItemSet) -> ItemSet {
    ItemSet::from_items(items.items().map(|parsed| parsed.item.clone()))
}

/// Two tenants, of which the first has the keys 1 and 2; two services, of which a route uses the first.
fn base() -> ItemSet {
    let tenants = order(&[customer("t-1", 7, r#""k-1","k-2""#), customer("t-2", 7, r#""k-3""#)]);
    [tenants, service("lobby", 7), service("ledger", 7), route("r-1", 7, "/x/", "lobby")]
        .iter()
        .fold(ItemSet::default(), |items, body| accept(&items, body))
}

// Guards against a refused change that comes into force when a late copy of it arrives (CONFIG, issue 64).
#[test_case(&order(&[customer("t-2", 9, r#""k-3","k-2""#)]), &order(&[customer("t-1", 9, r#""k-1""#)]); "a key of another tenant")]
#[test_case(&route("r-2", 9, "/x/", "ledger"), r#"{"remove":{"routes":[{"name":"r-1","version":"r9"}]}}"#; "host and prefix of another route")]
#[test_case(&route("r-2", 9, "/y/", "store"), &service("store", 9); "an unknown service")]
#[test_case(r#"{"remove":{"services":[{"name":"lobby","version":"r9"}]}}"#, &route("r-1", 9, "/x/", "ledger"); "a service in use")]
fn a_refused_change_stays_refused_when_the_items_fit_it_later(refused: &str, makes_room: &str) {
    let without_refusal = accept(&base(), makes_room);
    assert!(without_refusal.with_change(&parse(refused)).is_ok(), "the items fit it now");
    let items = accept(&refuse(&base(), refused), makes_room);
    for items in [copy(&items), items] {
        let late = items.with_change(&parse(refused)).map(drop);
        assert_eq!(late, Err(ChangeError::RefusedBefore));
        let spaced = refused.replace(':', " : ");
        assert_eq!(items.with_change(&parse(&spaced)).map(drop), Err(ChangeError::RefusedBefore));
    }
}

#[test]
fn the_items_of_a_refused_change_are_accepted_under_a_higher_version_or_with_another_content() {
    let refused = order(&[customer("t-2", 9, r#""k-3","k-2""#)]);
    let items = refuse(&base(), &refused);
    let items = accept(&items, &order(&[customer("t-1", 9, r#""k-1""#)]));
    accept(&items, &order(&[customer("t-2", 9, r#""k-3""#)]));
    accept(&items, &order(&[customer("t-2", 10, r#""k-3","k-2""#)]));
    // Part of another order, the item was never refused.
    let both = order(&[customer("t-2", 9, r#""k-3","k-2""#), customer("t-1", 11, r#""k-1""#)]);
    let items = accept(&items, &both);
    // All that the refused order holds is confirmed now, so that a repeat changes nothing.
    assert!(accept(&items, &refused).differing_items(&items).is_empty());
}

#[test]
fn the_record_of_refused_changes_is_no_item_of_the_operator() {
    let items = refuse(&base(), &route("r-2", 9, "/x/", "ledger"));
    assert_eq!(items.items().filter(|parsed| is_record(&parsed.item)).count(), 1);
    assert_eq!(items.upsert_json(), base().upsert_json());
    assert_eq!(RoutingTable::from_items(&items).limits, RoutingTable::from_items(&base()).limits);
    assert!(ItemSet::default().with_refusal(&parse(&service("lobby", 1))).is_empty());
}

#[test]
fn the_record_is_bounded_and_forgets_the_oldest_refusals_first() {
    let change = |version: u64| parse(&route("r-2", version, "/x/", "ledger"));
    let last = MAX_REFUSED_CHANGES as u64 + 2;
    let items = (1..=last).fold(base(), |items, version| items.with_refusal(&change(version)));
    assert!(!items.has_refused(&change(1)) && !items.has_refused(&change(2)));
    assert!(items.has_refused(&change(3)) && items.has_refused(&change(last)));
    let remembered: usize = items.items().map(|parsed| parsed.item.history.len()).sum();
    assert!(remembered <= MAX_REFUSED_CHANGES && MAX_REFUSED_CHANGES < MAX_VERSIONS_TOTAL);
}
