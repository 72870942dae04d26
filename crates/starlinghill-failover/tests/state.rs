//! The group's state machine under orders of every kind.

use proptest::prelude::*;
use starlinghill_failover::order::{Change, Order, OrderKind, Ramp, ZoneOrder};
use starlinghill_failover::pacer::Pacer;
use starlinghill_failover::rejection::Cause;
use starlinghill_failover::state::{Outcome, Phase, State, MAX_RECORDED_OUTCOMES};
use starlinghill_failover::topology::{Topology, Zone};
use starlinghill_failover::{wire, Micros, Position, FULL_WEIGHT};

const RAMP: Ramp = Ramp { step: 250, every_ms: 1_000 };

fn map(floor: u16) -> Topology {
    let zone = |name: &str, region: &str| (name.into(), Zone { region: region.into(), capacity: 100 });
    let zones = [zone("a1", "east"), zone("a2", "east"), zone("b1", "west")].into_iter().collect();
    Topology { regions: vec!["east".into(), "west".into()], zones, floor }
}

fn order(id: &str, what: OrderKind) -> Order {
    Order { id: id.into(), author: "eve".into(), reason: "a drill".into(), at_ms: 7, kind: what }
}

fn about(zone: &str, change: Change) -> ZoneOrder {
    ZoneOrder { zone: zone.into(), change, expected_epoch: None, takeover_region: None, force: false }
}

fn settled(floor: u16) -> State {
    let mut state = State::new(1);
    let adopted = state.apply(&order("map", OrderKind::Adopt { topology: map(floor), expected_epoch: None }));
    assert_eq!(adopted, Outcome::Accepted { position: Position { generation: 1, epoch: 1 } });
    state
}

#[track_caller]
fn accepted(state: &mut State, id: &str, wanted: ZoneOrder) {
    let outcome = state.apply(&order(id, OrderKind::Zone(wanted)));
    assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
}

