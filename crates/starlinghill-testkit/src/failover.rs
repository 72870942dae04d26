//! A fleet for failover tests: real gateway processes in three zones that follow a group of real members, in front of save
//! nodes in every zone, with load through all gateways. Operators' orders and faults are applied to it; scripts of
//! faults are plain data, so a run can be repeated.

use crate::audit::{accepted_position, ColdStartRule, OrderRecord};
use crate::group::{free_address, Group, LIMIT};
use crate::load::{Load, SentRequest, ANSWER_TIMEOUT};
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
/// Answers within this time count as on time.
const ON_TIME: Duration = Duration::from_secs(1);

/// A fault, or the end of one. Members and gateways are given by index, zones by name; links have a direction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Kills the group's leader, if there is one.
    KillLeader,
    /// Kills a member.
    KillMember(usize),
    /// Suspends a member (SIGSTOP).
    StopMember(usize),
    /// Continues suspended members and starts killed ones.
    #[serde(rename = "members_again")]
    ResumeMembers,
    /// Kills all members.
    KillGroup,
    /// Kills a gateway and starts it again at once.
    KillGateway(usize),
    /// Ends a gateway by SIGTERM, waits for its end and starts it again.
    RestartGateway(usize),
    /// Suspends a gateway (SIGSTOP).
    StopGateway(usize),
    /// Continues a suspended gateway.
    ContinueGateway(usize),
    /// Drops all traffic from one zone to another.
    Cut(String, String),
    /// Delays traffic from one zone to another by this many milliseconds.
    Delay(String, String, u64),
    /// Limits each connection from one zone to another to this many bytes per second.
    Trickle(String, String, u64),
    /// Resets the open connections from one zone to another.
    Reset(String, String),
    /// Tells gateways that the save nodes of a zone have restarted and are cold.
    #[serde(rename = "cold")]
    RestartNodes(String),
    /// Ends all faults of links.
    Heal,
}

/// A step of a script.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// When it is applied, in milliseconds from the start.
    pub at_ms: u64,
    /// The fault.
    pub fault: Fault,
}

/// The fleet. Dropping it ends its processes and the load.
pub struct Fleet {
    /// The group that gateways follow.
    pub group: Group,
    /// The gateway processes, an equal number per zone, ordered by zone.
    pub gateways: Vec<Process>,
    /// The address that each gateway listens on.
    pub listen: Vec<SocketAddr>,
    /// The save nodes, each with its zone; three per zone.
    pub nodes: Vec<(&'static str, SaveNode)>,
    /// When the load was started.
    pub load_started: Instant,
    /// When each gateway was killed, ended or suspended. Requests open at that time may get no answer.
    pub interrupted: Vec<Vec<Instant>>,
    load: Option<Load>,
    lists: Vec<NodeList>,
    /// The revision of the node lists that discovery has announced last.
    revision: u64,
    /// For each node its last announced restart, also as Unix time in milliseconds; `None` if it had none.
    restarts: Vec<Option<(Instant, u64)>>,
    _counter: Stub,
}

/// The list of save nodes for the gateways of one zone, with the addresses of that zone's links to them.
struct NodeList {
    discovery: Discovery,
    nodes: Vec<SocketAddr>,
}

fn zone_of(gateway: usize, gateways: usize) -> &'static str {
    ZONES[gateway * ZONES.len() / gateways]
}

/// The warm-up of save nodes; gateways get the same values in their settings.
pub const COLD: ColdStartRule = ColdStartRule {
    initial_capacity: 0.17,
    warm_after: Duration::from_secs(14),
    overload_multiple: 2.0,
    window: Duration::from_secs(2),
};

/// A save node in discovery's form: its zone, its address and its start as Unix time in milliseconds.
fn node_entry(i: usize, zone: &str, at: SocketAddr, up_since_ms: u64) -> String {
    let member = stubs::member_since(&format!("s-{i}"), at, "ready", up_since_ms);
    member.replace("\"locality\":\"a\"", &format!("\"locality\":\"{zone}\""))
}

/// The platform configuration of gateway `i`, as JSON.
fn gateway_config(
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
        .replace("\"fall_multiple\":4.0", &format!("\"fall_multiple\":{:.1}", COLD.overload_multiple));
    format!(
        r#"{{"name":"n{i}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be96{i}",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"counter":"{counter}","settings":{settings}}}"#
    )
}

