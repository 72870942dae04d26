//! Orders of two operators over three stores: up to eight under way, sent again anywhere, several on one number, while
//! members are cut off, lose power or their disk, and answers are lost. Histories are checked as they come: one content for
//! each number that was ever confirmed, no repeat refused, and in the end what was confirmed is read back.

use starlinghill_config_model::ConfigChange;
use starlinghill_config_store::apply_change;
use starlinghill_config_store::wire::{ChangeOutcome, State, Value};
use starlinghill_consensus::{
    Acceptor, AcceptorReply, AcceptorRequest, AcceptorState, Ballot, Member, MemberChange, Members,
    ProposerRound, ProposerStep, RequiredWrite,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::IpAddr;

const VOTERS: usize = 3;
const UNDER_WAY: usize = 8;
const NAMES: u8 = 3;

/// A name, a number and which of some contents; content 0 is the removal.
type Part = (u8, u64, u8);

struct Machine {
    voter: Acceptor<Value>,
    disk: (AcceptorState, State),
    /// The highest ballot that it knows to be agreed on, with its state.
    known: (Ballot, State),
}

/// An order is confirmed or refused as a whole.
struct Order {
    parts: Vec<Part>,
    confirmed: bool,
    refused: bool,
    /// The operator has heard how it ended.
    over: bool,
}

/// One sending of an order to a member.
struct Sending {
    order: usize,
    at: usize,
    change: ConfigChange,
    round: Option<ProposerRound<Value>>,
    made: Option<(State, ChangeOutcome)>,
    ended: bool,
}

struct World {
    rng: fastrand::Rng,
    machines: Vec<Machine>,
    mail: VecDeque<(Member, usize, Ballot, AcceptorRequest<Value>)>,
    back: VecDeque<(Member, usize, Ballot, AcceptorReply<Value>)>,
    orders: Vec<Order>,
    sendings: Vec<Sending>,
    seen: u64,
    members: Members,
    cut: Option<usize>,
    /// A disk was lost: who was there.
    mourning: Option<Member>,
    /// What was ever answered 200, by name and number.
    confirmed: BTreeMap<(u8, u64), u8>,
    refusals: usize,
    repeats: usize,
}

/// The same content, never written the same way for long.
fn written(rng: &mut fastrand::Rng, parts: &[Part]) -> ConfigChange {
    let (mut sets, mut removals) = (Vec::new(), Vec::new());
    for (name, number, content) in parts {
        if *content == 0 {
            removals.push(format!(r#"{{"name":"t-{name}","version":"r{number}"}}"#));
            continue;
        }
        let rate = if rng.bool() { format!("{content}") } else { format!("{content}.0") };
        let mut fields = [
            format!(r#""name":"t-{name}""#),
            format!(r#""version" : "r{number}""#),
            format!(r#""api_keys":["k-{name}"]"#),
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
    Members::founding((0..VOTERS).map(|i| IpAddr::from([10, 0, 0, i as u8])))
}

/// The machine of a member.
fn place(member: Member) -> usize {
    let IpAddr::V4(ip) = member.ip else { panic!("{member:?}") };
    usize::from(ip.octets()[3])
}

impl World {
    fn new(seed: u64) -> World {
        let machine = |i| {
            let voter: Acceptor<Value> = Acceptor::new(founders().voters[i], founders());
            let disk = (voter.metadata().clone(), voter.state().clone());
            Machine { voter, disk, known: Default::default() }
        };
        World {
            rng: fastrand::Rng::with_seed(seed),
            machines: (0..VOTERS).map(machine).collect(),
            mail: VecDeque::new(),
            back: VecDeque::new(),
            orders: Vec::new(),
            sendings: Vec::new(),
            seen: 0,
            members: founders(),
            cut: None,
            mourning: None,
            confirmed: BTreeMap::new(),
            refusals: 0,
            repeats: 0,
        }
    }

    fn passes(&self, a: usize, b: usize) -> bool {
        a == b || self.cut.is_none_or(|cut| a != cut && b != cut)
    }

    fn order(&mut self) {
        let top = self.confirmed.keys().map(|(_, number)| *number).max().unwrap_or_default();
        let rng = &mut self.rng;
        let part = |name| (name, (top + 3).saturating_sub(rng.u64(0..8)).max(1), rng.u8(0..3));
        let first = (self.orders.len() % usize::from(NAMES)) as u8;
        let mut parts: Vec<Part> = [first, (first + 1) % NAMES].into_iter().map(part).collect();
        parts.truncate(self.rng.usize(1..=2));
        self.orders.push(Order { parts, confirmed: false, refused: false, over: false });
        self.send(self.orders.len() - 1);
    }

    fn send(&mut self, order: usize) {
        let at = self.rng.usize(0..VOTERS);
        let change = written(&mut self.rng, &self.orders[order].parts);
        self.repeats += usize::from(self.orders[order].confirmed);
        self.sendings.push(Sending { order, at, change, round: None, made: None, ended: false });
        self.begin(self.sendings.len() - 1);
    }

    fn begin(&mut self, s: usize) {
        self.seen += 1 + self.rng.u64(0..2);
        let ballot = Ballot { round: self.seen, proposer: s as u32 };
        let sending = &mut self.sendings[s];
        let have = self.machines[sending.at].known.clone();
        let round = ProposerRound::new(ballot, self.members.clone(), have);
        let ask = round.prepare_request();
        round.recipients().for_each(|to| self.mail.push_back((to, s, ballot, ask.clone())));
        (sending.round, sending.made) = (Some(round), None);
    }

    fn ask(&mut self, to: Member, ask: AcceptorRequest<Value>) -> AcceptorReply<Value> {
        let machine = &mut self.machines[place(to)];
        let (tell, save) = machine.voter.handle(to, ask);
        match save {
            RequiredWrite::Nothing => {}
            RequiredWrite::Metadata => machine.disk.0 = machine.voter.metadata().clone(),
            RequiredWrite::MetadataAndState => {
                machine.disk = (machine.voter.metadata().clone(), machine.voter.state().clone())
            }
        }
        tell
    }

    fn deliver(&mut self) {
        let at = (!self.mail.is_empty()).then(|| self.rng.usize(0..self.mail.len()));
        let Some((to, s, ballot, ask)) = at.and_then(|at| self.mail.remove(at)) else { return };
        let from = self.sendings[s].at;
        if !self.passes(from, place(to)) {
            return;
        }
        if self.rng.u8(0..20) == 0 {
            self.mail.push_back((to, s, ballot, ask.clone()));
        }
        let tell = self.ask(to, ask);
        if self.passes(from, place(to)) && self.rng.u8(0..10) > 0 {
            self.back.push_back((to, s, ballot, tell));
        }
    }

    fn answer(&mut self) {
        let at = (!self.back.is_empty()).then(|| self.rng.usize(0..self.back.len()));
        let Some((from, s, ballot, tell)) = at.and_then(|at| self.back.remove(at)) else { return };
        let sending = &mut self.sendings[s];
        let Some(round) = sending.round.as_mut().filter(|round| round.ballot() == ballot) else { return };
        match round.handle_reply(from, tell) {
            ProposerStep::Wait => {}
            ProposerStep::Extend(more) => {
                let ask = round.prepare_request();
                more.into_iter().for_each(|to| self.mail.push_back((to, s, ballot, ask.clone())));
            }
            ProposerStep::Base(base, known) => {
                let (next, outcome) = apply_change::take(&base.value, &sending.change);
                if next.is_none() && known {
                    return self.end(s, outcome);
                }
                let next = next.map(|value| State { value, ..base.clone() }).unwrap_or(base);
                let Some(ask) = round.propose(next.clone()) else { panic!("its members stand") };
                round.recipients().for_each(|to| self.mail.push_back((to, s, ballot, ask.clone())));
                sending.made = Some((next, outcome));
            }
            ProposerStep::Chosen => {
                let Some((state, outcome)) = sending.made.take() else { return };
                let at = sending.at;
                for to in state.members.voters.clone() {
                    self.mail.push_back((to, s, ballot, AcceptorRequest::Chosen(ballot)));
                }
                if ballot > self.machines[at].known.0 {
                    self.machines[at].known = (ballot, state);
                }
                self.end(s, outcome);
            }
            ProposerStep::Preempted(higher) => {
                self.seen = self.seen.max(higher.round);
                sending.round = None;
            }
            ProposerStep::NewerMembers(members, higher) => {
                self.seen = self.seen.max(higher.round);
                sending.round = None;
                if members.epoch > self.members.epoch {
                    self.members = members;
                }
            }
        }
    }

    /// The member answers. The operator may not hear it, and sends the order again then.
    fn end(&mut self, s: usize, outcome: ChangeOutcome) {
        let sending = &mut self.sendings[s];
        (sending.round, sending.ended) = (None, true);
        let (heard, order) = (self.rng.u8(0..3) > 0, &mut self.orders[sending.order]);
        match outcome {
            ChangeOutcome::Taken => {
                assert!(!order.refused, "confirmed after it was refused: {:?}", order.parts);
                order.confirmed = true;
                for (name, number, content) in &order.parts {
                    let first = *self.confirmed.entry((*name, *number)).or_insert(*content);
                    assert_eq!(first, *content, "t-{name} r{number} was confirmed with two contents");
                }
                order.over |= heard;
            }
            ChangeOutcome::Conflict(_) | ChangeOutcome::Invalid(_) => {
                assert!(!order.confirmed, "a repeat was refused: {:?} {outcome:?}", order.parts);
                order.refused = true;
                order.over |= heard;
                self.refusals += 1;
            }
            ChangeOutcome::Unclear => {}
        }
    }

    fn power_loss(&mut self, i: usize) {
        let machine = &mut self.machines[i];
        let (kept, state) = machine.disk.clone();
        (machine.voter, machine.known) = (Acceptor::restore(kept, state), Default::default());
        for sending in self.sendings.iter_mut().filter(|sending| sending.at == i) {
            (sending.round, sending.ended) = (None, true);
        }
    }

    /// The disk is empty: another incarnation begins there.
    fn wipe(&mut self, i: usize) {
        let was = self.machines[i].voter.me();
        let voter: Acceptor<Value> =
            Acceptor::new(Member { incarnation: was.incarnation + 1, ..was }, Members::default());
        self.machines[i].disk = (voter.metadata().clone(), voter.state().clone());
        self.power_loss(i);
        self.mourning = Some(was);
    }

    /// Asks all members, but for what is lost on the way; the first step that is more than to wait.
    fn ask_all(
        &mut self,
        round: &mut ProposerRound<Value>,
        ask: &AcceptorRequest<Value>,
    ) -> ProposerStep<Value> {
        for to in round.recipients().collect::<Vec<_>>() {
            if self.rng.u8(0..10) > 0 {
                let tell = self.ask(to, ask.clone());
                match round.handle_reply(to, tell) {
                    ProposerStep::Wait | ProposerStep::Extend(_) => {}
                    step => return step,
                }
            }
        }
        ProposerStep::Wait
    }

    /// The new incarnation asks to be a member in the place of the one before, which is agreed on like any change.
    fn recover(&mut self) {
        let Some(leaves) = self.mourning.filter(|_| self.cut.is_none()) else { return };
        let joins = self.machines[place(leaves)].voter.me();
        self.seen += 1;
        let ballot = Ballot { round: self.seen, proposer: u32::MAX - 1 };
        let mut round = ProposerRound::new(ballot, self.members.clone(), Default::default());
        let (mut ask, mut proposed) = (round.prepare_request(), None);
        for _ in 0..2 {
            match self.ask_all(&mut round, &ask) {
                ProposerStep::Base(base, _) => {
                    let next = base.members.with_change(MemberChange::Replace { leaves, joins });
                    let next = next.map(|members| State { members, ..base.clone() }).unwrap_or(base);
                    proposed = Some(next.members.clone());
                    let Some(next) = round.propose(next) else { return };
                    ask = next;
                }
                ProposerStep::Chosen => self.members = proposed.take().unwrap_or_default(),
                ProposerStep::Preempted(higher) => self.seen = self.seen.max(higher.round),
                ProposerStep::NewerMembers(members, higher) => {
                    self.seen = self.seen.max(higher.round);
                    self.members = members;
                }
                _ => {}
            }
        }
        if self.members.contains(joins) {
            self.mourning = None;
        }
    }

    /// One that is not over is sent again, or one that was confirmed, though newer ones were since.
    fn send_again(&mut self) {
        let idle = |order: &usize| !self.sendings.iter().any(|s| s.order == *order && !s.ended);
        let open = (0..self.orders.len()).filter(|o| !self.orders[*o].over || self.orders[*o].confirmed);
        let open: Vec<usize> = open.filter(idle).collect();
        if let Some(order) = self.rng.choice(open) {
            self.send(order);
        }
    }

    fn step(&mut self) {
        let under_way = self.orders.iter().filter(|order| !order.over).count();
        match self.rng.u8(0..100) {
            0..=3 if under_way < UNDER_WAY => self.order(),
            4..=7 => self.send_again(),
            8..=10 => {
                let open = (0..self.sendings.len())
                    .filter(|s| !self.sendings[*s].ended && self.sendings[*s].round.is_none());
                let open: Vec<usize> = open.collect();
                if let Some(s) = self.rng.choice(open) {
                    self.begin(s);
                }
            }
            11 => self.cut = (self.cut.is_none()).then(|| self.rng.usize(0..VOTERS)),
            12 if self.rng.bool() => {
                let i = self.rng.usize(0..VOTERS);
                self.power_loss(i);
            }
            13 if self.rng.u8(0..6) == 0 && self.mourning.is_none() && self.cut.is_none() => {
                let i = self.rng.usize(0..VOTERS);
                self.wipe(i);
            }
            14..=18 => self.recover(),
            // A member gives a sending up; the operator hears nothing clear.
            19 => {
                let open: Vec<usize> =
                    (0..self.sendings.len()).filter(|s| !self.sendings[*s].ended).collect();
                if let Some(s) = self.rng.choice(open) {
                    (self.sendings[s].round, self.sendings[s].ended) = (None, true);
                }
            }
            20..=22 => drop(self.mail.pop_front()),
            23..=60 => self.deliver(),
            _ => self.answer(),
        }
    }

    /// By whatever majority is asked, the highest that was confirmed is read, or a higher one that is in doubt.
    fn read_back(&mut self) {
        self.cut = None;
        while self.mourning.is_some() {
            self.recover();
        }
        let mut highest: BTreeMap<u8, (u64, u8)> = BTreeMap::new();
        for ((name, number), content) in &self.confirmed {
            highest.insert(*name, (*number, *content));
        }
        let doubted: BTreeSet<Part> = self
            .orders
            .iter()
            .filter(|order| !order.refused)
            .flat_map(|order| order.parts.iter().copied())
            .collect();
        for left_out in 0..VOTERS {
            let base = self.base_without(left_out);
            for (name, (number, content)) in &highest {
                let read = base.iter().find(|item| item.name == format!("t-{name}"));
                let Some(read) = read else { panic!("t-{name} r{number} was confirmed and is gone") };
                let rate = |rate: u8| match &read.body {
                    None => rate == 0,
                    Some(body) => rate > 0 && body.contains(&format!("\"rate_per_s\":{rate}")),
                };
                let fits = match read.version == *number {
                    true => rate(*content),
                    false => {
                        read.version > *number
                            && (0..3).any(|c| rate(c) && doubted.contains(&(*name, read.version, c)))
                    }
                };
                assert!(fits, "t-{name}: r{number} = {content} was confirmed, {read:?} is read");
            }
        }
    }

    fn base_without(&mut self, left_out: usize) -> Value {
        for _ in 0..8 {
            self.seen += 1;
            let ballot = Ballot { round: self.seen, proposer: u32::MAX };
            let mut round = ProposerRound::new(ballot, self.members.clone(), Default::default());
            for member in self.members.voters.clone() {
                if place(member) == left_out {
                    continue;
                }
                let tell = self.ask(member, round.prepare_request());
                match round.handle_reply(member, tell) {
                    ProposerStep::Base(state, _) => return state.value,
                    ProposerStep::Preempted(higher) => {
                        self.seen = self.seen.max(higher.round);
                        break;
                    }
                    ProposerStep::NewerMembers(members, higher) => {
                        (self.seen, self.members) = (self.seen.max(higher.round), members);
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
fn a_number_has_one_content_and_no_repeat_is_refused_whatever_happens() {
    let (mut confirmed, mut refusals, mut repeats) = (0, 0, 0);
    for seed in 0..1_500 {
        let mut world = World::new(seed);
        let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            (0..700).for_each(|_| world.step());
            world.read_back();
        }));
        assert!(played.is_ok(), "seed {seed}");
        confirmed += world.confirmed.len();
        refusals += world.refusals;
        repeats += world.repeats;
    }
    println!("confirmed={confirmed} refusals={refusals} repeats={repeats}");
    // The histories hold something to be checked.
    assert!(confirmed > 3_000 && refusals > 500 && repeats > 3_000, "{confirmed} {refusals} {repeats}");
}
