//! The gRPC services of a member, for gateways that follow the group, for operators and for other members. They only
//! translate between messages and the member; all decisions are made in the replicated state.

use crate::machine::AppliedState;
use crate::member::{ActiveMember, Member};
use crate::network::{handle_raft_frame, MAX_FRAME_BYTES};
use crate::store::MemberIdentity;
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

/// The time limit for the first message of a follower's stream.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// A follower that reads nothing for this long is disconnected. By then its directives are older than the default
/// `fresh` limit anyway.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// The number of messages queued for one follower.
const FOLLOWER_QUEUE_LENGTH: usize = 4;
/// The number of operators' calls that run at once; further calls wait.
const MAX_CONCURRENT_CALLS: usize = 64;

/// The state that all gRPC services and followers' streams share.
#[derive(Clone)]
pub struct Service {
    member: Arc<Member>,
    follower_slots: Arc<Semaphore>,
    calls: Arc<Semaphore>,
    followers: Arc<Mutex<BTreeMap<String, FollowerInfo>>>,
    /// The number of the next follower's stream.
    serial: Arc<AtomicU64>,
    stopping: watch::Receiver<bool>,
}

/// The last report of a follower. `serial` is the number of its stream: a follower that reconnects has a higher one.
struct FollowerInfo {
    serial: u64,
    /// The version of the gateway's program.
    program: String,
    /// The position of the newest directives that the gateway holds.
    held: Position,
    /// The position of the directives that the gateway acts on.
    followed: Position,
    /// Whether the gateway follows the group, keeps older directives, or uses its own view, as it reports it.
    mode: String,
    /// When the gateway's last question arrived.
    heard: Instant,
    /// The gateway's zone, empty if it is in none.
    zone: String,
    /// Its newest evidence on the health of zones, and when that was received.
    evidence: Option<(Instant, Evidence)>,
}

impl Service {
    /// Creates the services of a member. They end when `stopping` becomes true.
    pub fn new(member: Arc<Member>, stopping: watch::Receiver<bool>) -> Service {
        let follower_slots = Arc::new(Semaphore::new(member.settings.subscribers));
        Service {
            member,
            follower_slots,
            calls: Arc::new(Semaphore::new(MAX_CONCURRENT_CALLS)),
            followers: Arc::default(),
            serial: Arc::default(),
            stopping,
        }
    }

    /// Accepts connections until `stopping` becomes true.
    pub async fn serve(self, listener: TcpListener) -> Result<(), tonic::transport::Error> {
        let mut stopping = self.stopping.clone();
        // No limit on connections here: the limits on followers and calls apply to streams, several of which can
        // share a connection.
        let group = GroupServer::new(self.clone())
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(2 * MAX_MESSAGE_BYTES);
        let members = MembersServer::new(self)
            .max_decoding_message_size(MAX_FRAME_BYTES)
            .max_encoding_message_size(MAX_FRAME_BYTES);
        // Set here because the server builder's option applies only to listeners that it opens itself. Without
        // TCP_NODELAY each order waits 40 ms for a delayed acknowledgement.
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        Server::builder()
            .max_concurrent_streams(64)
            .http2_keepalive_interval(Some(Duration::from_secs(5)))
            .http2_keepalive_timeout(Some(Duration::from_secs(5)))
            .add_service(group)
            .add_service(members)
            .serve_with_incoming_shutdown(incoming, async move {
                // An error means that the sender was dropped, which also ends the service.
                let _ = stopping.wait_for(|stop| *stop).await;
            })
            .await
    }

