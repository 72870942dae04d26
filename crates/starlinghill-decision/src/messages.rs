//! Messages between gateways, by which shares of quotas move while the counter is silent: what came in them
//! goes to the ledger, what it gives goes into messages. Nothing of this happens where peers may not be
//! told anything. Nothing here decides about a request.

use crate::admission::Admission;
use crate::api::*;
use crate::context::Context;
use crate::customer::{others, set_beyond, settle, span, Customer, WINDOW};
use starlinghill_rate_limit::shares::{decode, spare, Given, Said, WHOLE};

/// Part of what the others take in that one gateway sends.
const BUDGET: f64 = 0.8;
/// The most customers that are kept in mind because others told of them.
const MOST_TOLD: usize = 20_000;

impl Admission {
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

    /// A request was decided without the counter; where its share did not do, the others are told what is
    /// wanted.
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
