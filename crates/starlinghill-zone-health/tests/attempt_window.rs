//! One gateway's counts over time.

use starlinghill_failover::Micros;
use starlinghill_zone_health::attempt_counts::{AttemptCounts, AttemptResult, ObservedHealth};
use starlinghill_zone_health::attempt_window::AttemptWindow;
use starlinghill_zone_health::report::{InvalidReport, Report};

fn secs(s: f64) -> Micros {
    Micros((s * 1e6) as u64)
}

/// So many attempts a second at a zone, for a while, each of the like.
fn run(
    watch: &mut AttemptWindow,
    from: f64,
    seconds: f64,
    per_s: f64,
    zone: &str,
    became: impl Fn(u64) -> AttemptResult,
) {
    for i in 0..(seconds * per_s) as u64 {
        watch.record(secs(from + i as f64 / per_s), zone, became(i));
    }
}

fn watch() -> AttemptWindow {
    AttemptWindow::new(["a".to_string(), "b".to_string()])
}

#[test]
fn a_report_is_of_the_last_four_seconds_and_of_zones_that_were_tried() {
    let mut watch = watch();
    run(&mut watch, 0.0, 10.0, 20.0, "a", |_| AttemptResult::Answered);
    run(&mut watch, 10.0, 4.0, 20.0, "a", |_| AttemptResult::Unanswered);
    watch.record(secs(13.9), "nowhere", AttemptResult::Failed);
    let report = watch.report(secs(13.99));
    assert_eq!(report.zones.keys().collect::<Vec<_>>(), ["a"]);
    let sums = report.zones["a"];
    assert_eq!((sums.answered, sums.unanswered), (0, 80));
    assert_eq!(sums.observed_health(), ObservedHealth::Unreachable);
    // Its servers are left alone then, and tried once in a while: what is known of them is not forgotten.
    assert_eq!(watch.report(secs(18.1)).zones["a"].observed_health(), ObservedHealth::Unreachable);
    watch.record(secs(25.0), "a", AttemptResult::ConnectFailed);
    assert_eq!(watch.report(secs(45.0)).zones["a"].observed_health(), ObservedHealth::Unreachable);
    // With nothing new it forgets all the same, and says nothing of what it does not know.
    assert_eq!(watch.report(secs(57.6)), Report::default());
    // Once it answers again that counts alone.
    run(&mut watch, 60.0, 4.0, 20.0, "a", |_| AttemptResult::Answered);
    assert_eq!(watch.report(secs(63.99)).zones["a"].observed_health(), ObservedHealth::Healthy);
}

/// Failed requests come again at once, so that more is asked than usual, while the answers from before are still counted.
#[test]
fn a_zone_at_which_all_begins_to_fail_looks_loaded_for_a_moment_and_sick_from_then_on() {
    let seen = |failing: f64| {
        let mut watch = watch();
        run(&mut watch, 0.0, 60.0, 20.0, "a", |_| AttemptResult::Answered);
        run(&mut watch, 60.0, failing, 120.0, "a", |_| AttemptResult::Failed);
        watch.report(secs(60.0 + failing)).zones["a"].observed_health()
    };
    let all: Vec<ObservedHealth> = (1..=60).map(|tenth| seen(f64::from(tenth) / 10.0)).collect();
    let last =
        all.iter().rposition(|sight| *sight == ObservedHealth::Overloaded).expect("loaded at some moment");
    assert!(last < 10, "for less than a second: {all:?}");
    assert!(all[last + 1..].iter().all(|sight| *sight == ObservedHealth::Degraded), "{all:?}");
}

