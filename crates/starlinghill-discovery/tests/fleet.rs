//! A fleet that follows one discovery in virtual time: each gateway's calls are played one millisecond at a time.

use starlinghill_discovery::{DiscoveryCall, Follower, Source, Verdict};
use std::time::Duration;

/// A discovery that can take so many calls a second, turns away what would wait for more than two, and counts what it is asked.
struct Discovery {
    calls_a_second: f64,
    waiting: f64,
    asked: u32,
    answered: u32,
}

impl Discovery {
    fn call(&mut self) -> bool {
        self.asked += 1;
        let takes = self.waiting < 2.0 * self.calls_a_second;
        if takes {
            self.waiting += 1.0;
            self.answered += 1;
        }
        takes
    }
}

/// Starts so many gateways at once and plays so many milliseconds; returns discovery and when each gateway was first answered.
fn play(seed: u64, gateways: u32, known: Option<u64>, rate: f64, span: u64) -> (Discovery, Vec<Option<u64>>) {
    let mut discovery = Discovery { calls_a_second: rate, waiting: 0.0, asked: 0, answered: 0 };
    let ms = |call: DiscoveryCall| call.after.as_millis() as u64;
    let mut all: Vec<(Follower, u64, Option<u64>)> = (0..gateways)
        .map(|me| {
            let follower = Follower::new(seed << 32 | u64::from(me), Source::Shared, gateways, known);
            let due = ms(follower.next_call());
            (follower, due, None)
        })
        .collect();
    for now in 0..span {
        discovery.waiting = (discovery.waiting - rate / 1000.0).max(0.0);
        for (follower, due, first) in all.iter_mut().filter(|(_, due, _)| *due == now) {
            if discovery.call() {
                assert_eq!(follower.answered(41, true), Verdict::Apply);
                *first = first.or(Some(now));
                *due = now + 20_000; // The watch holds.
            } else {
                follower.failed();
                *due = now + ms(follower.next_call()).max(1);
            }
        }
    }
    (discovery, all.into_iter().map(|(_, _, first)| first).collect())
}

#[test]
fn a_hundred_gateways_at_once_are_all_answered_by_a_discovery_that_takes_one_call_of_each_in_eight_seconds() {
    for seed in 0..20 {
        let (discovery, first) = play(seed, 100, Some(41), 100.0 / 8.0, 20_000);
        let late = first.iter().filter(|at| at.is_none()).count();
        assert_eq!(late, 0, "seed {seed}: {} of 100 without a list after 20 s", late);
        assert!(discovery.asked <= 500, "seed {seed}: {} calls", discovery.asked);
        assert_eq!(discovery.answered, 100, "seed {seed}");
    }
}

#[test]
fn a_discovery_that_answers_nobody_is_asked_less_and_less_often() {
    for seed in 0..20 {
        let (discovery, _) = play(seed, 100, Some(41), 0.0, 60_000);
        // Once each 7.5 s on average, after the first doublings.
        assert!(discovery.asked <= 1100, "seed {seed}: {} calls in a minute", discovery.asked);
    }
}

#[test]
fn one_gateway_alone_asks_at_once_and_again_soon() {
    for gateways in 1..=8 {
        let mut follower = Follower::new(7, Source::Shared, gateways, Some(41));
        assert_eq!(follower.next_call(), DiscoveryCall { after: Duration::ZERO, since: None });
        follower.failed();
        assert!(follower.next_call().after <= Duration::from_millis(100));
        (0..20).for_each(|_| follower.failed());
        assert!(follower.next_call().after <= Duration::from_millis(800), "nor does it ever wait for long");
    }
}

#[test]
fn one_of_any_number_asks_an_agent_of_its_own_at_once_for_what_is_new_and_again_soon() {
    for gateways in [1, 8, 9, 16, 100, 300, 1000] {
        let mut follower = Follower::new(7, Source::Agent, gateways, Some(41));
        assert_eq!(
            follower.next_call().after,
            Duration::ZERO,
            "{gateways}: what the agent has counts as told"
        );
        (0..20).for_each(|_| follower.failed());
        assert!(
            follower.next_call().after <= Duration::from_millis(800),
            "{gateways}: discovery may be back"
        );
    }
}

#[test]
fn an_answer_that_does_not_follow_is_dropped_and_the_whole_list_is_asked_for() {
    let mut follower = Follower::new(7, Source::Shared, 30, Some(41));
    assert_eq!(follower.next_call().since, Some(41), "no more than what is new");
    assert_eq!(follower.answered(40, true), Verdict::Discard, "older than what is held");
    let call = follower.next_call();
    assert_eq!(call.since, None);
    assert!(call.after > Duration::ZERO, "not at once: it may go on answering so");
    assert_eq!(follower.answered(43, false), Verdict::Discard, "changes to a list that is not held");
    assert_eq!(follower.answered(42, true), Verdict::Apply);
    assert_eq!(follower.next_call(), DiscoveryCall { after: Duration::ZERO, since: Some(42) });
    assert_eq!(follower.answered(42, false), Verdict::Apply, "nothing new");
    follower.failed();
    assert_eq!(follower.next_call().since, Some(42), "a failed call takes nothing away");
    follower.reset();
    assert_eq!(follower.next_call(), DiscoveryCall { after: Duration::ZERO, since: None });
}
