//! Joinery: a holdfast is driven into the bench by one blow and holds one piece. Here it is a duty that one process of
//! several holds: terms, votes of a majority, and a successor that the holder names when it leaves in order.
//!
//! A holder holds only while a majority lately let it: each yes counts from when it was asked for, so that one which was
//! frozen or cut off knows by its own clock that it may have been replaced. Whoever said yes lets nobody else hold until a
//! while after that. Nothing is on disk: one that has just started gives no vote until all that it may have said before
//! has run out.
//!
//! Who votes may change: while more than one set of voters may count somewhere, a majority of each is needed. And a process
//! votes and holds only for as long as somebody vouches that it knows of the newest set.
//!
//! No I/O and no clock: time is an argument, counted from any moment.

pub mod contact;

use bitcode::{Decode, Encode};
use std::collections::BTreeSet;
use std::time::Duration;

/// A yes holds for so long, from when it was asked for.
pub const LEASE_DURATION: Duration = Duration::from_millis(500);
/// Whoever said yes waits this much longer: clocks may run apart by a few per cent.
pub const CLOCK_MARGIN: Duration = Duration::from_millis(60);
/// How often the holder asks again.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(120);
/// The pause between two of those that would take over, so that they don't get into each other's way.
const RANK: Duration = Duration::from_millis(80);

/// What one process asks the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum LeaseRequest<I> {
    /// To be let hold from that term on.
    Acquire {
        /// The term.
        term: u64,
        /// Who.
        candidate: I,
        /// The holder of that term has named it: its lease need not be waited for.
        resigned_term: u64,
    },
    /// To be let go on holding.
    Renew {
        /// The term.
        term: u64,
        /// Who.
        holder: I,
    },
    /// The holder leaves and names the one who is asked.
    Nominate {
        /// Its term.
        term: u64,
        /// Who leaves.
        holder: I,
    },
}

/// What is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct LeaseReply {
    /// Yes.
    pub granted: bool,
    /// The highest term that was seen.
    pub term: u64,
}

/// One process's part in the duty.
#[derive(Debug)]
pub struct LeaseParticipant<I> {
    me: I,
    /// Of each of these sets a majority is needed.
    sets: Vec<Vec<I>>,
    /// Until when that is known to be so.
    vouched: Duration,
    /// The highest term seen.
    term: u64,
    /// Who holds, as far as is known.
    holder: Option<(u64, I)>,
    /// Until when nobody else is let hold.
    bound: Duration,
    /// It takes over no sooner.
    patience: Duration,
    /// Its own bid, or its own duty.
    bid: Option<Bid<I>>,
    asked: Duration,
    named: Option<u64>,
    leaving: bool,
}

#[derive(Debug)]
struct Bid<I> {
    term: u64,
    /// Who said yes to the first question.
    votes: BTreeSet<I>,
    /// Until when it may act as holder.
    until: Option<Duration>,
    /// Of the latest question: when it was asked, and who said yes.
    latest: (Duration, BTreeSet<I>),
    /// Who said no to the first question.
    refused: BTreeSet<I>,
    /// To whom this one was bound before.
    before: Duration,
}

impl<I: Copy + Ord> LeaseParticipant<I> {
    /// One of several, of which nobody has vouched for yet who they are. It gives no vote until what it may have said in an
    /// earlier life has run out.
    pub fn new(me: I, now: Duration) -> LeaseParticipant<I> {
        let bound = now + LEASE_DURATION + CLOCK_MARGIN;
        LeaseParticipant {
            me,
            sets: Vec::new(),
            vouched: Duration::ZERO,
            term: 0,
            holder: None,
            bound,
            patience: bound,
            bid: None,
            asked: Duration::ZERO,
            named: None,
            leaving: false,
        }
    }

    /// Who votes, as is known until that moment: of each of these sets a majority.
    pub fn set_voters(&mut self, sets: Vec<Vec<I>>, until: Duration) {
        if self.sets.is_empty() {
            self.sets = sets;
            self.patience = self.bound + RANK * self.rank();
        } else {
            self.sets = sets;
        }
        self.vouched = self.vouched.max(until);
    }

    fn majority(&self, votes: &BTreeSet<I>) -> bool {
        let has = |set: &Vec<I>| set.iter().filter(|one| votes.contains(one)).count() > set.len() / 2;
        !self.sets.is_empty() && self.sets.iter().all(has)
    }

    /// Without these no majority can be had.
    fn blocked(&self, refused: &BTreeSet<I>) -> bool {
        let left = |set: &Vec<I>| set.iter().filter(|one| !refused.contains(one)).count() > set.len() / 2;
        !self.sets.iter().all(left)
    }

    fn votes(&self, who: I) -> bool {
        self.sets.iter().any(|set| set.contains(&who))
    }

    fn rank(&self) -> u32 {
        self.sets.first().and_then(|set| set.iter().position(|one| *one == self.me)).unwrap_or_default()
            as u32
    }

    /// The term in which this one holds now.
    pub fn held_term(&self, now: Duration) -> Option<u64> {
        let bid = self.bid.as_ref().filter(|_| now < self.vouched)?;
        bid.until.is_some_and(|until| now < until).then_some(bid.term)
    }

    /// Whether it may grant draws, or note what was drawn, in that term: a majority lately let it hold. Else it says that the
    /// duty is not its own.
    pub fn may_act_in(&self, now: Duration, term: u64) -> bool {
        self.held_term(now) == Some(term)
    }

    /// Who holds, as far as is known, and in which term.
    pub fn holder(&self) -> Option<(u64, I)> {
        self.holder
    }

