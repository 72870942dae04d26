//! Following the list of backends that discovery keeps: what to ask and when, and which answers to believe. Pure: who owns the
//! socket asks for the next [`DiscoveryCall`], makes it, and tells what came of it.
//!
//! What one gateway does here all of them do, and often at once: after a release, or when discovery comes back, a hundred of
//! them ask in the same moment. So the first call of a gateway that knows a list is put off by chance, it asks for what
//! changed since that list, which costs discovery least, and calls that fail back off exponentially with jitter, further the
//! more gateways there are. A discovery that can take one call of every gateway in some seconds then comes to answer them all.
//!
//! None of this serves where each gateway has an agent of its own, which is sent what changes unasked ([`Source::Agent`]). What
//! the agent holds counts as told from the moment the gateway could have asked, and waiting only spends the time there is to
//! leave a server that drains.

#![forbid(unsafe_code)]

use std::time::Duration;

/// The pause after a first failed call of a gateway that is one of a few. Short: a drain may be waiting to be told.
const PAUSE: Duration = Duration::from_millis(100);
/// Gateways that may pause so shortly; of more, each pauses longer in proportion.
const FEW: u32 = 8;
/// The longest pause is so many of the first.
const DOUBLINGS: u32 = 3;
/// The first calls of gateways that know a list are spread over so long for each of them.
const SPREAD: Duration = Duration::from_millis(10);
/// How long a gateway that knows a list waits for news of it before it serves by that: one of a few, and one of many, whose
/// fleet discovery could not answer in such a time.
const WAIT: Duration = Duration::from_secs(1);
const WAIT_OF_MANY: Duration = Duration::from_millis(100);

/// A call to make.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DiscoveryCall {
    /// After so long.
    pub after: Duration,
    /// For what changed since that version, as a watch; `None`: for the whole list.
    pub since: Option<u64>,
}

/// What answers the calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// An agent beside the gateway, which is sent what changes and answers at once.
    Agent,
    /// One service for all gateways, of fixed capacity.
    Shared,
}

/// What to do with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It follows from what is held.
    Apply,
    /// It does not; the list held stays, and the whole one is asked for.
    Discard,
}

/// One gateway's following of the list.
#[derive(Debug, Clone)]
pub struct Follower {
    rng: fastrand::Rng,
    pause: Duration,
    revision: Option<u64>,
    failures: u32,
    after: Duration,
}

impl Follower {
    /// At the start of one of so many gateways, which may know a list of some version from before.
    pub fn new(seed: u64, source: Source, gateways: u32, known: Option<u64>) -> Follower {
        let mut rng = fastrand::Rng::with_seed(seed);
        // One of a few asks for all, which is answered at once; what a hundred whole lists cost, discovery may not have.
        let known = known.filter(|_| gateways > FEW);
        let sharing = if source == Source::Shared { gateways } else { 1 };
        let many = known.is_some() && sharing > FEW;
        let after = if many { (SPREAD * sharing).mul_f64(rng.f64()) } else { Duration::ZERO };
        let pause = PAUSE.mul_f64((f64::from(sharing) / f64::from(FEW)).max(1.0));
        Follower { rng, pause, revision: known, failures: 0, after }
    }

    /// How long to wait for the first answer before the list that is known counts.
    pub fn first_answer_timeout(&self) -> Duration {
        if self.revision.is_some() {
            WAIT_OF_MANY
        } else {
            WAIT
        }
    }

    /// The next call.
    pub fn next_call(&self) -> DiscoveryCall {
        DiscoveryCall { after: self.after, since: self.revision }
    }

    /// An answer came.
    pub fn answered(&mut self, revision: u64, complete: bool) -> Verdict {
        // Guards against a stale answer that would undo a drain already told, and against changes to a list that is not held.
        let older = self.revision.is_some_and(|held| revision < held);
        if older || self.revision.is_none() && !complete {
            self.revision = None;
            self.back_off();
            return Verdict::Discard;
        }
        (self.revision, self.failures, self.after) = (Some(revision), 0, Duration::ZERO);
        Verdict::Apply
    }

    /// A call failed: no answer, not in time, turned away, or not a list.
    pub fn failed(&mut self) {
        self.back_off();
    }

    /// Discovery is somewhere else, and may number its versions anew.
    pub fn reset(&mut self) {
        (self.revision, self.failures, self.after) = (None, 0, Duration::ZERO);
    }

    fn back_off(&mut self) {
        let longest = self.pause * 2u32.pow(self.failures.min(DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        // Half of it by chance: guards against a fleet that asks in step for ever.
        self.after = longest.mul_f64(0.5 + 0.5 * self.rng.f64());
    }
}
