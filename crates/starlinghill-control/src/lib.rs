//! The control service, run by the operators' program or inside a test. It follows discovery, keeps the state of the
//! fleet, and configures proxies over xDS.

pub mod group_follower;
pub mod program;

use starlinghill_control_state::fleet::EndpointLocation;
use starlinghill_control_state::ledger::LedgerSettings;
use starlinghill_decision::api::{Micros, PlanId, SettingsError};
use starlinghill_failover::topology::{Topology, TopologyProblem, Zone};
use starlinghill_gateway::config::{Config, Upstreams};
use starlinghill_gateway::discovery::{self, Follower, Source};
use starlinghill_operator_config::{Control, Group, Problem, Quotas};
use starlinghill_settings::NamedSettings;
use starlinghill_xds::hub::{self, Hub, Update};
use starlinghill_xds::resources::{QuotaFilterSettings, ResourceSettings};
use starlinghill_xds::server::{Limits, Service};
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tonic::transport::{Certificate, Identity, ServerTlsConfig};
use tracing::{info, warn};

/// Why the service could not start.
#[derive(Debug)]
pub enum StartError {
    /// The operators' file, or a file that it names, is invalid.
    Problems(Vec<Problem>),
    /// The platform's settings are inconsistent.
    Settings(SettingsError),
    /// It can't listen on its address.
    Listen(SocketAddr, std::io::Error),
    /// The name under which to follow the group is invalid.
    Group(TopologyProblem),
    /// TLS can't be set up.
    Tls(tonic::transport::Error),
    /// The discovery thread can't be started.
    Thread(std::io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Problems(problems) => {
                let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
            StartError::Settings(e) => write!(f, "settings: {e}"),
            StartError::Listen(at, e) => write!(f, "can't listen on {at}: {e}"),
            StartError::Group(e) => write!(f, "the group can't be followed: {e}"),
            StartError::Tls(e) => write!(f, "encryption: {e}"),
            StartError::Thread(e) => write!(f, "can't start a thread: {e}"),
        }
    }
}
impl std::error::Error for StartError {}

/// The service's configuration, validated as far as possible without starting the service.
pub struct Prepared {
    /// The section `[control]` of the operators' file.
    pub control: Control,
    /// The platform's settings, with the names of classes and plans.
    pub platform_settings: NamedSettings,
    /// Where the platform's configuration finds discovery.
    pub upstreams: Upstreams,
    seed: u64,
    plans: BTreeSet<PlanId>,
    tls: Option<ServerTlsConfig>,
    group: Option<Group>,
}

/// Reads and validates the operators' file and the files that it names.
pub fn prepare(path: &Path) -> Result<Prepared, Vec<Problem>> {
    let file = path.display().to_string();
    let problem =
        |line, key: &str, message: String| Problem { file: file.clone(), line, key: key.into(), message };
    let operators = starlinghill_operator_config::read(path)?;
    let Some(control) = operators.control else {
        return Err(vec![problem(0, "control", "expected a section [control], found nothing".into())]);
    };
    let mut problems = Vec::new();
    let platform =
        read_platform(&control.platform).map_err(|e| problems.push(problem(0, "control.platform", e)));
    let tls = read_tls(&control).map_err(|(key, e)| problems.push(problem(0, key, e)));
    let (Ok((platform_settings, upstreams, seed)), Ok(tls)) = (platform, tls) else { return Err(problems) };
    let mut plans: BTreeSet<PlanId> = platform_settings.plans.values().map(|&i| PlanId(i)).collect();
    if let Some(named) = control.quotas.as_ref().and_then(|q| q.plans.as_ref()) {
        plans.clear();
        for (name, line) in named {
            match platform_settings.plans.get(name) {
                Some(&i) => drop(plans.insert(PlanId(i))),
                None => {
                    let mut known: Vec<&str> = platform_settings.plans.keys().map(String::as_str).collect();
                    known.sort_unstable();
                    let message =
                        format!("expected plans of the platform ({}), found '{name}'", known.join(", "));
                    problems.push(problem(*line, "control.quotas.plans", message));
                }
            }
        }
    }
    if !problems.is_empty() {
        return Err(problems);
    }
    Ok(Prepared { control, platform_settings, upstreams, seed, plans, tls, group: operators.group })
}

