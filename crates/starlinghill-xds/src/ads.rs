//! One aggregated discovery stream as a state machine, state-of-the-world or incremental: requests and newer
//! resources in, responses out. No I/O and no clock; whoever owns the socket asks for the next response when it
//! has room for one, so a proxy that does not read gets only the newest state when it reads again.
//!
//! Source: the xDS transport protocol, `envoy.service.discovery.v3`. What is held to:
//!
//! - Every response has a nonce of this stream; a state-of-the-world request that names another is stale and
//!   changes nothing. Incremental requests carry changes of the subscription, so those count in any case.
//! - A refusal (NACK) leaves the proxy with its last good state. What was refused is not sent again until its
//!   content changes, so nothing loops.
//! - Make before break: clusters, endpoints, listeners, routes are added and changed in this order, and nothing
//!   that may name a new cluster goes out before the proxy has accepted that; what is no longer there is taken away last, in the opposite order, and only once the proxy has accepted all that came
//!   before, so no route it may still be using names a cluster that is gone.

use crate::resources::{Resource, ResourceKind, ResourceSet, RESOURCE_KINDS};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::sync::Arc;

/// The name that subscribes to all resources of a type.
const WILDCARD: &str = "*";
/// Nonces of incremental responses that may be unanswered at a time; the oldest is then taken for accepted.
const MOST_UNANSWERED: usize = 64;

/// What a stream may ask for. Guards memory against subscriptions without end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Names subscribed to, for each type.
    pub names_per_kind: usize,
    /// Bytes of a name.
    pub name_bytes: usize,
}

/// Why a stream is to be ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdsError {
    /// A type that is not served.
    UnknownType(String),
    /// Too many names.
    TooManyNames(ResourceKind, usize),
    /// A name that is too long.
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
            AdsError::TooManyNames(kind, most) => write!(f, "{kind}: more than {most} names subscribed to"),
            AdsError::LongName(kind, most) => write!(f, "{kind}: a name of more than {most} bytes"),
        }
    }
}
impl std::error::Error for AdsError {}

/// A discovery request, state-of-the-world (`DiscoveryRequest`) or incremental (`DeltaDiscoveryRequest`).
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Request {
    /// `type_url`.
    pub type_url: String,
    /// `response_nonce`; empty for none.
    pub nonce: String,
    /// `error_detail.message`: the response of that nonce is refused.
    pub refused: Option<String>,
    /// What it subscribes to.
    pub names: Names,
}

/// The two ways to subscribe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Names {
    /// All names, with the version last accepted.
    Whole {
        /// `resource_names`.
        names: Vec<String>,
        /// `version_info`.
        version: String,
    },
    /// Changes.
    Delta {
        /// `resource_names_subscribe`.
        subscribe: Vec<String>,
        /// `resource_names_unsubscribe`.
        unsubscribe: Vec<String>,
        /// `initial_resource_versions`.
        initial: Vec<(String, String)>,
    },
}

impl Default for Names {
    fn default() -> Names {
        Names::Whole { names: Vec::new(), version: String::new() }
    }
}

/// A response to be sent.
#[derive(Debug, Clone)]
pub struct Response {
    /// Its type.
    pub kind: ResourceKind,
    /// `version_info` (state-of-the-world) or `system_version_info`.
    pub version: String,
    /// Its nonce.
    pub nonce: String,
    /// Resources, all or those that changed.
    pub resources: Vec<Arc<Resource>>,
    /// Names taken away (incremental).
    pub removed: Vec<String>,
}

/// What a request told of an earlier response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Heard {
    /// Nothing.
    Nothing,
    /// It was accepted.
    Accepted(ResourceKind),
    /// It was refused: the type, the version sent, and what the proxy says of it.
    Refused(ResourceKind, String, String),
}

/// The flavour of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flavour {
    /// `StreamAggregatedResources`.
    Whole,
    /// `DeltaAggregatedResources`.
    Delta,
}

/// What a proxy has of one resource, as far as it is known here.
#[derive(Debug, Clone)]
enum Has {
    /// This.
    Resource(Arc<Resource>),
    /// Something of this version, from an earlier stream.
    Version(String),
    /// This, or nothing.
    Maybe(Arc<Resource>),
    /// It was told that there is none.
    None,
}

impl Has {
    fn version(&self) -> Option<&str> {
        match self {
            Has::Resource(r) => Some(&r.version),
            Has::Version(v) => Some(v),
            Has::Maybe(_) | Has::None => None,
        }
    }
    /// It must be taken away if it is to go.
    fn may_be_there(&self) -> bool {
        !matches!(self, Has::None)
    }
}

