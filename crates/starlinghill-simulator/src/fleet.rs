//! A fleet of gateways' decisions and one counter in simulated time: messages take time, gateways stand still, are cut off
//! or started again, and the count moves. What went on to backends is held against the rules of one tenant's quota.
//!
//! Decisions, the gateways' side of the count and the counter are the real ones; connections are simulated here.

use starlinghill_decision::api::*;
use starlinghill_decision::Gateway;
use starlinghill_proxy::decision_settings;
use starlinghill_proxy::quota_client::DRAW_TIMEOUT;
use starlinghill_quota_counter::{Draw, QuotaClient, QuotaCounter, QuotaLevel, KEEPALIVE_INTERVAL};
use starlinghill_runtime::settings::Bounds;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};
use std::time::Duration;

/// The tenant's quota: units a second, and at once.
pub const RATE: f64 = 100.0;
/// The same.
pub const BURST: f64 = 100.0;
const EXCESS: f64 = 0.1;
const EXTRA: f64 = 20.0;
const WINDOW: Duration = Duration::from_secs(5);
const CUSTOMER: CustomerId = CustomerId(5);
const SERVERS: u64 = 8;
/// Where the clocks begin.
const BEGINNING: u64 = 100_000_000;
/// A connection on which no answer comes for so long is given up, as the proxy's line to the counter does.
const SILENCE: u64 = 450_000;
/// A gateway that is gone is known to be after so long.
const DEAD_AFTER: u64 = 2_200_000;
const ON_THE_WAY: u64 = 1_000;
/// Debts are told so long after they were made, or with the next draw.
const TELL: u64 = 20_000;

/// What the rules allow in one window.
pub fn allowed() -> f64 {
    (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + EXCESS) + EXTRA
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Request(usize),
    /// The counter's answer to the oldest message of that connection.
    Answered(usize, u64),
    GivenUp(usize, u64),
    Timer(usize, u64),
    KeepInTouch(usize),
    TellDebts(usize),
    Tick,
    /// A gateway that was killed is started again.
    Starts(usize),
    /// Another counter begins.
    CounterBegins,
}

/// One message to the counter that is out, with the answer that will come; none where it is lost.
struct Sent {
    call: Option<u64>,
    draw: Option<Draw>,
    answer: Option<QuotaLevel>,
}

struct Proxy {
    incarnation: u64,
    module: Gateway,
    client: QuotaClient,
    /// The connection to the counter, where there is one.
    connection: Option<u64>,
    /// Something was lost on it: no answer comes any more.
    broken: bool,
    sent: VecDeque<Sent>,
    heard: u64,
    /// Draws that the module waits for, the oldest first.
    calls: Vec<u64>,
    stands_still_until: u64,
    cut_until: u64,
    /// Its messages still arrive while it is cut off, and no answer comes back.
    cut_one_way: bool,
    runs: bool,
}

/// What a fleet is to be played with.
#[derive(Debug, Clone, Copy)]
pub struct Play {
    /// All chance comes from it.
    pub seed: u64,
    /// How many there are.
    pub gateways: usize,
    /// Of how many answers one finds its gateway standing still.
    pub one_late_in: u64,
}

/// The fleet, with the clients of one tenant.
pub struct Fleet {
    rng: fastrand::Rng,
    now: u64,
    serial: u64,
    one_late_in: u64,
    gauge: Option<QuotaCounter>,
    term: u64,
    /// Of counters that are gone.
    violations: u64,
    /// Incarnations that are gone, and since when.
    gone: Vec<(u64, u64)>,
    proxies: Vec<Proxy>,
    queue: BinaryHeap<Reverse<(u64, u64, What)>>,
    /// When each request went on to a backend.
    pub granted: Vec<u64>,
    /// How many requests were refused or failed.
    pub refused: u64,
    /// How many draws were answered too late for their requests.
    pub late: u64,
}

