//! Key-value records on disk. A batch of records is written as a whole or not at all. After a restart, every batch that was
//! reported as written is there, or its loss is detected.
//!
//! `fjall` accepts no more writes once a write or a sync has failed, since nobody knows what part of it reached the disk.
//! All records are then written to a new database in a folder of its own. A folder is valid once its marker file is synced.
//! On start, the newest valid folder is read, and an older one never takes its place: it would bring back old state. The
//! same mechanism bounds the size on disk: a folder that has taken in several times what it holds is replaced.
//!
//! Each batch ends with a seal record: the number of the batch, and a digest of all records. A journal whose last batch is
//! torn is read without that batch, as it was never reported as written. If more is missing, or the digest differs, the
//! disk counts as lost.

use crate::disk::{DatabaseSnafu, FolderSnafu, StorageError};
use fjall::{Database, Keyspace, KeyspaceCreateOptions, PersistMode};
use snafu::ResultExt;
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use xxhash_rust::xxh3::xxh3_64;

/// Sizes of the database's parts, in bytes: the records are few, and the disk may be small.
const CACHE_BYTES: u64 = 1 << 20;
const MEMTABLE_BYTES: u64 = 2 << 20;
const MAX_JOURNAL_BYTES: u64 = 64 << 20;
/// A folder is replaced once it has taken in this many bytes, and four times what it holds. This bounds the time of a
/// start, which reads the whole folder.
pub const MIN_REPLACE_BYTES: u64 = 4 << 20;
/// The key of the seal record.
const SEAL_KEY: &[u8] = b"seal";
/// The bytes that a seal begins with. They make seals recognisable in the raw bytes of a journal.
const SEAL_MAGIC: &[u8; 16] = b"\x93starlinghill!\xd7\x01";
/// The length of a seal in bytes: the magic, the number of the batch, the digest.
const SEAL_BYTES: usize = SEAL_MAGIC.len() + 16;
/// A batch ends fewer bytes than this after the start of its seal, and the next batch is longer. Cutting a journal here
/// thus keeps the sealed batch whole, and no whole batch after it.
const SEAL_TAIL_BYTES: usize = SEAL_BYTES + 40;
/// Journals are preallocated with zeros. After this many zero bytes, nothing more was written.
const BLANK_BYTES: usize = 64 << 10;
/// The name of the database folders.
const FOLDER_NAME: &str = "patternbook";
/// The name of the marker file in a valid folder.
const MARKER_NAME: &str = "whole";

/// All records, by key.
pub type RecordMap = BTreeMap<Vec<u8>, Vec<u8>>;
/// Records to write; `None` deletes the record.
pub type Changes = Vec<(Vec<u8>, Option<Vec<u8>>)>;

struct OpenDatabase {
    records: Keyspace,
    database: Database,
}

/// The records of a store.
pub struct Records {
    folder: PathBuf,
    /// The number of the valid database folder.
    number: u64,
    /// `None` after a failed write, or if nothing was written yet. The next save then makes a new folder.
    database: Option<OpenDatabase>,
    /// A copy of all records on disk.
    records: RecordMap,
    digest: u64,
    /// The number of the last batch.
    batches: u64,
    /// Bytes that were written to the folder.
    written: u64,
    /// Why the disk counts as lost, if it does.
    lost: Option<String>,
}

enum ReadError {
    /// The disk fails now. What is on it may be intact.
    Unavailable(fjall::Error),
    /// The disk does not hold what was written to it.
    Corrupt(String),
}

impl From<fjall::Error> for ReadError {
    fn from(error: fjall::Error) -> ReadError {
        use io::ErrorKind::{InvalidData, NotFound, UnexpectedEof};
        let is_disk_failure =
            |error: &io::Error| !matches!(error.kind(), InvalidData | NotFound | UnexpectedEof);
        match &error {
            fjall::Error::Io(inner) if is_disk_failure(inner) => ReadError::Unavailable(error),
            fjall::Error::Storage(fjall::LsmError::Io(inner)) if is_disk_failure(inner) => {
                ReadError::Unavailable(error)
            }
            fjall::Error::Locked | fjall::Error::Poisoned => ReadError::Unavailable(error),
            _ => ReadError::Corrupt(error.to_string()),
        }
    }
}

impl From<io::Error> for ReadError {
    fn from(error: io::Error) -> ReadError {
        fjall::Error::Io(error).into()
    }
}

