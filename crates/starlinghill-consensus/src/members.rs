//! Who votes: members, by epochs.

use bitcode::{Decode, Encode};
use std::collections::BTreeSet;
use std::net::IpAddr;

/// The most members. Guards the size of messages, and of quorums.
const MOST: usize = 9;

/// One that votes: an address, and the life of the disk there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Member {
    /// Where it is.
    pub ip: IpAddr,
    /// A disk that began empty has another one; the founders have 0.
    pub incarnation: u64,
}

/// The members of an epoch.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Encode, Decode)]
pub struct Members {
    /// Rises by one with each change.
    pub epoch: u64,
    /// Who votes, in order.
    pub voters: Vec<Member>,
    /// Who voted in the epoch before. That these were agreed on is known wherever this set is proposed.
    pub previous_voters: Vec<Member>,
}

/// One change: of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode)]
pub enum MemberChange {
    /// One more.
    Add(Member),
    /// One less.
    Remove(Member),
    /// One in the place of another.
    Replace {
        /// Who goes.
        leaves: Member,
        /// Who comes.
        joins: Member,
    },
}

/// Why members can't change so.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum MembersRefusal {
    /// It votes already, or another incarnation at its address does.
    Member,
    /// Who is to go does not vote.
    Unknown,
    /// There would be none, or too many.
    Count,
}

/// More than half of a set is among these.
pub fn has_majority(set: &[Member], votes: &BTreeSet<Member>) -> bool {
    set.iter().filter(|member| votes.contains(member)).count() > set.len() / 2
}

impl Members {
    /// The founders at these addresses.
    pub fn founding(ips: impl IntoIterator<Item = IpAddr>) -> Members {
        let mut voters: Vec<Member> = ips.into_iter().map(|ip| Member { ip, incarnation: 0 }).collect();
        voters.sort_unstable();
        voters.dedup();
        Members { epoch: 0, voters, previous_voters: Vec::new() }
    }

    /// The set of the epoch before, which was agreed on if this one was so much as proposed.
    pub fn previous(&self) -> Option<Members> {
        let epoch = self.epoch.checked_sub(1)?;
        Some(Members { epoch, voters: self.previous_voters.clone(), previous_voters: Vec::new() })
    }

    /// The next set.
    pub fn with_change(&self, change: MemberChange) -> Result<Members, MembersRefusal> {
        let mut voters = self.voters.clone();
        let (leaves, joins) = match change {
            MemberChange::Add(joins) => (None, Some(joins)),
            MemberChange::Remove(leaves) => (Some(leaves), None),
            MemberChange::Replace { leaves, joins } => (Some(leaves), Some(joins)),
        };
        if let Some(leaves) = leaves {
            let at = voters.iter().position(|member| *member == leaves).ok_or(MembersRefusal::Unknown)?;
            voters.remove(at);
        }
        if let Some(joins) = joins {
            if voters.iter().any(|member| member.ip == joins.ip) || leaves == Some(joins) {
                return Err(MembersRefusal::Member);
            }
            voters.push(joins);
        }
        if voters.is_empty() || voters.len() > MOST {
            return Err(MembersRefusal::Count);
        }
        voters.sort_unstable();
        Ok(Members { epoch: self.epoch + 1, voters, previous_voters: self.voters.clone() })
    }

    /// The member at an address.
    pub fn member_at(&self, ip: IpAddr) -> Option<Member> {
        self.voters.iter().copied().find(|member| member.ip == ip)
    }

    /// It votes.
    pub fn contains(&self, member: Member) -> bool {
        self.voters.contains(&member)
    }

    /// More than half of them are among these.
    pub fn has_majority(&self, votes: &BTreeSet<Member>) -> bool {
        has_majority(&self.voters, votes)
    }
}
