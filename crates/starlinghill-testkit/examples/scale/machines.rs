//! The real part: three core machines with a registry and a store each, and some proxies. Every machine is a loopback address.

use starlinghill_testkit::processes::Process;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::Command;

const CONTROL: u16 = 8381;
const FRONT: u16 = 8388;
const READY: u16 = 8384;
const PORTS: u16 = 7_560;
pub const CORES: usize = 3;

/// Addresses of one run.
#[derive(Clone, Copy)]
pub struct Links(u8);

impl Links {
    /// Those of this process: others may run on this machine.
    pub fn own() -> Links {
        Links((1 + std::process::id() % 250) as u8)
    }

    fn ip(self, from: usize, i: usize) -> IpAddr {
        Ipv4Addr::new(127, self.0, (from + i / 250) as u8, (1 + i % 250) as u8).into()
    }

    pub fn core(self, i: usize) -> IpAddr {
        self.ip(0, i)
    }

    pub fn edge(self, i: usize) -> IpAddr {
        self.ip(0, 10 + i)
    }

    pub fn hollow(self, i: usize) -> IpAddr {
        self.ip(16, i)
    }

    pub fn backend(self, i: usize) -> IpAddr {
        self.ip(48, i)
    }

    /// Where registries are asked by gateways.
    pub fn racks(self) -> Vec<SocketAddr> {
        (0..CORES).map(|i| SocketAddr::new(self.core(i), PORTS)).collect()
    }

    /// Where they are called from outside.
    pub fn controls(self) -> Vec<SocketAddr> {
        (0..CORES).map(|i| SocketAddr::new(self.core(i), CONTROL)).collect()
    }
}

/// What a process is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    Registry,
    Store,
    Proxy,
}

impl Role {
    fn program(self) -> &'static str {
        match self {
            Role::Registry => "toolrack",
            Role::Store => "patternbook",
            Role::Proxy => "workbench",
        }
    }
}

/// The real processes.
pub struct Machines {
    pub processes: Vec<(Role, IpAddr, Process)>,
}

impl Machines {
    /// Starts them; a folder keeps their files.
    pub fn start(net: Links, edges: usize, folder: &Path, beat_ms: u64) -> Machines {
        let program = std::env::current_exe().expect("a program");
        let seeds: Vec<String> = net.controls().iter().map(|at| format!("\"{at}\"")).collect();
        let mut processes = Vec::new();
        let cores = (0..CORES).map(|i| (net.core(i), &[Role::Registry, Role::Store][..]));
        let all = cores.chain((0..edges).map(|i| (net.edge(i), &[Role::Proxy][..])));
        for (number, (ip, roles)) in all.enumerate() {
            let place = folder.join(ip.to_string());
            std::fs::create_dir_all(place.join("disk")).expect("a folder");
            let file = place.join("node.toml");
            let text = settings(ip, number, &place, &seeds.join(","), beat_ms, roles[0] == Role::Proxy);
            std::fs::write(&file, text).expect("written");
            for role in roles {
                let (program, file, part) = (program.clone(), file.clone(), role.program());
                let mut process = Process::new(&format!("{part} {ip}"), move || {
                    let mut command = Command::new(&program);
                    command.arg(part).env("STARLINGHILL_CONFIG", &file);
                    command
                });
                process.start();
                processes.push((*role, ip, process));
            }
        }
        Machines { processes }
    }

    fn of_core(&mut self) -> impl Iterator<Item = &mut Process> {
        let core = self.processes.iter_mut().filter(|(role, ..)| *role != Role::Proxy);
        core.map(|(.., process)| process)
    }

    /// Kills all processes of the core at once.
    pub fn kill_core(&mut self, folder: &Path, net: Links) {
        self.of_core().for_each(Process::kill);
        for i in 0..CORES {
            let file = folder.join(net.core(i).to_string()).join("node.toml");
            let text = std::fs::read_to_string(&file).expect("written");
            let again = text.replace("first_start = true", "first_start = false");
            std::fs::write(&file, again).expect("written");
        }
    }

    /// Starts what does not run.
    pub fn start_core(&mut self) {
        self.of_core().for_each(Process::start);
    }

    /// Processes that ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let ended = self.processes.iter_mut().filter_map(|(.., p)| (!p.is_running()).then(|| p.name.clone()));
        ended.collect()
    }
}

fn settings(ip: IpAddr, number: usize, place: &Path, seeds: &str, beat_ms: u64, proxy: bool) -> String {
    let serves = match proxy {
        true => format!("front = \"{ip}:{FRONT}\"\nready = \"{ip}:{READY}\""),
        false => format!("control = \"{ip}:{CONTROL}\""),
    };
    let disk = match proxy {
        true => String::new(),
        false => format!("data_dir = \"{}\"", place.join("disk").display()),
    };
    format!(
        "[self]\nnode = \"machine-{number}\"\nip = \"{ip}\"\nzone = \"zone-{}\"\nfirst_start = true\n{disk}\n\
         [self.limits]\nmemory_mb = 256\nopen_files = 4096\n\
         [network]\nlocal_ports = [{PORTS},{}]\nseeds = [{seeds}]\n[network.listen]\n{serves}\n\
         [provider]\nbeat = \"{beat_ms}ms\"\n\
         [terms.bounds]\ndrain = \"2500ms\"\napply = \"2500ms\"\ngrace = \"6s\"\nretry_ratio = 0.2\n\
         retry_extra = 62\nquota_window = \"5s\"\nquota_excess = 0.1\nquota_extra = 20\n",
        number % 3,
        PORTS + 15,
    )
}
