//! Recognises requests that repeat one that was refused. Nothing here decides.

use crate::api::{Arrival, ClassId, Micros};

/// A like request within this time of a refusal counts as its repeat.
const REPEAT_WITHIN: Micros = Micros(1_000_000);

/// The last request of a customer that was refused.
#[derive(Debug)]
pub(crate) struct Refusal {
    class: ClassId,
    units: f64,
    at: Micros,
}

impl Refusal {
    pub(crate) fn of(a: &Arrival, at: Micros) -> Refusal {
        Refusal { class: a.class, units: a.units, at }
    }
}

/// What is known of how clients repeat requests.
#[derive(Debug, Default)]
pub(crate) struct Repeats {
    /// A client has marked a repeat before.
    marked: bool,
}

impl Repeats {
    /// Whether a request repeats one that its customer was refused: by its client's mark or, where no client
    /// marks repeats, because a like request was refused a moment ago. A busy customer sends like requests
    /// all the time, so where clients do mark repeats, unmarked requests are taken as first tries. Misses
    /// repeats where only some clients mark theirs.
    pub(crate) fn is_one(&mut self, a: &Arrival, last: Option<&Refusal>, now: Micros) -> bool {
        self.marked |= a.resent;
        let alike = |r: &Refusal| r.class == a.class && r.units == a.units && now < r.at + REPEAT_WITHIN;
        a.resent || !self.marked && last.is_some_and(alike)
    }
}
