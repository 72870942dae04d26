//! Disks that refuse, tear, rot, and fill: what a store finds on them afterwards is all that was told, or nothing.

use starlinghill_config_model::{Item, ItemKind, VersionHistory};
use starlinghill_config_store::disk::{self, SaveRequest, Storage, StoredState};
use starlinghill_config_store::records::REPLACED_AT;
use starlinghill_config_store::wire::State;
use starlinghill_consensus::{AcceptorState, Ballot, Members};
use std::fs;
use std::io::Read;
use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;
use tokio::sync::oneshot;

fn item(name: &str, version: u64, long: usize) -> Item {
    let body = Some(format!("{{\"v\":{version},\"t\":\"{}\"}}", "x".repeat(long)));
    let history = VersionHistory::default();
    Item { kind: ItemKind::Route, name: name.into(), version, host: "a".into(), body, history }
}

fn members() -> Members {
    Members::first((1..4).map(|i| IpAddr::from([10, 0, 0, i])))
}

fn kept(round: u64) -> AcceptorState {
    let ballot = Ballot { round, by: 1 };
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
    let saved = storage.save(&kept(round), Some(&state(items.to_vec())));
    saved.unwrap_or_else(|error| panic!("round {round}: {error}"));
}

fn folder() -> tempfile::TempDir {
    tempfile::tempdir().unwrap_or_else(|error| panic!("{error}"))
}

/// All files below, longest paths last.
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

/// What a file holds, up to what was never written: journals are long, of nothing.
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

/// Bounds the length of files for this process; beyond it writes fail, as on a full disk.
fn longest_file(bytes: &str) {
    let pid = std::process::id().to_string();
    let set = Command::new("prlimit").args(["--pid", &pid, &format!("--fsize={bytes}:")]).status();
    assert!(set.is_ok_and(|status| status.success()), "prlimit");
}

