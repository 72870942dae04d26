//! The fleet snapshot: how lists, missing lists, time and reports change it. And the routes by class.

use starlinghill_control_state::fleet::*;
use starlinghill_control_state::routes::{routes, RetryOn};
use starlinghill_decision::api::*;
use starlinghill_settings::members::{Member, MemberList, Phase};
use starlinghill_settings::NamedSettings;

/// Microseconds in a millisecond and in a second.
const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const NOW: u64 = 1_000_000 * S;

fn site() -> NamedSettings {
    let settings: serde_json::Value = serde_json::from_str(
        r#"{"zone":"a","zones":["a","b"],"bounds":{"max_attempts":5},
        "classes":[
            {"name":"look","effect":"pure","deadline":4000000,"on_time":1000000},
            {"name":"buy","effect":"token","key_scope":"all","window":8000000,"deadline":9000000,"on_time":2500000},
            {"name":"buy-here","effect":"token","key_scope":"zone","window":8000000,"deadline":8000000},
            {"name":"once","effect":"side_effect","deadline":4000000,"on_time":1000000}],
        "plans":[{"name":"team","per_second":10.0,"peak_units":20.0}],
        "specifics":{"units_top":4},
        "rules":{"cold":16000000,"cold_from":0.25,"fall_multiple":4.0,"tip_after":2000000}}"#,
    )
    .expect("JSON");
    NamedSettings::from_json(&settings).expect("valid settings")
}

fn fleet() -> Fleet {
    Fleet::new(7, site()).expect("valid settings")
}

fn member(id: &str, port: u16, phase: Phase, up_since_ms: u64) -> Member {
    let host_port = ([127, 0, 0, 1], port).into();
    Member { id: id.into(), host_port, locality: "a".into(), cell: 0, phase, size: 1.0, up_since_ms }
}

fn list(complete: bool, members: &[Member]) -> MemberList {
    MemberList { revision: 1, complete, members: members.to_vec() }
}

fn usage(fleet: &mut Fleet, now: u64, id: &str) -> Option<(EndpointUse, u32)> {
    let snapshot = fleet.snapshot(Micros(now)).expect("known");
    snapshot.endpoints.iter().find(|e| e.id == id).map(|e| (e.usage, e.weight))
}

#[test]
fn there_is_no_snapshot_before_a_complete_list_but_an_empty_list_gives_one() {
    let mut fleet = fleet();
    assert_eq!(fleet.snapshot(Micros(NOW)), None, "no list has arrived");
    let changes = list(false, &[member("s-1", 1, Phase::Ready, 0)]);
    assert_eq!(fleet.apply_list(Micros(NOW), changes), Err(ListError::NoBase));
    assert_eq!(fleet.snapshot(Micros(NOW)), None);
    fleet.apply_list(Micros(NOW), list(true, &[member("s-1", 1, Phase::Ready, 0)])).expect("accepted");
    fleet.apply_list(Micros(NOW), list(false, &[])).expect("accepted");
    assert!(usage(&mut fleet, NOW, "s-1").is_some(), "an empty list of changes changes nothing");
    fleet.apply_list(Micros(NOW), list(true, &[])).expect("accepted");
    assert_eq!(fleet.snapshot(Micros(NOW)), Some(FleetSnapshot::default()), "the list is complete and empty");
}

#[test]
fn a_list_that_is_too_long_is_rejected_and_the_old_one_is_kept() {
    let mut fleet = fleet();
    fleet.apply_list(Micros(NOW), list(true, &[member("s-1", 1, Phase::Ready, 0)])).expect("accepted");
    let too_long: Vec<Member> =
        (0..=MAX_MEMBERS).map(|i| member(&format!("w-{i}"), 2, Phase::Ready, 0)).collect();
    for complete in [true, false] {
        assert!(matches!(
            fleet.apply_list(Micros(NOW), list(complete, &too_long)),
            Err(ListError::TooLong(_))
        ));
        assert_eq!(fleet.snapshot(Micros(NOW)).expect("known").endpoints.len(), 1);
    }
}

