//! What a registry is asked by gateways and by other registries.

use bitcode::{Decode, Encode};
use starlinghill_catalog::{Gateway, Instance, Observation};
use starlinghill_config_model::{Item, ItemKind};
use starlinghill_consensus::Members;
use starlinghill_failure_detector::PeerSighting;
use starlinghill_lease as lease;
use starlinghill_lease::contact::QuorumContact;
use starlinghill_quota_counter::{BackendLoad, Draw, LevelReading, LoadReport, QuotaLevel};
use std::net::IpAddr;

/// A question.
#[derive(Debug, Clone, Encode, Decode)]
pub enum RegistryRequest {
    /// By a gateway: what is new?
    Poll(KnownState),
    /// By a gateway: it draws from tenants' stores.
    Draw {
        /// The term of the counter that is meant.
        term: u64,
        /// The life of the gateway's process.
        from: u64,
        /// What it draws; may be nothing, where it only keeps in touch.
        draws: Vec<Draw>,
        /// How things stand between it and backends, where that changed.
        load_reports: Vec<LoadReport>,
    },
    /// By a gateway: what it heard in earlier terms.
    Recall {
        /// The term of the counter that is meant.
        term: u64,
        /// The life of the gateway's process.
        from: u64,
        /// All that still tells something.
        readings: Vec<LevelReading>,
    },
    /// By a registry, on who keeps the count; the epoch of the members that it knows.
    Lease(u64, lease::LeaseRequest<IpAddr>),
    /// By a registry: what it heard of backends and gateways, each so many milliseconds ago.
    Report(PeerReport),
    /// By a registry, of that epoch: that backend has left.
    BackendLeft(u64, String),
    /// By a registry that has just started: all that is known.
    FullReport,
    /// By a console: how things stand.
    Status,
    /// By a console: that backend is to take no new work.
    DrainBackend(String),
}

/// What a gateway has.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct KnownState {
    /// Who it is.
    pub gateway: Gateway,
    /// The life of the registry that it was last answered by here, and the number of the news that it has.
    pub registry_incarnation: u64,
    /// The same.
    pub seq: u64,
    /// The system's time, in microseconds, as it knows it.
    pub time: u64,
    /// The highest term of the counter that it knows.
    pub counter_term: u64,
    /// It is about to end.
    pub leaving: bool,
    /// What stands for the items that are in force there (`Book::digest`).
    pub items_digest: u64,
    /// Of which gateways it heard on the ring.
    pub sightings: Vec<PeerSighting>,
}

/// What a registry heard.
#[derive(Debug, Clone, Default, Encode, Decode)]
pub struct PeerReport {
    /// The epoch of the members that the one who tells knows.
    pub epoch: u64,
    /// Backends.
    pub backends: Vec<(Instance, u64)>,
    /// Gateways.
    pub gateways: Vec<(Gateway, u64)>,
    /// The system's time.
    pub time: u64,
}

/// News for a gateway.
#[derive(Debug, Clone, Encode, Decode)]
pub struct RegistryUpdate {
    /// The registry's life.
    pub registry_incarnation: u64,
    /// The number of these news.
    pub seq: u64,
    /// The word of a majority of stores that the items are all that was agreed on, as the store beside it has it; none where
    /// it is too old to go by.
    pub contact: Option<QuorumContact>,
    /// Items that changed.
    pub items: Vec<Item>,
    /// Backends that changed.
    pub backends: Vec<Observation>,
    /// These news hold all that is known, not only what changed.
    pub complete: bool,
    /// Gateways that changed, and whether they carry traffic now.
    pub gateways: Vec<(Gateway, bool)>,
    /// Who keeps the count, and its term.
    pub counter_holder: Option<(u64, IpAddr)>,
    /// The members of the core, where they changed: their registries are to be asked.
    pub members: Option<Members>,
    /// The system's time.
    pub time: u64,
}

/// An answer.
#[derive(Debug, Clone, Encode, Decode)]
pub enum RegistryResponse {
    /// What is new.
    Update(Box<RegistryUpdate>),
    /// What the stores hold, in the order of the draws, and the system's time.
    Levels(Vec<QuotaLevel>, u64),
    /// This registry does not keep the count in that term, or can't yet; the term that it knows.
    NotHolder(u64),
    /// On the duty.
    Lease(lease::LeaseReply),
    /// All that is known.
    FullReport(PeerReport),
    /// How things stand.
    Status(Box<RegistryStatus>),
    /// Nobody has a backend of that id.
    UnknownBackend,
    /// It was noted.
    Acknowledged,
    /// It was heard, but counts toward no majority: these are the members now.
    NewerMembers(Members),
}

/// How things stand at a registry.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct RegistryStatus {
    /// Its address.
    pub ip: IpAddr,
    /// The life of its process.
    pub incarnation: u64,
    /// The system's time, in microseconds.
    pub time: u64,
    /// The store beside it heard a majority of stores a moment ago.
    pub has_quorum_contact: bool,
    /// The members of the core, as far as is known here.
    pub members: Members,
    /// Items: kind, name, version, and whether they stand.
    pub items: Vec<(ItemKind, String, u64, bool)>,
    /// What stands for them.
    pub items_digest: u64,
    /// Backends, each heard of so many milliseconds ago.
    pub backends: Vec<(Observation, u64)>,
    /// Gateways, likewise, each with what stands for the items in force there.
    pub gateways: Vec<(Gateway, u64, u64)>,
    /// Who keeps the count, and its term, as far as is known here.
    pub counter_holder: Option<(u64, IpAddr)>,
    /// The count, where it is kept here.
    pub counter: Option<CounterStatus>,
}

/// The count at its holder.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct CounterStatus {
    /// Gateways that it does not hear.
    pub silent_gateways: u64,
    /// Stores by their names: what they hold, the tenant's rate, and what was drawn of late a second.
    pub quota_stores: Vec<(u64, f64, f64, f64)>,
    /// Backends.
    pub backend_loads: Vec<BackendLoad>,
}
