//! Customers that come through many gateways. None of these sees enough of a customer to follow its store,
//! and all of them together ask more often than a counter answers: what is asked for is counted by samples,
//! and each gateway lets through the part of it that the quota bears (`starlinghill_rate_limit::demand`).
//!
//! A hard ceiling does not rest on samples. A part of it is split evenly over the customer's gateways; what
//! a gateway lacks it may take from the rest, of which so much may be taken in each short turn, by a count
//! of its own. Over any time the two together stay within the ceiling, in whatever order calls and gateways
//! come.

use crate::admission::{Admission, REPEAT_POWER};
use crate::api::*;
use crate::bucket::TokenBucket;
use crate::calls::{Asked, Call, Purpose};
use crate::context::Context;
use crate::customer::{demand_span, name_of, quota_of, split};
use starlinghill_estimate::MIN_SHARE;
use starlinghill_rate_limit::ceiling::Split;
use starlinghill_rate_limit::demand::SPAN;
use starlinghill_rate_limit::unknown_customers::Usual;

/// Gateways of a fleet in which customers are counted so. Not by a customer's own spread: what one counter
/// bears is shared by all.
const MANY: u32 = 16;
/// A total that was heard within this time will do, and one within the next as long as there is little to
/// tell: less than this gateway's part of what the quota gives in so many seconds. Guards against a few
/// busy customers, each seen by a few gateways, that take half of a counter's calls, while gateways that
/// know nothing of a customer can't ask. Longer hears of a spike too late.
const FRESH: Micros = Micros(700_000);
const STALE: Micros = Micros(2_000_000);
const WORTH_TELLING: f64 = 1.0;
/// Of what strangers' gateways let through beyond the quota (`counter`), the ones that do ask make up a part,
/// by letting through less than the quota's part (its power).
const MAKES_UP: i32 = 4;
/// Apart from the names of windows and places.
const DEMAND_NAME: u64 = 0x6465_6d61_6e64;
const TURN_NAME: u64 = 0x7475_726e;

impl Admission {
    /// What is to be asked first for a request.
    pub(crate) fn first_question(&self, cx: &Context, a: &Arrival) -> Purpose {
        match cx.set.gateways {
            _ if cx.set.plans[a.plan.0].rate <= 0.0 => Purpose::Open,
            // A counter that keeps the stores answers many draws with one word.
            MANY.. if !cx.set.counter_buckets => Purpose::Demand,
            _ => Purpose::Window,
        }
    }

    /// Counts a request: with the next call where one was made a moment ago, else by chance, as many times
    /// as it is rare.
    pub(crate) fn ask_demand(&mut self, cx: &mut Context, a: &Arrival) -> Asked {
        let (span, elapsed) = demand_span(cx, a.customer);
        // A client's repeat belongs to its first try, which was counted.
        let units = if a.resent { 0.0 } else { a.units };
        let Some(c) = self.customers.get_mut(&a.customer) else { return Asked::Silent };
        if c.scattered.uncounted.0 != span {
            c.scattered.uncounted = (span, 0.0);
        }
        let age = cx.now - c.scattered.heard;
        let enough = cx.set.plans[c.plan].rate / c.spread * WORTH_TELLING;
        if age < FRESH || age < STALE && c.scattered.uncounted.1 + units < enough {
            c.scattered.uncounted.1 += units;
            return Asked::Silent;
        }
        // Whatever it is worth: of what is cheap nearly all comes where nothing is known of its customer.
        let power = if a.resent { REPEAT_POWER } else { 1.0 };
        let chance = if self.breaker.opened.is_some() {
            1.0
        } else {
            self.asking.call_probability(power).max(MIN_SHARE)
        };
        if cx.rng.f64() >= chance || !self.may_call(cx, a.customer) {
            return Asked::Silent;
        }
        let uncounted =
            self.customers.get_mut(&a.customer).map(|c| std::mem::take(&mut c.scattered.uncounted.1));
        let amount = units / chance + uncounted.unwrap_or_default();
        let name = name_of(a.customer, DEMAND_NAME, span);
        let life = SPAN - elapsed + SPAN;
        self.call_for(cx, name, life, Call::new(cx.now, Purpose::Demand, a, span, amount));
        Asked::Called
    }

