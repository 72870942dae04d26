//! The state machine that the log drives. It lives in memory and begins from the newest snapshot; what came after is
//! in the log. Each change is published once, with all that is told of it already encoded: subscribers share it.

use crate::store::{Store, StoreError};
use crate::{Record, Reply, Types};
use openraft::storage::RaftStateMachine;
use openraft::{
    AnyError, BasicNode, Entry, EntryPayload, LogId, RaftSnapshotBuilder, Snapshot, SnapshotMeta,
    StorageError, StorageIOError, StoredMembership,
};
use serde::{Deserialize, Serialize};
use starlinghill_failover::directive::{DirectiveUpdate, Directives};
use starlinghill_failover::state::State;
use starlinghill_failover::wire::{decode, encode};
use std::io::Cursor;
use std::sync::Arc;
use tokio::sync::watch;
use tracing::info;

/// What members and gateways are shown of the newest state.
#[derive(Debug, Default)]
pub struct Applied {
    /// The newest entry that is in it; 0: none.
    pub index: u64,
    /// The state.
    pub state: State,
    /// What gateways are told of it.
    pub directives: Directives,
    /// The same, whole, encoded.
    pub whole: Vec<u8>,
    /// The change that led to it, with the position before, encoded.
    pub change: Option<(starlinghill_failover::Position, Vec<u8>)>,
}

/// A snapshot as it is kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshotted {
    /// Where it stands in the log.
    pub meta: SnapshotMeta<u64, BasicNode>,
    /// The state.
    pub state: State,
}

/// The state machine.
pub struct Machine {
    store: Store,
    last: Option<LogId<u64>>,
    membership: StoredMembership<u64, BasicNode>,
    state: State,
    publish: watch::Sender<Arc<Applied>>,
}

fn any(e: &StoreError) -> AnyError {
    AnyError::new(e)
}

impl Machine {
    /// The state machine as the store has it, and where it publishes.
    pub fn load(
        store: Store,
        generation: u64,
    ) -> Result<(Machine, watch::Receiver<Arc<Applied>>), StoreError> {
        let (publish, published) = watch::channel(Arc::default());
        let mut machine = Machine {
            last: None,
            membership: StoredMembership::default(),
            state: State::new(generation),
            publish,
            store,
        };
        if let Some(snapshot) = machine.store.snapshot()? {
            machine.take(snapshot);
        }
        machine.publish();
        Ok((machine, published))
    }

    fn take(&mut self, snapshot: Snapshotted) {
        self.last = snapshot.meta.last_log_id;
        self.membership = snapshot.meta.last_membership;
        self.state = snapshot.state;
    }

    fn publish(&self) {
        let before = self.publish.borrow().clone();
        let directives = Directives::from_state(&self.state);
        let same = before.directives == directives && !before.whole.is_empty();
        let whole = match same {
            true => before.whole.clone(),
            false => encode(&DirectiveUpdate::Whole { directives: directives.clone() }),
        };
        let change = match directives.update_from(&before.directives) {
            told @ DirectiveUpdate::Change { .. } if !same => {
                Some((before.directives.position, encode(&told)))
            }
            DirectiveUpdate::Change { .. } | DirectiveUpdate::Whole { .. } => {
                before.change.clone().filter(|_| same)
            }
        };
        let index = self.last.map_or(0, |l| l.index);
        self.publish.send_replace(Arc::new(Applied {
            index,
            state: self.state.clone(),
            directives,
            whole,
            change,
        }));
    }

    fn snapshotted(&self) -> Snapshotted {
        let id = self.last.map_or_else(|| "begin".into(), |l| format!("{}-{}", l.leader_id, l.index));
        let meta = SnapshotMeta {
            last_log_id: self.last,
            last_membership: self.membership.clone(),
            snapshot_id: id,
        };
        Snapshotted { meta, state: self.state.clone() }
    }
}

fn bytes(state: &State) -> Box<Cursor<Vec<u8>>> {
    Box::new(Cursor::new(encode(state)))
}

/// Makes a snapshot of the state as it was when it was asked for.
pub struct Builder {
    store: Store,
    snapshot: Snapshotted,
}

impl RaftSnapshotBuilder<Types> for Builder {
    async fn build_snapshot(&mut self) -> Result<Snapshot<Types>, StorageError<u64>> {
        tokio::task::block_in_place(|| self.store.keep_snapshot(&self.snapshot))
            .map_err(|e| StorageIOError::write_snapshot(None, any(&e)))?;
        info!(at = %self.snapshot.meta.snapshot_id, "snapshot kept");
        Ok(Snapshot { meta: self.snapshot.meta.clone(), snapshot: bytes(&self.snapshot.state) })
    }
}

impl RaftStateMachine<Types> for Machine {
    type SnapshotBuilder = Builder;

    async fn applied_state(
        &mut self,
    ) -> Result<(Option<LogId<u64>>, StoredMembership<u64, BasicNode>), StorageError<u64>> {
        Ok((self.last, self.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Reply>, StorageError<u64>>
    where
        I: IntoIterator<Item = Entry<Types>> + Send,
        I::IntoIter: Send,
    {
        let mut replies = Vec::new();
        for entry in entries {
            self.last = Some(entry.log_id);
            let reply = match entry.payload {
                EntryPayload::Blank => None,
                EntryPayload::Membership(membership) => {
                    self.membership = StoredMembership::new(Some(entry.log_id), membership);
                    None
                }
                EntryPayload::Normal(recorded) => match recorded.0 {
                    Record::Order(order) => {
                        let before = self.state.position;
                        let outcome = self.state.apply(&order);
                        if self.state.position > before {
                            let (author, reason) = (&order.author, &order.reason);
                            info!(position = %self.state.position, author, reason, what = ?order.kind, "decided");
                            // One at a time: each position is told, none is skipped over unseen.
                            self.publish();
                        }
                        Some(outcome)
                    }
                    Record::Restored(state) => {
                        info!(position = %state.position, "begins from a restored state");
                        self.state = *state;
                        None
                    }
                },
            };
            replies.push(Reply(reply));
        }
        self.publish();
        Ok(replies)
    }

    async fn get_snapshot_builder(&mut self) -> Builder {
        Builder { store: self.store.clone(), snapshot: self.snapshotted() }
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, StorageError<u64>> {
        Ok(Box::default())
    }

    async fn install_snapshot(
        &mut self,
        meta: &SnapshotMeta<u64, BasicNode>,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), StorageError<u64>> {
        let signature = Some(meta.signature());
        // A later version's state is refused here, before anything of it is kept.
        let state: State = decode(snapshot.get_ref())
            .map_err(|e| StorageIOError::read_snapshot(signature.clone(), AnyError::new(&e)))?;
        let snapshot = Snapshotted { meta: meta.clone(), state };
        tokio::task::block_in_place(|| self.store.keep_snapshot(&snapshot))
            .map_err(|e| StorageIOError::write_snapshot(signature, any(&e)))?;
        self.take(snapshot);
        self.publish();
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<Types>>, StorageError<u64>> {
        let kept = tokio::task::block_in_place(|| self.store.snapshot())
            .map_err(|e| StorageIOError::read_snapshot(None, any(&e)))?;
        Ok(kept.map(|kept| Snapshot { meta: kept.meta, snapshot: bytes(&kept.state) }))
    }
}
