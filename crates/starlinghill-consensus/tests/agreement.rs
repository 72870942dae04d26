//! Random histories of the agreement, checked for safety. A seed decides the order of messages, message losses, restarts,
//! power losses, lost disks, and the adding, removing and replacing of members, with three to five voters. The checks:
//! every acknowledged item can be read back, no version has two contents, and of any two chosen states the later one
//! holds everything in the earlier one.

use starlinghill_consensus::{
    Acceptor, AcceptorReply, AcceptorRequest, AcceptorState, Ballot, Member, MemberChange, Members,
    ProposerRound, ProposerStep, RequiredWrite, State,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::IpAddr;
use test_case::test_case;

/// Items: a name, then a version and the number of the proposer that wrote it.
type Value = Vec<(u8, (u64, u64))>;

/// A defect put in on purpose, to show that the checks detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Nothing,
    /// A membership change counts as chosen with a majority of the new set alone.
    NewSetOnly,
    /// A voter that lost its disk keeps its old incarnation.
    SameIncarnation,
}

struct Machine {
    voter: Acceptor<Value>,
    /// The content of its disk, which is what a power loss leaves.
    disk: (AcceptorState, State<Value>),
}

/// The goal of a proposer.
#[derive(Debug, Clone, Copy)]
enum Goal {
    Write(u8, (u64, u64)),
    ChangeMembers(MemberChange),
    Read,
}

/// A proposer. Of the members it knows only what replies have told it.
struct Proposer {
    goal: Goal,
    round: Option<ProposerRound<Value>>,
    /// The proposed state, and whether it holds the goal: else it only settles the base.
    proposed: Option<(State<Value>, bool)>,
    members: Members,
    highest_round: u64,
    votes: BTreeSet<Member>,
    is_done: bool,
    /// A higher version of the item was already chosen, so that this write has no effect.
    is_superseded: bool,
    read: Option<Value>,
}

struct World {
    rng: fastrand::Rng,
    fault: Fault,
    machines: BTreeMap<Member, Machine>,
    /// Requests and replies in flight: the voter, the index of the proposer, its ballot, the message.
    requests: VecDeque<(Member, usize, Ballot, AcceptorRequest<Value>)>,
    replies: VecDeque<(Member, usize, Ballot, AcceptorReply<Value>)>,
    proposers: Vec<Proposer>,
    /// Every state that was chosen.
    chosen: BTreeMap<Ballot, State<Value>>,
    acknowledged: BTreeMap<u8, (u64, u64)>,
    /// The member that lost its disk and its successor. No second disk is lost until the replacement is chosen, since
    /// the agreement survives only one lost voter at a time.
    replacement: Option<(Member, Member)>,
    addresses_used: u8,
    /// The highest epoch that was chosen.
    epochs: u64,
    violation: Option<String>,
}

fn address(i: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, i])
}

fn merge_item(base: &Value, name: u8, item: (u64, u64)) -> Result<Value, ()> {
    let mut next = base.clone();
    match next.iter_mut().find(|(other, _)| *other == name) {
        Some((_, current)) if current.0 == item.0 && current.1 != item.1 => return Err(()),
        Some((_, current)) if current.0 >= item.0 => {}
        Some((_, current)) => *current = item,
        None => next.push((name, item)),
    }
    Ok(next)
}

