//! Counts of the results of attempts at one zone, and the health that they show as seen by the counting gateway.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::AddAssign;

/// The least number of attempts that a health can be told from. Fewer could look bad by chance.
pub const MIN_ATTEMPTS: u32 = 8;
/// A zone is unreachable after this many attempts in a row without any reply, if nothing came back for a whole report span
/// either, however few attempts were made. At a loss of every third reply this happens by chance about once in a hundred
/// runs.
const UNREACHABLE_RUN: u32 = 4;
/// The least part of attempts without a reply at which a zone is unreachable, or of refused connections at which nothing
/// listens.
const NEARLY_ALL: f64 = 0.9;
/// The largest part of replies at which a zone still counts as unreachable.
const NEARLY_NONE: f64 = 0.02;
/// The part of answers that are late from which on a zone is in trouble. With a lower limit, chance or one bad server of
/// several would be enough.
const LATE_SHARE: f64 = 0.5;
/// The part of attempts that fail or get no reply from which on a zone is in trouble. With a lower limit, chance or one bad
/// server of several would be enough. With a higher one, a zone that loses every third reply would pass as healthy.
const LOST_SHARE: f64 = 0.25;
/// The part of attempts rejected by full servers from which on a zone is overloaded.
const REJECTED_SHARE: f64 = 0.2;
/// A zone that gives at least this part of its usual answers still does its work, even if they are late.
const NORMAL_OUTPUT: f64 = 0.8;
/// A zone is under pressure if attempts reach this multiple of its usual answers. A zone that is slow for a reason of its
/// own gets no more attempts than usual.
const HIGH_DEMAND: f64 = 1.3;

/// The result of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// Answered in time.
    Answered,
    /// Answered, but too late.
    Late,
    /// Answered with an error, or the answer was cut short.
    Failed,
    /// Rejected without processing, because the server was full.
    Rejected,
    /// The connection was refused: the host is up, but nothing listens on the port.
    ConnectionRefused,
    /// No connection could be made.
    ConnectFailed,
    /// Sent, but no answer came.
    Unanswered,
}

/// The number of attempts by result.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AttemptCounts {
    /// Answers, in time or late.
    #[serde(skip_serializing_if = "is_zero")]
    pub answered: u32,
    /// The answers among these that were late.
    #[serde(skip_serializing_if = "is_zero")]
    pub late: u32,
    /// Errors, and answers that were cut short.
    #[serde(skip_serializing_if = "is_zero")]
    pub failed: u32,
    /// Attempts rejected by a full server.
    #[serde(skip_serializing_if = "is_zero")]
    #[serde(rename = "turned_away")]
    pub rejected: u32,
    /// Refused connections.
    #[serde(skip_serializing_if = "is_zero")]
    pub refused: u32,
    /// Connections that could not be made.
    #[serde(skip_serializing_if = "is_zero")]
    #[serde(rename = "unreached")]
    pub connect_failed: u32,
    /// Attempts sent without an answer.
    #[serde(skip_serializing_if = "is_zero")]
    #[serde(rename = "silent")]
    pub unanswered: u32,
    /// Attempts in a row without any reply up to now. 0 unless nothing has come back for a whole report span.
    #[serde(skip_serializing_if = "is_zero")]
    #[serde(rename = "mute")]
    pub unanswered_run: u32,
    /// The usual number of answers from the zone in the same time; 0 if not known yet.
    #[serde(skip_serializing_if = "is_zero")]
    #[serde(rename = "usual")]
    pub usual_answers: u32,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes fields by reference")]
fn is_zero(n: &u32) -> bool {
    *n == 0
}

/// The health of a zone as one gateway sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObservedHealth {
    /// There were too few attempts to tell.
    Unknown,
    /// It answers in time.
    Healthy,
    /// Nothing comes back from it.
    Unreachable,
    /// Its hosts refuse connections at the listed addresses, so the server list is probably wrong.
    NotListening,
    /// Many answers are late, fail or are missing, without a higher demand that would explain it.
    Degraded,
    /// It rejects requests, or it is in trouble while it does its usual work and gets more requests than usual.
    Overloaded,
}

impl fmt::Display for ObservedHealth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ObservedHealth::Unknown => "unknown",
            ObservedHealth::Healthy => "well",
            ObservedHealth::Unreachable => "dark",
            ObservedHealth::NotListening => "absent",
            ObservedHealth::Degraded => "sick",
            ObservedHealth::Overloaded => "loaded",
        })
    }
}

impl AttemptCounts {
    /// Counts one attempt.
    pub fn record(&mut self, result: AttemptResult) {
        let count = match result {
            AttemptResult::Answered => &mut self.answered,
            AttemptResult::Late => {
                self.late = self.late.saturating_add(1);
                &mut self.answered
            }
            AttemptResult::Failed => &mut self.failed,
            AttemptResult::Rejected => &mut self.rejected,
            AttemptResult::ConnectionRefused => &mut self.refused,
            AttemptResult::ConnectFailed => &mut self.connect_failed,
            AttemptResult::Unanswered => &mut self.unanswered,
        };
        *count = count.saturating_add(1);
    }

    /// The number of all attempts.
    pub fn attempts(&self) -> u64 {
        let all =
            [self.answered, self.failed, self.rejected, self.refused, self.connect_failed, self.unanswered];
        all.into_iter().map(u64::from).sum()
    }

    /// The health that these counts show.
    pub fn observed_health(&self) -> ObservedHealth {
        let n = self.attempts() as f64;
        if self.unanswered_run >= UNREACHABLE_RUN {
            return ObservedHealth::Unreachable;
        }
        if self.attempts() < u64::from(MIN_ATTEMPTS) {
            return ObservedHealth::Unknown;
        }
        let share = |count: u32| f64::from(count) / n;
        let replied = share(self.answered) + share(self.failed) + share(self.rejected);
        let no_reply = share(self.connect_failed) + share(self.unanswered);
        if share(self.refused) >= NEARLY_ALL {
            return ObservedHealth::NotListening;
        }
        if no_reply + share(self.refused) >= NEARLY_ALL && replied <= NEARLY_NONE {
            return ObservedHealth::Unreachable;
        }
        let mostly_late = self.answered > 0 && f64::from(self.late) >= LATE_SHARE * f64::from(self.answered);
        let in_trouble = mostly_late || share(self.failed) + no_reply + share(self.refused) >= LOST_SHARE;
        let usual_answers = f64::from(self.usual_answers);
        let under_pressure = usual_answers > 0.0
            && f64::from(self.answered) >= NORMAL_OUTPUT * usual_answers
            && n >= HIGH_DEMAND * usual_answers;
        match () {
            () if share(self.rejected) >= REJECTED_SHARE || in_trouble && under_pressure => {
                ObservedHealth::Overloaded
            }
            () if in_trouble => ObservedHealth::Degraded,
            () => ObservedHealth::Healthy,
        }
    }
}

impl AddAssign for AttemptCounts {
    fn add_assign(&mut self, other: AttemptCounts) {
        let add = |a: &mut u32, b: u32| *a = a.saturating_add(b);
        add(&mut self.answered, other.answered);
        add(&mut self.late, other.late);
        add(&mut self.failed, other.failed);
        add(&mut self.rejected, other.rejected);
        add(&mut self.refused, other.refused);
        add(&mut self.connect_failed, other.connect_failed);
        add(&mut self.unanswered, other.unanswered);
        add(&mut self.unanswered_run, other.unanswered_run);
        add(&mut self.usual_answers, other.usual_answers);
    }
}
