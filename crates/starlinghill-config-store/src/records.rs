//! Records on disk: a batch of them is there whole, or not at all, and what was told to be there is there or is missed.
//!
//! `fjall` takes nothing more once a write or a sync has failed, and rightly: nobody knows what the disk has of it. So all
//! records go to a new database then, in a folder of their own. A folder counts once its mark is synced; of those that
//! count the newest is read, and never an older one in its place: that would be old state. The same bounds the disk: a
//! folder that has taken many times what it holds is replaced.
//!
//! Each batch ends with a seal: its number, and a digest of all records. A journal whose last batch is torn is read
//! without it, as nobody was told of that. Where more is missing, or the digest differs, the disk counts as lost.

use crate::disk::{DatabaseSnafu, FolderSnafu, StorageError};
use fjall::{Database, Keyspace, KeyspaceCreateOptions, PersistMode};
use snafu::ResultExt;
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use xxhash_rust::xxh3::xxh3_64;

/// Sizes in bytes: the records are few, and the disk is small.
const CACHE: u64 = 1 << 20;
const MEMTABLE: u64 = 2 << 20;
const JOURNALS: u64 = 64 << 20;
/// A folder is replaced once it has taken that, and four times what it holds, in bytes: a start reads all of it.
pub const REPLACED_AT: u64 = 4 << 20;
/// The key of the seal, and what it begins with: sought for in journals as they lie on disk.
const SEAL: &[u8] = b"seal";
const MAGIC: &[u8; 16] = b"\x93starlinghill!\xd7\x01";
/// Its length: the magic, the batch's number, the digest.
const SEALED: usize = MAGIC.len() + 16;
/// Behind a seal the end of its batch takes fewer bytes than that, and the next batch more.
const BEHIND: usize = SEALED + 40;
/// Journals are made long, of nothing: what lies behind so many bytes of nothing was never written.
const BLANK: usize = 64 << 10;
const NAME: &str = "patternbook";
/// The mark of a folder that counts.
const WHOLE: &str = "whole";

/// Records by their keys.
pub type Held = BTreeMap<Vec<u8>, Vec<u8>>;
/// Records to write; `None`: to drop.
pub type Changes = Vec<(Vec<u8>, Option<Vec<u8>>)>;

struct Base {
    records: Keyspace,
    database: Database,
}

/// The records of a store.
pub struct Records {
    folder: PathBuf,
    /// The number of the folder that counts.
    number: u64,
    /// Closed where a write has failed, or nothing was written yet.
    base: Option<Base>,
    held: Held,
    digest: u64,
    batches: u64,
    /// Bytes that the folder has taken.
    taken: u64,
    spoilt: Option<String>,
}

enum Bad {
    /// The disk refuses now.
    Refused(fjall::Error),
    /// What it gives is not what was written.
    Spoilt(String),
}

impl From<fjall::Error> for Bad {
    fn from(error: fjall::Error) -> Bad {
        use io::ErrorKind::{InvalidData, NotFound, UnexpectedEof};
        let of_disk = |error: &io::Error| !matches!(error.kind(), InvalidData | NotFound | UnexpectedEof);
        match &error {
            fjall::Error::Io(inner) if of_disk(inner) => Bad::Refused(error),
            fjall::Error::Storage(fjall::LsmError::Io(inner)) if of_disk(inner) => Bad::Refused(error),
            fjall::Error::Locked | fjall::Error::Poisoned => Bad::Refused(error),
            _ => Bad::Spoilt(error.to_string()),
        }
    }
}

impl From<io::Error> for Bad {
    fn from(error: io::Error) -> Bad {
        fjall::Error::Io(error).into()
    }
}

impl Records {
    /// Reads what is there. A folder that never counted is removed: nobody was told of anything in it.
    pub fn open(folder: &Path) -> Result<Records, StorageError> {
        let whole = tidy(folder).context(FolderSnafu { path: folder })?;
        let mut records = Records {
            folder: folder.into(),
            number: whole.unwrap_or_default(),
            base: None,
            held: Held::new(),
            digest: 0,
            batches: 0,
            taken: 0,
            spoilt: None,
        };
        let Some(number) = whole else { return Ok(records) };
        let path = place(folder, number);
        match read(&path) {
            Ok((base, held, batches, taken)) => {
                (records.digest, records.held) = (digest(&held), held);
                (records.base, records.batches, records.taken) = (base, batches, taken);
            }
            Err(Bad::Refused(source)) => return Err(source).context(DatabaseSnafu { path }),
            Err(Bad::Spoilt(why)) => records.spoil(why),
        }
        Ok(records)
    }

