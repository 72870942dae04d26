//! The store's state on disk, and the thread that writes it. Only the acceptor's task waits for the thread, so a disk that
//! hangs does not hold up the rest of the process.

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
        /// The folder of the database.
        path: PathBuf,
        /// The database's error.
        source: fjall::Error,
    },
    /// A folder can't be read or changed.
    #[snafu(display("{}: {source}", path.display()))]
    Folder {
        /// The folder.
        path: PathBuf,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// A record can't be decoded.
    #[snafu(display("{}: record {key} can't be read", path.display()))]
    Corrupt {
        /// The folder of the database.
        path: PathBuf,
        /// The key of the record.
        key: String,
    },
}

/// The state that was read from disk at the start.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredState {
    /// The acceptor's own state: its promises and its members.
    pub acceptor: AcceptorState,
    /// The replicated state that it has accepted last.
    pub state: State,
}

/// The acceptor's record in the previous format. The voters' addresses are a record of their own; `lives` are the
/// incarnations of their disks, in the same order.
#[derive(Debug, Encode, Decode)]
pub struct PreviousAcceptorRecord {
    promised: Ballot,
    accepted: Ballot,
    chosen: Ballot,
    lives: Vec<u64>,
}

impl PreviousAcceptorRecord {
    /// Converts the record: the voters become the members of epoch 0. `None` if `own_ip` is not among them.
    fn convert(self, ips: Vec<IpAddr>, own_ip: IpAddr, value: Value) -> Option<StoredState> {
        let PreviousAcceptorRecord { promised, accepted, chosen, lives } = self;
        let member = |(ip, incarnation)| Member { ip, incarnation };
        let voters: Vec<Member> = ips.into_iter().zip(lives).map(member).collect();
        let me = voters.iter().copied().find(|member| member.ip == own_ip)?;
        let members = Members { epoch: 0, voters, previous_voters: Vec::new() };
        let acceptor = AcceptorState { me, promised, accepted, chosen, members: members.clone() };
        Some(StoredState { acceptor, state: State { members, value } })
    }
}

/// An item's record in the previous format, which had no version history. It has a key prefix of its own.
#[derive(Debug, Encode, Decode)]
pub struct PreviousItemRecord {
    kind: ItemKind,
    name: String,
    version: u64,
    host: String,
    body: Option<String>,
}

impl From<PreviousItemRecord> for Item {
    fn from(PreviousItemRecord { kind, name, version, host, body }: PreviousItemRecord) -> Item {
        let history = VersionHistory::unknown_below(version);
        Item { kind, name, version, host, body, history }
    }
}

/// The state of a store on disk.
pub struct Storage {
    records: Records,
}

/// Keys of the acceptor's state and of the members.
const ACCEPTOR_KEY: &str = "voter";
const MEMBERS_KEY: &str = "members";
/// Keys of the same in the previous format.
const PREVIOUS_ACCEPTOR_KEY: &str = "kept";
const PREVIOUS_VOTERS_KEY: &str = "voters";
/// The key prefix of items, and the one in the previous format. Saving a value writes all items under the new prefix, and
/// deletes those under the previous one.
const ITEM_PREFIX: &str = "numbered/";
const PREVIOUS_ITEM_PREFIX: &str = "item/";

impl Storage {
    /// Opens the state in `folder`, or starts with none. `own_ip` is the address of this machine.
    pub fn open(folder: &Path, own_ip: IpAddr) -> Result<(Storage, Option<StoredState>), StorageError> {
        let mut records = Records::open(folder)?;
        let stored = match read(&records, own_ip) {
            Ok(Some((stored, is_previous_format))) => {
                let mut storage = Storage { records };
                if is_previous_format {
                    // Converted as a whole before it is used: if records of both formats were present, only those of the
                    // current one would be read.
                    storage.save(&stored.acceptor, Some(&stored.state))?;
                }
                return Ok((storage, Some(stored)));
            }
            Ok(None) => None,
            Err(key) => {
                records.mark_lost(format!("record {key} can't be read"));
                None
            }
        };
        Ok((Storage { records }, stored))
    }

    /// Whether there are files on disk that don't hold what was written. The store then counts as having lost its state.
    pub fn is_lost(&self) -> bool {
        self.records.lost().is_some()
    }

    /// Writes and syncs the acceptor's state, and the replicated state if it is given, as one batch: after a crash either
    /// all of it or none of it is there.
    pub fn save(&mut self, acceptor: &AcceptorState, state: Option<&State>) -> Result<(), StorageError> {
        let mut changes: Changes = vec![(ACCEPTOR_KEY.into(), Some(bitcode::encode(acceptor)))];
        if let Some(State { members, value }) = state {
            changes.push((MEMBERS_KEY.into(), Some(bitcode::encode(members))));
            let previous = [PREVIOUS_ACCEPTOR_KEY, PREVIOUS_VOTERS_KEY].map(|key| key.as_bytes().to_vec());
            let previous = previous.into_iter().filter(|key| self.records.all().contains_key(key));
            changes.extend(previous.map(|key| (key, None)));
            let items: BTreeMap<Vec<u8>, &Item> = value.iter().map(|item| (item_key(item), item)).collect();
            let is_item = |key: &&Vec<u8>| {
                [ITEM_PREFIX, PREVIOUS_ITEM_PREFIX].iter().any(|prefix| key.starts_with(prefix.as_bytes()))
            };
            let stored_items = self.records.all().keys().filter(is_item);
            changes
                .extend(stored_items.filter(|key| !items.contains_key(*key)).map(|key| (key.clone(), None)));
            changes.extend(items.into_iter().map(|(key, item)| (key, Some(bitcode::encode(item)))));
        }
        self.records.save(changes)
    }
}

