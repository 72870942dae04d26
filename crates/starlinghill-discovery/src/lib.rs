//! Follows the list of backends that a discovery service keeps: which calls to make and when, and which
//! answers to apply. There is no I/O here. The owner of the connection asks for the next [`DiscoveryCall`],
//! makes it, and reports its result.
//!
//! All gateways follow the same list, and often call at the same time: after a release, or when discovery
//! is available again. So a gateway that already knows a list delays its first call by a random time and
//! asks only for changes since that list, which is cheapest for discovery. After failed calls it waits
//! exponentially longer with jitter, and longer the more gateways there are. If discovery can take one call
//! per gateway every few seconds, it can answer all of them.
//!
//! None of this applies if each gateway has its own agent that is sent all changes ([`Source::Agent`]). An
//! agent can answer every gateway at once, so a delay would only use up the time in which requests must
//! stop going to a draining server.

#![forbid(unsafe_code)]

use std::time::Duration;

/// The longest wait after a first failed call if there are at most [`FEW`] gateways. It is short because a
/// change may say that a server drains.
const BASE_DELAY: Duration = Duration::from_millis(100);
/// The most gateways that may use the base delay. With more, delays grow in proportion to their number.
const FEW: u32 = 8;
/// How often the longest wait doubles with further failures.
const MAX_DOUBLINGS: u32 = 3;
/// First calls of gateways that know a list are spread over this time multiplied by the number of gateways.
const SPREAD_PER_GATEWAY: Duration = Duration::from_millis(10);
/// How long a starting gateway waits for a first answer, if it has no list to ask for changes of.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// The same if it has one. There are then so many gateways that discovery can't answer all of them in such
/// a time.
const FIRST_ANSWER_TIMEOUT_KNOWN: Duration = Duration::from_millis(100);

/// A call to make.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DiscoveryCall {
    /// How long to wait before the call.
    pub after: Duration,
    /// The revision since which changes are requested, as a watch; `None` requests the complete list.
    pub since: Option<u64>,
}

/// What answers the calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The gateway's own agent, which is sent all changes and answers at once.
    Agent,
    /// One service for all gateways, with limited capacity.
    Shared,
}

/// What to do with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Apply it to the known list.
    Apply,
    /// Ignore it and keep the known list; the next call requests the complete one.
    Discard,
}

/// The state of one gateway's calls.
#[derive(Debug, Clone)]
pub struct Follower {
    rng: fastrand::Rng,
    base_delay: Duration,
    revision: Option<u64>,
    failures: u32,
    after: Duration,
}

impl Follower {
    /// Starts one of `gateways` gateways. `known`: the revision of a list that it has from before.
    pub fn new(seed: u64, source: Source, gateways: u32, known: Option<u64>) -> Follower {
        let mut rng = fastrand::Rng::with_seed(seed);
        // Few gateways request the complete list, which is answered at once. Discovery may not have the
        // capacity to send it to a hundred gateways.
        let known = known.filter(|_| gateways > FEW);
        let sharing = if source == Source::Shared { gateways } else { 1 };
        let delayed = known.is_some() && sharing > FEW;
        let after = if delayed { (SPREAD_PER_GATEWAY * sharing).mul_f64(rng.f64()) } else { Duration::ZERO };
        let base_delay = BASE_DELAY.mul_f64((f64::from(sharing) / f64::from(FEW)).max(1.0));
        Follower { rng, base_delay, revision: known, failures: 0, after }
    }

    /// How long to wait for the first answer before the gateway starts with the list that it has.
    pub fn first_answer_timeout(&self) -> Duration {
        if self.revision.is_some() {
            FIRST_ANSWER_TIMEOUT_KNOWN
        } else {
            FIRST_ANSWER_TIMEOUT
        }
    }

    /// The next call to make.
    pub fn next_call(&self) -> DiscoveryCall {
        DiscoveryCall { after: self.after, since: self.revision }
    }

    /// Processes the revision of an answer, and whether it is a complete list or changes.
    pub fn answered(&mut self, revision: u64, complete: bool) -> Verdict {
        // An older answer could return a draining server to service, and changes need a list to apply them
        // to.
        let older = self.revision.is_some_and(|known| revision < known);
        if older || self.revision.is_none() && !complete {
            self.revision = None;
            self.back_off();
            return Verdict::Discard;
        }
        (self.revision, self.failures, self.after) = (Some(revision), 0, Duration::ZERO);
        Verdict::Apply
    }

    /// A call failed: there was no answer in time, or an error, or the answer was not a list.
    pub fn failed(&mut self) {
        self.back_off();
    }

    /// Discovery has a new address and may count its revisions from the start. Requests the complete list
    /// at once.
    pub fn reset(&mut self) {
        (self.revision, self.failures, self.after) = (None, 0, Duration::ZERO);
    }

    fn back_off(&mut self) {
        let longest = self.base_delay * 2u32.pow(self.failures.min(MAX_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        // Half of the wait is random, so that gateways don't keep calling at the same time.
        self.after = longest.mul_f64(0.5 + 0.5 * self.rng.f64());
    }
}
