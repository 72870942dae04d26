//! The other registries, and the store beside this one.

use crate::state::{Command, Due, Owner};
use crate::wire::{PeerReport, RegistryRequest, RegistryResponse};
use starlinghill_catalog::Instance;
use starlinghill_config_store::wire as store;
use starlinghill_consensus::{Ballot, Member, Members};
use starlinghill_lease::contact::{may_confirm_drain, StalenessBudget, ORDER_HEDGE_DELAY};
use starlinghill_runtime::net::NetworkHandle;
use starlinghill_runtime::rpc::RpcClient;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{interval, sleep, timeout_at, Instant, MissedTickBehavior};

/// How often the tables are told that time passes.
const TICK: Duration = Duration::from_millis(60);
/// How long another registry may take. A backend waits a second for its answer.
const PATIENCE: Duration = Duration::from_millis(350);
const PAUSE: Duration = Duration::from_millis(100);
/// While the store here is silent, others are asked so often who the members are.
const LEARN: Duration = Duration::from_secs(1);

/// The way to another registry: two, as the duty must not wait behind lists.
type Lines = (Rc<RpcClient>, Rc<RpcClient>);

/// The registries of the members, as they are known here.
pub struct Peers {
    net: NetworkHandle,
    me: IpAddr,
    port: u16,
    members: RefCell<Members>,
    /// Asked until the members are known: a beginning only.
    seeds: Vec<IpAddr>,
    lines: RefCell<BTreeMap<IpAddr, Lines>>,
    /// Others that may know what was never told here: they did not answer.
    missed: RefCell<BTreeSet<IpAddr>>,
}

impl Peers {
    /// On a network, without this one.
    pub fn new(net: &NetworkHandle, me: IpAddr, port: u16, seeds: Vec<IpAddr>) -> Peers {
        let (members, lines, missed) = (RefCell::default(), RefCell::default(), RefCell::default());
        Peers { net: net.clone(), me, port, members, seeds, lines, missed }
    }

    /// Those are the members, if they are newer. Returns whether that is news.
    pub fn follow(&self, members: &Members) -> bool {
        let mut known = self.members.borrow_mut();
        let newer = known.voters.is_empty() && !members.voters.is_empty() || members.epoch > known.epoch;
        if newer {
            *known = members.clone();
            self.lines.borrow_mut().retain(|ip, _| members.member_at(*ip).is_some());
            self.missed.borrow_mut().retain(|ip| members.member_at(*ip).is_some());
        }
        newer
    }

    /// The members were told.
    pub fn knows_members(&self) -> bool {
        !self.members.borrow().voters.is_empty()
    }

    /// Where the others are.
    pub fn others(&self) -> Vec<IpAddr> {
        let known = self.members.borrow();
        let all: BTreeSet<IpAddr> = match known.voters.is_empty() {
            true => self.seeds.iter().copied().collect(),
            false => known.voters.iter().map(|member| member.ip).collect(),
        };
        all.into_iter().filter(|ip| *ip != self.me).collect()
    }

    fn lines(&self, ip: IpAddr) -> Lines {
        let line = || Rc::new(RpcClient::new(&self.net, SocketAddr::new(ip, self.port)));
        self.lines.borrow_mut().entry(ip).or_insert_with(|| (line(), line())).clone()
    }

