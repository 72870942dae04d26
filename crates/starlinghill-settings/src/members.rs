//! Discovery's list of backends, as it comes in JSON.

use serde::Deserialize;
use std::net::SocketAddr;

/// Discovery's form of the list of backends, whole or as changes.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct MemberList {
    /// The list's version.
    pub revision: u64,
    /// It holds every member, not just those that changed.
    #[serde(default)]
    pub complete: bool,
    /// The entries.
    pub members: Vec<Member>,
}

/// One backend, as discovery tells of it.
#[derive(Debug, Clone, Deserialize)]
pub struct Member {
    /// Its name, the same at every gateway.
    pub id: String,
    /// Where it listens, as seen from this gateway.
    pub host_port: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub locality: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u64,
    /// Whether it takes work.
    pub phase: Phase,
    /// Its size against the others.
    #[serde(default = "one")]
    pub size: f64,
    /// When it last started, Unix time in milliseconds; 0: long ago.
    #[serde(default)]
    pub up_since_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// Whether a backend takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It takes work.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It was taken away.
    Gone,
}
