//! The registry. It receives the heartbeats of backends, answers the polls of gateways with what changed, runs the
//! tenants' quota counter while it holds the lease for it, and serves the HTTP API, including requests for the
//! configuration store on the same machine.

pub mod http;
pub mod members;
pub mod peers;
pub mod program;
pub mod router;
pub mod state;
pub mod store_calls;
pub mod wire;
