//! The meaning of the items: routes by host and path prefix, tenants by API key, services, and limits. Parsing of single
//! items and the routing table of a proxy.

use crate::items::{ItemKind, ItemSet};
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Requests to one host and path prefix, and the services that answer them.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The name of the item.
    pub name: String,
    /// The host of the requests, in lower case.
    pub host: String,
    /// The start of the path of the requests.
    pub prefix: String,
    /// Whether a request may run more than once. Configured as kind "safe".
    pub idempotent: bool,
    /// An answer within this time has its full worth; a later one is worth less.
    pub target_time: Duration,
    /// The rank of its requests. 0 is the highest.
    pub priority: u64,
    /// Whether requests need no API key.
    pub public: bool,
    /// The services, each with its weight.
    pub targets: Vec<(String, f64)>,
    /// After this a request is given up.
    pub timeout: Duration,
    /// The most backends that one request may be sent to.
    pub max_tries: u64,
}

/// A customer with API keys and a quota.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// The name of the item.
    pub name: String,
    /// The API keys.
    pub keys: Vec<String>,
    /// The rank of its requests, which overrides that of the route.
    pub priority: Option<u64>,
    /// The quota in requests a second, or 0 for no limit.
    pub rate: f64,
    /// The requests that may come at once on top of the rate.
    pub burst: f64,
}

/// A group of backends that answer the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The name of the item.
    pub name: String,
    /// The path of the health check at its backends.
    pub health_path: String,
    /// The connections that one backend accepts from all callers together, or 0 if not configured.
    pub max_conns: u64,
}

/// Limits on a client's connection and requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// The most bytes of a request header.
    pub max_header_bytes: u64,
    /// The most bytes of a request body.
    pub max_body_bytes: u64,
    /// How long a client may take to send a request header.
    pub header_timeout: Duration,
    /// After this an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// The meaning of an item, by its kind.
#[derive(Debug, Clone, PartialEq)]
pub enum Parsed {
    /// A route.
    Route(Rc<Route>),
    /// A tenant.
    Customer(Rc<Tenant>),
    /// A service.
    Service(Rc<Service>),
    /// The limits on clients.
    Limits(Limits),
}

/// An object inside an item. Its methods read one field each and name the item in errors.
struct Fields<'a> {
    /// The kind and the name of the item, for error messages.
    item: &'a str,
    value: &'a OwnedValue,
}

impl<'a> Fields<'a> {
    /// An error that shows the value found and what is allowed.
    fn invalid<T>(&self, key: &str, allowed: &str) -> Result<T, String> {
        let found = self.value.get(key).map_or_else(|| "nothing".into(), |v| v.encode());
        let found: String = found.chars().take(60).collect();
        Err(format!("{}.{key}: found {found}, allowed: {allowed}", self.item))
    }

    fn text(&self, key: &str) -> Result<&'a str, String> {
        match self.value.get(key).and_then(|v| v.as_str()).filter(|v| !v.is_empty()) {
            Some(text) => Ok(text),
            None => self.invalid(key, "a text that is not empty"),
        }
    }

    fn count(&self, key: &str) -> Result<u64, String> {
        match self.value.get(key).and_then(|v| v.as_u64()) {
            Some(count) => Ok(count),
            None => self.invalid(key, "a whole number of 0 or more"),
        }
    }

    /// A number of 0 or more, or 0 if the field is missing.
    fn number(&self, key: &str) -> Result<f64, String> {
        match self.value.get(key) {
            None => Ok(0.0),
            Some(value) => match value.cast_f64().filter(|v| v.is_finite() && *v >= 0.0) {
                Some(number) => Ok(number),
                None => self.invalid(key, "a number of 0 or more"),
            },
        }
    }

    /// A flag, or false if the field is missing.
    fn flag(&self, key: &str) -> Result<bool, String> {
        match self.value.get(key) {
            None => Ok(false),
            Some(value) => value.as_bool().map_or_else(|| self.invalid(key, "true or false"), Ok),
        }
    }

    fn duration(&self, key: &str) -> Result<Duration, String> {
        match self.value.get(key).and_then(|v| v.as_str()).and_then(parse_duration) {
            Some(duration) => Ok(duration),
            None => self.invalid(key, "a time such as \"1500ms\" or \"2.5s\""),
        }
    }

    fn object(&self, key: &str) -> Result<Fields<'a>, String> {
        match self.value.get(key).filter(|v| v.is_object()) {
            Some(value) => Ok(Fields { item: self.item, value }),
            None => self.invalid(key, "an object"),
        }
    }
}

/// Parses a duration such as "1500ms" or "2.5s". `None` if it is negative or 1e9 s or more.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let (number, unit) = match text.trim().strip_suffix("ms") {
        Some(number) => (number, 1e-3),
        None => (text.trim().strip_suffix('s')?, 1.0),
    };
    let seconds = number.trim().parse::<f64>().ok()? * unit;
    (seconds.is_finite() && (0.0..1e9).contains(&seconds)).then(|| Duration::from_secs_f64(seconds))
}

