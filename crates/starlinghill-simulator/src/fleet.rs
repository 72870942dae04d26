//! Simulates the request decisions of many gateways with one quota counter, to check how far one tenant can exceed
//! its quota. Messages take time; gateways are paused, cut off or restarted, and the counter moves.
//!
//! The decision module, the quota client and the counter are the real ones; connections are simulated here. Times are
//! in microseconds unless a type or a name says otherwise.

use starlinghill_decision::api::*;
use starlinghill_decision::Gateway;
use starlinghill_proxy::decision_settings;
use starlinghill_proxy::quota_client::DRAW_TIMEOUT;
use starlinghill_quota_counter::{Draw, QuotaClient, QuotaCounter, QuotaLevel, KEEPALIVE_INTERVAL};
use starlinghill_runtime::settings::Bounds;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};
use std::ops::Range;
use std::time::Duration;

/// The tenant's quota, in requests per second.
pub const RATE: f64 = 100.0;
/// How many requests the quota allows at once.
pub const BURST: f64 = 100.0;
const EXCESS_RATIO: f64 = 0.1;
const EXTRA_REQUESTS: f64 = 20.0;
const WINDOW: Duration = Duration::from_secs(5);
const CUSTOMER: CustomerId = CustomerId(5);
/// The time within which a request must be answered.
const REQUEST_DEADLINE_US: u64 = 2_000_000;
const SERVERS: u64 = 8;
/// Where the simulated clock starts.
const START_US: u64 = 100_000_000;
/// A connection without a reply for this long is closed, as the proxy's connection to the counter is.
const CONNECTION_SILENCE_US: u64 = 450_000;
/// How long after its end a gateway is still listed among the running ones.
const DEAD_AFTER_US: u64 = 2_200_000;
/// How long a gateway pauses.
const PAUSE_US: Range<u64> = 40_000..260_000;
/// The one-way delay of a message.
const MESSAGE_DELAY_US: u64 = 1_000;
/// A charge is reported to the counter after this time, or with the next draw.
const REPORT_DELAY_US: u64 = 20_000;
/// How often the counter expires old state and the gateways check their connections.
const TICK_INTERVAL_US: u64 = 50_000;

/// The highest number of requests that the rules allow in one window.
pub fn allowed_per_window() -> f64 {
    (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + EXCESS_RATIO) + EXTRA_REQUESTS
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Request(usize),
    /// The counter's reply to the oldest message on the connection.
    Reply(usize, u64),
    DrawTimeout(usize, u64),
    Timer(usize, u64),
    Keepalive(usize),
    ReportCharges(usize),
    Tick,
    /// A killed gateway starts again.
    GatewayStart(usize),
    /// A new counter takes over.
    CounterStart,
}

/// A message to the counter and the reply that it will get; no reply if either is lost.
struct PendingMessage {
    draw_id: Option<u64>,
    draw: Option<Draw>,
    reply: Option<QuotaLevel>,
}

struct SimulatedGateway {
    incarnation: u64,
    module: Gateway,
    client: QuotaClient,
    /// The connection to the counter.
    connection: Option<u64>,
    /// A message on the connection was lost, so no more replies arrive on it.
    is_broken: bool,
    in_flight: VecDeque<PendingMessage>,
    last_reply: u64,
    /// The draws that the module waits for, the oldest first. The module knows a draw by its position here.
    pending_draws: Vec<u64>,
    paused_until: u64,
    cut_until: u64,
    /// During the cut its messages still reach the counter, but no replies come back.
    cut_one_way: bool,
    is_running: bool,
}

/// The parameters of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetScenario {
    /// Decides all random choices.
    pub seed: u64,
    /// The number of gateways.
    pub gateways: usize,
    /// One message in this many finds its gateway paused when the reply arrives.
    pub late_one_in: u64,
}

/// Gateways, counter and the requests of one tenant.
pub struct Fleet {
    rng: fastrand::Rng,
    now: u64,
    serial: u64,
    late_one_in: u64,
    counter: Option<QuotaCounter>,
    term: u64,
    /// Violations seen by earlier counters.
    violations: u64,
    /// Gateway processes that have ended, with the time of their end.
    ended_incarnations: Vec<(u64, u64)>,
    gateways: Vec<SimulatedGateway>,
    queue: BinaryHeap<Reverse<(u64, u64, SimulationEvent)>>,
    /// When each request was forwarded to a backend.
    pub forwarded: Vec<u64>,
    /// How many requests were refused or failed.
    pub refused: u64,
    /// How many draws were answered after the request had timed out.
    pub late_draws: u64,
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
        quota_excess: EXCESS_RATIO,
        quota_extra: EXTRA_REQUESTS,
    }
}

