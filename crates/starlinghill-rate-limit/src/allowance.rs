//! How far the rules let a customer exceed its quota, and how that excess is divided among its possible
//! causes.
//!
//! A quota applies to all machines together, but they don't always know of each other's requests. Whatever
//! they admit without that knowledge must fit into the excess that the rules allow, even if several faults
//! coincide. Each fraction below covers one cause, and the fractions add up to no more than one.

use crate::Quota;

/// Fraction of the excess that counters may grant again after all copies of a quota's level were lost.
const LOSS_FRACTION: f64 = 1.0 / 3.0;
/// Fraction of the excess with which the local buckets of all gateways together start while the counter is
/// unreachable.
const OFFLINE_FRACTION: f64 = 1.0 / 3.0;
/// Fraction of the excess up to which the counter also grants others the shares of gateways that it can't
/// reach. Those gateways may have failed, or may still be using their shares.
const SILENT_FRACTION: f64 = 1.0 / 3.0;

/// Fraction of an even share that a gateway uses for a customer if the counter assigned it none. The
/// counter may have assigned the rest to other gateways; the customer's clients may still change to this
/// gateway at any time.
pub const UNASSIGNED_SHARE: f64 = 0.25;

/// How far a customer may exceed its quota in each window.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Allowance {
    /// The length of the window, in seconds.
    pub window_s: f64,
    /// Permitted excess as a fraction of what the quota allows in a window.
    pub excess: f64,
    /// Units permitted in a window on top of that.
    pub extra: f64,
}

impl Allowance {
    fn quota_units(&self, quota: Quota) -> f64 {
        quota.rate * self.window_s + quota.burst
    }

    /// The most units that the rules allow in one window.
    pub fn max_units(&self, quota: Quota) -> f64 {
        self.quota_units(quota) + self.slack(quota)
    }

    /// The units in one window that may exceed the quota.
    pub fn slack(&self, quota: Quota) -> f64 {
        self.quota_units(quota) * self.excess + self.extra
    }

    /// The level in units at which a quota starts after every copy of its level was lost.
    pub fn after_loss(&self, quota: Quota) -> f64 {
        (self.slack(quota) * LOSS_FRACTION).clamp(0.0, quota.burst.max(0.0))
    }

    /// The units with which the local buckets of all gateways together start while the counter is
    /// unreachable.
    pub fn offline(&self, quota: Quota) -> f64 {
        (self.slack(quota) * OFFLINE_FRACTION).clamp(0.0, quota.burst.max(0.0))
    }

    /// The fraction of a quota's rate that the counter may grant in addition to the shares of gateways that
    /// it can't reach.
    pub fn beside_silent(&self) -> f64 {
        self.excess * SILENT_FRACTION
    }
}
