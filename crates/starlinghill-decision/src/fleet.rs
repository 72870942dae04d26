//! How a gateway shares the servers with the other gateways.

use crate::api::*;
use crate::context::Context;
use crate::roster::Fleet;
use crate::server::Server;

/// Deterministic subsetting: servers in a gateway's own part of the fleet, at least, and for each unit a
/// second that it sends on. More spreads its load better, fewer lets it learn of each in a second or two.
const REACH_LEAST: f64 = 8.0;
const REACH_FLOW: f64 = 1.0;
/// The same where gateways outnumber the servers, and each has some. Wider parts cost connections.
const REACH_FLOW_MANY: f64 = 0.25;
/// Attempts that all gateways together may have out at one server when learning starts; no gateway starts
/// with more than `LIMIT_START` of them. Low: a bound that must first be cut costs late answers.
pub(crate) const FLEET_START: f64 = 6.0;
/// Where learning of the bound on attempts out at one server starts, scaled to the gateway's part (`scale`).
pub(crate) const LIMIT_START: f64 = 2.0;

impl Fleet {
    /// How many servers are in this gateway's own part of the fleet.
    pub(crate) fn reach(&self, cx: &Context) -> usize {
        let many = cx.set.gateways as usize >= self.ring.len();
        let flow = self.flow_rate(cx) * if many { REACH_FLOW_MANY } else { REACH_FLOW };
        (REACH_LEAST + flow).min(self.ring.len() as f64) as usize
    }

    /// This gateway's part in the bound at one server: one where few gateways share it, else by how many do.
    pub(crate) fn scale(&self, cx: &Context) -> f64 {
        let sharing = f64::from(cx.set.gateways) * self.reach(cx) as f64 / self.ring.len().max(1) as f64;
        (FLEET_START / LIMIT_START / sharing.max(1e-9)).min(1.0)
    }

    /// So many gateways share the servers that bounds start below one attempt and say little.
    pub(crate) fn sparse(&self, cx: &Context) -> bool {
        LIMIT_START * self.scale(cx) < 1.0
    }

    /// The listed servers, this gateway's own part of the fleet first. Guards against learning nothing of any
    /// server where each gateway sees few requests. The golden ratio spreads the parts evenly, also those of
    /// gateways in a row, through which one customer comes.
    pub(crate) fn own_part_first(&self, cx: &Context) -> impl Iterator<Item = ServerId> + '_ {
        let start = (f64::from(cx.set.me) * 0.618_033_988_749_895).fract() * self.ring.len() as f64;
        self.ring.iter().cycle().skip(start as usize).take(self.ring.len()).copied()
    }

    /// It may have the present request, by its health and its zone's part.
    pub(crate) fn takes(&self, cx: &Context, s: &Server) -> bool {
        self.healthy(cx, s) && !self.zones.is_shut(s.zone)
    }

    pub(crate) fn healthy(&self, cx: &Context, s: &Server) -> bool {
        cx.now >= s.ejected_until && (!s.trial || s.out < 1.0)
    }
}
