//! The group on sockets and disk: one replicated log of decisions. Elections and log matching are `openraft`'s, the
//! disk is `redb`'s; what is decided, and whether it may be, is `starlinghill-failover`'s.
//!
//! - [`store`]: a member's file: its identity, vote, log and snapshot, each record with a checksum.
//! - [`machine`]: the state machine that the log drives.
//! - [`network`]: what members say to each other.
//! - [`member`]: one member, from blank to part of a group.
//! - [`serve`]: what it answers to gateways, operators and other members.

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

/// What stands in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Record {
    /// An order.
    Order(Order),
    /// The state that a restored group begins with. It stands in the log, not beside it, so that a member that
    /// joins later begins with it as well.
    Restored(Box<State>),
}

impl Message for Record {
    const KIND: &'static str = "record";
}

/// A record as the log holds it, in its versioned form: one that this version doesn't know can't be read, so that
/// the member refuses the message it came in, and never carries half of it out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recorded(pub Record);

impl Serialize for Recorded {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        JsonEnvelope::encode(&self.0).serialize(s)
    }
}
impl<'de> Deserialize<'de> for Recorded {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Recorded, D::Error> {
        JsonEnvelope::deserialize(d)?.decode().map(Recorded).map_err(serde::de::Error::custom)
    }
}

/// What became of a record; nothing for the log's own entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply(pub Option<Outcome>);

openraft::declare_raft_types!(
    /// The types that the log is made of.
    pub Types:
        D = Recorded,
        R = Reply,
        NodeId = u64,
        Node = openraft::BasicNode,
        Entry = openraft::Entry<Types>,
        SnapshotData = Cursor<Vec<u8>>,
);

/// The running log.
pub type Raft = openraft::Raft<Types>;
