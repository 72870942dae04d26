//! How long a connection may have been idle to be used for a request that must run at most once.

use starlinghill_gateway::idle::IdleHistory;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn the_shortest_idle_time_before_a_close_limits_reuse_until_a_request_succeeds_after_a_longer_one() {
    let history = IdleHistory::default();
    assert_eq!(
        history.safe_idle_time(Some(ms(4_000))),
        ms(4_000),
        "the announced time, while no connection ended sooner"
    );
    history.closed_after(ms(320));
    history.closed_after(ms(1_200));
    assert_eq!(history.safe_idle_time(Some(ms(4_000))), ms(240));
    history.served_after(ms(200), Some(ms(4_000)));
    assert_eq!(history.safe_idle_time(Some(ms(4_000))), ms(240));
    history.served_after(ms(400), Some(ms(4_000)));
    assert_eq!(history.safe_idle_time(Some(ms(4_000))), ms(4_000));
}

#[test]
fn connections_that_end_with_their_backend_do_not_shorten_the_safe_idle_time() {
    let history = IdleHistory::default();
    (0..20).for_each(|idle_ms| history.closed_after(ms(idle_ms)));
    assert_eq!(history.safe_idle_time(Some(ms(4_000))), ms(4_000));
}

#[test]
fn without_an_announced_time_connections_are_reused_after_idle_times_that_worked_before() {
    let history = IdleHistory::default();
    assert_eq!(history.safe_idle_time(None), ms(100));
    history.served_after(ms(3_000), Some(ms(4_000)));
    assert_eq!(history.safe_idle_time(None), ms(100), "that connection had an announced keep-alive time");
    history.served_after(ms(700), None);
    assert_eq!(history.safe_idle_time(None), ms(700));
    history.closed_after(ms(600));
    assert_eq!(history.safe_idle_time(None), ms(450));
}
