//! Slices of customers' quotas for proxies that enforce quotas themselves.
//!
//! Each customer's quota is a token bucket with a rate and a burst. A *holder* (one stream of one proxy)
//! receives *assignments*: a rate, some tokens to start with, and a lifetime. The service can't know when
//! an assignment arrives, and a proxy that lost its connection may use its last one until it expires. So
//! the ledger pays for each assignment when it is made, as if it will be used in full, and keeps this sum
//! at the burst or below:
//!
//! ```text
//! held = store + sum over holders (paid - used)
//! ```
//!
//! `store` is what no holder was given; it fills at the part of the rate that no holder has. `paid` grows
//! by the tokens of each new assignment, and at the largest rate among a holder's assignments that may be
//! in use. `used` is what the holder reported. An assignment may be in use until it expires, or until a
//! report shows that its successor has arrived. So in any time span, all holders together admit no more
//! than one bucket with this rate and burst, even if messages are lost, delayed or duplicated or processes
//! restart. What a holder has provably not used, beyond the tokens that it may still have, returns to the
//! store.
//!
//! All times are measured by this process. A proxy's clock matters only in how fast it runs.

use starlinghill_decision::api::{CustomerId, Micros, PlanId, Settings};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Fraction of the rate that is not assigned but fills the store, for new holders and for those whose
/// demand grows faster than their slice.
const RESERVED_RATE: f64 = 0.1;
/// Fraction of the assigned rate that is divided evenly among holders, so that each one has tokens when its
/// demand starts.
const EVEN_FRACTION: f64 = 0.1;
/// Time constant of the average demand, in seconds. Reports come several times a second and cover few
/// requests each.
const DEMAND_S: f64 = 1.0;
/// A holder gets a new assignment if its rate differs from the wanted one by more than this fraction. Each
/// new assignment pays for tokens that are not used while it is in transit.
const RATE_TOLERANCE: f64 = 0.2;
/// The same for a holder that refuses requests and should get a higher rate.
const RATE_TOLERANCE_SHORT: f64 = 0.03;
/// Fraction of the burst that is kept for new holders and for those whose slice must shrink.
const RESERVED_BURST: f64 = 0.25;
/// A bucket without requests for this long is abandoned.
const IDLE: Micros = Micros(60_000_000);
/// The most assignments of one bucket that may be in use at a time. After that, new ones wait until one
/// expires.
const MAX_OUTSTANDING: usize = 32;
/// The most past values of `paid` that are kept, to compare with reports that were in transit for long.
const MAX_MARKS: usize = 16;
/// Lower rates, in units a second, count as zero.
const MIN_RATE: f64 = 1e-3;

/// One stream of one proxy. Two proxies with the same name are two holders. A proxy that reconnects is a
/// new holder, and the old one exists until its assignments have expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(pub u64);

/// What a proxy counts in one bucket: a customer's requests of one size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BucketKey {
    /// The customer.
    pub customer: CustomerId,
    /// The plan under which the requests came.
    pub plan: PlanId,
    /// Units that each request takes.
    pub units: u32,
}

/// A holder's report on a bucket since its last one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usage {
    /// Requests admitted.
    pub allowed: u64,
    /// Requests refused.
    pub denied: u64,
    /// The time that the report covers.
    pub elapsed: Micros,
}

/// What a holder should do with a bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Assignment {
    /// Use a token bucket with one token per request. It starts full, unless the last assignment had the same
    /// capacity and interval: then that bucket is continued.
    Tokens {
        /// The most requests at once.
        capacity: u32,
        /// The time in which one token is added; `None`: none are added.
        interval: Option<Micros>,
        /// How long the assignment holds after its arrival.
        lifetime: Micros,
    },
    /// Refuse all requests.
    Deny {
        /// How long the assignment holds after its arrival.
        lifetime: Micros,
    },
    /// Delete the bucket.
    Abandon,
    /// No answer: the holder keeps its assignment until it expires.
    Keep,
}

/// Limits and times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerSettings {
    /// The lifetime of an assignment.
    pub lease: Micros,
    /// The longest time that an assignment or a report may be in transit. The owner of the connections must
    /// close those that are silent for longer.
    pub allowance: Micros,
    /// The most customers in the ledger.
    pub max_customers: usize,
    /// The most buckets of one holder.
    pub max_buckets: usize,
}

