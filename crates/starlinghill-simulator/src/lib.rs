//! A deterministic simulation of one control plane with its gateways. The real code of the configuration stores, the
//! registries and the gateways' registry clients runs in one thread and in virtual time; a seed decides how the
//! simulated links, disks and processes behave. Requests and replies are recorded and checked afterwards, so one seed
//! repeats the same run. No program depends on this crate.
//!
//! [`fleet`] is a second simulation: the request decisions of many gateways with one quota counter.
//!
//! `tests/control.rs` gives the command that repeats a seed.

pub mod backends;
pub mod checker;
pub mod cluster;
pub mod faults;
pub mod fleet;
pub mod network;
pub mod processes;
pub mod scenario;
