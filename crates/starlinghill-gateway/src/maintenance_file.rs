//! The file of maintenance orders that the processes of one gateway share.

use crate::handover::file_name;
use starlinghill_maintenance::MaintenanceOrders;
use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use tracing::warn;

/// How often the lock is tried, at intervals of 1 ms. It is held while one small file is written. A process
/// that stops while it holds the lock must not block the others.
const LOCK_TRIES: u32 = 20;
/// Longest file that is read, in bytes. It bounds the memory that a file of another origin can take up.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// The file of orders, and its state when it was last read.
pub struct MaintenanceFile {
    path: PathBuf,
    lock: PathBuf,
    last_read: Option<FileVersion>,
}

/// Modification time, inode and length, which change with every replacement of the file.
type FileVersion = (SystemTime, u64, u64);

impl MaintenanceFile {
    /// The file of this gateway in a folder that outlives its processes.
    pub fn at(folder: &Path, gateway: &str) -> MaintenanceFile {
        let path = folder.join(file_name(gateway, "orders"));
        MaintenanceFile { lock: path.with_extension("lock"), path, last_read: None }
    }

    /// Reads the orders if the file changed since it was last read.
    pub fn read_if_changed(&mut self) -> Option<MaintenanceOrders> {
        let version = self.version()?;
        if self.last_read == Some(version) {
            return None;
        }
        self.last_read = Some(version);
        match self.read() {
            Ok(book) => Some(book),
            Err(problem) => {
                // The orders known before stay in force.
                warn!(file = %self.path.display(), %problem, "the file of orders can't be used");
                None
            }
        }
    }

    /// Replaces the file. `change` gets the orders in it, which other processes may have written, and returns
    /// the new ones.
    pub fn replace(&mut self, change: impl FnOnce(MaintenanceOrders) -> MaintenanceOrders) -> io::Result<()> {
        let lock = File::create(&self.lock)?;
        let mut tries = 0;
        loop {
            match lock.try_lock() {
                Ok(()) => break,
                Err(TryLockError::Error(problem)) => return Err(problem),
                Err(TryLockError::WouldBlock) if tries == LOCK_TRIES => {
                    return Err(io::Error::other("the lock is held"))
                }
                Err(TryLockError::WouldBlock) => {
                    tries += 1;
                    std::thread::sleep(Duration::from_millis(1));
                }
            }
        }
        let current = match self.read() {
            Err(problem) if problem.kind() == io::ErrorKind::NotFound => MaintenanceOrders::default(),
            current => current?,
        };
        let text = change(current).to_json();
        let new = self.path.with_extension("new");
        fs::write(&new, text)?;
        // Readers see the old file or the new one, complete, also after a kill.
        fs::rename(&new, &self.path)?;
        self.last_read = self.version();
        Ok(())
    }

    fn version(&self) -> Option<FileVersion> {
        use std::os::unix::fs::MetadataExt;
        let metadata = fs::metadata(&self.path).ok()?;
        Some((metadata.modified().ok()?, metadata.ino(), metadata.len()))
    }

    fn read(&self) -> io::Result<MaintenanceOrders> {
        let length = fs::metadata(&self.path)?.len();
        if length > MAX_FILE_BYTES {
            return Err(io::Error::other(format!("expected at most {MAX_FILE_BYTES} bytes, found {length}")));
        }
        MaintenanceOrders::from_json(&fs::read_to_string(&self.path)?).map_err(io::Error::other)
    }
}
