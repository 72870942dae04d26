//! What the command lines of all programs have in common.

use crate::settings::NodeSettings;
use crate::signals::Signals;
use std::future::Future;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::runtime::{Builder, Runtime};
use tokio::task::LocalSet;

/// Reads the command line, and runs the program or checks a settings file.
pub fn main<E: std::fmt::Display, W: Future<Output = Result<(), E>>>(
    help: &str,
    run: impl FnOnce(Signals) -> W,
) -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{help}");
        return ExitCode::SUCCESS;
    }
    let chatty = args.contains(["-v", "--verbose"]);
    match args.subcommand() {
        Ok(None) => {}
        Ok(Some(command)) if command == "check" => return check(args),
        Ok(Some(command)) => return usage(&format!("found {command}"), help),
        Err(error) => return usage(&error.to_string(), help),
    }
    let rest = args.finish();
    if !rest.is_empty() {
        return usage(&format!("found {rest:?}"), help);
    }
    start(chatty, run)
}

/// Runs a program whose command line was read, here or by another one that it is part of.
pub fn start<E: std::fmt::Display, W: Future<Output = Result<(), E>>>(
    chatty: bool,
    run: impl FnOnce(Signals) -> W,
) -> ExitCode {
    // Signals are heard before anything is read: whoever starts a process may send it one in the next moment.
    let begun = begin();
    crate::logs::start(chatty);
    let (runtime, signals) = match begun {
        Ok(begun) => begun,
        Err(error) => return failed(&error),
    };
    match LocalSet::new().block_on(&runtime, async { run(signals).await }) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failed(&error),
    }
}

fn begin() -> io::Result<(Runtime, Signals)> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let signals = {
        let _inside = runtime.enter();
        Signals::listen()?
    };
    Ok((runtime, signals))
}

fn usage(problem: &str, help: &str) -> ExitCode {
    eprint!("{problem}\n\n{help}");
    ExitCode::from(2)
}

fn failed(error: &impl std::fmt::Display) -> ExitCode {
    log::error!("event=ended error=\"{error}\"");
    ExitCode::FAILURE
}

fn check(mut args: pico_args::Arguments) -> ExitCode {
    let path: PathBuf = match args.free_from_str() {
        Ok(path) => path,
        Err(error) => {
            eprintln!("check: {error}");
            return ExitCode::from(2);
        }
    };
    match NodeSettings::from_file(&path) {
        Ok(node) => {
            println!("{}: sound: node {}, zone {}", path.display(), node.name, node.zone);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
