//! One real gateway, as the platform runs it.

use starlinghill_gateway::process;
use std::process::ExitCode;

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_ansi(false).with_writer(std::io::stderr).init();
    // The platform has no group that orders.
    match process::run(|_| Ok(None)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("starlinghill: {e}");
            ExitCode::FAILURE
        }
    }
}
