//! The picture of the fleet: what news, silence, time and reports make of it.

use starlinghill_control_state::fleet::*;
use starlinghill_control_state::routes::{routes, RetryOn};
use starlinghill_decision::api::*;
use starlinghill_settings::members::{Member, MemberList, Phase};
use starlinghill_settings::NamedSettings;

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
    NamedSettings::from_json(&settings).expect("sound settings")
}

fn fleet() -> Fleet {
    Fleet::new(7, site()).expect("sound settings")
}

fn member(id: &str, port: u16, phase: Phase, up_since_ms: u64) -> Member {
    let host_port = ([127, 0, 0, 1], port).into();
    Member { id: id.into(), host_port, locality: "a".into(), cell: 0, phase, size: 1.0, up_since_ms }
}

fn list(complete: bool, members: &[Member]) -> MemberList {
    MemberList { revision: 1, complete, members: members.to_vec() }
}

fn usage(fleet: &mut Fleet, now: u64, id: &str) -> Option<(EndpointUse, u32)> {
    let picture = fleet.snapshot(Micros(now)).expect("known");
    picture.endpoints.iter().find(|e| e.id == id).map(|e| (e.usage, e.weight))
}

#[test]
fn for_want_of_news_there_is_no_picture_but_an_empty_whole_list_is_one() {
    let mut fleet = fleet();
    assert_eq!(fleet.snapshot(Micros(NOW)), None, "nothing was told");
    let changes = list(false, &[member("s-1", 1, Phase::Ready, 0)]);
    assert_eq!(fleet.apply_list(Micros(NOW), changes), Err(ListError::NoBase));
    assert_eq!(fleet.snapshot(Micros(NOW)), None);
    fleet.apply_list(Micros(NOW), list(true, &[member("s-1", 1, Phase::Ready, 0)])).expect("taken");
    fleet.apply_list(Micros(NOW), list(false, &[])).expect("taken");
    assert!(usage(&mut fleet, NOW, "s-1").is_some(), "no changes, no change");
    fleet.apply_list(Micros(NOW), list(true, &[])).expect("taken");
    assert_eq!(fleet.snapshot(Micros(NOW)), Some(FleetSnapshot::default()), "told whole, and empty");
}

#[test]
fn a_list_gone_wild_leaves_the_old_one() {
    let mut fleet = fleet();
    fleet.apply_list(Micros(NOW), list(true, &[member("s-1", 1, Phase::Ready, 0)])).expect("taken");
    let wild: Vec<Member> =
        (0..=MAX_MEMBERS).map(|i| member(&format!("w-{i}"), 2, Phase::Ready, 0)).collect();
    for complete in [true, false] {
        assert!(matches!(fleet.apply_list(Micros(NOW), list(complete, &wild)), Err(ListError::TooLong(_))));
        assert_eq!(fleet.snapshot(Micros(NOW)).expect("known").endpoints.len(), 1);
    }
}

#[test]
fn a_server_that_drains_gets_nothing_new_and_one_that_is_gone_is_not_told() {
    let mut fleet = fleet();
    let both = [member("s-1", 1, Phase::Ready, 0), member("s-2", 2, Phase::Ready, 0)];
    fleet.apply_list(Micros(NOW), list(true, &both)).expect("taken");
    fleet.apply_list(Micros(NOW), list(false, &[member("s-1", 1, Phase::Draining, 0)])).expect("taken");
    assert_eq!(usage(&mut fleet, NOW, "s-1").map(|u| u.0), Some(EndpointUse::Draining));
    fleet.apply_list(Micros(NOW), list(false, &[member("s-1", 1, Phase::Gone, 0)])).expect("taken");
    assert_eq!(usage(&mut fleet, NOW, "s-1"), None);
    assert_eq!(usage(&mut fleet, NOW, "s-2").map(|u| u.0), Some(EndpointUse::Healthy));
}

#[test]
fn an_address_belongs_to_who_started_there_last() {
    for newcomer_first in [true, false] {
        let mut fleet = fleet();
        fleet.apply_list(Micros(NOW), list(true, &[member("s-1", 1, Phase::Ready, 5)])).expect("taken");
        let old = member("s-1", 1, Phase::Draining, 5);
        let new = member("a-9", 1, Phase::Ready, NOW / 1000);
        let both = if newcomer_first { [new, old] } else { [old, new] };
        fleet.apply_list(Micros(NOW), list(false, &both)).expect("taken");
        let picture = fleet.snapshot(Micros(NOW)).expect("known");
        assert_eq!(picture.endpoints.len(), 1, "each address once");
        assert_eq!(
            (picture.endpoints[0].id.as_str(), picture.endpoints[0].usage),
            ("a-9", EndpointUse::Healthy)
        );
        // What was reported of the address before is not held against the newcomer: its life is new.
        assert!(picture.endpoints[0].weight < 300, "and cold");
    }
}

