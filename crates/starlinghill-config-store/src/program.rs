//! The store as a process: opens the disk, starts the tasks, and answers requests.

use crate::acceptor::AcceptorHandle;
use crate::disk::{self, SaveRequest, Storage, StorageError, StorageQueue, StoredState};
use crate::member_replacement::MembershipTimes;
use crate::proposer::StoreNode;
use crate::wire::{StoreRequest, StoreResponse, Value};
use snafu::{OptionExt, ResultExt, Snafu};
use starlinghill_config_model::{refused_changes, Item};
use starlinghill_consensus::{Acceptor, Member, Members};
use starlinghill_lease::contact::StalenessBudget;
use starlinghill_runtime::essential_tasks::EssentialTasks;
use starlinghill_runtime::net::{self, NetworkHandle};
use starlinghill_runtime::rpc::serve;
use starlinghill_runtime::settings::{NodeSettings, SettingsError};
use starlinghill_runtime::signals::{SettingsUpdates, Signals};
use starlinghill_runtime::CONFIG_STORE_PORT_OFFSET;
use std::future::Future;
use std::net::IpAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep, Instant};

/// The pause before a disk that could not be opened is tried again.
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Part of the least time between two changes of members. A registry may use a set of members for as long as its store's
/// quorum contact is valid, a long poll lasts, and a lease runs. This covers the lease, which is 0.56 s.
const REGISTRY_LEASE: Duration = Duration::from_millis(600);

