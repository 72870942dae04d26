//! The real gateway: the decision module on sockets.

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

use attempt_events::Watcher;
use class_names::Names;
use config::{Config, ConfigError, Upstreams};
use driver::Driver;
use inbox::{Clock, Inbox, Input};
use ops::Door;
use peers::{Peers, Socket};
use server::{Front, RequestIntake};
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

/// The part of the memory that clients' bodies may fill.
const BODIES_PART: usize = 8;
/// So long before the last answer of a gateway that ends, the module gives up what is open: the rest is for writing.
const WRITING: Duration = Duration::from_millis(150);

/// Why a gateway could not start or go on.
#[derive(Debug)]
pub enum RunError {
    /// Its configuration makes no sense.
    Config(ConfigError),
    /// It could not listen.
    Listen(SocketAddr, std::io::Error),
    /// The socket that it should have inherited.
    Inherit(u32, std::io::Error),
    /// It could not open its socket for messages between gateways.
    Peers(SocketAddr, std::io::Error),
    /// Its driver ended.
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
            RunError::Peers(address, e) => write!(f, "can't take messages on {address}: {e}"),
            RunError::Driver => f.write_str("the driver ended"),
        }
    }
}
impl std::error::Error for RunError {}

/// What may come from outside while a gateway runs.
pub struct Control {
    /// The services, when they move.
    pub upstreams: watch::Receiver<Upstreams>,
    /// The settings, when they change.
    pub site: watch::Receiver<Option<Rc<NamedSettings>>>,
    /// The parts of their work that zones get by order, where there is a group that orders.
    pub zones: Option<watch::Receiver<ZoneParts>>,
    /// Hears of each attempt that ends, where somebody wants to know.
    pub watcher: Option<Watcher>,
    /// It is to end.
    pub stopping: watch::Receiver<bool>,
}

/// The parts of zones, by name.
pub type ZoneParts = Vec<(String, ZoneShare)>;

/// Runs a gateway until it is to end and all that it took is answered.
pub async fn run(config: Config, control: Control) -> Result<(), RunError> {
    let Control { upstreams, site, zones, watcher, stopping } = control;
    let clock = Clock::start();
    let (ready, is_ready) = watch::channel(false);
    let (listen, ops, sockets, shared) =
        (config.listen, config.ops, config.sockets, config.inherited.is_some());
    // Before anything else is opened, so that the number means what it meant when the process started.
    let listener = match config.inherited {
        Some(number) => inherited_socket::listener(number)
            .inspect(listen::send_at_once)
            .and_then(TcpListener::from_std)
            .map_err(|e| RunError::Inherit(number, e))?,
        None => bind(listen).await?,
    };
    let classes = Classes::new(&config.site);
    let plans = config.site.plans.iter().map(|(name, &i)| (name.clone(), PlanId(i))).collect();
    let name = config.name.clone();
    let (most_units, gateways) = (config.site.settings.most_units, config.site.settings.gateways);
    let bodies = config.memory / BODIES_PART;
    let peers = config.peers.clone();
    let follower = config.follower();
    let driver = Driver::new(config, clock, ready, follower.first_answer_timeout(), watcher)
        .map_err(RunError::Config)?;
    let inbox = driver.inbox();
    match peers {
        // The process that this one takes over from may have the socket.
        Some(peers) if shared => drop(spawn_local(post_later(peers, inbox.clone()))),
        Some(peers) => {
            let post = Socket::open(&peers).await.map_err(|e| RunError::Peers(peers.listen, e))?;
            post_over(post, &inbox).await;
        }
        None => {}
    }
    let address = listener.local_addr().map_err(|e| RunError::Listen(listen, e))?;
    if let Some(ops) = ops {
        let door = bind(ops).await?;
        let address = door.local_addr().map_err(|e| RunError::Listen(ops, e))?;
        info!(door = %address, "operators are heard");
        let (inbox, ready, stopping) = (inbox.clone(), is_ready.clone(), stopping.clone());
        spawn_local(ops::serve(door, Rc::new(Door { inbox, ready, stopping })));
    }
    info!(name, %address, "listening");
    spawn_local(discovery::watch(upstreams.clone(), follower, inbox.clone()));
    spawn_local(driver::follow(upstreams, inbox.clone()));
    if let Some(zones) = zones {
        spawn_local(follow_zones(zones, inbox.clone()));
    }
    let driving = spawn_local(driver.run());
    let front = Rc::new(Front {
        intake: RequestIntake {
            inbox: inbox.clone(),
            clock,
            bodies: Semaphore::new(bodies),
            last: Default::default(),
        },
        ready: is_ready.clone(),
        names: RefCell::new(Names::new(&classes)),
        plans,
        most_units,
        gateways,
        open: Default::default(),
        stopping: stopping.clone(),
        shared,
    });
    spawn_local(follow_settings(site, classes, front.clone()));
    spawn_local(tell_end(stopping.clone(), front.clone()));
    let serving = async move {
        // Another process serves meanwhile: what this one accepted it could not answer yet.
        if shared {
            let (mut is_ready, mut stopping) = (is_ready, stopping);
            tokio::select! {
                _ = is_ready.wait_for(|ready| *ready) => {}
                _ = stopping.wait_for(|stop| *stop) => {}
            }
        }
        server::serve(listener, front, sockets.clients).await;
    };
    // Guards against living on without a driver, taking requests that nobody decides.
    tokio::select! {
        () = serving => Ok(()),
        _ = driving => Err(RunError::Driver),
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, RunError> {
    listen::bind(address).await.map_err(|e| RunError::Listen(address, e))
}

async fn post_later(peers: Peers, inbox: Inbox) {
    let post = Socket::open_later(&peers).await;
    post_over(post, &inbox).await;
}

/// Lets the driver send messages, and tells it what comes.
async fn post_over(post: Socket, inbox: &Inbox) {
    let post = Rc::new(post);
    spawn_local(post.clone().receive(inbox.clone()));
    // Without a driver nobody sends anything.
    let _ = inbox.send(Input::Post(post)).await;
}

/// Hands on classes and attempts that change. The module is told before a request can come under the new ones.
async fn follow_settings(
    mut site: watch::Receiver<Option<Rc<NamedSettings>>>,
    mut classes: Classes,
    front: Rc<Front>,
) {
    while site.changed().await.is_ok() {
        let Some(new) = site.borrow_and_update().clone() else { continue };
        match classes.update(&new) {
            Ok(rules) => {
                if front.intake.inbox.send(Input::Rules(rules)).await.is_err() {
                    return;
                }
                front.names.borrow_mut().follow(&classes);
            }
            Err(problem) => warn!(%problem, "new settings are not usable; the old ones stay"),
        }
    }
}

/// Hands on the parts that zones get.
async fn follow_zones(mut zones: watch::Receiver<ZoneParts>, inbox: Inbox) {
    loop {
        let parts = zones.borrow_and_update().clone();
        if inbox.send(Input::Zones(parts)).await.is_err() || zones.changed().await.is_err() {
            return;
        }
    }
}

/// Tells the module by when all must be answered, once the gateway is to end.
async fn tell_end(mut stopping: watch::Receiver<bool>, front: Rc<Front>) {
    if stopping.wait_for(|stop| *stop).await.is_ok() {
        let left = front.names.borrow().last_answer().saturating_sub(WRITING);
        let by = front.intake.clock.now() + Micros(left.as_micros() as u64);
        // The driver may have ended.
        let _ = front.intake.inbox.send(Input::Closing(by)).await;
    }
}
