//! Settings of a process, from the TOML file that `STARLINGHILL_CONFIG` names.

use crate::validation::{DocumentValue, ValidationError, ValidationErrors};
use simd_json::OwnedValue;
use snafu::{ResultExt, Snafu};
use starlinghill_rate_limit::Allowance;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "STARLINGHILL_CONFIG";

/// Default of `terms.bounds.sync_time`.
const DEFAULT_SYNC_TIME: Duration = Duration::from_secs(4);

/// Why settings can't be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The environment variable is not set.
    #[snafu(display("{SETTINGS_VARIABLE}: found nothing, allowed: the path of the settings file"))]
    VariableNotSet,
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The underlying error.
        source: std::io::Error,
    },
    /// The file is not valid TOML.
    #[snafu(display("{}: not TOML: {}", path.display(), problem))]
    Unparsable {
        /// Path of the file.
        path: PathBuf,
        /// The parser's message, on one line.
        problem: String,
    },
    /// Some values are missing or invalid.
    #[snafu(display("{}: {}", path.display(), errors.iter().map(|e| e.to_string()).collect::<Vec<_>>().join("; ")))]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// All errors in the file.
        errors: Vec<ValidationError>,
    },
}

/// The limits of the service agreement, as in `terms.bounds` of the settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Time within which an ordered drain of a backend must take effect.
    pub drain: Duration,
    /// Time within which a configuration change must take effect, and for which outdated configuration may be used.
    pub apply: Duration,
    /// Time for which a machine that is new, or back after a failure, still counts as failed.
    pub sync_time: Duration,
    /// Time between SIGTERM and the kill of the process.
    pub grace: Duration,
    /// Permitted retries as a fraction of the requests.
    pub retry_ratio: f64,
    /// Permitted retries on top of `retry_ratio`, for all machines together.
    pub retry_extra: f64,
    /// Length of the window over which quotas are measured.
    pub quota_window: Duration,
    /// Permitted excess over a quota, as a fraction of the quota.
    pub quota_excess: f64,
    /// Permitted excess on top of `quota_excess`, in units per window.
    pub quota_extra: f64,
}

impl Bounds {
    /// How much tenants may use beyond their quotas.
    pub fn allowance(&self) -> Allowance {
        let window_s = self.quota_window.as_secs_f64();
        Allowance { window_s, excess: self.quota_excess, extra: self.quota_extra }
    }
}

/// The settings of a machine, shared by all its processes.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// Name of the machine.
    pub name: String,
    /// Address of the machine.
    pub ip: IpAddr,
    /// Zone of the machine.
    pub zone: String,
    /// The whole system starts for the first time, with empty disks.
    pub first_start: bool,
    /// Directory for files that must survive a restart, if the process has one.
    pub data_dir: Option<PathBuf>,
    /// Memory limit of the process, in MiB.
    pub memory_mb: u64,
    /// Limit of open file descriptors of the process.
    pub open_files: u64,
    /// First and last port for traffic between processes of the system.
    pub local_ports: (u16, u16),
    /// `control` addresses of some core machines, to find the others at start.
    pub seeds: Vec<SocketAddr>,
    /// Address for client requests; only proxies have it.
    pub front: Option<SocketAddr>,
    /// Address for the platform's readiness checks; only proxies have it.
    pub ready: Option<SocketAddr>,
    /// Address of the HTTP API for backends and the operator; only registries have it.
    pub control: Option<SocketAddr>,
    /// Time between two heartbeats of a backend.
    pub beat: Duration,
    /// The limits of the service agreement.
    pub bounds: Bounds,
}

impl NodeSettings {
    /// Reads the file that the environment variable names.
    pub fn from_environment() -> Result<NodeSettings, SettingsError> {
        let path = std::env::var_os(SETTINGS_VARIABLE).ok_or(SettingsError::VariableNotSet)?;
        NodeSettings::from_file(Path::new(&path))
    }