/// Why a report was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LedgerError {
    /// The plan does not exist.
    UnknownPlan(PlanId),
    /// The request size is zero, or larger than the largest request.
    InvalidUnits(u32),
    /// The holder has as many buckets as it may.
    TooManyBuckets(usize),
    /// The ledger has as many customers as it may.
    TooManyCustomers(usize),
}

impl fmt::Display for LedgerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LedgerError::UnknownPlan(plan) => write!(f, "plan number {} does not exist", plan.0),
            LedgerError::InvalidUnits(units) => {
                write!(f, "{units} units: expected 1 up to the largest request's units")
            }
            LedgerError::TooManyBuckets(most) => write!(f, "a proxy may have at most {most} buckets"),
            LedgerError::TooManyCustomers(most) => write!(f, "the ledger holds at most {most} customers"),
        }
    }
}
impl std::error::Error for LedgerError {}

/// An assignment that its holder may be using or may start to use.
#[derive(Debug, Clone, Copy)]
struct Outstanding {
    made: Micros,
    /// Units a second.
    rate: f64,
    /// The bucket's capacity in units, paid for when the assignment was made.
    tokens: f64,
    expires: Micros,
}

/// One holder's part of one customer's quota, for requests of one size.
#[derive(Debug)]
struct Slice {
    /// Oldest first.
    outstanding: Vec<Outstanding>,
    /// Units paid and units reported as used, both in total.
    paid: f64,
    used: f64,
    /// Past values of `paid` with their times, oldest first.
    marks: Vec<(Micros, f64)>,
    /// Average demand in units a second; `None` until a report covered some time.
    demand: Option<f64>,
    /// When a report last contained requests.
    last_request: Micros,
    /// The last report contained refused requests.
    short: bool,
    /// When the newest assignment was last sent, unless something else was sent after it.
    sent: Option<Micros>,
    /// False after the stream ended or the bucket was abandoned.
    live: bool,
}

impl Slice {
    fn new(now: Micros) -> Slice {
        Slice {
            outstanding: Vec::new(),
            paid: 0.0,
            used: 0.0,
            marks: Vec::new(),
            demand: None,
            last_request: now,
            short: false,
            sent: None,
            live: true,
        }
    }
    /// The highest rate that the holder may be using.
    fn rate(&self) -> f64 {
        self.outstanding.iter().map(|o| o.rate).fold(0.0, f64::max)
    }
    /// The largest bucket that the holder may be using.
    fn capacity(&self) -> f64 {
        self.outstanding.iter().map(|o| o.tokens).fold(0.0, f64::max)
    }
    /// Tokens that the holder may have, or may get from assignments in transit.
    fn tokens(&self) -> f64 {
        self.outstanding.iter().map(|o| o.tokens).sum()
    }
    /// Drops assignments that can't be in use any more, given that a report has arrived. The connection is
    /// alive, so what was sent more than `allowance` ago has arrived; otherwise the connection would have
    /// been closed. Assignments with a successor that has arrived are not used any more. They count for
    /// another `allowance`, because the report may be that old and does not include what was used since.
    fn drop_replaced(&mut self, now: Micros, allowance: Micros) {
        let arrived = self.outstanding.iter().rposition(|o| o.made + allowance + allowance < now);
        self.outstanding.drain(..arrived.unwrap_or(0));
    }
    /// Sends the newest assignment again: the holder continues its bucket, and nothing more is paid.
    fn renew(&mut self, now: Micros, last: Outstanding, units: f64, set: &LedgerSettings) -> Assignment {
        self.outstanding.last_mut().into_iter().for_each(|o| o.expires = now + set.lease + set.allowance);
        self.sent = Some(now);
        token_bucket(last.rate, last.tokens, units, set.lease)
    }
    /// Units that the holder may still use, or may have used without a report.
    fn credit(&self) -> f64 {
        self.paid - self.used
    }
}

