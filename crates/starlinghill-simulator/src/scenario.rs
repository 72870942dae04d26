//! A run: operators who order and read, troubles that a seed decides, and a quiet end after which all must be well.

use crate::checker::{Attempt, Held, History, InForce, Items, Order, Read, APPLY, RATION, RATIONED};
use crate::cluster::{ip, World};
use crate::{backends, faults};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use starlinghill_registry::wire::{RegistryRequest, RegistryResponse};
use starlinghill_runtime::net::NetworkHandle;
use starlinghill_runtime::rpc::RpcClient;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout, Instant};

/// What is played.
#[derive(Debug, Clone)]
pub struct Play {
    /// What decides all of it.
    pub seed: u64,
    /// For how long there are troubles.
    pub troubled: Duration,
    /// Disks say that they have synced before they have: a fault that must be found.
    pub disks_lie: bool,
    /// Disks are lost before what was lost last is made up for: more than is borne, which must be found.
    pub losses_overlap: bool,
    /// How many times longer cuts may last, and backends live, than by default.
    pub stretch: u64,
}

impl Play {
    /// As it is played by default.
    pub fn of(seed: u64) -> Play {
        Play { seed, troubled: Duration::from_secs(16), disks_lie: false, losses_overlap: false, stretch: 1 }
    }

    /// A long day, with cuts that outlast all that registries and gateways wait for.
    pub fn long(seed: u64) -> Play {
        Play { troubled: Duration::from_secs(90), stretch: 8, ..Play::of(seed) }
    }
}

/// The machines of the core at the beginning, addresses for those that come later, and gateways.
const FOUNDERS: usize = 3;
const SPARES: usize = 3;
const GATEWAYS: usize = 2;
/// Backends at a time.
const BACKENDS: usize = 3;
/// Orders that are under way at once, by two operators.
const SLOTS: usize = 6;
const ITEMS: usize = 3;
const CONFIG: &str = "/api/config";
/// An operator goes elsewhere after this.
const PATIENCE: Duration = Duration::from_millis(1_000);
/// So often an order is sent again where no clear answer came.
const TRIES: usize = 8;
/// Before the first trouble, and after the last.
const CALM: Duration = Duration::from_millis(2_000);
/// What a store that was wiped, a count and a gateway may take until all is well again.
const RECOVERY: Duration = Duration::from_secs(6);
/// How often gateways and holders are looked at.
const LOOK: Duration = Duration::from_millis(100);

/// A run under way.
pub struct Run {
    /// The machines.
    pub world: World,
    /// What was seen.
    pub seen: RefCell<History>,
    /// Chances of callers and troubles.
    pub rng: RefCell<fastrand::Rng>,
    start: Instant,
    /// Counts troubles of each member's programs and of its links to operators.
    pub disturbed: RefCell<Vec<u64>>,
    /// A machine is about to go for good: until it has, no other disk may be lost.
    pub is_losing: Cell<bool>,
    /// Disks are lost whatever was lost before.
    pub losses_overlap: bool,
    /// How many times longer cuts may last, and backends live, than by default.
    pub stretch: u64,
    highest: RefCell<BTreeMap<String, u64>>,
    /// Callers end.
    pub over: Cell<bool>,
    /// Backends that beat now, and since when one of their beats was acknowledged.
    pub beating: RefCell<BTreeMap<String, Duration>>,
}

/// Plays it, and tells what was seen.
pub fn play(play: &Play) -> History {
    fastrand::seed(play.seed);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.expect("a runtime");
    let tasks = LocalSet::new();
    let seen = tasks.block_on(&runtime, run(play));
    drop(tasks);
    seen
}