    /// Reads and checks a file.
    pub fn from_file(path: &Path) -> Result<NodeSettings, SettingsError> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        let value: OwnedValue = toml::from_str(&text).map_err(|e| SettingsError::Unparsable {
            path: path.into(),
            problem: e.to_string().lines().collect::<Vec<_>>().join(" "),
        })?;
        NodeSettings::from_value(&value)
            .map_err(|errors| SettingsError::Invalid { path: path.into(), errors })
    }

    /// Checks a parsed document. Unknown fields are ignored.
    pub fn from_value(value: &OwnedValue) -> Result<NodeSettings, Vec<ValidationError>> {
        let mut errors = ValidationErrors::default();
        let f = &mut errors;
        let root = DocumentValue::root(value);
        let (machine, net, terms) = (root.at("self"), root.at("network"), root.at("terms"));
        let (listen, bounds) = (net.at("listen"), terms.at("bounds"));
        let optional =
            |at: DocumentValue, f: &mut ValidationErrors| at.exists().then(|| at.address(f)).flatten();
        let ip = machine.at("ip");
        let address: Option<IpAddr> = ip.text(f).parse().ok();
        if address.is_none() && ip.exists() {
            f.add(&ip.path, ip.value, "an IP address");
        }
        let ports: Vec<u64> = net.at("local_ports").list(f).iter().map(|at| at.count(f)).collect();
        let port = |i: usize| ports.get(i).and_then(|p| u16::try_from(*p).ok());
        let local_ports = match (port(0), port(1)) {
            (Some(first), Some(last)) if first > 0 && first.saturating_add(2) <= last => (first, last),
            _ => {
                f.add("network.local_ports", net.at("local_ports").value, "two ports, three or more apart");
                (0, 0)
            }
        };
        let seeds = net.at("seeds").list(f).iter().filter_map(|at| at.address(f)).collect();
        let data_dir = machine.at("data_dir");
        let sync_time = bounds.at("sync_time");
        let node = NodeSettings {
            name: machine.at("node").text(f),
            ip: address.unwrap_or(IpAddr::from([0, 0, 0, 0])),
            zone: machine.at("zone").text(f),
            first_start: machine.at("first_start").flag(f),
            data_dir: data_dir.exists().then(|| data_dir.text(f).into()),
            memory_mb: machine.at("limits").at("memory_mb").count(f),
            open_files: machine.at("limits").at("open_files").count(f),
            local_ports,
            seeds,
            front: optional(listen.at("front"), f),
            ready: optional(listen.at("ready"), f),
            control: optional(listen.at("control"), f),
            beat: root.at("provider").at("beat").time(f),
            bounds: Bounds {
                drain: bounds.at("drain").time(f),
                apply: bounds.at("apply").time(f),
                sync_time: if sync_time.exists() { sync_time.time(f) } else { DEFAULT_SYNC_TIME },
                grace: bounds.at("grace").time(f),
                retry_ratio: bounds.at("retry_ratio").number(f),
                retry_extra: bounds.at("retry_extra").number(f),
                quota_window: bounds.at("quota_window").time(f),
                quota_excess: bounds.at("quota_excess").number(f),
                quota_extra: bounds.at("quota_extra").number(f),
            },
        };
        errors.into_result(node)
    }

    /// Maximum number of connections to one internal port of this process: half of the file descriptors, because HTTP
    /// callers, files and outgoing calls need the rest. Each gateway opens one connection to each registry and one
    /// more to the registry with the quota counter.
    pub fn max_peers(&self) -> usize {
        (self.open_files / 2).max(64) as usize
    }

    /// The internal address on a machine, by a port offset such as `REGISTRY_PORT_OFFSET`.
    pub fn internal_address(&self, ip: IpAddr, port_offset: u16) -> SocketAddr {
        SocketAddr::new(ip, self.local_ports.0.saturating_add(port_offset))
    }
}
