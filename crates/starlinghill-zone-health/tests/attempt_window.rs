//! One gateway's counts of attempts over time.

use starlinghill_failover::Micros;
use starlinghill_zone_health::attempt_counts::{AttemptCounts, AttemptResult, ObservedHealth};
use starlinghill_zone_health::attempt_window::AttemptWindow;
use starlinghill_zone_health::report::{InvalidReport, Report};

fn secs(s: f64) -> Micros {
    Micros((s * 1e6) as u64)
}

/// Records `per_s` attempts per second at `zone`, from second `from` on for `seconds`. `result` gives the result of attempt `i`.
fn run(
    window: &mut AttemptWindow,
    from: f64,
    seconds: f64,
    per_s: f64,
    zone: &str,
    result: impl Fn(u64) -> AttemptResult,
) {
    for i in 0..(seconds * per_s) as u64 {
        window.record(secs(from + i as f64 / per_s), zone, result(i));
    }
}

fn two_zones() -> AttemptWindow {
    AttemptWindow::new(["a".to_string(), "b".to_string()])
}

#[test]
fn a_report_covers_the_last_four_seconds_and_only_zones_with_attempts() {
    let mut window = two_zones();
    run(&mut window, 0.0, 10.0, 20.0, "a", |_| AttemptResult::Answered);
    run(&mut window, 10.0, 4.0, 20.0, "a", |_| AttemptResult::Unanswered);
    window.record(secs(13.9), "nowhere", AttemptResult::Failed);
    let report = window.report(secs(13.99));
    assert_eq!(report.zones.keys().collect::<Vec<_>>(), ["a"]);
    let counts = report.zones["a"];
    assert_eq!((counts.answered, counts.unanswered), (0, 80));
    assert_eq!(counts.observed_health(), ObservedHealth::Unreachable);
    // Servers that fail get few attempts after that. The zone must still be reported as unreachable.
    assert_eq!(window.report(secs(18.1)).zones["a"].observed_health(), ObservedHealth::Unreachable);
    window.record(secs(25.0), "a", AttemptResult::ConnectFailed);
    assert_eq!(window.report(secs(45.0)).zones["a"].observed_health(), ObservedHealth::Unreachable);
    // Without new attempts the counts expire, and the report is empty.
    assert_eq!(window.report(secs(57.6)), Report::default());
    // Once the zone answers again, only the new counts matter.
    run(&mut window, 60.0, 4.0, 20.0, "a", |_| AttemptResult::Answered);
    assert_eq!(window.report(secs(63.99)).zones["a"].observed_health(), ObservedHealth::Healthy);
}

/// Failed requests are retried at once. So there are more attempts than usual while the earlier answers still count, which
/// looks like overload for a moment.
#[test]
fn a_zone_that_starts_to_fail_looks_overloaded_for_less_than_a_second_and_degraded_afterwards() {
    let health_after = |failing: f64| {
        let mut window = two_zones();
        run(&mut window, 0.0, 60.0, 20.0, "a", |_| AttemptResult::Answered);
        run(&mut window, 60.0, failing, 120.0, "a", |_| AttemptResult::Failed);
        window.report(secs(60.0 + failing)).zones["a"].observed_health()
    };
    let all: Vec<ObservedHealth> = (1..=60).map(|tenth| health_after(f64::from(tenth) / 10.0)).collect();
    let last = all
        .iter()
        .rposition(|health| *health == ObservedHealth::Overloaded)
        .expect("overloaded at some moment");
    assert!(last < 10, "for less than a second: {all:?}");
    assert!(all[last + 1..].iter().all(|health| *health == ObservedHealth::Degraded), "{all:?}");
}

#[test]
fn a_zone_that_is_late_under_more_requests_is_overloaded_and_one_that_is_late_at_its_usual_load_is_degraded()
{
    let late = |_| AttemptResult::Late;
    let mut more_requests = two_zones();
    run(&mut more_requests, 0.0, 60.0, 20.0, "a", |_| AttemptResult::Answered);
    run(&mut more_requests, 60.0, 6.0, 40.0, "a", late);
    assert_eq!(more_requests.report(secs(65.99)).zones["a"].observed_health(), ObservedHealth::Overloaded);
    let mut slower = two_zones();
    run(&mut slower, 0.0, 60.0, 20.0, "a", |_| AttemptResult::Answered);
    run(&mut slower, 60.0, 6.0, 20.0, "a", late);
    assert_eq!(slower.report(secs(65.99)).zones["a"].observed_health(), ObservedHealth::Degraded);
    // Half of the servers are gone, so the zone does less than its usual work.
    let mut halved = two_zones();
    run(&mut halved, 0.0, 60.0, 20.0, "a", |_| AttemptResult::Answered);
    run(&mut halved, 60.0, 6.0, 30.0, "a", |i| {
        if i % 3 == 0 {
            AttemptResult::Late
        } else {
            AttemptResult::Unanswered
        }
    });
    assert_eq!(halved.report(secs(65.99)).zones["a"].observed_health(), ObservedHealth::Degraded);
    // A trouble does not become the usual rate, however long it lasts.
    run(&mut slower, 66.0, 600.0, 20.0, "a", late);
    assert_eq!(slower.report(secs(665.99)).zones["a"].observed_health(), ObservedHealth::Degraded);
}

