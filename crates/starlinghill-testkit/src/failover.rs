//! A fleet of real gateway processes in zones, which follow a group of real members, before save nodes in every zone, with
//! load through all of them; orders to the group; and faults by scripts, which are data and can be played again.

use crate::audit::{accepted, Cold, Ordered};
use crate::group::{free_address, Group, LIMIT};
use crate::load::{Load, Sent, WAITS};
use crate::nodes::SaveNode;
use crate::processes::Process;
use crate::stubs::{self, Discovery, Stub};
use serde::{Deserialize, Serialize};
use starlinghill_failover_client::wall_clock;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

/// The zones of the fleet, as in [`crate::group::MAP`].
pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// The time of a request's class that is on time.
const ON_TIME: Duration = Duration::from_secs(1);

/// One fault.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// The member that leads is killed.
    KillLeader,
    /// A member is killed.
    KillMember(usize),
    /// A member is stopped (SIGSTOP).
    StopMember(usize),
    /// All members that don't run, or are stopped, run again.
    MembersAgain,
    /// All members are killed.
    KillGroup,
    /// A gateway is killed, and started again at once.
    KillGateway(usize),
    /// A gateway is told to end, and started again.
    RestartGateway(usize),
    /// A gateway is stopped.
    StopGateway(usize),
    /// It goes on.
    ContinueGateway(usize),
    /// Nothing goes from one zone to another any more.
    Cut(String, String),
    /// What goes from one zone to another is late by so many milliseconds.
    Delay(String, String, u64),
    /// No more than so many bytes a second of each connection go from one zone to another.
    Trickle(String, String, u64),
    /// Connections over a link are reset.
    Reset(String, String),
    /// The save nodes of a zone are started again, and are cold.
    Cold(String),
    /// All links are whole.
    Heal,
}

/// A fault and when it comes, in milliseconds from the start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// When.
    pub at_ms: u64,
    /// What.
    pub fault: Fault,
}

/// The fleet.
pub struct Fleet {
    /// The group.
    pub group: Group,
    /// The gateways; two in each zone, one after the other.
    pub gateways: Vec<Process>,
    /// Where each gateway listens.
    pub listen: Vec<SocketAddr>,
    /// The save nodes with their zones.
    pub nodes: Vec<(&'static str, SaveNode)>,
    /// When the load began.
    pub begun: Instant,
    /// When each gateway was killed or told to end: what it had open then ends with it.
    pub ended: Vec<Vec<Instant>>,
    load: Option<Load>,
    lists: Vec<List>,
    revision: u64,
    /// The last start of each node that was started again.
    cold: Vec<Option<(Instant, u64)>>,
    _counter: Stub,
}

/// What gateways of one zone are told of the servers: its links lead to them.
struct List {
    discovery: Discovery,
    nodes: Vec<SocketAddr>,
}

fn zone_of(gateway: usize, gateways: usize) -> &'static str {
    ZONES[gateway * ZONES.len() / gateways]
}

/// How a server of this fleet warms up, as gateways are told.
pub const COLD: Cold =
    Cold { from: 0.17, warm_after: Duration::from_secs(14), multiple: 2.0, within: Duration::from_secs(2) };

/// One member of a list: a node of a zone, where it is seen, since when it runs.
fn entry(i: usize, zone: &str, at: SocketAddr, up_since_ms: u64) -> String {
    let member = stubs::member_since(&format!("s-{i}"), at, "ready", up_since_ms);
    member.replace("\"locality\":\"a\"", &format!("\"locality\":\"{zone}\""))
}

fn config(
    i: usize,
    gateways: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
    counter: SocketAddr,
) -> String {
    let zone = zone_of(i, gateways);
    let settings = stubs::SETTINGS
        .replace("\"balancers\":2,\"my_number\":0", &format!("\"balancers\":{gateways},\"my_number\":{i}"))
        .replace(
            "\"zone\":\"a\",\"zones\":[\"a\",\"b\"]",
            &format!("\"zone\":\"{zone}\",\"zones\":[\"a\",\"b\",\"c\"]"),
        )
        .replace("\"fall_multiple\":4.0", &format!("\"fall_multiple\":{:.1}", COLD.multiple));
    format!(
        r#"{{"name":"n{i}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be96{i}",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"counter":"{counter}","settings":{settings}}}"#
    )
}