#[test]
fn a_draining_server_gets_no_new_requests_and_one_that_left_is_not_in_the_snapshot() {
    let mut fleet = fleet();
    let both = [member("s-1", 1, Phase::Ready, 0), member("s-2", 2, Phase::Ready, 0)];
    fleet.apply_list(Micros(NOW), list(true, &both)).expect("accepted");
    fleet.apply_list(Micros(NOW), list(false, &[member("s-1", 1, Phase::Draining, 0)])).expect("accepted");
    assert_eq!(usage(&mut fleet, NOW, "s-1").map(|u| u.0), Some(EndpointUse::Draining));
    fleet.apply_list(Micros(NOW), list(false, &[member("s-1", 1, Phase::Gone, 0)])).expect("accepted");
    assert_eq!(usage(&mut fleet, NOW, "s-1"), None);
    assert_eq!(usage(&mut fleet, NOW, "s-2").map(|u| u.0), Some(EndpointUse::Healthy));
}

#[test]
fn an_address_belongs_to_the_server_that_started_there_last() {
    for new_one_first in [true, false] {
        let mut fleet = fleet();
        fleet.apply_list(Micros(NOW), list(true, &[member("s-1", 1, Phase::Ready, 5)])).expect("accepted");
        let old = member("s-1", 1, Phase::Draining, 5);
        let new = member("a-9", 1, Phase::Ready, NOW / 1000);
        let both = if new_one_first { [new, old] } else { [old, new] };
        fleet.apply_list(Micros(NOW), list(false, &both)).expect("accepted");
        let snapshot = fleet.snapshot(Micros(NOW)).expect("known");
        assert_eq!(snapshot.endpoints.len(), 1, "no address appears twice");
        assert_eq!(
            (snapshot.endpoints[0].id.as_str(), snapshot.endpoints[0].usage),
            ("a-9", EndpointUse::Healthy)
        );
        // Reports on the address before do not count against the new server.
        assert!(snapshot.endpoints[0].weight < 300, "the new server is cold");
    }
}

#[test]
fn a_cold_servers_weight_grows_in_steps_whose_times_are_announced() {
    let mut fleet = fleet();
    let warm: Vec<Member> = (0..4).map(|i| member(&format!("s-{i}"), i, Phase::Ready, 0)).collect();
    fleet.apply_list(Micros(NOW), list(true, &warm)).expect("accepted");
    assert_eq!(fleet.next_change(Micros(NOW)), None, "nothing changes with time alone");
    fleet
        .apply_list(Micros(NOW), list(false, &[member("c", 9, Phase::Ready, NOW / 1000)]))
        .expect("accepted");
    assert_eq!(
        fleet.snapshot(Micros(NOW)).expect("known").drop_per_10000,
        0,
        "the warm servers have enough capacity"
    );
    let (mut now, mut weights) = (NOW, Vec::new());
    while let Some(next) = fleet.next_change(Micros(now)) {
        weights.push(usage(&mut fleet, now, "c").expect("listed").1);
        assert!(next.0 > now && weights.len() < 30);
        assert_eq!(usage(&mut fleet, next.0 - 1, "c").expect("listed").1, weights[weights.len() - 1]);
        now = next.0;
    }
    assert_eq!(weights.len(), 16);
    assert_eq!(weights[0], 250, "a quarter of a warm server's weight");
    assert!(weights.windows(2).all(|w| w[0] < w[1]));
    assert_eq!((usage(&mut fleet, now, "c").expect("listed").1, now), (1000, NOW + 16 * S));
}

#[test]
fn a_restarted_service_continues_the_warm_up_of_cold_servers() {
    let mut members: Vec<Member> = (0..4).map(|i| member(&format!("s-{i}"), i, Phase::Ready, 0)).collect();
    members.push(member("c", 9, Phase::Ready, NOW / 1000));
    let (mut before, mut after) = (fleet(), fleet());
    before.apply_list(Micros(NOW), list(true, &members)).expect("accepted");
    for second in [1, 5, 12, 16] {
        let now = Micros(NOW + second * S);
        after.apply_list(now, list(true, &members)).expect("accepted");
        assert_eq!(before.snapshot(now), after.snapshot(now), "after {second} s");
    }
}

