//! Communication with the other registries, and following the configuration store on this machine.

use crate::state::{Command, StateHandle, TickWork};
use crate::wire::{PeerReport, RegistryRequest, RegistryResponse};
use starlinghill_catalog::Instance;
use starlinghill_config_store::wire as store;
use starlinghill_consensus::{Ballot, Member, Members};
use starlinghill_lease::contact::{may_confirm_drain, StalenessBudget};
use starlinghill_runtime::net::NetworkHandle;
use starlinghill_runtime::rpc::RpcClient;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, Instant, MissedTickBehavior};

/// Interval of the state's periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(60);
/// Timeout of a call to another registry. It must be well below the second that a backend waits for its answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(350);
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How often other stores are asked for the members while the store on this machine does not answer.
const MEMBERS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Two connections to another registry: the first for lease requests, which must not wait behind long reports, the
/// second for everything else.
type PeerClients = (Rc<RpcClient>, Rc<RpcClient>);

/// The other registries, by the members as they are known here.
pub struct Peers {
    net: NetworkHandle,
    own_ip: IpAddr,
    port: u16,
    members: RefCell<Members>,
    /// Addresses from the settings, used only until the members are known.
    seeds: Vec<IpAddr>,
    clients: RefCell<BTreeMap<IpAddr, PeerClients>>,
    /// Registries whose last report or full report failed. They may know of departed backends that this one was never
    /// told of.
    unsynced: RefCell<BTreeSet<IpAddr>>,
}

impl Peers {
    /// `own_ip` is left out of the peers. `port` is that of registries on every machine.
    pub fn new(net: &NetworkHandle, own_ip: IpAddr, port: u16, seeds: Vec<IpAddr>) -> Peers {
        let (members, clients, unsynced) = (RefCell::default(), RefCell::default(), RefCell::default());
        Peers { net: net.clone(), own_ip, port, members, seeds, clients, unsynced }
    }

    /// Adopts the members if they are newer than the known ones; returns whether they were.
    pub fn follow(&self, members: &Members) -> bool {
        let mut known = self.members.borrow_mut();
        let newer = known.voters.is_empty() && !members.voters.is_empty() || members.epoch > known.epoch;
        if newer {
            *known = members.clone();
            self.clients.borrow_mut().retain(|ip, _| members.member_at(*ip).is_some());
            self.unsynced.borrow_mut().retain(|ip| members.member_at(*ip).is_some());
        }
        newer
    }

    /// Whether a set of members has been received.
    pub fn knows_members(&self) -> bool {
        !self.members.borrow().voters.is_empty()
    }

    /// Addresses of the other registries: the members, or the seeds where no members are known.
    pub fn others(&self) -> Vec<IpAddr> {
        let known = self.members.borrow();
        let all: BTreeSet<IpAddr> = match known.voters.is_empty() {
            true => self.seeds.iter().copied().collect(),
            false => known.voters.iter().map(|member| member.ip).collect(),
        };
        all.into_iter().filter(|ip| *ip != self.own_ip).collect()
    }

    fn clients_of(&self, ip: IpAddr) -> PeerClients {
        let client = || Rc::new(RpcClient::new(&self.net, SocketAddr::new(ip, self.port)));
        self.clients.borrow_mut().entry(ip).or_insert_with(|| (client(), client())).clone()
    }

    /// Sends a request to all members; returns whether a majority of them acknowledged it. A registry that is no
    /// member itself doesn't count toward the majority.
    async fn send_to_majority(&self, request: impl Fn(u64) -> RegistryRequest) -> bool {
        // A registry that has just started learns the members within moments.
        let give_up_at = Instant::now() + PEER_TIMEOUT;
        while !self.knows_members() && Instant::now() < give_up_at {
            sleep(TICK_INTERVAL).await;
        }
        // Repeats the request once if a peer knew newer members.
        for _ in 0..2 {
            let members = self.members.borrow().clone();
            let (replies, mut answers) = mpsc::unbounded_channel();
            for ip in self.others() {
                let ((_, client), request, replies) =
                    (self.clients_of(ip), request(members.epoch), replies.clone());
                spawn_local(async move {
                    if let Ok(answer) = client.call::<_, RegistryResponse>(&request, PEER_TIMEOUT).await {
                        // The receiver is gone if a majority has already acknowledged.
                        let _ = replies.send((ip, answer));
                    }
                });
            }
            drop(replies);
            let mut acknowledged: BTreeSet<Member> = members.member_at(self.own_ip).into_iter().collect();
            let mut newer = false;
            while !may_confirm_drain(acknowledged.len(), members.voters.len()) && !newer {
                match answers.recv().await {
                    Some((ip, RegistryResponse::Acknowledged)) => acknowledged.extend(members.member_at(ip)),
                    Some((_, RegistryResponse::NewerMembers(known))) => newer = self.follow(&known),
                    Some(_) => {}
                    None => return false,
                }
            }
            if !newer {
                return true;
            }
        }
        false
    }

