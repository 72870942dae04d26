//! What all processes of the system share: settings, remote calls in frames, signal handling and log lines.

pub mod essential_tasks;
pub mod frame;
pub mod logs;
pub mod net;
pub mod program;
pub mod queue;
pub mod rpc;
pub mod settings;
pub mod signals;
pub mod validation;

/// Internal port of the registry, as an offset from the first port of `local_ports`.
pub const REGISTRY_PORT_OFFSET: u16 = 0;
/// Internal port of the configuration store, as an offset from the first port of `local_ports`.
pub const CONFIG_STORE_PORT_OFFSET: u16 = 1;
/// UDP port for heartbeats between proxies, as an offset from the first port of `local_ports`.
pub const PROXY_PORT_OFFSET: u16 = 2;
