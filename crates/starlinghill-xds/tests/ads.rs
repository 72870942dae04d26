//! The discovery stream against clients of both flavours, over links that lose and break, in every order that
//! chance finds: a client ends with one whole state, never a mix, and on the way never has a route that names a
//! cluster it lacks.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use starlinghill_xds::ads::*;
use starlinghill_xds::resources::{Resource, ResourceKind, ResourceSet, TypeSet, RESOURCE_KINDS};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

const LIMITS: Limits = Limits { names_per_kind: 20, name_bytes: 32 };

/// What resources hold here: clusters their name and edition, listeners the routes' name, routes the clusters'.
fn resource(kind: ResourceKind, name: &str, text: &str) -> Resource {
    Resource::new(kind, name, text.as_bytes().to_vec())
}

fn text(r: &Resource) -> String {
    String::from_utf8(r.body.value.clone()).expect("text")
}

/// A state: which clusters there are, all named by the routes. All parts carry the edition.
fn state(edition: u32, clusters: &BTreeSet<u8>) -> Arc<ResourceSet> {
    Arc::new(plain(edition, clusters))
}

fn plain(edition: u32, clusters: &BTreeSet<u8>) -> ResourceSet {
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

/// A client as the protocol has it: wildcards for clusters and listeners, names for what those refer to.
struct Client {
    flavour: Flavour,
    has: [BTreeMap<String, (String, String)>; 4],
    version: [String; 4],
    asked: [BTreeSet<String>; 4],
    nonce: [String; 4],
    first: [bool; 4],
}

impl Client {
    fn new(flavour: Flavour) -> Client {
        Client {
            flavour,
            has: Default::default(),
            version: Default::default(),
            asked: Default::default(),
            nonce: Default::default(),
            first: [true; 4],
        }
    }
    /// A new stream: what it has stays, nonces do not.
    fn reconnect(&mut self) -> Vec<Request> {
        (self.first, self.asked) = ([true; 4], Default::default());
        let mut requests: Vec<Request> = [ResourceKind::Cluster, ResourceKind::Listener]
            .into_iter()
            .map(|kind| self.subscribe(kind))
            .collect();
        requests.extend(self.names_wanted());
        requests
    }
    fn wanted(&self, kind: ResourceKind) -> BTreeSet<String> {
        let routes = |t: &str| t.split(' ').nth(1).map(str::to_string);
        match kind {
            ResourceKind::Endpoints => self.has[0].keys().cloned().collect(),
            ResourceKind::Routes => self.has[2].values().filter_map(|(_, t)| routes(t)).collect(),
            _ => BTreeSet::new(),
        }
    }
    /// Requests for names that changed.
    fn names_wanted(&mut self) -> Vec<Request> {
        let mut requests = Vec::new();
        for kind in [ResourceKind::Endpoints, ResourceKind::Routes] {
            if self.wanted(kind) != self.asked[kind as usize] {
                requests.push(self.subscribe(kind));
            }
        }
        requests
    }
    fn subscribe(&mut self, kind: ResourceKind) -> Request {
        let i = kind as usize;
        let wanted = self.wanted(kind);
        let old = std::mem::replace(&mut self.asked[i], wanted.clone());
        let first = std::mem::take(&mut self.first[i]);
        // What it no longer asks for it forgets.
        if !kind.is_sent_whole() {
            self.has[i].retain(|name, _| wanted.contains(name));
        }
        let names = match self.flavour {
            Flavour::Whole => {
                Names::Whole { names: wanted.into_iter().collect(), version: self.version[i].clone() }
            }
            Flavour::Delta => Names::Delta {
                subscribe: wanted.difference(&old).cloned().collect(),
                unsubscribe: old.difference(&wanted).filter(|_| !first).cloned().collect(),
                initial: match first {
                    true => self.has[i].iter().map(|(n, (v, _))| (n.clone(), v.clone())).collect(),
                    false => Vec::new(),
                },
            },
        };
        // An incremental request that only changes the subscription carries no nonce.
        let named = !first && self.flavour == Flavour::Whole;
        let nonce = if named { self.nonce[i].clone() } else { String::new() };
        Request { type_url: kind.type_url(), nonce, refused: None, names }
    }
    /// Takes a response in, or refuses it; returns what it says to that.
    fn take(&mut self, response: &Response, refuse: bool) -> Vec<Request> {
        let kind = response.kind;
        let i = kind as usize;
        self.nonce[i] = response.nonce.clone();
        if !refuse {
            if self.flavour == Flavour::Whole && kind.is_sent_whole() {
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
        let names = match self.flavour {
            Flavour::Whole => Names::Whole {
                names: self.asked[i].iter().cloned().collect(),
                version: self.version[i].clone(),
            },
            Flavour::Delta => Names::Delta { subscribe: vec![], unsubscribe: vec![], initial: vec![] },
        };
        let refused = refuse.then(|| "no".to_string());
        let mut said =
            vec![Request { type_url: kind.type_url(), nonce: response.nonce.clone(), refused, names }];
        said.extend(self.names_wanted());
        said
    }
    /// Every route in use names clusters that are here.
    fn check(&self) {
        for (_, listener) in self.has[2].values() {
            let routes = listener.split(' ').nth(1).and_then(|r| self.has[3].get(r));
            for cluster in routes.into_iter().flat_map(|(_, text)| text.split(' ').skip(1)) {
                assert!(
                    self.has[0].contains_key(cluster),
                    "a route names {cluster}, which is gone: {:?}",
                    self.has
                );
            }
        }
    }
    fn is(&self, set: &ResourceSet) {
        for kind in RESOURCE_KINDS {
            let wanted: BTreeMap<String, String> =
                set.all(kind).map(|r| (r.name.to_string(), r.version.clone())).collect();
            let has: BTreeMap<String, String> =
                self.has[kind as usize].iter().map(|(n, (v, _))| (n.clone(), v.clone())).collect();
            assert_eq!(has, wanted, "{kind}");
        }
    }
}

struct Link {
    stream: Stream,
    client: Client,
    serial: u32,
    to_server: VecDeque<Request>,
    to_client: VecDeque<Response>,
    sent: usize,
}

impl Link {
    fn new(flavour: Flavour) -> Link {
        let stream = Stream::new(flavour, "0".into(), LIMITS);
        let mut client = Client::new(flavour);
        let to_server = client.reconnect().into();
        Link { stream, client, serial: 0, to_server, to_client: VecDeque::new(), sent: 0 }
    }
    fn cut(&mut self, set: &Arc<ResourceSet>) {
        self.serial += 1;
        self.stream = Stream::new(self.client.flavour, self.serial.to_string(), LIMITS);
        self.stream.update(set.clone());
        self.to_client.clear();
        self.to_server = self.client.reconnect().into();
    }
    fn serve(&mut self) {
        if let Some(request) = self.to_server.pop_front() {
            self.stream.request(request).expect("within limits");
        }
    }
    fn write(&mut self, room: usize) {
        while self.to_client.len() < room {
            let Some(response) = self.stream.next_response() else { return };
            self.sent += 1;
            self.to_client.push_back(response);
        }
    }
    fn read(&mut self, refuse: bool) {
        if let Some(response) = self.to_client.pop_front() {
            self.to_server.extend(self.client.take(&response, refuse));
            self.client.check();
        }
    }
    /// Until nobody has anything to say.
    fn settle(&mut self) {
        for _ in 0..1000 {
            while !self.to_server.is_empty() {
                self.serve();
            }
            self.write(1);
            if self.to_client.is_empty() {
                return;
            }
            self.read(false);
        }
        panic!("it never ends");
    }
}

#[derive(Debug, Clone)]
enum Step {
    State(BTreeSet<u8>),
    Serve,
    Write(usize),
    Read,
    Refuse,
    Cut,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => proptest::collection::btree_set(0..4_u8, 1..4).prop_map(Step::State),
        6 => Just(Step::Serve),
        6 => (1..4_usize).prop_map(Step::Write),
        6 => Just(Step::Read),
        1 => Just(Step::Refuse),
        1 => Just(Step::Cut),
    ]
}

fn run(flavour: Flavour, steps: Vec<Step>) {
    let (mut link, mut edition) = (Link::new(flavour), 0);
    let mut set = state(edition, &BTreeSet::from([0]));
    link.stream.update(set.clone());
    for step in steps {
        match step {
            Step::State(clusters) => {
                edition += 1;
                set = Arc::new(plain(edition, &clusters).after(&set));
                link.stream.update(set.clone());
            }
            Step::Serve => link.serve(),
            Step::Write(room) => link.write(room),
            Step::Read => link.read(false),
            Step::Refuse => link.read(true),
            Step::Cut => link.cut(&set),
        }
    }
    // One more edition, since what was refused is not sent again unchanged.
    link.settle();
    set = Arc::new(plain(edition + 1, &BTreeSet::from([1, 3])).after(&set));
    link.stream.update(set.clone());
    link.settle();
    link.client.is(&set);
    assert!(link.stream.is_settled());
    let sent = link.sent;
    link.settle();
    assert_eq!(link.sent, sent, "nothing more is said");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(20261201), ..ProptestConfig::default() })]

    #[test]
    fn a_state_of_the_world_client_ends_with_one_whole_state(
        steps in proptest::collection::vec(step(), 0..80)
    ) {
        run(Flavour::Whole, steps);
    }

    #[test]
    fn an_incremental_client_ends_with_one_whole_state(steps in proptest::collection::vec(step(), 0..80)) {
        run(Flavour::Delta, steps);
    }
}