    /// Somebody has seen that term.
    pub fn observe_term(&mut self, term: u64) {
        self.term = self.term.max(term);
    }

    /// Answers a question.
    pub fn handle_request(&mut self, now: Duration, ask: LeaseRequest<I>) -> LeaseReply {
        let yes = match ask {
            LeaseRequest::Acquire { term, candidate: by, resigned_term: leave } => {
                let left = leave > 0 && self.holder.is_some_and(|(held, _)| held == leave);
                let free = now >= self.bound || left;
                let known = now < self.vouched && self.votes(by);
                let yes = term > self.term && free && self.held_term(now).is_none() && known;
                if yes {
                    // Who holds is known once somebody does: a bid may fail.
                    (self.term, self.bid, self.holder) = (term, None, None);
                    self.bind(now);
                }
                yes
            }
            LeaseRequest::Renew { term, holder: by } => {
                let yes = term >= self.term && now < self.vouched && self.votes(by);
                if yes {
                    if self.bid.as_ref().is_some_and(|bid| bid.term < term) {
                        self.bid = None;
                    }
                    (self.term, self.holder) = (term, Some((term, by)));
                    self.bind(now);
                }
                yes
            }
            LeaseRequest::Nominate { term, holder: by } => {
                let yes = self.holder == Some((term, by)) && !self.leaving;
                self.named = yes.then_some(term).or(self.named);
                yes
            }
        };
        LeaseReply { granted: yes, term: self.term }
    }

    fn bind(&mut self, now: Duration) {
        self.bound = now + LEASE_DURATION + CLOCK_MARGIN;
        self.patience = self.bound + RANK * (1 + self.rank());
    }

    /// What to ask all others now. Call it some ten times a second. A new term is no lower than `least`, which all have in
    /// common and which grows, as their time does: guards against a term that was held before by one of whom all who
    /// knew have started anew.
    pub fn tick(&mut self, now: Duration, least: u64) -> Option<LeaseRequest<I>> {
        if self.leaving || now >= self.vouched || !self.votes(self.me) {
            return None;
        }
        if let Some(bid) = &mut self.bid {
            let over = match bid.until {
                Some(until) => now >= until,
                None => now >= bid.latest.0 + LEASE_DURATION,
            };
            if !over {
                if bid.until.is_none() || now < self.asked + RENEW_INTERVAL {
                    return None;
                }
                self.asked = now;
                bid.latest = (now, BTreeSet::from([self.me]));
                return Some(LeaseRequest::Renew { term: bid.term, holder: self.me });
            }
            self.bid = None;
            self.patience = now + RANK * (1 + self.rank());
        }
        let leave = self.named.take();
        if leave.is_none() && (now < self.bound || now < self.patience) {
            return None;
        }
        // Its own term rises if it wins: guards against one that is cut off, bids in vain, and by its high terms would
        // unseat the holder when it is back.
        let term = (self.term + 1).max(least);
        let votes = BTreeSet::from([self.me]);
        let (before, refused) = (self.bound, BTreeSet::new());
        let latest = (now, votes.clone());
        self.bid = Some(Bid { term, votes, until: None, latest, refused, before });
        self.asked = now;
        self.bind(now);
        self.count(now);
        Some(LeaseRequest::Acquire { term, candidate: self.me, resigned_term: leave.unwrap_or_default() })
    }

    /// Another one has answered what was asked at that moment.
    pub fn handle_reply(
        &mut self,
        now: Duration,
        from: I,
        asked: Duration,
        ask: LeaseRequest<I>,
        tell: LeaseReply,
    ) {
        self.observe_term(tell.term);
        let Some(bid) = &mut self.bid else { return };
        let (LeaseRequest::Acquire { term, .. } | LeaseRequest::Renew { term, .. }) = ask else { return };
        if !tell.granted && tell.term > bid.term {
            self.bid = None;
            return;
        }
        if !tell.granted && bid.until.is_none() && bid.term == term {
            bid.refused.insert(from);
            // It can't be had now: who says no is bound for a while, as one that has just started is. The vote for itself
            // is given to nobody any more, so it binds this one to nobody.
            let (refused, before) = (bid.refused.clone(), bid.before);
            if self.blocked(&refused) {
                self.bound = before;
                self.patience = now + RANK * (1 + self.rank());
                self.bid = None;
            }
            return;
        }
        if tell.granted && bid.term == term && bid.latest.0 == asked {
            bid.votes.insert(from);
            bid.latest.1.insert(from);
            self.count(now);
        }
    }

    fn count(&mut self, now: Duration) {
        let whole = self.bid.as_ref().is_some_and(|bid| self.majority(&bid.latest.1));
        let Some(bid) = &mut self.bid else { return };
        // Yes that comes when the lease which it would begin is over counts for nothing.
        if whole && now < bid.latest.0 + LEASE_DURATION {
            if bid.until.is_none() {
                // The others hear of it with the next question, which goes out at once.
                (self.term, self.holder) = (bid.term, Some((bid.term, self.me)));
                self.asked = Duration::ZERO;
            }
            bid.until = Some(bid.until.unwrap_or_default().max(bid.latest.0 + LEASE_DURATION));
        }
    }

    /// It leaves. Where it holds, it holds no more and names a successor: the one to be told, and what.
    pub fn resign(&mut self, now: Duration, successor: I) -> Option<(I, LeaseRequest<I>)> {
        self.leaving = true;
        let term = self.held_term(now)?;
        self.bid = None;
        Some((successor, LeaseRequest::Nominate { term, holder: self.me }))
    }
}
