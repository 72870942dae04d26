//! Runs a gateway as a process: configured by the environment, reloaded at SIGHUP, shut down at SIGTERM.

use crate::attempt_events::AttemptObserver;
use crate::config::{Config, Reloaded};
use crate::{GatewayInputs, ZoneParts};
use starlinghill_signals::{SignalEvent, Signals};
use std::error::Error;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tracing::{info, warn};

/// What a program adds to the gateway that it runs.
pub struct ProcessOptions {
    /// How much work each zone gets.
    pub zones: watch::Receiver<ZoneParts>,
    /// Called for each attempt that ends.
    pub observer: AttemptObserver,
}

/// Runs until SIGTERM and until all requests received are answered. `options` is called with the
/// configuration once the runtime runs.
pub fn run(
    options: impl FnOnce(&Config) -> Result<Option<ProcessOptions>, Box<dyn Error>>,
) -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        // Signals are handled before anything else: by default they would end the process.
        let mut signals = Signals::listen()?;
        let config = Config::from_environment()?;
        let (stop_sender, stopping) = watch::channel(false);
        let (upstreams_sender, upstreams) = watch::channel(config.upstreams());
        let (site_sender, site) = watch::channel(None);
        let keys = config.keys().clone();
        tokio::task::spawn_local(async move {
            loop {
                if signals.next().await == SignalEvent::End {
                    info!("stopping at SIGTERM");
                    // The gateway may have ended already.
                    let _ = stop_sender.send(true);
                    continue;
                }
                match Reloaded::from_file(&keys) {
                    Ok(Reloaded { upstreams, site }) => {
                        info!(%upstreams, "configuration read again");
                        upstreams_sender.send_replace(upstreams);
                        site_sender.send_replace(Some(Rc::new(site)));
                    }
                    Err(problem) => warn!(%problem, "configuration not usable; keeping the old one"),
                }
            }
        });
        let (zones, observer) = options(&config)?.map(|options| (options.zones, options.observer)).unzip();
        Ok(crate::run(config, GatewayInputs { upstreams, site, zones, observer, stopping }).await?)
    })
}
