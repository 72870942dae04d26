//! What a member tells operators, and what operators may change of the group itself.

use serde::{Deserialize, Serialize};
use starlinghill_failover::state::State;
use starlinghill_failover::wire::Message;
use starlinghill_failover::Position;
use starlinghill_zone_health::report::Report as Evidence;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One who follows, as the member that it is connected to knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Subscriber {
    /// Its name.
    pub name: String,
    /// Its program's version.
    pub program: String,
    /// The newest that it was told.
    pub held: Position,
    /// What it follows.
    pub followed: Position,
    /// How it goes by what it was told.
    pub mode: String,
    /// How long ago it said so, in milliseconds.
    pub heard_ms: u64,
    /// The zone that it is in.
    pub zone: String,
    /// What it saw of zones last, and how long ago it said that.
    #[serde(rename = "evidence")]
    pub zone_report: Option<(u64, Evidence)>,
}

/// What one member knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The member.
    pub member: u64,
    /// The group's name.
    pub group: String,
    /// Whom it takes for the leader.
    pub leader: Option<u64>,
    /// The term that it is in.
    pub term: u64,
    /// The newest entry that it has applied.
    pub applied: u64,
    /// How long ago it certainly knew the newest, in milliseconds; none: never.
    pub age_ms: Option<u64>,
    /// The members of the group, and whether they vote.
    pub members: BTreeMap<u64, (String, bool)>,
    /// The state.
    pub state: State,
    /// Those who follow by this member, by name; [`SUBSCRIBERS_PER_REPORT`] at most.
    pub subscribers: Vec<Subscriber>,
    /// Whether there are more past the last of them.
    pub more: bool,
}

/// The most followers that one report tells of. A member that may take a hundred thousand would fill a message of
/// any size; beside a state of many zones this many are little.
pub const SUBSCRIBERS_PER_REPORT: usize = 50;

/// A change of the group itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum MembershipChange {
    /// Begin a group of these members, all of them blank.
    Init {
        /// Their numbers and addresses.
        members: BTreeMap<u64, SocketAddr>,
        /// What the group begins with, where it takes the place of one that has lost its majority.
        restored: Option<Box<State>>,
    },
    /// Take a member in. It has to run, with an empty disk.
    Add {
        /// Its number.
        id: u64,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Let a member go.
    Remove {
        /// Its number.
        id: u64,
    },
    /// Write a snapshot now.
    Snapshot,
}

/// What became of a change of the group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum MembershipResult {
    /// It is so now.
    Done,
    /// It was not done.
    Refused {
        /// Why.
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
