//! The connection of a gateway to the shared quota counter, which one registry runs at a time. Draws go there in
//! batches, and the levels of the quotas come back.

use starlinghill_catalog::UnknownBackends;
use starlinghill_decision::api::{CountName, Micros, Outcome, ServerId, ServiceId};
use starlinghill_gateway::counter::{CounterCall, CounterTransport};
use starlinghill_gateway::inbox::CounterResult;
use starlinghill_quota_counter::{
    BackendOffer, Draw, LoadReport, QuotaClient, QuotaLevel, KEEPALIVE_INTERVAL,
};
use starlinghill_registry::wire::{RegistryRequest, RegistryResponse};
use starlinghill_runtime::essential_tasks::EssentialTasks;
use starlinghill_runtime::frame::{self, Reader};
use starlinghill_runtime::net::NetworkHandle;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tokio::time::{sleep, timeout, Instant};

/// Time limit for a draw. A request whose draw isn't answered in time is decided without the counter. A round trip
/// takes about 3 ms, but a core machine has only a third of a CPU and may stall for some time.
pub const DRAW_TIMEOUT: Duration = Duration::from_millis(90);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
const RECONNECT_DELAY: Duration = Duration::from_millis(60);
/// Limits of draws that wait to be sent, and of draws in one message.
const MAX_QUEUED_DRAWS: usize = 4_096;
const MAX_DRAWS_PER_MESSAGE: usize = 512;
/// Number of backends that the counter doesn't know and that are offered to a request in place of those that it
/// names.
const UNKNOWN_BACKENDS_OFFERED: usize = 3;
/// If the counter doesn't answer for this long while draws are pending, the connection is given up.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(450);

/// Minimum time between two recalls on one connection. A new counter may take up to 800 ms before it accepts draws.
const MIN_RECALL_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum time between two messages of a gateway that only report loads or debts, per gateway in the system. The
/// number of messages that the counter receives thus doesn't depend on the number of gateways.
const REPORT_INTERVAL_PER_GATEWAY: Duration = Duration::from_micros(400);

/// A draw and the sender of its result; without a sender, the draw only reports a debt.
struct PendingDraw {
    draw: Draw,
    reply: Option<oneshot::Sender<CounterResult>>,
}

impl PendingDraw {
    /// The request was decided without waiting any longer.
    fn is_abandoned(&self) -> bool {
        self.reply.as_ref().is_some_and(oneshot::Sender::is_closed)
    }

    /// Passes on the result; returns whether the request still waited for it.
    fn answer(self, result: CounterResult) -> bool {
        self.reply.is_some_and(|reply| reply.send(result).is_ok())
    }
}

/// What became of this gateway's draws since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DrawCounts {
    /// Draws sent to the counter.
    pub asked: u64,
    /// Granted in time.
    pub granted: u64,
    /// Refused in time, because the quota was used up.
    pub refused: u64,
    /// Granted, and so taken from the quota, but after the request had been decided without the draw.
    pub late_granted: u64,
    /// Refused after the request had been decided without the draw.
    pub late_refused: u64,
    /// Never answered, or not accepted by the counter.
    pub failed: u64,
    /// Attempts sent to backends.
    pub attempts: u64,
}

impl DrawCounts {
    /// The difference to an earlier state.
    pub fn since(&self, earlier: &DrawCounts) -> DrawCounts {
        DrawCounts {
            asked: self.asked - earlier.asked,
            granted: self.granted - earlier.granted,
            refused: self.refused - earlier.refused,
            late_granted: self.late_granted - earlier.late_granted,
            late_refused: self.late_refused - earlier.late_refused,
            failed: self.failed - earlier.failed,
            attempts: self.attempts - earlier.attempts,
        }
    }

    /// Draws whose result came too late for the request, or never.
    pub fn too_late(&self) -> u64 {
        self.late_granted + self.late_refused + self.failed
    }
}

/// A message that has no answer yet.
enum SentMessage {
    /// Draws, and the backends whose loads were reported with them.
    Draws(Vec<PendingDraw>, Vec<u64>),
    /// Levels that the counter reported in earlier terms.
    Recall,
}

