//! A core machine that is away, or loses its disk, during many changes, and then has all again while changes go on.
//! `cargo run --release -p starlinghill-testkit --example catch_up`. Called with the name of a part, it is that part.

use starlinghill_runtime::program;
use starlinghill_testkit::catch_up::{catch_up, Changes};
use starlinghill_testkit::system::System;
use std::process::ExitCode;
use tokio::task::LocalSet;

async fn show() {
    let program = std::env::current_exe().expect("a program");
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
            LocalSet::new().block_on(&runtime, show());
            ExitCode::SUCCESS
        }
    }
}
