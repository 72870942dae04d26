//! A model check of positions, ages and generations with the real follower and the real staleness bound of members. It
//! explores every order of events to a fixed depth. Two more runs with a broken follower must fail, which shows that
//! the model would notice the fault.

use starlinghill_failover::bounds::Timing;
use starlinghill_failover::directive::{DirectiveUpdate, Directives};
use starlinghill_failover::follower::{Event, Follower, Mode};
use starlinghill_failover::staleness::StalenessBound;
use starlinghill_failover::{Micros, Position};
use stateright::{Checker, Model, Property};

/// The most steps of each explored run.
const DEPTH: usize = 12;
/// The time at which the model's clock stops, in ticks of [`TICK_US`].
const LAST_TICK: u64 = 4;
/// The most epochs that are committed.
const MAX_EPOCHS: u64 = 2;
const MEMBERS: usize = 2;
/// One tick of the model's clock, in microseconds.
const TICK_US: u64 = 1_000_000;

fn timing() -> Timing {
    let ticks = |n| Micros(n * TICK_US);
    Timing {
        fresh_limit: ticks(1),
        stale_limit: ticks(3),
        answer_timeout: ticks(9),
        drift_ppm: 0,
        ..Timing::default()
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Member {
    /// The generation of the group that the member belongs to, and the epoch that it has applied.
    position: Position,
    staleness: StalenessBound,
    /// When the member asked the leader, and the newest epoch in the leader's answer once it is given.
    question: Option<(u64, Option<u64>)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    /// When each epoch of the present generation was committed, from epoch 1 on.
    committed: Vec<u64>,
    generation: u64,
    members: Vec<Member>,
    follower: Follower,
    /// The messages under way to the follower, one queue for each member.
    in_flight: Vec<Vec<Message>>,
    /// The highest position that the follower has applied.
    highest: Position,
    went_back: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Message {
    Update(Position),
    Answer { asked: u64, age: Option<Micros>, position: Position },
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Step {
    Tick,
    Commit,
    /// The group is restored from a state one epoch old. A member of the old generation keeps running.
    Restore,
    MemberAsksLeader(usize),
    LeaderAnswers(usize),
    MemberGetsAnswer(usize),
    MemberSendsUpdate(usize),
    MemberAnswersGateway(usize),
    MessageDelivered(usize),
}

/// The check that the follower leaves out, to see that the model notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// A later update is applied, whatever its position.
    IgnoresPositions,
    /// The age counts from the arrival of the answer, not from the question.
    AgesFromArrival,
}

struct Group {
    fault: Fault,
}

fn update(position: Position) -> Event {
    Event::Update(DirectiveUpdate::Whole { directives: Directives { position, ..Directives::default() } })
}

impl World {
    fn newest(&self) -> u64 {
        self.committed.len() as u64
    }

    fn handle(&mut self, mut event: Event, fault: Fault) {
        let now = Micros(self.now * TICK_US);
        match (fault, &mut event) {
            (Fault::IgnoresPositions, Event::Update(update)) if update.position() < self.follower.held() => {
                self.follower = Follower::new(timing(), 0);
            }
            (Fault::AgesFromArrival, Event::Answer { asked_at, .. }) => *asked_at = now,
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
        // The leader has just confirmed the member's state.
        member.staleness.record_applied(1);
        member.staleness.record_answer(Micros(0), 1);
        vec![World {
            now: 0,
            committed: vec![0],
            generation: 1,
            members: vec![member; MEMBERS],
            follower: Follower::new(timing(), 0),
            in_flight: vec![Vec::new(); MEMBERS],
            highest: Position::default(),
            went_back: false,
        }]
    }

    fn actions(&self, w: &World, steps: &mut Vec<Step>) {
        if w.now < LAST_TICK {
            steps.push(Step::Tick);
        }
        if w.newest() < MAX_EPOCHS {
            steps.push(Step::Commit);
        }
        if w.generation == 1 && w.newest() > 1 {
            steps.push(Step::Restore);
        }
        for i in 0..MEMBERS {
            let m = &w.members[i];
            let is_current = m.position.generation == w.generation;
            if is_current && m.question.is_none() {
                steps.push(Step::MemberAsksLeader(i));
            }
            match m.question {
                Some((_, None)) if is_current => steps.push(Step::LeaderAnswers(i)),
                Some((_, Some(_))) => steps.push(Step::MemberGetsAnswer(i)),
                _ => {}
            }
            if w.in_flight[i].len() < 2 {
                steps.push(Step::MemberSendsUpdate(i));
                steps.push(Step::MemberAnswersGateway(i));
            }
            if !w.in_flight[i].is_empty() {
                steps.push(Step::MessageDelivered(i));
            }
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut w = last.clone();
        match step {
            Step::Tick => {
                w.now += 1;
                w.handle(Event::Tick, self.fault);
            }
            Step::Commit => w.committed.push(w.now),
            Step::Restore => {
                w.generation = 2;
                w.committed.pop();
                let position = Position { generation: 2, epoch: w.newest() };
                // One member starts with a new disk; the other one stays in the old generation.
                w.members[0] = Member { position, ..Member::default() };
            }
            Step::MemberAsksLeader(i) => w.members[i].question = Some((w.now, None)),
            Step::LeaderAnswers(i) => {
                let newest = w.newest();
                w.members[i].question.as_mut()?.1 = Some(newest);
            }
            Step::MemberGetsAnswer(i) => {
                let m = &mut w.members[i];
                let (asked, newest) = m.question.take()?;
                let newest = newest?;
                m.staleness.record_answer(Micros(asked * TICK_US), newest);
                m.position.epoch = m.position.epoch.max(newest);
                m.staleness.record_applied(newest);
            }
            Step::MemberSendsUpdate(i) => w.in_flight[i].push(Message::Update(w.members[i].position)),
            Step::MemberAnswersGateway(i) => {
                let m = &w.members[i];
                let age = m.staleness.age(Micros(w.now * TICK_US));
                w.in_flight[i].push(Message::Answer { asked: w.now, age, position: m.position });
            }
            Step::MessageDelivered(i) => {
                let event = match w.in_flight[i].remove(0) {
                    Message::Update(position) => update(position),
                    Message::Answer { asked, age, position } => {
                        Event::Answer { asked_at: Micros(asked * TICK_US), age, position }
                    }
                };
                w.handle(event, self.fault);
            }
        }
        let position = w.follower.view().position;
        if position < w.highest {
            w.went_back = true;
        }
        w.highest = w.highest.max(position);
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Group>> {
        vec![
            Property::always("the follower never goes back", |_, w: &World| !w.went_back),
            Property::always(
                "directives applied as current are no older than the fresh limit",
                |_, w: &World| {
                    let view = w.follower.view();
                    // The age of directives from before the restore can't be known. They end at the stale limit.
                    if view.mode != Mode::Following || view.position.generation < w.generation {
                        return true;
                    }
                    let since = w.now.saturating_sub(timing().fresh_limit.0 / TICK_US);
                    let required = w.committed.iter().filter(|at| **at < since).count() as u64;
                    view.position.epoch >= required
                },
            ),
            Property::always("the old generation is never applied after the new one", |_, w: &World| {
                w.highest.generation < 2 || w.follower.view().position.generation == 2
            }),
            Property::sometimes(
                "the follower applies the directives of the restored group",
                |_, w: &World| {
                    w.follower.view().mode == Mode::Following && w.follower.view().position.generation == 2
                },
            ),
            Property::sometimes("the follower retains directives", |_, w: &World| {
                w.follower.view().mode == Mode::Retaining
            }),
        ]
    }
}

fn check(fault: Fault) -> impl Checker<Group> {
    Group { fault }.checker().threads(2).target_max_depth(DEPTH).spawn_bfs().join()
}

#[test]
fn every_order_of_events_to_the_fixed_depth_keeps_the_rules_on_positions_ages_and_generations() {
    let checker = check(Fault::None);
    println!("{} states, to depth {}", checker.unique_state_count(), checker.max_depth());
    for name in [
        "the follower never goes back",
        "directives applied as current are no older than the fresh limit",
        "the old generation is never applied after the new one",
    ] {
        checker.assert_no_discovery(name);
    }
    checker.assert_any_discovery("the follower applies the directives of the restored group");
    checker.assert_any_discovery("the follower retains directives");
    assert!(
        checker.unique_state_count() > 1_000_000,
        "the model explores too few states: {}",
        checker.unique_state_count()
    );
}

#[test]
fn the_model_notices_a_follower_that_ignores_positions() {
    check(Fault::IgnoresPositions).assert_any_discovery("the follower never goes back");
}

#[test]
fn the_model_notices_a_follower_that_counts_ages_from_the_arrival_of_the_answer() {
    check(Fault::AgesFromArrival)
        .assert_any_discovery("directives applied as current are no older than the fresh limit");
}
