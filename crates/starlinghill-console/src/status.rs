//! Merges the status of all registries into one overview of the system, and describes what changed between two overviews.

use starlinghill_catalog::{BackendState, Instance, Liveness};
use starlinghill_config_model::ItemKind;
use starlinghill_quota_counter::BackendLoad;
use starlinghill_registry::wire::RegistryStatus;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::{IpAddr, SocketAddr};

/// A backend is shown as slow from this many times its service's usual latency.
const SLOW_FACTOR: f32 = 2.0;
/// A backend is shown as failing from this fraction of failed attempts.
const FAILING_FRACTION: f32 = 0.25;
/// How many lines the event log keeps.
const MAX_EVENTS: usize = 200;

/// A gateway, as the registry that heard from it last reports it.
#[derive(Debug, Clone, PartialEq)]
pub struct Gateway {
    /// The name of its machine.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Milliseconds since a registry heard from it.
    pub ago_ms: u64,
    /// Identifies the run of its process: another value means that it has restarted.
    pub process_id: u64,
    /// Whether it applies the newest items.
    pub current: bool,
}

/// The backends of one service. Sets hold the backends' ids.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Service {
    /// Backends that take new work.
    pub ready: BTreeSet<String>,
    /// Backends that only finish the work they have.
    pub draining: BTreeSet<String>,
    /// Backends that have missed some heartbeats, and are not yet considered lost.
    pub silent: BTreeSet<String>,
    /// Requests that all gateways have outstanding at these backends.
    pub outstanding: u32,
    /// Requests that these backends can work on at once.
    pub capacity: u32,
    /// Backends at least [`SLOW_FACTOR`] times as slow as their service.
    pub slow: BTreeSet<String>,
    /// Backends at which at least [`FAILING_FRACTION`] of the recent attempts failed.
    pub failing: BTreeSet<String>,
}

/// The state of the system, merged from the status of all registries.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Overview {
    /// Each registry: `None` if it does not answer, else whether its store recently heard from a majority of stores.
    pub registries: Vec<(SocketAddr, Option<bool>)>,
    /// Gateways by address.
    pub gateways: BTreeMap<IpAddr, Gateway>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Items by kind and name: the newest version, and whether the item is in force (`false`: removed).
    pub items: BTreeMap<(ItemKind, String), (u64, bool)>,
    /// The machine that runs the quota counter, its term, and the number of gateways that it does not hear from.
    pub counter: Option<(IpAddr, u64, u64)>,
    /// Token buckets of the quota counter: name, tokens left, rate limit per second, recent demand per second.
    pub buckets: Vec<(u64, f64, f64, f64)>,
}

impl Overview {
    /// Merges the status of all registries; `None` stands for a registry that did not answer.
    pub fn of(statuses: &[(SocketAddr, Option<RegistryStatus>)]) -> Overview {
        let mut overview = Overview {
            registries: statuses
                .iter()
                .map(|(at, status)| (*at, status.as_ref().map(|s| s.has_quorum_contact)))
                .collect(),
            ..Overview::default()
        };
        let all = || statuses.iter().filter_map(|(_, status)| status.as_ref());
        for status in all() {
            for (kind, name, version, in_force) in &status.items {
                let newest = overview.items.entry((*kind, name.clone())).or_insert((*version, *in_force));
                if newest.0 < *version {
                    *newest = (*version, *in_force);
                }
            }
            if let Some((term, ip)) = status.counter_holder {
                if overview.counter.is_none_or(|(_, known, _)| known < term) {
                    overview.counter = Some((ip, term, 0));
                }
            }
        }
        // A registry that has the newest version of every item. Its digest tells which gateways are current.
        let newest = all().find(|status| {
            status.items.len() == overview.items.len()
                && status.items.iter().all(|(kind, name, version, _)| {
                    overview.items.get(&(*kind, name.clone())).is_some_and(|(known, _)| known == version)
                })
        });
        let digest = newest.map(|status| status.items_digest);
        for status in all() {
            for (gateway, ago_ms, applied_digest) in &status.gateways {
                let known = overview.gateways.get(&gateway.ip);
                if known.is_none_or(|known| *ago_ms < known.ago_ms) {
                    let current = Some(*applied_digest) == digest;
                    let (node, zone, process_id) =
                        (gateway.node.clone(), gateway.zone.clone(), gateway.incarnation);
                    let latest = Gateway { node, zone, ago_ms: *ago_ms, process_id, current };
                    overview.gateways.insert(gateway.ip, latest);
                }
            }
            for (seen, _) in &status.backends {
                let service = overview.services.entry(seen.instance.service.clone()).or_default();
                let ids = match (seen.instance.state, seen.liveness) {
                    (BackendState::Gone, _) | (_, Liveness::Lost) => continue,
                    (BackendState::Draining, _) => &mut service.draining,
                    (BackendState::Ready, Liveness::Silent) => &mut service.silent,
                    (BackendState::Ready, Liveness::Alive) => &mut service.ready,
                };
                ids.insert(seen.instance.id.clone());
            }
            if let Some(count) = &status.counter {
                let instances =
                    status.backends.iter().map(|(seen, _)| (seen.instance.id_hash(), &seen.instance));
                overview.add_loads(&instances.collect(), &count.backend_loads);
                overview.buckets = count.token_buckets.clone();
                overview.counter.iter_mut().for_each(|counter| counter.2 = count.silent_gateways);
            }
        }
        for service in overview.services.values_mut() {
            // A drain that any registry knows of is in effect. A backend is silent only if no registry hears from it.
            service.ready.retain(|id| !service.draining.contains(id));
            service.silent.retain(|id| !service.ready.contains(id) && !service.draining.contains(id));
        }
        overview
    }

