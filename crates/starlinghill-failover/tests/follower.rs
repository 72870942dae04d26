//! A gateway's follower with members that lag, pause and answer late, on clocks that differ in start and rate.

use starlinghill_failover::bounds::Timing;
use starlinghill_failover::directive::{DirectiveUpdate, Directives};
use starlinghill_failover::follower::{Action, Event, Follower, Mode, SwitchReason};
use starlinghill_failover::order::{Change, Order, OrderKind, Ramp, ZoneOrder};
use starlinghill_failover::staleness::StalenessBound;
use starlinghill_failover::state::{Outcome, State};
use starlinghill_failover::topology::{Topology, Zone};
use starlinghill_failover::{Micros, Position, FULL_WEIGHT};
use std::collections::VecDeque;

fn ms(n: u64) -> Micros {
    Micros(n * 1_000)
}

fn order(id: u64, kind: OrderKind) -> Order {
    Order { id: format!("o{id}"), author: "eve".into(), reason: "a drill".into(), at_ms: 0, kind }
}

fn adopted_state(generation: u64) -> State {
    let zone = |name: &str, region: &str| (name.into(), Zone { region: region.into(), capacity: 1 });
    let zones = [zone("a1", "east"), zone("a2", "east"), zone("b1", "west")].into_iter().collect();
    let map = Topology { regions: vec!["east".into(), "west".into()], zones, floor: 0 };
    let mut state = State::new(generation);
    state.apply(&order(0, OrderKind::Adopt { topology: map, expected_epoch: None }));
    state
}

fn change(state: &mut State, id: u64, zone: &str, change: Change) {
    let (zone, force) = (zone.into(), true);
    let wanted =
        OrderKind::Zone(ZoneOrder { zone, change, expected_epoch: None, takeover_region: None, force });
    let outcome = state.apply(&order(id, wanted));
    assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
}

fn full_update(state: &State) -> Event {
    Event::Update(DirectiveUpdate::Whole { directives: Directives::from_state(state) })
}

fn answer(asked: u64, age: u64, position: Position) -> Event {
    Event::Answer { asked_at: ms(asked), age: Some(ms(age)), position }
}

/// A follower that applies `state`, confirmed at 10 ms with age 0.
fn following(state: &State) -> Follower {
    let mut follower = Follower::new(Timing::default(), 0);
    follower.connected(ms(10));
    follower.handle(ms(10), full_update(state));
    follower.handle(ms(10), answer(10, 0, state.position));
    assert_eq!(follower.view().mode, Mode::Following);
    follower
}

const DRAIN: Change = Change::Drain { target_weight: 0, ramp: Ramp { step: 500, every_ms: 1_000 } };

#[test]
fn directives_are_applied_only_once_their_age_is_known() {
    let mut state = adopted_state(1);
    change(&mut state, 1, "a1", DRAIN);
    let mut follower = Follower::new(Timing::default(), 0);
    follower.connected(ms(10));
    assert!(follower.handle(ms(10), full_update(&state)).is_empty());
    assert_eq!(follower.view().mode, Mode::LocalOnly);
    let actions = follower.handle(ms(20), answer(15, 3, state.position));
    assert!(
        matches!(&actions[..], [Action::Follow(v)] if v.zones["a1"].weight == 500 && !v.zones["a1"].overridable)
    );
}

#[test]
fn past_the_fresh_limit_no_step_is_applied_and_past_the_stale_limit_the_gateway_reports_local_only() {
    let mut state = adopted_state(1);
    change(&mut state, 1, "a1", DRAIN);
    let mut follower = following(&state);
    assert!(follower.handle(ms(1_900), Event::Tick).is_empty());
    let actions = follower.handle(ms(2_100), Event::Tick);
    assert!(
        actions.iter().any(|a| matches!(a, Action::Follow(v) if v.mode == Mode::Retaining)),
        "{actions:?}"
    );
    // A member without a connection to the leader sends the next step, but does not know the age of its state.
    let mut later = state.clone();
    change(&mut later, 2, "a1", Change::Out);
    follower.handle(ms(2_200), full_update(&later));
    follower.handle(ms(2_200), Event::Answer { asked_at: ms(2_150), age: None, position: later.position });
    follower.handle(ms(2_300), answer(2_250, 5_000, later.position));
    assert_eq!((follower.view().mode, follower.view().zones["a1"].weight), (Mode::Retaining, 500));
    assert_eq!(follower.held(), later.position);
    let actions = follower.handle(ms(10_100), Event::Tick);
    let Some(Action::Follow(view)) = actions.last() else { panic!("{actions:?}") };
    assert_eq!((view.mode, view.zones["a1"].weight), (Mode::LocalOnly, 500));
    assert!(view.zones["a1"].overridable);
    // Once the age is confirmed again, the stored directives apply.
    follower.handle(ms(10_200), answer(10_190, 2, later.position));
    assert_eq!((follower.view().mode, follower.view().zones["a1"].weight), (Mode::Following, 0));
}