/// One customer's quota under one plan.
#[derive(Debug)]
struct Account {
    /// Units a second.
    rate: f64,
    /// Units.
    burst: f64,
    /// Units that no holder has been given.
    store: f64,
    /// The time of all figures.
    at: Micros,
    /// By holder and units of each request.
    slices: BTreeMap<(HolderId, u32), Slice>,
}

impl Account {
    /// Advances the account to this time: removes expired assignments, pays holders their rates, and fills
    /// the store with the rest.
    fn advance(&mut self, now: Micros) {
        while self.at < now {
            // Rates are constant until the next assignment expires.
            let expiry = self.slices.values().flat_map(|s| s.outstanding.iter().map(|o| o.expires)).min();
            let to = expiry.filter(|&e| e > self.at).map_or(now, |e| e.min(now));
            let span = (to - self.at).secs();
            let mut held = 0.0;
            for slice in self.slices.values_mut() {
                held += slice.rate();
                slice.paid += slice.rate() * span;
            }
            self.store += (self.rate - held).max(0.0) * span;
            self.at = to;
            for slice in self.slices.values_mut() {
                slice.outstanding.retain(|o| o.expires > to);
                if slice.outstanding.is_empty() {
                    // Credit that is left can't be used any more, but may have been used without a report.
                    // So it is not returned to the store.
                    slice.paid = slice.used;
                    slice.marks.clear();
                }
            }
        }
        self.slices.retain(|_, s| s.live || !s.outstanding.is_empty());
        self.cap();
    }

    /// Limits everything held to the burst by reducing the store. A holder's credit stays as it is, however
    /// large: the holder may have used it and report that later.
    fn cap(&mut self) {
        let credit: f64 = self.slices.values().map(Slice::credit).sum();
        self.store = self.store.min((self.burst - credit).max(0.0));
    }

    /// Returns to the store what a holder has provably not used. The holder may have used units after it
    /// wrote its report, so only what was paid at least `allowance` ago counts.
    fn refund(&mut self, key: (HolderId, u32), now: Micros, allowance: Micros) {
        let Some(slice) = self.slices.get_mut(&key) else { return };
        let paid_then = slice.marks.iter().rev().find(|m| m.0 + allowance <= now).map(|m| m.1);
        let unused = paid_then.map_or(0.0, |paid| paid - slice.used - slice.tokens()).max(0.0);
        slice.paid -= unused;
        slice.marks.iter_mut().for_each(|mark| mark.1 -= unused);
        self.store += unused;
        if slice.marks.last().is_none_or(|m| now >= m.0 + Micros(allowance.0 / 4)) {
            if slice.marks.len() == MAX_MARKS {
                slice.marks.remove(0);
            }
            slice.marks.push((now, slice.paid));
        }
    }

    /// The rate that a bucket should have by its demand, in units a second.
    fn wanted_rate(&self, key: (HolderId, u32)) -> f64 {
        let live: Vec<_> = self.slices.iter().filter(|(_, s)| s.live).collect();
        let n = live.len().max(1) as f64;
        // A holder whose demand is unknown counts as the mean of the others.
        let known: Vec<f64> = live.iter().filter_map(|(_, s)| s.demand).collect();
        let mean = if known.is_empty() { 1.0 } else { known.iter().sum::<f64>() / known.len() as f64 };
        let demand = |s: &Slice| s.demand.unwrap_or(mean).max(1e-6);
        let sum: f64 = live.iter().map(|(_, s)| demand(s)).sum();
        let own = self.slices.get(&key).map_or(mean, demand);
        self.rate * (1.0 - RESERVED_RATE) * (EVEN_FRACTION / n + (1.0 - EVEN_FRACTION) * own / sum.max(own))
    }

