//! What can go on in all, as a function of the settings: what tests and pages go by.

use starlinghill_rate_limit::allowance::UNASSIGNED_SHARE;
use starlinghill_rate_limit::{Allowance, Quota};

/// The part of the rates at which stores fill while so many of all gateways are silent: each of those may be deciding by
/// itself, by its share.
pub fn fill_part(silent: usize, all: usize, allowance: Allowance) -> f64 {
    fill_part_of(silent as f64 / all.max(1) as f64, allowance)
}

/// The same for the sum of their shares.
pub(crate) fn fill_part_of(shares: f64, allowance: Allowance) -> f64 {
    1.0 - (shares - allowance.beside_silent()).clamp(0.0, 1.0)
}

/// The share of a tenant's rate of a gateway that never heard a counter.
pub(crate) fn even_share(gateways: usize) -> f64 {
    1.0 / gateways.max(1) as f64
}

/// The share of a tenant's rate of a gateway that knows the counter, and was told nothing of that tenant.
pub fn untold_share(gateways: usize) -> f64 {
    UNASSIGNED_SHARE * even_share(gateways)
}

/// A gateway's share of a tenant's rate: mostly the part of its traffic that came through it of late, the rest even. Over
/// all gateways shares of one moment sum to one.
pub fn own_share(drew: f64, all_drew: f64, gateways: usize) -> f64 {
    let even = even_share(gateways);
    match all_drew > 0.0 {
        true => (1.0 - UNASSIGNED_SHARE) * drew / all_drew + untold_share(gateways),
        false => even,
    }
}

/// What befell the gateways and the counter within a window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Disruptions {
    /// How often the counter moved.
    pub moves: u32,
    /// For how long, in seconds, the counter may take a gateway for one that it hears though that decides by itself already.
    pub late_s: f64,
    /// The part of the gateways that did.
    pub cut: f64,
}

/// The most requests of a tenant that can go on in any window, over all gateways: what a store holds, what fills it or the
/// gateways' shares, and what gateways that can't hear the counter begin with.
pub fn max_granted_in_window(quota: Quota, allowance: Allowance, troubles: Disruptions) -> f64 {
    let Disruptions { moves, late_s, cut } = troubles;
    let beside_silent = cut.min(allowance.beside_silent());
    let of_each_move = cut * (quota.rate * late_s + allowance.offline(quota));
    quota.burst
        + quota.rate * allowance.window_s * (1.0 + beside_silent)
        + of_each_move * f64::from(1 + moves)
}

/// The most requests of a tenant that can go on in any window, over all gateways, where so often in it the counter and all
/// gateways' processes were lost at once: what the store held and what filled it, here or at the gateways by their
/// shares, which begin empty, and what it began with after each loss.
pub fn most_after_losses(quota: Quota, allowance: Allowance, losses: u32) -> f64 {
    quota.burst + quota.rate * allowance.window_s + f64::from(losses) * allowance.after_loss(quota)
}
