//! Model checking of the real acceptors and proposer rounds: three founders, a successor for one of them, one proposer
//! that replaces the member and one that writes. All orders of events are explored up to [`DEPTH`], including requests
//! that never arrive and one lost reply. A second run drops the need for a majority of the old set, and must find the
//! violation.

use starlinghill_consensus::{
    Acceptor, AcceptorReply, AcceptorRequest, Ballot, Member, MemberChange, Members, ProposerRound,
    ProposerStep, State,
};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::net::IpAddr;

/// The number of steps to which all orders of events are explored.
const DEPTH: usize = 12;
/// The rounds that each proposer may start: first the one that changes members, then the one that writes.
const MAX_ROUNDS: [u64; 2] = [1, 2];

/// The numbers of the proposers that wrote, in order.
type Value = Vec<u8>;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Proposer {
    members: Members,
    highest_round: u64,
    rounds_started: u64,
    round: Option<ProposerRound<Value>>,
    proposed: Option<State<Value>>,
    /// Requests in flight, each with the members that it has yet to reach.
    requests: Vec<(AcceptorRequest<Value>, BTreeSet<Member>)>,
    votes: BTreeSet<Member>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    voters: Vec<Acceptor<Value>>,
    proposers: Vec<Proposer>,
    /// Whether a reply was lost. The model loses one at most, to bound the number of states.
    reply_lost: bool,
    chosen: Vec<(Ballot, State<Value>)>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Event {
    /// Starts a round of this proposer.
    StartRound(usize),
    /// Delivers a request: the proposer, the index of the request, the voter, and whether the reply arrives.
    Deliver(usize, usize, Member, bool),
}

/// The model. `new_set_only` leaves out the majority of the old set.
struct PaxosModel {
    new_set_only: bool,
}

fn member(i: u8) -> Member {
    Member { ip: IpAddr::from([10, 0, 0, i]), incarnation: 0 }
}

fn founders() -> Members {
    Members::founding((1..=3).map(|i| member(i).ip))
}

fn ballot_of(request: &AcceptorRequest<Value>) -> Option<Ballot> {
    match request {
        AcceptorRequest::Prepare { ballot, .. } | AcceptorRequest::Accept { ballot, .. } => Some(*ballot),
        _ => None,
    }
}

impl PaxosModel {
    /// Hands a voter's reply to a proposer's round and carries out the step that follows.
    fn apply_reply(&self, world: &mut World, p: usize, from: Member, reply: AcceptorReply<Value>) {
        let proposer = &mut world.proposers[p];
        let Some(round) = &mut proposer.round else { return };
        if reply == AcceptorReply::Accepted {
            proposer.votes.insert(from);
        }
        let mut step = round.handle_reply(from, reply);
        if let Some(state) = proposer.proposed.as_ref().filter(|_| self.new_set_only) {
            if state.members.has_majority(&proposer.votes) {
                step = ProposerStep::Chosen;
            }
        }
        match step {
            ProposerStep::Wait => {}
            ProposerStep::Extend(more) => {
                proposer.requests.push((round.prepare_request(), more.into_iter().collect()))
            }
            ProposerStep::Base(base, is_known) => {
                let change = MemberChange::Replace { leaves: member(3), joins: member(4) };
                let next = match p {
                    0 => {
                        base.members.with_change(change).ok().map(|members| State { members, ..base.clone() })
                    }
                    _ => {
                        let value = base.value.iter().copied().chain([p as u8]).collect();
                        Some(State { value, ..base.clone() })
                    }
                };
                if next.is_none() && is_known {
                    proposer.round = None;
                    return;
                }
                let next = next.unwrap_or_else(|| base.clone());
                let proposed = round.propose(next.clone()).map(|request| (request, next));
                let proposed = proposed.or_else(|| Some((round.propose(base.clone())?, base)));
                if let Some((request, state)) = proposed {
                    proposer.requests.push((request, round.recipients().collect()));
                    proposer.proposed = Some(state);
                }
            }
            ProposerStep::Chosen => {
                let ballot = round.ballot();
                proposer.round = None;
                if let Some(state) = proposer.proposed.take() {
                    world.chosen.push((ballot, state));
                    world.chosen.sort_by_key(|(ballot, _)| *ballot);
                }
            }
            ProposerStep::Preempted(higher) => {
                proposer.highest_round = proposer.highest_round.max(higher.round);
                proposer.round = None;
            }
            ProposerStep::NewerMembers(members, higher) => {
                proposer.highest_round = proposer.highest_round.max(higher.round);
                (proposer.members, proposer.round) = (members, None);
            }
        }
    }
}

impl Model for PaxosModel {
    type State = World;
    type Action = Event;

    fn init_states(&self) -> Vec<World> {
        let proposer = Proposer {
            members: founders(),
            highest_round: 0,
            rounds_started: 0,
            round: None,
            proposed: None,
            requests: Vec::new(),
            votes: BTreeSet::new(),
        };
        let mut voters: Vec<Acceptor<Value>> =
            founders().voters.into_iter().map(|m| Acceptor::new(m, founders())).collect();
        voters.push(Acceptor::new(member(4), Members::default()));
        vec![World {
            voters,
            proposers: vec![proposer; MAX_ROUNDS.len()],
            reply_lost: false,
            chosen: Vec::new(),
        }]
    }

    fn actions(&self, world: &World, events: &mut Vec<Event>) {
        for (p, proposer) in world.proposers.iter().enumerate() {
            if proposer.rounds_started < MAX_ROUNDS[p] {
                events.push(Event::StartRound(p));
            }
            for (i, (_, to)) in proposer.requests.iter().enumerate() {
                for to in to.iter() {
                    events.push(Event::Deliver(p, i, *to, true));
                    if !world.reply_lost {
                        events.push(Event::Deliver(p, i, *to, false));
                    }
                }
            }
        }
    }

    fn next_state(&self, last: &World, event: Event) -> Option<World> {
        let mut world = last.clone();
        match event {
            Event::StartRound(p) => {
                let proposer = &mut world.proposers[p];
                proposer.rounds_started += 1;
                proposer.highest_round += 1;
                let ballot = Ballot { round: proposer.highest_round, proposer: p as u32 };
                let round = ProposerRound::new(ballot, proposer.members.clone(), Default::default());
                proposer.requests.push((round.prepare_request(), round.recipients().collect()));
                (proposer.round, proposer.proposed) = (Some(round), None);
                proposer.votes.clear();
            }
            Event::Deliver(p, i, to, reply_arrives) => {
                world.reply_lost |= !reply_arrives;
                let (request, recipients) = &mut world.proposers[p].requests[i];
                recipients.remove(&to);
                let request = request.clone();
                let voter = world.voters.iter_mut().find(|voter| voter.me() == to)?;
                let (reply, _) = voter.handle(to, request.clone());
                let is_current =
                    world.proposers[p].round.as_ref().map(ProposerRound::ballot) == ballot_of(&request);
                if reply_arrives && is_current {
                    self.apply_reply(&mut world, p, to, reply);
                }
                world.proposers[p].requests.retain(|(_, to)| !to.is_empty());
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<PaxosModel>> {
        vec![
            Property::always(
                "a later chosen state holds everything in an earlier one",
                |_, world: &World| {
                    world.chosen.windows(2).all(|pair| {
                        let ((_, earlier), (_, later)) = (&pair[0], &pair[1]);
                        earlier.members.epoch <= later.members.epoch
                            && later.value.starts_with(&earlier.value)
                    })
                },
            ),
            Property::sometimes("members are replaced", |_, world: &World| {
                world.chosen.iter().any(|(_, state)| state.members.epoch == 1)
            }),
            Property::sometimes("a write is chosen before or after a replacement", |_, w: &World| {
                w.chosen.len() == 2 && w.chosen.iter().any(|(_, state)| state.members.epoch == 1)
            }),
        ]
    }
}

fn run_checker(new_set_only: bool) -> impl Checker<PaxosModel> {
    PaxosModel { new_set_only }.checker().threads(2).target_max_depth(DEPTH).spawn_bfs().join()
}

#[test]
fn no_order_of_events_lets_a_membership_change_lose_a_chosen_state() {
    let checker = run_checker(false);
    println!("{} states, to depth {}", checker.unique_state_count(), checker.max_depth());
    checker.assert_no_discovery("a later chosen state holds everything in an earlier one");
    checker.assert_any_discovery("members are replaced");
    checker.assert_any_discovery("a write is chosen before or after a replacement");
    assert!(
        checker.unique_state_count() > 100_000,
        "the model explores too few states: {}",
        checker.unique_state_count()
    );
}

#[test]
fn the_model_detects_a_membership_change_without_a_majority_of_the_old_set() {
    run_checker(true).assert_any_discovery("a later chosen state holds everything in an earlier one");
}