/// Whether the later state holds every item of the earlier one, or a newer version of it.
fn is_superset_of(earlier: &State<Value>, later: &State<Value>) -> bool {
    let newer = |(name, item): &(u8, (u64, u64))| {
        let current = later.value.iter().find(|(other, _)| other == name).map(|(_, current)| *current);
        current.is_some_and(|current| current.0 > item.0 || current == *item)
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
            requests: VecDeque::new(),
            replies: VecDeque::new(),
            proposers: Vec::new(),
            chosen: BTreeMap::from([(Ballot::default(), State { members, value: Value::new() })]),
            acknowledged: BTreeMap::new(),
            replacement: None,
            addresses_used: founders,
            epochs: 0,
            violation: None,
        }
    }

    fn newest_chosen(&self) -> (Ballot, State<Value>) {
        self.chosen.iter().next_back().map(|(b, s)| (*b, s.clone())).unwrap_or_default()
    }

    /// Adds a proposer with a goal and returns its index.
    fn add_proposer(&mut self, goal: Goal) -> usize {
        // A proposer may start with an old set of members, back to the founding one.
        let known: Vec<(Ballot, Members)> =
            self.chosen.iter().map(|(ballot, state)| (*ballot, state.members.clone())).collect();
        let (ballot, members) = known[self.rng.usize(0..known.len())].clone();
        self.proposers.push(Proposer {
            goal,
            round: None,
            proposed: None,
            members,
            highest_round: ballot.round,
            votes: BTreeSet::new(),
            is_done: false,
            is_superseded: false,
            read: None,
        });
        let id = self.proposers.len() - 1;
        self.start_round(id);
        id
    }

    /// Starts a new round of a proposer.
    fn start_round(&mut self, id: usize) {
        let increment = 1 + self.rng.u64(0..2);
        let proposer = &mut self.proposers[id];
        proposer.highest_round += increment;
        let ballot = Ballot { round: proposer.highest_round, proposer: id as u32 };
        let round = ProposerRound::new(ballot, proposer.members.clone(), Default::default());
        let request = round.prepare_request();
        round.recipients().for_each(|to| self.requests.push_back((to, id, ballot, request.clone())));
        (proposer.round, proposer.proposed) = (Some(round), None);
        proposer.votes.clear();
    }

    fn start_write(&mut self) {
        let id = self.proposers.len() as u64;
        let (name, version) = (self.rng.u8(0..3), 1 + self.rng.u64(0..8));
        self.add_proposer(Goal::Write(name, (version, id)));
    }

    fn handle_request(
        &mut self,
        to: Member,
        request: AcceptorRequest<Value>,
    ) -> Option<AcceptorReply<Value>> {
        let machine = self.machines.get_mut(&to)?;
        let (reply, required_write) = machine.voter.handle(to, request);
        match required_write {
            RequiredWrite::Nothing => {}
            RequiredWrite::Metadata => machine.disk.0 = machine.voter.metadata().clone(),
            RequiredWrite::MetadataAndState => {
                machine.disk = (machine.voter.metadata().clone(), machine.voter.state().clone())
            }
        }
        Some(reply)
    }

    fn deliver_request(&mut self) {
        let at = (!self.requests.is_empty()).then(|| self.rng.usize(0..self.requests.len()));
        let Some((to, proposer, ballot, request)) = at.and_then(|at| self.requests.remove(at)) else {
            return;
        };
        if self.rng.u8(0..20) == 0 {
            // The network delivers some requests twice.
            self.requests.push_back((to, proposer, ballot, request.clone()));
        }
        let Some(reply) = self.handle_request(to, request) else { return };
        if self.rng.u8(0..10) > 0 {
            self.replies.push_back((to, proposer, ballot, reply));
        }
    }

    fn receive_reply(&mut self) {
        let at = (!self.replies.is_empty()).then(|| self.rng.usize(0..self.replies.len()));
        let Some((from, id, ballot, reply)) = at.and_then(|at| self.replies.remove(at)) else { return };
        let proposer = &mut self.proposers[id];
        let Some(round) = proposer.round.as_mut().filter(|round| round.ballot() == ballot) else { return };
        if reply == AcceptorReply::Accepted {
            proposer.votes.insert(from);
        }
        let mut step = round.handle_reply(from, reply);
        if let (Fault::NewSetOnly, Some((state, _))) = (self.fault, &proposer.proposed) {
            if state.members.has_majority(&proposer.votes) {
                step = ProposerStep::Chosen;
            }
        }
        match step {
            ProposerStep::Wait => {}
            ProposerStep::Extend(members) => {
                let request = round.prepare_request();
                members.into_iter().for_each(|to| self.requests.push_back((to, id, ballot, request.clone())));
            }
            ProposerStep::Base(base, is_known) => self.propose(id, base, is_known),
            ProposerStep::Chosen => self.on_chosen(id, ballot),
            ProposerStep::Preempted(higher) => {
                proposer.highest_round = proposer.highest_round.max(higher.round);
                proposer.round = None;
            }
            ProposerStep::NewerMembers(members, higher) => {
                proposer.highest_round = proposer.highest_round.max(higher.round);
                (proposer.members, proposer.round) = (members, None);
            }
        }
    }

    /// Proposes the goal on top of `base`, which is a chosen state if `is_known`.
    fn propose(&mut self, id: usize, base: State<Value>, is_known: bool) {
        let proposer = &mut self.proposers[id];
        let Some(round) = proposer.round.as_mut() else { return };
        let next = match proposer.goal {
            Goal::Read if is_known => {
                proposer.read = Some(base.value);
                (proposer.is_done, proposer.round) = (true, None);
                return;
            }
            Goal::Read => Some(base.clone()),
            Goal::Write(name, item) => {
                let current = base.value.iter().find(|(item, _)| *item == name);
                proposer.is_superseded = current.is_some_and(|(_, current)| current.0 > item.0);
                let value = merge_item(&base.value, name, item).ok();
                value.map(|value| State { members: base.members.clone(), value })
            }
            Goal::ChangeMembers(change) => {
                let members = base.members.with_change(change).ok();
                members.map(|members| State { members, value: base.value.clone() })
            }
        };
        if next.is_none() && is_known {
            // The chosen state rules this change out.
            (proposer.is_done, proposer.round) = (true, None);
            return;
        }
        let proposal = next.and_then(|next| Some((round.propose(next.clone())?, next, true)));
        // An unfinished membership change in the base is settled first, by proposing the base as it is.
        let settle_base =
            |round: &mut ProposerRound<Value>| Some((round.propose(base.clone())?, base, false));
        let Some((request, state, is_goal)) = proposal.or_else(|| settle_base(round)) else { return };
        let (to, ballot): (Vec<Member>, Ballot) = (round.recipients().collect(), round.ballot());
        proposer.proposed = Some((state, is_goal));
        to.into_iter().for_each(|to| self.requests.push_back((to, id, ballot, request.clone())));
    }

    fn on_chosen(&mut self, id: usize, ballot: Ballot) {
        let proposer = &mut self.proposers[id];
        proposer.round = None;
        let Some((state, is_goal)) = proposer.proposed.take() else { return };
        proposer.is_done = is_goal;
        for (other, current) in &self.chosen {
            let in_order = if *other < ballot {
                is_superset_of(current, &state)
            } else {
                is_superset_of(&state, current)
            };
            if !in_order {
                self.violation =
                    Some(format!("chosen under {other:?}: {current:?}, under {ballot:?}: {state:?}"));
            }
        }
        self.epochs = self.epochs.max(state.members.epoch);
        if is_goal {
            match proposer.goal {
                Goal::Write(name, item) if !proposer.is_superseded => {
                    let newest_chosen = self.acknowledged.entry(name).or_insert(item);
                    if newest_chosen.0 == item.0 && newest_chosen.1 != item.1 {
                        self.violation =
                            Some(format!("one version, two contents: {newest_chosen:?} {item:?}"));
                    }
                    *newest_chosen = (*newest_chosen).max(item);
                }
                _ => {}
            }
        }
        if self.rng.bool() {
            for to in state.members.voters.clone() {
                self.requests.push_back((to, id, ballot, AcceptorRequest::Chosen(ballot)));
            }
        }
        self.chosen.insert(ballot, state);
        self.end_replacement();
    }

    /// Ends a replacement once the chosen members no longer hold the lost one.
    fn end_replacement(&mut self) {
        let members = self.newest_chosen().1.members;
        if self.replacement.is_some_and(|(old, _)| !members.contains(old)) {
            self.replacement = None;
        }
    }

    /// Whether a membership change is under way.
    fn is_changing_members(&self) -> bool {
        self.proposers
            .iter()
            .any(|proposer| matches!(proposer.goal, Goal::ChangeMembers(_)) && !proposer.is_done)
    }

    fn lose_power(&mut self, member: Member) {
        if let Some(machine) = self.machines.get_mut(&member) {
            let (metadata, state) = machine.disk.clone();
            machine.voter = Acceptor::restore(metadata, state);
        }
    }

    fn start_empty(&mut self, member: Member) {
        let voter: Acceptor<Value> = Acceptor::new(member, Members::default());
        let disk = (voter.metadata().clone(), voter.state().clone());
        self.machines.insert(member, Machine { voter, disk });
    }

    fn lose_disk(&mut self) {
        let voters = self.newest_chosen().1.members.voters;
        let old = voters[self.rng.usize(0..voters.len())];
        if self.rng.bool() {
            // All other machines lose power at the same moment.
            let all: Vec<Member> = self.machines.keys().copied().collect();
            all.into_iter().for_each(|member| self.lose_power(member));
        }
        self.machines.remove(&old);
        if self.fault == Fault::SameIncarnation {
            return self.start_empty(old);
        }
        let new = Member { ip: old.ip, incarnation: old.incarnation + 1 };
        self.start_empty(new);
        self.replacement = Some((old, new));
    }

    /// Proposes the successor as a member; half of the time it receives a snapshot first.
    fn propose_successor(&mut self) {
        let Some((leaves, joins)) = self.replacement else { return };
        if self.rng.bool() {
            let (ballot, state) = self.newest_chosen();
            self.handle_request(joins, AcceptorRequest::Learn { ballot, state });
        }
        self.add_proposer(Goal::ChangeMembers(MemberChange::Replace { leaves, joins }));
    }

    fn change_members(&mut self) {
        let voters = self.newest_chosen().1.members.voters;
        let leaving = voters[self.rng.usize(0..voters.len())];
        self.addresses_used += 1;
        let joins = Member { ip: address(self.addresses_used), incarnation: 7 };
        let change = match (voters.len(), self.rng.u8(0..3)) {
            (..=4, 0) => MemberChange::Add(joins),
            (4.., 1) => MemberChange::Remove(leaving),
            _ => MemberChange::Replace { leaves: leaving, joins },
        };
        self.start_empty(joins);
        self.add_proposer(Goal::ChangeMembers(change));
    }

    fn step(&mut self) {
        match self.rng.u8(0..100) {
            0..=5 if self.proposers.len() < 60 => self.start_write(),
            6..=9 => {
                let open: Vec<usize> = (0..self.proposers.len())
                    .filter(|id| !self.proposers[*id].is_done && self.proposers[*id].round.is_none())
                    .collect();
                if let Some(id) = (!open.is_empty()).then(|| open[self.rng.usize(0..open.len())]) {
                    self.start_round(id);
                }
            }
            10 => {
                let all: Vec<Member> = self.machines.keys().copied().collect();
                let member = all[self.rng.usize(0..all.len())];
                self.lose_power(member);
            }
            11 if self.replacement.is_none() && !self.is_changing_members() => self.lose_disk(),
            12..=13 if self.replacement.is_none() && !self.is_changing_members() => self.change_members(),
            12..=16 if self.replacement.is_some() && !self.is_changing_members() => self.propose_successor(),
            17..=19 => drop(self.requests.pop_front()),
            20..=60 => self.deliver_request(),
            _ => self.receive_reply(),
        }
    }

    /// Delivers messages without losses until the proposer is done, for 3,000 steps at most. `silent` gets no requests.
    /// Returns whether the proposer was done.
    fn run_until_done(&mut self, id: usize, silent: Option<Member>) -> bool {
        for _ in 0..3_000 {
            if self.proposers[id].is_done {
                return true;
            }
            if self.proposers[id].round.is_none() || self.requests.is_empty() && self.replies.is_empty() {
                // If the members that it knows do not reply, it learns the current ones from another store.
                if self.rng.bool() {
                    let (ballot, state) = self.newest_chosen();
                    let proposer = &mut self.proposers[id];
                    proposer.highest_round = proposer.highest_round.max(ballot.round);
                    proposer.members = state.members;
                }
                self.start_round(id);
            }
            self.requests.retain(|(to, ..)| Some(*to) != silent);
            if self.rng.bool() {
                self.deliver_request();
            } else {
                self.receive_reply();
            }
        }
        false
    }

    /// Checks that every acknowledged item can be read back, whichever voter is silent.
    fn check_reads(&mut self) {
        for _ in 0..20 {
            if self.replacement.is_none() {
                break;
            }
            self.propose_successor();
            let id = self.proposers.len() - 1;
            self.run_until_done(id, None);
            self.end_replacement();
        }
        if self.replacement.is_some() {
            self.violation = Some("a voter that lost its disk was not replaced".into());
            return;
        }
        for member in self.newest_chosen().1.members.voters {
            self.requests.clear();
            self.replies.clear();
            let id = self.add_proposer(Goal::Read);
            if !self.run_until_done(id, Some(member)) {
                self.violation = Some(format!("no majority without {member:?}"));
                return;
            }
            let Some(read) = self.proposers[id].read.clone() else { continue };
            for (name, item) in &self.acknowledged {
                let current = read.iter().find(|(other, _)| other == name).map(|(_, item)| *item);
                if !current.is_some_and(|current| current.0 > item.0 || current == *item) {
                    let finding = format!("{name}: {item:?} was acknowledged, {current:?} was read");
                    self.violation = Some(format!("{finding} without {member:?}"));
                }
            }
        }
    }
}

