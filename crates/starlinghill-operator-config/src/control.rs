//! The section `[control]`: the xDS control service for third-party proxies.

use crate::check::Validator;
use crate::problem::{Problem, Source};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

/// The settings of the control service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Control {
    /// The address on which proxies connect.
    pub listen: SocketAddr,
    /// The path of the platform's configuration, which holds the settings and the address of discovery.
    pub platform: PathBuf,
    /// The proxies that may connect.
    pub proxies: Vec<Proxy>,
    /// TLS for the proxies' connections. Without it `listen` must be a loopback address.
    pub tls: Option<Tls>,
    /// Rate limit quotas that proxies enforce; `None` turns them off.
    pub quotas: Option<Quotas>,
    /// Limits on the resources that proxies can use in this service.
    pub limits: Limits,
    /// The most attempts that one proxy may have in flight at each save node. `None` uses the bounds of the decision
    /// module.
    pub attempts_out: Option<u32>,
    /// The time limit for a proxy's connection to a save node.
    pub connect_timeout: Duration,
}

/// One proxy that may connect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proxy {
    /// Its xDS node id.
    pub id: String,
    /// The address on which the proxy listens for clients, if this service configures its listener.
    pub listen: Option<SocketAddr>,
}

/// TLS settings; all files are PEM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tls {
    /// The path of the certificate chain.
    pub certificate: PathBuf,
    /// The path of the private key.
    pub key: PathBuf,
    /// The path of the authority that signs the proxies' certificates. Without it proxies need no certificate.
    pub client_ca: Option<PathBuf>,
}

/// Settings of the quotas that are divided among proxies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Quotas {
    /// How long a proxy may use an assigned slice of a quota.
    pub lease: Duration,
    /// The longest time that an assignment may take to reach the proxy. A slice counts as in use for this much longer
    /// than `lease`.
    pub allowance: Duration,
    /// How often proxies report their usage.
    pub interval: Duration,
    /// The name of the cluster in the proxies' bootstrap that points to this service.
    pub cluster: String,
    /// The request header with the customer's number.
    pub customer_header: String,
    /// The request header with the name of the plan.
    pub plan_header: String,
    /// The request header with the number of quota units that a request uses.
    pub units_header: String,
    /// The plans whose quotas are divided among proxies, each with its line in the file. `None` means all plans.
    pub plans: Option<Vec<(String, usize)>>,
}