#[test]
fn if_most_servers_are_cold_requests_beyond_their_capacity_are_refused() {
    let mut fleet = fleet();
    let cold: Vec<Member> = (0..4).map(|i| member(&format!("c-{i}"), i, Phase::Ready, NOW / 1000)).collect();
    fleet.apply_list(Micros(NOW), list(true, &cold)).expect("accepted");
    assert_eq!(
        fleet.snapshot(Micros(NOW)).expect("known").drop_per_10000,
        7_500,
        "the servers have a quarter of their capacity"
    );
    assert!(fleet.snapshot(Micros(NOW + 8 * S)).expect("known").drop_per_10000 < 4_000);
    assert_eq!(fleet.snapshot(Micros(NOW + 16 * S)).expect("known").drop_per_10000, 0);
}

#[test]
fn a_start_time_in_the_future_counts_as_a_start_now() {
    let mut fleet = fleet();
    let ahead = member("s-1", 1, Phase::Ready, (NOW + 60 * S) / 1000);
    fleet.apply_list(Micros(NOW), list(true, &[ahead])).expect("accepted");
    assert_eq!(usage(&mut fleet, NOW, "s-1"), Some((EndpointUse::Healthy, 250)));
    assert!(fleet.next_change(Micros(NOW)).expect("a warm-up step").0 > NOW);
}

#[test]
fn reported_failures_eject_a_server_for_all_proxies_and_a_trial_returns_it() {
    let mut fleet = fleet();
    let three: Vec<Member> = (1..4).map(|i| member(&format!("s-{i}"), i, Phase::Ready, 0)).collect();
    fleet.apply_list(Micros(NOW), list(true, &three)).expect("accepted");
    let at = |port: u16| ([127, 0, 0, 1], port).into();
    let report = |fleet: &mut Fleet, now, port, succeeded, failed| {
        fleet.apply_report(Micros(now), EndpointReport { address: at(port), succeeded, failed })
    };
    assert!(!report(&mut fleet, NOW, 77, 0, 100), "no server has this address");
    report(&mut fleet, NOW, 1, 950, 50);
    report(&mut fleet, NOW, 2, 1000, 0);
    assert_eq!(
        usage(&mut fleet, NOW, "s-1").map(|u| u.0),
        Some(EndpointUse::Healthy),
        "one of twenty requests failed"
    );
    report(&mut fleet, NOW, 3, 0, u64::MAX);
    assert_eq!(usage(&mut fleet, NOW, "s-3").map(|u| u.0), Some(EndpointUse::Ejected));
    let back = fleet.next_change(Micros(NOW)).expect("the ejection ends").0;
    assert!(back < NOW + 2 * S);
    assert_eq!(
        usage(&mut fleet, back, "s-3"),
        Some((EndpointUse::Healthy, 50)),
        "a low weight while on trial"
    );
    report(&mut fleet, back, 3, 1, 0);
    assert_eq!(usage(&mut fleet, back + MS, "s-3"), Some((EndpointUse::Healthy, 1000)));
}

