//! `gateway`: a gateway that follows the group. It is told the rest by its environment, as the platform's own is. At
//! SIGHUP it reads the operators' file again, beside the platform's settings.

use crate::group_follower::{begin, Following, Renew};
use starlinghill_decision::api::Outcome;
use starlinghill_failover::Micros;
use starlinghill_gateway::attempt_events::EndedAttempt;
use starlinghill_gateway::config::Config;
use starlinghill_gateway::process::{self, ProcessOptions};
use starlinghill_operator_config::Group;
use starlinghill_zone_health::attempt_counts::AttemptResult;
use starlinghill_zone_health::attempt_window::AttemptWindow;
use std::error::Error;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tracing::warn;

async fn read_again(file: PathBuf, mut hang_up: Signal, renew: Renew, watch: Arc<Mutex<AttemptWindow>>) {
    while hang_up.recv().await.is_some() {
        match starlinghill_operator_config::read(&file) {
            Ok(operators) => {
                renew.renew(operators.group.as_ref());
                let zones = operators.group.map(|group| group.map.zones.into_keys());
                zones.into_iter().for_each(|zones| locked(&watch).follow(zones));
            }
            Err(problems) => {
                for problem in problems {
                    warn!(%problem, "the operators' file is not usable; what was read before stays");
                }
            }
        }
    }
}

/// What became of an attempt, as evidence on its server's zone; `None`: it says nothing of it.
fn became(attempt: &EndedAttempt) -> Option<AttemptResult> {
    Some(match attempt.outcome {
        Outcome::Ok if attempt.late => AttemptResult::Late,
        Outcome::Ok => AttemptResult::Answered,
        Outcome::Error | Outcome::Reset => AttemptResult::Failed,
        Outcome::Rejected => AttemptResult::TurnedAway,
        Outcome::Timeout => AttemptResult::Silent,
        Outcome::ConnectFailed if attempt.refused => AttemptResult::Refused,
        Outcome::ConnectFailed => AttemptResult::Unreached,
        Outcome::Cancelled | Outcome::NotSent => return None,
    })
}

fn locked(watch: &Mutex<AttemptWindow>) -> MutexGuard<'_, AttemptWindow> {
    watch.lock().unwrap_or_else(PoisonError::into_inner)
}

fn beside(file: &Path, group: &Group, config: &Config) -> Result<ProcessOptions, Box<dyn Error>> {
    let hang_up = signal(SignalKind::hangup())?;
    let begun = Instant::now();
    let now = move || Micros(u64::try_from(begun.elapsed().as_micros()).unwrap_or(u64::MAX));
    let watch = Arc::new(Mutex::new(AttemptWindow::new(group.map.zones.keys().cloned())));
    // One thread has both; nobody waits for the other.
    let (seen, told) = (watch.clone(), watch.clone());
    let observer = move |attempt: &EndedAttempt| {
        let Some(became) = became(attempt) else { return };
        locked(&seen).ended(now(), attempt.zone, became);
    };
    let evidence = move || locked(&told).report(now());
    let following = begin(group, config.name(), config.zone(), Some(Arc::new(evidence)));
    let Following { parts, renew } = following.map_err(|e| format!("NODE_NAME: {e}"))?;
    tokio::spawn(read_again(file.to_path_buf(), hang_up, renew, watch));
    Ok(ProcessOptions { zones: parts, observer: Box::new(observer) })
}

/// Runs the gateway until SIGTERM.
pub fn run(file: &Path) -> ExitCode {
    let done = process::run(|config| {
        let group = starlinghill_operator_config::read(file).map_err(super::told)?.group;
        group.map(|group| beside(file, &group, config)).transpose()
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("starlinghill: {e}");
            ExitCode::FAILURE
        }
    }
}
