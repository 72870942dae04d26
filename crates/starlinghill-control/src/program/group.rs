//! The command `group`: runs a member of the failover group, shows its members, and changes the group.

use crate::program::zones::{newest_report, print_json, runtime, usage_error, CommandError};
use clap::Subcommand;
use serde_json::json;
use starlinghill_failover::order::{Order, OrderKind};
use starlinghill_failover::state::Outcome;
use starlinghill_failover_client::client::{change_membership, fetch_all_reports, submit_order, OrderError};
use starlinghill_failover_client::report::{MembershipChange, MembershipResult, Report};
use starlinghill_operator_config::Group;
use starlinghill_raft::member::Settings;
use starlinghill_raft::serve::Running;
use starlinghill_raft::store::Store;
use starlinghill_signals::{SignalEvent, Signals};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tracing::{error, info, warn};

/// The time limit for a change of the membership, in which a member that joins has to catch up with the log.
const MEMBERSHIP_TIMEOUT: Duration = Duration::from_secs(40);

/// Arguments of `group`.
#[derive(clap::Args)]
#[command(args_conflicts_with_subcommands = true)]
pub struct Args {
    #[command(subcommand)]
    command: Option<Command>,
    /// The operators' file.
    file: Option<PathBuf>,
    /// The number of the member to run.
    #[arg(long)]
    member: Option<u64>,
}

#[derive(Subcommand)]
enum Command {
    /// Start a new group. All members of the file have to be running, with empty disks.
    Init {
        /// The operators' file.
        file: PathBuf,
    },
    /// Show the members.
    Show {
        /// The operators' file.
        file: PathBuf,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Add a member of the file to the group. It has to be running, with an empty disk.
    Add {
        /// The operators' file.
        file: PathBuf,
        /// The member's number.
        id: u64,
    },
    /// Remove a member from the group.
    Remove {
        /// The operators' file.
        file: PathBuf,
        /// The member's number.
        id: u64,
    },
    /// Order the group to use the regions and zones of the operators' file.
    Adopt {
        /// The operators' file.
        file: PathBuf,
        /// The reason, recorded with the order.
        #[arg(long)]
        reason: String,
    },
    /// Make every member save a snapshot now.
    Snapshot {
        /// The operators' file.
        file: PathBuf,
    },
    /// Start the group again in its next generation, from the remaining disks of a group that lost its majority. The
    /// members of the file have to be running, with empty disks, and the file has to name the next generation.
    Restore {
        /// The operators' file.
        file: PathBuf,
        /// The remaining database files of members that are not running. The newest one is used.
        #[arg(long, required = true)]
        from: Vec<PathBuf>,
    },
}

/// Reads the group section of the operators' file, which has to be present.
pub fn read(file: &Path) -> Result<Group, String> {
    let operators = starlinghill_operator_config::read(file)
        .map_err(|problems| problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))?;
    let missing = || format!("{}: group: expected a section [group], found nothing", file.display());
    operators.group.ok_or_else(missing)
}

/// The addresses of all members in the file.
pub fn addresses(group: &Group) -> Vec<SocketAddr> {
    group.members.iter().map(|m| m.listen).collect()
}

/// Runs the command.
pub fn main(args: Args) -> ExitCode {
    let result = match (args.command, args.file) {
        (None, Some(file)) => run(&file, args.member),
        (None, None) => Err(usage_error("expected the operators' file or a command; see --help")),
        (Some(Command::Init { file }), _) => init(&file, None),
        (Some(Command::Show { file, json }), _) => show(&file, json),
        (Some(Command::Add { file, id }), _) => add(&file, id),
        (Some(Command::Remove { file, id }), _) => change(&file, &MembershipChange::Remove { id }),
        (Some(Command::Adopt { file, reason }), _) => adopt(&file, reason),
        (Some(Command::Snapshot { file }), _) => snapshot(&file),
        (Some(Command::Restore { file, from }), _) => restore(&file, &from),
    };
    result.map_or_else(CommandError::report_and_exit, |()| ExitCode::SUCCESS)
}

