//! An order that a registry passes to stores, in virtual time: its caller is answered while it still waits, whatever the
//! store beside the registry does.

use starlinghill_config_store::wire::{ChangeOutcome, StoreResponse};
use starlinghill_lease::contact::{ORDER_COMMIT_TIMEOUT, ORDER_HEDGE_DELAY, ORDER_RESPONSE_TIMEOUT};
use starlinghill_registry::peers::first_clear;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use test_case::test_case;
use tokio::task::LocalSet;
use tokio::time::{sleep, Instant};

/// What a store does with an order.
#[derive(Debug, Clone, Copy)]
enum Does {
    /// It is agreed on after so many milliseconds.
    Takes(u64),
    /// There is no majority: it says so when it has tried for as long as it may.
    Finds,
    /// Nothing comes, as from a machine that is frozen or whose disk hangs.
    Nothing,
    /// Its process is down.
    Down,
    /// It is asked, and its connection breaks: it may take it.
    Breaks,
    /// It is refused, as things stand, after so many milliseconds.
    Refuses(u64),
}
use Does::*;

async fn one(does: Does) -> Option<StoreResponse> {
    match does {
        Takes(ms) => {
            sleep(Duration::from_millis(ms)).await;
            Some(StoreResponse::Applied(ChangeOutcome::Taken))
        }
        Finds => {
            sleep(ORDER_COMMIT_TIMEOUT).await;
            Some(StoreResponse::Applied(ChangeOutcome::Unclear))
        }
        Nothing => std::future::pending().await,
        Down => None,
        Breaks => Some(StoreResponse::Unavailable),
        Refuses(ms) => {
            sleep(Duration::from_millis(ms)).await;
            Some(StoreResponse::Applied(invalid()))
        }
    }
}

fn invalid() -> ChangeOutcome {
    ChangeOutcome::Invalid("a key of another tenant".into())
}

#[test_case(&[Takes(20), Nothing, Nothing], Some(ChangeOutcome::Taken), 20, 1; "the store beside it answers")]
#[test_case(&[Down, Takes(20), Nothing], Some(ChangeOutcome::Taken), 20, 2; "it is down, the next one answers")]
#[test_case(&[Nothing, Takes(20), Nothing], Some(ChangeOutcome::Taken), 270, 2; "it is silent, the next one answers")]
#[test_case(&[Nothing, Nothing, Takes(20)], Some(ChangeOutcome::Taken), 520, 3; "two are silent")]
#[test_case(&[Takes(400), Finds, Nothing], Some(ChangeOutcome::Taken), 400, 2; "it is slow")]
#[test_case(&[Finds, Nothing, Nothing], None, 800, 3; "a side without a majority")]
#[test_case(&[Finds, Down, Down], Some(ChangeOutcome::Unclear), 700, 3; "the others can't be reached")]
#[test_case(&[Down, Down, Down], None, 0, 3; "none is there")]
#[test_case(&[Nothing, Nothing, Nothing], None, 800, 3; "all are silent")]
#[test_case(&[Refuses(20), Nothing, Nothing], Some(invalid()), 20, 1; "it is refused")]
#[test_case(&[Down, Refuses(20), Nothing], Some(invalid()), 20, 2; "it is down, the next one refuses")]
#[test_case(&[Nothing, Refuses(20), Nothing], None, 800, 2; "refused, while one that is silent may take it")]
#[test_case(&[Takes(400), Refuses(20), Nothing], Some(ChangeOutcome::Taken), 400, 2; "refused by one, taken by another")]
#[test_case(&[Breaks, Refuses(20), Nothing], None, 20, 2; "refused, while one that broke off may take it")]
#[test_case(&[Refuses(400), Refuses(20), Nothing], Some(invalid()), 400, 2; "refused by both")]
#[tokio::test(start_paused = true)]
async fn an_order_is_answered_before_its_caller_leaves(
    stores: &'static [Does],
    outcome: Option<ChangeOutcome>,
    after_ms: u128,
    asked: usize,
) {
    let task = LocalSet::new();
    task.run_until(async {
        let (begun, seen) = (Instant::now(), Rc::new(RefCell::new(0)));
        let count = seen.clone();
        let answer = first_clear(stores.len(), ORDER_RESPONSE_TIMEOUT, move |i, _| {
            *count.borrow_mut() += 1;
            one(stores[i])
        });
        let answer = match answer.await {
            Some(StoreResponse::Applied(outcome)) => Some(outcome),
            _ => None,
        };
        let took = begun.elapsed().as_millis();
        // Without a majority it makes no difference whether the store said so or the time ran out: both are 503.
        let clear = |outcome: &Option<ChangeOutcome>| {
            outcome.clone().filter(|outcome| *outcome != ChangeOutcome::Unclear)
        };
        assert_eq!(clear(&answer), clear(&outcome));
        assert!(took >= after_ms && took <= after_ms + 5, "{took} ms");
        assert_eq!(*seen.borrow(), asked);
    })
    .await;
    assert!(ORDER_HEDGE_DELAY * 2 + Duration::from_millis(200) < ORDER_RESPONSE_TIMEOUT);
}