#[test]
fn no_order_of_lists_and_reports_offers_a_server_that_is_draining_or_has_left() {
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut fleet, mut now) = (fleet(), NOW);
        let mut expected = std::collections::BTreeMap::new();
        let mut known = false;
        for _ in 0..60 {
            now += rng.u64(0..2 * S);
            let complete = rng.u8(0..5) == 0;
            let members: Vec<Member> = (0..rng.usize(0..4))
                .map(|_| {
                    let phase = [Phase::Ready, Phase::Draining, Phase::Gone][rng.usize(0..3)];
                    let up = if rng.bool() { 0 } else { now / 1000 };
                    member(&format!("s-{}", rng.u8(0..6)), rng.u16(1..5), phase, up)
                })
                .collect();
            if fleet.apply_list(Micros(now), list(complete, &members)).is_ok() {
                known = true;
                if complete {
                    expected.clear();
                }
                for m in members {
                    match m.phase {
                        Phase::Gone => drop(expected.remove(&m.id)),
                        _ => drop(expected.insert(m.id.clone(), m)),
                    }
                }
            }
            if rng.bool() {
                let address = ([127, 0, 0, 1], rng.u16(1..5)).into();
                fleet.apply_report(
                    Micros(now),
                    EndpointReport { address, succeeded: rng.u64(0..9), failed: rng.u64(0..9) },
                );
            }
            let Some(snapshot) = fleet.snapshot(Micros(now)) else {
                assert!(!known, "seed {seed}");
                continue;
            };
            let mut addresses = std::collections::BTreeSet::new();
            for e in &snapshot.endpoints {
                assert!(addresses.insert(e.address), "seed {seed}: one address twice");
                let m = expected.get(&e.id).unwrap_or_else(|| panic!("seed {seed}: {} has left", e.id));
                assert_eq!(m.host_port, e.address, "seed {seed}");
                if m.phase == Phase::Draining {
                    assert_eq!(e.usage, EndpointUse::Draining, "seed {seed}: {} is draining", e.id);
                }
            }
            for m in expected.values() {
                assert!(addresses.contains(&m.host_port), "seed {seed}: {} is missing", m.id);
            }
        }
    }
}

#[test]
fn routes_follow_what_each_class_allows() {
    let by_name = |name: &str| routes(&site()).into_iter().find(|r| r.name == name).expect("a class");
    let look = by_name("look");
    assert_eq!(
        (look.method, look.retries, look.retry_on),
        ("GET", 2, RetryOn::Failed),
        "three attempts at most"
    );
    assert_eq!((look.timeout, look.per_try), (Micros(4 * S), Some(Micros(700 * MS))));
    let buy = by_name("buy");
    assert_eq!((buy.method, buy.retry_on), ("POST", RetryOn::Failed));
    assert_eq!(buy.timeout, Micros(7_900 * MS), "no attempt starts after the key's window");
    for name in ["buy-here", "once"] {
        let route = by_name(name);
        assert_eq!((route.retry_on, route.per_try), (RetryOn::NeverRan, None), "{name}");
    }
}

#[test]
fn a_zone_gets_its_share_and_nothing_at_a_share_of_zero_unless_that_yields() {
    let mut fleet = fleet();
    let member_in =
        |id, port, zone: &str| Member { locality: zone.into(), ..member(id, port, Phase::Ready, 0) };
    let members = [member_in("s-1", 1, "a"), member_in("s-2", 2, "b")];
    fleet.apply_list(Micros(NOW), list(true, &members)).expect("accepted");
    let set_share = |fleet: &mut Fleet, weight, yields| {
        fleet.set_zone_shares(vec![("b".into(), ZoneShare { weight, yields })])
    };
    set_share(&mut fleet, 0.25, false);
    assert_eq!(usage(&mut fleet, NOW, "s-2"), Some((EndpointUse::Healthy, 250)));
    set_share(&mut fleet, 0.0, false);
    assert_eq!(usage(&mut fleet, NOW, "s-2").map(|(u, _)| u), Some(EndpointUse::Draining));
    assert_eq!(usage(&mut fleet, NOW, "s-1"), Some((EndpointUse::Healthy, 1000)));
    // The only other server leaves. The zone at zero stays unused, unless its share yields.
    fleet
        .apply_list(Micros(NOW), list(false, &[Member { phase: Phase::Gone, ..members[0].clone() }]))
        .expect("accepted");
    assert_eq!(usage(&mut fleet, NOW, "s-2").map(|(u, _)| u), Some(EndpointUse::Draining));
    set_share(&mut fleet, 0.0, true);
    assert_eq!(usage(&mut fleet, NOW, "s-2").map(|(u, _)| u), Some(EndpointUse::Healthy));
    fleet.set_zone_shares(Vec::new());
    assert_eq!(usage(&mut fleet, NOW, "s-2"), Some((EndpointUse::Healthy, 1000)));
}

