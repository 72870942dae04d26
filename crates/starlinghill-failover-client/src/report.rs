//! The report of a member to operators, and the changes that operators can make to the group's membership.

use serde::{Deserialize, Serialize};
use starlinghill_failover::state::State;
use starlinghill_failover::wire::Message;
use starlinghill_failover::Position;
use starlinghill_zone_health::report::Report as ZoneReport;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A gateway that follows the group, as seen by the member that it is connected to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Subscriber {
    /// The gateway's name.
    pub name: String,
    /// The version of its program.
    pub program: String,
    /// The newest position that it got.
    pub held: Position,
    /// The position of the directives that it applies.
    pub followed: Position,
    /// Its mode: `following`, `keeping` or `own sight`.
    pub mode: String,
    /// The time since its last message, in milliseconds.
    pub heard_ms: u64,
    /// The zone that it is in; empty if it named none.
    pub zone: String,
    /// The milliseconds since its last report on the zones, and that report.
    #[serde(rename = "evidence")]
    pub zone_report: Option<(u64, ZoneReport)>,
}

/// The knowledge of one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The number of the member.
    pub member: u64,
    /// The group's name.
    pub group: String,
    /// The number of the leader, if the member knows one.
    pub leader: Option<u64>,
    /// The member's term of the replicated log.
    pub term: u64,
    /// The index of the newest log entry that it has applied.
    pub applied: u64,
    /// An upper bound on the age of its state, in milliseconds; `None` if the state was never confirmed.
    pub age_ms: Option<u64>,
    /// The members by number, each with its address and whether it votes.
    pub members: BTreeMap<u64, (String, bool)>,
    /// The replicated state that it has applied, without the recorded outcomes.
    pub state: State,
    /// The gateways that follow through this member, in order of name. One page of at most [`SUBSCRIBERS_PER_REPORT`].
    pub subscribers: Vec<Subscriber>,
    /// Whether more gateways come after this page.
    pub more: bool,
}

/// The most gateways in one report. A member may serve a hundred thousand of them, too many for one message. This many are
/// small next to a state with many zones.
pub const SUBSCRIBERS_PER_REPORT: usize = 50;

/// A change of the group's membership, or of its storage.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum MembershipChange {
    /// Start a group of these members, which must all have no data.
    Init {
        /// The addresses of the members by number.
        members: BTreeMap<u64, SocketAddr>,
        /// The state to start with, if the group replaces one that has lost its majority.
        restored: Option<Box<State>>,
    },
    /// Add a member. It must be running, with an empty data directory.
    Add {
        /// The number of the member.
        id: u64,
        /// The address that it listens on.
        address: SocketAddr,
    },
    /// Remove a member.
    Remove {
        /// The number of the member.
        id: u64,
    },
    /// Make the member write a snapshot of its state now.
    Snapshot,
}

/// The result of a [`MembershipChange`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum MembershipResult {
    /// The change is complete.
    Done,
    /// The change was not made.
    Refused {
        /// The reason, for people.
        why: String,
    },
}

impl Message for Report {
    const KIND: &'static str = "report";
}
impl Message for MembershipChange {
    const KIND: &'static str = "manage";
}
impl Message for MembershipResult {
    const KIND: &'static str = "managed";
}
