//! Routes by class: what a proxy is to do with a request so that the rules hold there as they do here.

use starlinghill_decision::api::*;
use starlinghill_decision::POLICY_CONSTANTS;
use starlinghill_settings::NamedSettings;

/// The least time between the last moment at which a repeat may go out and the end of its key's window.
const WINDOW_MARGIN: Micros = Micros(100_000);
/// The most attempts for a request, whatever the settings say.
const MOST_ATTEMPTS: usize = 3;

/// When a proxy may send a request again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryOn {
    /// Only what certainly never ran: no connection, or turned away unseen.
    NeverRan,
    /// Whatever failed, also what may have run.
    Failed,
}

/// One class as proxies route it.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassRoute {
    /// Its name, as `X-Call-Class` tells it.
    pub name: String,
    /// Its method.
    pub method: &'static str,
    /// After this the proxy answers, whatever is out; no attempt begins later.
    pub timeout: Micros,
    /// An attempt is given up after this, where another may follow.
    pub per_try: Option<Micros>,
    /// Attempts beyond the first.
    pub retries: u32,
    /// Which failures they may follow.
    pub retry_on: RetryOn,
}

/// The routes of all classes, by name.
pub fn routes(site: &NamedSettings) -> Vec<ClassRoute> {
    let set = &site.settings;
    let further = set.max_attempts.clamp(1, MOST_ATTEMPTS) as u32 - 1;
    let mut routes: Vec<ClassRoute> = site
        .classes
        .iter()
        .map(|(name, &i)| {
            let class = &set.classes[i];
            // A proxy knows no groups of servers: only keys that every server holds may be sent again there.
            let anywhere = class.effect == Effect::Keyed && class.group == Group::All;
            let retry_on = match class.effect {
                Effect::Safe => RetryOn::Failed,
                Effect::Keyed if anywhere && class.window > WINDOW_MARGIN => RetryOn::Failed,
                _ => RetryOn::NeverRan,
            };
            // The route's time bounds the last attempt's start as well: it ends before the first one's key is
            // forgotten.
            let timeout = match (class.effect, retry_on) {
                (Effect::Keyed, RetryOn::Failed) => class.deadline.min(class.window - WINDOW_MARGIN),
                _ => class.deadline,
            };
            let early = class.target.times(1.0 - POLICY_CONSTANTS.retry_reserve);
            let per_try =
                (retry_on == RetryOn::Failed && further > 0 && !class.stream).then_some(early.min(timeout));
            let method = if class.effect == Effect::Safe { "GET" } else { "POST" };
            ClassRoute { name: name.clone(), method, timeout, per_try, retries: further, retry_on }
        })
        .collect();
    routes.sort_by(|a, b| a.name.cmp(&b.name));
    routes
}
