//! `zones` and `zone`: what the group has decided of each zone, who follows it, and orders.

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

/// How long members may take to say what they know.
pub const LOOK: Duration = Duration::from_millis(1_000);
/// How long an order may take: a leader may have to be chosen first.
pub const GIVE: Duration = Duration::from_secs(10);
/// How often `--wait` looks.
const POLL: Duration = Duration::from_millis(200);

/// How a command ends when it doesn't end well. Each has a code of its own, for scripts.
#[derive(Debug)]
pub enum Exit {
    /// The command or the file is wrong: 1.
    Usage(String),
    /// The group refuses: 3.
    Refused(Vec<String>),
    /// No member took it; it does not count: 4.
    NotReached(String),
    /// It may count or not: 5.
    Unknown(String),
    /// It counts, and not every gateway follows in time: 6.
    TimedOut(String),
    /// This member can't take part: 7.
    Out(String),
}

impl fmt::Display for Exit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Exit::Usage(what) | Exit::Out(what) => f.write_str(what),
            Exit::Refused(causes) => write!(f, "refused: {}", causes.join("\nrefused: ")),
            Exit::NotReached(what) => write!(f, "not reached: {what}"),
            Exit::Unknown(what) => write!(f, "unknown: {what}"),
            Exit::TimedOut(what) => write!(f, "timed out: {what}"),
        }
    }
}

impl Exit {
    /// Tells it, and its code.
    pub fn tell(self) -> ExitCode {
        eprintln!("{self}");
        ExitCode::from(match self {
            Exit::Usage(_) => 1,
            Exit::Refused(_) => 3,
            Exit::NotReached(_) => 4,
            Exit::Unknown(_) => 5,
            Exit::TimedOut(_) => 6,
            Exit::Out(_) => 7,
        })
    }
}

impl From<OrderError> for Exit {
    fn from(e: OrderError) -> Exit {
        match e {
            OrderError::NotAccepted(why) => Exit::NotReached(why),
            OrderError::Unknown(_) => Exit::Unknown(e.to_string()),
        }
    }
}

/// A wrong command or file.
pub fn usage(what: impl fmt::Display) -> Exit {
    Exit::Usage(what.to_string())
}

/// A runtime for a few calls.
pub fn runtime() -> Result<tokio::runtime::Runtime, Exit> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(usage)
}

/// Prints JSON for scripts.
pub fn print_json<T: Serialize>(value: &T) -> Result<(), Exit> {
    println!("{}", serde_json::to_string_pretty(value).map_err(usage)?);
    Ok(())
}

/// `zones`.
#[derive(clap::Args)]
pub struct ListArgs {
    /// The operators' file.
    file: PathBuf,
    /// As JSON.
    #[arg(long)]
    json: bool,
}

/// What all orders have.
#[derive(clap::Args)]
pub struct OrderArgs {
    /// The operators' file.
    file: PathBuf,
    /// The zone.
    zone: String,
    /// Why.
    #[arg(long)]
    reason: String,
    /// Who orders it; by default the user.
    #[arg(long)]
    by: Option<String>,
    /// The order's id, to send one again whose answer got lost.
    #[arg(long)]
    id: Option<String>,
    /// Go on though another zone is not in full service.
    #[arg(long)]
    force: bool,
    /// The region that takes over, where it is the last zone of its region.
    #[arg(long)]
    next: Option<String>,
    /// Wait until the zone is where it was ordered to and every live gateway follows; so many seconds at the most.
    #[arg(long, value_name = "SECONDS", num_args = 0..=1, default_missing_value = "60")]
    wait: Option<u64>,
    /// As JSON.
    #[arg(long)]
    json: bool,
}

/// Steps of a ramp.
#[derive(clap::Args)]
pub struct RampArgs {
    /// The most that one step changes the zone's part by, in percent.
    #[arg(long, default_value_t = 10)]
    step: u16,
    /// The least time between two steps, in milliseconds.
    #[arg(long, default_value_t = 5_000)]
    every_ms: u32,
}

