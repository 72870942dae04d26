//! Rounds over all members: changes, reads, settling what was left half done, and following what others agree on.

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

/// The pause before a round is tried again, times the tries so far.
const BACK_OFF_MS: u64 = 12;

/// All stores, as this one sees them.
pub struct Stores {
    pub(crate) me: Member,
    pub(crate) keeper: AcceptorHandle,
    pub(crate) times: MembershipTimes,
    net: NetworkHandle,
    port: u16,
    /// The ways to other stores. Those of members, and of whoever asks to be one.
    callers: RefCell<BTreeMap<IpAddr, Rc<RpcClient>>>,
    /// The newest members that are known to be agreed on, and since when.
    members: watch::Sender<Members>,
    stands_since: Cell<Instant>,
    by: u32,
    /// Rounds of one store go one after the other: they would only be in each other's way.
    turn: Mutex<()>,
    /// The highest ballot that was heard of. No lower than the one by which the members were agreed on.
    seen: Cell<Ballot>,
    /// The highest ballot known to be agreed on, with its state.
    chosen: watch::Sender<(Ballot, Rc<State>)>,
    /// What changed with the last ones.
    recent: RefCell<RecentChanges>,
    pub(crate) chain: StalenessBudget,
    start: Instant,
    /// A majority's word that all which it had agreed on is known here.
    contact: Cell<Option<LastQuorumContact>>,
    fresh: watch::Sender<bool>,
    /// When each member was heard last.
    heard: RefCell<BTreeMap<Member, Instant>>,
    begun: Instant,
    /// Stores that would vote: when they asked last, and why they don't.
    pub(crate) candidates: RefCell<BTreeMap<Member, (Instant, crate::wire::MembershipDelay)>>,
}

/// Questions on their way, and the answers that came.
struct Asking {
    tell: mpsc::UnboundedSender<(Member, Option<AcceptorReply<Value>>)>,
    told: mpsc::UnboundedReceiver<(Member, Option<AcceptorReply<Value>>)>,
    out: usize,
}

impl Asking {
    /// The next answer; `None` when all have answered or failed, or it is late.
    async fn next(&mut self, until: Instant) -> Option<(Member, AcceptorReply<Value>)> {
        while self.out > 0 {
            let (from, tell) = timeout_at(until, self.told.recv()).await.ok()??;
            self.out -= 1;
            if let Some(tell) = tell {
                return Some((from, tell));
            }
        }
        None
    }
}

impl Stores {
    /// As the voter here knows them. Ballots of this process are its own by that number.
    pub fn new(
        net: &NetworkHandle,
        keeper: AcceptorHandle,
        port: u16,
        by: u32,
        times: MembershipTimes,
        chain: StalenessBudget,
    ) -> Stores {
        let view = keeper.view.borrow().clone();
        Stores {
            me: keeper.me,
            keeper,
            times,
            net: net.clone(),
            port,
            callers: RefCell::default(),
            members: watch::channel(view.members).0,
            stands_since: Cell::new(Instant::now()),
            by,
            turn: Mutex::new(()),
            seen: Cell::new(view.promised),
            chosen: watch::channel(Default::default()).0,
            recent: RefCell::default(),
            chain,
            start: Instant::now(),
            contact: Cell::new(None),
            fresh: watch::channel(false).0,
            heard: RefCell::default(),
            begun: Instant::now(),
            candidates: RefCell::default(),
        }
    }

    /// What was agreed on, as it becomes known.
    pub fn chosen(&self) -> watch::Receiver<(Ballot, Rc<State>)> {
        self.chosen.subscribe()
    }

    /// Whether that is known to be all, as it was last looked at.
    pub fn fresh(&self) -> watch::Receiver<bool> {
        self.fresh.subscribe()
    }

    /// A majority's word that nothing newer was agreed on, in answer to a question of that moment.
    pub fn contact(&self, asked: Instant) -> Option<QuorumContact> {
        let (now, asked) = (self.start.elapsed(), asked.saturating_duration_since(self.start));
        let contact = self.contact.get().filter(|contact| self.chain.may_vouch(Some(contact.age(now))));
        contact.map(|contact| contact.pass_on(now, asked))
    }

