//! Shares of quotas that move between gateways while the counter is silent: what came in messages goes to the ledger, what
//! it gives goes into messages. Nothing of this happens where peers may not be told anything.

use crate::admission::{span, Admission, Customer, WINDOW};
use crate::api::*;
use crate::bucket::TokenBucket;
use crate::context::Context;
use starlinghill_ledger::shares::{by_flows, decode, spare, Given, Said, WHOLE};

/// Part of its quota that a customer is taken to use elsewhere before anything was heard of it, while the counter
/// does not say nothing altogether, and how many times what other gateways were seen to need is left to them.
const USE_UNKNOWN: f64 = 0.3;
const NEED_SPARE: f64 = 2.0;
/// What a new life waits before it goes by totals under a ceiling: the one before may have promised as much.
const NEW_LIFE: Micros = Micros(1_200_000);
/// Part of what the others take in that one gateway sends.
const BUDGET: f64 = 0.8;
/// The most customers that are kept in mind because others told of them.
const MOST_TOLD: usize = 20_000;

/// The gateways of a customer's set, without this one; none where this one is not of it.
fn others(cx: &Context, first: u32, spread: u32) -> impl Iterator<Item = u32> {
    let (all, me) = (cx.set.gateways.max(1), cx.set.me);
    let set = move || (0..spread.min(all)).map(move |i| (first % all + i) % all);
    let mine = set().any(|gateway| gateway == me);
    set().filter(move |gateway| mine && *gateway != me)
}

/// Sets what the bucket beyond the quota holds: a part of what the ceiling holds above the quota or, while all
/// gateways are bound by promises, of the whole ceiling.
fn set_beyond(c: &mut Customer, p: &Plan) {
    let part = (1.0 / c.spread + c.shares.moved(c.spread as u32)).max(0.0);
    let quota = if c.quiet > Micros(0) { (0.0, 0.0) } else { (p.rate, p.burst) };
    c.beyond.rate = (p.ceiling_rate - quota.0).max(0.0) * part;
    c.beyond.depth = (p.ceiling_burst - quota.1).max(0.0) * part;
}

/// Fills both buckets up to a moment at the rates that held until then. Guards against filling the time before a
/// share came, or after it went, at the rate of another. May hurt customers seldom asked for, if left out.
fn settle(c: &mut Customer, p: &Plan, at: Micros) {
    c.bucket.iter_mut().for_each(|bucket| bucket.fill(at));
    if c.quiet > Micros(0) && c.quiet <= at {
        c.beyond.fill(c.quiet);
        c.quiet = Micros(0);
        set_beyond(c, p);
    }
    c.beyond.fill(at);
}

impl Admission {
    /// A customer's local bucket, and the part of the quota that is this gateway's. What the other gateways
    /// were not seen to need can be had here. Guards against refusing customers who use little and come
    /// through one gateway for a while, where the counter is silent or can't bear all calls. May hurt in a
    /// silence in which several gateways see one ask more than it did before.
    pub(crate) fn local(&mut self, cx: &Context, customer: CustomerId) -> Option<(f64, &mut TokenBucket)> {
        let (now, most_units) = (cx.now, cx.set.most_units);
        let (left, silent) = (self.room(cx, customer), self.silent(cx, customer));
        let c = self.customers.get_mut(&customer)?;
        let p = &cx.set.plans[c.plan];
        let left = left.unwrap_or(p.burst).max(0.0);
        let unknown = if silent { 1.0 } else { USE_UNKNOWN };
        // Of one that comes through many gateways no store is followed, but its demand was heard of.
        let flows = c.store.flows().or_else(|| c.scattered.flows(c.asked.now(now)));
        let base = by_flows(flows, p.rate, c.spread, unknown, NEED_SPARE);
        let share = (base + c.shares.moved(c.spread as u32)).clamp(0.0, 1.0);
        // Guards against shares of less than one request, which would refuse everything: at least that much,
        // as far as it is left.
        let (level, depth) = ((left * share).max(most_units.min(left)), (p.burst * share).max(most_units));
        let rate = p.rate * share;
        let bucket = c.bucket.get_or_insert(TokenBucket { level, depth, rate, at: now });
        bucket.fill(now);
        (bucket.depth, bucket.rate) = (depth, rate);
        Some((share, bucket))
    }

