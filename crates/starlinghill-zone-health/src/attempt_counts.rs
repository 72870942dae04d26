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
    TurnedAway,
    /// The connection was refused: the host is there, nothing listens.
    Refused,
    /// No connection came about.
    Unreached,
    /// Sent, and no answer came.
    Silent,
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
    pub turned_away: u32,
    /// Refused connections.
    #[serde(skip_serializing_if = "none")]
    pub refused: u32,
    /// Connections that did not come about.
    #[serde(skip_serializing_if = "none")]
    pub unreached: u32,
    /// Sent without an answer.
    #[serde(skip_serializing_if = "none")]
    pub silent: u32,
    /// Attempts in a row that nothing came back of, up to now, where nothing has come back for a whole span.
    #[serde(skip_serializing_if = "none")]
    pub mute: u32,
    /// Answers that usually come from there in as much time; 0: not known yet.
    #[serde(skip_serializing_if = "none")]
    pub usual: u32,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes fields by reference")]
fn none(n: &u32) -> bool {
    *n == 0
}

/// What a zone looks like from one place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Sight {
    /// Too few attempts to tell.
    Unknown,
    /// It answers.
    Well,
    /// Nothing comes back.
    Dark,
    /// Its hosts are there, and nothing listens where the list says.
    Absent,
    /// It answers, and mostly badly or late, while it does less than usual.
    Sick,
    /// It does its work, and is asked for more.
    Loaded,
}

impl fmt::Display for Sight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Sight::Unknown => "unknown",
            Sight::Well => "well",
            Sight::Dark => "dark",
            Sight::Absent => "absent",
            Sight::Sick => "sick",
            Sight::Loaded => "loaded",
        })
    }
}

impl AttemptCounts {
    /// Notes one attempt.
    pub fn note(&mut self, became: AttemptResult) {
        let count = match became {
            AttemptResult::Answered => &mut self.answered,
            AttemptResult::Late => {
                self.late = self.late.saturating_add(1);
                &mut self.answered
            }
            AttemptResult::Failed => &mut self.failed,
            AttemptResult::TurnedAway => &mut self.turned_away,
            AttemptResult::Refused => &mut self.refused,
            AttemptResult::Unreached => &mut self.unreached,
            AttemptResult::Silent => &mut self.silent,
        };
        *count = count.saturating_add(1);
    }

    /// All attempts.
    pub fn attempts(&self) -> u64 {
        let all = [self.answered, self.failed, self.turned_away, self.refused, self.unreached, self.silent];
        all.into_iter().map(u64::from).sum()
    }

    /// What it looks like.
    pub fn sight(&self) -> Sight {
        let n = self.attempts() as f64;
        if self.mute >= MUTE {
            return Sight::Dark;
        }
        if self.attempts() < u64::from(FLOOR) {
            return Sight::Unknown;
        }
        let part = |count: u32| f64::from(count) / n;
        let heard_of = part(self.answered) + part(self.failed) + part(self.turned_away);
        let dark = part(self.unreached) + part(self.silent);
        if part(self.refused) >= NEARLY_ALL {
            return Sight::Absent;
        }
        if dark + part(self.refused) >= NEARLY_ALL && heard_of <= NEARLY_NONE {
            return Sight::Dark;
        }
        let late = self.answered > 0 && f64::from(self.late) >= LATE * f64::from(self.answered);
        let trouble = late || part(self.failed) + dark + part(self.refused) >= LOST;
        let usual = f64::from(self.usual);
        let pressed = usual > 0.0 && f64::from(self.answered) >= AT_WORK * usual && n >= PRESSED * usual;
        match () {
            () if part(self.turned_away) >= MANY || trouble && pressed => Sight::Loaded,
            () if trouble => Sight::Sick,
            () => Sight::Well,
        }
    }
}

impl AddAssign for AttemptCounts {
    fn add_assign(&mut self, other: AttemptCounts) {
        let add = |a: &mut u32, b: u32| *a = a.saturating_add(b);
        add(&mut self.answered, other.answered);
        add(&mut self.late, other.late);
        add(&mut self.failed, other.failed);
        add(&mut self.turned_away, other.turned_away);
        add(&mut self.refused, other.refused);
        add(&mut self.unreached, other.unreached);
        add(&mut self.silent, other.silent);
        add(&mut self.mute, other.mute);
        add(&mut self.usual, other.usual);
    }
}
