//! One control side, simulated: many seeds, each of which plays the same again, and faults that must be found.
//!
//! A seed that fails is played again with its troubles printed by
//! `SEED=n cargo test -p starlinghill-simulator --test control one_seed -- --ignored --nocapture`; a long hunt is
//! `SEEDS=1000 cargo test --profile measure -p starlinghill-simulator --test control long_hunt -- --ignored --nocapture`
//! (`SEED` is the first; with `LONG=1` both play long days).

use hyper::Method;
use starlinghill_catalog::BackendState;
use starlinghill_registry::wire::{RegistryRequest, RegistryResponse};
use starlinghill_runtime::rpc::RpcClient;
use starlinghill_simulator::backends::beat;
use starlinghill_simulator::checker::{Attempt, Held, History, InForce, Items, Order, Read, APPLY};
use starlinghill_simulator::cluster::{ip, World};
use starlinghill_simulator::scenario::{call, play, Play};
use std::collections::BTreeSet;
use std::future::Future;
use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Duration;
use test_case::test_case;
use tokio::task::LocalSet;
use tokio::time::sleep;

/// As many as CI has time for on two cores.
const SEEDS: u64 = 60;
/// The same for long days.
const LONG_SEEDS: u64 = 16;
/// Where they begin: any number will do.
const FIRST: u64 = 42_000;
/// Where they begin for disks that lie: soon before one that shows it, as few do.
const FIRST_LIES: u64 = 42_165;
/// So many bad seeds are enough to look at.
const MOST: usize = 50;

fn var(name: &str, or: u64) -> u64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(or)
}

/// Plays seeds on all cores until so many ended badly; returns those, with their first faults.
fn hunt(
    first: u64,
    seeds: u64,
    most: usize,
    as_played: impl Fn(u64) -> Play + Sync,
) -> Vec<(u64, Vec<String>)> {
    let (next, bad) = (AtomicU64::new(first), Mutex::new(Vec::new()));
    let cores = std::thread::available_parallelism().map_or(2, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..cores {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= first + seeds || bad.lock().expect("whole").len() >= most {
                    return;
                }
                let mut faults = play(&as_played(seed)).faults();
                if !faults.is_empty() {
                    faults.truncate(3);
                    bad.lock().expect("whole").push((seed, faults));
                }
            });
        }
    });
    bad.into_inner().expect("whole")
}

fn print(bad: &[(u64, Vec<String>)]) {
    for (seed, faults) in bad {
        println!(
            "SEED={seed} cargo test -p starlinghill-simulator --test control one_seed -- --ignored --nocapture"
        );
        faults.iter().for_each(|fault| println!("    {fault}"));
    }
}

#[test]
fn no_seed_breaks_the_control_side() {
    let bad = hunt(FIRST, SEEDS, MOST, Play::of);
    print(&bad);
    assert!(bad.is_empty(), "{} of {SEEDS} seeds", bad.len());
}

#[test]
fn no_seed_of_a_long_day_breaks_the_control_side() {
    let bad = hunt(FIRST, LONG_SEEDS, MOST, Play::long);
    print(&bad);
    assert!(bad.is_empty(), "{} of {LONG_SEEDS} seeds", bad.len());
}

#[test]
fn a_seed_plays_the_same_again() {
    let (mut epochs, mut granted) = (0, 0);
    for seed in FIRST..FIRST + 3 {
        let (one, other) = (play(&Play::of(seed)), play(&Play::of(seed)));
        assert!(one.confirmed_orders() > 10, "seed {seed}: {} confirmed", one.confirmed_orders());
        assert_eq!(one.digest(), other.digest(), "seed {seed}");
        (epochs, granted) = (epochs + one.epoch, granted + one.granted.len());
    }
    // Members changed, and somebody kept the count.
    assert!(epochs >= 3 && granted > 100, "{epochs} changes of members, {granted} granted");
}

/// A voter whose disk says that it has synced before it has.
#[test]
fn a_voter_that_answers_before_its_write_is_synced_is_found() {
    let bad = hunt(FIRST_LIES, 300, 1, |seed| Play { disks_lie: true, ..Play::of(seed) });
    print(&bad);
    let lost = |fault: &String| fault.contains("stood") || fault.contains("two contents");
    assert!(bad.iter().flat_map(|(_, faults)| faults).any(lost), "{bad:?}");
}

