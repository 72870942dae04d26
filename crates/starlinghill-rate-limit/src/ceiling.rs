//! A hard ceiling over the gateways of one customer. It does not rest on samples: a part of it is split evenly over the
//! gateways; what a gateway lacks it may take from the rest, of which so much may be taken in each short turn, by a
//! count of its own. Over any time the two together stay within the ceiling, in whatever order calls and gateways come.

use crate::{Micros, Quota};

/// The part of a ceiling that is split evenly: the least that leaves each gateway room for a little more than the largest request,
/// else the most. Customers come unevenly, and one gateway may see half of what one asks for.
const SPLITS: [f64; 3] = [0.6, 0.7, 0.8];
const ROOMY: f64 = 1.2;
/// The length of a turn, at the least, and the requests that one has room for. Longer turns need fewer calls, and leave less to be
/// split: a burst may spend two turns at once.
const TURN: Micros = Micros(500_000);
const TURN_HOLDS: f64 = 2.0;
/// The most of a turn that is taken for requests to come.
const MOST_AHEAD: f64 = 0.5;
/// What was let through may still wait so long for a server.
const ON_THE_WAY: Micros = Micros(100_000);

/// How a plan's ceiling is kept over the gateways of a customer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CeilingSplit {
    /// Each gateway's own part, in units a second.
    pub rate: f64,
    /// At once.
    pub depth: f64,
    /// The turns' length.
    pub turn: Micros,
    /// The units of each turn; none where the ceiling holds too little for turns.
    pub units: f64,
}

impl CeilingSplit {
    /// The same at each gateway: it follows from the settings and the number of the customer's gateways alone. `most` is the
    /// largest request, `late` how long a call for a turn may take.
    pub fn of(ceiling: Quota, most: f64, late: Micros, spread: f64) -> CeilingSplit {
        let late = ON_THE_WAY + late;
        let shared = |part: f64| {
            let rate = ceiling.rate * (1.0 - part);
            let turn = TURN.max(Micros((TURN_HOLDS * most / rate.max(1e-9) * 1e6).min(1e12) as u64));
            // Two turns, one behind the other, can be spent at once, and calls that were late with them.
            let held = rate * (turn + turn + late).secs();
            let depth = (ceiling.burst - held - ceiling.rate * part * ON_THE_WAY.secs()) / spread;
            (
                CeilingSplit { rate: ceiling.rate * part / spread, depth, turn, units: rate * turn.secs() },
                depth,
            )
        };
        // One that has a customer to itself has all of its ceiling.
        let tries: &[f64] = if spread > 1.0 { &SPLITS } else { &[1.0] };
        let mut fits = None;
        for (split, depth) in tries.iter().map(|&part| shared(part)) {
            fits = if depth >= most { Some(split) } else { fits };
            if depth >= most * ROOMY {
                break;
            }
        }
        if let Some(split) = fits {
            return split;
        }
        // A part of less than one request is of no use: all by turns, or where the ceiling does not hold two of them, none.
        let (turns, left) = shared(0.0);
        if left >= 0.0 {
            return CeilingSplit { depth: 0.0, ..turns };
        }
        let depth = (ceiling.burst - ceiling.rate * ON_THE_WAY.secs()).max(0.0) / spread;
        CeilingSplit { rate: ceiling.rate / spread, depth, turn: TURN, units: 0.0 }
    }

    /// The turn of the moment, and what is left of it.
    pub fn turn_at(&self, now: Micros) -> (u64, Micros) {
        (now.0 / self.turn.0, self.turn - Micros(now.0 % self.turn.0))
    }

    /// What to take from a turn for a request, and for those that are to be expected while so much of it is left.
    pub fn call_amount(&self, units: f64, flow: f64, left: Micros) -> f64 {
        units + (flow.max(0.0) * left.secs()).min(self.units * MOST_AHEAD).floor()
    }
}

/// What a gateway holds of a customer's turns.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TurnUnits {
    /// The last turn of which something was got, and what is left of that here.
    held: (u64, f64),
    /// The last turn known to be spent.
    spent: u64,
}

impl TurnUnits {
    /// Takes units of what is held of this turn; returns whether there were so many.
    pub fn take(&mut self, turn: u64, units: f64) -> bool {
        let there = self.held.0 == turn && self.held.1 >= units;
        self.held.1 -= if there { units } else { 0.0 };
        there
    }

    /// Whether nothing more is to be had of this turn.
    pub fn is_spent(&self, turn: u64) -> bool {
        self.spent == turn
    }

    /// No more is asked for of this turn.
    pub fn mark_spent(&mut self, turn: u64) {
        self.spent = turn;
    }

    /// What was got by a call for a turn, of its amount, by the total that was heard. What the request of so many units
    /// leaves of it can be used while the turn lasts.
    pub fn call_answered(
        &mut self,
        split: &CeilingSplit,
        now: Micros,
        turn: u64,
        (amount, units): (f64, f64),
        total: f64,
    ) -> f64 {
        let got = (split.units - (total - amount)).clamp(0.0, amount);
        if got < amount {
            self.spent = turn;
        }
        let rest = if got >= units { got - units } else { got };
        if split.turn_at(now).0 == turn {
            let had = if self.held.0 == turn { self.held.1 } else { 0.0 };
            self.held = (turn, had + rest);
        }
        got
    }
}