    fn lock_followers(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, FollowerInfo>> {
        self.followers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// One page of this member's report: its state, and the followers whose names come after `after`.
    fn report(&self, active: &ActiveMember, after: &str) -> Report {
        let metrics = active.metrics();
        let applied = active.applied.borrow().clone();
        let voters: BTreeSet<u64> = metrics.membership_config.voter_ids().collect();
        let nodes = metrics.membership_config.nodes();
        let millis = |d: Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
        let followers = self.lock_followers();
        let from = if after.is_empty() { Bound::Unbounded } else { Bound::Excluded(after) };
        let mut rest = followers.range::<str, _>((from, Bound::Unbounded));
        let subscribers: Vec<Subscriber> = rest
            .by_ref()
            .take(SUBSCRIBERS_PER_REPORT)
            .map(|(name, f)| Subscriber {
                name: name.clone(),
                program: f.program.clone(),
                held: f.held,
                followed: f.followed,
                mode: f.mode.clone(),
                heard_ms: millis(f.heard.elapsed()),
                zone: f.zone.clone(),
                zone_report: f.evidence.clone().map(|(at, evidence)| (millis(at.elapsed()), evidence)),
            })
            .collect();
        Report {
            member: active.sender.id,
            group: active.sender.group.clone(),
            leader: metrics.current_leader,
            term: metrics.current_term,
            applied: applied.index,
            age_ms: active.age().map(|age| age.0 / 1_000),
            members: nodes.map(|(id, n)| (*id, (n.addr.clone(), voters.contains(id)))).collect(),
            state: applied.state.without_recorded_outcomes(),
            more: rest.next().is_some(),
            subscribers,
        }
    }

    async fn acquire_call(&self) -> Result<OwnedSemaphorePermit, Status> {
        self.calls.clone().acquire_owned().await.map_err(|_| Status::unavailable("stopping"))
    }
}

#[tonic::async_trait]
impl Group for Service {
    type FollowStream = ReceiverStream<Result<Down, Status>>;

    async fn follow(&self, request: Request<Streaming<Up>>) -> Result<Response<Self::FollowStream>, Status> {
        let active = self.member.active()?.clone();
        let slot = self.follower_slots.clone().try_acquire_owned().map_err(|_| {
            Status::resource_exhausted(format!(
                "{} follow already, which is all",
                self.member.settings.subscribers
            ))
        })?;
        let mut inbound = request.into_inner();
        let hello = match tokio::time::timeout(HELLO_TIMEOUT, inbound.message()).await {
            Ok(Ok(Some(Up { what: Some(up::What::Hello(hello)) }))) => hello,
            Ok(Ok(_)) => return Err(Status::invalid_argument("expected who follows, found something else")),
            Ok(Err(status)) => return Err(status),
            Err(_) => return Err(Status::deadline_exceeded("no first message in time")),
        };
        check_hello(&hello, &active.applied.borrow())?;
        let (outbound, messages) = mpsc::channel(FOLLOWER_QUEUE_LENGTH);
        let stream = FollowerStream {
            service: self.clone(),
            active,
            hello,
            serial: self.serial.fetch_add(1, Ordering::Relaxed),
            outbound,
            sent_position: None,
            evidence_warned: false,
            _slot: slot,
        };
        tokio::spawn(stream.run(inbound));
        Ok(Response::new(ReceiverStream::new(messages)))
    }

    async fn give(&self, request: Request<Sealed>) -> Result<Response<Sealed>, Status> {
        let active = self.member.active()?;
        let _permit = self.acquire_call().await?;
        let outcome = active.submit_order(&decode_order(&request.into_inner().bytes)?, true).await?;
        Ok(Response::new(Sealed { bytes: encode(&outcome) }))
    }

    async fn look(&self, request: Request<LookRequest>) -> Result<Response<Sealed>, Status> {
        let active = self.member.active()?;
        let _permit = self.acquire_call().await?;
        Ok(Response::new(Sealed { bytes: encode(&self.report(active, &request.into_inner().after)) }))
    }

    async fn manage(&self, request: Request<Sealed>) -> Result<Response<Sealed>, Status> {
        let change: MembershipChange =
            decode(&request.into_inner().bytes).map_err(|e| Status::invalid_argument(e.to_string()))?;
        let _permit = self.acquire_call().await?;
        let managed = match change {
            MembershipChange::Init { members, restored } => {
                self.member.init(&members, restored.map(|s| *s)).await?
            }
            change => self.member.active()?.change_membership(&change, true).await?,
        };
        Ok(Response::new(Sealed { bytes: encode(&managed) }))
    }
}

/// The largest evidence of one gateway in bytes. It has to hold the largest map of zones with counts of seven digits.
const MAX_EVIDENCE_BYTES: usize = 64 << 10;

fn decode_evidence(bytes: &[u8]) -> Result<Evidence, String> {
    if bytes.len() > MAX_EVIDENCE_BYTES {
        return Err(format!("{} bytes, {MAX_EVIDENCE_BYTES} at most", bytes.len()));
    }
    let evidence: Evidence = decode(bytes).map_err(|e| e.to_string())?;
    evidence.check().map_err(|e| e.to_string())?;
    Ok(evidence)
}

fn decode_order(bytes: &[u8]) -> Result<Order, Status> {
    if bytes.len() > MAX_ORDER_BYTES {
        let message = format!("an order of {} bytes, {MAX_ORDER_BYTES} at most", bytes.len());
        return Err(Status::invalid_argument(message));
    }
    decode(bytes).map_err(|e| Status::invalid_argument(e.to_string()))
}

/// Refuses a gateway whose set of zones differs from the group's, as the group's orders could name zones it doesn't
/// have.
fn check_hello(hello: &Hello, applied: &AppliedState) -> Result<(), Status> {
    if !is_name(&hello.name) {
        return Err(Status::invalid_argument(
            "expected the name of a gateway, of letters, digits, '-', '_', '.'",
        ));
    }
    let Some(map) = &applied.state.topology else {
        return Err(Status::failed_precondition("the group has no map of zones yet"));
    };
    let gateway_zones: BTreeSet<&String> = hello.zones.iter().collect();
    let group_zones: BTreeSet<&String> = map.zones.keys().collect();
    if gateway_zones != group_zones {
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
            list(&gateway_zones),
            list(&group_zones)
        )));
    }
    Ok(())
}

