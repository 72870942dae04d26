//! Whether to admit requests of customers of whom no total has been received.
//!
//! If a customer comes through hundreds of gateways, most of them know no total of it when its request
//! arrives, and the shared counter may not have the capacity for a call per request. Most customers keep to
//! their quota, so requests that are not counted are normally admitted. Sometimes all customers of a plan
//! ask for several times their quota. Then nearly all uncounted requests exceed a quota: they cost more
//! than they earn and load the servers that all customers share. The customers for which calls were made
//! are a fair sample of the others, so they show this before anything is known of a single customer.

/// Weight of the newest sample. A gateway gets about two to five samples a second for each plan. A smaller
/// weight would notice a burst of a few seconds too late; a larger one would refuse requests after a few
/// busy customers in a row.
const SAMPLE_WEIGHT: f64 = 0.15;

/// The fraction of one plan's requests that quotas cover, averaged over the customers for which calls were
/// made.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaCoverage {
    covered: f64,
}

impl Default for QuotaCoverage {
    /// Without samples, all customers are assumed to keep to their quota.
    fn default() -> QuotaCoverage {
        QuotaCoverage { covered: 1.0 }
    }
}

impl QuotaCoverage {
    /// Adds the fraction of one customer's requests that its quota covers. Ignores values that are not
    /// finite.
    pub fn add_sample(&mut self, fraction: f64) {
        if fraction.is_finite() {
            self.covered += SAMPLE_WEIGHT * (fraction.clamp(0.0, 1.0) - self.covered);
        }
    }

    /// Whether one more request of an unknown customer is expected to earn more than it costs. A request
    /// within the quota earns its worth; one beyond the quota costs `cost` times that worth.
    ///
    /// A busy customer's counted requests already fill its quota, so its uncounted ones all exceed it.
    pub fn admits(&self, cost: f64) -> bool {
        self.covered >= (1.0 - self.covered) * cost.max(0.0)
    }
}
