//! What a member answers: to gateways that follow, to operators, to other members. It translates and never chooses.

use crate::machine::Applied;
use crate::member::{Alive, Member};
use crate::network::{deliver, LONGEST_FRAME};
use crate::store::Ident;
use starlinghill_failover::order::Order;
use starlinghill_failover::topology::is_name;
use starlinghill_failover::wire::{decode, encode, MAX_MESSAGE_BYTES, MAX_ORDER_BYTES};
use starlinghill_failover::Position;
use starlinghill_failover_client::proto::group_server::{Group, GroupServer};
use starlinghill_failover_client::proto::members_server::{Members, MembersServer};
use starlinghill_failover_client::proto::{
    down, up, Answer, Down, Frame, Hello, LookRequest, Question, Sealed, Up,
};
use starlinghill_failover_client::report::{MembershipChange, Report, Subscriber, SUBSCRIBERS_PER_REPORT};
use starlinghill_zone_health::report::Report as Evidence;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch, OwnedSemaphorePermit, Semaphore};
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::server::TcpIncoming;
use tonic::transport::Server;
use tonic::{Request, Response, Status, Streaming};
use tracing::{info, warn};

/// A stream must say who it is within this time.
const INTRODUCTION: Duration = Duration::from_secs(5);
/// A follower that takes nothing for so long is let go; it would be past `fresh` anyway.
const TAKEN_WITHIN: Duration = Duration::from_secs(2);
/// Messages that wait for one follower.
const WAITING: usize = 4;
/// Orders and looks under way at once; more wait.
const CALLS: usize = 64;

/// What the services share.
#[derive(Clone)]
pub struct Service {
    member: Arc<Member>,
    places: Arc<Semaphore>,
    calls: Arc<Semaphore>,
    followers: Arc<Mutex<BTreeMap<String, Known>>>,
    serial: Arc<AtomicU64>,
    stopping: watch::Receiver<bool>,
}

/// A follower and the stream that it came by.
struct Known {
    serial: u64,
    program: String,
    held: Position,
    followed: Position,
    mode: String,
    heard: Instant,
    zone: String,
    /// What it saw of zones last, and when it said that.
    evidence: Option<(Instant, Evidence)>,
}

impl Service {
    /// Services of a member; they end when `stopping` turns true.
    pub fn new(member: Arc<Member>, stopping: watch::Receiver<bool>) -> Service {
        let places = Arc::new(Semaphore::new(member.settings.subscribers));
        Service {
            member,
            places,
            calls: Arc::new(Semaphore::new(CALLS)),
            followers: Arc::default(),
            serial: Arc::default(),
            stopping,
        }
    }

    /// Serves until stopping.
    pub async fn serve(self, listener: TcpListener) -> Result<(), tonic::transport::Error> {
        let mut stopping = self.stopping.clone();
        // Past the places: one connection may hold a follower, an operator's call and another member's.
        let group = GroupServer::new(self.clone())
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(2 * MAX_MESSAGE_BYTES);
        let members = MembersServer::new(self)
            .max_decoding_message_size(LONGEST_FRAME)
            .max_encoding_message_size(LONGEST_FRAME);
        // Set on what is accepted here: the builder's own setting holds only for sockets that it opens itself. Without it
        // each order waits 40 ms for an acknowledgement.
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        Server::builder()
            .max_concurrent_streams(64)
            .http2_keepalive_interval(Some(Duration::from_secs(5)))
            .http2_keepalive_timeout(Some(Duration::from_secs(5)))
            .add_service(group)
            .add_service(members)
            .serve_with_incoming_shutdown(incoming, async move {
                // An error: whoever could stop it is gone, which stops it too.
                let _ = stopping.wait_for(|stop| *stop).await;
            })
            .await
    }

