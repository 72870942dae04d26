//! Runs the control-plane simulation over many seeds, and checks that known faults are detected.
//!
//! To repeat a failed seed and print its injected faults:
//! `SEED=n cargo test -p starlinghill-simulator --test control one_seed -- --ignored --nocapture`
//!
//! To search many seeds, of which `SEED` is the first:
//! `SEEDS=1000 cargo test --profile measure -p starlinghill-simulator --test control long_hunt -- --ignored --nocapture`
//!
//! With `LONG=1` both commands run the long scenario, with `SLOW=1` the one with slow links of operators. With `LIE=1` the disks of `one_seed` acknowledge too early.

use hyper::Method;
use starlinghill_catalog::BackendState;
use starlinghill_registry::wire::{RegistryRequest, RegistryResponse};
use starlinghill_runtime::rpc::RpcClient;
use starlinghill_simulator::backends::heartbeat_body;
use starlinghill_simulator::checker::{
    Attempt, ConfigChange, GatewaySample, History, HolderSample, Items, Read, APPLY_LIMIT,
};
use starlinghill_simulator::cluster::{machine_ip, Cluster};
use starlinghill_simulator::scenario::{call, run_scenario, Scenario};
use std::collections::BTreeSet;
use std::future::Future;
use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Duration;
use test_case::test_case;
use tokio::task::LocalSet;
use tokio::time::sleep;

/// Seeds of the default scenario in CI, limited by its time on two cores.
const SEEDS: u64 = 60;
/// Seeds of the long scenario in CI.
const LONG_SEEDS: u64 = 16;
/// Seeds of the scenario with slow links of operators in CI.
const SLOW_LINK_SEEDS: u64 = 40;
/// The first seed. Any number will do.
const FIRST_SEED: u64 = 42_000;
/// The first seed for disks that acknowledge too early. Few seeds show that fault, and one does soon after this one.
const FIRST_EARLY_ACK_SEED: u64 = 42_165;
/// A search stops after this many failed seeds.
const MAX_FAILURES: usize = 50;

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
}

/// The scenario that the environment selects.
fn scenario_of_environment() -> fn(u64) -> Scenario {
    match (env_number("LONG", 0), env_number("SLOW", 0)) {
        (1, _) => Scenario::long,
        (_, 1) => Scenario::with_slow_operator_links,
        _ => Scenario::new,
    }
}

/// Runs seeds on all CPU cores until `max_failures` have failed. Returns the failed seeds with their first
/// violations.
fn search_seeds(
    first: u64,
    seeds: u64,
    max_failures: usize,
    scenario: impl Fn(u64) -> Scenario + Sync,
) -> Vec<(u64, Vec<String>)> {
    let (next, failed) = (AtomicU64::new(first), Mutex::new(Vec::new()));
    let cores = std::thread::available_parallelism().map_or(2, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..cores {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= first + seeds || failed.lock().expect("no worker panicked").len() >= max_failures {
                    return;
                }
                let mut violations = run_scenario(&scenario(seed)).violations();
                if !violations.is_empty() {
                    violations.truncate(3);
                    failed.lock().expect("no worker panicked").push((seed, violations));
                }
            });
        }
    });
    failed.into_inner().expect("no worker panicked")
}

fn print_failures(failed: &[(u64, Vec<String>)]) {
    for (seed, violations) in failed {
        println!(
            "SEED={seed} cargo test -p starlinghill-simulator --test control one_seed -- --ignored --nocapture"
        );
        violations.iter().for_each(|violation| println!("    {violation}"));
    }
}

#[test]
fn no_seed_breaks_the_control_plane() {
    let failed = search_seeds(FIRST_SEED, SEEDS, MAX_FAILURES, Scenario::new);
    print_failures(&failed);
    assert!(failed.is_empty(), "{} of {SEEDS} seeds failed", failed.len());
}

#[test]
fn no_seed_of_the_long_scenario_breaks_the_control_plane() {
    let failed = search_seeds(FIRST_SEED, LONG_SEEDS, MAX_FAILURES, Scenario::long);
    print_failures(&failed);
    assert!(failed.is_empty(), "{} of {LONG_SEEDS} seeds failed", failed.len());
}

