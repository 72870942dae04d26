//! The numbers of an item that were confirmed before, below the one that stands: what keeps a second content from being
//! confirmed under any of them, and a repeat of an order from being refused.

use bitcode::{Decode, Encode};

/// The most numbers that one item remembers. At 7,300 changes a day, all of one item, that is more than a day.
pub const MAX_VERSIONS_PER_ITEM: usize = 8_192;
/// The most that all items together remember: at 7,300 changes a day nine days, in 1 MiB of the 8 that a message holds.
/// Three for each item where there are as many items as there may be.
pub const MAX_VERSIONS_TOTAL: usize = 65_536;
const _: () = assert!(MAX_VERSIONS_TOTAL >= 3 * crate::items::MAX_ITEMS);

/// A number that was confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct ConfirmedVersion {
    /// The number.
    pub version: u64,
    /// The digest of its content.
    pub content_digest: u64,
}

/// What is known of a number below the one that stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionStatus {
    /// It was confirmed, with a content of this digest.
    Confirmed(u64),
    /// It was never confirmed.
    Unused,
    /// It lies beyond the horizon: it may have been confirmed, with whatever content.
    Forgotten,
}

/// The numbers that an item had, whether they ever came into force or not.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct VersionHistory {
    /// By number, each once.
    confirmed: Vec<ConfirmedVersion>,
    /// Nothing is known of numbers up to this, but of those that stand above.
    forgotten: Option<u64>,
}

impl VersionHistory {
    /// Of an item that was kept without one: all below its version may have been confirmed.
    pub fn unknown_below(version: u64) -> VersionHistory {
        VersionHistory { confirmed: Vec::new(), forgotten: version.checked_sub(1) }
    }

    /// How many numbers it remembers.
    pub fn len(&self) -> usize {
        self.confirmed.len()
    }

    /// It remembers no number.
    pub fn is_empty(&self) -> bool {
        self.confirmed.is_empty()
    }

    /// What is known of a number.
    pub fn status(&self, version: u64) -> VersionStatus {
        match self.confirmed.binary_search_by_key(&version, |known| known.version) {
            Ok(at) => VersionStatus::Confirmed(self.confirmed[at].content_digest),
            Err(_) if self.forgotten.is_some_and(|last| version <= last) => VersionStatus::Forgotten,
            Err(_) => VersionStatus::Unused,
        }
    }

    /// A number is confirmed. One that was confirmed before keeps its content.
    pub fn confirm(&mut self, version: u64, content: u64) {
        if let Err(at) = self.confirmed.binary_search_by_key(&version, |known| known.version) {
            self.confirmed.insert(at, ConfirmedVersion { version, content_digest: content });
            self.truncate(MAX_VERSIONS_PER_ITEM);
        }
    }

    /// Forgets the lowest numbers, those that are sent again last, until so many are left.
    pub fn truncate(&mut self, most: usize) {
        let gone = self.confirmed.len().saturating_sub(most);
        if let Some(last) = self.confirmed.drain(..gone).next_back() {
            self.forgotten = self.forgotten.max(Some(last.version));
        }
    }
}

/// How many numbers each item may keep so that all together keep at most so many: those that have the most give first.
pub fn per_item_limit(lens: impl Iterator<Item = usize> + Clone, most: usize) -> usize {
    let sum = |level: usize| lens.clone().map(|len| len.min(level)).sum::<usize>();
    let (mut low, mut high) = (0, MAX_VERSIONS_PER_ITEM);
    while low < high {
        let level = (low + high).div_ceil(2);
        match sum(level) <= most {
            true => low = level,
            false => high = level - 1,
        }
    }
    low
}
