//! The audit of a run: what was ordered, what became of it, and what each gateway followed when, held against each
//! other. It knows nothing of how the programs come to it.

use crate::processes::Line;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// A position: generation and epoch.
pub type At = (u64, u64);

/// An order as whoever gave it saw it.
#[derive(Debug, Clone)]
pub struct Ordered {
    /// When it was given.
    pub given: Instant,
    /// When its outcome was known.
    pub answered: Instant,
    /// The position from which it counts; `None`: refused.
    pub at: Option<At>,
}

/// What a gateway followed from a moment on.
#[derive(Debug, Clone)]
pub struct Follows {
    /// Which of its process's lives.
    pub life: usize,
    /// When.
    pub since: Instant,
    /// How: `started` (it knows nothing yet), `following`, `keeping` or `own`.
    pub mode: String,
    /// The position.
    pub at: At,
}

/// From which position an order counts, by what its command printed.
pub fn accepted(printed: &[u8]) -> Option<At> {
    let said = String::from_utf8_lossy(printed);
    let at = said.split("accepted at ").nth(1)?.split(' ').next()?;
    let (generation, epoch) = at.split_once('.')?;
    Some((generation.parse().ok()?, epoch.parse().ok()?))
}

/// What a gateway's log says of it.
pub fn follows(lines: &[Line]) -> Vec<Follows> {
    let mut found = Vec::new();
    let mut life = 0;
    for line in lines {
        if line.text.contains("follows the group") {
            life += 1;
            found.push(Follows { life, since: line.at, mode: "started".into(), at: (0, 0) });
        }
        if !line.text.contains("zones by the group") {
            continue;
        }
        let word = |key: &str| {
            let rest = line.text.split(key).nth(1)?;
            rest.split_whitespace().next().map(ToString::to_string)
        };
        let at = word("position=").and_then(|p| {
            let (generation, epoch) = p.split_once('.')?;
            Some((generation.parse().ok()?, epoch.parse().ok()?))
        });
        let (Some(mode), Some(at)) = (word("mode="), at) else { continue };
        found.push(Follows { life, since: line.at, mode, at });
    }
    found
}

/// Since when a gateway knows of a position at this moment; `None`: its present life was not told of it yet.
pub fn told_since(follows: &[Follows], at: At, now: Instant) -> Option<Instant> {
    let life = follows.iter().rev().find(|f| f.since <= now)?.life;
    let told = follows.iter().filter(|f| f.life == life && f.since <= now && f.mode == "following");
    told.filter(|f| f.at >= at).map(|f| f.since).min()
}

/// How servers bear work after a start, as the platform's settings say it of them.
#[derive(Debug, Clone, Copy)]
pub struct Cold {
    /// The part of its capacity that one has at its start.
    pub from: f64,
    /// When it has all of it.
    pub warm_after: Duration,
    /// It falls over at so many times what it can do at the moment...
    pub multiple: f64,
    /// ...for so long.
    pub within: Duration,
}

impl Cold {
    /// The most that came within any span of the rule's length after a start, against what the rule allows there, and
    /// when that span began. `capacity` is what a warm server bears a second.
    pub fn worst(&self, came: &[Instant], started: Instant, capacity: f64) -> Option<(f64, Duration)> {
        let mut came: Vec<Instant> = came.iter().copied().filter(|at| *at >= started).collect();
        came.sort_unstable();
        let mut end = 0;
        let mut worst: Option<(f64, Duration)> = None;
        for (i, first) in came.iter().enumerate() {
            let age = *first - started;
            if age > self.warm_after {
                break;
            }
            while came.get(end).is_some_and(|at| *at - *first <= self.within) {
                end += 1;
            }
            // Over the span it warms up; its middle stands for it.
            let at = (age + self.within / 2).as_secs_f64() / self.warm_after.as_secs_f64();
            let part = self.from + (1.0 - self.from) * at.min(1.0);
            let allowed = self.multiple * part * capacity * self.within.as_secs_f64();
            // Chance: three deviations of as many as are allowed.
            let share = (end - i) as f64 / (allowed + 3.0 * allowed.sqrt()).max(1.0);
            if worst.is_none_or(|(most, _)| share > most) {
                worst = Some((share, age));
            }
        }
        worst
    }
}

/// What is wrong with a run, one line each.
pub fn wrongs(
    orders: &[Ordered],
    gateways: &[Vec<Follows>],
    last: At,
    fresh: Duration,
    slack: Duration,
) -> Vec<String> {
    let mut wrong = Vec::new();
    let counted: Vec<&Ordered> = orders.iter().filter(|o| o.at.is_some()).collect();
    let distinct: BTreeSet<At> = counted.iter().filter_map(|o| o.at).collect();
    if distinct.len() != counted.len() {
        wrong.push("two orders count from one position".into());
    }
    for a in &counted {
        // An order that was answered before another was given came before it.
        for b in counted.iter().filter(|b| a.answered < b.given && a.at > b.at) {
            wrong.push(format!("{:?} was answered before {:?} was given, and counts after it", a.at, b.at));
        }
        if a.at > Some(last) {
            wrong.push(format!("{:?} was accepted, and the group ended at {last:?}", a.at));
        }
    }
    for (g, follows) in gateways.iter().enumerate() {
        for pair in follows.windows(2) {
            let (before, after) = (&pair[0], &pair[1]);
            if before.life == after.life && after.at < before.at {
                wrong.push(format!("gateway {g} went back from {:?} to {:?}", before.at, after.at));
            }
        }
        for (i, f) in follows.iter().enumerate() {
            if f.at > last {
                wrong.push(format!("gateway {g} followed {:?}, which nobody decided", f.at));
            }
            if f.mode != "following" {
                continue;
            }
            // Until it said something else, or its life ended, it followed this; no order that was answered so long
            // before may be missing.
            let Some(next) = follows.get(i + 1).filter(|n| n.life == f.life) else { continue };
            let late = counted.iter().find(|o| o.at > Some(f.at) && o.answered + fresh + slack < next.since);
            if let Some(order) = late {
                let by = next.since - order.answered;
                wrong.push(format!(
                    "gateway {g} followed {:?} for {by:?} after {:?} was answered",
                    f.at, order.at
                ));
            }
        }
    }
    wrong
}
