//! Tests, with real processes, what a core machine without contact to a majority still answers and what it
//! refuses.

use starlinghill_testkit::processes::Process;
use starlinghill_testkit::system::{
    call, eventually, initial_config, program, rule_change, rule_item, Backend, Client, System,
};
use std::time::{Duration, Instant};
use test_case::test_case;

async fn is_ready(system: &System) -> bool {
    let asked = call(system.edges[0].readiness_address(), "GET", "/api/ready", &[], "").await;
    asked.is_some_and(|answer| answer.status == 200)
}

/// Stops two of three core machines. To the third one that is the same as being cut off.
async fn with_one_cut_off() -> (System, Vec<Backend>) {
    let mut system = System::start(&program(), 1);
    let controls = system.control_addresses();
    let backends = vec![Backend::start("i-0", "ledger", system.backend_address(0), controls).await];
    assert_eq!(system.send_change(&initial_config(0)).await.status, 200);
    system.wait_until_ready().await;
    // Waits until the third machine has the configuration and a majority's confirmation of it.
    system.cores[2].processes[0].wait_for_log("event=item", Duration::from_secs(5));
    tokio::time::sleep(Duration::from_millis(600)).await;
    system.cores[..2].iter_mut().flat_map(|core| &mut core.processes).for_each(Process::stop);
    (system, backends)
}

#[tokio::test]
async fn a_gateway_that_starts_while_it_reaches_no_majority_does_not_become_ready() {
    let (mut system, _backends) = with_one_cut_off().await;
    let stopped = Instant::now();
    system.edges[0].kill();
    // Waits longer than a majority's confirmation is valid. When the store and the registry each allowed a
    // full span, the sum was 2.4 s.
    tokio::time::sleep_until((stopped + Duration::from_millis(1_650)).into()).await;
    system.edges[0].start();
    system.edges[0].processes[0].wait_for_log("event=configuration", Duration::from_secs(5));
    let (client, front) = (Client::new("key-1"), system.edges[0].front_address());
    while stopped.elapsed() < Duration::from_millis(6_500) {
        assert!(!is_ready(&system).await, "the gateway is ready {:?} after the cut", stopped.elapsed());
        let (_, answer) = client.send_attempt(front, "GET", "/read/1").await;
        assert_eq!(answer.map(|answer| answer.status), Some(503));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    system.cores[..2].iter_mut().flat_map(|core| &mut core.processes).for_each(Process::resume);
    eventually("the gateway is ready", || is_ready(&system)).await;
}

#[tokio::test]
async fn a_running_gateway_keeps_serving_without_a_majority_while_changes_are_refused_in_time() {
    let (system, backends) = with_one_cut_off().await;
    let control = system.cores[2].control_address();
    let started = Instant::now();
    let (client, front) = (Client::new("key-1"), system.edges[0].front_address());
    // A change, a read and the same change again: all get 503, which leaves the outcome open, early enough for
    // the caller to try another machine.
    let order = rule_change(&rule_item("r-read", 8, "safe", "/read/", "1700ms"));
    for (method, body) in [("PATCH", order.as_str()), ("GET", ""), ("PATCH", order.as_str())] {
        let asked = Instant::now();
        let answer = call(control, method, "/api/config", &[], body).await.expect("answered");
        assert_eq!(answer.status, 503, "{}", answer.body);
        assert!(asked.elapsed() < Duration::from_millis(950), "{method}: {:?}", asked.elapsed());
    }
    assert!(!backends[0].drain(control).await);
    while started.elapsed() < Duration::from_secs(4) {
        let (_, answer) = client.send_attempt(front, "GET", "/read/1").await;
        // The machine that it reaches has told it that the only backend drains, so it may refuse.
        assert!(answer.is_some_and(|answer| matches!(answer.status, 200 | 429 | 503)));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(is_ready(&system).await);
}

#[tokio::test]
async fn a_member_that_resumes_returns_no_stale_data_and_accepts_changes_again() {
    let (mut system, _backends) = {
        let mut system = System::start(&program(), 1);
        let backends = vec![
            Backend::start("i-0", "ledger", system.backend_address(0), system.control_addresses()).await,
        ];
        assert_eq!(system.send_change(&initial_config(0)).await.status, 200);
        system.wait_until_ready().await;
        system.cores[2].processes.iter_mut().for_each(Process::stop);
        (system, backends)
    };
    for version in 8..14 {
        let order =
            rule_change(&rule_item("r-read", version, "safe", "/read/", &format!("{}ms", 1_000 + version)));
        assert_eq!(system.send_change(&order).await.status, 200);
    }
    tokio::time::sleep(Duration::from_millis(1_700)).await;
    let control = system.cores[2].control_address();
    let read = tokio::spawn(async move { call(control, "GET", "/api/config", &[], "").await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    system.cores[2].processes.iter_mut().for_each(Process::resume);
    // A read that arrived while the member was stopped is answered with a majority's current data, or not at
    // all.
    if let Some(answer) = read.await.expect("the task does not panic").filter(|answer| answer.status == 200) {
        assert!(answer.body.contains("\"r13\""), "{}", answer.body);
    }
    let order = rule_change(&rule_item("r-read", 14, "safe", "/read/", "1500ms"));
    eventually("the resumed member accepts changes", || async {
        call(control, "PATCH", "/api/config", &[], &order).await.is_some_and(|answer| answer.status == 200)
    })
    .await;
    assert!(system.read_config().await.contains("\"r14\""));
}

/// A caller that turns to another core machine at once has its change confirmed within 1 s of the failure.
#[test_case(Process::kill; "its processes are killed")]
#[test_case(Process::stop; "its processes stop, as in a power failure")]
#[tokio::test]
async fn a_change_right_after_the_failure_of_a_core_machine_is_confirmed_within_a_second(
    fail: fn(&mut Process),
) {
    let mut system = System::start(&program(), 0);
    assert_eq!(system.send_change(&initial_config(0)).await.status, 200);
    system.cores[0].processes.iter_mut().for_each(fail);
    let failed_at = Instant::now();
    for (core, version) in [(1, 8), (2, 9), (1, 10)] {
        let asked = Instant::now();
        let order =
            rule_change(&rule_item("r-read", version, "safe", "/read/", &format!("{}ms", 1_000 + version)));
        let answer = call(system.cores[core].control_address(), "PATCH", "/api/config", &[], &order).await;
        assert_eq!(answer.map(|answer| answer.status), Some(200));
        println!("confirmed after {:?}, {:?} after the failure", asked.elapsed(), failed_at.elapsed());
    }
    assert!(failed_at.elapsed() < Duration::from_secs(1), "{:?}", failed_at.elapsed());
}
