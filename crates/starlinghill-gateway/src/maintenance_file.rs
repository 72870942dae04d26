//! The file of orders that the processes of one gateway share.

use crate::handover::file_name;
use starlinghill_maintenance::MaintenanceOrders;
use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};
use tracing::warn;

/// How often the lock is tried for, a millisecond apart. It is held for one write of a small file; one who stands still while
/// holding it must not stop the others.
const TRIES: u32 = 20;
/// The longest file that is read. Guards memory against a file that is none of ours.
const LONGEST: u64 = 1 << 20;

/// The file, and how it looked when it was read last.
pub struct Orders {
    path: PathBuf,
    lock: PathBuf,
    seen: Option<Look>,
}

/// Changes with every file that is put in its place.
type Look = (SystemTime, u64, u64);

impl Orders {
    /// The file of this gateway in a folder that outlives its processes.
    pub fn at(folder: &Path, gateway: &str) -> Orders {
        let path = folder.join(file_name(gateway, "orders"));
        Orders { lock: path.with_extension("lock"), path, seen: None }
    }

    /// The book, if the file was changed since it was read last.
    pub fn news(&mut self) -> Option<MaintenanceOrders> {
        let look = self.look()?;
        if self.seen == Some(look) {
            return None;
        }
        self.seen = Some(look);
        match self.read() {
            Ok(book) => Some(book),
            Err(problem) => {
                // What is known already stays in force.
                warn!(file = %self.path.display(), %problem, "the file of orders can't be used");
                None
            }
        }
    }

    /// Writes the book with what others have written since merged into it by `change`, which returns the new one.
    pub fn replace(&mut self, change: impl FnOnce(MaintenanceOrders) -> MaintenanceOrders) -> io::Result<()> {
        let lock = File::create(&self.lock)?;
        let mut tries = 0;
        loop {
            match lock.try_lock() {
                Ok(()) => break,
                Err(TryLockError::Error(problem)) => return Err(problem),
                Err(TryLockError::WouldBlock) if tries == TRIES => {
                    return Err(io::Error::other("the lock is held"))
                }
                Err(TryLockError::WouldBlock) => {
                    tries += 1;
                    std::thread::sleep(Duration::from_millis(1));
                }
            }
        }
        let held = match self.read() {
            Err(problem) if problem.kind() == io::ErrorKind::NotFound => MaintenanceOrders::default(),
            held => held?,
        };
        let text = change(held).to_json();
        let new = self.path.with_extension("new");
        fs::write(&new, text)?;
        // Whoever reads sees the one before or this one, and nothing between, also after a kill.
        fs::rename(&new, &self.path)?;
        self.seen = self.look();
        Ok(())
    }

    fn look(&self) -> Option<Look> {
        use std::os::unix::fs::MetadataExt;
        let about = fs::metadata(&self.path).ok()?;
        Some((about.modified().ok()?, about.ino(), about.len()))
    }

    fn read(&self) -> io::Result<MaintenanceOrders> {
        let length = fs::metadata(&self.path)?.len();
        if length > LONGEST {
            return Err(io::Error::other(format!("expected at most {LONGEST} bytes, found {length}")));
        }
        MaintenanceOrders::from_json(&fs::read_to_string(&self.path)?).map_err(io::Error::other)
    }
}
