//! The program of the registry.

use std::process::ExitCode;

const HELP: &str = "starlinghill-registry: the registry, which also serves the HTTP API

    starlinghill-registry               runs it; STARLINGHILL_CONFIG names the settings file
    starlinghill-registry check FILE    lists the errors in a settings file
    -v, --verbose                       also logs debug messages
";

fn main() -> ExitCode {
    starlinghill_runtime::program::main(HELP, starlinghill_registry::program::run)
}
