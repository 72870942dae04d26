//! The servers by service. Each service has a fleet with its own estimates and retry budget. Nothing here
//! decides.

use crate::api::*;
use crate::context::Context;
use crate::request::Request;
use crate::roster::Fleet;
use std::collections::BTreeMap;

/// The fleets of all services.
#[derive(Debug)]
pub(crate) struct Fleets {
    fleets: BTreeMap<ServiceId, Fleet>,
    service_of: BTreeMap<ServerId, ServiceId>,
    /// Stands in for services without any server list, and stays empty.
    unknown: Fleet,
}

impl Default for Fleets {
    fn default() -> Fleets {
        let fleets = BTreeMap::from([(ServiceId::default(), Fleet::default())]);
        Fleets { fleets, service_of: BTreeMap::new(), unknown: Fleet::default() }
    }
}

impl Fleets {
    /// The fleet of a service.
    pub(crate) fn get(&self, service: ServiceId) -> &Fleet {
        self.fleets.get(&service).unwrap_or(&self.unknown)
    }

    fn get_mut(&mut self, service: ServiceId) -> &mut Fleet {
        self.fleets.entry(service).or_default()
    }

    /// The fleet to which a server belongs.
    pub(crate) fn of_server(&mut self, server: ServerId) -> &mut Fleet {
        let service = self.service_of.get(&server).copied().unwrap_or_default();
        self.get_mut(service)
    }

    /// All fleets.
    pub(crate) fn all(&mut self) -> impl Iterator<Item = &mut Fleet> {
        self.fleets.values_mut()
    }

    /// Number of servers kept, for tests of memory use.
    pub(crate) fn tracked_items(&self) -> usize {
        self.fleets.values().map(|fleet| fleet.servers.len()).sum()
    }

    /// Passes news of the server list to the services that it names.
    pub(crate) fn update(&mut self, cx: &mut Context, scope: ListScope, entries: Vec<ServerEntry>) {
        let mut parts: BTreeMap<ServiceId, Vec<ServerEntry>> = BTreeMap::new();
        for entry in entries {
            self.service_of.insert(entry.server, entry.service);
            parts.entry(entry.service).or_default().push(entry);
        }
        match scope {
            // A failed fetch concerns all services; one retry is enough.
            ListScope::Failed => self.get_mut(ServiceId::default()).update(cx, scope, Vec::new()),
            ListScope::Changes => {
                parts.into_iter().for_each(|(service, part)| self.get_mut(service).update(cx, scope, part));
            }
            ListScope::Complete => {
                for service in parts.keys() {
                    self.get_mut(*service);
                }
                for (service, fleet) in &mut self.fleets {
                    fleet.update(cx, scope, parts.remove(service).unwrap_or_default());
                }
            }
        }
        // Guards against keeping every server that was ever listed.
        let fleets = &self.fleets;
        self.service_of
            .retain(|server, service| fleets.get(service).is_some_and(|f| f.servers.contains_key(server)));
    }

    /// Chooses a server for a request.
    pub(crate) fn pick(&mut self, cx: &mut Context, r: &Request) -> Option<ServerId> {
        self.fleets.get_mut(&r.arrival.service)?.pick(cx, r)
    }

    /// Adds a request's part to the retry budget of its service.
    pub(crate) fn earn(&mut self, cx: &Context, service: ServiceId) {
        let fleet = self.get_mut(service);
        fleet.retries = match cx.settings.retries {
            Some(budget) => (fleet.retries.unwrap_or(0.0) + budget.share).min(budget.saved),
            None => (fleet.retries.unwrap_or(RETRY_MAX_SAVED) + RETRY_SHARE).min(RETRY_MAX_SAVED),
        }
        .into();
    }

    /// Takes a retry from the budget if it holds one. With a configured budget, a retry is free if the failed
    /// attempt reached no server: that budget limits what arrives at servers.
    pub(crate) fn spend(&mut self, cx: &Context, service: ServiceId, outcome: Outcome) -> bool {
        if cx.settings.retries.is_some() && matches!(outcome, Outcome::ConnectFailed | Outcome::NotSent) {
            return true;
        }
        let left = self.get_mut(service).retries.get_or_insert_default();
        let allowed = *left >= 1.0;
        *left -= f64::from(u8::from(allowed));
        allowed
    }
}

/// The module's own retry budget: retries earned by each request, and the most saved up.
pub(crate) const RETRY_SHARE: f64 = 0.2;
const RETRY_MAX_SAVED: f64 = 20.0;
