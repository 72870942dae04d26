//! One member. Its disk is blank at first: it answers nobody but one who makes it a member of a group, so that a
//! member whose disk was replaced can't vote for what it has forgotten. From then on it runs the log, knows how old
//! what it has applied is, and makes the steps of ramps while it leads.

use crate::machine::{Applied, Machine};
use crate::network::{member, Links, Speaker};
use crate::store::{Ident, Store, StoreError};
use crate::{Raft, Record, Recorded};
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

/// Entries after which a snapshot is made, and those kept in the log for members that lag.
const SNAPSHOT_AFTER: u64 = 1_000;
const KEPT: u64 = 500;
/// How often the leader looks for steps that are due.
const PACE: Duration = Duration::from_millis(100);
/// How long a member that joins may take to catch up.
const CATCH_UP: Duration = Duration::from_secs(30);

/// What a member is told at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The group's name.
    pub group: String,
    /// This member's number.
    pub id: u64,
    /// Its file.
    pub file: PathBuf,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where members listen as seen from here.
    pub seen: BTreeMap<u64, SocketAddr>,
    /// The least generation that it takes part in.
    pub generation: u64,
    /// The map that the group begins with.
    pub map: Topology,
    /// Times.
    pub timing: Timing,
    /// The most that may follow by this member.
    pub subscribers: usize,
}

