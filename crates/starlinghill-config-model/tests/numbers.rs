//! What was confirmed under a number: the same again is taken, another content never is, and what is forgotten is neither.

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

fn dropped(version: u64) -> String {
    format!(r#"{{"remove":{{"customers":[{{"name":"t-1","version":"r{version}"}}]}}}}"#)
}

fn take(book: &ItemSet, body: &str) -> Result<ItemSet, ChangeError> {
    book.with_change(&ConfigChange::parse(body.as_bytes())?)
}

fn taken(orders: &[String]) -> ItemSet {
    let take = |book: ItemSet, body: &String| take(&book, body).unwrap_or_else(|refusal| panic!("{refusal}"));
    orders.iter().fold(ItemSet::default(), take)
}

#[test_case(&[customer(5, "1"), customer(6, "2")], &customer(5, "1"), &customer(5, "3"); "one that stood before")]
#[test_case(&[customer(6, "2"), customer(5, "1")], &customer(5, "1"), &customer(5, "3"); "one that never came into force")]
#[test_case(&[dropped(5), customer(6, "2")], &dropped(5), &customer(5, "3"); "a removal, and a set")]
#[test_case(&[customer(5, "1"), dropped(6)], &customer(5, "1"), &dropped(5); "a set, and a removal")]
#[test_case(&[customer(5, "1"), customer(7, "2"), customer(6, "2")], &customer(6, "2"), &customer(6, "1");
    "one between two")]
fn a_number_that_was_ever_confirmed_keeps_its_content(orders: &[String], same: &str, other: &str) {
    let book = taken(orders);
    let again = take(&book, same).unwrap_or_else(|refusal| panic!("{refusal}"));
    assert!(again.differing_items(&book).is_empty(), "a repeat changes nothing");
    let refused = take(&book, other).map(|_| ());
    assert!(matches!(refused, Err(ChangeError::VersionConflict { .. })), "{other}: {refused:?}");
    // So it is with a copy that went over the wire or a disk.
    let copy = ItemSet::from_items(book.items().map(|held| held.item.clone()));
    assert!(
        take(&copy, same).is_ok() && matches!(take(&copy, other), Err(ChangeError::VersionConflict { .. }))
    );
}

#[test_case(r#""rate_per_s":94,"burst":9"#, r#""burst":9 ,  "rate_per_s" : 94"#, true; "order and spaces")]
#[test_case(r#""rate_per_s":94"#, r#""rate_per_s":9.40e1"#, true; "another way to write a number")]
#[test_case(r#""rate_per_s":0"#, r#""rate_per_s":-0.0"#, true; "nothing in two ways")]
#[test_case(r#""rate_per_s":94"#, r#""rate_per_s":94.00000001"#, false; "a number that is nearly the same")]
#[test_case(r#""x":["a","b"]"#, r#""x":["b","a"]"#, false; "the order of a list")]
#[test_case(r#""x":["a","b"]"#, r#""x":["ab"]"#, false; "where one text ends")]
#[test_case(r#""x":"1""#, r#""x":1"#, false; "a text and a number")]
#[test_case(r#""x":"\u0061""#, r#""x":"a""#, true; "a letter in two ways")]
fn what_is_the_same_content(one: &str, other: &str, same: bool) {
    let call = |part: &str| {
        let item = format!(r#"{{"name":"t-1","version":"r5",{part},"api_keys":["k-1"]}}"#);
        format!(r#"{{"upsert":{{"customers":[{item}]}}}}"#)
    };
    for later in [None, Some(customer(6, "1"))] {
        let book = taken(&[vec![call(one)], later.into_iter().collect()].concat());
        let again = take(&book, &call(other)).map(|_| ());
        assert_eq!(again.is_ok(), same, "{again:?}");
    }
}

#[test]
fn of_a_call_that_holds_a_name_twice_both_numbers_are_confirmed() {
    let both = r#"{"upsert":{"customers":[{"name":"t-1","api_keys":["k-1"],"version":"r5"}]},
        "remove":{"customers":[{"name":"t-1","version":"r6"}]}}"#;
    let book = taken(&[both.into()]);
    assert!(book.items().all(|held| held.item.version == 6 && held.item.body.is_none()));
    assert!(take(&book, both).is_ok_and(|again| again.differing_items(&book).is_empty()));
    assert!(matches!(take(&book, &customer(5, "3")), Err(ChangeError::VersionConflict { version: 5, .. })));
    let one_number = both.replace("r6", "r5");
    assert!(matches!(take(&ItemSet::default(), &one_number), Err(ChangeError::Invalid { .. })));
}

#[test]
fn a_change_is_refused_whole_where_one_of_its_numbers_is_another_content() {
    let book = taken(&[customer(5, "1"), customer(6, "2")]);
    let call = r#"{"upsert":{"customers":[{"name":"t-1","api_keys":["k-1"],"rate_per_s":3,"burst":94,"version":"r5"},
        {"name":"t-2","api_keys":["k-2"],"version":"r1"}]}}"#;
    assert!(matches!(take(&book, call), Err(ChangeError::VersionConflict { version: 5, .. })));
}

