//! A gateway as a process: it is told where and how by the environment, reads its configuration again at SIGHUP, and
//! ends at SIGTERM.

use crate::attempt_events::Watcher;
use crate::config::{Config, Reloaded};
use crate::{Control, ZoneParts};
use starlinghill_signals::{SignalEvent, Signals};
use std::error::Error;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tracing::{info, warn};

/// What stands beside a gateway.
pub struct ProcessOptions {
    /// Tells the parts that zones get.
    pub zones: watch::Receiver<ZoneParts>,
    /// Hears of each attempt that ends.
    pub watcher: Watcher,
}

/// Runs until SIGTERM and until all that was taken is answered. `beside` is called once the runtime runs, with the
/// configuration.
pub fn run(
    beside: impl FnOnce(&Config) -> Result<Option<ProcessOptions>, Box<dyn Error>>,
) -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        // From the first moment on: by themselves they would end the process.
        let mut signals = Signals::listen()?;
        let config = Config::from_environment()?;
        let (stop, stopping) = watch::channel(false);
        let (reload, upstreams) = watch::channel(config.upstreams());
        let (retune, site) = watch::channel(None);
        let shape = config.shape().clone();
        tokio::task::spawn_local(async move {
            loop {
                if signals.next().await == SignalEvent::End {
                    info!("stopping");
                    // The gateway may have ended by itself.
                    let _ = stop.send(true);
                    continue;
                }
                match Reloaded::from_file(&shape) {
                    Ok(Reloaded { upstreams, site }) => {
                        info!(%upstreams, "configuration read again");
                        reload.send_replace(upstreams);
                        retune.send_replace(Some(Rc::new(site)));
                    }
                    Err(problem) => warn!(%problem, "configuration not usable; the old one stays"),
                }
            }
        });
        let (zones, watcher) = beside(&config)?.map(|beside| (beside.zones, beside.watcher)).unzip();
        Ok(crate::run(config, Control { upstreams, site, zones, watcher, stopping }).await?)
    })
}
