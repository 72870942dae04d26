//! Changes of the voting members: a store that is not a voter asks to join, an operator orders a change, or a store that
//! shuts down hands its place over. The voters decide, and agree on the change by consensus.

use crate::member_replacement::{decide, LastHeard};
use crate::proposer::StoreNode;
use crate::wire::{
    MembershipDelay, MembershipOrder, MembershipOutcome, MembershipStatus, State, StoreRequest, StoreResponse,
};
use starlinghill_consensus::{AcceptorReply, AcceptorRequest, Member, MemberChange, Members};
use starlinghill_lease::contact::ORDER_COMMIT_TIMEOUT;
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// How many candidates are remembered at most. Guards memory: any machine may ask to join.
const MAX_CANDIDATES: usize = 16;
/// A candidate is forgotten if it has not asked again for this long. Candidates ask once every poll interval, which is
/// several times shorter.
const CANDIDATE_TTL: Duration = Duration::from_millis(1_500);
/// A store that has had no majority for this long asks every store it knows of for the current members.
const ISOLATED_AFTER: Duration = Duration::from_millis(500);

impl StoreNode {
    /// Runs for the life of the process: finds out the members if they are unknown or unreachable, and asks to join while
    /// this store is not a voter.
    pub async fn maintain_membership(self: Rc<Self>, seeds: impl Fn() -> Vec<IpAddr> + 'static) {
        let (mut last_majority, mut logged) = (Instant::now(), None);
        loop {
            if self.is_fresh() {
                last_majority = Instant::now();
            }
            if self.members().0.voters.is_empty() || last_majority.elapsed() > ISOLATED_AFTER {
                self.look_for_members(&seeds()).await;
            }
            let members = self.members().0;
            if !members.voters.is_empty() && !members.contains(self.me) {
                let answer = self.ask_to_join(&members).await;
                if logged.as_ref() != Some(&answer) {
                    log::info!("event=join incarnation={:x} answer=\"{answer:?}\"", self.me.incarnation);
                    logged = Some(answer);
                }
            }
            sleep(self.budget.poll_interval).await;
        }
    }

    /// Asks all known members and the seeds for the current members. The seeds alone may be out of date.
    async fn look_for_members(self: &Rc<Self>, seeds: &[IpAddr]) {
        let (known, _) = self.members();
        let ips: BTreeSet<IpAddr> = known
            .voters
            .iter()
            .map(|m| m.ip)
            .chain(seeds.iter().copied())
            .filter(|ip| *ip != self.me.ip)
            .collect();
        for (_, answer) in self.call_all(ips, StoreRequest::Members).await {
            if let StoreResponse::Members(members, ballot) = answer {
                if !members.voters.is_empty() {
                    self.follow_members(members, ballot);
                }
            }
        }
    }

    /// Sends a request to several stores at once, and waits until each has answered or timed out.
    async fn call_all(&self, ips: BTreeSet<IpAddr>, request: StoreRequest) -> Vec<(IpAddr, StoreResponse)> {
        let (sender, mut answers) = mpsc::unbounded_channel();
        for ip in ips {
            let (client, request, sender) = (self.client(ip), request.clone(), sender.clone());
            let timeout = self.budget.voter_timeout;
            spawn_local(async move {
                if let Ok(answer) = client.call::<_, StoreResponse>(&request, timeout).await {
                    // The receiver may be gone if this call was abandoned.
                    let _ = sender.send((ip, answer));
                }
            });
        }
        drop(sender);
        let mut all = Vec::new();
        while let Some(answer) = answers.recv().await {
            all.push(answer);
        }
        all
    }

    /// Asks all members to admit this store, so that each knows of a candidate that could replace it when it shuts down.
    /// Returns a successful outcome if any member reports one.
    async fn ask_to_join(&self, members: &Members) -> Option<MembershipOutcome> {
        let ips = members.voters.iter().map(|m| m.ip).filter(|ip| *ip != self.me.ip).collect();
        let answers = self.call_all(ips, StoreRequest::Join(self.me)).await;
        let outcome = |answer| match answer {
            StoreResponse::Membership(outcome) => Some(outcome),
            _ => None,
        };
        let all: Vec<MembershipOutcome> =
            answers.into_iter().filter_map(|(_, answer)| outcome(answer)).collect();
        let done =
            |a: &MembershipOutcome| matches!(a, MembershipOutcome::Done(_) | MembershipOutcome::Stands);
        all.iter().find(|a| done(a)).or(all.first()).cloned()
    }

    /// Handles a join request: decides whether the candidate becomes a voter, and if so has the change chosen. Otherwise
    /// remembers the candidate and the reason.
    pub async fn admit(self: &Rc<Self>, candidate: Member) -> MembershipOutcome {
        let (members, _) = self.members();
        let outcome = match self.decide(&members, candidate).await {
            Ok(None) => return MembershipOutcome::Stands,
            Ok(Some(change)) => self.change_members(members.epoch, change).await,
            Err(delay) => MembershipOutcome::Waits(delay),
        };
        let mut candidates = self.candidates.borrow_mut();
        candidates.retain(|_, (at, _)| at.elapsed() < CANDIDATE_TTL);
        match outcome {
            MembershipOutcome::Waits(delay) if candidates.len() < MAX_CANDIDATES => {
                candidates.insert(candidate, (Instant::now(), delay));
            }
            _ => drop(candidates.remove(&candidate)),
        }
        outcome
    }

