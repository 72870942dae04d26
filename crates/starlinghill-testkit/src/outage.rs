//! Scenarios in which a fleet of real gateway processes has trouble with its shared quota counter. What save nodes
//! received is compared with an ideal token bucket for each customer. A scenario is data and has a seed, but time is
//! real, so two runs of one scenario differ by the machine's timing.

use crate::counter::{Counter, Mode, Totals};
use crate::nodes::{start_nodes, SaveNode};
use crate::stubs::{config, program, Node};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

/// Requests of one scenario that may be open at once; further ones wait.
const MAX_OPEN_REQUESTS: usize = 512;
/// How long a client waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// The number of the first customer; the others follow it.
const FIRST_CUSTOMER: u64 = 1_000;

/// An event in a scenario. Gateways are given by index.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// Both counters answer in this mode from now on.
    SetMode(Mode),
    /// The counter loses its totals.
    ClearTotals,
    /// Saves a copy of the counter's totals.
    SaveTotals,
    /// The counter goes back to the totals saved last.
    RestoreTotals,
    /// The second half of the gateways gets a counter of its own, which starts with the present totals.
    Split,
    /// The split ends; the totals of the first half's counter hold for all.
    KeepFirst,
    /// The split ends; what each half counted is added up.
    Merge,
    /// The split ends with a counter without totals.
    StartEmpty,
    /// Kills a gateway.
    Kill(usize),
    /// Starts a killed gateway again, or an additional one.
    Start(usize),
}

/// A scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Its name in the report.
    pub name: &'static str,
    /// The seed of the requests' times, sizes and gateways.
    pub seed: u64,
    /// The number of gateways at the start.
    pub gateways: usize,
    /// Its length in seconds.
    pub seconds: f64,
    /// A customer sends most requests through one gateway, and changes to the next one after this many seconds.
    pub gateway_change_s: f64,
    /// The faults, each with its time in seconds from the start.
    pub faults: Vec<(f64, Fault)>,
}

/// A customer's plan, as in the settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Plan {
    /// Its name.
    pub name: &'static str,
    /// The quota: units per second, and the burst in units.
    pub quota: (f64, f64),
    /// The hard ceiling in the same form; `None` if the plan has none.
    pub ceiling: Option<(f64, f64)>,
    /// How far the ceiling's bucket may go below zero, in units: the tolerance plus 150 ms of the ceiling's rate.
    pub slack: f64,
}

/// The plans of customers; four customers in a row have the same one.
pub const PLANS: [Plan; 2] = [
    Plan { name: "studio", quota: (8.0, 24.0), ceiling: None, slack: 0.0 },
    Plan { name: "publisher", quota: (10.0, 20.0), ceiling: Some((23.0, 46.0)), slack: 4.6 + 23.0 * 0.15 },
];

/// The result for one customer; all amounts are in units.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// The customer's number.
    pub customer: u64,
    /// Its plan.
    pub plan: Plan,
    /// What it requests, as a multiple of its quota's rate.
    pub demand: f64,
    /// Units requested.
    pub requested: f64,
    /// Units of requests that reached a save node, by their first attempts.
    pub sent: f64,
    /// Units that one bucket which sees all requests would let through.
    pub ideal: f64,
    /// Units sent although the quota's bucket did not hold them.
    pub over_quota: f64,
    /// Units refused or failed although the quota's bucket held them.
    pub wrongly_refused: f64,
    /// The most that the quota allows during the scenario: its burst and its rate times the length.
    pub allowance: f64,
    /// How far the ceiling's bucket went below its slack; 0 if it never did.
    pub ceiling_excess: f64,
}

impl Outcome {
    /// How much more than the allowance was sent, as a share of the allowance.
    pub fn overshoot(&self) -> f64 {
        (self.sent / self.allowance - 1.0).max(0.0)
    }
}

/// A token bucket; `at` is the time of the last refill, in seconds from the start.
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
    fn refill(&mut self, at: f64) -> f64 {
        self.level = (self.level + self.rate * (at - self.at).max(0.0)).min(self.burst);
        self.at = self.at.max(at);
        self.level
    }
    fn take(&mut self, at: f64, units: f64) -> bool {
        let holds = self.refill(at) >= units;
        self.level -= if holds { units } else { 0.0 };
        holds
    }
}

/// A request as its client recorded it.
#[derive(Debug, Clone)]
struct SentRequest {
    customer: u64,
    call_id: String,
    units: f64,
    at: Instant,
    ended: Instant,
}

