//! A group of real member processes with links between them: each has a file of its own, in which the others are
//! where its links lead.

use crate::links::Links;
use crate::processes::Process;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

/// The longest wait for anything.
pub const LIMIT: Duration = Duration::from_secs(30);
/// Regions, zones and times of the groups that tests run. Times are shorter than the common ones, so that a test
/// that waits for an age waits for seconds.
pub const MAP: &str = "floor_percent = 30\nregions = [\"east\", \"west\"]\nzones = [\n  \
    {name = \"a\", region = \"east\"},\n  {name = \"b\", region = \"east\"},\n  \
    {name = \"c\", region = \"west\"},\n]\n[group.timing]\nfresh_ms = 1000\nstale_ms = 3000\n";

/// The group.
pub struct Group {
    /// The links between members.
    pub net: Links,
    /// The members, by number less one.
    pub members: Vec<Process>,
    /// Where each member listens.
    pub listen: Vec<SocketAddr>,
    /// The zone of each member.
    pub zones: Vec<String>,
    folder: PathBuf,
    program: PathBuf,
}

/// A folder of this process's own, which goes when the test's process does not remove it before.
fn folder() -> PathBuf {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let next = NEXT.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("starlinghill-group-{}-{next}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// A port that nothing listens on, of an address of this process's own, below those that the system gives out by itself:
/// whoever is started there later finds it free.
pub fn free_address() -> SocketAddr {
    use std::sync::atomic::{AtomicU16, Ordering};
    static NEXT: AtomicU16 = AtomicU16::new(10_000);
    let pid = std::process::id();
    let own = [127, 1 + (pid % 250) as u8, (pid / 250 % 250) as u8, 1];
    loop {
        let at = SocketAddr::from((own, NEXT.fetch_add(1, Ordering::Relaxed)));
        if TcpListener::bind(at).is_ok() {
            return at;
        }
    }
}

impl Group {
    /// Writes the files of members in these zones; none runs yet.
    pub async fn new(program: &Path, zones: &[&str], seed: u64) -> Group {
        let zones: Vec<String> = zones.iter().map(ToString::to_string).collect();
        let listen: Vec<SocketAddr> = zones.iter().map(|_| free_address()).collect();
        let mut group = Group {
            net: Links::new(seed),
            members: Vec::new(),
            listen,
            zones,
            folder: folder(),
            program: program.into(),
        };
        for i in 0..group.zones.len() {
            group.write(i, 1).await;
            let (program, file) = (group.program.clone(), group.file(i));
            let id = (i + 1).to_string();
            group.members.push(Process::new(&format!("member {id}"), move || {
                let mut command = Command::new(&program);
                command.arg("group").arg(&file).args(["--member", &id]).env("RUST_BACKTRACE", "0");
                command
            }));
        }
        group.write_all(1);
        group
    }

    /// The text of a file in which members listen at these.
    pub fn text(&self, generation: u64, at: &[SocketAddr]) -> String {
        let members: Vec<String> = at
            .iter()
            .enumerate()
            .map(|(i, at)| format!("  {{id = {}, listen = \"{at}\"}},\n", i + 1))
            .collect();
        format!(
            "[group]\nname = \"test\"\nfolder = \"disks\"\ngeneration = {generation}\nmembers = [\n{}]\n{MAP}",
            members.concat()
        )
    }

    /// Writes the file of a member, with fresh links to the others.
    async fn write(&self, i: usize, generation: u64) {
        let at = self.seen_from(&self.zones[i], Some(i)).await;
        std::fs::write(self.file(i), self.text(generation, &at)).expect("a file");
    }

    /// Where somebody of a zone reaches the members; one of them is itself.
    pub async fn seen_from(&self, zone: &str, own: Option<usize>) -> Vec<SocketAddr> {
        let mut at = Vec::new();
        for (j, listen) in self.listen.iter().enumerate() {
            at.push(match own == Some(j) {
                true => *listen,
                false => self.net.tcp(zone, &self.zones[j], *listen).await,
            });
        }
        at
    }

    /// Writes the operators' own file, which knows where members listen themselves.
    pub fn write_all(&self, generation: u64) {
        std::fs::write(self.operators(), self.text(generation, &self.listen)).expect("a file");
    }

    /// Has all files name this generation.
    pub async fn raise(&self, generation: u64) {
        self.write_all(generation);
        for i in 0..self.zones.len() {
            self.write(i, generation).await;
        }
    }

    /// The folder of all files.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// A member's file of settings.
    pub fn file(&self, i: usize) -> PathBuf {
        self.folder.join(format!("member-{}.toml", i + 1))
    }

    /// A member's disk.
    pub fn disk(&self, i: usize) -> PathBuf {
        self.folder.join("disks").join(format!("member-{}.redb", i + 1))
    }

    /// The operators' own file.
    pub fn operators(&self) -> PathBuf {
        self.folder.join("operators.toml")
    }

    /// Runs a command of the operators', with the file after its words.
    pub fn command(&self, words: &[&str], more: &[&str]) -> Output {
        self.command_by(&self.operators(), words, more)
    }

    /// The same by another file.
    pub fn command_by(&self, file: &Path, words: &[&str], more: &[&str]) -> Output {
        Command::new(&self.program).args(words).arg(file).args(more).output().expect("it runs")
    }

    /// Starts all members and begins the group.
    pub fn begin(&mut self) {
        for member in &mut self.members {
            member.start();
        }
        for member in &self.members {
            member.wait_for_log("listening", LIMIT);
        }
        let output = self.command(&["group", "init"], &[]);
        assert!(output.status.success(), "{output:?}");
        self.wait_until("the group has a map", |zones| zones["zones"]["a"]["phase"] == "serving");
    }

    /// What `zones --json` shows; nothing while no member answers.
    pub fn zones(&self) -> serde_json::Value {
        serde_json::from_slice(&self.command(&["zones"], &["--json"]).stdout).unwrap_or_default()
    }

    /// What `group show --json` shows, by member.
    pub fn show(&self) -> Vec<serde_json::Value> {
        serde_json::from_slice(&self.command(&["group", "show"], &["--json"]).stdout).unwrap_or_default()
    }

    /// The number less one of the member that leads, by what members say that know it for sure.
    pub fn leader(&self) -> Option<usize> {
        let all = self.show();
        let sure = all.iter().filter(|m| m["report"]["age_ms"].as_u64().is_some_and(|ms| ms < 1_000));
        let newest = sure.max_by_key(|m| m["report"]["term"].as_u64())?;
        newest["report"]["leader"].as_u64().map(|id| id as usize - 1)
    }

    /// Waits until some member leads, and tells which.
    pub fn wait_for_leader(&self) -> usize {
        let until = Instant::now() + LIMIT;
        loop {
            if let Some(leader) = self.leader() {
                return leader;
            }
            assert!(Instant::now() < until, "nobody leads: {:?}", self.show());
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Waits until what `zones --json` shows is as wanted.
    pub fn wait_until(&self, what: &str, wanted: impl Fn(&serde_json::Value) -> bool) -> serde_json::Value {
        let until = Instant::now() + LIMIT;
        loop {
            let zones = self.zones();
            if wanted(&zones) {
                return zones;
            }
            assert!(Instant::now() < until, "waited in vain: {what}: {zones}");
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