    /// Tells all members; returns whether a majority of them has noted it. One that is no member passes it on, and counts for
    /// nothing itself.
    async fn tell_most(&self, question: impl Fn(u64) -> RegistryRequest) -> bool {
        // One that has just started knows in a moment.
        let known = Instant::now() + PATIENCE;
        while !self.knows_members() && Instant::now() < known {
            sleep(TICK).await;
        }
        // A second time where somebody knew newer members.
        for _ in 0..2 {
            let members = self.members.borrow().clone();
            let (told, mut answers) = mpsc::unbounded_channel();
            for ip in self.others() {
                let ((_, caller), question, told) = (self.lines(ip), question(members.epoch), told.clone());
                spawn_local(async move {
                    if let Ok(answer) = caller.call::<_, RegistryResponse>(&question, PATIENCE).await {
                        // A majority may have noted it.
                        let _ = told.send((ip, answer));
                    }
                });
            }
            drop(told);
            let mut noted: BTreeSet<Member> = members.member_at(self.me).into_iter().collect();
            let mut newer = false;
            while !may_confirm_drain(noted.len(), members.voters.len()) && !newer {
                match answers.recv().await {
                    Some((ip, RegistryResponse::Noted)) => noted.extend(members.member_at(ip)),
                    Some((_, RegistryResponse::Newer(known))) => newer = self.follow(&known),
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

    /// What a backend said last goes to the others.
    pub async fn tell_instance(&self, instance: Instance) -> bool {
        let heard = |epoch| {
            RegistryRequest::Heard(PeerReport {
                epoch,
                backends: vec![(instance.clone(), 0)],
                ..PeerReport::default()
            })
        };
        self.tell_most(heard).await
    }

    /// That a backend has left goes to the others.
    pub async fn tell_left(&self, id: &str) -> bool {
        self.tell_most(|epoch| RegistryRequest::Left(epoch, id.into())).await
    }

    /// Lets time pass: duty, and what was heard.
    pub async fn run(self: Rc<Self>, owner: Owner) {
        self.learn_all(&owner).await;
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            let (reply, due) = oneshot::channel();
            if owner.send(Command::Tick(reply)).await.is_err() {
                return;
            }
            let Ok(Due { duty, epoch, heard }) = due.await else { return };
            for ip in self.others() {
                let (quick, _) = self.lines(ip);
                if let Some((asked, ask)) = duty {
                    let owner = owner.clone();
                    spawn_local(async move {
                        // Whoever can't be told is asked again.
                        let _ = match quick.call(&RegistryRequest::Duty(epoch, ask), PATIENCE).await {
                            Ok(RegistryResponse::Duty(tell)) => {
                                owner.send(Command::Duty(ip, asked, ask, tell)).await
                            }
                            Ok(RegistryResponse::Newer(members)) => owner.send(Command::Newer(members)).await,
                            _ => Ok(()),
                        };
                    });
                }
                if let Some(heard) = heard.clone() {
                    let (peers, owner) = (self.clone(), owner.clone());
                    spawn_local(async move { peers.pass_on(ip, heard, &owner).await });
                }
            }
        }
    }

    /// One that has just started asks the others first: knowing none is not the same as there being none. So does each once
    /// the members are others: what one of them was told before need not have come here.
    pub async fn learn_all(&self, owner: &Owner) {
        for ip in self.others() {
            if !self.learn(ip, owner).await {
                self.missed.borrow_mut().insert(ip);
            }
        }
    }

    /// Tells another one what was heard. Mostly what is lost is heard again with the next beat; but who has left beats no more,
    /// so one that could not be told, and could not tell either, is asked for all that it knows once it answers again.
    async fn pass_on(&self, ip: IpAddr, heard: PeerReport, owner: &Owner) {
        let (_, caller) = self.lines(ip);
        let told = caller.call::<_, RegistryResponse>(&RegistryRequest::Heard(heard), PATIENCE).await.is_ok();
        let was_missed = told && self.missed.borrow_mut().remove(&ip);
        if !told || was_missed && !self.learn(ip, owner).await {
            self.missed.borrow_mut().insert(ip);
        }
    }

    async fn learn(&self, ip: IpAddr, owner: &Owner) -> bool {
        let (_, caller) = self.lines(ip);
        let Ok(RegistryResponse::All(heard)) = caller.call(&RegistryRequest::All, PATIENCE).await else {
            return false;
        };
        let (backends, gateways) = (heard.backends.len(), heard.gateways.len());
        log::info!("event=learned from={ip} backends={backends} gateways={gateways}");
        let (reply, noted) = oneshot::channel();
        let _ = owner.send(Command::Ask(RegistryRequest::Heard(heard), reply)).await;
        noted.await.is_ok()
    }

    /// The holder of the count leaves: tells its successor.
    pub async fn hand_over(&self, to: IpAddr, ask: starlinghill_lease::LeaseRequest<IpAddr>) {
        let epoch = self.members.borrow().epoch;
        let told =
            self.lines(to).0.call::<_, RegistryResponse>(&RegistryRequest::Duty(epoch, ask), PATIENCE).await;
        log::info!("event=count_handed_over to={to} ok={}", told.is_ok());
    }
}

/// Follows the store on this machine: what was agreed on, and who the members are.
pub async fn follow_store(
    net: NetworkHandle,
    address: SocketAddr,
    owner: Owner,
    peers: Rc<Peers>,
    chain: StalenessBudget,
) {
    let caller = RpcClient::new(&net, address);
    let (mut have, mut was_fresh, mut silent) = (Ballot::default(), false, false);
    let mut learned = None;
    loop {
        if !peers.knows_members() {
            learn_members(&net, address, &owner, &peers).await;
        }
        let (reply, now) = oneshot::channel();
        let _ = owner.send(Command::Now(reply)).await;
        let Ok(begun) = now.await else { return };
        let asked = Instant::now();
        match caller.call(&store::StoreRequest::Changes(have, was_fresh), chain.request_timeout).await {
            Ok(store::StoreResponse::Changes {
                ballot,
                contact,
                members,
                is_voter: votes,
                proposed,
                items,
            }) => {
                (silent, was_fresh) = (false, contact.is_some());
                // A store that begins anew may know less than it did: nothing of that is news.
                let items = items.filter(|_| ballot > have);
                have = if items.is_some() { ballot } else { have };
                if peers.follow(&members) {
                    let (peers, owner) = (peers.clone(), owner.clone());
                    spawn_local(async move { peers.learn_all(&owner).await });
                }
                // The word of one that does not vote tells nothing of what a majority may have accepted.
                let vouched = votes.then_some(begun);
                let told = owner.send(Command::Members(vouched, members, proposed)).await;
                let new = items.is_some() || contact.is_some();
                if told.is_err() || new && owner.send(Command::Store(items, contact, asked)).await.is_err() {
                    return;
                }
                if ballot < have {
                    sleep(PAUSE).await;
                }
            }
            Ok(_) => sleep(PAUSE).await,
            Err(error) => {
                if !std::mem::replace(&mut silent, true) {
                    log::warn!("event=store_silent address={address} error=\"{error}\"");
                }
                if learned.is_none_or(|at: Instant| at.elapsed() > LEARN) {
                    learned = Some(Instant::now());
                    learn_members(&net, address, &owner, &peers).await;
                }
                sleep(PAUSE).await;
            }
        }
    }
}

/// Who the members are, by the store here, which may have no news yet, or by others: for drains to be confirmed while it is
/// not up. Its word alone lets this registry vote on who keeps the count.
async fn learn_members(net: &NetworkHandle, store: SocketAddr, owner: &Owner, peers: &Peers) {
    for ip in std::iter::once(store.ip()).chain(peers.others()) {
        let other = RpcClient::new(net, SocketAddr::new(ip, store.port()));
        if let Ok(store::StoreResponse::Members(members, _)) =
            other.call(&store::StoreRequest::Members, PATIENCE).await
        {
            if peers.follow(&members) {
                let _ = owner.send(Command::Newer(members)).await;
            }
            if peers.knows_members() {
                return;
            }
        }
    }
}

/// Asks the stores, the one on this machine first: one that is not there is passed over, and one that is silent is not
/// waited for alone. An order may be tried by two stores at once: to be taken twice is to be taken.
pub async fn ask_store(
    net: &NetworkHandle,
    stores: Vec<SocketAddr>,
    question: store::StoreRequest,
    within: Duration,
) -> Option<store::StoreResponse> {
    let net = net.clone();
    let question = Rc::new(question);
    first_clear(stores.len(), within, move |i, left| {
        let (caller, question) = (RpcClient::new(&net, stores[i]), question.clone());
        async move {
            match caller.call(question.as_ref(), left).await {
                Ok(answer) => Some(answer),
                Err(error) => {
                    log::warn!("event=store_failed address={} error=\"{error}\"", caller.address());
                    (!error.is_not_sent()).then_some(store::StoreResponse::Unavailable)
                }
            }
        }
    })
    .await
}

/// The first clear answer of so many stores, each asked by `ask` with the time that is left, which has nothing of one that was
/// surely not asked; where there is none in time, what was said instead. A refusal of what others may still take is none: it holds only once nobody tries any more. Whoever
/// is still asked when this ends, or is given up, is asked no more.
pub async fn first_clear<W>(
    stores: usize,
    within: Duration,
    ask: impl Fn(usize, Duration) -> W,
) -> Option<store::StoreResponse>
where
    W: Future<Output = Option<store::StoreResponse>> + 'static,
{
    let by = Instant::now() + within;
    let (mut asked, mut next, mut unclear, mut refused) = (JoinSet::new(), 0, None, None);
    loop {
        if next < stores && refused.is_none() {
            asked.spawn_local(ask(next, by.saturating_duration_since(Instant::now())));
            next += 1;
        }
        let more = next < stores && refused.is_none();
        let patience = if more { by.min(Instant::now() + ORDER_HEDGE_DELAY) } else { by };
        match timeout_at(patience, asked.join_next()).await {
            Ok(Some(Ok(Some(answer)))) if is_refusal(&answer) => refused = Some(answer),
            Ok(Some(Ok(Some(answer)))) if is_clear(&answer) => return Some(answer),
            Ok(Some(answer)) => unclear = answer.ok().flatten().or(unclear),
            Ok(None) => {}
            Err(_) if Instant::now() >= by => return unclear,
            Err(_) => {}
        }
        if asked.is_empty() && (next == stores || refused.is_some()) {
            return refused.filter(|_| unclear.is_none()).or(unclear);
        }
    }
}

/// It is refused by how things stand just now.
fn is_refusal(answer: &store::StoreResponse) -> bool {
    matches!(answer, store::StoreResponse::Applied(store::ChangeOutcome::Invalid(_)))
}

fn is_clear(answer: &store::StoreResponse) -> bool {
    !matches!(
        answer,
        store::StoreResponse::Unavailable | store::StoreResponse::Applied(store::ChangeOutcome::Unclear)
    )
}
