//! The store as a process.

use crate::acceptor::AcceptorHandle;
use crate::disk::{self, SaveRequest, Storage, StorageError, StorageQueue, StoredState};
use crate::member_replacement::MembershipTimes;
use crate::proposer::Stores;
use crate::wire::{StoreRequest, StoreResponse, Value};
use snafu::{OptionExt, ResultExt, Snafu};
use starlinghill_config_model::Item;
use starlinghill_consensus::{Acceptor, Member, Members};
use starlinghill_lease::contact::StalenessBudget;
use starlinghill_runtime::essential_tasks::EssentialTasks;
use starlinghill_runtime::net::{self, NetworkHandle};
use starlinghill_runtime::rpc::serve;
use starlinghill_runtime::settings::{NodeSettings, SettingsError};
use starlinghill_runtime::signals::{Reread, Signals};
use starlinghill_runtime::CONFIG_STORE_PORT_OFFSET;
use std::future::Future;
use std::net::IpAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep, Instant};

/// The pause before a disk that refused is opened again.
const OPEN_AGAIN: Duration = Duration::from_millis(400);
/// Registries leave a set of members behind within the time that a store's word counts and that a question waits for it,
/// and this: a lease of 0.56 s.
const LEASE: Duration = Duration::from_millis(600);

/// Why a store can't start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// Its settings.
    #[snafu(display("{source}"))]
    Settings {
        /// What is wrong.
        source: SettingsError,
    },
    /// No disk was given.
    #[snafu(display("self.data_dir: found nothing, allowed: a folder on a disk"))]
    Diskless,
    /// Its disk.
    #[snafu(display("{source}"))]
    Storage {
        /// What is wrong.
        source: StorageError,
    },
    /// A task that it can't do without has ended.
    #[snafu(display("the task {task} ended"))]
    Task {
        /// Which one.
        task: &'static str,
    },
    /// Whoever writes to the disk is no more.
    #[snafu(display("nobody writes to the disk"))]
    Gone,
    /// It can't listen, or there is no runtime.
    #[snafu(display("{what}: {source}"))]
    System {
        /// What failed.
        what: String,
        /// How.
        source: std::io::Error,
    },
}

/// Runs until SIGTERM. It ends soon then: all that it said is on disk.
pub async fn run(signals: Signals) -> Result<(), StartError> {
    run_on(net::tcp(), signals).await
}

/// The same, on a network of the caller's.
pub async fn run_on(net: NetworkHandle, mut signals: Signals) -> Result<(), StartError> {
    let reread = signals.reread();
    let node = NodeSettings::from_environment().context(SettingsSnafu)?;
    let folder = node.data_dir.clone().ok_or(StartError::Diskless)?;
    std::fs::create_dir_all(&folder).context(SystemSnafu { what: folder.display().to_string() })?;
    let end = signals.end();
    tokio::pin!(end);
    let (storage, found) = tokio::select! {
        () = &mut end => return Ok(()),
        opened = open(&folder, node.ip) => opened,
    };
    // A store whose files are spoilt has lost them, also at the first start of all.
    let node = NodeSettings { first_start: node.first_start && !storage.is_spoilt(), ..node };
    run_store(&node, &net, reread, found, disk::spawn_writer(storage), end).await
}

/// Waits for a disk that refuses: to end would change nothing.
async fn open(folder: &Path, here: IpAddr) -> (Storage, Option<StoredState>) {
    loop {
        match Storage::open(folder, here) {
            Ok(opened) => return opened,
            Err(error) => log::error!("event=disk_failed at=start error=\"{error}\""),
        }
        sleep(OPEN_AGAIN).await;
    }
}

