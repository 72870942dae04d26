//! Runs the discovery stream against simulated clients of both protocols, in random orders of requests, responses,
//! rejections and reconnects. A client must end with exactly one complete state, and must never hold a route that
//! names a cluster it lacks.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use starlinghill_xds::ads::*;
use starlinghill_xds::resources::{Resource, ResourceKind, ResourceSet, TypeSet, RESOURCE_KINDS};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

const LIMITS: Limits = Limits { names_per_kind: 20, name_bytes: 32 };

/// A resource with text as its body: an edition number, followed in a listener by the name of its route table and
/// in a route table by the names of its clusters.
fn resource(kind: ResourceKind, name: &str, text: &str) -> Resource {
    Resource::new(kind, name, text.as_bytes().to_vec())
}

fn text(r: &Resource) -> String {
    String::from_utf8(r.body.value.clone()).expect("text")
}

/// A resource set with these clusters, all named by the routes. Every resource holds the edition number.
fn state(edition: u32, clusters: &BTreeSet<u8>) -> Arc<ResourceSet> {
    Arc::new(resource_set(edition, clusters))
}

fn resource_set(edition: u32, clusters: &BTreeSet<u8>) -> ResourceSet {
    let name = |c: &u8| format!("c{c}");
    let of =
        |kind: ResourceKind| clusters.iter().map(move |c| resource(kind, &name(c), &format!("{edition}")));
    let used: Vec<String> = clusters.iter().map(name).collect();
    let routes = format!("{edition} {}", used.join(" "));
    ResourceSet::new([
        Arc::new(TypeSet::new(of(ResourceKind::Cluster))),
        Arc::new(TypeSet::new(of(ResourceKind::Endpoints))),
        Arc::new(TypeSet::new([resource(ResourceKind::Listener, "l", &format!("{edition} r"))])),
        Arc::new(TypeSet::new([resource(ResourceKind::Routes, "r", &routes)])),
    ])
}

/// A simulated client. It uses wildcards for clusters and listeners, and names for the resources they refer to.
/// Arrays are indexed by resource kind.
struct Client {
    protocol: Protocol,
    /// Version and text of each resource by name.
    has: [BTreeMap<String, (String, String)>; 4],
    version: [String; 4],
    subscribed: [BTreeSet<String>; 4],
    nonce: [String; 4],
    /// No request was sent on this stream yet.
    first: [bool; 4],
}

