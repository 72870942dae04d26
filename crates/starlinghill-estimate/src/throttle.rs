//! Adaptive throttling towards the servers (Beyer et al., "Site Reliability Engineering", chapter 21): of what is asked for, a
//! little more goes on than came back in time of late.

use crate::MIN_SHARE;
use starlinghill_rate_limit::Micros;

/// Time over which requests are counted, in seconds. Shorter forgets overload between two of its answers.
const SPAN: f64 = 5.0;
/// How many go on for each that came back in time. Closer to one sheds for the few slow answers that there always are; more
/// lets more work be wasted in overload. It is also how fast more goes on again afterwards: so many times for each span.
const SLACK: f64 = 1.4;
/// So many answers in time are taken to have come before the first: a late one or two at a start say little.
const GRANTED: f64 = 3.0;

/// What was asked for and what came back in time, over the last moments.
#[derive(Debug, Clone, Copy, Default)]
pub struct Throttle {
    asked: f64,
    in_time: f64,
    at: Micros,
}

impl Throttle {
    /// One that went on came back, in time or not. It stands for as many of usual worth as were asked for. Guards against a trap: with what is worth little all
    /// shed, counting what was shed would say for good that much is asked for and does not come back.
    pub fn record(&mut self, now: Micros, in_time: bool) {
        let in_time = f64::from(u8::from(in_time));
        let (kept, stands_for) = ((-(now - self.at).secs() / SPAN).exp(), 1.0 / self.pass_share());
        (self.asked, self.in_time) = (self.asked * kept + stands_for, self.in_time * kept + in_time);
        self.at = now.max(self.at);
    }

    /// The part of the requests of usual worth that goes on.
    pub fn pass_share(&self) -> f64 {
        ((SLACK * self.in_time + GRANTED) / (self.asked + GRANTED)).clamp(MIN_SHARE, 1.0)
    }
}
