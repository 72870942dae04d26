//! Starts a registry process and shuts it down.

use crate::http::{self, HttpApi};
use crate::peers::{follow_store, Peers};
use crate::router::RouteNode;
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

/// How long requests that are under way at shutdown have to be answered.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(400);

/// Why a registry can't start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The settings file is missing or invalid.
    #[snafu(display("{source}"))]
    Settings {
        /// The underlying error.
        source: SettingsError,
    },
    /// The settings name no address for the HTTP API.
    #[snafu(display("network.listen.control: found nothing, allowed: an IP address with a port"))]
    Unreachable,
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

async fn listen(net: &NetworkHandle, address: SocketAddr) -> Result<Box<dyn Listener>, StartError> {
    net.listen(address).await.context(SystemSnafu { operation: format!("listen on {address}") })
}

/// Runs a registry until SIGTERM or SIGINT.
pub async fn run(signals: Signals) -> Result<(), StartError> {
    run_on(net::tcp(), signals).await
}

/// Like `run`, on the given network.
pub async fn run_on(net: NetworkHandle, mut signals: Signals) -> Result<(), StartError> {
    let node = NodeSettings::from_environment().context(SettingsSnafu)?;
    run_registry(&node, &net, signals.wait_for_shutdown()).await
}

/// Runs a registry with the given settings until `end` completes.
pub async fn run_registry(
    node: &NodeSettings,
    net: &NetworkHandle,
    end: impl Future<Output = ()>,
) -> Result<(), StartError> {
    let control = listen(net, node.control.context(UnreachableSnafu)?).await?;
    let own = listen(net, node.internal_address(node.ip, REGISTRY_PORT_OFFSET)).await?;
    log::info!("event=start program=toolrack node={}", node.name);
    let seeds: Vec<IpAddr> = node.seeds.iter().map(|seed| seed.ip()).collect();
    let peers =
        Rc::new(Peers::new(net, node.ip, node.internal_address(node.ip, REGISTRY_PORT_OFFSET).port(), seeds));
    let store = node.internal_address(node.ip, CONFIG_STORE_PORT_OFFSET);
    let (essentials, mut first_ended) = EssentialTasks::new();
    let state = state::start(node, &essentials);
    let (stop, stopping) = watch::channel(false);
    essentials.spawn("peers", peers.clone().run(state.clone()));
    let staleness = StalenessBudget::from_apply_bound(node.bounds.apply);
    essentials.spawn("store", follow_store(net.clone(), store, state.clone(), peers.clone(), staleness));
    let api = HttpApi {
        net: net.clone(),
        state: state.clone(),
        peers: peers.clone(),
        store,
        routes: RouteNode::api_routes(),
        stopping,
    };
    essentials.spawn("control", http::serve(control, Rc::new(api)));
    let requests = state.clone();
    let answer = move |question, _| {
        let state = requests.clone();
        async move {
            let (reply, answer) = oneshot::channel();
            let _ = state.send(Command::Request(question, reply)).await;
            answer.await.unwrap_or(RegistryResponse::NotHolder(0))
        }
    };
    essentials.spawn("calls", rpc::serve(own, node.max_peers(), |_| false, answer));
    tokio::select! {
        biased;
        () = end => {}
        task = first_ended.wait() => return TaskSnafu { task }.fail(),
    }
    // There may be no receivers left.
    let _ = stop.send(true);
    let (reply, end) = oneshot::channel();
    let _ = state.send(Command::End(reply)).await;
    if let Ok(Some((successor, lease_request))) = end.await {
        peers.hand_over(successor, lease_request).await;
    }
    sleep(SHUTDOWN_GRACE).await;
    Ok(())
}
