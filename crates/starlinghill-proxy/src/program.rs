//! Starts a proxy process and shuts it down.

use crate::backend_protocol::NativeProtocol;
use crate::decision_settings::{self, DecisionIndex};
use crate::heartbeat::HeartbeatRing;
use crate::quota_client::{CounterClient, DrawCounts};
use crate::registry_client::{self, ProxyState, RegistryClientContext, RoutingView};
use crate::rejections::RejectionCounters;
use crate::request_handler::ProxyRequestHandler;
use snafu::{OptionExt, ResultExt, Snafu};
use starlinghill_config_model::RoutingTable;
use starlinghill_decision::api::Micros;
use starlinghill_gateway::backend::{ConnectionCounts, Pool};
use starlinghill_gateway::config::ConfigError;
use starlinghill_gateway::driver::Driver;
use starlinghill_gateway::inbox::{Clock, Input};
use starlinghill_gateway::server::{serve, RequestHandler, RequestIntake};
use starlinghill_runtime::essential_tasks::EssentialTasks;
use starlinghill_runtime::net::{self, NetworkHandle};
use starlinghill_runtime::settings::{NodeSettings, SettingsError};
use starlinghill_runtime::signals::Signals;
use starlinghill_runtime::PROXY_PORT_OFFSET;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{watch, Semaphore};
use tokio::task::spawn_local;

/// First value of the decision module's clock. It is well above zero so that times before the start can be
/// represented.
const CLOCK_START: Micros = Micros(100_000_000);
/// Timeout for connecting to a backend, so that a machine that vanished doesn't hold up requests.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long an idle connection is kept if the backend doesn't say how long it keeps it.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(9);
/// File descriptors reserved for everything other than client and backend connections.
const RESERVED_DESCRIPTORS: u64 = 300;
/// Buffered request bodies may use 1/`BODY_MEMORY_FRACTION` of the memory limit.
const BODY_MEMORY_FRACTION: u64 = 8;
/// Interval of the log line on connections to backends.
const CONNECTION_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Interval of the log line on draws that were answered late or not at all.
const DRAW_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// How long before the last permitted response the decision module gives up open requests, so that the error
/// responses can still be written.
const GIVE_UP_MARGIN: Duration = Duration::from_millis(150);

/// Why a proxy can't start or has to end.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The settings file is missing or invalid.
    #[snafu(display("{source}"))]
    Settings {
        /// The underlying error.
        source: SettingsError,
    },
    /// An address to listen on is missing in the settings.
    #[snafu(display("network.listen.{key}: found nothing, allowed: an IP address with a port"))]
    MissingAddress {
        /// The key below `network.listen`.
        key: &'static str,
    },
    /// The decision module rejected its settings.
    #[snafu(display("{source}"))]
    Decision {
        /// The underlying error.
        source: ConfigError,
    },
    /// A socket could not be opened.
    #[snafu(display("{operation}: {source}"))]
    System {
        /// The operation that failed.
        operation: String,
        /// The underlying error.
        source: std::io::Error,
    },
    /// An essential task has ended.
    #[snafu(display("the task {task} ended"))]
    Task {
        /// Its name.
        task: &'static str,
    },
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    starlinghill_gateway::listen::bind(address)
        .await
        .context(SystemSnafu { operation: format!("listen on {address}") })
}

/// Logs the number of connections to backends since the start whenever it has changed.
async fn log_connections(pool: Rc<Pool>) {
    let mut logged = ConnectionCounts::default();
    loop {
        tokio::time::sleep(CONNECTION_LOG_INTERVAL).await;
        let counts = pool.counts();
        if std::mem::replace(&mut logged, counts) != counts {
            let ConnectionCounts { opened, passed_over, reused, broke, died } = counts;
            log::info!(
                "event=connections opened={opened} passed_over={passed_over} reused={reused} broke={broke} died={died}"
            );
        }
    }
}

/// Logs what became of the draws, for each interval in which some were answered too late or not at all.
async fn log_draws(counter: Rc<CounterClient>) {
    let mut logged = DrawCounts::default();
    loop {
        tokio::time::sleep(DRAW_LOG_INTERVAL).await;
        let counts = counter.draw_counts();
        let recent = counts.since(&std::mem::replace(&mut logged, counts));
        if recent.too_late() > 0 {
            let DrawCounts { asked, granted, refused, late_granted, late_refused, failed, attempts } = recent;
            log::info!(
                "event=draws asked={asked} granted={granted} refused={refused} late_granted={late_granted} \
                 late_refused={late_refused} failed={failed} attempts={attempts}"
            );
        }
    }
}

