//! Changes that a registry forwards to stores, in virtual time. The caller must be answered before its own timeout,
//! even if the local store hangs, and must not be told of a rejection while a store may still accept the change.

use starlinghill_config_store::wire::{ChangeOutcome, StoreResponse};
use starlinghill_lease::contact::{ORDER_COMMIT_TIMEOUT, ORDER_HEDGE_DELAY, ORDER_RESPONSE_TIMEOUT};
use starlinghill_registry::store_calls::{first_conclusive_answer, StoreReply};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use test_case::test_case;
use tokio::task::LocalSet;
use tokio::time::{sleep, Instant};

/// How a simulated store treats a change.
#[derive(Debug, Clone, Copy)]
enum StoreBehavior {
    /// Accepts it after this many milliseconds.
    Accepts(u64),
    /// Reports that there is no majority, once its own time limit has passed.
    NoMajority,
    /// Never answers, like a frozen machine or a hanging disk.
    Silent,
    /// Refuses the connection.
    Unreachable,
    /// Closes the connection this many milliseconds after the request was sent: it may have accepted the change, or ended
    /// because of it.
    ConnectionLost(u64),
    /// Rejects it after this many milliseconds.
    Rejects(u64),
}
use StoreBehavior::*;

async fn simulated_store(behavior: StoreBehavior) -> StoreReply {
    match behavior {
        Accepts(ms) => {
            sleep(Duration::from_millis(ms)).await;
            StoreReply::Answer(StoreResponse::Applied(ChangeOutcome::Taken))
        }
        NoMajority => {
            sleep(ORDER_COMMIT_TIMEOUT).await;
            StoreReply::Answer(StoreResponse::Applied(ChangeOutcome::Unclear))
        }
        Silent => std::future::pending().await,
        Unreachable => StoreReply::NotReached,
        ConnectionLost(ms) => {
            sleep(Duration::from_millis(ms)).await;
            StoreReply::ConnectionLost
        }
        Rejects(ms) => {
            sleep(Duration::from_millis(ms)).await;
            StoreReply::Answer(StoreResponse::Applied(rejection()))
        }
    }
}

fn rejection() -> ChangeOutcome {
    ChangeOutcome::Invalid("a key of another tenant".into())
}

#[test_case(&[Accepts(20), Silent, Silent], Some(ChangeOutcome::Taken), 20, 1; "the local store answers")]
#[test_case(&[Unreachable, Accepts(20), Silent], Some(ChangeOutcome::Taken), 20, 2; "the local store is down and the next one answers")]
#[test_case(&[Silent, Accepts(20), Silent], Some(ChangeOutcome::Taken), 270, 2; "the local store is silent and the next one answers")]
#[test_case(&[Silent, Silent, Accepts(20)], Some(ChangeOutcome::Taken), 520, 3; "two stores are silent and the third answers")]
#[test_case(&[Accepts(400), NoMajority, Silent], Some(ChangeOutcome::Taken), 400, 2; "the local store is slow")]
#[test_case(&[NoMajority, Silent, Silent], None, 800, 3; "no majority and the other stores are silent")]
#[test_case(&[NoMajority, Unreachable, Unreachable], Some(ChangeOutcome::Unclear), 700, 3; "no majority and the other stores are down")]
#[test_case(&[Unreachable, Unreachable, Unreachable], None, 0, 3; "all stores are down")]
#[test_case(&[Silent, Silent, Silent], None, 800, 3; "all stores are silent")]
#[test_case(&[Rejects(20), Silent, Silent], Some(rejection()), 20, 1; "the local store rejects")]
#[test_case(&[Unreachable, Rejects(20), Silent], Some(rejection()), 20, 2; "the local store is down and the next one rejects")]
#[test_case(&[Silent, Rejects(20), Silent], None, 800, 2; "rejected while a silent store may still accept")]
#[test_case(&[Accepts(400), Rejects(20), Silent], Some(ChangeOutcome::Taken), 400, 2; "rejected by one store and accepted by another")]
#[test_case(&[ConnectionLost(300), Rejects(100), Silent], None, 350, 2; "rejected while a store that lost its connection may still accept")]
// Guard against a request that ends one store after the other (FAULT, issue 64).
#[test_case(&[ConnectionLost(1), Rejects(20), Silent], None, 1, 1; "the local store ends and no other one gets the change")]
#[test_case(&[ConnectionLost(1), Accepts(20), Silent], None, 1, 1; "the local store ends though another one would accept")]
#[test_case(&[Unreachable, ConnectionLost(1), Accepts(20)], None, 1, 2; "the second store ends and the third one does not get the change")]
#[test_case(&[Accepts(600), ConnectionLost(1), Accepts(20)], Some(ChangeOutcome::Taken), 600, 2; "the second store ends and the first one still answers")]
#[test_case(&[Rejects(400), Rejects(20), Silent], Some(rejection()), 400, 2; "rejected by both stores")]
#[tokio::test(start_paused = true)]
async fn a_change_is_answered_before_its_caller_times_out(
    stores: &'static [StoreBehavior],
    outcome: Option<ChangeOutcome>,
    after_ms: u128,
    asked: usize,
) {
    let task = LocalSet::new();
    task.run_until(async {
        let (started, asked_stores) = (Instant::now(), Rc::new(RefCell::new(0)));
        let count = asked_stores.clone();
        let answer = first_conclusive_answer(stores.len(), ORDER_RESPONSE_TIMEOUT, move |i, _| {
            *count.borrow_mut() += 1;
            simulated_store(stores[i])
        });
        let answer = match answer.await {
            Some(StoreResponse::Applied(outcome)) => Some(outcome),
            _ => None,
        };
        let took = started.elapsed().as_millis();
        // Both an inconclusive answer and a timeout become a 503.
        let conclusive = |outcome: &Option<ChangeOutcome>| {
            outcome.clone().filter(|outcome| *outcome != ChangeOutcome::Unclear)
        };
        assert_eq!(conclusive(&answer), conclusive(&outcome));
        assert!(took >= after_ms && took <= after_ms + 5, "{took} ms");
        assert_eq!(*asked_stores.borrow(), asked);
    })
    .await;
    assert!(ORDER_HEDGE_DELAY * 2 + Duration::from_millis(200) < ORDER_RESPONSE_TIMEOUT);
}
