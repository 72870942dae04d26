//! One member of the group. With a blank disk it answers only the message that assigns it to a group, so that a
//! member whose disk was replaced can't vote without the log it has lost. Once assigned it runs the Raft node, tracks
//! the age of its applied state and, while it leads, proposes the steps of ramps.

use crate::machine::{AppliedState, StateMachine};
use crate::network::{member_client, FrameSender, MemberNetwork};
use crate::store::{MemberIdentity, Store, StoreError};
use crate::{Raft, Record, VersionedRecord};
use openraft::error::{CheckIsLeaderError, ClientWriteError, InitializeError, RaftError};
use openraft::{BasicNode, ChangeMembers, Config, RaftMetrics, SnapshotPolicy};
use starlinghill_failover::bounds::Timing;
use starlinghill_failover::order::{Order, OrderKind};
use starlinghill_failover::pacer::Pacer;
use starlinghill_failover::staleness::StalenessBound;
use starlinghill_failover::state::{Outcome, State};
use starlinghill_failover::topology::Topology;
use starlinghill_failover::wire::{decode, encode};
use starlinghill_failover::Micros;
use starlinghill_failover_client::report::{MembershipChange, MembershipResult};
use starlinghill_failover_client::wall_clock;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{watch, OnceCell};
use tokio::task::JoinHandle;
use tonic::Status;
use tracing::{error, info, warn};

/// The number of log entries between two snapshots.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 1_000;
/// The number of entries before a snapshot that stay in the log, so that members that lag need no snapshot.
const RETAINED_LOG_ENTRIES: u64 = 500;
/// How often the leader checks for ramp steps that are due, and the delay between retries.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The time limit for changes of the membership, in which a member that joins has to catch up with the log.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(30);

/// The settings of a member, fixed at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The group's name.
    pub group: String,
    /// This member's number.
    pub id: u64,
    /// The path of its database file.
    pub file: PathBuf,
    /// The address it listens on.
    pub listen: SocketAddr,
    /// Addresses of members as reached from this process. They take precedence over those in the membership.
    pub addresses: BTreeMap<u64, SocketAddr>,
    /// The lowest generation that this member takes part in. Raised after a restore to keep out disks of the earlier
    /// generation.
    pub generation: u64,
    /// The regions and zones that a new group starts with.
    pub map: Topology,
    /// Intervals and timeouts of the group.
    pub timing: Timing,
    /// The most gateways that may follow the group through this member at once.
    pub subscribers: usize,
}

/// Why a member can't start.
#[derive(Debug)]
pub enum StartError {
    /// Its file can't be used.
    Store(StoreError),
    /// Its file belongs to another member, or to an earlier generation of the group.
    WrongIdentity {
        /// The path of the file.
        file: PathBuf,
        /// The member that the file belongs to.
        found: MemberIdentity,
        /// The lowest generation that the settings allow.
        least: u64,
    },
    /// It can't listen on its address.
    Listen(SocketAddr, std::io::Error),
    /// The Raft node can't start.
    Log(String),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Store(e) => write!(f, "{e}; this member stays out"),
            StartError::WrongIdentity { file, found, least } => write!(
                f,
                "{}: it belongs to member {} of group '{}', generation {}; expected this member, of generation \
                 {least} at least",
                file.display(),
                found.id,
                found.group,
                found.generation
            ),
            StartError::Listen(at, e) => write!(f, "can't listen on {at}: {e}"),
            StartError::Log(e) => write!(f, "the log can't run: {e}"),
        }
    }
}
impl std::error::Error for StartError {}

/// A member process, which may not be assigned to a group yet.
pub struct Member {
    pub(crate) settings: Settings,
    pub(crate) store: Store,
    pub(crate) started: Instant,
    active: OnceCell<Arc<ActiveMember>>,
}

