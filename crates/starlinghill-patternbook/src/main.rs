//! The store of configuration.

use std::process::ExitCode;

const HELP: &str = "starlinghill-patternbook: the store of configuration

    starlinghill-patternbook            runs; STARLINGHILL_CONFIG names the settings file
    starlinghill-patternbook check FILE says what is wrong with a settings file
    -v, --verbose                       logs the small events too
";

fn main() -> ExitCode {
    starlinghill_dovetail::program::main(HELP, starlinghill_patternbook::program::run)
}
