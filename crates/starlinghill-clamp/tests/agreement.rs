//! Histories of changes over three voters, checked after the fact: seeded orders of messages, losses, restarts, power losses
//! and one lost disk at a time. What was acknowledged is read back, and no version has two contents.

use starlinghill_clamp::{Ask, Ballot, Kept, Round, Save, Step, Tell, Voter};
use std::collections::{BTreeMap, VecDeque};
use test_case::test_case;

const VOTERS: usize = 3;
/// Items by name: a version, and who wrote it.
type Value = Vec<(u8, (u64, u64))>;

struct Machine {
    voter: Voter<Value>,
    /// What is on its disk.
    disk: Option<(Kept, Value)>,
    begun: bool,
}

struct Writer {
    id: u64,
    name: u8,
    version: u64,
    round: Option<Round<Value>>,
    taken: bool,
    /// A higher version stood: this one has no effect, whatever it holds.
    overtaken: bool,
}

struct World {
    rng: fastrand::Rng,
    machines: Vec<Machine>,
    /// Questions and answers on their way: to a voter, of that writer, in that round.
    mail: VecDeque<(usize, usize, Ballot, Ask<Value>)>,
    back: VecDeque<(usize, usize, Ballot, Tell<Value>)>,
    writers: Vec<Writer>,
    seen: u64,
    lives: Vec<u64>,
    acknowledged: BTreeMap<u8, (u64, u64)>,
    /// A disk was lost, and its voter does not know yet: no second one may go.
    mourning: Option<usize>,
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

impl World {
    fn new(seed: u64) -> World {
        let machine = |i| {
            let voter: Voter<Value> = Voter::first(i, VOTERS);
            let disk = Some((voter.kept().clone(), Value::new()));
            Machine { voter, disk, begun: false }
        };
        World {
            rng: fastrand::Rng::with_seed(seed),
            machines: (0..VOTERS).map(machine).collect(),
            mail: VecDeque::new(),
            back: VecDeque::new(),
            writers: Vec::new(),
            seen: 0,
            lives: vec![0; VOTERS],
            acknowledged: BTreeMap::new(),
            mourning: None,
        }
    }

    /// A writer begins a round under a ballot that nobody else has.
    fn begin(&mut self, writer: usize) {
        self.seen += 1 + self.rng.u64(0..2);
        let ballot = Ballot { round: self.seen, by: writer as u32 };
        let round = Round::new(ballot, self.lives.clone(), (Ballot::default(), Value::new()));
        let ask = round.ask();
        (0..VOTERS).for_each(|to| self.mail.push_back((to, writer, ballot, ask.clone())));
        self.writers[writer].round = Some(round);
    }

    fn write(&mut self) {
        let id = self.writers.len() as u64;
        let (name, version) = (self.rng.u8(0..3), 1 + self.rng.u64(0..8));
        self.writers.push(Writer { id, name, version, round: None, taken: false, overtaken: false });
        self.begin(id as usize);
    }

    fn ask(&mut self, to: usize, ask: Ask<Value>) -> Tell<Value> {
        let machine = &mut self.machines[to];
        let (tell, save) = machine.voter.handle(ask);
        if save != Save::Nothing {
            let value = match (&machine.disk, save) {
                (Some((_, value)), Save::Kept) => value.clone(),
                _ => machine.voter.value().clone(),
            };
            machine.disk = Some((machine.voter.kept().clone(), value));
        }
        tell
    }

    fn deliver(&mut self) {
        if let Some(at) = (!self.mail.is_empty()).then(|| self.rng.usize(0..self.mail.len())) {
            let Some((to, writer, ballot, ask)) = self.mail.remove(at) else { return };
            let tell = self.ask(to, ask);
            if self.rng.u8(0..10) > 0 {
                self.back.push_back((to, writer, ballot, tell));
            }
        }
    }

    fn answer(&mut self) {
        let at = (!self.back.is_empty()).then(|| self.rng.usize(0..self.back.len()));
        let Some((from, w, ballot, tell)) = at.and_then(|at| self.back.remove(at)) else { return };
        let writer = &mut self.writers[w];
        let Some(round) = writer.round.as_mut().filter(|round| round.ballot() == ballot) else { return };
        match round.told(from, tell) {
            Step::Wait => {}
            Step::Base(base, _) => match merged(&base, writer.name, (writer.version, writer.id)) {
                Ok(next) => {
                    let stands = base.iter().find(|(known, _)| *known == writer.name);
                    writer.overtaken = stands.is_some_and(|(_, item)| item.0 > writer.version);
                    let ask = round.propose(next);
                    (0..VOTERS).for_each(|to| self.mail.push_back((to, w, ballot, ask.clone())));
                }
                Err(()) => writer.round = None,
            },
            Step::Chosen => {
                writer.taken = true;
                writer.round = None;
                if writer.overtaken {
                    return;
                }
                let item = (writer.version, writer.id);
                let newest = self.acknowledged.entry(writer.name).or_insert(item);
                assert!(
                    newest.0 != item.0 || newest.1 == item.1,
                    "one version, two contents: {newest:?} {item:?}"
                );
                *newest = (*newest).max(item);
            }
            Step::Lost(higher, lives) => {
                self.seen = self.seen.max(higher.round);
                self.lives = lives;
                writer.round = None;
            }
        }
    }

    fn power_loss(&mut self, i: usize) {
        let machine = &mut self.machines[i];
        machine.voter = match machine.disk.clone() {
            Some((kept, value)) => Voter::again(i, kept, value),
            None => Voter::lost(i, VOTERS),
        };
        machine.begun = false;
    }

    fn disk_loss(&mut self, i: usize) {
        self.machines[i].disk = None;
        self.power_loss(i);
        self.mourning = Some(i);
    }