    /// Replicates a backend's state; returns whether a majority of registries knows it.
    pub async fn replicate_instance(&self, instance: Instance) -> bool {
        let request = |epoch| {
            RegistryRequest::Report(PeerReport {
                epoch,
                backends: vec![(instance.clone(), 0)],
                ..PeerReport::default()
            })
        };
        self.send_to_majority(request).await
    }

    /// Replicates that a backend has deregistered; returns whether a majority of registries knows it.
    pub async fn replicate_departure(&self, id: &str) -> bool {
        self.send_to_majority(|epoch| RegistryRequest::BackendLeft(epoch, id.into())).await
    }

    /// Runs the periodic work: lease requests and reports to the other registries.
    pub async fn run(self: Rc<Self>, state: StateHandle) {
        self.fetch_all_reports(&state).await;
        let mut tick = interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            let (reply, due) = oneshot::channel();
            if state.send(Command::Tick(reply)).await.is_err() {
                return;
            }
            let Ok(TickWork { lease_request, epoch, report }) = due.await else { return };
            for ip in self.others() {
                let (lease_client, _) = self.clients_of(ip);
                if let Some((asked, lease_request)) = lease_request {
                    let state = state.clone();
                    spawn_local(async move {
                        // A request that fails is sent again with a later tick.
                        let _ = match lease_client
                            .call(&RegistryRequest::Lease(epoch, lease_request), PEER_TIMEOUT)
                            .await
                        {
                            Ok(RegistryResponse::Lease(vote)) => {
                                state.send(Command::LeaseReply(ip, asked, lease_request, vote)).await
                            }
                            Ok(RegistryResponse::NewerMembers(members)) => {
                                state.send(Command::NewerMembers(members)).await
                            }
                            _ => Ok(()),
                        };
                    });
                }
                if let Some(report) = report.clone() {
                    let (peers, state) = (self.clone(), state.clone());
                    spawn_local(async move { peers.send_report(ip, report, &state).await });
                }
            }
        }
    }

    /// Fetches everything that the other registries know. A registry that has just started needs this because an
    /// empty catalog doesn't mean that there are no backends. It is also needed when the members change: a new
    /// member's earlier reports may never have come here.
    pub async fn fetch_all_reports(&self, state: &StateHandle) {
        for ip in self.others() {
            if !self.fetch_full_report(ip, state).await {
                self.unsynced.borrow_mut().insert(ip);
            }
        }
    }

    /// Reports to another registry. A lost report of a live backend is repeated by its next heartbeat, but a backend
    /// that left sends no more heartbeats. So after a failure in either direction, everything is fetched from that
    /// registry once it answers again.
    async fn send_report(&self, ip: IpAddr, report: PeerReport, state: &StateHandle) {
        let (_, client) = self.clients_of(ip);
        let sent =
            client.call::<_, RegistryResponse>(&RegistryRequest::Report(report), PEER_TIMEOUT).await.is_ok();
        let was_unsynced = sent && self.unsynced.borrow_mut().remove(&ip);
        if !sent || was_unsynced && !self.fetch_full_report(ip, state).await {
            self.unsynced.borrow_mut().insert(ip);
        }
    }

    async fn fetch_full_report(&self, ip: IpAddr, state: &StateHandle) -> bool {
        let (_, client) = self.clients_of(ip);
        let Ok(RegistryResponse::FullReport(report)) =
            client.call(&RegistryRequest::FullReport, PEER_TIMEOUT).await
        else {
            return false;
        };
        let (backends, gateways) = (report.backends.len(), report.gateways.len());
        log::info!("event=learned from={ip} backends={backends} gateways={gateways}");
        let (reply, recorded) = oneshot::channel();
        let _ = state.send(Command::Request(RegistryRequest::Report(report), reply)).await;
        recorded.await.is_ok()
    }

    /// Passes the counter's lease to a successor at shutdown, so that no election has to time out first.
    pub async fn hand_over(&self, to: IpAddr, lease_request: starlinghill_lease::LeaseRequest<IpAddr>) {
        let epoch = self.members.borrow().epoch;
        let sent = self
            .clients_of(to)
            .0
            .call::<_, RegistryResponse>(&RegistryRequest::Lease(epoch, lease_request), PEER_TIMEOUT)
            .await;
        log::info!("event=count_handed_over to={to} ok={}", sent.is_ok());
    }
}

