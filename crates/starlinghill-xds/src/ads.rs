//! One aggregated discovery (ADS) stream as a state machine, for both the state-of-the-world and the incremental
//! protocol of `envoy.service.discovery.v3`. Requests and newer resource sets go in, responses come out. There is
//! no I/O and no clock: the caller asks for the next response when it can send one, so a proxy that reads slowly
//! skips intermediate states and gets the newest.
//!
//! Rules of the protocol that this module keeps:
//!
//! - Every response has a nonce that is unique to the stream. A state-of-the-world request with another nonce is
//!   stale and changes nothing. Incremental requests hold subscription changes, so those apply with any nonce.
//! - A rejection (NACK) leaves the proxy with its last accepted state. Rejected content is not sent again until it
//!   changes; otherwise the two sides would loop.
//! - Make before break: additions and changes go out as clusters, endpoints, listeners, routes. Listeners and routes
//!   wait until the proxy has accepted new clusters. Removals go out last, in the opposite order, and only after the
//!   proxy has accepted everything before them, so no route in use names a cluster that was removed.

use crate::resources::{Resource, ResourceKind, ResourceSet, RESOURCE_KINDS};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::sync::Arc;

/// The resource name that subscribes to all resources of a type.
const WILDCARD: &str = "*";
/// Incremental responses per type that may wait for an answer; beyond this the oldest counts as accepted.
const MAX_UNANSWERED: usize = 64;

/// Bounds on the subscriptions of one stream. They limit the memory that one client can take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Resource names subscribed to, for each resource kind.
    pub names_per_kind: usize,
    /// Length of a resource name in bytes.
    pub name_bytes: usize,
}

/// A request that ends the stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdsError {
    /// A type URL that this service does not serve.
    UnknownType(String),
    /// More names than the limit, which is the number given.
    TooManyNames(ResourceKind, usize),
    /// A name longer than the limit, which is the number of bytes given.
    LongName(ResourceKind, usize),
}

impl fmt::Display for AdsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AdsError::UnknownType(url) => {
                let short: String = url.chars().take(120).collect();
                write!(f, "type_url: '{short}' is not served here; allowed are the v3 Cluster, ")?;
                f.write_str("ClusterLoadAssignment, Listener and RouteConfiguration")
            }
            AdsError::TooManyNames(kind, limit) => write!(f, "{kind}: more than {limit} names subscribed to"),
            AdsError::LongName(kind, limit) => write!(f, "{kind}: a name of more than {limit} bytes"),
        }
    }
}
impl std::error::Error for AdsError {}

/// A discovery request, state-of-the-world (`DiscoveryRequest`) or incremental (`DeltaDiscoveryRequest`).
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Request {
    /// `type_url`.
    pub type_url: String,
    /// `response_nonce`: the response that the request answers; empty if it answers none.
    pub nonce: String,
    /// `error_detail.message`, if the client rejects the response with that nonce.
    pub rejected: Option<String>,
    /// The subscription.
    pub names: Names,
}

/// The subscription part of a request, by protocol.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Names {
    /// State of the world: all names, with the version that the client accepted last.
    StateOfTheWorld {
        /// `resource_names`.
        names: Vec<String>,
        /// `version_info`.
        version: String,
    },
    /// Incremental: changes of the subscription.
    Incremental {
        /// `resource_names_subscribe`.
        subscribe: Vec<String>,
        /// `resource_names_unsubscribe`.
        unsubscribe: Vec<String>,
        /// `initial_resource_versions`: names and versions that the client kept from an earlier stream.
        initial: Vec<(String, String)>,
    },
}

impl Default for Names {
    fn default() -> Names {
        Names::StateOfTheWorld { names: Vec::new(), version: String::new() }
    }
}

/// A response to be sent.
#[derive(Debug, Clone)]
pub struct Response {
    /// The type of all resources in it.
    pub kind: ResourceKind,
    /// `version_info` (state-of-the-world) or `system_version_info`.
    pub version: String,
    /// The nonce that the client answers with.
    pub nonce: String,
    /// All resources of the type, or those that changed.
    pub resources: Vec<Arc<Resource>>,
    /// Names of removed resources (incremental only).
    pub removed: Vec<String>,
}

/// How a request answers an earlier response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Acknowledgement {
    /// The request answers no open response: it is a plain subscription or stale.
    None,
    /// The client accepted the response (ACK).
    Accepted(ResourceKind),
    /// The client rejected the response (NACK): the kind, the version sent and the client's error message.
    Rejected(ResourceKind, String, String),
}

