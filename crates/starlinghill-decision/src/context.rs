//! What every part of the module decides with: the settings, the time, chance, and the way out.

use crate::api::*;
use crate::bucket::mix;
use std::collections::BTreeMap;

/// Weight of the newest sample in smoothed figures.
pub(crate) const SMOOTH: f64 = 0.1;

/// What a timer was set for.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Timer {
    Deadline(RequestId),
    Held,
    Resubscribe,
    Sweep,
    Closing,
}

/// Handed to each part with every event.
#[derive(Debug, Default)]
pub(crate) struct Context {
    pub(crate) set: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: Micros,
    /// When this gateway was first told something.
    pub(crate) started: Option<Micros>,
    pub(crate) out: Vec<Action>,
    /// It hears nobody: others may use its shares.
    pub(crate) alone: bool,
    /// All that is open must have its answer by then.
    pub(crate) closing: Option<Micros>,
    pub(crate) timers: BTreeMap<TimerId, Timer>,
    serial: u64,
}

impl Context {
    pub(crate) fn new(seed: u64, set: Settings) -> Context {
        Context { set, rng: fastrand::Rng::with_seed(seed), ..Context::default() }
    }

    pub(crate) fn timer(&mut self, timer: Timer, after: Micros) {
        self.serial += 1;
        let id = TimerId(self.serial);
        self.timers.insert(id, timer);
        self.out.push(Action::SetTimer(id, after));
    }

    /// A chance between 0 and 1 for a customer at this gateway at this moment.
    pub(crate) fn chance(&self, customer: CustomerId) -> f64 {
        mix(self.now.0 ^ mix(customer.0 ^ mix(u64::from(self.set.me)))) as f64 / u64::MAX as f64
    }

    /// What a request is worth, its plan's price reckoned in.
    pub(crate) fn worth(&self, a: &Arrival) -> f64 {
        self.set.classes[a.class.0].worth * self.set.plans[a.plan.0].price
    }
}