#[test]
fn substitute_zones_get_priorities_by_region_without_gaps() {
    let mut fleet = fleet();
    let member_in =
        |id, port, zone: &str| Member { locality: zone.into(), ..member(id, port, Phase::Ready, 0) };
    let members = ["a", "b", "c", "d"].iter().zip(1..).map(|(zone, port)| member_in(zone, port, zone));
    fleet.apply_list(Micros(NOW), list(true, &members.collect::<Vec<_>>())).expect("accepted");
    let location =
        |zone: &str, region: &str, rank| (zone.into(), EndpointLocation { region: region.into(), rank });
    let locations = [
        location("a", "east", 0),
        location("b", "east", 0),
        location("c", "north", 1),
        location("d", "west", 2),
    ];
    fleet.set_locations(locations.into_iter().collect());
    let exclude = |fleet: &mut Fleet, zones: &[&str], yields| {
        let share = ZoneShare { weight: 0.0, yields };
        fleet.set_zone_shares(zones.iter().map(|zone| (zone.to_string(), share)).collect());
        let snapshot = fleet.snapshot(Micros(NOW)).expect("known");
        let endpoints = snapshot.endpoints.into_iter();
        endpoints.map(|e| (e.id, e.region, e.priority, e.usage == EndpointUse::Healthy)).collect::<Vec<_>>()
    };
    let row = |id: &str, region: &str, priority, serves| (id.into(), region.into(), priority, serves);
    // A share that does not yield excludes a zone even if no other zone can serve.
    let excluded = exclude(&mut fleet, &["b", "d"], false);
    let all = [("a", "east", true), ("b", "east", false), ("c", "north", true), ("d", "west", false)];
    assert_eq!(excluded, all.map(|(id, region, serves)| row(id, region, 0, serves)));
    // A share that yields also sends nothing there while other servers are healthy. gRPC clients ignore
    // priorities without healthy servers, so a number for them would leave a gap.
    assert_eq!(exclude(&mut fleet, &["b", "d"], true), excluded);
    // No other server is left: the most preferred region comes first. Priorities start at 0, or a proxy
    // would reject the message.
    let gone = |zone: &'static str| Member { phase: Phase::Gone, ..member_in(zone, 1, zone) };
    fleet.apply_list(Micros(NOW), list(false, &[gone("a"), gone("c")])).expect("accepted");
    assert_eq!(
        exclude(&mut fleet, &["b", "d"], true),
        [row("b", "east", 0, true), row("d", "west", 1, true)]
    );
    // A server that is not healthy gets no priority of its own.
    let drains = Member { phase: Phase::Draining, ..member_in("a", 1, "a") };
    fleet.apply_list(Micros(NOW), list(false, &[drains])).expect("accepted");
    assert_eq!(
        exclude(&mut fleet, &["b", "d"], true),
        [row("a", "east", 0, false), row("b", "east", 0, true), row("d", "west", 1, true)]
    );
}

#[test]
fn a_zone_with_a_share_of_zero_does_not_count_as_missing_capacity() {
    let cold_since = NOW / 1_000;
    let member_in = |id, port, zone: &str, since| Member {
        locality: zone.into(),
        ..member(id, port, Phase::Ready, since)
    };
    let mut fleet = fleet();
    // Half of one zone is cold. The other, larger zone gets a share of zero, which takes no capacity from
    // the first.
    let members = [
        member_in("s-1", 1, "a", 0),
        member_in("s-2", 2, "a", cold_since),
        member_in("s-3", 3, "b", cold_since),
        member_in("s-4", 4, "b", cold_since),
        member_in("s-5", 5, "b", cold_since),
    ];
    fleet.apply_list(Micros(NOW), list(true, &members)).expect("accepted");
    assert!(fleet.snapshot(Micros(NOW)).expect("known").drop_per_10000 > 0, "one of five servers is warm");
    fleet.set_zone_shares(vec![("b".into(), ZoneShare { weight: 0.0, yields: false })]);
    assert_eq!(
        fleet.snapshot(Micros(NOW)).expect("known").drop_per_10000,
        0,
        "one of the two servers in use is warm"
    );
}
