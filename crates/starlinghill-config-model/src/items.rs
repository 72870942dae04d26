//! The set of configuration items. Copies of it merge item by item: of each name the highest version wins, whether it sets
//! the item or removes it.

use crate::change::ConfigChange;
use crate::content_digest;
use crate::nested_json;
use crate::refused_changes;
use crate::routing::{self, Parsed};
use crate::version_history::{self, VersionHistory, VersionStatus};
use bitcode::{Decode, Encode};
use simd_json::prelude::*;
use simd_json::OwnedValue;
use snafu::Snafu;
use std::cmp::Ordering;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The most items that are kept, removed ones included. Bounds memory and the size of messages.
pub const MAX_ITEMS: usize = 20_000;

/// The kind of an item. Names are unique within a kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum ItemKind {
    /// A route.
    Route,
    /// A tenant.
    Customer,
    /// A service.
    Service,
    /// The limits on what clients may send.
    Limits,
}

/// One item in one version, as it is sent between processes and stored on disk.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Item {
    /// The kind of the item.
    pub kind: ItemKind,
    /// The name, unique within the kind.
    pub name: String,
    /// The version that the operator gave it.
    pub version: u64,
    /// The host of a route; empty for other kinds.
    pub host: String,
    /// The JSON that the operator sent, or `None` if this version removes the item.
    pub body: Option<String>,
    /// The confirmed versions below this one. Kept by the stores only; empty in what registries and gateways receive.
    pub history: VersionHistory,
}

impl Item {
    /// A copy without the history, for processes that do not check orders.
    pub fn without_history(&self) -> Item {
        let Item { kind, version, .. } = *self;
        let (name, host, body) = (self.name.clone(), self.host.clone(), self.body.clone());
        Item { kind, name, version, host, body, history: VersionHistory::default() }
    }
}

/// A digest of the names and versions of items, independent of their order.
pub fn versions_digest<'a>(items: impl Iterator<Item = &'a Item>) -> u64 {
    // FNV-1a of each item; the sum over all items does not depend on the order.
    let item_digest = |item: &Item| {
        let mut hash = 0xcbf2_9ce4_8422_2325_u64;
        let bytes = item.name.bytes().chain([item.kind as u8]).chain(item.version.to_le_bytes());
        bytes.for_each(|byte| hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3));
        hash
    };
    items.map(item_digest).fold(0, u64::wrapping_add)
}

/// Why a change is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ChangeError {
    /// The change is malformed, or the items would be inconsistent with it.
    #[snafu(display("{problem}"))]
    Invalid {
        /// A description for the operator.
        problem: String,
    },
    /// The change fits the items, but it was refused earlier because of the items that stood then. Its caller was told so,
    /// and this may be a late copy.
    #[snafu(display("this change was refused before, and stays so: send it with higher versions"))]
    RefusedBefore,
    /// This version of an item was confirmed before with another content.
    #[snafu(display("{kind:?} {name}: version r{version} was confirmed with another content"))]
    VersionConflict {
        /// The kind of the item.
        kind: ItemKind,
        /// The name of the item.
        name: String,
        /// The version.
        version: u64,
    },
    /// This version is too old to be remembered. It may have been confirmed with this content or with another one, so
    /// that neither a confirmation nor a conflict may be reported.
    #[snafu(display("{kind:?} {name}: what r{version} was is not remembered any more"))]
    VersionForgotten {
        /// The kind of the item.
        kind: ItemKind,
        /// The name of the item.
        name: String,
        /// The version.
        version: u64,
    },
}

/// An item with its parsed content.
#[derive(Debug, Clone)]
pub struct ParsedItem {
    /// The item as it was sent.
    pub item: Item,
    /// The JSON of the body, or `None` if the item is removed. What is nested too deep is null here.
    pub value: Option<OwnedValue>,
    /// The meaning of the body, or `None` if the item is removed.
    pub parsed: Option<Parsed>,
}

impl ParsedItem {
    /// Parses the body of an item.
    pub fn parse(item: Item) -> Result<ParsedItem, ChangeError> {
        let Some(body) = &item.body else { return Ok(ParsedItem { item, value: None, parsed: None }) };
        let invalid = |problem| ChangeError::Invalid { problem };
        let value = nested_json::parse_pruned(body.as_bytes())
            .map_err(|error| invalid(format!("{}: {error}", item.name)))?;
        let parsed = routing::parse(item.kind, &item.name, &item.host, &value).map_err(invalid)?;
        Ok(ParsedItem { value: Some(value), parsed: Some(parsed), item })
    }