impl Fleet {
    /// Starts a group with a member in each of the zones `members`, three save nodes in each zone and `gateways`
    /// gateways, a multiple of the number of zones. With `follows` the gateways know the group's addresses; without,
    /// they work without a group.
    pub async fn start(program: &Path, members: &[&str], gateways: usize, seed: u64, follows: bool) -> Fleet {
        let mut group = Group::new(program, members, seed).await;
        tokio::task::block_in_place(|| group.start());
        let mut nodes = Vec::new();
        for i in 0..3 * ZONES.len() {
            nodes.push((ZONES[i / 3], SaveNode::start().await));
        }
        let mut lists = Vec::new();
        for zone in ZONES {
            let (mut listed, mut addresses) = (Vec::new(), Vec::new());
            for (i, (node_zone, node)) in nodes.iter().enumerate() {
                let at = group.net.tcp(zone, node_zone, node.address).await;
                listed.push(node_entry(i, node_zone, at, 0));
                addresses.push(at);
            }
            lists.push(NodeList { discovery: Discovery::start(&listed.join(",")), nodes: addresses });
        }
        let counter = stubs::counter();
        let (mut processes, mut listen) = (Vec::new(), Vec::new());
        for i in 0..gateways {
            let zone = zone_of(i, gateways);
            let at = free_address();
            let zone_index = ZONES.iter().position(|z| *z == zone).unwrap_or(0);
            let config =
                gateway_config(i, gateways, at, lists[zone_index].discovery.stub.address, counter.address);
            let file = group.folder().join(format!("gateway-{i}.json"));
            std::fs::write(&file, config).expect("the file can be written");
            let operators = group.folder().join(format!("gateway-{i}.toml"));
            let text = match follows {
                true => group.text(1, &group.addresses_from(zone, None).await),
                false => String::new(),
            };
            std::fs::write(&operators, text).expect("the file can be written");
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
            interrupted: vec![Vec::new(); gateways],
            group,
            gateways: processes,
            listen,
            restarts: vec![None; nodes.len()],
            nodes,
            load_started: Instant::now(),
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

    /// Starts a load of `per_s` requests per second through each gateway, of all classes.
    pub fn load(&mut self, per_s: u64) {
        self.load_started = Instant::now();
        self.load = Some(Load::start(&self.listen, per_s));
    }

    /// Stops the load, waits for open requests and returns all requests that were sent.
    pub async fn finish(&mut self) -> Vec<SentRequest> {
        match &mut self.load {
            Some(load) => load.finish().await,
            None => Vec::new(),
        }
    }

    /// Applies a fault.
    pub fn inject(&mut self, fault: &Fault) {
        match fault {
            Fault::KillLeader => {
                if let Some(leader) = self.group.leader() {
                    self.group.members[leader].kill();
                }
            }
            Fault::KillMember(i) => self.group.members[*i].kill(),
            Fault::StopMember(i) => self.group.members[*i].stop(),
            Fault::ResumeMembers => {
                for member in &mut self.group.members {
                    member.resume();
                    member.start();
                }
            }
            Fault::KillGroup => self.group.members.iter_mut().for_each(Process::kill),
            Fault::KillGateway(i) => {
                self.interrupted[*i].push(Instant::now());
                self.gateways[*i].kill();
                self.gateways[*i].start();
            }
            Fault::RestartGateway(i) => {
                self.interrupted[*i].push(Instant::now());
                self.gateways[*i].terminate();
                self.gateways[*i].wait_for_exit_code(LIMIT);
                self.gateways[*i].start();
            }
            Fault::StopGateway(i) => {
                self.interrupted[*i].push(Instant::now());
                self.gateways[*i].stop();
            }
            Fault::ContinueGateway(i) => self.gateways[*i].resume(),
            Fault::Cut(from, to) => self.group.net.cut(from, to),
            Fault::Delay(from, to, ms) => self.group.net.change(from, to, |c| c.delay_ms = *ms),
            Fault::Trickle(from, to, rate) => {
                self.group.net.change(from, to, |c| c.bytes_per_s = Some(*rate));
            }
            Fault::Reset(from, to) => self.group.net.reset(from, to),
            Fault::RestartNodes(zone) => self.restart_nodes(zone),
            Fault::Heal => self.group.net.heal(),
        }
    }

    /// Announces a restart of a zone's save nodes. Only discovery says so; the nodes themselves run on.
    fn restart_nodes(&mut self, zone: &str) {
        let unix_ms = wall_clock::system();
        for (i, (node_zone, _)) in self.nodes.iter().enumerate() {
            if *node_zone == zone {
                self.restarts[i] = Some((Instant::now(), unix_ms));
            }
        }
        self.revision += 1;
        for list in &self.lists {
            let members = self.nodes.iter().enumerate().map(|(i, (node_zone, _))| {
                node_entry(i, node_zone, list.nodes[i], self.restarts[i].map_or(0, |(_, since)| since))
            });
            // A complete list, as a gateway that starts later gets the same answer and can't apply changes alone.
            let members = members.collect::<Vec<_>>().join(",");
            list.discovery.set_answer(self.revision, &stubs::list(self.revision, true, &members));
        }
    }

    /// The heaviest load on each restarted node during its warm-up: its name, the ratio to what [`COLD`] allows, and its
    /// age then (see [`ColdStartRule::worst_load`]). The capacity of a warm node is taken to be the mean rate at which
    /// nodes without a restart received requests; they can do at least that, so the check is on the strict side.
    pub fn cold_node_loads(&self) -> Vec<(String, f64, Duration)> {
        let until = Instant::now();
        let warm = self.nodes.iter().zip(&self.restarts).filter(|(_, restart)| restart.is_none());
        let rates = warm.map(|((_, node), _)| {
            let received = node.attempts().iter().filter(|a| a.at >= self.load_started).count();
            received as f64 / (until - self.load_started).as_secs_f64().max(1.0)
        });
        let rates: Vec<f64> = rates.collect();
        let capacity = rates.iter().sum::<f64>() / rates.len().max(1) as f64;
        let all = self.nodes.iter().zip(&self.restarts).enumerate();
        all.filter_map(|(i, ((_, node), restart))| {
            let arrivals: Vec<Instant> = node.attempts().iter().map(|a| a.at).collect();
            let (ratio, age) = COLD.worst_load(&arrivals, (*restart)?.0, capacity)?;
            Some((format!("s-{i}"), ratio, age))
        })
        .collect()
    }

    /// The arrival times of all attempts at the nodes of a zone, ordered by node.
    pub fn arrivals_in(&self, zone: &str) -> Vec<Instant> {
        let nodes = self.nodes.iter().filter(|(z, _)| *z == zone);
        nodes.flat_map(|(_, node)| node.attempts()).map(|a| a.at).collect()
    }

    /// Gives an order by an operator's command, see [`Group::command`]. Panics if the order is not accepted.
    pub fn order(&self, words: &[&str], arguments: &[&str]) -> OrderRecord {
        let sent_at = Instant::now();
        let output = self.group.command(words, arguments);
        let answered_at = Instant::now();
        let position = accepted_position(&output.stdout);
        assert!(output.status.success() && position.is_some(), "{output:?}");
        OrderRecord { sent_at, answered_at, position }
    }

    /// The finding of `why --json` about each zone, in the order of [`ZONES`]; `-` if there is none.
    pub fn findings(&self) -> Vec<String> {
        let output = self.group.command(&["why"], &["--json"]);
        let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
        let finding = |zone: &&str| report["zones"][zone]["finding"].as_str().unwrap_or("-").to_string();
        ZONES.iter().map(finding).collect()
    }

    /// Waits until the findings about the zones are these.
    pub fn wait_until_findings(&self, wanted: [&str; 3]) {
        let deadline = Instant::now() + LIMIT;
        while self.findings() != wanted {
            let why = self.group.command(&["why"], &[]);
            assert!(Instant::now() < deadline, "{wanted:?}, found {}", String::from_utf8_lossy(&why.stdout));
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Waits until the output of `why` about a zone contains all of these texts at once.
    pub fn wait_until_why_contains(&self, zone: &str, wanted: &[&str]) {
        let deadline = Instant::now() + LIMIT;
        loop {
            let output = self.group.command(&["why"], &[zone]);
            let text = String::from_utf8_lossy(&output.stdout);
            if wanted.iter().all(|part| text.contains(part)) {
                return;
            }
            assert!(Instant::now() < deadline, "{wanted:?}, found {text}");
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// What each gateway followed over time, read from its log.
    pub fn followed(&self) -> Vec<Vec<crate::audit::FollowRecord>> {
        self.gateways.iter().map(|g| crate::audit::follow_records(&g.lines())).collect()
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

    /// Counts the outcomes of these requests, by what clients and save nodes recorded.
    pub fn request_outcomes(&self, sent: &[SentRequest]) -> RequestOutcomes {
        let mut attempts: BTreeMap<String, usize> = BTreeMap::new();
        for attempt in self.nodes.iter().flat_map(|(_, node)| node.attempts()) {
            *attempts.entry(attempt.call_id).or_default() += 1;
        }
        let mut outcomes = RequestOutcomes::default();
        for s in sent {
            let until = s.answer.map_or(s.sent_at + ANSWER_TIMEOUT, |(_, at)| at);
            // The gateway may have been interrupted shortly before the request was sent.
            let interrupted =
                self.interrupted[s.gateway].iter().any(|end| *end >= s.sent_at - ON_TIME && *end <= until);
            match s.answer {
                None if interrupted => outcomes.gateway_ended += 1,
                None => outcomes.lost += 1,
                Some((200, at)) if at - s.sent_at <= ON_TIME => outcomes.served += 1,
                Some((200, _)) => outcomes.late += 1,
                Some(_) => outcomes.refused += 1,
            }
            if s.class == "once" && attempts.get(&s.call_id).is_some_and(|n| *n > 1) {
                outcomes.duplicated += 1;
            }
        }
        outcomes.sent = sent.len();
        outcomes
    }
}

/// The number of requests by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestOutcomes {
    /// All requests.
    pub sent: usize,
    /// Answered 200 within a second.
    pub served: usize,
    /// Answered 200, but later.
    pub late: usize,
    /// Answered with another status.
    pub refused: usize,
    /// Without an answer, and their gateway was killed, ended or suspended at the time.
    pub gateway_ended: usize,
    /// Without an answer although their gateway went on; there should be none.
    pub lost: usize,
    /// Of class `once`, but arrived at save nodes more than once; there should be none.
    pub duplicated: usize,
}
