//! What the items mean: routes by host and prefix, tenants by key, services, limits.

use crate::items::{ItemKind, ItemSet};
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// A route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that it is of, in small letters.
    pub host: String,
    /// What the path begins with.
    pub prefix: String,
    /// A request may run more than once.
    pub idempotent: bool,
    /// An answer within this earns its full worth.
    pub target_time: Duration,
    /// Its rank; 0 is highest.
    pub priority: u64,
    /// No key is needed.
    pub public: bool,
    /// Services, each with its weight.
    pub targets: Vec<(String, f64)>,
    /// The longest that a request is held.
    pub timeout: Duration,
    /// The most backends that one try may be sent to.
    pub max_tries: u64,
}

/// A tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its keys.
    pub keys: Vec<String>,
    /// Its rank, in place of the route's.
    pub priority: Option<u64>,
    /// Requests a second; 0: no limit.
    pub rate: f64,
    /// What may come on top.
    pub burst: f64,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Where its backends are asked for their health.
    pub health_path: String,
    /// Connections that a backend accepts from all callers together.
    pub max_conns: u64,
}

/// What a client may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// The longest head.
    pub max_header_bytes: u64,
    /// The longest body.
    pub max_body_bytes: u64,
    /// How long a head may take.
    pub header_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        let (header_wait, idle) = (Duration::from_secs(3), Duration::from_secs(15));
        Limits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            header_timeout: header_wait,
            idle_timeout: idle,
        }
    }
}

/// What an item means.
#[derive(Debug, Clone, PartialEq)]
pub enum Parsed {
    /// A route.
    Route(Rc<Route>),
    /// A tenant.
    Customer(Rc<Tenant>),
    /// A service.
    Service(Rc<Service>),
    /// Limits.
    Limits(Limits),
}

struct At<'a> {
    item: &'a str,
    value: &'a OwnedValue,
}

impl<'a> At<'a> {
    fn wrong<T>(&self, key: &str, allowed: &str) -> Result<T, String> {
        let found = self.value.get(key).map_or_else(|| "nothing".into(), |v| v.encode());
        let found: String = found.chars().take(60).collect();
        Err(format!("{}.{key}: found {found}, allowed: {allowed}", self.item))
    }
    fn text(&self, key: &str) -> Result<&'a str, String> {
        match self.value.get(key).and_then(|v| v.as_str()).filter(|v| !v.is_empty()) {
            Some(text) => Ok(text),
            None => self.wrong(key, "a text that is not empty"),
        }
    }
    fn count(&self, key: &str) -> Result<u64, String> {
        match self.value.get(key).and_then(|v| v.as_u64()) {
            Some(count) => Ok(count),
            None => self.wrong(key, "a whole number of 0 or more"),
        }
    }
    fn number(&self, key: &str) -> Result<f64, String> {
        match self.value.get(key) {
            None => Ok(0.0),
            Some(value) => match value.cast_f64().filter(|v| v.is_finite() && *v >= 0.0) {
                Some(number) => Ok(number),
                None => self.wrong(key, "a number of 0 or more"),
            },
        }
    }
    fn flag(&self, key: &str) -> Result<bool, String> {
        match self.value.get(key) {
            None => Ok(false),
            Some(value) => value.as_bool().map_or_else(|| self.wrong(key, "true or false"), Ok),
        }
    }
    fn time(&self, key: &str) -> Result<Duration, String> {
        match self.value.get(key).and_then(|v| v.as_str()).and_then(parse_duration) {
            Some(time) => Ok(time),
            None => self.wrong(key, "a time such as \"1500ms\" or \"2.5s\""),
        }
    }
    fn part(&self, key: &str) -> Result<At<'a>, String> {
        match self.value.get(key).filter(|v| v.is_object()) {
            Some(value) => Ok(At { item: self.item, value }),
            None => self.wrong(key, "an object"),
        }
    }
}

/// A time as it is written.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let (number, unit) = match text.trim().strip_suffix("ms") {
        Some(number) => (number, 1e-3),
        None => (text.trim().strip_suffix('s')?, 1.0),
    };
    let seconds = number.trim().parse::<f64>().ok()? * unit;
    (seconds.is_finite() && (0.0..1e9).contains(&seconds)).then(|| Duration::from_secs_f64(seconds))
}

