//! The way to the shared count: draws go to whoever keeps it, many in one message, and what the stores hold comes back.

use starlinghill_decision::api::{CountName, Micros, Outcome, ServerId};
use starlinghill_dovetail::frame::{self, Reader};
use starlinghill_gateway::counter::{Count, Counting};
use starlinghill_gateway::inbox::{Counted, Inbox, Input};
use starlinghill_gauge::{Draw, Level, Readings, KEEP_IN_TOUCH};
use starlinghill_toolrack::wire::{Answer, Question};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
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
/// A counter that says nothing for so long, with calls under way, is gone.
const SILENCE: Duration = Duration::from_millis(450);

/// A gateway tells what it has out no more often than this, times the number of gateways: what the counter hears of all
/// stays the same.
const TELL: Duration = Duration::from_micros(700);
/// With more gateways each has too little out for the others to go by, and the lists would fill thin links.
const MOST_TELLING: u32 = 32;

struct Waiting {
    draw: Draw,
    reply: oneshot::Sender<Counted>,
}

/// The count, as a gateway reaches it.
pub struct Counter {
    readings: RefCell<Readings>,
    /// The quotas by the names of their stores.
    pub quotas: RefCell<HashMap<u64, (f64, f64)>>,
    calls: mpsc::Sender<Waiting>,
    reached: Cell<bool>,
    /// What this gateway has out at backends, and where that is not told yet.
    out: RefCell<HashMap<u64, u16>>,
    changed: RefCell<HashSet<u64>>,
    new_loads: Notify,
    /// Where what the others have out goes, once there is a driver.
    driver: RefCell<Option<Inbox>>,
    /// How many gateways there are.
    pub gateways: Cell<u32>,
    /// The system's time, the highest that was heard.
    pub time: watch::Sender<u64>,
}

/// Who keeps the count: its term and where it is.
pub type Holder = Option<(u64, SocketAddr)>;

impl Counter {
    /// The count, for the gateway process of that life.
    pub fn start(life: u64, holder: watch::Receiver<Holder>) -> Rc<Counter> {
        let (calls, queue) = mpsc::channel(QUEUE);
        let counter = Rc::new(Counter {
            readings: RefCell::default(),
            quotas: RefCell::default(),
            calls,
            reached: Cell::new(false),
            out: RefCell::default(),
            changed: RefCell::default(),
            new_loads: Notify::new(),
            driver: RefCell::new(None),
            gateways: Cell::new(1),
            time: watch::channel(0).0,
        });
        tokio::task::spawn_local(counter.clone().run(life, holder, queue));
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
                failed(call, Outcome::ConnectFailed);
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
        let Ok(Ok(mut stream)) = timeout(CONNECT, TcpStream::connect(address)).await else {
            return "no_connection";
        };
        frame::tune(&stream);
        let mut reader = Reader::default();
        // First what was heard before: a counter that begins must know of it.
        let readings = self.readings.borrow_mut().all(*self.time.borrow());
        let recall = Question::Recall { term, from: life, readings };
        if frame::write(&mut stream, &recall).await.is_err() {
            return "broken";
        }
        match timeout(CONNECT, reader.read::<Answer>(&mut stream)).await {
            Ok(Ok(Some(Answer::Noted))) => {}
            Ok(Ok(Some(_))) => return "not_the_holder",
            _ => return "silent",
        }
        if !self.reached.replace(true) {
            log::info!("event=count_reached term={term} at={address}");
        }
        // Another counter knows nothing of what is out.
        self.changed.borrow_mut().extend(self.out.borrow().keys());
        let (mut from, mut to) = stream.into_split();
        // Calls under way, each message with the backends whose loads it told.
        let mut out: VecDeque<(Vec<Waiting>, Vec<u64>)> = VecDeque::new();
        let mut last_word = Instant::now();
        let mut batch = Vec::new();
        let why = loop {
            let silent = last_word + SILENCE;
            tokio::select! {
                biased;
                answer = reader.read::<Answer>(&mut from) => {
                    last_word = Instant::now();
                    let Ok(Some(answer)) = answer else { break "broken" };
                    let Some((calls, told)) = out.pop_front() else { break "nonsense" };
                    match answer {
                        Answer::Levels(levels, time, loads) if levels.len() == calls.len() => {
                            self.hear_time(time);
                            self.hear_loads(loads);
                            for (call, Level { level: total, share }) in calls.into_iter().zip(levels) {
                                let unused = if total < 0.0 { call.draw.units } else { 0.0 };
                                self.readings.borrow_mut().heard(call.draw.name, total + unused, time);
                                // Whoever asked may have stopped waiting.
                                let _ = call.reply.send(Counted { outcome: Outcome::Ok, total, share: Some(share) });
                            }
                        }
                        Answer::NotMine(known) => {
                            // It took in none of them.
                            self.changed.borrow_mut().extend(told);
                            calls.into_iter().for_each(|call| failed(call, Outcome::Full));
                            if known > term {
                                break "another_term";
                            }
                        }
                        _ => break "nonsense",
                    }
                }
                count = queue.recv_many(&mut batch, BATCH) => {
                    if count == 0 {
                        break "ended";
                    }
                    if out.is_empty() {
                        last_word = Instant::now();
                    }
                    let draws = batch.iter().map(|call| call.draw).collect();
                    let loads = self.loads();
                    out.push_back((std::mem::take(&mut batch), loads.iter().map(|(name, _)| *name).collect()));
                    let question = Question::Count { term, from: life, draws, loads };
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
                    let loads = self.loads();
                    out.push_back((Vec::new(), loads.iter().map(|(name, _)| *name).collect()));
                    let question = Question::Count { term, from: life, draws: Vec::new(), loads };
                    last_word = Instant::now();
                    match timeout(SILENCE, frame::write(&mut to, &question)).await {
                        Ok(Ok(())) => {}
                        _ => break "broken",
                    }
                }
            }
        };
        // What was sent may have been added, and is told again in any case.
        for (calls, told) in out {
            self.changed.borrow_mut().extend(told);
            calls.into_iter().for_each(|call| failed(call, Outcome::Reset));
        }
        why
    }