    /// Takes from the turn of the moment what this gateway's own part of the ceiling lacks, for this
    /// request and for those that are to be expected within the turn.
    pub(crate) fn ask_turn(&mut self, cx: &mut Context, a: &Arrival) -> Asked {
        let split = self.split(cx, a);
        let (turn, left) = split.turn_at(cx.now);
        let Some(c) = self.customers.get_mut(&a.customer) else { return Asked::Full };
        if c.scattered.turns.take(turn, a.units) {
            return Asked::Free;
        }
        let amount = split.amount(a.units, c.asked.now(cx.now), left);
        // Known to be spent: a call could only tell the same, and a counter has better things to do.
        if c.scattered.turns.is_spent(turn) || a.units > split.units || !self.may_call(cx, a.customer) {
            return Asked::Full;
        }
        let name = name_of(a.customer, TURN_NAME, turn);
        self.call_for(cx, name, split.turn + split.turn, Call::new(cx.now, Purpose::Turn, a, turn, amount));
        Asked::Called
    }

    /// Whether the quota bears a request: by what was heard of the demand, or by the local bucket while the
    /// counter is silent.
    pub(crate) fn demand_holds(&mut self, cx: &mut Context, a: &Arrival) -> bool {
        let pays = self.unheard_pays(cx, a.plan.0);
        let Some(c) = self.customers.get_mut(&a.customer) else { return false };
        // As the demand is counted: without repeats.
        c.asked.add(cx.now, if a.resent { 0.0 } else { a.units });
        if self.silent(cx, a.customer) {
            return pays && self.local_take(cx, a.customer, a.units);
        }
        let Some(c) = self.customers.get_mut(&a.customer) else { return false };
        // Most customers keep to their quota. One that comes again was refused by a gateway that knew more.
        let unknown = f64::from(u8::from(pays && !a.resent));
        let chance = c.scattered.demand.chance(quota_of(cx, c.plan), cx.now).unwrap_or(unknown);
        let heard_now = c.scattered.heard == cx.now;
        let makes_up = pays && heard_now && c.scattered.stranger;
        if heard_now && !a.resent {
            self.usual.resize(cx.set.plans.len(), Usual::default());
            self.usual[a.plan.0].heard(chance);
        }
        let chance = if makes_up { chance.powi(MAKES_UP) } else { chance };
        // One that was refused by chance must not have its way by asking again.
        cx.rng.f64() < if a.resent && chance < 1.0 { chance * chance } else { chance }
    }

    /// Whether it pays to let through a request of this plan of whose customer nothing is heard.
    fn unheard_pays(&self, cx: &Context, plan: usize) -> bool {
        let p = &cx.set.plans[plan];
        self.usual.get(plan).is_none_or(|usual| usual.pays(p.over_cost - p.over_worth))
    }

    /// Whether this gateway's own part of the ceiling bears a request; it is taken from it then.
    pub(crate) fn own_part_holds(&mut self, cx: &Context, a: &Arrival) -> bool {
        if cx.set.plans[a.plan.0].ceiling_rate <= 0.0 {
            return true;
        }
        let split = self.split(cx, a);
        let (all, me) = (cx.set.gateways.max(1), cx.set.me);
        // Guards the sum: parts are for the gateways of the set alone.
        let mine = (me + all - a.first % all) % all < a.spread;
        let started = cx.started.unwrap_or(cx.now);
        let Some(c) = self.customers.get_mut(&a.customer).filter(|_| mine) else { return false };
        let own = c.scattered.own_part.get_or_insert_with(|| {
            // What an earlier life of this gateway may have spent is not there yet.
            let level = (split.rate * (cx.now - started).secs()).min(split.depth);
            TokenBucket { level, depth: split.depth, rate: split.rate, at: cx.now }
        });
        (own.depth, own.rate) = (split.depth, split.rate);
        own.take(cx.now, a.units)
    }

    fn split(&self, cx: &Context, a: &Arrival) -> Split {
        split(&cx.set, a.plan.0, f64::from(a.spread.max(1)))
    }
}