    /// What is on disk.
    pub fn held(&self) -> &Held {
        &self.held
    }

    /// Why the disk counts as lost, where it does.
    pub fn spoilt(&self) -> Option<&str> {
        self.spoilt.as_deref()
    }

    /// The disk counts as lost: nothing on it is to be trusted.
    pub fn spoil(&mut self, why: String) {
        log::error!("event=disk_spoilt why=\"{why}\" action=counts_as_lost");
        (self.base, self.spoilt) = (None, Some(why));
        self.held.clear();
        (self.digest, self.batches) = (0, 0);
    }

    /// Writes and syncs. All of it is on disk when this returns, or none of it counts; after a failure what was to be
    /// written must be written again, with whatever has come since.
    pub fn save(&mut self, changes: Changes) -> Result<(), StorageError> {
        let new = |(key, value): &(Vec<u8>, Option<Vec<u8>>)| self.held.get(key) != value.as_ref();
        let changes: Changes = changes.into_iter().filter(new).collect();
        let Some(base) = &self.base else {
            let mut next = self.held.clone();
            changes.into_iter().for_each(|change| apply(&mut next, change));
            return self.renew(next);
        };
        if changes.is_empty() {
            return Ok(());
        }
        let mut digest = self.digest;
        for (key, value) in &changes {
            digest = digest.wrapping_sub(self.held.get(key).map_or(0, |old| one(key, old)));
            digest = digest.wrapping_add(value.as_ref().map_or(0, |new| one(key, new)));
        }
        let seal = seal(self.batches + 1, digest);
        let mut batch = base.database.batch().durability(Some(PersistMode::SyncAll));
        for (key, value) in &changes {
            match value {
                Some(value) => batch.insert(&base.records, key.as_slice(), value.as_slice()),
                None => batch.remove(&base.records, key.as_slice()),
            }
        }
        batch.insert(&base.records, SEAL, seal);
        if let Err(source) = batch.commit() {
            // Nothing more is taken by it.
            self.base = None;
            return Err(source).context(DatabaseSnafu { path: place(&self.folder, self.number) });
        }
        (self.digest, self.batches) = (digest, self.batches + 1);
        self.taken += changes.iter().map(size).sum::<usize>() as u64;
        changes.into_iter().for_each(|change| apply(&mut self.held, change));
        let holds: usize = self.held.iter().map(|(key, value)| key.len() + value.len()).sum();
        if self.taken > REPLACED_AT.max(4 * holds as u64) {
            self.taken = 0;
            // What is told of is on disk either way.
            if let Err(error) = self.renew(self.held.clone()) {
                log::warn!("event=disk_not_compacted error=\"{error}\"");
            }
        }
        Ok(())
    }

    /// All records to a new folder, which counts from then on; the old one goes.
    fn renew(&mut self, next: Held) -> Result<(), StorageError> {
        let number = self.number + 1;
        let path = place(&self.folder, number);
        let folder = || FolderSnafu { path: path.clone() };
        remove(&path).context(folder())?;
        let digest = digest(&next);
        let disk = || DatabaseSnafu { path: path.clone() };
        let base = open(&path).context(disk())?;
        let mut batch = base.database.batch().durability(Some(PersistMode::SyncAll));
        for (key, value) in &next {
            batch.insert(&base.records, key.as_slice(), value.as_slice());
        }
        batch.insert(&base.records, SEAL, seal(1, digest));
        batch.commit().context(disk())?;
        let mark = File::create(path.join(WHOLE)).and_then(|mark| mark.sync_all());
        let synced = mark.and_then(|()| sync(&path)).and_then(|()| sync(&self.folder));
        synced.context(folder())?;
        let old = std::mem::replace(&mut self.number, number);
        (self.base, self.held, self.digest, self.batches) = (Some(base), next, digest, 1);
        (self.taken, self.spoilt) = (0, None);
        // What stays of it is removed at the next start.
        let _ = remove(&place(&self.folder, old));
        Ok(())
    }
}

