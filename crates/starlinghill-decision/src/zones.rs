//! Zone shares: the fraction of its usual work that each zone gets, as the control group decides for all
//! gateways. A share only withholds work. It sends none to unlisted or unhealthy servers, and cold ones get
//! no more than their part.
//!
//! Each request draws at random which zones it avoids, so the sum over all gateways comes out right without
//! messages. Retries avoid only zones with a share of 0: only servers there may know a request's key.

use crate::api::*;
use crate::context::Context;
use crate::request::Request;
use crate::roster::Fleet;
use std::collections::{BTreeMap, BTreeSet};

/// Zone shares, and the zones that the present request avoids.
#[derive(Debug, Default)]
pub(crate) struct Zones {
    parts: BTreeMap<ZoneId, ZoneShare>,
    excluded: BTreeSet<ZoneId>,
}

impl Zones {
    /// Replaces all shares. Zones that are not named have their whole share.
    pub(crate) fn update(&mut self, parts: Vec<(ZoneId, ZoneShare)>) {
        let sound = |(_, part): &(ZoneId, ZoneShare)| part.weight.is_finite() && part.weight < 1.0;
        self.parts = parts.into_iter().filter(sound).collect();
        self.excluded.clear();
    }

    /// Whether the present request avoids this zone.
    pub(crate) fn is_excluded(&self, zone: ZoneId) -> bool {
        self.excluded.contains(&zone)
    }
}

impl Fleet {
    /// Draws the zones that a request avoids. A zone whose share `yields` is used where no other can serve.
    pub(crate) fn draw_zones(&mut self, cx: &mut Context, r: &Request) {
        if self.zones.parts.is_empty() {
            return;
        }
        let first = r.attempts.is_empty();
        self.zones.excluded.clear();
        for (zone, part) in &self.zones.parts {
            let least = if first { cx.rng.f64() } else { 0.0 };
            if part.weight <= least {
                self.zones.excluded.insert(*zone);
            }
        }
        let mut usable = self.servers.values().filter(|s| s.listed && self.healthy(cx, s));
        if !usable.any(|s| !self.zones.is_excluded(s.zone)) {
            let parts = &self.zones.parts;
            self.zones.excluded.retain(|zone| parts.get(zone).is_some_and(|part| !part.yields));
        }
    }

    /// Whether retries must avoid this zone, whatever is drawn.
    pub(crate) fn is_drained(&self, zone: ZoneId) -> bool {
        self.zones.parts.get(&zone).is_some_and(|part| part.weight <= 0.0 && !part.yields)
    }
}
