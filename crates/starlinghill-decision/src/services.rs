//! The servers by service. Each service has a fleet of its own, with what was learned of it and its budget of further
//! attempts. Nothing here decides.

use crate::api::*;
use crate::context::Context;
use crate::request::Request;
use crate::roster::Fleet;
use std::collections::BTreeMap;

/// The fleets of all services.
#[derive(Debug)]
pub(crate) struct Fleets {
    by: BTreeMap<ServiceId, Fleet>,
    of: BTreeMap<ServerId, ServiceId>,
    /// For a service of which nothing was ever told.
    none: Fleet,
}

impl Default for Fleets {
    fn default() -> Fleets {
        let by = BTreeMap::from([(ServiceId::default(), Fleet::default())]);
        Fleets { by, of: BTreeMap::new(), none: Fleet::default() }
    }
}

impl Fleets {
    /// The fleet of a service.
    pub(crate) fn of(&self, service: ServiceId) -> &Fleet {
        self.by.get(&service).unwrap_or(&self.none)
    }

    fn of_mut(&mut self, service: ServiceId) -> &mut Fleet {
        self.by.entry(service).or_default()
    }

    /// The fleet that a server is of.
    pub(crate) fn with(&mut self, server: ServerId) -> &mut Fleet {
        let service = self.of.get(&server).copied().unwrap_or_default();
        self.of_mut(service)
    }

    /// All of them.
    pub(crate) fn all(&mut self) -> impl Iterator<Item = &mut Fleet> {
        self.by.values_mut()
    }

    /// How many servers are kept in mind.
    pub(crate) fn tracked_items(&self) -> usize {
        self.by.values().map(|fleet| fleet.servers.len()).sum()
    }

    /// Takes news of the list to the services that they are of.
    pub(crate) fn update(&mut self, cx: &mut Context, scope: ListScope, entries: Vec<ServerEntry>) {
        let mut parts: BTreeMap<ServiceId, Vec<ServerEntry>> = BTreeMap::new();
        for entry in entries {
            self.of.insert(entry.server, entry.service);
            parts.entry(entry.service).or_default().push(entry);
        }
        match scope {
            // One call failed, whatever it was to tell of.
            ListScope::Failed => self.of_mut(ServiceId::default()).update(cx, scope, Vec::new()),
            ListScope::Changes => {
                parts.into_iter().for_each(|(service, part)| self.of_mut(service).update(cx, scope, part));
            }
            ListScope::Complete => {
                for service in parts.keys() {
                    self.of_mut(*service);
                }
                for (service, fleet) in &mut self.by {
                    fleet.update(cx, scope, parts.remove(service).unwrap_or_default());
                }
            }
        }
        // Guards against growing with every server there ever was.
        let by = &self.by;
        self.of.retain(|server, service| by.get(service).is_some_and(|f| f.servers.contains_key(server)));
    }

    /// A server for a request.
    pub(crate) fn pick(&mut self, cx: &mut Context, r: &Request) -> Option<ServerId> {
        self.by.get_mut(&r.a.service)?.pick(cx, r)
    }

    /// A request came in.
    pub(crate) fn earn(&mut self, cx: &Context, service: ServiceId) {
        let fleet = self.of_mut(service);
        fleet.retries = match cx.set.retries {
            Some(budget) => (fleet.retries.unwrap_or(0.0) + budget.share).min(budget.saved),
            None => (fleet.retries.unwrap_or(RETRY_SAVED) + RETRY_SHARE).min(RETRY_SAVED),
        }
        .into();
    }

    /// Takes a further attempt from the budget, if that holds one. One that reached no server costs nothing where the
    /// budget is told: what counts there is what arrives.
    pub(crate) fn spend(&mut self, cx: &Context, service: ServiceId, outcome: Outcome) -> bool {
        if cx.set.retries.is_some() && matches!(outcome, Outcome::ConnectFailed | Outcome::NotSent) {
            return true;
        }
        let left = self.of_mut(service).retries.get_or_insert_default();
        let holds = *left >= 1.0;
        *left -= f64::from(u8::from(holds));
        holds
    }
}

/// Retry budget: further attempts earned by each request, and the most saved up.
pub(crate) const RETRY_SHARE: f64 = 0.2;
const RETRY_SAVED: f64 = 20.0;
