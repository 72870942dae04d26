//! What is on disk after writes, kills of the process, and files that were cut short.

use starlinghill_config_model::{Item, ItemKind, VersionHistory};
use starlinghill_config_store::disk::Storage;
use starlinghill_config_store::wire::State;
use starlinghill_consensus::{AcceptorState, Ballot, Member, Members};
use std::net::IpAddr;
use std::path::Path;

fn item(name: &str, version: u64) -> Item {
    Item {
        kind: ItemKind::Route,
        name: name.into(),
        version,
        host: "a".into(),
        body: Some(format!("{{\"v\":{version}}}")),
        history: VersionHistory::default(),
    }
}

fn members() -> Members {
    Members::first((1..4).map(|i| IpAddr::from([10, 0, 0, i])))
}

fn kept(round: u64) -> AcceptorState {
    let ballot = Ballot { round, by: 1 };
    let me = members().voters[2];
    AcceptorState { me, promised: ballot, accepted: ballot, chosen: Ballot::default(), members: members() }
}

fn state(value: Vec<Item>) -> State {
    State { members: members(), value }
}

fn open(folder: &Path) -> (Storage, Option<starlinghill_config_store::disk::StoredState>) {
    Storage::open(folder, members().voters[2].ip).unwrap_or_else(|error| panic!("{error}"))
}

#[test]
fn what_was_saved_is_found_and_an_empty_folder_says_that_it_is() {
    let folder = tempfile::tempdir().unwrap_or_else(|error| panic!("{error}"));
    let (mut storage, found) = open(folder.path());
    assert!(found.is_none());
    let first = state(vec![item("r-1", 7), item("r-2", 7)]);
    assert!(storage.save(&kept(1), Some(&first)).is_ok());
    // Of the next value one item is new, one is gone, as when a change that nobody took is replaced.
    let next = state(vec![item("r-1", 8)]);
    assert!(storage.save(&kept(2), Some(&next)).is_ok());
    // A promise alone leaves the value.
    assert!(storage.save(&kept(3), None).is_ok());
    drop(storage);
    let (_, found) = open(folder.path());
    let Some(found) = found else { panic!("nothing is there") };
    assert_eq!((found.acceptor, found.state), (kept(3), next));
}

/// What the version before kept of a voter: lives of disks, in the order of the voters' addresses.
#[derive(bitcode::Encode)]
struct KeptBefore {
    promised: Ballot,
    accepted: Ballot,
    chosen: Ballot,
    lives: Vec<u64>,
}

/// An item as the version before kept it: no history.
#[derive(bitcode::Encode)]
struct ItemBefore {
    kind: ItemKind,
    name: String,
    version: u64,
    host: String,
    body: Option<String>,
}

