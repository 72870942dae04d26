//! Core machines without a majority, as real processes: what one of them still says, and what it does not.

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

/// Two of three core machines fall silent; to the third one that is as if it were cut off.
async fn with_one_cut_off() -> (System, Vec<Backend>) {
    let mut system = System::start(&program(), 1);
    let controls = system.control_addresses();
    let backends = vec![Backend::start("i-0", "ledger", system.backend_address(0), controls).await];
    assert_eq!(system.send_change(&initial_config(0)).await.status, 200);
    system.wait_until_ready().await;
    // All have the configuration, and a majority's word on it.
    system.cores[2].processes[0].wait_for_log("event=item", Duration::from_secs(5));
    tokio::time::sleep(Duration::from_millis(600)).await;
    system.cores[..2].iter_mut().flat_map(|core| &mut core.processes).for_each(Process::stop);
    (system, backends)
}

#[tokio::test]
async fn a_gateway_that_starts_beside_a_machine_without_a_majority_does_not_serve_by_its_word() {
    let (mut system, _backends) = with_one_cut_off().await;
    let stopped = Instant::now();
    system.edges[0].kill();
    // What the oldest word may be and a little; a store's and a registry's spans together were 2.4 s.
    tokio::time::sleep_until((stopped + Duration::from_millis(1_650)).into()).await;
    system.edges[0].start();
    system.edges[0].processes[0].wait_for_log("event=configuration", Duration::from_secs(5));
    let (client, front) = (Client::new("key-1"), system.edges[0].front_address());
    while stopped.elapsed() < Duration::from_millis(6_500) {
        assert!(!is_ready(&system).await, "ready {:?} after the cut", stopped.elapsed());
        let (_, answer) = client.send_attempt(front, "GET", "/read/1").await;
        assert_eq!(answer.map(|answer| answer.status), Some(503));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    system.cores[..2].iter_mut().flat_map(|core| &mut core.processes).for_each(Process::resume);
    eventually("it is ready", || is_ready(&system)).await;
}

#[tokio::test]
async fn a_gateway_that_runs_goes_on_by_what_it_has_while_orders_are_refused_in_time() {
    let (system, backends) = with_one_cut_off().await;
    let control = system.cores[2].control_address();
    let begun = Instant::now();
    let (client, front) = (Client::new("key-1"), system.edges[0].front_address());
    // An order, the read-back and a drain: none is confirmed, none refused for good, each in time for its caller to go on.
    let order = rule_change(&rule_item("r-read", 8, "safe", "/read/", "1700ms"));
    for (method, body) in [("PATCH", order.as_str()), ("GET", ""), ("PATCH", order.as_str())] {
        let asked = Instant::now();
        let answer = call(control, method, "/api/config", &[], body).await.expect("answered");
        assert_eq!(answer.status, 503, "{}", answer.body);
        assert!(asked.elapsed() < Duration::from_millis(950), "{method}: {:?}", asked.elapsed());
    }
    assert!(!backends[0].drain(control).await);
    while begun.elapsed() < Duration::from_secs(4) {
        let (_, answer) = client.send_attempt(front, "GET", "/read/1").await;
        // It has been told that the backend drains by the one machine that it reaches: nothing else is there to serve.
        assert!(answer.is_some_and(|answer| matches!(answer.status, 200 | 429 | 503)));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(is_ready(&system).await);
}

#[tokio::test]
async fn a_member_that_thaws_tells_nothing_old_and_takes_orders_again() {
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
    // The question that it found on waking is answered by a majority of now, or not.
    if let Some(answer) = read.await.expect("whole").filter(|answer| answer.status == 200) {
        assert!(answer.body.contains("\"r13\""), "{}", answer.body);
    }
    let order = rule_change(&rule_item("r-read", 14, "safe", "/read/", "1500ms"));
    eventually("it takes orders", || async {
        call(control, "PATCH", "/api/config", &[], &order).await.is_some_and(|answer| answer.status == 200)
    })
    .await;
    assert!(system.read_config().await.contains("\"r14\""));
}

/// What is left of a second after the death of a core machine, for a caller that asks another one at once.
#[test_case(Process::kill; "its processes are killed")]
#[test_case(Process::stop; "it falls silent, as without power")]
#[tokio::test]
async fn an_order_right_after_the_death_of_a_core_machine_is_confirmed_within_a_second(
    dies: fn(&mut Process),
) {
    let mut system = System::start(&program(), 0);
    assert_eq!(system.send_change(&initial_config(0)).await.status, 200);
    system.cores[0].processes.iter_mut().for_each(dies);
    let died = Instant::now();
    for (core, version) in [(1, 8), (2, 9), (1, 10)] {
        let asked = Instant::now();
        let order =
            rule_change(&rule_item("r-read", version, "safe", "/read/", &format!("{}ms", 1_000 + version)));
        let answer = call(system.cores[core].control_address(), "PATCH", "/api/config", &[], &order).await;
        assert_eq!(answer.map(|answer| answer.status), Some(200));
        println!("confirmed after {:?}, {:?} after the death", asked.elapsed(), died.elapsed());
    }
    assert!(died.elapsed() < Duration::from_secs(1), "{:?}", died.elapsed());
}
