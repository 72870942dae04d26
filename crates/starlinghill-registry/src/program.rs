//! The registry as a process.

use crate::http::{self, Desk};
use crate::peers::{follow_store, Peers};
use crate::router::Place;
use crate::state::{self, Command};
use crate::wire::RegistryResponse;
use snafu::{OptionExt, ResultExt, Snafu};
use starlinghill_lease::contact::StalenessBudget;
use starlinghill_runtime::essential_tasks::EssentialTasks;
use starlinghill_runtime::net::{self, Listener, NetworkHandle};
use starlinghill_runtime::rpc;
use starlinghill_runtime::settings::{NodeSettings, SettingsError};
use starlinghill_runtime::signals::Signals;
use starlinghill_runtime::{CONFIG_STORE_PORT_OFFSET, REGISTRY_PORT_OFFSET};
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::sleep;

/// What is under way at the end has so long to be answered.
const LAST_WORDS: Duration = Duration::from_millis(400);

/// Why a registry can't start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// Its settings.
    #[snafu(display("{source}"))]
    Settings {
        /// What is wrong.
        source: SettingsError,
    },
    /// Nobody could call it.
    #[snafu(display("network.listen.control: found nothing, allowed: an IP address with a port"))]
    Unreachable,
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

async fn listen(net: &NetworkHandle, address: SocketAddr) -> Result<Box<dyn Listener>, StartError> {
    net.listen(address).await.context(SystemSnafu { what: format!("listen on {address}") })
}

/// Runs until SIGTERM.
pub async fn run(signals: Signals) -> Result<(), StartError> {
    run_on(net::tcp(), signals).await
}

/// The same, on a network of the caller's.
pub async fn run_on(net: NetworkHandle, mut signals: Signals) -> Result<(), StartError> {
    let node = NodeSettings::from_environment().context(SettingsSnafu)?;
    registry(&node, &net, signals.end()).await
}

/// Runs a registry on a network until it is to end.
pub async fn registry(
    node: &NodeSettings,
    net: &NetworkHandle,
    end: impl Future<Output = ()>,
) -> Result<(), StartError> {
    let control = listen(net, node.control.context(UnreachableSnafu)?).await?;
    let own = listen(net, node.port(node.ip, REGISTRY_PORT_OFFSET)).await?;
    log::info!("event=start program=toolrack node={}", node.name);
    let seeds: Vec<IpAddr> = node.seeds.iter().map(|seed| seed.ip()).collect();
    let peers = Rc::new(Peers::new(net, node.ip, node.port(node.ip, REGISTRY_PORT_OFFSET).port(), seeds));
    let store = node.port(node.ip, CONFIG_STORE_PORT_OFFSET);
    let (essentials, mut first_end) = EssentialTasks::new();
    let owner = state::start(node, &essentials);
    let (stop, stopping) = watch::channel(false);
    essentials.spawn("peers", peers.clone().run(owner.clone()));
    let chain = StalenessBudget::from_apply_bound(node.bounds.apply);
    essentials.spawn("store", follow_store(net.clone(), store, owner.clone(), peers.clone(), chain));
    let desk = Desk {
        net: net.clone(),
        owner: owner.clone(),
        peers: peers.clone(),
        store,
        tree: Place::tree(),
        stopping,
    };
    essentials.spawn("control", http::serve(control, Rc::new(desk)));
    let asked = owner.clone();
    let answer = move |question, _| {
        let owner = asked.clone();
        async move {
            let (reply, answer) = oneshot::channel();
            let _ = owner.send(Command::Ask(question, reply)).await;
            answer.await.unwrap_or(RegistryResponse::NotMine(0))
        }
    };
    essentials.spawn("calls", rpc::serve(own, node.most_peers(), |_| false, answer));
    tokio::select! {
        biased;
        () = end => {}
        task = first_end.name() => return TaskSnafu { task }.fail(),
    }
    // Nobody may be left to hear it.
    let _ = stop.send(true);
    let (reply, end) = oneshot::channel();
    let _ = owner.send(Command::End(reply)).await;
    if let Ok(Some((to, ask))) = end.await {
        peers.hand_over(to, ask).await;
    }
    sleep(LAST_WORDS).await;
    Ok(())
}
