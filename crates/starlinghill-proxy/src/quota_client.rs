//! The way to the shared count: draws go to whoever keeps it, many in one message, and what the stores hold comes back.

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

/// A call that is not answered by then is decided here. A round trip takes some 3 ms, and a core machine has a third of a
/// core, so that it may stand still for some time.
pub const PATIENCE: Duration = Duration::from_millis(90);
const CONNECT: Duration = Duration::from_millis(400);
const PAUSE: Duration = Duration::from_millis(60);
/// Calls that may wait to be sent, and that go in one message.
const QUEUE: usize = 4_096;
const BATCH: usize = 512;
/// How many backends are named to a request beside those that the counter names.
const BESIDE: usize = 3;
/// A counter that says nothing for so long, with calls under way, is gone.
const SILENCE: Duration = Duration::from_millis(450);

/// A counter that says that a draw is not for it is told no more often than this what was heard before. It may begin, which
/// takes 800 ms at most.
const RECALL_AGAIN: Duration = Duration::from_millis(200);

/// A gateway tells what it has out no more often than this, times the number of gateways: what the counter hears of all
/// stays the same.
const TELL: Duration = Duration::from_micros(400);

/// A draw, and who waits for it: nobody where it only tells a debt.
struct Waiting {
    draw: Draw,
    reply: Option<oneshot::Sender<CounterResult>>,
}

impl Waiting {
    /// Whoever asked has decided without it.
    fn is_abandoned(&self) -> bool {
        self.reply.as_ref().is_some_and(oneshot::Sender::is_closed)
    }

    /// Answers whoever asked; returns whether they still waited.
    fn answer(self, counted: CounterResult) -> bool {
        self.reply.is_some_and(|reply| reply.send(counted).is_ok())
    }
}

/// What became of this gateway's draws since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DrawCounts {
    /// Draws that were sent to whoever keeps the count.
    pub asked: u64,
    /// Answered while the request waited: the store held what was wanted.
    pub granted: u64,
    /// Answered while the request waited: it did not.
    pub refused: u64,
    /// Answered after the request had been decided without it, though the store held what was wanted and gave it.
    pub late_granted: u64,
    /// The same, and it did not hold that.
    pub late_refused: u64,
    /// Never answered, or not taken in.
    pub failed: u64,
    /// Attempts that went out to backends.
    pub attempts: u64,
}

impl DrawCounts {
    /// What was added since an earlier moment.
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

    /// Draws that did not decide the request that they were for.
    pub fn too_late(&self) -> u64 {
        self.late_granted + self.late_refused + self.failed
    }
}

/// What went to the holder and has no answer yet.
enum Sent {
    /// Draws, and the backends whose loads were told with them.
    Draws(Vec<Waiting>, Vec<u64>),
    /// What was heard before.
    Recall,
}

/// The count, as a gateway reaches it.
pub struct Counter {
    net: NetworkHandle,
    /// What was heard and what is owed, with times since this.
    client: RefCell<QuotaClient>,
    start: Instant,
    /// The quotas by the names of their stores.
    pub quotas: RefCell<HashMap<u64, (f64, f64)>>,
    calls: mpsc::Sender<Waiting>,
    reached: Cell<bool>,
    /// Whoever keeps the count granted what was asked last: else it may be cut off together with this gateway.
    granted: Cell<bool>,
    /// How things stand between this gateway and backends, and where that is not told yet.
    words: RefCell<HashMap<u64, LoadReport>>,
    changed: RefCell<HashSet<u64>>,
    new_words: Notify,
    /// How many gateways there are.
    pub gateways: Cell<u32>,
    /// The system's time, the highest that was heard.
    pub time: watch::Sender<u64>,
    /// Backends that this gateway knows and the registry with the count does not, by the numbers of their services.
    pub unknown: RefCell<HashMap<u32, UnknownBackends>>,
    draw_counts: Cell<DrawCounts>,
}

/// Who keeps the count: its term and where it is.
pub type Holder = Option<(u64, SocketAddr)>;

impl Counter {
    /// The count, for the gateway process of that life, over a network.
    pub fn start(
        net: NetworkHandle,
        life: u64,
        holder: watch::Receiver<Holder>,
        essentials: &EssentialTasks,
    ) -> Rc<Counter> {
        let (calls, queue) = mpsc::channel(QUEUE);
        let counter = Rc::new(Counter {
            net,
            client: RefCell::new(QuotaClient::new(Duration::ZERO)),
            start: Instant::now(),
            quotas: RefCell::default(),
            calls,
            reached: Cell::new(false),
            granted: Cell::new(false),
            words: RefCell::default(),
            changed: RefCell::default(),
            new_words: Notify::new(),
            gateways: Cell::new(1),
            time: watch::channel(0).0,
            unknown: RefCell::default(),
            draw_counts: Cell::default(),
        });
        essentials.spawn("count", counter.clone().run(life, holder, queue));
        counter
    }

