//! Health of zones. Each gateway reports what became of its attempts at each zone, in a few hundred bytes, and the
//! reports of all gateways together yield a finding for each zone. Findings are only displayed: no order follows from
//! them here. The code has no I/O or clock; time is an argument.
//!
//! - [`attempt_counts`]: the results of attempts at one zone, and the health that they show.
//! - [`attempt_window`]: one gateway's counts over the last seconds.
//! - [`report`]: the report of one gateway, and its bounds.
//! - [`findings`]: the finding for each zone from all reports, with its reasons.

pub mod attempt_counts;
pub mod attempt_window;
pub mod findings;
pub mod report;
