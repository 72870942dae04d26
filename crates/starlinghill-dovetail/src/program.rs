//! What the command lines of all programs have in common.

use crate::settings::Node;
use std::future::Future;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::LocalSet;

/// Reads the command line, and runs the program or checks a settings file.
pub fn main<E: std::fmt::Display, W: Future<Output = Result<(), E>>>(
    help: &str,
    run: impl FnOnce() -> W,
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
    run: impl FnOnce() -> W,
) -> ExitCode {
    crate::logs::start(chatty);
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return failed(&error),
    };
    match LocalSet::new().block_on(&runtime, async { run().await }) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failed(&error),
    }
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
    match Node::from_file(&path) {
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

/// The signals that the platform sends.
pub struct Signals {
    terminate: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Heard from now on: by themselves they would end the process.
    pub fn listen() -> std::io::Result<Signals> {
        let (terminate, hang_up) = (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
        Ok(Signals { terminate, hang_up })
    }

    /// Waits for SIGTERM. At SIGHUP the settings file is read and checked; all that may change while a process runs is who
    /// else there is, which it hears from them.
    pub async fn end(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => break,
                _ = self.hang_up.recv() => match Node::from_environment() {
                    Ok(node) => log::info!("event=settings_read node={}", node.name),
                    Err(error) => log::warn!("event=settings_unusable error=\"{error}\" action=kept_old"),
                },
            }
        }
        log::info!("event=stopping");
    }
}