/// Limits that keep a faulty or hostile proxy from exhausting the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The most open connections.
    pub connections: usize,
    /// The most open streams.
    pub streams: usize,
    /// The most resource names that one stream may subscribe to, for each resource type.
    pub names: usize,
    /// The largest message in bytes.
    pub message: usize,
    /// The most customers whose slices are tracked.
    pub customers: usize,
    /// The most quota buckets of one proxy.
    pub buckets: usize,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Raw {
    listen: Option<Spanned<String>>,
    platform: Option<Spanned<PathBuf>>,
    attempts_out: Option<Spanned<i64>>,
    connect_timeout_ms: Option<Spanned<i64>>,
    #[serde(default)]
    proxies: Vec<Spanned<RawProxy>>,
    tls: Option<Spanned<RawTls>>,
    quotas: Option<RawQuotas>,
    #[serde(default)]
    limits: RawLimits,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawProxy {
    id: Option<Spanned<String>>,
    listen: Option<Spanned<String>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawTls {
    certificate: Option<PathBuf>,
    key: Option<PathBuf>,
    client_ca: Option<PathBuf>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawQuotas {
    lease_ms: Option<Spanned<i64>>,
    allowance_ms: Option<Spanned<i64>>,
    interval_ms: Option<Spanned<i64>>,
    cluster: Option<String>,
    customer_header: Option<Spanned<String>>,
    plan_header: Option<Spanned<String>>,
    units_header: Option<Spanned<String>>,
    plans: Option<Vec<Spanned<String>>>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawLimits {
    connections: Option<Spanned<i64>>,
    streams: Option<Spanned<i64>>,
    names: Option<Spanned<i64>>,
    message_bytes: Option<Spanned<i64>>,
    customers: Option<Spanned<i64>>,
    buckets: Option<Spanned<i64>>,
}

/// Validates the section. Returns `None` if a required value is missing or invalid.
pub(crate) fn check(
    raw: Spanned<Raw>,
    source: &Source,
    folder: &Path,
    problems: &mut Vec<Problem>,
) -> Option<Control> {
    let mut validator = Validator { source, problems };
    let section = raw.span();
    let raw = raw.into_inner();
    if raw.listen.is_none() {
        validator.report_missing(&section, "control.listen", "an address and a port");
    }
    if raw.platform.is_none() {
        validator.report_missing(&section, "control.platform", "the path of the platform's configuration");
    }
    let listen = raw.listen.as_ref().and_then(|raw| validator.address("control.listen", raw));
    let mut proxies = Vec::new();
    let mut ids = BTreeSet::new();
    for proxy in raw.proxies {
        let span = proxy.span();
        let proxy = proxy.into_inner();
        let Some(id) = proxy.id else {
            validator.report_missing(&span, "control.proxies.id", "a node id");
            continue;
        };
        let name = id.get_ref();
        if name.is_empty() || name.len() > 128 || !name.bytes().all(|b| b.is_ascii_graphic()) {
            let message = format!("expected 1 to 128 visible ASCII characters, found '{name}'");
            validator.report(id.span(), "control.proxies.id", message);
        }
        if !ids.insert(name.clone()) {
            validator.report(
                id.span(),
                "control.proxies.id",
                format!("expected each id once, found '{name}' again"),
            );
        }
        let listen = proxy.listen.as_ref().and_then(|raw| validator.address("control.proxies.listen", raw));
        proxies.push(Proxy { id: id.into_inner(), listen });
    }
    let tls = raw.tls.map(|raw| {
        let span = raw.span();
        let raw = raw.into_inner();
        let mut path = |key: &str, path: Option<PathBuf>| {
            if path.is_none() {
                validator.report_missing(&span, key, "the path of a PEM file");
            }
            crate::resolve_path(folder, &path.unwrap_or_default())
        };
        Tls {
            certificate: path("control.tls.certificate", raw.certificate),
            key: path("control.tls.key", raw.key),
            client_ca: raw.client_ca.map(|ca| crate::resolve_path(folder, &ca)),
        }
    });
    if let (Some(address), None, Some(raw)) = (listen.filter(|a| !a.ip().is_loopback()), &tls, &raw.listen) {
        let message =
            format!("expected a loopback address where there is no [control.tls], found {}", address.ip());
        validator.report(raw.span(), "control.listen", message);
    }
    let quotas = raw.quotas.map(|raw| {
        let lease_span = raw.lease_ms.as_ref().map_or(section.clone(), Spanned::span);
        let quotas = Quotas {
            lease: validator.millis("control.quotas.lease_ms", raw.lease_ms, 2_000, 200..=60_000),
            allowance: validator.millis("control.quotas.allowance_ms", raw.allowance_ms, 500, 50..=10_000),
            interval: validator.millis("control.quotas.interval_ms", raw.interval_ms, 250, 101..=10_000),
            cluster: raw.cluster.unwrap_or_else(|| "starlinghill-control".into()),
            customer_header: validator.header(
                "control.quotas.customer_header",
                raw.customer_header,
                "x-customer",
            ),
            plan_header: validator.header("control.quotas.plan_header", raw.plan_header, "x-plan"),
            units_header: validator.header("control.quotas.units_header", raw.units_header, "x-units"),
            plans: raw.plans.map(|plans| {
                plans
                    .into_iter()
                    .map(|plan| (plan.get_ref().clone(), source.line(plan.span().start)))
                    .collect()
            }),
        };
        if quotas.lease < quotas.interval * 3 {
            let (found, least) = (quotas.lease.as_millis(), (quotas.interval * 3).as_millis());
            let message = format!("expected three times interval_ms at least ({least}), found {found}");
            validator.report(lease_span, "control.quotas.lease_ms", message);
        }
        quotas
    });
    let raw_limits = raw.limits;
    let limits = Limits {
        connections: validator.number(
            "control.limits.connections",
            raw_limits.connections,
            2_048,
            1..=100_000,
        ) as usize,
        streams: validator.number("control.limits.streams", raw_limits.streams, 4_096, 1..=100_000) as usize,
        names: validator.number("control.limits.names", raw_limits.names, 1_024, 1..=100_000) as usize,
        message: validator.number(
            "control.limits.message_bytes",
            raw_limits.message_bytes,
            1 << 20,
            1_024..=1 << 26,
        ) as usize,
        customers: validator.number("control.limits.customers", raw_limits.customers, 100_000, 1..=10_000_000)
            as usize,
        buckets: validator.number("control.limits.buckets", raw_limits.buckets, 10_000, 1..=1_000_000)
            as usize,
    };
    let attempts_out =
        raw.attempts_out.map(|raw| validator.number("control.attempts_out", Some(raw), 1, 1..=10_000) as u32);
    let connect_timeout =
        validator.millis("control.connect_timeout_ms", raw.connect_timeout_ms, 250, 1..=60_000);
    let platform = crate::resolve_path(folder, raw.platform?.get_ref());
    Some(Control { listen: listen?, platform, proxies, tls, quotas, limits, attempts_out, connect_timeout })
}
