//! A member's database file: its identity, vote, log and newest snapshot. Every record has a checksum in addition to
//! the page checksums of `redb`. If any record is damaged, the file is not used at all; the member names the file and
//! doesn't start. A member that continued with part of its log could vote against what the group has committed.

use crate::machine::StoredSnapshot;
use crate::{Record, TypeConfig};
use openraft::storage::{LogFlushed, RaftLogStorage};
use openraft::{
    AnyError, Entry, EntryPayload, LogId, LogState, RaftLogId, RaftLogReader, StorageError, StorageIOError,
    Vote,
};
use redb::{Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use starlinghill_failover::state::State;
use std::fmt;
use std::fs::File;
use std::io;
use std::ops::{Bound, RangeBounds};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Log entries by index.
const LOG_TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// Single records by the keys below.
const META_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const IDENTITY_KEY: &str = "ident";
const VOTE_KEY: &str = "vote";
/// The id of the last log entry that was removed because a snapshot includes it.
const PURGED_KEY: &str = "purged";
const SNAPSHOT_KEY: &str = "snapshot";
/// The version of the file format.
const FILE_VERSION: u32 = 1;
/// The length in bytes of the checksum in front of each record's JSON text.
const CHECKSUM_BYTES: usize = 8;
/// The file's extension until all its tables are written.
const TEMPORARY_EXTENSION: &str = "new";
/// The database cache in bytes: enough for a log of usual size.
const CACHE_BYTES: usize = 4 << 20;

/// The identity of the member that a file belongs to. A file without one is blank.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Ident", deny_unknown_fields)]
pub struct MemberIdentity {
    /// The version of the file format.
    pub version: u32,
    /// The group's name.
    pub group: String,
    /// The group's generation; it goes up by one at each restore.
    pub generation: u64,
    /// This member's number.
    pub id: u64,
}

impl MemberIdentity {
    /// An identity in the present file format.
    pub fn new(group: &str, generation: u64, id: u64) -> MemberIdentity {
        MemberIdentity { version: FILE_VERSION, group: group.into(), generation, id }
    }
}

/// The member's file can't be read or written. The member must not take part in the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreError {
    /// The path of the file.
    pub file: PathBuf,
    /// The cause.
    pub message: String,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.file.display(), self.message)
    }
}
impl std::error::Error for StoreError {}

/// An open member file. Clones share the database.
#[derive(Debug, Clone)]
pub struct Store {
    db: Arc<Database>,
    file: Arc<Path>,
}

/// Encodes a record as its checksum followed by its JSON text.
fn encode_record<T: Serialize>(value: &T) -> Result<Vec<u8>, String> {
    let text = serde_json::to_vec(value).map_err(|e| e.to_string())?;
    let mut bytes = xxh3_64(&text).to_le_bytes().to_vec();
    bytes.extend_from_slice(&text);
    Ok(bytes)
}

/// Verifies the checksum and decodes the record. `name` names the record in errors.
fn decode_record<T: DeserializeOwned>(name: &str, bytes: &[u8]) -> Result<T, String> {
    let (sum, text) = bytes.split_at_checked(CHECKSUM_BYTES).ok_or_else(|| format!("{name} is cut off"))?;
    if xxh3_64(text).to_le_bytes() != sum {
        return Err(format!("{name} is not as it was written (checksum)"));
    }
    serde_json::from_slice(text).map_err(|e| format!("{name}: {e}"))
}

/// Runs disk work on this thread, while the runtime moves the thread's other tasks elsewhere.
fn blocking<T>(work: impl FnOnce() -> T) -> T {
    tokio::task::block_in_place(work)
}

impl Store {
    /// Opens the file, creating it if it doesn't exist, and verifies every record.
    pub fn open(path: &Path) -> Result<Store, StoreError> {
        let store_error = |e: io::Error| StoreError { file: path.into(), message: e.to_string() };
        let folder = path.parent().filter(|f| !f.as_os_str().is_empty()).unwrap_or(Path::new("."));
        std::fs::create_dir_all(folder).map_err(store_error)?;
        if !path.try_exists().map_err(store_error)? {
            Store::create(path, folder)?;
        }
        Store::open_file(path)
    }

