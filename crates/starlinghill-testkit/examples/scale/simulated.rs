//! Simulated gateways and backends: tasks of this process that speak the registries' protocols but serve no requests. Each
//! connects from a loopback address of its own.

use crate::machines::Addresses;
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

/// How long a caller waits for an answer, as real gateways and backends do.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(80);
/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The most connections of backends to all registries together, as registries accept no more. More backends than that
/// share connections.
const MAX_BACKEND_CONNECTIONS: usize = 3_900;
/// The route whose version is changed to measure how changes spread.
pub const TRACKED_ROUTE: &str = "r-0";

/// The settings and counts that all simulated gateways and backends share.
pub struct SimulatedFleet {
    pub addresses: Addresses,
    /// The time between two beats of a backend.
    pub beat: Duration,
    pub services: usize,
    pub tenants: usize,
    /// Draws per second of each gateway.
    pub draws: f64,
    /// A gateway counts as complete when it knows this many backends.
    pub wanted: AtomicUsize,
    /// Answers received.
    pub answers: AtomicU64,
    /// Registry updates among them.
    pub updates: AtomicU64,
    /// Polls and draws without an answer.
    pub failed: AtomicU64,
    /// Beats without an answer, or with one other than 200.
    pub refused_beats: AtomicU64,
    /// Draws whose answer was not a level.
    pub refused_draws: AtomicU64,
    /// The backends that drain, by number.
    draining: Mutex<HashMap<usize, bool>>,
    /// The call count in the next beat; it must grow.
    calls: AtomicU64,
    stopped: AtomicBool,
}

/// What a gateway knows, and when it first knew it.
#[derive(Default)]
pub struct Known {
    /// The version of [`TRACKED_ROUTE`].
    pub version: u64,
    pub version_at: Option<Instant>,
    /// Draining backends by number.
    pub drains: HashMap<usize, Instant>,
    /// The first update with the registry's contact to a majority.
    pub fresh_at: Option<Instant>,
    /// When it knew all wanted backends.
    pub all_at: Option<Instant>,
    /// The first answered draw.
    pub counted_at: Option<Instant>,
    /// The quota counter's term and address.
    pub holder: Option<(u64, IpAddr)>,
}

/// A simulated gateway.
pub struct SimulatedGateway {
    me: Gateway,
    pub known: Mutex<Known>,
    holder: watch::Sender<Option<(u64, IpAddr)>>,
    time: AtomicU64,
}

