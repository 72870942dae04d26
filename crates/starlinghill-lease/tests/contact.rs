//! How old a majority's word gets on its way from a store over a registry to a gateway, with questions that wait, answers
//! that are slow and processes that stand still: nobody takes it for younger than it is. And what may be said by it.

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
#[test_case(2_500; "the bound of all known deployments")]
#[test_case(20_000; "a long bound")]
fn the_whole_chain_stays_under_the_bound_with_room(apply: u64) {
    let chain = StalenessBudget::from_apply_bound(ms(apply));
    // By no word that is older may anybody begin to serve: two fifths are left for what was confirmed since to arrive.
    assert!(chain.max_contact_age <= chain.apply_bound.mul_f64(0.6));
    // One silent voter must not make gateways wait that start.
    assert!(chain.typical_contact_age() + chain.poll_interval <= chain.max_contact_age);
    // A question that waits for news must not be given up before it is answered without any.
    assert!(
        chain.request_timeout > chain.store_long_poll.max(chain.registry_long_poll) + chain.voter_timeout
    );
    assert!(chain.known_after_lost_request() <= chain.apply_bound.mul_f64(0.7));
}

#[test]
fn a_change_whose_confirmer_died_is_known_within_the_bound_and_an_order_is_answered_before_its_caller_leaves()
{
    let chain = StalenessBudget::from_apply_bound(ms(2_500));
    assert!(chain.settled_after_crash() + ms(500) <= chain.apply_bound);
    assert!(
        ORDER_HEDGE_DELAY + ms(400) < ORDER_COMMIT_TIMEOUT && ORDER_COMMIT_TIMEOUT < ORDER_RESPONSE_TIMEOUT
    );
    // Two round trips between regions, of 40 ms, and as much again for the processor.
    assert!(ORDER_RESPONSE_TIMEOUT + ms(160) < CALLER_TIMEOUT);
}

/// Three clocks that began at different moments; each hop's question is asked, waits, is answered, and the answer comes late.
#[test]
fn ages_add_up_over_hops_whatever_waits_or_stands_still() {
    for seed in 0..20_000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let began: Vec<Duration> = (0..3).map(|_| ms(rng.u64(0..5_000))).collect();
        let mut now = ms(10_000);
        // The majority knew all that was confirmed until this moment, and may have known no more.
        let spoke = now;
        let mut known = LastQuorumContact::from_majority(now - began[0]);
        let (mut ways, hop) = (ms(0), |rng: &mut fastrand::Rng, most| ms(rng.u64(0..most)));
        now += hop(&mut rng, 700);
        for i in 1..3 {
            let asked = now;
            let there = hop(&mut rng, 60);
            let freeze = if rng.u8(0..4) == 0 { hop(&mut rng, 3_000) } else { ms(0) };
            now += there + freeze;
            let came = now - began[i - 1];
            now += hop(&mut rng, 500);
            let told = known.to_peer(now - began[i - 1], came);
            let back = hop(&mut rng, 60) + if rng.u8(0..4) == 0 { hop(&mut rng, 3_000) } else { ms(0) };
            now += back;
            known = LastQuorumContact::from_peer(told, asked - began[i], now - began[i]);
            ways += there + freeze + back + ms(3);
            let age = known.age(now - began[i]);
            assert!(age >= now - spoke, "seed {seed}: {age:?} of {:?}", now - spoke);
            assert!(age <= now - spoke + ways, "seed {seed}: {age:?} of {:?} and {ways:?}", now - spoke);
            now += hop(&mut rng, 700);
        }
    }
}

#[test]
fn a_peer_that_lies_of_how_long_it_held_a_question_makes_no_word_younger_than_its_answer() {
    let peer = LastQuorumContact::from_majority(ms(0));
    // As if the question had come an hour before it was asked here.
    let told = peer.to_peer(ms(3_600_000), ms(0));
    let heard = LastQuorumContact::from_peer(told, ms(100), ms(150));
    assert!(heard.age(ms(150)) >= ms(3_600_000));
}

#[test]
fn the_newer_word_counts_and_an_old_one_that_comes_late_changes_nothing() {
    let (now, old) = (ms(9_000), LastQuorumContact::from_majority(ms(5_000)));
    let new = LastQuorumContact::from_majority(ms(8_000));
    assert_eq!(LastQuorumContact::newest(Some(new), Some(old), now), Some(new));
    assert_eq!(LastQuorumContact::newest(Some(old), Some(new), now), Some(new));
    assert_eq!(LastQuorumContact::newest(None, None, now), None);
    assert_eq!(LastQuorumContact::newest(Some(old), None, now), Some(old));
}

#[test_case(None, false; "nothing heard, as after a start")]
#[test_case(Some(0), true; "heard now")]
#[test_case(Some(1_500), true; "heard just within the time")]
#[test_case(Some(1_501), false; "cut off for longer, or thawed")]
fn the_configuration_is_vouched_for_by_a_young_word_alone(age: Option<u64>, may: bool) {
    assert_eq!(StalenessBudget::from_apply_bound(ms(2_500)).is_fresh(age.map(ms)), may);
}

#[test_case(Some(100), 2, 3, true; "two of three registries, and a majority's word")]
#[test_case(Some(100), 1, 3, false; "one registry may be the one that no drain was told to")]
#[test_case(Some(1_600), 3, 3, false; "all registries, but all cut off from a majority of stores")]
#[test_case(None, 3, 3, false; "no store was heard")]
#[test_case(Some(100), 2, 4, false; "half is no majority")]
#[test_case(Some(100), 1, 1, true; "there is only one")]
fn a_gateway_that_has_just_started_serves_by_a_majority(age: Option<u64>, told: usize, of: usize, may: bool) {
    assert_eq!(StalenessBudget::from_apply_bound(ms(2_500)).may_start_serving(age.map(ms), told, of), may);
}

#[test]
fn a_drain_is_confirmed_by_a_majority_of_registries_whose_groups_always_meet() {
    for of in 1..8 {
        let least = (0..=of).find(|some| may_confirm_drain(*some, of)).expect("all of them");
        assert!(2 * least > of && !is_majority(least - 1, of));
    }
}

#[test]
fn draws_are_granted_in_the_own_term_while_the_lease_lasts_and_not_after_a_thaw() {
    let mut one = LeaseParticipant::new(0, ms(0));
    one.set_voters(vec![vec![0, 1, 2]], Duration::MAX);
    let begun = ms(2_000);
    let Some(ask @ LeaseRequest::Acquire { term, .. }) = one.tick(begun, 1) else { panic!("it bids") };
    assert!(!one.may_act_in(begun, term));
    let yes = starlinghill_lease::LeaseReply { granted: true, term };
    one.handle_reply(begun + ms(5), 1, begun, ask, yes);
    assert!(one.may_act_in(begun + ms(5), term) && !one.may_act_in(begun + ms(5), term + 1));
    assert!(one.may_act_in(begun + LEASE_DURATION - ms(1), term));
    // It stood still, or hears but isn't heard: nobody said yes since, and its clock went on.
    assert!(!one.may_act_in(begun + LEASE_DURATION, term));
}
