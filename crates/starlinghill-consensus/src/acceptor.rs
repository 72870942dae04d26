//! The acceptor: the voting part of a store, with its promise and its accepted state.

use crate::{AcceptorReply, AcceptorRequest, Ballot, Member, Members, State};
use bitcode::{Decode, Encode};

/// The durable record of an acceptor, without the state itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub struct AcceptorState {
    /// The address and incarnation of this voter.
    pub me: Member,
    /// The voter accepts nothing under a lower ballot.
    pub promised: Ballot,
    /// The ballot under which the current state was accepted.
    pub accepted: Ballot,
    /// The highest ballot that the voter knows to be chosen. May lag behind.
    pub chosen: Ballot,
    /// The newest members that the voter knows to be chosen.
    pub members: Members,
}

/// A voter. Its incarnation vouches that it still has everything it ever promised and accepted: a store that lost its
/// disk starts again under a new incarnation, because forgotten promises would let two different states be chosen.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Acceptor<V> {
    metadata: AcceptorState,
    state: State<V>,
}

/// What must be on disk before the reply may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequiredWrite {
    /// The reply may go out at once.
    Nothing,
    /// The [`AcceptorState`] only.
    Metadata,
    /// The [`AcceptorState`] and the state.
    MetadataAndState,
}

impl<V: Clone + Default> Acceptor<V> {
    /// A voter with an empty disk: a founder, or a store that no member knows yet. `members` is what it was told of
    /// them, and may be empty.
    pub fn new(me: Member, members: Members) -> Acceptor<V> {
        let none = Ballot::default();
        let state = State { members: members.clone(), value: V::default() };
        let metadata = AcceptorState { me, promised: none, accepted: none, chosen: none, members };
        Acceptor { metadata, state }
    }

    /// Rebuilds a voter from its disk.
    pub fn restore(metadata: AcceptorState, state: State<V>) -> Acceptor<V> {
        Acceptor { metadata, state }
    }

    /// The address and incarnation of this voter.
    pub fn me(&self) -> Member {
        self.metadata.me
    }

    /// The part of the durable data that is written on every promise.
    pub fn metadata(&self) -> &AcceptorState {
        &self.metadata
    }

    /// The accepted state, whether it was chosen or not.
    pub fn state(&self) -> &State<V> {
        &self.state
    }

    /// Whether the voter knows that its state was chosen.
    pub fn is_chosen(&self) -> bool {
        self.metadata.accepted == self.metadata.chosen
    }

    /// Handles a request addressed to `to`, and returns the reply and what must be on disk before it is sent.
    pub fn handle(&mut self, to: Member, request: AcceptorRequest<V>) -> (AcceptorReply<V>, RequiredWrite) {
        if to != self.metadata.me {
            return (AcceptorReply::WrongIncarnation(self.metadata.me), RequiredWrite::Nothing);
        }
        match request {
            AcceptorRequest::Prepare { ballot, epoch, newer_than } => match self.refusal(ballot, epoch) {
                Some(refusal) => (refusal, RequiredWrite::Nothing),
                None => {
                    let new_promise = std::mem::replace(&mut self.metadata.promised, ballot) != ballot;
                    let new_members = self.learn_epoch(epoch);
                    let write = if new_promise || new_members {
                        RequiredWrite::Metadata
                    } else {
                        RequiredWrite::Nothing
                    };
                    (self.status(newer_than), write)
                }
            },
            AcceptorRequest::Accept { ballot, epoch, state } => match self.refusal(ballot, epoch) {
                Some(refusal) => (refusal, RequiredWrite::Nothing),
                None => {
                    self.store(ballot, state);
                    self.learn_epoch(epoch);
                    (AcceptorReply::Accepted, RequiredWrite::MetadataAndState)
                }
            },
            AcceptorRequest::Chosen(ballot) => {
                // Counts only for the state that this voter has. If it holds another one, whoever reads it next settles
                // which state was chosen.
                let mut write = RequiredWrite::Nothing;
                if ballot == self.metadata.accepted {
                    self.metadata.chosen = self.metadata.chosen.max(ballot);
                    if self.learn_members(self.state.members.clone()) {
                        write = RequiredWrite::Metadata;
                    }
                }
                (self.status(self.metadata.accepted), write)
            }
            AcceptorRequest::Learn { ballot, state } => {
                // A higher promise does not stand against it: the proposer that got such a promise from a quorum has
                // heard of the chosen state from that quorum.
                let is_newer = ballot > self.metadata.accepted;
                if is_newer {
                    self.store(ballot, state);
                }
                if ballot == self.metadata.accepted {
                    self.metadata.chosen = self.metadata.chosen.max(ballot);
                    self.learn_members(self.state.members.clone());
                }
                let write = if is_newer { RequiredWrite::MetadataAndState } else { RequiredWrite::Nothing };
                (self.status(self.metadata.accepted), write)
            }
            AcceptorRequest::Read(newer_than) => (self.status(newer_than), RequiredWrite::Nothing),
        }
    }

    /// Learns from a proposer's epoch that its members were chosen: a proposer counts only votes of a chosen set, so if
    /// this voter's state carries that set, the set is chosen. Without this, a second failure right after a membership
    /// change could take out every voter that was told of it. Returns whether this is new.
    fn learn_epoch(&mut self, epoch: u64) -> bool {
        self.state.members.epoch == epoch && self.learn_members(self.state.members.clone())
    }

    fn store(&mut self, ballot: Ballot, state: State<V>) {
        self.metadata.accepted = ballot;
        self.metadata.promised = self.metadata.promised.max(ballot);
        // A set is proposed only once the set before it was chosen.
        if let Some(previous) = state.members.previous() {
            self.learn_members(previous);
        }
        self.state = state;
    }

    /// Takes note that these members were chosen. Returns whether this is new.
    pub fn learn_members(&mut self, members: Members) -> bool {
        let known = &self.metadata.members;
        // The same set may have been known without its predecessor.
        let adds_previous = members.epoch == known.epoch
            && known.previous_voters.is_empty()
            && !members.previous_voters.is_empty();
        let is_new = members.epoch > known.epoch || known.voters.is_empty() || adds_previous;
        if is_new {
            self.metadata.members = members;
        }
        is_new
    }

    /// The refusal of a ballot below the promise, or of a proposer that counts the votes of a replaced set.
    fn refusal(&self, ballot: Ballot, epoch: u64) -> Option<AcceptorReply<V>> {
        let AcceptorState { promised, members, .. } = &self.metadata;
        if epoch < members.epoch {
            return Some(AcceptorReply::NewerMembers(members.clone(), *promised));
        }
        (ballot < *promised).then_some(AcceptorReply::Preempted(*promised))
    }

    fn status(&self, newer_than: Ballot) -> AcceptorReply<V> {
        let AcceptorState { promised, accepted, chosen, .. } = self.metadata;
        let state = (accepted > newer_than).then(|| self.state.clone());
        AcceptorReply::Status { promised, accepted, chosen, state }
    }
}
