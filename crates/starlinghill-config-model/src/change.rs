//! What an operator sends: items to set and items to drop, all or none of them.

use crate::items::{ChangeError, Item, ItemKind, ParsedItem};
use crate::version_history::VersionHistory;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::collections::btree_map::Entry;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A change that makes sense by itself.
#[derive(Debug, Clone, Default)]
pub struct ConfigChange {
    /// Its items by name and version, each number once. Of a name that stands in it twice the higher version prevails, as
    /// anywhere; a confirmation is one of both.
    pub items: Vec<Rc<ParsedItem>>,
}

/// A version as it is written: `r` and a number.
pub fn parse_version(value: Option<&OwnedValue>) -> Option<u64> {
    value?.as_str()?.strip_prefix('r')?.parse().ok()
}

fn invalid<T>(problem: impl Into<String>) -> Result<T, ChangeError> {
    Err(ChangeError::Invalid { problem: problem.into() })
}

fn list<'a>(of: &'a OwnedValue, key: &str) -> Result<&'a [OwnedValue], ChangeError> {
    match of.get(key) {
        None => Ok(&[]),
        Some(value) if value.is_null() => Ok(&[]),
        Some(value) => match value.as_array() {
            Some(list) => Ok(list),
            None => invalid(format!("{key}: found {}, allowed: a list", short(value))),
        },
    }
}

fn short(value: &OwnedValue) -> String {
    value.encode().chars().take(60).collect()
}

impl ConfigChange {
    /// Reads the body of a call.
    pub fn parse(body: &[u8]) -> Result<ConfigChange, ChangeError> {
        let value = match simd_json::to_owned_value(&mut body.to_vec()) {
            Ok(value) => value,
            Err(error) => return invalid(format!("not JSON: {error}")),
        };
        if !value.is_object() {
            return invalid("found no object, allowed: {\"upsert\": ..., \"remove\": ...}");
        }
        let mut items = Vec::new();
        let empty = OwnedValue::object();
        let part = |key: &str| match value.get(key) {
            None => Ok(&empty),
            Some(part) if part.is_object() => Ok(part),
            Some(part) => invalid(format!("{key}: found {}, allowed: an object", short(part))),
        };
        let (upsert, remove) = (part("upsert")?, part("remove")?);
        for port in list(upsert, "ports")? {
            let Some(host) = port.get("hostname").and_then(|v| v.as_str()).filter(|v| !v.is_empty()) else {
                return invalid(format!(
                    "ports.hostname: found {}, allowed: a text that is not empty",
                    port.get("hostname").map_or_else(|| "nothing".into(), short)
                ));
            };
            for rule in list(port, "policy")? {
                items.push(set(ItemKind::Route, host, rule)?);
            }
        }
        for (key, kind) in [("customers", ItemKind::Customer), ("groups", ItemKind::Service)] {
            for value in list(upsert, key)? {
                items.push(set(kind, "", value)?);
            }
        }
        if let Some(limits) = upsert.get("limits").filter(|v| !v.is_null()) {
            items.push(set(ItemKind::Limits, "", limits)?);
        }
        let named = [
            ("routes", ItemKind::Route),
            ("customers", ItemKind::Customer),
            ("services", ItemKind::Service),
            ("groups", ItemKind::Service),
        ];
        for (key, kind) in named {
            for value in list(remove, key)? {
                items.push(ParsedItem::parse(Item { body: None, ..item(kind, "", value)? })?);
            }
        }
        let mut numbers: BTreeMap<(ItemKind, String, u64), ParsedItem> = BTreeMap::new();
        for held in items {
            let Item { kind, version, .. } = held.item;
            match numbers.entry((kind, held.item.name.clone(), version)) {
                Entry::Vacant(place) => drop(place.insert(held)),
                Entry::Occupied(place) if place.get().content_digest() == held.content_digest() => {}
                Entry::Occupied(_) => {
                    let name = &held.item.name;
                    return invalid(format!("{kind:?} {name}: stands twice with one version, r{version}"));
                }
            }
        }
        Ok(ConfigChange { items: numbers.into_values().map(Rc::new).collect() })
    }
}

fn item(kind: ItemKind, host: &str, value: &OwnedValue) -> Result<Item, ChangeError> {
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
            value.get("version").map_or_else(|| "nothing".into(), short)
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

fn set(kind: ItemKind, host: &str, value: &OwnedValue) -> Result<ParsedItem, ChangeError> {
    ParsedItem::parse(Item { body: Some(value.encode()), ..item(kind, host, value)? })
}
