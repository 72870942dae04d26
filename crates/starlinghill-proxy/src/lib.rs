//! Workshop: the workbench is where the work is done. Here it is the proxy: the gateway's sockets and the decision module,
//! with routes, keys and tenants round them, and news from the registries that all of it goes by.

pub mod backend_protocol;
pub mod decision_settings;
pub mod heartbeat;
pub mod program;
pub mod quota_client;
pub mod readiness;
pub mod registry_client;
pub mod rejections;
pub mod request_handler;
