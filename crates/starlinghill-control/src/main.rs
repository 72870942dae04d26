//! The operators' program.

use std::process::ExitCode;

fn main() -> ExitCode {
    starlinghill_control::program::main()
}