#[test]
fn a_cold_server_grows_in_steps_that_are_told_when_they_come() {
    let mut fleet = fleet();
    let warm: Vec<Member> = (0..4).map(|i| member(&format!("s-{i}"), i, Phase::Ready, 0)).collect();
    fleet.apply_list(Micros(NOW), list(true, &warm)).expect("taken");
    assert_eq!(fleet.next_change(Micros(NOW)), None, "nothing changes by itself");
    fleet.apply_list(Micros(NOW), list(false, &[member("c", 9, Phase::Ready, NOW / 1000)])).expect("taken");
    assert_eq!(fleet.snapshot(Micros(NOW)).expect("known").drop_per_10000, 0, "the warm ones bear the load");
    let (mut now, mut weights) = (NOW, Vec::new());
    while let Some(next) = fleet.next_change(Micros(now)) {
        weights.push(usage(&mut fleet, now, "c").expect("listed").1);
        assert!(next.0 > now && weights.len() < 30);
        assert_eq!(usage(&mut fleet, next.0 - 1, "c").expect("listed").1, weights[weights.len() - 1]);
        now = next.0;
    }
    assert_eq!(weights.len(), 16);
    assert_eq!(weights[0], 250, "a quarter of what a warm one gets");
    assert!(weights.windows(2).all(|w| w[0] < w[1]));
    assert_eq!((usage(&mut fleet, now, "c").expect("listed").1, now), (1000, NOW + 16 * S));
}

#[test]
fn a_service_that_comes_back_empty_ramps_cold_servers_as_the_one_before_did() {
    let mut members: Vec<Member> = (0..4).map(|i| member(&format!("s-{i}"), i, Phase::Ready, 0)).collect();
    members.push(member("c", 9, Phase::Ready, NOW / 1000));
    let (mut before, mut after) = (fleet(), fleet());
    before.apply_list(Micros(NOW), list(true, &members)).expect("taken");
    for second in [1, 5, 12, 16] {
        let now = Micros(NOW + second * S);
        after.apply_list(now, list(true, &members)).expect("taken");
        assert_eq!(before.snapshot(now), after.snapshot(now), "after {second} s");
    }
}

#[test]
fn where_most_of_the_fleet_is_cold_the_rest_is_turned_away() {
    let mut fleet = fleet();
    let cold: Vec<Member> = (0..4).map(|i| member(&format!("c-{i}"), i, Phase::Ready, NOW / 1000)).collect();
    fleet.apply_list(Micros(NOW), list(true, &cold)).expect("taken");
    assert_eq!(
        fleet.snapshot(Micros(NOW)).expect("known").drop_per_10000,
        7_500,
        "a quarter of the work can be borne"
    );
    assert!(fleet.snapshot(Micros(NOW + 8 * S)).expect("known").drop_per_10000 < 4_000);
    assert_eq!(fleet.snapshot(Micros(NOW + 16 * S)).expect("known").drop_per_10000, 0);
}

#[test]
fn a_start_in_the_future_by_anothers_clock_is_a_start_just_now() {
    let mut fleet = fleet();
    let ahead = member("s-1", 1, Phase::Ready, (NOW + 60 * S) / 1000);
    fleet.apply_list(Micros(NOW), list(true, &[ahead])).expect("taken");
    assert_eq!(usage(&mut fleet, NOW, "s-1"), Some((EndpointUse::Healthy, 250)));
    assert!(fleet.next_change(Micros(NOW)).expect("a step").0 > NOW);
}

