//! Stand-ins for what surrounds the programs of this repository, on loopback sockets, and faults that tests
//! script for them. No program that is shipped depends on this package.
//!
//! - [`stubs`]: stubs of backends, the counter and discovery, a client, and a gateway as a process.
//! - [`catch_up`]: a core machine that was away during many changes.
//! - [`counter`]: the shared counter with a capacity, its failures, and what it really counted.
//! - [`partitions`]: a network between real processes whose links are cut by a file.
//! - [`failover`]: gateways in zones that follow a group, load through them, and scripted faults.
//! - [`group`]: a group of real member processes, with links between them.
//! - [`audit`]: the audit of what was ordered and what gateways followed.
//! - [`links`]: links between real processes, one a directed pair of zones, that are cut, slow, lossy or reset.
//! - [`load`]: clients at a steady pace, and what became of each request.
//! - [`nodes`]: save nodes that many proxies send to at once, and what they saw.
//! - [`outage`]: a fleet of real gateways round a counter in trouble, by scenarios.
//! - [`processes`]: real processes that are killed, stopped, continued and started again.
//! - [`proxy`]: a proxy that takes its routing over xDS and forwards to save nodes.
//! - [`quota`]: that proxy's buckets, filled by quota assignments.
//! - [`balancing`]: a fleet before the backends of one service in virtual time, by several ways of choosing.
//! - [`system`]: the whole system as processes, with backends that misbehave.

pub mod audit;
pub mod balancing;
pub mod catch_up;
pub mod counter;
pub mod failover;
pub mod group;
pub mod links;
pub mod load;
pub mod nodes;
pub mod outage;
pub mod partitions;
pub mod processes;
pub mod proxy;
pub mod quota;
pub mod soak;
pub mod stubs;
pub mod system;
