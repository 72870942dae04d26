//! What the measurements share.
#![allow(dead_code, unused_imports)]

use starlinghill_control::{prepare, start, Running};
use starlinghill_testkit::stubs::{self, Discovery};
use std::time::Duration;

pub use starlinghill_testkit::nodes::listed as nodes;

/// A control service before this discovery.
pub async fn service(discovery: &Discovery, proxies: &[&str], plans: &str, more: &str) -> Running {
    let path = stubs::control_file(discovery.stub.address, proxies, plans, more);
    let prepared = match prepare(&path) {
        Ok(prepared) => prepared,
        Err(problems) => panic!("{problems:?}"),
    };
    start(prepared).await.expect("it starts")
}

/// A number from the command line, by its place.
pub fn argument(place: usize, default: usize) -> usize {
    std::env::args().nth(place).map_or(default, |text| text.parse().expect("a number"))
}

/// Milliseconds, to a hundredth.
pub fn ms(span: Duration) -> String {
    format!("{:.2}", span.as_secs_f64() * 1e3)
}

/// Cores of this machine.
pub fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}