/// The key of an item's record. It holds the name of the kind's variant, so renaming a variant changes the stored format.
fn item_key(item: &Item) -> Vec<u8> {
    let kind: ItemKind = item.kind;
    format!("{ITEM_PREFIX}{kind:?}/{}", item.name).into_bytes()
}

/// Decodes the records. Returns the state, if there is any, and whether it is in the previous format; the error is the key
/// of a record that can't be decoded.
fn read(records: &Records, own_ip: IpAddr) -> Result<Option<(StoredState, bool)>, String> {
    let (mut acceptor, mut members, mut value) = (None, None, BTreeMap::new());
    let (mut previous_acceptor, mut previous_voters) = (None, None);
    for (key, bytes) in records.all() {
        let corrupt = |_| String::from_utf8_lossy(key).into_owned();
        if key == ACCEPTOR_KEY.as_bytes() {
            acceptor = Some(bitcode::decode::<AcceptorState>(bytes).map_err(corrupt)?);
        } else if key == MEMBERS_KEY.as_bytes() {
            members = Some(bitcode::decode::<Members>(bytes).map_err(corrupt)?);
        } else if key == PREVIOUS_ACCEPTOR_KEY.as_bytes() {
            previous_acceptor = Some(bitcode::decode::<PreviousAcceptorRecord>(bytes).map_err(corrupt)?);
        } else if key == PREVIOUS_VOTERS_KEY.as_bytes() {
            previous_voters = Some(bitcode::decode::<Vec<IpAddr>>(bytes).map_err(corrupt)?);
        } else {
            let item = match key.starts_with(PREVIOUS_ITEM_PREFIX.as_bytes()) {
                true => bitcode::decode::<PreviousItemRecord>(bytes).map_err(corrupt)?.into(),
                false => bitcode::decode::<Item>(bytes).map_err(corrupt)?,
            };
            value.insert((item.kind, item.name.clone()), item);
        }
    }
    let value = value.into_values().collect();
    Ok(match (acceptor, members, previous_acceptor, previous_voters) {
        (Some(acceptor), Some(members), ..) => {
            Some((StoredState { acceptor, state: State { members, value } }, false))
        }
        (_, _, Some(previous), Some(ips)) => {
            previous.convert(ips, own_ip, value).map(|stored| (stored, true))
        }
        _ => None,
    })
}

/// A request to write to disk.
pub struct SaveRequest {
    /// The acceptor's own state.
    pub acceptor: AcceptorState,
    /// The replicated state, if it has changed.
    pub state: Option<State>,
    /// Gets the result once the write is synced or has failed.
    pub done: oneshot::Sender<Result<(), StorageError>>,
}

/// Sends save requests, which are carried out in order: by the writer thread, or by a simulated disk in tests.
pub type StorageQueue = mpsc::UnboundedSender<SaveRequest>;

/// The pause after a failed write doubles from the first to the second of these. Each attempt makes a new folder, and a
/// disk that refuses writes usually does so for seconds.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// The least time between two log lines about a slow disk.
const SLOW_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the writer thread. It repeats a failed write until it succeeds, and reports nothing before.
pub fn spawn_writer(mut storage: Storage) -> StorageQueue {
    let (sender, mut queue) = mpsc::unbounded_channel::<SaveRequest>();
    std::thread::spawn(move || {
        let (mut baseline, mut last_logged, mut slow_writes) =
            (LatencyBaseline::default(), None::<Instant>, 0);
        while let Some(request) = queue.blocking_recv() {
            let (began, mut delay, mut tries) = (Instant::now(), MIN_RETRY_DELAY, 1);
            while let Err(error) = storage.save(&request.acceptor, request.state.as_ref()) {
                log::error!("event=disk_failed tries={tries} error=\"{error}\"");
                std::thread::sleep(delay);
                (delay, tries) = ((delay * 2).min(MAX_RETRY_DELAY), tries + 1);
            }
            let took = began.elapsed();
            if tries > 1 {
                log::warn!("event=disk_back tries={tries} took_ms={}", took.as_millis());
            } else if let Some(usual) = baseline.record(took) {
                slow_writes += 1;
                if last_logged.is_none_or(|at| at.elapsed() >= SLOW_LOG_INTERVAL) {
                    let (took, usual) = (took.as_millis(), usual.as_millis());
                    log::warn!("event=disk_slow took_ms={took} usually_ms={usual} times={slow_writes}");
                    (last_logged, slow_writes) = (Some(Instant::now()), 0);
                }
            }
            // The acceptor's task may have ended.
            let _ = request.done.send(Ok(()));
        }
    });
    sender
}
