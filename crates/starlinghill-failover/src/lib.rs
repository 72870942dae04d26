//! The replicated state of zone failover, and how a gateway follows it. The code has no I/O, clock or randomness, and
//! time is an argument, so that every member reaches the same state from the same orders.
//!
//! - [`topology`]: regions and zones, from the operators' settings file.
//! - [`order`]: the orders in the replicated log.
//! - [`pacer`]: when the leader submits the next step of a ramp.
//! - [`rejection`]: why an order is refused.
//! - [`state`]: the replicated state machine.
//! - [`staleness`]: an upper bound on how old a member's state is.
//! - [`directive`]: the part of the state that gateways get.
//! - [`follower`]: which directives a gateway applies, depending on their age.
//! - [`bounds`]: upper bounds on delays and ages, computed from the settings.
//! - [`wire`]: the versioned encoding of messages and stored data.

pub mod bounds;
pub mod directive;
pub mod follower;
pub mod order;
pub mod pacer;
pub mod rejection;
pub mod staleness;
pub mod state;
pub mod topology;
pub mod wire;

/// A part in thousandths.
pub type Permille = u16;
/// The weight of a zone that takes its full share of traffic.
pub const FULL_WEIGHT: Permille = 1_000;

/// Microseconds on one process's monotonic clock, as a time or a span. Times of two processes can't be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Micros(pub u64);

/// A version of the group's state. A group that was restored after the loss of its majority has the next generation.
/// Positions compare by generation first, so that everything from before the restore is older, whatever its epoch.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, serde::Serialize, serde::Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct Position {
    /// Number of the group's incarnation, raised by one when the group is restored.
    pub generation: u64,
    /// Number of accepted changes in the group's history.
    pub epoch: u64,
}

impl std::fmt::Display for Position {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.generation, self.epoch)
    }
}