#[test]
fn an_older_position_is_never_applied_and_the_gateway_leaves_a_member_that_stays_behind() {
    let old = adopted_state(1);
    let mut state = old.clone();
    change(&mut state, 1, "a1", Change::Out);
    let mut follower = following(&state);
    follower.connected(ms(20));
    assert!(follower.handle(ms(20), full_update(&old)).is_empty());
    // A member that was paused claims a current state at an older position. This confirms nothing.
    follower.handle(ms(30), answer(25, 0, old.position));
    assert_eq!(follower.held(), state.position);
    assert_eq!(follower.age(ms(1_000)), Some(Timing::default().max_true_span(ms(990))));
    let actions = follower.handle(ms(600), Event::Tick);
    assert!(matches!(&actions[..], [Action::SwitchMember(SwitchReason::Behind { .. })]), "{actions:?}");
}

#[test]
fn new_settings_keep_the_applied_directives_and_a_raised_generation_makes_the_gateway_local_only() {
    let mut state = adopted_state(1);
    change(&mut state, 1, "a1", Change::Out);
    let mut follower = following(&state);
    let shorter = Timing { fresh_limit: ms(1_500), ..Timing::default() };
    follower.update_settings(shorter, 1);
    assert!(follower.handle(ms(1_400), Event::Tick).is_empty());
    assert_eq!((follower.view().mode, follower.view().zones["a1"].weight), (Mode::Following, 0));
    // The new limit applies: by the old one the directives would still be fresh.
    follower.handle(ms(1_600), Event::Tick);
    assert_eq!(follower.view().mode, Mode::Retaining);
    follower.update_settings(shorter, 2);
    follower.connected(ms(1_600));
    follower.handle(ms(1_600), Event::Tick);
    assert_eq!((follower.view().mode, follower.view().zones["a1"].weight), (Mode::LocalOnly, 0));
    assert!(follower.view().zones["a1"].overridable);
    // Members of the old generation are not accepted any more; those of the restored group are.
    follower.handle(ms(1_610), full_update(&state));
    follower.handle(ms(1_620), answer(1_615, 0, state.position));
    assert_eq!(follower.view().mode, Mode::LocalOnly);
    // A lower generation in a settings file that was put back does not make them acceptable again.
    follower.update_settings(shorter, 1);
    follower.handle(ms(1_630), full_update(&state));
    follower.handle(ms(1_640), answer(1_635, 0, state.position));
    assert_eq!(follower.view().mode, Mode::LocalOnly);
    let restored = state.restored();
    follower.connected(ms(1_650));
    follower.handle(ms(1_650), full_update(&restored));
    follower.handle(ms(1_660), answer(1_655, 0, restored.position));
    assert_eq!((follower.view().mode, follower.view().position), (Mode::Following, restored.position));
}

#[test]
fn a_restored_group_takes_precedence_over_the_old_majority_at_any_epoch() {
    let old = adopted_state(1);
    let restored = old.clone().restored();
    let mut later_old = old.clone();
    for id in 0..5 {
        change(&mut later_old, 2 * id + 1, "a1", Change::Out);
        change(
            &mut later_old,
            2 * id + 2,
            "a1",
            Change::Return { ramp: Ramp { step: FULL_WEIGHT, every_ms: 1_000 } },
        );
    }
    let mut follower = following(&later_old);
    follower.handle(ms(20), full_update(&restored));
    assert_eq!(follower.held(), restored.position);
    assert_eq!(
        follower.age(ms(20)),
        None,
        "a confirmation by the old group does not count for the restored one"
    );
    follower.handle(ms(30), answer(25, 0, restored.position));
    let actions = follower.handle(ms(40), full_update(&later_old));
    assert!(matches!(&actions[..], [Action::SwitchMember(SwitchReason::Behind { .. })]), "{actions:?}");
    // A restarted follower accepts no generation below the one in its settings.
    let mut restarted = Follower::new(Timing::default(), 2);
    restarted.connected(ms(10));
    let actions = restarted.handle(ms(10), full_update(&later_old));
    assert!(matches!(&actions[..], [Action::SwitchMember(SwitchReason::Behind { .. })]), "{actions:?}");
}

