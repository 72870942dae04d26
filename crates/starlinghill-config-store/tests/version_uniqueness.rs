//! Randomised histories of configuration changes on three stores. Two operators have up to eight changes in progress. They
//! repeat changes at any store, and use some version numbers more than once, while stores are cut off, lose power or their
//! disk, and messages and replies are lost. Some changes take the key of another tenant, and copies of refused changes
//! arrive late. Guards against four failures: a version confirmed with two different contents, the repetition of a confirmed
//! change being refused, a confirmed version missing in a later read, and a refused change that takes effect.

use starlinghill_config_model::{ConfigChange, ItemSet};
use starlinghill_config_store::apply_change;
use starlinghill_config_store::wire::{ChangeOutcome, State, Value};
use starlinghill_consensus::{
    Acceptor, AcceptorReply, AcceptorRequest, AcceptorState, Ballot, Member, MemberChange, Members,
    ProposerRound, ProposerStep, RequiredWrite,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::IpAddr;

const STORES: usize = 3;
/// How many histories are played, and the number of random steps in each.
const SEEDS: u64 = 1_500;
const STEPS: usize = 700;
/// How many changes are in progress at most.
const MAX_IN_PROGRESS: usize = 8;
/// How many items there are.
const ITEMS: u8 = 3;

/// An item's number, a version, and a number for its content. Content 0 removes the item; others are its rate limit.
type Part = (u8, u64, u8);
/// The contents of a part are the numbers below this one.
const CONTENTS: u8 = 4;
/// This content asks for the key of the next item besides the item's own.
const TAKES_KEY: u8 = 3;

struct Store {
    acceptor: Acceptor<Value>,
    /// What the acceptor finds after a loss of power.
    disk: (AcceptorState, State),
    /// The highest ballot that it knows to be chosen, with its state.
    known: (Ballot, State),
}

/// A change that an operator wants, until it is confirmed or refused as a whole.
struct Change {
    parts: Vec<Part>,
    confirmed: bool,
    refused: bool,
    /// The operator has received the result, and no longer repeats an unconfirmed change.
    finished: bool,
}

/// One attempt to make a change, at one store.
struct Attempt {
    /// The index of the change.
    change: usize,
    /// The index of the store.
    store: usize,
    /// The change as sent: each attempt writes the same content in another way.
    request: ConfigChange,
    /// `None` before the round begins, and after it was lost or has ended.
    round: Option<ProposerRound<Value>>,
    /// What the round has proposed, and the outcome to report if it is chosen.
    proposed: Option<(State, ChangeOutcome)>,
    /// Whether the proposed state has the change in force and the state before had not.
    takes_effect: bool,
    ended: bool,
}

struct World {
    rng: fastrand::Rng,
    stores: Vec<Store>,
    /// Requests under way: recipient, index of the attempt, its ballot.
    requests: VecDeque<(Member, usize, Ballot, AcceptorRequest<Value>)>,
    /// Replies under way: sender, index of the attempt, its ballot.
    replies: VecDeque<(Member, usize, Ballot, AcceptorReply<Value>)>,
    changes: Vec<Change>,
    attempts: Vec<Attempt>,
    /// The highest round number that was used or seen.
    highest_round: u64,
    members: Members,
    /// The store that is cut off from the others.
    cut_off: Option<usize>,
    /// The former member at a store that has lost its disk and is not yet replaced.
    lost_member: Option<Member>,
    /// The content of every version that was ever confirmed, by item and version.
    confirmed: BTreeMap<(u8, u64), u8>,
    refusals: usize,
    /// Attempts to repeat a confirmed change.
    repeats: usize,
    /// Copies of refused changes that arrived late.
    late_copies: usize,
}

/// Writes a change as JSON. The order of the fields and the form of the numbers vary, so that two attempts with the same
/// content seldom have the same text.
fn random_request(rng: &mut fastrand::Rng, parts: &[Part]) -> ConfigChange {
    let (mut sets, mut removals) = (Vec::new(), Vec::new());
    for (name, version, content) in parts {
        if *content == 0 {
            removals.push(format!(r#"{{"name":"t-{name}","version":"r{version}"}}"#));
            continue;
        }
        let rate = if rng.bool() { format!("{content}") } else { format!("{content}.0") };
        let mut fields = [
            format!(r#""name":"t-{name}""#),
            format!(r#""version" : "r{version}""#),
            match *content {
                TAKES_KEY => format!(r#""api_keys":["k-{name}","k-{}"]"#, (name + 1) % ITEMS),
                _ => format!(r#""api_keys":["k-{name}"]"#),
            },
            format!(r#""rate_per_s":{rate}"#),
        ];
        rng.shuffle(&mut fields);
        sets.push(format!("{{{}}}", fields.join(",")));
    }
    let (sets, removals) = (sets.join(","), removals.join(","));
    let body = format!(r#"{{"upsert":{{"customers":[{sets}]}},"remove":{{"customers":[{removals}]}}}}"#);
    ConfigChange::parse(body.as_bytes()).unwrap_or_else(|refusal| panic!("{refusal}"))
}

fn founders() -> Members {
    Members::founding((0..STORES).map(|i| IpAddr::from([10, 0, 0, i as u8])))
}

/// The index of a member's store.
fn store_index(member: Member) -> usize {
    let IpAddr::V4(ip) = member.ip else { panic!("{member:?}") };
    usize::from(ip.octets()[3])
}

impl World {
    fn new(seed: u64) -> World {
        let store = |i| {
            let acceptor: Acceptor<Value> = Acceptor::new(founders().voters[i], founders());
            let disk = (acceptor.metadata().clone(), acceptor.state().clone());
            Store { acceptor, disk, known: Default::default() }
        };
        World {
            rng: fastrand::Rng::with_seed(seed),
            stores: (0..STORES).map(store).collect(),
            requests: VecDeque::new(),
            replies: VecDeque::new(),
            changes: Vec::new(),
            attempts: Vec::new(),
            highest_round: 0,
            members: founders(),
            cut_off: None,
            lost_member: None,
            confirmed: BTreeMap::new(),
            refusals: 0,
            repeats: 0,
            late_copies: 0,
        }
    }

    /// Whether messages pass between two stores.
    fn is_connected(&self, a: usize, b: usize) -> bool {
        a == b || self.cut_off.is_none_or(|cut_off| a != cut_off && b != cut_off)
    }

    /// An operator makes a new change of one or two items, with versions around the highest confirmed one.
    fn new_change(&mut self) {
        let top = self.confirmed.keys().map(|(_, version)| *version).max().unwrap_or_default();
        let rng = &mut self.rng;
        let part = |name| (name, (top + 3).saturating_sub(rng.u64(0..8)).max(1), rng.u8(0..CONTENTS));
        let first = (self.changes.len() % usize::from(ITEMS)) as u8;
        let mut parts: Vec<Part> = [first, (first + 1) % ITEMS].into_iter().map(part).collect();
        parts.truncate(self.rng.usize(1..=2));
        self.changes.push(Change { parts, confirmed: false, refused: false, finished: false });
        self.start_attempt(self.changes.len() - 1);
    }

    /// Starts an attempt at a random store.
    fn start_attempt(&mut self, change: usize) {
        let store = self.rng.usize(0..STORES);
        let request = random_request(&mut self.rng, &self.changes[change].parts);
        self.repeats += usize::from(self.changes[change].confirmed);
        self.attempts.push(Attempt {
            change,
            store,
            request,
            round: None,
            proposed: None,
            takes_effect: false,
            ended: false,
        });
        self.begin_round(self.attempts.len() - 1);
    }

    /// Begins a round of an attempt.
    fn begin_round(&mut self, s: usize) {
        self.highest_round += 1 + self.rng.u64(0..2);
        let ballot = Ballot { round: self.highest_round, proposer: s as u32 };
        let attempt = &mut self.attempts[s];
        let have = self.stores[attempt.store].known.clone();
        let round = ProposerRound::new(ballot, self.members.clone(), have);
        let request = round.prepare_request();
        round.recipients().for_each(|to| self.requests.push_back((to, s, ballot, request.clone())));
        (attempt.round, attempt.proposed) = (Some(round), None);
    }

    /// Hands a request to an acceptor, and writes to its disk what it requires.
    fn call(&mut self, to: Member, request: AcceptorRequest<Value>) -> AcceptorReply<Value> {
        let store = &mut self.stores[store_index(to)];
        let (reply, required) = store.acceptor.handle(to, request);
        match required {
            RequiredWrite::Nothing => {}
            RequiredWrite::Metadata => store.disk.0 = store.acceptor.metadata().clone(),
            RequiredWrite::MetadataAndState => {
                store.disk = (store.acceptor.metadata().clone(), store.acceptor.state().clone())
            }
        }
        reply
    }

    /// Delivers a random request. It may be repeated, and its reply lost.
    fn deliver_request(&mut self) {
        let at = (!self.requests.is_empty()).then(|| self.rng.usize(0..self.requests.len()));
        let Some((to, s, ballot, request)) = at.and_then(|at| self.requests.remove(at)) else { return };
        let from = self.attempts[s].store;
        if !self.is_connected(from, store_index(to)) {
            return;
        }
        if self.rng.u8(0..20) == 0 {
            self.requests.push_back((to, s, ballot, request.clone()));
        }
        let reply = self.call(to, request);
        if self.is_connected(from, store_index(to)) && self.rng.u8(0..10) > 0 {
            self.replies.push_back((to, s, ballot, reply));
        }
    }

    /// Delivers a random reply to the round that it belongs to, if that still runs.
    fn deliver_reply(&mut self) {
        let at = (!self.replies.is_empty()).then(|| self.rng.usize(0..self.replies.len()));
        let Some((from, s, ballot, reply)) = at.and_then(|at| self.replies.remove(at)) else { return };
        let attempt = &mut self.attempts[s];
        let Some(round) = attempt.round.as_mut().filter(|round| round.ballot() == ballot) else { return };
        match round.handle_reply(from, reply) {
            ProposerStep::Wait => {}
            ProposerStep::Extend(more) => {
                let request = round.prepare_request();
                more.into_iter().for_each(|to| self.requests.push_back((to, s, ballot, request.clone())));
            }
            ProposerStep::Base(base, is_chosen) => {
                let (next, outcome) = apply_change::apply(&base.value, &attempt.request);
                attempt.takes_effect = next.is_some() && outcome == ChangeOutcome::Taken;
                if next.is_none() && is_chosen {
                    return self.end_attempt(s, outcome);
                }
                let next = next.map(|value| State { value, ..base.clone() }).unwrap_or(base);
                let Some(request) = round.propose(next.clone()) else {
                    panic!("the change leaves the members as they are")
                };
                round.recipients().for_each(|to| self.requests.push_back((to, s, ballot, request.clone())));
                attempt.proposed = Some((next, outcome));
            }
            ProposerStep::Chosen => {
                let Some((state, outcome)) = attempt.proposed.take() else { return };
                let (at, change) = (attempt.store, &self.changes[attempt.change]);
                let is_late = attempt.takes_effect && change.refused;
                assert!(!is_late, "in force after it was refused: {:?}", change.parts);
                for to in state.members.voters.clone() {
                    self.requests.push_back((to, s, ballot, AcceptorRequest::Chosen(ballot)));
                }
                if ballot > self.stores[at].known.0 {
                    self.stores[at].known = (ballot, state);
                }
                self.end_attempt(s, outcome);
            }
            ProposerStep::Preempted(higher) => {
                self.highest_round = self.highest_round.max(higher.round);
                attempt.round = None;
            }
            ProposerStep::NewerMembers(members, higher) => {
                self.highest_round = self.highest_round.max(higher.round);
                attempt.round = None;
                if members.epoch > self.members.epoch {
                    self.members = members;
                }
            }
        }
    }

    /// An attempt ends with an outcome. It is checked against the history. The operator may not receive it, and then repeats
    /// the change.
    fn end_attempt(&mut self, s: usize, outcome: ChangeOutcome) {
        let attempt = &mut self.attempts[s];
        (attempt.round, attempt.ended) = (None, true);
        let (heard, change) = (self.rng.u8(0..3) > 0, &mut self.changes[attempt.change]);
        match outcome {
            ChangeOutcome::Taken => {
                // All of a refused change may be confirmed later as parts of others. A copy of it then changes nothing.
                change.confirmed |= !change.refused;
                for (name, version, content) in &change.parts {
                    let first = *self.confirmed.entry((*name, *version)).or_insert(*content);
                    assert_eq!(
                        first, *content,
                        "t-{name} r{version} was confirmed with two different contents"
                    );
                }
                change.finished |= heard;
            }
            ChangeOutcome::Conflict(_) | ChangeOutcome::Invalid(_) => {
                assert!(!change.confirmed, "a confirmed change was refused: {:?} {outcome:?}", change.parts);
                change.refused = true;
                change.finished |= heard;
                self.refusals += 1;
            }
            ChangeOutcome::Unclear => {}
        }
    }

    /// A store restarts from its disk. Attempts at it end without a result.
    fn power_loss(&mut self, i: usize) {
        let store = &mut self.stores[i];
        let (kept, state) = store.disk.clone();
        (store.acceptor, store.known) = (Acceptor::restore(kept, state), Default::default());
        for attempt in self.attempts.iter_mut().filter(|attempt| attempt.store == i) {
            (attempt.round, attempt.ended) = (None, true);
        }
    }

    /// A store loses its disk: a new incarnation starts there.
    fn wipe(&mut self, i: usize) {
        let was = self.stores[i].acceptor.me();
        let acceptor: Acceptor<Value> =
            Acceptor::new(Member { incarnation: was.incarnation + 1, ..was }, Members::default());
        self.stores[i].disk = (acceptor.metadata().clone(), acceptor.state().clone());
        self.power_loss(i);
        self.lost_member = Some(was);
    }

    /// Calls all acceptors of a round, of which one in ten is not reached. Returns the first result other than waiting.
    fn call_all(
        &mut self,
        round: &mut ProposerRound<Value>,
        request: &AcceptorRequest<Value>,
    ) -> ProposerStep<Value> {
        for to in round.recipients().collect::<Vec<_>>() {
            if self.rng.u8(0..10) > 0 {
                let reply = self.call(to, request.clone());
                match round.handle_reply(to, reply) {
                    ProposerStep::Wait | ProposerStep::Extend(_) => {}
                    step => return step,
                }
            }
        }
        ProposerStep::Wait
    }

    /// Has the new incarnation of a store chosen as a member in place of the former one.
    fn replace_lost_member(&mut self) {
        let Some(leaves) = self.lost_member.filter(|_| self.cut_off.is_none()) else { return };
        let joins = self.stores[store_index(leaves)].acceptor.me();
        self.highest_round += 1;
        let ballot = Ballot { round: self.highest_round, proposer: u32::MAX - 1 };
        let mut round = ProposerRound::new(ballot, self.members.clone(), Default::default());
        let (mut request, mut proposed) = (round.prepare_request(), None);
        for _ in 0..2 {
            match self.call_all(&mut round, &request) {
                ProposerStep::Base(base, _) => {
                    let next = base.members.with_change(MemberChange::Replace { leaves, joins });
                    let next = next.map(|members| State { members, ..base.clone() }).unwrap_or(base);
                    proposed = Some(next.members.clone());
                    let Some(next) = round.propose(next) else { return };
                    request = next;
                }
                ProposerStep::Chosen => self.members = proposed.take().unwrap_or_default(),
                ProposerStep::Preempted(higher) => self.highest_round = self.highest_round.max(higher.round),
                ProposerStep::NewerMembers(members, higher) => {
                    self.highest_round = self.highest_round.max(higher.round);
                    self.members = members;
                }
                _ => {}
            }
        }
        if self.members.contains(joins) {
            self.lost_member = None;
        }
    }

    /// Repeats a change that has no result yet, or one that was confirmed, even if newer versions were since.
    fn repeat_change(&mut self) {
        let idle = |change: &usize| !self.attempts.iter().any(|a| a.change == *change && !a.ended);
        let open =
            (0..self.changes.len()).filter(|c| !self.changes[*c].finished || self.changes[*c].confirmed);
        let open: Vec<usize> = open.filter(idle).collect();
        if let Some(change) = self.rng.choice(open) {
            self.start_attempt(change);
        }
    }

    /// A copy of a refused change arrives, which its operator sent before it was told of the refusal.
    fn late_copy(&mut self) {
        let refused = (0..self.changes.len()).filter(|change| self.changes[*change].refused);
        let refused: Vec<usize> = refused.collect();
        if let Some(change) = self.rng.choice(refused) {
            self.late_copies += 1;
            self.start_attempt(change);
        }
    }

    fn step(&mut self) {
        let in_progress = self.changes.iter().filter(|change| !change.finished).count();
        match self.rng.u8(0..100) {
            0..=3 if in_progress < MAX_IN_PROGRESS => self.new_change(),
            4..=7 => self.repeat_change(),
            8..=10 => {
                let open = (0..self.attempts.len())
                    .filter(|s| !self.attempts[*s].ended && self.attempts[*s].round.is_none());
                let open: Vec<usize> = open.collect();
                if let Some(s) = self.rng.choice(open) {
                    self.begin_round(s);
                }
            }
            11 => self.cut_off = (self.cut_off.is_none()).then(|| self.rng.usize(0..STORES)),
            12 if self.rng.bool() => {
                let i = self.rng.usize(0..STORES);
                self.power_loss(i);
            }
            13 if self.rng.u8(0..6) == 0 && self.lost_member.is_none() && self.cut_off.is_none() => {
                let i = self.rng.usize(0..STORES);
                self.wipe(i);
            }
            14..=18 => self.replace_lost_member(),
            // A store gives up an attempt; the operator gets no result.
            19 => {
                let open: Vec<usize> =
                    (0..self.attempts.len()).filter(|s| !self.attempts[*s].ended).collect();
                if let Some(s) = self.rng.choice(open) {
                    (self.attempts[s].round, self.attempts[s].ended) = (None, true);
                }
            }
            20..=21 => drop(self.requests.pop_front()),
            22 if in_progress < MAX_IN_PROGRESS => self.late_copy(),
            23..=60 => self.deliver_request(),
            _ => self.deliver_reply(),
        }
    }

    /// Reads through each majority. Each item must have its highest confirmed version, or a higher one that is in a change
    /// without a result.
    fn read_back(&mut self) {
        self.cut_off = None;
        while self.lost_member.is_some() {
            self.replace_lost_member();
        }
        let mut highest: BTreeMap<u8, (u64, u8)> = BTreeMap::new();
        for ((name, version), content) in &self.confirmed {
            highest.insert(*name, (*version, *content));
        }
        let unrefused: BTreeSet<Part> = self
            .changes
            .iter()
            .filter(|change| !change.refused)
            .flat_map(|change| change.parts.iter().copied())
            .collect();
        for left_out in 0..STORES {
            let base = self.read_without(left_out);
            let items = ItemSet::from_items(base.iter().cloned());
            assert_eq!(items.validate(), Ok(()), "the items contradict each other");
            for (name, (version, content)) in &highest {
                let read = base.iter().find(|item| item.name == format!("t-{name}"));
                let Some(read) = read else { panic!("t-{name} r{version} was confirmed and is gone") };
                let rate = |rate: u8| match &read.body {
                    None => rate == 0,
                    Some(body) => rate > 0 && body.contains(&format!("\"rate_per_s\":{rate}")),
                };
                let fits = match read.version == *version {
                    true => rate(*content),
                    false => {
                        read.version > *version
                            && (0..CONTENTS).any(|c| rate(c) && unrefused.contains(&(*name, read.version, c)))
                    }
                };
                assert!(fits, "t-{name}: r{version} = {content} was confirmed, {read:?} is read");
            }
        }
    }

    /// Reads the value without one of the stores.
    fn read_without(&mut self, left_out: usize) -> Value {
        for _ in 0..8 {
            self.highest_round += 1;
            let ballot = Ballot { round: self.highest_round, proposer: u32::MAX };
            let mut round = ProposerRound::new(ballot, self.members.clone(), Default::default());
            for member in self.members.voters.clone() {
                if store_index(member) == left_out {
                    continue;
                }
                let reply = self.call(member, round.prepare_request());
                match round.handle_reply(member, reply) {
                    ProposerStep::Base(state, _) => return state.value,
                    ProposerStep::Preempted(higher) => {
                        self.highest_round = self.highest_round.max(higher.round);
                        break;
                    }
                    ProposerStep::NewerMembers(members, higher) => {
                        (self.highest_round, self.members) = (self.highest_round.max(higher.round), members);
                        break;
                    }
                    _ => {}
                }
            }
        }
        panic!("no majority without {left_out}")
    }
}

#[test]
fn a_version_has_one_content_a_confirmed_change_stays_confirmed_and_a_refused_one_refused() {
    let (mut confirmed, mut refusals, mut repeats, mut late_copies) = (0, 0, 0, 0);
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            (0..STEPS).for_each(|_| world.step());
            world.read_back();
        }));
        assert!(result.is_ok(), "seed {seed}");
        confirmed += world.confirmed.len();
        refusals += world.refusals;
        repeats += world.repeats;
        late_copies += world.late_copies;
    }
    println!("confirmed={confirmed} refusals={refusals} repeats={repeats} late_copies={late_copies}");
    // Guards against histories in which too little happens to be a test.
    assert!(confirmed > 3_000 && refusals > 500 && repeats > 3_000, "{confirmed} {refusals} {repeats}");
    assert!(late_copies > 2_000, "{late_copies}");
}
