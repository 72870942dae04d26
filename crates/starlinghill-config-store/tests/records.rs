//! Disks that fail, tear a batch, corrupt bytes or fill up. Afterwards a store finds everything that was reported as written,
//! or counts its disk as lost.

use starlinghill_config_model::{Item, ItemKind, VersionHistory};
use starlinghill_config_store::disk::{self, SaveRequest, Storage, StoredState};
use starlinghill_config_store::records::MIN_REPLACE_BYTES;
use starlinghill_config_store::wire::State;
use starlinghill_consensus::{AcceptorState, Ballot, Members};
use std::fs;
use std::io::Read;
use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;
use tokio::sync::oneshot;

fn item(name: &str, version: u64, padding: usize) -> Item {
    let body = Some(format!("{{\"v\":{version},\"t\":\"{}\"}}", "x".repeat(padding)));
    let history = VersionHistory::default();
    Item { kind: ItemKind::Route, name: name.into(), version, host: "a".into(), body, history }
}

fn members() -> Members {
    Members::founding((1..4).map(|i| IpAddr::from([10, 0, 0, i])))
}

fn acceptor_state(round: u64) -> AcceptorState {
    let ballot = Ballot { round, proposer: 1 };
    let me = members().voters[0];
    AcceptorState { me, promised: ballot, accepted: ballot, chosen: Ballot::default(), members: members() }
}

fn state(value: Vec<Item>) -> State {
    State { members: members(), value }
}

fn open(folder: &Path) -> (Storage, Option<StoredState>) {
    Storage::open(folder, members().voters[0].ip).unwrap_or_else(|error| panic!("{error}"))
}

fn save(storage: &mut Storage, round: u64, items: &[Item]) {
    let saved = storage.save(&acceptor_state(round), Some(&state(items.to_vec())));
    saved.unwrap_or_else(|error| panic!("round {round}: {error}"));
}

fn folder() -> tempfile::TempDir {
    tempfile::tempdir().unwrap_or_else(|error| panic!("{error}"))
}

/// All files below a folder, sorted by path.
fn files(folder: &Path) -> Vec<PathBuf> {
    let (mut all, mut open) = (Vec::new(), vec![folder.to_path_buf()]);
    while let Some(folder) = open.pop() {
        for entry in fs::read_dir(&folder).unwrap_or_else(|error| panic!("{error}")).flatten() {
            let list = if entry.path().is_dir() { &mut open } else { &mut all };
            list.push(entry.path());
        }
    }
    all.sort();
    all
}

fn journal(folder: &Path) -> PathBuf {
    let found = files(folder).into_iter().find(|path| path.extension().is_some_and(|kind| kind == "jnl"));
    found.unwrap_or_else(|| panic!("no journal"))
}

/// The written part of a file: journals are preallocated with zeros.
fn bytes(path: &Path) -> Vec<u8> {
    static BLANK: [u8; 64 << 10] = [0; 64 << 10];
    let (mut file, mut all) = (fs::File::open(path).unwrap_or_else(|error| panic!("{error}")), Vec::new());
    loop {
        let before = all.len();
        let read = (&mut file).take(BLANK.len() as u64).read_to_end(&mut all);
        let read = read.unwrap_or_else(|error| panic!("{error}"));
        if read == 0 || all[before..] == BLANK[..read] {
            all.truncate(before);
            return all;
        }
    }
}

/// Limits the length of files for this process, in bytes. Writes beyond it fail, as on a full disk.
fn limit_file_size(bytes: &str) {
    let pid = std::process::id().to_string();
    let set = Command::new("prlimit").args(["--pid", &pid, &format!("--fsize={bytes}:")]).status();
    assert!(set.is_ok_and(|status| status.success()), "prlimit");
}

/// Repeats this test in a process of its own, in which the signal for writes beyond the file size limit is ignored. Returns
/// whether this is that process.
fn in_own_process(name: &str) -> bool {
    if std::env::var_os("APART").is_some() {
        return true;
    }
    let me = std::env::current_exe().unwrap_or_else(|error| panic!("{error}"));
    let mut child = Command::new("sh");
    child.args(["-c", "trap '' XFSZ; exec \"$0\" --exact \"$1\" --nocapture"]).arg(me).arg(name);
    let ended = child.env("APART", "1").status().unwrap_or_else(|error| panic!("{error}"));
    assert!(ended.success(), "{name}: {ended}");
    false
}

