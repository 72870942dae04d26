//! A fleet of real gateway processes round a counter that gets into trouble: scenarios as data, replayable by their seed,
//! judged by what save nodes saw. Time is real, so two runs of one scenario differ by what the machine does.

use crate::counter::{Counter, Mode, Totals};
use crate::nodes::{listed, SaveNode};
use crate::stubs::{config, program, Node};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

/// Requests of one scenario that may be out at once; what comes beyond waits.
const OUT: usize = 512;
/// The longest wait for an answer.
const PATIENCE: Duration = Duration::from_secs(5);

/// What happens to the fleet.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// Both counters behave so from now on.
    Behave(Mode),
    /// What the counter holds is gone.
    Empty,
    /// What it holds is kept, to be set back to.
    Keep,
    /// It is set back to what was kept last.
    SetBack,
    /// The second half of the gateways sees a counter of its own.
    Split,
    /// The split ends: the first half's counter holds for all.
    FirstWins,
    /// The split ends: what each half counted is added up.
    Merge,
    /// The split ends with an empty counter.
    Fresh,
    /// A gateway dies at once.
    Kill(usize),
    /// It, or one more, starts.
    Start(usize),
}

/// What is played.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// What chance there is comes from here.
    pub seed: u64,
    /// Gateways at the start.
    pub gateways: usize,
    /// Its length in seconds.
    pub seconds: f64,
    /// Studios send most of their requests through one gateway, another one after so many seconds.
    pub moves: f64,
    /// What happens when, in seconds from the start.
    pub faults: Vec<(f64, Fault)>,
}

/// A plan as the settings have it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Plan {
    /// Its name.
    pub name: &'static str,
    /// Units a second, and at once.
    pub quota: (f64, f64),
    /// The same for the hard ceiling.
    pub ceiling: Option<(f64, f64)>,
    /// How far the ceiling's store may go below nothing, with what 150 ms of its rate give.
    pub slack: f64,
}

/// The plans of the studios.
pub const PLANS: [Plan; 2] = [
    Plan { name: "studio", quota: (8.0, 24.0), ceiling: None, slack: 0.0 },
    Plan { name: "publisher", quota: (10.0, 20.0), ceiling: Some((23.0, 46.0)), slack: 4.6 + 23.0 * 0.15 },
];

/// What became of one studio.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// The studio, and its plan.
    pub studio: u64,
    /// Its plan.
    pub plan: Plan,
    /// What it asks, against its rate.
    pub demand: f64,
    /// Units asked for, units that its first attempts brought to save nodes, units one who sees all would let through.
    pub asked: f64,
    /// Units sent on.
    pub sent: f64,
    /// Units that one store which sees everything lets through.
    pub oracle: f64,
    /// Units sent on that the store did not hold.
    pub beyond: f64,
    /// Units refused or failed that the store held.
    pub refused: f64,
    /// Burst, and rate times length.
    pub allowance: f64,
    /// How far the ceiling's store went below its slack.
    pub past_ceiling: f64,
}

impl Outcome {
    /// How far more than the allowance was sent on, in parts of it.
    pub fn overshoot(&self) -> f64 {
        (self.sent / self.allowance - 1.0).max(0.0)
    }
}

struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: f64,
}

impl Bucket {
    fn new((rate, burst): (f64, f64)) -> Bucket {
        Bucket { rate, burst, level: burst, at: 0.0 }
    }
    fn fill(&mut self, at: f64) -> f64 {
        self.level = (self.level + self.rate * (at - self.at).max(0.0)).min(self.burst);
        self.at = self.at.max(at);
        self.level
    }
    fn take(&mut self, at: f64, units: f64) -> bool {
        let holds = self.fill(at) >= units;
        self.level -= if holds { units } else { 0.0 };
        holds
    }
}

/// One request as its client saw it.
#[derive(Debug, Clone)]
struct Asked {
    studio: u64,
    call: String,
    units: f64,
    at: Instant,
    ended: Instant,
}

type Idle = Arc<Mutex<BTreeMap<SocketAddr, Vec<TcpStream>>>>;

/// One answer's status on a kept connection, or a new one.
async fn ask(idle: &Idle, to: SocketAddr, request: &str) -> Option<u16> {
    let kept = idle.lock().expect("whole").get_mut(&to).and_then(Vec::pop);
    if let Some(stream) = kept {
        if let Some(status) = exchange(idle, to, stream, request).await {
            return Some(status);
        }
    }
    let stream = TcpStream::connect(to).await.ok()?;
    exchange(idle, to, stream, request).await
}

