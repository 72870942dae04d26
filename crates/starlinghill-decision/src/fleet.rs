//! How gateways share the servers: see "Sharing of servers by many gateways" in `lib.rs`.

use crate::api::*;
use crate::context::Context;
use crate::roster::Fleet;
use crate::server::Server;

/// Deterministic subsetting: least number of servers in a gateway's subset, and servers added per unit a
/// second that it sends. More spread its load better, fewer let it learn about each in a second or two.
const SUBSET_MIN: f64 = 8.0;
const SUBSET_PER_UNIT: f64 = 1.0;
/// Used where there are at least as many gateways as servers. Larger subsets cost connections.
const SUBSET_PER_UNIT_MANY: f64 = 0.25;
/// Attempts at one server over all gateways when learning starts. No gateway starts with more than
/// `INITIAL_LIMIT`. Low, because limits that must first be cut cost late answers.
pub(crate) const INITIAL_FLEET_LIMIT: f64 = 6.0;
/// A gateway's limit when learning starts, before `limit_scale`.
pub(crate) const INITIAL_LIMIT: f64 = 2.0;

impl Fleet {
    /// The number of servers in this gateway's subset.
    pub(crate) fn subset_size(&self, cx: &Context) -> usize {
        let many_gateways = cx.settings.gateways as usize >= self.ring.len();
        let flow = self.flow_rate(cx) * if many_gateways { SUBSET_PER_UNIT_MANY } else { SUBSET_PER_UNIT };
        (SUBSET_MIN + flow).min(self.ring.len() as f64) as usize
    }

    /// Factor for this gateway's limits: 1 where few gateways share a server, else falling with their number.
    pub(crate) fn limit_scale(&self, cx: &Context) -> f64 {
        let gateways_per_server =
            f64::from(cx.settings.gateways) * self.subset_size(cx) as f64 / self.ring.len().max(1) as f64;
        (INITIAL_FLEET_LIMIT / INITIAL_LIMIT / gateways_per_server.max(1e-9)).min(1.0)
    }

    /// Whether so many gateways share the servers that limits start below one attempt and say little.
    pub(crate) fn is_sparse(&self, cx: &Context) -> bool {
        INITIAL_LIMIT * self.limit_scale(cx) < 1.0
    }

    /// The listed servers, this gateway's subset first. Without subsets each gateway would see too few
    /// requests to learn anything of any server. The golden ratio spreads the subsets evenly, also those of
    /// gateways with consecutive numbers, through which one customer comes.
    pub(crate) fn own_subset(&self, cx: &Context) -> impl Iterator<Item = ServerId> + '_ {
        let start = (f64::from(cx.settings.me) * 0.618_033_988_749_895).fract() * self.ring.len() as f64;
        self.ring.iter().cycle().skip(start as usize).take(self.ring.len()).copied()
    }

    /// Whether a server may get the present request by its health and its zone's share.
    pub(crate) fn accepts(&self, cx: &Context, s: &Server) -> bool {
        self.healthy(cx, s) && !self.zones.is_excluded(s.zone)
    }

    pub(crate) fn healthy(&self, cx: &Context, s: &Server) -> bool {
        cx.now >= s.ejected_until && (!s.trial || s.in_flight < 1.0)
    }
}
