//! A model round the real voters and rounds: three founders, a successor for one of them, a proposer that brings it in and
//! one that writes, every order in which questions arrive, or don't, and an answer that is lost, to a stated depth. The same
//! model with a change of members that the old set need not accept is found out.

use starlinghill_consensus::{
    Acceptor, AcceptorReply, AcceptorRequest, Ballot, Member, MemberChange, Members, ProposerRound,
    ProposerStep, State,
};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;
use std::net::IpAddr;

/// Steps that every order of events is followed to.
const DEPTH: usize = 12;
/// Rounds of the proposer that changes members, and of the one that writes.
const TRIES: [u64; 2] = [1, 2];

/// Who wrote, in order.
type Value = Vec<u8>;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Proposer {
    members: Members,
    seen: u64,
    tries: u64,
    round: Option<ProposerRound<Value>>,
    proposed: Option<State<Value>>,
    /// Questions on their way, each to these.
    mail: Vec<(AcceptorRequest<Value>, BTreeSet<Member>)>,
    votes: BTreeSet<Member>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    voters: Vec<Acceptor<Value>>,
    proposers: Vec<Proposer>,
    /// An answer was lost.
    lost: bool,
    chosen: Vec<(Ballot, State<Value>)>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Act {
    Begin(usize),
    /// Question of that number, to that one; whether the answer comes back.
    Deliver(usize, usize, Member, bool),
}

struct Core {
    new_set_only: bool,
}

fn member(i: u8) -> Member {
    Member { ip: IpAddr::from([10, 0, 0, i]), incarnation: 0 }
}

fn founders() -> Members {
    Members::founding((1..=3).map(|i| member(i).ip))
}

fn ballot_of(ask: &AcceptorRequest<Value>) -> Option<Ballot> {
    match ask {
        AcceptorRequest::Prepare { ballot, .. } | AcceptorRequest::Accept { ballot, .. } => Some(*ballot),
        _ => None,
    }
}

impl Core {
    fn step(&self, world: &mut World, p: usize, from: Member, tell: AcceptorReply<Value>) {
        let proposer = &mut world.proposers[p];
        let Some(round) = &mut proposer.round else { return };
        if tell == AcceptorReply::Accepted {
            proposer.votes.insert(from);
        }
        let mut step = round.handle_reply(from, tell);
        if let Some(state) = proposer.proposed.as_ref().filter(|_| self.new_set_only) {
            if state.members.has_majority(&proposer.votes) {
                step = ProposerStep::Chosen;
            }
        }
        match step {
            ProposerStep::Wait => {}
            ProposerStep::Extend(more) => {
                proposer.mail.push((round.prepare_request(), more.into_iter().collect()))
            }
            ProposerStep::Base(base, known) => {
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
                if next.is_none() && known {
                    proposer.round = None;
                    return;
                }
                let next = next.unwrap_or_else(|| base.clone());
                let proposed = round.propose(next.clone()).map(|ask| (ask, next));
                let proposed = proposed.or_else(|| Some((round.propose(base.clone())?, base)));
                if let Some((ask, state)) = proposed {
                    proposer.mail.push((ask, round.recipients().collect()));
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
                proposer.seen = proposer.seen.max(higher.round);
                proposer.round = None;
            }
            ProposerStep::NewerMembers(members, higher) => {
                proposer.seen = proposer.seen.max(higher.round);
                (proposer.members, proposer.round) = (members, None);
            }
        }
    }
}

impl Model for Core {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let proposer = Proposer {
            members: founders(),
            seen: 0,
            tries: 0,
            round: None,
            proposed: None,
            mail: Vec::new(),
            votes: BTreeSet::new(),
        };
        let mut voters: Vec<Acceptor<Value>> =
            founders().voters.into_iter().map(|m| Acceptor::new(m, founders())).collect();
        voters.push(Acceptor::new(member(4), Members::default()));
        vec![World { voters, proposers: vec![proposer; TRIES.len()], lost: false, chosen: Vec::new() }]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        for (p, proposer) in world.proposers.iter().enumerate() {
            if proposer.tries < TRIES[p] {
                acts.push(Act::Begin(p));
            }
            for (i, (_, to)) in proposer.mail.iter().enumerate() {
                for to in to.iter() {
                    acts.push(Act::Deliver(p, i, *to, true));
                    if !world.lost {
                        acts.push(Act::Deliver(p, i, *to, false));
                    }
                }
            }
        }
    }

    fn next_state(&self, last: &World, act: Act) -> Option<World> {
        let mut world = last.clone();
        match act {
            Act::Begin(p) => {
                let proposer = &mut world.proposers[p];
                proposer.tries += 1;
                proposer.seen += 1;
                let ballot = Ballot { round: proposer.seen, proposer: p as u32 };
                let round = ProposerRound::new(ballot, proposer.members.clone(), Default::default());
                proposer.mail.push((round.prepare_request(), round.recipients().collect()));
                (proposer.round, proposer.proposed) = (Some(round), None);
                proposer.votes.clear();
            }
            Act::Deliver(p, i, to, comes_back) => {
                world.lost |= !comes_back;
                let (ask, left) = &mut world.proposers[p].mail[i];
                left.remove(&to);
                let ask = ask.clone();
                let voter = world.voters.iter_mut().find(|voter| voter.me() == to)?;
                let (tell, _) = voter.handle(to, ask.clone());
                let current = world.proposers[p].round.as_ref().map(ProposerRound::ballot) == ballot_of(&ask);
                if comes_back && current {
                    self.step(&mut world, p, to, tell);
                }
                world.proposers[p].mail.retain(|(_, to)| !to.is_empty());
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Core>> {
        vec![
            Property::always("what was agreed on later holds what was before", |_, world: &World| {
                world.chosen.windows(2).all(|two| {
                    let ((_, earlier), (_, later)) = (&two[0], &two[1]);
                    earlier.members.epoch <= later.members.epoch && later.value.starts_with(&earlier.value)
                })
            }),
            Property::sometimes("members are replaced", |_, world: &World| {
                world.chosen.iter().any(|(_, state)| state.members.epoch == 1)
            }),
            Property::sometimes("a change is agreed on behind a replacement or before it", |_, w: &World| {
                w.chosen.len() == 2 && w.chosen.iter().any(|(_, state)| state.members.epoch == 1)
            }),
        ]
    }
}

fn checked(new_set_only: bool) -> impl Checker<Core> {
    Core { new_set_only }.checker().threads(2).target_max_depth(DEPTH).spawn_bfs().join()
}

#[test]
fn no_order_of_events_to_the_stated_depth_lets_a_change_of_members_lose_what_was_agreed_on() {
    let checker = checked(false);
    println!("{} states, to depth {}", checker.unique_state_count(), checker.max_depth());
    checker.assert_no_discovery("what was agreed on later holds what was before");
    checker.assert_any_discovery("members are replaced");
    checker.assert_any_discovery("a change is agreed on behind a replacement or before it");
    assert!(checker.unique_state_count() > 100_000, "the model has shrunk: {}", checker.unique_state_count());
}

#[test]
fn a_change_of_members_without_the_old_set_s_majority_is_found_out() {
    checked(true).assert_any_discovery("what was agreed on later holds what was before");
}
