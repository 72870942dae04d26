//! Many gateways that follow one discovery service, simulated one millisecond at a time.

use starlinghill_discovery::{DiscoveryCall, Follower, Source, Verdict};
use std::time::Duration;

/// A discovery service with a limited number of calls a second. It rejects calls that would wait for more
/// than two seconds.
struct DiscoveryService {
    calls_a_second: f64,
    waiting: f64,
    calls: u32,
    answered: u32,
}

impl DiscoveryService {
    fn call(&mut self) -> bool {
        self.calls += 1;
        let accepted = self.waiting < 2.0 * self.calls_a_second;
        if accepted {
            self.waiting += 1.0;
            self.answered += 1;
        }
        accepted
    }
}

/// Starts all gateways at once and simulates `span` milliseconds. Returns the service, and when each
/// gateway got its first answer.
fn simulate(
    seed: u64,
    gateways: u32,
    known: Option<u64>,
    rate: f64,
    span: u64,
) -> (DiscoveryService, Vec<Option<u64>>) {
    let mut discovery = DiscoveryService { calls_a_second: rate, waiting: 0.0, calls: 0, answered: 0 };
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
                *due = now + 20_000; // The watch waits for changes.
            } else {
                follower.failed();
                *due = now + ms(follower.next_call()).max(1);
            }
        }
    }
    (discovery, all.into_iter().map(|(_, _, first)| first).collect())
}

#[test]
fn a_hundred_gateways_that_start_at_once_are_all_answered_at_one_call_of_each_in_eight_seconds() {
    for seed in 0..20 {
        let (discovery, first) = simulate(seed, 100, Some(41), 100.0 / 8.0, 20_000);
        let late = first.iter().filter(|at| at.is_none()).count();
        assert_eq!(late, 0, "seed {seed}: {} of 100 without a list after 20 s", late);
        assert!(discovery.calls <= 500, "seed {seed}: {} calls", discovery.calls);
        assert_eq!(discovery.answered, 100, "seed {seed}");
    }
}

#[test]
fn a_discovery_service_that_never_answers_is_called_less_and_less_often() {
    for seed in 0..20 {
        let (discovery, _) = simulate(seed, 100, Some(41), 0.0, 60_000);
        // Each gateway calls once in 7.5 s on average, after the first doublings.
        assert!(discovery.calls <= 1100, "seed {seed}: {} calls in a minute", discovery.calls);
    }
}

#[test]
fn one_of_few_gateways_calls_at_once_and_retries_soon() {
    for gateways in 1..=8 {
        let mut follower = Follower::new(7, Source::Shared, gateways, Some(41));
        assert_eq!(follower.next_call(), DiscoveryCall { after: Duration::ZERO, since: None });
        follower.failed();
        assert!(follower.next_call().after <= Duration::from_millis(100));
        (0..20).for_each(|_| follower.failed());
        assert!(follower.next_call().after <= Duration::from_millis(800), "it never waits for long");
    }
}

#[test]
fn a_gateway_with_its_own_agent_calls_at_once_and_retries_soon_whatever_the_number_of_gateways() {
    for gateways in [1, 8, 9, 16, 100, 300, 1000] {
        let mut follower = Follower::new(7, Source::Agent, gateways, Some(41));
        assert_eq!(follower.next_call().after, Duration::ZERO, "{gateways}: an agent can answer at once");
        (0..20).for_each(|_| follower.failed());
        assert!(
            follower.next_call().after <= Duration::from_millis(800),
            "{gateways}: the agent may be available again"
        );
    }
}

#[test]
fn an_answer_that_does_not_fit_the_known_list_is_discarded_and_the_complete_list_requested() {
    let mut follower = Follower::new(7, Source::Shared, 30, Some(41));
    assert_eq!(follower.next_call().since, Some(41), "only changes are requested");
    assert_eq!(follower.answered(40, true), Verdict::Discard, "older than the known list");
    let call = follower.next_call();
    assert_eq!(call.since, None);
    assert!(call.after > Duration::ZERO, "not at once: the next answer may be the same");
    assert_eq!(follower.answered(43, false), Verdict::Discard, "changes without a known list");
    assert_eq!(follower.answered(42, true), Verdict::Apply);
    assert_eq!(follower.next_call(), DiscoveryCall { after: Duration::ZERO, since: Some(42) });
    assert_eq!(follower.answered(42, false), Verdict::Apply, "no changes");
    follower.failed();
    assert_eq!(follower.next_call().since, Some(42), "a failed call does not change the known list");
    follower.reset();
    assert_eq!(follower.next_call(), DiscoveryCall { after: Duration::ZERO, since: None });
}
