//! The configuration of a gateway, from the environment and a JSON file.

use crate::peers::Peers;
use serde::Deserialize;
use starlinghill_discovery::{Follower, Source};
use starlinghill_settings::members::MemberList;
use starlinghill_settings::{flatten, Fields, NamedSettings};
use std::collections::{BTreeMap, BTreeSet};
use std::env;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A one-line description of why a configuration can't be used.
#[derive(Debug)]
pub struct ConfigError(String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
impl std::error::Error for ConfigError {}

impl From<starlinghill_decision::api::SettingsError> for ConfigError {
    fn from(e: starlinghill_decision::api::SettingsError) -> ConfigError {
        ConfigError(format!("settings: {e}"))
    }
}

/// The configuration file. Its fields are the keys of the file.
#[derive(Deserialize)]
struct Document {
    listen: Option<SocketAddr>,
    ops: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    counter: Option<SocketAddr>,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    #[serde(default)]
    known: MemberList,
    settings: serde_json::Value,
}

/// Limits of the process: file descriptors and memory in MiB.
#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    #[serde(default = "enough")]
    memory_mb: usize,
}

/// The default of `memory_mb`, in MiB.
fn enough() -> usize {
    192
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { sockets: 1024, memory_mb: enough() }
    }
}

/// The addresses of the services that a gateway calls. A new configuration may change them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Upstreams {
    /// The service that lists the backends.
    pub discovery: SocketAddr,
    /// The counter that all gateways share.
    pub counter: Option<SocketAddr>,
}

impl fmt::Display for Upstreams {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "discovery {}", self.discovery)?;
        self.counter.map_or(Ok(()), |counter| write!(f, ", counter {counter}"))
    }
}

/// The set of keys in a configuration file; all items of a list count as one. A file that lost keys, for
/// instance because it was cut short, is rejected on reload.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigKeys(BTreeSet<String>);

impl ConfigKeys {
    /// Collects the keys of a document. Of the items of a list only the keys that all of them have count.
    fn of(document: &serde_json::Value) -> ConfigKeys {
        let mut keys = BTreeSet::new();
        ConfigKeys::walk("", document, &mut keys);
        ConfigKeys(keys)
    }

    fn walk(prefix: &str, value: &serde_json::Value, keys: &mut BTreeSet<String>) {
        use serde_json::Value;
        match value {
            Value::Object(fields) => {
                for (name, value) in fields {
                    // The list of known backends may be shorter than before.
                    if prefix.is_empty() && name == "known" {
                        continue;
                    }
                    let key = if prefix.is_empty() { name.clone() } else { format!("{prefix}.{name}") };
                    ConfigKeys::walk(&key, value, keys);
                    keys.insert(key);
                }
            }
            Value::Array(items) if items.iter().all(Value::is_object) => {
                let per_item = items.iter().map(|item| {
                    let mut keys = BTreeSet::new();
                    ConfigKeys::walk(&format!("{prefix}[]"), item, &mut keys);
                    keys
                });
                keys.extend(per_item.reduce(|common, keys| &common & &keys).unwrap_or_default());
            }
            _ => {}
        }
    }

    /// The first key that is missing in `other`.
    fn missing_in<'a>(&'a self, other: &'a ConfigKeys) -> Option<&'a str> {
        self.0.difference(&other.0).map(String::as_str).next()
    }
}

/// The parts of a reloaded configuration that take effect at once.
pub struct Reloaded {
    /// The addresses of discovery and the counter.
    pub upstreams: Upstreams,
    /// The settings, of which only classes and attempt limits are applied.
    pub site: NamedSettings,
}

impl Reloaded {
    /// Reads the configuration file again, completely or not at all. Addresses in the file take precedence
    /// over the environment, which can't change after the start. Everything but services, classes and attempt
    /// limits takes effect at the next start only.
    pub fn from_file(keys: &ConfigKeys) -> Result<Reloaded, ConfigError> {
        let (path, text) = read_file()?;
        let with_path = |e: ConfigError| ConfigError(format!("{path}: {e}"));
        Reloaded::parse(&text, from_environment("NODE_LISTEN")?, keys).map_err(with_path)
    }

