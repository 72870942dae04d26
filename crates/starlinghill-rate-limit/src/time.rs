//! Time as all packages below the sockets know it: a number that is handed in.

use std::ops::{Add, Sub};

/// A point in time or a span, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// The span in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// The span scaled by `k` (never below zero).
    pub fn times(self, k: f64) -> Micros {
        Micros((self.0 as f64 * k).max(0.0) as u64)
    }
}
impl Add for Micros {
    type Output = Micros;
    fn add(self, o: Micros) -> Micros {
        Micros(self.0.saturating_add(o.0))
    }
}
impl Sub for Micros {
    type Output = Micros;
    /// Stops at zero.
    fn sub(self, o: Micros) -> Micros {
        Micros(self.0.saturating_sub(o.0))
    }
}
