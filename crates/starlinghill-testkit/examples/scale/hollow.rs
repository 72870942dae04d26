//! Gateways and backends that only speak: tasks of this process, each from a loopback address of its own.

use crate::machines::Links;
use starlinghill_catalog::{name_hash, service_hash, BackendState, Gateway, Observation};
use starlinghill_failure_detector::PeerSighting;
use starlinghill_quota_counter::{Draw, LoadReport};
use starlinghill_registry::wire::{KnownState, RegistryRequest, RegistryResponse, RegistryUpdate};
use starlinghill_runtime::frame::{self, Reader};
use starlinghill_runtime::net::Connection;
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// As real gateways and backends have them.
const PATIENCE: Duration = Duration::from_millis(1_000);
const PAUSE: Duration = Duration::from_millis(80);
const CONNECT: Duration = Duration::from_millis(300);
/// Connections of backends to all registries together; beyond that several share one, as registries take no more.
const MOST_CALLERS: usize = 3_900;
/// The route by which changes are followed.
pub const MARKED: &str = "r-0";

/// What all hollow ones share.
pub struct Hollow {
    pub net: Links,
    pub beat: Duration,
    pub services: usize,
    pub tenants: usize,
    pub draws: f64,
    /// So many backends are to be known.
    pub wanted: AtomicUsize,
    /// Answers that were read, news among them, calls that failed, beats that were not taken.
    pub answers: AtomicU64,
    pub news: AtomicU64,
    pub failed: AtomicU64,
    pub refused_beats: AtomicU64,
    pub refused_draws: AtomicU64,
    /// Backends that drain, by their numbers.
    draining: Mutex<HashMap<usize, bool>>,
    calls: AtomicU64,
    over: AtomicBool,
}

/// What a gateway knows, and since when.
#[derive(Default)]
pub struct Known {
    pub version: u64,
    pub version_at: Option<Instant>,
    pub drains: HashMap<usize, Instant>,
    pub fresh_at: Option<Instant>,
    pub all_at: Option<Instant>,
    pub counted_at: Option<Instant>,
    pub holder: Option<(u64, IpAddr)>,
}

/// A hollow gateway.
pub struct HollowGateway {
    me: Gateway,
    pub known: Mutex<Known>,
    holder: watch::Sender<Option<(u64, IpAddr)>>,
    time: AtomicU64,
}