    /// The digest of the content.
    pub fn content_digest(&self) -> u64 {
        content_digest::digest(&self.item.host, self.value.as_ref())
    }

    /// What is known of a version of this name.
    fn version_status(&self, version: u64) -> VersionStatus {
        match version.cmp(&self.item.version) {
            Ordering::Less => self.item.history.status(version),
            Ordering::Equal => VersionStatus::Confirmed(self.content_digest()),
            Ordering::Greater => VersionStatus::Unused,
        }
    }

    /// This item after another version of it is confirmed, or `None` if that version is not unused. The higher one of
    /// the two becomes the current version, and the other one goes into the history.
    fn with_confirmed(&self, new: &ParsedItem) -> Option<ParsedItem> {
        let (current, new_version) = (self.item.version, new.item.version);
        if self.version_status(new_version) != VersionStatus::Unused {
            return None;
        }
        let mut next = if new_version > current { new.clone() } else { self.clone() };
        next.item.history = self.item.history.clone();
        match new_version > current {
            true => next.item.history.confirm(current, self.content_digest()),
            false => next.item.history.confirm(new_version, new.content_digest()),
        }
        Some(next)
    }
}

/// All items by kind and name, each in its highest version.
#[derive(Debug, Clone, Default)]
pub struct ItemSet {
    items: BTreeMap<(ItemKind, String), Rc<ParsedItem>>,
}

impl ItemSet {
    /// Builds a set from copies of items. An item that cannot be parsed is left out; such an item was never confirmed.
    pub fn from_items(items: impl IntoIterator<Item = Item>) -> ItemSet {
        let mut set = ItemSet::default();
        set.merge(items);
        set
    }

    /// Merges copies of chosen items. Returns those that were newer than the present ones.
    pub fn merge(&mut self, items: impl IntoIterator<Item = Item>) -> Vec<Rc<ParsedItem>> {
        let mut newer = Vec::new();
        for parsed in items.into_iter().filter_map(|item| ParsedItem::parse(item).ok()) {
            let parsed = Rc::new(parsed);
            match self.items.entry((parsed.item.kind, parsed.item.name.clone())) {
                Entry::Vacant(entry) => {
                    entry.insert(parsed.clone());
                }
                Entry::Occupied(mut entry) if entry.get().item.version < parsed.item.version => {
                    entry.insert(parsed.clone());
                }
                Entry::Occupied(_) => continue,
            }
            newer.push(parsed);
        }
        newer
    }

    /// The set with a change applied, or why the change is refused as a whole. A change whose versions were all confirmed
    /// before with the same contents is accepted and alters nothing. Any other change that was refused before stays refused.
    pub fn with_change(&self, change: &ConfigChange) -> Result<ItemSet, ChangeError> {
        self.check_versions(change)?;
        let (mut next, mut is_repeat) = (self.clone(), true);
        for parsed in &change.items {
            match next.items.entry((parsed.item.kind, parsed.item.name.clone())) {
                Entry::Vacant(entry) => {
                    entry.insert(parsed.clone());
                    is_repeat = false;
                }
                Entry::Occupied(mut entry) => {
                    if let Some(new) = entry.get().with_confirmed(parsed) {
                        entry.insert(Rc::new(new));
                        is_repeat = false;
                    }
                }
            }
        }
        next.validate()?;
        if !is_repeat && self.has_refused(change) {
            return Err(ChangeError::RefusedBefore);
        }
        next.truncate_histories(version_history::MAX_VERSIONS_TOTAL);
        Ok(next)
    }

    /// Whether a change was refused before because of the items that stood then.
    pub fn has_refused(&self, change: &ConfigChange) -> bool {
        let record = self.items.get(&refused_changes::record_key());
        refused_changes::contains(record.map(Rc::as_ref), change)
    }

    /// The set with the record that a change is refused.
    pub fn with_refusal(&self, change: &ConfigChange) -> ItemSet {
        let (mut next, key) = (self.clone(), refused_changes::record_key());
        let record = refused_changes::with_change(self.items.get(&key).map(Rc::as_ref), change);
        next.items.insert(key, Rc::new(record));
        next.truncate_histories(version_history::MAX_VERSIONS_TOTAL);
        next
    }

    /// Checks that no version of a change was confirmed before with another content. A conflict is reported before a
    /// forgotten version: a change with a conflict was never confirmed as a whole, whatever was forgotten.
    fn check_versions(&self, change: &ConfigChange) -> Result<(), ChangeError> {
        let mut forgotten = None;
        for parsed in &change.items {
            let Item { kind, version, .. } = parsed.item;
            let name = parsed.item.name.clone();
            let current = self.items.get(&(kind, name.clone()));
            match current.map(|current| current.version_status(version)) {
                Some(VersionStatus::Confirmed(digest)) if digest != parsed.content_digest() => {
                    return Err(ChangeError::VersionConflict { kind, name, version });
                }
                Some(VersionStatus::Forgotten) => {
                    forgotten = Some(ChangeError::VersionForgotten { kind, name, version });
                }
                _ => {}
            }
        }
        forgotten.map_or(Ok(()), Err)
    }