/// Why a member can't start.
#[derive(Debug)]
pub enum StartError {
    /// Its disk.
    Store(StoreError),
    /// Its disk is another member's, or of an earlier life of the group.
    NotThis {
        /// The file.
        file: PathBuf,
        /// What it is.
        found: Ident,
        /// Which generation is wanted at the least.
        least: u64,
    },
    /// It could not listen.
    Listen(SocketAddr, std::io::Error),
    /// The log would not run.
    Log(String),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Store(e) => write!(f, "{e}; this member stays out"),
            StartError::NotThis { file, found, least } => write!(
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

/// A member of which it may not be known yet to what group it belongs.
pub struct Member {
    pub(crate) settings: Settings,
    pub(crate) store: Store,
    pub(crate) begin: Instant,
    alive: OnceCell<Arc<Alive>>,
}

/// A member of a group.
pub struct Alive {
    /// The log.
    pub raft: Raft,
    /// The newest state.
    pub applied: watch::Receiver<Arc<Applied>>,
    pub(crate) speaker: Speaker,
    settings: Settings,
    certainty: Mutex<StalenessBound>,
    begin: Instant,
    tasks: Mutex<Vec<JoinHandle<()>>>,
}

fn span(micros: Micros) -> Duration {
    Duration::from_micros(micros.0)
}

impl Member {
    /// Opens the disk; where it is a member's, the log runs from here on.
    pub async fn open(settings: Settings) -> Result<Arc<Member>, StartError> {
        let store = tokio::task::block_in_place(|| Store::open(&settings.file)).map_err(StartError::Store)?;
        let ident = store.ident().map_err(StartError::Store)?;
        let member = Member { settings, store, begin: Instant::now(), alive: OnceCell::new() };
        match ident {
            Some(found) => {
                let s = &member.settings;
                if found.group != s.group || found.id != s.id || found.generation < s.generation {
                    let file = s.file.clone();
                    return Err(StartError::NotThis { file, found, least: s.generation });
                }
                member.become_alive(&found).await?;
            }
            None => info!(member = member.settings.id, "blank: waits to be made a member of a group"),
        }
        Ok(Arc::new(member))
    }

    /// This member as part of a group.
    pub fn alive(&self) -> Result<&Arc<Alive>, Status> {
        self.alive.get().ok_or_else(|| {
            Status::failed_precondition(format!(
                "member {} is blank: begin a group ('group init') or add it to one ('group add')",
                self.settings.id
            ))
        })
    }

    async fn become_alive(&self, ident: &Ident) -> Result<(), StartError> {
        let alive = Alive::start(self.store.clone(), ident, &self.settings, self.begin).await?;
        // Two welcomes at once: the second finds the first's.
        if self.alive.set(alive).is_ok() {
            info!(
                member = ident.id,
                group = ident.group,
                generation = ident.generation,
                "a member of the group"
            );
        }
        Ok(())
    }

    /// Is made a member. The same welcome again changes nothing.
    pub(crate) async fn welcome(&self, ident: Ident) -> Result<(), Status> {
        let refused = |what: String| Err(Status::failed_precondition(what));
        let s = &self.settings;
        if ident.group != s.group || ident.id != s.id {
            return refused(format!(
                "this is to be member {} of group '{}', not member {} of '{}'",
                s.id, s.group, ident.id, ident.group
            ));
        }
        let found = self.store.ident().map_err(|e| Status::internal(e.to_string()))?;
        match found {
            Some(found) if found == ident => return Ok(()),
            Some(found) => {
                return refused(format!(
                    "{} holds member {} of generation {} already",
                    s.file.display(),
                    found.id,
                    found.generation
                ))
            }
            None => {}
        }
        tokio::task::block_in_place(|| self.store.become_member(&ident))
            .map_err(|e| Status::internal(e.to_string()))?;
        self.become_alive(&ident).await.map_err(|e| Status::internal(e.to_string()))
    }

    /// Begins a group of blank members.
    pub(crate) async fn init(
        &self,
        members: &BTreeMap<u64, SocketAddr>,
        restored: Option<State>,
    ) -> Result<MembershipResult, Status> {
        if !members.contains_key(&self.settings.id) {
            return refused(format!(
                "member {} is not among the members of the group to be",
                self.settings.id
            ));
        }
        let generation = restored.as_ref().map_or(self.settings.generation.max(1), |s| s.position.generation);
        if generation < self.settings.generation {
            return refused(format!(
                "the operators' file wants generation {} at least, this is {generation}",
                self.settings.generation
            ));
        }
        let ident = |id| Ident::new(&self.settings.group, generation, id);
        for (id, address) in members.iter().filter(|(id, _)| **id != self.settings.id) {
            if let Err(why) = welcome(&ident(*id), *address, self.settings.id).await {
                return refused(format!("member {id} at {address}: {why}"));
            }
        }
        self.welcome(ident(self.settings.id)).await?;
        let alive = self.alive()?;
        let nodes: BTreeMap<u64, BasicNode> =
            members.iter().map(|(id, at)| (*id, BasicNode::new(at.to_string()))).collect();
        match alive.raft.initialize(nodes).await {
            Ok(()) => {}
            Err(RaftError::APIError(InitializeError::NotAllowed(_))) => {
                return refused("this group has begun already".into());
            }
            Err(e) => return refused(e.to_string()),
        }
        if let Some(state) = restored {
            // The election of the first leader takes a moment.
            let until = tokio::time::Instant::now() + CATCH_UP;
            let record = Record::Restored(Box::new(state));
            while let Err(e) = alive.write(record.clone()).await {
                if tokio::time::Instant::now() > until {
                    return refused(format!("the restored state is not written: {}", e.message()));
                }
                tokio::time::sleep(PACE).await;
            }
        }
        Ok(MembershipResult::Done)
    }

    /// Resolves when the log has stopped, with the reason: a disk that can't be written, mostly.
    pub async fn failed(&self) -> String {
        loop {
            if let Some(alive) = self.alive.get() {
                return alive.failed().await;
            }
            tokio::time::sleep(PACE).await;
        }
    }

    /// Stops the log.
    pub async fn stop(&self) {
        if let Some(alive) = self.alive.get() {
            for task in alive.tasks.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
                task.abort();
            }
            if let Err(error) = alive.raft.shutdown().await {
                warn!(%error, "the log did not stop in order");
            }
        }
    }
}

fn refused(why: String) -> Result<MembershipResult, Status> {
    Ok(MembershipResult::Refused { why })
}

/// Makes another, blank process a member.
async fn welcome(ident: &Ident, at: SocketAddr, from: u64) -> Result<(), String> {
    let speaker = Speaker { group: ident.group.clone(), generation: ident.generation, id: from };
    let body = serde_json::to_vec(ident).map_err(|e| e.to_string())?;
    let mut client = member(&at.to_string())?;
    let call = client.send(speaker.frame("welcome", body));
    match tokio::time::timeout(Duration::from_secs(2), call).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(status)) => Err(status.message().into()),
        Err(_) => Err("no answer in time".into()),
    }
}

