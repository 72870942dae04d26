//! Joinery: a clamp presses pieces together until the glue has set, and then is taken away. Here it is the agreement of the
//! stores on the configuration: a ballot holds the copies together for one change; no log stays behind, and no leader.
//!
//! The state is one value (all items with their versions) and the members that vote on it. Whoever has a change to make, a
//! proposer, asks the members for a promise under a ballot of its own, takes the state of the highest ballot that it hears
//! of, merges the change into it, and has the outcome accepted by a quorum. Since any two quorums meet in a voter, each
//! change sees all that were agreed on before it: two contents of one version, or two items that make no sense together,
//! can't both be taken.
//!
//! Members change by the same agreement, one at a time: each change begins an epoch, and is accepted only by a majority of
//! the old set and by one of the new. A member is an address and an incarnation, the life of its disk: one that lost its disk is
//! another member, and takes its own place as any successor would.
//!
//! No I/O and no clock: [`Voter`] answers questions and says what must be on disk first, [`Round`] is one attempt to agree.

mod acceptor;
mod members;
mod proposer;

pub use acceptor::{Acceptor, AcceptorState, RequiredWrite};
pub use members::{has_majority, Member, MemberChange, Members, MembersRefusal};
pub use proposer::{ProposerRound, ProposerStep};

use bitcode::{Decode, Encode};

/// The number of a round: no two rounds have the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Encode, Decode)]
pub struct Ballot {
    /// Higher than all that its owner had seen.
    pub round: u64,
    /// Whose it is. Owners have numbers of their own.
    pub proposer: u32,
}

/// What is agreed on: a value, and who votes on the next one.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Encode, Decode)]
pub struct State<V> {
    /// Who votes.
    pub members: Members,
    /// The value.
    pub value: V,
}

/// What a voter is asked. The epoch is that of the members whose votes the proposer counts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub enum AcceptorRequest<V> {
    /// For a promise to accept nothing under a lower ballot.
    Prepare {
        /// The ballot.
        ballot: Ballot,
        /// The epoch.
        epoch: u64,
        /// It has the state of that ballot.
        newer_than: Ballot,
    },
    /// To accept a state.
    Accept {
        /// The ballot.
        ballot: Ballot,
        /// The epoch.
        epoch: u64,
        /// The state.
        state: State<V>,
    },
    /// It is told that the state of a ballot was agreed on.
    Chosen(Ballot),
    /// It is given a state that was agreed on, a snapshot: for one that was away, or is about to join.
    Learn {
        /// The ballot.
        ballot: Ballot,
        /// The state.
        state: State<V>,
    },
    /// For what it has; the state only if that is newer than this.
    Read(Ballot),
}

/// What a voter answers.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub enum AcceptorReply<V> {
    /// It has promised, or notes, or merely looks; this is what it has.
    Status {
        /// Its promise.
        promised: Ballot,
        /// The ballot of its state.
        accepted: Ballot,
        /// The highest ballot that it knows to be agreed on.
        chosen: Ballot,
        /// Its state, where the one who asks has an older one.
        state: Option<State<V>>,
    },
    /// It has accepted.
    Accepted,
    /// It has promised something higher.
    Preempted(Ballot),
    /// The members of that epoch are no longer those who vote: a newer set was agreed on, under no higher ballot than this.
    NewerMembers(Members, Ballot),
    /// At that address is another incarnation now.
    WrongIncarnation(Member),
}
