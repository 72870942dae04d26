//! Histories of changes, checked after the fact: seeded orders of messages, losses, restarts, power losses, lost disks, and
//! members that are added, removed and replaced meanwhile, three to five of them. What was acknowledged is read back, no
//! version has two contents, and of any two states that were agreed on the later one holds all of the earlier.

use starlinghill_consensus::{
    Acceptor, AcceptorReply, AcceptorRequest, AcceptorState, Ballot, Member, MemberChange, Members,
    ProposerRound, ProposerStep, RequiredWrite, State,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::IpAddr;
use test_case::test_case;

/// Items by name: a version, and who wrote it.
type Value = Vec<(u8, (u64, u64))>;

/// What is left out, to see that it is missed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Nothing,
    /// A change of members counts once a majority of the new set has it.
    NewSetOnly,
    /// A wiped voter goes on as the member that it was.
    SameIncarnation,
}

struct Machine {
    voter: Acceptor<Value>,
    /// What is on its disk.
    disk: (AcceptorState, State<Value>),
}

#[derive(Debug, Clone, Copy)]
enum Wish {
    Item(u8, (u64, u64)),
    Members(MemberChange),
    Nothing,
}

/// A proposer: it knows no more than it was told.
struct Writer {
    wish: Wish,
    round: Option<ProposerRound<Value>>,
    proposed: Option<(State<Value>, bool)>,
    members: Members,
    seen: u64,
    votes: BTreeSet<Member>,
    done: bool,
    /// A higher version stood: this one has no effect, whatever it holds.
    overtaken: bool,
    read: Option<Value>,
}

struct World {
    rng: fastrand::Rng,
    fault: Fault,
    machines: BTreeMap<Member, Machine>,
    /// Questions and answers on their way: to a voter, of that writer, in that round.
    mail: VecDeque<(Member, usize, Ballot, AcceptorRequest<Value>)>,
    back: VecDeque<(Member, usize, Ballot, AcceptorReply<Value>)>,
    writers: Vec<Writer>,
    /// All that was agreed on.
    chosen: BTreeMap<Ballot, State<Value>>,
    acknowledged: BTreeMap<u8, (u64, u64)>,
    /// A disk was lost, and who comes in its place: no second one may go before that is agreed on.
    mourning: Option<(Member, Member)>,
    machines_ever: u8,
    epochs: u64,
    wrong: Option<String>,
}

fn address(i: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, i])
}

fn merged(base: &Value, name: u8, item: (u64, u64)) -> Result<Value, ()> {
    let mut next = base.clone();
    match next.iter_mut().find(|(known, _)| *known == name) {
        Some((_, stands)) if stands.0 == item.0 && stands.1 != item.1 => return Err(()),
        Some((_, stands)) if stands.0 >= item.0 => {}
        Some((_, stands)) => *stands = item,
        None => next.push((name, item)),
    }
    Ok(next)
}

/// All that the earlier one holds, the later one holds too, or something newer.
fn follows(earlier: &State<Value>, later: &State<Value>) -> bool {
    let newer = |(name, item): &(u8, (u64, u64))| {
        let stands = later.value.iter().find(|(known, _)| known == name).map(|(_, stands)| *stands);
        stands.is_some_and(|stands| stands.0 > item.0 || stands == *item)
    };
    let set = earlier.members.epoch < later.members.epoch || earlier.members == later.members;
    set && earlier.value.iter().all(newer)
}

impl World {
    fn new(seed: u64, founders: u8, fault: Fault) -> World {
        let members = Members::founding((1..=founders).map(address));
        let machine = |member: &Member| {
            let voter: Acceptor<Value> = Acceptor::new(*member, members.clone());
            (*member, Machine { disk: (voter.metadata().clone(), voter.state().clone()), voter })
        };
        let machines = members.voters.iter().map(machine).collect();
        World {
            rng: fastrand::Rng::with_seed(seed),
            fault,
            machines,
            mail: VecDeque::new(),
            back: VecDeque::new(),
            writers: Vec::new(),
            chosen: BTreeMap::from([(Ballot::default(), State { members, value: Value::new() })]),
            acknowledged: BTreeMap::new(),
            mourning: None,
            machines_ever: founders,
            epochs: 0,
            wrong: None,
        }
    }

    fn newest(&self) -> (Ballot, State<Value>) {
        self.chosen.iter().next_back().map(|(b, s)| (*b, s.clone())).unwrap_or_default()
    }

