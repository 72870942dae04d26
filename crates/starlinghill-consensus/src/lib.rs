//! Agreement of the configuration stores on one value, by Paxos without a log and without a leader.
//!
//! The value holds all configuration items with their versions; a [`State`] is that value together with the members
//! that vote on it. To make a change, a proposer picks a ballot of its own, asks the members to promise it, takes the
//! state with the highest accepted ballot among the replies, merges its change into that state and asks a quorum to
//! accept the result. Any two quorums share a voter, so each change is built on all changes chosen before it. Two
//! contents of one version, or two items that contradict each other, therefore cannot both be chosen.
//!
//! Membership changes go through the same agreement, one member at a time. Each change starts a new epoch and needs a
//! majority of the old voters and a majority of the new ones. A member is an address plus an incarnation, which stands
//! for one disk. A store that lost its disk is a new member, and replaces its old self like any other successor.
//!
//! The crate does no I/O and reads no clock: [`Acceptor`] answers requests and says what must reach the disk before
//! the reply may be sent, and [`ProposerRound`] is one attempt to get a state chosen.

mod acceptor;
mod members;
mod proposer;

pub use acceptor::{Acceptor, AcceptorState, RequiredWrite};
pub use members::{has_majority, Member, MemberChange, Members, MembersRefusal};
pub use proposer::{ProposerRound, ProposerStep};

use bitcode::{Decode, Encode};

/// A unique proposal number, ordered by round and then by proposer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Encode, Decode)]
pub struct Ballot {
    /// Higher than every round that the proposer had seen when it picked this one.
    pub round: u64,
    /// The proposer's number. No two proposers share one, so no two ballots are equal.
    pub proposer: u32,
}

/// The subject of the agreement: a value and the members that vote on the next state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Encode, Decode)]
pub struct State<V> {
    /// The members that vote on the successor of this state.
    pub members: Members,
    /// The agreed content.
    pub value: V,
}

/// A request to a voter. `epoch` is the epoch of the members whose votes the proposer counts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub enum AcceptorRequest<V> {
    /// Asks for the promise to accept nothing under a lower ballot.
    Prepare {
        /// The ballot to promise.
        ballot: Ballot,
        /// The epoch whose votes are counted.
        epoch: u64,
        /// The ballot of the state that the proposer has: the reply carries a state only if it is newer.
        newer_than: Ballot,
    },
    /// Asks to accept a state.
    Accept {
        /// The ballot under which the state is proposed.
        ballot: Ballot,
        /// The epoch whose votes are counted.
        epoch: u64,
        /// The proposed state.
        state: State<V>,
    },
    /// Reports that the state of this ballot was chosen.
    Chosen(Ballot),
    /// Installs a chosen state as a snapshot, for a store that was away or is about to join.
    Learn {
        /// The ballot of the state.
        ballot: Ballot,
        /// The chosen state.
        state: State<V>,
    },
    /// Reads the voter's state, which is sent only if its ballot is higher than this one.
    Read(Ballot),
}

/// A voter's reply.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub enum AcceptorReply<V> {
    /// The voter's status, in reply to every request but `Accept`. A `Prepare` was granted if `promised` is its ballot.
    Status {
        /// The highest promised ballot.
        promised: Ballot,
        /// The ballot of the voter's state.
        accepted: Ballot,
        /// The highest ballot that the voter knows to be chosen.
        chosen: Ballot,
        /// The voter's state, if it is newer than the one that the caller has.
        state: Option<State<V>>,
    },
    /// The state was accepted.
    Accepted,
    /// The voter has promised this higher ballot.
    Preempted(Ballot),
    /// The proposer counts the votes of an old epoch: these members were chosen since, under a ballot no
    /// higher than the given one. The next round must use a higher ballot.
    NewerMembers(Members, Ballot),
    /// The voter at this address is another incarnation than the one addressed.
    WrongIncarnation(Member),
}
