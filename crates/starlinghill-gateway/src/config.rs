//! What the platform tells a gateway: the environment and the configuration file.

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

/// A configuration that a gateway can't start with; one plain line.
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

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    #[serde(default = "enough")]
    memory_mb: usize,
}

fn enough() -> usize {
    192
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { sockets: 1024, memory_mb: enough() }
    }
}

/// The services that a gateway calls, which a new configuration may move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Upstreams {
    /// Discovery.
    pub discovery: SocketAddr,
    /// The shared counter.
    pub counter: Option<SocketAddr>,
}

impl fmt::Display for Upstreams {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "discovery {}", self.discovery)?;
        self.counter.map_or(Ok(()), |counter| write!(f, ", counter {counter}"))
    }
}

/// The keys that a configuration has, with items of a list counted as one. Guards against taking a file that was cut short
/// or lost a key for one that sets less.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shape(BTreeSet<String>);

impl Shape {
    /// Of a list's items only the keys that all of them have.
    fn of(document: &serde_json::Value) -> Shape {
        let mut keys = BTreeSet::new();
        Shape::walk("", document, &mut keys);
        Shape(keys)
    }

    fn walk(prefix: &str, value: &serde_json::Value, keys: &mut BTreeSet<String>) {
        use serde_json::Value;
        match value {
            Value::Object(fields) => {
                for (name, value) in fields {
                    // What is known of the backends may well be less than before.
                    if prefix.is_empty() && name == "known" {
                        continue;
                    }
                    let key = if prefix.is_empty() { name.clone() } else { format!("{prefix}.{name}") };
                    Shape::walk(&key, value, keys);
                    keys.insert(key);
                }
            }
            Value::Array(items) if items.iter().all(Value::is_object) => {
                let all = items.iter().map(|item| {
                    let mut keys = BTreeSet::new();
                    Shape::walk(&format!("{prefix}[]"), item, &mut keys);
                    keys
                });
                keys.extend(all.reduce(|some, more| &some & &more).unwrap_or_default());
            }
            _ => {}
        }
    }

    /// The first key that is missing in another.
    fn missing_in<'a>(&'a self, other: &'a Shape) -> Option<&'a str> {
        self.0.difference(&other.0).map(String::as_str).next()
    }
}

/// What a configuration that was read again changes.
pub struct Reloaded {
    /// The services.
    pub upstreams: Upstreams,
    /// The settings, of which classes and attempts are followed.
    pub site: NamedSettings,
}

impl Reloaded {
    /// Reads the configuration's file again, whole or not at all. It goes before the environment, which is as it was at the
    /// start; but for services, classes and attempts, what it says takes effect with the next start only.
    pub fn from_file(shape: &Shape) -> Result<Reloaded, ConfigError> {
        let (path, text) = file()?;
        let named = |e: ConfigError| ConfigError(format!("{path}: {e}"));
        Reloaded::parse(&text, from_environment("NODE_LISTEN")?, shape).map_err(named)
    }

    fn parse(text: &str, listen: Option<SocketAddr>, shape: &Shape) -> Result<Reloaded, ConfigError> {
        let config = Config::parse(text, listen, None)?;
        if let Some(key) = shape.missing_in(&config.shape) {
            return Err(ConfigError(format!("{key}: expected as at the start, found nothing")));
        }
        Ok(Reloaded { upstreams: config.upstreams(), site: config.site })
    }
}

/// The configuration's path and text.
fn file() -> Result<(String, String), ConfigError> {
    let path = env::var("NODE_CONFIG").map_err(|_| ConfigError("NODE_CONFIG is not set".into()))?;
    let text = std::fs::read_to_string(&path).map_err(|e| ConfigError(format!("{path}: {e}")))?;
    Ok((path, text))
}

fn from_environment(name: &str) -> Result<Option<SocketAddr>, ConfigError> {
    let Ok(text) = env::var(name) else { return Ok(None) };
    let wrong = |_| ConfigError(format!("{name}: expected an address and a port, found '{text}'"));
    text.parse().map(Some).map_err(wrong)
}

/// All that a gateway is told at its start.
pub struct Config {
    pub(crate) name: String,
    pub(crate) listen: SocketAddr,
    pub(crate) discovery: SocketAddr,
    pub(crate) counter: Option<SocketAddr>,
    /// The other gateways, where they may be told something.
    pub(crate) peers: Option<Peers>,
    pub(crate) seed: u64,
    pub(crate) known: MemberList,
    pub(crate) site: NamedSettings,
    pub(crate) shape: Shape,
    /// The operators' door.
    pub(crate) ops: Option<SocketAddr>,
    /// The number of the inherited socket for clients, which other processes of this gateway have as well.
    pub(crate) inherited: Option<u32>,
    /// A folder that the processes of this gateway share.
    pub(crate) folder: Option<PathBuf>,
    pub(crate) sockets: SocketLimits,
    /// In bytes.
    pub(crate) memory: usize,
    /// An attempt's connection must be made within this.
    pub(crate) dial_timeout: std::time::Duration,
    /// A backend closes a connection that stood idle for this long.
    pub(crate) conn_idle: std::time::Duration,
}