impl Client {
    fn new(protocol: Protocol) -> Client {
        Client {
            protocol,
            has: Default::default(),
            version: Default::default(),
            subscribed: Default::default(),
            nonce: Default::default(),
            first: [true; 4],
        }
    }
    /// The first requests of a new stream. The client keeps its resources and versions but no nonce.
    fn reconnect(&mut self) -> Vec<Request> {
        (self.first, self.subscribed) = ([true; 4], Default::default());
        let mut requests: Vec<Request> = [ResourceKind::Cluster, ResourceKind::Listener]
            .into_iter()
            .map(|kind| self.subscribe(kind))
            .collect();
        requests.extend(self.subscription_updates());
        requests
    }
    fn names_in_use(&self, kind: ResourceKind) -> BTreeSet<String> {
        let routes = |t: &str| t.split(' ').nth(1).map(str::to_string);
        match kind {
            ResourceKind::Endpoints => self.has[0].keys().cloned().collect(),
            ResourceKind::Routes => self.has[2].values().filter_map(|(_, t)| routes(t)).collect(),
            _ => BTreeSet::new(),
        }
    }
    /// Requests that update the subscriptions to the names that are now in use.
    fn subscription_updates(&mut self) -> Vec<Request> {
        let mut requests = Vec::new();
        for kind in [ResourceKind::Endpoints, ResourceKind::Routes] {
            if self.names_in_use(kind) != self.subscribed[kind as usize] {
                requests.push(self.subscribe(kind));
            }
        }
        requests
    }
    fn subscribe(&mut self, kind: ResourceKind) -> Request {
        let i = kind as usize;
        let wanted = self.names_in_use(kind);
        let old = std::mem::replace(&mut self.subscribed[i], wanted.clone());
        let first = std::mem::take(&mut self.first[i]);
        // The client drops resources that it no longer subscribes to.
        if !kind.is_sent_whole() {
            self.has[i].retain(|name, _| wanted.contains(name));
        }
        let names = match self.protocol {
            Protocol::StateOfTheWorld => Names::StateOfTheWorld {
                names: wanted.into_iter().collect(),
                version: self.version[i].clone(),
            },
            Protocol::Incremental => Names::Incremental {
                subscribe: wanted.difference(&old).cloned().collect(),
                unsubscribe: old.difference(&wanted).filter(|_| !first).cloned().collect(),
                initial: match first {
                    true => self.has[i].iter().map(|(n, (v, _))| (n.clone(), v.clone())).collect(),
                    false => Vec::new(),
                },
            },
        };
        // An incremental request that only changes the subscription carries no nonce.
        let named = !first && self.protocol == Protocol::StateOfTheWorld;
        let nonce = if named { self.nonce[i].clone() } else { String::new() };
        Request { type_url: kind.type_url(), nonce, rejected: None, names }
    }
    /// Accepts or rejects a response and returns the requests that follow.
    fn receive(&mut self, response: &Response, reject: bool) -> Vec<Request> {
        let kind = response.kind;
        let i = kind as usize;
        self.nonce[i] = response.nonce.clone();
        if !reject {
            if self.protocol == Protocol::StateOfTheWorld && kind.is_sent_whole() {
                self.has[i].clear();
            }
            for r in &response.resources {
                self.has[i].insert(r.name.to_string(), (r.version.clone(), text(r)));
            }
            for name in &response.removed {
                self.has[i].remove(name);
            }
            self.version[i] = response.version.clone();
        }
        let names = match self.protocol {
            Protocol::StateOfTheWorld => Names::StateOfTheWorld {
                names: self.subscribed[i].iter().cloned().collect(),
                version: self.version[i].clone(),
            },
            Protocol::Incremental => {
                Names::Incremental { subscribe: vec![], unsubscribe: vec![], initial: vec![] }
            }
        };
        let rejected = reject.then(|| "no".to_string());
        let mut requests =
            vec![Request { type_url: kind.type_url(), nonce: response.nonce.clone(), rejected, names }];
        requests.extend(self.subscription_updates());
        requests
    }
    /// Checks that every route in use names only clusters that the client has.
    fn assert_routes_have_clusters(&self) {
        for (_, listener) in self.has[2].values() {
            let routes = listener.split(' ').nth(1).and_then(|r| self.has[3].get(r));
            for cluster in routes.into_iter().flat_map(|(_, text)| text.split(' ').skip(1)) {
                assert!(
                    self.has[0].contains_key(cluster),
                    "a route names {cluster}, which the client lacks: {:?}",
                    self.has
                );
            }
        }
    }
    fn assert_has(&self, set: &ResourceSet) {
        for kind in RESOURCE_KINDS {
            let wanted: BTreeMap<String, String> =
                set.all(kind).map(|r| (r.name.to_string(), r.version.clone())).collect();
            let has: BTreeMap<String, String> =
                self.has[kind as usize].iter().map(|(n, (v, _))| (n.clone(), v.clone())).collect();
            assert_eq!(has, wanted, "{kind}");
        }
    }
}

/// A server stream and a client, with the messages in transit between them.
struct Link {
    stream: Stream,
    client: Client,
    serial: u32,
    to_server: VecDeque<Request>,
    to_client: VecDeque<Response>,
    /// Responses sent so far, over all streams.
    sent: usize,
}

impl Link {
    fn new(protocol: Protocol) -> Link {
        let stream = Stream::new(protocol, "0".into(), LIMITS);
        let mut client = Client::new(protocol);
        let to_server = client.reconnect().into();
        Link { stream, client, serial: 0, to_server, to_client: VecDeque::new(), sent: 0 }
    }
    fn reconnect(&mut self, set: &Arc<ResourceSet>) {
        self.serial += 1;
        self.stream = Stream::new(self.client.protocol, self.serial.to_string(), LIMITS);
        self.stream.update(set.clone());
        self.to_client.clear();
        self.to_server = self.client.reconnect().into();
    }
    fn deliver_request(&mut self) {
        if let Some(request) = self.to_server.pop_front() {
            self.stream.request(request).expect("within limits");
        }
    }
    fn send_responses(&mut self, room: usize) {
        while self.to_client.len() < room {
            let Some(response) = self.stream.next_response() else { return };
            self.sent += 1;
            self.to_client.push_back(response);
        }
    }
    fn deliver_response(&mut self, reject: bool) {
        if let Some(response) = self.to_client.pop_front() {
            self.to_server.extend(self.client.receive(&response, reject));
            self.client.assert_routes_have_clusters();
        }
    }
    /// Exchanges messages until neither side has any left.
    fn settle(&mut self) {
        for _ in 0..1000 {
            while !self.to_server.is_empty() {
                self.deliver_request();
            }
            self.send_responses(1);
            if self.to_client.is_empty() {
                return;
            }
            self.deliver_response(false);
        }
        panic!("the exchange does not end");
    }
}

