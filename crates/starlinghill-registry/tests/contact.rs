//! What a registry vouches for, in virtual time: the age of a majority's word goes on counting while questions wait, and
//! while the process stands still.

use starlinghill_catalog::Gateway;
use starlinghill_lease::contact::{LastQuorumContact, StalenessBudget};
use starlinghill_registry::state::{self, Command, Owner};
use starlinghill_registry::wire::{KnownState, RegistryRequest, RegistryResponse, RegistryUpdate};
use starlinghill_runtime::essential_tasks::EssentialTasks;
use starlinghill_runtime::settings::{Bounds, NodeSettings};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::time::{advance, Instant};

const APPLY: Duration = Duration::from_millis(2_500);

fn node() -> NodeSettings {
    NodeSettings {
        name: "core-1".into(),
        ip: [10, 0, 0, 1].into(),
        zone: "zone-1".into(),
        first_start: false,
        data_dir: None,
        memory_mb: 256,
        open_files: 1_024,
        local_ports: (7_560, 7_575),
        seeds: Vec::new(),
        front: None,
        ready: None,
        control: None,
        beat: Duration::from_millis(1_500),
        bounds: Bounds {
            drain: Duration::from_millis(2_500),
            apply: APPLY,
            grace: Duration::from_secs(6),
            retry_ratio: 0.2,
            retry_extra: 62.0,
            sync_time: Duration::from_secs(4),
            quota_window: Duration::from_secs(5),
            quota_excess: 0.1,
            quota_extra: 20.0,
        },
    }
}

async fn ask(owner: &Owner, rack: u64, seq: u64) -> RegistryUpdate {
    let gateway =
        Gateway { ip: [10, 0, 1, 1].into(), incarnation: 7, zone: String::new(), node: String::new() };
    let (time, term, leaving, digest, seen) = (0, 0, false, 0, Vec::new());
    let have = KnownState { gateway, rack, seq, time, term, leaving, digest, seen };
    let (reply, answer) = oneshot::channel();
    assert!(owner.send(Command::Ask(RegistryRequest::News(have), reply)).await.is_ok());
    let Ok(RegistryResponse::News(news)) = answer.await else { panic!("it tells news") };
    *news
}

/// The store passes on a word that a majority gave so long ago.
async fn store_says(owner: &Owner, ago: Duration) {
    let majority = LastQuorumContact::from_majority(Duration::ZERO);
    let contact = Some(majority.to_peer(ago, ago));
    assert!(owner.send(Command::Store(None, contact, Instant::now())).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_registry_vouches_for_no_word_that_is_older_than_the_chain_allows() {
    let task = LocalSet::new();
    task.run_until(async {
        let owner = state::start(&node(), &EssentialTasks::default());
        assert!(ask(&owner, 0, 0).await.contact.is_none(), "nothing was heard yet");
        // The oldest that a store went by before; the registry went by it for 1.5 s more.
        let ago = Duration::from_millis(899);
        let heard = Instant::now();
        store_says(&owner, ago).await;
        let mut oldest = Duration::ZERO;
        for _ in 0..100 {
            if ask(&owner, 0, 0).await.contact.is_some() {
                oldest = ago + heard.elapsed();
            }
            advance(Duration::from_millis(40)).await;
        }
        let chain = StalenessBudget::from_apply_bound(APPLY);
        assert!(
            oldest <= chain.max_contact_age && oldest + chain.poll_interval >= chain.max_contact_age,
            "{oldest:?}"
        );
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_question_that_waits_is_answered_with_the_word_s_age_of_then() {
    let task = LocalSet::new();
    task.run_until(async {
        let owner = state::start(&node(), &EssentialTasks::default());
        let (ago, start) = (Duration::from_millis(200), Instant::now());
        store_says(&owner, ago).await;
        let known = ask(&owner, 0, 0).await;
        let ticking = owner.clone();
        tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(60)).await;
                let (reply, due) = oneshot::channel();
                assert!(ticking.send(Command::Tick(reply)).await.is_ok() && due.await.is_ok());
            }
        });
        let asked = Instant::now();
        let news = ask(&owner, known.rack, known.seq).await;
        assert!(
            asked.elapsed() >= StalenessBudget::from_apply_bound(APPLY).registry_long_poll,
            "it waited {:?}",
            asked.elapsed()
        );
        let (asked, now) = (asked.duration_since(start), start.elapsed());
        let heard = news.contact.map(|word| LastQuorumContact::from_peer(word, asked, now).age(now));
        let (heard, age) = (heard.expect("still young"), ago + now);
        assert!(heard >= age && heard <= age + Duration::from_millis(5), "{heard:?} of {age:?}");
    })
    .await;
}
