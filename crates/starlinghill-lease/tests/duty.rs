//! Histories of a duty over three processes, in virtual time: cuts either way, freezes, restarts, leaving. Checked after the
//! fact: no two hold at one moment, and somebody holds soon after things are calm.

use starlinghill_lease::{LeaseParticipant, LeaseReply, LeaseRequest, CLOCK_MARGIN, LEASE_DURATION};
use std::time::Duration;

const OF: usize = 3;

struct World {
    rng: fastrand::Rng,
    now: Duration,
    all: Vec<LeaseParticipant<usize>>,
    frozen: Vec<Duration>,
    /// No word from one to the other until then.
    cut: [[Duration; OF]; OF],
    questions: Vec<(Duration, usize, usize, Duration, LeaseRequest<usize>)>,
    answers: Vec<(Duration, usize, usize, Duration, LeaseRequest<usize>, LeaseReply)>,
    held: Vec<(u64, usize)>,
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// One that knows for good who the others are.
fn known(i: usize, now: Duration) -> LeaseParticipant<usize> {
    let mut one = LeaseParticipant::new(i, now);
    one.set_voters(vec![(0..OF).collect()], Duration::MAX);
    one
}

impl World {
    fn new(seed: u64) -> World {
        World {
            rng: fastrand::Rng::with_seed(seed),
            now: Duration::ZERO,
            all: (0..OF).map(|i| known(i, Duration::ZERO)).collect(),
            frozen: vec![Duration::ZERO; OF],
            cut: Default::default(),
            questions: Vec::new(),
            answers: Vec::new(),
            held: Vec::new(),
        }
    }

    fn lag(&mut self) -> Duration {
        self.now + ms(self.rng.u64(1..40))
    }

    fn step(&mut self, troubles: bool) {
        self.now += ms(10);
        let now = self.now;
        if troubles && self.rng.u8(0..100) == 0 {
            let (i, j) = (self.rng.usize(0..OF), self.rng.usize(0..OF));
            let until = now + ms(self.rng.u64(100..3_000));
            match self.rng.u8(0..4) {
                0 => self.cut[i][j] = until,
                1 => (0..OF).for_each(|j| {
                    self.cut[i][j] = until;
                    self.cut[j][i] = until;
                }),
                2 => self.frozen[i] = until,
                _ => self.all[i] = known(i, now),
            }
        }
        for i in 0..OF {
            if self.frozen[i] > now || now.as_millis() as usize % 60 != i * 10 {
                continue;
            }
            if let Some(ask) = self.all[i].tick(now, now.as_millis() as u64) {
                for to in (0..OF).filter(|to| *to != i) {
                    let at = self.lag();
                    self.questions.push((at, i, to, now, ask));
                }
            }
        }
        let due = |at: &Duration| *at <= now;
        let (ready, later) = std::mem::take(&mut self.questions).into_iter().partition(|(at, ..)| due(at));
        self.questions = later;
        let ready: Vec<(Duration, usize, usize, Duration, LeaseRequest<usize>)> = ready;
        for (_, from, to, asked, ask) in ready {
            if self.frozen[to] > now {
                let at = self.frozen[to];
                self.questions.push((at, from, to, asked, ask));
            } else if self.cut[from][to] <= now {
                let tell = self.all[to].handle_request(now, ask);
                let at = self.lag();
                self.answers.push((at, to, from, asked, ask, tell));
            }
        }
        let (ready, later) = std::mem::take(&mut self.answers).into_iter().partition(|(at, ..)| due(at));
        self.answers = later;
        let ready: Vec<(Duration, usize, usize, Duration, LeaseRequest<usize>, LeaseReply)> = ready;
        for (_, from, to, asked, ask, tell) in ready {
            if self.frozen[to] <= now && self.cut[from][to] <= now {
                self.all[to].handle_reply(now, from, asked, ask, tell);
            }
        }
        let holders: Vec<(u64, usize)> =
            (0..OF).filter_map(|i| self.all[i].held_term(now).map(|term| (term, i))).collect();
        assert!(holders.len() <= 1, "two hold at {now:?}: {holders:?}");
        self.held.extend(holders);
        // Nobody is said to hold who never did.
        for who in (0..OF).filter_map(|i| self.all[i].holder()) {
            assert!(self.held.contains(&who), "{who:?} is said to hold at {now:?}");
        }
    }

    fn run(&mut self, span: Duration, troubles: bool) {
        let until = self.now + span;
        while self.now < until {
            self.step(troubles);
        }
    }