#[test]
fn records_of_the_version_before_are_read_and_written_anew_with_the_next_value() {
    let folder = tempfile::tempdir().unwrap_or_else(|error| panic!("{error}"));
    {
        let database = fjall::Database::builder(folder.path().join("patternbook")).open();
        let database = database.unwrap_or_else(|error| panic!("{error}"));
        let records = database.keyspace("records", fjall::KeyspaceCreateOptions::default);
        let records = records.unwrap_or_else(|error| panic!("{error}"));
        let mut batch = database.batch().durability(Some(fjall::PersistMode::SyncAll));
        let ips: Vec<IpAddr> = members().voters.iter().map(|member| member.ip).collect();
        let AcceptorState { promised, accepted, chosen, .. } = kept(4);
        let before = KeptBefore { promised, accepted, chosen, lives: vec![0, 2, 1] };
        batch.insert(&records, "voters", bitcode::encode(&ips));
        batch.insert(&records, "kept", bitcode::encode(&before));
        for (name, version) in [("r-1", 7), ("r-2", 8)] {
            let Item { kind, name, version, host, body, .. } = item(name, version);
            let key = format!("item/{kind:?}/{name}");
            let before = ItemBefore { kind, name, version, host, body };
            batch.insert(&records, key, bitcode::encode(&before));
        }
        batch.commit().unwrap_or_else(|error| panic!("{error}"));
    }
    // Whatever was confirmed below is not known, and is not guessed.
    let unknown =
        |name, version| Item { history: VersionHistory::unknown_below(version), ..item(name, version) };
    let items = vec![unknown("r-1", 7), unknown("r-2", 8)];
    // Lives are incarnations.
    let lives = members().voters.into_iter().zip([0, 2, 1]);
    let voters: Vec<Member> = lives.map(|(m, incarnation)| Member { incarnation, ..m }).collect();
    let me = voters[2];
    let members = Members { voters, ..members() };
    let kept = |round| AcceptorState { me, members: members.clone(), ..kept(round) };
    let state = |value| State { members: members.clone(), value };
    // A promise alone leaves the state as it is.
    for _ in 0..2 {
        let (mut storage, found) = open(folder.path());
        let Some(found) = found else { panic!("nothing is there") };
        assert_eq!((found.acceptor, found.state), (kept(4), state(items.clone())));
        assert!(storage.save(&kept(4), None).is_ok());
    }
    // The next value is all that is there then.
    let (mut storage, _) = open(folder.path());
    let mut next = unknown("r-1", 9);
    next.history.confirm(8, 3);
    assert!(storage.save(&kept(5), Some(&state(vec![next.clone()]))).is_ok());
    drop(storage);
    let (_, found) = open(folder.path());
    let Some(found) = found else { panic!("nothing is there") };
    assert_eq!((found.acceptor, found.state), (kept(5), state(vec![next])));
}

/// The last save was not synced to its end when power went: what was acknowledged before it stands, whole.
#[test]
fn a_journal_that_was_cut_short_holds_what_was_saved_before() {
    for cut in [1, 9, 40, 200] {
        let folder = tempfile::tempdir().unwrap_or_else(|error| panic!("{error}"));
        let (mut storage, _) = open(folder.path());
        for round in 1..=5 {
            assert!(storage.save(&kept(round), Some(&state(vec![item("r-1", round)]))).is_ok());
        }
        let before = written(folder.path());
        assert!(storage.save(&kept(6), Some(&state(vec![item("r-1", 6)]))).is_ok());
        let after = written(folder.path());
        drop(storage);
        tear(&before, &after, cut);
        let (_, found) = open(folder.path());
        let Some(found) = found else { panic!("cut by {cut}: nothing is there") };
        let round = found.acceptor.promised.round;
        assert!((5..=6).contains(&round), "cut by {cut}: round {round}");
        assert_eq!(
            found.state.value,
            [item("r-1", round)],
            "cut by {cut}: what belongs together comes together"
        );
    }
}

/// All files of the store, with their bytes.
fn written(folder: &Path) -> Vec<(std::path::PathBuf, Vec<u8>)> {
    let mut all = Vec::new();
    let mut open = vec![folder.to_path_buf()];
    while let Some(folder) = open.pop() {
        let entries = std::fs::read_dir(&folder).unwrap_or_else(|error| panic!("{error}"));
        for entry in entries.flatten() {
            match entry.path().is_dir() {
                true => open.push(entry.path()),
                false => all.push((entry.path(), std::fs::read(entry.path()).unwrap_or_default())),
            }
        }
    }
    all.sort();
    all
}

/// Of the bytes that the last save changed, the last ones never came to the disk.
fn tear(before: &[(std::path::PathBuf, Vec<u8>)], after: &[(std::path::PathBuf, Vec<u8>)], cut: usize) {
    for (path, new) in after {
        let Some((_, old)) = before.iter().find(|(known, _)| known == path) else { continue };
        let same = |i: usize| old.get(i) == new.get(i);
        let Some(last) = (0..new.len()).rev().find(|i| !same(*i)) else { continue };
        let mut torn = new.clone();
        let lost = last.saturating_sub(cut)..=last;
        for (i, byte) in torn.iter_mut().enumerate().filter(|(i, _)| lost.contains(i)) {
            *byte = old.get(i).copied().unwrap_or(0);
        }
        std::fs::write(path, torn).unwrap_or_else(|error| panic!("{error}"));
    }
}
