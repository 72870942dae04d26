//! `[control]`: the control service that other proxies run on.

use crate::check::Check;
use crate::problem::{Problem, Source};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

/// The control service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Control {
    /// Where proxies connect.
    pub listen: SocketAddr,
    /// The platform's configuration: settings, and where discovery is.
    pub platform: PathBuf,
    /// The proxies that may connect.
    pub proxies: Vec<Proxy>,
    /// Encryption; without it the address must be a loopback one.
    pub tls: Option<Tls>,
    /// Slices of quotas, where proxies are to keep them.
    pub quotas: Option<Quotas>,
    /// Bounds on what proxies may take.
    pub limits: Limits,
    /// Attempts that one proxy may have out at each save node; `None`: by the module's own bounds.
    pub attempts_out: Option<u32>,
    /// A proxy's connection to a save node must be made within this.
    pub connect_timeout: Duration,
}

/// One proxy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proxy {
    /// Its node id.
    pub id: String,
    /// Where it is to listen for clients, if this service tells it.
    pub listen: Option<SocketAddr>,
}

/// Encryption.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tls {
    /// The certificate chain, PEM.
    pub certificate: PathBuf,
    /// Its key, PEM.
    pub key: PathBuf,
    /// Who signs the proxies' certificates, PEM; without it proxies need none.
    pub client_ca: Option<PathBuf>,
}

/// Slices of quotas.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Quotas {
    /// The life of an assignment.
    pub lease: Duration,
    /// The longest that an assignment may be on its way.
    pub allowance: Duration,
    /// How often proxies report what they used.
    pub interval: Duration,
    /// The cluster in the proxies' bootstrap by which they reach this service.
    pub cluster: String,
    /// The header that holds the customer's number.
    pub customer_header: String,
    /// The header that holds the plan's name.
    pub plan_header: String,
    /// The header that holds a request's units.
    pub units_header: String,
    /// The plans of which proxies get slices, with their lines; `None`: all.
    pub plans: Option<Vec<(String, usize)>>,
}

/// Bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Connections.
    pub connections: usize,
    /// Streams.
    pub streams: usize,
    /// Names subscribed to on one stream, for each type.
    pub names: usize,
    /// Bytes of one message.
    pub message: usize,
    /// Customers whose slices are kept in mind.
    pub customers: usize,
    /// Buckets of one proxy.
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

/// Checks the section; `None` where something it can't do without is wrong.
pub(crate) fn check(
    raw: Spanned<Raw>,
    source: &Source,
    folder: &Path,
    problems: &mut Vec<Problem>,
) -> Option<Control> {
    let mut c = Check { source, problems };
    let section = raw.span();
    let raw = raw.into_inner();
    if raw.listen.is_none() {
        c.missing(&section, "control.listen", "an address and a port");
    }
    if raw.platform.is_none() {
        c.missing(&section, "control.platform", "the path of the platform's configuration");
    }
    let listen = raw.listen.as_ref().and_then(|raw| c.address("control.listen", raw));
    let mut proxies = Vec::new();
    let mut seen = BTreeSet::new();
    for proxy in raw.proxies {
        let span = proxy.span();
        let proxy = proxy.into_inner();
        let Some(id) = proxy.id else {
            c.missing(&span, "control.proxies.id", "a node id");
            continue;
        };
        let name = id.get_ref();
        if name.is_empty() || name.len() > 128 || !name.bytes().all(|b| b.is_ascii_graphic()) {
            let what = format!("expected 1 to 128 visible ASCII characters, found '{name}'");
            c.fail(id.span(), "control.proxies.id", what);
        }
        if !seen.insert(name.clone()) {
            c.fail(id.span(), "control.proxies.id", format!("expected each id once, found '{name}' again"));
        }
        let listen = proxy.listen.as_ref().and_then(|raw| c.address("control.proxies.listen", raw));
        proxies.push(Proxy { id: id.into_inner(), listen });
    }
    let tls = raw.tls.map(|raw| {
        let span = raw.span();
        let raw = raw.into_inner();
        let mut path = |key: &str, path: Option<PathBuf>| {
            if path.is_none() {
                c.missing(&span, key, "the path of a PEM file");
            }
            crate::below(folder, &path.unwrap_or_default())
        };
        Tls {
            certificate: path("control.tls.certificate", raw.certificate),
            key: path("control.tls.key", raw.key),
            client_ca: raw.client_ca.map(|ca| crate::below(folder, &ca)),
        }
    });
    if let (Some(at), None, Some(raw)) = (listen.filter(|at| !at.ip().is_loopback()), &tls, &raw.listen) {
        let what = format!("expected a loopback address where there is no [control.tls], found {}", at.ip());
        c.fail(raw.span(), "control.listen", what);
    }
    let quotas = raw.quotas.map(|raw| {
        let lease_span = raw.lease_ms.as_ref().map_or(section.clone(), Spanned::span);
        let quotas = Quotas {
            lease: c.millis("control.quotas.lease_ms", raw.lease_ms, 2_000, 200..=60_000),
            allowance: c.millis("control.quotas.allowance_ms", raw.allowance_ms, 500, 50..=10_000),
            interval: c.millis("control.quotas.interval_ms", raw.interval_ms, 250, 101..=10_000),
            cluster: raw.cluster.unwrap_or_else(|| "starlinghill-control".into()),
            customer_header: c.header("control.quotas.customer_header", raw.customer_header, "x-customer"),
            plan_header: c.header("control.quotas.plan_header", raw.plan_header, "x-plan"),
            units_header: c.header("control.quotas.units_header", raw.units_header, "x-units"),
            plans: raw.plans.map(|plans| {
                plans
                    .into_iter()
                    .map(|plan| (plan.get_ref().clone(), source.line(plan.span().start)))
                    .collect()
            }),
        };
        if quotas.lease < quotas.interval * 3 {
            let (found, least) = (quotas.lease.as_millis(), (quotas.interval * 3).as_millis());
            let what = format!("expected three times interval_ms at least ({least}), found {found}");
            c.fail(lease_span, "control.quotas.lease_ms", what);
        }
        quotas
    });
    let l = raw.limits;
    let limits = Limits {
        connections: c.number("control.limits.connections", l.connections, 2_048, 1..=100_000) as usize,
        streams: c.number("control.limits.streams", l.streams, 4_096, 1..=100_000) as usize,
        names: c.number("control.limits.names", l.names, 1_024, 1..=100_000) as usize,
        message: c.number("control.limits.message_bytes", l.message_bytes, 1 << 20, 1_024..=1 << 26) as usize,
        customers: c.number("control.limits.customers", l.customers, 100_000, 1..=10_000_000) as usize,
        buckets: c.number("control.limits.buckets", l.buckets, 10_000, 1..=1_000_000) as usize,
    };
    let attempts_out =
        raw.attempts_out.map(|raw| c.number("control.attempts_out", Some(raw), 1, 1..=10_000) as u32);
    let connect_timeout = c.millis("control.connect_timeout_ms", raw.connect_timeout_ms, 250, 1..=60_000);
    let platform = crate::below(folder, raw.platform?.get_ref());
    Some(Control { listen: listen?, platform, proxies, tls, quotas, limits, attempts_out, connect_timeout })
}
