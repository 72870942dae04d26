//! The gateway's decisions for proxies that others build, over xDS v3.
//!
//! - [`resources`]: the picture of the fleet and the routes as Envoy's resources, with versions that are hashes of
//!   what is in them. Pure.
//! - [`ads`]: one discovery stream as a state machine. Pure.
//! - [`hub`]: the one owner of the fleet's picture and of the ledger; publishes each change once.
//! - [`server`]: discovery, load reports and quota assignments on sockets, over gRPC.

pub mod ads;
pub mod hub;
pub mod resources;
pub mod server;
