//! The effect of Unix signals, the same for all long-running programs. `docs/operate/system.md` has the whole table;
//! `starlinghill-testkit/tests/signals.rs` tests it.

use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// What a signal asks the process to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalEvent {
    /// SIGTERM or SIGINT: shut down gracefully.
    End,
    /// SIGHUP: reload the settings.
    Reload,
}

/// Handlers for the signals of a process. Other signals keep their default effect: SIGQUIT kills the process at once,
/// SIGTSTP and SIGSTOP stop it, SIGCONT resumes it, and SIGWINCH and SIGPIPE are ignored.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Installs the handlers, which stay until the process ends. Before that, each of these signals would kill the
    /// process, so this comes before everything else in a program. Must be called inside a Tokio runtime.
    pub fn listen() -> io::Result<Signals> {
        let hang_up = signal(SignalKind::hangup())?;
        let (terminate, interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        // Handled but never read: a stray signal of these kinds must not kill a process that others rely on.
        for stray in [SignalKind::user_defined1(), SignalKind::user_defined2(), SignalKind::alarm()] {
            drop(signal(stray)?);
        }
        Ok(Signals { terminate, interrupt, hang_up })
    }

    /// Waits for the next signal. Several signals of one kind since the last call count as one, and shutdown takes
    /// precedence over reload.
    pub async fn next(&mut self) -> SignalEvent {
        tokio::select! {
            biased;
            _ = self.terminate.recv() => SignalEvent::End,
            _ = self.interrupt.recv() => SignalEvent::End,
            _ = self.hang_up.recv() => SignalEvent::Reload,
        }
    }
}