    /// The lost one looks at the others, then has its new life noted.
    fn recover(&mut self) {
        let Some(i) = self.mourning else { return };
        let others: Vec<usize> = (0..VOTERS).filter(|other| *other != i).collect();
        if !self.machines[i].begun {
            for other in &others {
                if let Tell::Has { lives, .. } = self.ask(*other, Ask::Look(Ballot::default())) {
                    self.machines[i].voter.looked(&lives);
                }
            }
            self.machines[i].voter.begin();
            self.machines[i].begun = true;
            return;
        }
        let life = self.machines[i].voter.life();
        let other = others[self.rng.usize(0..others.len())];
        let tell = self.ask(other, Ask::Enrol { voter: i, life });
        if self.machines[i].voter.enrolled(other, tell) {
            let machine = &mut self.machines[i];
            machine.disk = Some((machine.voter.kept().clone(), machine.voter.value().clone()));
            self.mourning = None;
        }
    }

    fn step(&mut self) {
        match self.rng.u8(0..100) {
            0..=5 if self.writers.len() < 12 => self.write(),
            6..=9 => {
                let open: Vec<usize> = (0..self.writers.len())
                    .filter(|w| !self.writers[*w].taken && self.writers[*w].round.is_none())
                    .collect();
                if let Some(w) = (!open.is_empty()).then(|| open[self.rng.usize(0..open.len())]) {
                    self.begin(w);
                }
            }
            10 => {
                let i = self.rng.usize(0..VOTERS);
                self.power_loss(i);
            }
            11 if self.mourning.is_none() => {
                let i = self.rng.usize(0..VOTERS);
                // Sometimes all others lose power with it.
                if self.rng.bool() {
                    (0..VOTERS).for_each(|other| self.power_loss(other));
                }
                self.disk_loss(i);
            }
            12..=16 => self.recover(),
            17..=19 => drop(self.mail.pop_front()),
            20..=60 => self.deliver(),
            _ => self.answer(),
        }
    }

    /// All that is acknowledged stands, by whatever majority is asked.
    fn read_back(&mut self) {
        while self.mourning.is_some() {
            self.recover();
        }
        self.mail.clear();
        self.back.clear();
        self.seen += 10;
        for left_out in 0..VOTERS {
            self.seen += 1;
            let ballot = Ballot { round: self.seen, by: 99 };
            let mut round = Round::new(ballot, self.lives.clone(), (Ballot::default(), Value::new()));
            let mut base = None;
            for _ in 0..3 {
                for i in (0..VOTERS).filter(|i| *i != left_out) {
                    let tell = self.ask(i, round.ask());
                    match round.told(i, tell) {
                        Step::Base(value, _) => base = Some(value),
                        Step::Lost(higher, lives) => {
                            self.seen = higher.round + 1;
                            self.lives = lives.clone();
                            let ballot = Ballot { round: self.seen, by: 99 };
                            round = Round::new(ballot, lives, (Ballot::default(), Value::new()));
                        }
                        _ => {}
                    }
                }
            }
            let base = base.unwrap_or_else(|| panic!("no majority without {left_out}"));
            for (name, item) in &self.acknowledged {
                let read = base.iter().find(|(known, _)| known == name).map(|(_, item)| *item);
                assert!(
                    read.is_some_and(|read| read.0 > item.0 || read == *item),
                    "{name}: {item:?} was acknowledged, {read:?} is read without {left_out}"
                );
            }
        }
    }
}

#[test]
fn what_is_acknowledged_survives_every_order_of_events() {
    let mut taken = 0;
    for seed in 0..3_000 {
        let mut world = World::new(seed);
        for _ in 0..500 {
            world.step();
        }
        world.read_back();
        taken += world.acknowledged.len();
    }
    // The histories hold something to be checked.
    assert!(taken > 3_000, "{taken}");
}

#[test]
fn a_wiped_voter_says_nothing_of_what_it_does_not_know() {
    let mut lost: Voter<Value> = Voter::lost(0, VOTERS);
    let ballot = Ballot { round: 5, by: 1 };
    for ask in [
        Ask::Prepare { ballot, lives: vec![0; 3], have: Ballot::default() },
        Ask::Accept { ballot, lives: vec![0; 3], value: vec![] },
        Ask::Look(Ballot::default()),
    ] {
        let (tell, save) = lost.handle(ask);
        assert!(matches!(tell, Tell::Lost { .. }) && save == Save::Nothing, "{tell:?}");
    }
}

#[test]
fn a_round_that_counts_on_an_earlier_life_is_refused() {
    let mut voter: Voter<Value> = Voter::first(1, VOTERS);
    voter.handle(Ask::Enrol { voter: 0, life: 1 });
    let ballot = Ballot { round: 5, by: 1 };
    let (tell, _) = voter.handle(Ask::Accept { ballot, lives: vec![0; 3], value: vec![(0, (1, 1))] });
    assert!(matches!(tell, Tell::Later { lives, .. } if lives == vec![1, 0, 0]));
}

#[test_case(1, true; "one other has noted it")]
#[test_case(2, false; "both have")]
fn a_wiped_voter_votes_again_only_when_all_others_know(noted: usize, still_lost: bool) {
    let mut voters: Vec<Voter<Value>> = (0..VOTERS).map(|i| Voter::first(i, VOTERS)).collect();
    voters[0] = Voter::lost(0, VOTERS);
    voters[0].begin();
    let life = voters[0].life();
    for other in 1..=noted {
        let (tell, save) = voters[other].handle(Ask::Enrol { voter: 0, life });
        assert_eq!(save, Save::Kept);
        voters[0].enrolled(other, tell);
    }
    assert_eq!(voters[0].is_lost(), still_lost);
}
