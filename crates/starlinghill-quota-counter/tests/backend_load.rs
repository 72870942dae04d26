//! Which backends the counter offers, with reports that are lost, repeated or late, gateways that die, and backends that are
//! slow, failing or silent.

use starlinghill_quota_counter::{ListedBackend, LoadReport, LoadTable};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use test_case::test_case;

const SERVICE: u32 = 7;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn listed(backend: u64) -> ListedBackend {
    let (zone, warm_up_left) = (backend % 3, Duration::ZERO);
    ListedBackend {
        backend,
        service: SERVICE,
        zone,
        capacity: 2,
        accepts_work: true,
        is_silent: false,
        warm_up_left,
    }
}

fn table_with(backends: u64) -> LoadTable {
    let mut loads = LoadTable::default();
    (0..backends).for_each(|backend| loads.update_listing(ms(0), listed(backend)));
    loads
}

fn report(backend: u64, outstanding: u16) -> LoadReport {
    LoadReport { backend, outstanding, succeeded: 0, total_latency_ms: 0, failed: 0 }
}

/// The backends offered to a request that may wait for a minute.
fn offered_to(loads: &mut LoadTable, now: Duration, from: u64) -> Vec<u64> {
    loads.offer_backends(now, from, SERVICE, ms(60_000)).iter().map(|offer| offer.backend).collect()
}

#[test]
fn outstanding_requests_are_the_sum_of_the_live_gateways_reports_despite_losses_and_repeats() {
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut loads = table_with(6);
        let mut outstanding: BTreeMap<u64, HashMap<u64, u16>> =
            (1..=5).map(|g| (g, HashMap::new())).collect();
        let mut unreported: BTreeMap<u64, BTreeSet<u64>> = BTreeMap::new();
        let mut live: BTreeSet<u64> = (1..=5).collect();
        for step in 0..400 {
            let (now, gateway) = (ms(step), rng.u64(1..=5));
            if !live.contains(&gateway) {
                continue;
            }
            if rng.u8(0..200) == 0 && live.len() > 2 {
                // The gateway dies, and its outstanding requests no longer count.
                live.remove(&gateway);
                outstanding.remove(&gateway);
                unreported.remove(&gateway);
                loads.tick(now, &live);
                continue;
            }
            let backend = rng.u64(0..6);
            outstanding.entry(gateway).or_default().insert(backend, rng.u16(0..4));
            unreported.entry(gateway).or_default().insert(backend);
            let reports: Vec<LoadReport> =
                unreported[&gateway].iter().map(|b| report(*b, outstanding[&gateway][b])).collect();
            if rng.u8(0..4) > 0 {
                loads.apply_reports(now, gateway, &reports);
                unreported.remove(&gateway);
                if rng.bool() {
                    loads.apply_reports(now, gateway, &reports);
                }
            }
        }
        for (gateway, backends) in unreported {
            let reports: Vec<LoadReport> =
                backends.iter().map(|b| report(*b, outstanding[&gateway][b])).collect();
            loads.apply_reports(ms(400), gateway, &reports);
        }
        for backend in 0..6 {
            let total: u16 = outstanding.values().filter_map(|by_backend| by_backend.get(&backend)).sum();
            assert_eq!(loads.outstanding(backend), u32::from(total), "seed {seed}: backend {backend}");
        }
    }
}

#[test]
fn gateways_that_ask_at_the_same_moment_are_offered_different_backends() {
    let mut loads = table_with(30);
    let mut offer_counts: HashMap<u64, u32> = HashMap::new();
    for gateway in 0..60 {
        let first_offer = offered_to(&mut loads, ms(1), gateway)[0];
        *offer_counts.entry(first_offer).or_default() += 1;
    }
    assert_eq!((offer_counts.len(), offer_counts.values().max()), (30, Some(&2)), "{offer_counts:?}");
    // No request was sent there, so that the offers lapse after a while.
    loads.tick(ms(1_000), &BTreeSet::new());
    let second_round: BTreeSet<u64> =
        (0..30).map(|gateway| offered_to(&mut loads, ms(1_000), gateway)[0]).collect();
    assert_eq!(second_round.len(), 30);
}