    /// Guards the hard ceiling wherever the floor does not speak for what is sent on: unheard, by what a
    /// gateway believes was left over, or beyond the quota. Each gateway may send so only its part of what
    /// the ceiling holds above the quota; what goes by the floor stays within the quota, so the sum keeps the
    /// ceiling whatever single gateways believe. Where all gateways of the customer promised to go by no total
    /// for a while, nobody uses the quota's own rate, and their parts are of the whole ceiling. May hurt one
    /// that has all the traffic.
    pub(crate) fn beyond_take(&mut self, cx: &Context, id: CustomerId, plan: usize, units: f64) -> bool {
        let (now, p) = (cx.now, &cx.set.plans[plan]);
        let own = self.quiet_until;
        let Some(c) = self.customers.get_mut(&id).filter(|_| p.ceiling_rate > 0.0) else { return true };
        settle(c, p, now);
        let others = others(cx, c.first, c.spread as u32).map(|gateway| self.exchange.quiet(gateway)).min();
        let quiet = others.map_or(Micros(0), |others| others.min(own));
        c.quiet = if quiet > now { quiet } else { Micros(0) };
        set_beyond(c, p);
        c.beyond.take(now, units)
    }

    /// Until when this gateway, or an earlier life of it, may have promised to go by no total. Ceilings lean on it.
    pub(crate) fn bound_until(&self, cx: &Context) -> Micros {
        let young = cx.started.map_or(Micros(0), |at| at + NEW_LIFE);
        if cx.set.peers_per_s > 0.0 {
            self.quiet_until.max(young)
        } else {
            Micros(0)
        }
    }

    /// Before this moment others may have used what no total tells of.
    pub(crate) fn known_from(&self, cx: &Context) -> Micros {
        self.bound_until(cx).max(self.lost_at).max(cx.started.unwrap_or_default())
    }

    /// Brings a customer's shares to the present window, which lasts for another `rest`.
    pub(crate) fn roll_shares(&mut self, cx: &Context, id: CustomerId, window: u64, rest: Micros) {
        // One that starts while the counter is away may have given its share away in an earlier life.
        let ran = cx.started.is_some_and(|at| at + (WINDOW - rest) <= cx.now);
        let sure = ran || self.heard || cx.set.peers_per_s <= 0.0;
        let Some(c) = self.customers.get_mut(&id) else { return };
        let (begins, spread) = (!c.shares.is_of(window), c.spread as u32);
        if begins {
            // What had moved held until the edge, and is over since.
            let p = &cx.set.plans[c.plan];
            settle(c, p, cx.now - (WINDOW - rest));
            let moved = c.shares.moved(spread);
            c.bucket.iter_mut().for_each(|bucket| bucket.rate = (bucket.rate - p.rate * moved).max(0.0));
        }
        c.shares.roll(window, spread, sure);
        if begins {
            set_beyond(c, &cx.set.plans[c.plan]);
        }
    }

    /// A request was decided without the counter; where its share did not do, the others are told what is wanted.
    pub(crate) fn asked_here(&mut self, cx: &Context, a: &Arrival, went: bool) {
        let silent = self.silent(cx, a.customer);
        let c = self.customers.get_mut(&a.customer).filter(|_| silent && cx.set.peers_per_s > 0.0);
        let Some(c) = c else { return };
        if !a.resent {
            c.asked.add(cx.now, a.units);
        }
        if went {
            return;
        }
        let wants = c.asked.now(cx.now).max(0.01) as f32;
        for to in others(cx, c.first, c.spread as u32) {
            let given = c.shares.said(to).unwrap_or_default();
            self.exchange.say(to, said(cx, a.customer, c, wants, given));
        }
    }