fn bounds() -> Bounds {
    Bounds {
        drain: Duration::from_millis(2_500),
        apply: Duration::from_millis(2_500),
        sync_time: Duration::from_secs(4),
        grace: Duration::from_secs(6),
        retry_ratio: 0.2,
        retry_extra: 60.0,
        quota_window: WINDOW,
        quota_excess: EXCESS,
        quota_extra: EXTRA,
    }
}

fn module(seed: u64, me: u32, gateways: u32) -> Gateway {
    let class = Class {
        target: Micros(400_000),
        deadline: Micros(2_000_000),
        worth: 1.0,
        late_worth: 0.5,
        effect: Effect::Safe,
        group: Group::All,
        window: Micros(0),
        stream: false,
    };
    let nobody = decision_settings::settings(ZoneId(0), &bounds()).plans.remove(0);
    let plans = vec![nobody.clone(), Plan { rate: RATE, burst: BURST, ..nobody }];
    let settings = Settings {
        gateways,
        me,
        plans,
        classes: vec![class],
        ..decision_settings::settings(ZoneId(0), &bounds())
    };
    let mut module = Gateway::new(seed, settings).expect("sound settings");
    let server = |i| ServerEntry {
        server: ServerId(i),
        service: ServiceId(1),
        zone: ZoneId(0),
        cell: CellId(i),
        listed: Listed::InService,
        weight: 1.0,
        started: None,
    };
    let servers = (1..=SERVERS).map(server).collect();
    module.handle(Micros(BEGINNING), Event::Servers(ListScope::Complete, servers), &mut Vec::new());
    module
}

impl Proxy {
    fn new(seed: u64, now: u64, at: usize, gateways: usize) -> Proxy {
        Proxy {
            incarnation: at as u64 + 1,
            module: module(seed ^ at as u64, at as u32, gateways as u32),
            client: QuotaClient::new(Duration::from_micros(now)),
            connection: None,
            broken: false,
            sent: VecDeque::new(),
            heard: now,
            calls: Vec::new(),
            stands_still_until: 0,
            cut_until: 0,
            cut_one_way: false,
            runs: true,
        }
    }
}

impl Fleet {
    /// One that begins, with all gateways in touch with the counter.
    pub fn new(play: Play) -> Fleet {
        let Play { seed, gateways, one_late_in } = play;
        let lives = 1..=gateways as u64;
        let began = Duration::from_micros(BEGINNING);
        let mut fleet = Fleet {
            rng: fastrand::Rng::with_seed(seed),
            now: BEGINNING,
            serial: 0,
            one_late_in,
            gauge: Some(QuotaCounter::start(began, 1, true, bounds().allowance(), lives)),
            term: 1,
            violations: 0,
            gone: Vec::new(),
            proxies: (0..gateways).map(|i| Proxy::new(seed, BEGINNING, i, gateways)).collect(),
            queue: BinaryHeap::new(),
            granted: Vec::new(),
            refused: 0,
            late: 0,
        };
        (0..gateways).for_each(|at| fleet.connect(at));
        fleet.after(0, What::Tick);
        fleet
    }

    /// The first so many gateways reach the counter no more for so long.
    pub fn cut(&mut self, gateways: usize, span: Duration) {
        (0..gateways).for_each(|at| self.cut_one(at, span, false));
    }

    /// A gateway does not hear the counter for so long, and is not heard either, but where it is cut off one way.
    pub fn cut_one(&mut self, at: usize, span: Duration, one_way: bool) {
        let until = self.now + span.as_micros() as u64;
        let proxy = &mut self.proxies[at];
        (proxy.cut_until, proxy.cut_one_way) = (until, one_way);
    }

    /// A gateway's process is killed, and another one starts there after so long.
    pub fn restart(&mut self, at: usize, after: Duration) {
        if self.proxies[at].runs {
            self.gone.push((self.proxies[at].incarnation, self.now));
            self.proxies[at].runs = false;
            self.proxies[at].connection = None;
            self.after(after.as_micros() as u64, What::Starts(at));
        }
    }

    /// Whoever keeps the count is lost, and another one begins after so long.
    pub fn move_counter(&mut self, after: Duration) {
        if let Some(gauge) = self.gauge.take() {
            self.violations += gauge.violations();
            self.after(after.as_micros() as u64, What::CounterBegins);
        }
    }

