//! Real processes that are killed, stopped, continued and started again.

use std::io::{BufRead, BufReader, Read};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Lines of a log that are kept; older ones go.
const LINES: usize = 20_000;

/// A line of a log, and when it came.
#[derive(Debug, Clone)]
pub struct Line {
    /// When it was read.
    pub at: Instant,
    /// The line.
    pub text: String,
}

/// Clock ticks a second in `/proc/PID/stat`, the same on every Linux that this runs on.
const TICKS: f64 = 100.0;
/// Bytes of a page, as in `/proc/PID/statm`.
const PAGE: u64 = 4_096;

/// What a process uses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResourceUsage {
    /// Resident memory, in bytes.
    pub memory_bytes: u64,
    /// CPU time so far, in seconds.
    pub cpu_s: f64,
    /// Threads.
    pub threads: usize,
    /// Open descriptors.
    pub descriptors: usize,
}

/// The state of a process, as `/proc` has it: `S` asleep, `T` stopped; and the signals that it has a handler for, the first
/// in the lowest bit. `None` where it is gone.
pub fn state_and_handled_signals(pid: u32) -> Option<(char, u64)> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let field = |name: &str| Some(text.lines().find_map(|line| line.strip_prefix(name))?.trim());
    Some((field("State:")?.chars().next()?, u64::from_str_radix(field("SigCgt:")?, 16).ok()?))
}

/// What a process uses now; `None` where it is gone.
pub fn resource_usage(pid: u32) -> Option<ResourceUsage> {
    let pages: u64 =
        std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?.split(' ').nth(1)?.parse().ok()?;
    // To the nanosecond, but without threads that have ended; these are in the whole, which comes by ticks.
    let mut ran = 0.0;
    for task in std::fs::read_dir(format!("/proc/{pid}/task")).ok()?.flatten() {
        let told = std::fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        ran += told.split(' ').next()?.parse::<f64>().unwrap_or(0.0) / 1e9;
    }
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let after: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let ticks = after.get(11)?.parse::<f64>().ok()? + after.get(12)?.parse::<f64>().ok()?;
    let cpu_s = f64::max(ran, ticks / TICKS);
    let count = |what: &str| std::fs::read_dir(format!("/proc/{pid}/{what}")).map(Iterator::count).ok();
    Some(ResourceUsage {
        memory_bytes: pages * PAGE,
        cpu_s,
        threads: count("task")?,
        descriptors: count("fd")?,
    })
}

/// A process, by the command that starts it again and again.
pub struct Process {
    /// Its name.
    pub name: String,
    command: Box<dyn Fn() -> Command + Send + Sync>,
    child: Option<Child>,
    log: Arc<(Mutex<Vec<Line>>, Condvar)>,
    readers: Vec<JoinHandle<()>>,
    begun: Instant,
    stopped: bool,
}

impl Process {
    /// A process that does not run yet.
    pub fn new(name: &str, command: impl Fn() -> Command + Send + Sync + 'static) -> Process {
        let (name, command) = (name.into(), Box::new(command));
        let (log, readers, begun) = (Arc::default(), Vec::new(), Instant::now());
        Process { name, command, child: None, log, readers, begun, stopped: false }
    }

    /// Starts it, unless it runs.
    pub fn start(&mut self) {
        if self.is_running() {
            return;
        }
        self.begun = Instant::now();
        let mut child = (self.command)()
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap_or_else(|e| panic!("{} does not start: {e}", self.name));
        if let Some(out) = child.stdout.take() {
            self.keep(out);
        }
        if let Some(err) = child.stderr.take() {
            self.keep(err);
        }
        (self.child, self.stopped) = (Some(child), false);
    }

    fn keep(&mut self, from: impl Read + Send + 'static) {
        let log = self.log.clone();
        let reader = thread::spawn(move || {
            for line in BufReader::new(from).lines().map_while(Result::ok) {
                let mut lines = log.0.lock().unwrap_or_else(PoisonError::into_inner);
                if lines.len() >= LINES {
                    lines.drain(..LINES / 2);
                }
                lines.push(Line { at: Instant::now(), text: line });
                log.1.notify_all();
            }
        });
        self.readers.push(reader);
    }

    /// Waits until all that a process wrote before its end is in its log.
    fn read_to_end(&mut self) {
        for reader in self.readers.drain(..) {
            let _ = reader.join();
        }
    }

    /// Whether it runs, stopped or not.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Its number, while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether it is stopped by [`Process::stop`].
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Sends it a signal by its name, such as `TERM`.
    pub fn signal(&mut self, name: &str) {
        let Some(child) = &self.child else { return };
        let sent = Command::new("kill").args([&format!("-{name}"), &child.id().to_string()]).status();
        assert!(sent.expect("kill runs").success(), "{}: {name}", self.name);
    }

    /// SIGKILL, and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.read_to_end();
        self.stopped = false;
    }

    /// SIGTERM.
    pub fn terminate(&mut self) {
        self.signal("TERM");
    }

    /// SIGHUP.
    pub fn hang_up(&mut self) {
        self.signal("HUP");
    }

    /// SIGSTOP.
    pub fn stop(&mut self) {
        self.signal("STOP");
        self.stopped = true;
    }

    /// SIGCONT.
    pub fn resume(&mut self) {
        if self.stopped {
            self.signal("CONT");
            self.stopped = false;
        }
    }

    /// Waits for its end and tells its code; `None` where a signal ended it.
    pub fn wait_for_exit_code(&mut self, limit: Duration) -> Option<i32> {
        self.wait_for_exit(limit).code()
    }

    /// Waits for its end and tells how that was.
    pub fn wait_for_exit(&mut self, limit: Duration) -> ExitStatus {
        let until = Instant::now() + limit;
        while self.is_running() {
            assert!(Instant::now() < until, "{} did not end", self.name);
            thread::sleep(Duration::from_millis(5));
        }
        let mut child = self.child.take().expect("it was started");
        let status = child.wait().expect("it ended");
        self.read_to_end();
        status
    }

    /// Its log so far, of all its lives.
    pub fn lines(&self) -> Vec<Line> {
        self.log.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The same, without times.
    pub fn log(&self) -> Vec<String> {
        self.lines().into_iter().map(|line| line.text).collect()
    }

    /// Waits for a line with this text, of its present life.
    pub fn wait_for_log(&self, text: &str, limit: Duration) -> Line {
        let held = self.log.0.lock().unwrap_or_else(PoisonError::into_inner);
        let wanted = |line: &&Line| line.at >= self.begun && line.text.contains(text);
        let none = |log: &mut Vec<Line>| !log.iter().any(|line| wanted(&line));
        let (log, late) =
            self.log.1.wait_timeout_while(held, limit, none).unwrap_or_else(PoisonError::into_inner);
        let found = log.iter().find(wanted).cloned();
        let all = || log.iter().map(|line| line.text.as_str()).collect::<Vec<_>>().join("\n");
        assert!(!late.timed_out(), "{}: waited in vain for '{text}' in\n{}", self.name, all());
        found.expect("it was waited for")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