    async fn run(
        self: Rc<Self>,
        life: u64,
        mut holder: watch::Receiver<Holder>,
        mut queue: mpsc::Receiver<Waiting>,
    ) {
        loop {
            let Some((term, address)) = *holder.borrow_and_update() else {
                if holder.changed().await.is_err() {
                    return;
                }
                continue;
            };
            let kept = self.keep(life, (term, address), &mut holder, &mut queue).await;
            if self.reached.replace(false) {
                log::info!("event=count_lost term={term} at={address} why={kept}");
            }
            // Nothing that waits still goes out: a call that fails is decided here.
            while let Ok(call) = queue.try_recv() {
                self.failed(call, Outcome::ConnectFailed);
            }
            sleep(PAUSE).await;
        }
    }

    /// Calls one holder until it is one no more; returns why.
    async fn keep(
        &self,
        life: u64,
        (term, address): (u64, SocketAddr),
        holder: &mut watch::Receiver<Holder>,
        queue: &mut mpsc::Receiver<Waiting>,
    ) -> &'static str {
        let Ok(Ok(mut stream)) = timeout(CONNECT, self.net.connect(address)).await else {
            return "no_connection";
        };
        stream.tune();
        let mut reader = Reader::default();
        self.client.borrow_mut().calls(self.start.elapsed(), term);
        // First what was heard before: a counter that begins must know of it.
        let recall = self.recall(life, term);
        if frame::write(&mut stream, &recall).await.is_err() {
            return "broken";
        }
        match timeout(CONNECT, reader.read::<RegistryResponse>(&mut stream)).await {
            Ok(Ok(Some(RegistryResponse::Noted))) => {}
            Ok(Ok(Some(_))) => return "not_the_holder",
            _ => return "silent",
        }
        if !self.reached.replace(true) {
            log::info!("event=count_reached term={term} at={address}");
        }
        // Another counter knows nothing of what is out.
        self.changed.borrow_mut().extend(self.words.borrow().keys());
        let (mut from, mut to) = tokio::io::split(stream);
        let mut out: VecDeque<Sent> = VecDeque::new();
        let mut recalled = Instant::now();
        let mut last_word = Instant::now();
        let mut batch = Vec::new();
        let why = loop {
            let silent = last_word + SILENCE;
            tokio::select! {
                biased;
                answer = reader.read::<RegistryResponse>(&mut from) => {
                    last_word = Instant::now();
                    let Ok(Some(answer)) = answer else { break "broken" };
                    match answer {
                        RegistryResponse::Levels(..) => self.granted.set(true),
                        RegistryResponse::NotMine(_) => self.granted.set(false),
                        // To have noted what was recalled grants nothing, and takes nothing back.
                        _ => {}
                    }
                    // The order says which question it answers: one life of one holder answers them one after the other on
                    // this connection, which ends where the kind or the number of levels does not fit.
                    match (out.pop_front(), answer) {
                        (Some(Sent::Draws(calls, _)), RegistryResponse::Levels(levels, time)) if levels.len() == calls.len() => {
                            self.hear_time(time);
                            self.client.borrow_mut().hears(self.start.elapsed(), term);
                            calls.into_iter().zip(levels).for_each(|(call, level)| self.answered(call, level, time));
                        }
                        (Some(Sent::Draws(calls, told)), RegistryResponse::NotMine(known)) => {
                            // It took in none of them.
                            self.changed.borrow_mut().extend(told);
                            calls.into_iter().for_each(|call| self.failed(call, Outcome::Full));
                            if known > term {
                                break "another_term";
                            }
                            // It answers nobody yet, or no longer knows this gateway, as one that it took for dead: it has
                            // to be told again. Guards against being refused for as long as this connection lasts.
                            if recalled.elapsed() >= RECALL_AGAIN {
                                recalled = Instant::now();
                                let recall = self.recall(life, term);
                                out.push_back(Sent::Recall);
                                match timeout(SILENCE, frame::write(&mut to, &recall)).await {
                                    Ok(Ok(())) => {}
                                    _ => break "broken",
                                }
                            }
                        }
                        (Some(Sent::Recall), RegistryResponse::Noted) => {}
                        (sent, _) => {
                            out.extend(sent);
                            break "nonsense";
                        }
                    }
                }
                count = queue.recv_many(&mut batch, BATCH) => {
                    if count == 0 {
                        break "ended";
                    }
                    if out.is_empty() {
                        last_word = Instant::now();
                    }
                    batch.retain(|call| !call.is_abandoned());
                    self.count_draws(|counts| counts.asked += batch.len() as u64);
                    let (sent, question) = self.message((life, term), std::mem::take(&mut batch));
                    out.push_back(sent);
                    match timeout(SILENCE, frame::write(&mut to, &question)).await {
                        Ok(Ok(())) => {}
                        _ => break "broken",
                    }
                }
                changed = holder.changed() => {
                    let known = *holder.borrow_and_update();
                    if changed.is_err() || known != Some((term, address)) {
                        break "another_holder";
                    }
                }
                () = tokio::time::sleep_until(silent), if !out.is_empty() => break "silent",
                () = self.pause(), if out.is_empty() => {
                    let (sent, question) = self.message((life, term), Vec::new());
                    out.push_back(sent);
                    last_word = Instant::now();
                    match timeout(SILENCE, frame::write(&mut to, &question)).await {
                        Ok(Ok(())) => {}
                        _ => break "broken",
                    }
                }
            }
        };
        // What was sent may have been added, and is told again in any case.
        for sent in out {
            let Sent::Draws(calls, told) = sent else { continue };
            self.changed.borrow_mut().extend(told);
            calls.into_iter().for_each(|call| self.failed(call, Outcome::Reset));
        }
        why
    }

    /// The counter names those that its own registry knows. One that was started while it was cut off from others may know
    /// less than half: the others get their part by chance. Guards against all work going to a few while the rest stands idle.
    fn beside(&self, service: u32) -> Option<Vec<(ServerId, Micros)>> {
        let unknown = self.unknown.borrow();
        let unknown = unknown.get(&service).filter(|unknown| fastrand::f64() < unknown.part)?;
        let mut some = fastrand::choose_multiple(unknown.backends.iter(), BESIDE);
        fastrand::shuffle(&mut some);
        Some(some.into_iter().map(|backend| (ServerId(*backend), Micros(0))).collect())
    }

    /// What a counter that begins, or that has forgotten this gateway, must know.
    fn recall(&self, life: u64, term: u64) -> RegistryRequest {
        let readings = self.client.borrow_mut().recall(self.start.elapsed(), *self.time.borrow());
        RegistryRequest::Recall { term, from: life, readings }
    }

    /// One message with these draws, and with what else is to be told.
    fn message(&self, (life, term): (u64, u64), mut calls: Vec<Waiting>) -> (Sent, RegistryRequest) {
        let drawn = calls.iter_mut().map(|call| &mut call.draw);
        let owed_elsewhere = self.client.borrow_mut().tells(self.start.elapsed(), drawn, BATCH);
        let quotas = self.quotas.borrow();
        for (name, owed) in owed_elsewhere {
            // The tenant of a store without a quota was taken away.
            let Some((rate, burst)) = quotas.get(&name).copied() else { continue };
            let draw = Draw { name, owed, units: 0.0, rate, burst, service: 0, within_ms: 0 };
            calls.push(Waiting { draw, reply: None });
        }
        let words = self.words();
        let told = words.iter().map(|word| word.backend).collect();
        let draws = calls.iter().map(|call| call.draw).collect();
        (Sent::Draws(calls, told), RegistryRequest::Count { term, from: life, draws, words })
    }

    /// What became of a draw, as the counter tells it.
    fn answered(&self, call: Waiting, level: QuotaLevel, time: u64) {
        let (draw, granted) = (call.draw, level.level >= 0.0);
        let named = || level.rooms.iter().copied().map(named).collect();
        let rooms = self.beside(draw.service).unwrap_or_else(named);
        let asked = call.reply.is_some();
        let (outcome, total, share) = (Outcome::Ok, level.level, Some(level.share));
        let waited = call.answer(CounterResult { outcome, total, share, fastest_servers: rooms });
        if asked {
            self.count_answer(waited, granted);
        }
        self.client.borrow_mut().answered(time, &draw, &level, waited);
    }

    /// What has to be told of backends. How attempts ended is told once: what is lost of it is no harm. What is out is told
    /// again where the word may have been lost.
    fn words(&self) -> Vec<LoadReport> {
        let mut words = self.words.borrow_mut();
        let tell = |backend| {
            let nothing = LoadReport { backend, out: 0, well: 0, took_ms: 0, ill: 0 };
            let Some(word) = words.get_mut(&backend) else { return nothing };
            let told = *word;
            match told.out {
                0 => drop(words.remove(&backend)),
                out => *word = LoadReport { out, ..nothing },
            }
            told
        };
        std::mem::take(&mut *self.changed.borrow_mut()).into_iter().map(tell).collect()
    }

    fn note(&self, server: ServerId, change: impl FnOnce(&mut LoadReport)) {
        let backend = server.0;
        let nothing = LoadReport { backend, out: 0, well: 0, took_ms: 0, ill: 0 };
        change(self.words.borrow_mut().entry(backend).or_insert(nothing));
        self.changed.borrow_mut().insert(backend);
        self.new_words.notify_one();
    }

    /// Until something has to be told: at once where nothing was for a moment, so that all gateways together tell the
    /// counter no more than so often; or to keep in touch.
    async fn pause(&self) {
        let told = async {
            sleep(TELL * self.gateways.get()).await;
            while self.changed.borrow().is_empty() && !self.client.borrow().owes() {
                self.new_words.notified().await;
            }
        };
        tokio::select! {
            biased;
            () = told => {}
            () = sleep(KEEPALIVE_INTERVAL) => {}
        }
    }

    /// The counter can be asked, and may answer.
    pub fn is_reached(&self) -> bool {
        self.reached.get() && self.granted.get()
    }

    /// A call ends without an answer.
    fn failed(&self, call: Waiting, outcome: Outcome) {
        self.client.borrow_mut().failed(&call.draw);
        if call.reply.is_some() {
            self.count_draws(|counts| counts.failed += 1);
        }
        call.answer(outcome.into());
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

    fn count_answer(&self, in_time: bool, taken: bool) {
        self.count_draws(|counts| match (in_time, taken) {
            (true, true) => counts.granted += 1,
            (true, false) => counts.refused += 1,
            (false, true) => counts.late_granted += 1,
            (false, false) => counts.late_refused += 1,
        });
    }

    /// Somebody has told the system's time.
    pub fn hear_time(&self, time: u64) {
        self.time.send_if_modified(|known| {
            let later = time > *known;
            *known = (*known).max(time);
            later
        });
    }
}

