//! What a gateway used of tenants' stores without a word of the counter's, kept until the counter was told.
//!
//! A request whose draw is not answered in time is decided by the gateway itself. What becomes of that draw is known later:
//! the answer still comes, or it never does. Each unit that went on has to be taken from the store once, and each unit that
//! the store gave for nothing has to go back:
//!
//! | the draw | the request went on by itself | it did not |
//! | --- | --- | --- |
//! | answered late, the store gave the units | charged, then given back | given back |
//! | answered late, it did not | charged | nothing |
//! | not taken in, or never answered | charged | nothing |
//!
//! Where it is not known whether the counter took something in, it is told again: a tenant may get less for a moment, never
//! more.
//!
//! While a gateway tells no counter anything its share of the rate is kept free for it, so that much of what it used needs
//! not be told.

use crate::MAX_BUCKETS;
use std::collections::HashMap;
use std::time::Duration;

/// How a draw ended at the counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrawOutcome {
    /// It took in the draw, and the store held what was wanted.
    Granted,
    /// It took in the draw, and the store did not hold that.
    Refused,
    /// It took nothing in, or nobody knows.
    Unknown,
}

/// What a gateway goes by of one store.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Debt {
    units: f64,
    /// The rate that this gateway may use of it while nobody is told anything.
    own_rate: f64,
}

/// What is to be told, by stores.
#[derive(Debug, Default)]
pub struct UnreportedUsage {
    stores: HashMap<u64, Debt>,
}

impl UnreportedUsage {
    /// So many units of a store were used without a word of the counter's; fewer than none where some that it gave were not
    /// used. `own_rate` is this gateway's share of the rate.
    pub fn add(&mut self, name: u64, units: f64, own_rate: f64) {
        if self.stores.len() >= MAX_BUCKETS && !self.stores.contains_key(&name) {
            return;
        }
        let debt = self.stores.entry(name).or_default();
        debt.units += units;
        debt.own_rate = own_rate;
        if debt.units == 0.0 {
            self.stores.remove(&name);
        }
    }

    /// A draw that carried `owed` and wanted `units` has ended. `waited`: its request was decided by that.
    pub fn settle_draw(&mut self, name: u64, (owed, units): (f64, f64), end: DrawOutcome, waited: bool) {
        let own_rate = self.stores.get(&name).map(|debt| debt.own_rate).unwrap_or_default();
        match end {
            DrawOutcome::Granted if !waited => self.add(name, -units, own_rate),
            DrawOutcome::Unknown => self.add(name, owed, own_rate),
            DrawOutcome::Granted | DrawOutcome::Refused => {}
        }
    }

    /// No counter was told anything for so long: what this gateway's shares came to in that time is its own.
    pub fn deduct_own_share(&mut self, span: Duration) {
        self.stores.retain(|_, debt| {
            if debt.units > 0.0 {
                debt.units = (debt.units - debt.own_rate * span.as_secs_f64()).max(0.0);
            }
            debt.units != 0.0
        });
    }

    /// What goes along with a draw on that store.
    pub fn take(&mut self, name: u64) -> f64 {
        self.stores.remove(&name).map(|debt| debt.units).unwrap_or_default()
    }

    /// Of so many stores at most, what is to be told.
    pub fn take_up_to(&mut self, most: usize) -> Vec<(u64, f64)> {
        let names: Vec<u64> = self.stores.keys().copied().take(most).collect();
        names.into_iter().map(|name| (name, self.take(name))).collect()
    }

    /// Nothing is to be told.
    pub fn is_empty(&self) -> bool {
        self.stores.is_empty()
    }
}