/// More disks are lost than is borne: a second one before the first is made up for.
#[test]
fn a_second_loss_before_the_first_is_made_up_for_is_found() {
    let bad = hunt(FIRST, 300, 1, |seed| Play { losses_overlap: true, ..Play::of(seed) });
    print(&bad);
    assert!(!bad.is_empty());
}

#[test]
#[ignore = "by command"]
fn long_hunt() {
    let (first, seeds) = (var("SEED", 1_000_000), var("SEEDS", 1_000));
    let started = std::time::Instant::now();
    let as_played = if var("LONG", 0) == 1 { Play::long } else { Play::of };
    let bad = hunt(first, seeds, MOST, as_played);
    print(&bad);
    println!("{} of {seeds} seeds from {first} ended badly, in {:?}", bad.len(), started.elapsed());
    assert!(bad.is_empty());
}

#[test]
#[ignore = "by command"]
fn one_seed() {
    let seed = var("SEED", FIRST);
    let as_played = if var("LONG", 0) == 1 { Play::long(seed) } else { Play::of(seed) };
    let seen = play(&Play { disks_lie: var("LIE", 0) == 1, ..as_played });
    seen.troubles.iter().for_each(|(at, what)| println!("{at:?} {what}"));
    for attempt in &seen.attempts {
        println!(
            "{:?}..{:?} {:?} at {}: {:?}",
            attempt.asked, attempt.answered, seen.orders[attempt.order], attempt.at, attempt.status
        );
    }
    let faults = seen.faults();
    faults.iter().for_each(|fault| println!("FAULT {fault}"));
    assert!(faults.is_empty());
}

const AT: IpAddr = IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, 1));

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn order(version: u64, content: u64) -> Order {
    Order { item: "t".into(), version, content, key: "k".into() }
}

fn attempt(order: usize, at: u64, status: u16) -> Attempt {
    let (asked, answered) = (s(at), s(at) + Duration::from_millis(10));
    Attempt { order, at: AT, asked, answered, status: Some(status), reachable: true }
}

fn items(seen: Option<(u64, u64)>) -> Items {
    seen.map(|seen| ("t".to_string(), seen)).into_iter().collect()
}

fn read(at: u64, seen: Option<(u64, u64)>) -> Read {
    Read { at: AT, asked: s(at), answered: s(at) + Duration::from_millis(10), items: items(seen) }
}

fn in_force(at: u64, ready: bool, in_touch: Duration, seen: Option<(u64, u64)>) -> InForce {
    let (items, in_full_touch) = (items(seen), in_touch);
    InForce {
        gateway: 0,
        life: 1,
        at: s(at),
        ready,
        in_touch,
        in_full_touch,
        items,
        backends: BTreeSet::new(),
    }
}

/// Order 0 is r1, order 1 r2, order 2 the other content of r2, order 3 drops under r3.
fn history(attempts: Vec<Attempt>, reads: Vec<Read>, in_force: Vec<InForce>) -> History {
    let orders = vec![order(1, 11), order(2, 22), order(2, 33), order(3, 0)];
    History { orders, attempts, reads, in_force, ..History::default() }
}

#[test_case(vec![attempt(0, 1, 200), attempt(1, 2, 200)], vec![read(3, Some((1, 11)))], "stood"; "lost")]
#[test_case(vec![attempt(0, 1, 200)], vec![read(3, None)], "is gone"; "gone")]
#[test_case(vec![attempt(0, 1, 200)], vec![read(3, Some((2, 22)))], "never ordered"; "before it was sent")]
#[test_case(vec![attempt(1, 1, 200), attempt(2, 2, 200)], vec![], "two contents"; "confirmed twice")]
#[test_case(vec![attempt(1, 1, 503), attempt(2, 2, 503)], vec![read(3, Some((2, 22))), read(4, Some((2, 33)))], "two contents"; "read twice")]
#[test_case(vec![attempt(1, 1, 503), attempt(2, 2, 200), attempt(1, 3, 409)], vec![read(2, Some((2, 22)))], "refused"; "a trace")]
#[test_case(vec![attempt(1, 1, 200), attempt(2, 2, 503), attempt(1, 3, 409)], vec![], "confirmed and refused"; "sent again")]
#[test_case(vec![attempt(0, 1, 409)], vec![], "without a rival"; "no rival")]
#[test_case(vec![attempt(0, 1, 503), attempt(1, 1, 503)], vec![read(2, Some((2, 22))), read(3, Some((1, 11)))], "stood"; "back")]
#[test_case(vec![attempt(0, 1, 400)], vec![], "answered 400"; "invalid")]
fn what_operators_must_not_see_is_found(attempts: Vec<Attempt>, reads: Vec<Read>, fault: &str) {
    let faults = history(attempts, reads, Vec::new()).faults();
    assert!(faults.iter().any(|found| found.contains(fault)), "{faults:?}");
}

