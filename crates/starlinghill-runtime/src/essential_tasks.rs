//! Tasks that a process can't do without: it ends where one of them does, so that whoever runs it starts it again.
//!
//! A panic ends one task and no more. For a task that serves one call that is right: the others go on. A process whose owner
//! of tables has ended would live on, answer that it is ready, and refuse everything.

use std::future::Future;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Where such tasks are started. Clones stand for the same process.
#[derive(Debug, Clone)]
pub struct EssentialTasks {
    ended: mpsc::UnboundedSender<&'static str>,
}

/// Hears of the first task that has ended.
#[derive(Debug)]
pub struct FirstEndedTask {
    ended: mpsc::UnboundedReceiver<&'static str>,
}

impl Default for EssentialTasks {
    /// Of a process, or a test, that goes on whichever task ends: the log is told all the same.
    fn default() -> EssentialTasks {
        EssentialTasks::new().0
    }
}

impl EssentialTasks {
    /// Those of one process, and the way to hear of them.
    pub fn new() -> (EssentialTasks, FirstEndedTask) {
        let (tell, ended) = mpsc::unbounded_channel();
        (EssentialTasks { ended: tell }, FirstEndedTask { ended })
    }

    /// Starts one on this thread. Its name is for the log.
    pub fn spawn(&self, name: &'static str, task: impl Future<Output = ()> + 'static) {
        let (running, tell) = (spawn_local(task), self.ended.clone());
        spawn_local(async move {
            let how = running.await;
            log::error!("event=task_ended task={name} panicked={}", how.is_err_and(|error| error.is_panic()));
            // Nobody listens any more in a process that ends.
            let _ = tell.send(name);
        });
    }
}

impl FirstEndedTask {
    /// The name of the first that has ended; waits for ever where none does.
    pub async fn wait(&mut self) -> &'static str {
        match self.ended.recv().await {
            Some(name) => name,
            None => std::future::pending().await,
        }
    }
}