/// The quota counter, as a gateway reaches it.
pub struct CounterClient {
    net: NetworkHandle,
    /// What this gateway knows of quotas and owes them; its times count from `start`.
    client: RefCell<QuotaClient>,
    start: Instant,
    /// Rate (units per second) and burst (units) of each quota, by the number of its token bucket.
    pub quotas: RefCell<HashMap<u64, (f64, f64)>>,
    draws: mpsc::Sender<PendingDraw>,
    connected: Cell<bool>,
    /// The counter accepted the last draws. If it didn't, it may be cut off from the majority together with this
    /// gateway.
    accepts_draws: Cell<bool>,
    /// The load that this gateway puts on each backend.
    loads: RefCell<HashMap<u64, LoadReport>>,
    /// Backends whose load has to be reported.
    changed_backends: RefCell<HashSet<u64>>,
    report_due: Notify,
    /// Number of gateways.
    pub gateways: Cell<u32>,
    /// The system's time in microseconds: the highest that was received.
    pub time: watch::Sender<u64>,
    /// Backends that this gateway knows but the counter's registry doesn't, by the numbers of their services.
    pub unknown: RefCell<HashMap<u32, UnknownBackends>>,
    draw_counts: Cell<DrawCounts>,
}

/// The registry that holds the counter: its term and address, if known.
pub type CounterHolder = Option<(u64, SocketAddr)>;

impl CounterClient {
    /// Starts the task that keeps the connection to the counter. `incarnation` is that of this process.
    pub fn start(
        net: NetworkHandle,
        incarnation: u64,
        holder: watch::Receiver<CounterHolder>,
        essentials: &EssentialTasks,
    ) -> Rc<CounterClient> {
        let (draws, queue) = mpsc::channel(MAX_QUEUED_DRAWS);
        let counter = Rc::new(CounterClient {
            net,
            client: RefCell::new(QuotaClient::new(Duration::ZERO)),
            start: Instant::now(),
            quotas: RefCell::default(),
            draws,
            connected: Cell::new(false),
            accepts_draws: Cell::new(false),
            loads: RefCell::default(),
            changed_backends: RefCell::default(),
            report_due: Notify::new(),
            gateways: Cell::new(1),
            time: watch::channel(0).0,
            unknown: RefCell::default(),
            draw_counts: Cell::default(),
        });
        essentials.spawn("count", counter.clone().run(incarnation, holder, queue));
        counter
    }

    async fn run(
        self: Rc<Self>,
        incarnation: u64,
        mut holder: watch::Receiver<CounterHolder>,
        mut queue: mpsc::Receiver<PendingDraw>,
    ) {
        loop {
            let Some((term, address)) = *holder.borrow_and_update() else {
                if holder.changed().await.is_err() {
                    return;
                }
                continue;
            };
            let reason = self.serve_connection(incarnation, (term, address), &mut holder, &mut queue).await;
            if self.connected.replace(false) {
                log::info!("event=count_lost term={term} at={address} why={reason}");
            }
            // Draws still in the queue fail at once, so that their requests are decided here without a delay.
            while let Ok(draw) = queue.try_recv() {
                self.failed(draw, Outcome::ConnectFailed);
            }
            sleep(RECONNECT_DELAY).await;
        }
    }

