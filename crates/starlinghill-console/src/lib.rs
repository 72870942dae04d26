//! The operators' console: shows the state of the whole system, and sends orders, also from scripts.

pub mod client;
pub mod explain;
pub mod membership;
pub mod screen;
pub mod status;
