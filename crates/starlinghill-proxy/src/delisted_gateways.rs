//! The gateways that a registry listed before it restarted and does not list now.
//!
//! A registry that restarts knows only the gateways that reach it. If all registries restart, a gateway that is cut off from
//! them is known to the other gateways alone. It goes on by its shares of the quotas, which a counter that does not know of
//! it would grant once more. So the others report it until each registry lists it, or has seen it leave.

use starlinghill_catalog::Gateway;
use starlinghill_failure_detector::PeerSighting;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Gateways by address: the incarnation, and when a registry last listed it.
#[derive(Debug, Default)]
pub struct DelistedGateways {
    gateways: RefCell<BTreeMap<IpAddr, (u64, Instant)>>,
}

impl DelistedGateways {
    /// Records the list of a registry that has restarted, as it was at `confirmed_at`, when that registry last answered.
    pub fn record<'a>(&self, list: impl Iterator<Item = &'a Gateway>, confirmed_at: Instant) {
        let entry = |gateway: &Gateway| (gateway.ip, (gateway.incarnation, confirmed_at));
        self.gateways.borrow_mut().extend(list.map(entry));
    }

    /// Forgets a gateway that a registry has seen leave or time out.
    pub fn forget(&self, ip: IpAddr) {
        self.gateways.borrow_mut().remove(&ip);
    }

    /// Forgets the gateways that were delisted `window` ago, and those that all of these lists hold.
    pub fn retain_missing<'a>(
        &self,
        window: Duration,
        lists: impl Iterator<Item = &'a BTreeMap<IpAddr, Gateway>> + Clone,
    ) {
        let is_listed = |ip: &IpAddr| lists.clone().all(|list| list.contains_key(ip));
        self.gateways.borrow_mut().retain(|ip, (_, at)| at.elapsed() < window && !is_listed(ip));
    }

    /// The addresses of the gateways.
    pub fn addresses(&self) -> Vec<IpAddr> {
        self.gateways.borrow().keys().copied().collect()
    }

    /// Adds the gateways to those that this gateway has heard itself, for a report to a registry.
    pub fn add_to(&self, mut sightings: Vec<PeerSighting>) -> Vec<PeerSighting> {
        let gateways = self.gateways.borrow();
        let unheard: Vec<PeerSighting> = gateways
            .iter()
            .filter(|(ip, _)| sightings.iter().all(|seen| seen.ip != **ip))
            .map(|(ip, (incarnation, at))| PeerSighting {
                ip: *ip,
                incarnation: *incarnation,
                ago_ms: at.elapsed().as_millis() as u64,
            })
            .collect();
        sightings.extend(unheard);
        sightings
    }
}