/// Runs one history. Returns the violation if there was one, and the numbers of acknowledged items and of epochs.
fn run_history(seed: u64, founders: u8, fault: Fault) -> (Option<String>, usize, u64) {
    let mut world = World::new(seed, founders, fault);
    for _ in 0..1_000 {
        world.step();
    }
    if world.violation.is_none() {
        world.check_reads();
    }
    (world.violation, world.acknowledged.len(), world.epochs)
}

#[test_case(3; "three founders")]
#[test_case(4; "four")]
#[test_case(5; "five")]
fn acknowledged_items_survive_message_loss_power_loss_disk_loss_and_membership_changes(founders: u8) {
    let (mut items, mut epochs) = (0, 0);
    for seed in 0..1_500 {
        let (violation, acknowledged, changes) = run_history(seed, founders, Fault::Nothing);
        assert!(violation.is_none(), "seed {seed}: {}", violation.unwrap_or_default());
        (items, epochs) = (items + acknowledged, epochs + changes);
    }
    // Guards against histories in which hardly anything is chosen, so that the checks have nothing to check.
    println!("{items} acknowledged items, {epochs} membership changes");
    assert!(items > 1_500 && epochs > 1_000, "{items} {epochs}");
}

#[test_case(Fault::NewSetOnly; "a membership change without a majority of the old set")]
#[test_case(Fault::SameIncarnation; "a voter that lost its disk keeps its incarnation")]
fn the_checks_detect_a_deliberate_fault(fault: Fault) {
    let found = (0..3_000).find(|seed| run_history(*seed, 3, fault).0.is_some());
    println!("found with seed {found:?}");
    assert!(found.is_some());
}

