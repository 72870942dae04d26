//! Simulated processes and disks. A process is one future that contains all of its tasks: dropping it acts as a kill,
//! and not polling it acts as a frozen process.

use starlinghill_config_store::disk::{SaveRequest, StorageQueue, StoredState};
use starlinghill_consensus::AcceptorState;
use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, Instant};

type ProcessFuture = Pin<Box<dyn Future<Output = ()>>>;

/// A handle to a simulated process.
#[derive(Clone, Default)]
pub struct Process {
    state: Rc<RefCell<ProcessState>>,
}

#[derive(Default)]
struct ProcessState {
    future: Option<ProcessFuture>,
    frozen: bool,
    waker: Option<Waker>,
}

impl Process {
    /// Starts a process on the current `LocalSet`.
    pub fn spawn(run: impl Future<Output = ()> + 'static) -> Process {
        let tasks = LocalSet::new();
        let future: ProcessFuture = Box::pin(async move { tasks.run_until(run).await });
        let state = ProcessState { future: Some(future), ..ProcessState::default() };
        let process = Process { state: Rc::new(RefCell::new(state)) };
        let state = process.state.clone();
        spawn_local(std::future::poll_fn(move |cx| {
            let mut future = {
                let mut state = state.borrow_mut();
                state.waker = Some(cx.waker().clone());
                if state.frozen && state.future.is_some() {
                    return Poll::Pending;
                }
                match state.future.take() {
                    Some(future) => future,
                    None => return Poll::Ready(()),
                }
            };
            let polled = future.as_mut().poll(cx);
            if polled.is_pending() {
                state.borrow_mut().future = Some(future);
            }
            polled
        }));
        process
    }

    /// Whether the process exists, frozen or not.
    pub fn is_alive(&self) -> bool {
        self.state.borrow().future.is_some()
    }

    /// Whether the process exists and is not frozen.
    pub fn is_responsive(&self) -> bool {
        self.is_alive() && !self.state.borrow().frozen
    }

    /// Ends the process at once, without any cleanup beyond dropping its future.
    pub fn kill(&self) {
        // The state may not be borrowed while the future is dropped: its destructors may use it.
        let future = self.state.borrow_mut().future.take();
        drop(future);
        self.wake();
    }

    /// Stops polling the process, or resumes it. A resumed process finds that the clock has moved on.
    pub fn set_frozen(&self, frozen: bool) {
        self.state.borrow_mut().frozen = frozen;
        self.wake();
    }

    fn wake(&self) {
        if let Some(waker) = self.state.borrow_mut().waker.take() {
            waker.wake();
        }
    }
}

/// A disk with the state of one store. It outlives the processes that write to it.
#[derive(Default)]
pub struct Disk {
    /// Survives a power loss.
    synced: Option<StoredState>,
    /// Written but not synced yet; a kill or a power loss may drop it.
    unsynced: Option<StoredState>,
    stalled_until: Option<Instant>,
    /// Acknowledges writes before they are synced: a disk fault that the checker must detect.
    pub acks_before_sync: bool,
    /// Rejects every write.
    pub rejects_writes: bool,
}

/// The longest duration of a sync, in milliseconds.
const MAX_SYNC_MS: u64 = 9;
/// The pause before a rejected write is tried again.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long after its acknowledgement a write is synced on a disk that acknowledges too early.
const LATE_SYNC_DELAY: Duration = Duration::from_millis(400);

impl Disk {
    /// What a process reads when it starts on this disk.
    pub fn stored_state(&self) -> Option<StoredState> {
        self.synced.clone()
    }

    /// The stored votes and members, as a starting process would read them.
    pub fn acceptor_state(&self) -> Option<&AcceptorState> {
        self.synced.as_ref().map(|stored| &stored.acceptor)
    }

    /// Erases all content.
    pub fn wipe(&mut self) {
        (self.synced, self.unsynced) = (None, None);
    }

    /// Blocks writes until the given time.
    pub fn stall(&mut self, until: Instant) {
        self.stalled_until = Some(until);
    }

    /// Whether writes are blocked at present.
    pub fn is_stalled(&self) -> bool {
        self.stalled_until.is_some_and(|until| Instant::now() < until)
    }

    /// Decides what a killed process or a power loss leaves of an unsynced write.
    pub fn settle_pending(&mut self, write_survives: bool) {
        if let Some(unsynced) = self.unsynced.take().filter(|_| write_survives) {
            self.synced = Some(unsynced);
        }
    }
}

/// Starts the task that writes a process's state to the disk, and returns the queue to it.
pub fn start_writer(disk: Rc<RefCell<Disk>>) -> StorageQueue {
    let (queue, mut requests) = mpsc::unbounded_channel::<SaveRequest>();
    spawn_local(async move {
        while let Some(SaveRequest { acceptor, state, done }) = requests.recv().await {
            let stalled_until = disk.borrow().stalled_until;
            if let Some(until) = stalled_until.filter(|until| *until > Instant::now()) {
                sleep_until(until).await;
            }
            // The real writer thread also retries until the write succeeds.
            while disk.borrow().rejects_writes {
                sleep(WRITE_RETRY_DELAY).await;
            }
            let acks_before_sync = {
                let mut disk = disk.borrow_mut();
                let previous = disk.unsynced.as_ref().or(disk.synced.as_ref());
                let previous = previous.map(|stored| stored.state.clone());
                let state = state.or(previous).unwrap_or_default();
                disk.unsynced = Some(StoredState { acceptor, state });
                disk.acks_before_sync
            };
            if acks_before_sync {
                let _ = done.send(Ok(()));
                let disk = disk.clone();
                spawn_local(async move {
                    sleep(LATE_SYNC_DELAY).await;
                    disk.borrow_mut().settle_pending(true);
                });
                continue;
            }
            sleep(Duration::from_millis(fastrand::u64(1..=MAX_SYNC_MS))).await;
            disk.borrow_mut().settle_pending(true);
            // The requester may be gone by now.
            let _ = done.send(Ok(()));
        }
    });
    queue
}
