//! Versions that were confirmed before: the same content is accepted again, another content is refused, and a version that
//! is forgotten is neither confirmed nor refused as a conflict.

use starlinghill_config_model::version_history::{
    per_item_limit, VersionStatus, MAX_VERSIONS_PER_ITEM, MAX_VERSIONS_TOTAL,
};
use starlinghill_config_model::{ChangeError, ConfigChange, Item, ItemKind, ItemSet, VersionHistory};
use test_case::test_case;

fn customer(version: u64, rate: &str) -> String {
    format!(
        r#"{{"upsert":{{"customers":[{{"name":"t-1","api_keys":["k-1"],"rate_per_s":{rate},"burst":94,"version":"r{version}"}}]}}}}"#
    )
}

fn removal(version: u64) -> String {
    format!(r#"{{"remove":{{"customers":[{{"name":"t-1","version":"r{version}"}}]}}}}"#)
}

fn apply(items: &ItemSet, body: &str) -> Result<ItemSet, ChangeError> {
    items.with_change(&ConfigChange::parse(body.as_bytes())?)
}

fn apply_all(orders: &[String]) -> ItemSet {
    let apply = |items: ItemSet, body: &String| apply(&items, body).unwrap_or_else(|error| panic!("{error}"));
    orders.iter().fold(ItemSet::default(), apply)
}

#[test_case(&[customer(5, "1"), customer(6, "2")], &customer(5, "1"), &customer(5, "3"); "an earlier current version")]
#[test_case(&[customer(6, "2"), customer(5, "1")], &customer(5, "1"), &customer(5, "3"); "a version that was never current")]
#[test_case(&[removal(5), customer(6, "2")], &removal(5), &customer(5, "3"); "a removal, then a set")]
#[test_case(&[customer(5, "1"), removal(6)], &customer(5, "1"), &removal(5); "a set, then a removal")]
#[test_case(&[customer(5, "1"), customer(7, "2"), customer(6, "2")], &customer(6, "2"), &customer(6, "1");
    "a version between two others")]
fn a_confirmed_version_keeps_its_content(orders: &[String], same: &str, other: &str) {
    let items = apply_all(orders);
    let again = apply(&items, same).unwrap_or_else(|error| panic!("{error}"));
    assert!(again.differing_items(&items).is_empty(), "a repeat changes nothing");
    let refused = apply(&items, other).map(|_| ());
    assert!(matches!(refused, Err(ChangeError::VersionConflict { .. })), "{other}: {refused:?}");
    // The same holds for a copy that was sent to another process or stored on disk.
    let copy = ItemSet::from_items(items.items().map(|parsed| parsed.item.clone()));
    assert!(
        apply(&copy, same).is_ok() && matches!(apply(&copy, other), Err(ChangeError::VersionConflict { .. }))
    );
}

#[test_case(r#""rate_per_s":94,"burst":9"#, r#""burst":9 ,  "rate_per_s" : 94"#, true; "the order of keys and white space")]
#[test_case(r#""rate_per_s":94"#, r#""rate_per_s":9.40e1"#, true; "another notation of a number")]
#[test_case(r#""rate_per_s":0"#, r#""rate_per_s":-0.0"#, true; "zero and negative zero")]
#[test_case(r#""rate_per_s":94"#, r#""rate_per_s":94.00000001"#, false; "a number that is nearly the same")]
#[test_case(r#""x":["a","b"]"#, r#""x":["b","a"]"#, false; "the order of a list")]
#[test_case(r#""x":["a","b"]"#, r#""x":["ab"]"#, false; "where a text ends")]
#[test_case(r#""x":"1""#, r#""x":1"#, false; "a text and a number")]
#[test_case(r#""x":"\u0061""#, r#""x":"a""#, true; "an escaped letter")]
fn the_notation_of_the_json_does_not_make_another_content(one: &str, other: &str, same: bool) {
    let order = |part: &str| {
        let item = format!(r#"{{"name":"t-1","version":"r5",{part},"api_keys":["k-1"]}}"#);
        format!(r#"{{"upsert":{{"customers":[{item}]}}}}"#)
    };
    for later in [None, Some(customer(6, "1"))] {
        let items = apply_all(&[vec![order(one)], later.into_iter().collect()].concat());
        let again = apply(&items, &order(other)).map(|_| ());
        assert_eq!(again.is_ok(), same, "{again:?}");
    }
}

#[test]
fn both_versions_of_an_item_in_one_order_are_confirmed() {
    let both = r#"{"upsert":{"customers":[{"name":"t-1","api_keys":["k-1"],"version":"r5"}]},
        "remove":{"customers":[{"name":"t-1","version":"r6"}]}}"#;
    let items = apply_all(&[both.into()]);
    assert!(items.items().all(|parsed| parsed.item.version == 6 && parsed.item.body.is_none()));
    assert!(apply(&items, both).is_ok_and(|again| again.differing_items(&items).is_empty()));
    assert!(matches!(apply(&items, &customer(5, "3")), Err(ChangeError::VersionConflict { version: 5, .. })));
    let same_version = both.replace("r6", "r5");
    assert!(matches!(apply(&ItemSet::default(), &same_version), Err(ChangeError::Invalid { .. })));
}

#[test]
fn an_order_with_one_conflicting_version_is_refused_as_a_whole() {
    let items = apply_all(&[customer(5, "1"), customer(6, "2")]);
    let order = r#"{"upsert":{"customers":[{"name":"t-1","api_keys":["k-1"],"rate_per_s":3,"burst":94,"version":"r5"},
        {"name":"t-2","api_keys":["k-2"],"version":"r1"}]}}"#;
    assert!(matches!(apply(&items, order), Err(ChangeError::VersionConflict { version: 5, .. })));
}