async fn run(play: &Play) -> History {
    let run = Rc::new(Run {
        world: World::new(play.seed, FOUNDERS, SPARES, GATEWAYS),
        seen: RefCell::default(),
        rng: RefCell::new(fastrand::Rng::with_seed(!play.seed)),
        start: Instant::now(),
        disturbed: RefCell::new(vec![0; FOUNDERS + SPARES]),
        is_losing: Cell::new(false),
        losses_overlap: play.losses_overlap,
        stretch: play.stretch,
        highest: RefCell::default(),
        over: Cell::new(false),
        beating: RefCell::default(),
    });
    run.world.cores.iter().for_each(|core| core.disk.borrow_mut().lies = play.disks_lie);
    for i in 0..FOUNDERS {
        run.world.start_store(i);
        run.world.start_registry(i, true);
    }
    (0..GATEWAYS).for_each(|i| run.world.start_gateway(i));
    faults::first_start(&run).await;
    let mut callers = Vec::new();
    for slot in 0..SLOTS {
        callers.push(spawn_local(operator(run.clone(), ip(2, slot % 2))));
    }
    callers.push(spawn_local(reader(run.clone(), ip(2, 2))));
    (0..BACKENDS).for_each(|slot| callers.push(spawn_local(backends::lives(run.clone(), slot))));
    spawn_local(watch_gateways(run.clone()));
    (0..FOUNDERS + SPARES).for_each(|i| drop(spawn_local(watch_holder(run.clone(), i))));
    sleep(CALM).await;
    run.give_ration().await;
    faults::all(run.clone(), play.troubled).await;
    sleep(RECOVERY).await;
    for i in 0..GATEWAYS {
        let listed = run.world.listed(i);
        for (id, since) in run.beating.borrow().iter() {
            if run.now() - *since > APPLY && !listed.contains(id) {
                let what = format!("gateway {i} does not know {id}, which beats since {since:?}");
                run.seen.borrow_mut().at_once.push(what);
            }
        }
    }
    run.over.set(true);
    for caller in callers {
        caller.await.expect("callers end");
    }
    last_words(&run).await;
    let ended = run.world.ended.take();
    run.seen.borrow_mut().at_once.extend(ended);
    run.seen.borrow_mut().granted = run.world.granted.take();
    run.seen.borrow_mut().epoch = run.world.members().epoch;
    // What still runs ends here, and holds the run no longer.
    (0..FOUNDERS + SPARES).for_each(|i| run.world.power_off(i, true));
    run.world.gateways.iter().for_each(|gateway| gateway.process.borrow().kill());
    run.seen.take()
}

/// All is well again: each member takes an order and tells all, and gateways go by it.
async fn last_words(run: &Rc<Run>) {
    if !run.world.is_whole() {
        let what = format!("not all that is promised is on disks: {:?}", run.world.members());
        run.seen.borrow_mut().at_once.push(what);
    }
    for core in run.world.there() {
        let order = run.order(true);
        if run.attempt(ip(2, 0), order, core).await != Some(200) {
            let what = format!("member {core} takes no order though all is well");
            run.seen.borrow_mut().at_once.push(what);
        }
        if !run.read(ip(2, 2), core).await {
            let what = format!("member {core} reads nothing though all is well");
            run.seen.borrow_mut().at_once.push(what);
        }
    }
    sleep(APPLY + LOOK + LOOK).await;
    for i in 0..GATEWAYS {
        if run.world.in_force(i).is_none_or(|(ready, _)| !ready) {
            run.seen.borrow_mut().at_once.push(format!("gateway {i} does not serve though all is well"));
        }
    }
}

impl Run {
    /// Since the beginning.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Some machine of the core.
    pub fn any_core(&self) -> usize {
        let there = self.world.there();
        there[self.draw(there.len())]
    }

    /// The tenant that gateways draw from gets its quota.
    async fn give_ration(&self) {
        let key = format!("k-{RATIONED}");
        let order = Order { item: RATIONED.into(), version: RATION, content: RATION, key };
        let number = {
            let mut seen = self.seen.borrow_mut();
            seen.orders.push(order);
            seen.orders.len() - 1
        };
        for _ in 0..TRIES {
            if self.attempt(ip(2, 0), number, self.any_core()).await == Some(200) {
                return;
            }
        }
        self.seen.borrow_mut().at_once.push("the first order is not taken".into());
    }

