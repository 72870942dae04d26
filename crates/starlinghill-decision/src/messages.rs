//! Messages between gateways, which move shares of quotas while the counter is silent. Received shares go to
//! `Shares`, given ones into messages. Where gateways may not send messages (`Settings::peers_per_s` is 0),
//! nothing happens here. Nothing here decides about a request.

use crate::admission::Admission;
use crate::api::*;
use crate::context::Context;
use crate::customer::{others, set_beyond, settle, span, Customer, WINDOW};
use starlinghill_rate_limit::shares::{decode, spare_share, MessageEntry, Transfer, ALL_PARTS};

/// Fraction of the messages that the other gateways accept that this gateway sends.
const SEND_SHARE: f64 = 0.8;
/// The most customers kept only because other gateways mentioned them.
const MAX_CUSTOMERS: usize = 20_000;

impl Admission {
    /// Advances a customer's shares to the present window, which ends after `rest`.
    pub(crate) fn advance_shares(&mut self, cx: &Context, id: CustomerId, window: u64, rest: Micros) {
        // A process that starts while the counter is silent may have given its share away before its restart.
        let ran_all_window = cx.started.is_some_and(|at| at + (WINDOW - rest) <= cx.now);
        let nothing_given = ran_all_window || self.counter_answered || cx.settings.peers_per_s <= 0.0;
        let Some(c) = self.customers.get_mut(&id) else { return };
        let (window_begins, spread) = (!c.shares.is_in(window), c.spread as u32);
        if window_begins {
            // Shares that moved were valid until the last window ended.
            let p = &cx.settings.plans[c.plan];
            settle(c, p, cx.now - (WINDOW - rest));
            let moved = c.shares.moved(spread);
            c.bucket.iter_mut().for_each(|bucket| bucket.rate = (bucket.rate - p.rate * moved).max(0.0));
        }
        c.shares.begin_epoch(window, spread, nothing_given);
        if window_begins {
            set_beyond(c, &cx.settings.plans[c.plan]);
        }
    }

    /// Records a request that was decided without the counter. If its share did not suffice, asks the other
    /// gateways for theirs.
    pub(crate) fn report_demand(&mut self, cx: &Context, a: &Arrival, sent: bool) {
        let silent = self.counter_silent(cx, a.customer);
        let c = self.customers.get_mut(&a.customer).filter(|_| silent && cx.settings.peers_per_s > 0.0);
        let Some(c) = c else { return };
        if !a.resent {
            c.local_demand.add(cx.now, a.units);
        }
        if sent {
            return;
        }
        let wanted_rate = c.local_demand.now(cx.now).max(0.01) as f32;
        for to in others(cx, c.first, c.spread as u32) {
            let given = c.shares.given_to(to).unwrap_or_default();
            self.exchange.enqueue(to, message_entry(cx, a.customer, c, wanted_rate, given));
        }
    }

    /// Handles a message from another gateway.
    pub(crate) fn on_peer(&mut self, cx: &mut Context, from: u32, message: &[u8]) {
        if cx.settings.peers_per_s <= 0.0 || from >= cx.settings.gateways {
            return;
        }
        let epoch = |customer| span(cx, CustomerId(customer), WINDOW).0;
        let Ok((life, quiet, entries)) = decode(message, life(cx), epoch) else { return };
        match self.exchange.update_incarnation(from, life) {
            None => return,
            Some(true) => {}
            Some(false) => {}
        }
        self.exchange.set_quiet(from, cx.now, quiet);
        for entry in entries {
            let (id, plan) = (CustomerId(entry.customer), usize::from(entry.plan));
            let (first, spread) = (u32::from(entry.first), u32::from(entry.spread));
            let has_quota = cx.settings.plans.get(plan).is_some_and(|p| p.rate > 0.0);
            let shared = others(cx, first, spread).any(|gateway| gateway == from);
            let known = self.customers.contains_key(&id);
            if !has_quota || !shared || !(known || self.customers.len() < MAX_CUSTOMERS) {
                continue;
            }
            let c = self.customers.entry(id).or_default();
            if !known {
                (c.plan, c.spread, c.first, c.beyond_quota.at) = (plan, f64::from(spread), first, cx.now);
            }
            c.last_used = cx.now;
            self.advance_window(cx, id);
            self.apply_message(cx, id, from, entry);
        }
    }

    /// Applies one entry of a message: adds what was given, and gives what can be spared if more is wanted.
    fn apply_message(&mut self, cx: &Context, id: CustomerId, from: u32, entry: MessageEntry) {
        let silent = self.counter_silent(cx, id);
        let Some(c) = self.customers.get_mut(&id) else { return };
        let p = &cx.settings.plans[c.plan];
        settle(c, p, cx.now);
        let units = c.shares.receive(entry.epoch, from, entry.given);
        set_beyond(c, p);
        let (own, spread) = (c.local_demand.now(cx.now).max(0.0), c.spread as u32);
        // While it decides by totals it does not need its share, and other gateways must not use it then.
        let Some((share, bucket)) = silent.then(|| self.local_bucket(cx, id)).flatten() else { return };
        bucket.level = (bucket.level + units).min(bucket.depth);
        if entry.wanted_rate <= 0.0 {
            return;
        }
        let part = spare_share(p.rate, share, own, f64::from(entry.wanted_rate), spread);
        let units = if part > 0.0 { bucket.level.max(0.0) * (part / share).min(1.0) } else { 0.0 };
        bucket.level -= units;
        let Some(c) = self.customers.get_mut(&id) else { return };
        let given = c.shares.give(from, (part * f64::from(ALL_PARTS)) as u32, units);
        set_beyond(c, p);
        // Also sent if nothing is given, as the message carries the promise about totals.
        self.exchange.enqueue(from, message_entry(cx, id, c, 0.0, given));
        self.local_bucket(cx, id); // Adapts the bucket to the share that is left.
    }

    /// Sends the messages that may be sent now.
    pub(crate) fn send_messages(&mut self, cx: &mut Context) {
        if cx.settings.peers_per_s <= 0.0 || self.exchange.is_idle() {
            return;
        }
        let senders = f64::from(cx.settings.gateways.saturating_sub(1).max(1));
        let pause = Micros((senders / (SEND_SHARE * cx.settings.peers_per_s) * 1e6) as u64);
        let quiet = self.breaker.cooldown_end();
        let due = self.exchange.take_due(cx.now, pause, life(cx), quiet);
        if !due.is_empty() && quiet > cx.now {
            self.no_totals_until = self.no_totals_until.max(quiet);
        }
        cx.actions.extend(due.into_iter().map(|(to, message)| Action::Tell(to, message)));
    }
}

/// Identifies this process of the gateway by its start time, in tenths of a second: a restart takes longer.
fn life(cx: &Context) -> u32 {
    (cx.started.unwrap_or_default().0 / 100_000) as u32
}

/// What this gateway tells another about a customer; `wanted_rate` is in units a second.
fn message_entry(
    cx: &Context,
    id: CustomerId,
    c: &Customer,
    wanted_rate: f32,
    given: Transfer,
) -> MessageEntry {
    let (plan, spread, first) =
        (c.plan as u16, c.spread as u16, (c.first % cx.settings.gateways.max(1)) as u16);
    MessageEntry { customer: id.0, epoch: span(cx, id, WINDOW).0, plan, spread, first, wanted_rate, given }
}
