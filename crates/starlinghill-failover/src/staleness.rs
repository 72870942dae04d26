//! An upper bound on how old a member's state is. The member asks the leader, and a leader that a majority still follows
//! names its newest committed entry. Once that entry is applied here, the state includes everything that was committed
//! before the question. If the member was stopped or disconnected, its last question is old, and so is its state,
//! whatever its log holds.

use crate::Micros;
use std::collections::VecDeque;

/// The most answers that wait for their entry to be applied. Further ones are dropped, since the member asks again anyway.
const MAX_WAITING: usize = 8;

/// The staleness bound of one member.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct StalenessBound {
    /// The index of the newest applied entry.
    applied: u64,
    /// The newest time at which the state is known to have been complete.
    complete_at: Option<Micros>,
    /// When each question was asked, and the entry that its answer named.
    waiting: VecDeque<(Micros, u64)>,
}

impl StalenessBound {
    /// Records the answer of a leader that a majority follows: to a question sent at `asked_at` it named `newest` as its
    /// newest committed entry.
    pub fn record_answer(&mut self, asked_at: Micros, newest: u64) {
        if newest <= self.applied {
            self.complete_at = self.complete_at.max(Some(asked_at));
        } else if self.waiting.len() < MAX_WAITING {
            self.waiting.push_back((asked_at, newest));
        }
    }

    /// Records that all entries up to this index are applied here.
    pub fn record_applied(&mut self, entry: u64) {
        self.applied = self.applied.max(entry);
        let applied = self.applied;
        let newest_complete =
            self.waiting.iter().filter(|(_, newest)| *newest <= applied).map(|(asked_at, _)| *asked_at).max();
        self.complete_at = self.complete_at.max(newest_complete);
        self.waiting.retain(|(_, newest)| *newest > applied);
    }

    /// The time since the state was last known to be complete; `None` if it never was.
    pub fn age(&self, now: Micros) -> Option<Micros> {
        self.complete_at.map(|at| Micros(now.0.saturating_sub(at.0)))
    }
}
