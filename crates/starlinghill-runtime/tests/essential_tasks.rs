//! When an essential task ends, its process must learn of it; otherwise it would stay up and fail every request.

use starlinghill_runtime::essential_tasks::EssentialTasks;
use std::time::Duration;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

fn run<F: std::future::Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test)
}

#[test]
fn the_first_task_that_panics_or_returns_is_named() {
    for panics in [true, false] {
        let name = run(async move {
            let (essentials, mut first_ended) = EssentialTasks::new();
            essentials.spawn("keeps running", std::future::pending());
            essentials.spawn("ends", async move {
                sleep(Duration::from_secs(1)).await;
                assert!(!panics, "intended panic");
            });
            first_ended.wait().await
        });
        assert_eq!(name, "ends");
    }
}

#[test]
fn a_panic_in_an_ordinary_task_does_not_end_the_process() {
    run(async {
        let (essentials, mut first_ended) = EssentialTasks::new();
        essentials.spawn("keeps running", std::future::pending());
        let call = spawn_local(async { panic!("intended panic") });
        assert!(call.await.is_err());
        assert!(timeout(Duration::from_secs(60), first_ended.wait()).await.is_err());
        // Nor is the process told to end when all spawners are dropped.
        drop(essentials);
        assert!(timeout(Duration::from_secs(60), first_ended.wait()).await.is_err());
    });
}
