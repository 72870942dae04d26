//! Quotas that one gateway shares with other gateways through a shared counter. The counter may be slow,
//! unreachable, emptied or reset to an older state. There is no I/O here and time is an argument: equal
//! inputs give equal results.
//!
//! - [`allowance`]: how far the rules let a customer exceed its quota, and how that excess is divided.
//! - [`account`]: one customer's quota as this gateway tracks it.
//! - [`ceiling`]: a hard limit divided among gateways without estimates.
//! - [`demand`]: a customer's demand over all gateways, estimated from samples.
//! - [`rate`]: an average rate.
//! - [`shares`]: shares of a quota that gateways transfer to each other while the counter is unreachable.
//! - [`store`]: estimates the level of a quota's token bucket from the counter's running totals.
//! - [`tally`]: which of this gateway's units the counter includes, and which must still be sent.
//! - [`time`]: the unit of time.
//! - [`unknown_customers`]: whether to admit customers of whom no total has been received.

pub mod account;
pub mod allowance;
pub mod ceiling;
pub mod demand;
pub mod rate;
pub mod shares;
pub mod store;
pub mod tally;
pub mod time;
pub mod unknown_customers;

pub use allowance::Allowance;
pub use store::{Quota, Store, StoreReading};
pub use time::Micros;