// Guards against a refused change that comes into force when a late copy of it arrives (CONFIG, issue 64).
#[test]
fn no_seed_with_slow_operator_links_breaks_the_control_plane() {
    let failed = search_seeds(FIRST_SEED, SLOW_LINK_SEEDS, MAX_FAILURES, Scenario::with_slow_operator_links);
    print_failures(&failed);
    assert!(failed.is_empty(), "{} of {SLOW_LINK_SEEDS} seeds failed", failed.len());
}

#[test]
fn a_seed_repeats_the_same_run() {
    let (mut epochs, mut grants) = (0, 0);
    for seed in FIRST_SEED..FIRST_SEED + 8 {
        let (first, second) = (run_scenario(&Scenario::new(seed)), run_scenario(&Scenario::new(seed)));
        assert!(first.confirmed_changes() > 10, "seed {seed}: {} confirmed", first.confirmed_changes());
        assert_eq!(first.digest(), second.digest(), "seed {seed}");
        (epochs, grants) = (epochs + first.membership_epoch, grants + first.quota_grants.len());
    }
    // Without membership changes and grants the comparison would prove little.
    assert!(epochs >= 3 && grants > 100, "{epochs} membership changes, {grants} grants");
}

/// A voter that acknowledges a vote before it is on the disk may forget it in a crash, and two values can be chosen.
#[test]
fn a_voter_that_answers_before_its_write_is_synced_is_detected() {
    let failed = search_seeds(FIRST_EARLY_ACK_SEED, 300, 1, |seed| Scenario {
        disks_ack_early: true,
        ..Scenario::new(seed)
    });
    print_failures(&failed);
    let is_lost_vote =
        |violation: &String| violation.contains("expected at least") || violation.contains("two contents");
    assert!(failed.iter().flat_map(|(_, violations)| violations).any(is_lost_vote), "{failed:?}");
}

/// A disk is lost before the previous loss is repaired, which can lose confirmed changes.
#[test]
fn a_second_disk_loss_before_the_first_is_repaired_is_detected() {
    let failed = search_seeds(FIRST_SEED, 300, 1, |seed| Scenario {
        allow_overlapping_losses: true,
        ..Scenario::new(seed)
    });
    print_failures(&failed);
    assert!(!failed.is_empty());
}

#[test]
#[ignore = "by command"]
fn long_hunt() {
    let (first, seeds) = (env_number("SEED", 1_000_000), env_number("SEEDS", 1_000));
    let started = std::time::Instant::now();
    let failed = search_seeds(first, seeds, MAX_FAILURES, scenario_of_environment());
    print_failures(&failed);
    println!("{} of {seeds} seeds from {first} failed, in {:?}", failed.len(), started.elapsed());
    assert!(failed.is_empty());
}

#[test]
#[ignore = "by command"]
fn one_seed() {
    let seed = env_number("SEED", FIRST_SEED);
    let scenario = scenario_of_environment()(seed);
    let history = run_scenario(&Scenario { disks_ack_early: env_number("LIE", 0) == 1, ..scenario });
    history.injected_faults.iter().for_each(|(at, fault)| println!("{at:?} {fault}"));
    for attempt in &history.attempts {
        println!(
            "{:?}..{:?} {:?} at {}: {:?}",
            attempt.started,
            attempt.finished,
            history.changes[attempt.change],
            attempt.member,
            attempt.status
        );
    }
    let violations = history.violations();
    violations.iter().for_each(|violation| println!("VIOLATION {violation}"));
    assert!(violations.is_empty());
}

const MEMBER: IpAddr = IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, 1));

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn change(version: u64, content: u64) -> ConfigChange {
    ConfigChange { item: "t".into(), version, content, api_key: "k".into() }
}

fn attempt(change: usize, at: u64, status: u16) -> Attempt {
    let (started, finished) = (secs(at), secs(at) + Duration::from_millis(10));
    Attempt { change, member: MEMBER, started, finished, status: Some(status), was_reachable: true }
}