/// The stream of one gateway that follows the group.
struct FollowerStream {
    service: Service,
    active: Arc<ActiveMember>,
    hello: Hello,
    serial: u64,
    outbound: mpsc::Sender<Result<Down, Status>>,
    /// The position of the directives that were sent last.
    sent_position: Option<Position>,
    /// Whether unusable evidence of this gateway was logged already.
    evidence_warned: bool,
    _slot: OwnedSemaphorePermit,
}

impl FollowerStream {
    async fn run(mut self, mut inbound: Streaming<Up>) {
        let name = self.hello.name.clone();
        info!(gateway = name, program = self.hello.program, "follows");
        let why = self.serve_messages(&mut inbound).await;
        {
            // The entry is kept if the gateway has reconnected by another stream meanwhile.
            let mut followers = self.service.lock_followers();
            if followers.get(&name).is_some_and(|f| f.serial == self.serial) {
                followers.remove(&name);
            }
        }
        info!(gateway = name, why, "the follower's stream ended");
    }

    /// Answers the gateway and sends it changes until either side ends. Returns the reason for the log.
    async fn serve_messages(&mut self, inbound: &mut Streaming<Up>) -> &'static str {
        let mut applied = self.active.applied.clone();
        let mut stopping = self.service.stopping.clone();
        loop {
            tokio::select! {
                biased;
                () = async { let _ = stopping.wait_for(|stop| *stop).await; } => {
                    let _ = self.outbound.try_send(Err(Status::unavailable("this member stops")));
                    return "this member is stopping";
                }
                message = inbound.message() => match message {
                    Ok(Some(Up { what: Some(up::What::Question(question)) })) => {
                        if !self.answer(question).await {
                            return "it reads no messages";
                        }
                    }
                    Ok(Some(_)) => {
                        let status = Status::invalid_argument("a message that this version does not know");
                        let _ = self.outbound.try_send(Err(status));
                        return "it sent a message that this version does not know";
                    }
                    Ok(None) => return "it ended the stream",
                    Err(_) => return "the connection broke",
                },
                changed = applied.changed() => {
                    if changed.is_err() {
                        return "the Raft node has stopped";
                    }
                    applied.mark_unchanged();
                    if self.sent_position.is_some() && !self.send_newest(false).await {
                        return "it reads no messages";
                    }
                }
            }
        }
    }

    /// Sends a message. False if the gateway is gone or has not read for `SEND_TIMEOUT`.
    async fn send(&self, message: down::What) -> bool {
        let send = self.outbound.send(Ok(Down { what: Some(message) }));
        matches!(tokio::time::timeout(SEND_TIMEOUT, send).await, Ok(Ok(())))
    }

    /// Sends the newest directives unless the gateway has them already. False if they can't be sent.
    async fn send_newest(&mut self, whole: bool) -> bool {
        let applied = self.active.applied.borrow().clone();
        let position = applied.directives.position;
        if self.sent_position == Some(position) && !whole {
            return true;
        }
        let bytes = match &applied.encoded_change {
            Some((from, bytes)) if Some(*from) == self.sent_position && !whole => bytes.clone(),
            _ => applied.encoded_directives.clone(),
        };
        self.sent_position = Some(position);
        self.send(down::What::Told(bytes)).await
    }

    /// The gateway's evidence on the zones of the map, if it sent any that is valid.
    fn evidence(&mut self, question: &Question) -> Option<(Instant, Evidence)> {
        if question.evidence.is_empty() {
            return None;
        }
        match decode_evidence(&question.evidence) {
            Ok(mut evidence) => {
                let applied = self.active.applied.borrow();
                let map = applied.state.topology.as_ref();
                evidence.zones.retain(|zone, _| map.is_some_and(|map| map.zones.contains_key(zone)));
                Some((Instant::now(), evidence))
            }
            // A gateway whose evidence is invalid may still follow; it is logged once a stream.
            Err(what) if !self.evidence_warned => {
                self.evidence_warned = true;
                warn!(gateway = self.hello.name, what, "the gateway's evidence on zones can't be used");
                None
            }
            Err(_) => None,
        }
    }

    /// Records the gateway's report and answers its question. False if the answer can't be sent.
    async fn answer(&mut self, question: Question) -> bool {
        let evidence = self.evidence(&question);
        {
            let mut followers = self.service.lock_followers();
            let mode: String = question.mode.chars().take(16).collect();
            let position = |at: Option<starlinghill_failover_client::proto::At>| {
                at.map(Position::from).unwrap_or_default()
            };
            let own = followers.get(&self.hello.name).filter(|f| f.serial == self.serial);
            let evidence = evidence.or_else(|| own.and_then(|f| f.evidence.clone()));
            let new = FollowerInfo {
                zone: self.hello.zone.chars().take(64).collect(),
                evidence,
                serial: self.serial,
                program: self.hello.program.chars().take(32).collect(),
                held: position(question.held),
                followed: position(question.followed),
                mode,
                heard: Instant::now(),
            };
            match followers.get(&self.hello.name) {
                Some(other) if other.serial > self.serial => {}
                Some(other) if other.serial < self.serial && other.heard.elapsed() < HELLO_TIMEOUT => {
                    warn!(
                        gateway = self.hello.name,
                        "two streams use this gateway name; the newer one is used"
                    );
                    followers.insert(self.hello.name.clone(), new);
                }
                _ => drop(followers.insert(self.hello.name.clone(), new)),
            }
        }
        // The age is read before the directives are sent, so that these may be newer than the age says but never older.
        let age = self.active.age();
        if !self.send_newest(question.whole).await {
            return false;
        }
        let at = self.sent_position.map(Into::into);
        let answer = Answer { number: question.number, at, age_us: age.map(|a| a.0) };
        self.send(down::What::Answer(answer)).await
    }
}