#[test]
fn after_a_lost_change_the_gateway_requests_all_directives() {
    let start = adopted_state(1);
    let mut follower = following(&start);
    let mut state = start.clone();
    change(&mut state, 1, "a1", DRAIN);
    let first = Directives::from_state(&state);
    change(&mut state, 2, "a1", Change::Out);
    let second = Directives::from_state(&state);
    let second_change = second.update_from(&first);
    assert!(matches!(&second_change, DirectiveUpdate::Change { zones, .. } if zones.len() == 1));
    assert_eq!(follower.handle(ms(20), Event::Update(second_change.clone())), [Action::RequestFull]);
    follower.handle(ms(30), Event::Update(first.update_from(&Directives::from_state(&start))));
    follower.handle(ms(30), Event::Update(second_change));
    assert_eq!(follower.held(), state.position);
    // An answer with a newer position than the stored one leads to the same request.
    let ahead = Position { epoch: state.position.epoch + 1, ..state.position };
    assert_eq!(follower.handle(ms(40), answer(35, 0, ahead)), [Action::RequestFull]);
}

#[test]
fn an_update_that_is_out_of_bounds_or_contradicts_another_member_is_refused() {
    let state = adopted_state(1);
    let mut follower = following(&state);
    let mut other = Directives::from_state(&state);
    other.zones.get_mut("a1").unwrap().weight = 3;
    let actions =
        follower.handle(ms(20), Event::Update(DirectiveUpdate::Whole { directives: other.clone() }));
    assert!(matches!(&actions[..], [Action::SwitchMember(SwitchReason::Contradicts(_))]), "{actions:?}");
    other.position.epoch += 1;
    other.zones.get_mut("a1").unwrap().weight = FULL_WEIGHT + 1;
    let actions =
        follower.handle(ms(20), Event::Update(DirectiveUpdate::Whole { directives: other.clone() }));
    assert!(matches!(&actions[..], [Action::SwitchMember(SwitchReason::InvalidUpdate(_))]), "{actions:?}");
    for i in 0..300 {
        let zone = other.zones["b1"].clone();
        other.zones.insert(format!("z{i}"), zone);
    }
    let actions = follower.handle(ms(20), Event::Update(DirectiveUpdate::Whole { directives: other }));
    assert!(matches!(&actions[..], [Action::SwitchMember(SwitchReason::InvalidUpdate(_))]), "{actions:?}");
    assert_eq!(follower.held(), state.position);
}

/// A simulated member: its log lags, its questions to the leader take time, and it pauses.
struct Member {
    state: State,
    staleness: StalenessBound,
    /// When the member asked the leader, in ms, and the newest epoch in the leader's answer.
    question: Option<(u64, u64)>,
    paused_until: u64,
    disconnected_until: u64,
}

/// A clock with a rate error of up to 1% and a random start.
struct Clock {
    /// In microseconds.
    start_us: u64,
    rate: f64,
}
impl Clock {
    fn at_ms(&self, t: u64) -> Micros {
        Micros(self.start_us + (t as f64 * 1_000.0 * self.rate) as u64)
    }
}

