//! The registry.

use std::process::ExitCode;

const HELP: &str = "starlinghill-registry: the registry, which also takes all calls from outside

    starlinghill-registry               runs; STARLINGHILL_CONFIG names the settings file
    starlinghill-registry check FILE    says what is wrong with a settings file
    -v, --verbose                       logs the small events too
";

fn main() -> ExitCode {
    starlinghill_runtime::program::main(HELP, starlinghill_registry::program::run)
}