fn settled(flavour: Flavour) -> (Link, Arc<ResourceSet>) {
    let set = state(1, &BTreeSet::from([0, 1]));
    let mut link = Link::new(flavour);
    link.stream.update(set.clone());
    link.settle();
    link.client.is(&set);
    (link, set)
}

fn ask(kind: ResourceKind, nonce: &str, names: Names) -> Request {
    Request { type_url: kind.type_url(), nonce: nonce.into(), refused: None, names }
}

fn whole(names: &[&str]) -> Names {
    Names::Whole { names: names.iter().map(|n| n.to_string()).collect(), version: String::new() }
}

fn delta(subscribe: &[&str], unsubscribe: &[&str]) -> Names {
    let all = |names: &[&str]| names.iter().map(|n| n.to_string()).collect();
    Names::Delta { subscribe: all(subscribe), unsubscribe: all(unsubscribe), initial: Vec::new() }
}

fn names(response: &Response) -> Vec<String> {
    response.resources.iter().map(|r| r.name.to_string()).collect()
}

#[test]
fn nothing_is_said_before_there_is_anything_to_say() {
    for flavour in [Flavour::Whole, Flavour::Delta] {
        let mut link = Link::new(flavour);
        while !link.to_server.is_empty() {
            link.serve();
        }
        assert!(link.stream.next_response().is_none(), "an empty fleet for want of news would take all away");
    }
}