/// The protocol variant of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// `StreamAggregatedResources`.
    StateOfTheWorld,
    /// `DeltaAggregatedResources`.
    Incremental,
}

/// Writes the value of the log field `flavour`.
impl fmt::Display for Protocol {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Protocol::StateOfTheWorld => "Whole",
            Protocol::Incremental => "Delta",
        })
    }
}

/// What this service knows of a proxy's copy of one resource.
#[derive(Debug, Clone)]
enum ProxyCopy {
    /// The proxy has this resource.
    Resource(Arc<Resource>),
    /// The proxy has some content of this version from an earlier stream.
    Version(String),
    /// The proxy has this resource or none.
    Maybe(Arc<Resource>),
    /// The proxy was told that the resource does not exist.
    None,
}

impl ProxyCopy {
    fn version(&self) -> Option<&str> {
        match self {
            ProxyCopy::Resource(r) => Some(&r.version),
            ProxyCopy::Version(v) => Some(v),
            ProxyCopy::Maybe(_) | ProxyCopy::None => None,
        }
    }
    /// Whether the proxy may hold the resource, so that its deletion must be sent.
    fn may_exist(&self) -> bool {
        !matches!(self, ProxyCopy::None)
    }
}

/// A response that the client has not answered yet.
#[derive(Debug)]
struct OpenResponse {
    nonce: String,
    version: String,
    /// For each name, the version sent (`None` for a removal) and what the proxy had before; a rejection restores
    /// the latter.
    names: BTreeMap<Arc<str>, (Option<String>, Option<ProxyCopy>)>,
}

/// The subscription of a stream to one resource kind, and what the proxy holds of it.
#[derive(Debug, Default)]
struct Subscription {
    /// The client has sent a request for this kind.
    subscribed: bool,
    wildcard: bool,
    names: BTreeSet<String>,
    /// What the proxy holds, by name. No entry means that it has nothing and was told nothing.
    copies: BTreeMap<Arc<str>, ProxyCopy>,
    /// The version that a state-of-the-world proxy named in its first request, until there is a set to compare it
    /// with.
    claim: Option<String>,
    /// Names that must be sent again although the proxy should have them, because it subscribed to them again.
    resend: BTreeSet<String>,
    /// Versions that the proxy rejected, by name. For kinds that are sent whole, the name "" holds the version of
    /// the whole response.
    rejected: BTreeMap<Arc<str>, String>,
    /// Responses without an answer, oldest first. State of the world keeps only the last.
    unanswered: VecDeque<OpenResponse>,
    /// A response must be sent even if no resource changed, because the subscription changed.
    must_send: bool,
}

impl Subscription {
    fn covers(&self, name: &str) -> bool {
        self.wildcard || self.names.contains(name)
    }
}

/// One discovery stream of one proxy.
#[derive(Debug)]
pub struct Stream {
    protocol: Protocol,
    limits: Limits,
    prefix: String,
    serial: u64,
    set: Option<Arc<ResourceSet>>,
    /// The time in which a new proxy subscribes to everything that it uses has passed.
    initial_period_over: bool,
    subs: [Subscription; RESOURCE_KINDS.len()],
}

impl Stream {
    /// `prefix` starts every nonce. It must differ from that of any other stream, or a nonce of an old stream could
    /// be mistaken for one of this stream.
    pub fn new(protocol: Protocol, prefix: String, limits: Limits) -> Stream {
        Stream {
            protocol,
            limits,
            prefix,
            serial: 0,
            set: None,
            initial_period_over: false,
            subs: Default::default(),
        }
    }

    /// Replaces the resource set; sets that were not sent in time are skipped.
    pub fn update(&mut self, set: Arc<ResourceSet>) {
        for (sub, kind) in self.subs.iter_mut().zip(RESOURCE_KINDS) {
            apply_version_claim(sub, kind, &set);
            // A rejected version that is no longer current must not delay removals.
            let current =
                |name: &str, version: &str| set.get(kind, name).is_some_and(|r| r.version == version);
            sub.rejected.retain(|name, version| name.is_empty() || current(name, version));
        }
        self.set = Some(set);
    }

    /// Notes that the proxy has had time to subscribe to everything that it uses. Until then nothing is removed from
    /// a proxy that has not subscribed to routes, as it may still use routes of an earlier stream.
    pub fn end_initial_period(&mut self) {
        self.initial_period_over = true;
    }