impl Records {
    /// Reads the newest valid database folder in `folder`, and removes the others. A folder without a marker can be removed
    /// because nothing in it was ever reported as written.
    pub fn open(folder: &Path) -> Result<Records, StorageError> {
        let valid = remove_stale_folders(folder).context(FolderSnafu { path: folder })?;
        let mut records = Records {
            folder: folder.into(),
            number: valid.unwrap_or_default(),
            database: None,
            records: RecordMap::new(),
            digest: 0,
            batches: 0,
            written: 0,
            lost: None,
        };
        let Some(number) = valid else { return Ok(records) };
        let path = database_path(folder, number);
        match read(&path) {
            Ok((database, found, batches, written)) => {
                (records.digest, records.records) = (digest(&found), found);
                (records.database, records.batches, records.written) = (database, batches, written);
            }
            Err(ReadError::Unavailable(source)) => return Err(source).context(DatabaseSnafu { path }),
            Err(ReadError::Corrupt(reason)) => records.mark_lost(reason),
        }
        Ok(records)
    }

    /// All records on disk.
    pub fn all(&self) -> &RecordMap {
        &self.records
    }

    /// Why the disk counts as lost; `None` if it does not.
    pub fn lost(&self) -> Option<&str> {
        self.lost.as_deref()
    }

    /// Declares the disk as lost: no record on it is used.
    pub fn mark_lost(&mut self, reason: String) {
        log::error!("event=disk_spoilt why=\"{reason}\" action=counts_as_lost");
        (self.database, self.lost) = (None, Some(reason));
        self.records.clear();
        (self.digest, self.batches) = (0, 0);
    }

    /// Writes and syncs a batch. After an error, none of it counts as written: the caller must save it again, together with
    /// any later changes.
    pub fn save(&mut self, changes: Changes) -> Result<(), StorageError> {
        let differs = |(key, value): &(Vec<u8>, Option<Vec<u8>>)| self.records.get(key) != value.as_ref();
        let changes: Changes = changes.into_iter().filter(differs).collect();
        let Some(open) = &self.database else {
            let mut next = self.records.clone();
            changes.into_iter().for_each(|change| apply(&mut next, change));
            return self.write_new_folder(next);
        };
        if changes.is_empty() {
            return Ok(());
        }
        let mut digest = self.digest;
        for (key, value) in &changes {
            digest = digest.wrapping_sub(self.records.get(key).map_or(0, |old| record_digest(key, old)));
            digest = digest.wrapping_add(value.as_ref().map_or(0, |new| record_digest(key, new)));
        }
        let seal = seal(self.batches + 1, digest);
        let mut batch = open.database.batch().durability(Some(PersistMode::SyncAll));
        for (key, value) in &changes {
            match value {
                Some(value) => batch.insert(&open.records, key.as_slice(), value.as_slice()),
                None => batch.remove(&open.records, key.as_slice()),
            }
        }
        batch.insert(&open.records, SEAL_KEY, seal);
        if let Err(source) = batch.commit() {
            // The database accepts no more writes.
            self.database = None;
            return Err(source).context(DatabaseSnafu { path: database_path(&self.folder, self.number) });
        }
        (self.digest, self.batches) = (digest, self.batches + 1);
        self.written += changes.iter().map(size).sum::<usize>() as u64;
        changes.into_iter().for_each(|change| apply(&mut self.records, change));
        let held: usize = self.records.iter().map(|(key, value)| key.len() + value.len()).sum();
        if self.written > MIN_REPLACE_BYTES.max(4 * held as u64) {
            self.written = 0;
            // The batch is on disk even if the new folder can't be written.
            if let Err(error) = self.write_new_folder(self.records.clone()) {
                log::warn!("event=disk_not_compacted error=\"{error}\"");
            }
        }
        Ok(())
    }

    /// Writes all records to a new database folder, makes it the valid one, and removes the old one.
    fn write_new_folder(&mut self, next: RecordMap) -> Result<(), StorageError> {
        let number = self.number + 1;
        let path = database_path(&self.folder, number);
        let folder = || FolderSnafu { path: path.clone() };
        remove(&path).context(folder())?;
        let digest = digest(&next);
        let database = || DatabaseSnafu { path: path.clone() };
        let open = open(&path).context(database())?;
        let mut batch = open.database.batch().durability(Some(PersistMode::SyncAll));
        for (key, value) in &next {
            batch.insert(&open.records, key.as_slice(), value.as_slice());
        }
        batch.insert(&open.records, SEAL_KEY, seal(1, digest));
        batch.commit().context(database())?;
        let marker = File::create(path.join(MARKER_NAME)).and_then(|marker| marker.sync_all());
        let synced = marker.and_then(|()| sync(&path)).and_then(|()| sync(&self.folder));
        synced.context(folder())?;
        let old = std::mem::replace(&mut self.number, number);
        (self.database, self.records, self.digest, self.batches) = (Some(open), next, digest, 1);
        (self.written, self.lost) = (0, None);
        // If this fails, the next start removes the rest.
        let _ = remove(&database_path(&self.folder, old));
        Ok(())
    }
}

