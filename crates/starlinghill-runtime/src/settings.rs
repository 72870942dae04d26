//! What a process is told at its start: the settings file that `STARLINGHILL_CONFIG` names.

use crate::validation::{DocumentValue, ValidationError, ValidationErrors};
use simd_json::OwnedValue;
use snafu::{ResultExt, Snafu};
use starlinghill_rate_limit::Allowance;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The variable that names the file.
pub const SETTINGS_VARIABLE: &str = "STARLINGHILL_CONFIG";

/// Where the file does not say how long a machine counts as lost once it is back.
const DEFAULT_SYNC_TIME: Duration = Duration::from_secs(4);

/// Settings that a process can't start with.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The variable is not set.
    #[snafu(display("{SETTINGS_VARIABLE}: found nothing, allowed: the path of the settings file"))]
    Unnamed,
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable {
        /// Which.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// It is no TOML.
    #[snafu(display("{}: not TOML: {}", path.display(), problem))]
    Unparsable {
        /// Which.
        path: PathBuf,
        /// Why.
        problem: String,
    },
    /// Values that may not stand there.
    #[snafu(display("{}: {}", path.display(), faults.iter().map(|f| f.to_string()).collect::<Vec<_>>().join("; ")))]
    Faulty {
        /// Which.
        path: PathBuf,
        /// All of them.
        faults: Vec<ValidationError>,
    },
}

/// The rules' figures.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// A drain takes hold within this.
    pub drain: Duration,
    /// A configuration takes hold within this.
    pub apply: Duration,
    /// A machine that is new, or back, counts as lost for so long.
    pub sync_time: Duration,
    /// A process that was told to end is killed after this.
    pub grace: Duration,
    /// Further tries for each request.
    pub retry_ratio: f64,
    /// Further tries beyond that, all machines together.
    pub retry_extra: f64,
    /// The window of quotas.
    pub quota_window: Duration,
    /// What may go on beyond a quota, as a part of it.
    pub quota_excess: f64,
    /// What may go on beyond that.
    pub quota_extra: f64,
}

impl Bounds {
    /// What tenants may have beyond their quotas.
    pub fn allowance(&self) -> Allowance {
        let window_s = self.quota_window.as_secs_f64();
        Allowance { window_s, excess: self.quota_excess, extra: self.quota_extra }
    }
}

/// A process's settings.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// The machine's name.
    pub name: String,
    /// Its address.
    pub ip: IpAddr,
    /// Its zone.
    pub zone: String,
    /// The whole system starts for the first time, with empty disks.
    pub first_start: bool,
    /// Where files are kept, if anywhere.
    pub data_dir: Option<PathBuf>,
    /// The memory that it may use.
    pub memory_mb: u64,
    /// The descriptors that it may hold.
    pub open_files: u64,
    /// The first and last port for the system's own traffic.
    pub local_ports: (u16, u16),
    /// `control` addresses of some machines.
    pub seeds: Vec<SocketAddr>,
    /// Where clients arrive.
    pub front: Option<SocketAddr>,
    /// Where the platform asks whether the gateway is ready.
    pub ready: Option<SocketAddr>,
    /// Where backends and the operator call.
    pub control: Option<SocketAddr>,
    /// The time between two beats of a backend.
    pub beat: Duration,
    /// The rules' figures.
    pub bounds: Bounds,
}

impl NodeSettings {
    /// Reads the file that the environment names.
    pub fn from_environment() -> Result<NodeSettings, SettingsError> {
        let path = std::env::var_os(SETTINGS_VARIABLE).ok_or(SettingsError::Unnamed)?;
        NodeSettings::from_file(Path::new(&path))
    }

    /// Reads a file.
    pub fn from_file(path: &Path) -> Result<NodeSettings, SettingsError> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        let value: OwnedValue = toml::from_str(&text).map_err(|e| SettingsError::Unparsable {
            path: path.into(),
            problem: e.to_string().lines().collect::<Vec<_>>().join(" "),
        })?;
        NodeSettings::from_value(&value).map_err(|faults| SettingsError::Faulty { path: path.into(), faults })
    }

    /// Checks values; fields that are not known are ignored.
    pub fn from_value(value: &OwnedValue) -> Result<NodeSettings, Vec<ValidationError>> {
        let mut faults = ValidationErrors::default();
        let f = &mut faults;
        let root = DocumentValue::root(value);
        let (own, net, terms) = (root.at("self"), root.at("network"), root.at("terms"));
        let (listen, bounds) = (net.at("listen"), terms.at("bounds"));
        let optional =
            |at: DocumentValue, f: &mut ValidationErrors| at.is_there().then(|| at.address(f)).flatten();
        let ip = own.at("ip");
        let address: Option<IpAddr> = ip.text(f).parse().ok();
        if address.is_none() && ip.is_there() {
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
        let data_dir = own.at("data_dir");
        let sync_time = bounds.at("sync_time");
        let node = NodeSettings {
            name: own.at("node").text(f),
            ip: address.unwrap_or(IpAddr::from([0, 0, 0, 0])),
            zone: own.at("zone").text(f),
            first_start: own.at("first_start").flag(f),
            data_dir: data_dir.is_there().then(|| data_dir.text(f).into()),
            memory_mb: own.at("limits").at("memory_mb").count(f),
            open_files: own.at("limits").at("open_files").count(f),
            local_ports,
            seeds,
            front: optional(listen.at("front"), f),
            ready: optional(listen.at("ready"), f),
            control: optional(listen.at("control"), f),
            beat: root.at("provider").at("beat").time(f),
            bounds: Bounds {
                drain: bounds.at("drain").time(f),
                apply: bounds.at("apply").time(f),
                sync_time: if sync_time.is_there() { sync_time.time(f) } else { DEFAULT_SYNC_TIME },
                grace: bounds.at("grace").time(f),
                retry_ratio: bounds.at("retry_ratio").number(f),
                retry_extra: bounds.at("retry_extra").number(f),
                quota_window: bounds.at("quota_window").time(f),
                quota_excess: bounds.at("quota_excess").number(f),
                quota_extra: bounds.at("quota_extra").number(f),
            },
        };
        faults.into_result(node)
    }

    /// How many of the system's own processes may be connected to one port of this one: half of the descriptors, as outside
    /// callers, files and its own calls need some. Each gateway has one connection to each registry, and one more to the one
    /// that keeps the count.
    pub fn max_peers(&self) -> usize {
        (self.open_files / 2).max(64) as usize
    }

    /// The address of one of the system's own ports on a machine.
    pub fn internal_address(&self, ip: IpAddr, port_offset: u16) -> SocketAddr {
        SocketAddr::new(ip, self.local_ports.0.saturating_add(port_offset))
    }
}
