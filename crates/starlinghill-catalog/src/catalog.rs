//! A registry's own list.

use crate::{BackendState, Gateway, Instance, Liveness, Observation};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

/// The most backends and gateways that are kept. Guards memory: anybody may call.
const MOST: usize = 20_000;
/// How long a backend is remembered after it was last heard of: longer than any beat of one that is gone may be on its way.
const TOMB: Duration = Duration::from_secs(180);
/// A gateway that has not asked for so long is one no more. Long: a count that is too small doubles shares.
const AWAY: Duration = Duration::from_secs(30);
/// The same of one that said that it leaves: it asks twice a second.
const LEFT: Duration = Duration::from_millis(1_200);

#[derive(Debug)]
struct Member {
    gateway: Gateway,
    heard: Duration,
    /// It carries traffic; else it has left, or was not heard of for long, and is only remembered.
    here: bool,
    /// It said that it leaves. Until it asks no more it still carries what it has, and what comes.
    leaving: bool,
    changed: u64,
}

#[derive(Debug)]
struct Entry {
    instance: Instance,
    heard: Duration,
    liveness: Liveness,
    changed: u64,
}

/// A registry's list.
#[derive(Debug)]
pub struct Catalog {
    beat: Duration,
    backends: BTreeMap<String, Entry>,
    gateways: BTreeMap<IpAddr, Member>,
    seq: u64,
    /// The last change that must be told at once.
    urgent: u64,
}

/// What is new since a number.
#[derive(Debug, Default)]
pub struct CatalogChanges {
    /// Backends.
    pub backends: Vec<Observation>,
    /// Gateways that changed, and whether they carry traffic now.
    pub gateways: Vec<(Gateway, bool)>,
}

impl Catalog {
    /// An empty one.
    pub fn new(beat: Duration) -> Catalog {
        let (backends, gateways) = (BTreeMap::new(), BTreeMap::new());
        Catalog { beat, backends, gateways, seq: 0, urgent: 0 }
    }

    /// The number of the last change. Callers number changes of their own with [`Catalog::number`].
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// The number of the last change that must be told at once. That a gateway came or went can wait: guards against telling
    /// hundreds of them of each one when many are started again, over links that have other things to carry.
    pub fn urgent_seq(&self) -> u64 {
        self.urgent
    }

    /// A number for a change that must be told at once.
    pub fn next_urgent_seq(&mut self) -> u64 {
        self.seq += 1;
        self.urgent = self.seq;
        self.seq
    }

    /// A backend has said something, here or at another registry, so long ago. Returns whether that is news.
    pub fn record_backend(&mut self, now: Duration, instance: Instance, ago: Duration) -> bool {
        let heard = now.saturating_sub(ago);
        match self.backends.get_mut(&instance.id) {
            None => {
                if self.backends.len() >= MOST {
                    return false;
                }
                let changed = self.next_urgent_seq();
                let id = instance.id.clone();
                // Another registry may tell of one that has been silent for long: nobody is to take it for one that serves
                // until the next tick.
                let liveness = Liveness::of(instance.state, ago, self.beat);
                self.backends.insert(id, Entry { instance, heard, liveness, changed });
                true
            }
            Some(entry) => {
                entry.heard = entry.heard.max(heard);
                let state = entry.instance.state.max(instance.state);
                let newer = instance.beat_count > entry.instance.beat_count;
                let since = now.saturating_sub(entry.heard);
                let liveness = if newer { Liveness::of(state, since, self.beat) } else { entry.liveness };
                let news = state != entry.instance.state || liveness != entry.liveness;
                let moved = newer
                    && state != BackendState::Gone
                    && (instance.address, &instance.service)
                        != (entry.instance.address, &entry.instance.service);
                if newer {
                    // What a beat says of warmth is reckoned anew each time and shifts a little; that is no news.
                    let warm_at = entry.instance.warm_at_us;
                    entry.instance = Instance { warm_at_us: warm_at, ..instance };
                }
                entry.instance.state = state;
                entry.liveness = liveness;
                if news || moved {
                    self.seq += 1;
                    self.urgent = self.seq;
                    entry.changed = self.seq;
                }
                news || moved
            }
        }
    }

    /// A backend has left. One that is not known here is noted all the same: gateways may know it, by what this registry
    /// knew before it was started again, and its word counts once it is acknowledged. Returns whether it was known.
    pub fn mark_gone(&mut self, now: Duration, id: &str) -> bool {
        let known = self.backends.get(id).map(|entry| entry.instance.clone());
        let was_known = known.is_some();
        let instance = Instance { state: BackendState::Gone, ..known.unwrap_or_else(|| Instance::gone(id)) };
        self.record_backend(now, instance, Duration::ZERO);
        was_known
    }

