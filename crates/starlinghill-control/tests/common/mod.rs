//! A control service under test, and what surrounds it.
#![allow(dead_code, unused_imports)]

use starlinghill_control::{prepare, start, Running};
use starlinghill_testkit::stubs::{self, Discovery, LIMIT};
use std::path::PathBuf;
use std::time::{Duration, Instant};

pub use starlinghill_testkit::nodes::start_nodes as nodes;
pub use starlinghill_testkit::stubs::member_since as member;

/// The operators' file round this discovery, with more lines at its end.
pub fn file(discovery: &Discovery, more: &str) -> PathBuf {
    stubs::control_file(discovery.stub.address, &["whole", "delta", "third"], "", more)
}

pub async fn service(discovery: &Discovery) -> Running {
    let prepared = prepare(&file(discovery, "[control.quotas]\nlease_ms = 1000\n")).expect("a sound file");
    start(prepared).await.expect("it starts")
}

/// Waits until a condition holds.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + LIMIT;
    while !holds() {
        assert!(Instant::now() < end, "waited in vain for {what}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
