//! One voter, an acceptor: what it promised and accepted.

use crate::{AcceptorReply, AcceptorRequest, Ballot, Member, Members, State};
use bitcode::{Decode, Encode};

/// What a voter keeps on disk beside its state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub struct AcceptorState {
    /// Who it is.
    pub me: Member,
    /// It accepts nothing below this.
    pub promised: Ballot,
    /// The ballot of its state.
    pub accepted: Ballot,
    /// The highest ballot that it knows to be agreed on; may lag.
    pub chosen: Ballot,
    /// The newest members that it knows to be agreed on.
    pub members: Members,
}

/// A voter. Its incarnation has remembered all that it ever said: one that lost its disk begins another.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Acceptor<V> {
    kept: AcceptorState,
    state: State<V>,
}

/// What must be on disk before the answer goes out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequiredWrite {
    /// Nothing has to wait.
    Nothing,
    /// All but the state.
    Metadata,
    /// The state too.
    MetadataAndState,
}

impl<V: Clone + Default> Acceptor<V> {
    /// One with an empty disk: a founder, or one of whom no member knows yet, with what it was told of them.
    pub fn new(me: Member, members: Members) -> Acceptor<V> {
        let none = Ballot::default();
        let state = State { members: members.clone(), value: V::default() };
        Acceptor { kept: AcceptorState { me, promised: none, accepted: none, chosen: none, members }, state }
    }

    /// As it stood on disk.
    pub fn restore(kept: AcceptorState, state: State<V>) -> Acceptor<V> {
        Acceptor { kept, state }
    }

    /// Who it is.
    pub fn me(&self) -> Member {
        self.kept.me
    }

    /// What it has to keep.
    pub fn metadata(&self) -> &AcceptorState {
        &self.kept
    }

    /// Its state, agreed on or not.
    pub fn state(&self) -> &State<V> {
        &self.state
    }

    /// Its state was agreed on, as far as it knows.
    pub fn is_chosen(&self) -> bool {
        self.kept.accepted == self.kept.chosen
    }

    /// Answers a question that is meant for `to`, and says what must be on disk before the answer goes out.
    pub fn handle(&mut self, to: Member, ask: AcceptorRequest<V>) -> (AcceptorReply<V>, RequiredWrite) {
        if to != self.kept.me {
            return (AcceptorReply::WrongIncarnation(self.kept.me), RequiredWrite::Nothing);
        }
        match ask {
            AcceptorRequest::Prepare { ballot, epoch, newer_than: have } => {
                match self.stands_back(ballot, epoch) {
                    Some(refusal) => (refusal, RequiredWrite::Nothing),
                    None => {
                        let new = std::mem::replace(&mut self.kept.promised, ballot) != ballot;
                        let newer = self.counts_by(epoch);
                        (
                            self.has(have),
                            if new || newer { RequiredWrite::Metadata } else { RequiredWrite::Nothing },
                        )
                    }
                }
            }
            AcceptorRequest::Accept { ballot, epoch, state } => match self.stands_back(ballot, epoch) {
                Some(refusal) => (refusal, RequiredWrite::Nothing),
                None => {
                    self.hold(ballot, state);
                    self.counts_by(epoch);
                    (AcceptorReply::Accepted, RequiredWrite::MetadataAndState)
                }
            },
            AcceptorRequest::Chosen(ballot) => {
                // Only of the state that it has: what lies between is settled by whoever looks.
                let mut save = RequiredWrite::Nothing;
                if ballot == self.kept.accepted {
                    self.kept.chosen = self.kept.chosen.max(ballot);
                    if self.learn_members(self.state.members.clone()) {
                        save = RequiredWrite::Metadata;
                    }
                }
                (self.has(self.kept.accepted), save)
            }
            AcceptorRequest::Learn { ballot, state } => {
                // No promise stands against it: whoever was promised a higher ballot by a quorum heard of what was agreed on.
                let newer = ballot > self.kept.accepted;
                if newer {
                    self.hold(ballot, state);
                }
                if ballot == self.kept.accepted {
                    self.kept.chosen = self.kept.chosen.max(ballot);
                    self.learn_members(self.state.members.clone());
                }
                (
                    self.has(self.kept.accepted),
                    if newer { RequiredWrite::MetadataAndState } else { RequiredWrite::Nothing },
                )
            }
            AcceptorRequest::Read(have) => (self.has(have), RequiredWrite::Nothing),
        }
    }

    /// A proposer counts the votes of that epoch only if it was agreed on: where this voter has that set, it knows now. Guards
    /// against a second loss right behind a change, of all who were told of it.
    fn counts_by(&mut self, epoch: u64) -> bool {
        self.state.members.epoch == epoch && self.learn_members(self.state.members.clone())
    }

    fn hold(&mut self, ballot: Ballot, state: State<V>) {
        self.kept.accepted = ballot;
        self.kept.promised = self.kept.promised.max(ballot);
        // A set that is proposed proves the one before it.
        if let Some(previous) = state.members.previous() {
            self.learn_members(previous);
        }
        self.state = state;
    }

    /// Those members were agreed on. Returns whether that is news.
    pub fn learn_members(&mut self, members: Members) -> bool {
        let known = &self.kept.members;
        // The same set may have been known without the one before it.
        let more = members.epoch == known.epoch
            && known.previous_voters.is_empty()
            && !members.previous_voters.is_empty();
        let newer = members.epoch > known.epoch || known.voters.is_empty() || more;
        if newer {
            self.kept.members = members;
        }
        newer
    }

    /// Refuses what is below its promise, or counts the votes of members that are no more.
    fn stands_back(&self, ballot: Ballot, epoch: u64) -> Option<AcceptorReply<V>> {
        if epoch < self.kept.members.epoch {
            return Some(AcceptorReply::NewerMembers(self.kept.members.clone(), self.kept.promised));
        }
        (ballot < self.kept.promised).then_some(AcceptorReply::Preempted(self.kept.promised))
    }

    fn has(&self, have: Ballot) -> AcceptorReply<V> {
        let AcceptorState { promised, accepted, chosen, .. } = self.kept;
        let state = (accepted > have).then(|| self.state.clone());
        AcceptorReply::Status { promised, accepted, chosen, state }
    }
}