/// A response without an answer yet.
#[derive(Debug)]
struct Sent {
    nonce: String,
    version: String,
    /// The version of each name in it (`None`: taken away), and what the proxy had before, to go back to if it
    /// is refused.
    names: BTreeMap<Arc<str>, (Option<String>, Option<Has>)>,
}

#[derive(Debug, Default)]
struct Sub {
    asked: bool,
    wildcard: bool,
    names: BTreeSet<String>,
    has: BTreeMap<Arc<str>, Has>,
    /// The version that it says it has (state-of-the-world), while there is nothing to compare it with.
    claim: Option<String>,
    /// Asked for anew: sent though the proxy should have them.
    again: BTreeSet<String>,
    /// Versions that the proxy refused, by name; of types sent whole also that of the whole (name "").
    refused: BTreeMap<Arc<str>, String>,
    /// Unanswered, oldest first; state-of-the-world: the last alone.
    sent: VecDeque<Sent>,
    /// A whole state must be sent even if it says nothing new: the subscription changed.
    owed: bool,
}

impl Sub {
    fn wants(&self, name: &str) -> bool {
        self.wildcard || self.names.contains(name)
    }
}

/// One stream.
#[derive(Debug)]
pub struct Stream {
    flavour: Flavour,
    limits: Limits,
    prefix: String,
    serial: u64,
    set: Option<Arc<ResourceSet>>,
    /// The proxy has had time to subscribe to all that it uses.
    introduced: bool,
    subs: [Sub; RESOURCE_KINDS.len()],
}

impl Stream {
    /// A new stream. `prefix` begins each of its nonces and must be unlike that of any other stream, so that a
    /// nonce of an old stream is never taken for one of this.
    pub fn new(flavour: Flavour, prefix: String, limits: Limits) -> Stream {
        Stream { flavour, limits, prefix, serial: 0, set: None, introduced: false, subs: Default::default() }
    }

    /// There are newer resources. Only the newest count.
    pub fn update(&mut self, set: Arc<ResourceSet>) {
        for (sub, kind) in self.subs.iter_mut().zip(RESOURCE_KINDS) {
            believe(sub, kind, &set);
            // What was refused and is no longer to be sent holds nothing up.
            let current =
                |name: &str, version: &str| set.get(kind, name).is_some_and(|r| r.version == version);
            sub.refused.retain(|name, version| name.is_empty() || current(name, version));
        }
        self.set = Some(set);
    }

    /// The proxy has had time to subscribe to all that it uses. Until then nothing is taken away from one that
    /// has not asked for routes: it may still be using those of an earlier stream.
    pub fn introduced(&mut self) {
        self.introduced = true;
    }

    /// Takes a request in. After an error the stream is to be ended.
    pub fn request(&mut self, request: Request) -> Result<Heard, AdsError> {
        let Some(kind) = ResourceKind::from_type_url(&request.type_url) else {
            return Err(AdsError::UnknownType(request.type_url));
        };
        match request.names {
            Names::Whole { names, version } => {
                self.whole(kind, request.nonce, request.refused, names, version)
            }
            Names::Delta { subscribe, unsubscribe, initial } => {
                self.delta(kind, request.nonce, request.refused, subscribe, unsubscribe, initial)
            }
        }
    }

