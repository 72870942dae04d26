//! The commands `zones`, which shows the state of each zone and the gateways that follow, and `zone`, which sends orders.

use crate::program::group::{addresses, read};
use clap::Subcommand;
use serde::Serialize;
use serde_json::json;
use starlinghill_failover::order::{Change, Order, OrderKind, Ramp, ZoneOrder};
use starlinghill_failover::state::{Outcome, ZoneState};
use starlinghill_failover::{Position, FULL_WEIGHT};
use starlinghill_failover_client::client::{fetch_all_reports, submit_order, OrderError};
use starlinghill_failover_client::report::{Report, Subscriber};
use starlinghill_failover_client::wall_clock;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::time::Instant;

/// The time limit for the reports of members.
pub const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The time limit for an order, which may have to wait for the election of a leader.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(10);
/// The interval at which `--wait` asks the members.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Why a command failed. Each case has its own exit code, so that scripts can tell them apart.
#[derive(Debug)]
pub enum CommandError {
    /// The arguments or the operators' file are invalid. Exit code 1.
    Usage(String),
    /// The group refused the request. Exit code 3.
    Refused(Vec<String>),
    /// No member accepted the request; it has no effect. Exit code 4.
    NotReached(String),
    /// It is unknown whether the request took effect. Exit code 5.
    Unknown(String),
    /// The order took effect, but not every gateway followed within the time of `--wait`. Exit code 6.
    TimedOut(String),
    /// The member's file or Raft node can't be used. Exit code 7.
    MemberUnusable(String),
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::Usage(message) | CommandError::MemberUnusable(message) => f.write_str(message),
            CommandError::Refused(causes) => write!(f, "refused: {}", causes.join("\nrefused: ")),
            CommandError::NotReached(message) => write!(f, "not reached: {message}"),
            CommandError::Unknown(message) => write!(f, "unknown: {message}"),
            CommandError::TimedOut(message) => write!(f, "timed out: {message}"),
        }
    }
}

impl CommandError {
    /// Prints the error to stderr and returns its exit code.
    pub fn report_and_exit(self) -> ExitCode {
        eprintln!("{self}");
        ExitCode::from(match self {
            CommandError::Usage(_) => 1,
            CommandError::Refused(_) => 3,
            CommandError::NotReached(_) => 4,
            CommandError::Unknown(_) => 5,
            CommandError::TimedOut(_) => 6,
            CommandError::MemberUnusable(_) => 7,
        })
    }
}

impl From<OrderError> for CommandError {
    fn from(e: OrderError) -> CommandError {
        match e {
            OrderError::NotAccepted(why) => CommandError::NotReached(why),
            OrderError::Unknown(_) => CommandError::Unknown(e.to_string()),
        }
    }
}

/// An error with exit code 1.
pub fn usage_error(message: impl fmt::Display) -> CommandError {
    CommandError::Usage(message.to_string())
}

/// A single-threaded Tokio runtime for a command's calls.
pub fn runtime() -> Result<tokio::runtime::Runtime, CommandError> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(usage_error)
}

/// Prints a value to stdout as indented JSON.
pub fn print_json<T: Serialize>(value: &T) -> Result<(), CommandError> {
    println!("{}", serde_json::to_string_pretty(value).map_err(usage_error)?);
    Ok(())
}