    /// Those members have said, asked at that moment, that they know of nothing above that ballot. What is newer and not had
    /// here, or not known to be agreed on, guards against telling of the old. Where newer members were just heard of, others
    /// than these may have agreed on more.
    fn hear(&self, asked: Instant, members: &Members, heard: &BTreeSet<Member>, newest: Ballot) {
        let same_members = self.members.borrow().epoch == members.epoch;
        if members.majority(heard) && same_members && newest <= self.chosen.borrow().0 {
            self.contact
                .set(Some(LastQuorumContact::from_majority(asked.saturating_duration_since(self.start))));
        }
    }

    pub(crate) fn is_fresh(&self) -> bool {
        self.contact(Instant::now()).is_some()
    }

    /// What is news to one who has the value of that ballot.
    pub fn news(&self, have: Ballot) -> Option<Value> {
        let known = self.chosen.borrow();
        // One that has more than this store knows hears of nothing that is new to it.
        let news = || self.recent.borrow().between(have, known.0).unwrap_or_else(|| known.1.value.clone());
        (known.0 > have).then(news)
    }

    /// The newest members that are known here to be agreed on, with a ballot that is no lower than theirs.
    pub fn members(&self) -> (Members, Ballot) {
        (self.members.borrow().clone(), self.seen.get())
    }

    /// For how long these have been known.
    pub fn stood(&self) -> Duration {
        self.stands_since.get().elapsed()
    }

    /// How long ago each member was heard, as far back as this store runs.
    pub fn sight(&self) -> LastHeard {
        let heard = self.heard.borrow();
        let ago = |member: &Member| heard.get(member).unwrap_or(&self.begun).elapsed();
        let known = self.members.borrow();
        let all = known.voters.iter();
        all.map(|m| (*m, if *m == self.me { Duration::ZERO } else { ago(m) })).collect()
    }

    /// Those members were agreed on, under no higher ballot than that.
    pub fn follow_members(&self, members: Members, ballot: Ballot) {
        self.seen.set(self.seen.get().max(ballot));
        let newer = self.members.send_if_modified(|known| {
            let newer = members.epoch > known.epoch || known.voters.is_empty();
            let fuller = members.epoch == known.epoch && known.before.is_empty();
            if newer || fuller {
                *known = members.clone();
            }
            newer
        });
        if newer {
            self.stands_since.set(Instant::now());
            self.heard.borrow_mut().retain(|member, _| members.has(*member));
            let names = |set: &[Member]| {
                set.iter().map(|m| format!("{}/{:x}", m.ip, m.incarnation)).collect::<Vec<_>>().join(",")
            };
            log::info!(
                "event=members epoch={} voters={} before={}",
                members.epoch,
                names(&members.voters),
                names(&members.before)
            );
            if members.epoch > 0 && members.has(self.me) && !members.before.contains(&self.me) {
                log::info!("event=voter_back epoch={} incarnation={:x}", members.epoch, self.me.incarnation);
            }
        }
    }

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

    /// The way to the store at an address.
    pub(crate) fn caller(&self, ip: IpAddr) -> Rc<RpcClient> {
        let mut callers = self.callers.borrow_mut();
        let new = || Rc::new(RpcClient::new(&self.net, SocketAddr::new(ip, self.port)));
        callers.entry(ip).or_insert_with(new).clone()
    }

    /// Asks one voter.
    pub(crate) async fn put(&self, to: Member, ask: AcceptorRequest<Value>) -> Option<AcceptorReply<Value>> {
        if to.ip == self.me.ip {
            let asked = self.keeper.ask_as(to, ask);
            return tokio::time::timeout(self.chain.voter, asked).await.ok()?;
        }
        match self.caller(to.ip).call(&StoreRequest::Acceptor(to, ask), self.chain.voter).await {
            Ok(StoreResponse::Acceptor(tell)) => Some(tell),
            _ => None,
        }
    }

    /// Asks these at once; answers come as they come.
    fn ask(self: &Rc<Self>, to: impl IntoIterator<Item = Member>, ask: &AcceptorRequest<Value>) -> Asking {
        let (tell, told) = mpsc::unbounded_channel();
        let mut asking = Asking { tell, told, out: 0 };
        self.ask_more(&mut asking, to, ask);
        asking
    }

