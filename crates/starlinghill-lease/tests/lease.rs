//! Random histories of a lease among three processes in virtual time, with network cuts in either direction, freezes,
//! restarts and resignations. The checks: no two processes hold the lease at one moment, and one holds it soon after
//! the last fault.

use starlinghill_lease::{LeaseParticipant, LeaseReply, LeaseRequest, CLOCK_MARGIN, LEASE_DURATION};
use std::time::Duration;

const PROCESSES: usize = 3;

struct World {
    rng: fastrand::Rng,
    now: Duration,
    processes: Vec<LeaseParticipant<usize>>,
    /// Until when each process is frozen.
    frozen_until: Vec<Duration>,
    /// Messages from the first process to the second are lost until then.
    cut_until: [[Duration; PROCESSES]; PROCESSES],
    /// Messages in flight: when they arrive, the sender, the recipient, when the request was sent, the message.
    requests: Vec<(Duration, usize, usize, Duration, LeaseRequest<usize>)>,
    replies: Vec<(Duration, usize, usize, Duration, LeaseRequest<usize>, LeaseReply)>,
    /// Every term that was held, with its holder.
    held: Vec<(u64, usize)>,
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A process that has just started and whose voter set never expires.
fn start_process(i: usize, now: Duration) -> LeaseParticipant<usize> {
    let mut participant = LeaseParticipant::new(i, now);
    participant.set_voters(vec![(0..PROCESSES).collect()], Duration::MAX);
    participant
}

impl World {
    fn new(seed: u64) -> World {
        World {
            rng: fastrand::Rng::with_seed(seed),
            now: Duration::ZERO,
            processes: (0..PROCESSES).map(|i| start_process(i, Duration::ZERO)).collect(),
            frozen_until: vec![Duration::ZERO; PROCESSES],
            cut_until: Default::default(),
            requests: Vec::new(),
            replies: Vec::new(),
            held: Vec::new(),
        }
    }

    fn random_arrival(&mut self) -> Duration {
        self.now + ms(self.rng.u64(1..40))
    }

    fn step(&mut self, with_faults: bool) {
        self.now += ms(10);
        let now = self.now;
        if with_faults && self.rng.u8(0..100) == 0 {
            let (i, j) = (self.rng.usize(0..PROCESSES), self.rng.usize(0..PROCESSES));
            let until = now + ms(self.rng.u64(100..3_000));
            match self.rng.u8(0..4) {
                0 => self.cut_until[i][j] = until,
                1 => (0..PROCESSES).for_each(|j| {
                    self.cut_until[i][j] = until;
                    self.cut_until[j][i] = until;
                }),
                2 => self.frozen_until[i] = until,
                _ => self.processes[i] = start_process(i, now),
            }
        }
        for i in 0..PROCESSES {
            if self.frozen_until[i] > now || now.as_millis() as usize % 60 != i * 10 {
                continue;
            }
            if let Some(request) = self.processes[i].tick(now, now.as_millis() as u64) {
                for to in (0..PROCESSES).filter(|to| *to != i) {
                    let at = self.random_arrival();
                    self.requests.push((at, i, to, now, request));
                }
            }
        }
        let due = |at: &Duration| *at <= now;
        let (ready, later) = std::mem::take(&mut self.requests).into_iter().partition(|(at, ..)| due(at));
        self.requests = later;
        let ready: Vec<(Duration, usize, usize, Duration, LeaseRequest<usize>)> = ready;
        for (_, from, to, sent_at, request) in ready {
            if self.frozen_until[to] > now {
                let at = self.frozen_until[to];
                self.requests.push((at, from, to, sent_at, request));
            } else if self.cut_until[from][to] <= now {
                let reply = self.processes[to].handle_request(now, request);
                let at = self.random_arrival();
                self.replies.push((at, to, from, sent_at, request, reply));
            }
        }
        let (ready, later) = std::mem::take(&mut self.replies).into_iter().partition(|(at, ..)| due(at));
        self.replies = later;
        let ready: Vec<(Duration, usize, usize, Duration, LeaseRequest<usize>, LeaseReply)> = ready;
        for (_, from, to, sent_at, request, reply) in ready {
            if self.frozen_until[to] <= now && self.cut_until[from][to] <= now {
                self.processes[to].handle_reply(now, from, sent_at, request, reply);
            }
        }
        let holders: Vec<(u64, usize)> =
            (0..PROCESSES).filter_map(|i| self.processes[i].held_term(now).map(|term| (term, i))).collect();
        assert!(holders.len() <= 1, "two holders at {now:?}: {holders:?}");
        self.held.extend(holders);
        // A process may report only a holder that did hold that term.
        for reported in (0..PROCESSES).filter_map(|i| self.processes[i].holder()) {
            assert!(
                self.held.contains(&reported),
                "{reported:?} is reported as the holder at {now:?} and never was"
            );
        }
    }

