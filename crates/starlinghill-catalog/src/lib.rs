//! The known backends and gateways. Backends are known by their heartbeats, gateways by their requests.
//!
//! A [`Catalog`] is what one registry keeps. A [`MergedView`] is what a gateway makes of the catalogs of several
//! registries.
//!
//! The id of a backend names one incarnation of it. Once an incarnation was reported as draining or gone, it never serves
//! again, whatever arrives later, since heartbeats may arrive late, out of order and at three registries. That an
//! observer has not heard a backend for long is no such report; see [`Liveness`].
//!
//! The crate does no I/O and reads no clock.

mod catalog;
mod liveness;
mod merged;

pub use catalog::{Catalog, CatalogChanges};
pub use liveness::Liveness;
pub use merged::{BackendChange, MergedView, UnknownBackends};

use bitcode::{Decode, Encode};
use std::net::{IpAddr, SocketAddr};
use xxhash_rust::xxh3::xxh3_64;

/// Whether a backend takes new requests, as it says itself. The order matters: a state never goes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum BackendState {
    /// It takes new requests.
    Ready,
    /// It finishes the requests that it has.
    Draining,
    /// It has left.
    Gone,
}

/// A backend, which is one instance of a service, as it last described itself.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Instance {
    /// Names one incarnation of the backend.
    pub id: String,
    /// The name of its service.
    pub service: String,
    /// The address at which it takes requests.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone: String,
    /// The version of its software.
    pub version: String,
    /// The requests that it works on at once.
    pub capacity: u32,
    /// Whether it takes new requests.
    pub state: BackendState,
    /// Rises with each of its heartbeats, which shows which of two descriptions is the newer one.
    pub beat_count: u64,
    /// When it is warm, in microseconds of the system clock.
    pub warm_at_us: u64,
}

impl Instance {
    /// A backend of which nothing is known except that it has left.
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

    /// The hash by which messages name this backend.
    pub fn id_hash(&self) -> u64 {
        name_hash(&self.id)
    }
}

/// The hash of a name, which is the same in every process.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// The hash of a service's name. Never 0, which stands for no service.
pub fn service_hash(name: &str) -> u32 {
    name_hash(name) as u32 | 1
}

/// A backend as one registry observes it.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Observation {
    /// The backend.
    pub instance: Instance,
    /// How recently that registry heard of it.
    pub liveness: Liveness,
}

/// A gateway that carries traffic.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct Gateway {
    /// Its address.
    pub ip: IpAddr,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// The name of its zone.
    pub zone: String,
    /// The name of its node.
    pub node: String,
}
