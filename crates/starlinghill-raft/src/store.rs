//! A member's disk: one file that holds who it is, its vote, its log and its newest snapshot. Every record has a
//! checksum of its own beside those of the store's pages; a file in which anything is not as it was written is not
//! used at all, and the member says which file and stays out: to go on with a part of a log would be to vote for what
//! the group has decided otherwise.

use crate::machine::Snapshotted;
use crate::{Record, Types};
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

const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const IDENT: &str = "ident";
const VOTE: &str = "vote";
const PURGED: &str = "purged";
const SNAPSHOT: &str = "snapshot";
/// The form of the file.
const VERSION: u32 = 1;
/// Bytes of a record's checksum, before its text.
const SUM: usize = 8;
/// What the file's name ends with until it is whole.
const HALF_MADE: &str = "new";
/// The store's cache: the whole of a common log.
const CACHE: usize = 4 << 20;

/// Who a member is. Without it the disk is blank.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ident {
    /// The form of the file.
    pub version: u32,
    /// The group's name.
    pub group: String,
    /// The group's life.
    pub generation: u64,
    /// This member's number.
    pub id: u64,
}

impl Ident {
    /// The identity of a member.
    pub fn new(group: &str, generation: u64, id: u64) -> Ident {
        Ident { version: VERSION, group: group.into(), generation, id }
    }
}

/// A disk that can't be used. The member stays out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreError {
    /// The file.
    pub file: PathBuf,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.file.display(), self.what)
    }
}
impl std::error::Error for StoreError {}

/// The file.
#[derive(Debug, Clone)]
pub struct Store {
    db: Arc<Database>,
    file: Arc<Path>,
}

fn seal<T: Serialize>(value: &T) -> Result<Vec<u8>, String> {
    let text = serde_json::to_vec(value).map_err(|e| e.to_string())?;
    let mut bytes = xxh3_64(&text).to_le_bytes().to_vec();
    bytes.extend_from_slice(&text);
    Ok(bytes)
}

fn unseal<T: DeserializeOwned>(what: &str, bytes: &[u8]) -> Result<T, String> {
    let (sum, text) = bytes.split_at_checked(SUM).ok_or_else(|| format!("{what} is cut off"))?;
    if xxh3_64(text).to_le_bytes() != sum {
        return Err(format!("{what} is not as it was written (checksum)"));
    }
    serde_json::from_slice(text).map_err(|e| format!("{what}: {e}"))
}

/// Disk work holds its thread up; others of the runtime take over its tasks meanwhile.
fn blocking<T>(work: impl FnOnce() -> T) -> T {
    tokio::task::block_in_place(work)
}

impl Store {
    /// Opens the file, or makes it, and checks all of it.
    pub fn open(path: &Path) -> Result<Store, StoreError> {
        let wrong = |e: io::Error| StoreError { file: path.into(), what: e.to_string() };
        let folder = path.parent().filter(|f| !f.as_os_str().is_empty()).unwrap_or(Path::new("."));
        std::fs::create_dir_all(folder).map_err(wrong)?;
        if !path.try_exists().map_err(wrong)? {
            Store::make(path, folder)?;
        }
        Store::open_file(path)
    }

