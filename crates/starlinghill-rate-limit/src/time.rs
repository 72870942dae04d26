//! Time as the packages without I/O use it: the caller passes it in.

use std::ops::{Add, Sub};

/// A point in time or a duration, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// The duration in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// The duration multiplied by `factor`, zero for negative factors.
    pub fn times(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor).max(0.0) as u64)
    }
}
impl Add for Micros {
    type Output = Micros;
    /// Saturates at the largest value.
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}
impl Sub for Micros {
    type Output = Micros;
    /// Saturates at zero.
    fn sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}
