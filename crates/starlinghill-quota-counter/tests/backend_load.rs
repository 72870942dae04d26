//! Which backends the counter names: words that are lost, come twice or late, gateways that die, backends that are slow, ill,
//! or not heard of.

use starlinghill_quota_counter::{ListedBackend, LoadReport, LoadTable};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use test_case::test_case;

const SERVICE: u32 = 7;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn listed(backend: u64) -> ListedBackend {
    let (zone, cold_for) = (backend % 3, Duration::ZERO);
    ListedBackend {
        backend,
        service: SERVICE,
        zone,
        capacity: 2,
        accepts_work: true,
        is_silent: false,
        warm_up_left: cold_for,
    }
}

fn with(backends: u64) -> LoadTable {
    let mut loads = LoadTable::default();
    (0..backends).for_each(|backend| loads.update_listing(ms(0), listed(backend)));
    loads
}

fn word(backend: u64, out: u16) -> LoadReport {
    LoadReport { backend, outstanding: out, succeeded: 0, total_latency_ms: 0, failed: 0 }
}

/// What is named to a request that may wait for long.
fn named(loads: &mut LoadTable, now: Duration, from: u64) -> Vec<u64> {
    loads.offer_backends(now, from, SERVICE, ms(60_000)).iter().map(|room| room.backend).collect()
}

#[test]
fn what_is_out_is_what_the_living_told_however_their_words_come() {
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut loads = with(6);
        let mut out: BTreeMap<u64, HashMap<u64, u16>> = (1..=5).map(|g| (g, HashMap::new())).collect();
        let mut untold: BTreeMap<u64, BTreeSet<u64>> = BTreeMap::new();
        let mut living: BTreeSet<u64> = (1..=5).collect();
        for step in 0..400 {
            let (now, gateway) = (ms(step), rng.u64(1..=5));
            if !living.contains(&gateway) {
                continue;
            }
            if rng.u8(0..200) == 0 && living.len() > 2 {
                // It dies: what it had out is out no more, as far as anybody knows.
                living.remove(&gateway);
                out.remove(&gateway);
                untold.remove(&gateway);
                loads.tick(now, &living);
                continue;
            }
            let backend = rng.u64(0..6);
            out.entry(gateway).or_default().insert(backend, rng.u16(0..4));
            untold.entry(gateway).or_default().insert(backend);
            let words: Vec<LoadReport> =
                untold[&gateway].iter().map(|b| word(*b, out[&gateway][b])).collect();
            if rng.u8(0..4) > 0 {
                loads.apply_reports(now, gateway, &words);
                untold.remove(&gateway);
                if rng.bool() {
                    loads.apply_reports(now, gateway, &words);
                }
            }
        }
        for (gateway, backends) in untold {
            let words: Vec<LoadReport> = backends.iter().map(|b| word(*b, out[&gateway][b])).collect();
            loads.apply_reports(ms(400), gateway, &words);
        }
        for backend in 0..6 {
            let all: u16 = out.values().filter_map(|own| own.get(&backend)).sum();
            assert_eq!(loads.outstanding(backend), u32::from(all), "seed {seed}: backend {backend}");
        }
    }
}

#[test]
fn gateways_that_ask_in_one_moment_are_sent_to_different_backends() {
    let mut loads = with(30);
    let mut times: HashMap<u64, u32> = HashMap::new();
    for gateway in 0..60 {
        let first = named(&mut loads, ms(1), gateway)[0];
        *times.entry(first).or_default() += 1;
    }
    assert_eq!((times.len(), times.values().max()), (30, Some(&2)), "{times:?}");
    // Nobody went there: after a while they are free again.
    loads.tick(ms(1_000), &BTreeSet::new());
    let again: BTreeSet<u64> = (0..30).map(|gateway| named(&mut loads, ms(1_000), gateway)[0]).collect();
    assert_eq!(again.len(), 30);
}

