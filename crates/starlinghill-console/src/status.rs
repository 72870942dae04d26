//! How things stand over all registries, as one picture, and what changed since the last one.

use starlinghill_catalog::{BackendState, Instance, Liveness};
use starlinghill_config_model::ItemKind;
use starlinghill_quota_counter::BackendLoad;
use starlinghill_registry::wire::RegistryStatus;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::{IpAddr, SocketAddr};

/// From here on a backend is called slow, and ill.
const SLOW: f32 = 2.0;
const ILL: f32 = 0.25;
/// Events that are kept.
const EVENTS: usize = 200;

/// A gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct Gateway {
    /// Its name.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// When it was last heard of, milliseconds ago.
    pub ago_ms: u64,
    /// The life of its process.
    pub life: u64,
    /// The items in force there are the newest.
    pub current: bool,
}

/// The backends of a service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Service {
    /// Those that take work.
    pub ready: BTreeSet<String>,
    /// Those that finish what they have.
    pub draining: BTreeSet<String>,
    /// Those of whom nothing was heard for some beats.
    pub silent: BTreeSet<String>,
    /// What all gateways have out there, and the requests that can be worked on at once.
    pub out: u32,
    /// The same.
    pub places: u32,
    /// Those that are twice as slow as the rest, and those where a quarter of attempts come to nothing.
    pub slow: BTreeSet<String>,
    /// The same.
    pub ill: BTreeSet<String>,
}

/// One picture.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Picture {
    /// Registries, and whether each answers and hears a majority of stores.
    pub racks: Vec<(SocketAddr, Option<bool>)>,
    /// Gateways by address.
    pub gateways: BTreeMap<IpAddr, Gateway>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Items by kind and name: version, and whether they stand.
    pub items: BTreeMap<(ItemKind, String), (u64, bool)>,
    /// Who keeps the count, its term, gateways that it does not hear.
    pub holder: Option<(IpAddr, u64, u64)>,
    /// Stores: what they hold, the rate, what is asked for a second.
    pub stores: Vec<(u64, f64, f64, f64)>,
}

impl Picture {
    /// Of what registries said.
    pub fn of(statuses: &[(SocketAddr, Option<RegistryStatus>)]) -> Picture {
        let mut picture = Picture {
            racks: statuses.iter().map(|(at, status)| (*at, status.as_ref().map(|s| s.fresh))).collect(),
            ..Picture::default()
        };
        let all = || statuses.iter().filter_map(|(_, status)| status.as_ref());
        for status in all() {
            for (kind, name, version, stands) in &status.items {
                let newest = picture.items.entry((*kind, name.clone())).or_insert((*version, *stands));
                if newest.0 < *version {
                    *newest = (*version, *stands);
                }
            }
            if let Some((term, ip)) = status.holder {
                if picture.holder.is_none_or(|(_, known, _)| known < term) {
                    picture.holder = Some((ip, term, 0));
                }
            }
        }
        // The most items are with who has the newest of all.
        let newest = all().find(|status| {
            status.items.len() == picture.items.len()
                && status.items.iter().all(|(kind, name, version, _)| {
                    picture.items.get(&(*kind, name.clone())).is_some_and(|(known, _)| known == version)
                })
        });
        let digest = newest.map(|status| status.digest);
        for status in all() {
            for (gateway, ago_ms, in_force) in &status.gateways {
                let known = picture.gateways.get(&gateway.ip);
                if known.is_none_or(|known| *ago_ms < known.ago_ms) {
                    let current = Some(*in_force) == digest;
                    let (node, zone, life) =
                        (gateway.node.clone(), gateway.zone.clone(), gateway.incarnation);
                    let seen = Gateway { node, zone, ago_ms: *ago_ms, life, current };
                    picture.gateways.insert(gateway.ip, seen);
                }
            }
            for (told, _) in &status.backends {
                let service = picture.services.entry(told.instance.service.clone()).or_default();
                let seen_as = match (told.instance.state, told.liveness) {
                    (BackendState::Gone, _) | (_, Liveness::Lost) => continue,
                    (BackendState::Draining, _) => &mut service.draining,
                    (BackendState::Ready, Liveness::Silent) => &mut service.silent,
                    (BackendState::Ready, Liveness::Alive) => &mut service.ready,
                };
                seen_as.insert(told.instance.id.clone());
            }
            if let Some(count) = &status.count {
                let names = status.backends.iter().map(|(told, _)| (told.instance.id_hash(), &told.instance));
                picture.see(&names.collect(), &count.rooms);
                picture.stores = count.stores.clone();
                picture.holder.iter_mut().for_each(|holder| holder.2 = count.silent);
            }
        }
        for service in picture.services.values_mut() {
            // A drain that one knows of holds; silence only where nobody hears.
            service.ready.retain(|id| !service.draining.contains(id));
            service.silent.retain(|id| !service.ready.contains(id) && !service.draining.contains(id));
        }
        picture
    }

