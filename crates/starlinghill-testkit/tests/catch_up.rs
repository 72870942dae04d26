//! A core machine that missed hundreds of changes has them all soon, though changes go on, and its voice counts again.

use starlinghill_testkit::catch_up::{catch_up, Changes};
use starlinghill_testkit::system::{program, System};
use std::time::Duration;
use test_case::test_case;
use tokio::task::LocalSet;

/// Well above what the example `catch_up` measures, as other tests run beside this one.
const SOON: Duration = Duration::from_secs(5);

#[test_case(false; "restarted")]
#[test_case(true; "wiped")]
#[tokio::test]
async fn a_machine_that_missed_hundreds_of_changes_catches_up_while_they_go_on(wiped: bool) {
    let task = LocalSet::new();
    let caught = task.run_until(async {
        let mut system = System::start(&program(), 0);
        let mut changes = Changes::start(&system).await;
        catch_up(&mut system, &mut changes, 300, wiped).await
    });
    let caught = caught.await;
    assert!(caught.caught_up_after < SOON && caught.confirmed_after < SOON, "{caught:?}");
    assert!(caught.changes_meanwhile > 0, "{caught:?}");
}