    fn parse(text: &str, listen: Option<SocketAddr>, keys: &ConfigKeys) -> Result<Reloaded, ConfigError> {
        let config = Config::parse(text, listen, None)?;
        if let Some(key) = keys.missing_in(&config.keys) {
            return Err(ConfigError(format!("{key}: expected as at the start, found nothing")));
        }
        Ok(Reloaded { upstreams: config.upstreams(), site: config.site })
    }
}

/// Returns the path and the text of the configuration file.
fn read_file() -> Result<(String, String), ConfigError> {
    let path = env::var("NODE_CONFIG").map_err(|_| ConfigError("NODE_CONFIG is not set".into()))?;
    let text = std::fs::read_to_string(&path).map_err(|e| ConfigError(format!("{path}: {e}")))?;
    Ok((path, text))
}

fn from_environment(name: &str) -> Result<Option<SocketAddr>, ConfigError> {
    let Ok(text) = env::var(name) else { return Ok(None) };
    let invalid = |_| ConfigError(format!("{name}: expected an address and a port, found '{text}'"));
    text.parse().map(Some).map_err(invalid)
}

/// The configuration of a gateway.
pub struct Config {
    pub(crate) name: String,
    pub(crate) listen: SocketAddr,
    pub(crate) discovery: SocketAddr,
    pub(crate) counter: Option<SocketAddr>,
    /// The addresses of the other gateways, if messages to them are enabled.
    pub(crate) peers: Option<Peers>,
    pub(crate) seed: u64,
    pub(crate) known: MemberList,
    pub(crate) site: NamedSettings,
    pub(crate) keys: ConfigKeys,
    /// The address of the operators' HTTP port.
    pub(crate) ops: Option<SocketAddr>,
    /// The descriptor number of the inherited client socket, which other processes of this gateway have as
    /// well.
    pub(crate) inherited: Option<u32>,
    /// A folder that the processes of this gateway share.
    pub(crate) folder: Option<PathBuf>,
    pub(crate) sockets: SocketLimits,
    /// The memory that the process may use, in bytes.
    pub(crate) memory: usize,
    /// Time limit for opening a connection to a backend.
    pub(crate) dial_timeout: std::time::Duration,
    /// Backends close connections that were idle for this long.
    pub(crate) conn_idle: std::time::Duration,
}

/// The limits on connections of each kind, so that no kind can use up the file descriptors of another.
#[derive(Debug, Clone, Copy)]
pub struct SocketLimits {
    /// Connections from clients.
    pub clients: usize,
    /// Connections to backends.
    pub backends: usize,
    /// Connections to the counter, which resets connections beyond 32.
    pub counter: usize,
}

impl SocketLimits {
    fn of(sockets: usize) -> SocketLimits {
        // At least a sixteenth is left for the standard streams, the listener, epoll and discovery.
        let counter = (sockets / 16).clamp(1, 32);
        SocketLimits { clients: (sockets / 2).max(1), backends: (sockets / 4).max(1), counter }
    }
}

impl Config {
    /// Reads the environment and the file that `NODE_CONFIG` names.
    pub fn from_environment() -> Result<Config, ConfigError> {
        let (path, text) = read_file()?;
        Config::parse(&text, from_environment("NODE_LISTEN")?, from_environment("NODE_DISCOVERY")?)
            .and_then(|c| c.apply_environment())
            .map_err(|e| ConfigError(format!("{path}: {e}")))
    }

    fn apply_environment(self) -> Result<Config, ConfigError> {
        let inherited = match env::var("NODE_ACCEPT_FD") {
            Ok(text) => {
                Some(text.parse::<u32>().ok().filter(|fd| (3..1 << 20).contains(fd)).ok_or_else(|| {
                    ConfigError(format!("NODE_ACCEPT_FD: expected a descriptor from 3, found '{text}'"))
                })?)
            }
            Err(_) => None,
        };
        let name = env::var("NODE_NAME").unwrap_or_default();
        let folder = env::var_os("TMPDIR").map(PathBuf::from).filter(|folder| folder.is_dir());
        Ok(Config { name, inherited, folder, ops: from_environment("NODE_OPS")?.or(self.ops), ..self })
    }

