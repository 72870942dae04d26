//! Injects faults into a control plane. Each fault starts, lasts for some time and ends; several may overlap.

use crate::cluster::machine_ip;
use crate::scenario::Run;
use starlinghill_config_store::wire::{MembershipOrder, MembershipOutcome, StoreRequest, StoreResponse};
use starlinghill_runtime::rpc::RpcClient;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// The number of fault injectors, and so of faults at one time.
const CONCURRENT_FAULTS: usize = 2;
/// The largest and the smallest number of members that resizing leads to.
const MEMBER_LIMITS: (usize, usize) = (5, 3);
/// How long a program that was asked to shut down may take.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(2);
/// The longest cut in milliseconds, before [`Run::duration_factor`].
const MAX_CUT_MS: u64 = 8_000;
/// The longest wait of an operator's packets, in milliseconds.
const MAX_PACKET_WAIT_MS: u64 = 4_000;
/// How often an operator submits a membership change until it is done.
const ORDER_ATTEMPTS: usize = 12;
/// What a cut blocks, by the number drawn for it.
const DIRECTIONS: [&str; 3] = ["both directions", "incoming only", "outgoing only"];
/// What [`kill_programs`] ends, by the number drawn for it.
const ENDINGS: [&str; 4] =
    ["store killed", "registry shut down", "store and registry killed", "store killed"];
/// What [`freeze_programs`] freezes, by the number drawn for it.
const FROZEN_PROGRAMS: [&str; 3] = ["store and registry", "registry", "store"];

/// Sometimes kills a store in its first start, before its files are created. It then starts again like a store that
/// has lost its files.
pub async fn kill_in_first_start(run: &Rc<Run>) {
    let (core, is_killed) = (run.random_core(), run.random_below(4) == 0);
    if is_killed {
        sleep(run.random_ms(0, 6)).await;
        let has_files = run.cluster.cores[core].disk.borrow().acceptor_state().is_some();
        run.record_fault(format!(
            "store of core {core} killed in its first start, files created: {has_files}"
        ));
        run.cluster.kill_store(core, false);
        sleep(run.random_ms(0, 300)).await;
        run.cluster.start_store(core);
    }
}

/// Until the clients end, makes packets from an operator's machine to one core machine after another wait.
pub async fn slow_down_operator(run: Rc<Run>, operator: usize) {
    let from = machine_ip(2, operator);
    while !run.is_over.get() {
        let core = run.random_core();
        let (to, delay) = (run.cluster.cores[core].ip, run.random_ms(500, MAX_PACKET_WAIT_MS));
        run.record_fault(format!("packets from operator {operator} to core {core} wait {delay:?}"));
        run.count_disturbance(core);
        run.cluster.network.set_extra_delay(from, to, Some(delay));
        sleep(run.random_ms(200, 4_000)).await;
        run.count_disturbance(core);
        run.cluster.network.set_extra_delay(from, to, None);
        sleep(run.random_ms(50, 500)).await;
    }
}

/// Injects faults for the given time and waits until all have ended.
pub async fn inject_all(run: Rc<Run>, period: Duration) {
    let until = Instant::now() + period;
    let injector = |_| {
        let run = run.clone();
        spawn_local(async move {
            while Instant::now() < until {
                sleep(run.random_ms(50, 2_500)).await;
                inject_one(&run).await;
            }
        })
    };
    let injectors: Vec<_> = (0..CONCURRENT_FAULTS).map(injector).collect();
    for injector in injectors {
        injector.await.expect("fault injectors end without a panic");
    }
    run.cluster.network.unblock_all();
    run.cluster.network.set_link_quality(None);
}

impl Run {
    fn record_fault(&self, description: String) {
        self.history.borrow_mut().injected_faults.push((self.now(), description));
    }

    /// A random duration for a network cut.
    fn random_cut_duration(&self) -> Duration {
        self.random_ms(100, MAX_CUT_MS * self.duration_factor)
    }

    fn count_disturbance(&self, core: usize) {
        self.disturbances.borrow_mut()[core] += 1;
    }

    fn count_disturbance_of_all(&self) {
        self.disturbances.borrow_mut().iter_mut().for_each(|count| *count += 1);
    }

