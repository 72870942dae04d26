//! Serves the gateway's decisions to third-party proxies over xDS v3.
//!
//! - [`resources`]: encodes the fleet snapshot and the routes as Envoy resources, versioned by a hash of their
//!   content. No I/O.
//! - [`ads`]: one discovery stream as a state machine. No I/O.
//! - [`hub`]: owns the fleet state and the quota ledger, and publishes each change once to all streams.
//! - [`server`]: the gRPC services for discovery, load reports and quota assignments.

pub mod ads;
pub mod hub;
pub mod resources;
pub mod server;
