//! The file in which a process of a gateway leaves what it learned about servers to the process that replaces
//! it.

use serde::{Deserialize, Serialize};
use starlinghill_decision::api::{LearnedState, Micros, ServerId};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// Longest file that is read, in bytes. It bounds the memory that a file of another origin can take up.
const MAX_FILE_BYTES: u64 = 1 << 20;
/// The most servers that are written.
const MAX_SERVERS: usize = 4096;

/// The handover file of one gateway.
pub struct Handover {
    path: PathBuf,
}

/// The contents of the file. `at_us` is the time of writing in Unix microseconds. `per_weight` is how many units per
/// second a warm server gets for each unit of its weight. Each server has its id, its limit on attempts in flight,
/// and its usual response time in microseconds.
#[derive(Serialize, Deserialize)]
struct HandoverFile {
    version: u32,
    at_us: u64,
    per_weight: f64,
    servers: Vec<(u64, f64, f64)>,
}

/// The name of a file of this gateway in a folder that other gateways may use too.
pub(crate) fn file_name(gateway: &str, kind: &str) -> String {
    let safe_name: String =
        gateway.chars().filter(|c| c.is_ascii_alphanumeric() || *c == '-').take(64).collect();
    format!("starlinghill-{safe_name}-{kind}.json")
}

impl Handover {
    /// The handover file of this gateway in `folder`.
    pub fn at(folder: &Path, gateway: &str) -> Handover {
        Handover { path: folder.join(file_name(gateway, "learned")) }
    }

    /// Reads what an earlier process left. Returns `None` if the file is missing or can't be read, as it only
    /// saves time.
    pub fn read(&self) -> Option<LearnedState> {
        if fs::metadata(&self.path).ok()?.len() > MAX_FILE_BYTES {
            return None;
        }
        let file: HandoverFile = serde_json::from_str(&fs::read_to_string(&self.path).ok()?).ok()?;
        let servers = file.servers.into_iter().take(MAX_SERVERS);
        let servers = servers.map(|(id, limit, latency)| (ServerId(id), limit, latency)).collect();
        Some(LearnedState { at: Micros(file.at_us), per_weight: file.per_weight, servers })
            .filter(|_| file.version == 1)
    }

    /// Writes the file, completely or not at all.
    pub fn write(&self, learned: &LearnedState) -> io::Result<()> {
        let servers = learned.servers.iter().take(MAX_SERVERS);
        let servers = servers.map(|&(id, limit, latency)| (id.0, limit, latency)).collect();
        let file = HandoverFile { version: 1, at_us: learned.at.0, per_weight: learned.per_weight, servers };
        let new = self.path.with_extension(format!("{}.new", std::process::id()));
        fs::write(&new, serde_json::to_string(&file)?)?;
        fs::rename(&new, &self.path)
    }
}
