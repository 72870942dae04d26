//! The changes that were refused because of the items that stood at the time.
//!
//! A change that is malformed by itself is refused by every store at any time. A change that only contradicts other items
//! may become valid later, while a copy of it is still under way on a slow link. Its caller has been told of the refusal
//! and does not expect it to take effect any more. So a refusal is part of the agreed value: it is recorded before the
//! caller is told, and every later copy of the change is refused as well.
//!
//! The record is kept as an item of its own, so that it is voted on, stored and copied like any other item, also by a
//! process that does not know of it. The history of that item holds a running number and the digest of each refused
//! change.

use crate::change::ConfigChange;
use crate::items::{Item, ItemKind, ParsedItem};
use crate::version_history::{VersionHistory, MAX_VERSIONS_PER_ITEM};
use xxhash_rust::xxh3::xxh3_64;

/// How many refused changes are remembered. The oldest ones are forgotten first.
pub const MAX_REFUSED_CHANGES: usize = MAX_VERSIONS_PER_ITEM;

/// The kind and the name of the record. A change cannot name it: the only item of this kind that a change can hold has
/// another name.
const RECORD_KIND: ItemKind = ItemKind::Limits;
const RECORD_NAME: &str = "refused_changes";

/// The key of the record among the items.
pub(crate) fn record_key() -> (ItemKind, String) {
    (RECORD_KIND, RECORD_NAME.to_string())
}

/// Whether an item is the record of refused changes. It concerns the stores only.
pub fn is_record(item: &Item) -> bool {
    item.kind == RECORD_KIND && item.name == RECORD_NAME
}

/// Whether the record holds a change. `None` is a record that does not exist yet.
pub(crate) fn contains(record: Option<&ParsedItem>, change: &ConfigChange) -> bool {
    record.is_some_and(|record| record.item.history.contains_digest(change_digest(change)))
}

/// The record with a further change.
pub(crate) fn with_change(record: Option<&ParsedItem>, change: &ConfigChange) -> ParsedItem {
    let (kind, name) = record_key();
    let number = record.map_or(0, |record| record.item.version) + 1;
    let mut history = record.map_or_else(VersionHistory::default, |record| record.item.history.clone());
    history.confirm(number, change_digest(change));
    let item = Item { kind, name, version: number, host: String::new(), body: None, history };
    ParsedItem { item, value: None, parsed: None }
}

/// A digest of all items of a change, which every copy of the change has, however its JSON is written.
fn change_digest(change: &ConfigChange) -> u64 {
    let mut bytes = Vec::new();
    for parsed in &change.items {
        bytes.push(parsed.item.kind as u8);
        bytes.extend((parsed.item.name.len() as u64).to_le_bytes());
        bytes.extend(parsed.item.name.as_bytes());
        bytes.extend(parsed.item.version.to_le_bytes());
        bytes.extend(parsed.content_digest().to_le_bytes());
    }
    xxh3_64(&bytes)
}
