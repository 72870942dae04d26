//! What is on disk: a thread of its own waits for it, so that a disk that hangs holds up nobody but who needs it.

use crate::disk_latency::LatencyBaseline;
use crate::records::{Changes, Records};
use crate::wire::{State, Value};
use bitcode::{Decode, Encode};
use snafu::Snafu;
use starlinghill_config_model::{Item, ItemKind, VersionHistory};
use starlinghill_consensus::{AcceptorState, Ballot, Member, Members};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};

/// Why the disk can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// The database failed.
    #[snafu(display("{}: {source}", path.display()))]
    Database {
        /// Where.
        path: PathBuf,
        /// How.
        source: fjall::Error,
    },
    /// A folder can't be read, or changed.
    #[snafu(display("{}: {source}", path.display()))]
    Folder {
        /// Which.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A record can't be read.
    #[snafu(display("{}: record {key} can't be read", path.display()))]
    Corrupt {
        /// Where.
        path: PathBuf,
        /// Which.
        key: String,
    },
}

/// What stood on disk.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredState {
    /// What the voter has to keep.
    pub acceptor: AcceptorState,
    /// Its state.
    pub state: State,
}

/// What the version before kept of a voter, beside the addresses of all voters: the lives of their disks.
#[derive(Debug, Encode, Decode)]
pub struct KeptBefore {
    promised: Ballot,
    accepted: Ballot,
    chosen: Ballot,
    lives: Vec<u64>,
}

impl KeptBefore {
    /// The voters become the members of the first epoch, their lives incarnations.
    fn read(self, ips: Vec<IpAddr>, here: IpAddr, value: Value) -> Option<StoredState> {
        let KeptBefore { promised, accepted, chosen, lives } = self;
        let member = |(ip, incarnation)| Member { ip, incarnation };
        let voters: Vec<Member> = ips.into_iter().zip(lives).map(member).collect();
        let me = voters.iter().copied().find(|member| member.ip == here)?;
        let members = Members { epoch: 0, voters, before: Vec::new() };
        let kept = AcceptorState { me, promised, accepted, chosen, members: members.clone() };
        Some(StoredState { acceptor: kept, state: State { members, value } })
    }
}

/// An item as the version before wrote it, without a history. Its records have keys of their own.
#[derive(Debug, Encode, Decode)]
pub struct ItemBefore {
    kind: ItemKind,
    name: String,
    version: u64,
    host: String,
    body: Option<String>,
}

impl From<ItemBefore> for Item {
    fn from(ItemBefore { kind, name, version, host, body }: ItemBefore) -> Item {
        let history = VersionHistory::unknown_below(version);
        Item { kind, name, version, host, body, history }
    }
}

/// The disk of a store.
pub struct Storage {
    records: Records,
}

const VOTER: &str = "voter";
const MEMBERS: &str = "members";
/// The same in the version before.
const KEPT: &str = "kept";
const VOTERS: &str = "voters";
/// What the keys of items begin with, and what they began with in the version before: those records go when a value is
/// next written, which writes their items anew.
const ITEM: &str = "numbered/";
const BEFORE: &str = "item/";

impl Storage {
    /// Opens what is there, or begins anew, on the machine of that address.
    pub fn open(folder: &Path, here: IpAddr) -> Result<(Storage, Option<StoredState>), StorageError> {
        let mut records = Records::open(folder)?;
        let found = match read(&records, here) {
            Ok(Some((found, is_before))) => {
                let mut storage = Storage { records };
                if is_before {
                    // As a whole, before anything is said by it: records of both versions would be read as the newer one.
                    storage.save(&found.acceptor, Some(&found.state))?;
                }
                return Ok((storage, Some(found)));
            }
            Ok(None) => None,
            Err(key) => {
                records.spoil(format!("record {key} can't be read"));
                None
            }
        };
        Ok((Storage { records }, found))
    }

    /// What is on disk is not what was written: this store has lost it, though files are there.
    pub fn is_spoilt(&self) -> bool {
        self.records.spoilt().is_some()
    }

    /// Writes and syncs. All of it is on disk when this returns, or none of it counts.
    pub fn save(&mut self, kept: &AcceptorState, state: Option<&State>) -> Result<(), StorageError> {
        let mut changes: Changes = vec![(VOTER.into(), Some(bitcode::encode(kept)))];
        if let Some(State { members, value }) = state {
            changes.push((MEMBERS.into(), Some(bitcode::encode(members))));
            let before = [KEPT, VOTERS].map(|key| key.as_bytes().to_vec());
            let before = before.into_iter().filter(|key| self.records.held().contains_key(key));
            changes.extend(before.map(|key| (key, None)));
            let items: BTreeMap<Vec<u8>, &Item> = value.iter().map(|item| (key(item), item)).collect();
            let of_items =
                |key: &&Vec<u8>| [ITEM, BEFORE].iter().any(|name| key.starts_with(name.as_bytes()));
            let gone = self.records.held().keys().filter(of_items);
            changes.extend(gone.filter(|key| !items.contains_key(*key)).map(|key| (key.clone(), None)));
            changes.extend(items.into_iter().map(|(key, item)| (key, Some(bitcode::encode(item)))));
        }
        self.records.save(changes)
    }
}