fn apply(held: &mut Held, (key, value): (Vec<u8>, Option<Vec<u8>>)) {
    match value {
        Some(value) => held.insert(key, value),
        None => held.remove(&key),
    };
}

fn size((key, value): &(Vec<u8>, Option<Vec<u8>>)) -> usize {
    key.len() + value.as_ref().map_or(0, Vec::len)
}

fn one(key: &[u8], value: &[u8]) -> u64 {
    xxh3_64(value).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ xxh3_64(key)
}

fn digest(held: &Held) -> u64 {
    held.iter().map(|(key, value)| one(key, value)).fold(0, u64::wrapping_add)
}

fn seal(batch: u64, digest: u64) -> Vec<u8> {
    [&MAGIC[..], &batch.to_le_bytes(), &digest.to_le_bytes()].concat()
}

/// The batch's number and the digest.
fn unseal(seal: &[u8]) -> Option<(u64, u64)> {
    let (batch, digest) = seal.strip_prefix(&MAGIC[..])?.split_first_chunk::<8>()?;
    Some((u64::from_le_bytes(*batch), u64::from_le_bytes(*digest.first_chunk()?)))
}

fn place(folder: &Path, number: u64) -> PathBuf {
    match number {
        // As the versions before had it.
        0 => folder.join(NAME),
        number => folder.join(format!("{NAME}.{number}")),
    }
}

fn sync(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

/// A folder with all that is in it, by nothing but lists and removals by path: not every disk knows more.
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

/// The newest folder that counts; the others are removed.
fn tidy(folder: &Path) -> io::Result<Option<u64>> {
    let (mut whole, mut all) = (None, Vec::new());
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        let Some(rest) = path.file_name().and_then(|name| name.to_str()?.strip_prefix(NAME)) else {
            continue;
        };
        let number = match rest {
            "" => Some(0),
            rest => rest.strip_prefix('.').and_then(|number| number.parse::<u64>().ok()),
        };
        // The versions before had no mark; a first start that was broken off has not come to `fjall`'s.
        let mark = if number == Some(0) { "version" } else { WHOLE };
        let counts = number.filter(|_| path.join(mark).exists());
        whole = whole.max(counts);
        all.push((counts, path));
    }
    for (_, path) in all.into_iter().filter(|(number, _)| number.is_none() || *number != whole) {
        if let Err(error) = remove(&path) {
            log::warn!("event=disk_not_tidied path={} error=\"{error}\"", path.display());
        }
    }
    Ok(whole)
}

fn open(path: &Path) -> fjall::Result<Base> {
    let opened = || {
        let database = Database::builder(path)
            .cache_size(CACHE)
            .worker_threads(1)
            .max_journaling_size(JOURNALS)
            .open()?;
        let options = || KeyspaceCreateOptions::default().max_memtable_size(MEMTABLE);
        let records = database.keyspace("records", options)?;
        Ok(Base { records, database })
    };
    // Of some files that it did not write it makes no error, but ends its thread.
    std::panic::catch_unwind(opened).unwrap_or(Err(fjall::Error::Unrecoverable))
}

/// A database, what it holds, the number of its last batch, and what it has taken. No database: it can't be written to
/// any more.
fn read(path: &Path) -> Result<(Option<Base>, Held, u64, u64), Bad> {
    let journals = journals(path)?;
    let taken = journals.values().map(|bytes| bytes.len() as u64).sum();
    let seals = journals.values().flat_map(|bytes| seals(bytes));
    let told = seals.filter_map(|(_, batch)| batch).max().unwrap_or_default();
    match open(path) {
        Ok(base) => {
            let (held, batches) = check(&base, told)?;
            Ok((Some(base), held, batches, taken))
        }
        Err(fjall::Error::JournalRecovery(error)) => {
            log::warn!("event=journal_torn path={} error=\"{error:?}\"", path.display());
            let (held, batches) = mend(path, &journals, told)?;
            Ok((None, held, batches, taken))
        }
        Err(error) => Err(error.into()),
    }
}