#[test]
fn an_offer_to_a_request_that_does_not_go_on_adds_no_load() {
    let mut loads = table_with(1);
    loads.apply_reports(
        ms(0),
        1,
        &[LoadReport { backend: 0, outstanding: 2, succeeded: 20, total_latency_ms: 2_000, failed: 0 }],
    );
    // Two requests are in progress, which is the capacity, so that a third one takes a round and a half.
    for _ in 0..5 {
        let offers = loads.offer_backends(ms(1), 1, SERVICE, ms(120));
        assert_eq!(offers[0].expected_response_ms, 150);
    }
    assert_eq!(loads.offer_backends(ms(1), 1, SERVICE, ms(200))[0].expected_response_ms, 150);
    assert_eq!(loads.offer_backends(ms(1), 1, SERVICE, ms(200))[0].expected_response_ms, 200);
}

#[test]
fn a_wrong_mean_response_time_does_not_rule_out_idle_backends() {
    let mut loads = table_with(4);
    loads.apply_reports(
        ms(0),
        1,
        &[LoadReport { backend: 0, outstanding: 0, succeeded: 1, total_latency_ms: 30_000, failed: 0 }],
    );
    assert_eq!(loads.offer_backends(ms(1), 1, SERVICE, ms(100))[0].expected_response_ms, 0);
    // After some answers the mean is right.
    for i in 0..60 {
        loads.apply_reports(
            ms(10 + i),
            1,
            &[LoadReport { backend: i % 4, outstanding: 0, succeeded: 1, total_latency_ms: 100, failed: 0 }],
        );
    }
    let full: Vec<LoadReport> = (0..4).map(|backend| report(backend, 2)).collect();
    loads.apply_reports(ms(100), 1, &full);
    let expected_ms = loads.offer_backends(ms(101), 1, SERVICE, ms(100))[0].expected_response_ms;
    assert!(expected_ms < 1_200, "{expected_ms}");
}

#[test]
fn backends_that_are_silent_here_still_get_requests_before_others_have_to_queue() {
    let mut loads = table_with(10);
    (0..5).for_each(|backend| {
        loads.update_listing(ms(0), ListedBackend { is_silent: true, ..listed(backend) })
    });
    let chosen: Vec<u64> = (0..20).map(|gateway| offered_to(&mut loads, ms(1), gateway)[0]).collect();
    // The first requests go to backends that are heard here, and before one of these has to queue, to the silent ones.
    assert!(chosen[..5].iter().all(|backend| *backend >= 5), "{chosen:?}");
    let silent = chosen.iter().filter(|backend| **backend < 5).count();
    assert!((8..=10).contains(&silent), "{chosen:?}");
}

#[test_case(LoadReport { backend: 0, outstanding: 0, succeeded: 0, total_latency_ms: 0, failed: 4 }; "failed attempts")]
#[test_case(LoadReport { backend: 0, outstanding: 0, succeeded: 4, total_latency_ms: 4_000, failed: 0 }; "answers that take ten times as long")]
fn one_gateways_bad_report_keeps_other_gateways_away_until_it_has_decayed(bad: LoadReport) {
    let mut loads = table_with(6);
    let gateways: BTreeSet<u64> = (1..=9).collect();
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
    let first_offers = |loads: &mut LoadTable, now: Duration| -> Vec<u64> {
        (2..8).map(|gateway| offered_to(loads, now, gateway)[0]).collect()
    };
    assert!(!first_offers(&mut loads, ms(41))[..5].contains(&0));
    // No request was sent there since, so that the report can only decay with time.
    for step in 1..=400 {
        loads.tick(ms(41 + step * 50), &gateways);
    }
    assert!(first_offers(&mut loads, ms(20_100)).contains(&0));
}
