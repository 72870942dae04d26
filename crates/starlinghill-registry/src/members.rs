//! Whose registries count: the members of the core, as the store beside this registry tells.

use starlinghill_consensus::{Member, Members};
use std::net::IpAddr;
use std::time::Duration;

/// A set that was left counts for this and for the time that a store's word counts: a registry that lags may go by it for as
/// long, and hold by it for a lease more. The stores let no two changes follow each other faster.
const LEASE: Duration = Duration::from_millis(800);

/// The sets that count.
#[derive(Debug, Default)]
pub struct Sets {
    /// How long one that was left counts.
    left_for: Duration,
    members: Members,
    /// Newer ones that the store beside accepted, and that may have been agreed on.
    proposed: Option<Vec<IpAddr>>,
    /// Sets that were left, and until when they count.
    left: Vec<(Duration, Vec<IpAddr>)>,
}

fn ips(set: &[Member]) -> Vec<IpAddr> {
    set.iter().map(|member| member.ip).collect()
}

impl Sets {
    /// None yet. A store's word on them counts for so long.
    pub fn new(contact: Duration) -> Sets {
        Sets { left_for: contact + LEASE, ..Sets::default() }
    }

    /// The newest members that are known to be agreed on.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Those are agreed on. Returns whether that is news.
    pub fn follow(&mut self, now: Duration, members: &Members) -> bool {
        let first = self.members.voters.is_empty();
        if members.voters.is_empty() || members.epoch <= self.members.epoch && !first {
            return false;
        }
        // One that has just started may have gone by the set before until then.
        for set in [ips(&self.members.voters), ips(&members.previous_voters)] {
            if !set.is_empty() {
                self.left.push((now + self.left_for, set));
            }
        }
        self.members = members.clone();
        true
    }

    /// The store beside has accepted those, or none that are newer.
    pub fn propose(&mut self, now: Duration, proposed: Option<&Members>) {
        let next = proposed.map(|members| ips(&members.voters));
        if let Some(before) = self.proposed.take().filter(|before| Some(before) != next.as_ref()) {
            self.left.push((now + self.left_for, before));
        }
        self.proposed = next;
    }

    /// Of each of these a majority is needed now.
    pub fn count(&mut self, now: Duration) -> Vec<Vec<IpAddr>> {
        self.left.retain(|(until, _)| now < *until);
        let newest = ips(&self.members.voters);
        let mut sets = Vec::new();
        if !newest.is_empty() {
            sets.push(newest);
        }
        let others = self.proposed.iter().chain(self.left.iter().map(|(_, set)| set));
        for set in others {
            if !sets.contains(set) {
                sets.push(set.clone());
            }
        }
        sets
    }
}
