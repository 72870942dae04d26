//! By which shares gateways go, as they recalled them, of stores that the counter does not keep yet.

use std::collections::HashMap;

/// The most shares that are kept; of more the gateways count as ones that were told nothing. Guards memory: some 24 MB.
const MOST: usize = 1_000_000;

#[derive(Debug, Default)]
pub(crate) struct RecalledShares {
    stores: HashMap<u64, HashMap<u64, f64>>,
    count: usize,
}

impl RecalledShares {
    /// A gateway goes by that share of a store.
    pub(crate) fn goes_by(&mut self, name: u64, gateway: u64, share: f64) {
        if self.count >= MOST {
            return;
        }
        let new = self.stores.entry(name).or_default().insert(gateway, share).is_none();
        self.count += usize::from(new);
    }

    /// All that were recalled of a store, which is kept from now on.
    pub(crate) fn take(&mut self, name: u64) -> HashMap<u64, f64> {
        let shares = self.stores.remove(&name).unwrap_or_default();
        self.count -= shares.len();
        shares
    }
}