#[test]
fn after_failed_writes_the_next_save_that_succeeds_holds_everything() {
    if !in_own_process("after_failed_writes_the_next_save_that_succeeds_holds_everything") {
        return;
    }
    let folder = folder();
    let (mut storage, _) = open(folder.path());
    save(&mut storage, 1, &[item("r-1", 1, 4_000)]);
    for failure in 0..3 {
        limit_file_size("1000");
        let round = 2 + failure;
        let items = vec![item("r-1", round, 4_000), item("r-2", round, 10)];
        for _ in 0..2 {
            assert!(storage.save(&acceptor_state(round), Some(&state(items.clone()))).is_err());
        }
        limit_file_size("unlimited");
        save(&mut storage, round, &items);
        // A save of the acceptor's state alone leaves the value.
        assert!(storage.save(&acceptor_state(round), None).is_ok());
    }
    drop(storage);
    let (storage, found) = open(folder.path());
    let value = vec![item("r-1", 4, 4_000), item("r-2", 4, 10)];
    assert_eq!(found, Some(StoredState { acceptor: acceptor_state(4), state: state(value) }));
    // The writer thread reports nothing while writes fail, and success once they work again.
    let queue = disk::spawn_writer(storage);
    limit_file_size("1000");
    let (done, mut synced) = oneshot::channel();
    let request =
        SaveRequest { acceptor: acceptor_state(5), state: Some(state(vec![item("r-1", 5, 4_000)])), done };
    assert!(queue.send(request).is_ok());
    std::thread::sleep(Duration::from_millis(300));
    assert!(synced.try_recv().is_err(), "a result was reported while writes fail");
    limit_file_size("unlimited");
    assert!(matches!(synced.blocking_recv(), Ok(Ok(()))));
}

/// Copies a folder, and gives one file another content.
fn copy(from: &Path, changed: &Path, content: &[u8]) -> tempfile::TempDir {
    let to = folder();
    for path in files(from) {
        let inside = path.strip_prefix(from).unwrap_or_else(|error| panic!("{error}"));
        let target = to.path().join(inside);
        let parent = target.parent().unwrap_or(to.path());
        assert!(fs::create_dir_all(parent).is_ok());
        let content = if path == changed { content.to_vec() } else { bytes(&path) };
        assert!(fs::write(&target, content).is_ok());
    }
    to
}

fn twenty_items(round: u64) -> Vec<Item> {
    (0..20).map(|i| item(&format!("r-{i:02}"), round, 1_000)).collect()
}

/// Guards against a torn batch taking earlier ones with it: power fails during the last save, and any part of what it writes
/// never reaches the disk.
#[test]
fn a_batch_torn_at_any_place_leaves_the_batch_before_it() {
    let source = folder();
    let (mut storage, _) = open(source.path());
    save(&mut storage, 1, &twenty_items(1));
    save(&mut storage, 2, &twenty_items(2));
    let journal = journal(source.path());
    let before = bytes(&journal);
    save(&mut storage, 3, &twenty_items(3));
    let after = bytes(&journal);
    drop(storage);
    let changed: Vec<usize> = (0..after.len()).filter(|i| before.get(*i) != Some(&after[*i])).collect();
    let (first, last) = (changed[0], changed[changed.len() - 1]);
    // Losses of a disk sector, and of larger parts of one write, in bytes.
    for (lost, step) in [(512, 5), (8_192, 1)] {
        for at in (first / lost * lost..=last).step_by(lost * step) {
            let mut torn = after.clone();
            torn[at.max(first)..(at + lost).min(last + 1)].fill(0);
            let torn = copy(source.path(), &journal, &torn);
            let (mut storage, found) = open(torn.path());
            let found = found.unwrap_or_else(|| panic!("{lost} bytes lost at {at}: no state is found"));
            assert_eq!(
                (found.acceptor, found.state.value),
                (acceptor_state(2), twenty_items(2)),
                "{lost} bytes lost at {at}"
            );
            // The store can write again.
            save(&mut storage, 4, &twenty_items(4));
            drop(storage);
            let (_, found) = open(torn.path());
            assert_eq!(
                found.map(|found| found.acceptor),
                Some(acceptor_state(4)),
                "{lost} bytes lost at {at}"
            );
        }
    }
}

