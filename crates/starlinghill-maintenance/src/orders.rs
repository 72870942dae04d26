//! The book of orders: which backends staff took out, which they called back, and when.

use serde::{Deserialize, Serialize};
use starlinghill_rate_limit::Micros;
use std::collections::BTreeMap;

/// The most orders a book holds. Guards memory against calls without end; backends called back longest ago give way.
pub const MAX_ORDERS: usize = 1024;
/// The longest id of a backend, in bytes.
pub const MAX_ID_BYTES: usize = 128;
/// The version of the written form.
const VERSION: u32 = 1;

/// The last order for a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// It is out; else it was called back.
    pub out: bool,
    /// When this was ordered, Unix time in microseconds.
    pub at_us: u64,
}

impl Order {
    /// The later counts; of two at one moment, the one that takes out, as that does no harm.
    fn beats(self, other: Order) -> bool {
        (self.at_us, self.out) > (other.at_us, other.out)
    }
}

/// Why a book can't be read or changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BookError {
    /// Every place is held by a backend that is out.
    Full,
    /// The id is empty or too long.
    InvalidId(usize),
    /// What was written is no book.
    Unreadable(String),
}

impl std::fmt::Display for BookError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            BookError::Full => write!(f, "{MAX_ORDERS} backends are out, which is the most"),
            BookError::InvalidId(found) => {
                write!(f, "id: expected 1 to {MAX_ID_BYTES} bytes, found {found}")
            }
            BookError::Unreadable(why) => write!(f, "not a book of orders: {why}"),
        }
    }
}
impl std::error::Error for BookError {}

/// The last order for each backend.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OrderBook {
    orders: BTreeMap<String, Order>,
}

#[derive(Serialize, Deserialize)]
struct Written {
    version: u32,
    orders: BTreeMap<String, Order>,
}

impl OrderBook {
    /// Takes a backend out, or calls it back. Twice the same is once: the first order's time stays.
    ///
    /// Returns whether anything changed. `now` is Unix time; an order never lies before the one it replaces, also
    /// where clocks went back.
    pub fn set_order(&mut self, id: &str, out: bool, now: Micros) -> Result<bool, BookError> {
        if id.is_empty() || id.len() > MAX_ID_BYTES {
            return Err(BookError::InvalidId(id.len()));
        }
        let held = self.orders.get(id).copied();
        if held.map_or(!out, |held| held.out == out) {
            return Ok(false);
        }
        if held.is_none() && self.orders.len() >= MAX_ORDERS {
            let back = self.orders.iter().filter(|(_, o)| !o.out).min_by_key(|(_, o)| o.at_us);
            let oldest = back.map(|(id, _)| id.clone()).ok_or(BookError::Full)?;
            self.orders.remove(&oldest);
        }
        let at_us = now.0.max(held.map_or(0, |held| held.at_us + 1));
        self.orders.insert(id.to_string(), Order { out, at_us });
        Ok(true)
    }

    /// Takes in what another book holds, and returns the backends for which that changed something.
    pub fn merge(&mut self, other: &OrderBook) -> Vec<String> {
        let mut changed = Vec::new();
        for (id, &order) in &other.orders {
            if self.orders.get(id).is_none_or(|&held| order.beats(held)) {
                self.orders.insert(id.clone(), order);
                changed.push(id.clone());
            }
        }
        // One that takes out is never dropped, whatever the bound: both books held to it.
        while self.orders.len() > MAX_ORDERS {
            let back = self.orders.iter().filter(|(_, o)| !o.out).min_by_key(|(_, o)| o.at_us);
            let Some(oldest) = back.map(|(id, _)| id.clone()) else { break };
            self.orders.remove(&oldest);
        }
        changed
    }

    /// Whether staff took it out.
    pub fn is_out(&self, id: &str) -> bool {
        self.orders.get(id).is_some_and(|order| order.out)
    }

    /// When it was called back, Unix time.
    pub fn called_back(&self, id: &str) -> Option<Micros> {
        self.orders.get(id).filter(|order| !order.out).map(|order| Micros(order.at_us))
    }

    /// The backends that are out.
    pub fn out(&self) -> impl Iterator<Item = &str> {
        self.orders.iter().filter(|(_, order)| order.out).map(|(id, _)| id.as_str())
    }

    /// How many orders it holds.
    pub fn len(&self) -> usize {
        self.orders.len()
    }

    /// It holds none.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// The book as JSON.
    pub fn to_json(&self) -> String {
        let written = Written { version: VERSION, orders: self.orders.clone() };
        // Strings and numbers only: there is nothing that JSON could not hold.
        serde_json::to_string(&written).unwrap_or_default()
    }

    /// Reads a book. What is not wholly a book is none: half a book would let back in what is out.
    pub fn from_json(text: &str) -> Result<OrderBook, BookError> {
        let written: Written =
            serde_json::from_str(text).map_err(|e| BookError::Unreadable(e.to_string()))?;
        if written.version != VERSION {
            let why = format!("version: expected {VERSION}, found {}", written.version);
            return Err(BookError::Unreadable(why));
        }
        if written.orders.len() > 2 * MAX_ORDERS {
            let why = format!("orders: expected at most {}, found {}", 2 * MAX_ORDERS, written.orders.len());
            return Err(BookError::Unreadable(why));
        }
        match written.orders.keys().find(|id| id.is_empty() || id.len() > MAX_ID_BYTES) {
            Some(id) => Err(BookError::InvalidId(id.len())),
            None => Ok(OrderBook { orders: written.orders }),
        }
    }
}
