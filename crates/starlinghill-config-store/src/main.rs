//! The program of the configuration store.

use std::process::ExitCode;

const HELP: &str = "starlinghill-config-store: the store of configuration

    starlinghill-config-store            runs; STARLINGHILL_CONFIG names the settings file
    starlinghill-config-store check FILE says what is wrong with a settings file
    -v, --verbose                        logs the small events too
";

fn main() -> ExitCode {
    starlinghill_runtime::program::main(HELP, starlinghill_config_store::program::run)
}