#[test]
fn a_zone_that_is_late_because_more_is_asked_of_it_is_loaded_and_one_that_is_late_by_itself_is_sick() {
    let late = |_| AttemptResult::Late;
    let mut asked_more = watch();
    run(&mut asked_more, 0.0, 60.0, 20.0, "a", |_| AttemptResult::Answered);
    run(&mut asked_more, 60.0, 6.0, 40.0, "a", late);
    assert_eq!(asked_more.report(secs(65.99)).zones["a"].observed_health(), ObservedHealth::Overloaded);
    let mut slower = watch();
    run(&mut slower, 0.0, 60.0, 20.0, "a", |_| AttemptResult::Answered);
    run(&mut slower, 60.0, 6.0, 20.0, "a", late);
    assert_eq!(slower.report(secs(65.99)).zones["a"].observed_health(), ObservedHealth::Degraded);
    // Half of its servers are gone, and the rest does what it can: it is not at its work.
    let mut halved = watch();
    run(&mut halved, 0.0, 60.0, 20.0, "a", |_| AttemptResult::Answered);
    run(&mut halved, 60.0, 6.0, 30.0, "a", |i| {
        if i % 3 == 0 {
            AttemptResult::Late
        } else {
            AttemptResult::Unanswered
        }
    });
    assert_eq!(halved.report(secs(65.99)).zones["a"].observed_health(), ObservedHealth::Degraded);
    // A trouble is not taken for usual, however long it lasts.
    run(&mut slower, 66.0, 600.0, 20.0, "a", late);
    assert_eq!(slower.report(secs(665.99)).zones["a"].observed_health(), ObservedHealth::Degraded);
}

#[test]
fn a_few_attempts_in_a_row_without_a_word_are_enough_once_nothing_has_come_back_for_a_span() {
    let mut watch = watch();
    run(&mut watch, 0.0, 20.0, 5.0, "a", |_| AttemptResult::Answered);
    let sight = |watch: &mut AttemptWindow, at: f64| watch.report(secs(at)).zones["a"].observed_health();
    // Its servers are left alone after each, so that few are made.
    for at in [20.5, 21.0, 23.5] {
        watch.record(secs(at), "a", AttemptResult::Unanswered);
    }
    assert_ne!(sight(&mut watch, 26.0), ObservedHealth::Unreachable);
    watch.record(secs(26.5), "a", AttemptResult::ConnectFailed);
    assert_eq!(sight(&mut watch, 26.6), ObservedHealth::Unreachable);
    watch.record(secs(27.0), "a", AttemptResult::Failed);
    assert_ne!(sight(&mut watch, 27.1), ObservedHealth::Unreachable, "something came back");
    // As many in a row within a span are chance.
    let mut busy = self::watch();
    run(&mut busy, 0.0, 10.0, 20.0, "a", |i| {
        if i >= 194 {
            AttemptResult::Unanswered
        } else {
            AttemptResult::Answered
        }
    });
    assert_eq!(sight(&mut busy, 9.99), ObservedHealth::Healthy);
}

#[test]
fn a_start_says_nothing_of_what_is_usual() {
    let mut watch = watch();
    run(&mut watch, 0.0, 1.0, 20.0, "a", |_| AttemptResult::Answered);
    assert_eq!(watch.report(secs(1.0)).zones["a"].usual_answers, 0);
    run(&mut watch, 1.0, 20.0, 20.0, "a", |_| AttemptResult::Answered);
    let usual = watch.report(secs(21.0)).zones["a"].usual_answers;
    assert!((75..=82).contains(&usual), "{usual}");
}

#[test]
fn a_report_is_small_and_what_is_out_of_bounds_is_told_by_its_zone() {
    let mut watch = AttemptWindow::new((0..6).map(|i| format!("zone-{i}")));
    for i in 0..6 {
        run(&mut watch, 0.0, 8.0, 20.0, &format!("zone-{i}"), |n| match n % 10 {
            0 => AttemptResult::Late,
            1 => AttemptResult::Failed,
            2 => AttemptResult::Unanswered,
            _ => AttemptResult::Answered,
        });
    }
    let report = watch.report(secs(7.99));
    let bytes = serde_json::to_vec(&report).expect("it can be written");
    assert!(bytes.len() < 600, "{} bytes for six zones", bytes.len());
    assert_eq!(serde_json::from_slice::<Report>(&bytes).expect("it can be read"), report);
    assert!(serde_json::from_str::<Report>(r#"{"zones":{"a":{"answered":1,"colour":2}}}"#).is_err());
    assert_eq!(report.check(), Ok(()));
    let with = |name: &str, sums: AttemptCounts| Report { zones: [(name.to_string(), sums)].into() };
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
fn counts_never_run_over() {
    let mut sums = AttemptCounts { unanswered: u32::MAX, ..AttemptCounts::default() };
    sums.record(AttemptResult::Unanswered);
    sums += sums;
    assert_eq!(sums.unanswered, u32::MAX);
}
