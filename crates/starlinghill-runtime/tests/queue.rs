//! How full a queue gets is said, and not for every command.

use starlinghill_runtime::queue::QueueGauge;
use std::time::Duration;
use tokio::time::Instant;

#[test]
fn the_most_of_late_is_said_once_in_some_seconds_from_half_on() {
    let (mut gauge, start) = (QueueGauge::new("tables", 100), Instant::now());
    let at = |ms| start + Duration::from_millis(ms);
    assert_eq!(gauge.observe(at(0), 49), None);
    assert_eq!(gauge.observe(at(1), 50), Some(50));
    // Said a moment ago.
    assert_eq!(gauge.observe(at(2), 100), None);
    assert_eq!(gauge.observe(at(4_000), 60), None);
    assert_eq!(gauge.observe(at(5_001), 1), Some(100));
    // What was is no news.
    assert_eq!(gauge.observe(at(11_000), 1), None);
    assert_eq!(gauge.observe(at(12_000), 70), Some(70));
}
