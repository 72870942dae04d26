//! The configuration as named items, each with a version of its own, and the routing table that results from the merged
//! items: routes, tenants, services and limits.
//!
//! * [`change`] parses what an operator sends.
//! * [`items`] holds the items, merges them, and checks that they are consistent.
//! * [`version_history`] remembers which versions were confirmed before.
//! * [`nested_json`] parses JSON from outside, up to a depth.
//! * [`refused_changes`] remembers which changes were refused because of the items that stood.
//! * [`content_digest`] decides whether two contents are the same.
//! * [`routing`] turns the items into what a proxy decides by.
//!
//! The crate does no I/O and reads no clock.

pub mod change;
pub mod content_digest;
pub mod items;
pub mod nested_json;
pub mod refused_changes;
pub mod routing;
pub mod version_history;

pub use change::ConfigChange;
pub use items::{ChangeError, Item, ItemKind, ItemSet};
pub use routing::RoutingTable;
pub use version_history::VersionHistory;
