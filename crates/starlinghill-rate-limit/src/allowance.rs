//! What the rules let a tenant have beyond its quota, and how that is divided among those who may need it at once.
//!
//! A quota is summed over all machines, and not all of them know of each other at every moment. What they grant without
//! knowing has to fit into what the rules allow on top, whatever meets: each part below is for one cause, and the parts add
//! up to no more than the whole.

use crate::Quota;

/// The part that counters may grant anew after everything that knew of a store was lost.
const LOST_PART: f64 = 1.0 / 3.0;
/// The part with which the local buckets of all gateways together begin, while they can't hear the counter.
const UNHEARD_PART: f64 = 1.0 / 3.0;
/// The part of the excess in which the counter does not leave the shares of gateways that it can't hear to them alone: it may
/// be that they are gone.
const SILENT_PART: f64 = 1.0 / 3.0;

/// The part of an even share by which a gateway goes that was told nothing of a tenant, while others may have been told the
/// rest: clients that came through one gateway come through another one now and then.
pub const UNASSIGNED_SHARE: f64 = 0.25;

/// What may go on beyond a quota in each window.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Allowance {
    /// The length of the window, in seconds.
    pub window_s: f64,
    /// What may go on beyond a quota, as a part of it.
    pub excess: f64,
    /// Units that may go on beyond that.
    pub extra: f64,
}

impl Allowance {
    fn within(&self, quota: Quota) -> f64 {
        quota.rate * self.window_s + quota.burst
    }

    /// The max_units units that the rules allow in one window.
    pub fn max_units(&self, quota: Quota) -> f64 {
        self.within(quota) + self.slack(quota)
    }

    /// What of them lies beyond the quota itself.
    pub fn slack(&self, quota: Quota) -> f64 {
        self.within(quota) * self.excess + self.extra
    }

    /// What a store begins with after all that knew of it was lost.
    pub fn after_loss(&self, quota: Quota) -> f64 {
        (self.slack(quota) * LOST_PART).clamp(0.0, quota.burst.max(0.0))
    }

    /// What the local buckets of all gateways together begin with.
    pub fn offline(&self, quota: Quota) -> f64 {
        (self.slack(quota) * UNHEARD_PART).clamp(0.0, quota.burst.max(0.0))
    }

    /// The part of a rate that the counter grants on top of what it leaves to gateways that it can't hear.
    pub fn beside_silent(&self) -> f64 {
        self.excess * SILENT_PART
    }
}