/// How the descriptors are shared out, so that no kind of connection can starve another.
#[derive(Debug, Clone, Copy)]
pub struct SocketLimits {
    /// From clients.
    pub clients: usize,
    /// To backends.
    pub backends: usize,
    /// To the counter, which resets more than 32.
    pub counter: usize,
}

impl SocketLimits {
    fn of(sockets: usize) -> SocketLimits {
        // The rest, at least a sixteenth, is for standard streams, the listener, epoll and discovery.
        let counter = (sockets / 16).clamp(1, 32);
        SocketLimits { clients: (sockets / 2).max(1), backends: (sockets / 4).max(1), counter }
    }
}

impl Config {
    /// Reads the environment and the file that it names.
    pub fn from_environment() -> Result<Config, ConfigError> {
        let (path, text) = file()?;
        Config::parse(&text, from_environment("NODE_LISTEN")?, from_environment("NODE_DISCOVERY")?)
            .and_then(|c| c.under_environment())
            .map_err(|e| ConfigError(format!("{path}: {e}")))
    }

    fn under_environment(self) -> Result<Config, ConfigError> {
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

    /// The gateway's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The zone that the gateway is in; empty where the platform names none.
    pub fn zone(&self) -> &str {
        self.site.zone_name(self.site.settings.zone).unwrap_or_default()
    }

    /// The keys that it has.
    pub fn shape(&self) -> &Shape {
        &self.shape
    }

    /// The settings and their names.
    pub fn site(&self) -> &NamedSettings {
        &self.site
    }

    /// The seed for random numbers.
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// How it follows the list of backends: from what it knows, if that is a list.
    pub fn follower(&self) -> Follower {
        let known = (!self.known.members.is_empty()).then_some(self.known.revision);
        let settings = &self.site.settings;
        let source = if settings.must_subscribe { Source::Shared } else { Source::Agent };
        Follower::new(self.seed, source, settings.gateways, known)
    }

    /// The services that it names.
    pub fn upstreams(&self) -> Upstreams {
        Upstreams { discovery: self.discovery, counter: self.counter }
    }

    /// Reads a configuration; addresses from the environment go before its own.
    pub fn parse(
        text: &str,
        listen: Option<SocketAddr>,
        discovery: Option<SocketAddr>,
    ) -> Result<Config, ConfigError> {
        let plain = |e: serde_json::Error| ConfigError(e.to_string());
        let document: serde_json::Value = serde_json::from_str(text).map_err(plain)?;
        let shape = Shape::of(&document);
        let document: Document = serde_json::from_str(text).map_err(plain)?;
        let seed = u64::from_str_radix(&document.seed, 16)
            .map_err(|_| ConfigError(format!("seed: expected 16 hex digits, found '{}'", document.seed)))?;
        let mut names = BTreeMap::new();
        flatten("", &document.settings, &mut names);
        let pairs = names.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
        let fields = Fields { place: "settings".into(), message: "settings", pairs };
        let plain = |e: starlinghill_settings::FieldError| ConfigError(e.0);
        let mut site = NamedSettings::from_fields(&fields).map_err(plain)?;
        site.settings.check()?;
        let span = |name, default| {
            fields.micros_or(name, default).map(|m| std::time::Duration::from_micros(m.0)).map_err(plain)
        };
        let missing = |what: &str| ConfigError(format!("{what}: expected an address, found nothing"));
        if site.settings.counter && document.counter.is_none() {
            return Err(missing("counter"));
        }
        let (per_s, me) = (site.settings.peers_per_s, site.settings.me as usize);
        let gateways = site.settings.gateways as usize;
        let peers = match document.peer_listen.filter(|_| per_s > 0.0) {
            Some(listen) if document.peers.len() == gateways => {
                Some(Peers { listen, all: document.peers, me, per_s })
            }
            Some(_) => {
                let found = document.peers.len();
                let text =
                    format!("peers: expected one address for each of {gateways} gateways, found {found}");
                return Err(ConfigError(text));
            }
            None => None,
        };
        // Without a way to the others nothing is to be said to them.
        site.settings.peers_per_s = peers.as_ref().map_or(0.0, |_| per_s);
        Ok(Config {
            shape,
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
            dial_timeout: span("bounds.dial_timeout", 250_000)?,
            conn_idle: span("bounds.conn_idle", 15_000_000)?,
            site,
            sockets: SocketLimits::of(document.limits.sockets),
            memory: document.limits.memory_mb.saturating_mul(1 << 20).min(1 << 32),
        })
    }
}
