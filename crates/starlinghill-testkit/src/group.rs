//! A group of real member processes whose connections to each other lead through simulated network links. Each member
//! reads its own settings file, in which the other members have the addresses of its links to them.

use crate::links::Links;
use crate::processes::Process;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

/// How long helpers wait for a condition before they panic.
pub const LIMIT: Duration = Duration::from_secs(30);

/// Regions, zones and timing in the settings of test groups. The times are shorter than the defaults, so that a test
/// that waits until a position is stale waits only for seconds.
pub const MAP: &str = "floor_percent = 30\nregions = [\"east\", \"west\"]\nzones = [\n  \
    {name = \"a\", region = \"east\"},\n  {name = \"b\", region = \"east\"},\n  \
    {name = \"c\", region = \"west\"},\n]\n[group.timing]\nfresh_ms = 1000\nstale_ms = 3000\n";

/// The group: its links, member processes and files. Dropping it kills the members and removes the files.
pub struct Group {
    /// The simulated network between zones.
    pub net: Links,
    /// The member processes; the member with id n is at index n - 1, here and in all lists and indexes below.
    pub members: Vec<Process>,
    /// The address that each member itself listens on.
    pub listen: Vec<SocketAddr>,
    /// The zone of each member.
    pub zones: Vec<String>,
    folder: PathBuf,
    program: PathBuf,
}

/// Creates a new temporary folder. [`Group`] removes it when it is dropped.
fn new_folder() -> PathBuf {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let next = NEXT.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("starlinghill-group-{}-{next}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder can be created");
    folder
}

/// An address with a free port for a process that is started later. The loopback address depends on this process's id
/// and the port lies below the system's ephemeral ports, so that no other test or connection takes it in between.
pub fn free_address() -> SocketAddr {
    use std::sync::atomic::{AtomicU16, Ordering};
    static NEXT: AtomicU16 = AtomicU16::new(10_000);
    let pid = std::process::id();
    let ip = [127, 1 + (pid % 250) as u8, (pid / 250 % 250) as u8, 1];
    loop {
        let at = SocketAddr::from((ip, NEXT.fetch_add(1, Ordering::Relaxed)));
        if TcpListener::bind(at).is_ok() {
            return at;
        }
    }
}

impl Group {
    /// Prepares a group with one member in each of `zones` and writes all files. It starts no process. `seed` is that of
    /// the simulated network.
    pub async fn new(program: &Path, zones: &[&str], seed: u64) -> Group {
        let zones: Vec<String> = zones.iter().map(ToString::to_string).collect();
        let listen: Vec<SocketAddr> = zones.iter().map(|_| free_address()).collect();
        let mut group = Group {
            net: Links::new(seed),
            members: Vec::new(),
            listen,
            zones,
            folder: new_folder(),
            program: program.into(),
        };
        for i in 0..group.zones.len() {
            group.write_member_file(i, 1).await;
            let (program, file) = (group.program.clone(), group.file(i));
            let id = (i + 1).to_string();
            group.members.push(Process::new(&format!("member {id}"), move || {
                let mut command = Command::new(&program);
                command.arg("group").arg(&file).args(["--member", &id]).env("RUST_BACKTRACE", "0");
                command
            }));
        }
        group.write_operators_file(1);
        group
    }

    /// The text of a settings file in which the members have these addresses.
    pub fn text(&self, generation: u64, addresses: &[SocketAddr]) -> String {
        let members: Vec<String> = addresses
            .iter()
            .enumerate()
            .map(|(i, at)| format!("  {{id = {}, listen = \"{at}\"}},\n", i + 1))
            .collect();
        format!(
            "[group]\nname = \"test\"\nfolder = \"disks\"\ngeneration = {generation}\nmembers = [\n{}]\n{MAP}",
            members.concat()
        )
    }

    /// Writes the settings file of a member, with new links to the other members.
    async fn write_member_file(&self, i: usize, generation: u64) {
        let addresses = self.addresses_from(&self.zones[i], Some(i)).await;
        std::fs::write(self.file(i), self.text(generation, &addresses)).expect("the file can be written");
    }

