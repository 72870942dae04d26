//! What all gateways together have out at backends, kept where all of them ask anyway.
//!
//! Each gateway tells what it has out, as absolute numbers, so that a word which is lost or comes twice changes nothing that
//! the next one does not put right; it hears what the others have out where that changed.

use std::collections::{BTreeSet, HashMap};

/// The most backends that are kept, and gateways. Guards memory.
const MOST: usize = 20_000;
const MOST_GATEWAYS: usize = 256;

#[derive(Debug, Default)]
struct Backend {
    out: HashMap<u64, u16>,
    changed: u64,
}

/// The table.
#[derive(Debug, Default)]
pub struct Loads {
    backends: HashMap<u64, Backend>,
    seq: u64,
    /// Up to which change each gateway was told.
    told: HashMap<u64, u64>,
}

impl Loads {
    /// A gateway tells what it has out at some backends.
    pub fn tell(&mut self, from: u64, out: &[(u64, u16)]) {
        if !self.told.contains_key(&from) && self.told.len() >= MOST_GATEWAYS {
            return;
        }
        self.told.entry(from).or_default();
        for (name, out) in out {
            if self.backends.len() >= MOST && !self.backends.contains_key(name) {
                continue;
            }
            let backend = self.backends.entry(*name).or_default();
            let before = match out {
                0 => backend.out.remove(&from).unwrap_or(0),
                out => backend.out.insert(from, *out).unwrap_or(0),
            };
            if before != *out {
                self.seq += 1;
                backend.changed = self.seq;
            }
        }
    }

    /// What the others have out, at backends where that changed since this gateway heard last.
    pub fn hear(&mut self, from: u64) -> Vec<(u64, u16)> {
        let Some(told) = self.told.get_mut(&from) else { return Vec::new() };
        let since = std::mem::replace(told, self.seq);
        if since == self.seq {
            return Vec::new();
        }
        let others = |backend: &Backend| {
            let sum: u32 =
                backend.out.iter().filter(|(g, _)| **g != from).map(|(_, out)| u32::from(*out)).sum();
            sum.min(u32::from(u16::MAX)) as u16
        };
        let new = self.backends.iter().filter(|(_, backend)| backend.changed > since);
        new.map(|(name, backend)| (*name, others(backend))).collect()
    }

    /// Only these gateways are heard: what others had out is unknown, and counts no more.
    pub fn keep(&mut self, gateways: &BTreeSet<u64>) {
        let gone: Vec<u64> =
            self.told.keys().filter(|gateway| !gateways.contains(gateway)).copied().collect();
        for gateway in gone {
            self.told.remove(&gateway);
            for backend in self.backends.values_mut() {
                if backend.out.remove(&gateway).is_some() {
                    self.seq += 1;
                    backend.changed = self.seq;
                }
            }
        }
        // Those that all were told to have nothing out.
        let oldest = self.told.values().min().copied().unwrap_or(self.seq);
        self.backends.retain(|_, backend| !backend.out.is_empty() || backend.changed > oldest);
    }
}
