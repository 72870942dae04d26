//! Messages that a store exchanges with other stores, with registries and with the console.

use bitcode::{Decode, Encode};
use starlinghill_config_model::Item;
use starlinghill_consensus::{AcceptorReply, AcceptorRequest, Ballot, Member, MemberChange, Members};
use starlinghill_lease::contact::QuorumContact;

/// The replicated configuration: all items, removed ones included.
pub type Value = Vec<Item>;

/// The replicated state: the configuration and the set of voting members.
pub type State = starlinghill_consensus::State<Value>;

/// A request to a store. The order of the variants is part of the wire format.
#[derive(Debug, Clone, Encode, Decode)]
pub enum StoreRequest {
    /// From another store: a consensus request to the acceptor of this member. An acceptor of another incarnation
    /// rejects it.
    Acceptor(Member, AcceptorRequest<Value>),
    /// Asks for the voting members.
    Members,
    /// An operator's configuration change, as the JSON body that was sent.
    Apply(Vec<u8>),
    /// Asks for all items, read through a majority.
    Read,
    /// Long poll: asks for the items that changed since this ballot. The flag says whether the caller had a valid quorum
    /// contact; if it had none, the store also answers as soon as it has one itself.
    Changes(Ballot, bool),
    /// From a store that is not a voter: asks to become this voting member.
    Join(Member),
    /// Asks how long ago this store last heard from each member.
    LastHeard,
    /// From the console: changes the set of voting members.
    ChangeMembers(MembershipOrder),
    /// From the console: asks for the membership as this store sees it.
    Status,
}

/// The answer to a [`StoreRequest`]. The order of the variants is part of the wire format.
#[derive(Debug, Clone, Encode, Decode)]
pub enum StoreResponse {
    /// The acceptor's reply.
    Acceptor(AcceptorReply<Value>),
    /// The newest members that this store knows to be chosen, and a ballot at least as high as the one that chose them.
    /// The members are empty if the store knows none.
    Members(Members, Ballot),
    /// The outcome of a configuration change.
    Applied(ChangeOutcome),
    /// All items, removed ones included.
    Items(Value),
    /// The answer to a long poll.
    Changes {
        /// The highest ballot that this store knows to be chosen.
        ballot: Ballot,
        /// A majority's confirmation that nothing newer is chosen. `None` if the last one is too old to be used.
        contact: Option<QuorumContact>,
        /// The newest members that this store knows to be chosen.
        members: Members,
        /// Whether this store is one of `members`.
        is_voter: bool,
        /// Newer members that the local acceptor has accepted. They may or may not be chosen.
        proposed: Option<Members>,
        /// Items that the caller lacks; `None` if its ballot is not older than this store's. The list is the changed items
        /// or all items: the caller merges either.
        items: Option<Value>,
    },
    /// The outcome of a join request or of a membership order.
    Membership(MembershipOutcome),
    /// Milliseconds since this store last heard from each member. A member never heard from counts from this store's start.
    LastHeard(Vec<(Member, u64)>),
    /// The membership as this store sees it.
    Status(MembershipStatus),
    /// No answer is possible now: there is no majority, or this store has not yet learned any state.
    Unavailable,
}

/// The outcome of a configuration change.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum ChangeOutcome {
    /// The change is chosen and synced to the disks of a majority.
    Taken,
    /// The change is malformed, or contradicts the items. Every store rejects it from now on: it is malformed for all of
    /// them, or the refusal is part of the chosen value.
    Invalid(String),
    /// One of its versions was already confirmed with different content.
    Conflict(String),
    /// It is unknown whether the change is chosen: no majority answered in time, or one of its versions is older than the
    /// version history reaches.
    Unclear,
}

/// An operator's order to change the voting members. Stores are named by their addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum MembershipOrder {
    /// Makes the store at this address a voter.
    Add(std::net::IpAddr),
    /// Removes the voter at this address.
    Remove(std::net::IpAddr),
    /// Replaces the voter at the first address by the store at the second.
    Replace(std::net::IpAddr, std::net::IpAddr),
}

/// The outcome of a join request or of a membership order. The variant names appear in log lines.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum MembershipOutcome {
    /// The change is chosen.
    Done(MemberChange),
    /// Nothing to do: the candidate is a voter already.
    Stands,
    /// The members are not changed now, for this reason.
    Waits(MembershipDelay),
}

/// Why the members are not changed now. The variant names appear in log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum MembershipDelay {
    /// The previous change of members is too recent, or another change came first.
    TooSoon,
    /// No voter has been silent towards a majority for long enough to be replaced.
    NobodyGone,
    /// No majority of the voters answered, or the store that was asked is no voter itself.
    NoMajority,
    /// The joining store does not answer, or has not synced the chosen state to its disk.
    NotSynced,
    /// The resulting set is invalid: it would be empty, have a duplicate, or the member to remove is not in it.
    Refused,
}

/// The membership as one store sees it.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct MembershipStatus {
    /// The reporting store.
    pub me: Member,
    /// The newest members that it knows to be chosen.
    pub members: Members,
    /// Whether a majority recently confirmed that nothing newer is chosen.
    pub fresh: bool,
    /// The highest ballot that it knows to be chosen.
    pub chosen: Ballot,
    /// Milliseconds since it learned of these members.
    pub unchanged_for_ms: u64,
    /// Milliseconds since it last heard from each member.
    pub last_heard_ms: Vec<(Member, u64)>,
    /// Stores that asked to join, with the reason given for the delay at their last request.
    pub candidates: Vec<(Member, MembershipDelay)>,
}
