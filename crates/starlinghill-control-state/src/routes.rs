//! Routes by class: timeouts and retries with which a proxy keeps the same rules as the gateway.

use starlinghill_decision::api::*;
use starlinghill_decision::POLICY_CONSTANTS;
use starlinghill_settings::NamedSettings;

/// The last retry must start at least this long before servers forget the request's idempotency key.
const WINDOW_MARGIN: Micros = Micros(100_000);
/// The most attempts for a request, even if the settings allow more.
const MAX_ATTEMPTS: usize = 3;

/// After which failures a proxy may retry a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryOn {
    /// Only if the request certainly did not run: there was no connection, or the server rejected it
    /// unprocessed.
    NeverRan,
    /// After any failure, even if the request may have run.
    Failed,
}

/// The route for one class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassRoute {
    /// The class's name, as in the `X-Call-Class` header.
    pub name: String,
    /// The HTTP method.
    pub method: &'static str,
    /// The time after which the proxy answers whether attempts are in flight or not. No attempt starts later.
    pub timeout: Micros,
    /// The time limit of an attempt that may be followed by a retry.
    pub per_try: Option<Micros>,
    /// The number of attempts after the first.
    pub retries: u32,
    /// After which failures the request may be retried.
    pub retry_on: RetryOn,
}

/// The routes of all classes, sorted by name.
pub fn routes(site: &NamedSettings) -> Vec<ClassRoute> {
    let set = &site.settings;
    let retries = set.max_attempts.clamp(1, MAX_ATTEMPTS) as u32 - 1;
    let mut routes: Vec<ClassRoute> = site
        .classes
        .iter()
        .map(|(name, &i)| {
            let class = &set.classes[i];
            // Proxies don't know the groups of servers that share keys. So they may retry a request with a
            // key only if all servers share it.
            let shared_by_all = class.effect == Effect::Keyed && class.group == Group::All;
            let retry_on = match class.effect {
                Effect::Safe => RetryOn::Failed,
                Effect::Keyed if shared_by_all && class.window > WINDOW_MARGIN => RetryOn::Failed,
                _ => RetryOn::NeverRan,
            };
            // The timeout also limits when the last attempt starts, which must be before servers forget the
            // key of the first one.
            let timeout = match (class.effect, retry_on) {
                (Effect::Keyed, RetryOn::Failed) => class.deadline.min(class.window - WINDOW_MARGIN),
                _ => class.deadline,
            };
            let leaves_time = class.target.times(1.0 - POLICY_CONSTANTS.retry_reserve);
            let per_try = (retry_on == RetryOn::Failed && retries > 0 && !class.stream)
                .then_some(leaves_time.min(timeout));
            let method = if class.effect == Effect::Safe { "GET" } else { "POST" };
            ClassRoute { name: name.clone(), method, timeout, per_try, retries, retry_on }
        })
        .collect();
    routes.sort_by(|a, b| a.name.cmp(&b.name));
    routes
}