    /// A number below another one.
    pub fn draw(&self, below: usize) -> usize {
        self.rng.borrow_mut().usize(0..below)
    }

    /// A time between two, in milliseconds.
    pub fn ms(&self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.rng.borrow_mut().u64(from..=to))
    }

    /// A new order: mostly under the next number, at times, unless that is wanted, under one that somebody else has or had.
    fn order(&self, fresh: bool) -> usize {
        // What is ordered when all is well is nobody else's: it must be taken.
        let item = if fresh { "last".to_string() } else { format!("t-{}", self.draw(ITEMS)) };
        let mut highest = self.highest.borrow_mut();
        let highest = highest.entry(item.clone()).or_default();
        let version = match self.draw(8) {
            _ if fresh => *highest + 1,
            0 => (*highest).max(1),
            1 => highest.saturating_sub(1).max(1),
            _ => *highest + 1,
        };
        *highest = version.max(*highest);
        let mut seen = self.seen.borrow_mut();
        let number = seen.orders.len();
        let content = if self.draw(12) == 0 { 0 } else { number as u64 + 1 };
        // At times a key that another tenant has, or may have.
        let owner =
            if !fresh && self.draw(6) == 0 { format!("t-{}", self.draw(ITEMS)) } else { item.clone() };
        seen.orders.push(Order { item, version, content, key: format!("k-{owner}") });
        number
    }

    async fn attempt(&self, from: IpAddr, order: usize, core: usize) -> Option<u16> {
        let Order { item, version, content, key } = self.seen.borrow().orders[order].clone();
        let body = match content {
            0 => format!(r#"{{"remove":{{"customers":[{{"name":"{item}","version":"r{version}"}}]}}}}"#),
            _ => format!(
                r#"{{"upsert":{{"customers":[{{"name":"{item}","api_keys":["{key}"],"priority":0,"rate_per_s":{content},"burst":{version},"version":"r{version}"}}]}}}}"#
            ),
        };
        let (asked, before) = (self.now(), self.disturbed.borrow()[core]);
        let net = self.world.fabric.at(from);
        let answer = call(&net, self.world.control(core), Method::PATCH, CONFIG, body.into_bytes()).await;
        let reachable = before == self.disturbed.borrow()[core]
            && self.world.fabric.is_calm()
            && self.world.is_well(core)
            && self.world.linked(from, self.world.cores[core].ip);
        let status = answer.map(|(status, _)| status);
        let (at, answered) = (self.world.cores[core].ip, self.now());
        let attempt = Attempt { order, at, asked, answered, status, reachable };
        self.seen.borrow_mut().attempts.push(attempt);
        status
    }

    async fn read(&self, from: IpAddr, core: usize) -> bool {
        let asked = self.now();
        let net = self.world.fabric.at(from);
        let answer = call(&net, self.world.control(core), Method::GET, CONFIG, Vec::new()).await;
        let Some((200, body)) = answer else { return false };
        let (at, answered) = (self.world.cores[core].ip, self.now());
        match items(&body) {
            Some(items) => self.seen.borrow_mut().reads.push(Read { at, asked, answered, items }),
            None => self.seen.borrow_mut().at_once.push(format!("read at {at}: {body:?}")),
        }
        true
    }
}

async fn operator(run: Rc<Run>, from: IpAddr) {
    while !run.over.get() {
        sleep(run.ms(20, 900)).await;
        let order = run.order(false);
        for _ in 0..TRIES {
            let core = run.any_core();
            match run.attempt(from, order, core).await {
                Some(status) if status < 500 => break,
                _ => sleep(run.ms(1, 250)).await,
            }
        }
    }
}

async fn reader(run: Rc<Run>, from: IpAddr) {
    while !run.over.get() {
        sleep(run.ms(20, 400)).await;
        run.read(from, run.any_core()).await;
    }
}

