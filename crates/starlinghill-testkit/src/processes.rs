//! Child processes that tests kill, stop, resume and restart, with their logs and their use of resources.

use std::io::{BufRead, BufReader, Read};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Maximum number of log lines kept per process; beyond it the older half is dropped.
const MAX_LOG_LINES: usize = 20_000;

/// A log line of a process.
#[derive(Debug, Clone)]
pub struct Line {
    /// When the line was read from the process.
    pub at: Instant,
    /// The line without its end.
    pub text: String,
}

/// Clock ticks per second in `/proc/PID/stat`, the same on every Linux that this runs on.
const TICKS_PER_S: f64 = 100.0;
/// Bytes per page in `/proc/PID/statm`.
const PAGE_BYTES: u64 = 4_096;

/// Resources that a process uses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResourceUsage {
    /// Resident memory, in bytes.
    pub memory_bytes: u64,
    /// CPU time since the process started, in seconds.
    pub cpu_s: f64,
    /// Number of threads.
    pub threads: usize,
    /// Open file descriptors.
    pub descriptors: usize,
}

/// Returns the state letter of a process from `/proc` (`S` sleeping, `T` stopped) and the signals that it
/// handles, as a bit mask with signal 1 in the lowest bit. `None` if the process does not exist.
pub fn state_and_handled_signals(pid: u32) -> Option<(char, u64)> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let field = |name: &str| Some(text.lines().find_map(|line| line.strip_prefix(name))?.trim());
    Some((field("State:")?.chars().next()?, u64::from_str_radix(field("SigCgt:")?, 16).ok()?))
}

/// Reads the current resource usage of a process; `None` if it does not exist.
pub fn resource_usage(pid: u32) -> Option<ResourceUsage> {
    let pages: u64 =
        std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?.split(' ').nth(1)?.parse().ok()?;
    // The sum over threads has nanosecond precision but lacks threads that have ended. The total of the
    // process includes them, in clock ticks. The larger one is used.
    let mut ran = 0.0;
    for task in std::fs::read_dir(format!("/proc/{pid}/task")).ok()?.flatten() {
        let schedstat = std::fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        ran += schedstat.split(' ').next()?.parse::<f64>().unwrap_or(0.0) / 1e9;
    }
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let after: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let ticks = after.get(11)?.parse::<f64>().ok()? + after.get(12)?.parse::<f64>().ok()?;
    let cpu_s = f64::max(ran, ticks / TICKS_PER_S);
    let count =
        |directory: &str| std::fs::read_dir(format!("/proc/{pid}/{directory}")).map(Iterator::count).ok();
    Some(ResourceUsage {
        memory_bytes: pages * PAGE_BYTES,
        cpu_s,
        threads: count("task")?,
        descriptors: count("fd")?,
    })
}

/// A child process and the command that starts and restarts it. Dropping it kills the process.
pub struct Process {
    /// Name for messages of failed tests.
    pub name: String,
    command: Box<dyn Fn() -> Command + Send + Sync>,
    child: Option<Child>,
    log: Arc<(Mutex<Vec<Line>>, Condvar)>,
    readers: Vec<JoinHandle<()>>,
    /// When the current process was started.
    started_at: Instant,
    stopped: bool,
}

impl Process {
    /// Describes a process without starting it.
    pub fn new(name: &str, command: impl Fn() -> Command + Send + Sync + 'static) -> Process {
        let (name, command) = (name.into(), Box::new(command));
        let (log, readers, started_at) = (Arc::default(), Vec::new(), Instant::now());
        Process { name, command, child: None, log, readers, started_at, stopped: false }
    }

    /// Starts the process unless it is running.
    pub fn start(&mut self) {
        if self.is_running() {
            return;
        }
        self.started_at = Instant::now();
        let mut child = (self.command)()
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap_or_else(|e| panic!("{} does not start: {e}", self.name));
        if let Some(out) = child.stdout.take() {
            self.collect_lines(out);
        }
        if let Some(err) = child.stderr.take() {
            self.collect_lines(err);
        }
        (self.child, self.stopped) = (Some(child), false);
    }

