//! One attempt of a proposer to get a state chosen.

use crate::{AcceptorReply, AcceptorRequest, Ballot, Member, Members, State};
use std::collections::BTreeSet;

/// What the caller does after a reply was handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposerStep<V> {
    /// Wait for more replies.
    Wait,
    /// Send the prepare request to these members too: a state with newer members was accepted somewhere and may have
    /// been chosen.
    Extend(Vec<Member>),
    /// A quorum has promised. Build the next state from this one; the flag says whether it is known to be chosen.
    Base(State<V>, bool),
    /// A quorum has accepted the proposed state.
    Chosen,
    /// A voter has promised another proposer this ballot: start a new round with a higher one.
    Preempted(Ballot),
    /// Newer members were chosen: start a new round among them, with a ballot higher than this one.
    NewerMembers(Members, Ballot),
}

/// One round, among members that are known to be chosen. Its ballot is higher than the one under which they were.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ProposerRound<V> {
    ballot: Ballot,
    /// The members whose votes are counted.
    members: Members,
    /// All members that requests go to: `members`, and those of a newer set that may have been chosen.
    recipients: BTreeSet<Member>,
    promised: BTreeSet<Member>,
    accepted: BTreeSet<Member>,
    /// The state with the highest accepted ballot so far, which the proposal must be built on.
    base: (Ballot, State<V>),
    /// The highest ballot that any voter knows to be chosen.
    chosen: Ballot,
    /// The members in the proposed state.
    proposed: Option<Members>,
    /// A quorum has promised, and the base is final.
    is_base_final: bool,
    is_over: bool,
}

impl<V: Clone> ProposerRound<V> {
    /// Starts a round under `ballot`, among `members`. `known` is the chosen state that the proposer has, with its
    /// ballot.
    pub fn new(ballot: Ballot, members: Members, known: (Ballot, State<V>)) -> ProposerRound<V> {
        let (recipients, chosen) = (members.voters.iter().copied().collect(), known.0);
        let mut base = known;
        if base.0 == Ballot::default() {
            // Nothing was ever chosen, so the first state is built on the founding members.
            base.1.members = members.clone();
        }
        ProposerRound {
            ballot,
            members,
            recipients,
            promised: BTreeSet::new(),
            accepted: BTreeSet::new(),
            base,
            chosen,
            proposed: None,
            is_base_final: false,
            is_over: false,
        }
    }

    /// The ballot of this round.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// The epoch of the members whose votes are counted.
    pub fn epoch(&self) -> u64 {
        self.members.epoch
    }

    /// The members that requests go to.
    pub fn recipients(&self) -> impl Iterator<Item = Member> + '_ {
        self.recipients.iter().copied()
    }

    /// The request that opens the round at every recipient.
    pub fn prepare_request(&self) -> AcceptorRequest<V> {
        let (epoch, newer_than) = (self.members.epoch, self.base.0);
        AcceptorRequest::Prepare { ballot: self.ballot, epoch, newer_than }
    }

    /// The accept request for the next state, for all recipients. `None` if its members cannot follow on the base: a
    /// membership change is under way, which the caller settles first by proposing the base unchanged.
    pub fn propose(&mut self, state: State<V>) -> Option<AcceptorRequest<V>> {
        let base = &self.base.1.members;
        let next = &state.members;
        let is_next_epoch = next.epoch == self.members.epoch + 1 && base.epoch == self.members.epoch;
        if next != base && !is_next_epoch {
            return None;
        }
        self.recipients.extend(&next.voters);
        self.proposed = Some(next.clone());
        Some(AcceptorRequest::Accept { ballot: self.ballot, epoch: self.members.epoch, state })
    }

    /// Handles a voter's reply and returns what to do next.
    pub fn handle_reply(&mut self, from: Member, reply: AcceptorReply<V>) -> ProposerStep<V> {
        if self.is_over {
            return ProposerStep::Wait;
        }
        match reply {
            AcceptorReply::Status { promised, accepted, chosen, state } => {
                if self.is_base_final || promised != self.ballot {
                    return ProposerStep::Wait;
                }
                self.promised.insert(from);
                self.chosen = self.chosen.max(chosen);
                if let Some(state) = state.filter(|_| accepted > self.base.0) {
                    self.base = (accepted, state);
                }
                self.after_promise()
            }
            AcceptorReply::Accepted => {
                self.accepted.insert(from);
                // A proposal with new members also needs a majority of these.
                let has_next_majority =
                    |set: &Members| set.epoch == self.members.epoch || set.has_majority(&self.accepted);
                self.is_over = self.members.has_majority(&self.accepted)
                    && self.proposed.as_ref().is_some_and(has_next_majority);
                if self.is_over {
                    ProposerStep::Chosen
                } else {
                    ProposerStep::Wait
                }
            }
            AcceptorReply::Preempted(promised) => {
                self.is_over = true;
                ProposerStep::Preempted(promised)
            }
            AcceptorReply::NewerMembers(members, ballot) if members.epoch > self.members.epoch => {
                self.is_over = true;
                ProposerStep::NewerMembers(members, ballot)
            }
            AcceptorReply::NewerMembers(..) | AcceptorReply::WrongIncarnation(_) => ProposerStep::Wait,
        }
    }

    fn after_promise(&mut self) -> ProposerStep<V> {
        if !self.members.has_majority(&self.promised) {
            return ProposerStep::Wait;
        }
        let (ballot, set) = (self.base.0, &self.base.1.members);
        let is_chosen = self.chosen >= ballot;
        if set.epoch > self.members.epoch {
            if is_chosen {
                self.is_over = true;
                return ProposerStep::NewerMembers(set.clone(), ballot);
            }
            // The proposer of a set knew that the set before it was chosen.
            if let Some(previous) = set.previous().filter(|previous| previous.epoch > self.members.epoch) {
                self.is_over = true;
                return ProposerStep::NewerMembers(previous, ballot);
            }
            // If the newer set was chosen, it may have chosen further states: a majority of it must promise too.
            if !set.has_majority(&self.promised) {
                let is_new = |member: &Member| !self.recipients.contains(member);
                let more: Vec<Member> = set.voters.iter().copied().filter(is_new).collect();
                self.recipients.extend(&more);
                return if more.is_empty() { ProposerStep::Wait } else { ProposerStep::Extend(more) };
            }
        }
        self.is_base_final = true;
        ProposerStep::Base(self.base.1.clone(), is_chosen)
    }
}
