//! Wall time, which is for people alone: when an order was given, how long ago that was. Nothing is decided by it, and no
//! age or pause is reckoned from it: the clocks of two machines may be apart, and one may be set back while it runs.
//! Beside this file the workspace's lints let few places ask the system for it.

use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};

/// Tells Unix time in milliseconds.
pub type Clock = fn() -> u64;

static CLOCK: OnceLock<Clock> = OnceLock::new();

/// The system's clock; 0 where it stands before 1970.
#[expect(clippy::disallowed_methods, reason = "the one place that asks, for people")]
pub fn system() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(0))
}

/// Goes by another clock from now on, where none was asked yet; returns whether it does.
pub fn set(clock: Clock) -> bool {
    CLOCK.set(clock).is_ok()
}

/// Now.
pub fn now_ms() -> u64 {
    CLOCK.get_or_init(|| system)()
}
