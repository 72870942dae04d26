//! Why a request goes where it goes, or is refused: by the items that stand and how things stand, in words.

use simd_json::prelude::*;
use simd_json::OwnedValue;
use starlinghill_catalog::BackendState;
use starlinghill_config_model::{ChangeError, ConfigChange, ItemSet, RoutingTable};
use starlinghill_decision::api::CustomerId;
use starlinghill_decision::bucket_name;
use starlinghill_registry::wire::RegistryStatus;
use xxhash_rust::xxh3::xxh3_64;

/// The items as they are read back, as a book.
pub fn book(items: &OwnedValue) -> Result<ItemSet, ChangeError> {
    let mut call = OwnedValue::object();
    let _ = call.insert("upsert", items.clone());
    ItemSet::default().with(&ConfigChange::read(call.encode().as_bytes())?)
}

/// A request that is asked about.
#[derive(Debug, Clone, Copy)]
pub struct Asked<'a> {
    /// Its host.
    pub host: &'a str,
    /// Its path.
    pub path: &'a str,
    /// Its key, if it has one.
    pub key: Option<&'a str>,
}

/// What becomes of it, a line each step.
pub fn explain(
    items: &OwnedValue,
    statuses: &[RegistryStatus],
    asked: Asked,
) -> Result<Vec<String>, ChangeError> {
    let table = RoutingTable::of(&book(items)?);
    let mut said = Vec::new();
    let Some(route) = table.route(asked.host, asked.path) else {
        let hosts = table.routes().filter(|route| route.host.eq_ignore_ascii_case(asked.host)).count();
        said.push(format!(
            "404: no route of host {} begins {} ({hosts} routes of that host)",
            asked.host, asked.path
        ));
        return Ok(said);
    };
    let kind = if route.safe { "may be repeated" } else { "runs once" };
    said.push(format!(
        "route {}: prefix {}, {kind}, priority {}, {} tries, held {} ms at the longest",
        route.name,
        route.prefix,
        route.priority,
        route.tries,
        route.timeout.as_millis()
    ));
    let tenant = asked.key.and_then(|key| table.tenant(key));
    match (tenant, table.keyed && !route.public) {
        (None, true) => {
            said.push("401: the route is not public, and nobody holds that key".into());
            return Ok(said);
        }
        (None, false) => said.push("no tenant: no limit, and no Customer header".into()),
        (Some(tenant), _) => {
            said.push(format!(
                "tenant {}: {} requests a second, burst {}, over all gateways",
                tenant.name, tenant.rate, tenant.burst
            ));
            let name = bucket_name(CustomerId(xxh3_64(tenant.name.as_bytes()))).0;
            let counts = statuses.iter().filter_map(|status| status.count.as_ref());
            let store = counts.flat_map(|count| &count.stores).find(|(store, ..)| *store == name);
            said.push(match store {
                None if tenant.rate <= 0.0 => "its quota: none".into(),
                None => "its store: full, nobody drew of late, or the count is kept nowhere now".into(),
                Some((_, level, rate, asked)) if *level < 1.0 && asked > rate => {
                    format!("429 for most: its store holds {level:.1}, and {asked:.0} a second are asked for")
                }
                Some((_, level, _, asked)) => {
                    format!("its store holds {level:.1}; {asked:.0} a second are asked for")
                }
            });
        }
    }
    let all: f64 = route.to.iter().map(|(_, weight)| weight).sum();
    for (service, weight) in &route.to {
        let of = |state| {
            let mut ids: Vec<&str> = statuses
                .iter()
                .flat_map(|status| &status.backends)
                .filter(|(told, _)| told.instance.service == *service && told.instance.state == state)
                .map(|(told, _)| told.instance.id.as_str())
                .collect();
            ids.sort_unstable();
            ids.dedup();
            ids.len()
        };
        let (ready, draining) = (of(BackendState::Ready), of(BackendState::Draining));
        let part = 100.0 * weight / all.max(1e-9);
        let none = if ready == 0 { " - 503: no backend takes work" } else { "" };
        said.push(format!(
            "service {service}: {part:.0} in a hundred, {ready} backends ready, {draining} draining{none}"
        ));
    }
    Ok(said)
}

/// What differs between the items that stand and those of a file: a line each.
pub fn differences(stand: &ItemSet, file: &ItemSet) -> Vec<String> {
    let line = |sign: char, item: &starlinghill_config_model::Item| {
        let dropped = if item.body.is_none() { " dropped" } else { "" };
        format!("{sign} {:?} {} r{}{dropped}", item.kind, item.name, item.version)
    };
    let mut lines: Vec<String> = stand.beyond(file).iter().map(|item| line('-', item)).collect();
    lines.extend(file.beyond(stand).iter().map(|item| line('+', item)));
    lines.sort_by(|a, b| a[1..].cmp(&b[1..]));
    lines
}