fn module(seed: u64, me: u32, gateways: u32) -> Gateway {
    let class = Class {
        target: Micros(400_000),
        deadline: Micros(REQUEST_DEADLINE_US),
        worth: 1.0,
        late_worth: 0.5,
        effect: Effect::Safe,
        group: Group::All,
        window: Micros(0),
        stream: false,
    };
    let default_plan = decision_settings::settings(ZoneId(0), &bounds()).plans.remove(0);
    let plans = vec![default_plan.clone(), Plan { rate: RATE, burst: BURST, ..default_plan }];
    let settings = Settings {
        gateways,
        me,
        plans,
        classes: vec![class],
        ..decision_settings::settings(ZoneId(0), &bounds())
    };
    let mut module = Gateway::new(seed, settings).expect("valid settings");
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
    module.handle(Micros(START_US), Event::Servers(ListScope::Complete, servers), &mut Vec::new());
    module
}

impl SimulatedGateway {
    fn new(seed: u64, now: u64, index: usize, gateways: usize) -> SimulatedGateway {
        SimulatedGateway {
            incarnation: index as u64 + 1,
            module: module(seed ^ index as u64, index as u32, gateways as u32),
            client: QuotaClient::new(Duration::from_micros(now)),
            connection: None,
            is_broken: false,
            in_flight: VecDeque::new(),
            last_reply: now,
            pending_draws: Vec::new(),
            paused_until: 0,
            cut_until: 0,
            cut_one_way: false,
            is_running: true,
        }
    }
}

impl Fleet {
    /// Creates a fleet in which all gateways are connected to the counter.
    pub fn new(config: FleetScenario) -> Fleet {
        let FleetScenario { seed, gateways, late_one_in } = config;
        let incarnations = 1..=gateways as u64;
        let start = Duration::from_micros(START_US);
        let mut fleet = Fleet {
            rng: fastrand::Rng::with_seed(seed),
            now: START_US,
            serial: 0,
            late_one_in,
            counter: Some(QuotaCounter::start(start, 1, true, bounds().allowance(), incarnations)),
            term: 1,
            violations: 0,
            ended_incarnations: Vec::new(),
            gateways: (0..gateways).map(|i| SimulatedGateway::new(seed, START_US, i, gateways)).collect(),
            queue: BinaryHeap::new(),
            forwarded: Vec::new(),
            refused: 0,
            late_draws: 0,
        };
        (0..gateways).for_each(|index| fleet.connect(index));
        fleet.schedule(0, SimulationEvent::Tick);
        fleet
    }

    /// Cuts the first `gateways` gateways off from the counter.
    pub fn cut_off_first(&mut self, gateways: usize, span: Duration) {
        (0..gateways).for_each(|index| self.cut_off(index, span, false));
    }

    /// Cuts one gateway off from the counter. With `one_way` the counter still receives its messages.
    pub fn cut_off(&mut self, index: usize, span: Duration, one_way: bool) {
        let until = self.now + span.as_micros() as u64;
        let gateway = &mut self.gateways[index];
        (gateway.cut_until, gateway.cut_one_way) = (until, one_way);
    }

    /// Kills a gateway's process and starts a new one after `delay`.
    pub fn restart(&mut self, index: usize, delay: Duration) {
        if self.gateways[index].is_running {
            self.ended_incarnations.push((self.gateways[index].incarnation, self.now));
            self.gateways[index].is_running = false;
            self.gateways[index].connection = None;
            self.schedule(delay.as_micros() as u64, SimulationEvent::GatewayStart(index));
        }
    }

    /// Stops the counter and starts another one after `delay`.
    pub fn move_counter(&mut self, delay: Duration) {
        if let Some(counter) = self.counter.take() {
            self.violations += counter.violations();
            self.schedule(delay.as_micros() as u64, SimulationEvent::CounterStart);
        }
    }

    /// The number of gateways.
    pub fn gateway_count(&self) -> usize {
        self.gateways.len()
    }

