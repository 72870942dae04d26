//! The items as they stand. Copies merge item by item: of one name the highest version prevails, set or dropped.

use crate::change::ConfigChange;
use crate::content_digest;
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

/// The most items that are kept, dropped ones included. Guards memory and the size of messages.
pub const MAX_ITEMS: usize = 20_000;

/// What an item is of.
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

/// One item in one version, as it goes between processes and onto disks.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Item {
    /// What it is.
    pub kind: ItemKind,
    /// Its name.
    pub name: String,
    /// Its version.
    pub version: u64,
    /// The host of a route.
    pub host: String,
    /// What the operator sent, as JSON; `None`: dropped.
    pub body: Option<String>,
    /// The numbers below the version, where it goes between stores or onto their disks; news go without.
    pub history: VersionHistory,
}

impl Item {
    /// As news: whoever does not judge orders needs no history.
    pub fn without_history(&self) -> Item {
        let Item { kind, version, .. } = *self;
        let (name, host, body) = (self.name.clone(), self.host.clone(), self.body.clone());
        Item { kind, name, version, host, body, history: VersionHistory::default() }
    }
}

/// A number that stands for items in their versions, whatever their order.
pub fn versions_digest<'a>(items: impl Iterator<Item = &'a Item>) -> u64 {
    let one = |item: &Item| {
        let mut hash = 0xcbf2_9ce4_8422_2325_u64;
        let bytes = item.name.bytes().chain([item.kind as u8]).chain(item.version.to_le_bytes());
        bytes.for_each(|byte| hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3));
        hash
    };
    items.map(one).fold(0, u64::wrapping_add)
}

/// Why a change is not taken.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ChangeError {
    /// It makes no sense.
    #[snafu(display("{problem}"))]
    Invalid {
        /// What is wrong.
        problem: String,
    },
    /// That version of an item was confirmed already, with another content.
    #[snafu(display("{kind:?} {name}: version r{version} was confirmed with another content"))]
    VersionConflict {
        /// The item's kind.
        kind: ItemKind,
        /// Its name.
        name: String,
        /// The version.
        version: u64,
    },
    /// That version lies beyond the horizon: it may have been confirmed, with this content or with another. Neither a
    /// confirmation nor a refusal is safe.
    #[snafu(display("{kind:?} {name}: what r{version} was is not remembered any more"))]
    VersionForgotten {
        /// The item's kind.
        kind: ItemKind,
        /// Its name.
        name: String,
        /// The version.
        version: u64,
    },
}

/// An item that was read: what was sent, and what it means.
#[derive(Debug, Clone)]
pub struct ParsedItem {
    /// As it was sent.
    pub item: Item,
    /// As a value, where it stands.
    pub value: Option<OwnedValue>,
    /// What it means.
    pub parsed: Option<Parsed>,
}

impl ParsedItem {
    /// Reads an item.
    pub fn parse(item: Item) -> Result<ParsedItem, ChangeError> {
        let Some(body) = &item.body else { return Ok(ParsedItem { item, value: None, parsed: None }) };
        let invalid = |problem| ChangeError::Invalid { problem };
        let value = simd_json::to_owned_value(&mut body.clone().into_bytes())
            .map_err(|e| invalid(format!("{}: {e}", item.name)))?;
        let parsed = routing::parse(item.kind, &item.name, &item.host, &value).map_err(invalid)?;
        Ok(ParsedItem { value: Some(value), parsed: Some(parsed), item })
    }

    /// The digest of its content.
    pub fn content_digest(&self) -> u64 {
        content_digest::digest(&self.item.host, self.value.as_ref())
    }

    /// What is known of a number of this name.
    fn known(&self, version: u64) -> VersionStatus {
        match version.cmp(&self.item.version) {
            Ordering::Less => self.item.history.status(version),
            Ordering::Equal => VersionStatus::Confirmed(self.content_digest()),
            Ordering::Greater => VersionStatus::Unused,
        }
    }

    /// The same name with one more number confirmed, where that is new.
    fn confirming(&self, new: &ParsedItem) -> Option<ParsedItem> {
        let (stands, sent) = (self.item.version, new.item.version);
        if self.known(sent) != VersionStatus::Unused {
            return None;
        }
        let mut next = if sent > stands { new.clone() } else { self.clone() };
        next.item.history = self.item.history.clone();
        match sent > stands {
            true => next.item.history.confirm(stands, self.content_digest()),
            false => next.item.history.confirm(sent, new.content_digest()),
        }
        Some(next)
    }
}

/// All items.
#[derive(Debug, Clone, Default)]
pub struct ItemSet {
    items: BTreeMap<(ItemKind, String), Rc<ParsedItem>>,
}

impl ItemSet {
    /// From copies of items; what can't be read is left out, as nothing of it was ever taken.
    pub fn from_items(items: impl IntoIterator<Item = Item>) -> ItemSet {
        let mut book = ItemSet::default();
        book.merge(items);
        book
    }