    /// Serves draws over one connection until it fails or the holder changes; returns the reason for the log.
    async fn serve_connection(
        &self,
        incarnation: u64,
        (term, address): (u64, SocketAddr),
        holder: &mut watch::Receiver<CounterHolder>,
        queue: &mut mpsc::Receiver<PendingDraw>,
    ) -> &'static str {
        let Ok(Ok(mut stream)) = timeout(CONNECT_TIMEOUT, self.net.connect(address)).await else {
            return "no_connection";
        };
        stream.tune();
        let mut reader = Reader::default();
        self.client.borrow_mut().on_connect(self.start.elapsed(), term);
        // The recall comes first: a new counter must know the earlier levels before it grants anything.
        let recall = self.recall(incarnation, term);
        if frame::write(&mut stream, &recall).await.is_err() {
            return "broken";
        }
        match timeout(CONNECT_TIMEOUT, reader.read::<RegistryResponse>(&mut stream)).await {
            Ok(Ok(Some(RegistryResponse::Acknowledged))) => {}
            Ok(Ok(Some(_))) => return "not_the_holder",
            _ => return "silent",
        }
        if !self.connected.replace(true) {
            log::info!("event=count_reached term={term} at={address}");
        }
        // Another counter knows none of the pending attempts, so all loads are reported again.
        self.changed_backends.borrow_mut().extend(self.loads.borrow().keys());
        let (mut read_half, mut write_half) = tokio::io::split(stream);
        let mut unanswered: VecDeque<SentMessage> = VecDeque::new();
        let mut last_recall = Instant::now();
        let mut last_answer = Instant::now();
        let mut batch = Vec::new();
        let reason = loop {
            let silent_at = last_answer + ANSWER_TIMEOUT;
            tokio::select! {
                biased;
                answer = reader.read::<RegistryResponse>(&mut read_half) => {
                    last_answer = Instant::now();
                    let Ok(Some(answer)) = answer else { break "broken" };
                    match answer {
                        RegistryResponse::Levels(..) => self.accepts_draws.set(true),
                        RegistryResponse::NotHolder(_) => self.accepts_draws.set(false),
                        // The answer to a recall says nothing about whether draws are accepted.
                        _ => {}
                    }
                    // Answers come in the order of the messages. If the kind of an answer or its number of levels
                    // doesn't fit the message, the connection is closed.
                    match (unanswered.pop_front(), answer) {
                        (Some(SentMessage::Draws(draws, _)), RegistryResponse::Levels(levels, time)) if levels.len() == draws.len() => {
                            self.observe_system_time(time);
                            self.client.borrow_mut().on_reply(self.start.elapsed(), term);
                            draws.into_iter().zip(levels).for_each(|(draw, level)| self.answered(draw, level, time));
                        }
                        (Some(SentMessage::Draws(draws, reported)), RegistryResponse::NotHolder(known)) => {
                            // None of the draws and loads was recorded.
                            self.changed_backends.borrow_mut().extend(reported);
                            draws.into_iter().for_each(|draw| self.failed(draw, Outcome::Rejected));
                            if known > term {
                                break "another_term";
                            }
                            // The counter either doesn't accept draws yet, or has forgotten this gateway because it
                            // took it for dead. The recall is repeated, since otherwise the gateway would be refused
                            // for as long as this connection lasts.
                            if last_recall.elapsed() >= MIN_RECALL_INTERVAL {
                                last_recall = Instant::now();
                                let recall = self.recall(incarnation, term);
                                unanswered.push_back(SentMessage::Recall);
                                match timeout(ANSWER_TIMEOUT, frame::write(&mut write_half, &recall)).await {
                                    Ok(Ok(())) => {}
                                    _ => break "broken",
                                }
                            }
                        }
                        (Some(SentMessage::Recall), RegistryResponse::Acknowledged) => {}
                        (sent, _) => {
                            unanswered.extend(sent);
                            break "nonsense";
                        }
                    }
                }
                count = queue.recv_many(&mut batch, MAX_DRAWS_PER_MESSAGE) => {
                    if count == 0 {
                        break "ended";
                    }
                    if unanswered.is_empty() {
                        last_answer = Instant::now();
                    }
                    batch.retain(|draw| !draw.is_abandoned());
                    self.count_draws(|counts| counts.asked += batch.len() as u64);
                    let (sent, message) = self.message((incarnation, term), std::mem::take(&mut batch));
                    unanswered.push_back(sent);
                    match timeout(ANSWER_TIMEOUT, frame::write(&mut write_half, &message)).await {
                        Ok(Ok(())) => {}
                        _ => break "broken",
                    }
                }
                changed = holder.changed() => {
                    let current = *holder.borrow_and_update();
                    if changed.is_err() || current != Some((term, address)) {
                        break "another_holder";
                    }
                }
                () = tokio::time::sleep_until(silent_at), if !unanswered.is_empty() => break "silent",
                () = self.next_report_due(), if unanswered.is_empty() => {
                    let (sent, message) = self.message((incarnation, term), Vec::new());
                    unanswered.push_back(sent);
                    last_answer = Instant::now();
                    match timeout(ANSWER_TIMEOUT, frame::write(&mut write_half, &message)).await {
                        Ok(Ok(())) => {}
                        _ => break "broken",
                    }
                }
            }
        };
        // The counter may have recorded these loads or not; they are reported again in any case.
        for sent in unanswered {
            let SentMessage::Draws(draws, reported) = sent else { continue };
            self.changed_backends.borrow_mut().extend(reported);
            draws.into_iter().for_each(|draw| self.failed(draw, Outcome::Reset));
        }
        reason
    }

    /// Backends that the counter's registry doesn't know, chosen at random for a part of the requests; `None` if the
    /// request goes by the counter's offers. A registry that was started while it was cut off may know less than half
    /// of the backends. Without this, all work would go to a few backends while the others stay idle.
    fn choose_unknown_backends(&self, service: u32) -> Option<Vec<(ServerId, Micros)>> {
        let unknown = self.unknown.borrow();
        let unknown = unknown.get(&service).filter(|unknown| fastrand::f64() < unknown.capacity_fraction)?;
        let mut chosen = fastrand::choose_multiple(unknown.backends.iter(), UNKNOWN_BACKENDS_OFFERED);
        fastrand::shuffle(&mut chosen);
        Some(chosen.into_iter().map(|backend| (ServerId(*backend), Micros(0))).collect())
    }

    /// The levels that a new counter, or one that has forgotten this gateway, needs.
    fn recall(&self, incarnation: u64, term: u64) -> RegistryRequest {
        let readings =
            self.client.borrow_mut().readings_for_recovery(self.start.elapsed(), *self.time.borrow());
        RegistryRequest::Recall { term, from: incarnation, readings }
    }

    /// Builds a message with these draws, the debts and the changed loads.
    fn message(
        &self,
        (incarnation, term): (u64, u64),
        mut draws: Vec<PendingDraw>,
    ) -> (SentMessage, RegistryRequest) {
        let drawn = draws.iter_mut().map(|draw| &mut draw.draw);
        let owed_elsewhere =
            self.client.borrow_mut().on_send(self.start.elapsed(), drawn, MAX_DRAWS_PER_MESSAGE);
        let quotas = self.quotas.borrow();
        for (name, owed) in owed_elsewhere {
            // Without a quota, the tenant was removed.
            let Some((rate, burst)) = quotas.get(&name).copied() else { continue };
            let draw = Draw {
                bucket: name,
                unreported: owed,
                units: 0.0,
                rate,
                burst,
                service: 0,
                max_response_ms: 0,
            };
            draws.push(PendingDraw { draw, reply: None });
        }
        let load_reports = self.due_load_reports();
        let reported = load_reports.iter().map(|load| load.backend).collect();
        let wire_draws = draws.iter().map(|pending| pending.draw).collect();
        (
            SentMessage::Draws(draws, reported),
            RegistryRequest::Draw { term, from: incarnation, draws: wire_draws, load_reports },
        )
    }

    /// Handles the result of one draw.
    fn answered(&self, pending: PendingDraw, level: QuotaLevel, time: u64) {
        let (draw, granted) = (pending.draw, level.level >= 0.0);
        let offered = || level.offers.iter().copied().map(offered).collect();
        let rooms = self.choose_unknown_backends(draw.service).unwrap_or_else(offered);
        let asked = pending.reply.is_some();
        let (outcome, total, share) = (Outcome::Ok, level.level, Some(level.share));
        let waited = pending.answer(CounterResult { outcome, total, share, fastest_servers: rooms });
        if asked {
            self.count_answer(waited, granted);
        }
        self.client.borrow_mut().on_draw_answered(time, &draw, &level, waited);
    }

    /// The load reports that are due. How attempts ended is reported once, because losing it does no harm. The number
    /// of pending attempts is kept, to be reported again if the message is lost.
    fn due_load_reports(&self) -> Vec<LoadReport> {
        let mut loads = self.loads.borrow_mut();
        let take_report = |backend| {
            let empty = LoadReport { backend, outstanding: 0, succeeded: 0, total_latency_ms: 0, failed: 0 };
            let Some(load) = loads.get_mut(&backend) else { return empty };
            let report = *load;
            match report.outstanding {
                0 => drop(loads.remove(&backend)),
                out => *load = LoadReport { outstanding: out, ..empty },
            }
            report
        };
        std::mem::take(&mut *self.changed_backends.borrow_mut()).into_iter().map(take_report).collect()
    }

    fn update_load(&self, server: ServerId, change: impl FnOnce(&mut LoadReport)) {
        let backend = server.0;
        let empty = LoadReport { backend, outstanding: 0, succeeded: 0, total_latency_ms: 0, failed: 0 };
        change(self.loads.borrow_mut().entry(backend).or_insert(empty));
        self.changed_backends.borrow_mut().insert(backend);
        self.report_due.notify_one();
    }

    /// Waits until something has to be reported, or a keep-alive is due. The pause before keeps the messages of all
    /// gateways together below a fixed rate.
    async fn next_report_due(&self) {
        let due = async {
            sleep(REPORT_INTERVAL_PER_GATEWAY * self.gateways.get()).await;
            while self.changed_backends.borrow().is_empty() && !self.client.borrow().has_unreported() {
                self.report_due.notified().await;
            }
        };
        tokio::select! {
            biased;
            () = due => {}
            () = sleep(KEEPALIVE_INTERVAL) => {}
        }
    }

    /// The counter is connected and accepts draws.
    pub fn is_available(&self) -> bool {
        self.connected.get() && self.accepts_draws.get()
    }

    /// Ends a draw without a result.
    fn failed(&self, pending: PendingDraw, outcome: Outcome) {
        self.client.borrow_mut().on_draw_failed(&pending.draw);
        if pending.reply.is_some() {
            self.count_draws(|counts| counts.failed += 1);
        }
        pending.answer(outcome.into());
    }

    /// What became of the draws since the start.
    pub fn draw_counts(&self) -> DrawCounts {
        self.draw_counts.get()
    }

    fn count_draws(&self, change: impl FnOnce(&mut DrawCounts)) {
        let mut counts = self.draw_counts.get();
        change(&mut counts);
        self.draw_counts.set(counts);
    }

    fn count_answer(&self, in_time: bool, granted: bool) {
        self.count_draws(|counts| match (in_time, granted) {
            (true, true) => counts.granted += 1,
            (true, false) => counts.refused += 1,
            (false, true) => counts.late_granted += 1,
            (false, false) => counts.late_refused += 1,
        });
    }

    /// Records the system's time from a message, if it is higher than the known one.
    pub fn observe_system_time(&self, time: u64) {
        self.time.send_if_modified(|known| {
            let later = time > *known;
            *known = (*known).max(time);
            later
        });
    }
}

