//! `group`: members of the group that decides in common, and changes of the group itself.

use crate::program::zones::{newest, print_json, runtime, usage, Exit};
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

/// How long a change of the group may take: a member that joins has to catch up.
const PATIENCE: Duration = Duration::from_secs(40);

/// `group`.
#[derive(clap::Args)]
#[command(args_conflicts_with_subcommands = true)]
pub struct Args {
    #[command(subcommand)]
    command: Option<Command>,
    /// The operators' file.
    file: Option<PathBuf>,
    /// Which of its members to be.
    #[arg(long)]
    member: Option<u64>,
}

#[derive(Subcommand)]
enum Command {
    /// Begin the group: all its members have to run, with empty disks.
    Init {
        /// The operators' file.
        file: PathBuf,
    },
    /// Show the members.
    Show {
        /// The operators' file.
        file: PathBuf,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Take a member of the file in. It has to run, with an empty disk.
    Add {
        /// The operators' file.
        file: PathBuf,
        /// Its number.
        id: u64,
    },
    /// Let a member go.
    Remove {
        /// The operators' file.
        file: PathBuf,
        /// Its number.
        id: u64,
    },
    /// Have the map of the operators' file adopted.
    Adopt {
        /// The operators' file.
        file: PathBuf,
        /// Why.
        #[arg(long)]
        reason: String,
    },
    /// Have every member keep a snapshot now.
    Snapshot {
        /// The operators' file.
        file: PathBuf,
    },
    /// Begin the group anew, in its next generation, from what is left of one that lost its majority. The members
    /// of the file have to run, with empty disks, and the file has to name the next generation.
    Restore {
        /// The operators' file.
        file: PathBuf,
        /// What is left: files of members that don't run. The newest counts.
        #[arg(long, required = true)]
        from: Vec<PathBuf>,
    },
}

/// Reads the file, which has to have a group.
pub fn read(file: &Path) -> Result<Group, String> {
    let operators = starlinghill_operator_config::read(file)
        .map_err(|problems| problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))?;
    let nothing = || format!("{}: group: expected a section [group], found nothing", file.display());
    operators.group.ok_or_else(nothing)
}

/// Where the members of the file listen.
pub fn addresses(group: &Group) -> Vec<SocketAddr> {
    group.members.iter().map(|m| m.listen).collect()
}

/// Carries the command out.
pub fn main(args: Args) -> ExitCode {
    let done = match (args.command, args.file) {
        (None, Some(file)) => run(&file, args.member),
        (None, None) => Err(usage("expected the operators' file or a command; see --help")),
        (Some(Command::Init { file }), _) => init(&file, None),
        (Some(Command::Show { file, json }), _) => show(&file, json),
        (Some(Command::Add { file, id }), _) => add(&file, id),
        (Some(Command::Remove { file, id }), _) => change(&file, &MembershipChange::Remove { id }),
        (Some(Command::Adopt { file, reason }), _) => adopt(&file, reason),
        (Some(Command::Snapshot { file }), _) => snapshot(&file),
        (Some(Command::Restore { file, from }), _) => restore(&file, &from),
    };
    done.map_or_else(Exit::tell, |()| ExitCode::SUCCESS)
}

fn run(file: &Path, member: Option<u64>) -> Result<(), Exit> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().map_err(usage)?;
    // From the first moment on: by themselves they would end the process.
    let mut signals = {
        let _inside = runtime.enter();
        Signals::listen().map_err(usage)?
    };
    let group = read(file).map_err(usage)?;
    let known: Vec<String> = group.members.iter().map(|m| m.id.to_string()).collect();
    let wanted =
        member.ok_or_else(|| usage(format!("expected --member with one of {}", known.join(", "))))?;
    let Some(me) = group.members.iter().find(|m| m.id == wanted) else {
        return Err(usage(format!("--member: expected one of {}, found {wanted}", known.join(", "))));
    };
    let settings = Settings {
        group: group.name.clone(),
        id: me.id,
        file: group.file(me.id),
        listen: me.listen,
        seen: group.members.iter().map(|m| (m.id, m.listen)).collect(),
        generation: group.generation,
        map: group.map.clone(),
        timing: group.timing,
        subscribers: group.subscribers,
    };
    if group.private {
        warn!(
            "members' messages are neither encrypted nor signed: the network between them has to see to both"
        );
    }
    runtime.block_on(async {
        let running = Running::start(settings.clone()).await.map_err(|e| Exit::Out(e.to_string()))?;
        tokio::select! {
            () = ended(&mut signals, file) => {
                running.stop().await;
                Ok(())
            }
            why = running.member.failed() => {
                error!(file = %settings.file.display(), why, "this member stays out");
                Err(Exit::Out(format!("{}: {why}; this member stays out", settings.file.display())))
            }
        }
    })
}

/// Waits to be told to end. Members and times are those of the start; the file is checked again, so that a broken one is
/// known before that.
async fn ended(signals: &mut Signals, file: &Path) {
    while signals.next().await == SignalEvent::Reload {
        match read(file) {
            Ok(_) => info!("the operators' file is sound; this member goes by it from its next start on"),
            Err(problem) => warn!(%problem, "the operators' file is not usable; what was read before stays"),
        }
    }
}

fn managed(done: Result<MembershipResult, OrderError>) -> Result<(), Exit> {
    match done {
        Ok(MembershipResult::Done) => Ok(()),
        Ok(MembershipResult::Refused { why }) => Err(Exit::Refused(vec![why])),
        Err(e) => Err(e.into()),
    }
}

