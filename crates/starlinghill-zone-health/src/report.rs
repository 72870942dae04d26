//! What a gateway tells of what it sees. Whatever a peer puts in has a bound.

use crate::attempt_counts::AttemptCounts;
use serde::{Deserialize, Serialize};
use starlinghill_failover::topology::{is_name, MAX_ZONES};
use starlinghill_failover::wire::Message;
use std::collections::BTreeMap;
use std::fmt;

/// The span that a report is of, in milliseconds.
pub const SPAN_MS: u64 = 4_000;
/// The most that one count may be: no gateway makes a million attempts a second at a zone.
const MOST: u32 = 4_000_000;

/// Counts by zone, over the span before it was made. Zones without attempts are left out.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The zones.
    pub zones: BTreeMap<String, AttemptCounts>,
}

impl Message for Report {
    const KIND: &'static str = "evidence";
}

/// Why a report is not used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InvalidReport {
    /// It names too many zones.
    TooManyZones(usize),
    /// A name is none.
    BadName(String),
    /// A count is beyond what can be, or does not fit the others.
    BadCounts(String),
}

impl fmt::Display for InvalidReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidReport::TooManyZones(n) => write!(f, "{n} zones, {MAX_ZONES} at most"),
            InvalidReport::BadName(name) => write!(f, "a zone named '{}'", name.escape_debug()),
            InvalidReport::BadCounts(zone) => write!(f, "zone '{zone}': counts that can't be"),
        }
    }
}

impl Report {
    /// Whether it keeps to the bounds.
    pub fn check(&self) -> Result<(), InvalidReport> {
        if self.zones.len() > MAX_ZONES {
            return Err(InvalidReport::TooManyZones(self.zones.len()));
        }
        for (name, sums) in &self.zones {
            if !is_name(name) {
                return Err(InvalidReport::BadName(name.chars().take(64).collect()));
            }
            let s = sums;
            let all = [
                s.answered,
                s.failed,
                s.rejected,
                s.refused,
                s.connect_failed,
                s.unanswered,
                s.unanswered_run,
                s.usual_answers,
            ];
            if s.late > s.answered || all.iter().any(|n| *n > MOST) {
                return Err(InvalidReport::BadCounts(name.clone()));
            }
        }
        Ok(())
    }
}
