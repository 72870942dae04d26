//! Processes and disks that are played: a process is one future with all of its tasks inside, so that it can be dropped as
//! by a kill, or not be looked at as while it is frozen.

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

type Running = Pin<Box<dyn Future<Output = ()>>>;

/// A process.
#[derive(Clone, Default)]
pub struct Process {
    inner: Rc<RefCell<Inner>>,
}

#[derive(Default)]
struct Inner {
    running: Option<Running>,
    frozen: bool,
    waker: Option<Waker>,
}

impl Process {
    /// Begins one.
    pub fn begin(run: impl Future<Output = ()> + 'static) -> Process {
        let tasks = LocalSet::new();
        let running: Running = Box::pin(async move { tasks.run_until(run).await });
        let inner = Inner { running: Some(running), ..Inner::default() };
        let process = Process { inner: Rc::new(RefCell::new(inner)) };
        let inner = process.inner.clone();
        spawn_local(std::future::poll_fn(move |cx| {
            let mut running = {
                let mut inner = inner.borrow_mut();
                inner.waker = Some(cx.waker().clone());
                if inner.frozen && inner.running.is_some() {
                    return Poll::Pending;
                }
                match inner.running.take() {
                    Some(running) => running,
                    None => return Poll::Ready(()),
                }
            };
            let polled = running.as_mut().poll(cx);
            if polled.is_pending() {
                inner.borrow_mut().running = Some(running);
            }
            polled
        }));
        process
    }

    /// It runs, frozen or not.
    pub fn is_alive(&self) -> bool {
        self.inner.borrow().running.is_some()
    }

    /// It runs and is looked at.
    pub fn is_awake(&self) -> bool {
        self.is_alive() && !self.inner.borrow().frozen
    }

    /// Ends it where it stands.
    pub fn kill(&self) {
        let running = self.inner.borrow_mut().running.take();
        drop(running);
        self.wake();
    }

    /// Nothing of it goes on, until it does again and finds the clock moved.
    pub fn freeze(&self, frozen: bool) {
        self.inner.borrow_mut().frozen = frozen;
        self.wake();
    }

    fn wake(&self) {
        if let Some(waker) = self.inner.borrow_mut().waker.take() {
            waker.wake();
        }
    }
}

/// A disk, which outlives processes.
#[derive(Default)]
pub struct Platter {
    /// What survives a loss of power.
    synced: Option<StoredState>,
    /// What was written behind it.
    unsynced: Option<StoredState>,
    stalled: Option<Instant>,
    /// It says that it has synced before it has: for the fault that must be found.
    pub lies: bool,
    /// It refuses to write.
    pub refuses: bool,
}

/// How long a sync takes at most, in milliseconds.
const SYNC_MS: u64 = 9;
/// After this a write that was refused is tried again.
const REFUSED: Duration = Duration::from_millis(100);
/// When a disk that lies has synced.
const LATE: Duration = Duration::from_millis(400);

impl Platter {
    /// What a process finds that starts here.
    pub fn found(&self) -> Option<StoredState> {
        self.synced.clone()
    }

    /// What a voter keeps here, as a process would find it.
    pub fn kept(&self) -> Option<&AcceptorState> {
        self.synced.as_ref().map(|found| &found.acceptor)
    }

    /// Nothing is there any more.
    pub fn wipe(&mut self) {
        (self.synced, self.unsynced) = (None, None);
    }

    /// It takes nothing until then.
    pub fn stall(&mut self, until: Instant) {
        self.stalled = Some(until);
    }

    /// It takes nothing just now.
    pub fn is_stalled(&self) -> bool {
        self.stalled.is_some_and(|until| Instant::now() < until)
    }

    /// A process ends, or power goes: what was under way is there, or not.
    pub fn settle(&mut self, there: bool) {
        if let Some(unsynced) = self.unsynced.take().filter(|_| there) {
            self.synced = Some(unsynced);
        }
    }
}

/// A process begins to write.
pub fn mount(platter: Rc<RefCell<Platter>>) -> StorageQueue {
    let (orders, mut queue) = mpsc::unbounded_channel::<SaveRequest>();
    spawn_local(async move {
        while let Some(SaveRequest { acceptor: kept, state, done }) = queue.recv().await {
            let stalled = platter.borrow().stalled;
            if let Some(until) = stalled.filter(|until| *until > Instant::now()) {
                sleep_until(until).await;
            }
            // As the thread that writes: it tries until all is kept.
            while platter.borrow().refuses {
                sleep(REFUSED).await;
            }
            let lies = {
                let mut platter = platter.borrow_mut();
                let before = platter.unsynced.as_ref().or(platter.synced.as_ref());
                let before = before.map(|found| found.state.clone());
                let state = state.or(before).unwrap_or_default();
                platter.unsynced = Some(StoredState { acceptor: kept, state });
                platter.lies
            };
            if lies {
                let _ = done.send(Ok(()));
                let platter = platter.clone();
                spawn_local(async move {
                    sleep(LATE).await;
                    platter.borrow_mut().settle(true);
                });
                continue;
            }
            sleep(Duration::from_millis(fastrand::u64(1..=SYNC_MS))).await;
            platter.borrow_mut().settle(true);
            // Whoever waited may have gone.
            let _ = done.send(Ok(()));
        }
    });
    orders
}