    fn wish(&mut self, wish: Wish) -> usize {
        // It may know only of the founders, or of any members since.
        let known: Vec<(Ballot, Members)> =
            self.chosen.iter().map(|(ballot, state)| (*ballot, state.members.clone())).collect();
        let (ballot, members) = known[self.rng.usize(0..known.len())].clone();
        self.writers.push(Writer {
            wish,
            round: None,
            proposed: None,
            members,
            seen: ballot.round,
            votes: BTreeSet::new(),
            done: false,
            overtaken: false,
            read: None,
        });
        let id = self.writers.len() - 1;
        self.begin(id);
        id
    }

    /// A writer begins a round under a ballot that nobody else has.
    fn begin(&mut self, id: usize) {
        let more = 1 + self.rng.u64(0..2);
        let writer = &mut self.writers[id];
        writer.seen += more;
        let ballot = Ballot { round: writer.seen, proposer: id as u32 };
        let round = ProposerRound::new(ballot, writer.members.clone(), Default::default());
        let ask = round.prepare_request();
        round.recipients().for_each(|to| self.mail.push_back((to, id, ballot, ask.clone())));
        (writer.round, writer.proposed) = (Some(round), None);
        writer.votes.clear();
    }

    fn write(&mut self) {
        let id = self.writers.len() as u64;
        let (name, version) = (self.rng.u8(0..3), 1 + self.rng.u64(0..8));
        self.wish(Wish::Item(name, (version, id)));
    }

    fn ask(&mut self, to: Member, ask: AcceptorRequest<Value>) -> Option<AcceptorReply<Value>> {
        let machine = self.machines.get_mut(&to)?;
        let (tell, save) = machine.voter.handle(to, ask);
        match save {
            RequiredWrite::Nothing => {}
            RequiredWrite::Metadata => machine.disk.0 = machine.voter.metadata().clone(),
            RequiredWrite::MetadataAndState => {
                machine.disk = (machine.voter.metadata().clone(), machine.voter.state().clone())
            }
        }
        Some(tell)
    }

    fn deliver(&mut self) {
        let at = (!self.mail.is_empty()).then(|| self.rng.usize(0..self.mail.len()));
        let Some((to, writer, ballot, ask)) = at.and_then(|at| self.mail.remove(at)) else { return };
        if self.rng.u8(0..20) == 0 {
            // It comes again later.
            self.mail.push_back((to, writer, ballot, ask.clone()));
        }
        let Some(tell) = self.ask(to, ask) else { return };
        if self.rng.u8(0..10) > 0 {
            self.back.push_back((to, writer, ballot, tell));
        }
    }

    fn answer(&mut self) {
        let at = (!self.back.is_empty()).then(|| self.rng.usize(0..self.back.len()));
        let Some((from, id, ballot, tell)) = at.and_then(|at| self.back.remove(at)) else { return };
        let writer = &mut self.writers[id];
        let Some(round) = writer.round.as_mut().filter(|round| round.ballot() == ballot) else { return };
        if tell == AcceptorReply::Accepted {
            writer.votes.insert(from);
        }
        let mut step = round.handle_reply(from, tell);
        if let (Fault::NewSetOnly, Some((state, _))) = (self.fault, &writer.proposed) {
            if state.members.has_majority(&writer.votes) {
                step = ProposerStep::Chosen;
            }
        }
        match step {
            ProposerStep::Wait => {}
            ProposerStep::Extend(more) => {
                let ask = round.prepare_request();
                more.into_iter().for_each(|to| self.mail.push_back((to, id, ballot, ask.clone())));
            }
            ProposerStep::Base(base, known) => self.propose(id, base, known),
            ProposerStep::Chosen => self.agreed(id, ballot),
            ProposerStep::Preempted(higher) => {
                writer.seen = writer.seen.max(higher.round);
                writer.round = None;
            }
            ProposerStep::NewerMembers(members, higher) => {
                writer.seen = writer.seen.max(higher.round);
                (writer.members, writer.round) = (members, None);
            }
        }
    }

