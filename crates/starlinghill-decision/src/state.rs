//! What a gateway keeps in mind. Nothing here decides.

use crate::api::*;
use crate::rules::Breaker;

/// A store of units that fills at a rate. It may go below nothing where the caller lets it.
#[derive(Debug, Clone, Default)]
pub(crate) struct TokenBucket {
    pub(crate) level: f64,
    pub(crate) depth: f64,
    pub(crate) rate: f64,
    pub(crate) at: Micros,
}

impl TokenBucket {
    pub(crate) fn fill(&mut self, now: Micros) {
        self.level = (self.level + self.rate * (now - self.at).secs()).min(self.depth);
        self.at = now.max(self.at);
    }
    pub(crate) fn take(&mut self, now: Micros, units: f64) -> bool {
        self.fill(now);
        let enough = self.level >= units;
        if enough {
            self.level -= units;
        }
        enough
    }
}

/// What a count is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    Window,
    Open,
}

/// One call to the counter whose answer is still to come.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) at: Micros,
    pub(crate) purpose: Purpose,
    pub(crate) customer: CustomerId,
    pub(crate) span: u64,
    pub(crate) request: Option<RequestId>,
    pub(crate) amount: f64,
    /// The part of the amount that is not this request's own.
    pub(crate) extra: f64,
    /// The part of that which went on unheard.
    pub(crate) unheard: f64,
    pub(crate) probe: bool,
}

/// This gateway's side of a customer's shared count in one window (or epoch).
#[derive(Debug, Default)]
pub(crate) struct Tally {
    pub(crate) span: u64,
    /// Own adds known to have been counted.
    pub(crate) posted: f64,
    /// Own spend not yet on the counter.
    pub(crate) owed: f64,
    /// The part of it that the local bucket let in.
    pub(crate) unheard: f64,
    /// Own earlier spend that calls under way carry.
    pub(crate) posting: f64,
    /// The last total heard.
    pub(crate) seen: f64,
    /// What the window before left of its allowance, as far as is known.
    pub(crate) left: f64,
    /// That window was followed here, so `left` is more than a guess.
    pub(crate) followed: bool,
}

impl Tally {
    /// The total as far as it is known here, with what of ours it does not hold yet.
    pub(crate) fn known(&self) -> f64 {
        self.seen + self.owed + self.posting
    }
}

/// What was refused last, by which a repeat is known.
#[derive(Debug)]
pub(crate) struct Refusal {
    pub(crate) class: ClassId,
    pub(crate) units: f64,
    pub(crate) at: Micros,
}

#[derive(Debug, Default)]
pub(crate) struct Customer {
    pub(crate) refused: Option<Refusal>,
    pub(crate) plan: usize,
    pub(crate) spread: f64,
    pub(crate) window: Tally,
    pub(crate) epoch: Tally,
    /// Own adds and totals of past windows, smoothed.
    pub(crate) heard: (f64, f64),
    pub(crate) bucket: Option<TokenBucket>,
    /// What may go on unheard or beyond the quota under a ceiling.
    pub(crate) beyond: TokenBucket,
    pub(crate) breaker: Breaker,
    /// Own attempts out (of a plan that caps them).
    pub(crate) out: f64,
    pub(crate) used: Micros,
}

#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) sent: Micros,
    pub(crate) out: bool,
    pub(crate) may_have_run: bool,
}

#[derive(Debug, Default)]
pub(crate) struct Request {
    pub(crate) a: Arrival,
    pub(crate) arrived: Micros,
    pub(crate) attempts: Vec<Attempt>,
    /// Window whose count holds this request's units, until the first send.
    pub(crate) counted: Option<u64>,
    /// It holds a place in the customer's attempts out.
    pub(crate) holds_place: bool,
    /// Count calls made for it whose answers are still to come.
    pub(crate) asking: u32,
    pub(crate) held_since: Option<Micros>,
    pub(crate) streaming: bool,
    pub(crate) done: bool,
}

impl Request {
    /// An attempt of it is out.
    pub(crate) fn is_out(&self) -> bool {
        self.attempts.iter().any(|a| a.out)
    }
}

#[derive(Debug, Default)]
pub(crate) struct Server {
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) weight: f64,
    pub(crate) listed: bool,
    pub(crate) out: f64,
    pub(crate) latency: f64,
    pub(crate) limit: f64,
    pub(crate) fail_share: f64,
    pub(crate) ejected_until: Micros,
    pub(crate) ejections: u32,
    pub(crate) trial: bool,
    pub(crate) unreached_since: Option<Micros>,
    pub(crate) cold_since: Option<Micros>,
    pub(crate) cold_room: TokenBucket,
}

#[derive(Debug, Clone, Copy)]
pub(crate) enum Timer {
    Deadline(RequestId),
    Held,
    Resubscribe,
    Sweep,
}

/// Spreads the bits of a number (the finaliser of SplitMix64).
pub(crate) fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
