//! Tests that a core machine that missed hundreds of changes catches up while further changes are made, and
//! that its vote counts again.

use starlinghill_testkit::catch_up::{catch_up, Changes};
use starlinghill_testkit::system::{program, System};
use std::time::Duration;
use test_case::test_case;
use tokio::task::LocalSet;

/// Well above the times of the example `catch_up`, as other tests run at the same time.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(5);

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
    assert!(caught.caught_up_after < CATCH_UP_LIMIT && caught.confirmed_after < CATCH_UP_LIMIT, "{caught:?}");
    assert!(caught.changes_meanwhile > 0, "{caught:?}");
}
