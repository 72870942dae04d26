//! Estimates how long a backend keeps idle connections, from its own word and from what became of connections
//! that were idle.

use std::cell::Cell;
use std::time::Duration;

/// Which pooled connections a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any; the one used last comes first.
    Any,
    /// The request may be repeated. It takes a connection that has been idle too long for `Once`, or else the
    /// one used last.
    Repeatable,
    /// The request must run at most once, and a connection that breaks under it leaves open whether it ran.
    /// It takes a pooled connection only if that was used so recently that the backend is sure to have it
    /// open, otherwise a new one.
    Once,
}

/// No backend closes a connection for having been idle for less than this; one that ends sooner was reset, or
/// its backend ended. Counting such an end would cause a new connection for nearly every request.
const MIN_CLOSE_TIME: Duration = Duration::from_millis(20);
/// A safe idle time where the backend announces none. `Keep-Alive` has whole seconds, so such a backend may
/// keep connections for less than one. Longer times count once a request succeeded after them.
const DEFAULT_SAFE_TIME: Duration = Duration::from_millis(100);

/// The history of one backend's idle connections.
#[derive(Debug, Default)]
pub struct IdleHistory {
    /// The shortest idle time after which a connection was found closed.
    closed_after: Cell<Option<Duration>>,
    /// The longest idle time after which a request succeeded, on connections without an announced keep-alive
    /// time.
    served_after: Cell<Duration>,
}

impl IdleHistory {
    /// Records that a connection was found closed after this idle time.
    pub fn closed_after(&self, idle_time: Duration) {
        if idle_time >= MIN_CLOSE_TIME {
            self.closed_after
                .set(Some(self.closed_after.get().map_or(idle_time, |shortest| shortest.min(idle_time))));
        }
    }

    /// Records that a request succeeded after this idle time. `keep_alive` is the time that the backend
    /// announced.
    pub fn served_after(&self, idle_time: Duration, keep_alive: Option<Duration>) {
        // The earlier connection did not end because of its age, or the backend now keeps them longer.
        if self.closed_after.get().is_some_and(|shortest| shortest <= idle_time) {
            self.closed_after.set(None);
        }
        if keep_alive.is_none() {
            self.served_after.set(self.served_after.get().max(idle_time));
        }
    }

    /// Returns how long a connection may have been idle to be used for a request that must run at most once.
    /// `keep_alive` is the time that the backend announced.
    pub fn safe_idle_time(&self, keep_alive: Option<Duration>) -> Duration {
        let longest = keep_alive.unwrap_or_else(|| self.served_after.get().max(DEFAULT_SAFE_TIME));
        // A quarter is left for the network, and for a gateway that is not scheduled between the check and
        // the write.
        self.closed_after.get().map_or(longest, |shortest| longest.min(shortest * 3 / 4))
    }
}
