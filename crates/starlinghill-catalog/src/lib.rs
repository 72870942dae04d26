//! The backends and gateways that are known: backends by what they say of themselves, gateways by what they ask.
//!
//! [`Catalog`] is a registry's own; [`MergedView`] is what a gateway makes of several registries' catalogs.
//!
//! A backend's id is one incarnation. What was once said to drain or to be gone never serves again, whoever says so later: beats
//! may come late, out of order, and at three registries. What an observer has not heard for long is no such word: see
//! [`Liveness`]. No I/O and no clock.

mod catalog;
mod liveness;
mod merged;

pub use catalog::{Catalog, CatalogChanges};
pub use liveness::Liveness;
pub use merged::{BackendChange, MergedView, UnknownBackends};

use bitcode::{Decode, Encode};
use std::net::{IpAddr, SocketAddr};
use xxhash_rust::xxh3::xxh3_64;

/// Whether a backend takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum BackendState {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It has left.
    Gone,
}

/// An instance of a service, a backend, as it last said.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Instance {
    /// Its id: one incarnation.
    pub id: String,
    /// The service that it is of.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// The version of its software.
    pub version: String,
    /// Requests that it works on at once.
    pub capacity: u32,
    /// Whether it takes work.
    pub state: BackendState,
    /// Rises with each of its calls.
    pub beat_count: u64,
    /// When it is warm, in microseconds of the system's time.
    pub warm_at_us: u64,
}

impl Instance {
    /// One of which no more is known than that it has left.
    fn gone(id: &str) -> Instance {
        Instance {
            id: id.into(),
            service: String::new(),
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            zone: String::new(),
            version: String::new(),
            capacity: 1,
            state: BackendState::Gone,
            beat_count: 0,
            warm_at_us: 0,
        }
    }

    /// Its number.
    pub fn id_hash(&self) -> u64 {
        name_hash(&self.id)
    }
}

/// The number of a name, the same in every process.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// The number of a service; none has 0.
pub fn service_hash(name: &str) -> u32 {
    name_hash(name) as u32 | 1
}

/// A backend as a registry observes it.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Observation {
    /// The backend.
    pub instance: Instance,
    /// How lately that registry heard of it.
    pub liveness: Liveness,
}

/// A gateway that carries traffic.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Gateway {
    /// Its address.
    pub ip: IpAddr,
    /// The life of its process.
    pub incarnation: u64,
    /// Its zone.
    pub zone: String,
    /// Its name.
    pub node: String,
}
