//! This store's view of the replicated state, and the consensus rounds that it runs: changes, reads, completing rounds that
//! another store left unfinished, and following what the others have chosen.

use crate::acceptor::AcceptorHandle;
use crate::apply_change;
use crate::member_replacement::{LastHeard, MembershipTimes};
use crate::recent_changes::RecentChanges;
use crate::wire::{ChangeOutcome, State, StoreRequest, StoreResponse, Value};
use starlinghill_config_model::ConfigChange;
use starlinghill_consensus::{
    AcceptorReply, AcceptorRequest, Ballot, Member, Members, ProposerRound, ProposerStep,
};
use starlinghill_lease::contact::{LastQuorumContact, QuorumContact, StalenessBudget, ORDER_COMMIT_TIMEOUT};
use starlinghill_runtime::net::NetworkHandle;
use starlinghill_runtime::rpc::RpcClient;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch, Mutex};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout_at, Instant};

/// The random pause before a failed round is repeated is below this number of milliseconds, times the attempts so far.
const BACKOFF_STEP_MS: u64 = 12;

/// One store: its acceptor, its clients for the other stores, and what it knows of the replicated state.
pub struct StoreNode {
    pub(crate) me: Member,
    pub(crate) acceptor: AcceptorHandle,
    pub(crate) times: MembershipTimes,
    net: NetworkHandle,
    /// The port that all stores listen on.
    port: u16,
    /// RPC clients for members and candidates, by address.
    clients: RefCell<BTreeMap<IpAddr, Rc<RpcClient>>>,
    /// The newest members that are known to be chosen.
    members: watch::Sender<Members>,
    /// When this store learned of these members.
    members_since: Cell<Instant>,
    /// Distinguishes this process's ballots from those of others with the same round.
    proposer_id: u32,
    /// Held during a round: two rounds of the same store at once would only outbid each other.
    round_lock: Mutex<()>,
    /// The highest ballot that was seen. At least as high as the one that chose the members.
    highest_ballot: Cell<Ballot>,
    /// The highest ballot that is known to be chosen, with its state.
    chosen: watch::Sender<(Ballot, Rc<State>)>,
    /// The items that changed with the last chosen ballots.
    recent: RefCell<RecentChanges>,
    pub(crate) budget: StalenessBudget,
    /// The zero of the clock of `contact`.
    clock_start: Instant,
    /// The last confirmation by a majority that `chosen` is up to date.
    contact: Cell<Option<LastQuorumContact>>,
    /// Whether that confirmation was valid when the other stores were last polled.
    fresh: watch::Sender<bool>,
    /// When each other member was last heard from.
    heard_at: RefCell<BTreeMap<Member, Instant>>,
    started: Instant,
    /// Stores that want to become voters: when each last asked, and why it had to wait.
    pub(crate) candidates: RefCell<BTreeMap<Member, (Instant, crate::wire::MembershipDelay)>>,
}

/// Acceptor requests under way, and their replies. `None` is a request that failed or timed out.
struct PendingCalls {
    sender: mpsc::UnboundedSender<(Member, Option<AcceptorReply<Value>>)>,
    replies: mpsc::UnboundedReceiver<(Member, Option<AcceptorReply<Value>>)>,
    outstanding: usize,
}

impl PendingCalls {
    /// The next reply; `None` once all calls have ended, or at `until`.
    async fn next(&mut self, until: Instant) -> Option<(Member, AcceptorReply<Value>)> {
        while self.outstanding > 0 {
            let (from, reply) = timeout_at(until, self.replies.recv()).await.ok()??;
            self.outstanding -= 1;
            if let Some(reply) = reply {
                return Some((from, reply));
            }
        }
        None
    }
}