    /// Shortens the longest histories until all together hold at most `max_total` versions.
    fn truncate_histories(&mut self, max_total: usize) {
        let lens = self.items.values().map(|parsed| parsed.item.history.len());
        if lens.clone().sum::<usize>() <= max_total {
            return;
        }
        let limit = version_history::per_item_limit(lens, max_total);
        for parsed in self.items.values_mut().filter(|parsed| parsed.item.history.len() > limit) {
            Rc::make_mut(parsed).item.history.truncate(limit);
        }
    }

    /// Checks that the items are consistent: their number, the services that routes refer to, and the uniqueness of host
    /// and prefix and of API keys.
    pub fn validate(&self) -> Result<(), ChangeError> {
        let refuse = |problem: String| Err(ChangeError::Invalid { problem });
        let item_count =
            self.items.values().filter(|parsed| !refused_changes::is_record(&parsed.item)).count();
        if item_count > MAX_ITEMS {
            return refuse(format!("{item_count} items, allowed: {MAX_ITEMS}"));
        }
        let has_service = |name: &str| {
            let service = self.items.get(&(ItemKind::Service, name.to_string()));
            service.is_some_and(|service| service.parsed.is_some())
        };
        let (mut prefixes, mut keys) = (BTreeSet::new(), BTreeMap::new());
        for item in self.items.values() {
            match &item.parsed {
                Some(Parsed::Route(route)) => {
                    if let Some((service, _)) =
                        route.targets.iter().find(|(service, _)| !has_service(service))
                    {
                        return refuse(format!("route {}: no service {service}", route.name));
                    }
                    if !prefixes.insert((&route.host, &route.prefix)) {
                        return refuse(format!(
                            "route {}: another route has host {} and prefix {}",
                            route.name, route.host, route.prefix
                        ));
                    }
                }
                Some(Parsed::Customer(tenant)) => {
                    for key in &tenant.keys {
                        if keys.insert(key, &tenant.name).is_some_and(|other| *other != tenant.name) {
                            return refuse(format!("customer {}: another has one of its keys", tenant.name));
                        }
                    }
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// All items, removed ones and the record of refused changes included.
    pub fn items(&self) -> impl Iterator<Item = &Rc<ParsedItem>> {
        self.items.values()
    }

    /// The items that differ from those of another set, histories included. This is what has to be written to a disk
    /// that holds the other set.
    pub fn differing_items(&self, other: &ItemSet) -> Vec<Item> {
        let differs = |parsed: &&Rc<ParsedItem>| {
            let key = (parsed.item.kind, parsed.item.name.clone());
            other.items.get(&key).is_none_or(|old| old.item != parsed.item)
        };
        self.items.values().filter(differs).map(|parsed| parsed.item.clone()).collect()
    }

    /// Whether nothing was ever configured.
    pub fn is_empty(&self) -> bool {
        self.items.values().all(|parsed| refused_changes::is_record(&parsed.item))
    }

    /// The items that are set, as the JSON of the "upsert" part of an operator's order. Each item is written as it was sent.
    pub fn upsert_json(&self) -> String {
        let mut hosts: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        let (mut customers, mut groups, mut limits) = (Vec::new(), Vec::new(), None);
        for item in self.items.values().map(|parsed| &parsed.item) {
            let Some(body) = item.body.as_deref() else { continue };
            match item.kind {
                ItemKind::Route => hosts.entry(&item.host).or_default().push(body),
                ItemKind::Customer => customers.push(body),
                ItemKind::Service => groups.push(body),
                ItemKind::Limits => limits = Some(body),
            }
        }
        let port = |(host, rules): (&str, Vec<&str>)| {
            format!(r#"{{"hostname":{},"policy":[{}]}}"#, OwnedValue::from(host).encode(), rules.join(","))
        };
        let ports: Vec<String> = hosts.into_iter().map(port).collect();
        let limits = limits.map(|limits| format!(r#""limits":{limits},"#)).unwrap_or_default();
        format!(
            r#"{{"customers":[{}],{limits}"ports":[{}],"groups":[{}]}}"#,
            customers.join(","),
            ports.join(","),
            groups.join(",")
        )
    }
}