    fn check<'a>(&self, kind: ResourceKind, names: impl Iterator<Item = &'a String>) -> Result<(), AdsError> {
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

    fn whole(
        &mut self,
        kind: ResourceKind,
        nonce: String,
        refused: Option<String>,
        names: Vec<String>,
        version: String,
    ) -> Result<Heard, AdsError> {
        self.check(kind, names.iter())?;
        let set = self.set.clone();
        let sub = &mut self.subs[kind as usize];
        let first = !sub.asked;
        // The answer to anything but the last response is stale, and so is a nonce of another stream once this
        // one has sent something. What it would say of names, the answer to the last response says again.
        if let Some(last) = sub.sent.back() {
            if nonce != last.nonce {
                return Ok(Heard::Nothing);
            }
        }
        let heard = match sub.sent.pop_back() {
            None => Heard::Nothing,
            Some(sent) => match refused {
                Some(problem) => {
                    let version = sent.version.clone();
                    if kind.is_sent_whole() {
                        sub.refused.insert("".into(), version.clone());
                    }
                    undo(sub, sent);
                    Heard::Refused(kind, version, problem)
                }
                None => {
                    sub.refused.remove("");
                    Heard::Accepted(kind)
                }
            },
        };
        let (was_wildcard, old) = (sub.wildcard, std::mem::take(&mut sub.names));
        // No name at all, from the first on, means all (for the types that are sent whole); once names were
        // given it means none.
        sub.wildcard = names.iter().any(|n| n == WILDCARD)
            || kind.is_sent_whole() && names.is_empty() && (first || was_wildcard && old.is_empty());
        sub.names = names.into_iter().filter(|n| n != WILDCARD).collect();
        sub.asked = true;
        let fresh: Vec<String> = sub.names.difference(&old).cloned().collect();
        let changed = sub.wildcard != was_wildcard || sub.names != old;
        if !first && changed {
            sub.owed |= kind.is_sent_whole();
            for name in fresh {
                // Named anew: it may have been dropped meanwhile, so it is sent again.
                sub.has.remove(name.as_str());
            }
            let (wildcard, names) = (sub.wildcard, &sub.names);
            sub.has.retain(|name, _| wildcard || names.contains(&**name));
        }
        if first {
            sub.owed = true;
            sub.claim = Some(version).filter(|version| !version.is_empty());
            set.into_iter().for_each(|set| believe(sub, kind, &set));
        }
        Ok(heard)
    }

    fn delta(
        &mut self,
        kind: ResourceKind,
        nonce: String,
        refused: Option<String>,
        subscribe: Vec<String>,
        unsubscribe: Vec<String>,
        initial: Vec<(String, String)>,
    ) -> Result<Heard, AdsError> {
        self.check(kind, subscribe.iter())?;
        self.check(kind, unsubscribe.iter())?;
        self.check(kind, initial.iter().map(|(name, _)| name))?;
        self.check(kind, initial.iter().map(|(_, version)| version))?;
        let (most, sub) = (self.limits.names_per_kind, &mut self.subs[kind as usize]);
        let first = !sub.asked;
        let answered = sub.sent.iter().position(|s| !nonce.is_empty() && s.nonce == nonce);
        let heard = match answered.and_then(|at| sub.sent.remove(at)) {
            None => Heard::Nothing,
            Some(sent) => match refused {
                Some(problem) => {
                    let version = sent.version.clone();
                    undo(sub, sent);
                    Heard::Refused(kind, version, problem)
                }
                None => Heard::Accepted(kind),
            },
        };
        if first {
            sub.asked = true;
            sub.wildcard = kind.is_sent_whole() && subscribe.is_empty();
            for (name, version) in initial {
                sub.has.insert(name.into(), Has::Version(version));
            }
        }
        for name in unsubscribe {
            if name == WILDCARD {
                sub.wildcard = false;
            } else if sub.names.remove(&name) {
                if sub.wildcard {
                    // It may still be there by the wildcard; the proxy can't know, so it is told.
                    sub.again.insert(name);
                } else {
                    sub.has.remove(name.as_str());
                    sub.refused.remove(name.as_str());
                    sub.again.remove(&name);
                }
            }
        }
        if !sub.wildcard && !first {
            let names = &sub.names;
            sub.has.retain(|name, _| names.contains(&**name));
        }
        for name in subscribe {
            if name == WILDCARD {
                sub.wildcard = true;
                continue;
            }
            let known = first && sub.has.contains_key(name.as_str());
            if !known {
                // Also if it was sent before: who subscribes again must be answered.
                sub.has.remove(name.as_str());
                sub.again.insert(name.clone());
            }
            sub.names.insert(name);
            if sub.names.len() > most {
                return Err(AdsError::TooManyNames(kind, most));
            }
        }
        if first {
            // What it still has of an earlier stream, and did not ask for, is its own to forget.
            let (wildcard, names) = (sub.wildcard, &sub.names);
            sub.has.retain(|name, _| wildcard || names.contains(&**name));
        }
        Ok(heard)
    }

    /// The next response, if there is anything to say. Called when there is room for one.
    pub fn next_response(&mut self) -> Option<Response> {
        let set = self.set.clone()?;
        // Additions and changes first, in order.
        for kind in RESOURCE_KINDS {
            // Guards against routes to a cluster that the proxy refuses: they wait for its word on new ones.
            if kind > ResourceKind::Endpoints && self.lacks_clusters(&set) {
                return None;
            }
            if let Some(response) = self.add(&set, kind) {
                return Some(response);
            }
        }
        // Then what is gone, in the opposite order, once all of that was accepted and nothing refused.
        let quiet =
            self.subs.iter().all(|s| s.sent.is_empty() && s.refused.keys().all(|name| name.is_empty()));
        if quiet && (self.introduced || self.subs[ResourceKind::Routes as usize].asked) {
            for kind in RESOURCE_KINDS.into_iter().rev() {
                if let Some(response) = self.remove(&set, kind) {
                    return Some(response);
                }
            }
        }
        None
    }

    /// Whether something that was sent is not answered yet.
    pub fn is_unanswered(&self) -> bool {
        self.subs.iter().any(|sub| !sub.sent.is_empty())
    }

    /// Whether the proxy has, as far as it said, just what it should have.
    pub fn is_settled(&self) -> bool {
        let Some(set) = &self.set else { return false };
        self.subs.iter().zip(RESOURCE_KINDS).all(|(sub, kind)| {
            let wanted = listed(set, kind, sub);
            let has = sub.has.values().filter(|h| h.may_be_there()).count();
            let same =
                |r: &Arc<Resource>| sub.has.get(&r.name).and_then(Has::version) == Some(r.version.as_str());
            sub.sent.is_empty() && has == wanted.len() && wanted.iter().all(same)
        })
    }

    /// Whether there is a cluster that the proxy did not have before and has not accepted yet.
    fn lacks_clusters(&self, set: &ResourceSet) -> bool {
        let sub = &self.subs[ResourceKind::Cluster as usize];
        let had = |has: Option<&Has>| has.and_then(Has::version).is_some();
        let accepted = |r: &Arc<Resource>| {
            let new = |sent: &Sent| sent.names.get(&r.name).is_some_and(|(_, was)| !had(was.as_ref()));
            had(sub.has.get(&r.name)) && !sub.sent.iter().any(new)
        };
        sub.asked && !listed(set, ResourceKind::Cluster, sub).iter().all(accepted)
    }

    fn nonce(&mut self) -> String {
        self.serial += 1;
        format!("{}-{}", self.prefix, self.serial)
    }

    fn add(&mut self, set: &Arc<ResourceSet>, kind: ResourceKind) -> Option<Response> {
        let sub = &self.subs[kind as usize];
        if !sub.asked {
            return None;
        }
        let wanted = listed(set, kind, sub);
        let new = |r: &&Arc<Resource>| {
            let version = Some(r.version.as_str());
            let refused = sub.refused.get(&r.name).map(String::as_str) == version;
            sub.again.contains(&*r.name) || !refused && sub.has.get(&r.name).and_then(Has::version) != version
        };
        match self.flavour {
            Flavour::Whole if kind.is_sent_whole() => {
                let changed = wanted.iter().any(|r| new(&r));
                if !changed && !sub.owed {
                    return None;
                }
                // What is gone stays in the response until its turn to go has come.
                let mut resources = wanted;
                let kept = sub.has.iter().filter(|(name, _)| set.get(kind, name).is_none());
                resources.extend(kept.filter_map(|(name, has)| match has {
                    Has::Resource(r) | Has::Maybe(r) if sub.wants(name) => Some(r.clone()),
                    _ => None,
                }));
                resources.sort_by(|a, b| a.name.cmp(&b.name));
                let refused = sub.refused.get("").is_some_and(|v| *v == version_of(&resources));
                (!refused || sub.owed).then(|| self.send(kind, resources, Vec::new()))
            }
            Flavour::Whole => {
                // What the last response held is not known to be there before that is answered: it goes along,
                // as an answer to that response will be stale.
                let open =
                    |r: &&Arc<Resource>| sub.sent.back().is_some_and(|s| s.names.contains_key(&r.name));
                let changed: Vec<_> = match wanted.iter().any(|r| new(&r)) {
                    true => wanted.iter().filter(|r| new(r) || open(r)).cloned().collect(),
                    false => Vec::new(),
                };
                // A first request for what is not there gets no answer; the proxy goes by a time limit.
                (!changed.is_empty()).then(|| self.send(kind, changed, Vec::new()))
            }
            Flavour::Delta => {
                let changed: Vec<_> = wanted.iter().filter(new).cloned().collect();
                // Names asked for of which there is nothing are told as removed, at once and only once.
                let none = sub.again.iter().filter(|n| set.get(kind, n).is_none()).cloned();
                let missing = sub
                    .names
                    .iter()
                    .filter(|n| set.get(kind, n).is_none() && !sub.has.contains_key(n.as_str()));
                let removed: BTreeSet<String> = none.chain(missing.cloned()).collect();
                if changed.is_empty() && removed.is_empty() {
                    return None;
                }
                Some(self.send(kind, changed, removed.into_iter().collect()))
            }
        }
    }

    fn remove(&mut self, set: &Arc<ResourceSet>, kind: ResourceKind) -> Option<Response> {
        let sub = &self.subs[kind as usize];
        let gone: Vec<Arc<str>> = sub
            .has
            .iter()
            .filter(|(name, has)| has.may_be_there() && set.get(kind, name).is_none())
            .map(|(name, _)| name.clone())
            .collect();
        if gone.is_empty() {
            return None;
        }
        match self.flavour {
            Flavour::Whole if kind.is_sent_whole() => {
                self.subs[kind as usize].has.retain(|name, _| !gone.contains(name));
                let resources = listed(set, kind, &self.subs[kind as usize]);
                Some(self.send(kind, resources, Vec::new()))
            }
            // Nothing can be said; the proxy drops it with the last that names it.
            Flavour::Whole => {
                self.subs[kind as usize].has.retain(|name, _| !gone.contains(name));
                None
            }
            Flavour::Delta => {
                Some(self.send(kind, Vec::new(), gone.iter().map(|name| name.to_string()).collect()))
            }
        }
    }

    fn send(&mut self, kind: ResourceKind, resources: Vec<Arc<Resource>>, removed: Vec<String>) -> Response {
        let nonce = self.nonce();
        let (flavour, system) = (self.flavour, self.set.as_ref().map(|s| s.version(kind).to_string()));
        let sub = &mut self.subs[kind as usize];
        // State-of-the-world: the answer to the response before is stale from now on.
        let open = if flavour == Flavour::Whole { sub.sent.pop_back() } else { None };
        let mut open = open.map(|sent| sent.names).unwrap_or_default();
        let mut names = BTreeMap::new();
        for r in &resources {
            let had = sub.has.insert(r.name.clone(), Has::Resource(r.clone()));
            let had = open.remove(&r.name).map_or(had, |(_, before)| before);
            names.insert(r.name.clone(), (Some(r.version.clone()), had));
            sub.again.remove(&*r.name);
            sub.refused.remove(&r.name);
        }
        for name in &removed {
            let name: Arc<str> = name.as_str().into();
            names.insert(name.clone(), (None, sub.has.remove(&name)));
            sub.again.remove(&*name);
            if sub.names.contains(&*name) {
                sub.has.insert(name, Has::None);
            }
        }
        sub.owed = false;
        let version = match flavour {
            Flavour::Whole => version_of(&resources),
            Flavour::Delta => system.unwrap_or_default(),
        };
        if sub.sent.len() >= MOST_UNANSWERED {
            sub.sent.pop_front();
        }
        sub.sent.push_back(Sent { nonce: nonce.clone(), version: version.clone(), names });
        Response { kind, version, nonce, resources, removed }
    }
}