    /// Creates the file under a temporary name and renames it when it is complete. A process killed in between would
    /// otherwise leave a partial file, which looks like a damaged one and would keep the member from ever starting.
    fn create(path: &Path, folder: &Path) -> Result<(), StoreError> {
        let store_error = |e: io::Error| StoreError { file: path.into(), message: e.to_string() };
        let temporary = path.with_extension(TEMPORARY_EXTENSION);
        match std::fs::remove_file(&temporary) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(store_error(e)),
            _ => {}
        }
        drop(Store::open_file(&temporary)?);
        std::fs::rename(&temporary, path).map_err(store_error)?;
        // Without syncing the folder, a power loss could undo the rename and lose the votes saved since.
        File::open(folder).and_then(|folder| folder.sync_all()).map_err(store_error)
    }

    fn open_file(path: &Path) -> Result<Store, StoreError> {
        let mut builder = Database::builder();
        builder.set_check_integrity_on_open(true).set_cache_size(CACHE_BYTES);
        let db =
            builder.create(path).map_err(|e| StoreError { file: path.into(), message: e.to_string() })?;
        Store::verify(db, path)
    }

    /// Opens a store on the given storage backend, for example one that injects faults.
    pub fn with_backend(backend: impl StorageBackend, name: &Path) -> Result<Store, StoreError> {
        let mut builder = Database::builder();
        builder.set_check_integrity_on_open(true).set_cache_size(CACHE_BYTES);
        let db = builder
            .create_with_backend(backend)
            .map_err(|e| StoreError { file: name.into(), message: e.to_string() })?;
        Store::verify(db, name)
    }

    /// Verifies the format version, every record, and that no log entry is missing.
    fn verify(db: Database, path: &Path) -> Result<Store, StoreError> {
        let store = Store { db: Arc::new(db), file: path.into() };
        // Opening the tables for writing creates them, so that reads need no special case.
        store.write(|_, _| Ok(()))?;
        if let Some(identity) = store.identity()? {
            if identity.version != FILE_VERSION {
                return Err(store.error(format!(
                    "it is of version {}; this program knows version {FILE_VERSION} alone",
                    identity.version
                )));
            }
        }
        store.get::<Vote<u64>>(VOTE_KEY)?;
        store.snapshot()?;
        let purged = store.get::<LogId<u64>>(PURGED_KEY)?;
        let mut next = purged.map(|p| p.index + 1);
        for entry in store.entries(..)? {
            let index = entry.get_log_id().index;
            if next.is_some_and(|next| next != index) {
                return Err(store.error(format!("entry {} of the log is missing", next.unwrap_or(0))));
            }
            next = Some(index + 1);
        }
        Ok(store)
    }

    /// The path of the file.
    pub fn file(&self) -> &Path {
        &self.file
    }

    fn error(&self, message: impl fmt::Display) -> StoreError {
        StoreError { file: self.file.to_path_buf(), message: message.to_string() }
    }

    /// Runs one transaction. It is durable on disk when this returns.
    fn write<T>(
        &self,
        work: impl FnOnce(&mut redb::Table<u64, &[u8]>, &mut redb::Table<&str, &[u8]>) -> Result<T, String>,
    ) -> Result<T, StoreError> {
        let run = || -> Result<T, String> {
            let transaction = self.db.begin_write().map_err(|e| e.to_string())?;
            let result = {
                let mut log = transaction.open_table(LOG_TABLE).map_err(|e| e.to_string())?;
                let mut meta = transaction.open_table(META_TABLE).map_err(|e| e.to_string())?;
                work(&mut log, &mut meta)?
            };
            transaction.commit().map_err(|e| e.to_string())?;
            Ok(result)
        };
        run().map_err(|e| self.error(e))
    }

    fn get<T: DeserializeOwned>(&self, key: &str) -> Result<Option<T>, StoreError> {
        let run = || -> Result<Option<T>, String> {
            let transaction = self.db.begin_read().map_err(|e| e.to_string())?;
            let meta = transaction.open_table(META_TABLE).map_err(|e| e.to_string())?;
            let found = meta.get(key).map_err(|e| e.to_string())?;
            found.map(|bytes| decode_record(key, bytes.value())).transpose()
        };
        run().map_err(|e| self.error(e))
    }

    fn put<T: Serialize>(&self, key: &str, value: &T) -> Result<(), StoreError> {
        let bytes = encode_record(value).map_err(|e| self.error(e))?;
        self.write(|_, meta| meta.insert(key, &bytes[..]).map(|_| ()).map_err(|e| e.to_string()))
    }

    /// The member that the file belongs to, or `None` if the file is blank.
    pub fn identity(&self) -> Result<Option<MemberIdentity>, StoreError> {
        self.get(IDENTITY_KEY)
    }

    /// Assigns the file to a member.
    pub fn save_identity(&self, identity: &MemberIdentity) -> Result<(), StoreError> {
        self.put(IDENTITY_KEY, identity)
    }

    /// The newest snapshot, if one was saved.
    pub fn snapshot(&self) -> Result<Option<StoredSnapshot>, StoreError> {
        self.get(SNAPSHOT_KEY)
    }

    /// Replaces the stored snapshot.
    pub fn save_snapshot(&self, snapshot: &StoredSnapshot) -> Result<(), StoreError> {
        self.put(SNAPSHOT_KEY, snapshot)
    }

    fn entries(&self, range: impl RangeBounds<u64>) -> Result<Vec<Entry<TypeConfig>>, StoreError> {
        let run = || -> Result<Vec<Entry<TypeConfig>>, String> {
            let transaction = self.db.begin_read().map_err(|e| e.to_string())?;
            let log = transaction.open_table(LOG_TABLE).map_err(|e| e.to_string())?;
            let mut found = Vec::new();
            for row in log.range(range).map_err(|e| e.to_string())? {
                let (index, bytes) = row.map_err(|e| e.to_string())?;
                let name = format!("entry {} of the log", index.value());
                let entry: Entry<TypeConfig> = decode_record(&name, bytes.value())?;
                if entry.get_log_id().index != index.value() {
                    return Err(format!("{name} says that it is entry {}", entry.get_log_id().index));
                }
                found.push(entry);
            }
            Ok(found)
        };
        run().map_err(|e| self.error(e))
    }

    /// Applies all log entries to the newest snapshot and returns the state with the id of the last entry. This is for
    /// restoring a group that lost its majority: it also applies entries that may not have been committed, because
    /// this file can be the last one left that holds a committed entry.
    pub fn recover_state(&self) -> Result<Option<(LogId<u64>, State)>, StoreError> {
        let Some(identity) = self.identity()? else { return Ok(None) };
        let snapshot = self.snapshot()?;
        let mut last = snapshot.as_ref().and_then(|s| s.meta.last_log_id);
        let mut state = snapshot.map_or_else(|| State::new(identity.generation), |s| s.state);
        for entry in self.entries(last.map_or(0, |l| l.index + 1)..)? {
            last = Some(entry.log_id);
            match entry.payload {
                EntryPayload::Normal(recorded) => match recorded.0 {
                    Record::Order(order) => drop(state.apply(&order)),
                    Record::Restored(restored) => state = *restored,
                },
                EntryPayload::Blank | EntryPayload::Membership(_) => {}
            }
        }
        Ok(last.map(|last| (last, state)))
    }
}

