//! The confirmed versions of an item below its current one. The history keeps a second content from being confirmed under
//! any of these versions, and lets an operator repeat an order without being refused.

use bitcode::{Decode, Encode};

/// The most versions that one item remembers. At 7,300 changes a day, all of one item, this is more than a day.
pub const MAX_VERSIONS_PER_ITEM: usize = 8_192;
/// The most versions that all items together remember. At 7,300 changes a day this is nine days, and takes 1 MiB of the
/// 8 MiB that a message may have. With the most items allowed, each still remembers three.
pub const MAX_VERSIONS_TOTAL: usize = 65_536;
const _: () = assert!(MAX_VERSIONS_TOTAL >= 3 * crate::items::MAX_ITEMS);

/// A version that was confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct ConfirmedVersion {
    /// The version.
    pub version: u64,
    /// The digest of its content.
    pub content_digest: u64,
}

/// What is known of a version below the current one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionStatus {
    /// It was confirmed, with the content of this digest.
    Confirmed(u64),
    /// It was never confirmed.
    Unused,
    /// It is too old to be remembered, and may have been confirmed with any content.
    Forgotten,
}

/// The confirmed versions of an item, whether they ever were the current one or not.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct VersionHistory {
    /// Sorted by version, each version once.
    confirmed: Vec<ConfirmedVersion>,
    /// Of versions up to this one, only those in `confirmed` are known.
    forgotten_up_to: Option<u64>,
}

impl VersionHistory {
    /// The history of an item that was stored without one: any version below the current one may have been confirmed.
    pub fn unknown_below(version: u64) -> VersionHistory {
        VersionHistory { confirmed: Vec::new(), forgotten_up_to: version.checked_sub(1) }
    }

    /// The number of versions that are remembered.
    pub fn len(&self) -> usize {
        self.confirmed.len()
    }

    /// Whether no version is remembered.
    pub fn is_empty(&self) -> bool {
        self.confirmed.is_empty()
    }

    /// What is known of a version.
    pub fn status(&self, version: u64) -> VersionStatus {
        match self.confirmed.binary_search_by_key(&version, |known| known.version) {
            Ok(at) => VersionStatus::Confirmed(self.confirmed[at].content_digest),
            Err(_) if self.forgotten_up_to.is_some_and(|last| version <= last) => VersionStatus::Forgotten,
            Err(_) => VersionStatus::Unused,
        }
    }

    /// Whether any remembered version has the content of this digest.
    pub fn contains_digest(&self, content_digest: u64) -> bool {
        self.confirmed.iter().any(|known| known.content_digest == content_digest)
    }

    /// Adds a confirmed version. One that was confirmed before keeps its content.
    pub fn confirm(&mut self, version: u64, content_digest: u64) {
        if let Err(at) = self.confirmed.binary_search_by_key(&version, |known| known.version) {
            self.confirmed.insert(at, ConfirmedVersion { version, content_digest });
            self.truncate(MAX_VERSIONS_PER_ITEM);
        }
    }

    /// Forgets the lowest versions until at most `max` are left. These are the least likely to be sent again.
    pub fn truncate(&mut self, max: usize) {
        let excess = self.confirmed.len().saturating_sub(max);
        if let Some(last) = self.confirmed.drain(..excess).next_back() {
            self.forgotten_up_to = self.forgotten_up_to.max(Some(last.version));
        }
    }
}

/// How many versions each item may remember so that all items together remember at most `max_total`. Items with the
/// longest histories are the first to be cut.
pub fn per_item_limit(lens: impl Iterator<Item = usize> + Clone, max_total: usize) -> usize {
    let total_with = |limit: usize| lens.clone().map(|len| len.min(limit)).sum::<usize>();
    let (mut low, mut high) = (0, MAX_VERSIONS_PER_ITEM);
    while low < high {
        let limit = (low + high).div_ceil(2);
        match total_with(limit) <= max_total {
            true => low = limit,
            false => high = limit - 1,
        }
    }
    low
}
