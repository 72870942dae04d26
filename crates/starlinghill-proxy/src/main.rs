//! The proxy.

use std::process::ExitCode;

const HELP: &str = "starlinghill-proxy: the proxy that carries the traffic

    starlinghill-proxy              runs; STARLINGHILL_CONFIG names the settings file
    starlinghill-proxy check FILE   says what is wrong with a settings file
    -v, --verbose                   logs the small events too
";

fn main() -> ExitCode {
    starlinghill_runtime::program::main(HELP, starlinghill_proxy::program::run)
}
