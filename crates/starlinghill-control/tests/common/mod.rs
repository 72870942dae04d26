//! Starts a control service with stub discovery and save nodes.
#![allow(dead_code, unused_imports)]

use starlinghill_control::{prepare, start, Running};
use starlinghill_testkit::stubs::{self, Discovery, LIMIT};
use std::path::PathBuf;
use std::time::{Duration, Instant};

pub use starlinghill_testkit::nodes::start_nodes as nodes;
pub use starlinghill_testkit::stubs::member_since as member;

/// Writes an operators' file that uses this discovery, with `more` at its end. It allows the proxies "whole", "delta" and
/// "third".
pub fn file(discovery: &Discovery, more: &str) -> PathBuf {
    stubs::control_file(discovery.stub.address, &["whole", "delta", "third"], "", more)
}

/// Starts a service whose quota slices are valid for one second.
pub async fn service(discovery: &Discovery) -> Running {
    let prepared =
        prepare(&file(discovery, "[control.quotas]\nlease_ms = 1000\n")).expect("the file is valid");
    start(prepared).await.expect("the service starts")
}

/// Waits until `is_met` returns true, and fails the test after `LIMIT`.
pub async fn until(condition: &str, mut is_met: impl FnMut() -> bool) {
    let deadline = Instant::now() + LIMIT;
    while !is_met() {
        assert!(Instant::now() < deadline, "timed out waiting for {condition}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