fn apply(records: &mut RecordMap, (key, value): (Vec<u8>, Option<Vec<u8>>)) {
    match value {
        Some(value) => records.insert(key, value),
        None => records.remove(&key),
    };
}

fn size((key, value): &(Vec<u8>, Option<Vec<u8>>)) -> usize {
    key.len() + value.as_ref().map_or(0, Vec::len)
}

fn record_digest(key: &[u8], value: &[u8]) -> u64 {
    xxh3_64(value).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ xxh3_64(key)
}

/// The digest of all records: a sum, so that a batch can update it without reading the other records.
fn digest(records: &RecordMap) -> u64 {
    records.iter().map(|(key, value)| record_digest(key, value)).fold(0, u64::wrapping_add)
}

fn seal(batch: u64, digest: u64) -> Vec<u8> {
    [&SEAL_MAGIC[..], &batch.to_le_bytes(), &digest.to_le_bytes()].concat()
}

/// Decodes a seal into the number of the batch and the digest.
fn parse_seal(seal: &[u8]) -> Option<(u64, u64)> {
    let (batch, digest) = seal.strip_prefix(&SEAL_MAGIC[..])?.split_first_chunk::<8>()?;
    Some((u64::from_le_bytes(*batch), u64::from_le_bytes(*digest.first_chunk()?)))
}

fn database_path(folder: &Path, number: u64) -> PathBuf {
    match number {
        // The folder of earlier versions, which used a single one.
        0 => folder.join(FOLDER_NAME),
        number => folder.join(format!("{FOLDER_NAME}.{number}")),
    }
}

fn sync(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

/// Removes a folder with its content. It uses only listing and removal by path, which every file system supports.
fn remove(path: &Path) -> io::Result<()> {
    let entries = match fs::read_dir(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(()),
        entries => entries?,
    };
    for entry in entries {
        let entry = entry?.path();
        match entry.is_dir() {
            true => remove(&entry)?,
            false => fs::remove_file(&entry)?,
        }
    }
    fs::remove_dir(path)
}

/// Finds the newest valid database folder, and removes all others.
fn remove_stale_folders(folder: &Path) -> io::Result<Option<u64>> {
    let (mut newest, mut all) = (None, Vec::new());
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        let Some(rest) = path.file_name().and_then(|name| name.to_str()?.strip_prefix(FOLDER_NAME)) else {
            continue;
        };
        let number = match rest {
            "" => Some(0),
            rest => rest.strip_prefix('.').and_then(|number| number.parse::<u64>().ok()),
        };
        // Earlier versions wrote no marker. Their folder is valid once `fjall` has written its version file, which an
        // interrupted first start has not.
        let marker = if number == Some(0) { "version" } else { MARKER_NAME };
        let valid = number.filter(|_| path.join(marker).exists());
        newest = newest.max(valid);
        all.push((valid, path));
    }
    for (_, path) in all.into_iter().filter(|(number, _)| number.is_none() || *number != newest) {
        if let Err(error) = remove(&path) {
            log::warn!("event=disk_not_tidied path={} error=\"{error}\"", path.display());
        }
    }
    Ok(newest)
}

fn open(path: &Path) -> fjall::Result<OpenDatabase> {
    let opened = || {
        let database = Database::builder(path)
            .cache_size(CACHE_BYTES)
            .worker_threads(1)
            .max_journaling_size(MAX_JOURNAL_BYTES)
            .open()?;
        let options = || KeyspaceCreateOptions::default().max_memtable_size(MEMTABLE_BYTES);
        let records = database.keyspace("records", options)?;
        Ok(OpenDatabase { records, database })
    };
    // `fjall` panics on some files that it did not write, instead of returning an error.
    std::panic::catch_unwind(opened).unwrap_or(Err(fjall::Error::Unrecoverable))
}

/// Reads a database folder: the open database, its records, the number of the last batch, and the bytes written so far.
/// There is no open database if its journal was torn: the records are intact, but must be written to a new folder.
fn read(path: &Path) -> Result<(Option<OpenDatabase>, RecordMap, u64, u64), ReadError> {
    let journals = journals(path)?;
    let written = journals.values().map(|bytes| bytes.len() as u64).sum();
    let seals = journals.values().flat_map(|bytes| seals(bytes));
    let last_sealed = seals.filter_map(|(_, batch)| batch).max().unwrap_or_default();
    match open(path) {
        Ok(open) => {
            let (records, batches) = verify(&open, last_sealed)?;
            Ok((Some(open), records, batches, written))
        }
        Err(fjall::Error::JournalRecovery(error)) => {
            log::warn!("event=journal_torn path={} error=\"{error:?}\"", path.display());
            let (records, batches) = read_without_torn_batch(path, &journals, last_sealed)?;
            Ok((None, records, batches, written))
        }
        Err(error) => Err(error.into()),
    }
}