#[derive(Debug, Clone)]
enum Step {
    NewState(BTreeSet<u8>),
    DeliverRequest,
    SendResponses(usize),
    Accept,
    Reject,
    Reconnect,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => proptest::collection::btree_set(0..4_u8, 1..4).prop_map(Step::NewState),
        6 => Just(Step::DeliverRequest),
        6 => (1..4_usize).prop_map(Step::SendResponses),
        6 => Just(Step::Accept),
        1 => Just(Step::Reject),
        1 => Just(Step::Reconnect),
    ]
}

fn run(protocol: Protocol, steps: Vec<Step>) {
    let (mut link, mut edition) = (Link::new(protocol), 0);
    let mut set = state(edition, &BTreeSet::from([0]));
    link.stream.update(set.clone());
    for step in steps {
        match step {
            Step::NewState(clusters) => {
                edition += 1;
                set = Arc::new(resource_set(edition, &clusters).after(&set));
                link.stream.update(set.clone());
            }
            Step::DeliverRequest => link.deliver_request(),
            Step::SendResponses(room) => link.send_responses(room),
            Step::Accept => link.deliver_response(false),
            Step::Reject => link.deliver_response(true),
            Step::Reconnect => link.reconnect(&set),
        }
    }
    // A new edition, because rejected content is not sent again unchanged.
    link.settle();
    set = Arc::new(resource_set(edition + 1, &BTreeSet::from([1, 3])).after(&set));
    link.stream.update(set.clone());
    link.settle();
    link.client.assert_has(&set);
    assert!(link.stream.is_settled());
    let sent = link.sent;
    link.settle();
    assert_eq!(link.sent, sent, "no further response is sent");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(20261201), ..ProptestConfig::default() })]

    #[test]
    fn a_state_of_the_world_client_ends_with_one_complete_state(
        steps in proptest::collection::vec(step(), 0..80)
    ) {
        run(Protocol::StateOfTheWorld, steps);
    }

    #[test]
    fn an_incremental_client_ends_with_one_complete_state(steps in proptest::collection::vec(step(), 0..80)) {
        run(Protocol::Incremental, steps);
    }
}

fn settled(protocol: Protocol) -> (Link, Arc<ResourceSet>) {
    let set = state(1, &BTreeSet::from([0, 1]));
    let mut link = Link::new(protocol);
    link.stream.update(set.clone());
    link.settle();
    link.client.assert_has(&set);
    (link, set)
}

fn subscription_request(kind: ResourceKind, nonce: &str, names: Names) -> Request {
    Request { type_url: kind.type_url(), nonce: nonce.into(), rejected: None, names }
}

fn state_of_the_world_names(names: &[&str]) -> Names {
    Names::StateOfTheWorld { names: names.iter().map(|n| n.to_string()).collect(), version: String::new() }
}

fn incremental_names(subscribe: &[&str], unsubscribe: &[&str]) -> Names {
    let all = |names: &[&str]| names.iter().map(|n| n.to_string()).collect();
    Names::Incremental { subscribe: all(subscribe), unsubscribe: all(unsubscribe), initial: Vec::new() }
}

fn names(response: &Response) -> Vec<String> {
    response.resources.iter().map(|r| r.name.to_string()).collect()
}

#[test]
fn no_response_is_sent_before_the_first_resource_set() {
    for protocol in [Protocol::StateOfTheWorld, Protocol::Incremental] {
        let mut link = Link::new(protocol);
        while !link.to_server.is_empty() {
            link.deliver_request();
        }
        assert!(link.stream.next_response().is_none(), "an empty response would delete everything");
    }
}