#[test]
fn a_request_that_does_not_go_on_leaves_no_trace() {
    let mut loads = with(1);
    loads.apply_reports(
        ms(0),
        1,
        &[LoadReport { backend: 0, outstanding: 2, succeeded: 20, total_latency_ms: 2_000, failed: 0 }],
    );
    // Two are at work: the third waits for half a round.
    for _ in 0..5 {
        let rooms = loads.offer_backends(ms(1), 1, SERVICE, ms(120));
        assert_eq!(rooms[0].expected_response_ms, 150);
    }
    assert_eq!(loads.offer_backends(ms(1), 1, SERVICE, ms(200))[0].expected_response_ms, 150);
    assert_eq!(loads.offer_backends(ms(1), 1, SERVICE, ms(200))[0].expected_response_ms, 200);
}

#[test]
fn a_time_that_was_learned_wrong_does_not_shut_backends_that_stand_idle() {
    let mut loads = with(4);
    loads.apply_reports(
        ms(0),
        1,
        &[LoadReport { backend: 0, outstanding: 0, succeeded: 1, total_latency_ms: 30_000, failed: 0 }],
    );
    assert_eq!(loads.offer_backends(ms(1), 1, SERVICE, ms(100))[0].expected_response_ms, 0);
    // And some answers later it is right.
    for i in 0..60 {
        loads.apply_reports(
            ms(10 + i),
            1,
            &[LoadReport { backend: i % 4, outstanding: 0, succeeded: 1, total_latency_ms: 100, failed: 0 }],
        );
    }
    let full: Vec<LoadReport> = (0..4).map(|backend| word(backend, 2)).collect();
    loads.apply_reports(ms(100), 1, &full);
    let takes = loads.offer_backends(ms(101), 1, SERVICE, ms(100))[0].expected_response_ms;
    assert!(takes < 1_200, "{takes}");
}

#[test]
fn half_of_the_backends_that_are_not_heard_of_here_still_get_work() {
    let mut loads = with(10);
    (0..5).for_each(|backend| {
        loads.update_listing(ms(0), ListedBackend { is_silent: true, ..listed(backend) })
    });
    let went: Vec<u64> = (0..20).map(|gateway| named(&mut loads, ms(1), gateway)[0]).collect();
    // Those that are heard of first, and before any of them has to queue, the others too.
    assert!(went[..5].iter().all(|backend| *backend >= 5), "{went:?}");
    let silent = went.iter().filter(|backend| **backend < 5).count();
    assert!((8..=10).contains(&silent), "{went:?}");
}

#[test_case(LoadReport { backend: 0, outstanding: 0, succeeded: 0, total_latency_ms: 0, failed: 4 }; "attempts come to nothing")]
#[test_case(LoadReport { backend: 0, outstanding: 0, succeeded: 4, total_latency_ms: 4_000, failed: 0 }; "answers take ten times as long")]
fn what_one_gateway_saw_keeps_the_others_away_and_is_forgiven(bad: LoadReport) {
    let mut loads = with(6);
    let told: BTreeSet<u64> = (1..=9).collect();
    for i in 0..40 {
        let good = (1..6).map(|backend| LoadReport {
            backend,
            outstanding: 0,
            succeeded: 1,
            total_latency_ms: 100,
            failed: 0,
        });
        loads.apply_reports(ms(i), 1, &good.collect::<Vec<_>>());
    }
    loads.apply_reports(ms(40), 1, &[bad]);
    let first = |loads: &mut LoadTable, now: Duration| -> Vec<u64> {
        (2..8).map(|gateway| named(loads, now, gateway)[0]).collect()
    };
    assert!(!first(&mut loads, ms(41))[..5].contains(&0));
    // Nobody has sent it anything since, so nothing can speak for it but time.
    for step in 1..=400 {
        loads.tick(ms(41 + step * 50), &told);
    }
    assert!(first(&mut loads, ms(20_100)).contains(&0));
}
