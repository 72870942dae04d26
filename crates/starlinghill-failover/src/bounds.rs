//! Upper bounds on how late a change reaches a gateway and on how old the directives are that a gateway acts on. They
//! follow from the settings. Operators can print them, and the tests check their runs against the same functions.

use crate::Micros;

/// The largest clock drift that the settings may name, in millionths. The bounds do not hold for a worse clock.
pub const MAX_DRIFT_PPM: u32 = 100_000;

/// The time settings of the group that the bounds follow from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Timing {
    /// How often the group's leader sends a heartbeat to the other members.
    pub heartbeat_interval: Micros,
    /// The longest that a member waits for a heartbeat before it starts an election.
    pub election_timeout: Micros,
    /// How often a member asks the leader for the newest committed entry.
    pub confirm_interval: Micros,
    /// How often a gateway asks its member for the age of its directives.
    pub ask_interval: Micros,
    /// How long a gateway waits for an answer before it switches to another member.
    pub answer_timeout: Micros,
    /// Up to this age of its directives a gateway applies new ones.
    pub fresh_limit: Micros,
    /// Past this age a gateway decides by its own server list and health checks again.
    pub stale_limit: Micros,
    /// How often a gateway checks the age of its directives.
    pub tick_interval: Micros,
    /// The longest delivery time of a message over a working link.
    pub max_link_delay: Micros,
    /// The largest rate error of a clock, in millionths.
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

/// A conflict between two of the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TimingProblem {
    /// The election timeout is below three heartbeat intervals, so that a lost heartbeat could start an election.
    ElectionTimeoutTooShort,
    /// A connected gateway could exceed `fresh_limit` between two answers, and would then switch members for no fault.
    FreshLimitTooShort {
        /// The smallest allowed `fresh_limit`.
        minimum: Micros,
    },
    /// `stale_limit` is not above `fresh_limit`.
    StaleLimitTooShort,
}

impl std::fmt::Display for TimingProblem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            TimingProblem::ElectionTimeoutTooShort => {
                f.write_str("expected election_ms of three times heartbeat_ms at least")
            }
            TimingProblem::FreshLimitTooShort { minimum } => write!(
                f,
                "expected fresh_ms of {} at least, the highest age between two answers",
                minimum.0.div_ceil(1_000)
            ),
            TimingProblem::StaleLimitTooShort => f.write_str("expected stale_ms above fresh_ms"),
        }
    }
}

impl Timing {
    /// The longest true time that a measured span can stand for, if the clock runs slow by `drift_ppm`.
    pub fn max_true_span(&self, span: Micros) -> Micros {
        let rate = 1_000_000 - u128::from(self.drift_ppm.min(MAX_DRIFT_PPM));
        let longest = (u128::from(span.0) * 1_000_000).div_ceil(rate);
        Micros(u64::try_from(longest).unwrap_or(u64::MAX))
    }

    /// The highest age of a gateway's directives just before the next answer, while every link and member works. The
    /// age grows over the member's interval between questions to the leader, over the gateway's interval between
    /// questions to the member, and over six link delays: for each of the two links three message deliveries.
    pub fn max_connected_age(&self) -> Micros {
        let link_delays = self.max_link_delay.0 * 6;
        // Stretched once because the timers may run slow, and once because ages are measured as if the clock ran slow.
        self.max_true_span(
            self.max_true_span(Micros(self.confirm_interval.0 + self.ask_interval.0 + link_delays)),
        )
    }

    /// The longest time from the acceptance of a change until every gateway applies it whose member is connected to the
    /// leader. The leader informs the members with its next heartbeat at the latest, and they inform the gateways.
    pub fn delivery_bound(&self) -> Micros {
        self.max_true_span(Micros(self.heartbeat_interval.0 + 2 * self.max_link_delay.0))
    }

    /// The same bound if the gateway's member or the leader fails meanwhile. The group needs a new leader, with a second
    /// election if the votes are split, and the gateway needs another member.
    pub fn delivery_bound_after_failure(&self) -> Micros {
        let member_switch = self.answer_timeout.0 + self.ask_interval.0 + 4 * self.max_link_delay.0;
        let leader_election = 2 * self.election_timeout.0 + 4 * self.max_link_delay.0;
        self.max_true_span(Micros(
            self.delivery_bound().0 + member_switch.max(leader_election) + self.max_connected_age().0,
        ))
    }

    /// The highest age of directives that a gateway applies without reporting that it is on its own. Computed ages are
    /// never below the true ones, and the gateway checks them once per `tick_interval`.
    pub fn max_acted_on_age(&self) -> Micros {
        Micros(self.stale_limit.0.saturating_add(self.max_true_span(self.tick_interval).0))
    }

    /// Every conflict between the settings; empty if they are usable.
    pub fn problems(&self) -> Vec<TimingProblem> {
        let mut problems = Vec::new();
        if self.election_timeout.0 < 3 * self.heartbeat_interval.0 {
            problems.push(TimingProblem::ElectionTimeoutTooShort);
        }
        let minimum = self.max_connected_age();
        if self.fresh_limit < minimum {
            problems.push(TimingProblem::FreshLimitTooShort { minimum });
        }
        if self.stale_limit <= self.fresh_limit {
            problems.push(TimingProblem::StaleLimitTooShort);
        }
        problems
    }
}
