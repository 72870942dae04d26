//! An average rate of units.

use crate::time::Micros;

/// Time constant of the average, in seconds.
const AVERAGE_S: f64 = 4.0;

/// An exponential moving average, in units a second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Flow {
    rate: f64,
    at: Micros,
}

impl Flow {
    /// Adds units that passed now. Negative units are units that were returned.
    pub fn add(&mut self, now: Micros, units: f64) {
        *self = Flow { rate: self.now(now) + units / AVERAGE_S, at: now };
    }
    /// The average at this time, in units a second.
    pub fn now(&self, now: Micros) -> f64 {
        self.rate * (-(now - self.at).secs() / AVERAGE_S).exp()
    }
}