fn change(file: &Path, change: &MembershipChange) -> Result<(), Exit> {
    let group = read(file).map_err(usage)?;
    managed(runtime()?.block_on(change_membership(&addresses(&group), change, PATIENCE)))
}

fn init(file: &Path, restored: Option<Box<starlinghill_failover::state::State>>) -> Result<(), Exit> {
    let group = read(file).map_err(usage)?;
    let members = group.members.iter().map(|m| (m.id, m.listen)).collect();
    let begin = MembershipChange::Init { members, restored };
    // One member alone is asked: two that begin the same group would each find the other's members taken.
    let first = &addresses(&group)[..1];
    managed(runtime()?.block_on(change_membership(first, &begin, PATIENCE)))
}

fn add(file: &Path, id: u64) -> Result<(), Exit> {
    let group = read(file).map_err(usage)?;
    let found = group.members.iter().find(|m| m.id == id);
    let address = found.ok_or_else(|| usage(format!("{}: no member {id}", file.display())))?.listen;
    managed(runtime()?.block_on(change_membership(
        &addresses(&group),
        &MembershipChange::Add { id, address },
        PATIENCE,
    )))
}

fn adopt(file: &Path, reason: String) -> Result<(), Exit> {
    let group = read(file).map_err(usage)?;
    let members = addresses(&group);
    runtime()?.block_on(async {
        let (report, _) = newest(&members).await?;
        let what = OrderKind::Adopt {
            topology: group.map.clone(),
            expected_epoch: Some(report.state.position.epoch),
        };
        let order = Order { kind: what, ..crate::program::zones::signed(None, None, reason) };
        match submit_order(&members, &order, crate::program::zones::GIVE).await? {
            Outcome::Accepted { position } => {
                println!("adopted at {position}");
                Ok(())
            }
            Outcome::Refused { causes, .. } => {
                Err(Exit::Refused(causes.iter().map(ToString::to_string).collect()))
            }
        }
    })
}

fn snapshot(file: &Path) -> Result<(), Exit> {
    let group = read(file).map_err(usage)?;
    runtime()?.block_on(async {
        let mut failed = Vec::new();
        for member in addresses(&group) {
            let done =
                change_membership(&[member], &MembershipChange::Snapshot, Duration::from_secs(2)).await;
            match managed(done) {
                Ok(()) => println!("{member}: kept"),
                Err(e) => failed.push(format!("{member}: {e}")),
            }
        }
        match failed.is_empty() {
            true => Ok(()),
            false => Err(Exit::NotReached(failed.join("; "))),
        }
    })
}

fn restore(file: &Path, from: &[PathBuf]) -> Result<(), Exit> {
    let group = read(file).map_err(usage)?;
    let mut newest = None;
    for path in from {
        if !path.exists() {
            return Err(usage(format!("{}: no such file", path.display())));
        }
        let store = Store::open(path).map_err(|e| Exit::Out(e.to_string()))?;
        let found = store.last_state().map_err(|e| Exit::Out(e.to_string()))?;
        let Some((at, state)) = found else {
            println!("{}: blank", path.display());
            continue;
        };
        println!("{}: entry {} of term {}, {}", path.display(), at.index, at.leader_id.term, state.position);
        let key = (state.position.generation, at);
        if newest.as_ref().is_none_or(|(best, _)| key > *best) {
            newest = Some((key, state));
        }
    }
    let Some((_, state)) = newest else { return Err(usage("nothing is left to restore from")) };
    let state = state.restored();
    if group.generation != state.position.generation {
        return Err(usage(format!(
            "{}: group.generation: expected {} for the restored group, found {}",
            file.display(),
            state.position.generation,
            group.generation
        )));
    }
    println!("the group begins again at {}", state.position);
    init(file, Some(Box::new(state)))
}

fn show(file: &Path, as_json: bool) -> Result<(), Exit> {
    let group = read(file).map_err(usage)?;
    let found = runtime()?.block_on(fetch_all_reports(&addresses(&group), crate::program::zones::LOOK));
    if as_json {
        let all = group.members.iter().zip(&found).map(|(m, found)| match found {
            Ok(report) => json!({"id": m.id, "listen": m.listen, "report": report}),
            Err(why) => json!({"id": m.id, "listen": m.listen, "away": why}),
        });
        return print_json(&all.collect::<Vec<_>>());
    }
    println!(
        "{:<8} {:<21} {:<8} {:>6} {:>9} {:>9} {:>8} {:>9}",
        "MEMBER", "LISTEN", "STATE", "TERM", "APPLIED", "POSITION", "AGE", "GATEWAYS"
    );
    for (member, found) in group.members.iter().zip(&found) {
        match found {
            Ok(r) => println!("{}", line(member.id, member.listen, r)),
            Err(why) => println!("{:<8} {:<21} away: {why}", member.id, member.listen.to_string()),
        }
    }
    Ok(())
}

fn line(id: u64, listen: SocketAddr, r: &Report) -> String {
    let state = match (r.leader, r.members.get(&id)) {
        (Some(leader), _) if leader == id => "leads",
        (_, None) => "left",
        (None, _) => "alone",
        (_, Some((_, false))) => "learns",
        (_, Some((_, true))) => "follows",
    };
    let age = r.age_ms.map_or("never".into(), |ms| format!("{ms} ms"));
    format!(
        "{id:<8} {:<21} {state:<8} {:>6} {:>9} {:>9} {age:>8} {:>9}",
        listen.to_string(),
        r.term,
        r.applied,
        r.state.position.to_string(),
        r.subscribers.len()
    )
}
