//! Tests that the audit finds violations that are planted in a sound run.

use starlinghill_testkit::audit::{self, ColdStartRule, FollowRecord, OrderRecord};
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

fn violations(orders: &[OrderRecord], gateways: &[Vec<FollowRecord>]) -> Vec<String> {
    audit::violations(orders, gateways, (1, 3), FRESH, SLACK)
}

#[test]
fn a_sound_run_has_no_violations() {
    let (orders, gateways, _) = run();
    assert_eq!(violations(&orders, &gateways), Vec::<String>::new());
}

#[test]
fn each_planted_fault_is_found() {
    let (mut orders, gateways, _) = run();
    orders[1].position = Some((1, 2));
    assert!(violations(&orders, &gateways).iter().any(|w| w.contains("two orders have the same position")));
    let (mut orders, gateways, _) = run();
    (orders[0].position, orders[1].position) = (orders[1].position, orders[0].position);
    assert!(violations(&orders, &gateways).iter().any(|w| w.contains("has the higher position")));
    let (orders, mut gateways, _) = run();
    gateways[0][2].position = (1, 1);
    assert!(violations(&orders, &gateways).iter().any(|w| w.contains("went back")));
    let (orders, mut gateways, _) = run();
    gateways[0][2].position = (1, 4);
    assert!(violations(&orders, &gateways).iter().any(|w| w.contains("never decided")));
    let (orders, mut gateways, begin) = run();
    gateways[0][2].since = begin + Duration::from_secs(3);
    assert!(
        violations(&orders, &gateways).iter().any(|w| w.contains("for 2.96")),
        "{:?}",
        violations(&orders, &gateways)
    );
    // A gateway that decided on its own and reported so is no violation.
    gateways[0][1].mode = "own".into();
    assert_eq!(violations(&orders, &gateways), Vec::<String>::new());
    // A gateway that restarted may follow an older position.
    let (orders, mut gateways, _) = run();
    (gateways[0][2].position, gateways[0][2].run) = ((1, 1), 2);
    assert_eq!(violations(&orders, &gateways), Vec::<String>::new());
}

#[test]
fn an_overloaded_cold_server_is_found_wherever_the_window_begins() {
    let cold = ColdStartRule {
        initial_capacity: 0.2,
        warm_after: Duration::from_secs(10),
        overload_multiple: 2.0,
        window: Duration::from_secs(2),
    };
    let begin = Instant::now() + Duration::from_secs(1);
    // A warm server takes 50 requests a second, a cold one 2 * (0.2 to 1.0) * 50 in 2 s, plus three standard
    // deviations.
    let even = |from_ms: u64, n: u64, over_ms: u64| {
        (0..n).map(move |i| begin + Duration::from_millis(from_ms + i * over_ms / n)).collect::<Vec<_>>()
    };
    let worst = |arrivals: &[Instant]| cold.worst_load(arrivals, begin, 50.0).map_or(0.0, |(share, _)| share);
    let fitting = even(0, 40, 2_000);
    assert!(worst(&fitting) < 1.0, "{}", worst(&fitting));
    // Requests before the start went to the process before the restart.
    let before: Vec<Instant> = (0..900).map(|i| begin - Duration::from_micros(i + 1)).collect();
    assert_eq!(worst(&[before, fitting.clone()].concat()), worst(&fitting));
    assert!(worst(&even(0, 100, 2_000)) > 1.0);
    // A burst across the boundary of two whole seconds.
    let burst = even(1_700, 110, 600);
    assert!(worst(&[fitting.clone(), burst].concat()) > 1.0);
    // The same rate is allowed once the server is warm.
    assert!(worst(&even(9_000, 180, 2_000)) < 1.0);
}
