//! Workshop: a mock-up is a piece built whole before the real one, to see whether it holds. Here it is one control side,
//! simulated: the real code of stores, registries and gateways' news in one thread and in virtual time, over links, disks
//! and process lives that a seed decides. What was asked and answered is checked afterwards. No program depends on it.
//!
//! Beside it, [`fleet`]: the decisions of all gateways and the counter, for quotas.
//!
//! One seed plays the same run again and again; `tests/control.rs` says how to play one.

pub mod backends;
pub mod checker;
pub mod cluster;
pub mod faults;
pub mod fleet;
pub mod network;
pub mod processes;
pub mod scenario;
