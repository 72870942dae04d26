//! What can go on in all, as a function of the settings: what tests and pages go by.

/// What the rules let a quota be passed by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Excess {
    /// As a part of it.
    pub part: f64,
    /// Requests beyond that.
    pub extra: f64,
}

/// Of the excess so much is for gateways that the counter does not hear; the rest is for what is on its way.
const FOR_SILENT: f64 = 0.8;

/// The part of the rates at which stores fill while so many of all gateways are silent: each of those may be deciding by
/// itself, by its share.
pub fn fill_part(silent: usize, all: usize, excess: f64) -> f64 {
    let share = silent as f64 / all.max(1) as f64;
    1.0 - (share - excess * FOR_SILENT).clamp(0.0, 1.0)
}

/// The most requests of a tenant that can go on in any window of so many seconds, over all gateways: what a store holds,
/// and what fills it or the gateways' shares. `moves` is how often the counter moved within it, and `late` for how long,
/// in seconds, the counter may take a gateway for one that it hears though that decides by itself already; `cut` is the
/// part of the gateways that do.
pub fn most_in(window: f64, rate: f64, burst: f64, excess: f64, (moves, late, cut): (u32, f64, f64)) -> f64 {
    let beyond_part = cut.min(excess * FOR_SILENT);
    burst + rate * window * (1.0 + beyond_part) + rate * late * cut * f64::from(1 + moves)
}
