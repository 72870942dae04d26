//! What a gateway tells of what it sees. Whatever a peer puts in has a bound.

use crate::attempt_counts::AttemptCounts;
use serde::{Deserialize, Serialize};
use starlinghill_failover::topology::{is_name, MOST_ZONES};
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
pub enum Unusable {
    /// It names too many zones.
    TooMany(usize),
    /// A name is none.
    Name(String),
    /// A count is beyond what can be, or does not fit the others.
    Counts(String),
}

impl fmt::Display for Unusable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unusable::TooMany(n) => write!(f, "{n} zones, {MOST_ZONES} at most"),
            Unusable::Name(name) => write!(f, "a zone named '{}'", name.escape_debug()),
            Unusable::Counts(zone) => write!(f, "zone '{zone}': counts that can't be"),
        }
    }
}

impl Report {
    /// Whether it keeps to the bounds.
    pub fn check(&self) -> Result<(), Unusable> {
        if self.zones.len() > MOST_ZONES {
            return Err(Unusable::TooMany(self.zones.len()));
        }
        for (name, sums) in &self.zones {
            if !is_name(name) {
                return Err(Unusable::Name(name.chars().take(64).collect()));
            }
            let s = sums;
            let all =
                [s.answered, s.failed, s.turned_away, s.refused, s.unreached, s.silent, s.mute, s.usual];
            if s.late > s.answered || all.iter().any(|n| *n > MOST) {
                return Err(Unusable::Counts(name.clone()));
            }
        }
        Ok(())
    }
}
