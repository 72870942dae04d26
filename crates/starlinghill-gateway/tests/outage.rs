//! Short runs of several gateway processes with a counter that fails. How much is refused depends on the
//! machine and is measured by the example `outage`; these tests check that quotas are never exceeded.

use starlinghill_testkit::counter::Mode;
use starlinghill_testkit::outage::{run_scenario, Fault, Scenario};

const PROGRAM: &str = env!("CARGO_BIN_EXE_starlinghill");

fn check_quota_ceilings(scenario: Scenario, messages: bool) {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let outcomes = runtime.expect("a runtime").block_on(run_scenario(PROGRAM, &scenario, 8, messages));
    assert_eq!(outcomes.len(), 8, "{} seed {}", scenario.name, scenario.seed);
    for outcome in &outcomes {
        let at = format!("{}, seed {}, messages {messages}: {outcome:?}", scenario.name, scenario.seed);
        assert!(outcome.sent > 0.0 && outcome.sent <= outcome.requested, "{at}");
        assert!(outcome.ceiling_excess <= 0.0, "{at}");
    }
}

#[test]
fn no_quota_is_exceeded_while_the_counter_fails_or_loses_its_state_and_gateways_are_killed() {
    let faults = vec![
        (0.8, Fault::SetMode(Mode::Refuse)),
        (1.6, Fault::Kill(1)),
        (2.2, Fault::Start(1)),
        (2.8, Fault::SetMode(Mode::Normal)),
        (3.4, Fault::SaveTotals),
        (3.8, Fault::ClearTotals),
        (4.4, Fault::RestoreTotals),
        (5.0, Fault::SetMode(Mode::CorruptAnswers(3))),
    ];
    for messages in [false, true] {
        let faults = faults.clone();
        check_quota_ceilings(
            Scenario {
                name: "all faults",
                seed: 4,
                gateways: 3,
                seconds: 6.0,
                gateway_change_s: 1.0,
                faults,
            },
            messages,
        );
    }
}