impl StoreNode {
    /// Starts with what the local acceptor has on disk. `proposer_id` must be unique to this process.
    pub fn new(
        net: &NetworkHandle,
        acceptor: AcceptorHandle,
        port: u16,
        proposer_id: u32,
        times: MembershipTimes,
        budget: StalenessBudget,
    ) -> StoreNode {
        let view = acceptor.view.borrow().clone();
        StoreNode {
            me: acceptor.me,
            acceptor,
            times,
            net: net.clone(),
            port,
            clients: RefCell::default(),
            members: watch::channel(view.members).0,
            members_since: Cell::new(Instant::now()),
            proposer_id,
            round_lock: Mutex::new(()),
            highest_ballot: Cell::new(view.promised),
            chosen: watch::channel(Default::default()).0,
            recent: RefCell::default(),
            budget,
            clock_start: Instant::now(),
            contact: Cell::new(None),
            fresh: watch::channel(false).0,
            heard_at: RefCell::default(),
            started: Instant::now(),
            candidates: RefCell::default(),
        }
    }

    /// Follows the highest ballot that is known to be chosen, with its state.
    pub fn chosen(&self) -> watch::Receiver<(Ballot, Rc<State>)> {
        self.chosen.subscribe()
    }

    /// Follows whether the chosen state was confirmed as up to date when the other stores were last polled.
    pub fn fresh(&self) -> watch::Receiver<bool> {
        self.fresh.subscribe()
    }

    /// The last confirmation by a majority that nothing newer is chosen, if it is recent enough to be used. It goes to a
    /// caller whose request arrived at `asked`.
    pub fn contact(&self, asked: Instant) -> Option<QuorumContact> {
        let (now, asked) = (self.clock_start.elapsed(), asked.saturating_duration_since(self.clock_start));
        let contact = self.contact.get().filter(|contact| self.budget.is_fresh(Some(contact.age(now))));
        contact.map(|contact| contact.to_peer(now, asked))
    }

    /// Records a quorum contact if the members `heard`, polled at `asked`, are a majority and `newest`, the highest ballot
    /// that any of them has accepted, is chosen and known here. Otherwise an outdated state could be passed off as current.
    /// The members must also still be the current ones: a newer set may have chosen more without any of these.
    fn record_contact(&self, asked: Instant, members: &Members, heard: &BTreeSet<Member>, newest: Ballot) {
        let same_members = self.members.borrow().epoch == members.epoch;
        if members.has_majority(heard) && same_members && newest <= self.chosen.borrow().0 {
            let asked = asked.saturating_duration_since(self.clock_start);
            self.contact.set(Some(LastQuorumContact::from_majority(asked)));
        }
    }

    pub(crate) fn is_fresh(&self) -> bool {
        self.contact(Instant::now()).is_some()
    }

    /// The items to send to a caller that has the value of ballot `have`: the changed items if they are known, else all.
    /// `None` if the caller's value is not older than this store's.
    pub fn changes_since(&self, have: Ballot) -> Option<Value> {
        let known = self.chosen.borrow();
        let items = || self.recent.borrow().between(have, known.0).unwrap_or_else(|| known.1.value.clone());
        (known.0 > have).then(items)
    }

    /// The newest members that are known to be chosen, and a ballot at least as high as the one that chose them.
    pub fn members(&self) -> (Members, Ballot) {
        (self.members.borrow().clone(), self.highest_ballot.get())
    }

    /// For how long this store has known the current members.
    pub fn unchanged_for(&self) -> Duration {
        self.members_since.get().elapsed()
    }

    /// How long ago each member was last heard from. A member never heard from counts from this store's start.
    pub fn last_heard(&self) -> LastHeard {
        let heard_at = self.heard_at.borrow();
        let ago = |member: &Member| heard_at.get(member).unwrap_or(&self.started).elapsed();
        let known = self.members.borrow();
        let all = known.voters.iter();
        all.map(|m| (*m, if *m == self.me { Duration::ZERO } else { ago(m) })).collect()
    }

    /// Takes over members that were chosen under `ballot` or a lower one, if they are newer than those known here.
    pub fn follow_members(&self, members: Members, ballot: Ballot) {
        self.highest_ballot.set(self.highest_ballot.get().max(ballot));
        let newer = self.members.send_if_modified(|known| {
            let newer = members.epoch > known.epoch || known.voters.is_empty();
            let more_complete = members.epoch == known.epoch && known.previous_voters.is_empty();
            if newer || more_complete {
                *known = members.clone();
            }
            newer
        });
        if newer {
            self.members_since.set(Instant::now());
            self.heard_at.borrow_mut().retain(|member, _| members.contains(*member));
            let names = |set: &[Member]| {
                set.iter().map(|m| format!("{}/{:x}", m.ip, m.incarnation)).collect::<Vec<_>>().join(",")
            };
            log::info!(
                "event=members epoch={} voters={} before={}",
                members.epoch,
                names(&members.voters),
                names(&members.previous_voters)
            );
            if members.epoch > 0 && members.contains(self.me) && !members.previous_voters.contains(&self.me) {
                log::info!("event=voter_back epoch={} incarnation={:x}", members.epoch, self.me.incarnation);
            }
        }
    }