#[test]
fn failures_at_the_proxies_eject_a_server_for_all_and_a_trial_takes_it_back() {
    let mut fleet = fleet();
    let three: Vec<Member> = (1..4).map(|i| member(&format!("s-{i}"), i, Phase::Ready, 0)).collect();
    fleet.apply_list(Micros(NOW), list(true, &three)).expect("taken");
    let at = |port: u16| ([127, 0, 0, 1], port).into();
    let seen = |fleet: &mut Fleet, now, port, succeeded, failed| {
        fleet.apply_report(Micros(now), EndpointReport { address: at(port), succeeded, failed })
    };
    assert!(!seen(&mut fleet, NOW, 77, 0, 100), "nobody stands there");
    seen(&mut fleet, NOW, 1, 950, 50);
    seen(&mut fleet, NOW, 2, 1000, 0);
    assert_eq!(
        usage(&mut fleet, NOW, "s-1").map(|u| u.0),
        Some(EndpointUse::Healthy),
        "one failure in twenty"
    );
    seen(&mut fleet, NOW, 3, 0, u64::MAX);
    assert_eq!(usage(&mut fleet, NOW, "s-3").map(|u| u.0), Some(EndpointUse::Ejected));
    let back = fleet.next_change(Micros(NOW)).expect("it comes back").0;
    assert!(back < NOW + 2 * S);
    assert_eq!(usage(&mut fleet, back, "s-3"), Some((EndpointUse::Healthy, 50)), "a little, on trial");
    seen(&mut fleet, back, 3, 1, 0);
    assert_eq!(usage(&mut fleet, back + MS, "s-3"), Some((EndpointUse::Healthy, 1000)));
}

