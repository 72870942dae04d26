//! Reading values of settings and configurations: every fault is named with its place, what was found and what is allowed,
//! and all faults of a document are found at once.

use simd_json::prelude::*;
use simd_json::OwnedValue;
use starlinghill_config_model::routing::parse_duration;
use std::time::Duration;

/// The most faults that are named of one document.
const MOST: usize = 32;

/// One thing that is wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Where, as `table.key`.
    pub key: String,
    /// What stands there.
    pub found: String,
    /// What may stand there.
    pub allowed: &'static str,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: found {}, allowed: {}", self.key, self.found, self.allowed)
    }
}

/// Collects what is wrong with a document.
#[derive(Debug, Default)]
pub struct Faults {
    faults: Vec<Fault>,
}

impl Faults {
    /// Notes one.
    pub fn add(&mut self, key: impl Into<String>, found: Option<&OwnedValue>, allowed: &'static str) {
        let mut found = found.map_or_else(|| "nothing".into(), |v| v.encode());
        if found.len() > 60 {
            let end = (0..=60).rev().find(|i| found.is_char_boundary(*i)).unwrap_or(0);
            found.truncate(end);
            found.push_str("...");
        }
        if self.faults.len() < MOST {
            self.faults.push(Fault { key: key.into(), found, allowed });
        }
    }

    /// The document's worth: whole, or all that is wrong with it.
    pub fn settle<T>(self, value: T) -> Result<T, Vec<Fault>> {
        match self.faults.is_empty() {
            true => Ok(value),
            false => Err(self.faults),
        }
    }
}

/// A place in a document.
#[derive(Clone)]
pub struct At<'a> {
    /// What stands there.
    pub value: Option<&'a OwnedValue>,
    /// Its path.
    pub path: String,
}

impl<'a> At<'a> {
    /// The whole document.
    pub fn root(value: &'a OwnedValue) -> At<'a> {
        At { value: Some(value), path: String::new() }
    }

    /// What stands under a key.
    pub fn at(&self, key: &str) -> At<'a> {
        let path = if self.path.is_empty() { key.to_string() } else { format!("{}.{key}", self.path) };
        At { value: self.value.and_then(|v| v.get(key)), path }
    }

    /// Something stands here.
    pub fn is_there(&self) -> bool {
        self.value.is_some_and(|v| !v.is_null())
    }

    /// The places of a list; what is no list is a fault, nothing is an empty one.
    pub fn list(&self, faults: &mut Faults) -> Vec<At<'a>> {
        match self.value.map(|v| v.as_array()) {
            None => Vec::new(),
            Some(Some(list)) => list
                .iter()
                .enumerate()
                .map(|(i, v)| At { value: Some(v), path: format!("{}[{i}]", self.path) })
                .collect(),
            Some(None) => {
                faults.add(&self.path, self.value, "a list");
                Vec::new()
            }
        }
    }

    fn need<T: Default>(&self, faults: &mut Faults, found: Option<T>, allowed: &'static str) -> T {
        if found.is_none() {
            faults.add(&self.path, self.value, allowed);
        }
        found.unwrap_or_default()
    }

    /// A text that is not empty.
    pub fn text(&self, faults: &mut Faults) -> String {
        let found = self.value.and_then(|v| v.as_str()).filter(|v| !v.is_empty()).map(str::to_string);
        self.need(faults, found, "a text that is not empty")
    }

    /// A whole number of 0 or more.
    pub fn count(&self, faults: &mut Faults) -> u64 {
        let found = self.value.and_then(|v| v.as_u64());
        self.need(faults, found, "a whole number of 0 or more")
    }

    /// A number of 0 or more.
    pub fn number(&self, faults: &mut Faults) -> f64 {
        let found = self.value.and_then(|v| v.cast_f64()).filter(|v| v.is_finite() && *v >= 0.0);
        self.need(faults, found, "a number of 0 or more")
    }

    /// True or false; false where nothing stands.
    pub fn flag(&self, faults: &mut Faults) -> bool {
        match self.value {
            None => false,
            Some(v) => self.need(faults, v.as_bool(), "true or false"),
        }
    }

    /// A time, as in `1500ms` or `2.5s`.
    pub fn time(&self, faults: &mut Faults) -> Duration {
        let found = self.value.and_then(|v| v.as_str()).and_then(parse_duration);
        self.need(faults, found, "a time such as \"1500ms\" or \"2.5s\"")
    }

    /// An address with a port.
    pub fn address(&self, faults: &mut Faults) -> Option<std::net::SocketAddr> {
        let found = self.value.and_then(|v| v.as_str()).and_then(|v| v.parse().ok());
        if found.is_none() {
            faults.add(&self.path, self.value, "an IP address with a port");
        }
        found
    }
}