#[test]
fn a_client_that_reconnects_with_the_current_state_gets_no_response_from_any_replica() {
    for protocol in [Protocol::StateOfTheWorld, Protocol::Incremental] {
        let (mut link, set) = settled(protocol);
        let sent = link.sent;
        // Another replica has built the same state independently.
        let again = state(1, &BTreeSet::from([0, 1]));
        assert_eq!(again.version(ResourceKind::Cluster), set.version(ResourceKind::Cluster));
        link.reconnect(&again);
        link.settle();
        assert_eq!(link.sent, sent, "{protocol:?}: a restart resends nothing");
        // A replica that has no state yet when the proxy reconnects.
        link.reconnect(&again);
        link.stream = Stream::new(protocol, "empty".into(), LIMITS);
        while !link.to_server.is_empty() {
            link.deliver_request();
        }
        link.stream.update(again);
        link.settle();
        assert_eq!(link.sent, sent, "{protocol:?}: a start without state resends nothing");
        link.client.assert_has(&set);
    }
}

#[test]
fn additions_are_sent_in_order_and_removals_last() {
    for protocol in [Protocol::StateOfTheWorld, Protocol::Incremental] {
        let (mut link, _) = settled(protocol);
        link.stream.update(state(2, &BTreeSet::from([1, 2])));
        let mut order = Vec::new();
        loop {
            while !link.to_server.is_empty() {
                link.deliver_request();
            }
            link.send_responses(1);
            let Some(response) = link.to_client.front() else { break };
            let without = match protocol {
                Protocol::StateOfTheWorld => {
                    response.kind == ResourceKind::Cluster && !names(response).contains(&"c0".into())
                }
                Protocol::Incremental => !response.removed.is_empty(),
            };
            order.push((response.kind, without));
            link.deliver_response(false);
        }
        let gone = order.iter().position(|o| *o == (ResourceKind::Cluster, true)).expect("c0 is removed");
        let routes = order.iter().position(|o| o.0 == ResourceKind::Routes).expect("routes change");
        assert_eq!(order[0], (ResourceKind::Cluster, false));
        assert!(routes < gone, "{protocol:?}: {order:?}");
    }
}

#[test]
fn rejected_content_is_not_sent_again_until_it_changes_and_delays_no_other_kind() {
    for protocol in [Protocol::StateOfTheWorld, Protocol::Incremental] {
        let (mut link, _) = settled(protocol);
        link.stream.update(state(2, &BTreeSet::from([0, 1])));
        link.send_responses(1);
        let rejected = link.to_client.front().expect("clusters").clone();
        assert_eq!(rejected.kind, ResourceKind::Cluster);
        link.deliver_response(true);
        let acknowledgement =
            link.stream.request(link.to_server.pop_front().expect("its answer")).expect("a valid request");
        assert_eq!(
            acknowledgement,
            Acknowledgement::Rejected(ResourceKind::Cluster, rejected.version, "no".into())
        );
        link.settle();
        assert!(link.client.has[0].values().all(|(_, t)| t == "1"), "clusters keep the last accepted state");
        assert!(link.client.has[1].values().all(|(_, t)| t == "2"), "other kinds are updated");
        assert!(!link.stream.is_settled());
        let new = state(3, &BTreeSet::from([0, 1]));
        link.stream.update(new.clone());
        link.settle();
        link.client.assert_has(&new);
    }
}

#[test]
fn stale_nonces_change_nothing() {
    let (mut link, _) = settled(Protocol::StateOfTheWorld);
    let old = link.client.nonce[0].clone();
    link.stream.update(state(2, &BTreeSet::from([0, 1])));
    link.send_responses(1);
    let response = link.to_client.pop_front().expect("clusters");
    for stale in [old.as_str(), "77-1", ""] {
        let request = Request {
            rejected: Some("late".into()),
            ..subscription_request(ResourceKind::Cluster, stale, state_of_the_world_names(&["c1"]))
        };
        assert_eq!(link.stream.request(request), Ok(Acknowledgement::None), "{stale}");
    }
    let accepted =
        subscription_request(ResourceKind::Cluster, &response.nonce, state_of_the_world_names(&[]));
    assert_eq!(link.stream.request(accepted), Ok(Acknowledgement::Accepted(ResourceKind::Cluster)));
}