fn items(observed: Option<(u64, u64)>) -> Items {
    observed.map(|observed| ("t".to_string(), observed)).into_iter().collect()
}

fn read(at: u64, observed: Option<(u64, u64)>) -> Read {
    Read {
        member: MEMBER,
        started: secs(at),
        finished: secs(at) + Duration::from_millis(10),
        items: items(observed),
    }
}

fn sample(at: u64, ready: bool, linked_for: Duration, observed: Option<(u64, u64)>) -> GatewaySample {
    GatewaySample {
        gateway: 0,
        incarnation: 1,
        time: secs(at),
        ready,
        linked_to_one_for: linked_for,
        linked_to_all_for: linked_for,
        items: items(observed),
        backends: BTreeSet::new(),
    }
}

/// Change 0 is r1, change 1 is r2, change 2 is r2 with another content, and change 3 removes the item as r3.
fn history(attempts: Vec<Attempt>, reads: Vec<Read>, gateway_samples: Vec<GatewaySample>) -> History {
    let changes = vec![change(1, 11), change(2, 22), change(2, 33), change(3, 0)];
    History { changes, attempts, reads, gateway_samples, ..History::default() }
}

#[test_case(vec![attempt(0, 1, 200), attempt(1, 2, 200)], vec![read(3, Some((1, 11)))], "expected at least"; "a confirmed change is lost")]
#[test_case(vec![attempt(0, 1, 200)], vec![read(3, None)], "is absent"; "a confirmed item is absent")]
#[test_case(vec![attempt(0, 1, 200)], vec![read(3, Some((2, 22)))], "never requested"; "a change is read before it was requested")]
#[test_case(vec![attempt(1, 1, 200), attempt(2, 2, 200)], vec![], "two contents"; "two contents of one version are confirmed")]
#[test_case(vec![attempt(1, 1, 503), attempt(2, 2, 503)], vec![read(3, Some((2, 22))), read(4, Some((2, 33)))], "two contents"; "two contents of one version are read")]
#[test_case(vec![attempt(1, 1, 503), attempt(2, 2, 200), attempt(1, 3, 409)], vec![read(2, Some((2, 22)))], "rejected"; "a rejected change is read")]
#[test_case(vec![attempt(1, 1, 200), attempt(2, 2, 503), attempt(1, 3, 409)], vec![], "confirmed and rejected"; "a confirmed change is rejected when it is sent again")]
#[test_case(vec![attempt(0, 1, 409)], vec![], "without a rival"; "a conflict has no cause")]
#[test_case(vec![attempt(0, 1, 503), attempt(1, 1, 503)], vec![read(2, Some((2, 22))), read(3, Some((1, 11)))], "expected at least"; "a later read returns an older version")]
#[test_case(vec![attempt(0, 1, 400)], vec![], "unexpected status 400"; "a valid change is called invalid")]
fn a_wrong_reply_to_an_operator_is_detected(attempts: Vec<Attempt>, reads: Vec<Read>, expected: &str) {
    let violations = history(attempts, reads, Vec::new()).violations();
    assert!(violations.iter().any(|violation| violation.contains(expected)), "{violations:?}");
}

#[test_case(vec![sample(9, true, APPLY_LIMIT, None)], "became ready with old state"; "a gateway becomes ready with old state")]
#[test_case(vec![sample(1, true, secs(1), None), sample(9, true, APPLY_LIMIT, None)], "applied too late"; "a linked gateway applies a change too late")]
#[test_case(vec![sample(3, false, secs(0), Some((2, 22))), sample(4, false, secs(0), Some((1, 11)))], "back: gateway"; "a gateway goes back to an older version")]
fn a_wrong_configuration_at_a_gateway_is_detected(samples: Vec<GatewaySample>, expected: &str) {
    let violations = history(vec![attempt(0, 1, 200), attempt(1, 2, 200)], Vec::new(), samples).violations();
    assert!(violations.iter().any(|violation| violation.contains(expected)), "{violations:?}");
}

