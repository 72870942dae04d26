//! What other proxies may be told of the gateway's decisions, free of I/O and of a clock.
//!
//! - [`fleet`]: which servers a proxy may use, with which weights, from the list of servers and from what
//!   proxies report; judged by the decision module.
//! - [`routes`]: time limits and retries of each class, which follow the module's.
//! - [`ledger`]: slices of customers' quotas, of which the sum never passes quota or ceiling.

pub mod fleet;
pub mod ledger;
pub mod routes;