/// Runs a member until SIGTERM, or until its disk or Raft node fails.
fn run(file: &Path, member: Option<u64>) -> Result<(), CommandError> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().map_err(usage_error)?;
    // Installed first: until then these signals would end the process.
    let mut signals = {
        let _guard = runtime.enter();
        Signals::listen().map_err(usage_error)?
    };
    let group = read(file).map_err(usage_error)?;
    let known: Vec<String> = group.members.iter().map(|m| m.id.to_string()).collect();
    let id =
        member.ok_or_else(|| usage_error(format!("expected --member with one of {}", known.join(", "))))?;
    let Some(own) = group.members.iter().find(|m| m.id == id) else {
        return Err(usage_error(format!("--member: expected one of {}, found {id}", known.join(", "))));
    };
    let settings = Settings {
        group: group.name.clone(),
        id: own.id,
        file: group.file(own.id),
        listen: own.listen,
        addresses: group.members.iter().map(|m| (m.id, m.listen)).collect(),
        generation: group.generation,
        map: group.map.clone(),
        timing: group.timing,
        subscribers: group.subscribers,
    };
    if group.private_network {
        warn!("messages between members are neither encrypted nor signed; the network has to protect them");
    }
    runtime.block_on(async {
        let running = Running::start(settings.clone()).await.map_err(|e| CommandError::MemberUnusable(e.to_string()))?;
        tokio::select! {
            () = wait_for_termination(&mut signals, file) => {
                running.stop().await;
                Ok(())
            }
            why = running.member.wait_for_failure() => {
                error!(file = %settings.file.display(), why, "this member stays out");
                Err(CommandError::MemberUnusable(format!("{}: {why}; this member stays out", settings.file.display())))
            }
        }
    })
}

/// Waits for SIGTERM. At SIGHUP the file is only checked, so that an error in it is known before the next start; a running
/// member keeps the settings of its start.
async fn wait_for_termination(signals: &mut Signals, file: &Path) {
    while signals.next().await == SignalEvent::Reload {
        match read(file) {
            Ok(_) => info!("the operators' file is valid; this member uses it from its next start on"),
            Err(problem) => warn!(%problem, "the operators' file is not usable; what was read before stays"),
        }
    }
}

/// Turns a refusal or failure of a membership change into the command's error.
fn check_result(result: Result<MembershipResult, OrderError>) -> Result<(), CommandError> {
    match result {
        Ok(MembershipResult::Done) => Ok(()),
        Ok(MembershipResult::Refused { why }) => Err(CommandError::Refused(vec![why])),
        Err(e) => Err(e.into()),
    }
}

fn change(file: &Path, change: &MembershipChange) -> Result<(), CommandError> {
    let group = read(file).map_err(usage_error)?;
    check_result(runtime()?.block_on(change_membership(&addresses(&group), change, MEMBERSHIP_TIMEOUT)))
}

/// Starts a new group from blank members, with the restored state if there is one.
fn init(file: &Path, restored: Option<Box<starlinghill_failover::state::State>>) -> Result<(), CommandError> {
    let group = read(file).map_err(usage_error)?;
    let members = group.members.iter().map(|m| (m.id, m.listen)).collect();
    let change = MembershipChange::Init { members, restored };
    // Only one member is asked: of two that start the same group at once, each would find members taken by the other.
    let first = &addresses(&group)[..1];
    check_result(runtime()?.block_on(change_membership(first, &change, MEMBERSHIP_TIMEOUT)))
}

fn add(file: &Path, id: u64) -> Result<(), CommandError> {
    let group = read(file).map_err(usage_error)?;
    let found = group.members.iter().find(|m| m.id == id);
    let address = found.ok_or_else(|| usage_error(format!("{}: no member {id}", file.display())))?.listen;
    check_result(runtime()?.block_on(change_membership(
        &addresses(&group),
        &MembershipChange::Add { id, address },
        MEMBERSHIP_TIMEOUT,
    )))
}

fn adopt(file: &Path, reason: String) -> Result<(), CommandError> {
    let group = read(file).map_err(usage_error)?;
    let members = addresses(&group);
    runtime()?.block_on(async {
        let (report, _) = newest_report(&members).await?;
        let what = OrderKind::Adopt {
            topology: group.map.clone(),
            expected_epoch: Some(report.state.position.epoch),
        };
        let order = Order { kind: what, ..crate::program::zones::order_template(None, None, reason) };
        match submit_order(&members, &order, crate::program::zones::ORDER_TIMEOUT).await? {
            Outcome::Accepted { position } => {
                println!("adopted at {position}");
                Ok(())
            }
            Outcome::Refused { causes, .. } => {
                Err(CommandError::Refused(causes.iter().map(ToString::to_string).collect()))
            }
        }
    })
}