fn members() -> Members {
    Members::founding((1..=3).map(address))
}

#[test]
fn a_voter_refuses_requests_addressed_to_its_earlier_incarnation() {
    let earlier = members().voters[0];
    let current = Member { incarnation: 5, ..earlier };
    let mut voter: Acceptor<Value> = Acceptor::new(current, Members::default());
    let ballot = Ballot { round: 5, proposer: 1 };
    let state = State { members: members(), value: Value::new() };
    for request in [
        AcceptorRequest::Prepare { ballot, epoch: 0, newer_than: Ballot::default() },
        AcceptorRequest::Accept { ballot, epoch: 0, state },
        AcceptorRequest::Read(Ballot::default()),
    ] {
        let (reply, required_write) = voter.handle(earlier, request);
        assert!(
            reply == AcceptorReply::WrongIncarnation(current) && required_write == RequiredWrite::Nothing,
            "{reply:?}"
        );
    }
}

#[test]
fn a_voter_answers_a_round_among_replaced_members_with_the_newer_members() {
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
    // The newer set is accepted but not yet known to be chosen, so the old members still count.
    let later = Ballot { round: 6, proposer: 2 };
    let prepare = AcceptorRequest::Prepare { ballot: later, epoch: 0, newer_than: Ballot::default() };
    assert!(matches!(voter.handle(voter.me(), prepare.clone()).0, AcceptorReply::Status { .. }));
    voter.handle(voter.me(), AcceptorRequest::Chosen(ballot));
    assert_eq!(voter.handle(voter.me(), prepare).0, AcceptorReply::NewerMembers(next, later));
}

