//! `gateway`: a gateway that follows the group. It is told the rest by its environment, as the platform's own is. At
//! SIGHUP it reads the operators' file again, beside the platform's settings.

use crate::following::{begin, Following, Renew};
use starlinghill_gateway::{process, Parts};
use starlinghill_operators::Group;
use std::error::Error;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tracing::warn;

async fn read_again(file: PathBuf, mut hang_up: Signal, renew: Renew) {
    while hang_up.recv().await.is_some() {
        match starlinghill_operators::read(&file) {
            Ok(operators) => renew.renew(operators.group.as_ref()),
            Err(problems) => {
                for problem in problems {
                    warn!(%problem, "the operators' file is not usable; what was read before stays");
                }
            }
        }
    }
}

fn beside(file: &Path, group: &Group, name: &str) -> Result<watch::Receiver<Parts>, Box<dyn Error>> {
    let hang_up = signal(SignalKind::hangup())?;
    let Following { parts, renew } = begin(group, name).map_err(|e| format!("NODE_NAME: {e}"))?;
    tokio::spawn(read_again(file.to_path_buf(), hang_up, renew));
    Ok(parts)
}

/// Runs the gateway until SIGTERM.
pub fn run(file: &Path) -> ExitCode {
    let operators = match starlinghill_operators::read(file) {
        Ok(operators) => operators,
        Err(problems) => {
            problems.iter().for_each(|problem| eprintln!("{problem}"));
            return ExitCode::FAILURE;
        }
    };
    let group = operators.group;
    let done = process::run(|name| group.as_ref().map(|group| beside(file, group, name)).transpose());
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("starlinghill: {e}");
            ExitCode::FAILURE
        }
    }
}
