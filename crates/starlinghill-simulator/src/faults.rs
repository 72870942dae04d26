//! What befalls a control side: each trouble begins, lasts and ends; several may be there at once.

use crate::cluster::ip;
use crate::scenario::Run;
use starlinghill_config_store::wire::{MembershipOrder, MembershipOutcome, StoreRequest, StoreResponse};
use starlinghill_runtime::rpc::RpcClient;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// How many troubles may be there at once.
const AT_ONCE: usize = 2;
/// The members that there are at most, and at least.
const MEMBERS: (usize, usize) = (5, 3);
/// A registry that is told to end has ended by then.
const GRACE: Duration = Duration::from_secs(2);
/// How long a cut lasts at most, by default.
const LONGEST_CUT_MS: u64 = 8_000;
/// So often people give an order for the members.
const ORDERED: usize = 12;

/// At times a founder is killed before its files are begun, and starts again as one that has lost them.
pub async fn first_start(run: &Rc<Run>) {
    let (core, is_killed) = (run.any_core(), run.draw(4) == 0);
    if is_killed {
        sleep(run.ms(0, 6)).await;
        let began = run.world.cores[core].disk.borrow().kept().is_some();
        run.note(format!("the store of {core} is killed in its first start, its files begun {began}"));
        run.world.kill_store(core, false);
        sleep(run.ms(0, 300)).await;
        run.world.start_store(core);
    }
}

/// Brings troubles for so long, and waits until all have ended.
pub async fn all(run: Rc<Run>, long: Duration) {
    let until = Instant::now() + long;
    let line = |_| {
        let run = run.clone();
        spawn_local(async move {
            while Instant::now() < until {
                sleep(run.ms(50, 2_500)).await;
                one(&run).await;
            }
        })
    };
    let lines: Vec<_> = (0..AT_ONCE).map(line).collect();
    for line in lines {
        line.await.expect("troubles end");
    }
    run.world.fabric.mend();
    run.world.fabric.weather(None);
}

impl Run {
    fn note(&self, what: String) {
        self.seen.borrow_mut().troubles.push((self.now(), what));
    }

    /// How long a cut lasts.
    fn cut_lasts(&self) -> Duration {
        self.ms(100, LONGEST_CUT_MS * self.stretch)
    }

    fn disturb(&self, core: usize) {
        self.disturbed.borrow_mut()[core] += 1;
    }

    fn disturb_all(&self) {
        self.disturbed.borrow_mut().iter_mut().for_each(|count| *count += 1);
    }

    /// A disk may be lost: what was lost before is made up for.
    fn may_lose(&self) -> bool {
        self.losses_overlap || !self.is_losing.get() && self.world.is_whole()
    }

    /// The same, and nobody else may lose one until [`Run::lost`].
    fn begin_loss(&self) -> bool {
        let may = !self.is_losing.get() && self.may_lose();
        self.is_losing.set(self.is_losing.get() || may);
        may
    }

    /// It is lost, or is not to be lost any more.
    fn lost(&self) {
        self.is_losing.set(false);
    }

    /// An address where no machine of the core is.
    fn spare(&self) -> Option<usize> {
        let all = 0..self.world.cores.len();
        let free: Vec<usize> = all.filter(|i| !self.world.cores[*i].is_there.get()).collect();
        (!free.is_empty()).then(|| free[self.draw(free.len())])
    }

    fn come(&self, core: usize) {
        self.note(format!("{core} comes, with an empty disk"));
        self.disturb(core);
        self.world.come(core);
    }

    fn remove(&self, core: usize) {
        self.note(format!("{core} goes for good"));
        self.disturb(core);
        self.world.remove(core);
    }
}

async fn one(run: &Rc<Run>) {
    let core = run.any_core();
    match run.draw(17) {
        0 | 1 => cut(run, core, run.draw(3)).await,
        2 => away(run, core).await,
        3 => kill(run, core).await,
        4 | 5 => power(run, &[core], false).await,
        6 => power(run, &run.world.there(), false).await,
        7 => power(run, &[core], true).await,
        8 => disk(run, core).await,
        9 | 10 => freeze(run, core).await,
        11 => weather(run).await,
        12 | 13 => replace(run, core).await,
        14 => replace_in_order(run, core).await,
        15 => resize(run).await,
        _ => gateway(run, core).await,
    }
}

