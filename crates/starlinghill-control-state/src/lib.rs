//! The gateway's decisions in a form that other proxies can apply. There is no I/O and no clock here.
//!
//! - [`fleet`]: which servers a proxy may use, with which weights. It follows from the list of servers and
//!   from the proxies' reports, as judged by the decision module.
//! - [`routes`]: the time limits and retries of each class of requests, as the decision module applies them.
//! - [`ledger`]: slices of customers' quotas, whose sum never exceeds the quota.

pub mod fleet;
pub mod ledger;
pub mod routes;
