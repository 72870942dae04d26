//! Request classes by the names that clients use, while the settings change.

use hyper::Method;
use starlinghill_decision::api::{ClassId, Effect, Micros};
use starlinghill_settings::classes::Classes;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// How long a class that was removed or changed is still accepted as it was. Clients follow new settings
/// after 1.2 s, and requests may be on their way.
const OLD_CLASS_GRACE: Duration = Duration::from_secs(2);
/// The platform kills a process once the longest deadline of its classes and another 0.7 s have passed since
/// SIGTERM. A longer deadline than this counts as this.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// The part of these 0.7 s in which requests may still be answered. The rest is for writing the answers.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(500);

/// What the check of a request needs to know of its class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NamedClass {
    /// Its index in the decision module.
    pub id: ClassId,
    /// The side effects of its requests.
    pub effect: Effect,
    /// The longest time that a client may wait.
    pub deadline: Micros,
}

impl NamedClass {
    /// Whether this is the method for the class: GET for safe requests, POST otherwise.
    pub fn matches(&self, method: &Method) -> bool {
        *method == if self.effect == Effect::Safe { Method::GET } else { Method::POST }
    }
}

/// The classes by name.
pub struct ClassNames {
    current: HashMap<String, NamedClass>,
    /// Removed and changed classes, each with the time until which it is accepted.
    former: HashMap<String, (NamedClass, Instant)>,
}

impl ClassNames {
    /// The names of the initial classes.
    pub fn new(classes: &Classes) -> ClassNames {
        ClassNames { current: by_name(classes), former: HashMap::new() }
    }

    /// Applies new settings.
    pub fn update(&mut self, classes: &Classes) {
        let old = std::mem::replace(&mut self.current, by_name(classes));
        let now = Instant::now();
        self.former.retain(|_, (_, until)| now < *until);
        for (name, class) in old {
            if self.current.get(&name) != Some(&class) {
                self.former.insert(name, (class, now + OLD_CLASS_GRACE));
            }
        }
    }

    /// Finds a class by name. A former version, while still accepted, is used only if the current one does
    /// not match the request's method.
    pub fn get(&self, name: &str, method: &Method) -> Option<NamedClass> {
        let former =
            || self.former.get(name).filter(|(_, until)| Instant::now() < *until).map(|(class, _)| *class);
        let current = self.current.get(name).copied();
        current
            .filter(|class| class.matches(method))
            .or_else(|| former().filter(|class| class.matches(method)))
            .or(current)
            .or_else(former)
    }

    /// How long after SIGTERM all requests must be answered.
    pub fn shutdown_limit(&self) -> Duration {
        let longest = self.current.values().map(|class| class.deadline).max().unwrap_or_default();
        Duration::from_micros(longest.0).min(MAX_DEADLINE) + SHUTDOWN_MARGIN
    }
}

fn by_name(classes: &Classes) -> HashMap<String, NamedClass> {
    let entry = |(name, id, class): (&str, ClassId, &starlinghill_decision::api::Class)| {
        (name.to_string(), NamedClass { id, effect: class.effect, deadline: class.deadline })
    };
    classes.by_name().map(entry).collect()
}
