//! The sets of members whose majorities a registry needs for its decisions.

use starlinghill_consensus::{Member, Members};
use std::net::IpAddr;
use std::time::Duration;

/// Duration of the counter's lease. After a change of members, a registry may still go by the replaced set for as
/// long as a store's contact is valid, and hold a lease that was granted by it for this much longer. The stores
/// enforce at least this distance between two changes.
const LEASE_DURATION: Duration = Duration::from_millis(800);

/// The current set of voters and the others that must agree during a change of members.
#[derive(Debug, Default)]
pub struct VoterSets {
    /// How long a replaced set still has to agree.
    replaced_valid_for: Duration,
    members: Members,
    /// Voters that the local store accepted and that may already be agreed on.
    proposed: Option<Vec<IpAddr>>,
    /// Replaced sets, each with the time until which it still has to agree.
    replaced: Vec<(Duration, Vec<IpAddr>)>,
}

fn ips(set: &[Member]) -> Vec<IpAddr> {
    set.iter().map(|member| member.ip).collect()
}

impl VoterSets {
    /// No members are known yet. `contact` is how long a store's contact with a majority is valid.
    pub fn new(contact: Duration) -> VoterSets {
        VoterSets { replaced_valid_for: contact + LEASE_DURATION, ..VoterSets::default() }
    }

    /// The newest members that are agreed on.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Adopts agreed members; returns whether they are newer than the known ones.
    pub fn follow(&mut self, now: Duration, members: &Members) -> bool {
        let first = self.members.voters.is_empty();
        if members.voters.is_empty() || members.epoch <= self.members.epoch && !first {
            return false;
        }
        // `before` is included because a registry that has just started may have gone by that set until now.
        for set in [ips(&self.members.voters), ips(&members.previous_voters)] {
            if !set.is_empty() {
                self.replaced.push((now + self.replaced_valid_for, set));
            }
        }
        self.members = members.clone();
        true
    }

    /// The local store has accepted these members, or none newer than the agreed ones.
    pub fn propose(&mut self, now: Duration, proposed: Option<&Members>) {
        let next = proposed.map(|members| ips(&members.voters));
        if let Some(before) = self.proposed.take().filter(|before| Some(before) != next.as_ref()) {
            self.replaced.push((now + self.replaced_valid_for, before));
        }
        self.proposed = next;
    }

    /// The sets of which a majority each has to agree now.
    pub fn required_majorities(&mut self, now: Duration) -> Vec<Vec<IpAddr>> {
        self.replaced.retain(|(until, _)| now < *until);
        let current = ips(&self.members.voters);
        let mut sets = Vec::new();
        if !current.is_empty() {
            sets.push(current);
        }
        let others = self.proposed.iter().chain(self.replaced.iter().map(|(_, set)| set));
        for set in others {
            if !sets.contains(set) {
                sets.push(set.clone());
            }
        }
        sets
    }
}
