//! The program of the proxy.

use std::process::ExitCode;

const HELP: &str = "starlinghill-proxy: the proxy, which carries the client requests

    starlinghill-proxy              runs it; STARLINGHILL_CONFIG names the settings file
    starlinghill-proxy check FILE   lists the errors in a settings file
    -v, --verbose                   also logs debug messages
";

fn main() -> ExitCode {
    starlinghill_runtime::program::main(HELP, starlinghill_proxy::program::run)
}