    /// Makes an assignment for a bucket, pays for it, and returns it.
    fn assign(&mut self, key: (HolderId, u32), now: Micros, set: &LedgerSettings) -> Assignment {
        let units = f64::from(key.1);
        let wanted_rate = self.wanted_rate(key);
        let others = || self.slices.iter().filter(|(k, _)| **k != key).map(|(_, s)| s);
        let held: f64 = others().map(Slice::rate).sum();
        // Buckets fill up again at their rates, so their capacities together must not exceed the burst.
        let room = (self.burst - others().map(Slice::capacity).sum::<f64>()).max(0.0);
        let Some(slice) = self.slices.get_mut(&key) else { return Assignment::Keep };
        let expires = now + set.lease + set.allowance;
        // Rates that others may be using can't be assigned, even if this holder should have more.
        let free = (self.rate - held).max(0.0);
        let mut rate = wanted_rate.min(free);
        if rate < MIN_RATE {
            rate = 0.0;
        }
        let wanted_tokens =
            (self.burst * wanted_rate / self.rate.max(1e-9) * (1.0 - RESERVED_BURST)).max(units);
        // The same figures continue a bucket only if the holder still has it when they arrive. If the
        // assignment has expired there or was replaced, the bucket would start full.
        let sent = slice.sent.take();
        let still_has_it = sent.is_some_and(|at| now + set.allowance <= at + set.lease);
        let last = slice.outstanding.last().copied();
        let last = last.filter(|last| still_has_it && last.rate <= free + 1e-9);
        // Additional tokens must leave some for others, which can't wait until this slice expires.
        let needs_tokens = slice.short && self.store >= units + RESERVED_BURST * self.burst;
        if let Some(last) = last {
            let too_low = slice.short && rate > last.rate * (1.0 + RATE_TOLERANCE_SHORT);
            let differs = too_low || (rate - last.rate).abs() > RATE_TOLERANCE * last.rate.max(MIN_RATE);
            if !(differs || needs_tokens) || slice.outstanding.len() >= MAX_OUTSTANDING {
                return slice.renew(now, last, units, set);
            }
        } else if slice.outstanding.len() >= MAX_OUTSTANDING {
            return Assignment::Deny { lifetime: set.lease };
        }
        let requests = (wanted_tokens.min(self.store).min(room) / units).floor();
        // If there are no tokens to give, a new assignment would only take away what the holder has.
        if requests < 1.0 {
            if let Some(last) = last {
                if rate < last.rate * (1.0 - RATE_TOLERANCE) {
                    slice.sent = sent;
                    return Assignment::Keep; // Other holders need a part of its rate, so let it expire.
                }
                return slice.renew(now, last, units, set);
            }
            return Assignment::Deny { lifetime: set.lease };
        }
        let tokens = requests * units;
        self.store -= tokens;
        slice.paid += tokens;
        slice.outstanding.push(Outstanding { made: now, rate, tokens, expires });
        slice.sent = Some(now);
        token_bucket(rate, tokens, units, set.lease)
    }
}

/// An assignment of `rate` and `tokens` in units, for requests that take `units` each.
fn token_bucket(rate: f64, tokens: f64, units: f64, lifetime: Micros) -> Assignment {
    let interval = (rate >= MIN_RATE).then(|| Micros((units / rate * 1e6).ceil() as u64));
    Assignment::Tokens { capacity: (tokens / units) as u32, interval, lifetime }
}

/// The quotas of all customers, and who holds which part of them.
#[derive(Debug)]
pub struct QuotaLedger {
    set: LedgerSettings,
    /// Rate and burst of each plan.
    plans: Vec<(f64, f64)>,
    most_units: f64,
    /// When the last assignment that this service may have made before it started has expired.
    settled: Micros,
    accounts: BTreeMap<(CustomerId, PlanId), Account>,
    /// The buckets of each holder.
    holders: BTreeMap<HolderId, BTreeSet<BucketKey>>,
}

impl QuotaLedger {
    /// An empty ledger. It assumes that an earlier process of this service made assignments until now, and
    /// gives nothing out until they must have expired.
    pub fn new(now: Micros, set: LedgerSettings, platform: &Settings) -> QuotaLedger {
        QuotaLedger {
            set,
            plans: platform.plans.iter().map(|p| (p.rate, p.burst)).collect(),
            most_units: platform.most_units,
            settled: now + set.lease + set.allowance,
            accounts: BTreeMap::new(),
            holders: BTreeMap::new(),
        }
    }

    /// The number of customers in the ledger.
    pub fn customers(&self) -> usize {
        self.accounts.len()
    }

