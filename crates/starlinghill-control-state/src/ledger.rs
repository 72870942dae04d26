//! Slices of customers' quotas for proxies that count by themselves.
//!
//! Each customer's quota is a token bucket of a rate and a burst. A *holder* (one stream of one proxy) gets
//! *assignments*: a rate, some tokens at once, and a life. Nothing tells when an assignment arrives, and a proxy
//! that fell silent may go on using its last one until that lapses. So the ledger pays for each assignment when
//! it is made, as if it were used in full, and goes by this sum, which it keeps at the burst or below:
//!
//! ```text
//! held = store + sum over holders (paid - used)
//! ```
//!
//! `store` is what nobody was given, and fills with the part of the rate that nobody holds; `paid` grows by the
//! tokens of each new assignment and by the largest rate among those that may be in use; `used` is what the
//! holder reported. One may be in use until it lapses, or until a report shows that the one after it has arrived.
//! All holders together can therefore never pass what a bucket of this rate and burst lets pass, in any interval,
//! whatever is lost, late, doubled or restarted. What a holder was seen not to use beyond the tokens it may still
//! have goes back to the store.
//!
//! Times are this process's alone. A proxy's clock matters in nothing but how fast it runs.

use starlinghill_decision::api::{CustomerId, Micros, PlanId, Settings};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Part of the rate that is not dealt out by demand but fills the store, for holders that come new and for
/// those whose demand runs ahead of their slice.
const RESERVE: f64 = 0.1;
/// Part of what is dealt out that goes in equal parts to all holders, so that none must begin from nothing.
const EVEN: f64 = 0.1;
/// Demand is smoothed over this many seconds. Reports come several times a second and hold few requests each.
const SMOOTH: f64 = 1.0;
/// A holder's slice is dealt anew where it is off by more than this part; each change costs tokens in flight.
const OFF: f64 = 0.2;
/// The same for one that turns requests away and should have more.
const OFF_SHORT: f64 = 0.03;
/// Part of the burst that is kept for holders that come new or whose slice must shrink.
const KEPT: f64 = 0.25;
/// A bucket in which nothing was asked for so long is given up.
const IDLE: Micros = Micros(60_000_000);
/// The most assignments of one bucket that may be in doubt at a time; further ones wait until one lapses.
const MOST_IN_DOUBT: usize = 32;
/// Moments at which what was paid is remembered, to set it against reports that were long on the way.
const MOST_MARKS: usize = 16;
/// Rates below this are none.
const LEAST_RATE: f64 = 1e-3;

/// One stream of one proxy. Two proxies of one name are two holders, and so is a proxy that reconnects, until
/// what it had before has lapsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(pub u64);

/// What a proxy counts together: a customer's requests of one size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BucketKey {
    /// The customer.
    pub customer: CustomerId,
    /// The plan under which it came.
    pub plan: PlanId,
    /// Units that each request takes, a whole number.
    pub units: u32,
}

/// What a holder saw of a bucket since its last report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usage {
    /// Requests let in.
    pub allowed: u64,
    /// Requests turned away.
    pub denied: u64,
    /// The time that the report covers.
    pub elapsed: Micros,
}

/// What a holder is to do with a bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Assignment {
    /// A token bucket that begins full, unless the one before had the same figures: then it goes on as it is.
    Tokens {
        /// The most requests at once.
        capacity: u32,
        /// Microseconds until one more; `None`: there come none.
        interval: Option<Micros>,
        /// The assignment's life, from its arrival on.
        lifetime: Micros,
    },
    /// Turn all away for so long.
    Deny {
        /// The assignment's life.
        lifetime: Micros,
    },
    /// Forget the bucket.
    Abandon,
    /// Nothing is said: what the holder has goes on until it lapses.
    Keep,
}

/// Bounds and times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerSettings {
    /// The life of an assignment.
    pub lease: Micros,
    /// The longest that an assignment or a report may be on its way; connections that show no life for longer
    /// are to be cut by who owns them.
    pub allowance: Micros,
    /// The most customers kept in mind.
    pub max_customers: usize,
    /// The most buckets of one holder.
    pub max_buckets: usize,
}

/// Why a report was not taken in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LedgerError {
    /// The plan does not exist.
    UnknownPlan(PlanId),
    /// Units of none, or more than any request has.
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
                write!(f, "{units} units: expected 1 to the most of any request")
            }
            LedgerError::TooManyBuckets(most) => write!(f, "a proxy may have {most} buckets and no more"),
            LedgerError::TooManyCustomers(most) => write!(f, "{most} customers are in mind, which is all"),
        }
    }
}
impl std::error::Error for LedgerError {}

