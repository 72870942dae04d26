//! The list of backends from discovery, with operators' orders applied to it.

use crate::orders::MaintenanceOrders;
use starlinghill_settings::members::{Member, MemberList, Phase};
use std::collections::BTreeMap;

/// Every backend in discovery's list, without orders applied.
#[derive(Debug, Default)]
pub struct DiscoveredList {
    members: BTreeMap<String, Member>,
}

impl DiscoveredList {
    /// Stores a complete list or changes from discovery, and returns them with the orders applied.
    pub fn apply(&mut self, list: MemberList, orders: &MaintenanceOrders) -> MemberList {
        if list.complete {
            self.members.clear();
        }
        for member in &list.members {
            if member.phase == Phase::Gone {
                self.members.remove(&member.id);
            } else {
                self.members.insert(member.id.clone(), member.clone());
            }
        }
        MemberList { members: list.members.into_iter().map(|m| with_order(orders, m)).collect(), ..list }
    }

    /// The current state of these backends as a list of changes, after their orders changed. Backends that
    /// discovery does not list are left out.
    pub fn changes_for(&self, ids: &[String], orders: &MaintenanceOrders) -> MemberList {
        let members = ids.iter().filter_map(|id| self.members.get(id)).cloned();
        let members = members.map(|m| with_order(orders, m)).collect();
        MemberList { revision: 0, complete: false, members }
    }

    /// Whether discovery lists the backend.
    pub fn contains(&self, id: &str) -> bool {
        self.members.contains_key(id)
    }
}

/// A backend that is out of service counts as draining even if the list has it as ready. One that was
/// returned to service counts as started at that time: it was probably restarted during maintenance, and
/// the list may report that late. Otherwise a cold backend could get the load of a warm one.
fn with_order(orders: &MaintenanceOrders, member: Member) -> Member {
    if member.phase == Phase::Ready && orders.is_out(&member.id) {
        return Member { phase: Phase::Draining, ..member };
    }
    let returned_ms = orders.returned_at(&member.id).map_or(0, |at| at.0 / 1_000);
    Member { up_since_ms: member.up_since_ms.max(returned_ms), ..member }
}