/// A member that is assigned to a group and runs its Raft node.
pub struct ActiveMember {
    /// The Raft node.
    pub raft: Raft,
    /// The newest applied state.
    pub applied: watch::Receiver<Arc<AppliedState>>,
    pub(crate) sender: FrameSender,
    settings: Settings,
    staleness: Mutex<StalenessBound>,
    started: Instant,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

fn duration(micros: Micros) -> Duration {
    Duration::from_micros(micros.0)
}

impl Member {
    /// Opens the member's file. If the file belongs to this member, the Raft node starts at once.
    pub async fn open(settings: Settings) -> Result<Arc<Member>, StartError> {
        let store = tokio::task::block_in_place(|| Store::open(&settings.file)).map_err(StartError::Store)?;
        let identity = store.identity().map_err(StartError::Store)?;
        let member = Member { settings, store, started: Instant::now(), active: OnceCell::new() };
        match identity {
            Some(found) => {
                let settings = &member.settings;
                if found.group != settings.group
                    || found.id != settings.id
                    || found.generation < settings.generation
                {
                    let file = settings.file.clone();
                    return Err(StartError::WrongIdentity { file, found, least: settings.generation });
                }
                member.activate(&found).await?;
            }
            None => info!(member = member.settings.id, "blank: waiting to be assigned to a group"),
        }
        Ok(Arc::new(member))
    }

    /// The running Raft member, or an error if the member is not assigned to a group yet.
    pub fn active(&self) -> Result<&Arc<ActiveMember>, Status> {
        self.active.get().ok_or_else(|| {
            Status::failed_precondition(format!(
                "member {} is blank: begin a group ('group init') or add it to one ('group add')",
                self.settings.id
            ))
        })
    }

    async fn activate(&self, identity: &MemberIdentity) -> Result<(), StartError> {
        let active = ActiveMember::start(self.store.clone(), identity, &self.settings, self.started).await?;
        // Of two concurrent assignments, only the first sets the cell.
        if self.active.set(active).is_ok() {
            info!(
                member = identity.id,
                group = identity.group,
                generation = identity.generation,
                "started as a member of the group"
            );
        }
        Ok(())
    }

    /// Assigns this member to a group and starts its Raft node. Repeating the same assignment changes nothing.
    pub(crate) async fn accept_identity(&self, identity: MemberIdentity) -> Result<(), Status> {
        let refused = |reason: String| Err(Status::failed_precondition(reason));
        let settings = &self.settings;
        if identity.group != settings.group || identity.id != settings.id {
            return refused(format!(
                "this is to be member {} of group '{}', not member {} of '{}'",
                settings.id, settings.group, identity.id, identity.group
            ));
        }
        let found = self.store.identity().map_err(|e| Status::internal(e.to_string()))?;
        match found {
            Some(found) if found == identity => return Ok(()),
            Some(found) => {
                return refused(format!(
                    "{} holds member {} of generation {} already",
                    settings.file.display(),
                    found.id,
                    found.generation
                ))
            }
            None => {}
        }
        tokio::task::block_in_place(|| self.store.save_identity(&identity))
            .map_err(|e| Status::internal(e.to_string()))?;
        self.activate(&identity).await.map_err(|e| Status::internal(e.to_string()))
    }