/// An assignment that its holder may still be using, or may yet begin to use.
#[derive(Debug, Clone, Copy)]
struct Out {
    made: Micros,
    rate: f64,
    tokens: f64,
    lapses: Micros,
}

/// One holder's side of one bucket.
#[derive(Debug)]
struct Slice {
    out: Vec<Out>,
    paid: f64,
    used: f64,
    /// What was paid by when, oldest first.
    marks: Vec<(Micros, f64)>,
    /// Units a second that were asked for, smoothed; `None` until a report covered some time.
    demand: Option<f64>,
    /// The last report that asked for anything.
    asked: Micros,
    /// The last report told of requests turned away.
    short: bool,
    /// When the last of `out` was told last, if nothing else was told since.
    told: Option<Micros>,
    /// Cleared when the stream ended.
    live: bool,
}

impl Slice {
    fn new(now: Micros) -> Slice {
        Slice {
            out: Vec::new(),
            paid: 0.0,
            used: 0.0,
            marks: Vec::new(),
            demand: None,
            asked: now,
            short: false,
            told: None,
            live: true,
        }
    }
    /// The largest rate that the holder may be using.
    fn rate(&self) -> f64 {
        self.out.iter().map(|o| o.rate).fold(0.0, f64::max)
    }
    /// The largest bucket that the holder may be using.
    fn most(&self) -> f64 {
        self.out.iter().map(|o| o.tokens).fold(0.0, f64::max)
    }
    /// Tokens that the holder may have, or get from what is on its way.
    fn tokens(&self) -> f64 {
        self.out.iter().map(|o| o.tokens).sum()
    }
    /// A report has come, so the connection lives: what was written to it more than the allowance ago has arrived,
    /// or the connection would have been cut. Assignments that others have replaced are past using; they count
    /// for another allowance, as the report may be as old, and what was used since is not in it.
    fn delivered(&mut self, now: Micros, allowance: Micros) {
        let sure = self.out.iter().rposition(|o| o.made + allowance + allowance < now);
        self.out.drain(..sure.unwrap_or(0));
    }
    /// Tells the last assignment again: the holder's bucket goes on as it is, and nothing new is paid for.
    fn renew(&mut self, now: Micros, last: Out, units: f64, set: &LedgerSettings) -> Assignment {
        self.out.last_mut().into_iter().for_each(|out| out.lapses = now + set.lease + set.allowance);
        self.told = Some(now);
        told(last.rate, last.tokens, units, set.lease)
    }
    fn credit(&self) -> f64 {
        self.paid - self.used
    }
}

/// One customer under one plan.
#[derive(Debug)]
struct Account {
    rate: f64,
    burst: f64,
    store: f64,
    at: Micros,
    slices: BTreeMap<(HolderId, u32), Slice>,
}

impl Account {
    /// Brings the account to this moment: what lapsed is gone, what is held is paid for, the rest fills the
    /// store.
    fn roll(&mut self, now: Micros) {
        while self.at < now {
            // Rates hold until the next lapse.
            let lapse = self.slices.values().flat_map(|s| s.out.iter().map(|o| o.lapses)).min();
            let to = lapse.filter(|&l| l > self.at).map_or(now, |l| l.min(now));
            let span = (to - self.at).secs();
            let mut held = 0.0;
            for slice in self.slices.values_mut() {
                held += slice.rate();
                slice.paid += slice.rate() * span;
            }
            self.store += (self.rate - held).max(0.0) * span;
            self.at = to;
            for slice in self.slices.values_mut() {
                slice.out.retain(|o| o.lapses > to);
                if slice.out.is_empty() {
                    // Whatever it did not use is past using: it can't be told from what it used unreported.
                    slice.paid = slice.used;
                    slice.marks.clear();
                }
            }
        }
        self.slices.retain(|_, s| s.live || !s.out.is_empty());
        self.cap();
    }

    /// Keeps all that is held at the burst: what runs over was not used in time, and the store gives way. What a
    /// holder was paid stays, however much it seems: it may have used it, and report that later.
    fn cap(&mut self) {
        let credit: f64 = self.slices.values().map(Slice::credit).sum();
        self.store = self.store.min((self.burst - credit).max(0.0));
    }

