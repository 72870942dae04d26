#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod net;
pub mod rules;
mod settings;
mod state;
pub mod wire;
