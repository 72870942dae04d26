//! One attempt to agree on a state, by a proposer.

use crate::{AcceptorReply, AcceptorRequest, Ballot, Member, Members, State};
use std::collections::BTreeSet;

/// What is to be done next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposerStep<V> {
    /// Nothing yet.
    Wait,
    /// A state with newer members was accepted somewhere, and may have been agreed on: these are to be asked as well.
    Extend(Vec<Member>),
    /// A quorum has promised. This is the state that the next one must be made from, and whether it is known to be agreed on.
    Base(State<V>, bool),
    /// A quorum has accepted.
    Chosen,
    /// Another round is in the way: try again above that ballot.
    Preempted(Ballot),
    /// Newer members were agreed on: try again among them, above that ballot.
    NewerMembers(Members, Ballot),
}

/// One attempt, among the members of an epoch that is known to have been agreed on, under a ballot that is higher than the one
/// by which it was.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ProposerRound<V> {
    ballot: Ballot,
    members: Members,
    asked: BTreeSet<Member>,
    promised: BTreeSet<Member>,
    accepted: BTreeSet<Member>,
    base: (Ballot, State<V>),
    chosen: Ballot,
    /// The members that come with the state proposed.
    proposed: Option<Members>,
    based: bool,
    over: bool,
}

impl<V: Clone> ProposerRound<V> {
    /// Under that ballot, among these members, by one who has the state of `have`, which was agreed on.
    pub fn new(ballot: Ballot, members: Members, have: (Ballot, State<V>)) -> ProposerRound<V> {
        let (asked, chosen) = (members.voters.iter().copied().collect(), have.0);
        let mut base = have;
        if base.0 == Ballot::default() {
            // Where nothing was ever agreed on, the founders vote.
            base.1.members = members.clone();
        }
        let (promised, accepted) = (BTreeSet::new(), BTreeSet::new());
        ProposerRound {
            ballot,
            members,
            asked,
            promised,
            accepted,
            base,
            chosen,
            proposed: None,
            based: false,
            over: false,
        }
    }

    /// Its ballot.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// The epoch of the members whose votes it counts.
    pub fn epoch(&self) -> u64 {
        self.members.epoch
    }

    /// Who is asked.
    pub fn recipients(&self) -> impl Iterator<Item = Member> + '_ {
        self.asked.iter().copied()
    }

    /// What every voter is asked first.
    pub fn prepare_request(&self) -> AcceptorRequest<V> {
        AcceptorRequest::Prepare { ballot: self.ballot, epoch: self.members.epoch, newer_than: self.base.0 }
    }

    /// What all are asked once the next state is made. `None` where its members can't follow here: the change that is
    /// under way has to be settled first, by proposing the base as it is.
    pub fn propose(&mut self, state: State<V>) -> Option<AcceptorRequest<V>> {
        let base = &self.base.1.members;
        let next = &state.members;
        let one_step = next.epoch == self.members.epoch + 1 && base.epoch == self.members.epoch;
        if next != base && !one_step {
            return None;
        }
        self.asked.extend(&next.voters);
        self.proposed = Some(next.clone());
        Some(AcceptorRequest::Accept { ballot: self.ballot, epoch: self.members.epoch, state })
    }

    /// A voter has answered.
    pub fn handle_reply(&mut self, by: Member, tell: AcceptorReply<V>) -> ProposerStep<V> {
        if self.over {
            return ProposerStep::Wait;
        }
        match tell {
            AcceptorReply::Status { promised, accepted, chosen, state } => {
                if self.based || promised != self.ballot {
                    return ProposerStep::Wait;
                }
                self.promised.insert(by);
                self.chosen = self.chosen.max(chosen);
                if let Some(state) = state.filter(|_| accepted > self.base.0) {
                    self.base = (accepted, state);
                }
                self.has_promises()
            }
            AcceptorReply::Accepted => {
                self.accepted.insert(by);
                let joint =
                    |set: &Members| set.epoch == self.members.epoch || set.has_majority(&self.accepted);
                self.over =
                    self.members.has_majority(&self.accepted) && self.proposed.as_ref().is_some_and(joint);
                if self.over {
                    ProposerStep::Chosen
                } else {
                    ProposerStep::Wait
                }
            }
            AcceptorReply::Preempted(promised) => {
                self.over = true;
                ProposerStep::Preempted(promised)
            }
            AcceptorReply::NewerMembers(members, ballot) if members.epoch > self.members.epoch => {
                self.over = true;
                ProposerStep::NewerMembers(members, ballot)
            }
            AcceptorReply::NewerMembers(..) | AcceptorReply::WrongIncarnation(_) => ProposerStep::Wait,
        }
    }

    fn has_promises(&mut self) -> ProposerStep<V> {
        if !self.members.has_majority(&self.promised) {
            return ProposerStep::Wait;
        }
        let (ballot, set) = (self.base.0, &self.base.1.members);
        let known = self.chosen >= ballot;
        if set.epoch > self.members.epoch {
            if known {
                self.over = true;
                return ProposerStep::NewerMembers(set.clone(), ballot);
            }
            // Whoever proposed a set knew that the one before it was agreed on.
            if let Some(previous) = set.previous().filter(|previous| previous.epoch > self.members.epoch) {
                self.over = true;
                return ProposerStep::NewerMembers(previous, ballot);
            }
            // What those members agreed on since is to be heard too.
            if !set.has_majority(&self.promised) {
                let new = |member: &Member| !self.asked.contains(member);
                let more: Vec<Member> = set.voters.iter().copied().filter(new).collect();
                self.asked.extend(&more);
                return if more.is_empty() { ProposerStep::Wait } else { ProposerStep::Extend(more) };
            }
        }
        self.based = true;
        ProposerStep::Base(self.base.1.clone(), known)
    }
}
