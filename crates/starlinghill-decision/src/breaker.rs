//! The circuit breaker over the shared counter: closed, open, half-open.

use crate::api::Micros;

/// The source's breaker: failures in a row that open it, how long they must go on, and its cooldown.
const FAILURES_TO_OPEN: f64 = 3.0;
const OPEN_AFTER: Micros = Micros(400_000);
const COOLDOWN: Micros = Micros(1_000_000);

/// A breaker over one way to the counter.
#[derive(Debug, Default)]
pub(crate) struct Breaker {
    streak: f64,
    since: Micros,
    pub(crate) opened: Option<Micros>,
    pub(crate) probing: bool,
    pub(crate) cooldown: Micros,
}

impl Breaker {
    pub(crate) fn ready(&self, now: Micros) -> bool {
        self.opened.is_none_or(|at| !self.probing && now >= at + self.cooldown)
    }
    /// Until when no call is made.
    pub(crate) fn quiet(&self) -> Micros {
        self.opened.map_or(Micros(0), |at| at + self.cooldown)
    }
    /// A call is made; after the cooldown it is the half-open probe.
    pub(crate) fn ask(&mut self) {
        self.probing |= self.opened.is_some();
    }
    /// Guards against opening for calls that our own made late: they fail together, and asking less (`ask`)
    /// mends that within a moment, while an open breaker leaves every quota to local buckets.
    pub(crate) fn failure(&mut self, now: Micros, probe: bool, cooldown: Option<Micros>) {
        self.cooldown = cooldown.unwrap_or(COOLDOWN);
        if self.streak < 1.0 {
            self.since = now;
        }
        self.streak = (self.streak + 1.0).min(FAILURES_TO_OPEN + 1.0);
        let lasts = self.streak >= FAILURES_TO_OPEN && now >= self.since + OPEN_AFTER;
        if (self.opened.is_none() && lasts) || (probe && self.probing) {
            (self.opened, self.probing) = (Some(now), false);
        }
    }
    /// Guards against a slow counter that answers now and then: while closed, a success halves the streak
    /// instead of clearing it, so that mostly failing calls still open the breaker.
    pub(crate) fn success(&mut self, probe: bool) {
        if probe && self.probing {
            *self = Breaker::default();
        } else if self.opened.is_none() {
            self.streak /= 2.0;
        }
    }
}
