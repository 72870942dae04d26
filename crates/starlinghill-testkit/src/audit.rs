//! Audit of a failover run. It compares the orders that were given, their outcomes and the positions that each gateway
//! logged, and reports every contradiction. It works on records alone and starts no process.

use crate::processes::Line;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// A position in the group's history: generation and epoch.
pub type Position = (u64, u64);

/// An order as the operator who gave it observed it.
#[derive(Debug, Clone)]
pub struct OrderRecord {
    /// When the command was started.
    pub sent_at: Instant,
    /// When the command's outcome was known.
    pub answered_at: Instant,
    /// The position at which the order takes effect; `None` if it was refused.
    pub position: Option<Position>,
}

/// One entry of a gateway's log about the position that it follows.
#[derive(Debug, Clone)]
pub struct FollowRecord {
    /// The number of the gateway's process run, from 1; it grows with each restart.
    pub run: usize,
    /// When the entry was logged. It holds until the next entry of the same run.
    pub since: Instant,
    /// `started` (no position known yet) or the logged mode: `following`, `keeping` or `own`.
    pub mode: String,
    /// The position followed; (0, 0) for `started`.
    pub position: Position,
}

fn parse_position(text: &str) -> Option<Position> {
    let (generation, epoch) = text.split_once('.')?;
    Some((generation.parse().ok()?, epoch.parse().ok()?))
}

/// The position of an accepted order, read from its command's standard output; `None` if it was not accepted.
pub fn accepted_position(stdout: &[u8]) -> Option<Position> {
    let text = String::from_utf8_lossy(stdout);
    parse_position(text.split("accepted at ").nth(1)?.split(' ').next()?)
}

/// Reads the records of one gateway from its log.
pub fn follow_records(lines: &[Line]) -> Vec<FollowRecord> {
    let mut records = Vec::new();
    let mut run = 0;
    for line in lines {
        if line.text.contains("follows the group") {
            run += 1;
            records.push(FollowRecord { run, since: line.at, mode: "started".into(), position: (0, 0) });
        }
        if !line.text.contains("zones by the group") {
            continue;
        }
        let value = |key: &str| {
            let rest = line.text.split(key).nth(1)?;
            rest.split_whitespace().next().map(ToString::to_string)
        };
        let position = value("position=").and_then(|text| parse_position(&text));
        let (Some(mode), Some(position)) = (value("mode="), position) else { continue };
        records.push(FollowRecord { run, since: line.at, mode, position });
    }
    records
}

/// When the gateway's process that runs at `now` first followed `position` or a later one; `None` if it has not yet.
pub fn following_since(records: &[FollowRecord], position: Position, now: Instant) -> Option<Instant> {
    let run = records.iter().rev().find(|r| r.since <= now)?.run;
    let followed = records.iter().filter(|r| r.run == run && r.since <= now && r.mode == "following");
    followed.filter(|r| r.position >= position).map(|r| r.since).min()
}

/// The load that a server tolerates after a start, as the platform's settings state it.
#[derive(Debug, Clone, Copy)]
pub struct ColdStartRule {
    /// The share of its full capacity that a server has right after its start.
    pub initial_capacity: f64,
    /// The time until it has its full capacity; it grows linearly until then.
    pub warm_after: Duration,
    /// A server fails when its load stays above this multiple of its present capacity...
    pub overload_multiple: f64,
    /// ...for this long.
    pub window: Duration,
}

impl ColdStartRule {
    /// The heaviest load within any window during the warm-up that began at `started`, as a ratio to the load that the
    /// rule allows there (above 1.0: broken), and the server's age at the window's begin. `capacity` is the rate of a
    /// warm server in requests per second.
    pub fn worst_load(
        &self,
        arrivals: &[Instant],
        started: Instant,
        capacity: f64,
    ) -> Option<(f64, Duration)> {
        let mut arrivals: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= started).collect();
        arrivals.sort_unstable();
        let mut end = 0;
        let mut worst: Option<(f64, Duration)> = None;
        for (i, first) in arrivals.iter().enumerate() {
            let age = *first - started;
            if age > self.warm_after {
                break;
            }
            while arrivals.get(end).is_some_and(|at| *at - *first <= self.window) {
                end += 1;
            }
            // The capacity grows during the window; its value in the middle of the window is used.
            let progress = (age + self.window / 2).as_secs_f64() / self.warm_after.as_secs_f64();
            let share = self.initial_capacity + (1.0 - self.initial_capacity) * progress.min(1.0);
            let allowed = self.overload_multiple * share * capacity * self.window.as_secs_f64();
            // Arrivals are random: three standard deviations of the allowed number are tolerated.
            let ratio = (end - i) as f64 / (allowed + 3.0 * allowed.sqrt()).max(1.0);
            if worst.is_none_or(|(most, _)| ratio > most) {
                worst = Some((ratio, age));
            }
        }
        worst
    }
}

/// All contradictions of a run, one line each. `last` is the group's position at the end of the run. A gateway that
/// is in mode `following` must follow an order at most `fresh` plus `slack` after the order was answered.
pub fn violations(
    orders: &[OrderRecord],
    gateways: &[Vec<FollowRecord>],
    last: Position,
    fresh: Duration,
    slack: Duration,
) -> Vec<String> {
    let mut violations = Vec::new();
    let accepted: Vec<&OrderRecord> = orders.iter().filter(|o| o.position.is_some()).collect();
    let distinct: BTreeSet<Position> = accepted.iter().filter_map(|o| o.position).collect();
    if distinct.len() != accepted.len() {
        violations.push("two orders have the same position".into());
    }
    for a in &accepted {
        // An order that was answered before another one was sent must have the lower position.
        for b in accepted.iter().filter(|b| a.answered_at < b.sent_at && a.position > b.position) {
            violations.push(format!(
                "{:?} was answered before {:?} was sent, but has the higher position",
                a.position, b.position
            ));
        }
        if a.position > Some(last) {
            violations.push(format!("{:?} was accepted, but the group ended at {last:?}", a.position));
        }
    }
    for (g, records) in gateways.iter().enumerate() {
        for pair in records.windows(2) {
            let (before, after) = (&pair[0], &pair[1]);
            if before.run == after.run && after.position < before.position {
                violations.push(format!(
                    "gateway {g} went back from {:?} to {:?}",
                    before.position, after.position
                ));
            }
        }
        for (i, record) in records.iter().enumerate() {
            if record.position > last {
                violations
                    .push(format!("gateway {g} followed {:?}, which was never decided", record.position));
            }
            if record.mode != "following" {
                continue;
            }
            // The gateway followed this position until its next record. An order that was answered more than `fresh`
            // plus `slack` before that is one that it missed.
            let Some(next) = records.get(i + 1).filter(|n| n.run == record.run) else { continue };
            let missed = accepted
                .iter()
                .find(|o| o.position > Some(record.position) && o.answered_at + fresh + slack < next.since);
            if let Some(order) = missed {
                let delay = next.since - order.answered_at;
                violations.push(format!(
                    "gateway {g} followed {:?} for {delay:?} after {:?} was answered",
                    record.position, order.position
                ));
            }
        }
    }
    violations
}
