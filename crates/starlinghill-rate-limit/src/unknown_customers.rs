//! Customers of whom nothing is heard: whether what they ask for is worth letting through.
//!
//! Where a customer comes through hundreds of gateways, hardly any of them has heard of it when its request comes, and the shared
//! counter may not bear a call for each. Most customers keep to their quota, so what is not asked is let through. Now and then
//! all customers of one plan ask for several times theirs, and what goes on unasked then is nearly all beyond quota: it costs
//! more than it earns, and loads the servers that all share. The customers that were asked about are a fair sample of those that
//! were not, so they tell when that is so, before anything is known of a single one.

/// Weight of the newest sample. A gateway hears some two to five a second of a plan: less would see a burst of some seconds too
/// late, more would refuse for a few busy customers in a row.
const NEWEST: f64 = 0.15;

/// What part of the requests of one plan the quotas bear, by those that were asked about.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaCoverage {
    borne: f64,
}

impl Default for QuotaCoverage {
    /// All keep to their quota until something else is heard.
    fn default() -> QuotaCoverage {
        QuotaCoverage { borne: 1.0 }
    }
}

impl QuotaCoverage {
    /// It was heard what part of one customer's requests its quota bears.
    pub fn add_sample(&mut self, part: f64) {
        if part.is_finite() {
            self.borne += NEWEST * (part.clamp(0.0, 1.0) - self.borne);
        }
    }

    /// Whether letting through one more request of an unknown customer earns more than it costs, where one within the quota earns
    /// its worth, and one beyond it costs so many times that.
    ///
    /// Of a busy customer those that ask fill the quota, so what goes on beside them is beyond it.
    pub fn admits(&self, cost: f64) -> bool {
        self.borne >= (1.0 - self.borne) * cost.max(0.0)
    }
}