#[test]
fn beyond_the_horizon_nothing_is_confirmed_and_nothing_refused() {
    let mut book = taken(&[customer(1, "1")]);
    let last = MAX_VERSIONS_PER_ITEM as u64 + 3;
    for version in 2..=last {
        book = take(&book, &customer(version, "1")).unwrap_or_else(|refusal| panic!("{refusal}"));
    }
    for order in [customer(1, "1"), customer(1, "2"), dropped(2)] {
        let said = take(&book, &order).map(|_| ());
        assert!(matches!(said, Err(ChangeError::VersionForgotten { .. })), "{order}: {said:?}");
    }
    // Within it all is as before.
    for version in [3, last - 1, last] {
        assert!(
            take(&book, &customer(version, "1")).is_ok_and(|again| again.differing_items(&book).is_empty())
        );
        assert!(matches!(take(&book, &customer(version, "2")), Err(ChangeError::VersionConflict { .. })));
    }
    // A call of which another number has another content was never confirmed: that can be said.
    let call = r#"{"remove":{"customers":[{"name":"t-1","version":"r1"},{"name":"t-1","version":"r4"}]}}"#;
    assert!(matches!(take(&book, call), Err(ChangeError::VersionConflict { version: 4, .. })));
}

#[test]
fn all_items_together_remember_so_much_and_those_that_have_most_give_first() {
    let item = |at: u64, numbers: u64| {
        let mut history = VersionHistory::default();
        (0..numbers).for_each(|number| history.confirm(number, number.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
        let (kind, name, version) = (ItemKind::Customer, format!("c-{at}"), 100_000);
        Item { kind, name, version, host: String::new(), body: None, history }
    };
    let most = MAX_VERSIONS_PER_ITEM as u64;
    let items: Vec<Item> = (0..9).map(|at| item(at, most)).chain([item(9, 100)]).collect();
    let book =
        take(&ItemSet::from_items(items), &customer(1, "1")).unwrap_or_else(|refusal| panic!("{refusal}"));
    let lens: Vec<usize> = book.items().map(|held| held.item.history.len()).collect();
    assert!(lens.iter().sum::<usize>() <= MAX_VERSIONS_TOTAL && lens.contains(&100), "{lens:?}");
    let whole: Vec<Item> = book.items().map(|held| held.item.clone()).collect();
    let bytes = bitcode::encode(&whole).len();
    assert!((MAX_VERSIONS_TOTAL * 8..=MAX_VERSIONS_TOTAL * 16 + 4_096).contains(&bytes), "{bytes} bytes");
    assert_eq!(
        (per_item_limit([5, 9, 1].into_iter(), 9), per_item_limit([5, 9, 1].into_iter(), 15)),
        (4, MAX_VERSIONS_PER_ITEM)
    );
}

#[test]
fn of_an_item_that_was_kept_without_a_history_nothing_is_known_below() {
    let history = VersionHistory::unknown_below(7);
    assert_eq!(
        (history.status(6), history.status(7), history.len()),
        (VersionStatus::Forgotten, VersionStatus::Unused, 0)
    );
    assert_eq!(VersionHistory::unknown_below(0).status(0), VersionStatus::Unused);
}
