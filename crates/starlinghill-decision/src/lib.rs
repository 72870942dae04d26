//! The decisions of a gateway, free of I/O and of a clock: time is an argument, input is an [`api::Event`],
//! output is a list of [`api::Action`]s, and chance comes from a seed.

pub mod api;
mod rules;
mod state;

pub use rules::Gateway;
