//! What the processes of one gateway leave to each other in the folder that they share: what was learned of the servers.

use serde::{Deserialize, Serialize};
use starlinghill_decision::api::{LearnedState, Micros, ServerId};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// The longest file that is read. Guards memory against a file that is none of ours.
const LONGEST: u64 = 1 << 20;
/// The most servers that are written.
const MOST_SERVERS: usize = 4096;

/// The file.
pub struct Handover {
    path: PathBuf,
}

#[derive(Serialize, Deserialize)]
struct Written {
    version: u32,
    at_us: u64,
    per_weight: f64,
    servers: Vec<(u64, f64, f64)>,
}

/// The part of a file's name that tells one gateway's from another's in the same folder.
pub(crate) fn file_name(gateway: &str, what: &str) -> String {
    let plain: String = gateway.chars().filter(|c| c.is_ascii_alphanumeric() || *c == '-').take(64).collect();
    format!("starlinghill-{plain}-{what}.json")
}

impl Handover {
    /// The file of this gateway in that folder.
    pub fn at(folder: &Path, gateway: &str) -> Handover {
        Handover { path: folder.join(file_name(gateway, "learned")) }
    }

    /// What an earlier process left; nothing where there is none or it can't be read, as it only spares time.
    pub fn read(&self) -> Option<LearnedState> {
        if fs::metadata(&self.path).ok()?.len() > LONGEST {
            return None;
        }
        let written: Written = serde_json::from_str(&fs::read_to_string(&self.path).ok()?).ok()?;
        let servers = written.servers.into_iter().take(MOST_SERVERS);
        let servers = servers.map(|(id, limit, latency)| (ServerId(id), limit, latency)).collect();
        Some(LearnedState { at: Micros(written.at_us), per_weight: written.per_weight, servers })
            .filter(|_| written.version == 1)
    }

    /// Leaves this, whole or not at all.
    pub fn write(&self, learned: &LearnedState) -> io::Result<()> {
        let servers = learned.servers.iter().take(MOST_SERVERS);
        let servers = servers.map(|&(id, limit, latency)| (id.0, limit, latency)).collect();
        let written = Written { version: 1, at_us: learned.at.0, per_weight: learned.per_weight, servers };
        let new = self.path.with_extension(format!("{}.new", std::process::id()));
        fs::write(&new, serde_json::to_string(&written)?)?;
        fs::rename(&new, &self.path)
    }
}