impl RampArgs {
    fn ramp(&self) -> Ramp {
        Ramp { step: self.step.saturating_mul(10), every_ms: self.every_ms }
    }
}

/// `zone`.
#[derive(Subcommand)]
pub enum ZoneCommand {
    /// Give it less, in steps.
    Drain {
        #[command(flatten)]
        order: OrderArgs,
        #[command(flatten)]
        ramp: RampArgs,
        /// The part of its work that it has at the end, in percent.
        #[arg(long, default_value_t = 0)]
        to: u16,
    },
    /// Give it nothing new, at once.
    Out {
        #[command(flatten)]
        order: OrderArgs,
    },
    /// Give it more, in steps, until it has its whole part.
    Return {
        #[command(flatten)]
        order: OrderArgs,
        #[command(flatten)]
        ramp: RampArgs,
    },
    /// Leave its part as it is.
    Hold {
        #[command(flatten)]
        order: OrderArgs,
    },
}

/// What the newest of the members knows, and who follows by any of them.
pub async fn newest(members: &[SocketAddr]) -> Result<(Report, BTreeMap<String, Subscriber>), Exit> {
    let (mut reports, mut away) = (Vec::new(), Vec::new());
    for found in fetch_all_reports(members, LOOK).await {
        match found {
            Ok(report) => reports.push(report),
            Err(why) => away.push(why),
        }
    }
    let mut followers: BTreeMap<String, Subscriber> = BTreeMap::new();
    for s in reports.iter().flat_map(|r| &r.subscribers) {
        // A gateway that has changed members is known to both for a moment.
        if followers.get(&s.name).is_none_or(|known| s.heard_ms < known.heard_ms) {
            followers.insert(s.name.clone(), s.clone());
        }
    }
    let key = |r: &Report| (r.state.position, std::cmp::Reverse(r.age_ms.unwrap_or(u64::MAX)));
    let best = reports.into_iter().max_by_key(key);
    best.map(|best| (best, followers)).ok_or_else(|| Exit::NotReached(away.join("; ")))
}

/// An order with all but what is ordered.
pub fn signed(id: Option<String>, by: Option<String>, reason: String) -> Order {
    let author = by.or_else(|| std::env::var("USER").ok()).unwrap_or_else(|| "operator".into());
    let id = id.unwrap_or_else(|| format!("{:016x}", fastrand::u64(..)));
    // What is ordered is filled in by the caller; a step of nothing is refused by every group.
    let what = OrderKind::Step { zone: String::new(), zone_epoch: 0 };
    Order { id, author, reason, at_ms: wall_clock::now_ms(), kind: what }
}

fn part(z: &ZoneState) -> String {
    let percent = |w: u16| format!("{}%", f64::from(w) / 10.0);
    match z.has_pending_step() {
        true => format!("{} -> {}", percent(z.weight), percent(z.target_weight)),
        false => percent(z.weight),
    }
}

fn ago(at_ms: u64) -> String {
    match wall_clock::now_ms().saturating_sub(at_ms) / 1_000 {
        _ if at_ms == 0 => "-".into(),
        s @ 0..=119 => format!("{s} s"),
        s @ 120..=7_199 => format!("{} min", s / 60),
        s => format!("{} h", s / 3_600),
    }
}

/// Shows the zones.
pub fn list(args: &ListArgs) -> ExitCode {
    show(args).map_or_else(Exit::tell, |()| ExitCode::SUCCESS)
}