/// Idle kept-alive connections by gateway.
type IdleConnections = Arc<Mutex<BTreeMap<SocketAddr, Vec<TcpStream>>>>;

/// Sends a request on an idle connection, or on a new one if there is none or it fails, and returns the answer's status.
async fn send_request(idle: &IdleConnections, to: SocketAddr, request: &str) -> Option<u16> {
    let kept = idle.lock().expect("no thread panicked under the lock").get_mut(&to).and_then(Vec::pop);
    if let Some(stream) = kept {
        if let Some(status) = exchange(idle, to, stream, request).await {
            return Some(status);
        }
    }
    let stream = TcpStream::connect(to).await.ok()?;
    exchange(idle, to, stream, request).await
}

/// Sends a request on this connection and reads the whole answer. Returns its status, or `None` if the connection fails.
async fn exchange(
    idle: &IdleConnections,
    to: SocketAddr,
    mut stream: TcpStream,
    request: &str,
) -> Option<u16> {
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
        idle.lock().expect("no thread panicked under the lock").entry(to).or_default().push(stream);
    }
    Some(status)
}

/// The configuration of gateway `me`. With `peers`, the message addresses of all gateways, it may exchange messages
/// with the others.
fn gateway_config(
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
        let peer_settings =
            format!(r#""peer_listen":"{}","peers":[{}],"settings":"#, peers[me], all.join(","));
        text = text
            .replace(r#""settings":"#, &peer_settings)
            .replace(r#""max_attempts":3"#, r#""max_attempts":3,"peer_messages":true"#)
            .replace(r#""units_top":2"#, r#""units_top":2,"peer_in_per_s":60"#);
    }
    text
}

/// The running fleet. Both counters share their totals unless they are split.
struct Fleet {
    program: String,
    discovery: SocketAddr,
    counters: [Counter; 2],
    gateways: usize,
    peers: Option<Vec<SocketAddr>>,
    /// The gateway processes; `None` for killed ones.
    processes: Vec<Option<Node>>,
    saved: Totals,
}

impl Fleet {
    /// Starts gateway `me` and waits until it is ready.
    fn start(&mut self, me: usize) {
        let counter_index = usize::from(me % self.gateways >= self.gateways.div_ceil(2));
        let gateways = self.gateways.max(me + 1);
        let counter = self.counters[counter_index].address;
        let config = gateway_config(self.discovery, counter, me, gateways, self.peers.as_deref());
        let command = program(&self.program, &config);
        let node = tokio::task::block_in_place(|| {
            let node = Node::spawn(command);
            node.wait_ready();
            node
        });
        if self.processes.len() <= me {
            self.processes.resize_with(me + 1, || None);
        }
        self.processes[me] = Some(node);
    }
    fn apply(&mut self, fault: &Fault) {
        let [first, second] = &self.counters;
        match fault {
            Fault::SetMode(mode) => self.counters.iter().for_each(|c| c.set_mode(*mode)),
            Fault::ClearTotals => first.replace(Totals::default()),
            Fault::SaveTotals => self.saved = first.snapshot(),
            Fault::RestoreTotals => first.replace(self.saved.clone()),
            Fault::Split => {
                self.saved = first.snapshot();
                second.separate_totals();
            }
            Fault::KeepFirst => second.share_totals_of(first),
            Fault::Merge => {
                first.replace(first.snapshot().merged(&second.snapshot(), &self.saved));
                second.share_totals_of(first);
            }
            Fault::StartEmpty => {
                first.replace(Totals::default());
                second.share_totals_of(first);
            }
            Fault::Kill(me) => drop(self.processes.get_mut(*me).and_then(Option::take)),
            Fault::Start(me) => self.start(*me),
        }
    }
    /// The address of gateway `me`, or of the next one that runs.
    fn address(&self, me: usize) -> Option<SocketAddr> {
        let n = self.processes.len();
        (0..n).find_map(|i| self.processes[(me + i) % n].as_ref()).map(|node| node.address)
    }
}

/// Free UDP addresses for messages between gateways. The sockets are closed again so that gateways can bind them.
fn free_udp_addresses(count: usize) -> Vec<SocketAddr> {
    let sockets: Vec<_> =
        (0..count).map(|_| std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port")).collect();
    sockets.iter().map(|socket| socket.local_addr().expect("a bound address")).collect()
}

/// Runs a scenario with gateways of the program at `path` and this many customers. With `messages`, gateways exchange
/// messages about quotas.
pub async fn run_scenario(path: &str, scenario: &Scenario, customers: usize, messages: bool) -> Vec<Outcome> {
    let (nodes, discovery) = start_nodes(4).await;
    let counters = [
        Counter::start(2, Duration::from_micros(300)).await,
        Counter::start(2, Duration::from_micros(300)).await,
    ];
    counters[1].share_totals_of(&counters[0]);
    let mut fleet = Fleet {
        program: path.to_string(),
        discovery: discovery.stub.address,
        counters,
        gateways: scenario.gateways,
        peers: messages.then(|| free_udp_addresses(scenario.gateways + 2)),
        processes: Vec::new(),
        saved: Totals::default(),
    };
    (0..scenario.gateways).for_each(|me| fleet.start(me));
    let mut rng = fastrand::Rng::with_seed(scenario.seed);
    // In turn: below the quota, all of it, and far more than it.
    let demands: Vec<f64> =
        (0..customers).map(|i| [0.6, 1.0, 1.8, 3.0][i % 4] * (0.9 + 0.2 * rng.f64())).collect();
    let (start, idle) = (Instant::now(), IdleConnections::default());
    let permits = Arc::new(Semaphore::new(MAX_OPEN_REQUESTS));
    let mut open = tokio::task::JoinSet::new();
    let mut faults = scenario.faults.iter().peekable();
    let mut tick = tokio::time::interval(Duration::from_millis(5));
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let (mut last, mut requests) = (0.0, 0_u64);
    while last < scenario.seconds {
        tick.tick().await;
        let now = start.elapsed().as_secs_f64();
        while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= now) {
            fleet.apply(fault);
        }
        for (i, demand) in demands.iter().enumerate() {
            let plan = PLANS[(i / 4) % PLANS.len()];
            // A request has one or two units, 1.5 in the mean.
            let expected = demand * plan.quota.0 / 1.5 * (now - last);
            let n = expected.floor() as usize + usize::from(rng.f64() < expected.fract());
            for _ in 0..n {
                let preferred = (now / scenario.gateway_change_s) as usize + i;
                let me =
                    if rng.f64() < 0.8 { preferred } else { rng.usize(0..64) } % fleet.processes.len().max(1);
                let Some(to) = fleet.address(me) else { continue };
                let units = f64::from(rng.u32(1..=2));
                requests += 1;
                let (customer, call_id) = (FIRST_CUSTOMER + i as u64, format!("{requests:016x}"));
                let spread = scenario.gateways;
                let request = format!(
                    "GET /api?customer={customer:016x}&u={units} HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: {call_id}\r\n\
                    X-Call-Class: look\r\nX-Plan: {}\r\nX-Budget-Ms: 3000\r\nX-Quota: units={units},spread={spread},first=0\r\n\r\n",
                    plan.name
                );
                let (idle, permits, at) = (idle.clone(), permits.clone(), Instant::now());
                open.spawn(async move {
                    let _permit = permits.acquire_owned().await;
                    let _ = tokio::time::timeout(ANSWER_TIMEOUT, send_request(&idle, to, &request)).await;
                    SentRequest { customer, call_id, units, at, ended: Instant::now() }
                });
            }
        }
        last = now;
    }
    let mut requests = Vec::new();
    while let Some(one) = open.join_next().await {
        requests.extend(one.ok());
    }
    requests.sort_by_key(|r| r.at);
    evaluate(&nodes, &requests, &demands, start, scenario.seconds)
}

/// Compares what save nodes received with the token buckets of each customer.
fn evaluate(
    nodes: &[SaveNode],
    requests: &[SentRequest],
    demands: &[f64],
    start: Instant,
    seconds: f64,
) -> Vec<Outcome> {
    let mut attempts: Vec<_> = nodes.iter().flat_map(SaveNode::attempts).collect();
    attempts.sort_by_key(|a| a.at);
    let mut first_attempts: BTreeMap<&str, f64> = BTreeMap::new();
    let secs = |at: Instant| at.saturating_duration_since(start).as_secs_f64();
    for attempt in &attempts {
        first_attempts.entry(&attempt.call_id).or_insert(secs(attempt.at));
    }
    let customers: HashSet<u64> = (0..demands.len()).map(|i| FIRST_CUSTOMER + i as u64).collect();
    let mut all: Vec<Outcome> = customers
        .into_iter()
        .map(|customer| {
            let i = (customer - FIRST_CUSTOMER) as usize;
            let plan = PLANS[(i / 4) % PLANS.len()];
            let (mut quota, mut ideal) = (Bucket::new(plan.quota), Bucket::new(plan.quota));
            let mut ceiling = plan.ceiling.map(Bucket::new);
            let mut outcome = Outcome {
                customer,
                plan,
                demand: demands[i],
                requested: 0.0,
                sent: 0.0,
                ideal: 0.0,
                over_quota: 0.0,
                wrongly_refused: 0.0,
                allowance: plan.quota.1 + plan.quota.0 * seconds,
                ceiling_excess: 0.0,
            };
            let own = || requests.iter().filter(|r| r.customer == customer);
            for request in own() {
                outcome.requested += request.units;
                let passes = ideal.take(secs(request.at), request.units);
                outcome.ideal += if passes { request.units } else { 0.0 };
            }
            // Requests in order of their effect: time of the first attempt or of the refusal, whether sent, units.
            let mut events: Vec<(f64, bool, f64)> = own()
                .map(|r| {
                    first_attempts
                        .get(r.call_id.as_str())
                        .map_or((secs(r.ended), false, r.units), |at| (*at, true, r.units))
                })
                .collect();
            events.sort_by(|a, b| a.0.total_cmp(&b.0));
            for (at, sent, units) in events {
                if !sent {
                    outcome.wrongly_refused += if quota.refill(at) >= units { units } else { 0.0 };
                    continue;
                }
                outcome.sent += units;
                outcome.over_quota += if quota.take(at, units) { 0.0 } else { units };
                if let Some(ceiling) = &mut ceiling {
                    ceiling.refill(at);
                    ceiling.level -= units;
                    outcome.ceiling_excess = outcome.ceiling_excess.max(-ceiling.level - plan.slack);
                }
            }
            outcome
        })
        .collect();
    all.sort_by_key(|o| o.customer);
    all
}

/// All scenarios, each with the seeds from 1 to `seeds`.
pub fn scenarios(seeds: u64) -> Vec<Scenario> {
    use Fault::*;
    let outage = |mode: Mode, from: f64, to: f64| vec![(from, SetMode(mode)), (to, SetMode(Mode::Normal))];
    // Name, gateways, seconds, seconds between changes of the gateway, faults.
    type Kind = (&'static str, usize, f64, f64, Vec<(f64, Fault)>);
    let mut kinds: Vec<Kind> = vec![
        ("sound", 4, 20.0, 4.0, vec![]),
        ("refuses 14 s, studios move", 4, 28.0, 3.0, outage(Mode::Refuse, 4.0, 18.0)),
        ("stalls 14 s, studios move", 3, 28.0, 3.0, outage(Mode::Stall, 4.0, 18.0)),
        ("turns away 10 s", 4, 24.0, 4.0, outage(Mode::Unavailable, 4.0, 14.0)),
        ("crawls 10 s", 4, 24.0, 4.0, outage(Mode::Slow(40.0), 4.0, 14.0)),
        ("every third answer spoilt", 4, 24.0, 4.0, outage(Mode::CorruptAnswers(3), 4.0, 14.0)),
        ("split 20 s, one half wins", 4, 34.0, 4.0, vec![(4.0, Split), (24.0, KeepFirst)]),
        ("split 20 s, merged", 4, 34.0, 4.0, vec![(4.0, Split), (24.0, Merge)]),
        ("split 20 s, then empty", 4, 34.0, 4.0, vec![(4.0, Split), (24.0, StartEmpty)]),
        ("emptied twice in a window", 4, 24.0, 4.0, vec![(6.0, ClearTotals), (9.0, ClearTotals)]),
        (
            "set back twice in a window",
            4,
            24.0,
            4.0,
            vec![(4.0, SaveTotals), (7.0, RestoreTotals), (10.0, RestoreTotals)],
        ),
    ];
    let mut restart = outage(Mode::Refuse, 4.0, 14.0);
    restart.extend([(7.0, Kill(1)), (9.0, Start(1)), (11.0, Start(4))]);
    restart.sort_by(|a, b| a.0.total_cmp(&b.0));
    kinds.push(("down, one killed and back, a fifth joins", 4, 26.0, 4.0, restart));
    let mut second_stall = outage(Mode::Stall, 4.0, 9.0);
    second_stall.extend(outage(Mode::Stall, 9.5, 14.0));
    kinds.push(("dies as it returns", 4, 26.0, 4.0, second_stall));
    let with_seed =
        |seed: u64| {
            kinds.clone().into_iter().map(move |(name, gateways, seconds, gateway_change_s, faults)| {
                Scenario { name, seed, gateways, seconds, gateway_change_s, faults }
            })
        };
    (1..=seeds).flat_map(with_seed).collect()
}
