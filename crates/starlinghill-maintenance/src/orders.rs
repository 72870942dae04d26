//! Operators' orders: which backends were taken out of service or returned to it, and when.

use serde::{Deserialize, Serialize};
use starlinghill_rate_limit::Micros;
use std::collections::BTreeMap;

/// The most orders that are kept, to limit memory. If there are so many, the order of the backend that
/// returned to service longest ago is removed.
pub const MAX_ORDERS: usize = 1024;
/// The most bytes of a backend's id.
pub const MAX_ID_BYTES: usize = 128;
/// The version of the JSON format.
const FORMAT_VERSION: u32 = 1;

/// The last order for a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// True if the backend was taken out of service, false if it was returned to service.
    pub out: bool,
    /// When this was ordered: Unix time in microseconds.
    pub at_us: u64,
}

impl Order {
    /// The later order counts. Of two with the same time, the one that takes the backend out counts, which
    /// is safer.
    fn supersedes(self, other: Order) -> bool {
        (self.at_us, self.out) > (other.at_us, other.out)
    }
}

/// Why an order or a stored text was rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrdersError {
    /// There are [`MAX_ORDERS`] orders, all of them for backends that are out of service.
    Full,
    /// The id is empty or too long; its length in bytes.
    InvalidId(usize),
    /// The stored text could not be parsed.
    Unreadable(String),
}

impl std::fmt::Display for OrdersError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            OrdersError::Full => write!(f, "{MAX_ORDERS} backends are out, which is the most"),
            OrdersError::InvalidId(found) => {
                write!(f, "id: expected 1 to {MAX_ID_BYTES} bytes, found {found}")
            }
            OrdersError::Unreadable(why) => write!(f, "not a book of orders: {why}"),
        }
    }
}
impl std::error::Error for OrdersError {}

/// The last order for each backend.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MaintenanceOrders {
    orders: BTreeMap<String, Order>,
}

/// The stored form. Its name is part of serde's error texts, which operators get in HTTP responses.
#[derive(Serialize, Deserialize)]
struct Written {
    version: u32,
    orders: BTreeMap<String, Order>,
}

impl MaintenanceOrders {
    /// Takes a backend out of service, or returns it to service. A repeated order changes nothing, not even
    /// its time.
    ///
    /// Returns whether anything changed. `now` is Unix time. An order always gets a later time than the one
    /// it replaces, even if the clock went back.
    pub fn set_order(&mut self, id: &str, out: bool, now: Micros) -> Result<bool, OrdersError> {
        if id.is_empty() || id.len() > MAX_ID_BYTES {
            return Err(OrdersError::InvalidId(id.len()));
        }
        let current = self.orders.get(id).copied();
        if current.map_or(!out, |current| current.out == out) {
            return Ok(false);
        }
        if current.is_none() && self.orders.len() >= MAX_ORDERS {
            let returned = self.orders.iter().filter(|(_, o)| !o.out).min_by_key(|(_, o)| o.at_us);
            let oldest = returned.map(|(id, _)| id.clone()).ok_or(OrdersError::Full)?;
            self.orders.remove(&oldest);
        }
        let at_us = now.0.max(current.map_or(0, |current| current.at_us + 1));
        self.orders.insert(id.to_string(), Order { out, at_us });
        Ok(true)
    }

    /// Adds orders that another process holds, and returns the ids of backends for which that changed
    /// something.
    pub fn merge(&mut self, other: &MaintenanceOrders) -> Vec<String> {
        let mut changed = Vec::new();
        for (id, &order) in &other.orders {
            if self.orders.get(id).is_none_or(|&current| order.supersedes(current)) {
                self.orders.insert(id.clone(), order);
                changed.push(id.clone());
            }
        }
        // Orders for backends that are out of service are never removed, even beyond the limit. There can't
        // be many more, because both sides kept to it.
        while self.orders.len() > MAX_ORDERS {
            let returned = self.orders.iter().filter(|(_, o)| !o.out).min_by_key(|(_, o)| o.at_us);
            let Some(oldest) = returned.map(|(id, _)| id.clone()) else { break };
            self.orders.remove(&oldest);
        }
        changed
    }

    /// Whether the backend is out of service.
    pub fn is_out(&self, id: &str) -> bool {
        self.orders.get(id).is_some_and(|order| order.out)
    }

    /// When the backend was returned to service, as Unix time; `None` if it is out of service or has no
    /// order.
    pub fn returned_at(&self, id: &str) -> Option<Micros> {
        self.orders.get(id).filter(|order| !order.out).map(|order| Micros(order.at_us))
    }

    /// The backends that are out of service.
    pub fn out(&self) -> impl Iterator<Item = &str> {
        self.orders.iter().filter(|(_, order)| order.out).map(|(id, _)| id.as_str())
    }

    /// The number of orders, including those that returned a backend to service.
    pub fn len(&self) -> usize {
        self.orders.len()
    }

    /// Whether there are no orders.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// The orders as JSON.
    pub fn to_json(&self) -> String {
        let stored = Written { version: FORMAT_VERSION, orders: self.orders.clone() };
        // Can't fail: JSON can represent all of these types.
        serde_json::to_string(&stored).unwrap_or_default()
    }

    /// Parses JSON. Rejects anything that is incomplete: missing orders would return backends to service.
    pub fn from_json(text: &str) -> Result<MaintenanceOrders, OrdersError> {
        let stored: Written =
            serde_json::from_str(text).map_err(|e| OrdersError::Unreadable(e.to_string()))?;
        if stored.version != FORMAT_VERSION {
            let why = format!("version: expected {FORMAT_VERSION}, found {}", stored.version);
            return Err(OrdersError::Unreadable(why));
        }
        if stored.orders.len() > 2 * MAX_ORDERS {
            let why = format!("orders: expected at most {}, found {}", 2 * MAX_ORDERS, stored.orders.len());
            return Err(OrdersError::Unreadable(why));
        }
        match stored.orders.keys().find(|id| id.is_empty() || id.len() > MAX_ID_BYTES) {
            Some(id) => Err(OrdersError::InvalidId(id.len())),
            None => Ok(MaintenanceOrders { orders: stored.orders }),
        }
    }
}