/// What a database holds, if that is all that it was told to.
fn check(base: &Base, told: u64) -> Result<(Held, u64), Bad> {
    let mut held = Held::new();
    for record in base.records.iter() {
        let (key, value) = record.into_inner()?;
        held.insert(key.to_vec(), value.to_vec());
    }
    let Some(seal) = held.remove(SEAL) else {
        return match told {
            // By a version that sealed nothing.
            0 => Ok((held, 0)),
            _ => Err(Bad::Spoilt(format!("no seal, though batch {told} was written"))),
        };
    };
    let Some((batches, sealed)) = unseal(&seal) else {
        return Err(Bad::Spoilt("a seal that is none".into()));
    };
    // The last one may be torn, and then nobody was told of it.
    if batches + 1 < told {
        return Err(Bad::Spoilt(format!("batch {batches} is the last one, though {told} was written")));
    }
    let found = digest(&held);
    if found != sealed {
        return Err(Bad::Spoilt(format!("digest {found:016x}, sealed: {sealed:016x}")));
    }
    Ok((held, batches))
}

/// Journals by their numbers, as far as anything was written to them.
fn journals(path: &Path) -> io::Result<BTreeMap<u64, Vec<u8>>> {
    let mut journals = BTreeMap::new();
    for entry in fs::read_dir(path)? {
        let path = entry?.path();
        let name = path.file_name().and_then(|name| name.to_str()?.strip_suffix(".jnl"));
        let Some(number) = name.and_then(|number| number.parse().ok()) else { continue };
        let (mut file, mut bytes) = (File::open(&path)?, Vec::new());
        loop {
            let before = bytes.len();
            let read = (&mut file).take(BLANK as u64).read_to_end(&mut bytes)?;
            if read == 0 || bytes[before..].iter().all(|byte| *byte == 0) {
                break;
            }
        }
        journals.insert(number, bytes);
    }
    Ok(journals)
}

/// Where seals begin, and of which batches they are; none where the end was torn off.
fn seals(bytes: &[u8]) -> impl Iterator<Item = (usize, Option<u64>)> + '_ {
    let found = bytes.windows(MAGIC.len()).enumerate().filter(|(_, window)| window == MAGIC);
    found.map(|(at, _)| (at, bytes.get(at..at + SEALED).and_then(unseal).map(|(batch, _)| batch)))
}

/// What a database holds without its last batch, which was torn: read from a copy that ends within that.
fn mend(path: &Path, journals: &BTreeMap<u64, Vec<u8>>, told: u64) -> Result<(Held, u64), Bad> {
    let torn = || Bad::Spoilt("a journal that is torn where nothing was being written".into());
    let (number, bytes) = journals.iter().next_back().ok_or_else(torn)?;
    let (last, _) = seals(bytes).last().ok_or_else(torn)?;
    // The seal of the torn batch is there or not.
    let mut outcome = Err(torn());
    for end in [last + BEHIND, last] {
        let copy = path.with_file_name(format!("{NAME}.mend"));
        remove(&copy)?;
        duplicate(path, &copy)?;
        for (number, bytes) in journals {
            fs::write(copy.join(format!("{number}.jnl")), bytes)?;
        }
        fs::write(copy.join(format!("{number}.jnl")), &bytes[..end.min(bytes.len())])?;
        outcome = open(&copy).map_err(Bad::from).and_then(|base| check(&base, told));
        remove(&copy)?;
        if outcome.is_ok() {
            break;
        }
    }
    outcome
}

/// All files but journals.
fn duplicate(from: &Path, to: &Path) -> io::Result<()> {
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let (path, to) = {
            let entry = entry?;
            (entry.path(), to.join(entry.file_name()))
        };
        match path.is_dir() {
            true => duplicate(&path, &to)?,
            false if path.extension().is_some_and(|kind| kind == "jnl") => {}
            false => fs::write(&to, fs::read(&path)?)?,
        }
    }
    Ok(())
}