/// Reads all records of a database, and checks them against their seal. `last_sealed` is the highest number of a batch whose
/// seal was found in the journals.
fn verify(open: &OpenDatabase, last_sealed: u64) -> Result<(RecordMap, u64), ReadError> {
    let mut records = RecordMap::new();
    for record in open.records.iter() {
        let (key, value) = record.into_inner()?;
        records.insert(key.to_vec(), value.to_vec());
    }
    let Some(seal) = records.remove(SEAL_KEY) else {
        return match last_sealed {
            // Written by an earlier version, which wrote no seals.
            0 => Ok((records, 0)),
            _ => Err(ReadError::Corrupt(format!("no seal, though batch {last_sealed} was written"))),
        };
    };
    let Some((batches, sealed_digest)) = parse_seal(&seal) else {
        return Err(ReadError::Corrupt("the seal can't be read".into()));
    };
    // The last batch may be torn, and was then never reported as written.
    if batches + 1 < last_sealed {
        return Err(ReadError::Corrupt(format!(
            "batch {batches} is the last one, though {last_sealed} was written"
        )));
    }
    let found = digest(&records);
    if found != sealed_digest {
        return Err(ReadError::Corrupt(format!("digest {found:016x}, sealed: {sealed_digest:016x}")));
    }
    Ok((records, batches))
}

/// The written part of each journal file, by the journal's number.
fn journals(path: &Path) -> io::Result<BTreeMap<u64, Vec<u8>>> {
    let mut journals = BTreeMap::new();
    for entry in fs::read_dir(path)? {
        let path = entry?.path();
        let name = path.file_name().and_then(|name| name.to_str()?.strip_suffix(".jnl"));
        let Some(number) = name.and_then(|number| number.parse().ok()) else { continue };
        let (mut file, mut bytes) = (File::open(&path)?, Vec::new());
        loop {
            let before = bytes.len();
            let read = (&mut file).take(BLANK_BYTES as u64).read_to_end(&mut bytes)?;
            if read == 0 || bytes[before..].iter().all(|byte| *byte == 0) {
                break;
            }
        }
        journals.insert(number, bytes);
    }
    Ok(journals)
}

/// The seals in a journal: each one's offset, and the number of its batch (`None` if the seal is cut off).
fn seals(bytes: &[u8]) -> impl Iterator<Item = (usize, Option<u64>)> + '_ {
    let found = bytes.windows(SEAL_MAGIC.len()).enumerate().filter(|(_, window)| window == SEAL_MAGIC);
    found.map(|(at, _)| (at, bytes.get(at..at + SEAL_BYTES).and_then(parse_seal).map(|(batch, _)| batch)))
}

/// Reads a database whose last batch is torn, without that batch: opens a copy whose journal is cut off before it.
fn read_without_torn_batch(
    path: &Path,
    journals: &BTreeMap<u64, Vec<u8>>,
    last_sealed: u64,
) -> Result<(RecordMap, u64), ReadError> {
    let torn = || ReadError::Corrupt("a journal is torn at a place other than its last batch".into());
    let (number, bytes) = journals.iter().next_back().ok_or_else(torn)?;
    let (last, _) = seals(bytes).last().ok_or_else(torn)?;
    // The last seal belongs either to the last whole batch, which is then kept, or to the torn batch itself.
    let mut outcome = Err(torn());
    for end in [last + SEAL_TAIL_BYTES, last] {
        let copy = path.with_file_name(format!("{FOLDER_NAME}.mend"));
        remove(&copy)?;
        copy_without_journals(path, &copy)?;
        for (number, bytes) in journals {
            fs::write(copy.join(format!("{number}.jnl")), bytes)?;
        }
        fs::write(copy.join(format!("{number}.jnl")), &bytes[..end.min(bytes.len())])?;
        outcome = open(&copy).map_err(ReadError::from).and_then(|open| verify(&open, last_sealed));
        remove(&copy)?;
        if outcome.is_ok() {
            break;
        }
    }
    outcome
}

/// Copies a folder with all files but the journals.
fn copy_without_journals(from: &Path, to: &Path) -> io::Result<()> {
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let (path, to) = {
            let entry = entry?;
            (entry.path(), to.join(entry.file_name()))
        };
        match path.is_dir() {
            true => copy_without_journals(&path, &to)?,
            false if path.extension().is_some_and(|extension| extension == "jnl") => {}
            false => fs::write(&to, fs::read(&path)?)?,
        }
    }
    Ok(())
}
