//! Backends that staff take out and call back.
//!
//! The [`OrderBook`] holds the last order for each backend; books of processes that serve as one gateway merge to the same
//! book in whatever order they meet. The [`DiscoveredList`] holds the list of backends as discovery told it, and says how it
//! stands under a book: that is what the decision module is told. For whoever owns the sockets and the file.

mod book;
mod roster;

pub use book::{BookError, Order, OrderBook, MAX_ID_BYTES, MAX_ORDERS};
pub use roster::DiscoveredList;