    /// A message came from another gateway.
    pub(crate) fn on_peer(&mut self, cx: &mut Context, from: u32, message: &[u8]) {
        if cx.set.peers_per_s <= 0.0 || from >= cx.set.gateways {
            return;
        }
        let epoch = |customer| span(cx, CustomerId(customer), WINDOW).0;
        let Ok((life, quiet, entries)) = decode(message, life(cx), epoch) else { return };
        match self.exchange.life(from, life) {
            None => return,
            Some(true) => {}
            Some(false) => {}
        }
        self.exchange.promised(from, cx.now, quiet);
        for entry in entries {
            let (id, plan) = (CustomerId(entry.customer), usize::from(entry.plan));
            let (first, spread) = (u32::from(entry.first), u32::from(entry.spread));
            let rated = cx.set.plans.get(plan).is_some_and(|p| p.rate > 0.0);
            let ours = others(cx, first, spread).any(|gateway| gateway == from);
            let known = self.customers.contains_key(&id);
            if !rated || !ours || !(known || self.customers.len() < MOST_TOLD) {
                continue;
            }
            let c = self.customers.entry(id).or_default();
            if !known {
                (c.plan, c.spread, c.first, c.beyond.at) = (plan, f64::from(spread), first, cx.now);
            }
            c.used = cx.now;
            self.roll(cx, id);
            self.hear(cx, id, from, entry);
        }
    }

    fn hear(&mut self, cx: &Context, id: CustomerId, from: u32, entry: Said) {
        let silent = self.silent(cx, id);
        let Some(c) = self.customers.get_mut(&id) else { return };
        let p = &cx.set.plans[c.plan];
        settle(c, p, cx.now);
        let units = c.shares.hear(entry.epoch, from, entry.given);
        set_beyond(c, p);
        let (own, spread) = (c.asked.now(cx.now).max(0.0), c.spread as u32);
        // Going by totals, it has no need of its share, and others must not use it meanwhile.
        let Some((share, bucket)) = silent.then(|| self.local(cx, id)).flatten() else { return };
        bucket.level = (bucket.level + units).min(bucket.depth);
        if entry.wants <= 0.0 {
            return;
        }
        let part = spare(p.rate, share, own, f64::from(entry.wants), spread);
        let units = if part > 0.0 { bucket.level.max(0.0) * (part / share).min(1.0) } else { 0.0 };
        bucket.level -= units;
        let Some(c) = self.customers.get_mut(&id) else { return };
        let given = c.shares.give(from, (part * f64::from(WHOLE)) as u32, units);
        set_beyond(c, p);
        // Said also where nothing is given: the promise goes with it.
        self.exchange.say(from, said(cx, id, c, 0.0, given));
        self.local(cx, id); // From here on with what is left.
    }

    /// Sends what may be said now.
    pub(crate) fn tell(&mut self, cx: &mut Context) {
        if cx.set.peers_per_s <= 0.0 || self.exchange.is_idle() {
            return;
        }
        let senders = f64::from(cx.set.gateways.saturating_sub(1).max(1));
        let pause = Micros((senders / (BUDGET * cx.set.peers_per_s) * 1e6) as u64);
        let quiet = self.breaker.quiet();
        let due = self.exchange.due(cx.now, pause, life(cx), quiet);
        if !due.is_empty() && quiet > cx.now {
            self.quiet_until = self.quiet_until.max(quiet);
        }
        cx.out.extend(due.into_iter().map(|(to, message)| Action::Tell(to, message)));
    }
}

/// This gateway's life, by when it began, in tenths of a second: a start takes longer.
fn life(cx: &Context) -> u32 {
    (cx.started.unwrap_or_default().0 / 100_000) as u32
}

fn said(cx: &Context, id: CustomerId, c: &Customer, wants: f32, given: Given) -> Said {
    let (plan, spread, first) = (c.plan as u16, c.spread as u16, (c.first % cx.set.gateways.max(1)) as u16);
    Said { customer: id.0, epoch: span(cx, id, WINDOW).0, plan, spread, first, wants, given }
}