/// A backend that the counter named, in the module's terms.
fn named(room: BackendOffer) -> (ServerId, Micros) {
    (ServerId(room.backend), Micros(u64::from(room.takes_ms) * 1_000))
}

impl CounterTransport for Counter {
    /// All counts are stores here.
    fn count(self: Rc<Self>, _: CountName, _: f64, _: Micros) -> CounterCall {
        Box::pin(async { Outcome::Moot.into() })
    }

    fn charge(&self, name: CountName, units: f64) {
        let rate = self.quotas.borrow().get(&name.0).map_or(0.0, |(rate, _)| *rate);
        self.client.borrow_mut().charge(name.0, units, rate, self.gateways.get() as usize);
        self.new_words.notify_one();
    }

    fn attempt_sent(&self, server: ServerId) {
        self.count_draws(|counts| counts.attempts += 1);
        self.note(server, |word| word.out = word.out.saturating_add(1));
    }

    fn attempt_ended(&self, server: ServerId, outcome: Outcome, took: Micros) {
        self.note(server, |word| {
            word.out = word.out.saturating_sub(1);
            match outcome {
                Outcome::Ok => {
                    word.well = word.well.saturating_add(1);
                    word.took_ms = word.took_ms.saturating_add((took.0 / 1_000) as u32);
                }
                // It says nothing of the backend.
                Outcome::Cancelled | Outcome::Moot => {}
                _ => word.ill = word.ill.saturating_add(1),
            }
        });
    }

    fn draw(
        self: Rc<Self>,
        name: CountName,
        units: f64,
        (service, within): (ServiceId, Micros),
    ) -> CounterCall {
        if !self.reached.get() {
            return Box::pin(async { Outcome::ConnectFailed.into() });
        }
        let Some((rate, burst)) = self.quotas.borrow().get(&name.0).copied() else {
            return Box::pin(async { Outcome::Moot.into() });
        };
        let within_ms = (within.0 / 1_000).min(u64::from(u16::MAX)) as u16;
        let draw = Draw { name: name.0, owed: 0.0, units, rate, burst, service: service.0, within_ms };
        let (reply, answer) = oneshot::channel();
        if let Err(refused) = self.calls.try_send(Waiting { draw, reply: Some(reply) }) {
            self.failed(refused.into_inner(), Outcome::ConnectFailed);
        }
        Box::pin(async move {
            match timeout(PATIENCE, answer).await {
                Ok(Ok(counted)) => counted,
                Ok(Err(_)) => Outcome::Reset.into(),
                Err(_) => Outcome::Timeout.into(),
            }
        })
    }
}
