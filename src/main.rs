//! One real gateway. It is told where and how by the environment, and ends at SIGTERM.
#![forbid(unsafe_code)]

use starlinghill::net::{self, config::Config};
use std::error::Error;
use std::process::ExitCode;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use tokio::task::LocalSet;
use tracing::info;

fn run() -> Result<(), Box<dyn Error>> {
    let config = Config::from_environment()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let mut terminate = signal(SignalKind::terminate())?;
        let (stop, stopping) = watch::channel(false);
        tokio::task::spawn_local(async move {
            if terminate.recv().await.is_some() {
                info!("stopping");
                // The gateway may have ended by itself.
                let _ = stop.send(true);
                std::future::pending::<()>().await;
            }
        });
        Ok(net::run(config, stopping).await?)
    })
}

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_ansi(false).with_writer(std::io::stderr).init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("starlinghill: {e}");
            ExitCode::FAILURE
        }
    }
}
