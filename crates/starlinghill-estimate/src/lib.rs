//! Estimates that a gateway adapts to what it sees. None of them chooses a server, a retry or a refusal: the decision module
//! asks them and decides. Pure: time is an argument, chance stays with the caller.
//!
//! - [`counter_sampling`]: what part of the requests the shared counter bears to be asked for.
//! - [`server_capacity`]: what a server's weight was seen to bear from this gateway.
//! - [`throttle`]: what part of the work comes back in time.

pub mod counter_sampling;
pub mod server_capacity;
pub mod throttle;

/// Parts that adapt never fall below this: what is never tried is never seen to work again.
pub const MIN_SHARE: f64 = 0.05;
