//! Who becomes a member: a store that does not vote asks for it, members decide by the rules and agree.

use crate::member_replacement::{decide, LastHeard};
use crate::proposer::Stores;
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

/// The most stores that wait to be members. Guards memory: anybody may ask.
const MOST_CANDIDATES: usize = 16;
/// A candidate is one no more when it has not asked for so long: some of the times that stores look at each other.
const WAITING: Duration = Duration::from_millis(1_500);
/// One that hears no majority for so long asks all whom it knows who votes now.
const LOST: Duration = Duration::from_millis(500);

impl Stores {
    /// Keeps finding out who votes, where that is not known or they don't answer, and asks to be one of them where it is none.
    pub async fn belong(self: Rc<Self>, seeds: impl Fn() -> Vec<IpAddr> + 'static) {
        let (mut alone_since, mut said) = (Instant::now(), None);
        loop {
            if self.is_fresh() {
                alone_since = Instant::now();
            }
            if self.members().0.voters.is_empty() || alone_since.elapsed() > LOST {
                self.look_for_members(&seeds()).await;
            }
            let members = self.members().0;
            if !members.voters.is_empty() && !members.has(self.me) {
                let answer = self.ask_to_join(&members).await;
                if said.as_ref() != Some(&answer) {
                    log::info!("event=join incarnation={:x} answer=\"{answer:?}\"", self.me.incarnation);
                    said = Some(answer);
                }
            }
            sleep(self.chain.look).await;
        }
    }

    /// Asks all whom it knows of, the seeds too: those are a beginning only.
    async fn look_for_members(self: &Rc<Self>, seeds: &[IpAddr]) {
        let (known, _) = self.members();
        let ips: BTreeSet<IpAddr> = known
            .voters
            .iter()
            .map(|m| m.ip)
            .chain(seeds.iter().copied())
            .filter(|ip| *ip != self.me.ip)
            .collect();
        for (_, answer) in self.ask_each(ips, StoreRequest::Members).await {
            if let StoreResponse::Members(members, ballot) = answer {
                if !members.voters.is_empty() {
                    self.follow_members(members, ballot);
                }
            }
        }
    }

    /// Asks each of these at once, and waits for all.
    async fn ask_each(&self, ips: BTreeSet<IpAddr>, question: StoreRequest) -> Vec<(IpAddr, StoreResponse)> {
        let (tell, mut told) = mpsc::unbounded_channel();
        for ip in ips {
            let (caller, question, tell) = (self.caller(ip), question.clone(), tell.clone());
            let patience = self.chain.voter;
            spawn_local(async move {
                if let Ok(answer) = caller.call::<_, StoreResponse>(&question, patience).await {
                    // It is waited for.
                    let _ = tell.send((ip, answer));
                }
            });
        }
        drop(tell);
        let mut all = Vec::new();
        while let Some(answer) = told.recv().await {
            all.push(answer);
        }
        all
    }

    /// All members hear of it, so that one which leaves knows to whom.
    async fn ask_to_join(&self, members: &Members) -> Option<MembershipOutcome> {
        let ips = members.voters.iter().map(|m| m.ip).filter(|ip| *ip != self.me.ip).collect();
        let answers = self.ask_each(ips, StoreRequest::Join(self.me)).await;
        let admission = |answer| match answer {
            StoreResponse::Membership(admission) => Some(admission),
            _ => None,
        };
        let all: Vec<MembershipOutcome> =
            answers.into_iter().filter_map(|(_, answer)| admission(answer)).collect();
        let done =
            |a: &MembershipOutcome| matches!(a, MembershipOutcome::Done(_) | MembershipOutcome::Stands);
        all.iter().find(|a| done(a)).or(all.first()).cloned()
    }

    /// A store would vote: decides by the rules, and has it agreed on.
    pub async fn admit(self: &Rc<Self>, candidate: Member) -> MembershipOutcome {
        let (members, _) = self.members();
        let verdict = match self.decide(&members, candidate).await {
            Ok(None) => return MembershipOutcome::Stands,
            Ok(Some(change)) => self.change_members(members.epoch, change).await,
            Err(wait) => MembershipOutcome::Waits(wait),
        };
        let mut candidates = self.candidates.borrow_mut();
        candidates.retain(|_, (at, _)| at.elapsed() < WAITING);
        match verdict {
            MembershipOutcome::Waits(wait) if candidates.len() < MOST_CANDIDATES => {
                candidates.insert(candidate, (Instant::now(), wait));
            }
            _ => drop(candidates.remove(&candidate)),
        }
        verdict
    }

