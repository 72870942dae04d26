//! A gateway that forwards clients' requests to backends: the decision module with its sockets, files and
//! timers.

pub mod answer;
pub mod attempt_events;
pub mod backend;
pub mod backend_protocol;
pub mod class_names;
pub mod config;
pub mod connections;
pub mod counter;
pub mod discovery;
pub mod download;
pub mod driver;
pub mod forward;
pub mod handover;
pub mod http;
pub mod idle;
pub mod inbox;
pub mod inherited_socket;
pub mod listen;
pub mod maintenance_file;
pub mod ops;
pub mod peers;
pub mod process;
pub mod request_head;
pub mod server;
pub mod upload;

use attempt_events::AttemptObserver;
use class_names::ClassNames;
use config::{Config, ConfigError, Upstreams};
use driver::Driver;
use inbox::{Clock, DriverSender, Input};
use ops::OperatorApi;
use peers::{PeerSocket, Peers};
use server::{PlatformHandler, RequestIntake};
use starlinghill_decision::api::{Micros, PlanId, ZoneShare};
use starlinghill_settings::classes::Classes;
use starlinghill_settings::NamedSettings;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{watch, Semaphore};
use tokio::task::spawn_local;
use tracing::{info, warn};

/// Request bodies may use one part in this many of the configured memory.
const BODY_MEMORY_DIVISOR: usize = 8;
/// The decision module must end all open requests this long before the shutdown limit. The rest is for
/// writing the answers.
const WRITE_MARGIN: Duration = Duration::from_millis(150);

/// Why a gateway could not start, or ended.
#[derive(Debug)]
pub enum RunError {
    /// The configuration is not valid.
    Config(ConfigError),
    /// It could not listen on this address.
    Listen(SocketAddr, std::io::Error),
    /// The inherited descriptor with this number can't be used as the client socket.
    Inherit(u32, std::io::Error),
    /// It could not open the socket for messages from other gateways.
    Peers(SocketAddr, std::io::Error),
    /// The driver task ended.
    Driver,
}

impl std::fmt::Display for RunError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RunError::Config(e) => e.fmt(f),
            RunError::Listen(address, e) => write!(f, "can't listen on {address}: {e}"),
            RunError::Inherit(number, e) => {
                write!(f, "NODE_ACCEPT_FD: expected a listening TCP socket as descriptor {number}: {e}")
            }
            RunError::Peers(address, e) => {
                write!(f, "can't receive messages from other gateways on {address}: {e}")
            }
            RunError::Driver => f.write_str("the driver ended"),
        }
    }
}
impl std::error::Error for RunError {}

/// What the surrounding program may change while a gateway runs.
pub struct GatewayInputs {
    /// The addresses of discovery and the counter.
    pub upstreams: watch::Receiver<Upstreams>,
    /// The settings, when the configuration was read again.
    pub site: watch::Receiver<Option<Rc<NamedSettings>>>,
    /// How much work each zone gets, where a group of members orders it.
    pub zones: Option<watch::Receiver<ZoneParts>>,
    /// Called for each attempt that ends.
    pub observer: Option<AttemptObserver>,
    /// Becomes true when the gateway must shut down.
    pub stopping: watch::Receiver<bool>,
}

/// How much work each zone gets, by zone name.
pub type ZoneParts = Vec<(String, ZoneShare)>;