/// Arguments of `zones`.
#[derive(clap::Args)]
pub struct ListArgs {
    /// The operators' file.
    file: PathBuf,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// The arguments that all orders share.
#[derive(clap::Args)]
pub struct OrderArgs {
    /// The operators' file.
    file: PathBuf,
    /// The name of the zone.
    zone: String,
    /// The reason, recorded with the order.
    #[arg(long)]
    reason: String,
    /// The author of the order; by default the user.
    #[arg(long)]
    by: Option<String>,
    /// The order's id, to repeat an order whose answer was lost.
    #[arg(long)]
    id: Option<String>,
    /// Proceed although another zone is not in full service.
    #[arg(long)]
    force: bool,
    /// The region that takes over if this is the last zone of its region.
    #[arg(long)]
    next: Option<String>,
    /// Wait until the zone has reached its ordered state and every live gateway follows, for this long at most.
    #[arg(long, value_name = "SECONDS", num_args = 0..=1, default_missing_value = "60")]
    wait: Option<u64>,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// The size and interval of the steps of a ramp.
#[derive(clap::Args)]
pub struct RampArgs {
    /// The largest change of the zone's share in one step, in percent.
    #[arg(long, default_value_t = 10)]
    step: u16,
    /// The shortest time between two steps, in milliseconds.
    #[arg(long, default_value_t = 5_000)]
    every_ms: u32,
}

impl RampArgs {
    fn ramp(&self) -> Ramp {
        Ramp { step: self.step.saturating_mul(10), every_ms: self.every_ms }
    }
}

/// The orders of the command `zone`.
#[derive(Subcommand)]
pub enum ZoneCommand {
    /// Reduce the zone's share of work in steps.
    Drain {
        #[command(flatten)]
        order: OrderArgs,
        #[command(flatten)]
        ramp: RampArgs,
        /// The share that is left to the zone at the end, in percent of its full share.
        #[arg(long, default_value_t = 0)]
        to: u16,
    },
    /// Send the zone no new work, at once.
    Out {
        #[command(flatten)]
        order: OrderArgs,
    },
    /// Raise the zone's share in steps to its full share.
    Return {
        #[command(flatten)]
        order: OrderArgs,
        #[command(flatten)]
        ramp: RampArgs,
    },
    /// Stop a ramp and keep the zone's present share.
    Hold {
        #[command(flatten)]
        order: OrderArgs,
    },
}

/// The report of the member with the newest state, and the gateways that follow through any member, by name. Fails if no
/// member answers.
pub async fn newest_report(
    members: &[SocketAddr],
) -> Result<(Report, BTreeMap<String, Subscriber>), CommandError> {
    let (mut reports, mut errors) = (Vec::new(), Vec::new());
    for found in fetch_all_reports(members, REPORT_TIMEOUT).await {
        match found {
            Ok(report) => reports.push(report),
            Err(why) => errors.push(why),
        }
    }
    let mut followers: BTreeMap<String, Subscriber> = BTreeMap::new();
    for s in reports.iter().flat_map(|r| &r.subscribers) {
        // For a moment, both members list a gateway that has just changed from one to the other. The one that heard from
        // it last is right.
        if followers.get(&s.name).is_none_or(|known| s.heard_ms < known.heard_ms) {
            followers.insert(s.name.clone(), s.clone());
        }
    }
    let key = |r: &Report| (r.state.position, std::cmp::Reverse(r.age_ms.unwrap_or(u64::MAX)));
    let best = reports.into_iter().max_by_key(key);
    best.map(|best| (best, followers)).ok_or_else(|| CommandError::NotReached(errors.join("; ")))
}

/// An order with its id, author, reason and time. The caller sets what is ordered.
pub fn order_template(id: Option<String>, by: Option<String>, reason: String) -> Order {
    let author = by.or_else(|| std::env::var("USER").ok()).unwrap_or_else(|| "operator".into());
    let id = id.unwrap_or_else(|| format!("{:016x}", fastrand::u64(..)));
    // A placeholder that every group refuses, in case a caller forgets to replace it.
    let what = OrderKind::Step { zone: String::new(), zone_epoch: 0 };
    Order { id, author, reason, at_ms: wall_clock::now_ms(), kind: what }
}

/// The zone's share in percent, with the share that its ramp leads to.
fn format_share(z: &ZoneState) -> String {
    let percent = |w: u16| format!("{}%", f64::from(w) / 10.0);
    match z.has_pending_step() {
        true => format!("{} -> {}", percent(z.weight), percent(z.target_weight)),
        false => percent(z.weight),
    }
}

/// The time since a wall clock time; `-` if it is 0, which means never.
fn format_age(at_ms: u64) -> String {
    match wall_clock::now_ms().saturating_sub(at_ms) / 1_000 {
        _ if at_ms == 0 => "-".into(),
        s @ 0..=119 => format!("{s} s"),
        s @ 120..=7_199 => format!("{} min", s / 60),
        s => format!("{} h", s / 3_600),
    }
}

/// Runs the command `zones`.
pub fn list(args: &ListArgs) -> ExitCode {
    show(args).map_or_else(CommandError::report_and_exit, |()| ExitCode::SUCCESS)
}

fn show(args: &ListArgs) -> Result<(), CommandError> {
    let group = read(&args.file).map_err(usage_error)?;
    let (report, followers) = runtime()?.block_on(newest_report(&addresses(&group)))?;
    let stale_ms = group.timing.stale_limit.0 / 1_000;
    let state = &report.state;
    if args.json {
        return print_json(&json!({
            "position": state.position, "age_ms": report.age_ms, "leader": report.leader,
            "zones": state.zones, "map": state.topology, "next": state.takeover_regions,
            "gateways": followers.values().collect::<Vec<_>>(),
        }));
    }
    let age =
        report.age_ms.map_or("of unknown age: no leader confirms it".into(), |ms| format!("{ms} ms old"));
    println!("position {}, {age}", state.position);
    if report.age_ms.is_none_or(|ms| ms > stale_ms) {
        println!("WARNING: no member knows the newest; what was decided since is not shown");
    }
    println!(
        "{:<16} {:<12} {:<10} {:>13} {:>6} {:>8}  {:<16} REASON",
        "ZONE", "REGION", "STATE", "PART", "EPOCH", "AGE", "BY"
    );
    for (name, z) in &state.zones {
        let region = state.topology.as_ref().and_then(|m| m.zones.get(name)).map_or("", |z| &z.region);
        println!(
            "{name:<16} {region:<12} {:<10} {:>13} {:>6} {:>8}  {:<16} {}",
            z.phase.to_string(),
            format_share(z),
            z.epoch,
            format_age(z.changed_at_ms),
            z.changed_by,
            z.reason
        );
    }
    for (region, next) in &state.takeover_regions {
        println!("region {region} has nothing in service; {next} takes over");
    }
    let mut by_position: BTreeMap<Position, Vec<&Subscriber>> = BTreeMap::new();
    for s in followers.values() {
        by_position.entry(s.followed).or_default().push(s);
    }
    println!("{} gateways follow", followers.len());
    for (position, gateways) in by_position.iter().rev() {
        let shown: Vec<String> =
            gateways.iter().take(8).map(|s| format!("{} ({})", s.name, s.mode)).collect();
        let more = if gateways.len() > 8 { ", ..." } else { "" };
        println!("  {position}: {:>5}  {}{more}", gateways.len(), shown.join(", "));
    }
    Ok(())
}

/// Runs the command `zone`.
pub fn run_order(command: ZoneCommand) -> ExitCode {
    let (args, change) = match command {
        ZoneCommand::Drain { order, ramp, to } => (
            order,
            Change::Drain { target_weight: to.saturating_mul(10).min(FULL_WEIGHT), ramp: ramp.ramp() },
        ),
        ZoneCommand::Out { order } => (order, Change::Out),
        ZoneCommand::Return { order, ramp } => (order, Change::Return { ramp: ramp.ramp() }),
        ZoneCommand::Hold { order } => (order, Change::Hold),
    };
    submit(args, change).map_or_else(CommandError::report_and_exit, |()| ExitCode::SUCCESS)
}

/// Sends the order, and with `--wait` waits until it is followed.
fn submit(args: OrderArgs, change: Change) -> Result<(), CommandError> {
    let group = read(&args.file).map_err(usage_error)?;
    let members = addresses(&group);
    runtime()?.block_on(async {
        let (report, _) = newest_report(&members).await?;
        // The order is refused if the zone has changed since this epoch. A repeated order leaves it out, as it has to
        // be the same order as the first time, whatever the zone's epoch is now.
        let expected_epoch = report.state.zones.get(&args.zone).map(|z| z.epoch).filter(|_| args.id.is_none());
        let what = OrderKind::Zone(ZoneOrder {
            zone: args.zone.clone(),
            change,
            expected_epoch,
            takeover_region: args.next,
            force: args.force,
        });
        let order = Order { kind: what, ..order_template(args.id, args.by, args.reason) };
        let position = match submit_order(&members, &order, ORDER_TIMEOUT).await {
            Ok(Outcome::Accepted { position }) => position,
            Ok(Outcome::Refused { causes, .. }) => {
                return Err(CommandError::Refused(causes.iter().map(ToString::to_string).collect()));
            }
            Err(e) => {
                eprintln!("the order's id is {}", order.id);
                return Err(e.into());
            }
        };
        if !args.json {
            println!("accepted at {position} (order {})", order.id);
        }
        let waited = match args.wait {
            Some(seconds) => Some(
                wait(&members, &args.zone, position, Duration::from_secs(seconds), args.json).await?,
            ),
            None => None,
        };
        match args.json {
            true => print_json(&json!({
                "id": order.id, "position": position,
                "followed_by": waited.as_ref().map(|(n, _)| n), "waited_ms": waited.as_ref().map(|(_, ms)| ms),
            })),
            false => Ok(()),
        }
    })
}

/// Waits until the zone's ramp is complete and every live gateway follows. Returns the number of gateways and the time it
/// took in milliseconds.
async fn wait(
    members: &[SocketAddr],
    zone: &str,
    ordered: Position,
    time_limit: Duration,
    quiet: bool,
) -> Result<(usize, u64), CommandError> {
    let started = Instant::now();
    let mut last_line = String::new();
    loop {
        let line = match newest_report(members).await {
            Err(e) => e.to_string(),
            Ok((report, followers)) => {
                let z = report.state.zones.get(zone);
                let behind: Vec<String> = followers
                    .values()
                    .filter(|s| s.followed < report.state.position.max(ordered))
                    .map(|s| format!("{} at {} ({})", s.name, s.followed, s.mode))
                    .collect();
                let is_moving = z.is_some_and(ZoneState::has_pending_step);
                if report.state.position >= ordered && !is_moving && behind.is_empty() {
                    let ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
                    if !quiet {
                        println!("{} gateways follow after {ms} ms", followers.len());
                    }
                    return Ok((followers.len(), ms));
                }
                let share = z.map_or("gone".into(), format_share);
                let shown = behind.iter().take(4).cloned().collect::<Vec<_>>().join(", ");
                format!(
                    "{zone} at {share}; {} of {} gateways follow {}; {shown}",
                    followers.len() - behind.len(),
                    followers.len(),
                    report.state.position
                )
            }
        };
        if line != last_line && !quiet {
            println!("{line}");
        }
        last_line = line;
        if started.elapsed() > time_limit {
            return Err(CommandError::TimedOut(format!(
                "it counts, and after {} s: {last_line}",
                time_limit.as_secs()
            )));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