#[test]
fn no_order_of_news_offers_what_drains_or_is_gone() {
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut fleet, mut now) = (fleet(), NOW);
        let mut truth = std::collections::BTreeMap::new();
        let mut known = false;
        for _ in 0..60 {
            now += rng.u64(0..2 * S);
            let complete = rng.u8(0..5) == 0;
            let told: Vec<Member> = (0..rng.usize(0..4))
                .map(|_| {
                    let phase = [Phase::Ready, Phase::Draining, Phase::Gone][rng.usize(0..3)];
                    let up = if rng.bool() { 0 } else { now / 1000 };
                    member(&format!("s-{}", rng.u8(0..6)), rng.u16(1..5), phase, up)
                })
                .collect();
            if fleet.apply_list(Micros(now), list(complete, &told)).is_ok() {
                known = true;
                if complete {
                    truth.clear();
                }
                for m in told {
                    match m.phase {
                        Phase::Gone => drop(truth.remove(&m.id)),
                        _ => drop(truth.insert(m.id.clone(), m)),
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
            let Some(picture) = fleet.snapshot(Micros(now)) else {
                assert!(!known, "seed {seed}");
                continue;
            };
            let mut addresses = std::collections::BTreeSet::new();
            for e in &picture.endpoints {
                assert!(addresses.insert(e.address), "seed {seed}: one address twice");
                let m = truth.get(&e.id).unwrap_or_else(|| panic!("seed {seed}: {} is gone", e.id));
                assert_eq!(m.host_port, e.address, "seed {seed}");
                if m.phase == Phase::Draining {
                    assert_eq!(e.usage, EndpointUse::Draining, "seed {seed}: {} drains", e.id);
                }
            }
            for m in truth.values() {
                assert!(addresses.contains(&m.host_port), "seed {seed}: {} is left out", m.id);
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
    assert_eq!(buy.timeout, Micros(7_900 * MS), "no attempt begins after the key's window");
    for name in ["buy-here", "once"] {
        let route = by_name(name);
        assert_eq!((route.retry_on, route.per_try), (RetryOn::NeverRan, None), "{name}");
    }
}

#[test]
fn a_zone_by_order_gets_its_part_and_nothing_when_it_is_out_unless_that_yields() {
    let mut fleet = fleet();
    let there = |id, port, zone: &str| Member { locality: zone.into(), ..member(id, port, Phase::Ready, 0) };
    let members = [there("s-1", 1, "a"), there("s-2", 2, "b")];
    fleet.apply_list(Micros(NOW), list(true, &members)).expect("taken");
    let order = |fleet: &mut Fleet, weight, yields| {
        fleet.set_zone_shares(vec![("b".into(), ZoneShare { weight, yields })])
    };
    order(&mut fleet, 0.25, false);
    assert_eq!(usage(&mut fleet, NOW, "s-2"), Some((EndpointUse::Healthy, 250)));
    order(&mut fleet, 0.0, false);
    assert_eq!(usage(&mut fleet, NOW, "s-2").map(|(u, _)| u), Some(EndpointUse::Draining));
    assert_eq!(usage(&mut fleet, NOW, "s-1"), Some((EndpointUse::Healthy, 1000)));
    // The only other one goes: what is out stays out, unless nobody can call the order off.
    fleet
        .apply_list(Micros(NOW), list(false, &[Member { phase: Phase::Gone, ..members[0].clone() }]))
        .expect("taken");
    assert_eq!(usage(&mut fleet, NOW, "s-2").map(|(u, _)| u), Some(EndpointUse::Draining));
    order(&mut fleet, 0.0, true);
    assert_eq!(usage(&mut fleet, NOW, "s-2").map(|(u, _)| u), Some(EndpointUse::Healthy));
    fleet.set_zone_shares(Vec::new());
    assert_eq!(usage(&mut fleet, NOW, "s-2"), Some((EndpointUse::Healthy, 1000)));
}

#[test]
fn zones_that_stand_in_do_so_one_region_after_the_other_without_gaps() {
    let mut fleet = fleet();
    let there = |id, port, zone: &str| Member { locality: zone.into(), ..member(id, port, Phase::Ready, 0) };
    let members = ["a", "b", "c", "d"].iter().zip(1..).map(|(zone, port)| there(zone, port, zone));
    fleet.apply_list(Micros(NOW), list(true, &members.collect::<Vec<_>>())).expect("taken");
    let place =
        |zone: &str, region: &str, rank| (zone.into(), EndpointLocation { region: region.into(), rank });
    let places =
        [place("a", "east", 0), place("b", "east", 0), place("c", "north", 1), place("d", "west", 2)];
    fleet.set_locations(places.into_iter().collect());
    let order = |fleet: &mut Fleet, zones: &[&str], yields| {
        let part = ZoneShare { weight: 0.0, yields };
        fleet.set_zone_shares(zones.iter().map(|zone| (zone.to_string(), part)).collect());
        let picture = fleet.snapshot(Micros(NOW)).expect("known");
        let told = picture.endpoints.into_iter();
        told.map(|e| (e.id, e.region, e.priority, e.usage == EndpointUse::Healthy)).collect::<Vec<_>>()
    };
    let row = |id: &str, region: &str, priority, serves| (id.into(), region.into(), priority, serves);
    // An order that is followed takes a zone out whatever becomes of the rest: it stands in for nobody.
    let followed = order(&mut fleet, &["b", "d"], false);
    let all = [("a", "east", true), ("b", "east", false), ("c", "north", true), ("d", "west", false)];
    assert_eq!(followed, all.map(|(id, region, serves)| row(id, region, 0, serves)));
    // By its own sight the service still sends nothing there while anything else serves. gRPC clients leave out what
    // does not serve, and would find a gap.
    assert_eq!(order(&mut fleet, &["b", "d"], true), followed);
    // Nothing else is there: the most preferred region first, from 0 on, or a proxy would refuse the message.
    let gone = |zone: &'static str| Member { phase: Phase::Gone, ..there(zone, 1, zone) };
    fleet.apply_list(Micros(NOW), list(false, &[gone("a"), gone("c")])).expect("taken");
    assert_eq!(order(&mut fleet, &["b", "d"], true), [row("b", "east", 0, true), row("d", "west", 1, true)]);
    // One that is there and does not serve takes no priority for itself.
    let drains = Member { phase: Phase::Draining, ..there("a", 1, "a") };
    fleet.apply_list(Micros(NOW), list(false, &[drains])).expect("taken");
    assert_eq!(
        order(&mut fleet, &["b", "d"], true),
        [row("a", "east", 0, false), row("b", "east", 0, true), row("d", "west", 1, true)]
    );
}

#[test]
fn a_zone_that_is_out_makes_no_fleet_of_cold_servers_turn_more_away() {
    let cold_since = NOW / 1_000;
    let there = |id, port, zone: &str, since| Member {
        locality: zone.into(),
        ..member(id, port, Phase::Ready, since)
    };
    let mut fleet = fleet();
    // Half of a zone is cold; with the other, large zone out by order the rest is no less able than before.
    let members = [
        there("s-1", 1, "a", 0),
        there("s-2", 2, "a", cold_since),
        there("s-3", 3, "b", cold_since),
        there("s-4", 4, "b", cold_since),
        there("s-5", 5, "b", cold_since),
    ];
    fleet.apply_list(Micros(NOW), list(true, &members)).expect("taken");
    assert!(fleet.snapshot(Micros(NOW)).expect("known").drop_per_10000 > 0, "one warm of five");
    fleet.set_zone_shares(vec![("b".into(), ZoneShare { weight: 0.0, yields: false })]);
    assert_eq!(
        fleet.snapshot(Micros(NOW)).expect("known").drop_per_10000,
        0,
        "one warm of two that are to bear anything"
    );
}
