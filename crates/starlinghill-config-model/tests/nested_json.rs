//! JSON of any depth and form is parsed or refused, and never overflows the stack.

use simd_json::prelude::*;
use starlinghill_config_model::nested_json::{parse, parse_pruned, JsonError, MAX_NESTING};
use starlinghill_config_model::{ChangeError, ConfigChange, Item, ItemKind, ItemSet, VersionHistory};
use test_case::test_case;

/// Lists in each other.
fn lists(depth: usize) -> String {
    "[".repeat(depth) + &"]".repeat(depth)
}

/// Objects in each other.
fn objects(depth: usize) -> String {
    r#"{"a":"#.repeat(depth) + "1" + &"}".repeat(depth)
}

// Guards against an order that ends each store that reads it by an overflow of the stack (FAULT, issue 64).
#[test_case(format!(r#"{{"upsert":{{"customers":{}}},"remove":{{"routes":[]}}}}"#, lists(50_000)); "lists in place of tenants")]
#[test_case(format!(r#"{{"upsert":{{"customers":[{{"name":"t","version":"r1","api_keys":["k"],"x":{}}}]}}}}"#, lists(50_000)); "an unknown field of a tenant")]
#[test_case(format!(r#"{{"upsert":{}}}"#, objects(50_000)); "objects")]
#[test_case(lists(500_000); "the whole order")]
#[test_case("[".repeat(500_000); "lists that are not closed")]
#[test_case(r#"[{"a":"#.repeat(200_000); "lists and objects that are not closed")]
fn an_order_that_is_nested_too_deep_is_refused(order: String) {
    let refused = ConfigChange::parse(order.as_bytes()).map(drop);
    let Err(ChangeError::Invalid { problem }) = refused else { panic!("{refused:?}") };
    assert!(problem.contains("allowed: at most 64"), "{problem}");
}

#[test]
fn the_limit_of_the_depth_is_exact_and_brackets_in_strings_do_not_count() {
    for text in [lists(MAX_NESTING), objects(MAX_NESTING)] {
        assert!(parse(text.as_bytes()).is_ok());
    }
    for text in [lists(MAX_NESTING + 1), objects(MAX_NESTING + 1)] {
        assert!(matches!(parse(text.as_bytes()), Err(JsonError::TooDeep)));
    }
    let brackets = format!(r#"["{}","\"{}\\"]"#, "[{".repeat(1_000), "[".repeat(1_000));
    assert!(parse(brackets.as_bytes()).is_ok());
    let side_by_side = format!("[{}]", vec![lists(MAX_NESTING - 1); 1_000].join(","));
    assert!(parse(side_by_side.as_bytes()).is_ok());
}

/// Random JSON of exactly this depth. Its strings hold brackets, quotes and backslashes.
fn random_json(rng: &mut fastrand::Rng, depth: usize) -> String {
    let strings = [r#""""#, r#""[[[""#, r#""\"{""#, r#""]\\""#, r#""\\\"}""#, "1", "null", "[]", "{}"];
    let mut text = rng.choice([r#""[""#, r#""\"""#, "0"]).unwrap_or_default().to_string();
    for level in 0..depth {
        // An empty list or object beside the deepest value would be one level deeper than it.
        let siblings = if level == 0 { &strings[..7] } else { &strings[..] };
        let before = rng.choice(siblings).copied().unwrap_or_default();
        let after = rng.choice(siblings).copied().unwrap_or_default();
        text = match rng.bool() {
            true => format!("[{before}, {text} ,{after}]"),
            false => format!(r#"{{"a":{before},"[":{text},"\"":{after}}}"#),
        };
    }
    text
}

#[test]
fn the_depth_of_random_json_is_found_exactly() {
    let mut refused = 0;
    for seed in 0..2_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let depth = rng.usize(1..2 * MAX_NESTING);
        let text = random_json(&mut rng, depth);
        match parse(text.as_bytes()) {
            Ok(_) => assert!(depth <= MAX_NESTING, "seed {seed}"),
            Err(JsonError::TooDeep) => {
                assert!(depth > MAX_NESTING, "seed {seed}");
                refused += 1;
            }
            Err(error) => panic!("seed {seed}: {error}"),
        }
        assert!(parse_pruned(text.as_bytes()).is_ok(), "seed {seed}");
    }
    assert!((500..1_500).contains(&refused), "{refused} of 2000 refused");
}

/// Random texts of the characters that decide about depth. Hardly any of them is JSON.
#[test]
fn no_text_overflows_the_stack() {
    let parts = ["[", "[", "{\"a\":", "]", "}", "\"", "\\", "\\\"", ",", "1", ":", "[[[[[[[[", " "];
    for seed in 0..3_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let begin = rng.choice(["", "\\\"", "\"\\", "\\"]).unwrap_or_default();
        let mut text = begin.to_string() + &"[".repeat(rng.usize(0..40_000));
        (0..rng.usize(1..60)).for_each(|_| text.push_str(rng.choice(parts).unwrap_or_default()));
        text.push_str(&"]".repeat(rng.usize(0..40_000)));
        let _ = parse(text.as_bytes());
        let _ = parse_pruned(text.as_bytes());
    }
}

/// A version without a limit accepted items of any depth that its stack bore. They were acknowledged, so they stay.
#[test]
fn an_item_that_was_accepted_before_there_was_a_limit_is_kept_as_it_was_sent() {
    let body =
        format!(r#"{{"name":"t","version":"r1","api_keys":["k"],"rate_per_s":5,"x":{}}}"#, lists(14_000));
    let (name, host) = ("t".to_string(), String::new());
    let history = VersionHistory::default();
    let stored = Item { kind: ItemKind::Customer, name, version: 1, host, body: Some(body.clone()), history };
    let items = ItemSet::from_items([stored]);
    let read_back = items.upsert_json();
    assert!(read_back.contains(&body), "{} bytes", read_back.len());
    let parsed = parse_pruned(read_back.as_bytes()).unwrap_or_else(|error| panic!("{error}"));
    assert_eq!(parsed.get_array("customers").map(|customers| customers.len()), Some(1));
    let other = br#"{"upsert":{"customers":[{"name":"u","version":"r1","api_keys":["k"]}]}}"#;
    let change = ConfigChange::parse(other).unwrap_or_else(|error| panic!("{error}"));
    let refused = items.with_change(&change).map(drop);
    assert!(matches!(refused, Err(ChangeError::Invalid { .. })), "its key is still its own: {refused:?}");
}