    /// Takes over a chosen state, if it is newer than the one known here.
    fn learn(&self, ballot: Ballot, state: Rc<State>) {
        self.follow_members(state.members.clone(), ballot);
        self.chosen.send_if_modified(|known| {
            let newer = ballot > known.0;
            if newer {
                self.recent.borrow_mut().learn((known.0, &known.1.value), (ballot, &state.value));
                *known = (ballot, state);
            }
            newer
        });
    }

    /// The RPC client for the store at an address.
    pub(crate) fn client(&self, ip: IpAddr) -> Rc<RpcClient> {
        let mut clients = self.clients.borrow_mut();
        let new = || Rc::new(RpcClient::new(&self.net, SocketAddr::new(ip, self.port)));
        clients.entry(ip).or_insert_with(new).clone()
    }

    /// Sends a request to one acceptor, the local one included. `None` if no reply came in time.
    pub(crate) async fn call_acceptor(
        &self,
        to: Member,
        request: AcceptorRequest<Value>,
    ) -> Option<AcceptorReply<Value>> {
        if to.ip == self.me.ip {
            let reply = self.acceptor.call_as(to, request);
            return tokio::time::timeout(self.budget.voter_timeout, reply).await.ok()?;
        }
        match self.client(to.ip).call(&StoreRequest::Acceptor(to, request), self.budget.voter_timeout).await {
            Ok(StoreResponse::Acceptor(reply)) => Some(reply),
            _ => None,
        }
    }

    /// Sends a request to several acceptors at once.
    fn call_acceptors(
        self: &Rc<Self>,
        to: impl IntoIterator<Item = Member>,
        request: &AcceptorRequest<Value>,
    ) -> PendingCalls {
        let (sender, replies) = mpsc::unbounded_channel();
        let mut calls = PendingCalls { sender, replies, outstanding: 0 };
        self.add_calls(&mut calls, to, request);
        calls
    }

    fn add_calls(
        self: &Rc<Self>,
        calls: &mut PendingCalls,
        to: impl IntoIterator<Item = Member>,
        request: &AcceptorRequest<Value>,
    ) {
        for member in to {
            calls.outstanding += 1;
            let (store, request, sender) = (self.clone(), request.clone(), calls.sender.clone());
            spawn_local(async move {
                let reply = store.call_acceptor(member, request).await;
                if matches!(reply, Some(AcceptorReply::Status { .. } | AcceptorReply::Accepted)) {
                    store.heard_at.borrow_mut().insert(member, Instant::now());
                }
                // The round may have ended.
                let _ = sender.send((member, reply));
            });
        }
    }