    /// Whether a disk may be lost now: earlier losses have been repaired.
    fn may_lose_disk(&self) -> bool {
        self.allow_overlapping_losses || !self.loss_in_progress.get() && self.cluster.is_fully_replicated()
    }

    /// Reserves the loss of a machine if one is allowed. No other disk may be lost until [`Run::end_loss`].
    fn begin_loss(&self) -> bool {
        let allowed = !self.loss_in_progress.get() && self.may_lose_disk();
        self.loss_in_progress.set(self.loss_in_progress.get() || allowed);
        allowed
    }

    /// Releases the reservation, whether or not the machine was lost.
    fn end_loss(&self) {
        self.loss_in_progress.set(false);
    }

    /// A random address without a core machine.
    fn free_address(&self) -> Option<usize> {
        let addresses = 0..self.cluster.cores.len();
        let free: Vec<usize> = addresses.filter(|i| !self.cluster.cores[*i].is_present.get()).collect();
        (!free.is_empty()).then(|| free[self.random_below(free.len())])
    }

    fn add_machine(&self, core: usize) {
        self.record_fault(format!("core {core} added with an empty disk"));
        self.count_disturbance(core);
        self.cluster.add_machine(core);
    }

    fn remove_machine(&self, core: usize) {
        self.record_fault(format!("core {core} removed for good"));
        self.count_disturbance(core);
        self.cluster.remove_machine(core);
    }
}

async fn inject_one(run: &Rc<Run>) {
    let core = run.random_core();
    match run.random_below(17) {
        0 | 1 => cut_links(run, core, run.random_below(3)).await,
        2 => isolate(run, core).await,
        3 => kill_programs(run, core).await,
        4 | 5 => cut_power(run, &[core], false).await,
        6 => cut_power(run, &run.cluster.present_cores(), false).await,
        7 => cut_power(run, &[core], true).await,
        8 => disturb_disk(run, core).await,
        9 | 10 => freeze_programs(run, core).await,
        11 => degrade_links(run).await,
        12 | 13 => replace_machine(run, core).await,
        14 => replace_gracefully(run, core).await,
        15 => change_member_count(run).await,
        _ => disturb_gateway(run, core).await,
    }
}

/// Cuts a member off from all other members or from one of them, in both directions or in one.
async fn cut_links(run: &Rc<Run>, core: usize, direction: usize) {
    let cluster = &run.cluster;
    let only = Some(run.random_core()).filter(|other| *other != core && run.random_below(4) > 0);
    run.record_fault(format!(
        "core {core} cut off from {only:?} (None: all others), {}",
        DIRECTIONS[direction]
    ));
    let here = cluster.cores[core].ip;
    let others = run.cluster.present_cores().into_iter().filter(|other| *other != core);
    for other in others.filter(|other| only.is_none_or(|only| only == *other)) {
        let there = cluster.cores[other].ip;
        if direction != 1 {
            cluster.network.block(here, there);
        }
        if direction != 2 {
            cluster.network.block(there, here);
        }
    }
    sleep(run.random_cut_duration()).await;
    end_cuts(run);
}

/// Cuts a member off from all other machines.
async fn isolate(run: &Rc<Run>, core: usize) {
    run.record_fault(format!("core {core} cut off from all machines"));
    run.count_disturbance(core);
    let here = run.cluster.cores[core].ip;
    let operators = (0..3).map(|i| machine_ip(2, i));
    let others = run.cluster.cores.iter().map(|core| core.ip).filter(|ip| *ip != here);
    let peers: Vec<IpAddr> =
        others.chain(run.cluster.gateways.iter().map(|gateway| gateway.ip)).chain(operators).collect();
    for there in peers {
        run.cluster.network.block(here, there);
        run.cluster.network.block(there, here);
    }
    sleep(run.random_cut_duration()).await;
    end_cuts(run);
}

fn end_cuts(run: &Rc<Run>) {
    run.record_fault("all cuts end".into());
    run.count_disturbance_of_all();
    run.cluster.network.unblock_all();
}

