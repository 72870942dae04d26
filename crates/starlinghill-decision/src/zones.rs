//! Zones by order: the part of its work that each zone gets, as the group has decided it for all gateways.
//! It can hold a gateway back from a zone, and never lead it past its own list, health, or what cold servers
//! bear.
//!
//! A zone's part is drawn by chance for each request, so that all gateways together come to it without a
//! word. A repeat is kept from what is out alone: a keyed one may have no other servers that know its key.

use crate::api::*;
use crate::context::Context;
use crate::request::Request;
use crate::roster::Fleet;
use std::collections::{BTreeMap, BTreeSet};

/// The parts, and which zones the present request is kept from.
#[derive(Debug, Default)]
pub(crate) struct Zones {
    parts: BTreeMap<ZoneId, ZoneShare>,
    shut: BTreeSet<ZoneId>,
}

impl Zones {
    /// New parts hold from now on. Zones that are not named have their whole part.
    pub(crate) fn follow(&mut self, parts: Vec<(ZoneId, ZoneShare)>) {
        let sound = |(_, part): &(ZoneId, ZoneShare)| part.weight.is_finite() && part.weight < 1.0;
        self.parts = parts.into_iter().filter(sound).collect();
        self.shut.clear();
    }

    /// The present request is kept from this zone.
    pub(crate) fn is_shut(&self, zone: ZoneId) -> bool {
        self.shut.contains(&zone)
    }
}

impl Fleet {
    /// Draws which zones a request is kept from. A zone whose part yields opens where no other one can serve.
    pub(crate) fn draw_zones(&mut self, cx: &mut Context, r: &Request) {
        if self.zones.parts.is_empty() {
            return;
        }
        let first = r.attempts.is_empty();
        self.zones.shut.clear();
        for (zone, part) in &self.zones.parts {
            let least = if first { cx.rng.f64() } else { 0.0 };
            if part.weight <= least {
                self.zones.shut.insert(*zone);
            }
        }
        let mut usable = self.servers.values().filter(|s| s.listed && self.healthy(cx, s));
        if !usable.any(|s| !self.zones.is_shut(s.zone)) {
            let parts = &self.zones.parts;
            self.zones.shut.retain(|zone| parts.get(zone).is_some_and(|part| !part.yields));
        }
    }

    /// A repeat may not go to this zone, whatever is drawn.
    pub(crate) fn is_out(&self, zone: ZoneId) -> bool {
        self.zones.parts.get(&zone).is_some_and(|part| part.weight <= 0.0 && !part.yields)
    }
}
