//! Adaptive throttling towards the servers (Beyer et al., "Site Reliability Engineering", chapter 21): admits
//! a little more than lately came back in time.

use crate::MIN_SHARE;
use starlinghill_rate_limit::Micros;

/// Time over which requests are counted, in seconds. A shorter time would forget overload between two
/// answers.
const SPAN: f64 = 5.0;
/// Requests admitted for each one that came back in time. Less would refuse requests for the few slow answers
/// that always occur; more wastes work in overload. It also sets the speed of recovery: the admitted rate can
/// grow by this factor in each `SPAN`.
const ADMIT_RATIO: f64 = 1.4;
/// Answers in time assumed before the first, so that one or two late answers at a start have little effect.
const INITIAL_IN_TIME: f64 = 3.0;

/// Requests and answers in time, over recent seconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct Throttle {
    requests: f64,
    in_time: f64,
    at: Micros,
}

impl Throttle {
    /// Records the end of an admitted request, in time or not. It counts for all requests of average worth
    /// that the present share refused beside it. Counting refused requests themselves would be a trap: with
    /// all of low worth refused, the counts would forever say that much is asked for and nothing comes back.
    pub fn record(&mut self, now: Micros, in_time: bool) {
        let in_time = f64::from(u8::from(in_time));
        let (kept, stands_for) = ((-(now - self.at).secs() / SPAN).exp(), 1.0 / self.pass_share());
        (self.requests, self.in_time) = (self.requests * kept + stands_for, self.in_time * kept + in_time);
        self.at = now.max(self.at);
    }

    /// The fraction of requests of average worth to admit.
    pub fn pass_share(&self) -> f64 {
        ((ADMIT_RATIO * self.in_time + INITIAL_IN_TIME) / (self.requests + INITIAL_IN_TIME))
            .clamp(MIN_SHARE, 1.0)
    }
}
