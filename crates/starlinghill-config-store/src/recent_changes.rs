//! What changed with the last ballots, so that whoever has the value of one of them is told only that.

use crate::wire::Value;
use starlinghill_config_model::Item;
use starlinghill_consensus::Ballot;
use std::collections::{BTreeMap, VecDeque};

/// The most ballots that are remembered: a registry asks again at once, and one that missed so many is told all.
const MOST: usize = 256;

struct Step {
    from: Ballot,
    to: Ballot,
    items: Vec<Item>,
}

/// The last changes of what was agreed on.
#[derive(Default)]
pub struct RecentChanges {
    steps: VecDeque<Step>,
    /// Items in all of them. No more than stand: to tell all costs no more then.
    items: usize,
}

impl RecentChanges {
    /// One value came after another.
    pub fn learn(&mut self, (from, old): (Ballot, &Value), (to, new): (Ballot, &Value)) {
        let name = |item: &Item| (item.kind, item.name.clone());
        let known: BTreeMap<_, &Item> = old.iter().map(|item| (name(item), item)).collect();
        let changed = new.iter().filter(|item| known.get(&name(item)) != Some(item));
        let items: Vec<Item> = changed.cloned().collect();
        self.items += items.len();
        self.steps.push_back(Step { from, to, items });
        while self.items > new.len() || self.steps.len() > MOST {
            let Some(oldest) = self.steps.pop_front() else { break };
            self.items -= oldest.items.len();
        }
    }

    /// What changed from one ballot to another; `None` where that is not remembered.
    pub fn between(&self, have: Ballot, now: Ballot) -> Option<Value> {
        let first = self.steps.iter().position(|step| step.from == have)?;
        let (mut items, mut reached) = (BTreeMap::new(), have);
        for step in self.steps.iter().skip(first).take_while(|step| step.to <= now) {
            reached = step.to;
            items.extend(step.items.iter().map(|item| ((item.kind, item.name.as_str()), item)));
        }
        (reached == now).then(|| items.into_values().cloned().collect())
    }

    /// Items that are held here.
    pub fn held(&self) -> usize {
        self.items
    }
}
