//! A disk that refuses, or hangs: what was not kept is not told.

use starlinghill_config_store::acceptor::AcceptorHandle;
use starlinghill_config_store::disk::{SaveRequest, StorageError};
use starlinghill_consensus::{Acceptor, AcceptorReply, AcceptorRequest, Ballot, Members, State};
use starlinghill_runtime::essential_tasks::EssentialTasks;
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

#[tokio::test]
async fn a_voter_whose_disk_refused_says_nothing_until_all_that_it_holds_is_kept() {
    let (disk, mut orders) = mpsc::unbounded_channel::<SaveRequest>();
    let refuses = Arc::new(AtomicBool::new(true));
    let refusing = refuses.clone();
    std::thread::spawn(move || {
        while let Some(order) = orders.blocking_recv() {
            let refused = || StorageError::Corrupt { path: "disk".into(), key: "refused".into() };
            let kept = !refusing.load(Ordering::SeqCst);
            let _ = order.done.send(kept.then_some(()).ok_or_else(refused));
        }
    });
    let task = LocalSet::new();
    task.run_until(async {
        let members = Members::first((1..4).map(|i| IpAddr::from([10, 0, 0, i])));
        let keeper = AcceptorHandle::start(
            Acceptor::new(members.voters[0], members.clone()),
            disk,
            &EssentialTasks::default(),
        );
        let ballot = Ballot { round: 1, by: 1 };
        let state = State { members, value: Vec::new() };
        let accept = AcceptorRequest::Accept { ballot, epoch: 0, state };
        assert!(keeper.ask(accept).await.is_none());
        // Whoever counted on what it holds would count on what a loss of power takes.
        assert!(keeper.ask(AcceptorRequest::Look(Ballot::default())).await.is_none());
        refuses.store(false, Ordering::SeqCst);
        let told = keeper.ask(AcceptorRequest::Look(Ballot::default())).await;
        assert!(matches!(told, Some(AcceptorReply::Has { accepted, .. }) if accepted == ballot), "{told:?}");
    })
    .await;
}

#[tokio::test]
async fn while_a_disk_hangs_its_voter_says_nothing_and_then_all_in_turn() {
    let (disk, mut orders) = mpsc::unbounded_channel::<SaveRequest>();
    let task = LocalSet::new();
    task.run_until(async {
        let members = Members::first((1..4).map(|i| IpAddr::from([10, 0, 0, i])));
        let keeper = AcceptorHandle::start(
            Acceptor::new(members.voters[0], members.clone()),
            disk,
            &EssentialTasks::default(),
        );
        let ballot = Ballot { round: 1, by: 1 };
        let state = State { members, value: Vec::new() };
        let accept = AcceptorRequest::Accept { ballot, epoch: 0, state };
        let (first, second) = (keeper.clone(), keeper.clone());
        let accepted = tokio::task::spawn_local(async move { first.ask(accept).await });
        let looked =
            tokio::task::spawn_local(
                async move { second.ask(AcceptorRequest::Look(Ballot::default())).await },
            );
        // All that can happen does, but for the sync.
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        assert!(!accepted.is_finished() && !looked.is_finished());
        let order = orders.try_recv().expect("it is to be written");
        // What is written is the promise and the state, and nothing else was begun behind it.
        assert!(order.state.is_some() && order.acceptor.accepted == ballot && orders.try_recv().is_err());
        order.done.send(Ok(())).expect("somebody waits");
        let (accepted, looked) = (accepted.await.expect("whole"), looked.await.expect("whole"));
        assert!(accepted.is_some(), "{accepted:?}");
        assert!(
            matches!(looked, Some(AcceptorReply::Has { accepted, .. }) if accepted == ballot),
            "{looked:?}"
        );
    })
    .await;
}

#[tokio::test]
async fn what_was_given_up_while_a_disk_hung_is_not_done_behind_it() {
    let (disk, mut orders) = mpsc::unbounded_channel::<SaveRequest>();
    let task = LocalSet::new();
    task.run_until(async {
        let members = Members::first((1..4).map(|i| IpAddr::from([10, 0, 0, i])));
        let keeper = AcceptorHandle::start(
            Acceptor::new(members.voters[0], members.clone()),
            disk,
            &EssentialTasks::default(),
        );
        let accept = |round| {
            let (keeper, ballot) = (keeper.clone(), Ballot { round, by: 1 });
            let state = State { members: members.clone(), value: Vec::new() };
            let accept = AcceptorRequest::Accept { ballot, epoch: 0, state };
            tokio::task::spawn_local(async move { keeper.ask(accept).await })
        };
        let under_way = accept(1);
        tokio::task::yield_now().await;
        let given_up: Vec<_> = (2..20).map(accept).collect();
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        given_up.iter().for_each(|asked| asked.abort());
        let order = orders.try_recv().expect("it is to be written");
        order.done.send(Ok(())).expect("somebody waits");
        assert!(under_way.await.expect("whole").is_some());
        let told = keeper.ask(AcceptorRequest::Look(Ballot::default())).await;
        let first = Ballot { round: 1, by: 1 };
        assert!(matches!(told, Some(AcceptorReply::Has { accepted, .. }) if accepted == first), "{told:?}");
        assert!(orders.try_recv().is_err(), "nobody waits for more");
    })
    .await;
}

#[tokio::test]
async fn a_voter_whose_writer_is_no_more_ends_its_process() {
    let (disk, orders) = mpsc::unbounded_channel::<SaveRequest>();
    drop(orders);
    let task = LocalSet::new();
    task.run_until(async {
        let members = Members::first((1..4).map(|i| IpAddr::from([10, 0, 0, i])));
        let (essentials, mut first_end) = EssentialTasks::new();
        let keeper =
            AcceptorHandle::start(Acceptor::new(members.voters[0], members.clone()), disk, &essentials);
        let state = State { members, value: Vec::new() };
        let accept = AcceptorRequest::Accept { ballot: Ballot { round: 1, by: 1 }, epoch: 0, state };
        assert!(keeper.ask(accept).await.is_none());
        assert_eq!(first_end.name().await, "vote");
    })
    .await;
}
