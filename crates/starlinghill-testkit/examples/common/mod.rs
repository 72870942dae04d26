//! Helpers shared by the examples.
#![allow(dead_code, unused_imports)]

use starlinghill_control::{prepare, start, Running};
use starlinghill_testkit::stubs::{self, Discovery};
use std::time::Duration;

pub use starlinghill_testkit::nodes::start_nodes as nodes;

/// Starts a control service that uses this discovery and serves the proxies with these ids. For `plans` and `more` see
/// [`stubs::control_file`].
pub async fn service(discovery: &Discovery, proxies: &[&str], plans: &str, more: &str) -> Running {
    let path = stubs::control_file(discovery.stub.address, proxies, plans, more);
    let prepared = match prepare(&path) {
        Ok(prepared) => prepared,
        Err(problems) => panic!("{problems:?}"),
    };
    start(prepared).await.expect("the control service starts")
}

/// The number at this index of the command line, or the default if there is none.
pub fn argument(index: usize, default: usize) -> usize {
    std::env::args().nth(index).map_or(default, |text| text.parse().expect("a number"))
}

/// A duration in milliseconds with two decimals.
pub fn ms(span: Duration) -> String {
    format!("{:.2}", span.as_secs_f64() * 1e3)
}

/// The number of CPU cores that this process may use.
pub fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}