    /// Gives back what a holder was seen not to use. Guards against giving back what it used after its report
    /// was written: what was paid only since then stays out of it.
    fn refund(&mut self, key: (HolderId, u32), now: Micros, allowance: Micros) {
        let Some(slice) = self.slices.get_mut(&key) else { return };
        let old = slice.marks.iter().rev().find(|m| m.0 + allowance <= now).map(|m| m.1);
        let spare = old.map_or(0.0, |paid| paid - slice.used - slice.tokens()).max(0.0);
        slice.paid -= spare;
        slice.marks.iter_mut().for_each(|mark| mark.1 -= spare);
        self.store += spare;
        if slice.marks.last().is_none_or(|m| now >= m.0 + Micros(allowance.0 / 4)) {
            if slice.marks.len() == MOST_MARKS {
                slice.marks.remove(0);
            }
            slice.marks.push((now, slice.paid));
        }
    }

    /// The rate that a bucket should have, by demand.
    fn wanted(&self, key: (HolderId, u32)) -> f64 {
        let live: Vec<_> = self.slices.iter().filter(|(_, s)| s.live).collect();
        let n = live.len().max(1) as f64;
        // One that was not heard of yet counts as the mean of the others.
        let known: Vec<f64> = live.iter().filter_map(|(_, s)| s.demand).collect();
        let mean = if known.is_empty() { 1.0 } else { known.iter().sum::<f64>() / known.len() as f64 };
        let demand = |s: &Slice| s.demand.unwrap_or(mean).max(1e-6);
        let sum: f64 = live.iter().map(|(_, s)| demand(s)).sum();
        let own = self.slices.get(&key).map_or(mean, demand);
        self.rate * (1.0 - RESERVE) * (EVEN / n + (1.0 - EVEN) * own / sum.max(own))
    }

    /// Makes an assignment for a bucket, pays for it, and returns it.
    fn assign(&mut self, key: (HolderId, u32), now: Micros, set: &LedgerSettings) -> Assignment {
        let units = f64::from(key.1);
        let wanted = self.wanted(key);
        let others = || self.slices.iter().filter(|(k, _)| **k != key).map(|(_, s)| s);
        let held: f64 = others().map(Slice::rate).sum();
        // Buckets fill up again by their rates: all of them full at once must not hold more than the burst.
        let room = (self.burst - others().map(Slice::most).sum::<f64>()).max(0.0);
        let Some(slice) = self.slices.get_mut(&key) else { return Assignment::Keep };
        let lapses = now + set.lease + set.allowance;
        // What others may be using is not there to be given, whatever this one should have.
        let free = (self.rate - held).max(0.0);
        let mut rate = wanted.min(free);
        if rate < LEAST_RATE {
            rate = 0.0;
        }
        let tokens_wanted = (self.burst * wanted / self.rate.max(1e-9) * (1.0 - KEPT)).max(units);
        // The same figures go on as they are only if the holder still has them when they arrive; one that lapsed
        // there, or that was taken away, would begin full.
        let said = slice.told.take();
        let has_it = said.is_some_and(|at| now + set.allowance <= at + set.lease);
        let last = slice.out.last().copied().filter(|last| has_it && last.rate <= free + 1e-9);
        // What tops a holder up must leave something for others, who can't wait for its slice to lapse.
        let starved = slice.short && self.store >= units + KEPT * self.burst;
        if let Some(last) = last {
            let short = slice.short && rate > last.rate * (1.0 + OFF_SHORT);
            let off = short || (rate - last.rate).abs() > OFF * last.rate.max(LEAST_RATE);
            if !(off || starved) || slice.out.len() >= MOST_IN_DOUBT {
                return slice.renew(now, last, units, set);
            }
        } else if slice.out.len() >= MOST_IN_DOUBT {
            return Assignment::Deny { lifetime: set.lease };
        }
        let most = (tokens_wanted.min(self.store).min(room) / units).floor();
        // Guards against a change that would take tokens away for nothing: without any to give, what the
        // holder has goes on.
        if most < 1.0 {
            if let Some(last) = last {
                if rate < last.rate * (1.0 - OFF) {
                    slice.told = said;
                    return Assignment::Keep; // Others are short of what it has too much: it lapses.
                }
                return slice.renew(now, last, units, set);
            }
            return Assignment::Deny { lifetime: set.lease };
        }
        let tokens = most * units;
        self.store -= tokens;
        slice.paid += tokens;
        slice.out.push(Out { made: now, rate, tokens, lapses });
        slice.told = Some(now);
        told(rate, tokens, units, set.lease)
    }
}