async fn exchange(idle: &Idle, to: SocketAddr, mut stream: TcpStream, request: &str) -> Option<u16> {
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut read = Vec::new();
    let head = loop {
        if let Some(end) = read.windows(4).position(|w| w == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(&mut read).await.ok()? == 0 || read.len() > 65_536 {
            return None;
        }
    };
    let text = String::from_utf8_lossy(&read[..head]).to_ascii_lowercase();
    let status = text.split(' ').nth(1)?.parse().ok()?;
    let length = text.split("content-length: ").nth(1).and_then(|t| t.split("\r\n").next());
    let length: usize = length.and_then(|t| t.parse().ok()).unwrap_or(0);
    while read.len() < head + length {
        if stream.read_buf(&mut read).await.ok()? == 0 {
            return None;
        }
    }
    if !text.contains("connection: close") {
        idle.lock().expect("whole").entry(to).or_default().push(stream);
    }
    Some(status)
}

/// The configuration of gateway `me`, with the addresses of all where they may tell each other something.
fn settings(
    discovery: SocketAddr,
    counter: SocketAddr,
    me: usize,
    gateways: usize,
    peers: Option<&[SocketAddr]>,
) -> String {
    let plans: Vec<String> = PLANS
        .iter()
        .map(|p| {
            let ceiling = p.ceiling.map_or(String::new(), |(rate, burst)| {
                format!(r#","ceiling_rate":{rate:.1},"cap_depth":{burst:.1},"tolerance":4.6"#)
            });
            let (name, (rate, burst)) = (p.name, p.quota);
            format!(
                r#"{{"name":"{name}","per_second":{rate:.1},"peak_units":{burst:.1},"price":1.0{ceiling}}}"#
            )
        })
        .collect();
    let mut text = config(discovery, counter)
        .replace(r#""balancers":2"#, &format!(r#""balancers":{gateways}"#))
        .replace(r#""my_number":0"#, &format!(r#""my_number":{me}"#))
        .replace(r#""seed":"8c1f"#, &format!(r#""seed":"{me:02x}1f"#))
        .replace(r#""count_limit":2000000"#, r#""count_limit":80000"#)
        .replace(r#""units_top":4"#, r#""units_top":2"#);
    let at = text.find("\"plans\":[").expect("plans") + "\"plans\":[".len();
    text.insert_str(at, &(plans.join(",") + ","));
    if let Some(peers) = peers {
        let all: Vec<String> = peers[..gateways].iter().map(|peer| format!("\"{peer}\"")).collect();
        let told = format!(r#""peer_listen":"{}","peers":[{}],"settings":"#, peers[me], all.join(","));
        text = text
            .replace(r#""settings":"#, &told)
            .replace(r#""max_attempts":3"#, r#""max_attempts":3,"peer_messages":true"#)
            .replace(r#""units_top":2"#, r#""units_top":2,"peer_in_per_s":60"#);
    }
    text
}

struct Fleet {
    program: String,
    discovery: SocketAddr,
    counters: [Counter; 2],
    gateways: usize,
    peers: Option<Vec<SocketAddr>>,
    nodes: Vec<Option<Node>>,
    kept: Totals,
}

impl Fleet {
    fn start(&mut self, me: usize) {
        let half = usize::from(me % self.gateways >= self.gateways.div_ceil(2));
        let gateways = self.gateways.max(me + 1);
        let counter = self.counters[half].address;
        let config = settings(self.discovery, counter, me, gateways, self.peers.as_deref());
        let command = program(&self.program, &config);
        let node = tokio::task::block_in_place(|| {
            let node = Node::spawn(command);
            node.wait_ready();
            node
        });
        if self.nodes.len() <= me {
            self.nodes.resize_with(me + 1, || None);
        }
        self.nodes[me] = Some(node);
    }
    fn apply(&mut self, fault: &Fault) {
        let [first, second] = &self.counters;
        match fault {
            Fault::Behave(mode) => self.counters.iter().for_each(|c| c.set(*mode)),
            Fault::Empty => first.replace(Totals::default()),
            Fault::Keep => self.kept = first.copy(),
            Fault::SetBack => first.replace(self.kept.clone()),
            Fault::Split => {
                self.kept = first.copy();
                second.part();
            }
            Fault::FirstWins => second.join(first),
            Fault::Merge => {
                first.replace(first.copy().merged(&second.copy(), &self.kept));
                second.join(first);
            }
            Fault::Fresh => {
                first.replace(Totals::default());
                second.join(first);
            }
            Fault::Kill(me) => drop(self.nodes.get_mut(*me).and_then(Option::take)),
            Fault::Start(me) => self.start(*me),
        }
    }
    /// Where gateway `me` listens, or the next one that runs.
    fn address(&self, me: usize) -> Option<SocketAddr> {
        let n = self.nodes.len();
        (0..n).find_map(|i| self.nodes[(me + i) % n].as_ref()).map(|node| node.address)
    }
}

/// Addresses for messages, of sockets that are let go again: free a moment later.
fn ports(n: usize) -> Vec<SocketAddr> {
    let held: Vec<_> = (0..n).map(|_| std::net::UdpSocket::bind("127.0.0.1:0").expect("a port")).collect();
    held.iter().map(|socket| socket.local_addr().expect("bound")).collect()
}

/// Plays a scenario with gateways of this program, for so many studios; `messages`: gateways may tell each other something.
pub async fn play(path: &str, scenario: &Scenario, studios: usize, messages: bool) -> Vec<Outcome> {
    let (nodes, discovery) = listed(4).await;
    let counters = [
        Counter::start(2, Duration::from_micros(300)).await,
        Counter::start(2, Duration::from_micros(300)).await,
    ];
    counters[1].join(&counters[0]);
    let mut fleet = Fleet {
        program: path.to_string(),
        discovery: discovery.stub.address,
        counters,
        gateways: scenario.gateways,
        peers: messages.then(|| ports(scenario.gateways + 2)),
        nodes: Vec::new(),
        kept: Totals::default(),
    };
    (0..scenario.gateways).for_each(|me| fleet.start(me));
    let mut rng = fastrand::Rng::with_seed(scenario.seed);
    // One keeps inside its quota, one asks for all of it, others for far more, in turn.
    let demands: Vec<f64> =
        (0..studios).map(|i| [0.6, 1.0, 1.8, 3.0][i % 4] * (0.9 + 0.2 * rng.f64())).collect();
    let (start, idle, places) = (Instant::now(), Idle::default(), Arc::new(Semaphore::new(OUT)));
    let mut asking = tokio::task::JoinSet::new();
    let mut faults = scenario.faults.iter().peekable();
    let mut tick = tokio::time::interval(Duration::from_millis(5));
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let (mut last, mut calls) = (0.0, 0_u64);
    while last < scenario.seconds {
        tick.tick().await;
        let now = start.elapsed().as_secs_f64();
        while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= now) {
            fleet.apply(fault);
        }
        for (i, demand) in demands.iter().enumerate() {
            let plan = PLANS[(i / 4) % PLANS.len()];
            // Requests of one or two units.
            let expected = demand * plan.quota.0 / 1.5 * (now - last);
            let n = expected.floor() as usize + usize::from(rng.f64() < expected.fract());
            for _ in 0..n {
                let favourite = (now / scenario.moves) as usize + i;
                let me =
                    if rng.f64() < 0.8 { favourite } else { rng.usize(0..64) } % fleet.nodes.len().max(1);
                let Some(to) = fleet.address(me) else { continue };
                let units = f64::from(rng.u32(1..=2));
                calls += 1;
                let (studio, call) = (1_000 + i as u64, format!("{calls:016x}"));
                let spread = scenario.gateways;
                let request = format!(
                    "GET /api?customer={studio:016x}&u={units} HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {call}\r\n\
                    X-Call-Class: look\r\nX-Plan: {}\r\nX-Budget-Ms: 3000\r\nX-Quota: units={units},spread={spread},first=0\r\n\r\n",
                    plan.name
                );
                let (idle, places, at) = (idle.clone(), places.clone(), Instant::now());
                asking.spawn(async move {
                    let _place = places.acquire_owned().await;
                    let _ = tokio::time::timeout(PATIENCE, ask(&idle, to, &request)).await;
                    Asked { studio, call, units, at, ended: Instant::now() }
                });
            }
        }
        last = now;
    }
    let mut asked = Vec::new();
    while let Some(one) = asking.join_next().await {
        asked.extend(one.ok());
    }
    asked.sort_by_key(|a| a.at);
    judge(&nodes, &asked, &demands, start, scenario.seconds)
}

/// Sets what save nodes saw against each studio's store.
fn judge(nodes: &[SaveNode], asked: &[Asked], demands: &[f64], start: Instant, seconds: f64) -> Vec<Outcome> {
    let mut came: Vec<_> = nodes.iter().flat_map(SaveNode::came).collect();
    came.sort_by_key(|c| c.at);
    let mut first: BTreeMap<&str, f64> = BTreeMap::new();
    let secs = |at: Instant| at.saturating_duration_since(start).as_secs_f64();
    for c in &came {
        first.entry(&c.call).or_insert(secs(c.at));
    }
    let studios: HashSet<u64> = (0..demands.len()).map(|i| 1_000 + i as u64).collect();
    let mut all: Vec<Outcome> = studios
        .into_iter()
        .map(|studio| {
            let i = (studio - 1_000) as usize;
            let plan = PLANS[(i / 4) % PLANS.len()];
            let (mut quota, mut ideal) = (Bucket::new(plan.quota), Bucket::new(plan.quota));
            let mut ceiling = plan.ceiling.map(Bucket::new);
            let mut out = Outcome {
                studio,
                plan,
                demand: demands[i],
                asked: 0.0,
                sent: 0.0,
                oracle: 0.0,
                beyond: 0.0,
                refused: 0.0,
                allowance: plan.quota.1 + plan.quota.0 * seconds,
                past_ceiling: 0.0,
            };
            let own = || asked.iter().filter(|a| a.studio == studio);
            for a in own() {
                out.asked += a.units;
                out.oracle += if ideal.take(secs(a.at), a.units) { a.units } else { 0.0 };
            }
            // Sends and refusals in the order in which they took effect.
            let mut events: Vec<(f64, bool, f64)> = own()
                .map(|a| {
                    first
                        .get(a.call.as_str())
                        .map_or((secs(a.ended), false, a.units), |at| (*at, true, a.units))
                })
                .collect();
            events.sort_by(|a, b| a.0.total_cmp(&b.0));
            for (at, sent, units) in events {
                if !sent {
                    out.refused += if quota.fill(at) >= units { units } else { 0.0 };
                    continue;
                }
                out.sent += units;
                out.beyond += if quota.take(at, units) { 0.0 } else { units };
                if let Some(ceiling) = &mut ceiling {
                    ceiling.fill(at);
                    ceiling.level -= units;
                    out.past_ceiling = out.past_ceiling.max(-ceiling.level - plan.slack);
                }
            }
            out
        })
        .collect();
    all.sort_by_key(|o| o.studio);
    all
}

/// The scenarios: each kind of trouble, with as many seeds as asked for.
pub fn scenarios(seeds: u64) -> Vec<Scenario> {
    use Fault::*;
    let down = |mode: Mode, from: f64, to: f64| vec![(from, Behave(mode)), (to, Behave(Mode::Sound))];
    type Kind = (&'static str, usize, f64, f64, Vec<(f64, Fault)>);
    let mut kinds: Vec<Kind> = vec![
        ("sound", 4, 20.0, 4.0, vec![]),
        ("refuses 14 s, studios move", 4, 28.0, 3.0, down(Mode::Refuse, 4.0, 18.0)),
        ("stalls 14 s, studios move", 3, 28.0, 3.0, down(Mode::Stall, 4.0, 18.0)),
        ("turns away 10 s", 4, 24.0, 4.0, down(Mode::TurnAway, 4.0, 14.0)),
        ("crawls 10 s", 4, 24.0, 4.0, down(Mode::Crawl(40.0), 4.0, 14.0)),
        ("every third answer spoilt", 4, 24.0, 4.0, down(Mode::Spoil(3), 4.0, 14.0)),
        ("split 20 s, one half wins", 4, 34.0, 4.0, vec![(4.0, Split), (24.0, FirstWins)]),
        ("split 20 s, merged", 4, 34.0, 4.0, vec![(4.0, Split), (24.0, Merge)]),
        ("split 20 s, then empty", 4, 34.0, 4.0, vec![(4.0, Split), (24.0, Fresh)]),
        ("emptied twice in a window", 4, 24.0, 4.0, vec![(6.0, Empty), (9.0, Empty)]),
        ("set back twice in a window", 4, 24.0, 4.0, vec![(4.0, Keep), (7.0, SetBack), (10.0, SetBack)]),
    ];
    let mut restart = down(Mode::Refuse, 4.0, 14.0);
    restart.extend([(7.0, Kill(1)), (9.0, Start(1)), (11.0, Start(4))]);
    restart.sort_by(|a, b| a.0.total_cmp(&b.0));
    kinds.push(("down, one killed and back, a fifth joins", 4, 26.0, 4.0, restart));
    let mut storm = down(Mode::Stall, 4.0, 9.0);
    storm.extend(down(Mode::Stall, 9.5, 14.0));
    kinds.push(("dies as it returns", 4, 26.0, 4.0, storm));
    let of = |seed: u64| {
        kinds.clone().into_iter().map(move |(name, gateways, seconds, moves, faults)| Scenario {
            name,
            seed,
            gateways,
            seconds,
            moves,
            faults,
        })
    };
    (1..=seeds).flat_map(of).collect()
}