    /// Adds the loads that the quota counter reports. Skips backends that its registry does not know.
    fn add_loads(&mut self, instances: &HashMap<u64, &Instance>, loads: &[BackendLoad]) {
        for load in loads {
            let Some(instance) = instances.get(&load.backend) else { continue };
            let service = self.services.entry(instance.service.clone()).or_default();
            service.outstanding += load.outstanding;
            service.capacity += load.capacity;
            if load.slowdown >= SLOW_FACTOR {
                service.slow.insert(instance.id.clone());
            }
            if load.failure_rate >= FAILING_FRACTION {
                service.failing.insert(instance.id.clone());
            }
        }
    }

    /// Describes what changed since an earlier overview, one line for each change.
    pub fn changes(&self, before: &Overview) -> Vec<String> {
        let mut lines = Vec::new();
        for ((at, now), (_, was)) in self.registries.iter().zip(&before.registries) {
            if now.is_some() != was.is_some() {
                lines.push(format!("registry {at} {}", if now.is_some() { "answers" } else { "is silent" }));
            }
        }
        for (ip, gateway) in &self.gateways {
            match before.gateways.get(ip) {
                None => lines.push(format!("gateway {} is new", gateway.node)),
                Some(was) if was.process_id != gateway.process_id => {
                    lines.push(format!("gateway {} has restarted", gateway.node));
                }
                Some(_) => {}
            }
        }
        for (ip, gateway) in &before.gateways {
            if !self.gateways.contains_key(ip) {
                lines.push(format!("gateway {} is gone", gateway.node));
            }
        }
        let none = Service::default();
        for (name, service) in &self.services {
            let was = before.services.get(name).unwrap_or(&none);
            let new = service.draining.difference(&was.draining);
            lines.extend(new.map(|id| format!("{name}: {id} drains")));
            let new = service.silent.difference(&was.silent);
            lines.extend(new.map(|id| format!("{name}: {id} is silent")));
            let new = service.failing.difference(&was.failing);
            lines.extend(new.map(|id| format!("{name}: attempts at {id} fail")));
            let new = service.slow.difference(&was.slow);
            lines.extend(new.map(|id| format!("{name}: {id} is slow")));
            let new = service.ready.difference(&was.ready);
            lines.extend(new.map(|id| format!("{name}: {id} takes work")));
        }
        for ((kind, name), (version, in_force)) in &self.items {
            if before.items.get(&(*kind, name.clone())) != Some(&(*version, *in_force)) {
                let verb = if *in_force { "set" } else { "dropped" };
                lines.push(format!("{kind:?} {name} {verb} in r{version}"));
            }
        }
        if self.counter.map(|c| (c.0, c.1)) != before.counter.map(|c| (c.0, c.1)) {
            if let Some((ip, term, _)) = self.counter {
                lines.push(format!("the quota counter runs at {ip}, term {term}"));
            }
        }
        lines
    }
}

/// The latest changes, the newest first.
#[derive(Debug, Default)]
pub struct EventLog {
    lines: VecDeque<String>,
}

impl EventLog {
    /// Adds lines, with the number of seconds since the console started.
    pub fn add(&mut self, at_s: u64, lines: Vec<String>) {
        for line in lines {
            self.lines.push_front(format!("{at_s:>5} s  {line}"));
        }
        self.lines.truncate(MAX_EVENTS);
    }

    /// The kept lines, the newest first.
    pub fn lines(&self) -> impl Iterator<Item = &String> {
        self.lines.iter()
    }
}
