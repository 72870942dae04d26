//! The catalog of one registry.

use crate::{BackendState, Gateway, Instance, Liveness, Observation};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

/// The most backends, and the most gateways, that are kept. Bounds memory, since anybody may send heartbeats.
const MAX_ENTRIES: usize = 20_000;
/// How long an entry is remembered after it was last heard. Longer than a heartbeat of a gone backend can be delayed, so
/// that a late one does not bring it back.
const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(180);
/// A gateway that has sent no request for this long no longer counts. Long, because a count that is too low makes the
/// quota shares of the others too large.
const GATEWAY_TIMEOUT: Duration = Duration::from_secs(30);
/// The same for a gateway that has announced its leave. A gateway sends two requests a second.
const LEAVING_GATEWAY_TIMEOUT: Duration = Duration::from_millis(1_200);

#[derive(Debug)]
struct GatewayEntry {
    gateway: Gateway,
    /// When it last sent a request to a registry.
    heard_at: Duration,
    /// When another gateway last heard it. While it is cut off from all registries it still carries traffic.
    seen_at: Duration,
    /// Whether it carries traffic. If not, it has left or timed out, and is only remembered.
    is_present: bool,
    /// It has announced its leave. While it still sends requests it also carries traffic.
    is_leaving: bool,
    /// The sequence number of its last change.
    changed: u64,
}

#[derive(Debug)]
struct BackendEntry {
    instance: Instance,
    heard_at: Duration,
    liveness: Liveness,
    /// The sequence number of its last change.
    changed: u64,
}

/// The backends and gateways that one registry knows.
#[derive(Debug)]
pub struct Catalog {
    beat_interval: Duration,
    backends: BTreeMap<String, BackendEntry>,
    gateways: BTreeMap<IpAddr, GatewayEntry>,
    seq: u64,
    urgent_seq: u64,
}

/// The entries that changed after a sequence number.
#[derive(Debug, Default)]
pub struct CatalogChanges {
    /// The changed backends.
    pub backends: Vec<Observation>,
    /// The changed gateways, each with whether it carries traffic now.
    pub gateways: Vec<(Gateway, bool)>,
}

impl Catalog {
    /// An empty catalog of backends that send a heartbeat every `beat_interval`.
    pub fn new(beat_interval: Duration) -> Catalog {
        let (backends, gateways) = (BTreeMap::new(), BTreeMap::new());
        Catalog { beat_interval, backends, gateways, seq: 0, urgent_seq: 0 }
    }

    /// The sequence number of the last change. Callers number further changes of their own with
    /// [`Catalog::next_urgent_seq`].
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// The sequence number of the last change that must be sent at once. Changes of gateways can wait for the next
    /// request: if many gateways restart, sending each change to hundreds of others at once would load the links.
    pub fn urgent_seq(&self) -> u64 {
        self.urgent_seq
    }

    /// A new sequence number for a change that must be sent at once.
    pub fn next_urgent_seq(&mut self) -> u64 {
        self.seq += 1;
        self.urgent_seq = self.seq;
        self.seq
    }