    fn known(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, Known>> {
        self.followers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn report(&self, alive: &Alive, after: &str) -> Report {
        let metrics = alive.metrics();
        let applied = alive.applied.borrow().clone();
        let voters: BTreeSet<u64> = metrics.membership_config.voter_ids().collect();
        let nodes = metrics.membership_config.nodes();
        let ms = |d: Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
        let known = self.known();
        let from = if after.is_empty() { Bound::Unbounded } else { Bound::Excluded(after) };
        let mut rest = known.range::<str, _>((from, Bound::Unbounded));
        let subscribers: Vec<Subscriber> = rest
            .by_ref()
            .take(SUBSCRIBERS_PER_REPORT)
            .map(|(name, k)| Subscriber {
                name: name.clone(),
                program: k.program.clone(),
                held: k.held,
                followed: k.followed,
                mode: k.mode.clone(),
                heard_ms: ms(k.heard.elapsed()),
                zone: k.zone.clone(),
                zone_report: k.evidence.clone().map(|(at, evidence)| (ms(at.elapsed()), evidence)),
            })
            .collect();
        Report {
            member: alive.speaker.id,
            group: alive.speaker.group.clone(),
            leader: metrics.current_leader,
            term: metrics.current_term,
            applied: applied.index,
            age_ms: alive.age().map(|age| age.0 / 1_000),
            members: nodes.map(|(id, n)| (*id, (n.addr.clone(), voters.contains(id)))).collect(),
            state: applied.state.without_recorded_outcomes(),
            more: rest.next().is_some(),
            subscribers,
        }
    }

    async fn call(&self) -> Result<OwnedSemaphorePermit, Status> {
        self.calls.clone().acquire_owned().await.map_err(|_| Status::unavailable("stopping"))
    }
}

#[tonic::async_trait]
impl Group for Service {
    type FollowStream = ReceiverStream<Result<Down, Status>>;

    async fn follow(&self, request: Request<Streaming<Up>>) -> Result<Response<Self::FollowStream>, Status> {
        let alive = self.member.alive()?.clone();
        let place = self.places.clone().try_acquire_owned().map_err(|_| {
            Status::resource_exhausted(format!(
                "{} follow already, which is all",
                self.member.settings.subscribers
            ))
        })?;
        let mut inbound = request.into_inner();
        let hello = match tokio::time::timeout(INTRODUCTION, inbound.message()).await {
            Ok(Ok(Some(Up { what: Some(up::What::Hello(hello)) }))) => hello,
            Ok(Ok(_)) => return Err(Status::invalid_argument("expected who follows, found something else")),
            Ok(Err(status)) => return Err(status),
            Err(_) => return Err(Status::deadline_exceeded("no first message in time")),
        };
        admit(&hello, &alive.applied.borrow())?;
        let (out, outs) = mpsc::channel(WAITING);
        let following = Following {
            service: self.clone(),
            alive,
            hello,
            serial: self.serial.fetch_add(1, Ordering::Relaxed),
            out,
            told: None,
            doubted: false,
            _place: place,
        };
        tokio::spawn(following.run(inbound));
        Ok(Response::new(ReceiverStream::new(outs)))
    }

    async fn give(&self, request: Request<Sealed>) -> Result<Response<Sealed>, Status> {
        let alive = self.member.alive()?;
        let _call = self.call().await?;
        let outcome = alive.give(&order(&request.into_inner().bytes)?, true).await?;
        Ok(Response::new(Sealed { bytes: encode(&outcome) }))
    }

    async fn look(&self, request: Request<LookRequest>) -> Result<Response<Sealed>, Status> {
        let alive = self.member.alive()?;
        let _call = self.call().await?;
        Ok(Response::new(Sealed { bytes: encode(&self.report(alive, &request.into_inner().after)) }))
    }

    async fn manage(&self, request: Request<Sealed>) -> Result<Response<Sealed>, Status> {
        let change: MembershipChange =
            decode(&request.into_inner().bytes).map_err(|e| Status::invalid_argument(e.to_string()))?;
        let _call = self.call().await?;
        let managed = match change {
            MembershipChange::Init { members, restored } => {
                self.member.init(&members, restored.map(|s| *s)).await?
            }
            change => self.member.alive()?.manage(&change, true).await?,
        };
        Ok(Response::new(Sealed { bytes: encode(&managed) }))
    }
}

/// The most bytes of what one gateway sees: a map of the most zones, each with counts of seven figures.
const LONGEST_EVIDENCE: usize = 64 << 10;

fn evidence(bytes: &[u8]) -> Result<Evidence, String> {
    if bytes.len() > LONGEST_EVIDENCE {
        return Err(format!("{} bytes, {LONGEST_EVIDENCE} at most", bytes.len()));
    }
    let evidence: Evidence = decode(bytes).map_err(|e| e.to_string())?;
    evidence.check().map_err(|e| e.to_string())?;
    Ok(evidence)
}

fn order(bytes: &[u8]) -> Result<Order, Status> {
    if bytes.len() > MAX_ORDER_BYTES {
        let what = format!("an order of {} bytes, {MAX_ORDER_BYTES} at most", bytes.len());
        return Err(Status::invalid_argument(what));
    }
    decode(bytes).map_err(|e| Status::invalid_argument(e.to_string()))
}

/// Whether a gateway may follow: one whose zones are others would act on zones that it doesn't have.
fn admit(hello: &Hello, applied: &Applied) -> Result<(), Status> {
    if !is_name(&hello.name) {
        return Err(Status::invalid_argument(
            "expected the name of a gateway, of letters, digits, '-', '_', '.'",
        ));
    }
    let Some(map) = &applied.state.topology else {
        return Err(Status::failed_precondition("the group has no map of zones yet"));
    };
    let theirs: BTreeSet<&String> = hello.zones.iter().collect();
    let ours: BTreeSet<&String> = map.zones.keys().collect();
    if theirs != ours {
        let list = |zones: &BTreeSet<&String>| {
            zones
                .iter()
                .take(16)
                .map(|z| z.chars().take(64).collect::<String>())
                .collect::<Vec<_>>()
                .join(", ")
        };
        return Err(Status::failed_precondition(format!(
            "gateway '{}' has zones {}; the group has {}",
            hello.name,
            list(&theirs),
            list(&ours)
        )));
    }
    Ok(())
}

/// One gateway that follows.
struct Following {
    service: Service,
    alive: Arc<Alive>,
    hello: Hello,
    serial: u64,
    out: mpsc::Sender<Result<Down, Status>>,
    told: Option<Position>,
    /// It was said that what it tells of zones can't be used.
    doubted: bool,
    _place: OwnedSemaphorePermit,
}

impl Following {
    async fn run(mut self, mut inbound: Streaming<Up>) {
        let name = self.hello.name.clone();
        info!(gateway = name, program = self.hello.program, "follows");
        let why = self.converse(&mut inbound).await;
        {
            // Unless it has come again by another stream meanwhile.
            let mut known = self.service.known();
            if known.get(&name).is_some_and(|k| k.serial == self.serial) {
                known.remove(&name);
            }
        }
        info!(gateway = name, why, "follows no more by this member");
    }

    async fn converse(&mut self, inbound: &mut Streaming<Up>) -> &'static str {
        let mut applied = self.alive.applied.clone();
        let mut stopping = self.service.stopping.clone();
        loop {
            tokio::select! {
                biased;
                () = async { let _ = stopping.wait_for(|stop| *stop).await; } => {
                    let _ = self.out.try_send(Err(Status::unavailable("this member stops")));
                    return "this member stops";
                }
                message = inbound.message() => match message {
                    Ok(Some(Up { what: Some(up::What::Question(question)) })) => {
                        if !self.answer(question).await {
                            return "it takes nothing";
                        }
                    }
                    Ok(Some(_)) => {
                        let status = Status::invalid_argument("a message that this version does not know");
                        let _ = self.out.try_send(Err(status));
                        return "it said what this version does not know";
                    }
                    Ok(None) => return "it ended the stream",
                    Err(_) => return "the connection broke",
                },
                changed = applied.changed() => {
                    if changed.is_err() {
                        return "the log has stopped";
                    }
                    applied.mark_unchanged();
                    if self.told.is_some() && !self.tell(false).await {
                        return "it takes nothing";
                    }
                }
            }
        }
    }

    async fn send(&self, what: down::What) -> bool {
        let send = self.out.send(Ok(Down { what: Some(what) }));
        matches!(tokio::time::timeout(TAKEN_WITHIN, send).await, Ok(Ok(())))
    }

    /// Tells the newest, where it was not told yet.
    async fn tell(&mut self, whole: bool) -> bool {
        let applied = self.alive.applied.borrow().clone();
        let position = applied.directives.position;
        if self.told == Some(position) && !whole {
            return true;
        }
        let bytes = match &applied.change {
            Some((from, bytes)) if Some(*from) == self.told && !whole => bytes.clone(),
            _ => applied.whole.clone(),
        };
        self.told = Some(position);
        self.send(down::What::Told(bytes)).await
    }

    /// What it sees of the zones of the map, where it says so and that can be used.
    fn evidence(&mut self, question: &Question) -> Option<(Instant, Evidence)> {
        if question.evidence.is_empty() {
            return None;
        }
        match evidence(&question.evidence) {
            Ok(mut evidence) => {
                let applied = self.alive.applied.borrow();
                let map = applied.state.topology.as_ref();
                evidence.zones.retain(|zone, _| map.is_some_and(|map| map.zones.contains_key(zone)));
                Some((Instant::now(), evidence))
            }
            // One that tells nonsense still follows, and it is said once.
            Err(what) if !self.doubted => {
                self.doubted = true;
                warn!(gateway = self.hello.name, what, "what it says of zones can't be used");
                None
            }
            Err(_) => None,
        }
    }

    async fn answer(&mut self, question: Question) -> bool {
        let evidence = self.evidence(&question);
        {
            let mut known = self.service.known();
            let mode: String = question.mode.chars().take(16).collect();
            let at = |at: Option<starlinghill_failover_client::proto::At>| {
                at.map(Position::from).unwrap_or_default()
            };
            let own = known.get(&self.hello.name).filter(|k| k.serial == self.serial);
            let evidence = evidence.or_else(|| own.and_then(|k| k.evidence.clone()));
            let new = Known {
                zone: self.hello.zone.chars().take(64).collect(),
                evidence,
                serial: self.serial,
                program: self.hello.program.chars().take(32).collect(),
                held: at(question.held),
                followed: at(question.followed),
                mode,
                heard: Instant::now(),
            };
            match known.get(&self.hello.name) {
                Some(other) if other.serial > self.serial => {}
                Some(other) if other.serial < self.serial && other.heard.elapsed() < INTRODUCTION => {
                    warn!(gateway = self.hello.name, "two streams of this name; the newer one counts");
                    known.insert(self.hello.name.clone(), new);
                }
                _ => drop(known.insert(self.hello.name.clone(), new)),
            }
        }
        // The age first, then what it is the age of: what is told may be newer than that, never older.
        let age = self.alive.age();
        if !self.tell(question.whole).await {
            return false;
        }
        let at = self.told.map(Into::into);
        let answer = Answer { number: question.number, at, age_us: age.map(|a| a.0) };
        self.send(down::What::Answer(answer)).await
    }
}

#[tonic::async_trait]
impl Members for Service {
    async fn send(&self, request: Request<Frame>) -> Result<Response<Frame>, Status> {
        let frame = request.into_inner();
        if frame.kind == "welcome" {
            let ident: Ident = serde_json::from_slice(&frame.body)
                .map_err(|e| Status::invalid_argument(format!("welcome: {e}")))?;
            self.member.welcome(ident).await?;
            return Ok(Response::new(Frame::default()));
        }
        let alive = self.member.alive()?;
        alive.speaker.check(&frame)?;
        let body = match deliver(&alive.raft, &frame.kind, &frame.body).await {
            Some(reply) => reply?,
            None => self.other(alive, &frame).await?,
        };
        Ok(Response::new(alive.speaker.frame(&frame.kind, body)))
    }
}

impl Service {
    async fn other(&self, alive: &Alive, frame: &Frame) -> Result<Vec<u8>, Status> {
        match frame.kind.as_str() {
            "confirm" => Ok(alive.newest().await?.to_string().into_bytes()),
            "give" => Ok(encode(&alive.give(&order(&frame.body)?, false).await?)),
            "manage" => {
                let change: MembershipChange =
                    decode(&frame.body).map_err(|e| Status::invalid_argument(e.to_string()))?;
                Ok(encode(&alive.manage(&change, false).await?))
            }
            kind => {
                let kind: String = kind.chars().take(40).collect();
                Err(Status::unimplemented(format!("frames of kind '{}'", kind.escape_debug())))
            }
        }
    }
}

/// A member that serves.
pub struct Running {
    /// Where it listens.
    pub address: SocketAddr,
    /// The member.
    pub member: Arc<Member>,
    stop: watch::Sender<bool>,
    serving: tokio::task::JoinHandle<Result<(), tonic::transport::Error>>,
}

impl Running {
    /// Opens the disk and serves.
    pub async fn start(settings: crate::member::Settings) -> Result<Running, crate::member::StartError> {
        let at = settings.listen;
        // The address first: two processes of one member would each wait for the other's file.
        let listener = TcpListener::bind(at).await.map_err(|e| crate::member::StartError::Listen(at, e))?;
        let address = listener.local_addr().map_err(|e| crate::member::StartError::Listen(at, e))?;
        let member = Member::open(settings).await?;
        let (stop, stopping) = watch::channel(false);
        let serving = tokio::spawn(Service::new(member.clone(), stopping).serve(listener));
        info!(%address, "listening");
        Ok(Running { address, member, stop, serving })
    }

    /// Ends it in order: followers are told, the log is closed.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        if tokio::time::timeout(Duration::from_secs(3), self.serving).await.is_err() {
            warn!("some connections were still open at the end");
        }
        self.member.stop().await;
    }
}
