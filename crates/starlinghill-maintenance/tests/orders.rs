//! Maintenance orders, and the list of backends with the orders applied.

use starlinghill_maintenance::{DiscoveredList, MaintenanceOrders, OrdersError, MAX_ID_BYTES, MAX_ORDERS};
use starlinghill_rate_limit::Micros;
use starlinghill_settings::members::{Member, MemberList, Phase};

fn member(id: &str, phase: Phase, up_since_ms: u64) -> Member {
    let host_port = "127.0.0.1:9".parse().expect("an address");
    Member { id: id.into(), host_port, locality: "a".into(), cell: 0, phase, size: 1.0, up_since_ms }
}

fn list(complete: bool, members: Vec<Member>) -> MemberList {
    MemberList { revision: 1, complete, members }
}

#[test]
fn two_orders_to_take_a_backend_out_need_only_one_to_return_it() {
    let mut orders = MaintenanceOrders::default();
    assert_eq!(orders.set_order("a", false, Micros(1)), Ok(false), "it is not out of service");
    assert_eq!(orders.set_order("a", true, Micros(2)), Ok(true));
    assert_eq!(orders.set_order("a", true, Micros(3)), Ok(false));
    assert!(orders.is_out("a") && !orders.is_out("b"));
    assert_eq!(orders.set_order("a", false, Micros(4)), Ok(true));
    assert!(!orders.is_out("a"));
    assert_eq!(orders.returned_at("a"), Some(Micros(4)));
}

#[test]
fn an_order_counts_even_if_the_clock_went_back() {
    let mut orders = MaintenanceOrders::default();
    orders.set_order("a", true, Micros(1_000)).expect("accepted");
    let mut other = orders.clone();
    other.set_order("a", false, Micros(10)).expect("accepted");
    assert_eq!(orders.merge(&other), ["a"]);
    assert!(!orders.is_out("a"));
}

#[test]
fn orders_merge_to_the_same_result_in_any_order() {
    for seed in 0..500 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut all_orders = vec![MaintenanceOrders::default(); 3];
        for step in 0..40u64 {
            let (at, id) = (rng.usize(0..3), format!("s-{}", rng.u8(0..4)));
            // Clocks differ by a few steps, and some orders have the same time.
            let now = Micros(step / 2 + rng.u64(0..3));
            all_orders[at].set_order(&id, rng.bool(), now).expect("accepted");
            if rng.u8(0..4) == 0 {
                let (from, to) = (rng.usize(0..3), rng.usize(0..3));
                let other = all_orders[from].clone();
                all_orders[to].merge(&other);
            }
        }
        let merge_all = |order: [usize; 3]| {
            let mut all = MaintenanceOrders::default();
            order.iter().for_each(|&i| drop(all.merge(&all_orders[i])));
            all
        };
        let merged = merge_all([0, 1, 2]);
        for order in [[0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
            assert_eq!(merge_all(order), merged, "seed {seed}, order {order:?}");
        }
        let mut again = merged.clone();
        assert!(again.merge(&merged).is_empty(), "seed {seed}: merging twice changes nothing");
        assert_eq!(MaintenanceOrders::from_json(&merged.to_json()).as_ref(), Ok(&merged), "seed {seed}");
    }
}

#[test]
fn orders_are_bounded_and_keep_all_backends_that_are_out_of_service() {
    let mut orders = MaintenanceOrders::default();
    for i in 0..MAX_ORDERS {
        orders.set_order(&format!("s-{i}"), true, Micros(i as u64)).expect("accepted");
    }
    assert_eq!(orders.set_order("one more", true, Micros(9_999)), Err(OrdersError::Full));
    orders.set_order("s-7", false, Micros(10_000)).expect("accepted");
    assert_eq!(
        orders.set_order("one more", true, Micros(10_001)),
        Ok(true),
        "the order of a backend that returned to service is replaced"
    );
    assert_eq!(orders.len(), MAX_ORDERS);
    assert_eq!(orders.out().count(), MAX_ORDERS);
    assert_eq!(orders.set_order("", true, Micros(1)), Err(OrdersError::InvalidId(0)));
    let long = "x".repeat(MAX_ID_BYTES + 1);
    assert_eq!(orders.set_order(&long, true, Micros(1)), Err(OrdersError::InvalidId(MAX_ID_BYTES + 1)));
}

#[test]
fn stored_orders_that_are_incomplete_or_invalid_are_rejected() {
    let mut orders = MaintenanceOrders::default();
    orders.set_order("a", true, Micros(5)).expect("accepted");
    let text = orders.to_json();
    for cut in 0..text.len() {
        assert!(MaintenanceOrders::from_json(&text[..cut]).is_err(), "cut at {cut}");
    }
    for bad in [
        "{}",
        "[]",
        "null",
        r#"{"version":2,"orders":{}}"#,
        r#"{"version":1,"orders":{"":{"out":true,"at_us":1}}}"#,
    ] {
        let error = MaintenanceOrders::from_json(bad).expect_err(bad).to_string();
        assert!(!error.is_empty());
    }
}

#[test]
fn a_backend_that_is_out_of_service_counts_as_draining_whatever_the_list_says() {
    let (mut orders, mut discovered) = (MaintenanceOrders::default(), DiscoveredList::default());
    discovered.apply(list(true, vec![member("a", Phase::Ready, 0), member("b", Phase::Ready, 0)]), &orders);
    orders.set_order("a", true, Micros(7_000_000)).expect("accepted");
    let applied = discovered.changes_for(&["a".into()], &orders);
    assert_eq!((applied.complete, applied.members[0].phase), (false, Phase::Draining));
    // The list has it as ready again with a new start time: it stays out of service.
    for complete in [true, false] {
        let applied = discovered.apply(list(complete, vec![member("a", Phase::Ready, 8_000)]), &orders);
        assert_eq!(applied.members[0].phase, Phase::Draining);
    }
    // It leaves the list and comes back: it is still out of service, because nobody returned it.
    let applied = discovered.apply(list(false, vec![member("a", Phase::Gone, 0)]), &orders);
    assert_eq!(applied.members[0].phase, Phase::Gone);
    assert!(!discovered.contains("a"));
    let applied = discovered.apply(list(false, vec![member("a", Phase::Ready, 8_000)]), &orders);
    assert_eq!(applied.members[0].phase, Phase::Draining);
    orders.set_order("a", false, Micros(9_000_000)).expect("accepted");
    let applied = discovered.changes_for(&["a".into(), "unknown".into()], &orders);
    assert_eq!(applied.members.len(), 1);
    assert_eq!(
        (applied.members[0].phase, applied.members[0].up_since_ms),
        (Phase::Ready, 9_000),
        "it counts as just started"
    );
    // A later start time in the list counts.
    let applied = discovered.apply(list(false, vec![member("a", Phase::Ready, 9_500)]), &orders);
    assert_eq!(applied.members[0].up_since_ms, 9_500);
    // A backend that the list has as draining still drains after it was returned to service.
    let applied = discovered.apply(list(false, vec![member("a", Phase::Draining, 9_500)]), &orders);
    assert_eq!(applied.members[0].phase, Phase::Draining);
}