#[test_case(vec![in_force(9, true, APPLY, None)], "begins with old state"; "begins")]
#[test_case(vec![in_force(1, true, s(1), None), in_force(9, true, APPLY, None)], "late"; "late")]
#[test_case(vec![in_force(3, false, s(0), Some((2, 22))), in_force(4, false, s(0), Some((1, 11)))], "back"; "back")]
fn what_gateways_must_not_go_by_is_found(seen: Vec<InForce>, fault: &str) {
    let faults = history(vec![attempt(0, 1, 200), attempt(1, 2, 200)], Vec::new(), seen).faults();
    assert!(faults.iter().any(|found| found.contains(fault)), "{faults:?}");
}

#[test]
fn what_may_be_is_no_fault() {
    let attempts = vec![attempt(0, 1, 200), attempt(1, 2, 503), attempt(2, 3, 409), attempt(3, 4, 200)];
    let reads = vec![read(1, None), read(2, Some((1, 11))), read(3, Some((2, 22))), read(5, None)];
    let cut_off = vec![in_force(1, true, s(0), None), in_force(9, true, s(1), Some((1, 11)))];
    assert_eq!(history(attempts, reads, cut_off).faults(), Vec::<String>::new());
}

#[test]
fn an_order_with_a_key_that_another_tenant_orders_may_be_invalid() {
    let refused = |item: &str, asked| {
        let mut seen = history(vec![attempt(0, 1, 200), attempt(4, asked, 400)], Vec::new(), Vec::new());
        seen.orders.push(Order { item: item.into(), ..order(1, 44) });
        seen.faults()
    };
    assert_eq!(refused("other", 2), Vec::<String>::new());
    assert!(refused("other", 0)[0].contains("answered 400"));
    assert!(refused("t", 2).iter().any(|fault| fault.contains("answered 400")));
}

#[test]
fn grants_beyond_the_quota_are_found() {
    // 5 s of 10 a second, a burst of 10, a tenth of both and two more: 68.
    let granted = |count: u64| (0..count).map(|i| Duration::from_millis(9_000 + i * 73)).collect();
    let within = History { granted: granted(68), ..History::default() };
    assert_eq!(within.faults(), Vec::<String>::new());
    let beyond = History { granted: granted(69), ..History::default() };
    assert!(beyond.faults()[0].contains("quota passed"), "{:?}", beyond.faults());
}

#[test_case(true, s(0), true; "one that begins")]
#[test_case(false, s(3), true; "one in touch")]
#[test_case(false, s(1), false; "one that was cut off")]
fn work_for_a_backend_that_drains_is_found(begins: bool, in_touch: Duration, found: bool) {
    let look =
        |at, ready| InForce { backends: BTreeSet::from(["b".into()]), ..in_force(at, ready, in_touch, None) };
    let in_force = vec![look(1, !begins), look(9, true)];
    let seen = History { in_force, drained: [("b".to_string(), s(5))].into(), ..History::default() };
    assert_eq!(!seen.faults().is_empty(), found, "{:?}", seen.faults());
}

#[test]
fn two_holders_at_one_time_are_found() {
    let held = |rack: u8, term, at| {
        let rack = IpAddr::from([10, 0, 0, rack]);
        Held { rack, term, asked: s(at), answered: s(at) + Duration::from_millis(1) }
    };
    let in_turn = History { held: vec![held(1, 1, 1), held(2, 2, 2)], ..History::default() };
    assert_eq!(in_turn.faults(), Vec::<String>::new());
    let both = History { held: vec![held(1, 1, 1), held(2, 2, 2), held(1, 1, 3)], ..History::default() };
    assert!(!both.faults().is_empty());
}

/// Runs one in virtual time.
fn simulated<F: Future>(play: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), play)
}

