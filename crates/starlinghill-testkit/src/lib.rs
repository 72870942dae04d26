//! Test doubles for the services around this repository's programs, on loopback sockets, and faults that tests
//! inject into them. No shipped program depends on this package.
//!
//! - [`audit`]: checks what gateways followed against the orders that were given.
//! - [`balancing`]: a simulated fleet in front of the backends of one service, to compare ways of choosing a
//!   backend.
//! - [`catch_up`]: measures how a core machine catches up after it was down during many changes.
//! - [`counter`]: a shared counter with limited capacity, injected failures, and a record of what it counted.
//! - [`failover`]: gateways in zones that follow a group, load through them, and scripted faults.
//! - [`group`]: a group of real member processes, with links between them.
//! - [`links`]: links between zones of real processes that can be cut, slowed, reset or made lossy.
//! - [`load`]: clients with a constant request rate, and the outcome of each request.
//! - [`nodes`]: backend nodes that many proxies send to at once, and what they received.
//! - [`outage`]: scenarios of a fleet of real gateways around a failing counter.
//! - [`partitions`]: network partitions between real processes, controlled by a file.
//! - [`processes`]: real processes that are killed, stopped, resumed and restarted.
//! - [`proxy`]: a proxy that takes its routing over xDS and forwards to backend nodes.
//! - [`quota`]: the token buckets of that proxy, controlled by quota assignments.
//! - [`soak`]: random faults, by seed, against a whole system of real processes.
//! - [`stubs`]: stubs of backends, the counter and discovery, a client, and a gateway as a process.
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