#[test]
fn who_comes_back_with_the_same_state_is_told_nothing_by_any_replica() {
    for flavour in [Flavour::Whole, Flavour::Delta] {
        let (mut link, set) = settled(flavour);
        let sent = link.sent;
        // Another replica has made the same state by itself.
        let again = state(1, &BTreeSet::from([0, 1]));
        assert_eq!(again.version(ResourceKind::Cluster), set.version(ResourceKind::Cluster));
        link.cut(&again);
        link.settle();
        assert_eq!(link.sent, sent, "{flavour:?}: no storm after a restart");
        // One that knows nothing yet when the proxy comes back.
        link.cut(&again);
        link.stream = Stream::new(flavour, "empty".into(), LIMITS);
        while !link.to_server.is_empty() {
            link.serve();
        }
        link.stream.update(again);
        link.settle();
        assert_eq!(link.sent, sent, "{flavour:?}: no storm after an empty start");
        link.client.is(&set);
    }
}

#[test]
fn additions_go_out_in_order_and_removals_last() {
    for flavour in [Flavour::Whole, Flavour::Delta] {
        let (mut link, _) = settled(flavour);
        link.stream.update(state(2, &BTreeSet::from([1, 2])));
        let mut order = Vec::new();
        loop {
            while !link.to_server.is_empty() {
                link.serve();
            }
            link.write(1);
            let Some(response) = link.to_client.front() else { break };
            let without = match flavour {
                Flavour::Whole => {
                    response.kind == ResourceKind::Cluster && !names(response).contains(&"c0".into())
                }
                Flavour::Delta => !response.removed.is_empty(),
            };
            order.push((response.kind, without));
            link.read(false);
        }
        let gone = order.iter().position(|o| *o == (ResourceKind::Cluster, true)).expect("c0 goes");
        let routes = order.iter().position(|o| o.0 == ResourceKind::Routes).expect("routes change");
        assert_eq!(order[0], (ResourceKind::Cluster, false));
        assert!(routes < gone, "{flavour:?}: {order:?}");
    }
}

#[test]
fn what_was_refused_is_not_sent_again_until_it_changes_and_holds_nothing_else_up() {
    for flavour in [Flavour::Whole, Flavour::Delta] {
        let (mut link, _) = settled(flavour);
        link.stream.update(state(2, &BTreeSet::from([0, 1])));
        link.write(1);
        let refused = link.to_client.front().expect("clusters").clone();
        assert_eq!(refused.kind, ResourceKind::Cluster);
        link.read(true);
        let heard = link.stream.request(link.to_server.pop_front().expect("its answer")).expect("sound");
        assert_eq!(heard, Heard::Refused(ResourceKind::Cluster, refused.version, "no".into()));
        link.settle();
        assert!(link.client.has[0].values().all(|(_, t)| t == "1"), "its last good state");
        assert!(link.client.has[1].values().all(|(_, t)| t == "2"), "the others go on");
        assert!(!link.stream.is_settled());
        let new = state(3, &BTreeSet::from([0, 1]));
        link.stream.update(new.clone());
        link.settle();
        link.client.is(&new);
    }
}

