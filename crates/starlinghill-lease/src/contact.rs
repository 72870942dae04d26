//! Contact with a majority before anything is said: how old a majority's word may be, and what an answer needs.
//!
//! A store hears the word of a majority of voters, the registry beside it passes it on, and a gateway begins to serve by
//! it. What is passed on is the word's age: ages add up on the way, where spans that each one counts for itself would.
//! Times are those of a steady clock, counted from the start of each process: one that stood still finds that they went on.

use bitcode::{Decode, Encode};
use std::time::Duration;

/// Whoever orders something goes elsewhere after so much silence, as the protocol says.
pub const CALLER_TIMEOUT: Duration = Duration::from_secs(1);
/// A registry answers an order within this, counted from when it has read it: what is left are two round trips between
/// regions, of 40 ms each, and the turns of a processor of which a process may have a third.
pub const ORDER_RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);
/// The store tries for so long to have a change agreed on; the rest is the registry's way to it and back.
pub const ORDER_COMMIT_TIMEOUT: Duration = Duration::from_millis(700);
/// A store that says nothing to an order for so long is not waited for: the next one is asked as well. The agreement takes
/// some 10 ms, and two round trips between regions.
pub const ORDER_HEDGE_DELAY: Duration = Duration::from_millis(250);

/// The times between a majority's word and those who go by it, worked out from the rules' bound on a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StalenessBudget {
    /// The bound: what was confirmed is in force within this.
    pub apply_bound: Duration,
    /// How often a store looks at the others.
    pub poll_interval: Duration,
    /// The same while it has no majority's word, as after a start: gateways wait for it.
    pub retry_interval: Duration,
    /// A voter that says nothing for so long is gone on without. The disk takes some 5 ms, and stalls for seconds.
    pub voter_timeout: Duration,
    /// How long a registry's question to its store waits for news.
    pub store_long_poll: Duration,
    /// How long a gateway's question to a registry waits for news.
    pub registry_long_poll: Duration,
    /// When a question to a store or to a registry is given up.
    pub request_timeout: Duration,
    /// The oldest word of a majority that anybody goes by, over whatever ways it came.
    pub max_contact_age: Duration,
}

impl StalenessBudget {
    /// From the rules' bound.
    pub const fn from_apply_bound(apply: Duration) -> StalenessBudget {
        StalenessBudget {
            apply_bound: apply,
            poll_interval: hundredths(apply, 10),
            retry_interval: hundredths(apply, 2),
            voter_timeout: hundredths(apply, 14),
            store_long_poll: hundredths(apply, 16),
            registry_long_poll: hundredths(apply, 20),
            request_timeout: hundredths(apply, 40),
            max_contact_age: hundredths(apply, 60),
        }
    }

    /// How old a word gets at a registry that reaches a majority, with one voter silent: the store's next look waits for
    /// that one, and the registry's next question for the store.
    pub fn typical_contact_age(&self) -> Duration {
        self.poll_interval + self.voter_timeout + self.store_long_poll
    }

    /// A change whose confirmer died right behind its answer is known to all stores within this: they see it twice, wait for
    /// the dead one each time, and settle it. Registries and gateways wait for that word with open questions.
    pub fn settled_after_crash(&self) -> Duration {
        (self.poll_interval + self.voter_timeout) * 2 + ORDER_COMMIT_TIMEOUT
    }

    /// The same of a change that stores have, where a question on its way was lost.
    pub fn known_after_lost_request(&self) -> Duration {
        self.poll_interval + self.voter_timeout + self.request_timeout
    }

    /// Whether a store or registry may say that it has all that was confirmed, where a majority's word is so old. Else it says
    /// that it can't vouch for what it tells.
    pub fn is_fresh(&self, age: Option<Duration>) -> bool {
        age.is_some_and(|age| age <= self.max_contact_age)
    }

    /// Whether a gateway that has just started may serve: a majority vouched for its configuration, and it was told all by
    /// so many of the registries that one of them has noted each drain which was confirmed. Else it is not ready.
    pub fn may_start_serving(&self, age: Option<Duration>, told_by: usize, registries: usize) -> bool {
        self.is_fresh(age) && is_majority(told_by, registries)
    }
}

const fn hundredths(of: Duration, parts: u64) -> Duration {
    Duration::from_micros(of.as_micros() as u64 / 100 * parts)
}

/// So many of them all are one of two groups that have one in common.
pub fn is_majority(some: usize, of: usize) -> bool {
    some > of / 2
}

/// Whether a registry may confirm that a backend drains, or has left: so many registries have noted it, this one included.
/// Else the caller is told to go elsewhere (503).
pub fn may_confirm_drain(noted: usize, registries: usize) -> bool {
    is_majority(noted, registries)
}

/// A majority's word as it goes from one process to the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct QuorumContact {
    /// How old it was when it was passed on.
    age_ms: u32,
    /// How long the question had been waiting there.
    held_ms: u32,
}

/// A majority's word as one process has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LastQuorumContact {
    /// By this process's clock.
    at: Duration,
    /// How old it was then, at the most.
    older: Duration,
}

impl LastQuorumContact {
    /// The majority itself answered what was asked at that moment: nothing older is missing.
    pub fn from_majority(asked: Duration) -> LastQuorumContact {
        LastQuorumContact { at: asked, older: Duration::ZERO }
    }

    /// Another process passed it on, in answer to what was asked at that moment. All of the way counts as the word's age,
    /// but for the time that the question is known to have waited.
    pub fn from_peer(contact: QuorumContact, asked: Duration, now: Duration) -> LastQuorumContact {
        let at = (asked + Duration::from_millis(contact.held_ms.into())).min(now);
        LastQuorumContact { at, older: Duration::from_millis(contact.age_ms.into()) }
    }

    /// How old it is.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.at) + self.older
    }

    /// Passes it on, in answer to a question that came at that moment.
    pub fn to_peer(&self, now: Duration, asked: Duration) -> QuorumContact {
        let ms = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        let age = self.age(now) + Duration::from_millis(1);
        QuorumContact { age_ms: ms(age), held_ms: ms(now.saturating_sub(asked)) }
    }

    /// The newer one of what is known and what was heard now.
    pub fn newest(
        known: Option<LastQuorumContact>,
        heard: Option<LastQuorumContact>,
        now: Duration,
    ) -> Option<LastQuorumContact> {
        [known, heard].into_iter().flatten().min_by_key(|contact| contact.age(now))
    }
}
