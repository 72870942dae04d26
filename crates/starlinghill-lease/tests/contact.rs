//! The age of a majority's confirmation on its way from a store over a registry to a gateway, with requests held open,
//! slow replies and frozen processes: no process may take it for younger than it is. Also what each process may do with
//! a confirmation of a given age.

use starlinghill_lease::contact::{
    is_majority, may_confirm_drain, LastQuorumContact, StalenessBudget, CALLER_TIMEOUT, ORDER_COMMIT_TIMEOUT,
    ORDER_HEDGE_DELAY, ORDER_RESPONSE_TIMEOUT,
};
use starlinghill_lease::{LeaseParticipant, LeaseRequest, LEASE_DURATION};
use std::time::Duration;
use test_case::test_case;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test_case(500; "a short bound")]
#[test_case(2_500; "the bound that all deployments use")]
#[test_case(20_000; "a long bound")]
fn all_delays_together_stay_below_the_bound_with_a_reserve(apply_bound_ms: u64) {
    let budget = StalenessBudget::from_apply_bound(ms(apply_bound_ms));
    // A gateway that starts on the oldest usable confirmation has two fifths of the bound left to receive newer changes.
    assert!(budget.max_contact_age <= budget.apply_bound.mul_f64(0.6));
    // One silent voter must not keep gateways from starting.
    assert!(budget.typical_contact_age() + budget.poll_interval <= budget.max_contact_age);
    // A request that is held open must not time out before its reply without news arrives.
    assert!(
        budget.request_timeout > budget.store_long_poll.max(budget.registry_long_poll) + budget.voter_timeout
    );
    assert!(budget.known_after_lost_request() <= budget.apply_bound.mul_f64(0.7));
}

#[test]
fn a_change_is_settled_within_the_bound_after_a_crash_and_an_order_is_answered_before_its_caller_times_out() {
    let budget = StalenessBudget::from_apply_bound(ms(2_500));
    assert!(budget.settled_after_crash() + ms(500) <= budget.apply_bound);
    assert!(
        ORDER_HEDGE_DELAY + ms(400) < ORDER_COMMIT_TIMEOUT && ORDER_COMMIT_TIMEOUT < ORDER_RESPONSE_TIMEOUT
    );
    // Two round trips of 40 ms between regions, and as much again for waiting on the processor.
    assert!(ORDER_RESPONSE_TIMEOUT + ms(160) < CALLER_TIMEOUT);
}

/// Three processes whose clocks started at different moments. At each hop a request is sent, held open and answered, and
/// either way may be slow or meet a frozen process. The age must never fall below the truth, and must exceed it by no
/// more than the time that the messages took.
#[test]
fn the_age_of_a_confirmation_is_never_too_low_after_slow_messages_and_freezes() {
    for seed in 0..20_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let clock_starts: Vec<Duration> = (0..3).map(|_| ms(rng.u64(0..5_000))).collect();
        let mut now = ms(10_000);
        // The majority confirmed everything up to this moment, and perhaps nothing after it.
        let confirmed_at = now;
        let mut known = LastQuorumContact::from_majority(now - clock_starts[0]);
        let (mut transit, random_delay) = (ms(0), |rng: &mut fastrand::Rng, max_ms| ms(rng.u64(0..max_ms)));
        now += random_delay(&mut rng, 700);
        for i in 1..3 {
            let asked = now;
            let request_delay = random_delay(&mut rng, 60);
            let freeze = if rng.u8(0..4) == 0 { random_delay(&mut rng, 3_000) } else { ms(0) };
            now += request_delay + freeze;
            let received_at = now - clock_starts[i - 1];
            now += random_delay(&mut rng, 500);
            let message = known.to_peer(now - clock_starts[i - 1], received_at);
            let reply_delay = random_delay(&mut rng, 60)
                + if rng.u8(0..4) == 0 { random_delay(&mut rng, 3_000) } else { ms(0) };
            now += reply_delay;
            known = LastQuorumContact::from_peer(message, asked - clock_starts[i], now - clock_starts[i]);
            transit += request_delay + freeze + reply_delay + ms(3);
            let age = known.age(now - clock_starts[i]);
            assert!(age >= now - confirmed_at, "seed {seed}: {age:?} of {:?}", now - confirmed_at);
            assert!(
                age <= now - confirmed_at + transit,
                "seed {seed}: {age:?} of {:?} and {transit:?}",
                now - confirmed_at
            );
            now += random_delay(&mut rng, 700);
        }
    }
}

