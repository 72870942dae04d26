//! A queue that fills up is reported, but at most once in 5 s.

use starlinghill_runtime::queue::QueueGauge;
use std::time::Duration;
use tokio::time::Instant;

#[test]
fn the_highest_fill_level_is_reported_once_per_interval_from_half_of_the_capacity_on() {
    let (mut gauge, start) = (QueueGauge::new("tables", 100), Instant::now());
    let at = |ms| start + Duration::from_millis(ms);
    assert_eq!(gauge.observe(at(0), 49), None);
    assert_eq!(gauge.observe(at(1), 50), Some(50));
    // Reported too recently.
    assert_eq!(gauge.observe(at(2), 100), None);
    assert_eq!(gauge.observe(at(4_000), 60), None);
    assert_eq!(gauge.observe(at(5_001), 1), Some(100));
    // The maximum is reset by each report and by each interval.
    assert_eq!(gauge.observe(at(11_000), 1), None);
    assert_eq!(gauge.observe(at(12_000), 70), Some(70));
}