impl Alive {
    async fn start(
        store: Store,
        ident: &Ident,
        settings: &Settings,
        begin: Instant,
    ) -> Result<Arc<Alive>, StartError> {
        let ms = |m: Micros| m.0 / 1_000;
        let t = settings.timing;
        let config = Config {
            cluster_name: ident.group.clone(),
            heartbeat_interval: ms(t.heartbeat_interval),
            // By chance between the half and the whole, so that two candidates rarely meet twice.
            election_timeout_min: ms(t.election_timeout) / 2,
            election_timeout_max: ms(t.election_timeout),
            install_snapshot_timeout: 2_000,
            snapshot_policy: SnapshotPolicy::LogsSinceLast(SNAPSHOT_AFTER),
            max_in_snapshot_log_to_keep: KEPT,
            max_payload_entries: 32,
            ..Config::default()
        };
        let config = Arc::new(config.validate().map_err(|e| StartError::Log(e.to_string()))?);
        let (machine, applied) = Machine::load(store.clone(), ident.generation).map_err(StartError::Store)?;
        let speaker = Speaker { group: ident.group.clone(), generation: ident.generation, id: ident.id };
        let links = Links { speaker: speaker.clone(), seen: settings.seen.clone() };
        let raft = Raft::new(ident.id, config, links, store, machine)
            .await
            .map_err(|e| StartError::Log(e.to_string()))?;
        let alive = Arc::new(Alive {
            raft,
            applied,
            speaker,
            settings: settings.clone(),
            certainty: Mutex::default(),
            begin,
            tasks: Mutex::default(),
        });
        let tasks = vec![
            tokio::spawn(alive.clone().confirm_always()),
            tokio::spawn(alive.clone().follow_applied()),
            tokio::spawn(alive.clone().pace_always()),
        ];
        *alive.tasks.lock().unwrap_or_else(PoisonError::into_inner) = tasks;
        Ok(alive)
    }