#[test]
fn a_peer_that_overstates_how_long_it_held_a_request_makes_no_confirmation_younger() {
    let peer = LastQuorumContact::from_majority(ms(0));
    // The peer claims that the request arrived an hour before it was sent.
    let message = peer.to_peer(ms(3_600_000), ms(0));
    let received = LastQuorumContact::from_peer(message, ms(100), ms(150));
    assert!(received.age(ms(150)) >= ms(3_600_000));
}

#[test]
fn the_newer_confirmation_wins_and_an_older_one_that_arrives_late_has_no_effect() {
    let (now, old) = (ms(9_000), LastQuorumContact::from_majority(ms(5_000)));
    let new = LastQuorumContact::from_majority(ms(8_000));
    assert_eq!(LastQuorumContact::newest(Some(new), Some(old), now), Some(new));
    assert_eq!(LastQuorumContact::newest(Some(old), Some(new), now), Some(new));
    assert_eq!(LastQuorumContact::newest(None, None, now), None);
    assert_eq!(LastQuorumContact::newest(Some(old), None, now), Some(old));
}

#[test_case(None, false; "none, as after a start")]
#[test_case(Some(0), true; "received now")]
#[test_case(Some(1_500), true; "as old as allowed")]
#[test_case(Some(1_501), false; "older, after a network cut or a freeze")]
fn a_configuration_counts_as_current_only_with_a_fresh_confirmation(age: Option<u64>, expected: bool) {
    assert_eq!(StalenessBudget::from_apply_bound(ms(2_500)).is_fresh(age.map(ms)), expected);
}

#[test_case(Some(100), 2, 3, true; "two of three registries, and a fresh confirmation")]
#[test_case(Some(100), 1, 3, false; "one of three registries, which may have missed a confirmed drain")]
#[test_case(Some(1_600), 3, 3, false; "all registries, but all cut off from a majority of the stores")]
#[test_case(None, 3, 3, false; "no confirmation from any store")]
#[test_case(Some(100), 2, 4, false; "half of the registries")]
#[test_case(Some(100), 1, 1, true; "a single registry")]
fn a_gateway_starts_serving_with_a_fresh_confirmation_and_a_majority_of_registries(
    age: Option<u64>,
    answered: usize,
    total: usize,
    expected: bool,
) {
    assert_eq!(
        StalenessBudget::from_apply_bound(ms(2_500)).may_start_serving(age.map(ms), answered, total),
        expected
    );
}

#[test]
fn a_drain_needs_just_so_many_registries_that_any_two_such_groups_share_one() {
    for total in 1..8 {
        let min_count = (0..=total).find(|count| may_confirm_drain(*count, total)).expect("all of them");
        assert!(2 * min_count > total && !is_majority(min_count - 1, total));
    }
}

#[test]
fn a_holder_may_act_in_its_own_term_until_its_lease_expires() {
    let mut participant = LeaseParticipant::new(0, ms(0));
    participant.set_voters(vec![vec![0, 1, 2]], Duration::MAX);
    let bid_at = ms(2_000);
    let Some(request @ LeaseRequest::Acquire { term, .. }) = participant.tick(bid_at, 1) else {
        panic!("no bid")
    };
    assert!(!participant.may_act_in(bid_at, term));
    let vote = starlinghill_lease::LeaseReply { granted: true, term };
    participant.handle_reply(bid_at + ms(5), 1, bid_at, request, vote);
    assert!(
        participant.may_act_in(bid_at + ms(5), term) && !participant.may_act_in(bid_at + ms(5), term + 1)
    );
    assert!(participant.may_act_in(bid_at + LEASE_DURATION - ms(1), term));
    // It was frozen, or its requests were lost: there was no new vote, and its clock went on.
    assert!(!participant.may_act_in(bid_at + LEASE_DURATION, term));
}