impl HollowGateway {
    pub fn look<T>(&self, look: impl FnOnce(&mut Known) -> T) -> T {
        look(&mut self.known.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// What it was told before the core was killed is to be told again.
    pub fn forget(&self) {
        self.look(|known| {
            (known.fresh_at, known.all_at, known.counted_at) = (None, None, None);
        });
    }
}

/// A connection from an address of one's own.
async fn connect(from: IpAddr, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(SocketAddr::new(from, 0))?;
    timeout(CONNECT, socket.connect(to)).await.map_err(|_| io::ErrorKind::TimedOut)?
}

async fn ask(
    stream: &mut TcpStream,
    reader: &mut Reader,
    question: &RegistryRequest,
) -> io::Result<RegistryResponse> {
    let asked = async {
        frame::write(stream, question).await?;
        reader.read::<RegistryResponse>(stream).await?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    };
    timeout(PATIENCE, asked).await.map_err(|_| io::ErrorKind::TimedOut)?
}

/// The backends that one registry told of in its present life.
#[derive(Default)]
struct Listed {
    bits: Vec<u64>,
    count: usize,
}

impl Listed {
    fn told(&mut self, index: usize) {
        let (word, bit) = (index / 64, 1u64 << (index % 64));
        if self.bits.len() <= word {
            self.bits.resize(word + 1, 0);
        }
        self.count += usize::from(self.bits[word] & bit == 0);
        self.bits[word] |= bit;
    }
}

impl Hollow {
    pub fn new(net: Links, beat: Duration, services: usize, tenants: usize, draws: f64) -> Arc<Hollow> {
        Arc::new(Hollow {
            net,
            beat,
            services,
            tenants,
            draws,
            wanted: AtomicUsize::new(usize::MAX),
            answers: AtomicU64::new(0),
            news: AtomicU64::new(0),
            failed: AtomicU64::new(0),
            refused_beats: AtomicU64::new(0),
            refused_draws: AtomicU64::new(0),
            draining: Mutex::default(),
            calls: AtomicU64::new(1),
            over: AtomicBool::new(false),
        })
    }

    /// All end.
    pub fn end(&self) {
        self.over.store(true, Ordering::Relaxed);
    }

    fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    /// Starts a gateway.
    pub fn gateway(self: &Arc<Self>, i: usize, all: usize, tasks: &mut JoinSet<()>) -> Arc<HollowGateway> {
        let me = Gateway {
            ip: self.net.hollow(i),
            incarnation: fastrand::u64(1..),
            zone: format!("zone-{}", i % 3),
            node: format!("hollow-{i}"),
        };
        let gateway = Arc::new(HollowGateway {
            me,
            known: Mutex::default(),
            holder: watch::channel(None).0,
            time: AtomicU64::new(0),
        });
        for at in self.net.racks() {
            let (hollow, gateway) = (self.clone(), gateway.clone());
            tasks.spawn(async move {
                // Not all in one moment.
                sleep(Duration::from_millis(fastrand::u64(..500))).await;
                hollow.follow(&gateway, at, (i, all)).await;
            });
        }
        let (hollow, drawing) = (self.clone(), gateway.clone());
        tasks.spawn(async move { hollow.draw(&drawing).await });
        gateway
    }

    /// Asks one registry for news, as a gateway does.
    async fn follow(&self, gateway: &HollowGateway, at: SocketAddr, (i, all): (usize, usize)) {
        let mut line: Option<(TcpStream, Reader)> = None;
        let (mut life, mut seq, mut listed) = (0, 0, Listed::default());
        // A watcher on the ring tells of three others.
        let seen =
            |by: usize| PeerSighting { ip: self.net.hollow((i + by) % all), incarnation: 1, ago_ms: 100 };
        while !self.is_over() {
            let have = KnownState {
                gateway: gateway.me.clone(),
                registry_incarnation: life,
                seq,
                time: gateway.time.load(Ordering::Relaxed),
                counter_term: 0,
                leaving: false,
                items_digest: 0,
                sightings: (1..=3).map(seen).collect(),
            };
            let asked = async {
                let mut kept = match line.take() {
                    Some(kept) => kept,
                    None => {
                        let stream = connect(gateway.me.ip, at).await?;
                        stream.tune();
                        (stream, Reader::default())
                    }
                };
                let answer = ask(&mut kept.0, &mut kept.1, &RegistryRequest::Poll(have)).await?;
                line = Some(kept);
                io::Result::Ok(answer)
            };
            match asked.await {
                Ok(RegistryResponse::Update(news)) => {
                    if news.registry_incarnation != life || news.complete {
                        listed = Listed::default();
                    }
                    (life, seq) = (news.registry_incarnation, news.seq);
                    self.answers.fetch_add(1, Ordering::Relaxed);
                    self.news.fetch_add(1, Ordering::Relaxed);
                    self.take(gateway, *news, &mut listed);
                }
                _ => {
                    self.failed.fetch_add(1, Ordering::Relaxed);
                    sleep(PAUSE).await;
                }
            }
        }
    }

    fn take(&self, gateway: &HollowGateway, news: RegistryUpdate, listed: &mut Listed) {
        let now = Instant::now();
        gateway.time.fetch_max(news.time, Ordering::Relaxed);
        let marked = news.items.iter().find(|item| item.name == MARKED).map(|item| item.version);
        let mut drains = Vec::new();
        for Observation { instance, .. } in &news.backends {
            let Some(index) = instance.id.strip_prefix("b-").and_then(|n| n.parse().ok()) else { continue };
            match instance.state {
                BackendState::Ready => listed.told(index),
                _ => drains.push(index),
            }
        }
        let all = listed.count >= self.wanted.load(Ordering::Relaxed);
        gateway.look(|known| {
            if marked.is_some_and(|version| version > known.version) {
                (known.version, known.version_at) = (marked.unwrap_or_default(), Some(now));
            }
            for index in drains {
                known.drains.entry(index).or_insert(now);
            }
            if news.contact.is_some() {
                known.fresh_at.get_or_insert(now);
            }
            if all {
                known.all_at.get_or_insert(now);
            }
            if news.counter_holder.is_some_and(|(term, _)| known.holder.is_none_or(|(old, _)| term > old)) {
                known.holder = news.counter_holder;
                gateway.holder.send_replace(news.counter_holder);
            }
        });
    }

    /// Draws from tenants' stores, as a gateway does that has little to do.
    async fn draw(&self, gateway: &HollowGateway) {
        let mut holder = gateway.holder.subscribe();
        let pause = Duration::from_secs_f64(1.0 / self.draws);
        let mut last = 0;
        while !self.is_over() {
            let known = *holder.borrow_and_update();
            let Some((term, ip)) = known else {
                let _ = timeout(PATIENCE, holder.changed()).await;
                continue;
            };
            let port = self.net.racks()[0].port();
            let Ok(mut stream) = connect(gateway.me.ip, SocketAddr::new(ip, port)).await else {
                sleep(PAUSE).await;
                continue;
            };
            stream.tune();
            let (mut reader, from) = (Reader::default(), gateway.me.incarnation);
            let recall = RegistryRequest::Recall { term, from, readings: Vec::new() };
            let mut answer = ask(&mut stream, &mut reader, &recall).await;
            sleep(pause.mul_f64(fastrand::f64())).await;
            while !self.is_over() && !holder.has_changed().unwrap_or(true) {
                match answer {
                    Ok(RegistryResponse::Acknowledged) => {}
                    Ok(RegistryResponse::Levels(levels, _)) => {
                        self.answers.fetch_add(1, Ordering::Relaxed);
                        let room = levels.first().and_then(|level| level.offers.first());
                        last = room.map_or(0, |room| room.backend);
                        gateway.look(|known| {
                            known.counted_at.get_or_insert_with(Instant::now);
                        });
                    }
                    Ok(_) => drop(self.refused_draws.fetch_add(1, Ordering::Relaxed)),
                    Err(_) => {
                        self.failed.fetch_add(1, Ordering::Relaxed);
                        break;
                    }
                }
                sleep(pause).await;
                let question = RegistryRequest::Draw {
                    term,
                    from,
                    draws: vec![self.a_draw()],
                    load_reports: word(last),
                };
                answer = ask(&mut stream, &mut reader, &question).await;
            }
            sleep(PAUSE).await;
        }
    }

    fn a_draw(&self) -> Draw {
        Draw {
            bucket: name_hash(&format!("t-{}", fastrand::usize(..self.tenants))),
            unreported: 0.0,
            units: 1.0,
            rate: 500.0,
            burst: 500.0,
            service: service_hash(&format!("s-{}", fastrand::usize(..self.services))),
            max_response_ms: 300,
        }
    }

    /// Starts backends with these numbers; several share a connection where there are many.
    pub fn backends(self: &Arc<Self>, numbers: std::ops::Range<usize>, tasks: &mut JoinSet<()>) {
        let agents = numbers.len().min(MOST_CALLERS);
        for agent in 0..agents {
            let own: Vec<usize> = numbers.clone().skip(agent).step_by(agents).collect();
            let hollow = self.clone();
            tasks.spawn(async move { hollow.beat(own).await });
        }
    }

    async fn beat(&self, own: Vec<usize>) {
        let controls = self.net.controls();
        let (mut turn, mut line) = (own[0] % controls.len(), None);
        let each = self.beat / own.len() as u32;
        sleep(self.beat.mul_f64(fastrand::f64())).await;
        let mut pace = tokio::time::interval(each);
        pace.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        for number in own.iter().cycle() {
            pace.tick().await;
            if self.is_over() {
                return;
            }
            let draining = {
                let draining = self.draining.lock().unwrap_or_else(PoisonError::into_inner);
                draining.get(number).copied().unwrap_or(false)
            };
            let text = self.beat_text(*number, draining);
            let asked = async {
                let mut stream = match line.take() {
                    Some(stream) => stream,
                    None => connect(self.net.backend(own[0]), controls[turn]).await?,
                };
                stream.set_nodelay(true)?;
                stream.write_all(text.as_bytes()).await?;
                let status = answered(&mut stream).await?;
                line = Some(stream);
                io::Result::Ok(status)
            };
            match timeout(PATIENCE, asked).await {
                Ok(Ok(200)) => drop(self.answers.fetch_add(1, Ordering::Relaxed)),
                _ => {
                    self.refused_beats.fetch_add(1, Ordering::Relaxed);
                    (turn, line) = ((turn + 1) % controls.len(), None);
                }
            }
        }
    }

    pub fn service_of(&self, number: usize) -> usize {
        number % self.services
    }

    /// What a backend's beat says.
    pub fn beat_body(&self, number: usize, draining: bool) -> String {
        let (calls, state) =
            (self.calls.fetch_add(1, Ordering::Relaxed), if draining { "draining" } else { "ready" });
        format!(
            r#"{{"address":"{}:8080","details":{{"service":"s-{}","version":"v1","zone":"zone-{}","capacity":4}},
            "observed":{{"state":"{state}","call_count":{calls},"warmup_left":"0ms"}}}}"#,
            self.net.backend(number),
            self.service_of(number),
            number % 3,
        )
    }

    fn beat_text(&self, number: usize, draining: bool) -> String {
        let body = self.beat_body(number, draining);
        format!(
            "PUT /api/backends/b-{number} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }

    /// From now on that backend says that it drains.
    pub fn drain(&self, number: usize) {
        self.draining.lock().unwrap_or_else(PoisonError::into_inner).insert(number, true);
    }
}

fn word(backend: u64) -> Vec<LoadReport> {
    let word = LoadReport { backend, outstanding: 0, succeeded: 1, total_latency_ms: 40, failed: 0 };
    (backend != 0).then_some(word).into_iter().collect()
}

/// Reads an answer whose length is told; returns its status.
async fn answered(stream: &mut TcpStream) -> io::Result<u16> {
    let mut came = Vec::with_capacity(256);
    loop {
        if stream.read_buf(&mut came).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = String::from_utf8_lossy(&came);
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.lines().filter_map(|line| line.split_once(": "));
        let mut length = length.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
        let length: usize = length.next().and_then(|(_, n)| n.parse().ok()).unwrap_or(0);
        if body.len() >= length {
            return head.get(9..12).and_then(|s| s.parse().ok()).ok_or(io::ErrorKind::InvalidData.into());
        }
    }
}
