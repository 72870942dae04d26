//! A small deployment on loopback addresses: three core machines with a registry and a store each, some edge machines with a
//! proxy each, started with the commands of `deploy/system.toml`. The platform restarts a process that ends by itself.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const CONTROL: u16 = 8381;

/// The record of a run: a line each, with the time since the start. Also printed.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn new(path: &Path) -> Record {
        Record {
            file: Arc::new(Mutex::new(File::create(path).expect("record.txt can be written"))),
            start: Instant::now(),
        }
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.start.elapsed().as_secs_f64(), text.as_ref());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// One process of the project, with the machine that it runs on.
pub struct Process {
    pub ip: String,
    pub role: String,
    child: Child,
    /// How often it ended by itself.
    pub own_ends: u32,
    ended_at: Option<Instant>,
}

pub struct System {
    folder: PathBuf,
    pub core: Vec<String>,
    pub edge: Vec<String>,
    pub processes: Vec<Process>,
    record: Record,
    /// Of each role of the deploy file: its name, its program with its arguments, its class of machines.
    roles: Vec<(String, Vec<String>, String)>,
}

/// The roles of `deploy/system.toml`.
fn roles() -> Vec<(String, Vec<String>, String)> {
    let text = fs::read_to_string("deploy/system.toml")
        .expect("deploy/system.toml: run this at the repository's root");
    let mut roles: Vec<(String, Vec<String>, String)> = Vec::new();
    for line in text.lines().map(str::trim) {
        let value =
            || line.split_once('"').and_then(|(_, rest)| rest.split_once('"')).map_or("", |(value, _)| value);
        if let Some(name) = line.strip_prefix("[roles.") {
            roles.push((name.trim_end_matches(']').into(), Vec::new(), String::new()));
        } else if let Some(role) = roles.last_mut() {
            if line.starts_with("run ") {
                role.1 = value().split(' ').map(str::to_string).collect();
            } else if line.starts_with("on ") {
                role.2 = value().into();
            }
        }
    }
    roles
}

/// A part 127.N.M of the loopback range where the ports are free.
fn free_subnet() -> String {
    let seed = std::process::id();
    for i in 0..200 {
        let n = (seed + i * 7) % 60_000;
        let subnet = format!("127.{}.{}", 10 + n / 256 % 200, n % 256);
        let free = |port: u16| TcpListener::bind((format!("{subnet}.1"), port)).is_ok();
        if free(CONTROL) && free(7560) {
            return subnet;
        }
    }
    panic!("no free addresses");
}

impl System {
    pub fn new(edges: usize, record: &Record) -> System {
        let subnet = free_subnet();
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        let core: Vec<String> = (1..=3).map(|i| format!("{subnet}.{i}")).collect();
        let edge: Vec<String> = (0..edges).map(|i| format!("{subnet}.{}", 11 + i)).collect();
        let system =
            System { folder, core, edge, processes: Vec::new(), record: record.clone(), roles: roles() };
        system.core.iter().chain(&system.edge).for_each(|ip| system.write_settings(ip, true));
        system
    }

    fn write_settings(&self, ip: &str, first_start: bool) {
        let folder = self.folder.join(ip);
        fs::create_dir_all(&folder).expect("temporary folder");
        let is_core = self.core.iter().any(|c| c == ip);
        let at = self.core.iter().chain(&self.edge).position(|m| m == ip).unwrap_or(0) % 3;
        let seeds: Vec<String> = self.core.iter().map(|c| format!("\"{c}:{CONTROL}\"")).collect();
        let (class, serves) = if is_core { ("core", "controller") } else { ("edge", "edge") };
        let disk = if is_core {
            format!("data_dir = \"{}\"\n", folder.join("disk").display())
        } else {
            String::new()
        };
        let listen = match is_core {
            true => format!("control = \"{ip}:{CONTROL}\"\n"),
            false => format!("front = \"{ip}:8388\"\nready = \"{ip}:8384\"\n"),
        };
        let text = format!(
            "[self]\nnode = \"{class}-{ip}\"\nrole = \"a-role\"\nmachine_class = \"{class}\"\ntraffic = [\"{serves}\"]\nip = \"{ip}\"\n\
             zone = \"zone-{at}\"\nregion = \"nairobi\"\ncounted = {is_core}\nfirst_start = {first_start}\n{disk}\
             [self.limits]\ncpu_share = 0.3\ncores = 1\nmemory_mb = 256\nopen_files = 4096\nlink_mbps = 1000.0\ndisk_mb = 256\n\
             [network]\nlocal_ports = [7560,7575]\nseeds = [{}]\n[network.listen]\n{listen}\
             [network.zones]\nzone-0 = \"nairobi\"\nzone-1 = \"nairobi\"\nzone-2 = \"nairobi\"\n\
             [provider]\ndiscovery = \"self_registered\"\nentry = \"shared_address\"\nbeat = \"1500ms\"\nconfig_source = \"parts\"\n\
             [terms]\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"tenants\",\"quota\"]\n\
             [terms.tolerate]\nmachines = 1\nzones = 0\nregions = 0\n\
             [terms.bounds]\nseed_delay = \"3s\"\naddr_reuse = \"2s\"\ncontact = \"3000ms\"\nack_within = \"5000ms\"\nsync_time = \"4s\"\n\
             drain = \"2500ms\"\ngrace = \"6s\"\nloss_slack = \"200ms\"\napply = \"2500ms\"\ndowngrade = \"250ms\"\nstretch_max = \"8000ms\"\n\
             revoke_all = false\nrevoke = \"5000ms\"\nretry_ratio = 0.2\nretry_window = \"10s\"\nretry_extra = 62\nquota_window = \"5s\"\n\
             quota_excess = 0.1\nquota_extra = 20\nrecovery = \"15s\"\n",
            seeds.join(",")
        );
        fs::write(folder.join("node.toml"), text).expect("settings file");
    }

