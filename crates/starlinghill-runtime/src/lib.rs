//! Joinery: a dovetail holds two boards together without glue. Here it is what joins the system's processes: the settings
//! that each is started with, framed calls between them, and the log lines that all of them write.

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

/// The port of the registry for the system's own processes, counted from the first of `local_ports`.
pub const REGISTRY_PORT_OFFSET: u16 = 0;
/// The port of the store of configuration, counted likewise.
pub const CONFIG_STORE_PORT_OFFSET: u16 = 1;
/// The port on which proxies hear each other, counted likewise.
pub const PROXY_PORT_OFFSET: u16 = 2;