fn snapshot(file: &Path) -> Result<(), CommandError> {
    let group = read(file).map_err(usage_error)?;
    runtime()?.block_on(async {
        let mut failed = Vec::new();
        for member in addresses(&group) {
            let result =
                change_membership(&[member], &MembershipChange::Snapshot, Duration::from_secs(2)).await;
            match check_result(result) {
                Ok(()) => println!("{member}: kept"),
                Err(e) => failed.push(format!("{member}: {e}")),
            }
        }
        match failed.is_empty() {
            true => Ok(()),
            false => Err(CommandError::NotReached(failed.join("; "))),
        }
    })
}

/// Finds the newest state in the files and starts the next generation of the group with it.
fn restore(file: &Path, from: &[PathBuf]) -> Result<(), CommandError> {
    let group = read(file).map_err(usage_error)?;
    let mut newest = None;
    for path in from {
        if !path.exists() {
            return Err(usage_error(format!("{}: no such file", path.display())));
        }
        let store = Store::open(path).map_err(|e| CommandError::MemberUnusable(e.to_string()))?;
        let found = store.recover_state().map_err(|e| CommandError::MemberUnusable(e.to_string()))?;
        let Some((last_entry, state)) = found else {
            println!("{}: blank", path.display());
            continue;
        };
        println!(
            "{}: entry {} of term {}, {}",
            path.display(),
            last_entry.index,
            last_entry.leader_id.term,
            state.position
        );
        let key = (state.position.generation, last_entry);
        if newest.as_ref().is_none_or(|(best, _)| key > *best) {
            newest = Some((key, state));
        }
    }
    let Some((_, state)) = newest else { return Err(usage_error("nothing is left to restore from")) };
    let state = state.restored();
    if group.generation != state.position.generation {
        return Err(usage_error(format!(
            "{}: group.generation: expected {} for the restored group, found {}",
            file.display(),
            state.position.generation,
            group.generation
        )));
    }
    println!("the group begins again at {}", state.position);
    init(file, Some(Box::new(state)))
}

fn show(file: &Path, as_json: bool) -> Result<(), CommandError> {
    let group = read(file).map_err(usage_error)?;
    let found =
        runtime()?.block_on(fetch_all_reports(&addresses(&group), crate::program::zones::REPORT_TIMEOUT));
    if as_json {
        let members = group.members.iter().zip(&found).map(|(m, found)| match found {
            Ok(report) => json!({"id": m.id, "listen": m.listen, "report": report}),
            Err(why) => json!({"id": m.id, "listen": m.listen, "away": why}),
        });
        return print_json(&members.collect::<Vec<_>>());
    }
    println!(
        "{:<8} {:<21} {:<8} {:>6} {:>9} {:>9} {:>8} {:>9}",
        "MEMBER", "LISTEN", "STATE", "TERM", "APPLIED", "POSITION", "AGE", "GATEWAYS"
    );
    for (member, found) in group.members.iter().zip(&found) {
        match found {
            Ok(report) => println!("{}", format_member(member.id, member.listen, report)),
            Err(why) => println!("{:<8} {:<21} away: {why}", member.id, member.listen.to_string()),
        }
    }
    Ok(())
}

/// One line of the table of members, with the member's role as it reports it itself.
fn format_member(id: u64, listen: SocketAddr, report: &Report) -> String {
    let state = match (report.leader, report.members.get(&id)) {
        (Some(leader), _) if leader == id => "leads",
        (_, None) => "left",
        (None, _) => "alone",
        (_, Some((_, false))) => "learns",
        (_, Some((_, true))) => "follows",
    };
    let age = report.age_ms.map_or("never".into(), |ms| format!("{ms} ms"));
    format!(
        "{id:<8} {:<21} {state:<8} {:>6} {:>9} {:>9} {age:>8} {:>9}",
        listen.to_string(),
        report.term,
        report.applied,
        report.state.position.to_string(),
        report.subscribers.len()
    )
}