    /// The name of this gateway; empty if the platform names none.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The zone of this gateway; empty if the platform names none.
    pub fn zone(&self) -> &str {
        self.site.zone_name(self.site.settings.zone).unwrap_or_default()
    }

    /// The keys in the configuration file.
    pub fn keys(&self) -> &ConfigKeys {
        &self.keys
    }

    /// The settings, with the names that they define.
    pub fn site(&self) -> &NamedSettings {
        &self.site
    }

    /// The seed of the random numbers.
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// The follower of the backend list. It starts from the known list in the configuration, if there is one.
    pub fn follower(&self) -> Follower {
        let known = (!self.known.members.is_empty()).then_some(self.known.revision);
        let settings = &self.site.settings;
        let source = if settings.must_subscribe { Source::Shared } else { Source::Agent };
        Follower::new(self.seed, source, settings.gateways, known)
    }

    /// The addresses of discovery and the counter.
    pub fn upstreams(&self) -> Upstreams {
        Upstreams { discovery: self.discovery, counter: self.counter }
    }

    /// Parses a configuration file. `listen` and `discovery` from the environment take precedence over its
    /// own.
    pub fn parse(
        text: &str,
        listen: Option<SocketAddr>,
        discovery: Option<SocketAddr>,
    ) -> Result<Config, ConfigError> {
        let json_error = |e: serde_json::Error| ConfigError(e.to_string());
        let document: serde_json::Value = serde_json::from_str(text).map_err(json_error)?;
        let keys = ConfigKeys::of(&document);
        let document: Document = serde_json::from_str(text).map_err(json_error)?;
        let seed = u64::from_str_radix(&document.seed, 16)
            .map_err(|_| ConfigError(format!("seed: expected 16 hex digits, found '{}'", document.seed)))?;
        let mut names = BTreeMap::new();
        flatten("", &document.settings, &mut names);
        let pairs = names.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
        let fields = Fields { place: "settings".into(), message: "settings", pairs };
        let field_error = |e: starlinghill_settings::FieldError| ConfigError(e.0);
        let mut site = NamedSettings::from_fields(&fields).map_err(field_error)?;
        site.settings.check()?;
        let duration = |name, default| {
            fields
                .micros_or(name, default)
                .map(|m| std::time::Duration::from_micros(m.0))
                .map_err(field_error)
        };
        let missing = |key: &str| ConfigError(format!("{key}: expected an address, found nothing"));
        if site.settings.counter && document.counter.is_none() {
            return Err(missing("counter"));
        }
        let (per_s, own_number) = (site.settings.peers_per_s, site.settings.me as usize);
        let gateways = site.settings.gateways as usize;
        let peers = match document.peer_listen.filter(|_| per_s > 0.0) {
            Some(listen) if document.peers.len() == gateways => {
                Some(Peers { listen, all: document.peers, own_number, per_s })
            }
            Some(_) => {
                let found = document.peers.len();
                let text =
                    format!("peers: expected one address for each of {gateways} gateways, found {found}");
                return Err(ConfigError(text));
            }
            None => None,
        };
        // Without addresses of the others there is nobody to send messages to.
        site.settings.peers_per_s = peers.as_ref().map_or(0.0, |_| per_s);
        Ok(Config {
            keys,
            ops: document.ops,
            inherited: None,
            folder: None,
            peers,
            name: String::new(),
            listen: listen.or(document.listen).ok_or_else(|| missing("listen"))?,
            discovery: discovery.or(document.discovery).ok_or_else(|| missing("discovery"))?,
            counter: document.counter,
            seed,
            known: document.known,
            dial_timeout: duration("bounds.dial_timeout", 250_000)?,
            conn_idle: duration("bounds.conn_idle", 15_000_000)?,
            site,
            sockets: SocketLimits::of(document.limits.sockets),
            memory: document.limits.memory_mb.saturating_mul(1 << 20).min(1 << 32),
        })
    }
}
