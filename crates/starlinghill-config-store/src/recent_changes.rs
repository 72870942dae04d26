//! The items that changed with the last ballots. A registry that has the value of one of these ballots gets only what
//! changed since, instead of all items.

use crate::wire::Value;
use starlinghill_config_model::Item;
use starlinghill_consensus::Ballot;
use std::collections::{BTreeMap, VecDeque};

/// How many ballots are kept at most. Registries poll without a pause, so one that has missed this many is rare, and gets
/// all items.
const MAX_BALLOTS: usize = 256;

/// The items that differ between two successive chosen values.
struct Step {
    from: Ballot,
    to: Ballot,
    items: Vec<Item>,
}

/// The latest changes of the chosen value, the oldest first.
#[derive(Default)]
pub struct RecentChanges {
    steps: VecDeque<Step>,
    /// The number of items in all steps. It is kept below the number of items in the value: beyond that, sending all items
    /// costs no more.
    items: usize,
}

impl RecentChanges {
    /// Records that a new value was learned after an old one.
    pub fn learn(&mut self, (from, old): (Ballot, &Value), (to, new): (Ballot, &Value)) {
        let key = |item: &Item| (item.kind, item.name.clone());
        let known: BTreeMap<_, &Item> = old.iter().map(|item| (key(item), item)).collect();
        let changed = new.iter().filter(|item| known.get(&key(item)) != Some(item));
        let items: Vec<Item> = changed.cloned().collect();
        self.items += items.len();
        self.steps.push_back(Step { from, to, items });
        while self.items > new.len() || self.steps.len() > MAX_BALLOTS {
            let Some(oldest) = self.steps.pop_front() else { break };
            self.items -= oldest.items.len();
        }
    }

    /// The items that changed from one ballot's value to another's; `None` if the steps between them are not kept.
    pub fn between(&self, have: Ballot, now: Ballot) -> Option<Value> {
        let first = self.steps.iter().position(|step| step.from == have)?;
        let (mut items, mut reached) = (BTreeMap::new(), have);
        for step in self.steps.iter().skip(first).take_while(|step| step.to <= now) {
            reached = step.to;
            items.extend(step.items.iter().map(|item| ((item.kind, item.name.as_str()), item)));
        }
        (reached == now).then(|| items.into_values().cloned().collect())
    }

    /// The number of items that are kept.
    pub fn item_count(&self) -> usize {
        self.items
    }
}