/// A member is cut off from the others of the core: all, or one of them; both ways, or one.
async fn cut(run: &Rc<Run>, core: usize, ways: usize) {
    let world = &run.world;
    let only = Some(run.any_core()).filter(|other| *other != core && run.draw(4) > 0);
    run.note(format!("cut of {core} from {only:?}, ways {ways}"));
    let here = world.cores[core].ip;
    let others = run.world.there().into_iter().filter(|other| *other != core);
    for other in others.filter(|other| only.is_none_or(|only| only == *other)) {
        let there = world.cores[other].ip;
        if ways != 1 {
            world.fabric.cut(here, there);
        }
        if ways != 2 {
            world.fabric.cut(there, here);
        }
    }
    sleep(run.cut_lasts()).await;
    mend(run);
}

/// A member is cut off from everybody.
async fn away(run: &Rc<Run>, core: usize) {
    run.note(format!("{core} is away"));
    run.disturb(core);
    let here = run.world.cores[core].ip;
    let operators = (0..3).map(|i| ip(2, i));
    let others = run.world.cores.iter().map(|core| core.ip).filter(|ip| *ip != here);
    let all: Vec<IpAddr> =
        others.chain(run.world.gateways.iter().map(|gateway| gateway.ip)).chain(operators).collect();
    for there in all {
        run.world.fabric.cut(here, there);
        run.world.fabric.cut(there, here);
    }
    sleep(run.cut_lasts()).await;
    mend(run);
}

fn mend(run: &Rc<Run>) {
    run.note("cuts end".into());
    run.disturb_all();
    run.world.fabric.mend();
}

/// A store or a registry is killed, or a registry ends in order; it is started again.
async fn kill(run: &Rc<Run>, core: usize) {
    let which = run.draw(4);
    run.note(format!("kill at {core}, {which}"));
    run.disturb(core);
    if which != 1 {
        run.world.kill_store(core, run.draw(2) == 0);
    }
    match which {
        1 => run.world.end_registry(core),
        2 => run.world.cores[core].registry.borrow().kill(),
        _ => {}
    }
    sleep(run.ms(600, 3_000)).await;
    run.note(format!("start at {core}"));
    run.disturb(core);
    if which == 1 {
        // It had its grace.
        run.world.cores[core].registry.borrow().kill();
    }
    run.world.start_core(core);
}

/// Power goes, and disks with it; then it is back.
async fn power(run: &Rc<Run>, cores: &[usize], wipe: bool) {
    let wipe = wipe && run.may_lose();
    run.note(format!("power goes at {cores:?}, disks lost {wipe}"));
    for core in cores {
        run.disturb(*core);
        run.world.power_off(*core, run.draw(2) == 0);
        if wipe {
            run.world.cores[*core].disk.borrow_mut().wipe();
        }
    }
    for core in cores {
        sleep(run.ms(100, 4_000 / cores.len() as u64)).await;
        run.note(format!("power is back at {core}"));
        run.disturb(*core);
        if run.world.cores[*core].is_there.get() {
            run.world.power_on(*core);
        }
    }
}

/// A machine goes for good, and an empty one comes at another address.
async fn replace(run: &Rc<Run>, core: usize) {
    if !run.begin_loss() {
        return;
    }
    run.remove(core);
    run.lost();
    sleep(run.ms(100, 3_000)).await;
    if let Some(spare) = run.spare() {
        run.come(spare);
    }
}

/// An empty machine comes, then another one is told to end, and goes for good.
async fn replace_in_order(run: &Rc<Run>, core: usize) {
    let Some(spare) = run.spare().filter(|_| run.begin_loss()) else { return };
    run.come(spare);
    sleep(run.ms(300, 4_000)).await;
    leave(run, core).await;
}

/// A machine is told to end, and goes for good.
async fn leave(run: &Rc<Run>, core: usize) {
    // It may have been lost by itself meanwhile.
    if run.world.is_whole() && run.world.cores[core].is_there.get() {
        run.note(format!("{core} is told to end"));
        run.disturb(core);
        run.world.end_store(core);
        run.world.end_registry(core);
        sleep(GRACE).await;
        run.remove(core);
    }
    run.lost();
}