    fn propose(&mut self, id: usize, base: State<Value>, known: bool) {
        let writer = &mut self.writers[id];
        let Some(round) = writer.round.as_mut() else { return };
        let next = match writer.wish {
            Wish::Nothing if known => {
                writer.read = Some(base.value);
                (writer.done, writer.round) = (true, None);
                return;
            }
            Wish::Nothing => Some(base.clone()),
            Wish::Item(name, item) => {
                let stands = base.value.iter().find(|(known, _)| *known == name);
                writer.overtaken = stands.is_some_and(|(_, stands)| stands.0 > item.0);
                let value = merged(&base.value, name, item).ok();
                value.map(|value| State { members: base.members.clone(), value })
            }
            Wish::Members(change) => {
                let members = base.members.with_change(change).ok();
                members.map(|members| State { members, value: base.value.clone() })
            }
        };
        if next.is_none() && known {
            // Refused, by what was agreed on.
            (writer.done, writer.round) = (true, None);
            return;
        }
        let asked = next.and_then(|next| Some((round.propose(next.clone())?, next, true)));
        // What is half done is settled first.
        let settles = |round: &mut ProposerRound<Value>| Some((round.propose(base.clone())?, base, false));
        let Some((ask, state, whole)) = asked.or_else(|| settles(round)) else { return };
        let (to, ballot): (Vec<Member>, Ballot) = (round.recipients().collect(), round.ballot());
        writer.proposed = Some((state, whole));
        to.into_iter().for_each(|to| self.mail.push_back((to, id, ballot, ask.clone())));
    }

    fn agreed(&mut self, id: usize, ballot: Ballot) {
        let writer = &mut self.writers[id];
        writer.round = None;
        let Some((state, whole)) = writer.proposed.take() else { return };
        writer.done = whole;
        for (other, stands) in &self.chosen {
            let in_order = if *other < ballot { follows(stands, &state) } else { follows(&state, stands) };
            if !in_order {
                self.wrong = Some(format!("agreed under {other:?}: {stands:?}, under {ballot:?}: {state:?}"));
            }
        }
        self.epochs = self.epochs.max(state.members.epoch);
        if whole {
            match writer.wish {
                Wish::Item(name, item) if !writer.overtaken => {
                    let newest = self.acknowledged.entry(name).or_insert(item);
                    if newest.0 == item.0 && newest.1 != item.1 {
                        self.wrong = Some(format!("one version, two contents: {newest:?} {item:?}"));
                    }
                    *newest = (*newest).max(item);
                }
                _ => {}
            }
        }
        if self.rng.bool() {
            for to in state.members.voters.clone() {
                self.mail.push_back((to, id, ballot, AcceptorRequest::Chosen(ballot)));
            }
        }
        self.chosen.insert(ballot, state);
        self.settle();
    }

    /// What was mourned is replaced, and a change of members over, once that is agreed on.
    fn settle(&mut self) {
        let members = self.newest().1.members;
        if self.mourning.is_some_and(|(old, _)| !members.contains(old)) {
            self.mourning = None;
        }
    }

    /// A change of members is under way.
    fn changing(&self) -> bool {
        self.writers.iter().any(|writer| matches!(writer.wish, Wish::Members(_)) && !writer.done)
    }

    fn power_loss(&mut self, member: Member) {
        if let Some(machine) = self.machines.get_mut(&member) {
            let (kept, state) = machine.disk.clone();
            machine.voter = Acceptor::restore(kept, state);
        }
    }

    fn empty(&mut self, member: Member) {
        let voter: Acceptor<Value> = Acceptor::new(member, Members::default());
        let disk = (voter.metadata().clone(), voter.state().clone());
        self.machines.insert(member, Machine { voter, disk });
    }

    fn disk_loss(&mut self) {
        let voters = self.newest().1.members.voters;
        let old = voters[self.rng.usize(0..voters.len())];
        if self.rng.bool() {
            // All others lose power with it.
            let all: Vec<Member> = self.machines.keys().copied().collect();
            all.into_iter().for_each(|member| self.power_loss(member));
        }
        self.machines.remove(&old);
        if self.fault == Fault::SameIncarnation {
            return self.empty(old);
        }
        let new = Member { ip: old.ip, incarnation: old.incarnation + 1 };
        self.empty(new);
        self.mourning = Some((old, new));
    }

    /// The successor asks to be a member, with a snapshot or without.
    fn recover(&mut self) {
        let Some((leaves, joins)) = self.mourning else { return };
        if self.rng.bool() {
            let (ballot, state) = self.newest();
            self.ask(joins, AcceptorRequest::Learn { ballot, state });
        }
        self.wish(Wish::Members(MemberChange::Replace { leaves, joins }));
    }

