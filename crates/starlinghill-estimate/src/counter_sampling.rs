//! How many requests ask the shared counter: all where it bears that, a part where calls fail or queue.

use crate::MIN_SHARE;
use starlinghill_rate_limit::Micros;

/// The share is cut by a failed call and a little by an answer that queued for more than half of the time there is, raised by each
/// other answer, and never below `MIN_SHARE`. Raised by as much whatever it is, so that gateways come to equal shares of a
/// counter that can't bear all.
const CUT: f64 = 0.8;
const QUEUED: f64 = 0.97;
const GROW: f64 = 0.005;
/// The same where more gateways ask than may do so for each request at first. Each hears an answer or two a second until it asks for
/// more, so the share is doubled by each until one queues or fails (slow start); then the queue steers it: up by so much for an
/// answer that did not queue, down in proportion for one that queued for longer than this part of the time there is. Guards
/// against a counter that is idle for ten seconds after every jam, while nothing is known of any customer.
const MANY_CUT: f64 = 0.7;
/// Slow start ends here at the latest: from a half on one step more could ask for twice what the counter bears.
const MANY_SURE: f64 = 0.5;
const MANY_GROW: f64 = 0.03;
const MANY_SHRINK: f64 = 0.06;
const MANY_QUEUE: f64 = 0.2;
/// The share with which asking begins again when a probe was answered.
const AGAIN: f64 = 0.5;
/// Gateways that may ask for each request from their start; of more the like of so many.
const START: f64 = 25.0;
/// The share above which the counter has calls to spare.
const SPARE: f64 = 0.9;
/// How fast the time of an answer that did not queue is forgotten, with each that took longer.
const FORGET: f64 = 0.005;

/// The share of requests that ask.
#[derive(Debug, Clone, Copy)]
pub struct CounterSampling {
    share: f64,
    many: bool,
    /// No answer has queued or failed yet.
    starting: bool,
    last_cut: Micros,
    /// What an answer takes that does not queue, in seconds: the least of late.
    unqueued: Option<f64>,
}

impl Default for CounterSampling {
    fn default() -> CounterSampling {
        CounterSampling { share: 1.0, many: false, starting: false, last_cut: Micros(0), unqueued: None }
    }
}

impl CounterSampling {
    /// At the start of one of so many gateways. Guards against a counter that all of them fill before the first cut.
    pub fn of(gateways: u32) -> CounterSampling {
        let share = (START / f64::from(gateways.max(1))).min(1.0);
        CounterSampling { share, many: share < 1.0, starting: share < 1.0, ..CounterSampling::default() }
    }

    /// Whether one asks by this draw (from 0 to 1): what is worth much first, repeats last.
    pub fn should_call(&self, draw: f64, power: f64) -> bool {
        draw < self.call_probability(power)
    }

    /// The part that asks of what has this power.
    pub fn call_probability(&self, power: f64) -> f64 {
        self.share.powf(power)
    }

    /// The counter has calls to spare.
    pub fn has_spare_capacity(&self) -> bool {
        self.share >= SPARE
    }

    /// A call that was made then came back by now as one that the counter did not bear. One cut answers for all calls that were out
    /// when it was made: guards against asking next to nothing for a moment's jam.
    pub fn call_overloaded(&mut self, made: Micros, now: Micros) {
        if made >= self.last_cut {
            let cut = if self.many { MANY_CUT } else { CUT };
            (self.share, self.last_cut) = ((self.share * cut).max(MIN_SHARE), now);
            self.starting = false;
        }
    }

    /// A call was answered after so long, of the time there is. Guards against taking a counter that is slow by itself for one
    /// that our calls drown: only what it takes beyond its best says that calls queue.
    pub fn call_answered(&mut self, took: Micros, limit: Micros, probe: bool) {
        let took = took.secs();
        let best =
            self.unqueued.map_or(took, |best| if took < best { took } else { best + (took - best) * FORGET });
        self.unqueued = Some(best);
        let part = (took - best) / limit.secs().max(1e-9);
        let share = if self.many { self.steered(part) } else { self.raised(part) };
        self.share = share.min(1.0).max(if probe { AGAIN } else { MIN_SHARE });
    }

    fn raised(&self, queued: f64) -> f64 {
        if queued > 0.5 {
            self.share * QUEUED
        } else {
            self.share + GROW
        }
    }

    fn steered(&mut self, queued: f64) -> f64 {
        let over = queued / MANY_QUEUE - 1.0;
        self.starting &= over < 0.0 && self.share < MANY_SURE;
        match self.starting {
            true => self.share * 1.5,
            false if over < 0.0 => self.share - MANY_GROW * over,
            false => self.share * (1.0 - MANY_SHRINK * over.min(1.0)),
        }
    }
}
