//! How recently an observer heard of a backend.

use crate::BackendState;
use bitcode::{Decode, Encode};
use std::time::Duration;

/// A backend is silent after this many heartbeat intervals without a heartbeat.
const SILENT_AFTER_BEATS: f64 = 2.5;
/// A backend is lost after this long without a heartbeat.
const LOST_AFTER: Duration = Duration::from_secs(25);

/// How recently one observer heard of a backend. This is the view of that observer and no fact about the backend: another
/// observer may hear it, for instance on the other side of a network cut, and the next heartbeat revokes it. So it is
/// reported beside the backend's own [`BackendState`] and never merged into that. Of several observers, the one that
/// heard the backend last is right.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum Liveness {
    /// Heartbeats arrive.
    Alive,
    /// Some heartbeats are missing. The backend gets no new requests unless another observer hears it.
    Silent,
    /// No heartbeat arrived for long. The backend is dropped until it is heard again, unless another observer hears it.
    Lost,
}

impl Liveness {
    /// The liveness of a backend in this state, last heard `ago`, that sends a heartbeat every `beat_interval`.
    pub fn of(state: BackendState, ago: Duration, beat_interval: Duration) -> Liveness {
        match state {
            // A backend that has left sends no heartbeats, and none are needed.
            BackendState::Gone => Liveness::Alive,
            _ if ago > LOST_AFTER => Liveness::Lost,
            // It gets no new requests in any case.
            BackendState::Draining => Liveness::Alive,
            BackendState::Ready if ago > beat_interval.mul_f64(SILENT_AFTER_BEATS) => Liveness::Silent,
            BackendState::Ready => Liveness::Alive,
        }
    }
}
