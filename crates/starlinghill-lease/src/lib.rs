//! A lease on a duty that at most one of several processes holds at a time: terms, votes of a majority, and an orderly
//! handover to a successor that the holder nominates.
//!
//! A holder acts only while a majority has lately confirmed it. Each vote counts from the moment at which it was asked
//! for, so a holder that was frozen or cut off sees by its own clock that its lease has expired. Whoever voted grants
//! nobody else until a while after the lease. Nothing is stored on disk: a process that has just started does not vote
//! until every vote that it may have cast before its restart has expired.
//!
//! The voters can change. While more than one set of voters may be in force somewhere, a majority of each is needed. A
//! process votes and holds the lease only while it knows that its voter sets are current.
//!
//! The crate does no I/O and reads no clock. Times are arguments, counted from any fixed moment of the process.

pub mod contact;

use bitcode::{Decode, Encode};
use std::collections::BTreeSet;
use std::time::Duration;

/// How long a vote is valid, counted from the moment at which it was asked for.
pub const LEASE_DURATION: Duration = Duration::from_millis(500);
/// A voter stays bound this much longer than the lease lasts, since clocks may differ by a few per cent in speed.
pub const CLOCK_MARGIN: Duration = Duration::from_millis(60);
/// How often the holder asks for new votes.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(120);
/// Candidates bid this far apart, in the order of their position among the voters, so that bids do not collide.
const RANK_DELAY: Duration = Duration::from_millis(80);

/// A request of one process to the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum LeaseRequest<I> {
    /// Asks for a vote to hold the lease in a new term.
    Acquire {
        /// The new term.
        term: u64,
        /// The process that wants to hold the lease.
        candidate: I,
        /// The term whose holder has nominated the candidate, or 0. The lease of that term need not be waited for.
        resigned_term: u64,
    },
    /// Asks for a vote to go on holding the lease.
    Renew {
        /// The term of the lease.
        term: u64,
        /// The process that holds it.
        holder: I,
    },
    /// Tells the recipient that the holder gives up the lease and nominates the recipient as its successor.
    Nominate {
        /// The holder's term.
        term: u64,
        /// The process that gives up the lease.
        holder: I,
    },
}

/// A reply to a [`LeaseRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct LeaseReply {
    /// Whether the vote, or the nomination, was granted.
    pub granted: bool,
    /// The highest term that the replying process has seen.
    pub term: u64,
}

/// One process's part in the lease protocol: it votes, bids, and holds the lease.
#[derive(Debug)]
pub struct LeaseParticipant<I> {
    me: I,
    /// A lease needs a majority of each of these sets.
    voter_sets: Vec<Vec<I>>,
    /// The voter sets are known to be current until then.
    sets_valid_until: Duration,
    /// The highest term seen.
    term: u64,
    /// The last known holder and its term.
    holder: Option<(u64, I)>,
    /// Because of its last vote, this process votes for nobody else until then.
    bound_until: Duration,
    /// This process bids no sooner than this.
    bid_not_before: Duration,
    /// Its own bid, or its own lease.
    bid: Option<Bid<I>>,
    /// When it last sent a request to the others.
    last_request_at: Duration,
    /// The term whose holder has nominated this process.
    nominated_by: Option<u64>,
    is_resigning: bool,
}

#[derive(Debug)]
struct Bid<I> {
    term: u64,
    /// Until when this process may act as the holder. `None` before a majority has voted.
    held_until: Option<Duration>,
    /// When the latest request was sent, and the votes for it.
    latest_votes: (Duration, BTreeSet<I>),
    /// The processes that refused the request to acquire.
    refusals: BTreeSet<I>,
    /// `bound_until` as it was before this bid.
    bound_before: Duration,
}

impl<I: Copy + Ord> LeaseParticipant<I> {
    /// A process that has just started and does not know the voters yet. It does not vote until the votes that it may
    /// have cast before a restart have expired.
    pub fn new(me: I, now: Duration) -> LeaseParticipant<I> {
        let bound_until = now + LEASE_DURATION + CLOCK_MARGIN;
        LeaseParticipant {
            me,
            voter_sets: Vec::new(),
            sets_valid_until: Duration::ZERO,
            term: 0,
            holder: None,
            bound_until,
            bid_not_before: bound_until,
            bid: None,
            last_request_at: Duration::ZERO,
            nominated_by: None,
            is_resigning: false,
        }
    }