    fn change_members(&mut self) {
        let voters = self.newest().1.members.voters;
        let one = voters[self.rng.usize(0..voters.len())];
        self.machines_ever += 1;
        let joins = Member { ip: address(self.machines_ever), incarnation: 7 };
        let change = match (voters.len(), self.rng.u8(0..3)) {
            (..=4, 0) => MemberChange::Add(joins),
            (4.., 1) => MemberChange::Remove(one),
            _ => MemberChange::Replace { leaves: one, joins },
        };
        self.empty(joins);
        self.wish(Wish::Members(change));
    }

    fn step(&mut self) {
        match self.rng.u8(0..100) {
            0..=5 if self.writers.len() < 60 => self.write(),
            6..=9 => {
                let open: Vec<usize> = (0..self.writers.len())
                    .filter(|w| !self.writers[*w].done && self.writers[*w].round.is_none())
                    .collect();
                if let Some(w) = (!open.is_empty()).then(|| open[self.rng.usize(0..open.len())]) {
                    self.begin(w);
                }
            }
            10 => {
                let all: Vec<Member> = self.machines.keys().copied().collect();
                let member = all[self.rng.usize(0..all.len())];
                self.power_loss(member);
            }
            11 if self.mourning.is_none() && !self.changing() => self.disk_loss(),
            12..=13 if self.mourning.is_none() && !self.changing() => self.change_members(),
            12..=16 if self.mourning.is_some() && !self.changing() => self.recover(),
            17..=19 => drop(self.mail.pop_front()),
            20..=60 => self.deliver(),
            _ => self.answer(),
        }
    }

    /// Goes on without losses until that writer is done, or for so long; `silent` says nothing.
    fn drive(&mut self, id: usize, silent: Option<Member>) -> bool {
        for _ in 0..3_000 {
            if self.writers[id].done {
                return true;
            }
            if self.writers[id].round.is_none() || self.mail.is_empty() && self.back.is_empty() {
                // Where those that it knows don't answer, it asks others who votes now.
                if self.rng.bool() {
                    let (ballot, state) = self.newest();
                    let writer = &mut self.writers[id];
                    writer.seen = writer.seen.max(ballot.round);
                    writer.members = state.members;
                }
                self.begin(id);
            }
            self.mail.retain(|(to, ..)| Some(*to) != silent);
            if self.rng.bool() {
                self.deliver();
            } else {
                self.answer();
            }
        }
        false
    }

    /// All that is acknowledged stands, by whatever majority is asked.
    fn read_back(&mut self) {
        for _ in 0..20 {
            if self.mourning.is_none() {
                break;
            }
            self.recover();
            let id = self.writers.len() - 1;
            self.drive(id, None);
            self.settle();
        }
        if self.mourning.is_some() {
            self.wrong = Some("a wiped voter did not come back".into());
            return;
        }
        for member in self.newest().1.members.voters {
            self.mail.clear();
            self.back.clear();
            let id = self.wish(Wish::Nothing);
            if !self.drive(id, Some(member)) {
                self.wrong = Some(format!("no majority without {member:?}"));
                return;
            }
            let Some(read) = self.writers[id].read.clone() else { continue };
            for (name, item) in &self.acknowledged {
                let stands = read.iter().find(|(known, _)| known == name).map(|(_, item)| *item);
                if !stands.is_some_and(|stands| stands.0 > item.0 || stands == *item) {
                    let what = format!("{name}: {item:?} was acknowledged, {stands:?} is read");
                    self.wrong = Some(format!("{what} without {member:?}"));
                }
            }
        }
    }
}

/// A history: what went wrong in it, and how much there was to go wrong.
fn history(seed: u64, founders: u8, fault: Fault) -> (Option<String>, usize, u64) {
    let mut world = World::new(seed, founders, fault);
    for _ in 0..1_000 {
        world.step();
    }
    if world.wrong.is_none() {
        world.read_back();
    }
    (world.wrong, world.acknowledged.len(), world.epochs)
}

#[test_case(3; "three founders")]
#[test_case(4; "four")]
#[test_case(5; "five")]
fn what_is_acknowledged_survives_every_order_of_events(founders: u8) {
    let (mut taken, mut epochs) = (0, 0);
    for seed in 0..1_500 {
        let (wrong, acknowledged, changes) = history(seed, founders, Fault::Nothing);
        assert!(wrong.is_none(), "seed {seed}: {}", wrong.unwrap_or_default());
        (taken, epochs) = (taken + acknowledged, epochs + changes);
    }
    // The histories hold something to be checked.
    println!("{taken} acknowledged, {epochs} changes of members");
    assert!(taken > 1_500 && epochs > 1_000, "{taken} {epochs}");
}