/// Kills a store, alone or with the registry, or lets the registry shut down in order; then starts what does not run.
async fn kill_programs(run: &Rc<Run>, core: usize) {
    let ending = run.random_below(4);
    run.record_fault(format!("core {core}: {}", ENDINGS[ending]));
    run.count_disturbance(core);
    if ending != 1 {
        run.cluster.kill_store(core, run.random_below(2) == 0);
    }
    match ending {
        1 => run.cluster.stop_registry(core),
        2 => run.cluster.cores[core].registry.borrow().kill(),
        _ => {}
    }
    sleep(run.random_ms(600, 3_000)).await;
    run.record_fault(format!("core {core}: programs started again"));
    run.count_disturbance(core);
    if ending == 1 {
        // The shutdown had enough time; whatever still runs is killed.
        run.cluster.cores[core].registry.borrow().kill();
    }
    run.cluster.start_core(core);
}

/// Cuts the power of machines, with `wipe` also erasing their disks if a loss is allowed, and restores it one by one.
async fn cut_power(run: &Rc<Run>, cores: &[usize], wipe: bool) {
    let wipe = wipe && run.may_lose_disk();
    run.record_fault(format!("power cut at cores {cores:?}, disks lost: {wipe}"));
    for core in cores {
        run.count_disturbance(*core);
        run.cluster.power_off(*core, run.random_below(2) == 0);
        if wipe {
            run.cluster.cores[*core].disk.borrow_mut().wipe();
        }
    }
    for core in cores {
        sleep(run.random_ms(100, 4_000 / cores.len() as u64)).await;
        run.record_fault(format!("power back at core {core}"));
        run.count_disturbance(*core);
        if run.cluster.cores[*core].is_present.get() {
            run.cluster.power_on(*core);
        }
    }
}

/// Removes a machine for good and adds an empty one at another address.
async fn replace_machine(run: &Rc<Run>, core: usize) {
    if !run.begin_loss() {
        return;
    }
    run.remove_machine(core);
    run.end_loss();
    sleep(run.random_ms(100, 3_000)).await;
    if let Some(address) = run.free_address() {
        run.add_machine(address);
    }
}

/// Adds an empty machine, then shuts another one down in order and removes it.
async fn replace_gracefully(run: &Rc<Run>, core: usize) {
    let Some(address) = run.free_address().filter(|_| run.begin_loss()) else { return };
    run.add_machine(address);
    sleep(run.random_ms(300, 4_000)).await;
    remove_gracefully(run, core).await;
}

/// Shuts a machine down in order and removes it for good.
async fn remove_gracefully(run: &Rc<Run>, core: usize) {
    // Another fault may have removed it meanwhile.
    if run.cluster.is_fully_replicated() && run.cluster.cores[core].is_present.get() {
        run.record_fault(format!("core {core} asked to shut down"));
        run.count_disturbance(core);
        run.cluster.stop_store(core);
        run.cluster.stop_registry(core);
        sleep(SHUTDOWN_GRACE).await;
        run.remove_machine(core);
    }
    run.end_loss();
}

/// Adds or removes one member by an operator's command.
async fn change_member_count(run: &Rc<Run>) {
    let count = run.cluster.latest_members().voters.len();
    // While a disk is lost, a new machine would replace the lost member instead of adding one.
    if count < MEMBER_LIMITS.0 && run.random_below(3) > 0 && run.may_lose_disk() {
        let Some(address) = run.free_address() else { return };
        run.add_machine(address);
        sleep(run.random_ms(300, 2_000)).await;
        order_membership_change(run, MembershipOrder::Add(run.cluster.cores[address].ip)).await;
    } else if count > MEMBER_LIMITS.1 && run.begin_loss() {
        let core = run.random_core();
        if order_membership_change(run, MembershipOrder::Remove(run.cluster.cores[core].ip)).await {
            remove_gracefully(run, core).await;
        }
        run.end_loss();
    }
}

/// Submits a membership change to random members until one reports it done; returns whether one did.
async fn order_membership_change(run: &Rc<Run>, order: MembershipOrder) -> bool {
    for _ in 0..ORDER_ATTEMPTS {
        let store = run.cluster.store_address(run.random_core());
        let reply = RpcClient::new(&run.cluster.network.handle_for(machine_ip(2, 0)), store)
            .call::<_, StoreResponse>(&StoreRequest::ChangeMembers(order), Duration::from_secs(1))
            .await;
        if matches!(
            reply,
            Ok(StoreResponse::Membership(MembershipOutcome::Done(_) | MembershipOutcome::Stands))
        ) {
            run.record_fault(format!("membership change done: {order:?}"));
            return true;
        }
        sleep(run.random_ms(100, 600)).await;
    }
    run.record_fault(format!("membership change not done: {order:?}"));
    false
}

