//! What signals do to the system's processes: the settings file is read again, or the process ends.

use crate::settings::NodeSettings;
use starlinghill_signals::SignalEvent;
use std::io;
use std::rc::Rc;
use tokio::sync::watch;

/// The settings file as it was last read again; `None` until it was.
pub type SettingsUpdates = watch::Receiver<Option<Rc<NodeSettings>>>;

/// The signals of a process of the system.
pub struct Signals {
    told: starlinghill_signals::Signals,
    reread: watch::Sender<Option<Rc<NodeSettings>>>,
}

impl Signals {
    /// Heard from now on. Needs a runtime.
    pub fn listen() -> io::Result<Signals> {
        Ok(Signals { told: starlinghill_signals::Signals::listen()?, reread: watch::Sender::new(None) })
    }

    /// Tells of the settings file whenever it was read again and found sound.
    pub fn settings_updates(&self) -> SettingsUpdates {
        self.reread.subscribe()
    }

    /// Waits to be told to end. The settings file is read and checked meanwhile whenever it should be; a broken one is
    /// logged and changes nothing. What comes after the first SIGTERM changes nothing any more.
    pub async fn wait_for_shutdown(&mut self) {
        while self.told.next().await == SignalEvent::Reload {
            match NodeSettings::from_environment() {
                Ok(node) => {
                    log::info!("event=settings_read node={} seeds={}", node.name, node.seeds.len());
                    self.reread.send_replace(Some(Rc::new(node)));
                }
                Err(error) => log::warn!("event=settings_unusable error=\"{error}\" action=kept_old"),
            }
        }
        log::info!("event=stopping");
    }
}
