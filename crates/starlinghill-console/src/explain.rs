//! Explains in words how a request would be routed, or why it would be refused, from the current items and the registries'
//! status.

use simd_json::prelude::*;
use simd_json::OwnedValue;
use starlinghill_catalog::BackendState;
use starlinghill_config_model::{ChangeError, ConfigChange, ItemSet, RoutingTable};
use starlinghill_decision::api::CustomerId;
use starlinghill_decision::bucket_name;
use starlinghill_registry::wire::RegistryStatus;
use xxhash_rust::xxh3::xxh3_64;

/// Parses the items as the registries' HTTP API returns them.
pub fn item_set(items: &OwnedValue) -> Result<ItemSet, ChangeError> {
    let mut change = OwnedValue::object();
    let _ = change.insert("upsert", items.clone());
    ItemSet::default().with_change(&ConfigChange::parse(change.encode().as_bytes())?)
}

/// The request to explain.
#[derive(Debug, Clone, Copy)]
pub struct RequestQuery<'a> {
    /// The host that is called.
    pub host: &'a str,
    /// The path that is called.
    pub path: &'a str,
    /// The API key that is sent, if any.
    pub key: Option<&'a str>,
}

/// Explains a request, one line for each step: route, tenant and quota, services.
pub fn explain(
    items: &OwnedValue,
    statuses: &[RegistryStatus],
    request: RequestQuery,
) -> Result<Vec<String>, ChangeError> {
    let table = RoutingTable::from_items(&item_set(items)?);
    let mut lines = Vec::new();
    let Some(route) = table.route(request.host, request.path) else {
        let hosts = table.routes().filter(|route| route.host.eq_ignore_ascii_case(request.host)).count();
        lines.push(format!(
            "404: no route of host {} matches {} ({hosts} routes of that host)",
            request.host, request.path
        ));
        return Ok(lines);
    };
    let kind = if route.idempotent { "may be repeated" } else { "runs at most once" };
    lines.push(format!(
        "route {}: prefix {}, {kind}, priority {}, {} tries, times out after {} ms",
        route.name,
        route.prefix,
        route.priority,
        route.max_tries,
        route.timeout.as_millis()
    ));
    let tenant = request.key.and_then(|key| table.tenant(key));
    match (tenant, table.requires_key && !route.public) {
        (None, true) => {
            lines.push("401: the route is not public, and no tenant has that key".into());
            return Ok(lines);
        }
        (None, false) => lines.push("no tenant: no limit, and no Customer header".into()),
        (Some(tenant), _) => {
            lines.push(format!(
                "tenant {}: {} requests a second, burst {}, over all gateways",
                tenant.name, tenant.rate, tenant.burst
            ));
            let name = bucket_name(CustomerId(xxh3_64(tenant.name.as_bytes()))).0;
            let counters = statuses.iter().filter_map(|status| status.counter.as_ref());
            let bucket =
                counters.flat_map(|counter| &counter.token_buckets).find(|(bucket, ..)| *bucket == name);
            lines.push(match bucket {
                None if tenant.rate <= 0.0 => "its quota: none".into(),
                None => "its token bucket: full, unused of late, or no quota counter is running".into(),
                Some((_, level, rate, demand)) if *level < 1.0 && demand > rate => {
                    format!(
                        "429 for most: its token bucket holds {level:.1}, and {demand:.0} a second are asked for"
                    )
                }
                Some((_, level, _, demand)) => {
                    format!("its token bucket holds {level:.1}; {demand:.0} a second are asked for")
                }
            });
        }
    }
    let total_weight: f64 = route.targets.iter().map(|(_, weight)| weight).sum();
    for (service, weight) in &route.targets {
        // Several registries report the same backend.
        let backends_in = |state| {
            let mut ids: Vec<&str> = statuses
                .iter()
                .flat_map(|status| &status.backends)
                .filter(|(seen, _)| seen.instance.service == *service && seen.instance.state == state)
                .map(|(seen, _)| seen.instance.id.as_str())
                .collect();
            ids.sort_unstable();
            ids.dedup();
            ids.len()
        };
        let (ready, draining) = (backends_in(BackendState::Ready), backends_in(BackendState::Draining));
        let percent = 100.0 * weight / total_weight.max(1e-9);
        let none = if ready == 0 { " - 503: no backend takes work" } else { "" };
        lines.push(format!(
            "service {service}: {percent:.0} percent, {ready} backends ready, {draining} draining{none}"
        ));
    }
    Ok(lines)
}

/// The differences between two item sets, as lines that begin with `-` (only in `current`) or `+` (only in `next`).
pub fn differences(current: &ItemSet, next: &ItemSet) -> Vec<String> {
    let line = |sign: char, item: &starlinghill_config_model::Item| {
        let dropped = if item.body.is_none() { " dropped" } else { "" };
        format!("{sign} {:?} {} r{}{dropped}", item.kind, item.name, item.version)
    };
    let mut lines: Vec<String> = current.differing_items(next).iter().map(|item| line('-', item)).collect();
    lines.extend(next.differing_items(current).iter().map(|item| line('+', item)));
    lines.sort_by(|a, b| a[1..].cmp(&b[1..]));
    lines
}