    fn start_gateway(&mut self, index: usize) {
        self.serial += 1;
        let cut_until = self.gateways[index].cut_until;
        let gateway = SimulatedGateway::new(self.serial, self.now, index, self.gateways.len());
        self.gateways[index] = SimulatedGateway { incarnation: self.serial + 1_000, cut_until, ..gateway };
    }

    fn start_counter(&mut self) {
        self.term += 1;
        let incarnations = self.gateways.iter().map(|gateway| gateway.incarnation).collect::<Vec<_>>();
        self.counter =
            Some(QuotaCounter::start(self.instant(), self.term, false, bounds().allowance(), incarnations));
        // Connections to the previous counter are useless now.
        (0..self.gateways.len()).for_each(|index| self.close_connection(index));
    }

    /// Runs the fleet for `span` while `per_s` requests per second arrive at random gateways.
    pub fn run(&mut self, span: Duration, per_s: f64) {
        let until = self.now + span.as_micros() as u64;
        for _ in 0..(per_s * span.as_secs_f64()) as usize {
            let (index, delay) = (self.rng.usize(0..self.gateways.len()), self.rng.u64(0..until - self.now));
            self.schedule(delay, SimulationEvent::Request(index));
        }
        while self.queue.peek().is_some_and(|Reverse((time, ..))| *time <= until) {
            let Some(Reverse((time, _, event))) = self.queue.pop() else { break };
            self.now = time;
            self.handle(event);
        }
        self.now = until;
    }

    /// The highest number of requests forwarded in any window.
    pub fn peak_per_window(&self) -> usize {
        let window = WINDOW.as_micros() as u64;
        let forwarded_until =
            |i: usize| self.forwarded.partition_point(|time| *time <= self.forwarded[i] + window);
        (0..self.forwarded.len()).map(|i| forwarded_until(i) - i).max().unwrap_or_default()
    }

    fn schedule(&mut self, delay_us: u64, event: SimulationEvent) {
        self.serial += 1;
        self.queue.push(Reverse((self.now + delay_us, self.serial, event)));
    }

    fn instant(&self) -> Duration {
        Duration::from_micros(self.now)
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Request(index) => self.handle_request(index),
            SimulationEvent::Reply(index, connection)
                if self.gateways[index].connection == Some(connection) =>
            {
                self.handle_reply(index)
            }
            SimulationEvent::Reply(..) => {}
            SimulationEvent::DrawTimeout(index, draw_id) => {
                if self.gateways[index].pending_draws.contains(&draw_id) {
                    self.late_draws += 1;
                    self.finish_draw(index, draw_id, Outcome::Timeout, 0.0, None);
                }
            }
            SimulationEvent::Timer(index, timer) => self.notify_module(index, Event::Timer(TimerId(timer))),
            SimulationEvent::Keepalive(index) => {
                if self.gateways[index].connection.is_some() {
                    self.send_to_counter(index, None, None);
                    self.schedule(KEEPALIVE_INTERVAL.as_micros() as u64, SimulationEvent::Keepalive(index));
                }
            }
            SimulationEvent::ReportCharges(index) => {
                if self.gateways[index].connection.is_some() && self.gateways[index].client.has_unreported() {
                    self.send_to_counter(index, None, None);
                }
            }
            SimulationEvent::Tick => self.tick(),
            SimulationEvent::GatewayStart(index) => self.start_gateway(index),
            SimulationEvent::CounterStart => self.start_counter(),
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        self.ended_incarnations.retain(|(_, since)| since + DEAD_AFTER_US > now);
        let ended = self.ended_incarnations.iter().map(|(incarnation, _)| *incarnation);
        let running =
            self.gateways.iter().filter(|gateway| gateway.is_running).map(|gateway| gateway.incarnation);
        let incarnations: BTreeSet<u64> = running.chain(ended).collect();
        let instant = self.instant();
        self.counter.iter_mut().for_each(|counter| counter.tick(instant, &incarnations));
        for index in 0..self.gateways.len() {
            let gateway = &self.gateways[index];
            match gateway.connection {
                Some(_)
                    if !gateway.in_flight.is_empty()
                        && gateway.last_reply + CONNECTION_SILENCE_US < self.now =>
                {
                    self.close_connection(index)
                }
                None if gateway.cut_until < self.now && gateway.is_running && self.counter.is_some() => {
                    self.connect(index)
                }
                _ => {}
            }
        }
        self.schedule(TICK_INTERVAL_US, SimulationEvent::Tick);
    }

