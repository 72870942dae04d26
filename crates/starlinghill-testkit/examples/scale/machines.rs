//! The real processes of a run: three core machines with a registry and a store each, and some proxies. Each machine has a
//! loopback address.

use starlinghill_testkit::processes::Process;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::Command;

/// The ports of machines.
const CONTROL: u16 = 8381;
const FRONT: u16 = 8388;
const READY: u16 = 8384;
/// The first of the ports for connections between machines; registries listen on it.
const LOCAL_PORTS: u16 = 7_560;
/// The number of core machines.
pub const CORES: usize = 3;

/// The loopback addresses of a run, which share their second byte.
#[derive(Clone, Copy)]
pub struct Addresses(u8);

impl Addresses {
    /// Addresses that depend on this process's id, as other runs may use the same machine.
    pub fn own() -> Addresses {
        Addresses((1 + std::process::id() % 250) as u8)
    }

    /// Address `i` of a range that begins at third byte `start`; a third byte has 250 addresses.
    fn ip(self, start: usize, i: usize) -> IpAddr {
        Ipv4Addr::new(127, self.0, (start + i / 250) as u8, (1 + i % 250) as u8).into()
    }

    pub fn core(self, i: usize) -> IpAddr {
        self.ip(0, i)
    }

    pub fn edge(self, i: usize) -> IpAddr {
        self.ip(0, 10 + i)
    }

    pub fn simulated_gateway(self, i: usize) -> IpAddr {
        self.ip(16, i)
    }

    pub fn backend(self, i: usize) -> IpAddr {
        self.ip(48, i)
    }

    /// The addresses at which gateways poll registries.
    pub fn registries(self) -> Vec<SocketAddr> {
        (0..CORES).map(|i| SocketAddr::new(self.core(i), LOCAL_PORTS)).collect()
    }

    /// The addresses of the registries' HTTP interface.
    pub fn controls(self) -> Vec<SocketAddr> {
        (0..CORES).map(|i| SocketAddr::new(self.core(i), CONTROL)).collect()
    }
}

/// The role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    Registry,
    Store,
    Proxy,
}

impl Role {
    /// The first argument with which this program runs the role.
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
    /// Starts all processes, with their settings and data below `folder`.
    pub fn start(addresses: Addresses, edges: usize, folder: &Path, beat_ms: u64) -> Machines {
        let program = std::env::current_exe().expect("the path of this program");
        let seeds: Vec<String> = addresses.controls().iter().map(|at| format!("\"{at}\"")).collect();
        let mut processes = Vec::new();
        let cores = (0..CORES).map(|i| (addresses.core(i), &[Role::Registry, Role::Store][..]));
        let all = cores.chain((0..edges).map(|i| (addresses.edge(i), &[Role::Proxy][..])));
        for (number, (ip, roles)) in all.enumerate() {
            let machine_folder = folder.join(ip.to_string());
            std::fs::create_dir_all(machine_folder.join("disk")).expect("the folder can be created");
            let file = machine_folder.join("node.toml");
            let text =
                settings(ip, number, &machine_folder, &seeds.join(","), beat_ms, roles[0] == Role::Proxy);
            std::fs::write(&file, text).expect("the settings file can be used");
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

    fn core_processes(&mut self) -> impl Iterator<Item = &mut Process> {
        let core = self.processes.iter_mut().filter(|(role, ..)| *role != Role::Proxy);
        core.map(|(.., process)| process)
    }

    /// Kills all core processes, and changes their settings so that their next start is not a first one.
    pub fn kill_core(&mut self, folder: &Path, addresses: Addresses) {
        self.core_processes().for_each(Process::kill);
        for i in 0..CORES {
            let file = folder.join(addresses.core(i).to_string()).join("node.toml");
            let text = std::fs::read_to_string(&file).expect("the settings file can be used");
            let changed = text.replace("first_start = true", "first_start = false");
            std::fs::write(&file, changed).expect("the settings file can be used");
        }
    }

    /// Starts the core processes that don't run.
    pub fn start_core(&mut self) {
        self.core_processes().for_each(Process::start);
    }

    /// The names of processes that ended unexpectedly.
    pub fn ended(&mut self) -> Vec<String> {
        let ended = self.processes.iter_mut().filter_map(|(.., p)| (!p.is_running()).then(|| p.name.clone()));
        ended.collect()
    }
}

fn settings(
    ip: IpAddr,
    number: usize,
    machine_folder: &Path,
    seeds: &str,
    beat_ms: u64,
    proxy: bool,
) -> String {
    let listen = match proxy {
        true => format!("front = \"{ip}:{FRONT}\"\nready = \"{ip}:{READY}\""),
        false => format!("control = \"{ip}:{CONTROL}\""),
    };
    let data = match proxy {
        true => String::new(),
        false => format!("data_dir = \"{}\"", machine_folder.join("disk").display()),
    };
    format!(
        "[self]\nnode = \"machine-{number}\"\nip = \"{ip}\"\nzone = \"zone-{}\"\nfirst_start = true\n{data}\n\
         [self.limits]\nmemory_mb = 256\nopen_files = 4096\n\
         [network]\nlocal_ports = [{LOCAL_PORTS},{}]\nseeds = [{seeds}]\n[network.listen]\n{listen}\n\
         [provider]\nbeat = \"{beat_ms}ms\"\n\
         [terms.bounds]\ndrain = \"2500ms\"\napply = \"2500ms\"\ngrace = \"6s\"\nretry_ratio = 0.2\n\
         retry_extra = 62\nquota_window = \"5s\"\nquota_excess = 0.1\nquota_extra = 20\n",
        number % 3,
        LOCAL_PORTS + 15,
    )
}
