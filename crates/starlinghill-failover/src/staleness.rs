//! How old a member's knowledge of the log is at the most. The member asks the leader; a leader that a majority
//! still follows names the newest entry that it committed; when that is applied here, the member knows all that was
//! committed before it asked. A member that was stopped or cut off has an old question and so an old certainty,
//! whatever its log holds.

use crate::Micros;
use std::collections::VecDeque;

/// Answers that wait for their entry to be applied. Further ones are dropped: the member asks again anyway.
const WAITING: usize = 8;

/// One member's certainty.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct StalenessBound {
    applied: u64,
    sure: Option<Micros>,
    waiting: VecDeque<(Micros, u64)>,
}

impl StalenessBound {
    /// A leader that a majority follows said, to a question asked then, that this entry was the newest committed.
    pub fn record_answer(&mut self, asked: Micros, newest: u64) {
        if newest <= self.applied {
            self.sure = self.sure.max(Some(asked));
        } else if self.waiting.len() < WAITING {
            self.waiting.push_back((asked, newest));
        }
    }

    /// All up to this entry is applied here.
    pub fn record_applied(&mut self, entry: u64) {
        self.applied = self.applied.max(entry);
        let applied = self.applied;
        let met = self.waiting.iter().filter(|(_, newest)| *newest <= applied).map(|(asked, _)| *asked).max();
        self.sure = self.sure.max(met);
        self.waiting.retain(|(_, newest)| *newest > applied);
    }

    /// How long ago this member certainly knew the newest; `None`: never.
    pub fn age(&self, now: Micros) -> Option<Micros> {
        self.sure.map(|sure| Micros(now.0.saturating_sub(sure.0)))
    }
}
