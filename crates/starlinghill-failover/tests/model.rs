//! A model of directives, ages and fencing round the real follower and the real certainty of members: every order
//! of events, to a stated depth. The same model with a follower that does not check positions is found out, which
//! shows that the check is looked at.

use starlinghill_failover::bounds::Timing;
use starlinghill_failover::directive::{DirectiveUpdate, Directives};
use starlinghill_failover::follower::{Event, Follower, Mode};
use starlinghill_failover::staleness::StalenessBound;
use starlinghill_failover::{Micros, Position};
use stateright::{Checker, Model, Property};

/// Steps that every order of events is followed to.
const DEPTH: usize = 12;
const LAST: u64 = 4;
const EPOCHS: u64 = 2;
const MEMBERS: usize = 2;
/// One moment of the model.
const MOMENT: u64 = 1_000_000;

fn timing() -> Timing {
    let moments = |n| Micros(n * MOMENT);
    Timing {
        fresh_limit: moments(1),
        stale_limit: moments(3),
        answer_timeout: moments(9),
        drift_ppm: 0,
        ..Timing::default()
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Member {
    /// Of which life of the group it is, and what it has applied.
    position: Position,
    certainty: StalenessBound,
    /// A question to the leader, and the leader's answer once it is given.
    question: Option<(u64, Option<u64>)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    /// When each epoch of the present life was committed, from epoch 1 on.
    committed: Vec<u64>,
    generation: u64,
    members: Vec<Member>,
    follower: Follower,
    /// On their way to the follower, a queue for each member.
    wire: Vec<Vec<Sent>>,
    highest: Position,
    went_back: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Sent {
    Told(Position),
    Answer { asked: u64, age: Option<Micros>, position: Position },
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Step {
    Moment,
    Commit,
    /// The group is restored from a state one epoch old; members of the old life live on beside it.
    Restore,
    Ask(usize),
    LeaderAnswers(usize),
    Hears(usize),
    Tells(usize),
    GatewayAsks(usize),
    Delivered(usize),
}

/// What is left out, to see that it is missed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Nothing,
    /// What comes later counts, whatever its position.
    Positions,
    /// The age counts from when the answer comes, not from when it was asked for.
    Ages,
}

struct Group {
    fault: Fault,
}

fn told(position: Position) -> Event {
    Event::Update(DirectiveUpdate::Whole { directives: Directives { position, ..Directives::default() } })
}

impl World {
    fn newest(&self) -> u64 {
        self.committed.len() as u64
    }

    fn handle(&mut self, mut event: Event, fault: Fault) {
        let now = Micros(self.now * MOMENT);
        match (fault, &mut event) {
            (Fault::Positions, Event::Update(told)) if told.position() < self.follower.held() => {
                self.follower = Follower::new(timing(), 0);
            }
            (Fault::Ages, Event::Answer { asked_at, .. }) => *asked_at = now,
            _ => {}
        }
        self.follower.handle(now, event);
    }
}

impl Model for Group {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let position = Position { generation: 1, epoch: 1 };
        let mut member = Member { position, ..Member::default() };
        // It has just been told the newest by the leader.
        member.certainty.record_applied(1);
        member.certainty.record_answer(Micros(0), 1);
        vec![World {
            now: 0,
            committed: vec![0],
            generation: 1,
            members: vec![member; MEMBERS],
            follower: Follower::new(timing(), 0),
            wire: vec![Vec::new(); MEMBERS],
            highest: Position::default(),
            went_back: false,
        }]
    }

    fn actions(&self, w: &World, steps: &mut Vec<Step>) {
        if w.now < LAST {
            steps.push(Step::Moment);
        }
        if w.newest() < EPOCHS {
            steps.push(Step::Commit);
        }
        if w.generation == 1 && w.newest() > 1 {
            steps.push(Step::Restore);
        }
        for i in 0..MEMBERS {
            let m = &w.members[i];
            let lives = m.position.generation == w.generation;
            if lives && m.question.is_none() {
                steps.push(Step::Ask(i));
            }
            match m.question {
                Some((_, None)) if lives => steps.push(Step::LeaderAnswers(i)),
                Some((_, Some(_))) => steps.push(Step::Hears(i)),
                _ => {}
            }
            if w.wire[i].len() < 2 {
                steps.push(Step::Tells(i));
                steps.push(Step::GatewayAsks(i));
            }
            if !w.wire[i].is_empty() {
                steps.push(Step::Delivered(i));
            }
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut w = last.clone();
        match step {
            Step::Moment => {
                w.now += 1;
                w.handle(Event::Tick, self.fault);
            }
            Step::Commit => w.committed.push(w.now),
            Step::Restore => {
                w.generation = 2;
                w.committed.pop();
                let position = Position { generation: 2, epoch: w.newest() };
                // One member has a new disk; the other was left in the old life.
                w.members[0] = Member { position, ..Member::default() };
            }
            Step::Ask(i) => w.members[i].question = Some((w.now, None)),
            Step::LeaderAnswers(i) => {
                let newest = w.newest();
                w.members[i].question.as_mut()?.1 = Some(newest);
            }
            Step::Hears(i) => {
                let m = &mut w.members[i];
                let (asked, newest) = m.question.take()?;
                let newest = newest?;
                m.certainty.record_answer(Micros(asked * MOMENT), newest);
                m.position.epoch = m.position.epoch.max(newest);
                m.certainty.record_applied(newest);
            }
            Step::Tells(i) => w.wire[i].push(Sent::Told(w.members[i].position)),
            Step::GatewayAsks(i) => {
                let m = &w.members[i];
                let age = m.certainty.age(Micros(w.now * MOMENT));
                w.wire[i].push(Sent::Answer { asked: w.now, age, position: m.position });
            }
            Step::Delivered(i) => {
                let event = match w.wire[i].remove(0) {
                    Sent::Told(position) => told(position),
                    Sent::Answer { asked, age, position } => {
                        Event::Answer { asked_at: Micros(asked * MOMENT), age, position }
                    }
                };
                w.handle(event, self.fault);
            }
        }
        let at = w.follower.view().position;
        if at < w.highest {
            w.went_back = true;
        }
        w.highest = w.highest.max(at);
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Group>> {
        vec![
            Property::always("no follower goes back", |_, w: &World| !w.went_back),
            Property::always("what is followed is no older than fresh", |_, w: &World| {
                let view = w.follower.view();
                // Of a life that the group has left, nobody can say how old it is; it ends with `stale`.
                if view.mode != Mode::Following || view.position.generation < w.generation {
                    return true;
                }
                let since = w.now.saturating_sub(timing().fresh_limit.0 / MOMENT);
                let was = w.committed.iter().filter(|at| **at < since).count() as u64;
                view.position.epoch >= was
            }),
            Property::always("the old life is left once the new one was met", |_, w: &World| {
                w.highest.generation < 2 || w.follower.view().position.generation == 2
            }),
            Property::sometimes("it follows the restored group", |_, w: &World| {
                w.follower.view().mode == Mode::Following && w.follower.view().position.generation == 2
            }),
            Property::sometimes("it keeps", |_, w: &World| w.follower.view().mode == Mode::Retaining),
        ]
    }
}

fn checked(fault: Fault) -> impl Checker<Group> {
    Group { fault }.checker().threads(2).target_max_depth(DEPTH).spawn_bfs().join()
}

#[test]
fn every_order_of_events_to_the_stated_depth_keeps_positions_ages_and_fencing() {
    let checker = checked(Fault::Nothing);
    println!("{} states, to depth {}", checker.unique_state_count(), checker.max_depth());
    for name in [
        "no follower goes back",
        "what is followed is no older than fresh",
        "the old life is left once the new one was met",
    ] {
        checker.assert_no_discovery(name);
    }
    checker.assert_any_discovery("it follows the restored group");
    checker.assert_any_discovery("it keeps");
    assert!(
        checker.unique_state_count() > 1_000_000,
        "the model has shrunk: {}",
        checker.unique_state_count()
    );
}

#[test]
fn a_follower_without_the_check_of_positions_is_found_out() {
    checked(Fault::Positions).assert_any_discovery("no follower goes back");
}

#[test]
fn a_follower_that_reckons_ages_from_the_answer_is_found_out() {
    checked(Fault::Ages).assert_any_discovery("what is followed is no older than fresh");
}
