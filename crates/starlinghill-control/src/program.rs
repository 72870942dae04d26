//! The operators' program: the control service for proxies that others build, members of the group that decides in
//! common, gateways that follow it, and orders to it. SIGTERM ends a service, SIGHUP makes it read its file again.
//!
//! It stands in the library so that a demo can run it as processes of its own without a second build.

mod explain;
mod group;
mod node;
mod zones;

use crate::{plan, prepare, start, Prepared};
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

/// How long `dump` waits for the list of servers.
const LIST_WAIT: Duration = Duration::from_secs(5);

/// Runs what a fleet of gateways has in common, and gives orders to it.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Tell other proxies, over xDS, what the gateways decide, until SIGTERM.
    Run {
        /// The operators' file.
        file: PathBuf,
    },
    /// Say what is wrong with the operators' file, one line each.
    Check {
        /// The operators' file.
        file: PathBuf,
    },
    /// Print what a proxy would get now, as JSON.
    Dump {
        /// The operators' file.
        file: PathBuf,
        /// The proxy's node id.
        #[arg(long)]
        node: String,
    },
    /// Run a gateway that follows the group of the operators' file; the rest is told by its environment.
    Gateway {
        /// The operators' file.
        file: PathBuf,
    },
    /// Be a member of the group that decides in common, until SIGTERM; or change the group.
    Group(group::Args),
    /// Show the zones: state, epoch, who, why, and which gateways follow.
    Zones(zones::ListArgs),
    /// Say what is found of the zones by what all gateways see, and who sees what.
    Why(explain::Args),
    /// Order something about a zone.
    #[command(subcommand)]
    Zone(zones::ZoneCommand),
}

fn told(problems: Vec<Problem>) -> Box<dyn Error> {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    lines.join("\n").into()
}

fn run(file: &Path) -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        // From the first moment on: by themselves they would end the process.
        let mut signals = Signals::listen()?;
        let prepared = prepare(file).map_err(told)?;
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

async fn list(upstreams: Upstreams) -> Option<MemberList> {
    let (_keep, upstreams) = watch::channel(upstreams);
    let (tx, mut rx) = mpsc::channel::<MemberList>(1);
    tokio::select! {
        () = discovery::watch(upstreams, Follower::new(0, Source::Agent, 1, None), tx) => None,
        list = tokio::time::timeout(LIST_WAIT, rx.recv()) => list.ok().flatten(),
    }
}

fn dump(file: &Path, node: &str) -> Result<(), Box<dyn Error>> {
    let Prepared { control, site, upstreams, group, .. } = prepare(file).map_err(told)?;
    if !control.proxies.iter().any(|p| p.id == node) {
        return Err(format!("{}: control.proxies: expected '{node}' among the ids", file.display()).into());
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let list =
        runtime.block_on(list(upstreams)).ok_or("discovery did not tell the list of servers in time")?;
    let now = Clock::start().now();
    let mut fleet = Fleet::new(0, site.clone())?;
    fleet.apply_list(now, list)?;
    let picture = fleet.snapshot(now).ok_or("discovery told only changes of the list")?;
    let routes = routes(&site);
    let tables = Arc::new(route_tables(&routes));
    let published =
        build_published_state(picture.clone(), &plan(&control, group.as_ref()), &tables, None, true);
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
    let all = json!({
        "node": node,
        "drop_per_10000": picture.drop_per_10000,
        "endpoints": endpoints.collect::<Vec<_>>(),
        "routes": routes.collect::<Vec<_>>(),
        "resources": resources.collect::<Vec<_>>(),
    });
    println!("{}", serde_json::to_string_pretty(&all)?);
    Ok(())
}

/// Checks each section that there is, and prints the bounds that follow from the group's times.
fn check(file: &Path) -> Result<(), Box<dyn Error>> {
    let operators = starlinghill_operator_config::read(file).map_err(told)?;
    if operators.control.is_some() || operators.group.is_none() {
        prepare(file).map_err(told)?;
    }
    println!("{}: good", file.display());
    if let Some(group) = operators.group {
        let ms = |m: starlinghill_failover::Micros| m.0.div_ceil(1_000);
        let t = group.timing;
        println!("a change reaches every connected gateway within {} ms", ms(t.reaches_within()));
        println!("the same where a member dies meanwhile: {} ms", ms(t.reaches_within_after_a_death()));
        println!("no gateway acts on what is older than {} ms without saying so", ms(t.never_older_than()));
    }
    Ok(())
}

/// Runs the program with the process's own arguments.
pub fn main() -> ExitCode {
    // The replicated log's library tells of each vote and each append; what it warns of is for operators.
    let levels = Targets::new().with_default(LevelFilter::INFO).with_target("openraft", LevelFilter::WARN);
    let lines = tracing_subscriber::fmt::layer().with_ansi(false).with_writer(std::io::stderr);
    tracing_subscriber::registry().with(lines).with(levels).init();
    let done = match Cli::parse().command {
        Command::Run { file } => run(&file),
        Command::Check { file } => check(&file),
        Command::Dump { file, node } => dump(&file, &node),
        Command::Gateway { file } => return node::run(&file),
        Command::Group(args) => return group::main(args),
        Command::Zones(args) => return zones::list(&args),
        Command::Zone(command) => return zones::order(command),
        Command::Why(args) => return explain::main(&args),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}
