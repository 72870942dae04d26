//! Signals of the system's processes: reload of the settings file, and shutdown.

use crate::settings::NodeSettings;
use starlinghill_signals::SignalEvent;
use std::io;
use std::rc::Rc;
use tokio::sync::watch;

/// The settings after the latest reload; `None` before the first.
pub type SettingsUpdates = watch::Receiver<Option<Rc<NodeSettings>>>;

/// The signal handlers of a process.
pub struct Signals {
    signals: starlinghill_signals::Signals,
    settings: watch::Sender<Option<Rc<NodeSettings>>>,
}

impl Signals {
    /// Installs the handlers. Must be called inside a Tokio runtime.
    pub fn listen() -> io::Result<Signals> {
        Ok(Signals { signals: starlinghill_signals::Signals::listen()?, settings: watch::Sender::new(None) })
    }

    /// Receives the settings after each successful reload.
    pub fn settings_updates(&self) -> SettingsUpdates {
        self.settings.subscribe()
    }

    /// Waits for SIGTERM or SIGINT. Meanwhile SIGHUP reloads the settings file; an invalid file is logged and the old
    /// settings stay. Further signals have no effect once this has returned.
    pub async fn wait_for_shutdown(&mut self) {
        while self.signals.next().await == SignalEvent::Reload {
            match NodeSettings::from_environment() {
                Ok(node) => {
                    log::info!("event=settings_read node={} seeds={}", node.name, node.seeds.len());
                    self.settings.send_replace(Some(Rc::new(node)));
                }
                Err(error) => log::warn!("event=settings_unusable error=\"{error}\" action=kept_old"),
            }
        }
        log::info!("event=stopping");
    }
}
