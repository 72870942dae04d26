//! Foundry: the pattern book holds the patterns that all castings are made from. Here it is the store of configuration:
//! each core machine keeps all items on its disk, and a majority has a change synced before anybody says that it is taken.

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