/// A refused response: the proxy has what it had before, and what was refused is noted. Later responses that are
/// still unanswered may hold the same names; then it is they that would go back to that.
fn undo(sub: &mut Sub, sent: Sent) {
    for (name, (version, before)) in sent.names {
        let later = sub.sent.iter_mut().find_map(|later| later.names.get_mut(&name));
        if let Some(later) = later {
            later.1 = before;
            continue;
        }
        match before {
            Some(has) => drop(sub.has.insert(name.clone(), has)),
            None => drop(sub.has.remove(&name)),
        }
        version.into_iter().for_each(|version| drop(sub.refused.insert(name.clone(), version)));
    }
}

/// What a state-of-the-world proxy that came back has, by the version that it claims. Versions are hashes of what
/// is in a response: one that is the same as what would be sent proves that the proxy has just that, from an
/// earlier stream or another replica.
fn believe(sub: &mut Sub, kind: ResourceKind, set: &ResourceSet) {
    let Some(claim) = sub.claim.take() else { return };
    let now = listed(set, kind, sub);
    let same = version_of(&now) == claim;
    // Else it may have any of the clusters there were, also some of one state and some of the next.
    let before = set.past_clusters().filter(|_| kind == ResourceKind::Cluster && sub.wildcard);
    sub.has = match same {
        true => now.into_iter().map(|r| (r.name.clone(), Has::Resource(r))).collect(),
        false => before.chain(&now).map(|r| (r.name.clone(), Has::Maybe(r.clone()))).collect(),
    };
    sub.owed = !same;
}

/// What a subscription stands for now, by name.
fn listed(set: &ResourceSet, kind: ResourceKind, sub: &Sub) -> Vec<Arc<Resource>> {
    if sub.wildcard {
        let all = set.all(kind).filter(|r| !r.by_name_only || sub.names.contains(&*r.name));
        return all.cloned().collect();
    }
    sub.names.iter().filter_map(|name| set.get(kind, name).cloned()).collect()
}

/// The version of a state-of-the-world response: a hash of what is in it, so the same from every replica.
fn version_of(resources: &[Arc<Resource>]) -> String {
    crate::resources::hash(resources.iter().flat_map(|r| [r.name.as_bytes(), r.version.as_bytes()]))
}