    /// Processes a holder's report on a bucket and returns what the holder should do now. A first report,
    /// which covers no time, asks for a first assignment.
    pub fn report(
        &mut self,
        now: Micros,
        holder: HolderId,
        key: BucketKey,
        usage: Usage,
    ) -> Result<Assignment, LedgerError> {
        let &(rate, burst) = self.plans.get(key.plan.0).ok_or(LedgerError::UnknownPlan(key.plan))?;
        if key.units == 0 || f64::from(key.units) > self.most_units {
            return Err(LedgerError::InvalidUnits(key.units));
        }
        // A plan with a rate of zero is unlimited.
        if rate <= 0.0 {
            let interval = Some(Micros(1));
            return Ok(Assignment::Tokens { capacity: u32::MAX, interval, lifetime: self.set.lease });
        }
        if now < self.settled {
            // A refusal would take away an assignment that was made before the restart and is accounted for
            // anyway.
            return Ok(Assignment::Keep);
        }
        let name = (key.customer, key.plan);
        if !self.accounts.contains_key(&name) && self.accounts.len() >= self.set.max_customers {
            self.sweep(now);
            if self.accounts.len() >= self.set.max_customers {
                return Err(LedgerError::TooManyCustomers(self.set.max_customers));
            }
        }
        let settled = self.settled;
        let account = self.accounts.entry(name).or_insert_with(|| Account {
            rate,
            burst,
            // Assignments from before the restart may have used up the store.
            store: burst.min(rate * (now - settled).secs()),
            at: now,
            slices: BTreeMap::new(),
        });
        account.advance(now);
        let slice_key = (holder, key.units);
        // Also applies to a bucket that was abandoned and is requested again while its slice still exists.
        // A slice that is missing from its holder's buckets would outlive the stream.
        let buckets = self.holders.entry(holder).or_default();
        if !buckets.contains(&key) && buckets.len() >= self.set.max_buckets {
            return Err(LedgerError::TooManyBuckets(self.set.max_buckets));
        }
        buckets.insert(key);
        let slice = account.slices.entry(slice_key).or_insert_with(|| Slice::new(now));
        let (units, allowed) = (f64::from(key.units), usage.allowed as f64);
        // If a holder reports more than it was paid, the excess was still used: take it from the store.
        slice.used += allowed * units;
        let excess = (slice.used - slice.paid).max(0.0);
        slice.used -= excess;
        account.store -= excess;
        let requests = usage.allowed.saturating_add(usage.denied);
        if requests > 0 {
            slice.last_request = now;
        }
        if usage.elapsed.0 > 0 {
            let newest = requests as f64 * units / usage.elapsed.secs();
            let old = slice.demand.unwrap_or(newest);
            let weight = 1.0 - (-usage.elapsed.secs() / DEMAND_S).exp();
            slice.demand = Some(old + weight * (newest - old));
        }
        if now > slice.last_request + IDLE {
            // The holder deletes its bucket. If it asks again, a bucket with the same figures would start
            // full.
            (slice.live, slice.sent) = (false, None);
            self.holders.get_mut(&holder).into_iter().for_each(|buckets| {
                buckets.remove(&key);
            });
            return Ok(Assignment::Abandon);
        }
        (slice.live, slice.short) = (true, usage.denied > 0);
        slice.drop_replaced(now, self.set.allowance);
        account.refund(slice_key, now, self.set.allowance);
        account.cap();
        Ok(account.assign(slice_key, now, &self.set))
    }

    /// A holder's stream ended. Its assignments stay outstanding until they expire.
    pub fn holder_gone(&mut self, now: Micros, holder: HolderId) {
        for key in self.holders.remove(&holder).unwrap_or_default() {
            let Some(account) = self.accounts.get_mut(&(key.customer, key.plan)) else { continue };
            account.slices.get_mut(&(holder, key.units)).into_iter().for_each(|slice| slice.live = false);
            account.advance(now);
        }
    }

    /// Removes customers that have no slices and a full store: a new account would be the same.
    pub fn sweep(&mut self, now: Micros) {
        self.accounts.retain(|_, account| {
            account.advance(now);
            !account.slices.is_empty() || account.store < account.burst
        });
    }
}