/// Polls the configuration store on this machine for items, members and its latest contact with a majority.
pub async fn follow_store(
    net: NetworkHandle,
    address: SocketAddr,
    state: StateHandle,
    peers: Rc<Peers>,
    staleness: StalenessBudget,
) {
    let client = RpcClient::new(&net, address);
    let (mut known_ballot, mut had_contact, mut silent) = (Ballot::default(), false, false);
    let mut last_members_poll = None;
    loop {
        if !peers.knows_members() {
            fetch_members(&net, address, &state, &peers).await;
        }
        let (reply, now) = oneshot::channel();
        let _ = state.send(Command::Clock(reply)).await;
        let Ok(asked_at) = now.await else { return };
        let asked = Instant::now();
        match client
            .call(&store::StoreRequest::Changes(known_ballot, had_contact), staleness.request_timeout)
            .await
        {
            Ok(store::StoreResponse::Changes { ballot, contact, members, is_voter, proposed, items }) => {
                (silent, had_contact) = (false, contact.is_some());
                // A store that restarted with an empty disk may know less than before; items older than the known
                // ones are ignored.
                let items = items.filter(|_| ballot > known_ballot);
                known_ballot = if items.is_some() { ballot } else { known_ballot };
                if peers.follow(&members) {
                    let (peers, state) = (peers.clone(), state.clone());
                    spawn_local(async move { peers.fetch_all_reports(&state).await });
                }
                // A store that doesn't vote can't tell what a majority may have accepted.
                let valid_from = is_voter.then_some(asked_at);
                let sent = state.send(Command::Members(valid_from, members, proposed)).await;
                let new = items.is_some() || contact.is_some();
                if sent.is_err()
                    || new && state.send(Command::StoreUpdate(items, contact, asked)).await.is_err()
                {
                    return;
                }
                if ballot < known_ballot {
                    sleep(RETRY_DELAY).await;
                }
            }
            Ok(_) => sleep(RETRY_DELAY).await,
            Err(error) => {
                if !std::mem::replace(&mut silent, true) {
                    log::warn!("event=store_silent address={address} error=\"{error}\"");
                }
                if last_members_poll.is_none_or(|at: Instant| at.elapsed() > MEMBERS_POLL_INTERVAL) {
                    last_members_poll = Some(Instant::now());
                    fetch_members(&net, address, &state, &peers).await;
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Fetches the members from the store on this machine or, if it doesn't answer, from others, so that drains can be
/// confirmed without the local store. Only the local store's answer lets this registry vote on the counter's lease.
async fn fetch_members(net: &NetworkHandle, store: SocketAddr, state: &StateHandle, peers: &Peers) {
    for ip in std::iter::once(store.ip()).chain(peers.others()) {
        let other = RpcClient::new(net, SocketAddr::new(ip, store.port()));
        if let Ok(store::StoreResponse::Members(members, _)) =
            other.call(&store::StoreRequest::Members, PEER_TIMEOUT).await
        {
            if peers.follow(&members) {
                let _ = state.send(Command::NewerMembers(members)).await;
            }
            if peers.knows_members() {
                return;
            }
        }
    }
}