/// Reads the platform's settings, the place of discovery and the random seed.
fn read_platform(path: &Path) -> Result<(NamedSettings, Upstreams, u64), String> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
    // The parser requires a listening address, which only gateways use.
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 0));
    let config = Config::parse(&text, Some(unused_address), None).map_err(|e| format!("{name}: {e}"))?;
    Ok((config.site().clone(), config.upstreams(), config.seed()))
}

fn read_tls(control: &Control) -> Result<Option<ServerTlsConfig>, (&'static str, String)> {
    let Some(tls) = &control.tls else { return Ok(None) };
    let read = |key, path: &Path| std::fs::read(path).map_err(|e| (key, format!("{}: {e}", path.display())));
    let certificate = read("control.tls.certificate", &tls.certificate)?;
    let identity = Identity::from_pem(certificate, read("control.tls.key", &tls.key)?);
    let mut config = ServerTlsConfig::new().identity(identity);
    if let Some(ca) = &tls.client_ca {
        config = config.client_ca_root(Certificate::from_pem(read("control.tls.client_ca", ca)?));
    }
    Ok(Some(config))
}

fn micros(span: Duration) -> Micros {
    Micros(span.as_micros() as u64)
}

/// Builds the hub's configuration: the proxies, their connection settings, and the regions of zones.
pub fn hub_plan(control: &Control, group: Option<&Group>) -> hub::OperatorConfig {
    let quotas = |q: &Quotas| QuotaFilterSettings {
        cluster: q.cluster.clone(),
        customer_header: q.customer_header.clone(),
        plan_header: q.plan_header.clone(),
        units_header: q.units_header.clone(),
        interval: micros(q.interval),
    };
    let proxy = |p: &starlinghill_operator_config::Proxy| hub::Proxy { id: p.id.clone(), listen: p.listen };
    let rank =
        |map: &Topology, region: &String| map.regions.iter().position(|r| r == region).unwrap_or(0) as u32;
    let locations = group.map(|group| {
        let zones = group.map.zones.iter();
        let location = |zone: &Zone| EndpointLocation {
            region: zone.region.clone(),
            rank: rank(&group.map, &zone.region),
        };
        zones.map(|(name, zone)| (name.clone(), location(zone))).collect()
    });
    hub::OperatorConfig {
        locations: locations.unwrap_or_default(),
        proxies: control.proxies.iter().map(proxy).collect(),
        resource_settings: ResourceSettings {
            connect_timeout: micros(control.connect_timeout),
            attempts_per_endpoint: control.attempts_out,
            quotas: control.quotas.as_ref().map(quotas),
        },
    }
}

/// Settings of the quota ledger. Without `[control.quotas]` no proxy uses quotas and the default times have no effect.
fn ledger_settings(control: &Control) -> LedgerSettings {
    let quotas = control.quotas.as_ref();
    let (max_customers, max_buckets) = (control.limits.customers, control.limits.buckets);
    LedgerSettings {
        lease: micros(quotas.map_or(Duration::from_secs(2), |q| q.lease)),
        allowance: micros(quotas.map_or(Duration::from_millis(500), |q| q.allowance)),
        max_customers,
        max_buckets,
    }
}

/// A running service.
pub struct Running {
    /// The address it listens on.
    pub address: SocketAddr,
    /// The hub, which publishes the fleet's state to the proxies' streams.
    pub hub: Hub,
    control: Control,
    stop: watch::Sender<bool>,
    upstreams: watch::Sender<Upstreams>,
    group_updater: Option<group_follower::SettingsUpdater>,
    server_task: JoinHandle<Result<(), tonic::transport::Error>>,
    hub_task: JoinHandle<()>,
}

