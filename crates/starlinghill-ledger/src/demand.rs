//! How much a customer asks for over all gateways, by samples of it, and what part of that its quota bears.
//!
//! Where a customer comes through dozens of gateways, none of them sees enough to follow its store, and a counter can't take a
//! call for each request. There a request is counted by chance, and as many times as that chance is rare (a Horvitz-Thompson
//! estimate): a total is then right on average whatever part asks. It counts what is asked for, refused or not, so a refusal
//! needs no second call that takes it back, and all gateways come to the same part of the requests whatever order they hear in.

use crate::time::Micros;
use crate::Quota;

/// The length of a span over which demand is counted. Shorter sees spikes sooner and has fewer samples.
pub const SPAN: Micros = Micros(6_000_000);
/// What the store is taken to hold when a span begins, as part of its burst: unknown, so in the middle.
const HELD: f64 = 0.5;
/// No rate is reckoned over less than this, in seconds: two requests at once say nothing of a rate.
const LEAST: f64 = 0.3;

/// A total, as of a moment of its span.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Heard {
    span: u64,
    elapsed: Micros,
    total: f64,
}

/// What was heard last of one customer's demand.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    heard: Option<Heard>,
}

impl Demand {
    /// A total was heard, so long after its span began.
    pub fn heard(&mut self, span: u64, elapsed: Micros, total: f64) {
        self.heard = total.is_finite().then_some(Heard { span, elapsed, total: total.max(0.0) });
    }

    /// The part of the requests that may go on at this moment of a span; `None` while nothing was heard.
    pub fn chance(&self, quota: Quota, span: u64, elapsed: Micros) -> Option<f64> {
        let Heard { span: of, elapsed: then, total } = self.heard?;
        let asked = total / then.secs().max(LEAST);
        if of != span {
            // Demand is taken to go on; of the store nothing is known any more.
            return Some(if asked > quota.rate { quota.rate / asked } else { 1.0 });
        }
        let total = total + asked * (elapsed - then).secs();
        let level = HELD * quota.burst + quota.rate * elapsed.secs() - total;
        Some(if level >= 0.0 || asked <= quota.rate { 1.0 } else { quota.rate / asked })
    }
}
