//! The entry point that all programs share.

use crate::settings::NodeSettings;
use crate::signals::Signals;
use std::future::Future;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::runtime::{Builder, Runtime};
use tokio::task::LocalSet;

/// Parses the command line, then runs the program or checks a settings file.
pub fn main<E: std::fmt::Display, F: Future<Output = Result<(), E>>>(
    help: &str,
    run: impl FnOnce(Signals) -> F,
) -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{help}");
        return ExitCode::SUCCESS;
    }
    let verbose = args.contains(["-v", "--verbose"]);
    match args.subcommand() {
        Ok(None) => {}
        Ok(Some(command)) if command == "check" => return check_settings(args),
        Ok(Some(command)) => return print_usage(&format!("unknown command: {command}"), help),
        Err(error) => return print_usage(&error.to_string(), help),
    }
    let rest = args.finish();
    if !rest.is_empty() {
        return print_usage(&format!("unexpected arguments: {rest:?}"), help);
    }
    start(verbose, run)
}

/// Runs a program with parsed arguments. Programs that contain several others call this directly.
pub fn start<E: std::fmt::Display, F: Future<Output = Result<(), E>>>(
    verbose: bool,
    run: impl FnOnce(Signals) -> F,
) -> ExitCode {
    // Signal handlers are installed first: a supervisor may send a signal right after the start, and without a
    // handler it would kill the process.
    let prepared = prepare();
    crate::logs::start(verbose);
    let (runtime, signals) = match prepared {
        Ok(prepared) => prepared,
        Err(error) => return report_failure(&error),
    };
    match LocalSet::new().block_on(&runtime, async { run(signals).await }) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_failure(&error),
    }
}

fn prepare() -> io::Result<(Runtime, Signals)> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let signals = {
        let _guard = runtime.enter();
        Signals::listen()?
    };
    Ok((runtime, signals))
}

fn print_usage(problem: &str, help: &str) -> ExitCode {
    eprint!("{problem}\n\n{help}");
    ExitCode::from(2)
}

fn report_failure(error: &impl std::fmt::Display) -> ExitCode {
    log::error!("event=ended error=\"{error}\"");
    ExitCode::FAILURE
}

fn check_settings(mut args: pico_args::Arguments) -> ExitCode {
    let path: PathBuf = match args.free_from_str() {
        Ok(path) => path,
        Err(error) => {
            eprintln!("check: {error}");
            return ExitCode::from(2);
        }
    };
    match NodeSettings::from_file(&path) {
        Ok(node) => {
            println!("{}: valid: node {}, zone {}", path.display(), node.name, node.zone);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