/// Runs a gateway until it must shut down and all requests received are answered.
pub async fn run(config: Config, inputs: GatewayInputs) -> Result<(), RunError> {
    let GatewayInputs { upstreams, site, zones, observer, stopping } = inputs;
    let clock = Clock::start();
    let (ready, is_ready) = watch::channel(false);
    let (listen, ops, sockets, shared) =
        (config.listen, config.ops, config.sockets, config.inherited.is_some());
    // Must come before anything else is opened, so that the inherited descriptor number can't have been
    // reused.
    let listener = match config.inherited {
        Some(number) => inherited_socket::listener(number)
            .inspect(listen::set_nodelay)
            .and_then(TcpListener::from_std)
            .map_err(|e| RunError::Inherit(number, e))?,
        None => bind(listen).await?,
    };
    let classes = Classes::new(&config.site);
    let plans = config.site.plans.iter().map(|(name, &i)| (name.clone(), PlanId(i))).collect();
    let name = config.name.clone();
    let (max_units, gateways) = (config.site.settings.most_units, config.site.settings.gateways);
    let bodies = config.memory / BODY_MEMORY_DIVISOR;
    let peers = config.peers.clone();
    let follower = config.follower();
    let driver = Driver::new(config, clock, ready, follower.first_answer_timeout(), observer)
        .map_err(RunError::Config)?;
    let driver_sender = driver.sender();
    match peers {
        // The process that this one replaces may still hold the socket.
        Some(peers) if shared => drop(spawn_local(open_peer_socket_later(peers, driver_sender.clone()))),
        Some(peers) => {
            let socket = PeerSocket::open(&peers).await.map_err(|e| RunError::Peers(peers.listen, e))?;
            use_peer_socket(socket, &driver_sender).await;
        }
        None => {}
    }
    let address = listener.local_addr().map_err(|e| RunError::Listen(listen, e))?;
    if let Some(ops) = ops {
        let listener = bind(ops).await?;
        let address = listener.local_addr().map_err(|e| RunError::Listen(ops, e))?;
        info!(door = %address, "listening for operators");
        let (driver, ready, stopping) = (driver_sender.clone(), is_ready.clone(), stopping.clone());
        spawn_local(ops::serve(listener, Rc::new(OperatorApi { driver, ready, stopping })));
    }
    info!(name, %address, "listening");
    spawn_local(discovery::watch(upstreams.clone(), follower, driver_sender.clone()));
    spawn_local(driver::follow_upstreams(upstreams, driver_sender.clone()));
    if let Some(zones) = zones {
        spawn_local(follow_zones(zones, driver_sender.clone()));
    }
    let driving = spawn_local(driver.run());
    let handler = Rc::new(PlatformHandler {
        intake: RequestIntake {
            driver: driver_sender.clone(),
            clock,
            body_memory: Semaphore::new(bodies),
            last_request_id: Default::default(),
        },
        ready: is_ready.clone(),
        classes: RefCell::new(ClassNames::new(&classes)),
        plans,
        max_units,
        gateways,
        open_calls: Default::default(),
        stopping: stopping.clone(),
        shared,
    });
    spawn_local(follow_settings(site, classes, handler.clone()));
    spawn_local(announce_shutdown(stopping.clone(), handler.clone()));
    let serving = async move {
        // Another process serves meanwhile. This one must not accept connections before it is ready to
        // answer.
        if shared {
            let (mut is_ready, mut stopping) = (is_ready, stopping);
            tokio::select! {
                _ = is_ready.wait_for(|ready| *ready) => {}
                _ = stopping.wait_for(|stop| *stop) => {}
            }
        }
        server::serve(listener, handler, sockets.clients).await;
    };
    // Without a driver nothing answers requests, so the gateway must end.
    tokio::select! {
        () = serving => Ok(()),
        _ = driving => Err(RunError::Driver),
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, RunError> {
    listen::bind(address).await.map_err(|e| RunError::Listen(address, e))
}

async fn open_peer_socket_later(peers: Peers, driver_sender: DriverSender) {
    let socket = PeerSocket::open_later(&peers).await;
    use_peer_socket(socket, &driver_sender).await;
}

/// Gives the driver the socket for messages to other gateways, and passes it the messages received.
async fn use_peer_socket(socket: PeerSocket, driver_sender: &DriverSender) {
    let socket = Rc::new(socket);
    spawn_local(socket.clone().receive(driver_sender.clone()));
    // If the driver has ended, no messages are sent.
    let _ = driver_sender.send(Input::PeersReachable(socket)).await;
}

/// Applies changed classes and attempt limits. The module gets the new rules before a request can use them.
async fn follow_settings(
    mut site: watch::Receiver<Option<Rc<NamedSettings>>>,
    mut classes: Classes,
    handler: Rc<PlatformHandler>,
) {
    while site.changed().await.is_ok() {
        let Some(new) = site.borrow_and_update().clone() else { continue };
        match classes.update(&new) {
            Ok(rules) => {
                if handler.intake.driver.send(Input::Rules(rules)).await.is_err() {
                    return;
                }
                handler.classes.borrow_mut().update(&classes);
            }
            Err(problem) => warn!(%problem, "new settings are not usable; keeping the old ones"),
        }
    }
}

/// Passes the zones' parts of the work to the driver.
async fn follow_zones(mut zones: watch::Receiver<ZoneParts>, driver_sender: DriverSender) {
    loop {
        let parts = zones.borrow_and_update().clone();
        if driver_sender.send(Input::Zones(parts)).await.is_err() || zones.changed().await.is_err() {
            return;
        }
    }
}

/// At shutdown, tells the module by when every request must be answered.
async fn announce_shutdown(mut stopping: watch::Receiver<bool>, handler: Rc<PlatformHandler>) {
    if stopping.wait_for(|stop| *stop).await.is_ok() {
        let remaining = handler.classes.borrow().shutdown_limit().saturating_sub(WRITE_MARGIN);
        let by = handler.intake.clock.now() + Micros(remaining.as_micros() as u64);
        // The driver may have ended already.
        let _ = handler.intake.driver.send(Input::Shutdown(by)).await;
    }
}