fn key(item: &Item) -> Vec<u8> {
    let kind: ItemKind = item.kind;
    format!("{ITEM}{kind:?}/{}", item.name).into_bytes()
}

/// What the records mean, and whether they are of the version before; or the key of one that means nothing.
fn read(records: &Records, here: IpAddr) -> Result<Option<(StoredState, bool)>, String> {
    let (mut kept, mut members, mut value) = (None, None, BTreeMap::new());
    let (mut kept_before, mut voters_before) = (None, None);
    for (key, bytes) in records.held() {
        let spoilt = |_| String::from_utf8_lossy(key).into_owned();
        if key == VOTER.as_bytes() {
            kept = Some(bitcode::decode::<AcceptorState>(bytes).map_err(spoilt)?);
        } else if key == MEMBERS.as_bytes() {
            members = Some(bitcode::decode::<Members>(bytes).map_err(spoilt)?);
        } else if key == KEPT.as_bytes() {
            kept_before = Some(bitcode::decode::<KeptBefore>(bytes).map_err(spoilt)?);
        } else if key == VOTERS.as_bytes() {
            voters_before = Some(bitcode::decode::<Vec<IpAddr>>(bytes).map_err(spoilt)?);
        } else {
            let item = match key.starts_with(BEFORE.as_bytes()) {
                true => bitcode::decode::<ItemBefore>(bytes).map_err(spoilt)?.into(),
                false => bitcode::decode::<Item>(bytes).map_err(spoilt)?,
            };
            value.insert((item.kind, item.name.clone()), item);
        }
    }
    let value = value.into_values().collect();
    Ok(match (kept, members, kept_before, voters_before) {
        (Some(kept), Some(members), ..) => {
            Some((StoredState { acceptor: kept, state: State { members, value } }, false))
        }
        (_, _, Some(kept), Some(ips)) => kept.read(ips, here, value).map(|found| (found, true)),
        _ => None,
    })
}

/// What has to be written, and who waits for it.
pub struct SaveRequest {
    /// The voter's own.
    pub acceptor: AcceptorState,
    /// Its state, where that is new.
    pub state: Option<State>,
    /// Told when it is on disk.
    pub done: oneshot::Sender<Result<(), StorageError>>,
}

/// The way to whoever writes, in the order of the queue: a thread, or a disk that is played.
pub type StorageQueue = mpsc::UnboundedSender<SaveRequest>;

/// The pauses after a write that failed: each try makes a folder anew, and a disk is refused for seconds.
const PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// How often it is said at most that the disk is slow.
const TOLD_AGAIN: Duration = Duration::from_secs(1);

/// Runs the thread that writes. Where the disk refuses, it tries until all is kept, and nobody is told of anything before.
pub fn spawn_writer(mut storage: Storage) -> StorageQueue {
    let (orders, mut queue) = mpsc::unbounded_channel::<SaveRequest>();
    std::thread::spawn(move || {
        let (mut usual, mut told, mut times) = (LatencyBaseline::default(), None::<Instant>, 0);
        while let Some(order) = queue.blocking_recv() {
            let (began, mut pause, mut tries) = (Instant::now(), PAUSE, 1);
            while let Err(error) = storage.save(&order.acceptor, order.state.as_ref()) {
                log::error!("event=disk_failed tries={tries} error=\"{error}\"");
                std::thread::sleep(pause);
                (pause, tries) = ((pause * 2).min(LONGEST_PAUSE), tries + 1);
            }
            let took = began.elapsed();
            if tries > 1 {
                log::warn!("event=disk_back tries={tries} took_ms={}", took.as_millis());
            } else if let Some(usually) = usual.is_slow(took) {
                times += 1;
                if told.is_none_or(|at| at.elapsed() >= TOLD_AGAIN) {
                    let (took, usually) = (took.as_millis(), usually.as_millis());
                    log::warn!("event=disk_slow took_ms={took} usually_ms={usually} times={times}");
                    (told, times) = (Some(Instant::now()), 0);
                }
            }
            // Whoever waited may have gone.
            let _ = order.done.send(Ok(()));
        }
    });
    orders
}