/// Makes a disk stall or reject writes.
async fn disturb_disk(run: &Rc<Run>, core: usize) {
    let (duration, rejects) = (run.random_ms(100, 4_000), run.random_below(3) == 0);
    run.record_fault(format!("disk of core {core} disturbed for {duration:?}, rejects writes: {rejects}"));
    match rejects {
        true => run.cluster.cores[core].disk.borrow_mut().rejects_writes = true,
        false => run.cluster.cores[core].disk.borrow_mut().stall(Instant::now() + duration),
    }
    sleep(duration).await;
    run.cluster.cores[core].disk.borrow_mut().rejects_writes = false;
}

/// Freezes the store, the registry or both.
async fn freeze_programs(run: &Rc<Run>, core: usize) {
    let (programs, duration) = (run.random_below(3), run.random_ms(50, 6_000));
    run.record_fault(format!("core {core} frozen for {duration:?}: {}", FROZEN_PROGRAMS[programs]));
    run.count_disturbance(core);
    let (store, registry) =
        (run.cluster.cores[core].store.borrow().clone(), run.cluster.cores[core].registry.borrow().clone());
    let processes = [(store, programs != 1), (registry, programs != 2)];
    processes.iter().filter(|(_, is_frozen)| *is_frozen).for_each(|(process, _)| process.set_frozen(true));
    sleep(duration).await;
    run.count_disturbance(core);
    processes.iter().for_each(|(process, _)| process.set_frozen(false));
}

/// Makes all links slow and lossy for a time, then resets connections between random machines.
async fn degrade_links(run: &Rc<Run>) {
    let (max_delay_ms, lost_per_thousand) =
        (run.random_ms(4, 120).as_millis() as u64, run.random_below(200) as u64);
    run.record_fault(format!(
        "links take up to {max_delay_ms} ms and lose {lost_per_thousand} packets in a thousand"
    ));
    run.count_disturbance_of_all();
    run.cluster.network.set_link_quality(Some((max_delay_ms, lost_per_thousand)));
    sleep(run.random_ms(500, 5_000)).await;
    run.count_disturbance_of_all();
    run.cluster.network.set_link_quality(None);
    for core in &run.cluster.cores {
        let other = run.cluster.cores[run.random_core()].ip;
        run.cluster.network.reset_between(core.ip, other);
    }
}

/// Freezes a gateway, restarts it, or restarts it while it reaches only one member, which is itself cut off.
async fn disturb_gateway(run: &Rc<Run>, core: usize) {
    let i = run.random_below(run.cluster.gateways.len());
    let gateway = &run.cluster.gateways[i];
    match run.random_below(3) {
        0 => {
            run.record_fault(format!("gateway {i} frozen"));
            let process = gateway.process.borrow().clone();
            process.set_frozen(true);
            sleep(run.random_ms(50, 6_000)).await;
            process.set_frozen(false);
        }
        1 => {
            run.record_fault(format!("gateway {i} restarted"));
            gateway.process.borrow().kill();
            sleep(run.random_ms(10, 1_000)).await;
            run.cluster.start_gateway(i);
        }
        _ => {
            run.record_fault(format!(
                "gateway {i} restarted while it reaches only core {core}, which is cut off"
            ));
            for (_, other) in run.cluster.cores.iter().enumerate().filter(|(j, _)| *j != core) {
                for (a, b) in [(gateway.ip, other.ip), (run.cluster.cores[core].ip, other.ip)] {
                    run.cluster.network.block(a, b);
                    run.cluster.network.block(b, a);
                }
            }
            sleep(run.random_ms(0, 3_000)).await;
            gateway.process.borrow().kill();
            run.cluster.start_gateway(i);
            sleep(run.random_ms(100, 5_000)).await;
            end_cuts(run);
        }
    }
}