#[tonic::async_trait]
impl Members for Service {
    async fn send(&self, request: Request<Frame>) -> Result<Response<Frame>, Status> {
        let frame = request.into_inner();
        if frame.kind == "welcome" {
            let identity: MemberIdentity = serde_json::from_slice(&frame.body)
                .map_err(|e| Status::invalid_argument(format!("welcome: {e}")))?;
            self.member.accept_identity(identity).await?;
            return Ok(Response::new(Frame::default()));
        }
        let active = self.member.active()?;
        active.sender.check(&frame)?;
        let body = match handle_raft_frame(&active.raft, &frame.kind, &frame.body).await {
            Some(reply) => reply?,
            None => self.handle_member_frame(active, &frame).await?,
        };
        Ok(Response::new(active.sender.frame(&frame.kind, body)))
    }
}

impl Service {
    /// Handles a frame that is not part of the Raft protocol.
    async fn handle_member_frame(&self, active: &ActiveMember, frame: &Frame) -> Result<Vec<u8>, Status> {
        match frame.kind.as_str() {
            "confirm" => Ok(active.committed_index().await?.to_string().into_bytes()),
            "give" => Ok(encode(&active.submit_order(&decode_order(&frame.body)?, false).await?)),
            "manage" => {
                let change: MembershipChange =
                    decode(&frame.body).map_err(|e| Status::invalid_argument(e.to_string()))?;
                Ok(encode(&active.change_membership(&change, false).await?))
            }
            kind => {
                let kind: String = kind.chars().take(40).collect();
                Err(Status::unimplemented(format!("frames of kind '{}'", kind.escape_debug())))
            }
        }
    }
}

/// A member process with its gRPC server.
pub struct Running {
    /// The address it listens on.
    pub address: SocketAddr,
    /// The member.
    pub member: Arc<Member>,
    stop: watch::Sender<bool>,
    server_task: tokio::task::JoinHandle<Result<(), tonic::transport::Error>>,
}

impl Running {
    /// Opens the member's file and starts the server.
    pub async fn start(settings: crate::member::Settings) -> Result<Running, crate::member::StartError> {
        let listen = settings.listen;
        // The address is bound before the file is opened, so that a second process of the same member fails at once
        // instead of waiting for the file.
        let listener =
            TcpListener::bind(listen).await.map_err(|e| crate::member::StartError::Listen(listen, e))?;
        let address = listener.local_addr().map_err(|e| crate::member::StartError::Listen(listen, e))?;
        let member = Member::open(settings).await?;
        let (stop, stopping) = watch::channel(false);
        let server_task = tokio::spawn(Service::new(member.clone(), stopping).serve(listener));
        info!(%address, "listening");
        Ok(Running { address, member, stop, server_task })
    }

    /// Stops the server after telling the followers, then stops the Raft node.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        if tokio::time::timeout(Duration::from_secs(3), self.server_task).await.is_err() {
            warn!("stopped the server while some connections were still open");
        }
        self.member.stop().await;
    }
}
