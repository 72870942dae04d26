//! Tests of a member's store: openraft's storage test suite, a disk that fills up, and records of a later version.

use openraft::raft::AppendEntriesRequest;
use openraft::storage::RaftLogStorage;
use openraft::testing::{StoreBuilder, Suite};
use openraft::{RaftLogReader, StorageError, Vote};
use redb::backends::InMemoryBackend;
use redb::StorageBackend;
use starlinghill_failover::order::{Change, Order, OrderKind, ZoneOrder};
use starlinghill_raft::machine::StateMachine;
use starlinghill_raft::store::{MemberIdentity, Store};
use starlinghill_raft::{Record, TypeConfig, VersionedRecord};
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::Arc;
use tempfile::TempDir;

struct Builder;

impl StoreBuilder<TypeConfig, Store, StateMachine, TempDir> for Builder {
    async fn build(&self) -> Result<(TempDir, Store, StateMachine), StorageError<u64>> {
        let folder = TempDir::new().expect("a temporary folder");
        let store = Store::open(&folder.path().join("member.redb")).expect("the store opens");
        let (machine, _) = StateMachine::load(store.clone(), 1).expect("the state machine loads");
        Ok((folder, store, machine))
    }
}

#[test]
fn the_store_passes_the_storage_test_suite_of_openraft() {
    Suite::test_all(Builder).expect("the suite passes");
}

/// An in-memory disk that reports that it is full after `left` more writes.
#[derive(Debug, Clone)]
struct FillingDisk {
    inner: Arc<InMemoryBackend>,
    left: Arc<AtomicI64>,
}

impl FillingDisk {
    fn consume_write(&self) -> io::Result<()> {
        match self.left.fetch_sub(1, Ordering::Relaxed) > 0 {
            true => Ok(()),
            false => Err(io::Error::new(io::ErrorKind::StorageFull, "no space left")),
        }
    }
}

impl StorageBackend for FillingDisk {
    fn len(&self) -> io::Result<u64> {
        self.inner.len()
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.inner.read(offset, out)
    }
    fn set_len(&self, len: u64) -> io::Result<()> {
        self.consume_write()?;
        self.inner.set_len(len)
    }
    fn sync_data(&self) -> io::Result<()> {
        self.inner.sync_data()
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.consume_write()?;
        self.inner.write(offset, data)
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_error_of_a_full_disk_names_the_file_and_every_confirmed_vote_is_kept() {
    for writes in [0, 1, 2, 3, 5, 8, 13, 21, 34, 55, 89] {
        let disk =
            FillingDisk { inner: Arc::new(InMemoryBackend::new()), left: Arc::new(AtomicI64::new(10_000)) };
        let mut store =
            Store::with_backend(disk.clone(), Path::new("member-7.redb")).expect("the store opens");
        store.save_identity(&MemberIdentity::new("test", 1, 7)).expect("the disk has room");
        disk.left.store(writes, Ordering::Relaxed);
        let mut confirmed = None;
        let mut error = None;
        for term in 1..200 {
            match store.save_vote(&Vote::new(term, 7)).await {
                Ok(()) => confirmed = Some(term),
                Err(e) => {
                    error = Some(e.to_string());
                    break;
                }
            }
        }
        let error = error.expect("the disk fills up");
        assert!(error.contains("member-7.redb"), "{error}");
        drop(store);
        disk.left.store(10_000, Ordering::Relaxed);
        let mut reopened =
            Store::with_backend(disk, Path::new("member-7.redb")).expect("the store opens again");
        let term = reopened.read_vote().await.expect("readable").map(|vote| vote.leader_id.term);
        // The vote whose write failed may be stored as well, as it was neither confirmed nor denied to anyone.
        assert!(
            term >= confirmed && term <= confirmed.map(|t| t + 1).or(Some(1)),
            "{term:?}, {confirmed:?} confirmed"
        );
        assert!(reopened.try_get_log_entries(..).await.expect("readable").is_empty());
    }
}

#[test]
fn an_append_request_with_one_record_of_a_later_version_is_refused_as_a_whole() {
    let zone = ZoneOrder {
        zone: "a".into(),
        change: Change::Out,
        expected_epoch: None,
        takeover_region: None,
        force: false,
    };
    let order = Order {
        id: "o1".into(),
        author: "eve".into(),
        reason: "a drill".into(),
        at_ms: 0,
        kind: OrderKind::Zone(zone),
    };
    let entry = openraft::Entry::<TypeConfig> {
        log_id: openraft::LogId::new(openraft::CommittedLeaderId::new(1, 1), 3),
        payload: openraft::EntryPayload::Normal(VersionedRecord(Record::Order(order))),
    };
    let request = AppendEntriesRequest::<TypeConfig> {
        vote: Vote::new_committed(1, 1),
        prev_log_id: None,
        entries: vec![entry.clone(), entry],
        leader_commit: None,
    };
    let text = serde_json::to_string(&request).expect("the request is serializable");
    let read = |text: &str| {
        serde_json::from_str::<AppendEntriesRequest<TypeConfig>>(text).map_err(|e| e.to_string())
    };
    assert_eq!(read(&text).expect("readable").entries.len(), 2);
    // Only the second entry is changed: to a later version, or to content that this version doesn't know.
    let read_with_last_entry_changed = |from: &str, to: &str| {
        let at = text.rfind(from).expect("the text is in the request");
        let changed = format!("{}{to}{}", &text[..at], &text[at + from.len()..]);
        read(&changed).expect_err("refused")
    };
    assert!(read_with_last_entry_changed("\"v\":1", "\"v\":2")
        .contains("version 2; this program knows version 1 alone"));
    assert!(read_with_last_entry_changed("\"out\"", "{\"out\":{\"until\":5}}").contains("can't be read"));
    assert!(read_with_last_entry_changed("\"order\":{", "\"vow\":{").contains("can't be read"));
}
