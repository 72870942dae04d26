//! Backends that operators take out of service for maintenance and return to service.
//!
//! [`MaintenanceOrders`] holds the last order for each backend. Several processes may serve as one gateway;
//! merging their orders gives the same result in any sequence. [`DiscoveredList`] holds the backends as last
//! reported by discovery, and applies the orders to them for the decision module. Files and sockets belong to
//! the caller.

mod discovered_list;
mod orders;

pub use discovered_list::DiscoveredList;
pub use orders::{MaintenanceOrders, Order, OrdersError, MAX_ID_BYTES, MAX_ORDERS};