    fn send_readings(&mut self, index: usize) {
        let now = self.instant();
        let gateway = &mut self.gateways[index];
        let readings = gateway.client.readings_for_recovery(now, self.now);
        if let Some(counter) = &mut self.counter {
            counter.apply_readings(now, gateway.incarnation, &readings);
        }
    }

    fn connect(&mut self, index: usize) {
        self.serial += 1;
        let connection = self.serial;
        let (now, term) = (self.instant(), self.term);
        self.gateways[index].client.on_connect(now, term);
        self.send_readings(index);
        let gateway = &mut self.gateways[index];
        (gateway.connection, gateway.is_broken, gateway.last_reply) = (Some(connection), false, self.now);
        self.schedule(KEEPALIVE_INTERVAL.as_micros() as u64, SimulationEvent::Keepalive(index));
    }

    /// Closes the connection to the counter. Draws without a reply fail.
    fn close_connection(&mut self, index: usize) {
        self.gateways[index].connection = None;
        for sent in std::mem::take(&mut self.gateways[index].in_flight) {
            if let Some(draw) = sent.draw {
                self.gateways[index].client.on_draw_failed(&draw);
            }
            if let Some(draw_id) =
                sent.draw_id.filter(|draw_id| self.gateways[index].pending_draws.contains(draw_id))
            {
                self.finish_draw(index, draw_id, Outcome::Reset, 0.0, None);
            }
        }
    }

    fn handle_request(&mut self, index: usize) {
        if !self.gateways[index].is_running {
            return;
        }
        self.serial += 1;
        let arrival = Arrival {
            id: RequestId(self.serial),
            service: ServiceId(1),
            plan: PlanId(1),
            customer: CUSTOMER,
            spread: self.gateways.len() as u32,
            deadline: Micros(self.now + REQUEST_DEADLINE_US),
            units: 1.0,
            ..Arrival::default()
        };
        self.notify_module(index, Event::Request(arrival));
    }

    fn notify_module(&mut self, index: usize, event: Event) {
        let mut actions = Vec::new();
        self.gateways[index].module.handle(Micros(self.now), event, &mut actions);
        actions.into_iter().for_each(|action| self.apply_action(index, action));
    }

    fn apply_action(&mut self, index: usize, action: Action) {
        match action {
            Action::Send(id, server, _) => {
                self.forwarded.push(self.now);
                let (took, report) = (Micros(0), Report::default());
                let (outcome, ended) = (Outcome::Ok, true);
                let end =
                    AttemptEnd { id, attempt: 0, server, outcome, took, ended, actual_units: None, report };
                self.notify_module(index, Event::AttemptEnded(end));
            }
            Action::Refuse(..) | Action::Fail(_) => self.refused += 1,
            Action::SetTimer(timer, delay) => self.schedule(delay.0, SimulationEvent::Timer(index, timer.0)),
            Action::Draw(name, units, _) => self.start_draw(index, name, units),
            Action::Charge(name, units) => {
                let gateways = self.gateways.len();
                self.gateways[index].client.add_unreported(name.0, units, RATE, gateways);
                self.schedule(REPORT_DELAY_US, SimulationEvent::ReportCharges(index));
            }
            _ => {}
        }
    }