    fn spawn(&self, ip: &str, role: &str) -> Child {
        let (_, command, _) = self.roles.iter().find(|(name, ..)| name == role).expect("a role");
        let folder = self.folder.join(ip);
        let log =
            File::options().create(true).append(true).open(folder.join(format!("{role}.log"))).expect("log");
        let mut process = Command::new(&command[0]);
        process.args(&command[1..]).env_clear().env("STARLINGHILL_CONFIG", folder.join("node.toml"));
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                process.env(name, value);
            }
        }
        process.stdin(Stdio::null()).stdout(log.try_clone().expect("log")).stderr(log);
        process.spawn().unwrap_or_else(|error| panic!("{}: {error}: build the deploy file first", command[0]))
    }

    /// Starts all processes; from then on the platform no longer says `first_start`.
    pub fn start(&mut self) {
        let core: Vec<String> = self.roles.iter().filter(|r| r.2 == "core").map(|r| r.0.clone()).collect();
        let edge: Vec<String> = self.roles.iter().filter(|r| r.2 == "edge").map(|r| r.0.clone()).collect();
        let all = self.core.iter().map(|ip| (ip, &core)).chain(self.edge.iter().map(|ip| (ip, &edge)));
        let mut started = Vec::new();
        for (ip, roles) in all {
            for role in roles {
                let child = self.spawn(ip, role);
                started.push(Process {
                    ip: ip.clone(),
                    role: role.clone(),
                    child,
                    own_ends: 0,
                    ended_at: None,
                });
            }
        }
        self.processes = started;
        std::thread::sleep(Duration::from_millis(1_000));
        self.core.iter().chain(&self.edge).for_each(|ip| self.write_settings(ip, false));
    }

    /// The platform's part: notes processes that ended by themselves, and starts each again 300 ms later.
    pub fn supervise(&mut self) {
        for i in 0..self.processes.len() {
            let process = &mut self.processes[i];
            if process.ended_at.is_none() {
                if let Ok(Some(status)) = process.child.try_wait() {
                    process.own_ends += 1;
                    process.ended_at = Some(Instant::now());
                    let (ip, role, times) = (&process.ip, &process.role, process.own_ends);
                    self.record
                        .line(format!("PROCESS {role} on {ip} ended by itself: {status} (time {times})"));
                }
            }
            if self.processes[i].ended_at.is_some_and(|at| at.elapsed() > Duration::from_millis(300)) {
                let (ip, role) = (self.processes[i].ip.clone(), self.processes[i].role.clone());
                let child = self.spawn(&ip, &role);
                (self.processes[i].child, self.processes[i].ended_at) = (child, None);
                self.record.line(format!("platform starts {role} on {ip} again"));
            }
        }
    }

    /// Planned work of the platform: SIGTERM to the processes of a machine, and a new start once they have ended.
    pub fn restart(&mut self, ip: &str) {
        for i in 0..self.processes.len() {
            if self.processes[i].ip != ip {
                continue;
            }
            let pid = self.processes[i].child.id().to_string();
            let _ = Command::new("kill").args(["-TERM", &pid]).status();
            let _ = self.processes[i].child.wait();
            let role = self.processes[i].role.clone();
            self.processes[i].child = self.spawn(ip, &role);
            self.record.line(format!("platform: SIGTERM to {role} on {ip}, which ends and is started again"));
        }
    }

    /// What the logs of a role say with this text: how many lines, and the last one.
    pub fn logged(&self, role: &str, text: &str) -> (usize, String) {
        let logs = self
            .core
            .iter()
            .filter_map(|ip| fs::read_to_string(self.folder.join(ip).join(format!("{role}.log"))).ok());
        let logs: Vec<String> = logs.collect();
        let lines: Vec<&str> =
            logs.iter().flat_map(|log| log.lines()).filter(|line| line.contains(text)).collect();
        (lines.len(), lines.last().map(|line| line.to_string()).unwrap_or_default())
    }

    /// Waits while the platform goes on.
    pub fn wait(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.supervise();
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// One call over HTTP/1.1 on a connection of its own. `Err` says why there was no answer.
pub fn call(
    ip: &str,
    method: &str,
    path: &str,
    body: &[u8],
    within: Duration,
) -> Result<(u16, Vec<u8>), String> {
    let deadline = Instant::now() + within;
    let address = format!("{ip}:{CONTROL}").parse().expect("an address");
    let mut stream = TcpStream::connect_timeout(&address, within).map_err(|error| error.to_string())?;
    let _ = stream.set_nodelay(true);
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {ip}:{CONTROL}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream
        .write_all(head.as_bytes())
        .and_then(|()| stream.write_all(body))
        .map_err(|error| error.to_string())?;
    let (mut answer, mut part) = (Vec::new(), vec![0; 65_536]);
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err("silence".into());
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut part) {
            Ok(0) => break,
            Ok(n) => answer.extend_from_slice(&part[..n]),
            Err(error)
                if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
            {
                return Err("silence".into())
            }
            Err(error) => return Err(error.to_string()),
        }
    }
    let end = answer.windows(4).position(|w| w == b"\r\n\r\n").ok_or("no whole head")?;
    let head = String::from_utf8_lossy(&answer[..end]).to_string();
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).ok_or("no status")?;
    let length = head
        .lines()
        .find_map(|l| l.to_ascii_lowercase().strip_prefix("content-length:").map(|v| v.trim().to_string()));
    let body = answer[end + 4..].to_vec();
    match length.and_then(|l| l.parse::<usize>().ok()) {
        Some(length) if length == body.len() => Ok((status, body)),
        _ => Err("the answer is not whole".into()),
    }
}