    fn ask_more(
        self: &Rc<Self>,
        on: &mut Asking,
        to: impl IntoIterator<Item = Member>,
        ask: &AcceptorRequest<Value>,
    ) {
        for member in to {
            on.out += 1;
            let (stores, ask, tell) = (self.clone(), ask.clone(), on.tell.clone());
            spawn_local(async move {
                let answer = stores.put(member, ask).await;
                if matches!(answer, Some(AcceptorReply::Has { .. } | AcceptorReply::Accepted)) {
                    stores.heard.borrow_mut().insert(member, Instant::now());
                }
                // The round may be over.
                let _ = tell.send((member, answer));
            });
        }
    }

    /// Makes a new state from what was agreed on, and has that agreed on. `None`: no majority in time.
    pub(crate) async fn agree<T>(
        self: &Rc<Self>,
        by: Instant,
        mut make: impl FnMut(&State) -> (Option<State>, T),
    ) -> Option<T> {
        let _turn = timeout_at(by, self.turn.lock()).await.ok()?;
        let mut tries = 0;
        while Instant::now() < by {
            let ballot = Ballot { round: self.seen.get().round + 1, by: self.by };
            self.seen.set(ballot);
            let members = self.members.borrow().clone();
            let have = {
                let known = self.chosen.borrow();
                (known.0, known.1.as_ref().clone())
            };
            let mut round = ProposerRound::new(ballot, members, have);
            let mut asking = self.ask(round.asked(), &round.ask());
            let until = by.min(Instant::now() + self.chain.voter * 2);
            let mut made = None;
            while let Some((from, tell)) = asking.next(until).await {
                match round.told(from, tell) {
                    ProposerStep::Wait => {}
                    ProposerStep::Extend(more) => self.ask_more(&mut asking, more, &round.ask()),
                    ProposerStep::Base(base, known) => {
                        let (next, came) = make(&base);
                        // What is known to be agreed on needs no second word.
                        if next.is_none() && known {
                            return Some(came);
                        }
                        let next = next.unwrap_or_else(|| base.clone());
                        if let Some(ask) = round.propose(next.clone()) {
                            made = Some((next, Some(came)));
                            asking = self.ask(round.asked(), &ask);
                        } else if let Some(ask) = round.propose(base.clone()) {
                            // The change of members before has to be settled first.
                            made = Some((base, None));
                            asking = self.ask(round.asked(), &ask);
                        }
                    }
                    ProposerStep::Chosen => {
                        let (next, came) = made.take()?;
                        let newer = (next.members.epoch > round.epoch()).then(|| next.members.clone());
                        self.learn(ballot, Rc::new(next));
                        let told = self.ask(round.asked(), &AcceptorRequest::Chosen(ballot));
                        // Nothing is said of newer members before a majority of them has on disk that they count: the set
                        // before may lose its own in the next moment.
                        if let Some(members) = newer {
                            if !is_known(&members, ballot, told, by).await {
                                return None;
                            }
                        }
                        match came {
                            Some(came) => return Some(came),
                            None => break,
                        }
                    }
                    ProposerStep::Lost(higher) => {
                        self.seen.set(self.seen.get().max(higher));
                        break;
                    }
                    ProposerStep::Newer(members, ballot) => {
                        self.follow_members(members, ballot);
                        break;
                    }
                }
            }
            tries += 1;
            sleep(Duration::from_millis(fastrand::u64(0..BACK_OFF_MS * tries) + 1)).await;
        }
        None
    }

    /// Takes an operator's change, or says why not.
    pub async fn change(self: &Rc<Self>, body: &[u8]) -> ChangeOutcome {
        let change = match ConfigChange::read(body) {
            Ok(change) => change,
            Err(refusal) => return apply_change::refused(refusal),
        };
        let by = Instant::now() + ORDER_COMMIT_TIMEOUT;
        let made = self.agree(by, |base| {
            let (value, outcome) = apply_change::take(&base.value, &change);
            (value.map(|value| State { members: base.members.clone(), value }), outcome)
        });
        made.await.unwrap_or(ChangeOutcome::Unclear)
    }

    /// All that was agreed on before this was asked.
    pub async fn read(self: &Rc<Self>) -> Option<Value> {
        self.agree(Instant::now() + ORDER_COMMIT_TIMEOUT, |base| (None, base.value.clone())).await
    }

