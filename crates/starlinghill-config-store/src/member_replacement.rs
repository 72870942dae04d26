//! The rules by which a store takes a voter's place without an operator. A pure function of its arguments.

use crate::wire::MembershipDelay;
use starlinghill_consensus::{has_majority, Member, MemberChange, Members};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The delays that limit changes of members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipTimes {
    /// A voter may be replaced once a majority has not heard from it for this long.
    pub absent_after: Duration,
    /// The least time between two changes. It is long enough for every registry to stop relying on the set of members
    /// before the last change.
    pub min_between_changes: Duration,
}

impl MembershipTimes {
    /// `sync_time` is how long a new machine may take until it counts. Half of it goes to noticing that a voter is absent,
    /// the other half to taking its place. `registry_delay` is how long registries may rely on an old set of members.
    pub fn of(sync_time: Duration, registry_delay: Duration) -> MembershipTimes {
        MembershipTimes { absent_after: sync_time / 2, min_between_changes: registry_delay }
    }
}

/// One voter's report: how long ago it last heard from each member. The time is at most that since its own start.
pub type LastHeard = BTreeMap<Member, Duration>;

/// Decides whether a candidate becomes a voter, and whom it replaces. `Ok(None)`: it is a voter already. `unchanged_for` is
/// the time since the last change of members; `reports` come from the voters that could be asked.
pub fn decide(
    times: MembershipTimes,
    members: &Members,
    unchanged_for: Duration,
    candidate: Member,
    reports: &BTreeMap<Member, LastHeard>,
) -> Result<Option<MemberChange>, MembershipDelay> {
    if members.contains(candidate) {
        return Ok(None);
    }
    if let Some(leaves) = members.member_at(candidate.ip) {
        // A new incarnation at a voter's address means that the voter has lost its disk, and with it its promises. It is
        // replaced at once, and the set of addresses stays the same.
        return Ok(Some(MemberChange::Replace { leaves, joins: candidate }));
    }
    if unchanged_for < times.min_between_changes {
        return Err(MembershipDelay::TooSoon);
    }
    let reporting: BTreeSet<Member> = reports.keys().copied().collect();
    if !members.has_majority(&reporting) {
        return Err(MembershipDelay::NoMajority);
    }
    let is_absent = |member: Member| {
        let missed_by =
            |report: &LastHeard| report.get(&member).is_some_and(|ago| *ago >= times.absent_after);
        let missing: BTreeSet<Member> = reports
            .iter()
            .filter(|(reporter, report)| **reporter != member && missed_by(report))
            .map(|(reporter, _)| *reporter)
            .collect();
        has_majority(&members.voters, &missing)
    };
    // Of several absent voters, the one that was silent towards everybody for the longest time goes first.
    let silent_for =
        |member: &Member| reports.values().filter_map(|report| report.get(member)).min().copied();
    let absent = members.voters.iter().copied().filter(|member| is_absent(*member));
    match absent.max_by_key(silent_for) {
        Some(leaves) => Ok(Some(MemberChange::Replace { leaves, joins: candidate })),
        None => Err(MembershipDelay::NobodyGone),
    }
}
