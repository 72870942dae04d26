//! Compares a fleet that uses the backends which the counter names with one that chooses at random.

use starlinghill_testkit::balancing::{Fleet, Selection};
use test_case::test_case;

#[test_case(11, 17; "a small fleet")]
#[test_case(87, 235; "a large fleet")]
#[test_case(850, 400; "ten times as many gateways")]
fn few_requests_wait_if_gateways_use_the_backends_that_the_counter_names(gateways: u64, backends: u64) {
    let fleet = Fleet { gateways, backends, load: 0.5, seconds: 14 };
    let (named, chance) = (fleet.simulate(Selection::CounterOffer), fleet.simulate(Selection::Random));
    assert!(named.queued_share < 0.06 && chance.queued_share > 0.3, "{named:?} beside {chance:?}");
    assert!(named.p99_ms < chance.p99_ms * 6 / 10, "{named:?} beside {chance:?}");
    // Faster backends get more requests, but none gets twice the mean.
    assert!(named.busiest_ratio < 2.0, "{named:?}");
}

#[test]
fn gateways_prefer_backends_that_they_have_connections_to() {
    let fleet = Fleet { gateways: 87, backends: 235, load: 0.3, seconds: 14 };
    let (named, chance) = (fleet.simulate(Selection::CounterOffer), fleet.simulate(Selection::Random));
    assert!(
        named.connections_per_request < chance.connections_per_request / 2.0,
        "{named:?} beside {chance:?}"
    );
    assert!(
        named.queued_share < 0.06 && named.open_connections < chance.open_connections,
        "{named:?} beside {chance:?}"
    );
}
