//! Workshop: a gauge says how much there is. Here it is the shared count of what the tenants have used: each gateway says
//! what it has added itself, as a sum that it keeps, and hears the sum of all.
//!
//! Sums instead of amounts: a word that is lost, or comes twice, changes nothing that the next one does not put right, and
//! a counter that begins with nothing is told by each gateway what it had added. What gateways had added that are gone is
//! known by what the others last heard in all.
//!
//! No I/O and no clock.

use bitcode::{Decode, Encode};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// The most names that are kept, and gateways for each. Guards memory.
pub const MOST_NAMES: usize = 100_000;
const MOST_GATEWAYS: usize = 4_096;
/// A counter that begins waits so long for the gateways that it knows of. Until then they decide by themselves.
pub const RECALL: Duration = Duration::from_millis(1_000);

/// What a gateway has added under a name.
#[derive(Debug, Clone, Copy, PartialEq, Encode, Decode)]
pub struct Sum {
    /// The name.
    pub name: u64,
    /// All that it has added itself.
    pub own: f64,
    /// What it last heard of all together.
    pub heard: f64,
    /// How much longer the name lives, in milliseconds.
    pub left_ms: u64,
}

#[derive(Debug, Default)]
struct Name {
    sums: HashMap<u64, f64>,
    /// What was heard of before, and none of those who told has added.
    missing: f64,
    /// The most that was heard in an earlier term.
    heard: f64,
    until: Duration,
}

impl Name {
    fn added(&self) -> f64 {
        self.sums.values().sum()
    }
}

/// The counter in one term.
#[derive(Debug)]
pub struct Gauge {
    /// Its term.
    pub term: u64,
    began: Duration,
    open: bool,
    names: HashMap<u64, Name>,
    awaited: BTreeSet<u64>,
    recalled: BTreeSet<u64>,
}

impl Gauge {
    /// A counter that knows nothing but the gateways that may have added to the one before it.
    pub fn begin(now: Duration, term: u64, gateways: impl IntoIterator<Item = u64>) -> Gauge {
        let awaited = gateways.into_iter().collect();
        let (names, recalled) = (HashMap::new(), BTreeSet::new());
        Gauge { term, began: now, open: false, names, awaited, recalled }
    }

    /// It answers.
    pub fn is_open(&self) -> bool {
        self.open
    }

    /// How many names it keeps.
    pub fn kept(&self) -> usize {
        self.names.len()
    }

    /// A gateway says what it has added in earlier terms.
    pub fn recall(&mut self, now: Duration, from: u64, sums: &[Sum]) {
        if self.recalled.len() >= MOST_GATEWAYS {
            return;
        }
        for sum in sums {
            let open = self.open;
            let Some(name) = self.name(now, sum.name, sum.left_ms) else { continue };
            name.heard = name.heard.max(sum.heard);
            // One that comes late accounts for some of what was missing.
            if open && name.sums.insert(from, sum.own).is_none() {
                name.missing = (name.missing - sum.own.max(0.0)).max(0.0);
            } else {
                name.sums.insert(from, sum.own);
            }
        }
        self.recalled.insert(from);
        self.tick(now);
    }

    /// Opens it once all have told, or were waited for; forgets names whose time is over.
    pub fn tick(&mut self, now: Duration) {
        self.names.retain(|_, name| now < name.until);
        if !self.open && (now >= self.began + RECALL || self.awaited.is_subset(&self.recalled)) {
            self.open = true;
            for name in self.names.values_mut() {
                name.missing = (name.heard - name.added()).max(0.0);
            }
        }
    }

    /// A gateway adds; it hears the totals, in the same order. `None`: the counter does not answer yet, or does not know
    /// this gateway: it has to say first what it added before.
    pub fn add(&mut self, now: Duration, from: u64, sums: &[Sum]) -> Option<Vec<f64>> {
        if !self.open || !self.recalled.contains(&from) {
            return None;
        }
        let total = |sum: &Sum| {
            let name = self.name(now, sum.name, sum.left_ms)?;
            name.sums.insert(from, sum.own);
            Some(name.added() + name.missing)
        };
        sums.iter().map(total).collect()
    }

    fn name(&mut self, now: Duration, name: u64, left_ms: u64) -> Option<&mut Name> {
        if self.names.len() >= MOST_NAMES && !self.names.contains_key(&name) {
            return None;
        }
        let until = now + Duration::from_millis(left_ms.min(120_000));
        let name = self.names.entry(name).or_default();
        name.until = name.until.max(until);
        Some(name)
    }
}

/// What a gateway keeps of its own.
#[derive(Debug, Default)]
pub struct Sums {
    names: HashMap<u64, (f64, f64, Duration)>,
    /// At how many names it looks for those whose time is over.
    swept: usize,
}

impl Sums {
    /// Adds, and returns what has to be said.
    pub fn add(&mut self, now: Duration, name: u64, amount: f64, life: Duration) -> Sum {
        if self.names.len() >= self.swept.max(1_024) {
            self.names.retain(|_, (_, _, until)| now < *until);
            self.swept = self.names.len() * 2;
        }
        let entry = self.names.entry(name).or_insert((0.0, 0.0, now + life));
        entry.0 += amount;
        let left_ms = entry.2.saturating_sub(now).as_millis() as u64;
        Sum { name, own: entry.0, heard: entry.1, left_ms }
    }

    /// A call that never reached the counter: what it carried was not added.
    pub fn take_back(&mut self, name: u64, amount: f64) {
        if let Some(entry) = self.names.get_mut(&name) {
            entry.0 -= amount;
        }
    }

    /// The total was heard.
    pub fn heard(&mut self, name: u64, total: f64) {
        if let Some(entry) = self.names.get_mut(&name) {
            entry.1 = total;
        }
    }

    /// All that still lives, for a counter that begins.
    pub fn all(&mut self, now: Duration) -> Vec<Sum> {
        self.names.retain(|_, (_, _, until)| now < *until);
        let sum = |(name, (own, heard, until)): (&u64, &(f64, f64, Duration))| {
            let left_ms = until.saturating_sub(now).as_millis() as u64;
            Sum { name: *name, own: *own, heard: *heard, left_ms }
        };
        self.names.iter().map(sum).collect()
    }
}