/// Runs a store on a network until it is to end, with what stood on its disk.
pub async fn run_store(
    node: &NodeSettings,
    net: &NetworkHandle,
    reread: Reread,
    found: Option<StoredState>,
    disk: StorageQueue,
    end: impl Future<Output = ()>,
) -> Result<(), StartError> {
    tokio::pin!(end);
    let address = node.port(node.ip, CONFIG_STORE_PORT_OFFSET);
    let listener = net.listen(address).await.context(SystemSnafu { what: format!("listen on {address}") })?;
    let seeds = |node: &NodeSettings| -> Vec<IpAddr> { node.seeds.iter().map(|seed| seed.ip()).collect() };
    let was_there = found.is_some();
    let voter = match found {
        Some(found) => Acceptor::again(found.acceptor, found.state),
        None => {
            let seeds = seeds(node);
            tokio::select! {
                () = &mut end => return Ok(()),
                begun = begin(node, &seeds, &disk) => begun?,
            }
        }
    };
    let (me, members) = (voter.me(), &voter.kept().members);
    log::info!(
        "event=start program=patternbook node={} incarnation={:x} epoch={} voters={} votes={} was_empty={} first={}",
        node.name,
        me.incarnation,
        members.epoch,
        members.voters.len(),
        members.has(me),
        !was_there,
        node.first_start
    );
    let (essentials, mut first_end) = EssentialTasks::new();
    let keeper = AcceptorHandle::start(voter, disk, &essentials);
    let by = fastrand::u32(1..);
    let chain = StalenessBudget::of(node.bounds.apply);
    let times = MembershipTimes::of(node.bounds.sync_time, chain.contact + chain.store_holds + LEASE);
    let stores = Rc::new(Stores::new(net, keeper, address.port(), by, times, chain));
    essentials.spawn("follow", stores.clone().follow());
    // Seeds of a file that was read again are asked from then on.
    let (first, latest) = (seeds(node), move || reread.borrow().as_deref().map(seeds));
    essentials.spawn("belong", stores.clone().belong(move || latest().unwrap_or_else(|| first.clone())));
    let asked = stores.clone();
    // An order whose caller has left may be refused by another store meanwhile.
    let order = |question: &StoreRequest| matches!(question, StoreRequest::Apply(_));
    let answer = move |question, _| {
        let stores = asked.clone();
        async move { answer(question, &stores, chain).await }
    };
    essentials.spawn("calls", serve(listener, node.most_peers(), order, answer));
    tokio::select! {
        biased;
        () = &mut end => {}
        task = first_end.name() => return TaskSnafu { task }.fail(),
    }
    stores.leave().await;
    Ok(())
}

/// A disk that is empty: a founder's, or the beginning of an incarnation that knows of no members yet.
async fn begin(
    node: &NodeSettings,
    seeds: &[IpAddr],
    disk: &StorageQueue,
) -> Result<Acceptor<Value>, StartError> {
    let founders = Members::first(seeds.iter().copied());
    let founds = node.first_start && founders.at(node.ip).is_some();
    let incarnation = if founds { 0 } else { fastrand::u64(1..u64::MAX) };
    let members = if node.first_start { founders } else { Members::default() };
    let voter = Acceptor::new(Member { ip: node.ip, incarnation }, members);
    // Before it says anything: an incarnation remembers all that it said.
    let (done, saved) = oneshot::channel();
    let (kept, state) = (voter.kept().clone(), Some(voter.state().clone()));
    // A disk that is no more tells it by its silence.
    let _ = disk.send(SaveRequest { acceptor: kept, state, done });
    saved.await.ok().context(GoneSnafu)?.context(StorageSnafu)?;
    Ok(voter)
}

async fn answer(question: StoreRequest, stores: &Rc<Stores>, chain: StalenessBudget) -> StoreResponse {
    match question {
        StoreRequest::Acceptor(to, ask) => {
            stores.vote(to, ask).await.map_or(StoreResponse::Unavailable, StoreResponse::Acceptor)
        }
        StoreRequest::Members => {
            let (members, ballot) = stores.members();
            StoreResponse::Members(members, ballot)
        }
        StoreRequest::Apply(body) => StoreResponse::Applied(stores.change(&body).await),
        StoreRequest::Read => stores
            .read()
            .await
            .map_or(StoreResponse::Unavailable, |items| StoreResponse::Items(as_news(&items))),
        StoreRequest::Changes(have, was_fresh) => {
            let asked = Instant::now();
            let (mut chosen, mut fresh) = (stores.chosen(), stores.fresh());
            // Without news it says after a while that there is none.
            tokio::select! {
                biased;
                _ = chosen.wait_for(|known| known.0 != have) => {}
                _ = fresh.wait_for(|fresh| *fresh && !was_fresh) => {}
                () = sleep(chain.store_holds) => {}
            }
            let (ballot, items) = (chosen.borrow().0, stores.news(have).map(|items| as_news(&items)));
            let (members, proposed) = (stores.members().0, stores.proposed());
            let (contact, is_voter) = (stores.contact(asked), members.has(stores.me));
            StoreResponse::Changes { ballot, contact, members, is_voter, proposed, items }
        }
        StoreRequest::Join(candidate) => StoreResponse::Membership(stores.admit(candidate).await),
        StoreRequest::LastHeard => {
            let ms = |(member, ago): (Member, Duration)| (member, ago.as_millis() as u64);
            StoreResponse::LastHeard(stores.sight().into_iter().map(ms).collect())
        }
        StoreRequest::ChangeMembers(order) => StoreResponse::Membership(stores.order(order).await),
        StoreRequest::Status => StoreResponse::Status(stores.standing()),
    }
}

/// Without the histories, which are for stores.
fn as_news(items: &Value) -> Value {
    items.iter().map(Item::as_news).collect()
}