impl SimulatedGateway {
    /// Runs a function on what the gateway knows, under its lock.
    pub fn with_known<T>(&self, read: impl FnOnce(&mut Known) -> T) -> T {
        read(&mut self.known.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Clears the times that are measured again after the core was killed.
    pub fn forget(&self) {
        self.with_known(|known| {
            (known.fresh_at, known.all_at, known.counted_at) = (None, None, None);
        });
    }
}

/// Connects from this local address.
async fn connect(from: IpAddr, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(SocketAddr::new(from, 0))?;
    timeout(CONNECT_TIMEOUT, socket.connect(to)).await.map_err(|_| io::ErrorKind::TimedOut)?
}

/// Sends a request to a registry and reads its response.
async fn call_registry(
    stream: &mut TcpStream,
    reader: &mut Reader,
    request: &RegistryRequest,
) -> io::Result<RegistryResponse> {
    let exchange = async {
        frame::write(stream, request).await?;
        reader.read::<RegistryResponse>(stream).await?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    };
    timeout(ANSWER_TIMEOUT, exchange).await.map_err(|_| io::ErrorKind::TimedOut)?
}

/// The set of backends that a registry has listed since its start.
#[derive(Default)]
struct Listed {
    /// A bit for each backend number.
    bits: Vec<u64>,
    count: usize,
}

impl Listed {
    fn insert(&mut self, index: usize) {
        let (word, bit) = (index / 64, 1u64 << (index % 64));
        if self.bits.len() <= word {
            self.bits.resize(word + 1, 0);
        }
        self.count += usize::from(self.bits[word] & bit == 0);
        self.bits[word] |= bit;
    }
}

impl SimulatedFleet {
    pub fn new(
        addresses: Addresses,
        beat: Duration,
        services: usize,
        tenants: usize,
        draws: f64,
    ) -> Arc<SimulatedFleet> {
        Arc::new(SimulatedFleet {
            addresses,
            beat,
            services,
            tenants,
            draws,
            wanted: AtomicUsize::new(usize::MAX),
            answers: AtomicU64::new(0),
            updates: AtomicU64::new(0),
            failed: AtomicU64::new(0),
            refused_beats: AtomicU64::new(0),
            refused_draws: AtomicU64::new(0),
            draining: Mutex::default(),
            calls: AtomicU64::new(1),
            stopped: AtomicBool::new(false),
        })
    }

    /// Stops all tasks.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Starts gateway `i` of `all`: a task for each registry that polls it, and one that draws.
    pub fn gateway(self: &Arc<Self>, i: usize, all: usize, tasks: &mut JoinSet<()>) -> Arc<SimulatedGateway> {
        let me = Gateway {
            ip: self.addresses.simulated_gateway(i),
            incarnation: fastrand::u64(1..),
            zone: format!("zone-{}", i % 3),
            node: format!("simulated-{i}"),
        };
        let gateway = Arc::new(SimulatedGateway {
            me,
            known: Mutex::default(),
            holder: watch::channel(None).0,
            time: AtomicU64::new(0),
        });
        for at in self.addresses.registries() {
            let (fleet, gateway) = (self.clone(), gateway.clone());
            tasks.spawn(async move {
                // Spreads the first polls over half a second.
                sleep(Duration::from_millis(fastrand::u64(..500))).await;
                fleet.poll(&gateway, at, (i, all)).await;
            });
        }
        let (fleet, drawing) = (self.clone(), gateway.clone());
        tasks.spawn(async move { fleet.draw(&drawing).await });
        gateway
    }

    /// Polls a registry for updates all the time, as a gateway does.
    async fn poll(&self, gateway: &SimulatedGateway, at: SocketAddr, (i, all): (usize, usize)) {
        let mut connection: Option<(TcpStream, Reader)> = None;
        let (mut incarnation, mut seq, mut listed) = (0, 0, Listed::default());
        // Each gateway watches the next three on the ring.
        let sighting = |by: usize| PeerSighting {
            ip: self.addresses.simulated_gateway((i + by) % all),
            incarnation: 1,
            ago_ms: 100,
        };
        while !self.is_stopped() {
            let known_state = KnownState {
                gateway: gateway.me.clone(),
                registry_incarnation: incarnation,
                seq,
                time: gateway.time.load(Ordering::Relaxed),
                counter_term: 0,
                leaving: false,
                items_digest: 0,
                sightings: (1..=3).map(sighting).collect(),
            };
            let exchange = async {
                let mut open = match connection.take() {
                    Some(open) => open,
                    None => {
                        let stream = connect(gateway.me.ip, at).await?;
                        stream.tune();
                        (stream, Reader::default())
                    }
                };
                let answer =
                    call_registry(&mut open.0, &mut open.1, &RegistryRequest::Poll(known_state)).await?;
                connection = Some(open);
                io::Result::Ok(answer)
            };
            match exchange.await {
                Ok(RegistryResponse::Update(update)) => {
                    if update.registry_incarnation != incarnation || update.complete {
                        listed = Listed::default();
                    }
                    (incarnation, seq) = (update.registry_incarnation, update.seq);
                    self.answers.fetch_add(1, Ordering::Relaxed);
                    self.updates.fetch_add(1, Ordering::Relaxed);
                    self.apply_update(gateway, *update, &mut listed);
                }
                _ => {
                    self.failed.fetch_add(1, Ordering::Relaxed);
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    fn apply_update(&self, gateway: &SimulatedGateway, update: RegistryUpdate, listed: &mut Listed) {
        let now = Instant::now();
        gateway.time.fetch_max(update.time, Ordering::Relaxed);
        let route_version =
            update.items.iter().find(|item| item.name == TRACKED_ROUTE).map(|item| item.version);
        let mut drains = Vec::new();
        for Observation { instance, .. } in &update.backends {
            let Some(index) = instance.id.strip_prefix("b-").and_then(|n| n.parse().ok()) else { continue };
            match instance.state {
                BackendState::Ready => listed.insert(index),
                _ => drains.push(index),
            }
        }
        let all = listed.count >= self.wanted.load(Ordering::Relaxed);
        gateway.with_known(|known| {
            if route_version.is_some_and(|version| version > known.version) {
                (known.version, known.version_at) = (route_version.unwrap_or_default(), Some(now));
            }
            for index in drains {
                known.drains.entry(index).or_insert(now);
            }
            if update.contact.is_some() {
                known.fresh_at.get_or_insert(now);
            }
            if all {
                known.all_at.get_or_insert(now);
            }
            if update.counter_holder.is_some_and(|(term, _)| known.holder.is_none_or(|(old, _)| term > old)) {
                known.holder = update.counter_holder;
                gateway.holder.send_replace(update.counter_holder);
            }
        });
    }

    /// Draws from tenants' quotas at a steady rate, as a gateway with little traffic does.
    async fn draw(&self, gateway: &SimulatedGateway) {
        let mut holder = gateway.holder.subscribe();
        let pause = Duration::from_secs_f64(1.0 / self.draws);
        let mut last_backend = 0;
        while !self.is_stopped() {
            let known = *holder.borrow_and_update();
            let Some((term, ip)) = known else {
                let _ = timeout(ANSWER_TIMEOUT, holder.changed()).await;
                continue;
            };
            let port = self.addresses.registries()[0].port();
            let Ok(mut stream) = connect(gateway.me.ip, SocketAddr::new(ip, port)).await else {
                sleep(RETRY_DELAY).await;
                continue;
            };
            stream.tune();
            let (mut reader, from) = (Reader::default(), gateway.me.incarnation);
            let recall = RegistryRequest::Recall { term, from, readings: Vec::new() };
            let mut answer = call_registry(&mut stream, &mut reader, &recall).await;
            sleep(pause.mul_f64(fastrand::f64())).await;
            while !self.is_stopped() && !holder.has_changed().unwrap_or(true) {
                match answer {
                    Ok(RegistryResponse::Acknowledged) => {}
                    Ok(RegistryResponse::Levels(levels, _)) => {
                        self.answers.fetch_add(1, Ordering::Relaxed);
                        let offer = levels.first().and_then(|level| level.offers.first());
                        last_backend = offer.map_or(0, |offer| offer.backend);
                        gateway.with_known(|known| {
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
                let request = RegistryRequest::Draw {
                    term,
                    from,
                    draws: vec![self.random_draw()],
                    load_reports: load_reports(last_backend),
                };
                answer = call_registry(&mut stream, &mut reader, &request).await;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    fn random_draw(&self) -> Draw {
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

    /// Starts backends with these numbers. Many backends share connections, see [`MAX_BACKEND_CONNECTIONS`].
    pub fn start_backends(self: &Arc<Self>, numbers: std::ops::Range<usize>, tasks: &mut JoinSet<()>) {
        let agents = numbers.len().min(MAX_BACKEND_CONNECTIONS);
        for agent in 0..agents {
            let own: Vec<usize> = numbers.clone().skip(agent).step_by(agents).collect();
            let fleet = self.clone();
            tasks.spawn(async move { fleet.beat(own).await });
        }
    }

    /// Sends the beats of these backends in turn over one connection.
    async fn beat(&self, own: Vec<usize>) {
        let controls = self.addresses.controls();
        let (mut turn, mut connection) = (own[0] % controls.len(), None);
        let interval = self.beat / own.len() as u32;
        sleep(self.beat.mul_f64(fastrand::f64())).await;
        let mut ticks = tokio::time::interval(interval);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        for number in own.iter().cycle() {
            ticks.tick().await;
            if self.is_stopped() {
                return;
            }
            let draining = {
                let draining = self.draining.lock().unwrap_or_else(PoisonError::into_inner);
                draining.get(number).copied().unwrap_or(false)
            };
            let text = self.beat_request(*number, draining);
            let exchange = async {
                let mut stream = match connection.take() {
                    Some(stream) => stream,
                    None => connect(self.addresses.backend(own[0]), controls[turn]).await?,
                };
                stream.set_nodelay(true)?;
                stream.write_all(text.as_bytes()).await?;
                let status = read_status(&mut stream).await?;
                connection = Some(stream);
                io::Result::Ok(status)
            };
            match timeout(ANSWER_TIMEOUT, exchange).await {
                Ok(Ok(200)) => drop(self.answers.fetch_add(1, Ordering::Relaxed)),
                _ => {
                    self.refused_beats.fetch_add(1, Ordering::Relaxed);
                    (turn, connection) = ((turn + 1) % controls.len(), None);
                }
            }
        }
    }

    pub fn service_of(&self, number: usize) -> usize {
        number % self.services
    }

    /// The body of a backend's beat.
    pub fn beat_body(&self, number: usize, draining: bool) -> String {
        let (calls, state) =
            (self.calls.fetch_add(1, Ordering::Relaxed), if draining { "draining" } else { "ready" });
        format!(
            r#"{{"address":"{}:8080","details":{{"service":"s-{}","version":"v1","zone":"zone-{}","capacity":4}},
            "observed":{{"state":"{state}","call_count":{calls},"warmup_left":"0ms"}}}}"#,
            self.addresses.backend(number),
            self.service_of(number),
            number % 3,
        )
    }

    fn beat_request(&self, number: usize, draining: bool) -> String {
        let body = self.beat_body(number, draining);
        format!(
            "PUT /api/backends/b-{number} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }

    /// Has a backend report from now on that it drains.
    pub fn drain(&self, number: usize) {
        self.draining.lock().unwrap_or_else(PoisonError::into_inner).insert(number, true);
    }
}

/// The report on a draw's backend; none for backend 0, which stands for no offer.
fn load_reports(backend: u64) -> Vec<LoadReport> {
    let report = LoadReport { backend, outstanding: 0, succeeded: 1, total_latency_ms: 40, failed: 0 };
    (backend != 0).then_some(report).into_iter().collect()
}

/// Reads an HTTP response with a `Content-Length` and returns its status.
async fn read_status(stream: &mut TcpStream) -> io::Result<u16> {
    let mut received = Vec::with_capacity(256);
    loop {
        if stream.read_buf(&mut received).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = String::from_utf8_lossy(&received);
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.lines().filter_map(|line| line.split_once(": "));
        let mut length = length.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
        let length: usize = length.next().and_then(|(_, n)| n.parse().ok()).unwrap_or(0);
        if body.len() >= length {
            return head.get(9..12).and_then(|s| s.parse().ok()).ok_or(io::ErrorKind::InvalidData.into());
        }
    }
}