    /// A backend by its id.
    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.backends.get(id).map(|entry| &entry.instance)
    }

    /// A gateway asks, or another registry says that it did so long ago.
    pub fn record_gateway(&mut self, now: Duration, gateway: Gateway, ago: Duration) {
        let heard = now.saturating_sub(ago);
        let room = self.gateways.len() < MOST;
        let new = match self.gateways.get_mut(&gateway.ip) {
            None => room,
            // One that said that it leaves is not back because another registry heard of it before.
            Some(known) if known.gateway == gateway && (known.here || known.heard >= heard) => {
                known.heard = known.heard.max(heard);
                return;
            }
            // Of two lives, the one heard of last.
            Some(known) => known.heard <= heard,
        };
        if new {
            self.seq += 1;
            let (here, leaving, changed) = (true, false, self.seq);
            self.gateways.insert(gateway.ip, Member { gateway, heard, here, leaving, changed });
        }
    }

    /// A gateway says that it leaves. It is one until it has asked nothing for a moment. Guards against one that takes
    /// clients for seconds after SIGTERM and is refused by the count meanwhile.
    pub fn mark_gateway_leaving(&mut self, now: Duration, gateway: &Gateway) {
        let known = self
            .gateways
            .get_mut(&gateway.ip)
            .filter(|known| known.gateway.incarnation == gateway.incarnation);
        if let Some(known) = known {
            (known.heard, known.leaving) = (now, true);
        }
    }

    /// Notes who was not heard of for long. Returns the backends that are lost now.
    pub fn tick(&mut self, now: Duration) -> Vec<String> {
        let mut seq = self.seq;
        let mut lost = Vec::new();
        for entry in self.backends.values_mut() {
            let liveness = Liveness::of(entry.instance.state, now.saturating_sub(entry.heard), self.beat);
            if liveness > entry.liveness {
                entry.liveness = liveness;
                if liveness == Liveness::Lost {
                    lost.push(entry.instance.id.clone());
                }
                seq += 1;
                self.urgent = seq;
                entry.changed = seq;
            }
        }
        self.backends.retain(|_, entry| now.saturating_sub(entry.heard) < TOMB);
        for member in self.gateways.values_mut() {
            let away = if member.leaving { LEFT } else { AWAY };
            if member.here && now.saturating_sub(member.heard) >= away {
                member.here = false;
                seq += 1;
                member.changed = seq;
            }
        }
        self.gateways.retain(|_, member| now.saturating_sub(member.heard) < TOMB);
        self.seq = seq;
        lost
    }

    /// What has changed since that number.
    pub fn changes_since(&self, seq: u64) -> CatalogChanges {
        // Mostly there is nothing: each gateway asks twice a second, and must not cost a look at all backends.
        if seq >= self.seq {
            return CatalogChanges::default();
        }
        let new = self.backends.values().filter(|entry| entry.changed > seq);
        let backends = new
            .map(|entry| Observation { instance: entry.instance.clone(), liveness: entry.liveness })
            .collect();
        let members = self.gateways.values().filter(|member| member.changed > seq);
        let gateways = members.map(|member| (member.gateway.clone(), member.here)).collect();
        CatalogChanges { backends, gateways }
    }

    /// The gateways, in the order of their addresses.
    pub fn gateways(&self) -> impl Iterator<Item = &Gateway> {
        self.gateways.values().filter(|member| member.here).map(|member| &member.gateway)
    }

    /// All backends that were heard of within that time, and how long ago: for another registry.
    pub fn backends_heard_within(&self, now: Duration, within: Duration) -> Vec<(Instance, u64)> {
        let ago = |entry: &Entry| now.saturating_sub(entry.heard);
        let recent = self.backends.values().filter(|entry| ago(entry) <= within);
        recent.map(|entry| (entry.instance.clone(), ago(entry).as_millis() as u64)).collect()
    }

    /// All backends that are not gone, and how long ago each was heard of, in milliseconds.
    pub fn present_backends(&self, now: Duration) -> Vec<(Observation, u64)> {
        let here = self.backends.values().filter(|entry| entry.instance.state != BackendState::Gone);
        let told = |entry: &Entry| {
            let ago = now.saturating_sub(entry.heard).as_millis() as u64;
            (Observation { instance: entry.instance.clone(), liveness: entry.liveness }, ago)
        };
        here.map(told).collect()
    }

    /// All gateways that asked within that time, likewise.
    pub fn gateways_heard_within(&self, now: Duration, within: Duration) -> Vec<(Gateway, u64)> {
        let ago = |member: &Member| now.saturating_sub(member.heard);
        let recent = self.gateways.values().filter(|member| member.here && ago(member) <= within);
        recent.map(|member| (member.gateway.clone(), ago(member).as_millis() as u64)).collect()
    }
}