fn any_error(e: &StoreError) -> AnyError {
    AnyError::new(e)
}

impl RaftLogReader<TypeConfig> for Store {
    async fn try_get_log_entries<R>(&mut self, range: R) -> Result<Vec<Entry<TypeConfig>>, StorageError<u64>>
    where
        R: RangeBounds<u64> + Clone + fmt::Debug + Send,
    {
        let bounds: (Bound<u64>, Bound<u64>) = (range.start_bound().cloned(), range.end_bound().cloned());
        blocking(|| self.entries(bounds)).map_err(|e| StorageIOError::read_logs(any_error(&e)).into())
    }
}

impl RaftLogStorage<TypeConfig> for Store {
    type LogReader = Store;

    async fn get_log_state(&mut self) -> Result<LogState<TypeConfig>, StorageError<u64>> {
        let run = || {
            let purged = self.get::<LogId<u64>>(PURGED_KEY)?;
            let transaction = self.db.begin_read().map_err(|e| self.error(e))?;
            let log = transaction.open_table(LOG_TABLE).map_err(|e| self.error(e))?;
            let last = log.last().map_err(|e| self.error(e))?;
            let last = match last {
                Some((_, bytes)) => Some(
                    decode_record::<Entry<TypeConfig>>("the log's last entry", bytes.value())
                        .map_err(|e| self.error(e))?
                        .log_id,
                ),
                None => purged,
            };
            Ok(LogState { last_purged_log_id: purged, last_log_id: last })
        };
        blocking(run).map_err(|e: StoreError| StorageIOError::read_logs(any_error(&e)).into())
    }

