//! The list of backends as discovery told it, and as it stands under a book of orders.

use crate::book::OrderBook;
use starlinghill_settings::members::{Member, MemberList, Phase};
use std::collections::BTreeMap;

/// Every backend that discovery's list holds, as told last.
#[derive(Debug, Default)]
pub struct DiscoveredList {
    told: BTreeMap<String, Member>,
}

impl DiscoveredList {
    /// Takes in what discovery told, whole or changes, and returns it as it stands under the book.
    pub fn apply(&mut self, list: MemberList, book: &OrderBook) -> MemberList {
        if list.complete {
            self.told.clear();
        }
        for member in &list.members {
            if member.phase == Phase::Gone {
                self.told.remove(&member.id);
            } else {
                self.told.insert(member.id.clone(), member.clone());
            }
        }
        MemberList { members: list.members.into_iter().map(|m| under(book, m)).collect(), ..list }
    }

    /// What the list says of these backends now, as changes, after orders for them changed.
    pub fn changes_for(&self, ids: &[String], book: &OrderBook) -> MemberList {
        let members =
            ids.iter().filter_map(|id| self.told.get(id)).cloned().map(|m| under(book, m)).collect();
        MemberList { revision: 0, complete: false, members }
    }

    /// The list holds it.
    pub fn contains(&self, id: &str) -> bool {
        self.told.contains_key(id)
    }
}

/// A backend that is out drains, whatever the list says. One that was called back counts as started then: staff restart
/// what they take out, and the list may tell so late. Guards against sending a cold one all that a warm one bears.
fn under(book: &OrderBook, member: Member) -> Member {
    if member.phase == Phase::Ready && book.is_out(&member.id) {
        return Member { phase: Phase::Draining, ..member };
    }
    let back = book.called_back(&member.id).map_or(0, |at| at.0 / 1_000);
    Member { up_since_ms: member.up_since_ms.max(back), ..member }
}
