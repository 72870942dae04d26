//! Tests, with real processes, that input nested very deeply is refused and ends no process.

use starlinghill_testkit::system::{call, initial_config, program, System};
use test_case::test_case;

/// Nested deeper than a stack of 8 MiB can bear.
const DEPTH: usize = 50_000;

fn lists() -> String {
    "[".repeat(DEPTH) + &"]".repeat(DEPTH)
}

/// The names of the core's processes that have ended.
fn ended(system: &mut System) -> Vec<String> {
    let processes = system.cores.iter_mut().flat_map(|core| &mut core.processes);
    processes.filter_map(|process| (!process.is_running()).then(|| process.name.clone())).collect()
}

// Guards against an order that ends each store that reads it by an overflow of the stack (FAULT, issue 64).
#[test_case(format!(r#"{{"upsert":{{"customers":{}}}}}"#, lists()); "lists in place of tenants")]
#[test_case(format!(r#"{{"upsert":{{"customers":[{{"name":"t","version":"r9","api_keys":["k"],"x":{}}}]}}}}"#, lists());
    "an unknown field of a valid tenant")]
#[tokio::test]
async fn an_order_that_is_nested_very_deeply_is_refused_and_ends_no_process(order: String) {
    let mut system = System::start(&program(), 0);
    assert_eq!(system.send_change(&initial_config(0)).await.status, 200);
    for control in system.control_addresses() {
        let answer = call(control, "PATCH", "/api/config", &[], &order).await;
        let answer = answer.map(|answer| (answer.status, answer.body));
        let is_refused =
            |(status, body): &(u16, String)| *status == 400 && body.contains("nested deeper than 64");
        assert!(answer.as_ref().is_some_and(is_refused), "{answer:?}; ended: {:?}", ended(&mut system));
    }
    assert_eq!(ended(&mut system), Vec::<String>::new());
    assert!(!system.read_config().await.contains(r#""name":"t""#));
}