    async fn get_log_reader(&mut self) -> Store {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<u64>) -> Result<(), StorageError<u64>> {
        blocking(|| self.put(VOTE_KEY, vote)).map_err(|e| StorageIOError::write_vote(any_error(&e)).into())
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<u64>>, StorageError<u64>> {
        blocking(|| self.get(VOTE_KEY)).map_err(|e| StorageIOError::read_vote(any_error(&e)).into())
    }

    async fn append<I>(
        &mut self,
        entries: I,
        callback: LogFlushed<TypeConfig>,
    ) -> Result<(), StorageError<u64>>
    where
        I: IntoIterator<Item = Entry<TypeConfig>> + Send,
        I::IntoIter: Send,
    {
        let encoded: Result<Vec<(u64, Vec<u8>)>, String> =
            entries.into_iter().map(|e| Ok((e.log_id.index, encode_record(&e)?))).collect();
        let written = encoded.map_err(|e| self.error(e)).and_then(|encoded| {
            blocking(|| {
                self.write(|log, _| {
                    for (index, bytes) in &encoded {
                        log.insert(index, &bytes[..]).map_err(|e| e.to_string())?;
                    }
                    Ok(())
                })
            })
        });
        match written {
            Ok(()) => {
                callback.log_io_completed(Ok(()));
                Ok(())
            }
            Err(e) => {
                callback.log_io_completed(Err(std::io::Error::other(e.to_string())));
                Err(StorageIOError::write_logs(any_error(&e)).into())
            }
        }
    }

    async fn truncate(&mut self, from: LogId<u64>) -> Result<(), StorageError<u64>> {
        let remove =
            || self.write(|log, _| log.retain_in(from.index.., |_, _| false).map_err(|e| e.to_string()));
        blocking(remove).map_err(|e| StorageIOError::write_logs(any_error(&e)).into())
    }

    async fn purge(&mut self, upto: LogId<u64>) -> Result<(), StorageError<u64>> {
        let bytes = encode_record(&upto).map_err(|e| self.error(e));
        let remove = |bytes: Vec<u8>| {
            self.write(|log, meta| {
                meta.insert(PURGED_KEY, &bytes[..]).map_err(|e| e.to_string())?;
                log.retain_in(..=upto.index, |_, _| false).map_err(|e| e.to_string())
            })
        };
        bytes
            .and_then(|bytes| blocking(|| remove(bytes)))
            .map_err(|e| StorageIOError::write_logs(any_error(&e)).into())
    }
}
