//! A member's disk: the library's own suite for storage, faults of the disk under it, and records of a later version.

use openraft::raft::AppendEntriesRequest;
use openraft::storage::RaftLogStorage;
use openraft::testing::{StoreBuilder, Suite};
use openraft::{RaftLogReader, StorageError, Vote};
use redb::backends::InMemoryBackend;
use redb::StorageBackend;
use starlinghill_failover::order::{Change, Order, OrderKind, ZoneOrder};
use starlinghill_raft::machine::Machine;
use starlinghill_raft::store::{Ident, Store};
use starlinghill_raft::{Record, Recorded, Types};
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::Arc;
use tempfile::TempDir;

struct Builder;

impl StoreBuilder<Types, Store, Machine, TempDir> for Builder {
    async fn build(&self) -> Result<(TempDir, Store, Machine), StorageError<u64>> {
        let folder = TempDir::new().expect("a folder");
        let store = Store::open(&folder.path().join("member.redb")).expect("a store");
        let (machine, _) = Machine::load(store.clone(), 1).expect("a machine");
        Ok((folder, store, machine))
    }
}

#[test]
fn the_store_does_what_the_log_expects_of_it() {
    Suite::test_all(Builder).expect("the suite passes");
}

/// A disk that takes so many more writes, and then says that it is full.
#[derive(Debug, Clone)]
struct Filling {
    inner: Arc<InMemoryBackend>,
    left: Arc<AtomicI64>,
}

impl Filling {
    fn spend(&self) -> io::Result<()> {
        match self.left.fetch_sub(1, Ordering::Relaxed) > 0 {
            true => Ok(()),
            false => Err(io::Error::new(io::ErrorKind::StorageFull, "no space left")),
        }
    }
}

impl StorageBackend for Filling {
    fn len(&self) -> io::Result<u64> {
        self.inner.len()
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.inner.read(offset, out)
    }
    fn set_len(&self, len: u64) -> io::Result<()> {
        self.spend()?;
        self.inner.set_len(len)
    }
    fn sync_data(&self) -> io::Result<()> {
        self.inner.sync_data()
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.spend()?;
        self.inner.write(offset, data)
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_disk_that_fills_up_is_named_and_keeps_what_it_has_confirmed() {
    for writes in [0, 1, 2, 3, 5, 8, 13, 21, 34, 55, 89] {
        let disk =
            Filling { inner: Arc::new(InMemoryBackend::new()), left: Arc::new(AtomicI64::new(10_000)) };
        let mut store = Store::on(disk.clone(), Path::new("member-7.redb")).expect("a store");
        store.become_member(&Ident::new("test", 1, 7)).expect("there is room");
        disk.left.store(writes, Ordering::Relaxed);
        let mut confirmed = None;
        let mut said = None;
        for term in 1..200 {
            match store.save_vote(&Vote::new(term, 7)).await {
                Ok(()) => confirmed = Some(term),
                Err(e) => {
                    said = Some(e.to_string());
                    break;
                }
            }
        }
        let said = said.expect("it filled up");
        assert!(said.contains("member-7.redb"), "{said}");
        drop(store);
        disk.left.store(10_000, Ordering::Relaxed);
        let mut again = Store::on(disk, Path::new("member-7.redb")).expect("it opens again");
        let term = again.read_vote().await.expect("readable").map(|vote| vote.leader_id.term);
        // The one that failed may be there as well: it was never confirmed, and nobody was told either way.
        assert!(
            term >= confirmed && term <= confirmed.map(|t| t + 1).or(Some(1)),
            "{term:?}, {confirmed:?} confirmed"
        );
        assert!(again.try_get_log_entries(..).await.expect("readable").is_empty());
    }
}

#[test]
fn a_message_with_a_record_of_a_later_version_is_refused_whole() {
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
    let entry = openraft::Entry::<Types> {
        log_id: openraft::LogId::new(openraft::CommittedLeaderId::new(1, 1), 3),
        payload: openraft::EntryPayload::Normal(Recorded(Record::Order(order))),
    };
    let request = AppendEntriesRequest::<Types> {
        vote: Vote::new_committed(1, 1),
        prev_log_id: None,
        entries: vec![entry.clone(), entry],
        leader_commit: None,
    };
    let text = serde_json::to_string(&request).expect("text");
    let read =
        |text: &str| serde_json::from_str::<AppendEntriesRequest<Types>>(text).map_err(|e| e.to_string());
    assert_eq!(read(&text).expect("readable").entries.len(), 2);
    // The second entry alone is of a later version, or holds what this one doesn't know.
    let last = |from: &str, to: &str| {
        let at = text.rfind(from).expect("it stands there");
        let changed = format!("{}{to}{}", &text[..at], &text[at + from.len()..]);
        read(&changed).expect_err("refused")
    };
    assert!(last("\"v\":1", "\"v\":2").contains("version 2; this program knows version 1 alone"));
    assert!(last("\"out\"", "{\"out\":{\"until\":5}}").contains("can't be read"));
    assert!(last("\"order\":{", "\"vow\":{").contains("can't be read"));
}
