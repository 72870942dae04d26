//! The control service, to be run by its program or inside a test: it follows discovery, keeps the picture of the
//! fleet, and tells proxies over xDS.

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
    /// The operators' file, or what it names, can't be used.
    Problems(Vec<Problem>),
    /// The platform's settings make no sense.
    Settings(SettingsError),
    /// It could not listen.
    Listen(SocketAddr, std::io::Error),
    /// The group can't be followed.
    Group(TopologyProblem),
    /// Encryption could not be set up.
    Tls(tonic::transport::Error),
    /// A thread could not be started.
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

/// All that the service is told at its start, checked as far as it can be without starting.
pub struct Prepared {
    /// The operators' section.
    pub control: Control,
    /// The platform's settings with their names.
    pub site: NamedSettings,
    /// Discovery.
    pub upstreams: Upstreams,
    seed: u64,
    plans: BTreeSet<PlanId>,
    tls: Option<ServerTlsConfig>,
    group: Option<Group>,
}

/// Reads and checks the operators' file and what it names.
pub fn prepare(path: &Path) -> Result<Prepared, Vec<Problem>> {
    let file = path.display().to_string();
    let problem = |line, key: &str, what: String| Problem { file: file.clone(), line, key: key.into(), what };
    let operators = starlinghill_operator_config::read(path)?;
    let Some(control) = operators.control else {
        return Err(vec![problem(0, "control", "expected a section [control], found nothing".into())]);
    };
    let mut problems = Vec::new();
    let platform =
        platform(&control.platform).map_err(|what| problems.push(problem(0, "control.platform", what)));
    let tls = tls(&control).map_err(|(key, what)| problems.push(problem(0, key, what)));
    let (Ok((site, upstreams, seed)), Ok(tls)) = (platform, tls) else { return Err(problems) };
    let mut plans: BTreeSet<PlanId> = site.plans.values().map(|&i| PlanId(i)).collect();
    if let Some(named) = control.quotas.as_ref().and_then(|q| q.plans.as_ref()) {
        plans.clear();
        for (name, line) in named {
            match site.plans.get(name) {
                Some(&i) => drop(plans.insert(PlanId(i))),
                None => {
                    let mut known: Vec<&str> = site.plans.keys().map(String::as_str).collect();
                    known.sort_unstable();
                    let what =
                        format!("expected plans of the platform ({}), found '{name}'", known.join(", "));
                    problems.push(problem(*line, "control.quotas.plans", what));
                }
            }
        }
    }
    if !problems.is_empty() {
        return Err(problems);
    }
    Ok(Prepared { control, site, upstreams, seed, plans, tls, group: operators.group })
}

fn platform(path: &Path) -> Result<(NamedSettings, Upstreams, u64), String> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
    // The address for clients is a gateway's; this service has its own.
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
    let config = Config::parse(&text, Some(nowhere), None).map_err(|e| format!("{name}: {e}"))?;
    Ok((config.site().clone(), config.upstreams(), config.seed()))
}

