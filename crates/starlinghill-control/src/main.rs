//! The binary of the operators' program; see `starlinghill_control::program`.

use std::process::ExitCode;

fn main() -> ExitCode {
    starlinghill_control::program::main()
}