    fn start_draw(&mut self, index: usize, name: CountName, units: f64) {
        self.serial += 1;
        let draw_id = self.serial;
        self.gateways[index].pending_draws.push(draw_id);
        if self.gateways[index].connection.is_none() {
            return self.finish_draw(index, draw_id, Outcome::ConnectFailed, 0.0, None);
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
        self.send_to_counter(index, Some(draw_id), Some(draw));
        self.schedule(DRAW_TIMEOUT.as_micros() as u64, SimulationEvent::DrawTimeout(index, draw_id));
    }

    /// Sends a message to the counter. Its reply arrives after all earlier replies.
    fn send_to_counter(&mut self, index: usize, draw_id: Option<u64>, draw: Option<Draw>) {
        let (now, is_late) = (self.instant(), self.rng.u64(0..self.late_one_in) == 0);
        let gateway = &mut self.gateways[index];
        let is_connected = gateway.cut_until <= self.now;
        let reached = (is_connected || gateway.cut_one_way) && !(gateway.is_broken && is_connected);
        let name = starlinghill_decision::bucket_name(CUSTOMER).0;
        let empty = Draw {
            bucket: name,
            unreported: 0.0,
            units: 0.0,
            rate: RATE,
            burst: BURST,
            service: 0,
            max_response_ms: 0,
        };
        let mut draws = Vec::from_iter(draw);
        let reports = gateway.client.on_send(now, draws.iter_mut(), 1);
        draws.extend(reports.into_iter().map(|(_, unreported)| Draw { unreported, ..empty }));
        let draw = draws.first().copied();
        let counter = self.counter.as_mut().filter(|_| reached);
        let levels = counter.and_then(|counter| counter.draw(now, gateway.incarnation, &draws));
        if is_late {
            gateway.paused_until = self.now + self.rng.u64(PAUSE_US);
        }
        let reply = levels.as_ref().and_then(|levels| levels.first().cloned());
        gateway.in_flight.push_back(PendingMessage { draw_id, draw, reply });
        gateway.is_broken |= !is_connected || self.counter.is_none();
        if let (Some(connection), false) = (gateway.connection, gateway.is_broken) {
            let arrival = (self.now + MESSAGE_DELAY_US).max(gateway.paused_until);
            self.schedule(arrival - self.now, SimulationEvent::Reply(index, connection));
        }
    }

    fn handle_reply(&mut self, index: usize) {
        let (now, term) = (self.instant(), self.term);
        self.gateways[index].last_reply = self.now;
        let Some(PendingMessage { draw_id, draw, reply }) = self.gateways[index].in_flight.pop_front() else {
            return;
        };
        let Some(draw) = draw else { return self.gateways[index].client.on_reply(now, term) };
        let pending = draw_id.filter(|draw_id| self.gateways[index].pending_draws.contains(draw_id));
        let Some(level) = reply else {
            // The counter rejected the message, perhaps because it does not know this gateway. The gateway's readings
            // let it recover.
            self.send_readings(index);
            self.gateways[index].client.on_draw_failed(&draw);
            return pending
                .into_iter()
                .for_each(|draw_id| self.finish_draw(index, draw_id, Outcome::Rejected, 0.0, None));
        };
        let client = &mut self.gateways[index].client;
        client.on_reply(now, term);
        client.on_draw_answered(self.now, &draw, &level, pending.is_some());
        if let Some(draw_id) = pending {
            self.finish_draw(index, draw_id, Outcome::Ok, level.level, Some(level.share));
        }
    }

    /// How often a counter saw more requests in a window than the rules allow.
    pub fn violations(&self) -> u64 {
        self.violations + self.counter.as_ref().map_or(0, QuotaCounter::violations)
    }

    fn finish_draw(&mut self, index: usize, draw_id: u64, outcome: Outcome, total: f64, share: Option<f64>) {
        let name = starlinghill_decision::bucket_name(CUSTOMER);
        let pending_draws = &mut self.gateways[index].pending_draws;
        let Some(position) = pending_draws.iter().position(|known| *known == draw_id) else { return };
        pending_draws.remove(position);
        share.into_iter().for_each(|share| self.notify_module(index, Event::Share(name, share)));
        self.notify_module(index, Event::Counted(name, position, outcome, total));
    }
}

/// Injects up to three random faults at a time while one tenant's load changes between below and far above its quota.
pub fn run_with_random_faults(seed: u64) -> Fleet {
    let mut rng = fastrand::Rng::with_seed(seed);
    let gateways = rng.usize(3..30);
    let mut fleet = Fleet::new(FleetScenario { seed, gateways, late_one_in: rng.u64(20..2_000) });
    for _ in 0..12 {
        for _ in 0..rng.usize(0..=3) {
            let (index, span) =
                (rng.usize(0..fleet.gateway_count()), Duration::from_millis(rng.u64(50..4_000)));
            match rng.u32(0..5) {
                0 => (0..fleet.gateway_count() / 4).for_each(|index| fleet.cut_off(index, span, false)),
                1 => fleet.cut_off(index, span, true),
                2 => fleet.restart(index, span),
                3 => fleet.move_counter(span / 3),
                _ => fleet.cut_off(index, span, false),
            }
        }
        let (span, per_s) = (rng.u64(100..2_500), rng.choice([30.0, 90.0, 400.0, 900.0]).unwrap_or(90.0));
        fleet.run(Duration::from_millis(span), per_s);
    }
    fleet
}
