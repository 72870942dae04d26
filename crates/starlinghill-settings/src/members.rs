//! The list of backends in discovery's JSON.

use serde::Deserialize;
use std::net::SocketAddr;

/// The list of backends from discovery, complete or as changes.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct MemberList {
    /// The version of the list.
    pub revision: u64,
    /// Whether all members are listed, not just those that changed.
    #[serde(default)]
    pub complete: bool,
    /// The backends.
    pub members: Vec<Member>,
}

/// One backend, as discovery reports it.
#[derive(Debug, Clone, Deserialize)]
pub struct Member {
    /// Its name, the same at every gateway.
    pub id: String,
    /// Address of the backend as seen from this gateway.
    pub host_port: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub locality: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u64,
    /// Whether it takes new requests.
    pub phase: Phase,
    /// Its capacity relative to the others.
    #[serde(default = "one")]
    pub size: f64,
    /// When it last started, in Unix time in milliseconds; 0: long ago.
    #[serde(default)]
    pub up_since_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// Whether a backend takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It takes new requests.
    Ready,
    /// It finishes the requests that it has.
    Draining,
    /// It was removed.
    Gone,
}
