//! When a store that does not vote may take a member's place, without people. Pure: what was heard is an argument.

use crate::wire::MembershipDelay;
use starlinghill_consensus::{has_majority, Member, MemberChange, Members};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The times that the rules go by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipTimes {
    /// A member that a majority did not hear for so long is gone.
    pub gone: Duration,
    /// A change has stood for so long before the next one may come: no registry then still goes by the set before.
    pub stood: Duration,
}

impl MembershipTimes {
    /// From the time after which a new machine counts: half of it to notice that another has gone, half to take its place. And
    /// from what registries need to leave a set behind.
    pub fn of(sync_time: Duration, registries: Duration) -> MembershipTimes {
        MembershipTimes { gone: sync_time / 2, stood: registries }
    }
}

/// Whom one member heard, and how long ago, as far back as it runs itself.
pub type LastHeard = BTreeMap<Member, Duration>;

/// Whether a candidate is to vote, and in whose place.
pub fn decide(
    times: MembershipTimes,
    members: &Members,
    stood: Duration,
    candidate: Member,
    sights: &BTreeMap<Member, LastHeard>,
) -> Result<Option<MemberChange>, MembershipDelay> {
    if members.has(candidate) {
        return Ok(None);
    }
    if let Some(leaves) = members.at(candidate.ip) {
        // The disk there is another one now: what that member promised is lost, and the addresses stay as they are.
        return Ok(Some(MemberChange::Replace { leaves, joins: candidate }));
    }
    if stood < times.stood {
        return Err(MembershipDelay::TooSoon);
    }
    let told: BTreeSet<Member> = sights.keys().copied().collect();
    if !members.majority(&told) {
        return Err(MembershipDelay::NoMajority);
    }
    let misses = |member: Member| {
        let by = |sight: &LastHeard| sight.get(&member).is_some_and(|ago| *ago >= times.gone);
        let missing: BTreeSet<Member> =
            sights.iter().filter(|(who, sight)| **who != member && by(sight)).map(|(who, _)| *who).collect();
        has_majority(&members.voters, &missing)
    };
    let longest = |member: &Member| sights.values().filter_map(|sight| sight.get(member)).min().copied();
    let gone = members.voters.iter().copied().filter(|member| misses(*member));
    match gone.max_by_key(longest) {
        Some(leaves) => Ok(Some(MemberChange::Replace { leaves, joins: candidate })),
        None => Err(MembershipDelay::NobodyGone),
    }
}
