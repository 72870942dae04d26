//! A hard ceiling on one customer over all of its gateways. It doesn't rely on estimates: a fraction of the
//! ceiling is divided evenly among the gateways, and each gateway enforces its part alone. If a gateway
//! needs more, it takes units from the rest. The rest is released in short periods called turns, and a
//! shared count for each turn limits it. The two together stay within the ceiling over any time span,
//! whatever the order of calls and requests.

use crate::{Micros, Quota};

/// Fractions of a ceiling that may be divided evenly, in the order in which they are tried. The first one
/// wins with which each gateway has room for [`DEPTH_MARGIN`] times the largest request; otherwise the
/// largest one that has room for one such request. The rest must be large because requests come unevenly:
/// one gateway may receive half of them.
const EVEN_FRACTIONS: [f64; 3] = [0.6, 0.7, 0.8];
const DEPTH_MARGIN: f64 = 1.2;
/// The shortest turn, and how many of the largest requests a turn must have room for. Longer turns need
/// fewer calls, but leave less to divide evenly, because a burst may use up two consecutive turns at once.
const MIN_TURN: Micros = Micros(500_000);
const REQUESTS_PER_TURN: f64 = 2.0;
/// The largest fraction of a turn that one call takes in advance for expected requests.
const MAX_ADVANCE: f64 = 0.5;
/// An admitted request may wait this long before it reaches a server, so requests of this much more time
/// can arrive together.
const SERVER_DELAY: Micros = Micros(100_000);

/// How a plan's ceiling is divided among a customer's gateways.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CeilingSplit {
    /// The rate of each gateway's own part, in units a second.
    pub rate: f64,
    /// The most units that each gateway's own part holds.
    pub depth: f64,
    /// The length of a turn.
    pub turn: Micros,
    /// The units in each turn for all gateways; zero if the ceiling is too small for turns.
    pub units: f64,
}

impl CeilingSplit {
    /// Depends on settings and the number of gateways only, so that every gateway computes the same split.
    ///
    /// `largest` is the size of the largest request in units, `call_time` the longest time that a call for
    /// a turn takes, `gateways` the number of gateways that the customer's requests come through.
    pub fn of(ceiling: Quota, largest: f64, call_time: Micros, gateways: f64) -> CeilingSplit {
        let delay = SERVER_DELAY + call_time;
        let divide = |even: f64| {
            let rate = ceiling.rate * (1.0 - even);
            let turn =
                MIN_TURN.max(Micros((REQUESTS_PER_TURN * largest / rate.max(1e-9) * 1e6).min(1e12) as u64));
            // Two consecutive turns may be used up at once, together with calls that were delayed.
            let reserved = rate * (turn + turn + delay).secs();
            let depth = (ceiling.burst - reserved - ceiling.rate * even * SERVER_DELAY.secs()) / gateways;
            (
                CeilingSplit { rate: ceiling.rate * even / gateways, depth, turn, units: rate * turn.secs() },
                depth,
            )
        };
        // A customer's only gateway has the whole ceiling to itself.
        let fractions: &[f64] = if gateways > 1.0 { &EVEN_FRACTIONS } else { &[1.0] };
        let mut best = None;
        for (split, depth) in fractions.iter().map(|&even| divide(even)) {
            best = if depth >= largest { Some(split) } else { best };
            if depth >= largest * DEPTH_MARGIN {
                break;
            }
        }
        if let Some(split) = best {
            return split;
        }
        // A part that holds less than one request is useless: release everything in turns. If the ceiling
        // does not have room for two turns, divide it evenly and have no turns.
        let (turns, depth) = divide(0.0);
        if depth >= 0.0 {
            return CeilingSplit { depth: 0.0, ..turns };
        }
        let depth = (ceiling.burst - ceiling.rate * SERVER_DELAY.secs()).max(0.0) / gateways;
        CeilingSplit { rate: ceiling.rate / gateways, depth, turn: MIN_TURN, units: 0.0 }
    }

    /// The number of the current turn, and how much time of it is left.
    pub fn turn_at(&self, now: Micros) -> (u64, Micros) {
        (now.0 / self.turn.0, self.turn - Micros(now.0 % self.turn.0))
    }

    /// How many units to take from a turn for a request of `units`, and in advance for the requests
    /// expected at `rate` units a second in the time that is `left` of the turn.
    pub fn call_amount(&self, units: f64, rate: f64, left: Micros) -> f64 {
        units + (rate.max(0.0) * left.secs()).min(self.units * MAX_ADVANCE).floor()
    }
}

/// The units of a customer's turns that one gateway has taken and not yet used.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TurnUnits {
    /// The last turn from which this gateway got units, and how many of them are unused.
    held: (u64, f64),
    /// The last turn known to be used up.
    spent: u64,
}

impl TurnUnits {
    /// Uses units held from this turn; returns whether there were enough.
    pub fn take(&mut self, turn: u64, units: f64) -> bool {
        let enough = self.held.0 == turn && self.held.1 >= units;
        self.held.1 -= if enough { units } else { 0.0 };
        enough
    }

    /// Whether the turn is known to have no more units.
    pub fn is_spent(&self, turn: u64) -> bool {
        self.spent == turn
    }

    /// Makes no further calls for this turn.
    pub fn mark_spent(&mut self, turn: u64) {
        self.spent = turn;
    }

    /// Processes the answer to a call that took `amount` units of a turn for a request of `units`. Returns
    /// how many units the turn had left for this call, given the turn's `total` after it. Units that the
    /// request doesn't need can be used until the turn ends.
    pub fn call_answered(
        &mut self,
        split: &CeilingSplit,
        now: Micros,
        turn: u64,
        (amount, units): (f64, f64),
        total: f64,
    ) -> f64 {
        let received = (split.units - (total - amount)).clamp(0.0, amount);
        if received < amount {
            self.spent = turn;
        }
        let unused = if received >= units { received - units } else { received };
        if split.turn_at(now).0 == turn {
            let held = if self.held.0 == turn { self.held.1 } else { 0.0 };
            self.held = (turn, held + unused);
        }
        received
    }
}