#[test]
fn a_correct_history_has_no_violations() {
    let attempts = vec![attempt(0, 1, 200), attempt(1, 2, 503), attempt(2, 3, 409), attempt(3, 4, 200)];
    let reads = vec![read(1, None), read(2, Some((1, 11))), read(3, Some((2, 22))), read(5, None)];
    let cut_off = vec![sample(1, true, secs(0), None), sample(9, true, secs(1), Some((1, 11)))];
    assert_eq!(history(attempts, reads, cut_off).violations(), Vec::<String>::new());
}

#[test]
fn a_change_may_be_invalid_if_another_tenant_requested_its_key_before() {
    let reject = |item: &str, started| {
        let mut history = history(vec![attempt(0, 1, 200), attempt(4, started, 400)], Vec::new(), Vec::new());
        history.changes.push(ConfigChange { item: item.into(), ..change(1, 44) });
        history.violations()
    };
    assert_eq!(reject("other", 2), Vec::<String>::new());
    assert!(reject("other", 0)[0].contains("unexpected status 400"));
    assert!(reject("t", 2).iter().any(|violation| violation.contains("unexpected status 400")));
}

#[test]
fn grants_beyond_the_quota_are_detected() {
    // 5 s at 10 a second and a burst of 10, a tenth more, and two requests: 68.
    let grants = |count: u64| (0..count).map(|i| Duration::from_millis(9_000 + i * 73)).collect();
    let within = History { quota_grants: grants(68), ..History::default() };
    assert_eq!(within.violations(), Vec::<String>::new());
    let beyond = History { quota_grants: grants(69), ..History::default() };
    assert!(beyond.violations()[0].contains("quota exceeded"), "{:?}", beyond.violations());
}

#[test_case(true, secs(0), true; "a gateway that becomes ready")]
#[test_case(false, secs(3), true; "a linked gateway")]
#[test_case(false, secs(1), false; "a gateway that was cut off")]
fn routing_to_a_draining_backend_is_detected(becomes_ready: bool, linked_for: Duration, is_violation: bool) {
    let routing = |at, ready| GatewaySample {
        backends: BTreeSet::from(["b".into()]),
        ..sample(at, ready, linked_for, None)
    };
    let gateway_samples = vec![routing(1, !becomes_ready), routing(9, true)];
    let drained_at = [("b".to_string(), secs(5))].into();
    let history = History { gateway_samples, drained_at, ..History::default() };
    assert_eq!(!history.violations().is_empty(), is_violation, "{:?}", history.violations());
}

#[test]
fn two_counter_holders_at_one_time_are_detected() {
    let holder = |member: u8, term, at| {
        let member = IpAddr::from([10, 0, 0, member]);
        HolderSample { member, term, started: secs(at), finished: secs(at) + Duration::from_millis(1) }
    };
    let in_turn = History { holder_samples: vec![holder(1, 1, 1), holder(2, 2, 2)], ..History::default() };
    assert_eq!(in_turn.violations(), Vec::<String>::new());
    let overlapping = History {
        holder_samples: vec![holder(1, 1, 1), holder(2, 2, 2), holder(1, 1, 3)],
        ..History::default()
    };
    assert!(!overlapping.violations().is_empty());
}

/// Runs a future in virtual time.
fn simulated<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("build the runtime"), test)
}