    /// How many gateways there are.
    pub fn gateways(&self) -> usize {
        self.proxies.len()
    }

    fn starts(&mut self, at: usize) {
        self.serial += 1;
        let cut_until = self.proxies[at].cut_until;
        let new = Proxy::new(self.serial, self.now, at, self.proxies.len());
        self.proxies[at] = Proxy { incarnation: self.serial + 1_000, cut_until, ..new };
    }

    fn counter_begins(&mut self) {
        self.term += 1;
        let lives = self.proxies.iter().map(|proxy| proxy.incarnation).collect::<Vec<_>>();
        self.gauge = Some(QuotaCounter::start(self.instant(), self.term, false, bounds().allowance(), lives));
        // The connections to the one before are of no use.
        (0..self.proxies.len()).for_each(|at| self.lose(at));
    }

    /// So many requests a second come, at any gateway.
    pub fn run(&mut self, span: Duration, per_s: f64) {
        let until = self.now + span.as_micros() as u64;
        for _ in 0..(per_s * span.as_secs_f64()) as usize {
            let (at, after) = (self.rng.usize(0..self.proxies.len()), self.rng.u64(0..until - self.now));
            self.after(after, What::Request(at));
        }
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= until) {
            let Some(Reverse((at, _, what))) = self.queue.pop() else { break };
            self.now = at;
            self.take(what);
        }
        self.now = until;
    }

    /// The most requests that went on in any window.
    pub fn busiest(&self) -> usize {
        let window = WINDOW.as_micros() as u64;
        let sent_until = |i: usize| self.granted.partition_point(|at| *at <= self.granted[i] + window);
        (0..self.granted.len()).map(|i| sent_until(i) - i).max().unwrap_or_default()
    }

    fn after(&mut self, micros: u64, what: What) {
        self.serial += 1;
        self.queue.push(Reverse((self.now + micros, self.serial, what)));
    }

    fn instant(&self) -> Duration {
        Duration::from_micros(self.now)
    }

    fn take(&mut self, what: What) {
        match what {
            What::Request(at) => self.request(at),
            What::Answered(at, connection) if self.proxies[at].connection == Some(connection) => {
                self.answered(at)
            }
            What::Answered(..) => {}
            What::GivenUp(at, call) => {
                if self.proxies[at].calls.contains(&call) {
                    self.late += 1;
                    self.counted(at, call, Outcome::Timeout, 0.0, None);
                }
            }
            What::Timer(at, timer) => self.tell(at, Event::Timer(TimerId(timer))),
            What::KeepInTouch(at) => {
                if self.proxies[at].connection.is_some() {
                    self.send(at, None, None);
                    self.after(KEEPALIVE_INTERVAL.as_micros() as u64, What::KeepInTouch(at));
                }
            }
            What::TellDebts(at) => {
                if self.proxies[at].connection.is_some() && self.proxies[at].client.has_unreported() {
                    self.send(at, None, None);
                }
            }
            What::Tick => self.tick(),
            What::Starts(at) => self.starts(at),
            What::CounterBegins => self.counter_begins(),
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        self.gone.retain(|(_, since)| since + DEAD_AFTER > now);
        let gone = self.gone.iter().map(|(incarnation, _)| *incarnation);
        let runs = self.proxies.iter().filter(|proxy| proxy.runs).map(|proxy| proxy.incarnation);
        let lives: BTreeSet<u64> = runs.chain(gone).collect();
        let instant = self.instant();
        self.gauge.iter_mut().for_each(|gauge| gauge.tick(instant, &lives));
        for at in 0..self.proxies.len() {
            let proxy = &self.proxies[at];
            match proxy.connection {
                Some(_) if !proxy.sent.is_empty() && proxy.heard + SILENCE < self.now => self.lose(at),
                None if proxy.cut_until < self.now && proxy.runs && self.gauge.is_some() => self.connect(at),
                _ => {}
            }
        }
        self.after(50_000, What::Tick);
    }

    fn recall(&mut self, at: usize) {
        let now = self.instant();
        let proxy = &mut self.proxies[at];
        let readings = proxy.client.readings_for_recovery(now, self.now);
        if let Some(gauge) = &mut self.gauge {
            gauge.apply_readings(now, proxy.incarnation, &readings);
        }
    }

    fn connect(&mut self, at: usize) {
        self.serial += 1;
        let connection = self.serial;
        let (now, term) = (self.instant(), self.term);
        self.proxies[at].client.on_connect(now, term);
        self.recall(at);
        let proxy = &mut self.proxies[at];
        (proxy.connection, proxy.broken, proxy.heard) = (Some(connection), false, self.now);
        self.after(KEEPALIVE_INTERVAL.as_micros() as u64, What::KeepInTouch(at));
    }

    /// The connection to the counter is given up: what is out is decided here.
    fn lose(&mut self, at: usize) {
        self.proxies[at].connection = None;
        for sent in std::mem::take(&mut self.proxies[at].sent) {
            if let Some(draw) = sent.draw {
                self.proxies[at].client.on_draw_failed(&draw);
            }
            if let Some(call) = sent.call.filter(|call| self.proxies[at].calls.contains(call)) {
                self.counted(at, call, Outcome::Reset, 0.0, None);
            }
        }
    }

    fn request(&mut self, at: usize) {
        if !self.proxies[at].runs {
            return;
        }
        self.serial += 1;
        let arrival = Arrival {
            id: RequestId(self.serial),
            service: ServiceId(1),
            plan: PlanId(1),
            customer: CUSTOMER,
            spread: self.proxies.len() as u32,
            deadline: Micros(self.now + 2_000_000),
            units: 1.0,
            ..Arrival::default()
        };
        self.tell(at, Event::Request(arrival));
    }

    fn tell(&mut self, at: usize, event: Event) {
        let mut out = Vec::new();
        self.proxies[at].module.handle(Micros(self.now), event, &mut out);
        out.into_iter().for_each(|action| self.act(at, action));
    }

    fn act(&mut self, at: usize, action: Action) {
        match action {
            Action::Send(id, server, _) => {
                self.granted.push(self.now);
                let (took, report) = (Micros(0), Report::default());
                let (outcome, ended) = (Outcome::Ok, true);
                let end =
                    AttemptEnd { id, attempt: 0, server, outcome, took, ended, actual_units: None, report };
                self.tell(at, Event::AttemptEnded(end));
            }
            Action::Refuse(..) | Action::Fail(_) => self.refused += 1,
            Action::SetTimer(timer, after) => self.after(after.0, What::Timer(at, timer.0)),
            Action::Draw(name, units, _) => self.draw(at, name, units),
            Action::Charge(name, units) => {
                let gateways = self.proxies.len();
                self.proxies[at].client.add_unreported(name.0, units, RATE, gateways);
                self.after(TELL, What::TellDebts(at));
            }
            _ => {}
        }
    }

    fn draw(&mut self, at: usize, name: CountName, units: f64) {
        self.serial += 1;
        let call = self.serial;
        self.proxies[at].calls.push(call);
        if self.proxies[at].connection.is_none() {
            return self.counted(at, call, Outcome::ConnectFailed, 0.0, None);
        }
        let draw = Draw {
            bucket: name.0,
            unreported: 0.0,
            units,
            rate: RATE,
            burst: BURST,
            service: 0,
            max_response_ms: 0,
        };
        self.send(at, Some(call), Some(draw));
        self.after(DRAW_TIMEOUT.as_micros() as u64, What::GivenUp(at, call));
    }

    /// A message goes to the counter, and its answer comes behind all earlier ones.
    fn send(&mut self, at: usize, call: Option<u64>, draw: Option<Draw>) {
        let (now, late) = (self.instant(), self.rng.u64(0..self.one_late_in) == 0);
        let proxy = &mut self.proxies[at];
        let hears = proxy.cut_until <= self.now;
        let reached = (hears || proxy.cut_one_way) && !(proxy.broken && hears);
        let name = starlinghill_decision::bucket_name(CUSTOMER).0;
        let nothing = Draw {
            bucket: name,
            unreported: 0.0,
            units: 0.0,
            rate: RATE,
            burst: BURST,
            service: 0,
            max_response_ms: 0,
        };
        let mut draws = Vec::from_iter(draw);
        let others = proxy.client.on_send(now, draws.iter_mut(), 1);
        draws.extend(others.into_iter().map(|(_, owed)| Draw { unreported: owed, ..nothing }));
        let draw = draws.first().copied();
        let gauge = self.gauge.as_mut().filter(|_| reached);
        let levels = gauge.and_then(|gauge| gauge.draw(now, proxy.incarnation, &draws));
        if late {
            proxy.stands_still_until = self.now + self.rng.u64(40_000..260_000);
        }
        let answer = levels.as_ref().and_then(|levels| levels.first().cloned());
        proxy.sent.push_back(Sent { call, draw, answer });
        proxy.broken |= !hears || self.gauge.is_none();
        if let (Some(connection), false) = (proxy.connection, proxy.broken) {
            let comes = (self.now + ON_THE_WAY).max(proxy.stands_still_until);
            self.after(comes - self.now, What::Answered(at, connection));
        }
    }

    fn answered(&mut self, at: usize) {
        let (now, term) = (self.instant(), self.term);
        self.proxies[at].heard = self.now;
        let Some(Sent { call, draw, answer }) = self.proxies[at].sent.pop_front() else { return };
        let Some(draw) = draw else { return self.proxies[at].client.on_reply(now, term) };
        let waits = call.filter(|call| self.proxies[at].calls.contains(call));
        let Some(level) = answer else {
            // The counter took nothing in. It is told again what was heard, as it may have forgotten this gateway.
            self.recall(at);
            self.proxies[at].client.on_draw_failed(&draw);
            return waits.into_iter().for_each(|call| self.counted(at, call, Outcome::Rejected, 0.0, None));
        };
        let client = &mut self.proxies[at].client;
        client.on_reply(now, term);
        client.on_draw_answered(self.now, &draw, &level, waits.is_some());
        if let Some(call) = waits {
            self.counted(at, call, Outcome::Ok, level.level, Some(level.share));
        }
    }

    /// How often the counter saw more in a window than the rules allow.
    pub fn violations(&self) -> u64 {
        self.violations + self.gauge.as_ref().map_or(0, QuotaCounter::violations)
    }

    fn counted(&mut self, at: usize, call: u64, outcome: Outcome, total: f64, share: Option<f64>) {
        let name = starlinghill_decision::bucket_name(CUSTOMER);
        let calls = &mut self.proxies[at].calls;
        let Some(nth) = calls.iter().position(|known| *known == call) else { return };
        calls.remove(nth);
        share.into_iter().for_each(|share| self.tell(at, Event::Share(name, share)));
        self.tell(at, Event::Counted(name, nth, outcome, total));
    }
}

/// Up to three troubles at a time befall the fleet while a tenant asks for far more than its quota now and then.
pub fn troubled(seed: u64) -> Fleet {
    let mut rng = fastrand::Rng::with_seed(seed);
    let gateways = rng.usize(3..30);
    let mut fleet = Fleet::new(Play { seed, gateways, one_late_in: rng.u64(20..2_000) });
    for _ in 0..12 {
        for _ in 0..rng.usize(0..=3) {
            let (at, span) = (rng.usize(0..fleet.gateways()), Duration::from_millis(rng.u64(50..4_000)));
            match rng.u32(0..5) {
                0 => (0..fleet.gateways() / 4).for_each(|at| fleet.cut_one(at, span, false)),
                1 => fleet.cut_one(at, span, true),
                2 => fleet.restart(at, span),
                3 => fleet.move_counter(span / 3),
                _ => fleet.cut_one(at, span, false),
            }
        }
        let (span, per_s) = (rng.u64(100..2_500), rng.choice([30.0, 90.0, 400.0, 900.0]).unwrap_or(90.0));
        fleet.run(Duration::from_millis(span), per_s);
    }
    fleet
}
