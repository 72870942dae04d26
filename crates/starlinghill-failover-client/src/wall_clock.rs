//! Wall time, only for display: when an order was given, and how long ago that was. No decision, age or pause depends on
//! it, because the clocks of two machines may differ, and a clock may be set back while it runs. The workspace's lints
//! allow few other places to read the system clock.

use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};

/// A function that returns the Unix time in milliseconds.
pub type Clock = fn() -> u64;

static CLOCK: OnceLock<Clock> = OnceLock::new();

/// The Unix time of the system clock in milliseconds; 0 if the clock is set before 1970.
#[expect(clippy::disallowed_methods, reason = "wall time for display only")]
pub fn system() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(0))
}

/// Replaces the clock. Works only before the first call of [`now_ms`] or `set`; returns whether it did.
pub fn set(clock: Clock) -> bool {
    CLOCK.set(clock).is_ok()
}

/// The Unix time in milliseconds, from the clock in use.
pub fn now_ms() -> u64 {
    CLOCK.get_or_init(|| system)()
}
