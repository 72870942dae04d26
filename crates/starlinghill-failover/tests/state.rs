//! The replicated state machine under orders of every kind.

use proptest::prelude::*;
use starlinghill_failover::order::{Change, Order, OrderKind, Ramp, ZoneOrder};
use starlinghill_failover::pacer::Pacer;
use starlinghill_failover::rejection::Cause;
use starlinghill_failover::state::{Outcome, Phase, State, MAX_RECORDED_OUTCOMES};
use starlinghill_failover::topology::{Topology, Zone};
use starlinghill_failover::{wire, Micros, Position, FULL_WEIGHT};

const RAMP: Ramp = Ramp { step: 250, every_ms: 1_000 };

fn topology(floor: u16) -> Topology {
    let zone = |name: &str, region: &str| (name.into(), Zone { region: region.into(), capacity: 100 });
    let zones = [zone("a1", "east"), zone("a2", "east"), zone("b1", "west")].into_iter().collect();
    Topology { regions: vec!["east".into(), "west".into()], zones, floor }
}

fn order(id: &str, kind: OrderKind) -> Order {
    Order { id: id.into(), author: "eve".into(), reason: "a drill".into(), at_ms: 7, kind }
}

fn zone_order(zone: &str, change: Change) -> ZoneOrder {
    ZoneOrder { zone: zone.into(), change, expected_epoch: None, takeover_region: None, force: false }
}