    fn run(&mut self, span: Duration, with_faults: bool) {
        let until = self.now + span;
        while self.now < until {
            self.step(with_faults);
        }
    }

    fn holder(&self) -> Option<usize> {
        (0..PROCESSES).find(|i| self.processes[*i].held_term(self.now).is_some())
    }
}

#[test]
fn no_two_processes_hold_the_lease_at_once_and_one_holds_it_after_the_last_fault() {
    for seed in 0..1_000 {
        let mut world = World::new(seed);
        world.run(ms(12_000), true);
        world.run(ms(6_500), false);
        assert!(world.holder().is_some(), "seed {seed}: no holder");
        // No term may have two holders.
        world.held.sort_unstable();
        world.held.dedup();
        let has_one_holder =
            world.held.windows(2).all(|pair| pair[0].0 != pair[1].0 || pair[0].1 == pair[1].1);
        assert!(has_one_holder, "seed {seed}: {:?}", world.held);
    }
}

#[test]
fn the_nominated_successor_holds_the_lease_before_the_lease_of_the_resigned_holder_expires() {
    let mut world = World::new(1);
    world.run(ms(3_000), false);
    let Some(holder) = world.holder() else { panic!("no holder") };
    let successor = (holder + 1) % PROCESSES;
    let now = world.now;
    let Some((to, request)) = world.processes[holder].resign(now, successor) else {
        panic!("nothing to resign")
    };
    assert!(to == successor && world.processes[holder].held_term(now).is_none());
    world.processes[successor].handle_request(now, request);
    world.run(ms(220), false);
    assert!(ms(220) < LEASE_DURATION && world.holder() == Some(successor), "{:?}", world.holder());
}

#[test]
fn a_holder_that_was_frozen_past_its_lease_knows_that_it_has_expired() {
    let mut world = World::new(2);
    world.run(ms(3_000), false);
    let Some(holder) = world.holder() else { panic!("no holder") };
    assert!(world.processes[holder].held_term(world.now + LEASE_DURATION + CLOCK_MARGIN).is_none());
}

#[test]
fn a_restarted_process_does_not_vote_until_its_earlier_votes_have_expired() {
    let mut new = start_process(0, ms(10));
    let acquire = LeaseRequest::Acquire { term: 9, candidate: 1, resigned_term: 0 };
    assert!(!new.handle_request(ms(11), acquire).granted);
    assert!(new.handle_request(ms(11) + LEASE_DURATION + CLOCK_MARGIN, acquire).granted);
}

#[test]
fn a_process_that_bid_in_vain_while_cut_off_does_not_unseat_the_holder_on_its_return() {
    for seed in 0..50 {
        let mut world = World::new(seed);
        world.run(ms(3_000), false);
        let Some(holder) = world.holder() else { panic!("no holder") };
        let term = world.processes[holder].held_term(world.now);
        let cut_until = (holder + 1) % PROCESSES;
        let until = world.now + ms(4_000);
        for other in 0..PROCESSES {
            world.cut_until[cut_until][other] = until;
            world.cut_until[other][cut_until] = until;
        }
        world.run(ms(6_000), false);
        assert_eq!(world.processes[holder].held_term(world.now), term, "seed {seed}");
    }
}

#[test]
fn with_two_voter_sets_a_lease_needs_a_majority_of_each() {
    let mut participant = LeaseParticipant::new(0, ms(0));
    participant.set_voters(vec![vec![0, 1, 3], vec![0, 1, 2]], Duration::MAX);
    let now = ms(5_000);
    let Some(request) = participant.tick(now, 1) else { panic!("no bid") };
    let vote = LeaseReply { granted: true, term: 1 };
    participant.handle_reply(now, 3, now, request, vote);
    assert_eq!(participant.held_term(now), None, "no majority of the previous set yet");
    participant.handle_reply(now, 2, now, request, vote);
    assert_eq!(participant.held_term(now), Some(1));
}

#[test]
fn a_process_whose_voter_set_has_expired_neither_votes_nor_holds_the_lease() {
    let mut participant = LeaseParticipant::new(0, ms(0));
    participant.set_voters(vec![(0..PROCESSES).collect()], ms(5_100));
    let now = ms(5_000);
    let Some(request) = participant.tick(now, 1) else { panic!("no bid") };
    participant.handle_reply(now, 1, now, request, LeaseReply { granted: true, term: 1 });
    assert_eq!((participant.held_term(now), participant.held_term(ms(5_100))), (Some(1), None));
    let mut other = start_process(1, ms(0));
    let acquire = LeaseRequest::Acquire { term: 9, candidate: 0, resigned_term: 0 };
    assert!(other.handle_request(now, acquire).granted);
    let mut expired: LeaseParticipant<usize> = LeaseParticipant::new(2, ms(0));
    expired.set_voters(vec![(0..PROCESSES).collect()], now);
    assert!(!expired.handle_request(now, acquire).granted && expired.tick(now, 1).is_none());
}
