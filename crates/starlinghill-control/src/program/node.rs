//! `gateway`: a gateway that follows the group. It is told the rest by its environment, as the platform's own is.

use crate::following::begin;
use starlinghill_gateway::process;
use std::path::Path;
use std::process::ExitCode;

/// Runs the gateway until SIGTERM.
pub fn run(file: &Path) -> ExitCode {
    let operators = match starlinghill_operators::read(file) {
        Ok(operators) => operators,
        Err(problems) => {
            problems.iter().for_each(|problem| eprintln!("{problem}"));
            return ExitCode::FAILURE;
        }
    };
    let done = process::run(|name| operators.group.as_ref().map(|group| begin(group, name)).transpose());
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("starlinghill: {e}");
            ExitCode::FAILURE
        }
    }
}