#[test]
fn a_forgotten_version_is_neither_confirmed_nor_refused_as_a_conflict() {
    let mut items = apply_all(&[customer(1, "1")]);
    let last = MAX_VERSIONS_PER_ITEM as u64 + 3;
    for version in 2..=last {
        items = apply(&items, &customer(version, "1")).unwrap_or_else(|error| panic!("{error}"));
    }
    for order in [customer(1, "1"), customer(1, "2"), removal(2)] {
        let result = apply(&items, &order).map(|_| ());
        assert!(matches!(result, Err(ChangeError::VersionForgotten { .. })), "{order}: {result:?}");
    }
    // Versions that are still remembered are treated as before.
    for version in [3, last - 1, last] {
        assert!(apply(&items, &customer(version, "1"))
            .is_ok_and(|again| again.differing_items(&items).is_empty()));
        assert!(matches!(apply(&items, &customer(version, "2")), Err(ChangeError::VersionConflict { .. })));
    }
    // An order that also has a conflict was never confirmed as a whole, so that the conflict is reported.
    let order = r#"{"remove":{"customers":[{"name":"t-1","version":"r1"},{"name":"t-1","version":"r4"}]}}"#;
    assert!(matches!(apply(&items, order), Err(ChangeError::VersionConflict { version: 4, .. })));
}

#[test]
fn all_histories_together_are_bounded_and_the_longest_ones_are_cut_first() {
    let item = |index: u64, versions: u64| {
        let mut history = VersionHistory::default();
        (0..versions).for_each(|version_number| {
            history.confirm(version_number, version_number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
        });
        let (kind, name, version) = (ItemKind::Customer, format!("c-{index}"), 100_000);
        Item { kind, name, version, host: String::new(), body: None, history }
    };
    let max = MAX_VERSIONS_PER_ITEM as u64;
    let items: Vec<Item> = (0..9).map(|index| item(index, max)).chain([item(9, 100)]).collect();
    let items =
        apply(&ItemSet::from_items(items), &customer(1, "1")).unwrap_or_else(|error| panic!("{error}"));
    let lens: Vec<usize> = items.items().map(|parsed| parsed.item.history.len()).collect();
    assert!(lens.iter().sum::<usize>() <= MAX_VERSIONS_TOTAL && lens.contains(&100), "{lens:?}");
    let all_items: Vec<Item> = items.items().map(|parsed| parsed.item.clone()).collect();
    let bytes = bitcode::encode(&all_items).len();
    assert!((MAX_VERSIONS_TOTAL * 8..=MAX_VERSIONS_TOTAL * 16 + 4_096).contains(&bytes), "{bytes} bytes");
    assert_eq!(
        (per_item_limit([5, 9, 1].into_iter(), 9), per_item_limit([5, 9, 1].into_iter(), 15)),
        (4, MAX_VERSIONS_PER_ITEM)
    );
}

#[test]
fn below_an_item_that_was_stored_without_a_history_every_version_is_forgotten() {
    let history = VersionHistory::unknown_below(7);
    assert_eq!(
        (history.status(6), history.status(7), history.len()),
        (VersionStatus::Forgotten, VersionStatus::Unused, 0)
    );
    assert_eq!(VersionHistory::unknown_below(0).status(0), VersionStatus::Unused);
}