/// Why a store can't start, or had to end.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The settings are invalid.
    #[snafu(display("{source}"))]
    Settings {
        /// The error in the settings.
        source: SettingsError,
    },
    /// The settings name no data directory.
    #[snafu(display("self.data_dir: found nothing, allowed: a folder on a disk"))]
    NoDataDir,
    /// The first write to the disk failed.
    #[snafu(display("{source}"))]
    Storage {
        /// The disk's error.
        source: StorageError,
    },
    /// An essential task has ended.
    #[snafu(display("the task {task} ended"))]
    Task {
        /// The name of the task.
        task: &'static str,
    },
    /// The disk's writer thread has ended.
    #[snafu(display("the thread that writes to the disk has ended"))]
    WriterGone,
    /// A call to the operating system failed.
    #[snafu(display("{action}: {source}"))]
    System {
        /// What was attempted, and on what.
        action: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// Runs until SIGTERM. The process may then end at once, since all that it answered from is on disk.
pub async fn run(signals: Signals) -> Result<(), StartError> {
    run_on(net::tcp(), signals).await
}

/// Like [`run`], on a given network.
pub async fn run_on(net: NetworkHandle, mut signals: Signals) -> Result<(), StartError> {
    let reread = signals.settings_updates();
    let node = NodeSettings::from_environment().context(SettingsSnafu)?;
    let folder = node.data_dir.clone().ok_or(StartError::NoDataDir)?;
    std::fs::create_dir_all(&folder).context(SystemSnafu { action: folder.display().to_string() })?;
    let end = signals.wait_for_shutdown();
    tokio::pin!(end);
    let (storage, stored) = tokio::select! {
        () = &mut end => return Ok(()),
        opened = open(&folder, node.ip) => opened,
    };
    // Corrupt files mean a lost disk, even at the system's first start: this store must not start as a founder, which would
    // forget its promises.
    let node = NodeSettings { first_start: node.first_start && !storage.is_lost(), ..node };
    run_store(&node, &net, reread, stored, disk::spawn_writer(storage), end).await
}

/// Opens the disk, and retries while it fails: ending the process would not help.
async fn open(folder: &Path, own_ip: IpAddr) -> (Storage, Option<StoredState>) {
    loop {
        match Storage::open(folder, own_ip) {
            Ok(opened) => return opened,
            Err(error) => log::error!("event=disk_failed at=start error=\"{error}\""),
        }
        sleep(OPEN_RETRY_DELAY).await;
    }
}

/// Runs a store until `end`. `stored` is the state from its disk, `storage` takes the writes.
pub async fn run_store(
    node: &NodeSettings,
    net: &NetworkHandle,
    reread: SettingsUpdates,
    stored: Option<StoredState>,
    storage: StorageQueue,
    end: impl Future<Output = ()>,
) -> Result<(), StartError> {
    tokio::pin!(end);
    let address = node.internal_address(node.ip, CONFIG_STORE_PORT_OFFSET);
    let listener =
        net.listen(address).await.context(SystemSnafu { action: format!("listen on {address}") })?;
    let seeds = |node: &NodeSettings| -> Vec<IpAddr> { node.seeds.iter().map(|seed| seed.ip()).collect() };
    let had_state = stored.is_some();
    let acceptor = match stored {
        Some(stored) => Acceptor::restore(stored.acceptor, stored.state),
        None => {
            let seeds = seeds(node);
            tokio::select! {
                () = &mut end => return Ok(()),
                new = initialize(node, &seeds, &storage) => new?,
            }
        }
    };
    let (me, members) = (acceptor.me(), &acceptor.metadata().members);
    log::info!(
        "event=start program=patternbook node={} incarnation={:x} epoch={} voters={} votes={} was_empty={} first={}",
        node.name,
        me.incarnation,
        members.epoch,
        members.voters.len(),
        members.contains(me),
        !had_state,
        node.first_start
    );
    let (essentials, mut first_ended) = EssentialTasks::new();
    let acceptor = AcceptorHandle::start(acceptor, storage, &essentials);
    let proposer_id = fastrand::u32(1..);
    let budget = StalenessBudget::from_apply_bound(node.bounds.apply);
    let registry_delay = budget.max_contact_age + budget.store_long_poll + REGISTRY_LEASE;
    let times = MembershipTimes::of(node.bounds.sync_time, registry_delay);
    let store = Rc::new(StoreNode::new(net, acceptor, address.port(), proposer_id, times, budget));
    essentials.spawn("follow", store.clone().follow());
    // The seeds of a reloaded settings file replace the first ones.
    let (first_seeds, latest_seeds) = (seeds(node), move || reread.borrow().as_deref().map(seeds));
    let current_seeds = move || latest_seeds().unwrap_or_else(|| first_seeds.clone());
    essentials.spawn("belong", store.clone().maintain_membership(current_seeds));
    let server = store.clone();
    // Orders are dropped if their caller has gone: the caller may have been refused by another store in the meantime.
    let is_order =
        |request: &StoreRequest| matches!(request, StoreRequest::Apply(_) | StoreRequest::ChangeMembers(_));
    let handler = move |request, _| {
        let store = server.clone();
        async move { answer(request, &store, budget).await }
    };
    essentials.spawn("calls", serve(listener, node.max_peers(), is_order, handler));
    tokio::select! {
        biased;
        () = &mut end => {}
        task = first_ended.wait() => return TaskSnafu { task }.fail(),
    }
    store.hand_over().await;
    Ok(())
}

/// Creates the acceptor for an empty disk. At the system's first start the seeds are the founding members, with incarnation
/// 0. Otherwise this is a new incarnation that knows of no members yet.
async fn initialize(
    node: &NodeSettings,
    seeds: &[IpAddr],
    storage: &StorageQueue,
) -> Result<Acceptor<Value>, StartError> {
    let founders = Members::founding(seeds.iter().copied());
    let is_founder = node.first_start && founders.member_at(node.ip).is_some();
    let incarnation = if is_founder { 0 } else { fastrand::u64(1..u64::MAX) };
    let members = if node.first_start { founders } else { Members::default() };
    let acceptor = Acceptor::new(Member { ip: node.ip, incarnation }, members);
    // Saved before the first answer: an incarnation must remember everything that it has promised.
    let (done, synced) = oneshot::channel();
    let (own_state, state) = (acceptor.metadata().clone(), Some(acceptor.state().clone()));
    // If the writer thread has ended, `done` is dropped, and the next line reports it.
    let _ = storage.send(SaveRequest { acceptor: own_state, state, done });
    synced.await.ok().context(WriterGoneSnafu)?.context(StorageSnafu)?;
    Ok(acceptor)
}

async fn answer(request: StoreRequest, store: &Rc<StoreNode>, budget: StalenessBudget) -> StoreResponse {
    match request {
        StoreRequest::Acceptor(to, request) => {
            let reply = store.call_own_acceptor(to, request).await;
            reply.map_or(StoreResponse::Unavailable, StoreResponse::Acceptor)
        }
        StoreRequest::Members => {
            let (members, ballot) = store.members();
            StoreResponse::Members(members, ballot)
        }
        StoreRequest::Apply(body) => StoreResponse::Applied(store.change(&body).await),
        StoreRequest::Read => {
            let items = store.read().await;
            items.map_or(StoreResponse::Unavailable, |items| StoreResponse::Items(for_registries(&items)))
        }
        StoreRequest::Changes(have, was_fresh) => {
            let asked = Instant::now();
            let (mut chosen, mut fresh) = (store.chosen(), store.fresh());
            // Answers when there is something new, or at the end of the long poll with what is known then.
            tokio::select! {
                biased;
                _ = chosen.wait_for(|known| known.0 != have) => {}
                _ = fresh.wait_for(|fresh| *fresh && !was_fresh) => {}
                () = sleep(budget.store_long_poll) => {}
            }
            let ballot = chosen.borrow().0;
            let items = store.changes_since(have).map(|items| for_registries(&items));
            let (members, proposed) = (store.members().0, store.proposed_members());
            let (contact, is_voter) = (store.contact(asked), members.contains(store.me));
            StoreResponse::Changes { ballot, contact, members, is_voter, proposed, items }
        }
        StoreRequest::Join(candidate) => StoreResponse::Membership(store.admit(candidate).await),
        StoreRequest::LastHeard => {
            let ms = |(member, ago): (Member, Duration)| (member, ago.as_millis() as u64);
            StoreResponse::LastHeard(store.last_heard().into_iter().map(ms).collect())
        }
        StoreRequest::ChangeMembers(order) => StoreResponse::Membership(store.order(order).await),
        StoreRequest::Status => StoreResponse::Status(store.membership_status()),
    }
}

/// Leaves out what only stores need: the version histories and the record of refused changes.
fn for_registries(items: &Value) -> Value {
    items.iter().filter(|item| !refused_changes::is_record(item)).map(Item::without_history).collect()
}