/// Flips one bit in each file at random places. The store must find the latest state, or count the disk as lost; it must
/// never take an older state for the latest. Only the last save may be missing: a flip there looks like a torn batch.
#[test]
fn a_corrupt_disk_counts_as_lost_and_never_shows_an_older_state() {
    let source = folder();
    let (mut storage, _) = open(source.path());
    for round in 1..=6 {
        save(&mut storage, round, &twenty_items(round));
    }
    drop(storage);
    let (mut lost, mut intact) = (0, 0);
    for path in files(source.path()) {
        let written = bytes(&path);
        let end = written.iter().rposition(|byte| *byte != 0).unwrap_or(0);
        let mut random = fastrand::Rng::with_seed(7);
        for _ in 0..12 {
            let at = random.usize(0..=end);
            let mut corrupt = written.clone();
            let Some(byte) = corrupt.get_mut(at) else { continue };
            *byte ^= 1 << random.u8(0..8);
            let corrupt = copy(source.path(), &path, &corrupt);
            let name = path.display();
            let opened = std::panic::catch_unwind(|| open(corrupt.path()));
            let (storage, found) = opened.unwrap_or_else(|_| panic!("{name} at {at}: it does not open"));
            match found {
                Some(found) => {
                    let round = found.acceptor.promised.round;
                    assert!(round >= 5, "{name} at {at}: found round {round}");
                    assert_eq!(found.state.value, twenty_items(round), "{name} at {at}");
                    intact += 1;
                }
                None => {
                    assert!(storage.is_lost(), "{name} at {at}: it counts as empty");
                    lost += 1;
                }
            }
        }
    }
    assert!(lost > 0 && intact > 0, "{lost} lost, {intact} intact");
}

/// Guards against leftovers of an interrupted first start being taken for a lost disk.
#[test]
fn an_interrupted_first_start_is_repeated() {
    for name in ["patternbook", "patternbook.1"] {
        let folder = folder();
        let database = folder.path().join(name);
        assert!(fs::create_dir_all(database.join("keyspaces")).is_ok());
        assert!(
            fs::write(database.join("lock"), []).is_ok() && fs::write(database.join("0.jnl"), []).is_ok()
        );
        let (mut storage, found) = open(folder.path());
        assert!(found.is_none() && !storage.is_lost());
        save(&mut storage, 1, &twenty_items(1));
        drop(storage);
        assert_eq!(open(folder.path()).1.map(|found| found.acceptor), Some(acceptor_state(1)));
    }
}

/// The bytes that the files occupy on the disk. Preallocated parts that were never written don't count.
fn disk_usage(folder: &Path) -> u64 {
    use std::os::unix::fs::MetadataExt;
    files(folder).iter().filter_map(|path| fs::metadata(path).ok()).map(|file| file.blocks() * 512).sum()
}

/// Guards against a disk that fills up, and starts that take ever longer, after many changes.
#[test]
fn disk_usage_stays_bounded_however_much_is_written() {
    let folder = folder();
    let (mut storage, _) = open(folder.path());
    let (mut max_bytes, mut max_folders) = (0, 0);
    for round in 1..=600 {
        save(
            &mut storage,
            round,
            &(0..20).map(|i| item(&format!("r-{i:02}"), round, 4_000)).collect::<Vec<_>>(),
        );
        max_bytes = max_bytes.max(disk_usage(folder.path()));
        max_folders = max_folders.max(fs::read_dir(folder.path()).map_or(0, Iterator::count));
    }
    // 48 MB were written. The most is one folder at its limit plus one save, and its replacement, each with the database's
    // own overhead.
    assert!(max_bytes < 2 * MIN_REPLACE_BYTES + (1 << 20), "{max_bytes} bytes");
    assert!(max_folders == 1, "{max_folders} folders remain");
    drop(storage);
    assert_eq!(open(folder.path()).1.map(|found| found.acceptor), Some(acceptor_state(600)));
}