/// Runs a proxy until SIGTERM or SIGINT and until all accepted requests are answered.
pub async fn run(signals: Signals) -> Result<(), StartError> {
    run_on(net::tcp(), signals).await
}

/// Like `run`, with calls to registries on the given network.
pub async fn run_on(net: NetworkHandle, mut signals: Signals) -> Result<(), StartError> {
    let node = NodeSettings::from_environment().context(SettingsSnafu)?;
    let client_address = node.front.context(MissingAddressSnafu { key: "front" })?;
    let readiness_address = node.ready.context(MissingAddressSnafu { key: "ready" })?;
    let (clients, readiness_checks) = (listen(client_address).await?, listen(readiness_address).await?);
    log::info!("event=start program=workbench node={} zone={}", node.name, node.zone);
    let (stop, stopping) = watch::channel(false);
    let (ready, _) = watch::channel(false);
    let view = RoutingView { table: RoutingTable::default(), index: DecisionIndex::default(), gateways: 1 };
    let shared = Rc::new(ProxyState { view: RefCell::new(view), ready, stopping });
    let incarnation = fastrand::u64(1..);
    let (holder, holder_updates) = registry_client::no_holder();
    let (essentials, mut first_ended) = EssentialTasks::new();
    let counter = CounterClient::start(net.clone(), incarnation, holder_updates, &essentials);
    let clock = Clock::starting_at(CLOCK_START);
    let sockets = node.open_files.saturating_sub(RESERVED_DESCRIPTORS).max(16) as usize;
    let pool = Pool::new(sockets / 3, CONNECT_TIMEOUT, DEFAULT_IDLE_TIMEOUT, Rc::new(NativeProtocol));
    let settings = decision_settings::settings(registry_client::zone_id(&node.zone), &node.bounds);
    let driver =
        Driver::embedded(settings, incarnation, clock, pool, counter.clone()).context(DecisionSnafu)?;
    let inbox = driver.sender();
    spawn_local(log_connections(driver.pool()));
    spawn_local(log_draws(counter.clone()));
    let rejections = Rc::new(RejectionCounters::default());
    spawn_local(rejections.clone().log(counter.clone()));
    let at = node.internal_address(node.ip, PROXY_PORT_OFFSET);
    let socket = UdpSocket::bind(at).await.context(SystemSnafu { operation: format!("listen on {at}") })?;
    let ring = Rc::new(HeartbeatRing::new(at, incarnation));
    essentials.spawn("ring", ring.clone().run(socket));
    let context = RegistryClientContext { net, driver: inbox.clone(), clock, counter, holder, ring };
    registry_client::start(&node, shared.clone(), context, incarnation, &essentials);
    essentials.spawn("ready", crate::readiness::serve(readiness_checks, shared.clone()));
    let body_bytes = (node.memory_mb << 20) / BODY_MEMORY_FRACTION;
    let intake = RequestIntake {
        driver: inbox.clone(),
        clock,
        body_memory: Semaphore::new(body_bytes as usize),
        last_request_id: Default::default(),
    };
    let rng = RefCell::new(fastrand::Rng::with_seed(incarnation));
    let handler = Rc::new(ProxyRequestHandler { intake, shared, grace: node.bounds.grace, rng, rejections });
    let shutdown_limit = handler.shutdown_limit();
    spawn_local(async move {
        signals.wait_for_shutdown().await;
        // The server may have ended already.
        let _ = stop.send(true);
        let remaining = shutdown_limit.saturating_sub(GIVE_UP_MARGIN);
        let deadline = clock.now() + Micros(remaining.as_micros() as u64);
        let _ = inbox.send(Input::Shutdown(deadline)).await;
        std::future::pending::<()>().await;
    });
    essentials.spawn("driver", driver.run());
    tokio::select! {
        () = serve(clients, handler, sockets * 2 / 3) => Ok(()),
        task = first_ended.wait() => TaskSnafu { task }.fail(),
    }
}
