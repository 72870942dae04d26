//! The owner of this store's vote: one task, which works through a queue of questions and has all on disk that must be
//! there before it answers.

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

/// How many questions may wait; whoever has one more waits with it.
const QUEUE: usize = 64;
/// Nobody waits so long for a voter. Questions are given up then, or they would pile up behind a disk that hangs.
const GIVEN_UP: Duration = Duration::from_secs(1);

/// A question to the voter, from here or from another store, and who is meant.
type Command = (Member, Box<AcceptorRequest<Value>>, oneshot::Sender<AcceptorReply<Value>>);

/// What others may know of the voter without asking.
#[derive(Debug, Clone, PartialEq)]
pub struct AcceptorView {
    /// Its promise.
    pub promised: Ballot,
    /// The ballot of its state, and the highest that it knows to be agreed on.
    pub accepted: Ballot,
    /// The same.
    pub chosen: Ballot,
    /// The newest members that it knows to be agreed on.
    pub members: Members,
    /// Those of its state, agreed on or not.
    pub proposed: Members,
}

/// The way to the owner.
#[derive(Clone)]
pub struct AcceptorHandle {
    /// Who votes here.
    pub me: Member,
    queue: mpsc::Sender<Command>,
    /// What the voter has.
    pub view: watch::Receiver<AcceptorView>,
}

impl AcceptorHandle {
    /// Runs the owner. Without it the process is of no use.
    pub fn start(voter: Acceptor<Value>, disk: StorageQueue, essentials: &EssentialTasks) -> AcceptorHandle {
        let (queue, commands) = mpsc::channel(QUEUE);
        let (show, view) = watch::channel(view(&voter));
        let me = voter.me();
        essentials.spawn("vote", own(voter, disk, commands, show));
        AcceptorHandle { me, queue, view }
    }

    /// Asks the voter here.
    pub async fn ask(&self, ask: AcceptorRequest<Value>) -> Option<AcceptorReply<Value>> {
        self.ask_as(self.me, ask).await
    }

    /// Asks the voter here, which may be another one than is meant.
    pub async fn ask_as(&self, to: Member, ask: AcceptorRequest<Value>) -> Option<AcceptorReply<Value>> {
        let (reply, answer) = oneshot::channel();
        // The owner lives as long as the process.
        let _ = self.queue.send((to, Box::new(ask), reply)).await;
        timeout(GIVEN_UP, answer).await.ok()?.ok()
    }
}

async fn own(
    mut voter: Acceptor<Value>,
    disk: StorageQueue,
    mut commands: mpsc::Receiver<Command>,
    show: watch::Sender<AcceptorView>,
) {
    // A disk has refused what the voter holds since: it says nothing until that is kept.
    let mut unkept = false;
    let mut fill = QueueGauge::new("votes", QUEUE);
    while let Some((to, ask, reply)) = commands.recv().await {
        fill.log(commands.len() + 1);
        if reply.is_closed() {
            // Given up by who asked, as behind a disk that hung: it is as though it had been lost on its way.
            continue;
        }
        if unkept {
            match write(&voter, true, &disk).await {
                Written::Kept => {}
                Written::Refused => continue,
                Written::NoWriter => return,
            }
        }
        let (tell, save) = voter.handle(to, *ask);
        let written = match save {
            RequiredWrite::Nothing => Written::Kept,
            RequiredWrite::Kept => write(&voter, false, &disk).await,
            RequiredWrite::State => write(&voter, true, &disk).await,
        };
        if written == Written::NoWriter {
            return;
        }
        let saved = written == Written::Kept;
        unkept = !saved;
        publish(&voter, &show);
        if saved {
            // Whoever asked may have stopped waiting.
            let _ = reply.send(tell);
        }
    }
}

/// What became of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Written {
    /// It is on disk.
    Kept,
    /// The disk refuses.
    Refused,
    /// Whoever writes is no more: nothing is ever kept again by this process.
    NoWriter,
}

/// Has it on disk; nothing is said of what is not. A disk that refuses leaves the voter silent, and the others decide.
async fn write(voter: &Acceptor<Value>, state: bool, disk: &StorageQueue) -> Written {
    let (done, saved) = oneshot::channel();
    let state = state.then(|| voter.state().clone());
    if disk.send(SaveRequest { acceptor: voter.kept().clone(), state, done }).is_err() {
        return Written::NoWriter;
    }
    match saved.await {
        Ok(Ok(())) => Written::Kept,
        Ok(Err(error)) => {
            log::error!("event=disk_failed error=\"{error}\"");
            Written::Refused
        }
        Err(_) => Written::NoWriter,
    }
}

fn view(voter: &Acceptor<Value>) -> AcceptorView {
    let AcceptorState { promised, accepted, chosen, members, .. } = voter.kept().clone();
    AcceptorView { promised, accepted, chosen, members, proposed: voter.state().members.clone() }
}

fn publish(voter: &Acceptor<Value>, show: &watch::Sender<AcceptorView>) {
    let new = view(voter);
    show.send_if_modified(|known| {
        let changed = *known != new;
        *known = new;
        changed
    });
}