fn adopted_state(floor: u16) -> State {
    let mut state = State::new(1);
    let adopted =
        state.apply(&order("map", OrderKind::Adopt { topology: topology(floor), expected_epoch: None }));
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
fn a_repeated_order_counts_once_and_another_order_with_its_id_is_refused() {
    let mut state = adopted_state(300);
    let out = order("o1", OrderKind::Zone(zone_order("a1", Change::Out)));
    let first = state.apply(&out);
    let after = state.clone();
    assert_eq!(state.apply(&out), first);
    assert_eq!(state, after);
    // An operator who sends it again by hand has another time and may name the epoch seen meanwhile.
    let again = Order {
        at_ms: 99,
        ..order("o1", OrderKind::Zone(ZoneOrder { expected_epoch: Some(9), ..zone_order("a1", Change::Out) }))
    };
    assert_eq!(state.apply(&again), first);
    let other = order("o1", OrderKind::Zone(zone_order("a2", Change::Hold)));
    assert!(matches!(state.apply(&other), Outcome::Refused { causes, .. } if causes == [Cause::IdReused]));
    // A refusal is recorded too: the same order is refused again, although the state would allow it now.
    let late = order("o2", OrderKind::Zone(zone_order("a1", Change::Out)));
    let refused = state.apply(&late);
    accepted(
        &mut state,
        "o3",
        zone_order("a1", Change::Return { ramp: Ramp { step: FULL_WEIGHT, every_ms: 1_000 } }),
    );
    assert_eq!(state.apply(&late), refused);
}

#[test]
fn recorded_outcomes_are_bounded_and_ramp_steps_evict_none() {
    let mut state = adopted_state(300);
    let out = order("first", OrderKind::Zone(zone_order("a1", Change::Out)));
    let first = state.apply(&out);
    for i in 0..MAX_RECORDED_OUTCOMES + 10 {
        let step = OrderKind::Step { zone: "a1".into(), zone_epoch: i as u64 };
        let step = Order { id: String::new(), ..order("", step) };
        assert!(matches!(state.apply(&step), Outcome::Refused { .. }));
    }
    assert_eq!(state.apply(&out), first);
    for i in 0..MAX_RECORDED_OUTCOMES {
        let no = order(&format!("n{i}"), OrderKind::Zone(zone_order("nowhere", Change::Out)));
        assert!(matches!(state.apply(&no), Outcome::Refused { .. }));
    }
    assert_ne!(state.apply(&out), first);
}

#[test]
fn a_refusal_lists_every_cause() {
    let mut state = adopted_state(700);
    accepted(&mut state, "o1", zone_order("a1", Change::Drain { target_weight: 500, ramp: RAMP }));
    let mut wanted =
        zone_order("b1", Change::Drain { target_weight: 0, ramp: Ramp { step: 0, every_ms: 1 } });
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
fn the_last_zone_of_a_region_can_go_out_only_if_another_region_takes_over() {
    let mut state = adopted_state(300);
    let mut wanted = zone_order("b1", Change::Out);
    assert!(matches!(&refused(&mut state, "o1", wanted.clone())[..], [Cause::LastZoneOfRegion { .. }]));
    wanted.takeover_region = Some("west".into());
    assert!(matches!(&refused(&mut state, "o2", wanted.clone())[..], [Cause::BadTakeoverRegion { .. }]));
    wanted.takeover_region = Some("nowhere".into());
    assert!(matches!(&refused(&mut state, "o3", wanted.clone())[..], [Cause::BadTakeoverRegion { .. }]));
    wanted.takeover_region = Some("east".into());
    accepted(&mut state, "o4", wanted);
    assert_eq!(state.takeover_regions.get("west").map(String::as_str), Some("east"));
    // Once a zone serves in the region again, the takeover region is dropped.
    accepted(&mut state, "o5", zone_order("b1", Change::Return { ramp: RAMP }));
    assert!(state.takeover_regions.is_empty());
}

#[test]
fn a_second_zone_can_go_out_only_with_force_and_the_floor_still_applies() {
    let mut state = adopted_state(300);
    accepted(&mut state, "o1", zone_order("a1", Change::Out));
    let mut wanted = zone_order("a2", Change::Out);
    wanted.takeover_region = Some("west".into());
    assert!(matches!(
        &refused(&mut state, "o2", wanted.clone())[..],
        [Cause::OtherZonesNotInFullService { .. }]
    ));
    wanted.force = true;
    accepted(&mut state, "o3", wanted);
    let mut last_zone = zone_order("b1", Change::Out);
    last_zone.force = true;
    last_zone.takeover_region = Some("east".into());
    let causes = refused(&mut state, "o4", last_zone);
    assert!(causes.contains(&Cause::NoZoneLeft), "{causes:?}");
    let mut high_floor = adopted_state(700);
    let mut forced = zone_order("a1", Change::Out);
    forced.force = true;
    let causes = refused(&mut high_floor, "o1", forced);
    assert_eq!(causes, [Cause::BelowFloor { left: 666, floor: 700 }]);
}

#[test]
fn of_two_opposite_orders_given_at_once_the_second_is_refused_and_names_the_first() {
    let mut state = adopted_state(300);
    let seen_epoch = Some(state.zones["a1"].epoch);
    let with = |change| ZoneOrder { expected_epoch: seen_epoch, ..zone_order("a1", change) };
    accepted(&mut state, "ann", with(Change::Drain { target_weight: 0, ramp: RAMP }));
    let causes = refused(&mut state, "bob", with(Change::Hold));
    assert_eq!(causes, [Cause::ZoneChanged { seen: 1, now: 2, by: "eve".into(), phase: Phase::Draining }]);
    assert!(causes[0].to_string().contains("changed since you looked: draining by eve at epoch 2"));
}

#[test]
fn a_ramp_makes_each_step_once_and_never_early_under_any_leader() {
    let mut state = adopted_state(300);
    accepted(&mut state, "o1", zone_order("a1", Change::Drain { target_weight: 100, ramp: RAMP }));
    assert_eq!(state.zones["a1"].weight, 750);
    let at = |s: f64| Micros((s * 1e6) as u64);
    let (mut old_leader, mut new_leader) = (Pacer::default(), Pacer::default());
    assert!(old_leader.due_steps(at(0.0), &state, true).is_empty());
    assert!(old_leader.due_steps(at(0.9), &state, true).is_empty());
    let due = old_leader.due_steps(at(1.0), &state, true);
    assert_eq!(due.len(), 1);
    // A new leader, whose clock is an hour ahead, waits for the full interval again.
    assert!(new_leader.due_steps(at(3_600.0), &state, true).is_empty());
    let step_order = |d: &starlinghill_failover::pacer::DueStep| Order {
        id: String::new(),
        ..order("", OrderKind::Step { zone: d.zone.clone(), zone_epoch: d.zone_epoch })
    };
    assert!(matches!(state.apply(&step_order(&due[0])), Outcome::Accepted { .. }));
    assert_eq!(state.zones["a1"].weight, 500);
    // A leader whose term has ended submits the same step again: it does nothing.
    let before = state.clone();
    assert!(matches!(state.apply(&step_order(&due[0])), Outcome::Refused { .. }));
    assert_eq!(state, before);
    assert!(
        new_leader.due_steps(at(3_600.9), &state, true).is_empty(),
        "the interval starts at the new epoch"
    );
    for second in 1..10 {
        for due in new_leader.due_steps(at(3_601.0 + f64::from(second)), &state, true) {
            state.apply(&step_order(&due));
        }
    }
    assert_eq!((state.zones["a1"].weight, state.zones["a1"].phase), (100, Phase::Draining));
    assert!(!state.zones["a1"].has_pending_step());
}

#[test]
fn a_zone_can_leave_the_topology_only_when_it_is_out_and_new_zones_begin_in_service() {
    let mut state = adopted_state(300);
    let mut smaller = topology(300);
    smaller.zones.remove("a1");
    smaller.zones.insert("b2".into(), Zone { region: "west".into(), capacity: 50 });
    let adopt = |state: &State| OrderKind::Adopt {
        topology: smaller.clone(),
        expected_epoch: Some(state.position.epoch),
    };
    let kind = adopt(&state);
    let outcome = state.apply(&order("m1", kind));
    assert!(
        matches!(&outcome, Outcome::Refused { causes, .. }
        if causes == &[Cause::ZoneInService { zone: "a1".into() }]),
        "{outcome:?}"
    );
    accepted(&mut state, "o1", zone_order("a1", Change::Out));
    let old = OrderKind::Adopt { topology: smaller.clone(), expected_epoch: Some(1) };
    assert!(
        matches!(state.apply(&order("m2", old)), Outcome::Refused { .. }),
        "the author saw an older epoch"
    );
    let kind = adopt(&state);
    assert!(matches!(state.apply(&order("m3", kind)), Outcome::Accepted { .. }));
    assert_eq!(state.zones["b2"].phase, Phase::Serving);
    assert!(!state.zones.contains_key("a1"));
}

#[test]
fn a_new_topology_must_leave_each_region_a_zone_in_service_or_a_takeover_region() {
    let move_a2_west = |state: &State| {
        let mut map = topology(0);
        map.zones.insert("a2".into(), Zone { region: "west".into(), capacity: 100 });
        OrderKind::Adopt { topology: map, expected_epoch: Some(state.position.epoch) }
    };
    let mut state = adopted_state(0);
    accepted(&mut state, "o1", zone_order("a1", Change::Out));
    let kind = move_a2_west(&state);
    // "east" would only have "a1", which is out.
    let refused = state.apply(&order("m1", kind));
    let unserved = Cause::RegionUnserved { region: "east".into() };
    assert!(matches!(refused, Outcome::Refused { causes, .. } if causes == [unserved]));
    // Once "west" takes over for "east", the move is allowed.
    let last =
        ZoneOrder { takeover_region: Some("west".into()), force: true, ..zone_order("a2", Change::Out) };
    accepted(&mut state, "o2", last);
    let kind = move_a2_west(&state);
    let outcome = state.apply(&order("m2", kind));
    assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
    assert_eq!(state.takeover_regions.get("east").map(String::as_str), Some("west"));
}

#[test]
fn a_message_of_a_later_version_or_with_unknown_parts_is_refused() {
    let good = order("o1", OrderKind::Zone(zone_order("a1", Change::Out)));
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

fn any_order_kind() -> impl Strategy<Value = OrderKind> {
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
        let mut map = topology(floor);
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
    fn after_any_orders_enough_capacity_stays_in_service_and_members_have_equal_states(
        floor in 0..900u16,
        orders in prop::collection::vec((any_order_kind(), 0..6u8, any::<bool>()), 1..60),
    ) {
        let mut state = adopted_state(floor);
        let mut other = adopted_state(floor);
        for (i, (kind, id, fresh)) in orders.into_iter().enumerate() {
            // Some steps name the zone's real epoch, because few random epochs would be accepted.
            let kind = match kind {
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
            let id = match (&kind, fresh) {
                (OrderKind::Step { .. }, _) => String::new(),
                (_, true) => format!("n{i}"),
                // Some ids repeat, with the same order or another one.
                (_, false) => format!("o{id}"),
            };
            let order = order(&id, kind);
            let before = state.clone();
            let outcome = state.apply(&order);
            let decoded: Order = wire::decode(&wire::encode(&order)).unwrap();
            prop_assert_eq!(&decoded, &order);
            prop_assert_eq!(&other.apply(&decoded), &outcome);
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
            let weighted: u64 = map.zones.iter().map(|(n, z)| {
                u64::from(z.capacity) * u64::from(state.zones[n].weight.min(state.zones[n].target_weight))
            }).sum();
            prop_assert!(weighted > 0);
            prop_assert!(weighted / map.capacity() >= u64::from(map.floor), "{weighted} of {}", map.capacity());
            for (name, z) in &state.zones {
                prop_assert!(z.weight <= FULL_WEIGHT && z.target_weight <= FULL_WEIGHT);
                prop_assert_eq!(z.phase == Phase::Serving, z.weight == FULL_WEIGHT && z.target_weight == FULL_WEIGHT
                    && z.phase != Phase::Held, "{}: {:?}", name, z);
                prop_assert!(z.phase != Phase::Out || z.weight == 0);
            }
        }
    }
}

/// Guards against a message that ends a member by an overflow of the stack.
#[test]
fn a_message_that_is_nested_very_deeply_is_refused() {
    let nested = "[".repeat(50_000) + &"]".repeat(50_000);
    let message = format!(r#"{{"v":1,"kind":"order","body":{nested}}}"#);
    let refused = wire::decode::<Order>(message.as_bytes());
    assert!(
        matches!(&refused, Err(wire::WireError::Malformed(why)) if why.contains("recursion")),
        "{refused:?}"
    );
}
