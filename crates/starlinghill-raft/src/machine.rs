//! The replicated state machine. It is kept in memory and starts from the newest snapshot; later entries are replayed
//! from the log. Each new state is published once together with its encoded messages, which all followers share.

use crate::store::{Store, StoreError};
use crate::{Record, Reply, TypeConfig};
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

/// The newest applied state and its encoded messages for gateways.
#[derive(Debug, Default)]
pub struct AppliedState {
    /// The index of the last applied log entry, 0 if there is none.
    pub index: u64,
    /// The state after that entry.
    pub state: State,
    /// The part of the state that gateways receive.
    pub directives: Directives,
    /// The complete directives as an encoded message.
    pub encoded_directives: Vec<u8>,
    /// The newest change as an encoded message, with the position it applies to. A follower at any other position
    /// needs the complete directives.
    pub encoded_change: Option<(starlinghill_failover::Position, Vec<u8>)>,
}

/// A snapshot as it is stored on disk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Snapshotted", deny_unknown_fields)]
pub struct StoredSnapshot {
    /// The last log entry and the membership that the snapshot includes.
    pub meta: SnapshotMeta<u64, BasicNode>,
    /// The state after that entry.
    pub state: State,
}

/// The state machine that `openraft` applies committed entries to.
pub struct StateMachine {
    store: Store,
    last_applied: Option<LogId<u64>>,
    membership: StoredMembership<u64, BasicNode>,
    state: State,
    publish: watch::Sender<Arc<AppliedState>>,
}

fn any_error(e: &StoreError) -> AnyError {
    AnyError::new(e)
}

impl StateMachine {
    /// Loads the state machine from the newest snapshot in the store. The receiver gets each new state.
    pub fn load(
        store: Store,
        generation: u64,
    ) -> Result<(StateMachine, watch::Receiver<Arc<AppliedState>>), StoreError> {
        let (publish, published) = watch::channel(Arc::default());
        let mut machine = StateMachine {
            last_applied: None,
            membership: StoredMembership::default(),
            state: State::new(generation),
            publish,
            store,
        };
        if let Some(snapshot) = machine.store.snapshot()? {
            machine.restore(snapshot);
        }
        machine.publish();
        Ok((machine, published))
    }

    fn restore(&mut self, snapshot: StoredSnapshot) {
        self.last_applied = snapshot.meta.last_log_id;
        self.membership = snapshot.meta.last_membership;
        self.state = snapshot.state;
    }

    /// Publishes the present state, encoding the directives only if they changed.
    fn publish(&self) {
        let previous = self.publish.borrow().clone();
        let directives = Directives::from_state(&self.state);
        let unchanged = previous.directives == directives && !previous.encoded_directives.is_empty();
        let encoded_directives = match unchanged {
            true => previous.encoded_directives.clone(),
            false => encode(&DirectiveUpdate::Whole { directives: directives.clone() }),
        };
        let encoded_change = match directives.update_from(&previous.directives) {
            update @ DirectiveUpdate::Change { .. } if !unchanged => {
                Some((previous.directives.position, encode(&update)))
            }
            DirectiveUpdate::Change { .. } | DirectiveUpdate::Whole { .. } => {
                previous.encoded_change.clone().filter(|_| unchanged)
            }
        };
        let index = self.last_applied.map_or(0, |l| l.index);
        self.publish.send_replace(Arc::new(AppliedState {
            index,
            state: self.state.clone(),
            directives,
            encoded_directives,
            encoded_change,
        }));
    }

    fn snapshot(&self) -> StoredSnapshot {
        let id = self.last_applied.map_or_else(|| "begin".into(), |l| format!("{}-{}", l.leader_id, l.index));
        let meta = SnapshotMeta {
            last_log_id: self.last_applied,
            last_membership: self.membership.clone(),
            snapshot_id: id,
        };
        StoredSnapshot { meta, state: self.state.clone() }
    }
}

fn snapshot_data(state: &State) -> Box<Cursor<Vec<u8>>> {
    Box::new(Cursor::new(encode(state)))
}

/// Writes a snapshot to disk. The state is copied when the builder is created, so later entries don't change it.
pub struct StateSnapshotBuilder {
    store: Store,
    snapshot: StoredSnapshot,
}

impl RaftSnapshotBuilder<TypeConfig> for StateSnapshotBuilder {
    async fn build_snapshot(&mut self) -> Result<Snapshot<TypeConfig>, StorageError<u64>> {
        tokio::task::block_in_place(|| self.store.save_snapshot(&self.snapshot))
            .map_err(|e| StorageIOError::write_snapshot(None, any_error(&e)))?;
        info!(at = %self.snapshot.meta.snapshot_id, "snapshot kept");
        Ok(Snapshot { meta: self.snapshot.meta.clone(), snapshot: snapshot_data(&self.snapshot.state) })
    }
}

impl RaftStateMachine<TypeConfig> for StateMachine {
    type SnapshotBuilder = StateSnapshotBuilder;

    async fn applied_state(
        &mut self,
    ) -> Result<(Option<LogId<u64>>, StoredMembership<u64, BasicNode>), StorageError<u64>> {
        Ok((self.last_applied, self.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Reply>, StorageError<u64>>
    where
        I: IntoIterator<Item = Entry<TypeConfig>> + Send,
        I::IntoIter: Send,
    {
        let mut replies = Vec::new();
        for entry in entries {
            self.last_applied = Some(entry.log_id);
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
                            // Published after each order and not once a batch, so that followers get each
                            // position as a change.
                            self.publish();
                        }
                        Some(outcome)
                    }
                    Record::Restored(state) => {
                        info!(position = %state.position, "replaced the state by the restored one");
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

    async fn get_snapshot_builder(&mut self) -> StateSnapshotBuilder {
        StateSnapshotBuilder { store: self.store.clone(), snapshot: self.snapshot() }
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
        // A state of a later format version is refused here, before anything is written to disk.
        let state: State = decode(snapshot.get_ref())
            .map_err(|e| StorageIOError::read_snapshot(signature.clone(), AnyError::new(&e)))?;
        let snapshot = StoredSnapshot { meta: meta.clone(), state };
        tokio::task::block_in_place(|| self.store.save_snapshot(&snapshot))
            .map_err(|e| StorageIOError::write_snapshot(signature, any_error(&e)))?;
        self.restore(snapshot);
        self.publish();
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<TypeConfig>>, StorageError<u64>> {
        let stored = tokio::task::block_in_place(|| self.store.snapshot())
            .map_err(|e| StorageIOError::read_snapshot(None, any_error(&e)))?;
        Ok(stored.map(|s| Snapshot { meta: s.meta, snapshot: snapshot_data(&s.state) }))
    }
}