    /// Takes in copies that were agreed on; returns those that were new. An older version changes nothing.
    pub fn merge(&mut self, items: impl IntoIterator<Item = Item>) -> Vec<Rc<ParsedItem>> {
        let mut news = Vec::new();
        for held in items.into_iter().filter_map(|item| ParsedItem::parse(item).ok()) {
            let held = Rc::new(held);
            match self.items.entry((held.item.kind, held.item.name.clone())) {
                Entry::Vacant(place) => {
                    place.insert(held.clone());
                }
                Entry::Occupied(mut place) if place.get().item.version < held.item.version => {
                    place.insert(held.clone());
                }
                Entry::Occupied(_) => continue,
            }
            news.push(held);
        }
        news
    }

    /// The book with a change taken in, or why it can't be. Nothing of a change is taken that is refused. One of which
    /// every number was confirmed before with its content is taken, and changes nothing.
    pub fn with_change(&self, change: &ConfigChange) -> Result<ItemSet, ChangeError> {
        self.judge(change)?;
        let mut next = self.clone();
        for held in &change.items {
            match next.items.entry((held.item.kind, held.item.name.clone())) {
                Entry::Vacant(place) => drop(place.insert(held.clone())),
                Entry::Occupied(mut place) => {
                    if let Some(new) = place.get().confirming(held) {
                        place.insert(Rc::new(new));
                    }
                }
            }
        }
        next.validate()?;
        next.forget(version_history::MAX_VERSIONS_TOTAL);
        Ok(next)
    }

    /// No number of a change may have been confirmed with another content. A change that holds such a one was never
    /// confirmed as a whole, so that is said before anything of what was forgotten.
    fn judge(&self, change: &ConfigChange) -> Result<(), ChangeError> {
        let mut forgotten = None;
        for held in &change.items {
            let Item { kind, version, .. } = held.item;
            let name = held.item.name.clone();
            let known = self.items.get(&(kind, name.clone())).map(|stands| stands.known(version));
            match known {
                Some(VersionStatus::Confirmed(content)) if content != held.content_digest() => {
                    return Err(ChangeError::VersionConflict { kind, name, version });
                }
                Some(VersionStatus::Forgotten) => {
                    forgotten = Some(ChangeError::VersionForgotten { kind, name, version })
                }
                _ => {}
            }
        }
        forgotten.map_or(Ok(()), Err)
    }

    /// Keeps the bound on what is remembered in all.
    fn forget(&mut self, most: usize) {
        let lens = self.items.values().map(|held| held.item.history.len());
        if lens.clone().sum::<usize>() <= most {
            return;
        }
        let level = version_history::per_item_limit(lens, most);
        for held in self.items.values_mut().filter(|held| held.item.history.len() > level) {
            Rc::make_mut(held).item.history.truncate(level);
        }
    }

    /// Whether all items make sense together.
    pub fn validate(&self) -> Result<(), ChangeError> {
        let refuse = |problem: String| Err(ChangeError::Invalid { problem });
        if self.items.len() > MAX_ITEMS {
            return refuse(format!("{} items, allowed: {MAX_ITEMS}", self.items.len()));
        }
        let stands = |name: &str| {
            let service = self.items.get(&(ItemKind::Service, name.to_string()));
            service.is_some_and(|held| held.parsed.is_some())
        };
        let (mut places, mut keys) = (BTreeSet::new(), BTreeMap::new());
        for held in self.items.values() {
            match &held.parsed {
                Some(Parsed::Route(route)) => {
                    if let Some((service, _)) = route.targets.iter().find(|(service, _)| !stands(service)) {
                        return refuse(format!("route {}: no service {service}", route.name));
                    }
                    if !places.insert((&route.host, &route.prefix)) {
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

    /// All items, dropped ones included.
    pub fn items(&self) -> impl Iterator<Item = &Rc<ParsedItem>> {
        self.items.values()
    }

    /// Those that differ from another book's, histories included: what has to be written where that one stands.
    pub fn differing_items(&self, other: &ItemSet) -> Vec<Item> {
        let new = |held: &&Rc<ParsedItem>| {
            let key = (held.item.kind, held.item.name.clone());
            other.items.get(&key).is_none_or(|old| old.item != held.item)
        };
        self.items.values().filter(new).map(|held| held.item.clone()).collect()
    }

    /// Whether anything was ever configured.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// All that stands, laid out as an operator sends it.
    pub fn to_upsert(&self) -> OwnedValue {
        let mut hosts: BTreeMap<&str, Vec<OwnedValue>> = BTreeMap::new();
        let (mut customers, mut groups, mut limits) = (Vec::new(), Vec::new(), None);
        for held in self.items.values() {
            let Some(value) = held.value.clone() else { continue };
            match held.item.kind {
                ItemKind::Route => hosts.entry(&held.item.host).or_default().push(value),
                ItemKind::Customer => customers.push(value),
                ItemKind::Service => groups.push(value),
                ItemKind::Limits => limits = Some(value),
            }
        }
        let port = |(host, rules): (&str, Vec<OwnedValue>)| {
            let mut port = OwnedValue::object();
            let _ = port.insert("hostname", host);
            let _ = port.insert("policy", OwnedValue::from(rules));
            port
        };
        let ports: Vec<OwnedValue> = hosts.into_iter().map(port).collect();
        let mut all = OwnedValue::object();
        let _ = all.insert("customers", OwnedValue::from(customers));
        if let Some(limits) = limits {
            let _ = all.insert("limits", limits);
        }
        let _ = all.insert("ports", OwnedValue::from(ports));
        let _ = all.insert("groups", OwnedValue::from(groups));
        all
    }
}
