//! The fraction of requests that call the counter: all while it can answer them, fewer while calls fail or
//! queue.

use crate::MIN_SHARE;
use starlinghill_rate_limit::Micros;

/// With few gateways the share is multiplied by `CUT` for a failed call and by `QUEUED` for an answer that
/// queued for more than half of the time limit. Each other answer adds `GROW`. The step does not depend on
/// the share, so gateways come to equal shares of a counter that can't answer all calls.
const CUT: f64 = 0.8;
const QUEUED: f64 = 0.97;
const GROW: f64 = 0.005;
/// With more gateways than `START`, each hears only an answer or two a second until its share has grown. So
/// each answer multiplies the share by 1.5 until one queues or fails (slow start). Then the queueing time
/// controls the share: below `MANY_QUEUE` of the time limit it rises by up to `MANY_GROW`, above it falls by
/// up to the fraction `MANY_SHRINK`. Guards against a counter that is idle for ten seconds after each
/// overload, while gateways know nothing of any customer.
const MANY_CUT: f64 = 0.7;
/// Slow start ends at this share: one more step from a half could call for twice what the counter can answer.
const SLOW_START_END: f64 = 0.5;
const MANY_GROW: f64 = 0.03;
const MANY_SHRINK: f64 = 0.06;
const MANY_QUEUE: f64 = 0.2;
/// The least share after an answered probe.
const PROBE_SHARE: f64 = 0.5;
/// Up to this many gateways, all requests call from the start; more gateways start with the same number of
/// calls in all.
const START: f64 = 25.0;
/// The share above which the counter can answer more calls.
const SPARE_SHARE: f64 = 0.9;
/// How fast the time of an answer without queueing is forgotten, per answer that took longer.
const MINIMUM_DECAY: f64 = 0.005;

/// The share of requests that call the counter.
#[derive(Debug, Clone, Copy)]
pub struct CounterSampling {
    share: f64,
    many: bool,
    /// In slow start: no answer has queued or failed yet.
    starting: bool,
    last_cut: Micros,
    /// Time of an answer without queueing, in seconds: a slowly rising minimum.
    unqueued: Option<f64>,
}

impl Default for CounterSampling {
    fn default() -> CounterSampling {
        CounterSampling { share: 1.0, many: false, starting: false, last_cut: Micros(0), unqueued: None }
    }
}

impl CounterSampling {
    /// The start of one of this many gateways. Guards against a counter that all of them overload before the
    /// first cut.
    pub fn new(gateways: u32) -> CounterSampling {
        let share = (START / f64::from(gateways.max(1))).min(1.0);
        CounterSampling { share, many: share < 1.0, starting: share < 1.0, ..CounterSampling::default() }
    }

    /// Whether a request calls, by a random number from 0 to 1. A lower `power` makes a call more likely.
    pub fn should_call(&self, draw: f64, power: f64) -> bool {
        draw < self.call_probability(power)
    }

    /// The probability that a request with this power calls: the share to that power.
    pub fn call_probability(&self, power: f64) -> f64 {
        self.share.powf(power)
    }

    /// Whether the counter can answer more calls.
    pub fn has_spare_capacity(&self) -> bool {
        self.share >= SPARE_SHARE
    }

    /// Records a call, made at `made`, that the counter was too busy to answer. One cut covers all calls that
    /// were pending when it was made. Otherwise a moment's overload would stop nearly all calls.
    pub fn call_overloaded(&mut self, made: Micros, now: Micros) {
        if made >= self.last_cut {
            let cut = if self.many { MANY_CUT } else { CUT };
            (self.share, self.last_cut) = ((self.share * cut).max(MIN_SHARE), now);
            self.starting = false;
        }
    }

    /// Records an answered call, and how much of the time limit it took. Only the time above the least counts
    /// as queueing. Guards against taking a counter that is always slow for one that our calls overload.
    pub fn call_answered(&mut self, took: Micros, limit: Micros, probe: bool) {
        let took = took.secs();
        let best =
            self.unqueued
                .map_or(took, |best| if took < best { took } else { best + (took - best) * MINIMUM_DECAY });
        self.unqueued = Some(best);
        let queued = (took - best) / limit.secs().max(1e-9);
        let share = if self.many { self.step_many(queued) } else { self.step_few(queued) };
        self.share = share.min(1.0).max(if probe { PROBE_SHARE } else { MIN_SHARE });
    }

    fn step_few(&self, queued: f64) -> f64 {
        if queued > 0.5 {
            self.share * QUEUED
        } else {
            self.share + GROW
        }
    }

    fn step_many(&mut self, queued: f64) -> f64 {
        let over = queued / MANY_QUEUE - 1.0;
        self.starting &= over < 0.0 && self.share < SLOW_START_END;
        match self.starting {
            true => self.share * 1.5,
            false if over < 0.0 => self.share - MANY_GROW * over,
            false => self.share * (1.0 - MANY_SHRINK * over.min(1.0)),
        }
    }
}