    fn holder(&self) -> Option<usize> {
        (0..OF).find(|i| self.all[*i].held_term(self.now).is_some())
    }
}

#[test]
fn no_two_hold_whatever_happens_and_one_does_when_it_is_calm() {
    for seed in 0..1_000 {
        let mut world = World::new(seed);
        world.run(ms(12_000), true);
        world.run(ms(6_500), false);
        assert!(world.holder().is_some(), "seed {seed}: nobody holds");
        // One term is one holder's.
        world.held.sort_unstable();
        world.held.dedup();
        let one = world.held.windows(2).all(|two| two[0].0 != two[1].0 || two[0].1 == two[1].1);
        assert!(one, "seed {seed}: {:?}", world.held);
    }
}

#[test]
fn a_holder_that_leaves_is_followed_by_the_one_it_names_before_its_lease_is_over() {
    let mut world = World::new(1);
    world.run(ms(3_000), false);
    let Some(holder) = world.holder() else { panic!("nobody holds") };
    let successor = (holder + 1) % OF;
    let now = world.now;
    let Some((to, ask)) = world.all[holder].resign(now, successor) else { panic!("it held") };
    assert!(to == successor && world.all[holder].held_term(now).is_none());
    world.all[successor].handle_request(now, ask);
    world.run(ms(220), false);
    assert!(ms(220) < LEASE_DURATION && world.holder() == Some(successor), "{:?}", world.holder());
}

#[test]
fn one_that_was_frozen_past_its_lease_knows_that_it_holds_no_more() {
    let mut world = World::new(2);
    world.run(ms(3_000), false);
    let Some(holder) = world.holder() else { panic!("nobody holds") };
    assert!(world.all[holder].held_term(world.now + LEASE_DURATION + CLOCK_MARGIN).is_none());
}

#[test]
fn one_that_starts_gives_no_vote_until_what_it_may_have_said_has_run_out() {
    let mut new = known(0, ms(10));
    let want = LeaseRequest::Acquire { term: 9, candidate: 1, resigned_term: 0 };
    assert!(!new.handle_request(ms(11), want).granted);
    assert!(new.handle_request(ms(11) + LEASE_DURATION + CLOCK_MARGIN, want).granted);
}

#[test]
fn one_that_was_cut_off_and_bid_in_vain_unseats_nobody_when_it_is_back() {
    for seed in 0..50 {
        let mut world = World::new(seed);
        world.run(ms(3_000), false);
        let Some(holder) = world.holder() else { panic!("nobody holds") };
        let term = world.all[holder].held_term(world.now);
        let cut = (holder + 1) % OF;
        let until = world.now + ms(4_000);
        for other in 0..OF {
            world.cut[cut][other] = until;
            world.cut[other][cut] = until;
        }
        world.run(ms(6_000), false);
        assert_eq!(world.all[holder].held_term(world.now), term, "seed {seed}");
    }
}

#[test]
fn while_two_sets_may_count_a_majority_of_each_is_needed() {
    let mut one = LeaseParticipant::new(0, ms(0));
    one.set_voters(vec![vec![0, 1, 3], vec![0, 1, 2]], Duration::MAX);
    let now = ms(5_000);
    let Some(ask) = one.tick(now, 1) else { panic!("it bids") };
    let yes = LeaseReply { granted: true, term: 1 };
    one.handle_reply(now, 3, now, ask, yes);
    assert_eq!(one.held_term(now), None, "of the set before it has no majority");
    one.handle_reply(now, 2, now, ask, yes);
    assert_eq!(one.held_term(now), Some(1));
}

#[test]
fn one_of_which_nobody_vouches_that_it_knows_the_set_neither_votes_nor_holds() {
    let mut one = LeaseParticipant::new(0, ms(0));
    one.set_voters(vec![(0..OF).collect()], ms(5_100));
    let now = ms(5_000);
    let Some(ask) = one.tick(now, 1) else { panic!("it bids") };
    one.handle_reply(now, 1, now, ask, LeaseReply { granted: true, term: 1 });
    assert_eq!((one.held_term(now), one.held_term(ms(5_100))), (Some(1), None));
    let mut other = known(1, ms(0));
    let want = LeaseRequest::Acquire { term: 9, candidate: 0, resigned_term: 0 };
    assert!(other.handle_request(now, want).granted);
    let mut unsure: LeaseParticipant<usize> = LeaseParticipant::new(2, ms(0));
    unsure.set_voters(vec![(0..OF).collect()], now);
    assert!(!unsure.handle_request(now, want).granted && unsure.tick(now, 1).is_none());
}