    /// Makes the file under another name, and gives it its own once it is whole. Guards against a process that is killed
    /// meanwhile: half a file can't be told from one that was spoilt, and its member would stay out for good.
    fn make(path: &Path, folder: &Path) -> Result<(), StoreError> {
        let wrong = |e: io::Error| StoreError { file: path.into(), what: e.to_string() };
        let half_made = path.with_extension(HALF_MADE);
        match std::fs::remove_file(&half_made) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(wrong(e)),
            _ => {}
        }
        drop(Store::open_file(&half_made)?);
        std::fs::rename(&half_made, path).map_err(wrong)?;
        // Or a loss of power would take the name, and with it what the member has promised since.
        File::open(folder).and_then(|folder| folder.sync_all()).map_err(wrong)
    }

    fn open_file(path: &Path) -> Result<Store, StoreError> {
        let mut builder = Database::builder();
        builder.set_check_integrity_on_open(true).set_cache_size(CACHE);
        let db = builder.create(path).map_err(|e| StoreError { file: path.into(), what: e.to_string() })?;
        Store::checked(db, path)
    }

    /// The same on a backend of the caller's, which may have faults.
    pub fn on(backend: impl StorageBackend, name: &Path) -> Result<Store, StoreError> {
        let mut builder = Database::builder();
        builder.set_check_integrity_on_open(true).set_cache_size(CACHE);
        let db = builder
            .create_with_backend(backend)
            .map_err(|e| StoreError { file: name.into(), what: e.to_string() })?;
        Store::checked(db, name)
    }

    fn checked(db: Database, path: &Path) -> Result<Store, StoreError> {
        let store = Store { db: Arc::new(db), file: path.into() };
        // Makes the tables, so that reading needs no special case.
        store.write(|log, meta| {
            let _ = (log, meta);
            Ok(())
        })?;
        if let Some(ident) = store.ident()? {
            if ident.version != VERSION {
                return Err(store.wrong(format!(
                    "it is of version {}; this program knows version {VERSION} alone",
                    ident.version
                )));
            }
        }
        store.get::<Vote<u64>>(VOTE)?;
        store.snapshot()?;
        let purged = store.get::<LogId<u64>>(PURGED)?;
        let mut next = purged.map(|p| p.index + 1);
        for entry in store.entries(..)? {
            let index = entry.get_log_id().index;
            if next.is_some_and(|next| next != index) {
                return Err(store.wrong(format!("entry {} of the log is missing", next.unwrap_or(0))));
            }
            next = Some(index + 1);
        }
        Ok(store)
    }

    /// The file's path.
    pub fn file(&self) -> &Path {
        &self.file
    }

    fn wrong(&self, what: impl fmt::Display) -> StoreError {
        StoreError { file: self.file.to_path_buf(), what: what.to_string() }
    }

    /// One transaction, on the disk when this returns.
    fn write<T>(
        &self,
        work: impl FnOnce(&mut redb::Table<u64, &[u8]>, &mut redb::Table<&str, &[u8]>) -> Result<T, String>,
    ) -> Result<T, StoreError> {
        let all = || -> Result<T, String> {
            let told = |e: &dyn fmt::Display| e.to_string();
            let transaction = self.db.begin_write().map_err(|e| told(&e))?;
            let done = {
                let mut log = transaction.open_table(LOG).map_err(|e| told(&e))?;
                let mut meta = transaction.open_table(META).map_err(|e| told(&e))?;
                work(&mut log, &mut meta)?
            };
            transaction.commit().map_err(|e| told(&e))?;
            Ok(done)
        };
        all().map_err(|what| self.wrong(what))
    }

    fn get<T: DeserializeOwned>(&self, key: &str) -> Result<Option<T>, StoreError> {
        let all = || -> Result<Option<T>, String> {
            let transaction = self.db.begin_read().map_err(|e| e.to_string())?;
            let meta = transaction.open_table(META).map_err(|e| e.to_string())?;
            let found = meta.get(key).map_err(|e| e.to_string())?;
            found.map(|bytes| unseal(key, bytes.value())).transpose()
        };
        all().map_err(|what| self.wrong(what))
    }

    fn put<T: Serialize>(&self, key: &str, value: &T) -> Result<(), StoreError> {
        let bytes = seal(value).map_err(|what| self.wrong(what))?;
        self.write(|_, meta| meta.insert(key, &bytes[..]).map(|_| ()).map_err(|e| e.to_string()))
    }

    /// Who this member is; `None`: the disk is blank.
    pub fn ident(&self) -> Result<Option<Ident>, StoreError> {
        self.get(IDENT)
    }

    /// Makes a blank disk a member's.
    pub fn become_member(&self, ident: &Ident) -> Result<(), StoreError> {
        self.put(IDENT, ident)
    }

    /// The newest snapshot.
    pub fn snapshot(&self) -> Result<Option<Snapshotted>, StoreError> {
        self.get(SNAPSHOT)
    }

    /// Keeps a snapshot in place of the one before.
    pub fn keep_snapshot(&self, snapshot: &Snapshotted) -> Result<(), StoreError> {
        self.put(SNAPSHOT, snapshot)
    }

    fn entries(&self, range: impl RangeBounds<u64>) -> Result<Vec<Entry<Types>>, StoreError> {
        let all = || -> Result<Vec<Entry<Types>>, String> {
            let transaction = self.db.begin_read().map_err(|e| e.to_string())?;
            let log = transaction.open_table(LOG).map_err(|e| e.to_string())?;
            let mut found = Vec::new();
            for row in log.range(range).map_err(|e| e.to_string())? {
                let (index, bytes) = row.map_err(|e| e.to_string())?;
                let what = format!("entry {} of the log", index.value());
                let entry: Entry<Types> = unseal(&what, bytes.value())?;
                if entry.get_log_id().index != index.value() {
                    return Err(format!("{what} says that it is entry {}", entry.get_log_id().index));
                }
                found.push(entry);
            }
            Ok(found)
        };
        all().map_err(|what| self.wrong(what))
    }

    /// All that the disk knows, carried out: the snapshot and every entry after it, with the newest entry's place.
    /// For the day when a majority is lost. An entry may not have been committed; one that was, and of which this is
    /// the newest disk left, is not lost so.
    pub fn last_state(&self) -> Result<Option<(LogId<u64>, State)>, StoreError> {
        let Some(ident) = self.ident()? else { return Ok(None) };
        let snapshot = self.snapshot()?;
        let mut last = snapshot.as_ref().and_then(|s| s.meta.last_log_id);
        let mut state = snapshot.map_or_else(|| State::new(ident.generation), |s| s.state);
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

fn any(e: &StoreError) -> AnyError {
    AnyError::new(e)
}

impl RaftLogReader<Types> for Store {
    async fn try_get_log_entries<R>(&mut self, range: R) -> Result<Vec<Entry<Types>>, StorageError<u64>>
    where
        R: RangeBounds<u64> + Clone + fmt::Debug + Send,
    {
        let bounds: (Bound<u64>, Bound<u64>) = (range.start_bound().cloned(), range.end_bound().cloned());
        blocking(|| self.entries(bounds)).map_err(|e| StorageIOError::read_logs(any(&e)).into())
    }
}

impl RaftLogStorage<Types> for Store {
    type LogReader = Store;

    async fn get_log_state(&mut self) -> Result<LogState<Types>, StorageError<u64>> {
        let all = || {
            let purged = self.get::<LogId<u64>>(PURGED)?;
            let transaction = self.db.begin_read().map_err(|e| self.wrong(e))?;
            let log = transaction.open_table(LOG).map_err(|e| self.wrong(e))?;
            let last = log.last().map_err(|e| self.wrong(e))?;
            let last = match last {
                Some((_, bytes)) => Some(
                    unseal::<Entry<Types>>("the log's last entry", bytes.value())
                        .map_err(|what| self.wrong(what))?
                        .log_id,
                ),
                None => purged,
            };
            Ok(LogState { last_purged_log_id: purged, last_log_id: last })
        };
        blocking(all).map_err(|e: StoreError| StorageIOError::read_logs(any(&e)).into())
    }

    async fn get_log_reader(&mut self) -> Store {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<u64>) -> Result<(), StorageError<u64>> {
        blocking(|| self.put(VOTE, vote)).map_err(|e| StorageIOError::write_vote(any(&e)).into())
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<u64>>, StorageError<u64>> {
        blocking(|| self.get(VOTE)).map_err(|e| StorageIOError::read_vote(any(&e)).into())
    }

    async fn append<I>(&mut self, entries: I, callback: LogFlushed<Types>) -> Result<(), StorageError<u64>>
    where
        I: IntoIterator<Item = Entry<Types>> + Send,
        I::IntoIter: Send,
    {
        let sealed: Result<Vec<(u64, Vec<u8>)>, String> =
            entries.into_iter().map(|e| Ok((e.log_id.index, seal(&e)?))).collect();
        let written = sealed.map_err(|what| self.wrong(what)).and_then(|sealed| {
            blocking(|| {
                self.write(|log, _| {
                    for (index, bytes) in &sealed {
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
                Err(StorageIOError::write_logs(any(&e)).into())
            }
        }
    }

    async fn truncate(&mut self, from: LogId<u64>) -> Result<(), StorageError<u64>> {
        let cut =
            || self.write(|log, _| log.retain_in(from.index.., |_, _| false).map_err(|e| e.to_string()));
        blocking(cut).map_err(|e| StorageIOError::write_logs(any(&e)).into())
    }

    async fn purge(&mut self, upto: LogId<u64>) -> Result<(), StorageError<u64>> {
        let bytes = seal(&upto).map_err(|what| self.wrong(what));
        let cut = |bytes: Vec<u8>| {
            self.write(|log, meta| {
                meta.insert(PURGED, &bytes[..]).map_err(|e| e.to_string())?;
                log.retain_in(..=upto.index, |_, _| false).map_err(|e| e.to_string())
            })
        };
        bytes
            .and_then(|bytes| blocking(|| cut(bytes)))
            .map_err(|e| StorageIOError::write_logs(any(&e)).into())
    }
}