    fn now(&self) -> Micros {
        Micros(u64::try_from(self.begin.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    fn certainty(&self) -> std::sync::MutexGuard<'_, StalenessBound> {
        self.certainty.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How long ago this member certainly knew the newest.
    pub fn age(&self) -> Option<Micros> {
        let now = self.now();
        self.certainty().age(now)
    }

    /// The log's own figures.
    pub fn metrics(&self) -> RaftMetrics<u64, BasicNode> {
        self.raft.metrics().borrow().clone()
    }

    async fn failed(&self) -> String {
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

    async fn follow_applied(self: Arc<Alive>) {
        let mut applied = self.applied.clone();
        loop {
            let index = applied.borrow_and_update().index;
            self.certainty().record_applied(index);
            if applied.changed().await.is_err() {
                return;
            }
        }
    }

    /// The newest committed entry, by a leader that a majority follows at this moment.
    pub(crate) async fn newest(&self) -> Result<u64, Status> {
        let patience = span(self.settings.timing.answer_timeout);
        match tokio::time::timeout(patience, self.raft.get_read_log_id()).await {
            Ok(Ok((newest, _))) => Ok(newest.map_or(0, |l| l.index)),
            Ok(Err(RaftError::APIError(CheckIsLeaderError::QuorumNotEnough(e)))) => {
                Err(Status::failed_precondition(format!(
                    "no majority follows member {}: of {} it hears {}",
                    self.speaker.id,
                    self.metrics().membership_config.voter_ids().count(),
                    e.got.len()
                )))
            }
            Ok(Err(RaftError::APIError(CheckIsLeaderError::ForwardToLeader(_)))) => {
                Err(Status::failed_precondition(format!("member {} does not lead", self.speaker.id)))
            }
            Ok(Err(e)) => Err(Status::failed_precondition(e.to_string())),
            Err(_) => Err(Status::failed_precondition(format!(
                "no majority answers member {} within {} ms",
                self.speaker.id,
                patience.as_millis()
            ))),
        }
    }

    /// The leader, if it is another member, and where it listens.
    fn other_leader(&self) -> Result<Option<(u64, String)>, Status> {
        let metrics = self.metrics();
        let Some(leader) = metrics.current_leader else {
            let known = metrics.membership_config.voter_ids().count();
            return Err(Status::failed_precondition(format!(
                "member {} knows no leader among the {known} of the group (term {}); without a majority nothing is \
                 decided",
                self.speaker.id, metrics.current_term
            )));
        };
        if leader == self.speaker.id {
            return Ok(None);
        }
        let node = || metrics.membership_config.membership().get_node(&leader).map(|n| n.addr.clone());
        let at = self.settings.seen.get(&leader).map(SocketAddr::to_string).or_else(node);
        let at = at.ok_or_else(|| Status::failed_precondition(format!("nobody knows where {leader} is")))?;
        Ok(Some((leader, at)))
    }

    /// Refuses what would have to go to a leader of which nothing was heard lately: it would lie in a link that is cut, and
    /// come out when that heals.
    fn reaches_leader(&self, leader: u64) -> Result<(), Status> {
        let age = self.age();
        if age.is_some_and(|age| age <= self.settings.timing.fresh_limit) {
            return Ok(());
        }
        let since = age.map_or("ever".into(), |age| format!("for {} ms", age.0 / 1_000));
        Err(Status::failed_precondition(format!(
            "member {} has not heard {since} that a majority follows member {leader}; it is cut off, or there is no \
             majority",
            self.speaker.id
        )))
    }

    /// Asks the leader for something, as it is.
    async fn ask_leader(
        &self,
        leader: u64,
        at: &str,
        kind: &str,
        body: Vec<u8>,
        patience: Duration,
    ) -> Result<Vec<u8>, Status> {
        let mut client = member(at).map_err(Status::failed_precondition)?;
        match tokio::time::timeout(patience, client.send(self.speaker.frame(kind, body))).await {
            Ok(Ok(reply)) => Ok(reply.into_inner().body),
            Ok(Err(status)) => {
                Err(Status::new(status.code(), format!("leader {leader}: {}", status.message())))
            }
            Err(_) => Err(Status::deadline_exceeded(format!(
                "leader {leader} did not answer member {} within {} ms",
                self.speaker.id,
                patience.as_millis()
            ))),
        }
    }

    /// Asks again and again whether what is applied here is the newest.
    async fn confirm_always(self: Arc<Alive>) {
        let mut every = tokio::time::interval(span(self.settings.timing.confirm_interval));
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut link: Option<(String, crate::network::Client)> = None;
        loop {
            every.tick().await;
            let asked = self.now();
            let newest = match self.other_leader() {
                Err(_) => continue,
                Ok(None) => self.newest().await.ok(),
                Ok(Some((_, at))) => {
                    if link.as_ref().is_none_or(|(to, _)| *to != at) {
                        link = member(&at).ok().map(|client| (at.clone(), client));
                    }
                    let Some((_, client)) = &mut link else { continue };
                    let call = client.send(self.speaker.frame("confirm", Vec::new()));
                    let patience = span(self.settings.timing.answer_timeout);
                    match tokio::time::timeout(patience, call).await {
                        Ok(Ok(reply)) => serde_json::from_slice(&reply.into_inner().body).ok(),
                        Ok(Err(_)) | Err(_) => None,
                    }
                }
            };
            if let Some(newest) = newest {
                self.certainty().record_answer(asked, newest);
            }
        }
    }

    /// While this member leads: the map at the beginning, and steps of ramps.
    async fn pace_always(self: Arc<Alive>) {
        let mut every = tokio::time::interval(PACE);
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut pacer = Pacer::default();
        loop {
            every.tick().await;
            let leads = self.metrics().current_leader == Some(self.speaker.id);
            let applied = self.applied.borrow().clone();
            if leads && applied.index > 0 && applied.state.topology.is_none() {
                self.adopt_first().await;
                continue;
            }
            for due in pacer.due_steps(self.now(), &applied.state, leads) {
                let order = Order {
                    id: String::new(),
                    author: format!("member {}", self.speaker.id),
                    reason: "the next step".into(),
                    at_ms: wall_clock::now_ms(),
                    kind: OrderKind::Step { zone: due.zone.clone(), zone_epoch: due.zone_epoch },
                };
                if let Err(e) = self.write(Record::Order(order)).await {
                    warn!(zone = due.zone, why = e.message(), "a step was not made");
                }
            }
        }
    }

    /// The first map. All members propose the same, by the same id, so that it counts once whoever leads.
    async fn adopt_first(&self) {
        let order = Order {
            id: format!("first-map-{}", self.speaker.generation),
            author: "operators' file".into(),
            reason: "the group begins".into(),
            at_ms: 0,
            kind: OrderKind::Adopt { topology: self.settings.map.clone(), expected_epoch: None },
        };
        match self.write(Record::Order(order)).await {
            Ok(Some(Outcome::Refused { causes, .. })) => {
                for cause in causes {
                    error!(%cause, "the operators' file's map is refused");
                }
            }
            Ok(_) => {}
            Err(e) => warn!(why = e.message(), "the first map was not adopted yet"),
        }
    }

    /// Writes a record as the leader. What fails with FAILED_PRECONDITION was certainly not proposed.
    async fn write(&self, record: Record) -> Result<Option<Outcome>, Status> {
        // A leader that lost its majority would take the record in and be unable to say what becomes of it.
        self.newest().await?;
        let patience = span(self.settings.timing.election_timeout) * 2;
        match tokio::time::timeout(patience, self.raft.client_write(Recorded(record))).await {
            Ok(Ok(done)) => Ok(done.data.0),
            Ok(Err(RaftError::APIError(ClientWriteError::ForwardToLeader(_)))) => {
                Err(Status::failed_precondition(format!("member {} does not lead any more", self.speaker.id)))
            }
            Ok(Err(e)) => Err(Status::unknown(e.to_string())),
            Err(_) => Err(Status::deadline_exceeded("a majority has not confirmed it in time")),
        }
    }

    /// Carries an order out, here or at the leader.
    pub(crate) async fn give(&self, order: &Order, may_forward: bool) -> Result<Outcome, Status> {
        if let OrderKind::Step { .. } = order.kind {
            return Err(Status::invalid_argument("steps are the leader's own"));
        }
        match self.other_leader()? {
            None => self
                .write(Record::Order(order.clone()))
                .await?
                .ok_or_else(|| Status::internal("an order without an outcome")),
            Some((leader, at)) if may_forward => {
                self.reaches_leader(leader)?;
                let patience = span(self.settings.timing.election_timeout) * 3;
                let body = self.ask_leader(leader, &at, "give", encode(order), patience).await?;
                decode(&body).map_err(|e| Status::internal(e.to_string()))
            }
            Some((leader, _)) => Err(Status::failed_precondition(format!("member {leader} leads"))),
        }
    }

    /// Changes the group, here or at the leader.
    pub(crate) async fn manage(
        &self,
        change: &MembershipChange,
        may_forward: bool,
    ) -> Result<MembershipResult, Status> {
        if let MembershipChange::Snapshot = change {
            let done = self.raft.trigger().snapshot().await;
            return Ok(done.map_or_else(
                |e| MembershipResult::Refused { why: e.to_string() },
                |()| MembershipResult::Done,
            ));
        }
        match self.other_leader()? {
            Some((leader, at)) if may_forward => {
                self.reaches_leader(leader)?;
                let body = self.ask_leader(leader, &at, "manage", encode(change), CATCH_UP).await?;
                return decode(&body).map_err(|e| Status::internal(e.to_string()));
            }
            Some((leader, _)) => {
                return Err(Status::failed_precondition(format!("member {leader} leads")));
            }
            None => {}
        }
        self.newest().await?;
        let done = match change {
            MembershipChange::Add { id, address } => self.add(*id, *address).await,
            MembershipChange::Remove { id } => self.remove(*id).await,
            MembershipChange::Init { .. } => Err("this group has begun already".into()),
            MembershipChange::Snapshot => Ok(()),
        };
        Ok(done.map_or_else(|why| MembershipResult::Refused { why }, |()| MembershipResult::Done))
    }

    async fn add(&self, id: u64, address: SocketAddr) -> Result<(), String> {
        let members = self.metrics().membership_config;
        if members.voter_ids().any(|v| v == id) {
            return Err(format!("{id} is a member already; one whose disk was replaced is removed first"));
        }
        let ident = Ident::new(&self.speaker.group, self.speaker.generation, id);
        welcome(&ident, address, self.speaker.id).await.map_err(|e| format!("{address}: {e}"))?;
        let node = BasicNode::new(address.to_string());
        let joining = async {
            // It votes only once it has all that was committed.
            self.raft.add_learner(id, node, true).await.map_err(|e| e.to_string())?;
            let voters = ChangeMembers::AddVoterIds(BTreeSet::from([id]));
            self.raft.change_membership(voters, false).await.map_err(|e| e.to_string())
        };
        match tokio::time::timeout(CATCH_UP, joining).await {
            Ok(done) => done.map(|_| ()),
            Err(_) => Err(format!("{id} has not caught up within {} s; send it again", CATCH_UP.as_secs())),
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
        match tokio::time::timeout(CATCH_UP, self.raft.change_membership(without, false)).await {
            Ok(done) => done.map(|_| ()).map_err(|e| e.to_string()),
            Err(_) => Err("a majority has not confirmed it in time".into()),
        }
    }
}
