//! The decisions of a gateway, free of I/O and of a clock: time is an argument, input is an [`api::Event`],
//! output is a list of [`api::Action`]s, and chance comes from a seed. The real gateway, the simulator's
//! adapter and the control service all decide through this package.
//!
//! Files, each using only those before it: `api` (the interface), `bucket`, `calls`, `tally`, `repeats`, `server`,
//! `breaker`, `context`, `roster`, `fleet`, `guards`, `health`, `zones`, `thin`, `choice`, `admission`, `sharing`,
//! `scattered`, `attempts`, `lifecycle`, `learned`, `fleet_view`. Estimates stand in `starlinghill_estimate`.

pub mod api;

mod admission;
mod attempts;
mod breaker;
mod bucket;
mod calls;
mod choice;
mod context;
mod fleet;
mod fleet_view;
mod guards;
mod health;
mod learned;
mod lifecycle;
mod repeats;
mod roster;
mod scattered;
mod server;
mod sharing;
mod tally;
mod thin;
mod zones;

pub use attempts::Gateway;
pub use fleet_view::{Bounds, FleetView, Health, ServerFacts, BOUNDS};