fn tls(control: &Control) -> Result<Option<ServerTlsConfig>, (&'static str, String)> {
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

/// What the hub is told of the operators' section.
pub fn plan(control: &Control, group: Option<&Group>) -> hub::OperatorConfig {
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
    let places = group.map(|group| {
        let zones = group.map.zones.iter();
        let place = |zone: &Zone| EndpointLocation {
            region: zone.region.clone(),
            rank: rank(&group.map, &zone.region),
        };
        zones.map(|(name, zone)| (name.clone(), place(zone))).collect()
    });
    hub::OperatorConfig {
        locations: places.unwrap_or_default(),
        proxies: control.proxies.iter().map(proxy).collect(),
        resource_settings: ResourceSettings {
            connect_timeout: micros(control.connect_timeout),
            attempts_per_endpoint: control.attempts_out,
            quotas: control.quotas.as_ref().map(quotas),
        },
    }
}

fn lease(control: &Control) -> LedgerSettings {
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
    /// Where it listens.
    pub address: SocketAddr,
    /// Its hub.
    pub hub: Hub,
    control: Control,
    stop: watch::Sender<bool>,
    upstreams: watch::Sender<Upstreams>,
    renew: Option<group_follower::Renew>,
    serving: JoinHandle<Result<(), tonic::transport::Error>>,
    running: JoinHandle<()>,
}

/// Starts the service on the present runtime.
pub async fn start(prepared: Prepared) -> Result<Running, StartError> {
    let Prepared { control, site, upstreams, seed, plans, tls, group } = prepared;
    let at = control.listen;
    let listener = TcpListener::bind(at).await.map_err(|e| StartError::Listen(at, e))?;
    let address = listener.local_addr().map_err(|e| StartError::Listen(at, e))?;
    let (runner, hub) = hub::new(seed, site, plan(&control, group.as_ref()), lease(&control), plans)
        .map_err(StartError::Settings)?;
    let (upstreams, followed) = watch::channel(upstreams);
    follow(followed, hub.updates.clone()).map_err(StartError::Thread)?;
    let mut renew = None;
    if let Some(group) = group {
        let name = format!("control-{}", address.port());
        let following = group_follower::begin(&group, &name, "", None).map_err(StartError::Group)?;
        tokio::spawn(tell_zones(following.parts, hub.updates.clone()));
        renew = Some(following.renew);
    }
    let running = tokio::spawn(runner.run());
    let (stop, stopping) = watch::channel(false);
    let l = control.limits;
    let limits = Limits {
        connections: l.connections,
        streams: l.streams,
        names_per_kind: l.names,
        message_bytes: l.message,
    };
    let service = Service::new(hub.clone(), limits, seed, stopping);
    let serving = tokio::spawn(service.serve(listener, tls));
    info!(proxies = control.proxies.len(), %address, "listening");
    Ok(Running { address, hub, control, stop, upstreams, renew, serving, running })
}

/// Tells the hub the parts of zones, as gateways are told them.
async fn tell_zones(
    mut parts: watch::Receiver<starlinghill_gateway::ZoneParts>,
    news: tokio::sync::mpsc::Sender<Update>,
) {
    loop {
        let now = parts.borrow_and_update().clone();
        if news.send(Update::ZoneShares(now)).await.is_err() {
            return;
        }
        tokio::select! {
            changed = parts.changed() => if changed.is_err() { return },
            () = news.closed() => return,
        }
    }
}

/// Follows discovery on a thread of its own: the gateway's client of it is made for one thread.
fn follow(
    upstreams: watch::Receiver<Upstreams>,
    news: tokio::sync::mpsc::Sender<Update>,
) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("discovery".into()).spawn(move || {
        runtime.block_on(async move {
            let mut closed = upstreams.clone();
            tokio::select! {
                () = discovery::watch(upstreams, Follower::new(0, Source::Agent, 1, None), news) => {}
                // The service is gone.
                () = async { while closed.changed().await.is_ok() {} } => {}
            }
        });
    })?;
    Ok(())
}

impl Running {
    /// Takes on what can change while proxies are served: who they are, how they are wired, where discovery is.
    pub async fn reload(&mut self, prepared: Prepared) {
        let new = prepared.control;
        let waits = [
            ("control.listen", new.listen != self.control.listen),
            ("control.tls", new.tls != self.control.tls),
            ("control.limits", new.limits != self.control.limits),
            ("control.quotas (times, plans)", lease(&new) != lease(&self.control)),
        ];
        for (key, _) in waits.into_iter().filter(|(_, changed)| *changed) {
            warn!(key, "changed, and waits for the next start");
        }
        match &self.renew {
            Some(renew) => renew.renew(prepared.group.as_ref()),
            None if prepared.group.is_some() => warn!(key = "group", "new, and waits for the next start"),
            None => {}
        }
        self.upstreams.send_replace(prepared.upstreams);
        if self.hub.updates.send(Update::OperatorConfig(plan(&new, prepared.group.as_ref()))).await.is_ok() {
            info!(proxies = new.proxies.len(), "the operators' file was read again");
        }
        self.control = new;
    }

    /// Ends it: streams end with UNAVAILABLE, at which proxies keep what they have.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        match tokio::time::timeout(Duration::from_secs(10), self.serving).await {
            Ok(Ok(Ok(()))) => {}
            Ok(Ok(Err(error))) => warn!(%error, "serving failed"),
            Ok(Err(error)) => warn!(%error, "serving broke off"),
            Err(_) => warn!("some connections were still open at the end"),
        }
        self.running.abort();
    }

    /// Ends it at once, as a kill would.
    pub fn kill(self) {
        self.serving.abort();
        self.running.abort();
    }
}
