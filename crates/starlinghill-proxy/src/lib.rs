//! The proxy. It carries client requests to backends with the gateway's sockets and the decision module. Routes,
//! tenants, their keys and the list of backends come from the registries.

pub mod backend_protocol;
pub mod decision_settings;
pub mod delisted_gateways;
pub mod heartbeat;
pub mod program;
pub mod quota_client;
pub mod readiness;
pub mod registry_client;
pub mod rejections;
pub mod request_handler;
