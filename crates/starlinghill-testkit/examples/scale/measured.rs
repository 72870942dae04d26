//! What processes use, read from outside: `/proc`, and `ss` for the bytes of each connection. Where `ss` is missing, bytes,
//! messages and connections are left out.

use starlinghill_testkit::processes::resource_usage;
use std::collections::HashMap;
use std::process::Command;
use std::time::Instant;

/// What a connection has moved so far: bytes in and out, segments with data in and out.
type Moved = [u64; 4];

/// All at one moment.
pub struct Sample {
    at: Instant,
    /// Processor time and memory by process.
    used: HashMap<u32, (f64, u64)>,
    /// Connections by process and both addresses.
    lines: HashMap<(u32, String, String), Moved>,
    /// Connections that were taken so far, on the whole machine.
    taken: u64,
}

/// What a process used between two samples, a second.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// Resident memory at the end, MB.
    pub memory: f64,
    /// Processor time, ms a second.
    pub cpu: f64,
    /// kB a second.
    pub bytes_in: f64,
    /// The same.
    pub bytes_out: f64,
    /// Segments with data; a message is one, unless it is longer than some 60 kB or follows another one closely.
    pub in_a_second: f64,
    /// The same.
    pub out_a_second: f64,
    /// Connections at the end.
    pub connections: f64,
}

impl Load {
    /// Its figures, in the order of [`COLUMNS`].
    pub fn figures(&self) -> [f64; 7] {
        let moved = [self.bytes_in, self.bytes_out, self.in_a_second, self.out_a_second];
        let [a, b, c, d] = moved;
        [self.memory, self.cpu, a, b, c, d, self.connections]
    }

    /// The mean of several.
    pub fn mean(loads: &[Load]) -> Load {
        let mut all = [0.0; 7];
        for load in loads {
            all.iter_mut().zip(load.figures()).for_each(|(sum, one)| *sum += one / loads.len() as f64);
        }
        let [memory, cpu, bytes_in, bytes_out, in_a_second, out_a_second, connections] = all;
        Load { memory, cpu, bytes_in, bytes_out, in_a_second, out_a_second, connections }
    }
}

pub const COLUMNS: [&str; 7] =
    ["memory MB", "CPU ms/s", "in kB/s", "out kB/s", "messages/s in", "messages/s out", "connections"];

impl Sample {
    /// Of these processes, now.
    pub fn now(pids: &[u32]) -> Sample {
        let use_of = |pid: &u32| resource_usage(*pid).map(|used| (*pid, (used.cpu_s, used.memory_bytes)));
        let taken = std::fs::read_to_string("/proc/net/snmp").unwrap_or_default();
        let tcp: Vec<&str> = taken.lines().filter(|line| line.starts_with("Tcp:")).collect();
        let place = tcp.first().and_then(|line| line.split(' ').position(|word| word == "PassiveOpens"));
        let opens = place.and_then(|i| tcp.get(1)?.split(' ').nth(i)?.parse().ok());
        Sample {
            at: Instant::now(),
            used: pids.iter().filter_map(use_of).collect(),
            lines: lines(pids),
            taken: opens.unwrap_or(0),
        }
    }

    /// What each process used from an earlier sample to this one.
    pub fn since(&self, before: &Sample) -> HashMap<u32, Load> {
        let span = (self.at - before.at).as_secs_f64();
        let mut loads: HashMap<u32, Load> = HashMap::new();
        for (pid, (cpu, memory)) in &self.used {
            let load = loads.entry(*pid).or_default();
            let ran = cpu - before.used.get(pid).map_or(0.0, |(cpu, _)| *cpu);
            (load.memory, load.cpu) = (*memory as f64 / 1e6, ran * 1e3 / span);
        }
        for (line, moved) in &self.lines {
            let load = loads.entry(line.0).or_default();
            let old = before.lines.get(line).copied().unwrap_or_default();
            let rate = |i: usize| moved[i].saturating_sub(old[i]) as f64 / span;
            load.bytes_in += rate(0) / 1e3;
            load.bytes_out += rate(1) / 1e3;
            load.in_a_second += rate(2);
            load.out_a_second += rate(3);
            load.connections += 1.0;
        }
        loads
    }

    /// New connections a second since then, on the whole machine.
    pub fn taken_since(&self, before: &Sample) -> f64 {
        self.taken.saturating_sub(before.taken) as f64 / (self.at - before.at).as_secs_f64()
    }
}

fn lines(pids: &[u32]) -> HashMap<(u32, String, String), Moved> {
    let told = Command::new("ss").args(["-tinpHO", "state", "established", "dst", "127.0.0.0/8"]).output();
    let told = told.map(|output| String::from_utf8_lossy(&output.stdout).into_owned()).unwrap_or_default();
    let line = |text: &str| {
        let words: Vec<&str> = text.split_whitespace().collect();
        let pid = text.split("pid=").nth(1)?.split(',').next()?.parse().ok()?;
        let figure = |key: &str| {
            let found = words.iter().find_map(|word| word.strip_prefix(key));
            found.and_then(|n| n.parse().ok()).unwrap_or(0)
        };
        let moved = ["bytes_received:", "bytes_sent:", "data_segs_in:", "data_segs_out:"].map(figure);
        pids.contains(&pid).then(|| ((pid, words[2].to_string(), words[3].to_string()), moved))
    };
    told.lines().filter_map(line).collect()
}

/// The power by which a figure grows with another one: the slope of a straight line through their logarithms.
pub fn power(points: &[(f64, f64)]) -> Option<f64> {
    let logs: Vec<(f64, f64)> =
        points.iter().filter(|(x, y)| *x > 0.0 && *y > 0.0).map(|(x, y)| (x.ln(), y.ln())).collect();
    let count = logs.len() as f64;
    let (mx, my) = logs.iter().fold((0.0, 0.0), |(a, b), (x, y)| (a + x / count, b + y / count));
    let over: f64 = logs.iter().map(|(x, y)| (x - mx) * (y - my)).sum();
    let under: f64 = logs.iter().map(|(x, _)| (x - mx) * (x - mx)).sum();
    (logs.len() > 1 && under > 0.0).then(|| over / under)
}