    /// Runs rounds until one is chosen, at most until `deadline`. `make` gets the latest state, and returns the new state
    /// (`None`: leave it unchanged) and the result of the call. Returns `None` if no round was completed: whether the new
    /// state is chosen is then unknown. `make` runs once for each round.
    pub(crate) async fn propose<T>(
        self: &Rc<Self>,
        deadline: Instant,
        mut make: impl FnMut(&State) -> (Option<State>, T),
    ) -> Option<T> {
        let _guard = timeout_at(deadline, self.round_lock.lock()).await.ok()?;
        let mut tries = 0;
        while Instant::now() < deadline {
            let ballot = Ballot { round: self.highest_ballot.get().round + 1, proposer: self.proposer_id };
            self.highest_ballot.set(ballot);
            let members = self.members.borrow().clone();
            let have = {
                let known = self.chosen.borrow();
                (known.0, known.1.as_ref().clone())
            };
            let mut round = ProposerRound::new(ballot, members, have);
            let mut calls = self.call_acceptors(round.recipients(), &round.prepare_request());
            let until = deadline.min(Instant::now() + self.budget.voter_timeout * 2);
            let mut proposed = None;
            while let Some((from, reply)) = calls.next(until).await {
                match round.handle_reply(from, reply) {
                    ProposerStep::Wait => {}
                    ProposerStep::Extend(more) => self.add_calls(&mut calls, more, &round.prepare_request()),
                    ProposerStep::Base(base, is_chosen) => {
                        let (next, result) = make(&base);
                        // Nothing new, and the base is known to be chosen: no second phase is needed.
                        if next.is_none() && is_chosen {
                            return Some(result);
                        }
                        let next = next.unwrap_or_else(|| base.clone());
                        if let Some(request) = round.propose(next.clone()) {
                            proposed = Some((next, Some(result)));
                            calls = self.call_acceptors(round.recipients(), &request);
                        } else if let Some(request) = round.propose(base.clone()) {
                            // The previous change of members must be chosen first; then a new round makes this one.
                            proposed = Some((base, None));
                            calls = self.call_acceptors(round.recipients(), &request);
                        }
                    }
                    ProposerStep::Chosen => {
                        let (next, result) = proposed.take()?;
                        let new_members = (next.members.epoch > round.epoch()).then(|| next.members.clone());
                        self.learn(ballot, Rc::new(next));
                        let calls = self.call_acceptors(round.recipients(), &AcceptorRequest::Chosen(ballot));
                        // New members are reported only once a majority of them has on disk that they are chosen. Before,
                        // the loss of a majority of the previous members would make it impossible to find that out.
                        if let Some(members) = new_members {
                            if !majority_knows_chosen(&members, ballot, calls, deadline).await {
                                return None;
                            }
                        }
                        match result {
                            Some(result) => return Some(result),
                            None => break,
                        }
                    }
                    ProposerStep::Preempted(higher) => {
                        self.highest_ballot.set(self.highest_ballot.get().max(higher));
                        break;
                    }
                    ProposerStep::NewerMembers(members, ballot) => {
                        self.follow_members(members, ballot);
                        break;
                    }
                }
            }
            tries += 1;
            sleep(Duration::from_millis(fastrand::u64(0..BACKOFF_STEP_MS * tries) + 1)).await;
        }
        None
    }

    /// Applies an operator's configuration change, given as JSON.
    pub async fn change(self: &Rc<Self>, body: &[u8]) -> ChangeOutcome {
        let change = match ConfigChange::parse(body) {
            Ok(change) => change,
            Err(refusal) => return apply_change::refused(refusal),
        };
        let deadline = Instant::now() + ORDER_COMMIT_TIMEOUT;
        let result = self.propose(deadline, |base| {
            let (value, outcome) = apply_change::apply(&base.value, &change);
            (value.map(|value| State { members: base.members.clone(), value }), outcome)
        });
        result.await.unwrap_or(ChangeOutcome::Unclear)
    }

    /// A linearizable read: all items, including every change that was confirmed before this call.
    pub async fn read(self: &Rc<Self>) -> Option<Value> {
        self.propose(Instant::now() + ORDER_COMMIT_TIMEOUT, |base| (None, base.value.clone())).await
    }