    async fn decide(
        &self,
        members: &Members,
        candidate: Member,
    ) -> Result<Option<MemberChange>, MembershipDelay> {
        if !members.contains(self.me) {
            return Err(MembershipDelay::NoMajority);
        }
        let mut reports: BTreeMap<Member, LastHeard> = BTreeMap::from([(self.me, self.last_heard())]);
        // The other members are asked only if this store itself misses a member: candidates ask often, and usually all
        // members are there.
        if self.last_heard().values().any(|ago| *ago >= self.times.absent_after) {
            let others = members.voters.iter().map(|m| m.ip).filter(|ip| *ip != self.me.ip).collect();
            for (ip, answer) in self.call_all(others, StoreRequest::LastHeard).await {
                let (StoreResponse::LastHeard(report), Some(member)) = (answer, members.member_at(ip)) else {
                    continue;
                };
                let report = report.into_iter().map(|(m, ms)| (m, Duration::from_millis(ms))).collect();
                reports.insert(member, report);
            }
        } else if members.member_at(candidate.ip).is_none() && !members.contains(candidate) {
            return Err(if self.unchanged_for() < self.times.min_between_changes {
                MembershipDelay::TooSoon
            } else {
                MembershipDelay::NobodyGone
            });
        }
        decide(self.times, members, self.unchanged_for(), candidate, &reports)
    }

    /// Has a change of members chosen, if the members are still those of `epoch`. A joining store first syncs the chosen
    /// state: without it, it would count towards a majority that does not hold the state.
    pub async fn change_members(self: &Rc<Self>, epoch: u64, change: MemberChange) -> MembershipOutcome {
        let (ballot, state) = self.chosen_state();
        if let MemberChange::Add(joins) | MemberChange::Replace { joins, .. } = change {
            let learn = AcceptorRequest::Learn { ballot, state: state.as_ref().clone() };
            let synced = match self.call_acceptor(joins, learn).await {
                Some(AcceptorReply::Status { accepted, .. }) => accepted >= ballot,
                _ => false,
            };
            if !synced {
                return MembershipOutcome::Waits(MembershipDelay::NotSynced);
            }
        }
        let agreed = self.propose(Instant::now() + ORDER_COMMIT_TIMEOUT, |base| {
            if base.members.epoch != epoch {
                return (None, MembershipOutcome::Waits(MembershipDelay::TooSoon));
            }
            match base.members.with_change(change) {
                Ok(members) => {
                    (Some(State { members, value: base.value.clone() }), MembershipOutcome::Done(change))
                }
                Err(_) => (None, MembershipOutcome::Waits(MembershipDelay::Refused)),
            }
        });
        let outcome = agreed.await.unwrap_or(MembershipOutcome::Waits(MembershipDelay::NoMajority));
        log::info!("event=change_members epoch={epoch} change=\"{change:?}\" came=\"{outcome:?}\"");
        outcome
    }

    /// Carries out an operator's order. No member need be absent for it, but the time between two changes is kept.
    pub async fn order(self: &Rc<Self>, order: MembershipOrder) -> MembershipOutcome {
        let (members, _) = self.members();
        if self.unchanged_for() < self.times.min_between_changes {
            return MembershipOutcome::Waits(MembershipDelay::TooSoon);
        }
        let change = match order {
            MembershipOrder::Add(ip) => self.member_at(ip).await.map(MemberChange::Add),
            MembershipOrder::Remove(ip) => {
                members.member_at(ip).map(MemberChange::Remove).ok_or(MembershipDelay::Refused)
            }
            MembershipOrder::Replace(leaves, joins) => {
                match (members.member_at(leaves), self.member_at(joins).await) {
                    (Some(leaves), Ok(joins)) => Ok(MemberChange::Replace { leaves, joins }),
                    (None, _) => Err(MembershipDelay::Refused),
                    (_, Err(delay)) => Err(delay),
                }
            }
        };
        match change {
            Ok(change) => self.change_members(members.epoch, change).await,
            Err(delay) => MembershipOutcome::Waits(delay),
        }
    }

    /// Asks the store at an address for its incarnation.
    async fn member_at(&self, ip: IpAddr) -> Result<Member, MembershipDelay> {
        // No store has this incarnation, so the store there rejects the request and names its own.
        let nobody = Member { ip, incarnation: u64::MAX };
        match self.call_acceptor(nobody, AcceptorRequest::Read(Default::default())).await {
            Some(AcceptorReply::WrongIncarnation(member)) => Ok(member),
            _ => Err(MembershipDelay::NotSynced),
        }
    }

    /// Hands this voter's place to a waiting candidate before the process ends, if there is one. The others can't know
    /// whether this store will come back. Until they notice that it does not, one further loss could cost the majority.
    pub async fn hand_over(self: &Rc<Self>) {
        let (members, _) = self.members();
        let waits = |(_, (at, _)): &(&Member, &(Instant, MembershipDelay))| at.elapsed() < CANDIDATE_TTL;
        let joins = self.candidates.borrow().iter().filter(waits).map(|(member, _)| *member).next();
        let Some(joins) = joins.filter(|_| members.contains(self.me)) else { return };
        if self.unchanged_for() >= self.times.min_between_changes {
            let change = MemberChange::Replace { leaves: self.me, joins };
            self.change_members(members.epoch, change).await;
        }
    }

    /// The membership as this store sees it, for the console.
    pub fn membership_status(&self) -> MembershipStatus {
        let last_heard = self.last_heard();
        MembershipStatus {
            me: self.me,
            members: self.members().0,
            fresh: self.is_fresh(),
            chosen: self.chosen_state().0,
            unchanged_for_ms: self.unchanged_for().as_millis() as u64,
            last_heard_ms: last_heard
                .into_iter()
                .map(|(member, ago)| (member, ago.as_millis() as u64))
                .collect(),
            candidates: self
                .candidates
                .borrow()
                .iter()
                .map(|(member, (_, delay))| (*member, *delay))
                .collect(),
        }
    }
}
