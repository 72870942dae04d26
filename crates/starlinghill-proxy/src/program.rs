//! The proxy as a process.

use crate::backend_protocol::System;
use crate::decision_settings::{self, Places};
use crate::heartbeat::Ring;
use crate::quota_client::{Counter, DrawCounts};
use crate::registry_client::{self, Shared, View, Ways};
use crate::rejections::Refusals;
use crate::request_handler::Front;
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

/// The module's time begins here: long after nothing, so that what was before has a time as well.
const BEGINNING: Micros = Micros(100_000_000);
/// A connection to a backend must be up in this time. Guards against machines that vanished.
const DIAL: Duration = Duration::from_millis(250);
/// Where a backend does not say how long it keeps a connection.
const KEPT: Duration = Duration::from_secs(9);
/// Descriptors that are neither clients' nor backends'.
const OTHERS: u64 = 300;
/// The part of the memory that clients' bodies may fill.
const BODIES_PART: u64 = 8;
/// How often the log is told of connections to backends.
const TELL_CONNECTIONS: Duration = Duration::from_secs(10);
/// How often the log is told of draws that were answered late, or not.
const TELL_DRAWS: Duration = Duration::from_secs(1);
/// So long before the last answer the module gives up what is open.
const GIVE_UP: Duration = Duration::from_millis(150);

/// Why a proxy can't start or go on.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// Its settings.
    #[snafu(display("{source}"))]
    Settings {
        /// What is wrong.
        source: SettingsError,
    },
    /// No address for clients.
    #[snafu(display("network.listen.{which}: found nothing, allowed: an IP address with a port"))]
    Unreachable {
        /// Which key.
        which: &'static str,
    },
    /// The module does not take its settings.
    #[snafu(display("{source}"))]
    Module {
        /// Why.
        source: ConfigError,
    },
    /// It can't listen.
    #[snafu(display("{what}: {source}"))]
    System {
        /// What failed.
        what: String,
        /// How.
        source: std::io::Error,
    },
    /// A task that it can't do without has ended.
    #[snafu(display("the task {task} ended"))]
    Task {
        /// Which one.
        task: &'static str,
    },
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    starlinghill_gateway::listen::bind(address)
        .await
        .context(SystemSnafu { what: format!("listen on {address}") })
}

/// Tells the log, now and then, how many connections to backends there were since the start.
async fn tell_connections(pool: Rc<Pool>) {
    let mut told = ConnectionCounts::default();
    loop {
        tokio::time::sleep(TELL_CONNECTIONS).await;
        let counts = pool.counts();
        if std::mem::replace(&mut told, counts) != counts {
            let ConnectionCounts { opened, passed_over, reused, broke, died } = counts;
            log::info!(
                "event=connections opened={opened} passed_over={passed_over} reused={reused} broke={broke} died={died}"
            );
        }
    }
}

/// Tells the log what became of the draws, after each span in which some were answered too late or not at all.
async fn tell_draws(counter: Rc<Counter>) {
    let mut told = DrawCounts::default();
    loop {
        tokio::time::sleep(TELL_DRAWS).await;
        let counts = counter.draw_counts();
        let new = counts.since(&std::mem::replace(&mut told, counts));
        if new.too_late() > 0 {
            let DrawCounts { asked, granted, refused, late_granted, late_refused, failed, attempts } = new;
            log::info!(
                "event=draws asked={asked} granted={granted} refused={refused} late_granted={late_granted} \
                 late_refused={late_refused} failed={failed} attempts={attempts}"
            );
        }
    }
}

/// Runs until SIGTERM and until all that was taken is answered.
pub async fn run(signals: Signals) -> Result<(), StartError> {
    run_on(net::tcp(), signals).await
}

/// The same, with the system's own calls on a network of the caller's.
pub async fn run_on(net: NetworkHandle, mut signals: Signals) -> Result<(), StartError> {
    let node = NodeSettings::from_environment().context(SettingsSnafu)?;
    let front_at = node.front.context(UnreachableSnafu { which: "front" })?;
    let ready_at = node.ready.context(UnreachableSnafu { which: "ready" })?;
    let (clients, asked) = (listen(front_at).await?, listen(ready_at).await?);
    log::info!("event=start program=workbench node={} zone={}", node.name, node.zone);
    let (stop, stopping) = watch::channel(false);
    let (ready, _) = watch::channel(false);
    let view = View { table: RoutingTable::default(), places: Places::default(), gateways: 1 };
    let shared = Rc::new(Shared { view: RefCell::new(view), ready, stopping });
    let life = fastrand::u64(1..);
    let (holder, held) = registry_client::nowhere();
    let (essentials, mut first_end) = EssentialTasks::new();
    let counter = Counter::start(net.clone(), life, held, &essentials);
    let clock = Clock::starting_at(BEGINNING);
    let sockets = node.open_files.saturating_sub(OTHERS).max(16) as usize;
    let pool = Pool::new(sockets / 3, DIAL, KEPT, Rc::new(System));
    let settings = decision_settings::settings(registry_client::zone(&node.zone), &node.bounds);
    let driver = Driver::embedded(settings, life, clock, pool, counter.clone()).context(ModuleSnafu)?;
    let inbox = driver.sender();
    spawn_local(tell_connections(driver.pool()));
    spawn_local(tell_draws(counter.clone()));
    let refusals = Rc::new(Refusals::default());
    spawn_local(refusals.clone().log(counter.clone()));
    let at = node.port(node.ip, PROXY_PORT_OFFSET);
    let socket = UdpSocket::bind(at).await.context(SystemSnafu { what: format!("listen on {at}") })?;
    let ring = Rc::new(Ring::new(at, life));
    essentials.spawn("ring", ring.clone().run(socket));
    let ways = Ways { net, driver: inbox.clone(), clock, counter, holder, ring };
    registry_client::start(&node, shared.clone(), ways, life, &essentials);
    essentials.spawn("ready", crate::readiness::serve(asked, shared.clone()));
    let bodies = (node.memory_mb << 20) / BODIES_PART;
    let intake = RequestIntake {
        driver: inbox.clone(),
        clock,
        body_memory: Semaphore::new(bodies as usize),
        last_request_id: Default::default(),
    };
    let draw = RefCell::new(fastrand::Rng::with_seed(life));
    let front = Rc::new(Front { intake, shared, grace: node.bounds.grace, draw, refusals });
    let shutdown_limit = front.shutdown_limit();
    spawn_local(async move {
        signals.end().await;
        // It may have ended by itself.
        let _ = stop.send(true);
        let left = shutdown_limit.saturating_sub(GIVE_UP);
        let by = clock.now() + Micros(left.as_micros() as u64);
        let _ = inbox.send(Input::Shutdown(by)).await;
        std::future::pending::<()>().await;
    });
    essentials.spawn("driver", driver.run());
    tokio::select! {
        () = serve(clients, front, sockets * 2 / 3) => Ok(()),
        task = first_end.name() => TaskSnafu { task }.fail(),
    }
}