    /// Takes in a backend's heartbeat, which arrived here or at another registry `ago`. Returns whether this changes the
    /// entry of the backend.
    pub fn record_backend(&mut self, now: Duration, instance: Instance, ago: Duration) -> bool {
        let heard_at = now.saturating_sub(ago);
        match self.backends.get_mut(&instance.id) {
            None => {
                if self.backends.len() >= MAX_ENTRIES {
                    return false;
                }
                let changed = self.next_urgent_seq();
                let id = instance.id.clone();
                // Another registry may report a backend that has been silent for long. Without its true liveness here,
                // gateways would send requests to it until the next tick.
                let liveness = Liveness::of(instance.state, ago, self.beat_interval);
                self.backends.insert(id, BackendEntry { instance, heard_at, liveness, changed });
                true
            }
            Some(entry) => {
                entry.heard_at = entry.heard_at.max(heard_at);
                let state = entry.instance.state.max(instance.state);
                let is_newer = instance.beat_count > entry.instance.beat_count;
                let since_heard = now.saturating_sub(entry.heard_at);
                let liveness = if is_newer {
                    Liveness::of(state, since_heard, self.beat_interval)
                } else {
                    entry.liveness
                };
                let has_changed = state != entry.instance.state || liveness != entry.liveness;
                let has_moved = is_newer
                    && state != BackendState::Gone
                    && (instance.address, &instance.service)
                        != (entry.instance.address, &entry.instance.service);
                if is_newer {
                    // The warm-up time is computed anew for each heartbeat and varies a little. The first one is kept,
                    // since such a variation is no change.
                    let warm_at_us = entry.instance.warm_at_us;
                    entry.instance = Instance { warm_at_us, ..instance };
                }
                entry.instance.state = state;
                entry.liveness = liveness;
                if has_changed || has_moved {
                    self.seq += 1;
                    self.urgent_seq = self.seq;
                    entry.changed = self.seq;
                }
                has_changed || has_moved
            }
        }
    }

    /// Marks a backend as gone. An unknown one is recorded too: this registry may have forgotten it in a restart while
    /// gateways still send requests to it, and a leave that was acknowledged must take effect. Returns whether the
    /// backend was known.
    pub fn mark_gone(&mut self, now: Duration, id: &str) -> bool {
        let known = self.backends.get(id).map(|entry| entry.instance.clone());
        let was_known = known.is_some();
        let instance = Instance { state: BackendState::Gone, ..known.unwrap_or_else(|| Instance::gone(id)) };
        self.record_backend(now, instance, Duration::ZERO);
        was_known
    }