/// People want one member more, or less.
async fn resize(run: &Rc<Run>) {
    let count = run.world.members().voters.len();
    // While one is lost, who comes is meant for its place.
    if count < MEMBERS.0 && run.draw(3) > 0 && run.may_lose() {
        let Some(spare) = run.spare() else { return };
        run.come(spare);
        sleep(run.ms(300, 2_000)).await;
        order(run, MembershipOrder::Add(run.world.cores[spare].ip)).await;
    } else if count > MEMBERS.1 && run.begin_loss() {
        let core = run.any_core();
        if order(run, MembershipOrder::Remove(run.world.cores[core].ip)).await {
            leave(run, core).await;
        }
        run.lost();
    }
}

/// People order it at one member after the other, until one says that it is done.
async fn order(run: &Rc<Run>, order: MembershipOrder) -> bool {
    for _ in 0..ORDERED {
        let store = run.world.store(run.any_core());
        let answer = RpcClient::new(&run.world.fabric.at(ip(2, 0)), store)
            .call::<_, StoreResponse>(&StoreRequest::ChangeMembers(order), Duration::from_secs(1))
            .await;
        if matches!(
            answer,
            Ok(StoreResponse::Membership(MembershipOutcome::Done(_) | MembershipOutcome::Stands))
        ) {
            run.note(format!("done: {order:?}"));
            return true;
        }
        sleep(run.ms(100, 600)).await;
    }
    run.note(format!("not done: {order:?}"));
    false
}

/// A disk hangs, or refuses.
async fn disk(run: &Rc<Run>, core: usize) {
    let (long, refuses) = (run.ms(100, 4_000), run.draw(3) == 0);
    run.note(format!("disk of {core} for {long:?}, refuses {refuses}"));
    match refuses {
        true => run.world.cores[core].disk.borrow_mut().refuses = true,
        false => run.world.cores[core].disk.borrow_mut().stall(Instant::now() + long),
    }
    sleep(long).await;
    run.world.cores[core].disk.borrow_mut().refuses = false;
}

/// Programs of a machine stand still.
async fn freeze(run: &Rc<Run>, core: usize) {
    let (which, long) = (run.draw(3), run.ms(50, 6_000));
    run.note(format!("{core} stands still for {long:?}, {which}"));
    run.disturb(core);
    let (store, registry) =
        (run.world.cores[core].store.borrow().clone(), run.world.cores[core].registry.borrow().clone());
    let each = [(store, which != 1), (registry, which != 2)];
    each.iter().filter(|(_, hit)| *hit).for_each(|(process, _)| process.freeze(true));
    sleep(long).await;
    run.disturb(core);
    each.iter().for_each(|(process, _)| process.freeze(false));
}

/// Links are slow and lose packets, or connections are reset.
async fn weather(run: &Rc<Run>) {
    let (slow, lossy) = (run.ms(4, 120).as_millis() as u64, run.draw(200) as u64);
    run.note(format!("links take {slow} ms and lose {lossy} in a thousand"));
    run.disturb_all();
    run.world.fabric.weather(Some((slow, lossy)));
    sleep(run.ms(500, 5_000)).await;
    run.disturb_all();
    run.world.fabric.weather(None);
    for core in &run.world.cores {
        let other = run.world.cores[run.any_core()].ip;
        run.world.fabric.reset_between(core.ip, other);
    }
}

/// A gateway stands still, is started anew, or reaches only one member, which may be on the wrong side.
async fn gateway(run: &Rc<Run>, core: usize) {
    let i = run.draw(run.world.gateways.len());
    let gateway = &run.world.gateways[i];
    match run.draw(3) {
        0 => {
            run.note(format!("gateway {i} stands still"));
            let process = gateway.process.borrow().clone();
            process.freeze(true);
            sleep(run.ms(50, 6_000)).await;
            process.freeze(false);
        }
        1 => {
            run.note(format!("gateway {i} is started anew"));
            gateway.process.borrow().kill();
            sleep(run.ms(10, 1_000)).await;
            run.world.start_gateway(i);
        }
        _ => {
            run.note(format!("gateway {i} is started anew beside {core}, which is cut off"));
            for (_, other) in run.world.cores.iter().enumerate().filter(|(j, _)| *j != core) {
                for (a, b) in [(gateway.ip, other.ip), (run.world.cores[core].ip, other.ip)] {
                    run.world.fabric.cut(a, b);
                    run.world.fabric.cut(b, a);
                }
            }
            sleep(run.ms(0, 3_000)).await;
            gateway.process.borrow().kill();
            run.world.start_gateway(i);
            sleep(run.ms(100, 5_000)).await;
            mend(run);
        }
    }
}
