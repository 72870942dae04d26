//! A circuit breaker over calls to the counter: closed, open, half-open.

use crate::api::Micros;

/// Failures in a row that open it, how long they must last, and how long it stays open by default.
const FAILURES_TO_OPEN: f64 = 3.0;
const OPEN_AFTER: Micros = Micros(400_000);
const COOLDOWN: Micros = Micros(1_000_000);

/// One breaker guards all calls of a gateway, and each customer's calls have one of their own.
#[derive(Debug, Default)]
pub(crate) struct Breaker {
    failures: f64,
    /// When the first of the failures in a row was.
    since: Micros,
    /// When it opened; `None` while closed.
    pub(crate) opened: Option<Micros>,
    pub(crate) probing: bool,
    pub(crate) cooldown: Micros,
}

impl Breaker {
    pub(crate) fn ready(&self, now: Micros) -> bool {
        self.opened.is_none_or(|at| !self.probing && now >= at + self.cooldown)
    }
    /// The end of the cooldown; 0 while closed.
    pub(crate) fn cooldown_end(&self) -> Micros {
        self.opened.map_or(Micros(0), |at| at + self.cooldown)
    }
    /// Records an answered call. Guards against a slow counter that answers now and then: while closed, a
    /// success halves the failures instead of clearing them, so mostly failing calls still open it.
    pub(crate) fn record_call(&mut self) {
        self.probing |= self.opened.is_some();
    }
    /// Records a failed call. The time limit guards against opening for calls that our own load made late:
    /// they fail together, and calling less (`Admission::samples_call`) mends that within a moment, while an
    /// open breaker leaves every quota to local buckets.
    pub(crate) fn failure(&mut self, now: Micros, probe: bool, cooldown: Option<Micros>) {
        self.cooldown = cooldown.unwrap_or(COOLDOWN);
        if self.failures < 1.0 {
            self.since = now;
        }
        self.failures = (self.failures + 1.0).min(FAILURES_TO_OPEN + 1.0);
        let persistent = self.failures >= FAILURES_TO_OPEN && now >= self.since + OPEN_AFTER;
        if (self.opened.is_none() && persistent) || (probe && self.probing) {
            (self.opened, self.probing) = (Some(now), false);
        }
    }
    /// Records an answered call. Guards against a slow counter that answers now and then: while closed, a
    /// success halves the number of failures instead of clearing it, so that mostly failing calls still open
    /// it.
    pub(crate) fn success(&mut self, probe: bool) {
        if probe && self.probing {
            *self = Breaker::default();
        } else if self.opened.is_none() {
            self.failures /= 2.0;
        }
    }
}