#[test]
fn with_lags_pauses_and_clock_errors_no_follower_goes_back_or_applies_directives_that_are_too_old() {
    let timing = Timing::default();
    let (mut following_count, mut retaining_count, mut local_only_count) = (0, 0, 0);
    for seed in 0..400u64 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut clock =
            || Clock { start_us: rng.u64(0..100_000_000), rate: rng.f64().mul_add(0.0196, 0.9902) };
        let gateway_clock = clock();
        let clocks: Vec<Clock> = (0..3).map(|_| clock()).collect();
        let mut history = vec![(0u64, adopted_state(1))];
        let mut members: Vec<Member> = (0..3)
            .map(|_| Member {
                state: adopted_state(1),
                staleness: StalenessBound::default(),
                question: None,
                paused_until: 0,
                disconnected_until: 0,
            })
            .collect();
        let mut follower = Follower::new(timing, 0);
        let mut wire: VecDeque<(u64, Event)> = VecDeque::new();
        let (mut member_index, mut highest) = (0usize, Position::default());
        let mut asked = None;
        for t in (0..40_000u64).step_by(50) {
            if rng.u32(..100) < 3 {
                let mut new = history.last().unwrap().1.clone();
                let zone = ["a1", "a2", "b1"][rng.usize(..3)];
                let changes = [
                    DRAIN,
                    Change::Out,
                    Change::Hold,
                    Change::Return { ramp: Ramp { step: 300, every_ms: 600 } },
                ];
                let wanted = OrderKind::Zone(ZoneOrder {
                    zone: zone.into(),
                    change: changes[rng.usize(..4)],
                    expected_epoch: None,
                    takeover_region: None,
                    force: true,
                });
                new.apply(&order(t + 1, wanted));
                history.push((t, new));
            }
            let newest = history.last().unwrap().1.clone();
            for (m, clock) in members.iter_mut().zip(&clocks) {
                if rng.u32(..400) == 0 {
                    m.paused_until = t + rng.u64(..15_000);
                }
                if rng.u32(..300) == 0 {
                    m.disconnected_until = t + rng.u64(..15_000);
                }
                if t < m.paused_until {
                    continue;
                }
                // While the member is disconnected, the leader's answer waits and comes late.
                if let Some((asked, newest)) = m.question.filter(|_| t >= m.disconnected_until) {
                    m.staleness.record_answer(clock.at_ms(asked), newest);
                    m.question = None;
                }
                if t < m.disconnected_until {
                    continue;
                }
                if rng.bool() {
                    m.state = newest.clone();
                    m.staleness.record_applied(newest.position.epoch);
                }
                if rng.u32(..4) == 0 {
                    m.question = Some((t, newest.position.epoch));
                }
            }
            let m = &members[member_index];
            if t >= m.paused_until {
                if rng.bool() {
                    wire.push_back((t + rng.u64(..100), full_update(&m.state)));
                }
                if let Some(asked) = asked.take_if(|a: &mut u64| *a < t) {
                    let (asked, age) =
                        (gateway_clock.at_ms(asked), m.staleness.age(clocks[member_index].at_ms(t)));
                    let event = Event::Answer { asked_at: asked, age, position: m.state.position };
                    wire.push_back((t + rng.u64(..100), event));
                }
                if asked.is_none() && rng.bool() {
                    asked = Some(t);
                }
            }
            let now = gateway_clock.at_ms(t);
            let mut actions = follower.handle(now, Event::Tick);
            while wire.front().is_some_and(|(when, _)| *when <= t) {
                actions.extend(wire.pop_front().map(|(_, e)| follower.handle(now, e)).unwrap_or_default());
            }
            if actions.iter().any(|a| matches!(a, Action::SwitchMember(_))) || rng.u32(..200) == 0 {
                member_index = rng.usize(..3);
                wire.clear();
                asked = None;
                follower.connected(now);
            }
            let view = follower.view();
            assert!(view.position >= highest, "seed {seed}, {t} ms: from {highest} to {}", view.position);
            highest = view.position;
            let bound = match view.mode {
                Mode::Following => timing.fresh_limit,
                Mode::Retaining => timing.stale_limit,
                Mode::LocalOnly => {
                    local_only_count += 1;
                    continue;
                }
            };
            following_count += usize::from(view.mode == Mode::Following);
            retaining_count += usize::from(view.mode == Mode::Retaining);
            let since = t.saturating_sub(bound.0 / 1_000);
            let required = history.iter().rev().find(|(when, _)| *when < since).map(|(_, s)| s.position);
            let held = follower.held();
            assert!(
                required.is_none_or(|required| held >= required),
                "seed {seed}, {t} ms: {held} is stored, but {required:?} was current at {since} ms"
            );
            if view.mode == Mode::Following {
                assert_eq!(view.position, held, "seed {seed}, {t} ms");
            }
        }
    }
    println!("{following_count} ticks following, {retaining_count} retaining, {local_only_count} local only");
    assert!(
        following_count > 10_000 && retaining_count > 1_000 && local_only_count > 1_000,
        "the simulated runs reach each mode"
    );
}
