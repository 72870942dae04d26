//! How old a majority's confirmation may be, and what a process may do on the strength of it.
//!
//! A configuration store learns from a majority of voters that it has every confirmed change. The registry beside it
//! passes this confirmation on, and a gateway starts to serve by it. Each hop passes on the age of the confirmation,
//! and ages add up on the way. Validity spans that each process counted by itself would not add up.
//!
//! Times are of a steady clock, counted from the start of each process. A process that was frozen finds that its clock
//! went on.

use bitcode::{Decode, Encode};
use std::time::Duration;

/// An operator's client tries another registry after this much silence, as the operator protocol says.
pub const CALLER_TIMEOUT: Duration = Duration::from_secs(1);
/// A registry answers an order within this, counted from when it has read the order. The rest of [`CALLER_TIMEOUT`] is
/// for two round trips of 40 ms between regions and for waiting on the processor, of which a process may have a third.
pub const ORDER_RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a store tries to get a change chosen. The rest of [`ORDER_RESPONSE_TIMEOUT`] is for the way between the
/// registry and the store.
pub const ORDER_COMMIT_TIMEOUT: Duration = Duration::from_millis(700);
/// An order is sent to a second store after this much silence of the first. The agreement takes about 10 ms plus two
/// round trips between regions.
pub const ORDER_HEDGE_DELAY: Duration = Duration::from_millis(250);

/// The delays between a majority's confirmation and the processes that rely on it. All are fractions of the bound
/// within which a confirmed change must be in force everywhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StalenessBudget {
    /// The bound: a confirmed change is in force everywhere within this.
    pub apply_bound: Duration,
    /// How often a store polls the other voters.
    pub poll_interval: Duration,
    /// How often it polls them while it has no majority's confirmation, as after a start, since gateways wait for it.
    pub retry_interval: Duration,
    /// How long a store waits for one voter before it goes on without it. A disk write takes about 5 ms, but a disk
    /// may stall for seconds.
    pub voter_timeout: Duration,
    /// How long a store holds a registry's request open to wait for news.
    pub store_long_poll: Duration,
    /// How long a registry holds a gateway's request open to wait for news.
    pub registry_long_poll: Duration,
    /// After this a request to a store or a registry is given up.
    pub request_timeout: Duration,
    /// The greatest age of a confirmation on which any process may rely, over all hops.
    pub max_contact_age: Duration,
}

impl StalenessBudget {
    /// Derives all delays from the bound.
    pub const fn from_apply_bound(apply_bound: Duration) -> StalenessBudget {
        StalenessBudget {
            apply_bound,
            poll_interval: percent_of(apply_bound, 10),
            retry_interval: percent_of(apply_bound, 2),
            voter_timeout: percent_of(apply_bound, 14),
            store_long_poll: percent_of(apply_bound, 16),
            registry_long_poll: percent_of(apply_bound, 20),
            request_timeout: percent_of(apply_bound, 40),
            max_contact_age: percent_of(apply_bound, 60),
        }
    }

    /// The age that a confirmation reaches at a registry that reaches a majority, while one voter is silent: the poll of
    /// the store waits for that voter, and the request of the registry waits for the store.
    pub fn typical_contact_age(&self) -> Duration {
        self.poll_interval + self.voter_timeout + self.store_long_poll
    }

    /// How long it takes until all stores know a change whose confirming store crashed right after its answer. They see
    /// the change in two polls, wait for the crashed store in each, and settle the change. Registries and gateways wait
    /// for that with open requests, so they add no polling delay.
    pub fn settled_after_crash(&self) -> Duration {
        (self.poll_interval + self.voter_timeout) * 2 + ORDER_COMMIT_TIMEOUT
    }

    /// How long it takes until a change that the stores have is known to a process whose request was lost on the way.
    pub fn known_after_lost_request(&self) -> Duration {
        self.poll_interval + self.voter_timeout + self.request_timeout
    }

    /// Whether a store or registry whose confirmation has this age may claim to know every confirmed change. If not, it
    /// has to say that what it reports may be outdated.
    pub fn is_fresh(&self, age: Option<Duration>) -> bool {
        age.is_some_and(|age| age <= self.max_contact_age)
    }

    /// Whether a gateway that has just started may serve. Its configuration must be confirmed, and `answered` of
    /// `registries` must have sent it their catalog: with a majority of them, at least one knows each confirmed drain.
    pub fn may_start_serving(&self, age: Option<Duration>, answered: usize, registries: usize) -> bool {
        self.is_fresh(age) && is_majority(answered, registries)
    }
}

const fn percent_of(whole: Duration, percent: u64) -> Duration {
    Duration::from_micros(whole.as_micros() as u64 / 100 * percent)
}

/// Whether `count` of `total` is a majority, so that any two such groups share a member.
pub fn is_majority(count: usize, total: usize) -> bool {
    count > total / 2
}

/// Whether a registry may confirm that a backend drains or has left: a majority of the registries must have noted it,
/// including this one. If not, the caller is told to try another registry (503).
pub fn may_confirm_drain(noted: usize, registries: usize) -> bool {
    is_majority(noted, registries)
}

/// A majority's confirmation in a message from one process to the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct QuorumContact {
    /// The age of the confirmation when the message was sent, in ms.
    age_ms: u32,
    /// How long the sender had held the recipient's request open, in ms.
    held_ms: u32,
}

/// The newest confirmation by a majority that a process has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LastQuorumContact {
    /// When it was received or asked for, by the clock of this process.
    at: Duration,
    /// The greatest age that it can have had at that moment.
    age_at: Duration,
}

impl LastQuorumContact {
    /// A confirmation by the voters themselves, to a request sent at `asked_at`: every change confirmed before that
    /// moment is known.
    pub fn from_majority(asked_at: Duration) -> LastQuorumContact {
        LastQuorumContact { at: asked_at, age_at: Duration::ZERO }
    }

    /// A confirmation that another process passed on, in reply to a request sent at `asked_at`. The whole time between
    /// request and reply counts towards its age, except for the time in which the peer held the request open.
    pub fn from_peer(contact: QuorumContact, asked_at: Duration, now: Duration) -> LastQuorumContact {
        let at = (asked_at + Duration::from_millis(contact.held_ms.into())).min(now);
        LastQuorumContact { at, age_at: Duration::from_millis(contact.age_ms.into()) }
    }

    /// The greatest age that the confirmation can have now.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.at) + self.age_at
    }

    /// The message that passes it on, in reply to a request that arrived at `received_at`.
    pub fn to_peer(&self, now: Duration, received_at: Duration) -> QuorumContact {
        let ms = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        // Rounded up, so that no hop makes the confirmation look younger.
        let age = self.age(now) + Duration::from_millis(1);
        QuorumContact { age_ms: ms(age), held_ms: ms(now.saturating_sub(received_at)) }
    }

    /// The younger one of the known and the received confirmation.
    pub fn newest(
        known: Option<LastQuorumContact>,
        received: Option<LastQuorumContact>,
        now: Duration,
    ) -> Option<LastQuorumContact> {
        [known, received].into_iter().flatten().min_by_key(|contact| contact.age(now))
    }
}
