//! Measures how soon a core machine that was away, or lost its disk, during many changes of the configuration is up to
//! date again while changes go on. The processes that it starts are this program again, with the part's name as argument.
//!
//! `cargo run --release -p starlinghill-testkit --example catch_up`

use starlinghill_runtime::program;
use starlinghill_testkit::catch_up::{catch_up, Changes};
use starlinghill_testkit::system::System;
use std::process::ExitCode;
use tokio::task::LocalSet;

async fn measure() {
    let program = std::env::current_exe().expect("the path of this program");
    println!("| changes missed | disk | caught up after (ms) | changes meanwhile | its voice counts after (ms) | files (kB) |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for missed in [0, 100, 300, 1_000] {
        for wiped in [false, true] {
            let mut system = System::start(&program, 0);
            let mut changes = Changes::start(&system).await;
            let caught = catch_up(&mut system, &mut changes, missed, wiped).await;
            println!(
                "| {missed} | {} | {} | {} | {} | {} |",
                if wiped { "lost" } else { "kept" },
                caught.caught_up_after.as_millis(),
                caught.changes_meanwhile,
                caught.confirmed_after.as_millis(),
                caught.disk_bytes / 1_000
            );
        }
    }
}

fn main() -> ExitCode {
    match std::env::args().nth(1).as_deref() {
        Some("toolrack") => program::start(false, starlinghill_registry::program::run),
        Some("patternbook") => program::start(false, starlinghill_config_store::program::run),
        _ => {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            LocalSet::new().block_on(&runtime, measure());
            ExitCode::SUCCESS
        }
    }
}
