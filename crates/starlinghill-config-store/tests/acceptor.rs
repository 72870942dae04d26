//! The acceptor's task on a disk that fails or hangs: it answers nothing that is not synced.

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
async fn after_a_failed_write_the_acceptor_answers_nothing_until_its_state_is_synced() {
    let (storage, mut requests) = mpsc::unbounded_channel::<SaveRequest>();
    let fails = Arc::new(AtomicBool::new(true));
    let failing = fails.clone();
    std::thread::spawn(move || {
        while let Some(request) = requests.blocking_recv() {
            let error = || StorageError::Corrupt { path: "disk".into(), key: "failed".into() };
            let synced = !failing.load(Ordering::SeqCst);
            let _ = request.done.send(synced.then_some(()).ok_or_else(error));
        }
    });
    let task = LocalSet::new();
    task.run_until(async {
        let members = Members::founding((1..4).map(|i| IpAddr::from([10, 0, 0, i])));
        let acceptor = AcceptorHandle::start(
            Acceptor::new(members.voters[0], members.clone()),
            storage,
            &EssentialTasks::default(),
        );
        let ballot = Ballot { round: 1, proposer: 1 };
        let state = State { members, value: Vec::new() };
        let accept = AcceptorRequest::Accept { ballot, epoch: 0, state };
        assert!(acceptor.call(accept).await.is_none());
        // The accepted state is in memory only: a loss of power would take it back after it was answered.
        assert!(acceptor.call(AcceptorRequest::Read(Ballot::default())).await.is_none());
        fails.store(false, Ordering::SeqCst);
        let reply = acceptor.call(AcceptorRequest::Read(Ballot::default())).await;
        assert!(
            matches!(reply, Some(AcceptorReply::Status { accepted, .. }) if accepted == ballot),
            "{reply:?}"
        );
    })
    .await;
}

#[tokio::test]
async fn while_the_disk_hangs_requests_wait_and_are_then_answered_in_order() {
    let (storage, mut requests) = mpsc::unbounded_channel::<SaveRequest>();
    let task = LocalSet::new();
    task.run_until(async {
        let members = Members::founding((1..4).map(|i| IpAddr::from([10, 0, 0, i])));
        let acceptor = AcceptorHandle::start(
            Acceptor::new(members.voters[0], members.clone()),
            storage,
            &EssentialTasks::default(),
        );
        let ballot = Ballot { round: 1, proposer: 1 };
        let state = State { members, value: Vec::new() };
        let accept = AcceptorRequest::Accept { ballot, epoch: 0, state };
        let (first, second) = (acceptor.clone(), acceptor.clone());
        let accepted = tokio::task::spawn_local(async move { first.call(accept).await });
        let looked =
            tokio::task::spawn_local(
                async move { second.call(AcceptorRequest::Read(Ballot::default())).await },
            );
        // Lets all tasks run as far as they can without the sync.
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        assert!(!accepted.is_finished() && !looked.is_finished());
        let request = requests.try_recv().expect("a save request");
        // The request holds the acceptor's state and the replicated state. No other write starts before it is synced.
        assert!(
            request.state.is_some() && request.acceptor.accepted == ballot && requests.try_recv().is_err()
        );
        request.done.send(Ok(())).expect("the task waits for it");
        let (accepted, looked) = (accepted.await.expect("no panic"), looked.await.expect("no panic"));
        assert!(accepted.is_some(), "{accepted:?}");
        assert!(
            matches!(looked, Some(AcceptorReply::Status { accepted, .. }) if accepted == ballot),
            "{looked:?}"
        );
    })
    .await;
}

#[tokio::test]
async fn a_request_given_up_while_the_disk_hung_is_not_carried_out_later() {
    let (storage, mut requests) = mpsc::unbounded_channel::<SaveRequest>();
    let task = LocalSet::new();
    task.run_until(async {
        let members = Members::founding((1..4).map(|i| IpAddr::from([10, 0, 0, i])));
        let acceptor = AcceptorHandle::start(
            Acceptor::new(members.voters[0], members.clone()),
            storage,
            &EssentialTasks::default(),
        );
        let accept = |round| {
            let (acceptor, ballot) = (acceptor.clone(), Ballot { round, proposer: 1 });
            let state = State { members: members.clone(), value: Vec::new() };
            let accept = AcceptorRequest::Accept { ballot, epoch: 0, state };
            tokio::task::spawn_local(async move { acceptor.call(accept).await })
        };
        let in_progress = accept(1);
        tokio::task::yield_now().await;
        let given_up: Vec<_> = (2..20).map(accept).collect();
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        given_up.iter().for_each(|call| call.abort());
        let request = requests.try_recv().expect("a save request");
        request.done.send(Ok(())).expect("the task waits for it");
        assert!(in_progress.await.expect("no panic").is_some());
        let reply = acceptor.call(AcceptorRequest::Read(Ballot::default())).await;
        let first = Ballot { round: 1, proposer: 1 };
        assert!(
            matches!(reply, Some(AcceptorReply::Status { accepted, .. }) if accepted == first),
            "{reply:?}"
        );
        assert!(requests.try_recv().is_err(), "a request that was given up was written");
    })
    .await;
}

#[tokio::test]
async fn the_acceptor_task_ends_if_the_writer_thread_has_ended() {
    let (storage, requests) = mpsc::unbounded_channel::<SaveRequest>();
    drop(requests);
    let task = LocalSet::new();
    task.run_until(async {
        let members = Members::founding((1..4).map(|i| IpAddr::from([10, 0, 0, i])));
        let (essentials, mut first_ended) = EssentialTasks::new();
        let acceptor =
            AcceptorHandle::start(Acceptor::new(members.voters[0], members.clone()), storage, &essentials);
        let state = State { members, value: Vec::new() };
        let accept = AcceptorRequest::Accept { ballot: Ballot { round: 1, proposer: 1 }, epoch: 0, state };
        assert!(acceptor.call(accept).await.is_none());
        assert_eq!(first_ended.wait().await, "vote");
    })
    .await;
}