#[test_case(true; "one that starts meanwhile")]
#[test_case(false; "one that runs all the time")]
fn a_registry_that_is_cut_off_learns_what_others_know_once_it_hears_them(starts: bool) {
    simulated(async move {
        let world = World::new(1, 3, 0, 0);
        (0..3).for_each(|i| world.start_store(i));
        (0..3).for_each(|i| world.start_registry(i, true));
        sleep(s(2)).await;
        let net = world.fabric.at(ip(3, 0));
        let path = "/api/backends/b";
        let said = |method, body: &str| call(&net, world.control(0), method, path, body.as_bytes().to_vec());
        assert_eq!(said(Method::PUT, &beat(0, "ready", 1)).await.map(|answer| answer.0), Some(200));
        sleep(s(1)).await;
        for other in [0, 2] {
            world.fabric.cut(ip(0, 1), ip(0, other));
            world.fabric.cut(ip(0, other), ip(0, 1));
        }
        if starts {
            world.cores[1].registry.borrow().kill();
            world.start_core(1);
        }
        sleep(s(1)).await;
        assert_eq!(said(Method::DELETE, "").await.map(|answer| answer.0), Some(200));
        // What registries tell each other is what they heard just now.
        sleep(s(3)).await;
        world.fabric.mend();
        sleep(s(3)).await;
        let at = world.fabric.at(ip(0, 1));
        let asked = RpcClient::new(&at, world.own(1)).call(&RegistryRequest::FullReport, s(1)).await;
        let Ok(RegistryResponse::FullReport(heard)) = asked else { panic!("{asked:?}") };
        let states: Vec<_> =
            heard.backends.iter().map(|(instance, _)| (instance.id.as_str(), instance.state)).collect();
        assert_eq!(states, [("b", BackendState::Gone)]);
    });
}

#[test]
fn an_order_that_a_member_finds_when_it_wakes_is_not_taken_once_its_caller_has_left() {
    simulated(async {
        let world = World::new(1, 3, 0, 0);
        (0..3).for_each(|i| world.start_store(i));
        (0..3).for_each(|i| world.start_registry(i, true));
        sleep(s(2)).await;
        let net = world.fabric.at(ip(2, 0));
        let path = "/api/config";
        let asleep = [world.cores[0].store.borrow().clone(), world.cores[0].registry.borrow().clone()];
        for wakes in [asleep[1..].to_vec(), asleep.to_vec()] {
            wakes.iter().for_each(|process| process.freeze(true));
            let order = r#"{"upsert":{"customers":[{"name":"t-1","api_keys":["k-1"],"priority":0,"rate_per_s":1,"burst":1,"version":"r1"}]}}"#;
            let answer = call(&net, world.control(0), Method::PATCH, path, order.as_bytes().to_vec()).await;
            assert_eq!(answer, None);
            wakes.iter().for_each(|process| process.freeze(false));
            sleep(s(2)).await;
            let (status, read) =
                call(&net, world.control(1), Method::GET, path, Vec::new()).await.expect("read");
            let read = String::from_utf8_lossy(&read).into_owned();
            assert!(status == 200 && !read.contains("t-1"), "{read}");
        }
    });
}

/// A core machine is cut off from the others for longer than any registry waits for a backend that it does not hear, with
/// backends that call either side.
#[test]
fn a_long_cut_between_core_machines_takes_no_backend_from_any_gateway() {
    simulated(async {
        let world = World::new(1, 3, 0, 1);
        (0..3).for_each(|i| world.start_store(i));
        (0..3).for_each(|i| world.start_registry(i, true));
        world.start_gateway(0);
        sleep(s(2)).await;
        let net = world.fabric.at(ip(3, 0));
        let mut calls = 0;
        for second in 0..60 {
            match second {
                4 => [0, 2].into_iter().for_each(|other| {
                    world.fabric.cut(ip(0, 1), ip(0, other));
                    world.fabric.cut(ip(0, other), ip(0, 1));
                }),
                44 => world.fabric.mend(),
                _ => {}
            }
            calls += 1;
            for (core, id) in [(0, "b-0"), (1, "b-1"), (2, "b-2")] {
                let body = beat(core, "ready", calls).into_bytes();
                let path = format!("/api/backends/{id}");
                let said = call(&net, world.control(core), Method::PUT, &path, body).await.map(|said| said.0);
                assert_eq!(said, Some(200), "beat of {id} in second {second}");
            }
            sleep(s(1)).await;
            let all = ["b-0", "b-1", "b-2"].map(String::from);
            assert_eq!(world.listed(0), BTreeSet::from(all), "in second {second}");
        }
    });
}
