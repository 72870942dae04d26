//! The report of one gateway on the zones. Every value is checked against a bound, because it comes from another process.

use crate::attempt_counts::AttemptCounts;
use serde::{Deserialize, Serialize};
use starlinghill_failover::topology::{is_name, MAX_ZONES};
use starlinghill_failover::wire::Message;
use std::collections::BTreeMap;
use std::fmt;

/// The time that a report covers, in milliseconds.
pub const SPAN_MS: u64 = 4_000;
/// The largest valid count. No gateway makes a million attempts per second at one zone.
const MAX_COUNT: u32 = 4_000_000;

/// The counts of one gateway for the last [`SPAN_MS`]. Zones without attempts are left out.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The counts by zone name.
    pub zones: BTreeMap<String, AttemptCounts>,
}

impl Message for Report {
    const KIND: &'static str = "evidence";
}

/// Why a report is ignored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InvalidReport {
    /// It names more than [`MAX_ZONES`] zones; holds their number.
    TooManyZones(usize),
    /// A zone has an invalid name; holds its first 64 characters.
    BadName(String),
    /// A zone has a count that is too large, or more late answers than answers; holds its name.
    BadCounts(String),
}

impl fmt::Display for InvalidReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidReport::TooManyZones(n) => write!(f, "{n} zones, at most {MAX_ZONES} are allowed"),
            InvalidReport::BadName(name) => write!(f, "invalid zone name '{}'", name.escape_debug()),
            InvalidReport::BadCounts(zone) => write!(f, "zone '{zone}': impossible counts"),
        }
    }
}

impl Report {
    /// Checks names, counts and the number of zones against their bounds.
    pub fn check(&self) -> Result<(), InvalidReport> {
        if self.zones.len() > MAX_ZONES {
            return Err(InvalidReport::TooManyZones(self.zones.len()));
        }
        for (name, counts) in &self.zones {
            if !is_name(name) {
                return Err(InvalidReport::BadName(name.chars().take(64).collect()));
            }
            let c = counts;
            let all = [
                c.answered,
                c.failed,
                c.rejected,
                c.refused,
                c.connect_failed,
                c.unanswered,
                c.unanswered_run,
                c.usual_answers,
            ];
            if c.late > c.answered || all.iter().any(|n| *n > MAX_COUNT) {
                return Err(InvalidReport::BadCounts(name.clone()));
            }
        }
        Ok(())
    }
}
