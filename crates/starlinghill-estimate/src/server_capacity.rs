//! The load that warm servers were seen to handle from this gateway, as a measure for cold ones.

use starlinghill_rate_limit::Micros;

/// Time over which the load of warm servers is averaged, in seconds.
const SPAN: f64 = 10.0;
/// If warm servers have less than this fraction of the weight, their load says little about their capacity.
const WARM_PART: f64 = 1.0 / 3.0;

/// Units a second for each unit of weight of a warm server, over recent times with enough warm servers.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerCapacity {
    rate: f64,
    at: Option<Micros>,
}

impl ServerCapacity {
    /// Starts with the rate that an earlier process of this gateway measured.
    pub fn from_previous(rate: f64) -> ServerCapacity {
        ServerCapacity { rate, at: None }
    }

    /// The measured rate, for the next process of this gateway.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the units a second that a warm server now gets from this gateway for each unit of weight, or
    /// got when enough servers were warm. `flow` is what this gateway sends, in units a second; then the
    /// weights of warm and of all servers.
    ///
    /// The remembered rate guards against a spiral. With nearly all servers cold, the result limits what is
    /// sent, and what is sent is what the result is computed from, so both would keep falling. The same holds
    /// for a process that has sent nothing yet.
    ///
    /// The result is at least `least`. Otherwise a start with only cold servers and nothing remembered would
    /// allow nothing, for ever.
    pub fn per_weight(&mut self, now: Micros, flow: f64, (warm, all): (f64, f64), least: f64) -> f64 {
        if warm <= 0.0 || warm < WARM_PART * all {
            return (flow / all.max(1e-9)).max(self.rate).max(least);
        }
        let present = flow / warm;
        let passed = self.at.map_or(0.0, |at| (now - at).secs());
        self.at = Some(now);
        self.rate += (present - self.rate) * (1.0 - (-passed / SPAN).exp());
        present.max(self.rate).max(least)
    }
}