    /// What has to be told of what is out.
    fn loads(&self) -> Vec<(u64, u16)> {
        let out = self.out.borrow();
        let changed = std::mem::take(&mut *self.changed.borrow_mut());
        if self.gateways.get() > MOST_TELLING {
            return Vec::new();
        }
        changed.into_iter().map(|name| (name, out.get(&name).copied().unwrap_or(0))).collect()
    }

    /// Until something has to be told: at once where nothing was for a moment, so that all gateways together tell the
    /// counter no more than so often; or to keep in touch.
    async fn pause(&self) {
        let told = async {
            sleep(TELL * self.gateways.get()).await;
            while self.changed.borrow().is_empty() || self.gateways.get() > MOST_TELLING {
                self.new_loads.notified().await;
            }
        };
        tokio::select! {
            () = told => {}
            () = sleep(KEEP_IN_TOUCH) => {}
        }
    }

    fn hear_loads(&self, loads: Vec<(u64, u16)>) {
        if self.gateways.get() > MOST_TELLING {
            return;
        }
        let loads = loads.into_iter().map(|(name, out)| (ServerId(name), f64::from(out))).collect();
        if let Some(driver) = &*self.driver.borrow() {
            // One that has no room has older news than these to take in; the next ones hold them.
            let _ = driver.try_send(Input::Loads(loads));
        }
    }

    /// From now on there is a driver to hear what the others have out.
    pub fn tell_loads(&self, driver: Inbox) {
        *self.driver.borrow_mut() = Some(driver);
    }

    /// The counter can be asked.
    pub fn is_reached(&self) -> bool {
        self.reached.get()
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

/// A call ends without an answer.
fn failed(call: Waiting, outcome: Outcome) {
    // Whoever asked may have stopped waiting.
    let _ = call.reply.send(outcome.into());
}

impl Count for Counter {
    /// All counts are stores here.
    fn count(self: Rc<Self>, _: CountName, _: f64, _: Micros) -> Counting {
        Box::pin(async { Outcome::Moot.into() })
    }

    fn load(&self, server: ServerId, out: bool) {
        let mut all = self.out.borrow_mut();
        let entry = all.entry(server.0).or_default();
        *entry = if out { entry.saturating_add(1) } else { entry.saturating_sub(1) };
        if *entry == 0 {
            all.remove(&server.0);
        }
        self.changed.borrow_mut().insert(server.0);
        self.new_loads.notify_one();
    }

    fn draw(self: Rc<Self>, name: CountName, owed: f64, units: f64) -> Counting {
        if !self.reached.get() {
            return Box::pin(async { Outcome::ConnectFailed.into() });
        }
        let Some((rate, burst)) = self.quotas.borrow().get(&name.0).copied() else {
            return Box::pin(async { Outcome::Moot.into() });
        };
        let draw = Draw { name: name.0, owed, units, rate, burst };
        let (reply, answer) = oneshot::channel();
        if let Err(refused) = self.calls.try_send(Waiting { draw, reply }) {
            failed(refused.into_inner(), Outcome::ConnectFailed);
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
