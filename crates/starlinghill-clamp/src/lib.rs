//! Joinery: a clamp presses pieces together until the glue has set, and then is taken away. Here it is the agreement of the
//! stores on the configuration: a ballot holds the copies together for one change; no log stays behind, and no leader.
//!
//! The state is one value (all items with their versions). Whoever has a change to make asks all voters for a promise
//! under a ballot of its own, takes the value of the highest ballot that it hears of, merges the change into it, and has
//! the outcome accepted by a majority. Since any two majorities meet in a voter, each change sees all that were agreed on
//! before it: two contents of one version, or two items that make no sense together, can't both be taken.
//!
//! A voter that lost its disk knows nothing of what it promised. It votes again once every other voter has noted its new
//! life: an old round that counts on a promise of the life before is refused by all who have.
//!
//! No I/O and no clock: [`Voter`] answers questions and says what must be on disk first, [`Round`] is one attempt to agree.

mod round;
mod voter;

pub use round::{Round, Step};
pub use voter::{Kept, Save, Voter};

use bitcode::{Decode, Encode};

/// The number of a round: no two rounds have the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Encode, Decode)]
pub struct Ballot {
    /// Higher than all that its owner had seen.
    pub round: u64,
    /// Whose it is. Owners have numbers of their own.
    pub by: u32,
}

/// How often each voter has begun anew with an empty disk.
pub type Lives = Vec<u64>;

/// What a voter is asked.
#[derive(Debug, Clone, Encode, Decode)]
pub enum Ask<V> {
    /// For a promise to accept nothing under a lower ballot.
    Prepare {
        /// The ballot.
        ballot: Ballot,
        /// The voters' lives, as far as the one who asks knows.
        lives: Lives,
        /// It has the value of that ballot.
        have: Ballot,
    },
    /// To accept a value.
    Accept {
        /// The ballot.
        ballot: Ballot,
        /// The lives of the voters that gave their promise.
        lives: Lives,
        /// The value.
        value: V,
    },
    /// It is told that the value of a ballot was agreed on.
    Chosen(Ballot),
    /// For what it has; the value only if that is newer than this.
    Look(Ballot),
    /// To note a voter's new life.
    Enrol {
        /// The voter.
        voter: usize,
        /// Its life.
        life: u64,
    },
}

/// What a voter answers.
#[derive(Debug, Clone, Encode, Decode)]
pub enum Tell<V> {
    /// It has promised, or notes, or merely looks; this is what it has.
    Has {
        /// Its promise.
        promised: Ballot,
        /// The ballot of its value.
        accepted: Ballot,
        /// The highest ballot that it knows to be agreed on.
        chosen: Ballot,
        /// The lives that it knows of.
        lives: Lives,
        /// Its value, where the one who asks has an older one.
        value: Option<V>,
    },
    /// It has accepted.
    Accepted,
    /// It has promised something higher, or knows of newer lives.
    Later {
        /// Its promise.
        promised: Ballot,
        /// The lives.
        lives: Lives,
    },
    /// It has lost its disk and does not know yet.
    Lost {
        /// The life that it asks others to note, 0 where it does not know which.
        life: u64,
    },
}
