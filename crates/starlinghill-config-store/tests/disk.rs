//! What a store finds on disk after normal writes, after an upgrade, and after a journal was cut short.

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
    Members::founding((1..4).map(|i| IpAddr::from([10, 0, 0, i])))
}

fn acceptor_state(round: u64) -> AcceptorState {
    let ballot = Ballot { round, proposer: 1 };
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
fn the_last_saved_state_is_read_back_and_an_empty_folder_holds_none() {
    let folder = tempfile::tempdir().unwrap_or_else(|error| panic!("{error}"));
    let (mut storage, found) = open(folder.path());
    assert!(found.is_none());
    let first = state(vec![item("r-1", 7), item("r-2", 7)]);
    assert!(storage.save(&acceptor_state(1), Some(&first)).is_ok());
    // The next value changes one item and lacks the other, as when a change that was never chosen is replaced.
    let next = state(vec![item("r-1", 8)]);
    assert!(storage.save(&acceptor_state(2), Some(&next)).is_ok());
    // Saving the acceptor's state alone leaves the value as it is.
    assert!(storage.save(&acceptor_state(3), None).is_ok());
    drop(storage);
    let (_, found) = open(folder.path());
    let Some(found) = found else { panic!("no state is found") };
    assert_eq!((found.acceptor, found.state), (acceptor_state(3), next));
}

/// The acceptor's record in the previous format. `lives` are the incarnations, in the order of the voters' addresses.
#[derive(bitcode::Encode)]
struct PreviousAcceptorRecord {
    promised: Ballot,
    accepted: Ballot,
    chosen: Ballot,
    lives: Vec<u64>,
}

/// An item's record in the previous format, which has no version history.
#[derive(bitcode::Encode)]
struct PreviousItemRecord {
    kind: ItemKind,
    name: String,
    version: u64,
    host: String,
    body: Option<String>,
}

#[test]
fn records_in_the_previous_format_are_read_and_converted() {
    let folder = tempfile::tempdir().unwrap_or_else(|error| panic!("{error}"));
    {
        let database = fjall::Database::builder(folder.path().join("patternbook")).open();
        let database = database.unwrap_or_else(|error| panic!("{error}"));
        let records = database.keyspace("records", fjall::KeyspaceCreateOptions::default);
        let records = records.unwrap_or_else(|error| panic!("{error}"));
        let mut batch = database.batch().durability(Some(fjall::PersistMode::SyncAll));
        let ips: Vec<IpAddr> = members().voters.iter().map(|member| member.ip).collect();
        let AcceptorState { promised, accepted, chosen, .. } = acceptor_state(4);
        let before = PreviousAcceptorRecord { promised, accepted, chosen, lives: vec![0, 2, 1] };
        batch.insert(&records, "voters", bitcode::encode(&ips));
        batch.insert(&records, "kept", bitcode::encode(&before));
        for (name, version) in [("r-1", 7), ("r-2", 8)] {
            let Item { kind, name, version, host, body, .. } = item(name, version);
            let key = format!("item/{kind:?}/{name}");
            let before = PreviousItemRecord { kind, name, version, host, body };
            batch.insert(&records, key, bitcode::encode(&before));
        }
        batch.commit().unwrap_or_else(|error| panic!("{error}"));
    }
    // The previous format does not tell which lower versions were confirmed, so the history says that they are unknown.
    let unknown =
        |name, version| Item { history: VersionHistory::unknown_below(version), ..item(name, version) };
    let items = vec![unknown("r-1", 7), unknown("r-2", 8)];
    let incarnations = members().voters.into_iter().zip([0, 2, 1]);
    let voters: Vec<Member> = incarnations.map(|(m, incarnation)| Member { incarnation, ..m }).collect();
    let me = voters[2];
    let members = Members { voters, ..members() };
    let acceptor_state = |round| AcceptorState { me, members: members.clone(), ..acceptor_state(round) };
    let state = |value| State { members: members.clone(), value };
    // Opening converts the records; saving the acceptor's state alone leaves the replicated state as it is.
    for _ in 0..2 {
        let (mut storage, found) = open(folder.path());
        let Some(found) = found else { panic!("no state is found") };
        assert_eq!((found.acceptor, found.state), (acceptor_state(4), state(items.clone())));
        assert!(storage.save(&acceptor_state(4), None).is_ok());
    }
    // Saving a value removes all items that are not in it.
    let (mut storage, _) = open(folder.path());
    let mut next = unknown("r-1", 9);
    next.history.confirm(8, 3);
    assert!(storage.save(&acceptor_state(5), Some(&state(vec![next.clone()]))).is_ok());
    drop(storage);
    let (_, found) = open(folder.path());
    let Some(found) = found else { panic!("no state is found") };
    assert_eq!((found.acceptor, found.state), (acceptor_state(5), state(vec![next])));
}

/// Guards against a torn journal taking earlier batches with it, or leaving a mixture of two batches: power fails during the
/// last save, and the end of the journal never reaches the disk.
#[test]
fn a_journal_that_was_cut_short_still_holds_every_earlier_batch() {
    for cut in [1, 9, 40, 200] {
        let folder = tempfile::tempdir().unwrap_or_else(|error| panic!("{error}"));
        let (mut storage, _) = open(folder.path());
        for round in 1..=5 {
            assert!(storage.save(&acceptor_state(round), Some(&state(vec![item("r-1", round)]))).is_ok());
        }
        let before = read_files(folder.path());
        assert!(storage.save(&acceptor_state(6), Some(&state(vec![item("r-1", 6)]))).is_ok());
        let after = read_files(folder.path());
        drop(storage);
        tear(&before, &after, cut);
        let (_, found) = open(folder.path());
        let Some(found) = found else { panic!("cut by {cut}: no state is found") };
        let round = found.acceptor.promised.round;
        assert!((5..=6).contains(&round), "cut by {cut}: round {round}");
        assert_eq!(
            found.state.value,
            [item("r-1", round)],
            "cut by {cut}: the value is not of the same batch as the acceptor's state"
        );
    }
}

/// All files below a folder, with their bytes.
fn read_files(folder: &Path) -> Vec<(std::path::PathBuf, Vec<u8>)> {
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

/// Writes the files as they would be if the last `cut` bytes that the last save changed had not reached the disk.
fn tear(before: &[(std::path::PathBuf, Vec<u8>)], after: &[(std::path::PathBuf, Vec<u8>)], cut: usize) {
    for (path, new) in after {
        let Some((_, old)) = before.iter().find(|(known, _)| known == path) else { continue };
        let is_same = |i: usize| old.get(i) == new.get(i);
        let Some(last) = (0..new.len()).rev().find(|i| !is_same(*i)) else { continue };
        let mut torn = new.clone();
        let lost = last.saturating_sub(cut)..=last;
        for (i, byte) in torn.iter_mut().enumerate().filter(|(i, _)| lost.contains(i)) {
            *byte = old.get(i).copied().unwrap_or(0);
        }
        std::fs::write(path, torn).unwrap_or_else(|error| panic!("{error}"));
    }
}
