//! A control service under test, and what surrounds it.
#![allow(dead_code)]

use starlinghill_control::{prepare, start, Running};
use starlinghill_rig::nodes::SaveNode;
use starlinghill_rig::world::{self, Discovery, LIMIT};
use std::path::PathBuf;
use std::time::{Duration, Instant};

pub use starlinghill_rig::world::member_since as member;

/// The operators' file round this discovery, with more lines at its end.
pub fn file(discovery: &Discovery, more: &str) -> PathBuf {
    world::control_file(discovery.stub.address, &["whole", "delta", "third"], "", more)
}

pub async fn service(discovery: &Discovery) -> Running {
    let prepared = prepare(&file(discovery, "[control.quotas]\nlease_ms = 1000\n")).expect("a sound file");
    start(prepared).await.expect("it starts")
}

/// Save nodes `s-0`, `s-1`...
pub async fn nodes(n: usize) -> (Vec<SaveNode>, Discovery) {
    let mut nodes = Vec::new();
    for _ in 0..n {
        nodes.push(SaveNode::start().await);
    }
    let members: Vec<String> = nodes
        .iter()
        .enumerate()
        .map(|(i, node)| member(&format!("s-{i}"), node.address, "ready", 0))
        .collect();
    let discovery = Discovery::start(&members.join(","));
    (nodes, discovery)
}

/// Waits until a condition holds.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + LIMIT;
    while !holds() {
        assert!(Instant::now() < end, "waited in vain for {what}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