    /// Starts a new group: assigns all members, which have to be blank, and writes the restored state if there is one.
    pub(crate) async fn init(
        &self,
        members: &BTreeMap<u64, SocketAddr>,
        restored: Option<State>,
    ) -> Result<MembershipResult, Status> {
        if !members.contains_key(&self.settings.id) {
            return rejected(format!(
                "member {} is not among the members of the group to be",
                self.settings.id
            ));
        }
        let generation = restored.as_ref().map_or(self.settings.generation.max(1), |s| s.position.generation);
        if generation < self.settings.generation {
            return rejected(format!(
                "the operators' file wants generation {} at least, this is {generation}",
                self.settings.generation
            ));
        }
        let identity = |id| MemberIdentity::new(&self.settings.group, generation, id);
        for (id, address) in members.iter().filter(|(id, _)| **id != self.settings.id) {
            if let Err(why) = send_identity(&identity(*id), *address, self.settings.id).await {
                return rejected(format!("member {id} at {address}: {why}"));
            }
        }
        self.accept_identity(identity(self.settings.id)).await?;
        let active = self.active()?;
        let nodes: BTreeMap<u64, BasicNode> =
            members.iter().map(|(id, at)| (*id, BasicNode::new(at.to_string()))).collect();
        match active.raft.initialize(nodes).await {
            Ok(()) => {}
            Err(RaftError::APIError(InitializeError::NotAllowed(_))) => {
                return rejected("this group has begun already".into());
            }
            Err(e) => return rejected(e.to_string()),
        }
        if let Some(state) = restored {
            // Retried because the first leader has to be elected before it can write.
            let deadline = tokio::time::Instant::now() + CATCH_UP_TIMEOUT;
            let record = Record::Restored(Box::new(state));
            while let Err(e) = active.propose(record.clone()).await {
                if tokio::time::Instant::now() > deadline {
                    return rejected(format!("the restored state is not written: {}", e.message()));
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(MembershipResult::Done)
    }

    /// Returns the reason once the Raft node has stopped, usually because the disk can't be written.
    pub async fn wait_for_failure(&self) -> String {
        loop {
            if let Some(active) = self.active.get() {
                return active.wait_for_failure().await;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Stops the Raft node and the member's background tasks.
    pub async fn stop(&self) {
        if let Some(active) = self.active.get() {
            for task in active.tasks.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
                task.abort();
            }
            if let Err(error) = active.raft.shutdown().await {
                warn!(%error, "the Raft node did not shut down cleanly");
            }
        }
    }
}

fn rejected(why: String) -> Result<MembershipResult, Status> {
    Ok(MembershipResult::Refused { why })
}

/// Assigns the blank member at `address` to the group, on behalf of member `from`.
async fn send_identity(identity: &MemberIdentity, address: SocketAddr, from: u64) -> Result<(), String> {
    let sender = FrameSender { group: identity.group.clone(), generation: identity.generation, id: from };
    let body = serde_json::to_vec(identity).map_err(|e| e.to_string())?;
    let mut client = member_client(&address.to_string())?;
    let call = client.send(sender.frame("welcome", body));
    match tokio::time::timeout(Duration::from_secs(2), call).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(status)) => Err(status.message().into()),
        Err(_) => Err("no answer in time".into()),
    }
}

impl ActiveMember {
    async fn start(
        store: Store,
        identity: &MemberIdentity,
        settings: &Settings,
        started: Instant,
    ) -> Result<Arc<ActiveMember>, StartError> {
        let millis = |m: Micros| m.0 / 1_000;
        let timing = settings.timing;
        let config = Config {
            cluster_name: identity.group.clone(),
            heartbeat_interval: millis(timing.heartbeat_interval),
            // Drawn at random from this range, so that two candidates rarely time out together twice.
            election_timeout_min: millis(timing.election_timeout) / 2,
            election_timeout_max: millis(timing.election_timeout),
            install_snapshot_timeout: 2_000,
            snapshot_policy: SnapshotPolicy::LogsSinceLast(SNAPSHOT_INTERVAL_ENTRIES),
            max_in_snapshot_log_to_keep: RETAINED_LOG_ENTRIES,
            max_payload_entries: 32,
            ..Config::default()
        };
        let config = Arc::new(config.validate().map_err(|e| StartError::Log(e.to_string()))?);
        let (machine, applied) =
            StateMachine::load(store.clone(), identity.generation).map_err(StartError::Store)?;
        let sender =
            FrameSender { group: identity.group.clone(), generation: identity.generation, id: identity.id };
        let network = MemberNetwork { sender: sender.clone(), addresses: settings.addresses.clone() };
        let raft = Raft::new(identity.id, config, network, store, machine)
            .await
            .map_err(|e| StartError::Log(e.to_string()))?;
        let active = Arc::new(ActiveMember {
            raft,
            applied,
            sender,
            settings: settings.clone(),
            staleness: Mutex::default(),
            started,
            tasks: Mutex::default(),
        });
        let tasks = vec![
            tokio::spawn(active.clone().run_staleness_checks()),
            tokio::spawn(active.clone().track_applied_index()),
            tokio::spawn(active.clone().run_leader_tasks()),
        ];
        *active.tasks.lock().unwrap_or_else(PoisonError::into_inner) = tasks;
        Ok(active)
    }

    fn now(&self) -> Micros {
        Micros(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    fn staleness(&self) -> std::sync::MutexGuard<'_, StalenessBound> {
        self.staleness.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An upper bound on the age of the applied state, or `None` if the leader never confirmed it.
    pub fn age(&self) -> Option<Micros> {
        let now = self.now();
        self.staleness().age(now)
    }

    /// The Raft node's present metrics.
    pub fn metrics(&self) -> RaftMetrics<u64, BasicNode> {
        self.raft.metrics().borrow().clone()
    }

    async fn wait_for_failure(&self) -> String {
        let mut metrics = self.raft.metrics();
        loop {
            if let Err(e) = &metrics.borrow_and_update().running_state {
                return e.to_string();
            }
            if metrics.changed().await.is_err() {
                return "the log has stopped".into();
            }
        }
    }

    async fn track_applied_index(self: Arc<ActiveMember>) {
        let mut applied = self.applied.clone();
        loop {
            let index = applied.borrow_and_update().index;
            self.staleness().record_applied(index);
            if applied.changed().await.is_err() {
                return;
            }
        }
    }

    /// The index of the last committed entry. Fails unless this member leads and a majority confirms it now.
    pub(crate) async fn committed_index(&self) -> Result<u64, Status> {
        let time_limit = duration(self.settings.timing.answer_timeout);
        match tokio::time::timeout(time_limit, self.raft.get_read_log_id()).await {
            Ok(Ok((committed, _))) => Ok(committed.map_or(0, |l| l.index)),
            Ok(Err(RaftError::APIError(CheckIsLeaderError::QuorumNotEnough(e)))) => {
                Err(Status::failed_precondition(format!(
                    "no majority follows member {}: of {} it hears {}",
                    self.sender.id,
                    self.metrics().membership_config.voter_ids().count(),
                    e.got.len()
                )))
            }
            Ok(Err(RaftError::APIError(CheckIsLeaderError::ForwardToLeader(_)))) => {
                Err(Status::failed_precondition(format!("member {} does not lead", self.sender.id)))
            }
            Ok(Err(e)) => Err(Status::failed_precondition(e.to_string())),
            Err(_) => Err(Status::failed_precondition(format!(
                "no majority answers member {} within {} ms",
                self.sender.id,
                time_limit.as_millis()
            ))),
        }
    }

    /// The leader's number and address if another member leads, `None` if this member leads.
    fn other_leader(&self) -> Result<Option<(u64, String)>, Status> {
        let metrics = self.metrics();
        let Some(leader) = metrics.current_leader else {
            let known = metrics.membership_config.voter_ids().count();
            return Err(Status::failed_precondition(format!(
                "member {} knows no leader among the {known} of the group (term {}); without a majority nothing is \
                 decided",
                self.sender.id, metrics.current_term
            )));
        };
        if leader == self.sender.id {
            return Ok(None);
        }
        let node = || metrics.membership_config.membership().get_node(&leader).map(|n| n.addr.clone());
        let address = self.settings.addresses.get(&leader).map(SocketAddr::to_string).or_else(node);
        let address =
            address.ok_or_else(|| Status::failed_precondition(format!("nobody knows where {leader} is")))?;
        Ok(Some((leader, address)))
    }

    /// Refuses to forward a request to a leader that hasn't been heard from lately. The request could be held in a
    /// broken connection and be carried out when the connection recovers, long after the operator gave up.
    fn check_leader_contact(&self, leader: u64) -> Result<(), Status> {
        let age = self.age();
        if age.is_some_and(|age| age <= self.settings.timing.fresh_limit) {
            return Ok(());
        }
        let since = age.map_or("ever".into(), |age| format!("for {} ms", age.0 / 1_000));
        Err(Status::failed_precondition(format!(
            "member {} has not heard {since} that a majority follows member {leader}; it is cut off, or there is no \
             majority",
            self.sender.id
        )))
    }

    /// Sends a frame to the leader and returns the body of its answer.
    async fn call_leader(
        &self,
        leader: u64,
        address: &str,
        kind: &str,
        body: Vec<u8>,
        time_limit: Duration,
    ) -> Result<Vec<u8>, Status> {
        let mut client = member_client(address).map_err(Status::failed_precondition)?;
        match tokio::time::timeout(time_limit, client.send(self.sender.frame(kind, body))).await {
            Ok(Ok(reply)) => Ok(reply.into_inner().body),
            Ok(Err(status)) => {
                Err(Status::new(status.code(), format!("leader {leader}: {}", status.message())))
            }
            Err(_) => Err(Status::deadline_exceeded(format!(
                "leader {leader} did not answer member {} within {} ms",
                self.sender.id,
                time_limit.as_millis()
            ))),
        }
    }

    /// Asks the leader at each `confirm` interval for the last committed index, which bounds the age of the applied
    /// state.
    async fn run_staleness_checks(self: Arc<ActiveMember>) {
        let mut ticks = tokio::time::interval(duration(self.settings.timing.confirm_interval));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut connection: Option<(String, crate::network::Client)> = None;
        loop {
            ticks.tick().await;
            let asked = self.now();
            let committed = match self.other_leader() {
                Err(_) => continue,
                Ok(None) => self.committed_index().await.ok(),
                Ok(Some((_, address))) => {
                    if connection.as_ref().is_none_or(|(connected, _)| *connected != address) {
                        connection = member_client(&address).ok().map(|client| (address.clone(), client));
                    }
                    let Some((_, client)) = &mut connection else { continue };
                    let call = client.send(self.sender.frame("confirm", Vec::new()));
                    let time_limit = duration(self.settings.timing.answer_timeout);
                    match tokio::time::timeout(time_limit, call).await {
                        Ok(Ok(reply)) => serde_json::from_slice(&reply.into_inner().body).ok(),
                        Ok(Err(_)) | Err(_) => None,
                    }
                }
            };
            if let Some(committed) = committed {
                self.staleness().record_answer(asked, committed);
            }
        }
    }

    /// While this member leads, proposes the first map of a new group and the steps of ramps as they fall due.
    async fn run_leader_tasks(self: Arc<ActiveMember>) {
        let mut ticks = tokio::time::interval(POLL_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut pacer = Pacer::default();
        loop {
            ticks.tick().await;
            let is_leader = self.metrics().current_leader == Some(self.sender.id);
            let applied = self.applied.borrow().clone();
            if is_leader && applied.index > 0 && applied.state.topology.is_none() {
                self.propose_first_map().await;
                continue;
            }
            for due in pacer.due_steps(self.now(), &applied.state, is_leader) {
                let order = Order {
                    id: String::new(),
                    author: format!("member {}", self.sender.id),
                    reason: "the next step".into(),
                    at_ms: wall_clock::now_ms(),
                    kind: OrderKind::Step { zone: due.zone.clone(), zone_epoch: due.zone_epoch },
                };
                if let Err(e) = self.propose(Record::Order(order)).await {
                    warn!(zone = due.zone, why = e.message(), "could not propose a ramp step");
                }
            }
        }
    }

    /// Proposes the map of the operators' file as the group's first one. Every leader uses the same order id, so that
    /// the map is adopted only once.
    async fn propose_first_map(&self) {
        let order = Order {
            id: format!("first-map-{}", self.sender.generation),
            author: "operators' file".into(),
            reason: "the group begins".into(),
            at_ms: 0,
            kind: OrderKind::Adopt { topology: self.settings.map.clone(), expected_epoch: None },
        };
        match self.propose(Record::Order(order)).await {
            Ok(Some(Outcome::Refused { causes, .. })) => {
                for cause in causes {
                    error!(%cause, "the group refused the map of the operators' file");
                }
            }
            Ok(_) => {}
            Err(e) => warn!(why = e.message(), "could not propose the first map; it is retried"),
        }
    }

    /// Writes a record to the log as the leader. With FAILED_PRECONDITION it was certainly not written; with any other
    /// error it may have been.
    async fn propose(&self, record: Record) -> Result<Option<Outcome>, Status> {
        // A leader without a majority would append the record and couldn't tell whether it will be committed.
        self.committed_index().await?;
        let time_limit = duration(self.settings.timing.election_timeout) * 2;
        match tokio::time::timeout(time_limit, self.raft.client_write(VersionedRecord(record))).await {
            Ok(Ok(response)) => Ok(response.data.0),
            Ok(Err(RaftError::APIError(ClientWriteError::ForwardToLeader(_)))) => {
                Err(Status::failed_precondition(format!("member {} does not lead any more", self.sender.id)))
            }
            Ok(Err(e)) => Err(Status::unknown(e.to_string())),
            Err(_) => Err(Status::deadline_exceeded("a majority has not confirmed it in time")),
        }
    }

    /// Submits an order to the log. A member that doesn't lead forwards it to the leader if `may_forward` is true.
    pub(crate) async fn submit_order(&self, order: &Order, may_forward: bool) -> Result<Outcome, Status> {
        if let OrderKind::Step { .. } = order.kind {
            return Err(Status::invalid_argument("steps are the leader's own"));
        }
        match self.other_leader()? {
            None => self
                .propose(Record::Order(order.clone()))
                .await?
                .ok_or_else(|| Status::internal("an order without an outcome")),
            Some((leader, address)) if may_forward => {
                self.check_leader_contact(leader)?;
                let time_limit = duration(self.settings.timing.election_timeout) * 3;
                let body = self.call_leader(leader, &address, "give", encode(order), time_limit).await?;
                decode(&body).map_err(|e| Status::internal(e.to_string()))
            }
            Some((leader, _)) => Err(Status::failed_precondition(format!("member {leader} leads"))),
        }
    }

    /// Changes the membership, forwarding to the leader like `submit_order`, or saves a snapshot on this member.
    pub(crate) async fn change_membership(
        &self,
        change: &MembershipChange,
        may_forward: bool,
    ) -> Result<MembershipResult, Status> {
        if let MembershipChange::Snapshot = change {
            let result = self.raft.trigger().snapshot().await;
            return Ok(result.map_or_else(
                |e| MembershipResult::Refused { why: e.to_string() },
                |()| MembershipResult::Done,
            ));
        }
        match self.other_leader()? {
            Some((leader, address)) if may_forward => {
                self.check_leader_contact(leader)?;
                let body =
                    self.call_leader(leader, &address, "manage", encode(change), CATCH_UP_TIMEOUT).await?;
                return decode(&body).map_err(|e| Status::internal(e.to_string()));
            }
            Some((leader, _)) => {
                return Err(Status::failed_precondition(format!("member {leader} leads")));
            }
            None => {}
        }
        self.committed_index().await?;
        let result = match change {
            MembershipChange::Add { id, address } => self.add(*id, *address).await,
            MembershipChange::Remove { id } => self.remove(*id).await,
            MembershipChange::Init { .. } => Err("this group has begun already".into()),
            MembershipChange::Snapshot => Ok(()),
        };
        Ok(result.map_or_else(|why| MembershipResult::Refused { why }, |()| MembershipResult::Done))
    }

    async fn add(&self, id: u64, address: SocketAddr) -> Result<(), String> {
        let members = self.metrics().membership_config;
        if members.voter_ids().any(|v| v == id) {
            return Err(format!("{id} is a member already; one whose disk was replaced is removed first"));
        }
        let identity = MemberIdentity::new(&self.sender.group, self.sender.generation, id);
        send_identity(&identity, address, self.sender.id).await.map_err(|e| format!("{address}: {e}"))?;
        let node = BasicNode::new(address.to_string());
        let joining = async {
            // Added as a learner first: it may vote only once it holds all committed entries.
            self.raft.add_learner(id, node, true).await.map_err(|e| e.to_string())?;
            let voters = ChangeMembers::AddVoterIds(BTreeSet::from([id]));
            self.raft.change_membership(voters, false).await.map_err(|e| e.to_string())
        };
        match tokio::time::timeout(CATCH_UP_TIMEOUT, joining).await {
            Ok(result) => result.map(|_| ()),
            Err(_) => {
                Err(format!("{id} has not caught up within {} s; send it again", CATCH_UP_TIMEOUT.as_secs()))
            }
        }
    }

    async fn remove(&self, id: u64) -> Result<(), String> {
        let members = self.metrics().membership_config;
        let voters: BTreeSet<u64> = members.voter_ids().collect();
        if !voters.contains(&id) {
            return Err(format!("{id} is not a member; there are {voters:?}"));
        }
        if voters.len() == 1 {
            return Err(format!("{id} is the last member"));
        }
        let without = ChangeMembers::RemoveVoters(BTreeSet::from([id]));
        match tokio::time::timeout(CATCH_UP_TIMEOUT, self.raft.change_membership(without, false)).await {
            Ok(result) => result.map(|_| ()).map_err(|e| e.to_string()),
            Err(_) => Err("a majority has not confirmed it in time".into()),
        }
    }
}
