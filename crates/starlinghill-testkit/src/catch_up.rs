//! Measures how soon a core machine that was down during configuration changes has all of them again while
//! further changes are made.

use crate::processes::Process;
use crate::system::{initial_config, patch_config, rule_change, rule_item, Machine, System};
use starlinghill_registry::wire::{RegistryRequest, RegistryResponse};
use starlinghill_runtime::net;
use starlinghill_runtime::rpc::RpcClient;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// Timeout of a status call to a registry.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two status calls.
const STATUS_INTERVAL: Duration = Duration::from_millis(5);
/// Time between two changes that are made while the machine catches up.
const CHANGE_INTERVAL: Duration = Duration::from_millis(20);
/// Number of routes that the changes update in turn.
const ROUTE_COUNT: u64 = 20;

/// Measurements of one run.
#[derive(Debug, Clone, Copy)]
pub struct CatchUp {
    /// Time from the machine's start until its registry has all changes that were confirmed before the start,
    /// and is in contact with a majority.
    pub caught_up_after: Duration,
    /// Changes that were sent while the machine caught up, and at least for the first 300 ms after its start.
    pub changes_meanwhile: u64,
    /// Time from the kill of another core machine, right after the catch-up, until a change is confirmed. Only
    /// the vote of the machine that caught up makes a majority then.
    pub confirmed_after: Duration,
    /// Disk space of the machine's files, in bytes.
    pub disk_bytes: u64,
}

/// Generates numbered changes, each an update of one of `ROUTE_COUNT` routes.
pub struct Changes {
    number: u64,
}

impl Changes {
    /// Applies the initial configuration, whose items have version 7.
    pub async fn start(system: &System) -> Changes {
        assert_eq!(system.send_change(&initial_config(0)).await.status, 200);
        Changes { number: 7 }
    }

    fn body(&mut self) -> String {
        self.number += 1;
        let (route, version) = (self.number % ROUTE_COUNT, self.number);
        rule_change(&rule_item(&format!("r-{route}"), version, "safe", &format!("/{route}/"), "2000ms"))
    }

    /// Sends the next change and waits until it is confirmed.
    pub async fn send_next(&mut self, system: &System) {
        let body = self.body();
        assert_eq!(system.send_change(&body).await.status, 200, "{body}");
    }
}

/// Returns the highest change number in a machine's registry, or `None` if the registry is not in contact with
/// a majority.
async fn highest_number(machine: &Machine) -> Option<u64> {
    let caller = RpcClient::new(&net::tcp(), machine.registry_address());
    match caller.call(&RegistryRequest::Status, STATUS_TIMEOUT).await {
        Ok(RegistryResponse::Status(status)) if status.has_quorum_contact => {
            status.items.iter().map(|item| item.2).max()
        }
        _ => None,
    }
}

/// Returns the last 20 log lines of each process of a machine.
fn log_tail(machine: &Machine) -> String {
    let last = |process: &Process| {
        let lines = process.log();
        lines[lines.len().saturating_sub(20)..].join("\n")
    };
    machine.processes.iter().map(last).collect::<Vec<_>>().join("\n\n")
}

/// Kills the first core machine for the time of `missed` changes, and empties its disk if `wiped`. Measures how
/// it catches up. All three core machines run when this returns.
pub async fn catch_up(system: &mut System, changes: &mut Changes, missed: u64, wiped: bool) -> CatchUp {
    system.cores[0].kill();
    if wiped {
        system.cores[0].wipe_disk();
    }
    for _ in 0..missed {
        changes.send_next(system).await;
    }
    let (target, first) = (changes.number, changes.number);
    system.cores[0].start();
    let started = Instant::now();
    let mut caught = None;
    // Further changes go to the other two machines.
    while caught.is_none() || started.elapsed() < Duration::from_millis(300) {
        assert!(
            started.elapsed() < Duration::from_secs(30),
            "the machine has not caught up after 30 s:\n{}",
            log_tail(&system.cores[0])
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
        let next = Instant::now() + CHANGE_INTERVAL;
        while Instant::now() < next {
            if caught.is_none()
                && highest_number(&system.cores[0]).await.is_some_and(|number| number >= target)
            {
                caught = Some(started.elapsed());
            }
            sleep(STATUS_INTERVAL).await;
        }
    }
    let changes_meanwhile = changes.number - first;
    system.cores[1].kill();
    let died = Instant::now();
    changes.send_next(system).await;
    let confirmed_after = died.elapsed();
    system.cores[1].start();
    let disk_bytes = system.cores[0].disk_bytes();
    // Waits until the killed machine has caught up as well.
    let target = changes.number;
    let caught_up = async {
        while highest_number(&system.cores[1]).await.is_none_or(|number| number < target) {
            sleep(STATUS_INTERVAL).await;
        }
    };
    assert!(
        timeout(Duration::from_secs(30), caught_up).await.is_ok(),
        "the killed machine does not catch up within 30 s"
    );
    CatchUp { caught_up_after: caught.unwrap_or_default(), changes_meanwhile, confirmed_after, disk_bytes }
}
