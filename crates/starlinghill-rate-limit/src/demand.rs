//! How much a customer asks for over all gateways, estimated from samples, and the fraction of it that the
//! quota allows.
//!
//! If a customer comes through dozens of gateways, no gateway receives totals often enough to follow its
//! token bucket, and the counter can't take a call per request. So each request is counted with some
//! probability, and with a weight of one over that probability (a Horvitz-Thompson estimate). The total is
//! then right on average whatever fraction of requests is counted. It counts demand, whether admitted or
//! refused. So a refusal needs no second call to take units back, and all gateways arrive at the same
//! fraction whatever the order in which they receive totals.

use crate::time::Micros;
use crate::Quota;

/// The length of a span over which the counter sums up demand. Shorter spans show spikes sooner but hold
/// fewer samples.
pub const SPAN: Micros = Micros(6_000_000);
/// The assumed level of an unknown customer's token bucket when the span began, as a fraction of the burst.
const INITIAL_LEVEL: f64 = 0.5;
/// Rates are computed over at least this many seconds: two requests at the same moment say nothing about a
/// rate.
const MIN_RATE_S: f64 = 0.3;

/// Time constant of the current rate, in seconds. A longer one notices spikes too late.
const CURRENT_RATE_S: f64 = 0.7;
/// Time constant of the usual rate, in seconds. A one-second burst should hardly change what gateways are
/// expected to need for longer.
const USUAL_RATE_S: f64 = 5.0;
/// Two totals that are further apart say nothing about the time between them.
const MAX_GAP: Micros = Micros(9_000_000);

/// The last total, and the estimates that follow from it and earlier ones.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Estimate {
    at: Micros,
    span: u64,
    total: f64,
    /// Current demand, in units a second.
    rate: f64,
    /// Demand averaged over a longer time, in units a second.
    usual: f64,
    /// The level of a token bucket with the customer's quota, from which all demand is taken.
    level: f64,
}

/// What is known of one customer's demand.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    last: Option<Estimate>,
}

impl Demand {
    /// Processes the total of a span that began `elapsed` ago.
    ///
    /// If there was a recent total before, the bucket is advanced by the demand since then, which describes
    /// the present better than a mean over the span. Otherwise the bucket is assumed to have been half full
    /// at the span's start.
    pub fn add_total(&mut self, quota: Quota, now: Micros, span: u64, elapsed: Micros, total: f64) {
        if !total.is_finite() {
            return self.last = None;
        }
        let total = total.max(0.0);
        let before = self.last.filter(|last| now < last.at + MAX_GAP);
        let (rate, usual, level) = match before {
            None => {
                let held = INITIAL_LEVEL * quota.burst + quota.rate * elapsed.secs();
                let rate_over = |seconds: f64| total / elapsed.secs().max(seconds);
                (rate_over(MIN_RATE_S), rate_over(USUAL_RATE_S / 2.0), held - total)
            }
            Some(last) => {
                let passed = (now - last.at).secs();
                let asked = match last.span == span {
                    true if total >= last.total => total - last.total,
                    // The counter lost its state. Guards against granting a fresh burst to a customer with
                    // high demand.
                    true => total.max(last.rate * passed),
                    // The rest of the previous span is unknown; its rate is assumed to have stayed the same.
                    false => total + last.rate * (passed - elapsed.secs()).max(0.0),
                };
                let newest = asked / passed.max(MIN_RATE_S);
                let average =
                    |old: f64, seconds: f64| old + (newest - old) * (1.0 - (-passed / seconds).exp());
                let rate = average(last.rate, CURRENT_RATE_S);
                let usual = average(last.usual, USUAL_RATE_S);
                (rate, usual, (last.level + quota.rate * passed).min(quota.burst) - asked)
            }
        };
        let level = level.clamp(0.0, quota.burst.max(0.0));
        self.last = Some(Estimate { at: now, span, total, rate, usual, level });
    }

    /// The usual demand over all gateways as of the last total, in units a second.
    pub fn usual_rate(&self) -> Option<f64> {
        self.last.map(|last| last.usual)
    }

    /// The fraction of requests that may be admitted now; `None` before the first total.
    pub fn chance(&self, quota: Quota, now: Micros) -> Option<f64> {
        let Estimate { at, rate, level, .. } = self.last?;
        let level = level + (quota.rate - rate) * (now - at).secs();
        Some(if level > 0.0 || rate <= quota.rate { 1.0 } else { quota.rate / rate })
    }
}