#[track_caller]
fn refused(state: &mut State, id: &str, wanted: ZoneOrder) -> Vec<Cause> {
    let position = state.position;
    match state.apply(&order(id, OrderKind::Zone(wanted))) {
        Outcome::Refused { position: at, causes } if at == position => causes,
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_same_order_sent_again_counts_once_and_another_of_its_id_is_refused() {
    let mut state = settled(300);
    let out = order("o1", OrderKind::Zone(about("a1", Change::Out)));
    let first = state.apply(&out);
    let after = state.clone();
    assert_eq!(state.apply(&out), first);
    assert_eq!(state, after);
    // Also by hand, later, by one who has looked meanwhile.
    let again = Order {
        at_ms: 99,
        ..order("o1", OrderKind::Zone(ZoneOrder { expected_epoch: Some(9), ..about("a1", Change::Out) }))
    };
    assert_eq!(state.apply(&again), first);
    let other = order("o1", OrderKind::Zone(about("a2", Change::Hold)));
    assert!(matches!(state.apply(&other), Outcome::Refused { causes, .. } if causes == [Cause::IdReused]));
    // A refusal is an outcome too: that the state has changed since does not make it good.
    let late = order("o2", OrderKind::Zone(about("a1", Change::Out)));
    let refused = state.apply(&late);
    accepted(
        &mut state,
        "o3",
        about("a1", Change::Return { ramp: Ramp { step: FULL_WEIGHT, every_ms: 1_000 } }),
    );
    assert_eq!(state.apply(&late), refused);
}

#[test]
fn outcomes_kept_are_bounded_and_steps_push_none_out() {
    let mut state = settled(300);
    let hold = order("first", OrderKind::Zone(about("a1", Change::Out)));
    let first = state.apply(&hold);
    for i in 0..MAX_RECORDED_OUTCOMES + 10 {
        let step = OrderKind::Step { zone: "a1".into(), zone_epoch: i as u64 };
        let step = Order { id: String::new(), ..order("", step) };
        assert!(matches!(state.apply(&step), Outcome::Refused { .. }));
    }
    assert_eq!(state.apply(&hold), first);
    for i in 0..MAX_RECORDED_OUTCOMES {
        let no = order(&format!("n{i}"), OrderKind::Zone(about("nowhere", Change::Out)));
        assert!(matches!(state.apply(&no), Outcome::Refused { .. }));
    }
    assert_ne!(state.apply(&hold), first);
}

#[test]
fn a_refusal_names_every_cause_at_once() {
    let mut state = settled(700);
    accepted(&mut state, "o1", about("a1", Change::Drain { target_weight: 500, ramp: RAMP }));
    let mut wanted = about("b1", Change::Drain { target_weight: 0, ramp: Ramp { step: 0, every_ms: 1 } });
    wanted.expected_epoch = Some(0);
    let causes = refused(&mut state, "o2", wanted);
    let has = |wanted: fn(&Cause) -> bool| assert!(causes.iter().any(wanted), "{causes:?}");
    has(|c| matches!(c, Cause::ZoneChanged { seen: 0, now: 1, .. }));
    has(|c| matches!(c, Cause::BadRamp));
    has(|c| matches!(c, Cause::LastZoneOfRegion { region } if region == "west"));
    has(|c| matches!(c, Cause::OtherZonesNotInFullService { zones } if zones == &["a1"]));
    has(|c| matches!(c, Cause::BelowFloor { left: 500, floor: 700 }));
    assert_eq!(causes.len(), 5, "{causes:?}");
}

#[test]
fn the_last_zone_of_a_region_goes_only_where_another_region_takes_over() {
    let mut state = settled(300);
    let mut wanted = about("b1", Change::Out);
    assert!(matches!(&refused(&mut state, "o1", wanted.clone())[..], [Cause::LastZoneOfRegion { .. }]));
    wanted.takeover_region = Some("west".into());
    assert!(matches!(&refused(&mut state, "o2", wanted.clone())[..], [Cause::BadTakeoverRegion { .. }]));
    wanted.takeover_region = Some("nowhere".into());
    assert!(matches!(&refused(&mut state, "o3", wanted.clone())[..], [Cause::BadTakeoverRegion { .. }]));
    wanted.takeover_region = Some("east".into());
    accepted(&mut state, "o4", wanted);
    assert_eq!(state.takeover_regions.get("west").map(String::as_str), Some("east"));
    // And it is forgotten when something serves there again.
    accepted(&mut state, "o5", about("b1", Change::Return { ramp: RAMP }));
    assert!(state.takeover_regions.is_empty());
}

#[test]
fn a_second_zone_goes_only_by_force_and_the_floor_holds_all_the_same() {
    let mut state = settled(300);
    accepted(&mut state, "o1", about("a1", Change::Out));
    let mut wanted = about("a2", Change::Out);
    wanted.takeover_region = Some("west".into());
    assert!(matches!(
        &refused(&mut state, "o2", wanted.clone())[..],
        [Cause::OtherZonesNotInFullService { .. }]
    ));
    wanted.force = true;
    accepted(&mut state, "o3", wanted);
    let mut last = about("b1", Change::Out);
    last.force = true;
    last.takeover_region = Some("east".into());
    let causes = refused(&mut state, "o4", last);
    assert!(causes.contains(&Cause::NoZoneLeft), "{causes:?}");
    let mut tight = settled(700);
    let mut forced = about("a1", Change::Out);
    forced.force = true;
    let causes = refused(&mut tight, "o1", forced);
    assert_eq!(causes, [Cause::BelowFloor { left: 666, floor: 700 }]);
}

#[test]
fn of_two_who_order_opposite_things_at_once_one_is_told_of_the_other() {
    let mut state = settled(300);
    let seen = Some(state.zones["a1"].epoch);
    let with = |change| ZoneOrder { expected_epoch: seen, ..about("a1", change) };
    accepted(&mut state, "ann", with(Change::Drain { target_weight: 0, ramp: RAMP }));
    let causes = refused(&mut state, "bob", with(Change::Hold));
    assert_eq!(causes, [Cause::ZoneChanged { seen: 1, now: 2, by: "eve".into(), phase: Phase::Draining }]);
    assert!(causes[0].to_string().contains("changed since you looked: draining by eve at epoch 2"));
}

#[test]
fn a_ramp_makes_each_step_once_and_never_early_whoever_leads() {
    let mut state = settled(300);
    accepted(&mut state, "o1", about("a1", Change::Drain { target_weight: 100, ramp: RAMP }));
    assert_eq!(state.zones["a1"].weight, 750);
    let at = |s: f64| Micros((s * 1e6) as u64);
    let (mut one, mut other) = (Pacer::default(), Pacer::default());
    assert!(one.due_steps(at(0.0), &state, true).is_empty());
    assert!(one.due_steps(at(0.9), &state, true).is_empty());
    let due = one.due_steps(at(1.0), &state, true);
    assert_eq!(due.len(), 1);
    // Another leads from here on, its clock an hour ahead: it waits for the whole time again.
    assert!(other.due_steps(at(3_600.0), &state, true).is_empty());
    let step = |d: &starlinghill_failover::pacer::Due| Order {
        id: String::new(),
        ..order("", OrderKind::Step { zone: d.zone.clone(), zone_epoch: d.zone_epoch })
    };
    assert!(matches!(state.apply(&step(&due[0])), Outcome::Accepted { .. }));
    assert_eq!(state.zones["a1"].weight, 500);
    // The same step proposed again, by whom its term has ended for, does nothing.
    let before = state.clone();
    assert!(matches!(state.apply(&step(&due[0])), Outcome::Refused { .. }));
    assert_eq!(state, before);
    assert!(other.due_steps(at(3_600.9), &state, true).is_empty(), "the time counts from the new epoch on");
    for second in 1..10 {
        for due in other.due_steps(at(3_601.0 + f64::from(second)), &state, true) {
            state.apply(&step(&due));
        }
    }
    assert_eq!((state.zones["a1"].weight, state.zones["a1"].phase), (100, Phase::Draining));
    assert!(!state.zones["a1"].has_pending_step());
}

#[test]
fn a_zone_leaves_the_map_only_when_it_is_out_and_new_ones_begin_in_service() {
    let mut state = settled(300);
    let mut smaller = map(300);
    smaller.zones.remove("a1");
    smaller.zones.insert("b2".into(), Zone { region: "west".into(), capacity: 50 });
    let adopt = |state: &State| OrderKind::Adopt {
        topology: smaller.clone(),
        expected_epoch: Some(state.position.epoch),
    };
    let what = adopt(&state);
    let outcome = state.apply(&order("m1", what));
    assert!(
        matches!(&outcome, Outcome::Refused { causes, .. }
        if causes == &[Cause::ZoneInService { zone: "a1".into() }]),
        "{outcome:?}"
    );
    accepted(&mut state, "o1", about("a1", Change::Out));
    let old = OrderKind::Adopt { topology: smaller.clone(), expected_epoch: Some(1) };
    assert!(
        matches!(state.apply(&order("m2", old)), Outcome::Refused { .. }),
        "by one who saw an older state"
    );
    let what = adopt(&state);
    assert!(matches!(state.apply(&order("m3", what)), Outcome::Accepted { .. }));
    assert_eq!(state.zones["b2"].phase, Phase::Serving);
    assert!(!state.zones.contains_key("a1"));
}

#[test]
fn a_new_map_leaves_no_region_without_a_zone_in_service_or_one_that_takes_over() {
    let moved = |state: &State| {
        let mut map = map(0);
        map.zones.insert("a2".into(), Zone { region: "west".into(), capacity: 100 });
        OrderKind::Adopt { topology: map, expected_epoch: Some(state.position.epoch) }
    };
    let mut state = settled(0);
    accepted(&mut state, "o1", about("a1", Change::Out));
    let what = moved(&state);
    // "a1", which is out, would be all that "east" has.
    let refused = state.apply(&order("m1", what));
    let without = Cause::RegionUnserved { region: "east".into() };
    assert!(matches!(refused, Outcome::Refused { causes, .. } if causes == [without]));
    // With "west" named to take over for it, it may.
    let last = ZoneOrder { takeover_region: Some("west".into()), force: true, ..about("a2", Change::Out) };
    accepted(&mut state, "o2", last);
    let what = moved(&state);
    let good = state.apply(&order("m2", what));
    assert!(matches!(good, Outcome::Accepted { .. }), "{good:?}");
    assert_eq!(state.takeover_regions.get("east").map(String::as_str), Some("west"));
}

#[test]
fn what_a_later_version_says_is_refused_whole() {
    let good = order("o1", OrderKind::Zone(about("a1", Change::Out)));
    let text = String::from_utf8(wire::encode(&good)).unwrap();
    assert_eq!(wire::decode::<Order>(text.as_bytes()).unwrap(), good);
    let refused = |from: &str, to: &str| {
        let changed = text.replacen(from, to, 1);
        assert_ne!(changed, text);
        wire::decode::<Order>(changed.as_bytes()).unwrap_err()
    };
    assert_eq!(refused("\"v\":1", "\"v\":2"), wire::WireError::Version(2));
    assert!(matches!(refused("\"kind\":\"order\"", "\"kind\":\"told\""), wire::WireError::Kind(_)));
    for (from, to) in [
        ("\"out\"", "\"drown\""),
        ("\"out\"", "{\"out\":{\"gently\":true}}"),
        ("\"force\":false", "\"force\":false,\"until\":9"),
        ("\"author\":\"eve\"", "\"author\":\"eve\",\"witness\":\"bob\""),
        ("\"zone\":{", "\"moon\":{"),
    ] {
        assert!(matches!(refused(from, to), wire::WireError::Malformed(_)), "{to}");
    }
    let long = vec![b' '; wire::MAX_MESSAGE_BYTES + 1];
    assert_eq!(wire::decode::<Order>(&long), Err(wire::WireError::TooLong(wire::MAX_MESSAGE_BYTES + 1)));
}

fn any_change() -> impl Strategy<Value = Change> {
    let ramp = (0..1_100u16, 400..5_000u32).prop_map(|(step, every_ms)| Ramp { step, every_ms });
    prop_oneof![
        (0..1_100u16, ramp.clone()).prop_map(|(to, ramp)| Change::Drain { target_weight: to, ramp }),
        Just(Change::Out),
        ramp.prop_map(|ramp| Change::Return { ramp }),
        Just(Change::Hold),
    ]
}

fn any_what() -> impl Strategy<Value = OrderKind> {
    let name = prop::sample::select(vec!["a1", "a2", "b1", "c1"]);
    let next = prop::option::of(prop::sample::select(vec!["east", "west"]));
    let zone = (name.clone(), any_change(), prop::option::of(0..30u64), next, any::<bool>()).prop_map(
        |(zone, change, expect, next, force)| {
            let (zone, next) = (zone.into(), next.map(String::from));
            OrderKind::Zone(ZoneOrder { zone, change, expected_epoch: expect, takeover_region: next, force })
        },
    );
    let step = (name, 0..30u64).prop_map(|(zone, of)| OrderKind::Step { zone: zone.into(), zone_epoch: of });
    let adopt = (0..1_001u16, 0..30u64, any::<bool>()).prop_map(|(floor, expect, less)| {
        let mut map = map(floor);
        if less {
            map.zones.remove("a2");
        }
        OrderKind::Adopt { topology: map, expected_epoch: Some(expect) }
    });
    prop_oneof![6 => zone, 4 => step, 1 => adopt]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn whatever_is_ordered_enough_stays_in_service_and_members_agree(
        floor in 0..900u16,
        orders in prop::collection::vec((any_what(), 0..6u8, any::<bool>()), 1..60),
    ) {
        let mut state = settled(floor);
        let mut other = settled(floor);
        for (i, (what, id, fresh)) in orders.into_iter().enumerate() {
            // Steps mostly name the epoch that there is; else few would count.
            let what = match what {
                OrderKind::Step { zone, zone_epoch: of } => {
                    let of = state.zones.get(&zone).filter(|_| fresh).map_or(of, |z| z.epoch);
                    OrderKind::Step { zone, zone_epoch: of }
                }
                OrderKind::Zone(mut z) => {
                    z.expected_epoch = z.expected_epoch.filter(|_| !fresh);
                    OrderKind::Zone(z)
                }
                OrderKind::Adopt { topology, expected_epoch } => {
                    let now = state.position.epoch;
                    OrderKind::Adopt { topology, expected_epoch: if fresh { Some(now) } else { expected_epoch } }
                }
            };
            let id = match (&what, fresh) {
                (OrderKind::Step { .. }, _) => String::new(),
                (_, true) => format!("n{i}"),
                // Some ids come again, with the same order or another.
                (_, false) => format!("o{id}"),
            };
            let order = order(&id, what);
            let before = state.clone();
            let outcome = state.apply(&order);
            let heard: Order = wire::decode(&wire::encode(&order)).unwrap();
            prop_assert_eq!(&heard, &order);
            prop_assert_eq!(&other.apply(&heard), &outcome);
            prop_assert_eq!(wire::digest(&state), wire::digest(&other));
            match &outcome {
                Outcome::Accepted { position } if *position > before.position => {
                    prop_assert_eq!(position.epoch, before.position.epoch + 1);
                    prop_assert_eq!(state.position, *position);
                }
                _ => {
                    prop_assert_eq!(&state.zones, &before.zones);
                    prop_assert_eq!(state.position, before.position);
                }
            }
            let map = state.topology.clone().unwrap();
            let borne: u64 = map.zones.iter().map(|(n, z)| {
                u64::from(z.capacity) * u64::from(state.zones[n].weight.min(state.zones[n].target_weight))
            }).sum();
            prop_assert!(borne > 0);
            prop_assert!(borne / map.capacity() >= u64::from(map.floor), "{borne} of {}", map.capacity());
            for (name, z) in &state.zones {
                prop_assert!(z.weight <= FULL_WEIGHT && z.target_weight <= FULL_WEIGHT);
                prop_assert_eq!(z.phase == Phase::Serving, z.weight == FULL_WEIGHT && z.target_weight == FULL_WEIGHT
                    && z.phase != Phase::Held, "{}: {:?}", name, z);
                prop_assert!(z.phase != Phase::Out || z.weight == 0);
            }
        }
    }
}
