//! How a registry passes on the age of the store's contact with a majority, in virtual time. The age must keep
//! growing while polls are held open and while the process is stalled; otherwise gateways would rely on outdated
//! items.

use starlinghill_catalog::Gateway;
use starlinghill_lease::contact::{LastQuorumContact, StalenessBudget};
use starlinghill_registry::state::{self, Command, StateHandle};
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

async fn poll(owner: &StateHandle, registry_incarnation: u64, seq: u64) -> RegistryUpdate {
    let gateway =
        Gateway { ip: [10, 0, 1, 1].into(), incarnation: 7, zone: String::new(), node: String::new() };
    let (time, counter_term, leaving, items_digest, sightings) = (0, 0, false, 0, Vec::new());
    let have = KnownState {
        gateway,
        registry_incarnation,
        seq,
        time,
        counter_term,
        leaving,
        items_digest,
        sightings,
    };
    let (reply, answer) = oneshot::channel();
    assert!(owner.send(Command::Request(RegistryRequest::Poll(have), reply)).await.is_ok());
    let Ok(RegistryResponse::Update(update)) = answer.await else { panic!("expected an update") };
    *update
}

/// Sends the contact of a store that had heard a majority `ago` before.
async fn report_store_contact(owner: &StateHandle, ago: Duration) {
    let majority = LastQuorumContact::from_majority(Duration::ZERO);
    let contact = Some(majority.to_peer(ago, ago));
    assert!(owner.send(Command::StoreUpdate(None, contact, Instant::now())).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_registry_passes_on_no_contact_that_is_older_than_the_budget_allows() {
    let task = LocalSet::new();
    task.run_until(async {
        let owner = state::start(&node(), &EssentialTasks::default());
        assert!(poll(&owner, 0, 0).await.contact.is_none(), "no store has reported a contact yet");
        // Just within the age that a store may pass on. A registry that counted from its receipt would use it for 1.5
        // s too long.
        let ago = Duration::from_millis(899);
        let heard = Instant::now();
        report_store_contact(&owner, ago).await;
        let mut oldest = Duration::ZERO;
        for _ in 0..100 {
            if poll(&owner, 0, 0).await.contact.is_some() {
                oldest = ago + heard.elapsed();
            }
            advance(Duration::from_millis(40)).await;
        }
        let budget = StalenessBudget::from_apply_bound(APPLY);
        assert!(
            oldest <= budget.max_contact_age && oldest + budget.poll_interval >= budget.max_contact_age,
            "oldest contact passed on: {oldest:?}"
        );
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_poll_that_was_held_open_is_answered_with_the_age_of_the_contact_at_that_time() {
    let task = LocalSet::new();
    task.run_until(async {
        let owner = state::start(&node(), &EssentialTasks::default());
        let (ago, start) = (Duration::from_millis(200), Instant::now());
        report_store_contact(&owner, ago).await;
        let known = poll(&owner, 0, 0).await;
        let ticking = owner.clone();
        tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(60)).await;
                let (reply, due) = oneshot::channel();
                assert!(ticking.send(Command::Tick(reply)).await.is_ok() && due.await.is_ok());
            }
        });
        let asked = Instant::now();
        let update = poll(&owner, known.registry_incarnation, known.seq).await;
        assert!(
            asked.elapsed() >= StalenessBudget::from_apply_bound(APPLY).registry_long_poll,
            "the poll was held for {:?}",
            asked.elapsed()
        );
        let (asked, now) = (asked.duration_since(start), start.elapsed());
        let heard = update.contact.map(|contact| LastQuorumContact::from_peer(contact, asked, now).age(now));
        let (heard, age) = (heard.expect("recent enough to be passed on"), ago + now);
        assert!(
            heard >= age && heard <= age + Duration::from_millis(5),
            "reported {heard:?}, actual age {age:?}"
        );
    })
    .await;
}
