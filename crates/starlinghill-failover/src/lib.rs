//! What the group decides in common, and what a gateway follows of it. Pure: time is an argument, there is no
//! clock, no input or output and no randomness, so that every member comes to the same state from the same orders.
//!
//! - [`topology`]: regions and zones, as the operators' file has them.
//! - [`order`]: what may be ordered, as it stands in the log.
//! - [`pacer`]: when the leader makes the next step of a ramp.
//! - [`rejection`]: why an order is refused; all causes at once.
//! - [`state`]: the state machine of the group.
//! - [`staleness`]: how old a member's own knowledge is.
//! - [`directive`]: what gateways are told of the state.
//! - [`follower`]: what a gateway makes of what it is told, by its age.
//! - [`bounds`]: how late and how old at the most, as functions of the settings.
//! - [`wire`]: the versioned form of all of these. What is not known is refused, never guessed.

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

/// Parts in a thousand, as weights of zones are given.
pub type Permille = u16;
/// The weight of a zone that takes its whole part.
pub const FULL_WEIGHT: Permille = 1_000;

/// Time in microseconds on one process's own monotonic clock. Two processes' times can't be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Micros(pub u64);

/// Where in the history of decisions something stands. A group that was restored after the loss of a majority has
/// the next generation, and whatever comes from an earlier one is older, whatever its epoch.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, serde::Serialize, serde::Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct Position {
    /// The group's life.
    pub generation: u64,
    /// The decision in it.
    pub epoch: u64,
}

impl std::fmt::Display for Position {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.generation, self.epoch)
    }
}
