//! Parses the order of an operator: items to set and items to remove, which take effect all together or not at all.

use crate::items::{ChangeError, Item, ItemKind, ParsedItem};
use crate::nested_json;
use crate::version_history::VersionHistory;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::collections::btree_map::Entry;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A change whose items are valid one by one. Whether it fits the present items is checked by [`ItemSet::with_change`].
///
/// [`ItemSet::with_change`]: crate::items::ItemSet::with_change
#[derive(Debug, Clone, Default)]
pub struct ConfigChange {
    /// The items, sorted by kind, name and version. A name may occur in several versions: the highest one takes effect, and
    /// all of them are confirmed.
    pub items: Vec<Rc<ParsedItem>>,
}

/// Parses a version, which is written as `r` and a number.
pub fn parse_version(value: Option<&OwnedValue>) -> Option<u64> {
    value?.as_str()?.strip_prefix('r')?.parse().ok()
}

fn invalid<T>(problem: impl Into<String>) -> Result<T, ChangeError> {
    Err(ChangeError::Invalid { problem: problem.into() })
}

/// The list under a key. A missing key or null is an empty list.
fn list<'a>(parent: &'a OwnedValue, key: &str) -> Result<&'a [OwnedValue], ChangeError> {
    match parent.get(key) {
        None => Ok(&[]),
        Some(value) if value.is_null() => Ok(&[]),
        Some(value) => match value.as_array() {
            Some(list) => Ok(list),
            None => invalid(format!("{key}: found {}, allowed: a list", excerpt(value))),
        },
    }
}

/// The start of a value's JSON, for error messages.
fn excerpt(value: &OwnedValue) -> String {
    value.encode().chars().take(60).collect()
}

impl ConfigChange {
    /// Parses the body of an operator's request.
    pub fn parse(body: &[u8]) -> Result<ConfigChange, ChangeError> {
        let value = match nested_json::parse(body) {
            Ok(value) => value,
            Err(error) => return invalid(error.to_string()),
        };
        if !value.is_object() {
            return invalid("found no object, allowed: {\"upsert\": ..., \"remove\": ...}");
        }
        let mut items = Vec::new();
        let empty = OwnedValue::object();
        let section = |key: &str| match value.get(key) {
            None => Ok(&empty),
            Some(part) if part.is_object() => Ok(part),
            Some(part) => invalid(format!("{key}: found {}, allowed: an object", excerpt(part))),
        };
        let (upsert, remove) = (section("upsert")?, section("remove")?);
        for port in list(upsert, "ports")? {
            let Some(host) = port.get("hostname").and_then(|v| v.as_str()).filter(|v| !v.is_empty()) else {
                return invalid(format!(
                    "ports.hostname: found {}, allowed: a text that is not empty",
                    port.get("hostname").map_or_else(|| "nothing".into(), excerpt)
                ));
            };
            for rule in list(port, "policy")? {
                items.push(item_to_set(ItemKind::Route, host, rule)?);
            }
        }
        for (key, kind) in [("customers", ItemKind::Customer), ("groups", ItemKind::Service)] {
            for value in list(upsert, key)? {
                items.push(item_to_set(kind, "", value)?);
            }
        }
        if let Some(limits) = upsert.get("limits").filter(|v| !v.is_null()) {
            items.push(item_to_set(ItemKind::Limits, "", limits)?);
        }
        let removable = [
            ("routes", ItemKind::Route),
            ("customers", ItemKind::Customer),
            ("services", ItemKind::Service),
            ("groups", ItemKind::Service),
        ];
        for (key, kind) in removable {
            for value in list(remove, key)? {
                items.push(ParsedItem::parse(Item { body: None, ..item_header(kind, "", value)? })?);
            }
        }
        let mut unique: BTreeMap<(ItemKind, String, u64), ParsedItem> = BTreeMap::new();
        for parsed in items {
            let Item { kind, version, .. } = parsed.item;
            match unique.entry((kind, parsed.item.name.clone(), version)) {
                Entry::Vacant(entry) => drop(entry.insert(parsed)),
                Entry::Occupied(entry) if entry.get().content_digest() == parsed.content_digest() => {}
                Entry::Occupied(_) => {
                    let name = &parsed.item.name;
                    return invalid(format!("{kind:?} {name}: stands twice with one version, r{version}"));
                }
            }
        }
        Ok(ConfigChange { items: unique.into_values().map(Rc::new).collect() })
    }
}

/// An item with its name and version, but without its content.
fn item_header(kind: ItemKind, host: &str, value: &OwnedValue) -> Result<Item, ChangeError> {
    let name = match kind {
        ItemKind::Limits => "limits",
        _ => match value.get("name").and_then(|v| v.as_str()).filter(|v| !v.is_empty()) {
            Some(name) => name,
            None => return invalid(format!("{kind:?}.name: allowed: a text that is not empty")),
        },
    };
    let Some(version) = parse_version(value.get("version")) else {
        return invalid(format!(
            "{kind:?} {name}.version: found {}, allowed: r and a number",
            value.get("version").map_or_else(|| "nothing".into(), excerpt)
        ));
    };
    Ok(Item {
        kind,
        name: name.into(),
        version,
        host: host.into(),
        body: None,
        history: VersionHistory::default(),
    })
}

fn item_to_set(kind: ItemKind, host: &str, value: &OwnedValue) -> Result<ParsedItem, ChangeError> {
    ParsedItem::parse(Item { body: Some(value.encode()), ..item_header(kind, host, value)? })
}