    /// Polls the other acceptors for the life of the process: learns what is chosen, renews the quorum contact, and
    /// completes rounds that another store has left unfinished.
    pub async fn follow(self: Rc<Self>) {
        // Whether the previous poll already found an accepted state that is not known to be chosen. Only then is it completed
        // here: its proposer usually does so in the meantime.
        let mut was_unsettled = false;
        loop {
            let asked = Instant::now();
            let have = self.chosen.borrow().0;
            let members = self.members.borrow().clone();
            let mut calls = self.call_acceptors(members.voters.iter().copied(), &AcceptorRequest::Read(have));
            let (mut heard, mut newest) = (BTreeSet::new(), Ballot::default());
            // For each accepted ballot: who has accepted it, whether any of them knows it to be chosen, and its state.
            let mut accepted_by: BTreeMap<Ballot, (BTreeSet<Member>, bool, Option<State>)> = BTreeMap::new();
            while let Some((from, reply)) = calls.next(asked + self.budget.voter_timeout).await {
                let AcceptorReply::Status { promised, accepted, chosen, state, .. } = reply else { continue };
                heard.insert(from);
                self.highest_ballot.set(self.highest_ballot.get().max(promised));
                newest = newest.max(chosen).max(accepted);
                // Recorded as soon as a majority has replied: waiting for a silent member would age the contact.
                self.record_contact(asked, &members, &heard, newest);
                let (by, is_chosen, known_state) = accepted_by.entry(accepted).or_default();
                by.insert(from);
                *is_chosen |= accepted == chosen;
                *known_state = state.or(known_state.take());
                // While not fresh, a majority's replies are enough, to get fresh sooner. The next poll hears the others.
                if members.has_majority(&heard) && !*self.fresh.borrow() {
                    break;
                }
            }
            let majority = members.has_majority(&heard);
            // A ballot is chosen if any acceptor knows so, or if a majority has accepted it, even if none knows. The latter
            // does not hold for a state with newer members, which also needs a majority of those: that takes a round.
            let agreed = accepted_by.iter_mut().rev().find(|(_, (by, is_chosen, state))| {
                let same_members = state.as_ref().is_none_or(|state| state.members.epoch <= members.epoch);
                *is_chosen || same_members && members.has_majority(by)
            });
            if let Some((ballot, (_, _, Some(state)))) = agreed {
                self.learn(*ballot, Rc::new(std::mem::take(state)));
            }
            let unsettled = accepted_by.keys().next_back().is_some_and(|last| *last > self.chosen.borrow().0);
            self.record_contact(asked, &members, &heard, newest);
            let fresh = self.is_fresh();
            self.fresh.send_if_modified(|known| std::mem::replace(known, fresh) != fresh);
            if majority && unsettled && std::mem::replace(&mut was_unsettled, true) {
                let settled = self.propose(Instant::now() + ORDER_COMMIT_TIMEOUT, |_| (None, ())).await;
                log::info!("event=settled_half_done_change ok={}", settled.is_some());
                was_unsettled = false;
            } else if !unsettled {
                was_unsettled = false;
            }
            self.update_own_acceptor().await;
            sleep(if fresh { self.budget.poll_interval } else { self.budget.retry_interval }).await;
        }
    }

    /// Brings the local acceptor up to date with what was chosen without it.
    async fn update_own_acceptor(&self) {
        let (ballot, state) = {
            let known = self.chosen.borrow();
            (known.0, known.1.clone())
        };
        let (accepted, chosen) = {
            let view = self.acceptor.view.borrow();
            (view.accepted, view.chosen)
        };
        if ballot > accepted {
            self.acceptor.call(AcceptorRequest::Learn { ballot, state: state.as_ref().clone() }).await;
        } else if ballot == accepted && ballot > chosen {
            self.acceptor.call(AcceptorRequest::Chosen(ballot)).await;
        }
    }

    /// Passes a request from another store on to the local acceptor.
    pub async fn call_own_acceptor(
        &self,
        to: Member,
        request: AcceptorRequest<Value>,
    ) -> Option<AcceptorReply<Value>> {
        self.acceptor.call_as(to, request).await
    }

    /// Members that the local acceptor has accepted, if they are newer than all that are known to be chosen.
    pub fn proposed_members(&self) -> Option<Members> {
        let proposed = self.acceptor.view.borrow().proposed.clone();
        (proposed.epoch > self.members.borrow().epoch).then_some(proposed)
    }

    /// The highest ballot that is known to be chosen, with its state.
    pub(crate) fn chosen_state(&self) -> (Ballot, Rc<State>) {
        self.chosen.borrow().clone()
    }
}

/// Waits until a majority of the members has replied that it knows the ballot to be chosen. `false` if it did not by then.
async fn majority_knows_chosen(
    members: &Members,
    ballot: Ballot,
    mut calls: PendingCalls,
    deadline: Instant,
) -> bool {
    let mut know = BTreeSet::new();
    while let Some((from, reply)) = calls.next(deadline).await {
        if matches!(reply, AcceptorReply::Status { chosen, .. } if chosen >= ballot) {
            know.insert(from);
        }
        if members.has_majority(&know) {
            return true;
        }
    }
    false
}
