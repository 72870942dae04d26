//! A core machine that was away while the configuration changed, and how soon it has all again while changes go on.

use crate::processes::Process;
use crate::system::{initial_config, patch_config, rule_change, rule_item, Machine, System};
use starlinghill_registry::wire::{RegistryRequest, RegistryResponse};
use starlinghill_runtime::net;
use starlinghill_runtime::rpc::RpcClient;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// How long a registry may take to say how things stand.
const ASKED: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_millis(5);
/// The pause between two changes that go on meanwhile.
const GOES_ON: Duration = Duration::from_millis(20);
/// Routes that the changes go over in turn.
const ROUTES: u64 = 20;

/// What became of a machine that was away.
#[derive(Debug, Clone, Copy)]
pub struct CatchUp {
    /// From its start until its registry has all that was confirmed before its start, with a majority behind it.
    pub caught_up_after: Duration,
    /// Changes that were confirmed meanwhile and until a moment later.
    pub changes_meanwhile: u64,
    /// From the death of another machine, right then, until a change is confirmed again: by its voice.
    pub confirmed_after: Duration,
    /// What its files take.
    pub disk_bytes: u64,
}

/// Numbers of changes: one after the other, over some routes.
pub struct Changes {
    number: u64,
}

impl Changes {
    /// The first items are in force.
    pub async fn start(system: &System) -> Changes {
        assert_eq!(system.send_change(&initial_config(0)).await.status, 200);
        Changes { number: 7 }
    }

    fn body(&mut self) -> String {
        self.number += 1;
        let (route, version) = (self.number % ROUTES, self.number);
        rule_change(&rule_item(&format!("r-{route}"), version, "safe", &format!("/{route}/"), "2000ms"))
    }

    /// One more is confirmed.
    pub async fn send_next(&mut self, system: &System) {
        let body = self.body();
        assert_eq!(system.send_change(&body).await.status, 200, "{body}");
    }
}

/// The highest number that the registry of a machine has, where a majority is behind it.
async fn has(machine: &Machine) -> Option<u64> {
    let caller = RpcClient::new(&net::tcp(), machine.registry_address());
    match caller.call(&RegistryRequest::Status, ASKED).await {
        Ok(RegistryResponse::Status(status)) if status.has_quorum_contact => {
            status.items.iter().map(|item| item.2).max()
        }
        _ => None,
    }
}

/// The last lines of a machine's processes.
fn told(machine: &Machine) -> String {
    let last = |process: &Process| {
        let lines = process.log();
        lines[lines.len().saturating_sub(20)..].join("\n")
    };
    machine.processes.iter().map(last).collect::<Vec<_>>().join("\n\n")
}

/// The first core machine is away, or loses its disk, during so many changes. All three run at the end.
pub async fn catch_up(system: &mut System, changes: &mut Changes, missed: u64, wiped: bool) -> CatchUp {
    system.cores[0].kill();
    if wiped {
        system.cores[0].wipe_disk();
    }
    for _ in 0..missed {
        changes.send_next(system).await;
    }
    let (wanted, first) = (changes.number, changes.number);
    system.cores[0].start();
    let started = Instant::now();
    let mut caught = None;
    // Changes go on, at other machines than this one.
    while caught.is_none() || started.elapsed() < Duration::from_millis(300) {
        assert!(
            started.elapsed() < Duration::from_secs(30),
            "it has not caught up:\n{}",
            told(&system.cores[0])
        );
        let body = changes.body();
        for core in [1, 2] {
            if patch_config(system.cores[core].control_address(), &body)
                .await
                .is_some_and(|answer| answer.status == 200)
            {
                break;
            }
        }
        let next = Instant::now() + GOES_ON;
        while Instant::now() < next {
            if caught.is_none() && has(&system.cores[0]).await.is_some_and(|number| number >= wanted) {
                caught = Some(started.elapsed());
            }
            sleep(PAUSE).await;
        }
    }
    let changes_meanwhile = changes.number - first;
    system.cores[1].kill();
    let died = Instant::now();
    changes.send_next(system).await;
    let confirmed_after = died.elapsed();
    system.cores[1].start();
    let disk_bytes = system.cores[0].disk_bytes();
    // Until that one is back too.
    let wanted = changes.number;
    let back = async {
        while has(&system.cores[1]).await.is_none_or(|number| number < wanted) {
            sleep(PAUSE).await;
        }
    };
    assert!(timeout(Duration::from_secs(30), back).await.is_ok(), "the other one does not come back");
    CatchUp { caught_up_after: caught.unwrap_or_default(), changes_meanwhile, confirmed_after, disk_bytes }
}