    /// Looks at the other stores again and again: learns what was agreed on, and ends what was left half done.
    pub async fn follow(self: Rc<Self>) {
        let mut half_done = false;
        loop {
            let asked = Instant::now();
            let have = self.chosen.borrow().0;
            let members = self.members.borrow().clone();
            let mut asking = self.ask(members.voters.iter().copied(), &AcceptorRequest::Look(have));
            let (mut heard, mut newest) = (BTreeSet::new(), Ballot::default());
            let mut accepted_by: BTreeMap<Ballot, (BTreeSet<Member>, bool, Option<State>)> = BTreeMap::new();
            while let Some((from, tell)) = asking.next(asked + self.chain.voter).await {
                let AcceptorReply::Has { promised, accepted, chosen, state, .. } = tell else { continue };
                heard.insert(from);
                self.seen.set(self.seen.get().max(promised));
                newest = newest.max(chosen).max(accepted);
                // Here already: one that is silent would add to the word's age.
                self.hear(asked, &members, &heard, newest);
                let (by, told, held) = accepted_by.entry(accepted).or_default();
                by.insert(from);
                *told |= accepted == chosen;
                *held = state.or(held.take());
                // Before it is fresh a majority will do; others are heard the next time.
                if members.majority(&heard) && !*self.fresh.borrow() {
                    break;
                }
            }
            let majority = members.majority(&heard);
            // What one calls agreed on is; so is what a majority holds, though all have forgotten that it was told. Where it
            // brings newer members, their word is needed too: that is a round of its own.
            let agreed = accepted_by.iter_mut().rev().find(|(_, (by, told, state))| {
                let same_members = state.as_ref().is_none_or(|state| state.members.epoch <= members.epoch);
                *told || same_members && members.majority(by)
            });
            if let Some((ballot, (_, _, Some(state)))) = agreed {
                self.learn(*ballot, Rc::new(std::mem::take(state)));
            }
            let unsettled = accepted_by.keys().next_back().is_some_and(|last| *last > self.chosen.borrow().0);
            self.hear(asked, &members, &heard, newest);
            let fresh = self.is_fresh();
            self.fresh.send_if_modified(|known| std::mem::replace(known, fresh) != fresh);
            if majority && unsettled && std::mem::replace(&mut half_done, true) {
                let settled = self.agree(Instant::now() + ORDER_COMMIT_TIMEOUT, |_| (None, ())).await;
                log::info!("event=settled_half_done_change ok={}", settled.is_some());
                half_done = false;
            } else if !unsettled {
                half_done = false;
            }
            self.lend().await;
            sleep(if fresh { self.chain.look } else { self.chain.look_again }).await;
        }
    }

    /// The own voter learns what was agreed on while it was away.
    async fn lend(&self) {
        let (ballot, state) = {
            let known = self.chosen.borrow();
            (known.0, known.1.clone())
        };
        let (accepted, chosen) = {
            let view = self.keeper.view.borrow();
            (view.accepted, view.chosen)
        };
        if ballot > accepted {
            self.keeper.ask(AcceptorRequest::Learn { ballot, state: state.as_ref().clone() }).await;
        } else if ballot == accepted && ballot > chosen {
            self.keeper.ask(AcceptorRequest::Chosen(ballot)).await;
        }
    }

    /// The voter here is asked something.
    pub async fn vote(&self, to: Member, ask: AcceptorRequest<Value>) -> Option<AcceptorReply<Value>> {
        self.keeper.ask_as(to, ask).await
    }

    /// Members that the voter here accepted and that are newer than all that are known to be agreed on.
    pub fn proposed(&self) -> Option<Members> {
        let proposed = self.keeper.view.borrow().proposed.clone();
        (proposed.epoch > self.members.borrow().epoch).then_some(proposed)
    }

    /// The newest state that is known to be agreed on.
    pub(crate) fn known(&self) -> (Ballot, Rc<State>) {
        self.chosen.borrow().clone()
    }
}

/// A majority of the members says, by then, that it knows of that ballot that it was agreed on.
async fn is_known(members: &Members, ballot: Ballot, mut told: Asking, by: Instant) -> bool {
    let mut know = BTreeSet::new();
    while let Some((from, tell)) = told.next(by).await {
        if matches!(tell, AcceptorReply::Has { chosen, .. } if chosen >= ballot) {
            know.insert(from);
        }
        if members.majority(&know) {
            return true;
        }
    }
    false
}