/// Reads an item.
pub(crate) fn parse(kind: ItemKind, name: &str, host: &str, value: &OwnedValue) -> Result<Parsed, String> {
    let label = format!("{kind:?} {name}");
    let at = At { item: &label, value };
    match kind {
        ItemKind::Route => route(&at, host).map(|route| Parsed::Route(Rc::new(route))),
        ItemKind::Customer => {
            let Some(list) = value.get("api_keys").and_then(|v| v.as_array()) else {
                return at.wrong("api_keys", "a list of keys");
            };
            let keys = list.iter().map(|v| v.as_str().filter(|v| !v.is_empty()).map(str::to_string));
            let Some(keys) = keys.collect::<Option<Vec<_>>>() else {
                return at.wrong("api_keys", "a list of keys");
            };
            let priority = match value.get("priority") {
                None => None,
                Some(_) => Some(at.count("priority")?),
            };
            let (rate, burst) = (at.number("rate_per_s")?, at.number("burst")?);
            Ok(Parsed::Customer(Rc::new(Tenant { name: name.into(), keys, priority, rate, burst })))
        }
        ItemKind::Service => {
            let health = value.get("health_path").and_then(|v| v.as_str()).unwrap_or("/").to_string();
            let max_conns = value.get("max_conns").map_or(Ok(0), |_| at.count("max_conns"))?;
            Ok(Parsed::Service(Rc::new(Service { name: name.into(), health_path: health, max_conns })))
        }
        ItemKind::Limits => Ok(Parsed::Limits(Limits {
            max_header_bytes: at.count("max_header_bytes")?,
            max_body_bytes: at.count("max_body_bytes")?,
            header_timeout: at.time("header_wait")?,
            idle_timeout: at.time("idle")?,
        })),
    }
}

fn route(at: &At, host: &str) -> Result<Route, String> {
    let safe = match at.text("kind")? {
        "safe" => true,
        "mutating" => false,
        _ => return at.wrong("kind", "safe or mutating"),
    };
    let (when, then) = (at.part("when")?, at.part("then")?);
    let prefix = when.text("path_prefix")?;
    if !prefix.starts_with('/') {
        return when.wrong("path_prefix", "a path that begins with a slash");
    }
    let to = match then.value.get("split") {
        None => vec![(then.text("service")?.to_string(), 1.0)],
        Some(split) => {
            let Some(parts) = split.as_array() else { return then.wrong("split", "a list of services") };
            let mut to = Vec::with_capacity(parts.len());
            for part in parts {
                let part = At { item: at.item, value: part };
                to.push((part.text("service")?.to_string(), part.number("weight")?));
            }
            if to.iter().map(|(_, weight)| weight).sum::<f64>() <= 0.0 {
                return then.wrong("split", "weights that sum to more than 0");
            }
            to
        }
    };
    let (timeout, tries) = (then.time("timeout")?, then.count("tries")?);
    if tries == 0 {
        return then.wrong("tries", "1 or more");
    }
    if timeout.is_zero() {
        return then.wrong("timeout", "a time above 0");
    }
    Ok(Route {
        name: at.text("name")?.into(),
        host: host.to_ascii_lowercase(),
        prefix: prefix.into(),
        idempotent: safe,
        target_time: at.time("target_time")?,
        priority: at.count("priority")?,
        public: at.flag("public")?,
        targets: to,
        timeout,
        max_tries: tries,
    })
}

/// What a proxy decides by.
#[derive(Debug, Clone, Default)]
pub struct RoutingTable {
    /// By host, the longest prefix first.
    hosts: HashMap<String, Vec<Rc<Route>>>,
    keys: HashMap<String, Rc<Tenant>>,
    /// Every request must carry a key, but on public routes.
    pub requires_key: bool,
    /// The tenants.
    pub tenants: Vec<Rc<Tenant>>,
    /// The services by name.
    pub services: HashMap<String, Rc<Service>>,
    /// What clients may send.
    pub limits: Limits,
}

impl RoutingTable {
    /// By the items that stand.
    pub fn from_items(book: &ItemSet) -> RoutingTable {
        let mut table = RoutingTable::default();
        for parsed in book.items().filter_map(|held| held.parsed.as_ref()) {
            match parsed {
                Parsed::Route(route) => {
                    table.hosts.entry(route.host.clone()).or_default().push(route.clone());
                }
                Parsed::Customer(tenant) => {
                    table.requires_key = true;
                    table.keys.extend(tenant.keys.iter().map(|key| (key.clone(), tenant.clone())));
                    table.tenants.push(tenant.clone());
                }
                Parsed::Service(service) => {
                    table.services.insert(service.name.clone(), service.clone());
                }
                Parsed::Limits(limits) => table.limits = *limits,
            }
        }
        table.hosts.values_mut().for_each(|routes| {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        });
        table
    }

    /// The route of a request: of that host, the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let named = host.rsplit_once(':').filter(|(_, port)| port.bytes().all(|b| b.is_ascii_digit()));
        let host = named.map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The tenant that holds a key.
    pub fn tenant(&self, key: &str) -> Option<&Rc<Tenant>> {
        self.keys.get(key)
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.hosts.values().flatten()
    }
}
