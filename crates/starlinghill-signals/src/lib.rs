//! What a signal does to a process, the same for all programs that run until they are told to end. The whole table is in
//! `docs/operate/system.md`; `starlinghill-testkit/tests/signals.rs` plays it.

use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// What a process was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalEvent {
    /// SIGTERM, or SIGINT: to end, in its own good order.
    End,
    /// SIGHUP: to read its settings again.
    Reload,
}

/// The signals that a process hears. What is not named here does what it does by itself: SIGQUIT ends the process at once,
/// SIGTSTP and SIGSTOP stop it, SIGCONT has it go on, SIGWINCH and SIGPIPE do nothing.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Heard from now on, by handlers that stay to the end of the process. Each signal would end it otherwise, so this comes
    /// before all else that a program does. Needs a runtime.
    pub fn listen() -> io::Result<Signals> {
        let hang_up = signal(SignalKind::hangup())?;
        let (terminate, interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        // Nobody reads these: a stray one must not end a process that others lean on.
        for stray in [SignalKind::user_defined1(), SignalKind::user_defined2(), SignalKind::alarm()] {
            drop(signal(stray)?);
        }
        Ok(Signals { terminate, interrupt, hang_up })
    }

    /// Waits for the next. Several of a kind that came since the last call count as one; the end goes first.
    pub async fn next(&mut self) -> SignalEvent {
        tokio::select! {
            biased;
            _ = self.terminate.recv() => SignalEvent::End,
            _ = self.interrupt.recv() => SignalEvent::End,
            _ = self.hang_up.recv() => SignalEvent::Reload,
        }
    }
}