    /// The addresses at which a process in `zone` reaches the members, through new links. If the process is a member, it
    /// is at index `own` and keeps the address that it listens on.
    pub async fn addresses_from(&self, zone: &str, own: Option<usize>) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for (j, listen) in self.listen.iter().enumerate() {
            addresses.push(match own == Some(j) {
                true => *listen,
                false => self.net.tcp(zone, &self.zones[j], *listen).await,
            });
        }
        addresses
    }

    /// Writes the operators' settings file, in which members have their own addresses, without links.
    pub fn write_operators_file(&self, generation: u64) {
        std::fs::write(self.operators_file(), self.text(generation, &self.listen))
            .expect("the file can be written");
    }

    /// Writes all settings files again, with this generation.
    pub async fn set_generation(&self, generation: u64) {
        self.write_operators_file(generation);
        for i in 0..self.zones.len() {
            self.write_member_file(i, generation).await;
        }
    }

    /// The folder of all settings files and disks.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// The settings file of a member.
    pub fn file(&self, i: usize) -> PathBuf {
        self.folder.join(format!("member-{}.toml", i + 1))
    }

    /// The database file of a member.
    pub fn disk(&self, i: usize) -> PathBuf {
        self.folder.join("disks").join(format!("member-{}.redb", i + 1))
    }

    /// The operators' settings file.
    pub fn operators_file(&self) -> PathBuf {
        self.folder.join("operators.toml")
    }

    /// Runs an operator's command: the program with `words`, the operators' settings file and `arguments`.
    pub fn command(&self, words: &[&str], arguments: &[&str]) -> Output {
        self.command_with_file(&self.operators_file(), words, arguments)
    }

    /// Like [`Group::command`], with another settings file.
    pub fn command_with_file(&self, file: &Path, words: &[&str], arguments: &[&str]) -> Output {
        Command::new(&self.program)
            .args(words)
            .arg(file)
            .args(arguments)
            .output()
            .expect("the program can be run")
    }

    /// Starts all members, runs `group init` and waits until zone `a` is in phase `serving`.
    pub fn start(&mut self) {
        for member in &mut self.members {
            member.start();
        }
        for member in &self.members {
            member.wait_for_log("listening", LIMIT);
        }
        let output = self.command(&["group", "init"], &[]);
        assert!(output.status.success(), "{output:?}");
        self.wait_until("the group serves zone a", |zones| zones["zones"]["a"]["phase"] == "serving");
    }

    /// The output of `zones --json`; null while no member answers.
    pub fn zones(&self) -> serde_json::Value {
        serde_json::from_slice(&self.command(&["zones"], &["--json"]).stdout).unwrap_or_default()
    }

    /// The output of `group show --json`, one value for each member; empty if the command fails.
    pub fn show(&self) -> Vec<serde_json::Value> {
        serde_json::from_slice(&self.command(&["group", "show"], &["--json"]).stdout).unwrap_or_default()
    }

    /// The index of the leader, by the member with the highest term among those whose report is less than 1 s old.
    pub fn leader(&self) -> Option<usize> {
        let all = self.show();
        let recent = all.iter().filter(|m| m["report"]["age_ms"].as_u64().is_some_and(|ms| ms < 1_000));
        let newest = recent.max_by_key(|m| m["report"]["term"].as_u64())?;
        newest["report"]["leader"].as_u64().map(|id| id as usize - 1)
    }

    /// Waits until there is a leader and returns its index.
    pub fn wait_for_leader(&self) -> usize {
        let deadline = Instant::now() + LIMIT;
        loop {
            if let Some(leader) = self.leader() {
                return leader;
            }
            assert!(Instant::now() < deadline, "no leader: {:?}", self.show());
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Waits until the output of `zones --json` fulfils a condition, and returns it. `description` names the condition
    /// in the panic message.
    pub fn wait_until(
        &self,
        description: &str,
        wanted: impl Fn(&serde_json::Value) -> bool,
    ) -> serde_json::Value {
        let deadline = Instant::now() + LIMIT;
        loop {
            let zones = self.zones();
            if wanted(&zones) {
                return zones;
            }
            assert!(Instant::now() < deadline, "timed out waiting until {description}: {zones}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        self.members.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
