//! An operator that sends configuration changes while faults are in effect, and a check of what is in force
//! afterwards.

use crate::system::{call, patch_config, rule_change, rule_item, System};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// A change is in force at all proxies within `apply` of the system's settings (2.5 s), plus 500 ms for the
/// requests of the check.
const APPLY_LIMIT: Duration = Duration::from_millis(2_500 + 500);
/// Number of attempts to send a change, each to a randomly chosen registry.
const MAX_ATTEMPTS: usize = 6;
/// First version of the operator's changes, above the versions of the initial configuration.
const FIRST_VERSION: u64 = 100;

/// A change that adds a second tenant without a quota, with a service and a route of its own.
pub(super) fn second_tenant() -> String {
    let route = rule_item("r-kept", 8, "safe", "/kept/", "2000ms").replace("ledger", "lobby");
    format!(
        r#"{{"upsert":{{"customers":[{{"name":"press","api_keys":["key-2"],"priority":0,"rate_per_s":0,"burst":0,
        "version":"r8"}}],"ports":[{{"hostname":"a.example","policy":[{route}]}}],"groups":[{{"name":"lobby",
        "health_path":"/health","max_conns":130,"protocol":"h1","tls":false,"version":"r8"}}]}},"remove":{{}}}}"#
    )
}

/// A change that moves a route to the prefix of its number. The route leads to the second service, as all runs
/// of the first service count against the quota of the first tenant.
fn moved_route(number: u64) -> String {
    rule_change(
        &rule_item("r-moved", number, "safe", &format!("/moved-{number}/"), "2000ms")
            .replace("ledger", "lobby"),
    )
}

/// An operator, and how many changes it sent.
#[derive(Debug, Default)]
pub(super) struct Operator {
    sent: AtomicU64,
    confirmed: AtomicU64,
}

impl Operator {
    pub(super) fn confirmed(&self) -> u64 {
        self.confirmed.load(Ordering::Relaxed)
    }

    /// Sends one change after the other until `stop` is set.
    pub(super) async fn send_changes(self: Arc<Self>, controls: Vec<SocketAddr>, stop: Arc<AtomicBool>) {
        while !stop.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(fastrand::u64(20..400))).await;
            let number = FIRST_VERSION + self.sent.fetch_add(1, Ordering::Relaxed);
            for _ in 0..MAX_ATTEMPTS {
                let control = controls[fastrand::usize(..controls.len())];
                if patch_config(control, &moved_route(number))
                    .await
                    .is_some_and(|answer| answer.status == 200)
                {
                    self.confirmed.fetch_add(1, Ordering::Relaxed);
                    break;
                }
            }
        }
    }

    /// Sends a last change after all faults have ended. Within the limit it must be in force at all proxies,
    /// and no older route may be left. Returns a message for each violation.
    pub(super) async fn check_last_change(&self, system: &System) -> Vec<String> {
        let number = FIRST_VERSION + self.sent.load(Ordering::Relaxed) + 1;
        let answer = system.send_change(&moved_route(number)).await;
        if answer.status != 200 {
            return vec![format!("the last change is answered {}: {}", answer.status, answer.body)];
        }
        let until = Instant::now() + APPLY_LIMIT;
        let mut violations = Vec::new();
        for (edge, machine) in system.edges.iter().enumerate() {
            while status(machine.front_address(), number).await == Some(404) && Instant::now() < until {
                sleep(Duration::from_millis(50)).await;
            }
            let (newest, older) = (
                status(machine.front_address(), number).await,
                status(machine.front_address(), number - 2).await,
            );
            if newest.is_none_or(|status| status == 404) || older != Some(404) {
                violations.push(format!(
                    "proxy {edge} answers {newest:?} on the last route, {older:?} on the one before it"
                ));
            }
        }
        violations
    }
}

/// Returns the status that a proxy answers to the second tenant on the route of this number.
async fn status(front: SocketAddr, number: u64) -> Option<u16> {
    let id = format!("moved-{}", fastrand::u64(..));
    let headers = [("attempt-id", id.as_str()), ("authorization", "Bearer key-2")];
    call(front, "GET", &format!("/moved-{number}/1"), &headers, "").await.map(|answer| answer.status)
}