#[test]
fn a_short_run_of_attempts_without_a_reply_is_enough_once_nothing_has_come_back_for_a_whole_span() {
    let mut window = two_zones();
    run(&mut window, 0.0, 20.0, 5.0, "a", |_| AttemptResult::Answered);
    let health = |window: &mut AttemptWindow, at: f64| window.report(secs(at)).zones["a"].observed_health();
    // After each failure the servers get no attempts for some time, so there are few.
    for at in [20.5, 21.0, 23.5] {
        window.record(secs(at), "a", AttemptResult::Unanswered);
    }
    assert_ne!(health(&mut window, 26.0), ObservedHealth::Unreachable);
    window.record(secs(26.5), "a", AttemptResult::ConnectFailed);
    assert_eq!(health(&mut window, 26.6), ObservedHealth::Unreachable);
    window.record(secs(27.0), "a", AttemptResult::Failed);
    assert_ne!(health(&mut window, 27.1), ObservedHealth::Unreachable, "a reply came back");
    // A run of this length shortly after a reply can be chance.
    let mut busy = two_zones();
    run(&mut busy, 0.0, 10.0, 20.0, "a", |i| {
        if i >= 194 {
            AttemptResult::Unanswered
        } else {
            AttemptResult::Answered
        }
    });
    assert_eq!(health(&mut busy, 9.99), ObservedHealth::Healthy);
}

#[test]
fn no_usual_rate_is_reported_before_a_full_span_has_passed() {
    let mut window = two_zones();
    run(&mut window, 0.0, 1.0, 20.0, "a", |_| AttemptResult::Answered);
    assert_eq!(window.report(secs(1.0)).zones["a"].usual_answers, 0);
    run(&mut window, 1.0, 20.0, 20.0, "a", |_| AttemptResult::Answered);
    let usual = window.report(secs(21.0)).zones["a"].usual_answers;
    assert!((75..=82).contains(&usual), "{usual}");
}

#[test]
fn a_report_is_small_and_an_invalid_one_is_refused_with_the_name_of_the_zone() {
    let mut window = AttemptWindow::new((0..6).map(|i| format!("zone-{i}")));
    for i in 0..6 {
        run(&mut window, 0.0, 8.0, 20.0, &format!("zone-{i}"), |n| match n % 10 {
            0 => AttemptResult::Late,
            1 => AttemptResult::Failed,
            2 => AttemptResult::Unanswered,
            _ => AttemptResult::Answered,
        });
    }
    let report = window.report(secs(7.99));
    let bytes = serde_json::to_vec(&report).expect("the report serializes");
    assert!(bytes.len() < 600, "{} bytes for six zones", bytes.len());
    assert_eq!(serde_json::from_slice::<Report>(&bytes).expect("the report parses"), report);
    assert!(serde_json::from_str::<Report>(r#"{"zones":{"a":{"answered":1,"colour":2}}}"#).is_err());
    assert_eq!(report.check(), Ok(()));
    let with = |name: &str, counts: AttemptCounts| Report { zones: [(name.to_string(), counts)].into() };
    let bad = AttemptCounts { answered: 1, late: 2, ..AttemptCounts::default() };
    assert_eq!(with("a", bad).check(), Err(InvalidReport::BadCounts("a".into())));
    assert_eq!(
        with("a", AttemptCounts { unanswered: u32::MAX, ..bad }).check(),
        Err(InvalidReport::BadCounts("a".into()))
    );
    assert!(matches!(with("a b", AttemptCounts::default()).check(), Err(InvalidReport::BadName(_))));
    let many = Report { zones: (0..300).map(|i| (format!("z{i}"), AttemptCounts::default())).collect() };
    assert_eq!(many.check(), Err(InvalidReport::TooManyZones(300)));
}

#[test]
fn counts_never_overflow() {
    let mut counts = AttemptCounts { unanswered: u32::MAX, ..AttemptCounts::default() };
    counts.record(AttemptResult::Unanswered);
    counts += counts;
    assert_eq!(counts.unanswered, u32::MAX);
}