fn show(args: &ListArgs) -> Result<(), Exit> {
    let group = read(&args.file).map_err(usage)?;
    let (report, followers) = runtime()?.block_on(newest(&addresses(&group)))?;
    let stale = group.timing.stale_limit.0 / 1_000;
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
    if report.age_ms.is_none_or(|ms| ms > stale) {
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
            part(z),
            z.epoch,
            ago(z.changed_at_ms),
            z.changed_by,
            z.reason
        );
    }
    for (region, next) in &state.takeover_regions {
        println!("region {region} has nothing in service; {next} takes over");
    }
    let mut by_epoch: BTreeMap<Position, Vec<&Subscriber>> = BTreeMap::new();
    for s in followers.values() {
        by_epoch.entry(s.followed).or_default().push(s);
    }
    println!("{} gateways follow", followers.len());
    for (position, all) in by_epoch.iter().rev() {
        let shown: Vec<String> = all.iter().take(8).map(|s| format!("{} ({})", s.name, s.mode)).collect();
        let more = if all.len() > 8 { ", ..." } else { "" };
        println!("  {position}: {:>5}  {}{more}", all.len(), shown.join(", "));
    }
    Ok(())
}

/// Orders something about a zone.
pub fn order(command: ZoneCommand) -> ExitCode {
    let (args, change) = match command {
        ZoneCommand::Drain { order, ramp, to } => (
            order,
            Change::Drain { target_weight: to.saturating_mul(10).min(FULL_WEIGHT), ramp: ramp.ramp() },
        ),
        ZoneCommand::Out { order } => (order, Change::Out),
        ZoneCommand::Return { order, ramp } => (order, Change::Return { ramp: ramp.ramp() }),
        ZoneCommand::Hold { order } => (order, Change::Hold),
    };
    ordered(args, change).map_or_else(Exit::tell, |()| ExitCode::SUCCESS)
}

fn ordered(args: OrderArgs, change: Change) -> Result<(), Exit> {
    let group = read(&args.file).map_err(usage)?;
    let members = addresses(&group);
    runtime()?.block_on(async {
        let (report, _) = newest(&members).await?;
        // Sent again by its id, it has to be the same order: what its author saw then is in the answer kept.
        let seen = report.state.zones.get(&args.zone).map(|z| z.epoch).filter(|_| args.id.is_none());
        let what = OrderKind::Zone(ZoneOrder {
            zone: args.zone.clone(),
            change,
            expected_epoch: seen,
            takeover_region: args.next,
            force: args.force,
        });
        let order = Order { kind: what, ..signed(args.id, args.by, args.reason) };
        let position = match submit_order(&members, &order, GIVE).await {
            Ok(Outcome::Accepted { position }) => position,
            Ok(Outcome::Refused { causes, .. }) => {
                return Err(Exit::Refused(causes.iter().map(ToString::to_string).collect()));
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

/// Waits until the zone has made its steps and every live gateway follows; tells how many, and how long it took.
async fn wait(
    members: &[SocketAddr],
    zone: &str,
    ordered: Position,
    patience: Duration,
    quiet: bool,
) -> Result<(usize, u64), Exit> {
    let begin = Instant::now();
    let mut last = String::new();
    loop {
        let line = match newest(members).await {
            Err(e) => e.to_string(),
            Ok((report, followers)) => {
                let z = report.state.zones.get(zone);
                let late: Vec<String> = followers
                    .values()
                    .filter(|s| s.followed < report.state.position.max(ordered))
                    .map(|s| format!("{} at {} ({})", s.name, s.followed, s.mode))
                    .collect();
                let moves = z.is_some_and(ZoneState::has_pending_step);
                if report.state.position >= ordered && !moves && late.is_empty() {
                    let ms = u64::try_from(begin.elapsed().as_millis()).unwrap_or(u64::MAX);
                    if !quiet {
                        println!("{} gateways follow after {ms} ms", followers.len());
                    }
                    return Ok((followers.len(), ms));
                }
                let part = z.map_or("gone".into(), part);
                let shown = late.iter().take(4).cloned().collect::<Vec<_>>().join(", ");
                format!(
                    "{zone} at {part}; {} of {} gateways follow {}; {shown}",
                    followers.len() - late.len(),
                    followers.len(),
                    report.state.position
                )
            }
        };
        if line != last && !quiet {
            println!("{line}");
        }
        last = line;
        if begin.elapsed() > patience {
            return Err(Exit::TimedOut(format!("it counts, and after {} s: {last}", patience.as_secs())));
        }
        tokio::time::sleep(POLL).await;
    }
}