#[test]
fn stale_nonces_change_nothing() {
    let (mut link, _) = settled(Flavour::Whole);
    let old = link.client.nonce[0].clone();
    link.stream.update(state(2, &BTreeSet::from([0, 1])));
    link.write(1);
    let response = link.to_client.pop_front().expect("clusters");
    for stale in [old.as_str(), "77-1", ""] {
        let request =
            Request { refused: Some("late".into()), ..ask(ResourceKind::Cluster, stale, whole(&["c1"])) };
        assert_eq!(link.stream.request(request), Ok(Heard::Nothing), "{stale}");
    }
    let accepted = ask(ResourceKind::Cluster, &response.nonce, whole(&[]));
    assert_eq!(link.stream.request(accepted), Ok(Heard::Accepted(ResourceKind::Cluster)));
}

#[test]
fn names_may_be_given_up_and_asked_for_anew() {
    let mut stream = Stream::new(Flavour::Delta, "0".into(), LIMITS);
    stream.update(state(1, &BTreeSet::from([0, 1])));
    let told = |stream: &mut Stream, subscribe: &[&str], unsubscribe: &[&str]| {
        stream.request(ask(ResourceKind::Endpoints, "", delta(subscribe, unsubscribe))).expect("sound");
        stream.next_response().map(|r| (names(&r), r.removed))
    };
    let c0 = Some((vec!["c0".to_string()], vec![]));
    assert_eq!(told(&mut stream, &["c0"], &[]), c0);
    assert_eq!(told(&mut stream, &[], &["c0"]), None);
    stream.update(state(2, &BTreeSet::from([0, 1])));
    assert!(stream.next_response().is_none(), "it was given up");
    assert_eq!(told(&mut stream, &["c0"], &[]), c0);
    assert_eq!(told(&mut stream, &["c0"], &[]), c0, "asked again");
    assert_eq!(told(&mut stream, &["c9"], &[]), Some((vec![], vec!["c9".into()])), "there is none");
    assert!(stream.next_response().is_none(), "told once");
    stream.update(state(3, &BTreeSet::from([0, 9])));
    assert_eq!(names(&stream.next_response().expect("news")), ["c0", "c9"], "it is there now");
}

#[test]
fn a_wildcard_may_be_given_up_and_named_resources_stay() {
    let mut stream = Stream::new(Flavour::Delta, "0".into(), LIMITS);
    stream.update(state(1, &BTreeSet::from([0, 1])));
    stream.request(ask(ResourceKind::Cluster, "", delta(&["*", "c1"], &[]))).expect("sound");
    assert_eq!(names(&stream.next_response().expect("all")), ["c0", "c1"]);
    stream.request(ask(ResourceKind::Cluster, "", delta(&[], &["*"]))).expect("sound");
    stream.update(state(2, &BTreeSet::from([0, 1])));
    assert_eq!(names(&stream.next_response().expect("c1 alone")), ["c1"]);
}

#[test]
fn a_slow_reader_gets_only_the_newest_state() {
    let (mut link, _) = settled(Flavour::Delta);
    let before = link.sent;
    for edition in 2..500 {
        link.stream.update(state(edition, &BTreeSet::from([0, 1])));
    }
    link.settle();
    assert!(link.sent - before <= 4, "one response a type, not one an edition");
    link.client.is(&state(499, &BTreeSet::from([0, 1])));
}

#[test]
fn hostile_subscriptions_end_the_stream_with_a_clear_word() {
    let mut stream = Stream::new(Flavour::Delta, "0".into(), LIMITS);
    let unknown = Request { type_url: "type.googleapis.com/no.Such".into(), ..Request::default() };
    let problem = stream.request(unknown).expect_err("not served").to_string();
    assert!(problem.contains("no.Such") && problem.contains("RouteConfiguration"), "{problem}");
    let long = "x".repeat(33);
    let problem = stream.request(ask(ResourceKind::Endpoints, "", delta(&[&long], &[]))).expect_err("long");
    assert_eq!(problem.to_string(), "endpoints: a name of more than 32 bytes");
    let mut ended = None;
    for i in 0..100 {
        let name = format!("n{i}");
        if let Err(problem) = stream.request(ask(ResourceKind::Endpoints, "", delta(&[&name], &[]))) {
            ended = Some((i, problem.to_string()));
            break;
        }
    }
    assert_eq!(ended, Some((20, "endpoints: more than 20 names subscribed to".into())), "piece by piece");
    let many: Vec<String> = (0..21).map(|i| i.to_string()).collect();
    let names = Names::Whole { names: many, version: String::new() };
    let mut stream = Stream::new(Flavour::Whole, "0".into(), LIMITS);
    assert!(stream.request(ask(ResourceKind::Routes, "", names)).is_err());
}
