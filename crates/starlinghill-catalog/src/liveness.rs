//! How lately a backend was heard of.

use crate::BackendState;
use bitcode::{Decode, Encode};
use std::time::Duration;

/// A backend is silent when so many beats were missed, and lost after so long.
const SILENT_BEATS: f64 = 2.5;
const LOST: Duration = Duration::from_secs(25);

/// How lately one observer heard of a backend: what that observer sees, and no fact about the backend. Another one may hear
/// it, as beyond a cut, and the next beat takes it back. So it is told beside the backend's own word, its [`BackendState`], and never
/// merged into that: of several observers the one that heard it last is right.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum Liveness {
    /// Within some beats.
    Alive,
    /// Not for some beats: it gets no new work where no other observer hears it.
    Silent,
    /// Not for long: it is dropped where no other observer hears it, until it is heard again.
    Lost,
}

impl Liveness {
    /// Of a backend in that state, which was heard of so long ago and sends a beat so often.
    pub fn of(state: BackendState, ago: Duration, beat: Duration) -> Liveness {
        match state {
            // It needs no more beats.
            BackendState::Gone => Liveness::Alive,
            _ if ago > LOST => Liveness::Lost,
            // It gets no new work in any case.
            BackendState::Draining => Liveness::Alive,
            BackendState::Ready if ago > beat.mul_f64(SILENT_BEATS) => Liveness::Silent,
            BackendState::Ready => Liveness::Alive,
        }
    }
}
