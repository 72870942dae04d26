//! Joinery: a template is the pattern that every piece is cut by. Here it is the configuration: named items, each with a
//! version of its own, and what they come to once they are merged: routes, tenants, services, limits.
//!
//! No I/O and no clock. [`change`] reads what an operator sends, [`items`] holds the items and says whether they make sense
//! together, [`version_history`] which numbers were confirmed before, [`content_digest`] what is the same content, [`routing`] is what a
//! proxy decides by.

pub mod change;
pub mod content_digest;
pub mod items;
pub mod routing;
pub mod version_history;

pub use change::ConfigChange;
pub use items::{ChangeError, Item, ItemKind, ItemSet};
pub use routing::RoutingTable;
pub use version_history::VersionHistory;