/// Starts the service on the current Tokio runtime.
pub async fn start(prepared: Prepared) -> Result<Running, StartError> {
    let Prepared { control, platform_settings, upstreams, seed, plans, tls, group } = prepared;
    let listen = control.listen;
    let listener = TcpListener::bind(listen).await.map_err(|e| StartError::Listen(listen, e))?;
    let address = listener.local_addr().map_err(|e| StartError::Listen(listen, e))?;
    let (runner, hub) = hub::new(
        seed,
        platform_settings,
        hub_plan(&control, group.as_ref()),
        ledger_settings(&control),
        plans,
    )
    .map_err(StartError::Settings)?;
    let (upstreams, upstream_changes) = watch::channel(upstreams);
    follow_discovery(upstream_changes, hub.updates.clone()).map_err(StartError::Thread)?;
    let mut group_updater = None;
    if let Some(group) = group {
        let name = format!("control-{}", address.port());
        let subscription = group_follower::subscribe(&group, &name, "", None).map_err(StartError::Group)?;
        tokio::spawn(forward_zone_parts(subscription.parts, hub.updates.clone()));
        group_updater = Some(subscription.updater);
    }
    let hub_task = tokio::spawn(runner.run());
    let (stop, stopping) = watch::channel(false);
    let limits = control.limits;
    let limits = Limits {
        connections: limits.connections,
        streams: limits.streams,
        names_per_kind: limits.names,
        message_bytes: limits.message,
    };
    let service = Service::new(hub.clone(), limits, seed, stopping);
    let server_task = tokio::spawn(service.serve(listener, tls));
    info!(proxies = control.proxies.len(), %address, "listening");
    Ok(Running { address, hub, control, stop, upstreams, group_updater, server_task, hub_task })
}

/// Forwards the share of work of each zone to the hub, at the start and at each change.
async fn forward_zone_parts(
    mut parts: watch::Receiver<starlinghill_gateway::ZoneParts>,
    updates: tokio::sync::mpsc::Sender<Update>,
) {
    loop {
        let current = parts.borrow_and_update().clone();
        if updates.send(Update::ZoneShares(current)).await.is_err() {
            return;
        }
        tokio::select! {
            changed = parts.changed() => if changed.is_err() { return },
            () = updates.closed() => return,
        }
    }
}

/// Follows discovery on a separate thread, because the gateway's discovery client needs a single-threaded runtime.
fn follow_discovery(
    upstreams: watch::Receiver<Upstreams>,
    updates: tokio::sync::mpsc::Sender<Update>,
) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("discovery".into()).spawn(move || {
        runtime.block_on(async move {
            let mut closed = upstreams.clone();
            tokio::select! {
                () = discovery::watch(upstreams, Follower::new(0, Source::Agent, 1, None), updates) => {}
                // The service was stopped and has dropped the sender.
                () = async { while closed.changed().await.is_ok() {} } => {}
            }
        });
    })?;
    Ok(())
}

impl Running {
    /// Applies the settings that can change without a restart: the list of proxies, their connection settings, and the
    /// place of discovery. Other changes are logged and take effect at the next start.
    pub async fn reload(&mut self, prepared: Prepared) {
        let new = prepared.control;
        let needs_restart = [
            ("control.listen", new.listen != self.control.listen),
            ("control.tls", new.tls != self.control.tls),
            ("control.limits", new.limits != self.control.limits),
            ("control.quotas (times, plans)", ledger_settings(&new) != ledger_settings(&self.control)),
        ];
        for (key, _) in needs_restart.into_iter().filter(|(_, changed)| *changed) {
            warn!(key, "changed; takes effect at the next start");
        }
        match &self.group_updater {
            Some(updater) => updater.update(prepared.group.as_ref()),
            None if prepared.group.is_some() => warn!(key = "group", "added; takes effect at the next start"),
            None => {}
        }
        self.upstreams.send_replace(prepared.upstreams);
        if self
            .hub
            .updates
            .send(Update::OperatorConfig(hub_plan(&new, prepared.group.as_ref())))
            .await
            .is_ok()
        {
            info!(proxies = new.proxies.len(), "reloaded the operators' file");
        }
        self.control = new;
    }

    /// Stops the service. Streams end with UNAVAILABLE, and proxies keep their last configuration.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        match tokio::time::timeout(Duration::from_secs(10), self.server_task).await {
            Ok(Ok(Ok(()))) => {}
            Ok(Ok(Err(error))) => warn!(%error, "the server failed"),
            Ok(Err(error)) => warn!(%error, "the server task panicked or was cancelled"),
            Err(_) => warn!("stopped the server while some connections were still open"),
        }
        self.hub_task.abort();
    }

    /// Aborts the service at once, like a killed process.
    pub fn kill(self) {
        self.server_task.abort();
        self.hub_task.abort();
    }
}