    /// Sets the voters, which are known to be current until `until`. A lease needs a majority of each set.
    pub fn set_voters(&mut self, sets: Vec<Vec<I>>, until: Duration) {
        let is_first = self.voter_sets.is_empty();
        self.voter_sets = sets;
        if is_first {
            self.bid_not_before = self.bound_until + RANK_DELAY * self.rank();
        }
        self.sets_valid_until = self.sets_valid_until.max(until);
    }

    fn has_majority(&self, votes: &BTreeSet<I>) -> bool {
        let has_majority =
            |set: &Vec<I>| set.iter().filter(|voter| votes.contains(voter)).count() > set.len() / 2;
        !self.voter_sets.is_empty() && self.voter_sets.iter().all(has_majority)
    }

    /// Whether the refusals make a majority of some set impossible.
    fn is_blocked_by(&self, refusals: &BTreeSet<I>) -> bool {
        let can_win =
            |set: &Vec<I>| set.iter().filter(|voter| !refusals.contains(voter)).count() > set.len() / 2;
        !self.voter_sets.iter().all(can_win)
    }

    fn is_voter(&self, process: I) -> bool {
        self.voter_sets.iter().any(|set| set.contains(&process))
    }

    /// This process's position in the first voter set, or 0 if it is not in it.
    fn rank(&self) -> u32 {
        let position = |set: &Vec<I>| set.iter().position(|voter| *voter == self.me);
        self.voter_sets.first().and_then(position).unwrap_or_default() as u32
    }

    /// The term in which this process holds the lease now.
    pub fn held_term(&self, now: Duration) -> Option<u64> {
        let bid = self.bid.as_ref().filter(|_| now < self.sets_valid_until)?;
        bid.held_until.is_some_and(|until| now < until).then_some(bid.term)
    }

    /// Whether this process may carry out the duty, such as granting draws, on behalf of `term`. If not, it has to tell
    /// the caller that it does not hold the lease.
    pub fn may_act_in(&self, now: Duration, term: u64) -> bool {
        self.held_term(now) == Some(term)
    }

    /// The last known holder and its term.
    pub fn holder(&self) -> Option<(u64, I)> {
        self.holder
    }

    /// Takes note of a term that another process has seen.
    pub fn observe_term(&mut self, term: u64) {
        self.term = self.term.max(term);
    }

    /// Handles a request of another process.
    pub fn handle_request(&mut self, now: Duration, request: LeaseRequest<I>) -> LeaseReply {
        let granted = match request {
            LeaseRequest::Acquire { term, candidate, resigned_term } => {
                let has_resigned =
                    resigned_term > 0 && self.holder.is_some_and(|(held, _)| held == resigned_term);
                let is_free = now >= self.bound_until || has_resigned;
                let is_known = now < self.sets_valid_until && self.is_voter(candidate);
                let granted = term > self.term && is_free && self.held_term(now).is_none() && is_known;
                if granted {
                    // The bid may fail, so the holder is unknown until a renewal names it.
                    (self.term, self.bid, self.holder) = (term, None, None);
                    self.bind(now);
                }
                granted
            }
            LeaseRequest::Renew { term, holder } => {
                let granted = term >= self.term && now < self.sets_valid_until && self.is_voter(holder);
                if granted {
                    if self.bid.as_ref().is_some_and(|bid| bid.term < term) {
                        self.bid = None;
                    }
                    (self.term, self.holder) = (term, Some((term, holder)));
                    self.bind(now);
                }
                granted
            }
            LeaseRequest::Nominate { term, holder } => {
                let granted = self.holder == Some((term, holder)) && !self.is_resigning;
                self.nominated_by = granted.then_some(term).or(self.nominated_by);
                granted
            }
        };
        LeaseReply { granted, term: self.term }
    }

    fn bind(&mut self, now: Duration) {
        self.bound_until = now + LEASE_DURATION + CLOCK_MARGIN;
        self.bid_not_before = self.bound_until + RANK_DELAY * (1 + self.rank());
    }