#[test]
fn a_client_may_unsubscribe_from_names_and_subscribe_again() {
    let mut stream = Stream::new(Protocol::Incremental, "0".into(), LIMITS);
    stream.update(state(1, &BTreeSet::from([0, 1])));
    let exchange = |stream: &mut Stream, subscribe: &[&str], unsubscribe: &[&str]| {
        stream
            .request(subscription_request(
                ResourceKind::Endpoints,
                "",
                incremental_names(subscribe, unsubscribe),
            ))
            .expect("a valid request");
        stream.next_response().map(|r| (names(&r), r.removed))
    };
    let c0 = Some((vec!["c0".to_string()], vec![]));
    assert_eq!(exchange(&mut stream, &["c0"], &[]), c0);
    assert_eq!(exchange(&mut stream, &[], &["c0"]), None);
    stream.update(state(2, &BTreeSet::from([0, 1])));
    assert!(stream.next_response().is_none(), "the name is not subscribed to");
    assert_eq!(exchange(&mut stream, &["c0"], &[]), c0);
    assert_eq!(exchange(&mut stream, &["c0"], &[]), c0, "a repeated subscription is answered");
    assert_eq!(
        exchange(&mut stream, &["c9"], &[]),
        Some((vec![], vec!["c9".into()])),
        "a missing resource is reported as removed"
    );
    assert!(stream.next_response().is_none(), "the removal is reported once");
    stream.update(state(3, &BTreeSet::from([0, 9])));
    assert_eq!(names(&stream.next_response().expect("a response")), ["c0", "c9"], "c9 exists now");
}

#[test]
fn unsubscribing_from_the_wildcard_keeps_named_resources() {
    let mut stream = Stream::new(Protocol::Incremental, "0".into(), LIMITS);
    stream.update(state(1, &BTreeSet::from([0, 1])));
    stream
        .request(subscription_request(ResourceKind::Cluster, "", incremental_names(&["*", "c1"], &[])))
        .expect("a valid request");
    assert_eq!(names(&stream.next_response().expect("all")), ["c0", "c1"]);
    stream
        .request(subscription_request(ResourceKind::Cluster, "", incremental_names(&[], &["*"])))
        .expect("a valid request");
    stream.update(state(2, &BTreeSet::from([0, 1])));
    assert_eq!(names(&stream.next_response().expect("c1 alone")), ["c1"]);
}

#[test]
fn a_slow_reader_gets_only_the_newest_state() {
    let (mut link, _) = settled(Protocol::Incremental);
    let before = link.sent;
    for edition in 2..500 {
        link.stream.update(state(edition, &BTreeSet::from([0, 1])));
    }
    link.settle();
    assert!(link.sent - before <= 4, "one response per kind, not per edition");
    link.client.assert_has(&state(499, &BTreeSet::from([0, 1])));
}

#[test]
fn a_subscription_beyond_the_limits_or_of_an_unknown_type_ends_the_stream_with_a_clear_error() {
    let mut stream = Stream::new(Protocol::Incremental, "0".into(), LIMITS);
    let unknown = Request { type_url: "type.googleapis.com/no.Such".into(), ..Request::default() };
    let problem = stream.request(unknown).expect_err("not served").to_string();
    assert!(problem.contains("no.Such") && problem.contains("RouteConfiguration"), "{problem}");
    let long = "x".repeat(33);
    let problem = stream
        .request(subscription_request(ResourceKind::Endpoints, "", incremental_names(&[&long], &[])))
        .expect_err("long");
    assert_eq!(problem.to_string(), "endpoints: a name of more than 32 bytes");
    let mut ended = None;
    for i in 0..100 {
        let name = format!("n{i}");
        if let Err(problem) = stream.request(subscription_request(
            ResourceKind::Endpoints,
            "",
            incremental_names(&[&name], &[]),
        )) {
            ended = Some((i, problem.to_string()));
            break;
        }
    }
    assert_eq!(
        ended,
        Some((20, "endpoints: more than 20 names subscribed to".into())),
        "the limit holds over several requests"
    );
    let many: Vec<String> = (0..21).map(|i| i.to_string()).collect();
    let names = Names::StateOfTheWorld { names: many, version: String::new() };
    let mut stream = Stream::new(Protocol::StateOfTheWorld, "0".into(), LIMITS);
    assert!(stream.request(subscription_request(ResourceKind::Routes, "", names)).is_err());
}