    /// How backends do, as whoever keeps the count sees it.
    fn see(&mut self, instances: &HashMap<u64, &Instance>, rooms: &[BackendLoad]) {
        for room in rooms {
            let Some(instance) = instances.get(&room.backend) else { continue };
            let service = self.services.entry(instance.service.clone()).or_default();
            service.out += room.outstanding;
            service.places += room.capacity;
            if room.slowdown >= SLOW {
                service.slow.insert(instance.id.clone());
            }
            if room.failure_rate >= ILL {
                service.ill.insert(instance.id.clone());
            }
        }
    }

    /// What is other than it was, a line each.
    pub fn changes(&self, before: &Picture) -> Vec<String> {
        let mut said = Vec::new();
        for ((at, now), (_, was)) in self.racks.iter().zip(&before.racks) {
            if now.is_some() != was.is_some() {
                said.push(format!("registry {at} {}", if now.is_some() { "answers" } else { "is silent" }));
            }
        }
        for (ip, gateway) in &self.gateways {
            match before.gateways.get(ip) {
                None => said.push(format!("gateway {} is new", gateway.node)),
                Some(was) if was.life != gateway.life => {
                    said.push(format!("gateway {} has started anew", gateway.node));
                }
                Some(_) => {}
            }
        }
        for (ip, gateway) in &before.gateways {
            if !self.gateways.contains_key(ip) {
                said.push(format!("gateway {} is gone", gateway.node));
            }
        }
        let none = Service::default();
        for (name, service) in &self.services {
            let was = before.services.get(name).unwrap_or(&none);
            let new = service.draining.difference(&was.draining);
            said.extend(new.map(|id| format!("{name}: {id} drains")));
            let new = service.silent.difference(&was.silent);
            said.extend(new.map(|id| format!("{name}: {id} is silent")));
            let new = service.ill.difference(&was.ill);
            said.extend(new.map(|id| format!("{name}: attempts at {id} come to nothing")));
            let new = service.slow.difference(&was.slow);
            said.extend(new.map(|id| format!("{name}: {id} is slow")));
            let new = service.ready.difference(&was.ready);
            said.extend(new.map(|id| format!("{name}: {id} takes work")));
        }
        for ((kind, name), (version, stands)) in &self.items {
            if before.items.get(&(*kind, name.clone())) != Some(&(*version, *stands)) {
                let how = if *stands { "set" } else { "dropped" };
                said.push(format!("{kind:?} {name} {how} in r{version}"));
            }
        }
        if self.holder.map(|h| (h.0, h.1)) != before.holder.map(|h| (h.0, h.1)) {
            if let Some((ip, term, _)) = self.holder {
                said.push(format!("the count is kept at {ip}, term {term}"));
            }
        }
        said
    }
}

/// Events as they came, the newest first.
#[derive(Debug, Default)]
pub struct Events {
    lines: VecDeque<String>,
}

impl Events {
    /// Adds some, with the second at which they were seen.
    pub fn add(&mut self, at: u64, lines: Vec<String>) {
        for line in lines {
            self.lines.push_front(format!("{:>5} s  {line}", at));
        }
        self.lines.truncate(EVENTS);
    }

    /// All of them.
    pub fn lines(&self) -> impl Iterator<Item = &String> {
        self.lines.iter()
    }
}