    /// Handles a request. The caller must end the stream after an error.
    pub fn request(&mut self, request: Request) -> Result<Acknowledgement, AdsError> {
        let Some(kind) = ResourceKind::from_type_url(&request.type_url) else {
            return Err(AdsError::UnknownType(request.type_url));
        };
        match request.names {
            Names::StateOfTheWorld { names, version } => {
                self.handle_state_of_the_world(kind, request.nonce, request.rejected, names, version)
            }
            Names::Incremental { subscribe, unsubscribe, initial } => self.handle_incremental(
                kind,
                request.nonce,
                request.rejected,
                subscribe,
                unsubscribe,
                initial,
            ),
        }
    }

    fn check_limits<'a>(
        &self,
        kind: ResourceKind,
        names: impl Iterator<Item = &'a String>,
    ) -> Result<(), AdsError> {
        let limits = self.limits;
        for (n, name) in names.enumerate() {
            if n >= limits.names_per_kind {
                return Err(AdsError::TooManyNames(kind, limits.names_per_kind));
            }
            if name.len() > limits.name_bytes {
                return Err(AdsError::LongName(kind, limits.name_bytes));
            }
        }
        Ok(())
    }

    fn handle_state_of_the_world(
        &mut self,
        kind: ResourceKind,
        nonce: String,
        rejected: Option<String>,
        names: Vec<String>,
        version: String,
    ) -> Result<Acknowledgement, AdsError> {
        self.check_limits(kind, names.iter())?;
        let set = self.set.clone();
        let sub = &mut self.subs[kind as usize];
        let first = !sub.subscribed;
        // Once this stream has sent a response, a request with any nonce but that of the last response is stale. Its
        // names can be ignored, because the answer to the last response repeats them.
        if let Some(last) = sub.unanswered.back() {
            if nonce != last.nonce {
                return Ok(Acknowledgement::None);
            }
        }
        let acknowledgement = match sub.unanswered.pop_back() {
            None => Acknowledgement::None,
            Some(sent) => match rejected {
                Some(problem) => {
                    let version = sent.version.clone();
                    if kind.is_sent_whole() {
                        sub.rejected.insert("".into(), version.clone());
                    }
                    revert_rejected(sub, sent);
                    Acknowledgement::Rejected(kind, version, problem)
                }
                None => {
                    sub.rejected.remove("");
                    Acknowledgement::Accepted(kind)
                }
            },
        };
        let (old_wildcard, old) = (sub.wildcard, std::mem::take(&mut sub.names));
        // For kinds that are sent whole, an empty list means all as long as no names were ever given, and none
        // afterwards.
        sub.wildcard = names.iter().any(|n| n == WILDCARD)
            || kind.is_sent_whole() && names.is_empty() && (first || old_wildcard && old.is_empty());
        sub.names = names.into_iter().filter(|n| n != WILDCARD).collect();
        sub.subscribed = true;
        let fresh: Vec<String> = sub.names.difference(&old).cloned().collect();
        let changed = sub.wildcard != old_wildcard || sub.names != old;
        if !first && changed {
            sub.must_send |= kind.is_sent_whole();
            for name in fresh {
                // The proxy may have dropped the resource since it last subscribed, so it is sent again.
                sub.copies.remove(name.as_str());
            }
            let (wildcard, names) = (sub.wildcard, &sub.names);
            sub.copies.retain(|name, _| wildcard || names.contains(&**name));
        }
        if first {
            sub.must_send = true;
            sub.claim = Some(version).filter(|version| !version.is_empty());
            set.into_iter().for_each(|set| apply_version_claim(sub, kind, &set));
        }
        Ok(acknowledgement)
    }

    fn handle_incremental(
        &mut self,
        kind: ResourceKind,
        nonce: String,
        rejected: Option<String>,
        subscribe: Vec<String>,
        unsubscribe: Vec<String>,
        initial: Vec<(String, String)>,
    ) -> Result<Acknowledgement, AdsError> {
        self.check_limits(kind, subscribe.iter())?;
        self.check_limits(kind, unsubscribe.iter())?;
        self.check_limits(kind, initial.iter().map(|(name, _)| name))?;
        self.check_limits(kind, initial.iter().map(|(_, version)| version))?;
        let (limit, sub) = (self.limits.names_per_kind, &mut self.subs[kind as usize]);
        let first = !sub.subscribed;
        let answered = sub.unanswered.iter().position(|s| !nonce.is_empty() && s.nonce == nonce);
        let acknowledgement = match answered.and_then(|at| sub.unanswered.remove(at)) {
            None => Acknowledgement::None,
            Some(sent) => match rejected {
                Some(problem) => {
                    let version = sent.version.clone();
                    revert_rejected(sub, sent);
                    Acknowledgement::Rejected(kind, version, problem)
                }
                None => Acknowledgement::Accepted(kind),
            },
        };
        if first {
            sub.subscribed = true;
            sub.wildcard = kind.is_sent_whole() && subscribe.is_empty();
            for (name, version) in initial {
                sub.copies.insert(name.into(), ProxyCopy::Version(version));
            }
        }
        for name in unsubscribe {
            if name == WILDCARD {
                sub.wildcard = false;
            } else if sub.names.remove(&name) {
                if sub.wildcard {
                    // The wildcard may still cover the resource; the proxy can't know, so it gets an answer.
                    sub.resend.insert(name);
                } else {
                    sub.copies.remove(name.as_str());
                    sub.rejected.remove(name.as_str());
                    sub.resend.remove(&name);
                }
            }
        }
        if !sub.wildcard && !first {
            let names = &sub.names;
            sub.copies.retain(|name, _| names.contains(&**name));
        }
        for name in subscribe {
            if name == WILDCARD {
                sub.wildcard = true;
                continue;
            }
            let known = first && sub.copies.contains_key(name.as_str());
            if !known {
                // A repeated subscription must be answered even if the resource was sent before.
                sub.copies.remove(name.as_str());
                sub.resend.insert(name.clone());
            }
            sub.names.insert(name);
            if sub.names.len() > limit {
                return Err(AdsError::TooManyNames(kind, limit));
            }
        }
        if first {
            // The proxy drops resources of an earlier stream that it did not subscribe to on this one.
            let (wildcard, names) = (sub.wildcard, &sub.names);
            sub.copies.retain(|name, _| wildcard || names.contains(&**name));
        }
        Ok(acknowledgement)
    }

    /// The next response to send, if any. Call it only when the response can be sent at once.
    pub fn next_response(&mut self) -> Option<Response> {
        let set = self.set.clone()?;
        // Additions and changes first, in order.
        for kind in RESOURCE_KINDS {
            // Listeners and routes wait until the proxy accepts new clusters: it may reject a cluster that they name.
            if kind > ResourceKind::Endpoints && self.has_unaccepted_clusters(&set) {
                return None;
            }
            if let Some(response) = self.next_addition(&set, kind) {
                return Some(response);
            }
        }
        // Removals follow in the opposite order, once everything was accepted and nothing rejected.
        let all_accepted = self
            .subs
            .iter()
            .all(|s| s.unanswered.is_empty() && s.rejected.keys().all(|name| name.is_empty()));
        if all_accepted && (self.initial_period_over || self.subs[ResourceKind::Routes as usize].subscribed) {
            for kind in RESOURCE_KINDS.into_iter().rev() {
                if let Some(response) = self.next_removal(&set, kind) {
                    return Some(response);
                }
            }
        }
        None
    }

    /// Whether a response is waiting for its answer.
    pub fn is_unanswered(&self) -> bool {
        self.subs.iter().any(|sub| !sub.unanswered.is_empty())
    }

    /// Whether the proxy has accepted exactly the current resources of its subscriptions.
    pub fn is_settled(&self) -> bool {
        let Some(set) = &self.set else { return false };
        self.subs.iter().zip(RESOURCE_KINDS).all(|(sub, kind)| {
            let wanted = subscribed_resources(set, kind, sub);
            let has = sub.copies.values().filter(|h| h.may_exist()).count();
            let same = |r: &Arc<Resource>| {
                sub.copies.get(&r.name).and_then(ProxyCopy::version) == Some(r.version.as_str())
            };
            sub.unanswered.is_empty() && has == wanted.len() && wanted.iter().all(same)
        })
    }

    /// Whether the proxy subscribes to a new cluster that it has not accepted yet.
    fn has_unaccepted_clusters(&self, set: &ResourceSet) -> bool {
        let sub = &self.subs[ResourceKind::Cluster as usize];
        let had = |has: Option<&ProxyCopy>| has.and_then(ProxyCopy::version).is_some();
        let accepted = |r: &Arc<Resource>| {
            let new =
                |sent: &OpenResponse| sent.names.get(&r.name).is_some_and(|(_, was)| !had(was.as_ref()));
            had(sub.copies.get(&r.name)) && !sub.unanswered.iter().any(new)
        };
        sub.subscribed && !subscribed_resources(set, ResourceKind::Cluster, sub).iter().all(accepted)
    }

    fn next_nonce(&mut self) -> String {
        self.serial += 1;
        format!("{}-{}", self.prefix, self.serial)
    }

    fn next_addition(&mut self, set: &Arc<ResourceSet>, kind: ResourceKind) -> Option<Response> {
        let sub = &self.subs[kind as usize];
        if !sub.subscribed {
            return None;
        }
        let wanted = subscribed_resources(set, kind, sub);
        let new = |r: &&Arc<Resource>| {
            let version = Some(r.version.as_str());
            let rejected = sub.rejected.get(&r.name).map(String::as_str) == version;
            sub.resend.contains(&*r.name)
                || !rejected && sub.copies.get(&r.name).and_then(ProxyCopy::version) != version
        };
        match self.protocol {
            Protocol::StateOfTheWorld if kind.is_sent_whole() => {
                let changed = wanted.iter().any(|r| new(&r));
                if !changed && !sub.must_send {
                    return None;
                }
                // Removed resources stay in the response until removals are allowed.
                let mut resources = wanted;
                let kept = sub.copies.iter().filter(|(name, _)| set.get(kind, name).is_none());
                resources.extend(kept.filter_map(|(name, has)| match has {
                    ProxyCopy::Resource(r) | ProxyCopy::Maybe(r) if sub.covers(name) => Some(r.clone()),
                    _ => None,
                }));
                resources.sort_by(|a, b| a.name.cmp(&b.name));
                let rejected = sub.rejected.get("").is_some_and(|v| *v == version_of(&resources));
                (!rejected || sub.must_send).then(|| self.record_response(kind, resources, Vec::new()))
            }
            Protocol::StateOfTheWorld => {
                // Resources of the last, unanswered response are repeated: this response makes its answer stale, so
                // their acceptance would never be known.
                let in_last_response =
                    |r: &&Arc<Resource>| sub.unanswered.back().is_some_and(|s| s.names.contains_key(&r.name));
                let changed: Vec<_> = match wanted.iter().any(|r| new(&r)) {
                    true => wanted.iter().filter(|r| new(r) || in_last_response(r)).cloned().collect(),
                    false => Vec::new(),
                };
                // A missing resource gets no answer in this protocol; the proxy applies its own time limit.
                (!changed.is_empty()).then(|| self.record_response(kind, changed, Vec::new()))
            }
            Protocol::Incremental => {
                let changed: Vec<_> = wanted.iter().filter(new).cloned().collect();
                // A subscribed name without a resource is reported as removed, at once and only once.
                let none = sub.resend.iter().filter(|n| set.get(kind, n).is_none()).cloned();
                let missing = sub
                    .names
                    .iter()
                    .filter(|n| set.get(kind, n).is_none() && !sub.copies.contains_key(n.as_str()));
                let removed: BTreeSet<String> = none.chain(missing.cloned()).collect();
                if changed.is_empty() && removed.is_empty() {
                    return None;
                }
                Some(self.record_response(kind, changed, removed.into_iter().collect()))
            }
        }
    }

    fn next_removal(&mut self, set: &Arc<ResourceSet>, kind: ResourceKind) -> Option<Response> {
        let sub = &self.subs[kind as usize];
        let removed_names: Vec<Arc<str>> = sub
            .copies
            .iter()
            .filter(|(name, has)| has.may_exist() && set.get(kind, name).is_none())
            .map(|(name, _)| name.clone())
            .collect();
        if removed_names.is_empty() {
            return None;
        }
        match self.protocol {
            Protocol::StateOfTheWorld if kind.is_sent_whole() => {
                self.subs[kind as usize].copies.retain(|name, _| !removed_names.contains(name));
                let resources = subscribed_resources(set, kind, &self.subs[kind as usize]);
                Some(self.record_response(kind, resources, Vec::new()))
            }
            // This protocol can't remove such a resource; the proxy drops it when nothing refers to it.
            Protocol::StateOfTheWorld => {
                self.subs[kind as usize].copies.retain(|name, _| !removed_names.contains(name));
                None
            }
            Protocol::Incremental => Some(self.record_response(
                kind,
                Vec::new(),
                removed_names.iter().map(|name| name.to_string()).collect(),
            )),
        }
    }

    fn record_response(
        &mut self,
        kind: ResourceKind,
        resources: Vec<Arc<Resource>>,
        removed: Vec<String>,
    ) -> Response {
        let nonce = self.next_nonce();
        let (protocol, system) = (self.protocol, self.set.as_ref().map(|s| s.version(kind).to_string()));
        let sub = &mut self.subs[kind as usize];
        // In state of the world, the answer to the previous response is stale from now on.
        let open = if protocol == Protocol::StateOfTheWorld { sub.unanswered.pop_back() } else { None };
        let mut open = open.map(|sent| sent.names).unwrap_or_default();
        let mut names = BTreeMap::new();
        for r in &resources {
            let had = sub.copies.insert(r.name.clone(), ProxyCopy::Resource(r.clone()));
            let had = open.remove(&r.name).map_or(had, |(_, before)| before);
            names.insert(r.name.clone(), (Some(r.version.clone()), had));
            sub.resend.remove(&*r.name);
            sub.rejected.remove(&r.name);
        }
        for name in &removed {
            let name: Arc<str> = name.as_str().into();
            names.insert(name.clone(), (None, sub.copies.remove(&name)));
            sub.resend.remove(&*name);
            if sub.names.contains(&*name) {
                sub.copies.insert(name, ProxyCopy::None);
            }
        }
        sub.must_send = false;
        let version = match protocol {
            Protocol::StateOfTheWorld => version_of(&resources),
            Protocol::Incremental => system.unwrap_or_default(),
        };
        if sub.unanswered.len() >= MAX_UNANSWERED {
            sub.unanswered.pop_front();
        }
        sub.unanswered.push_back(OpenResponse { nonce: nonce.clone(), version: version.clone(), names });
        Response { kind, version, nonce, resources, removed }
    }
}

