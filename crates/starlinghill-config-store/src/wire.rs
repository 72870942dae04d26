//! What a store is asked by other stores, by the registry beside it, and by a console.

use bitcode::{Decode, Encode};
use starlinghill_config_model::Item;
use starlinghill_consensus::{AcceptorReply, AcceptorRequest, Ballot, Member, MemberChange, Members};
use starlinghill_lease::contact::QuorumContact;

/// The value that stores agree on.
pub type Value = Vec<Item>;

/// The state that they agree on: the value, and who votes.
pub type State = starlinghill_consensus::State<Value>;

/// A question.
#[derive(Debug, Clone, Encode, Decode)]
pub enum StoreRequest {
    /// To the voter of that incarnation here, by another store.
    Vote(Member, AcceptorRequest<Value>),
    /// Who votes?
    Members,
    /// An operator's change, as it was sent.
    Change(Vec<u8>),
    /// All that was agreed on until now.
    Read,
    /// What was agreed on since that ballot, or a majority's word, where the one who asks last heard of none; the answer may
    /// take a while.
    News(Ballot, bool),
    /// By a store that does not vote: it would.
    Join(Member),
    /// How long ago each member was heard here.
    Sight,
    /// By a console: those are to vote.
    Order(MembershipOrder),
    /// By a console: how things stand between the members.
    Why,
}

/// An answer.
#[derive(Debug, Clone, Encode, Decode)]
pub enum StoreResponse {
    /// The voter's.
    Vote(AcceptorReply<Value>),
    /// The members that are known here to be agreed on, and a ballot that is no lower than the one they were agreed on by.
    /// None where they are not known.
    Members(Members, Ballot),
    /// What came of a change.
    Changed(ChangeOutcome),
    /// All items, dropped ones included.
    Whole(Value),
    /// What was agreed on: its ballot, and the items where they are news.
    News {
        /// The ballot.
        ballot: Ballot,
        /// A majority's word that nothing newer was agreed on; none where the last one is too old to go by.
        contact: Option<QuorumContact>,
        /// The members that are known here to be agreed on.
        members: Members,
        /// This store is one of them.
        votes: bool,
        /// Newer ones that the voter here accepted, and that may have been agreed on.
        proposed: Option<Members>,
        /// All items, where the one who asks has an older ballot's.
        items: Option<Value>,
    },
    /// What came of an order on members, or of one that would be one.
    Admission(MembershipOutcome),
    /// How many milliseconds ago each member was heard here, as far back as this store runs.
    Sight(Vec<(Member, u64)>),
    /// How things stand between the members.
    Why(MembershipStatus),
    /// It can't be told now: there is no majority, or this store knows nothing yet.
    NotNow,
}

/// What came of a change.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum ChangeOutcome {
    /// It is agreed on, and on the disks of a majority.
    Taken,
    /// It makes no sense, whoever is asked.
    Invalid(String),
    /// One of its versions was confirmed with another content.
    Conflict(String),
    /// No majority could be had in time, or one of its versions lies beyond the horizon: it may be taken or not.
    Unclear,
}

/// An operator's order on members, by addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum MembershipOrder {
    /// The store at that address is to vote too.
    Add(std::net::IpAddr),
    /// The one there is to vote no more.
    Remove(std::net::IpAddr),
    /// The second in the place of the first.
    Replace(std::net::IpAddr, std::net::IpAddr),
}

/// What came of a wish for other members.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum MembershipOutcome {
    /// It is agreed on.
    Done(MemberChange),
    /// It stands so already.
    Stands,
    /// Not now, and why.
    Waits(MembershipDelay),
}

/// Why members are not changed now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum MembershipDelay {
    /// The change before has not stood for long enough.
    TooSoon,
    /// All members were heard a moment ago, by one of a majority at least.
    NobodyGone,
    /// Less than a majority could be asked whom it hears.
    NoMajority,
    /// The new one has not taken in all that was agreed on, synced.
    NotSynced,
    /// The set makes no sense: none would be left, or one is there twice, or who is to go is none.
    Refused,
}

/// How things stand between the members, as one store sees them.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct MembershipStatus {
    /// Who tells.
    pub me: Member,
    /// Who votes.
    pub members: Members,
    /// A majority said a moment ago that nothing newer was agreed on.
    pub fresh: bool,
    /// The highest ballot known to be agreed on.
    pub chosen: Ballot,
    /// For how many milliseconds these members are known here.
    pub stood_ms: u64,
    /// How many milliseconds ago each was heard.
    pub heard: Vec<(Member, u64)>,
    /// Stores that would vote, and why they don't, as of the last time they asked here.
    pub candidates: Vec<(Member, MembershipDelay)>,
}
