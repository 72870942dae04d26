//! The gateway program, as the platform starts it.

use starlinghill_gateway::process;
use std::process::ExitCode;

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_ansi(false).with_writer(std::io::stderr).init();
    // The platform has no group of members that orders the zones' parts of the work.
    match process::run(|_| Ok(None)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("starlinghill: {e}");
            ExitCode::FAILURE
        }
    }
}
