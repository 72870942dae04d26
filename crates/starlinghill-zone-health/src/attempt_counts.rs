//! Counts of what became of attempts at one zone, and what they look like from where they were made.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::AddAssign;

/// Attempts below which nothing is said: chance would speak.
pub const FLOOR: u32 = 8;
/// So many attempts in a row without a word, and none for a whole span, say that a zone is dark, however few they are: who
/// loses every third answer comes to that by chance once in a hundred times.
const MUTE: u32 = 4;
/// The part of all attempts from which on a zone is dark, or its servers absent, and the part of answers up to which.
const NEARLY_ALL: f64 = 0.9;
const NEARLY_NONE: f64 = 0.02;
/// The part of answers that are late, and of attempts that come to nothing, from which on a zone is in trouble. Lower, chance
/// and one bad server of a few would do; higher, a zone that loses every third answer would pass for well.
const LATE: f64 = 0.5;
const LOST: f64 = 0.25;
/// The part that is turned away from which on a zone is overloaded.
const MANY: f64 = 0.2;
/// A zone that answers as many as this part of what it usually does is at its work, however late; it is pressed where so
/// many times as much is asked of it. What is slow by itself is asked for no more than usual.
const AT_WORK: f64 = 0.8;
const PRESSED: f64 = 1.3;

/// What became of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// Answered in time.
    Answered,
    /// Answered, and too late.
    Late,
    /// Answered with an error, or the answer broke off.
    Failed,
    /// Turned away unseen: the server was full.
    Rejected,
    /// The connection was refused: the host is there, nothing listens.
    ConnectionRefused,
    /// No connection came about.
    ConnectFailed,
    /// Sent, and no answer came.
    Unanswered,
}

/// How many became what.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AttemptCounts {
    /// Answered, in time or late.
    #[serde(skip_serializing_if = "none")]
    pub answered: u32,
    /// Of these, late.
    #[serde(skip_serializing_if = "none")]
    pub late: u32,
    /// Errors and answers that broke off.
    #[serde(skip_serializing_if = "none")]
    pub failed: u32,
    /// Turned away unseen.
    #[serde(skip_serializing_if = "none")]
    #[serde(rename = "turned_away")]
    pub rejected: u32,
    /// Refused connections.
    #[serde(skip_serializing_if = "none")]
    pub refused: u32,
    /// Connections that did not come about.
    #[serde(skip_serializing_if = "none")]
    #[serde(rename = "unreached")]
    pub connect_failed: u32,
    /// Sent without an answer.
    #[serde(skip_serializing_if = "none")]
    #[serde(rename = "silent")]
    pub unanswered: u32,
    /// Attempts in a row that nothing came back of, up to now, where nothing has come back for a whole span.
    #[serde(skip_serializing_if = "none")]
    #[serde(rename = "mute")]
    pub unanswered_run: u32,
    /// Answers that usually come from there in as much time; 0: not known yet.
    #[serde(skip_serializing_if = "none")]
    #[serde(rename = "usual")]
    pub usual_answers: u32,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes fields by reference")]
fn none(n: &u32) -> bool {
    *n == 0
}

/// What a zone looks like from one place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObservedHealth {
    /// Too few attempts to tell.
    Unknown,
    /// It answers.
    Healthy,
    /// Nothing comes back.
    Unreachable,
    /// Its hosts are there, and nothing listens where the list says.
    NotListening,
    /// It answers, and mostly badly or late, while it does less than usual.
    Degraded,
    /// It does its work, and is asked for more.
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
    /// Notes one attempt.
    pub fn record(&mut self, became: AttemptResult) {
        let count = match became {
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

    /// All attempts.
    pub fn attempts(&self) -> u64 {
        let all =
            [self.answered, self.failed, self.rejected, self.refused, self.connect_failed, self.unanswered];
        all.into_iter().map(u64::from).sum()
    }

    /// What it looks like.
    pub fn observed_health(&self) -> ObservedHealth {
        let n = self.attempts() as f64;
        if self.unanswered_run >= MUTE {
            return ObservedHealth::Unreachable;
        }
        if self.attempts() < u64::from(FLOOR) {
            return ObservedHealth::Unknown;
        }
        let part = |count: u32| f64::from(count) / n;
        let heard_of = part(self.answered) + part(self.failed) + part(self.rejected);
        let dark = part(self.connect_failed) + part(self.unanswered);
        if part(self.refused) >= NEARLY_ALL {
            return ObservedHealth::NotListening;
        }
        if dark + part(self.refused) >= NEARLY_ALL && heard_of <= NEARLY_NONE {
            return ObservedHealth::Unreachable;
        }
        let late = self.answered > 0 && f64::from(self.late) >= LATE * f64::from(self.answered);
        let trouble = late || part(self.failed) + dark + part(self.refused) >= LOST;
        let usual = f64::from(self.usual_answers);
        let pressed = usual > 0.0 && f64::from(self.answered) >= AT_WORK * usual && n >= PRESSED * usual;
        match () {
            () if part(self.rejected) >= MANY || trouble && pressed => ObservedHealth::Overloaded,
            () if trouble => ObservedHealth::Degraded,
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