/// Parses the content of an item. The error text names the field, the value found, and what is allowed.
pub(crate) fn parse(kind: ItemKind, name: &str, host: &str, value: &OwnedValue) -> Result<Parsed, String> {
    let label = format!("{kind:?} {name}");
    let fields = Fields { item: &label, value };
    match kind {
        ItemKind::Route => parse_route(&fields, host).map(|route| Parsed::Route(Rc::new(route))),
        ItemKind::Customer => {
            let Some(list) = value.get("api_keys").and_then(|v| v.as_array()) else {
                return fields.invalid("api_keys", "a list of keys");
            };
            let keys = list.iter().map(|v| v.as_str().filter(|v| !v.is_empty()).map(str::to_string));
            let Some(keys) = keys.collect::<Option<Vec<_>>>() else {
                return fields.invalid("api_keys", "a list of keys");
            };
            let priority = match value.get("priority") {
                None => None,
                Some(_) => Some(fields.count("priority")?),
            };
            let (rate, burst) = (fields.number("rate_per_s")?, fields.number("burst")?);
            Ok(Parsed::Customer(Rc::new(Tenant { name: name.into(), keys, priority, rate, burst })))
        }
        ItemKind::Service => {
            let health_path = value.get("health_path").and_then(|v| v.as_str()).unwrap_or("/").to_string();
            let max_conns = value.get("max_conns").map_or(Ok(0), |_| fields.count("max_conns"))?;
            Ok(Parsed::Service(Rc::new(Service { name: name.into(), health_path, max_conns })))
        }
        ItemKind::Limits => Ok(Parsed::Limits(Limits {
            max_header_bytes: fields.count("max_header_bytes")?,
            max_body_bytes: fields.count("max_body_bytes")?,
            header_timeout: fields.duration("header_wait")?,
            idle_timeout: fields.duration("idle")?,
        })),
    }
}

fn parse_route(fields: &Fields, host: &str) -> Result<Route, String> {
    let idempotent = match fields.text("kind")? {
        "safe" => true,
        "mutating" => false,
        _ => return fields.invalid("kind", "safe or mutating"),
    };
    let (when, then) = (fields.object("when")?, fields.object("then")?);
    let prefix = when.text("path_prefix")?;
    if !prefix.starts_with('/') {
        return when.invalid("path_prefix", "a path that begins with a slash");
    }
    let targets = match then.value.get("split") {
        None => vec![(then.text("service")?.to_string(), 1.0)],
        Some(split) => {
            let Some(parts) = split.as_array() else { return then.invalid("split", "a list of services") };
            let mut targets = Vec::with_capacity(parts.len());
            for part in parts {
                let part = Fields { item: fields.item, value: part };
                targets.push((part.text("service")?.to_string(), part.number("weight")?));
            }
            if targets.iter().map(|(_, weight)| weight).sum::<f64>() <= 0.0 {
                return then.invalid("split", "weights that sum to more than 0");
            }
            targets
        }
    };
    let (timeout, max_tries) = (then.duration("timeout")?, then.count("tries")?);
    if max_tries == 0 {
        return then.invalid("tries", "1 or more");
    }
    if timeout.is_zero() {
        return then.invalid("timeout", "a time above 0");
    }
    Ok(Route {
        name: fields.text("name")?.into(),
        host: host.to_ascii_lowercase(),
        prefix: prefix.into(),
        idempotent,
        target_time: fields.duration("target_time")?,
        priority: fields.count("priority")?,
        public: fields.flag("public")?,
        targets,
        timeout,
        max_tries,
    })
}

/// What a proxy decides by: the routes, keys, services and limits of one set of items.
#[derive(Debug, Clone, Default)]
pub struct RoutingTable {
    /// The routes by host, the longest prefix first.
    hosts: HashMap<String, Vec<Rc<Route>>>,
    /// The tenants by API key.
    keys: HashMap<String, Rc<Tenant>>,
    /// Whether requests need an API key, except on public routes. Set as soon as there is a tenant.
    pub requires_key: bool,
    /// All tenants.
    pub tenants: Vec<Rc<Tenant>>,
    /// The services by name.
    pub services: HashMap<String, Rc<Service>>,
    /// The limits on clients.
    pub limits: Limits,
}

impl RoutingTable {
    /// Builds the table from the items that are set.
    pub fn from_items(items: &ItemSet) -> RoutingTable {
        let mut table = RoutingTable::default();
        for parsed in items.items().filter_map(|item| item.parsed.as_ref()) {
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

    /// The route of a request: the one of the host with the longest matching prefix. A port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let without_port = host.rsplit_once(':').filter(|(_, port)| port.bytes().all(|b| b.is_ascii_digit()));
        let host = without_port.map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The tenant with an API key.
    pub fn tenant(&self, key: &str) -> Option<&Rc<Tenant>> {
        self.keys.get(key)
    }

    /// All routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.hosts.values().flatten()
    }
}