impl Fleet {
    /// Starts the group in these zones, so many gateways (a multiple of the zones), and three save nodes in each zone.
    /// `follows` says whether gateways are told of the group at all.
    pub async fn start(program: &Path, members: &[&str], gateways: usize, seed: u64, follows: bool) -> Fleet {
        let mut group = Group::new(program, members, seed).await;
        tokio::task::block_in_place(|| group.begin());
        let mut nodes = Vec::new();
        for i in 0..3 * ZONES.len() {
            nodes.push((ZONES[i / 3], SaveNode::start().await));
        }
        let mut lists = Vec::new();
        for zone in ZONES {
            let (mut listed, mut seen) = (Vec::new(), Vec::new());
            for (i, (there, node)) in nodes.iter().enumerate() {
                let at = group.net.tcp(zone, there, node.address).await;
                listed.push(entry(i, there, at, 0));
                seen.push(at);
            }
            lists.push(List { discovery: Discovery::start(&listed.join(",")), nodes: seen });
        }
        let counter = stubs::counter();
        let (mut processes, mut listen) = (Vec::new(), Vec::new());
        for i in 0..gateways {
            let zone = zone_of(i, gateways);
            let at = free_address();
            let place = ZONES.iter().position(|z| *z == zone).unwrap_or(0);
            let config = config(i, gateways, at, lists[place].discovery.stub.address, counter.address);
            let file = group.folder().join(format!("gateway-{i}.json"));
            std::fs::write(&file, config).expect("a file");
            let operators = group.folder().join(format!("gateway-{i}.toml"));
            let text = match follows {
                true => group.text(1, &group.seen_from(zone, None).await),
                false => String::new(),
            };
            std::fs::write(&operators, text).expect("a file");
            let (program, name) = (program.to_path_buf(), format!("n{i}"));
            let mut process = Process::new(&name.clone(), move || {
                let mut command = Command::new(&program);
                command.arg("gateway").arg(&operators).env("NODE_CONFIG", &file).env("NODE_NAME", &name);
                command.env_remove("NODE_LISTEN").env_remove("NODE_DISCOVERY").env_remove("NODE_OPS");
                command
            });
            process.start();
            processes.push(process);
            listen.push(at);
        }
        let fleet = Fleet {
            ended: vec![Vec::new(); gateways],
            group,
            gateways: processes,
            listen,
            cold: vec![None; nodes.len()],
            nodes,
            begun: Instant::now(),
            load: None,
            lists,
            revision: 41,
            _counter: counter,
        };
        tokio::task::block_in_place(|| {
            for gateway in &fleet.gateways {
                gateway.wait_for_log("ready", LIMIT);
                if follows {
                    gateway.wait_for_log("mode=following", LIMIT);
                }
            }
        });
        fleet
    }

    /// Load through every gateway: so many requests a second each, of all classes.
    pub fn load(&mut self, per_s: u64) {
        self.begun = Instant::now();
        self.load = Some(Load::start(&self.listen, per_s));
    }

    /// Ends the load, waits for what is open, and tells all that was sent.
    pub async fn rest(&mut self) -> Vec<Sent> {
        match &mut self.load {
            Some(load) => load.rest().await,
            None => Vec::new(),
        }
    }

    /// Carries a fault out.
    pub fn suffer(&mut self, fault: &Fault) {
        match fault {
            Fault::KillLeader => {
                if let Some(leader) = self.group.leader() {
                    self.group.members[leader].kill();
                }
            }
            Fault::KillMember(i) => self.group.members[*i].kill(),
            Fault::StopMember(i) => self.group.members[*i].stop(),
            Fault::MembersAgain => {
                for member in &mut self.group.members {
                    member.resume();
                    member.start();
                }
            }
            Fault::KillGroup => self.group.members.iter_mut().for_each(Process::kill),
            Fault::KillGateway(i) => {
                self.ended[*i].push(Instant::now());
                self.gateways[*i].kill();
                self.gateways[*i].start();
            }
            Fault::RestartGateway(i) => {
                self.ended[*i].push(Instant::now());
                self.gateways[*i].terminate();
                self.gateways[*i].wait_for_exit_code(LIMIT);
                self.gateways[*i].start();
            }
            Fault::StopGateway(i) => {
                self.ended[*i].push(Instant::now());
                self.gateways[*i].stop();
            }
            Fault::ContinueGateway(i) => self.gateways[*i].resume(),
            Fault::Cut(from, to) => self.group.net.cut(from, to),
            Fault::Delay(from, to, ms) => self.group.net.change(from, to, |c| c.delay_ms = *ms),
            Fault::Trickle(from, to, rate) => {
                self.group.net.change(from, to, |c| c.bytes_per_s = Some(*rate));
            }
            Fault::Reset(from, to) => self.group.net.reset(from, to),
            Fault::Cold(zone) => self.start_again(zone),
            Fault::Heal => self.group.net.heal(),
        }
    }

    fn start_again(&mut self, zone: &str) {
        let wall = wall_clock::system();
        for (i, (there, _)) in self.nodes.iter().enumerate() {
            if *there == zone {
                self.cold[i] = Some((Instant::now(), wall));
            }
        }
        self.revision += 1;
        for list in &self.lists {
            let members = self.nodes.iter().enumerate().map(|(i, (there, _))| {
                entry(i, there, list.nodes[i], self.cold[i].map_or(0, |(_, since)| since))
            });
            // Whole: a gateway that starts later is told the same, and can do nothing with changes alone.
            let members = members.collect::<Vec<_>>().join(",");
            list.discovery.say(self.revision, &stubs::list(self.revision, true, &members));
        }
    }

