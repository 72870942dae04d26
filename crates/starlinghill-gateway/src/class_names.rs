//! Classes by the names that clients write, while they change.

use hyper::Method;
use starlinghill_decision::api::{ClassId, Effect, Micros};
use starlinghill_settings::classes::Classes;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// For so long a class that was dropped or changed is still taken as it was: clients follow 1.2 s later, and what they
/// wrote before may be on its way.
const FOLLOW: Duration = Duration::from_secs(2);
/// The platform kills a process that was told to end after the longest deadline, counted as this where it is longer,
const LONGEST_DEADLINE: Duration = Duration::from_secs(3);
/// and 0.7 s, of which the last part is left for writing.
const LAST_ANSWER: Duration = Duration::from_millis(500);

/// A class as a request's head is held to it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Named {
    /// Its place in the module.
    pub id: ClassId,
    /// What it may do.
    pub effect: Effect,
    /// The longest wait.
    pub deadline: Micros,
}

impl Named {
    /// Whether it is asked for in this way.
    pub fn fits(&self, method: &Method) -> bool {
        *method == if self.effect == Effect::Safe { Method::GET } else { Method::POST }
    }
}

/// Classes by name.
pub struct Names {
    now: HashMap<String, Named>,
    /// As they were, and until when that counts.
    before: HashMap<String, (Named, Instant)>,
}

impl Names {
    /// The names at the start.
    pub fn new(classes: &Classes) -> Names {
        Names { now: named(classes), before: HashMap::new() }
    }

    /// Follows new settings.
    pub fn follow(&mut self, classes: &Classes) {
        let old = std::mem::replace(&mut self.now, named(classes));
        let now = Instant::now();
        self.before.retain(|_, (_, until)| now < *until);
        for (name, class) in old {
            if self.now.get(&name) != Some(&class) {
                self.before.insert(name, (class, now + FOLLOW));
            }
        }
    }

    /// The class of that name: as it is, or as it was if that was a moment ago and only that fits the request.
    pub fn get(&self, name: &str, method: &Method) -> Option<Named> {
        let before =
            || self.before.get(name).filter(|(_, until)| Instant::now() < *until).map(|(class, _)| *class);
        let now = self.now.get(name).copied();
        now.filter(|class| class.fits(method))
            .or_else(|| before().filter(|class| class.fits(method)))
            .or(now)
            .or_else(before)
    }

    /// So long after SIGTERM all must be answered.
    pub fn shutdown_limit(&self) -> Duration {
        let longest = self.now.values().map(|class| class.deadline).max().unwrap_or_default();
        Duration::from_micros(longest.0).min(LONGEST_DEADLINE) + LAST_ANSWER
    }
}

fn named(classes: &Classes) -> HashMap<String, Named> {
    let one = |(name, id, class): (&str, ClassId, &starlinghill_decision::api::Class)| {
        (name.to_string(), Named { id, effect: class.effect, deadline: class.deadline })
    };
    classes.by_name().map(one).collect()
}
