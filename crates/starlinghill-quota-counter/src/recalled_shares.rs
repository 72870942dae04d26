//! The shares that gateways reported to a new counter, for buckets that the counter has not created yet.

use std::collections::HashMap;

/// The most shares that are kept, which is about 24 MB. A gateway whose share is dropped counts as one that was assigned
/// none.
const MAX_SHARES: usize = 1_000_000;

#[derive(Debug, Default)]
pub(crate) struct RecalledShares {
    /// By bucket and gateway.
    shares: HashMap<u64, HashMap<u64, f64>>,
    count: usize,
}

impl RecalledShares {
    /// Stores the share of a bucket by which a gateway decides.
    pub(crate) fn insert(&mut self, bucket: u64, gateway: u64, share: f64) {
        if self.count >= MAX_SHARES {
            return;
        }
        let is_new = self.shares.entry(bucket).or_default().insert(gateway, share).is_none();
        self.count += usize::from(is_new);
    }

    /// Takes out all shares of a bucket, by gateway, for when the counter creates the bucket.
    pub(crate) fn take(&mut self, bucket: u64) -> HashMap<u64, f64> {
        let shares = self.shares.remove(&bucket).unwrap_or_default();
        self.count -= shares.len();
        shares
    }
}
