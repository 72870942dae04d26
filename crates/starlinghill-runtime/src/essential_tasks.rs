//! Tasks without which a process is useless: when one ends, the process ends, so that its supervisor restarts it.
//!
//! A panic ends only one task. That is right for a task that serves a single connection. But a process whose state
//! task has ended would stay up, report itself as ready and fail every request.

use std::future::Future;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Starts essential tasks. Clones belong to the same process.
#[derive(Debug, Clone)]
pub struct EssentialTasks {
    ended: mpsc::UnboundedSender<&'static str>,
}

/// Waits for the first essential task to end.
#[derive(Debug)]
pub struct FirstEndedTask {
    ended: mpsc::UnboundedReceiver<&'static str>,
}

impl Default for EssentialTasks {
    /// For tests, and for processes that go on when a task ends; the end is still logged.
    fn default() -> EssentialTasks {
        EssentialTasks::new().0
    }
}

impl EssentialTasks {
    /// The spawner of a process, and the receiver that is notified when a task ends.
    pub fn new() -> (EssentialTasks, FirstEndedTask) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (EssentialTasks { ended: sender }, FirstEndedTask { ended: receiver })
    }

    /// Starts a task on this thread. `name` appears in the log.
    pub fn spawn(&self, name: &'static str, task: impl Future<Output = ()> + 'static) {
        let (running, ended) = (spawn_local(task), self.ended.clone());
        spawn_local(async move {
            let result = running.await;
            log::error!(
                "event=task_ended task={name} panicked={}",
                result.is_err_and(|error| error.is_panic())
            );
            // The receiver is gone while the process shuts down.
            let _ = ended.send(name);
        });
    }
}

impl FirstEndedTask {
    /// Returns the name of the first task that ended; never returns while all run.
    pub async fn wait(&mut self) -> &'static str {
        match self.ended.recv().await {
            Some(name) => name,
            None => std::future::pending().await,
        }
    }
}