    fn collect_lines(&mut self, from: impl Read + Send + 'static) {
        let log = self.log.clone();
        let reader = thread::spawn(move || {
            for line in BufReader::new(from).lines().map_while(Result::ok) {
                let mut lines = log.0.lock().unwrap_or_else(PoisonError::into_inner);
                if lines.len() >= MAX_LOG_LINES {
                    lines.drain(..MAX_LOG_LINES / 2);
                }
                lines.push(Line { at: Instant::now(), text: line });
                log.1.notify_all();
            }
        });
        self.readers.push(reader);
    }

    /// Waits until all output of the ended process is in the log.
    fn read_to_end(&mut self) {
        for reader in self.readers.drain(..) {
            let _ = reader.join();
        }
    }

    /// Whether the process exists, be it stopped or not.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Process id of the last start; `None` after a kill or a wait for its exit.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether [`Process::stop`] has stopped the process.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Sends a signal by its name without `SIG`, such as `TERM`.
    pub fn signal(&mut self, name: &str) {
        let Some(child) = &self.child else { return };
        let sent = Command::new("kill").args([&format!("-{name}"), &child.id().to_string()]).status();
        assert!(sent.expect("kill runs").success(), "{}: {name}", self.name);
    }

    /// Sends SIGKILL and waits for the exit.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.read_to_end();
        self.stopped = false;
    }

    /// Sends SIGTERM.
    pub fn terminate(&mut self) {
        self.signal("TERM");
    }

    /// Sends SIGHUP.
    pub fn hang_up(&mut self) {
        self.signal("HUP");
    }

    /// Sends SIGSTOP.
    pub fn stop(&mut self) {
        self.signal("STOP");
        self.stopped = true;
    }

    /// Sends SIGCONT if [`Process::stop`] stopped the process.
    pub fn resume(&mut self) {
        if self.stopped {
            self.signal("CONT");
            self.stopped = false;
        }
    }

    /// Waits for the exit and returns the exit code, or `None` if a signal ended the process. Panics after
    /// `limit`.
    pub fn wait_for_exit_code(&mut self, limit: Duration) -> Option<i32> {
        self.wait_for_exit(limit).code()
    }

    /// Waits for the exit and returns the status. Panics after `limit`.
    pub fn wait_for_exit(&mut self, limit: Duration) -> ExitStatus {
        let until = Instant::now() + limit;
        while self.is_running() {
            assert!(Instant::now() < until, "{} did not exit in time", self.name);
            thread::sleep(Duration::from_millis(5));
        }
        let mut child = self.child.take().expect("it was started");
        let status = child.wait().expect("it ended");
        self.read_to_end();
        status
    }

    /// The log lines of all starts of this process so far.
    pub fn lines(&self) -> Vec<Line> {
        self.log.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The texts of [`Process::lines`].
    pub fn log(&self) -> Vec<String> {
        self.lines().into_iter().map(|line| line.text).collect()
    }

    /// Waits for a log line with this text, written since the last start. Panics after `limit`.
    pub fn wait_for_log(&self, text: &str, limit: Duration) -> Line {
        let held = self.log.0.lock().unwrap_or_else(PoisonError::into_inner);
        let wanted = |line: &&Line| line.at >= self.started_at && line.text.contains(text);
        let none = |log: &mut Vec<Line>| !log.iter().any(|line| wanted(&line));
        let (log, late) =
            self.log.1.wait_timeout_while(held, limit, none).unwrap_or_else(PoisonError::into_inner);
        let found = log.iter().find(wanted).cloned();
        let all = || log.iter().map(|line| line.text.as_str()).collect::<Vec<_>>().join("\n");
        assert!(!late.timed_out(), "{}: no line with '{text}' in time in\n{}", self.name, all());
        found.expect("it was waited for")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