    /// Returns the request to send to all other processes now, if any. Call it about ten times a second.
    ///
    /// A new term is at least `min_term`, a number that grows at all processes alike, such as the shared time. Without
    /// it a term could be used twice after every process that knew of it has restarted.
    pub fn tick(&mut self, now: Duration, min_term: u64) -> Option<LeaseRequest<I>> {
        if self.is_resigning || now >= self.sets_valid_until || !self.is_voter(self.me) {
            return None;
        }
        if let Some(bid) = &mut self.bid {
            let is_over = match bid.held_until {
                Some(until) => now >= until,
                None => now >= bid.latest_votes.0 + LEASE_DURATION,
            };
            if !is_over {
                if bid.held_until.is_none() || now < self.last_request_at + RENEW_INTERVAL {
                    return None;
                }
                self.last_request_at = now;
                bid.latest_votes = (now, BTreeSet::from([self.me]));
                return Some(LeaseRequest::Renew { term: bid.term, holder: self.me });
            }
            self.bid = None;
            self.bid_not_before = now + RANK_DELAY * (1 + self.rank());
        }
        let resigned_term = self.nominated_by.take();
        if resigned_term.is_none() && (now < self.bound_until || now < self.bid_not_before) {
            return None;
        }
        // `self.term` rises only if the bid wins. Otherwise a process that is cut off and bids in vain would return
        // with a high term and unseat the holder.
        let term = (self.term + 1).max(min_term);
        self.bid = Some(Bid {
            term,
            held_until: None,
            latest_votes: (now, BTreeSet::from([self.me])),
            refusals: BTreeSet::new(),
            bound_before: self.bound_until,
        });
        self.last_request_at = now;
        self.bind(now);
        self.count_votes(now);
        let resigned_term = resigned_term.unwrap_or_default();
        Some(LeaseRequest::Acquire { term, candidate: self.me, resigned_term })
    }

    /// Handles a reply to the request that this process sent at `sent_at`.
    pub fn handle_reply(
        &mut self,
        now: Duration,
        from: I,
        sent_at: Duration,
        request: LeaseRequest<I>,
        reply: LeaseReply,
    ) {
        self.observe_term(reply.term);
        let Some(bid) = &mut self.bid else { return };
        let (LeaseRequest::Acquire { term, .. } | LeaseRequest::Renew { term, .. }) = request else {
            return;
        };
        if !reply.granted && reply.term > bid.term {
            self.bid = None;
            return;
        }
        if !reply.granted && bid.held_until.is_none() && bid.term == term {
            bid.refusals.insert(from);
            // A refusing process is bound for a while, as one that has just started is, so a lost bid is given up at
            // once. The vote of this process for itself is void then and binds it no longer.
            let (refusals, bound_before) = (bid.refusals.clone(), bid.bound_before);
            if self.is_blocked_by(&refusals) {
                self.bound_until = bound_before;
                self.bid_not_before = now + RANK_DELAY * (1 + self.rank());
                self.bid = None;
            }
            return;
        }
        if reply.granted && bid.term == term && bid.latest_votes.0 == sent_at {
            bid.latest_votes.1.insert(from);
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: Duration) {
        let is_won = self.bid.as_ref().is_some_and(|bid| self.has_majority(&bid.latest_votes.1));
        let Some(bid) = &mut self.bid else { return };
        // Votes that arrive after the lease they would start has expired do not count.
        if is_won && now < bid.latest_votes.0 + LEASE_DURATION {
            if bid.held_until.is_none() {
                // The next request goes out at once, since the others learn of the new holder by it.
                (self.term, self.holder) = (bid.term, Some((bid.term, self.me)));
                self.last_request_at = Duration::ZERO;
            }
            let until = bid.latest_votes.0 + LEASE_DURATION;
            bid.held_until = Some(bid.held_until.unwrap_or_default().max(until));
        }
    }

    /// Leaves the protocol for good. If this process holds the lease, it gives it up and returns the nomination to send
    /// to the successor.
    pub fn resign(&mut self, now: Duration, successor: I) -> Option<(I, LeaseRequest<I>)> {
        self.is_resigning = true;
        let term = self.held_term(now)?;
        self.bid = None;
        Some((successor, LeaseRequest::Nominate { term, holder: self.me }))
    }
}