fn told(rate: f64, tokens: f64, units: f64, life: Micros) -> Assignment {
    let interval = (rate >= LEAST_RATE).then(|| Micros((units / rate * 1e6).ceil() as u64));
    Assignment::Tokens { capacity: (tokens / units) as u32, interval, lifetime: life }
}

/// All accounts.
#[derive(Debug)]
pub struct QuotaLedger {
    set: LedgerSettings,
    plans: Vec<(f64, f64)>,
    most_units: f64,
    /// From then on nothing that an earlier life of this service gave out can still be in use.
    settled: Micros,
    accounts: BTreeMap<(CustomerId, PlanId), Account>,
    /// The buckets of each holder.
    holders: BTreeMap<HolderId, BTreeSet<BucketKey>>,
}

impl QuotaLedger {
    /// A ledger that knows nothing. What an earlier one gave out counts as out until all of it must have lapsed.
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

    /// How many customers are kept in mind.
    pub fn customers(&self) -> usize {
        self.accounts.len()
    }

    /// Takes a report in and says what the holder is to do from now on. A first report, which covers no time,
    /// asks for a first assignment.
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
        // A plan without a quota has none to hold.
        if rate <= 0.0 {
            let interval = Some(Micros(1));
            return Ok(Assignment::Tokens { capacity: u32::MAX, interval, lifetime: self.set.lease });
        }
        if now < self.settled {
            // To deny would take away what an earlier life of this service gave, which counts as out anyway.
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
            // What was given out before the start may have emptied it.
            store: burst.min(rate * (now - settled).secs()),
            at: now,
            slices: BTreeMap::new(),
        });
        account.roll(now);
        let at = (holder, key.units);
        // Also one that was given up and is asked for again while its slice is still out: what is not among its
        // holder's buckets would outlive the stream.
        let buckets = self.holders.entry(holder).or_default();
        if !buckets.contains(&key) && buckets.len() >= self.set.max_buckets {
            return Err(LedgerError::TooManyBuckets(self.set.max_buckets));
        }
        buckets.insert(key);
        let slice = account.slices.entry(at).or_insert_with(|| Slice::new(now));
        let (units, allowed) = (f64::from(key.units), usage.allowed as f64);
        // A holder that reports more than it ever had has spent it all the same: the debt is the store's.
        slice.used += allowed * units;
        let beyond = (slice.used - slice.paid).max(0.0);
        slice.used -= beyond;
        account.store -= beyond;
        let all = usage.allowed.saturating_add(usage.denied);
        if all > 0 {
            slice.asked = now;
        }
        if usage.elapsed.0 > 0 {
            let newest = all as f64 * units / usage.elapsed.secs();
            let old = slice.demand.unwrap_or(newest);
            let weight = 1.0 - (-usage.elapsed.secs() / SMOOTH).exp();
            slice.demand = Some(old + weight * (newest - old));
        }
        if now > slice.asked + IDLE {
            // The holder forgets its bucket: the same figures would begin full when it asks again.
            (slice.live, slice.told) = (false, None);
            self.holders.get_mut(&holder).into_iter().for_each(|buckets| {
                buckets.remove(&key);
            });
            return Ok(Assignment::Abandon);
        }
        (slice.live, slice.short) = (true, usage.denied > 0);
        slice.delivered(now, self.set.allowance);
        account.refund(at, now, self.set.allowance);
        account.cap();
        Ok(account.assign(at, now, &self.set))
    }

    /// A holder's stream ended. What it has stays out until it lapses.
    pub fn holder_gone(&mut self, now: Micros, holder: HolderId) {
        for key in self.holders.remove(&holder).unwrap_or_default() {
            let Some(account) = self.accounts.get_mut(&(key.customer, key.plan)) else { continue };
            account.slices.get_mut(&(holder, key.units)).into_iter().for_each(|slice| slice.live = false);
            account.roll(now);
        }
    }

    /// Forgets customers of whom nothing is out and whose store is full: a new account would be the same.
    pub fn sweep(&mut self, now: Micros) {
        self.accounts.retain(|_, account| {
            account.roll(now);
            !account.slices.is_empty() || account.store < account.burst
        });
    }
}
