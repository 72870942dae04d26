//! Which requests repeat one that was refused. Nothing here decides.

use crate::api::{Arrival, ClassId, Micros};

/// How long after a refusal the like of it counts as its repeat.
const SPAN: Micros = Micros(1_000_000);

/// What a customer was refused last.
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

/// What is known of how clients repeat.
#[derive(Debug, Default)]
pub(crate) struct Repeats {
    /// Clients mark their repeats: one did.
    marked: bool,
}

impl Repeats {
    /// Whether a request repeats what its customer was refused: as its client says, or where clients do not say, the like of
    /// it a moment ago. Of a busy customer nearly all is: guards against taking first tries for repeats where the client would
    /// have said so. May hurt where only some clients mark theirs.
    pub(crate) fn is_one(&mut self, a: &Arrival, last: Option<&Refusal>, now: Micros) -> bool {
        self.marked |= a.resent;
        let alike = |r: &Refusal| r.class == a.class && r.units == a.units && now < r.at + SPAN;
        a.resent || !self.marked && last.is_some_and(alike)
    }
}
