//! Estimates that a gateway adapts to what it observes. None of them chooses a server, a retry or a refusal:
//! the decision module uses them and decides. They do no I/O; time and random numbers are arguments.
//!
//! - [`counter_sampling`]: the fraction of requests that may call the counter.
//! - [`server_capacity`]: the units a second that servers handle for each unit of weight.
//! - [`throttle`]: the fraction of requests that servers can answer in time.

pub mod counter_sampling;
pub mod server_capacity;
pub mod throttle;

/// Adaptive shares never fall below this: without any tries a recovery would never be seen.
pub const MIN_SHARE: f64 = 0.05;
