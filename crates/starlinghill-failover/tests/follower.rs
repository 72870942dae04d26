//! A gateway's follower among members that lag, sleep and answer late, on clocks that differ and run false.

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

fn order(id: u64, what: OrderKind) -> Order {
    Order { id: format!("o{id}"), author: "eve".into(), reason: "a drill".into(), at_ms: 0, kind: what }
}

fn settled(generation: u64) -> State {
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

fn whole(state: &State) -> Event {
    Event::Update(DirectiveUpdate::Whole { directives: Directives::from_state(state) })
}

fn answer(asked: u64, age: u64, position: Position) -> Event {
    Event::Answer { asked_at: ms(asked), age: Some(ms(age)), position }
}

/// Follows `state` from 10 ms on, as sure as can be.
fn following(state: &State) -> Follower {
    let mut follower = Follower::new(Timing::default(), 0);
    follower.connected(ms(10));
    follower.handle(ms(10), whole(state));
    follower.handle(ms(10), answer(10, 0, state.position));
    assert_eq!(follower.view().mode, Mode::Following);
    follower
}

const DRAIN: Change = Change::Drain { target_weight: 0, ramp: Ramp { step: 500, every_ms: 1_000 } };

#[test]
fn what_is_told_is_followed_only_once_its_age_is_known() {
    let mut state = settled(1);
    change(&mut state, 1, "a1", DRAIN);
    let mut follower = Follower::new(Timing::default(), 0);
    follower.connected(ms(10));
    assert!(follower.handle(ms(10), whole(&state)).is_empty());
    assert_eq!(follower.view().mode, Mode::LocalOnly);
    let actions = follower.handle(ms(20), answer(15, 3, state.position));
    assert!(
        matches!(&actions[..], [Action::Follow(v)] if v.zones["a1"].weight == 500 && !v.zones["a1"].overridable)
    );
}

#[test]
fn past_fresh_no_step_is_taken_past_stale_it_goes_by_its_own_sight_and_says_so() {
    let mut state = settled(1);
    change(&mut state, 1, "a1", DRAIN);
    let mut follower = following(&state);
    assert!(follower.handle(ms(1_900), Event::Tick).is_empty());
    let kept = follower.handle(ms(2_100), Event::Tick);
    assert!(kept.iter().any(|a| matches!(a, Action::Follow(v) if v.mode == Mode::Retaining)), "{kept:?}");
    // A member cut off from the leader tells the next step, and can't say how old it is.
    let mut later = state.clone();
    change(&mut later, 2, "a1", Change::Out);
    follower.handle(ms(2_200), whole(&later));
    follower.handle(ms(2_200), Event::Answer { asked_at: ms(2_150), age: None, position: later.position });
    follower.handle(ms(2_300), answer(2_250, 5_000, later.position));
    assert_eq!((follower.view().mode, follower.view().zones["a1"].weight), (Mode::Retaining, 500));
    assert_eq!(follower.held(), later.position);
    let own = follower.handle(ms(10_100), Event::Tick);
    let Some(Action::Follow(view)) = own.last() else { panic!("{own:?}") };
    assert_eq!((view.mode, view.zones["a1"].weight), (Mode::LocalOnly, 500));
    assert!(view.zones["a1"].overridable);
    // Once it is sure again it follows what it held.
    follower.handle(ms(10_200), answer(10_190, 2, later.position));
    assert_eq!((follower.view().mode, follower.view().zones["a1"].weight), (Mode::Following, 0));
}

#[test]
fn an_older_position_is_never_taken_and_a_member_that_stays_behind_is_left() {
    let old = settled(1);
    let mut state = old.clone();
    change(&mut state, 1, "a1", Change::Out);
    let mut follower = following(&state);
    follower.connected(ms(20));
    assert!(follower.handle(ms(20), whole(&old)).is_empty());
    // A member that woke up and believes itself sure renews nothing.
    follower.handle(ms(30), answer(25, 0, old.position));
    assert_eq!(follower.held(), state.position);
    assert_eq!(follower.age(ms(1_000)), Some(Timing::default().stretched(ms(990))));
    let actions = follower.handle(ms(600), Event::Tick);
    assert!(matches!(&actions[..], [Action::SwitchMember(SwitchReason::Behind { .. })]), "{actions:?}");
}

#[test]
fn new_settings_keep_what_is_followed_and_a_raised_generation_makes_what_was_told_before_own_sight() {
    let mut state = settled(1);
    change(&mut state, 1, "a1", Change::Out);
    let mut follower = following(&state);
    let shorter = Timing { fresh_limit: ms(1_500), ..Timing::default() };
    follower.update_settings(shorter, 1);
    assert!(follower.handle(ms(1_400), Event::Tick).is_empty());
    assert_eq!((follower.view().mode, follower.view().zones["a1"].weight), (Mode::Following, 0));
    // The new times hold: by the old ones it would still be fresh.
    follower.handle(ms(1_600), Event::Tick);
    assert_eq!(follower.view().mode, Mode::Retaining);
    follower.update_settings(shorter, 2);
    follower.connected(ms(1_600));
    follower.handle(ms(1_600), Event::Tick);
    assert_eq!((follower.view().mode, follower.view().zones["a1"].weight), (Mode::LocalOnly, 0));
    assert!(follower.view().zones["a1"].overridable);
    // Members of the life before are not believed any more, whatever they say; the restored group is.
    follower.handle(ms(1_610), whole(&state));
    follower.handle(ms(1_620), answer(1_615, 0, state.position));
    assert_eq!(follower.view().mode, Mode::LocalOnly);
    // A lower generation in a file that was put back does not bring them back.
    follower.update_settings(shorter, 1);
    follower.handle(ms(1_630), whole(&state));
    follower.handle(ms(1_640), answer(1_635, 0, state.position));
    assert_eq!(follower.view().mode, Mode::LocalOnly);
    let restored = state.restored();
    follower.connected(ms(1_650));
    follower.handle(ms(1_650), whole(&restored));
    follower.handle(ms(1_660), answer(1_655, 0, restored.position));
    assert_eq!((follower.view().mode, follower.view().position), (Mode::Following, restored.position));
}

#[test]
fn a_restored_group_goes_before_the_old_majority_whatever_its_epochs() {
    let old = settled(1);
    let restored = old.clone().restored();
    let mut beyond = old.clone();
    for id in 0..5 {
        change(&mut beyond, 2 * id + 1, "a1", Change::Out);
        change(
            &mut beyond,
            2 * id + 2,
            "a1",
            Change::Return { ramp: Ramp { step: FULL_WEIGHT, every_ms: 1_000 } },
        );
    }
    let mut follower = following(&beyond);
    follower.handle(ms(20), whole(&restored));
    assert_eq!(follower.held(), restored.position);
    assert_eq!(follower.age(ms(20)), None, "what was confirmed of the old group says nothing of this one");
    follower.handle(ms(30), answer(25, 0, restored.position));
    let actions = follower.handle(ms(40), whole(&beyond));
    assert!(matches!(&actions[..], [Action::SwitchMember(SwitchReason::Behind { .. })]), "{actions:?}");
    // One that was restarted believes what its file says at the least.
    let mut fresh = Follower::new(Timing::default(), 2);
    fresh.connected(ms(10));
    let actions = fresh.handle(ms(10), whole(&beyond));
    assert!(matches!(&actions[..], [Action::SwitchMember(SwitchReason::Behind { .. })]), "{actions:?}");
}

#[test]
fn a_change_that_got_lost_is_noticed_and_the_whole_asked_for() {
    let start = settled(1);
    let mut follower = following(&start);
    let mut state = start.clone();
    change(&mut state, 1, "a1", DRAIN);
    let first = Directives::from_state(&state);
    change(&mut state, 2, "a1", Change::Out);
    let second = Directives::from_state(&state);
    let lost = second.update_from(&first);
    assert!(matches!(&lost, DirectiveUpdate::Change { zones, .. } if zones.len() == 1));
    assert_eq!(follower.handle(ms(20), Event::Update(lost.clone())), [Action::RequestFull]);
    follower.handle(ms(30), Event::Update(first.update_from(&Directives::from_state(&start))));
    follower.handle(ms(30), Event::Update(lost));
    assert_eq!(follower.held(), state.position);
    // An answer that names more than was told asks for it too.
    let ahead = Position { epoch: state.position.epoch + 1, ..state.position };
    assert_eq!(follower.handle(ms(40), answer(35, 0, ahead)), [Action::RequestFull]);
}

#[test]
fn what_is_out_of_bounds_or_contradicts_another_member_is_not_taken() {
    let state = settled(1);
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

/// A member as the follower sees it: its log lags, its questions to the leader take time, it sleeps.
struct Member {
    state: State,
    certainty: StalenessBound,
    question: Option<(u64, u64)>,
    asleep_until: u64,
    cut_until: u64,
}

/// A clock that runs false by up to 1% and began somewhere.
struct Clock {
    begin: u64,
    rate: f64,
}
impl Clock {
    fn at(&self, t: u64) -> Micros {
        Micros(self.begin + (t as f64 * 1_000.0 * self.rate) as u64)
    }
}

#[test]
fn through_lags_sleeps_and_false_clocks_no_follower_goes_back_or_follows_what_is_too_old() {
    let timing = Timing::default();
    let (mut followed_something, mut kept, mut own) = (0, 0, 0);
    for seed in 0..400u64 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut clock = || Clock { begin: rng.u64(0..100_000_000), rate: rng.f64().mul_add(0.0196, 0.9902) };
        let mine = clock();
        let clocks: Vec<Clock> = (0..3).map(|_| clock()).collect();
        let mut truth = vec![(0u64, settled(1))];
        let mut members: Vec<Member> = (0..3)
            .map(|_| Member {
                state: settled(1),
                certainty: StalenessBound::default(),
                question: None,
                asleep_until: 0,
                cut_until: 0,
            })
            .collect();
        let mut follower = Follower::new(timing, 0);
        let mut wire: VecDeque<(u64, Event)> = VecDeque::new();
        let (mut at, mut highest) = (0usize, Position::default());
        let mut asked = None;
        for t in (0..40_000u64).step_by(50) {
            if rng.u32(..100) < 3 {
                let mut new = truth.last().unwrap().1.clone();
                let zone = ["a1", "a2", "b1"][rng.usize(..3)];
                let all = [
                    DRAIN,
                    Change::Out,
                    Change::Hold,
                    Change::Return { ramp: Ramp { step: 300, every_ms: 600 } },
                ];
                let wanted = OrderKind::Zone(ZoneOrder {
                    zone: zone.into(),
                    change: all[rng.usize(..4)],
                    expected_epoch: None,
                    takeover_region: None,
                    force: true,
                });
                new.apply(&order(t + 1, wanted));
                truth.push((t, new));
            }
            let newest = truth.last().unwrap().1.clone();
            for (m, clock) in members.iter_mut().zip(&clocks) {
                if rng.u32(..400) == 0 {
                    m.asleep_until = t + rng.u64(..15_000);
                }
                if rng.u32(..300) == 0 {
                    m.cut_until = t + rng.u64(..15_000);
                }
                if t < m.asleep_until {
                    continue;
                }
                // A cut may hold the leader's answer back too, which then comes late.
                if let Some((asked, newest)) = m.question.filter(|_| t >= m.cut_until) {
                    m.certainty.record_answer(clock.at(asked), newest);
                    m.question = None;
                }
                if t < m.cut_until {
                    continue;
                }
                if rng.bool() {
                    m.state = newest.clone();
                    m.certainty.record_applied(newest.position.epoch);
                }
                if rng.u32(..4) == 0 {
                    m.question = Some((t, newest.position.epoch));
                }
            }
            let m = &members[at];
            if t >= m.asleep_until {
                if rng.bool() {
                    wire.push_back((t + rng.u64(..100), whole(&m.state)));
                }
                if let Some(asked) = asked.take_if(|a: &mut u64| *a < t) {
                    let (asked, age) = (mine.at(asked), m.certainty.age(clocks[at].at(t)));
                    let event = Event::Answer { asked_at: asked, age, position: m.state.position };
                    wire.push_back((t + rng.u64(..100), event));
                }
                if asked.is_none() && rng.bool() {
                    asked = Some(t);
                }
            }
            let now = mine.at(t);
            let mut actions = follower.handle(now, Event::Tick);
            while wire.front().is_some_and(|(when, _)| *when <= t) {
                actions.extend(wire.pop_front().map(|(_, e)| follower.handle(now, e)).unwrap_or_default());
            }
            if actions.iter().any(|a| matches!(a, Action::SwitchMember(_))) || rng.u32(..200) == 0 {
                at = rng.usize(..3);
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
                    own += 1;
                    continue;
                }
            };
            followed_something += usize::from(view.mode == Mode::Following);
            kept += usize::from(view.mode == Mode::Retaining);
            let since = t.saturating_sub(bound.0 / 1_000);
            let was = truth.iter().rev().find(|(when, _)| *when < since).map(|(_, s)| s.position);
            let held = follower.held();
            assert!(
                was.is_none_or(|was| held >= was),
                "seed {seed}, {t} ms: {held} held, {was:?} in {since}"
            );
            if view.mode == Mode::Following {
                assert_eq!(view.position, held, "seed {seed}, {t} ms");
            }
        }
    }
    println!("{followed_something} moments followed, {kept} kept, {own} by own sight");
    assert!(followed_something > 10_000 && kept > 1_000 && own > 1_000, "the histories reach each mode");
}
