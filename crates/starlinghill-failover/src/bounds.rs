//! How late a change may reach a gateway, and how old what a gateway acts on may be: functions of the settings,
//! printed for operators, and held against every run by the same code.

use crate::Micros;

/// Clocks that run further from true than this are not reckoned with.
pub const MAX_DRIFT_PPM: u32 = 100_000;

/// The settings that the bounds follow from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Timing {
    /// How often the group's leader tells the other members that it is there.
    pub heartbeat_interval: Micros,
    /// The longest that members wait for that before they choose another leader.
    pub election_timeout: Micros,
    /// How often a member asks the leader whether what it has is the newest.
    pub confirm_interval: Micros,
    /// How often a gateway asks its member how old what it was told is.
    pub ask_interval: Micros,
    /// How long a gateway waits for an answer before it goes to another member.
    pub answer_timeout: Micros,
    /// Up to this age a gateway follows.
    pub fresh_limit: Micros,
    /// Past this age a gateway goes by its own sight.
    pub stale_limit: Micros,
    /// How often a gateway looks at the age of what it follows.
    pub tick_interval: Micros,
    /// The longest that a message is on its way while a link works.
    pub max_link_delay: Micros,
    /// How far a clock may run from true, in millionths.
    pub drift_ppm: u32,
}

impl Default for Timing {
    fn default() -> Timing {
        let ms = |n: u64| Micros(n * 1_000);
        Timing {
            heartbeat_interval: ms(100),
            election_timeout: ms(600),
            confirm_interval: ms(200),
            ask_interval: ms(200),
            answer_timeout: ms(500),
            fresh_limit: ms(2_000),
            stale_limit: ms(10_000),
            tick_interval: ms(50),
            max_link_delay: ms(50),
            drift_ppm: 10_000,
        }
    }
}

/// Settings that don't fit together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TimingProblem {
    /// The election's time is not over twice the heartbeat's.
    Election,
    /// A connected gateway would not stay fresh: its answers are older than `fresh` as they come.
    Fresh {
        /// The least that works.
        least: Micros,
    },
    /// `stale` is not above `fresh`.
    Stale,
}

impl std::fmt::Display for TimingProblem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            TimingProblem::Election => {
                f.write_str("expected election_ms of three times heartbeat_ms at least")
            }
            TimingProblem::Fresh { least } => write!(
                f,
                "expected fresh_ms of {} at least, the age at which answers come at the worst",
                least.0.div_ceil(1_000)
            ),
            TimingProblem::Stale => f.write_str("expected stale_ms above fresh_ms"),
        }
    }
}

impl Timing {
    /// The longest true time that a span of a clock may stand for, where the clock runs slow by all of the drift.
    pub fn stretched(&self, span: Micros) -> Micros {
        let rate = 1_000_000 - u128::from(self.drift_ppm.min(MAX_DRIFT_PPM));
        let long = (u128::from(span.0) * 1_000_000).div_ceil(rate);
        Micros(u64::try_from(long).unwrap_or(u64::MAX))
    }

    /// The age of what a gateway holds just before the next answer, while every link and member works: the member's
    /// answer is of its last question to the leader, which took three ways of two links, and the gateway's own.
    pub fn max_connected_age(&self) -> Micros {
        let links = self.max_link_delay.0 * 6;
        // Once for the timers, which may run slow, once for the ages, which are taken to be measured slow.
        self.stretched(self.stretched(Micros(self.confirm_interval.0 + self.ask_interval.0 + links)))
    }

    /// Within this a change that the group has accepted is followed by every gateway that is connected to a member
    /// which hears the leader: the leader tells the members with its next heartbeat at the latest, they the gateways.
    pub fn delivery_bound(&self) -> Micros {
        self.stretched(Micros(self.heartbeat_interval.0 + 2 * self.max_link_delay.0))
    }

    /// The same where the gateway's member or the leader dies meanwhile: a new leader is chosen (twice, where votes
    /// are split), and the gateway finds another member.
    pub fn delivery_bound_after_failure(&self) -> Micros {
        let found = self.answer_timeout.0 + self.ask_interval.0 + 4 * self.max_link_delay.0;
        let chosen = 2 * self.election_timeout.0 + 4 * self.max_link_delay.0;
        self.stretched(Micros(self.delivery_bound().0 + found.max(chosen) + self.max_connected_age().0))
    }

    /// No gateway acts on what is older than this without saying so: ages are reckoned long, so that true ages are
    /// below, and it looks once in a tick.
    pub fn max_acted_on_age(&self) -> Micros {
        Micros(self.stale_limit.0.saturating_add(self.stretched(self.tick_interval).0))
    }

    /// All that does not fit.
    pub fn problems(&self) -> Vec<TimingProblem> {
        let mut found = Vec::new();
        if self.election_timeout.0 < 3 * self.heartbeat_interval.0 {
            found.push(TimingProblem::Election);
        }
        let least = self.max_connected_age();
        if self.fresh_limit < least {
            found.push(TimingProblem::Fresh { least });
        }
        if self.stale_limit <= self.fresh_limit {
            found.push(TimingProblem::Stale);
        }
        found
    }
}
