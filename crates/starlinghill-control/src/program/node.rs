//! The command `gateway`: a gateway that follows the failover group. Its other settings come from the environment, as for
//! the platform's own gateway. At SIGHUP it reloads the operators' file as well as the platform's settings.

use crate::group_follower::{subscribe, GroupSubscription, SettingsUpdater};
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

/// Reloads the operators' file at each SIGHUP and applies its group section. An invalid file changes nothing.
async fn reload_on_hangup(
    file: PathBuf,
    mut hangups: Signal,
    updater: SettingsUpdater,
    attempts: Arc<Mutex<AttemptWindow>>,
) {
    while hangups.recv().await.is_some() {
        match starlinghill_operator_config::read(&file) {
            Ok(operators) => {
                updater.update(operators.group.as_ref());
                let zones = operators.group.map(|group| group.map.zones.into_keys());
                zones.into_iter().for_each(|zones| lock(&attempts).set_zones(zones));
            }
            Err(problems) => {
                for problem in problems {
                    warn!(%problem, "the operators' file is not usable; what was read before stays");
                }
            }
        }
    }
}

/// Classifies an attempt as evidence on the health of its server's zone, or returns `None` if the gateway itself ended
/// the attempt, which says nothing about the zone.
fn attempt_result(attempt: &EndedAttempt) -> Option<AttemptResult> {
    Some(match attempt.outcome {
        Outcome::Ok if attempt.late => AttemptResult::Late,
        Outcome::Ok => AttemptResult::Answered,
        Outcome::Error | Outcome::Reset => AttemptResult::Failed,
        Outcome::Rejected => AttemptResult::Rejected,
        Outcome::Timeout => AttemptResult::Unanswered,
        Outcome::ConnectFailed if attempt.refused => AttemptResult::ConnectionRefused,
        Outcome::ConnectFailed => AttemptResult::ConnectFailed,
        Outcome::Cancelled | Outcome::NotSent => return None,
    })
}

fn lock(attempts: &Mutex<AttemptWindow>) -> MutexGuard<'_, AttemptWindow> {
    attempts.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Subscribes to the group and returns the options by which the gateway uses the zones' shares and counts its attempts
/// as evidence.
fn follow_group(file: &Path, group: &Group, config: &Config) -> Result<ProcessOptions, Box<dyn Error>> {
    let hangups = signal(SignalKind::hangup())?;
    let started = Instant::now();
    let now = move || Micros(u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX));
    let attempts = Arc::new(Mutex::new(AttemptWindow::new(group.map.zones.keys().cloned())));
    // The observer and the evidence run on the same thread, so the lock is never contended.
    let (observed, reported) = (attempts.clone(), attempts.clone());
    let observer = move |attempt: &EndedAttempt| {
        let Some(result) = attempt_result(attempt) else { return };
        lock(&observed).record(now(), attempt.zone, result);
    };
    let evidence = move || lock(&reported).report(now());
    let subscription = subscribe(group, config.name(), config.zone(), Some(Arc::new(evidence)));
    let GroupSubscription { parts, updater } = subscription.map_err(|e| format!("NODE_NAME: {e}"))?;
    tokio::spawn(reload_on_hangup(file.to_path_buf(), hangups, updater, attempts));
    Ok(ProcessOptions { zones: parts, observer: Box::new(observer) })
}

/// Runs the gateway until SIGTERM.
pub fn run(file: &Path) -> ExitCode {
    let result = process::run(|config| {
        let group = starlinghill_operator_config::read(file).map_err(super::problems_error)?.group;
        group.map(|group| follow_group(file, &group, config)).transpose()
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("starlinghill: {e}");
            ExitCode::FAILURE
        }
    }
}