#[test_case(true; "restarted during the cut")]
#[test_case(false; "running all the time")]
fn a_registry_learns_of_a_removed_backend_after_a_cut(restarts: bool) {
    simulated(async move {
        let cluster = Cluster::new(1, 3, 0, 0);
        (0..3).for_each(|i| cluster.start_store(i));
        (0..3).for_each(|i| cluster.start_registry(i, true));
        sleep(secs(2)).await;
        let net = cluster.network.handle_for(machine_ip(3, 0));
        let path = "/api/backends/b";
        let send = |method, body: &str| {
            call(&net, cluster.control_address(0), method, path, body.as_bytes().to_vec())
        };
        assert_eq!(send(Method::PUT, &heartbeat_body(0, "ready", 1)).await.map(|reply| reply.0), Some(200));
        sleep(secs(1)).await;
        for other in [0, 2] {
            cluster.network.block(machine_ip(0, 1), machine_ip(0, other));
            cluster.network.block(machine_ip(0, other), machine_ip(0, 1));
        }
        if restarts {
            cluster.cores[1].registry.borrow().kill();
            cluster.start_core(1);
        }
        sleep(secs(1)).await;
        assert_eq!(send(Method::DELETE, "").await.map(|reply| reply.0), Some(200));
        // Registries push only recent news to each other; by now the removal is not among it.
        sleep(secs(3)).await;
        cluster.network.unblock_all();
        sleep(secs(3)).await;
        let net = cluster.network.handle_for(machine_ip(0, 1));
        let reply = RpcClient::new(&net, cluster.registry_address(1))
            .call(&RegistryRequest::FullReport, secs(1))
            .await;
        let Ok(RegistryResponse::FullReport(known)) = reply else { panic!("{reply:?}") };
        let states: Vec<_> =
            known.backends.iter().map(|(instance, _)| (instance.id.as_str(), instance.state)).collect();
        assert_eq!(states, [("b", BackendState::Gone)]);
    });
}

#[test]
fn a_member_that_was_frozen_drops_a_change_whose_caller_has_given_up() {
    simulated(async {
        let cluster = Cluster::new(1, 3, 0, 0);
        (0..3).for_each(|i| cluster.start_store(i));
        (0..3).for_each(|i| cluster.start_registry(i, true));
        sleep(secs(2)).await;
        let net = cluster.network.handle_for(machine_ip(2, 0));
        let path = "/api/config";
        let programs = [cluster.cores[0].store.borrow().clone(), cluster.cores[0].registry.borrow().clone()];
        for frozen in [programs[1..].to_vec(), programs.to_vec()] {
            frozen.iter().for_each(|process| process.set_frozen(true));
            let change = r#"{"upsert":{"customers":[{"name":"t-1","api_keys":["k-1"],"priority":0,"rate_per_s":1,"burst":1,"version":"r1"}]}}"#;
            let reply =
                call(&net, cluster.control_address(0), Method::PATCH, path, change.as_bytes().to_vec()).await;
            assert_eq!(reply, None);
            frozen.iter().for_each(|process| process.set_frozen(false));
            sleep(secs(2)).await;
            let (status, config) =
                call(&net, cluster.control_address(1), Method::GET, path, Vec::new()).await.expect("read");
            let config = String::from_utf8_lossy(&config).into_owned();
            assert!(status == 200 && !config.contains("t-1"), "{config}");
        }
    });
}