/// Handles a rejected response: restores what the proxy had before and notes the rejected versions. If a later
/// unanswered response holds the same name, the earlier state becomes what that response would restore.
fn revert_rejected(sub: &mut Subscription, sent: OpenResponse) {
    for (name, (version, before)) in sent.names {
        let later = sub.unanswered.iter_mut().find_map(|later| later.names.get_mut(&name));
        if let Some(later) = later {
            later.1 = before;
            continue;
        }
        match before {
            Some(has) => drop(sub.copies.insert(name.clone(), has)),
            None => drop(sub.copies.remove(&name)),
        }
        version.into_iter().for_each(|version| drop(sub.rejected.insert(name.clone(), version)));
    }
}

/// Derives what a reconnected state-of-the-world proxy has from the version it claims. Versions are hashes of a
/// response's content: if the claim equals the version that would be sent now, the proxy already has exactly that
/// content, from an earlier stream or another replica.
fn apply_version_claim(sub: &mut Subscription, kind: ResourceKind, set: &ResourceSet) {
    let Some(claim) = sub.claim.take() else { return };
    let now = subscribed_resources(set, kind, sub);
    let same = version_of(&now) == claim;
    // Otherwise it may hold any recent cluster, even a mix of several states.
    let before = set.past_clusters().filter(|_| kind == ResourceKind::Cluster && sub.wildcard);
    sub.copies = match same {
        true => now.into_iter().map(|r| (r.name.clone(), ProxyCopy::Resource(r))).collect(),
        false => before.chain(&now).map(|r| (r.name.clone(), ProxyCopy::Maybe(r.clone()))).collect(),
    };
    sub.must_send = !same;
}

/// The current resources that a subscription covers, sorted by name.
fn subscribed_resources(set: &ResourceSet, kind: ResourceKind, sub: &Subscription) -> Vec<Arc<Resource>> {
    if sub.wildcard {
        let all = set.all(kind).filter(|r| !r.by_name_only || sub.names.contains(&*r.name));
        return all.cloned().collect();
    }
    sub.names.iter().filter_map(|name| set.get(kind, name).cloned()).collect()
}

/// The version of a state-of-the-world response: a hash of its content, so every replica gives the same.
fn version_of(resources: &[Arc<Resource>]) -> String {
    crate::resources::hash(resources.iter().flat_map(|r| [r.name.as_bytes(), r.version.as_bytes()]))
}