/// One call from outside, over a connection of its own; `None` where no answer came in time.
pub async fn call(
    net: &NetworkHandle,
    to: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Option<(u16, Bytes)> {
    let called = async {
        let stream = net.connect(to).await.ok()?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let connection = spawn_local(connection);
        let request = Request::builder().method(method).uri(path).header("host", "core");
        let request = request.body(Full::new(Bytes::from(body))).ok()?;
        let answer = sender.send_request(request).await.ok();
        let answer = match answer {
            Some(answer) => {
                Some((answer.status().as_u16(), answer.into_body().collect().await.ok()?.to_bytes()))
            }
            None => None,
        };
        connection.abort();
        answer
    };
    timeout(PATIENCE, called).await.ok()?
}

/// Reads what an operator reads back; nothing where it makes no sense, as where two tenants hold one key.
fn items(body: &[u8]) -> Option<Items> {
    let value = simd_json::to_owned_value(&mut body.to_vec()).ok()?;
    let item = |customer: &OwnedValue| {
        let name = customer.get_str("name")?.to_string();
        Some((name, (customer.get_u64("burst")?, customer.get_u64("rate_per_s")?)))
    };
    let customers = value.get_array("customers")?;
    let key = |customer: &OwnedValue| Some(customer.get_array("api_keys")?.first()?.as_str()?.to_string());
    let keys: BTreeSet<String> = customers.iter().map(key).collect::<Option<_>>()?;
    customers.iter().map(item).collect::<Option<Items>>().filter(|_| keys.len() == customers.len())
}

/// Looks again and again at what is in force, and at whom gateways are in touch with.
async fn watch_gateways(run: Rc<Run>) {
    let world = &run.world;
    let mut since = vec![vec![None; FOUNDERS + SPARES]; GATEWAYS];
    let mut lives = [0; GATEWAYS];
    loop {
        sleep(LOOK).await;
        for (i, gateway) in world.gateways.iter().enumerate() {
            let now = run.now();
            if std::mem::replace(&mut lives[i], gateway.life.get()) != gateway.life.get() {
                since[i].fill(None);
            }
            let Some((ready, items)) = world.in_force(i) else {
                since[i].fill(None);
                continue;
            };
            if !world.has_keys_apart(i) {
                let what = format!("two tenants hold one key at gateway {i} in {now:?}");
                run.seen.borrow_mut().at_once.push(what);
            }
            let (mut longest, mut all) = (Duration::ZERO, None::<Duration>);
            for (j, since) in since[i].iter_mut().enumerate() {
                let touches = world.fabric.is_calm()
                    && world.has_majority(j)
                    && world.linked(gateway.ip, world.cores[j].ip);
                let began = *since.get_or_insert(now);
                match touches {
                    true => longest = longest.max(now - began),
                    false => *since = None,
                }
                if world.has_majority(j) {
                    let long = if touches { now - began } else { Duration::ZERO };
                    all = Some(all.map_or(long, |all| all.min(long)));
                }
            }
            let in_full_touch = all.unwrap_or_default();
            let (life, at) = (gateway.life.get(), now);
            let backends = world.listed(i);
            let seen =
                InForce { gateway: i, life, at, ready, in_touch: longest, in_full_touch, items, backends };
            run.seen.borrow_mut().in_force.push(seen);
        }
    }
}

/// Asks a registry, on its own machine, whether it holds the count.
async fn watch_holder(run: Rc<Run>, core: usize) {
    let at = run.world.cores[core].ip;
    let caller = RpcClient::new(&run.world.fabric.at(at), run.world.own(core));
    loop {
        sleep(LOOK).await;
        let asked = run.now();
        if let Ok(RegistryResponse::Status(status)) =
            caller.call(&RegistryRequest::Status, Duration::from_secs(30)).await
        {
            let (answered, rack) = (run.now(), at);
            if let Some((term, _)) = status.counter_holder.filter(|_| status.counter.is_some()) {
                run.seen.borrow_mut().held.push(Held { rack, term, asked, answered });
            }
        }
    }
}
