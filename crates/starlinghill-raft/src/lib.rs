//! A member process of the failover group: a replicated log of orders, stored on disk and reached over gRPC.
//! `openraft` elects leaders and replicates the log, `redb` stores it, and `starlinghill-failover` decides whether
//! an order is accepted.
//!
//! - [`store`]: the member's database file with its identity, vote, log and snapshot, each record with a checksum.
//! - [`machine`]: the state machine to which committed log entries are applied.
//! - [`network`]: Raft messages between members.
//! - [`member`]: the life of a member, from a blank disk to a running Raft node.
//! - [`serve`]: the gRPC services for gateways, operators and other members.

pub mod machine;
pub mod member;
pub mod network;
pub mod serve;
pub mod store;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use starlinghill_failover::order::Order;
use starlinghill_failover::state::{Outcome, State};
use starlinghill_failover::wire::{JsonEnvelope, Message};
use std::io::Cursor;

/// The payload of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Record {
    /// An operator's order, or a ramp step of the leader. It is applied to the state and may be refused there.
    Order(Order),
    /// The state with which a restored group starts. It is a log entry so that a member that joins later
    /// replays it as well.
    Restored(Box<State>),
}

impl Message for Record {
    const KIND: &'static str = "record";
}

/// A record together with its format version, as it is serialized into the log. Deserializing a record of an
/// unknown version fails, so the member refuses the whole message instead of applying part of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedRecord(pub Record);

impl Serialize for VersionedRecord {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        JsonEnvelope::encode(&self.0).serialize(s)
    }
}
impl<'de> Deserialize<'de> for VersionedRecord {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<VersionedRecord, D::Error> {
        JsonEnvelope::deserialize(d)?.decode().map(VersionedRecord).map_err(serde::de::Error::custom)
    }
}

/// The result of applying a log entry: the order's outcome, or `None` for entries that carry no order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply(pub Option<Outcome>);

openraft::declare_raft_types!(
    /// The type parameters for `openraft`.
    pub TypeConfig:
        D = VersionedRecord,
        R = Reply,
        NodeId = u64,
        Node = openraft::BasicNode,
        Entry = openraft::Entry<TypeConfig>,
        SnapshotData = Cursor<Vec<u8>>,
);

/// A running `openraft` node.
pub type Raft = openraft::Raft<TypeConfig>;