/// Converts an offered backend to the decision module's types.
fn offered(offer: BackendOffer) -> (ServerId, Micros) {
    (ServerId(offer.backend), Micros(u64::from(offer.expected_response_ms) * 1_000))
}

impl CounterTransport for CounterClient {
    /// Not used: all quotas are drawn from with `draw`.
    fn count(self: Rc<Self>, _: CountName, _: f64, _: Micros) -> CounterCall {
        Box::pin(async { Outcome::NotSent.into() })
    }

    fn charge(&self, name: CountName, units: f64) {
        let rate = self.quotas.borrow().get(&name.0).map_or(0.0, |(rate, _)| *rate);
        self.client.borrow_mut().add_unreported(name.0, units, rate, self.gateways.get() as usize);
        self.report_due.notify_one();
    }

    fn attempt_sent(&self, server: ServerId) {
        self.count_draws(|counts| counts.attempts += 1);
        self.update_load(server, |load| load.outstanding = load.outstanding.saturating_add(1));
    }

    fn attempt_ended(&self, server: ServerId, outcome: Outcome, took: Micros) {
        self.update_load(server, |load| {
            load.outstanding = load.outstanding.saturating_sub(1);
            match outcome {
                Outcome::Ok => {
                    load.succeeded = load.succeeded.saturating_add(1);
                    load.total_latency_ms = load.total_latency_ms.saturating_add((took.0 / 1_000) as u32);
                }
                // Such an attempt says nothing about the backend.
                Outcome::Cancelled | Outcome::NotSent => {}
                _ => load.failed = load.failed.saturating_add(1),
            }
        });
    }

    fn draw(
        self: Rc<Self>,
        name: CountName,
        units: f64,
        (service, within): (ServiceId, Micros),
    ) -> CounterCall {
        if !self.connected.get() {
            return Box::pin(async { Outcome::ConnectFailed.into() });
        }
        let Some((rate, burst)) = self.quotas.borrow().get(&name.0).copied() else {
            return Box::pin(async { Outcome::NotSent.into() });
        };
        let within_ms = (within.0 / 1_000).min(u64::from(u16::MAX)) as u16;
        let draw = Draw {
            bucket: name.0,
            unreported: 0.0,
            units,
            rate,
            burst,
            service: service.0,
            max_response_ms: within_ms,
        };
        let (reply, answer) = oneshot::channel();
        if let Err(refused) = self.draws.try_send(PendingDraw { draw, reply: Some(reply) }) {
            self.failed(refused.into_inner(), Outcome::ConnectFailed);
        }
        Box::pin(async move {
            match timeout(DRAW_TIMEOUT, answer).await {
                Ok(Ok(result)) => result,
                Ok(Err(_)) => Outcome::Reset.into(),
                Err(_) => Outcome::Timeout.into(),
            }
        })
    }
}
