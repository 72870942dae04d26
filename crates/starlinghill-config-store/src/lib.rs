//! The configuration store. Each core machine runs one, with all configuration items on its disk. The stores replicate the
//! items by consensus: a change is confirmed only after a majority of them has synced it.

pub mod acceptor;
pub mod admission;
pub mod apply_change;
pub mod disk;
pub mod disk_latency;
pub mod member_replacement;
pub mod program;
pub mod proposer;
pub mod recent_changes;
pub mod records;
pub mod wire;