/// This test in a process of its own, which writes beyond the bound don't end.
fn apart(name: &str) -> bool {
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
fn after_writes_that_failed_all_is_kept_as_soon_as_the_disk_takes_it() {
    if !apart("after_writes_that_failed_all_is_kept_as_soon_as_the_disk_takes_it") {
        return;
    }
    let folder = folder();
    let (mut storage, _) = open(folder.path());
    save(&mut storage, 1, &[item("r-1", 1, 4_000)]);
    for refusal in 0..3 {
        longest_file("1000");
        let round = 2 + refusal;
        let items = vec![item("r-1", round, 4_000), item("r-2", round, 10)];
        for _ in 0..2 {
            assert!(storage.save(&kept(round), Some(&state(items.clone()))).is_err());
        }
        longest_file("unlimited");
        save(&mut storage, round, &items);
        // A promise alone, and a value behind it.
        assert!(storage.save(&kept(round), None).is_ok());
    }
    drop(storage);
    let (storage, found) = open(folder.path());
    let value = vec![item("r-1", 4, 4_000), item("r-2", 4, 10)];
    assert_eq!(found, Some(StoredState { acceptor: kept(4), state: state(value) }));
    // Through the thread that writes: silent while the disk refuses, and done when it is back.
    let disk = disk::spawn_writer(storage);
    longest_file("1000");
    let (done, mut saved) = oneshot::channel();
    let order = SaveRequest { acceptor: kept(5), state: Some(state(vec![item("r-1", 5, 4_000)])), done };
    assert!(disk.send(order).is_ok());
    std::thread::sleep(Duration::from_millis(300));
    assert!(saved.try_recv().is_err(), "nothing can be kept yet");
    longest_file("unlimited");
    assert!(matches!(saved.blocking_recv(), Ok(Ok(()))));
}

/// A copy of a folder, in which one file holds something else.
fn copy(from: &Path, other: &Path, content: &[u8]) -> tempfile::TempDir {
    let to = folder();
    for path in files(from) {
        let inside = path.strip_prefix(from).unwrap_or_else(|error| panic!("{error}"));
        let place = to.path().join(inside);
        let parent = place.parent().unwrap_or(to.path());
        assert!(fs::create_dir_all(parent).is_ok());
        let own = if path == other { content.to_vec() } else { bytes(&path) };
        assert!(fs::write(&place, own).is_ok());
    }
    to
}

fn many(round: u64) -> Vec<Item> {
    (0..20).map(|i| item(&format!("r-{i:02}"), round, 1_000)).collect()
}

/// Power went within the last save, of which any part never came to the disk: what was told before stands.
#[test]
fn a_batch_that_is_torn_anywhere_leaves_what_was_told_before() {
    let source = folder();
    let (mut storage, _) = open(source.path());
    save(&mut storage, 1, &many(1));
    save(&mut storage, 2, &many(2));
    let journal = journal(source.path());
    let before = bytes(&journal);
    save(&mut storage, 3, &many(3));
    let after = bytes(&journal);
    drop(storage);
    let changed: Vec<usize> = (0..after.len()).filter(|i| before.get(*i) != Some(&after[*i])).collect();
    let (first, last) = (changed[0], changed[changed.len() - 1]);
    // Sectors, and what one write takes.
    for (lost, step) in [(512, 5), (8_192, 1)] {
        for at in (first / lost * lost..=last).step_by(lost * step) {
            let mut torn = after.clone();
            torn[at.max(first)..(at + lost).min(last + 1)].fill(0);
            let torn = copy(source.path(), &journal, &torn);
            let (mut storage, found) = open(torn.path());
            let found = found.unwrap_or_else(|| panic!("{lost} bytes lost at {at}: nothing is there"));
            assert_eq!((found.acceptor, found.state.value), (kept(2), many(2)), "{lost} bytes lost at {at}");
            // It goes on from there.
            save(&mut storage, 4, &many(4));
            drop(storage);
            let (_, found) = open(torn.path());
            assert_eq!(found.map(|found| found.acceptor), Some(kept(4)), "{lost} bytes lost at {at}");
        }
    }
}

/// A byte that is not what was written: all that was told stands (but for the last save, which looks as though it had
/// never ended), or the disk counts as lost. Old state is never taken for what stands.
#[test]
fn a_disk_that_rots_counts_as_lost_rather_than_as_it_once_was() {
    let source = folder();
    let (mut storage, _) = open(source.path());
    for round in 1..=6 {
        save(&mut storage, round, &many(round));
    }
    drop(storage);
    let (mut lost, mut stood) = (0, 0);
    for path in files(source.path()) {
        let written = bytes(&path);
        let end = written.iter().rposition(|byte| *byte != 0).unwrap_or(0);
        let mut random = fastrand::Rng::with_seed(7);
        for _ in 0..12 {
            let at = random.usize(0..=end);
            let mut rotten = written.clone();
            let Some(byte) = rotten.get_mut(at) else { continue };
            *byte ^= 1 << random.u8(0..8);
            let rotten = copy(source.path(), &path, &rotten);
            let name = path.display();
            let opened = std::panic::catch_unwind(|| open(rotten.path()));
            let (storage, found) = opened.unwrap_or_else(|_| panic!("{name} at {at}: it does not open"));
            match found {
                Some(found) => {
                    let round = found.acceptor.promised.round;
                    assert!(round >= 5, "{name} at {at}: round {round} stands");
                    assert_eq!(found.state.value, many(round), "{name} at {at}");
                    stood += 1;
                }
                None => {
                    assert!(storage.is_spoilt(), "{name} at {at}: it counts as new");
                    lost += 1;
                }
            }
        }
    }
    assert!(lost > 0 && stood > 0, "{lost} lost, {stood} stood");
}

/// The process was killed within its first start: it begins as though it had not been there.
#[test]
fn a_first_start_that_was_broken_off_is_begun_again() {
    for name in ["patternbook", "patternbook.1"] {
        let folder = folder();
        let place = folder.path().join(name);
        assert!(fs::create_dir_all(place.join("keyspaces")).is_ok());
        assert!(fs::write(place.join("lock"), []).is_ok() && fs::write(place.join("0.jnl"), []).is_ok());
        let (mut storage, found) = open(folder.path());
        assert!(found.is_none() && !storage.is_spoilt());
        save(&mut storage, 1, &many(1));
        drop(storage);
        assert_eq!(open(folder.path()).1.map(|found| found.acceptor), Some(kept(1)));
    }
}

/// What the files take on the disk, without what is nothing in them.
fn taken(folder: &Path) -> u64 {
    use std::os::unix::fs::MetadataExt;
    files(folder).iter().filter_map(|path| fs::metadata(path).ok()).map(|file| file.blocks() * 512).sum()
}

/// However many changes there are, the disk holds some times what stands, and a start reads no more.
#[test]
fn a_disk_is_bounded_whatever_is_written_to_it() {
    let folder = folder();
    let (mut storage, _) = open(folder.path());
    let (mut most, mut places) = (0, 0);
    for round in 1..=600 {
        save(
            &mut storage,
            round,
            &(0..20).map(|i| item(&format!("r-{i:02}"), round, 4_000)).collect::<Vec<_>>(),
        );
        most = most.max(taken(folder.path()));
        places = places.max(fs::read_dir(folder.path()).map_or(0, Iterator::count));
    }
    // 48 MB were written. One folder up to its bound and a save beyond, and the next one, with keys, heads and tables.
    assert!(most < 2 * REPLACED_AT + (1 << 20), "{most} bytes");
    assert!(places == 1, "{places} folders stay");
    drop(storage);
    assert_eq!(open(folder.path()).1.map(|found| found.acceptor), Some(kept(600)));
}
