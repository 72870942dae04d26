//! Evidence on zones: what one gateway sees of each, in a few hundred bytes, and what the reports of all of them
//! together say. Nothing here decides: what becomes of a finding is the group's affair. Pure: time is an argument.
//!
//! - [`attempt_counts`]: counts of what became of attempts at a zone, and what they look like from one place.
//! - [`attempt_window`]: one gateway's counts over the last seconds.
//! - [`report`]: what a gateway tells, and its bounds.
//! - [`findings`]: what all reports together say of each zone, and why.

pub mod attempt_counts;
pub mod attempt_window;
pub mod findings;
pub mod report;