// Guards against a refused change that comes into force when a late copy of it arrives (CONFIG, issue 64): it waits on the
// way to one core machine until another one has refused it and the operator has removed the contradiction.
#[test]
fn a_change_that_was_refused_elsewhere_is_not_taken_when_it_arrives_late() {
    simulated(async {
        let cluster = Cluster::new(1, 3, 0, 0);
        (0..3).for_each(|i| cluster.start_store(i));
        (0..3).for_each(|i| cluster.start_registry(i, true));
        sleep(secs(2)).await;
        let (operator, slow_core) = (machine_ip(2, 0), cluster.cores[0].ip);
        let net = cluster.network.handle_for(operator);
        let send = |core, body: &str| {
            call(&net, cluster.control_address(core), Method::PATCH, "/api/config", body.as_bytes().to_vec())
        };
        let tenant = |name: &str, version: u64, keys: &str| {
            format!(
                r#"{{"upsert":{{"customers":[{{"name":"{name}","version":"r{version}","api_keys":[{keys}]}}]}}}}"#
            )
        };
        assert_eq!(send(1, &tenant("t-1", 7, r#""k-1","k-2""#)).await.map(|reply| reply.0), Some(200));
        let refused = tenant("t-2", 9, r#""k-2""#);
        cluster.network.set_extra_delay(operator, slow_core, Some(Duration::from_millis(1_500)));
        assert_eq!(send(0, &refused).await, None, "the operator leaves after a second of silence");
        assert_eq!(send(1, &refused).await.map(|reply| reply.0), Some(400));
        assert_eq!(send(1, &tenant("t-1", 9, r#""k-1""#)).await.map(|reply| reply.0), Some(200));
        sleep(secs(3)).await;
        cluster.network.set_extra_delay(operator, slow_core, None);
        for core in 0..3 {
            let read = call(&net, cluster.control_address(core), Method::GET, "/api/config", Vec::new());
            let (status, config) = read.await.expect("read");
            let config = String::from_utf8_lossy(&config).into_owned();
            assert!(status == 200 && !config.contains("t-2"), "{config}");
        }
    });
}

/// The number of gateways that a registry counts.
async fn counted_gateways(cluster: &Cluster, core: usize) -> usize {
    let net = cluster.network.handle_for(machine_ip(0, core));
    let client = RpcClient::new(&net, cluster.registry_address(core));
    match client.call(&RegistryRequest::Status, secs(1)).await {
        Ok(RegistryResponse::Status(status)) => status.gateways.len(),
        answer => panic!("{answer:?}"),
    }
}

// Guards against too many requests of a tenant when gateways are cut off and then all core machines lose power: registries
// that have forgotten these gateways would grant their shares to the others once more (QUOTA, issue 58).
#[test]
fn registries_that_all_restart_still_count_a_gateway_that_is_cut_off_from_them() {
    simulated(async {
        let cluster = Cluster::new(1, 3, 0, 2);
        (0..3).for_each(|i| cluster.start_store(i));
        (0..3).for_each(|i| cluster.start_registry(i, true));
        (0..2).for_each(|i| cluster.start_gateway(i));
        sleep(secs(3)).await;
        let (connected, cut_off) = (cluster.gateways[0].ip, cluster.gateways[1].ip);
        for core in 0..3 {
            cluster.network.block(cluster.cores[core].ip, cut_off);
            cluster.network.block(cut_off, cluster.cores[core].ip);
        }
        sleep(secs(1)).await;
        (0..3).for_each(|core| cluster.power_off(core, true));
        sleep(secs(1)).await;
        (0..3).for_each(|core| cluster.power_on(core));
        sleep(secs(2)).await;
        for core in 0..3 {
            assert_eq!(counted_gateways(&cluster, core).await, 2, "core {core}, beside {connected}");
        }
        // It leaves the count as any other gateway does that nothing is heard of.
        cluster.gateways[1].process.borrow().kill();
        sleep(secs(31)).await;
        for core in 0..3 {
            assert_eq!(counted_gateways(&cluster, core).await, 1, "core {core}, beside {connected}");
        }
    });
}

/// Cuts a core machine off from the others for longer than a registry waits for a silent backend, while backends call
/// both sides.
#[test]
fn a_gateway_keeps_all_backends_during_a_long_cut_between_core_machines() {
    simulated(async {
        let cluster = Cluster::new(1, 3, 0, 1);
        (0..3).for_each(|i| cluster.start_store(i));
        (0..3).for_each(|i| cluster.start_registry(i, true));
        cluster.start_gateway(0);
        sleep(secs(2)).await;
        let net = cluster.network.handle_for(machine_ip(3, 0));
        let mut calls = 0;
        for second in 0..60 {
            match second {
                4 => [0, 2].into_iter().for_each(|other| {
                    cluster.network.block(machine_ip(0, 1), machine_ip(0, other));
                    cluster.network.block(machine_ip(0, other), machine_ip(0, 1));
                }),
                44 => cluster.network.unblock_all(),
                _ => {}
            }
            calls += 1;
            for (core, id) in [(0, "b-0"), (1, "b-1"), (2, "b-2")] {
                let body = heartbeat_body(core, "ready", calls).into_bytes();
                let path = format!("/api/backends/{id}");
                let status = call(&net, cluster.control_address(core), Method::PUT, &path, body)
                    .await
                    .map(|reply| reply.0);
                assert_eq!(status, Some(200), "heartbeat of {id} in second {second}");
            }
            sleep(secs(1)).await;
            let all = ["b-0", "b-1", "b-2"].map(String::from);
            assert_eq!(cluster.routable_backends(0), BTreeSet::from(all), "in second {second}");
        }
    });
}
