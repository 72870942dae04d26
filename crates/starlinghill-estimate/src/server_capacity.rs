//! What servers were seen to bear from this gateway, which is the measure for cold ones.

use starlinghill_rate_limit::Micros;

/// Time over which what warm servers bear is averaged.
const SPAN: f64 = 10.0;
/// Where the warm servers have less than this part of the weight, what they get says little of what they bear.
const WARM_PART: f64 = 1.0 / 3.0;

/// Units a second for each weight of a warm server, over the last moments in which enough of them were warm.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerCapacity {
    rate: f64,
    at: Option<Micros>,
}

impl ServerCapacity {
    /// What an earlier process of this gateway saw.
    pub fn from_previous(rate: f64) -> ServerCapacity {
        ServerCapacity { rate, at: None }
    }

    /// The rate that another process of this gateway could go by.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// What a warm server gets from this gateway now, for its weight, or bore when enough of them were warm.
    ///
    /// Guards against a spiral: with nearly all servers cold, what goes out is bounded by the very figure that is
    /// reckoned from it, and falls and falls. The same holds for a process that has sent nothing yet.
    ///
    /// Never less than `least`: guards against a start with every server cold and nothing known, where what is allowed would be
    /// nothing, and so would what goes out.
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
