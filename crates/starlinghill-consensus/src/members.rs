//! The voting members and their changes. Each change starts a new epoch.

use bitcode::{Decode, Encode};
use std::collections::BTreeSet;
use std::net::IpAddr;

/// The most members of a set. Bounds the size of messages and the number of votes that a quorum needs.
const MAX_MEMBERS: usize = 9;

/// A voter: an address and the incarnation of the disk at that address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Member {
    /// The address of the store.
    pub ip: IpAddr,
    /// The incarnation of its disk. A store that starts with an empty disk gets a new one; the founders have 0.
    pub incarnation: u64,
}

/// The members of one epoch.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Encode, Decode)]
pub struct Members {
    /// Rises by one with each change.
    pub epoch: u64,
    /// The voters of this epoch, sorted.
    pub voters: Vec<Member>,
    /// The voters of the epoch before. That set is known to be chosen as soon as this one is proposed.
    pub previous_voters: Vec<Member>,
}

/// A change of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode)]
pub enum MemberChange {
    /// Adds a member.
    Add(Member),
    /// Removes a member.
    Remove(Member),
    /// Replaces one member by another in a single step.
    Replace {
        /// The member that is removed.
        leaves: Member,
        /// The member that is added.
        joins: Member,
    },
}

/// Why a membership change is not possible.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum MembersRefusal {
    /// The joining member votes already, or another incarnation at its address does.
    Member,
    /// The leaving member is not in the set.
    Unknown,
    /// The new set would be empty, or have more members than allowed.
    Count,
}

/// Whether `votes` holds more than half of a set.
pub fn has_majority(set: &[Member], votes: &BTreeSet<Member>) -> bool {
    set.iter().filter(|member| votes.contains(member)).count() > set.len() / 2
}

impl Members {
    /// The founding members, at these addresses.
    pub fn founding(ips: impl IntoIterator<Item = IpAddr>) -> Members {
        let mut voters: Vec<Member> = ips.into_iter().map(|ip| Member { ip, incarnation: 0 }).collect();
        voters.sort_unstable();
        voters.dedup();
        Members { epoch: 0, voters, previous_voters: Vec::new() }
    }

    /// The set of the epoch before, without its own predecessor. It was chosen, or this set would not have been
    /// proposed. `None` for the founding set.
    pub fn previous(&self) -> Option<Members> {
        let epoch = self.epoch.checked_sub(1)?;
        Some(Members { epoch, voters: self.previous_voters.clone(), previous_voters: Vec::new() })
    }

    /// The set of the next epoch, with a change applied.
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
        if voters.is_empty() || voters.len() > MAX_MEMBERS {
            return Err(MembersRefusal::Count);
        }
        voters.sort_unstable();
        Ok(Members { epoch: self.epoch + 1, voters, previous_voters: self.voters.clone() })
    }

    /// The member at an address, in whatever incarnation.
    pub fn member_at(&self, ip: IpAddr) -> Option<Member> {
        self.voters.iter().copied().find(|member| member.ip == ip)
    }

    /// Whether a member votes in this epoch.
    pub fn contains(&self, member: Member) -> bool {
        self.voters.contains(&member)
    }

    /// Whether `votes` holds more than half of this epoch's voters.
    pub fn has_majority(&self, votes: &BTreeSet<Member>) -> bool {
        has_majority(&self.voters, votes)
    }
}
