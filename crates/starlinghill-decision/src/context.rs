//! What all parts of the module share: settings, time, random numbers, and the actions to return.

use crate::api::*;
use crate::bucket::mix;
use std::collections::BTreeMap;

/// Weight of the newest sample in exponential moving averages.
pub(crate) const SMOOTHING: f64 = 0.1;

/// The purpose of a timer.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Timer {
    Deadline(RequestId),
    /// Look at the requests that wait for a server.
    Held,
    /// Subscribe to the server list again.
    Resubscribe,
    /// Forget idle customers.
    Sweep,
    /// Answer all open requests, as the gateway ends.
    Closing,
}

/// Passed to each part with every event.
#[derive(Debug, Default)]
pub(crate) struct Context {
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) now: Micros,
    /// Time of the first event.
    pub(crate) started: Option<Micros>,
    pub(crate) actions: Vec<Action>,
    /// This gateway has lost contact with all others, so they may use its shares of quotas.
    pub(crate) isolated: bool,
    /// Every open request must be answered by this time.
    pub(crate) shut_down_at: Option<Micros>,
    pub(crate) timers: BTreeMap<TimerId, Timer>,
    serial: u64,
}

impl Context {
    pub(crate) fn new(seed: u64, settings: Settings) -> Context {
        Context { settings, rng: fastrand::Rng::with_seed(seed), ..Context::default() }
    }

    pub(crate) fn timer(&mut self, timer: Timer, after: Micros) {
        self.serial += 1;
        let id = TimerId(self.serial);
        self.timers.insert(id, timer);
        self.actions.push(Action::SetTimer(id, after));
    }

    /// A fixed pseudo-random number from 0 to 1 for a customer at this gateway at this moment.
    pub(crate) fn chance(&self, customer: CustomerId) -> f64 {
        mix(self.now.0 ^ mix(customer.0 ^ mix(u64::from(self.settings.me)))) as f64 / u64::MAX as f64
    }

    /// A request's worth, multiplied by its plan's price.
    pub(crate) fn worth(&self, a: &Arrival) -> f64 {
        self.settings.classes[a.class.0].worth * self.settings.plans[a.plan.0].price
    }
}