/// One voter of the old set lost its disk; `others` of the rest reply.
#[test_case(3, 1, false; "of three, one other")]
#[test_case(3, 2, true; "of three, both others")]
#[test_case(5, 2, false; "of five, two others")]
#[test_case(5, 3, true; "of five, three others")]
fn replacing_a_voter_that_lost_its_disk_needs_a_majority_of_the_old_set(
    of: u8,
    others: usize,
    is_chosen: bool,
) {
    let old = Members::founding((1..=of).map(address));
    let leaves = old.voters[0];
    let joins = Member { incarnation: 3, ..leaves };
    let ballot = Ballot { round: 1, proposer: 1 };
    let mut round: ProposerRound<Value> = ProposerRound::new(ballot, old.clone(), Default::default());
    let promise = AcceptorReply::Status {
        promised: ballot,
        accepted: Ballot::default(),
        chosen: Ballot::default(),
        state: None,
    };
    let mut outcome = ProposerStep::Wait;
    for other in &old.voters[1..=others] {
        let step = round.handle_reply(*other, promise.clone());
        outcome = if step == ProposerStep::Wait { outcome } else { step };
    }
    if let ProposerStep::Base(base, _) = outcome.clone() {
        let next = base.members.with_change(MemberChange::Replace { leaves, joins });
        let Ok(members) = next else { panic!("{next:?}") };
        assert!(round.propose(State { members, ..base }).is_some());
        // The successor votes in the new set only and adds nothing to the majority of the old one.
        outcome = round.handle_reply(joins, AcceptorReply::Accepted);
        for other in &old.voters[1..=others] {
            let step = round.handle_reply(*other, AcceptorReply::Accepted);
            outcome = if step == ProposerStep::Wait { outcome } else { step };
        }
    }
    assert_eq!(outcome == ProposerStep::Chosen, is_chosen);
}