#[test_case(Fault::NewSetOnly; "a change of members that the old set does not know of")]
#[test_case(Fault::SameIncarnation; "a wiped voter that votes on")]
fn a_fault_that_is_planted_is_found(fault: Fault) {
    let found = (0..3_000).find(|seed| history(*seed, 3, fault).0.is_some());
    println!("found with seed {found:?}");
    assert!(found.is_some());
}

fn members() -> Members {
    Members::founding((1..=3).map(address))
}

#[test]
fn another_incarnation_says_nothing_for_the_one_before() {
    let was = members().voters[0];
    let now = Member { incarnation: 5, ..was };
    let mut voter: Acceptor<Value> = Acceptor::new(now, Members::default());
    let ballot = Ballot { round: 5, proposer: 1 };
    let state = State { members: members(), value: Value::new() };
    for ask in [
        AcceptorRequest::Prepare { ballot, epoch: 0, newer_than: Ballot::default() },
        AcceptorRequest::Accept { ballot, epoch: 0, state },
        AcceptorRequest::Read(Ballot::default()),
    ] {
        let (tell, save) = voter.handle(was, ask);
        assert!(tell == AcceptorReply::WrongIncarnation(now) && save == RequiredWrite::Nothing, "{tell:?}");
    }
}

#[test]
fn a_round_among_members_that_are_no_more_is_answered_with_the_newer_set() {
    let mut voter: Acceptor<Value> = Acceptor::new(members().voters[1], members());
    let joins = Member { ip: address(4), incarnation: 9 };
    let next = members().with_change(MemberChange::Replace { leaves: members().voters[0], joins });
    let Ok(next) = next else { panic!("{next:?}") };
    let ballot = Ballot { round: 5, proposer: 1 };
    let state = State { members: next.clone(), value: vec![(0, (1, 1))] };
    assert_eq!(
        voter.handle(voter.me(), AcceptorRequest::Accept { ballot, epoch: 0, state }).0,
        AcceptorReply::Accepted
    );
    // Accepted, it may not be agreed on: the old members still count.
    let later = Ballot { round: 6, proposer: 2 };
    let prepare = AcceptorRequest::Prepare { ballot: later, epoch: 0, newer_than: Ballot::default() };
    assert!(matches!(voter.handle(voter.me(), prepare.clone()).0, AcceptorReply::Status { .. }));
    voter.handle(voter.me(), AcceptorRequest::Chosen(ballot));
    assert_eq!(voter.handle(voter.me(), prepare).0, AcceptorReply::NewerMembers(next, later));
}

/// What a majority of the old set needs, with one that is lost for good among them.
#[test_case(3, 1, false; "of three, one other")]
#[test_case(3, 2, true; "of three, both others")]
#[test_case(5, 2, false; "of five, two others")]
#[test_case(5, 3, true; "of five, three others")]
fn a_wiped_voter_is_a_member_again_with_a_majority_of_the_old_set(of: u8, others: usize, agreed: bool) {
    let old = Members::founding((1..=of).map(address));
    let leaves = old.voters[0];
    let joins = Member { incarnation: 3, ..leaves };
    let ballot = Ballot { round: 1, proposer: 1 };
    let mut round: ProposerRound<Value> = ProposerRound::new(ballot, old.clone(), Default::default());
    let has = AcceptorReply::Status {
        promised: ballot,
        accepted: Ballot::default(),
        chosen: Ballot::default(),
        state: None,
    };
    let mut came = ProposerStep::Wait;
    for other in &old.voters[1..=others] {
        let step = round.handle_reply(*other, has.clone());
        came = if step == ProposerStep::Wait { came } else { step };
    }
    if let ProposerStep::Base(base, _) = came.clone() {
        let next = base.members.with_change(MemberChange::Replace { leaves, joins });
        let Ok(members) = next else { panic!("{next:?}") };
        assert!(round.propose(State { members, ..base }).is_some());
        // The new one alone makes no majority of the set before.
        came = round.handle_reply(joins, AcceptorReply::Accepted);
        for other in &old.voters[1..=others] {
            let step = round.handle_reply(*other, AcceptorReply::Accepted);
            came = if step == ProposerStep::Wait { came } else { step };
        }
    }
    assert_eq!(came == ProposerStep::Chosen, agreed);
}
