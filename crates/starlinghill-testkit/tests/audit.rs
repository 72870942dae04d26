//! The audit finds what is planted.

use starlinghill_testkit::audit::{violations, ColdStartRule, FollowRecord, OrderRecord};
use std::time::{Duration, Instant};

const FRESH: Duration = Duration::from_secs(1);
const SLACK: Duration = Duration::from_millis(100);

fn run() -> (Vec<OrderRecord>, Vec<Vec<FollowRecord>>, Instant) {
    let begin = Instant::now();
    let at = |ms| begin + Duration::from_millis(ms);
    let order = |given, answered, epoch| OrderRecord {
        sent_at: at(given),
        answered_at: at(answered),
        position: Some((1, epoch)),
    };
    let follows = |since, mode: &str, epoch| FollowRecord {
        run: 1,
        since: at(since),
        mode: mode.into(),
        position: (1, epoch),
    };
    let orders = vec![order(0, 10, 2), order(20, 40, 3)];
    let gateway = vec![follows(0, "following", 1), follows(15, "following", 2), follows(50, "following", 3)];
    (orders, vec![gateway], begin)
}

fn found(orders: &[OrderRecord], gateways: &[Vec<FollowRecord>]) -> Vec<String> {
    violations(orders, gateways, (1, 3), FRESH, SLACK)
}

#[test]
fn a_sound_run_has_nothing_wrong() {
    let (orders, gateways, _) = run();
    assert_eq!(found(&orders, &gateways), Vec::<String>::new());
}

#[test]
fn each_planted_fault_is_found() {
    let (mut orders, gateways, _) = run();
    orders[1].position = Some((1, 2));
    assert!(found(&orders, &gateways).iter().any(|w| w.contains("two orders have the same position")));
    let (mut orders, gateways, _) = run();
    (orders[0].position, orders[1].position) = (orders[1].position, orders[0].position);
    assert!(found(&orders, &gateways).iter().any(|w| w.contains("has the higher position")));
    let (orders, mut gateways, _) = run();
    gateways[0][2].position = (1, 1);
    assert!(found(&orders, &gateways).iter().any(|w| w.contains("went back")));
    let (orders, mut gateways, _) = run();
    gateways[0][2].position = (1, 4);
    assert!(found(&orders, &gateways).iter().any(|w| w.contains("never decided")));
    let (orders, mut gateways, begin) = run();
    gateways[0][2].since = begin + Duration::from_secs(3);
    assert!(
        found(&orders, &gateways).iter().any(|w| w.contains("for 2.96")),
        "{:?}",
        found(&orders, &gateways)
    );
    // The same by its own sight is no wrong: it said so.
    gateways[0][1].mode = "own".into();
    assert_eq!(found(&orders, &gateways), Vec::<String>::new());
    // Nor after a restart, which knows nothing.
    let (orders, mut gateways, _) = run();
    (gateways[0][2].position, gateways[0][2].run) = ((1, 1), 2);
    assert_eq!(found(&orders, &gateways), Vec::<String>::new());
}

#[test]
fn a_cold_server_that_gets_more_than_it_bears_is_found_wherever_the_span_begins() {
    let cold = ColdStartRule {
        initial_capacity: 0.2,
        warm_after: Duration::from_secs(10),
        overload_multiple: 2.0,
        window: Duration::from_secs(2),
    };
    let begin = Instant::now() + Duration::from_secs(1);
    // 50 a second when warm: 2 * (0.2 to 1.0) * 50 * 2 s, with three deviations of chance.
    let even = |from_ms: u64, n: u64, over_ms: u64| {
        (0..n).map(move |i| begin + Duration::from_millis(from_ms + i * over_ms / n)).collect::<Vec<_>>()
    };
    let worst = |came: &[Instant]| cold.worst_load(came, begin, 50.0).map_or(0.0, |(share, _)| share);
    let fitting = even(0, 40, 2_000);
    assert!(worst(&fitting) < 1.0, "{}", worst(&fitting));
    // What came before the start was to the run before.
    let before: Vec<Instant> = (0..900).map(|i| begin - Duration::from_micros(i + 1)).collect();
    assert_eq!(worst(&[before, fitting.clone()].concat()), worst(&fitting));
    assert!(worst(&even(0, 100, 2_000)) > 1.0);
    // A burst that a look at whole seconds would halve.
    let burst = even(1_700, 110, 600);
    assert!(worst(&[fitting.clone(), burst].concat()) > 1.0);
    // As many are well when it is warm.
    assert!(worst(&even(9_000, 180, 2_000)) < 1.0);
}
