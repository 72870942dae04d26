//! Messages between registries and their clients: gateways, other registries and the console. They are encoded with
//! bitcode, so the order of variants and fields is part of the protocol.

use bitcode::{Decode, Encode};
use starlinghill_catalog::{Gateway, Instance, Observation};
use starlinghill_config_model::{Item, ItemKind};
use starlinghill_consensus::Members;
use starlinghill_failure_detector::PeerSighting;
use starlinghill_lease as lease;
use starlinghill_lease::contact::QuorumContact;
use starlinghill_quota_counter::{BackendLoad, Draw, LevelReading, LoadReport, QuotaLevel};
use std::net::IpAddr;

/// A request to a registry.
#[derive(Debug, Clone, Encode, Decode)]
pub enum RegistryRequest {
    /// From a gateway: what changed since this state? The registry holds the request open while nothing has.
    Poll(KnownState),
    /// From a gateway: draws units from tenants' quotas.
    Draw {
        /// The term of the counter that is addressed.
        term: u64,
        /// The incarnation of the gateway's process.
        from: u64,
        /// The draws; empty in a keep-alive.
        draws: Vec<Draw>,
        /// Load of backends as this gateway sees it, for those where it changed.
        load_reports: Vec<LoadReport>,
    },
    /// From a gateway: the levels of quotas that it was told in earlier terms. A new counter starts from them.
    Recall {
        /// The term of the counter that is addressed.
        term: u64,
        /// The incarnation of the gateway's process.
        from: u64,
        /// All readings that are still recent enough to be of use.
        readings: Vec<LevelReading>,
    },
    /// From a registry: a request for the counter's lease, and the epoch of the members that it knows.
    Lease(u64, lease::LeaseRequest<IpAddr>),
    /// From a registry: backends and gateways that it heard of.
    Report(PeerReport),
    /// From a registry that knows the members of this epoch: the backend with this id has deregistered.
    BackendLeft(u64, String),
    /// From a registry: asks for everything that is known.
    FullReport,
    /// From the console: asks for the state of the registry.
    Status,
    /// From the console: sets the backend with this id to draining.
    DrainBackend(String),
}

/// The state that a gateway has, sent with each poll.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct KnownState {
    /// The gateway itself.
    pub gateway: Gateway,
    /// The incarnation of the registry whose update it received last. `seq` is meaningful only together with it: a
    /// registry that restarted sends a complete update.
    pub registry_incarnation: u64,
    /// The sequence number of that update.
    pub seq: u64,
    /// The system's time as the gateway knows it, in microseconds.
    pub time: u64,
    /// The highest term of the counter that it knows.
    pub counter_term: u64,
    /// The gateway shuts down.
    pub leaving: bool,
    /// Digest of the configuration items that the gateway applies.
    pub items_digest: u64,
    /// The gateways whose heartbeats it received, and how long ago. After a restart of registries also those that they
    /// listed before and do not list now, and how long ago they did.
    pub sightings: Vec<PeerSighting>,
}

/// The backends and gateways that a registry heard of.
#[derive(Debug, Clone, Default, Encode, Decode)]
pub struct PeerReport {
    /// The epoch of the members that the sender knows.
    pub epoch: u64,
    /// Backends, each with the milliseconds since it was last heard of.
    pub backends: Vec<(Instance, u64)>,
    /// Gateways, each with the milliseconds since it last polled a registry.
    pub gateways: Vec<(Gateway, u64)>,
    /// The system's time, in microseconds.
    pub time: u64,
}

/// The answer to a gateway's poll: what changed.
#[derive(Debug, Clone, Encode, Decode)]
pub struct RegistryUpdate {
    /// The incarnation of the registry.
    pub registry_incarnation: u64,
    /// The sequence number of this update.
    pub seq: u64,
    /// The latest contact of the local store with a majority of stores: no newer items had been agreed on by then.
    /// Absent where the contact is too old to rely on.
    pub contact: Option<QuorumContact>,
    /// Configuration items that changed.
    pub items: Vec<Item>,
    /// Backends that changed.
    pub backends: Vec<Observation>,
    /// The update holds everything that is known; anything that is missing from it is gone.
    pub complete: bool,
    /// Gateways that changed, and whether each carries traffic now.
    pub gateways: Vec<(Gateway, bool)>,
    /// The term and address of the counter's holder, where it changed.
    pub counter_holder: Option<(u64, IpAddr)>,
    /// The members, where they changed. Gateways poll the registries of the members.
    pub members: Option<Members>,
    /// The system's time, in microseconds.
    pub time: u64,
}

/// A response of a registry.
#[derive(Debug, Clone, Encode, Decode)]
pub enum RegistryResponse {
    /// What changed, for a poll.
    Update(Box<RegistryUpdate>),
    /// The levels of the quotas in the order of the draws, and the system's time in microseconds.
    Levels(Vec<QuotaLevel>, u64),
    /// This registry doesn't run the counter in that term, or not yet. Holds the highest term that it knows.
    NotHolder(u64),
    /// The reply to a lease request.
    Lease(lease::LeaseReply),
    /// Everything that is known.
    FullReport(PeerReport),
    /// The state of the registry.
    Status(Box<RegistryStatus>),
    /// No backend with that id is known.
    UnknownBackend,
    /// The report was recorded.
    Acknowledged,
    /// The report was recorded, but the sender must not count it toward a majority because these newer members have
    /// replaced those that it knows.
    NewerMembers(Members),
}

/// The state of a registry, for the console.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct RegistryStatus {
    /// Its address.
    pub ip: IpAddr,
    /// A random number drawn at the start of its process.
    pub incarnation: u64,
    /// The system's time, in microseconds.
    pub time: u64,
    /// The local store had contact with a majority of stores recently enough to rely on.
    pub has_quorum_contact: bool,
    /// The members that it knows.
    pub members: Members,
    /// Configuration items: kind, name, version, and whether the item exists (false for a deleted one).
    pub items: Vec<(ItemKind, String, u64, bool)>,
    /// Digest of the items.
    pub items_digest: u64,
    /// Backends, each with the milliseconds since it was last heard of.
    pub backends: Vec<(Observation, u64)>,
    /// Gateways, each with the milliseconds since it last polled a registry and the digest of the items that it
    /// applies.
    pub gateways: Vec<(Gateway, u64, u64)>,
    /// The term and address of the counter's holder, as far as it is known here.
    pub counter_holder: Option<(u64, IpAddr)>,
    /// The state of the counter, where this registry runs it.
    pub counter: Option<CounterStatus>,
}

/// The state of the quota counter at its holder.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct CounterStatus {
    /// Number of gateways that the counter hears nothing of.
    pub silent_gateways: u64,
    /// Each tenant's token bucket: its number, its level in units, the tenant's rate in units per second, and the
    /// units drawn per second lately.
    pub token_buckets: Vec<(u64, f64, f64, f64)>,
    /// The load of backends.
    pub backend_loads: Vec<BackendLoad>,
}
