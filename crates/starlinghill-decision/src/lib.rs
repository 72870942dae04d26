//! The decisions of a gateway, without I/O and without a clock: time is an argument, input is an
//! [`api::Event`], output is a list of [`api::Action`]s, and random numbers come from a seed. The real
//! gateway, the simulator's adapter and the control service all decide through this crate.
//!
//! The files that choose a server, a retry or a refusal are on the `policy` list of the deploy file, whose
//! lines are limited: `breaker`, `fleet`, `guards`, `health`, `zones`, `thin`, `choice`, `admission`,
//! `sharing`, `scattered`, `attempts`. The other files keep state: `api` (the interface), `bucket`, `calls`,
//! `repeated_requests`, `server`, `context`, `customer`, `request`, `roster`, `services`, `counter`,
//! `messages`, `lifecycle`, `learned`, `fleet_view`. Adaptive estimates are in `starlinghill_estimate`. Token
//! buckets, counts and ceilings of quotas are in `starlinghill_rate_limit`.
//!
//! # Terms
//!
//! - *Counter*: the service that all gateways call to share a customer's quota. It either adds up counts,
//!   from which each gateway works out how full the customer's token bucket is, or it keeps the buckets itself
//!   (`Settings::counter_buckets`). It is *silent* for a customer while no call may be made, because a circuit
//!   breaker is open or there is no counter. A *total* is the value that it answers.
//! - *Window*: a fixed period whose units are added up under one name at the counter. A customer's hash
//!   shifts the edges of its windows.
//! - *Ceiling*: a hard limit above a plan's quota. The quota may be exceeded now and then, the ceiling never.
//! - *Spread*: the number of gateways that a customer's requests come through. Gateway numbers are
//!   consecutive, from `Arrival::first` on, and wrap around.
//! - *Share*: the fraction of a customer's quota that one gateway may use on its own while the counter is
//!   silent.
//! - *Target*: the time within which an answer earns its full worth (`Class::target`). A later answer is
//!   *late*.
//! - *Repeat*: a request that its client sends again after a refusal or failure. A *retry* is a further
//!   attempt that the gateway makes for the same request.
//! - *Limit*: the number of attempts that this gateway may have in flight at one server.
//! - *Cold*: started a short time ago, so that only part of the capacity is there (`Settings::cold`).
//! - *Sparse traffic*: so many gateways share the servers that the limits start below one attempt
//!   (`Fleet::is_sparse`).
//!
//! # Promises about totals
//!
//! Under a ceiling a gateway may send requests without a total, or beyond the quota, by its share of what the
//! ceiling allows above the quota. What it sends by a total stays within the quota, so the sum over all
//! gateways keeps the ceiling whatever single gateways know. While the counter is silent, gateways tell each
//! other until when they will not decide by any total. If every gateway of a customer has promised that,
//! nobody uses the quota's rate, and their shares are of the whole ceiling. A process that has just started
//! may have made such a promise before, so it waits until that promise has ended.
//!
//! # Sharing of servers by many gateways
//!
//! No gateway knows what the others have in flight. Each gateway uses a subset of the servers (deterministic
//! subsetting), which lets it learn about each of them within a second or two. Its limits are scaled so that
//! the sum over all gateways is about right. With sparse traffic, requests in flight say nothing about a
//! server's load, and if all gateways took the server with the best figures, it would be overloaded. Servers
//! are then drawn at random in proportion to their present capacity: the sums come out right without
//! messages, and a cold server gets its part from the first moment.

pub mod api;

mod admission;
mod attempts;
mod breaker;
mod bucket;
mod calls;
mod choice;
mod context;
mod counter;
mod customer;
mod fleet;
mod fleet_view;
mod guards;
mod health;
mod learned;
mod lifecycle;
mod messages;
mod repeated_requests;
mod request;
mod roster;
mod scattered;
mod server;
mod services;
mod sharing;
mod thin;
mod zones;

pub use attempts::Gateway;
pub use customer::bucket_name;
pub use fleet_view::{FleetView, Health, PolicyConstants, ServerStatus, POLICY_CONSTANTS};