    /// The backend with this id.
    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.backends.get(id).map(|entry| &entry.instance)
    }

    /// Takes in that a gateway sent a request, here or to another registry `ago`.
    pub fn record_gateway(&mut self, now: Duration, gateway: Gateway, ago: Duration) {
        let heard_at = now.saturating_sub(ago);
        let has_room = self.gateways.len() < MAX_ENTRIES;
        let is_new = match self.gateways.get_mut(&gateway.ip) {
            None => has_room,
            // A gateway that has left does not return because another registry heard it before that.
            Some(known) if known.gateway == gateway && (known.is_present || known.heard_at >= heard_at) => {
                known.heard_at = known.heard_at.max(heard_at);
                return;
            }
            // Of two incarnations, the one that was heard last counts.
            Some(known) => known.heard_at <= heard_at,
        };
        if is_new {
            self.seq += 1;
            let (is_present, is_leaving, changed) = (true, false, self.seq);
            let entry =
                GatewayEntry { gateway, heard_at, seen_at: heard_at, is_present, is_leaving, changed };
            self.gateways.insert(entry.gateway.ip, entry);
        }
    }

    /// Takes in that another gateway heard a gateway, or knew of it. It may be cut off from all registries, and all of them
    /// may have started again meanwhile; it goes on by its shares of the quotas, so it has to be counted.
    pub fn record_reported_gateway(&mut self, now: Duration, ip: IpAddr, incarnation: u64, ago: Duration) {
        match self.gateways.get_mut(&ip) {
            Some(known) if known.gateway.incarnation == incarnation => {
                known.seen_at = known.seen_at.max(now.saturating_sub(ago));
            }
            // A gateway that has left is still remembered here, and does not return.
            Some(_) => {}
            None if ago < GATEWAY_TIMEOUT => {
                let gateway = Gateway { ip, incarnation, zone: String::new(), node: String::new() };
                self.record_gateway(now, gateway, ago);
            }
            None => {}
        }
    }

    /// Takes in that a gateway announces its leave. It counts as a gateway until it has sent no request for a moment: a
    /// gateway takes client requests for seconds after SIGTERM, and the quota counter would refuse its draws if it no
    /// longer counted.
    pub fn mark_gateway_leaving(&mut self, now: Duration, gateway: &Gateway) {
        let known = self.gateways.get_mut(&gateway.ip);
        let known = known.filter(|known| known.gateway.incarnation == gateway.incarnation);
        if let Some(known) = known {
            (known.heard_at, known.is_leaving) = (now, true);
        }
    }

    /// Updates the liveness of all entries. Returns the ids of the backends that became lost.
    pub fn tick(&mut self, now: Duration) -> Vec<String> {
        let mut seq = self.seq;
        let mut lost = Vec::new();
        for entry in self.backends.values_mut() {
            let since_heard = now.saturating_sub(entry.heard_at);
            let liveness = Liveness::of(entry.instance.state, since_heard, self.beat_interval);
            if liveness > entry.liveness {
                entry.liveness = liveness;
                if liveness == Liveness::Lost {
                    lost.push(entry.instance.id.clone());
                }
                seq += 1;
                self.urgent_seq = seq;
                entry.changed = seq;
            }
        }
        self.backends.retain(|_, entry| now.saturating_sub(entry.heard_at) < TOMBSTONE_LIFETIME);
        for entry in self.gateways.values_mut() {
            let (last, timeout) = match entry.is_leaving {
                true => (entry.heard_at, LEAVING_GATEWAY_TIMEOUT),
                false => (entry.heard_at.max(entry.seen_at), GATEWAY_TIMEOUT),
            };
            if entry.is_present && now.saturating_sub(last) >= timeout {
                entry.is_present = false;
                seq += 1;
                entry.changed = seq;
            }
        }
        self.gateways
            .retain(|_, entry| now.saturating_sub(entry.heard_at.max(entry.seen_at)) < TOMBSTONE_LIFETIME);
        self.seq = seq;
        lost
    }

    /// The entries that changed after a sequence number.
    pub fn changes_since(&self, seq: u64) -> CatalogChanges {
        // Each gateway asks twice a second, mostly without any change. That must not cost a scan of all backends.
        if seq >= self.seq {
            return CatalogChanges::default();
        }
        let backends = self.backends.values().filter(|entry| entry.changed > seq);
        let observation =
            |entry: &BackendEntry| Observation { instance: entry.instance.clone(), liveness: entry.liveness };
        let gateways = self.gateways.values().filter(|entry| entry.changed > seq);
        CatalogChanges {
            backends: backends.map(observation).collect(),
            gateways: gateways.map(|entry| (entry.gateway.clone(), entry.is_present)).collect(),
        }
    }

    /// The gateways that carry traffic, ordered by address.
    pub fn gateways(&self) -> impl Iterator<Item = &Gateway> {
        self.gateways.values().filter(|entry| entry.is_present).map(|entry| &entry.gateway)
    }

    /// The backends heard within a time, for another registry, and how many ms ago each was heard.
    pub fn backends_heard_within(&self, now: Duration, within: Duration) -> Vec<(Instance, u64)> {
        let ago = |entry: &BackendEntry| now.saturating_sub(entry.heard_at);
        let recent = self.backends.values().filter(|entry| ago(entry) <= within);
        recent.map(|entry| (entry.instance.clone(), ago(entry).as_millis() as u64)).collect()
    }

    /// The backends that have not left, and how many ms ago each was heard.
    pub fn present_backends(&self, now: Duration) -> Vec<(Observation, u64)> {
        let present = self.backends.values().filter(|entry| entry.instance.state != BackendState::Gone);
        let observation = |entry: &BackendEntry| {
            let ago_ms = now.saturating_sub(entry.heard_at).as_millis() as u64;
            (Observation { instance: entry.instance.clone(), liveness: entry.liveness }, ago_ms)
        };
        present.map(observation).collect()
    }

    /// The gateways that sent a request within a time, for another registry, and how many ms ago each did.
    pub fn gateways_heard_within(&self, now: Duration, within: Duration) -> Vec<(Gateway, u64)> {
        let ago = |entry: &GatewayEntry| now.saturating_sub(entry.heard_at);
        let recent = self.gateways.values().filter(|entry| entry.is_present && ago(entry) <= within);
        recent.map(|entry| (entry.gateway.clone(), ago(entry).as_millis() as u64)).collect()
    }
}
