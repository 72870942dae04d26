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
/// What the store of an unknown customer is taken to have held when the span began, as part of its burst: in the middle.
const HELD: f64 = 0.5;
/// No rate is reckoned over less than this, in seconds: two requests at once say nothing of a rate.
const LEAST: f64 = 0.3;

/// The pace of the demand is averaged over this time, in seconds, where totals follow one another. Longer sees spikes too late.
const PACE: f64 = 0.7;
/// What is usual is averaged over this time: one burst of a second says nothing of what the others need for long.
const USUAL: f64 = 5.0;
/// Two totals further apart than this say nothing of the time between them.
const FOLLOWS: Micros = Micros(9_000_000);

/// A total, as of a moment of its span, and what follows from it and those before it.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Heard {
    at: Micros,
    span: u64,
    total: f64,
    /// Units a second that are asked for, just now and usually.
    rate: f64,
    usual: f64,
    /// What a store would hold that lets through whatever it has room for.
    level: f64,
}

/// What was heard of one customer's demand.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    heard: Option<Heard>,
}

impl Demand {
    /// A total was heard, so long after its span began.
    ///
    /// Between two totals the store is played on with what was asked for in between: it says more of a moment than the mean of
    /// a span does. Of a customer heard of for the first time in long, the store is taken to have been half full.
    pub fn add_total(&mut self, quota: Quota, now: Micros, span: u64, elapsed: Micros, total: f64) {
        if !total.is_finite() {
            return self.heard = None;
        }
        let total = total.max(0.0);
        let before = self.heard.filter(|last| now < last.at + FOLLOWS);
        let (rate, usual, level) = match before {
            None => {
                let held = HELD * quota.burst + quota.rate * elapsed.secs();
                (total / elapsed.secs().max(LEAST), total / elapsed.secs().max(USUAL / 2.0), held - total)
            }
            Some(last) => {
                let passed = (now - last.at).secs();
                let asked = match last.span == span {
                    true if total >= last.total => total - last.total,
                    // A counter that lost what it held. Guards against a fresh burst for whoever asked for much before.
                    true => total.max(last.rate * passed),
                    // The rest of the span before is not told any more: it is taken to have gone on as it was.
                    false => total + last.rate * (passed - elapsed.secs()).max(0.0),
                };
                let newest = 1.0 - (-passed / PACE).exp();
                let rate = last.rate + (asked / passed.max(LEAST) - last.rate) * newest;
                let usual =
                    last.usual + (asked / passed.max(LEAST) - last.usual) * (1.0 - (-passed / USUAL).exp());
                (rate, usual, (last.level + quota.rate * passed).min(quota.burst) - asked)
            }
        };
        self.heard =
            Some(Heard { at: now, span, total, rate, usual, level: level.clamp(0.0, quota.burst.max(0.0)) });
    }

    /// Units a second that all gateways together are usually asked for, when it was heard of last.
    pub fn usual_rate(&self) -> Option<f64> {
        self.heard.map(|heard| heard.usual)
    }

    /// The part of the requests that may go on now; `None` while nothing was heard.
    pub fn chance(&self, quota: Quota, now: Micros) -> Option<f64> {
        let Heard { at, rate, level, .. } = self.heard?;
        let level = level + (quota.rate - rate) * (now - at).secs();
        Some(if level > 0.0 || rate <= quota.rate { 1.0 } else { quota.rate / rate })
    }
}
