//! What one gateway knows of quotas that it shares with others through a counter which may be slow, silent,
//! counter_reset or set back. Pure: time is an argument, nothing is sent from here, and equal inputs give equal results.
//!
//! - [`allowance`]: what the rules allow beyond a quota, and for what.
//! - [`account`]: one customer's quota as a gateway keeps it.
//! - [`ceiling`]: a hard ceiling split over gateways, and the turns by which they share the rest.
//! - [`rate`]: how fast units pass.
//! - [`shares`]: parts of a quota that move between gateways while the counter is away, and their messages.
//! - [`store`]: follows a quota's store of units from the totals that the counter tells.
//! - [`tally`]: one gateway's side of a shared count.
//! - [`time`]: the unit of time.

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
