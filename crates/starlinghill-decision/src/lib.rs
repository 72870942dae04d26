//! The decisions of a gateway, free of I/O and of a clock: time is an argument, input is an [`api::Event`],
//! output is a list of [`api::Action`]s, and chance comes from a seed. The real gateway, the simulator's
//! adapter and the control service all decide through this package.
//!
//! Files that choose a server, a retry or a refusal, each on the policy list of the deploy file: `breaker`, `fleet`,
//! `guards`, `health`, `zones`, `thin`, `choice`, `admission`, `sharing`, `scattered`, `attempts`. The others keep
//! the books: `api` (the interface), `bucket`, `calls`, `repeats`, `server`, `context`, `customer`, `request`,
//! `roster`, `services`, `counter`, `messages`, `lifecycle`, `learned`, `fleet_view`. Estimates stand in
//! `starlinghill_estimate`, quotas' stores, tallies and ceilings in `starlinghill_rate_limit`.

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
