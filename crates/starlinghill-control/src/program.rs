//! The operators' program. It runs the xDS control service for third-party proxies, members of the failover group and
//! gateways that follow the group, and it sends orders to the group. SIGTERM stops a service; SIGHUP makes it reload its
//! file.
//!
//! The program is part of the library so that an example can start it as child processes without a second build.

mod explain;
mod group;
mod node;
mod zones;

use crate::{hub_plan, prepare, start, Prepared};
use clap::{Parser, Subcommand};
use serde_json::json;
use starlinghill_control_state::fleet::{EndpointUse, Fleet};
use starlinghill_control_state::routes::routes;
use starlinghill_gateway::config::Upstreams;
use starlinghill_gateway::discovery::{self, Follower, Source};
use starlinghill_operator_config::Problem;
use starlinghill_settings::members::MemberList;
use starlinghill_signals::{SignalEvent, Signals};
use starlinghill_xds::hub::{build_published_state, Clock};
use starlinghill_xds::resources::route_tables;
use starlinghill_xds::server::resource_summaries;
use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tracing::level_filters::LevelFilter;
use tracing::warn;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// How long `dump` waits for discovery to send the list of servers.
const MEMBER_LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the shared services of a fleet of gateways, and sends orders to them.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run the xDS control service for other proxies, until SIGTERM.
    Run {
        /// The operators' file.
        file: PathBuf,
    },
    /// Check the operators' file and print one line for each error.
    Check {
        /// The operators' file.
        file: PathBuf,
    },
    /// Print the configuration that a proxy would get now, as JSON.
    Dump {
        /// The operators' file.
        file: PathBuf,
        /// The proxy's node id.
        #[arg(long)]
        node: String,
    },
    /// Run a gateway that follows the group of the operators' file. Its other settings come from the environment.
    Gateway {
        /// The operators' file.
        file: PathBuf,
    },
    /// Run a member of the failover group, until SIGTERM; or change the group.
    Group(group::Args),
    /// Show each zone's state, epoch, author and reason, and which gateways follow.
    Zones(zones::ListArgs),
    /// Show the health of the zones as found from the reports of all gateways.
    Why(explain::Args),
    /// Order a change of a zone.
    #[command(subcommand)]
    Zone(zones::ZoneCommand),
}

/// One error of all problems, a line each.
fn problems_error(problems: Vec<Problem>) -> Box<dyn Error> {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    lines.join("\n").into()
}

/// Runs the control service until SIGTERM.
fn run(file: &Path) -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        // Installed first: until then these signals would end the process.
        let mut signals = Signals::listen()?;
        let prepared = prepare(file).map_err(problems_error)?;
        let mut running = start(prepared).await?;
        while signals.next().await == SignalEvent::Reload {
            match prepare(file) {
                Ok(prepared) => running.reload(prepared).await,
                Err(problems) => {
                    for problem in problems {
                        warn!(%problem, "the operators' file is not usable; what was read before stays");
                    }
                }
            }
        }
        running.stop().await;
        Ok(())
    })
}

/// The list of servers as discovery sends it first; `None` if it doesn't come in time.
async fn fetch_member_list(upstreams: Upstreams) -> Option<MemberList> {
    let (_sender, upstreams) = watch::channel(upstreams);
    let (tx, mut rx) = mpsc::channel::<MemberList>(1);
    tokio::select! {
        () = discovery::watch(upstreams, Follower::new(0, Source::Agent, 1, None), tx) => None,
        list = tokio::time::timeout(MEMBER_LIST_TIMEOUT, rx.recv()) => list.ok().flatten(),
    }
}

/// Prints what the proxy `node` would get now, without connecting any proxy.
fn dump(file: &Path, node: &str) -> Result<(), Box<dyn Error>> {
    let Prepared { control, platform_settings, upstreams, group, .. } =
        prepare(file).map_err(problems_error)?;
    if !control.proxies.iter().any(|p| p.id == node) {
        return Err(format!("{}: control.proxies: expected '{node}' among the ids", file.display()).into());
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let list = runtime
        .block_on(fetch_member_list(upstreams))
        .ok_or("discovery did not tell the list of servers in time")?;
    let now = Clock::start().now();
    let mut fleet = Fleet::new(0, platform_settings.clone())?;
    fleet.apply_list(now, list)?;
    let picture = fleet.snapshot(now).ok_or("discovery told only changes of the list")?;
    let routes = routes(&platform_settings);
    let tables = Arc::new(route_tables(&routes));
    let published =
        build_published_state(picture.clone(), &hub_plan(&control, group.as_ref()), &tables, None, true);
    let set = published.sets.get(node).ok_or("no resources for this node")?;
    let endpoints = picture.endpoints.iter().map(|e| {
        let usage = match e.usage {
            EndpointUse::Healthy => "healthy",
            EndpointUse::Ejected => "ejected",
            EndpointUse::Draining => "draining",
        };
        json!({"id": e.id, "address": e.address, "zone": e.zone, "use": usage, "weight": e.weight,
            "region": e.region, "priority": e.priority})
    });
    let routes = routes.iter().map(|r| {
        json!({"class": r.name, "method": r.method, "timeout_ms": r.timeout.0 / 1000, "retries": r.retries,
            "per_try_ms": r.per_try.map(|t| t.0 / 1000), "retry_on": format!("{:?}", r.retry_on)})
    });
    let resources = resource_summaries(set).into_iter().map(|(kind, name, version, bytes)| {
        json!({"kind": kind.to_string(), "name": name, "version": version, "bytes": bytes})
    });
    let output = json!({
        "node": node,
        "drop_per_10000": picture.drop_per_10000,
        "endpoints": endpoints.collect::<Vec<_>>(),
        "routes": routes.collect::<Vec<_>>(),
        "resources": resources.collect::<Vec<_>>(),
    });
    println!("{}", serde_json::to_string_pretty(&output)?);
    Ok(())
}

/// Validates the sections of the file and prints the time bounds that follow from the group's settings.
fn check(file: &Path) -> Result<(), Box<dyn Error>> {
    let operators = starlinghill_operator_config::read(file).map_err(problems_error)?;
    if operators.control.is_some() || operators.group.is_none() {
        prepare(file).map_err(problems_error)?;
    }
    println!("{}: good", file.display());
    if let Some(group) = operators.group {
        let millis = |m: starlinghill_failover::Micros| m.0.div_ceil(1_000);
        let timing = group.timing;
        println!("a change reaches every connected gateway within {} ms", millis(timing.delivery_bound()));
        println!(
            "the same where a member dies meanwhile: {} ms",
            millis(timing.delivery_bound_after_failure())
        );
        println!(
            "no gateway acts on what is older than {} ms without saying so",
            millis(timing.max_acted_on_age())
        );
    }
    Ok(())
}

/// Runs the program with the arguments of this process.
pub fn main() -> ExitCode {
    // openraft logs each vote and append at INFO; only its warnings are of use to operators.
    let levels = Targets::new().with_default(LevelFilter::INFO).with_target("openraft", LevelFilter::WARN);
    let stderr_layer = tracing_subscriber::fmt::layer().with_ansi(false).with_writer(std::io::stderr);
    tracing_subscriber::registry().with(stderr_layer).with(levels).init();
    let result = match Cli::parse().command {
        Command::Run { file } => run(&file),
        Command::Check { file } => check(&file),
        Command::Dump { file, node } => dump(&file, &node),
        Command::Gateway { file } => return node::run(&file),
        Command::Group(args) => return group::main(args),
        Command::Zones(args) => return zones::list(&args),
        Command::Zone(command) => return zones::run_order(command),
        Command::Why(args) => return explain::main(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}
