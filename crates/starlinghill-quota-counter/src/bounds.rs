//! The shares of gateways, and the most requests that can be granted in a window, as functions of the settings. Tests and
//! the documentation use these bounds.

use starlinghill_rate_limit::allowance::UNASSIGNED_SHARE;
use starlinghill_rate_limit::{Allowance, Quota};

/// The fraction of its rate at which a bucket fills while `silent` of `all` gateways are silent. Each of these may be
/// granting requests by its own share, which the counter must not grant again.
pub fn fill_fraction(silent: usize, all: usize, allowance: Allowance) -> f64 {
    fill_fraction_beside(silent as f64 / all.max(1) as f64, allowance)
}

/// The same for a given sum of the silent gateways' shares.
pub(crate) fn fill_fraction_beside(silent_shares: f64, allowance: Allowance) -> f64 {
    1.0 - (silent_shares - allowance.beside_silent()).clamp(0.0, 1.0)
}

/// The share of a gateway that never got an answer from any counter.
pub(crate) fn even_share(gateways: usize) -> f64 {
    1.0 / gateways.max(1) as f64
}

/// The share of a tenant's rate for a gateway that the counter has answered, but that was assigned no share of this
/// tenant.
pub fn unassigned_share(gateways: usize) -> f64 {
    UNASSIGNED_SHARE * even_share(gateways)
}

/// The share of a tenant's rate for a gateway that recently asked for `own_units` of `all_units`. Most of the rate is
/// split by recent traffic and the rest evenly. The shares of all gateways at one moment sum to one.
pub fn own_share(own_units: f64, all_units: f64, gateways: usize) -> f64 {
    match all_units > 0.0 {
        true => (1.0 - UNASSIGNED_SHARE) * own_units / all_units + unassigned_share(gateways),
        false => even_share(gateways),
    }
}

/// The disruptions of the gateways and of the counter within one window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Disruptions {
    /// How often the counter moved to another process.
    pub counter_moves: u32,
    /// The longest time, in seconds, for which a gateway decides by its share before the counter notices.
    pub detection_delay_s: f64,
    /// The fraction of the gateways that were cut off, by their shares.
    pub cut_off_fraction: f64,
}

/// The most requests of a tenant that all gateways together can grant in any window: the burst, the rate (at the counter
/// or by the gateways' shares), and what each cut-off gateway starts with when it begins to decide by itself.
pub fn max_granted_in_window(quota: Quota, allowance: Allowance, disruptions: Disruptions) -> f64 {
    let Disruptions { counter_moves, detection_delay_s, cut_off_fraction } = disruptions;
    let excess_rate = cut_off_fraction.min(allowance.beside_silent());
    let per_disruption = cut_off_fraction * (quota.rate * detection_delay_s + allowance.offline(quota));
    quota.burst
        + quota.rate * allowance.window_s * (1.0 + excess_rate)
        + per_disruption * f64::from(1 + counter_moves)
}

/// The most requests of a tenant that all gateways together can grant in any window in which the counter and all gateway
/// processes were lost at once, `losses` times: the burst, the rate (at the counter or by the gateways' shares, which
/// start empty), and what a new bucket starts with after each loss.
pub fn max_granted_after_losses(quota: Quota, allowance: Allowance, losses: u32) -> f64 {
    quota.burst + quota.rate * allowance.window_s + f64::from(losses) * allowance.after_loss(quota)
}
