//! The operators' terminal: how things stand over all registries, and orders for scripts.

pub mod client;
pub mod explain;
pub mod membership;
pub mod screen;
pub mod status;
