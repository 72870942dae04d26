//! Measures the resources of processes from outside, by `/proc` and, for the traffic of each connection, by `ss`. Without
//! `ss`, bytes, messages and connections stay 0.

use starlinghill_testkit::processes::resource_usage;
use std::collections::HashMap;
use std::process::Command;
use std::time::Instant;

/// The traffic of a connection so far: bytes in and out, segments with data in and out.
type Traffic = [u64; 4];

/// The counters of processes at one time.
pub struct Sample {
    at: Instant,
    /// CPU time (s) and memory (bytes) by process id.
    used: HashMap<u32, (f64, u64)>,
    /// Traffic by process id and both addresses of the connection.
    connections: HashMap<(u32, String, String), Traffic>,
    /// Connections accepted so far on the whole machine.
    accepted: u64,
}

/// What a process used per second between two samples.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// Resident memory at the end, MB.
    pub memory: f64,
    /// CPU time, ms/s.
    pub cpu: f64,
    /// Bytes received, kB/s.
    pub bytes_in: f64,
    /// Bytes sent, kB/s.
    pub bytes_out: f64,
    /// Segments with data received per second. A message is one segment unless it is longer than about 60 kB or
    /// follows another one closely.
    pub messages_in: f64,
    /// Segments with data sent per second.
    pub messages_out: f64,
    /// Open connections at the end.
    pub connections: f64,
}

impl Load {
    /// The values in the order of [`COLUMNS`].
    pub fn figures(&self) -> [f64; 7] {
        [
            self.memory,
            self.cpu,
            self.bytes_in,
            self.bytes_out,
            self.messages_in,
            self.messages_out,
            self.connections,
        ]
    }

    /// The mean of several loads.
    pub fn mean(loads: &[Load]) -> Load {
        let mut all = [0.0; 7];
        for load in loads {
            all.iter_mut().zip(load.figures()).for_each(|(sum, one)| *sum += one / loads.len() as f64);
        }
        let [memory, cpu, bytes_in, bytes_out, messages_in, messages_out, connections] = all;
        Load { memory, cpu, bytes_in, bytes_out, messages_in, messages_out, connections }
    }
}

/// The column heads of tables of loads.
pub const COLUMNS: [&str; 7] =
    ["memory MB", "CPU ms/s", "in kB/s", "out kB/s", "messages/s in", "messages/s out", "connections"];

impl Sample {
    /// Takes a sample of these processes.
    pub fn now(pids: &[u32]) -> Sample {
        let usage = |pid: &u32| resource_usage(*pid).map(|used| (*pid, (used.cpu_s, used.memory_bytes)));
        let snmp = std::fs::read_to_string("/proc/net/snmp").unwrap_or_default();
        let tcp: Vec<&str> = snmp.lines().filter(|line| line.starts_with("Tcp:")).collect();
        let column = tcp.first().and_then(|line| line.split(' ').position(|word| word == "PassiveOpens"));
        let opens = column.and_then(|i| tcp.get(1)?.split(' ').nth(i)?.parse().ok());
        Sample {
            at: Instant::now(),
            used: pids.iter().filter_map(usage).collect(),
            connections: connections(pids),
            accepted: opens.unwrap_or(0),
        }
    }

    /// What each process used from an earlier sample to this one.
    pub fn since(&self, before: &Sample) -> HashMap<u32, Load> {
        let span = (self.at - before.at).as_secs_f64();
        let mut loads: HashMap<u32, Load> = HashMap::new();
        for (pid, (cpu, memory)) in &self.used {
            let load = loads.entry(*pid).or_default();
            let cpu_s = cpu - before.used.get(pid).map_or(0.0, |(cpu, _)| *cpu);
            (load.memory, load.cpu) = (*memory as f64 / 1e6, cpu_s * 1e3 / span);
        }
        for (connection, traffic) in &self.connections {
            let load = loads.entry(connection.0).or_default();
            let old = before.connections.get(connection).copied().unwrap_or_default();
            let rate = |i: usize| traffic[i].saturating_sub(old[i]) as f64 / span;
            load.bytes_in += rate(0) / 1e3;
            load.bytes_out += rate(1) / 1e3;
            load.messages_in += rate(2);
            load.messages_out += rate(3);
            load.connections += 1.0;
        }
        loads
    }

    /// Connections accepted per second since an earlier sample, on the whole machine.
    pub fn accepted_since(&self, before: &Sample) -> f64 {
        self.accepted.saturating_sub(before.accepted) as f64 / (self.at - before.at).as_secs_f64()
    }
}

/// The established loopback connections of these processes.
fn connections(pids: &[u32]) -> HashMap<(u32, String, String), Traffic> {
    let output = Command::new("ss").args(["-tinpHO", "state", "established", "dst", "127.0.0.0/8"]).output();
    let text = output.map(|output| String::from_utf8_lossy(&output.stdout).into_owned()).unwrap_or_default();
    let parse = |line: &str| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let pid = line.split("pid=").nth(1)?.split(',').next()?.parse().ok()?;
        let value = |key: &str| {
            let found = words.iter().find_map(|word| word.strip_prefix(key));
            found.and_then(|n| n.parse().ok()).unwrap_or(0)
        };
        let traffic = ["bytes_received:", "bytes_sent:", "data_segs_in:", "data_segs_out:"].map(value);
        pids.contains(&pid).then(|| ((pid, words[2].to_string(), words[3].to_string()), traffic))
    };
    text.lines().filter_map(parse).collect()
}

/// The exponent by which y grows with x: the slope of a least-squares line through their logarithms.
pub fn power(points: &[(f64, f64)]) -> Option<f64> {
    let logs: Vec<(f64, f64)> =
        points.iter().filter(|(x, y)| *x > 0.0 && *y > 0.0).map(|(x, y)| (x.ln(), y.ln())).collect();
    let count = logs.len() as f64;
    let (mx, my) = logs.iter().fold((0.0, 0.0), |(a, b), (x, y)| (a + x / count, b + y / count));
    let over: f64 = logs.iter().map(|(x, y)| (x - mx) * (y - my)).sum();
    let under: f64 = logs.iter().map(|(x, _)| (x - mx) * (x - mx)).sum();
    (logs.len() > 1 && under > 0.0).then(|| over / under)
}