    async fn decide(
        &self,
        members: &Members,
        candidate: Member,
    ) -> Result<Option<MemberChange>, MembershipDelay> {
        if !members.has(self.me) {
            return Err(MembershipDelay::NoMajority);
        }
        let mut sights: BTreeMap<Member, LastHeard> = BTreeMap::from([(self.me, self.sight())]);
        // Others are asked only where one is missed here.
        if self.sight().values().any(|ago| *ago >= self.times.gone) {
            let others = members.voters.iter().map(|m| m.ip).filter(|ip| *ip != self.me.ip).collect();
            for (ip, answer) in self.ask_each(others, StoreRequest::LastHeard).await {
                let (StoreResponse::LastHeard(told), Some(member)) = (answer, members.at(ip)) else {
                    continue;
                };
                let sight = told.into_iter().map(|(m, ms)| (m, Duration::from_millis(ms))).collect();
                sights.insert(member, sight);
            }
        } else if members.at(candidate.ip).is_none() && !members.has(candidate) {
            return Err(if self.stood() < self.times.stood {
                MembershipDelay::TooSoon
            } else {
                MembershipDelay::NobodyGone
            });
        }
        decide(self.times, members, self.stood(), candidate, &sights)
    }

    /// Has other members agreed on, if they are still those of that epoch. Whoever comes has all that was agreed on first.
    pub async fn change_members(self: &Rc<Self>, epoch: u64, change: MemberChange) -> MembershipOutcome {
        let (ballot, state) = self.known();
        if let MemberChange::Add(joins) | MemberChange::Replace { joins, .. } = change {
            let learn = AcceptorRequest::Learn { ballot, state: state.as_ref().clone() };
            let synced = match self.put(joins, learn).await {
                Some(AcceptorReply::Has { accepted, .. }) => accepted >= ballot,
                _ => false,
            };
            if !synced {
                return MembershipOutcome::Waits(MembershipDelay::NotSynced);
            }
        }
        let agreed = self.agree(Instant::now() + ORDER_COMMIT_TIMEOUT, |base| {
            if base.members.epoch != epoch {
                return (None, MembershipOutcome::Waits(MembershipDelay::TooSoon));
            }
            match base.members.with(change) {
                Ok(members) => {
                    (Some(State { members, value: base.value.clone() }), MembershipOutcome::Done(change))
                }
                Err(_) => (None, MembershipOutcome::Waits(MembershipDelay::Refused)),
            }
        });
        let came = agreed.await.unwrap_or(MembershipOutcome::Waits(MembershipDelay::NoMajority));
        log::info!("event=change_members epoch={epoch} change=\"{change:?}\" came=\"{came:?}\"");
        came
    }

    /// People want other members. Their word counts at once, but for the time that a change must have stood.
    pub async fn order(self: &Rc<Self>, order: MembershipOrder) -> MembershipOutcome {
        let (members, _) = self.members();
        if self.stood() < self.times.stood {
            return MembershipOutcome::Waits(MembershipDelay::TooSoon);
        }
        let change = match order {
            MembershipOrder::Add(ip) => self.at(ip).await.map(MemberChange::Add),
            MembershipOrder::Remove(ip) => {
                members.at(ip).map(MemberChange::Remove).ok_or(MembershipDelay::Refused)
            }
            MembershipOrder::Replace(leaves, joins) => match (members.at(leaves), self.at(joins).await) {
                (Some(leaves), Ok(joins)) => Ok(MemberChange::Replace { leaves, joins }),
                (None, _) => Err(MembershipDelay::Refused),
                (_, Err(wait)) => Err(wait),
            },
        };
        match change {
            Ok(change) => self.change_members(members.epoch, change).await,
            Err(wait) => MembershipOutcome::Waits(wait),
        }
    }

    /// Who is at an address.
    async fn at(&self, ip: IpAddr) -> Result<Member, MembershipDelay> {
        // Nobody has that incarnation by chance: the answer says who is there.
        match self.put(Member { ip, incarnation: u64::MAX }, AcceptorRequest::Look(Default::default())).await
        {
            Some(AcceptorReply::Another(member)) => Ok(member),
            _ => Err(MembershipDelay::NotSynced),
        }
    }

    /// This store ends. Where another one waits to be a member, it gets the place: nobody can know whether this one comes back,
    /// and until somebody noticed that it does not, one loss more would leave no majority.
    pub async fn leave(self: &Rc<Self>) {
        let (members, _) = self.members();
        let waits = |(_, (at, _)): &(&Member, &(Instant, MembershipDelay))| at.elapsed() < WAITING;
        let joins = self.candidates.borrow().iter().filter(waits).map(|(member, _)| *member).next();
        let Some(joins) = joins.filter(|_| members.has(self.me)) else { return };
        if self.stood() >= self.times.stood {
            let change = MemberChange::Replace { leaves: self.me, joins };
            self.change_members(members.epoch, change).await;
        }
    }

    /// How things stand between the members.
    pub fn standing(&self) -> MembershipStatus {
        let sight = self.sight();
        MembershipStatus {
            me: self.me,
            members: self.members().0,
            fresh: self.is_fresh(),
            chosen: self.known().0,
            unchanged_for_ms: self.stood().as_millis() as u64,
            last_heard_ms: sight.into_iter().map(|(member, ago)| (member, ago.as_millis() as u64)).collect(),
            candidates: self.candidates.borrow().iter().map(|(member, (_, wait))| (*member, *wait)).collect(),
        }
    }
}