    /// For each node that was started again, the most that came to it within a span of the rule on cold servers, against
    /// what the rule allows there, and how old it was then. What warm ones bear is taken to be what they got in the
    /// mean in this run, so it is no more than they do bear.
    pub fn cold_loads(&self) -> Vec<(String, f64, Duration)> {
        let until = Instant::now();
        let warm = self.nodes.iter().zip(&self.cold).filter(|(_, cold)| cold.is_none());
        let rates = warm.map(|((_, node), _)| {
            let came = node.came().iter().filter(|came| came.at >= self.begun).count();
            came as f64 / (until - self.begun).as_secs_f64().max(1.0)
        });
        let rates: Vec<f64> = rates.collect();
        let capacity = rates.iter().sum::<f64>() / rates.len().max(1) as f64;
        let cold = self.nodes.iter().zip(&self.cold).enumerate();
        cold.filter_map(|(i, ((_, node), cold))| {
            let came: Vec<Instant> = node.came().iter().map(|came| came.at).collect();
            let (share, age) = COLD.worst(&came, (*cold)?.0, capacity)?;
            Some((format!("s-{i}"), share, age))
        })
        .collect()
    }

    /// Requests that came to the nodes of a zone, by when.
    pub fn came_to(&self, zone: &str) -> Vec<Instant> {
        let nodes = self.nodes.iter().filter(|(z, _)| *z == zone);
        nodes.flat_map(|(_, node)| node.came()).map(|came| came.at).collect()
    }

    /// Gives an order that has to be accepted.
    pub fn order(&self, words: &[&str], more: &[&str]) -> Ordered {
        let given = Instant::now();
        let output = self.group.command(words, more);
        let answered = Instant::now();
        let at = accepted(&output.stdout);
        assert!(output.status.success() && at.is_some(), "{output:?}");
        Ordered { given, answered, at }
    }

    /// What is found of each zone by what all gateways see.
    pub fn found(&self) -> Vec<String> {
        let output = self.group.command(&["why"], &["--json"]);
        let told: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
        let finding = |zone: &&str| told["zones"][zone]["finding"].as_str().unwrap_or("-").to_string();
        ZONES.iter().map(finding).collect()
    }

    /// Waits until that is found of the zones.
    pub fn wait_until_found(&self, wanted: [&str; 3]) {
        let until = Instant::now() + LIMIT;
        while self.found() != wanted {
            let all = self.group.command(&["why"], &[]);
            assert!(Instant::now() < until, "{wanted:?}, found {}", String::from_utf8_lossy(&all.stdout));
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Waits until `why` says all of that of a zone at once.
    pub fn wait_until_said(&self, zone: &str, wanted: &[&str]) {
        let until = Instant::now() + LIMIT;
        loop {
            let one = self.group.command(&["why"], &[zone]);
            let said = String::from_utf8_lossy(&one.stdout);
            if wanted.iter().all(|text| said.contains(text)) {
                return;
            }
            assert!(Instant::now() < until, "{wanted:?}, found {said}");
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// What each gateway has followed, from its log: position (generation, epoch), mode, when; by life.
    pub fn followed(&self) -> Vec<Vec<crate::audit::Follows>> {
        self.gateways.iter().map(|g| crate::audit::follows(&g.lines())).collect()
    }

    /// Waits until every gateway follows the group's newest position.
    pub fn wait_until_all_follow(&self) -> serde_json::Value {
        let gateways = self.gateways.len();
        self.group.wait_until("all gateways follow", |zones| {
            let all = zones["gateways"].as_array();
            all.is_some_and(|all| {
                all.len() == gateways
                    && all.iter().all(|g| g["followed"] == zones["position"] && g["mode"] == "following")
            })
        })
    }

    /// What is wrong with what clients and nodes saw: `lost`, a request that a gateway took and that has no answer
    /// though the gateway went on; `doubled`, one that may not run twice and came to nodes twice.
    pub fn wrongs(&self, sent: &[Sent]) -> Wrongs {
        let mut came: BTreeMap<String, usize> = BTreeMap::new();
        for call in self.nodes.iter().flat_map(|(_, node)| node.came()) {
            *came.entry(call.call).or_default() += 1;
        }
        let mut wrongs = Wrongs::default();
        for s in sent {
            let until = s.answer.map_or(s.at + WAITS, |(_, at)| at);
            let cut_short = self.ended[s.gateway].iter().any(|end| *end >= s.at - ON_TIME && *end <= until);
            match s.answer {
                None if cut_short => wrongs.ended_with_their_gateway += 1,
                None => wrongs.lost += 1,
                Some((200, at)) if at - s.at <= ON_TIME => wrongs.served += 1,
                Some((200, _)) => wrongs.late += 1,
                Some(_) => wrongs.refused += 1,
            }
            if s.class == "once" && came.get(&s.call).is_some_and(|n| *n > 1) {
                wrongs.doubled += 1;
            }
        }
        wrongs.sent = sent.len();
        wrongs
    }
}

/// What became of all requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Wrongs {
    /// All.
    pub sent: usize,
    /// Served in time.
    pub served: usize,
    /// Served, and late.
    pub late: usize,
    /// Refused or failed, and told so.
    pub refused: usize,
    /// Without an answer, as their gateway was killed, told to end or stopped meanwhile.
    pub ended_with_their_gateway: usize,
    /// Without an answer though their gateway went on.
    pub lost: usize,
    /// Run twice though they may not.
    pub doubled: usize,
}
