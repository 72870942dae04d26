//! The task that owns this store's consensus acceptor. It handles requests one at a time, and answers each only after the
//! state that the answer relies on is synced to disk.

use crate::disk::{SaveRequest, StorageQueue};
use crate::wire::Value;
use starlinghill_consensus::{
    Acceptor, AcceptorReply, AcceptorRequest, AcceptorState, Ballot, Member, Members, RequiredWrite,
};
use starlinghill_runtime::essential_tasks::EssentialTasks;
use starlinghill_runtime::queue::QueueGauge;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

/// How many requests the queue holds. Callers wait for room in a full queue.
const QUEUE_CAPACITY: usize = 64;
/// How long a caller waits for the reply. A request whose caller has given up is dropped unhandled: otherwise requests
/// would pile up behind a disk that hangs.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// The member that a request is for, the request, and where its reply goes.
type Command = (Member, Box<AcceptorRequest<Value>>, oneshot::Sender<AcceptorReply<Value>>);

/// A copy of the acceptor's state for reading without a request. The configuration items are left out.
#[derive(Debug, Clone, PartialEq)]
pub struct AcceptorView {
    /// The highest ballot that it has promised.
    pub promised: Ballot,
    /// The ballot of the state that it has accepted last.
    pub accepted: Ballot,
    /// The highest ballot that it knows to be chosen.
    pub chosen: Ballot,
    /// The newest members that it knows to be chosen.
    pub members: Members,
    /// The members in the state that it has accepted last, chosen or not.
    pub proposed: Members,
}

/// Sends requests to the acceptor's task.
#[derive(Clone)]
pub struct AcceptorHandle {
    /// The member that the acceptor is.
    pub me: Member,
    queue: mpsc::Sender<Command>,
    /// The acceptor's latest state.
    pub view: watch::Receiver<AcceptorView>,
}

impl AcceptorHandle {
    /// Starts the acceptor's task. The process ends when the task does.
    pub fn start(
        acceptor: Acceptor<Value>,
        storage: StorageQueue,
        essentials: &EssentialTasks,
    ) -> AcceptorHandle {
        let (queue, commands) = mpsc::channel(QUEUE_CAPACITY);
        let (publisher, view) = watch::channel(view(&acceptor));
        let me = acceptor.me();
        essentials.spawn("vote", run(acceptor, storage, commands, publisher));
        AcceptorHandle { me, queue, view }
    }

    /// Sends a request to this store's own acceptor. `None` if no reply came in time.
    pub async fn call(&self, request: AcceptorRequest<Value>) -> Option<AcceptorReply<Value>> {
        self.call_as(self.me, request).await
    }

    /// Sends a request that is meant for `to`. The acceptor rejects it if `to` is another incarnation than its own.
    pub async fn call_as(&self, to: Member, request: AcceptorRequest<Value>) -> Option<AcceptorReply<Value>> {
        let (reply, response) = oneshot::channel();
        // A failure to send shows below: the reply's sender is dropped.
        let _ = self.queue.send((to, Box::new(request), reply)).await;
        timeout(REPLY_TIMEOUT, response).await.ok()?.ok()
    }
}

async fn run(
    mut acceptor: Acceptor<Value>,
    storage: StorageQueue,
    mut commands: mpsc::Receiver<Command>,
    publisher: watch::Sender<AcceptorView>,
) {
    // A write has failed, so the state in memory is ahead of the disk. Nothing is answered from it until it is written:
    // a loss of power would take back what was answered.
    let mut unsaved = false;
    let mut gauge = QueueGauge::new("votes", QUEUE_CAPACITY);
    while let Some((to, request, reply)) = commands.recv().await {
        gauge.observe_and_log(commands.len() + 1);
        if reply.is_closed() {
            // The caller has given up. To it, this is the same as a request lost on the network.
            continue;
        }
        if unsaved {
            match write(&acceptor, true, &storage).await {
                WriteResult::Synced => {}
                WriteResult::Failed => continue,
                WriteResult::WriterGone => return,
            }
        }
        let (response, required) = acceptor.handle(to, *request);
        let result = match required {
            RequiredWrite::Nothing => WriteResult::Synced,
            RequiredWrite::Metadata => write(&acceptor, false, &storage).await,
            RequiredWrite::MetadataAndState => write(&acceptor, true, &storage).await,
        };
        if result == WriteResult::WriterGone {
            return;
        }
        let synced = result == WriteResult::Synced;
        unsaved = !synced;
        publish(&acceptor, &publisher);
        if synced {
            // The caller may have stopped waiting.
            let _ = reply.send(response);
        }
    }
}

/// The result of a write to disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteResult {
    Synced,
    Failed,
    /// The writer thread has ended: this process can never write again.
    WriterGone,
}

/// Waits until the acceptor's own state, and with `whole_state` also the replicated state, is synced to disk.
async fn write(acceptor: &Acceptor<Value>, whole_state: bool, storage: &StorageQueue) -> WriteResult {
    let (done, synced) = oneshot::channel();
    let state = whole_state.then(|| acceptor.state().clone());
    if storage.send(SaveRequest { acceptor: acceptor.metadata().clone(), state, done }).is_err() {
        return WriteResult::WriterGone;
    }
    match synced.await {
        Ok(Ok(())) => WriteResult::Synced,
        Ok(Err(error)) => {
            log::error!("event=disk_failed error=\"{error}\"");
            WriteResult::Failed
        }
        Err(_) => WriteResult::WriterGone,
    }
}

fn view(acceptor: &Acceptor<Value>) -> AcceptorView {
    let AcceptorState { promised, accepted, chosen, members, .. } = acceptor.metadata().clone();
    AcceptorView { promised, accepted, chosen, members, proposed: acceptor.state().members.clone() }
}

fn publish(acceptor: &Acceptor<Value>, publisher: &watch::Sender<AcceptorView>) {
    let new = view(acceptor);
    publisher.send_if_modified(|known| {
        let changed = *known != new;
        *known = new;
        changed
    });
}
