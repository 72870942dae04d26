//! How fast units pass.

use crate::time::Micros;

/// Flows are smoothed over this many seconds.
const SMOOTH: f64 = 4.0;

/// Units a second, smoothed.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Flow {
    rate: f64,
    at: Micros,
}

impl Flow {
    /// So many units passed now; fewer where some came back.
    pub fn add(&mut self, now: Micros, units: f64) {
        *self = Flow { rate: self.now(now) + units / SMOOTH, at: now };
    }
    /// Units a second of late.
    pub fn now(&self, now: Micros) -> f64 {
        self.rate * (-(now - self.at).secs() / SMOOTH).exp()
    }
}
